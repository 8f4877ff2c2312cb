/* Attempts: a server is chosen and the request is sent to it, as a first
   attempt, retry, hedge or trial.  */

#include "request.h"

#include "balance/contention.h"
#include "balance/observe.h"
#include "evacuation/home.h"
#include "balance/report.h"
#include "admission/admission.h"
#include "notice.h"
#include "error-code.h"

/* Requests with a fingerprint that is on trial wait at most this long.  */
#define TRIAL_WAIT_NS (5 * KWF_NS_PER_S)
/* A request waits this long for a server that may be available soon.  */
#define ROUTE_WAIT_NS (2 * KWF_NS_PER_S)
/* A request that ran on servers that crashed waits this long for the message
   of a peer that another fingerprint was the cause.  */
#define CAUSE_WAIT_NS (1 * KWF_NS_PER_S)
/* Delay before a trial is requested again.  */
#define TRIAL_RETRY_NS (KWF_NS_PER_S / 5)
/* A trial holds its server at most this long.  */
#define TRIAL_MAX_NS (60 * KWF_NS_PER_S)

/* What the next attempt of REQUEST is, for the log.  */
static const char *
attempt_kind (const request_t *request, bool hedge)
{
  if (hedge)
    return "hedge";
  if (request->trial)
    return "trial";
  if (request_has_begun (request))
    return "resume";
  return request->n_attempts > 1 ? "retry" : "first";
}

/* EXTRA: the retry budget was charged for it.  */
static void
start_attempt (kwf_core_t *core, request_t *request, server_t *server,
               bool hedge, bool extra, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  kwf_handle_t handle;
  attempt_t *attempt = kwf_slots_add (core->attempts, &handle);
  *attempt = (attempt_t){ .handle = handle,
                          .request = request,
                          .server = server,
                          .incarnation = server->incarnation,
                          .software = server->software,
                          .sent_ns = now_ns,
                          .taken_ns = extra ? now_ns : 0,
                          .resume_from = request->delivered };
  if (hedge)
    request->hedge = attempt;
  else
    request->attempt = attempt;
  if (!request->n_attempts && !request->preempted_ns)
    series_record (request->series, HISTOGRAM_QUEUE_WAIT,
                   now_ns - request->arrived_ns, 1);
  wait_remove_request (core, request, true);
  request->n_attempts++;
  request->n_arrived++;
  request->n_ran++;
  core->n_attempts++;
  int priority = admission_attempt_started (core, attempt);
  kwf_effects_log (
      effects, 222, KWF_LOG_INFO, request->id,
      "sent to server=%s attempt=%d/%d load=%d+%d/%d sent_since=%d "
      "age_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT " kind=%s",
      server->id, request->n_attempts, request->max_attempts, server->running,
      server->waiting, server->slots, server->sent,
      (now_ns - request->arrived_ns) / KWF_NS_PER_MS,
      (request->deadline_ns - now_ns) / KWF_NS_PER_MS,
      attempt_kind (request, hedge));
  report_choice (core, attempt, effects);
  observe_start (attempt);
  backend_attempt_started (core->backend, server, now_ns);
  /* The attempt takes the kept connection, if there is one.  */
  server->kept_until_ns = 0;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ATTEMPT_START);
  effect->start
      = (kwf_attempt_start_t){ .request = request->handle,
                               .attempt = handle,
                               .server = server->id,
                               .address = server->address,
                               .deadline_ns = request->deadline_ns,
                               .resume_from = attempt->resume_from,
                               .priority = priority,
                               .resumes = request_has_begun (request),
                               .repeatable = request->idempotent,
                               .stream = request->stream,
                               .keep_unsafe = core->options.keep_unsafe
                                              && server_is_measured (server),
                               .organisation = request->organisation };
}

/* Whether the next attempt of REQUEST is charged to the retry budget.  */
static bool
is_extra (const kwf_core_t *core, const request_t *request)
{
  return retry_budget_by_service (core->retries)
             ? request->n_arrived > 0
             : request->n_attempts > 0 || request->trial;
}

/* Spend one extra attempt of the retry budget, or refuse REQUEST and return
   false.  */
