/* Parts of prompts as features of requests that crash backend servers.  */

#include "request.h"

#include <inttypes.h>

void
crash_part_log (const attempt_t *attempt, int64_t now_ns,
                kwf_effects_t *effects)
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
