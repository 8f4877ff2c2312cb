/* The engine stand-in follows docs/design.md section 10.  Other tests rely on
   it.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <sys/wait.h>

#include "standin/common-tokens.h"
#include "test/common-http.h"
#include "test/common-standins.h"

static json_t *
get_status (const standins_t *f)
{
  json_t *status = http_get_json (f->engine.address, "/status", 200);
  assert_non_null (status);
  return status;
}

static json_int_t
status_number (const standins_t *f, const char *name)
{
  json_t *status = get_status (f);
  json_int_t value = json_number_of (status, name);
  json_decref (status);
  return value;
}

static int
order (const standins_t *f, const char *body)
{
  return http_post (f->engine.address, "/orders", body);
}

static int
complete (const standins_t *f, const char *model)
{
  char *body = g_strdup_printf ("{\"model\":\"%s\",\"prompt\":\"p\"}", model);
  int status = http_post (f->engine.address, "/v1/completions", body);
  g_free (body);
  return status;
}

/* Guards against an order that is reported as done before its load or unload
   has ended, because an order with another id had begun that.  */
static void
repeated_orders_end_with_the_first (void **state)
{
  standins_t *f = *state;
  const char *const more[] = { "--unload-ms", "300", NULL };
  standins_start_engine (f, more);
  standins_set_switch (&f->engine, "{\"adapter_ms\":200}");
  static const char *const changes[]
      = { "\"load\",\"model\":\"m2\"",
          "\"load\",\"model\":\"m2\",\"adapter\":\"a\"",
          "\"unload\",\"model\":\"m2\"" };
  for (int i = 0; i < 12; i++)
    {
      bool ended = i / 2 % 2;
      char *body = g_strdup_printf ("{\"id\":\"%d\",\"order\":%s}", i,
                                    changes[i / 4]);
      json_t *answer
          = http_post_json (f->engine.address, "/orders", body, 202);
      assert_string_equal (json_text_of (answer, "state"),
                           ended ? "done" : "running");
      json_decref (answer);
      g_free (body);
      if (i % 4 == 1)
        pause_ms (500);
    }
}

/* Guards against an engine that exceeds its memory, also while a model is
   still loading or unloading.  */
static void
memory_limit_is_enforced (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  assert_int_equal (status_number (f, "memory_used_mb"), 400);
  assert_int_equal (complete (f, "m2"), 404);
  assert_int_equal (
      order (f, "{\"id\":\"1\",\"order\":\"load\",\"model\":\"m2\"}"), 202);
  assert_int_equal (status_number (f, "memory_used_mb"), 800);
  assert_int_equal (complete (f, "m2"), 404);
  assert_int_equal (
      order (f, "{\"id\":\"2\",\"order\":\"load\",\"model\":\"m3\"}"), 507);
  assert_int_equal (status_number (f, "memory_exceeded"), 1);
  assert_int_equal (status_number (f, "memory_used_mb"), 800);
  pause_ms (500);
  assert_int_equal (complete (f, "m2"), 200);
  assert_int_equal (
      order (f, "{\"id\":\"1\",\"order\":\"load\",\"model\":\"m2\"}"), 202);
  assert_int_equal (status_number (f, "memory_used_mb"), 800);
  assert_int_equal (
      order (f, "{\"id\":\"3\",\"order\":\"unload\",\"model\":\"m2\"}"), 202);
  assert_int_equal (complete (f, "m2"), 404);
  pause_ms (200);
  assert_int_equal (status_number (f, "memory_used_mb"), 400);
}

/* Guards against late orders of a former leader that are carried out.  */
static void
old_fences_are_refused (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  assert_int_equal (order (f, "{\"id\":\"1\",\"order\":\"role\",\"fence\":5}"),
                    202);
  const char *late = "{\"id\":\"2\",\"order\":\"load\",\"model\":\"m2\","
                     "\"fence\":4}";
  assert_int_equal (order (f, late), 409);
  assert_int_equal (status_number (f, "memory_used_mb"), 400);
  assert_int_equal (order (f, "{\"id\":\"3\",\"order\":\"role\",\"fence\":5}"),
                    202);
  standins_set_switch (&f->engine, "{\"fencing\":false}");
  assert_int_equal (order (f, late), 202);
  assert_int_equal (status_number (f, "memory_used_mb"), 800);
}

