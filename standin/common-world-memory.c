#include "common-world-memory.h"

#include <string.h>

#define NETWORK_NS (1 * MS)
#define ANSWER_TIMEOUT_NS (2 * KWF_NS_PER_S)
#define REPEAT_DELAY_NS (3 * KWF_NS_PER_S)
/* The last copy of a model may be unloaded if no request named the model in
   this time.  */
#define IDLE_MODEL_NS (60 * KWF_NS_PER_S)

typedef struct
{
  char *model;
  char *version;
  char *adapter; /* "": the model itself */
  int64_t ready_ns;
  int64_t unloaded_ns; /* end of its unload; INT64_MAX: none was ordered */
} copy_t;

typedef struct
{
  world_node_t *node;
  uint64_t incarnation;
  world_memory_t *memory;
  kwf_order_t order;
  kwf_event_t answer;
  bool no_answer; /* the instance has timed out, or the order is a repeated
                     one */
} delivery_t;

static void
copy_free (gpointer data)
{
  copy_t *copy = data;
  g_free (copy->model);
  g_free (copy->version);
  g_free (copy->adapter);
  g_free (copy);
}

world_memory_t *
world_memory_new (world_engine_t *engine, int64_t total_mb)
{
  world_memory_t *memory = g_new0 (world_memory_t, 1);
  memory->engine = engine;
  memory->total_mb = total_mb;
  memory->models = g_ptr_array_new_with_free_func (copy_free);
  memory->orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  memory->load_ns = KWF_NS_PER_S;
  memory->unload_ns = 100 * MS;
  memory->fencing = true;
  return memory;
}

void
world_memory_free (world_memory_t *memory)
{
  if (!memory)
    return;
  g_ptr_array_free (memory->models, TRUE);
  g_hash_table_unref (memory->orders);
  g_free (memory);
}

static copy_t *
add_copy (world_memory_t *memory, const char *model, const char *version,
          const char *adapter, int64_t ready_ns)
{
  copy_t *copy = g_new0 (copy_t, 1);
  *copy = (copy_t){ g_strdup (model), g_strdup (version), g_strdup (adapter),
                    ready_ns, INT64_MAX };
  g_ptr_array_add (memory->models, copy);
  return copy;
}

void
world_memory_add (world_memory_t *memory, const char *model,
                  const char *version)
{
  add_copy (memory, model, version, "", 0);
}

static void
remove_unloaded (world_memory_t *memory)
{
  int64_t now_ns = memory->engine->world->now_ns;
  for (guint i = memory->models->len; i-- > 0;)
    if (((copy_t *)memory->models->pdata[i])->unloaded_ns <= now_ns)
      g_ptr_array_remove_index (memory->models, i);
}

void
world_memory_clear (world_memory_t *memory)
{
  g_ptr_array_set_size (memory->models, 0);
  g_hash_table_remove_all (memory->orders);
  memory->newest_fence = 0;
}

static bool
is_ready (const world_memory_t *memory, const copy_t *copy)
{
  return copy->ready_ns <= memory->engine->world->now_ns
         && copy->unloaded_ns == INT64_MAX;
}

bool
world_memory_has_ready (world_memory_t *memory, const char *model,
                        const char *version)
{
  for (guint i = 0; memory->engine->up && i < memory->models->len; i++)
    {
      const copy_t *copy = memory->models->pdata[i];
      if (strcmp (copy->model, model) == 0 && is_ready (memory, copy)
          && (!version || strcmp (copy->version, version) == 0))
        return true;
    }
  return false;
}

void
world_memory_report (world_memory_t *memory, kwf_report_event_t *event)
{
  world_t *world = memory->engine->world;
  remove_unloaded (memory);
  kwf_resident_t *models
      = world_alloc (world, (memory->models->len + 1) * sizeof *models);
  for (guint i = 0; i < memory->models->len; i++)
    {
      const copy_t *copy = memory->models->pdata[i];
      if (!*copy->adapter && is_ready (memory, copy))
        models[event->n_models++]
            = (kwf_resident_t){ .name = world_text (world, copy->model),
                                .version = world_text (world, copy->version) };
    }
  event->models = models;
  event->fencing = memory->fencing;
  event->memory_total_mb = memory->total_mb;
  event->memory_used_mb = (int64_t)memory->models->len * WORLD_MODEL_MB;
}

/* Whether MODEL was requested in the last minute and no engine has a loaded
   copy of it.  */
static bool
is_last_copy (const world_memory_t *memory, const char *model)
{
  const world_t *world = memory->engine->world;
  bool called = false;
  for (guint i = 0; i < world->requests->len; i++)
    {
      const world_request_t *request = world->requests->pdata[i];
      called |= request->sent_ns
                && request->sent_ns > world->now_ns - IDLE_MODEL_NS
                && g_strcmp0 (request->event.model, model) == 0;
    }
  for (guint i = 0; called && i < world->engines->len; i++)
    {
      const world_engine_t *engine = world->engines->pdata[i];
      if (engine->memory
          && world_memory_has_ready (engine->memory, model, NULL))
        return false;
    }
  return called;
}

