/* Models in the memory of the engine stand-in, and the orders that load and
   unload them.  Memory is reserved when a load starts and freed when an unload
   ends.  */

#include "common-engine.h"

#include <stdlib.h>
#include <string.h>

/* Interval of the check whether the last sequence of a model to be unloaded
   has ended.  */
#define UNLOAD_POLL_MS 10

void
models_init (models_t *models, struct ev_loop *loop)
{
  models->loop = loop;
  models->models = g_ptr_array_new ();
  models->changes = g_ptr_array_new ();
  models->sizes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  models->order_states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static model_t *
new_model (models_t *models, const char *name, const char *version,
           int64_t memory_mb)
{
  model_t *model = g_new0 (model_t, 1);
  model->name = g_strdup (name);
  model->version = g_strdup (version);
  model->memory_mb = memory_mb;
  model->adapters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (models->models, model);
  return model;
}

static void
add_size (models_t *models, const char *name, int64_t memory_mb)
{
  int64_t *size = g_new (int64_t, 1);
  *size = memory_mb;
  g_hash_table_replace (models->sizes, g_strdup (name), size);
}

bool
models_add (models_t *models, const char *text)
{
  char **fields = g_strsplit (text, ":", 4);
  bool valid = g_strv_length (fields) >= 3;
  if (valid)
    {
      int64_t memory_mb = g_ascii_strtoll (fields[2], NULL, 10);
      model_t *model = new_model (models, fields[0], fields[1], memory_mb);
      model->state = MODEL_LOADED;
      char **adapters = g_strsplit (fields[3] ? fields[3] : "", ",", 0);
      for (char **adapter = adapters; *adapter; adapter++)
        if (**adapter)
          g_ptr_array_add (model->adapters, g_strdup (*adapter));
      g_strfreev (adapters);
      add_size (models, fields[0], memory_mb);
    }
  g_strfreev (fields);
  return valid;
}

bool
models_add_size (models_t *models, const char *text)
{
  const char *colon = strrchr (text, ':');
  if (!colon)
    return false;
  char *name = g_strndup (text, (gsize)(colon - text));
  add_size (models, name, g_ascii_strtoll (colon + 1, NULL, 10));
  g_free (name);
  return true;
}

model_t *
models_find (const models_t *models, const char *name)
{
  for (guint i = 0; i < models->models->len; i++)
    {
      model_t *model = g_ptr_array_index (models->models, i);
      if (model->state == MODEL_LOADED && strcmp (model->name, name) == 0)
        return model;
    }
  return NULL;
}

static model_t *
find_version (const models_t *models, const char *name, const char *version)
{
  for (guint i = 0; i < models->models->len; i++)
    {
      model_t *model = g_ptr_array_index (models->models, i);
      if (strcmp (model->name, name) == 0
          && (!version || strcmp (model->version, version) == 0))
        return model;
    }
  return NULL;
}

bool
model_has_adapter (const model_t *model, const char *adapter)
{
  return g_ptr_array_find_with_equal_func (model->adapters, adapter,
                                           g_str_equal, NULL);
}

int64_t
models_used_mb (const models_t *models)
{
  int64_t used_mb = 0;
  for (guint i = 0; i < models->models->len; i++)
    used_mb += ((model_t *)g_ptr_array_index (models->models, i))->memory_mb;
  return used_mb;
}

json_t *
models_json (const models_t *models)
{
  json_t *list = json_array ();
  for (guint i = 0; i < models->models->len; i++)
    {
      const model_t *model = g_ptr_array_index (models->models, i);
      if (model->state != MODEL_LOADED)
        continue;
      json_t *adapters = json_array ();
      for (guint k = 0; k < model->adapters->len; k++)
        json_array_append_new (
            adapters, json_string (g_ptr_array_index (model->adapters, k)));
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:o}", "name", model->name, "version",
                           model->version, "adapters", adapters));
    }
  return list;
}

json_t *
models_orders_json (const models_t *models)
{
  json_t *states = json_object ();
  GHashTableIter walk;
  gpointer id;
  gpointer state;
  g_hash_table_iter_init (&walk, models->order_states);
  while (g_hash_table_iter_next (&walk, &id, &state))
    json_object_set_new (states, id, json_string (state));
  return states;
}

