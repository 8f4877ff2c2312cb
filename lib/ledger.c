#include "ledger-state.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "op.h"

/* Interval at which an order that the engine is carrying out is sent again, to
   learn its outcome.  */
#define RESEND_NS (100 * KWF_NS_PER_MS)
/* Delay after a transaction without a reply.  */
#define TXN_RETRY_NS (500 * KWF_NS_PER_MS)
#define TXN_TIMEOUT_NS (2 * KWF_NS_PER_S)
/* Minimum delay from the record of an order that did not succeed to the next
   transaction for its engine, and so to a new order.  */
#define ORDER_RETRY_NS (500 * KWF_NS_PER_MS)
/* A load report older than this doesn't prove that a copy exists.  */
#define REPORT_MAX_AGE_NS (2 * KWF_NS_PER_S)
/* A copy that has been resident for less than this may be missing in the load
   reports of other instances.  They would go on to send requests to the copy
   that is unloaded.  */
#define RESIDENT_KNOWN_NS (2 * KWF_NS_PER_S)
#define TICK_NS (250 * KWF_NS_PER_MS)

static const char prefix[] = "ledger/";

static void
item_clear (ledger_item_t *item)
{
  g_free (item->model);
  g_free (item->version);
  g_free (item->adapter);
  *item = (ledger_item_t){ 0 };
}

static void
engine_free (gpointer data)
{
  ledger_engine_t *engine = data;
  g_free (engine->id);
  g_free (engine->address);
  ledger_row_free (engine->row);
  ledger_row_free (engine->op_row);
  ledger_report_clear (&engine->report);
  g_hash_table_unref (engine->unlisted);
  item_clear (&engine->own_order.item);
  g_free (engine);
}

ledger_t *
ledger_new (const ledger_options_t *options)
{
  ledger_t *ledger = g_new0 (ledger_t, 1);
  ledger->options = *options;
  ledger->options.instance = g_strdup (options->instance);
  ledger->engines = g_ptr_array_new_with_free_func (engine_free);
  ledger->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  ledger->ended_processes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return ledger;
}

void
ledger_free (ledger_t *ledger)
{
  if (!ledger)
    return;
  g_hash_table_unref (ledger->by_id);
  g_ptr_array_free (ledger->engines, TRUE);
  g_hash_table_unref (ledger->ended_processes);
  g_free ((char *)ledger->options.instance);
  g_free (ledger);
}

int64_t
ledger_now (const ledger_t *ledger)
{
  return kwf_now_ns (ledger->options.clock);
}

ledger_engine_t *
ledger_find_engine (const ledger_t *ledger, const char *id)
{
  return g_hash_table_lookup (ledger->by_id, id);
}

static ledger_engine_t *
ensure_engine (ledger_t *ledger, const char *id)
{
  ledger_engine_t *engine = ledger_find_engine (ledger, id);
  if (engine)
    return engine;
  engine = g_new0 (ledger_engine_t, 1);
  engine->id = g_strdup (id);
  engine->unlisted
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (ledger->engines, engine);
  g_hash_table_insert (ledger->by_id, engine->id, engine);
  return engine;
}

void
ledger_set_active (ledger_t *ledger, bool active)
{
  ledger->active = active;
}

const ledger_row_t *
ledger_find_row (const ledger_t *ledger, const char *server)
{
  const ledger_engine_t *engine = ledger_find_engine (ledger, server);
  return engine ? engine->row : NULL;
}

/* Rows.  */

/* Copy from BEFORE since when the entries and orders of ROW have been
   unchanged.  */
static void
keep_first_seen (ledger_row_t *row, const ledger_row_t *before, int64_t now_ns)
{
  for (guint i = 0; i < row->entries->len; i++)
    {
      ledger_entry_t *entry = row->entries->pdata[i];
      const ledger_entry_t *old
          = before ? ledger_row_find_entry (before, &entry->item) : NULL;
      bool same
          = old && old->fence == entry->fence && old->state == entry->state;
      entry->first_seen_ns = same ? old->first_seen_ns : now_ns;
    }
  for (guint i = 0; i < row->orders->len; i++)
    {
      ledger_order_t *order = row->orders->pdata[i];
      const ledger_order_t *old
          = before ? ledger_row_find_order (before, order->id) : NULL;
      order->first_seen_ns = old ? old->first_seen_ns : now_ns;
    }
}

/* Replace the row of ENGINE by ROW if that is newer.  Takes ownership of
   ROW.  */
