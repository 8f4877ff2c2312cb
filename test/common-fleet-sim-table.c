/* The table of the simulated fleet.  */

#include <stdio.h>
#include <string.h>

#include "common-fleet-sim.h"

static const kwf_row_t *
find_row (const fleet_sim_t *sim, const char *key)
{
  return g_hash_table_lookup (sim->table, key);
}

const kwf_row_t *
fleet_sim_get_row (const fleet_sim_t *sim, const char *key)
{
  return find_row (sim, key);
}

/* For FLEET_SIM_NO_EPOCH_WAIT: returns VALUE with an "epoch_left" that says
   that every epoch has been left.  */
static const char *
falsify_epoch_left (fleet_sim_t *sim, const char *key, const char *value)
{
  const char *field = value ? strstr (value, "\"epoch_left\":") : NULL;
  if (sim->without != FLEET_SIM_NO_EPOCH_WAIT || !field
      || !g_str_has_prefix (key, "session/"))
    return value;
  const char *end = strchr (field, ',');
  char *text = g_strdup_printf ("%.*s\"epoch_left\":1000000%s",
                                (int)(field - value), value, end);
  char *copy = fleet_sim_strdup (sim, text);
  g_free (text);
  return copy;
}

static void
set_row (fleet_sim_t *sim, const char *key, const char *value)
{
  kwf_row_t *row = fleet_sim_alloc (sim, sizeof *row);
  *row = (kwf_row_t){ .key = fleet_sim_strdup (sim, key),
                      .version = sim->revision,
                      .value = falsify_epoch_left (
                          sim, key, fleet_sim_strdup (sim, value)) };
  g_hash_table_insert (sim->table, (char *)row->key, row);
  if (sim->committed)
    sim->committed (sim, row);
  if (sim->push)
    fleet_sim_push_row (sim, row);
}

void
fleet_sim_put_row (fleet_sim_t *sim, const char *key, const char *value)
{
  sim->revision++;
  set_row (sim, key, value);
}

static int64_t
version_of (const kwf_row_t *row)
{
  return row && row->value ? row->version : 0;
}

static bool
is_read (const kwf_txn_t *txn, const kwf_row_t *row)
{
  if (row->version <= txn->after)
    return false;
  for (size_t i = 0; i < txn->n_prefixes; i++)
    if (g_str_has_prefix (row->key, txn->prefixes[i]))
      return true;
  return false;
}

static void
read_rows (fleet_sim_t *sim, const kwf_txn_t *txn, kwf_store_reply_t *reply)
{
  GHashTableIter iter;
  void *value;
  kwf_row_t *rows
      = fleet_sim_alloc (sim, g_hash_table_size (sim->table) * sizeof *rows);
  g_hash_table_iter_init (&iter, sim->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_read (txn, value))
      rows[reply->n_rows++] = *(kwf_row_t *)value;
  reply->rows = rows;
}

kwf_store_reply_t
fleet_sim_commit (fleet_sim_t *sim, const kwf_txn_t *txn)
{
  kwf_store_reply_t reply = { .outcome = KWF_STORE_COMMITTED };
  kwf_row_t *conflicts
      = fleet_sim_alloc (sim, (txn->n_conditions + 1) * sizeof *conflicts);
  for (size_t i = 0; i < txn->n_conditions; i++)
    {
      const kwf_condition_t *condition = &txn->conditions[i];
      const kwf_row_t *row = find_row (sim, condition->key);
      if (version_of (row) == condition->version)
        continue;
      conflicts[reply.n_conflicts++]
          = row ? *row
                : (kwf_row_t){ .key = fleet_sim_strdup (sim, condition->key) };
    }
  if (reply.n_conflicts)
    reply.outcome = KWF_STORE_CONFLICT;
  else if (txn->n_puts)
    {
      sim->revision++;
      sim->writes++;
      for (size_t i = 0; i < txn->n_puts; i++)
        set_row (sim, txn->puts[i].key, txn->puts[i].value);
    }
  sim->reads++;
  reply.conflicts = conflicts;
  reply.revision = sim->revision;
  read_rows (sim, txn, &reply);
  return reply;
}
