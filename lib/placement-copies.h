/* placement-copies.h - the resident copies of models on the engines that the
   placement leader uses.  */

#ifndef KNAPWEEDFORK_PLACEMENT_COPIES_H
#define KNAPWEEDFORK_PLACEMENT_COPIES_H

#include "engine-control.h"

/* The resident copies of a model on usable engines.  */
typedef struct
{
  GArray *list; /* of the file placement-copies.c */
  guint n;
  bool scarce; /* all of them are on engines with a scarce limit */
} copies_t;

/* Find the resident copies on the usable ones of ENGINES, id to
   engine_control_t: those that are not leaving and whose address did not
   refuse the last connection.  Returns a table from a model name to
   copies_t.  */
GHashTable *copies_find (GHashTable *engines);

/* Number of COPIES with ADAPTER outside the regions EXCLUDED.  */
int copies_with_adapter (const copies_t *copies, const char *adapter,
                         uint64_t excluded);

#endif
