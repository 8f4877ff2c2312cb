/* Features of a request that may be the cause of a crash: its fingerprint and
   the parts of its prompt that others may share.  */

#include "request.h"

#include <inttypes.h>

#include "error-code.h"

/* A server crashes as it begins to write an answer.  An answer that has gone
   on for this time had no part in the crash of its server.  */
#define BEGIN_NS (1 * KWF_NS_PER_S)
/* A request that was not granted a trial comes back after this time.  */
#define TRIAL_RETURN_NS (1 * KWF_NS_PER_S)

static bool
has_gone_on (const attempt_t *attempt, int64_t now_ns)
{
  return attempt->answered && now_ns - attempt->answered_ns >= BEGIN_NS;
}

static void
log_parts (const attempt_t *attempt, int64_t now_ns, kwf_effects_t *effects)
{
  const request_t *request = attempt->request;
  if (!request->n_parts)
    return;
  GString *parts = g_string_new (NULL);
  for (size_t i = 0; i < request->n_parts; i++)
    g_string_append_printf (parts, "%s%" PRIx64, i ? "," : "",
                            crash_part_id (request->parts[i]));
  kwf_effects_log (
      effects, 305, KWF_LOG_INFO, request->id,
      "its connection to server=%s broke: sent_ms=%" PRId64
      " begun_ms=%" PRId64 " parts=%s",
      attempt->server->id, (now_ns - attempt->sent_ns) / KWF_NS_PER_MS,
      attempt->answered ? (now_ns - attempt->answered_ns) / KWF_NS_PER_MS : -1,
      parts->str);
  g_string_free (parts, TRUE);
}

/* The request, or a run of it, can't be the trial of its parts any more.  */
static void
end_trial (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  if (!request->part_trial_ns)
    return;
  request->part_trial_ns = 0;
  crash_part_trial_ended (core->crash, request->handle, effects);
}

static bool
is_on_trial (const kwf_core_t *core, const request_t *request)
{
  return kwf_now_ns (core->options.clock) < request->part_trial_ns;
}

/* What is to become of REQUEST, by its parts and its fingerprint.  */
static crash_advice_t
advice_on (const kwf_core_t *core, const request_t *request)
{
  return crash_advise (core->crash, request->parts, request->n_parts + 1);
}

void
feature_run_ended (kwf_core_t *core, const attempt_t *attempt, bool broken,
                   kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (broken && request->part_trial_ns)
    {
      request->part_trial_ns = 0;
      crash_part_trial_broke (core->crash, request->handle,
                              attempt->server->id, attempt->incarnation);
    }
  else
    end_trial (core, request, effects);
  if (!core->options.push_updates || !has_gone_on (attempt, now_ns))
    crash_connection_ended (core->crash, request->fingerprint,
                            attempt->server->id, attempt->incarnation, broken);
  /* A server may crash after its request was called back.  */
  for (size_t i = 0; i < request->n_parts && !broken; i++)
    if (crash_is_held (core->crash, request->parts[i]))
      crash_connection_ended (core->crash, request->parts[i],
                              attempt->server->id, attempt->incarnation,
                              false);
  if (!broken)
    return;
  log_parts (attempt, now_ns, effects);
  for (size_t i = 0; i < request->n_parts && !has_gone_on (attempt, now_ns);
       i++)
    crash_connection_ended (core->crash, request->parts[i],
                            attempt->server->id, attempt->incarnation, true);
}

static void
clear_parts (kwf_core_t *core, const request_t *request,
             kwf_effects_t *effects)
{
  for (size_t i = 0; i < request->n_parts; i++)
    crash_request_finished (core->crash, core->session, request->parts[i],
                            effects);
}

void
feature_answer_goes_on (kwf_core_t *core, attempt_t *attempt, int64_t now_ns,
                        kwf_effects_t *effects)
{
  if (attempt->cleared || !has_gone_on (attempt, now_ns))
    return;
  attempt->cleared = true;
  clear_parts (core, attempt->request, effects);
  end_trial (core, attempt->request, effects);
}

