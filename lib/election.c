#include "election.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "op.h"
#include "revision.h"

/* A leader whose link is down for this long is replaced.  */
#define LINK_LOST_NS (1500 * KWF_NS_PER_MS)
/* The first election of a fleet starts this long after the process.  */
#define FIRST_ELECTION_NS (3 * KWF_NS_PER_S)
/* Candidates try in the order of their ranks: the first FAST_RANKS at short
   intervals, the others only if none of these reached the table.  */
#define RANK_NS (150 * KWF_NS_PER_MS)
#define FAST_RANKS 4
#define SLOW_RANK_NS (2 * KWF_NS_PER_S)
#define TXN_TIMEOUT_NS (1 * KWF_NS_PER_S)
/* Delay after a failed write.  */
#define RETRY_NS (500 * KWF_NS_PER_MS)
/* A lease of the leader lasts lease_ns / LEASE_DIVISOR.  It is renewed
   RENEWALS times in that time, so that one lost reply doesn't end it.  */
#define LEASE_DIVISOR 2
#define RENEWALS 3
/* A leader whose lease expired repeats its message to the others at this
   interval.  */
#define EXPIRED_REPEAT_NS (500 * KWF_NS_PER_MS)

static const char *const prefixes[] = { "duty/" };

/* A read that renews the lease if it shows the row unchanged.  */
typedef struct
{
  kwf_handle_t op; /* 0: none */
  int64_t sent_ns;
} renewal_t;

struct election
{
  const kwf_clock_t *clock;
  char *key; /* of the row */
  char *instance;
  uint64_t incarnation;
  int64_t lease_ns;
  int64_t leader_lease_ns; /* duration of the lease; 0: none is needed */

  int64_t version;     /* of the row; 0: absent */
  int64_t base_era;    /* tokens of this era are the versions of the row */
  int64_t op_base_era; /* in the row that is being written */
  char *leader;        /* NULL or "": none */
  uint64_t leader_incarnation;
  int64_t vacant_since_ns; /* when a live leader was last known, or the row
                              last changed; candidates wait from then on */
  int64_t act_ns; /* when this instance may start to act as the leader */
  bool is_leader;
  bool token_refused; /* a server has seen a higher token */
  bool stopping;
  bool unable;     /* to do the task */
  kwf_handle_t op; /* write in flight; 0: none */
  bool op_resigns;
  int64_t op_sent_ns;
  uint64_t next_op;
  int64_t next_write_ns; /* no write before this time */

  int64_t confirmed_ns; /* when the last read or write that confirmed the row
                           was sent; 0: none */
  int64_t confirmed_revision;   /* revision of its reply */
  renewal_t renewals[RENEWALS]; /* in flight; the oldest is dropped */
  int n_renewals;               /* sent so far */
  int64_t renewal_sent_ns;      /* when the last one was sent */
  int64_t expiry_sent_ns; /* when the others were last notified that the lease
                             expired; 0: it is valid */
  bool leader_expired;    /* the leader reported that its lease expired */
  int64_t deadline_ns;
};

election_t *
election_new (const kwf_core_options_t *options, const char *name)
{
  election_t *election = g_new0 (election_t, 1);
  election->clock = options->clock;
  election->key = g_strconcat ("duty/", name, NULL);
  election->instance = g_strdup (options->instance);
  election->incarnation = options->incarnation;
  election->lease_ns = options->placement.lease_ns;
  if (options->placement.fencing_unchecked)
    election->leader_lease_ns = election->lease_ns / LEASE_DIVISOR;
  election->deadline_ns = INT64_MAX;
  return election;
}

void
election_free (election_t *election)
{
  if (!election)
    return;
  g_free (election->key);
  g_free (election->instance);
  g_free (election->leader);
  g_free (election);
}

int64_t
election_lease_end_ns (const election_t *election)
{
  if (!election->leader_lease_ns)
    return INT64_MAX;
  return election->confirmed_ns
             ? election->confirmed_ns + election->leader_lease_ns
             : 0;
}

/* Builds without eras use the version of the row as the token, so the era of a
   row that such a build wrote becomes the base: then its tokens and those of
   this build are in one order.  */
static int64_t
token_of (const election_t *election)
{
  int64_t era = revision_era (election->version) - election->base_era;
  return revision_make (MAX (era, 0), revision_version (election->version));
}

