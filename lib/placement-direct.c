#include "placement-direct.h"

#include <math.h>
#include <string.h>

#include "engine-control.h"
#include "election.h"
#include "fanout.h"
#include "rebalance.h"

/* Period of the rounds, and the least time between two that news ask for.  */
#define ROUND_NS (250 * KWF_NS_PER_MS)
#define ROUND_LEAST_NS (20 * KWF_NS_PER_MS)
/* A round looks at each model on each engine.  Hundreds of instances ask for
   rounds all the time; this much is added to the least time for each pair, so
   that rounds take a small part of the time.  */
#define ROUND_PAIR_NS 1000
/* Steps for models, and orders for adapters, of a round: the first round of a
   large fleet has hundreds, and the holder's links would fail meanwhile.  */
#define STEPS_MOST 6
#define ADAPTERS_MOST 24
/* Reports that a round asks for: hundreds at once would take the processor and
   the descriptors of the holder.  */
#define ASKS_MOST 16
/* Other instances tell the holder their demand this often.  */
#define TELL_NS (500 * KWF_NS_PER_MS)
/* Loads that may begin at once beyond the weight store's rate.  */
#define LOADS_BURST 2.0
/* Part of the weight store's rate that is used, so that no window holds more
   than it allows.  */
#define LOADS_PART 0.95
/* An adapter that came is not taken away sooner than this: the call that it
   came for has not begun.  */
#define ADAPTER_STAY_NS (1 * KWF_NS_PER_S)
/* Copies are moved after the demand once it was watched for this long.  */
#define WATCH_NS (3 * KWF_NS_PER_S)
/* Room that is being made on an engine is kept for its model for this
   long: an unload waits for the requests that use the model.  */
#define PROMISE_NS (10 * KWF_NS_PER_S)
/* A model that is near loads in less than the time from the store divided by
   this.  */
#define NEAR_PART 2
/* Memory that is kept free for each adapter place, beside the models.  */
#define ADAPTER_MB 128
/* Adapters of one model that get another copy for their demand.  */
#define ADAPTER_PART 0.8

struct direct
{
  kwf_placement_options_t options;
  char *instance;
  const kwf_clock_t *clock;
  placement_sources_t sources;
  election_t *duty;
  GHashTable *desks; /* id of a server to engine_control_t */
  double loads;      /* that may begin now */
  int64_t loads_ns;  /* time of LOADS */
  int64_t next_ns;   /* next round */
  int64_t last_ns;   /* last round */
  int64_t least_ns;  /* between two rounds */
  int64_t tell_ns;   /* next time that demand is told */
  int64_t watch_ns;  /* the demand is watched since then; 0: none yet */
  bool held;         /* the duty was held in the last step */
  bool unfinished;   /* the last round was cut short */
  size_t next_model; /* whose adapters are placed next */
  uint64_t n_loads;
  uint64_t n_unloads;
  uint64_t n_adapter_loads;
  uint64_t n_adapter_unloads;
  uint64_t n_refused;
};

placement_direct_t *
placement_direct_new (const kwf_core_options_t *options,
                      const placement_sources_t *sources)
{
  placement_direct_t *direct = g_new0 (placement_direct_t, 1);
  direct->options = options->placement;
  direct->instance = g_strdup (options->instance);
  direct->clock = options->clock;
  direct->sources = *sources;
  direct->duty = election_new (options, "placement");
  direct->desks = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         engine_control_free);
  direct->loads_ns = kwf_now_ns (options->clock);
  return direct;
}

void
placement_direct_free (placement_direct_t *direct)
{
  if (!direct)
    return;
  election_free (direct->duty);
  g_hash_table_unref (direct->desks);
  g_free (direct->instance);
  g_free (direct);
}

/* Desks.  */

