/* The policy: which loads and unloads are due now.  */

#include <math.h>
#include <string.h>

#include "placement-round.h"

/* A called model that does not wait counts as called from this rate on, in
   tokens a second.  */
#define CALLED_RATE 1.0
/* Time over which the gain of another copy is counted, and how much more
   than its cost it must be (hysteresis).  */
#define GAIN_S 30.0
#define GAIN_FACTOR 1.5
/* The servers that hold the model must be this much busier than the one that
   gets another copy.  */
#define BUSY_FACTOR 2.0
/* A copy of a model with demand is not taken away sooner than this after it
   became resident (hysteresis).  */
#define STAY_NS (30 * KWF_NS_PER_S)
/* A plan to make room is given up after this time.  */
#define PLAN_NS (10 * KWF_NS_PER_S)

typedef enum
{
  EVICT_NONE,
  EVICT_FOR_COPY, /* copies with little load, models without demand */
  EVICT_FOR_CALL  /* any copy that is not the last of a model with demand */
} evict_t;

/* Loads.  */

static bool
can_load (const round_server_t *host, const ledger_item_t *what)
{
  const ledger_row_t *row = host->server.row;
  return !ledger_row_find_entry (row, what)
         && (host->server.fencing
             || !ledger_row_has_order (row, ORDER_UNLOAD, what));
}

static void
begin_load (round_t *round, round_server_t *host, const round_model_t *target)
{
  placement_t *placement = round->placement;
  host->busy = true;
  host->free_mb -= target->mb;
  if (ledger_load (placement->ledger, host->server.id, &target->what,
                   round->effects)
      != LEDGER_BEGUN)
    return;
  load_budget_count_load (placement->weights, false);
  placement->counts.loads++;
  placement->counts.moves += target->n_resident + target->n_other_versions > 0;
  g_hash_table_remove (placement->eviction_plans, target->model->name);
  kwf_effects_log (round->effects, 358, KWF_LOG_INFO, NULL,
                   "load of model %s version %s on %s begins",
                   target->model->name, target->what.version, host->server.id);
}

static void
begin_unload (round_t *round, round_server_t *host,
              const ledger_entry_t *entry)
{
  placement_t *placement = round->placement;
  host->busy = true;
  if (ledger_unload (placement->ledger, host->server.id, &entry->what,
                     round->effects)
      != LEDGER_BEGUN)
    return;
  placement->counts.unloads++;
  kwf_effects_log (round->effects, 359, KWF_LOG_INFO, NULL,
                   "unload of model %s version %s on %s begins",
                   entry->what.model, entry->what.version, host->server.id);
}

/* Memory of what is being unloaded by an order that is not late: it is free
   soon.  */
static int64_t
pending_mb (const round_server_t *host)
{
  int64_t mb = 0;
  const ledger_row_t *row = host->server.row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      if (entry->state != LEDGER_ENTRY_UNLOADING)
        continue;
      for (guint k = 0; k < row->orders->len; k++)
        {
          const ledger_order_t *order = row->orders->pdata[k];
          if (!order->late && order->kind == ORDER_UNLOAD
              && ledger_item_equal (&order->what, &entry->what))
            {
              mb += entry->mb;
              break;
            }
        }
    }
  return mb;
}

static bool
holds_old (const round_server_t *host, const round_model_t *target)
{
  const ledger_row_t *row = host->server.row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      if (round_entry_is_model (entry)
          && strcmp (entry->what.model, target->what.model) == 0
          && !ledger_item_equal (&entry->what, &target->what))
        return true;
    }
  return false;
}

/* Mean requests of the servers that hold ROUND_MODEL.  */
static double
host_load (const round_t *round, const round_model_t *target)
{
  double sum = 0;
  int n = 0;
  for (guint i = 0; i < round->servers->len; i++)
    {
      const round_server_t *host = ROUND_SERVER (round, i);
      if (!ledger_row_has_stable_copy (host->server.row, &target->what))
        continue;
      sum += host->requests;
      n++;
    }
  return n ? sum / n : 0;
}

/* Whether another copy on ROUND_SERVER is worth its load.  Each model in a
   batch slows the others down, so a server that is as busy as those that hold
   the model serves nobody better with it.  */
