/* The rows crash/FINGERPRINT and trial/SERVER: writes of this instance, rows
   that others wrote, and replies of the table.  */

#include "crashstate.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "op.h"

#define STORE_TIMEOUT_NS (2 * KWF_NS_PER_S)

/* Rows.  */

static char *
crash_key (const crash_t *crash, kwf_effects_t *effects, uint64_t fingerprint)
{
  return kwf_effects_printf (effects, "%s%016" PRIx64,
                             crash->trials ? "crash/" : CRASH_EVIDENCE_PREFIX,
                             fingerprint);
}

static int64_t
ms_until (const crash_t *crash, int64_t time_ns)
{
  return (time_ns - crash_now (crash)) / KWF_NS_PER_MS;
}

char *
crash_row_text (const crash_t *crash, const crash_entry_t *entry,
                const char *state, int64_t until_ns)
{
  crashrow_t row = { .state = state,
                     .n_lost = MIN (entry->n_lost, CRASHROW_MAX_LOST),
                     .n_proofs = entry->n_proofs,
                     .finished = entry->finished,
                     .for_ms = ms_until (crash, until_ns) };
  memcpy (row.lost, entry->lost, sizeof row.lost);
  memcpy (row.moment_of, entry->moment_of, sizeof row.moment_of);
  if (strcmp (state, "trial") == 0)
    {
      row.holder = crash->instance;
      row.server = entry->server;
      row.incarnation = entry->incarnation;
    }
  if (entry->proven)
    row.server = entry->server ? entry->server : entry->lost[0].server;
  return crashrow_write (&row);
}

void
crash_send_write (crash_t *crash, crash_write_t *write, kwf_effects_t *effects)
{
  kwf_condition_t *conditions
      = kwf_effects_alloc (effects, 2 * sizeof *conditions);
  kwf_put_t *puts = kwf_effects_alloc (effects, 2 * sizeof *puts);
  size_t n = 1;
  char *key = crash_key (crash, effects, write->fingerprint);
  conditions[0] = (kwf_condition_t){ key, write->version };
  puts[0] = (kwf_put_t){ key, kwf_effects_strdup (effects, write->value) };
  if (write->trial_server)
    {
      n = 2;
      char *trial_key
          = kwf_effects_printf (effects, "trial/%s", write->trial_server);
      conditions[1] = (kwf_condition_t){ trial_key, write->trial_version };
      char *trial_text = NULL;
      if (write->is_trial_request)
        {
          const crash_entry_t *entry = crash_find (crash, write->fingerprint);
          char *json
              = trialrow_write (write->fingerprint, crash->instance,
                                ms_until (crash, entry->trial_until_ns));
          trial_text = kwf_effects_strdup (effects, json);
          free (json);
        }
      puts[1] = (kwf_put_t){ trial_key, trial_text };
    }
  write->op = op_handle (OP_CRASH, ++crash->next_op);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = write->op;
  effect->store.timeout_ns = STORE_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){
    .conditions = conditions, .n_conditions = n, .puts = puts, .n_puts = n
  };
  write->tries++;
  g_hash_table_insert (crash->writes, &write->op, write);
}

void
crash_write_row (crash_t *crash, crash_entry_t *entry, char *value,
                 kwf_effects_t *effects)
{
  crash_write_t *write = g_new0 (crash_write_t, 1);
  write->fingerprint = entry->fingerprint;
  write->version = entry->version;
  write->value = value;
  write->kept = (crash_kept_t){ .n_lost = entry->n_lost,
                                .n_proofs = entry->n_proofs,
                                .is_held = entry->state == CRASH_QUARANTINED,
                                .finished = entry->finished };
  if (entry->owns_trial_row)
    {
      write->trial_server = g_strdup (entry->server);
      write->trial_version = entry->trial_version;
      g_hash_table_remove (crash->locks, entry->server);
    }
  entry->owns_trial_row = false;
  crash_send_write (crash, write, effects);
}

/* Rows that other instances wrote.  */

typedef struct
{
  crash_t *crash;
  uint64_t fingerprint;
  int64_t version;
  kwf_effects_t *effects;
} row_context_t;

static void
merge_losses (const crash_t *crash, crash_entry_t *entry,
              const crashrow_t *row)
{
  for (int i = 0; i < row->n_lost && entry->n_lost < crash->limit; i++)
    if (!crash_has_loss (entry, row->lost[i].server, row->lost[i].incarnation))
      entry->lost[entry->n_lost++]
          = (crash_loss_t){ g_strdup (row->lost[i].server),
                            row->lost[i].incarnation };
}

