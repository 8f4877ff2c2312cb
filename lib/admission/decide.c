#include "decide.h"

#include <knapweedfork/clock.h>

/* Requests with at least this target are patient: it is longer than a stream
   takes, so all places of a server come free once within it.  */
#define PATIENT_TARGET_NS (3 * KWF_NS_PER_S)
/* Priority class whose requests are patient whatever their target is.  */
#define PATIENT_PRIORITY 2
/* Part of its target for which a patient request is held.  In the rest it
   waits for a place and its prompt is read.  */
#define HOLD_SHARE 0.75
/* Times that a request takes which a held one keeps until its deadline: to
   wait for a place and to run, at twice the usual time.  */
#define HOLD_RUNS 3
/* Part of the reserve that returning callers leave free.  */
#define RETURNING_PART 2
/* Time in which the placement leader reacts to the first request for a model:
   the instance tells it at once, its next round is at most 250 ms later, and
   the engine's answer to the order is told over the links.  */
#define REACTION_NS (750 * KWF_NS_PER_MS)

bool
admission_is_patient (int64_t target_ns, int priority)
{
  return target_ns > 0 ? target_ns >= PATIENT_TARGET_NS
                       : priority >= PATIENT_PRIORITY;
}

int64_t
admission_hold_ns (const admission_query_t *query)
{
  int64_t hold_ns
      = query->waited_ns + query->left_ns - HOLD_RUNS * query->run_ns;
  int64_t by_target_ns
      = (int64_t)((double)query->target_ns * HOLD_SHARE) - query->spent_ns;
  if (query->patient && by_target_ns < hold_ns)
    hold_ns = by_target_ns;
  return hold_ns > 0 ? hold_ns : 0;
}

/* Time in which the request of QUERY has to begin so that its first event is
   in time.  */
static int64_t
in_time_ns (const admission_query_t *query)
{
  return query->target_ns > 0 ? query->target_ns - query->spent_ns
                                    - query->waited_ns - query->read_ns
                              : INT64_MAX;
}

/* Whether the request of QUERY leaves the free places to others.  A late
   answer for a caller that returned is not to make others late, but it goes
   before patient requests.  */
static bool
gives_way (const admission_query_t *query)
{
  if (query->patient)
    return query->forecast.free <= query->reserve;
  return query->spent_ns > 0 && query->forecast.start_ns > in_time_ns (query)
         && query->forecast.free <= query->reserve / RETURNING_PART;
}

admission_decision_t
admission_decide (const admission_query_t *query)
{
  admission_decision_t decision = { .verdict = ADMISSION_START };
  const admission_forecast_t *forecast = &query->forecast;
  if (!forecast->known)
    return decision;
  if (gives_way (query) && query->waited_ns < admission_hold_ns (query))
    {
      decision.verdict = ADMISSION_HOLD;
      return decision;
    }
  if (forecast->start_ns <= 0)
    return decision;
  int64_t latest_ns = query->left_ns - query->run_ns;
  if (forecast->start_ns > latest_ns)
    decision.verdict = ADMISSION_CUT;
  /* A caller that was refused before, or was held, would get less from another
     refusal than from a late answer.  */
  if (!query->patient && !query->spent_ns && in_time_ns (query) < latest_ns)
    {
      latest_ns = in_time_ns (query);
      if (decision.verdict == ADMISSION_START
          && forecast->start_ns > latest_ns)
        decision.verdict = ADMISSION_LATE;
    }
  if (decision.verdict != ADMISSION_START)
    decision.room_in_ns = forecast->start_ns - (latest_ns > 0 ? latest_ns : 0);
  return decision;
}

bool
admission_waits_for_copy (const admission_query_t *query,
                          const admission_load_t *load, int64_t *retry_ns)
{
  int64_t needed_ns = query->run_ns;
  *retry_ns = load->announced ? load->ready_ns : load->load_ns;
  if (load->announced)
    return load->ready_ns + needed_ns <= query->left_ns;
  return query->waited_ns < REACTION_NS
         && load->load_ns + needed_ns <= query->left_ns;
}