static bool
spend_retry_budget (kwf_core_t *core, request_t *request,
                    kwf_effects_t *effects)
{
  if (request->resume_taken_ns)
    {
      retry_budget_move (core->retries, request->service,
                         request->resume_taken_ns);
      request->resume_taken_ns = 0;
      return true;
    }
  repeat_kind_t kind = request->trial                ? REPEAT_TRIAL
                       : request_has_begun (request) ? REPEAT_RESUME
                                                     : REPEAT_RETRY;
  if (retry_budget_take (core->retries, request->service, kind))
    return true;
  if (request_has_begun (request))
    request_fail (core, request, CODE_STREAM_BROKEN, -1,
                  "the stream broke and the retry budget is used up", effects);
  else
    request_fail (core, request, CODE_RETRY_BUDGET_EXHAUSTED, 1000,
                  "the retry budget is used up", effects);
  return false;
}

/* Send REQUEST to SERVER, after the last checks: retry budget and claim.  */
static void
send_to_server (kwf_core_t *core, request_t *request, server_t *server,
                kwf_effects_t *effects)
{
  bool extra = is_extra (core, request);
  if (extra && !spend_retry_budget (core, request, effects))
    return;
  if (request->at_most_once
      && !claims_mark_sent (core->claims, request->handle, effects))
    {
      /* claims_mark_sent has abandoned the claim.  */
      request->claimed = false;
      request_fail (core, request, CODE_CLAIM_UNAVAILABLE, 1000,
                    "the claim was too old to be used", effects);
      return;
    }
  if (request->trial)
    core->n_trials++;
  else if (request_has_begun (request))
    core->n_resumes++;
  else if (extra)
    core->n_retries++;
  request->state = REQUEST_SENT;
  request->queued_since_ns = 0;
  request->last_code = CODE_OK;
  start_attempt (core, request, server, false, extra, effects);
  int64_t hedge_ns
      = hedge_delay_ns (&core->hedge_delays[hedge_delay_kind (request)]);
  bool may_hedge = hedge_ns && request->idempotent && !request->trial
                   && !request_has_begun (request)
                   && request->kind != KWF_REQUEST_ROUTED;
  request_set_action (core, request,
                      may_hedge ? kwf_now_ns (core->options.clock) + hedge_ns
                                : 0);
}

/* What decides which servers may begin the stream of REQUEST; NULL: all
   may.  */
static const origins_t *
origins_of (const kwf_core_t *core, const request_t *request)
{
  bool begins = request->resumable && request->stream && !request->has_origin;
  return begins && origins_are_unwritten (core->origins) ? core->origins
                                                         : NULL;
}

static route_result_t
choose_server (kwf_core_t *core, const request_t *request, bool suspect,
               bool allow_tried, int64_t now_ns)
{
  server_t *tried[ROUTE_MAX_TRIED + 2];
  int n_tried = 0;
  for (int i = 0; i < request->n_tried && !allow_tried; i++)
    tried[n_tried++] = request->tried_servers[i];
  for (int i = 0; suspect && i < 2; i++)
    {
      const char *id
          = crash_lost_server (core->crash, request->fingerprint, i);
      server_t *lost = id ? backend_find (core->backend, id) : NULL;
      if (lost)
        tried[n_tried++] = lost;
    }
  const kwf_lists_t *lists = config_lists (core->config);
  const kwf_model_t *model = lists && request_has_model (request)
                                 ? kwf_lists_model (lists, request->model)
                                 : NULL;
  route_query_t query
      = { .model = request->model,
          .adapter = request->adapter,
          .version = model ? model->version : NULL,
          .service = request->service,
          .key = request->route_key,
          .sample_key = request->hash,
          .data_centre = core->options.data_centre,
          .excluded_regions = home_excluded (core, request),
          .tried = tried,
          .n_tried = n_tried,
          .suspect = suspect,
          .needs_stream_resume = request->delivered > 0,
          .origins = origins_of (core, request),
          .has_origin = request->has_origin,
          .origin = request->origin,
          .all_holders = request->kind == KWF_REQUEST_ROUTED,
          .prompt_tokens = request->prompt_tokens + request->delivered,
          .gap_aim_ns = request->gap_aim_ns,
          .spread = request->hash ^ core->instance_hash };
  route_result_t route
      = policy_choose (core->policy, core->backend, &query, now_ns);
  if (!query.origins
      || (route.verdict != ROUTE_NONE && route.verdict != ROUTE_UNAVAILABLE))
    return route;
  query.origins = NULL;
  return policy_choose (core->policy, core->backend, &query, now_ns);
}

