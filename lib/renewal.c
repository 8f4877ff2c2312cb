/* Renews the lease by a table transaction, or through a peer.  */

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "op.h"
#include "session-state.h"

/* An answer that takes longer counts as lost.  */
#define TIMEOUT_MAX_NS (2 * KWF_NS_PER_S)
/* While the table does not answer, it is tried at least this often.  */
#define RETRY_MAX_NS (1 * KWF_NS_PER_S)

static const char *const prefixes[]
    = { "list/",  "key/",   "session/", "shares",
        "crash/", "trial/", "ledger/",  "duty/" };

void
forwarded_renewal_free (void *data)
{
  forwarded_renewal_t *forward = data;
  g_free (forward->instance);
  g_free ((char *)forward->renew.caller_address);
  g_free ((char *)forward->renew.peer_address);
  g_free ((char *)forward->renew.data_centre);
  g_free ((char *)forward->renew.demand);
  g_free (forward->value);
  g_free (forward);
}

static kwf_renew_t
make_own_renewal (session_t *session)
{
  if (session->demand_fn)
    {
      g_free (session->demand);
      session->demand = session->demand_fn (session->demand_data);
    }
  return (kwf_renew_t){
    .incarnation = session->incarnation,
    .counter = session->counter,
    .epoch_left = session->epoch_left,
    .leaving = session->leaving,
    .caller_address = session->caller_address,
    .peer_address = session->peer_address,
    .data_centre = session->data_centre,
    .load = llround (session->load),
    .cores = session->cores,
    .after = session->revision,
    .demand = session->demand,
  };
}

static void
add_demand (json_t *row, const char *text)
{
  json_t *object = text ? json_loads (text, 0, NULL) : NULL;
  static const char *const names[] = { "demand", "wanted" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      json_t *value = json_object_get (object, names[i]);
      if (json_object_size (value))
        json_object_set (row, names[i], value);
    }
  json_decref (object);
}

static char *
renewal_to_json (const kwf_renew_t *renew)
{
  json_t *object = json_pack (
      "{s:I,s:I,s:I,s:b,s:s,s:s,s:s,s:I,s:f}", "incarnation",
      (json_int_t)renew->incarnation, "counter", (json_int_t)renew->counter,
      "epoch_left", (json_int_t)renew->epoch_left, "leaving", renew->leaving,
      "caller_address", renew->caller_address ? renew->caller_address : "",
      "peer_address", renew->peer_address ? renew->peer_address : "",
      "data_centre", renew->data_centre ? renew->data_centre : "", "load",
      (json_int_t)renew->load, "cores", renew->cores);
  add_demand (object, renew->demand);
  char *text = json_dumps (object, JSON_COMPACT);
  char *copy = g_strdup (text);
  free (text);
  json_decref (object);
  return copy;
}

static int64_t
known_version (const session_t *session, const char *key)
{
  const kwf_row_t *row = rows_get (session->rows, key);
  return row && row->value ? row->version : 0;
}

/* Whether the peer's row already shows a newer incarnation or a later renewal,
   which the forwarded renewal must not replace.  */
static bool
is_stale (const session_t *session, const forwarded_renewal_t *forward)
{
  const member_t *member = member_find (session, forward->instance);
  if (!member || !member->version)
    return false;
  return member->incarnation > forward->renew.incarnation
         || (member->incarnation == forward->renew.incarnation
             && member->counter >= forward->renew.counter);
}

static void
send_refusal (const forwarded_renewal_t *forward, kwf_effects_t *effects)
{
  session_send (forward->instance, KWF_MSG_RENEWED, effects)->renewed
      = (kwf_renewed_t){ .counter = forward->renew.counter };
}

static void
refuse_sent_forwards (session_t *session, kwf_effects_t *effects)
{
  for (guint i = 0; i < session->sent_forwards->len; i++)
    send_refusal (session->sent_forwards->pdata[i], effects);
  g_ptr_array_set_size (session->sent_forwards, 0);
}

/* Moves the queued renewals of peers into the transaction that is about to be
   sent.  */
