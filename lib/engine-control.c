#include "engine-control.h"

#include <inttypes.h>
#include <string.h>

/* Time from the answer to an adapter's load until it can be used, as long as
   the weight store is not crowded.  */
#define ADAPTER_NS (15 * KWF_NS_PER_MS)
/* Pause before a question or order after one that did not succeed.  The
   engine's reports lag by some hundred milliseconds.  */
#define AGAIN_NS (200 * KWF_NS_PER_MS)
/* What the membership list says of an engine is this old at most: a heartbeat
   of 1.2 s, 0.8 s until it is listed, and 1.35 s until this instance looks
   itself when it is told nothing.  */
#define ENTRY_LAG_NS (3400 * KWF_NS_PER_MS)
/* An order that was not answered is carried out this long after it was sent
   at most.  */
#define LATE_NS (15 * KWF_NS_PER_S)
/* An engine is asked whether it has carried out an order this long after the
   order should be done, and again after the same time.  Its entry in the
   list tells the same later, and not at all while the platform is away.  */
#define CARRY_AGAIN_NS (400 * KWF_NS_PER_MS)
/* A crowded weight store delivers an adapter within this time.  */
#define COMING_NS (10 * KWF_NS_PER_S)

static void
held_free (void *data)
{
  engine_model_t *held = data;
  g_hash_table_unref (held->adapters);
  g_hash_table_unref (held->leaving);
  g_free (held);
}

static GHashTable *
new_models (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, held_free);
}

static void
late_clear (void *data)
{
  unanswered_load_t *late = data;
  g_free (late->model);
}

engine_control_t *
engine_control_new (const server_t *server)
{
  engine_control_t *desk = g_new0 (engine_control_t, 1);
  desk->id = g_strdup (server->id);
  desk->service = g_strdup (server->name);
  desk->models = new_models ();
  desk->near = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  desk->late = g_array_new (FALSE, FALSE, sizeof (unanswered_load_t));
  g_array_set_clear_func (desk->late, late_clear);
  return desk;
}

void
engine_control_free (void *data)
{
  engine_control_t *desk = data;
  g_free (desk->id);
  g_free (desk->address);
  g_free (desk->service);
  g_free (desk->order_id);
  g_free (desk->model);
  g_free (desk->adapter);
  g_free (desk->carried);
  g_free (desk->promised);
  g_array_free (desk->late, TRUE);
  g_hash_table_unref (desk->models);
  g_hash_table_unref (desk->near);
  g_free (desk);
}

engine_model_t *
engine_control_find_model (const engine_control_t *desk, const char *model)
{
  return g_hash_table_lookup (desk->models, model);
}

bool
engine_control_has_adapter (const engine_control_t *desk, const char *model,
                            const char *adapter)
{
  const engine_model_t *held = engine_control_find_model (desk, model);
  return held && g_hash_table_contains (held->adapters, adapter);
}

int
engine_control_n_adapters (const engine_control_t *desk)
{
  int n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, desk->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_model_t *held = value;
      n += (int)g_hash_table_size (held->adapters);
      n += (int)g_hash_table_size (held->leaving);
    }
  return n;
}

bool
engine_control_has_local_weights (const engine_control_t *desk,
                                  const char *model)
{
  return g_hash_table_contains (desk->near, model);
}

static void
take_near (engine_control_t *desk, const char *const *near, size_t n_near)
{
  g_hash_table_remove_all (desk->near);
  for (size_t i = 0; i < n_near; i++)
    g_hash_table_add (desk->near, g_strdup (near[i]));
}

void
engine_control_set_evicting_for (engine_control_t *desk, const char *model,
                                 int64_t now_ns)
{
  char *copy = g_strdup (model);
  g_free (desk->promised);
  desk->promised = copy;
  desk->promised_ns = now_ns;
}

/* Remember the order under way, which was not answered, and forget those that
   cannot be carried out any more.  */
static void
note_late (engine_control_t *desk, int64_t now_ns)
{
  for (guint i = desk->late->len; i-- > 0;)
    if (now_ns - g_array_index (desk->late, unanswered_load_t, i).sent_ns
        >= LATE_NS)
      g_array_remove_index_fast (desk->late, i);
  unanswered_load_t late = { .model = g_strdup (desk->model),
                             .sent_ns = desk->sent_ns,
                             .incarnation = desk->incarnation };
  g_array_append_val (desk->late, late);
}

