/* follower.h - who reads the tables that the platform changes, and for whom.

   Each change of a table costs a call for each instance that follows it.
   One instance reads for all: the first hub (lib/hub.h) by name that is live.
   It tells the first instance of each other data centre, which tells those
   beside it. The roles follow from each instance's own view of the members;
   where views differ, an instance is told twice or reads for itself.  */

#ifndef KNAPWEEDFORK_FANOUT_H
#define KNAPWEEDFORK_FANOUT_H

#include <knapweedfork/core.h>

#include "session.h"

typedef enum
{
  FANOUT_READER, /* for the fleet */
  FANOUT_RELAY,  /* what it is told to those in its data centre */
  FANOUT_LEAF
} fanout_role_t;

fanout_role_t fanout_role (const session_t *session);

/* Age in nanoseconds of what is known at which this instance asks the
   platform itself; 0: it always does.  */
int64_t fanout_max_age_ns (const session_t *session);

/* Call FN with each instance that this one tells.  OWN: the platform told
   this instance, not another instance.  */
void fanout_feed_targets (const session_t *session, bool own,
                          kwf_instance_fn_t fn, void *data);

/* Call FN with each instance that is told directly of what this one decides
   for all: in a small fleet all, in a large one the first hub of each data
   centre, which passes it on, and, where this is one, those beside it.  */
void fanout_broadcast_targets (const session_t *session, kwf_instance_fn_t fn,
                               void *data);

/* The first instance of this one's data centre; "": this one.  */
const char *fanout_own_relay (const session_t *session);
/* Call FN with the first instance of each other data centre, or with those
   beside this one.  */
void fanout_other_relays (const session_t *session, kwf_instance_fn_t fn,
                          void *data);
void fanout_local_members (const session_t *session, kwf_instance_fn_t fn,
                           void *data);

#endif
