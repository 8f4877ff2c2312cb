/* Processes, faults, and the run of a schedule.  */

#include "common-ledger-world.h"

#include <stdlib.h>
#include <string.h>

/* Clock, random numbers and callbacks of the ledgers.  */

static struct timespec
current_time (const kwf_clock_t *clock)
{
  const lw_t *world = ((const lw_clock_t *)clock)->world;
  return (struct timespec){ .tv_sec = world->now_ns / LW_NS_PER_S,
                            .tv_nsec = world->now_ns % LW_NS_PER_S };
}

static void
fill (kwf_random_t *random, void *buffer, size_t size)
{
  unsigned char *bytes = buffer;
  for (size_t i = 0; i < size; i++)
    bytes[i] = (unsigned char)lw_random (((lw_random_t *)random)->world, 256);
}

static bool
may_send_orders (void *data)
{
  const lw_process_t *process = data;
  return process->world->now_ns < process->lease_until_ns;
}

static bool
is_running (const lw_t *world, int leader, uint64_t incarnation)
{
  for (int i = 0; i < world->n_processes; i++)
    if (world->processes[i].leader == leader
        && world->processes[i].incarnation == incarnation)
      return world->processes[i].alive;
  return false;
}

static ledger_process_state_t
process_state (void *data, const char *instance, uint64_t incarnation)
{
  const lw_process_t *process = data;
  int leader = instance[1] - '0';
  if (process->seen_incarnation[leader] > incarnation)
    return LEDGER_PROCESS_ENDED;
  if (process->renewed_ns - process->seen_commit_ns[leader] < LW_EXPIRY_NS)
    return LEDGER_PROCESS_ALIVE;
  return is_running (process->world, leader, incarnation)
             ? LEDGER_PROCESS_EXPIRED
             : LEDGER_PROCESS_ENDED;
}

static int64_t
size_of (void *data, const ledger_item_t *item)
{
  const lw_process_t *process = data;
  return process->world->sizes[item->model[1] - '0'];
}

static bool
is_cold (void *data, const ledger_item_t *item)
{
  (void)data;
  return (item->model[1] - '0') % 3 == 2;
}

/* Processes.  */

static void
start_process (lw_t *world, int leader)
{
  static const kwf_clock_ops_t clock_ops = { .monotonic = current_time };
  static const kwf_random_ops_t random_ops = { .fill = fill };
  world->clock = (lw_clock_t){ { &clock_ops }, world };
  world->random = (lw_random_t){ { &random_ops }, world };
  if (world->n_processes == LW_PROCESSES)
    return;
  int index = world->n_processes++;
  lw_process_t *process = &world->processes[index];
  *process
      = (lw_process_t){ .world = world,
                        .leader = leader,
                        .incarnation = (uint64_t)index + 1,
                        .alive = true,
                        .effects = kwf_effects_new (),
                        .action_interval = 1 + (int64_t)lw_random (world, 6) };
  g_snprintf (process->name, sizeof process->name, "d%d", leader);
  process->ledger = ledger_new (&(ledger_options_t){
      .instance = process->name,
      .incarnation = process->incarnation,
      .clock = &world->clock.base,
      .random = &world->random.base,
      .send_limit_ns
      = world->disabled == LW_NO_SEND_LIMIT ? INT64_MAX : 1 * LW_NS_PER_S,
      .max_order_delay_ns = LW_MAX_ORDER_DELAY_NS,
      .max_report_lag_ns = LW_MAX_REPORT_LAG_NS,
      .callbacks = { .may_send_orders = may_send_orders,
                     .process_state = process_state,
                     .size = size_of,
                     .is_cold = is_cold,
                     .data = process } });
  ledger_set_active (process->ledger, true);
  world->current[leader] = index;
  lw_log (world, "d%d starts as %d", leader, index + 1);
  lw_push (world, lw_event_new (EV_RENEW, index), world->now_ns);
  lw_push (world, lw_event_new (EV_TICK, index),
           world->now_ns + lw_delay (world, 0, 200));
  lw_push (world, lw_event_new (EV_PROBE, index), world->now_ns);
}

/* Orders in flight from a process that ended arrive soon.  */
static void
hasten_orders (lw_t *world, int process)
{
  GArray *items = world->events.items;
  world->events.items = g_array_new (FALSE, FALSE, sizeof (heap_item_t));
  for (guint i = 0; i < items->len; i++)
    {
      lw_event_t *event = g_array_index (items, heap_item_t, i).data;
      int64_t at_ns = event->at_ns;
      if (event->kind == EV_ORDER_ARRIVES && event->process == process)
        at_ns = MIN (at_ns,
                     world->now_ns + lw_delay (world, 0, LW_ENDED_ORDERS_MS));
      lw_push (world, event, at_ns);
    }
  g_array_free (items, TRUE);
}

void
lw_pause (lw_t *world, int index, int64_t pause_ns)
{
  lw_process_t *process = &world->processes[index];
  process->paused = true;
  lw_log (world, "process %d is paused for %.3f s", index + 1,
          (double)pause_ns / LW_NS_PER_S);
  lw_event_t *event = lw_event_new (EV_FAULT, index);
  event->engine = -1;
  lw_push (world, event, world->now_ns + pause_ns);
}

