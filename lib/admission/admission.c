#include "admission.h"

#include <string.h>

#include "../balance/pace.h"
#include "history.h"
#include "state.h"

/* A report of the load is newer than what the fleet's counts say, while it is
   younger than their period.  */
#define REPORT_NEWER_NS (200 * KWF_NS_PER_MS)
/* Without the fleet's counts, a report counts for this time.  */
#define REPORT_MAX_AGE_NS (1 * KWF_NS_PER_S)
/* Weight of a new sample in the mean times of a service.  */
#define MEAN_WEIGHT 0.0625
/* Requests are counted over about this time, to know the share of urgent
   ones.  */
#define SHARE_TIME_S 10.0
/* Interval at which it is looked up whether a service's servers report their
   pace.  */
#define REPORTS_CHECK_NS (1 * KWF_NS_PER_S)
/* A caller with less time than its route gives, by this much, has been refused
   before: the shortest retry time is twice as long.  */
#define RETURNED_AFTER_NS (50 * KWF_NS_PER_MS)
/* The demand of a caller that was refused for want of a copy stands until this
   long after it is to come back.  */
#define DEMAND_AFTER_NS (1 * KWF_NS_PER_S)
admission_t *
admission_new (void)
{
  admission_t *admission = g_new0 (admission_t, 1);
  admission->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  admission->histories
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return admission;
}

void
admission_free (admission_t *admission)
{
  g_hash_table_unref (admission->services);
  g_hash_table_unref (admission->histories);
  g_free (admission);
}

static admission_service_t *
service_of (admission_t *admission, const char *name)
{
  admission_service_t *service
      = g_hash_table_lookup (admission->services, name);
  if (!service)
    {
      service = g_new0 (admission_service_t, 1);
      service->checked_ns = -REPORTS_CHECK_NS;
      g_hash_table_insert (admission->services, g_strdup (name), service);
    }
  return service;
}

static bool
is_reported (backend_t *backend, const char *name)
{
  const GPtrArray *servers = backend_servers_of_service (backend, name);
  for (guint i = 0; servers && i < servers->len; i++)
    if (server_reports_pace (servers->pdata[i]))
      return true;
  return false;
}

bool
admission_applies (kwf_core_t *core, const request_t *request)
{
  if (!core->options.predict_admission || request->kind != KWF_REQUEST_ROUTED
      || !request->service)
    return false;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  admission_service_t *service
      = service_of (core->admission, request->service);
  if (now_ns - service->checked_ns >= REPORTS_CHECK_NS)
    {
      service->checked_ns = now_ns;
      service->reported = is_reported (core->backend, request->service);
    }
  return service->reported;
}

void
admission_set_route (request_t *request, const kwf_route_t *route,
                     int64_t caller_timeout_ns)
{
  request->target_ns = route->objective_ns;
  request->patient = admission_is_patient (
      route->objective_ns, MAX (route->priority, request->priority));
  int64_t spent_ns
      = caller_timeout_ns > 0 ? route->timeout_ns - caller_timeout_ns : 0;
  request->spent_ns = spent_ns > RETURNED_AFTER_NS ? spent_ns : 0;
}

static int
class_of (const request_t *request)
{
  return request->patient ? 1 : 0;
}

static void
count (kwf_core_t *core, const request_t *request, admission_outcome_t outcome)
{
  core->admission->counts[outcome][class_of (request)]++;
}

static void
count_request (admission_service_t *service, const request_t *request,
               int64_t now_ns)
{
  double passed_s
      = (double)(now_ns - service->counted_ns) / (double)KWF_NS_PER_S;
  double kept = service->counted_ns && passed_s < SHARE_TIME_S
                    ? 1 - passed_s / SHARE_TIME_S
                    : 0;
  service->counted_ns = now_ns;
  service->all = service->all * kept + 1;
  service->urgent = service->urgent * kept + !request->patient;
}

/* Forecasts.  */

static int64_t
ns_of (double seconds)
{
  return (int64_t)(seconds * (double)KWF_NS_PER_S);
}

/* Requests that are open at SERVER.  Without a recent report or the fleet's
   counts only those of this instance are known: an old report of a full server
   would refuse requests for which there is room.  */
static int
open_at (const server_t *server, int64_t now_ns)
{
  int64_t age_ns = server->pace_ns ? now_ns - server->pace_ns : INT64_MAX;
  if (age_ns < REPORT_NEWER_NS
      || (!server->others_known && age_ns < REPORT_MAX_AGE_NS))
    return server_load (server);
  return (server->others_known ? server->others_open : 0)
         + server->open_attempts;
}