static void
take_member (placement_direct_t *direct, const kwf_member_t *member,
             int64_t now_ns)
{
  const server_t *server = backend_find (direct->sources.backend, member->id);
  if (!server || !member->described || member->kind != KWF_MEMBER_ENGINE)
    return;
  engine_control_t *desk = g_hash_table_lookup (direct->desks, member->id);
  if (!desk)
    {
      desk = engine_control_new (server);
      g_hash_table_insert (direct->desks, desk->id, desk);
    }
  bool known = desk->incarnation != 0;
  engine_control_apply_member (desk, member, now_ns);
  /* How many orders a server has accepted before it was first listed here is
     asked for.  */
  if (!known)
    desk->doubtful = true;
}

/* Which engines take orders: none that leaves, and one that asked for a pause
   not before its end.  */
static void
review_desks (const placement_direct_t *direct)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const server_t *server = backend_find (direct->sources.backend, id);
      engine_control_t *desk = value;
      if (!server)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      desk->usable = !server_leaving (server) && !server->refused;
      desk->again_ns = MAX (desk->again_ns, server->notice.pause_until_ns);
    }
}

static void
take_members (placement_direct_t *direct, const kwf_members_event_t *members,
              int64_t now_ns)
{
  for (size_t i = 0; i < members->n_members; i++)
    take_member (direct, &members->members[i], now_ns);
  review_desks (direct);
}

typedef struct
{
  const kwf_residency_t *residency;
  const char *from; /* is not told; "": nobody */
  kwf_effects_t *effects;
} placing_t;

static void
tell_placed (const char *instance, void *data)
{
  const placing_t *placing = data;
  if (strcmp (instance, placing->from) != 0)
    session_send (instance, KWF_MSG_RESIDENCY, placing->effects)->residency
        = *placing->residency;
}

/* Tell all instances, this one too, what SERVER holds now.  */
static void
announce (placement_direct_t *direct, const engine_control_t *desk,
          bool present, kwf_effects_t *effects)
{
  kwf_residency_t residency
      = { .server = kwf_effects_strdup (effects, desk->id),
          .incarnation = desk->incarnation,
          .model = kwf_effects_strdup (effects, desk->model),
          .adapter = kwf_effects_strdup (effects, desk->adapter),
          .present = present };
  placing_t placing = { &residency, "", effects };
  fanout_broadcast_targets (direct->sources.session, tell_placed, &placing);
  backend_handle_residency (direct->sources.backend, &residency);
}

/* One that passes on tells those beside it what the holder told.  */
static void
pass_placed (const placement_direct_t *direct, const kwf_peer_event_t *peer,
             kwf_effects_t *effects)
{
  const kwf_residency_t *told = &peer->message->residency;
  kwf_residency_t residency = *told;
  residency.server = kwf_effects_strdup (effects, told->server);
  residency.model = kwf_effects_strdup (effects, told->model);
  residency.adapter = kwf_effects_strdup (effects, told->adapter);
  placing_t placing = { &residency, peer->instance, effects };
  /* Only what the holder itself tells: views of who passes on may differ, and
     two could pass it to each other for ever.  */
  if (session_is_large (direct->sources.session)
      && g_strcmp0 (peer->instance, election_leader (direct->duty)) == 0
      && fanout_role (direct->sources.session) != FANOUT_LEAF)
    fanout_local_members (direct->sources.session, tell_placed, &placing);
}

static void
ask_round (placement_direct_t *direct, int64_t now_ns)
{
  direct->next_ns = MIN (direct->next_ns,
                         MAX (now_ns, direct->last_ns + direct->least_ns));
}

