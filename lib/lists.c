/* The operators' configuration, that is, both lists: parsing, and access to
   their items.  */

#include "lists-data.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *const lists_priority_names[3]
    = { "urgent", "interactive", "overnight" };

kwf_lists_t *
lists_new (void)
{
  kwf_lists_t *lists = g_new0 (kwf_lists_t, 1);
  lists->strings = g_string_chunk_new (4096);
  lists->blocks = g_ptr_array_new_with_free_func (g_free);
  lists->models = g_ptr_array_new_with_free_func (g_free);
  lists->services = g_ptr_array_new_with_free_func (g_free);
  lists->plans = g_ptr_array_new_with_free_func (g_free);
  lists->organisations = g_ptr_array_new_with_free_func (g_free);
  lists->routes = g_ptr_array_new_with_free_func (g_free);
  lists->routes_by_host = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  lists->model_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  lists->service_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  lists->plan_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  lists->organisation_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  lists->adapter_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return lists;
}

void
kwf_lists_free (kwf_lists_t *lists)
{
  if (!lists)
    return;
  g_hash_table_destroy (lists->adapter_names);
  g_hash_table_destroy (lists->organisation_by_name);
  g_hash_table_destroy (lists->plan_by_name);
  g_hash_table_destroy (lists->service_by_name);
  g_hash_table_destroy (lists->model_by_name);
  g_hash_table_destroy (lists->routes_by_host);
  g_ptr_array_free (lists->routes, TRUE);
  g_ptr_array_free (lists->organisations, TRUE);
  g_ptr_array_free (lists->plans, TRUE);
  g_ptr_array_free (lists->services, TRUE);
  g_ptr_array_free (lists->models, TRUE);
  g_ptr_array_free (lists->blocks, TRUE);
  g_string_chunk_free (lists->strings);
  g_free (lists);
}

const char *
lists_intern_string (kwf_lists_t *lists, const char *text)
{
  return g_string_chunk_insert_const (lists->strings, text);
}

const char **
lists_alloc_names (kwf_lists_t *lists, size_t n)
{
  const char **names = g_new0 (const char *, n + 1);
  g_ptr_array_add (lists->blocks, names);
  return names;
}

bool
lists_add (GPtrArray *items, GHashTable *by_name, const char *name, void *item)
{
  if (g_hash_table_contains (by_name, name))
    {
      g_free (item);
      return false;
    }
  g_ptr_array_add (items, item);
  g_hash_table_insert (by_name, (char *)name, item);
  return true;
}

static int
compare_name (const void *name, const void *item)
{
  return strcmp (name, *(const char *const *)item);
}

/* Whether the sorted NAMES contain NAME.  */
static bool
contains (const char *const *names, size_t n_names, const char *name)
{
  return n_names
         && bsearch (name, names, n_names, sizeof *names, compare_name);
}

bool
names_contain (const names_t *names, const char *name)
{
  return contains (names->items, names->n_items, name);
}

kwf_lists_t *
kwf_lists_parse (const char *plans, const char *plans_name, const char *uses,
                 const char *uses_name, kwf_finding_fn_t fn, void *data)
{
  kwf_lists_t *lists = lists_new ();
  finding_source_t uses_source;
  finding_source_t plans_source;
  bool uses_open
      = finding_source_open (&uses_source, uses, uses_name, fn, data);
  bool plans_open
      = finding_source_open (&plans_source, plans, plans_name, fn, data);
  if (uses_open)
    lists_read_uses (lists, &uses_source);
  /* Without the list "uses" every name would be reported as unknown.  */
  if (uses_open && plans_open)
    lists_read_plans (lists, &plans_source);
  size_t n_findings = uses_source.n_findings + plans_source.n_findings;
  finding_source_free_document (&uses_source);
  finding_source_free_document (&plans_source);
  if (!n_findings)
    return lists;
  kwf_lists_free (lists);
  return NULL;
}

const kwf_organisation_t *
kwf_lists_organisation (const kwf_lists_t *lists, const char *name)
{
  return g_hash_table_lookup (lists->organisation_by_name, name);
}

const kwf_model_t *
kwf_lists_model (const kwf_lists_t *lists, const char *name)
{
  return g_hash_table_lookup (lists->model_by_name, name);
}

const kwf_service_t *
kwf_lists_service (const kwf_lists_t *lists, const char *name)
{
  return g_hash_table_lookup (lists->service_by_name, name);
}

size_t
kwf_lists_n_organisations (const kwf_lists_t *lists)
{
  return lists->organisations->len;
}

const kwf_organisation_t *
kwf_lists_organisation_at (const kwf_lists_t *lists, size_t i)
{
  return g_ptr_array_index (lists->organisations, i);
}

size_t
kwf_lists_n_models (const kwf_lists_t *lists)
{
  return lists->models->len;
}

const kwf_model_t *
kwf_lists_model_at (const kwf_lists_t *lists, size_t i)
{
  return g_ptr_array_index (lists->models, i);
}

size_t
kwf_lists_n_services (const kwf_lists_t *lists)
{
  return lists->services->len;
}

const kwf_service_t *
kwf_lists_service_at (const kwf_lists_t *lists, size_t i)
{
  return g_ptr_array_index (lists->services, i);
}

bool
kwf_organisation_may_use_model (const kwf_organisation_t *organisation,
                                const char *model, const char *adapter)
{
  if (!contains (organisation->models, organisation->n_models, model))
    return false;
  if (!adapter)
    return true;
  char name[2 * NAME_MAX_BYTES + 2];
  int size = snprintf (name, sizeof name, "%s/%s", model, adapter);
  return size > 0 && (size_t)size < sizeof name
         && contains (organisation->adapters, organisation->n_adapters, name);
}

bool
kwf_organisation_may_use_service (const kwf_organisation_t *organisation,
                                  const char *service)
{
  return contains (organisation->services, organisation->n_services, service);
}

size_t
kwf_lists_n_routes (const kwf_lists_t *lists)
{
  return lists->routes->len;
}

const kwf_route_t *
kwf_lists_route_at (const kwf_lists_t *lists, size_t i)
{
  return g_ptr_array_index (lists->routes, i);
}
