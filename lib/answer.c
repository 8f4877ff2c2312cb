/* Data, answers and failures of attempts, as they come from the backend
   servers.  */

#include "request.h"

#include "balance/observe.h"
#include "notice.h"
#include "error-code.h"
#include "promise.h"

/* How long a request whose connection broke waits for a load report that shows
   whether its server crashed.  */
#define CRASH_CHECK_NS (KWF_NS_PER_S / 2)

#define HTTP_NO_CONTENT 204
#define HTTP_RESET_CONTENT 205
#define HTTP_BAD_REQUEST 400
#define HTTP_NOT_FOUND 404
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_SERVER_ERROR 500
#define HTTP_UNAVAILABLE 503

static int64_t
now_of (const kwf_core_t *core)
{
  return kwf_now_ns (core->options.clock);
}

/* ATTEMPT is the first to answer: cancel the other one.  */
static void
cancel_loser (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  if (!request->hedge)
    return;
  attempt_t *loser
      = request->hedge == attempt ? request->attempt : request->hedge;
  /* The first attempt lost to the hedge although it was sent earlier.  */
  if (request->hedge == attempt)
    backend_lost_to_hedge (core->backend, loser->server, now_of (core));
  attempt_cancel (core, loser, effects);
}

static void
handle_first_data (kwf_core_t *core, attempt_t *attempt, int64_t now_ns,
                   kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  cancel_loser (core, attempt, effects);
  observe_first_data (attempt, now_ns);
  attempt->answered = true;
  attempt->answered_ns = now_ns;
  pacing_attempt_answered (core, attempt, now_ns);
  if (request_has_model (request))
    wait_first_token (core, attempt, now_ns);
  attempt->late = outlier_record_latency (
      core->backend, attempt->server, request->model, request->prompt_tokens,
      now_ns - attempt->sent_ns, now_ns);
  request->state = REQUEST_STREAMING;
  request_set_action (core, request, 0);
  if (request_has_begun (request))
    return;
  hedge_delay_record (&core->hedge_delays[hedge_delay_kind (request)],
                      now_ns - attempt->sent_ns, now_ns);
  series_record (request->series, HISTOGRAM_FIRST_TOKEN,
                 now_ns - request->arrived_ns, 1);
}

/* Withhold what arrived until this instance has a lease again.  A stream under
   way is withheld for the length of a lease.  A complete answer is withheld
   for one renewal period: a renewal that can still succeed, directly or
   through a peer, does so within it, and without a renewal the key may have
   been withdrawn.  */
static void
withhold (kwf_core_t *core, request_t *request, int64_t now_ns)
{
  bool ended = request->attempt && request->attempt->ended;
  int64_t until_ns
      = now_ns + (ended ? core->options.renew_ns : core->options.lease_ns);
  if (request->withheld && request->action_ns)
    until_ns = MIN (until_ns, request->action_ns);
  if (!request->withheld)
    core->n_withheld++;
  request->withheld = true;
  request_set_action (core, request, until_ns);
}

static void
add_attempt_effect (kwf_effects_t *effects, kwf_effect_type_t type,
                    const attempt_t *attempt)
{
  kwf_effect_t *effect = kwf_effects_add (effects, type);
  effect->attempt.request = attempt->request->handle;
  effect->attempt.attempt = attempt->handle;
}

static void
forward_data (kwf_core_t *core, attempt_t *attempt, int64_t now_ns,
              kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  takeup_note_events (core, attempt);
  int64_t delivered = attempt->resume_from + attempt->tokens;
  int64_t more = delivered - request->delivered;
  if (request->last_data_ns && more > 0)
    series_record (request->series, HISTOGRAM_TOKEN_INTERVAL,
                   (now_ns - request->last_data_ns) / more, (double)more);
  if (request->last_data_ns)
    request->longest_gap_ns
        = MAX (request->longest_gap_ns, now_ns - request->last_data_ns);
  else
    request->first_data_ns = now_ns;
  request->last_data_ns = now_ns;
  request->delivered = delivered;
  request->no_resume = attempt->no_resume;
  if (delivery_step (&request->delivery, delivery_events (attempt->by_close))
      != DELIVER_NOTHING)
    add_attempt_effect (effects, KWF_FX_FORWARD, attempt);
}

