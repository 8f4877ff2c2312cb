#include "window.h"

#include <knapweedfork/clock.h>
#include <math.h>

/* Start for an engine that does not report its batch.  */
#define FIRST_LIMIT 64.0
#define MOST_LIMIT 4096.0
#define SHRINK 0.8
/* Part of the target that may pass at the engine.  The rest is for the wait
   at the entry: a window that fills the whole target leaves a newcomer
   behind a full engine queue no time at all.  */
#define TARGET_PART 0.5
/* Weight that the mean of the releases keeps at each one, and the least
   number of releases it is trusted with.  */
#define KEEP 0.97
#define LEAST_RELEASES 7.0

void
window_init (window_t *window)
{
  *window = (window_t){ .limit = FIRST_LIMIT };
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
  double most = window->batch ? window->batch : MOST_LIMIT;
  int64_t part_ns = (int64_t)((double)target_ns * TARGET_PART);
  if (time_ns > part_ns)
    {
      /* Attempts that were sent before the last shrink tell nothing about
         the window since.  */
      if (now_ns - time_ns < window->shrunk_ns)
        return false;
      window->limit = fmax (1, window->limit * SHRINK);
      window->slow = true;
      window->shrunk_ns = now_ns;
      return false;
    }
  if (open < (int)window->limit || window->limit >= most)
    return false;
  int before = (int)window->limit;
  bool fast = !window->slow && waiting == 0;
  window->limit = fmin (most, window->limit + (fast ? 1 : 1 / window->limit));
  return (int)window->limit > before;
}

void
window_attempt_ended (window_t *window, int open, int64_t now_ns)
{
  if (open + 1 < (int)window->limit)
    {
      window->released_ns = 0;
      return;
    }
  if (window->released_ns)
    {
      double passed_s
          = (double)(now_ns - window->released_ns) / (double)KWF_NS_PER_S;
      window->releases = window->releases * KEEP + 1;
      window->released_s = window->released_s * KEEP + passed_s;
    }
  window->released_ns = now_ns;
}

double
window_release_interval_s (const window_t *window)
{
  return window->releases < LEAST_RELEASES
             ? 0
             : window->released_s / window->releases;
}
