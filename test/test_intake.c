/* The daemon as a process, and crowds of callers who respect no limits: it
   lives, holds no more memory and descriptors than it has, and answers an
   ordinary request afterwards, while the crowd is still connected.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include <signal.h>
#include <string.h>

#include <glib/gstdio.h>

#include "common-certificate.h"
#include "common-daemon.h"
#include "common-http.h"
#include "common-listener.h"
#include "intake-crowd.h"

enum
{
  MEMORY_MB = 64,                  /* of the instance */
  ACCOUNT_BYTES = MEMORY_MB << 18, /* a quarter, by default */
  BODY_BYTES = 1 << 20,
  CHUNK_BYTES = 1 << 16,
  SMALL_CHUNKS_BYTES = BODY_BYTES / 13 * 13,
  CONNECTIONS = 300,
  /* The smallest instance of docs/hard-load.md and the default limit.  */
  SMALL_MB = 120,
  SMALL_BODY_BYTES = 4 << 20,
  CALLERS = 200,
  FDS = CONNECTIONS + 100, /* for callers, servers, links and the store */
  ANSWER_BYTES = 2 << 20,
  EVENTS = 2000,
  EVENT_BYTES = 11 + 6 + 256 + 2, /* of "id: 000001", "data: " and the ends */
  HEAD_BYTES = 15000,             /* under max_header_bytes */
  ORDINARY_BYTES = 256 << 10,     /* of a few open connections */
  FEW_FDS = 10,                   /* of links and calls to the store */
  SENDING_S = 20,
  LIMIT_S = 30
};

/* The sanitizer keeps freed memory, which hides what the daemon holds.  There
   only the daemon's own account of it is compared.  */
#ifdef __SANITIZE_ADDRESS__
#define IS_SANITIZED true
#else
#define IS_SANITIZED false
#endif

#define X16 "xxxxxxxxxxxxxxxx"
#define X256 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16 X16
#define HEAD(path)                                                            \
  "POST " path " HTTP/1.1\r\nHost: h.example\r\nX-Deadline-Ms: 20000\r\n"
#define CHUNKED HEAD ("/sound/x") "Transfer-Encoding: chunked\r\n"

static const char unfinished[]
    = "GET /sound/x HTTP/1.1\r\nHost: h.example\r\nX-A: ";

typedef struct
{
  struct ev_loop *loop;
  listener_t *server;
  test_daemon_t daemon;
  char *long_answer;
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  const fixture_t *fixture = data;
  const char *id = strcasestr (request, "\r\nx-request-id: ");
  int length = id ? (int)strcspn (id + 16, "\r") : 0;
  const char *body
      = strstr (request, " /sound/long ") ? fixture->long_answer : "ok";
  if (strstr (request, " /sound/never "))
    return;
  if (strstr (request, " /stream/"))
    {
      connection_print (connection,
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                        "X-Request-Id: %.*s\r\nX-Server-Stamp: s\r\n"
                        "Content-Type: text/event-stream\r\n\r\n",
                        length, id ? id + 16 : "");
      for (int i = 1; i <= EVENTS; i++)
        connection_print (connection, "%x\r\nid: %06d\ndata: " X256 "\n\n\r\n",
                          EVENT_BYTES, i);
      return;
    }
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                    "X-Request-Id: %.*s\r\nX-Server-Stamp: s\r\n\r\n%s",
                    strlen (body), length, id ? id + 16 : "", body);
}

static int
ordinary_status (fixture_t *fixture)
{
  raw_answer_t answer;
  raw_call (
      fixture->loop, fixture->daemon.process.address,
      HEAD ("/sound/x") "X-Request-Id: o\r\nContent-Length: 4\r\n\r\nbody",
      "\r\n\r\n", 5, &answer);
  int status = raw_answer_status (&answer);
  raw_answer_clear (&answer);
  return status;
}

/* Whether it is answered in LIMIT_S; servers and callers that are refused take
   some time.  */
static bool
serves (fixture_t *fixture)
{
  for (int i = 0; i < LIMIT_S * 10; i++)
    {
      if (ordinary_status (fixture) == 200)
        return true;
      run_for (fixture->loop, 0.1);
    }
  return false;
}

