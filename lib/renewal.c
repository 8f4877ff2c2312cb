/* Renewal of the lease: by a table transaction, or through a peer.  */

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "op.h"
#include "session-state.h"

/* An answer that takes longer counts as lost.  */
#define TIMEOUT_MOST_NS (2 * KWF_NS_PER_S)
/* A silent table is asked at least this often.  */
#define RETRY_MOST_NS (1 * KWF_NS_PER_S)

static const char *const prefixes[]
    = { "list/",  "key/",   "session/", "shares",
        "crash/", "trial/", "ledger/",  "duty/" };

void
forwarded_renewal_free (void *data)
{
  forwarded_renewal_t *relay = data;
  g_free (relay->instance);
  g_free ((char *)relay->renew.caller_address);
  g_free ((char *)relay->renew.peer_address);
  g_free ((char *)relay->renew.data_centre);
  g_free ((char *)relay->renew.demand);
  g_free (relay->value);
  g_free (relay);
}

static kwf_renew_t
own_renew (session_t *session)
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
row_value (const kwf_renew_t *renew)
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

/* A relayed renewal must not replace one of a newer incarnation or a later
   renewal.  */
static bool
is_stale (const session_t *session, const forwarded_renewal_t *relay)
{
  const member_t *member = member_find (session, relay->instance);
  if (!member || !member->version)
    return false;
  return member->incarnation > relay->renew.incarnation
         || (member->incarnation == relay->renew.incarnation
             && member->counter >= relay->renew.counter);
}

static void
refuse (const forwarded_renewal_t *relay, kwf_effects_t *effects)
{
  session_send (relay->instance, KWF_MSG_RENEWED, effects)->renewed
      = (kwf_renewed_t){ .counter = relay->renew.counter };
}

static void
refuse_sent_relays (session_t *session, kwf_effects_t *effects)
{
  for (guint i = 0; i < session->sent_forwards->len; i++)
    refuse (session->sent_forwards->pdata[i], effects);
  g_ptr_array_set_size (session->sent_forwards, 0);
}

/* Move the renewals that wait to be relayed into the transaction.  */
static void
start_relays (session_t *session, kwf_effects_t *effects)
{
  while (session->queued_forwards->len)
    {
      forwarded_renewal_t *relay
          = g_ptr_array_steal_index (session->queued_forwards, 0);
      if (is_stale (session, relay))
        {
          refuse (relay, effects);
          forwarded_renewal_free (relay);
          continue;
        }
      g_free (relay->value);
      relay->value = row_value (&relay->renew);
      g_ptr_array_add (session->sent_forwards, relay);
    }
}

int64_t
renewal_timeout_ns (const session_t *session)
{
  return MIN ((session->lease_ns - session->renew_ns) * 7 / 8,
              TIMEOUT_MOST_NS);
}

bool
renewal_may_begin (const session_t *session)
{
  return !session->push_updates || session->revision;
}

/* Revision up to which all rows are known after an answer of REVISION.  */
static int64_t
known_after (const session_t *session, int64_t revision)
{
  return session->push_updates ? session->revision : revision;
}

