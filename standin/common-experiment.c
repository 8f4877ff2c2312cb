#include "common-experiment.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <string.h>
#include <time.h>

#include "../bench/policy.h"

/* The run goes on this long after the last arrival, for answers still to
   come.  */
#define DRAIN_NS (90 * KWF_NS_PER_S)
/* Scratch memory must outlive every event on its way, including timeouts of
   the platform and of requests.  */
#define SCRATCH_NS (90 * KWF_NS_PER_S)

/* Arrivals of the requests of one [[traffic]] entry.  Each entry has its own
   random numbers, so that every policy gets the same requests.  */
typedef struct
{
  experiment_t *experiment;
  const workload_traffic_t *traffic;
  experiment_organisation_t *organisation;
  gsl_rng *random;
  double *weights; /* of the models, when one is drawn */
} arrivals_t;

typedef struct
{
  experiment_organisation_t *organisation;
  bool inside_rate;
  double charged;
} accounting_t;

static void
count_init (experiment_count_t *count)
{
  count->first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  count->between_ms = g_array_new (FALSE, FALSE, sizeof (double));
}

static void
count_clear (experiment_count_t *count)
{
  g_array_free (count->first_ms, TRUE);
  g_array_free (count->between_ms, TRUE);
}

/* The reference bucket of an organisation: one token bucket with its rate and
   burst, which decides what is inside the rate.  */

static void
refill_reference_bucket (experiment_t *experiment,
                         experiment_organisation_t *organisation,
                         double tokens)
{
  int64_t now_ns = experiment->world->now_ns;
  organisation->level += tokens
                         + organisation->organisation->rate
                               * (double)(now_ns - organisation->level_ns)
                               / KWF_NS_PER_S;
  organisation->level
      = MIN (organisation->level, organisation->organisation->burst);
  organisation->level_ns = now_ns;
}

static bool
charge_reference_bucket (experiment_t *experiment,
                         experiment_organisation_t *organisation,
                         double tokens)
{
  refill_reference_bucket (experiment, organisation, 0);
  if (organisation->level < tokens)
    return false;
  organisation->level -= tokens;
  return true;
}

/* Requests.  */

static void
add_by_time (experiment_t *experiment, GArray *array, int64_t time_ns)
{
  guint i = (guint)((time_ns - experiment->start_ns)
                    / (EXPERIMENT_BUCKET_S * KWF_NS_PER_S));
  if (i >= array->len)
    g_array_set_size (array, i + 1);
  g_array_index (array, double, i) += 1;
}

static void
count_answer (experiment_count_t *count, const world_request_t *request,
              bool attained)
{
  const accounting_t *accounting = request->data;
  bool ok = request->done && strcmp (request->code, "ok") == 0;
  bool refused = request->done && !ok && request->run == KWF_RUN_NO;
  if (ok && request->first_ns && !request->event.service)
    {
      double first_ms = (double)(request->first_ns - request->sent_ns) / 1e6;
      g_array_append_val (count->first_ms, first_ms);
      if (request->n_tokens > 1)
        {
          double between_ms = (double)(request->ended_ns - request->first_ns)
                              / 1e6 / (request->n_tokens - 1);
          g_array_append_val (count->between_ms, between_ms);
        }
    }
  if (!accounting->inside_rate)
    {
      count->served_outside += !refused;
      count->attained_outside += attained;
      return;
    }
  count->attained += attained;
  count->unfinished += !request->done;
  count->refused += refused;
  count->failed += request->done && !ok && !refused;
  count->rate_limited
      += refused && strcmp (request->code, "rate_limited") == 0;
}

static bool
meets_target (const experiment_t *experiment, const world_request_t *request)
{
  const accounting_t *accounting = request->data;
  if (!request->done || strcmp (request->code, "ok") != 0)
    return false;
  if (request->event.service)
    return true;
  const workload_target_t *target
      = &experiment->options.workload
             ->targets[accounting->organisation->organisation->class];
  double first_ms = (double)(request->first_ns - request->sent_ns) / 1e6;
  double rest_ms = (double)(request->ended_ns - request->first_ns) / 1e6;
  return first_ms <= target->first_ms
         && rest_ms <= target->between_ms * MAX (request->n_tokens - 1, 1);
}

