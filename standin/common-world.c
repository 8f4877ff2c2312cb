#include "common-world-memory.h"
#include "common-sim.h"

#include <string.h>

#include "../lib/queue.h"

#define WALL_START_NS (INT64_C (1700000000) * KWF_NS_PER_S)

typedef struct
{
  world_fn_t fn;
  void *data;
} task_t;

typedef struct
{
  kwf_clock_t base;
  const world_t *world;
} world_clock_t;

typedef struct
{
  kwf_random_t base;
  uint64_t state;
} world_random_t;

static struct timespec
to_timespec (int64_t time_ns)
{
  return (struct timespec){ .tv_sec = time_ns / KWF_NS_PER_S,
                            .tv_nsec = time_ns % KWF_NS_PER_S };
}

static struct timespec
world_elapsed (const kwf_clock_t *clock)
{
  return to_timespec (
      ((const world_clock_t *)(const void *)clock)->world->now_ns);
}

static struct timespec
world_wall (const kwf_clock_t *clock)
{
  return to_timespec (
      ((const world_clock_t *)(const void *)clock)->world->now_ns
      + WALL_START_NS);
}

static void
world_fill (kwf_random_t *random, void *buffer, size_t size)
{
  world_random_t *source = (world_random_t *)(void *)random;
  unsigned char *bytes = buffer;
  for (size_t i = 0; i < size; i++)
    bytes[i] = (unsigned char)random_next (&source->state);
}

static const kwf_clock_ops_t clock_ops
    = { .monotonic = world_elapsed, .wall = world_wall };
static const kwf_random_ops_t random_ops = { .fill = world_fill };

uint64_t
world_random (world_t *world, uint64_t below)
{
  return random_next (&world->seed) % below;
}

void *
world_alloc (world_t *world, size_t size)
{
  void *block = g_malloc0 (size);
  g_ptr_array_add (world->blocks, block);
  return block;
}

char *
world_text (world_t *world, const char *text)
{
  if (!text)
    return NULL;
  char *copy = g_strdup (text);
  g_ptr_array_add (world->blocks, copy);
  return copy;
}

/* An allocation of the scratch memory, and the function that frees it.  */
typedef struct
{
  GDestroyNotify free;
  void *data;
} scratch_item_t;

static void
scratch_item_free (gpointer data)
{
  scratch_item_t *item = data;
  item->free (item->data);
  g_free (item);
}

static void
add_scratch_item (world_t *world, GDestroyNotify fn, void *data)
{
  if (world->scratch_ns
      && world->now_ns - world->scratch_since_ns >= world->scratch_ns)
    {
      g_ptr_array_free (world->old_scratch, TRUE);
      world->old_scratch = world->scratch;
      world->scratch = g_ptr_array_new_with_free_func (scratch_item_free);
      world->scratch_since_ns = world->now_ns;
    }
  scratch_item_t *item = g_new (scratch_item_t, 1);
  *item = (scratch_item_t){ fn, data };
  g_ptr_array_add (world->scratch, item);
}

void *
world_scratch (world_t *world, size_t size)
{
  void *block = g_malloc0 (size);
  add_scratch_item (world, g_free, block);
  return block;
}

char *
world_scratch_text (world_t *world, const char *text)
{
  if (!text)
    return NULL;
  char *copy = g_strdup (text);
  add_scratch_item (world, g_free, copy);
  return copy;
}

static void
request_free (gpointer data)
{
  world_request_t *request = data;
  g_array_free (request->tokens, TRUE);
  g_free (request);
}

static void
engine_free (gpointer data)
{
  world_engine_t *engine = data;
  g_queue_clear (&engine->waiting);
  g_ptr_array_free (engine->models, TRUE);
  world_memory_free (engine->memory);
  g_free (engine);
}

