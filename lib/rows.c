#include "rows.h"

#include <glib.h>

typedef struct
{
  kwf_row_t row;
  int64_t taken_ns;
} entry_t;

struct rows
{
  GHashTable *entries; /* row key to entry_t */
};

static void
free_entry (void *data)
{
  entry_t *entry = data;
  g_free ((char *)entry->row.key);
  g_free ((char *)entry->row.value);
  g_free (entry);
}

rows_t *
rows_new (void)
{
  rows_t *rows = g_new (rows_t, 1);
  rows->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_entry);
  return rows;
}

void
rows_free (rows_t *rows)
{
  if (!rows)
    return;
  g_hash_table_destroy (rows->entries);
  g_free (rows);
}

const kwf_row_t *
rows_put (rows_t *rows, const kwf_row_t *row, int64_t now_ns)
{
  entry_t *entry = g_hash_table_lookup (rows->entries, row->key);
  if (entry && entry->row.version >= row->version)
    return NULL;
  if (!entry)
    {
      entry = g_new0 (entry_t, 1);
      entry->row.key = g_strdup (row->key);
      g_hash_table_insert (rows->entries, (char *)entry->row.key, entry);
    }
  g_free ((char *)entry->row.value);
  entry->row.value = g_strdup (row->value);
  entry->row.version = row->version;
  entry->taken_ns = now_ns;
  return &entry->row;
}

const kwf_row_t *
rows_get (const rows_t *rows, const char *key)
{
  const entry_t *entry = g_hash_table_lookup (rows->entries, key);
  return entry ? &entry->row : NULL;
}

const kwf_row_t *
rows_after (const rows_t *rows, int64_t after, kwf_effects_t *effects,
            size_t *count)
{
  GHashTableIter iter;
  void *value;
  size_t n = 0;
  *count = 0;
  g_hash_table_iter_init (&iter, rows->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((entry_t *)value)->row.version > after;
  if (!n)
    return NULL;
  kwf_row_t *list = kwf_effects_alloc (effects, n * sizeof *list);
  g_hash_table_iter_init (&iter, rows->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const entry_t *entry = value;
      if (entry->row.version <= after)
        continue;
      list[(*count)++] = (kwf_row_t){
        .key = kwf_effects_strdup (effects, entry->row.key),
        .version = entry->row.version,
        .value = kwf_effects_strdup (effects, entry->row.value),
      };
    }
  return list;
}

static gboolean
is_old (void *key, void *value, void *data)
{
  (void)key;
  const entry_t *entry = value;
  return !entry->row.value && entry->taken_ns < *(const int64_t *)data;
}

void
rows_prune (rows_t *rows, int64_t before_ns)
{
  g_hash_table_foreach_remove (rows->entries, is_old, &before_ns);
}
