#include "lists-build.h"

#include <string.h>

#include "lists-data.h"

static const char *
copy_text (kwf_lists_t *lists, const char *text)
{
  return text ? lists_intern_string (lists, text) : NULL;
}

static const char *const *
copy_names (kwf_lists_t *lists, const char *const *names, size_t n)
{
  const char **copies = lists_alloc_names (lists, n);
  for (size_t i = 0; i < n; i++)
    copies[i] = lists_intern_string (lists, names[i]);
  return copies;
}

/* The same for regions, whose list may be missing.  */
static const char *const *
copy_regions (kwf_lists_t *lists, const char *const *names, size_t n)
{
  return names ? copy_names (lists, names, n) : NULL;
}

bool
lists_add_model (kwf_lists_t *lists, const kwf_model_t *item)
{
  kwf_model_t *model = g_memdup2 (item, sizeof *item);
  model->name = copy_text (lists, item->name);
  model->version = copy_text (lists, item->version);
  model->service = copy_text (lists, item->service);
  model->adapters = copy_names (lists, item->adapters, item->n_adapters);
  return lists_add (lists->models, lists->model_by_name, model->name, model);
}

bool
lists_add_service (kwf_lists_t *lists, const kwf_service_t *item)
{
  kwf_service_t *service = g_memdup2 (item, sizeof *item);
  service->name = copy_text (lists, item->name);
  return lists_add (lists->services, lists->service_by_name, service->name,
                    service);
}

bool
lists_add_organisation (kwf_lists_t *lists, const kwf_organisation_t *item)
{
  kwf_organisation_t *organisation = g_memdup2 (item, sizeof *item);
  organisation->name = copy_text (lists, item->name);
  organisation->plan = copy_text (lists, item->plan);
  organisation->branch = copy_text (lists, item->branch);
  organisation->models = copy_names (lists, item->models, item->n_models);
  organisation->adapters
      = copy_names (lists, item->adapters, item->n_adapters);
  organisation->services
      = copy_names (lists, item->services, item->n_services);
  organisation->allowed_regions
      = copy_regions (lists, item->allowed_regions, item->n_allowed_regions);
  return lists_add (lists->organisations, lists->organisation_by_name,
                    organisation->name, organisation);
}

static gint
compare_prefixes (gconstpointer a, gconstpointer b)
{
  const kwf_route_t *left = *(kwf_route_t *const *)a;
  const kwf_route_t *right = *(kwf_route_t *const *)b;
  size_t left_size = strlen (left->prefix);
  size_t right_size = strlen (right->prefix);
  return (left_size < right_size) - (left_size > right_size);
}

bool
lists_add_route (kwf_lists_t *lists, const kwf_route_t *item)
{
  char *host = g_ascii_strdown (item->host, -1);
  GPtrArray *routes = g_hash_table_lookup (lists->routes_by_host, host);
  for (guint i = 0; routes && i < routes->len; i++)
    if (strcmp (((const kwf_route_t *)routes->pdata[i])->prefix, item->prefix)
        == 0)
      {
        g_free (host);
        return false;
      }
  if (!routes)
    {
      routes = g_ptr_array_new ();
      g_hash_table_insert (lists->routes_by_host, g_strdup (host), routes);
    }
  kwf_route_t *route = g_memdup2 (item, sizeof *item);
  kwf_split_t *splits = g_new0 (kwf_split_t, item->n_splits + 1);
  g_ptr_array_add (lists->blocks, splits);
  for (size_t i = 0; i < item->n_splits; i++)
    splits[i]
        = (kwf_split_t){ lists_intern_string (lists, item->splits[i].service),
                         item->splits[i].weight };
  route->splits = splits;
  route->allowed_regions
      = copy_regions (lists, item->allowed_regions, item->n_allowed_regions);
  route->name = copy_text (lists, item->name);
  route->host = copy_text (lists, host);
  route->prefix = copy_text (lists, item->prefix);
  g_free (host);
  g_ptr_array_add (lists->routes, route);
  g_ptr_array_add (routes, route);
  g_ptr_array_sort (routes, compare_prefixes);
  return true;
}

/* Copy HOST to NAME in lower case, without the port.  False: it is too
   long.  */
static bool
host_name (const char *host, char *name, size_t size)
{
  size_t length = strcspn (host, ":");
  if (length >= size)
    return false;
  for (size_t i = 0; i < length; i++)
    name[i] = g_ascii_tolower (host[i]);
  name[length] = '\0';
  return true;
}

const kwf_route_t *
kwf_lists_route (const kwf_lists_t *lists, const char *host, const char *path)
{
  char name[256];
  if (!host || !host_name (host, name, sizeof name))
    return NULL;
  const GPtrArray *routes = g_hash_table_lookup (lists->routes_by_host, name);
  for (guint i = 0; routes && i < routes->len; i++)
    {
      const kwf_route_t *route = routes->pdata[i];
      if (g_str_has_prefix (path, route->prefix))
        return route;
    }
  return NULL;
}