static bool
is_worth (const round_t *round, const round_server_t *host,
          const round_model_t *target)
{
  const kwf_placement_options_t *options = &round->placement->options;
  if (options->no_hysteresis)
    return true;
  double load_s = (double)options->load_ns / (double)KWF_NS_PER_S;
  double late
      = (target->copy_load - (double)options->copy_load) / target->copy_load;
  double gain = target->rate * late * fmax (0, GAIN_S - load_s);
  return gain > GAIN_FACTOR * load_s * host->rate
         && host->requests * BUSY_FACTOR < host_load (round, target);
}

/* The server with most free memory that has room, first of those beside an
   old version; BUSY ones when there is no other.  For another copy the one
   with the fewest requests of those that are worth it.  */
static round_server_t *
find_room (const round_t *round, const round_model_t *target, evict_t evict)
{
  bool for_copy = evict == EVICT_FOR_COPY;
  round_server_t *best = NULL;
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *host = ROUND_SERVER (round, i);
      if (!can_load (host, &target->what) || host->free_mb < target->mb
          || (for_copy && !is_worth (round, host, target)))
        continue;
      bool beside = holds_old (host, target);
      bool best_beside = best && holds_old (best, target);
      if (!best || (best->busy && !host->busy)
          || (best->busy == host->busy
              && (beside != best_beside ? beside
                  : for_copy            ? host->requests < best->requests
                                        : host->free_mb > best->free_mb)))
        best = host;
    }
  return best;
}

/* A server on which an unload under way makes room.  */
static round_server_t *
find_pending (const round_t *round, const round_model_t *target)
{
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *host = ROUND_SERVER (round, i);
      int64_t pending = pending_mb (host);
      if (pending && can_load (host, &target->what)
          && host->free_mb + pending >= target->mb)
        return host;
    }
  return NULL;
}

/* Evictions.  */

/* Tokens a second that ENTRY serves; INFINITY: it must stay.  */
static double
value_of (const round_t *round, const round_server_t *host,
          const ledger_entry_t *entry, const round_model_t *target,
          evict_t evict)
{
  const placement_t *placement = round->placement;
  const demand_t *demand = placement->sources.demand;
  /* Adapters hold no memory of their own and go with their model.  */
  if (entry->state != LEDGER_ENTRY_RESIDENT || !round_entry_is_model (entry))
    return INFINITY;
  /* One of several old copies makes room for the new version.  */
  if (strcmp (entry->what.model, target->what.model) == 0)
    return target->n_other_versions > 1
                   && ledger_can_unload (placement->ledger, host->server.id,
                                         &entry->what)
               ? 0
               : INFINITY;
  const round_model_t *other
      = g_hash_table_lookup (round->by_name, entry->what.model);
  bool cold = !other || demand_is_cold (demand, entry->what.model, NULL);
  if (!cold
      && ((!placement->options.no_hysteresis
           && round->now_ns - entry->first_seen_ns < STAY_NS)
          || (evict == EVICT_FOR_COPY
              && other->copy_load > (double)placement->options.copy_load / 2)))
    return INFINITY;
  if (!ledger_can_unload (placement->ledger, host->server.id, &entry->what))
    return INFINITY;
  return cold ? 0 : other->rate / MAX (1, other->n_resident);
}

/* Least value of what has to go from ROUND_SERVER for ROUND_MODEL, and the
   first to go; INFINITY: there is no way.  */
static double
cost_of_room (const round_t *round, const round_server_t *host,
              const round_model_t *target, evict_t evict,
              const ledger_entry_t **first)
{
  const GPtrArray *entries = host->server.row->entries;
  int64_t free_mb = host->free_mb + pending_mb (host);
  double total = 0;
  bool *taken = g_newa (bool, entries->len + 1);
  memset (taken, 0, entries->len * sizeof *taken);
  *first = NULL;
  while (free_mb < target->mb)
    {
      double least = INFINITY;
      double least_value = 0;
      guint at = 0;
      for (guint i = 0; i < entries->len; i++)
        {
          const ledger_entry_t *entry = entries->pdata[i];
          double value = taken[i]
                             ? INFINITY
                             : value_of (round, host, entry, target, evict);
          double for_each_mb = value / (double)MAX (1, entry->mb);
          if (isinf (value) || for_each_mb >= least)
            continue;
          least = for_each_mb;
          least_value = value;
          at = i;
        }
      if (isinf (least))
        return INFINITY;
      const ledger_entry_t *entry = entries->pdata[at];
      taken[at] = true;
      total += least_value;
      free_mb += entry->mb;
      if (!*first)
        *first = entry;
    }
  return total;
}

