#include "load-budget.h"

#include <math.h>
#include <string.h>

struct load_budget
{
  kwf_placement_options_t options;
  const kwf_clock_t *clock;
  char *instance;
  uint64_t incarnation;
  GArray *start_times; /* int64_t start times of the model loads in the last
                          period */
  GHashTable *counted_orders; /* ids of orders of other instances */
  int n_loading;
  int n_adapters_loading;
};

load_budget_t *
load_budget_new (const kwf_core_options_t *options)
{
  load_budget_t *budget = g_new0 (load_budget_t, 1);
  budget->options = options->placement;
  budget->clock = options->clock;
  budget->instance = g_strdup (options->instance);
  budget->incarnation = options->incarnation;
  budget->start_times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  budget->counted_orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return budget;
}

void
load_budget_free (load_budget_t *budget)
{
  if (!budget)
    return;
  g_array_free (budget->start_times, TRUE);
  g_hash_table_unref (budget->counted_orders);
  g_free (budget->instance);
  g_free (budget);
}

/* Length of the period in which load starts are counted; the rate allows at
   least one start in it.  */
static int64_t
period_ns (const load_budget_t *budget)
{
  double seconds = fmax (1, 1 / budget->options.loads_per_s);
  return (int64_t)(seconds * (double)KWF_NS_PER_S);
}

static void
add_start (load_budget_t *budget)
{
  int64_t now_ns = kwf_now_ns (budget->clock);
  g_array_append_val (budget->start_times, now_ns);
}

/* Count the load orders of other instances; this instance's own are counted by
   load_budget_count_load.  */
static void
count_orders (load_budget_t *budget, const ledger_row_t *row,
              GHashTable *counted_orders)
{
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      bool own = order->holder_incarnation == budget->incarnation
                 && strcmp (order->holder, budget->instance) == 0;
      if (own || order->kind != ORDER_LOAD || *order->item.adapter)
        continue;
      if (!g_hash_table_contains (budget->counted_orders, order->id))
        add_start (budget);
      g_hash_table_add (counted_orders, g_strdup (order->id));
    }
}

static void
count_loading (load_budget_t *budget, const ledger_item_t *item)
{
  if (*item->adapter)
    budget->n_adapters_loading++;
  else
    budget->n_loading++;
}

void
load_budget_update (load_budget_t *budget, const ledger_t *ledger)
{
  int64_t since_ns = kwf_now_ns (budget->clock) - period_ns (budget);
  GHashTable *counted_orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  budget->n_loading = 0;
  budget->n_adapters_loading = 0;
  for (size_t i = 0; i < ledger_n_servers (ledger); i++)
    {
      ledger_server_t server = ledger_server_at (ledger, i);
      /* The loads of a failed engine use no budget.  */
      if (!server.responding)
        continue;
      count_orders (budget, server.row, counted_orders);
      for (guint k = 0; k < server.row->entries->len; k++)
        {
          const ledger_entry_t *entry = server.row->entries->pdata[k];
          if (entry->state == LEDGER_ENTRY_LOADING)
            count_loading (budget, &entry->item);
        }
      if (server.reserving
          && !ledger_row_find_entry (server.row, server.reserving))
        count_loading (budget, server.reserving);
    }
  g_hash_table_unref (budget->counted_orders);
  budget->counted_orders = counted_orders;
  for (guint i = budget->start_times->len; i-- > 0;)
    if (g_array_index (budget->start_times, int64_t, i) <= since_ns)
      g_array_remove_index_fast (budget->start_times, i);
}

bool
load_budget_allows (const load_budget_t *budget, bool adapter)
{
  const kwf_placement_options_t *options = &budget->options;
  if (adapter)
    return budget->n_adapters_loading < options->adapter_loads_at_once;
  double most = options->loads_per_s * (double)period_ns (budget)
                / (double)KWF_NS_PER_S;
  return budget->n_loading < options->loads_at_once
         && budget->start_times->len < fmax (1, floor (most + 1e-9));
}

void
load_budget_count_load (load_budget_t *budget, bool adapter)
{
  if (adapter)
    budget->n_adapters_loading++;
  else
    {
      budget->n_loading++;
      add_start (budget);
    }
}

int
load_budget_n_loading (const load_budget_t *budget, bool adapter)
{
  return adapter ? budget->n_adapters_loading : budget->n_loading;
}