/* MORE: further lines of [callers].  */
static fixture_t *
start (int memory_mb, int body_bytes, const char *more)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->long_answer = g_strnfill (ANSWER_BYTES, 'x');
  fixture->server = listener_start (fixture->loop, serve, fixture);
  char *callers
      = g_strdup_printf ("max_body_bytes = %d\nmax_connections = %d\n%s",
                         body_bytes, CONNECTIONS, more);
  test_daemon_start_with (
      &fixture->daemon, fixture->loop,
      "{\"name\":\"s\",\"hostname\":\"h.example\",\"path_prefix\":\"/sound/\","
      "\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"
      "\"timeout_ms\":20000},"
      "{\"name\":\"t\",\"hostname\":\"h.example\",\"path_prefix\":"
      "\"/stream/\",\"backend\":\"desk\",\"kind\":\"stream\","
      "\"max_attempts\":1,\"timeout_ms\":20000}",
      &(test_daemon_options_t){ .memory_mb = memory_mb, .callers = callers });
  g_free (callers);
  test_daemon_add_server (&fixture->daemon, "sound", fixture->server->address);
  return fixture;
}

static int
set_up (void **state)
{
  fixture_t *fixture = start (MEMORY_MB, BODY_BYTES, "");
  assert_true (serves (fixture));
  *state = fixture;
  return 0;
}

static int
set_up_small (void **state)
{
  fixture_t *fixture = start (SMALL_MB, SMALL_BODY_BYTES, "");
  assert_true (serves (fixture));
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  test_daemon_stop (&fixture->daemon);
  listener_stop (fixture->server);
  ev_loop_destroy (fixture->loop);
  g_free (fixture->long_answer);
  g_free (fixture);
  return 0;
}

/* The most memory that the daemon has had, in MB.  */
static int
peak_mb (const fixture_t *fixture)
{
  char *path
      = g_strdup_printf ("/proc/%d/status", (int)fixture->daemon.process.pid);
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  const char *peak = strstr (text, "VmHWM:");
  assert_non_null (peak);
  int mb = (int)(g_ascii_strtoll (peak + 6, NULL, 10) / 1024);
  g_free (text);
  g_free (path);
  return mb;
}

/* The value of metric NAME.  */
static double
metric (const fixture_t *fixture, const char *name)
{
  http_answer_t answer = http_call ("GET", fixture->daemon.operators,
                                    "/metrics", NULL, NULL, 5000);
  const char *line = answer.body ? strstr (answer.body, name) : NULL;
  assert_non_null (line);
  double value = g_ascii_strtod (line + strlen (name), NULL);
  http_free (&answer);
  return value;
}

static int
open_fds (const fixture_t *fixture)
{
  char *path
      = g_strdup_printf ("/proc/%d/fd", (int)fixture->daemon.process.pid);
  GDir *directory = g_dir_open (path, 0, NULL);
  assert_non_null (directory);
  int n = 0;
  while (g_dir_read_name (directory))
    n++;
  g_dir_close (directory);
  g_free (path);
  return n;
}

static void
withstand (void **state, const char *what, const crowd_kind_t *kind)
{
  fixture_t *fixture = *state;
  crowd_t *crowd = g_new (crowd_t, 1);
  crowd_start (crowd, kind,
               kind->to_operators ? fixture->daemon.operators
                                  : fixture->daemon.process.address);
  for (int i = 0; i < SENDING_S * 10 && atomic_load (&crowd->busy); i++)
    run_for (fixture->loop, 0.1);
  run_for (fixture->loop, 1);
  int fds = open_fds (fixture);
  bool served = serves (fixture);
  /* A failed assertion must not leave the thread running.  */
  crowd_stop (crowd);
  g_free (crowd);
  int mb = peak_mb (fixture);
  print_message ("%s: at most %d MB, %d descriptors, served %d\n", what, mb,
                 fds, served);
  assert_int_equal (kill (fixture->daemon.process.pid, 0), 0);
  assert_true (served);
  assert_true (fds < FDS);
  assert_true (mb < MEMORY_MB || IS_SANITIZED);
  assert_true (metric (fixture, "\nkwf_intake_peak_bytes ") <= ACCOUNT_BYTES);
}

/* Guards against memory for announced bodies that may never be served.  */
static void
bodies_announced_over_the_limit (void **state)
{
  withstand (state, "announced over the limit",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .head = HEAD ("/sound/x") "Content-Length: "
                                                        "104857600\r\n",
                              .unit = X256,
                              .size = (size_t)20 * BODY_BYTES,
                              .piece = 65536 });
}

