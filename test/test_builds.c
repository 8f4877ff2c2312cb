/* Instances of two builds on one store, as processes: up, halfway and back.
   The test acts as the store, the backend servers and the callers.

   KWF_OLD_DAEMON is the daemon of an earlier build; without it both are of
   this build.  test/builds.sh builds earlier ones.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <knapweedfork/clock.h>

#include "common-daemon.h"
#include "common-listener.h"

#define N_INSTANCES 4
/* Instances from this one on are behind the address that can be cut off.  */
#define FIRST_FAR 2
#define START_S 12.0
/* Links are up, and the form of messages is known.  */
#define SETTLE_S 4.0
/* A change must be in force after this time.  */
#define FRESH_MS INT64_C (2000)
#define N_CHANGES 3
#define CALL_S 2.0
#define KEY "k0123456789"

typedef struct
{
  process_t process;
  char id[8];
  char *settings;
  bool is_old;
} member_t;

typedef struct
{
  struct ev_loop *loop;
  fake_store_t *store;
  char *directory;
  listener_t *desks[2];
  int n_requests[2];
  member_t members[N_INSTANCES];
  int n_sent;
  int version;
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
  *(int *)data += 1;
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    "X-Request-Id: %.*s\r\nX-Server-Stamp: s\r\n\r\nok",
                    length, id ? id + 16 : "");
}

static int
call_with_key (fixture_t *fixture, int i, const char *route, const char *key)
{
  char *request = g_strdup_printf (
      "GET /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %016x\r\n"
      "X-Deadline-Ms: 2000\r\nX-Api-Key: %s\r\nConnection: close\r\n\r\n",
      route, ++fixture->n_sent, key);
  raw_answer_t answer;
  raw_call (fixture->loop, fixture->members[i].process.address, request, NULL,
            CALL_S, &answer);
  int status = raw_answer_status (&answer);
  raw_answer_clear (&answer);
  g_free (request);
  return status;
}

static int
call (fixture_t *fixture, int i, const char *route)
{
  return call_with_key (fixture, i, route, KEY "0");
}

/* Puts a configuration in force whose only route is ROUTE, with the keys KEY0
   and, if WITH_KEY, KEY1.  */
static void
put_config (fixture_t *fixture, const char *route, bool with_key)
{
  char *text = g_strdup_printf (
      "{\"version\":%d,\"services\":[{\"name\":\"desk\"}],\"routes\":["
      "{\"name\":\"%s\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s/\","
      "\"backend\":\"desk\",\"kind\":\"idempotent\",\"max_attempts\":2,"
      "\"timeout_ms\":2000}],\"tenants\":[{\"name\":\"t\",\"api_keys\":["
      "\"" KEY "0\"%s]}]}",
      ++fixture->version, route, route, with_key ? ",\"" KEY "1\"" : "");
  fake_store_put (fixture->store, "op", "config", text);
  g_free (text);
}

static void
put_server (const fixture_t *fixture, int i, const char *state)
{
  char key[8];
  g_snprintf (key, sizeof key, "d%d", i);
  char *text = g_strdup_printf (
      "{\"backend\":\"desk\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"%s\",\"seq\":1,\"born\":1}",
      fixture->desks[i]->address, state);
  fake_store_put (fixture->store, "servers", key, text);
  g_free (text);
}

static void
start (const fixture_t *fixture, member_t *member, int i, bool old)
{
  const char *program = old ? g_getenv ("KWF_OLD_DAEMON") : NULL;
  member->is_old = old;
  g_snprintf (member->id, sizeof member->id, "i%d", i);
  char *text = g_strdup_printf (
      "[instance]\nid = \"%s\"\ndata_centre = \"c\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = 2000\n"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[backend]\nretry_share = 0.2\n[placement]\nmode = \"dynamic\"\n",
      member->id,
      i < FIRST_FAR ? fake_store_address (fixture->store)
                    : fake_store_far_address (fixture->store));
  if (!member->settings)
    member->settings
        = g_strdup_printf ("%s/%s.toml", fixture->directory, member->id);
  assert_true (g_file_set_contents (member->settings, text, -1, NULL));
  g_free (text);
  const char *args[] = { "--config", member->settings, NULL };
  assert_true (process_start (&member->process,
                              program ? program : "knapweedforkd", args));
  member->process.address[strcspn (member->process.address, ",")] = '\0';
}

static bool
becomes (fixture_t *fixture, int i, const char *route, int status,
         int64_t end_ms)
{
  while (call (fixture, i, route) != status)
    {
      if (now_ms () > end_ms)
        return false;
      run_for (fixture->loop, 0.02);
    }
  return true;
}

