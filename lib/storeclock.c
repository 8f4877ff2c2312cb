#include "storeclock.h"

#include <knapweedfork/clock.h>

/* The store's time comes in whole milliseconds, rounded down.  */
#define TICK_NS KWF_NS_PER_MS
/* Quartz clocks keep within 100 millionths; both may be off.  */
#define DRIFT_PER_NS 200e-6

/* Upper bound of the store's lead at NOW_NS.  */
static int64_t
ahead_at (const storeclock_t *clock, int64_t now_ns)
{
  double since_ns = (double)(now_ns - clock->seen_ns);
  return clock->ahead_ns + (int64_t)(since_ns * DRIFT_PER_NS);
}

void
storeclock_record (storeclock_t *clock, int64_t sent_ns, int64_t answered_ns,
                   int64_t stored_ns)
{
  int64_t most_ns = stored_ns + TICK_NS - sent_ns;
  int64_t least_ns = stored_ns - answered_ns;
  int64_t ahead_ns = clock->known ? ahead_at (clock, answered_ns) : 0;
  /* A lead above the bound is that of another clock: the store was replaced.
     A lower one only tightens it.  */
  if (clock->known && least_ns <= ahead_ns && most_ns >= ahead_ns)
    return;
  *clock = (storeclock_t){ .known = true,
                           .ahead_ns = most_ns,
                           .seen_ns = answered_ns };
}

int64_t
storeclock_age_ns (const storeclock_t *clock, int64_t stored_ns,
                   int64_t now_ns)
{
  if (!clock->known)
    return INT64_MAX;
  int64_t age_ns = now_ns + ahead_at (clock, now_ns) - stored_ns;
  return age_ns < 0 ? INT64_MAX : age_ns;
}
