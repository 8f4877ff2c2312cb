/* HTTP server: kept connections, limits, streams, callers that close
   early.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <stdio.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "test/common-certificate.h"
#include "test/common-http.h"
#include "test/common-process.h"
#include "test/common-server.h"

/* Guards against closing a connection after each answer, and against an answer
   that has parts of the previous one.  */
static void
connection_serves_several_requests (void **state)
{
  test_server_t *fixture = *state;
  int fd
      = test_server_open (fixture, "GET /a%20b?x=%31 HTTP/1.1\r\nHost: h\r\n"
                                   "X-Echo: one\r\n\r\n");
  char *text = test_server_read (fd, "x=%31 ");
  assert_non_null (strstr (text, "HTTP/1.1 200"));
  assert_non_null (strstr (text, "X-Echo: one"));
  assert_non_null (strstr (text, "GET /a b /a%20b x=%31 "));
  g_free (text);
  const char *second = "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                       "\r\nbody";
  assert_int_equal (send (fd, second, strlen (second), 0), strlen (second));
  text = test_server_read (fd, "body");
  assert_non_null (strstr (text, "POST /c /c  body"));
  assert_null (strstr (text, "X-Echo"));
  g_free (text);
  close (fd);
}

/* Guards against an answer that does not reach a suspended connection because
   it is given later, in the handler of another request.  */
static void
held_request_is_answered_by_another (void **state)
{
  test_server_t *fixture = *state;
  int fd = test_server_open (fixture, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  test_server_wait (&fixture->n_requests, 1);
  http_answer_t answer
      = http_call ("GET", fixture->address, "/release", NULL, NULL, 5000);
  assert_string_equal (answer.body, "done");
  http_free (&answer);
  char *text = test_server_read (fd, "held");
  assert_non_null (strstr (text, "held"));
  g_free (text);
  close (fd);
}

/* Guards against unlimited memory for a body, with or without a
   Content-Length.  */
static void
large_body_is_refused (void **state)
{
  test_server_t *fixture = *state;
  static const size_t sizes[] = { 100001, 150000, 1000000 };
  const char *chunked[] = { "Transfer-Encoding: chunked", NULL };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      char *body = g_strnfill (sizes[i], 'b');
      http_answer_t answer
          = http_call ("POST", fixture->address, "/", NULL, body, 5000);
      assert_int_equal (answer.status, 413);
      assert_non_null (strstr (answer.body, "body_too_large"));
      http_free (&answer);
      g_free (body);
    }
  char *body = g_strnfill (150000, 'b');
  http_answer_t answer
      = http_call ("POST", fixture->address, "/", chunked, body, 5000);
  assert_int_equal (answer.status, 413);
  http_free (&answer);
  body[100000] = '\0';
  answer = http_call ("POST", fixture->address, "/", chunked, body, 5000);
  assert_int_equal (answer.status, 200);
  assert_int_equal (answer.size, 100000 + strlen ("POST / /  "));
  http_free (&answer);
  g_free (body);
  assert_int_equal (atomic_load (&fixture->n_requests), 1);
}

/* Guards against headers of unlimited size.  */
static void
large_headers_are_refused (void **state)
{
  test_server_t *fixture = *state;
  char *value = g_strnfill (40000, 'h');
  char *header = g_strdup_printf ("X-Large: %s", value);
  const char *headers[] = { header, NULL };
  http_answer_t answer
      = http_call ("GET", fixture->address, "/", headers, NULL, 5000);
  assert_int_not_equal (answer.status, 200);
  assert_int_equal (atomic_load (&fixture->n_requests), 0);
  http_free (&answer);
  g_free (header);
  g_free (value);
}

/* Guards against lost, repeated or reordered parts of a stream.  */
static void
stream_arrives_whole_and_in_order (void **state)
{
  test_server_t *fixture = *state;
  http_answer_t answer
      = http_call ("GET", fixture->address, "/numbers", NULL, NULL, 10000);
  assert_true (answer.complete);
  GString *expected = g_string_new (NULL);
  for (int i = 0; i < N_NUMBERS; i++)
    g_string_append_printf (expected, "%d\n", i);
  assert_string_equal (answer.body, expected->str);
  g_string_free (expected, TRUE);
  http_free (&answer);
}

/* Guards against a system call for each small write.  */
static void
writes_of_one_iteration_are_one_chunk (void **state)
{
  test_server_t *fixture = *state;
  int fd
      = test_server_open (fixture, "GET /batch HTTP/1.1\r\nHost: h\r\n\r\n");
  char *text = test_server_read (fd, "\r\n0\r\n\r\n");
  assert_non_null (strstr (text, "\r\n\r\n64\r\nxxxx"));
  g_free (text);
  close (fd);
}