static void
replace_row (const ledger_t *ledger, ledger_engine_t *engine,
             ledger_row_t *row)
{
  if (engine->row && engine->row->version >= row->version)
    {
      ledger_row_free (row);
      return;
    }
  keep_first_seen (row, engine->row, ledger_now (ledger));
  ledger_row_free (engine->row);
  engine->row = row;
}

void
ledger_apply_row (ledger_t *ledger, const kwf_row_t *row)
{
  if (!g_str_has_prefix (row->key, prefix) || !row->value)
    return;
  ledger_engine_t *engine = ensure_engine (ledger, row->key + strlen (prefix));
  if (engine->row && engine->row->version >= row->version)
    return;
  ledger_row_t *parsed = ledger_row_parse (row->value);
  if (!parsed)
    return;
  parsed->version = row->version;
  replace_row (ledger, engine, parsed);
}

void
ledger_handle_report (ledger_t *ledger, const kwf_report_event_t *report,
                      const char *address)
{
  ledger_engine_t *engine = ensure_engine (ledger, report->server);
  if (g_strcmp0 (engine->address, address) != 0)
    {
      g_free (engine->address);
      engine->address = g_strdup (address);
    }
  int64_t now_ns = ledger_now (ledger);
  ledger_report_update (&engine->report, report, now_ns);
  ledger_note_unlisted (engine, now_ns);
}

/* Transactions.  */

void
ledger_commit (ledger_t *ledger, ledger_engine_t *engine, ledger_row_t *row,
               const ledger_engine_t *remaining, bool reserves,
               kwf_effects_t *effects)
{
  kwf_condition_t *conditions
      = kwf_effects_alloc (effects, 2 * sizeof *conditions);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  char *key = kwf_effects_printf (effects, "%s%s", prefix, engine->id);
  char *text = ledger_row_to_json (row);
  conditions[0]
      = (kwf_condition_t){ key, engine->row ? engine->row->version : 0 };
  bool other = remaining && remaining != engine;
  if (other)
    conditions[1]
        = (kwf_condition_t){ kwf_effects_printf (effects, "%s%s", prefix,
                                                 remaining->id),
                             remaining->row->version };
  *put = (kwf_put_t){ key, kwf_effects_strdup (effects, text) };
  free (text);
  ledger_row_free (engine->op_row);
  engine->op = op_handle (OP_LEDGER, ++ledger->next_op);
  engine->op_sent_ns = ledger_now (ledger);
  engine->op_row = row;
  engine->op_is_reservation = reserves;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = engine->op;
  effect->store.timeout_ns = TXN_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){ .conditions = conditions,
                                   .n_conditions = other ? 2 : 1,
                                   .puts = put,
                                   .n_puts = 1 };
}

static void
send_order (ledger_engine_t *engine, kwf_effects_t *effects)
{
  const ledger_own_order_t *own_order = &engine->own_order;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ORDER);
  kwf_order_t order = {
    .server = kwf_effects_strdup (effects, engine->id),
    .address = kwf_effects_strdup (effects, engine->address),
    .id = kwf_effects_strdup (effects, own_order->id),
    .order = own_order->kind == ORDER_LOAD ? "load" : "unload",
    .model = kwf_effects_strdup (effects, own_order->item.model),
    .version = kwf_effects_strdup (effects, own_order->item.version),
    .adapter = kwf_effects_strdup (effects, own_order->item.adapter),
    .fence = own_order->fence,
  };
  effect->order = order;
}

static void
end_own_order (ledger_engine_t *engine, order_outcome_t outcome)
{
  engine->own_order.phase = LEDGER_PHASE_ENDED;
  engine->own_order.outcome = outcome;
}

static void
clear_own_order (ledger_engine_t *engine)
{
  item_clear (&engine->own_order.item);
  engine->own_order = (ledger_own_order_t){ 0 };
}

static void run_engine (ledger_t *ledger, ledger_engine_t *engine,
                        kwf_effects_t *effects);

