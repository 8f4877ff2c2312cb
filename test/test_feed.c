/* The change feed of one table of the platform's store: by own polls, or by
   messages of another instance.  The store is a scripted one.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-feed.h"
#include "lib/revision.h"

/* What is left of an hour after the store was away.  */
static int64_t
recovery_left_ns (const feed_fixture_t *fixture)
{
  return feed_ages (fixture->feed, 3600 * KWF_NS_PER_S).recovery_left_ns;
}

/* Guards against changes that the reader polls and does not publish to the
   other instances.  A max age of 0 makes this feed the reader.  */
static void
reader_polls_and_tells (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 0);
  run_for (fixture->loop, 0.2);
  assert_non_null (fixture->waiting_connection);
  assert_int_equal (fixture->n_polls, 1);
  fixture->version = 9;
  feed_fixture_reply (fixture, fixture->waiting_connection, true);
  assert_true (run_until (fixture->loop, &fixture->n_published, 1, 5));
  assert_int_equal (fixture->row, 9);
  assert_int_equal (fixture->published.table, 2);
  assert_int_equal (fixture->published.after, 7);
  assert_int_equal (fixture->published.revision, 9);
  assert_int_equal (fixture->published.n_rows, 1);
}

/* Guards against polls of an instance that gets all changes from another one,
   and against an instance that learns nothing when these messages stop.  */
static void
listener_asks_when_it_is_told_nothing (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  for (int i = 0; i < 10; i++)
    {
      feed_fixture_receive (fixture, 7 + i, 8 + i, true);
      run_for (fixture->loop, 0.1);
    }
  assert_int_equal (fixture->row, 17);
  assert_int_equal (fixture->n_polls, 0);
  fixture->version = 20;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 20);
}

/* Guards against a change that is lost between two messages.  */
static void
gap_is_read_at_once (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 3600 * KWF_NS_PER_S);
  fixture->version = 12;
  feed_fixture_receive (fixture, 11, 12, true);
  assert_int_equal (fixture->row, 7);
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 12);
  assert_int_equal (fixture->n_full_reads, 1);
}

/* Guards against a return to an older version: by an answer that was on its
   way while another instance passed on a newer version, and by a late
   message.  */
static void
older_news_change_nothing (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 0);
  run_for (fixture->loop, 0.2);
  assert_non_null (fixture->waiting_connection);
  fixture->version = 8;
  feed_fixture_reply (fixture, fixture->waiting_connection, true);
  feed_fixture_receive (fixture, 7, 9, true);
  assert_int_equal (fixture->row, 9);
  fixture->version = 9;
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->row, 9);
  feed_fixture_receive (fixture, 6, 8, true);
  assert_int_equal (fixture->row, 9);
  assert_false (fixture->went_back);
}

/* Guards against changes that a build without eras passes on, and that are
   ignored where the store names an era; and against those of an earlier era
   that are taken for new ones.  */
static void
changes_without_an_era_are_ignored (void **state)
{
  feed_fixture_t *fixture = *state;
  fixture->era = 1;
  feed_fixture_make (fixture, 3600 * KWF_NS_PER_S, 7);
  assert_true (run_until (fixture->loop, &fixture->n_complete, 1, 5));
  assert_true (fixture->row == revision_make (1, 7));
  run_for (fixture->loop, 0.05);
  feed_fixture_receive_delayed (fixture, 7, 9, true, 3000);
  assert_true (fixture->row == revision_make (1, 7));
  feed_fixture_receive (fixture, 7, 8, true);
  assert_true (fixture->row == revision_make (1, 8));
  assert_int_equal (fixture->n_polls, 0);
}

/* Guards against changes that stay unknown after the store dropped its
   history, and after it was away.  */
static void
all_is_read_when_the_history_is_gone (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->history_gone = true;
  fixture->version = 30;
  assert_true (run_until (fixture->loop, &fixture->n_complete, 2, 5));
  assert_int_equal (fixture->row, 30);
  assert_int_equal (fixture->n_full_reads, 2);
  fixture->history_gone = false;
  fixture->refusal = 503;
  int polls = fixture->n_polls;
  assert_true (run_until (fixture->loop, &fixture->n_polls, polls + 3, 5));
  run_for (fixture->loop, 2.1);
  fixture->refusal = 0;
  fixture->version = 31;
  assert_true (run_until (fixture->loop, &fixture->n_complete, 3, 5));
  assert_int_equal (fixture->row, 31);
  assert_true (recovery_left_ns (fixture) > 0);
}

