#include "common-table.h"

#include <glib.h>
#include <string.h>

typedef struct group group_t;

typedef struct
{
  char *key;
  json_t *value; /* NULL: deleted */
  int64_t version;
  uint64_t read; /* number of the last read that returned this row */
  group_t *group;
  GList link; /* in ROWS of the group */
} row_t;

struct group
{
  char *name;
  GQueue rows; /* of row_t; the row that changed last is at the tail */
};

struct table
{
  GTree *by_key;      /* key to row_t */
  GHashTable *rows;   /* key to row_t */
  GHashTable *groups; /* name to group_t */
  int64_t revision;
  size_t n_live;
  uint64_t n_reads;
  uint64_t examined;
};

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static void
free_row (gpointer data)
{
  row_t *row = data;
  json_decref (row->value);
  g_free (row->key);
  g_free (row);
}

static void
free_group (gpointer data)
{
  group_t *group = data;
  g_free (group->name);
  g_free (group);
}

table_t *
table_new (void)
{
  table_t *table = g_new0 (table_t, 1);
  table->by_key = g_tree_new_full (compare_keys, NULL, NULL, NULL);
  table->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_row);
  table->groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_group);
  return table;
}

void
table_free (table_t *table)
{
  g_tree_destroy (table->by_key);
  g_hash_table_destroy (table->rows);
  g_hash_table_destroy (table->groups);
  g_free (table);
}

int64_t
table_revision (const table_t *table)
{
  return table->revision;
}

size_t
table_size (const table_t *table)
{
  return table->n_live;
}

uint64_t
table_rows_examined (const table_t *table)
{
  return table->examined;
}

static size_t
group_size (const char *key)
{
  const char *slash = strchr (key, '/');
  return slash ? (size_t)(slash - key) + 1 : strlen (key);
}

static group_t *
group_of (table_t *table, const char *key)
{
  char *name = g_strndup (key, group_size (key));
  group_t *group = g_hash_table_lookup (table->groups, name);
  if (group)
    {
      g_free (name);
      return group;
    }
  group = g_new0 (group_t, 1);
  group->name = name;
  g_hash_table_insert (table->groups, name, group);
  return group;
}

/* Set a row to VALUE, with the table's revision as its version.  A NULL VALUE
   deletes the row.  */
static void
set_row (table_t *table, const char *key, json_t *value)
{
  row_t *row = g_hash_table_lookup (table->rows, key);
  if (json_is_null (value))
    value = NULL;
  if (!row && !value)
    return;
  if (!row)
    {
      row = g_new0 (row_t, 1);
      row->key = g_strdup (key);
      row->group = group_of (table, key);
      row->link.data = row;
      g_hash_table_insert (table->rows, row->key, row);
      g_tree_insert (table->by_key, row->key, row);
    }
  else
    g_queue_unlink (&row->group->rows, &row->link);
  g_queue_push_tail_link (&row->group->rows, &row->link);
  table->n_live += (value != NULL);
  table->n_live -= (row->value != NULL);
  json_decref (row->value);
  row->value = json_incref (value);
  row->version = table->revision;
}

static json_t *
row_json (const char *key, int64_t version, json_t *value)
{
  json_t *json = json_object ();
  json_object_set_new (json, "key", json_string (key));
  json_object_set_new (json, "version", json_integer (version));
  if (value)
    json_object_set (json, "value", value);
  else
    json_object_set_new (json, "value", json_null ());
  return json;
}

json_t *
table_get (const table_t *table, const char *key)
{
  const row_t *row = g_hash_table_lookup (table->rows, key);
  return row && row->value ? row_json (key, row->version, row->value) : NULL;
}

static void
collect_changes (table_t *table, const group_t *group, const char *prefix,
                 int64_t after, GPtrArray *found)
{
  for (GList *link = group->rows.tail; link; link = link->prev)
    {
      row_t *row = link->data;
      if (row->version <= after)
        return;
      table->examined++;
      if (row->read != table->n_reads && g_str_has_prefix (row->key, prefix))
        {
          row->read = table->n_reads;
          g_ptr_array_add (found, row);
        }
    }
}

static void
collect_by_key (table_t *table, const char *prefix, int64_t after,
                GPtrArray *found)
{
  GTreeNode *node = g_tree_lower_bound (table->by_key, prefix);
  for (; node; node = g_tree_node_next (node))
    {
      row_t *row = g_tree_node_value (node);
      if (!g_str_has_prefix (row->key, prefix))
        return;
      table->examined++;
      if (row->version > after && row->read != table->n_reads)
        {
          row->read = table->n_reads;
          g_ptr_array_add (found, row);
        }
    }
}

static void
collect (table_t *table, const char *prefix, int64_t after, GPtrArray *found)
{
  size_t size = group_size (prefix);
  if (prefix[size])
    {
      collect_by_key (table, prefix, after, found);
      return;
    }
  if (size && prefix[size - 1] == '/')
    {
      const group_t *group = g_hash_table_lookup (table->groups, prefix);
      if (group)
        collect_changes (table, group, prefix, after, found);
      return;
    }
  GHashTableIter walk;
  gpointer group;
  g_hash_table_iter_init (&walk, table->groups);
  while (g_hash_table_iter_next (&walk, NULL, &group))
    if (g_str_has_prefix (((group_t *)group)->name, prefix))
      collect_changes (table, group, prefix, after, found);
}

static gint
compare_versions (gconstpointer a, gconstpointer b)
{
  const row_t *first = *(row_t *const *)a;
  const row_t *second = *(row_t *const *)b;
  if (first->version != second->version)
    return first->version < second->version ? -1 : 1;
  return strcmp (first->key, second->key);
}

