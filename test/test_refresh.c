/* Tables that are read at once because a decision needs them to be current,
   and the dates that the feed tells (lib/currency.h).  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-feed.h"

/* Shorter than the time for which the store holds a poll without a change.  */
#define AT_ONCE_S 0.3

/* Guards against a refresh that waits for the poll that the store holds back
   until there is a change, and against a date before the question.  */
static void
refresh_waits_for_the_open_poll (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 0);
  run_for (fixture->loop, 0.2);
  assert_non_null (fixture->waiting_connection);
  int n_polls = fixture->n_polls;
  int64_t asked_ns = kwf_now_ns (kwf_clock_system ());
  feed_refresh (fixture->feed);
  run_for (fixture->loop, AT_ONCE_S);
  assert_true (fixture->date.current_ns >= asked_ns);
  assert_int_equal (fixture->date.revision, 7);
  assert_false (fixture->date.failed);
  /* It then goes on as the reader.  */
  assert_int_equal (fixture->n_polls, n_polls + 2);
}

/* Guards against a date that rises without an answer, and against a failure
   that is not told.  */
static void
refresh_without_an_answer_dates_the_rows (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 3600 * KWF_NS_PER_S);
  int64_t current_ns = fixture->date.current_ns;
  fixture->refusal = 503;
  feed_refresh (fixture->feed);
  run_for (fixture->loop, AT_ONCE_S);
  assert_true (fixture->date.failed);
  assert_true (fixture->date.current_ns == current_ns);
}

/* Guards against an instance that takes itself for current although a message
   has shown that others know more.  */
static void
gap_is_not_told (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 3600 * KWF_NS_PER_S);
  fixture->refusal = 503;
  feed_fixture_receive (fixture, 11, 12, true);
  assert_true (fixture->date.behind);
  fixture->refusal = 0;
  fixture->version = 12;
  run_for (fixture->loop, 1.0);
  assert_false (fixture->date.behind);
  assert_int_equal (fixture->date.revision, 12);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (refresh_waits_for_the_open_poll,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (refresh_without_an_answer_dates_the_rows,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (gap_is_not_told, feed_fixture_set_up,
                                     feed_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
