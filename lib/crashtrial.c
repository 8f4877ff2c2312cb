#include "crashstate.h"

#include <inttypes.h>
#include <stdlib.h>

void
crash_add_result (crash_t *crash, uint64_t fingerprint, kwf_handle_t request,
                  bool granted, bool wait)
{
  crash_result_t result = { .request = request,
                            .fingerprint = fingerprint,
                            .granted = granted,
                            .wait = wait };
  g_array_append_val (crash->results, result);
}

const crash_result_t *
crash_take_results (crash_t *crash, size_t *count)
{
  GArray *taken = crash->results;
  crash->results = crash->taken;
  crash->taken = taken;
  g_array_set_size (crash->results, 0);
  *count = taken->len;
  return (const crash_result_t *)taken->data;
}

trial_lock_t *
crash_trial_lock (crash_t *crash, const char *server)
{
  trial_lock_t *lock = g_hash_table_lookup (crash->locks, server);
  if (!lock)
    {
      lock = g_new0 (trial_lock_t, 1);
      g_hash_table_insert (crash->locks, g_strdup (server), lock);
    }
  return lock;
}

void
crash_ask_for_trial (crash_t *crash, uint64_t fingerprint, const char *server,
                     uint64_t incarnation, kwf_handle_t request,
                     int64_t until_ns, kwf_effects_t *effects)
{
  int64_t now_ns = crash_now (crash);
  crash_entry_t *entry = crash_find (crash, fingerprint);
  trial_lock_t *lock = crash_trial_lock (crash, server);
  if (!entry || crash_state (crash, fingerprint) != CRASH_SUSPECT
      || now_ns < lock->until_ns)
    {
      crash_add_result (crash, fingerprint, request, false, true);
      return;
    }
  entry->state = CRASH_TRIAL;
  entry->owns_trial_row = true;
  entry->trial_until_ns = until_ns;
  g_free (entry->server);
  entry->server = g_strdup (server);
  entry->incarnation = incarnation;
  lock->until_ns = until_ns;
  crash_schedule_tick (crash, until_ns);
  crash_write_t *write = g_new0 (crash_write_t, 1);
  write->is_trial_request = true;
  write->fingerprint = fingerprint;
  write->request = request;
  write->trial_server = g_strdup (server);
  write->version = entry->version;
  write->trial_version = lock->version;
  write->value = crash_row_text (crash, entry, "trial", until_ns);
  crash_send_write (crash, write, effects);
}

void
crash_back_to_suspect (crash_t *crash, crash_entry_t *entry)
{
  if (entry->state == CRASH_TRIAL)
    {
      entry->state = CRASH_SUSPECT;
      crash_set_expiry (crash, entry, crash_now (crash) + CRASH_SUSPICION_NS);
    }
  crash->generation++;
}

void
crash_trial_ended (crash_t *crash, uint64_t fingerprint, bool finished,
                   kwf_effects_t *effects)
{
  crash_entry_t *entry = crash_find (crash, fingerprint);
  if (!entry || !entry->owns_trial_row)
    return;
  if (finished)
    {
      kwf_effects_log (effects, 304, KWF_LOG_INFO, NULL,
                       "request fingerprint %016" PRIx64
                       " finished its trial on %s and is cleared",
                       fingerprint, entry->server);
      crash_clear (crash, entry, effects);
      return;
    }
  crash_back_to_suspect (crash, entry);
  if (crash_is_explained (crash, entry))
    {
      crash_clear (crash, entry, effects);
      return;
    }
  crash_write_row (crash, entry,
                   crash_row_text (crash, entry, "suspect", entry->until_ns),
                   effects);
}

bool
crash_has_finished (const crash_t *crash, uint64_t fingerprint)
{
  const finished_request_t *finished
      = &crash->finished[fingerprint % CRASH_FINISHED_SLOTS];
  return finished->at_ns && finished->fingerprint == fingerprint
         && crash_now (crash) - finished->at_ns < CRASH_QUARANTINE_NS;
}

void
crash_request_finished (crash_t *crash, const session_t *session,
                        uint64_t fingerprint, kwf_effects_t *effects)
{
  crash->finished[fingerprint % CRASH_FINISHED_SLOTS]
      = (finished_request_t){ fingerprint, crash_now (crash) };
  if (!g_hash_table_size (crash->entries))
    return;
  crash_entry_t *entry = crash_find (crash, fingerprint);
  if (entry && !crash->trials)
    crash_acquit (crash, session, entry, effects);
  else if (entry && entry->state == CRASH_SUSPECT)
    crash_clear (crash, entry, effects);
}

const char *
crash_trial_server (const crash_t *crash, uint64_t fingerprint)
{
  const crash_entry_t *entry = crash_find (crash, fingerprint);
  return entry && entry->owns_trial_row ? entry->server : "";
}
