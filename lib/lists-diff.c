#include "lists-diff.h"

#include <string.h>

#include <knapweedfork/clock.h>

#include "lists-data.h"

/* Describe ITEM in one line.  Items with equal lines count as unchanged.  */
typedef char *(*describe_fn_t) (const void *item);

static void
append_names (GString *text, const char *label, const char *const *names,
              size_t n)
{
  if (!n)
    return;
  g_string_append_printf (text, ", %s", label);
  for (size_t i = 0; i < n; i++)
    g_string_append_printf (text, " %s", names[i]);
}

/* A value of 0 means that the field is not set.  */
static void
append_number (GString *text, const char *label, double value)
{
  if (value > 0)
    g_string_append_printf (text, ", %s %.12g", label, value);
}

static char *
describe_model (const void *item)
{
  const kwf_model_t *model = item;
  GString *text = g_string_new (NULL);
  g_string_printf (text, "version %s, memory %lld MB", model->version,
                   (long long)model->memory_mb);
  append_names (text, "adapters", model->adapters, model->n_adapters);
  if (model->service)
    g_string_append_printf (text, ", service %s", model->service);
  append_number (text, "load seconds",
                 (double)model->load_ns / (double)KWF_NS_PER_S);
  return g_string_free (text, FALSE);
}

static char *
describe_service (const void *item)
{
  const kwf_service_t *service = item;
  GString *text = g_string_new (NULL);
  g_string_printf (text, "%s, %s", service->open ? "open" : "with a key",
                   service->once ? "once" : "repeatable");
  append_number (text, "cold rate", service->cold_per_s);
  append_number (text, "cold seconds",
                 (double)service->cold_start_ns / (double)KWF_NS_PER_S);
  append_number (text, "engine memory MB", (double)service->memory_mb);
  append_number (text, "adapter slots", service->adapter_slots);
  append_number (text, "loads per second", service->loads_per_s);
  return g_string_free (text, FALSE);
}

static char *
describe_plan (const void *item)
{
  const plan_t *plan = item;
  GString *text = g_string_new (NULL);
  g_string_printf (text, "rate %.12g, burst %.12g, priority %s", plan->rate,
                   plan->burst, lists_priority_names[plan->priority]);
  append_names (text, "models", plan->models.items, plan->models.n_items);
  append_names (text, "adapters", plan->adapters.items,
                plan->adapters.n_items);
  append_names (text, "services", plan->services.items,
                plan->services.n_items);
  return g_string_free (text, FALSE);
}

static char *
describe_organisation (const void *item)
{
  const kwf_organisation_t *o = item;
  GString *text = g_string_new (NULL);
  g_string_printf (text, "plan %s, branch %s, rate %.12g, burst %.12g, %s",
                   o->plan, *o->branch ? o->branch : "-", o->rate, o->burst,
                   lists_priority_names[o->priority]);
  append_names (text, "models", o->models, o->n_models);
  append_names (text, "adapters", o->adapters, o->n_adapters);
  append_names (text, "services", o->services, o->n_services);
  if (o->by_request)
    g_string_append (text, ", limits in requests");
  append_number (text, "plain tokens", o->plain_tokens);
  append_names (text, "regions", o->allowed_regions, o->n_allowed_regions);
  return g_string_free (text, FALSE);
}