static void
send_renewal (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  start_relays (session, effects);
  session->counter++;
  kwf_renew_t renew = own_renew (session);
  g_free (session->op_value);
  session->op_value = row_value (&renew);
  size_t n = 1 + session->sent_forwards->len;
  kwf_condition_t *conditions
      = kwf_effects_alloc (effects, n * sizeof *conditions);
  kwf_put_t *puts = kwf_effects_alloc (effects, n * sizeof *puts);
  for (size_t i = 0; i < n; i++)
    {
      const forwarded_renewal_t *relay
          = i ? session->sent_forwards->pdata[i - 1] : NULL;
      char *key = kwf_effects_printf (
          effects, "session/%s", relay ? relay->instance : session->instance);
      conditions[i] = (kwf_condition_t){ key, known_version (session, key) };
      puts[i] = (kwf_put_t){
        key,
        kwf_effects_strdup (effects, relay ? relay->value : session->op_value)
      };
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
take_failure (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  session->op = 0;
  session->failures++;
  /* One lost answer is made up for at once; a silent platform is asked
     once a period.  */
  int64_t period_ns = MIN (session->renew_ns, RETRY_MOST_NS);
  int64_t wait_ns = session->failures == 1 ? period_ns / 4 : period_ns;
  session->next_renew_ns
      = MAX (now_ns, MIN (session->op_sent_ns + period_ns, now_ns + wait_ns));
  if (session->failures > 1)
    session->next_renew_ns = MAX (now_ns, session->op_sent_ns + period_ns);
  if (session->failures == 1)
    kwf_effects_log (effects, 102, KWF_LOG_WARNING, NULL,
                     "the table did not answer a renewal");
  refuse_sent_relays (session, effects);
}

/* An answer of the table itself arrived.  */
static void
take_answer (session_t *session, int64_t now_ns)
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
answer_sent_relays (session_t *session, int64_t revision,
                    kwf_effects_t *effects)
{
  for (guint i = 0; i < session->sent_forwards->len; i++)
    {
      const forwarded_renewal_t *relay = session->sent_forwards->pdata[i];
      size_t count;
      const kwf_row_t *rows
          = rows_after (session->rows, relay->renew.after, effects, &count);
      session_send (relay->instance, KWF_MSG_RENEWED, effects)->renewed
          = (kwf_renewed_t){ .counter = relay->renew.counter,
                             .renewed = true,
                             .revision = revision,
                             .rows = rows,
                             .n_rows = count };
    }
  g_ptr_array_set_size (session->sent_forwards, 0);
}

/* The rows that the transaction wrote are known even when the answer does
   not repeat them.  */
static void
take_own_puts (session_t *session, int64_t revision, int64_t now_ns,
               kwf_effects_t *effects, session_changes_t *news)
{
  for (guint i = 0; i <= session->sent_forwards->len; i++)
    {
      const forwarded_renewal_t *relay
          = i ? session->sent_forwards->pdata[i - 1] : NULL;
      kwf_row_t row = {
        .key
        = kwf_effects_printf (effects, "session/%s",
                              relay ? relay->instance : session->instance),
        .version = revision,
        .value = relay ? relay->value : session->op_value,
      };
      session_apply_rows (session, &row, 1, known_after (session, revision),
                          now_ns, effects, news);
    }
}

static void
take_commit (session_t *session, const kwf_store_reply_t *reply,
             int64_t now_ns, kwf_effects_t *effects, session_changes_t *news)
{
  int64_t sent_ns = session->op_sent_ns;
  take_answer (session, now_ns);
  session_apply_rows (session, reply->rows, reply->n_rows,
                      known_after (session, reply->revision), now_ns, effects,
                      news);
  take_own_puts (session, reply->revision, now_ns, effects, news);
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
  answer_sent_relays (session, reply->revision, effects);
}

static void
take_conflict (session_t *session, const kwf_store_reply_t *reply,
               int64_t now_ns, kwf_effects_t *effects, session_changes_t *news)
{
  take_answer (session, now_ns);
  session_apply_rows (session, reply->rows, reply->n_rows,
                      known_after (session, reply->revision), now_ns, effects,
                      news);
  if (session->push_updates)
    session_apply_rows (session, reply->conflicts, reply->n_conflicts,
                        session->revision, now_ns, effects, news);
  session->conflicts++;
  if (session->conflicts > 1)
    refuse_sent_relays (session, effects);
  while (session->sent_forwards->len)
    g_ptr_array_add (session->queued_forwards,
                     g_ptr_array_steal_index (session->sent_forwards, 0));
  session->next_renew_ns
      = session->conflicts < 4 ? now_ns : now_ns + session->renew_ns / 4;
}

void
renewal_handle_reply (session_t *session, const kwf_store_reply_t *reply,
                      int64_t now_ns, kwf_effects_t *effects,
                      session_changes_t *news)
{
  bool definite = reply->outcome == KWF_STORE_COMMITTED
                  || reply->outcome == KWF_STORE_CONFLICT;
  /* Rows that come unasked may be ahead of an answer.  */
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
    take_failure (session, now_ns, effects);
  else if (reply->outcome == KWF_STORE_COMMITTED)
    take_commit (session, reply, now_ns, effects, news);
  else
    take_conflict (session, reply, now_ns, effects, news);
}

/* The next linked peer, preferably one that hears the platform or has not
   been asked.  */
static const member_t *
choose_peer (session_t *session, int64_t now_ns)
{
  const member_t *second = NULL;
  guint n = session->members->len;
  for (guint i = 0; i < n; i++)
    {
      const member_t *member
          = session->members->pdata[(session->next_peer + i) % n];
      if (!member->linked)
        continue;
      if (!second)
        second = member;
      if (!member->reaches_platform
          && now_ns - member->vote_ns < session->lease_ns)
        continue;
      session->next_peer += i + 1;
      return member;
    }
  session->next_peer++;
  return second;
}

static void
ask_peer (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (now_ns < session->next_peer_ns)
    return;
  session->next_peer_ns = now_ns + session->renew_ns / 2;
  const member_t *peer = choose_peer (session, now_ns);
  if (!peer)
    return;
  session->counter++;
  session->renewals[session->counter % SESSION_QUERIES]
      = (session_query_t){ session->counter, now_ns };
  kwf_renew_t renew = own_renew (session);
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
    take_failure (session, now_ns, effects);
  if (!session->op && now_ns >= session->next_renew_ns
      && renewal_may_begin (session))
    send_renewal (session, now_ns, effects);
  if (outage_platform_is_silent (session, now_ns))
    ask_peer (session, now_ns, effects);
}

void
renewal_handle_renew (session_t *session, const char *peer,
                      const kwf_renew_t *renew, int64_t now_ns,
                      kwf_effects_t *effects)
{
  forwarded_renewal_t *relay = g_new0 (forwarded_renewal_t, 1);
  relay->instance = g_strdup (peer);
  relay->renew = *renew;
  relay->renew.caller_address = g_strdup (renew->caller_address);
  relay->renew.peer_address = g_strdup (renew->peer_address);
  relay->renew.data_centre = g_strdup (renew->data_centre);
  relay->renew.demand = g_strdup (renew->demand);
  if (session->fenced || outage_platform_is_silent (session, now_ns))
    {
      refuse (relay, effects);
      forwarded_renewal_free (relay);
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
  g_ptr_array_add (session->queued_forwards, relay);
  session_renew_soon (session);
}

void
renewal_handle_renewed (session_t *session, const char *peer,
                        const kwf_renewed_t *renewed, int64_t now_ns,
                        kwf_effects_t *effects, session_changes_t *news)
{
  if (renewed->counter <= 0 || !renewed->renewed)
    return;
  session_query_t *question
      = &session->renewals[renewed->counter % SESSION_QUERIES];
  if (question->number != renewed->counter
      || now_ns - question->sent_ns >= session->lease_ns)
    return;
  if (session->lease_until_ns <= now_ns)
    kwf_effects_log (effects, 111, KWF_LOG_INFO, NULL,
                     "lease renewed through peer %s", peer);
  session_apply_rows (session, renewed->rows, renewed->n_rows,
                      renewed->revision, now_ns, effects, news);
  session->had_lease = true;
  session->lease_until_ns
      = MAX (session->lease_until_ns, question->sent_ns + session->lease_ns);
  *question = (session_query_t){ 0 };
}
