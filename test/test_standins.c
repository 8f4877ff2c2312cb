/* The stand-ins for the platform and the plain service follow docs/design.md
   section 10.  Other tests rely on them.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "test/common-http.h"
#include "test/common-standins.h"

static json_t *
transact (const standins_t *f, int status, const char *body)
{
  json_t *json
      = http_post_json (f->platform.address, "/table/txn", body, status);
  assert_non_null (json);
  return json;
}

static json_t *
get_row (const standins_t *f, const char *key)
{
  char *target = g_strdup_printf ("/table/row?key=%s", key);
  json_t *row = http_get_json (f->platform.address, target, 200);
  g_free (target);
  return row;
}

/* Guards against transactions that are applied in part, or against the wrong
   version of a row.  */
static void
transactions_are_atomic (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  json_t *reply = transact (
      f, 200,
      "{\"conditions\":[{\"key\":\"list/plans\",\"version\":0}],"
      "\"puts\":[{\"key\":\"list/plans\",\"value\":{\"text\":\"p1\"}},"
      "{\"key\":\"list/uses\",\"value\":\"u1\"}],"
      "\"reads\":{\"prefixes\":[\"list/\"],\"after\":0}}");
  assert_true (json_is_true (json_object_get (reply, "committed")));
  assert_int_equal (json_number_of (reply, "revision"), 1);
  assert_int_equal (json_array_size (json_object_get (reply, "rows")), 2);
  json_decref (reply);
  reply = transact (f, 409,
                    "{\"conditions\":[{\"key\":\"list/plans\",\"version\":1},"
                    "{\"key\":\"list/uses\",\"version\":7},"
                    "{\"key\":\"list/none\",\"version\":3}],"
                    "\"puts\":[{\"key\":\"list/plans\",\"value\":\"p2\"},"
                    "{\"key\":\"list/uses\",\"value\":\"u2\"}],"
                    "\"reads\":{\"prefixes\":[\"list/\"],\"after\":0}}");
  assert_true (json_is_false (json_object_get (reply, "committed")));
  assert_int_equal (json_number_of (reply, "revision"), 1);
  const json_t *conflicts = json_object_get (reply, "conflicts");
  assert_int_equal (json_array_size (conflicts), 2);
  const json_t *uses = json_array_get (conflicts, 0);
  assert_string_equal (json_text_of (uses, "key"), "list/uses");
  assert_int_equal (json_number_of (uses, "version"), 1);
  assert_string_equal (json_text_of (uses, "value"), "u1");
  const json_t *none = json_array_get (conflicts, 1);
  assert_int_equal (json_number_of (none, "version"), 0);
  assert_true (json_is_null (json_object_get (none, "value")));
  assert_int_equal (json_array_size (json_object_get (reply, "rows")), 2);
  json_decref (reply);
  json_t *row = get_row (f, "list/plans");
  assert_string_equal (json_text_of (json_object_get (row, "value"), "text"),
                       "p1");
  json_decref (row);
  assert_int_equal (http_post (f->platform.address, "/table/txn",
                               "{\"puts\":[{\"key\":\"a\",\"value\":1}],"
                               "\"deletes\":[\"a\"]}"),
                    400);
}

/* Guards against deletions that readers never see, and against a deleted row
   that counts as present.  */
static void
deletions_are_read (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  json_decref (
      transact (f, 200, "{\"puts\":[{\"key\":\"key/d\",\"value\":1}]}"));
  json_decref (transact (f, 200, "{\"deletes\":[\"key/d\"]}"));
  json_t *reply = http_get_json (f->platform.address,
                                 "/table/scan?prefix=key%2F&after=1", 200);
  const json_t *row = json_array_get (json_object_get (reply, "rows"), 0);
  assert_string_equal (json_text_of (row, "key"), "key/d");
  assert_int_equal (json_number_of (row, "version"), 2);
  assert_true (json_is_null (json_object_get (row, "value")));
  json_decref (reply);
  assert_null (get_row (f, "key/d"));
  json_decref (transact (f, 200,
                         "{\"conditions\":[{\"key\":\"key/d\",\"version\":0}],"
                         "\"puts\":[{\"key\":\"key/d\",\"value\":2}]}"));
}