static experiment_count_t *
class_of (experiment_t *experiment, const world_request_t *request)
{
  const accounting_t *accounting = request->data;
  return request->event.service
             ? &experiment->services
             : &experiment
                    ->classes[accounting->organisation->organisation->class];
}

static void
count_ended (experiment_t *experiment, const world_request_t *request)
{
  const accounting_t *accounting = request->data;
  bool attained = meets_target (experiment, request);
  count_answer (class_of (experiment, request), request, attained);
  if (accounting->inside_rate && request->done
      && strcmp (request->code, "ok") != 0)
    {
      gpointer n
          = g_hash_table_lookup (experiment->error_codes, request->code);
      g_hash_table_replace (experiment->error_codes, g_strdup (request->code),
                            GINT_TO_POINTER (GPOINTER_TO_INT (n) + 1));
    }
  if (request->event.service)
    return;
  count_answer (&accounting->organisation->count, request, attained);
  if (attained)
    add_by_time (experiment, accounting->organisation->attained_by_time,
                 request->sent_ns);
}

static void
request_ended (world_t *world, world_request_t *request)
{
  experiment_t *experiment = world->data;
  const accounting_t *accounting = request->data;
  /* The instance refunds a request that did not run, and so does the reference
     bucket.  Not so a request that the instance refused because of the rate
     limit: the reference bucket had admitted it.  */
  if (accounting->inside_rate && request->run == KWF_RUN_NO
      && strcmp (request->code, "rate_limited") != 0)
    refill_reference_bucket (experiment, accounting->organisation,
                             accounting->charged);
  count_ended (experiment, request);
}

static int
draw_tokens (arrivals_t *arrivals, double mean)
{
  /* Lengths of prompts and answers have a long tail.  A gamma distribution of
     shape 2 has a coefficient of variation of 0.7.  */
  double drawn = gsl_ran_gamma (arrivals->random, 2, mean / 2);
  return MAX (1, (int)MIN (drawn, mean * 6));
}

static const char *
draw_model (arrivals_t *arrivals, double elapsed_s)
{
  const workload_traffic_t *traffic = arrivals->traffic;
  const workload_t *workload = arrivals->experiment->options.workload;
  double sum = 0;
  for (guint i = 0; i < traffic->models->len; i++)
    {
      arrivals->weights[i]
          = pow (i + 1, -traffic->skew)
            * workload_model_factor (workload, traffic->organisation,
                                     traffic->models->pdata[i], elapsed_s);
      sum += arrivals->weights[i];
    }
  double drawn = gsl_rng_uniform (arrivals->random) * sum;
  guint i = 0;
  for (; i + 1 < traffic->models->len && drawn >= arrivals->weights[i]; i++)
    drawn -= arrivals->weights[i];
  return traffic->models->pdata[i];
}

static const char *
draw_adapter (arrivals_t *arrivals, const char *model)
{
  double drawn = gsl_rng_uniform (arrivals->random);
  const workload_model_t *found
      = workload_model (arrivals->experiment->options.workload, model);
  if (!found->sim.n_adapters || drawn >= arrivals->traffic->adapter_share)
    return NULL;
  unsigned long k
      = 1
        + gsl_rng_uniform_int (arrivals->random,
                               (unsigned long)found->sim.n_adapters);
  char text[128];
  g_snprintf (text, sizeof text, "%s-%lu", model, k);
  return world_text (arrivals->experiment->world, text);
}

static uint64_t
draw_prefix (arrivals_t *arrivals, const char *model)
{
  unsigned long n = (unsigned long)MAX (arrivals->traffic->prefixes, 1);
  unsigned long k = gsl_rng_uniform_int (arrivals->random, n);
  char text[256];
  g_snprintf (text, sizeof text, "%s/%s/%lu", arrivals->traffic->organisation,
              model, k);
  return ((uint64_t)g_str_hash (text) << 8) + 1;
}

/* Draw a random request, charge the reference bucket, count the request and
   send it.  */
