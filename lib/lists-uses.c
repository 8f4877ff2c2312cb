/* Reads the list "uses": models, services, and the plans that organisations of
   the list "plans" refer to.  */

#include "lists-data.h"

#include <stdlib.h>
#include <string.h>

#include "nearest.h"
#include "text.h"

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

void
lists_each_table (kwf_lists_t *lists, finding_source_t *source,
                  const char *header, lists_table_fn_t fn)
{
  const toml_table_t *root = toml_root (source->document);
  toml_type_t type = toml_type (root, header);
  if (type == TOML_ABSENT)
    return;
  if (type != TOML_TABLES)
    {
      finding_location_t location = { .source = source, .table = root };
      finding_report (&location, header, NULL,
                      finding_value (&location, header),
                      "tables that start with [[%s]]", header);
      return;
    }
  for (size_t i = 0; i < toml_n_items (root, header); i++)
    {
      finding_location_t location = { .source = source,
                                      .table = toml_table_at (root, header, i),
                                      .header = header,
                                      .index = i,
                                      .array = true };
      fn (lists, &location);
    }
}

void
lists_report_unknown (const finding_location_t *location, const char *key,
                      const char *kind, const char *name,
                      const char *const *names, size_t n_names)
{
  const char *near = nearest_name (name, names, n_names);
  if (near)
    finding_report (location, key, name, name,
                    "%s that exists; did you mean \"%s\"?", kind, near);
  else
    finding_report (location, key, name, name, "%s that exists", kind);
}

static void
report_unknown (const finding_location_t *location, const char *key,
                const char *kind, const char *name, GHashTable *known)
{
  guint n;
  gpointer *names = g_hash_table_get_keys_as_array (known, &n);
  lists_report_unknown (location, key, kind, name, (const char *const *)names,
                        n);
  g_free (names);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

bool
lists_read_names (kwf_lists_t *lists, const finding_location_t *location,
                  const char *key, const char *kind, GHashTable *known,
                  names_t *names)
{
  toml_type_t type = toml_type (location->table, key);
  if (type == TOML_ABSENT)
    return false;
  if (type != TOML_ARRAY)
    {
      finding_report (location, key, NULL, finding_value (location, key),
                      "array of names");
      return true;
    }
  size_t n = toml_n_items (location->table, key);
  names->items = lists_alloc_names (lists, n);
  names->n_items = 0;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < n; i++)
    {
      const char *name = toml_string_at (location->table, key, i);
      if (!name)
        finding_report (location, key, NULL, "an item that is no string",
                        "array of names");
      else if (!g_hash_table_add (seen, (char *)name))
        finding_report (location, key, name, name, "each name once");
      else if (known && !g_hash_table_contains (known, name))
        report_unknown (location, key, kind, name, known);
      else
        names->items[names->n_items++] = lists_intern_string (lists, name);
    }
  g_hash_table_destroy (seen);
  qsort (names->items, names->n_items, sizeof *names->items, compare_names);
  return true;
}

/* Add ITEM; report a name that is already used.  */
static void
add_item (const finding_location_t *location, GPtrArray *items,
          GHashTable *by_name, const char *name, void *item)
{
  if (!lists_add (items, by_name, name, item))
    finding_report (location, "name", NULL, name, "a name used once");
}

static void
read_model (kwf_lists_t *lists, const finding_location_t *location)
{
  static const char *const keys[]
      = { "name", "version", "memory_mb", "adapters" };
  finding_unknown_keys (location, keys, COUNT (keys));
  const char *name = NULL;
  const char *version = "";
  int64_t memory_mb = 0;
  names_t adapters = { 0 };
  finding_read_name (location, "name", true, &name);
  finding_read_name (location, "version", true, &version);
  finding_read_integer (location, "memory_mb", true, 1, LISTS_MAX_MEMORY_MB,
                        &memory_mb);
  lists_read_names (lists, location, "adapters", NULL, NULL, &adapters);
  for (size_t i = 0; i < adapters.n_items; i++)
    if (!finding_is_name (adapters.items[i]))
      finding_report (location, "adapters", adapters.items[i],
                      adapters.items[i],
                      "1 to 64 letters, digits, '.', '_' and '-'");
  if (!name)
    return;
  kwf_model_t *model = g_new0 (kwf_model_t, 1);
  *model = (kwf_model_t){ .name = lists_intern_string (lists, name),
                          .version = lists_intern_string (lists, version),
                          .memory_mb = memory_mb,
                          .adapters = adapters.items,
                          .n_adapters = adapters.n_items };
  add_item (location, lists->models, lists->model_by_name, model->name, model);
}

