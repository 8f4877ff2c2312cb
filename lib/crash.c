#include "crashstate.h"

#include "fanout.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* With trials, the second loss is that of a suspect that ran alone.  */
#define TRIAL_LOSSES 2

/* Tells the parts of prompts from the fingerprints of requests.  */
#define PART_BIT (UINT64_C (1) << 63)

/* Without trials, the others are told that a request with a feature finished
   before when this many servers are lost: one loss is common beside another
   cause.  */
#define TELL_LOSSES 2

/* A crash within this time after the request's connection was closed counts
   against the request.  */
#define CLOSED_RUN_NS (2 * KWF_NS_PER_S)
/* Trials of a part end further apart than this.  */
#define PROOF_INTERVAL_NS (3 * KWF_NS_PER_S / 10)
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

static void
ended_run_clear (gpointer data)
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
  crash->limit = TRIAL_LOSSES;
  crash->random = options->random;
  crash->instance = g_strdup (options->instance);
  crash->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, entry_free);
  crash->crashes = g_array_new (FALSE, FALSE, sizeof (crash_seen_t));
  crash->ended_runs = g_array_new (FALSE, TRUE, sizeof (ended_run_t));
  g_array_set_clear_func (crash->ended_runs, ended_run_clear);
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

/* Whether a fingerprint other than FINGERPRINT explains the crash of SERVER: a
   proven one or, with UNFINISHED, a quarantined one that has never
   finished.  */
static bool
is_explained (const crash_t *crash, uint64_t fingerprint, const char *server,
              uint64_t incarnation, bool unfinished)
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
  g_hash_table_remove (crash->entries, &fingerprint);
  crash->generation++;
}

void
crash_clear (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  if (entry->version || entry->owns_trial_row)
    crash_write_row (crash, entry, NULL, effects);
  crash_remove (crash, entry);
}

static bool
are_losses_explained (const crash_t *crash, const crash_entry_t *entry,
                      bool unfinished)
{
  for (int i = 0; i < entry->n_lost; i++)
    if (!is_explained (crash, entry->fingerprint, entry->lost[i].server,
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

/* Suspicion or quarantine has expired: count the losses anew.  */
static void
forget_losses (crash_entry_t *entry)
{
  for (int i = 0; i < entry->n_lost; i++)
    g_free (entry->lost[i].server);
  entry->n_lost = 0;
  entry->n_moments = 0;
  entry->hearing_ns = 0;
  entry->seen_here = false;
  entry->kept = (crash_kept_t){ 0 };
  entry->n_proofs = 0;
}

/* Count the loss of SERVER against FINGERPRINT; true when it was new.  HERE:
   this instance found it.  */
static bool
add_loss (crash_t *crash, uint64_t fingerprint, const char *server,
          uint64_t incarnation, bool here, kwf_effects_t *effects)
{
  if ((crash->trials
       && is_explained (crash, fingerprint, server, incarnation, false))
      || g_hash_table_size (crash->entries) >= CRASH_MAX_ENTRIES)
    return false;
  crash_entry_t *entry = crash_find_or_add (crash, fingerprint);
  bool is_over = crash->trials
                     ? crash_state (crash, fingerprint) == CRASH_CLEAR
                     : crash_now (crash) >= entry->until_ns;
  if (entry->n_lost && is_over)
    forget_losses (entry);
  if (here)
    entry->seen_here = true;
  if (entry->n_lost == (crash->trials ? TRIAL_LOSSES : CRASH_MAX_LOST)
      || crash_has_loss (entry, server, incarnation))
    return false;
  entry->lost[entry->n_lost++]
      = (crash_loss_t){ g_strdup (server), incarnation };
  if (!crash->trials)
    {
      crash_judge (crash, entry, effects);
      return true;
    }
  if (entry->n_lost == crash->limit)
    {
      crash_quarantine (crash, entry, entry->seen_here, effects);
      return true;
    }
  entry->state = CRASH_SUSPECT;
  crash_set_expiry (crash, entry, crash_now (crash) + CRASH_SUSPICION_NS);
  crash->generation++;
  return true;
}

void
crash_send_message (const session_t *session, uint64_t fingerprint,
                    const char *server, uint64_t incarnation,
                    kwf_effects_t *effects)
{
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      if (!member.linked)
        continue;
      kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_PEER_SEND);
      effect->send.instance = kwf_effects_strdup (effects, member.instance);
      effect->send.message.type = KWF_MSG_CRASH;
      effect->send.message.crash
          = (kwf_crash_t){ .fingerprint = fingerprint,
                           .server = kwf_effects_strdup (effects, server),
                           .incarnation = incarnation };
    }
}

/* FINGERPRINT is blamed for a crash: tell the other instances if it is proven
   to be the cause, or if a request with it has finished before.  */
static void
send_crash_notices (crash_t *crash, const session_t *session,
                    uint64_t fingerprint, kwf_effects_t *effects)
{
  crash_entry_t *entry = crash_find (crash, fingerprint);
  if (!entry)
    return;
  if (entry->proven)
    crash_send_message (session, fingerprint, "", KWF_CRASH_PROVEN, effects);
  if (entry->finished || !crash_has_finished (crash, fingerprint)
      || (!crash->trials && entry->n_lost < TELL_LOSSES))
    return;
  entry->finished = true;
  crash->generation++;
  crash_send_message (session, fingerprint, "", KWF_CRASH_REQUEST_FINISHED,
                      effects);
}

/* Requests whose connection to a server ended.  */

void
crash_connection_ended (crash_t *crash, uint64_t fingerprint,
                        const char *server, uint64_t incarnation, bool broken)
{
  int64_t keep_ns = broken ? CRASH_SUSPICION_NS : CLOSED_RUN_NS;
  ended_run_t run = { .fingerprint = fingerprint,
                      .server = g_strdup (server),
                      .incarnation = incarnation,
                      .broken = broken,
                      .until_ns = crash_now (crash) + keep_ns };
  g_array_append_val (crash->ended_runs, run);
}

/* Count the crash of a server against the fingerprints of ENDED_RUNS, which
   ran on it.  Those with an earlier loss come first: if the crash proves that
   one of them is the cause, it is not counted against the others that
   follow.  */
static void
count_crash (crash_t *crash, const session_t *session,
             const GArray *ended_runs, kwf_effects_t *effects)
{
  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < ended_runs->len; i++)
      {
        const ended_run_t *run = &g_array_index (ended_runs, ended_run_t, i);
        const crash_entry_t *entry = crash_find (crash, run->fingerprint);
        bool has_earlier_loss = entry && entry->n_lost > 0;
        if (has_earlier_loss != (pass == 0))
          continue;
        if (!add_loss (crash, run->fingerprint, run->server, run->incarnation,
                       true, effects))
          continue;
        kwf_effects_log (effects, 300, KWF_LOG_WARNING, NULL,
                         "%s ran on %s when it crashed",
                         crash_feature_name (effects, run->fingerprint),
                         run->server);
        crash_send_message (session, run->fingerprint, run->server,
                            run->incarnation, effects);
        send_crash_notices (crash, session, run->fingerprint, effects);
      }
}

