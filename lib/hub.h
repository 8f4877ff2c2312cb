/* hub.h - which instances have links to all others.

   Answers a large fleet: with a link from each to each, 295 small instances
   spend a third of their processor time on the frames that keep 294 links
   alive.  In a large fleet the largest instances of each data centre are
   hubs: they have links to all, the others have links to the hubs only.  Hubs
   read and pass on tables and loads, hold the shares of the rates and give
   the orders; they tell the others which members are down.  In a small fleet
   all are hubs, and where leases are renewed at the table, because the vote on
   an outage needs a link to each.  The choice follows from the rows of the
   members.  */

#ifndef KNAPWEEDFORK_HUB_H
#define KNAPWEEDFORK_HUB_H

#include "session-state.h"

/* Find anew who is a hub; rows of members have changed.  */
void hub_select (session_t *session);

/* Whether this instance connects to MEMBER.  */
bool hub_wants_link (const session_t *session, const member_t *member);

/* Whether a member is there: by its link, or as hubs tell.  */
bool hub_is_live (const session_t *session, const char *instance, bool linked,
                  bool hub);

/* A hub told who is down.  */
void hub_handle_unreachable (session_t *session,
                             const kwf_unreachable_t *unreachable);

/* Tell others who is down, when it is due.  */
void hub_run (session_t *session, int64_t now_ns, kwf_effects_t *effects);
/* It has changed.  */
void hub_send_unreachable_soon (session_t *session);
int64_t hub_deadline_ns (const session_t *session);

#endif
