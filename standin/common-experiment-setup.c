/* Sets up an experiment: backend servers, initial placement and instances;
   also writes the same as arguments of real processes.  */

#include "common-experiment.h"

#include <math.h>
#include <string.h>

#define RUN_IN_NS (2 * KWF_NS_PER_S)

static void
add_engines (experiment_t *experiment)
{
  const workload_t *workload = experiment->options.workload;
  for (guint i = 0; i < workload->engines->len; i++)
    {
      const workload_server_t *group
          = &g_array_index (workload->engines, workload_server_t, i);
      for (int k = 1; k <= (int)group->count; k++)
        {
          char id[64];
          g_snprintf (id, sizeof id, "%s%d", group->name, k);
          world_engine_t *engine = world_engine_new (experiment->world, id,
                                                     NULL, group->data_centre);
          sim_engine_t *sim
              = sim_new (engine, &workload->engine, &experiment->store);
          sim_set_models (sim, experiment->models);
          g_ptr_array_add (experiment->engine_sims, sim);
        }
    }
  for (guint i = 0; i < workload->services->len; i++)
    {
      const workload_server_t *service
          = &g_array_index (workload->services, workload_server_t, i);
      for (int k = 1; k <= (int)service->count; k++)
        {
          char id[64];
          g_snprintf (id, sizeof id, "%s%d", service->name, k);
          world_engine_new (experiment->world, id, service->name,
                            service->data_centre)
              ->token_ns
              = (int64_t)(service->ms * 1e6);
        }
    }
}

/* The static placement: the number of copies that the workload file says, each
   on the engine that has the most free memory and not this model.  Models with
   more memory are placed first.  */

static gint
compare_sizes (gconstpointer a, gconstpointer b)
{
  const workload_model_t *left = *(const workload_model_t *const *)a;
  const workload_model_t *right = *(const workload_model_t *const *)b;
  if (left->sim.memory_mb != right->sim.memory_mb)
    return left->sim.memory_mb > right->sim.memory_mb ? -1 : 1;
  return strcmp (left->name, right->name);
}

static void
place_model (experiment_t *experiment, const workload_model_t *model)
{
  sim_engine_t *best = NULL;
  for (guint i = 0; i < experiment->engine_sims->len; i++)
    {
      sim_engine_t *sim = g_ptr_array_index (experiment->engine_sims, i);
      if (!sim_is_loaded (sim, model->name)
          && (!best || sim_free_mb (sim) > sim_free_mb (best)))
        best = sim;
    }
  if (best)
    sim_preload (best, &model->sim);
}

static void
place_all (experiment_t *experiment)
{
  const workload_t *workload = experiment->options.workload;
  GPtrArray *order = g_ptr_array_new ();
  for (guint i = 0; i < workload->models->len; i++)
    {
      workload_model_t *model
          = &g_array_index (workload->models, workload_model_t, i);
      g_ptr_array_add (order, model);
      g_hash_table_insert (experiment->models, (gpointer)model->name,
                           &model->sim);
    }
  g_ptr_array_sort (order, compare_sizes);
  for (guint i = 0; i < order->len; i++)
    {
      const workload_model_t *model = g_ptr_array_index (order, i);
      for (int k = 0; k < (int)model->copies; k++)
        place_model (experiment, model);
    }
  g_ptr_array_free (order, TRUE);
}

static void
run_for (world_t *world, int64_t ns)
{
  world_run (world, world->now_ns + ns);
}

/* Names of the data centres, in the order of the workload file.  */
static GPtrArray *
data_centres (const workload_t *workload)
{
  GPtrArray *names = g_ptr_array_new ();
  for (guint i = 0; i < workload->engines->len; i++)
    {
      const char *name
          = g_array_index (workload->engines, workload_server_t, i)
                .data_centre;
      if (!g_ptr_array_find_with_equal_func (names, name, g_str_equal, NULL))
        g_ptr_array_add (names, (gpointer)name);
    }
  return names;
}

/* Requests at a copy of a model above which the model gets another copy: the
   largest batch in which the time between tokens still meets the target.  */
#define COPY_LOAD 40

/* Placement settings that suit the workload's weight store.  */
static kwf_placement_options_t
placement_options (const workload_t *workload)
{
  double sum_mb = 0;
  for (guint i = 0; i < workload->models->len; i++)
    sum_mb
        += g_array_index (workload->models, workload_model_t, i).sim.memory_mb;
  double mean_gb = sum_mb / 1e3 / MAX (workload->models->len, 1);
  const sim_weight_store_t *store = &workload->store;
  return (kwf_placement_options_t){
    .dynamic = true,
    .worst_served = true,
    .loads_per_s = store->loads_per_s,
    .loads_at_once = (int64_t)store->full_speed_loads,
    .adapter_loads_at_once = (int64_t)store->full_speed_adapters,
    .load_ns = (int64_t)(mean_gb * store->load_ms_per_gb * KWF_NS_PER_MS),
    .max_requests_per_copy = COPY_LOAD,
  };
}

