#include "rebalance.h"

#include <knapweedfork/clock.h>
#include <math.h>
#include <string.h>

/* Minimum rate in tokens per second at which a model without waiting requests
   counts as requested.  */
#define REQUESTED_RATE 1.0
/* A copy moves only if the demand per copy of the model that gains it is at
   least this many times the demand per copy of the model that loses it
   (hysteresis).  */
#define MOVE_FACTOR 1.5
/* A model without a copy evicts a copy whose demand is at most this many times
   the mean.  If no engine with such a copy accepts orders now, the model waits
   for one.  Half of the copies have less than the mean demand or little more,
   so there are many such engines.  */
#define MISSING_COST_FACTOR 2.0
/* A copy isn't evicted sooner than this after it became resident, unless its
   model isn't requested.  */
#define MIN_STAY_NS (2 * KWF_NS_PER_S)

/* A load from the weight store costs as much as this many times the mean
   demand per copy: it takes up to ten times as long as a load of local
   weights.  */
#define STORE_LOAD_FACTOR 1.0

/* Time without requests after which even the last copy of a model may be
   evicted for any other model.  */
#define IDLE_MAX_NS (10 * KWF_NS_PER_S)

typedef struct
{
  const rebalance_model_t *models;
  const rebalance_engine_t *engines;
  int n_models;
  int n_engines;
  int *present; /* indices of the models that aren't absent; those of engine E
                   are at first_present[E] to first_present[E + 1] - 1 */
  int *first_present;
  int *copies;           /* resident or being loaded */
  double *capacity;      /* of the engines with these copies, in all */
  int *resident;         /* resident */
  int *home_copies;      /* copies in regions that the model's most urgent
                            waiting request allows */
  double *least_cost[2]; /* for each engine, the lowest cost of a single
                            eviction; [1]: in favour of a model without a
                            copy */
  double mean;           /* mean demand per copy over all models */
} view_t;

static rebalance_state_t
state_of (const view_t *view, int engine, int model)
{
  return (rebalance_state_t)view->engines[engine].states[model];
}

/* Whether a copy of MODEL on ENGINE is of no use to the requests that wait for
   it.  */
static bool
is_excluded (const view_t *view, int engine, int model)
{
  return view->engines[engine].region & view->models[model].excluded;
}

static bool
is_requested (const rebalance_model_t *model)
{
  return model->waiting || model->rate >= REQUESTED_RATE;
}

static double
capacity_of_engine (const view_t *view, int engine)
{
  double capacity = view->engines[engine].capacity;
  return capacity > 0 ? capacity : 1;
}

/* Demand for MODEL per unit of capacity of the engines with its copies.  */
static double
copy_demand (const view_t *view, int model)
{
  return view->copies[model] ? view->models[model].rate / view->capacity[model]
                             : view->models[model].rate;
}

/* Demand per copy of MODEL after one of its copies on ENGINE is evicted;
   INFINITY: the copy must stay.  FOR_MISSING_MODEL: the eviction is in favour
   of a model without a copy.  */
static double
copy_demand_without (const view_t *view, int engine, int model,
                     bool for_missing_model)
{
  const rebalance_model_t *item = &view->models[model];
  bool requested = is_requested (item);
  /* The last copy of a model that may be requested again is evicted early only
     in favour of a requested model without a copy.  */
  bool last = view->resident[model] < 2;
  if (!requested && !for_missing_model && last && item->idle_ns < IDLE_MAX_NS)
    return INFINITY;
  /* The less time has passed since the last request, the sooner the model may
     be requested again, so the higher the cost.  */
  if (!requested && last && item->idle_ns < IDLE_MAX_NS)
    return view->mean
           * (1 - (double)MAX (item->idle_ns, 0) / (double)IDLE_MAX_NS);
  if (requested && view->resident[model] < 2)
    return INFINITY;
  if (requested && view->engines[engine].resident_for_ns[model] < MIN_STAY_NS)
    return INFINITY;
  return requested ? item->rate
                         / (view->capacity[model]
                            - capacity_of_engine (view, engine))
                   : 0;
}

/* Sum of the demand per copy of the models on ENGINE.  */
static double
engine_demand (const view_t *view, int engine)
{
  double sum = 0;
  for (int i = view->first_present[engine];
       i < view->first_present[engine + 1]; i++)
    sum += copy_demand (view, view->present[i]);
  return sum;
}

