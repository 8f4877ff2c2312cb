/* The daemon on the users' platform, as a process.  The test acts as the
   store, the backend servers and the callers, in the platform's protocol.  */

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "common-process.h"
#include "common-fake-store.h"
#include "common-repeats.h"
#include "net/client.h"

#define N_SERVERS 2
/* Servers of a second service.  */
#define N_QUIET 2
/* Daemons that a test may start beside the first one.  */
#define N_OTHERS 2
/* A change of the tables must be in force after this time.  */
#define FRESH_S 2.0
/* A process that has just started waits for another instance to poll for
   it.  */
#define START_S 3.2

typedef struct fixture fixture_t;

/* A backend server.  */
typedef struct
{
  fixture_t *fixture;
  listener_t *listener;
  bool rejects;      /* it does not run what it gets */
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
  process_t daemon;
  process_t others[N_OTHERS];
  char *directory;
  char *settings;
  backend_t backends[N_SERVERS + N_QUIET];
  const char *retries;  /* settings of the daemons */
  const char *platform; /* more of them; NULL: none */
  GArray *quiet_sent;   /* times of int64_t of requests for "quiet" */
  GHashTable *arrived;  /* ids of those that reached a server */
  GArray *repeats;      /* times of int64_t at which one did so again */
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
  fixture_t *fixture = backend->fixture;
  if (backend >= &fixture->backends[N_SERVERS]
      && !g_hash_table_add (fixture->arrived, g_strdup (backend->last_id)))
    g_array_append_val (fixture->repeats, now_ns);
  const char *pause = backend->pause;
  backend->pause = NULL;
  connection_print (
      connection,
      "HTTP/1.1 %s\r\nContent-Length: 2\r\n"
      "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n%s%s%s%s%s%s%s%s"
      "\r\nok",
      pause || backend->rejects ? "503 Service Unavailable" : "200 OK",
      backend->last_id, backend->rejects ? "X-Not-Run: 1\r\n" : "",
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
  return call_at (fixture, &fixture->daemon, path);
}

/* Writes the configuration, with or without a second route.  */
static void
put_config (fixture_t *fixture, bool second)
{
  static const char *const route
      = "{\"name\":\"%s\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s/\","
        "\"backend\":\"%s\",\"kind\":\"idempotent\",\"max_attempts\":2,"
        "\"timeout_ms\":3000}";
  GString *text = g_string_new ("{\"version\":1,\"services\":[{\"name\":"
                                "\"desk\"},{\"name\":\"quiet\"}],"
                                "\"routes\":[");
  g_string_append_printf (text, route, "r", "r", "desk");
  g_string_append_c (text, ',');
  g_string_append_printf (text, route, "q", "q", "quiet");
  if (second)
    {
      g_string_append_c (text, ',');
      g_string_append_printf (text, route, "s", "s", "desk");
    }
  g_string_append (text, "],\"tenants\":[]}");
  fake_store_put (fixture->store, "op", "config", text->str);
  g_string_free (text, TRUE);
}

/* Writes the entry of server I, whose process started at BORN.  */
static void
put_server (fixture_t *fixture, int i, int64_t born)
{
  char key[8];
  g_snprintf (key, sizeof key, "d%d", i);
  char *text = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"ready\",\"seq\":1,\"born\":%d}",
      i < N_SERVERS ? "desk" : "quiet", fixture->backends[i].listener->address,
      (int)born);
  fake_store_put (fixture->store, "servers", key, text);
  g_free (text);
}

/* Text of the settings of instance ID; release with g_free.  */
static char *
settings_text (const fixture_t *fixture, const char *id)
{
  return g_strdup_printf (
      "[instance]\nid = \"%s\"\ndata_centre = \"c\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = %d\n%s"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[backend]\n%s"
      "[placement]\nmode = \"dynamic\"\n",
      id, fake_store_address (fixture->store), (int)(FRESH_S * 1000),
      fixture->platform ? fixture->platform : "", fixture->retries);
}

static void
start_daemon (fixture_t *fixture, process_t *daemon, const char *id)
{
  char *text = settings_text (fixture, id);
  assert_true (g_file_set_contents (fixture->settings, text, -1, NULL));
  g_free (text);
  const char *args[] = { "--config", fixture->settings, NULL };
  assert_true (process_start (daemon, "knapweedforkd", args));
  /* Other addresses follow on the same line.  */
  daemon->address[strcspn (daemon->address, ",")] = '\0';
}

static void
wait_for_daemon (fixture_t *fixture, const process_t *daemon)
{
  for (int i = 0; i < 100 && call_at (fixture, daemon, "/r/x") != 200; i++)
    run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->status, 200);
}

