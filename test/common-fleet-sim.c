#include "common-fleet-sim-state.h"

#include <stdio.h>
#include <string.h>

#include "lib/op.h"
#include "lib/session-state.h"
#include "lib/share-state.h"

static struct timespec
read_clock (const kwf_clock_t *base)
{
  const fleet_sim_clock_t *clock
      = (const fleet_sim_clock_t *)(const void *)base;
  int64_t now_ns = clock->sim->now_ns;
  const fleet_sim_instance_t *instance = &clock->sim->instances[clock->index];
  if (clock->sim->without == FLEET_SIM_NO_LEASE_CLOCK)
    now_ns -= instance->paused_sum;
  return (struct timespec){ now_ns / KWF_NS_PER_S, now_ns % KWF_NS_PER_S };
}

static const kwf_clock_ops_t clock_ops
    = { .monotonic = read_clock, .wall = read_clock };

static void
fill_random (kwf_random_t *base, void *buffer, size_t size)
{
  fleet_sim_random_t *random = (fleet_sim_random_t *)(void *)base;
  unsigned char *bytes = buffer;
  for (size_t i = 0; i < size; i++)
    bytes[i] = (unsigned char)random_next (&random->state);
}

static const kwf_random_ops_t random_ops = { .fill = fill_random };

fleet_sim_t *
fleet_sim_new (uint64_t seed, int n_instances)
{
  fleet_sim_t *sim = g_new0 (fleet_sim_t, 1);
  sim->now_ns = KWF_NS_PER_S;
  sim->state = seed;
  sim->n_instances = n_instances;
  sim->blocks = g_ptr_array_new_with_free_func (g_free);
  sim->table = g_hash_table_new (g_str_hash, g_str_equal);
  heap_init (&sim->events);
  sim->table_min_ns = 2 * FLEET_SIM_MS;
  sim->table_max_ns = 10 * FLEET_SIM_MS;
  sim->link_min_ns = 2 * FLEET_SIM_MS;
  sim->link_max_ns = 6 * FLEET_SIM_MS;
  for (int i = 0; i < n_instances; i++)
    {
      fleet_sim_instance_t *instance = &sim->instances[i];
      snprintf (instance->name, sizeof instance->name, "i%d", i);
      instance->inbox = g_ptr_array_new ();
      instance->clock = (fleet_sim_clock_t){ { &clock_ops }, sim, i };
      instance->random
          = (fleet_sim_random_t){ { &random_ops }, random_next (&sim->state) };
    }
  return sim;
}

static void
free_modules (fleet_sim_instance_t *instance)
{
  claims_free (instance->claims);
  shares_free (instance->shares);
  session_free (instance->session);
  kwf_effects_free (instance->effects);
  instance->claims = NULL;
  instance->shares = NULL;
  instance->session = NULL;
  instance->effects = NULL;
}

void
fleet_sim_free (fleet_sim_t *sim)
{
  for (int i = 0; i < sim->n_instances; i++)
    {
      free_modules (&sim->instances[i]);
      g_ptr_array_free (sim->instances[i].inbox, TRUE);
    }
  g_hash_table_destroy (sim->table);
  while (fleet_sim_first (sim))
    fleet_sim_pop (sim);
  heap_clear (&sim->events);
  g_ptr_array_free (sim->blocks, TRUE);
  g_free (sim);
}

/* Transactions.  */

static kwf_txn_t
copy_txn (fleet_sim_t *sim, const kwf_txn_t *txn)
{
  kwf_txn_t copy = *txn;
  kwf_condition_t *conditions
      = fleet_sim_alloc (sim, (txn->n_conditions + 1) * sizeof *conditions);
  kwf_put_t *puts = fleet_sim_alloc (sim, (txn->n_puts + 1) * sizeof *puts);
  for (size_t i = 0; i < txn->n_conditions; i++)
    conditions[i]
        = (kwf_condition_t){ fleet_sim_strdup (sim, txn->conditions[i].key),
                             txn->conditions[i].version };
  for (size_t i = 0; i < txn->n_puts; i++)
    puts[i] = (kwf_put_t){ fleet_sim_strdup (sim, txn->puts[i].key),
                           fleet_sim_strdup (sim, txn->puts[i].value) };
  copy.conditions = conditions;
  copy.puts = puts;
  return copy;
}

static void
push_reply (fleet_sim_t *sim, const fleet_sim_request_t *request,
            int64_t at_ns, kwf_store_reply_t reply)
{
  kwf_event_t *event = fleet_sim_new_event (sim, KWF_EV_STORE_REPLY);
  event->store.op = request->op;
  event->store.reply = reply;
  fleet_sim_push (sim, (fleet_sim_item_t){ .at_ns = at_ns,
                                           .type = FLEET_SIM_INSTANCE_EVENT,
                                           .node = request->index,
                                           .incarnation = request->incarnation,
                                           .event = event });
}

