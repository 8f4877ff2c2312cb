/* storeclock.h - the steady clock of the platform's store, as calls show it.

   Answers of the store tell when they were made, by its clock.  That time is
   the same for all instances, so that what one learnt can be dated by another,
   whatever lay between: a full buffer, a slow link, a process that stood
   still.

   An answer is made after its question was sent.  The least lead of the
   store's clock over the own one at the sending therefore bounds the store's
   clock from above, and an age taken from it is never too small.  */

#ifndef KNAPWEEDFORK_STORECLOCK_H
#define KNAPWEEDFORK_STORECLOCK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool known;
  int64_t ahead_ns; /* at most, of the own clock, at SEEN_NS */
  int64_t seen_ns;  /* own clock */
} storeclock_t;

/* A question sent at SENT_NS was answered at ANSWERED_NS, both by the own
   clock; STORED_NS is the time that the answer bears.  */
void storeclock_record (storeclock_t *clock, int64_t sent_ns,
                        int64_t answered_ns, int64_t stored_ns);

/* Nanoseconds since STORED_NS at NOW_NS of the own clock, at most; INT64_MAX:
   no answer was seen, or STORED_NS is still to come and so by another
   clock.  */
int64_t storeclock_age_ns (const storeclock_t *clock, int64_t stored_ns,
                           int64_t now_ns);

#endif
