/* Servers that ask for pauses and leave in series under load, with what their
   answers tell heard by the instance and not heard, on the same arrivals.

   Three desks answer a call in 30 ms and run two at once; callers come 80
   times a second, spread at random.  Each desk in turn is overloaded for
   600 ms of each two seconds and answers 503 with the time that is left.  At
   12 s and 22 s one says with its answers that it leaves; the list tells
   so 1.5 s later, and 2 s after its word it is gone, without an answer to what
   it runs. A caller that is turned away comes back when it is told to, within
   2 s.

   Usage: bench_notice [SEED]  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "test/common-core.h"

#define DESKS 3
#define SLOTS 2
#define WORK_MS 30
#define REFUSE_MS 2
#define CALLS_PER_S 80
#define END_MS 30000
#define DEADLINE_MS 2000
#define PERIOD_MS 2000
#define BUSY_MS 600
#define LIST_MS 1500
#define GONE_MS 2000

static const int leaves_ms[] = { 12000, 22000 }; /* of desks 0 and 1 */

typedef struct
{
  int64_t first_ms; /* first try of its caller */
  int64_t again_ms; /* next try; 0: none is planned */
} call_t;

typedef struct
{
  kwf_handle_t request;
  kwf_handle_t attempt;
  int desk;
  int64_t end_ms;
  bool refused;
} flight_t;

typedef struct
{
  core_world_t *world;
  gsl_rng *rng;
  bool heard; /* what the answers tell */
  int64_t ms;
  GArray *calls;   /* of call_t; a request's handle is 1 + its index */
  GArray *flights; /* of flight_t */
  GArray *times;   /* of double: ms of calls that were served */
  int listed;      /* desks that the list has as ready, as bits */
  int n_tries;     /* that reached a desk */
  int n_unwanted;  /* of these, during a pause or after a desk's word */
} run_t;

static bool
has_left (const run_t *run, int desk, int64_t after_ms)
{
  return desk < (int)G_N_ELEMENTS (leaves_ms)
         && run->ms >= leaves_ms[desk] + after_ms;
}

/* Time for which DESK wants nothing; 0: it works.  */
static int64_t
busy_ms (const run_t *run, int desk)
{
  int64_t at = (run->ms + desk * PERIOD_MS / DESKS) % PERIOD_MS;
  return at < BUSY_MS ? BUSY_MS - at : 0;
}

static void
tell_list (run_t *run)
{
  static const char *const ids[DESKS] = { "d1", "d2", "d3" };
  kwf_member_t members[DESKS];
  int listed = 0;
  for (int i = 0; i < DESKS; i++)
    {
      bool leaving = has_left (run, i, LIST_MS);
      listed |= !leaving << i;
      members[i] = (kwf_member_t){ .id = ids[i],
                                   .kind = KWF_MEMBER_SERVICE,
                                   .name = "desk",
                                   .address = "127.0.0.1:11",
                                   .data_centre = "c",
                                   .leaving = leaving,
                                   .described = true,
                                   .revision = 1 + leaving,
                                   .incarnation = 1,
                                   .slots = SLOTS };
    }
  if (listed == run->listed)
    return;
  run->listed = listed;
  core_world_step (run->world,
                   &(kwf_event_t){ .type = KWF_EV_MEMBERS,
                                   .members = { .valid = true,
                                                .members = members,
                                                .n_members = DESKS } });
}

static void
begin (run_t *run, const kwf_attempt_start_t *start)
{
  flight_t flight = { .request = start->request,
                      .attempt = start->attempt,
                      .desk = start->server[1] - '1' };
  int running = 0;
  for (guint i = 0; i < run->flights->len; i++)
    running += g_array_index (run->flights, flight_t, i).desk == flight.desk;
  bool busy = busy_ms (run, flight.desk) > 0;
  run->n_tries++;
  run->n_unwanted += busy || has_left (run, flight.desk, 0);
  flight.refused = busy || running >= 2 * SLOTS;
  int64_t waits_ms = running >= SLOTS ? WORK_MS : 0;
  flight.end_ms = run->ms + (flight.refused ? REFUSE_MS : WORK_MS + waits_ms);
  g_array_append_val (run->flights, flight);
}

static void
take_reply (run_t *run, const kwf_reply_t *reply)
{
  call_t *call = &g_array_index (run->calls, call_t, reply->request - 1);
  int64_t again_ms = run->ms + MAX (reply->retry_after_ms, 1);
  call->again_ms
      = reply->retry_after_ms >= 0 && again_ms < call->first_ms + DEADLINE_MS
            ? again_ms
            : 0;
}