/* The evictions on an engine that make room for a model.  */
typedef struct
{
  double cost;     /* highest of copy_demand_without over the evicted models:
                      for a requested model its rate divided by the copies that
                      remain, for another one 0 or a part of the mean that
                      shrinks with its idle time; INFINITY: impossible */
  int first_model; /* model to evict first; -1: there is room already */
} evictions_t;

/* Choose evictions on ENGINE that make room for MODEL, the cheapest copy
   first.  Nothing is evicted here; only the first eviction becomes a step.  */
static evictions_t
evaluate_evictions (const view_t *view, int engine, int model)
{
  bool for_missing_model = !view->home_copies[model];
  evictions_t eviction = { .first_model = -1 };
  int64_t free_mb = view->engines[engine].free_mb;
  int begin = view->first_present[engine];
  int n_present = view->first_present[engine + 1] - begin;
  bool *evicted = g_newa (bool, n_present + 1);
  memset (evicted, 0, (size_t)n_present + 1);
  while (free_mb < view->models[model].mb)
    {
      int cheapest_model = -1;
      int cheapest_at = -1; /* its index among the models on ENGINE */
      double lowest_cost = INFINITY;
      for (int k = 0; k < n_present; k++)
        {
          int i = view->present[begin + k];
          if (evicted[k] || state_of (view, engine, i) != REBALANCE_RESIDENT)
            continue;
          double cost
              = copy_demand_without (view, engine, i, for_missing_model);
          if (cost > lowest_cost
              || (cheapest_model >= 0 && cost >= lowest_cost
                  && view->models[i].idle_ns
                         <= view->models[cheapest_model].idle_ns))
            continue;
          if (isinf (cost))
            continue;
          cheapest_model = i;
          cheapest_at = k;
          lowest_cost = cost;
        }
      if (cheapest_model < 0)
        return (evictions_t){ .cost = INFINITY, .first_model = -1 };
      evicted[cheapest_at] = true;
      free_mb += view->models[cheapest_model].mb;
      eviction.cost = MAX (eviction.cost, lowest_cost);
      if (eviction.first_model < 0)
        eviction.first_model = cheapest_model;
    }
  return eviction;
}

/* Find the engine where a copy of MODEL costs least, up to BOUND; -1:
   none.  */
static int
find_engine (const view_t *view, int model, double bound, bool may_load,
             evictions_t *best)
{
  bool for_missing_model = !view->home_copies[model];
  int found = -1;
  double found_load = 0;
  double found_cost = 0;
  for (int i = 0; i < view->n_engines; i++)
    {
      if (!view->engines[i].available
          || state_of (view, i, model) != REBALANCE_ABSENT
          || is_excluded (view, i, model))
        continue;
      bool local = view->engines[i].local_weights
                   && view->engines[i].local_weights[model];
      if (!local && !may_load)
        continue;
      if (view->engines[i].free_mb < view->models[model].mb
          && !(view->least_cost[for_missing_model][i] <= bound))
        continue;
      evictions_t eviction = evaluate_evictions (view, i, model);
      if (!(eviction.cost <= bound) || isinf (eviction.cost))
        continue;
      double load = (engine_demand (view, i) + view->mean)
                    / capacity_of_engine (view, i);
      double cost
          = eviction.cost + (local ? 0 : STORE_LOAD_FACTOR * view->mean);
      if (found >= 0
          && (cost > found_cost || (cost >= found_cost && load >= found_load)))
        continue;
      found = i;
      found_cost = cost;
      found_load = load;
      *best = eviction;
    }
  return found;
}

static rebalance_step_t
step_for (const view_t *view, int model, double bound, bool may_load)
{
  evictions_t eviction = { 0 };
  int engine = find_engine (view, model, bound, may_load, &eviction);
  if (engine < 0)
    return (rebalance_step_t){ .engine = -1 };
  return (rebalance_step_t){ .engine = engine,
                             .load = eviction.first_model < 0,
                             .model = eviction.first_model < 0
                                          ? model
                                          : eviction.first_model,
                             .for_model = model };
}

/* List the models on each engine: a few out of hundreds.  */
static void
list_present (view_t *view)
{
  GArray *present = g_array_new (FALSE, FALSE, sizeof (int));
  view->first_present = g_new0 (int, view->n_engines + 1);
  for (int i = 0; i < view->n_engines; i++)
    {
      for (int k = 0; k < view->n_models; k++)
        if (view->engines[i].states[k] != REBALANCE_ABSENT)
          g_array_append_val (present, k);
      view->first_present[i + 1] = (int)present->len;
    }
  view->present = (int *)(void *)g_array_free (present, FALSE);
}

