#include "load-budget.h"

#include <math.h>
#include <string.h>

struct weights
{
  kwf_placement_options_t options;
  const kwf_clock_t *clock;
  char *instance;
  uint64_t incarnation;
  GArray *starts;    /* int64_t, of loads of models in the last period */
  GHashTable *known; /* ids of orders of others that were counted */
  int loading;
  int adapters_loading;
};

load_budget_t *
load_budget_new (const kwf_core_options_t *options)
{
  load_budget_t *weights = g_new0 (load_budget_t, 1);
  weights->options = options->placement;
  weights->clock = options->clock;
  weights->instance = g_strdup (options->instance);
  weights->incarnation = options->incarnation;
  weights->starts = g_array_new (FALSE, FALSE, sizeof (int64_t));
  weights->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return weights;
}

void
load_budget_free (load_budget_t *weights)
{
  if (!weights)
    return;
  g_array_free (weights->starts, TRUE);
  g_hash_table_unref (weights->known);
  g_free (weights->instance);
  g_free (weights);
}

/* The time over which starts are counted: at least one fits into it.  */
static int64_t
period_ns (const load_budget_t *weights)
{
  double seconds = fmax (1, 1 / weights->options.loads_per_s);
  return (int64_t)(seconds * (double)KWF_NS_PER_S);
}

static void
add_start (load_budget_t *weights)
{
  int64_t now_ns = kwf_now_ns (weights->clock);
  g_array_append_val (weights->starts, now_ns);
}

/* The orders of other deciders; the own ones are counted when begun.  */
static void
count_orders (load_budget_t *weights, const ledger_row_t *row,
              GHashTable *known)
{
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      bool own = order->holder_incarnation == weights->incarnation
                 && strcmp (order->holder, weights->instance) == 0;
      if (own || order->kind != ORDER_LOAD || *order->what.adapter)
        continue;
      if (!g_hash_table_contains (weights->known, order->id))
        add_start (weights);
      g_hash_table_add (known, g_strdup (order->id));
    }
}

static void
count_loading (load_budget_t *weights, const ledger_item_t *what)
{
  if (*what->adapter)
    weights->adapters_loading++;
  else
    weights->loading++;
}

void
load_budget_update (load_budget_t *weights, const ledger_t *ledger)
{
  int64_t since_ns = kwf_now_ns (weights->clock) - period_ns (weights);
  GHashTable *known
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  weights->loading = 0;
  weights->adapters_loading = 0;
  for (size_t i = 0; i < ledger_n_servers (ledger); i++)
    {
      ledger_server_t server = ledger_server_at (ledger, i);
      /* What an engine that is gone was loading uses no budget.  */
      if (!server.responding)
        continue;
      count_orders (weights, server.row, known);
      for (guint k = 0; k < server.row->entries->len; k++)
        {
          const ledger_entry_t *entry = server.row->entries->pdata[k];
          if (entry->state == LEDGER_ENTRY_LOADING)
            count_loading (weights, &entry->what);
        }
      if (server.reserving
          && !ledger_row_find_entry (server.row, server.reserving))
        count_loading (weights, server.reserving);
    }
  g_hash_table_unref (weights->known);
  weights->known = known;
  for (guint i = weights->starts->len; i-- > 0;)
    if (g_array_index (weights->starts, int64_t, i) <= since_ns)
      g_array_remove_index_fast (weights->starts, i);
}

bool
load_budget_allows (const load_budget_t *weights, bool adapter)
{
  const kwf_placement_options_t *options = &weights->options;
  if (adapter)
    return weights->adapters_loading < options->adapter_loads;
  double most = options->loads_per_s * (double)period_ns (weights)
                / (double)KWF_NS_PER_S;
  return weights->loading < options->loads_at_once
         && weights->starts->len < fmax (1, floor (most + 1e-9));
}

void
load_budget_count_load (load_budget_t *weights, bool adapter)
{
  if (adapter)
    weights->adapters_loading++;
  else
    {
      weights->loading++;
      add_start (weights);
    }
}

int
load_budget_n_loading (const load_budget_t *weights, bool adapter)
{
  return adapter ? weights->adapters_loading : weights->loading;
}