static void
take_answer (placement_direct_t *direct, const kwf_order_event_t *event,
             int64_t now_ns, kwf_effects_t *effects)
{
  engine_control_t *desk = g_hash_table_lookup (direct->desks, event->server);
  if (!desk || !desk->order_id)
    return;
  const char *verb = desk->kind == ORDER_LOAD ? "load" : "unload";
  bool good = event->status == 200 || event->status == 202;
  direct->n_refused += !good;
  kwf_effects_log (effects, 362, good ? KWF_LOG_INFO : KWF_LOG_WARNING, NULL,
                   "%s of %s%s%s on %s after_orders=%" G_GINT64_FORMAT
                   " status=%d",
                   verb, desk->model, *desk->adapter ? "/" : "", desk->adapter,
                   desk->id, desk->orders, event->status);
  /* Without an unload the model is there as before.  */
  if (!good && desk->kind == ORDER_UNLOAD && !*desk->adapter)
    announce (direct, desk, true, effects);
  switch (engine_control_handle_reply (desk, event, now_ns))
    {
    case ENGINE_CONTROL_ADAPTER_LOAD:
    case ENGINE_CONTROL_MODEL_LOAD:
      announce (direct, desk, true, effects);
      break;
    case ENGINE_CONTROL_STALE_TOKEN:
      election_token_refused (direct->duty, effects);
      break;
    case ENGINE_CONTROL_NONE:
    case ENGINE_CONTROL_ADAPTER_UNLOAD:
    case ENGINE_CONTROL_MODEL_UNLOAD:
      break;
    }
  ask_round (direct, now_ns);
}

/* Models.  */

typedef struct
{
  rebalance_model_t *models;
  rebalance_engine_t *engines;
  GPtrArray *desks;   /* of engine_control_t, one for each engine */
  GHashTable *places; /* name of a model to its place and 1 */
  int n_models;
  int n_engines;
} fleet_t;

static const int8_t states_of[]
    = { [ENGINE_MODEL_RESIDENT] = REBALANCE_RESIDENT,
        [ENGINE_MODEL_LOADING] = REBALANCE_LOADING,
        [ENGINE_MODEL_UNLOADING] = REBALANCE_UNLOADING };

/* Memory of the engine that a model may be loaded into.  */
static int64_t
free_mb_of (const placement_direct_t *direct, const kwf_service_t *service,
            const engine_control_t *desk, int64_t now_ns)
{
  return service->memory_mb
         - engine_control_used_mb (desk, config_lists (direct->sources.config),
                                   now_ns)
         - (int64_t)service->adapter_slots * ADAPTER_MB;
}

/* Place of the model NAME in FLEET; -1: it is not there.  */
static int
model_at (const fleet_t *fleet, const char *name)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (fleet->places, name)) - 1;
}

static void
describe_engine (const placement_direct_t *direct, fleet_t *fleet,
                 const kwf_service_t *service, int at, int64_t now_ns)
{
  const engine_control_t *desk = fleet->desks->pdata[at];
  int8_t *states = g_new0 (int8_t, fleet->n_models + 1);
  int64_t *held_for_ns = g_new0 (int64_t, fleet->n_models + 1);
  bool *near = g_new0 (bool, fleet->n_models + 1);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, desk->models);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const engine_model_t *held = value;
      int i = model_at (fleet, name);
      if (i < 0)
        continue;
      states[i] = states_of[held->state];
      held_for_ns[i] = now_ns - held->since_ns;
    }
  g_hash_table_iter_init (&iter, desk->near);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (model_at (fleet, name) >= 0)
      near[model_at (fleet, name)] = true;
  int promised = desk->promised ? model_at (fleet, desk->promised) : -1;
  if (promised >= 0 && states[promised] == REBALANCE_ABSENT)
    states[promised] = REBALANCE_LOADING;
  fleet->engines[at] = (rebalance_engine_t){
    .free = engine_control_is_ready (desk, now_ns) && !desk->promised,
    .free_mb = free_mb_of (direct, service, desk, now_ns),
    .states = states,
    .held_for_ns = held_for_ns,
    .near = near,
  };
}

/* Time since MODEL was last asked for, or since the demand is watched.  */
static int64_t
idle_ns (const placement_direct_t *direct, const char *model, int64_t now_ns)
{
  int64_t last_ns = demand_last_request_ns (direct->sources.demand, model);
  return direct->watch_ns ? now_ns - MAX (last_ns, direct->watch_ns) : 0;
}