/* The instance that runs a trial may have died, or its messages may be lost,
   so every instance checks the server of a trial itself.  */
static void
check_trials (crash_t *crash, const char *server, bool valid, bool refused,
              uint64_t incarnation, kwf_effects_t *effects)
{
  GArray *lost = g_array_new (FALSE, TRUE, sizeof (uint64_t));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const crash_entry_t *entry = value;
      if (entry->state == CRASH_TRIAL && !entry->owns_trial_row
          && strcmp (entry->server, server) == 0
          && (refused
              || (valid && entry->incarnation
                  && incarnation != entry->incarnation)))
        g_array_append_val (lost, entry->fingerprint);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      uint64_t fingerprint = g_array_index (lost, uint64_t, i);
      const crash_entry_t *entry = crash_find (crash, fingerprint);
      add_loss (crash, fingerprint, server, entry->incarnation, false,
                effects);
    }
  g_array_free (lost, TRUE);
}

void
crash_handle_report (crash_t *crash, const session_t *session,
                     const char *server, bool valid, bool refused, bool fresh,
                     uint64_t incarnation, kwf_effects_t *effects)
{
  if (g_hash_table_size (crash->entries))
    check_trials (crash, server, valid, refused, incarnation, effects);
  if (!crash->ended_runs->len)
    return;
  int64_t now_ns = crash_now (crash);
  GArray *crashed = g_array_new (FALSE, TRUE, sizeof (ended_run_t));
  g_array_set_clear_func (crashed, ended_run_clear);
  for (guint i = crash->ended_runs->len; i-- > 0;)
    {
      ended_run_t *run = &g_array_index (crash->ended_runs, ended_run_t, i);
      bool same_server = strcmp (run->server, server) == 0;
      if (same_server && now_ns < run->until_ns
          && (refused
              || (valid && run->incarnation
                  && incarnation != run->incarnation)))
        {
          g_array_append_val (crashed, *run);
          run->server = NULL;
          g_array_remove_index_fast (crash->ended_runs, i);
        }
      else if (now_ns >= run->until_ns
               || (same_server && valid && fresh && run->broken))
        g_array_remove_index_fast (crash->ended_runs, i);
    }
  count_crash (crash, session, crashed, effects);
  g_array_free (crashed, TRUE);
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

static void
handle_evidence (crash_t *crash, const kwf_crash_t *content,
                 kwf_effects_t *effects)
{
  crash_entry_t *entry = crash_find (crash, content->fingerprint);
  if (!entry)
    return;
  crash->generation++;
  if (content->incarnation == KWF_CRASH_REQUEST_FINISHED)
    {
      entry->finished = true;
      crash_reconsider (crash, entry);
    }
  if (content->incarnation != KWF_CRASH_PROVEN
      || entry->state != CRASH_QUARANTINED)
    return;
  if (!crash->trials)
    {
      /* Several hubs may pass on one message.  */
      if (crash_now (crash) - entry->proof_ns >= PROOF_INTERVAL_NS)
        crash_add_proof (crash, entry, entry->n_proofs + 1);
      return;
    }
  crash_mark_proven (crash, entry, effects);
}

/* A peer has found that the process INCARNATION of SERVER crashed: count that
   against what ran there for this instance.  */
static void
count_reported_crash (crash_t *crash, const session_t *session,
                      const kwf_crash_t *content, kwf_effects_t *effects)
{
  GArray *crashed = g_array_new (FALSE, TRUE, sizeof (ended_run_t));
  g_array_set_clear_func (crashed, ended_run_clear);
  for (guint i = crash->ended_runs->len; i-- > 0;)
    {
      ended_run_t *run = &g_array_index (crash->ended_runs, ended_run_t, i);
      if (crash_now (crash) >= run->until_ns || !content->incarnation
          || run->incarnation != content->incarnation
          || strcmp (run->server, content->server) != 0)
        continue;
      g_array_append_val (crashed, *run);
      run->server = NULL;
      g_array_remove_index_fast (crash->ended_runs, i);
    }
  count_crash (crash, session, crashed, effects);
  g_array_free (crashed, TRUE);
}

static void
handle_message (crash_t *crash, const session_t *session,
                const kwf_peer_event_t *peer, kwf_effects_t *effects)
{
  const kwf_crash_t *content = &peer->message->crash;
  if (!*content->server && content->incarnation >= KWF_CRASH_CAUSE)
    {
      crash_handle_verdict (crash, session, content, effects);
      return;
    }
  if (!*content->server)
    {
      handle_evidence (crash, content, effects);
      return;
    }
  bool is_new = add_loss (crash, content->fingerprint, content->server,
                          content->incarnation, false, effects);
  const crash_entry_t *entry = crash_find (crash, content->fingerprint);
  if (is_new && entry && (crash->trials || entry->n_lost >= TELL_LOSSES))
    kwf_effects_log (
        effects, 301, KWF_LOG_WARNING, NULL,
        "%s reports that %s ran on %s when it crashed", peer->instance,
        crash_feature_name (effects, content->fingerprint), content->server);
  if (is_new && entry && entry->state == CRASH_QUARANTINED && !crash->trials)
    crash_send_verdicts (crash, peer->instance, content->fingerprint, effects);
  if (entry && !entry->proven)
    send_crash_notices (crash, session, content->fingerprint, effects);
  if (!crash->trials)
    count_reported_crash (crash, session, content, effects);
}

typedef struct
{
  const char *from;
  const kwf_crash_t *content;
  kwf_effects_t *effects;
} forward_t;

static void
forward_to (const char *instance, void *data)
{
  const forward_t *forward = data;
  if (strcmp (instance, forward->from) == 0)
    return;
  kwf_crash_t *crash
      = &session_send (instance, KWF_MSG_CRASH, forward->effects)->crash;
  *crash = *forward->content;
  crash->server = kwf_effects_strdup (forward->effects, crash->server);
}

/* An instance that is no hub has sent its message to the hubs only.  Each hub
   that passes messages on sends it to the instances of its data centre.  */
static void
forward_message (const session_t *session, const kwf_peer_event_t *peer,
                 kwf_effects_t *effects)
{
  forward_t forward = { peer->instance, &peer->message->crash, effects };
  if (session_is_large (session) && !session_is_hub (session, peer->instance)
      && fanout_role (session) != FANOUT_LEAF)
    fanout_local_members (session, forward_to, &forward);
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
  handle_message (crash, session, &event->peer, effects);
  forward_message (session, &event->peer, effects);
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