void
feature_answered (kwf_core_t *core, const attempt_t *attempt,
                  kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  crash_request_finished (core->crash, core->session, request->fingerprint,
                          effects);
  /* An open end may be that of a server that has crashed.  */
  if (request->succeeded && (!attempt->by_close || attempt->server_lives))
    clear_parts (core, request, effects);
  end_trial (core, request, effects);
}

void
feature_request_ended (kwf_core_t *core, request_t *request,
                       kwf_effects_t *effects)
{
  end_trial (core, request, effects);
}

bool
feature_may_send (const kwf_core_t *core, const request_t *request)
{
  return is_on_trial (core, request)
         || advice_on (core, request).verdict == CRASH_SEND;
}

static void
refuse (kwf_core_t *core, request_t *request, const crash_advice_t *advice,
        kwf_effects_t *effects)
{
  bool is_part = crash_is_part (advice->feature);
  core->n_bad_parts += is_part;
  if (advice->verdict == CRASH_REFUSE)
    request_fail (core, request, CODE_REQUEST_CRASHES_SERVERS, -1,
                  is_part ? "a part of the prompt crashes the servers that "
                            "answer on it"
                          : "this request crashed the servers that ran it",
                  effects);
  else
    request_fail (core, request, CODE_SUSPECT_NOT_RETRIED,
                  advice->return_ns / KWF_NS_PER_MS,
                  is_part ? "servers crashed that answered on a part of the "
                            "prompt; it is being tried"
                          : "servers crashed that ran this request",
                  effects);
}

bool
feature_refuse_suspect (kwf_core_t *core, request_t *request,
                        kwf_effects_t *effects)
{
  if (is_on_trial (core, request))
    return false;
  crash_advice_t advice = advice_on (core, request);
  if (advice.verdict < CRASH_RETURN)
    return false;
  refuse (core, request, &advice, effects);
  return true;
}

bool
feature_awaits_trial (kwf_core_t *core, request_t *request,
                      kwf_effects_t *effects)
{
  if (is_on_trial (core, request))
    return false;
  crash_advice_t advice = advice_on (core, request);
  if (advice.verdict != CRASH_TRY)
    return false;
  wait_remove_request (core, request, false);
  request->state = REQUEST_AWAITS_TRIAL;
  request_set_action (core, request, 0);
  crash_ask_for_part_trial (core->crash, advice.feature, request->handle,
                            effects);
  return true;
}

void
feature_trial_result (kwf_core_t *core, const crash_result_t *result,
                      kwf_effects_t *effects)
{
  request_t *request = request_find (core, result->request);
  if (!request || request->state != REQUEST_AWAITS_TRIAL)
    {
      if (result->granted)
        crash_part_trial_ended (core->crash, result->request, effects);
      return;
    }
  if (!result->granted)
    {
      crash_advice_t advice = { .verdict = CRASH_RETURN,
                                .feature = result->fingerprint,
                                .return_ns = TRIAL_RETURN_NS };
      refuse (core, request, &advice, effects);
      return;
    }
  kwf_effects_log (effects, 307, KWF_LOG_INFO, request->id,
                   "is sent to see whether %s crashes servers",
                   crash_feature_name (effects, result->fingerprint));
  request->part_trial_ns
      = kwf_now_ns (core->options.clock) + CRASH_PART_TRIAL_NS;
  attempt_dispatch (core, request, effects);
}

void
feature_end_bad_parts (kwf_core_t *core, kwf_effects_t *effects)
{
  GPtrArray *bad = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const request_t *request = value;
      /* The answer of a request that is at its server costs no further
         server, and may show that its parts are sound.  */
      if (request->state == REQUEST_SENT && !is_on_trial (core, request)
          && advice_on (core, request).verdict == CRASH_REFUSE)
        g_ptr_array_add (bad, value);
    }
  for (guint i = 0; i < bad->len; i++)
    feature_refuse_suspect (core, g_ptr_array_index (bad, i), effects);
  g_ptr_array_free (bad, TRUE);
}