/* Guards against reads that examine the whole table: measurements have
   thousands of rows.  */
static void
reads_touch_only_changed_rows (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  GString *body = g_string_new ("{\"puts\":[");
  for (int i = 0; i < 5000; i++)
    g_string_append_printf (body,
                            "%s{\"key\":\"claim/o%d/%04d\",\"value\":%d}",
                            i ? "," : "", i % 10, i, i);
  g_string_append (body, "]}");
  json_decref (transact (f, 200, body->str));
  g_string_free (body, TRUE);
  for (int i = 0; i < 3; i++)
    json_decref (transact (
        f, 200, "{\"puts\":[{\"key\":\"session/i1\",\"value\":1}]}"));
  json_t *reply = transact (
      f, 200,
      "{\"reads\":{\"prefixes\":[\"session/\",\"claim/\",\"shares\"],"
      "\"after\":1}}");
  assert_int_equal (json_array_size (json_object_get (reply, "rows")), 1);
  json_decref (reply);
  reply = http_get_json (f->platform.address,
                         "/table/scan?prefix=claim/o3/&after=0", 200);
  assert_int_equal (json_array_size (json_object_get (reply, "rows")), 500);
  json_decref (reply);
  reply = http_get_json (f->platform.address,
                         "/table/scan?prefix=claim/o3/&after=1", 200);
  assert_int_equal (json_array_size (json_object_get (reply, "rows")), 0);
  json_decref (reply);
  json_t *stats = http_get_json (f->platform.address, "/stats", 200);
  assert_in_range (json_number_of (stats, "rows_examined"), 1000, 1010);
  assert_int_equal (json_number_of (stats, "rows"), 5001);
  assert_int_equal (json_number_of (stats, "writes"), 4);
  assert_int_equal (json_number_of (stats, "reads"), 3);
  json_decref (stats);
}

/* Guards against a switch lose_answers that also loses the write, and against
   reads that are counted as writes.  */
static void
lost_answers_are_applied (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  standins_set_switch (&f->platform, "{\"lose_answers\":1}");
  json_decref (transact (f, 200, "{\"reads\":{\"prefixes\":[\"\"]}}"));
  http_answer_t answer
      = http_call ("POST", f->platform.address, "/table/txn", NULL,
                   "{\"puts\":[{\"key\":\"k\",\"value\":\"v\"}]}", 200);
  assert_true (answer.timed_out);
  http_free (&answer);
  json_t *row = get_row (f, "k");
  assert_string_equal (json_text_of (row, "value"), "v");
  json_decref (row);
  json_decref (
      transact (f, 200, "{\"puts\":[{\"key\":\"k\",\"value\":\"w\"}]}"));
}

/* Guards against requests that are applied or answered during an outage.  */
static void
outage_applies_nothing (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  standins_set_switch (&f->platform, "{\"outage\":true}");
  const char *put = "{\"puts\":[{\"key\":\"k\",\"value\":1}]}";
  http_answer_t answer
      = http_call ("POST", f->platform.address, "/table/txn", NULL, put, 200);
  assert_true (answer.timed_out);
  http_free (&answer);
  answer = http_call ("GET", f->platform.address, "/members", NULL, NULL, 100);
  assert_true (answer.timed_out);
  http_free (&answer);
  standins_set_switch (&f->platform, "{\"outage\":false}");
  assert_null (get_row (f, "k"));
  json_decref (transact (f, 200, put));
  json_t *stats = http_get_json (f->platform.address, "/stats", 200);
  assert_int_equal (json_number_of (stats, "calls_unanswered"), 2);
  assert_int_equal (json_number_of (stats, "writes"), 1);
  json_decref (stats);
}

