#include "lists-diff.h"

#include <string.h>

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

static char *
describe_model (const void *item)
{
  const kwf_model_t *model = item;
  GString *text = g_string_new (NULL);
  g_string_printf (text, "version %s, memory %lld MB", model->version,
                   (long long)model->memory_mb);
  append_names (text, "adapters", model->adapters, model->n_adapters);
  return g_string_free (text, FALSE);
}

static char *
describe_service (const void *item)
{
  const kwf_service_t *service = item;
  return g_strdup_printf ("%s, %s", service->open ? "open" : "with a key",
                          service->once ? "once" : "repeatable");
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

static void
diff_table (GString *out, const char *kind, GHashTable *before,
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
      if (!old_text)
        g_string_append_printf (out, "+ %s %s: %s\n", kind, name, new_text);
      else if (!new_text)
        g_string_append_printf (out, "- %s %s: %s\n", kind, name, old_text);
      else if (strcmp (old_text, new_text) != 0)
        g_string_append_printf (out, "~ %s %s: %s\n    now: %s\n", kind, name,
                                old_text, new_text);
      g_free (old_text);
      g_free (new_text);
    }
  g_ptr_array_free (names, TRUE);
}

char *
lists_diff (const kwf_lists_t *before, const kwf_lists_t *after)
{
  GString *out = g_string_new (NULL);
  diff_table (out, "model", before ? before->model_by_name : NULL,
              after->model_by_name, describe_model);
  diff_table (out, "service", before ? before->service_by_name : NULL,
              after->service_by_name, describe_service);
  diff_table (out, "plan", before ? before->plan_by_name : NULL,
              after->plan_by_name, describe_plan);
  diff_table (out, "organisation",
              before ? before->organisation_by_name : NULL,
              after->organisation_by_name, describe_organisation);
  return g_string_free (out, FALSE);
}
