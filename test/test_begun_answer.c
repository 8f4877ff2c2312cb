/* What may follow an answer that has begun, at real sockets: the daemon as a
   process, two servers that follow a script, callers that see the bytes.  */

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <cmocka.h>

#include "common-daemon.h"
#include "common-listener.h"

#define N_SERVERS 2

/* An answer must have ended after this time.  The caller's own time is up
   after three times as much.  */
#define END_S 1.5
#define DEADLINE_MS "4500"
#define SHORT_DEADLINE_MS "1000"

#define OWN "X-Request-Id: c1\r\nX-Server-Stamp: s\r\n"
#define STREAM                                                                \
  "HTTP/1.1 200 OK\r\n" OWN                                                   \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(id, text) "f\r\nid: " id "\ndata: " text "\n\n\r\n"
#define BARE_EVENT(text) "9\r\ndata: " text "\n\n\r\n"
#define LAST "0\r\n\r\n"

/* Bodies as callers see them.  */
#define SEEN(id, text) "id: " id "\ndata: " text "\n\n"
#define SEEN_1_2 SEEN ("1", "a") SEEN ("2", "b")

typedef struct
{
  const char *name;
  const char *first;  /* what the first run writes before it breaks off */
  const char *second; /* what the next run writes before it ends; NULL: the
                         first one does not end */
  const char *body;   /* what the caller may get */
  bool whole;         /* whether that ends as complete */
} case_t;

#define BROKEN_OFF STREAM EVENT ("1", "a") EVENT ("2", "b")
/* The same without a mark of its end.  */
#define EVENTS_TYPE "Content-Type: text/event-stream\r\n\r\n"
#define OPEN_STREAM "HTTP/1.1 200 OK\r\n" OWN EVENTS_TYPE SEEN_1_2

static const case_t cases[] = {
  { "goes on", BROKEN_OFF, STREAM EVENT ("3", "c") EVENT ("4", "d") LAST,
    SEEN_1_2 SEEN ("3", "c") SEEN ("4", "d"), true },
  { "repeats", BROKEN_OFF, STREAM EVENT ("2", "b") EVENT ("3", "c") LAST,
    SEEN_1_2 SEEN ("3", "c"), true },
  { "has nothing to add", BROKEN_OFF, STREAM LAST, SEEN_1_2, true },
  { "400", BROKEN_OFF,
    "HTTP/1.1 400 Bad\r\n" OWN "Content-Length: 3\r\n\r\nbad", SEEN_1_2,
    false },
  { "404", BROKEN_OFF,
    "HTTP/1.1 404 None\r\n" OWN "Content-Length: 4\r\n\r\nnone", SEEN_1_2,
    false },
  { "500", BROKEN_OFF,
    "HTTP/1.1 500 Bad\r\n" OWN "Content-Length: 3\r\n\r\nbad", SEEN_1_2,
    false },
  { "503", BROKEN_OFF,
    "HTTP/1.1 503 Busy\r\n" OWN "Content-Length: 4\r\n\r\nbusy", SEEN_1_2,
    false },
  { "503, not run", BROKEN_OFF,
    "HTTP/1.1 503 Busy\r\n" OWN
    "X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
    SEEN_1_2, false },
  { "200, no stream", BROKEN_OFF,
    "HTTP/1.1 200 OK\r\n" OWN "Content-Length: 4\r\n\r\ndone", SEEN_1_2,
    false },
  { "204", BROKEN_OFF, "HTTP/1.1 204 None\r\n" OWN "\r\n", SEEN_1_2, false },
  { "stream with status 500", BROKEN_OFF,
    "HTTP/1.1 500 Bad\r\n" OWN "Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n" EVENT ("3", "c") LAST,
    SEEN_1_2, false },
  { "head cut", BROKEN_OFF, "HTTP/1.1 200 OK\r\nX-Requ", SEEN_1_2, false },
  { "silent", BROKEN_OFF, "", SEEN_1_2, false },
  { "leaves out an event", BROKEN_OFF,
    STREAM EVENT ("4", "d") EVENT ("5", "e") LAST, SEEN_1_2, false },
  { "leaves out the second event", STREAM EVENT ("1", "a"),
    STREAM EVENT ("4", "d") EVENT ("5", "e") LAST, SEEN ("1", "a"), false },
  { "ends with its connection, without an event", BROKEN_OFF,
    "HTTP/1.1 200 OK\r\n" OWN "Content-Type: text/event-stream\r\n"
    "Connection: close\r\n\r\n",
    SEEN_1_2, false },
  { "begins after a comment", STREAM "5\r\n: x\n\n\r\n",
    STREAM EVENT ("1", "a") LAST, ": x\n\n" SEEN ("1", "a"), true },
  { "no ids", STREAM BARE_EVENT ("a") BARE_EVENT ("b"),
    STREAM BARE_EVENT ("a") BARE_EVENT ("b") BARE_EVENT ("c") LAST,
    "data: a\n\ndata: b\n\n", false },
};

