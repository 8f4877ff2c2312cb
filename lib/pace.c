/* Usual time to the first data of each kind of call, for hedging.  */

#include "request.h"

/* Each estimate is fed this long and by at least this many calls.  */
#define TURN_NS (30 * KWF_NS_PER_S)
#define TURN_CALLS 50

/* Hedging sooner than this gains nothing over the network's own delay.  */
#define HEDGE_LEAST_S 0.02

void
paces_init (pace_t *paces, int64_t now_ns)
{
  for (int i = 0; i < N_PACES; i++)
    paces[i] = (pace_t){ .current = gsl_rstat_quantile_alloc (0.95),
                         .since_ns = now_ns };
}

void
paces_clear (pace_t *paces)
{
  for (int i = 0; i < N_PACES; i++)
    gsl_rstat_quantile_free (paces[i].current);
}

void
pace_record (pace_t *pace, int64_t duration_ns, int64_t now_ns)
{
  gsl_rstat_quantile_add ((double)duration_ns / (double)KWF_NS_PER_S,
                          pace->current);
  pace->n_current++;
  if (pace->n_current < TURN_CALLS
      || (pace->p95 > 0 && now_ns - pace->since_ns < TURN_NS))
    return;
  pace->p95 = gsl_rstat_quantile_get (pace->current);
  gsl_rstat_quantile_reset (pace->current);
  pace->n_current = 0;
  pace->since_ns = now_ns;
}

int64_t
pace_hedge_ns (const pace_t *pace)
{
  if (pace->p95 <= 0)
    return 0;
  return (int64_t)(MAX (pace->p95, HEDGE_LEAST_S) * (double)KWF_NS_PER_S);
}

pace_kind_t
pace_kind (const request_t *request)
{
  if (!request_has_model (request))
    return PACE_SERVICE;
  return request->stream ? PACE_STREAM : PACE_WHOLE;
}
