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

#include "common-listener.h"
#include "lib/revision.h"
#include "platform/feed.h"

/* Age at which an instance polls the store, shorter than the real one.  */
#define MAX_AGE_NS (300 * KWF_NS_PER_MS)

typedef struct
{
  struct ev_loop *loop;
  listener_t *store;
  client_t *client;
  store_client_t *store_client;
  feed_t *feed;
  storeclock_t clock;
  /* The scripted store.  */
  int64_t version;    /* of its only row, "k" */
  bool row_gone;      /* the row was removed at VERSION */
  bool history_gone;  /* answers polls with 410: it no longer has the changes
                         since the requested version */
  int refusal;        /* status that it answers; 0: it answers well */
  int era;            /* that it names; 0: none */
  bool silent;        /* does not answer */
  bool silent_reads;  /* does not answer reads of all rows */
  bool hold_requests; /* does not answer requests; the test answers the last
                         one, on waiting_connection */
  int answer_age_ms;  /* answers were made this long before they arrive */
  connection_t *waiting_connection; /* of a poll that waits for a change, or of
                                       the last request that was held */
  int n_full_reads;                 /* reads of all rows */
  int n_polls;
  /* The instance.  */
  int64_t max_age_ns;
  int64_t fresh_ms;
  bool few_rows;
  int64_t row;    /* version of "k" that is known */
  bool removed;   /* that version is its removal */
  bool went_back; /* an older row was delivered */
  int n_complete;
  int n_published;
  kwf_feed_t published; /* the last message; its rows are no longer valid */
} fixture_t;

/* The store's clock.  */
static int64_t
store_ms (void)
{
  return 7777777 + kwf_now_ns (kwf_clock_system ()) / KWF_NS_PER_MS;
}

