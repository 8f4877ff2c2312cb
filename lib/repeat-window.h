/* repeat-window.h - requests and repeats of one service in the last two
   windows, and the repeats that a share of the requests still allows.

   In no window of this length are there more repeats than SHARE times a mean
   of the requests of the window before it and of the window itself, weighted
   by REPEAT_BEFORE_PART.  A weighted mean may be added up over instances: the
   sum is at most SHARE times the requests of all of them in one of the two
   windows, wherever the callers move.  The larger of the two may not: a caller
   who moves would count at both instances.

   Times are counted in slots; partly covered slots count for the repeats and
   not for the requests, so that the rule holds for windows with any start.

   The functions read no clock.  Times are in nanoseconds.  */

#ifndef KNAPWEEDFORK_REPEAT_WINDOW_H
#define KNAPWEEDFORK_REPEAT_WINDOW_H

#include <stdint.h>

/* Slots of one window, and those that are kept: two windows and the slot that
   is being filled.  */
#define REPEAT_SLOTS 20
#define REPEAT_HISTORY (2 * REPEAT_SLOTS + 1)

/* Weight of the window before.  The more it has, the more repeats may be made
   at once after quiet; the rest lets a new process begin within its first
   window.  */
#define REPEAT_BEFORE_PART 0.75

typedef struct
{
  int64_t slot_ns; /* length of a slot */
  int64_t newest;  /* number of the newest slot */
  int requests[REPEAT_HISTORY];
  int repeats[REPEAT_HISTORY];
} repeat_window_t;

void repeat_window_init (repeat_window_t *window, int64_t window_ns,
                         int64_t now_ns);

void repeat_window_count_request (repeat_window_t *window, int64_t now_ns);
void repeat_window_count_repeat (repeat_window_t *window, int64_t now_ns);

/* The repeat that was counted at COUNTED_NS was not made.  */
void repeat_window_remove_repeat (repeat_window_t *window, int64_t counted_ns,
                                  int64_t now_ns);

/* Repeats that SHARE allows now beyond those that were made; below 0: more
   were made.  */
double repeat_window_left (repeat_window_t *window, double share,
                           int64_t now_ns);

#endif
