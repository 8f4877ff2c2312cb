#include "request.h"

#include <string.h>
#include <xxhash.h>

#include "error-code.h"
#include "promise.h"

/* Limit of the attempts of a request, unless its route says otherwise.  */
#define DEFAULT_MAX_ATTEMPTS 3

bool
request_has_model (const request_t *request)
{
  return request->model != NULL;
}

bool
request_has_begun (const request_t *request)
{
  return delivery_has_begun (request->delivery);
}

bool
request_can_go_on (const request_t *request)
{
  return !request_has_begun (request)
         || (request->resumable && !request->no_resume);
}

request_t *
request_find (const kwf_core_t *core, kwf_handle_t handle)
{
  return g_hash_table_lookup (core->requests, &handle);
}

static gint
compare_wakes (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const request_t *left = a;
  const request_t *right = b;
  return (left->wake_ns > right->wake_ns) - (left->wake_ns < right->wake_ns);
}

void
request_set_action (kwf_core_t *core, request_t *request, int64_t action_ns)
{
  (void)core;
  int64_t wake_ns = request->deadline_ns;
  if (action_ns)
    wake_ns = MIN (wake_ns, action_ns);
  request->action_ns = action_ns;
  if (wake_ns == request->wake_ns)
    return;
  request->wake_ns = wake_ns;
  g_sequence_sort_changed (request->wake, compare_wakes, NULL);
}

/* The strings of a request are allocated in one block with it.  */

static size_t
text_size (const char *text)
{
  return text ? strlen (text) + 1 : 0;
}

static const char *
put_text (char **end, const char *text)
{
  if (!text)
    return NULL;
  char *copy = *end;
  *end = stpcpy (copy, text) + 1;
  return copy;
}

request_t *
request_add (kwf_core_t *core, const kwf_request_event_t *event,
             const char *organisation, int priority, int64_t now_ns)
{
  size_t parts_size = (event->n_parts + 1) * sizeof *event->parts;
  size_t size = sizeof (request_t) + parts_size + text_size (event->id)
                + text_size (event->key_digest) + text_size (organisation)
                + text_size (event->model) + text_size (event->adapter)
                + text_size (event->service) + text_size (event->host)
                + text_size (event->path) + text_size (event->idempotency_key);
  request_t *request = g_malloc (size);
  uint64_t *parts = (uint64_t *)(void *)(request + 1);
  char *end = (char *)parts + parts_size;
  int64_t timeout_ns = event->timeout_ns > 0
                           ? event->timeout_ns
                           : core->options.default_timeout_ns;
  uint64_t hash
      = XXH64 (organisation, strlen (organisation), event->fingerprint);
  *request = (request_t){
    .handle = event->handle,
    .kind = event->kind,
    .id = put_text (&end, event->id),
    .digest = put_text (&end, event->key_digest),
    .organisation = put_text (&end, organisation),
    .model = put_text (&end, event->model),
    .adapter = put_text (&end, event->adapter),
    .service = put_text (&end, event->service),
    .host = put_text (&end, event->host),
    .path = put_text (&end, event->path),
    .excluded_version = -1,
    .idempotency_key = put_text (&end, event->idempotency_key),
    .idempotent = event->idempotent,
    .stream = event->stream,
    .resuming = event->resuming,
    .resumable = event->kind != KWF_REQUEST_ROUTED,
    .max_attempts = DEFAULT_MAX_ATTEMPTS,
    .prompt_tokens = event->prompt_tokens,
    .parts = parts,
    .n_parts = event->n_parts,
    .hash = hash,
    .fingerprint = crash_fingerprint (hash),
    .priority = priority,
    .arrived_ns = now_ns,
    .deadline_ns = now_ns + timeout_ns,
    .wake_ns = now_ns + timeout_ns,
    .series = metrics_series (core->metrics, organisation, priority),
  };
  for (size_t i = 0; i < event->n_parts; i++)
    parts[i] = crash_part (event->parts[i]);
  parts[event->n_parts] = request->fingerprint;
  request->route_key
      = route_key (organisation, event->model ? event->model : event->service,
                   event->prefix ? event->prefix : hash);
  request->duration_kind = duration_kind (NULL, request->service,
                                          request->model, request->stream);
  g_hash_table_insert (core->requests, &request->handle, request);
  request->wake
      = g_sequence_insert_sorted (core->wakes, request, compare_wakes, NULL);
  return request;
}