static void
fleet_begin (const placement_direct_t *direct, const kwf_service_t *service,
             fleet_t *fleet, int64_t now_ns)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  const demand_t *demand = direct->sources.demand;
  size_t n = kwf_lists_n_models (lists);
  *fleet = (fleet_t){ .models = g_new0 (rebalance_model_t, n + 1),
                      .desks = g_ptr_array_new (),
                      .places = g_hash_table_new (g_str_hash, g_str_equal) };
  for (size_t i = 0; i < n; i++)
    {
      const kwf_model_t *model = kwf_lists_model_at (lists, i);
      if (g_strcmp0 (model->service, service->name) != 0)
        continue;
      g_hash_table_insert (fleet->places, (gpointer)model->name,
                           GINT_TO_POINTER (fleet->n_models + 1));
      demand_wait_t wait = demand_waiting (demand, model->name, NULL);
      fleet->models[fleet->n_models++] = (rebalance_model_t){
        .name = model->name,
        .mb = model->memory_mb,
        .rate = demand_rate (demand, model->name, NULL),
        .waiting = wait.waiting,
        .priority = wait.priority,
        .idle_ns = idle_ns (direct, model->name, now_ns)
      };
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((engine_control_t *)value)->usable
        && strcmp (((engine_control_t *)value)->service, service->name) == 0)
      g_ptr_array_add (fleet->desks, value);
  fleet->n_engines = (int)fleet->desks->len;
  fleet->engines = g_new0 (rebalance_engine_t, fleet->n_engines + 1);
  for (int i = 0; i < fleet->n_engines; i++)
    describe_engine (direct, fleet, service, i, now_ns);
}

static void
fleet_end (fleet_t *fleet)
{
  for (int i = 0; i < fleet->n_engines; i++)
    {
      g_free ((void *)fleet->engines[i].states);
      g_free ((void *)fleet->engines[i].held_for_ns);
      g_free ((void *)fleet->engines[i].near);
    }
  g_free (fleet->engines);
  g_free (fleet->models);
  g_ptr_array_free (fleet->desks, TRUE);
  g_hash_table_unref (fleet->places);
}

static void
fill_loads (placement_direct_t *direct, const kwf_service_t *service,
            int64_t now_ns)
{
  double passed_s = (double)(now_ns - direct->loads_ns) / (double)KWF_NS_PER_S;
  double rate = service->loads_per_s * LOADS_PART;
  direct->loads_ns = now_ns;
  direct->loads = MIN (direct->loads + passed_s * rate, 1 + LOADS_BURST);
}

/* Stop sending to what goes, here and elsewhere, before it is ordered.  */
static void
begin_unload (placement_direct_t *direct, engine_control_t *desk,
              const char *model, const char *adapter,
              const engine_control_context_t *context)
{
  kwf_effects_t *effects = context->effects;
  g_free (desk->model);
  g_free (desk->adapter);
  desk->model = g_strdup (model);
  desk->adapter = g_strdup (adapter);
  announce (direct, desk, false, effects);
  *(*adapter ? &direct->n_adapter_unloads : &direct->n_unloads) += 1;
  char *name = g_strdup (model);
  char *part = g_strdup (adapter);
  engine_control_send_order (desk, ORDER_UNLOAD, name, part, context);
  g_free (name);
  g_free (part);
}

static void
order_load (placement_direct_t *direct, engine_control_t *desk,
            const char *name, const engine_control_context_t *context)
{
  const kwf_model_t *model
      = kwf_lists_model (config_lists (direct->sources.config), name);
  engine_control_context_t timed = *context;
  bool near = engine_control_has_local_weights (desk, name);
  timed.expected_ns = model ? model->load_ns / (near ? NEAR_PART : 1) : 0;
  direct->loads -= near ? 0 : 1;
  direct->n_loads++;
  engine_control_send_order (desk, ORDER_LOAD, name, "", &timed);
}