static round_server_t *
find_host (const round_t *round, const char *id)
{
  for (guint i = 0; i < round->servers->len; i++)
    if (strcmp (ROUND_SERVER (round, i)->server.id, id) == 0)
      return ROUND_SERVER (round, i);
  return NULL;
}

/* Go on making room where that was begun; false: there is no such place.  */
static bool
follow_plan (round_t *round, const round_model_t *target, evict_t evict)
{
  placement_t *placement = round->placement;
  const eviction_plan_t *plan
      = g_hash_table_lookup (placement->eviction_plans, target->model->name);
  if (!plan)
    return false;
  round_server_t *host = find_host (round, plan->server);
  const ledger_entry_t *first;
  if (host && round->now_ns - plan->since_ns < PLAN_NS
      && can_load (host, &target->what)
      && !isinf (cost_of_room (round, host, target, evict, &first)))
    {
      if (!host->busy && host->free_mb >= target->mb)
        begin_load (round, host, target);
      else
        {
          if (!host->busy && first)
            begin_unload (round, host, first);
          host->free_mb -= target->mb;
        }
      return true;
    }
  g_hash_table_remove (placement->eviction_plans, target->model->name);
  return false;
}

/* Load ROUND_MODEL somewhere; true: it is loaded or will be.  */
static bool
place (round_t *round, const round_model_t *target, evict_t evict)
{
  placement_t *placement = round->placement;
  if (!load_budget_allows (placement->weights, false)
      || follow_plan (round, target, evict))
    return true;
  round_server_t *host = find_room (round, target, evict);
  if (host)
    {
      if (!host->busy)
        begin_load (round, host, target);
      else
        host->free_mb -= target->mb;
      return true;
    }
  host = find_pending (round, target);
  if (host)
    {
      host->free_mb -= target->mb;
      return true;
    }
  const ledger_entry_t *victim = NULL;
  double least = INFINITY;
  for (guint i = 0; evict != EVICT_NONE && i < round->servers->len; i++)
    {
      const ledger_entry_t *first;
      round_server_t *other = ROUND_SERVER (round, i);
      if (other->busy || !can_load (other, &target->what)
          || (evict == EVICT_FOR_COPY && !is_worth (round, other, target)))
        continue;
      double cost = cost_of_room (round, other, target, evict, &first);
      if (cost >= least || !first)
        continue;
      least = cost;
      host = other;
      victim = first;
    }
  if (!victim)
    return false;
  eviction_plan_t *plan = g_new0 (eviction_plan_t, 1);
  plan->server = g_strdup (host->server.id);
  plan->since_ns = round->now_ns;
  g_hash_table_replace (placement->eviction_plans,
                        g_strdup (target->model->name), plan);
  begin_unload (round, host, victim);
  host->free_mb -= target->mb;
  return true;
}

/* The three rules.  */

static bool
is_called (const round_model_t *target)
{
  return target->wait.waiting || target->rate >= CALLED_RATE;
}

static gint
compare_calls (gconstpointer a, gconstpointer b)
{
  const round_model_t *left = *(round_model_t *const *)a;
  const round_model_t *right = *(round_model_t *const *)b;
  if (left->wait.waiting != right->wait.waiting)
    return left->wait.waiting ? -1 : 1;
  if (left->wait.priority != right->wait.priority)
    return left->wait.priority < right->wait.priority ? -1 : 1;
  double difference
      = left->wait.tokens + left->rate - right->wait.tokens - right->rate;
  return difference > 0 ? -1 : difference < 0;
}

/* Models that are called and resident nowhere.  */
static void
place_called (round_t *round)
{
  GHashTable *unplaced = round->placement->unplaced;
  GPtrArray *called = g_ptr_array_new ();
  for (guint i = 0; i < round->models->len; i++)
    {
      round_model_t *target = ROUND_MODEL (round, i);
      if (is_called (target) && !target->n_resident && !target->n_loading
          && !target->n_other_versions)
        g_ptr_array_add (called, target);
      else
        g_hash_table_remove (unplaced, target->model->name);
    }
  g_ptr_array_sort (called, compare_calls);
  for (guint i = 0; i < called->len; i++)
    {
      const round_model_t *target = called->pdata[i];
      if (place (round, target, EVICT_FOR_CALL))
        g_hash_table_remove (unplaced, target->model->name);
      else if (g_hash_table_add (unplaced, g_strdup (target->model->name)))
        kwf_effects_log (round->effects, 360, KWF_LOG_WARNING, NULL,
                         "model %s is called and there is no room for it",
                         target->model->name);
    }
  g_ptr_array_free (called, TRUE);
}

