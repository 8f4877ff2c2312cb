#include "repeat-window.h"

#include <glib.h>
#include <math.h>
#include <string.h>

void
repeat_window_init (repeat_window_t *window, int64_t window_ns, int64_t now_ns)
{
  memset (window, 0, sizeof *window);
  window->slot_ns = MAX (window_ns / REPEAT_SLOTS, 1);
  window->newest = now_ns / window->slot_ns;
}

/* SLOT may be up to REPEAT_HISTORY before the start of the clock.  */
static int
place_of (int64_t slot)
{
  return (int)((slot + REPEAT_HISTORY) % REPEAT_HISTORY);
}

/* Makes the slot of NOW_NS the newest one.  */
static void
advance (repeat_window_t *window, int64_t now_ns)
{
  int64_t slot = now_ns / window->slot_ns;
  int64_t first = MAX (window->newest + 1, slot - REPEAT_HISTORY + 1);
  for (int64_t i = first; i <= slot; i++)
    {
      window->requests[place_of (i)] = 0;
      window->repeats[place_of (i)] = 0;
    }
  window->newest = MAX (window->newest, slot);
}

void
repeat_window_count_request (repeat_window_t *window, int64_t now_ns)
{
  advance (window, now_ns);
  window->requests[place_of (window->newest)]++;
}

void
repeat_window_count_repeat (repeat_window_t *window, int64_t now_ns)
{
  advance (window, now_ns);
  window->repeats[place_of (window->newest)]++;
}

void
repeat_window_remove_repeat (repeat_window_t *window, int64_t counted_ns,
                             int64_t now_ns)
{
  advance (window, now_ns);
  int64_t slot = counted_ns / window->slot_ns;
  if (slot > window->newest - REPEAT_HISTORY
      && window->repeats[place_of (slot)] > 0)
    window->repeats[place_of (slot)]--;
}

double
repeat_window_left (repeat_window_t *window, double share, int64_t now_ns)
{
  advance (window, now_ns);
  /* The windows that hold NOW_NS start in the slots from the newest on
     downwards.  BEFORE: requests of the whole slots within one window before
     such a start; SINCE: of the slots after it.  */
  int before = 0;
  int since = 0;
  int repeats = 0;
  double left = INFINITY;
  int64_t newest = window->newest;
  for (int i = 1; i < REPEAT_SLOTS; i++)
    before += window->requests[place_of (newest - i)];
  for (int age = 0; age <= REPEAT_SLOTS; age++)
    {
      int64_t start = newest - age;
      repeats += window->repeats[place_of (start)];
      double mean
          = REPEAT_BEFORE_PART * before + (1 - REPEAT_BEFORE_PART) * since;
      left = fmin (left, share * mean - repeats);
      since += window->requests[place_of (start)];
      before += window->requests[place_of (start - REPEAT_SLOTS)]
                - window->requests[place_of (start - 1)];
    }
  return left;
}
