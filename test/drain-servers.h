/* drain-servers.h - what one simulated instance knows of the backend servers,
   by a real record of them (lib/backend.h).  */

#ifndef KNAPWEEDFORK_TEST_DRAIN_SERVERS_H
#define KNAPWEEDFORK_TEST_DRAIN_SERVERS_H

#include <stdbool.h>
#include <stdint.h>

#include <knapweedfork/clock.h>
#include <knapweedfork/event.h>

typedef struct known_servers known_servers_t;

/* CLOCK is used until known_servers_free.  */
known_servers_t *known_servers_new (const char *instance,
                                    const kwf_clock_t *clock,
                                    int64_t fresh_ns);
void known_servers_free (known_servers_t *known);
void known_servers_step (known_servers_t *known, const kwf_event_t *event);
/* Age of the list at which an instance asks the store itself: one that passes
   changes on in its data centre, and the others.  */
int64_t relay_max_age_ns (int64_t fresh_ns);
int64_t leaf_max_age_ns (int64_t fresh_ns);
/* Whether a new request may be sent to ID.  */
bool known_servers_uses (const known_servers_t *known, const char *id);

#endif