/* What decided STEP: the demand for the model, and what DESK holds.  */
static void
log_step (const fleet_t *fleet, const rebalance_step_t *step,
          const engine_control_t *desk, kwf_effects_t *effects)
{
  GString *held = g_string_new (NULL);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, desk->models);
  while (g_hash_table_iter_next (&iter, &name, &value))
    g_string_append_printf (held, "%s%s:%d", held->len ? "," : "",
                            (const char *)name,
                            (int)((engine_model_t *)value)->state);
  const rebalance_model_t *model = &fleet->models[step->model];
  char *text = g_strdup_printf (
      "model %s on %s begins: for=%s rate=%.0f waiting=%d free_mb"
      "=%" G_GINT64_FORMAT " holds=%s",
      model->name, desk->id, fleet->models[step->for_model].name, model->rate,
      model->waiting, fleet->engines[step->engine].free_mb, held->str);
  if (step->load)
    kwf_effects_log (effects, 358, KWF_LOG_INFO, NULL, "load of %s", text);
  else
    kwf_effects_log (effects, 359, KWF_LOG_INFO, NULL, "unload of %s", text);
  g_free (text);
  g_string_free (held, TRUE);
}

/* Load what room was made for; where that does not come about, the engine is
   free for another plan.  */
static void
keep_promise (placement_direct_t *direct, const kwf_service_t *service,
              engine_control_t *desk, const engine_control_context_t *context)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  const kwf_model_t *model
      = desk->promised ? kwf_lists_model (lists, desk->promised) : NULL;
  bool late = context->now_ns - desk->promised_ns > PROMISE_NS;
  if (!desk->promised)
    return;
  if (!model || late || !desk->usable
      || engine_control_find_model (desk, desk->promised))
    {
      g_clear_pointer (&desk->promised, g_free);
      return;
    }
  bool may_load = direct->loads >= 1
                  || engine_control_has_local_weights (desk, desk->promised);
  if (!engine_control_is_ready (desk, context->now_ns) || !may_load)
    return;
  /* More than one model has to go: the next one is found anew.  */
  if (free_mb_of (direct, service, desk, context->now_ns) >= model->memory_mb)
    order_load (direct, desk, model->name, context);
  g_clear_pointer (&desk->promised, g_free);
}

/* Loads from the store that may begin beside those that room is being made
   for.  */
static double
spare_loads (const placement_direct_t *direct)
{
  double loads = direct->loads;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_control_t *desk = value;
      loads -= desk->promised
               && !engine_control_has_local_weights (desk, desk->promised);
    }
  return loads;
}

static void
place_models (placement_direct_t *direct, const kwf_service_t *service,
              const engine_control_context_t *context)
{
  fill_loads (direct, service, context->now_ns);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((engine_control_t *)value)->service, service->name) == 0)
      keep_promise (direct, service, value, context);
  for (int steps = 0; steps < STEPS_MOST; steps++)
    {
      fleet_t fleet;
      fleet_begin (direct, service, &fleet, context->now_ns);
      rebalance_step_t step = rebalance_next (
          fleet.models, fleet.n_models, fleet.engines, fleet.n_engines,
          spare_loads (direct) >= 1,
          direct->watch_ns && context->now_ns - direct->watch_ns > WATCH_NS);
      if (step.engine >= 0)
        {
          engine_control_t *desk = fleet.desks->pdata[step.engine];
          const char *model = fleet.models[step.model].name;
          log_step (&fleet, &step, desk, context->effects);
          if (step.load)
            order_load (direct, desk, model, context);
          else
            {
              engine_control_set_evicting_for (
                  desk, fleet.models[step.for_model].name, context->now_ns);
              begin_unload (direct, desk, model, "", context);
            }
        }
      fleet_end (&fleet);
      if (step.engine < 0)
        return;
    }
  direct->unfinished = true;
}

/* Adapters.  */

typedef struct
{
  const kwf_model_t *model;
  const char *adapter;
  int copies;
  double rate;
} adapter_t;

/* Copies that the demand for an adapter asks for: its part of the model's
   demand of the copies of the model.  */
static int
copies_wanted (const placement_direct_t *direct, const adapter_t *adapter,
               int holders)
{
  const demand_t *demand = direct->sources.demand;
  double whole = demand_rate (demand, adapter->model->name, NULL);
  if (demand_waiting (demand, adapter->model->name, adapter->adapter).waiting)
    return MAX (1, adapter->copies);
  if (adapter->rate <= 0 || whole <= 0)
    return 0;
  double part = adapter->rate / whole * holders * ADAPTER_PART;
  return CLAMP ((int)ceil (part), 1, holders);
}

