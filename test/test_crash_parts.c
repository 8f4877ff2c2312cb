/* Parts of prompts that crash each server that begins to answer on them: eight
   instances, 20 servers, sound requests that share the callers and the other
   parts.

   KWF_PARTS_SCHEDULES: number of schedules of faults; KWF_PARTS_SEED: plays
   one alone.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "common-core-fleet.h"

#define N_INSTANCES 8
#define N_SERVERS 20
#define N_BAD 3
#define SETTLED_NS (8 * KWF_NS_PER_S)
/* Callers come before the first bad request, and go on after the last.  */
#define CALM_NS (6 * KWF_NS_PER_S)
#define SOUND_PER_S 60
#define BAD_PER_S 6
/* The part that comes with the bad one, and the part of the sound requests
   that have it.  */
#define PAIR_ID 900
#define PAIR_ONE_IN 40
#define CONTACT_NS (3 * KWF_NS_PER_S)
/* From the arrival of a bad request to the end of its server, at most.  */
#define BEGIN_NS (KWF_NS_PER_S / 2)
/* Ended servers, and requests later than CONTACT_NS after the last of them,
   that the rule allows.  */
#define RULE_ENDED 5
#define RULE_LATE 3

/* What the requests that crash servers look like.  */
typedef enum
{
  SHAPE_NONE,
  SHAPE_MIDDLE, /* the bad part follows parts that sound requests share */
  SHAPE_FIRST,  /* it is the first one */
  SHAPE_TWO,    /* two bad parts, in different requests */
  SHAPE_PAIR,   /* it comes with one other part, which few sound ones share */
  N_SHAPES
} shape_t;

typedef struct
{
  bool is_seen[N_SERVERS][64]; /* server and incarnation */
  int n_ended;
  int64_t fifth_ns; /* when the fifth server has ended at the latest */
  int n_late;       /* requests that reached a server too late */
  int n_arrived;
} bad_part_t;

typedef struct
{
  core_fleet_t *fleet;
  shape_t shape;
  int64_t from_ns; /* bad requests come from FROM_NS to UNTIL_NS */
  int64_t until_ns;
  bad_part_t parts[N_BAD];
} world_t;

static uint64_t
bad_id (int i)
{
  return 0xbad0 + (uint64_t)i;
}

/* Number of the bad part of REQUEST, -1: it is sound.  */
static int
bad_part_of (const core_fleet_request_t *request)
{
  return request->kind - 1;
}

static void
draw_sound (core_fleet_t *fleet, core_fleet_request_t *request)
{
  double unit = core_fleet_random_unit (fleet);
  request->parts[0] = 1 + core_fleet_random (fleet, 3);
  /* Some parts are popular, others are rare.  */
  request->parts[1] = core_fleet_random (fleet, 10)
                          ? 100 + (uint64_t)(unit * unit * 30)
                          : 1000 + core_fleet_random (fleet, 300);
  request->n_parts = 2;
}

static void
draw (core_fleet_t *fleet, core_fleet_request_t *request)
{
  const world_t *world = fleet->data;
  draw_sound (fleet, request);
  if (world->shape == SHAPE_PAIR && !core_fleet_random (fleet, PAIR_ONE_IN))
    request->parts[1] = PAIR_ID;
  bool is_bad
      = world->shape != SHAPE_NONE && fleet->now_ns >= world->from_ns
        && fleet->now_ns < world->until_ns
        && core_fleet_random (fleet, SOUND_PER_S + BAD_PER_S) < BAD_PER_S;
  if (!is_bad)
    return;
  int bad = world->shape == SHAPE_TWO ? (int)core_fleet_random (fleet, 2) : 0;
  request->kind = 1 + bad;
  if (world->shape == SHAPE_FIRST)
    request->parts[0] = bad_id (bad);
  else if (world->shape == SHAPE_PAIR)
    request->parts[1] = PAIR_ID;
  if (world->shape != SHAPE_FIRST)
    request->parts[request->n_parts++] = bad_id (bad);
}

static bool
crashes (core_fleet_t *fleet, int instance, int server,
         const core_fleet_request_t *request)
{
  world_t *world = fleet->data;
  if (bad_part_of (request) < 0)
    return false;
  bad_part_t *part = &world->parts[bad_part_of (request)];
  uint64_t incarnation = fleet->servers[server].incarnation % 64;
  part->n_arrived++;
  part->n_ended += !part->is_seen[server][incarnation];
  part->is_seen[server][incarnation] = true;
  if (part->n_ended == RULE_ENDED && !part->fifth_ns)
    part->fifth_ns = fleet->now_ns + BEGIN_NS;
  part->n_late += part->fifth_ns && fleet->now_ns > part->fifth_ns + CONTACT_NS
                  && core_fleet_in_touch (fleet, instance);
  return true;
}

