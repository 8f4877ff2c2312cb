/* A daemon on the users' platform and a backend server whose entry is removed
   without a word that it leaves.  The test acts as the store, the backend
   servers and the callers.  */

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <knapweedfork/clock.h>

#include "common-fake-store.h"
#include "common-listener.h"
#include "common-process.h"
#include "net/client.h"

#define N_SERVERS 2
/* A change of the tables must be in force after this time.  */
#define FRESH_MS 2000
/* Longer than the time without an answer after which the store counts as
   away.  */
#define AWAY_MS 4000
/* The bound holds for what the store takes from this time after its return on.
   The daemon, whose poll may have to time out first, has noticed that less
   than 2 s before.  */
#define STABLE_MS 3000
/* Within this time of the store's return entries that expired meanwhile are
   written again.  */
#define BACK_MS 2000

typedef struct
{
  listener_t *listener;
  int n_requests;
  int64_t last_ns; /* when the last request came */
} backend_t;

typedef struct
{
  struct ev_loop *loop;
  client_t *client;
  fake_store_t *store;
  process_t daemon;
  char *directory;
  char *settings;
  backend_t backends[N_SERVERS];
  int n_sent;
  int n_ended;
  int status; /* of the last answer; 0: none */
} fixture_t;

static int64_t
now (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  backend_t *backend = data;
  const char *id = strcasestr (request, "\r\nx-request-id: ");
  int length = id ? (int)strcspn (id + 16, "\r") : 0;
  backend->n_requests++;
  backend->last_ns = now ();
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    "X-Request-Id: %.*s\r\nX-Server-Stamp: s\r\n\r\nok",
                    length, id ? id + 16 : "");
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

static int
call (fixture_t *fixture)
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
                                     .address = fixture->daemon.address,
                                     .target = "/r/x",
                                     .headers = headers,
                                     .n_headers = G_N_ELEMENTS (headers),
                                     .timeout_ns = 4 * KWF_NS_PER_S },
                &handler, fixture);
  assert_true (
      run_until (fixture->loop, &fixture->n_ended, fixture->n_sent, 5));
  return fixture->status;
}

/* Calls every 10 ms for MS.  */
static void
call_for (fixture_t *fixture, int ms)
{
  int64_t end_ns = now () + ms * KWF_NS_PER_MS;
  while (now () < end_ns)
    {
      assert_int_equal (call (fixture), 200);
      run_for (fixture->loop, 0.01);
    }
}

static char *
server_key (int i)
{
  return g_strdup_printf ("d%d", i);
}

static void
put_server (fixture_t *fixture, int i)
{
  char *key = server_key (i);
  char *text = g_strdup_printf (
      "{\"backend\":\"desk\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"ready\",\"seq\":1,\"born\":1}",
      fixture->backends[i].listener->address);
  fake_store_put (fixture->store, "servers", key, text);
  g_free (text);
  g_free (key);
}

static void
remove_server (fixture_t *fixture, int i)
{
  char *key = server_key (i);
  fake_store_put_odd (fixture->store, "servers", key, "{\"removed\":true}");
  g_free (key);
}

static void
start_daemon (fixture_t *fixture)
{
  char *text = g_strdup_printf (
      "[instance]\nid = \"i1\"\ndata_centre = \"c\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = %d\n"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n",
      fake_store_address (fixture->store), FRESH_MS);
  assert_true (g_file_set_contents (fixture->settings, text, -1, NULL));
  g_free (text);
  const char *args[] = { "--config", fixture->settings, NULL };
  assert_true (process_start (&fixture->daemon, "knapweedforkd", args));
  /* Other addresses follow on the same line.  */
  fixture->daemon.address[strcspn (fixture->daemon.address, ",")] = '\0';
  for (int i = 0; i < 100 && call (fixture) != 200; i++)
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
  fixture->directory = g_dir_make_tmp ("kwf-removed-XXXXXX", NULL);
  fixture->settings = g_build_filename (fixture->directory, "s.toml", NULL);
  fake_store_put (
      fixture->store, "op", "config",
      "{\"version\":1,\"services\":[{\"name\":\"desk\"}],\"routes\":["
      "{\"name\":\"r\",\"hostname\":\"h.example\",\"path_prefix\":\"/r/\","
      "\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"
      "\"timeout_ms\":3000}],\"tenants\":[]}");
  for (int i = 0; i < N_SERVERS; i++)
    {
      fixture->backends[i].listener
          = listener_start (fixture->loop, serve, &fixture->backends[i]);
      put_server (fixture, i);
    }
  start_daemon (fixture);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  process_kill (&fixture->daemon);
  client_free (fixture->client);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (fixture->backends[i].listener);
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
  assert_int_equal (call (fixture), 200);
  return fixture->backends[0].n_requests > before ? 0 : 1;
}

/* The store is silent for so long that it counts as away.  */
static void
lose_the_store (fixture_t *fixture)
{
  fake_store_set_silent (fixture->store, true);
  call_for (fixture, AWAY_MS);
}

/* Guards against requests to a server for longer than a change may take,
   because it was removed shortly before the end of the time in which entries
   come back after an outage of the store.  */
static void
removed_server_is_used_too_long_after_an_outage (void **state)
{
  fixture_t *fixture = *state;
  int i = preferred_server (fixture);
  lose_the_store (fixture);
  fake_store_set_silent (fixture->store, false);
  call_for (fixture, STABLE_MS);
  int64_t removed_ns = now ();
  remove_server (fixture, i);
  call_for (fixture, 2 * FRESH_MS);
  int64_t late_ms
      = (fixture->backends[i].last_ns - removed_ns) / KWF_NS_PER_MS;
  print_message ("last request %d ms after the removal, allowed %d\n",
                 (int)late_ms, FRESH_MS);
  assert_true (late_ms <= FRESH_MS);
}

/* Guards against a server that gets no requests while its entry, which expired
   during an outage of the store, is not written again.  */
static void
expired_server_is_used_until_it_is_back (void **state)
{
  fixture_t *fixture = *state;
  int i = preferred_server (fixture);
  lose_the_store (fixture);
  remove_server (fixture, i);
  fake_store_set_silent (fixture->store, false);
  int before = fixture->backends[i].n_requests;
  call_for (fixture, BACK_MS / 2);
  int sent = fixture->n_sent;
  call_for (fixture, BACK_MS / 2);
  sent = fixture->n_sent - sent;
  assert_true (fixture->backends[i].n_requests - before > sent);
  put_server (fixture, i);
  before = fixture->backends[i].n_requests;
  call_for (fixture, FRESH_MS);
  assert_true (fixture->backends[i].n_requests > before);
  assert_int_equal (preferred_server (fixture), i);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (removed_server_is_used_too_long_after_an_outage),
    TEST (expired_server_is_used_until_it_is_back),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
