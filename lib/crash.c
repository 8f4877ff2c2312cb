#include "crashstate.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Tells the parts of prompts from the fingerprints of requests.  */
#define PART_BIT (UINT64_C (1) << 63)

/* Expired rows are deleted at a random time within this period, by the first
   instance that does so.  */
#define CLEANUP_SPREAD_NS (30 * KWF_NS_PER_S)

static void
entry_free (gpointer data)
{
  crash_entry_t *entry = data;
  for (int i = 0; i < entry->n_lost; i++)
    g_free (entry->lost[i].server);
  g_free (entry->server);
  g_free (entry);
}

void
crash_write_free (gpointer data)
{
  crash_write_t *write = data;
  g_free (write->trial_server);
  free (write->value);
  g_free (write);
}

void
crash_ended_run_clear (gpointer data)
{
  ended_run_t *run = data;
  g_free (run->server);
}

crash_t *
crash_new (const kwf_core_options_t *options)
{
  crash_t *crash = g_new0 (crash_t, 1);
  crash->clock = options->clock;
  crash->trials = !options->push_updates;
  crash->limit = CRASH_TRIAL_LOSSES;
  crash->random = options->random;
  crash->instance = g_strdup (options->instance);
  crash->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_free);
  crash->crashes = g_array_new (FALSE, FALSE, sizeof (crash_seen_t));
  crash->ended_runs = g_array_new (FALSE, TRUE, sizeof (ended_run_t));
  g_array_set_clear_func (crash->ended_runs, crash_ended_run_clear);
  g_queue_init (&crash->removals);
  crash->writes = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                         crash_write_free);
  crash->locks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  crash->finished = g_new0 (finished_request_t, CRASH_FINISHED_SLOTS);
  crash->results = g_array_new (FALSE, TRUE, sizeof (crash_result_t));
  crash->taken = g_array_new (FALSE, TRUE, sizeof (crash_result_t));
  crash->next_tick_ns = INT64_MAX;
  return crash;
}

void
crash_free (crash_t *crash)
{
  if (!crash)
    return;
  g_free (crash->instance);
  g_hash_table_unref (crash->entries);
  g_array_free (crash->crashes, TRUE);
  g_array_free (crash->ended_runs, TRUE);
  g_hash_table_unref (crash->writes);
  g_queue_clear_full (&crash->removals, crash_write_free);
  g_hash_table_unref (crash->locks);
  g_free (crash->finished);
  g_array_free (crash->results, TRUE);
  g_array_free (crash->taken, TRUE);
  g_free (crash->part_trial.broken.server);
  g_free (crash);
}

uint64_t
crash_fingerprint (uint64_t hash)
{
  return hash & ~PART_BIT;
}

uint64_t
crash_part (uint64_t id)
{
  return id | PART_BIT;
}

bool
crash_is_part (uint64_t feature)
{
  return feature & PART_BIT;
}

uint64_t
crash_part_id (uint64_t feature)
{
  return feature & ~PART_BIT;
}

uint64_t
crash_verdicts (const crash_t *crash)
{
  return crash->n_verdicts;
}

uint64_t
crash_generation (const crash_t *crash)
{
  return crash->generation;
}

void
crash_schedule_tick (crash_t *crash, int64_t time_ns)
{
  crash->next_tick_ns = MIN (crash->next_tick_ns, time_ns);
}

int64_t
crash_next_tick_ns (const crash_t *crash)
{
  return crash->next_tick_ns;
}

int64_t
crash_now (const crash_t *crash)
{
  return kwf_now_ns (crash->clock);
}

crash_entry_t *
crash_find (const crash_t *crash, uint64_t fingerprint)
{
  return g_hash_table_lookup (crash->entries, &fingerprint);
}

crash_entry_t *
crash_find_or_add (crash_t *crash, uint64_t fingerprint)
{
  crash_entry_t *entry = crash_find (crash, fingerprint);
  if (entry)
    return entry;
  entry = g_new0 (crash_entry_t, 1);
  entry->fingerprint = fingerprint;
  g_hash_table_insert (crash->entries, &entry->fingerprint, entry);
  return entry;
}

void
crash_set_expiry (crash_t *crash, crash_entry_t *entry, int64_t until_ns)
{
  uint64_t spread;
  crash->random->ops->fill (crash->random, &spread, sizeof spread);
  entry->until_ns = until_ns;
  entry->cleanup_ns = until_ns + (int64_t)(spread % CLEANUP_SPREAD_NS);
  crash_schedule_tick (crash, until_ns);
}

