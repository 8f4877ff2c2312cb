#include "contention.h"

#include "pace.h"

/* A stream lasts some two seconds, so one whose target is this long can be put
   off for several times its own length.  */
#define BACKGROUND_TARGET_NS (10 * KWF_NS_PER_S)
/* Priorities from this one on are behind those of all other kinds of work.  */
#define BACKGROUND_PRIORITY 2

static bool
is_background (const kwf_route_t *route)
{
  return route->stream && route->priority >= BACKGROUND_PRIORITY
         && route->objective_ns >= BACKGROUND_TARGET_NS;
}

bool
contention_configured (const kwf_lists_t *lists)
{
  for (size_t i = 0; lists && i < kwf_lists_n_routes (lists); i++)
    if (is_background (kwf_lists_route_at (lists, i)))
      return true;
  return false;
}

void
contention_mark (const backend_t *backend, const kwf_lists_t *lists)
{
  bool configured = contention_configured (lists);
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      server->contended = configured && server->kind == KWF_MEMBER_ENGINE;
    }
}

bool
server_is_measured (const server_t *server)
{
  return server->contended || server_reports_pace (server);
}