/* The adapter of DESK with the least demand for each of its copies, less than
   BOUND; false: none.  */
static bool
find_idle_adapter (const placement_direct_t *direct,
                   const engine_control_t *desk, double bound, int64_t now_ns,
                   const char **model, const char **adapter)
{
  const demand_t *demand = direct->sources.demand;
  GHashTableIter models;
  gpointer name;
  gpointer value;
  bool found = false;
  g_hash_table_iter_init (&models, desk->models);
  while (g_hash_table_iter_next (&models, &name, &value))
    {
      GHashTableIter adapters;
      gpointer part;
      g_hash_table_iter_init (&adapters, ((engine_model_t *)value)->adapters);
      gpointer since_ns;
      while (g_hash_table_iter_next (&adapters, &part, &since_ns))
        {
          double rate = demand_rate (demand, name, part);
          if (rate >= bound || now_ns - *(int64_t *)since_ns < ADAPTER_STAY_NS)
            continue;
          found = true;
          bound = rate;
          *model = name;
          *adapter = part;
        }
    }
  return found;
}

/* The least busy engine that holds the model and not the adapter.  */
static engine_control_t *
find_desk (const placement_direct_t *direct, const adapter_t *adapter,
           int64_t now_ns)
{
  engine_control_t *best = NULL;
  double best_load = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      engine_control_t *desk = value;
      const engine_model_t *held
          = engine_control_find_model (desk, adapter->model->name);
      const server_t *server
          = backend_find (direct->sources.backend, desk->id);
      if (!held || held->state != ENGINE_MODEL_RESIDENT || !server
          || !engine_control_is_ready (desk, now_ns)
          || g_hash_table_contains (held->adapters, adapter->adapter))
        continue;
      double load = server_load (server) + engine_control_n_adapters (desk);
      if (best && load >= best_load)
        continue;
      best = desk;
      best_load = load;
    }
  return best;
}

/* Return whether an order was given.  */
static bool
place_adapter (placement_direct_t *direct, const kwf_service_t *service,
               const adapter_t *adapter,
               const engine_control_context_t *context)
{
  engine_control_t *desk = find_desk (direct, adapter, context->now_ns);
  if (!desk)
    return false;
  if (engine_control_n_adapters (desk) < service->adapter_slots)
    {
      direct->n_adapter_loads++;
      engine_control_send_order (desk, ORDER_LOAD, adapter->model->name,
                                 adapter->adapter, context);
      return true;
    }
  const char *model;
  const char *idle;
  double bound
      = adapter->copies ? adapter->rate / (adapter->copies + 1) : G_MAXDOUBLE;
  if (!find_idle_adapter (direct, desk, bound, context->now_ns, &model, &idle))
    return false;
  begin_unload (direct, desk, model, idle, context);
  return true;
}

static void
add_copy (GHashTable *copies, const char *model, engine_model_t *held)
{
  GPtrArray *list = g_hash_table_lookup (copies, model);
  if (!list)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (copies, (gpointer)model, list);
    }
  g_ptr_array_add (list, held);
}

/* Copies on engines that are not leaving: name of a model to a GPtrArray of
   engine_model_t.  */
static GHashTable *
find_copies (const placement_direct_t *direct)
{
  GHashTable *copies = g_hash_table_new_full (
      g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
  GHashTableIter iter;
  gpointer desk;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, NULL, &desk))
    {
      GHashTableIter models;
      gpointer name;
      gpointer held;
      g_hash_table_iter_init (&models, ((engine_control_t *)desk)->models);
      while (((engine_control_t *)desk)->usable
             && g_hash_table_iter_next (&models, &name, &held))
        if (((engine_model_t *)held)->state == ENGINE_MODEL_RESIDENT)
          add_copy (copies, name, held);
    }
  return copies;
}

