#include "rebalance.h"

#include <knapweedfork/clock.h>
#include <math.h>
#include <string.h>

/* A model that is not waited for counts as called from this rate on, in
   tokens a second.  */
#define CALLED_RATE 1.0
/* A copy moves only when the demand on each copy of the model that gets it is
   this many times that on each copy of the model that loses it
   (hysteresis).  */
#define MOVE_FACTOR 1.5
/* A model without a copy takes the place of one that carries at most this many
   times the mean demand; it waits until the engine of such a one is free.
   Half of the copies carry less than the mean or not much more.  */
#define MISSING_FACTOR 2.0
/* A copy stays at least this long after it came, unless its model is not
   called.  */
#define STAY_NS (2 * KWF_NS_PER_S)

/* A load from the store costs as much as this many times the mean demand on a
   copy: it takes up to ten times as long as one of a model that is near.  */
#define FAR_FACTOR 1.0

/* A model that nobody asked for in this time is given up.  */
#define IDLE_NS (10 * KWF_NS_PER_S)

typedef struct
{
  const rebalance_model_t *models;
  const rebalance_engine_t *engines;
  int n_models;
  int n_engines;
  int *held; /* models that are not absent, those of engine E from
                first[E] to first[E + 1] */
  int *first;
  int *copies;      /* held or on their way in */
  int *settled;     /* held */
  double *least[2]; /* for each engine, the lowest cost of taking a model
                       away: [1] for one without a copy */
  double mean;      /* demand on a copy, over all */
} view_t;

static rebalance_state_t
state_of (const view_t *view, int engine, int model)
{
  return (rebalance_state_t)view->engines[engine].states[model];
}

static bool
is_called (const rebalance_model_t *model)
{
  return model->waiting || model->rate >= CALLED_RATE;
}

static double
pressure (const view_t *view, int model)
{
  return view->models[model].rate / MAX (1, view->copies[model]);
}

/* Demand on each copy of MODEL when one of them is gone; INFINITY: its last
   copy must stay.  */
static double
pressure_without (const view_t *view, int engine, int model, bool missing)
{
  const rebalance_model_t *item = &view->models[model];
  bool called = is_called (item);
  /* The last copy of a model that may be asked for again goes at once only
     for one that is asked for and has none.  */
  bool last = view->settled[model] < 2;
  if (!called && !missing && last && item->idle_ns < IDLE_NS)
    return INFINITY;
  /* It may be asked for again the sooner, the later it was asked for.  */
  if (!called && last && item->idle_ns < IDLE_NS)
    return view->mean * (1 - (double)MAX (item->idle_ns, 0) / (double)IDLE_NS);
  if (called && view->settled[model] < 2)
    return INFINITY;
  if (called && view->engines[engine].held_for_ns[model] < STAY_NS)
    return INFINITY;
  return called ? item->rate / (view->copies[model] - 1) : 0;
}

/* Demand of the models that ENGINE holds.  */
static double
engine_pressure (const view_t *view, int engine)
{
  double sum = 0;
  for (int i = view->first[engine]; i < view->first[engine + 1]; i++)
    sum += pressure (view, view->held[i]);
  return sum;
}

/* What has to go from ENGINE for MODEL.  */
typedef struct
{
  double cost; /* highest pressure that it leaves; INFINITY: no way */
  int first;   /* to go; -1: there is room */
} room_t;

static room_t
make_room (const view_t *view, int engine, int model)
{
  bool missing = !view->copies[model];
  room_t room = { .first = -1 };
  int64_t free_mb = view->engines[engine].free_mb;
  int begin = view->first[engine];
  int n_held = view->first[engine + 1] - begin;
  bool *gone = g_newa (bool, n_held + 1);
  memset (gone, 0, (size_t)n_held + 1);
  while (free_mb < view->models[model].mb)
    {
      int least = -1;
      int least_at = -1;
      double least_cost = INFINITY;
      for (int k = 0; k < n_held; k++)
        {
          int i = view->held[begin + k];
          if (gone[k] || state_of (view, engine, i) != REBALANCE_RESIDENT)
            continue;
          double cost = pressure_without (view, engine, i, missing);
          if (cost > least_cost
              || (least >= 0 && cost >= least_cost
                  && view->models[i].idle_ns <= view->models[least].idle_ns))
            continue;
          if (isinf (cost))
            continue;
          least = i;
          least_at = k;
          least_cost = cost;
        }
      if (least < 0)
        return (room_t){ .cost = INFINITY, .first = -1 };
      gone[least_at] = true;
      free_mb += view->models[least].mb;
      room.cost = MAX (room.cost, least_cost);
      if (room.first < 0)
        room.first = least;
    }
  return room;
}

