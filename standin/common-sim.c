#include "common-sim-state.h"

#include <string.h>

world_t *
sim_world (const sim_engine_t *sim)
{
  return sim->engine->world;
}

static void
resident_free (gpointer data)
{
  sim_resident_t *resident = data;
  g_ptr_array_free (resident->adapters, TRUE);
  g_free (resident);
}

sim_engine_t *
sim_new (world_engine_t *engine, const sim_options_t *options,
         sim_weight_store_t *store)
{
  sim_engine_t *sim = g_new0 (sim_engine_t, 1);
  sim->engine = engine;
  sim->options = *options;
  sim->store = store;
  sim->residents = g_ptr_array_new_with_free_func (resident_free);
  sim->running = g_ptr_array_new_with_free_func (g_free);
  sim->report_ns = INT64_MIN / 2;
  engine->sim = sim;
  return sim;
}

void
sim_free (sim_engine_t *sim)
{
  g_ptr_array_free (sim->residents, TRUE);
  g_ptr_array_free (sim->running, TRUE);
  g_queue_clear_full (&sim->waiting, g_free);
  g_queue_clear_full (&sim->cache, g_free);
  g_free (sim);
}

void
sim_set_models (sim_engine_t *sim, GHashTable *models)
{
  sim->models = models;
}

const sim_stats_t *
sim_stats (const sim_engine_t *sim)
{
  return &sim->stats;
}

/* Memory.  */

double
sim_used_mb (const sim_engine_t *sim)
{
  double mb = 0;
  for (guint i = 0; i < sim->residents->len; i++)
    {
      const sim_resident_t *resident = g_ptr_array_index (sim->residents, i);
      mb += resident->model->memory_mb
            + resident->model->adapter_mb * resident->adapters->len;
    }
  return mb;
}

double
sim_free_mb (const sim_engine_t *sim)
{
  return sim->options.memory_mb - sim_used_mb (sim);
}

/* Remove the least recently used adapter that no sequence uses.  Return
   whether there was one.  */
static bool
evict_idle_adapter (sim_engine_t *sim)
{
  sim_resident_t *owner = NULL;
  sim_adapter_t *oldest = NULL;
  for (guint i = 0; i < sim->residents->len; i++)
    {
      sim_resident_t *resident = g_ptr_array_index (sim->residents, i);
      for (guint k = 0; k < resident->adapters->len; k++)
        {
          sim_adapter_t *adapter = g_ptr_array_index (resident->adapters, k);
          if (!adapter->ready || adapter->sequences
              || (oldest && adapter->used_ns >= oldest->used_ns))
            continue;
          oldest = adapter;
          owner = resident;
        }
    }
  if (oldest)
    g_ptr_array_remove (owner->adapters, oldest);
  return oldest != NULL;
}

static void
make_room (sim_engine_t *sim)
{
  while (sim_used_mb (sim) > sim->options.memory_mb
         && evict_idle_adapter (sim))
    continue;
  double mb = sim_used_mb (sim);
  sim->stats.peak_mb = MAX (sim->stats.peak_mb, mb);
  if (mb > sim->options.memory_mb)
    sim->stats.memory_excesses++;
}

sim_resident_t *
sim_find_resident (const sim_engine_t *sim, const char *model)
{
  for (guint i = 0; i < sim->residents->len; i++)
    {
      sim_resident_t *resident = g_ptr_array_index (sim->residents, i);
      if (strcmp (resident->model->name, model) == 0)
        return resident;
    }
  return NULL;
}

bool
sim_is_loaded (const sim_engine_t *sim, const char *model)
{
  const sim_resident_t *resident = sim_find_resident (sim, model);
  return resident && resident->state == RESIDENT_READY;
}

sim_resident_t *
sim_add_resident (sim_engine_t *sim, const sim_model_t *model,
                  sim_resident_state_t state)
{
  sim_resident_t *resident = g_new0 (sim_resident_t, 1);
  resident->sim = sim;
  resident->model = model;
  resident->state = state;
  resident->adapters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (sim->residents, resident);
  make_room (sim);
  return resident;
}

void
sim_preload (sim_engine_t *sim, const sim_model_t *model)
{
  sim_add_resident (sim, model, RESIDENT_READY);
}

/* The prefix cache.  */

/* Number of tokens of the prompt that are in the cache.  If they are not, add
   them to it and return 0.  */
