/* nearest.h - finds the known name that is closest to a misspelt one.  */

#ifndef KNAPWEEDFORK_LIB_NEAREST_H
#define KNAPWEEDFORK_LIB_NEAREST_H

#include <stddef.h>

/* Edit distance between A and B: insertions, deletions, substitutions, and
   swaps of neighbouring bytes each count 1.  Of each name only the first 64
   bytes are compared.  */
size_t nearest_distance (const char *a, const char *b);

/* Return the closest of NAMES that differs from NAME by at most a third of
   NAME's length, where the limit is at least 1 and at most 3; NULL: there is
   none.  */
const char *nearest_name (const char *name, const char *const *names,
                          size_t n_names);

#endif