/* The same for bodies whose size is not announced.  */
static void
bodies_sent_over_the_limit (void **state)
{
  withstand (state, "just sent over the limit",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .head = CHUNKED,
                              .unit = "100\r\n" X256 "\r\n",
                              .size = (size_t)20 * BODY_BYTES,
                              .piece = 65536 });
}

static const crowd_kind_t large
    = { .n_callers = CALLERS,
        .head = HEAD ("/sound/x") "Content-Length: 1048576\r\n",
        .unit = X256,
        .size = BODY_BYTES - 1,
        .piece = BODY_BYTES,
        .end = "x" };

/* Guards against memory that grows with the number of large bodies: all that
   arrived, and most wait for their last byte.  */
static void
large_bodies (void **state)
{
  withstand (state, "whole bodies", &large);
}

/* The same for bodies that arrive in small pieces, all at the same time.  */
static void
bodies_in_pieces (void **state)
{
  crowd_kind_t kind = large;
  kind.piece = 4096;
  withstand (state, "bodies piece by piece", &kind);
}

/* The same for chunked bodies, whose size is not known before.  */
static void
large_chunks (void **state)
{
  char *bytes = g_strnfill (CHUNK_BYTES, 'x');
  char *chunk = g_strdup_printf ("%x\r\n%s\r\n", CHUNK_BYTES, bytes);
  withstand (
      state, "large chunks",
      &(crowd_kind_t){ .n_callers = CALLERS,
                       .head = CHUNKED,
                       .unit = chunk,
                       .size = BODY_BYTES / CHUNK_BYTES * strlen (chunk),
                       .piece = 65536,
                       .end = "0\r\n\r\n" });
  g_free (chunk);
  g_free (bytes);
}

/* The same for chunks that are hardly larger than their own lengths.  */
static void
small_chunks (void **state)
{
  withstand (state, "small chunks",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .head = CHUNKED,
                              .unit = "8\r\nxxxxxxxx\r\n",
                              .size = SMALL_CHUNKS_BYTES,
                              .piece = 65536,
                              .end = "0\r\n\r\n" });
}

/* Guards against memory that grows with the answers that callers do not
   read.  */
static void
slow_readers (void **state)
{
  withstand (state, "readers of single bytes",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .head = HEAD ("/sound/long") "Content-Length: "
                                                           "0\r\n",
                              .unit = "",
                              .reads_bytes = true });
}

/* The same for streams, whose events go on while nothing is read.  */
static void
slow_readers_of_streams (void **state)
{
  withstand (state, "streams read in single bytes",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .head = HEAD ("/stream/x") "Content-Length: "
                                                         "0\r\n",
                              .unit = "",
                              .reads_bytes = true });
}

/* Guards against memory that grows with heads that do not end, and with
   requests that follow one another while no answer is read.  */
static void
heads (void **state)
{
  char *head = g_strnfill (HEAD_BYTES, 'x');
  memcpy (head, unfinished, sizeof unfinished - 1);
  withstand (state, "heads without an end",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .unit = head,
                              .size = HEAD_BYTES,
                              .piece = 4096 });
  g_free (head);
  withstand (state, "pipelined requests",
             &(crowd_kind_t){ .n_callers = CALLERS,
                              .unit = "GET /none HTTP/1.1\r\nHost: h.example"
                                      "\r\nX-Request-Id: p\r\n\r\n",
                              .size = BODY_BYTES,
                              .piece = 65536 });
}

/* Guards against another port whose callers are not in the account.  */
static void
operators_port (void **state)
{
  withstand (state, "the port for operators",
             &(crowd_kind_t){ .n_callers = CALLERS / 4,
                              .head = CHUNKED,
                              .unit = "100\r\n" X256 "\r\n",
                              .size = BODY_BYTES,
                              .piece = 65536,
                              .to_operators = true });
}

/* Guards against what requests leave behind whose callers close.  */
static void
cancelled_requests (void **state)
{
  static const crowd_kind_t kind
      = { .n_callers = CALLERS,
          .head = HEAD ("/sound/never") "Content-Length: 16384\r\n",
          .unit = X256,
          .size = 16384,
          .piece = 16384 };
  fixture_t *fixture = *state;
  crowd_t *crowd = g_new (crowd_t, 1);
  for (int i = 0; i < 5; i++)
    {
      crowd_start (crowd, &kind, fixture->daemon.process.address);
      run_for (fixture->loop, 1);
      crowd_stop (crowd);
    }
  g_free (crowd);
  withstand (state, "cancelled requests", &large);
  for (int i = 0; i < LIMIT_S * 10
                  && metric (fixture, "\nkwf_intake_bytes ") > ORDINARY_BYTES;
       i++)
    run_for (fixture->loop, 0.1);
  assert_true (metric (fixture, "\nkwf_intake_bytes ") <= ORDINARY_BYTES);
}

