#include "retry.h"

#include <knapweedfork/clock.h>

/* Part of the places that come free which is given to callers that come back;
   the rest is for new requests.  */
#define RETURN_SHARE 0.25
/* A caller comes back only if it is told a time within this part of what it
   has left: it needs the rest for the wait and the answer.  */
#define LEFT_PART 3
#define RETRY_MIN_NS (100 * KWF_NS_PER_MS)
/* Turns are given for this time ahead, as no caller comes back later.  */
#define TURNS_MAX_NS (10 * KWF_NS_PER_S)
/* Places per second that are assumed while the rate is not known.  */
#define PLACES_UNKNOWN_PER_S 10.0

static int64_t
clamp_ns (int64_t value_ns, int64_t min_ns, int64_t max_ns)
{
  return value_ns < min_ns ? min_ns : value_ns > max_ns ? max_ns : value_ns;
}

int64_t
admission_latest_return_ns (int64_t left_ns)
{
  return clamp_ns (left_ns / LEFT_PART, RETRY_MIN_NS, INT64_MAX);
}

int64_t
admission_retry_ns (admission_turns_t *turns,
                    const admission_refusal_t *refusal, int64_t now_ns)
{
  double rate = refusal->places_per_s > 0 ? refusal->places_per_s
                                          : PLACES_UNKNOWN_PER_S;
  int n_instances = refusal->n_instances > 0 ? refusal->n_instances : 1;
  int64_t spacing_ns
      = (int64_t)(n_instances / (rate * RETURN_SHARE) * (double)KWF_NS_PER_S);
  int64_t *next_ns = refusal->patient ? &turns->patient_ns : &turns->urgent_ns;
  int64_t turn_ns = now_ns + refusal->room_in_ns;
  if (turn_ns < *next_ns)
    turn_ns = *next_ns;
  if (refusal->patient && turn_ns < turns->urgent_ns)
    turn_ns = turns->urgent_ns;
  *next_ns = clamp_ns (turn_ns + spacing_ns, 0, now_ns + TURNS_MAX_NS);
  int64_t retry_ns
      = turn_ns - now_ns + (int64_t)((double)spacing_ns * refusal->jitter);
  return clamp_ns (retry_ns, RETRY_MIN_NS,
                   admission_latest_return_ns (refusal->left_ns));
}
