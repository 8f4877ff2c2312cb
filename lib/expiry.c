#include "expiry.h"

#include <glib.h>

#define ROWS_MAX 65536

/* Pause between two deletions.  */
#define DELETE_PAUSE_NS (100 * KWF_NS_PER_MS)

#define TIMEOUT_NS (1500 * KWF_NS_PER_MS)

typedef struct
{
  char *key;
  int64_t version;
  int64_t written_ns;
} pending_row_t;

struct expiry
{
  GQueue *rows; /* of pending_row_t, oldest first */
  bool full;
  int64_t next_ns;
};

static void
free_row (void *data)
{
  pending_row_t *row = data;
  g_free (row->key);
  g_free (row);
}

expiry_t *
expiry_new (void)
{
  expiry_t *expiry = g_new0 (expiry_t, 1);
  expiry->rows = g_queue_new ();
  return expiry;
}

void
expiry_free (expiry_t *expiry)
{
  if (!expiry)
    return;
  g_queue_free_full (expiry->rows, free_row);
  g_free (expiry);
}

void
expiry_add (expiry_t *expiry, const char *key, int64_t version, int64_t now_ns,
            kwf_effects_t *effects)
{
  if (g_queue_get_length (expiry->rows) >= ROWS_MAX)
    {
      if (!expiry->full)
        kwf_effects_log (effects, 183, KWF_LOG_WARNING, NULL,
                         "more than %d claims are remembered for removal; "
                         "the oldest rows stay in the table",
                         ROWS_MAX);
      expiry->full = true;
      free_row (g_queue_pop_head (expiry->rows));
    }
  pending_row_t *row = g_new (pending_row_t, 1);
  *row = (pending_row_t){ g_strdup (key), version, now_ns };
  g_queue_push_tail (expiry->rows, row);
}

bool
expiry_run (expiry_t *expiry, kwf_handle_t op, int64_t now_ns,
            kwf_effects_t *effects)
{
  if (now_ns < expiry_next_tick_ns (expiry))
    return false;
  pending_row_t *row = g_queue_pop_head (expiry->rows);
  expiry->next_ns = now_ns + DELETE_PAUSE_NS;
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  char *key = kwf_effects_strdup (effects, row->key);
  *condition = (kwf_condition_t){ key, row->version };
  *put = (kwf_put_t){ .key = key };
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = op;
  effect->store.timeout_ns = TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){
    .conditions = condition, .n_conditions = 1, .puts = put, .n_puts = 1
  };
  free_row (row);
  return true;
}

int64_t
expiry_next_tick_ns (const expiry_t *expiry)
{
  const pending_row_t *row = g_queue_peek_head (expiry->rows);
  if (!row)
    return INT64_MAX;
  return MAX (row->written_ns + EXPIRY_NS, expiry->next_ns);
}
