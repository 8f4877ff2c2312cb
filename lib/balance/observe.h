/* observe.h - what the attempts of this instance show of the servers' speed
   and pace.

   Load pattern: servers of one service differ in speed, and each instance
   sends them few requests, so every answer and every event of a stream is
   used.  Only servers that report their pace are observed.  */

#ifndef KNAPWEEDFORK_OBSERVE_H
#define KNAPWEEDFORK_OBSERVE_H

#include "../request.h"

/* Service name to usual_t.  */
GHashTable *observe_new (void);

/* Recompute USUALS, the means of the services whose servers report a pace.  */
void observe_refresh (const backend_t *backend, GHashTable *usuals,
                      int64_t now_ns);

/* Apply the load that came with EVENT, of ATTEMPT.  */
void observe_load (kwf_core_t *core, const attempt_t *attempt,
                   const kwf_attempt_event_t *event, kwf_effects_t *effects);

/* ATTEMPT is sent.  Called before it is counted at its server.  */
void observe_start (attempt_t *attempt);

/* The first data of ATTEMPT arrived.  Called before its answer is counted.  */
void observe_first_data (attempt_t *attempt, int64_t now_ns);

/* Events of the stream of ATTEMPT arrived, EVENTS since it was sent.  */
void observe_events (attempt_t *attempt, int64_t events, int64_t now_ns);

/* ATTEMPT is over.  */
void observe_end (attempt_t *attempt, int64_t now_ns);

#endif
