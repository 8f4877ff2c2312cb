/* policy.h - baseline policies that experiments compare the product with.

   Each baseline replaces a part of the product's policy (lib/policy.h) and
   keeps the rest.  Release a policy with g_free.  */

#ifndef KNAPWEEDFORK_BENCH_POLICY_H
#define KNAPWEEDFORK_BENCH_POLICY_H

#include "../lib/policy.h"

/* Chooses a random eligible server.  Models stay where they are.  */
policy_t *policy_random_new (uint64_t seed);

/* Chooses the eligible server with the least load in its last load report;
   requests sent since that report are not counted.  Models stay where they
   are.  */
policy_t *policy_least_load_new (void);

/* Chooses servers as the product does.  Models stay where they are.  */
policy_t *policy_static_new (void);

/* Chooses servers as the product does.  Requests are queued in order of
   arrival.  */
policy_t *policy_fifo_new (void);

/* Chooses servers as the product does.  Each placement round may move models
   at once, without the hysteresis that keeps a copy in place for some
   time.  */
policy_t *policy_no_hysteresis_new (void);

/* Return the policy called NAME, or NULL if there is none.  SEED is used by
   "random" only.  Release it with g_free.  */
policy_t *policy_new (const char *name, uint64_t seed);

/* Names of all policies, ended by NULL.  The product's policy is the
   first.  */
extern const char *const policy_names[];

#endif
