/* Admission by forecast: replays of overloads with several cores, whose
   servers are simulated here, and of requests for a model without a copy.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/lists-build.h"

#define MS KWF_NS_PER_MS
#define N_CORES 12
#define N_SERVERS 2
#define SLOTS 8
#define QUEUE 33
#define STEP_MS 10
#define COUNTS_MS 200 /* between two messages with the fleet's counts */
#define READ_MS 70
#define RUN_MS 2000 /* the mean; half to one and a half times that */
#define N_KINDS 2

enum
{
  URGENT,
  PATIENT
};

static const kwf_route_t kinds[N_KINDS] = {
  { .name = "urgent",
    .prefix = "/urgent/",
    .priority = 1,
    .timeout_ns = 15000 * MS,
    .objective_ns = 500 * MS },
  { .name = "patient",
    .prefix = "/patient/",
    .priority = 1,
    .timeout_ns = 30000 * MS,
    .objective_ns = 20000 * MS },
};
/* Value of an answer that is in time and of one that is late.  */
static const double values[N_KINDS][2] = { { 2.4, 0.097 }, { 0.64, 0.096 } };

/* One request of a caller; its index and the try make up the handles.  */
typedef struct
{
  int kind;
  int64_t sent_ms;  /* for the first time */
  int64_t again_ms; /* when the caller comes back; 0: it does not */
  int core;
  int n_tries;
  int n_refused;
  int64_t reached_ms; /* a server */
  int64_t first_ms;   /* first event */
  bool ended;         /* its answer is complete */
} call_t;

typedef struct
{
  int call;
  int core;
  int priority;
  kwf_handle_t attempt;
  kwf_handle_t request;
  int64_t begun_ms; /* 0: it waits */
  int64_t run_ms;
  bool answered;
} run_t;

typedef struct
{
  core_world_t cores[N_CORES];
  GArray *runs[N_SERVERS]; /* of run_t, in the order of arrival */
  GArray *calls;
  int64_t now_ms;
  int pace;   /* that the servers report; 0: none */
  int n_lost; /* callers that do not come back, since the time that they were
                 told is too late */
} replay_t;

static void
set_routes (core_world_t *world)
{
  static const kwf_split_t split = { "models", 1 };
  kwf_lists_t *lists = lists_new ();
  lists_add_service (lists, &(kwf_service_t){ .name = "models",
                                              .engine = true,
                                              .memory_mb = 200000,
                                              .loads_per_s = 2 });
  lists_add_organisation (
      lists, &(kwf_organisation_t){ .name = "o",
                                    .plan = "",
                                    .branch = "",
                                    .rate = 1e6,
                                    .burst = 1e6,
                                    .by_request = true,
                                    .priority = KWF_PRIORITY_INTERACTIVE });
  for (const char *const *name = (const char *const[]){ "m", "n", NULL };
       *name; name++)
    lists_add_model (lists, &(kwf_model_t){ .name = *name,
                                            .service = "models",
                                            .memory_mb = 70000,
                                            .load_ns = 3000 * MS });
  for (int i = 0; i < N_KINDS; i++)
    {
      kwf_route_t route = kinds[i];
      route.host = "h.example";
      route.splits = &split;
      route.n_splits = 1;
      route.stream = true;
      route.max_attempts = 2;
      lists_add_route (lists, &route);
    }
  static const kwf_key_grant_t key = { "k", "o" };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_CONFIG,
                                          .config = { .version = 2,
                                                      .lists = &lists,
                                                      .keys = &key,
                                                      .n_keys = 1 } });
}

static void
start_core (core_world_t *world, bool predicted)
{
  core_world_start_admission (world, predicted);
  set_routes (world);
  core_world_servers (world);
}

static int
n_running (const GArray *runs)
{
  int n = 0;
  for (guint i = 0; i < runs->len; i++)
    n += g_array_index (runs, run_t, i).begun_ms > 0;
  return n;
}

static void carry_out (replay_t *replay, int core);

static void
feed (replay_t *replay, int core, const kwf_event_t *event)
{
  core_world_step (&replay->cores[core], event);
  carry_out (replay, core);
}

