/* choose.h - the choice of a server by expected delay.

   Load pattern: many instances choose at the same time from counts and reports
   that are some 200 ms old.  If each took the best server, all would send
   their requests of that time to the same one.  */

#ifndef KNAPWEEDFORK_CHOOSE_H
#define KNAPWEEDFORK_CHOOSE_H

#include "delay.h"

/* Whether any of SERVERS has reported its pace.  */
bool choose_by_delay_applies (const GPtrArray *servers);

/* Choose one of SERVERS (server_t), all of which may be sent the request, by
   the delay that QUERY is expected to have there; NULL: there are none.
   SPREAD, a hash of the request and of this instance, spreads the choice among
   servers whose delays are similar.  */
server_t *choose_by_delay (const GPtrArray *servers,
                           const delay_query_t *query, uint64_t spread,
                           int64_t now_ns);

#endif