static void
reply_rows (const fixture_t *fixture, connection_t *connection, bool with_row)
{
  char body[256];
  /* The value is "v" in base64.  */
  g_snprintf (body, sizeof body,
              "{\"rows\":[%s%.0d%s],\"ver\":%d,\"now_ms\":%lld,"
              "\"truncated\":false}",
              with_row
                  ? "{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
                    "\"dg==\",\"ver\":"
                  : "",
              with_row ? (int)fixture->version : 0, with_row ? "}" : "",
              (int)fixture->version,
              (long long)(store_ms () - fixture->answer_age_ms));
  if (!fixture->era)
    connection_reply (connection, 200, body);
  else
    connection_print (connection,
                      "HTTP/1.1 200 OK\r\nStore-Era: %d\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      fixture->era, strlen (body), body);
}

static int64_t
number_in (const char *request, const char *name)
{
  const char *at = strstr (request, name);
  return at ? g_ascii_strtoll (at + strlen (name), NULL, 10) : 0;
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  bool is_full_read = strstr (request, "rows-get") != NULL;
  *(is_full_read ? &fixture->n_full_reads : &fixture->n_polls) += 1;
  if (fixture->silent || (fixture->silent_reads && is_full_read))
    {
      fixture->waiting_connection = connection;
      return;
    }
  if (fixture->hold_requests)
    {
      fixture->waiting_connection = connection;
      return;
    }
  if (fixture->refusal)
    connection_reply (connection, fixture->refusal, "{}");
  else if (!is_full_read && fixture->history_gone)
    connection_reply (connection, 410, "{}");
  else if (is_full_read || fixture->version > number_in (request, "after="))
    reply_rows (fixture, connection,
                fixture->version > 0 && !fixture->row_gone);
  else if (number_in (request, "wait_ms=") > 0)
    fixture->waiting_connection = connection;
  else
    reply_rows (fixture, connection, false);
}

static void
on_row (void *data, const kwf_row_t *row)
{
  fixture_t *fixture = data;
  fixture->went_back |= row->version < fixture->row;
  fixture->row = row->version;
  fixture->removed = !row->value;
}

static void
on_end (void *data, int64_t revision)
{
  fixture_t *fixture = data;
  fixture->n_complete++;
  assert_true (revision >= fixture->row);
}

static int64_t
max_age_ns (void *data)
{
  return ((fixture_t *)data)->max_age_ns;
}

static void
on_publish (void *data, const kwf_feed_t *message, bool own)
{
  fixture_t *fixture = data;
  (void)own;
  fixture->n_published++;
  fixture->published = *message;
}

/* The table has VERSION; 0: nothing has been written yet.  */
static void
make_feed (fixture_t *fixture, int64_t max_age, int64_t version)
{
  static const feed_handler_t handler = { .row = on_row,
                                          .end = on_end,
                                          .max_age_ns = max_age_ns,
                                          .publish = on_publish };
  fixture->version = version;
  fixture->max_age_ns = max_age;
  fixture->feed = feed_new (feed_io_new (fixture->loop, fixture->store_client),
                            &(feed_options_t){ .table = "t",
                                               .number = 2,
                                               .fresh_ms = fixture->fresh_ms,
                                               .few_rows = fixture->few_rows,
                                               .clock = &fixture->clock,
                                               .handler = &handler,
                                               .data = fixture });
}

static void
start_feed_at_version (fixture_t *fixture, int64_t max_age, int64_t version)
{
  make_feed (fixture, max_age, version);
  assert_true (run_until (fixture->loop, &fixture->n_complete, 1, 5));
  assert_int_equal (fixture->row, version);
}

static void
start_feed (fixture_t *fixture, int64_t max_age)
{
  start_feed_at_version (fixture, max_age, 7);
}

/* What is left of an hour after the store was away.  */
static int64_t
recovery_left_ns (const fixture_t *fixture)
{
  return feed_ages (fixture->feed, 3600 * KWF_NS_PER_S).recovery_left_ns;
}

/* Delivers another instance's message, sent DELAY_MS ago, with row "k" at
   REVISION.  */
static void
receive_delayed (const fixture_t *fixture, int64_t after, int64_t revision,
                 bool with_row, int64_t delay_ms)
{
  const kwf_row_t rows[] = { { "k", revision, "v" } };
  feed_handle_update (
      fixture->feed, "other",
      &(kwf_feed_t){ .table = 2,
                     .after = after,
                     .revision = revision,
                     .as_of_ns = (store_ms () - delay_ms) * KWF_NS_PER_MS,
                     .rows = rows,
                     .n_rows = with_row });
}

static void
receive (const fixture_t *fixture, int64_t after, int64_t revision,
         bool with_row)
{
  receive_delayed (fixture, after, revision, with_row, 0);
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->fresh_ms = 2000;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, NULL);
  fixture->store = listener_start (fixture->loop, serve, fixture);
  fixture->store_client
      = store_client_new (fixture->client, fixture->store->address);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  feed_free (fixture->feed);
  store_client_free (fixture->store_client);
  client_free (fixture->client);
  listener_stop (fixture->store);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

/* Guards against changes that the reader polls and does not publish to the
   other instances.  A max age of 0 makes this feed the reader.  */
static void
reader_polls_and_tells (void **state)
{
  fixture_t *fixture = *state;
  start_feed (fixture, 0);
  run_for (fixture->loop, 0.2);
  assert_non_null (fixture->waiting_connection);
  assert_int_equal (fixture->n_polls, 1);
  fixture->version = 9;
  reply_rows (fixture, fixture->waiting_connection, true);
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
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
  for (int i = 0; i < 10; i++)
    {
      receive (fixture, 7 + i, 8 + i, true);
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
  fixture_t *fixture = *state;
  start_feed (fixture, 3600 * KWF_NS_PER_S);
  fixture->version = 12;
  receive (fixture, 11, 12, true);
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
  fixture_t *fixture = *state;
  start_feed (fixture, 0);
  run_for (fixture->loop, 0.2);
  assert_non_null (fixture->waiting_connection);
  fixture->version = 8;
  reply_rows (fixture, fixture->waiting_connection, true);
  receive (fixture, 7, 9, true);
  assert_int_equal (fixture->row, 9);
  fixture->version = 9;
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->row, 9);
  receive (fixture, 6, 8, true);
  assert_int_equal (fixture->row, 9);
  assert_false (fixture->went_back);
}

/* Guards against changes that a build without eras passes on, and that are
   ignored where the store names an era; and against those of an earlier era
   that are taken for new ones.  */
static void
changes_without_an_era_are_ignored (void **state)
{
  fixture_t *fixture = *state;
  fixture->era = 1;
  make_feed (fixture, 3600 * KWF_NS_PER_S, 7);
  assert_true (run_until (fixture->loop, &fixture->n_complete, 1, 5));
  assert_true (fixture->row == revision_make (1, 7));
  run_for (fixture->loop, 0.05);
  receive_delayed (fixture, 7, 9, true, 3000);
  assert_true (fixture->row == revision_make (1, 7));
  receive (fixture, 7, 8, true);
  assert_true (fixture->row == revision_make (1, 8));
  assert_int_equal (fixture->n_polls, 0);
}

/* Guards against changes that stay unknown after the store dropped its
   history, and after it was away.  */
static void
all_is_read_when_the_history_is_gone (void **state)
{
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
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
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
  fixture->history_gone = fixture->silent_reads = true;
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 2, 5));
  receive (fixture, 7, 40, true);
  assert_int_equal (fixture->row, 40);
  assert_int_equal (fixture->n_published, 1);
  fixture->version = 8;
  reply_rows (fixture, fixture->waiting_connection, true);
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
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
  fixture->silent = true;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  receive (fixture, 7, 40, true);
  assert_int_equal (fixture->row, 40);
}

