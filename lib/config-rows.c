/* The table rows that hold the configuration.  */

#include "config-data.h"

#include <stdlib.h>
#include <string.h>

void
list_row_clear (list_row_t *row)
{
  g_free (row->text);
  row->text = NULL;
  if (row->apply_ids)
    g_ptr_array_free (row->apply_ids, TRUE);
  row->apply_ids = NULL;
}

void
key_row_free (void *data)
{
  key_row_t *row = data;
  g_free (row->organisation);
  g_free (row);
}

static void
add_id (GPtrArray *apply_ids, const json_t *id)
{
  if (json_is_string (id) && apply_ids->len <= CONFIG_MAX_EARLIER)
    g_ptr_array_add (apply_ids, g_strdup (json_string_value (id)));
}

/* VALUE is {"text","apply_id","earlier":[...]}.  */
static void
read_list_row (list_row_t *row, const char *value)
{
  row->apply_ids = g_ptr_array_new_with_free_func (g_free);
  json_t *root = json_loads (value, 0, NULL);
  row->text = g_strdup (json_string_value (json_object_get (root, "text")));
  add_id (row->apply_ids, json_object_get (root, "apply_id"));
  size_t i;
  json_t *id;
  json_array_foreach (json_object_get (root, "earlier"), i, id)
  {
    add_id (row->apply_ids, id);
  }
  json_decref (root);
}

char *
list_row_value (const char *text, const char *apply_id,
                const list_row_t *replaced)
{
  json_t *earlier = json_array ();
  for (size_t i = 0; replaced->apply_ids && i < replaced->apply_ids->len
                     && i < CONFIG_MAX_EARLIER;
       i++)
    json_array_append_new (
        earlier, json_string (g_ptr_array_index (replaced->apply_ids, i)));
  json_t *root = json_pack ("{s:s, s:s, s:o}", "text", text, "apply_id",
                            apply_id, "earlier", earlier);
  char *value = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return value;
}

char *
key_row_value (const char *organisation, bool withdrawn, int64_t added_ms)
{
  json_t *root
      = json_pack ("{s:s, s:b, s:I}", "organisation", organisation,
                   "withdrawn", withdrawn, "added_ms", (json_int_t)added_ms);
  char *value = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return value;
}

static bool
update_list_row (list_row_t *row, const kwf_row_t *from,
                 kwf_effects_t *effects)
{
  if (from->version <= row->row_revision)
    return false;
  list_row_clear (row);
  row->row_revision = from->version;
  row->version = from->value ? from->version : 0;
  if (!from->value)
    kwf_effects_log (effects, 401, KWF_LOG_ERROR, NULL,
                     "row %s was deleted; the last lists stay in force",
                     from->key);
  else
    read_list_row (row, from->value);
  return true;
}

/* A row that cannot be read counts as a withdrawn key: to refuse a caller does
   less harm than to admit one wrongly.  */
static void
read_key_row (key_row_t *row, const kwf_row_t *from, kwf_effects_t *effects)
{
  json_t *root = from->value ? json_loads (from->value, 0, NULL) : NULL;
  const json_t *organisation = json_object_get (root, "organisation");
  const json_t *withdrawn = json_object_get (root, "withdrawn");
  g_free (row->organisation);
  row->organisation = g_strdup (json_string_value (organisation));
  row->withdrawn = !row->organisation || !json_is_false (withdrawn);
  row->added_ms = json_integer_value (json_object_get (root, "added_ms"));
  if (from->value && (!row->organisation || !json_is_boolean (withdrawn)))
    kwf_effects_log (effects, 403, KWF_LOG_ERROR, NULL,
                     "row %s is malformed; its key is refused", from->key);
  json_decref (root);
}