static void
push_unknown (fleet_sim_t *sim, const fleet_sim_request_t *request)
{
  if (request->answer)
    push_reply (sim, request, request->timeout_ns,
                (kwf_store_reply_t){ .outcome = KWF_STORE_UNKNOWN });
}

static void
push_table (fleet_sim_t *sim, int64_t wait_ns, fleet_sim_request_t *request)
{
  fleet_sim_push (sim, (fleet_sim_item_t){ .at_ns = sim->now_ns + wait_ns,
                                           .type = FLEET_SIM_STORE_REQUEST,
                                           .request = request });
}

static void
send_txn (fleet_sim_t *sim, int index, kwf_handle_t op, int64_t timeout_ns,
          const kwf_txn_t *txn)
{
  fleet_sim_request_t *request = fleet_sim_alloc (sim, sizeof *request);
  *request = (fleet_sim_request_t){ .index = index,
                                    .incarnation
                                    = sim->instances[index].incarnation,
                                    .op = op,
                                    .timeout_ns = sim->now_ns + timeout_ns,
                                    .txn = copy_txn (sim, txn),
                                    .answer = true };
  bool silent = sim->outage || sim->instances[index].apart;
  if (silent && sim->refuse)
    push_reply (sim, request, sim->now_ns + FLEET_SIM_MS,
                (kwf_store_reply_t){ .outcome = KWF_STORE_FAILED });
  else if (silent || fleet_sim_random_unit (sim) < sim->lose_before)
    push_unknown (sim, request);
  else
    {
      int64_t max_ns = sim->table_max_ns;
      if (fleet_sim_random_unit (sim) < sim->late)
        max_ns = 4 * FLEET_SIM_S;
      push_table (sim,
                  fleet_sim_random_between (sim, sim->table_min_ns, max_ns),
                  request);
    }
}

static void
handle_request (fleet_sim_t *sim, fleet_sim_request_t *request)
{
  if (sim->outage)
    {
      push_unknown (sim, request);
      return;
    }
  kwf_store_reply_t reply = fleet_sim_commit (sim, &request->txn);
  if (fleet_sim_random_unit (sim) < sim->duplicate)
    {
      fleet_sim_request_t *again = fleet_sim_alloc (sim, sizeof *again);
      *again = *request;
      again->answer = false;
      push_table (sim, fleet_sim_random_between (sim, 0, 2 * FLEET_SIM_S),
                  again);
    }
  if (!request->answer)
    return;
  int64_t at_ns
      = sim->now_ns
        + fleet_sim_random_between (sim, sim->table_min_ns, sim->table_max_ns);
  if (sim->instances[request->index].apart || at_ns > request->timeout_ns
      || fleet_sim_random_unit (sim) < sim->lose_after)
    push_unknown (sim, request);
  else
    push_reply (sim, request, at_ns, reply);
}

/* Steps.  */

static void
schedule_tick (fleet_sim_t *sim, int index)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  int64_t deadline = MIN (session_next_tick_ns (instance->session),
                          MIN (shares_next_tick_ns (instance->shares),
                               claims_next_tick_ns (instance->claims)));
  if (deadline == INT64_MAX)
    return;
  if (sim->without == FLEET_SIM_NO_LEASE_CLOCK)
    deadline += instance->paused_sum;
  deadline = MAX (deadline, sim->now_ns + FLEET_SIM_MS / 10);
  if (instance->tick_ns > sim->now_ns && instance->tick_ns <= deadline)
    return;
  instance->tick_ns = deadline;
  fleet_sim_push_event (sim, deadline, index,
                        fleet_sim_new_event (sim, KWF_EV_TICK));
}

static void
run_effect (fleet_sim_t *sim, int index, const kwf_effect_t *effect)
{
  int peer;
  switch (effect->type)
    {
    case KWF_FX_STORE:
      send_txn (sim, index, effect->store.op, effect->store.timeout_ns,
                &effect->store.txn);
      break;
    case KWF_FX_PEER_LINK:
      peer = fleet_sim_index_of (sim, effect->link.instance);
      if (peer >= 0 && !sim->wanted[index][peer])
        {
          sim->wanted[index][peer] = true;
          fleet_sim_schedule_link_attempt (sim, index, peer, sim->link_min_ns);
        }
      break;
    case KWF_FX_PEER_UNLINK:
      peer = fleet_sim_index_of (sim, effect->link.instance);
      if (peer >= 0)
        sim->wanted[index][peer] = false;
      break;
    case KWF_FX_PEER_SEND:
      fleet_sim_send (sim, index,
                      fleet_sim_index_of (sim, effect->send.instance),
                      &effect->send.message);
      break;
    case KWF_FX_LOG:
      fleet_sim_log (sim, "%s.%d log %d %s", sim->instances[index].name,
                     (int)sim->instances[index].incarnation,
                     effect->log.number, effect->log.text);
      break;
    default:
      break;
    }
}