static int
set_up_retries (void **state, const char *retries)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->retries = retries;
  fixture->quiet_sent = g_array_new (FALSE, FALSE, sizeof (int64_t));
  fixture->arrived
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fixture->repeats = g_array_new (FALSE, FALSE, sizeof (int64_t));
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, NULL);
  fixture->store = fake_store_start (fixture->loop);
  fixture->directory = g_dir_make_tmp ("kwf-daemon-XXXXXX", NULL);
  fixture->settings = g_build_filename (fixture->directory, "s.toml", NULL);
  put_config (fixture, false);
  for (int i = 0; i < N_SERVERS + N_QUIET; i++)
    {
      fixture->backends[i].fixture = fixture;
      fixture->backends[i].listener
          = listener_start (fixture->loop, serve, &fixture->backends[i]);
      fixture->backends[i].arrivals
          = g_array_new (FALSE, FALSE, sizeof (int64_t));
      put_server (fixture, i, 1);
    }
  start_daemon (fixture, &fixture->daemon, "i1");
  wait_for_daemon (fixture, &fixture->daemon);
  *state = fixture;
  return 0;
}

static int
set_up (void **state)
{
  return set_up_retries (state, "retry_share = 0.1\n");
}

/* The rule of the daemons that set_up_window starts.  */
static const repeats_rule_t rule
    = { .window_ns = 2 * KWF_NS_PER_S, .ratio = 0.2, .slack = 9 };

static int
set_up_window (void **state)
{
  return set_up_retries (
      state, "retry_share = 0.2\nretry_window_s = 2\nretry_slack = 9\n");
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  process_kill (&fixture->daemon);
  for (int i = 0; i < N_OTHERS; i++)
    process_kill (&fixture->others[i]);
  client_free (fixture->client);
  g_array_free (fixture->quiet_sent, TRUE);
  g_hash_table_unref (fixture->arrived);
  g_array_free (fixture->repeats, TRUE);
  for (int i = 0; i < N_SERVERS + N_QUIET; i++)
    {
      listener_stop (fixture->backends[i].listener);
      g_array_free (fixture->backends[i].arrivals, TRUE);
    }
  fake_store_stop (fixture->store);
  ev_loop_destroy (fixture->loop);
  g_unlink (fixture->settings);
  g_rmdir (fixture->directory);
  g_free (fixture->settings);
  g_free (fixture->directory);
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
      process_signal (&fixture->daemon, SIGHUP);
      assert_int_equal (count (fixture, i, 10), 0);
      process_signal (&fixture->daemon, SIGSTOP);
      run_for (fixture->loop, 0.4);
      process_signal (&fixture->daemon, SIGCONT);
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
  process_signal (&fixture->daemon, SIGHUP);
  process_signal (&fixture->daemon, SIGSTOP);
  run_for (fixture->loop, 1.0);
  process_signal (&fixture->daemon, SIGCONT);
  assert_int_equal (count (fixture, i, 3), 0);
  process_signal (&fixture->daemon, SIGSTOP);
  run_for (fixture->loop, 1.2);
  process_signal (&fixture->daemon, SIGCONT);
  /* At the end of the pause one request is sent, then more.  */
  assert_in_range (count (fixture, i, 5), 1, 5);
  run_for (fixture->loop, 1.1);
  assert_int_equal (preferred_server (fixture), i);
}

/* Guards against requests to an evacuated data centre after the store was lost
   right after it acknowledged the row, whose value is no JSON; by a process
   that starts later; and against one that stays evacuated when it was taken
   back.  */
