#include "engine-control.h"

#include <inttypes.h>
#include <string.h>

/* Time from the engine's reply to an adapter load until the adapter can be
   used, as long as the weight store is not overloaded.  */
#define ADAPTER_DELAY_NS (15 * KWF_NS_PER_MS)
/* Minimum time from a failed order, or from a report, to the next order or
   report request.  Load reports lag by some hundred milliseconds.  */
#define RETRY_NS (200 * KWF_NS_PER_MS)
/* Maximum age of a membership entry: a heartbeat of 1.2 s, 0.8 s until it is
   listed, and 1.35 s until this instance reads the list itself when no other
   instance forwards it.  */
#define ENTRY_MAX_AGE_NS (3400 * KWF_NS_PER_MS)
/* Maximum time from sending an order to its execution, if it was not
   answered.  */
#define UNANSWERED_MAX_NS (15 * KWF_NS_PER_S)
/* A report is requested this long after an order should be complete, and then
   at this interval.  The membership list shows the same later, and not at all
   during an outage of the platform.  */
#define PROGRESS_CHECK_NS (400 * KWF_NS_PER_MS)
/* Upper limit of the time of an adapter load: even an overloaded weight store
   delivers an adapter within this time.  */
#define ADAPTER_LOAD_MAX_NS (10 * KWF_NS_PER_S)

static void
engine_model_free (void *data)
{
  engine_model_t *model_state = data;
  g_hash_table_unref (model_state->adapters);
  g_hash_table_unref (model_state->unloading_adapters);
  g_free (model_state);
}

static GHashTable *
new_models (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                engine_model_free);
}

static void
unanswered_load_clear (void *data)
{
  unanswered_load_t *load = data;
  g_free (load->model);
}

engine_control_t *
engine_control_new (const server_t *server)
{
  engine_control_t *engine = g_new0 (engine_control_t, 1);
  engine->id = g_strdup (server->id);
  engine->service = g_strdup (server->name);
  engine->models = new_models ();
  engine->local_weights
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->unanswered_loads
      = g_array_new (FALSE, FALSE, sizeof (unanswered_load_t));
  g_array_set_clear_func (engine->unanswered_loads, unanswered_load_clear);
  return engine;
}

void
engine_control_free (void *data)
{
  engine_control_t *engine = data;
  g_free (engine->id);
  g_free (engine->address);
  g_free (engine->service);
  g_free (engine->order_id);
  g_free (engine->model);
  g_free (engine->adapter);
  g_free (engine->in_progress_model);
  g_free (engine->evicting_for);
  g_array_free (engine->unanswered_loads, TRUE);
  g_hash_table_unref (engine->models);
  g_hash_table_unref (engine->local_weights);
  g_free (engine);
}

engine_model_t *
engine_control_find_model (const engine_control_t *engine, const char *model)
{
  return g_hash_table_lookup (engine->models, model);
}

bool
engine_control_has_adapter (const engine_control_t *engine, const char *model,
                            const char *adapter)
{
  const engine_model_t *model_state
      = engine_control_find_model (engine, model);
  return model_state && g_hash_table_contains (model_state->adapters, adapter);
}

int
engine_control_n_adapters (const engine_control_t *engine)
{
  int n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_model_t *model_state = value;
      n += (int)g_hash_table_size (model_state->adapters);
      n += (int)g_hash_table_size (model_state->unloading_adapters);
    }
  return n;
}

bool
engine_control_has_local_weights (const engine_control_t *engine,
                                  const char *model)
{
  return g_hash_table_contains (engine->local_weights, model);
}

static void
set_local_weights (engine_control_t *engine, const char *const *names,
                   size_t n_names)
{
  g_hash_table_remove_all (engine->local_weights);
  for (size_t i = 0; i < n_names; i++)
    g_hash_table_add (engine->local_weights, g_strdup (names[i]));
}

void
engine_control_set_evicting_for (engine_control_t *engine, const char *model,
                                 int64_t now_ns)
{
  char *copy = g_strdup (model);
  g_free (engine->evicting_for);
  engine->evicting_for = copy;
  engine->evicting_since_ns = now_ns;
}

