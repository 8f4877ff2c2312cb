/* Admission of a request: key, plan, rate limit and claim.  */

#include "request.h"

#include <string.h>

#include "error-code.h"

/* Who sent a request, as the configuration lists say.  */
typedef struct
{
  const char *name; /* organisation; "" when it has none */
  const kwf_organisation_t *organisation;
  bool at_most_once; /* its request needs a claim */
} caller_t;

void
admit_refuse (kwf_core_t *core, const kwf_request_event_t *event,
              const kwf_organisation_t *organisation, error_code_t code,
              const char *message, kwf_effects_t *effects)
{
  series_t *series = NULL;
  if (organisation)
    series = metrics_series (core->metrics, organisation->name,
                             organisation->priority);
  /* Another instance can take what a stopping one does not.  */
  int64_t retry_after_ms = code == CODE_STOPPING             ? 0
                           : error_code_status (code) == 503 ? 1000
                                                             : -1;
  request_refuse_event (core, event, series,
                        &(refusal_t){ .code = code,
                                      .run = KWF_RUN_NO,
                                      .retry_after_ms = retry_after_ms,
                                      .message = message },
                        effects);
}

static void
refuse (kwf_core_t *core, const kwf_request_event_t *event,
        const caller_t *caller, error_code_t code, const char *message,
        kwf_effects_t *effects)
{
  admit_refuse (core, event, caller ? caller->organisation : NULL, code,
                message, effects);
}

bool
admit_check_authority (kwf_core_t *core, const kwf_request_event_t *event,
                       kwf_effects_t *effects)
{
  if (stop_refuses_requests (core, kwf_now_ns (core->options.clock)))
    refuse (core, event, NULL, CODE_STOPPING,
            "this instance is stopping: use another address", effects);
  else if (!config_lists (core->config))
    refuse (core, event, NULL, CODE_NO_CONFIGURATION,
            "this instance has no configuration yet", effects);
  else if (!session_may_act (core->session))
    refuse (core, event, NULL, CODE_NOT_AUTHORISED_TO_ACT,
            "this instance has no lease: use another address", effects);
  else
    return true;
  return false;
}

/* Find the organisation of the key of EVENT; false: EVENT was refused.  */
static bool
find_caller (kwf_core_t *core, const kwf_request_event_t *event,
             caller_t *caller, kwf_effects_t *effects)
{
  if (!event->key_digest)
    {
      refuse (core, event, NULL, CODE_MISSING_KEY,
              "an Authorization header with a key is needed", effects);
      return false;
    }
  if (!config_lists (core->config))
    {
      refuse (core, event, NULL, CODE_NO_CONFIGURATION,
              "this instance has no configuration yet", effects);
      return false;
    }
  caller->name = config_key_organisation (core->config, event->key_digest);
  if (caller->name)
    caller->organisation
        = kwf_lists_organisation (config_lists (core->config), caller->name);
  if (caller->organisation)
    return true;
  if (config_key_disabled (core->config, event->key_digest))
    refuse (core, event, NULL, CODE_KEY_WITHDRAWN, "the key was withdrawn",
            effects);
  else
    refuse (core, event, NULL, CODE_UNKNOWN_KEY, "the key is unknown",
            effects);
  return false;
}

static bool
has_adapter (const kwf_model_t *model, const char *adapter)
{
  for (size_t i = 0; i < model->n_adapters; i++)
    if (strcmp (model->adapters[i], adapter) == 0)
      return true;
  return false;
}

static bool
check_model (kwf_core_t *core, const kwf_request_event_t *event,
             const caller_t *caller, kwf_effects_t *effects)
{
  const kwf_model_t *model
      = event->model
            ? kwf_lists_model (config_lists (core->config), event->model)
            : NULL;
  if (!model || (event->adapter && !has_adapter (model, event->adapter)))
    refuse (core, event, caller, CODE_MODEL_NOT_FOUND,
            "there is no such model or adapter", effects);
  else if (!kwf_organisation_may_use_model (caller->organisation, event->model,
                                            event->adapter))
    refuse (core, event, caller, CODE_MODEL_NOT_ALLOWED,
            "the plan does not include this model or adapter", effects);
  else
    return true;
  return false;
}

/* A service that is open needs no key, and a key that is not valid is
   ignored.  */
static void
find_caller_with_optional_key (kwf_core_t *core,
                               const kwf_request_event_t *event,
                               caller_t *caller)
{
  const char *name
      = event->key_digest
            ? config_key_organisation (core->config, event->key_digest)
            : NULL;
  caller->name = name ? name : "";
  if (name)
    caller->organisation
        = kwf_lists_organisation (config_lists (core->config), name);
}

