/* Which instance gives orders, and with which token.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"

#define OTHER_HOLDS "{\"instance\":\"b\",\"incarnation\":1}"

/* Engines that answer the question of the last step: they hold "m" and have
   accepted three orders.  */
static void
answer_probes (core_world_t *world)
{
  static const kwf_resident_t model = { .name = "m", .version = "" };
  bool asked[2] = { false, false };
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_PROBE)
        asked[strcmp (effect->probe.server, "e2") == 0] = true;
    }
  for (int i = 0; i < 2; i++)
    if (asked[i])
      core_world_step (world,
                       &(kwf_event_t){ .type = KWF_EV_REPORT,
                                       .report = { .server = i ? "e2" : "e1",
                                                   .valid = true,
                                                   .incarnation = 1,
                                                   .fencing = true,
                                                   .resume = true,
                                                   .orders = 3,
                                                   .models = &model,
                                                   .n_models = 1 } });
}

static const kwf_order_t *
find_order (const core_world_t *world)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_ORDER);
  return effect ? &effect->order : NULL;
}

/* Let MS pass in steps of 50 ms, in which requests come for a model that no
   engine holds; return the first order, or NULL.  */
static const kwf_order_t *
pass (core_world_t *world, int64_t ms)
{
  static kwf_handle_t handle;
  const kwf_order_t *order = NULL;
  for (int64_t at = 0; at < ms && !order; at += 50)
    {
      core_world_request (world, ++handle, "/draft/x", "n");
      if (!(order = find_order (world)))
        answer_probes (world);
      if (!order && !(order = find_order (world)))
        core_world_pass (world, 50);
      if (!order && !(order = find_order (world)))
        answer_probes (world);
      if (!order)
        order = find_order (world);
    }
  return order;
}

/* Guards against orders without a token, and against a first order from a
   number that nobody has told.  */
static void
first_holder_orders_at_once (void **state)
{
  core_world_t *world = *state;
  const kwf_order_t *order = pass (world, 1000);
  assert_non_null (order);
  assert_string_equal (order->order, "load");
  assert_string_equal (order->model, "n");
  assert_string_equal (order->holder, "a");
  assert_true (order->fence > 0 && order->fence <= world->revision);
  assert_int_equal (order->after, 3);
}

/* Guards against two instances that give orders.  */
static void
another_holder_ends_the_orders (void **state)
{
  core_world_t *world = *state;
  core_world_row (world, "duty/placement", OTHER_HOLDS);
  assert_null (pass (world, 1400));
}

/* Guards against orders of the instance before that arrive after those of its
   successor: it waits for the lease, and its token is higher.  */
static void
successor_waits_for_late_orders (void **state)
{
  core_world_t *world = *state;
  core_world_row (world, "duty/placement", OTHER_HOLDS);
  int64_t token = world->revision;
  int64_t began_ns = world->clock.now_ns;
  const kwf_order_t *order = pass (world, 10000);
  assert_non_null (order);
  assert_true (world->clock.now_ns - began_ns >= 3500 * KWF_NS_PER_MS);
  assert_true (order->fence > token);
}

/* Guards against a holder that was replaced without noticing.  */
static void
refused_token_ends_the_orders (void **state)
{
  core_world_t *world = *state;
  const kwf_order_t *order = pass (world, 1000);
  assert_non_null (order);
  kwf_event_t refused = { .type = KWF_EV_ORDER_REPLY };
  int64_t token = order->fence;
  char id[32];
  char server[8];
  g_strlcpy (id, order->id, sizeof id);
  g_strlcpy (server, order->server, sizeof server);
  refused.order.id = id;
  refused.order.server = server;
  refused.order.status = 412;
  refused.order.code = "stale_fence";
  core_world_step (world, &refused);
  assert_null (core_world_effect (world, KWF_FX_ORDER));
  const kwf_order_t *next = pass (world, 1000);
  assert_true (!next || next->fence > token);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (first_holder_orders_at_once,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (another_holder_ends_the_orders,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (successor_waits_for_late_orders,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (refused_token_ends_the_orders,
                                     core_world_setup_servers,
                                     core_world_teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