static int64_t
late_mb (const engine_control_t *desk, const kwf_lists_t *lists,
         int64_t now_ns)
{
  int64_t mb = 0;
  for (guint i = 0; i < desk->late->len; i++)
    {
      const unanswered_load_t *late
          = &g_array_index (desk->late, unanswered_load_t, i);
      const kwf_model_t *model = kwf_lists_model (lists, late->model);
      if (late->incarnation != desk->incarnation && model
          && now_ns - late->sent_ns < LATE_NS
          && !engine_control_find_model (desk, late->model))
        mb += model->memory_mb;
    }
  return mb;
}

int64_t
engine_control_used_mb (const engine_control_t *desk, const kwf_lists_t *lists,
                        int64_t now_ns)
{
  int64_t mb = late_mb (desk, lists, now_ns);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, desk->models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const kwf_model_t *model = kwf_lists_model (lists, name);
      mb += model ? model->memory_mb : 0;
    }
  return mb;
}

static engine_model_t *
add_model (engine_control_t *desk, const char *name,
           engine_model_state_t state, int64_t now_ns)
{
  engine_model_t *held = g_new0 (engine_model_t, 1);
  held->state = state;
  held->since_ns = now_ns;
  held->adapters
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  held->leaving
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_replace (desk->models, g_strdup (name), held);
  return held;
}

static void
add_adapter (engine_model_t *held, const char *adapter, int64_t since_ns)
{
  int64_t *since = g_new (int64_t, 1);
  *since = since_ns;
  g_hash_table_replace (held->adapters, g_strdup (adapter), since);
}

/* Whether a model order that is carried out explains that MODEL is or is not
   in a description.  */
static bool
is_carried (const engine_control_t *desk, const char *model)
{
  return g_strcmp0 (desk->carried, model) == 0;
}

/* The engine's own account replaces what was concluded from answers.  */
static void
begin_account (engine_control_t *desk, GHashTable **before)
{
  *before = desk->models;
  desk->models = new_models ();
}

static void
account_model (engine_control_t *desk, GHashTable *before, const char *name,
               int64_t now_ns)
{
  const engine_model_t *old = g_hash_table_lookup (before, name);
  bool leaving = is_carried (desk, name) && desk->carried_kind == ORDER_UNLOAD;
  bool loaded = old && old->state == ENGINE_MODEL_LOADING;
  add_model (desk, name,
             leaving ? ENGINE_MODEL_UNLOADING : ENGINE_MODEL_RESIDENT,
             old && !loaded ? old->since_ns : now_ns);
}

static void
end_account (engine_control_t *desk, GHashTable *before)
{
  bool there
      = desk->carried && engine_control_find_model (desk, desk->carried);
  if (desk->carried && desk->carried_kind == ORDER_LOAD && !there)
    add_model (desk, desk->carried, ENGINE_MODEL_LOADING, desk->carried_ns);
  else if (desk->carried && there == (desk->carried_kind == ORDER_LOAD))
    g_clear_pointer (&desk->carried, g_free);
  g_hash_table_unref (before);
}

static void
restart (engine_control_t *desk, uint64_t incarnation)
{
  g_clear_pointer (&desk->order_id, g_free);
  desk->incarnation = incarnation;
  g_clear_pointer (&desk->carried, g_free);
  g_clear_pointer (&desk->promised, g_free);
  desk->doubtful = false;
  desk->orders = 0;
  desk->known_ns = 0;
}

static const kwf_resident_t *
find_model (const kwf_member_t *member, const char *model)
{
  for (size_t i = 0; i < member->n_models; i++)
    if (strcmp (member->models[i].name, model) == 0)
      return &member->models[i];
  return NULL;
}

/* Notice the end of a load or unload of a model.  */
static void
note_carried (engine_control_t *desk, const kwf_member_t *member,
              int64_t now_ns)
{
  if (!desk->carried)
    return;
  bool there = find_model (member, desk->carried) != NULL;
  engine_model_t *held = engine_control_find_model (desk, desk->carried);
  if (there != (desk->carried_kind == ORDER_LOAD))
    return;
  if (!there)
    g_hash_table_remove (desk->models, desk->carried);
  else if (held)
    {
      held->state = ENGINE_MODEL_RESIDENT;
      held->since_ns = now_ns;
    }
  g_clear_pointer (&desk->carried, g_free);
}

