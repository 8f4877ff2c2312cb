/* storeclock.h - estimates the monotonic clock of the platform's store.

   Each answer of the store carries the time of its making by the store's
   clock.  All instances use that clock to date what they learnt, so an age is
   right whatever delayed the data: a full buffer, a slow link, or a process
   that was stopped.

   The store makes an answer after the query was sent.  Its time minus the own
   time at sending is therefore an upper bound on the lead of the store's
   clock.  The least such bound is kept, and ages computed from it are never
   too small.  */

#ifndef KNAPWEEDFORK_STORECLOCK_H
#define KNAPWEEDFORK_STORECLOCK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool known;
  int64_t lead_ns; /* upper bound of the store clock's lead over the own
                      clock, at seen_ns */
  int64_t seen_ns; /* this instance's clock, when lead_ns was set */
} storeclock_t;

/* Records an answer: the query was sent at SENT_NS and answered at
   ANSWERED_NS, both by this instance's clock; STORED_NS is the time in the
   answer, by the store's clock.  */
void storeclock_record (storeclock_t *clock, int64_t sent_ns,
                        int64_t answered_ns, int64_t stored_ns);

/* Upper bound of the nanoseconds from STORED_NS (store's clock) to NOW_NS (own
   clock).  INT64_MAX: no answer has been recorded, or STORED_NS is in the
   future and so by the clock of another store.  */
int64_t storeclock_age_ns (const storeclock_t *clock, int64_t stored_ns,
                           int64_t now_ns);

#endif