/* Find the caller of EVENT and whether it may use the service.  If not, EVENT
   is refused.  A service that is open needs no key.  */
static bool
find_caller_and_check_service (kwf_core_t *core,
                               const kwf_request_event_t *event,
                               caller_t *caller, kwf_effects_t *effects)
{
  const kwf_service_t *service
      = event->service
            ? kwf_lists_service (config_lists (core->config), event->service)
            : NULL;
  if (service && service->open)
    find_caller_with_optional_key (core, event, caller);
  else if (!find_caller (core, event, caller, effects))
    return false;
  if (!service)
    refuse (core, event, caller, CODE_SERVICE_NOT_FOUND,
            "there is no such service", effects);
  else if (!service->open
           && !kwf_organisation_may_use_service (caller->organisation,
                                                 event->service))
    refuse (core, event, caller, CODE_SERVICE_NOT_ALLOWED,
            "the plan does not include this service", effects);
  else if (service->once && !event->idempotent && !event->idempotency_key)
    refuse (core, event, caller, CODE_IDEMPOTENCY_KEY_REQUIRED,
            "calls of this service need an Idempotency-Key header", effects);
  else
    {
      caller->at_most_once = service->once && !event->idempotent;
      return true;
    }
  return false;
}

/* The tokens are charged: claim or send the request.  */
static void
claim_or_dispatch (kwf_core_t *core, request_t *request,
                   kwf_effects_t *effects)
{
  request->series->admitted++;
  if (request_has_model (request))
    demand_add_tokens (core->demand, request->model, request->adapter,
                       request->charged
                           * series_demand_weight (request->series));
  int64_t now_ns = kwf_now_ns (core->options.clock);
  /* The instance that handed it over may have counted it.  */
  if (!request->handed_over)
    retry_budget_count_request (core->retries, request->service);
  budget_count_request (&core->waits.preempts, now_ns);
  if (!request->at_most_once)
    {
      attempt_dispatch (core, request, effects);
      return;
    }
  request->state = REQUEST_AWAITS_CLAIM;
  claims_begin (core->claims, request->handle,
                request->organisation[0] ? request->organisation : "public",
                request->idempotency_key, effects);
}

static void
refuse_over_rate (kwf_core_t *core, request_t *request, int64_t retry_after_ms,
                  kwf_effects_t *effects)
{
  const kwf_organisation_t *organisation = kwf_lists_organisation (
      config_lists (core->config), request->organisation);
  share_holding_t share = shares_holding (core->shares, request->organisation);
  kwf_effects_log (
      effects, 225, KWF_LOG_INFO, request->id,
      "over the rate: organisation=%s tokens=%.0f here=%.0f rate_here=%.0f "
      "rate=%.0f burst=%.0f epoch=%" G_GINT64_FORMAT,
      request->organisation, request->charged, share.level, share.rate,
      organisation ? organisation->rate : 0,
      organisation ? organisation->burst : 0, shares_epoch (core->shares));
  request_refuse (
      core, request,
      &(refusal_t){ .code = CODE_RATE_LIMITED,
                    .run = KWF_RUN_NO,
                    .retry_after_ms = retry_after_ms,
                    .limit_rate = organisation ? organisation->rate : 0,
                    .limit_burst = organisation ? organisation->burst : 0,
                    .message = "the organisation is over its rate" },
      effects);
}

static bool
check_burst (kwf_core_t *core, const kwf_request_event_t *event,
             const caller_t *caller, double tokens, kwf_effects_t *effects)
{
  const kwf_organisation_t *organisation = caller->organisation;
  if (!organisation || tokens <= organisation->burst)
    return true;
  request_refuse_event (
      core, event,
      metrics_series (core->metrics, caller->name, organisation->priority),
      &(refusal_t){ .code = CODE_REQUEST_TOO_LARGE,
                    .run = KWF_RUN_NO,
                    .retry_after_ms = -1,
                    .limit_rate = organisation->rate,
                    .limit_burst = organisation->burst,
                    .message = "prompt and answer may hold more tokens than "
                               "the organisation's burst" },
      effects);
  return false;
}

void
admit_charge (kwf_core_t *core, request_t *request, double tokens,
              kwf_effects_t *effects)
{
  if (!stop_check_start (core, request, effects))
    return;
  if (tokens <= 0 || !request->organisation[0])
    {
      claim_or_dispatch (core, request, effects);
      return;
    }
  if (!shares_ready (core->shares))
    {
      request_refuse (core, request,
                      &(refusal_t){ .code = CODE_NOT_AUTHORISED_TO_ACT,
                                    .run = KWF_RUN_NO,
                                    .retry_after_ms = 1000,
                                    .message = "this instance has no share of "
                                               "the rates yet: use another "
                                               "address" },
                      effects);
      return;
    }
  request->state = REQUEST_AWAITS_TOKENS;
  share_result_t result = shares_charge (core->shares, request->organisation,
                                         request->handle, tokens, effects);
  request->charged = tokens;
  if (result.verdict != SHARE_WAIT)
    {
      result.request = request->handle;
      admit_share_result (core, &result, effects);
    }
}

