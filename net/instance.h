/* instance.h - one instance: runs the core on a libev loop.

   Turns what happens on the callers' port, the operator port, the links to
   other instances, the platform and the backend servers into events, passes
   them to kwf_core_step and carries out the effects that it returns.  */

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

/* Uses the operator tokens, fleet secrets and TLS files of SETTINGS from now
   on, in this order.  SETTINGS must live until the next instance_reload or
   instance_free, whichever is first.  Returns false and fills ERROR at the
   first part that fails; the parts before it are in use.  */
bool instance_reload (instance_t *instance, const kwf_settings_t *settings,
                      kwf_error_t *error);

/* Begins a graceful stop; a second call ends the open requests at once.  The
   loop then goes on for at most 5 s while answers are unsent.  */
void instance_stop (instance_t *instance);

void instance_free (instance_t *instance);

/* Addresses "IP:PORT" of this instance, with the actual port where the
   settings have port 0.  The first and third are those that it advertises: at
   the first callers connect, at the third the other instances.  The second is
   where it listens for operators.  */
const char *instance_caller_address (const instance_t *instance);
const char *instance_operator_address (const instance_t *instance);
const char *instance_peer_address (const instance_t *instance);

#endif
