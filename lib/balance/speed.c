#include "speed.h"

#include <glib.h>
#include <math.h>

#include <knapweedfork/clock.h>

/* Half-life of what was measured: speeds are properties of a machine, but a
   server may move to another one.  */
#define HALF_LIFE_NS (60 * KWF_NS_PER_S)
/* Weight of the service's mean in the estimate of one server: as much as some
   two streams, since the mean of one stream is off by a tenth or two.  */
#define PRIOR_WEIGHT 4.0
/* Weight of a new sample in the mean of a service.  */
#define USUAL_PART 0.05
/* Part by which a sample moves a median.  */
#define MEDIAN_PART 0.02
/* One sample counts as at most this many times the mean, so that a stalled
   request does not set it.  */
#define SAMPLE_MAX 4.0

/* Values of the model servers of docs/hard-load.md section 2.  */
#define FIRST_TOKEN_NS (52e-3 * (double)KWF_NS_PER_MS)
#define FIRST_HOLD_NS (1.5 * (double)KWF_NS_PER_S)
#define FIRST_PROMPT_TOKENS 1000.0

void
usual_init (usual_t *usual)
{
  *usual = (usual_t){ .token_ns = FIRST_TOKEN_NS,
                      .prompt_tokens = FIRST_PROMPT_TOKENS,
                      .hold_ns = FIRST_HOLD_NS };
}

void
speed_decay (speed_t *speed, int64_t now_ns)
{
  double age = (double)(now_ns - speed->decayed_ns) / (double)HALF_LIFE_NS;
  speed->decayed_ns = now_ns;
  if (age <= 0 || speed->weight <= 0)
    return;
  double factor = exp2 (-age);
  speed->sum *= factor;
  speed->weight *= factor;
}

void
speed_add (speed_t *speed, double time_ns, double weight, int64_t now_ns)
{
  if (time_ns <= 0)
    return;
  speed_decay (speed, now_ns);
  speed->sum += weight * log (time_ns);
  speed->weight += weight;
}

double
speed_slowness (double sum, double weight, const usual_t *usual)
{
  if (!usual || usual->log_ns <= 0 || weight <= 0)
    return 1;
  return exp ((sum - weight * usual->log_ns) / (weight + PRIOR_WEIGHT));
}

void
usual_add (double *mean, double sample)
{
  if (sample >= 0)
    *mean += USUAL_PART * (MIN (sample, *mean * SAMPLE_MAX) - *mean);
}

void
usual_move_median (double *median, double sample)
{
  if (sample > *median)
    *median *= 1 + MEDIAN_PART;
  else if (sample > 0)
    *median /= 1 + MEDIAN_PART;
}