static int64_t
begin_load (world_memory_t *memory, const kwf_order_t *order, int64_t now_ns)
{
  int64_t used_mb = 0;
  for (guint i = 0; i < memory->models->len; i++)
    {
      const copy_t *copy = memory->models->pdata[i];
      used_mb += *copy->adapter ? WORLD_MODEL_MB / 50 : WORLD_MODEL_MB;
    }
  int64_t mb = *order->adapter ? WORLD_MODEL_MB / 50 : WORLD_MODEL_MB;
  memory->excess_loads += used_mb + mb > memory->total_mb;
  memory->loads += !*order->adapter;
  return add_copy (memory, order->model, order->version, order->adapter,
                   now_ns + memory->load_ns)
      ->ready_ns;
}

/* Carry out ORDER.  Return the time at which its load or unload ends.  */
static int64_t
apply_order (world_memory_t *memory, const kwf_order_t *order)
{
  int64_t now_ns = memory->engine->world->now_ns;
  copy_t *found = NULL;
  for (guint i = 0; i < memory->models->len && !found; i++)
    {
      copy_t *copy = memory->models->pdata[i];
      if (strcmp (copy->model, order->model) == 0
          && strcmp (copy->version, order->version) == 0
          && strcmp (copy->adapter, order->adapter) == 0)
        found = copy;
    }
  if (strcmp (order->order, "load") == 0)
    return found && found->unloaded_ns == INT64_MAX
               ? found->ready_ns
               : begin_load (memory, order, now_ns);
  if (!found)
    return now_ns;
  if (found->unloaded_ns != INT64_MAX)
    return found->unloaded_ns;
  found->unloaded_ns = now_ns + memory->unload_ns;
  memory->unloads += !*order->adapter;
  memory->last_copies_unloaded
      += !*order->adapter && is_last_copy (memory, order->model);
  return found->unloaded_ns;
}

static void
deliver_answer (world_t *world, void *data)
{
  (void)world;
  delivery_t *delivery = data;
  if (delivery->node->up
      && delivery->node->incarnation == delivery->incarnation)
    world_node_step (delivery->node, &delivery->answer);
}

static void
receive_order (world_t *world, void *data)
{
  delivery_t *delivery = data;
  world_memory_t *memory = delivery->memory;
  const kwf_order_t *order = &delivery->order;
  kwf_order_event_t *answer = &delivery->answer.order;
  if (!memory->engine->up)
    answer->failure = KWF_FAIL_REFUSED;
  else if (memory->fencing && order->fence < memory->newest_fence)
    {
      answer->status = 409;
      answer->code = "stale_fence";
    }
  else
    {
      remove_unloaded (memory);
      memory->newest_fence = MAX (memory->newest_fence, order->fence);
      int64_t *end_ns = g_hash_table_lookup (memory->orders, order->id);
      if (!end_ns)
        {
          end_ns = g_new (int64_t, 1);
          *end_ns = apply_order (memory, order);
          g_hash_table_insert (memory->orders, g_strdup (order->id), end_ns);
        }
      answer->status = 202;
      answer->running = *end_ns > world->now_ns;
    }
  if (delivery->no_answer)
    return;
  int64_t delay_ns = NETWORK_NS;
  if (memory->lose_answers > 0)
    {
      memory->lose_answers--;
      *answer = (kwf_order_event_t){ .server = answer->server,
                                     .id = answer->id,
                                     .failure = KWF_FAIL_TIMEOUT };
      delay_ns = ANSWER_TIMEOUT_NS;
    }
  world_at (world, world->now_ns + delay_ns, deliver_answer, delivery);
}

static void
time_out_order (world_t *world, void *data)
{
  delivery_t *delivery = data;
  delivery->no_answer = true;
  delivery->answer.order.failure = KWF_FAIL_TIMEOUT;
  deliver_answer (world, delivery);
}

void
world_memory_send_order (world_node_t *node, const kwf_order_t *order)
{
  world_t *world = node->world;
  world_memory_t *memory = world_engine (world, order->server)->memory;
  delivery_t *delivery = world_alloc (world, sizeof *delivery);
  *delivery = (delivery_t){ .node = node,
                            .incarnation = node->incarnation,
                            .memory = memory,
                            .order = *order,
                            .answer = { .type = KWF_EV_ORDER_REPLY } };
  delivery->answer.order.server = order->server;
  delivery->answer.order.id = order->id;
  bool lost = memory->lose_orders > 0;
  memory->lose_orders -= lost;
  bool late = NETWORK_NS + memory->delay_ns >= ANSWER_TIMEOUT_NS;
  if (lost || late)
    {
      delivery_t *waiting = world_alloc (world, sizeof *waiting);
      *waiting = *delivery;
      world_at (world, world->now_ns + ANSWER_TIMEOUT_NS, time_out_order,
                waiting);
    }
  delivery->no_answer = late;
  if (!lost)
    world_at (world, world->now_ns + NETWORK_NS + memory->delay_ns,
              receive_order, delivery);
  if (!memory->repeat_orders)
    return;
  delivery_t *repeated = world_alloc (world, sizeof *repeated);
  *repeated = *delivery;
  repeated->no_answer = true;
  world_at (world, world->now_ns + REPEAT_DELAY_NS, receive_order, repeated);
}