static void
set_order_state (models_t *models, const char *id, char *state)
{
  if (id)
    g_hash_table_replace (models->order_states, g_strdup (id), state);
}

static int64_t
size_of_model (const models_t *models, const char *name, const char *version,
               const json_t *order)
{
  const json_t *given = json_object_get (order, "memory_mb");
  if (json_is_integer (given))
    return json_integer_value (given);
  char *key = g_strdup_printf ("%s:%s", name, version ? version : "");
  const int64_t *size = g_hash_table_lookup (models->sizes, key);
  g_free (key);
  if (!size)
    size = g_hash_table_lookup (models->sizes, name);
  return size ? *size : -1;
}

/* A load or unload under way.  */
typedef struct
{
  models_t *models;
  model_t *model;
  char *adapter;     /* NULL: the model itself */
  GPtrArray *orders; /* ids of the orders that are done when it ends */
} change_t;

static void
add_order (change_t *change, const char *order)
{
  set_order_state (change->models, order, "running");
  g_ptr_array_add (change->orders, g_strdup (order));
}

static change_t *
new_change (models_t *models, model_t *model, const char *adapter,
            const char *order)
{
  change_t *change = g_new0 (change_t, 1);
  change->models = models;
  change->model = model;
  change->adapter = g_strdup (adapter);
  change->orders = g_ptr_array_new_with_free_func (g_free);
  add_order (change, order);
  g_ptr_array_add (models->changes, change);
  return change;
}

/* If the same change is under way, let ORDER be done when that ends.  */
static bool
join_change (const models_t *models, const model_t *model, const char *adapter,
             const char *order)
{
  for (guint i = 0; i < models->changes->len; i++)
    {
      change_t *change = g_ptr_array_index (models->changes, i);
      if (change->model != model || g_strcmp0 (change->adapter, adapter) != 0)
        continue;
      add_order (change, order);
      return true;
    }
  return false;
}

static void
finish_change (change_t *change)
{
  for (guint i = 0; i < change->orders->len; i++)
    set_order_state (change->models, g_ptr_array_index (change->orders, i),
                     "done");
  g_ptr_array_remove (change->models->changes, change);
  g_ptr_array_free (change->orders, TRUE);
  g_free (change->adapter);
  g_free (change);
}

static void
end_load (void *data)
{
  change_t *change = data;
  if (change->adapter)
    {
      change->models->n_adapters_loading--;
      change->model->n_sequences--;
      if (!model_has_adapter (change->model, change->adapter))
        g_ptr_array_add (change->model->adapters, g_strdup (change->adapter));
    }
  else
    {
      change->models->n_loading--;
      change->model->state = MODEL_LOADED;
    }
  finish_change (change);
}

static void
end_unload (void *data)
{
  change_t *change = data;
  model_t *model = change->model;
  g_ptr_array_remove (change->models->models, model);
  g_ptr_array_free (model->adapters, TRUE);
  g_free (model->name);
  g_free (model->version);
  g_free (model);
  finish_change (change);
}

static void
unload_when_idle (void *data)
{
  change_t *change = data;
  if (change->model->n_sequences > 0)
    standin_after (change->models->loop, UNLOAD_POLL_MS, unload_when_idle,
                   change);
  else
    standin_after (change->models->loop, change->models->unload_ms, end_unload,
                   change);
}

typedef struct
{
  int status;
  const char *code; /* NULL: accepted */
  const char *message;
} order_result_t;

static const order_result_t accepted = { 202, NULL, NULL };

static void
start_load (models_t *models, change_t *change)
{
  models->n_loading++;
  models->n_loads++;
  double crowd = (double)models->n_loading / (double)models->full_speed_loads;
  standin_after (models->loop, models->load_ms * MAX (1, crowd), end_load,
                 change);
}

static void
start_adapter_load (models_t *models, change_t *change)
{
  models->n_adapters_loading++;
  double crowd = (double)models->n_adapters_loading
                 / (double)models->full_speed_adapters;
  standin_after (models->loop, models->adapter_ms * MAX (1, crowd), end_load,
                 change);
}

