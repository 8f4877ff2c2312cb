/* Events, the table, and the messages between processes and engines.  */

#include "common-ledger-world.h"

#include <stdlib.h>
#include <string.h>

const char *const lw_model_names[LW_MODELS]
    = { "m0", "m1", "m2", "m3", "m4", "m5" };

void
lw_event_free (lw_event_t *event)
{
  for (int i = 0; i < LW_ENGINES; i++)
    g_free (event->rows[i]);
  g_free (event);
}

/* Events.  */

void
lw_push (lw_t *world, lw_event_t *event, int64_t at_ns)
{
  event->at_ns = MAX (at_ns, world->now_ns);
  heap_push (&world->events, event->at_ns, event);
}

lw_event_t *
lw_event_new (lw_kind_t kind, int process)
{
  lw_event_t *event = g_new0 (lw_event_t, 1);
  event->kind = kind;
  event->process = process;
  for (int i = 0; i < LW_ENGINES; i++)
    event->versions[i] = -1;
  return event;
}

int64_t
lw_delay (lw_t *world, int64_t least_ms, int64_t most_ms)
{
  return (least_ms
          + (int64_t)lw_random (world, (uint64_t)(most_ms - least_ms)))
         * LW_NS_PER_MS;
}

/* The table.  */

static void
remove_unanswered_load_orders (char **text)
{
  ledger_row_t *row = ledger_row_parse (*text);
  for (guint i = row->orders->len; i-- > 0;)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      if (order->unanswered && order->kind == ORDER_LOAD)
        g_ptr_array_remove_index (row->orders, i);
    }
  g_free (*text);
  char *written = ledger_row_to_json (row);
  *text = g_strdup (written);
  free (written);
  ledger_row_free (row);
}

static void
apply_txn (lw_t *world, lw_event_t *event, lw_event_t *reply)
{
  reply->outcome = KWF_STORE_COMMITTED;
  for (int i = 0; i < world->n_engines; i++)
    {
      const lw_engine_t *engine = &world->engines[i];
      bool checked = event->rows[i] || world->disabled != LW_NO_PAIR_CONDITION;
      if (event->versions[i] < 0 || !checked
          || event->versions[i] == engine->version)
        continue;
      reply->outcome = KWF_STORE_CONFLICT;
      reply->rows[i] = g_strdup (engine->row);
      reply->versions[i] = engine->version;
    }
  for (int i = 0; i < world->n_engines; i++)
    if (reply->outcome == KWF_STORE_COMMITTED && event->rows[i])
      {
        lw_engine_t *engine = &world->engines[i];
        g_free (engine->row);
        engine->row = g_steal_pointer (&event->rows[i]);
        if (world->disabled == LW_NO_LATE_RESERVATION)
          remove_unanswered_load_orders (&engine->row);
        engine->version = ++world->revision;
        engine->commit_ns = world->now_ns;
        lw_log (world, "process %d writes %s: %s", event->process + 1,
                engine->name, engine->row);
      }
  reply->revision = world->revision;
}

/* Pause a process between its commit and the reply, as if its machine were
   suspended.  The timers of its HTTP client stop too, so it may read the reply
   after it has renewed its lease.  The engine may be restarted at about the
   time when the process resumes.  Return when the reply is read.  */
static int64_t
pause_after_commit (lw_t *world, const lw_event_t *event, int64_t at_ns)
{
  bool is_long = lw_chance (world, 70);
  int64_t pause_ns
      = is_long ? lw_delay (world, 4500, 7500) : lw_delay (world, 300, 4500);
  lw_pause (world, event->process, pause_ns);
  int64_t wake_ns = world->now_ns + pause_ns;
  for (int i = 0; i < world->n_engines; i++)
    if (event->versions[i] >= 0 && lw_chance (world, 70))
      {
        lw_event_t *fault = lw_event_new (EV_FAULT, -1);
        fault->engine = i;
        lw_push (world, fault,
                 wake_ns - 150 * LW_NS_PER_MS + lw_delay (world, 0, 200));
      }
  if (lw_chance (world, 70))
    at_ns = wake_ns + lw_delay (world, 50, 300);
  /* Leave time for the consequences.  */
  world->end_ns
      = MAX (world->end_ns, MIN (wake_ns + 4 * LW_NS_PER_S, 18 * LW_NS_PER_S));
  return at_ns;
}

