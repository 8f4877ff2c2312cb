/* The pure decisions of admission by forecast.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "lib/admission/decide.h"
#include "lib/admission/retry.h"

#define MS KWF_NS_PER_MS

/* Guards against callers that come back together, out of order, or after the
   time in which they come back at all.  */
static void
callers_come_back_in_order_and_spread (void **state)
{
  (void)state;
  admission_turns_t turns = { 0 };
  int64_t last_ns = 0;
  int64_t now_ns = KWF_NS_PER_S;
  for (int i = 0; i < 6; i++)
    {
      admission_refusal_t refusal = { .room_in_ns = 200 * MS,
                                      .places_per_s = 16,
                                      .n_instances = 2,
                                      .left_ns = 15000 * MS };
      int64_t retry_ns = admission_retry_ns (&turns, &refusal, now_ns);
      assert_true (retry_ns >= last_ns + 400 * MS || i == 0);
      last_ns = retry_ns;
      refusal.patient = true;
      assert_true (admission_retry_ns (&turns, &refusal, now_ns) > retry_ns);
      refusal.left_ns = 600 * MS;
      assert_in_range (admission_retry_ns (&turns, &refusal, now_ns), 100 * MS,
                       200 * MS);
    }
}

/* Guards against a forecast that takes a request for late while a place is
   free or nothing is known, and against one that holds it for ever.  */
static void
decisions_follow_the_forecast (void **state)
{
  (void)state;
  const admission_holder_t full
      = { .slots = 16, .open = 20, .open_before = 16, .slowdown = 1 };
  const admission_holder_t holders[] = { full, { 16, 14, 14, 1 } };
  admission_query_t query = { .target_ns = 500 * MS,
                              .left_ns = 15000 * MS,
                              .run_ns = 2000 * MS,
                              .read_ns = 100 * MS };
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_START);
  query.forecast = admission_forecast (holders, 2, query.run_ns);
  assert_int_equal (query.forecast.free, 2);
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_START);
  /* The fifth place to come free, one each 125 ms.  */
  query.forecast = admission_forecast (holders, 1, query.run_ns);
  assert_int_equal (query.forecast.start_ns, 625 * MS);
  admission_decision_t decision = admission_decide (&query);
  assert_int_equal (decision.verdict, ADMISSION_LATE);
  assert_int_equal (decision.room_in_ns, 225 * MS);
  query.spent_ns = 200 * MS;
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_HOLD);
  query.left_ns = 5900 * MS;
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_START);
  query.left_ns = 2500 * MS;
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_CUT);
  query = (admission_query_t){ .patient = true,
                               .target_ns = 20000 * MS,
                               .left_ns = 30000 * MS,
                               .run_ns = 2000 * MS,
                               .reserve = admission_reserve (16, 0.8),
                               .forecast = query.forecast };
  assert_int_equal (query.reserve, 4);
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_HOLD);
  query.waited_ns = 15000 * MS;
  query.left_ns = 15000 * MS;
  assert_int_equal (admission_decide (&query).verdict, ADMISSION_START);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (decisions_follow_the_forecast),
    cmocka_unit_test (callers_come_back_in_order_and_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
