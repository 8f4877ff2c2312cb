/* The modelled engine: orders and load reports.  */

#include "common-sim-state.h"

#include <string.h>

typedef struct
{
  world_node_t *node;
  uint64_t incarnation;
  sim_engine_t *sim;
  sim_resident_t *resident;
  char *id;
  int status;
  const char *code;
} pending_order_t;

/* Orders.  */

static void
deliver_answer (world_t *world, void *data)
{
  (void)world;
  const pending_order_t *order_state = data;
  if (!order_state->node->up
      || order_state->node->incarnation != order_state->incarnation)
    return;
  world_node_step (
      order_state->node,
      &(kwf_event_t){ .type = KWF_EV_ORDER_REPLY,
                      .order = { .server = order_state->sim->engine->id,
                                 .id = order_state->id,
                                 .status = order_state->status,
                                 .code = order_state->code } });
}

static void
answer (pending_order_t *order_state, int status, const char *code)
{
  world_t *world = sim_world (order_state->sim);
  order_state->status = status;
  order_state->code = code;
  world_at (world, world->now_ns + MS, deliver_answer, order_state);
}

static void
end_load (world_t *world, void *data)
{
  (void)world;
  pending_order_t *order_state = data;
  order_state->sim->store->models_loading--;
  order_state->resident->state = RESIDENT_READY;
  answer (order_state, 200, NULL);
}

static void
begin_load (pending_order_t *order_state, const sim_model_t *model)
{
  sim_engine_t *sim = order_state->sim;
  world_t *world = sim_world (sim);
  sim_weight_store_t *store = sim->store;
  order_state->resident = sim_add_resident (sim, model, RESIDENT_LOADING);
  int64_t start_ns = MAX (world->now_ns, store->next_load_ns);
  store->next_load_ns
      = start_ns + (int64_t)((double)KWF_NS_PER_S / store->loads_per_s);
  store->models_loading++;
  store->n_loads++;
  sim->stats.n_model_loads++;
  double ms = store->load_ms_per_gb * model->memory_mb / 1000
              * MAX (1, store->models_loading / store->full_speed_loads);
  world_at (world, start_ns + (int64_t)(ms * 1e6), end_load, order_state);
}

static bool
is_in_use (const sim_resident_t *resident)
{
  bool used = resident->sequences > 0;
  for (guint i = 0; i < resident->adapters->len; i++)
    used = used
           || !((const sim_adapter_t *)g_ptr_array_index (resident->adapters,
                                                          i))
                   ->ready;
  return used;
}

/* Wait until the sequences of the model have ended, then unload it.  */
static void
unload_when_idle (world_t *world, void *data)
{
  pending_order_t *order_state = data;
  if (is_in_use (order_state->resident))
    {
      world_at (world, world->now_ns + 20 * MS, unload_when_idle, order_state);
      return;
    }
  g_ptr_array_remove (order_state->sim->residents, order_state->resident);
  answer (order_state, 200, NULL);
}

void
sim_receive_order (world_node_t *node, sim_engine_t *sim,
                   const kwf_order_t *order)
{
  world_t *world = sim_world (sim);
  pending_order_t *order_state = world_alloc (world, sizeof *order_state);
  *order_state = (pending_order_t){ .node = node,
                                    .incarnation = node->incarnation,
                                    .sim = sim,
                                    .id = world_text (world, order->id) };
  const sim_model_t *model = g_hash_table_lookup (sim->models, order->model);
  sim_resident_t *resident = sim_find_resident (sim, order->model);
  bool is_load = strcmp (order->order, "load") == 0;
  if (!model || (!is_load && !resident))
    answer (order_state, 404, "model_not_loaded");
  else if (order->adapter && order->adapter[0])
    {
      if (is_load && resident)
        sim_request_adapter (sim, resident, order->adapter);
      answer (order_state, 200, NULL);
    }
  else if (resident && (is_load || resident->state != RESIDENT_READY))
    answer (order_state, resident->state == RESIDENT_READY ? 200 : 409,
            resident->state == RESIDENT_READY ? NULL : "busy");
  else if (is_load)
    begin_load (order_state, model);
  else
    {
      order_state->resident = resident;
      resident->state = RESIDENT_UNLOADING;
      unload_when_idle (world, order_state);
    }
}

/* Load reports.  */

void
sim_load_report (sim_engine_t *sim, kwf_report_event_t *event)
{
  world_t *world = sim_world (sim);
  if (world->now_ns - sim->report_ns
      >= (int64_t)(sim->options.report_ms * 1e6))
    {
      sim->report_ns = world->now_ns;
      sim->report = (kwf_report_event_t){ .running = (int)sim->running->len,
                                          .waiting = (int)sim->waiting.length,
                                          .memory_used_mb
                                          = (int64_t)sim_used_mb (sim) };
    }
  event->resume = true;
  event->running = sim->report.running;
  event->waiting = sim->report.waiting;
  event->memory_total_mb = (int64_t)sim->options.memory_mb;
  event->memory_used_mb = sim->report.memory_used_mb;
  kwf_resident_t *models
      = world_scratch (world, (sim->residents->len + 1) * sizeof *models);
  for (guint i = 0; i < sim->residents->len; i++)
    {
      const sim_resident_t *resident = g_ptr_array_index (sim->residents, i);
      if (resident->state != RESIDENT_READY)
        continue;
      const char **names = world_scratch (world, (resident->adapters->len + 1)
                                                     * sizeof *names);
      size_t n = 0;
      for (guint k = 0; k < resident->adapters->len; k++)
        {
          const sim_adapter_t *adapter
              = g_ptr_array_index (resident->adapters, k);
          if (adapter->ready)
            names[n++] = adapter->name;
        }
      models[event->n_models++]
          = (kwf_resident_t){ .name = resident->model->name,
                              .version = "1",
                              .adapters = names,
                              .n_adapters = n };
    }
  event->models = models;
}
