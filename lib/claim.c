#include "claim.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "claim-row.h"
#include "expiry.h"
#include "op.h"

/* A request is not sent under a claim that is older than this by the
   instance's own clock.  */
#define SEND_MAX_AGE_NS (5 * KWF_NS_PER_S)

/* Timeout of one transaction; a verdict takes at most twice as long.  */
#define TXN_TIMEOUT_NS (1500 * KWF_NS_PER_MS)

/* Delay between tries to write the last value of a row.  */
#define RETRY_NS KWF_NS_PER_S

/* Writing the last value of a row is given up after this time.  The row then
   stays "claimed", and requests with its key get CLAIM_UNKNOWN once this
   incarnation is gone.  */
#define GIVE_UP_NS (600 * KWF_NS_PER_S)

typedef enum
{
  CLAIM_INSERTING,    /* transaction under way, verdict open */
  CLAIM_HELD,         /* granted, not sent */
  CLAIM_SENT,         /* may have run */
  CLAIM_WRITING_FINAL /* the last value of the row is being written */
} claim_stage_t;

typedef struct
{
  kwf_handle_t request; /* 0: the request has ended */
  claim_stage_t stage;
  char *key; /* of the row */
  char id[CLAIM_ID_SIZE];
  int64_t version;     /* of the row; 0: no row is known */
  int64_t started_ns;  /* when the first transaction was sent */
  int64_t next_try_ns; /* time of the next try to write the row */
  int64_t ended_ns;
  int unanswered; /* consecutive inserts without a reply */
  kwf_handle_t op;
  bool op_inserts; /* the transaction under way inserts the claim */
  char *value;     /* text of the row that is being, or is to be, written */
} claim_t;

struct claims
{
  char *instance;
  uint64_t incarnation;
  const kwf_clock_t *clock;
  kwf_random_t *random;
  const session_t *session; /* of the last step */
  uint64_t next_op;
  GHashTable *by_key;     /* row key -> claim_t */
  GHashTable *by_request; /* request -> claim_t */
  expiry_t *expiry;
  GArray *results;  /* of claim_result_t, being collected */
  GArray *taken;    /* of claim_result_t, returned by claims_take_results */
  GPtrArray *texts; /* strings of results */
  GPtrArray *taken_texts;
};

static void
free_claim (void *data)
{
  claim_t *claim = data;
  g_free (claim->key);
  g_free (claim->value);
  g_free (claim);
}

claims_t *
claims_new (const kwf_core_options_t *options)
{
  claims_t *claims = g_new0 (claims_t, 1);
  claims->instance = g_strdup (options->instance);
  claims->incarnation = options->incarnation;
  claims->clock = options->clock;
  claims->random = options->random;
  claims->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_claim);
  claims->by_request = g_hash_table_new (g_int64_hash, g_int64_equal);
  claims->expiry = expiry_new ();
  claims->results = g_array_new (FALSE, TRUE, sizeof (claim_result_t));
  claims->taken = g_array_new (FALSE, TRUE, sizeof (claim_result_t));
  claims->texts = g_ptr_array_new_with_free_func (g_free);
  claims->taken_texts = g_ptr_array_new_with_free_func (g_free);
  return claims;
}

void
claims_free (claims_t *claims)
{
  if (!claims)
    return;
  g_free (claims->instance);
  g_hash_table_destroy (claims->by_request);
  g_hash_table_destroy (claims->by_key);
  expiry_free (claims->expiry);
  g_array_free (claims->results, TRUE);
  g_array_free (claims->taken, TRUE);
  g_ptr_array_free (claims->texts, TRUE);
  g_ptr_array_free (claims->taken_texts, TRUE);
  g_free (claims);
}

static void
add_result (claims_t *claims, kwf_handle_t request, claim_verdict_t verdict)
{
  claim_result_t result = { .request = request, .verdict = verdict };
  g_array_append_val (claims->results, result);
}

static claim_t *
find_claim_of_request (const claims_t *claims, kwf_handle_t request)
{
  return request ? g_hash_table_lookup (claims->by_request, &request) : NULL;
}

static void
detach_request (claims_t *claims, claim_t *claim)
{
  if (claim->request)
    g_hash_table_remove (claims->by_request, &claim->request);
  claim->request = 0;
}

static void
remove_claim (claims_t *claims, claim_t *claim)
{
  detach_request (claims, claim);
  g_hash_table_remove (claims->by_key, claim->key);
}

static void
set_value (claims_t *claims, claim_t *claim, const claim_row_t *row)
{
  claim_row_t full = *row;
  full.id = claim->id;
  full.instance = claims->instance;
  full.incarnation = claims->incarnation;
  full.at_ms = kwf_wall_ms (claims->clock);
  g_free (claim->value);
  claim->value = claim_row_write (&full);
}

