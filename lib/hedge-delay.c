/* The delay before a hedge: the 95th percentile of the time to the first data,
   for each kind of request.  */

#include "request.h"

/* An estimate collects at least this many requests, and for at least this
   long, before it replaces the one before.  */
#define ESTIMATE_NS (30 * KWF_NS_PER_S)
#define ESTIMATE_CALLS 50

/* Shortest delay.  A hedge that is sent earlier gains nothing, because of the
   delay of the network itself.  */
#define HEDGE_MIN_S 0.02

void
hedge_delays_init (hedge_delay_t *hedge_delays, int64_t now_ns)
{
  for (int i = 0; i < N_HEDGE_DELAYS; i++)
    hedge_delays[i]
        = (hedge_delay_t){ .current = gsl_rstat_quantile_alloc (0.95),
                           .since_ns = now_ns };
}

void
hedge_delays_clear (hedge_delay_t *hedge_delays)
{
  for (int i = 0; i < N_HEDGE_DELAYS; i++)
    gsl_rstat_quantile_free (hedge_delays[i].current);
}

void
hedge_delay_record (hedge_delay_t *hedge_delay, int64_t duration_ns,
                    int64_t now_ns)
{
  gsl_rstat_quantile_add ((double)duration_ns / (double)KWF_NS_PER_S,
                          hedge_delay->current);
  hedge_delay->n_current++;
  if (hedge_delay->n_current < ESTIMATE_CALLS
      || (hedge_delay->p95 > 0
          && now_ns - hedge_delay->since_ns < ESTIMATE_NS))
    return;
  hedge_delay->p95 = gsl_rstat_quantile_get (hedge_delay->current);
  gsl_rstat_quantile_reset (hedge_delay->current);
  hedge_delay->n_current = 0;
  hedge_delay->since_ns = now_ns;
}

int64_t
hedge_delay_ns (const hedge_delay_t *hedge_delay)
{
  if (hedge_delay->p95 <= 0)
    return 0;
  return (int64_t)(MAX (hedge_delay->p95, HEDGE_MIN_S) * (double)KWF_NS_PER_S);
}

hedge_delay_kind_t
hedge_delay_kind (const request_t *request)
{
  if (!request_has_model (request))
    return HEDGE_DELAY_SERVICE;
  return request->stream ? HEDGE_DELAY_STREAM : HEDGE_DELAY_WHOLE;
}
