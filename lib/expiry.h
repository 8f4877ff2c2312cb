/* expiry.h - deletes the ended claim rows of this instance after a day.

   Each instance remembers at most 65536 claims that it ended (about 6 MB) and
   deletes their rows by compare-and-set.  Rows of instances that exited before
   a day was over stay in the table; a reader treats a row that old as
   absent.  */

#ifndef KNAPWEEDFORK_EXPIRY_H
#define KNAPWEEDFORK_EXPIRY_H

#include <knapweedfork/clock.h>
#include <knapweedfork/effect.h>

#define EXPIRY_NS (24 * INT64_C (3600) * KWF_NS_PER_S)

typedef struct expiry expiry_t;

expiry_t *expiry_new (void);
void expiry_free (expiry_t *expiry);

/* Schedules the deletion of the row KEY, which has VERSION and was written at
   NOW_NS.  When the queue is full, the oldest entry is dropped from it and its
   row stays in the table.  */
void expiry_add (expiry_t *expiry, const char *key, int64_t version,
                 int64_t now_ns, kwf_effects_t *effects);

/* Deletes the oldest row by transaction OP if that is due.  Returns whether OP
   was used.  */
bool expiry_run (expiry_t *expiry, kwf_handle_t op, int64_t now_ns,
                 kwf_effects_t *effects);

int64_t expiry_next_tick_ns (const expiry_t *expiry);

#endif
