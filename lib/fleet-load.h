/* fleet-load.h - requests that the whole fleet has open at each backend
   server.

   An instance sees only its own requests, and the load report that came with a
   server's last answer is seconds old.  Many instances would therefore send
   their requests to the same server at the same time.  All requests of a
   server come from this fleet, so the instances add up what they know: each
   one sends its counts to the relay of its data centre, one instance that
   lib/fanout.h chooses.  The relays exchange their sums, and each sends the
   fleet's sums to the instances of its data centre.  */

#ifndef KNAPWEEDFORK_FLEET_LOAD_H
#define KNAPWEEDFORK_FLEET_LOAD_H

#include "backend.h"
#include "session.h"

typedef struct fleet_load fleet_load_t;

fleet_load_t *fleet_load_new (const kwf_clock_t *clock);
void fleet_load_free (fleet_load_t *fleet_load);

/* Handles EVENT and sends the messages that are due.  Stores the counts of the
   other instances in the server records of BACKEND.  */
void fleet_load_step (fleet_load_t *fleet_load, const session_t *session,
                      const backend_t *backend, const kwf_event_t *event,
                      kwf_effects_t *effects);

int64_t fleet_load_next_tick_ns (const fleet_load_t *fleet_load);

#endif
