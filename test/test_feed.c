/* One table of the platform's store as an instance follows it: by polls of its
   own, or by what another instance tells.  The store is a scripted one.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "platform/feed.h"

/* Patience of an instance that listens, shorter than the real one.  */
#define PATIENCE_NS (300 * KWF_NS_PER_MS)

typedef struct
{
  struct ev_loop *loop;
  listener_t *store;
  client_t *client;
  store_calls_t *calls;
  feed_t *feed;
  storeclock_t clock;
  /* The store.  */
  int64_t version;   /* of its one row "k" */
  bool forgets;      /* its history is gone */
  bool away;         /* answers 503 */
  bool silent;       /* does not answer */
  bool holds;        /* keeps questions in ONE until the test answers */
  int held_back_ms;  /* answers were made this long before they arrive */
  connection_t *one; /* that waits for news, or is kept */
  int n_reads;       /* of all rows */
  int n_polls;
  /* The instance.  */
  int64_t max_age_ns;
  int64_t fresh_ms;
  bool few_rows;
  int64_t row;    /* version of "k" that is known */
  bool went_back; /* an older row was given */
  int n_ends;
  int n_told;
  kwf_feed_t told; /* last; its rows are void */
} world_t;

/* The store's clock.  */
static int64_t
store_ms (void)
{
  return 7777777 + kwf_now_ns (kwf_clock_system ()) / KWF_NS_PER_MS;
}

static void
reply_rows (const world_t *world, connection_t *connection, bool row)
{
  char body[256];
  /* The value is "v" in base64.  */
  g_snprintf (body, sizeof body,
              "{\"rows\":[%s%.0d%s],\"ver\":%d,\"now_ms\":%lld,"
              "\"truncated\":false}",
              row ? "{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
                    "\"dg==\",\"ver\":"
                  : "",
              row ? (int)world->version : 0, row ? "}" : "",
              (int)world->version,
              (long long)(store_ms () - world->held_back_ms));
  connection_reply (connection, 200, body);
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
  world_t *world = data;
  bool all = strstr (request, "rows-get") != NULL;
  *(all ? &world->n_reads : &world->n_polls) += 1;
  if (world->silent)
    return;
  if (world->holds)
    {
      world->one = connection;
      return;
    }
  if (world->away)
    connection_reply (connection, 503, "{}");
  else if (!all && world->forgets)
    connection_reply (connection, 410, "{}");
  else if (all || world->version > number_in (request, "after="))
    reply_rows (world, connection, world->version > 0);
  else if (number_in (request, "wait_ms=") > 0)
    world->one = connection;
  else
    reply_rows (world, connection, false);
}

static void
on_reset (void *data)
{
  ((world_t *)data)->row = 0;
}

static void
on_row (void *data, const kwf_row_t *row)
{
  world_t *world = data;
  world->went_back |= row->version < world->row;
  world->row = row->version;
}

static void
on_end (void *data, int64_t revision)
{
  world_t *world = data;
  world->n_ends++;
  assert_true (revision >= world->row);
}

static int64_t
max_age_ns (void *data)
{
  return ((world_t *)data)->max_age_ns;
}

static void
on_tell (void *data, const kwf_feed_t *news, bool own)
{
  world_t *world = data;
  (void)own;
  world->n_told++;
  world->told = *news;
}

/* The table has VERSION; 0: nothing was written yet.  */
static void
make_feed (world_t *world, int64_t patience, int64_t version)
{
  static const feed_handler_t handler = { .reset = on_reset,
                                          .row = on_row,
                                          .end = on_end,
                                          .max_age_ns = max_age_ns,
                                          .publish = on_tell };
  world->version = version;
  world->max_age_ns = patience;
  world->feed = feed_new (world->loop, world->calls,
                          &(feed_options_t){ .table = "t",
                                             .number = 2,
                                             .fresh_ms = world->fresh_ms,
                                             .few_rows = world->few_rows,
                                             .clock = &world->clock,
                                             .handler = &handler,
                                             .data = world });
}

static void
start_at (world_t *world, int64_t patience, int64_t version)
{
  make_feed (world, patience, version);
  assert_true (run_until (world->loop, &world->n_ends, 1, 5));
  assert_int_equal (world->row, version);
}

static void
start (world_t *world, int64_t patience)
{
  start_at (world, patience, 7);
}

/* What another instance told WAY_MS ago, of row "k" at REVISION.  */
static void
told_late (const world_t *world, int64_t after, int64_t revision, bool row,
           int64_t way_ms)
{
  const kwf_row_t rows[] = { { "k", revision, "v" } };
  feed_handle_update (
      world->feed, "other",
      &(kwf_feed_t){ .table = 2,
                     .after = after,
                     .revision = revision,
                     .as_of_ns = (store_ms () - way_ms) * KWF_NS_PER_MS,
                     .rows = rows,
                     .n_rows = row });
}

