/* The marks of an answer's end at the caller when the server's connection ends
   first: the daemon as a process, servers that follow a script, a caller that
   sees the bytes.  */

#include <fcntl.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "common-daemon.h"
#include "common-listener.h"

#define N_SERVERS 2
#define LIMIT_S 3.0
#define MAX_READY_CALLS 200
#define N_OPEN_CALLS 7
/* More than the default of max_pending_bytes.  */
#define LARGE_BYTES 5000000

#define OWN "X-Request-Id: c1\r\nX-Server-Stamp: s\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define TWO_EVENTS "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

typedef struct
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  listener_t *servers[N_SERVERS];
  const char *answer; /* bytes before the end of the connection */
  size_t size;
  int n_runs;
  bool holds; /* the server keeps its connection open */
  bool mute;  /* the server answers no question for its load report */
  ev_timer stop_timer;
  int n_signals;
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  if (strstr (request, " /ready/"))
    {
      connection_print (connection, OK_HEAD OWN "Content-Length: 0\r\n\r\n");
      return;
    }
  /* The server lives.  */
  if (strstr (request, " /-/report "))
    {
      if (!fixture->mute)
        connection_reply (connection, 404, "");
      return;
    }
  /* The daemon reads meanwhile, so all bytes may be written at once.  */
  fcntl (connection->io.fd, F_SETFL, 0);
  /* A second run ends without a byte, so that nothing goes on.  */
  if (!fixture->n_runs++ || fixture->holds)
    connection_write (connection, fixture->answer, fixture->size);
  if (!fixture->holds)
    connection_close (connection);
}

static void
call (fixture_t *fixture, const char *method, const char *path,
      raw_answer_t *answer)
{
  char *request
      = g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h.example\r\n"
                         "X-Request-Id: c1\r\nX-Deadline-Ms: 2500\r\n"
                         "Content-Length: 0\r\nConnection: close\r\n\r\n",
                         method, path);
  raw_call (fixture->loop, fixture->daemon.process.address, request, NULL,
            LIMIT_S, answer);
  g_free (request);
}

/* Waits until a server is used, after those that failed were left out.  */
static void
wait_ready (fixture_t *fixture)
{
  int status = 0;
  for (int i = 0; i < MAX_READY_CALLS && status != 200; i++)
    {
      raw_answer_t answer;
      call (fixture, "GET", "/ready/x", &answer);
      status = raw_answer_status (&answer);
      raw_answer_clear (&answer);
      if (status != 200)
        run_for (fixture->loop, 0.1);
    }
  assert_int_equal (status, 200);
}

