/* admission.h - admission by forecast (docs/design/admission.md): a request
   starts, waits at the instance for its turn, or is refused at once with the
   time at which there will be room.

   It is in effect where options.predict_admission is set, for routed requests
   of services whose servers report their pace.  All other requests are
   admitted as lib/wait.c says.  A request that a server runs or may have run
   is never refused here.  */

#ifndef KNAPWEEDFORK_ADMISSION_H
#define KNAPWEEDFORK_ADMISSION_H

#include <jansson.h>

#include "../request.h"
#include "decide.h"

admission_t *admission_new (void);
void admission_free (admission_t *admission);

/* Whether REQUEST is admitted by forecast.  */
bool admission_applies (kwf_core_t *core, const request_t *request);

/* Set what admission needs to know of REQUEST, which came over ROUTE.
   CALLER_TIMEOUT_NS: the time that its caller has left; 0: not told.  */
void admission_set_route (request_t *request, const kwf_route_t *route,
                          int64_t caller_timeout_ns);

/* Whether REQUEST may be sent to SERVER now.  If not, it was queued or
   refused, and must not be used any more.  */
bool admission_check (kwf_core_t *core, request_t *request,
                      const server_t *server, kwf_effects_t *effects);

/* The same for a queued request, which waits for room at a server.  False: it
   was refused.  */
bool admission_check_waiting (kwf_core_t *core, request_t *request,
                              kwf_effects_t *effects);

/* Refuse REQUEST, for whose model there is no usable copy, unless it waits for
   one.  */
void admission_check_copy (kwf_core_t *core, request_t *request,
                           const admission_load_t *load,
                           kwf_effects_t *effects);

/* Take samples of what is open at the servers, when they are due.  It is
   called after fleet_load_step, whose timer has the same period.  */
void admission_tick (kwf_core_t *core, int64_t now_ns);

/* Time after which the caller of REQUEST, which no server took, is to come
   back; OTHERWISE_MS where requests are not admitted by forecast.  */
int64_t admission_retry_ms (kwf_core_t *core, const request_t *request,
                            int64_t otherwise_ms);

/* The same for a caller that is to come back after RETURN_NS, of which only
   SOONEST_NS are needed and the rest spreads the callers: it is cut to what
   callers honour.  */
int64_t admission_return_ns (kwf_core_t *core, const request_t *request,
                             int64_t return_ns, int64_t soonest_ns);

/* Lane of the queue in which REQUEST waits.  */
int admission_lane (const request_t *request);

/* Note how ATTEMPT, which starts, was admitted.  Return the priority that its
   server is told.  */
int admission_attempt_started (kwf_core_t *core, attempt_t *attempt);
void admission_attempt_ended (kwf_core_t *core, const attempt_t *attempt,
                              int64_t now_ns);

void admission_write_metrics (const admission_t *admission, GString *out);
/* Counts for the status page.  */
json_t *admission_json (const kwf_core_t *core);

#endif