/* Starts all instances; the bits of OLD tell which are of the old build.  */
static void
start_all (fixture_t *fixture, unsigned old)
{
  put_config (fixture, "r", true);
  for (int i = 0; i < N_INSTANCES; i++)
    start (fixture, &fixture->members[i], i, old >> i & 1);
  for (int i = 0; i < N_INSTANCES; i++)
    assert_true (
        becomes (fixture, i, "r", 200, now_ms () + (int64_t)(START_S * 1e3)));
  run_for (fixture->loop, SETTLE_S);
}

/* Each change is in force everywhere in time, also where the store is not
   reached.  */
static void
expect_changes (fixture_t *fixture)
{
  for (int n = 0; n < N_CHANGES; n++)
    {
      char route[8];
      g_snprintf (route, sizeof route, "n%d", n);
      put_config (fixture, route, n % 2 == 0);
      int64_t end_ms = now_ms () + FRESH_MS;
      for (int i = 0; i < N_INSTANCES; i++)
        {
          if (!becomes (fixture, i, route, 200, end_ms))
            fail_msg ("%s does not serve route %s", fixture->members[i].id,
                      route);
          if (call_with_key (fixture, i, route, KEY "1")
              != (n % 2 ? 401 : 200))
            fail_msg ("%s takes another key", fixture->members[i].id);
        }
    }
}

/* A server that leaves gets nothing more in time.  */
static void
expect_leaving (fixture_t *fixture)
{
  char route[8];
  g_snprintf (route, sizeof route, "n%d", N_CHANGES - 1);
  put_server (fixture, 0, "draining");
  run_for (fixture->loop, (double)FRESH_MS / 1e3);
  int before = fixture->n_requests[0];
  for (int k = 0; k < 6; k++)
    for (int i = 0; i < N_INSTANCES; i++)
      assert_int_equal (call (fixture, i, route), 200);
  assert_int_equal (fixture->n_requests[0], before);
  put_server (fixture, 0, "ready");
}

static void
expect_all (fixture_t *fixture)
{
  expect_changes (fixture);
  fake_store_set_cut (fixture->store, true);
  run_for (fixture->loop, (double)FRESH_MS / 1e3);
  expect_changes (fixture);
  expect_leaving (fixture);
  fake_store_set_cut (fixture->store, false);
  run_for (fixture->loop, (double)FRESH_MS / 1e3);
}

/* Guards against changes that are late, and withdrawn keys that are taken,
   where instances of two builds pass the changes on to each other.  The store
   names an era, which the older builds of the two may not know.  */
static void
changes_are_lost_between_builds (void **state)
{
  static const unsigned splits[] = { 0x5, 0xa, 0x1, 0xe };
  fixture_t *fixture = *state;
  const char *text = g_getenv ("KWF_BUILDS_SPLIT");
  unsigned split = splits[(text ? (unsigned)atoi (text) : 0) % 4];
  start_all (fixture, split);
  expect_all (fixture);
}

/* Guards against the same in an upgrade that is taken back: each instance in
   turn is started again with the other build, and then with the first.  */
static void
upgrade_is_taken_back (void **state)
{
  fixture_t *fixture = *state;
  if (!g_getenv ("KWF_OLD_DAEMON"))
    skip ();
  start_all (fixture, (1U << N_INSTANCES) - 1);
  for (int step = 0; step < 2 * N_INSTANCES; step++)
    {
      int i = step % N_INSTANCES;
      char route[8];
      member_t *member = &fixture->members[i];
      process_stop (&member->process);
      start (fixture, member, i, step >= N_INSTANCES);
      g_snprintf (route, sizeof route, "u%d", step);
      put_config (fixture, route, true);
      int64_t end_ms = now_ms () + FRESH_MS;
      for (int k = 0; k < N_INSTANCES; k++)
        if (!becomes (fixture, k, route, 200,
                      k == i ? now_ms () + (int64_t)(START_S * 1e3) : end_ms))
          fail_msg ("%s does not serve route %s", fixture->members[k].id,
                    route);
    }
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->store = fake_store_start (fixture->loop);
  fake_store_set_era (fixture->store, 1);
  fixture->directory = g_dir_make_tmp ("kwf-builds-XXXXXX", NULL);
  for (int i = 0; i < 2; i++)
    {
      fixture->desks[i]
          = listener_start (fixture->loop, serve, &fixture->n_requests[i]);
      put_server (fixture, i, "ready");
    }
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < N_INSTANCES; i++)
    {
      process_kill (&fixture->members[i].process);
      g_unlink (fixture->members[i].settings);
      g_free (fixture->members[i].settings);
    }
  fake_store_stop (fixture->store);
  for (int i = 0; i < 2; i++)
    listener_stop (fixture->desks[i]);
  g_rmdir (fixture->directory);
  g_free (fixture->directory);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (changes_are_lost_between_builds),
    TEST (upgrade_is_taken_back),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