kwf_core_options_t
world_core_options (void)
{
  return (kwf_core_options_t){ .data_centre = "a",
                               .lease_ns = 2400 * MS,
                               .renew_ns = 800 * MS,
                               .probe_ns = 500 * MS,
                               .address_lifetime_ns = 5000 * MS,
                               .default_timeout_ns = 60 * KWF_NS_PER_S,
                               .retry_share = 0.1,
                               .preempt_share = 0.05 };
}

world_t *
world_new (uint64_t seed)
{
  world_t *world = g_new0 (world_t, 1);
  world->now_ns = 100 * KWF_NS_PER_S;
  world->seed = seed;
  world->options = world_core_options ();
  world->link_ns = 1 * MS;
  heap_init (&world->queue);
  world_table_init (&world->table);
  world->engines = g_ptr_array_new_with_free_func (engine_free);
  world->requests = g_ptr_array_new_with_free_func (request_free);
  world->requests_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  world->requests_by_handle = g_hash_table_new (g_int64_hash, g_int64_equal);
  world->attempts = g_hash_table_new (g_str_hash, g_str_equal);
  world->links = g_hash_table_new (g_str_hash, g_str_equal);
  world->runs = g_hash_table_new (g_str_hash, g_str_equal);
  world->blocks = g_ptr_array_new_with_free_func (g_free);
  world->scratch = g_ptr_array_new_with_free_func (scratch_item_free);
  world->old_scratch = g_ptr_array_new_with_free_func (scratch_item_free);
  world->logs = g_hash_table_new (g_direct_hash, g_direct_equal);
  world->lists_plans = g_string_new (NULL);
  world->lists_uses = g_string_new (NULL);
  return world;
}

void
world_free (world_t *world)
{
  for (int i = 0; i < WORLD_MAX_NODES; i++)
    kwf_core_free (world->nodes[i].core);
  while (heap_first (&world->queue))
    g_free (heap_pop (&world->queue));
  heap_clear (&world->queue);
  world_table_free (&world->table);
  g_ptr_array_free (world->engines, TRUE);
  g_hash_table_unref (world->requests_by_name);
  g_hash_table_unref (world->requests_by_handle);
  g_ptr_array_free (world->requests, TRUE);
  g_hash_table_unref (world->attempts);
  g_hash_table_unref (world->links);
  g_hash_table_unref (world->runs);
  g_hash_table_unref (world->logs);
  g_ptr_array_free (world->scratch, TRUE);
  g_ptr_array_free (world->old_scratch, TRUE);
  g_ptr_array_free (world->blocks, TRUE);
  g_string_free (world->lists_plans, TRUE);
  g_string_free (world->lists_uses, TRUE);
  g_free (world->reply_body);
  g_free (world);
}

/* The queue of tasks.  */

void
world_at (world_t *world, int64_t time_ns, world_fn_t fn, void *data)
{
  task_t *task = g_new (task_t, 1);
  *task = (task_t){ fn, data };
  heap_push (&world->queue, MAX (time_ns, world->now_ns), task);
}

void
world_run (world_t *world, int64_t until_ns)
{
  for (const heap_item_t *first = heap_first (&world->queue);
       first && first->at_ns <= until_ns; first = heap_first (&world->queue))
    {
      world->now_ns = first->at_ns;
      task_t *popped = heap_pop (&world->queue);
      const task_t task = *popped;
      g_free (popped);
      task.fn (world, task.data);
    }
  world->now_ns = MAX (world->now_ns, until_ns);
}

/* Answers to callers.  */

static void
end_request (world_t *world, world_request_t *request, const char *code)
{
  request->answers++;
  request->done = true;
  request->code = world_text (world, code);
  request->ended_ns = world->now_ns;
  if (world->ended)
    world->ended (world, request);
}

