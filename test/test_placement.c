/* Demand for models, and the weights of organisations by their shortfall.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/demand.h"
#include "lib/metric.h"

typedef struct
{
  kwf_clock_t base;
  int64_t now_ns;
} test_clock_t;

static struct timespec
test_time (const kwf_clock_t *clock)
{
  int64_t now_ns = ((const test_clock_t *)clock)->now_ns;
  return (struct timespec){ .tv_sec = now_ns / KWF_NS_PER_S,
                            .tv_nsec = now_ns % KWF_NS_PER_S };
}

static const kwf_clock_ops_t ops
    = { .monotonic = test_time, .wall = test_time };

/* Guards against requests of one instance that the others don't see, and
   against demand of a dead instance that never ends.  */
static void
demand_reaches_others_and_fades (void **state)
{
  (void)state;
  test_clock_t clock = { { &ops }, KWF_NS_PER_S };
  demand_t *a = demand_new (&clock.base);
  demand_t *b = demand_new (&clock.base);
  demand_add_tokens (a, "m", NULL, 100);
  demand_set_waiting (a, "m", "x", 2, 40, clock.now_ns + 5 * KWF_NS_PER_S);
  demand_set_waiting (b, "m", "x", 1, 30, clock.now_ns + 2 * KWF_NS_PER_S);
  assert_true (demand_consume_new_waiting (a));
  assert_false (demand_consume_new_waiting (a));
  char *row = demand_to_json (a);
  demand_apply_row (b, "a", row);
  demand_apply_row (b, "a", "not JSON");
  g_free (row);

  demand_wait_t wait = demand_waiting (b, "m", "x");
  assert_true (wait.waiting);
  assert_int_equal (wait.priority, 1);
  assert_int_equal ((int)wait.tokens, 70);
  assert_false (demand_waiting (b, "m", "").waiting);
  assert_true (demand_waiting (b, "m", NULL).waiting);
  assert_false (demand_waiting (b, "m2", NULL).waiting);
  assert_true (demand_rate (b, "m", NULL) > 9.9);
  clock.now_ns += 3 * KWF_NS_PER_S;
  assert_int_equal ((int)demand_waiting (b, "m", "x").tokens, 40);

  assert_false (demand_is_cold (b, "m", NULL));
  assert_true (demand_is_cold (b, "m2", NULL));
  clock.now_ns += 57 * KWF_NS_PER_S;
  assert_true (demand_is_cold (b, "m", NULL));
  assert_false (demand_waiting (b, "m", "x").waiting);
  assert_true (demand_rate (b, "m", NULL) < 0.1);
  demand_free (a);
  demand_free (b);
}

/* Guards against an organisation that is served worse than another one and has
   the same weight.  */
static void
shortfall_weighs_demand (void **state)
{
  (void)state;
  metrics_t *metrics = metrics_new ();
  series_t *good = metrics_series (metrics, "good", 1);
  series_t *bad = metrics_series (metrics, "bad", 1);
  metrics_update_shortfalls (metrics);
  assert_true (series_demand_weight (bad) == 1);
  series_record (good, HISTOGRAM_FIRST_TOKEN, KWF_NS_PER_S, 10);
  series_record (bad, HISTOGRAM_FIRST_TOKEN, KWF_NS_PER_S, 5);
  series_record (bad, HISTOGRAM_FIRST_TOKEN, 2 * KWF_NS_PER_S, 5);
  metrics_update_shortfalls (metrics);
  assert_true (series_demand_weight (good) == 1);
  assert_true (series_demand_weight (bad) == 3);
  metrics_free (metrics);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (demand_reaches_others_and_fades),
          cmocka_unit_test (shortfall_weighs_demand) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