static world_t *
world_new (uint64_t seed, shape_t shape, int64_t for_ns)
{
  world_t *world = g_new0 (world_t, 1);
  core_fleet_t *fleet = core_fleet_new (seed, N_INSTANCES, N_SERVERS);
  world->fleet = fleet;
  world->shape = shape;
  world->from_ns = SETTLED_NS + CALM_NS;
  world->until_ns = world->from_ns + for_ns;
  fleet->verbose = g_getenv ("KWF_PARTS_VERBOSE") != NULL;
  fleet->data = world;
  fleet->draw = draw;
  fleet->crashes = crashes;
  fleet->service_ns = 700 * CORE_FLEET_MS;
  core_fleet_run (fleet, SETTLED_NS);
  return world;
}

static void
world_free (world_t *world)
{
  core_fleet_free (world->fleet);
  g_free (world);
}

static void
run_callers (const world_t *world, int64_t until_ns)
{
  core_fleet_run_callers (world->fleet, SOUND_PER_S + BAD_PER_S, until_ns);
}

/* Part of the sound requests sent from FROM_NS on, before UNTIL_NS, that were
   served.  N_BLAMED: those that were refused as crashing servers.  */
static double
sound_served (const world_t *world, int64_t from_ns, int64_t until_ns,
              int *n_blamed)
{
  int n = 0;
  int n_served = 0;
  *n_blamed = 0;
  for (guint i = 0; i < world->fleet->requests->len; i++)
    {
      const core_fleet_request_t *request
          = &g_array_index (world->fleet->requests, core_fleet_request_t, i);
      if (bad_part_of (request) >= 0 || request->sent_ns < from_ns
          || request->sent_ns >= until_ns)
        continue;
      n++;
      n_served += request->status == 200;
      *n_blamed += request->blamed;
    }
  return n ? (double)n_served / n : 0;
}

/* Prints what became of the bad parts; returns the number of broken rules.  */
static int
check_parts (const world_t *world, const char *name, uint64_t seed)
{
  int failures = 0;
  for (int i = 0; i < N_BAD; i++)
    {
      const bad_part_t *part = &world->parts[i];
      if (!part->n_arrived)
        continue;
      print_message ("%s, seed %d, part %d: %d servers ended, %d requests "
                     "reached one, %d too late\n",
                     name, (int)seed, i, part->n_ended, part->n_arrived,
                     part->n_late);
      failures += part->n_late > RULE_LATE;
    }
  return failures;
}

static const char *const shape_names[N_SHAPES]
    = { "none", "middle", "first", "two", "pair" };

/* Guards against requests with one part in their prompts that crash server
   after server, and against sound ones that are refused beside them.  */
static void
part_crashes_server_after_server (void **state)
{
  (void)state;
  int failures = 0;
  for (shape_t shape = SHAPE_MIDDLE; shape < N_SHAPES; shape++)
    for (uint64_t seed = 1; seed <= 4; seed++)
      {
        int n_blamed;
        world_t *world = world_new (seed, shape, 30 * KWF_NS_PER_S);
        run_callers (world, world->until_ns);
        core_fleet_run (world->fleet, world->until_ns + 5 * KWF_NS_PER_S);
        failures += check_parts (world, shape_names[shape], seed);
        double first
            = sound_served (world, world->from_ns,
                            world->from_ns + 6 * KWF_NS_PER_S, &n_blamed);
        print_message ("  sound ones served: %.3f at first, %d blamed; ",
                       first, n_blamed);
        double later = sound_served (world, world->from_ns + 10 * KWF_NS_PER_S,
                                     world->until_ns, &n_blamed);
        print_message ("%.3f later, %d blamed\n", later, n_blamed);
        failures += n_blamed > 0 || later < 0.97;
        world_free (world);
      }
  assert_int_equal (failures, 0);
}

/* Guards against sound requests that are blamed where servers end for other
   reasons, one by one and several at the same moment.  */
static void
sound_part_is_blamed (void **state)
{
  (void)state;
  int failures = 0;
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      int n_blamed;
      world_t *world = world_new (seed, SHAPE_NONE, 30 * KWF_NS_PER_S);
      core_fleet_t *fleet = world->fleet;
      while (fleet->now_ns < world->until_ns)
        {
          run_callers (world, fleet->now_ns + KWF_NS_PER_S / 2);
          int n = core_fleet_random (fleet, 8) ? 1 : 6;
          for (int i = 0; i < n; i++)
            core_fleet_crash_server (fleet,
                                     (int)core_fleet_random (fleet, N_SERVERS),
                                     2 * KWF_NS_PER_S);
        }
      core_fleet_run (fleet, world->until_ns + 5 * KWF_NS_PER_S);
      double served = sound_served (world, 0, world->until_ns, &n_blamed);
      print_message ("seed %d: %.3f served, %d blamed\n", (int)seed, served,
                     n_blamed);
      failures += n_blamed > 0;
      world_free (world);
    }
  assert_int_equal (failures, 0);
}

