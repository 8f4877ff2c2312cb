/* policy.h - the decisions that an experiment can replace.

   The product's own policy is the default.  The baselines of bench/ have a
   policy_t as their first member.  A policy lives longer than the cores that
   use it.  */

#ifndef KNAPWEEDFORK_POLICY_H
#define KNAPWEEDFORK_POLICY_H

#include "route.h"

typedef enum
{
  POLICY_ORDER_FAIR, /* by class, fair between organisations */
  POLICY_ORDER_FIFO  /* first come, first served */
} policy_order_t;

typedef enum
{
  POLICY_PLACEMENT_CONFIGURED,   /* as the settings say */
  POLICY_PLACEMENT_STATIC,       /* models stay where they are */
  POLICY_PLACEMENT_NO_HYSTERESIS /* each round moves models without hysteresis
                                  */
} policy_placement_t;

typedef struct policy policy_t;

typedef struct
{
  const char *name;
  policy_order_t order;
  policy_placement_t placement;
  /* As route_choose.  */
  route_result_t (*choose) (policy_t *policy, backend_t *backend,
                            const route_query_t *query, int64_t now_ns);
} policy_ops_t;

struct policy
{
  const policy_ops_t *ops;
};

policy_t *policy_default (void);

/* Choose a server with POLICY.  */
route_result_t policy_choose (policy_t *policy, backend_t *backend,
                              const route_query_t *query, int64_t now_ns);

/* Use POLICY in place of the default, from before the first step on.  */
void core_set_policy (kwf_core_t *core, policy_t *policy);

#endif