static double
look_up_prefix (sim_engine_t *sim, const world_request_t *request)
{
  if (!request->event.prefix || !request->prefix_tokens
      || request->prefix_tokens > sim->options.cache_tokens)
    return 0;
  for (GList *at = sim->cache.head; at; at = at->next)
    if (((const sim_cached_prefix_t *)at->data)->prefix
        == request->event.prefix)
      {
        g_queue_unlink (&sim->cache, at);
        g_queue_push_head_link (&sim->cache, at);
        return request->prefix_tokens;
      }
  sim_cached_prefix_t *cached = g_new (sim_cached_prefix_t, 1);
  *cached
      = (sim_cached_prefix_t){ request->event.prefix, request->prefix_tokens };
  g_queue_push_head (&sim->cache, cached);
  sim->cache_used += cached->tokens;
  while (sim->cache_used > sim->options.cache_tokens)
    {
      sim_cached_prefix_t *last = g_queue_pop_tail (&sim->cache);
      sim->cache_used -= last->tokens;
      g_free (last);
    }
  return 0;
}

/* Steps.  */

static void begin_step (sim_engine_t *sim);

static void
end_sequence (sim_sequence_t *sequence)
{
  sequence->resident->sequences--;
  if (sequence->adapter)
    sequence->adapter->sequences--;
}

static bool
fits (const sim_engine_t *sim, const sim_sequence_t *sequence)
{
  return (!sequence->adapter || sequence->adapter->ready)
         && (!sim->running->len
             || sim->context + sequence->context
                    <= sim->options.context_tokens);
}

static void
fill_batch (sim_engine_t *sim)
{
  for (GList *at = sim->waiting.head; at;)
    {
      GList *next = at->next;
      sim_sequence_t *sequence = at->data;
      if (sequence->attempt->cancelled || sequence->attempt->ended)
        {
          world_attempt_release (sequence->attempt);
          end_sequence (sequence);
          g_free (sequence);
          g_queue_delete_link (&sim->waiting, at);
        }
      else if ((int)sim->running->len < sim->options.max_batch
               && fits (sim, sequence))
        {
          double cached = look_up_prefix (sim, sequence->attempt->request);
          sequence->prefill = MAX (1, sequence->prompt - cached);
          sim->stats.prompt += sequence->prompt;
          sim->stats.cached += cached;
          sim->context += sequence->context;
          g_ptr_array_add (sim->running, sequence);
          g_queue_delete_link (&sim->waiting, at);
        }
      at = next;
    }
}

/* Generate the next token of SEQUENCE.  Return whether it was the last.  */
static bool
make_token (sim_engine_t *sim, sim_sequence_t *sequence)
{
  world_attempt_t *attempt = sequence->attempt;
  const world_request_t *request = attempt->request;
  attempt->made++;
  bool last = attempt->resume_from + attempt->made >= request->n_tokens;
  if (last)
    world_attempt_finish (attempt, 200, "{\"whole\":true}");
  else if (attempt->made == 1
           || attempt->made - sequence->reported
                  >= sim->options.tokens_per_event)
    {
      sequence->reported = attempt->made;
      world_attempt_data (attempt);
    }
  return last;
}

static void
end_step (world_t *world, void *data)
{
  (void)world;
  sim_engine_t *sim = data;
  sim->stepping = false;
  for (guint i = 0; i < sim->running->len;)
    {
      sim_sequence_t *sequence = g_ptr_array_index (sim->running, i);
      bool gone = sequence->attempt->cancelled || sequence->attempt->ended;
      if (gone)
        world_attempt_release (sequence->attempt);
      if (gone || (sequence->prefill <= 0 && make_token (sim, sequence)))
        {
          end_sequence (sequence);
          sim->context -= sequence->context;
          g_ptr_array_remove_index (sim->running, i);
        }
      else
        i++;
    }
  begin_step (sim);
}

/* Process prompt tokens of the batch, up to the limit of a step.  Return the
   time that this takes.  */
static double
prefill_ms (sim_engine_t *sim)
{
  double ms = 0;
  double left = sim->options.chunk_tokens;
  for (guint i = 0; i < sim->running->len && left > 0; i++)
    {
      sim_sequence_t *sequence = g_ptr_array_index (sim->running, i);
      double taken = MIN (MAX (sequence->prefill, 0), left);
      sequence->prefill -= taken;
      left -= taken;
      ms += taken * 1000 / sequence->resident->model->prefill_tokens_per_s;
    }
  return ms;
}