static bool
update_key_row (config_t *config, const kwf_row_t *from,
                kwf_effects_t *effects)
{
  const char *digest = from->key + strlen (CONFIG_API_KEY_ROW_PREFIX);
  key_row_t *row = g_hash_table_lookup (config->keys, digest);
  if (row && from->version <= row->row_revision)
    return false;
  if (!row)
    {
      row = g_new0 (key_row_t, 1);
      g_hash_table_insert (config->keys, g_strdup (digest), row);
    }
  row->row_revision = from->version;
  row->version = from->value ? from->version : 0;
  read_key_row (row, from, effects);
  if (row->withdrawn)
    g_hash_table_remove (config->suspended, digest);
  config->generation++;
  return true;
}

bool
config_update_row (config_t *config, const kwf_row_t *row,
                   kwf_effects_t *effects)
{
  if (strcmp (row->key, CONFIG_PLANS_ROW_KEY) == 0)
    return update_list_row (&config->plans, row, effects);
  if (strcmp (row->key, CONFIG_USES_ROW_KEY) == 0)
    return update_list_row (&config->uses, row, effects);
  if (g_str_has_prefix (row->key, CONFIG_API_KEY_ROW_PREFIX))
    return update_key_row (config, row, effects);
  return false;
}

int64_t
config_stored_version (const config_t *config)
{
  return MAX (config->plans.version, config->uses.version);
}

typedef struct
{
  kwf_effects_t *effects;
  int64_t version;
} parsing_t;

static void
log_finding (const kwf_finding_t *finding, void *data)
{
  const parsing_t *parsing = data;
  kwf_effects_log (parsing->effects, 402, KWF_LOG_ERROR, NULL,
                   "lists of version %lld are not usable, the last good ones "
                   "stay in force: %s:%d: %s: found %s, allowed %s",
                   (long long)parsing->version, finding->file, finding->line,
                   finding->field, finding->found, finding->allowed);
}

void
config_update_lists (config_t *config, kwf_effects_t *effects)
{
  parsing_t parsing
      = { .effects = effects, .version = config_stored_version (config) };
  if (parsing.version <= config->version)
    return;
  if (!config->plans.text || !config->uses.text)
    {
      kwf_effects_log (effects, 402, KWF_LOG_ERROR, NULL,
                       "lists of version %lld are not usable, the last good "
                       "ones stay in force: a row is absent or malformed",
                       (long long)parsing.version);
      return;
    }
  kwf_lists_t *lists
      = kwf_lists_parse (config->plans.text, "plans", config->uses.text,
                         "uses", log_finding, &parsing);
  if (!lists)
    return;
  kwf_lists_free (config->lists);
  config->lists = lists;
  config->version = parsing.version;
  config->generation++;
  kwf_effects_log (effects, 400, KWF_LOG_INFO, NULL,
                   "lists of version %lld are in force: %zu organisations, "
                   "%zu models, %zu services",
                   (long long)config->version,
                   kwf_lists_n_organisations (lists),
                   kwf_lists_n_models (lists), kwf_lists_n_services (lists));
}

void
config_update_from_rows (config_t *config, const kwf_row_t *rows,
                         size_t n_rows, kwf_effects_t *effects)
{
  bool lists_changed = false;
  for (size_t i = 0; i < n_rows; i++)
    if (config_update_row (config, &rows[i], effects)
        && g_str_has_prefix (rows[i].key, "list/"))
      lists_changed = true;
  if (lists_changed)
    config_update_lists (config, effects);
}

void
config_add_command_rows (config_t *config, const kwf_row_t *rows,
                         size_t n_rows, kwf_effects_t *effects)
{
  config_update_from_rows (config, rows, n_rows, effects);
  for (size_t i = 0; i < n_rows; i++)
    {
      kwf_row_t row = { .key = kwf_effects_strdup (effects, rows[i].key),
                        .version = rows[i].version,
                        .value = kwf_effects_strdup (effects, rows[i].value) };
      g_array_append_val (config->session_rows, row);
    }
}

const key_row_t *
config_key_row (const config_t *config, const char *digest)
{
  const key_row_t *row = g_hash_table_lookup (config->keys, digest);
  return row && row->version ? row : NULL;
}