static char *
write_file (const char *directory, const char *name, char *text)
{
  char *path = g_build_filename (directory, name, NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (text);
  return path;
}

/* Guards against TLS handshakes that are left open and whose connections are
   never closed: libmicrohttpd does not free them after its time-out.  */
static void
open_handshakes (void **state)
{
  (void)state;
  char *directory = g_dir_make_tmp ("kwf-intake-XXXXXX", NULL);
  char *certificate;
  char *key;
  assert_true (certificate_make (&certificate, &key));
  certificate = write_file (directory, "c.pem", certificate);
  key = write_file (directory, "k.pem", key);
  char *more = g_strdup_printf ("idle_ms = 1000\ntls_certificate = \"%s\"\n"
                                "tls_key = \"%s\"\n",
                                certificate, key);
  fixture_t *fixture = start (MEMORY_MB, BODY_BYTES, more);
  int before = open_fds (fixture);
  crowd_t *crowd = g_new (crowd_t, 1);
  crowd_start (crowd,
               &(crowd_kind_t){ .n_callers = CALLERS,
                                .unit = "\x16\x03\x01",
                                .size = 3,
                                .piece = 3 },
               fixture->daemon.process.address);
  run_for (fixture->loop, 0.5);
  int most = open_fds (fixture);
  int now = most;
  for (int i = 0; i < LIMIT_S * 10 && now > before + FEW_FDS; i++)
    {
      run_for (fixture->loop, 0.1);
      now = open_fds (fixture);
    }
  crowd_stop (crowd);
  g_free (crowd);
  print_message ("handshakes: %d, then %d descriptors\n", most, now);
  assert_true (most < FDS && now <= before + FEW_FDS);
  assert_true (peak_mb (fixture) < MEMORY_MB || IS_SANITIZED);
  char *url = g_strconcat ("https://", fixture->daemon.process.address, NULL);
  static const char *const headers[] = { "X-Request-Id: t", NULL };
  http_answer_t answer = http_call ("GET", url, "/none", headers, NULL, 5000);
  assert_true (answer.status > 0);
  http_free (&answer);
  tear_down ((void **)&fixture);
  g_unlink (certificate);
  g_unlink (key);
  g_rmdir (directory);
  g_free (url);
  g_free (more);
  g_free (key);
  g_free (certificate);
  g_free (directory);
}

/* Guards against an account that has no room for one body at the limit, and
   against one that is not returned.  */
static void
body_at_the_limit (void **state)
{
  fixture_t *fixture = *state;
  char *body = g_strnfill (SMALL_BODY_BYTES, 'x');
  char *request
      = g_strdup_printf (HEAD ("/sound/x") "X-Request-Id: l\r\n"
                                           "Content-Length: %d\r\n\r\n%s",
                         SMALL_BODY_BYTES, body);
  for (int i = 0; i < 20; i++)
    {
      raw_answer_t answer;
      raw_call (fixture->loop, fixture->daemon.process.address, request,
                "\r\n\r\n", LIMIT_S, &answer);
      assert_int_equal (raw_answer_status (&answer), 200);
      raw_answer_clear (&answer);
    }
  g_free (request);
  g_free (body);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (bodies_announced_over_the_limit, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (bodies_sent_over_the_limit, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (large_bodies, set_up, tear_down),
    cmocka_unit_test_setup_teardown (bodies_in_pieces, set_up, tear_down),
    cmocka_unit_test_setup_teardown (large_chunks, set_up, tear_down),
    cmocka_unit_test_setup_teardown (small_chunks, set_up, tear_down),
    cmocka_unit_test_setup_teardown (slow_readers, set_up, tear_down),
    cmocka_unit_test_setup_teardown (slow_readers_of_streams, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (heads, set_up, tear_down),
    cmocka_unit_test_setup_teardown (operators_port, set_up, tear_down),
    cmocka_unit_test_setup_teardown (cancelled_requests, set_up, tear_down),
    cmocka_unit_test (open_handshakes),
    cmocka_unit_test_setup_teardown (body_at_the_limit, set_up_small,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