static void
begin_step (sim_engine_t *sim)
{
  if (sim->stepping)
    return;
  fill_batch (sim);
  if (!sim->running->len)
    return;
  double ms = prefill_ms (sim);
  /* The sequences of each model are a pass of their own; the passes run one
     after the other.  */
  for (guint i = 0; i < sim->residents->len; i++)
    {
      const sim_resident_t *resident = g_ptr_array_index (sim->residents, i);
      bool runs = false;
      for (guint k = 0; k < sim->running->len; k++)
        {
          const sim_sequence_t *sequence = g_ptr_array_index (sim->running, k);
          if (sequence->resident != resident)
            continue;
          runs = true;
          ms += resident->model->sequence_ms
                + resident->model->context_ms * sequence->context / 1000;
        }
      if (runs)
        ms += resident->model->step_ms;
    }
  sim->stepping = true;
  sim->stats.busy_s += ms / 1000;
  world_at (sim_world (sim), sim_world (sim)->now_ns + (int64_t)(ms * 1e6),
            end_step, sim);
}

/* Adapters.  */

typedef struct
{
  sim_engine_t *sim;
  sim_adapter_t *adapter;
} adapter_load_t;

static void
end_adapter_load (world_t *world, void *data)
{
  (void)world;
  const adapter_load_t *adapter_load = data;
  adapter_load->sim->store->adapters_loading--;
  adapter_load->adapter->ready = true;
  begin_step (adapter_load->sim);
}

sim_adapter_t *
sim_request_adapter (sim_engine_t *sim, sim_resident_t *resident,
                     const char *name)
{
  world_t *world = sim_world (sim);
  for (guint i = 0; i < resident->adapters->len; i++)
    {
      sim_adapter_t *adapter = g_ptr_array_index (resident->adapters, i);
      if (strcmp (adapter->name, name) == 0)
        return adapter;
    }
  sim_adapter_t *adapter = g_new0 (sim_adapter_t, 1);
  adapter->name = world_text (world, name);
  adapter->sequences = 1; /* keeps make_room from removing it */
  g_ptr_array_add (resident->adapters, adapter);
  make_room (sim);
  adapter->sequences = 0;
  sim_weight_store_t *store = sim->store;
  store->adapters_loading++;
  sim->stats.n_adapter_loads++;
  double ms = store->adapter_min_ms
              + (store->adapter_max_ms - store->adapter_min_ms)
                    * (double)world_random (world, 1000) / 1000;
  ms *= MAX (1, store->adapters_loading / store->full_speed_adapters);
  adapter_load_t *adapter_load = world_scratch (world, sizeof *adapter_load);
  *adapter_load = (adapter_load_t){ .sim = sim, .adapter = adapter };
  world_at (world, world->now_ns + (int64_t)(ms * 1e6), end_adapter_load,
            adapter_load);
  return adapter;
}

/* Attempts.  */

static gint
compare_queue_order (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const sim_sequence_t *left = a;
  const sim_sequence_t *right = b;
  if (left->attempt->priority != right->attempt->priority)
    return left->attempt->priority - right->attempt->priority;
  return left->number < right->number ? -1 : 1;
}

void
sim_start_attempt (world_t *world, void *data)
{
  world_attempt_t *attempt = data;
  sim_engine_t *sim = attempt->engine->sim;
  const world_request_t *request = attempt->request;
  if (attempt->ended || attempt->cancelled)
    {
      world_attempt_release (attempt);
      return;
    }
  sim_resident_t *resident = sim_find_resident (sim, request->event.model);
  if (!resident || resident->state != RESIDENT_READY)
    {
      world_attempt_finish (attempt, 404,
                            "{\"error\":{\"code\":\"model_not_loaded\"}}");
      return;
    }
  sim_sequence_t *sequence = g_new0 (sim_sequence_t, 1);
  sequence->attempt = attempt;
  sequence->resident = resident;
  sequence->number = ++sim->n_sequences;
  sequence->prompt
      = (double)(request->event.prompt_tokens + attempt->resume_from);
  sequence->context
      = (double)(request->event.prompt_tokens + request->n_tokens);
  resident->sequences++;
  if (request->event.adapter)
    {
      sequence->adapter
          = sim_request_adapter (sim, resident, request->event.adapter);
      sequence->adapter->sequences++;
      sequence->adapter->used_ns = world->now_ns;
    }
  g_queue_insert_sorted (&sim->waiting, sequence, compare_queue_order, NULL);
  begin_step (sim);
}
