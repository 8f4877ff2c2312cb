/* rebalance.h - chooses the next load or unload of a model, from the demand
   for the models and their copies.

   The memory of all engines is divided so that all copies carry about the same
   demand and each requested model has a copy.  The copies thus follow demand
   that shifts between models, and rarely requested models get a copy.  The
   functions are pure: they read no clock and send no orders.  */

#ifndef KNAPWEEDFORK_REBALANCE_H
#define KNAPWEEDFORK_REBALANCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *name;
  int64_t mb;
  double rate;       /* demand in tokens per second over the fleet */
  bool waiting;      /* requests wait for a copy */
  int priority;      /* of the most urgent of these requests */
  uint64_t excluded; /* regions in which it must not be served */
  int64_t idle_ns;   /* time since the last request, as far as known */
} rebalance_model_t;

typedef struct
{
  bool available;  /* accepts an order for a model now, and no room is being
                      made on it for a model */
  uint64_t region; /* bit of its region; 0: there are no regions */
  int64_t free_mb; /* neither in use nor needed by a load in progress */
  /* For each model, its state on this engine, and how long it has been
     resident; in state REBALANCE_LOADING, the time since its load was
     accepted.  */
  const int8_t *states; /* of rebalance_state_t */
  const int64_t *resident_for_ns;
  const bool *local_weights; /* the model can be loaded without the weight
                                store; NULL: none can */
  double capacity; /* demand that it bears, relative to the other engines; 0:
                      1 */
} rebalance_engine_t;

typedef enum
{
  REBALANCE_ABSENT,
  REBALANCE_RESIDENT,
  REBALANCE_LOADING, /* being loaded, or room is being made for its load */
  REBALANCE_UNLOADING
} rebalance_state_t;

typedef struct
{
  int engine; /* -1: nothing to do */
  bool load;  /* true: load; false: unload */
  int model;
  int for_model; /* index of the model that needs the room; of MODEL itself for
                    a load */
} rebalance_step_t;

/* Return the next step.  MAY_LOAD: the weight store has capacity for a load
   now; otherwise only models with local weights are loaded.  MAY_MOVE: the
   demand has been observed for long enough to move copies.  */
rebalance_step_t rebalance_next (const rebalance_model_t *models, int n_models,
                                 const rebalance_engine_t *engines,
                                 int n_engines, bool may_load, bool may_move);

#endif