void
fleet_sim_run_effects (fleet_sim_t *sim, int index)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  size_t n = kwf_effects_count (instance->effects);
  for (size_t i = 0; i < n; i++)
    run_effect (sim, index, kwf_effects_at (instance->effects, i));
  kwf_effects_clear (instance->effects);
  schedule_tick (sim, index);
}

/* Sets rates and bursts from the row list/plans: "NAME RATE BURST" for each
   organisation.  Other rows are ignored.  */
void
fleet_sim_apply_lists (const fleet_sim_instance_t *instance,
                       const kwf_row_t *rows, size_t n_rows)
{
  for (size_t i = 0; i < n_rows; i++)
    {
      const kwf_row_t *row = &rows[i];
      if (strcmp (row->key, "list/plans") != 0 || !row->value)
        continue;
      share_limit_t limits[8];
      char names[8][16];
      size_t n = 0;
      int used = 0;
      for (const char *text = row->value;
           n < 8
           && sscanf (text, "%15s %lf %lf%n", names[n], &limits[n].rate,
                      &limits[n].burst, &used)
                  == 3;
           text += used, n++)
        limits[n].organisation = names[n];
      shares_set_limits (instance->shares, limits, n);
    }
}

/* For FLEET_SIM_NO_RECLAIM_WAIT: sets the times that session_may_reclaim
   reads, so that it does not wait one lease after an outage.  Called before
   and after session_step, which sets and reads them.  */
static void
skip_reclaim_wait (const fleet_sim_t *sim,
                   const fleet_sim_instance_t *instance)
{
  if (sim->without != FLEET_SIM_NO_RECLAIM_WAIT
      || !instance->session->answered_ns)
    return;
  instance->session->first_success_ns = 1;
  instance->session->answered_ns = kwf_now_ns (&instance->clock.base);
}

static void
step_instance (fleet_sim_t *sim, int index, const kwf_event_t *event)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  session_changes_t changes;
  skip_reclaim_wait (sim, instance);
  session_step (instance->session, event, instance->effects, &changes);
  skip_reclaim_wait (sim, instance);
  fleet_sim_apply_lists (instance, changes.rows, changes.n_rows);
  shares_step (instance->shares, instance->session, event, &changes,
               instance->effects);
  claims_step (instance->claims, instance->session, event, instance->effects);
  if (event->type == KWF_EV_STORE_REPLY && sim->written
      && op_owner (event->store.op) == OP_CONFIG)
    sim->written (sim, index, event->store.op, &event->store.reply);
  if (sim->after)
    sim->after (sim, index, &changes);
  fleet_sim_run_effects (sim, index);
}

static void
handle_item (fleet_sim_t *sim, const fleet_sim_item_t *item)
{
  fleet_sim_instance_t *instance = &sim->instances[item->node];
  if (item->number && item->event->type == KWF_EV_PEER_DOWN)
    sim->downs[item->node][item->peer]--;
  if (!instance->alive || instance->incarnation != item->incarnation
      || (item->generation
          && item->generation != sim->generation[item->node][item->peer]))
    return;
  if (instance->paused)
    g_ptr_array_add (instance->inbox, item->event);
  else
    step_instance (sim, item->node, item->event);
}

bool
fleet_sim_step (fleet_sim_t *sim)
{
  if (!fleet_sim_first (sim))
    return false;
  fleet_sim_item_t item = fleet_sim_pop (sim);
  sim->now_ns = MAX (sim->now_ns, item.at_ns);
  const fleet_sim_instance_t *instance
      = item.node >= 0 ? &sim->instances[item.node] : NULL;
  switch (item.type)
    {
    case FLEET_SIM_INSTANCE_EVENT:
      handle_item (sim, &item);
      break;
    case FLEET_SIM_STORE_REQUEST:
      handle_request (sim, item.request);
      break;
    case FLEET_SIM_LINK_ATTEMPT:
      if (instance && instance->alive
          && instance->incarnation == item.incarnation)
        fleet_sim_attempt_link (sim, item.node, item.peer);
      break;
    case FLEET_SIM_CALL:
      if (sim->call)
        sim->call (sim, item.node, item.number);
      break;
    }
  return true;
}