static void
add_request (arrivals_t *arrivals, double elapsed_s)
{
  experiment_t *experiment = arrivals->experiment;
  world_t *world = experiment->world;
  const workload_traffic_t *traffic = arrivals->traffic;
  char name[32];
  g_snprintf (name, sizeof name, "r%" G_GUINT64_FORMAT,
              ++experiment->n_requests);
  int index = (int)gsl_rng_uniform_int (arrivals->random,
                                        (unsigned long)world->n_nodes);
  world_request_t *request = world_request_new (world, name, index);
  request->body = request->name;
  request->stream = !traffic->service;
  request->event = (kwf_request_event_t){
    .handle = request->handle,
    .kind = traffic->service ? KWF_REQUEST_SERVICE : KWF_REQUEST_COMPLETION,
    .id = request->name,
    .key_digest = arrivals->organisation->digest,
    .service = traffic->service,
    .idempotent = true,
    .stream = request->stream,
    .fingerprint = experiment->n_requests,
  };
  if (!traffic->service)
    {
      const char *model = draw_model (arrivals, elapsed_s);
      int prompt = draw_tokens (arrivals, traffic->prompt_tokens);
      request->n_tokens = draw_tokens (arrivals, traffic->output_tokens);
      request->event.model = model;
      request->event.adapter = draw_adapter (arrivals, model);
      request->event.prefix = draw_prefix (arrivals, model);
      request->prefix_tokens = (int)traffic->prefix_tokens;
      request->event.prompt_tokens = prompt + request->prefix_tokens;
      request->event.max_tokens = request->n_tokens;
    }
  accounting_t *accounting = world_alloc (world, sizeof *accounting);
  request->data = accounting;
  accounting->organisation = arrivals->organisation;
  accounting->charged
      = (double)(request->event.prompt_tokens + request->event.max_tokens);
  accounting->inside_rate = charge_reference_bucket (
      experiment, arrivals->organisation, accounting->charged);
  class_of (experiment, request)->sent++;
  class_of (experiment, request)->inside_rate += accounting->inside_rate;
  if (!traffic->service)
    {
      arrivals->organisation->count.sent++;
      arrivals->organisation->count.inside_rate += accounting->inside_rate;
      if (accounting->inside_rate)
        add_by_time (experiment, arrivals->organisation->inside_rate_by_time,
                     world->now_ns);
    }
  world_request_send (world, request);
}

/* Send a request of one traffic entry and schedule the next one, at most 60 s
   later.  */
static void
send_and_schedule (world_t *world, void *data)
{
  arrivals_t *arrivals = data;
  experiment_t *experiment = arrivals->experiment;
  if (world->now_ns >= experiment->end_ns)
    return;
  double elapsed_s
      = (double)(world->now_ns - experiment->start_ns) / KWF_NS_PER_S;
  add_request (arrivals, elapsed_s);
  double rate
      = arrivals->traffic->per_second
        * workload_rate_factor (experiment->options.workload,
                                arrivals->traffic->organisation, elapsed_s);
  double shape = 1 / MAX (arrivals->traffic->burstiness, 0.01);
  /* At a rate of 0, the next request is sent after 1 s; the rate may have
     changed by then, because the workload's phases multiply it.  */
  double wait_s
      = rate > 0 ? gsl_ran_gamma (arrivals->random, shape, 1 / (shape * rate))
                 : 1;
  world_at (world, world->now_ns + (int64_t)(MIN (wait_s, 60) * 1e9),
            send_and_schedule, arrivals);
}

static experiment_organisation_t *
find_organisation (experiment_t *experiment, const char *name)
{
  for (guint i = 0; i < experiment->organisations->len; i++)
    {
      experiment_organisation_t *organisation = &g_array_index (
          experiment->organisations, experiment_organisation_t, i);
      if (strcmp (organisation->organisation->name, name) == 0)
        return organisation;
    }
  return NULL;
}