/* Guards against a switch refuse_from that affects other instances, too.  */
static void
refused_instance_gets_no_answer (void **state)
{
  standins_t *f = *state;
  const char *first[] = { "X-Instance: i1", NULL };
  const char *second[] = { "X-Instance: i2", NULL };
  standins_start_platform (f);
  standins_set_switch (&f->platform, "{\"refuse_from\":[\"i1\"]}");
  const char *put = "{\"puts\":[{\"key\":\"k\",\"value\":1}]}";
  http_answer_t answer
      = http_call ("POST", f->platform.address, "/table/txn", first, put, 200);
  assert_true (answer.timed_out);
  http_free (&answer);
  assert_null (get_row (f, "k"));
  answer = http_call ("POST", f->platform.address, "/table/txn", second, put,
                      2000);
  assert_int_equal (answer.status, 200);
  http_free (&answer);
  json_t *stats = http_get_json (f->platform.address, "/stats", 200);
  const json_t *counts
      = json_object_get (json_object_get (stats, "by_instance"), "i2");
  assert_int_equal (json_number_of (counts, "writes"), 1);
  assert_true (json_number_of (counts, "bytes_in") > (json_int_t)strlen (put));
  json_decref (stats);
}

/* Guards against a delayed answer that comes at once, and against a delayed
   write that is applied too early.  */
static void
delays_are_kept (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  standins_set_switch (&f->platform,
                       "{\"apply_delay_ms\":300,\"delay_ms\":200}");
  http_answer_t answer
      = http_call ("POST", f->platform.address, "/table/txn", NULL,
                   "{\"puts\":[{\"key\":\"k\",\"value\":1}]}", 100);
  assert_true (answer.timed_out);
  http_free (&answer);
  gint64 start_us = g_get_monotonic_time ();
  assert_null (get_row (f, "k"));
  assert_true (g_get_monotonic_time () - start_us >= 195000);
  pause_ms (200);
  json_t *row = get_row (f, "k");
  assert_non_null (row);
  json_decref (row);
}

/* Guards against objects that are lost or changed.  */
static void
objects_are_kept (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  http_answer_t answer
      = http_call ("PUT", f->platform.address, "/objects/weights%2Fm1", NULL,
                   "some bytes", 2000);
  assert_int_equal (answer.status, 200);
  http_free (&answer);
  answer = http_call ("GET", f->platform.address, "/objects/weights/m1", NULL,
                      NULL, 2000);
  assert_string_equal (answer.body, "some bytes");
  http_free (&answer);
  answer = http_call ("GET", f->platform.address, "/objects/none", NULL, NULL,
                      2000);
  assert_int_equal (answer.status, 404);
  http_free (&answer);
}

static size_t
n_members (const standins_t *f)
{
  json_t *reply = http_get_json (f->platform.address, "/members", 200);
  size_t n = json_array_size (json_object_get (reply, "members"));
  json_decref (reply);
  return n;
}

/* Guards against a membership list without its lag, and against stand-ins that
   do not register.  */
static void
membership_lags (void **state)
{
  standins_t *f = *state;
  standins_start_platform (f);
  standins_set_switch (&f->platform, "{\"member_lag_ms\":600}");
  const char *args[] = { "--platform", f->platform.address, "--id",
                         "e1",         "--data-centre",     "dc2",
                         NULL };
  standins_start_engine (f, args);
  assert_int_equal (n_members (f), 0);
  pause_ms (650);
  json_t *reply = http_get_json (f->platform.address, "/members", 200);
  const json_t *member
      = json_array_get (json_object_get (reply, "members"), 0);
  assert_string_equal (json_text_of (member, "id"), "e1");
  assert_string_equal (json_text_of (member, "kind"), "engine");
  assert_string_equal (json_text_of (member, "address"), f->engine.address);
  assert_string_equal (json_text_of (member, "data_centre"), "dc2");
  assert_string_equal (json_text_of (member, "state"), "live");
  json_decref (reply);
  standins_set_switch (&f->platform, "{\"member_lag_ms\":0}");
  assert_int_equal (http_post (f->platform.address, "/members",
                               "{\"id\":\"e1\",\"state\":\"leaving\"}"),
                    200);
  reply = http_get_json (f->platform.address, "/members", 200);
  member = json_array_get (json_object_get (reply, "members"), 0);
  assert_string_equal (json_text_of (member, "state"), "leaving");
  assert_string_equal (json_text_of (member, "kind"), "engine");
  json_decref (reply);
  assert_int_equal (http_post (f->platform.address, "/members",
                               "{\"id\":\"e1\",\"remove\":true}"),
                    200);
  assert_int_equal (n_members (f), 0);
}