static int
set_up (void **state)
{
  static const char routes[]
      = "{\"name\":\"w\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/ready/\",\"backend\":\"desk\",\"kind\":\"idempotent\","
        "\"max_attempts\":2,\"timeout_ms\":5000},"
        "{\"name\":\"r\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/read/\",\"backend\":\"desk\",\"kind\":\"idempotent\","
        "\"max_attempts\":2,\"timeout_ms\":5000},"
        "{\"name\":\"b\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/book/\",\"backend\":\"desk\",\"kind\":\"non_idempotent\","
        "\"max_attempts\":2,\"timeout_ms\":5000},"
        "{\"name\":\"s\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"/stream/\",\"backend\":\"desk\",\"kind\":\"stream\","
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
  wait_ready (fixture);
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

/* What marks the end of ANSWER, which is a server's; NULL: it is this
   system's own error, or its end is not there.  */
static const char *
end_mark (const raw_answer_t *answer)
{
  bool whole;
  g_free (raw_answer_body (answer, &whole));
  int status = raw_answer_status (answer);
  if (!whole || !status || status == 502 || status == 503 || status == 504)
    return NULL;
  const char *end = strstr (answer->bytes->str, "\r\n\r\n");
  char *head = g_ascii_strdown (answer->bytes->str, end - answer->bytes->str);
  const char *mark = strstr (head, "transfer-encoding: chunked") ? "chunks"
                     : strstr (head, "content-length:")          ? "length"
                                                                 : "close";
  g_free (head);
  return mark;
}

/* The mark at the caller after the first SIZE bytes of TEXT and FIN.  */
static const char *
mark_after (fixture_t *fixture, const char *method, const char *path,
            const char *text, size_t size, bool *has_stamp)
{
  raw_answer_t answer;
  fixture->answer = text;
  fixture->size = size;
  wait_ready (fixture);
  fixture->n_runs = 0;
  call (fixture, method, path, &answer);
  assert_true (fixture->n_runs > 0);
  const char *mark = end_mark (&answer);
  *has_stamp = strstr (answer.bytes->str, "X-Server-Stamp: s\r\n") != NULL;
  raw_answer_clear (&answer);
  return mark;
}

/* Cuts HEAD after each of its bytes; the number of answers that look
   complete.  */
static int
cut_head (fixture_t *fixture, const char *name, const char *method,
          const char *path, const char *head)
{
  int n_by_length = 0;
  int n_by_chunks = 0;
  int n_by_close = 0;
  int n_unstamped = 0;
  for (size_t size = 0; size < strlen (head); size++)
    {
      bool has_stamp;
      const char *mark
          = mark_after (fixture, method, path, head, size, &has_stamp);
      n_by_length += g_strcmp0 (mark, "length") == 0;
      n_by_chunks += g_strcmp0 (mark, "chunks") == 0;
      n_by_close += g_strcmp0 (mark, "close") == 0;
      n_unstamped += mark && !has_stamp;
    }
  print_message ("%s, %zu cuts in the head: %d complete by length, %d in "
                 "chunks, %d by close; %d without a stamp\n",
                 name, strlen (head), n_by_length, n_by_chunks, n_by_close,
                 n_unstamped);
  return n_by_length + n_by_chunks + n_by_close;
}

/* Guards against a stream that ends by a length of ours (case 1) or in chunks
   (case 2), without the server's stamp, after a head that was cut.  */
static void
answer_cut_in_its_head_is_complete (void **state)
{
  fixture_t *fixture = *state;
  int bad
      = cut_head (fixture, "stream, type last", "POST", "/stream/x",
                  OK_HEAD OWN "Transfer-Encoding: chunked\r\n" EVENTS "\r\n")
        + cut_head (fixture, "stream, type first", "POST", "/stream/x",
                    OK_HEAD EVENTS "Connection: close\r\n" OWN "\r\n")
        + cut_head (fixture, "plain", "GET", "/read/x",
                    OK_HEAD "Content-Type: text/plain\r\n" OWN
                            "Content-Length: 2\r\n\r\n");
  assert_int_equal (bad, 0);
}

/* Guards against a stream without a length that ends as complete inside an
   event (case 2 with the stamp).  */
static void
stream_cut_inside_an_event_is_complete (void **state)
{
  static const char head[] = OK_HEAD OWN EVENTS "\r\n";
  fixture_t *fixture = *state;
  char *answer = g_strconcat (head, TWO_EVENTS, NULL);
  const char *between = strstr (answer, "\n\n") + strlen ("\n\n");
  int bad = 0;
  for (size_t size = strlen (head) + 1; size < strlen (answer); size++)
    {
      bool has_stamp;
      if (answer + size != between)
        bad += mark_after (fixture, "POST", "/stream/x", answer, size,
                           &has_stamp)
               != NULL;
    }
  print_message ("%d of %zu cuts inside an event are complete\n", bad,
                 strlen (TWO_EVENTS) - 2);
  g_free (answer);
  assert_int_equal (bad, 0);
}

typedef struct
{
  const char *name;
  const char *method;
  const char *path;
  const char *answer;
} answer_case_t;

/* Answers whose end only their connection marks; the last one is no
   success.  */
static const answer_case_t open_answers[] = {
  { "stream that may go on", "POST", "/draft/x",
    OK_HEAD OWN EVENTS "\r\n" TWO_EVENTS },
  { "stream that may not", "POST", "/stream/x",
    OK_HEAD OWN EVENTS "\r\n" TWO_EVENTS },
  { "stream without a type", "POST", "/stream/x",
    OK_HEAD OWN "\r\n" TWO_EVENTS },
  { "body, once", "POST", "/book/x",
    OK_HEAD OWN "Content-Type: text/plain\r\n\r\nabc" },
  { "body, repeatable", "GET", "/read/x",
    OK_HEAD OWN "Content-Type: text/plain\r\n\r\nabc" },
  { "failure", "POST", "/book/x",
    "HTTP/1.1 500 No\r\n" OWN "Content-Type: text/plain\r\n\r\nabc" },
};

/* The mark at the caller after the answer of ANSWER_CASE and FIN, which is
   printed.  */
static const char *
mark_of_case (fixture_t *fixture, const answer_case_t *answer_case)
{
  bool has_stamp;
  const char *mark = mark_after (fixture, answer_case->method,
                                 answer_case->path, answer_case->answer,
                                 strlen (answer_case->answer), &has_stamp);
  print_message ("%s: end by %s\n", answer_case->name,
                 mark ? mark : "no regular end");
  return mark;
}

/* Guards against an end with a mark, chunks or a length, that the server never
   gave: its connection ended, as that of a server that crashed does.  */
static void
answer_that_ended_with_its_connection_is_framed_as_complete (void **state)
{
  fixture_t *fixture = *state;
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (open_answers); i++)
    {
      const char *mark = mark_of_case (fixture, &open_answers[i]);
      bad += mark && strcmp (mark, "close") != 0;
    }
  assert_int_equal (bad, 0);
}