/* Add the last load order, which was not answered, to the unanswered loads.
   Remove the loads that were sent UNANSWERED_MAX_NS ago or earlier and can't
   be carried out any more.  */
static void
add_unanswered_load (engine_control_t *engine, int64_t now_ns)
{
  for (guint i = engine->unanswered_loads->len; i-- > 0;)
    if (now_ns
            - g_array_index (engine->unanswered_loads, unanswered_load_t, i)
                  .sent_ns
        >= UNANSWERED_MAX_NS)
      g_array_remove_index_fast (engine->unanswered_loads, i);
  unanswered_load_t load = { .model = g_strdup (engine->model),
                             .sent_ns = engine->sent_ns,
                             .incarnation = engine->incarnation };
  g_array_append_val (engine->unanswered_loads, load);
}

/* Memory in MB of the unanswered loads that were sent to an earlier process of
   the engine, may still be carried out, and whose model is not on the
   engine.  */
static int64_t
unanswered_before_restart_mb (const engine_control_t *engine,
                              const kwf_lists_t *lists, int64_t now_ns)
{
  int64_t mb = 0;
  for (guint i = 0; i < engine->unanswered_loads->len; i++)
    {
      const unanswered_load_t *load
          = &g_array_index (engine->unanswered_loads, unanswered_load_t, i);
      const kwf_model_t *model = kwf_lists_model (lists, load->model);
      if (load->incarnation != engine->incarnation && model
          && now_ns - load->sent_ns < UNANSWERED_MAX_NS
          && !engine_control_find_model (engine, load->model))
        mb += model->memory_mb;
    }
  return mb;
}

int64_t
engine_control_used_mb (const engine_control_t *engine,
                        const kwf_lists_t *lists, int64_t now_ns)
{
  int64_t mb = unanswered_before_restart_mb (engine, lists, now_ns);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const kwf_model_t *model = kwf_lists_model (lists, name);
      mb += model ? model->memory_mb : 0;
    }
  return mb;
}

static engine_model_t *
add_model (engine_control_t *engine, const char *name,
           engine_model_state_t state, int64_t now_ns)
{
  engine_model_t *model_state = g_new0 (engine_model_t, 1);
  model_state->state = state;
  model_state->since_ns = now_ns;
  model_state->adapters
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  model_state->unloading_adapters
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_replace (engine->models, g_strdup (name), model_state);
  return model_state;
}

static void
add_adapter (engine_model_t *model_state, const char *adapter,
             int64_t since_ns)
{
  int64_t *since = g_new (int64_t, 1);
  *since = since_ns;
  g_hash_table_replace (model_state->adapters, g_strdup (adapter), since);
}

/* Whether a load or unload of MODEL itself, not of an adapter, is in progress.
   Meanwhile a membership entry or report may or may not list the model.  */
static bool
is_model_changing (const engine_control_t *engine, const char *model)
{
  return g_strcmp0 (engine->in_progress_model, model) == 0;
}

/* Start to replace the list of models, which may be inferred from replies, by
   the list in a membership entry or report.  Return the old list in
   *OLD_MODELS.  */
static void
begin_model_list (engine_control_t *engine, GHashTable **old_models)
{
  *old_models = engine->models;
  engine->models = new_models ();
}

/* Add the listed model NAME, with the state and time from OLD_MODELS if
   they still hold.  */
static void
list_model (engine_control_t *engine, GHashTable *old_models, const char *name,
            int64_t now_ns)
{
  const engine_model_t *old = g_hash_table_lookup (old_models, name);
  bool unloading = is_model_changing (engine, name)
                   && engine->in_progress_kind == ORDER_UNLOAD;
  bool loaded = old && old->state == ENGINE_MODEL_LOADING;
  add_model (engine, name,
             unloading ? ENGINE_MODEL_UNLOADING : ENGINE_MODEL_RESIDENT,
             old && !loaded ? old->since_ns : now_ns);
}

