#include "placement-copies.h"

typedef struct
{
  const engine_control_t *engine;
  const engine_model_t *model;
} copy_t;

static void
copies_free (void *data)
{
  copies_t *copies = data;
  g_array_free (copies->list, TRUE);
  g_free (copies);
}

/* A copy on an engine with a scarce limit counts only if there is no other. */
static void
add_copy (GHashTable *table, const char *model, const copy_t *copy)
{
  bool scarce = copy->engine->scarce;
  copies_t *copies = g_hash_table_lookup (table, model);
  if (!copies)
    {
      copies = g_new0 (copies_t, 1);
      copies->list = g_array_new (FALSE, FALSE, sizeof (copy_t));
      copies->scarce = scarce;
      g_hash_table_insert (table, (gpointer)model, copies);
    }
  if (copies->scarce && !scarce)
    g_array_set_size (copies->list, 0);
  else if (scarce && !copies->scarce)
    return;
  copies->scarce = scarce;
  g_array_append_vals (copies->list, copy, 1);
  copies->n = copies->list->len;
}

GHashTable *
copies_find (GHashTable *engines)
{
  GHashTable *copies
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, copies_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, engines);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const engine_control_t *engine = value;
      GHashTableIter models;
      gpointer name;
      gpointer model_state;
      g_hash_table_iter_init (&models, engine->models);
      while (engine->usable
             && g_hash_table_iter_next (&models, &name, &model_state))
        if (((engine_model_t *)model_state)->state == ENGINE_MODEL_RESIDENT)
          add_copy (copies, name, &(copy_t){ engine, model_state });
    }
  return copies;
}

int
copies_with_adapter (const copies_t *copies, const char *adapter,
                     uint64_t excluded)
{
  int n = 0;
  for (guint i = 0; i < copies->n; i++)
    {
      const copy_t *copy = &g_array_index (copies->list, copy_t, i);
      n += !(copy->engine->region & excluded)
           && g_hash_table_contains (copy->model->adapters, adapter);
    }
  return n;
}