/* Faults of two instances at most, and servers that end for other reasons, in
   random order.  */
static void
run_schedule (world_t *world)
{
  core_fleet_t *fleet = world->fleet;
  int faulty[2] = { -1, -1 };
  while (fleet->now_ns < world->until_ns)
    {
      int64_t gap_ns
          = (int64_t)(100 + core_fleet_random (fleet, 1900)) * CORE_FLEET_MS;
      run_callers (world, fleet->now_ns + gap_ns);
      int *index = &faulty[core_fleet_random (fleet, 2)];
      if (core_fleet_random (fleet, 4) == 0)
        core_fleet_crash_server (fleet,
                                 (int)core_fleet_random (fleet, N_SERVERS),
                                 3 * KWF_NS_PER_S);
      else if (*index >= 0)
        {
          core_fleet_change_fault (fleet, *index);
          *index = -1;
        }
      else
        {
          int next = (int)core_fleet_random (fleet, N_INSTANCES);
          if (next == faulty[0] || next == faulty[1])
            continue;
          *index = next;
          core_fleet_change_fault (fleet, next);
        }
    }
  for (int i = 0; i < 2; i++)
    if (faulty[i] >= 0)
      core_fleet_change_fault (fleet, faulty[i]);
  core_fleet_run (fleet, fleet->now_ns + 10 * KWF_NS_PER_S);
}

static int
schedules (void)
{
  const char *text = g_getenv ("KWF_PARTS_SCHEDULES");
  return text ? (int)g_ascii_strtoll (text, NULL, 10) : 20;
}

static int
play (uint64_t seed, bool verbose)
{
  int n_blamed;
  shape_t shape = (shape_t)(SHAPE_MIDDLE + seed % (N_SHAPES - SHAPE_MIDDLE));
  world_t *world = world_new (seed, shape, 40 * KWF_NS_PER_S);
  world->fleet->verbose |= verbose;
  run_schedule (world);
  int failures = check_parts (world, shape_names[shape], seed);
  sound_served (world, world->from_ns + 10 * KWF_NS_PER_S, world->until_ns,
                &n_blamed);
  if (n_blamed)
    print_message ("  %d sound ones blamed later\n", n_blamed);
  failures += n_blamed > 0;
  world_free (world);
  return failures;
}

/* Guards against a part that is sent on, or a sound one that is refused, while
   instances are killed, started, frozen and cut off and servers end for other
   reasons.  */
static void
part_is_sent_on_after_a_fault (void **state)
{
  (void)state;
  const char *only = g_getenv ("KWF_PARTS_SEED");
  uint64_t first = only ? g_ascii_strtoull (only, NULL, 10) : 1;
  uint64_t last = only ? first : (uint64_t)schedules ();
  int failures = 0;
  for (uint64_t seed = first; seed <= last; seed++)
    failures += play (seed, only != NULL);
  assert_int_equal (failures, 0);
}

/* Guards against a part that is forgotten when all instances are killed.  */
static void
part_is_forgotten_by_a_new_fleet (void **state)
{
  (void)state;
  world_t *world = world_new (1, SHAPE_MIDDLE, 30 * KWF_NS_PER_S);
  core_fleet_t *fleet = world->fleet;
  run_callers (world, world->from_ns + 10 * KWF_NS_PER_S);
  int n_before = world->parts[0].n_arrived;
  for (int i = 0; i < N_INSTANCES; i++)
    core_fleet_kill (fleet, i);
  for (int i = 0; i < N_INSTANCES; i++)
    core_fleet_start (fleet, i);
  run_callers (world, world->until_ns);
  core_fleet_run (fleet, world->until_ns + 5 * KWF_NS_PER_S);
  int n_after = world->parts[0].n_arrived - n_before;
  print_message ("%d requests before, %d after the start\n", n_before,
                 n_after);
  int failures = check_parts (world, "all killed", 1);
  world_free (world);
  assert_int_equal (failures, 0);
  assert_in_range (n_after, 0, RULE_LATE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (part_crashes_server_after_server),
    cmocka_unit_test (sound_part_is_blamed),
    cmocka_unit_test (part_is_sent_on_after_a_fault),
    cmocka_unit_test (part_is_forgotten_by_a_new_fleet),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
