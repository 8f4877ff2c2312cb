/* common-sim.h - a model of a batching engine for the fake world.

   One step of a batch makes one token for each sequence in it and takes
   prompt tokens of new ones.  A prefix cache shortens prompts.  Models and
   adapters are loaded from a weight store that is shared by the fleet.  This
   is a model of the engine's interfaces; it knows nothing of the inside of
   an accelerator.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_SIM_H
#define KNAPWEEDFORK_STANDIN_COMMON_SIM_H

#include "common-world.h"

/* A model, as a workload file describes it.  */
typedef struct
{
  char *name;
  double memory_mb;
  double adapter_mb;           /* each */
  double step_ms;              /* of a batch of none */
  double sequence_ms;          /* more for each sequence */
  double context_ms;           /* more for each 1,000 tokens of context */
  double prefill_tokens_per_s; /* prompt tokens */
  int n_adapters;
} sim_model_t;

/* The weight store.  */
typedef struct
{
  double load_ms_per_gb;   /* of a model, at full speed */
  double full_speed_loads; /* more at once take proportionally longer */
  double adapter_min_ms;
  double adapter_max_ms;
  double full_speed_adapters;
  double loads_per_s;
  int models_loading;
  int adapters_loading;
  int64_t next_load_ns; /* earliest start of the next load */
  int n_loads;
} sim_weight_store_t;

typedef struct
{
  double memory_mb;
  double context_tokens; /* of all sequences in the batch, at most */
  double cache_tokens;   /* prefix cache */
  double chunk_tokens;   /* prompt tokens taken in one step, at most */
  double report_ms;      /* reports show the state of up to so long ago */
  int max_batch;
  int tokens_per_event; /* tokens that one stream event carries */
} sim_options_t;

/* What was seen of an engine.  */
typedef struct
{
  double peak_mb;      /* memory in use */
  int memory_excesses; /* times the memory was exceeded */
  double busy_s;       /* time in steps */
  double cached;       /* prompt tokens found in the cache */
  double prompt;       /* prompt tokens */
  int n_model_loads;
  int n_adapter_loads;
} sim_stats_t;

sim_engine_t *sim_new (world_engine_t *engine, const sim_options_t *options,
                       sim_weight_store_t *store);
void sim_free (sim_engine_t *sim);

/* Make MODEL resident at once, before the run.  */
void sim_preload (sim_engine_t *sim, const sim_model_t *model);

/* Models that orders can name.  */
void sim_set_models (sim_engine_t *sim, GHashTable *models);

/* An attempt arrives.  */
void sim_start_attempt (world_t *world, void *attempt);
void sim_load_report (sim_engine_t *sim, kwf_report_event_t *event);

/* An order arrives; the answer goes to NODE.  */
void sim_receive_order (world_node_t *node, sim_engine_t *sim,
                        const kwf_order_t *order);

const sim_stats_t *sim_stats (const sim_engine_t *sim);
double sim_free_mb (const sim_engine_t *sim);
bool sim_is_loaded (const sim_engine_t *sim, const char *model);

#endif
