/* The daemon on the users' platform, as a process.  The test acts as the
   store, the backend servers and the callers, in the platform's protocol.  */

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <knapweedfork/clock.h>

#include "common-daemon.h"
#include "common-listener.h"
#include "net/client.h"

#define N_SERVERS 2
#define RETRY_SHARE 0.1
/* Daemons that a test may start beside the first one.  */
#define N_OTHERS 2
/* A process that has just started waits for another instance to poll for
   it.  */
#define START_S 3.2

typedef struct fixture fixture_t;

/* A backend server.  */
typedef struct
{
  fixture_t *fixture;
  listener_t *listener;
  bool is_leaving;   /* its answers say that it is leaving */
  const char *pause; /* Retry-After of the next answer, a 503; NULL: 200 */
  const char *limit; /* Server-Limit of its answers; NULL: none */
  GArray *arrivals;  /* of int64_t: when requests came, in ns */
  int n_requests;
  char last_id[40];
} backend_t;

struct fixture
{
  struct ev_loop *loop;
  client_t *client;
  fake_store_t *store;
  test_daemon_t daemon;
  test_daemon_t others[N_OTHERS];
  backend_t backends[N_SERVERS];
  int n_sent;
  int n_ended;
  int status; /* of the last answer; 0: none */
};

static void
serve (connection_t *connection, const char *request, void *data)
{
  backend_t *backend = data;
  const char *id = strcasestr (request, "\r\nx-request-id: ");
  g_strlcpy (backend->last_id, id ? id + 16 : "", sizeof backend->last_id);
  backend->last_id[strcspn (backend->last_id, "\r")] = '\0';
  backend->n_requests++;
  int64_t now_ns = kwf_now_ns (kwf_clock_system ());
  g_array_append_val (backend->arrivals, now_ns);
  const char *pause = backend->pause;
  backend->pause = NULL;
  connection_print (
      connection,
      "HTTP/1.1 %s\r\nContent-Length: 2\r\n"
      "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n%s%s%s%s%s%s%s"
      "\r\nok",
      pause ? "503 Service Unavailable" : "200 OK", backend->last_id,
      backend->is_leaving ? "Server-Leaving: 1\r\n" : "",
      pause ? "X-Not-Run: 1\r\nRetry-After: " : "", pause ? pause : "",
      pause ? "\r\n" : "", backend->limit ? "Server-Limit: " : "",
      backend->limit ? backend->limit : "", backend->limit ? "\r\n" : "");
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  fixture_t *fixture = data;
  fixture->n_ended++;
  fixture->status = answer->status;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)failure;
  (void)error;
  fixture_t *fixture = data;
  fixture->n_ended++;
  fixture->status = 0;
}

/* Calls PATH at DAEMON; returns the status.  */
static int
call_at (fixture_t *fixture, const process_t *daemon, const char *path)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  char id[24];
  g_snprintf (id, sizeof id, "%016x", ++fixture->n_sent);
  header_t headers[] = { { "Host", "h.example" },
                         { "X-Request-Id", id },
                         { "X-Deadline-Ms", "3000" } };
  client_start (fixture->client,
                &(client_request_t){ .method = "GET",
                                     .address = daemon->address,
                                     .target = path,
                                     .headers = headers,
                                     .n_headers = G_N_ELEMENTS (headers),
                                     .timeout_ns = 4 * KWF_NS_PER_S },
                &handler, fixture);
  assert_true (
      run_until (fixture->loop, &fixture->n_ended, fixture->n_sent, 5));
  return fixture->status;
}

static int
call (fixture_t *fixture, const char *path)
{
  return call_at (fixture, &fixture->daemon.process, path);
}

/* Writes the configuration, with or without a second route.  */
static void
put_config (fixture_t *fixture, bool second)
{
  static const char *const route
      = "{\"name\":\"%s\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s/\","
        "\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"
        "\"timeout_ms\":3000}";
  GString *routes = g_string_new (NULL);
  g_string_append_printf (routes, route, "r", "r");
  if (second)
    {
      g_string_append_c (routes, ',');
      g_string_append_printf (routes, route, "s", "s");
    }
  test_daemon_put_config (fixture->store, routes->str);
  g_string_free (routes, TRUE);
}

/* Writes the entry of server I, whose process started at BORN.  */
static void
put_server (fixture_t *fixture, int i, int64_t born)
{
  char name[8];
  g_snprintf (name, sizeof name, "d%d", i);
  test_daemon_put_server (fixture->store, name,
                          fixture->backends[i].listener->address, born);
}

