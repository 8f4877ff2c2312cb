/* pace.h - how long work takes at a server just now.

   Load pattern: a server shares its machine, and for spells of some 600 ms its
   work takes 2.5 times as long.  What it says of this is true for less than a
   second.  */

#ifndef KNAPWEEDFORK_PACE_H
#define KNAPWEEDFORK_PACE_H

#include "../backend.h"

/* A server shares its machine for about this part of the time; its work then
   takes PACE_SHARED times as long (docs/hard-load.md section 2).  */
#define PACE_SHARED_PART 0.15
#define PACE_SHARED 2.5

/* Whether SERVER has ever reported its pace.  Only the servers of such
   services are chosen by expected delay.  */
bool server_reports_pace (const server_t *server);

/* SERVER said at NOW_NS how long work takes there, in per cent of its usual
   time.  PACE 0 or less: it did not say.  */
void server_set_pace (server_t *server, int pace, int64_t now_ns);

/* The same, said to another instance at THEN_NS.  Only newer reports count. */
void pace_set_heard (server_t *server, int pace, int64_t then_ns);

/* Whether SERVER may be slower than usual without saying so: servers of its
   service report their pace, or it is not known whether they do.  */
bool pace_is_expected (const server_t *server);

/* Weight of the pace that SERVER last reported: 1 at once, falling to 0 within
   a second.  0: it is unknown.  */
double pace_weight (const server_t *server, int64_t now_ns);

/* Last reported pace as a factor of the usual time.  */
double pace_reported (const server_t *server);

/* Expected factor of the usual time at NOW_NS.  With an unknown pace it is
   that of a server that may be in such a spell, so above 1; it is 1 where no
   server reports a pace.  */
double pace_factor (const server_t *server, int64_t now_ns);

#endif