/* Return how many orders were given.  */
static int
place_adapters_of (placement_direct_t *direct, const kwf_service_t *service,
                   const kwf_model_t *model, const GPtrArray *holders,
                   const engine_control_context_t *context)
{
  int orders = 0;
  for (size_t i = 0; i < model->n_adapters; i++)
    {
      adapter_t adapter
          = { .model = model,
              .adapter = model->adapters[i],
              .rate = demand_rate (direct->sources.demand, model->name,
                                   model->adapters[i]) };
      for (guint k = 0; k < holders->len; k++)
        adapter.copies += g_hash_table_contains (
            ((engine_model_t *)holders->pdata[k])->adapters, adapter.adapter);
      if (adapter.copies < copies_wanted (direct, &adapter, (int)holders->len))
        orders += place_adapter (direct, service, &adapter, context);
    }
  return orders;
}

static void
place_adapters (placement_direct_t *direct, const kwf_service_t *service,
                const engine_control_context_t *context)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  GHashTable *copies = find_copies (direct);
  size_t n = kwf_lists_n_models (lists);
  int orders = 0;
  /* The next round goes on where this one ends.  */
  size_t first = n ? direct->next_model % n : 0;
  for (size_t i = 0; i < n && orders < ADAPTERS_MOST; i++)
    {
      direct->next_model = (first + i + 1) % n;
      const kwf_model_t *model = kwf_lists_model_at (lists, (first + i) % n);
      const GPtrArray *holders = g_hash_table_lookup (copies, model->name);
      if (holders && model->n_adapters
          && g_strcmp0 (model->service, service->name) == 0)
        orders += place_adapters_of (direct, service, model, holders, context);
    }
  direct->unfinished |= orders >= ADAPTERS_MOST;
  g_hash_table_unref (copies);
}

/* Rounds.  */

/* When the right to give orders ends; 0: it has no end.  */
static int64_t
order_end_ns (const placement_direct_t *direct)
{
  int64_t until_ns = election_lease_end_ns (direct->duty);
  return until_ns == INT64_MAX ? 0 : until_ns;
}

static void
run_round (placement_direct_t *direct, int64_t now_ns, kwf_effects_t *effects)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  engine_control_context_t context = { .now_ns = now_ns,
                                       .token = election_token (direct->duty),
                                       .holder = direct->instance,
                                       .until_ns = order_end_ns (direct),
                                       .effects = effects };
  direct->unfinished = false;
  if (!lists || !context.token)
    return;
  direct->least_ns = ROUND_LEAST_NS
                     + (int64_t)g_hash_table_size (direct->desks)
                           * (int64_t)kwf_lists_n_models (lists)
                           * ROUND_PAIR_NS;
  if (!direct->watch_ns && demand_any (direct->sources.demand))
    direct->watch_ns = now_ns;
  GHashTableIter iter;
  gpointer value;
  review_desks (direct);
  g_hash_table_iter_init (&iter, direct->desks);
  int asks = 0;
  while (g_hash_table_iter_next (&iter, NULL, &value) && asks < ASKS_MOST)
    asks += engine_control_request_report (value, &context);
  for (size_t i = 0; i < kwf_lists_n_services (lists); i++)
    {
      const kwf_service_t *service = kwf_lists_service_at (lists, i);
      if (!service->engine)
        continue;
      place_adapters (direct, service, &context);
      place_models (direct, service, &context);
    }
}

static void
take_message (placement_direct_t *direct, const kwf_peer_event_t *peer,
              int64_t now_ns, kwf_effects_t *effects)
{
  if (peer->message->type == KWF_MSG_DEMAND)
    {
      demand_apply_row (direct->sources.demand, peer->instance,
                        peer->message->demand_text);
      ask_round (direct, now_ns);
    }
  else if (peer->message->type == KWF_MSG_SERVER_LEAVING)
    ask_round (direct, now_ns);
  else if (peer->message->type == KWF_MSG_RESIDENCY)
    {
      backend_handle_residency (direct->sources.backend,
                                &peer->message->residency);
      pass_placed (direct, peer, effects);
    }
}