int64_t
election_token (const election_t *election)
{
  int64_t now_ns = kwf_now_ns (election->clock);
  return election->is_leader && !election->token_refused && !election->stopping
                 && now_ns >= election->act_ns
                 && now_ns < election_lease_end_ns (election)
             ? token_of (election)
             : 0;
}

const char *
election_leader (const election_t *election)
{
  return election->leader && *election->leader ? election->leader : NULL;
}

/* How long a new leader waits before it acts.  A former process of this
   instance counts as the same leader: its orders came from here.  Without
   token checks the wait is still needed then: the row may come from a write of
   that process that was carried out late, after another instance had
   acted.  */
static int64_t
successor_wait_ns (const election_t *election)
{
  bool same = g_strcmp0 (election->leader, election->instance) == 0;
  if (!election->version || (same && !election->leader_lease_ns))
    return 0;
  return election->lease_ns + election->leader_lease_ns;
}

static void
set_leader (election_t *election, int64_t version, const char *leader,
            uint64_t incarnation, kwf_effects_t *effects)
{
  bool was = election->is_leader;
  int64_t now_ns = kwf_now_ns (election->clock);
  int64_t act_ns = now_ns + successor_wait_ns (election);
  g_free (election->leader);
  election->leader = g_strdup (leader ? leader : "");
  election->leader_incarnation = incarnation;
  election->version = version;
  election->vacant_since_ns = now_ns;
  election->token_refused = false;
  election->leader_expired = false;
  election->expiry_sent_ns = 0;
  election->is_leader = g_strcmp0 (leader, election->instance) == 0
                        && incarnation == election->incarnation;
  if (election->is_leader == was)
    return;
  election->act_ns = act_ns;
  election->confirmed_ns = 0;
  memset (election->renewals, 0, sizeof election->renewals);
  kwf_effects_log (
      effects, 357, KWF_LOG_INFO, NULL,
      election->is_leader
          ? "this instance is the leader for %s, token %" PRId64
          : "this instance is not the leader for %s any more, token %" PRId64,
      election->key, token_of (election));
}

static void
apply_row (election_t *election, const kwf_row_t *row, kwf_effects_t *effects)
{
  if (row->version <= election->version)
    return;
  json_t *object = row->value ? json_loads (row->value, 0, NULL) : NULL;
  const char *leader
      = json_string_value (json_object_get (object, "instance"));
  json_int_t incarnation
      = json_integer_value (json_object_get (object, "incarnation"));
  const json_t *base = json_object_get (object, "base_era");
  if (row->value)
    election->base_era = json_is_integer (base)
                             ? (int64_t)json_integer_value (base)
                             : revision_era (row->version);
  set_leader (election, row->version, leader, (uint64_t)incarnation, effects);
  json_decref (object);
}

/* Write LEADER into the row; "": there is no leader, which resigns.  */
static void
write_row (election_t *election, const char *leader, kwf_effects_t *effects)
{
  json_t *object = json_pack ("{s:s,s:I,s:I}", "instance", leader,
                              "incarnation", (json_int_t)election->incarnation,
                              "base_era", election->base_era);
  election->op_base_era = election->base_era;
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *condition = (kwf_condition_t){ election->key, election->version };
  *put = (kwf_put_t){ election->key, kwf_effects_strdup (effects, text) };
  free (text);
  election->op = op_handle (OP_ELECTION, ++election->next_op);
  election->op_resigns = !*leader;
  election->op_sent_ns = kwf_now_ns (election->clock);
  election->next_write_ns
      = kwf_now_ns (election->clock) + TXN_TIMEOUT_NS + RETRY_NS;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = election->op;
  effect->store.timeout_ns = TXN_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){
    .conditions = condition, .n_conditions = 1, .puts = put, .n_puts = 1
  };
}

static void
handle_write_reply (election_t *election, const kwf_store_reply_t *reply,
                    kwf_effects_t *effects)
{
  election->op = 0;
  election->next_write_ns = kwf_now_ns (election->clock) + RETRY_NS;
  if (reply->outcome == KWF_STORE_COMMITTED)
    {
      election->base_era = election->op_base_era;
      set_leader (election, reply->revision,
                  election->op_resigns ? "" : election->instance,
                  election->incarnation, effects);
      election->confirmed_ns = election->op_sent_ns;
      election->confirmed_revision = reply->revision;
    }
  for (size_t i = 0; i < reply->n_conflicts; i++)
    if (strcmp (reply->conflicts[i].key, election->key) == 0)
      apply_row (election, &reply->conflicts[i], effects);
}