static void
wait_for_daemon (fixture_t *fixture, const process_t *daemon)
{
  for (int i = 0; i < 100 && call_at (fixture, daemon, "/r/x") != 200; i++)
    run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->status, 200);
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, NULL);
  fixture->store = fake_store_start (fixture->loop);
  put_config (fixture, false);
  for (int i = 0; i < N_SERVERS; i++)
    {
      fixture->backends[i].fixture = fixture;
      fixture->backends[i].listener
          = listener_start (fixture->loop, serve, &fixture->backends[i]);
      fixture->backends[i].arrivals
          = g_array_new (FALSE, FALSE, sizeof (int64_t));
      put_server (fixture, i, 1);
    }
  test_daemon_start (&fixture->daemon, fixture->store, "i1", RETRY_SHARE);
  wait_for_daemon (fixture, &fixture->daemon.process);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  test_daemon_stop (&fixture->daemon);
  for (int i = 0; i < N_OTHERS; i++)
    test_daemon_stop (&fixture->others[i]);
  client_free (fixture->client);
  for (int i = 0; i < N_SERVERS; i++)
    {
      listener_stop (fixture->backends[i].listener);
      g_array_free (fixture->backends[i].arrivals, TRUE);
    }
  fake_store_stop (fixture->store);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

/* The server that gets the requests while all servers are idle.  */
static int
preferred_server (fixture_t *fixture)
{
  int before = fixture->backends[0].n_requests;
  assert_int_equal (call (fixture, "/r/x"), 200);
  return fixture->backends[0].n_requests > before ? 0 : 1;
}

/* How many of N requests reach server I.  */
static int
count (fixture_t *fixture, int i, int n)
{
  int before = fixture->backends[i].n_requests;
  for (int k = 0; k < n; k++)
    assert_int_equal (call (fixture, "/r/x"), 200);
  return fixture->backends[i].n_requests - before;
}

/* Guards against requests to a server that said in an answer that it is
   leaving, while its entry still says "ready", and against a new process at
   its address that gets none.  */
static void
server_that_says_it_leaves_gets_no_more (void **state)
{
  fixture_t *fixture = *state;
  int i = preferred_server (fixture);
  fixture->backends[i].is_leaving = true;
  assert_int_equal (count (fixture, i, 40), 1);
  put_server (fixture, i, 1);
  run_for (fixture->loop, 0.3);
  assert_int_equal (count (fixture, i, 20), 0);
  fixture->backends[i].is_leaving = false;
  put_server (fixture, i, 2);
  run_for (fixture->loop, START_S);
  assert_int_equal (preferred_server (fixture), i);
}

/* Guards against requests during the pause that a server asked for.  */
static void
server_that_asks_for_a_pause_gets_one (void **state)
{
  fixture_t *fixture = *state;
  int i = preferred_server (fixture);
  fixture->backends[i].pause = "1.5";
  assert_int_equal (count (fixture, i, 1), 1);
  int64_t began_ns = kwf_now_ns (kwf_clock_system ());
  while (kwf_now_ns (kwf_clock_system ()) - began_ns < KWF_NS_PER_S)
    assert_int_equal (count (fixture, i, 5), 0);
  run_for (fixture->loop, 1.0);
  assert_int_equal (preferred_server (fixture), i);
}

/* Guards against a leaving server that is used again while the store is
   silent, after this daemon reloaded its settings (SIGHUP), or after it was
   suspended (SIGSTOP) for a while.  */
static void
leaving_outlasts_the_store_and_signals (void **state)
{
  fixture_t *fixture = *state;
  int i = preferred_server (fixture);
  fixture->backends[i].is_leaving = true;
  assert_int_equal (count (fixture, i, 1), 1);
  fake_store_set_silent (fixture->store, true);
  for (int round = 0; round < 3; round++)
    {
      process_signal (&fixture->daemon.process, SIGHUP);
      assert_int_equal (count (fixture, i, 10), 0);
      process_signal (&fixture->daemon.process, SIGSTOP);
      run_for (fixture->loop, 0.4);
      process_signal (&fixture->daemon.process, SIGCONT);
      assert_int_equal (count (fixture, i, 10), 0);
    }
  fake_store_set_silent (fixture->store, false);
  put_server (fixture, i, 1);
  run_for (fixture->loop, 0.5);
  assert_int_equal (count (fixture, i, 10), 0);
}

/* Guards against a pause that starts anew, or ends early, when this daemon
   is suspended (SIGSTOP) meanwhile.  */
