/* Queries about one backend server.  */

#include "backend.h"

#include "notice.h"

/* Load reports missed in a row after which a server counts as silent.  */
#define SILENT_AFTER_MISSED 4

bool
server_is_unloading (const server_t *server, const char *model)
{
  return server->unloading && g_hash_table_contains (server->unloading, model);
}

bool
server_holds_version (const server_t *server, const char *model,
                      const char *version)
{
  const server_model_t *resident = g_hash_table_lookup (server->models, model);
  return resident && server_holds_model (server, model)
         && g_strcmp0 (resident->version, version) == 0;
}

bool
server_holds_model (const server_t *server, const char *model)
{
  return !model
         || (g_hash_table_contains (server->models, model)
             && !server_is_unloading (server, model));
}

bool
server_holds_adapter (const server_t *server, const char *model,
                      const char *adapter)
{
  const server_model_t *resident = g_hash_table_lookup (server->models, model);
  return resident && g_hash_table_contains (resident->adapters, adapter);
}

bool
server_leaving (const server_t *server)
{
  return !server->listed || server->member_leaving || server->report_leaving
         || server->notice.leaving || server->evacuated;
}

static bool
is_circuit_closed_to_requests (const server_t *server, int64_t now_ns)
{
  return server->circuit == CIRCUIT_OPEN
         && (now_ns < server->open_until_ns || server->half_open_attempt);
}

bool
server_usable (const server_t *server, int64_t now_ns)
{
  if (server_leaving (server) || server->refused
      || notice_server_is_paused (server, now_ns))
    return false;
  if (!server->reported && server->kind == KWF_MEMBER_ENGINE)
    return false;
  return !is_circuit_closed_to_requests (server, now_ns)
         && now_ns >= server->ejected_until_ns;
}

bool
server_may_take_one_more (server_t *server, int64_t now_ns)
{
  return notice_slow_start_allows (server, now_ns)
         && (server->kind == KWF_MEMBER_SERVICE
             || window_has_room (&server->window, server->open_attempts))
         && limit_may_call (&server->limit, 0, now_ns);
}

bool
server_half_open_busy (const server_t *server, int64_t now_ns)
{
  return !server_leaving (server) && !server->refused
         && server->half_open_attempt && server->circuit == CIRCUIT_OPEN
         && now_ns >= server->open_until_ns;
}

int
server_load (const server_t *server)
{
  return server->running + server->waiting + server->sent;
}

bool
server_silent (const server_t *server)
{
  return server->missed_reports >= SILENT_AFTER_MISSED;
}

const char *
server_state (const server_t *server, int64_t now_ns)
{
  if (server->evacuated)
    return "evacuated";
  if (server_leaving (server))
    return "leaving";
  if (server->refused)
    return "refused";
  if (!server->reported)
    return "unknown";
  if (notice_server_is_paused (server, now_ns))
    return "paused";
  if (now_ns < server->ejected_until_ns)
    return "ejected";
  if (is_circuit_closed_to_requests (server, now_ns))
    return "open";
  if (server->circuit == CIRCUIT_OPEN)
    return "half_open";
  if (cold_stands (&server->limit.cold, now_ns))
    return "cold";
  if (!server->limit.named && ramp_stands (&server->limit.ramp, now_ns))
    return "starting";
  if (limit_in_force (&server->limit, now_ns))
    return "limited";
  if (server_silent (server))
    return "silent";
  return "live";
}
