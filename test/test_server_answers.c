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
    TEST (body_after_a_refusal_is_no_request),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
