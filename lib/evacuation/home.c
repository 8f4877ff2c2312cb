#include "home.h"

#include <string.h>

uint64_t
home_excluded (const kwf_core_t *core, const request_t *request)
{
  const kwf_lists_t *lists = config_lists (core->config);
  if (request->kind != KWF_REQUEST_ROUTED || !lists
      || !core->options.n_regions)
    return 0;
  if (request->excluded_version == core->config_version)
    return request->excluded_regions;
  return regions_excluded_by (
      core->regions, kwf_lists_route (lists, request->host, request->path),
      kwf_lists_organisation (lists, request->organisation));
}

void
home_refresh (const kwf_core_t *core, request_t *request)
{
  request->excluded_regions = home_excluded (core, request);
  request->excluded_version = core->config_version;
}

bool
home_excludes (const kwf_core_t *core, const request_t *request,
               const server_t *server)
{
  return server->region && (server->region & home_excluded (core, request));
}

/* The regions in which SERVICE has servers.  */
static uint64_t
regions_of_service (const kwf_core_t *core, const char *service)
{
  const GPtrArray *servers
      = backend_servers_of_service (core->backend, service);
  uint64_t mask = 0;
  for (guint i = 0; servers && i < servers->len; i++)
    {
      const server_t *server = g_ptr_array_index (servers, i);
      mask |= server->listed ? server->region : 0;
    }
  return mask;
}

/* Log that ROUTE has no server for ORGANISATION (NULL: any).  */
static void
log_route (kwf_core_t *core, const kwf_route_t *route, const char *service,
           const kwf_organisation_t *organisation, kwf_effects_t *effects)
{
  const char *name = organisation ? organisation->name : "";
  char *key = g_strconcat (route->host, route->prefix, " ", service, " ", name,
                           NULL);
  if (g_hash_table_add (core->homeless, key))
    kwf_effects_log (
        effects, 275, KWF_LOG_WARNING, NULL,
        "route %s has no server of service %s in the regions that "
        "%s%s allows",
        route->name, service, organisation ? "it and organisation " : "it",
        name);
}

static void
check_split (kwf_core_t *core, const kwf_lists_t *lists,
             const kwf_route_t *route, const char *service,
             kwf_effects_t *effects)
{
  uint64_t mask = regions_of_service (core, service);
  if (!mask)
    return;
  if (!(mask & ~regions_excluded_by (core->regions, route, NULL)))
    {
      log_route (core, route, service, NULL, effects);
      return;
    }
  for (size_t i = 0; !route->open && i < kwf_lists_n_organisations (lists);
       i++)
    {
      const kwf_organisation_t *organisation
          = kwf_lists_organisation_at (lists, i);
      if (!(mask & ~regions_excluded_by (core->regions, route, organisation)))
        log_route (core, route, service, organisation, effects);
    }
}

void
home_check_routes (kwf_core_t *core, kwf_effects_t *effects)
{
  const kwf_lists_t *lists = config_lists (core->config);
  if (!lists || !core->options.n_regions)
    return;
  if (core->homeless_version != core->config_version)
    {
      core->homeless_version = core->config_version;
      g_hash_table_remove_all (core->homeless);
    }
  for (size_t i = 0; i < kwf_lists_n_routes (lists); i++)
    {
      const kwf_route_t *route = kwf_lists_route_at (lists, i);
      for (size_t k = 0; k < route->n_splits; k++)
        check_split (core, lists, route, route->splits[k].service, effects);
    }
}
