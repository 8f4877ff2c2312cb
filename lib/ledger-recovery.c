/* Recovery of ledger rows: orders without an outcome, expired leaders, and
   restarted engines.  At most one transaction at a time for each engine.  */

#include <inttypes.h>
#include <string.h>

#include "ledger-state.h"

/* A model that load reports list and the row lacks is added to the row after
   this time.  Earlier, the reports may still list a model whose unload was
   just completed.  */
#define UNLISTED_NS (10 * KWF_NS_PER_S)

static bool
may_send_orders (const ledger_t *ledger)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  return callbacks->may_send_orders (callbacks->data);
}

static ledger_process_state_t
process_state_of (const ledger_t *ledger, const ledger_order_t *order)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  return callbacks->process_state (callbacks->data, order->holder,
                                   order->holder_incarnation);
}

static bool
is_own (const ledger_t *ledger, const ledger_order_t *order)
{
  return order->holder_incarnation == ledger->options.incarnation
         && strcmp (order->holder, ledger->options.instance) == 0;
}

static char *
process_name (const ledger_order_t *order)
{
  return g_strdup_printf ("%s/%" PRIu64, order->holder,
                          order->holder_incarnation);
}

void
ledger_note_ended_processes (ledger_t *ledger)
{
  for (guint i = 0; i < ledger->engines->len; i++)
    {
      const ledger_engine_t *engine = ledger->engines->pdata[i];
      for (guint k = 0; engine->row && k < engine->row->orders->len; k++)
        {
          const ledger_order_t *order = engine->row->orders->pdata[k];
          if (!order->unanswered || is_own (ledger, order)
              || process_state_of (ledger, order) != LEDGER_PROCESS_ENDED)
            continue;
          char *name = process_name (order);
          if (g_hash_table_contains (ledger->ended_processes, name))
            {
              g_free (name);
              continue;
            }
          int64_t *since = g_new (int64_t, 1);
          *since = ledger_now (ledger);
          g_hash_table_insert (ledger->ended_processes, name, since);
        }
    }
}

/* Whether it is certain that no message of ORDER can arrive at the engine any
   more.  False for the orders of this process: they stay in the row until this
   process has ended.  */
static bool
can_no_longer_arrive (const ledger_t *ledger, const ledger_order_t *order)
{
  if (is_own (ledger, order)
      || process_state_of (ledger, order) != LEDGER_PROCESS_ENDED)
    return false;
  char *name = process_name (order);
  const int64_t *since = g_hash_table_lookup (ledger->ended_processes, name);
  g_free (name);
  int64_t now_ns = ledger_now (ledger);
  int64_t max_order_delay_ns = ledger->options.max_order_delay_ns;
  return since && now_ns - *since >= max_order_delay_ns
         && now_ns - order->first_seen_ns >= max_order_delay_ns;
}

/* Return ENGINE's row with the orders changed that their senders left without
   an outcome; NULL: there is nothing to change.  */
static ledger_row_t *
recover_orders (const ledger_t *ledger, const ledger_engine_t *engine,
                kwf_effects_t *effects)
{
  ledger_row_t *next = NULL;
  for (guint i = 0; i < engine->row->orders->len; i++)
    {
      const ledger_order_t *order = engine->row->orders->pdata[i];
      bool own = is_own (ledger, order);
      bool unsent = own && !order->unanswered;
      bool abandoned
          = ledger->active && !own && !order->unanswered
            && process_state_of (ledger, order) != LEDGER_PROCESS_ALIVE;
      bool cannot_arrive = ledger->active && order->unanswered
                           && can_no_longer_arrive (ledger, order);
      if (!unsent && !abandoned && !cannot_arrive)
        continue;
      if (!next)
        next = ledger_row_copy (engine->row);
      if (cannot_arrive)
        ledger_row_drop_unanswered_order (next, order->id);
      else
        ledger_row_record_outcome (
            next, order->id, unsent ? ORDER_NEVER_SENT : ORDER_UNANSWERED,
            false);
      if (abandoned)
        kwf_effects_log (effects, 354, KWF_LOG_WARNING, NULL,
                         "order %s to %s is late: the lease of %s is over",
                         order->id, engine->id, order->holder);
    }
  return next;
}

/* Return a new row for ENGINE if its load report shows that the row is
   missing, that the engine was restarted, or that the row lacks a model; NULL:
   there is nothing to change.  */