/* An answer of SERVER, with its load.  */
static void
answer (replay_t *replay, int server, const run_t *run, kwf_event_type_t type,
        int status)
{
  const GArray *runs = replay->runs[server];
  int running = n_running (runs);
  feed (replay, run->core,
        &(kwf_event_t){ .type = type,
                        .attempt = { .attempt = run->attempt,
                                     .request = run->request,
                                     .tokens = 4,
                                     .status = status,
                                     .not_run = status == 503,
                                     .has_load = true,
                                     .running = running,
                                     .waiting = (int)runs->len - running,
                                     .slots = SLOTS,
                                     .pace = replay->pace } });
}

static void
start_run (replay_t *replay, int core, const kwf_attempt_start_t *start)
{
  int server = start->server[1] - '1';
  run_t run
      = { .call = (int)start->request / 4,
          .core = core,
          .priority = start->priority,
          .attempt = start->attempt,
          .request = start->request,
          .run_ms = RUN_MS / 2 + (int64_t)start->request * 7919 % RUN_MS };
  call_t *call = &g_array_index (replay->calls, call_t, run.call);
  if (replay->runs[server]->len >= SLOTS + QUEUE)
    {
      answer (replay, server, &run, KWF_EV_ATTEMPT_END, 503);
      return;
    }
  if (!call->reached_ms)
    call->reached_ms = replay->now_ms;
  g_array_append_val (replay->runs[server], run);
}

static void
handle_reply (replay_t *replay, const kwf_reply_t *reply)
{
  call_t *call = &g_array_index (replay->calls, call_t, reply->request / 4);
  call->n_refused++;
  int64_t left_ms
      = call->sent_ms + kinds[call->kind].timeout_ns / MS - replay->now_ms;
  bool honoured
      = reply->retry_after_ms >= 0 && reply->retry_after_ms <= left_ms / 3;
  replay->n_lost += !honoured;
  if (call->n_tries == 1 && honoured)
    call->again_ms = replay->now_ms + reply->retry_after_ms;
}

/* The effects are copied, since carrying one out replaces them.  */
static void
carry_out (replay_t *replay, int core)
{
  const kwf_effects_t *effects = replay->cores[core].effects;
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (kwf_effect_t));
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    g_array_append_vals (copies, kwf_effects_at (effects, i), 1);
  for (guint i = 0; i < copies->len; i++)
    {
      const kwf_effect_t *effect = &g_array_index (copies, kwf_effect_t, i);
      if (effect->type == KWF_FX_ATTEMPT_START)
        start_run (replay, core, &effect->start);
      else if (effect->type == KWF_FX_REPLY)
        handle_reply (replay, &effect->reply);
    }
  g_array_free (copies, TRUE);
}

static void
send_call (replay_t *replay, guint index)
{
  call_t *call = &g_array_index (replay->calls, call_t, index);
  call->again_ms = 0;
  call->core = (call->core + 5 * call->n_tries++) % N_CORES;
  const kwf_route_t *kind = &kinds[call->kind];
  int64_t left_ns = kind->timeout_ns - (replay->now_ms - call->sent_ms) * MS;
  kwf_handle_t handle = (kwf_handle_t)index * 4 + (kwf_handle_t)call->n_tries;
  feed (replay, call->core,
        &(kwf_event_t){ .type = KWF_EV_REQUEST,
                        .request = { .handle = handle,
                                     .kind = KWF_REQUEST_ROUTED,
                                     .id = "r",
                                     .key_digest = "k",
                                     .host = "h.example",
                                     .path = kind->prefix,
                                     .model = "m",
                                     .timeout_ns = left_ns,
                                     .fingerprint = handle } });
}

/* Admit waiting runs, by priority, then by arrival; send first events and
   ends.  */
