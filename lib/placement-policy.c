/* The placement policy: decides which loads and unloads to start in a
   round.  */

#include <math.h>
#include <string.h>

#include "placement-round.h"

/* Minimum rate in tokens per second at which a model without waiting requests
   counts as requested.  */
#define REQUESTED_RATE 1.0
/* A further copy must gain GAIN_FACTOR times what its load costs, over a
   period of GAIN_S (hysteresis).  */
#define GAIN_S 30.0
#define GAIN_FACTOR 1.5
/* The servers that have the model must be this many times as busy as the
   server that is to load a further copy.  */
#define BUSY_FACTOR 2.0
/* A copy of a model with demand isn't evicted sooner than this after it became
   resident (hysteresis).  */
#define MIN_STAY_NS (30 * KWF_NS_PER_S)
/* An eviction plan is given up after this time.  */
#define PLAN_MAX_NS (10 * KWF_NS_PER_S)

/* Which copies may be evicted to make room for a model.  */
typedef enum
{
  EVICT_NONE,
  EVICT_FOR_COPY,    /* for a further copy of a model: only copies with little
                        load, and models without demand */
  EVICT_FOR_REQUESTS /* for a model without a copy: any copy, except the last
                        one of a model with demand */
} evict_t;

/* Loads.  */

static bool
can_load (const round_server_t *server, const ledger_item_t *item)
{
  const ledger_row_t *row = server->info.row;
  return !ledger_row_find_entry (row, item)
         && (server->info.fencing
             || !ledger_row_has_order (row, ORDER_UNLOAD, item));
}

static void
start_load (round_t *round, round_server_t *server,
            const round_model_t *target)
{
  placement_t *placement = round->placement;
  server->busy = true;
  server->free_mb -= target->mb;
  if (ledger_load (placement->ledger, server->info.id, &target->item,
                   round->effects)
      != LEDGER_BEGUN)
    return;
  load_budget_count_load (placement->load_budget, false);
  placement->counts.loads++;
  placement->counts.further_loads
      += target->n_resident + target->n_other_versions > 0;
  g_hash_table_remove (placement->eviction_plans, target->model->name);
  kwf_effects_log (round->effects, 358, KWF_LOG_INFO, NULL,
                   "load of model %s version %s on %s begins",
                   target->model->name, target->item.version, server->info.id);
}

static void
start_unload (round_t *round, round_server_t *server,
              const ledger_entry_t *entry)
{
  placement_t *placement = round->placement;
  server->busy = true;
  if (ledger_unload (placement->ledger, server->info.id, &entry->item,
                     round->effects)
      != LEDGER_BEGUN)
    return;
  placement->counts.unloads++;
  kwf_effects_log (round->effects, 359, KWF_LOG_INFO, NULL,
                   "unload of model %s version %s on %s begins",
                   entry->item.model, entry->item.version, server->info.id);
}

/* Memory in MB that will soon be free: entries with an unload order that isn't
   recorded as unanswered.  */
static int64_t
unloading_mb (const round_server_t *server)
{
  int64_t mb = 0;
  const ledger_row_t *row = server->info.row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      if (entry->state != LEDGER_ENTRY_UNLOADING)
        continue;
      for (guint k = 0; k < row->orders->len; k++)
        {
          const ledger_order_t *order = row->orders->pdata[k];
          if (!order->unanswered && order->kind == ORDER_UNLOAD
              && ledger_item_equal (&order->item, &entry->item))
            {
              mb += entry->mb;
              break;
            }
        }
    }
  return mb;
}

static bool
has_other_version (const round_server_t *server, const round_model_t *target)
{
  const ledger_row_t *row = server->info.row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      if (round_entry_is_model (entry)
          && strcmp (entry->item.model, target->item.model) == 0
          && !ledger_item_equal (&entry->item, &target->item))
        return true;
    }
  return false;
}

/* Mean number of requests, for any model, on the servers that have a resident
   copy of the model TARGET without an order to unload it.  */
