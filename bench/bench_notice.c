/* Backend servers that ask for pauses and that leave one after the other under
   load.  The same arrivals are run twice: the instance gets the notices in the
   servers' answers, or it does not.

   Three servers take 30 ms for a request and run two at once; callers send 80
   requests per second at random times.  Each server in turn is overloaded for
   600 ms of every two seconds and answers 503 with the time that is left.  At
   12 s and 22 s a server says in its answers that it leaves.  The membership
   list shows it 1.5 s later, and 2 s after its first notice the server is
   gone, without an answer to what it runs.  A refused caller tries again when
   the answer says, within 2 s of its first attempt.

   Usage: bench_notice [SEED] */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "test/common-core.h"

#define SERVERS 3
#define SLOTS 2
#define SERVICE_MS 30
#define REFUSE_MS 2
#define REQUESTS_PER_S 80
#define END_MS 30000
#define DEADLINE_MS 2000
#define OVERLOAD_PERIOD_MS 2000
#define OVERLOAD_MS 600
#define LIST_LAG_MS 1500
#define EXIT_MS 2000

static const int leaves_ms[] = { 12000, 22000 }; /* of servers 0 and 1 */

typedef struct
{
  int64_t first_ms; /* first time that its caller sent it */
  int64_t next_ms;  /* when its caller sends it again; 0: not planned */
} request_t;

typedef struct
{
  kwf_handle_t request;
  kwf_handle_t attempt;
  int server;
  int64_t end_ms;
  bool refused;
} attempt_t;

typedef struct
{
  core_world_t *world;
  gsl_rng *rng;
  bool with_notices; /* the notices in answers reach the instance */
  int64_t ms;
  GArray *requests; /* of request_t; a request's handle is 1 + its index */
  GArray *attempts; /* of attempt_t */
  GArray *times;    /* of double: time of each request that was served, ms */
  int listed;       /* servers that the membership list shows as not leaving,
                       as bits */
  int n_attempts;   /* attempts that reached a server */
  int n_unwanted;   /* of these, during a pause or after the server said that
                       it leaves */
} run_t;

static bool
has_left (const run_t *run, int server, int64_t after_ms)
{
  return server < (int)G_N_ELEMENTS (leaves_ms)
         && run->ms >= leaves_ms[server] + after_ms;
}

/* Time for which SERVER is still overloaded; 0: it is not.  */
static int64_t
overload_ms (const run_t *run, int server)
{
  int64_t at
      = (run->ms + server * OVERLOAD_PERIOD_MS / SERVERS) % OVERLOAD_PERIOD_MS;
  return at < OVERLOAD_MS ? OVERLOAD_MS - at : 0;
}

static void
send_members (run_t *run)
{
  static const char *const ids[SERVERS] = { "d1", "d2", "d3" };
  kwf_member_t members[SERVERS];
  int listed = 0;
  for (int i = 0; i < SERVERS; i++)
    {
      bool leaving = has_left (run, i, LIST_LAG_MS);
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
                                                .n_members = SERVERS } });
}

static void
start_attempt (run_t *run, const kwf_attempt_start_t *start)
{
  attempt_t attempt = { .request = start->request,
                        .attempt = start->attempt,
                        .server = start->server[1] - '1' };
  int running = 0;
  for (guint i = 0; i < run->attempts->len; i++)
    running += g_array_index (run->attempts, attempt_t, i).server
               == attempt.server;
  bool busy = overload_ms (run, attempt.server) > 0;
  run->n_attempts++;
  run->n_unwanted += busy || has_left (run, attempt.server, 0);
  attempt.refused = busy || running >= 2 * SLOTS;
  int64_t waits_ms = running >= SLOTS ? SERVICE_MS : 0;
  attempt.end_ms
      = run->ms + (attempt.refused ? REFUSE_MS : SERVICE_MS + waits_ms);
  g_array_append_val (run->attempts, attempt);
}

static void
handle_reply (run_t *run, const kwf_reply_t *reply)
{
  request_t *request
      = &g_array_index (run->requests, request_t, reply->request - 1);
  int64_t next_ms = run->ms + MAX (reply->retry_after_ms, 1);
  request->next_ms
      = reply->retry_after_ms >= 0 && next_ms < request->first_ms + DEADLINE_MS
            ? next_ms
            : 0;
}

