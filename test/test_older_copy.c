/* Daemons on a store that comes back from an older copy.  The test acts as the
   store, the backend servers and the callers.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-daemon.h"
#include "common-listener.h"

#define N_SERVERS 3
/* Servers that are there from the start.  */
#define N_FIRST 2
/* A change must be in force after this time.  */
#define FRESH_MS INT64_C (2000)
/* Time in which the store is away before it comes back.  */
#define AWAY_MS 700
/* Within this time of the return the operator and the servers have written
   again what is gone.  */
#define AGAIN_MS INT64_C (2000)
/* After this time a lone process polls the store all the time.  */
#define READER_S 3.2
/* A process that has just started waits for the links of others.  */
#define START_S 12.0
#define CALL_S 4.0
/* Its links are up then.  */
#define LINKS_S 1.0

#define ROUTE(name)                                                           \
  "{\"name\":\"" name                                                         \
  "\",\"hostname\":\"h.example\",\"path_prefix\":\"/" name                    \
  "/\",\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"      \
  "\"timeout_ms\":3000}"

typedef struct
{
  listener_t *listener;
  int n_requests;
  bool rejects; /* it does not run each third request, so that another server
                   gets it, within the budget for repeats */
} desk_t;

typedef struct
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  process_t second; /* another instance on the same store */
  desk_t desks[N_SERVERS];
  int n_sent;
} fixture_t;

static int64_t
now_ms (void)
{
  return kwf_now_ns (kwf_clock_system ()) / KWF_NS_PER_MS;
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  const char *id = strcasestr (request, "\r\nx-request-id: ");
  int length = id ? (int)strcspn (id + 16, "\r") : 0;
  desk_t *desk = data;
  desk->n_requests++;
  connection_print (connection,
                    "HTTP/1.1 %s\r\nContent-Length: 2\r\n"
                    "X-Request-Id: %.*s\r\nX-Server-Stamp: s\r\n\r\nok",
                    desk->rejects && desk->n_requests % 3 == 0
                        ? "503 Busy\r\nX-Not-Run: 1"
                        : "200 OK",
                    length, id ? id + 16 : "");
}

/* The status that a caller gets at ADDRESS on ROUTE.  */
static int
call_at (fixture_t *fixture, const char *address, const char *route)
{
  char *request = g_strdup_printf (
      "GET /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %016x\r\n"
      "X-Deadline-Ms: 3000\r\nConnection: close\r\n\r\n",
      route, ++fixture->n_sent);
  raw_answer_t answer;
  raw_call (fixture->loop, address, request, NULL, CALL_S, &answer);
  int status = raw_answer_status (&answer);
  raw_answer_clear (&answer);
  g_free (request);
  return status;
}

static int
call (fixture_t *fixture, const char *route)
{
  return call_at (fixture, fixture->daemon.process.address, route);
}

/* Whether ROUTE gives STATUS at ADDRESS within MS.  */
static bool
becomes (fixture_t *fixture, const char *address, const char *route,
         int status, int64_t ms)
{
  int64_t end_ms = now_ms () + ms;

  while (call_at (fixture, address, route) != status)
    {
      if (now_ms () > end_ms)
        return false;
      run_for (fixture->loop, 0.02);
    }
  return true;
}

static void
put_config (fixture_t *fixture, int version, const char *routes)
{
  char *text = g_strdup_printf (
      "{\"version\":%d,\"services\":[{\"name\":\"desk\"}],\"routes\":[%s],"
      "\"tenants\":[]}",
      version, routes);
  fake_store_put (fixture->daemon.store, "op", "config", text);
  g_free (text);
}