/* Guards against double runs that are not recorded, also across a restart.  */
static void
double_runs_are_recorded (void **state)
{
  standins_t *f = *state;
  char *record = g_strdup_printf ("/tmp/kwf-runs-%d", (int)getpid ());
  const char *args[] = { "--record", record, NULL };
  const char *headers[] = { "Idempotency-Key: k1", "X-Request-Id: r1", NULL };
  assert_true (process_start (&f->service, "standin-service", args));
  for (int i = 0; i < 2; i++)
    {
      http_answer_t answer = http_call ("POST", f->service.address, "/book",
                                        headers, "{}", 2000);
      assert_int_equal (answer.status, 200);
      http_free (&answer);
      json_t *runs = http_get_json (f->service.address, "/runs", 200);
      assert_int_equal (json_number_of (runs, "total"), i + 1);
      assert_int_equal (json_array_size (json_object_get (runs, "doubles")),
                        i);
      json_decref (runs);
    }
  standins_set_switch (&f->service, "{\"die_after_run\":true}");
  headers[0] = "Idempotency-Key: k2";
  http_answer_t answer
      = http_call ("POST", f->service.address, "/book", headers, "{}", 2000);
  assert_false (answer.complete);
  http_free (&answer);
  assert_true (WIFEXITED (process_wait (&f->service, 2000)));
  assert_true (process_start (&f->service, "standin-service", args));
  json_t *runs = http_get_json (f->service.address, "/runs", 200);
  assert_int_equal (json_number_of (runs, "total"), 3);
  const json_t *last = json_array_get (json_object_get (runs, "runs"), 2);
  assert_string_equal (json_text_of (last, "idempotency_key"), "k2");
  assert_string_equal (json_text_of (last, "request_id"), "r1");
  json_decref (runs);
  unlink (record);
  g_free (record);
}

/* Guards against switches of the service under which it runs a request that it
   must not run.  */
static void
service_switches (void **state)
{
  standins_t *f = *state;
  assert_true (process_start (&f->service, "standin-service", NULL));
  standins_set_switch (&f->service,
                       "{\"close_after_run\":true,\"delay_ms\":100}");
  http_answer_t answer
      = http_call ("GET", f->service.address, "/a", NULL, NULL, 2000);
  assert_false (answer.complete);
  assert_false (answer.timed_out);
  http_free (&answer);
  standins_set_switch (&f->service, "{\"close_after_run\":false}");
  gint64 start_us = g_get_monotonic_time ();
  answer = http_call ("GET", f->service.address, "/b", NULL, NULL, 2000);
  assert_int_equal (answer.status, 200);
  assert_true (g_get_monotonic_time () - start_us >= 99000);
  http_free (&answer);
  json_t *runs = http_get_json (f->service.address, "/runs", 200);
  assert_int_equal (json_number_of (runs, "total"), 2);
  json_decref (runs);
  standins_set_switch (&f->service, "{\"die_before_run\":true}");
  answer = http_call ("GET", f->service.address, "/c", NULL, NULL, 2000);
  assert_false (answer.complete);
  http_free (&answer);
  assert_true (WIFEXITED (process_wait (&f->service, 2000)));
}

#define TEST(function)                                                        \
  cmocka_unit_test_setup_teardown (function, standins_set_up,                 \
                                   standins_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (transactions_are_atomic),
    TEST (deletions_are_read),
    TEST (reads_touch_only_changed_rows),
    TEST (lost_answers_are_applied),
    TEST (outage_applies_nothing),
    TEST (refused_instance_gets_no_answer),
    TEST (delays_are_kept),
    TEST (objects_are_kept),
    TEST (membership_lags),
    TEST (double_runs_are_recorded),
    TEST (service_switches),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