/* The engine on which a copy of MODEL costs least.  */
static int
find_engine (const view_t *view, int model, double bound, bool may_load,
             room_t *best)
{
  bool missing = !view->copies[model];
  int found = -1;
  double found_load = 0;
  double found_cost = 0;
  for (int i = 0; i < view->n_engines; i++)
    {
      if (!view->engines[i].free
          || state_of (view, i, model) != REBALANCE_ABSENT)
        continue;
      bool near = view->engines[i].near && view->engines[i].near[model];
      if (!near && !may_load)
        continue;
      if (view->engines[i].free_mb < view->models[model].mb
          && !(view->least[missing][i] <= bound))
        continue;
      room_t room = make_room (view, i, model);
      if (!(room.cost <= bound) || isinf (room.cost))
        continue;
      double load = engine_pressure (view, i);
      double cost = room.cost + (near ? 0 : FAR_FACTOR * view->mean);
      if (found >= 0
          && (cost > found_cost || (cost >= found_cost && load >= found_load)))
        continue;
      found = i;
      found_cost = cost;
      found_load = load;
      *best = room;
    }
  return found;
}

static rebalance_step_t
step_for (const view_t *view, int model, double bound, bool may_load)
{
  room_t room = { 0 };
  int engine = find_engine (view, model, bound, may_load, &room);
  if (engine < 0)
    return (rebalance_step_t){ .engine = -1 };
  return (rebalance_step_t){ .engine = engine,
                             .load = room.first < 0,
                             .model = room.first < 0 ? model : room.first,
                             .for_model = model };
}

/* An engine holds a few of hundreds of models.  */
static void
list_held (view_t *view)
{
  GArray *held = g_array_new (FALSE, FALSE, sizeof (int));
  view->first = g_new0 (int, view->n_engines + 1);
  for (int i = 0; i < view->n_engines; i++)
    {
      for (int k = 0; k < view->n_models; k++)
        if (view->engines[i].states[k] != REBALANCE_ABSENT)
          g_array_append_val (held, k);
      view->first[i + 1] = (int)held->len;
    }
  view->held = (int *)(void *)g_array_free (held, FALSE);
}

static void
count_copies (view_t *view)
{
  for (int i = 0; i < view->n_engines; i++)
    for (int at = view->first[i]; at < view->first[i + 1]; at++)
      {
        int k = view->held[at];
        rebalance_state_t state = state_of (view, i, k);
        view->settled[k] += state == REBALANCE_RESIDENT;
        view->copies[k]
            += state == REBALANCE_RESIDENT || state == REBALANCE_LOADING;
      }
  double rate = 0;
  int copies = 0;
  for (int k = 0; k < view->n_models; k++)
    {
      rate += view->models[k].rate;
      copies += view->copies[k];
    }
  view->mean = rate / MAX (1, copies);
}

/* Most engines cannot give room at a given cost; they are passed over without
   a closer look.  */
static void
find_least (view_t *view)
{
  for (int missing = 0; missing < 2; missing++)
    {
      view->least[missing] = g_new (double, view->n_engines + 1);
      for (int i = 0; i < view->n_engines; i++)
        {
          double least = INFINITY;
          for (int at = view->first[i]; at < view->first[i + 1]; at++)
            if (state_of (view, i, view->held[at]) == REBALANCE_RESIDENT)
              least = fmin (
                  least, pressure_without (view, i, view->held[at], missing));
          view->least[missing][i] = least;
        }
    }
}

/* The called model without a copy that is most urgent; -1: none.  */
static int
find_missing (const view_t *view, const bool *skipped)
{
  int best = -1;
  for (int i = 0; i < view->n_models; i++)
    {
      const rebalance_model_t *model = &view->models[i];
      if (skipped[i] || view->copies[i] || !is_called (model))
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

/* The model whose copies carry most demand; -1: none.  */
static int
find_pressed (const view_t *view, const bool *skipped)
{
  int best = -1;
  for (int i = 0; i < view->n_models; i++)
    if (!skipped[i] && view->copies[i] && is_called (&view->models[i])
        && view->copies[i] < view->n_engines
        && (best < 0 || pressure (view, i) > pressure (view, best)))
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
                  .settled = g_new0 (int, n_models + 1) };
  bool *skipped = g_new0 (bool, n_models + 1);
  list_held (&view);
  count_copies (&view);
  find_least (&view);
  int model;
  while (step.engine < 0 && (model = find_missing (&view, skipped)) >= 0)
    {
      skipped[model] = true;
      double bound = fmax (MISSING_FACTOR * view.mean,
                           models[model].rate / MOVE_FACTOR);
      step = step_for (&view, model, bound, may_load);
    }
  while (may_move && step.engine < 0
         && (model = find_pressed (&view, skipped)) >= 0)
    {
      skipped[model] = true;
      step = step_for (&view, model, pressure (&view, model) / MOVE_FACTOR,
                       may_load);
    }
  g_free (skipped);
  g_free (view.held);
  g_free (view.least[0]);
  g_free (view.least[1]);
  g_free (view.first);
  g_free (view.copies);
  g_free (view.settled);
  return step;
}