/* Guards against an instance that ignores the messages of others, and passes
   none on, while it reads all rows because the store dropped its history; and
   against the answer to that read, which is older by then.  */
static void
news_count_while_all_is_read (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->history_gone = fixture->silent_reads = true;
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 2, 5));
  feed_fixture_receive (fixture, 7, 40, true);
  assert_int_equal (fixture->row, 40);
  assert_int_equal (fixture->n_published, 1);
  fixture->version = 8;
  feed_fixture_reply (fixture, fixture->waiting_connection, true);
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 40);
  assert_false (fixture->went_back);
  fixture->version = 41;
  fixture->silent_reads = false;
  run_for (fixture->loop, 2.5);
  assert_int_equal (fixture->row, 41);
}

/* Guards against an instance that ignores the messages of others while its own
   path to the store is broken.  */
static void
news_count_while_the_store_is_silent (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->silent = true;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  feed_fixture_receive (fixture, 7, 40, true);
  assert_int_equal (fixture->row, 40);
}

/* Guards against entries of servers that are kept although they were deleted,
   because the path of this instance alone to the store was broken.  */
static void
own_failures_do_not_make_news_unsure (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->refusal = 503;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 3, 5));
  feed_fixture_receive (fixture, 7, 8, true);
  assert_int_equal (recovery_left_ns (fixture), 0);
  assert_true (run_until (fixture->loop, &fixture->n_polls, 6, 5));
  fixture->refusal = 0;
  fixture->version = 9;
  assert_true (run_until (fixture->loop, &fixture->n_complete, 3, 5));
  assert_int_equal (recovery_left_ns (fixture), 0);
}

/* Guards against an outage of the store that is supposed because nobody passed
   changes on, while the store answers at once, or answers others.  */
static void
silence_of_others_is_no_outage (void **state)
{
  feed_fixture_t *fixture = *state;
  fixture->fresh_ms = 4000;
  feed_fixture_start (fixture, 2200 * KWF_NS_PER_MS);
  fixture->version = 8;
  assert_true (run_until (fixture->loop, &fixture->n_complete, 2, 5));
  assert_int_equal (recovery_left_ns (fixture), 0);
  assert_in_range (feed_ages (fixture->feed, 0).previous_ns,
                   2200 * KWF_NS_PER_MS, 3000 * KWF_NS_PER_MS);
  fixture->refusal = 429;
  run_for (fixture->loop, 3.5);
  fixture->refusal = 0;
  fixture->version = 9;
  assert_true (run_until (fixture->loop, &fixture->n_complete, 3, 5));
  assert_int_equal (recovery_left_ns (fixture), 0);
}

/* Guards against a poll on a connection that has gone silent, which takes up
   the whole time within which a change must be in force.  The poll is repeated
   sooner, on a new connection.  */
static void
unanswered_question_is_repeated_in_time (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->version = 8;
  fixture->silent = true;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  int accepted = fixture->store->accepted;
  fixture->silent = false;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 2, 0.6));
  assert_int_equal (fixture->store->accepted, accepted + 1);
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 8);
}

/* Guards against an answer with every version of a large row, in a burst of
   changes.  */
static void
few_rows_are_read_instead_of_their_changes (void **state)
{
  feed_fixture_t *fixture = *state;
  fixture->few_rows = true;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->version = 9;
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 2, 5));
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 9);
  assert_int_equal (fixture->n_polls, 0);
  feed_fixture_receive (fixture, 11, 12, true);
  fixture->version = 12;
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 3, 5));
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 12);
}

/* Guards against a removal that a read of all rows hides: a data centre that
   was taken back would stay evacuated.  */
static void
removal_is_seen_in_a_read_of_all_rows (void **state)
{
  feed_fixture_t *fixture = *state;
  fixture->few_rows = true;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->row_gone = true;
  fixture->version = 9;
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 2, 5));
  run_for (fixture->loop, 0.1);
  assert_true (fixture->removed);
  assert_int_equal (fixture->row, 9);
  assert_int_equal (fixture->published.after, 7);
  assert_int_equal (fixture->published.n_rows, 1);
}

/* Guards against a long answer that is cut off while it arrives: all changes
   of a burst come in one answer.  */
static void
slow_answer_is_not_cut (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  fixture->hold_requests = true;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  char body[256];
  int size = g_snprintf (body, sizeof body,
                         "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":"
                         "\"k\",\"value\":\"dg==\",\"ver\":8}],\"ver\":8,"
                         "\"now_ms\":%lld,\"truncated\":false}",
                         (long long)feed_fixture_store_ms ());
  connection_print (fixture->waiting_connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size);
  run_for (fixture->loop, 0.7);
  connection_write (fixture->waiting_connection, body, (size_t)size);
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 8);
}