/* Guards against headers that are held back until the first part of the
   body.  */
static void
headers_are_sent_before_the_first_write (void **state)
{
  test_server_t *fixture = *state;
  int fd = test_server_open (fixture, "GET /open HTTP/1.1\r\nHost: h\r\n\r\n");
  struct pollfd ready = { .fd = fd, .events = POLLIN };
  assert_int_equal (poll (&ready, 1, 100), 1);
  char *text = test_server_read (fd, "\r\n\r\n");
  assert_non_null (strstr (text, "HTTP/1.1 200"));
  g_free (text);
  close (fd);
}

/* Guards against a closed caller that is not reported to the handler, or is
   reported twice: before the answer, and in a stream.  */
static void
gone_caller_is_reported_once (void **state)
{
  test_server_t *fixture = *state;
  int fd = test_server_open (fixture, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  test_server_wait (&fixture->n_requests, 1);
  close (fd);
  test_server_wait (&fixture->n_gone, 1);
  fd = test_server_open (fixture, "GET /open HTTP/1.1\r\nHost: h\r\n\r\n");
  g_free (test_server_read (fd, "\r\n\r\n"));
  close (fd);
  test_server_wait (&fixture->n_gone, 2);
  http_answer_t answer
      = http_call ("GET", fixture->address, "/", NULL, NULL, 5000);
  assert_int_equal (answer.status, 200);
  http_free (&answer);
  pause_ms (100);
  assert_int_equal (atomic_load (&fixture->n_gone), 2);
}

/* Guards against unlimited memory for streams to callers that do not read.  */
static void
slow_reader_is_cut_off (void **state)
{
  test_server_t *fixture = *state;
  int fd
      = test_server_open (fixture, "GET /flood HTTP/1.1\r\nHost: h\r\n\r\n");
  test_server_wait (&fixture->n_gone, 1);
  /* At least the limit; at most the limit and the kernel's buffers.  */
  assert_in_range (atomic_load (&fixture->flooded_bytes), 1 << 20, 24 << 20);
  char *text = test_server_read (fd, NULL);
  assert_null (strstr (text, "\r\n0\r\n\r\n"));
  g_free (text);
  close (fd);
}

/* Guards against an incomplete answer that looks complete.  */
static void
abort_is_seen_as_incomplete (void **state)
{
  test_server_t *fixture = *state;
  http_answer_t answer
      = http_call ("GET", fixture->address, "/abort", NULL, NULL, 5000);
  assert_int_equal (answer.status, 200);
  assert_false (answer.complete);
  assert_false (answer.timed_out);
  assert_string_equal (answer.body, "part");
  http_free (&answer);
}

/* Guards against running a request whose body is incomplete.  */
static void
body_cut_short_is_not_served (void **state)
{
  test_server_t *fixture = *state;
  int fd = test_server_open (fixture,
                             "POST / HTTP/1.1\r\nHost: h\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n5\r\nab");
  shutdown (fd, SHUT_WR);
  g_free (test_server_read (fd, NULL));
  close (fd);
  fd = test_server_open (fixture, "POST / HTTP/1.1\r\nHost: h\r\n"
                                  "Content-Length: 9\r\n\r\nab");
  shutdown (fd, SHUT_WR);
  g_free (test_server_read (fd, NULL));
  close (fd);
  assert_int_equal (atomic_load (&fixture->n_requests), 0);
  assert_int_equal (atomic_load (&fixture->n_gone), 0);
}

/* Guards against connections that callers hold by sending a byte now and then,
   in the headers or in the body.  */
static void
slow_sender_is_cut_off (void **state)
{
  test_server_t *fixture = *state;
  static const char *const starts[] = {
    "GET / HTTP/1.1\r\nX-Slow: ",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (starts); i++)
    {
      int fd = test_server_open (fixture, starts[i]);
      int n = 0;
      while (n < 100 && send (fd, "s", 1, MSG_NOSIGNAL) == 1)
        {
          pause_ms (100);
          n++;
        }
      assert_in_range (n, 10, 40);
      close (fd);
    }
  assert_int_equal (atomic_load (&fixture->n_requests), 0);
}

/* Guards against waiting requests that use 20 % of a processor or more, and
   against a crash when the server is stopped with requests still open.  */
static void
waiting_requests_cost_nothing (void **state)
{
  test_server_t *fixture = *state;
  int sockets[200];
  for (size_t i = 0; i < G_N_ELEMENTS (sockets); i++)
    sockets[i] = test_server_open (
        fixture, i % 2 ? "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
                       : "GET /open HTTP/1.1\r\nHost: h\r\n\r\n"
                         "GET /next HTTP/1.1\r\n");
  test_server_wait (&fixture->n_requests, G_N_ELEMENTS (sockets));
  clock_t start = clock ();
  pause_ms (1500);
  double used_s = (double)(clock () - start) / CLOCKS_PER_SEC;
  assert_true (used_s < 0.3);
  assert_int_equal (atomic_load (&fixture->n_gone), 0);
  ev_async_send (fixture->loop, &fixture->stop);
  pause_ms (100);
  for (size_t i = 0; i < G_N_ELEMENTS (sockets); i++)
    close (sockets[i]);
}

/* Guards against a quiesced server that accepts new connections or drops the
   requests that it has.  */
static void
quiesced_server_finishes_its_requests (void **state)
{
  test_server_t *fixture = *state;
  int fd = test_server_open (fixture, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  test_server_wait (&fixture->n_requests, 1);
  int other = test_server_open (fixture, "");
  pause_ms (50);
  ev_async_send (fixture->loop, &fixture->quiesce);
  pause_ms (50);
  http_answer_t answer
      = http_call ("GET", fixture->address, "/", NULL, NULL, 500);
  assert_int_equal (answer.status, 0);
  http_free (&answer);
  const char *release = "GET /release HTTP/1.1\r\nHost: h\r\n\r\n";
  assert_int_equal (send (other, release, strlen (release), 0),
                    strlen (release));
  char *text = test_server_read (fd, NULL);
  assert_non_null (strstr (text, "held"));
  assert_non_null (strcasestr (text, "Connection: close"));
  g_free (text);
  close (fd);
  close (other);
}

/* Guards against connections that stay open because their end arrived together
   with their last bytes.  */
static void
end_with_the_last_bytes_is_seen (void **state)
{
  test_server_t *fixture = *state;
  static const char *const texts[] = {
    "",
    "GET / HT",
    "GET / HTTP/1.1\r\nHo",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nab",
    "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET",
    "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n",
  };
  int sockets[G_N_ELEMENTS (texts)];
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    sockets[i] = test_server_open (fixture, "");
  pause_ms (50);
  int busy
      = test_server_open (fixture, "GET /busy HTTP/1.1\r\nHost: h\r\n\r\n");
  test_server_wait (&fixture->n_requests, 1);
  gint64 start_us = g_get_monotonic_time ();
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      send (sockets[i], texts[i], strlen (texts[i]), MSG_NOSIGNAL);
      shutdown (sockets[i], SHUT_WR);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_free (test_server_read (sockets[i], NULL));
      close (sockets[i]);
    }
  assert_true (g_get_monotonic_time () - start_us < 2000000);
  close (busy);
}

/* Guards against incomplete answers over TLS, and against serving callers
   without TLS.  */
static void
tls_carries_all_forms (void **state)
{
  test_server_t *fixture = *state;
  char *secure = g_strdup_printf ("https://%s", fixture->address);
  http_answer_t answer = http_call ("POST", secure, "/a", NULL, "b", 5000);
  assert_string_equal (answer.error, "No error");
  assert_string_equal (answer.body, "POST /a /a  b");
  http_free (&answer);
  answer = http_call ("GET", secure, "/numbers", NULL, NULL, 10000);
  assert_string_equal (answer.error, "No error");
  assert_non_null (strstr (answer.body, "4998\n4999\n"));
  http_free (&answer);
  answer = http_call ("GET", secure, "/hold", NULL, NULL, 1500);
  assert_true (answer.timed_out);
  http_free (&answer);
  test_server_wait (&fixture->n_gone, 1);
  answer = http_call ("GET", fixture->address, "/", NULL, NULL, 2000);
  assert_int_equal (answer.status, 0);
  http_free (&answer);
  g_free (secure);
}

/* Whether the server's certificate is the one in PEM.  */
static bool
is_trusted (const char *secure, const char *pem)
{
  char *file = NULL;
  close (g_file_open_tmp (NULL, &file, NULL));
  assert_true (g_file_set_contents (file, pem, -1, NULL));
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, secure);
  curl_easy_setopt (curl, CURLOPT_CAINFO, file);
  curl_easy_setopt (curl, CURLOPT_NOBODY, 1L);
  CURLcode code = curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  g_unlink (file);
  g_free (file);
  return code == CURLE_OK;
}

