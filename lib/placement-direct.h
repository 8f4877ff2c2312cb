/* placement-direct.h - placement on engines that check the number of orders
   that they have accepted (lib/engine-control.h).  One instance, the leader of
   the election "placement" (lib/election.h), sends all orders.  There are no
   reservations in the table.  */

#ifndef KNAPWEEDFORK_PLACEMENT_DIRECT_H
#define KNAPWEEDFORK_PLACEMENT_DIRECT_H

#include "placement.h"

typedef struct placement_direct placement_direct_t;

placement_direct_t *placement_direct_new (const kwf_core_options_t *options,
                                          const placement_sources_t *sources);
void placement_direct_free (placement_direct_t *direct);

void placement_direct_step (placement_direct_t *direct,
                            const kwf_event_t *event,
                            const session_changes_t *changes,
                            kwf_effects_t *effects);

/* Send this instance's demand to the leader if a request began to wait in this
   step.  */
void placement_direct_send_demand (placement_direct_t *direct,
                                   kwf_effects_t *effects);

/* Resign as the leader: this instance is stopping.  */
void placement_direct_set_able (placement_direct_t *direct, bool able);
void placement_direct_resign (placement_direct_t *direct,
                              kwf_effects_t *effects);

int64_t placement_direct_next_tick_ns (const placement_direct_t *direct);
void placement_direct_write_metrics (const placement_direct_t *direct,
                                     GString *out);

#endif