/* The row crash/FINGERPRINT says that this instance runs a trial, but it does
   not: the reply to its transaction was lost, or the row is from before a
   restart.  Release the row trial/SERVER.  */
static void
release_stale_trial (crash_t *crash, crash_entry_t *entry, const char *server,
                     kwf_effects_t *effects)
{
  g_free (entry->server);
  entry->server = g_strdup (server);
  /* crash/FINGERPRINT and trial/SERVER were written by one transaction, so
     their versions are equal.  */
  entry->trial_version = entry->version;
  entry->owns_trial_row = true;
  crash_back_to_suspect (crash, entry);
  crash_write_row (crash, entry,
                   crash_row_text (crash, entry, "suspect", entry->until_ns),
                   effects);
}

static void
apply_parsed_row (const crashrow_t *row, void *data)
{
  const row_context_t *context = data;
  crash_t *crash = context->crash;
  int64_t now_ns = crash_now (crash);
  crash_entry_t *entry = crash_find_or_add (crash, context->fingerprint);
  entry->version = context->version;
  if (entry->owns_trial_row)
    return;
  merge_losses (crash, entry, row);
  if (entry->n_lost == crash->limit && entry->state != CRASH_QUARANTINED)
    {
      bool known = strcmp (row->state, "quarantined") == 0;
      crash_quarantine (crash, entry, !known, context->effects);
    }
  if (entry->state == CRASH_QUARANTINED && row->server && !row->holder)
    crash_mark_proven (crash, entry, context->effects);
  int64_t left_ns
      = MIN (row->for_ms, CRASH_QUARANTINE_NS / KWF_NS_PER_MS) * KWF_NS_PER_MS;
  if (strcmp (row->state, "quarantined") == 0)
    {
      crash_set_expiry (
          crash, entry,
          now_ns + CLAMP (left_ns, 0, (int64_t)CRASH_QUARANTINE_NS));
      return;
    }
  if (entry->state == CRASH_QUARANTINED)
    {
      /* This instance knows of a loss that the writer did not.  */
      if (entry->seen_here)
        crash_write_row (
            crash, entry,
            crash_row_text (crash, entry, "quarantined", entry->until_ns),
            context->effects);
      return;
    }
  entry->state = CRASH_SUSPECT;
  crash_set_expiry (crash, entry, now_ns + CRASH_SUSPICION_NS);
  crash->generation++;
  if (strcmp (row->state, "trial") != 0 || !row->server)
    return;
  if (g_strcmp0 (row->holder, crash->instance) == 0)
    {
      release_stale_trial (crash, entry, row->server, context->effects);
      return;
    }
  entry->state = CRASH_TRIAL;
  g_free (entry->server);
  entry->server = g_strdup (row->server);
  entry->incarnation = row->incarnation;
  entry->trial_until_ns
      = now_ns + CLAMP (left_ns, 0, (int64_t)CRASH_SUSPICION_NS);
  crash_schedule_tick (crash, entry->trial_until_ns);
}

static void
apply_trial_row (crash_t *crash, const kwf_row_t *row)
{
  trial_lock_t *lock = crash_trial_lock (crash, row->key + strlen ("trial/"));
  if (row->version && row->version <= lock->version)
    return;
  int64_t for_ms = 0;
  bool held = row->value && trialrow_read (row->value, &for_ms);
  lock->version = row->value ? row->version : 0;
  lock->until_ns = 0;
  if (!held)
    return;
  int64_t max_ms = CRASH_SUSPICION_NS / KWF_NS_PER_MS;
  lock->until_ns
      = crash_now (crash) + CLAMP (for_ms, 0, max_ms) * KWF_NS_PER_MS;
}

void
crash_apply_row (crash_t *crash, const kwf_row_t *row, kwf_effects_t *effects)
{
  if (!crash->trials)
    {
      if (!crash_apply_part_trial (crash, row))
        crash_apply_evidence (crash, row, effects);
      return;
    }
  if (g_str_has_prefix (row->key, "trial/"))
    apply_trial_row (crash, row);
  if (!g_str_has_prefix (row->key, "crash/"))
    return;
  uint64_t fingerprint = g_ascii_strtoull (row->key + 6, NULL, 16);
  crash_entry_t *entry = crash_find (crash, fingerprint);
  if (row->value)
    {
      if (entry && row->version <= entry->version)
        return;
      row_context_t context = { crash, fingerprint, row->version, effects };
      crashrow_read (row->value, apply_parsed_row, &context);
      return;
    }
  if (!entry || (row->version && row->version <= entry->version))
    return;
  entry->version = 0;
  if (!entry->owns_trial_row && entry->state != CRASH_QUARANTINED
      && row->version)
    crash_remove (crash, entry);
}