void
lw_handle_txn (lw_t *world, lw_event_t *event)
{
  lw_event_t *reply = lw_event_new (EV_TXN_REPLY, event->process);
  reply->op = event->op;
  apply_txn (world, event, reply);
  int64_t at_ns = world->now_ns + lw_delay (world, 2, 30);
  if (lw_chance (world, world->fault_percent / 2))
    at_ns = world->now_ns + lw_delay (world, 30, 1500);
  int64_t limit_ns = event->sent_ns + LW_TIMEOUT_NS;
  if (at_ns >= limit_ns || lw_chance (world, world->fault_percent / 2))
    {
      reply->outcome = KWF_STORE_UNKNOWN;
      at_ns = MAX (limit_ns, world->now_ns);
    }
  if (reply->outcome == KWF_STORE_COMMITTED
      && lw_chance (world, world->fault_percent / 4)
      && world->processes[event->process].alive
      && !world->processes[event->process].paused)
    at_ns = pause_after_commit (world, event, at_ns);
  lw_push (world, reply, at_ns);
}

void
lw_send_txn (lw_t *world, int process, const kwf_effect_t *effect)
{
  lw_event_t *event = lw_event_new (EV_TXN_ARRIVES, process);
  event->op = effect->store.op;
  event->sent_ns = world->now_ns;
  const kwf_txn_t *txn = &effect->store.txn;
  for (size_t i = 0; i < txn->n_conditions; i++)
    event->versions[txn->conditions[i].key[8] - '0']
        = txn->conditions[i].version;
  for (size_t i = 0; i < txn->n_puts; i++)
    event->rows[txn->puts[i].key[8] - '0'] = g_strdup (txn->puts[i].value);
  int64_t at_ns = world->now_ns + lw_delay (world, 2, 30);
  if (lw_chance (world, world->fault_percent / 2))
    at_ns += lw_delay (world, 0, 4000);
  if (lw_chance (world, world->fault_percent / 4))
    {
      event->kind = EV_TXN_REPLY;
      event->outcome = KWF_STORE_UNKNOWN;
      at_ns = world->now_ns + LW_TIMEOUT_NS;
    }
  lw_push (world, event, at_ns);
}

void
lw_handle_renewal (lw_t *world, const lw_event_t *event)
{
  lw_process_t *process = &world->processes[event->process];
  if (world->incarnations[process->leader] > process->incarnation)
    return;
  world->incarnations[process->leader] = process->incarnation;
  world->commit_ns[process->leader] = world->now_ns;
  lw_event_t *reply = lw_event_new (EV_RENEW_REPLY, event->process);
  reply->sent_ns = event->sent_ns;
  reply->revision = world->revision;
  memcpy (reply->commit_ns, world->commit_ns, sizeof reply->commit_ns);
  memcpy (reply->incarnations, world->incarnations,
          sizeof reply->incarnations);
  for (int i = 0; i < world->n_engines; i++)
    if (world->engines[i].version > event->revision)
      {
        reply->rows[i] = g_strdup (world->engines[i].row);
        reply->versions[i] = world->engines[i].version;
      }
  lw_push (world, reply, world->now_ns + lw_delay (world, 2, 30));
}

/* Orders.  */

