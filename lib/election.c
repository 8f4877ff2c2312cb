#include "election.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "op.h"

/* A holder whose link is down for this long is replaced.  */
#define ABSENT_NS (1500 * KWF_NS_PER_MS)
/* The first holder of all begins this long after its start.  */
#define FIRST_NS (3 * KWF_NS_PER_S)
/* Candidates try one after the other: the first ones soon, the others only
   when none of these reached the table.  */
#define RANK_NS (150 * KWF_NS_PER_MS)
#define NEAR_RANKS 4
#define FAR_RANK_NS (2 * KWF_NS_PER_S)
#define TXN_TIMEOUT_NS (1 * KWF_NS_PER_S)
/* Pause after a write that did not succeed.  */
#define AGAIN_NS (500 * KWF_NS_PER_MS)
/* Part of the lease during which a proof holds, and proofs asked for in that
   time, so that one lost answer does not end the right.  */
#define PROOF_PART 2
#define PROOFS 3
/* A holder whose right ended says so this often.  */
#define LAPSED_NS (500 * KWF_NS_PER_MS)

static const char *const prefixes[] = { "duty/" };

/* A question to the table whether the row is still this instance's.  */
typedef struct
{
  kwf_handle_t op; /* 0: none */
  int64_t sent_ns;
} question_t;

struct duty
{
  const kwf_clock_t *clock;
  char *key; /* of the row */
  char *instance;
  uint64_t incarnation;
  int64_t lease_ns;
  int64_t proof_ns; /* how long a proof holds; 0: no proof is needed */

  int64_t version; /* of the row; 0: absent */
  char *holder;    /* NULL or "": nobody */
  uint64_t holder_incarnation;
  int64_t seen_ns; /* holder last known to be there */
  int64_t act_ns;  /* this instance may act from then on */
  bool mine;
  bool refused; /* a higher token was used than this one */
  bool stopping;
  kwf_handle_t op; /* write under way; 0: none */
  bool op_releases;
  int64_t op_sent_ns;
  uint64_t next_op;
  int64_t next_ns; /* no write before */

  int64_t proved_ns; /* sending of the last question that was answered
                        with the row unchanged; 0: none */
  int64_t proved_at; /* revision of that answer */
  question_t questions[PROOFS]; /* under way, the oldest is dropped */
  int n_questions;              /* asked so far */
  int64_t asked_ns;             /* last one */
  int64_t lapsed_ns;  /* others were told last that the right ended; 0: it
                         holds */
  bool holder_lapsed; /* the holder told that its right ended */
  int64_t deadline_ns;
};

election_t *
election_new (const kwf_core_options_t *options, const char *name)
{
  election_t *duty = g_new0 (election_t, 1);
  duty->clock = options->clock;
  duty->key = g_strconcat ("duty/", name, NULL);
  duty->instance = g_strdup (options->instance);
  duty->incarnation = options->incarnation;
  duty->lease_ns = options->placement.lease_ns;
  if (options->placement.fencing_unchecked)
    duty->proof_ns = duty->lease_ns / PROOF_PART;
  duty->deadline_ns = INT64_MAX;
  return duty;
}

void
election_free (election_t *duty)
{
  if (!duty)
    return;
  g_free (duty->key);
  g_free (duty->instance);
  g_free (duty->holder);
  g_free (duty);
}

int64_t
election_lease_end_ns (const election_t *duty)
{
  if (!duty->proof_ns)
    return INT64_MAX;
  return duty->proved_ns ? duty->proved_ns + duty->proof_ns : 0;
}

int64_t
election_token (const election_t *duty)
{
  int64_t now_ns = kwf_now_ns (duty->clock);
  return duty->mine && !duty->refused && !duty->stopping
                 && now_ns >= duty->act_ns
                 && now_ns < election_lease_end_ns (duty)
             ? duty->version
             : 0;
}

const char *
election_leader (const election_t *duty)
{
  return duty->holder && *duty->holder ? duty->holder : NULL;
}

/* What a new holder waits before it acts.  The process before this one sent
   its orders from the same instance, which counts as the same holder; but its
   row may be a write that was carried out late, while another one acted.  */
static int64_t
wait_ns (const election_t *duty)
{
  bool same = g_strcmp0 (duty->holder, duty->instance) == 0;
  if (!duty->version || (same && !duty->proof_ns))
    return 0;
  return duty->lease_ns + duty->proof_ns;
}

static void
set_holder (election_t *duty, int64_t version, const char *holder,
            uint64_t incarnation, kwf_effects_t *effects)
{
  bool was = duty->mine;
  int64_t now_ns = kwf_now_ns (duty->clock);
  int64_t act_ns = now_ns + wait_ns (duty);
  g_free (duty->holder);
  duty->holder = g_strdup (holder ? holder : "");
  duty->holder_incarnation = incarnation;
  duty->version = version;
  duty->seen_ns = now_ns;
  duty->refused = false;
  duty->holder_lapsed = false;
  duty->lapsed_ns = 0;
  duty->mine = g_strcmp0 (holder, duty->instance) == 0
               && incarnation == duty->incarnation;
  if (duty->mine == was)
    return;
  duty->act_ns = act_ns;
  duty->proved_ns = 0;
  memset (duty->questions, 0, sizeof duty->questions);
  kwf_effects_log (effects, 357, KWF_LOG_INFO, NULL,
                   duty->mine ? "this instance has %s, token %" PRId64
                              : "another instance has %s, token %" PRId64,
                   duty->key, version);
}

