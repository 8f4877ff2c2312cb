/* rows.h - the table rows that this instance knows.

   A row is replaced only by one with a higher version.  Deleted rows are kept
   for a while, so that the deletion can be passed on to peers.  */

#ifndef KNAPWEEDFORK_ROWS_H
#define KNAPWEEDFORK_ROWS_H

#include <stdbool.h>

#include <knapweedfork/effect.h>
#include <knapweedfork/store.h>

typedef struct rows rows_t;

rows_t *rows_new (void);
void rows_free (rows_t *rows);

/* Store ROW if it is newer than the known one, and return the stored copy,
   which is valid until the row changes.  Return NULL if ROW is not newer.  */
const kwf_row_t *rows_put (rows_t *rows, const kwf_row_t *row, int64_t now_ns);

/* Known row of KEY, also if it was deleted; NULL if it is not known.  */
const kwf_row_t *rows_get (const rows_t *rows, const char *key);

/* Rows with a version above AFTER, copied to memory of EFFECTS.  */
const kwf_row_t *rows_after (const rows_t *rows, int64_t after,
                             kwf_effects_t *effects, size_t *count);

/* Remove rows whose deletion was stored before BEFORE_NS.  */
void rows_prune (rows_t *rows, int64_t before_ns);

#endif