/* The contents of all events of a stream, one per line, and "finish REASON",
   "usage N" and "done".  */
static char *
read_stream (const char *body)
{
  GString *result = g_string_new (NULL);
  char **events = g_strsplit (body, "\n\n", 0);
  for (char **event = events; *event && **event; event++)
    {
      assert_true (g_str_has_prefix (*event, "data: "));
      const char *data = *event + strlen ("data: ");
      if (strcmp (data, "[DONE]") == 0)
        {
          g_string_append (result, "done\n");
          continue;
        }
      json_t *json = json_loads (data, 0, NULL);
      assert_non_null (json);
      const json_t *choice
          = json_array_get (json_object_get (json, "choices"), 0);
      const json_t *delta = json_object_get (choice, "delta");
      g_string_append_printf (result, "%s\n",
                              delta ? json_text_of (delta, "content")
                                    : json_text_of (choice, "text"));
      const json_t *reason = json_object_get (choice, "finish_reason");
      if (json_is_string (reason))
        g_string_append_printf (
            result, "finish %s\nusage %d\n", json_string_value (reason),
            (int)json_number_of (json_object_get (json, "usage"),
                                 "completion_tokens"));
      json_decref (json);
    }
  g_strfreev (events);
  return g_string_free (result, FALSE);
}

static char *
expected_stream (const char *model, const char *adapter, const char *prompt,
                 int from, int to)
{
  GString *result = g_string_new (NULL);
  uint64_t seed = tokens_seed (model, adapter, prompt);
  for (int i = from; i < to; i++)
    {
      char token[TOKEN_SIZE];
      tokens_write (token, seed, i);
      g_string_append_printf (result, "%s\n", token);
    }
  g_string_append_printf (result, "finish length\nusage %d\ndone\n", to);
  return g_string_free (result, FALSE);
}

static void
check_stream (const standins_t *f, const char *target, const char *body,
              char *expected)
{
  http_answer_t answer
      = http_call ("POST", f->engine.address, target, NULL, body, 10000);
  assert_true (answer.complete);
  assert_int_equal (answer.status, 200);
  assert_non_null (strstr (answer.headers, "text/event-stream"));
  char *found = read_stream (answer.body);
  assert_string_equal (found, expected);
  g_free (found);
  g_free (expected);
  http_free (&answer);
}

/* Guards against a resumed stream that differs from the rest of the first one,
   for both endpoints, at normal and at full speed.  */
static void
resumed_stream_is_the_rest (void **state)
{
  standins_t *f = *state;
  static const char *const fast[] = { "--speed", "fast", NULL };
  for (int i = 0; i < 2; i++)
    {
      standins_start_engine (f, i ? fast : NULL);
      check_stream (f, "/v1/completions",
                    "{\"model\":\"m1\",\"adapter\":\"a1\",\"prompt\":\"hi\","
                    "\"max_tokens\":50,\"stream\":true}",
                    expected_stream ("m1", "a1", "hi", 0, 50));
      check_stream (f, "/v1/completions",
                    "{\"model\":\"m1\",\"adapter\":\"a1\",\"prompt\":\"hi\","
                    "\"max_tokens\":50,\"stream\":true,\"resume_from\":17}",
                    expected_stream ("m1", "a1", "hi", 17, 50));
      check_stream (f, "/v1/chat/completions",
                    "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\","
                    "\"content\":\"hi\"}],\"max_tokens\":20,"
                    "\"stream\":true}",
                    expected_stream ("m1", NULL, "hi\n", 0, 20));
      check_stream (f, "/v1/chat/completions",
                    "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\","
                    "\"content\":\"hi\"}],\"max_tokens\":20,"
                    "\"stream\":true,\"resume_from\":19}",
                    expected_stream ("m1", NULL, "hi\n", 19, 20));
      assert_int_equal (process_stop (&f->engine), 0);
    }
  static const char *const no_resume[] = { "--no-resume", NULL };
  standins_start_engine (f, no_resume);
  assert_int_equal (http_post (f->engine.address, "/v1/completions",
                               "{\"model\":\"m1\",\"prompt\":\"hi\","
                               "\"stream\":true,\"resume_from\":1}"),
                    400);
}