static void
read_service (kwf_lists_t *lists, const finding_location_t *location)
{
  static const char *const keys[] = { "name", "open", "once" };
  finding_unknown_keys (location, keys, COUNT (keys));
  const char *name = NULL;
  bool open = false;
  bool once = false;
  finding_read_name (location, "name", true, &name);
  finding_read_boolean (location, "open", &open);
  finding_read_boolean (location, "once", &once);
  if (open && once)
    finding_report (location, "once", NULL, "true",
                    "false for an open service: without a key there is no "
                    "organisation to claim for");
  if (!name)
    return;
  kwf_service_t *service = g_new0 (kwf_service_t, 1);
  *service = (kwf_service_t){ .name = lists_intern_string (lists, name),
                              .open = open,
                              .once = once };
  add_item (location, lists->services, lists->service_by_name, service->name,
            service);
}

/* Report adapters whose model is not one of the plan's.  */
static void
check_adapters (const finding_location_t *location, const plan_t *plan)
{
  for (size_t i = 0; i < plan->adapters.n_items; i++)
    {
      const char *name = plan->adapters.items[i];
      char *model = g_strndup (name, strcspn (name, "/"));
      if (!names_contain (&plan->models, model))
        finding_report (location, "adapters", name, name,
                        "adapters of the plan's models");
      g_free (model);
    }
}

static void
collect_adapters (kwf_lists_t *lists)
{
  for (size_t i = 0; i < lists->models->len; i++)
    {
      const kwf_model_t *model = kwf_lists_model_at (lists, i);
      for (size_t j = 0; j < model->n_adapters; j++)
        g_hash_table_add (
            lists->adapter_names,
            g_strconcat (model->name, "/", model->adapters[j], NULL));
    }
}

static void
read_plan (kwf_lists_t *lists, const finding_location_t *location)
{
  static const char *const keys[] = { "name",     "rate",   "burst",
                                      "priority", "models", "adapters",
                                      "services" };
  finding_unknown_keys (location, keys, COUNT (keys));
  const char *name = NULL;
  size_t priority = KWF_PRIORITY_INTERACTIVE;
  plan_t plan = { 0 };
  finding_read_name (location, "name", true, &name);
  finding_read_real (location, "rate", true, 0, LISTS_MAX_RATE, &plan.rate);
  finding_read_real (location, "burst", true, 0, LISTS_MAX_BURST, &plan.burst);
  finding_read_choice (location, "priority", lists_priority_names,
                       COUNT (lists_priority_names), &priority);
  plan.priority = (kwf_priority_t)priority;
  lists_read_names (lists, location, "models", "a model", lists->model_by_name,
                    &plan.models);
  lists_read_names (lists, location, "adapters", "an adapter",
                    lists->adapter_names, &plan.adapters);
  check_adapters (location, &plan);
  lists_read_names (lists, location, "services", "a service",
                    lists->service_by_name, &plan.services);
  if (!name)
    return;
  plan.name = lists_intern_string (lists, name);
  add_item (location, lists->plans, lists->plan_by_name, plan.name,
            g_memdup2 (&plan, sizeof plan));
}

void
lists_read_uses (kwf_lists_t *lists, finding_source_t *source)
{
  static const char *const headers[] = { "plan", "model", "service" };
  finding_location_t root
      = { .source = source, .table = toml_root (source->document) };
  finding_unknown_keys (&root, headers, COUNT (headers));
  lists_each_table (lists, source, "model", read_model);
  collect_adapters (lists);
  lists_each_table (lists, source, "service", read_service);
  lists_each_table (lists, source, "plan", read_plan);
}