static char *
describe_route (const void *item)
{
  const kwf_route_t *route = item;
  GString *text = g_string_new (NULL);
  g_string_printf (text, "%s, priority %d, attempts %d", route->name,
                   route->priority, route->max_attempts);
  for (size_t i = 0; i < route->n_splits; i++)
    g_string_append_printf (text, ", service %s weight %.12g",
                            route->splits[i].service, route->splits[i].weight);
  g_string_append_printf (text, "%s%s%s%s", route->open ? ", open" : "",
                          route->idempotent ? ", idempotent" : "",
                          route->stream ? ", stream" : "",
                          route->resumable ? ", resumable" : "");
  append_number (text, "time-out ms",
                 (double)route->timeout_ns / (double)KWF_NS_PER_MS);
  append_number (text, "target ms",
                 (double)route->objective_ns / (double)KWF_NS_PER_MS);
  append_number (text, "longest pause ms",
                 (double)route->gap_aim_ns / (double)KWF_NS_PER_MS);
  append_names (text, "regions", route->allowed_regions,
                route->n_allowed_regions);
  return g_string_free (text, FALSE);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* Names in either table, sorted.  */
static GPtrArray *
all_names (GHashTable *before, GHashTable *after)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, after);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  if (before)
    {
      g_hash_table_iter_init (&iter, before);
      while (g_hash_table_iter_next (&iter, &name, NULL))
        if (!g_hash_table_contains (after, name))
          g_ptr_array_add (names, name);
    }
  g_ptr_array_sort (names, compare_names);
  return names;
}

typedef struct
{
  lists_change_fn_t fn;
  void *data;
} receiver_t;

static void
diff_table (const receiver_t *to, const char *kind, GHashTable *before,
            GHashTable *after, describe_fn_t describe)
{
  GPtrArray *names = all_names (before, after);
  for (size_t i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      const void *old = before ? g_hash_table_lookup (before, name) : NULL;
      const void *new = g_hash_table_lookup (after, name);
      char *old_text = old ? describe (old) : NULL;
      char *new_text = new ? describe (new) : NULL;
      lists_change_t change = {
        .kind = kind, .name = name, .before = old_text, .after = new_text
      };
      if (g_strcmp0 (old_text, new_text) != 0)
        to->fn (&change, to->data);
      g_free (old_text);
      g_free (new_text);
    }
  g_ptr_array_free (names, TRUE);
}

/* Routes by host and prefix.  NULL if there are no LISTS.  */
static GHashTable *
route_table (const kwf_lists_t *lists)
{
  if (!lists)
    return NULL;
  GHashTable *table
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < lists->routes->len; i++)
    {
      kwf_route_t *route = g_ptr_array_index (lists->routes, i);
      g_hash_table_insert (
          table, g_strconcat (route->host, route->prefix, NULL), route);
    }
  return table;
}

static void
diff_routes (const receiver_t *to, const kwf_lists_t *before,
             const kwf_lists_t *after)
{
  GHashTable *old = route_table (before);
  GHashTable *new = route_table (after);
  diff_table (to, "route", old, new, describe_route);
  if (old)
    g_hash_table_destroy (old);
  g_hash_table_destroy (new);
}

void
lists_diff_each (const kwf_lists_t *before, const kwf_lists_t *after,
                 lists_change_fn_t fn, void *data)
{
  receiver_t to = { .fn = fn, .data = data };
  diff_table (&to, "model", before ? before->model_by_name : NULL,
              after->model_by_name, describe_model);
  diff_table (&to, "service", before ? before->service_by_name : NULL,
              after->service_by_name, describe_service);
  diff_routes (&to, before, after);
  diff_table (&to, "plan", before ? before->plan_by_name : NULL,
              after->plan_by_name, describe_plan);
  diff_table (&to, "organisation",
              before ? before->organisation_by_name : NULL,
              after->organisation_by_name, describe_organisation);
}

static void
append_change (const lists_change_t *change, void *data)
{
  GString *out = data;
  if (!change->before)
    g_string_append_printf (out, "+ %s %s: %s\n", change->kind, change->name,
                            change->after);
  else if (!change->after)
    g_string_append_printf (out, "- %s %s: %s\n", change->kind, change->name,
                            change->before);
  else
    g_string_append_printf (out, "~ %s %s: %s\n    now: %s\n", change->kind,
                            change->name, change->before, change->after);
}

char *
lists_diff (const kwf_lists_t *before, const kwf_lists_t *after)
{
  GString *out = g_string_new (NULL);
  lists_diff_each (before, after, append_change, out);
  return g_string_free (out, FALSE);
}