static void *
call_hold (void *data)
{
  http_answer_t *answer = data;
  *answer = http_call ("GET", answer->headers, "/hold", NULL, NULL, 10000);
  return NULL;
}

static bool
replace (const char *secure, const char *certificate, const char *key)
{
  char *body = g_strjoin ("|", certificate, key, NULL);
  http_answer_t answer
      = http_call ("POST", secure, "/certificate", NULL, body, 5000);
  assert_true (answer.complete);
  bool good = strcmp (answer.body, "replaced") == 0;
  http_free (&answer);
  g_free (body);
  return good;
}

/* Guards against a change of the certificate that needs a restart, closes a
   connection with a request, or accepts a key of another certificate.  */
static void
certificate_is_replaced (void **state)
{
  test_server_t *fixture = *state;
  char *secure = g_strdup_printf ("https://%s", fixture->address);
  char *certificates[2];
  char *keys[2];
  http_answer_t held = { .headers = secure };
  pthread_t caller;
  pthread_create (&caller, NULL, call_hold, &held);
  test_server_wait (&fixture->n_requests, 1);
  for (int i = 0; i < 2; i++)
    assert_true (certificate_make (&certificates[i], &keys[i]));
  for (int i = 0; i < 2; i++)
    {
      assert_false (replace (secure, certificates[i], keys[!i]));
      assert_false (is_trusted (secure, certificates[i]));
      assert_true (replace (secure, certificates[i], keys[i]));
      assert_true (is_trusted (secure, certificates[i]));
      assert_false (is_trusted (secure, certificates[!i]));
    }
  http_answer_t answer
      = http_call ("GET", secure, "/release", NULL, NULL, 5000);
  http_free (&answer);
  pthread_join (caller, NULL);
  assert_string_equal (held.body, "held");
  http_free (&held);
  for (int i = 0; i < 2; i++)
    {
      g_free (certificates[i]);
      g_free (keys[i]);
    }
  g_free (secure);
}

