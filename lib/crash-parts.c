/* Trials of parts of prompts that are held to crash servers.  A verdict on a
   part can be wrong: another part may have been there at the same crashes, or
   the servers crashed for another reason.  As all requests with the part are
   refused, only a trial can show that: one request at a time, over all
   instances.  Its answer clears the part, and its crash is one more loss.  */

#include "crashstate.h"

#include <stdlib.h>

#include "op.h"

#define PART_TRIAL_KEY "trial/parts"
#define STORE_TIMEOUT_NS (2 * KWF_NS_PER_S)
/* Servers that crashed in a trial from which on the feature is known to be the
   cause: requests are refused for good, those that wait at a server are called
   back, and nothing is tried any more.  A request that is sent again costs a
   server each time, and a wrong verdict on it concerns one request alone.  */
#define SURE_PROOFS_PART 2
#define SURE_PROOFS_REQUEST 1
/* With this many lost servers, one in a trial is enough, unless the request
   can tell the part from a rival.  */
#define SURE_SERVERS 6
/* Delay of a trial that can't tell the part from its rivals, since the last
   loss, by the servers that crashed in a trial.  */
static const int64_t trial_delays_ns[SURE_PROOFS_PART]
    = { 4 * KWF_NS_PER_S, 8 * KWF_NS_PER_S };
/* A request that is refused until a trial has ended comes back after this
   time.  */
#define RETURN_NS (1 * KWF_NS_PER_S)

static bool
is_held (const crash_t *crash, const crash_entry_t *entry)
{
  return entry && entry->state == CRASH_QUARANTINED
         && crash_now (crash) < entry->until_ns;
}

bool
crash_is_held (const crash_t *crash, uint64_t feature)
{
  return is_held (crash, crash_find (crash, feature));
}

/* What ENTRY says of a request with FEATURES.  */
static crash_advice_t
advice_of (const crash_t *crash, const crash_entry_t *entry,
           const uint64_t *features, size_t n)
{
  int64_t now_ns = crash_now (crash);
  bool is_part = crash_is_part (entry->fingerprint);
  /* The losses may still be on their way from another instance.  */
  bool apart = entry->n_lost >= CRASH_CAUSE_SERVERS
               && crash_are_apart (crash, entry, features, n);
  int sure = is_part && (apart || entry->n_lost < SURE_SERVERS)
                 ? SURE_PROOFS_PART
                 : SURE_PROOFS_REQUEST;
  crash_advice_t advice = { .feature = entry->fingerprint };
  if (entry->n_proofs >= sure)
    {
      advice.verdict = CRASH_REFUSE;
      return advice;
    }
  int64_t due_ns = apart ? 0
                         : MAX (entry->last_ns, entry->verdict_ns)
                               + trial_delays_ns[entry->n_proofs];
  due_ns = MAX (due_ns, crash->part_trial.until_ns);
  advice.verdict = now_ns >= due_ns ? CRASH_TRY : CRASH_RETURN;
  advice.return_ns = MAX (due_ns - now_ns, RETURN_NS);
  return advice;
}

crash_advice_t
crash_advise (const crash_t *crash, const uint64_t *features, size_t n)
{
  crash_advice_t worst = { .verdict = CRASH_SEND };
  if (crash->trials || !g_hash_table_size (crash->entries))
    return worst;
  for (size_t i = 0; i < n; i++)
    {
      const crash_entry_t *entry = crash_find (crash, features[i]);
      if (!is_held (crash, entry))
        continue;
      crash_advice_t advice = advice_of (crash, entry, features, n);
      if (advice.verdict > worst.verdict)
        worst = advice;
    }
  return worst;
}

/* Write the row of the trial, or delete it.  */
static void
write_part_trial (crash_t *crash, bool begins, kwf_effects_t *effects)
{
  part_trial_t *trial = &crash->part_trial;
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *condition = (kwf_condition_t){ PART_TRIAL_KEY, trial->version };
  *put = (kwf_put_t){ PART_TRIAL_KEY, NULL };
  if (begins)
    {
      char *json = trialrow_write (trial->part, crash->instance,
                                   CRASH_PART_TRIAL_NS / KWF_NS_PER_MS);
      put->value = kwf_effects_strdup (effects, json);
      free (json);
    }
  kwf_handle_t op = op_handle (OP_CRASH, ++crash->next_op);
  if (begins)
    trial->op = op;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = op;
  effect->store.timeout_ns = STORE_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){
    .conditions = condition, .n_conditions = 1, .puts = put, .n_puts = 1
  };
}

