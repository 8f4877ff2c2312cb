/* policy.h - the baselines that the product is measured against.

   Each replaces a part of the product's policy (lib/policy.h); the rest stays
   the product's.  */

#ifndef KNAPWEEDFORK_BENCH_POLICY_H
#define KNAPWEEDFORK_BENCH_POLICY_H

#include "../lib/policy.h"

/* A random server of those that may take the request, and models stay where
   they are.  */
policy_t *policy_random_new (uint64_t seed);

/* The server with the least load in its last report; what was sent since is
   not counted.  Models stay where they are.  */
policy_t *policy_least_load_new (void);

/* The product's choice; models stay where they are.  */
policy_t *policy_static_new (void);

/* The product's choice; requests wait in the order of arrival.  */
policy_t *policy_fifo_new (void);

/* The product's choice; each round places models anew, without the rules that
   keep them where they are.  */
policy_t *policy_no_hysteresis_new (void);

/* The policy of NAME, or NULL.  Release with g_free.  */
policy_t *policy_new (const char *name, uint64_t seed);

/* Names of all policies, the product's first, NULL at the end.  */
extern const char *const policy_names[];

#endif
