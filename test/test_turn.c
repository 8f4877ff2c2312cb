/* Histogram of the turns of the event loop.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "net/loop-turn.h"

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  int64_t end_ns = kwf_now_ns (timer->data) + 12 * KWF_NS_PER_MS;
  while (kwf_now_ns (timer->data) < end_ns)
    continue;
  ev_timer_stop (loop, timer);
}

/* Guards against a long turn that the metrics do not show, and against
   counting the time of the poll.  */
static void
long_turn_is_counted (void **state)
{
  (void)state;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  kwf_clock_t *clock = (kwf_clock_t *)kwf_clock_system ();
  loop_turn_t turn;
  loop_turn_start (&turn, loop, clock);
  ev_timer timer;
  ev_timer_init (&timer, on_timer, 0.15, 0.);
  timer.data = clock;
  ev_timer_start (loop, &timer);
  while (ev_is_active (&timer))
    ev_run (loop, EVRUN_ONCE);
  ev_run (loop, EVRUN_NOWAIT);
  loop_turn_stop (&turn);
  ev_loop_destroy (loop);
  assert_true (turn.total >= 1);
  assert_true (turn.sum_ns >= 12 * KWF_NS_PER_MS);
  assert_int_equal (turn.counts[0] + turn.counts[1] + turn.counts[2]
                        + turn.counts[3] + 1,
                    turn.total);
}

static void
buckets_add_up (void **state)
{
  (void)state;
  loop_turn_t turn = { 0 };
  loop_turn_count (&turn, KWF_NS_PER_MS);
  loop_turn_count (&turn, 3 * KWF_NS_PER_MS);
  loop_turn_count (&turn, KWF_NS_PER_S);
  GString *text = g_string_new (NULL);
  loop_turn_write_metrics (&turn, text);
  assert_non_null (strstr (text->str, "_bucket{le=\"0.001\"} 1\n"));
  assert_non_null (strstr (text->str, "_bucket{le=\"0.005\"} 2\n"));
  assert_non_null (strstr (text->str, "_bucket{le=\"0.1\"} 2\n"));
  assert_non_null (strstr (text->str, "_bucket{le=\"+Inf\"} 3\n"));
  assert_non_null (strstr (text->str, "_sum 1.004000\n"));
  g_string_free (text, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (long_turn_is_counted),
    cmocka_unit_test (buckets_add_up),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
