/* retry-budget.h - the repeats of requests for each service: retries, resumed
   streams, trials and hedges.

   Where a window is set (option retry_window_ns), the fleet keeps a budget for
   each service: in each window, a share of the service's requests and a slack.
   Each instance spends the share of the requests that it got itself, and its
   part of the slack, by the members that it knows.  The sums over all
   instances are then at most the share and the slack, with no message.

   Without a window, all repeats of this instance draw on one token bucket
   (lib/budget.h).  */

#ifndef KNAPWEEDFORK_RETRY_BUDGET_H
#define KNAPWEEDFORK_RETRY_BUDGET_H

#include <stdbool.h>

#include <glib.h>
#include <knapweedfork/core.h>

#include "session.h"

typedef enum
{
  REPEAT_RETRY,
  REPEAT_RESUME,
  REPEAT_TRIAL,
  REPEAT_HEDGE,
  N_REPEATS
} repeat_kind_t;

typedef struct retry_budget retry_budget_t;

retry_budget_t *retry_budget_new (const kwf_core_options_t *options,
                                  const session_t *session);
void retry_budget_free (retry_budget_t *budget);

/* SERVICE may be NULL: requests for models without a route.  */

/* Counts an admitted request for SERVICE.  */
void retry_budget_count_request (retry_budget_t *budget, const char *service);

/* Spends one repeat of a request for SERVICE; false when none is left.  */
bool retry_budget_take (retry_budget_t *budget, const char *service,
                        repeat_kind_t kind);

/* A repeat that was taken at TAKEN_NS is not made: give it back.  */
void retry_budget_return (retry_budget_t *budget, const char *service,
                          int64_t taken_ns);

/* A repeat that was taken at TAKEN_NS is made now.  */
void retry_budget_move (retry_budget_t *budget, const char *service,
                        int64_t taken_ns);

/* Whether the budget counts what arrives at the servers, for each service, so
   that the resume of a preempted stream counts and a request that did not
   arrive does not.  */
bool retry_budget_by_service (const retry_budget_t *budget);

/* Whether a repeat of a request for SERVICE is left.  */
bool retry_budget_left (retry_budget_t *budget, const char *service);

/* Repeats that are left for the service that has the fewest.  */
double retry_budget_least (retry_budget_t *budget);

void retry_budget_write_metrics (const retry_budget_t *budget, GString *out);

#endif