void
crash_ask_for_part_trial (crash_t *crash, uint64_t part, kwf_handle_t request,
                          kwf_effects_t *effects)
{
  part_trial_t *trial = &crash->part_trial;
  if (trial->op || crash_now (crash) < trial->until_ns)
    {
      crash_add_result (crash, part, request, false, false);
      return;
    }
  trial->until_ns = crash_now (crash) + CRASH_PART_TRIAL_NS;
  trial->request = request;
  trial->part = part;
  write_part_trial (crash, true, effects);
}

void
crash_part_trial_ended (crash_t *crash, kwf_handle_t request,
                        kwf_effects_t *effects)
{
  part_trial_t *trial = &crash->part_trial;
  if (!trial->owned || trial->request != request)
    return;
  trial->owned = false;
  g_clear_pointer (&trial->broken.server, g_free);
  trial->until_ns = 0;
  write_part_trial (crash, false, effects);
}

void
crash_part_trial_broke (crash_t *crash, kwf_handle_t request,
                        const char *server, uint64_t incarnation)
{
  part_trial_t *trial = &crash->part_trial;
  if (!trial->owned || trial->request != request)
    return;
  g_free (trial->broken.server);
  trial->broken = (crash_loss_t){ g_strdup (server), incarnation };
  crash_schedule_tick (crash, crash_now (crash));
}

void
crash_add_proof (crash_t *crash, crash_entry_t *entry, int n_proofs)
{
  if (n_proofs <= entry->n_proofs)
    return;
  entry->n_proofs = n_proofs;
  entry->proof_ns = crash_now (crash);
  crash->generation++;
  crash->n_verdicts++;
  crash_keep_evidence (crash, entry);
}

void
crash_check_part_trial (crash_t *crash, const session_t *session,
                        kwf_effects_t *effects)
{
  part_trial_t *trial = &crash->part_trial;
  crash_entry_t *entry
      = trial->broken.server ? crash_find (crash, trial->part) : NULL;
  if (!entry
      || !crash_has_loss (entry, trial->broken.server,
                          trial->broken.incarnation))
    return;
  crash_add_proof (crash, entry, entry->n_proofs + 1);
  crash_send_message (session, trial->part, "", KWF_CRASH_PROVEN, effects);
  crash_part_trial_ended (crash, trial->request, effects);
}

bool
crash_apply_part_trial (crash_t *crash, const kwf_row_t *row)
{
  part_trial_t *trial = &crash->part_trial;
  if (g_strcmp0 (row->key, PART_TRIAL_KEY) != 0)
    return false;
  if (row->version && row->version <= trial->version)
    return true;
  int64_t for_ms = 0;
  bool held = row->value && trialrow_read (row->value, &for_ms);
  trial->version = row->value ? row->version : 0;
  if (trial->owned || trial->op)
    return true;
  trial->until_ns
      = held ? crash_now (crash)
                   + CLAMP (for_ms * KWF_NS_PER_MS, 0, CRASH_PART_TRIAL_NS)
             : 0;
  crash->generation++;
  return true;
}

bool
crash_handle_part_trial (crash_t *crash, kwf_handle_t op,
                         const kwf_store_reply_t *reply)
{
  part_trial_t *trial = &crash->part_trial;
  if (!op || op != trial->op)
    return false;
  trial->op = 0;
  bool granted = reply->outcome == KWF_STORE_COMMITTED;
  if (granted)
    {
      trial->version = reply->revision;
      trial->owned = true;
      trial->until_ns = crash_now (crash) + CRASH_PART_TRIAL_NS;
    }
  if (reply->outcome == KWF_STORE_CONFLICT)
    for (size_t i = 0; i < reply->n_conflicts; i++)
      crash_apply_part_trial (crash, &reply->conflicts[i]);
  crash_add_result (crash, trial->part, trial->request, granted, false);
  return true;
}