void
admit_share_result (kwf_core_t *core, const share_result_t *result,
                    kwf_effects_t *effects)
{
  request_t *request = request_find (core, result->request);
  if (!request || request->state != REQUEST_AWAITS_TOKENS)
    return;
  request->state = REQUEST_QUEUED;
  if (result->verdict == SHARE_GRANTED)
    {
      claim_or_dispatch (core, request, effects);
      return;
    }
  request->charged = 0;
  refuse_over_rate (core, request, result->retry_after_ms, effects);
}

void
admit (kwf_core_t *core, const kwf_request_event_t *event,
       kwf_effects_t *effects)
{
  caller_t caller = { .name = "" };
  if (event->kind == KWF_REQUEST_INSTANCES)
    {
      if (event->key_digest && !find_caller (core, event, &caller, effects))
        return;
      directory_instances (core, event, caller.name, effects);
      return;
    }
  if (!admit_check_authority (core, event, effects))
    return;
  if (event->kind == KWF_REQUEST_ROUTED)
    {
      admit_routed (core, event, effects);
      return;
    }
  if (event->kind == KWF_REQUEST_SERVICE)
    {
      if (!find_caller_and_check_service (core, event, &caller, effects))
        return;
    }
  else if (!find_caller (core, event, &caller, effects))
    return;
  if (event->kind == KWF_REQUEST_MODELS)
    {
      directory_models (core, event, caller.name, effects);
      return;
    }
  if (event->kind == KWF_REQUEST_COMPLETION
      && !check_model (core, event, &caller, effects))
    return;
  double tokens
      = (double)(MAX (event->prompt_tokens, 0) + MAX (event->max_tokens, 0));
  if (!check_burst (core, event, &caller, tokens, effects))
    return;
  int priority = caller.organisation ? (int)caller.organisation->priority
                                     : KWF_PRIORITY_INTERACTIVE;
  request_t *request = request_add (core, event, caller.name, priority,
                                    kwf_now_ns (core->options.clock));
  request->at_most_once = caller.at_most_once;
  admit_charge (core, request, tokens, effects);
}

/* Claims.  */

static void
answer_stored (kwf_core_t *core, request_t *request,
               const claim_result_t *result, kwf_effects_t *effects)
{
  char *body = kwf_effects_alloc (effects, result->body_size + 1);
  if (result->body_size)
    memcpy (body, result->body, result->body_size);
  char *type = kwf_effects_strdup (effects, result->content_type);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_REPLY);
  effect->reply = (kwf_reply_t){ .request = request->handle,
                                 .status = result->status,
                                 .run = KWF_RUN_YES,
                                 .retry_after_ms = -1,
                                 .body = body,
                                 .body_size = result->body_size,
                                 .content_type = type };
  request_end (core, request, CODE_OK, effects);
}

void
admit_claim_result (kwf_core_t *core, const claim_result_t *result,
                    kwf_effects_t *effects)
{
  request_t *request = request_find (core, result->request);
  if (!request || request->state != REQUEST_AWAITS_CLAIM)
    {
      if (result->verdict == CLAIM_GRANTED)
        claims_abandon (core->claims, result->request, effects);
      return;
    }
  request->state = REQUEST_QUEUED;
  refusal_t refusal = { .run = KWF_RUN_UNKNOWN, .retry_after_ms = -1 };
  switch (result->verdict)
    {
    case CLAIM_GRANTED:
      request->claimed = true;
      attempt_dispatch (core, request, effects);
      return;
    case CLAIM_DONE:
      answer_stored (core, request, result, effects);
      return;
    case CLAIM_IN_PROGRESS:
      refusal.code = CODE_IN_PROGRESS;
      refusal.retry_after_ms = 1000;
      refusal.message = "a call with this Idempotency-Key is running";
      break;
    case CLAIM_UNKNOWN:
      refusal.code = CODE_OUTCOME_UNKNOWN;
      refusal.status = 409;
      refusal.message = "an earlier call with this Idempotency-Key may have "
                        "run; it is not sent again";
      break;
    case CLAIM_UNAVAILABLE:
      refusal.code = CODE_CLAIM_UNAVAILABLE;
      refusal.run = KWF_RUN_NO;
      refusal.retry_after_ms = 1000;
      refusal.message = "the call could not be recorded, so it was not sent";
      break;
    }
  request_refuse (core, request, &refusal, effects);
}
