/* placement-state.h - state shared by the files placement*.c.  */

#ifndef KNAPWEEDFORK_PLACEMENT_STATE_H
#define KNAPWEEDFORK_PLACEMENT_STATE_H

#include "placement.h"
#include "load-budget.h"

/* A model for which room is being made.  */
typedef struct
{
  char *server;
  int64_t since_ns;
} eviction_plan_t;

typedef struct
{
  uint64_t loads;
  uint64_t adapter_loads;
  uint64_t unloads;
  uint64_t moves;   /* loads of models that were resident elsewhere */
  uint64_t refused; /* orders that an engine rejected */
} placement_counts_t;

struct placement
{
  kwf_placement_options_t options;
  char *instance;
  const kwf_clock_t *clock;
  placement_sources_t sources;
  struct direct *direct; /* NULL: the rest is used */
  ledger_t *ledger;
  load_budget_t *weights;
  GHashTable *eviction_plans; /* name of a model -> eviction_plan_t */
  GHashTable *unplaced;       /* set: called models that have no room */
  placement_counts_t counts;
  bool decides;
  bool knows_rows; /* the first rows were taken */
  bool rows_changed;
  int64_t last_ns; /* of the policy's last round */
  int64_t next_ns;
};

/* placement-policy.c: begin the loads and unloads that are due.  */
void placement_run_round (placement_t *placement, const kwf_lists_t *lists,
                          kwf_effects_t *effects);

/* The version of MODEL in the lists; "" when it has none.  */
const char *placement_version (const kwf_model_t *model);

/* Memory that is reserved for a copy: the model and all of its adapters.  */
int64_t placement_size_mb (const kwf_model_t *model);

#endif
