/* Answers that are cut, or joined with others, where nobody looks: the daemon
   as a process, two servers that follow a script, callers that see the
   bytes.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-daemon.h"
#include "common-listener.h"

#define N_SERVERS 2
#define LIMIT_S 3.0
/* Beyond the default of max_pending_bytes.  */
#define LARGE_EVENT_BYTES 1500000
/* Within the limit of an answer's head, beyond the memory of a connection.  */
#define LARGE_HEADER_BYTES 40000

#define OWN "X-Request-Id: c1\r\nX-Server-Stamp: s\r\n"
#define OPEN OWN "Connection: close\r\n\r\n"
#define STREAM                                                                \
  "HTTP/1.1 200 OK\r\n" OWN                                                   \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(id, text) "f\r\nid: " id "\ndata: " text "\n\n\r\n"
#define LAST "0\r\n\r\n"

typedef struct
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  listener_t *servers[N_SERVERS];
  const char *first;  /* answer of the first run */
  const char *second; /* of those after it */
  int n_runs;
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  if (strstr (request, " /ready/"))
    connection_print (connection,
                      "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 0\r\n\r\n");
  else if (strstr (request, " /-/report "))
    connection_reply (connection, 404, "");
  else
    {
      const char *answer
          = fixture->n_runs++ ? fixture->second : fixture->first;
      connection_write (connection, answer, strlen (answer));
      connection_close (connection);
    }
}

static void
call (fixture_t *fixture, const char *path, const char *version,
      raw_answer_t *answer)
{
  char *request
      = g_strdup_printf ("GET %s HTTP/%s\r\nHost: h.example\r\n"
                         "X-Request-Id: c1\r\nX-Deadline-Ms: 2500\r\n"
                         "Connection: close\r\n\r\n",
                         path, version);
  raw_call (fixture->loop, fixture->daemon.process.address, request, NULL,
            LIMIT_S, answer);
  g_free (request);
}

static int
set_up (void **state)
{
  static const char routes[]
      = "{\"name\":\"w\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/ready/\",\"backend\":\"desk\",\"kind\":\"idempotent\","
        "\"max_attempts\":2,\"timeout_ms\":5000},"
        "{\"name\":\"b\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/book/\",\"backend\":\"desk\",\"kind\":\"non_idempotent\","
        "\"max_attempts\":2,\"timeout_ms\":5000},"
        "{\"name\":\"d\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/draft/\",\"backend\":\"desk\",\"kind\":\"stream\","
        "\"resumable\":true,\"max_attempts\":2,\"timeout_ms\":5000}";
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  test_daemon_start (&fixture->daemon, fixture->loop, routes);
  for (int i = 0; i < N_SERVERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "d%d", i);
      fixture->servers[i] = listener_start (fixture->loop, serve, fixture);
      test_daemon_add_server (&fixture->daemon, name,
                              fixture->servers[i]->address);
    }
  int status = 0;
  for (int i = 0; i < 100 && status != 200; i++)
    {
      raw_answer_t answer;
      run_for (fixture->loop, 0.1);
      call (fixture, "/ready/x", "1.1", &answer);
      status = raw_answer_status (&answer);
      raw_answer_clear (&answer);
    }
  assert_int_equal (status, 200);
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

/* Whether a stream of FIRST, then SECOND, looks complete to a caller of HTTP
   VERSION with another body than RIGHT; NULL: no body is right.  */
static bool
looks_complete (const char *name, const char *first, const char *second,
                const char *version, const char *right)
{
  void *state;
  raw_answer_t answer;
  bool whole;
  set_up (&state);
  fixture_t *fixture = state;
  fixture->first = first;
  fixture->second = second;
  call (fixture, "/draft/x", version, &answer);
  char *body = raw_answer_body (&answer, &whole);
  whole = whole && raw_answer_status (&answer) / 100 == 2
          && g_strcmp0 (body, right) != 0;
  if (whole)
    print_message ("%s, HTTP/%s: complete after %zu bytes\n", name, version,
                   strlen (body));
  g_free (body);
  raw_answer_clear (&answer);
  tear_down (&state);
  return whole;
}

/* Guards against a stream that ends as complete by a length of our own after
   its server's connection ended inside an event, because its head did not name
   it a stream.  */
static void
untyped_stream_is_complete_inside_an_event (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    const char *head;
  } cases[] = {
    { "no type", "HTTP/1.1 200 OK\r\n" OPEN },
    { "capitals",
      "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n" OPEN },
    { "206", "HTTP/1.1 206 Part\r\nContent-Type: text/event-stream\r\n" OPEN },
    { "206, no type", "HTTP/1.1 206 Part\r\n" OPEN },
    { "parameter",
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream ;a=b\r\n" OPEN },
    { "other type", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" OPEN },
  };
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *first
          = g_strconcat (cases[i].head, "id: 1\ndata: a\n\nid: 2\nda", NULL);
      bad += looks_complete (cases[i].name, first, "", "1.1", NULL);
      g_free (first);
    }
  assert_int_equal (bad, 0);
}

/* Guards against an answer on a route of streams that is no stream and fails,
   and against a stream that fails because its head does not name it one.  */
