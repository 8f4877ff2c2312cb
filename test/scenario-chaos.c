/* Random faults and requests, drawn from the seed of the world.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "scenario-verbs.h"

typedef struct
{
  scenario_t *scenario;
  int index;
} fault_t;

static world_engine_t *
random_engine (world_t *world)
{
  return g_ptr_array_index (world->engines,
                            world_random (world, world->engines->len));
}

static world_node_t *
random_node (world_t *world)
{
  return &world->nodes[world_random (world, (uint64_t)world->n_nodes)];
}

static void
repair_engine (world_t *world, void *data)
{
  (void)world;
  world_engine_t *engine = data;
  engine->break_after = 0;
  engine->stall = false;
  engine->status = 0;
  engine->leaving = false;
  engine->die_before_run = false;
  engine->die_after_run = false;
}

static void
repair_table (world_t *world, void *data)
{
  (void)data;
  world->table.outage = false;
  world->table.delay_ns = 2 * MS;
  world->table.block = NULL;
}

static void
join_links (world_t *world, void *data)
{
  (void)data;
  world->links_cut = false;
}

static void
start_node (world_t *world, void *data)
{
  const world_node_t *node = data;
  world_node_start (world, node->index);
}

static void
disturb_engine (world_t *world)
{
  world_engine_t *engine = random_engine (world);
  int64_t for_ns = (int64_t)world_random (world, 3000) * MS;
  switch (world_random (world, 7))
    {
    case 0:
      if (engine->up)
        world_engine_crash (engine,
                            (100 + (int64_t)world_random (world, 2000)) * MS);
      break;
    case 1:
      engine->break_after = 1 + (int)world_random (world, 20);
      break;
    case 2:
      engine->stall = true;
      break;
    case 3:
      engine->status = world_random (world, 2) ? 500 : 429;
      break;
    case 4:
      engine->leaving = true;
      break;
    case 5:
      engine->die_before_run = true;
      break;
    default:
      engine->die_after_run = true;
      break;
    }
  world_at (world, world->now_ns + for_ns, repair_engine, engine);
}

static void
disturb_table (world_t *world)
{
  int64_t for_ns = (int64_t)world_random (world, 6000) * MS;
  switch (world_random (world, 4))
    {
    case 0:
      world->table.outage = true;
      break;
    case 1:
      world->table.lose_answers = 1 + (int)world_random (world, 4);
      break;
    case 2:
      world->table.delay_ns = (int64_t)world_random (world, 1500) * MS;
      break;
    default:
      world->table.block = "claim/";
      break;
    }
  world_at (world, world->now_ns + for_ns, repair_table, NULL);
}

static void
disturb_node (world_t *world)
{
  world_node_t *node = random_node (world);
  int64_t for_ns = (int64_t)world_random (world, 4000) * MS;
  if (!node->up)
    return;
  switch (world_random (world, 3))
    {
    case 0:
      node->paused_until_ns = world->now_ns + for_ns;
      break;
    case 1:
      world->links_cut = true;
      world_at (world, world->now_ns + for_ns, join_links, NULL);
      break;
    default:
      if (world->now_ns < node->paused_until_ns)
        break;
      world_node_kill (world, node->index);
      world_at (world, world->now_ns + for_ns + MS, start_node, node);
      break;
    }
}

static void
disconnect_caller (world_t *world)
{
  if (!world->requests->len)
    return;
  world_request_t *request = g_ptr_array_index (
      world->requests, world_random (world, world->requests->len));
  if (request->done || request->caller_gone || !request->sent_ns
      || !request->node->up)
    return;
  request->caller_gone = true;
  kwf_event_t event = { .type = KWF_EV_REQUEST_GONE, .gone = request->handle };
  world_node_step (request->node, &event);
}

static void
set_option (scenario_t *scenario, const char *name, const char *value)
{
  g_hash_table_replace (scenario->options, g_strdup (name), g_strdup (value));
}

static void
send_random (scenario_t *scenario, int index)
{
  world_t *world = scenario->world;
  char name[32];
  char key[32];
  GHashTable *before = scenario->options;
  scenario->options
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_snprintf (name, sizeof name, "chaos%d", index);
  g_snprintf (key, sizeof key, "once-%d", (int)world_random (world, 60));
  set_option (scenario, "org", "north");
  set_option (scenario, "timeout_ms", "20000");
  switch (world_random (world, 4))
    {
    case 0:
      set_option (scenario, "service", "booking");
      set_option (scenario, "key", key);
      break;
    case 1:
      set_option (scenario, "service", "sensor");
      set_option (scenario, "idempotent", "yes");
      break;
    case 2:
      set_option (scenario, "stream", "no");
      break;
    default:
      set_option (scenario, "tokens", "60");
      break;
    }
  const world_node_t *node = random_node (world);
  world_request_send (world, add_request (scenario, name, node->index));
  g_hash_table_unref (scenario->options);
  scenario->options = before;
}

static void
inject_random (world_t *world, void *data)
{
  const fault_t *fault = data;
  uint64_t dice = world_random (world, 1000);
  if (dice < 940)
    send_random (fault->scenario, fault->index);
  else if (dice < 960)
    disturb_engine (world);
  else if (dice < 963)
    disturb_table (world);
  else if (dice < 966)
    disturb_node (world);
  else
    disconnect_caller (world);
}

/* chaos COUNT every_ms=N: COUNT random requests and faults, one every N
   ms.  */
void
verb_chaos (scenario_t *scenario)
{
  world_t *world = scenario->world;
  int count = (int)g_ascii_strtoll (line_word (scenario, 1), NULL, 10);
  int64_t every_ns = number (scenario, "every_ms", 20) * MS;
  for (int i = 0; i < count; i++)
    {
      fault_t *fault = world_alloc (world, sizeof *fault);
      *fault = (fault_t){ scenario, i };
      world_at (world, world->now_ns + i * every_ns, inject_random, fault);
    }
}

/* answered: every request has its answer, except those whose caller went away
   or whose instance died.  */
void
verb_answered (scenario_t *scenario)
{
  const world_t *world = scenario->world;
  for (guint i = 0; i < world->requests->len; i++)
    {
      const world_request_t *request = g_ptr_array_index (world->requests, i);
      if (!request->done && !request->caller_gone
          && request->incarnation == request->node->incarnation)
        line_fail (scenario, "%s was never answered", request->name);
    }
}
