/* direct.h - placement on engines that check the number of orders that they
   have accepted (lib/desk.h): one instance, which holds the duty
   "placement", gives all orders.  */

#ifndef KNAPWEEDFORK_DIRECT_H
#define KNAPWEEDFORK_DIRECT_H

#include "placement.h"

typedef struct direct direct_t;

direct_t *direct_new (const kwf_core_options_t *options,
                      const placement_sources_t *sources);
void direct_free (direct_t *direct);

void direct_step (direct_t *direct, const kwf_event_t *event,
                  const session_news_t *news, kwf_effects_t *effects);

/* Tell the holder of calls that began to wait in this step.  */
void direct_tell (direct_t *direct, kwf_effects_t *effects);

/* This instance is stopping.  */
void direct_release (direct_t *direct, kwf_effects_t *effects);

int64_t direct_deadline_ns (const direct_t *direct);
void direct_write_metrics (const direct_t *direct, GString *out);

#endif
