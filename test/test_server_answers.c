/* HTTP server: one answer for each request, wherever its body ends.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "test/common-http.h"
#include "test/common-server.h"

static int
count (const char *text, const char *part)
{
  int n = 0;
  for (; (text = strstr (text, part)); text += strlen (part))
    n++;
  return n;
}

/* Guards against two answers to one request, which the caller takes for the
   answer to its next one.  */
static void
second_answer_is_not_sent (void **state)
{
  test_server_t *fixture = *state;
  static const char next[]
      = "POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
  int fd = test_server_open (fixture, "GET /twice HTTP/1.1\r\nHost: h\r\n"
                                      "\r\n");
  char *text = test_server_read (fd, "first");
  assert_int_equal (count (text, "HTTP/1.1 "), 1);
  g_free (text);
  assert_int_equal (send (fd, next, strlen (next), 0), strlen (next));
  text = test_server_read (fd, "body");
  assert_int_equal (count (text, "HTTP/1.1 "), 1);
  assert_non_null (strstr (text, "POST /next"));
  g_free (text);
  close (fd);
}

/* Guards against a caller who waits for the end of an answer that nobody ends,
   because another one was given after its begin.  */
static void
whole_answer_after_a_begin_breaks_it_off (void **state)
{
  test_server_t *fixture = *state;
  http_answer_t answer
      = http_call ("GET", fixture->address, "/mixed", NULL, NULL, 5000);
  assert_int_equal (answer.status, 200);
  assert_false (answer.complete);
  assert_false (answer.timed_out);
  assert_string_equal (answer.body, "part");
  http_free (&answer);
}

/* Guards against a stream that looks complete to a caller of HTTP/1.0 that was
   cut off because it read too slowly.  */
static void
slow_reader_without_chunks_sees_the_cut (void **state)
{
  test_server_t *fixture = *state;
  char buffer[65536];
  ssize_t n;
  int fd
      = test_server_open (fixture, "GET /flood HTTP/1.0\r\nHost: h\r\n\r\n");
  test_server_wait (&fixture->n_gone, 1);
  do
    n = recv (fd, buffer, sizeof buffer, 0);
  while (n > 0);
  assert_int_equal (n, -1);
  close (fd);
}

/* The bytes of the answer to GET /parts?SIZES by HTTP VERSION, with its head;
   -1: it was not ended regularly.  */
static ssize_t
read_parts (const test_server_t *fixture, const char *sizes,
            const char *version)
{
  char buffer[65536];
  ssize_t n;
  GString *all = g_string_new (NULL);
  char *request = g_strdup_printf ("GET /parts?%s HTTP/%s\r\nHost: h\r\n"
                                   "Connection: close\r\n\r\n",
                                   sizes, version);
  int fd = test_server_open (fixture, request);
  while ((n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (all, buffer, n);
  if (n == 0 && strcmp (version, "1.1") == 0
      && !g_str_has_suffix (all->str, "\r\n0\r\n\r\n"))
    n = -1;
  if (n == 0)
    n = (ssize_t)all->len;
  close (fd);
  g_free (request);
  g_string_free (all, TRUE);
  return n;
}

/* Guards against a stream that looks complete to a caller who reads, when more
   is written at once than may be unread.  */
static void
excess_bytes_are_no_regular_end (void **state)
{
  static const char *const sizes[] = {
    "800000,800000",
    "1,1500000,1500000",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      assert_int_equal (read_parts (*state, sizes[i], "1.0"), -1);
      assert_int_equal (read_parts (*state, sizes[i], "1.1"), -1);
    }
}

/* Guards against a stream that is broken off for a caller who reads, because
   one part of it is larger than what may be unread.  */
static void
large_part_does_not_break_a_stream (void **state)
{
  assert_in_range (read_parts (*state, "1,1500000,1", "1.0"), 1500002,
                   1501000);
  assert_in_range (read_parts (*state, "1,1500000,1", "1.1"), 1500002,
                   1510000);
}

/* Guards against a body that is read as a request, after a refusal that was
   sent before the body.  */
static void
body_after_a_refusal_is_no_request (void **state)
{
  test_server_t *fixture = *state;
  static const char hidden[] = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  static const char *const heads[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 150000\r\n"
    "Expect: 100-continue\r\n\r\n",
    "POST /a%00 HTTP/1.1\r\nHost: h\r\nContent-Length: 37\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nHost: g\r\nContent-Length: 37\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 37\r\n"
    "Transfer-Encoding: chunked\r\n\r\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *sent = g_strconcat (heads[i], hidden, hidden, NULL);
      int fd = test_server_open (fixture, sent);
      char *text = test_server_read (fd, NULL);
      if (count (text, "HTTP/1.1 ") != 1 || strstr (text, " 200 "))
        fail_msg ("head %zu: %s", i, text);
      assert_int_equal (atomic_load (&fixture->n_requests), 0);
      g_free (text);
      g_free (sent);
      close (fd);
    }
}

#define TEST(name)                                                            \
  cmocka_unit_test_setup_teardown (name, test_server_set_up,                  \
                                   test_server_tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (second_answer_is_not_sent),
    TEST (whole_answer_after_a_begin_breaks_it_off),
    TEST (slow_reader_without_chunks_sees_the_cut),
    TEST (excess_bytes_are_no_regular_end),
    TEST (large_part_does_not_break_a_stream),
    TEST (body_after_a_refusal_is_no_request),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