/* Complete the new list.  A model whose load is in progress stays in it as
   loading.  A load or unload that the list confirms isn't in progress any
   more.  */
static void
end_model_list (engine_control_t *engine, GHashTable *old_models)
{
  bool present
      = engine->in_progress_model
        && engine_control_find_model (engine, engine->in_progress_model);
  if (engine->in_progress_model && engine->in_progress_kind == ORDER_LOAD
      && !present)
    add_model (engine, engine->in_progress_model, ENGINE_MODEL_LOADING,
               engine->in_progress_since_ns);
  else if (engine->in_progress_model
           && present == (engine->in_progress_kind == ORDER_LOAD))
    g_clear_pointer (&engine->in_progress_model, g_free);
  g_hash_table_unref (old_models);
}

/* Forget the order in flight, the progress and the counts of the old process.
   Its models stay listed until a membership entry or report replaces them.  */
static void
clear_order_state (engine_control_t *engine, uint64_t incarnation)
{
  g_clear_pointer (&engine->order_id, g_free);
  engine->incarnation = incarnation;
  g_clear_pointer (&engine->in_progress_model, g_free);
  g_clear_pointer (&engine->evicting_for, g_free);
  engine->needs_report = false;
  engine->n_accepted = 0;
  engine->confirmed_ns = 0;
}

static const kwf_resident_t *
find_model (const kwf_member_t *member, const char *model)
{
  for (size_t i = 0; i < member->n_models; i++)
    if (strcmp (member->models[i].name, model) == 0)
      return &member->models[i];
  return NULL;
}

/* Detect from MEMBER that the load or unload in progress is complete.  */
static void
check_progress (engine_control_t *engine, const kwf_member_t *member,
                int64_t now_ns)
{
  if (!engine->in_progress_model)
    return;
  bool present = find_model (member, engine->in_progress_model) != NULL;
  engine_model_t *model_state
      = engine_control_find_model (engine, engine->in_progress_model);
  if (present != (engine->in_progress_kind == ORDER_LOAD))
    return;
  if (!present)
    g_hash_table_remove (engine->models, engine->in_progress_model);
  else if (model_state)
    {
      model_state->state = ENGINE_MODEL_RESIDENT;
      model_state->since_ns = now_ns;
    }
  g_clear_pointer (&engine->in_progress_model, g_free);
}

static void
list_adapter (engine_model_t *model_state, const engine_model_t *old,
              const char *adapter, int64_t now_ns)
{
  const int64_t *since
      = old ? g_hash_table_lookup (old->adapters, adapter) : NULL;
  if (old && g_hash_table_contains (old->unloading_adapters, adapter))
    g_hash_table_add (model_state->unloading_adapters, g_strdup (adapter));
  else
    add_adapter (model_state, adapter, since ? *since : now_ns);
}

static void
list_resident (engine_control_t *engine, GHashTable *old_models,
               const kwf_resident_t *model, int64_t now_ns)
{
  const engine_model_t *old = g_hash_table_lookup (old_models, model->name);
  list_model (engine, old_models, model->name, now_ns);
  engine_model_t *model_state
      = engine_control_find_model (engine, model->name);
  for (size_t i = 0; i < model->n_adapters; i++)
    list_adapter (model_state, old, model->adapters[i], now_ns);
}

/* Keep the adapters of OLD_MODELS whose time is less than ADAPTER_LOAD_MAX_NS
   ago or still to come: a membership entry doesn't list an adapter that is
   being loaded.  An adapter that was listed or accepted so recently is kept
   even if it is not being loaded.  */
static void
keep_recent_adapters (engine_control_t *engine, GHashTable *old_models,
                      int64_t now_ns)
{
  GHashTableIter models;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&models, old_models);
  while (g_hash_table_iter_next (&models, &name, &value))
    {
      engine_model_t *model_state = engine_control_find_model (engine, name);
      GHashTableIter adapters;
      gpointer adapter;
      gpointer since_ns;
      g_hash_table_iter_init (&adapters, ((engine_model_t *)value)->adapters);
      while (model_state
             && g_hash_table_iter_next (&adapters, &adapter, &since_ns))
        if (now_ns - *(int64_t *)since_ns < ADAPTER_LOAD_MAX_NS)
          add_adapter (model_state, adapter, *(int64_t *)since_ns);
    }
}

