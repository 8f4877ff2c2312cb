/* Three daemons, one of which no backend server answers.  The test acts as the
   store, the backend servers and the callers.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-cut.h"
#include "common-daemon.h"
#include "common-http.h"

#define N_SERVERS 4
#define N_OTHERS 2
/* A process that has just started waits for the links of others.  */
#define START_S 12.0
#define CALL_S 1.5
/* Between calls that fail.  */
#define PAUSE_S 0.02
/* From this time after the begin of a cut on, callers must be served.  */
#define CONTACT_MS INT64_C (3000)
#define BACK_MS INT64_C (2000)
#define N_CALLS 20
#define STREAM_S 6.0
/* Events of a stream before the cut, and in all.  */
#define FIRST_EVENTS 3
#define N_EVENTS 6

#define ROUTE(name, kind)                                                     \
  "{\"name\":\"" name                                                         \
  "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" name                    \
  "/\",\"backend\":\"desk\",\"kind\":" kind                                   \
  ",\"max_attempts\":2,\"timeout_ms\":6000}"
#define ROUTES                                                                \
  ROUTE ("r", "\"idempotent\"")                                               \
  "," ROUTE ("s", "\"stream\",\"resumable\":true")

typedef struct
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  process_t others[N_OTHERS];
  listener_t *servers[N_SERVERS];
  cut_t cut;
  ev_timer cut_timer;
  int n_sent;
} fixture_t;

static int64_t
now_ms (void)
{
  return kwf_now_ns (kwf_clock_system ()) / KWF_NS_PER_MS;
}

/* A stream stays open after its first events; a run that goes on after these
   has the rest.  */
static void
serve_stream (connection_t *connection, const char *request, const char *id)
{
  const char *last = strcasestr (request, "\r\nlast-event-id: ");
  int first = last ? (int)strtol (last + 17, NULL, 10) + 1 : 1;
  int end = last ? N_EVENTS : FIRST_EVENTS;
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Transfer-Encoding: chunked\r\nX-Request-Id: %s\r\n"
                    "X-Server-Stamp: s\r\n\r\n",
                    id);
  for (int i = first; i <= end; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: e%d\n\n", i, i);
      connection_print (connection, "%zx\r\n%s\r\n", strlen (event), event);
      g_free (event);
    }
  if (end == N_EVENTS)
    connection_print (connection, "0\r\n\r\n");
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  (void)data;
  /* It is between instances only.  */
  assert_null (strcasestr (request, "\r\nx-handed-over:"));
  const char *at = strcasestr (request, "\r\nx-request-id: ");
  char *id = g_strndup (at ? at + 16 : "", at ? strcspn (at + 16, "\r") : 0);
  if (strstr (request, " /s/"))
    serve_stream (connection, request, id);
  else
    connection_print (connection,
                      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                      "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n\r\nok",
                      id);
  g_free (id);
}

static void
call (fixture_t *fixture, const char *address, const char *route,
      double limit_s, raw_answer_t *answer)
{
  char *request = g_strdup_printf (
      "GET /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %016x\r\n"
      "X-Deadline-Ms: %d\r\nConnection: close\r\n\r\n",
      route, ++fixture->n_sent, (int)(limit_s * 1e3));
  raw_call (fixture->loop, address, request, NULL, limit_s, answer);
  g_free (request);
}

static int
status_at (fixture_t *fixture, const char *address)
{
  raw_answer_t answer;
  call (fixture, address, "r", CALL_S, &answer);
  int status = raw_answer_status (&answer);
  raw_answer_clear (&answer);
  return status;
}

/* Whether calls at ADDRESS succeed until END_MS.  */
static bool
serves (fixture_t *fixture, const char *address, int64_t end_ms)
{
  while (now_ms () < end_ms)
    {
      if (status_at (fixture, address) == 200)
        return true;
      run_for (fixture->loop, PAUSE_S);
    }
  return false;
}

static bool
is_ready (const fixture_t *fixture)
{
  http_answer_t answer = http_call ("GET", fixture->daemon.operators, "/ready",
                                    NULL, NULL, 500);
  bool ready = answer.status == 200;
  http_free (&answer);
  return ready;
}

/* Instances to which that at OPERATORS has a link.  */
static int
count_linked (const char *operators)
{
  json_t *status = http_get_json (operators, "/status", 200);
  const json_t *members = json_object_get (status, "members");
  int n = 0;
  for (size_t i = 0; i < json_array_size (members); i++)
    n += json_is_true (
        json_object_get (json_array_get (members, i), "linked"));
  json_decref (status);
  return n;
}

