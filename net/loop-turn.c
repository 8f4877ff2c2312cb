#include "loop-turn.h"

/* Turns should take at most 5 ms on a quarter of a core; a process that is
   throttled stops for up to 100 ms.  */
static const int64_t bounds_ms[LOOP_TURN_BOUNDS]
    = { 1, 2, 5, 10, 20, 50, 100 };

static void
on_begin (struct ev_loop *loop, ev_check *watcher, int events)
{
  (void)loop;
  (void)events;
  loop_turn_t *turn = watcher->data;
  turn->began_ns = kwf_now_ns (turn->clock);
}

static void
on_end (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  loop_turn_t *turn = watcher->data;
  if (turn->began_ns)
    loop_turn_count (turn, kwf_now_ns (turn->clock) - turn->began_ns);
  turn->began_ns = 0;
}

void
loop_turn_start (loop_turn_t *turn, struct ev_loop *loop,
                 const kwf_clock_t *clock)
{
  *turn = (loop_turn_t){ .loop = loop, .clock = clock };
  ev_check_init (&turn->begin, on_begin);
  ev_prepare_init (&turn->end, on_end);
  turn->begin.data = turn->end.data = turn;
  /* The first watcher after the poll and the last one before it.  */
  ev_set_priority (&turn->begin, EV_MAXPRI);
  ev_set_priority (&turn->end, EV_MINPRI);
  ev_check_start (loop, &turn->begin);
  ev_prepare_start (loop, &turn->end);
}

void
loop_turn_stop (loop_turn_t *turn)
{
  if (!turn->loop)
    return;
  ev_check_stop (turn->loop, &turn->begin);
  ev_prepare_stop (turn->loop, &turn->end);
}

void
loop_turn_count (loop_turn_t *turn, int64_t duration_ns)
{
  int i = 0;
  while (i < LOOP_TURN_BOUNDS && duration_ns > bounds_ms[i] * KWF_NS_PER_MS)
    i++;
  turn->counts[i]++;
  turn->total++;
  turn->sum_ns += duration_ns;
}

void
loop_turn_write_metrics (const loop_turn_t *turn, GString *out)
{
  uint64_t below = 0;
  g_string_append (out, "# TYPE kwf_loop_turn_seconds histogram\n");
  for (int i = 0; i < LOOP_TURN_BOUNDS; i++)
    {
      below += turn->counts[i];
      g_string_append_printf (
          out,
          "kwf_loop_turn_seconds_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
          (double)bounds_ms[i] / 1000, below);
    }
  g_string_append_printf (
      out,
      "kwf_loop_turn_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n"
      "kwf_loop_turn_seconds_sum %.6f\n"
      "kwf_loop_turn_seconds_count %" G_GUINT64_FORMAT "\n",
      turn->total, (double)turn->sum_ns / (double)KWF_NS_PER_S, turn->total);
}
