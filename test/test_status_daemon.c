/* Status 000 through the daemon: servers in trouble, and the store, answer
   with a status that is none.  The test acts as the store, the servers and the
   caller.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-daemon.h"
#include "common-listener.h"

#define N_SERVERS 8
#define CALL_S 4.0
#define START_S 12
/* The budget of repeats has a slack after its first window of 1 s.  */
#define WINDOW_S 1.2
/* Calls with good answers before each case, so that servers count as healthy.
 */
#define N_GOOD 20
#define MARK "of-status-none"

#define ROUTE(name, kind)                                                     \
  "{\"name\":\"" name                                                         \
  "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" name                    \
  "/\",\"backend\":\"desk\",\"kind\":" kind                                   \
  ",\"max_attempts\":3,\"timeout_ms\":3000}"
#define ROUTES                                                                \
  ROUTE ("r", "\"idempotent\"")                                               \
  "," ROUTE ("n", "\"non_idempotent\"") "," ROUTE (                           \
      "s", "\"stream\"") "," ROUTE ("t", "\"stream\",\"resumable\":true")

/* What servers do with the attempts of one request.  */
typedef enum
{
  CASE_GOOD,
  CASE_FIRST, /* the first answer has no status, the next is good */
  CASE_ALL,   /* no answer has one */
  CASE_BREAKS /* the first is a stream that breaks off, the next has none */
} case_t;

typedef struct
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  listener_t *servers[N_SERVERS];
  case_t kind;
  const char *status; /* of answers that have none */
  const char *rest;   /* headers and body of them */
  bool streams;       /* the request is for a stream */
  int arrivals;       /* of the request */
  int n_none;         /* answers without a status, of all requests */
  int n_sent;
} fixture_t;

static void
send_good (connection_t *connection, const char *id, bool stream, bool resumed)
{
  static const char first[] = "id: 1\ndata: a\n\n";
  static const char second[] = "id: 2\nevent: end\ndata: b\n\n";
  char *body = g_strconcat (stream && !resumed ? first : "",
                            stream ? second : "good", NULL);
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
                    "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    stream ? "text/event-stream" : "text/plain", id,
                    strlen (body), body);
  g_free (body);
}

static void
send_broken (connection_t *connection, const char *id)
{
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    "f\r\nid: 1\ndata: a\n\n\r\n",
                    id);
  connection_close (connection);
}

static void
send_none (fixture_t *fixture, connection_t *connection, const char *id)
{
  fixture->n_none++;
  connection_print (connection,
                    "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: s\r\n"
                    "Content-Type: %s\r\n%s",
                    fixture->status, id,
                    fixture->streams ? "text/event-stream" : "text/plain",
                    fixture->rest);
  if (fixture->rest[0] == '\r')
    connection_close (connection);
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  const char *at = strcasestr (request, "\r\nx-request-id: ");
  char *id = g_strndup (at ? at + 16 : "", at ? strcspn (at + 16, "\r") : 0);
  bool is_report = g_str_has_prefix (request, "GET ");
  int arrival = is_report ? fixture->arrivals : ++fixture->arrivals;
  bool none = fixture->kind == CASE_ALL
              || (fixture->kind == CASE_FIRST && arrival == 1)
              || (fixture->kind == CASE_BREAKS && arrival == 2);
  if (none)
    send_none (fixture, connection, id);
  else if (fixture->kind == CASE_BREAKS && arrival == 1)
    send_broken (connection, id);
  else
    send_good (connection, id, fixture->streams,
               strcasestr (request, "\r\nlast-event-id: ") != NULL);
  g_free (id);
}

/* Makes a call on ROUTE whose attempts go as KIND; returns the status that the
   caller got, and in WHOLE whether the answer has its end.  */
static int
call (fixture_t *fixture, const char *route, case_t kind, bool *whole)
{
  fixture->kind = kind;
  fixture->streams = *route == 's' || *route == 't';
  fixture->arrivals = 0;
  char *request = g_strdup_printf (
      "POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %016x\r\n"
      "X-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
      route, ++fixture->n_sent);
  raw_answer_t answer;
  raw_call (fixture->loop, fixture->daemon.process.address, request, NULL,
            CALL_S, &answer);
  g_free (request);
  int status = raw_answer_status (&answer);
  if (status && (status < 200 || status > 599))
    fail_msg ("route %s, case %d: a caller got status %d", route, kind,
              status);
  if (strstr (answer.bytes->str, MARK))
    fail_msg ("route %s, case %d: a caller got the body of status %s", route,
              kind, fixture->status);
  char *body = raw_answer_body (&answer, whole);
  g_free (body);
  raw_answer_clear (&answer);
  return status;
}

