/* Recovery of what orders, deciders and engines left behind in a row: one
   transaction at a time for each engine.  */

#include <inttypes.h>
#include <string.h>

#include "ledger-state.h"

/* A model that reports show and the row lacks is entered after this time.
   Before, the reports may show what an unload has just removed.  */
#define UNLISTED_NS (10 * KWF_NS_PER_S)

static bool
may_act (const ledger_t *ledger)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  return callbacks->may_act (callbacks->data);
}

static ledger_process_state_t
process_of (const ledger_t *ledger, const ledger_order_t *order)
{
  const ledger_callbacks_t *callbacks = &ledger->options.callbacks;
  return callbacks->process (callbacks->data, order->holder,
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
          if (!order->late || is_own (ledger, order)
              || process_of (ledger, order) != LEDGER_PROCESS_ENDED)
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

/* Whether no copy of ORDER can arrive any more.  */
static bool
is_settled (const ledger_t *ledger, const ledger_order_t *order)
{
  if (is_own (ledger, order)
      || process_of (ledger, order) != LEDGER_PROCESS_ENDED)
    return false;
  char *name = process_name (order);
  const int64_t *since = g_hash_table_lookup (ledger->ended_processes, name);
  g_free (name);
  int64_t now_ns = ledger_now (ledger);
  int64_t settle_ns = ledger->options.settle_ns;
  return since && now_ns - *since >= settle_ns
         && now_ns - order->first_seen_ns >= settle_ns;
}

/* Change the orders that their holders left; NULL: nothing to change.  */
static ledger_row_t *
recover_orders (const ledger_t *ledger, const ledger_engine_t *engine,
                kwf_effects_t *effects)
{
  ledger_row_t *next = NULL;
  for (guint i = 0; i < engine->row->orders->len; i++)
    {
      const ledger_order_t *order = engine->row->orders->pdata[i];
      bool own = is_own (ledger, order);
      bool unsent = own && !order->late;
      bool left = ledger->active && !own && !order->late
                  && process_of (ledger, order) != LEDGER_PROCESS_ALIVE;
      bool settled
          = ledger->active && order->late && is_settled (ledger, order);
      if (!unsent && !left && !settled)
        continue;
      if (!next)
        next = ledger_row_copy (engine->row);
      if (settled)
        ledger_row_drop_late_order (next, order->id);
      else
        ledger_row_finish_order (next, order->id,
                                 unsent ? ORDER_NEVER_SENT : ORDER_UNANSWERED,
                                 false);
      if (left)
        kwf_effects_log (effects, 354, KWF_LOG_WARNING, NULL,
                         "order %s to %s is late: the lease of %s is over",
                         order->id, engine->id, order->holder);
    }
  return next;
}

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
      int64_t since_ns = report->other_ns
                             ? report->other_ns - ledger->options.report_lag_ns
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
      ledger_item_t what = { parts[0], parts[1], "" };
      if (!ledger_row_find_entry (engine->row, &what))
        {
          if (!next)
            next = ledger_row_copy (engine->row);
          ledger_row_add_unlisted (next, &what,
                                   callbacks->size (callbacks->data, &what));
          kwf_effects_log (effects, 356, KWF_LOG_WARNING, NULL,
                           "engine %s has model %s, which the ledger lacks",
                           engine->id, what.model);
        }
      g_strfreev (parts);
    }
  return next;
}

static bool
has_open_order (const ledger_row_t *row, const ledger_item_t *what)
{
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      if (!order->late && ledger_item_equal (&order->what, what))
        return true;
    }
  return false;
}

static bool
model_is_resident (const ledger_row_t *row, const ledger_item_t *what)
{
  ledger_item_t whole = { what->model, what->version, "" };
  const ledger_entry_t *entry = ledger_row_find_entry (row, &whole);
  return entry && entry->state == LEDGER_ENTRY_RESIDENT;
}

/* Whether another row counts a copy of WHAT.  */
static bool
is_elsewhere (const ledger_t *ledger, const ledger_engine_t *engine,
              const ledger_item_t *what)
{
  for (guint i = 0; i < ledger->engines->len; i++)
    {
      const ledger_engine_t *other = ledger->engines->pdata[i];
      if (other != engine && other->row
          && ledger_row_has_stable_copy (other->row, what))
        return true;
    }
  return false;
}

/* Send the order again for ENTRY; false: it has to wait.  A load never
   follows an unload that may still run: the engine would hold the model
   twice.  */
static bool
settle_entry (ledger_t *ledger, ledger_engine_t *engine,
              const ledger_entry_t *entry, kwf_effects_t *effects)
{
  const ledger_item_t *what = &entry->what;
  const ledger_row_t *row = engine->row;
  bool excess = ledger_row_reserved_mb (row) > row->total_mb;
  if (entry->state == LEDGER_ENTRY_UNLOADING
      || ledger_row_has_order (row, ORDER_UNLOAD, what))
    {
      const ledger_engine_t *pair;
      /* When the engine that had the other copy was restarted, this one is
         left in place.  When the report does not show it either, it may be
         gone already, and only an answer makes that certain.  */
      if (!ledger_check_unload (ledger, engine, what, &pair) && !excess
          && (is_elsewhere (ledger, engine, what)
              || ledger_report_lists (&engine->report, what)))
        return false;
      ledger_start_order (ledger, engine, ORDER_UNLOAD, what, entry->mb, pair,
                          effects);
      return true;
    }
  if (excess || (*what->adapter && !model_is_resident (row, what)))
    return false;
  ledger_start_order (ledger, engine, ORDER_LOAD, what, entry->mb, NULL,
                      effects);
  return true;
}

/* Send the order again for one entry that no order under way will
   settle.  */
static void
settle_entries (ledger_t *ledger, ledger_engine_t *engine,
                kwf_effects_t *effects)
{
  const ledger_row_t *row = engine->row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      if (entry->state != LEDGER_ENTRY_RESIDENT
          && !has_open_order (row, &entry->what)
          && settle_entry (ledger, engine, entry, effects))
        return;
    }
}

void
ledger_recover (ledger_t *ledger, ledger_engine_t *engine,
                kwf_effects_t *effects)
{
  if (engine->op || engine->own_order.phase != LEDGER_PHASE_NONE)
    return;
  /* Without orders only the decider has something to do.  */
  if (!ledger->active && (!engine->row || !engine->row->orders->len))
    return;
  if (ledger_now (ledger) < engine->not_before_ns || !may_act (ledger))
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
    settle_entries (ledger, engine, effects);
}
