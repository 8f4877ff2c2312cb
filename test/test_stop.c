/* A stop that has a limit, on a fake clock: what the stopping instance takes
   ends before the limit, what it does not take is refused at once.  */

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/lists-build.h"

#define SERVE_MS 2800
#define LIMIT_MS 7700
#define STEP_MS 20
/* Calls before the stop of a schedule.  */
#define WARM_MS 30000
/* KWF_STOPS sets another number of schedules, KWF_STOP_SEED the first seed. */
#define N_STOPS 40
/* Chance of a step to start a call of each kind.  */
#define CALL_CHANCE 0.04
/* Mean duration of the calls of each kind; each is served by a route that may
   be repeated and by one that may not.  */
static const double means_s[] = { 0.1, 0.3, 0.7, 1.5, 3, 6, 12, 20 };
#define N_KINDS (2 * G_N_ELEMENTS (means_s))
/* Of calls up to this mean, at most one in a hundred may be refused while the
   instance takes requests.  */
#define SHORT_S 0.3

/* Publish a configuration with the routes /kN/, repeatable if N is odd.  */
static void
use_routes (core_world_t *world)
{
  static const kwf_split_t desk = { "desk", 1 };
  static const kwf_key_grant_t key = { "k", "o" };
  kwf_lists_t *lists = lists_new ();
  lists_add_service (lists, &(kwf_service_t){ .name = "desk" });
  lists_add_organisation (
      lists, &(kwf_organisation_t){ .name = "o", .plan = "", .branch = "" });
  for (size_t i = 0; i < N_KINDS; i++)
    {
      char *prefix = g_strdup_printf ("/k%zu/", i);
      lists_add_route (lists,
                       &(kwf_route_t){ .name = prefix,
                                       .host = "h.example",
                                       .prefix = prefix,
                                       .splits = &desk,
                                       .n_splits = 1,
                                       .idempotent = i % 2,
                                       .max_attempts = 2,
                                       .timeout_ns = 60 * KWF_NS_PER_S });
      g_free (prefix);
    }
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_CONFIG,
                                          .config = { .version = 2,
                                                      .lists = &lists,
                                                      .keys = &key,
                                                      .n_keys = 1 } });
}

static void
start_world (core_world_t *world)
{
  core_world_start_grace (world, SERVE_MS, LIMIT_MS);
  use_routes (world);
  core_world_servers (world);
}

static int
set_up (void **state)
{
  core_world_t *world = g_new (core_world_t, 1);
  start_world (world);
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

static void
end_attempt (core_world_t *world, kwf_handle_t request, kwf_handle_t attempt)
{
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = attempt,
                                                       .request = request,
                                                       .status = 200,
                                                       .body = "ok",
                                                       .body_size = 2 } });
}

static void
break_attempt (core_world_t *world, kwf_handle_t request, kwf_handle_t attempt)
{
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = attempt,
                                          .request = request,
                                          .failure = KWF_FAIL_BROKEN } });
}

/* Make N calls to PATH that take MS each.  */
static void
make_calls (core_world_t *world, const char *path, int n, int64_t ms)
{
  for (int i = 0; i < n; i++)
    {
      kwf_handle_t handle = 100000 + (kwf_handle_t)i;
      core_world_request (world, handle, path, NULL);
      kwf_handle_t attempt = sent (world);
      assert_int_not_equal (attempt, 0);
      core_world_advance (world, ms);
      end_attempt (world, handle, attempt);
    }
}

static void
assert_refused (const core_world_t *world, int status)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_REPLY);
  assert_int_equal (sent (world), 0);
  assert_non_null (effect);
  assert_int_equal (effect->reply.status, status);
  assert_string_equal (effect->reply.code, "stopping");
}