/* Guards against a short answer that ends with FIN like a whole one, because
   its server is silent when it is asked whether it lives.  */
static void
answer_of_a_silent_server_ends_regularly (void **state)
{
  fixture_t *fixture = *state;
  int bad = 0;
  fixture->mute = true;
  for (size_t i = 0; i < G_N_ELEMENTS (open_answers) - 1; i++)
    bad += mark_of_case (fixture, &open_answers[i]) != NULL;
  assert_int_equal (bad, 0);
}

/* Guards against a stream that ends as complete inside an event, because a
   length or a last chunk follows.  */
static void
stream_with_a_mark_is_complete_inside_an_event (void **state)
{
  static const answer_case_t cases[] = {
    { "chunks, may go on", "POST", "/draft/x",
      OK_HEAD OWN EVENTS "Transfer-Encoding: chunked\r\n\r\n"
                         "16\r\nid: 1\ndata: a\n\nid: 2\nd\r\n0\r\n\r\n" },
    { "chunks, may not", "POST", "/stream/x",
      OK_HEAD OWN EVENTS "Transfer-Encoding: chunked\r\n\r\n"
                         "16\r\nid: 1\ndata: a\n\nid: 2\nd\r\n0\r\n\r\n" },
    { "chunks, first event", "POST", "/stream/x",
      OK_HEAD OWN EVENTS "Transfer-Encoding: chunked\r\n\r\n"
                         "d\r\nid: 1\ndata: a\r\n0\r\n\r\n" },
    { "length", "POST", "/stream/x",
      OK_HEAD OWN EVENTS "Content-Length: 22\r\n\r\n"
                         "id: 1\ndata: a\n\nid: 2\nd" },
  };
  fixture_t *fixture = *state;
  int bad = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    bad += mark_of_case (fixture, &cases[i]) != NULL;
  assert_int_equal (bad, 0);
}

/* SIGTERM, then SIGINT, which ends the stop at once.  */
static void
on_stop_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  fixture_t *fixture = timer->data;
  kill (fixture->daemon.process.pid, fixture->n_signals++ ? SIGINT : SIGTERM);
  if (fixture->n_signals == 2)
    ev_timer_stop (loop, timer);
}

/* Sends a call on a connection of its own, which is returned.  */
static int
open_call (const fixture_t *fixture)
{
  static const char request[]
      = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c1\r\n"
        "X-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n";
  const char *address = fixture->daemon.process.address;
  struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)atoi (strchr (address, ':') + 1)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_int_equal (
      connect (fd, (const struct sockaddr *)(const void *)&to, sizeof to), 0);
  assert_int_equal (send (fd, request, strlen (request), 0), strlen (request));
  return fd;
}

/* Whether FD, which is closed, was ended with a reset.  */
static bool
ends_with_reset (int fd)
{
  char buffer[4096];
  ssize_t n;
  do
    n = recv (fd, buffer, sizeof buffer, 0);
  while (n > 0);
  close (fd);
  return n < 0;
}

/* Guards against open answers that a stop cuts and that end at their callers
   like whole ones, with FIN instead of a reset.  */
static void
open_answer_cut_by_a_stop_ends_regularly (void **state)
{
  fixture_t *fixture = *state;
  raw_answer_t answer;
  int calls[N_OPEN_CALLS];
  int n_regular = 0;
  fixture->answer = OK_HEAD OWN EVENTS "\r\n" TWO_EVENTS;
  fixture->size = strlen (fixture->answer);
  fixture->holds = true;
  for (int i = 0; i < N_OPEN_CALLS; i++)
    calls[i] = open_call (fixture);
  ev_timer_init (&fixture->stop_timer, on_stop_timer, 0.2, 0.2);
  fixture->stop_timer.data = fixture;
  ev_timer_start (fixture->loop, &fixture->stop_timer);
  call (fixture, "POST", "/stream/x", &answer);
  assert_int_equal (fixture->n_signals, 2);
  assert_true (answer.closed);
  n_regular += !answer.reset;
  for (int i = 0; i < N_OPEN_CALLS; i++)
    n_regular += !ends_with_reset (calls[i]);
  print_message ("%d of %d open answers end with FIN\n", n_regular,
                 N_OPEN_CALLS + 1);
  raw_answer_clear (&answer);
  assert_int_equal (n_regular, 0);
}