void
fleet_sim_run (fleet_sim_t *sim, int64_t until_ns)
{
  while (fleet_sim_first (sim) && fleet_sim_first (sim)->at_ns <= until_ns)
    fleet_sim_step (sim);
  sim->now_ns = MAX (sim->now_ns, until_ns);
}

/* Faults.  */

void
fleet_sim_start (fleet_sim_t *sim, int index)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  instance->incarnation++;
  instance->alive = true;
  instance->paused = false;
  instance->paused_sum = 0;
  instance->tick_ns = 0;
  g_ptr_array_set_size (instance->inbox, 0);
  kwf_core_options_t options = { .instance = instance->name,
                                 .incarnation = instance->incarnation,
                                 .data_centre = "a",
                                 .caller_address = instance->name,
                                 .peer_address = instance->name,
                                 .lease_ns = 2400 * FLEET_SIM_MS,
                                 .renew_ns = 800 * FLEET_SIM_MS,
                                 .clock = &instance->clock.base,
                                 .random = &instance->random.base };
  if (sim->push)
    {
      static const char *const data_centres[] = { "a", "b", "c" };
      options.data_centre = data_centres[index % 3];
      options.lease_ns = 300 * FLEET_SIM_S;
      options.renew_ns = 100 * FLEET_SIM_S;
      options.push_updates = true;
      options.overdraft = sim->overdraft;
      fleet_sim_push_table (sim, index);
    }
  instance->effects = kwf_effects_new ();
  instance->session = session_new (&options);
  instance->shares = shares_new (&options);
  instance->claims = claims_new (&options);
  fleet_sim_log (sim, "%s starts with incarnation %d", instance->name,
                 (int)instance->incarnation);
  fleet_sim_push_event (sim, sim->now_ns, index,
                        fleet_sim_new_event (sim, KWF_EV_TICK));
}

void
fleet_sim_crash (fleet_sim_t *sim, int index)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  if (!instance->alive)
    return;
  fleet_sim_log (sim, "%s crashes", instance->name);
  instance->alive = false;
  instance->paused = false;
  for (int i = 0; i < sim->n_instances; i++)
    {
      sim->wanted[index][i] = false;
      fleet_sim_close_link (sim, index, i, 50 * FLEET_SIM_MS);
      if (sim->wanted[i][index])
        fleet_sim_schedule_link_attempt (sim, i, index, 60 * FLEET_SIM_MS);
    }
  free_modules (instance);
}

void
fleet_sim_pause (fleet_sim_t *sim, int index)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  if (!instance->alive || instance->paused)
    return;
  fleet_sim_log (sim, "%s is paused", instance->name);
  instance->paused = true;
  instance->paused_ns = sim->now_ns;
}

void
fleet_sim_resume (fleet_sim_t *sim, int index)
{
  fleet_sim_instance_t *instance = &sim->instances[index];
  if (!instance->alive || !instance->paused)
    return;
  fleet_sim_log (sim, "%s goes on", instance->name);
  instance->paused = false;
  instance->paused_sum += sim->now_ns - instance->paused_ns;
  /* The process may act before it handles the events that waited.  */
  if (sim->call)
    sim->call (sim, index, 0);
  GPtrArray *inbox = instance->inbox;
  instance->inbox = g_ptr_array_new ();
  for (guint i = 0; i < inbox->len && instance->alive; i++)
    step_instance (sim, index, inbox->pdata[i]);
  g_ptr_array_free (inbox, TRUE);
  if (instance->alive)
    fleet_sim_push_event (sim, sim->now_ns, index,
                          fleet_sim_new_event (sim, KWF_EV_TICK));
}

void
fleet_sim_schedule_call (fleet_sim_t *sim, int64_t at_ns, int index,
                         int64_t number)
{
  fleet_sim_push (sim, (fleet_sim_item_t){ .at_ns = at_ns,
                                           .type = FLEET_SIM_CALL,
                                           .node = index,
                                           .number = number });
}

kwf_handle_t
fleet_sim_send_write (fleet_sim_t *sim, int index, const char *key,
                      int64_t version, const char *value)
{
  kwf_condition_t condition = { key, version };
  kwf_put_t put = { key, value };
  kwf_handle_t op = op_handle (OP_CONFIG, ++sim->instances[index].next_op);
  kwf_txn_t txn = { .conditions = &condition,
                    .n_conditions = version >= 0,
                    .puts = &put,
                    .n_puts = 1 };
  send_txn (sim, index, op, 3 * FLEET_SIM_S, &txn);
  return op;
}