static void
handle_commit (ledger_t *ledger, ledger_engine_t *engine, int64_t revision,
               kwf_effects_t *effects)
{
  int64_t now_ns = ledger_now (ledger);
  ledger_row_t *row = engine->op_row;
  engine->op_row = NULL;
  row->version = revision;
  replace_row (ledger, engine, row);
  if (!engine->op_is_reservation)
    {
      if (engine->own_order.phase == LEDGER_PHASE_ENDED)
        clear_own_order (engine);
      return;
    }
  const ledger_options_t *options = &ledger->options;
  if (now_ns - engine->op_sent_ns > options->send_limit_ns
      || !options->callbacks.may_send_orders (options->callbacks.data))
    {
      kwf_effects_log (effects, 351, KWF_LOG_WARNING, NULL,
                       "order %s to %s is not sent: its reservation was "
                       "confirmed too late",
                       engine->own_order.id, engine->id);
      end_own_order (engine, ORDER_NEVER_SENT);
      return;
    }
  engine->own_order.phase = LEDGER_PHASE_SENT;
  send_order (engine, effects);
}

bool
ledger_handle_txn_reply (ledger_t *ledger, kwf_handle_t op,
                         const kwf_store_reply_t *reply,
                         kwf_effects_t *effects)
{
  if (op_owner (op) != OP_LEDGER)
    return false;
  ledger_engine_t *engine = NULL;
  for (guint i = 0; i < ledger->engines->len && !engine; i++)
    if (((ledger_engine_t *)ledger->engines->pdata[i])->op == op)
      engine = ledger->engines->pdata[i];
  if (!engine)
    return true;
  engine->op = 0;
  if (reply->outcome == KWF_STORE_COMMITTED)
    handle_commit (ledger, engine, reply->revision, effects);
  else
    {
      for (size_t i = 0; i < reply->n_conflicts; i++)
        ledger_apply_row (ledger, &reply->conflicts[i]);
      /* A reservation whose reply was lost may be in the table now or later.
         It is then removed as an order that was never sent.  */
      if (engine->op_is_reservation)
        clear_own_order (engine);
      if (reply->outcome != KWF_STORE_CONFLICT)
        engine->not_before_ns = ledger_now (ledger) + TXN_RETRY_NS;
    }
  run_engine (ledger, engine, effects);
  return true;
}

/* Orders.  */

static void
fill_id (ledger_t *ledger, char *id)
{
  uint64_t words[2];
  kwf_random_t *random = ledger->options.random;
  random->ops->fill (random, words, sizeof words);
  g_snprintf (id, LEDGER_ID_SIZE, "%016" PRIx64 "%016" PRIx64, words[0],
              words[1]);
}

void
ledger_start_order (ledger_t *ledger, ledger_engine_t *engine,
                    order_kind_t kind, const ledger_item_t *item, int64_t mb,
                    const ledger_engine_t *remaining, kwf_effects_t *effects)
{
  ledger_own_order_t *own_order = &engine->own_order;
  *own_order
      = (ledger_own_order_t){ .phase = LEDGER_PHASE_RESERVING, .kind = kind };
  fill_id (ledger, own_order->id);
  own_order->item
      = (ledger_item_t){ g_strdup (item->model), g_strdup (item->version),
                         g_strdup (item->adapter) };
  ledger_order_t order = { .id = own_order->id,
                           .kind = kind,
                           .item = own_order->item,
                           .mb = mb,
                           .holder = (char *)ledger->options.instance,
                           .holder_incarnation = ledger->options.incarnation };
  ledger_row_t *next = ledger_row_copy (engine->row);
  own_order->fence = ledger_row_reserve (next, &order)->fence;
  ledger_commit (ledger, engine, next, remaining, true, effects);
}

static order_outcome_t
outcome_of (const ledger_engine_t *engine, const kwf_order_event_t *event)
{
  bool accepted = engine->own_order.accepted;
  if (!event->status)
    return (event->failure == KWF_FAIL_REFUSED
            || event->failure == KWF_FAIL_CONNECT)
                   && !accepted
               ? ORDER_NEVER_SENT
               : ORDER_UNANSWERED;
  if (event->status < 300)
    return ORDER_DONE;
  if (event->status == 409 && g_strcmp0 (event->code, "stale_fence") == 0)
    return ORDER_STALE;
  bool refused = event->status < 500 || event->status == 507;
  return refused && !accepted ? ORDER_REJECTED : ORDER_UNANSWERED;
}