static double
mean_server_requests (const round_t *round, const round_model_t *target)
{
  double sum = 0;
  int n = 0;
  for (guint i = 0; i < round->servers->len; i++)
    {
      const round_server_t *server = ROUND_SERVER (round, i);
      if (!ledger_row_has_stable_copy (server->info.row, &target->item))
        continue;
      sum += server->requests;
      n++;
    }
  return n ? sum / n : 0;
}

/* Whether a further copy of TARGET on SERVER is worth its load.  Each model in
   a batch slows down the others, so a copy on a server as busy as those that
   already have the model would serve nobody better.  */
static bool
is_worth_load (const round_t *round, const round_server_t *server,
               const round_model_t *target)
{
  const kwf_placement_options_t *options = &round->placement->options;
  if (options->no_hysteresis)
    return true;
  double load_s = (double)options->load_ns / (double)KWF_NS_PER_S;
  double excess_part
      = (target->copy_load - (double)options->max_requests_per_copy)
        / target->copy_load;
  double gain = target->rate * excess_part * fmax (0, GAIN_S - load_s);
  return gain > GAIN_FACTOR * load_s * server->rate
         && server->requests * BUSY_FACTOR
                < mean_server_requests (round, target);
}

/* Find a server with enough free memory.  Prefers one that isn't busy, then
   one that has another version of the model, then the one with most free
   memory; for a further copy (EVICT_FOR_COPY) the one with the fewest requests
   among those where it is worth its load.  */
static round_server_t *
find_room (const round_t *round, const round_model_t *target, evict_t evict)
{
  bool for_copy = evict == EVICT_FOR_COPY;
  round_server_t *best = NULL;
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *server = ROUND_SERVER (round, i);
      if (!can_load (server, &target->item) || server->free_mb < target->mb
          || (for_copy && !is_worth_load (round, server, target)))
        continue;
      bool has_other = has_other_version (server, target);
      bool best_has_other = best && has_other_version (best, target);
      if (!best || (best->busy && !server->busy)
          || (best->busy == server->busy
              && (has_other != best_has_other ? has_other
                  : for_copy ? server->requests < best->requests
                             : server->free_mb > best->free_mb)))
        best = server;
    }
  return best;
}

/* Find a server where unloads in progress will free enough memory.  */
static round_server_t *
find_unloading (const round_t *round, const round_model_t *target)
{
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *server = ROUND_SERVER (round, i);
      int64_t unloading = unloading_mb (server);
      if (unloading && can_load (server, &target->item)
          && server->free_mb + unloading >= target->mb)
        return server;
    }
  return NULL;
}

/* Evictions.  */

/* Tokens per second that ENTRY serves, which is the cost of its eviction;
   INFINITY: it must stay.  */
static double
eviction_cost (const round_t *round, const round_server_t *server,
               const ledger_entry_t *entry, const round_model_t *target,
               evict_t evict)
{
  const placement_t *placement = round->placement;
  const demand_t *demand = placement->sources.demand;
  /* Adapters have no memory of their own and are unloaded with their
     model.  */
  if (entry->state != LEDGER_ENTRY_RESIDENT || !round_entry_is_model (entry))
    return INFINITY;
  /* One of several copies of other versions makes room for the listed
     version.  */
  if (strcmp (entry->item.model, target->item.model) == 0)
    return target->n_other_versions > 1
                   && ledger_can_unload (placement->ledger, server->info.id,
                                         &entry->item)
               ? 0
               : INFINITY;
  const round_model_t *other
      = g_hash_table_lookup (round->by_name, entry->item.model);
  bool cold = !other || demand_is_cold (demand, entry->item.model, NULL);
  if (!cold
      && ((!placement->options.no_hysteresis
           && round->now_ns - entry->first_seen_ns < MIN_STAY_NS)
          || (evict == EVICT_FOR_COPY
              && other->copy_load
                     > (double)placement->options.max_requests_per_copy / 2)))
    return INFINITY;
  if (!ledger_can_unload (placement->ledger, server->info.id, &entry->item))
    return INFINITY;
  return cold ? 0 : other->rate / MAX (1, other->n_resident);
}