/* Write the value of CLAIM if the row still has the version that is known.  */
static void
write_row (claims_t *claims, claim_t *claim, int64_t now_ns,
           kwf_effects_t *effects)
{
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  char *key = kwf_effects_strdup (effects, claim->key);
  *condition = (kwf_condition_t){ key, claim->version };
  *put = (kwf_put_t){ key, kwf_effects_strdup (effects, claim->value) };
  claim->op = op_handle (OP_CLAIM, ++claims->next_op);
  claim->op_inserts = claim->stage == CLAIM_INSERTING;
  claim->next_try_ns = now_ns + TXN_TIMEOUT_NS;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = claim->op;
  effect->store.timeout_ns = TXN_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){ .conditions = condition,
                                   .n_conditions = 1,
                                   .puts = put,
                                   .n_puts = 1,
                                   .after = 0 };
}

void
claims_begin (claims_t *claims, kwf_handle_t request, const char *organisation,
              const char *key, kwf_effects_t *effects)
{
  unsigned char digest[16];
  char hex[2 * sizeof digest + 1];
  if (claims->session && session_state (claims->session) != SESSION_VALID)
    {
      add_result (claims, request, CLAIM_UNAVAILABLE);
      return;
    }
  crypto_generichash (digest, sizeof digest, (const unsigned char *)key,
                      strlen (key), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  char *row_key = g_strdup_printf ("claim/%s/%s", organisation, hex);
  if (g_hash_table_contains (claims->by_key, row_key))
    {
      add_result (claims, request, CLAIM_IN_PROGRESS);
      g_free (row_key);
      return;
    }
  claim_t *claim = g_new0 (claim_t, 1);
  claim->request = request;
  claim->stage = CLAIM_INSERTING;
  claim->key = row_key;
  claim->started_ns = kwf_now_ns (claims->clock);
  unsigned char id[(CLAIM_ID_SIZE - 1) / 2];
  claims->random->ops->fill (claims->random, id, sizeof id);
  sodium_bin2hex (claim->id, sizeof claim->id, id, sizeof id);
  g_hash_table_insert (claims->by_key, claim->key, claim);
  g_hash_table_insert (claims->by_request, &claim->request, claim);
  set_value (claims, claim, &(claim_row_t){ .state = "claimed" });
  write_row (claims, claim, claim->started_ns, effects);
}

static void
end_claim (claims_t *claims, claim_t *claim, const claim_row_t *row,
           kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (claims->clock);
  detach_request (claims, claim);
  claim->stage = CLAIM_WRITING_FINAL;
  claim->ended_ns = now_ns;
  set_value (claims, claim, row);
  /* While the insert is under way, its reply decides how to go on.  */
  if (!claim->op)
    write_row (claims, claim, now_ns, effects);
}

static void
abandon (claims_t *claims, claim_t *claim, kwf_effects_t *effects)
{
  end_claim (claims, claim, &(claim_row_t){ .state = "abandoned" }, effects);
}

static void
grant (claims_t *claims, claim_t *claim, int64_t version)
{
  claim->version = version;
  claim->stage = CLAIM_HELD;
  add_result (claims, claim->request, CLAIM_GRANTED);
}

static void
add_stored_answer (claims_t *claims, claim_t *claim, claim_row_t *row)
{
  claim_result_t result = { .request = claim->request,
                            .verdict = CLAIM_DONE,
                            .status = row->status,
                            .content_type = g_strdup (row->content_type),
                            .body_size = row->body_size,
                            .body = row->body };
  row->body = NULL;
  g_ptr_array_add (claims->texts, (char *)result.content_type);
  g_ptr_array_add (claims->texts, (char *)result.body);
  g_array_append_val (claims->results, result);
}

/* Whether the instance named in ROW may still be running the request.  */
static bool
is_holder_live (const claims_t *claims, const session_t *session,
                const claim_row_t *row)
{
  /* The claims of this incarnation are in claims->by_key, so the row is of an
     earlier incarnation that did not end its claim.  */
  if (strcmp (row->instance, claims->instance) == 0)
    return false;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    {
      if (strcmp (member.instance, row->instance) == 0)
        return !member.expired && member.incarnation <= row->incarnation;
    }
  return false;
}

/* A row was found where the claim was to be inserted.  */
static void
handle_found (claims_t *claims, const session_t *session, claim_t *claim,
              const kwf_row_t *found, int64_t now_ns, kwf_effects_t *effects)
{
  claim_row_t row;
  if (!claim_row_read (found->value, &row))
    {
      kwf_effects_log (
          effects, 182, KWF_LOG_ERROR, NULL,
          "row %s is malformed; the outcome of its request is taken as "
          "unknown",
          found->key);
      add_result (claims, claim->request, CLAIM_UNKNOWN);
      remove_claim (claims, claim);
      return;
    }
  bool old
      = kwf_wall_ms (claims->clock) - row.at_ms > EXPIRY_NS / KWF_NS_PER_MS;
  if (strcmp (row.id, claim->id) == 0)
    grant (claims, claim, found->version);
  else if (strcmp (row.state, "abandoned") == 0 || old)
    {
      claim->version = found->version;
      write_row (claims, claim, now_ns, effects);
    }
  else
    {
      if (strcmp (row.state, "done") == 0)
        add_stored_answer (claims, claim, &row);
      else if (strcmp (row.state, "claimed") == 0
               && is_holder_live (claims, session, &row))
        add_result (claims, claim->request, CLAIM_IN_PROGRESS);
      else
        add_result (claims, claim->request, CLAIM_UNKNOWN);
      remove_claim (claims, claim);
    }
  claim_row_clear (&row);
}

static const kwf_row_t *
find_conflict (const kwf_store_reply_t *reply, const char *key)
{
  for (size_t i = 0; i < reply->n_conflicts; i++)
    if (strcmp (reply->conflicts[i].key, key) == 0)
      return &reply->conflicts[i];
  return NULL;
}

/* The insert got no reply: send it once more with the same claim id.  A
   conflict then shows the row, this claim's or another's; a commit grants the
   claim.  */
static void
handle_unanswered_insert (claims_t *claims, claim_t *claim, int64_t now_ns,
                          kwf_effects_t *effects)
{
  claim->op = 0;
  if (++claim->unanswered < 2)
    {
      write_row (claims, claim, now_ns, effects);
      return;
    }
  add_result (claims, claim->request, CLAIM_UNAVAILABLE);
  kwf_effects_log (effects, 180, KWF_LOG_WARNING, NULL,
                   "outcome of claim %s is not known; the request is "
                   "rejected and the claim will be abandoned",
                   claim->key);
  abandon (claims, claim, effects);
}

static void
handle_insert_reply (claims_t *claims, const session_t *session,
                     claim_t *claim, const kwf_store_reply_t *reply,
                     int64_t now_ns, kwf_effects_t *effects)
{
  const kwf_row_t *found = find_conflict (reply, claim->key);
  if (reply->outcome == KWF_STORE_COMMITTED
      || reply->outcome == KWF_STORE_CONFLICT)
    claim->unanswered = 0;
  if (reply->outcome == KWF_STORE_COMMITTED)
    grant (claims, claim, reply->revision);
  else if (reply->outcome == KWF_STORE_CONFLICT && found && found->value)
    handle_found (claims, session, claim, found, now_ns, effects);
  else if (reply->outcome == KWF_STORE_CONFLICT)
    {
      /* The row that was to be replaced is gone.  */
      claim->version = 0;
      write_row (claims, claim, now_ns, effects);
    }
  else if (reply->outcome == KWF_STORE_FAILED && !claim->unanswered)
    {
      add_result (claims, claim->request, CLAIM_UNAVAILABLE);
      remove_claim (claims, claim);
    }
  else
    handle_unanswered_insert (claims, claim, now_ns, effects);
}

/* Whether FOUND is still the row of CLAIM.  *ENDED: the row, whichever claim
   it belongs to, is not in the state "claimed" but has its final value.  */
static bool
is_row_of_claim (const claim_t *claim, const kwf_row_t *found, bool *ended)
{
  claim_row_t row;
  if (!found || !found->value || !claim_row_read (found->value, &row))
    return false;
  bool own = strcmp (row.id, claim->id) == 0;
  *ended = strcmp (row.state, "claimed") != 0;
  claim_row_clear (&row);
  return own;
}

/* The last value of a row was not written, as FOUND was there instead.  */
static void
handle_end_conflict (claims_t *claims, claim_t *claim, const kwf_row_t *found,
                     int64_t now_ns, kwf_effects_t *effects)
{
  bool ended = false;
  bool absent = found && !found->value;
  bool own = is_row_of_claim (claim, found, &ended);
  if (absent || (own && !ended))
    {
      claim->version = absent ? 0 : found->version;
      write_row (claims, claim, now_ns, effects);
      return;
    }
  /* The last value was written, but the reply was lost; or the row belongs to
     another claim by now.  */
  if (own)
    expiry_add (claims->expiry, claim->key, found->version, now_ns, effects);
  remove_claim (claims, claim);
}

static void
handle_end_reply (claims_t *claims, claim_t *claim,
                  const kwf_store_reply_t *reply, int64_t now_ns,
                  kwf_effects_t *effects)
{
  if (reply->outcome == KWF_STORE_CONFLICT)
    handle_end_conflict (claims, claim, find_conflict (reply, claim->key),
                         now_ns, effects);
  else if (reply->outcome == KWF_STORE_COMMITTED && claim->op_inserts)
    {
      claim->version = reply->revision;
      write_row (claims, claim, now_ns, effects);
    }
  else if (reply->outcome == KWF_STORE_COMMITTED)
    {
      expiry_add (claims->expiry, claim->key, reply->revision, now_ns,
                  effects);
      remove_claim (claims, claim);
    }
  else if (reply->outcome == KWF_STORE_FAILED && claim->op_inserts
           && !claim->unanswered)
    remove_claim (claims, claim);
  else
    claim->next_try_ns = now_ns + RETRY_NS;
}

static bool
handle_reply (claims_t *claims, const session_t *session,
              const kwf_event_t *event, int64_t now_ns, kwf_effects_t *effects)
{
  if (op_owner (event->store.op) != OP_CLAIM)
    return false;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, claims->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      claim_t *claim = value;
      if (claim->op != event->store.op)
        continue;
      claim->op = 0;
      const kwf_store_reply_t *reply = &event->store.reply;
      if (claim->stage == CLAIM_INSERTING)
        handle_insert_reply (claims, session, claim, reply, now_ns, effects);
      else
        handle_end_reply (claims, claim, reply, now_ns, effects);
      break;
    }
  return true;
}