typedef struct
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  listener_t *servers[N_SERVERS];
  const case_t *script;
  const char *deadline_ms;
  ev_timer *end; /* NULL: none; its data becomes the connection of a run */
  int n_runs;
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  if (!strstr (request, "/draft/"))
    {
      const char *id = strcasestr (request, "\r\nx-request-id: ");
      connection_print (connection,
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                        "X-Server-Stamp: s\r\nX-Request-Id: %.*s\r\n\r\n",
                        id ? (int)strcspn (id + 16, "\r") : 0,
                        id ? id + 16 : "");
      return;
    }
  connection_print (connection, "%s",
                    fixture->n_runs++ ? fixture->script->second
                                      : fixture->script->first);
  if (fixture->end)
    fixture->end->data = connection;
  if (fixture->script->second)
    connection_close (connection);
}

static int
set_up (void **state)
{
  static const char routes[]
      = "{\"name\":\"w\",\"hostname\":\"h.example\",\"path_prefix\":\"/w/\","
        "\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"
        "\"timeout_ms\":5000},"
        "{\"name\":\"d\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/draft/\",\"backend\":\"desk\",\"kind\":\"stream\","
        "\"resumable\":true,\"max_attempts\":2,\"timeout_ms\":5000}";
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->deadline_ms = DEADLINE_MS;
  test_daemon_start (&fixture->daemon, fixture->loop, routes);
  for (int i = 0; i < N_SERVERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "d%d", i);
      fixture->servers[i] = listener_start (fixture->loop, serve, fixture);
      test_daemon_add_server (&fixture->daemon, name,
                              fixture->servers[i]->address);
    }
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

static void
call (fixture_t *fixture, const char *path, const char *version,
      const char *connection, double limit_s, raw_answer_t *answer)
{
  char *request
      = g_strdup_printf ("GET %s HTTP/%s\r\nHost: h.example\r\n"
                         "X-Request-Id: c1\r\nX-Deadline-Ms: %s\r\n"
                         "Connection: %s\r\n\r\n",
                         path, version, fixture->deadline_ms, connection);
  raw_call (fixture->loop, fixture->daemon.process.address, request, LAST,
            limit_s, answer);
  g_free (request);
}

static void
wait_for_daemon (fixture_t *fixture)
{
  int status = 0;
  for (int i = 0; i < 100 && status != 200; i++)
    {
      raw_answer_t answer;
      call (fixture, "/w/x", "1.1", "close", 1, &answer);
      status = raw_answer_status (&answer);
      raw_answer_clear (&answer);
      if (status != 200)
        run_for (fixture->loop, 0.1);
    }
  assert_int_equal (status, 200);
}

/* Whether the caller of CASE got what it may get; if not, prints that.  */
static bool
holds (fixture_t *fixture, const case_t *script, const char *version,
       const char *connection)
{
  raw_answer_t answer;
  bool whole;
  fixture->script = script;
  fixture->n_runs = 0;
  call (fixture, "/draft/x", version, connection, 2 * END_S, &answer);
  char *body = raw_answer_body (&answer, &whole);
  char *shown = g_strescape (body, NULL);
  bool ended = answer.closed || whole;
  bool good = raw_answer_status (&answer) == 200 && ended
              && answer.seconds < END_S && whole == script->whole
              && strcmp (body, script->body) == 0;
  if (!good)
    print_message ("%s (HTTP/%s, %s): status %d, %s after %.1f s, body %s\n",
                   script->name, version, connection,
                   raw_answer_status (&answer),
                   whole   ? "whole"
                   : ended ? "broken off"
                           : "not ended",
                   answer.seconds, shown);
  g_free (shown);
  g_free (body);
  raw_answer_clear (&answer);
  return good;
}

/* Runs CASE against a daemon of its own: each begins with sound servers and an
   unspent budget.  */
static int
count_bad (const case_t *script, const char *version, const char *connection)
{
  void *state;
  set_up (&state);
  wait_for_daemon (state);
  bool good = holds (state, script, version, connection);
  tear_down (&state);
  return !good;
}

/* Guards against another answer, its head or silence in a stream that broke
   off, and against an end as complete before the last event.  */
static void
begun_stream_is_mixed_with_the_next_answer (void **state)
{
  (void)state;
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    bad += count_bad (&cases[i], "1.1", "keep-alive");
  assert_int_equal (bad, 0);
}

/* Guards against a stream that looks complete to callers to whom only the end
   of the connection marks the end of an answer.  */
static void
break_without_chunks_looks_like_an_end (void **state)
{
  (void)state;
  static const char *const forms[][2]
      = { { "1.1", "close" }, { "1.0", "close" }, { "1.0", "keep-alive" } };
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (forms); i++)
    {
      bad += count_bad (&cases[0], forms[i][0], forms[i][1]);
      bad += count_bad (&cases[3], forms[i][0], forms[i][1]);
    }
  assert_int_equal (bad, 0);
}