static void
take_effects (run_t *run)
{
  const kwf_effects_t *effects = run->world->effects;
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_ATTEMPT_START)
        begin (run, &effect->start);
      else if (effect->type == KWF_FX_REPLY)
        take_reply (run, &effect->reply);
      else if (effect->type == KWF_FX_FORWARD_END)
        {
          const call_t *call = &g_array_index (run->calls, call_t,
                                               effect->attempt.request - 1);
          double time_ms = (double)(run->ms - call->first_ms);
          if (time_ms <= DEADLINE_MS)
            g_array_append_val (run->times, time_ms);
        }
    }
}

static void
send_call (run_t *run, guint index)
{
  g_array_index (run->calls, call_t, index).again_ms = 0;
  core_world_request (run->world, index + 1, "/read/x", NULL);
  take_effects (run);
}

static void
end_flight (run_t *run, const flight_t *flight)
{
  bool gone = has_left (run, flight->desk, GONE_MS);
  int64_t pause_ms = flight->refused ? busy_ms (run, flight->desk) : 0;
  bool leaving = has_left (run, flight->desk, 0);
  if (run->heard && !gone && (pause_ms || leaving))
    {
      core_world_step (
          run->world,
          &(kwf_event_t){ .type = KWF_EV_NOTICE,
                          .notice
                          = { .attempt = flight->attempt,
                              .leaving = leaving,
                              .pause_ns = pause_ms * KWF_NS_PER_MS } });
      take_effects (run);
    }
  kwf_event_t event
      = { .type = gone ? KWF_EV_ATTEMPT_FAILED : KWF_EV_ATTEMPT_END,
          .attempt = { .attempt = flight->attempt,
                       .request = flight->request,
                       .failure = KWF_FAIL_BROKEN,
                       .status = flight->refused ? 503 : 200,
                       .not_run = flight->refused } };
  core_world_step (run->world, &event);
  take_effects (run);
}

static void
run_one (run_t *run)
{
  tell_list (run);
  core_world_advance (run->world, 1);
  take_effects (run);
  for (guint i = run->flights->len; i-- > 0;)
    {
      flight_t flight = g_array_index (run->flights, flight_t, i);
      if (run->ms < flight.end_ms)
        continue;
      g_array_remove_index_fast (run->flights, i);
      end_flight (run, &flight);
    }
  for (guint i = 0; i < run->calls->len; i++)
    {
      const call_t *call = &g_array_index (run->calls, call_t, i);
      if (call->again_ms && run->ms >= call->again_ms)
        send_call (run, i);
    }
  if (run->ms < END_MS - DEADLINE_MS
      && gsl_rng_uniform (run->rng) < CALLS_PER_S / 1000.0)
    {
      call_t call = { .first_ms = run->ms };
      g_array_append_val (run->calls, call);
      send_call (run, run->calls->len - 1);
    }
}

static void
print (const run_t *run, const char *metric, double value, const char *unit)
{
  printf ("{\"bench\":\"notice\",\"metric\":\"%s\",\"value\":%g,"
          "\"unit\":\"%s\",\"baseline\":\"%s\"}\n",
          metric, value, unit, run->heard ? "heard" : "not heard");
}

static void
measure (bool heard, unsigned long seed)
{
  void *world;
  core_world_setup (&world);
  run_t run = { .world = world,
                .rng = gsl_rng_alloc (gsl_rng_taus2),
                .heard = heard,
                .calls = g_array_new (FALSE, TRUE, sizeof (call_t)),
                .flights = g_array_new (FALSE, TRUE, sizeof (flight_t)),
                .times = g_array_new (FALSE, TRUE, sizeof (double)) };
  gsl_rng_set (run.rng, seed);
  for (; run.ms < END_MS; run.ms++)
    run_one (&run);
  double *times = (double *)(void *)run.times->data;
  gsl_sort (times, 1, run.times->len);
  print (&run, "calls", run.calls->len, "calls");
  print (&run, "served", (double)run.times->len / run.calls->len, "share");
  print (&run, "time p99",
         gsl_stats_quantile_from_sorted_data (times, 1, run.times->len, 0.99),
         "ms");
  print (&run, "tries", (double)run.n_tries / run.calls->len, "a call");
  print (&run, "unwanted tries", run.n_unwanted, "tries");
  g_array_free (run.calls, TRUE);
  g_array_free (run.flights, TRUE);
  g_array_free (run.times, TRUE);
  gsl_rng_free (run.rng);
  core_world_teardown (&world);
}

int
main (int argc, char **argv)
{
  unsigned long seed = argc > 1 ? strtoul (argv[1], NULL, 10) : 1;
  measure (false, seed);
  measure (true, seed);
  return 0;
}
