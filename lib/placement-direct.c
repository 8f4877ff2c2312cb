#include "placement-direct.h"

#include <math.h>
#include <string.h>

#include "engine-control.h"
#include "election.h"
#include "fanout.h"
#include "balance/capacity.h"
#include "placement-copies.h"
#include "rebalance.h"

/* Period of the placement rounds, and the least time between two rounds that
   were requested by events.  */
#define ROUND_NS (250 * KWF_NS_PER_MS)
#define ROUND_MIN_NS (20 * KWF_NS_PER_MS)
/* A round looks at each model on each engine, and in a large fleet hundreds of
   instances request rounds all the time.  This time for each pair of model and
   engine is added to ROUND_MIN_NS, so that rounds use a small part of the
   processor time.  */
#define ROUND_PAIR_NS 1000
/* Limits of a round: steps for models, and orders for adapters.  The first
   round of a large fleet has hundreds; while the leader worked through them
   its links to other instances would time out.  */
#define MAX_STEPS 6
#define MAX_ADAPTER_ORDERS 24
/* Maximum number of load reports that a round requests.  Hundreds at once
   would use up the leader's processor time and file descriptors.  */
#define MAX_REPORT_REQUESTS 16
/* The other instances send their demand to the leader at this interval.  */
#define SEND_DEMAND_NS (500 * KWF_NS_PER_MS)
/* Loads that may start at once in addition to the rate of the weight store:
   the burst of a token bucket.  */
#define LOADS_BURST 2.0
/* Part of the weight store's rate that is used, so that no interval contains
   more loads than allowed.  */
#define LOAD_RATE_PART 0.95
/* An adapter isn't unloaded sooner than this after its load: the request that
   it was loaded for may not have started.  */
#define ADAPTER_MIN_STAY_NS (1 * KWF_NS_PER_S)
/* A new leader moves copies only after it has observed the demand for this
   long.  */
#define OBSERVE_NS (3 * KWF_NS_PER_S)
/* An engine on which room is being made stays reserved for the model for this
   long, because an unload waits for the requests that use the unloaded
   model.  */
#define EVICTING_MAX_NS (10 * KWF_NS_PER_S)
/* Upper limit of the time of a load from an engine's own memory or disk: the
   time of a load from the weight store, divided by this number.  */
#define LOCAL_LOAD_DIVISOR 2
/* How long an order to an engine with a limit waits for a permit.  */
#define ORDER_PATIENCE_NS (1 * KWF_NS_PER_S)
/* Memory in MB that is kept free for each adapter slot, besides the
   models.  */
#define ADAPTER_SLOT_MB 128
/* An adapter's share of its model's demand, multiplied by the number of copies
   of the model and by this factor, is the number of copies that it should
   have.  */
#define ADAPTER_COPIES_FACTOR 0.8

struct placement_direct
{
  kwf_placement_options_t options;
  char *instance;
  const kwf_clock_t *clock;
  placement_sources_t sources;
  election_t *election;
  GHashTable *engines; /* server id -> engine_control_t */
  double load_credit;  /* loads from the weight store that may start now: the
                          level of a token bucket */
  int64_t load_credit_ns;        /* when LOAD_CREDIT was updated */
  int64_t next_round_ns;         /* time of the next round */
  int64_t last_round_ns;         /* time of the last round */
  int64_t min_round_interval_ns; /* minimum time between two rounds */
  int64_t next_send_ns;          /* when this instance next sends its demand */
  int64_t observed_since_ns; /* demand was observed since then; 0: not yet */
  bool was_leader;   /* this instance was the leader in the last step */
  bool unfinished;   /* the last round reached a limit */
  size_t next_model; /* index of the model whose adapters are placed next */
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
  direct->election = election_new (options, "placement");
  direct->engines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                           engine_control_free);
  direct->load_credit_ns = kwf_now_ns (options->clock);
  return direct;
}

void
placement_direct_free (placement_direct_t *direct)
{
  if (!direct)
    return;
  election_free (direct->election);
  g_hash_table_unref (direct->engines);
  g_free (direct->instance);
  g_free (direct);
}

/* Engines.  */