void
engine_control_apply_member (engine_control_t *engine,
                             const kwf_member_t *member, int64_t now_ns)
{
  if (g_strcmp0 (engine->address, member->address) != 0)
    {
      g_free (engine->address);
      engine->address = g_strdup (member->address);
    }
  if (engine->incarnation != member->incarnation)
    clear_order_state (engine, member->incarnation);
  /* An entry that was applied before may be older than changes inferred from
     replies since then.  */
  if (engine->order_id || member->revision == engine->revision)
    return;
  engine->revision = member->revision;
  set_local_weights (engine, member->near, member->n_near);
  check_progress (engine, member, now_ns);
  /* The entry may have been written before the last reply or report.  */
  if (engine->confirmed_ns && now_ns - engine->confirmed_ns < ENTRY_MAX_AGE_NS)
    return;
  GHashTable *old_models;
  begin_model_list (engine, &old_models);
  for (size_t i = 0; i < member->n_models; i++)
    list_resident (engine, old_models, &member->models[i], now_ns);
  keep_recent_adapters (engine, old_models, now_ns);
  end_model_list (engine, old_models);
}

void
engine_control_apply_report (engine_control_t *engine,
                             const kwf_report_event_t *report, int64_t now_ns)
{
  if (!report->valid || engine->order_id
      || report->incarnation != engine->incarnation)
    return;
  engine->not_before_ns = now_ns + RETRY_NS;
  if (report->orders < engine->n_accepted)
    return;
  GHashTable *old_models;
  begin_model_list (engine, &old_models);
  for (size_t i = 0; i < report->n_models; i++)
    list_resident (engine, old_models, &report->models[i], now_ns);
  if (!report->busy)
    g_clear_pointer (&engine->in_progress_model, g_free);
  end_model_list (engine, old_models);
  if (report->n_near)
    set_local_weights (engine, report->near, report->n_near);
  engine->n_accepted = report->orders;
  engine->confirmed_ns = now_ns;
  engine->needs_report = report->busy && !engine->in_progress_model;
}

bool
engine_control_is_ready (const engine_control_t *engine, int64_t now_ns)
{
  return engine->usable && !engine->order_id && !engine->needs_report
         && now_ns >= engine->not_before_ns && !engine->in_progress_model;
}

void
engine_control_send_order (engine_control_t *engine, order_kind_t kind,
                           const char *model, const char *adapter,
                           const engine_control_context_t *context)
{
  static uint64_t number;
  g_free (engine->order_id);
  g_free (engine->model);
  g_free (engine->adapter);
  engine->order_id = g_strdup_printf ("%" PRIu64, ++number);
  engine->kind = kind;
  engine->model = g_strdup (model);
  engine->adapter = g_strdup (adapter);
  engine->sent_ns = context->now_ns;
  engine->expected_ns = context->expected_ns;
  kwf_effects_t *effects = context->effects;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ORDER);
  kwf_order_t order = {
    .server = kwf_effects_strdup (effects, engine->id),
    .address = kwf_effects_strdup (effects, engine->address),
    .id = kwf_effects_strdup (effects, engine->order_id),
    .order = kind == ORDER_LOAD ? "load" : "unload",
    .model = kwf_effects_strdup (effects, model),
    .version = "",
    .adapter = kwf_effects_strdup (effects, adapter),
    .fence = context->token,
    .holder = context->holder,
    .after = engine->n_accepted,
    .timeout_ns = context->until_ns ? context->until_ns - context->now_ns : 0,
  };
  effect->order = order;
}

/* Apply the order that the engine has accepted.  DONE: it is complete
   already.  */
