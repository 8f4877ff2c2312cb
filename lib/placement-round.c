#include "placement-round.h"

#include <string.h>

static void
add_servers (round_t *round)
{
  const placement_t *placement = round->placement;
  for (size_t i = 0; i < ledger_n_servers (placement->ledger); i++)
    {
      ledger_server_t info = ledger_server_at (placement->ledger, i);
      const server_t *known
          = backend_find (placement->sources.backend, info.id);
      if (!info.responding || info.leaving || !known)
        continue;
      round_server_t server = { .info = info,
                                .busy = info.busy,
                                .free_mb = info.row->total_mb
                                           - ledger_row_reserved_mb (info.row),
                                .requests = known->running + known->waiting };
      g_array_append_val (round->servers, server);
    }
}

static void
add_models (round_t *round, const kwf_lists_t *lists)
{
  const demand_t *demand = round->placement->sources.demand;
  size_t n = kwf_lists_n_models (lists);
  for (size_t i = 0; i < n; i++)
    {
      const kwf_model_t *model = kwf_lists_model_at (lists, i);
      round_model_t target
          = { .model = model,
              .mb = placement_model_size_mb (model),
              .item = { (char *)model->name,
                        (char *)placement_model_version (model), "" },
              .wait = demand_waiting (demand, model->name, NULL),
              .rate = demand_rate (demand, model->name, NULL) };
      g_array_append_val (round->models, target);
    }
  for (guint i = 0; i < round->models->len; i++)
    g_hash_table_insert (round->by_name,
                         (gpointer)ROUND_MODEL (round, i)->model->name,
                         ROUND_MODEL (round, i));
}

bool
round_entry_is_model (const ledger_entry_t *entry)
{
  return !*entry->item.adapter;
}

static void
count_copies (round_t *round, const round_server_t *server)
{
  const ledger_row_t *row = server->info.row;
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      round_model_t *target
          = g_hash_table_lookup (round->by_name, entry->item.model);
      if (!target || !round_entry_is_model (entry))
        continue;
      bool listed = ledger_item_equal (&entry->item, &target->item);
      if (listed && entry->state == LEDGER_ENTRY_LOADING)
        target->n_loading++;
      else if (ledger_row_has_stable_copy (row, &entry->item))
        *(listed ? &target->n_resident : &target->n_other_versions) += 1;
    }
  const ledger_item_t *reserving = server->info.reserving;
  round_model_t *target
      = reserving ? g_hash_table_lookup (round->by_name, reserving->model)
                  : NULL;
  if (target && ledger_item_equal (reserving, &target->item)
      && !ledger_row_find_entry (row, reserving))
    target->n_loading++;
}

/* The model of ENTRY if ENTRY is a resident copy of the listed version, else
   NULL.  */
static round_model_t *
served_model (const round_t *round, const ledger_entry_t *entry)
{
  round_model_t *target
      = g_hash_table_lookup (round->by_name, entry->item.model);
  return target && target->n_resident && entry->state == LEDGER_ENTRY_RESIDENT
                 && ledger_item_equal (&entry->item, &target->item)
             ? target
             : NULL;
}

/* Divide the rate of each model evenly among its copies, and the requests of
   each server among its models in proportion to their rates.  */
static void
divide_load (round_t *round)
{
  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < round->servers->len; i++)
      {
        round_server_t *server = ROUND_SERVER (round, i);
        const GPtrArray *entries = server->info.row->entries;
        for (guint k = 0; k < entries->len; k++)
          {
            round_model_t *target = served_model (round, entries->pdata[k]);
            if (!target)
              continue;
            double rate = target->rate / target->n_resident;
            if (pass == 0)
              server->rate += rate;
            else if (server->rate > 0)
              target->copy_load += server->requests * rate / server->rate
                                   / target->n_resident;
          }
      }
}

void
round_begin (round_t *round, placement_t *placement, const kwf_lists_t *lists,
             kwf_effects_t *effects)
{
  *round
      = (round_t){ .placement = placement,
                   .effects = effects,
                   .now_ns = kwf_now_ns (placement->clock),
                   .servers
                   = g_array_new (FALSE, TRUE, sizeof (round_server_t)),
                   .models = g_array_new (FALSE, TRUE, sizeof (round_model_t)),
                   .by_name = g_hash_table_new (g_str_hash, g_str_equal) };
  load_budget_update (placement->load_budget, placement->ledger);
  add_servers (round);
  add_models (round, lists);
  for (guint i = 0; i < round->servers->len; i++)
    count_copies (round, ROUND_SERVER (round, i));
  divide_load (round);
}

void
round_end (round_t *round)
{
  g_hash_table_unref (round->by_name);
  g_array_free (round->models, TRUE);
  g_array_free (round->servers, TRUE);
}
