/* Leader election: which instance sends orders, and with which fencing
   token.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/revision.h"

#define B_JOINS                                                               \
  "{\"incarnation\":1,\"counter\":1,\"peer_address\":\"127.0.0.1:9\"}"
#define OTHER_LEADS "{\"instance\":\"b\",\"incarnation\":1}"

/* Let the engines that were probed in the last step report that they have
   model "m" and have accepted three orders.  */
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

/* Handle the engine's reply to ORDER.  */
static void
answer_order (core_world_t *world, const kwf_order_t *order, int status,
              const char *code)
{
  char id[32];
  char server[8];
  g_strlcpy (id, order->id, sizeof id);
  g_strlcpy (server, order->server, sizeof server);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ORDER_REPLY,
                                          .order = { .id = id,
                                                     .server = server,
                                                     .status = status,
                                                     .code = code } });
}

static const kwf_order_t *
find_order (const core_world_t *world)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_ORDER);
  return effect ? &effect->order : NULL;
}

/* Advance the clock by MS in steps of 50 ms, with requests for a model that no
   engine has.  Return the first order, or NULL.  */
static const kwf_order_t *
advance_until_order (core_world_t *world, int64_t ms)
{
  static kwf_handle_t handle;
  const kwf_order_t *order = NULL;
  for (int64_t at = 0; at < ms && !order; at += 50)
    {
      core_world_request (world, ++handle, "/draft/x", "n");
      if (!(order = find_order (world)))
        answer_probes (world);
      if (!order && !(order = find_order (world)))
        core_world_advance (world, 50);
      if (!order && !(order = find_order (world)))
        answer_probes (world);
      if (!order)
        order = find_order (world);
    }
  return order;
}

/* Guards against orders without a fencing token, and against a first order
   with an order count that no engine has reported.  */
static void
first_holder_orders_at_once (void **state)
{
  core_world_t *world = *state;
  const kwf_order_t *order = advance_until_order (world, 2000);
  assert_non_null (order);
  assert_string_equal (order->order, "load");
  assert_string_equal (order->model, "n");
  assert_string_equal (order->holder, "a");
  assert_true (order->fence > 0 && order->fence <= world->revision);
  assert_int_equal (order->after, 3);
}

/* Guards against two instances that send orders.  */
static void
another_holder_ends_the_orders (void **state)
{
  core_world_t *world = *state;
  core_world_row (world, "duty/placement", OTHER_LEADS);
  assert_null (advance_until_order (world, 1400));
}

/* Guards against orders of the former leader that arrive after those of its
   successor: the successor waits for lease_ns, and its token is higher.  */
static void
successor_waits_for_late_orders (void **state)
{
  core_world_t *world = *state;
  core_world_row (world, "duty/placement", OTHER_LEADS);
  int64_t token = world->revision;
  int64_t began_ns = world->clock.now_ns;
  const kwf_order_t *order = advance_until_order (world, 10000);
  assert_non_null (order);
  assert_true (world->clock.now_ns - began_ns >= 3500 * KWF_NS_PER_MS);
  assert_true (order->fence > token);
}

/* Guards against a leader that doesn't notice that it was replaced.  */
static void
refused_token_ends_the_orders (void **state)
{
  core_world_t *world = *state;
  const kwf_order_t *order = advance_until_order (world, 2000);
  assert_non_null (order);
  int64_t token = order->fence;
  answer_order (world, order, 412, "stale_fence");
  assert_null (core_world_effect (world, KWF_FX_ORDER));
  const kwf_order_t *next = advance_until_order (world, 2000);
  assert_true (!next || next->fence > token);
}

/* Guards against orders that are refused for good after an upgrade, or after
   one that is taken back, where the store names an era: the tokens of builds
   without eras are the versions of the row.  */
static void
tokens_of_two_builds_are_not_in_order (void **state)
{
  core_world_t *world = *state;
  world->revision = revision_make (1, world->revision + 9);
  core_world_row (world, "duty/placement", OTHER_LEADS);
  int64_t token = revision_version (world->revision);
  const kwf_order_t *order = advance_until_order (world, 10000);
  assert_non_null (order);
  assert_true (order->fence > token);
  assert_true (order->fence <= revision_version (world->revision));
  /* A leader of a build with eras came before.  */
  token = order->fence;
  answer_order (world, order, 412, "stale_fence");
  order = advance_until_order (world, 10000);
  assert_non_null (order);
  assert_true (order->fence > revision_make (1, token));
}

/* Guards against tokens that go back when the store comes back from an older
   copy.  */
