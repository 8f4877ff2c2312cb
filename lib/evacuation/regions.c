#include "regions.h"

#include <string.h>

struct regions
{
  GHashTable *bits;    /* data centre -> index of its region, plus 1 */
  GHashTable *by_name; /* name of a region -> its index, plus 1 */
};

regions_t *
regions_new (const kwf_region_t *list, size_t n)
{
  regions_t *regions = g_new0 (regions_t, 1);
  regions->bits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  regions->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < n; i++)
    {
      guint index = GPOINTER_TO_UINT (
          g_hash_table_lookup (regions->by_name, list[i].region));
      if (!index)
        {
          index = g_hash_table_size (regions->by_name) + 1;
          g_hash_table_insert (regions->by_name, g_strdup (list[i].region),
                               GUINT_TO_POINTER (index));
        }
      g_hash_table_insert (regions->bits, g_strdup (list[i].data_centre),
                           GUINT_TO_POINTER (index));
    }
  return regions;
}

void
regions_free (regions_t *regions)
{
  if (!regions)
    return;
  g_hash_table_unref (regions->bits);
  g_hash_table_unref (regions->by_name);
  g_free (regions);
}

static uint64_t
bit_of (GHashTable *indices, const char *name)
{
  guint index
      = name ? GPOINTER_TO_UINT (g_hash_table_lookup (indices, name)) : 0;
  return index ? UINT64_C (1) << (index - 1) : REGION_UNKNOWN;
}

uint64_t
regions_bit (const regions_t *regions, const char *data_centre)
{
  return g_hash_table_size (regions->bits)
             ? bit_of (regions->bits, data_centre)
             : 0;
}

uint64_t
regions_excluded (const regions_t *regions, const char *const *allowed,
                  size_t n)
{
  if (!allowed || !g_hash_table_size (regions->bits))
    return 0;
  uint64_t mask = 0;
  for (size_t i = 0; i < n; i++)
    mask |= bit_of (regions->by_name, allowed[i]);
  return (~mask & (REGION_UNKNOWN - 1)) | REGION_UNKNOWN;
}

uint64_t
regions_excluded_by (const regions_t *regions, const kwf_route_t *route,
                     const kwf_organisation_t *organisation)
{
  uint64_t mask = 0;
  if (route)
    mask |= regions_excluded (regions, route->allowed_regions,
                              route->n_allowed_regions);
  if (organisation)
    mask |= regions_excluded (regions, organisation->allowed_regions,
                              organisation->n_allowed_regions);
  return mask;
}