static void
told (const world_t *world, int64_t after, int64_t revision, bool row)
{
  told_late (world, after, revision, row, 0);
}

static int
set_up (void **state)
{
  world_t *world = g_new0 (world_t, 1);
  world->fresh_ms = 2000;
  world->loop = ev_loop_new (EVFLAG_AUTO);
  world->client = client_new (world->loop, NULL);
  world->store = listener_start (world->loop, serve, world);
  world->calls = store_calls_new (world->client, world->store->address);
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  world_t *world = *state;
  feed_free (world->feed);
  store_calls_free (world->calls);
  client_free (world->client);
  listener_stop (world->store);
  ev_loop_destroy (world->loop);
  g_free (world);
  return 0;
}

/* Guards against changes that the reader does not pass on.  */
static void
reader_polls_and_tells (void **state)
{
  world_t *world = *state;
  start (world, 0);
  run_for (world->loop, 0.2);
  assert_non_null (world->one);
  assert_int_equal (world->n_polls, 1);
  world->version = 9;
  reply_rows (world, world->one, true);
  assert_true (run_until (world->loop, &world->n_told, 1, 5));
  assert_int_equal (world->row, 9);
  assert_int_equal (world->told.table, 2);
  assert_int_equal (world->told.after, 7);
  assert_int_equal (world->told.revision, 9);
  assert_int_equal (world->told.n_rows, 1);
}

/* Guards against calls of an instance that is told, and against one that
   learns nothing once it is told nothing more.  */
static void
listener_asks_when_it_is_told_nothing (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  for (int i = 0; i < 10; i++)
    {
      told (world, 7 + i, 8 + i, true);
      run_for (world->loop, 0.1);
    }
  assert_int_equal (world->row, 17);
  assert_int_equal (world->n_polls, 0);
  world->version = 20;
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  run_for (world->loop, 0.1);
  assert_int_equal (world->row, 20);
}

/* Guards against a change that is lost between two messages.  */
static void
gap_is_read_at_once (void **state)
{
  world_t *world = *state;
  start (world, 3600 * KWF_NS_PER_S);
  world->version = 12;
  told (world, 11, 12, true);
  assert_int_equal (world->row, 7);
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  run_for (world->loop, 0.1);
  assert_int_equal (world->row, 12);
  assert_int_equal (world->n_reads, 1);
}

/* Guards against going back: an answer that was on its way while another
   instance told something newer, and a message that comes late.  */
static void
older_news_change_nothing (void **state)
{
  world_t *world = *state;
  start (world, 0);
  run_for (world->loop, 0.2);
  assert_non_null (world->one);
  world->version = 8;
  reply_rows (world, world->one, true);
  told (world, 7, 9, true);
  assert_int_equal (world->row, 9);
  world->version = 9;
  run_for (world->loop, 0.3);
  assert_int_equal (world->row, 9);
  told (world, 6, 8, true);
  assert_int_equal (world->row, 9);
  assert_false (world->went_back);
}

/* Guards against rows that stay unknown after the store forgot its history,
   and after it was away.  */
static void
all_is_read_when_the_history_is_gone (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  world->forgets = true;
  world->version = 30;
  assert_true (run_until (world->loop, &world->n_ends, 2, 5));
  assert_int_equal (world->row, 30);
  assert_int_equal (world->n_reads, 2);
  world->forgets = false;
  world->away = true;
  int polls = world->n_polls;
  assert_true (run_until (world->loop, &world->n_polls, polls + 3, 5));
  run_for (world->loop, 2.1);
  world->away = false;
  world->version = 31;
  assert_true (run_until (world->loop, &world->n_ends, 3, 5));
  assert_int_equal (world->row, 31);
  assert_true (feed_recovered_within (world->feed, KWF_NS_PER_S));
}

/* Guards against an instance whose own path to the store is silent: it goes
   by what it is told.  */
static void
news_count_while_the_store_is_silent (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  world->silent = true;
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  told (world, 7, 40, true);
  assert_int_equal (world->row, 40);
}

/* Guards against servers that are kept although their entries were removed,
   because the path of this instance alone to the store was broken.  */
static void
own_failures_do_not_make_news_unsure (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  world->away = true;
  assert_true (run_until (world->loop, &world->n_polls, 3, 5));
  told (world, 7, 8, true);
  assert_false (feed_recovered_within (world->feed, 3600 * KWF_NS_PER_S));
  assert_true (run_until (world->loop, &world->n_polls, 6, 5));
  world->away = false;
  world->version = 9;
  assert_true (run_until (world->loop, &world->n_ends, 3, 5));
  assert_false (feed_recovered_within (world->feed, 3600 * KWF_NS_PER_S));
}

/* Guards against a question on a connection that went silent, whose answer is
   awaited for as long as a change may take.  */
static void
unanswered_question_is_repeated_in_time (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  world->version = 8;
  world->silent = true;
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  int accepted = world->store->accepted;
  world->silent = false;
  assert_true (run_until (world->loop, &world->n_polls, 2, 0.6));
  assert_int_equal (world->store->accepted, accepted + 1);
  run_for (world->loop, 0.1);
  assert_int_equal (world->row, 8);
}

