/* placement-round.h - the state of the fleet at the start of a round of the
   placement policy, and what the round has decided so far.  */

#ifndef KNAPWEEDFORK_PLACEMENT_ROUND_H
#define KNAPWEEDFORK_PLACEMENT_ROUND_H

#include "placement-state.h"

/* A server that responds and isn't leaving.  */
typedef struct
{
  ledger_server_t info;
  bool busy;       /* no further order can start in this round */
  int64_t free_mb; /* neither reserved in the ledger nor assigned in this
                      round */
  int requests;    /* running and waiting on the server, for any model */
  double rate;     /* tokens per second of the models that it serves */
} round_server_t;

/* A model of the lists, its demand and its copies.  */
typedef struct
{
  const kwf_model_t *model;
  ledger_item_t item;
  int64_t mb; /* including its adapters */
  demand_wait_t wait;
  double rate; /* tokens per second */
  int n_resident;
  int n_loading;
  int n_other_versions; /* resident copies of other versions */
  double copy_load;     /* requests per copy */
} round_model_t;

typedef struct
{
  placement_t *placement;
  kwf_effects_t *effects;
  int64_t now_ns;
  GArray *servers;     /* of round_server_t */
  GArray *models;      /* of round_model_t, one for each model of the lists */
  GHashTable *by_name; /* model name -> round_model_t */
} round_t;

#define ROUND_SERVER(round, i)                                                \
  (&g_array_index ((round)->servers, round_server_t, (i)))
#define ROUND_MODEL(round, i)                                                 \
  (&g_array_index ((round)->models, round_model_t, (i)))

void round_begin (round_t *round, placement_t *placement,
                  const kwf_lists_t *lists, kwf_effects_t *effects);
void round_end (round_t *round);

/* Whether ENTRY is a model, not an adapter.  */
bool round_entry_is_model (const ledger_entry_t *entry);

#endif