static void
take_row (election_t *duty, const kwf_row_t *row, kwf_effects_t *effects)
{
  if (row->version <= duty->version)
    return;
  json_t *object = row->value ? json_loads (row->value, 0, NULL) : NULL;
  const char *holder
      = json_string_value (json_object_get (object, "instance"));
  json_int_t incarnation
      = json_integer_value (json_object_get (object, "incarnation"));
  set_holder (duty, row->version, holder, (uint64_t)incarnation, effects);
  json_decref (object);
}

static void
write_row (election_t *duty, const char *holder, kwf_effects_t *effects)
{
  json_t *object = json_pack ("{s:s,s:I}", "instance", holder, "incarnation",
                              (json_int_t)duty->incarnation);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *condition = (kwf_condition_t){ duty->key, duty->version };
  *put = (kwf_put_t){ duty->key, kwf_effects_strdup (effects, text) };
  free (text);
  duty->op = op_handle (OP_ELECTION, ++duty->next_op);
  duty->op_releases = !*holder;
  duty->op_sent_ns = kwf_now_ns (duty->clock);
  duty->next_ns = kwf_now_ns (duty->clock) + TXN_TIMEOUT_NS + AGAIN_NS;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = duty->op;
  effect->store.timeout_ns = TXN_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){
    .conditions = condition, .n_conditions = 1, .puts = put, .n_puts = 1
  };
}

static void
take_reply (election_t *duty, const kwf_store_reply_t *reply,
            kwf_effects_t *effects)
{
  duty->op = 0;
  duty->next_ns = kwf_now_ns (duty->clock) + AGAIN_NS;
  if (reply->outcome == KWF_STORE_COMMITTED)
    {
      set_holder (duty, reply->revision,
                  duty->op_releases ? "" : duty->instance, duty->incarnation,
                  effects);
      duty->proved_ns = duty->op_sent_ns;
      duty->proved_at = reply->revision;
    }
  for (size_t i = 0; i < reply->n_conflicts; i++)
    if (strcmp (reply->conflicts[i].key, duty->key) == 0)
      take_row (duty, &reply->conflicts[i], effects);
}

/* Ask the table whether the row is still this instance's.  */
static void
ask_proof (election_t *duty, int64_t now_ns, kwf_effects_t *effects)
{
  question_t *question = &duty->questions[duty->n_questions++ % PROOFS];
  *question = (question_t){ op_handle (OP_ELECTION, ++duty->next_op), now_ns };
  duty->asked_ns = now_ns;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = question->op;
  effect->store.timeout_ns = duty->proof_ns;
  effect->store.txn = (kwf_txn_t){ .prefixes = prefixes,
                                   .n_prefixes = G_N_ELEMENTS (prefixes),
                                   .after = duty->proved_at };
}

static void
take_proof (election_t *duty, question_t *question,
            const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  int64_t sent_ns = question->sent_ns;
  *question = (question_t){ 0 };
  if (reply->outcome != KWF_STORE_COMMITTED)
    return;
  for (size_t i = 0; i < reply->n_rows; i++)
    if (strcmp (reply->rows[i].key, duty->key) == 0)
      take_row (duty, &reply->rows[i], effects);
  if (!duty->mine)
    return;
  duty->proved_ns = MAX (duty->proved_ns, sent_ns);
  duty->proved_at = MAX (duty->proved_at, reply->revision);
  if (duty->lapsed_ns)
    kwf_effects_log (effects, 367, KWF_LOG_INFO, NULL,
                     "the table proves %s again, token %" PRId64, duty->key,
                     duty->version);
  duty->lapsed_ns = 0;
}

/* The right ended without a proof; another instance may reach the table.  */
static void
tell_lapsed (election_t *duty, const session_t *session, int64_t now_ns,
             kwf_effects_t *effects)
{
  if (duty->lapsed_ns && now_ns - duty->lapsed_ns < LAPSED_NS)
    return;
  if (!duty->lapsed_ns)
    kwf_effects_log (
        effects, 366, KWF_LOG_WARNING, NULL,
        "no proof of %s, token %" PRId64 ", for %" PRId64 " ms; no orders",
        duty->key, duty->version, (now_ns - duty->proved_ns) / KWF_NS_PER_MS);
  duty->lapsed_ns = now_ns;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    if (member.linked)
      session_send (member.instance, KWF_MSG_LEADERSHIP_EXPIRED, effects)
          ->leadership_expired
          = duty->version;
}