static void
apply_member (placement_direct_t *direct, const kwf_member_t *member,
              int64_t now_ns)
{
  const server_t *server = backend_find (direct->sources.backend, member->id);
  if (!server || !member->described || member->kind != KWF_MEMBER_ENGINE)
    return;
  engine_control_t *engine = g_hash_table_lookup (direct->engines, member->id);
  if (!engine)
    {
      engine = engine_control_new (server);
      g_hash_table_insert (direct->engines, engine->id, engine);
    }
  bool known = engine->incarnation != 0;
  engine_control_apply_member (engine, member, now_ns);
  /* Before the first order a report must show how many orders the engine has
     accepted.  */
  if (!known)
    engine->needs_report = true;
}

/* Update which engines accept orders: not those that are leaving or evacuated,
   and those that requested a pause only after its end.  */
static void
update_usable_engines (const placement_direct_t *direct)
{
  int64_t now_ns = kwf_now_ns (direct->clock);
  GHashTableIter iter;
  gpointer id, value;
  g_hash_table_iter_init (&iter, direct->engines);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const server_t *server = backend_find (direct->sources.backend, id);
      engine_control_t *engine = value;
      if (!server)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      engine->usable = !server_leaving (server) && !server->refused;
      engine->region = server->region;
      engine->scarce = limit_is_scarce (&server->limit, server->slots, now_ns);
      engine->not_before_ns
          = MAX (engine->not_before_ns, server->notice.pause_until_ns);
    }
}

static void
apply_members (placement_direct_t *direct, const kwf_members_event_t *members,
               int64_t now_ns)
{
  for (size_t i = 0; i < members->n_members; i++)
    apply_member (direct, &members->members[i], now_ns);
  update_usable_engines (direct);
}

typedef struct
{
  const kwf_residency_t *residency;
  const char *except; /* sender of a forwarded message, which isn't notified;
                         "": none */
  kwf_effects_t *effects;
} send_residency_args_t;

static void
send_residency_change (const char *instance, void *data)
{
  const send_residency_args_t *args = data;
  if (strcmp (instance, args->except) != 0)
    session_send (instance, KWF_MSG_RESIDENCY, args->effects)->residency
        = *args->residency;
}

/* Notify all instances, also this one, that the last ordered model or adapter
   is present on ENGINE or not.  */
static void
announce_residency_change (placement_direct_t *direct,
                           const engine_control_t *engine, bool present,
                           kwf_effects_t *effects)
{
  kwf_residency_t residency
      = { .server = kwf_effects_strdup (effects, engine->id),
          .incarnation = engine->incarnation,
          .model = kwf_effects_strdup (effects, engine->model),
          .adapter = kwf_effects_strdup (effects, engine->adapter),
          .present = present };
  send_residency_args_t args = { &residency, "", effects };
  fanout_broadcast_targets (direct->sources.session, send_residency_change,
                            &args);
  backend_handle_residency (direct->sources.backend, &residency);
}

/* Forward a RESIDENCY message of the leader to the instances that this one
   forwards to.  */
static void
forward_residency_change (const placement_direct_t *direct,
                          const kwf_peer_event_t *peer, kwf_effects_t *effects)
{
  const kwf_residency_t *received = &peer->message->residency;
  kwf_residency_t residency = *received;
  residency.server = kwf_effects_strdup (effects, received->server);
  residency.model = kwf_effects_strdup (effects, received->model);
  residency.adapter = kwf_effects_strdup (effects, received->adapter);
  send_residency_args_t args = { &residency, peer->instance, effects };
  /* Only messages of the leader itself are forwarded: two instances with
     different views of who forwards could otherwise send a message back and
     forth endlessly.  */
  if (session_is_large (direct->sources.session)
      && g_strcmp0 (peer->instance, election_leader (direct->election)) == 0
      && fanout_role (direct->sources.session) != FANOUT_LEAF)
    fanout_local_members (direct->sources.session, send_residency_change,
                          &args);
}

/* Bring the next round forward, to the earliest time that the interval between
   rounds allows.  */
static void
schedule_round_soon (placement_direct_t *direct, int64_t now_ns)
{
  direct->next_round_ns = MIN (
      direct->next_round_ns,
      MAX (now_ns, direct->last_round_ns + direct->min_round_interval_ns));
}

