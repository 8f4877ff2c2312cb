/* retry-budget.h - the repeats of requests for each service: retries, resumed
   streams, trials and hedges.

   All repeats of this instance draw on one token bucket (lib/budget.h).  */

#ifndef KNAPWEEDFORK_RETRY_BUDGET_H
#define KNAPWEEDFORK_RETRY_BUDGET_H

#include <stdbool.h>

#include <glib.h>
#include <knapweedfork/core.h>

typedef enum
{
  REPEAT_RETRY,
  REPEAT_RESUME,
  REPEAT_TRIAL,
  REPEAT_HEDGE,
  N_REPEATS
} repeat_kind_t;

typedef struct retry_budget retry_budget_t;

retry_budget_t *retry_budget_new (const kwf_core_options_t *options);
void retry_budget_free (retry_budget_t *budget);

/* SERVICE may be NULL: requests for models without a route.  */

/* Counts an admitted request for SERVICE.  */
void retry_budget_count_request (retry_budget_t *budget, const char *service);

/* Spends one repeat of a request for SERVICE; false when none is left.  */
bool retry_budget_take (retry_budget_t *budget, const char *service,
                        repeat_kind_t kind);

/* Whether a repeat of a request for SERVICE is left.  */
bool retry_budget_left (retry_budget_t *budget, const char *service);

/* Repeats that are left for the service that has the fewest.  */
double retry_budget_least (const retry_budget_t *budget);

void retry_budget_write_metrics (const retry_budget_t *budget, GString *out);

#endif
