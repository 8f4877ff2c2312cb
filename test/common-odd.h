/* common-odd.h - rows of the platform's store that another writer may have
   left: nested too deeply, with numbers out of range, cut, of other types.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_ODD_H
#define KNAPWEEDFORK_TEST_COMMON_ODD_H

#include <glib.h>

typedef struct
{
  const char *name; /* what is odd, for messages and row keys */
  char *bytes;      /* may contain zero bytes */
  size_t size;
} odd_t;

/* Values of rows in the list of backend servers.  They name SERVICE and
   ADDRESS where they can be read, and none of them describes a server to use.
   Array of odd_t; free with g_array_unref.  */
GArray *odd_entries (const char *service, const char *address);

/* Texts that are no JSON object that can be read, for any reader.  Array of
   odd_t; free with g_array_unref.  */
GArray *odd_documents (void);

#endif