/* ATTEMPT is over: dispatch the request again, unless its other attempt still
   runs.  */
static void
retry (kwf_core_t *core, attempt_t *attempt, outcome_t outcome,
       error_code_t code, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  if (request->n_tried < ROUTE_MAX_TRIED)
    request->tried_servers[request->n_tried++] = attempt->server;
  attempt_remove (core, attempt, outcome, now_of (core));
  if (request->attempt)
    return;
  request->last_code = code;
  if (request->trial)
    {
      request->trial = false;
      request->trial_used = true;
      crash_trial_ended (core->crash, request->fingerprint, false, effects);
    }
  attempt_dispatch (core, request, effects);
}

static const char leaves_out_events[] = "it leaves out events";
static const char is_other_process[] = "it was started anew";

/* ATTEMPT answered with something that must not follow what the caller has
   got.  */
static void
reject_run (kwf_core_t *core, attempt_t *attempt, outcome_t outcome,
            const char *cause, kwf_effects_t *effects)
{
  kwf_effects_log (effects, 237, KWF_LOG_WARNING, attempt->request->id,
                   "a begun stream does not go on at server=%s: %s",
                   attempt->server->id, cause);
  attempt->request->retry_same_server = false;
  retry (core, attempt, outcome, CODE_STREAM_BROKEN, effects);
}

void
answer_data (kwf_core_t *core, const kwf_attempt_event_t *event,
             kwf_effects_t *effects)
{
  attempt_t *attempt = kwf_slots_get (core->attempts, event->attempt);
  if (!attempt)
    return;
  request_t *request = attempt->request;
  int64_t now_ns = now_of (core);
  observe_load (core, attempt, event, effects);
  if (event->gap
      && delivery_action (request->delivery, DELIVERY_GAP) == DELIVER_RETRY)
    {
      add_attempt_effect (effects, KWF_FX_ATTEMPT_CANCEL, attempt);
      feature_run_ended (core, attempt, false, effects);
      reject_run (core, attempt, OUTCOME_BAD, leaves_out_events, effects);
      return;
    }
  if (takeup_is_foreign (attempt))
    {
      add_attempt_effect (effects, KWF_FX_ATTEMPT_CANCEL, attempt);
      feature_run_ended (core, attempt, false, effects);
      reject_run (core, attempt, OUTCOME_NEUTRAL, is_other_process, effects);
      return;
    }
  if (request->state != REQUEST_STREAMING)
    handle_first_data (core, attempt, now_ns, effects);
  observe_events (attempt, event->tokens, now_ns);
  attempt->tokens = event->tokens;
  attempt->by_close = event->by_close;
  attempt->no_resume = event->no_resume;
  feature_answer_goes_on (core, attempt, now_ns, effects);
  if (session_may_act (core->session))
    forward_data (core, attempt, now_ns, effects);
  else
    withhold (core, request, now_ns);
}

static delivery_input_t
end_input (const attempt_t *attempt)
{
  return attempt->stream ? delivery_end (attempt->by_close)
                         : delivery_answer (attempt->by_close);
}

/* The answer of ATTEMPT is complete and may be forwarded.  */
static void
finish_request (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  request->delivered = attempt->resume_from + attempt->tokens;
  if (delivery_step (&request->delivery, end_input (attempt))
      != DELIVER_NOTHING)
    add_attempt_effect (effects, KWF_FX_FORWARD_END, attempt);
  if (!request->trial)
    feature_answered (core, attempt, effects);
  attempt_remove (core, attempt, attempt->failed ? OUTCOME_BAD : OUTCOME_GOOD,
                  now_of (core));
  request_end (core, request, CODE_OK, effects);
}

static bool
is_engine_failure (const request_t *request, int status)
{
  return request->kind == KWF_REQUEST_COMPLETION
         && (status == HTTP_NOT_FOUND || status == HTTP_TOO_MANY_REQUESTS
             || status >= HTTP_SERVER_ERROR);
}