static bool
may_run (const request_t *request, const server_t *server, int64_t now_ns)
{
  return server->slots > 0 && server_usable (server, now_ns)
         && strcmp (server->name, request->service) == 0
         && server_holds_model (server, request->model)
         && (!request->adapter
             || server_holds_adapter (server, request->model,
                                      request->adapter));
}

static admission_history_t *
history_of (admission_t *admission, const server_t *server)
{
  admission_history_t *history
      = g_hash_table_lookup (admission->histories, server->id);
  if (!history)
    {
      history = g_new0 (admission_history_t, 1);
      g_hash_table_insert (admission->histories, g_strdup (server->id),
                           history);
    }
  return history;
}

/* Forget the servers that are gone, and add a sample for the others.  */
void
admission_tick (kwf_core_t *core, int64_t now_ns)
{
  admission_t *admission = core->admission;
  if (!core->options.predict_admission || now_ns < admission->next_sample_ns)
    return;
  admission->next_sample_ns = now_ns + ADMISSION_SAMPLE_NS;
  const GPtrArray *servers = backend_servers (core->backend);
  if (g_hash_table_size (admission->histories) > servers->len)
    g_hash_table_remove_all (admission->histories);
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = servers->pdata[i];
      if (server_reports_pace (server))
        admission_history_add (history_of (admission, server),
                               open_at (server, now_ns));
    }
}

static admission_holder_t
holder_at (kwf_core_t *core, const admission_service_t *service,
           const server_t *server, int64_t now_ns)
{
  const admission_history_t *history = history_of (core->admission, server);
  return (admission_holder_t){
    .slots = server->slots,
    .open = open_at (server, now_ns),
    .open_before
    = admission_history_open (history, ns_of (service->run_s), server->slots),
    .slowdown = admission_slowdown (server->pace, now_ns - server->pace_ns)
  };
}

static admission_forecast_t
forecast_for (kwf_core_t *core, const request_t *request,
              const admission_service_t *service, int64_t now_ns)
{
  const GPtrArray *servers
      = request->model
            ? backend_servers_of_model (core->backend, request->model)
            : backend_servers_of_service (core->backend, request->service);
  GArray *holders = g_array_new (FALSE, FALSE, sizeof (admission_holder_t));
  for (guint i = 0; servers && i < servers->len; i++)
    {
      const server_t *server = servers->pdata[i];
      if (!may_run (request, server, now_ns))
        continue;
      admission_holder_t holder = holder_at (core, service, server, now_ns);
      g_array_append_val (holders, holder);
    }
  admission_forecast_t forecast
      = admission_forecast ((const admission_holder_t *)(void *)holders->data,
                            holders->len, ns_of (service->run_s));
  g_array_free (holders, TRUE);
  return forecast;
}

static admission_query_t
query_for (kwf_core_t *core, const request_t *request, int64_t now_ns)
{
  const admission_service_t *service
      = service_of (core->admission, request->service);
  admission_query_t query = {
    .patient = request->patient,
    .spent_ns = request->spent_ns,
    .target_ns = request->target_ns,
    .waited_ns = now_ns - request->arrived_ns,
    .left_ns = request->deadline_ns - now_ns,
    .run_ns = ns_of (service->run_s),
    .read_ns = ns_of (service->read_s),
    .forecast = forecast_for (core, request, service, now_ns),
  };
  /* A patient request without a target waits as long as the class of its
     priority may.  */
  if (query.patient && !query.target_ns)
    query.target_ns = core->options.first_token_ns[QUEUE_LANES - 1];
  query.reserve = admission_reserve (query.forecast.slots,
                                     admission_urgent_share (service));
  return query;
}

/* Refusals.  */

static double
places_per_s (kwf_core_t *core, const char *name,
              const admission_service_t *service)
{
  const GPtrArray *servers = backend_servers_of_service (core->backend, name);
  double slots = 0;
  for (guint i = 0; servers && i < servers->len; i++)
    slots += ((const server_t *)servers->pdata[i])->slots;
  return service->run_s > 0 ? slots / service->run_s : 0;
}

/* Time after which the caller of REQUEST comes back when there is room in
   ROOM_IN_NS.  */
static int64_t
retry_after_ns (kwf_core_t *core, const request_t *request, int64_t room_in_ns,
                int64_t now_ns)
{
  admission_service_t *service
      = service_of (core->admission, request->service);
  uint64_t seed[2] = { request->hash, g_str_hash (core->options.instance) };
  uint32_t drawn = (uint32_t)((seed[0] ^ seed[1] * 0x9E3779B97F4A7C15U) >> 32);
  return admission_retry_ns (
      &service->turns,
      &(admission_refusal_t){ .patient = request->patient,
                              .room_in_ns = room_in_ns,
                              .places_per_s
                              = places_per_s (core, request->service, service),
                              .n_instances = permits_n_live (core->permits),
                              .jitter = drawn / ((double)UINT32_MAX + 1),
                              .left_ns = request->deadline_ns - now_ns },
      now_ns);
}