static void
handle_order_reply (placement_direct_t *direct, const kwf_order_event_t *event,
                    int64_t now_ns, kwf_effects_t *effects)
{
  engine_control_t *engine
      = g_hash_table_lookup (direct->engines, event->server);
  if (!engine || !engine->order_id)
    return;
  const char *verb = engine->kind == ORDER_LOAD ? "load" : "unload";
  bool accepted = event->status == 200 || event->status == 202;
  direct->n_refused += !accepted;
  kwf_effects_log (
      effects, 362, accepted ? KWF_LOG_INFO : KWF_LOG_WARNING, NULL,
      "%s of %s%s%s on %s after_orders=%" G_GINT64_FORMAT " status=%d", verb,
      engine->model, *engine->adapter ? "/" : "", engine->adapter, engine->id,
      engine->n_accepted, event->status);
  /* The unload failed, so the model is present as before.  */
  if (!accepted && engine->kind == ORDER_UNLOAD && !*engine->adapter)
    announce_residency_change (direct, engine, true, effects);
  switch (engine_control_handle_reply (engine, event, now_ns))
    {
    case ENGINE_CONTROL_ADAPTER_LOAD:
    case ENGINE_CONTROL_MODEL_LOAD:
      announce_residency_change (direct, engine, true, effects);
      break;
    case ENGINE_CONTROL_STALE_TOKEN:
      election_handle_token_refusal (direct->election, effects);
      break;
    case ENGINE_CONTROL_NONE:
    case ENGINE_CONTROL_ADAPTER_UNLOAD:
    case ENGINE_CONTROL_MODEL_UNLOAD:
      break;
    }
  schedule_round_soon (direct, now_ns);
}

/* Models.  */

typedef struct
{
  rebalance_model_t *models;
  rebalance_engine_t *engines;
  GPtrArray *engine_controls; /* of engine_control_t, one for each engine */
  GHashTable *model_indices;  /* model name -> index in MODELS, plus 1 */
  int n_models;
  int n_engines;
} fleet_t;

static const int8_t states_of[]
    = { [ENGINE_MODEL_RESIDENT] = REBALANCE_RESIDENT,
        [ENGINE_MODEL_LOADING] = REBALANCE_LOADING,
        [ENGINE_MODEL_UNLOADING] = REBALANCE_UNLOADING };

/* Memory in MB on the engine that is free for another model.  */
static int64_t
free_mb_of (const placement_direct_t *direct, const kwf_service_t *service,
            const engine_control_t *engine, int64_t now_ns)
{
  return service->memory_mb
         - engine_control_used_mb (
             engine, config_lists (direct->sources.config), now_ns)
         - (int64_t)service->adapter_slots * ADAPTER_SLOT_MB;
}

/* Index of the model NAME in FLEET; -1: it isn't there.  */
static int
model_index (const fleet_t *fleet, const char *name)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (fleet->model_indices, name))
         - 1;
}

/* Fill in the engine AT of FLEET.  */
static void
fill_engine (const placement_direct_t *direct, fleet_t *fleet,
             const kwf_service_t *service, int at, int64_t now_ns)
{
  const engine_control_t *engine = fleet->engine_controls->pdata[at];
  int8_t *states = g_new0 (int8_t, fleet->n_models + 1);
  int64_t *resident_for_ns = g_new0 (int64_t, fleet->n_models + 1);
  bool *local = g_new0 (bool, fleet->n_models + 1);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const engine_model_t *model_state = value;
      int i = model_index (fleet, name);
      if (i < 0)
        continue;
      states[i] = states_of[model_state->state];
      resident_for_ns[i] = now_ns - model_state->since_ns;
    }
  g_hash_table_iter_init (&iter, engine->local_weights);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (model_index (fleet, name) >= 0)
      local[model_index (fleet, name)] = true;
  int evicting_for_index
      = engine->evicting_for ? model_index (fleet, engine->evicting_for) : -1;
  /* Room is being made for this model, and its load follows.  */
  if (evicting_for_index >= 0
      && states[evicting_for_index] == REBALANCE_ABSENT)
    states[evicting_for_index] = REBALANCE_LOADING;
  const server_t *server = backend_find (direct->sources.backend, engine->id);
  fleet->engines[at] = (rebalance_engine_t){
    .available
    = engine_control_is_ready (engine, now_ns) && !engine->evicting_for,
    .region = engine->region,
    .free_mb = free_mb_of (direct, service, engine, now_ns),
    .states = states,
    .resident_for_ns = resident_for_ns,
    .local_weights = local,
    .capacity = server ? capacity_of (server) : 1,
  };
}