/* Guards against an answer whose status or method marks its end and that
   leaves without a mark, because its server closes the connection.  */
static void
answer_without_a_body_lacks_its_mark (void **state)
{
  static const struct
  {
    const char *name;
    const char *method;
    const char *answer;
    int status;
  } cases[] = {
    { "204", "GET", "HTTP/1.1 204 None\r\n" OWN "\r\n", 204 },
    { "304", "GET", "HTTP/1.1 304 Same\r\n" OWN "\r\n", 304 },
    { "HEAD", "HEAD", OK_HEAD OWN "Connection: close\r\n\r\n", 200 },
  };
  fixture_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      raw_answer_t answer;
      fixture->answer = cases[i].answer;
      fixture->size = strlen (cases[i].answer);
      wait_ready (fixture);
      fixture->n_runs = 0;
      call (fixture, cases[i].method, "/read/x", &answer);
      print_message ("%s: status %d, %s\n", cases[i].name,
                     raw_answer_status (&answer),
                     answer.reset ? "reset" : "no reset");
      assert_int_equal (raw_answer_status (&answer), cases[i].status);
      assert_true (g_str_has_suffix (answer.bytes->str, "\r\n\r\n"));
      assert_null (strcasestr (answer.bytes->str, "\r\nTransfer-Encoding"));
      assert_false (answer.reset);
      raw_answer_clear (&answer);
    }
}

/* Guards against an answer without a length or chunks that is broken off
   because it is larger than what may wait for a caller.  */
static void
large_answer_without_a_mark_is_broken_off (void **state)
{
  static const char head[] = OK_HEAD OWN "Content-Type: text/plain\r\n\r\n";
  fixture_t *fixture = *state;
  char *body = g_strnfill (LARGE_BYTES, 'x');
  char *text = g_strconcat (head, body, NULL);
  raw_answer_t answer;
  bool whole;
  fixture->answer = text;
  fixture->size = strlen (text);
  wait_ready (fixture);
  fixture->n_runs = 0;
  call (fixture, "POST", "/book/x", &answer);
  char *seen = raw_answer_body (&answer, &whole);
  print_message ("%zu of %d bytes, %s by %s\n", strlen (seen), LARGE_BYTES,
                 whole ? "whole" : "broken off", end_mark (&answer));
  assert_true (whole);
  assert_string_equal (end_mark (&answer), "close");
  assert_true (strcmp (seen, body) == 0);
  raw_answer_clear (&answer);
  g_free (seen);
  g_free (text);
  g_free (body);
}

/* Guards against an open answer under way that ends with FIN, like a whole
   one, at a caller who ends only its own data.  */
static void
open_answer_ends_regularly_at_a_caller_who_half_closes (void **state)
{
  fixture_t *fixture = *state;
  int n_regular = 0;
  fixture->answer = OK_HEAD OWN EVENTS "\r\n" TWO_EVENTS;
  fixture->size = strlen (fixture->answer);
  fixture->holds = true;
  for (int i = 0; i < N_OPEN_CALLS; i++)
    {
      int fd = open_call (fixture);
      run_for (fixture->loop, 0.2);
      shutdown (fd, SHUT_WR);
      run_for (fixture->loop, 0.2);
      n_regular += !ends_with_reset (fd);
    }
  print_message ("%d of %d open answers end with FIN\n", n_regular,
                 N_OPEN_CALLS);
  assert_int_equal (n_regular, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (answer_cut_in_its_head_is_complete,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (stream_cut_inside_an_event_is_complete,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        answer_that_ended_with_its_connection_is_framed_as_complete, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (answer_of_a_silent_server_ends_regularly,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        stream_with_a_mark_is_complete_inside_an_event, set_up, tear_down),
    cmocka_unit_test_setup_teardown (open_answer_cut_by_a_stop_ends_regularly,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        open_answer_ends_regularly_at_a_caller_who_half_closes, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (answer_without_a_body_lacks_its_mark,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (large_answer_without_a_mark_is_broken_off,
                                     set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