static void
kill_daemon (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  process_kill (timer->data);
}

/* SIGINT during the stop ends what is open.  */
static void
stop_daemon (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  process_signal (timer->data, SIGTERM);
  pause_ms (50);
  process_signal (timer->data, SIGINT);
}

static void
terminate_daemon_again (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  process_signal (timer->data, SIGTERM);
}

static void
end_stream (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  connection_print (timer->data, "%s", EVENT ("3", "c") LAST);
}

static void
close_stream (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  const connection_t *connection = timer->data;
  shutdown (connection->io.fd, SHUT_WR);
}

static void
do_nothing (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)timer;
  (void)events;
}

/* Guards against silence, and against an end as complete, when something else
   than a server ends a stream.  */
static void
cut_stream_looks_like_an_end (void **state)
{
  typedef void (*timer_fn_t) (struct ev_loop *, ev_timer *, int);
  static const struct
  {
    const char *name;
    const char *version;
    timer_fn_t cut;
    const char *deadline_ms;
    const char *first;
  } cuts[] = {
    { "killed", "1.1", kill_daemon, DEADLINE_MS, BROKEN_OFF },
    { "killed", "1.0", kill_daemon, DEADLINE_MS, BROKEN_OFF },
    { "stopped", "1.1", stop_daemon, DEADLINE_MS, BROKEN_OFF },
    { "stopped", "1.0", stop_daemon, DEADLINE_MS, BROKEN_OFF },
    { "deadline", "1.1", do_nothing, SHORT_DEADLINE_MS, BROKEN_OFF },
    { "deadline", "1.0", do_nothing, SHORT_DEADLINE_MS, BROKEN_OFF },
    { "open, killed", "1.1", kill_daemon, DEADLINE_MS, OPEN_STREAM },
    { "open, stopped", "1.1", stop_daemon, DEADLINE_MS, OPEN_STREAM },
    { "open, deadline", "1.1", do_nothing, SHORT_DEADLINE_MS, OPEN_STREAM },
  };
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cuts); i++)
    {
      set_up (state);
      fixture_t *fixture = *state;
      wait_for_daemon (fixture);
      case_t script = { cuts[i].name, cuts[i].first, NULL, SEEN_1_2, false };
      fixture->deadline_ms = cuts[i].deadline_ms;
      ev_timer timer;
      ev_timer_init (&timer, cuts[i].cut, 0.5, 0);
      timer.data = &fixture->daemon.process;
      ev_timer_start (fixture->loop, &timer);
      bad += !holds (fixture, &script, cuts[i].version, "close");
      ev_timer_stop (fixture->loop, &timer);
      tear_down (state);
    }
  assert_int_equal (bad, 0);
}

/* Whether SCRIPT holds although SIGTERM comes several times, while its server
   ends it with END.  */
static bool
holds_during_stop (void **state, const case_t *script,
                   void (*end_fn) (struct ev_loop *, ev_timer *, int))
{
  ev_timer signals;
  ev_timer end;
  set_up (state);
  fixture_t *fixture = *state;
  wait_for_daemon (fixture);
  fixture->end = &end;
  ev_timer_init (&signals, terminate_daemon_again, 0.2, 0.1);
  signals.data = &fixture->daemon.process;
  ev_timer_init (&end, end_fn, 0.8, 0);
  ev_timer_start (fixture->loop, &signals);
  ev_timer_start (fixture->loop, &end);
  bool good = holds (fixture, script, "1.1", "close");
  ev_timer_stop (fixture->loop, &signals);
  ev_timer_stop (fixture->loop, &end);
  tear_down (state);
  return good;
}

/* Guards against a stream that is cut because SIGTERM comes more than once. */
static void
second_sigterm_cuts_a_stream (void **state)
{
  static const case_t script
      = { "SIGTERM twice", BROKEN_OFF, NULL, SEEN_1_2 SEEN ("3", "c"), true };
  assert_true (holds_during_stop (state, &script, end_stream));
}

/* Guards against a stop that breaks off a stream that then ends with its
   server's connection.  */
static void
stop_breaks_off_an_open_stream (void **state)
{
  static const case_t script
      = { "open, SIGTERM", OPEN_STREAM, NULL, SEEN_1_2, true };
  assert_true (holds_during_stop (state, &script, close_stream));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (begun_stream_is_mixed_with_the_next_answer),
    cmocka_unit_test (break_without_chunks_looks_like_an_end),
    cmocka_unit_test (cut_stream_looks_like_an_end),
    cmocka_unit_test (second_sigterm_cuts_a_stream),
    cmocka_unit_test (stop_breaks_off_an_open_stream),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
