/* common-sim-state.h - the state of a modelled engine, shared by the
   common-sim files.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_SIM_STATE_H
#define KNAPWEEDFORK_STANDIN_COMMON_SIM_STATE_H

#include "common-sim.h"

typedef enum
{
  RESIDENT_LOADING,
  RESIDENT_READY,
  RESIDENT_UNLOADING /* starts no new sequences */
} sim_resident_state_t;

typedef struct
{
  char *name;
  bool ready;
  int64_t used_ns;
  int sequences;
} sim_adapter_t;

/* A model in the engine's memory.  */
typedef struct
{
  sim_engine_t *sim;
  const sim_model_t *model;
  sim_resident_state_t state;
  GPtrArray *adapters; /* of sim_adapter_t */
  int sequences;
} sim_resident_t;

typedef struct
{
  world_attempt_t *attempt;
  sim_resident_t *resident;
  sim_adapter_t *adapter; /* NULL: none */
  double prefill;         /* prompt tokens still to be processed */
  double prompt;
  double context; /* tokens of prompt and answer together */
  uint64_t number;
  int reported; /* tokens reported to the instance so far */
} sim_sequence_t;

typedef struct
{
  uint64_t prefix;
  int tokens;
} sim_cached_prefix_t;

struct sim_engine
{
  world_engine_t *engine;
  sim_options_t options;
  sim_weight_store_t *store;
  GHashTable *models;   /* name to sim_model_t */
  GPtrArray *residents; /* of sim_resident_t */
  GPtrArray *running;   /* of sim_sequence_t */
  GQueue waiting;       /* of sim_sequence_t, by priority, then by arrival */
  GQueue cache;         /* of sim_cached_prefix_t, most recently used first */
  double cache_used;
  double context; /* tokens of context reserved by the running sequences */
  bool stepping;
  int64_t step_ns;
  uint64_t n_sequences;
  sim_stats_t stats;
  kwf_report_event_t report; /* load report as last refreshed */
  int64_t report_ns;
};

world_t *sim_world (const sim_engine_t *sim);
double sim_used_mb (const sim_engine_t *sim);

/* The model in memory, loaded or not; NULL if there is none.  */
sim_resident_t *sim_find_resident (const sim_engine_t *sim, const char *model);
sim_resident_t *sim_add_resident (sim_engine_t *sim, const sim_model_t *model,
                                  sim_resident_state_t state);

/* The adapter NAME of RESIDENT.  Its load begins if it is not in memory.  */
sim_adapter_t *sim_request_adapter (sim_engine_t *sim,
                                    sim_resident_t *resident,
                                    const char *name);

#endif