/* Until all have links to all others.  */
static bool
are_linked (const fixture_t *fixture, int64_t end_ms)
{
  while (now_ms () < end_ms)
    {
      int n = count_linked (fixture->daemon.operators);
      for (int i = 0; i < N_OTHERS; i++)
        n += count_linked (fixture->daemon.other_operators[i]);
      if (n >= (N_OTHERS + 1) * N_OTHERS)
        return true;
      run_for (fixture->loop, PAUSE_S);
    }
  return false;
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  test_daemon_start (&fixture->daemon, fixture->loop, ROUTES);
  for (int i = 0; i < N_SERVERS; i++)
    {
      char name[4] = { 'd', (char)('0' + i) };
      fixture->servers[i] = listener_start (fixture->loop, serve, fixture);
      test_daemon_add_server (&fixture->daemon, name,
                              fixture->servers[i]->address);
    }
  int64_t end_ms = now_ms () + (int64_t)(START_S * 1e3);
  for (int i = 0; i < N_OTHERS; i++)
    test_daemon_start_other (&fixture->daemon, &fixture->others[i]);
  for (int i = 0; i < N_OTHERS; i++)
    assert_true (serves (fixture, fixture->others[i].address, end_ms));
  assert_true (serves (fixture, fixture->daemon.process.address, end_ms));
  assert_true (are_linked (fixture, end_ms));
  /* What goes over the links.  */
  run_for (fixture->loop, 1.0);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < N_OTHERS; i++)
    process_kill (&fixture->others[i]);
  test_daemon_stop (&fixture->daemon);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (fixture->servers[i]);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

static void
begin_cut (fixture_t *fixture, cut_kind_t kind)
{
  fixture->cut = (cut_t){ kind, { fixture->daemon.process.pid }, 1 };
  for (int i = 0; i < N_SERVERS; i++)
    cut_begin (&fixture->cut, fixture->servers[i]);
}

static void
end_cut (fixture_t *fixture)
{
  for (int i = 0; i < N_SERVERS; i++)
    cut_end (fixture->servers[i]);
}

/* Guards against an instance that takes callers and fails them while no server
   answers it, and against one that does not come back.  */
static void
cut_instance_fails_its_callers (void **state)
{
  fixture_t *fixture = *state;
  const char *address = fixture->daemon.process.address;
  for (int kind = CUT_HANGS; kind <= CUT_RESETS; kind++)
    {
      begin_cut (fixture, (cut_kind_t)kind);
      int64_t end_ms = now_ms () + CONTACT_MS;
      assert_true (serves (fixture, address, end_ms));
      for (int i = 0; i < N_CALLS; i++)
        assert_int_equal (status_at (fixture, address), 200);
      while (now_ms () < end_ms)
        run_for (fixture->loop, 0.05);
      assert_false (is_ready (fixture));
      for (int i = 0; i < N_CALLS; i++)
        assert_int_equal (status_at (fixture, address), 200);
      end_cut (fixture);
      end_ms = now_ms () + BACK_MS;
      while (!is_ready (fixture) && now_ms () < end_ms)
        run_for (fixture->loop, 0.05);
      assert_true (is_ready (fixture));
      assert_int_equal (status_at (fixture, address), 200);
    }
}

static void
on_cut_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  begin_cut (timer->data, CUT_HANGS);
}

/* Guards against a begun stream that ends there, or that lacks events or has
   some twice.  */
static void
begun_stream_breaks (void **state)
{
  fixture_t *fixture = *state;
  GString *wanted = g_string_new (NULL);
  for (int i = 1; i <= N_EVENTS; i++)
    g_string_append_printf (wanted, "id: %d\ndata: e%d\n\n", i, i);
  ev_timer_init (&fixture->cut_timer, on_cut_timer, 0.3, 0.0);
  fixture->cut_timer.data = fixture;
  ev_timer_start (fixture->loop, &fixture->cut_timer);
  raw_answer_t answer;
  call (fixture, fixture->daemon.process.address, "s", STREAM_S, &answer);
  bool whole;
  char *body = raw_answer_body (&answer, &whole);
  assert_string_equal (body, wanted->str);
  assert_true (whole);
  g_free (body);
  raw_answer_clear (&answer);
  g_string_free (wanted, TRUE);
  end_cut (fixture);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (cut_instance_fails_its_callers),
    TEST (begun_stream_breaks),
  };
  return cmocka_run_group_tests_name ("stranded daemon", tests, NULL, NULL);
}
