/* window.h - how much this instance may have sent and not finished to one
   engine (docs/design.md section 13, "Queueing at the entry").

   The window grows while first tokens come in time and shrinks when they do
   not.  It is never below 1.  */

#ifndef KNAPWEEDFORK_WINDOW_H
#define KNAPWEEDFORK_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double limit;
  int batch; /* what the engine runs at once; 0: not known */
  bool slow; /* has shrunk before: grows by 1 for each window */
  int64_t shrunk_ns;
  int64_t released_ns; /* time of the last release while full; 0: none */
  double releases;     /* while full, decayed */
  double released_s;   /* time that they took, decayed alike */
} window_t;

void window_init (window_t *window);

/* BATCH is what the engine reports; 0: nothing.  */
void window_set_batch (window_t *window, int batch);

bool window_has_room (const window_t *window, int open);

/* The first token of an attempt came after TIME_NS; the class wants it
   within TARGET_NS.  OPEN attempts are under way, and the engine last
   reported WAITING.  Return whether the window grew.  */
bool window_record_first_token (window_t *window, int64_t time_ns,
                                int64_t target_ns, int open, int waiting,
                                int64_t now_ns);

/* An attempt ended; OPEN are left.  */
void window_attempt_ended (window_t *window, int open, int64_t now_ns);

/* Mean time between releases of a full window; 0: not known.  */
double window_release_interval_s (const window_t *window);

#endif