static void
handle_effects (run_t *run)
{
  const kwf_effects_t *effects = run->world->effects;
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_ATTEMPT_START)
        start_attempt (run, &effect->start);
      else if (effect->type == KWF_FX_REPLY)
        handle_reply (run, &effect->reply);
      else if (effect->type == KWF_FX_FORWARD_END)
        {
          const request_t *request = &g_array_index (
              run->requests, request_t, effect->attempt.request - 1);
          double time_ms = (double)(run->ms - request->first_ms);
          if (time_ms <= DEADLINE_MS)
            g_array_append_val (run->times, time_ms);
        }
    }
}

static void
send_request (run_t *run, guint index)
{
  g_array_index (run->requests, request_t, index).next_ms = 0;
  core_world_request (run->world, index + 1, "/read/x", NULL);
  handle_effects (run);
}

static void
end_attempt (run_t *run, const attempt_t *attempt)
{
  bool gone = has_left (run, attempt->server, EXIT_MS);
  int64_t pause_ms = attempt->refused ? overload_ms (run, attempt->server) : 0;
  bool leaving = has_left (run, attempt->server, 0);
  if (run->with_notices && !gone && (pause_ms || leaving))
    {
      core_world_step (
          run->world,
          &(kwf_event_t){ .type = KWF_EV_NOTICE,
                          .notice
                          = { .attempt = attempt->attempt,
                              .leaving = leaving,
                              .pause_ns = pause_ms * KWF_NS_PER_MS } });
      handle_effects (run);
    }
  kwf_event_t event
      = { .type = gone ? KWF_EV_ATTEMPT_FAILED : KWF_EV_ATTEMPT_END,
          .attempt = { .attempt = attempt->attempt,
                       .request = attempt->request,
                       .failure = KWF_FAIL_BROKEN,
                       .status = attempt->refused ? 503 : 200,
                       .not_run = attempt->refused } };
  core_world_step (run->world, &event);
  handle_effects (run);
}

static void
run_millisecond (run_t *run)
{
  send_members (run);
  core_world_advance (run->world, 1);
  handle_effects (run);
  for (guint i = run->attempts->len; i-- > 0;)
    {
      attempt_t attempt = g_array_index (run->attempts, attempt_t, i);
      if (run->ms < attempt.end_ms)
        continue;
      g_array_remove_index_fast (run->attempts, i);
      end_attempt (run, &attempt);
    }
  for (guint i = 0; i < run->requests->len; i++)
    {
      const request_t *request = &g_array_index (run->requests, request_t, i);
      if (request->next_ms && run->ms >= request->next_ms)
        send_request (run, i);
    }
  if (run->ms < END_MS - DEADLINE_MS
      && gsl_rng_uniform (run->rng) < REQUESTS_PER_S / 1000.0)
    {
      request_t request = { .first_ms = run->ms };
      g_array_append_val (run->requests, request);
      send_request (run, run->requests->len - 1);
    }
}

static void
print (const run_t *run, const char *metric, double value, const char *unit)
{
  printf ("{\"bench\":\"notice\",\"metric\":\"%s\",\"value\":%g,"
          "\"unit\":\"%s\",\"baseline\":\"%s\"}\n",
          metric, value, unit, run->with_notices ? "heard" : "not heard");
}

static void
measure (bool with_notices, unsigned long seed)
{
  void *world;
  core_world_setup (&world);
  run_t run = { .world = world,
                .rng = gsl_rng_alloc (gsl_rng_taus2),
                .with_notices = with_notices,
                .requests = g_array_new (FALSE, TRUE, sizeof (request_t)),
                .attempts = g_array_new (FALSE, TRUE, sizeof (attempt_t)),
                .times = g_array_new (FALSE, TRUE, sizeof (double)) };
  gsl_rng_set (run.rng, seed);
  for (; run.ms < END_MS; run.ms++)
    run_millisecond (&run);
  double *times = (double *)(void *)run.times->data;
  gsl_sort (times, 1, run.times->len);
  print (&run, "calls", run.requests->len, "calls");
  print (&run, "served", (double)run.times->len / run.requests->len, "share");
  print (&run, "time p99",
         gsl_stats_quantile_from_sorted_data (times, 1, run.times->len, 0.99),
         "ms");
  print (&run, "tries", (double)run.n_attempts / run.requests->len, "a call");
  print (&run, "unwanted tries", run.n_unwanted, "tries");
  g_array_free (run.requests, TRUE);
  g_array_free (run.attempts, TRUE);
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