/* Guards against connections that stay open after their last answer until
   another event wakes the server.  */
static void
ended_connections_close_at_once (void **state)
{
  test_server_t *fixture = *state;
  static const char *const requests[] = {
    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    "GET / HTTP/1.0\r\n\r\n",
    "GET /batch HTTP/1.0\r\n\r\n",
    "GET /abort HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /abort-later HTTP/1.1\r\nHost: h\r\n\r\n",
    "GET /abort-first HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n",
    "nonsense\r\n\r\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      gint64 start_us = g_get_monotonic_time ();
      int fd = test_server_open (fixture, requests[i]);
      g_free (test_server_read (fd, NULL));
      close (fd);
      assert_true (g_get_monotonic_time () - start_us < 500000);
    }
}

/* Guards against a failed start without a cause in ERROR.  */
static void
bad_addresses_are_refused (void **state)
{
  test_server_t *fixture = *state;
  static const server_handler_t handler = { 0 };
  const char *const addresses[]
      = { "127.0.0.1", "nowhere:80", ":", fixture->address };
  struct ev_loop *loop = ev_loop_new (0);
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      server_options_t options = { .address = addresses[i] };
      kwf_error_t error = { 0 };
      assert_null (server_start (loop, &options, &handler, NULL, &error));
      assert_string_equal (error.step, "listen");
      assert_string_equal (error.peer, addresses[i]);
    }
  ev_loop_destroy (loop);
}

#define TEST(function)                                                        \
  cmocka_unit_test_setup_teardown (function, test_server_set_up,              \
                                   test_server_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (connection_serves_several_requests),
    TEST (held_request_is_answered_by_another),
    TEST (large_body_is_refused),
    TEST (large_headers_are_refused),
    TEST (stream_arrives_whole_and_in_order),
    TEST (writes_of_one_iteration_are_one_chunk),
    TEST (headers_are_sent_before_the_first_write),
    TEST (gone_caller_is_reported_once),
    TEST (slow_reader_is_cut_off),
    TEST (abort_is_seen_as_incomplete),
    TEST (body_cut_short_is_not_served),
    TEST (slow_sender_is_cut_off),
    TEST (waiting_requests_cost_nothing),
    TEST (quiesced_server_finishes_its_requests),
    cmocka_unit_test_setup_teardown (ended_connections_close_at_once,
                                     test_server_set_up_patient,
                                     test_server_tear_down),
    cmocka_unit_test_setup_teardown (end_with_the_last_bytes_is_seen,
                                     test_server_set_up_patient,
                                     test_server_tear_down),
    cmocka_unit_test_setup_teardown (
        tls_carries_all_forms, test_server_set_up_tls, test_server_tear_down),
    cmocka_unit_test_setup_teardown (certificate_is_replaced,
                                     test_server_set_up_tls,
                                     test_server_tear_down),
    TEST (bad_addresses_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