/* Guards against a call that is taken late in the grace and cut at its end. */
static void
call_that_cannot_end_is_taken (void **state)
{
  core_world_t *world = *state;
  make_calls (world, "/k8/x", 30, 5000);
  make_calls (world, "/k0/x", 30, 100);
  begin_stop (world);
  core_world_advance (world, 2700);
  core_world_request (world, 1, "/k8/x", NULL);
  assert_refused (world, 503);
  const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
  assert_int_equal (reply->reply.run, KWF_RUN_NO);
  assert_int_equal (reply->reply.retry_after_ms, 0);
  core_world_request (world, 2, "/k0/x", NULL);
  assert_int_not_equal (sent (world), 0);
}

/* Guards against a call of unknown duration that is taken and cut.  */
static void
call_of_unknown_duration_is_taken (void **state)
{
  core_world_t *world = *state;
  begin_stop (world);
  core_world_request (world, 1, "/k1/x", NULL);
  assert_refused (world, 503);
}

/* Guards against the refusal of a call that ends before the limit whatever its
   server does.  */
static void
call_with_a_short_deadline_is_refused (void **state)
{
  core_world_t *world = *state;
  begin_stop (world);
  core_world_step (
      world,
      &(kwf_event_t){ .type = KWF_EV_REQUEST,
                      .request = { .handle = 1,
                                   .kind = KWF_REQUEST_ROUTED,
                                   .id = "r",
                                   .key_digest = "k",
                                   .host = "h.example",
                                   .path = "/k0/x",
                                   .timeout_ns = LIMIT_MS * KWF_NS_PER_MS,
                                   .fingerprint = 1 } });
  assert_int_not_equal (sent (world), 0);
}

/* Guards against an estimate from calls that have ended, when those that are
   open take longer.  */
static void
open_calls_show_that_servers_are_slow (void **state)
{
  core_world_t *world = *state;
  make_calls (world, "/k1/x", 30, 100);
  core_world_request (world, 1, "/k1/x", NULL);
  core_world_advance (world, 20000);
  begin_stop (world);
  core_world_request (world, 2, "/k1/x", NULL);
  assert_refused (world, 503);
}

/* Guards against a retry late in the grace that is cut at its end.  */
static void
late_retry_is_cut (void **state)
{
  core_world_t *world = *state;
  make_calls (world, "/k9/x", 30, 3000);
  core_world_request (world, 1, "/k9/x", NULL);
  kwf_handle_t attempt = sent (world);
  begin_stop (world);
  core_world_advance (world, 6000);
  break_attempt (world, 1, attempt);
  assert_refused (world, 502);
  assert_int_equal (core_world_effect (world, KWF_FX_REPLY)->reply.run,
                    KWF_RUN_UNKNOWN);
}

/* Guards against a server's own failure that is replaced by a refusal of the
   stop, when there is no time for a retry.  */
static void
failure_of_the_server_is_withheld (void **state)
{
  core_world_t *world = *state;
  make_calls (world, "/k9/x", 30, 3000);
  core_world_request (world, 1, "/k9/x", NULL);
  kwf_handle_t attempt = sent (world);
  begin_stop (world);
  core_world_advance (world, 6000);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = attempt,
                                                       .request = 1,
                                                       .status = 500 } });
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against a request that waits on when the stop begins, although it
   cannot end before the limit any more.  */
static void
waiting_request_is_held_in_a_stop (void **state)
{
  core_world_t *world = *state;
  core_world_request (world, 1, "/draft/x", "n");
  assert_int_equal (sent (world), 0);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  begin_stop (world);
  assert_refused (world, 503);
  assert_int_equal (core_world_effect (world, KWF_FX_REPLY)->reply.run,
                    KWF_RUN_NO);
}

/* One schedule: calls of all kinds, then a stop.  */
typedef struct
{
  kwf_handle_t attempt; /* 0: not open */
  size_t kind;
  int64_t end_ns;
  bool late; /* sent after the stop began */
} call_t;