static void
tokens_go_back_with_the_store (void **state)
{
  core_world_t *world = *state;
  world->revision = revision_make (1, world->revision + 9);
  core_world_row (world, "duty/placement",
                  "{\"instance\":\"b\",\"incarnation\":1,\"base_era\":1}");
  int64_t before = revision_version (world->revision);
  world->revision = revision_make (2, before - 5);
  core_world_row (world, "duty/placement",
                  "{\"instance\":\"b\",\"incarnation\":1,\"base_era\":1}");
  const kwf_order_t *order = advance_until_order (world, 10000);
  assert_non_null (order);
  assert_true (order->fence > before);
}

/* Whether this instance notified "b" in the last step that its lease
   expired.  */
static bool
notifies_expiry (const core_world_t *world)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_PEER_SEND
          && effect->send.message.type == KWF_MSG_LEADERSHIP_EXPIRED
          && strcmp (effect->send.instance, "b") == 0)
        return true;
    }
  return false;
}

/* Number of 50 ms steps of the next MS that had an order.  */
static int
count_orders (core_world_t *world, int64_t ms)
{
  int count = 0;
  for (int64_t at = 0; at < ms; at += 50)
    count += advance_until_order (world, 50) != NULL;
  return count;
}

/* Guards against a leader that is cut off from the table and continues while
   its successor starts, with engines that accept any token.  */
static void
unproved_right_ends (void **state)
{
  core_world_t *world = *state;
  const kwf_order_t *order = advance_until_order (world, 2000);
  assert_non_null (order);
  answer_order (world, order, 500, "");
  core_world_row (world, "session/b", B_JOINS);
  world->silent = true;
  core_world_advance (world, 500);
  core_world_advance (world, 500);
  assert_true (notifies_expiry (world));
  assert_int_equal (count_orders (world, 5000), 0);
  world->silent = false;
  core_world_advance (world, 2000);
  assert_non_null (advance_until_order (world, 3000));
}

/* Guards against an order that leaves after the lease has expired: nothing of
   it may be sent after its timeout, which must be within the lease of 1 s.  */
static void
order_ends_with_the_right (void **state)
{
  core_world_t *world = *state;
  const kwf_order_t *order = advance_until_order (world, 2000);
  assert_non_null (order);
  assert_true (order->timeout_ns > 0);
  assert_true (order->timeout_ns <= KWF_NS_PER_S);
}

/* Guards against a process that is suspended, resumes after its lease expired
   and still acts as the leader.  */
static void
frozen_holder_has_no_right (void **state)
{
  core_world_t *world = *state;
  assert_non_null (advance_until_order (world, 2000));
  world->silent = true;
  core_world_advance (world, 4000);
  assert_null (core_world_effect (world, KWF_FX_ORDER));
  assert_null (advance_until_order (world, 200));
}

/* Guards against a successor that starts before the former leader's orders can
   have ended: without token checks it waits for lease_ns and the duration of a
   lease.  */
static void
unchecked_successor_waits_longer (void **state)
{
  core_world_t *world = *state;
  core_world_row (world, "duty/placement", OTHER_LEADS);
  int64_t began_ns = world->clock.now_ns;
  assert_non_null (advance_until_order (world, 10000));
  assert_true (world->clock.now_ns - began_ns >= 4500 * KWF_NS_PER_MS);
}

/* Guards against a fleet without a leader: a leader that is linked but doesn't
   reach the table must be replaced.  */
static void
lapsed_holder_is_replaced (void **state)
{
  core_world_t *world = *state;
  core_world_row (world, "session/b", B_JOINS);
  core_world_row (world, "duty/placement", OTHER_LEADS);
  int64_t token = world->revision;
  kwf_message_t expired_message = { .type = KWF_MSG_LEADERSHIP_EXPIRED,
                                    .leadership_expired = token - 1 };
  kwf_event_t event = {
    .type = KWF_EV_PEER_MESSAGE,
    .peer = { .instance = "b", .incarnation = 1, .message = &expired_message }
  };
  core_world_step (world, &event);
  assert_null (advance_until_order (world, 6000));
  expired_message.leadership_expired = token;
  core_world_step (world, &event);
  assert_non_null (advance_until_order (world, 4000));
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
    cmocka_unit_test_setup_teardown (tokens_of_two_builds_are_not_in_order,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (tokens_go_back_with_the_store,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (refused_token_ends_the_orders,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (
        unproved_right_ends, core_world_setup_unchecked, core_world_teardown),
    cmocka_unit_test_setup_teardown (order_ends_with_the_right,
                                     core_world_setup_unchecked,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (frozen_holder_has_no_right,
                                     core_world_setup_unchecked,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (unchecked_successor_waits_longer,
                                     core_world_setup_unchecked,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (lapsed_holder_is_replaced,
                                     core_world_setup_unchecked,
                                     core_world_teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
