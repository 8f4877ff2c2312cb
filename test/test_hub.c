/* Which instances of a large fleet are hubs, and the consequences: links,
   roles, the addresses for callers, the list of unreachable members.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/request.h"
#include "lib/share-state.h"

enum
{
  CENTRES = 3,
  LARGE = 4, /* members with many cores in each data centre */
  SMALL = 16
};

/* A member's name: data centre, "l" or "s" for its size, number.  The instance
   under test is "a" in data centre "c".  */
static void
name_of (char name[16], int centre, bool large, int number)
{
  g_snprintf (name, 16, "%c%c%02d", 'c' + centre, large ? 'l' : 's', number);
}

static void
add_row (core_world_t *world, const char *name, double cores)
{
  char key[32];
  char value[256];
  g_snprintf (key, sizeof key, "session/%s", name);
  g_snprintf (value, sizeof value,
              "{\"incarnation\":1,\"counter\":1,\"data_centre\":\"%c\","
              "\"peer_address\":\"127.0.0.1:9\","
              "\"caller_address\":\"%s\",\"cores\":%g}",
              name[0], name, cores);
  kwf_row_t row = { key, ++world->revision, value };
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ROWS,
                                   .rows = { .revision = world->revision,
                                             .rows = &row,
                                             .n_rows = 1 } });
}

static void
link_is (core_world_t *world, const char *name, bool up)
{
  core_world_step (
      world, &(kwf_event_t){ .type = up ? KWF_EV_PEER_UP : KWF_EV_PEER_DOWN,
                             .peer = { .instance = name, .incarnation = 1 } });
}

static int n_linked; /* links that were requested */

static void
count_links (const core_world_t *world)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    n_linked += kwf_effects_at (world->effects, i)->type == KWF_FX_PEER_LINK;
}

/* The fleet joins.  This instance, which has one core, is a hub if the large
   members have less.  */
static void
join_all (core_world_t *world, double large_cores, double small_cores)
{
  char name[16];
  n_linked = 0;
  for (int centre = 0; centre < CENTRES; centre++)
    for (int i = 0; i < LARGE + SMALL; i++)
      {
        name_of (name, centre, i < LARGE, i);
        add_row (world, name, i < LARGE ? large_cores : small_cores);
        count_links (world);
      }
}

static void
link_hubs (core_world_t *world, bool up)
{
  char name[16];
  for (int centre = 0; centre < CENTRES; centre++)
    for (int i = 0; i < 3; i++)
      {
        name_of (name, centre, true, i);
        link_is (world, name, up);
      }
}

typedef struct
{
  int near;
  int all;
  bool unreachable; /* "cs10" is among them */
} addresses_t;

static void
take_address (const char *address, const char *data_centre, void *data)
{
  addresses_t *addresses = data;
  addresses->all++;
  addresses->near += strcmp (data_centre, "c") == 0;
  addresses->unreachable |= strcmp (address, "cs10") == 0;
}

static addresses_t
addresses_of (const core_world_t *world, size_t most)
{
  addresses_t addresses = { 0 };
  kwf_core_addresses (world->core, "c", most, take_address, &addresses);
  return addresses;
}

/* Guards against a number of links that grows with the fleet, and against a
   small instance that takes a role for which it has no links.  */
static void
small_instance_links_to_hubs_only (void **state)
{
  core_world_t *world = *state;
  join_all (world, 2, 0.5);
  /* Some links were requested while the fleet was small.  */
  assert_true (n_linked <= 24 + CENTRES * 3);
  link_hubs (world, true);
  core_world_advance (world, 4000);
  assert_true (kwf_core_feed_max_age_ns (world->core) > KWF_NS_PER_S);
  /* Without any hub it polls the platform at long intervals, not all the
     time.  */
  link_hubs (world, false);
  core_world_advance (world, 4000);
  assert_true (kwf_core_feed_max_age_ns (world->core) > KWF_NS_PER_S);
  for (int64_t ms = 0; ms < 10000; ms += 100)
    {
      core_world_advance (world, 100);
      assert_null (core_world_effect (world, KWF_FX_ORDER));
      assert_null (core_world_effect (world, KWF_FX_STORE));
    }
}

/* Guards against answers that always list the first 64 addresses by name,
   against addresses of members that the hubs do not reach, and against members
   that are left out because they have no link to this instance.  */
