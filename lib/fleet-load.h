/* loads.h - what the whole fleet has under way at each backend server.

   Answers many instances in front of many engines: each one sees only its own
   calls, and what an engine told it with an answer is seconds old, so several
   send their prompts to the same engine at the same time.  All calls of a
   server come from this fleet; each instance tells the first one of its data
   centre what it has under way, these tell each other, and then all the
   rest (roles as in follower.h).  */

#ifndef KNAPWEEDFORK_FLEET_LOAD_H
#define KNAPWEEDFORK_FLEET_LOAD_H

#include "backend.h"
#include "session.h"

typedef struct loads fleet_load_t;

fleet_load_t *fleet_load_new (const kwf_clock_t *clock);
void fleet_load_free (fleet_load_t *loads);

/* Take EVENT and tell what is due; others' parts go to the servers of
   BACKEND.  */
void fleet_load_step (fleet_load_t *loads, const session_t *session,
                      const backend_t *backend, const kwf_event_t *event,
                      kwf_effects_t *effects);

int64_t fleet_load_deadline_ns (const fleet_load_t *loads);

#endif