static void
start_forwards (session_t *session, kwf_effects_t *effects)
{
  while (session->queued_forwards->len)
    {
      forwarded_renewal_t *forward
          = g_ptr_array_steal_index (session->queued_forwards, 0);
      if (is_stale (session, forward))
        {
          send_refusal (forward, effects);
          forwarded_renewal_free (forward);
          continue;
        }
      g_free (forward->value);
      forward->value = renewal_to_json (&forward->renew);
      g_ptr_array_add (session->sent_forwards, forward);
    }
}

int64_t
renewal_timeout_ns (const session_t *session)
{
  return MIN ((session->lease_ns - session->renew_ns) * 7 / 8, TIMEOUT_MAX_NS);
}

bool
renewal_may_begin (const session_t *session)
{
  return !session->push_updates || session->revision;
}

/* Revision up to which all rows are known after the table answered with
   REVISION.  */
static int64_t
complete_revision (const session_t *session, int64_t revision)
{
  return session->push_updates ? session->revision : revision;
}

static void
send_renewal (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  start_forwards (session, effects);
  session->counter++;
  kwf_renew_t renew = make_own_renewal (session);
  g_free (session->op_value);
  session->op_value = renewal_to_json (&renew);
  size_t n = 1 + session->sent_forwards->len;
  kwf_condition_t *conditions
      = kwf_effects_alloc (effects, n * sizeof *conditions);
  kwf_put_t *puts = kwf_effects_alloc (effects, n * sizeof *puts);
  for (size_t i = 0; i < n; i++)
    {
      const forwarded_renewal_t *forward
          = i ? session->sent_forwards->pdata[i - 1] : NULL;
      char *key = kwf_effects_printf (effects, "session/%s",
                                      forward ? forward->instance
                                              : session->instance);
      conditions[i] = (kwf_condition_t){ key, known_version (session, key) };
      puts[i] = (kwf_put_t){ key, kwf_effects_strdup (
                                      effects, forward ? forward->value
                                                       : session->op_value) };
    }
  session->op = op_handle (OP_SESSION, ++session->next_op);
  session->op_sent_ns = now_ns;
  session->next_renew_ns = now_ns + session->renew_ns;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = session->op;
  effect->store.timeout_ns = renewal_timeout_ns (session);
  effect->store.txn = (kwf_txn_t){ .conditions = conditions,
                                   .n_conditions = n,
                                   .puts = puts,
                                   .n_puts = n,
                                   .prefixes = prefixes,
                                   .n_prefixes = G_N_ELEMENTS (prefixes),
                                   .after = session->revision };
}

static void
handle_failure (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  session->op = 0;
  session->failures++;
  /* One lost answer is followed by an early retry.  After more of them the
     table is tried once a period.  */
  int64_t period_ns = MIN (session->renew_ns, RETRY_MAX_NS);
  int64_t wait_ns = session->failures == 1 ? period_ns / 4 : period_ns;
  session->next_renew_ns
      = MAX (now_ns, MIN (session->op_sent_ns + period_ns, now_ns + wait_ns));
  if (session->failures > 1)
    session->next_renew_ns = MAX (now_ns, session->op_sent_ns + period_ns);
  if (session->failures == 1)
    kwf_effects_log (effects, 102, KWF_LOG_WARNING, NULL,
                     "the table did not answer a renewal");
  refuse_sent_forwards (session, effects);
}

/* The table itself answered.  */
static void
note_answer (session_t *session, int64_t now_ns)
{
  bool gap = !session->answered_ns
             || now_ns - session->answered_ns > session->lease_ns;
  session->op = 0;
  session->failures = 0;
  session->answered_ns = now_ns;
  rows_prune (session->rows, now_ns - 3600 * KWF_NS_PER_S);
  if (gap)
    session->first_success_ns = 0;
}

