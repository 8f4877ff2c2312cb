/* readers-fuzz.h - readers of foreign bytes, for mutated input.  */

#ifndef KNAPWEEDFORK_TEST_READERS_FUZZ_H
#define KNAPWEEDFORK_TEST_READERS_FUZZ_H

#include <glib.h>

typedef struct
{
  const char *name;
  const char *const *samples; /* good input, NULL at the end */
  /* Reads TEXT, which is mutated; fails the test if it breaks a promise.  */
  void (*read) (const GString *text);
} reader_t;

extern const reader_t json_readers[];
extern const size_t n_json_readers;

/* Frames of all messages between instances, HELLO and PROOF.  Array of
   GString; free with g_ptr_array_unref.  */
GPtrArray *frame_samples (void);
/* Reads TEXT as each of them.  */
void frame_read (const GString *text);

#endif