static void
make_good_calls (fixture_t *fixture)
{
  bool whole;
  for (int i = 0; i < N_GOOD; i++)
    call (fixture, "r", CASE_GOOD, &whole);
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  test_daemon_start_with (
      &fixture->daemon, fixture->loop, ROUTES,
      &(test_daemon_options_t){ .retries
                                = "retry_share = 1.0\nretry_window_s = 1\n"
                                  "retry_slack = 1000000\n" });
  for (int i = 0; i < N_SERVERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "d%d", i);
      fixture->servers[i] = listener_start (fixture->loop, serve, fixture);
      test_daemon_add_server (&fixture->daemon, name,
                              fixture->servers[i]->address);
    }
  bool whole;
  for (int i = 0;
       call (fixture, "r", CASE_GOOD, &whole) != 200 && i < START_S * 10; i++)
    run_for (fixture->loop, 0.1);
  run_for (fixture->loop, WINDOW_S);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  test_daemon_stop (&fixture->daemon);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (fixture->servers[i]);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

/* Guards against status 000, or another that is none, or a part of such an
   answer, at a caller: of first attempts, repeats, hedges and streams that are
   resumed.  */
static void
caller_gets_a_status_that_is_none (void **state)
{
  fixture_t *fixture = *state;
  static const char *const statuses[] = { "000 X", "099 X", "999 X" };
  static const char *const rests[] = { "Content-Length: 14\r\n\r\n" MARK,
                                       "Transfer-Encoding: chunked\r\n\r\n"
                                       "e\r\n" MARK "\r\n0\r\n\r\n",
                                       "\r\ndata: " MARK "\n\n" };
  static const char *const routes[] = { "r", "n", "s", "t" };
  bool whole;
  int n_resumed = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (statuses) * G_N_ELEMENTS (rests); i++)
    for (size_t k = 0; k < G_N_ELEMENTS (routes); k++)
      for (case_t kind = CASE_FIRST; kind <= CASE_BREAKS; kind++)
        {
          fixture->status = statuses[i / G_N_ELEMENTS (rests)];
          fixture->rest = rests[i % G_N_ELEMENTS (rests)];
          make_good_calls (fixture);
          int status = call (fixture, routes[k], kind, &whole);
          bool good = status == 200 && whole;
          if (kind == CASE_ALL && status == 200)
            fail_msg ("route %s: a run without an answer succeeded",
                      routes[k]);
          /* Another server gets a request that may be repeated.  */
          if (kind == CASE_FIRST && strchr ("rt", *routes[k]) && !good)
            fail_msg ("route %s: status %d", routes[k], status);
          n_resumed += kind == CASE_BREAKS && good;
        }
  print_message ("%d streams went on, %d answers without a status\n",
                 n_resumed, fixture->n_none);
  assert_true (n_resumed > 0);
}

/* Guards against rows that are taken from such an answer of the store, and
   against calls that fail because of it.  */
static void
store_answers_with_a_status_that_is_none (void **state)
{
  fixture_t *fixture = *state;
  fake_store_t *store = fixture->daemon.store;
  bool whole;
  fake_store_set_status (store, NONE_STATUS);
  fake_store_put (
      store, "op", "config",
      "{\"version\":2,\"services\":[{\"name\":\"desk\"}],"
      "\"tenants\":[],\"routes\":[" ROUTE ("m", "\"idempotent\"") "]}");
  for (int i = 0; i < 100; i++)
    {
      assert_int_equal (call (fixture, "r", CASE_GOOD, &whole), 200);
      assert_int_equal (call (fixture, "m", CASE_GOOD, &whole), 404);
      run_for (fixture->loop, 0.02);
    }
  fake_store_set_status (store, 0);
  for (int i = 0; i < 100 && call (fixture, "m", CASE_GOOD, &whole) != 200;
       i++)
    run_for (fixture->loop, 0.04);
  assert_int_equal (call (fixture, "m", CASE_GOOD, &whole), 200);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (caller_gets_a_status_that_is_none),
    TEST (store_answers_with_a_status_that_is_none),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
