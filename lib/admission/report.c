/* What an operator sees of admission: metrics and status page.  */

#include "state.h"

static const char *const classes[N_CLASSES] = { "urgent", "patient" };

static const char *const outcomes[N_OUTCOMES]
    = { "started",      "held",        "turn",
        "refused_late", "refused_cut", "refused_no_copy" };

double
admission_urgent_share (const admission_service_t *service)
{
  return service->all > 0 ? service->urgent / service->all : 0;
}

void
admission_write_metrics (const admission_t *admission, GString *out)
{
  g_string_append (out, "# TYPE kwf_admissions_total counter\n");
  for (int i = 0; i < N_OUTCOMES; i++)
    for (int j = 0; j < N_CLASSES; j++)
      g_string_append_printf (out,
                              "kwf_admissions_total{outcome=\"%s\",class=\"%"
                              "s\"} %" G_GUINT64_FORMAT "\n",
                              outcomes[i], classes[j],
                              admission->counts[i][j]);
  metric_write_value (out, "kwf_admission_held_seconds_total", "counter",
                      admission->held_s);
}

json_t *
admission_json (const kwf_core_t *core)
{
  const admission_t *admission = core->admission;
  json_t *object = json_object ();
  json_object_set_new (object, "predicted",
                       json_boolean (core->options.predict_admission));
  for (int i = 0; i < N_OUTCOMES; i++)
    {
      json_t *counts = json_object ();
      for (int j = 0; j < N_CLASSES; j++)
        json_object_set_new (
            counts, classes[j],
            json_integer ((json_int_t)admission->counts[i][j]));
      json_object_set_new (object, outcomes[i], counts);
    }
  json_t *services = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, admission->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const admission_service_t *service = value;
      json_object_set_new (services, name,
                           json_pack ("{s:b,s:f,s:f,s:f}", "reports_pace",
                                      (int)service->reported, "run_ms",
                                      service->run_s * 1000, "first_ms",
                                      service->read_s * 1000, "urgent_share",
                                      admission_urgent_share (service)));
    }
  json_object_set_new (object, "services", services);
  return object;
}