int64_t
admission_retry_ms (kwf_core_t *core, const request_t *request,
                    int64_t otherwise_ms)
{
  if (request->n_ran || !admission_applies (core, request))
    return otherwise_ms;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  admission_forecast_t forecast = forecast_for (
      core, request, service_of (core->admission, request->service), now_ns);
  return retry_after_ns (core, request, forecast.start_ns, now_ns)
         / KWF_NS_PER_MS;
}

int64_t
admission_return_ns (kwf_core_t *core, const request_t *request,
                     int64_t return_ns, int64_t soonest_ns)
{
  if (!admission_applies (core, request))
    return return_ns;
  int64_t left_ns = request->deadline_ns - kwf_now_ns (core->options.clock);
  int64_t latest_ns = admission_latest_return_ns (left_ns);
  return MIN (return_ns, MAX (latest_ns, soonest_ns));
}

static void
refuse (kwf_core_t *core, request_t *request, const admission_query_t *query,
        const admission_decision_t *decision, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  bool late = decision->verdict == ADMISSION_LATE;
  int64_t retry_ns
      = retry_after_ns (core, request, decision->room_in_ns, now_ns);
  count (core, request, late ? OUTCOME_REFUSED_LATE : OUTCOME_REFUSED_CUT);
  kwf_effects_log (
      effects, 296, KWF_LOG_INFO, request->id,
      "refused by forecast: cause=%s organisation=%s target=%s class=%s "
      "start_ms=%" G_GINT64_FORMAT " aim_ms=%" G_GINT64_FORMAT
      " left_ms=%" G_GINT64_FORMAT " waited_ms=%" G_GINT64_FORMAT
      " spent_ms=%" G_GINT64_FORMAT " free=%d/%d retry_ms=%" G_GINT64_FORMAT,
      late ? "late" : "cut", request->organisation,
      request->model ? request->model : request->service,
      request->patient ? "patient" : "urgent",
      query->forecast.start_ns / KWF_NS_PER_MS,
      query->target_ns / KWF_NS_PER_MS, query->left_ns / KWF_NS_PER_MS,
      query->waited_ns / KWF_NS_PER_MS, query->spent_ns / KWF_NS_PER_MS,
      query->forecast.free, query->forecast.slots, retry_ns / KWF_NS_PER_MS);
  wait_shed (core, request, SHED_FORECAST, retry_ns, effects);
}

void
admission_check_copy (kwf_core_t *core, request_t *request,
                      const admission_load_t *load, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  admission_query_t query = query_for (core, request, now_ns);
  int64_t ready_in_ns;
  if (admission_waits_for_copy (&query, load, &ready_in_ns))
    return;
  int64_t retry_ns = retry_after_ns (core, request, ready_in_ns, now_ns);
  count (core, request, OUTCOME_REFUSED_NO_COPY);
  kwf_effects_log (
      effects, 298, KWF_LOG_INFO, request->id,
      "refused for want of a copy: organisation=%s target=%s adapter=%s "
      "announced=%d ready_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
      " waited_ms=%" G_GINT64_FORMAT " retry_ms=%" G_GINT64_FORMAT,
      request->organisation, request->model,
      request->adapter ? request->adapter : "-", load->announced,
      ready_in_ns / KWF_NS_PER_MS, query.left_ns / KWF_NS_PER_MS,
      query.waited_ns / KWF_NS_PER_MS, retry_ns / KWF_NS_PER_MS);
  char *model = g_strdup (request->model);
  char *adapter = g_strdup (request->adapter);
  int priority = request->priority;
  double tokens = request->charged;
  wait_shed (core, request, SHED_NO_COPY, retry_ns, effects);
  /* The caller comes back, so the placement leader keeps its demand.  */
  demand_set_waiting (core->demand, model, adapter, priority, tokens,
                      now_ns + retry_ns + DEMAND_AFTER_NS);
  g_free (model);
  g_free (adapter);
}

/* Decisions.  */

