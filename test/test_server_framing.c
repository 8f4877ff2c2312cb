/* Requests that two HTTP implementations could read differently, in their end
   or their headers, are refused and their connection is closed, so that no
   bytes after them are taken for a request.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <unistd.h>

#include "common-server.h"

#define HIDDEN "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"

/* A message to be sent.  */
typedef struct
{
  const char *name;
  const char *text;
} message_t;

static const message_t ambiguous[] = {
  { "length beside chunks",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HIDDEN },
  { "two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                   "Content-Length: 30\r\n\r\n" HIDDEN },
  { "two equal lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                         "Content-Length: 0\r\n\r\n" HIDDEN },
  { "list of lengths", "POST /a HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 0, 0\r\n\r\n" HIDDEN },
  { "signed length", "POST /a HTTP/1.1\r\nHost: h\r\n"
                     "Content-Length: +0\r\n\r\n" HIDDEN },
  { "other coding", "POST /a HTTP/1.1\r\nHost: h\r\n"
                    "Transfer-Encoding: xchunked\r\n\r\n" HIDDEN },
  { "two codings",
    "POST /a HTTP/1.1\r\nHost: h\r\n"
    "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" HIDDEN },
  { "coding twice", "POST /a HTTP/1.1\r\nHost: h\r\n"
                    "Transfer-Encoding: chunked\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HIDDEN },
  { "two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" HIDDEN },
  { "no host", "GET /a HTTP/1.1\r\nX: y\r\n\r\n" HIDDEN },
  { "space before the colon",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 33\r\n\r\n" HIDDEN },
  { "space in a name", "GET /a HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n" HIDDEN },
  { "bad chunk size", "POST /a HTTP/1.1\r\nHost: h\r\n"
                      "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" HIDDEN },
};

static void
assert_refused (test_server_t *fixture, const message_t *message)
{
  int before = fixture->n_requests;
  int fd = test_server_open (fixture, message->text);
  char *answer = test_server_read (fd, NULL);
  if (fixture->n_requests != before)
    fail_msg ("%s: a request was taken", message->name);
  if (*answer && !g_str_has_prefix (answer, "HTTP/1.1 400"))
    fail_msg ("%s: answered with %.40s", message->name, answer);
  g_free (answer);
  close (fd);
}

/* Guards against request smuggling: a request that is hidden inside another
   one.  */
static void
ambiguous_messages_are_refused (void **state)
{
  test_server_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (ambiguous); i++)
    assert_refused (fixture, &ambiguous[i]);
}

/* Guards against refusing well-formed requests.  */
static void
proper_messages_are_served (void **state)
{
  test_server_t *fixture = *state;
  static const char *const texts[] = {
    "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    "Content-Length: 2\r\n\r\nab",
    "POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
    "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: a\r\nX: b\r\n\r\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      int fd = test_server_open (fixture, texts[i]);
      char *answer = test_server_read (fd, NULL);
      if (!g_str_has_prefix (answer, "HTTP/1.1 200"))
        fail_msg ("%s\nis answered with\n%s", texts[i], answer);
      g_free (answer);
      close (fd);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (ambiguous_messages_are_refused,
                                     test_server_set_up,
                                     test_server_tear_down),
    cmocka_unit_test_setup_teardown (
        proper_messages_are_served, test_server_set_up, test_server_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
