/* Limits that backend servers name for the whole fleet.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "common-core-fleet.h"

/* Time in which the instances link up and divide the rates.  */
#define SETTLED_NS (8 * KWF_NS_PER_S)

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
      const core_fleet_server_t *server = &fleet->servers[0];
      print_message ("seed %d: limit %g a second, at most %d in 4 s, allowed "
                     "%g\n",
                     (int)seed, server->limit, server->most,
                     core_fleet_allowed (server->limit));
      assert_true (server->most <= core_fleet_allowed (server->limit));
      core_fleet_free (fleet);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (server_gets_more_than_its_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