static void
pause_goes_on_while_the_process_stands_still (void **state)
{
  fixture_t *fixture = *state;
  int i = preferred_server (fixture);
  fixture->backends[i].pause = "2";
  assert_int_equal (count (fixture, i, 1), 1);
  process_signal (&fixture->daemon.process, SIGHUP);
  process_signal (&fixture->daemon.process, SIGSTOP);
  run_for (fixture->loop, 1.0);
  process_signal (&fixture->daemon.process, SIGCONT);
  assert_int_equal (count (fixture, i, 3), 0);
  process_signal (&fixture->daemon.process, SIGSTOP);
  run_for (fixture->loop, 1.2);
  process_signal (&fixture->daemon.process, SIGCONT);
  /* At the end of the pause one request is sent, then more.  */
  assert_in_range (count (fixture, i, 5), 1, 5);
  run_for (fixture->loop, 1.1);
  assert_int_equal (preferred_server (fixture), i);
}

/* Guards against a change of the configuration that is not in force in
   time.  */
static void
route_is_added_and_dropped_in_time (void **state)
{
  fixture_t *fixture = *state;
  run_for (fixture->loop, START_S);
  for (int i = 0; i < 6; i++)
    {
      bool added = i % 2 == 0;
      assert_int_equal (call (fixture, "/s/x"), added ? 404 : 200);
      put_config (fixture, added);
      run_for (fixture->loop, TEST_DAEMON_FRESH_MS / 1e3);
      assert_int_equal (call (fixture, "/s/x"), added ? 200 : 404);
    }
}

/* Most requests that reached BACKEND in some 4 s that end after FROM_NS.  */
static int
most_in_4_s (const backend_t *backend, int64_t from_ns)
{
  int most = 0;
  for (guint i = 0; i < backend->arrivals->len; i++)
    {
      int64_t end_ns = g_array_index (backend->arrivals, int64_t, i);
      int n = 0;
      for (guint k = 0; k <= i && end_ns >= from_ns; k++)
        n += end_ns - g_array_index (backend->arrivals, int64_t, k)
             < 4 * KWF_NS_PER_S;
      most = MAX (most, n);
    }
  return most;
}

/* Calls all live daemons in turn for SECONDS, 40 times a second.  */
static void
call_in_turn (fixture_t *fixture, double seconds)
{
  const process_t *daemons[]
      = { &fixture->daemon.process, &fixture->others[0].process,
          &fixture->others[1].process };
  int64_t end_ns = kwf_now_ns (kwf_clock_system ())
                   + (int64_t)(seconds * (double)KWF_NS_PER_S);
  for (int i = 0; kwf_now_ns (kwf_clock_system ()) < end_ns; i++)
    {
      const process_t *daemon = daemons[i % (1 + N_OTHERS)];
      if (!daemon->pid)
        continue;
      assert_int_equal (call_at (fixture, daemon, "/r/x"), 200);
      run_for (fixture->loop, 0.025);
    }
}

/* Guards against a backend server that gets more requests from several
   processes together than the limit that it names, also after the end of one
   of them, and against a limit that outlasts its end.  */
static void
server_gets_more_than_its_limit_from_all_processes (void **state)
{
  fixture_t *fixture = *state;
  backend_t *backend = &fixture->backends[0];
  static const char *const ids[N_OTHERS] = { "i2", "i3" };
  for (int i = 0; i < N_OTHERS; i++)
    {
      test_daemon_start (&fixture->others[i], fixture->store, ids[i],
                         RETRY_SHARE);
      wait_for_daemon (fixture, &fixture->others[i].process);
    }
  call_in_turn (fixture, START_S);
  int before = backend->n_requests;
  call_in_turn (fixture, 1);
  assert_true (backend->n_requests > before + 6);
  backend->limit = "2";
  int64_t named_ns = kwf_now_ns (kwf_clock_system ());
  call_in_turn (fixture, 6);
  process_kill (&fixture->others[0].process);
  call_in_turn (fixture, 6);
  int most = most_in_4_s (backend, named_ns + 3 * KWF_NS_PER_S);
  print_message ("at most %d requests in 4 s, allowed 17\n", most);
  assert_in_range (most, 1, 17);
  backend->limit = NULL;
  call_in_turn (fixture, 4);
  before = backend->n_requests;
  call_in_turn (fixture, 1);
  assert_true (backend->n_requests > before + 6);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (server_that_says_it_leaves_gets_no_more),
    TEST (server_that_asks_for_a_pause_gets_one),
    TEST (leaving_outlasts_the_store_and_signals),
    TEST (pause_goes_on_while_the_process_stands_still),
    TEST (server_gets_more_than_its_limit_from_all_processes),
    TEST (route_is_added_and_dropped_in_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