static void
retry_claims (claims_t *claims, int64_t now_ns, kwf_effects_t *effects)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, claims->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      claim_t *claim = value;
      if (now_ns < claim->next_try_ns)
        continue;
      if (claim->stage == CLAIM_INSERTING)
        handle_unanswered_insert (claims, claim, now_ns, effects);
      else if (claim->stage != CLAIM_WRITING_FINAL)
        continue;
      else if (now_ns - claim->ended_ns < GIVE_UP_NS)
        write_row (claims, claim, now_ns, effects);
      else
        {
          kwf_effects_log (
              effects, 181, KWF_LOG_ERROR, NULL,
              "the last value of the row of claim %s could not be stored",
              claim->key);
          g_hash_table_iter_remove (&iter);
        }
    }
}

bool
claims_step (claims_t *claims, const session_t *session,
             const kwf_event_t *event, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (claims->clock);
  claims->session = session;
  bool own = event->type == KWF_EV_STORE_REPLY
             && handle_reply (claims, session, event, now_ns, effects);
  retry_claims (claims, now_ns, effects);
  kwf_handle_t op = op_handle (OP_CLAIM, claims->next_op + 1);
  claims->next_op += expiry_run (claims->expiry, op, now_ns, effects);
  return own;
}

const claim_result_t *
claims_take_results (claims_t *claims, size_t *count)
{
  GArray *list = claims->results;
  GPtrArray *texts = claims->texts;
  claims->results = claims->taken;
  claims->texts = claims->taken_texts;
  claims->taken = list;
  claims->taken_texts = texts;
  g_array_set_size (claims->results, 0);
  g_ptr_array_set_size (claims->texts, 0);
  *count = list->len;
  return (const claim_result_t *)(void *)list->data;
}