static bool
is_same_loss (const crash_loss_t *loss, const char *server,
              uint64_t incarnation)
{
  return strcmp (loss->server, server) == 0
         && (loss->incarnation == incarnation || !loss->incarnation
             || !incarnation);
}

bool
crash_has_loss (const crash_entry_t *entry, const char *server,
                uint64_t incarnation)
{
  for (int i = 0; i < entry->n_lost; i++)
    if (is_same_loss (&entry->lost[i], server, incarnation))
      return true;
  return false;
}

const char *
crash_lost_server (const crash_t *crash, uint64_t fingerprint, int i)
{
  const crash_entry_t *entry = crash_find (crash, fingerprint);
  return entry && i < entry->n_lost ? entry->lost[i].server : NULL;
}

bool
crash_is_loss_explained (const crash_t *crash, uint64_t fingerprint,
                         const char *server, uint64_t incarnation,
                         bool unfinished)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const crash_entry_t *entry = value;
      bool explains
          = unfinished ? entry->state == CRASH_QUARANTINED && !entry->finished
                       : entry->proven;
      if (explains && entry->fingerprint != fingerprint
          && crash_has_loss (entry, server, incarnation))
        return true;
    }
  return false;
}

void
crash_remove (crash_t *crash, const crash_entry_t *entry)
{
  uint64_t fingerprint = entry->fingerprint;
  /* Without trials, a suspect stands against no request.  */
  if (crash->trials || entry->state == CRASH_QUARANTINED)
    crash->generation++;
  g_hash_table_remove (crash->entries, &fingerprint);
}

void
crash_clear (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  if (!crash->trials)
    crash_remove_evidence (crash, entry);
  else if (entry->version || entry->owns_trial_row)
    crash_write_row (crash, entry, NULL, effects);
  crash_remove (crash, entry);
}

static bool
are_losses_explained (const crash_t *crash, const crash_entry_t *entry,
                      bool unfinished)
{
  for (int i = 0; i < entry->n_lost; i++)
    if (!crash_is_loss_explained (crash, entry->fingerprint,
                                  entry->lost[i].server,
                                  entry->lost[i].incarnation, unfinished))
      return false;
  return true;
}

bool
crash_is_explained (const crash_t *crash, const crash_entry_t *entry)
{
  return are_losses_explained (crash, entry, false);
}

/* Whether ENTRY is quarantined only because it ran on the servers that another
   fingerprint crashed at the same time.  */
static bool
ran_beside_cause (const crash_t *crash, const crash_entry_t *entry)
{
  return entry->finished && entry->n_lost >= crash->limit
         && are_losses_explained (crash, entry, true);
}

crash_state_t
crash_state (crash_t *crash, uint64_t fingerprint)
{
  if (!crash->trials || !g_hash_table_size (crash->entries))
    return CRASH_CLEAR;
  const crash_entry_t *entry = crash_find (crash, fingerprint);
  int64_t now_ns = crash_now (crash);
  if (!entry)
    return CRASH_CLEAR;
  if (entry->state == CRASH_TRIAL && now_ns < entry->trial_until_ns)
    return CRASH_TRIAL;
  if (entry->state == CRASH_QUARANTINED)
    return now_ns < entry->until_ns && !ran_beside_cause (crash, entry)
               ? CRASH_QUARANTINED
               : CRASH_CLEAR;
  bool expired = entry->state == CRASH_SUSPECT && now_ns >= entry->until_ns;
  return expired || crash_is_explained (crash, entry) ? CRASH_CLEAR
                                                      : CRASH_SUSPECT;
}

const char *
crash_feature_name (kwf_effects_t *effects, uint64_t fingerprint)
{
  return crash_is_part (fingerprint)
             ? kwf_effects_printf (effects, "prompt part %" PRIx64,
                                   crash_part_id (fingerprint))
             : kwf_effects_printf (effects, "request fingerprint %016" PRIx64,
                                   fingerprint);
}

bool
crash_is_unproven (const crash_t *crash, uint64_t fingerprint)
{
  const crash_entry_t *entry = crash_find (crash, fingerprint);
  return entry && !entry->proven;
}

