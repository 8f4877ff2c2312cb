/* Placement on the status page and in the metrics.  */

#include "placement-state.h"

#include "placement-direct.h"
#include "metric.h"

static json_t *
entry_json (const ledger_entry_t *entry)
{
  static const char *const states[] = { "loading", "resident", "unloading" };
  return json_pack ("{s:s,s:s,s:s,s:I,s:s}", "model", entry->item.model,
                    "version", entry->item.version, "adapter",
                    entry->item.adapter, "mb", (json_int_t)entry->mb, "state",
                    states[entry->state]);
}

static json_t *
order_json (const ledger_order_t *order)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:s}", "id", order->id, "order",
                    order->kind == ORDER_LOAD ? "load" : "unload", "model",
                    order->item.model, "version", order->item.version,
                    "adapter", order->item.adapter, "holder", order->holder,
                    "state", order->unanswered ? "late" : "open");
}

static json_t *
engine_json (const ledger_server_t *server)
{
  json_t *entries = json_array ();
  json_t *orders = json_array ();
  for (guint i = 0; i < server->row->entries->len; i++)
    json_array_append_new (entries,
                           entry_json (server->row->entries->pdata[i]));
  for (guint i = 0; i < server->row->orders->len; i++)
    json_array_append_new (orders, order_json (server->row->orders->pdata[i]));
  return json_pack ("{s:s,s:I,s:I,s:o,s:o}", "server", server->id, "total_mb",
                    (json_int_t)server->row->total_mb, "reserved_mb",
                    (json_int_t)ledger_row_reserved_mb (server->row),
                    "entries", entries, "orders", orders);
}

json_t *
placement_json (const placement_t *placement)
{
  if (placement->direct)
    return json_pack ("{s:s}", "mode", "direct");
  json_t *engines = json_array ();
  for (size_t i = 0; i < ledger_n_servers (placement->ledger); i++)
    {
      ledger_server_t server = ledger_server_at (placement->ledger, i);
      if (server.row)
        json_array_append_new (engines, engine_json (&server));
    }
  return json_pack ("{s:s,s:b,s:o}", "mode",
                    placement->options.dynamic ? "dynamic" : "static",
                    "decides", (int)placement->is_leader, "engines", engines);
}

void
placement_write_metrics (const placement_t *placement, GString *out)
{
  if (placement->direct)
    {
      placement_direct_write_metrics (placement->direct, out);
      return;
    }
  const placement_counts_t *counts = &placement->counts;
  int64_t reserved_mb = 0;
  size_t orders = 0;
  for (size_t i = 0; i < ledger_n_servers (placement->ledger); i++)
    {
      ledger_server_t server = ledger_server_at (placement->ledger, i);
      if (!server.row)
        continue;
      reserved_mb += ledger_row_reserved_mb (server.row);
      orders += server.row->orders->len;
    }
  metric_write_value (out, "kwf_placement_decides", "gauge",
                      placement->is_leader);
  metric_write_value (out, "kwf_model_loads_total", "counter",
                      (double)counts->loads);
  metric_write_value (out, "kwf_adapter_loads_total", "counter",
                      (double)counts->adapter_loads);
  metric_write_value (out, "kwf_model_unloads_total", "counter",
                      (double)counts->unloads);
  metric_write_value (out, "kwf_model_moves_total", "counter",
                      (double)counts->further_loads);
  metric_write_value (out, "kwf_orders_refused_total", "counter",
                      (double)counts->error_replies);
  metric_write_value (out, "kwf_orders_open", "gauge", (double)orders);
  metric_write_value (out, "kwf_memory_reserved_mb", "gauge",
                      (double)reserved_mb);
}