/* Time since the last request for MODEL, but at most since the start of the
   observation.  */
static int64_t
idle_ns (const placement_direct_t *direct, const char *model, int64_t now_ns)
{
  int64_t last_request_ns
      = demand_last_request_ns (direct->sources.demand, model);
  return direct->observed_since_ns
             ? now_ns - MAX (last_request_ns, direct->observed_since_ns)
             : 0;
}

static void
fleet_begin (const placement_direct_t *direct, const kwf_service_t *service,
             fleet_t *fleet, int64_t now_ns)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  const demand_t *demand = direct->sources.demand;
  size_t n = kwf_lists_n_models (lists);
  *fleet = (fleet_t){ .models = g_new0 (rebalance_model_t, n + 1),
                      .engine_controls = g_ptr_array_new (),
                      .model_indices
                      = g_hash_table_new (g_str_hash, g_str_equal) };
  for (size_t i = 0; i < n; i++)
    {
      const kwf_model_t *model = kwf_lists_model_at (lists, i);
      if (g_strcmp0 (model->service, service->name) != 0)
        continue;
      g_hash_table_insert (fleet->model_indices, (gpointer)model->name,
                           GINT_TO_POINTER (fleet->n_models + 1));
      demand_wait_t wait = demand_waiting (demand, model->name, NULL);
      fleet->models[fleet->n_models++] = (rebalance_model_t){
        .name = model->name,
        .mb = model->memory_mb,
        .rate = demand_rate (demand, model->name, NULL),
        .waiting = wait.waiting,
        .priority = wait.priority,
        .excluded = wait.excluded,
        .idle_ns = idle_ns (direct, model->name, now_ns)
      };
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_control_t *engine = value;
      if (engine->usable && !engine->scarce
          && strcmp (engine->service, service->name) == 0)
        g_ptr_array_add (fleet->engine_controls, value);
    }
  fleet->n_engines = (int)fleet->engine_controls->len;
  fleet->engines = g_new0 (rebalance_engine_t, fleet->n_engines + 1);
  for (int i = 0; i < fleet->n_engines; i++)
    fill_engine (direct, fleet, service, i, now_ns);
}

static void
fleet_end (fleet_t *fleet)
{
  for (int i = 0; i < fleet->n_engines; i++)
    {
      g_free ((void *)fleet->engines[i].states);
      g_free ((void *)fleet->engines[i].resident_for_ns);
      g_free ((void *)fleet->engines[i].local_weights);
    }
  g_free (fleet->engines);
  g_free (fleet->models);
  g_ptr_array_free (fleet->engine_controls, TRUE);
  g_hash_table_unref (fleet->model_indices);
}

static void
refill_load_credit (placement_direct_t *direct, const kwf_service_t *service,
                    int64_t now_ns)
{
  double passed_s
      = (double)(now_ns - direct->load_credit_ns) / (double)KWF_NS_PER_S;
  double rate = service->loads_per_s * LOAD_RATE_PART;
  direct->load_credit_ns = now_ns;
  direct->load_credit
      = MIN (direct->load_credit + passed_s * rate, 1 + LOADS_BURST);
}

static void
send_order (placement_direct_t *direct, engine_control_t *engine,
            order_kind_t kind, const char *model, const char *adapter,
            const engine_control_context_t *context)
{
  server_t *server = backend_find (direct->sources.backend, engine->id);
  if (server)
    backend_count_call (server, context->now_ns, context->effects);
  engine_control_send_order (engine, kind, model, adapter, context);
}

/* Order an unload.  All instances are notified first, so that they stop
   sending requests to the model or adapter.  */
static void
order_unload (placement_direct_t *direct, engine_control_t *engine,
              const char *model, const char *adapter,
              const engine_control_context_t *context)
{
  kwf_effects_t *effects = context->effects;
  g_free (engine->model);
  g_free (engine->adapter);
  engine->model = g_strdup (model);
  engine->adapter = g_strdup (adapter);
  announce_residency_change (direct, engine, false, effects);
  *(*adapter ? &direct->n_adapter_unloads : &direct->n_unloads) += 1;
  char *name = g_strdup (model);
  char *adapter_copy = g_strdup (adapter);
  send_order (direct, engine, ORDER_UNLOAD, name, adapter_copy, context);
  g_free (name);
  g_free (adapter_copy);
}