/* Tokens that stay charged for REQUEST, which ended with CODE; the rest is
   refunded.  */
static double
used_tokens (const request_t *request, error_code_t code)
{
  if (!request->n_ran)
    return 0;
  /* The limits of routed requests count what was sent, not what was
     generated.  */
  if (request->kind == KWF_REQUEST_ROUTED)
    return request->charged;
  bool caller_pays = code == CODE_OK || code == CODE_CALLER_GONE
                     || code == CODE_DEADLINE_EXCEEDED
                     || code == CODE_KEY_WITHDRAWN;
  /* A failure of this system before the first token costs the caller
     nothing.  */
  if (!caller_pays && !request->delivered)
    return 0;
  return (double)(request->prompt_tokens + request->delivered);
}

static void
end_claim (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  if (!request->claimed)
    return;
  request->claimed = false;
  if (request->n_ran)
    claims_mark_unknown (core->claims, request->handle, effects);
  else
    claims_abandon (core->claims, request->handle, effects);
  core->stop.linger_ns = kwf_now_ns (core->options.clock) + KWF_NS_PER_S / 2;
}

/* A request that ended early, or failed, shows only that its kind takes at
   least that long.  */
static void
record_duration (kwf_core_t *core, const request_t *request, int64_t age_ns)
{
  int n;
  if (request->succeeded
      || (request->n_ran
          && age_ns > durations_longest_ns (core->durations,
                                            request->duration_kind, &n)))
    durations_record (core->durations, request->duration_kind, age_ns);
}

void
request_end (kwf_core_t *core, request_t *request, error_code_t code,
             kwf_effects_t *effects)
{
  end_check_cancel (core, request);
  if (request->hedge)
    attempt_cancel (core, request->hedge, effects);
  if (request->attempt)
    attempt_cancel (core, request->attempt, effects);
  handover_cancel (request, effects);
  if (request->trial)
    crash_trial_ended (core->crash, request->fingerprint, code == CODE_OK,
                       effects);
  feature_request_ended (core, request, effects);
  if (request->state == REQUEST_AWAITS_TOKENS)
    shares_cancel (core->shares, request->handle);
  end_claim (core, request, effects);
  int64_t age_ns = kwf_now_ns (core->options.clock) - request->arrived_ns;
  kwf_effects_log (
      effects, 223, KWF_LOG_INFO, request->id,
      "ended code=%s organisation=%s target=%s adapter=%s priority=%d "
      "attempts=%d ran=%d age_ms=%" G_GINT64_FORMAT
      " first_ms=%" G_GINT64_FORMAT " pause_ms=%" G_GINT64_FORMAT,
      error_code_name (code), request->organisation,
      request->model ? request->model : request->service,
      request->adapter ? request->adapter : "-", request->priority,
      request->n_attempts, request->n_ran, age_ns / KWF_NS_PER_MS,
      request->first_data_ns
          ? (request->first_data_ns - request->arrived_ns) / KWF_NS_PER_MS
          : -1,
      request->longest_gap_ns / KWF_NS_PER_MS);
  record_duration (core, request, age_ns);
  double unused = request->charged - used_tokens (request, code);
  if (unused > 0)
    shares_refund (core->shares, request->organisation, unused);
  request->series->codes[code]++;
  if (code == CODE_OK)
    series_record (request->series, HISTOGRAM_REQUEST,
                   kwf_now_ns (core->options.clock) - request->arrived_ns, 1);
  if (request->withheld)
    core->n_withheld--;
  wait_remove_request (core, request, false);
  g_sequence_remove (request->wake);
  g_hash_table_remove (core->requests, &request->handle);
}

static void
add_reply (kwf_handle_t handle, const refusal_t *refusal,
           kwf_effects_t *effects)
{
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_REPLY);
  effect->reply = (kwf_reply_t){
    .request = handle,
    .status
    = refusal->status ? refusal->status : error_code_status (refusal->code),
    .code = error_code_name (refusal->code),
    .message = refusal->message,
    .run = refusal->run,
    .retry_after_ms = refusal->retry_after_ms,
    .limit_rate = refusal->limit_rate,
    .limit_burst = refusal->limit_burst,
  };
}