static void
restart_engine (lw_t *world, int engine)
{
  lw_engine_restart (world, &world->engines[engine]);
}

static void
make_fault (lw_t *world)
{
  int leader = (int)lw_random (world, (uint64_t)world->n_leaders);
  int index = world->current[leader];
  lw_process_t *process = &world->processes[index];
  switch (lw_random (world, 5))
    {
    case 0:
      if (process->alive && !process->paused)
        lw_pause (world, index, lw_delay (world, 300, 6000));
      break;
    case 1:
      if (!process->alive)
        break;
      lw_log (world, "process %d dies", index + 1);
      process->alive = false;
      hasten_orders (world, index);
      lw_push (world, lw_event_new (EV_START, leader),
               world->now_ns + lw_delay (world, 100, 3000));
      break;
    case 2:
      /* The process is replaced while it is paused, and resumes later.  */
      if (!process->alive || process->paused)
        break;
      lw_pause (world, index, lw_delay (world, 300, 9000));
      process->replaced = true;
      hasten_orders (world, index);
      lw_push (world, lw_event_new (EV_START, leader),
               world->now_ns + lw_delay (world, 100, 3000));
      break;
    default:
      restart_engine (world,
                      (int)lw_random (world, (uint64_t)world->n_engines));
      break;
    }
}

/* Steps of a process.  */

static void
run_effects (lw_t *world, int index)
{
  kwf_effects_t *effects = world->processes[index].effects;
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_STORE)
        lw_send_txn (world, index, effect);
      else if (effect->type == KWF_FX_ORDER)
        lw_send_order (world, index, &effect->order);
      else if (effect->type == KWF_FX_LOG)
        lw_log (world, "process %d: %s", index + 1, effect->log.text);
    }
  kwf_effects_clear (effects);
}

/* Start a load or unload at random, as a bad placement policy would.  */
static void
start_random_order (lw_t *world, lw_process_t *process)
{
  if (lw_random (world, (uint64_t)process->action_interval))
    return;
  int model = (int)lw_random (world, (uint64_t)world->n_models);
  ledger_item_t item = { (char *)lw_model_names[model], "", "" };
  const char *server
      = world->engines[lw_random (world, (uint64_t)world->n_engines)].name;
  if (lw_chance (world, 50))
    ledger_load (process->ledger, server, &item, process->effects);
  else
    ledger_unload (process->ledger, server, &item, process->effects);
}

static void
handle_txn_reply (lw_process_t *process, const lw_event_t *event)
{
  kwf_row_t conflicts[LW_ENGINES];
  char keys[LW_ENGINES][16];
  kwf_store_reply_t reply = { .outcome = event->outcome,
                              .revision = event->revision,
                              .conflicts = conflicts };
  for (int i = 0; i < LW_ENGINES; i++)
    if (event->kind == EV_TXN_REPLY && event->outcome == KWF_STORE_CONFLICT
        && event->rows[i])
      {
        g_snprintf (keys[i], sizeof keys[i], "ledger/e%d", i);
        conflicts[reply.n_conflicts++]
            = (kwf_row_t){ keys[i], event->versions[i], event->rows[i] };
      }
  ledger_handle_txn_reply (process->ledger, event->op, &reply,
                           process->effects);
}

static void
handle_renew_reply (lw_process_t *process, const lw_event_t *event)
{
  process->lease_until_ns
      = MAX (process->lease_until_ns, event->sent_ns + LW_LEASE_NS);
  process->renewed_ns = event->commit_ns[process->leader];
  process->revision = MAX (process->revision, event->revision);
  memcpy (process->seen_commit_ns, event->commit_ns,
          sizeof process->seen_commit_ns);
  memcpy (process->seen_incarnation, event->incarnations,
          sizeof process->seen_incarnation);
  for (int i = 0; i < LW_ENGINES; i++)
    if (event->rows[i])
      {
        char key[16];
        g_snprintf (key, sizeof key, "ledger/e%d", i);
        kwf_row_t row = { key, event->versions[i], event->rows[i] };
        ledger_apply_row (process->ledger, &row);
      }
}

static void
handle_report (lw_process_t *process, lw_event_t *event)
{
  event->report.models = event->models;
  ledger_handle_report (process->ledger, &event->report, "address");
}