static void
order_load (placement_direct_t *direct, engine_control_t *engine,
            const char *name, const engine_control_context_t *context)
{
  const kwf_model_t *model
      = kwf_lists_model (config_lists (direct->sources.config), name);
  engine_control_context_t load_context = *context;
  bool local = engine_control_has_local_weights (engine, name);
  load_context.expected_ns
      = model ? model->load_ns / (local ? LOCAL_LOAD_DIVISOR : 1) : 0;
  direct->load_credit -= local ? 0 : 1;
  direct->n_loads++;
  send_order (direct, engine, ORDER_LOAD, name, "", &load_context);
}

/* Log STEP with its reasons: the demand for the model, and the models on
   ENGINE.  */
static void
log_step (const fleet_t *fleet, const rebalance_step_t *step,
          const engine_control_t *engine, kwf_effects_t *effects)
{
  GString *model_list = g_string_new (NULL);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, &name, &value))
    g_string_append_printf (model_list, "%s%s:%d", model_list->len ? "," : "",
                            (const char *)name,
                            (int)((engine_model_t *)value)->state);
  const rebalance_model_t *model = &fleet->models[step->model];
  char *text = g_strdup_printf (
      "model %s on %s begins: for=%s rate=%.0f waiting=%d free_mb"
      "=%" G_GINT64_FORMAT " holds=%s",
      model->name, engine->id, fleet->models[step->for_model].name,
      model->rate, model->waiting, fleet->engines[step->engine].free_mb,
      model_list->str);
  if (step->load)
    kwf_effects_log (effects, 358, KWF_LOG_INFO, NULL, "load of %s", text);
  else
    kwf_effects_log (effects, 359, KWF_LOG_INFO, NULL, "unload of %s", text);
  g_free (text);
  g_string_free (model_list, TRUE);
}

/* Load the model for which room was made on ENGINE.  If that is no longer
   possible, clear evicting_for, so that the engine may load other models.  */
static void
load_after_eviction (placement_direct_t *direct, const kwf_service_t *service,
                     engine_control_t *engine,
                     const engine_control_context_t *context)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  const kwf_model_t *model
      = engine->evicting_for ? kwf_lists_model (lists, engine->evicting_for)
                             : NULL;
  bool expired = context->now_ns - engine->evicting_since_ns > EVICTING_MAX_NS;
  if (!engine->evicting_for)
    return;
  if (!model || expired || !engine->usable || engine->scarce
      || engine_control_find_model (engine, engine->evicting_for))
    {
      g_clear_pointer (&engine->evicting_for, g_free);
      return;
    }
  bool weight_store_allows
      = direct->load_credit >= 1
        || engine_control_has_local_weights (engine, engine->evicting_for);
  if (!engine_control_is_ready (engine, context->now_ns)
      || !weight_store_allows)
    return;
  /* If there is still too little room, the next round decides again which
     model to unload.  */
  if (free_mb_of (direct, service, engine, context->now_ns)
      >= model->memory_mb)
    order_load (direct, engine, model->name, context);
  g_clear_pointer (&engine->evicting_for, g_free);
}

/* Loads from the weight store that may start now, without those for which room
   is being made.  */
static double
unassigned_load_credit (const placement_direct_t *direct)
{
  double load_credit = direct->load_credit;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_control_t *engine = value;
      load_credit -= engine->evicting_for
                     && !engine_control_has_local_weights (
                         engine, engine->evicting_for);
    }
  return load_credit;
}