static void
answer_sent_forwards (session_t *session, int64_t revision,
                      kwf_effects_t *effects)
{
  for (guint i = 0; i < session->sent_forwards->len; i++)
    {
      const forwarded_renewal_t *forward = session->sent_forwards->pdata[i];
      size_t count;
      const kwf_row_t *rows
          = rows_after (session->rows, forward->renew.after, effects, &count);
      session_send (forward->instance, KWF_MSG_RENEWED, effects)->renewed
          = (kwf_renewed_t){ .counter = forward->renew.counter,
                             .renewed = true,
                             .revision = revision,
                             .rows = rows,
                             .n_rows = count };
    }
  g_ptr_array_set_size (session->sent_forwards, 0);
}

/* Applies the rows that the transaction wrote, because the answer need not
   repeat them.  */
static void
apply_own_puts (session_t *session, int64_t revision, int64_t now_ns,
                kwf_effects_t *effects, session_changes_t *changes)
{
  for (guint i = 0; i <= session->sent_forwards->len; i++)
    {
      const forwarded_renewal_t *forward
          = i ? session->sent_forwards->pdata[i - 1] : NULL;
      kwf_row_t row = {
        .key
        = kwf_effects_printf (effects, "session/%s",
                              forward ? forward->instance : session->instance),
        .version = revision,
        .value = forward ? forward->value : session->op_value,
      };
      session_apply_rows (session, &row, 1,
                          complete_revision (session, revision), now_ns,
                          effects, changes);
    }
}

static void
handle_commit (session_t *session, const kwf_store_reply_t *reply,
               int64_t now_ns, kwf_effects_t *effects,
               session_changes_t *changes)
{
  int64_t sent_ns = session->op_sent_ns;
  note_answer (session, now_ns);
  session_apply_rows (session, reply->rows, reply->n_rows,
                      complete_revision (session, reply->revision), now_ns,
                      effects, changes);
  apply_own_puts (session, reply->revision, now_ns, effects, changes);
  session->conflicts = 0;
  session->had_lease = true;
  session->lease_until_ns
      = MAX (session->lease_until_ns, sent_ns + session->lease_ns);
  if (!session->first_success_ns)
    {
      session->first_success_ns = now_ns;
      member_restart_leases (session, now_ns);
    }
  member_expire_leases (session, sent_ns, effects);
  answer_sent_forwards (session, reply->revision, effects);
}

static void
handle_conflict (session_t *session, const kwf_store_reply_t *reply,
                 int64_t now_ns, kwf_effects_t *effects,
                 session_changes_t *changes)
{
  note_answer (session, now_ns);
  session_apply_rows (session, reply->rows, reply->n_rows,
                      complete_revision (session, reply->revision), now_ns,
                      effects, changes);
  if (session->push_updates)
    session_apply_rows (session, reply->conflicts, reply->n_conflicts,
                        session->revision, now_ns, effects, changes);
  session->conflicts++;
  if (session->conflicts > 1)
    refuse_sent_forwards (session, effects);
  while (session->sent_forwards->len)
    g_ptr_array_add (session->queued_forwards,
                     g_ptr_array_steal_index (session->sent_forwards, 0));
  session->next_renew_ns
      = session->conflicts < 4 ? now_ns : now_ns + session->renew_ns / 4;
}

void
renewal_handle_reply (session_t *session, const kwf_store_reply_t *reply,
                      int64_t now_ns, kwf_effects_t *effects,
                      session_changes_t *changes)
{
  bool definite = reply->outcome == KWF_STORE_COMMITTED
                  || reply->outcome == KWF_STORE_CONFLICT;
  /* Rows that the store pushes may be ahead of an answer.  */
  if (definite && !session->push_updates
      && reply->revision < session->revision)
    {
      kwf_effects_log (effects, 110, KWF_LOG_WARNING, NULL,
                       "the table answered with revision %" PRId64
                       ", older than %" PRId64 "; ignored",
                       reply->revision, session->revision);
      definite = false;
    }
  if (!definite)
    handle_failure (session, now_ns, effects);
  else if (reply->outcome == KWF_STORE_COMMITTED)
    handle_commit (session, reply, now_ns, effects, changes);
  else
    handle_conflict (session, reply, now_ns, effects, changes);
}

/* Chooses the linked peer that gets the next RENEW, which asks it to renew
   this instance's lease: by turns, preferably a peer that has not said within
   the last lease that the platform is silent for it.  */