static void
handle_engine_failure (kwf_core_t *core, attempt_t *attempt, int status,
                       kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  request->retry_same_server = false;
  if (status >= HTTP_SERVER_ERROR)
    {
      retry (core, attempt, OUTCOME_BAD, CODE_BACKEND_ERROR, effects);
      return;
    }
  /* The engine did not start the request.  */
  request->n_ran--;
  if (status == HTTP_TOO_MANY_REQUESTS)
    wait_shrink_window (core, attempt, now_of (core));
  retry (core, attempt, OUTCOME_NEUTRAL,
         status == HTTP_NOT_FOUND ? CODE_MODEL_NOT_RESIDENT : CODE_NO_SERVER,
         effects);
}

/* The server answered that it did not run the request.  */
static void
handle_not_run (kwf_core_t *core, attempt_t *attempt,
                const kwf_attempt_event_t *event, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  const server_t *server = attempt->server;
  kwf_effects_log (effects, 226, KWF_LOG_INFO, request->id,
                   "not run by server=%s status=%d target=%s adapter=%s "
                   "load=%d+%d/%d",
                   server->id, event->status,
                   request->model ? request->model : request->service,
                   request->adapter ? request->adapter : "-", server->running,
                   server->waiting, server->slots);
  request->n_ran--;
  request->retry_same_server = false;
  if (event->misplaced && request_has_model (request))
    backend_drop_resident (core->backend, attempt->server, request->model,
                           request->adapter);
  else if (!event->misplaced && request_has_model (request)
           && !notice_server_is_paused (attempt->server, now_of (core)))
    wait_shrink_window (core, attempt, now_of (core));
  retry (core, attempt, OUTCOME_NEUTRAL, CODE_NO_SERVER, effects);
}

/* Whether a routed request that failed at its server is sent to another one;
   if not, the caller gets the server's own failure.  */
static bool
may_retry_failure (const kwf_core_t *core, const request_t *request)
{
  return request->idempotent && request->n_attempts < request->max_attempts
         && stop_allows_start (core, request, now_of (core))
         && retry_budget_left (core->retries, request->service);
}

/* What an answer with STATUS says about the server: 503 from a server that
   asked for a pause is not a failure of the server.  */
static outcome_t
server_outcome (const kwf_core_t *core, const attempt_t *attempt, int status)
{
  return status == HTTP_UNAVAILABLE
                 && notice_server_is_paused (attempt->server, now_of (core))
             ? OUTCOME_NEUTRAL
             : OUTCOME_BAD;
}

/* The same of an answer that must not follow what the caller has got: a
   request that is refused may have been refused for what it is.  */
static outcome_t
rejected_outcome (const kwf_core_t *core, const attempt_t *attempt, int status)
{
  return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR
             ? OUTCOME_NEUTRAL
             : server_outcome (core, attempt, status);
}

/* The request was sent and must not be sent again, and MESSAGE says why it has
   no result.  */
static void
refuse_unrepeatable (kwf_core_t *core, attempt_t *attempt, outcome_t outcome,
                     const char *message, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  attempt_remove (core, attempt, outcome, now_of (core));
  request_refuse (core, request,
                  &(refusal_t){ .code = CODE_OUTCOME_UNKNOWN,
                                .run = KWF_RUN_UNKNOWN,
                                .retry_after_ms = -1,
                                .message = message },
                  effects);
}

/* Handle an answer to a routed request that is not forwarded.  False: it is to
   be forwarded.  */
static bool
handle_routed_failure (kwf_core_t *core, attempt_t *attempt,
                       const kwf_attempt_event_t *event,
                       kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  promise_t promise
      = promise_of_answer (event->status, event->not_run, request->idempotent);
  if (promise == PROMISE_NOT_RUN)
    handle_not_run (core, attempt, event, effects);
  else if (promise == PROMISE_UNPROVEN)
    {
      kwf_effects_log (effects, 238, KWF_LOG_WARNING, request->id,
                       "server=%s answers status=%d without \"not run\"",
                       attempt->server->id, event->status);
      refuse_unrepeatable (core, attempt,
                           server_outcome (core, attempt, event->status),
                           "the server refused the call, but does not say "
                           "that it did not run it",
                           effects);
    }
  else if (event->status >= HTTP_SERVER_ERROR
           && may_retry_failure (core, request))
    {
      request->retry_same_server = false;
      retry (core, attempt, server_outcome (core, attempt, event->status),
             CODE_BACKEND_ERROR, effects);
    }
  else
    return false;
  return true;
}