static void
hold (kwf_core_t *core, request_t *request, const server_t *server,
      const admission_query_t *query, kwf_effects_t *effects)
{
  if (!request->held)
    {
      request->held = true;
      count (core, request, OUTCOME_HELD);
      kwf_effects_log (effects, 295, KWF_LOG_INFO, request->id,
                       "held for urgent requests: organisation=%s target=%s "
                       "free=%d/%d reserve=%d at_most_ms=%" G_GINT64_FORMAT,
                       request->organisation,
                       request->model ? request->model : request->service,
                       query->forecast.free, query->forecast.slots,
                       query->reserve,
                       admission_hold_ns (query) / KWF_NS_PER_MS);
    }
  wait_enter (
      core, request,
      &(route_result_t){ .verdict = ROUTE_NO_ROOM, .full = { server } },
      effects);
}

/* A held request goes on.  */
static void
release (kwf_core_t *core, request_t *request, const admission_query_t *query,
         kwf_effects_t *effects)
{
  request->held = false;
  core->admission->held_s += (double)query->waited_ns / (double)KWF_NS_PER_S;
  if (query->waited_ns < admission_hold_ns (query))
    return;
  request->turn_came = true;
  count (core, request, OUTCOME_TURN);
  kwf_effects_log (effects, 297, KWF_LOG_INFO, request->id,
                   "held for its time, counts as urgent: organisation=%s "
                   "target=%s free=%d/%d waited_ms=%" G_GINT64_FORMAT,
                   request->organisation,
                   request->model ? request->model : request->service,
                   query->forecast.free, query->forecast.slots,
                   query->waited_ns / KWF_NS_PER_MS);
}

bool
admission_check (kwf_core_t *core, request_t *request, const server_t *server,
                 kwf_effects_t *effects)
{
  if (request->n_ran || !admission_applies (core, request))
    return true;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (!request->counted)
    count_request (service_of (core->admission, request->service), request,
                   now_ns);
  request->counted = true;
  admission_query_t query = query_for (core, request, now_ns);
  admission_decision_t decision = admission_decide (&query);
  /* A stopping instance has no time to hold a request.  */
  if (decision.verdict == ADMISSION_HOLD && core->stop.stopping)
    decision.verdict = ADMISSION_START;
  if (decision.verdict == ADMISSION_HOLD)
    {
      hold (core, request, server, &query, effects);
      return false;
    }
  if (request->held)
    release (core, request, &query, effects);
  if (decision.verdict == ADMISSION_START)
    return true;
  refuse (core, request, &query, &decision, effects);
  return false;
}

bool
admission_check_waiting (kwf_core_t *core, request_t *request,
                         kwf_effects_t *effects)
{
  if (request->n_ran || !admission_applies (core, request))
    return true;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  admission_query_t query = query_for (core, request, now_ns);
  if (request->held && query.waited_ns < admission_hold_ns (&query))
    return true;
  /* Its time is over while all servers are full, so admission_check, which is
     called for a server with room, has not released it.  */
  if (request->held)
    release (core, request, &query, effects);
  admission_decision_t decision = admission_decide (&query);
  if (decision.verdict != ADMISSION_LATE && decision.verdict != ADMISSION_CUT)
    return true;
  refuse (core, request, &query, &decision, effects);
  return false;
}

int
admission_lane (const request_t *request)
{
  return request->held ? QUEUE_LANES - 1 : request->priority;
}

/* Attempts.  */

int
admission_attempt_started (kwf_core_t *core, attempt_t *attempt)
{
  request_t *request = attempt->request;
  if (!admission_applies (core, request))
    return request->priority;
  const server_t *server = attempt->server;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  attempt->had_place = open_at (server, now_ns) < server->slots;
  if (request->n_attempts == 1)
    count (core, request, OUTCOME_STARTED);
  if (request->patient && request->turn_came)
    return KWF_PRIORITY_URGENT;
  return request->patient ? MAX (request->priority, KWF_PRIORITY_OVERNIGHT)
                          : request->priority;
}

static void
add_sample (double *mean_s, int64_t sample_ns)
{
  double sample_s = (double)sample_ns / (double)KWF_NS_PER_S;
  *mean_s
      = *mean_s > 0 ? *mean_s + (sample_s - *mean_s) * MEAN_WEIGHT : sample_s;
}

void
admission_attempt_ended (kwf_core_t *core, const attempt_t *attempt,
                         int64_t now_ns)
{
  /* Only what did not wait in the server's queue shows how long work takes.
     A part of an answer does not.  */
  if (!attempt->had_place || !attempt->ended || attempt->failed
      || attempt->resume_from || !attempt->request->service)
    return;
  admission_service_t *service
      = service_of (core->admission, attempt->request->service);
  add_sample (&service->run_s, now_ns - attempt->sent_ns);
  int64_t first_ns = attempt->answered ? attempt->answered_ns : now_ns;
  add_sample (&service->read_s, first_ns - attempt->sent_ns);
}