static void
handle_reply (world_node_t *node, const kwf_reply_t *reply)
{
  world_t *world = node->world;
  world_request_t *request
      = g_hash_table_lookup (world->requests_by_handle, &reply->request);
  request->status = reply->status;
  request->run = reply->run;
  request->retry_after_ms = reply->retry_after_ms;
  request->limit_rate = reply->limit_rate;
  request->text = world_text (world, reply->body);
  request->message = world_text (world, reply->message);
  end_request (world, request, reply->code ? reply->code : "ok");
}

static void
handle_end (world_node_t *node, const kwf_effect_t *effect)
{
  world_t *world = node->world;
  world_request_t *request = g_hash_table_lookup (world->requests_by_handle,
                                                  &effect->attempt.request);
  world_engine_forward (node, effect->attempt.request, effect->attempt.attempt,
                        true);
  request->status = 200;
  request->run = KWF_RUN_YES;
  end_request (world, request, "ok");
}

/* Effects of the cores.  */

static void
tick (world_t *world, void *data)
{
  world_node_t *node = data;
  if (!node->up || !node->timer_ns || world->now_ns < node->timer_ns)
    return;
  node->timer_ns = 0;
  world_node_step (node, &(kwf_event_t){ .type = KWF_EV_TICK });
}

static void
set_timer (world_node_t *node, int64_t timer_ns)
{
  if (node->timer_ns && node->timer_ns <= timer_ns)
    return;
  node->timer_ns = timer_ns;
  world_at (node->world, timer_ns, tick, node);
}

static void
count_log (world_node_t *node, const kwf_log_t *log)
{
  world_t *world = node->world;
  gpointer key = GINT_TO_POINTER (log->number);
  int count = GPOINTER_TO_INT (g_hash_table_lookup (world->logs, key));
  g_hash_table_replace (world->logs, key, GINT_TO_POINTER (count + 1));
  if (world->verbose)
    g_print ("%8.3f %s %d %s: %s\n",
             (double)(world->now_ns - 100 * KWF_NS_PER_S) / 1e9, node->name,
             log->number, log->request_id ? log->request_id : "-", log->text);
}

static void
handle_exit (world_node_t *node)
{
  node->exited = true;
  node->exited_ns = node->world->now_ns;
  node->world->n_exits++;
}

static void
record_operator_reply (world_t *world, const kwf_operator_reply_t *reply)
{
  g_free (world->reply_body);
  world->reply_body = g_strdup (reply->body);
  world->reply_status = reply->status;
}

static void
handle_order (world_node_t *node, const kwf_order_t *order)
{
  const world_engine_t *engine = world_engine (node->world, order->server);
  if (engine && engine->sim)
    sim_receive_order (node, engine->sim, order);
  else
    world_memory_send_order (node, order);
}

static void
handle_effect (world_node_t *node, const kwf_effect_t *effect)
{
  switch (effect->type)
    {
    case KWF_FX_TIMER:
      set_timer (node, effect->timer_ns);
      break;
    case KWF_FX_ORDER:
      handle_order (node, &effect->order);
      break;
    case KWF_FX_STORE:
      world_table_call (node, effect->store.op, effect->store.timeout_ns,
                        &effect->store.txn);
      break;
    case KWF_FX_MEMBERS:
      world_send_members (node);
      break;
    case KWF_FX_PROBE:
      world_engine_probe (node, effect->probe.server);
      break;
    case KWF_FX_PEER_LINK:
      world_node_link (node, effect->link.instance);
      break;
    case KWF_FX_ASK:
    case KWF_FX_PEER_UNLINK:
    case KWF_FX_REFRESH:
      break;
    case KWF_FX_PEER_SEND:
      world_node_send (node, effect->send.instance, &effect->send.message);
      break;
    case KWF_FX_ATTEMPT_START:
      world_engine_start (node, &effect->start);
      break;
    case KWF_FX_ATTEMPT_CANCEL:
      world_engine_cancel (node, effect->attempt.attempt);
      break;
    case KWF_FX_FORWARD:
      world_engine_forward (node, effect->attempt.request,
                            effect->attempt.attempt, false);
      break;
    case KWF_FX_FORWARD_END:
      handle_end (node, effect);
      break;
    case KWF_FX_REPLY:
      handle_reply (node, &effect->reply);
      break;
    case KWF_FX_OPERATOR_REPLY:
      record_operator_reply (node->world, &effect->operator_reply);
      break;
    case KWF_FX_LOG:
      count_log (node, &effect->log);
      break;
    case KWF_FX_EXIT:
      handle_exit (node);
      break;
    }
}