/* Read the rows to confirm that this instance is still the leader.  */
static void
send_renewal (election_t *election, int64_t now_ns, kwf_effects_t *effects)
{
  renewal_t *renewal = &election->renewals[election->n_renewals++ % RENEWALS];
  *renewal
      = (renewal_t){ op_handle (OP_ELECTION, ++election->next_op), now_ns };
  election->renewal_sent_ns = now_ns;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = renewal->op;
  effect->store.timeout_ns = election->leader_lease_ns;
  effect->store.txn = (kwf_txn_t){ .prefixes = prefixes,
                                   .n_prefixes = G_N_ELEMENTS (prefixes),
                                   .after = election->confirmed_revision };
}

static void
handle_renewal_reply (election_t *election, renewal_t *renewal,
                      const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  int64_t sent_ns = renewal->sent_ns;
  *renewal = (renewal_t){ 0 };
  if (reply->outcome != KWF_STORE_COMMITTED)
    return;
  for (size_t i = 0; i < reply->n_rows; i++)
    if (strcmp (reply->rows[i].key, election->key) == 0)
      apply_row (election, &reply->rows[i], effects);
  if (!election->is_leader)
    return;
  election->confirmed_ns = MAX (election->confirmed_ns, sent_ns);
  election->confirmed_revision
      = MAX (election->confirmed_revision, reply->revision);
  if (election->expiry_sent_ns)
    kwf_effects_log (
        effects, 367, KWF_LOG_INFO, NULL,
        "the table confirms the lease for %s again, token %" PRId64,
        election->key, token_of (election));
  election->expiry_sent_ns = 0;
}

/* The lease expired.  Notify the other instances: one of them may reach the
   table.  */
static void
notify_expired (election_t *election, const session_t *session, int64_t now_ns,
                kwf_effects_t *effects)
{
  if (election->expiry_sent_ns
      && now_ns - election->expiry_sent_ns < EXPIRED_REPEAT_NS)
    return;
  if (!election->expiry_sent_ns)
    kwf_effects_log (effects, 366, KWF_LOG_WARNING, NULL,
                     "no renewal of the lease for %s, token %" PRId64
                     ", for %" PRId64 " ms; no orders",
                     election->key, token_of (election),
                     (now_ns - election->confirmed_ns) / KWF_NS_PER_MS);
  election->expiry_sent_ns = now_ns;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    if (member.linked)
      session_send (member.instance, KWF_MSG_LEADERSHIP_EXPIRED, effects)
          ->leadership_expired
          = election->version;
}

/* Renew the leader's lease when it is due, notify the others if it has
   expired, and set the deadline.  */
static void
renew_lease (election_t *election, const session_t *session, int64_t now_ns,
             kwf_effects_t *effects)
{
  int64_t period_ns = election->leader_lease_ns / RENEWALS;
  if (now_ns - election->renewal_sent_ns >= period_ns
      && now_ns - election->confirmed_ns >= period_ns)
    send_renewal (election, now_ns, effects);
  int64_t until_ns = election_lease_end_ns (election);
  /* A new process has had no lease yet.  */
  if (election->confirmed_ns && now_ns >= until_ns)
    notify_expired (election, session, now_ns, effects);
  int64_t due_ns
      = MAX (election->renewal_sent_ns, election->confirmed_ns) + period_ns;
  if (election->expiry_sent_ns)
    due_ns = MIN (due_ns, election->expiry_sent_ns + EXPIRED_REPEAT_NS);
  else if (election->confirmed_ns)
    due_ns = MIN (due_ns, until_ns);
  election->deadline_ns = MAX (due_ns, now_ns);
}

void
election_handle_token_refusal (election_t *election, kwf_effects_t *effects)
{
  if (election->token_refused)
    return;
  election->token_refused = true;
  kwf_effects_log (effects, 361, KWF_LOG_WARNING, NULL,
                   "%s: a server has seen a higher token than %" PRId64,
                   election->key, token_of (election));
  /* A leader of a build whose tokens name the era itself came before.  */
  election->base_era = 0;
}

void
election_set_able (election_t *election, bool able)
{
  election->unable = !able;
}