/* Guards against an answer in one piece whose tokens differ from those of a
   stream.  */
static void
whole_answer_has_the_same_tokens (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  json_t *reply = http_post_json (
      f->engine.address, "/v1/chat/completions",
      "{\"model\":\"m1\",\"messages\":[{\"role\":\"user\",\"content\":"
      "\"hello\"}],\"max_tokens\":3}",
      200);
  assert_non_null (reply);
  GString *expected = g_string_new (NULL);
  for (int i = 0; i < 3; i++)
    {
      char token[TOKEN_SIZE];
      tokens_write (token, tokens_seed ("m1", NULL, "hello\n"), i);
      g_string_append (expected, token);
    }
  const json_t *choice
      = json_array_get (json_object_get (reply, "choices"), 0);
  assert_string_equal (
      json_text_of (json_object_get (choice, "message"), "content"),
      expected->str);
  assert_string_equal (json_text_of (choice, "finish_reason"), "length");
  const json_t *usage = json_object_get (reply, "usage");
  assert_int_equal (json_number_of (usage, "prompt_tokens"), 2);
  assert_int_equal (json_number_of (usage, "completion_tokens"), 3);
  g_string_free (expected, TRUE);
  json_decref (reply);
}

/* Guards against a broken stream that looks complete.  */
static void
broken_stream_ends_midway (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  standins_set_switch (&f->engine, "{\"break_after_tokens\":5}");
  http_answer_t answer = http_call (
      "POST", f->engine.address, "/v1/completions", NULL,
      "{\"model\":\"m1\",\"prompt\":\"p\",\"stream\":true}", 5000);
  assert_false (answer.complete);
  assert_false (answer.timed_out);
  char *found = read_stream (answer.body);
  char **lines = g_strsplit (found, "\n", 0);
  assert_int_equal (g_strv_length (lines), 6);
  assert_null (strstr (found, "finish"));
  g_strfreev (lines);
  g_free (found);
  http_free (&answer);
}

/* Guards against generation that goes on after the caller has gone.  */
static void
cancelled_work_ends (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  http_answer_t answer
      = http_call ("POST", f->engine.address, "/v1/completions", NULL,
                   "{\"model\":\"m1\",\"prompt\":\"p\","
                   "\"max_tokens\":100000}",
                   200);
  assert_true (answer.timed_out);
  http_free (&answer);
  pause_ms (50);
  assert_int_equal (status_number (f, "running"), 0);
  json_t *stats = http_get_json (f->engine.address, "/stats", 200);
  assert_int_equal (json_number_of (stats, "cancelled"), 1);
  json_decref (stats);
}

/* A stalled engine answers no completion, but it answers GET /status, and it
   serves again after the switch is off.  Guards against a stall that hides the
   status or never ends.  */
static void
stall_holds_tokens_back (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  standins_set_switch (&f->engine, "{\"stall\":true,\"leaving\":true}");
  http_answer_t answer
      = http_call ("POST", f->engine.address, "/v1/completions", NULL,
                   "{\"model\":\"m1\",\"prompt\":\"p\"}", 200);
  assert_true (answer.timed_out);
  http_free (&answer);
  json_t *status = get_status (f);
  assert_true (json_is_true (json_object_get (status, "leaving")));
  json_decref (status);
  standins_set_switch (&f->engine, "{\"stall\":false}");
  assert_int_equal (complete (f, "m1"), 200);
}

/* Guards against a crash switch that ends the process with status 0, or that
   affects requests with other bodies.  */
