/* HTTP client: requests that must not be sent twice on kept connections.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "common-listener.h"
#include "net/client.h"

typedef struct
{
  struct ev_loop *loop;
  client_t *client;
  listener_t *listener;
  const char *keep_alive; /* header of the answers */
  bool new_connection;    /* for the next request */
  bool ends;              /* the server closes instead of an answer */
  int ended;
  kwf_failure_t failure;
  bool answered; /* the last request */
  int64_t kept_ns;
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  (void)request;
  const fixture_t *fixture = data;
  if (fixture->ends)
    connection_close (connection);
  else
    connection_print (connection,
                      "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
                      fixture->keep_alive);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  fixture_t *fixture = data;
  fixture->ended++;
  fixture->answered = true;
  fixture->kept_ns = answer->kept_ns;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)error;
  fixture_t *fixture = data;
  fixture->ended++;
  fixture->answered = false;
  fixture->failure = failure;
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, NULL);
  fixture->listener = listener_start (fixture->loop, serve, fixture);
  fixture->keep_alive = "";
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  client_free (fixture->client);
  listener_stop (fixture->listener);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

static void
send_one (fixture_t *fixture)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  client_start (fixture->client,
                &(client_request_t){ .method = "POST",
                                     .address = fixture->listener->address,
                                     .target = "/",
                                     .body = "run",
                                     .body_size = 3,
                                     .new_connection = fixture->new_connection,
                                     .recent_connection = true },
                &handler, fixture);
  int wanted = fixture->ended + 1;
  assert_true (run_until (fixture->loop, &fixture->ended, wanted, 5.0));
}

/* Guards against a second run of a request whose kept connection ends before
   the first byte of an answer: its outcome is not known.  */
static void
cut_request_arrives_once (void **state)
{
  fixture_t *fixture = *state;
  send_one (fixture);
  fixture->ends = true;
  send_one (fixture);
  run_for (fixture->loop, 0.05);
  assert_int_equal (fixture->failure, KWF_FAIL_BROKEN);
  assert_int_equal (fixture->listener->accepted, 1);
  assert_int_equal (fixture->listener->requests, 2);
}

/* Guards against a new connection for each request, and against the use of a
   connection that the server may be closing.  */
static void
only_recent_connections_are_used (void **state)
{
  fixture_t *fixture = *state;
  send_one (fixture);
  send_one (fixture);
  assert_int_equal (fixture->listener->accepted, 1);
  run_for (fixture->loop, (double)CLIENT_IDLE_NS / KWF_NS_PER_S + 0.05);
  send_one (fixture);
  assert_int_equal (fixture->listener->accepted, 2);
  assert_true (fixture->answered);
}

/* Guards against a request that uses a new connection and still closes the
   idle ones, which requests that may be sent twice use for longer.  */
static void
new_connection_keeps_the_idle_ones (void **state)
{
  fixture_t *fixture = *state;
  send_one (fixture);
  run_for (fixture->loop, (double)CLIENT_IDLE_NS / KWF_NS_PER_S + 0.05);
  fixture->new_connection = true;
  send_one (fixture);
  run_for (fixture->loop, 0.05);
  assert_int_equal (fixture->listener->accepted, 2);
  assert_int_equal (fixture->listener->open->len, 2);
}

/* Guards against an idle time other than the one that the server names.  */
static void
named_idle_time_is_halved (void **state)
{
  static const struct
  {
    const char *keep_alive;
    int64_t kept_ms;
  } cases[] = { { "", 500 },
                { "Keep-Alive: timeout=4\r\n", 2000 },
                { "Keep-Alive: timeout=1, max=9\r\n", 500 },
                { "Keep-Alive: timeout=99999\r\n", 5000 },
                { "Keep-Alive: timeout=-3\r\n", 500 },
                { "Connection: close\r\n", 0 } };
  fixture_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture->keep_alive = cases[i].keep_alive;
      send_one (fixture);
      assert_int_equal (fixture->kept_ns / KWF_NS_PER_MS, cases[i].kept_ms);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (cut_request_arrives_once, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (only_recent_connections_are_used, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (new_connection_keeps_the_idle_ones,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (named_idle_time_is_halved, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