static ledger_row_t *
recover_from_report (const ledger_t *ledger, const ledger_engine_t *engine,
                     kwf_effects_t *effects)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  const ledger_report_t *report = &engine->report;
  if (!report->responding || !report->at_ns)
    return NULL;
  if (!engine->row)
    {
      ledger_row_t *first = ledger_row_new ();
      ledger_row_init_from_report (first, &report->event, callbacks->size,
                                   callbacks->data);
      return first;
    }
  if (report->event.incarnation > engine->row->incarnation)
    {
      ledger_row_t *next = ledger_row_copy (engine->row);
      int64_t since_ns = report->previous_process_ns
                             ? report->previous_process_ns
                                   - ledger->options.max_report_lag_ns
                             : INT64_MIN;
      ledger_row_handle_restart (next, &report->event, since_ns,
                                 callbacks->size, callbacks->data);
      kwf_effects_log (effects, 355, KWF_LOG_WARNING, NULL,
                       "engine %s was restarted", engine->id);
      return next;
    }
  if (report->event.incarnation < engine->row->incarnation
      || !g_hash_table_size (engine->unlisted))
    return NULL;
  ledger_row_t *next = NULL;
  GHashTableIter iter;
  gpointer name;
  gpointer since;
  g_hash_table_iter_init (&iter, engine->unlisted);
  while (g_hash_table_iter_next (&iter, &name, &since))
    {
      if (ledger_now (ledger) - *(const int64_t *)since < UNLISTED_NS)
        continue;
      char **parts = g_strsplit (name, "\n", 2);
      ledger_item_t item = { parts[0], parts[1], "" };
      if (!ledger_row_find_entry (engine->row, &item))
        {
          if (!next)
            next = ledger_row_copy (engine->row);
          ledger_row_add_unlisted (next, &item,
                                   callbacks->size (callbacks->data, &item));
          kwf_effects_log (
              effects, 356, KWF_LOG_WARNING, NULL,
              "engine %s has model %s, which its ledger row does not list",
              engine->id, item.model);
        }
      g_strfreev (parts);
    }
  return next;
}

static bool
has_order_awaiting_reply (const ledger_row_t *row, const ledger_item_t *item)
{
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      if (!order->unanswered && ledger_item_equal (&order->item, item))
        return true;
    }
  return false;
}

static bool
model_is_resident (const ledger_row_t *row, const ledger_item_t *item)
{
  ledger_item_t whole = { item->model, item->version, "" };
  const ledger_entry_t *entry = ledger_row_find_entry (row, &whole);
  return entry && entry->state == LEDGER_ENTRY_RESIDENT;
}

/* Whether the row of another engine lists ITEM as resident, without an order
   to unload it.  Unlike ledger_find_other_copy, this does not require a load
   report that confirms the copy.  */
static bool
row_lists_copy_elsewhere (const ledger_t *ledger,
                          const ledger_engine_t *engine,
                          const ledger_item_t *item)
{
  for (guint i = 0; i < ledger->engines->len; i++)
    {
      const ledger_engine_t *other = ledger->engines->pdata[i];
      if (other != engine && other->row
          && ledger_row_has_stable_copy (other->row, item))
        return true;
    }
  return false;
}

/* Send a new order for ENTRY to make its state certain; false: it has to wait.
   A load never follows an unload that may still run, because the engine would
   hold the model twice.  */
static bool
retry_entry (ledger_t *ledger, ledger_engine_t *engine,
             const ledger_entry_t *entry, kwf_effects_t *effects)
{
  const ledger_item_t *item = &entry->item;
  const ledger_row_t *row = engine->row;
  bool overcommitted = ledger_row_reserved_mb (row) > row->total_mb;
  if (entry->state == LEDGER_ENTRY_UNLOADING
      || ledger_row_has_order (row, ORDER_UNLOAD, item))
    {
      const ledger_engine_t *remaining;
      /* The copy that justified the unload may have been lost with a restart
         of its engine; then this copy stays.  If the report doesn't list this
         copy either, it may be unloaded already, and only the reply to another
         unload makes that certain.  */
      if (!ledger_check_unload (ledger, engine, item, &remaining)
          && !overcommitted
          && (row_lists_copy_elsewhere (ledger, engine, item)
              || ledger_report_lists (&engine->report, item)))
        return false;
      ledger_start_order (ledger, engine, ORDER_UNLOAD, item, entry->mb,
                          remaining, effects);
      return true;
    }
  if (overcommitted || (*item->adapter && !model_is_resident (row, item)))
    return false;
  ledger_start_order (ledger, engine, ORDER_LOAD, item, entry->mb, NULL,
                      effects);
  return true;
}

/* Send a new order for the first entry whose state is uncertain, for which the
   row has no order that still awaits its reply, and for which an order can be
   sent now.  */
static void
retry_one_entry (ledger_t *ledger, ledger_engine_t *engine,
                 kwf_effects_t *effects)
{
  const ledger_row_t *row = engine->row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      if (entry->state != LEDGER_ENTRY_RESIDENT
          && !has_order_awaiting_reply (row, &entry->item)
          && retry_entry (ledger, engine, entry, effects))
        return;
    }
}

void
ledger_recover (ledger_t *ledger, ledger_engine_t *engine,
                kwf_effects_t *effects)
{
  if (engine->op || engine->own_order.phase != LEDGER_PHASE_NONE)
    return;
  /* Without orders in the row only the leader has something to recover.  */
  if (!ledger->active && (!engine->row || !engine->row->orders->len))
    return;
  if (ledger_now (ledger) < engine->not_before_ns || !may_send_orders (ledger))
    return;
  ledger_row_t *next
      = engine->row ? recover_orders (ledger, engine, effects) : NULL;
  if (!next && ledger->active)
    next = recover_from_report (ledger, engine, effects);
  if (next)
    ledger_commit (ledger, engine, next, NULL, false, effects);
  else if (ledger->active && engine->row && engine->address
           && engine->report.responding
           && engine->report.event.incarnation == engine->row->incarnation)
    retry_one_entry (ledger, engine, effects);
}