static const member_t *
choose_peer (session_t *session, int64_t now_ns)
{
  const member_t *fallback = NULL;
  guint n = session->members->len;
  for (guint i = 0; i < n; i++)
    {
      const member_t *member
          = session->members->pdata[(session->peer_cursor + i) % n];
      if (!member->linked)
        continue;
      if (!fallback)
        fallback = member;
      if (!member->replied_not_silent
          && now_ns - member->vote_query_ns < session->lease_ns)
        continue;
      session->peer_cursor += i + 1;
      return member;
    }
  session->peer_cursor++;
  return fallback;
}

static void
send_renew_to_peer (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (now_ns < session->next_renew_to_peer_ns)
    return;
  session->next_renew_to_peer_ns = now_ns + session->renew_ns / 2;
  const member_t *peer = choose_peer (session, now_ns);
  if (!peer)
    return;
  session->counter++;
  session->sent_renews[session->counter % SESSION_QUERIES]
      = (session_query_t){ session->counter, now_ns };
  kwf_renew_t renew = make_own_renewal (session);
  renew.caller_address = kwf_effects_strdup (effects, renew.caller_address);
  renew.peer_address = kwf_effects_strdup (effects, renew.peer_address);
  renew.data_centre = kwf_effects_strdup (effects, renew.data_centre);
  renew.demand = kwf_effects_strdup (effects, renew.demand);
  session_send (peer->instance, KWF_MSG_RENEW, effects)->renew = renew;
}

void
renewal_run (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (session->op
      && now_ns - session->op_sent_ns >= renewal_timeout_ns (session))
    handle_failure (session, now_ns, effects);
  if (!session->op && now_ns >= session->next_renew_ns
      && renewal_may_begin (session))
    send_renewal (session, now_ns, effects);
  if (outage_platform_is_silent (session, now_ns))
    send_renew_to_peer (session, now_ns, effects);
}

void
renewal_handle_renew (session_t *session, const char *peer,
                      const kwf_renew_t *renew, int64_t now_ns,
                      kwf_effects_t *effects)
{
  forwarded_renewal_t *forward = g_new0 (forwarded_renewal_t, 1);
  forward->instance = g_strdup (peer);
  forward->renew = *renew;
  forward->renew.caller_address = g_strdup (renew->caller_address);
  forward->renew.peer_address = g_strdup (renew->peer_address);
  forward->renew.data_centre = g_strdup (renew->data_centre);
  forward->renew.demand = g_strdup (renew->demand);
  if (session->fenced || outage_platform_is_silent (session, now_ns))
    {
      send_refusal (forward, effects);
      forwarded_renewal_free (forward);
      return;
    }
  for (guint i = 0; i < session->queued_forwards->len; i++)
    {
      const forwarded_renewal_t *other = session->queued_forwards->pdata[i];
      if (strcmp (other->instance, peer) != 0)
        continue;
      g_ptr_array_remove_index (session->queued_forwards, i);
      break;
    }
  g_ptr_array_add (session->queued_forwards, forward);
  session_renew_soon (session);
}

void
renewal_handle_renewed (session_t *session, const char *peer,
                        const kwf_renewed_t *renewed, int64_t now_ns,
                        kwf_effects_t *effects, session_changes_t *changes)
{
  if (renewed->counter <= 0 || !renewed->renewed)
    return;
  session_query_t *query
      = &session->sent_renews[renewed->counter % SESSION_QUERIES];
  if (query->number != renewed->counter
      || now_ns - query->sent_ns >= session->lease_ns)
    return;
  if (session->lease_until_ns <= now_ns)
    kwf_effects_log (effects, 111, KWF_LOG_INFO, NULL,
                     "lease renewed through peer %s", peer);
  session_apply_rows (session, renewed->rows, renewed->n_rows,
                      renewed->revision, now_ns, effects, changes);
  session->had_lease = true;
  session->lease_until_ns
      = MAX (session->lease_until_ns, query->sent_ns + session->lease_ns);
  *query = (session_query_t){ 0 };
}