/* The holder is told of the demand here.  */
static void
tell_demand (placement_direct_t *direct, kwf_effects_t *effects)
{
  const char *holder = election_leader (direct->duty);
  if (!holder || strcmp (holder, direct->instance) == 0)
    return;
  char *text = demand_to_json (direct->sources.demand);
  const char *copy = kwf_effects_strdup (effects, text);
  session_send (holder, KWF_MSG_DEMAND, effects)->demand_text = copy;
  g_free (text);
}

/* A new holder does not know what was begun before, nor how many orders the
   engines have accepted.  */
static void
begin_duty (placement_direct_t *direct)
{
  GHashTableIter iter;
  gpointer value;
  direct->loads = 0;
  direct->watch_ns = 0;
  g_hash_table_iter_init (&iter, direct->desks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((engine_control_t *)value)->doubtful = true;
}

void
placement_direct_step (placement_direct_t *direct, const kwf_event_t *event,
                       const session_changes_t *news, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (direct->clock);
  election_step (direct->duty, direct->sources.session, event, news, effects);
  bool held = election_token (direct->duty) != 0;
  if (held && !direct->held)
    begin_duty (direct);
  direct->held = held;
  if (event->type == KWF_EV_MEMBERS)
    {
      take_members (direct, &event->members, now_ns);
      ask_round (direct, now_ns);
    }
  else if (event->type == KWF_EV_NOTICE && event->notice.leaving)
    ask_round (direct, now_ns);
  else if (event->type == KWF_EV_ORDER_REPLY)
    take_answer (direct, &event->order, now_ns, effects);
  else if (event->type == KWF_EV_PEER_MESSAGE)
    take_message (direct, &event->peer, now_ns, effects);
  else if (event->type == KWF_EV_REPORT)
    {
      engine_control_t *desk
          = g_hash_table_lookup (direct->desks, event->report.server);
      if (desk)
        engine_control_apply_report (desk, &event->report, now_ns);
    }
  if (now_ns >= direct->tell_ns)
    {
      direct->tell_ns = now_ns + TELL_NS;
      tell_demand (direct, effects);
    }
  if (now_ns < direct->next_ns)
    return;
  direct->last_ns = now_ns;
  run_round (direct, now_ns, effects);
  direct->next_ns = now_ns
                    + (direct->unfinished ? direct->least_ns
                                          : MAX (ROUND_NS, direct->least_ns));
}

void
placement_direct_send_demand (placement_direct_t *direct,
                              kwf_effects_t *effects)
{
  if (!demand_consume_new_waiting (direct->sources.demand))
    return;
  ask_round (direct, kwf_now_ns (direct->clock));
  tell_demand (direct, effects);
}

void
placement_direct_resign (placement_direct_t *direct, kwf_effects_t *effects)
{
  election_resign (direct->duty, effects);
}

int64_t
placement_direct_deadline_ns (const placement_direct_t *direct)
{
  int64_t deadline
      = MIN (direct->tell_ns, election_deadline_ns (direct->duty));
  return MIN (deadline, direct->next_ns);
}

void
placement_direct_write_metrics (const placement_direct_t *direct, GString *out)
{
  g_string_append_printf (
      out,
      "# TYPE kwf_orders_total counter\n"
      "kwf_orders_total{kind=\"load\"} %" G_GUINT64_FORMAT "\n"
      "kwf_orders_total{kind=\"unload\"} %" G_GUINT64_FORMAT "\n"
      "kwf_orders_total{kind=\"adapter_load\"} %" G_GUINT64_FORMAT "\n"
      "kwf_orders_total{kind=\"adapter_unload\"} %" G_GUINT64_FORMAT "\n"
      "# TYPE kwf_orders_refused_total counter\n"
      "kwf_orders_refused_total %" G_GUINT64_FORMAT "\n",
      direct->n_loads, direct->n_unloads, direct->n_adapter_loads,
      direct->n_adapter_unloads, direct->n_refused);
}