void
lw_send_order (lw_t *world, int process, const kwf_order_t *order)
{
  int engine = order->server[1] - '0';
  lw_event_t *event = lw_event_new (EV_ORDER_ARRIVES, process);
  event->engine = engine;
  event->sent_ns = world->now_ns;
  event->engine_incarnation = world->engines[engine].incarnation;
  event->order
      = (lw_order_t){ .load = *order->order == 'l',
                      .model = order->model[1] - '0',
                      .fence = order->fence,
                      .reserved_ns = world->engines[engine].commit_ns };
  g_strlcpy (event->order.id, order->id, sizeof event->order.id);
  lw_log (world, "process %d orders %s: %s m%d, %.6s, fence %d", process + 1,
          order->server, order->order, event->order.model, order->id,
          (int)order->fence);
  if (event->order.load)
    world->n_loads++;
  else
    world->n_unloads++;
  bool ended = world->processes[process].replaced;
  int64_t latest_ms = ended ? 1000 : 8000;
  int64_t at_ns = world->now_ns + lw_delay (world, 1, 20);
  if (lw_chance (world, world->fault_percent / 8))
    {
      event->kind = EV_ORDER_REPLY;
      event->answer.failure = KWF_FAIL_REFUSED;
      lw_push (world, event, at_ns);
      return;
    }
  if (lw_chance (world, world->fault_percent / 4))
    {
      lw_event_t *copy = g_new (lw_event_t, 1);
      *copy = *event;
      copy->copy = true;
      lw_push (world, copy, at_ns + lw_delay (world, 0, latest_ms));
    }
  if (lw_chance (world, world->fault_percent))
    {
      world->n_late++;
      at_ns += lw_delay (world, 0, latest_ms);
    }
  if (lw_chance (world, world->fault_percent / 4))
    {
      event->kind = EV_ORDER_REPLY;
      event->answer.failure = KWF_FAIL_TIMEOUT;
      lw_push (world, event, world->now_ns + LW_TIMEOUT_NS);
      return;
    }
  if (at_ns >= event->sent_ns + LW_TIMEOUT_NS)
    {
      /* The sender times out before the order arrives.  */
      lw_event_t *copy = g_new (lw_event_t, 1);
      *copy = *event;
      copy->copy = true;
      lw_push (world, copy, at_ns);
      event->kind = EV_ORDER_REPLY;
      event->answer.failure = KWF_FAIL_TIMEOUT;
      at_ns = event->sent_ns + LW_TIMEOUT_NS;
    }
  lw_push (world, event, at_ns);
}

void
lw_handle_order (lw_t *world, lw_event_t *event)
{
  lw_engine_t *engine = &world->engines[event->engine];
  /* A connection to the old process of the engine ends with that process.
     Only a connection that was being made reaches the new one.  */
  bool lost = event->engine_incarnation != engine->incarnation
              && (event->copy || world->now_ns - event->sent_ns > LW_TIMEOUT_NS
                  || lw_chance (world, 50));
  lw_event_t *reply = lw_event_new (EV_ORDER_REPLY, event->process);
  reply->engine = event->engine;
  reply->order = event->order;
  int64_t at_ns = world->now_ns + lw_delay (world, 1, 20);
  if (!lost)
    {
      lw_log (world, "%s takes %.6s: %s m%d%s", engine->name, event->order.id,
              event->order.load ? "load" : "unload", event->order.model,
              event->copy ? " (copy)" : "");
      lw_engine_order (world, engine, &event->order, &reply->answer);
    }
  if (event->copy)
    {
      lw_event_free (reply);
      return;
    }
  if (lost || lw_chance (world, world->fault_percent / 2))
    {
      reply->answer = (kwf_order_event_t){ .failure = KWF_FAIL_BROKEN };
      if (lw_chance (world, 50))
        {
          reply->answer.failure = KWF_FAIL_TIMEOUT;
          at_ns = MAX (world->now_ns, event->sent_ns + LW_TIMEOUT_NS);
        }
    }
  else if (lw_chance (world, world->fault_percent / 4))
    at_ns = MIN (event->sent_ns + LW_TIMEOUT_NS,
                 at_ns + lw_delay (world, 0, 1900));
  lw_push (world, reply, at_ns);
}

/* Load reports.  */

void
lw_send_reports (lw_t *world, int process)
{
  for (int i = 0; i < world->n_engines; i++)
    {
      lw_engine_t *engine = &world->engines[i];
      lw_engine_drop_unloaded (world, engine);
      lw_event_t *event = lw_event_new (EV_REPORT, process);
      event->engine = i;
      event->report = (kwf_report_event_t){
        .server = engine->name,
        .valid = !lw_chance (world, world->fault_percent / 4),
        .incarnation = engine->incarnation,
        .fencing = engine->fencing,
        .memory_total_mb = engine->total_mb,
      };
      for (int k = 0; k < LW_COPIES; k++)
        {
          const lw_copy_t *copy = &engine->copies[k];
          if (copy->model >= 0 && copy->ready_ns <= world->now_ns
              && copy->gone_ns == INT64_MAX)
            event->models[event->report.n_models++]
                = (kwf_resident_t){ .name = lw_model_names[copy->model],
                                    .version = "" };
        }
      lw_push (world, event,
               world->now_ns
                   + lw_delay (world, 1, lw_chance (world, 20) ? 900 : 30));
    }
}
