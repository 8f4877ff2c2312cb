/* budget.h - how many extra attempts (retries, hedges, resumes, trials) may
   be made.

   A token bucket that is filled by requests: each adds SHARE.  Its capacity
   follows the requests of the last half minute, so that a quiet instance
   cannot save up a storm of retries and a busy one can resume the streams
   of a server that died.  */

#ifndef KNAPWEEDFORK_BUDGET_H
#define KNAPWEEDFORK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double share;  /* tokens that a request adds */
  double tokens; /* extra attempts in hand */
  double recent; /* requests of the last half minute, decayed */
  int64_t at_ns; /* time of RECENT */
  uint64_t spent;
  uint64_t denied;
} budget_t;

void budget_init (budget_t *budget, double share, int64_t now_ns);

/* Count a request.  */
void budget_count_request (budget_t *budget, int64_t now_ns);

/* Take one extra attempt; false when there is none left.  */
bool budget_take (budget_t *budget);

/* Whether there is one left.  */
bool budget_left (const budget_t *budget);

#endif
