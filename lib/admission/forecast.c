#include "forecast.h"

#include <knapweedfork/clock.h>
#include <math.h>

/* Share of the places that is kept free for urgent requests when all requests
   are urgent.  Of 16 places four come free in about half a second, the
   shortest target of urgent streams, when a stream takes 2 s.  */
#define RESERVE_SHARE 0.25
/* A report of the pace says nothing about work that starts later than this
   after it: a server is slow for some 600 ms at a time.  */
#define PACE_AGE_NS (1 * KWF_NS_PER_S)
#define USUAL_PACE 100.0

/* Places that come free at HOLDER in a running time.  What began one running
   time ago ends now: just after the begin of an overload that is less than the
   number of slots.  Running times differ, so the mean of both is taken.  */
static double
places_per_run (const admission_holder_t *holder)
{
  int before = holder->open_before < holder->slots ? holder->open_before
                                                   : holder->slots;
  return (holder->slots + before) / 2.0;
}

static int64_t
start_at (const admission_holder_t *holder, int64_t run_ns)
{
  int ahead = holder->open - holder->slots;
  return ahead < 0 ? 0
                   : (int64_t)((ahead + 1) * (double)run_ns * holder->slowdown
                               / places_per_run (holder));
}

admission_forecast_t
admission_forecast (const admission_holder_t *holders, size_t n,
                    int64_t run_ns)
{
  admission_forecast_t forecast = { .start_ns = INT64_MAX };
  for (size_t i = 0; i < n; i++)
    {
      const admission_holder_t *holder = &holders[i];
      int64_t start_ns = start_at (holder, run_ns);
      forecast.slots += holder->slots;
      if (holder->open < holder->slots)
        forecast.free += holder->slots - holder->open;
      if (start_ns < forecast.start_ns)
        forecast.start_ns = start_ns;
      if (run_ns > 0)
        forecast.places_per_s += holder->slots * (double)KWF_NS_PER_S
                                 / ((double)run_ns * holder->slowdown);
    }
  forecast.known = n > 0 && (run_ns > 0 || forecast.free > 0);
  return forecast.known ? forecast : (admission_forecast_t){ .known = false };
}

int
admission_reserve (int slots, double urgent_share)
{
  return (int)ceil (slots * RESERVE_SHARE * urgent_share);
}

double
admission_slowdown (int pace, int64_t age_ns)
{
  if (pace <= 0 || age_ns < 0 || age_ns >= PACE_AGE_NS)
    return 1;
  double weight = 1 - (double)age_ns / (double)PACE_AGE_NS;
  return 1 + (pace / USUAL_PACE - 1) * weight;
}
