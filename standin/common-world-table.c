/* A fake of the platform's table: conditions, writes and reads at one
   revision.  */

#include "common-world.h"

#include <string.h>

typedef struct
{
  int64_t version;
  char *value; /* NULL: deleted */
} cell_t;

typedef struct
{
  world_node_t *node;
  uint64_t incarnation;
  kwf_event_t event;
} answer_t;

static void
cell_free (gpointer data)
{
  cell_t *cell = data;
  g_free (cell->value);
  g_free (cell);
}

void
world_table_init (world_table_t *table)
{
  table->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, cell_free);
  table->delay_ns = 2 * MS;
}

void
world_table_free (world_table_t *table)
{
  g_hash_table_unref (table->rows);
}

static int64_t
version_of (const world_table_t *table, const char *key)
{
  const cell_t *cell = g_hash_table_lookup (table->rows, key);
  return cell && cell->value ? cell->version : 0;
}

static void
put (world_table_t *table, const kwf_put_t *request)
{
  cell_t *cell = g_new0 (cell_t, 1);
  cell->version = table->revision;
  cell->value = g_strdup (request->value);
  g_hash_table_replace (table->rows, g_strdup (request->key), cell);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static kwf_row_t
row_of (world_t *world, const char *key)
{
  const cell_t *cell = g_hash_table_lookup (world->table.rows, key);
  return (kwf_row_t){ .key = world_scratch_text (world, key),
                      .version = cell ? cell->version : 0,
                      .value = cell ? world_scratch_text (world, cell->value)
                                    : NULL };
}

static void
read_rows (world_t *world, const kwf_txn_t *txn, kwf_store_reply_t *reply)
{
  guint n;
  gpointer *keys = g_hash_table_get_keys_as_array (world->table.rows, &n);
  qsort (keys, n, sizeof *keys, compare_keys);
  kwf_row_t *rows = world_scratch (world, (n + 1) * sizeof *rows);
  for (guint i = 0; i < n; i++)
    {
      bool wanted = false;
      for (size_t k = 0; k < txn->n_prefixes; k++)
        wanted = wanted || g_str_has_prefix (keys[i], txn->prefixes[k]);
      const cell_t *cell = g_hash_table_lookup (world->table.rows, keys[i]);
      if (wanted && cell->version > txn->after)
        rows[reply->n_rows++] = row_of (world, keys[i]);
    }
  reply->rows = rows;
  g_free (keys);
}

static void
deliver (world_t *world, void *data)
{
  (void)world;
  answer_t *answer = data;
  if (answer->node->up && answer->node->incarnation == answer->incarnation)
    world_node_step (answer->node, &answer->event);
}

static bool
is_blocked (const world_table_t *table, const kwf_txn_t *txn)
{
  for (size_t i = 0; table->block && i < txn->n_puts; i++)
    if (g_str_has_prefix (txn->puts[i].key, table->block))
      return true;
  return false;
}

static void
apply (world_t *world, const kwf_txn_t *txn, kwf_store_reply_t *reply)
{
  world_table_t *table = &world->table;
  kwf_row_t *conflicts
      = world_scratch (world, (txn->n_conditions + 1) * sizeof *conflicts);
  for (size_t i = 0; i < txn->n_conditions; i++)
    if (version_of (table, txn->conditions[i].key)
        != txn->conditions[i].version)
      conflicts[reply->n_conflicts++] = row_of (world, txn->conditions[i].key);
  reply->conflicts = conflicts;
  reply->outcome
      = reply->n_conflicts ? KWF_STORE_CONFLICT : KWF_STORE_COMMITTED;
  if (!reply->n_conflicts && txn->n_puts)
    {
      table->revision++;
      for (size_t i = 0; i < txn->n_puts; i++)
        put (table, &txn->puts[i]);
    }
  if (world->verbose)
    for (size_t i = 0; i < txn->n_puts; i++)
      g_print ("%8.3f %s %s = %s\n",
               (double)(world->now_ns - 100 * KWF_NS_PER_S) / 1e9,
               reply->n_conflicts ? "conflict" : "put", txn->puts[i].key,
               txn->puts[i].value);
  reply->revision = table->revision;
  read_rows (world, txn, reply);
}

void
world_table_call (world_node_t *node, kwf_handle_t op, int64_t timeout_ns,
                  const kwf_txn_t *txn)
{
  world_t *world = node->world;
  world_table_t *table = &world->table;
  answer_t *answer = world_scratch (world, sizeof *answer);
  answer->node = node;
  answer->incarnation = node->incarnation;
  answer->event.type = KWF_EV_STORE_REPLY;
  answer->event.store.op = op;
  kwf_store_reply_t *reply = &answer->event.store.reply;
  table->n_transactions++;
  int64_t delay_ns = table->delay_ns;
  if (table->outage)
    {
      reply->outcome = KWF_STORE_UNKNOWN;
      delay_ns = timeout_ns;
    }
  else if (is_blocked (table, txn))
    reply->outcome = KWF_STORE_FAILED;
  else
    {
      apply (world, txn, reply);
      if (table->lose_answers > 0 && txn->n_puts)
        {
          table->lose_answers--;
          *reply = (kwf_store_reply_t){ .outcome = KWF_STORE_UNKNOWN };
          delay_ns = timeout_ns;
        }
    }
  delay_ns += (int64_t)world_random (world, (uint64_t)world->jitter_ns + 1);
  world_at (world, world->now_ns + delay_ns, deliver, answer);
}
