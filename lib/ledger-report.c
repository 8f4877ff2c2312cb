#include "ledger-state.h"

#include <string.h>

void
ledger_report_clear (ledger_report_t *report)
{
  for (size_t i = 0; i < report->event.n_models; i++)
    {
      const kwf_resident_t *model = &report->event.models[i];
      g_free ((char *)model->name);
      g_free ((char *)model->version);
      g_strfreev ((char **)model->adapters);
    }
  g_free ((void *)report->event.models);
  report->event = (kwf_report_event_t){ 0 };
}

static kwf_resident_t
copy_model (const kwf_resident_t *model)
{
  char **adapters = g_new0 (char *, model->n_adapters + 1);
  for (size_t i = 0; i < model->n_adapters; i++)
    adapters[i] = g_strdup (model->adapters[i]);
  return (kwf_resident_t){ .name = g_strdup (model->name),
                           .version
                           = g_strdup (model->version ? model->version : ""),
                           .adapters = (const char *const *)adapters,
                           .n_adapters = model->n_adapters };
}

void
ledger_report_update (ledger_report_t *report, const kwf_report_event_t *event,
                      int64_t now_ns)
{
  report->responding = event->valid;
  /* A report from the process before the engine's restart may arrive after one
     of the new process.  */
  if (!event->valid || event->incarnation < report->event.incarnation)
    return;
  if (report->at_ns && event->incarnation != report->event.incarnation)
    report->previous_process_ns = report->at_ns;
  ledger_report_clear (report);
  report->event = *event;
  report->event.server = NULL;
  kwf_resident_t *models = g_new0 (kwf_resident_t, event->n_models + 1);
  for (size_t i = 0; i < event->n_models; i++)
    models[i] = copy_model (&event->models[i]);
  report->event.models = models;
  report->at_ns = now_ns;
}

bool
ledger_report_lists (const ledger_report_t *report, const ledger_item_t *item)
{
  for (size_t i = 0; i < report->event.n_models; i++)
    {
      const kwf_resident_t *model = &report->event.models[i];
      if (strcmp (model->name, item->model) != 0
          || strcmp (model->version, item->version) != 0)
        continue;
      if (!*item->adapter)
        return true;
      for (size_t k = 0; k < model->n_adapters; k++)
        if (strcmp (model->adapters[k], item->adapter) == 0)
          return true;
    }
  return false;
}

void
ledger_note_unlisted (ledger_engine_t *engine, int64_t now_ns)
{
  const kwf_report_event_t *event = &engine->report.event;
  GHashTable *present
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (size_t i = 0; engine->row && i < event->n_models; i++)
    {
      const kwf_resident_t *model = &event->models[i];
      ledger_item_t item = { (char *)model->name, (char *)model->version, "" };
      if (ledger_row_find_entry (engine->row, &item))
        continue;
      char *name = g_strdup_printf ("%s\n%s", item.model, item.version);
      const int64_t *since = g_hash_table_lookup (engine->unlisted, name);
      int64_t *copy = g_new (int64_t, 1);
      *copy = since ? *since : now_ns;
      g_hash_table_replace (present, name, copy);
    }
  g_hash_table_unref (engine->unlisted);
  engine->unlisted = present;
}
