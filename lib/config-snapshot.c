/* Configuration snapshots: lists and all keys, read by another module.  */

#include "config-data.h"

/* A snapshot has no table rows, so its version stands for both the revision
   and the version of the row.  */
static void
insert_snapshot_key (config_t *config, const kwf_key_grant_t *key,
                     int64_t version)
{
  key_row_t *row = g_new0 (key_row_t, 1);
  *row = (key_row_t){ .row_revision = version,
                      .version = version,
                      .organisation = g_strdup (key->organisation) };
  g_hash_table_replace (config->keys, g_strdup (key->digest), row);
}

void
config_take_snapshot (config_t *config, const kwf_config_event_t *event,
                      kwf_effects_t *effects)
{
  if (event->version <= config->version)
    return;
  kwf_lists_free (config->lists);
  config->lists = *event->lists;
  *event->lists = NULL;
  config->from_snapshot = true;
  config->version = event->version;
  config->generation++;
  g_hash_table_remove_all (config->keys);
  for (size_t i = 0; i < event->n_keys; i++)
    insert_snapshot_key (config, &event->keys[i], event->version);
  kwf_effects_log (effects, 400, KWF_LOG_INFO, NULL,
                   "lists of version %lld are in force: %zu organisations, "
                   "%zu models, %zu services, %zu keys",
                   (long long)config->version,
                   kwf_lists_n_organisations (config->lists),
                   kwf_lists_n_models (config->lists),
                   kwf_lists_n_services (config->lists), event->n_keys);
}
