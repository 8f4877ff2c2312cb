/* placement.h - decides which models are resident on which engines
   (docs/design.md section 13).

   Every instance keeps the ledger rows; one of them, the decider, gives
   orders.  Safety does not depend on there being only one.  */

#ifndef KNAPWEEDFORK_PLACEMENT_H
#define KNAPWEEDFORK_PLACEMENT_H

#include <jansson.h>

#include "backend.h"
#include "config.h"
#include "demand.h"
#include "session.h"

typedef struct placement placement_t;

/* The modules that placement reads; they outlive it.  */
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
                     const session_changes_t *news, kwf_effects_t *effects);

/* Tell the decider of calls that began to wait in this step.  */
void placement_send_demand (placement_t *placement, kwf_effects_t *effects);

/* This instance is stopping: another one may decide at once.  */
void placement_resign (placement_t *placement, kwf_effects_t *effects);

int64_t placement_deadline_ns (const placement_t *placement);

/* For the status page and the metrics.  */
json_t *placement_json (const placement_t *placement);
void placement_write_metrics (const placement_t *placement, GString *out);

#endif