static order_result_t
order_load (models_t *models, const json_t *order, const char *id,
            const char *name, const char *version)
{
  const char *adapter = json_string_value (json_object_get (order, "adapter"));
  model_t *model = find_version (models, name, version);
  if (adapter && *adapter)
    {
      if (!model || model->state != MODEL_LOADED)
        return (order_result_t){ 409, "model_not_loaded",
                                 "the model of the adapter is not loaded" };
      if (model_has_adapter (model, adapter))
        {
          set_order_state (models, id, "done");
          return accepted;
        }
      if (join_change (models, model, adapter, id))
        return accepted;
      /* Counts as a sequence, so that the model is not unloaded before the end
         of the adapter's load.  */
      model->n_sequences++;
      start_adapter_load (models, new_change (models, model, adapter, id));
      return accepted;
    }
  if (model && model->state != MODEL_UNLOADING)
    {
      if (!join_change (models, model, NULL, id))
        set_order_state (models, id, "done");
      return accepted;
    }
  int64_t memory_mb = size_of_model (models, name, version, order);
  if (memory_mb < 0)
    return (order_result_t){ 400, "unknown_model",
                             "the model's size is unknown" };
  if (models_used_mb (models) + memory_mb > models->memory_total_mb)
    {
      models->memory_exceeded++;
      return (order_result_t){ 507, "memory_exceeded",
                               "the model does not fit into the free memory" };
    }
  model = new_model (models, name, version ? version : "", memory_mb);
  model->state = MODEL_LOADING;
  start_load (models, new_change (models, model, NULL, id));
  return accepted;
}

static order_result_t
order_unload (models_t *models, const json_t *order, const char *id,
              const char *name, const char *version)
{
  const char *adapter = json_string_value (json_object_get (order, "adapter"));
  model_t *model = find_version (models, name, version);
  if (!model || model->state == MODEL_UNLOADING)
    {
      if (!model || !join_change (models, model, NULL, id))
        set_order_state (models, id, "done");
      return accepted;
    }
  if (adapter && *adapter)
    {
      guint at;
      if (g_ptr_array_find_with_equal_func (model->adapters, adapter,
                                            g_str_equal, &at))
        g_ptr_array_remove_index (model->adapters, at);
      set_order_state (models, id, "done");
      return accepted;
    }
  if (model->state == MODEL_LOADING)
    return (order_result_t){ 409, "model_loading",
                             "the model is being loaded" };
  model->state = MODEL_UNLOADING;
  unload_when_idle (new_change (models, model, NULL, id));
  return accepted;
}

static order_result_t
apply_order (models_t *models, const json_t *order, const char *id)
{
  const char *kind = json_string_value (json_object_get (order, "order"));
  const char *name = json_string_value (json_object_get (order, "model"));
  const char *version = json_string_value (json_object_get (order, "version"));
  if (!kind)
    return (order_result_t){ 400, "invalid_order", "order is missing" };
  if (strcmp (kind, "role") == 0)
    {
      standin_set_text (order, "role", &models->role);
      set_order_state (models, id, "done");
      return accepted;
    }
  if (!name)
    return (order_result_t){ 400, "invalid_order", "model is missing" };
  if (strcmp (kind, "load") == 0)
    return order_load (models, order, id, name, version);
  if (strcmp (kind, "unload") == 0)
    return order_unload (models, order, id, name, version);
  return (order_result_t){ 400, "invalid_order", "the order is not known" };
}

/* An order that arrives again with the same id is not carried out again.  */
void
models_serve_order (models_t *models, server_t *server,
                    const server_request_t *request)
{
  json_t *order = standin_body (server, request);
  if (!order)
    return;
  const char *id = json_string_value (json_object_get (order, "id"));
  const json_t *fence = json_object_get (order, "fence");
  order_result_t result = accepted;
  bool stale = json_is_integer (fence)
               && json_integer_value (fence) < models->newest_fence;
  if (models->fencing && stale)
    result = (order_result_t){ 409, "stale_fence", "a newer fence was seen" };
  else if (json_is_integer (fence) && !stale)
    models->newest_fence = json_integer_value (fence);
  bool known = id && g_hash_table_contains (models->order_states, id);
  if (!result.code && !known)
    result = apply_order (models, order, id);
  if (result.code)
    standin_error (server, request->handle, result.status, result.code,
                   result.message);
  else
    standin_reply (
        server, request->handle, result.status,
        json_pack ("{s:s?, s:s?}", "id", id, "state",
                   id ? (char *)g_hash_table_lookup (models->order_states, id)
                      : NULL));
  json_decref (order);
}