experiment_t *
experiment_new (const experiment_options_t *options)
{
  const workload_t *workload = options->workload;
  experiment_t *experiment = g_new0 (experiment_t, 1);
  experiment->options = *options;
  experiment->store = workload->store;
  experiment->world = world_new (options->seed);
  experiment->world->data = experiment;
  experiment->world->scratch_ns = SCRATCH_NS;
  experiment->world->centre_delay_ns
      = (int64_t)(workload->run.centre_ms * 1e6);
  experiment->world->policy
      = options->custom_policy ? options->custom_policy
                               : policy_new (options->policy, options->seed);
  experiment->world->ended = request_ended;
  experiment->models = g_hash_table_new (g_str_hash, g_str_equal);
  experiment->engine_sims
      = g_ptr_array_new_with_free_func ((GDestroyNotify)sim_free);
  experiment->error_codes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  experiment->organisations
      = g_array_new (FALSE, TRUE, sizeof (experiment_organisation_t));
  g_array_set_size (experiment->organisations, workload->organisations->len);
  for (guint i = 0; i < workload->organisations->len; i++)
    {
      experiment_organisation_t *organisation = &g_array_index (
          experiment->organisations, experiment_organisation_t, i);
      organisation->organisation = &g_array_index (workload->organisations,
                                                   workload_organisation_t, i);
      organisation->inside_rate_by_time
          = g_array_new (FALSE, TRUE, sizeof (double));
      organisation->attained_by_time
          = g_array_new (FALSE, TRUE, sizeof (double));
      count_init (&organisation->count);
    }
  for (int i = 0; i < N_CLASSES; i++)
    count_init (&experiment->classes[i]);
  count_init (&experiment->services);
  experiment_add_servers (experiment);
  return experiment;
}

static void
run_arrivals (experiment_t *experiment)
{
  const workload_t *workload = experiment->options.workload;
  guint n = workload->traffic->len;
  arrivals_t *all = g_new0 (arrivals_t, n);
  for (guint i = 0; i < n; i++)
    {
      const workload_traffic_t *traffic
          = &g_array_index (workload->traffic, workload_traffic_t, i);
      arrivals_t *arrivals = &all[i];
      arrivals->experiment = experiment;
      arrivals->traffic = traffic;
      arrivals->organisation
          = find_organisation (experiment, traffic->organisation);
      arrivals->weights = g_new (double, traffic->models->len + 1);
      arrivals->random = gsl_rng_alloc (gsl_rng_mt19937);
      gsl_rng_set (arrivals->random, experiment->options.seed * 1000 + i);
      world_at (experiment->world,
                experiment->world->now_ns
                    + (int64_t)(gsl_rng_uniform (arrivals->random) * 1e9),
                send_and_schedule, arrivals);
    }
  world_run (experiment->world, experiment->end_ns + DRAIN_NS);
  for (guint i = 0; i < n; i++)
    {
      gsl_rng_free (all[i].random);
      g_free (all[i].weights);
    }
  g_free (all);
}

experiment_t *
experiment_run (const experiment_options_t *options)
{
  clock_t began = clock ();
  experiment_t *experiment = experiment_new (options);
  world_t *world = experiment->world;
  experiment_start_instances (experiment);
  double minutes = options->minutes > 0 ? options->minutes
                                        : options->workload->run.minutes;
  experiment->start_ns = world->now_ns;
  experiment->end_ns = world->now_ns + (int64_t)(minutes * 60 * KWF_NS_PER_S);
  for (guint i = 0; i < experiment->organisations->len; i++)
    {
      experiment_organisation_t *organisation = &g_array_index (
          experiment->organisations, experiment_organisation_t, i);
      organisation->level = organisation->organisation->burst;
      organisation->level_ns = world->now_ns;
    }
  run_arrivals (experiment);
  for (guint i = 0; i < world->requests->len; i++)
    {
      const world_request_t *request = g_ptr_array_index (world->requests, i);
      if (!request->done)
        count_ended (experiment, request);
    }
  experiment->cpu_s = (double)(clock () - began) / CLOCKS_PER_SEC;
  return experiment;
}

void
experiment_free (experiment_t *experiment)
{
  if (!experiment->options.custom_policy)
    g_free (experiment->world->policy);
  world_free (experiment->world);
  g_ptr_array_free (experiment->engine_sims, TRUE);
  g_hash_table_unref (experiment->models);
  g_hash_table_unref (experiment->error_codes);
  for (guint i = 0; i < experiment->organisations->len; i++)
    {
      experiment_organisation_t *organisation = &g_array_index (
          experiment->organisations, experiment_organisation_t, i);
      count_clear (&organisation->count);
      g_array_free (organisation->inside_rate_by_time, TRUE);
      g_array_free (organisation->attained_by_time, TRUE);
    }
  g_array_free (experiment->organisations, TRUE);
  for (int i = 0; i < N_CLASSES; i++)
    count_clear (&experiment->classes[i]);
  count_clear (&experiment->services);
  g_free (experiment);
}