bool
claims_mark_sent (claims_t *claims, kwf_handle_t request,
                  kwf_effects_t *effects)
{
  claim_t *claim = find_claim_of_request (claims, request);
  if (!claim || claim->stage != CLAIM_HELD)
    return false;
  if (kwf_now_ns (claims->clock) - claim->started_ns > SEND_MAX_AGE_NS)
    {
      abandon (claims, claim, effects);
      return false;
    }
  claim->stage = CLAIM_SENT;
  return true;
}

void
claims_store_answer (claims_t *claims, kwf_handle_t request, int status,
                     const char *content_type, const char *body,
                     size_t body_size, kwf_effects_t *effects)
{
  claim_t *claim = find_claim_of_request (claims, request);
  if (!claim || claim->stage != CLAIM_SENT)
    return;
  end_claim (claims, claim,
             &(claim_row_t){ .state = "done",
                             .status = status,
                             .content_type = content_type,
                             .body = body,
                             .body_size = body_size },
             effects);
}

void
claims_mark_unknown (claims_t *claims, kwf_handle_t request,
                     kwf_effects_t *effects)
{
  claim_t *claim = find_claim_of_request (claims, request);
  if (claim && claim->stage == CLAIM_SENT)
    end_claim (claims, claim, &(claim_row_t){ .state = "unknown" }, effects);
}

void
claims_abandon (claims_t *claims, kwf_handle_t request, kwf_effects_t *effects)
{
  claim_t *claim = find_claim_of_request (claims, request);
  if (claim)
    abandon (claims, claim, effects);
}

int64_t
claims_next_tick_ns (const claims_t *claims)
{
  int64_t next_tick_ns = expiry_next_tick_ns (claims->expiry);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, claims->by_key);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const claim_t *claim = value;
      if (claim->stage == CLAIM_INSERTING
          || claim->stage == CLAIM_WRITING_FINAL)
        next_tick_ns = MIN (next_tick_ns, claim->next_try_ns);
    }
  return next_tick_ns;
}