void
ledger_handle_order_reply (ledger_t *ledger, const kwf_order_event_t *event,
                           kwf_effects_t *effects)
{
  ledger_engine_t *engine = ledger_find_engine (ledger, event->server);
  if (!engine || strcmp (engine->own_order.id, event->id) != 0
      || engine->own_order.phase != LEDGER_PHASE_SENT)
    return;
  if (event->status >= 200 && event->status < 300 && event->running)
    {
      engine->own_order.phase = LEDGER_PHASE_RUNNING;
      engine->own_order.accepted = true;
      engine->own_order.next_resend_ns = ledger_now (ledger) + RESEND_NS;
      return;
    }
  order_outcome_t outcome = outcome_of (engine, event);
  end_own_order (engine, outcome);
  if (outcome == ORDER_UNANSWERED)
    {
      engine->not_before_ns = 0;
      kwf_effects_log (effects, 352, KWF_LOG_WARNING, NULL,
                       "order %s to %s was not answered", event->id,
                       engine->id);
    }
  else if (outcome == ORDER_REJECTED)
    kwf_effects_log (effects, 353, KWF_LOG_WARNING, NULL,
                     "order %s was rejected by %s: %d %s", event->id,
                     engine->id, event->status,
                     event->code ? event->code : "");
  run_engine (ledger, engine, effects);
}

/* Send the order again, with the same id and fence, to learn its outcome.  The
   engine may carry out that copy.  So if the row doesn't have the order any
   more, or has it as unanswered, nothing is sent and this instance forgets the
   order.  */
static void
resend_order (ledger_t *ledger, ledger_engine_t *engine,
              kwf_effects_t *effects)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  if (ledger_now (ledger) < engine->own_order.next_resend_ns
      || !callbacks->may_send_orders (callbacks->data))
    return;
  const ledger_order_t *order
      = ledger_row_find_order (engine->row, engine->own_order.id);
  if (!order || order->unanswered)
    {
      clear_own_order (engine);
      return;
    }
  engine->own_order.phase = LEDGER_PHASE_SENT;
  send_order (engine, effects);
}

static void
record_outcome (ledger_t *ledger, ledger_engine_t *engine,
                kwf_effects_t *effects)
{
  if (ledger_now (ledger) < engine->not_before_ns)
    return;
  if (!ledger_row_find_order (engine->row, engine->own_order.id))
    {
      clear_own_order (engine);
      return;
    }
  bool checks_fences
      = engine->report.responding && engine->report.event.fencing
        && engine->report.event.incarnation == engine->row->incarnation;
  ledger_row_t *next = ledger_row_copy (engine->row);
  ledger_row_record_outcome (next, engine->own_order.id,
                             engine->own_order.outcome, checks_fences);
  ledger_commit (ledger, engine, next, NULL, false, effects);
  /* This order is not sent again.  Wait before a new order is started.  */
  if (engine->own_order.outcome != ORDER_DONE)
    engine->not_before_ns = ledger_now (ledger) + ORDER_RETRY_NS;
}

static void
run_engine (ledger_t *ledger, ledger_engine_t *engine, kwf_effects_t *effects)
{
  if (engine->op)
    return;
  switch (engine->own_order.phase)
    {
    case LEDGER_PHASE_NONE:
      ledger_recover (ledger, engine, effects);
      break;
    case LEDGER_PHASE_RUNNING:
      resend_order (ledger, engine, effects);
      break;
    case LEDGER_PHASE_ENDED:
      record_outcome (ledger, engine, effects);
      break;
    case LEDGER_PHASE_RESERVING:
    case LEDGER_PHASE_SENT:
      break;
    }
}

void
ledger_tick (ledger_t *ledger, kwf_effects_t *effects)
{
  ledger_note_ended_processes (ledger);
  for (guint i = 0; i < ledger->engines->len; i++)
    run_engine (ledger, ledger->engines->pdata[i], effects);
}

int64_t
ledger_next_tick_ns (const ledger_t *ledger)
{
  int64_t now_ns = ledger_now (ledger);
  for (guint i = 0; i < ledger->engines->len; i++)
    if (((ledger_engine_t *)ledger->engines->pdata[i])->own_order.phase
        == LEDGER_PHASE_RUNNING)
      return now_ns + RESEND_NS;
  return now_ns + TICK_NS;
}

/* Orders of the leader.  */

static bool
has_confirmed_copy (const ledger_t *ledger, const ledger_engine_t *engine,
                    const ledger_item_t *item)
{
  const ledger_report_t *report = &engine->report;
  const ledger_entry_t *entry
      = engine->row ? ledger_row_find_entry (engine->row, item) : NULL;
  return entry && ledger_row_has_stable_copy (engine->row, item)
         && ledger_now (ledger) - entry->first_seen_ns >= RESIDENT_KNOWN_NS
         && report->responding && !report->event.leaving
         && ledger_now (ledger) - report->at_ns <= REPORT_MAX_AGE_NS
         && report->event.incarnation == engine->row->incarnation
         && ledger_report_lists (report, item);
}