/* Count the copies of each model and their capacity, and compute the mean
   demand per unit of it.  */
static void
count_copies_and_mean (view_t *view)
{
  for (int i = 0; i < view->n_engines; i++)
    for (int at = view->first_present[i]; at < view->first_present[i + 1];
         at++)
      {
        int k = view->present[at];
        rebalance_state_t state = state_of (view, i, k);
        view->resident[k] += state == REBALANCE_RESIDENT;
        if (state != REBALANCE_RESIDENT && state != REBALANCE_LOADING)
          continue;
        view->copies[k]++;
        view->capacity[k] += capacity_of_engine (view, i);
        view->home_copies[k] += !is_excluded (view, i, k);
      }
  double rate = 0;
  double capacity = 0;
  for (int k = 0; k < view->n_models; k++)
    {
      rate += view->models[k].rate;
      capacity += view->capacity[k];
    }
  view->mean = rate / (capacity > 0 ? capacity : 1);
}

/* Compute the cost of the cheapest single eviction on each engine.  With it
   find_engine skips engines that can't make room within its bound, before it
   evaluates evictions.  */
static void
find_least_costs (view_t *view)
{
  for (int for_missing_model = 0; for_missing_model < 2; for_missing_model++)
    {
      view->least_cost[for_missing_model]
          = g_new (double, view->n_engines + 1);
      for (int i = 0; i < view->n_engines; i++)
        {
          double least = INFINITY;
          for (int at = view->first_present[i];
               at < view->first_present[i + 1]; at++)
            if (state_of (view, i, view->present[at]) == REBALANCE_RESIDENT)
              least = fmin (least,
                            copy_demand_without (view, i, view->present[at],
                                                 for_missing_model));
          view->least_cost[for_missing_model][i] = least;
        }
    }
}

/* Find the most urgent requested model without a copy that may serve it; -1:
   none.  */
static int
find_missing (const view_t *view, const bool *skipped)
{
  int best = -1;
  for (int i = 0; i < view->n_models; i++)
    {
      const rebalance_model_t *model = &view->models[i];
      if (skipped[i] || view->home_copies[i] || !is_requested (model))
        continue;
      const rebalance_model_t *other = best < 0 ? NULL : &view->models[best];
      if (!other || (model->waiting && !other->waiting)
          || (model->waiting == other->waiting
              && (model->priority < other->priority
                  || (model->priority == other->priority
                      && model->rate > other->rate))))
        best = i;
    }
  return best;
}

/* Find the requested model with the highest demand per copy; -1: none.  */
static int
find_most_loaded (const view_t *view, const bool *skipped)
{
  int best = -1;
  for (int i = 0; i < view->n_models; i++)
    if (!skipped[i] && view->copies[i] && is_requested (&view->models[i])
        && view->copies[i] < view->n_engines
        && (best < 0 || copy_demand (view, i) > copy_demand (view, best)))
      best = i;
  return best;
}

rebalance_step_t
rebalance_next (const rebalance_model_t *models, int n_models,
                const rebalance_engine_t *engines, int n_engines,
                bool may_load, bool may_move)
{
  rebalance_step_t step = { .engine = -1 };
  view_t view = { .models = models,
                  .engines = engines,
                  .n_models = n_models,
                  .n_engines = n_engines,
                  .copies = g_new0 (int, n_models + 1),
                  .capacity = g_new0 (double, n_models + 1),
                  .resident = g_new0 (int, n_models + 1),
                  .home_copies = g_new0 (int, n_models + 1) };
  bool *skipped = g_new0 (bool, n_models + 1);
  list_present (&view);
  count_copies_and_mean (&view);
  find_least_costs (&view);
  int model;
  while (step.engine < 0 && (model = find_missing (&view, skipped)) >= 0)
    {
      skipped[model] = true;
      double bound = fmax (MISSING_COST_FACTOR * view.mean,
                           models[model].rate / MOVE_FACTOR);
      step = step_for (&view, model, bound, may_load);
    }
  while (may_move && step.engine < 0
         && (model = find_most_loaded (&view, skipped)) >= 0)
    {
      skipped[model] = true;
      step = step_for (&view, model, copy_demand (&view, model) / MOVE_FACTOR,
                       may_load);
    }
  g_free (skipped);
  g_free (view.present);
  g_free (view.least_cost[0]);
  g_free (view.least_cost[1]);
  g_free (view.first_present);
  g_free (view.copies);
  g_free (view.capacity);
  g_free (view.resident);
  g_free (view.home_copies);
  return step;
}
