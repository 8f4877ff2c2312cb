/* Reads the table [regions] of the settings: the region of each data
   centre.  */

#include <glib.h>
#include <string.h>

#include "finding.h"
#include "settings-table.h"

typedef struct
{
  finding_location_t location;
  GArray *regions;   /* of kwf_region_t */
  GHashTable *names; /* set: the different regions */
} region_reader_t;

static void
read_region (const char *key, void *data)
{
  region_reader_t *reader = data;
  const char *name = toml_string (reader->location.table, key);
  if (name && *name)
    g_hash_table_add (reader->names, (char *)name);
  if (!name || !*name || g_hash_table_size (reader->names) > KWF_REGIONS_MAX)
    {
      finding_report (
          &reader->location, key, NULL, finding_value (&reader->location, key),
          "\"REGION\", at most %d different ones", KWF_REGIONS_MAX);
      return;
    }
  kwf_region_t region
      = { .data_centre = g_strdup (key), .region = g_strdup (name) };
  g_array_append_val (reader->regions, region);
}

void
settings_read_regions (finding_source_t *source, kwf_settings_t *settings)
{
  const toml_table_t *root = toml_root (source->document);
  if (toml_type (root, SETTINGS_REGIONS) != TOML_TABLE)
    return;
  region_reader_t reader
      = { .location = { .source = source,
                        .table = toml_table_at (root, SETTINGS_REGIONS, 0),
                        .header = SETTINGS_REGIONS },
          .regions = g_array_new (FALSE, FALSE, sizeof (kwf_region_t)),
          .names = g_hash_table_new (g_str_hash, g_str_equal) };
  toml_each_key (reader.location.table, read_region, &reader);
  settings->n_regions = reader.regions->len;
  settings->regions
      = (kwf_region_t *)(void *)g_array_free (reader.regions, FALSE);
  g_hash_table_unref (reader.names);
}

void
settings_free_regions (kwf_settings_t *settings)
{
  for (size_t i = 0; i < settings->n_regions; i++)
    {
      g_free (settings->regions[i].data_centre);
      g_free (settings->regions[i].region);
    }
  g_free (settings->regions);
}