static void
answer_on_a_stream_route_is_passed_on (void **state)
{
  static const struct
  {
    const char *name;
    const char *first;
    const char *body;
  } cases[] = {
    { "no type, between events",
      "HTTP/1.1 200 OK\r\n" OPEN "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n" },
    { "no type, chunks",
      "HTTP/1.1 200 OK\r\n" OWN
      "Transfer-Encoding: chunked\r\n\r\n" EVENT ("1", "a") LAST,
      "id: 1\ndata: a\n\n" },
    { "no type, length",
      "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 4\r\n\r\ndone", "done" },
    { "other type, chunks",
      "HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/plain\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n" LAST,
      "done" },
    { "no content", "HTTP/1.1 204 None\r\n" OWN "\r\n", "" },
  };
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      raw_answer_t answer;
      bool whole;
      set_up (state);
      fixture_t *fixture = *state;
      fixture->first = cases[i].first;
      fixture->second = "";
      call (fixture, "/draft/x", "1.1", &answer);
      char *body = raw_answer_body (&answer, &whole);
      if (!whole || raw_answer_status (&answer) / 100 != 2
          || strcmp (body, cases[i].body) != 0)
        {
          print_message ("%s: whole=%d status=%d body=%s\n", cases[i].name,
                         whole, raw_answer_status (&answer), body);
          bad++;
        }
      g_free (body);
      raw_answer_clear (&answer);
      tear_down (state);
    }
  assert_int_equal (bad, 0);
}

/* Guards against a last event without its blank line that comes twice, or
   leaves out others, when a stream goes on at another server.  */
static void
unfinished_event_is_joined_unseen (void **state)
{
  (void)state;
  static const char first[] = STREAM EVENT ("1", "a") EVENT ("2", "b");
  int bad = looks_complete ("event 2 twice", first,
                            STREAM "e\r\nid: 2\ndata: b\n\r\n" LAST, "1.1",
                            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
            + looks_complete ("events 3 to 8 left out", first,
                              STREAM "e\r\nid: 9\ndata: z\n\r\n" LAST, "1.1",
                              NULL);
  assert_int_equal (bad, 0);
}

/* Guards against a stream that is broken off because of its unread bytes and
   looks complete to callers without chunks.  */
static void
large_event_ends_a_stream_as_complete (void **state)
{
  (void)state;
  GString *first = g_string_new (STREAM EVENT ("1", "a"));
  char *large = g_strnfill (LARGE_EVENT_BYTES, 'x');
  g_string_append_printf (first, "%zx\r\nid: 2\ndata: %s\n\n\r\n%s%s",
                          strlen ("id: 2\ndata: \n\n") + strlen (large), large,
                          EVENT ("3", "c"), LAST);
  /* A whole stream would be longer.  */
  int bad = 0;
  raw_answer_t answer;
  bool whole;
  set_up (state);
  fixture_t *fixture = *state;
  fixture->first = first->str;
  fixture->second = "";
  call (fixture, "/draft/x", "1.0", &answer);
  char *body = raw_answer_body (&answer, &whole);
  if (whole && strlen (body) < LARGE_EVENT_BYTES)
    {
      print_message ("complete after %zu bytes\n", strlen (body));
      bad++;
    }
  g_free (body);
  raw_answer_clear (&answer);
  tear_down (state);
  g_free (large);
  g_string_free (first, TRUE);
  assert_int_equal (bad, 0);
}

/* Guards against a refusal that is cut inside a header and believed with the
   id of the answer that follows it: the request ran, and runs again.  */
static void
cut_refusal_takes_the_id_of_the_next_answer (void **state)
{
  raw_answer_t answer;
  set_up (state);
  fixture_t *fixture = *state;
  fixture->first = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1"
                   "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 2\r\n\r\nok";
  fixture->second = "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 2\r\n\r\nok";
  call (fixture, "/book/x", "1.1", &answer);
  int n_runs = fixture->n_runs;
  raw_answer_clear (&answer);
  tear_down (state);
  assert_int_equal (n_runs, 1);
}

/* Guards against an answer whose head does not fit into the memory of the
   caller's connection, which closes without a byte.  */
static void
large_head_closes_the_connection (void **state)
{
  raw_answer_t answer;
  bool whole;
  char *large = g_strnfill (LARGE_HEADER_BYTES, 'x');
  char *first = g_strdup_printf ("HTTP/1.1 200 OK\r\n" OWN "X-Large: %s\r\n"
                                 "Content-Length: 2\r\n\r\nok",
                                 large);
  set_up (state);
  fixture_t *fixture = *state;
  fixture->first = fixture->second = first;
  call (fixture, "/book/x", "1.1", &answer);
  int n_runs = fixture->n_runs;
  int status = raw_answer_status (&answer);
  char *body = raw_answer_body (&answer, &whole);
  raw_answer_clear (&answer);
  tear_down (state);
  assert_int_equal (status, 502);
  assert_true (whole);
  assert_non_null (strstr (body, "\"run\":\"yes\""));
  assert_int_equal (n_runs, 1);
  g_free (body);
  g_free (first);
  g_free (large);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (untyped_stream_is_complete_inside_an_event),
    cmocka_unit_test (answer_on_a_stream_route_is_passed_on),
    cmocka_unit_test (unfinished_event_is_joined_unseen),
    cmocka_unit_test (large_event_ends_a_stream_as_complete),
    cmocka_unit_test (large_head_closes_the_connection),
    cmocka_unit_test (cut_refusal_takes_the_id_of_the_next_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
