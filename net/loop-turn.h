/* loop-turn.h - histogram of the loop's turns: the time from the return of the
   poll to the next poll.  A long turn delays all streams.  */

#ifndef KNAPWEEDFORK_NET_LOOP_TURN_H
#define KNAPWEEDFORK_NET_LOOP_TURN_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

#include <knapweedfork/clock.h>

#define LOOP_TURN_BOUNDS 7

typedef struct
{
  struct ev_loop *loop;
  const kwf_clock_t *clock;
  ev_check begin;
  ev_prepare end;
  int64_t began_ns;                      /* 0: the loop is waiting */
  uint64_t counts[LOOP_TURN_BOUNDS + 1]; /* by bound; the last one is above all
                                       bounds */
  uint64_t total;
  int64_t sum_ns;
} loop_turn_t;

void loop_turn_start (loop_turn_t *turn, struct ev_loop *loop,
                      const kwf_clock_t *clock);
void loop_turn_stop (loop_turn_t *turn);

/* Counts a turn that took DURATION_NS.  */
void loop_turn_count (loop_turn_t *turn, int64_t duration_ns);

/* Appends the histogram kwf_loop_turn_seconds.  */
void loop_turn_write_metrics (const loop_turn_t *turn, GString *out);

#endif
