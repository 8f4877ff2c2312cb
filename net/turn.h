/* turn.h - how long the turns of a loop take: from the return of the poll to
   the next one.  A long turn delays all streams.  */

#ifndef KNAPWEEDFORK_NET_TURN_H
#define KNAPWEEDFORK_NET_TURN_H

#include <ev.h>
#include <glib.h>
#include <stdint.h>

#include <knapweedfork/clock.h>

#define TURN_BOUNDS 7

typedef struct
{
  struct ev_loop *loop;
  const kwf_clock_t *clock;
  ev_check begin;
  ev_prepare end;
  int64_t began_ns;                 /* 0: no turn under way */
  uint64_t counts[TURN_BOUNDS + 1]; /* the last one is above all bounds */
  uint64_t total;
  int64_t sum_ns;
} turn_t;

void turn_start (turn_t *turn, struct ev_loop *loop, const kwf_clock_t *clock);
void turn_stop (turn_t *turn);

/* Count a turn of that length.  */
void turn_count (turn_t *turn, int64_t duration_ns);

/* Append histogram kwf_loop_turn_seconds.  */
void turn_write_metrics (const turn_t *turn, GString *out);

#endif