/* Replies of the table.  */

/* The trial was granted after the fingerprint had been cleared or
   quarantined: undo it.  */
static void
release_unwanted_trial (crash_t *crash, const crash_write_t *write,
                        int64_t revision, kwf_effects_t *effects)
{
  crash_entry_t *entry = crash_find_or_add (crash, write->fingerprint);
  entry->version = revision;
  entry->trial_version = revision;
  entry->owns_trial_row = true;
  g_free (entry->server);
  entry->server = g_strdup (write->trial_server);
  if (entry->state == CRASH_QUARANTINED)
    crash_write_row (
        crash, entry,
        crash_row_text (crash, entry, "quarantined", entry->until_ns),
        effects);
  else
    crash_clear (crash, entry, effects);
}

static void
handle_trial_reply (crash_t *crash, const crash_write_t *write,
                    const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  crash_entry_t *entry = crash_find (crash, write->fingerprint);
  trial_lock_t *lock = crash_trial_lock (crash, write->trial_server);
  if (reply->outcome == KWF_STORE_COMMITTED)
    {
      lock->version = reply->revision;
      if (entry && entry->owns_trial_row)
        {
          entry->version = reply->revision;
          entry->trial_version = reply->revision;
        }
      bool granted = entry && entry->owns_trial_row;
      if (!granted)
        release_unwanted_trial (crash, write, reply->revision, effects);
      crash_add_result (crash, write->fingerprint, write->request, granted,
                        true);
      return;
    }
  /* A row that was read since the request shows who holds the lock now.  */
  if (lock->version == write->trial_version)
    lock->until_ns = 0;
  if (entry && entry->owns_trial_row)
    {
      entry->owns_trial_row = false;
      crash_back_to_suspect (crash, entry);
    }
  if (reply->outcome != KWF_STORE_CONFLICT)
    {
      crash_add_result (crash, write->fingerprint, write->request, false,
                        false);
      return;
    }
  for (size_t i = 0; i < reply->n_conflicts; i++)
    crash_apply_row (crash, &reply->conflicts[i], effects);
  crash_add_result (crash, write->fingerprint, write->request, false, true);
}

void
crash_write_again (crash_t *crash, crash_write_t *write)
{
  /* Repeating it is safe: its conditions let it take effect only once.  */
  write->next_try_ns = crash_now (crash) + CRASH_WRITE_RETRY_NS;
  crash_schedule_tick (crash, write->next_try_ns);
  g_hash_table_insert (crash->writes, &write->op, write);
}

bool
crash_handle_reply (crash_t *crash, kwf_handle_t op,
                    const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  gpointer value;
  if (!g_hash_table_steal_extended (crash->writes, &op, NULL, &value))
    return false;
  crash_write_t *write = value;
  if (write->is_trial_request)
    {
      handle_trial_reply (crash, write, reply, effects);
      crash_write_free (write);
      return true;
    }
  if (!crash->trials)
    {
      crash_evidence_written (crash, write, reply, effects);
      return true;
    }
  crash_entry_t *entry = crash_find (crash, write->fingerprint);
  if (reply->outcome == KWF_STORE_COMMITTED && entry
      && entry->version == write->version)
    entry->version = write->value ? reply->revision : 0;
  if (reply->outcome == KWF_STORE_CONFLICT)
    for (size_t i = 0; i < reply->n_conflicts; i++)
      crash_apply_row (crash, &reply->conflicts[i], effects);
  bool again = reply->outcome == KWF_STORE_FAILED
               || reply->outcome == KWF_STORE_UNKNOWN;
  if (!again || write->tries >= CRASH_WRITE_TRIES)
    {
      crash_write_free (write);
      return true;
    }
  crash_write_again (crash, write);
  return true;
}

void
crash_retry_writes (crash_t *crash, int64_t now_ns, kwf_effects_t *effects)
{
  GPtrArray *due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->writes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_write_t *write = value;
      if (!write->next_try_ns)
        continue;
      if (now_ns < write->next_try_ns)
        {
          crash_schedule_tick (crash, write->next_try_ns);
          continue;
        }
      g_ptr_array_add (due, write);
      g_hash_table_iter_steal (&iter);
    }
  for (guint i = 0; i < due->len; i++)
    {
      crash_write_t *write = g_ptr_array_index (due, i);
      write->next_try_ns = 0;
      crash_send_write (crash, write, effects);
    }
  g_ptr_array_free (due, TRUE);
}
