#include "common-workload.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/text.h"
#include "../lib/text.h"
#include "../lib/toml.h"

typedef enum
{
  FIELD_TEXT,
  FIELD_REAL,
  FIELD_INT,
  FIELD_NAMES /* GPtrArray of strings */
} field_type_t;

typedef struct
{
  const char *key;
  size_t offset;
  double default_value;
  field_type_t type;
  bool needed;
} field_t;

/* clang-format off */
#define FIELD(type, name, kind, needed, default_value) \
  { #name, offsetof (type, name), default_value, kind, needed }
/* clang-format on */
#define TEXT(type, name) FIELD (type, name, FIELD_TEXT, true, 0)
#define TEXT_OR_NONE(type, name) FIELD (type, name, FIELD_TEXT, false, 0)
#define REAL(type, name) FIELD (type, name, FIELD_REAL, true, 0)
#define REAL_OR(type, name, value) FIELD (type, name, FIELD_REAL, false, value)
#define INT(type, name) FIELD (type, name, FIELD_INT, true, 0)
#define NAMES(type, name) FIELD (type, name, FIELD_NAMES, false, 0)

static const field_t run_fields[] = { REAL (workload_run_t, minutes),
                                      REAL (workload_run_t, instances),
                                      REAL (workload_run_t, centre_ms),
                                      { 0 } };
static const field_t target_fields[] = { REAL (workload_target_t, first_ms),
                                         REAL (workload_target_t, between_ms),
                                         { 0 } };
static const field_t engine_fields[] = {
  REAL (sim_options_t, memory_mb),       REAL (sim_options_t, context_tokens),
  REAL (sim_options_t, cache_tokens),    REAL (sim_options_t, chunk_tokens),
  REAL (sim_options_t, report_ms),       INT (sim_options_t, max_batch),
  INT (sim_options_t, tokens_per_event), { 0 }
};
static const field_t store_fields[]
    = { REAL (sim_weight_store_t, load_ms_per_gb),
        REAL (sim_weight_store_t, full_speed_loads),
        REAL (sim_weight_store_t, loads_per_s),
        REAL (sim_weight_store_t, adapter_min_ms),
        REAL (sim_weight_store_t, adapter_max_ms),
        REAL (sim_weight_store_t, full_speed_adapters),
        { 0 } };
static const field_t size_fields[]
    = { REAL (sim_model_t, memory_mb),
        REAL (sim_model_t, step_ms),
        REAL (sim_model_t, sequence_ms),
        REAL (sim_model_t, context_ms),
        REAL (sim_model_t, prefill_tokens_per_s),
        TEXT (sim_model_t, name),
        { 0 } };
static const field_t model_fields[]
    = { TEXT (workload_model_t, name),
        TEXT (workload_model_t, size),
        REAL_OR (workload_model_t, adapters, 0),
        REAL_OR (workload_model_t, copies, 1),
        { 0 } };
static const field_t server_fields[] = { TEXT (workload_server_t, name),
                                         TEXT (workload_server_t, data_centre),
                                         REAL_OR (workload_server_t, count, 1),
                                         REAL_OR (workload_server_t, ms, 0),
                                         { 0 } };
static const field_t organisation_fields[]
    = { TEXT (workload_organisation_t, name),
        TEXT (workload_organisation_t, priority),
        REAL (workload_organisation_t, rate),
        REAL (workload_organisation_t, burst),
        { 0 } };
static const field_t traffic_fields[]
    = { TEXT (workload_traffic_t, organisation),
        TEXT_OR_NONE (workload_traffic_t, service),
        NAMES (workload_traffic_t, models),
        REAL (workload_traffic_t, per_second),
        REAL_OR (workload_traffic_t, burstiness, 1),
        REAL_OR (workload_traffic_t, skew, 1),
        REAL_OR (workload_traffic_t, prompt_tokens, 0),
        REAL_OR (workload_traffic_t, output_tokens, 0),
        REAL_OR (workload_traffic_t, prefixes, 0),
        REAL_OR (workload_traffic_t, prefix_tokens, 0),
        REAL_OR (workload_traffic_t, adapter_share, 0),
        { 0 } };
static const field_t phase_fields[]
    = { TEXT_OR_NONE (workload_phase_t, organisation),
        NAMES (workload_phase_t, models),
        REAL (workload_phase_t, from_s),
        REAL (workload_phase_t, until_s),
        REAL (workload_phase_t, factor),
        { 0 } };

static const char *const class_names[N_CLASSES]
    = { "urgent", "interactive", "overnight" };

typedef struct
{
  const char *path;
  int findings;
} reader_t;

static void
report_error (reader_t *reader, const char *header, const char *key,
              const char *what)
{
  fprintf (stderr, "%s: %s.%s: %s\n", reader->path, header, key, what);
  reader->findings++;
}

typedef struct
{
  reader_t *reader;
  const char *header;
  const field_t *fields;
} key_check_t;

static void
check_key (const char *key, void *data)
{
  const key_check_t *check = data;
  for (const field_t *field = check->fields; field->key; field++)
    if (strcmp (field->key, key) == 0)
      return;
  report_error (check->reader, check->header, key, "there is no such key");
}

static GPtrArray *
read_names (const toml_table_t *table, const char *key)
{
  GPtrArray *names = g_ptr_array_new ();
  for (size_t i = 0; i < toml_n_items (table, key); i++)
    g_ptr_array_add (names, (gpointer)toml_string_at (table, key, i));
  return names;
}

static void
read_table (reader_t *reader, const toml_table_t *table, const char *header,
            const field_t *fields, void *out)
{
  key_check_t check = { reader, header, fields };
  toml_each_key (table, check_key, &check);
  for (const field_t *field = fields; field->key; field++)
    {
      void *at = (char *)out + field->offset;
      double value = field->default_value;
      bool found;
      if (field->type == FIELD_NAMES)
        {
          *(GPtrArray **)at = read_names (table, field->key);
          continue;
        }
      if (field->type == FIELD_TEXT)
        {
          *(const char **)at = toml_string (table, field->key);
          found = *(const char **)at != NULL;
        }
      else
        {
          found = toml_real (table, field->key, &value);
          if (field->type == FIELD_INT)
            *(int *)at = (int)value;
          else
            *(double *)at = value;
        }
      bool absent = toml_type (table, field->key) == TOML_ABSENT;
      if (!found && (field->needed || !absent))
        report_error (reader, header, field->key,
                      field->type == FIELD_TEXT ? "must be a text"
                                                : "must be a number");
      else if (found && value < 0)
        report_error (reader, header, field->key, "must not be negative");
    }
}

static void
read_single (reader_t *reader, const toml_table_t *root, const char *header,
             const field_t *fields, void *out)
{
  const toml_table_t *table = toml_table_at (root, header, 0);
  if (table)
    read_table (reader, table, header, fields, out);
  else
    report_error (reader, header, "", "the table is missing");
}

static GArray *
read_all (reader_t *reader, const toml_table_t *root, const char *header,
          const field_t *fields, size_t size)
{
  GArray *items = g_array_new (FALSE, TRUE, (guint)size);
  size_t n = toml_n_items (root, header);
  g_array_set_size (items, (guint)n);
  for (size_t i = 0; i < n; i++)
    read_table (reader, toml_table_at (root, header, i), header, fields,
                items->data + i * size);
  return items;
}

/* Copy the fields of each model's [[size]] into the model.  */
static void
apply_sizes (reader_t *reader, workload_t *workload, GArray *sizes)
{
  for (guint i = 0; i < workload->models->len; i++)
    {
      workload_model_t *model
          = &g_array_index (workload->models, workload_model_t, i);
      for (guint k = 0; k < sizes->len; k++)
        {
          const sim_model_t *size = &g_array_index (sizes, sim_model_t, k);
          if (g_strcmp0 (size->name, model->size) == 0)
            model->sim = *size;
        }
      if (!model->sim.name)
        report_error (reader, "model", "size", "there is no such size");
      model->sim.name = (char *)model->name;
      model->sim.n_adapters = (int)model->adapters;
      /* The default of an adapter's memory, docs/design.md section 13.  */
      model->sim.adapter_mb = model->sim.memory_mb * 0.02;
    }
}

static void
check_models (reader_t *reader, const workload_t *workload,
              const GPtrArray *names, const char *header)
{
  for (guint i = 0; i < names->len; i++)
    if (!names->pdata[i] || !workload_model (workload, names->pdata[i]))
      report_error (reader, header, "models", "there is no such model");
}

static void
check_references (reader_t *reader, workload_t *workload)
{
  for (guint i = 0; i < workload->organisations->len; i++)
    {
      workload_organisation_t *organisation = &g_array_index (
          workload->organisations, workload_organisation_t, i);
      int class = 0;
      while (class < N_CLASSES
             && g_strcmp0 (organisation->priority, class_names[class]) != 0)
        class ++;
      if (class == N_CLASSES)
        report_error (reader, "organisation", "priority",
                      "there is no such priority class");
      organisation->class = (kwf_priority_t) class;
    }
  for (guint i = 0; i < workload->traffic->len; i++)
    {
      const workload_traffic_t *traffic
          = &g_array_index (workload->traffic, workload_traffic_t, i);
      if (!traffic->organisation
          || !workload_organisation (workload, traffic->organisation))
        report_error (reader, "traffic", "organisation",
                      "there is none of this name");
      if (!traffic->service && !traffic->models->len)
        report_error (reader, "traffic", "models",
                      "must have names, unless service is set");
      check_models (reader, workload, traffic->models, "traffic");
    }
  for (guint i = 0; i < workload->phases->len; i++)
    check_models (reader, workload,
                  g_array_index (workload->phases, workload_phase_t, i).models,
                  "phase");
}

workload_t *
workload_read (const char *path)
{
  reader_t reader = { .path = path };
  char *text;
  gsize size;
  GError *error = NULL;
  toml_error_t mistake;
  if (!g_file_get_contents (path, &text, &size, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return NULL;
    }
  const char *allowed = text_check (text, &mistake.line);
  if (allowed)
    g_strlcpy (mistake.message, allowed, sizeof mistake.message);
  toml_document_t *document = allowed ? NULL : toml_parse (text, &mistake);
  g_free (text);
  if (!document)
    {
      fprintf (stderr, "%s:%d: %s\n", path, mistake.line, mistake.message);
      return NULL;
    }
  const toml_table_t *root = toml_root (document);
  workload_t *workload = g_new0 (workload_t, 1);
  workload->document = document;
  read_single (&reader, root, "run", run_fields, &workload->run);
  for (int i = 0; i < N_CLASSES; i++)
    read_single (&reader, root, class_names[i], target_fields,
                 &workload->targets[i]);
  read_single (&reader, root, "engine_model", engine_fields,
               &workload->engine);
  read_single (&reader, root, "store", store_fields, &workload->store);
  GArray *sizes
      = read_all (&reader, root, "size", size_fields, sizeof (sim_model_t));
  workload->models = read_all (&reader, root, "model", model_fields,
                               sizeof (workload_model_t));
  workload->engines = read_all (&reader, root, "engine", server_fields,
                                sizeof (workload_server_t));
  workload->services = read_all (&reader, root, "service", server_fields,
                                 sizeof (workload_server_t));
  workload->organisations
      = read_all (&reader, root, "organisation", organisation_fields,
                  sizeof (workload_organisation_t));
  workload->traffic = read_all (&reader, root, "traffic", traffic_fields,
                                sizeof (workload_traffic_t));
  workload->phases = read_all (&reader, root, "phase", phase_fields,
                               sizeof (workload_phase_t));
  apply_sizes (&reader, workload, sizes);
  g_array_free (sizes, TRUE);
  check_references (&reader, workload);
  if (!reader.findings)
    return workload;
  workload_free (workload);
  return NULL;
}

void
workload_free (workload_t *workload)
{
  for (guint i = 0; i < workload->traffic->len; i++)
    g_ptr_array_free (
        g_array_index (workload->traffic, workload_traffic_t, i).models, TRUE);
  for (guint i = 0; i < workload->phases->len; i++)
    g_ptr_array_free (
        g_array_index (workload->phases, workload_phase_t, i).models, TRUE);
  g_array_free (workload->models, TRUE);
  g_array_free (workload->engines, TRUE);
  g_array_free (workload->services, TRUE);
  g_array_free (workload->organisations, TRUE);
  g_array_free (workload->traffic, TRUE);
  g_array_free (workload->phases, TRUE);
  toml_free (workload->document);
  g_free (workload);
}

void
workload_scale (workload_t *workload, double factor)
{
  for (guint i = 0; i < workload->traffic->len; i++)
    g_array_index (workload->traffic, workload_traffic_t, i).per_second
        *= factor;
  for (guint i = 0; i < workload->organisations->len; i++)
    {
      workload_organisation_t *organisation = &g_array_index (
          workload->organisations, workload_organisation_t, i);
      organisation->rate *= factor;
      organisation->burst *= factor;
    }
}

workload_organisation_t *
workload_organisation (const workload_t *workload, const char *name)
{
  for (guint i = 0; i < workload->organisations->len; i++)
    {
      workload_organisation_t *organisation = &g_array_index (
          workload->organisations, workload_organisation_t, i);
      if (g_strcmp0 (organisation->name, name) == 0)
        return organisation;
    }
  return NULL;
}

const workload_model_t *
workload_model (const workload_t *workload, const char *name)
{
  for (guint i = 0; i < workload->models->len; i++)
    {
      const workload_model_t *model
          = &g_array_index (workload->models, workload_model_t, i);
      if (strcmp (model->name, name) == 0)
        return model;
    }
  return NULL;
}

void
workload_lists (const workload_t *workload, GString *plans, GString *uses)
{
  GString *models = g_string_new (NULL);
  GString *adapters = g_string_new (NULL);
  GString *services = g_string_new (NULL);
  for (guint i = 0; i < workload->models->len; i++)
    {
      const workload_model_t *model
          = &g_array_index (workload->models, workload_model_t, i);
      g_string_append_printf (models, "\"%s\", ", model->name);
      g_string_append_printf (uses,
                              "[[model]]\nname = \"%s\"\nversion = \"1\"\n"
                              "memory_mb = %.0f\nadapters = [",
                              model->name, model->sim.memory_mb);
      for (int k = 1; k <= model->sim.n_adapters; k++)
        {
          g_string_append_printf (uses, "\"%s-%d\", ", model->name, k);
          g_string_append_printf (adapters, "\"%s/%s-%d\", ", model->name,
                                  model->name, k);
        }
      g_string_append (uses, "]\n");
    }
  for (guint i = 0; i < workload->services->len; i++)
    {
      const workload_server_t *service
          = &g_array_index (workload->services, workload_server_t, i);
      g_string_append_printf (uses, "[[service]]\nname = \"%s\"\n",
                              service->name);
      g_string_append_printf (services, "\"%s\", ", service->name);
    }
  double rate = 1;
  double burst = 1;
  for (guint i = 0; i < workload->organisations->len; i++)
    {
      const workload_organisation_t *organisation = &g_array_index (
          workload->organisations, workload_organisation_t, i);
      rate = MAX (rate, organisation->rate);
      burst = MAX (burst, organisation->burst);
      g_string_append_printf (
          plans,
          "[[organisation]]\nname = \"%s\"\nplan = \"all\"\nbranch = \"b\"\n"
          "rate = %.0f\nburst = %.0f\npriority = \"%s\"\n",
          organisation->name, organisation->rate, organisation->burst,
          organisation->priority);
    }
  g_string_append_printf (
      uses,
      "[[plan]]\nname = \"all\"\nrate = %.0f\nburst = %.0f\n"
      "priority = \"urgent\"\nmodels = [%s]\nadapters = [%s]\n"
      "services = [%s]\n",
      rate, burst, models->str, adapters->str, services->str);
  g_string_free (models, TRUE);
  g_string_free (adapters, TRUE);
  g_string_free (services, TRUE);
}

static bool
is_in_phase (const workload_phase_t *phase, const char *organisation, double s)
{
  return s >= phase->from_s && s < phase->until_s
         && (!phase->organisation
             || strcmp (phase->organisation, organisation) == 0);
}

double
workload_rate_factor (const workload_t *workload, const char *organisation,
                      double s)
{
  double factor = 1;
  for (guint i = 0; i < workload->phases->len; i++)
    {
      const workload_phase_t *phase
          = &g_array_index (workload->phases, workload_phase_t, i);
      if (is_in_phase (phase, organisation, s) && !phase->models->len)
        factor *= phase->factor;
    }
  return factor;
}

double
workload_model_factor (const workload_t *workload, const char *organisation,
                       const char *model, double s)
{
  double factor = 1;
  for (guint i = 0; i < workload->phases->len; i++)
    {
      const workload_phase_t *phase
          = &g_array_index (workload->phases, workload_phase_t, i);
      if (!is_in_phase (phase, organisation, s))
        continue;
      for (guint k = 0; k < phase->models->len; k++)
        if (strcmp (phase->models->pdata[k], model) == 0)
          factor *= phase->factor;
    }
  return factor;
}