/* Guards against an answer with every version of a large row, in a storm of
   changes.  */
static void
few_rows_are_read_instead_of_their_changes (void **state)
{
  world_t *world = *state;
  world->few_rows = true;
  start (world, PATIENCE_NS);
  world->version = 9;
  assert_true (run_until (world->loop, &world->n_reads, 2, 5));
  run_for (world->loop, 0.1);
  assert_int_equal (world->row, 9);
  assert_int_equal (world->n_polls, 0);
  told (world, 11, 12, true);
  world->version = 12;
  assert_true (run_until (world->loop, &world->n_reads, 3, 5));
  run_for (world->loop, 0.1);
  assert_int_equal (world->row, 12);
}

/* Guards against a long answer that is cut while it arrives: all changes of a
   storm come in one.  */
static void
slow_answer_is_not_cut (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  world->holds = true;
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  char body[256];
  int size = g_snprintf (body, sizeof body,
                         "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":"
                         "\"k\",\"value\":\"dg==\",\"ver\":8}],\"ver\":8,"
                         "\"now_ms\":%lld,\"truncated\":false}",
                         (long long)store_ms ());
  connection_print (world->one,
                    "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size);
  run_for (world->loop, 0.7);
  connection_write (world->one, body, (size_t)size);
  run_for (world->loop, 0.1);
  assert_int_equal (world->row, 8);
}

/* Guards against a first row, such as the configuration, that is missed
   because the table was empty when it was read.  */
static void
first_row_of_an_empty_store_is_seen (void **state)
{
  world_t *world = *state;
  start_at (world, 100 * KWF_NS_PER_MS, 0);
  world->version = 1;
  assert_true (run_until (world->loop, &world->n_ends, 2, 5));
  assert_int_equal (world->row, 1);
}

/* Guards against an instance behind a slow link that hears again and again
   that nothing is newer, from long ago, and does not ask.  */
static void
news_held_back_on_a_link_are_old (void **state)
{
  world_t *world = *state;
  start (world, PATIENCE_NS);
  run_for (world->loop, 0.05);
  world->version = 8;
  for (int i = 0; i < 10; i++)
    {
      told_late (world, 7, 7, false, 3000);
      run_for (world->loop, 0.05);
    }
  assert_int_equal (world->row, 8);
}

/* Guards against an answer that was read long after it was made, because the
   process stood still, and counts as fresh here and for those it is told
   to.  */
static void
answers_held_back_are_old (void **state)
{
  world_t *world = *state;
  /* So that the answer is awaited.  */
  world->fresh_ms = 10000;
  start (world, KWF_NS_PER_S);
  world->holds = true;
  feed_poll_now (world->feed);
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  run_for (world->loop, 1.2);
  world->holds = false;
  world->held_back_ms = 1200;
  reply_rows (world, world->one, false);
  world->held_back_ms = 0;
  world->version = 8;
  assert_true (run_until (world->loop, &world->n_told, 1, 5));
  int64_t age_ms = store_ms () - world->told.as_of_ns / KWF_NS_PER_MS;
  assert_in_range (age_ms, 1200, 1600);
  run_for (world->loop, 0.5);
  assert_int_equal (world->row, 8);
}

/* Guards against a gap that counts as read by an answer to a question that
   was sent before.  */
static void
gap_outlasts_the_answer_under_way (void **state)
{
  world_t *world = *state;
  start (world, 3600 * KWF_NS_PER_S);
  world->holds = true;
  feed_poll_now (world->feed);
  assert_true (run_until (world->loop, &world->n_polls, 1, 5));
  told (world, 11, 12, true);
  world->holds = false;
  world->version = 8;
  reply_rows (world, world->one, true);
  world->version = 12;
  run_for (world->loop, 0.3);
  assert_int_equal (world->row, 12);
}

/* Guards against news that come during the first read, after the moment that
   it shows, and are forgotten.  */
static void
news_during_the_first_read_are_not_lost (void **state)
{
  world_t *world = *state;
  world->holds = true;
  make_feed (world, 3600 * KWF_NS_PER_S, 7);
  assert_true (run_until (world->loop, &world->n_reads, 1, 5));
  told (world, 7, 12, true);
  world->holds = false;
  reply_rows (world, world->one, true);
  world->version = 12;
  run_for (world->loop, 0.3);
  assert_int_equal (world->row, 12);
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
    cmocka_unit_test_setup_teardown (older_news_change_nothing, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (all_is_read_when_the_history_is_gone,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (first_row_of_an_empty_store_is_seen,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (news_count_while_the_store_is_silent,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (own_failures_do_not_make_news_unsure,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (unanswered_question_is_repeated_in_time,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        few_rows_are_read_instead_of_their_changes, set_up, tear_down),
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
