/* hub.h - which instances have links to all others.

   With a link between every two instances, 295 small instances spend a third
   of their processor time on the frames that keep 294 links alive.  So in a
   large fleet the largest instances of each data centre are hubs: they have
   links to all instances, and the others have links to the hubs only.  Hubs
   poll the tables, pass on changes and server loads, own the rate shares and
   lead the placement; they report the unreachable members to the others.

   In a small fleet all instances are hubs.  They also all are where leases are
   renewed in the table, because the vote on an outage needs a link to each
   member.  Each instance makes the same choice from the members' rows.  */

#ifndef KNAPWEEDFORK_HUB_H
#define KNAPWEEDFORK_HUB_H

#include "session-state.h"

/* Chooses the hubs anew, after rows of members have changed.  */
void hub_select (session_t *session);

/* Whether the fleet is starting and may turn out to be large, because every
   known member has just started.  Links and the first share epoch wait
   meanwhile.  */
bool hub_is_starting (const session_t *session);

/* Whether this instance opens a link to MEMBER.  */
bool hub_wants_link (const session_t *session, const member_t *member);

/* Whether INSTANCE is live: LINKED says whether it has a link to this
   instance, HUB whether it is a hub.  Between two hubs, or a hub and another
   instance, only the link counts; else it is live unless the hubs' last list
   names it as unreachable.  */
bool hub_is_live (const session_t *session, const char *instance, bool linked,
                  bool hub);

/* The same with contact_ns: without a list that is younger than that, only
   members with a link are live.  */
bool hub_has_reached (const session_t *session, const char *instance,
                      bool linked, bool hub);

/* Handles a hub's list of unreachable members.  */
void hub_handle_unreachable (session_t *session,
                             const kwf_unreachable_t *unreachable);

/* Sends the list of unreachable members to the non-hubs when it is due.  */
void hub_run (session_t *session, int64_t now_ns, kwf_effects_t *effects);
/* The set of unreachable members has changed: brings the time of the next list
   forward.  Only a hub of a large fleet sends it.  */
void hub_schedule_unreachable_list (session_t *session);
int64_t hub_next_tick_ns (const session_t *session);

#endif
