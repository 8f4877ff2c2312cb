/* The product's policy, and policies that differ from it in configuration
   only.  */

#include "policy.h"

#include <string.h>

/* A copy of the product's policy whose ops may have other values.  */
typedef struct
{
  policy_t base;
  policy_ops_t ops;
} variant_t;

static policy_t *
configured_policy_new (const char *name, policy_order_t queue_order,
                       policy_placement_t placement)
{
  variant_t *variant = g_new0 (variant_t, 1);
  variant->ops = *policy_default ()->ops;
  variant->ops.name = name;
  variant->ops.order = queue_order;
  variant->ops.placement = placement;
  variant->base.ops = &variant->ops;
  return &variant->base;
}

policy_t *
policy_static_new (void)
{
  return configured_policy_new ("static", POLICY_ORDER_FAIR,
                                POLICY_PLACEMENT_STATIC);
}

policy_t *
policy_fifo_new (void)
{
  return configured_policy_new ("arrival", POLICY_ORDER_FIFO,
                                POLICY_PLACEMENT_CONFIGURED);
}

policy_t *
policy_no_hysteresis_new (void)
{
  return configured_policy_new ("anew", POLICY_ORDER_FAIR,
                                POLICY_PLACEMENT_NO_HYSTERESIS);
}

const char *const policy_names[]
    = { "product", "random", "least-load", "static", "arrival", "anew", NULL };

policy_t *
policy_new (const char *name, uint64_t seed)
{
  if (strcmp (name, "product") == 0)
    return configured_policy_new ("product", POLICY_ORDER_FAIR,
                                  POLICY_PLACEMENT_CONFIGURED);
  if (strcmp (name, "random") == 0)
    return policy_random_new (seed);
  if (strcmp (name, "least-load") == 0)
    return policy_least_load_new ();
  if (strcmp (name, "static") == 0)
    return policy_static_new ();
  if (strcmp (name, "arrival") == 0)
    return policy_fifo_new ();
  if (strcmp (name, "anew") == 0)
    return policy_no_hysteresis_new ();
  return NULL;
}