void
request_refuse_event (kwf_core_t *core, const kwf_request_event_t *event,
                      series_t *series, const refusal_t *refusal,
                      kwf_effects_t *effects)
{
  kwf_handle_t handle = event->handle;
  const char *id = event->id;
  if (!series)
    series = metrics_series (core->metrics, "", KWF_PRIORITY_INTERACTIVE);
  series->codes[refusal->code]++;
  kwf_effects_log (effects, 221, KWF_LOG_INFO, id,
                   "refused code=%s lists_version=%" G_GINT64_FORMAT,
                   error_code_name (refusal->code),
                   config_version (core->config));
  add_reply (handle, refusal, effects);
}

/* Whether REQUEST ran, by what was sent and forwarded.  */
static kwf_run_t
run_of (const request_t *request)
{
  if (request_has_begun (request))
    return KWF_RUN_YES;
  return request->n_ran ? KWF_RUN_UNKNOWN : KWF_RUN_NO;
}

void
request_refuse (kwf_core_t *core, request_t *request, const refusal_t *refusal,
                kwf_effects_t *effects)
{
  refusal_t limited = *refusal;
  int status
      = refusal->status ? refusal->status : error_code_status (refusal->code);
  if (limited.run == KWF_RUN_NO)
    limited.run = run_of (request);
  if (request->kind == KWF_REQUEST_ROUTED)
    limited.status = promise_status (status, limited.run);
  if (delivery_step (&request->delivery, DELIVERY_ERROR) != DELIVER_NOTHING)
    add_reply (request->handle, &limited, effects);
  request_end (core, request, refusal->code, effects);
}

void
request_fail (kwf_core_t *core, request_t *request, error_code_t code,
              int64_t retry_after_ms, const char *message,
              kwf_effects_t *effects)
{
  request_refuse (core, request,
                  &(refusal_t){ .code = code,
                                .run = run_of (request),
                                .retry_after_ms = retry_after_ms,
                                .message = message },
                  effects);
}

/* Timed steps.  */

static void
run_timed_step (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  request_set_action (core, request, 0);
  switch (request->state)
    {
    case REQUEST_QUEUED:
      attempt_dispatch (core, request, effects);
      break;
    case REQUEST_CRASH_CHECK:
      crash_check_timeout (core, request, effects);
      break;
    case REQUEST_END_CHECK:
      end_check_timeout (core, request, effects);
      break;
    case REQUEST_SENT:
    case REQUEST_STREAMING:
      if (request->withheld)
        request_refuse (core, request,
                        &(refusal_t){ .code = CODE_ANSWER_WITHHELD,
                                      .run = KWF_RUN_YES,
                                      .retry_after_ms = 1000,
                                      .message
                                      = "the request ran, but this instance "
                                        "lost its lease before the answer "
                                        "was delivered" },
                        effects);
      else if (request->state == REQUEST_SENT)
        attempt_hedge (core, request, effects);
      break;
    default:
      break;
    }
}

void
requests_tick (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (core->wakes);
      if (g_sequence_iter_is_end (first))
        return;
      request_t *request = g_sequence_get (first);
      if (request->wake_ns > now_ns)
        return;
      if (now_ns >= request->deadline_ns)
        request_fail (core, request, CODE_DEADLINE_EXCEEDED, -1,
                      "the deadline passed before the answer was complete",
                      effects);
      else
        run_timed_step (core, request, effects);
    }
}

int64_t
requests_next_tick_ns (const kwf_core_t *core)
{
  GSequenceIter *first = g_sequence_get_begin_iter (core->wakes);
  if (g_sequence_iter_is_end (first))
    return INT64_MAX;
  return ((const request_t *)g_sequence_get (first))->wake_ns;
}

void
requests_check_keys (kwf_core_t *core, kwf_effects_t *effects)
{
  GPtrArray *to_end = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const request_t *request = value;
      if (core->options.finish_withdrawn
          && (request->attempt || request->handover))
        continue;
      if (request->organisation[0]
          && !config_key_organisation (core->config, request->digest))
        g_ptr_array_add (to_end, value);
    }
  for (guint i = 0; i < to_end->len; i++)
    {
      request_t *request = g_ptr_array_index (to_end, i);
      kwf_effects_log (effects, 220, KWF_LOG_INFO, request->id,
                       "cut: its key was withdrawn or suspended");
      request_fail (core, request, CODE_KEY_WITHDRAWN, -1,
                    "the key was withdrawn", effects);
    }
  g_ptr_array_free (to_end, TRUE);
}