static void
append_rows (GPtrArray *found, json_t *rows)
{
  g_ptr_array_sort (found, compare_versions);
  for (guint i = 0; i < found->len; i++)
    {
      const row_t *row = g_ptr_array_index (found, i);
      json_array_append_new (rows,
                             row_json (row->key, row->version, row->value));
    }
}

void
table_read (table_t *table, const char *prefix, int64_t after, json_t *rows)
{
  GPtrArray *found = g_ptr_array_new ();
  table->n_reads++;
  collect (table, prefix, after, found);
  append_rows (found, rows);
  g_ptr_array_free (found, TRUE);
}

static bool
is_list_of (const json_t *list, bool (*is_item) (const json_t *item))
{
  if (!list)
    return true;
  if (!json_is_array (list))
    return false;
  for (size_t i = 0; i < json_array_size (list); i++)
    if (!is_item (json_array_get (list, i)))
      return false;
  return true;
}

static bool
is_condition (const json_t *item)
{
  return json_is_string (json_object_get (item, "key"))
         && json_is_integer (json_object_get (item, "version"));
}

static bool
is_put (const json_t *item)
{
  return json_is_string (json_object_get (item, "key"))
         && json_object_get (item, "value");
}

static bool
is_text (const json_t *item)
{
  return json_is_string (item);
}

/* A transaction may change a key only once.  */
static bool
changes_are_distinct (const json_t *puts, const json_t *deletes)
{
  GHashTable *keys = g_hash_table_new (g_str_hash, g_str_equal);
  bool distinct = true;
  for (size_t i = 0; i < json_array_size (puts); i++)
    distinct
        &= g_hash_table_add (keys, (char *)json_string_value (json_object_get (
                                       json_array_get (puts, i), "key")));
  for (size_t i = 0; i < json_array_size (deletes); i++)
    distinct &= g_hash_table_add (
        keys, (char *)json_string_value (json_array_get (deletes, i)));
  g_hash_table_destroy (keys);
  return distinct;
}

static bool
is_well_formed (const json_t *transaction)
{
  const json_t *reads = json_object_get (transaction, "reads");
  const json_t *after = json_object_get (reads, "after");
  const json_t *puts = json_object_get (transaction, "puts");
  const json_t *deletes = json_object_get (transaction, "deletes");
  return json_is_object (transaction)
         && is_list_of (json_object_get (transaction, "conditions"),
                        is_condition)
         && is_list_of (puts, is_put) && is_list_of (deletes, is_text)
         && (!reads || json_is_object (reads))
         && is_list_of (json_object_get (reads, "prefixes"), is_text)
         && (!after || json_is_integer (after))
         && changes_are_distinct (puts, deletes);
}

bool
table_is_write (const json_t *transaction)
{
  return json_array_size (json_object_get (transaction, "puts"))
         || json_array_size (json_object_get (transaction, "deletes"));
}

/* The rows whose conditions do not hold.  A deleted row counts as absent.  */
static json_t *
find_conflicts (const table_t *table, const json_t *conditions)
{
  json_t *conflicts = json_array ();
  for (size_t i = 0; i < json_array_size (conditions); i++)
    {
      const json_t *condition = json_array_get (conditions, i);
      const char *key = json_string_value (json_object_get (condition, "key"));
      const row_t *row = g_hash_table_lookup (table->rows, key);
      bool present = row && row->value;
      int64_t version = present ? row->version : 0;
      if (version
          != json_integer_value (json_object_get (condition, "version")))
        json_array_append_new (
            conflicts, row_json (key, version, present ? row->value : NULL));
    }
  return conflicts;
}

static void
apply (table_t *table, const json_t *transaction)
{
  if (!table_is_write (transaction))
    return;
  table->revision++;
  const json_t *puts = json_object_get (transaction, "puts");
  const json_t *deletes = json_object_get (transaction, "deletes");
  for (size_t i = 0; i < json_array_size (puts); i++)
    {
      const json_t *put = json_array_get (puts, i);
      set_row (table, json_string_value (json_object_get (put, "key")),
               json_object_get (put, "value"));
    }
  for (size_t i = 0; i < json_array_size (deletes); i++)
    set_row (table, json_string_value (json_array_get (deletes, i)), NULL);
}

txn_outcome_t
table_transact (table_t *table, const json_t *transaction, json_t **result)
{
  if (!is_well_formed (transaction))
    return TXN_MALFORMED;
  json_t *conflicts
      = find_conflicts (table, json_object_get (transaction, "conditions"));
  bool committed = json_array_size (conflicts) == 0;
  if (committed)
    apply (table, transaction);
  const json_t *reads = json_object_get (transaction, "reads");
  const json_t *prefixes = json_object_get (reads, "prefixes");
  int64_t after = json_integer_value (json_object_get (reads, "after"));
  GPtrArray *found = g_ptr_array_new ();
  table->n_reads++;
  for (size_t i = 0; i < json_array_size (prefixes); i++)
    collect (table, json_string_value (json_array_get (prefixes, i)), after,
             found);
  json_t *rows = json_array ();
  append_rows (found, rows);
  g_ptr_array_free (found, TRUE);
  *result = json_object ();
  json_object_set_new (*result, "committed", json_boolean (committed));
  json_object_set_new (*result, "revision", json_integer (table->revision));
  if (!committed)
    json_object_set (*result, "conflicts", conflicts);
  json_object_set_new (*result, "rows", rows);
  json_decref (conflicts);
  return committed ? TXN_COMMITTED : TXN_CONFLICT;
}