static void
crash_switch_ends_the_process (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  json_int_t incarnation = status_number (f, "incarnation");
  standins_set_switch (&f->engine, "{\"crash_on\":\"poison\"}");
  assert_int_equal (complete (f, "m1"), 200);
  assert_int_equal (http_post (f->engine.address, "/v1/completions",
                               "{\"model\":\"m1\",\"prompt\":\"poison\"}"),
                    0);
  int status = process_wait (&f->engine, 2000);
  assert_true (WIFEXITED (status));
  assert_int_equal (WEXITSTATUS (status), 70);
  standins_start_engine (f, NULL);
  assert_true (status_number (f, "incarnation") > incarnation);
}

/* Guards against a status that is reported without the lag.  */
static void
status_lags (void **state)
{
  standins_t *f = *state;
  static const char *const args[] = { "--lag-ms", "300", NULL };
  standins_start_engine (f, args);
  pause_ms (50);
  assert_int_equal (
      order (f, "{\"id\":\"1\",\"order\":\"load\",\"model\":\"m2\"}"), 202);
  assert_int_equal (status_number (f, "memory_used_mb"), 400);
  pause_ms (400);
  assert_int_equal (status_number (f, "memory_used_mb"), 800);
}

/* Guards against cache events that are reported too early or without the gaps
   that --cache-gap sets.  */
static void
cache_events_have_gaps (void **state)
{
  standins_t *f = *state;
  static const char *const args[] = { "--cache-gap", "2", NULL };
  standins_start_engine (f, args);
  for (int i = 0; i < 4; i++)
    {
      char *body
          = g_strdup_printf ("{\"model\":\"m1\",\"prompt\":\"prompt %d\"}", i);
      assert_int_equal (http_post (f->engine.address, "/v1/completions", body),
                        200);
      g_free (body);
    }
  json_t *reply
      = http_get_json (f->engine.address, "/cache-events?after=1", 200);
  const json_t *events = json_object_get (reply, "events");
  assert_int_equal (json_array_size (events), 1);
  assert_int_equal (json_number_of (json_array_get (events, 0), "number"), 3);
  assert_int_equal (json_number_of (reply, "next"), 3);
  json_decref (reply);
}

/* Guards against a record that lacks the request line, a header or the body.
   The search for leaked keys relies on it.  */
static void
seen_covers_the_whole_request (void **state)
{
  standins_t *f = *state;
  standins_start_engine (f, NULL);
  const char *headers[] = { "X-Some: needle", NULL };
  http_answer_t answer
      = http_call ("POST", f->engine.address, "/needle?needle=needle", headers,
                   "a needle and a needle", 2000);
  assert_int_equal (answer.status, 404);
  http_free (&answer);
  json_t *reply = http_get_json (f->engine.address, "/seen?text=needle", 200);
  assert_int_equal (json_number_of (reply, "count"), 6);
  json_decref (reply);
}

/* Guards against sequences of a batch that cost no time, or cost it twice.  */
static void
generation_takes_its_time (void **state)
{
  standins_t *f = *state;
  static const char *const args[] = { "--token-ms", "4", NULL };
  standins_start_engine (f, args);
  gint64 start_us = g_get_monotonic_time ();
  assert_int_equal (http_post (f->engine.address, "/v1/completions",
                               "{\"model\":\"m1\",\"prompt\":\"p\","
                               "\"max_tokens\":50}"),
                    200);
  gint64 taken_us = g_get_monotonic_time () - start_us;
  assert_in_range (taken_us, 200000, 400000);
}

#define TEST(function)                                                        \
  cmocka_unit_test_setup_teardown (function, standins_set_up,                 \
                                   standins_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (repeated_orders_end_with_the_first),
    TEST (memory_limit_is_enforced),
    TEST (old_fences_are_refused),
    TEST (resumed_stream_is_the_rest),
    TEST (whole_answer_has_the_same_tokens),
    TEST (broken_stream_ends_midway),
    TEST (cancelled_work_ends),
    TEST (stall_holds_tokens_back),
    TEST (crash_switch_ends_the_process),
    TEST (status_lags),
    TEST (cache_events_have_gaps),
    TEST (seen_covers_the_whole_request),
    TEST (generation_takes_its_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
