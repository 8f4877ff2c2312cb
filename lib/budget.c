#include "budget.h"

#include <knapweedfork/clock.h>
#include <math.h>

/* Two attempts are available at the start, so that the first failure of an
   instance without traffic can be retried.  */
#define MIN_CAPACITY 2.0
#define DECAY_NS (30 * KWF_NS_PER_S)

void
budget_init (budget_t *budget, double share, int64_t now_ns)
{
  *budget
      = (budget_t){ .share = share, .tokens = MIN_CAPACITY, .at_ns = now_ns };
}

void
budget_count_request (budget_t *budget, int64_t now_ns)
{
  int64_t passed = now_ns - budget->at_ns;
  if (passed > KWF_NS_PER_S / 10)
    {
      budget->recent *= exp (-(double)passed / (double)DECAY_NS);
      budget->at_ns = now_ns;
    }
  budget->recent += 1;
  double cap = MIN_CAPACITY + budget->share * budget->recent;
  budget->tokens = fmin (budget->tokens + budget->share, cap);
}

bool
budget_left (const budget_t *budget)
{
  return budget->tokens >= 1;
}

bool
budget_take (budget_t *budget)
{
  if (budget->tokens < 1)
    {
      budget->denied++;
      return false;
    }
  budget->tokens -= 1;
  budget->spent++;
  return true;
}