static void
evacuation_is_in_force_in_time (void **state)
{
  fixture_t *fixture = *state;
  process_kill (&fixture->daemon);
  fixture->platform = "evacuation_ms = 5000\n";
  char *entry = g_strdup_printf (
      "{\"backend\":\"desk\",\"address\":\"%s\",\"zone\":\"x\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"ready\",\"seq\":2,\"born\":1}",
      fixture->backends[1].listener->address);
  fake_store_put (fixture->store, "servers", "d1", entry);
  g_free (entry);
  start_daemon (fixture, &fixture->daemon, "i1");
  wait_for_daemon (fixture, &fixture->daemon);
  run_for (fixture->loop, START_S + FRESH_S);
  assert_true (count (fixture, 0, 5) > 0);
  fake_store_put (fixture->store, "op", "evacuate/c", "not JSON {");
  fake_store_set_silent (fixture->store, true);
  run_for (fixture->loop, 0.5);
  assert_int_equal (count (fixture, 0, 10), 0);
  fake_store_set_silent (fixture->store, false);
  process_kill (&fixture->daemon);
  start_daemon (fixture, &fixture->daemon, "i1");
  int before = fixture->backends[0].n_requests;
  wait_for_daemon (fixture, &fixture->daemon);
  assert_int_equal (count (fixture, 1, 10), 10);
  assert_int_equal (fixture->backends[0].n_requests, before);
  run_for (fixture->loop, START_S + FRESH_S);
  fake_store_remove (fixture->store, "op", "evacuate/c");
  run_for (fixture->loop, 0.5);
  assert_true (count (fixture, 0, 5) > 0);
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
      run_for (fixture->loop, FRESH_S);
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
      = { &fixture->daemon, &fixture->others[0], &fixture->others[1] };
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

static void
start_others (fixture_t *fixture)
{
  static const char *const ids[N_OTHERS] = { "i2", "i3" };
  for (int i = 0; i < N_OTHERS; i++)
    {
      start_daemon (fixture, &fixture->others[i], ids[i]);
      wait_for_daemon (fixture, &fixture->others[i]);
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
  start_others (fixture);
  call_in_turn (fixture, START_S);
  int before = backend->n_requests;
  call_in_turn (fixture, 1);
  assert_true (backend->n_requests > before + 6);
  backend->limit = "2";
  int64_t named_ns = kwf_now_ns (kwf_clock_system ());
  call_in_turn (fixture, 6);
  process_kill (&fixture->others[0]);
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

/* Calls all daemons in turn for SECONDS: every fourth call is for "quiet". */
static void
call_both_services (fixture_t *fixture, double seconds)
{
  const process_t *daemons[]
      = { &fixture->daemon, &fixture->others[0], &fixture->others[1] };
  int64_t end_ns = kwf_now_ns (kwf_clock_system ())
                   + (int64_t)(seconds * (double)KWF_NS_PER_S);
  for (int i = 0; kwf_now_ns (kwf_clock_system ()) < end_ns; i++)
    {
      bool quiet = i % 4 == 0;
      int64_t now_ns = kwf_now_ns (kwf_clock_system ());
      if (quiet)
        g_array_append_val (fixture->quiet_sent, now_ns);
      call_at (fixture, daemons[i % (1 + N_OTHERS)], quiet ? "/q/x" : "/r/x");
      run_for (fixture->loop, 0.001);
    }
}

/* Guards against repeats for a service, from several processes together, that
   the requests for another service have paid for.  */
static void
service_gets_more_repeats_than_its_budget (void **state)
{
  fixture_t *fixture = *state;
  start_others (fixture);
  call_both_services (fixture, START_S);
  assert_int_equal (fixture->repeats->len, 0);
  for (int i = N_SERVERS; i < N_SERVERS + N_QUIET; i++)
    fixture->backends[i].rejects = true;
  call_both_services (fixture, 4);
  repeats_verdict_t verdict
      = repeats_judge (&rule, fixture->quiet_sent, fixture->repeats);
  print_message ("%d repeats of %d requests, most %d in 2 s, %.0f allowed\n",
                 (int)fixture->repeats->len, (int)fixture->quiet_sent->len,
                 verdict.most, verdict.allowed);
  assert_int_equal (verdict.n_excessive, 0);
  assert_true (verdict.most > verdict.allowed / 4);
}

/* Guards against SIGHUP that ends a process which reads its settings.  The
   settings are a FIFO until the signal was sent, then a file.  */
static void
hangup_during_the_start_is_harmless (void **state)
{
  fixture_t *fixture = *state;
  process_t *daemon = &fixture->others[0];
  char *text = settings_text (fixture, "i2");
  char *fifo = g_build_filename (fixture->directory, "fifo", NULL);
  assert_int_equal (mkfifo (fifo, 0600), 0);
  const char *args[] = { "--config", fifo, NULL };
  assert_true (process_spawn (daemon, "knapweedforkd", args));
  int out = open (fifo, O_WRONLY | O_CLOEXEC);
  assert_true (out >= 0);
  process_signal (daemon, SIGHUP);
  assert_int_equal (g_unlink (fifo), 0);
  assert_true (g_file_set_contents (fifo, text, -1, NULL));
  assert_int_equal (write (out, text, strlen (text)), strlen (text));
  close (out);
  assert_true (process_expect (daemon, "listening on ", daemon->address,
                               sizeof daemon->address));
  daemon->address[strcspn (daemon->address, ",")] = '\0';
  wait_for_daemon (fixture, daemon);
  g_unlink (fifo);
  g_free (fifo);
  g_free (text);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (evacuation_is_in_force_in_time),
    TEST (server_that_says_it_leaves_gets_no_more),
    TEST (server_that_asks_for_a_pause_gets_one),
    TEST (leaving_outlasts_the_store_and_signals),
    TEST (pause_goes_on_while_the_process_stands_still),
    TEST (server_gets_more_than_its_limit_from_all_processes),
    cmocka_unit_test_setup_teardown (service_gets_more_repeats_than_its_budget,
                                     set_up_window, tear_down),
    TEST (route_is_added_and_dropped_in_time),
    TEST (hangup_during_the_start_is_harmless),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
