/* Which configurations turn the choice by expected delay on where servers do
   not report their pace, and the capacity that follows from measurements.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <math.h>
#include <stdint.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/balance/capacity.h"
#include "lib/balance/contention.h"
#include "lib/lists-build.h"
#include "lib/request.h"

static bool
marks_engines (core_world_t *world, const kwf_route_t *route)
{
  const backend_t *backend = world->core->backend;
  kwf_lists_t *lists = lists_new ();
  lists_add_route (lists, route);
  contention_mark (backend, lists);
  kwf_lists_free (lists);
  assert_false (server_is_measured (backend_find (backend, "d1")));
  return server_is_measured (backend_find (backend, "e1"));
}

/* Guards against a change for deployments without background work, and for
   plain servers.  */
static void
background_work_turns_measures_on (void **state)
{
  core_world_t *world = *state;
  kwf_route_t route = { .name = "back",
                        .host = "h.example",
                        .prefix = "/back/",
                        .stream = true,
                        .priority = 2,
                        .objective_ns = 10 * KWF_NS_PER_S };
  assert_true (marks_engines (world, &route));
  route.objective_ns--;
  assert_false (marks_engines (world, &route));
  route.objective_ns++;
  route.priority = 1;
  assert_false (marks_engines (world, &route));
  route.priority = 2;
  route.stream = false;
  assert_false (marks_engines (world, &route));
}

/* Guards against a capacity other than 1 without measurements, and against one
   that is not bounded: a gap of 100 ms leaves 200 of 300 ms; at half of the
   speed, 50 ms of that.  */
static void
capacity_follows_the_speed (void **state)
{
  (void)state;
  usual_t usual = { .log_ns = log (100e6) };
  server_t server = { .kind = KWF_MEMBER_ENGINE, .usual = &usual };
  assert_true (capacity_of (&server) == 1);
  server.contended = true;
  assert_true (capacity_of (&server) == 1);
  double weight = 1e6; /* outweighs the mean of the service */
  server.speed = (speed_t){ weight * log (200e6), weight, 0 };
  assert_float_equal (capacity_of (&server), 0.25, 0.001);
  server.speed.sum = weight * log (150e6);
  assert_float_equal (capacity_of (&server), 0.5, 0.001);
  server.speed.sum = weight * log (1e6);
  assert_float_equal (capacity_of (&server), 3, 0.001);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (background_work_turns_measures_on,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test (capacity_follows_the_speed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