static void
step_server (replay_t *replay, int server)
{
  GArray *runs = replay->runs[server];
  for (int running = n_running (runs); running < SLOTS; running++)
    {
      run_t *next = NULL;
      for (guint i = 0; i < runs->len; i++)
        {
          run_t *run = &g_array_index (runs, run_t, i);
          if (!run->begun_ms && (!next || run->priority < next->priority))
            next = run;
        }
      if (!next)
        break;
      next->begun_ms = replay->now_ms;
    }
  for (guint i = runs->len; i-- > 0;)
    {
      run_t run = g_array_index (runs, run_t, i);
      call_t *call = &g_array_index (replay->calls, call_t, run.call);
      int64_t ran_ms = run.begun_ms ? replay->now_ms - run.begun_ms : 0;
      if (ran_ms >= READ_MS && !run.answered)
        {
          g_array_index (runs, run_t, i).answered = true;
          call->first_ms = replay->now_ms;
          answer (replay, server, &run, KWF_EV_ATTEMPT_DATA, 0);
        }
      if (ran_ms < run.run_ms)
        continue;
      call->ended = true;
      g_array_remove_index (runs, i);
      answer (replay, server, &run, KWF_EV_ATTEMPT_END, 200);
    }
}

/* Tell each core what the others have open.  */
static void
tell_counts (replay_t *replay)
{
  for (int core = 0; core < N_CORES; core++)
    {
      kwf_server_load_t loads[N_SERVERS]
          = { { .server = "e1" }, { .server = "e2" } };
      for (int i = 0; i < N_SERVERS; i++)
        for (guint j = 0; j < replay->runs[i]->len; j++)
          loads[i].open
              += g_array_index (replay->runs[i], run_t, j).core != core;
      kwf_message_t message
          = { .type = KWF_MSG_SERVER_LOADS,
              .loads = { KWF_LOAD_SCOPE_OWN, loads, N_SERVERS } };
      feed (replay, core,
            &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                            .peer = { .instance = "b",
                                      .incarnation = 1,
                                      .message = &message } });
    }
}

typedef struct
{
  int n[N_KINDS];
  int in_time[N_KINDS];
  int refused_twice;
  int n_lost;
  int64_t slowest_start_ms; /* of a patient call, from its first try */
  double value;             /* of what was asked for */
} result_t;

static result_t
judge (const replay_t *replay, const char *name)
{
  result_t result = { .n_lost = replay->n_lost };
  double most = 0;
  for (guint i = 0; i < replay->calls->len; i++)
    {
      const call_t *call = &g_array_index (replay->calls, call_t, i);
      int64_t first_ms = call->first_ms - call->sent_ms;
      bool in_time = first_ms <= kinds[call->kind].objective_ns / MS;
      result.n[call->kind]++;
      result.in_time[call->kind] += call->ended && in_time;
      result.refused_twice += call->n_refused > 1;
      most += values[call->kind][0];
      result.value += call->ended ? values[call->kind][!in_time] : 0;
      if (call->kind == PATIENT)
        result.slowest_start_ms = MAX (result.slowest_start_ms,
                                       call->ended ? first_ms : INT64_MAX);
    }
  result.value /= most;
  print_message (
      "%s: value %.3f, in time: urgent %d/%d, patient %d/%d, slowest "
      "patient %lld ms\n",
      name, result.value, result.in_time[URGENT], result.n[URGENT],
      result.in_time[PATIENT], result.n[PATIENT],
      (long long)result.slowest_start_ms);
  return result;
}

/* 5 s in which FACTOR times as much work arrives as there are places for,
   between 10 s and 50 s with half of that.  */
