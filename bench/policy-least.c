#include "policy.h"

static route_result_t
choose (policy_t *policy, backend_t *backend, const route_query_t *query,
        int64_t now_ns)
{
  (void)policy;
  const GPtrArray *holders = route_holders (backend, query);
  server_t *least = NULL;
  for (guint i = 0; holders && i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (route_is_eligible (query, server, now_ns)
          && (!least
              || server->running + server->waiting
                     < least->running + least->waiting))
        least = server;
    }
  if (!least || query->suspect)
    return route_choose (backend, query, now_ns);
  return (route_result_t){ .verdict = ROUTE_FOUND, .server = least };
}

static const policy_ops_t ops = { .name = "least-load",
                                  .placement = POLICY_PLACEMENT_STATIC,
                                  .choose = choose };

policy_t *
policy_least_load_new (void)
{
  policy_t *policy = g_new0 (policy_t, 1);
  policy->ops = &ops;
  return policy;
}
