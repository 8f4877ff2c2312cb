#include "window.h"

#include <knapweedfork/clock.h>
#include <math.h>

/* Initial limit for an engine that doesn't report its batch size, and the
   maximum for such an engine.  */
#define INITIAL_LIMIT 64.0
#define MAX_LIMIT 4096.0
#define SHRINK_FACTOR 0.8
/* Part of the target for the first token that may pass between sending the
   request and its first token.  The rest is for the wait in the queue of this
   instance: if the engine used up the whole target, a new request would have
   no time to wait for a full engine.  */
#define TARGET_PART 0.5
/* Factor by which the previous intervals between ends of attempts lose weight
   with each new one, and the minimum weight for a valid mean.  */
#define DECAY 0.97
#define MIN_ENDS 7.0

void
window_init (window_t *window)
{
  *window = (window_t){ .limit = INITIAL_LIMIT };
}

void
window_set_batch (window_t *window, int batch)
{
  if (batch <= 0 || batch == window->batch)
    return;
  if (!window->batch || window->limit > batch)
    window->limit = batch;
  window->batch = batch;
}

bool
window_has_room (const window_t *window, int open)
{
  return open < (int)window->limit;
}

bool
window_record_first_token (window_t *window, int64_t time_ns,
                           int64_t target_ns, int open, int waiting,
                           int64_t now_ns)
{
  double max_limit = window->batch ? window->batch : MAX_LIMIT;
  int64_t part_ns = (int64_t)((double)target_ns * TARGET_PART);
  if (time_ns > part_ns)
    {
      /* Attempts that were sent before the last reduction say nothing about
         the reduced window.  */
      if (now_ns - time_ns < window->shrunk_ns)
        return false;
      window->limit = fmax (1, window->limit * SHRINK_FACTOR);
      window->has_shrunk = true;
      window->shrunk_ns = now_ns;
      return false;
    }
  if (open < (int)window->limit || window->limit >= max_limit)
    return false;
  int before = (int)window->limit;
  bool fast = !window->has_shrunk && waiting == 0;
  window->limit
      = fmin (max_limit, window->limit + (fast ? 1 : 1 / window->limit));
  return (int)window->limit > before;
}

void
window_attempt_ended (window_t *window, int open, int64_t now_ns)
{
  if (open + 1 < (int)window->limit)
    {
      window->last_full_end_ns = 0;
      return;
    }
  if (window->last_full_end_ns)
    {
      double passed_s
          = (double)(now_ns - window->last_full_end_ns) / (double)KWF_NS_PER_S;
      window->full_ends = window->full_ends * DECAY + 1;
      window->full_ends_s = window->full_ends_s * DECAY + passed_s;
    }
  window->last_full_end_ns = now_ns;
}

double
window_release_interval_s (const window_t *window)
{
  return window->full_ends < MIN_ENDS
             ? 0
             : window->full_ends_s / window->full_ends;
}