static result_t
replay_overload (bool predicted, int pace, double factor, uint32_t seed)
{
  replay_t replay
      = { .pace = pace, .calls = g_array_new (FALSE, FALSE, sizeof (call_t)) };
  for (int i = 0; i < N_CORES; i++)
    start_core (&replay.cores[i], predicted);
  for (int i = 0; i < N_SERVERS; i++)
    replay.runs[i] = g_array_new (FALSE, FALSE, sizeof (run_t));
  GRand *rand = g_rand_new_with_seed (seed);
  double places_per_s = N_SERVERS * SLOTS * 1000.0 / RUN_MS;
  for (replay.now_ms = STEP_MS; replay.now_ms <= 90000;
       replay.now_ms += STEP_MS)
    {
      for (int i = 0; i < N_CORES; i++)
        {
          core_world_advance (&replay.cores[i], STEP_MS);
          carry_out (&replay, i);
        }
      bool peak = replay.now_ms > 10000 && replay.now_ms <= 15000;
      double rate = places_per_s * (peak ? factor : 0.5);
      if (replay.now_ms <= 60000
          && g_rand_double (rand) < rate * STEP_MS / 1000)
        {
          call_t call = { .kind = g_rand_double (rand) < 0.16,
                          .sent_ms = replay.now_ms,
                          .again_ms = replay.now_ms,
                          .core = g_rand_int_range (rand, 0, N_CORES) };
          g_array_append_val (replay.calls, call);
        }
      for (guint i = 0; i < replay.calls->len; i++)
        {
          const call_t *call = &g_array_index (replay.calls, call_t, i);
          if (call->again_ms && call->again_ms <= replay.now_ms)
            send_call (&replay, i);
        }
      for (int i = 0; i < N_SERVERS; i++)
        step_server (&replay, i);
      if (replay.now_ms % COUNTS_MS == 0)
        tell_counts (&replay);
    }
  result_t result = judge (&replay, predicted ? "predicted" : "window");
  g_rand_free (rand);
  for (int i = 0; i < N_SERVERS; i++)
    g_array_free (replay.runs[i], TRUE);
  for (int i = 0; i < N_CORES; i++)
    core_world_stop (&replay.cores[i]);
  g_array_free (replay.calls, TRUE);
  return result;
}

static void
add_result (result_t *sum, const result_t *result)
{
  for (int i = 0; i < N_KINDS; i++)
    sum->in_time[i] += result->in_time[i];
  sum->refused_twice += result->refused_twice;
  sum->n_lost += result->n_lost;
  sum->slowest_start_ms
      = MAX (sum->slowest_start_ms, result->slowest_start_ms);
  sum->value += result->value;
}

/* Guards against urgent requests that are late behind patient ones, callers
   that are refused twice, and patient requests that never run or run after
   their target.  */
static void
urgent_work_finds_room_in_an_overload (void **state)
{
  (void)state;
  static const double factors[] = { 1.3, 2 };
  for (size_t i = 0; i < G_N_ELEMENTS (factors); i++)
    {
      result_t before = { 0 };
      result_t after = { 0 };
      for (uint32_t seed = 1; seed <= 4; seed++)
        {
          result_t result = replay_overload (false, 100, factors[i], seed);
          add_result (&before, &result);
          result = replay_overload (true, 100, factors[i], seed);
          add_result (&after, &result);
        }
      assert_true (after.value > before.value);
      assert_true (after.in_time[URGENT] > before.in_time[URGENT]);
      assert_int_equal (after.refused_twice, 0);
      assert_int_equal (after.n_lost, 0);
      assert_in_range (after.slowest_start_ms, 0,
                       kinds[PATIENT].objective_ns / MS);
    }
}

/* Guards against a change for services whose servers report no pace.  */
static void
servers_without_a_pace_are_used_as_before (void **state)
{
  (void)state;
  result_t before = replay_overload (false, 0, 2, 1);
  result_t after = replay_overload (true, 0, 2, 1);
  assert_memory_equal (&before, &after, sizeof before);
}

/* A core whose servers report their pace.  */
static void
start_reporting (core_world_t *world)
{
  start_core (world, true);
  core_world_advance (world, 1000);
  core_world_request (world, 1, "/urgent/", "m");
  const kwf_effect_t *sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                   .attempt = { .attempt = sent->start.attempt,
                                                .request = 1,
                                                .tokens = 4,
                                                .has_load = true,
                                                .running = 1,
                                                .slots = SLOTS,
                                                .pace = 100 } });
  core_world_advance (world, 1000);
}

/* Advance WORLD until a request is refused, for MOST_MS at most.  Return the
   time that passed, and its retry time in *RETRY_MS.  */
static int64_t
wait_for_refusal (core_world_t *world, int64_t most_ms, int64_t *retry_ms)
{
  for (int64_t passed_ms = 0; passed_ms <= most_ms; passed_ms += 50)
    {
      const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
      if (reply)
        {
          assert_int_equal (reply->reply.status, 503);
          assert_int_equal (reply->reply.run, KWF_RUN_NO);
          *retry_ms = reply->reply.retry_after_ms;
          return passed_ms;
        }
      core_world_advance (world, 50);
    }
  return -1;
}

/* Guards against requests that wait for a copy that never comes, and against
   a refusal while a load is announced that ends in time.  */
