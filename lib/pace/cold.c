#include "cold.h"

#include <glib.h>
#include <math.h>

/* An entry that is read was written at most this long ago.  */
#define ENTRY_MAX_AGE_NS (2 * KWF_NS_PER_S)
/* Time in which the rate doubles after the end.  */
#define RETURN_DOUBLE_NS (250 * KWF_NS_PER_MS)
/* Models take 5 s and more to load, so that a server that is cold for a
   shorter time needs no copy elsewhere.  */
#define SCARCE_LEFT_NS (5 * KWF_NS_PER_S)

/* End of the coldness, known or assumed; 0: it was not cold.  */
static int64_t
end_ns (const cold_t *cold)
{
  if (cold->known)
    return cold->until_ns;
  return cold->start_ns > 0 ? cold->seen_ns + cold->start_ns : 0;
}

cold_state_t
cold_state (const cold_t *cold, int64_t now_ns)
{
  if (cold->per_s <= 0)
    return COLD_OVER;
  if (cold->known && now_ns < cold->until_ns)
    return COLD_ANNOUNCED;
  if (cold->doubted || !cold->seen_ns
      || (!cold->known && now_ns < end_ns (cold)))
    return COLD_ASSUMED;
  bool returns = end_ns (cold) && now_ns - end_ns (cold) < COLD_RETURN_NS;
  return returns ? COLD_RETURNING : COLD_OVER;
}

bool
cold_stands (const cold_t *cold, int64_t now_ns)
{
  return cold_state (cold, now_ns) >= COLD_ASSUMED;
}

double
cold_rate (const cold_t *cold, int64_t now_ns)
{
  switch (cold_state (cold, now_ns))
    {
    case COLD_OVER:
      return INFINITY;
    case COLD_RETURNING:
      return cold->per_s
             * exp2 ((double)(now_ns - end_ns (cold))
                     / (double)RETURN_DOUBLE_NS);
    default:
      return cold->per_s;
    }
}

void
cold_restart (cold_t *cold)
{
  *cold = (cold_t){ .per_s = cold->per_s,
                    .start_ns = cold->start_ns,
                    .started = true,
                    .doubted = cold->doubted,
                    .unreadable = cold->unreadable };
}

void
cold_see (cold_t *cold, int64_t now_ns)
{
  if (cold->seen_ns)
    return;
  cold->seen_ns = now_ns;
  if (!cold->started || cold->known)
    return;
  cold->known = true;
  cold->until_ns = cold->start_ns > 0 ? now_ns + cold->start_ns : 0;
}

/* Sets the end to UNTIL_NS, which NOW_NS is not after.  */
static void
set_until (cold_t *cold, int64_t until_ns, int64_t now_ns)
{
  if (until_ns > now_ns || (cold->known && cold->until_ns > now_ns))
    cold->until_ns = until_ns;
  else if (!cold->known)
    cold->until_ns = 0;
  cold->known = true;
}

void
cold_handle_entry (cold_t *cold, int64_t left_ns, int64_t revision,
                   int64_t now_ns)
{
  if (cold->known && revision == cold->revision)
    return;
  cold->revision = revision;
  int64_t until_ns = now_ns + CLAMP (left_ns, 0, COLD_MAX_NS);
  if (cold->told_ns && now_ns - cold->told_ns < ENTRY_MAX_AGE_NS)
    until_ns = MAX (until_ns, cold->until_ns);
  set_until (cold, until_ns, now_ns);
}

bool
cold_handle_answer (cold_t *cold, int64_t left_ns, int64_t asked_ns,
                    int64_t now_ns)
{
  bool was_announced = cold_state (cold, now_ns) == COLD_ANNOUNCED;
  int64_t until_ns = now_ns + CLAMP (left_ns, 0, COLD_MAX_NS);
  if (cold->known && asked_ns <= cold->told_ns)
    until_ns = MAX (until_ns, cold->until_ns);
  set_until (cold, until_ns, now_ns);
  cold->told_ns = now_ns;
  cold->doubted = false;
  return !was_announced && cold_state (cold, now_ns) == COLD_ANNOUNCED;
}

void
cold_handle_news (cold_t *cold, int64_t left_ns, int64_t now_ns)
{
  int64_t until_ns = now_ns + CLAMP (left_ns, 0, COLD_MAX_NS);
  if (cold->known && until_ns <= cold->until_ns)
    return;
  set_until (cold, until_ns, now_ns);
  cold->told_ns = now_ns;
}

void
cold_handle_denial (cold_t *cold)
{
  cold->doubted = false;
  if (cold->known)
    return;
  cold->known = true;
  cold->until_ns = 0;
}

bool
cold_may_send (const cold_t *cold, int64_t sent_ns, int64_t now_ns)
{
  return cold->per_s <= 0 || now_ns - sent_ns <= COLD_SEND_NS;
}

bool
cold_is_scarce (const cold_t *cold, int64_t now_ns)
{
  return cold_state (cold, now_ns) == COLD_ANNOUNCED
         && cold->until_ns - now_ns > SCARCE_LEFT_NS;
}
