/* contention.h - deployments whose callers compete for the same servers.

   Load pattern: a deployment has background work, whose streams may begin many
   seconds after they were asked for, beside streams that callers wait for.
   Its engines are chosen by expected delay, also where servers do not report
   their pace.  Admission by forecast is not turned on by it: under a lasting
   overload with uniform servers it held urgent requests for too long
   (docs/design/admission.md).  The configuration
   alone tells: a stream route with a long target and a low priority.  */

#ifndef KNAPWEEDFORK_CONTENTION_H
#define KNAPWEEDFORK_CONTENTION_H

#include <knapweedfork/lists.h>

#include "../backend.h"

/* Whether a route of LISTS has background work.  */
bool contention_configured (const kwf_lists_t *lists);

/* Marks the servers of BACKEND accordingly; LISTS NULL: there are none yet. */
void contention_mark (const backend_t *backend, const kwf_lists_t *lists);

/* Whether the times of SERVER are measured and used: it reports its pace, or
   the deployment has background work.  */
bool server_is_measured (const server_t *server);

#endif