static void
step_process (lw_t *world, int index, lw_event_t *event)
{
  lw_process_t *process = &world->processes[index];
  switch (event->kind)
    {
    case EV_TICK:
      ledger_tick (process->ledger, process->effects);
      start_random_order (world, process);
      lw_push (world, lw_event_new (EV_TICK, index),
               world->now_ns + LW_TICK_NS);
      break;
    case EV_RENEW:
      lw_push (world, lw_event_new (EV_RENEW, index),
               world->now_ns + LW_RENEW_NS);
      if (!lw_chance (world, world->fault_percent / 4))
        {
          lw_event_t *renewal = lw_event_new (EV_RENEW_ARRIVES, index);
          renewal->sent_ns = world->now_ns;
          renewal->revision = process->revision;
          lw_push (world, renewal, world->now_ns + lw_delay (world, 2, 30));
        }
      break;
    case EV_PROBE:
      lw_send_reports (world, index);
      lw_push (world, lw_event_new (EV_PROBE, index),
               world->now_ns + 700 * LW_NS_PER_MS);
      break;
    case EV_RENEW_REPLY:
      handle_renew_reply (process, event);
      break;
    case EV_TXN_REPLY:
      handle_txn_reply (process, event);
      break;
    case EV_ORDER_REPLY:
      event->answer.server = world->engines[event->engine].name;
      event->answer.id = event->order.id;
      ledger_handle_order_reply (process->ledger, &event->answer,
                                 process->effects);
      break;
    case EV_REPORT:
      handle_report (process, event);
      break;
    default:
      break;
    }
  run_effects (world, index);
}

static void
step_world (lw_t *world, lw_event_t *event)
{
  switch (event->kind)
    {
    case EV_RENEW_ARRIVES:
      lw_handle_renewal (world, event);
      break;
    case EV_TXN_ARRIVES:
      lw_handle_txn (world, event);
      break;
    case EV_ORDER_ARRIVES:
      lw_handle_order (world, event);
      break;
    case EV_START:
      start_process (world, event->process);
      break;
    case EV_FAULT:
      if (event->process < 0 && event->engine < 0)
        make_fault (world);
      else if (event->process < 0)
        restart_engine (world, event->engine);
      else
        {
          world->processes[event->process].paused = false;
          lw_log (world, "process %d wakes", event->process + 1);
        }
      break;
    default:
      break;
    }
}

static void
step (lw_t *world, lw_event_t *event)
{
  bool of_world = event->kind == EV_RENEW_ARRIVES
                  || event->kind == EV_TXN_ARRIVES
                  || event->kind == EV_ORDER_ARRIVES || event->kind == EV_START
                  || event->kind == EV_FAULT;
  if (of_world)
    step_world (world, event);
  else if (world->processes[event->process].paused)
    {
      /* It is handled after the process resumes.  */
      lw_push (world, event, world->now_ns + lw_delay (world, 40, 90));
      return;
    }
  else if (world->processes[event->process].alive)
    step_process (world, event->process, event);
  lw_event_free (event);
}

static void
prepare (lw_t *world)
{
  world->n_leaders = 2 + (int)lw_random (world, 3);
  world->n_engines = 2 + (int)lw_random (world, 3);
  world->n_models = 3 + (int)lw_random (world, 4);
  world->fault_percent = (int)lw_random (world, 40);
  world->end_ns = lw_delay (world, 5000, 14000);
  for (int i = 0; i < world->n_models; i++)
    {
      world->sizes[i] = 10 + (int64_t)lw_random (world, 3) * 10;
      world->lost_ns[i] = -100 * LW_NS_PER_S;
    }
  for (int i = 0; i < world->n_engines; i++)
    {
      lw_engine_t *engine = &world->engines[i];
      g_snprintf (engine->name, sizeof engine->name, "e%d", i);
      engine->fencing = lw_chance (world, 50);
      engine->incarnation = 1;
      engine->total_mb = 40 + (int64_t)lw_random (world, 4) * 10;
      lw_engine_start (world, engine);
      lw_log (world, "%s: %d MB, fencing %d", engine->name,
              (int)engine->total_mb, engine->fencing);
    }
  for (int i = 0; i < world->n_leaders; i++)
    start_process (world, i);
  int faults = (int)lw_random (world, 7);
  for (int i = 0; i < faults; i++)
    {
      lw_event_t *event = lw_event_new (EV_FAULT, -1);
      event->engine = -1;
      lw_push (world, event,
               LW_NS_PER_S
                   + lw_delay (world, 0, world->end_ns / LW_NS_PER_MS));
    }
}

bool
lw_run (lw_t *world, uint64_t seed, lw_disabled_t disabled, FILE *trace)
{
  *world = (lw_t){ .seed = seed,
                   .random_state = seed * UINT64_C (0x2545f4914f6cdd1d) + 1,
                   .disabled = disabled,
                   .trace = trace };
  heap_init (&world->events);
  prepare (world);
  while (!*world->failure && heap_first (&world->events))
    {
      lw_event_t *event = heap_pop (&world->events);
      if (event->at_ns > world->end_ns)
        {
          lw_event_free (event);
          break;
        }
      world->now_ns = event->at_ns;
      step (world, event);
    }
  return !*world->failure;
}

void
lw_clear (lw_t *world)
{
  while (heap_first (&world->events))
    lw_event_free (heap_pop (&world->events));
  heap_clear (&world->events);
  for (int i = 0; i < world->n_processes; i++)
    {
      ledger_free (world->processes[i].ledger);
      kwf_effects_free (world->processes[i].effects);
    }
  for (int i = 0; i < world->n_engines; i++)
    g_free (world->engines[i].row);
}