void
election_resign (election_t *election, kwf_effects_t *effects)
{
  if (election->stopping)
    return;
  election->stopping = true;
  if (election->is_leader && !election->op)
    write_row (election, "", effects);
}

/* Rank of this instance among the live hubs, by name in descending order: the
   first hub by name reads the platform's tables for all (lib/fanout.h) and
   should not be the leader as well.  */
static int
own_rank (const election_t *election, const session_t *session)
{
  int rank = 0;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    rank += member.hub && session_member_live (session, &member)
            && !member.leaving
            && strcmp (member.instance, election->instance) > 0;
  return rank;
}

/* Whether there is a leader that is alive and has not reported that its lease
   expired.  */
static bool
has_live_leader (const election_t *election, const session_t *session)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  if (election->is_leader && !election->token_refused)
    return true;
  if (election->leader_expired)
    return false;
  while (session_next_member (session, &at, &member))
    if (g_strcmp0 (member.instance, election->leader) == 0)
      return session_member_live (session, &member);
  return false;
}

/* When this instance may write itself into the row.  */
static int64_t
candidacy_ns (const election_t *election, const session_t *session)
{
  bool own = g_strcmp0 (election->leader, election->instance) == 0;
  bool known_vacant
      = own || election->leader_expired || !election_leader (election);
  int rank = own ? 0 : own_rank (election, session);
  int slow = MAX (rank - FAST_RANKS, 0);
  int64_t rank_ns = (rank - slow) * RANK_NS + slow * SLOW_RANK_NS;
  return MAX (election->next_write_ns, election->vacant_since_ns
                                           + (known_vacant ? 0 : LINK_LOST_NS)
                                           + rank_ns);
}

/* Only a hub has the links that orders need.  Before the first election,
   instances that start together should know each other.  */
static bool
is_candidate (const election_t *election, const session_t *session)
{
  return session_is_hub (session, election->instance) && !election->unable
         && (election->version
             || session_age_ns (session) >= FIRST_ELECTION_NS);
}

static void
handle_leadership_expired (election_t *election, const kwf_peer_event_t *peer)
{
  if (peer->message->type == KWF_MSG_LEADERSHIP_EXPIRED
      && revision_version (peer->message->leadership_expired)
             == revision_version (election->version)
      && g_strcmp0 (peer->instance, election->leader) == 0)
    election->leader_expired = true;
}

void
election_step (election_t *election, session_t *session,
               const kwf_event_t *event, const session_changes_t *changes,
               kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (election->clock);
  for (size_t i = 0; changes->fresh && i < changes->n_rows; i++)
    if (strcmp (changes->rows[i].key, election->key) == 0)
      apply_row (election, &changes->rows[i], effects);
  if (event->type == KWF_EV_STORE_REPLY && event->store.op == election->op
      && election->op)
    handle_write_reply (election, &event->store.reply, effects);
  for (int i = 0; event->type == KWF_EV_STORE_REPLY && i < RENEWALS; i++)
    if (election->renewals[i].op
        && event->store.op == election->renewals[i].op)
      handle_renewal_reply (election, &election->renewals[i],
                            &event->store.reply, effects);
  if (event->type == KWF_EV_PEER_MESSAGE)
    handle_leadership_expired (election, &event->peer);
  election->deadline_ns = INT64_MAX;
  if (election->stopping || !session_revision (session))
    return;
  if (!election->version && !election->op)
    election->base_era = revision_era (session_revision (session));
  /* In a small fleet all instances are hubs.  This one may have become the
     leader then, and be no hub of the larger fleet.  */
  if (election->is_leader && !election->op
      && (election->unable || !session_is_hub (session, election->instance)))
    write_row (election, "", effects);
  if (!election->vacant_since_ns || has_live_leader (election, session))
    {
      election->vacant_since_ns = now_ns;
      election->deadline_ns
          = election->is_leader ? INT64_MAX : now_ns + LINK_LOST_NS;
      if (election->is_leader && !election->token_refused
          && election->leader_lease_ns)
        renew_lease (election, session, now_ns, effects);
      if (election->version)
        return;
    }
  if (!is_candidate (election, session))
    return;
  int64_t at_ns = candidacy_ns (election, session);
  if (election->op)
    return;
  if (now_ns >= at_ns)
    write_row (election, election->instance, effects);
  else
    election->deadline_ns = at_ns;
}

int64_t
election_next_tick_ns (const election_t *election)
{
  return election->deadline_ns;
}