/* Guards against a first row, such as the configuration, that is missed
   because the table was empty when it was read.  */
static void
first_row_of_an_empty_store_is_seen (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start_at (fixture, 100 * KWF_NS_PER_MS, 0);
  fixture->version = 1;
  assert_true (run_until (fixture->loop, &fixture->n_complete, 2, 5));
  assert_int_equal (fixture->row, 1);
}

/* Guards against an instance behind a slow link that gets one delayed message
   after the other saying that there is no newer version, and so does not poll:
   the age of a message counts from its making.  */
static void
news_held_back_on_a_link_are_old (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, FEED_FIXTURE_MAX_AGE_NS);
  run_for (fixture->loop, 0.05);
  fixture->version = 8;
  for (int i = 0; i < 10; i++)
    {
      feed_fixture_receive_delayed (fixture, 7, 7, false, 3000);
      run_for (fixture->loop, 0.05);
    }
  assert_int_equal (fixture->row, 8);
}

/* Guards against an answer that was read long after it was made, because the
   process was stopped, and that counts as fresh for this instance and those
   that it passes it on to.  */
static void
answers_held_back_are_old (void **state)
{
  feed_fixture_t *fixture = *state;
  /* So that the call does not time out.  */
  fixture->fresh_ms = 10000;
  feed_fixture_start (fixture, KWF_NS_PER_S);
  fixture->hold_requests = true;
  feed_poll_now (fixture->feed);
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  run_for (fixture->loop, 1.2);
  fixture->hold_requests = false;
  fixture->answer_age_ms = 1200;
  feed_fixture_reply (fixture, fixture->waiting_connection, false);
  fixture->answer_age_ms = 0;
  fixture->version = 8;
  assert_true (run_until (fixture->loop, &fixture->n_published, 1, 5));
  int64_t age_ms
      = feed_fixture_store_ms () - fixture->published.as_of_ns / KWF_NS_PER_MS;
  assert_in_range (age_ms, 1200, 1600);
  run_for (fixture->loop, 0.5);
  assert_int_equal (fixture->row, 8);
}

/* Guards against missed changes that count as read because of an answer to a
   poll that was sent earlier.  */
static void
gap_outlasts_the_answer_under_way (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_fixture_start (fixture, 3600 * KWF_NS_PER_S);
  fixture->hold_requests = true;
  feed_poll_now (fixture->feed);
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  feed_fixture_receive (fixture, 11, 12, true);
  fixture->hold_requests = false;
  fixture->version = 8;
  feed_fixture_reply (fixture, fixture->waiting_connection, true);
  fixture->version = 12;
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->row, 12);
}

/* Guards against changes that are passed on during the first read, are newer
   than its answer, and are forgotten.  */
static void
news_during_the_first_read_are_not_lost (void **state)
{
  feed_fixture_t *fixture = *state;
  fixture->hold_requests = true;
  feed_fixture_make (fixture, 3600 * KWF_NS_PER_S, 7);
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 1, 5));
  feed_fixture_receive (fixture, 7, 12, true);
  fixture->hold_requests = false;
  feed_fixture_reply (fixture, fixture->waiting_connection, true);
  fixture->version = 12;
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->row, 12);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        reader_polls_and_tells, feed_fixture_set_up, feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (listener_asks_when_it_is_told_nothing,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (gap_is_read_at_once, feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (changes_without_an_era_are_ignored,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (older_news_change_nothing,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (all_is_read_when_the_history_is_gone,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (first_row_of_an_empty_store_is_seen,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (news_count_while_all_is_read,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (news_count_while_the_store_is_silent,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (own_failures_do_not_make_news_unsure,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (silence_of_others_is_no_outage,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (unanswered_question_is_repeated_in_time,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        few_rows_are_read_instead_of_their_changes, feed_fixture_set_up,
        feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (removal_is_seen_in_a_read_of_all_rows,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (
        slow_answer_is_not_cut, feed_fixture_set_up, feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (news_held_back_on_a_link_are_old,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (answers_held_back_are_old,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (gap_outlasts_the_answer_under_way,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
    cmocka_unit_test_setup_teardown (news_during_the_first_read_are_not_lost,
                                     feed_fixture_set_up,
                                     feed_fixture_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
