/* lists-diff.h - the difference between two versions of the lists, as
   text.  */

#ifndef KNAPWEEDFORK_LIB_LISTS_DIFF_H
#define KNAPWEEDFORK_LIB_LISTS_DIFF_H

#include <knapweedfork/lists.h>

/* An item that was added (BEFORE is NULL), removed (AFTER is NULL) or
   changed.  */
typedef struct
{
  const char *kind;   /* "model", "service", "route", "plan", "organisation" */
  const char *name;   /* of a route: host and prefix */
  const char *before; /* description in one line */
  const char *after;
} lists_change_t;

typedef void (*lists_change_fn_t) (const lists_change_t *change, void *data);

/* Call FN for each item that differs.  BEFORE may be NULL, as below.  */
void lists_diff_each (const kwf_lists_t *before, const kwf_lists_t *after,
                      lists_change_fn_t fn, void *data);

/* Return one line for each item that was added (+), removed (-) or changed
   (~), or an empty text; free with g_free.  BEFORE may be NULL: there were no
   lists.  Organisations are compared by what they may use, plan and branch
   combined.  */
char *lists_diff (const kwf_lists_t *before, const kwf_lists_t *after);

#endif