/* Keep the proof of the holder's right fresh.  */
static void
run_proof (election_t *duty, const session_t *session, int64_t now_ns,
           kwf_effects_t *effects)
{
  int64_t period_ns = duty->proof_ns / PROOFS;
  if (now_ns - duty->asked_ns >= period_ns
      && now_ns - duty->proved_ns >= period_ns)
    ask_proof (duty, now_ns, effects);
  int64_t until_ns = election_lease_end_ns (duty);
  /* A process that begins has no proof yet.  */
  if (duty->proved_ns && now_ns >= until_ns)
    tell_lapsed (duty, session, now_ns, effects);
  int64_t next_ns = MAX (duty->asked_ns, duty->proved_ns) + period_ns;
  if (duty->lapsed_ns)
    next_ns = MIN (next_ns, duty->lapsed_ns + LAPSED_NS);
  else if (duty->proved_ns)
    next_ns = MIN (next_ns, until_ns);
  duty->deadline_ns = MAX (next_ns, now_ns);
}

void
election_token_refused (election_t *duty, kwf_effects_t *effects)
{
  if (duty->refused)
    return;
  duty->refused = true;
  kwf_effects_log (effects, 361, KWF_LOG_WARNING, NULL,
                   "%s: a higher token than %" PRId64 " was used", duty->key,
                   duty->version);
}

void
election_resign (election_t *duty, kwf_effects_t *effects)
{
  if (duty->stopping)
    return;
  duty->stopping = true;
  if (duty->mine && !duty->op)
    write_row (duty, "", effects);
}

/* Place of this instance among the live ones, by name from the last: the first
   one reads the tables for all (lib/follower.h).  */
static int
rank_of (const election_t *duty, const session_t *session)
{
  int rank = 0;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    rank += member.hub && session_member_live (session, &member)
            && !member.leaving && strcmp (member.instance, duty->instance) > 0;
  return rank;
}

/* Whether the holder is another instance that is there.  */
static bool
is_held (const election_t *duty, const session_t *session)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  if (duty->mine && !duty->refused)
    return true;
  if (duty->holder_lapsed)
    return false;
  while (session_next_member (session, &at, &member))
    if (g_strcmp0 (member.instance, duty->holder) == 0)
      return session_member_live (session, &member);
  return false;
}

/* When this instance may take the duty.  */
static int64_t
take_at_ns (const election_t *duty, const session_t *session)
{
  bool own = g_strcmp0 (duty->holder, duty->instance) == 0;
  bool told = own || duty->holder_lapsed || !election_leader (duty);
  int rank = own ? 0 : rank_of (duty, session);
  int far = MAX (rank - NEAR_RANKS, 0);
  int64_t turn_ns = (rank - far) * RANK_NS + far * FAR_RANK_NS;
  return MAX (duty->next_ns, duty->seen_ns + (told ? 0 : ABSENT_NS) + turn_ns);
}

/* Only a hub has the links that orders need.  Before anybody has held the
   duty, the members that start together are to be known first.  */
static bool
is_candidate (const election_t *duty, const session_t *session)
{
  return session_is_hub (session, duty->instance)
         && (duty->version || session_age_ns (session) >= FIRST_NS);
}

static void
take_lapsed (election_t *duty, const kwf_peer_event_t *peer)
{
  if (peer->message->type == KWF_MSG_LEADERSHIP_EXPIRED
      && peer->message->leadership_expired == duty->version
      && g_strcmp0 (peer->instance, duty->holder) == 0)
    duty->holder_lapsed = true;
}

void
election_step (election_t *duty, session_t *session, const kwf_event_t *event,
               const session_changes_t *news, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (duty->clock);
  for (size_t i = 0; news->fresh && i < news->n_rows; i++)
    if (strcmp (news->rows[i].key, duty->key) == 0)
      take_row (duty, &news->rows[i], effects);
  if (event->type == KWF_EV_STORE_REPLY && event->store.op == duty->op
      && duty->op)
    take_reply (duty, &event->store.reply, effects);
  for (int i = 0; event->type == KWF_EV_STORE_REPLY && i < PROOFS; i++)
    if (duty->questions[i].op && event->store.op == duty->questions[i].op)
      take_proof (duty, &duty->questions[i], &event->store.reply, effects);
  if (event->type == KWF_EV_PEER_MESSAGE)
    take_lapsed (duty, &event->peer);
  duty->deadline_ns = INT64_MAX;
  if (duty->stopping || !session_revision (session))
    return;
  /* Taken while the fleet looked small.  */
  if (duty->mine && !duty->op && !session_is_hub (session, duty->instance))
    write_row (duty, "", effects);
  if (!duty->seen_ns || is_held (duty, session))
    {
      duty->seen_ns = now_ns;
      duty->deadline_ns = duty->mine ? INT64_MAX : now_ns + ABSENT_NS;
      if (duty->mine && !duty->refused && duty->proof_ns)
        run_proof (duty, session, now_ns, effects);
      if (duty->version)
        return;
    }
  if (!is_candidate (duty, session))
    return;
  int64_t at_ns = take_at_ns (duty, session);
  if (duty->op)
    return;
  if (now_ns >= at_ns)
    write_row (duty, duty->instance, effects);
  else
    duty->deadline_ns = at_ns;
}

int64_t
election_deadline_ns (const election_t *duty)
{
  return duty->deadline_ns;
}