const ledger_engine_t *
ledger_find_other_copy (const ledger_t *ledger, const ledger_engine_t *engine,
                        const ledger_item_t *item)
{
  for (guint i = 0; i < ledger->engines->len; i++)
    {
      const ledger_engine_t *other = ledger->engines->pdata[i];
      if (other != engine && has_confirmed_copy (ledger, other, item))
        return other;
    }
  return NULL;
}

bool
ledger_check_unload (const ledger_t *ledger, const ledger_engine_t *engine,
                     const ledger_item_t *item,
                     const ledger_engine_t **remaining)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  *remaining = NULL;
  if (*item->adapter)
    return true;
  *remaining = ledger_find_other_copy (ledger, engine, item);
  ledger_item_t next;
  if (!*remaining && callbacks->replacement
      && callbacks->replacement (callbacks->data, item, &next))
    *remaining = has_confirmed_copy (ledger, engine, &next)
                     ? engine
                     : ledger_find_other_copy (ledger, engine, &next);
  return *remaining || callbacks->is_cold (callbacks->data, item);
}

static ledger_result_t
check_can_order (const ledger_t *ledger, const ledger_engine_t *engine)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  if (!engine || !engine->row || !engine->address)
    return LEDGER_UNKNOWN;
  if (engine->op || engine->own_order.phase != LEDGER_PHASE_NONE
      || ledger_now (ledger) < engine->not_before_ns
      || !callbacks->may_send_orders (callbacks->data))
    return LEDGER_BUSY;
  if (!engine->report.responding
      || engine->report.event.incarnation != engine->row->incarnation)
    return LEDGER_UNKNOWN;
  return LEDGER_BEGUN;
}

ledger_result_t
ledger_load (ledger_t *ledger, const char *server, const ledger_item_t *item,
             kwf_effects_t *effects)
{
  ledger_engine_t *engine = ledger_find_engine (ledger, server);
  ledger_result_t result = check_can_order (ledger, engine);
  if (result != LEDGER_BEGUN)
    return result;
  const ledger_row_t *row = engine->row;
  ledger_item_t whole = { item->model, item->version, "" };
  const ledger_entry_t *model = ledger_row_find_entry (row, &whole);
  /* A late copy of the unanswered unload would remove the model again.  */
  if (ledger_row_find_entry (row, item)
      || (ledger_row_has_order (row, ORDER_UNLOAD, item)
          && !engine->report.event.fencing)
      || (*item->adapter && (!model || model->state != LEDGER_ENTRY_RESIDENT)))
    return LEDGER_REFUSED;
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  int64_t mb = callbacks->size (callbacks->data, item);
  bool reserved = ledger_row_has_order (row, ORDER_LOAD, item);
  if (ledger_row_reserved_mb (row) + (reserved ? 0 : mb) > row->total_mb)
    return LEDGER_NO_ROOM;
  ledger_start_order (ledger, engine, ORDER_LOAD, item, mb, NULL, effects);
  return LEDGER_BEGUN;
}

ledger_result_t
ledger_unload (ledger_t *ledger, const char *server, const ledger_item_t *item,
               kwf_effects_t *effects)
{
  ledger_engine_t *engine = ledger_find_engine (ledger, server);
  ledger_result_t result = check_can_order (ledger, engine);
  if (result != LEDGER_BEGUN)
    return result;
  const ledger_row_t *row = engine->row;
  const ledger_entry_t *entry = ledger_row_find_entry (row, item);
  /* A late copy of the unanswered load could arrive while the engine unloads,
     and the engine would hold the model twice.  An engine with fencing refuses
     it.  */
  if (entry && ledger_row_has_order (row, ORDER_LOAD, item)
      && !engine->report.event.fencing
      && ledger_row_reserved_mb (row) + entry->mb > row->total_mb)
    return LEDGER_NO_ROOM;
  const ledger_engine_t *remaining;
  if (!entry || entry->state != LEDGER_ENTRY_RESIDENT
      || !ledger_check_unload (ledger, engine, item, &remaining))
    return LEDGER_REFUSED;
  ledger_start_order (ledger, engine, ORDER_UNLOAD, item, entry->mb, remaining,
                      effects);
  return LEDGER_BEGUN;
}