/* Of the servers that could run REQUEST if they did not pause, the one whose
   pause ends first; NULL: none.  */
static server_t *
first_pause_to_end (kwf_core_t *core, const request_t *request)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  const GPtrArray *holders
      = request->model
            ? backend_servers_of_model (core->backend, request->model)
            : backend_servers_of_service (core->backend, request->service);
  server_t *first = NULL;
  for (guint i = 0; holders && i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (notice_server_is_paused (server, now_ns) && !server_leaving (server)
          && !server->refused && server_holds_model (server, request->model)
          && !home_excludes (core, request, server)
          && (!first
              || server->notice.pause_until_ns < first->notice.pause_until_ns))
        first = server;
    }
  return first;
}

/* Refuse REQUEST, for which no server is left.  */
static void
refuse_unrouted (kwf_core_t *core, request_t *request, bool suspect,
                 route_verdict_t verdict, kwf_effects_t *effects)
{
  server_t *paused = first_pause_to_end (core, request);
  if (paused && !request_has_begun (request) && !request->n_ran)
    {
      int64_t now_ns = kwf_now_ns (core->options.clock);
      int64_t after_ns
          = notice_retry_after_ns (paused, request->priority, now_ns);
      after_ns = admission_return_ns (core, request, after_ns,
                                      paused->notice.pause_until_ns - now_ns);
      request_fail (core, request, CODE_OVERLOADED, after_ns / KWF_NS_PER_MS,
                    "the servers that could run the request asked for a pause",
                    effects);
      return;
    }
  int64_t retry_ms = admission_retry_ms (core, request, 1000);
  if (request_has_begun (request))
    request_fail (core, request, CODE_STREAM_BROKEN, -1,
                  "the stream broke and no server can resume it", effects);
  else if (suspect)
    request_fail (core, request, CODE_SUSPECT_NOT_RETRIED, 5000,
                  "the request ran on a server that crashed, and its other "
                  "candidate is not available",
                  effects);
  else if (request->last_code != CODE_OK)
    request_fail (core, request, request->last_code, retry_ms,
                  "no other server could answer", effects);
  else if (verdict == ROUTE_NONE && request_has_model (request))
    request_fail (core, request, CODE_MODEL_NOT_RESIDENT, retry_ms,
                  "no server holds the model now", effects);
  else
    request_fail (core, request, CODE_NO_SERVER, retry_ms,
                  "no server can take the request now", effects);
}

void
attempt_schedule (kwf_core_t *core, request_t *request, int64_t retry_ns,
                  int64_t now_ns)
{
  wait_remove_request (core, request, false);
  request->state = REQUEST_QUEUED;
  if (!request->queued_since_ns)
    request->queued_since_ns = now_ns;
  request_set_action (core, request, retry_ns);
}

/* Queue REQUEST until a trial of its fingerprint or of its server has ended,
   for LIMIT_NS at most.  */
static void
wait_for_trial (kwf_core_t *core, request_t *request, int64_t limit_ns,
                int64_t now_ns, kwf_effects_t *effects)
{
  if (request->queued_since_ns
      && now_ns - request->queued_since_ns >= limit_ns)
    {
      refuse_unrouted (core, request, true, ROUTE_UNAVAILABLE, effects);
      return;
    }
  attempt_schedule (core, request, now_ns + TRIAL_RETRY_NS, now_ns);
}

/* Check before each send what was already checked at admission.  */
static bool
check_before_send (kwf_core_t *core, request_t *request, int64_t now_ns,
                   kwf_effects_t *effects)
{
  if (now_ns >= request->deadline_ns)
    request_fail (core, request, CODE_DEADLINE_EXCEEDED, -1,
                  "the deadline passed before the answer was complete",
                  effects);
  else if (!session_may_act (core->session))
    request_fail (core, request, CODE_NOT_AUTHORISED_TO_ACT, 1000,
                  "this instance has no lease: use another address", effects);
  else if (request->organisation[0]
           && !config_key_organisation (core->config, request->digest))
    request_fail (core, request, CODE_KEY_WITHDRAWN, -1,
                  "the key was withdrawn", effects);
  else
    return stop_check_start (core, request, effects);
  return false;
}

