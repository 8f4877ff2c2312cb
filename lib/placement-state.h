/* placement-state.h - state shared by placement.c, placement-policy.c,
   placement-round.c and placement-status.c.  */

#ifndef KNAPWEEDFORK_PLACEMENT_STATE_H
#define KNAPWEEDFORK_PLACEMENT_STATE_H

#include "placement.h"
#include "load-budget.h"

/* The server on which room is being made for a model, and since when.  */
typedef struct
{
  char *server_id;
  int64_t since_ns;
} eviction_plan_t;

typedef struct
{
  uint64_t loads;
  uint64_t adapter_loads;
  uint64_t unloads;
  uint64_t further_loads; /* loads of models of which a copy, maybe of another
                             version, was resident (kwf_model_moves_total) */
  uint64_t error_replies; /* orders answered with status 400 or above */
} placement_counts_t;

struct placement
{
  kwf_placement_options_t options;
  char *instance;
  const kwf_clock_t *clock;
  placement_sources_t sources;
  struct placement_direct *direct; /* placement without reservations, for
                                      engines that count their orders; NULL:
                                      the ledger and the fields below are
                                      used */
  ledger_t *ledger;
  load_budget_t *load_budget;
  GHashTable *eviction_plans; /* model name -> eviction_plan_t */
  GHashTable *unplaced; /* set of names: requested models for which there is
                           no room */
  placement_counts_t counts;
  bool is_leader;        /* this instance is the leader */
  bool has_rows;         /* the table was read once */
  bool ledger_changed;   /* ledger rows, since models were last marked as being
                            unloaded */
  int64_t last_round_ns; /* time of the last round */
  int64_t next_round_ns;
};

/* placement-policy.c: run one round, which starts the loads and unloads that
   are due.  */
void placement_run_round (placement_t *placement, const kwf_lists_t *lists,
                          kwf_effects_t *effects);

/* Return the configured version of MODEL; "" if it has none.  */
const char *placement_model_version (const kwf_model_t *model);

/* Return the memory in MB to reserve for a copy of MODEL with all of its
   adapters.  */
int64_t placement_model_size_mb (const kwf_model_t *model);

#endif
