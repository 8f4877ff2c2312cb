/* The daemon on the users' platform, as a process of its own: store, backend
   servers and callers are played on the protocol's own words.  */

#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "common-process.h"
#include "common-fake-store.h"
#include "net/client.h"

#define N_SERVERS 2
/* A change of the tables is in force after this time.  */
#define FRESH_S 2.0
/* A process that has just begun waits for another one that reads for it.  */
#define START_S 3.2

typedef struct world world_t;

/* A backend server.  */
typedef struct
{
  world_t *world;
  listener_t *listener;
  bool leaves;       /* its answers say so */
  const char *pause; /* the next answer is 503 and asks for it; NULL: 200 */
  int n_requests;
  char last_id[40];
} desk_t;

struct world
{
  struct ev_loop *loop;
  client_t *client;
  fake_store_t *rows;
  process_t daemon;
  char *directory;
  char *settings;
  desk_t desks[N_SERVERS];
  int n_sent;
  int n_ended;
  int status; /* of the last answer; 0: none */
};

static void
serve (connection_t *connection, const char *request, void *data)
{
  desk_t *desk = data;
  const char *id = strcasestr (request, "\r\nx-request-id: ");
  g_strlcpy (desk->last_id, id ? id + 16 : "", sizeof desk->last_id);
  desk->last_id[strcspn (desk->last_id, "\r")] = '\0';
  desk->n_requests++;
  const char *pause = desk->pause;
  desk->pause = NULL;
  connection_print (connection,
                    "HTTP/1.1 %s\r\nContent-Length: 2\r\n"
                    "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n%s%s%s%s\r\nok",
                    pause ? "503 Service Unavailable" : "200 OK",
                    desk->last_id, desk->leaves ? "Server-Leaving: 1\r\n" : "",
                    pause ? "X-Not-Run: 1\r\nRetry-After: " : "",
                    pause ? pause : "", pause ? "\r\n" : "");
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  world_t *world = data;
  world->n_ended++;
  world->status = answer->status;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)failure;
  (void)error;
  world_t *world = data;
  world->n_ended++;
  world->status = 0;
}

/* Call PATH; return the status.  */
static int
call (world_t *world, const char *path)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  char id[24];
  g_snprintf (id, sizeof id, "%016x", ++world->n_sent);
  header_t headers[] = { { "Host", "h.example" },
                         { "X-Request-Id", id },
                         { "X-Deadline-Ms", "3000" } };
  client_start (world->client,
                &(client_request_t){ .method = "GET",
                                     .address = world->daemon.address,
                                     .target = path,
                                     .headers = headers,
                                     .n_headers = G_N_ELEMENTS (headers),
                                     .timeout_ns = 4 * KWF_NS_PER_S },
                &handler, world);
  assert_true (run_until (world->loop, &world->n_ended, world->n_sent, 5));
  return world->status;
}

/* The configuration, with a second route or without.  */
static void
put_config (world_t *world, bool second)
{
  static const char *const route
      = "{\"name\":\"%s\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s/\","
        "\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"
        "\"timeout_ms\":3000}";
  GString *text = g_string_new ("{\"version\":1,\"services\":[{\"name\":"
                                "\"desk\"}],\"routes\":[");
  g_string_append_printf (text, route, "r", "r");
  if (second)
    {
      g_string_append_c (text, ',');
      g_string_append_printf (text, route, "s", "s");
    }
  g_string_append (text, "],\"tenants\":[]}");
  rows_put (world->rows, "op", "config", text->str);
  g_string_free (text, TRUE);
}

/* The entry of server I, started at BORN.  */
static void
put_server (world_t *world, int i, int64_t born)
{
  char key[8];
  g_snprintf (key, sizeof key, "d%d", i);
  char *text = g_strdup_printf (
      "{\"backend\":\"desk\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"ready\",\"seq\":1,\"born\":%d}",
      world->desks[i].listener->address, (int)born);
  rows_put (world->rows, "servers", key, text);
  g_free (text);
}

static void
start_daemon (world_t *world)
{
  char *text = g_strdup_printf (
      "[instance]\nid = \"i1\"\ndata_centre = \"c\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = %d\n"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[backend]\nretry_share = 0.1\n"
      "[placement]\nmode = \"dynamic\"\n",
      fake_store_address (world->rows), (int)(FRESH_S * 1000));
  assert_true (g_file_set_contents (world->settings, text, -1, NULL));
  g_free (text);
  const char *args[] = { "--config", world->settings, NULL };
  assert_true (process_start (&world->daemon, "knapweedforkd", args));
  /* The line goes on with the other addresses.  */
  world->daemon.address[strcspn (world->daemon.address, ",")] = '\0';
}

