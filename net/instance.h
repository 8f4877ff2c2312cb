/* instance.h - one entry instance: sockets around the reducer.

   Turns what happens on the callers' port, the operator port, the links to
   other instances, the platform and the backend servers into events, feeds
   them to the core and carries out its effects.  */

#ifndef KNAPWEEDFORK_NET_INSTANCE_H
#define KNAPWEEDFORK_NET_INSTANCE_H

#include <ev.h>

#include <knapweedfork/settings.h>
#include <knapweedfork/status.h>

typedef struct instance instance_t;

struct protocol;

/* Start serving on LOOP, speaking DIALECT.  Return NULL and fill ERROR on
   failure.  The loop is broken when the instance has stopped.  SETTINGS must
   outlive it.  */
instance_t *instance_start (struct ev_loop *loop,
                            const kwf_settings_t *settings,
                            const struct protocol *protocol,
                            kwf_error_t *error);

/* Take over fleet secrets, operator tokens and TLS files from SETTINGS, which
   must live as long as the instance or until the next call.  False: not
   all of it, see ERROR.  */
bool instance_reload (instance_t *instance, const kwf_settings_t *settings,
                      kwf_error_t *error);

/* Begin a graceful stop; a second call ends it at once.  */
void instance_stop (instance_t *instance);

void instance_free (instance_t *instance);

/* Addresses in use, "IP:PORT"; a port 0 of the settings is replaced.  */
const char *instance_caller_address (const instance_t *instance);
const char *instance_operator_address (const instance_t *instance);
const char *instance_peer_address (const instance_t *instance);

#endif
