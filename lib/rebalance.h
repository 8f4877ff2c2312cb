/* rebalance.h - which loads and unloads of models are due, from what is asked
   of the models and where they are.

   Answers demand that moves between models, and calls for rare models: the
   memory of all engines is divided so that the copies of each model carry
   about the same demand, and each model that is called has a copy.  Pure:
   no clock, no orders.  */

#ifndef KNAPWEEDFORK_REBALANCE_H
#define KNAPWEEDFORK_REBALANCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *name;
  int64_t mb;
  double rate;     /* tokens a second asked for, over the fleet */
  bool waiting;    /* calls wait for a copy */
  int priority;    /* of the most urgent of them */
  int64_t idle_ns; /* since it was last asked for, as far as known */
} rebalance_model_t;

typedef struct
{
  bool free;       /* an order for a model may be given now */
  int64_t free_mb; /* neither held nor being loaded */
  /* For each model: not held, held (and for how long), on its way in or
     out.  */
  const int8_t *states; /* of rebalance_state_t, one for each model */
  const int64_t *held_for_ns;
  const bool *near; /* for each model: it needs no load from the store */
} rebalance_engine_t;

typedef enum
{
  REBALANCE_ABSENT,
  REBALANCE_RESIDENT,
  REBALANCE_LOADING,
  REBALANCE_UNLOADING
} rebalance_state_t;

typedef struct
{
  int engine; /* -1: nothing is due */
  bool load;  /* else unload */
  int model;
  int for_model; /* model for which it is done */
} rebalance_step_t;

/* The next step; MAY_LOAD: the weight store allows a load now, else only
   models that are near an engine are moved to it; MAY_MOVE: the
   demand has been watched for long enough to move copies after it.  */
rebalance_step_t rebalance_next (const rebalance_model_t *models, int n_models,
                                 const rebalance_engine_t *engines,
                                 int n_engines, bool may_load, bool may_move);

#endif