typedef struct
{
  world_node_t *node;
  uint64_t incarnation;
  kwf_event_t event;
} delayed_event_t;

static void
step_after_pause (world_t *world, void *data)
{
  (void)world;
  const delayed_event_t *waiting = data;
  if (waiting->node->up && waiting->node->incarnation == waiting->incarnation)
    world_node_step (waiting->node, &waiting->event);
}

void
world_node_step (world_node_t *node, const kwf_event_t *event)
{
  world_t *world = node->world;
  if (world->now_ns < node->paused_until_ns)
    {
      delayed_event_t *waiting = world_scratch (world, sizeof *waiting);
      *waiting = (delayed_event_t){ node, node->incarnation, *event };
      world_at (world, node->paused_until_ns, step_after_pause, waiting);
      return;
    }
  kwf_effects_t *effects = kwf_effects_new ();
  add_scratch_item (world, (GDestroyNotify)kwf_effects_free, effects);
  world->n_steps++;
  kwf_core_step (node->core, event, effects);
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    handle_effect (node, kwf_effects_at (effects, i));
}

/* Starting and killing instances.  */

/* Apply the parts of POLICY that the core takes as options.  */
static void
apply_policy (kwf_core_options_t *options, const policy_t *policy)
{
  if (!policy)
    return;
  if (policy->ops->order == POLICY_ORDER_FIFO)
    options->queue_order = &queue_fifo;
  if (policy->ops->placement == POLICY_PLACEMENT_STATIC)
    options->placement.dynamic = false;
  if (policy->ops->placement == POLICY_PLACEMENT_NO_HYSTERESIS)
    {
      options->placement.no_hysteresis = true;
      /* The number of copies follows the present demand.  */
      options->placement.max_requests_per_copy = 1;
    }
}

void
world_node_start (world_t *world, int index)
{
  world_node_t *node = &world->nodes[index];
  world_clock_t *clock = world_alloc (world, sizeof *clock);
  *clock = (world_clock_t){ .base = { .ops = &clock_ops }, .world = world };
  world_random_t *source = world_alloc (world, sizeof *source);
  *source = (world_random_t){ .base = { .ops = &random_ops },
                              .state = random_next (&world->seed) };
  char text[32];
  g_snprintf (text, sizeof text, "i%d", index + 1);
  node->world = world;
  node->index = index;
  node->name = world_text (world, text);
  g_snprintf (text, sizeof text, "10.0.0.%d:80", index + 1);
  node->address = world_text (world, text);
  node->incarnation++;
  node->up = true;
  node->exited = false;
  node->timer_ns = 0;
  kwf_core_options_t options = world->options;
  options.instance = node->name;
  options.incarnation = node->incarnation;
  options.caller_address = node->address;
  options.peer_address = node->address;
  options.clock = &clock->base;
  options.random = &source->base;
  if (node->data_centre)
    options.data_centre = node->data_centre;
  options.placement = world->placement;
  apply_policy (&options, world->policy);
  kwf_core_free (node->core);
  node->core = kwf_core_new (&options);
  if (world->policy)
    core_set_policy (node->core, world->policy);
  world->n_nodes = MAX (world->n_nodes, index + 1);
  world_node_step (node, &(kwf_event_t){ .type = KWF_EV_TICK });
}

void
world_node_kill (world_t *world, int index)
{
  world_node_t *node = &world->nodes[index];
  node->up = false;
  node->timer_ns = 0;
  world_node_unlink (node);
}
