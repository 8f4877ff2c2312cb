/* common-sim.h - a model of a batching engine for the fake world.

   In one step of a batch each sequence whose prompt is processed gets a token,
   and prompt tokens of the others are processed.  A prefix cache shortens
   prompts.  Models and adapters are loaded from a weight store that all
   engines of the fleet share.  Only what the engine's interfaces show is
   modelled, nothing of the inside of an accelerator.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_SIM_H
#define KNAPWEEDFORK_STANDIN_COMMON_SIM_H

#include "common-world.h"

/* A model, as a workload file describes it.  */
typedef struct
{
  char *name;
  double memory_mb;
  double adapter_mb;           /* of one adapter */
  double step_ms;              /* time of a step, without its sequences */
  double sequence_ms;          /* additional time for each sequence */
  double context_ms;           /* additional time for each 1,000 tokens of
                                  context */
  double prefill_tokens_per_s; /* prompt tokens */
  int n_adapters;
} sim_model_t;

/* The weight store, shared by all engines.  */
typedef struct
{
  double load_ms_per_gb;   /* of a model, at full speed */
  double full_speed_loads; /* number of loads at the same time from which each
                              takes proportionally longer */
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
  double context_tokens; /* limit for the sum over the batch */
  double cache_tokens;   /* size of the prefix cache */
  double chunk_tokens;   /* limit of prompt tokens processed in one step */
  double report_ms;      /* load reports are refreshed at most this often */
  int max_batch;
  int tokens_per_event; /* tokens between two events of a stream */
} sim_options_t;

/* Figures of an engine.  */
typedef struct
{
  double peak_mb;      /* highest memory use */
  int memory_excesses; /* times that the memory was exceeded */
  double busy_s;       /* time spent in steps */
  double cached;       /* prompt tokens found in the prefix cache */
  double prompt;       /* prompt tokens of all sequences */
  int n_model_loads;
  int n_adapter_loads;
} sim_stats_t;

sim_engine_t *sim_new (world_engine_t *engine, const sim_options_t *options,
                       sim_weight_store_t *store);
void sim_free (sim_engine_t *sim);

/* Make MODEL resident at once, before the run.  */
void sim_preload (sim_engine_t *sim, const sim_model_t *model);

/* Set the models that orders can name, name to sim_model_t.  */
void sim_set_models (sim_engine_t *sim, GHashTable *models);

/* Start the attempt DATA, a world_attempt_t.  */
void sim_start_attempt (world_t *world, void *attempt);
void sim_load_report (sim_engine_t *sim, kwf_report_event_t *event);

/* Carry out ORDER; the reply goes to NODE.  */
void sim_receive_order (world_node_t *node, sim_engine_t *sim,
                        const kwf_order_t *order);

const sim_stats_t *sim_stats (const sim_engine_t *sim);
double sim_free_mb (const sim_engine_t *sim);
bool sim_is_loaded (const sim_engine_t *sim, const char *model);

#endif
