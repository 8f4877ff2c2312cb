/* window.h - concurrency window: limits the requests that this instance has
   sent to one engine and that have not ended (docs/design.md section 13,
   "Queueing at the entry").

   The window grows while first tokens arrive in time and shrinks when they
   don't.  It is never below 1.  */

#ifndef KNAPWEEDFORK_WINDOW_H
#define KNAPWEEDFORK_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double limit;
  int batch;       /* requests that the engine runs at once; 0: not known */
  bool has_shrunk; /* it has shrunk before: grows by 1 for each full window of
                      first tokens */
  int64_t shrunk_ns;
  int64_t last_full_end_ns; /* end of the last attempt while the window was
                               full; 0: none */
  double full_ends;         /* attempts that ended while the window was full,
                               decayed */
  double full_ends_s; /* seconds between their ends, decayed in the same way */
} window_t;

void window_init (window_t *window);

/* Set the number of requests that the engine reports to run at once.  BATCH 0:
   not reported.  */
void window_set_batch (window_t *window, int batch);

bool window_has_room (const window_t *window, int open);

/* Adjust the window after the first token of an attempt arrived.  TIME_NS is
   its delay and TARGET_NS the delay that the priority class allows.  OPEN
   attempts are in progress, and the engine last reported WAITING requests in
   its queue.  Return whether the window grew.  */
bool window_record_first_token (window_t *window, int64_t time_ns,
                                int64_t target_ns, int open, int waiting,
                                int64_t now_ns);

/* Record the end of an attempt; OPEN attempts remain.  */
void window_attempt_ended (window_t *window, int open, int64_t now_ns);

/* Mean time in seconds between the ends of attempts while the window is full;
   0: not known.  */
double window_release_interval_s (const window_t *window);

#endif
