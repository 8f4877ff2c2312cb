/* Limits that backend servers name for the whole fleet.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "common-core-fleet.h"

/* Time in which the instances link up and divide the rates.  */
#define SETTLED_NS (8 * KWF_NS_PER_S)

static void
assert_limit_is_kept (const core_fleet_t *fleet, uint64_t seed, int index)
{
  const core_fleet_server_t *server = &fleet->servers[index];
  print_message ("seed %d, %s: limit %g a second, at most %d in 4 s, allowed "
                 "%g\n",
                 (int)seed, server->id, server->limit, server->most,
                 core_fleet_allowed (server->limit));
  assert_int_equal (server->n_excessive, 0);
}

/* Guards against a backend server that gets more requests than the limit that
   it named, from all instances together.  */
static void
server_gets_more_than_its_limit (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      core_fleet_t *fleet = core_fleet_new (seed, 8, 2);
      core_fleet_run (fleet, SETTLED_NS);
      core_fleet_run_callers (fleet, 16, 12 * KWF_NS_PER_S);
      core_fleet_name_limit (fleet, 0, 1.9);
      core_fleet_run_callers (fleet, 16, 30 * KWF_NS_PER_S);
      assert_limit_is_kept (fleet, seed, 0);
      core_fleet_free (fleet);
    }
}

/* Guards against orders and questions of the placement that break the limit of
   an engine, and against callers that lose its models.  */
static void
placement_breaks_the_limit_of_an_engine (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      core_fleet_t *fleet = core_fleet_new_engines (seed, 8, 18, 26);
      core_fleet_run (fleet, SETTLED_NS);
      core_fleet_run_callers (fleet, 80, 16 * KWF_NS_PER_S);
      core_fleet_name_limit (fleet, 0, 1);
      core_fleet_name_limit (fleet, 1, 1.2);
      core_fleet_run_callers (fleet, 80, 60 * KWF_NS_PER_S);
      assert_limit_is_kept (fleet, seed, 0);
      assert_limit_is_kept (fleet, seed, 1);
      assert_true (
          core_fleet_served (fleet, 28 * KWF_NS_PER_S, 45 * KWF_NS_PER_S)
          >= 0.95);
      core_fleet_free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (server_gets_more_than_its_limit),
    cmocka_unit_test (placement_breaks_the_limit_of_an_engine),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