bool
kwf_core_may_send (const kwf_core_t *core, kwf_handle_t handle)
{
  if (handover_is (handle))
    return handover_may_send (core);
  const attempt_t *attempt = kwf_slots_get (core->attempts, handle);
  if (!attempt)
    return false;
  const request_t *request = attempt->request;
  const server_t *server = attempt->server;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  return attempt->incarnation == server->incarnation
         && !server_leaving (server)
         && !notice_server_is_paused (server, now_ns)
         && !home_excludes (core, request, server)
         && cold_may_send (&server->limit.cold, attempt->sent_ns, now_ns)
         && session_may_act (core->session) && feature_may_send (core, request)
         && (!request->organisation[0]
             || config_key_organisation (core->config, request->digest));
}

static void
request_trial (kwf_core_t *core, request_t *request, server_t *server,
               int64_t now_ns, kwf_effects_t *effects)
{
  request->state = REQUEST_AWAITS_TRIAL;
  crash_ask_for_trial (core->crash, request->fingerprint, server->id,
                       server->incarnation, request->handle,
                       MIN (request->deadline_ns, now_ns + TRIAL_MAX_NS),
                       effects);
}

/* Whether a server that is reachable and does not leave holds the model of
   REQUEST and, for a routed request, its adapter.  For other requests the
   engine fetches the adapter itself.  */
static bool
is_model_resident (kwf_core_t *core, const request_t *request)
{
  const char *model = request->model;
  bool adapter = request->kind == KWF_REQUEST_ROUTED && request->adapter;
  const GPtrArray *holders = backend_servers_of_model (core->backend, model);
  for (guint i = 0; holders && i < holders->len; i++)
    {
      const server_t *server = g_ptr_array_index (holders, i);
      if (server_holds_model (server, model) && !server->refused
          && !server_leaving (server) && !home_excludes (core, request, server)
          && (!adapter
              || server_holds_adapter (server, model, request->adapter)))
        return true;
    }
  return false;
}

/* Whether REQUEST, for which there is no server, waits until an engine has
   loaded its model.  */
static bool
may_wait_for_load (kwf_core_t *core, const request_t *request)
{
  return core->options.placement.dynamic && request_has_model (request)
         && kwf_lists_model (config_lists (core->config), request->model)
         && !is_model_resident (core, request);
}

void
attempt_dispatch (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  home_refresh (core, request);
  if (!check_before_send (core, request, now_ns, effects)
      || handover_start (core, request, effects)
      || handover_refuse (core, request, effects)
      || feature_refuse_suspect (core, request, effects)
      || feature_awaits_trial (core, request, effects))
    return;
  crash_state_t crash = crash_state (core->crash, request->fingerprint);
  if (crash == CRASH_QUARANTINED && request->n_ran
      && crash_is_unproven (core->crash, request->fingerprint)
      && (!request->queued_since_ns
          || now_ns - request->queued_since_ns < CAUSE_WAIT_NS))
    {
      attempt_schedule (core, request, now_ns + TRIAL_RETRY_NS, now_ns);
      return;
    }
  if (crash == CRASH_QUARANTINED)
    {
      request_fail (core, request, CODE_REQUEST_CRASHES_SERVERS, -1,
                    "this request crashed the servers that ran it", effects);
      return;
    }
  if (crash == CRASH_TRIAL)
    {
      wait_for_trial (core, request, TRIAL_WAIT_NS, now_ns, effects);
      return;
    }
  bool suspect = crash == CRASH_SUSPECT;
  if (request->n_attempts >= request->max_attempts
      || (suspect && request->trial_used) || !request_can_go_on (request))
    {
      refuse_unrouted (core, request, suspect, ROUTE_UNAVAILABLE, effects);
      return;
    }
  if (!takeup_find_origin (core, request, now_ns, effects))
    return;
  route_result_t route = choose_server (core, request, suspect, false, now_ns);
  if (route.verdict == ROUTE_UNAVAILABLE && request->retry_same_server
      && !suspect)
    route = choose_server (core, request, false, true, now_ns);
  if (route.verdict == ROUTE_WAIT
      && (!request->queued_since_ns
          || now_ns - request->queued_since_ns <= ROUTE_WAIT_NS))
    attempt_schedule (core, request, route.retry_ns, now_ns);
  else if (route.verdict == ROUTE_NO_ROOM
           || (route.verdict != ROUTE_FOUND && !suspect
               && may_wait_for_load (core, request)))
    wait_enter (core, request, &route, effects);
  else if (route.verdict == ROUTE_UNAVAILABLE && suspect)
    wait_for_trial (core, request, CAUSE_WAIT_NS, now_ns, effects);
  else if (route.verdict != ROUTE_FOUND)
    refuse_unrouted (core, request, suspect, route.verdict, effects);
  else if (suspect)
    request_trial (core, request, route.server, now_ns, effects);
  else if (admission_check (core, request, route.server, effects))
    send_to_server (core, request, route.server, effects);
}