typedef struct
{
  int taken; /* after the stop began */
  int refused;
  int cut;       /* taken after it began, and cut */
  int cut_once;  /* of these, not repeatable */
  int early_cut; /* taken before, and cut */
  int promised;  /* cut with a promise that nothing ran */
  int taken_of[G_N_ELEMENTS (means_s)];
  int refused_of[G_N_ELEMENTS (means_s)];
} counts_t;

typedef struct
{
  core_world_t world;
  GRand *rand;
  GArray *calls;   /* of call_t; the handle is the index plus 1 */
  int64_t stop_ns; /* 0: not yet */
  counts_t *counts;
} schedule_t;

/* Durations have a long tail: one in 300 exceeds three times the mean.  */
static int64_t
draw_duration_ns (GRand *rand, double mean_s)
{
  double u = g_rand_double_range (rand, 1e-9, 1);
  double v = g_rand_double (rand);
  double normal = sqrt (-2 * log (u)) * cos (2 * G_PI * v);
  double s = CLAMP (mean_s * exp (0.4 * normal), 0.02, 20);
  return (int64_t)(s * (double)KWF_NS_PER_S);
}

static void
count_reply (schedule_t *schedule, const kwf_reply_t *reply, bool at_arrival)
{
  counts_t *counts = schedule->counts;
  call_t *call = &g_array_index (schedule->calls, call_t, reply->request - 1);
  if (at_arrival)
    {
      counts->refused++;
      counts->refused_of[call->kind / 2]++;
      assert_int_equal (reply->status, 503);
      assert_int_equal (reply->run, KWF_RUN_NO);
    }
  else
    {
      counts->cut += call->late;
      counts->cut_once += call->late && call->kind % 2 == 0;
      counts->early_cut += !call->late;
      counts->promised += reply->status == 503;
    }
  call->attempt = 0;
}

static void
count_replies (schedule_t *schedule, bool at_arrival)
{
  for (size_t i = 0; i < kwf_effects_count (schedule->world.effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (schedule->world.effects, i);
      if (effect->type == KWF_FX_REPLY)
        count_reply (schedule, &effect->reply, at_arrival);
    }
}

static void
start_call (schedule_t *schedule, size_t kind)
{
  core_world_t *world = &schedule->world;
  int64_t duration_ns = draw_duration_ns (schedule->rand, means_s[kind / 2]);
  call_t call = { .kind = kind,
                  .end_ns = world->clock.now_ns + duration_ns,
                  .late = schedule->stop_ns };
  g_array_append_val (schedule->calls, call);
  kwf_handle_t handle = schedule->calls->len;
  char *path = g_strdup_printf ("/k%zu/x", kind);
  core_world_request (world, handle, path, NULL);
  g_free (path);
  call_t *added = &g_array_index (schedule->calls, call_t, handle - 1);
  added->attempt = sent (world);
  if (!schedule->stop_ns)
    assert_int_not_equal (added->attempt, 0);
  bool serves
      = world->clock.now_ns - schedule->stop_ns < SERVE_MS * KWF_NS_PER_MS;
  if (schedule->stop_ns && added->attempt)
    {
      schedule->counts->taken++;
      schedule->counts->taken_of[kind / 2]++;
    }
  if (!schedule->stop_ns || serves)
    count_replies (schedule, true);
}

static void
end_calls (schedule_t *schedule)
{
  for (guint i = 0; i < schedule->calls->len; i++)
    {
      call_t *call = &g_array_index (schedule->calls, call_t, i);
      if (!call->attempt || call->end_ns > schedule->world.clock.now_ns)
        continue;
      kwf_handle_t attempt = call->attempt;
      call->attempt = 0;
      end_attempt (&schedule->world, i + 1, attempt);
      assert_non_null (
          core_world_effect (&schedule->world, KWF_FX_FORWARD_END));
    }
}

static void
play_ms (schedule_t *schedule, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += STEP_MS)
    {
      core_world_advance (&schedule->world, STEP_MS);
      count_replies (schedule, false);
      end_calls (schedule);
      for (size_t kind = 0; kind < N_KINDS; kind++)
        if (g_rand_double (schedule->rand) < CALL_CHANCE)
          start_call (schedule, kind);
    }
}