static void
addresses_are_spread (void **state)
{
  core_world_t *world = *state;
  join_all (world, 2, 0.5);
  link_hubs (world, true);
  addresses_t all = addresses_of (world, 100);
  assert_true (all.unreachable);
  assert_true (all.all >= CENTRES * (SMALL + 3));
  addresses_t some = addresses_of (world, 16);
  assert_int_equal (some.all, 16);
  assert_int_equal (some.near, 12);
  const char *const names[] = { "cs10" };
  kwf_message_t unreachable
      = { .type = KWF_MSG_UNREACHABLE, .unreachable = { names, 1 } };
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                   .peer = { .instance = "cl00",
                                             .incarnation = 1,
                                             .message = &unreachable } });
  assert_false (addresses_of (world, 100).unreachable);
  /* A list of unreachable members that no hub repeats expires.  */
  core_world_advance (world, 4000);
  assert_true (addresses_of (world, 100).unreachable);
}

/* Guards against callers that are directed to a dead instance: where no hub
   tells which instances are up, and after this process stood still.  */
static void
dead_instance_is_not_named (void **state)
{
  (void)state;
  core_world_t world;
  core_world_start_regions (&world);
  join_all (&world, 2, 0.5);
  link_hubs (&world, true);
  assert_int_equal (addresses_of (&world, 100).all, 1 + CENTRES * 3);
  kwf_message_t none = { .type = KWF_MSG_UNREACHABLE };
  const kwf_event_t list
      = { .type = KWF_EV_PEER_MESSAGE,
          .peer = { "cl00", .incarnation = 1, .message = &none } };
  core_world_step (&world, &list);
  assert_true (addresses_of (&world, 100).unreachable);
  /* All hubs are killed, then "cs10" is.  */
  link_hubs (&world, false);
  for (int64_t ms = 0; ms < 4100; ms += 100)
    core_world_advance (&world, 100);
  assert_int_equal (addresses_of (&world, 100).all, 1);
  link_hubs (&world, true);
  core_world_step (&world, &list);
  assert_true (addresses_of (&world, 100).unreachable);
  world.clock.now_ns += 5 * KWF_NS_PER_S;
  assert_int_equal (addresses_of (&world, 100).all, 1);
  core_world_step (&world, &list);
  assert_int_equal (addresses_of (&world, 100).all, 1);
  core_world_advance (&world, 2100);
  assert_true (addresses_of (&world, 100).unreachable);
  core_world_stop (&world);
}

/* Whether this step sends NAME a list of unreachable members with "cs10".  */
static bool
reports_unreachable (const core_world_t *world, const char *name)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type != KWF_FX_PEER_SEND
          || effect->send.message.type != KWF_MSG_UNREACHABLE
          || strcmp (effect->send.instance, name) != 0)
        continue;
      for (size_t k = 0; k < effect->send.message.unreachable.n_names; k++)
        if (strcmp (effect->send.message.unreachable.names[k], "cs10") == 0)
          return true;
    }
  return false;
}

/* Guards against instances that still direct callers to a dead member.  The
   instance under test has one core, so it is a hub if the large members have
   less.  */
static void
hub_reports_unreachable_members (void **state)
{
  core_world_t *world = *state;
  char name[16];
  join_all (world, 0.9, 0.1);
  /* A hub has links to all.  */
  assert_int_equal (n_linked, CENTRES * (LARGE + SMALL));
  for (int centre = 0; centre < CENTRES; centre++)
    for (int i = 0; i < LARGE + SMALL; i++)
      {
        name_of (name, centre, i < LARGE, i);
        link_is (world, name, true);
      }
  core_world_advance (world, 1100);
  assert_false (reports_unreachable (world, "cs11"));
  link_is (world, "cs10", false);
  core_world_advance (world, 250);
  assert_true (reports_unreachable (world, "cs11"));
  /* The members of other data centres get the list from their own hubs.  */
  assert_false (reports_unreachable (world, "ds11"));
  core_world_advance (world, 1100);
  assert_true (reports_unreachable (world, "cs11"));
}

/* Whether the last step writes the row of the shares.  */
static bool
writes_shares (const core_world_t *world)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      for (size_t k = 0;
           effect->type == KWF_FX_STORE && k < effect->store.txn.n_puts; k++)
        if (strcmp (effect->store.txn.puts[k].key, "shares") == 0)
          return true;
    }
  return false;
}

/* Guards against a first epoch of the shares that names the instances which
   the first read showed: the hubs are known 2.5 s after the start, and the
   wait of 1.2 s for further instances begins then.  This instance started 2 s
   ago.  */
static void
first_epoch_waits_for_the_hubs (void **state)
{
  core_world_t *world = *state;
  world->core->shares->epoch = 0;
  int64_t ms = 0;
  do
    core_world_advance (world, 50);
  while (!writes_shares (world) && (ms += 50) < 5000);
  assert_in_range (ms, 1600, 2500);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (small_instance_links_to_hubs_only,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (addresses_are_spread, core_world_setup,
                                     core_world_teardown),
    cmocka_unit_test (dead_instance_is_not_named),
    cmocka_unit_test_setup_teardown (hub_reports_unreachable_members,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (first_epoch_waits_for_the_hubs,
                                     core_world_setup, core_world_teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
