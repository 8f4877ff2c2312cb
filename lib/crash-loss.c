/* Losses: which features ran on a server when it crashed, as this instance
   finds it or as others report it.  */

#include "crashstate.h"

#include "fanout.h"

#include <string.h>

/* Without trials, the others are told that a request with a feature finished
   before when this many servers are lost: one loss is common beside another
   cause.  */
#define TELL_LOSSES 2

/* A crash within this time after the request's connection was closed counts
   against the request.  */
#define CLOSED_RUN_NS (2 * KWF_NS_PER_S)
/* Trials of a part end further apart than this.  */
#define PROOF_INTERVAL_NS (3 * KWF_NS_PER_S / 10)

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
       && crash_is_loss_explained (crash, fingerprint, server, incarnation,
                                   false))
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
  if (entry->n_lost == (crash->trials ? CRASH_TRIAL_LOSSES : CRASH_MAX_LOST)
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
  if (crash->trials)
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
  g_array_set_clear_func (crashed, crash_ended_run_clear);
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

static void
handle_evidence (crash_t *crash, const kwf_crash_t *content,
                 kwf_effects_t *effects)
{
  crash_entry_t *entry = crash_find (crash, content->fingerprint);
  if (!entry)
    return;
  if (crash->trials)
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
  g_array_set_clear_func (crashed, crash_ended_run_clear);
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
take_message (crash_t *crash, const session_t *session,
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

void
crash_handle_message (crash_t *crash, const session_t *session,
                      const kwf_peer_event_t *peer, kwf_effects_t *effects)
{
  take_message (crash, session, peer, effects);
  forward_message (session, peer, effects);
}
