/* fanout.h - which instance polls the platform's tables and to whom changes
   are passed on.

   The platform's store gets one call for each change and each instance that
   polls a table.  So one instance, the reader, polls for the whole fleet: the
   first live hub (lib/hub.h) by name.  It passes changes on to one relay in
   each other data centre, and each relay passes them on to the instances of
   its data centre.  Every instance derives the roles from its own view of the
   members.  Where views differ, an instance receives a change twice or polls
   the store itself.  */

#ifndef KNAPWEEDFORK_FANOUT_H
#define KNAPWEEDFORK_FANOUT_H

#include <knapweedfork/core.h>

#include "session.h"

typedef enum
{
  FANOUT_READER, /* polls the store for the fleet */
  FANOUT_RELAY,  /* passes changes on in its data centre */
  FANOUT_LEAF    /* only receives changes */
} fanout_role_t;

fanout_role_t fanout_role (const session_t *session);

/* Age in nanoseconds of an instance's knowledge of the tables after which it
   polls the store itself. 0: it polls all the time, as the reader does.  */
int64_t fanout_max_age_ns (const session_t *session);

/* The same for an instance in ROLE, where a change must be in force after
   FRESH_NS.  */
int64_t fanout_role_max_age_ns (fanout_role_t role, int64_t fresh_ns);

/* Calls FN with each instance to which this one passes changes of the tables
   on.  OWN: this instance read the changes from the store; false: another
   instance passed them on to it.  A leaf passes on what it read, to its relay
   and the reader.  */
void fanout_feed_targets (const session_t *session, bool own,
                          kwf_instance_fn_t fn, void *data);

/* Calls FN with each instance that receives this instance's own decisions for
   the fleet directly.  In a small fleet these are all instances.  In a large
   fleet they are the relays of the other data centres, which pass the decision
   on, and the local instances if this one is a relay, else the relay of its
   data centre.  */
void fanout_broadcast_targets (const session_t *session, kwf_instance_fn_t fn,
                               void *data);

/* Sends MESSAGE, whose strings live as long as EFFECTS, to the targets of
   fanout_broadcast_targets.  */
void fanout_send_decision (const session_t *session,
                           const kwf_message_t *message,
                           kwf_effects_t *effects);
/* MESSAGE, a decision that instance FROM made, has arrived: in a large fleet,
   a relay passes it on to the instances of its data centre.  */
void fanout_forward_decision (const session_t *session, const char *from,
                              const kwf_message_t *message,
                              kwf_effects_t *effects);

/* Returns the relay of this instance's data centre (the first hub of the fleet
   if the data centre has no hub); "" if this instance is that relay.  */
const char *fanout_own_relay (const session_t *session);
/* Call FN with the relay of each other data centre, or with each linked
   instance of this data centre.  */
void fanout_other_relays (const session_t *session, kwf_instance_fn_t fn,
                          void *data);
void fanout_local_members (const session_t *session, kwf_instance_fn_t fn,
                           void *data);

#endif
