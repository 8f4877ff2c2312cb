/* policy.h - decisions that an experiment can replace.

   The default is the product's own policy.  The baselines in bench/ have a
   policy_t as their first member.  A policy must outlive the cores that use
   it.  */

#ifndef KNAPWEEDFORK_POLICY_H
#define KNAPWEEDFORK_POLICY_H

#include "route.h"

typedef enum
{
  POLICY_ORDER_FAIR, /* by priority class, fair between organisations */
  POLICY_ORDER_FIFO  /* in order of arrival */
} policy_order_t;

typedef enum
{
  POLICY_PLACEMENT_CONFIGURED,   /* dynamic or static, as the settings say */
  POLICY_PLACEMENT_STATIC,       /* models stay where they are */
  POLICY_PLACEMENT_NO_HYSTERESIS /* each round may move models at once */
} policy_placement_t;

typedef struct policy policy_t;

typedef struct
{
  const char *name;
  policy_order_t order;
  policy_placement_t placement;
  /* Same contract as route_choose.  */
  route_result_t (*choose) (policy_t *policy, backend_t *backend,
                            const route_query_t *query, int64_t now_ns);
} policy_ops_t;

struct policy
{
  const policy_ops_t *ops;
};

policy_t *policy_default (void);

/* Choose a server for QUERY with POLICY.  */
route_result_t policy_choose (policy_t *policy, backend_t *backend,
                              const route_query_t *query, int64_t now_ns);

/* Use POLICY instead of the default.  Call it before the first step of
   CORE.  */
void core_set_policy (kwf_core_t *core, policy_t *policy);

#endif
