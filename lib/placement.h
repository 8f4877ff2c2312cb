/* placement.h - decides which models are resident on which engines
   (docs/design.md section 13).

   Every instance keeps track of the reservations in the ledger rows.  One of
   them, the placement leader, sends orders.  Two instances that both act as
   the leader do no harm: the ledger's transactions prevent conflicting orders.
   With kwf_core_options_t.push_updates, lib/placement-direct.h is used instead
   of the ledger.  */

#ifndef KNAPWEEDFORK_PLACEMENT_H
#define KNAPWEEDFORK_PLACEMENT_H

#include <jansson.h>

#include "backend.h"
#include "config.h"
#include "demand.h"
#include "session.h"

typedef struct placement placement_t;

/* The modules that placement uses; they must outlive it.  */
typedef struct
{
  session_t *session;
  const config_t *config;
  backend_t *backend;
  demand_t *demand;
} placement_sources_t;

placement_t *placement_new (const kwf_core_options_t *options,
                            const placement_sources_t *sources);
void placement_free (placement_t *placement);

void placement_step (placement_t *placement, const kwf_event_t *event,
                     const session_changes_t *changes, kwf_effects_t *effects);

/* Send this instance's demand to the leader if a request began to wait in this
   step.  */
void placement_send_demand (placement_t *placement, kwf_effects_t *effects);

/* Set whether this instance reaches engines: if it doesn't, it isn't the
   leader.  */
void placement_set_able (placement_t *placement, bool able);

/* This instance is stopping: let another instance become the leader at
   once.  */
void placement_resign (placement_t *placement, kwf_effects_t *effects);

int64_t placement_next_tick_ns (const placement_t *placement);

/* The state as JSON for the status page, and metrics in text form.  */
json_t *placement_json (const placement_t *placement);
void placement_write_metrics (const placement_t *placement, GString *out);

#endif