/* Least cost of the evictions on SERVER that make room for TARGET, and *FIRST,
   the entry to evict first; INFINITY: there is no way.  */
static double
room_cost (const round_t *round, const round_server_t *server,
           const round_model_t *target, evict_t evict,
           const ledger_entry_t **first)
{
  const GPtrArray *entries = server->info.row->entries;
  int64_t free_mb = server->free_mb + unloading_mb (server);
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
          double value
              = taken[i] ? INFINITY
                         : eviction_cost (round, server, entry, target, evict);
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
find_server (const round_t *round, const char *id)
{
  for (guint i = 0; i < round->servers->len; i++)
    if (strcmp (ROUND_SERVER (round, i)->info.id, id) == 0)
      return ROUND_SERVER (round, i);
  return NULL;
}

/* Continue with the eviction plan for TARGET; false: there is none that can be
   continued.  */
static bool
continue_plan (round_t *round, const round_model_t *target, evict_t evict)
{
  placement_t *placement = round->placement;
  const eviction_plan_t *plan
      = g_hash_table_lookup (placement->eviction_plans, target->model->name);
  if (!plan)
    return false;
  round_server_t *server = find_server (round, plan->server_id);
  const ledger_entry_t *first;
  if (server && round->now_ns - plan->since_ns < PLAN_MAX_NS
      && can_load (server, &target->item)
      && !isinf (room_cost (round, server, target, evict, &first)))
    {
      if (!server->busy && server->free_mb >= target->mb)
        start_load (round, server, target);
      else
        {
          if (!server->busy && first)
            start_unload (round, server, first);
          server->free_mb -= target->mb;
        }
      return true;
    }
  g_hash_table_remove (placement->eviction_plans, target->model->name);
  return false;
}

/* Load TARGET on some server; true: it is being loaded, or room is being made
   for it, or the load budget is used up.  */
static bool
place (round_t *round, const round_model_t *target, evict_t evict)
{
  placement_t *placement = round->placement;
  if (!load_budget_allows (placement->load_budget, false)
      || continue_plan (round, target, evict))
    return true;
  round_server_t *server = find_room (round, target, evict);
  if (server)
    {
      if (!server->busy)
        start_load (round, server, target);
      else
        server->free_mb -= target->mb;
      return true;
    }
  server = find_unloading (round, target);
  if (server)
    {
      server->free_mb -= target->mb;
      return true;
    }
  const ledger_entry_t *victim = NULL;
  double least = INFINITY;
  for (guint i = 0; evict != EVICT_NONE && i < round->servers->len; i++)
    {
      const ledger_entry_t *first;
      round_server_t *other = ROUND_SERVER (round, i);
      if (other->busy || !can_load (other, &target->item)
          || (evict == EVICT_FOR_COPY
              && !is_worth_load (round, other, target)))
        continue;
      double cost = room_cost (round, other, target, evict, &first);
      if (cost >= least || !first)
        continue;
      least = cost;
      server = other;
      victim = first;
    }
  if (!victim)
    return false;
  eviction_plan_t *plan = g_new0 (eviction_plan_t, 1);
  plan->server_id = g_strdup (server->info.id);
  plan->since_ns = round->now_ns;
  g_hash_table_replace (placement->eviction_plans,
                        g_strdup (target->model->name), plan);
  start_unload (round, server, victim);
  server->free_mb -= target->mb;
  return true;
}

/* The rules of a round.  */

static bool
is_requested (const round_model_t *target)
{
  return target->wait.waiting || target->rate >= REQUESTED_RATE;
}

static gint
compare_requested (gconstpointer a, gconstpointer b)
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

/* Load models that are requested and resident nowhere.  */
static void
place_requested (round_t *round)
{
  GHashTable *unplaced = round->placement->unplaced;
  GPtrArray *requested = g_ptr_array_new ();
  for (guint i = 0; i < round->models->len; i++)
    {
      round_model_t *target = ROUND_MODEL (round, i);
      if (is_requested (target) && !target->n_resident && !target->n_loading
          && !target->n_other_versions)
        g_ptr_array_add (requested, target);
      else
        g_hash_table_remove (unplaced, target->model->name);
    }
  g_ptr_array_sort (requested, compare_requested);
  for (guint i = 0; i < requested->len; i++)
    {
      const round_model_t *target = requested->pdata[i];
      if (place (round, target, EVICT_FOR_REQUESTS))
        g_hash_table_remove (unplaced, target->model->name);
      else if (g_hash_table_add (unplaced, g_strdup (target->model->name)))
        kwf_effects_log (round->effects, 360, KWF_LOG_WARNING, NULL,
                         "there is no room for model %s, which is requested",
                         target->model->name);
    }
  g_ptr_array_free (requested, TRUE);
}

static void
unload_other_version (round_t *round, const round_model_t *target)
{
  const placement_t *placement = round->placement;
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *server = ROUND_SERVER (round, i);
      const GPtrArray *entries = server->info.row->entries;
      for (guint k = 0; !server->busy && k < entries->len; k++)
        {
          const ledger_entry_t *entry = entries->pdata[k];
          if (!round_entry_is_model (entry)
              || strcmp (entry->item.model, target->item.model) != 0
              || ledger_item_equal (&entry->item, &target->item)
              || !ledger_can_unload (placement->ledger, server->info.id,
                                     &entry->item))
            continue;
          start_unload (round, server, entry);
          return;
        }
    }
}

