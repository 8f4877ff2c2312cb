/* Streams that have begun while an instance stops, on a fake clock: they can
   no longer be refused, only cut.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/lists-build.h"

#define SERVE_MS 2800
#define LIMIT_MS 7700
/* Engines "e1" and "e2" of 8 places each.  */
#define N_PLACES 16
#define URGENT 100 /* handle of the urgent request */

/* Publish the route /draft/, a resumable stream, and the organisations "low"
   (overnight, key digest "k") and "high" (urgent, key digest "u").  */
static void
use_priorities (core_world_t *world)
{
  static const kwf_split_t models = { "models", 1 };
  static const kwf_key_grant_t keys[] = { { "k", "low" }, { "u", "high" } };
  kwf_lists_t *lists = lists_new ();
  lists_add_service (lists, &(kwf_service_t){ .name = "models",
                                              .engine = true,
                                              .memory_mb = 200000,
                                              .adapter_slots = 8,
                                              .loads_per_s = 2 });
  lists_add_model (lists, &(kwf_model_t){ .name = "m",
                                          .service = "models",
                                          .memory_mb = 70000,
                                          .load_ns = 3 * KWF_NS_PER_S });
  lists_add_organisation (
      lists, &(kwf_organisation_t){ .name = "low",
                                    .plan = "",
                                    .branch = "",
                                    .priority = KWF_PRIORITY_OVERNIGHT });
  lists_add_organisation (
      lists, &(kwf_organisation_t){ .name = "high",
                                    .plan = "",
                                    .branch = "",
                                    .priority = KWF_PRIORITY_URGENT });
  lists_add_route (lists, &(kwf_route_t){ .name = "draft",
                                          .host = "h.example",
                                          .prefix = "/draft/",
                                          .splits = &models,
                                          .n_splits = 1,
                                          .stream = true,
                                          .resumable = true,
                                          .max_attempts = 2,
                                          .timeout_ns = 15 * KWF_NS_PER_S });
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_CONFIG,
                                          .config = { .version = 2,
                                                      .lists = &lists,
                                                      .keys = keys,
                                                      .n_keys = 2 } });
}

static int
set_up (void **state)
{
  core_world_t *world = g_new (core_world_t, 1);
  core_world_start_grace (world, SERVE_MS, LIMIT_MS);
  use_priorities (world);
  core_world_servers (world);
  *state = world;
  return 0;
}

static int
tear_down (void **state)
{
  core_world_stop (*state);
  g_free (*state);
  return 0;
}

static void
begin_stop (core_world_t *world)
{
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
}

/* The attempt that the last step started; 0: none.  */
static kwf_handle_t
sent (const core_world_t *world)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_ATTEMPT_START);
  return effect ? effect->start.attempt : 0;
}

/* Send request HANDLE and let its answer begin, if it was sent; returns the
   attempt.  */
static kwf_handle_t
start_stream (core_world_t *world, kwf_handle_t handle, const char *digest)
{
  int64_t timeout_ns = (handle >= URGENT ? 4 : 15) * KWF_NS_PER_S;
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_REQUEST,
                                   .request = { .handle = handle,
                                                .kind = KWF_REQUEST_ROUTED,
                                                .id = "r",
                                                .key_digest = digest,
                                                .host = "h.example",
                                                .path = "/draft/x",
                                                .model = "m",
                                                .timeout_ns = timeout_ns,
                                                .fingerprint = handle } });
  kwf_handle_t attempt = sent (world);
  if (attempt)
    core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                            .attempt = { .attempt = attempt,
                                                         .request = handle,
                                                         .status = 200,
                                                         .tokens = 1 } });
  return attempt;
}

/* Fill all places of the engines with overnight streams, and let an urgent
   request wait.  */
static void
fill_engines (core_world_t *world)
{
  for (kwf_handle_t i = 1; i <= N_PLACES; i++)
    assert_int_not_equal (start_stream (world, i, "k"), 0);
  assert_int_equal (start_stream (world, URGENT, "u"), 0);
}

/* The attempt that took the place of a run that was ended within MS; 0: none
   was ended.  */
static kwf_handle_t
preempting_run (core_world_t *world, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 100)
    {
      core_world_advance (world, 100);
      if (core_world_effect (world, KWF_FX_ATTEMPT_CANCEL))
        return sent (world);
    }
  return 0;
}

/* The control of the next test: without a stop, an urgent request takes the
   place of an overnight stream.  */
static void
stream_gives_way_without_a_stop (void **state)
{
  core_world_t *world = *state;
  fill_engines (world);
  assert_int_not_equal (preempting_run (world, 3000), 0);
}

/* Guards against a stopping instance that ends streams for urgent requests and
   cuts their answers, and against an urgent request that it holds until its
   deadline.  */
static void
stream_gives_way_in_a_stop (void **state)
{
  core_world_t *world = *state;
  fill_engines (world);
  begin_stop (world);
  bool is_told = false;
  for (int passed = 0; passed < 3000; passed += 100)
    {
      core_world_advance (world, 100);
      assert_null (core_world_effect (world, KWF_FX_ATTEMPT_CANCEL));
      const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
      if (!reply)
        continue;
      assert_int_equal (reply->reply.request, URGENT);
      assert_string_equal (reply->reply.code, "stopping");
      assert_int_equal (reply->reply.run, KWF_RUN_NO);
      is_told = true;
    }
  assert_true (is_told);
}

/* Guards against a stream that is cut as the stop begins while it waits to be
   resumed.  */
static void
preempted_stream_is_cut_as_the_stop_begins (void **state)
{
  core_world_t *world = *state;
  fill_engines (world);
  assert_int_not_equal (preempting_run (world, 3000), 0);
  begin_stop (world);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
}

/* Guards against a stream that waits behind urgent requests in a stop: they
   can use another instance.  */
static void
begun_stream_waits_behind_urgent_requests (void **state)
{
  core_world_t *world = *state;
  fill_engines (world);
  kwf_handle_t urgent_run = preempting_run (world, 3000);
  assert_int_not_equal (urgent_run, 0);
  begin_stop (world);
  assert_int_equal (start_stream (world, URGENT + 1, "u"), 0);
  core_world_advance (world, 100);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = urgent_run,
                                                       .request = URGENT,
                                                       .status = 200 } });
  assert_int_not_equal (sent (world), 0);
  assert_int_equal (
      core_world_effect (world, KWF_FX_ATTEMPT_START)->start.resume_from, 1);
}

/* Guards against a stream that is cut in a stop as its server breaks off,
   although another one can go on with it.  */
static void
broken_stream_is_cut_in_a_stop (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t attempt = start_stream (world, 1, "k");
  begin_stop (world);
  core_world_advance (world, 500);
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = attempt,
                                          .request = 1,
                                          .failure = KWF_FAIL_BROKEN } });
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  assert_int_not_equal (sent (world), 0);
  assert_int_equal (
      core_world_effect (world, KWF_FX_ATTEMPT_START)->start.resume_from, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (stream_gives_way_without_a_stop, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (stream_gives_way_in_a_stop, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        preempted_stream_is_cut_as_the_stop_begins, set_up, tear_down),
    cmocka_unit_test_setup_teardown (begun_stream_waits_behind_urgent_requests,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (broken_stream_is_cut_in_a_stop, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