static void
put_server (fixture_t *fixture, int i, const char *state)
{
  char *key = g_strdup_printf ("d%d", i);
  char *text = g_strdup_printf (
      "{\"backend\":\"desk\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"%s\",\"seq\":1,\"born\":1}",
      fixture->desks[i].listener->address, state);
  fake_store_put (fixture->daemon.store, "servers", key, text);
  g_free (text);
  g_free (key);
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  test_daemon_start_with (
      &fixture->daemon, fixture->loop, ROUTE ("r"),
      &(test_daemon_options_t){ .platform = "evacuation_ms = 2000\n" });
  fake_store_set_era (fixture->daemon.store, 1);
  for (int i = 0; i < N_SERVERS; i++)
    {
      fixture->desks[i].listener
          = listener_start (fixture->loop, serve, &fixture->desks[i]);
      if (i < N_FIRST)
        put_server (fixture, i, "ready");
    }
  assert_true (becomes (fixture, fixture->daemon.process.address, "r", 200,
                        (int64_t)(START_S * 1e3)));
  run_for (fixture->loop, READER_S);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  process_kill (&fixture->second);
  test_daemon_stop (&fixture->daemon);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (fixture->desks[i].listener);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

/* The store is away for a moment and comes back from its copy; the caller lets
   it answer again.  */
static void
begin_drill (fixture_t *fixture)
{
  fake_store_set_silent (fixture->daemon.store, true);
  run_for (fixture->loop, AWAY_MS / 1e3);
  fake_store_restore (fixture->daemon.store);
}

static void
drill (fixture_t *fixture)
{
  begin_drill (fixture);
  fake_store_set_silent (fixture->daemon.store, false);
}

/* Guards against a confirmed configuration that is not in force any more, or
   not in time, after the store came back from an older copy: both under the
   versions that were given out before.  */
static void
older_copy_takes_configurations_back (void **state)
{
  fixture_t *fixture = *state;
  const char *address = fixture->daemon.process.address;
  fake_store_copy (fixture->daemon.store);
  /* Versions that the copy lacks.  */
  for (int i = 0; i < 9; i++)
    put_server (fixture, 0, "ready");
  put_config (fixture, 5, ROUTE ("n"));
  assert_true (becomes (fixture, address, "n", 200, FRESH_MS));
  drill (fixture);
  int64_t end_ms = now_ms () + AGAIN_MS;
  while (now_ms () < end_ms)
    {
      assert_int_equal (call (fixture, "n"), 200);
      assert_int_equal (call (fixture, "r"), 404);
      run_for (fixture->loop, 0.02);
    }
  put_config (fixture, 5, ROUTE ("n"));
  put_config (fixture, 9, ROUTE ("n") "," ROUTE ("m"));
  assert_true (becomes (fixture, address, "m", 200, FRESH_MS));
  assert_int_equal (call (fixture, "n"), 200);
}

/* Guards against requests at a server that said that it leaves, because the
   store came back from an older copy in which it is ready.  */
static void
older_copy_brings_a_leaving_server_back (void **state)
{
  fixture_t *fixture = *state;
  fake_store_copy (fixture->daemon.store);
  put_server (fixture, 0, "draining");
  run_for (fixture->loop, (double)FRESH_MS / 1e3);
  int before = fixture->desks[0].n_requests;
  /* A second attempt would go to the server that leaves.  */
  fixture->desks[1].rejects = true;
  drill (fixture);
  int64_t end_ms = now_ms () + AGAIN_MS;
  while (now_ms () < end_ms)
    {
      call (fixture, "r");
      run_for (fixture->loop, 0.02);
    }
  put_server (fixture, 0, "draining");
  for (int k = 0; k < 20; k++)
    call (fixture, "r");
  assert_int_equal (fixture->desks[0].n_requests, before);
}

/* Guards against a server that is never used, because it registered under a
   version that had been given out before, and the versions had passed the lost
   ones when the store was read again.  */
static void
server_that_comes_after_an_older_copy_is_not_used (void **state)
{
  fixture_t *fixture = *state;
  fake_store_copy (fixture->daemon.store);
  for (int i = 0; i < 4; i++)
    put_server (fixture, 1, "ready");
  run_for (fixture->loop, 0.5);
  begin_drill (fixture);
  put_server (fixture, 2, "ready");
  for (int i = 0; i < 6; i++)
    put_server (fixture, 1, "draining");
  fake_store_set_silent (fixture->daemon.store, false);
  /* A second attempt goes to the new server.  */
  fixture->desks[0].rejects = true;
  int64_t end_ms = now_ms () + 2 * FRESH_MS + AGAIN_MS;
  while (!fixture->desks[2].n_requests && now_ms () < end_ms)
    {
      call (fixture, "r");
      run_for (fixture->loop, 0.02);
    }
  assert_true (fixture->desks[2].n_requests > 0);
}

/* Guards against requests to a data centre whose evacuation the copy lacks,
   and against one that stays out of use though nobody evacuates it again.  */
static void
older_copy_lifts_an_evacuation (void **state)
{
  fixture_t *fixture = *state;
  const char *address = fixture->daemon.process.address;
  fake_store_copy (fixture->daemon.store);
  fake_store_put (fixture->daemon.store, "op", "evacuate/c", "{}");
  assert_true (becomes (fixture, address, "r", 503, FRESH_MS));
  drill (fixture);
  int64_t end_ms = now_ms () + AGAIN_MS;
  while (now_ms () < end_ms)
    {
      assert_int_equal (call (fixture, "r"), 503);
      run_for (fixture->loop, 0.02);
    }
  assert_true (becomes (fixture, address, "r", 200, 2 * FRESH_MS + AGAIN_MS));
}

/* Guards against an instance that starts between the return of the store and
   the operator's writing, and serves the older configuration.  */
static void
new_instance_takes_the_configuration_of_an_older_copy (void **state)
{
  fixture_t *fixture = *state;
  const char *address = fixture->daemon.process.address;
  fake_store_copy (fixture->daemon.store);
  put_config (fixture, 5, ROUTE ("n"));
  assert_true (becomes (fixture, address, "n", 200, FRESH_MS));
  drill (fixture);
  test_daemon_start_other (&fixture->daemon, &fixture->second);
  assert_true (becomes (fixture, fixture->second.address, "n", 200,
                        (int64_t)(START_S * 1e3)));
  assert_int_equal (call_at (fixture, fixture->second.address, "r"), 404);
}

/* Guards against requests of such an instance at a server that left, and that
   is ready in the copy.  */
static void
new_instance_uses_a_server_that_left (void **state)
{
  fixture_t *fixture = *state;
  fake_store_copy (fixture->daemon.store);
  put_server (fixture, 0, "draining");
  run_for (fixture->loop, (double)FRESH_MS / 1e3);
  drill (fixture);
  test_daemon_start_other (&fixture->daemon, &fixture->second);
  assert_true (becomes (fixture, fixture->second.address, "r", 200,
                        (int64_t)(START_S * 1e3)));
  run_for (fixture->loop, LINKS_S);
  fixture->desks[1].rejects = true;
  int before = fixture->desks[0].n_requests;
  for (int i = 0; i < 60; i++)
    call_at (fixture, fixture->second.address, "r");
  assert_int_equal (fixture->desks[0].n_requests, before);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (older_copy_takes_configurations_back),
    TEST (older_copy_brings_a_leaving_server_back),
    TEST (server_that_comes_after_an_older_copy_is_not_used),
    TEST (older_copy_lifts_an_evacuation),
    TEST (new_instance_takes_the_configuration_of_an_older_copy),
    TEST (new_instance_uses_a_server_that_left),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