static int
set_up (void **state)
{
  world_t *world = g_new0 (world_t, 1);
  world->loop = ev_loop_new (EVFLAG_AUTO);
  world->client = client_new (world->loop, NULL);
  world->rows = fake_store_start (world->loop);
  world->directory = g_dir_make_tmp ("kwf-daemon-XXXXXX", NULL);
  world->settings = g_build_filename (world->directory, "s.toml", NULL);
  put_config (world, false);
  for (int i = 0; i < N_SERVERS; i++)
    {
      world->desks[i].world = world;
      world->desks[i].listener
          = listener_start (world->loop, serve, &world->desks[i]);
      put_server (world, i, 1);
    }
  start_daemon (world);
  for (int i = 0; i < 100 && call (world, "/r/x") != 200; i++)
    run_for (world->loop, 0.1);
  assert_int_equal (world->status, 200);
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  world_t *world = *state;
  process_kill (&world->daemon);
  client_free (world->client);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (world->desks[i].listener);
  fake_store_stop (world->rows);
  ev_loop_destroy (world->loop);
  g_unlink (world->settings);
  g_rmdir (world->directory);
  g_free (world->settings);
  g_free (world->directory);
  g_free (world);
  return 0;
}

/* The server that gets one call after the other while all are free.  */
static int
favoured (world_t *world)
{
  int before = world->desks[0].n_requests;
  assert_int_equal (call (world, "/r/x"), 200);
  return world->desks[0].n_requests > before ? 0 : 1;
}

/* How many of N calls reach server I.  */
static int
count (world_t *world, int i, int n)
{
  int before = world->desks[i].n_requests;
  for (int k = 0; k < n; k++)
    assert_int_equal (call (world, "/r/x"), 200);
  return world->desks[i].n_requests - before;
}

/* Guards against requests to a server that said in an answer that it leaves,
   while the list still has it as ready, and against a new process at its place
   that gets none.  */
static void
server_that_says_it_leaves_gets_no_more (void **state)
{
  world_t *world = *state;
  int i = favoured (world);
  world->desks[i].leaves = true;
  assert_int_equal (count (world, i, 40), 1);
  put_server (world, i, 1);
  run_for (world->loop, 0.3);
  assert_int_equal (count (world, i, 20), 0);
  world->desks[i].leaves = false;
  put_server (world, i, 2);
  run_for (world->loop, START_S);
  assert_int_equal (favoured (world), i);
}

/* Guards against requests during the pause that a server asked for.  */
static void
server_that_asks_for_a_pause_gets_one (void **state)
{
  world_t *world = *state;
  int i = favoured (world);
  world->desks[i].pause = "1.5";
  assert_int_equal (count (world, i, 1), 1);
  int64_t began_ns = kwf_now_ns (kwf_clock_system ());
  while (kwf_now_ns (kwf_clock_system ()) - began_ns < KWF_NS_PER_S)
    assert_int_equal (count (world, i, 5), 0);
  run_for (world->loop, 1.0);
  assert_int_equal (favoured (world), i);
}

/* Guards against a server that is used again while the store is silent, or
   because the settings were read again or the process stood still.  */
static void
leaving_outlasts_the_store_and_signals (void **state)
{
  world_t *world = *state;
  int i = favoured (world);
  world->desks[i].leaves = true;
  assert_int_equal (count (world, i, 1), 1);
  fake_store_set_silent (world->rows, true);
  for (int round = 0; round < 3; round++)
    {
      process_signal (&world->daemon, SIGHUP);
      assert_int_equal (count (world, i, 10), 0);
      process_signal (&world->daemon, SIGSTOP);
      run_for (world->loop, 0.4);
      process_signal (&world->daemon, SIGCONT);
      assert_int_equal (count (world, i, 10), 0);
    }
  fake_store_set_silent (world->rows, false);
  put_server (world, i, 1);
  run_for (world->loop, 0.5);
  assert_int_equal (count (world, i, 10), 0);
}

/* Guards against a pause that is counted anew, or not at all, by a process
   that stood still meanwhile.  */
static void
pause_goes_on_while_the_process_stands_still (void **state)
{
  world_t *world = *state;
  int i = favoured (world);
  world->desks[i].pause = "2";
  assert_int_equal (count (world, i, 1), 1);
  process_signal (&world->daemon, SIGHUP);
  process_signal (&world->daemon, SIGSTOP);
  run_for (world->loop, 1.0);
  process_signal (&world->daemon, SIGCONT);
  assert_int_equal (count (world, i, 3), 0);
  process_signal (&world->daemon, SIGSTOP);
  run_for (world->loop, 1.2);
  process_signal (&world->daemon, SIGCONT);
  /* At the end of the pause one request is let in, then more.  */
  assert_in_range (count (world, i, 5), 1, 5);
  run_for (world->loop, 1.1);
  assert_int_equal (favoured (world), i);
}

/* Guards against a change of the configuration that is not in force in
   time.  */
static void
route_is_added_and_dropped_in_time (void **state)
{
  world_t *world = *state;
  run_for (world->loop, START_S);
  for (int i = 0; i < 6; i++)
    {
      bool added = i % 2 == 0;
      assert_int_equal (call (world, "/s/x"), added ? 404 : 200);
      put_config (world, added);
      run_for (world->loop, FRESH_S);
      assert_int_equal (call (world, "/s/x"), added ? 200 : 404);
    }
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
    TEST (route_is_added_and_dropped_in_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