static void
place_models (placement_direct_t *direct, const kwf_service_t *service,
              const engine_control_context_t *context)
{
  refill_load_credit (direct, service, context->now_ns);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((engine_control_t *)value)->service, service->name) == 0)
      load_after_eviction (direct, service, value, context);
  for (int steps = 0; steps < MAX_STEPS; steps++)
    {
      fleet_t fleet;
      fleet_begin (direct, service, &fleet, context->now_ns);
      rebalance_step_t step = rebalance_next (
          fleet.models, fleet.n_models, fleet.engines, fleet.n_engines,
          unassigned_load_credit (direct) >= 1,
          direct->observed_since_ns
              && context->now_ns - direct->observed_since_ns > OBSERVE_NS);
      if (step.engine >= 0)
        {
          engine_control_t *engine = fleet.engine_controls->pdata[step.engine];
          const char *model = fleet.models[step.model].name;
          log_step (&fleet, &step, engine, context->effects);
          if (step.load)
            order_load (direct, engine, model, context);
          else
            {
              engine_control_set_evicting_for (
                  engine, fleet.models[step.for_model].name, context->now_ns);
              order_unload (direct, engine, model, "", context);
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
  bool scarce; /* all copies of the model are on engines with a scarce limit */
  uint64_t excluded; /* regions in which the requests that wait for it must not
                        be served */
} adapter_t;

/* Number of copies that an adapter should have: its share of the model's
   demand, applied to RESIDENT_COPIES, the number of resident copies of the
   model.  */
static int
copies_wanted (const placement_direct_t *direct, const adapter_t *adapter,
               int resident_copies)
{
  const demand_t *demand = direct->sources.demand;
  double model_rate = demand_rate (demand, adapter->model->name, NULL);
  if (demand_waiting (demand, adapter->model->name, adapter->adapter).waiting)
    return MAX (1, adapter->copies);
  /* Orders use up a scarce limit, so that only those are sent that requests
     wait for.  */
  if (adapter->rate <= 0 || model_rate <= 0 || adapter->scarce)
    return 0;
  double copies
      = adapter->rate / model_rate * resident_copies * ADAPTER_COPIES_FACTOR;
  return CLAMP ((int)ceil (copies), 1, resident_copies);
}

/* Find the adapter on ENGINE with the lowest demand below BOUND; false: there
   is none.  */
static bool
find_idle_adapter (const placement_direct_t *direct,
                   const engine_control_t *engine, double bound,
                   int64_t now_ns, const char **model, const char **adapter)
{
  const demand_t *demand = direct->sources.demand;
  GHashTableIter models;
  gpointer name;
  gpointer value;
  bool found = false;
  g_hash_table_iter_init (&models, engine->models);
  while (g_hash_table_iter_next (&models, &name, &value))
    {
      GHashTableIter adapters;
      gpointer adapter_name;
      g_hash_table_iter_init (&adapters, ((engine_model_t *)value)->adapters);
      gpointer since_ns;
      while (g_hash_table_iter_next (&adapters, &adapter_name, &since_ns))
        {
          double rate = demand_rate (demand, name, adapter_name);
          if (rate >= bound
              || now_ns - *(int64_t *)since_ns < ADAPTER_MIN_STAY_NS)
            continue;
          found = true;
          bound = rate;
          *model = name;
          *adapter = adapter_name;
        }
    }
  return found;
}

/* The least loaded engine that has the model and not the adapter.  An engine
   with a scarce limit is taken only where all copies have one, and with a
   permit.  */
static engine_control_t *
find_adapter_engine (const placement_direct_t *direct,
                     const adapter_t *adapter, int64_t now_ns)
{
  engine_control_t *best = NULL;
  server_t *best_server = NULL;
  double best_load = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, direct->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      engine_control_t *engine = value;
      const engine_model_t *model_state
          = engine_control_find_model (engine, adapter->model->name);
      server_t *server = backend_find (direct->sources.backend, engine->id);
      if (!model_state || model_state->state != ENGINE_MODEL_RESIDENT
          || engine->scarce != adapter->scarce || !server
          || engine->region & adapter->excluded
          || !engine_control_is_ready (engine, now_ns)
          || g_hash_table_contains (model_state->adapters, adapter->adapter))
        continue;
      double load = server_load (server) + engine_control_n_adapters (engine);
      if (best && load >= best_load)
        continue;
      best = engine;
      best_server = server;
      best_load = load;
    }
  if (best && best->scarce
      && !limit_may_call (&best_server->limit, ORDER_PATIENCE_NS, now_ns))
    return NULL;
  return best;
}

/* Return whether an order was sent.  */
static bool
place_adapter (placement_direct_t *direct, const kwf_service_t *service,
               const adapter_t *adapter,
               const engine_control_context_t *context)
{
  engine_control_t *engine
      = find_adapter_engine (direct, adapter, context->now_ns);
  if (!engine)
    return false;
  if (engine_control_n_adapters (engine) < service->adapter_slots)
    {
      direct->n_adapter_loads++;
      send_order (direct, engine, ORDER_LOAD, adapter->model->name,
                  adapter->adapter, context);
      return true;
    }
  const char *model;
  const char *idle_adapter;
  double bound
      = adapter->copies ? adapter->rate / (adapter->copies + 1) : G_MAXDOUBLE;
  if (!find_idle_adapter (direct, engine, bound, context->now_ns, &model,
                          &idle_adapter))
    return false;
  order_unload (direct, engine, model, idle_adapter, context);
  return true;
}

/* Return the number of orders sent.  */
static int
place_adapters_of (placement_direct_t *direct, const kwf_service_t *service,
                   const kwf_model_t *model, const copies_t *resident_copies,
                   const engine_control_context_t *context)
{
  int orders = 0;
  for (size_t i = 0; i < model->n_adapters; i++)
    {
      adapter_t adapter
          = { .model = model,
              .adapter = model->adapters[i],
              .rate = demand_rate (direct->sources.demand, model->name,
                                   model->adapters[i]),
              .scarce = resident_copies->scarce,
              .excluded = demand_waiting (direct->sources.demand, model->name,
                                          model->adapters[i])
                              .excluded };
      adapter.copies = copies_with_adapter (resident_copies, adapter.adapter,
                                            adapter.excluded);
      if (adapter.copies
          < copies_wanted (direct, &adapter, (int)resident_copies->n))
        orders += place_adapter (direct, service, &adapter, context);
    }
  return orders;
}

static void
place_adapters (placement_direct_t *direct, const kwf_service_t *service,
                const engine_control_context_t *context)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  GHashTable *copies_by_model = copies_find (direct->engines);
  size_t n = kwf_lists_n_models (lists);
  int orders = 0;
  /* The next round continues after the last model of this one.  */
  size_t first = n ? direct->next_model % n : 0;
  for (size_t i = 0; i < n && orders < MAX_ADAPTER_ORDERS; i++)
    {
      direct->next_model = (first + i + 1) % n;
      const kwf_model_t *model = kwf_lists_model_at (lists, (first + i) % n);
      const copies_t *resident_copies
          = g_hash_table_lookup (copies_by_model, model->name);
      if (resident_copies && model->n_adapters
          && g_strcmp0 (model->service, service->name) == 0)
        orders += place_adapters_of (direct, service, model, resident_copies,
                                     context);
    }
  direct->unfinished |= orders >= MAX_ADAPTER_ORDERS;
  g_hash_table_unref (copies_by_model);
}