void
experiment_start_instances (experiment_t *experiment)
{
  const workload_t *workload = experiment->options.workload;
  world_t *world = experiment->world;
  world->placement = placement_options (workload);
  GPtrArray *centres = data_centres (workload);
  for (int i = 0; i < (int)workload->run.instances; i++)
    {
      world->nodes[i].data_centre
          = centres->pdata[(guint)i % MAX (centres->len, 1)];
      world_node_start (world, i);
    }
  g_ptr_array_free (centres, TRUE);
  run_for (world, 2 * RUN_IN_NS);
  workload_lists (workload, world->lists_plans, world->lists_uses);
  world_operator_command (world, 0, KWF_OPERATOR_APPLY, NULL, NULL);
  run_for (world, RUN_IN_NS);
  if (world->reply_status != 200)
    g_error ("the lists were not applied: %s", world->reply_body);
  for (guint i = 0; i < experiment->organisations->len; i++)
    {
      experiment_organisation_t *organisation = &g_array_index (
          experiment->organisations, experiment_organisation_t, i);
      world_key_digest (organisation->organisation->name,
                        organisation->digest);
      world_operator_command (world, 0, KWF_OPERATOR_KEY_ADD,
                              organisation->organisation->name,
                              organisation->digest);
      run_for (world, RUN_IN_NS);
    }
  run_for (world, 3 * RUN_IN_NS);
}

void
experiment_add_servers (experiment_t *experiment)
{
  add_engines (experiment);
  place_all (experiment);
}

/* Lines for processes on loopback.  */

static void
add_engine_line (const experiment_t *experiment, const world_engine_t *engine,
                 GString *text)
{
  const workload_t *workload = experiment->options.workload;
  GString *models = g_string_new (NULL);
  double step_ms = 0;
  double sequence_ms = 0;
  double prefill_us = 0;
  int n = 0;
  for (guint i = 0; i < workload->models->len; i++)
    {
      const workload_model_t *model
          = &g_array_index (workload->models, workload_model_t, i);
      if (!sim_is_loaded (engine->sim, model->name))
        continue;
      g_string_append_printf (models, " --model %s:1:%.0f", model->name,
                              model->sim.memory_mb);
      for (int k = 1; k <= model->sim.n_adapters; k++)
        g_string_append_printf (models, "%c%s-%d", k == 1 ? ':' : ',',
                                model->name, k);
      step_ms += model->sim.step_ms;
      sequence_ms += model->sim.sequence_ms;
      prefill_us += 1e6 / model->sim.prefill_tokens_per_s;
      n++;
    }
  /* An engine stand-in has one speed for all of its models: their mean.  */
  n = MAX (n, 1);
  g_string_append_printf (
      text,
      "engine %s %s --memory-mb %.0f --batch %d --token-ms %.2f --slope %.4f "
      "--prefill-us %.1f%s\n",
      engine->id, engine->data_centre, workload->engine.memory_mb,
      workload->engine.max_batch, (step_ms + sequence_ms) / n,
      sequence_ms / MAX (step_ms + sequence_ms, 0.001), prefill_us / n,
      models->str);
  g_string_free (models, TRUE);
}

/* The two most requested models of each traffic get all of its requests, to
   limit the number of load generators.  */
static void
add_load_lines (const workload_traffic_t *traffic, GString *text)
{
  guint n = MIN (traffic->models->len, 2);
  double sum = 0;
  for (guint i = 0; i < n; i++)
    sum += pow (i + 1, -traffic->skew);
  for (guint i = 0; i < n; i++)
    g_string_append_printf (
        text, "load %s %s %.3f %.0f %.0f\n", traffic->organisation,
        (const char *)traffic->models->pdata[i],
        traffic->per_second * pow (i + 1, -traffic->skew) / sum,
        /* The engine stand-in counts four bytes of a prompt as a token.  */
        4 * (traffic->prompt_tokens + traffic->prefix_tokens),
        traffic->output_tokens);
}

char *
experiment_process_lines (const experiment_t *experiment)
{
  const workload_t *workload = experiment->options.workload;
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < experiment->world->engines->len; i++)
    {
      const world_engine_t *engine
          = g_ptr_array_index (experiment->world->engines, i);
      if (engine->sim)
        add_engine_line (experiment, engine, text);
      else
        g_string_append_printf (text, "service %s %s %s\n", engine->id,
                                engine->data_centre, engine->service);
    }
  for (guint i = 0; i < workload->traffic->len; i++)
    add_load_lines (&g_array_index (workload->traffic, workload_traffic_t, i),
                    text);
  return g_string_free (text, FALSE);
}
