/* The state of the ledger as the placement policy reads it.  */

#include "ledger-state.h"

/* An engine that was removed from the membership list is not probed any more,
   so its last report may still be a valid one.  It counts as failed this long
   after that report.  */
#define RESPONDING_NS (5 * KWF_NS_PER_S)

size_t
ledger_n_servers (const ledger_t *ledger)
{
  return ledger->engines->len;
}

ledger_server_t
ledger_server_at (const ledger_t *ledger, size_t i)
{
  const ledger_engine_t *engine = ledger->engines->pdata[i];
  const ledger_report_t *report = &engine->report;
  const ledger_own_order_t *own_order = &engine->own_order;
  bool reserving = own_order->phase == LEDGER_PHASE_RESERVING
                   && own_order->kind == ORDER_LOAD;
  return (ledger_server_t){
    .id = engine->id,
    .row = engine->row,
    .responding = engine->row && report->responding
                  && ledger_now (ledger) - report->at_ns < RESPONDING_NS
                  && report->event.incarnation == engine->row->incarnation,
    .fencing = report->event.fencing,
    .leaving = report->event.leaving,
    .busy = engine->op || own_order->phase != LEDGER_PHASE_NONE
            || ledger_now (ledger) < engine->not_before_ns,
    .reserving = reserving ? &own_order->item : NULL,
  };
}

bool
ledger_can_unload (const ledger_t *ledger, const char *server,
                   const ledger_item_t *item)
{
  const ledger_engine_t *engine = ledger_find_engine (ledger, server);
  const ledger_engine_t *remaining;
  const ledger_entry_t *entry = engine && engine->row
                                    ? ledger_row_find_entry (engine->row, item)
                                    : NULL;
  return entry && entry->state == LEDGER_ENTRY_RESIDENT
         && ledger_check_unload (ledger, engine, item, &remaining);
}

bool
ledger_is_idle (const ledger_t *ledger)
{
  for (guint i = 0; i < ledger->engines->len; i++)
    {
      const ledger_engine_t *engine = ledger->engines->pdata[i];
      if (engine->op || engine->own_order.phase != LEDGER_PHASE_NONE)
        return false;
    }
  return true;
}
