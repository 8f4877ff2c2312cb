/* capacity.h - how much demand a model server bears beside others of its
   service, for the placement of models.

   Load pattern: servers of one service differ in speed, all hold the same
   number of models, and each prompt that is read delays the events of all
   streams there.  A server that is half as fast reads less than half as many
   prompt tokens within the pause that callers accept.  */

#ifndef KNAPWEEDFORK_CAPACITY_H
#define KNAPWEEDFORK_CAPACITY_H

#include "../backend.h"

/* Prompt tokens that SERVER reads between two events without exceeding the
   accepted pause, relative to those of a server with the usual speed of the
   service; 1 for servers that do not report their pace.  */
double capacity_of (const server_t *server);

#endif