/* Guards against entries of servers that are kept although they were deleted,
   because the path of this instance alone to the store was broken.  */
static void
own_failures_do_not_make_news_unsure (void **state)
{
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
  fixture->refusal = 503;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 3, 5));
  receive (fixture, 7, 8, true);
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
  fixture_t *fixture = *state;
  fixture->fresh_ms = 4000;
  start_feed (fixture, 2200 * KWF_NS_PER_MS);
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
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
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
  fixture_t *fixture = *state;
  fixture->few_rows = true;
  start_feed (fixture, MAX_AGE_NS);
  fixture->version = 9;
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 2, 5));
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->row, 9);
  assert_int_equal (fixture->n_polls, 0);
  receive (fixture, 11, 12, true);
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
  fixture_t *fixture = *state;
  fixture->few_rows = true;
  start_feed (fixture, MAX_AGE_NS);
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
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
  fixture->hold_requests = true;
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  char body[256];
  int size = g_snprintf (body, sizeof body,
                         "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":"
                         "\"k\",\"value\":\"dg==\",\"ver\":8}],\"ver\":8,"
                         "\"now_ms\":%lld,\"truncated\":false}",
                         (long long)store_ms ());
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
  fixture_t *fixture = *state;
  start_feed_at_version (fixture, 100 * KWF_NS_PER_MS, 0);
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
  fixture_t *fixture = *state;
  start_feed (fixture, MAX_AGE_NS);
  run_for (fixture->loop, 0.05);
  fixture->version = 8;
  for (int i = 0; i < 10; i++)
    {
      receive_delayed (fixture, 7, 7, false, 3000);
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
  fixture_t *fixture = *state;
  /* So that the call does not time out.  */
  fixture->fresh_ms = 10000;
  start_feed (fixture, KWF_NS_PER_S);
  fixture->hold_requests = true;
  feed_poll_now (fixture->feed);
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  run_for (fixture->loop, 1.2);
  fixture->hold_requests = false;
  fixture->answer_age_ms = 1200;
  reply_rows (fixture, fixture->waiting_connection, false);
  fixture->answer_age_ms = 0;
  fixture->version = 8;
  assert_true (run_until (fixture->loop, &fixture->n_published, 1, 5));
  int64_t age_ms = store_ms () - fixture->published.as_of_ns / KWF_NS_PER_MS;
  assert_in_range (age_ms, 1200, 1600);
  run_for (fixture->loop, 0.5);
  assert_int_equal (fixture->row, 8);
}

/* Guards against missed changes that count as read because of an answer to a
   poll that was sent earlier.  */
static void
gap_outlasts_the_answer_under_way (void **state)
{
  fixture_t *fixture = *state;
  start_feed (fixture, 3600 * KWF_NS_PER_S);
  fixture->hold_requests = true;
  feed_poll_now (fixture->feed);
  assert_true (run_until (fixture->loop, &fixture->n_polls, 1, 5));
  receive (fixture, 11, 12, true);
  fixture->hold_requests = false;
  fixture->version = 8;
  reply_rows (fixture, fixture->waiting_connection, true);
  fixture->version = 12;
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->row, 12);
}

/* Guards against changes that are passed on during the first read, are newer
   than its answer, and are forgotten.  */
static void
news_during_the_first_read_are_not_lost (void **state)
{
  fixture_t *fixture = *state;
  fixture->hold_requests = true;
  make_feed (fixture, 3600 * KWF_NS_PER_S, 7);
  assert_true (run_until (fixture->loop, &fixture->n_full_reads, 1, 5));
  receive (fixture, 7, 12, true);
  fixture->hold_requests = false;
  reply_rows (fixture, fixture->waiting_connection, true);
  fixture->version = 12;
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->row, 12);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (reader_polls_and_tells, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (listener_asks_when_it_is_told_nothing,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (gap_is_read_at_once, set_up, tear_down),
    cmocka_unit_test_setup_teardown (changes_without_an_era_are_ignored,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (older_news_change_nothing, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (all_is_read_when_the_history_is_gone,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (first_row_of_an_empty_store_is_seen,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (news_count_while_all_is_read, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (news_count_while_the_store_is_silent,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (own_failures_do_not_make_news_unsure,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (silence_of_others_is_no_outage, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (unanswered_question_is_repeated_in_time,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        few_rows_are_read_instead_of_their_changes, set_up, tear_down),
    cmocka_unit_test_setup_teardown (removal_is_seen_in_a_read_of_all_rows,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (slow_answer_is_not_cut, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (news_held_back_on_a_link_are_old, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (answers_held_back_are_old, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (gap_outlasts_the_answer_under_way, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (news_during_the_first_read_are_not_lost,
                                     set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
