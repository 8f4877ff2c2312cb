#include "policy.h"

#include "../standin/common-heap.h"

typedef struct
{
  policy_t base;
  uint64_t state;
} random_policy_t;

static route_result_t
choose (policy_t *base, backend_t *backend, const route_query_t *query,
        int64_t now_ns)
{
  random_policy_t *policy = (random_policy_t *)(void *)base;
  const GPtrArray *holders = route_holders (backend, query);
  server_t *taken = NULL;
  uint64_t n = 0;
  for (guint i = 0; holders && i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (!route_is_eligible (query, server, now_ns))
        continue;
      n++;
      if (random_next (&policy->state) % n == 0)
        taken = server;
    }
  if (!taken || query->suspect)
    return route_choose (backend, query, now_ns);
  return (route_result_t){ .verdict = ROUTE_FOUND, .server = taken };
}

static const policy_ops_t ops = { .name = "random",
                                  .placement = POLICY_PLACEMENT_STATIC,
                                  .choose = choose };

policy_t *
policy_random_new (uint64_t seed)
{
  random_policy_t *policy = g_new0 (random_policy_t, 1);
  policy->base.ops = &ops;
  policy->state = seed;
  return &policy->base;
}
