/* Tests of the configuration with 8 running instances: operators that race, an
   instance that is killed and restarted, and lost answers of the table.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-fleet.h"

#define INSTANCES 8
#define ROUNDS 6
#define IN_FORCE_MS 3000

typedef struct
{
  fleet_t *fleet;
  json_int_t seen[INSTANCES]; /* newest version that each instance has shown */
} world_t;

typedef struct
{
  const fleet_node_t *node;
  char *body;
  http_answer_t answer;
} apply_t;

static int64_t
now_ms (void)
{
  return kwf_now_ns (kwf_clock_system ()) / KWF_NS_PER_MS;
}

static const fleet_node_t *
instance (const world_t *world, int i)
{
  char name[16];
  g_snprintf (name, sizeof name, "entry-%d", i + 1);
  return fleet_node (world->fleet, name);
}

/* Body of an apply that was edited from VERSION and is recognised by its
   rate.  */
static char *
lists_body (world_t *world, int rate, json_int_t version)
{
  g_string_truncate (world->fleet->organisations, 0);
  g_string_truncate (world->fleet->plans, 0);
  fleet_add_organisation (world->fleet, "khomas", rate, 2000);
  return fleet_lists_body (world->fleet, version);
}

static void *
run_apply (void *data)
{
  apply_t *apply = data;
  apply->answer = fleet_operate (apply->node, "POST", "/lists", apply->body);
  return NULL;
}

static json_int_t
version_of (const http_answer_t *answer)
{
  json_t *root = json_loads (answer->body, 0, NULL);
  json_int_t version = json_integer_value (json_object_get (root, "version"));
  json_decref (root);
  return version;
}

/* Read the version of instance I; fail if it is lower than before.  */
static json_int_t
check_version (world_t *world, int i)
{
  json_int_t version = fleet_version (instance (world, i));
  if (version <= 0)
    return 0; /* the instance is starting and has no configuration yet */
  assert_true (version >= world->seen[i]);
  world->seen[i] = version;
  return version;
}

/* Wait until every instance has at least VERSION, and return the time since
   SINCE_MS.  Fail if that takes longer than LIMIT_MS.  */
static int64_t
wait_for_version (world_t *world, json_int_t version, int64_t since_ms,
                  int limit_ms)
{
  for (;;)
    {
      int n_updated = 0;
      for (int i = 0; i < INSTANCES; i++)
        n_updated += check_version (world, i) >= version;
      int64_t took_ms = now_ms () - since_ms;
      if (n_updated == INSTANCES)
        return took_ms;
      if (took_ms > limit_ms)
        fail_msg ("version %lld is in force on %d of %d instances after %lld "
                  "ms",
                  (long long)version, n_updated, INSTANCES,
                  (long long)took_ms);
      pause_ms (20);
    }
}

static int
set_up (void **state)
{
  world_t *world = g_new0 (world_t, 1);
  world->fleet = fleet_new ();
  char *none[] = { NULL };
  for (int i = 0; i < INSTANCES; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "entry-%d", i + 1);
      fleet_add_instance (world->fleet, name, none);
    }
  char *body = lists_body (world, 1000, 0);
  http_answer_t answer = { 0 };
  for (int i = 0; i < 200 && answer.status != 200; i++)
    {
      http_free (&answer);
      answer = fleet_operate (instance (world, 0), "POST", "/lists", body);
      pause_ms (50);
    }
  assert_int_equal (answer.status, 200);
  wait_for_version (world, version_of (&answer), now_ms (), 10000);
  http_free (&answer);
  free (body);
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  world_t *world = *state;
  fleet_free (world->fleet);
  g_free (world);
  return 0;
}

/* Of two operators exactly one must win, all instances must have the lists
   within 3 s, and no instance may return to older lists, not even after a
   restart.  */
static void
one_of_two_operators_wins (void **state)
{
  world_t *world = *state;
  json_int_t version = world->seen[0];
  int64_t slowest_ms = 0;
  for (int round = 0; round < ROUNDS; round++)
    {
      fleet_node_t *killed = fleet_node (world->fleet, "entry-8");
      if (round == 2)
        process_kill (&killed->process);
      apply_t applies[2] = {
        { .node = instance (world, 1),
          .body = lists_body (world, 2000 + round, version) },
        { .node = instance (world, 4),
          .body = lists_body (world, 3000 + round, version) },
      };
      GThread *other = g_thread_new ("operator", run_apply, &applies[1]);
      run_apply (&applies[0]);
      g_thread_join (other);
      int64_t done_ms = now_ms ();
      int winner = applies[0].answer.status == 200 ? 0 : 1;
      assert_int_equal (applies[winner].answer.status, 200);
      const http_answer_t *lost = &applies[!winner].answer;
      assert_int_equal (lost->status, 409);
      json_int_t next = version_of (&applies[winner].answer);
      assert_true (next > version);
      assert_int_equal (version_of (lost), next);
      char rate[24];
      g_snprintf (rate, sizeof rate, "rate = %d",
                  (winner ? 3000 : 2000) + round);
      assert_non_null (strstr (lost->body, rate));
      version = next;
      if (round == 2)
        fleet_start (world->fleet, killed);
      int64_t took_ms = wait_for_version (world, version, done_ms,
                                          round == 2 ? 10000 : IN_FORCE_MS);
      if (round != 2)
        slowest_ms = MAX (slowest_ms, took_ms);
      for (int i = 0; i < 2; i++)
        {
          http_free (&applies[i].answer);
          free (applies[i].body);
        }
    }
  print_message ("in force on %d instances within %lld ms\n", INSTANCES,
                 (long long)slowest_ms);
}

/* If the table's answer is lost, an apply that took effect must not be
   reported as failed, nor the other way round.  */
static void
lost_answer_is_settled (void **state)
{
  world_t *world = *state;
  const fleet_node_t *platform = fleet_node (world->fleet, "platform");
  for (int round = 0; round < 3; round++)
    {
      json_int_t version = world->seen[3];
      char *body = lists_body (world, 4000 + round, version);
      /* Some of these are answers to renewals; the others are enough for the
         apply.  */
      assert_int_equal (
          http_post (platform->address, "/switch", "{\"lose_answers\":12}"),
          200);
      http_answer_t answer
          = fleet_operate (instance (world, 3), "POST", "/lists", body);
      http_post (platform->address, "/switch", "{\"lose_answers\":0}");
      assert_int_equal (answer.status, 200);
      assert_true (version_of (&answer) > version);
      wait_for_version (world, version_of (&answer), now_ms (), IN_FORCE_MS);
      http_free (&answer);
      free (body);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (one_of_two_operators_wins, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (lost_answer_is_settled, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