static void
remove_old (round_t *round, const round_model_t *target)
{
  const placement_t *placement = round->placement;
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *host = ROUND_SERVER (round, i);
      const GPtrArray *entries = host->server.row->entries;
      for (guint k = 0; !host->busy && k < entries->len; k++)
        {
          const ledger_entry_t *entry = entries->pdata[k];
          if (!round_entry_is_model (entry)
              || strcmp (entry->what.model, target->what.model) != 0
              || ledger_item_equal (&entry->what, &target->what)
              || !ledger_can_unload (placement->ledger, host->server.id,
                                     &entry->what))
            continue;
          begin_unload (round, host, entry);
          return;
        }
    }
}

/* Copies of the listed version take the place of the old ones, one after the
   other.  */
static void
change_versions (round_t *round)
{
  for (guint i = 0; i < round->models->len; i++)
    {
      const round_model_t *target = ROUND_MODEL (round, i);
      int n_new = target->n_resident + target->n_loading;
      if (!target->n_other_versions)
        continue;
      bool first = !n_new && is_called (target);
      bool placed
          = n_new < target->n_other_versions
            && place (round, target, first ? EVICT_FOR_CALL : EVICT_NONE);
      if (!placed && target->n_resident)
        remove_old (round, target);
    }
}

/* More copies of models whose copies have too many requests.  */
static void
add_copies (round_t *round)
{
  double bound = (double)round->placement->options.copy_load;
  for (guint i = 0; i < round->models->len; i++)
    {
      const round_model_t *target = ROUND_MODEL (round, i);
      if (target->n_resident && !target->n_loading && !target->n_other_versions
          && target->copy_load > bound)
        place (round, target, EVICT_FOR_COPY);
    }
}

/* Adapters that are called.  */

static bool
has_adapter (const round_t *round, const ledger_item_t *what)
{
  for (guint i = 0; i < round->servers->len; i++)
    if (ledger_row_find_entry (ROUND_SERVER (round, i)->server.row, what))
      return true;
  return false;
}

static void
load_adapter (round_t *round, const round_model_t *target, const char *adapter)
{
  placement_t *placement = round->placement;
  ledger_item_t what
      = { target->what.model, target->what.version, (char *)adapter };
  if (demand_is_cold (placement->sources.demand, target->model->name, adapter)
      || !load_budget_allows (placement->weights, true)
      || has_adapter (round, &what))
    return;
  round_server_t *best = NULL;
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *host = ROUND_SERVER (round, i);
      if (!host->busy && can_load (host, &what)
          && ledger_row_has_stable_copy (host->server.row, &target->what)
          && (!best || host->free_mb > best->free_mb))
        best = host;
    }
  if (!best)
    return;
  best->busy = true;
  if (ledger_load (placement->ledger, best->server.id, &what, round->effects)
      != LEDGER_BEGUN)
    return;
  load_budget_count_load (placement->weights, true);
  placement->counts.adapter_loads++;
  kwf_effects_log (round->effects, 358, KWF_LOG_INFO, NULL,
                   "load of adapter %s/%s on %s begins", target->model->name,
                   adapter, best->server.id);
}

static void
load_adapters (round_t *round)
{
  for (guint i = 0; i < round->models->len; i++)
    {
      const round_model_t *target = ROUND_MODEL (round, i);
      for (size_t k = 0; target->n_resident && k < target->model->n_adapters;
           k++)
        load_adapter (round, target, target->model->adapters[k]);
    }
}

void
placement_run_round (placement_t *placement, const kwf_lists_t *lists,
                     kwf_effects_t *effects)
{
  round_t round;
  round_begin (&round, placement, lists, effects);
  place_called (&round);
  change_versions (&round);
  add_copies (&round);
  load_adapters (&round);
  round_end (&round);
}