/* Whether EVENT ends a stream of events, and not an answer whose body is
   whole.  Answers with 204 and 205 have no body.  */
static bool
is_stream_end (const kwf_attempt_event_t *event)
{
  return event->status / 100 == 2 && event->status != HTTP_NO_CONTENT
         && event->status != HTTP_RESET_CONTENT && !event->body;
}

void
answer_end (kwf_core_t *core, const kwf_attempt_event_t *event,
            kwf_effects_t *effects)
{
  attempt_t *attempt = kwf_slots_get (core->attempts, event->attempt);
  if (!attempt)
    return;
  request_t *request = attempt->request;
  observe_load (core, attempt, event, effects);
  if (event->kept_ns)
    attempt->server->kept_until_ns = now_of (core) + event->kept_ns;
  if (request->kind == KWF_REQUEST_ROUTED
      && request->state != REQUEST_STREAMING
      && handle_routed_failure (core, attempt, event, effects))
    return;
  if (request->state != REQUEST_STREAMING
      && is_engine_failure (request, event->status))
    {
      handle_engine_failure (core, attempt, event->status, effects);
      return;
    }
  attempt->stream = is_stream_end (event);
  attempt->by_close = event->by_close;
  delivery_input_t input = event->gap ? DELIVERY_GAP : end_input (attempt);
  if (delivery_action (request->delivery, input) == DELIVER_RETRY)
    {
      reject_run (core, attempt,
                  rejected_outcome (core, attempt, event->status),
                  event->gap        ? leaves_out_events
                  : attempt->stream ? "only its connection marks its end"
                                    : "its answer is no stream",
                  effects);
      return;
    }
  int64_t now_ns = now_of (core);
  if (request->state != REQUEST_STREAMING)
    handle_first_data (core, attempt, now_ns, effects);
  attempt->tokens = event->tokens;
  bool is_stored = request->claimed;
  if (is_stored)
    {
      /* The request has run, so its outcome is recorded whether or not this
         instance has a lease.  */
      request->claimed = false;
      claims_store_answer (core->claims, request->handle, event->status,
                           event->content_type, event->body, event->body_size,
                           effects);
      core->stop.linger_ns = now_ns + KWF_NS_PER_S / 2;
    }
  request->succeeded = event->status / 100 == 2;
  attempt->ended = true;
  attempt->failed
      = request->kind == KWF_REQUEST_ROUTED
        && event->status >= HTTP_SERVER_ERROR
        && server_outcome (core, attempt, event->status) == OUTCOME_BAD;
  /* An answer whose outcome is stored goes to its caller as it is stored.  */
  if (attempt->by_close && event->status / 100 == 2 && !is_stored)
    end_check_begin (core, attempt, effects);
  else
    answer_complete (core, attempt, effects);
}

void
answer_complete (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  if (session_may_act (core->session))
    finish_request (core, attempt, effects);
  else
    withhold (core, attempt->request, now_of (core));
}

void
answer_forward_withheld (kwf_core_t *core, kwf_effects_t *effects)
{
  int64_t now_ns = now_of (core);
  GPtrArray *held = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const request_t *)value)->withheld)
      g_ptr_array_add (held, value);
  for (guint i = 0; i < held->len; i++)
    {
      request_t *request = g_ptr_array_index (held, i);
      request->withheld = false;
      core->n_withheld--;
      request_set_action (core, request, 0);
      if (!request->attempt)
        continue;
      if (request->attempt->ended)
        finish_request (core, request->attempt, effects);
      else
        forward_data (core, request->attempt, now_ns, effects);
    }
  g_ptr_array_free (held, TRUE);
}

/* Failures.  */

static const char unanswered[]
    = "the call was sent and no answer came; it is not sent again";

