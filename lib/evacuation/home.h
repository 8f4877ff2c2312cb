/* home.h - home regions in the core: which servers a request may be sent to,
   and the check of the configuration against the servers.  */

#ifndef KNAPWEEDFORK_HOME_H
#define KNAPWEEDFORK_HOME_H

#include "../request.h"

/* The regions in which REQUEST must not be served, by the lists in force.
   home_refresh keeps them in REQUEST, since a search for servers asks for each
   one.  */
uint64_t home_excluded (const kwf_core_t *core, const request_t *request);
void home_refresh (const kwf_core_t *core, request_t *request);

/* Whether REQUEST must not be sent to SERVER.  */
bool home_excludes (const kwf_core_t *core, const request_t *request,
                    const server_t *server);

/* After a new configuration or list of servers: log each route that no server
   can serve in its home regions, once for each configuration.  */
void home_check_routes (kwf_core_t *core, kwf_effects_t *effects);

#endif