static engine_control_result_t
apply_accepted (engine_control_t *engine, bool done, int64_t now_ns)
{
  bool adapter = *engine->adapter != '\0';
  engine_model_t *model_state
      = engine_control_find_model (engine, engine->model);
  if (adapter && engine->kind == ORDER_LOAD)
    {
      if (model_state)
        add_adapter (model_state, engine->adapter, now_ns + ADAPTER_DELAY_NS);
      return ENGINE_CONTROL_ADAPTER_LOAD;
    }
  if (adapter)
    {
      if (model_state)
        g_hash_table_remove (model_state->adapters, engine->adapter);
      if (model_state && !done)
        {
          g_hash_table_add (model_state->unloading_adapters,
                            g_strdup (engine->adapter));
          engine->next_check_ns = now_ns + PROGRESS_CHECK_NS;
        }
      return ENGINE_CONTROL_ADAPTER_UNLOAD;
    }
  g_free (engine->in_progress_model);
  engine->in_progress_model = done ? NULL : g_strdup (engine->model);
  engine->in_progress_kind = engine->kind;
  engine->in_progress_since_ns = now_ns;
  engine->next_check_ns = now_ns + engine->expected_ns + PROGRESS_CHECK_NS;
  if (engine->kind == ORDER_LOAD)
    {
      add_model (engine, engine->model,
                 done ? ENGINE_MODEL_RESIDENT : ENGINE_MODEL_LOADING, now_ns);
      return ENGINE_CONTROL_MODEL_LOAD;
    }
  if (done)
    g_hash_table_remove (engine->models, engine->model);
  else if (model_state)
    model_state->state = ENGINE_MODEL_UNLOADING;
  return ENGINE_CONTROL_MODEL_UNLOAD;
}

engine_control_result_t
engine_control_handle_reply (engine_control_t *engine,
                             const kwf_order_event_t *event, int64_t now_ns)
{
  if (!engine->order_id || strcmp (engine->order_id, event->id) != 0)
    return ENGINE_CONTROL_NONE;
  g_clear_pointer (&engine->order_id, g_free);
  if (event->status == 202)
    {
      engine->n_accepted++;
      engine->confirmed_ns = now_ns;
      return apply_accepted (engine, false, now_ns);
    }
  if (event->status == 200)
    {
      /* The engine counts an unload of an adapter that no request uses, which
         is done at once.  It doesn't count a load of what is already
         loaded.  */
      engine->n_accepted += *engine->adapter && engine->kind == ORDER_UNLOAD;
      engine->confirmed_ns = now_ns;
      return apply_accepted (engine, true, now_ns);
    }
  engine->not_before_ns = now_ns + RETRY_NS;
  if (!event->status && engine->kind == ORDER_LOAD && !*engine->adapter)
    add_unanswered_load (engine, now_ns);
  if (g_strcmp0 (event->code, "stale_fence") == 0)
    return ENGINE_CONTROL_STALE_TOKEN;
  engine->needs_report = true;
  return ENGINE_CONTROL_NONE;
}

static bool
is_unloading_adapters (const engine_control_t *engine)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_hash_table_size (((engine_model_t *)value)->unloading_adapters))
      return true;
  return false;
}

bool
engine_control_report_is_due (const engine_control_t *engine, int64_t now_ns)
{
  bool check_due
      = (engine->in_progress_model || is_unloading_adapters (engine))
        && now_ns >= engine->next_check_ns;
  return engine->usable && !engine->order_id
         && (engine->needs_report || check_due)
         && now_ns >= engine->not_before_ns;
}

bool
engine_control_request_report (engine_control_t *engine,
                               const engine_control_context_t *context)
{
  if (!engine_control_report_is_due (engine, context->now_ns))
    return false;
  engine->not_before_ns = context->now_ns + 2 * RETRY_NS;
  engine->next_check_ns = context->now_ns + PROGRESS_CHECK_NS;
  kwf_effect_t *effect = kwf_effects_add (context->effects, KWF_FX_PROBE);
  effect->probe.server = kwf_effects_strdup (context->effects, engine->id);
  effect->probe.address
      = kwf_effects_strdup (context->effects, engine->address);
  return true;
}