static void
play_stop (guint32 seed, counts_t *counts)
{
  schedule_t schedule = { .rand = g_rand_new_with_seed (seed),
                          .calls = g_array_new (FALSE, TRUE, sizeof (call_t)),
                          .counts = counts };
  start_world (&schedule.world);
  play_ms (&schedule, WARM_MS);
  schedule.stop_ns = schedule.world.clock.now_ns;
  begin_stop (&schedule.world);
  count_replies (&schedule, false);
  play_ms (&schedule, SERVE_MS - STEP_MS);
  for (int64_t ms = SERVE_MS; ms <= LIMIT_MS; ms += STEP_MS)
    {
      core_world_advance (&schedule.world, STEP_MS);
      count_replies (&schedule, false);
      end_calls (&schedule);
    }
  core_world_stop (&schedule.world);
  g_array_free (schedule.calls, TRUE);
  g_rand_free (schedule.rand);
}

static long
number_from (const char *variable, long otherwise)
{
  const char *text = g_getenv (variable);
  return text ? strtol (text, NULL, 10) : otherwise;
}

/* Guards against calls that a stopping instance takes and cuts, and against
   one that takes none.  */
static void
calls_taken_in_a_stop_are_cut (void **state)
{
  (void)state;
  counts_t counts = { 0 };
  long n = number_from ("KWF_STOPS", N_STOPS);
  long first = number_from ("KWF_STOP_SEED", 1);
  for (long seed = first; seed < first + n; seed++)
    {
      int before = counts.cut;
      play_stop ((guint32)seed, &counts);
      if (counts.cut > before)
        print_message ("seed %ld: %d cut\n", seed, counts.cut - before);
    }
  print_message ("%ld stops: after SIGTERM %d taken, %d refused at once; %d "
                 "of the taken cut, %d of these not repeatable; %d taken "
                 "before it cut\n",
                 n, counts.taken, counts.refused, counts.cut, counts.cut_once,
                 counts.early_cut);
  assert_int_equal (counts.cut, 0);
  assert_int_equal (counts.promised, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (means_s); i++)
    {
      print_message ("%4.1f s: %d taken, %d refused\n", means_s[i],
                     counts.taken_of[i], counts.refused_of[i]);
      if (means_s[i] > SHORT_S)
        continue;
      assert_true (counts.taken_of[i] > 0);
      assert_true (counts.refused_of[i] <= counts.taken_of[i] / 100);
    }
}

#define N_FAST_FAILURES 64

/* Guards against an estimate of a kind's duration from failures that were
   fast.  */
static void
fast_failures_hide_long_calls (void **state)
{
  core_world_t *world = *state;
  make_calls (world, "/k8/x", 300, 5000);
  for (kwf_handle_t i = 0; i < N_FAST_FAILURES; i++)
    {
      kwf_handle_t request = 200000 + i;
      core_world_request (world, request, "/k8/x", NULL);
      kwf_handle_t attempt = sent (world);
      core_world_advance (world, 5);
      core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                              .attempt = { .attempt = attempt,
                                                           .request = request,
                                                           .status = 404,
                                                           .body = "" } });
    }
  begin_stop (world);
  core_world_advance (world, 2700);
  core_world_request (world, 1, "/k8/x", NULL);
  assert_int_equal (sent (world), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (call_that_cannot_end_is_taken, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (fast_failures_hide_long_calls, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (call_of_unknown_duration_is_taken, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (call_with_a_short_deadline_is_refused,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (open_calls_show_that_servers_are_slow,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (late_retry_is_cut, set_up, tear_down),
    cmocka_unit_test_setup_teardown (failure_of_the_server_is_withheld, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (waiting_request_is_held_in_a_stop,
                                     core_world_setup_servers,
                                     core_world_teardown),
    cmocka_unit_test (calls_taken_in_a_stop_are_cut),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