static void
account_adapter (engine_model_t *held, const engine_model_t *old,
                 const char *adapter, int64_t now_ns)
{
  const int64_t *since
      = old ? g_hash_table_lookup (old->adapters, adapter) : NULL;
  if (old && g_hash_table_contains (old->leaving, adapter))
    g_hash_table_add (held->leaving, g_strdup (adapter));
  else
    add_adapter (held, adapter, since ? *since : now_ns);
}

static void
account_resident (engine_control_t *desk, GHashTable *before,
                  const kwf_resident_t *model, int64_t now_ns)
{
  const engine_model_t *old = g_hash_table_lookup (before, model->name);
  account_model (desk, before, model->name, now_ns);
  engine_model_t *held = engine_control_find_model (desk, model->name);
  for (size_t i = 0; i < model->n_adapters; i++)
    account_adapter (held, old, model->adapters[i], now_ns);
}

/* An entry does not list adapters that are on their way: keep those that were
   ordered lately.  */
static void
keep_coming (engine_control_t *desk, GHashTable *before, int64_t now_ns)
{
  GHashTableIter models;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&models, before);
  while (g_hash_table_iter_next (&models, &name, &value))
    {
      engine_model_t *held = engine_control_find_model (desk, name);
      GHashTableIter adapters;
      gpointer adapter;
      gpointer since_ns;
      g_hash_table_iter_init (&adapters, ((engine_model_t *)value)->adapters);
      while (held && g_hash_table_iter_next (&adapters, &adapter, &since_ns))
        if (now_ns - *(int64_t *)since_ns < COMING_NS)
          add_adapter (held, adapter, *(int64_t *)since_ns);
    }
}

void
engine_control_apply_member (engine_control_t *desk,
                             const kwf_member_t *member, int64_t now_ns)
{
  if (g_strcmp0 (desk->address, member->address) != 0)
    {
      g_free (desk->address);
      desk->address = g_strdup (member->address);
    }
  if (desk->incarnation != member->incarnation)
    restart (desk, member->incarnation);
  /* An entry that was looked at before may be older than what was concluded
     since from answers to orders.  */
  if (desk->order_id || member->revision == desk->revision)
    return;
  desk->revision = member->revision;
  take_near (desk, member->near, member->n_near);
  note_carried (desk, member, now_ns);
  /* The entry may have been written before the last answer or report.  */
  if (desk->known_ns && now_ns - desk->known_ns < ENTRY_LAG_NS)
    return;
  GHashTable *before;
  begin_account (desk, &before);
  for (size_t i = 0; i < member->n_models; i++)
    account_resident (desk, before, &member->models[i], now_ns);
  keep_coming (desk, before, now_ns);
  end_account (desk, before);
}

void
engine_control_apply_report (engine_control_t *desk,
                             const kwf_report_event_t *report, int64_t now_ns)
{
  if (!report->valid || desk->order_id
      || report->incarnation != desk->incarnation)
    return;
  desk->again_ns = now_ns + AGAIN_NS;
  if (report->orders < desk->orders)
    return;
  GHashTable *before;
  begin_account (desk, &before);
  for (size_t i = 0; i < report->n_models; i++)
    account_resident (desk, before, &report->models[i], now_ns);
  if (!report->busy)
    g_clear_pointer (&desk->carried, g_free);
  end_account (desk, before);
  if (report->n_near)
    take_near (desk, report->near, report->n_near);
  desk->orders = report->orders;
  desk->known_ns = now_ns;
  desk->doubtful = report->busy && !desk->carried;
}

bool
engine_control_is_ready (const engine_control_t *desk, int64_t now_ns)
{
  return desk->usable && !desk->order_id && !desk->doubtful
         && now_ns >= desk->again_ns && !desk->carried;
}

void
engine_control_send_order (engine_control_t *desk, order_kind_t kind,
                           const char *model, const char *adapter,
                           const engine_control_context_t *context)
{
  static uint64_t number;
  g_free (desk->order_id);
  g_free (desk->model);
  g_free (desk->adapter);
  desk->order_id = g_strdup_printf ("%" PRIu64, ++number);
  desk->kind = kind;
  desk->model = g_strdup (model);
  desk->adapter = g_strdup (adapter);
  desk->sent_ns = context->now_ns;
  desk->expected_ns = context->expected_ns;
  kwf_effects_t *effects = context->effects;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ORDER);
  kwf_order_t order = {
    .server = kwf_effects_strdup (effects, desk->id),
    .address = kwf_effects_strdup (effects, desk->address),
    .id = kwf_effects_strdup (effects, desk->order_id),
    .order = kind == ORDER_LOAD ? "load" : "unload",
    .model = kwf_effects_strdup (effects, model),
    .version = "",
    .adapter = kwf_effects_strdup (effects, adapter),
    .fence = context->token,
    .holder = context->holder,
    .after = desk->orders,
    .timeout_ns = context->until_ns ? context->until_ns - context->now_ns : 0,
  };
  effect->order = order;
}

