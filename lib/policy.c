#include "policy.h"

#include "core-state.h"

static route_result_t
choose (policy_t *policy, backend_t *backend, const route_query_t *query,
        int64_t now_ns)
{
  (void)policy;
  return route_choose (backend, query, now_ns);
}

static const policy_ops_t default_ops
    = { .name = "product",
        .order = POLICY_ORDER_FAIR,
        .placement = POLICY_PLACEMENT_CONFIGURED,
        .choose = choose };

policy_t *
policy_default (void)
{
  static policy_t policy = { .ops = &default_ops };
  return &policy;
}

route_result_t
policy_choose (policy_t *policy, backend_t *backend,
               const route_query_t *query, int64_t now_ns)
{
  return policy->ops->choose (policy, backend, query, now_ns);
}

void
core_set_policy (kwf_core_t *core, policy_t *policy)
{
  core->policy = policy;
}
