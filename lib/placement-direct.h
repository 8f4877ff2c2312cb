/* direct.h - placement on engines that check the number of orders that they
   have accepted (lib/desk.h): one instance, which holds the duty
   "placement", gives all orders.  */

#ifndef KNAPWEEDFORK_DIRECT_H
#define KNAPWEEDFORK_DIRECT_H

#include "placement.h"

typedef struct direct placement_direct_t;

placement_direct_t *placement_direct_new (const kwf_core_options_t *options,
                                          const placement_sources_t *sources);
void placement_direct_free (placement_direct_t *direct);

void placement_direct_step (placement_direct_t *direct,
                            const kwf_event_t *event,
                            const session_changes_t *news,
                            kwf_effects_t *effects);

/* Tell the holder of calls that began to wait in this step.  */
void placement_direct_send_demand (placement_direct_t *direct,
                                   kwf_effects_t *effects);

/* This instance is stopping.  */
void placement_direct_resign (placement_direct_t *direct,
                              kwf_effects_t *effects);

int64_t placement_direct_deadline_ns (const placement_direct_t *direct);
void placement_direct_write_metrics (const placement_direct_t *direct,
                                     GString *out);

#endif