static engine_control_result_t
accept (engine_control_t *desk, bool done, int64_t now_ns)
{
  bool adapter = *desk->adapter != '\0';
  engine_model_t *held = engine_control_find_model (desk, desk->model);
  if (adapter && desk->kind == ORDER_LOAD)
    {
      if (held)
        add_adapter (held, desk->adapter, now_ns + ADAPTER_NS);
      return ENGINE_CONTROL_ADAPTER_LOAD;
    }
  if (adapter)
    {
      if (held)
        g_hash_table_remove (held->adapters, desk->adapter);
      if (held && !done)
        {
          g_hash_table_add (held->leaving, g_strdup (desk->adapter));
          desk->carry_again_ns = now_ns + CARRY_AGAIN_NS;
        }
      return ENGINE_CONTROL_ADAPTER_UNLOAD;
    }
  g_free (desk->carried);
  desk->carried = done ? NULL : g_strdup (desk->model);
  desk->carried_kind = desk->kind;
  desk->carried_ns = now_ns;
  desk->carry_again_ns = now_ns + desk->expected_ns + CARRY_AGAIN_NS;
  if (desk->kind == ORDER_LOAD)
    {
      add_model (desk, desk->model,
                 done ? ENGINE_MODEL_RESIDENT : ENGINE_MODEL_LOADING, now_ns);
      return ENGINE_CONTROL_MODEL_LOAD;
    }
  if (done)
    g_hash_table_remove (desk->models, desk->model);
  else if (held)
    held->state = ENGINE_MODEL_UNLOADING;
  return ENGINE_CONTROL_MODEL_UNLOAD;
}

engine_control_result_t
engine_control_handle_reply (engine_control_t *desk,
                             const kwf_order_event_t *event, int64_t now_ns)
{
  if (!desk->order_id || strcmp (desk->order_id, event->id) != 0)
    return ENGINE_CONTROL_NONE;
  g_clear_pointer (&desk->order_id, g_free);
  if (event->status == 202)
    {
      desk->orders++;
      desk->known_ns = now_ns;
      return accept (desk, false, now_ns);
    }
  if (event->status == 200)
    {
      /* An adapter that nothing uses is unloaded at once, which counts; a
         load of what is there does not.  */
      desk->orders += *desk->adapter && desk->kind == ORDER_UNLOAD;
      desk->known_ns = now_ns;
      return accept (desk, true, now_ns);
    }
  desk->again_ns = now_ns + AGAIN_NS;
  if (!event->status && desk->kind == ORDER_LOAD && !*desk->adapter)
    note_late (desk, now_ns);
  if (g_strcmp0 (event->code, "stale_fence") == 0)
    return ENGINE_CONTROL_STALE_TOKEN;
  desk->doubtful = true;
  return ENGINE_CONTROL_NONE;
}

static bool
is_leaving_adapters (const engine_control_t *desk)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, desk->models);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_hash_table_size (((engine_model_t *)value)->leaving))
      return true;
  return false;
}

bool
engine_control_request_report (engine_control_t *desk,
                               const engine_control_context_t *context)
{
  bool slow = (desk->carried || is_leaving_adapters (desk))
              && context->now_ns >= desk->carry_again_ns;
  if (!desk->usable || desk->order_id || (!desk->doubtful && !slow)
      || context->now_ns < desk->again_ns)
    return false;
  desk->again_ns = context->now_ns + 2 * AGAIN_NS;
  desk->carry_again_ns = context->now_ns + CARRY_AGAIN_NS;
  kwf_effect_t *effect = kwf_effects_add (context->effects, KWF_FX_PROBE);
  effect->probe.server = kwf_effects_strdup (context->effects, desk->id);
  effect->probe.address = kwf_effects_strdup (context->effects, desk->address);
  return true;
}
