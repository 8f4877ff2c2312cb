/* instance.h - one entry instance: sockets and timers around the core.

   Turns what happens on the callers' port, the operator port, the links to
   other instances, the platform and the backend servers into events, feeds
   them to the core (kwf_core_step) and carries out its effects.  */

#ifndef KNAPWEEDFORK_NET_INSTANCE_H
#define KNAPWEEDFORK_NET_INSTANCE_H

#include <ev.h>

#include <knapweedfork/settings.h>
#include <knapweedfork/status.h>

typedef struct instance instance_t;

struct protocol;

/* Starts serving on LOOP.  Returns NULL and fills ERROR on failure. ev_break
   is called on LOOP when the instance has stopped.  SETTINGS must outlive the
   instance.  */
instance_t *instance_start (struct ev_loop *loop,
                            const kwf_settings_t *settings,
                            const struct protocol *protocol,
                            kwf_error_t *error);

/* Uses the fleet secrets, operator tokens and TLS files of SETTINGS from now
   on.  SETTINGS must live until the next call or as long as the instance.
   Returns false and fills ERROR when a part failed; parts before it are in
   use.  */
bool instance_reload (instance_t *instance, const kwf_settings_t *settings,
                      kwf_error_t *error);

/* Begins a graceful stop; a second call stops at once.  */
void instance_stop (instance_t *instance);

void instance_free (instance_t *instance);

/* Addresses in use, "IP:PORT"; a port 0 of the settings is replaced by the
   actual one.  */
const char *instance_caller_address (const instance_t *instance);
const char *instance_operator_address (const instance_t *instance);
const char *instance_peer_address (const instance_t *instance);

#endif
