#include "evacuation.h"

#include <string.h>

#include "../metric.h"
#include "kept.h"

struct evacuation
{
  kept_t *kept;
  GHashTable *data_centres;   /* set of names */
  GHashTable *logged_unknown; /* set: names that no server has, and that were
                                 logged */
};

static GHashTable *
new_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

evacuation_t *
evacuation_new (void)
{
  evacuation_t *evacuation = g_new0 (evacuation_t, 1);
  evacuation->kept = kept_new ();
  evacuation->data_centres = new_set ();
  evacuation->logged_unknown = new_set ();
  return evacuation;
}

void
evacuation_free (evacuation_t *evacuation)
{
  if (!evacuation)
    return;
  kept_free (evacuation->kept);
  g_hash_table_unref (evacuation->data_centres);
  g_hash_table_unref (evacuation->logged_unknown);
  g_free (evacuation);
}

bool
evacuation_contains (const evacuation_t *evacuation, const char *data_centre)
{
  return data_centre
         && g_hash_table_contains (evacuation->data_centres, data_centre);
}

static int
count_servers (const backend_t *backend, const char *data_centre)
{
  const GPtrArray *servers = backend_servers (backend);
  int n = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = g_ptr_array_index (servers, i);
      n += server->listed && g_strcmp0 (server->data_centre, data_centre) == 0;
    }
  return n;
}

/* Calls FN for each name of NAMES that OTHERS lacks; returns whether there are
   any.  */
static bool
each_difference (GHashTable *names, GHashTable *others,
                 void (*fn) (const char *name, int n_servers,
                             kwf_effects_t *effects),
                 const backend_t *backend, kwf_effects_t *effects)
{
  bool any = false;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, names);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      if (g_hash_table_contains (others, name))
        continue;
      any = true;
      fn (name, count_servers (backend, name), effects);
    }
  return any;
}

static void
log_begin (const char *name, int n_servers, kwf_effects_t *effects)
{
  kwf_effects_log (effects, 270, KWF_LOG_WARNING, NULL,
                   "data centre %s is evacuated: its %d servers get no new "
                   "request and no order",
                   name, n_servers);
}

static void
log_end (const char *name, int n_servers, kwf_effects_t *effects)
{
  kwf_effects_log (effects, 271, KWF_LOG_WARNING, NULL,
                   "data centre %s is no longer evacuated: its %d servers are "
                   "used again",
                   name, n_servers);
}

static bool
replace_names (evacuation_t *evacuation, const backend_t *backend,
               const kwf_evacuations_event_t *event, int64_t now_ns,
               kwf_effects_t *effects)
{
  GHashTable *names = kept_apply (evacuation->kept, event, now_ns, effects);
  bool begins = each_difference (names, evacuation->data_centres, log_begin,
                                 backend, effects);
  bool ends = each_difference (evacuation->data_centres, names, log_end,
                               backend, effects);
  g_hash_table_unref (evacuation->data_centres);
  evacuation->data_centres = names;
  return begins || ends;
}

static void
mark_servers (const evacuation_t *evacuation, const backend_t *backend,
              const regions_t *regions)
{
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = g_ptr_array_index (servers, i);
      server->evacuated
          = evacuation_contains (evacuation, server->data_centre);
      server->region = regions_bit (regions, server->data_centre);
    }
}

/* Log the names that no server has, once each.  Without any server it is not
   known which names there are.  */
static void
log_unknown (const evacuation_t *evacuation, const backend_t *backend,
             const char *own, kwf_effects_t *effects)
{
  if (!backend_servers (backend)->len)
    return;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, evacuation->data_centres);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (g_strcmp0 (name, own) != 0 && !count_servers (backend, name)
        && g_hash_table_add (evacuation->logged_unknown, g_strdup (name)))
      kwf_effects_log (effects, 272, KWF_LOG_WARNING, NULL,
                       "no server is in data centre %s, which is to be "
                       "evacuated",
                       (const char *)name);
}

bool
evacuation_step (evacuation_t *evacuation, const backend_t *backend,
                 const regions_t *regions, const kwf_core_options_t *options,
                 const kwf_event_t *event, kwf_effects_t *effects)
{
  bool changed = false;
  if (event->type == KWF_EV_EVACUATIONS)
    changed = replace_names (evacuation, backend, &event->evacuations,
                             kwf_now_ns (options->clock), effects);
  else if (event->type != KWF_EV_MEMBERS)
    return false;
  mark_servers (evacuation, backend, regions);
  log_unknown (evacuation, backend, options->data_centre, effects);
  return changed;
}

json_t *
evacuation_json (const evacuation_t *evacuation)
{
  json_t *array = json_array ();
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, evacuation->data_centres);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    json_array_append_new (array, json_string (name));
  return array;
}

void
evacuation_write_metrics (const evacuation_t *evacuation,
                          const backend_t *backend, GString *out)
{
  const GPtrArray *servers = backend_servers (backend);
  int n = 0;
  int n_open = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = g_ptr_array_index (servers, i);
      n += server->listed && server->evacuated;
      n_open += server->evacuated ? server->open_attempts : 0;
    }
  metric_write_value (out, "kwf_evacuated_data_centres", "gauge",
                      g_hash_table_size (evacuation->data_centres));
  metric_write_value (out, "kwf_evacuated_servers", "gauge", n);
  metric_write_value (out, "kwf_evacuated_open_attempts", "gauge", n_open);
}
