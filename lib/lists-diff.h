/* lists-diff.h - the difference between two versions of the lists, as
   text.  */

#ifndef KNAPWEEDFORK_LIB_LISTS_DIFF_H
#define KNAPWEEDFORK_LIB_LISTS_DIFF_H

#include <knapweedfork/lists.h>

/* Return one line for each item that was added (+), removed (-) or changed
   (~), or an empty text; free with g_free.  BEFORE may be NULL: there were no
   lists.  Organisations are compared by what they may use, plan and branch
   combined.  */
char *lists_diff (const kwf_lists_t *before, const kwf_lists_t *after);

#endif
