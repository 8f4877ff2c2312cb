/* budget.h - limits extra attempts (retries, hedges, resumes, trials), and
   preemptions, to a share of the requests.

   It is a token bucket that each request fills by SHARE.  Its capacity follows
   the number of requests in the last half minute, so that a quiet instance
   cannot save up tokens for a storm of retries and a busy one can resume the
   streams of a server that died.  */

#ifndef KNAPWEEDFORK_BUDGET_H
#define KNAPWEEDFORK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double share;  /* tokens that a request adds */
  double tokens; /* extra attempts available */
  double recent; /* requests of the last half minute, decayed */
  int64_t at_ns; /* time up to which RECENT is decayed */
  uint64_t spent;
  uint64_t denied;
} budget_t;

void budget_init (budget_t *budget, double share, int64_t now_ns);

/* Count a request.  */
void budget_count_request (budget_t *budget, int64_t now_ns);

/* Spend one extra attempt; false when none is left.  */
bool budget_take (budget_t *budget);

/* Whether an extra attempt is left.  */
bool budget_left (const budget_t *budget);

#endif
