#include "common-feed.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

/* The store's clock.  */
int64_t
feed_fixture_store_ms (void)
{
  return 7777777 + kwf_now_ns (kwf_clock_system ()) / KWF_NS_PER_MS;
}

void
feed_fixture_reply (const feed_fixture_t *fixture, connection_t *connection,
                    bool with_row)
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
              (long long)(feed_fixture_store_ms () - fixture->answer_age_ms));
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
  feed_fixture_t *fixture = data;
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
    feed_fixture_reply (fixture, connection,
                        fixture->version > 0 && !fixture->row_gone);
  else if (number_in (request, "wait_ms=") > 0)
    fixture->waiting_connection = connection;
  else
    feed_fixture_reply (fixture, connection, false);
}

static void
on_row (void *data, const kwf_row_t *row)
{
  feed_fixture_t *fixture = data;
  fixture->went_back |= row->version < fixture->row;
  fixture->row = row->version;
  fixture->removed = !row->value;
}

static void
on_end (void *data, int64_t revision)
{
  feed_fixture_t *fixture = data;
  fixture->n_complete++;
  assert_true (revision >= fixture->row);
}

static void
on_dated (void *data, const kwf_table_date_event_t *date)
{
  feed_fixture_t *fixture = data;
  fixture->n_dated++;
  fixture->date = *date;
}

static int64_t
max_age_ns (void *data)
{
  return ((feed_fixture_t *)data)->max_age_ns;
}

static void
on_publish (void *data, const kwf_feed_t *message, bool own)
{
  feed_fixture_t *fixture = data;
  (void)own;
  fixture->n_published++;
  fixture->published = *message;
}

/* The table has VERSION; 0: nothing has been written yet.  */
void
feed_fixture_make (feed_fixture_t *fixture, int64_t max_age, int64_t version)
{
  static const feed_handler_t handler = { .row = on_row,
                                          .end = on_end,
                                          .dated = on_dated,
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

void
feed_fixture_start_at (feed_fixture_t *fixture, int64_t max_age,
                       int64_t version)
{
  feed_fixture_make (fixture, max_age, version);
  assert_true (run_until (fixture->loop, &fixture->n_complete, 1, 5));
  assert_int_equal (fixture->row, version);
}

void
feed_fixture_start (feed_fixture_t *fixture, int64_t max_age)
{
  feed_fixture_start_at (fixture, max_age, 7);
}

/* Delivers another instance's message, sent DELAY_MS ago, with row "k" at
   REVISION.  */
void
feed_fixture_receive_delayed (const feed_fixture_t *fixture, int64_t after,
                              int64_t revision, bool with_row,
                              int64_t delay_ms)
{
  const kwf_row_t rows[] = { { "k", revision, "v" } };
  feed_handle_update (
      fixture->feed, "other",
      &(kwf_feed_t){ .table = 2,
                     .after = after,
                     .revision = revision,
                     .as_of_ns
                     = (feed_fixture_store_ms () - delay_ms) * KWF_NS_PER_MS,
                     .rows = rows,
                     .n_rows = with_row });
}

void
feed_fixture_receive (const feed_fixture_t *fixture, int64_t after,
                      int64_t revision, bool with_row)
{
  feed_fixture_receive_delayed (fixture, after, revision, with_row, 0);
}

int
feed_fixture_set_up (void **state)
{
  feed_fixture_t *fixture = g_new0 (feed_fixture_t, 1);
  fixture->fresh_ms = 2000;
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, NULL);
  fixture->store = listener_start (fixture->loop, serve, fixture);
  fixture->store_client
      = store_client_new (fixture->client, fixture->store->address);
  *state = fixture;
  return 0;
}

int
feed_fixture_tear_down (void **state)
{
  feed_fixture_t *fixture = *state;
  feed_free (fixture->feed);
  store_client_free (fixture->store_client);
  client_free (fixture->client);
  listener_stop (fixture->store);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}