/* Clear the suspects whose losses CAUSE explains.  */
static void
clear_explained (crash_t *crash, const crash_entry_t *cause,
                 kwf_effects_t *effects)
{
  GPtrArray *cleared = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_entry_t *entry = value;
      bool explained = entry != cause && entry->state == CRASH_SUSPECT;
      for (int i = 0; i < entry->n_lost; i++)
        explained = explained
                    && crash_has_loss (cause, entry->lost[i].server,
                                       entry->lost[i].incarnation);
      if (explained)
        g_ptr_array_add (cleared, entry);
    }
  for (guint i = 0; i < cleared->len; i++)
    crash_clear (crash, g_ptr_array_index (cleared, i), effects);
  g_ptr_array_free (cleared, TRUE);
}

void
crash_mark_proven (crash_t *crash, crash_entry_t *entry,
                   kwf_effects_t *effects)
{
  if (entry->proven)
    return;
  entry->proven = true;
  crash->generation++;
  clear_explained (crash, entry, effects);
}

void
crash_quarantine (crash_t *crash, crash_entry_t *entry, bool write,
                  kwf_effects_t *effects)
{
  entry->state = CRASH_QUARANTINED;
  entry->verdict = ++crash->n_verdicts;
  entry->verdict_ns = crash_now (crash);
  entry->proven = entry->server && crash_has_loss (entry, entry->server, 0);
  crash_set_expiry (crash, entry, crash_now (crash) + CRASH_QUARANTINE_NS);
  crash->generation++;
  if (write || entry->owns_trial_row)
    crash_write_row (
        crash, entry,
        crash_row_text (crash, entry, "quarantined", entry->until_ns),
        effects);
  kwf_effects_log (effects, 302, KWF_LOG_ERROR, NULL,
                   "%s quarantined: it crashed %s and %s, servers=%d",
                   crash_feature_name (effects, entry->fingerprint),
                   entry->n_lost ? entry->lost[0].server : "?",
                   entry->n_lost > 1 ? entry->lost[1].server : "?",
                   entry->n_lost);
  if (entry->proven)
    clear_explained (crash, entry, effects);
}

/* Timed steps.  */

static void
expire_entries (crash_t *crash, int64_t now_ns, kwf_effects_t *effects)
{
  GPtrArray *ended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_entry_t *entry = value;
      if (entry->state == CRASH_TRIAL && !entry->owns_trial_row
          && now_ns >= entry->trial_until_ns)
        crash_back_to_suspect (crash, entry);
      if (entry->state != CRASH_TRIAL && now_ns >= entry->cleanup_ns)
        g_ptr_array_add (ended, entry);
      else
        crash_schedule_tick (crash, entry->state == CRASH_TRIAL
                                        ? MAX (entry->trial_until_ns,
                                               now_ns + CRASH_WRITE_RETRY_NS)
                                        : entry->cleanup_ns);
    }
  for (guint i = 0; i < ended->len; i++)
    crash_clear (crash, g_ptr_array_index (ended, i), effects);
  g_ptr_array_free (ended, TRUE);
}

bool
crash_step (crash_t *crash, const session_t *session, const kwf_event_t *event,
            const session_changes_t *changes, kwf_effects_t *effects)
{
  for (size_t i = 0; changes->fresh && i < changes->n_rows; i++)
    crash_apply_row (crash, &changes->rows[i], effects);
  int64_t now_ns = crash_now (crash);
  if (now_ns >= crash->next_tick_ns)
    {
      crash->next_tick_ns = INT64_MAX;
      crash_retry_writes (crash, now_ns, effects);
      crash_check_part_trial (crash, session, effects);
      crash_run_verdicts (crash, session, now_ns, effects);
      expire_entries (crash, now_ns, effects);
    }
  if (event->type == KWF_EV_PEER_UP && !crash->trials)
    crash_send_verdicts (crash, event->peer.instance, 0, effects);
  if (event->type == KWF_EV_STORE_REPLY)
    return crash_handle_part_trial (crash, event->store.op,
                                    &event->store.reply)
           || crash_handle_reply (crash, event->store.op, &event->store.reply,
                                  effects);
  if (event->type != KWF_EV_PEER_MESSAGE
      || event->peer.message->type != KWF_MSG_CRASH)
    return false;
  crash_handle_message (crash, session, &event->peer, effects);
  return true;
}

void
crash_counts (const crash_t *crash, size_t *suspects, size_t *quarantined)
{
  *suspects = 0;
  *quarantined = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    (*(((const crash_entry_t *)value)->state == CRASH_QUARANTINED
           ? quarantined
           : suspects))++;
}