void
attempt_trial_result (kwf_core_t *core, const crash_result_t *result,
                      kwf_effects_t *effects)
{
  if (core->options.push_updates)
    {
      feature_trial_result (core, result, effects);
      return;
    }
  request_t *request = request_find (core, result->request);
  if (!request || request->state != REQUEST_AWAITS_TRIAL)
    {
      if (result->granted)
        crash_trial_ended (core->crash, result->fingerprint, false, effects);
      return;
    }
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (!result->granted && result->wait)
    {
      wait_for_trial (core, request, TRIAL_WAIT_NS, now_ns, effects);
      return;
    }
  if (!result->granted)
    {
      request_refuse (
          core, request,
          &(refusal_t){ .code = CODE_SUSPECT_NOT_RETRIED,
                        .run = request_has_begun (request) ? KWF_RUN_YES
                                                           : KWF_RUN_UNKNOWN,
                        .retry_after_ms = 5000,
                        .message = "the request ran on a server that "
                                   "crashed, and its trial could not be "
                                   "recorded" },
          effects);
      return;
    }
  request->trial = true;
  server_t *server = backend_find (
      core->backend, crash_trial_server (core->crash, result->fingerprint));
  if (!check_before_send (core, request, now_ns, effects))
    return;
  if (!server || !server_usable (server, now_ns)
      || home_excludes (core, request, server)
      || !limit_may_call (&server->limit, LIMIT_WAIT_MAX_NS, now_ns))
    {
      request->trial = false;
      crash_trial_ended (core->crash, request->fingerprint, false, effects);
      attempt_dispatch (core, request, effects);
      return;
    }
  kwf_effects_log (effects, 303, KWF_LOG_INFO, request->id,
                   "suspect is tried once on %s", server->id);
  send_to_server (core, request, server, effects);
}

void
attempt_hedge (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (request->hedge || !request->attempt || request->trial
      || request->n_attempts >= request->max_attempts
      || !session_may_act (core->session)
      || !stop_allows_start (core, request, now_ns)
      || crash_state (core->crash, request->fingerprint) != CRASH_CLEAR
      || request->part_trial_ns || !feature_may_send (core, request))
    return;
  server_t *running = request->attempt->server;
  request->tried_servers[request->n_tried++] = running;
  /* As for a suspect: all requests with a fingerprint stay on its two
     candidates.  */
  route_result_t route = choose_server (core, request, true, false, now_ns);
  request->n_tried--;
  if (route.verdict != ROUTE_FOUND
      || !retry_budget_take (core->retries, request->service, REPEAT_HEDGE))
    return;
  core->n_hedges++;
  start_attempt (core, request, route.server, true, true, effects);
}

void
attempt_remove (kwf_core_t *core, attempt_t *attempt, outcome_t outcome,
                int64_t now_ns)
{
  request_t *request = attempt->request;
  if (request->hedge == attempt)
    request->hedge = NULL;
  else if (request->attempt == attempt)
    {
      request->attempt = request->hedge;
      request->hedge = NULL;
    }
  if (attempt->late && outcome == OUTCOME_GOOD)
    outcome = OUTCOME_LATE;
  observe_end (attempt, now_ns);
  if (!attempt->answered)
    attempt->server->unanswered--;
  admission_attempt_ended (core, attempt, now_ns);
  backend_attempt_ended (core->backend, attempt->server, outcome, now_ns);
  waits_recheck_server (core, attempt->server);
  kwf_slots_remove (core->attempts, attempt->handle);
}

void
attempt_cancel (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ATTEMPT_CANCEL);
  effect->attempt.request = attempt->request->handle;
  effect->attempt.attempt = attempt->handle;
  feature_run_ended (core, attempt, false, effects);
  attempt_remove (core, attempt, OUTCOME_NEUTRAL,
                  kwf_now_ns (core->options.clock));
}