/* Rounds.  */

/* When the leader's lease ends; 0: it has no end.  */
static int64_t
lease_end_ns (const placement_direct_t *direct)
{
  int64_t until_ns = election_lease_end_ns (direct->election);
  return until_ns == INT64_MAX ? 0 : until_ns;
}

/* Request a load report from ENGINE if that is due.  Return whether it was
   requested.  */
static bool
request_report (const placement_direct_t *direct, engine_control_t *engine,
                const engine_control_context_t *context)
{
  server_t *server = backend_find (direct->sources.backend, engine->id);
  if (!server || !engine_control_report_is_due (engine, context->now_ns)
      || (engine->scarce
          && !limit_may_call (&server->limit, ORDER_PATIENCE_NS,
                              context->now_ns)))
    return false;
  backend_count_call (server, context->now_ns, context->effects);
  return engine_control_request_report (engine, context);
}

static void
run_round (placement_direct_t *direct, int64_t now_ns, kwf_effects_t *effects)
{
  const kwf_lists_t *lists = config_lists (direct->sources.config);
  engine_control_context_t context
      = { .now_ns = now_ns,
          .token = election_token (direct->election),
          .holder = direct->instance,
          .until_ns = lease_end_ns (direct),
          .effects = effects };
  direct->unfinished = false;
  if (!lists || !context.token)
    return;
  direct->min_round_interval_ns
      = ROUND_MIN_NS
        + (int64_t)g_hash_table_size (direct->engines)
              * (int64_t)kwf_lists_n_models (lists) * ROUND_PAIR_NS;
  if (!direct->observed_since_ns && demand_any (direct->sources.demand))
    direct->observed_since_ns = now_ns;
  GHashTableIter iter;
  gpointer value;
  update_usable_engines (direct);
  g_hash_table_iter_init (&iter, direct->engines);
  int requests = 0;
  while (g_hash_table_iter_next (&iter, NULL, &value)
         && requests < MAX_REPORT_REQUESTS)
    requests += request_report (direct, value, &context);
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
handle_message (placement_direct_t *direct, const kwf_peer_event_t *peer,
                int64_t now_ns, kwf_effects_t *effects)
{
  if (peer->message->type == KWF_MSG_DEMAND)
    {
      demand_apply_row (direct->sources.demand, peer->instance,
                        peer->message->demand_text);
      schedule_round_soon (direct, now_ns);
    }
  else if (peer->message->type == KWF_MSG_SERVER_LEAVING)
    schedule_round_soon (direct, now_ns);
  else if (peer->message->type == KWF_MSG_RESIDENCY)
    {
      backend_handle_residency (direct->sources.backend,
                                &peer->message->residency);
      forward_residency_change (direct, peer, effects);
    }
}

static void
send_demand (placement_direct_t *direct, kwf_effects_t *effects)
{
  const char *leader = election_leader (direct->election);
  if (!leader || strcmp (leader, direct->instance) == 0)
    return;
  char *text = demand_to_json (direct->sources.demand);
  const char *copy = kwf_effects_strdup (effects, text);
  session_send (leader, KWF_MSG_DEMAND, effects)->demand_text = copy;
  g_free (text);
}

/* Start as the leader.  A new leader knows neither which orders its
   predecessor sent, nor how many orders the engines have accepted.  */
static void
start_leading (placement_direct_t *direct)
{
  GHashTableIter iter;
  gpointer value;
  direct->load_credit = 0;
  direct->observed_since_ns = 0;
  g_hash_table_iter_init (&iter, direct->engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((engine_control_t *)value)->needs_report = true;
}

void
placement_direct_step (placement_direct_t *direct, const kwf_event_t *event,
                       const session_changes_t *changes,
                       kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (direct->clock);
  election_step (direct->election, direct->sources.session, event, changes,
                 effects);
  bool leads = election_token (direct->election) != 0;
  if (leads && !direct->was_leader)
    start_leading (direct);
  direct->was_leader = leads;
  if (event->type == KWF_EV_MEMBERS)
    {
      apply_members (direct, &event->members, now_ns);
      schedule_round_soon (direct, now_ns);
    }
  else if ((event->type == KWF_EV_NOTICE && event->notice.leaving)
           || event->type == KWF_EV_EVACUATIONS)
    schedule_round_soon (direct, now_ns);
  else if (event->type == KWF_EV_ORDER_REPLY)
    handle_order_reply (direct, &event->order, now_ns, effects);
  else if (event->type == KWF_EV_PEER_MESSAGE)
    handle_message (direct, &event->peer, now_ns, effects);
  else if (event->type == KWF_EV_REPORT)
    {
      engine_control_t *engine
          = g_hash_table_lookup (direct->engines, event->report.server);
      if (engine)
        engine_control_apply_report (engine, &event->report, now_ns);
    }
  if (now_ns >= direct->next_send_ns)
    {
      direct->next_send_ns = now_ns + SEND_DEMAND_NS;
      send_demand (direct, effects);
    }
  if (now_ns < direct->next_round_ns)
    return;
  direct->last_round_ns = now_ns;
  run_round (direct, now_ns, effects);
  direct->next_round_ns
      = now_ns
        + (direct->unfinished ? direct->min_round_interval_ns
                              : MAX (ROUND_NS, direct->min_round_interval_ns));
}

void
placement_direct_send_demand (placement_direct_t *direct,
                              kwf_effects_t *effects)
{
  if (!demand_consume_new_waiting (direct->sources.demand))
    return;
  schedule_round_soon (direct, kwf_now_ns (direct->clock));
  send_demand (direct, effects);
}

void
placement_direct_set_able (placement_direct_t *direct, bool able)
{
  election_set_able (direct->election, able);
}

void
placement_direct_resign (placement_direct_t *direct, kwf_effects_t *effects)
{
  election_resign (direct->election, effects);
}

int64_t
placement_direct_next_tick_ns (const placement_direct_t *direct)
{
  int64_t deadline
      = MIN (direct->next_send_ns, election_next_tick_ns (direct->election));
  return MIN (deadline, direct->next_round_ns);
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