static void
request_waits_only_for_an_announced_copy (void **state)
{
  (void)state;
  core_world_t world;
  int64_t retry_ms = 0;
  start_reporting (&world);
  core_world_request (&world, 2, "/urgent/", "n");
  assert_in_range (wait_for_refusal (&world, 15000, &retry_ms), 0, 900);
  assert_in_range (retry_ms, 2000, 5000);
  core_world_feed_residency (&world, "n", "", true);
  core_world_request (&world, 3, "/urgent/", "n");
  assert_int_equal (wait_for_refusal (&world, 2900, &retry_ms), -1);
  core_world_stop (&world);
  /* The load takes 3 s, and its caller has 2 s left.  */
  start_reporting (&world);
  core_world_step (&world,
                   &(kwf_event_t){ .type = KWF_EV_REQUEST,
                                   .request = { .handle = 4,
                                                .kind = KWF_REQUEST_ROUTED,
                                                .id = "r",
                                                .key_digest = "k",
                                                .host = "h.example",
                                                .path = "/urgent/",
                                                .model = "n",
                                                .timeout_ns = 2000 * MS,
                                                .fingerprint = 4 } });
  assert_int_equal (wait_for_refusal (&world, 0, &retry_ms), 0);
  core_world_stop (&world);
}

/* Guards against a request that stays held until its deadline, because all
   servers are full when the time for which it may be held ends: a caller with
   20 s of the 30 s left holds for 5 s.  */
static void
held_request_is_released_at_full_servers (void **state)
{
  (void)state;
  core_world_t world;
  kwf_handle_t urgent = 2;
  start_reporting (&world);
  for (; urgent < 14; urgent++)
    core_world_request (&world, urgent, "/urgent/", "m");
  core_world_step (&world,
                   &(kwf_event_t){ .type = KWF_EV_REQUEST,
                                   .request = { .handle = 100,
                                                .kind = KWF_REQUEST_ROUTED,
                                                .id = "r",
                                                .key_digest = "k",
                                                .host = "h.example",
                                                .path = "/patient/",
                                                .model = "m",
                                                .timeout_ns = 20000 * MS,
                                                .fingerprint = 100 } });
  for (; urgent < 2 * SLOTS + 1; urgent++)
    core_world_request (&world, urgent, "/urgent/", "m");
  for (int64_t ms = 0; ms < 6000; ms += 100)
    {
      assert_null (core_world_effect (&world, KWF_FX_REPLY));
      core_world_advance (&world, 100);
    }
  char *text = kwf_core_metrics (world.core);
  assert_non_null (strstr (
      text, "kwf_admissions_total{outcome=\"held\",class=\"patient\"} 1\n"));
  assert_non_null (strstr (
      text, "kwf_admissions_total{outcome=\"turn\",class=\"patient\"} 1\n"));
  free (text);
  core_world_stop (&world);
}

/* Guards against an urgent request that gets a place only at the next sweep,
   because a patient one before it in the queue gives way.  */
static void
request_that_gives_way_stops_no_other (void **state)
{
  (void)state;
  core_world_t world;
  start_reporting (&world);
  for (kwf_handle_t i = 2; i <= 16; i++) /* fills both servers */
    core_world_request (&world, i, "/urgent/", "m");
  kwf_handle_t attempt
      = core_world_effect (&world, KWF_FX_ATTEMPT_START)->start.attempt;
  core_world_request (&world, 100, "/patient/", "m");
  core_world_request (&world, 101, "/urgent/", "m");
  core_world_step (&world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                           .attempt = { .attempt = attempt,
                                                        .request = 16,
                                                        .status = 200 } });
  const kwf_effect_t *sent = core_world_effect (&world, KWF_FX_ATTEMPT_START);
  assert_true (sent && sent->start.request == 101);
  core_world_stop (&world);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (request_waits_only_for_an_announced_copy),
    cmocka_unit_test (held_request_is_released_at_full_servers),
    cmocka_unit_test (request_that_gives_way_stops_no_other),
    cmocka_unit_test (servers_without_a_pace_are_used_as_before),
    cmocka_unit_test (urgent_work_finds_room_in_an_overload),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