static void
handle_unsent (kwf_core_t *core, attempt_t *attempt, kwf_failure_t failure,
               kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  request->n_arrived--;
  if (attempt->taken_ns)
    retry_budget_return (core->retries, request->service, attempt->taken_ns);
  request->n_ran--;
  request->retry_same_server = false;
  if (request->trial)
    {
      /* The trial did not take place: the server was not reached.  */
      request->trial = false;
      crash_trial_ended (core->crash, request->fingerprint, false, effects);
    }
  outcome_t outcome = OUTCOME_BAD;
  if (failure == KWF_FAIL_REFUSED)
    outcome = OUTCOME_REFUSED;
  else if (failure == KWF_FAIL_NOT_SENT)
    {
      /* This instance decided not to send it.  */
      outcome = OUTCOME_NEUTRAL;
      request->n_attempts--;
    }
  retry (core, attempt, outcome, CODE_NO_SERVER, effects);
}

void
answer_broken (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  server_t *server = attempt->server;
  request->succeeded = false;
  feature_run_ended (core, attempt, true, effects);
  if (!request->idempotent)
    {
      refuse_unrepeatable (core, attempt, OUTCOME_BAD, unanswered, effects);
      return;
    }
  if (core->options.push_updates)
    {
      request->retry_same_server = false;
      retry (core, attempt, OUTCOME_BAD, CODE_BACKEND_ERROR, effects);
      return;
    }
  if (request->n_tried < ROUTE_MAX_TRIED)
    request->tried_servers[request->n_tried++] = server;
  request->retry_same_server = true;
  attempt_remove (core, attempt, OUTCOME_BAD, now_of (core));
  if (request->attempt)
    return;
  request->last_code = CODE_BACKEND_ERROR;
  request->state = REQUEST_CRASH_CHECK;
  request->crash_check_server = server;
  request_set_action (core, request, now_of (core) + CRASH_CHECK_NS);
}

static void
handle_timeout (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  feature_run_ended (core, attempt, false, effects);
  request->retry_same_server = false;
  if (request->idempotent)
    retry (core, attempt, OUTCOME_BAD, CODE_BACKEND_ERROR, effects);
  else
    refuse_unrepeatable (core, attempt, OUTCOME_BAD, unanswered, effects);
}

static void
handle_oversized (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  attempt_remove (core, attempt, OUTCOME_BAD, now_of (core));
  request_refuse (core, request,
                  &(refusal_t){ .code = CODE_BACKEND_ERROR,
                                .run = KWF_RUN_YES,
                                .retry_after_ms = -1,
                                .message = "the answer is larger than the "
                                           "limit" },
                  effects);
}

void
answer_failed (kwf_core_t *core, const kwf_attempt_event_t *event,
               kwf_effects_t *effects)
{
  attempt_t *attempt = kwf_slots_get (core->attempts, event->attempt);
  if (!attempt)
    return;
  request_t *request = attempt->request;
  if (request->withheld)
    {
      request->withheld = false;
      core->n_withheld--;
    }
  switch (event->failure)
    {
    case KWF_FAIL_REFUSED:
    case KWF_FAIL_CONNECT:
    case KWF_FAIL_NOT_SENT:
      handle_unsent (core, attempt, event->failure, effects);
      break;
    case KWF_FAIL_BROKEN:
      backend_probe_now (core->backend, attempt->server, effects);
      answer_broken (core, attempt, effects);
      break;
    case KWF_FAIL_TIMEOUT:
      handle_timeout (core, attempt, effects);
      break;
    case KWF_FAIL_OVERSIZED:
      handle_oversized (core, attempt, effects);
      break;
    }
}

void
answer_caller_gone (kwf_core_t *core, kwf_handle_t handle,
                    kwf_effects_t *effects)
{
  request_t *request = request_find (core, handle);
  if (!request)
    return;
  if (request->claimed && request->n_ran)
    {
      /* A request that must not be repeated runs to its end, so that its
         answer is stored for the caller's next try.  */
      delivery_step (&request->delivery, DELIVERY_GONE);
      return;
    }
  request_end (core, request, CODE_CALLER_GONE, effects);
}
