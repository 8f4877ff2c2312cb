#include "storeclock.h"

#include <knapweedfork/clock.h>

/* The store's time is in whole milliseconds, rounded down.  */
#define STORE_RESOLUTION_NS KWF_NS_PER_MS
/* Quartz clocks are accurate to 100 millionths; both clocks may be wrong by
   that.  */
#define DRIFT_PER_NS 200e-6

/* Upper bound of the store clock's lead at NOW_NS.  */
static int64_t
lead_at (const storeclock_t *clock, int64_t now_ns)
{
  double since_ns = (double)(now_ns - clock->seen_ns);
  return clock->lead_ns + (int64_t)(since_ns * DRIFT_PER_NS);
}

void
storeclock_record (storeclock_t *clock, int64_t sent_ns, int64_t answered_ns,
                   int64_t stored_ns)
{
  int64_t lead_max_ns = stored_ns + STORE_RESOLUTION_NS - sent_ns;
  int64_t lead_min_ns = stored_ns - answered_ns;
  int64_t lead_ns = clock->known ? lead_at (clock, answered_ns) : 0;
  /* A lead above the bound belongs to another clock: the store was replaced.
     A lower upper bound replaces the known one.  */
  if (clock->known && lead_min_ns <= lead_ns && lead_max_ns >= lead_ns)
    return;
  *clock = (storeclock_t){ .known = true,
                           .lead_ns = lead_max_ns,
                           .seen_ns = answered_ns };
}

int64_t
storeclock_age_ns (const storeclock_t *clock, int64_t stored_ns,
                   int64_t now_ns)
{
  if (!clock->known)
    return INT64_MAX;
  int64_t age_ns = now_ns + lead_at (clock, now_ns) - stored_ns;
  return age_ns < 0 ? INT64_MAX : age_ns;
}
