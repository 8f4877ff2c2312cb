/* follower.h - who reads the tables that the platform changes, and for whom.

   Each change of a table costs a call for each instance that follows it.
   One instance reads for all: the first hub (lib/hub.h) by name that is live.
   It tells the first instance of each other data centre, which tells those
   beside it. The roles follow from each instance's own view of the members;
   where views differ, an instance is told twice or reads for itself.  */

#ifndef KNAPWEEDFORK_FOLLOWER_H
#define KNAPWEEDFORK_FOLLOWER_H

#include <knapweedfork/core.h>

#include "session.h"

typedef enum
{
  FOLLOWER_READS,  /* for the fleet */
  FOLLOWER_PASSES, /* what it is told to those in its data centre */
  FOLLOWER_LISTENS
} follower_role_t;

follower_role_t follower_role (const session_t *session);

/* Age in nanoseconds of what is known at which this instance asks the
   platform itself; 0: it always does.  */
int64_t follower_patience_ns (const session_t *session);

/* Call FN with each instance that this one tells.  OWN: the platform told
   this instance, not another instance.  */
void follower_targets (const session_t *session, bool own,
                       kwf_instance_fn_t fn, void *data);

/* Call FN with each instance that is told directly of what this one decides
   for all: in a small fleet all, in a large one the first hub of each data
   centre, which passes it on, and, where this is one, those beside it.  */
void follower_spread (const session_t *session, kwf_instance_fn_t fn,
                      void *data);

/* The first instance of this one's data centre; "": this one.  */
const char *follower_first (const session_t *session);
/* Call FN with the first instance of each other data centre, or with those
   beside this one.  */
void follower_firsts (const session_t *session, kwf_instance_fn_t fn,
                      void *data);
void follower_beside (const session_t *session, kwf_instance_fn_t fn,
                      void *data);

#endif
