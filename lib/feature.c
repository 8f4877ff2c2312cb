/* Features of a request that may be the cause of a crash: its fingerprint and
   the parts of its prompt that others may share.  */

#include "request.h"

#include <inttypes.h>

#include "error-code.h"

/* A server crashes as it begins to write an answer.  An answer that has gone
   on for this time had no part in the crash of its server.  */
#define BEGIN_NS (1 * KWF_NS_PER_S)

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

void
feature_run_ended (kwf_core_t *core, const attempt_t *attempt, bool broken,
                   kwf_effects_t *effects)
{
  const request_t *request = attempt->request;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  crash_connection_ended (core->crash, request->fingerprint,
                          attempt->server->id, attempt->incarnation, broken);
  /* A server may crash after its request was called back.  */
  for (size_t i = 0; i < request->n_parts && !broken; i++)
    if (crash_state (core->crash, request->parts[i]) == CRASH_QUARANTINED)
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
}

void
feature_answered (kwf_core_t *core, const attempt_t *attempt,
                  kwf_effects_t *effects)
{
  const request_t *request = attempt->request;
  crash_request_finished (core->crash, core->session, request->fingerprint,
                          effects);
  /* An open end may be that of a server that has crashed.  */
  if (request->succeeded && (!attempt->by_close || attempt->server_lives))
    clear_parts (core, request, effects);
}

bool
feature_has_bad_part (const kwf_core_t *core, const request_t *request)
{
  for (size_t i = 0; i < request->n_parts; i++)
    if (crash_state (core->crash, request->parts[i]) == CRASH_QUARANTINED)
      return true;
  return false;
}

bool
feature_refuse_bad_part (kwf_core_t *core, request_t *request,
                         kwf_effects_t *effects)
{
  if (!feature_has_bad_part (core, request))
    return false;
  core->n_bad_parts++;
  request_fail (core, request, CODE_REQUEST_CRASHES_SERVERS, -1,
                "a part of the prompt crashes the servers that answer on it",
                effects);
  return true;
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
      if (request->state == REQUEST_SENT
          && feature_has_bad_part (core, request))
        g_ptr_array_add (bad, value);
    }
  for (guint i = 0; i < bad->len; i++)
    feature_refuse_bad_part (core, g_ptr_array_index (bad, i), effects);
  g_ptr_array_free (bad, TRUE);
}