/* Replace the copies of other versions by copies of the listed version, one at
   a time.  */
static void
replace_versions (round_t *round)
{
  for (guint i = 0; i < round->models->len; i++)
    {
      const round_model_t *target = ROUND_MODEL (round, i);
      int n_new = target->n_resident + target->n_loading;
      if (!target->n_other_versions)
        continue;
      bool first = !n_new && is_requested (target);
      bool placed
          = n_new < target->n_other_versions
            && place (round, target, first ? EVICT_FOR_REQUESTS : EVICT_NONE);
      if (!placed && target->n_resident)
        unload_other_version (round, target);
    }
}

/* Load further copies of models whose copies have too many requests.  */
static void
add_copies (round_t *round)
{
  double bound = (double)round->placement->options.max_requests_per_copy;
  for (guint i = 0; i < round->models->len; i++)
    {
      const round_model_t *target = ROUND_MODEL (round, i);
      if (target->n_resident && !target->n_loading && !target->n_other_versions
          && target->copy_load > bound)
        place (round, target, EVICT_FOR_COPY);
    }
}

/* Adapters that are requested.  */

static bool
has_adapter (const round_t *round, const ledger_item_t *item)
{
  for (guint i = 0; i < round->servers->len; i++)
    if (ledger_row_find_entry (ROUND_SERVER (round, i)->info.row, item))
      return true;
  return false;
}

static void
load_adapter (round_t *round, const round_model_t *target, const char *adapter)
{
  placement_t *placement = round->placement;
  ledger_item_t item
      = { target->item.model, target->item.version, (char *)adapter };
  if (demand_is_cold (placement->sources.demand, target->model->name, adapter)
      || !load_budget_allows (placement->load_budget, true)
      || has_adapter (round, &item))
    return;
  round_server_t *best = NULL;
  for (guint i = 0; i < round->servers->len; i++)
    {
      round_server_t *server = ROUND_SERVER (round, i);
      if (!server->busy && can_load (server, &item)
          && ledger_row_has_stable_copy (server->info.row, &target->item)
          && (!best || server->free_mb > best->free_mb))
        best = server;
    }
  if (!best)
    return;
  best->busy = true;
  if (ledger_load (placement->ledger, best->info.id, &item, round->effects)
      != LEDGER_BEGUN)
    return;
  load_budget_count_load (placement->load_budget, true);
  placement->counts.adapter_loads++;
  kwf_effects_log (round->effects, 358, KWF_LOG_INFO, NULL,
                   "load of adapter %s/%s on %s begins", target->model->name,
                   adapter, best->info.id);
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
  place_requested (&round);
  replace_versions (&round);
  add_copies (&round);
  load_adapters (&round);
  round_end (&round);
}
