#include "ramp.h"

#include <glib.h>
#include <math.h>

/* The rate is adapted after this time, and not before answers can show the
   last change, with this many answers; with fewer after the longest time.  */
#define PERIOD_NS (250 * KWF_NS_PER_MS)
#define SAMPLES_MIN 3
#define PERIOD_MAX_NS (1 * KWF_NS_PER_S)
/* Answers are slow if they take this multiple of the best on average.  Those
   of a server that is not busy differ by less.  */
#define SLOW 1.5
/* The rate grows by this factor until the answers were slow once, and by the
   lower one then, as the rate that the server can take is near.  */
#define GROWTH 1.3
#define GROWTH_AFTER_FALL 1.1
/* A server whose answers are slow is busy: it takes what it answers.  The rate
   falls to this part of that, so that what waits there becomes less, but not
   to less than FALL of itself at once.  */
#define DRAIN 0.6
#define FALL 0.4
#define LEAST_PER_S 2.0
#define MOST_PER_S 1e6
/* After this many periods in which the rate was enough the ramp-up ends.  */
#define CALM_PERIODS 6
/* The best time gives way by this part in each period, so that one lucky
   answer does not make all later ones slow.  */
#define FORGET 1.01

void
ramp_begin (ramp_t *ramp, int64_t now_ns)
{
  *ramp = (ramp_t){ .begun_ns = now_ns,
                    .period_ns = now_ns,
                    .per_s = RAMP_START_PER_S };
}

bool
ramp_stands (const ramp_t *ramp, int64_t now_ns)
{
  return ramp->begun_ns && !ramp->over
         && now_ns - ramp->begun_ns < RAMP_MAX_NS;
}

double
ramp_rate (const ramp_t *ramp, int64_t now_ns)
{
  return ramp_stands (ramp, now_ns) ? ramp->per_s : INFINITY;
}

void
ramp_record (ramp_t *ramp, int64_t prompt_tokens, int64_t time_ns)
{
  int kind = prompt_tokens > 0 ? g_bit_storage ((gulong)prompt_tokens) : 0;
  ramp->sample = (ramp_sample_t){ .kind = MIN (kind, RAMP_KINDS - 1),
                                  .time_ns = MAX (time_ns, 1) };
}

void
ramp_handle_sample (ramp_t *ramp, const ramp_sample_t *sample)
{
  if (sample->time_ns <= 0 || sample->kind < 0 || sample->kind >= RAMP_KINDS)
    return;
  int64_t *best_ns = &ramp->best_ns[sample->kind];
  if (!*best_ns || sample->time_ns < *best_ns)
    *best_ns = sample->time_ns;
  ramp->n_samples++;
  ramp->longest_ns = MAX (ramp->longest_ns, sample->time_ns);
  ramp->slowness += (double)sample->time_ns / (double)*best_ns;
}

/* Adapts the rate to the answers of PASSED_NS; false: it is too early.  */
static bool
adapt (ramp_t *ramp, int64_t passed_ns)
{
  bool rare = ramp->n_samples < SAMPLES_MIN;
  if (passed_ns < (rare ? PERIOD_MAX_NS : PERIOD_NS))
    return false;
  double slowness = rare ? SLOW : ramp->slowness / ramp->n_samples;
  double growth = ramp->fell ? GROWTH_AFTER_FALL : GROWTH;
  if (slowness > SLOW)
    {
      ramp->fell = true;
      double answered_per_s
          = ramp->n_samples * (double)KWF_NS_PER_S / (double)passed_ns;
      double next_per_s = fmax (DRAIN * answered_per_s, FALL * ramp->per_s);
      ramp->per_s = fmin (ramp->per_s, next_per_s);
      ramp->per_s = fmax (ramp->per_s, LEAST_PER_S);
    }
  /* Answers must show the last growth before the next one.  */
  else if (passed_ns < MIN (ramp->longest_ns, PERIOD_MAX_NS))
    return false;
  else if (ramp->wanting && ramp->n_samples)
    ramp->per_s = fmin (ramp->per_s * growth, MOST_PER_S);
  ramp->n_calm = !ramp->wanting && slowness <= SLOW ? ramp->n_calm + 1 : 0;
  ramp->over = ramp->n_calm >= CALM_PERIODS;
  return true;
}

bool
ramp_count_grant (ramp_t *ramp, int n_asked, int n, int64_t now_ns)
{
  if (!ramp_stands (ramp, now_ns))
    return false;
  ramp->wanting |= n < n_asked;
  if (!adapt (ramp, now_ns - ramp->period_ns))
    return false;
  ramp->period_ns = now_ns;
  ramp->n_samples = 0;
  ramp->longest_ns = 0;
  ramp->slowness = 0;
  ramp->wanting = false;
  for (int i = 0; i < RAMP_KINDS; i++)
    ramp->best_ns[i] = (int64_t)((double)ramp->best_ns[i] * FORGET);
  return ramp->over;
}
