#include "claim.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#include "claim-row.h"
#include "expiry.h"
#include "op.h"

/* A claim older than this is not sent, by the instance's own clock.  */
#define SEND_NS (5 * KWF_NS_PER_S)

/* Time for one transaction; twice this is the longest wait for a verdict.  */
#define TIMEOUT_NS (1500 * KWF_NS_PER_MS)

/* Between attempts to write the end of a claim.  */
#define RETRY_NS KWF_NS_PER_S

/* An ended claim whose row cannot be written is given up after this; the
   row then stays "claimed" and is answered "unknown" once this incarnation
   is gone.  */
#define GIVE_UP_NS (600 * KWF_NS_PER_S)

typedef enum
{
  CLAIM_INSERTING, /* transaction under way, verdict open */
  CLAIM_HELD,      /* granted, not sent */
  CLAIM_SENT,      /* may have run */
  CLAIM_ENDING     /* the row gets its last value */
} claim_stage_t;

typedef struct
{
  kwf_handle_t request; /* 0: the request is gone */
  claim_stage_t stage;
  char *key; /* of the row */
  char id[CLAIM_ID_SIZE];
  int64_t version;    /* of the row; 0: absent as far as is known */
  int64_t started_ns; /* first transaction sent */
  int64_t next_ns;    /* next attempt */
  int64_t ended_ns;
  int unanswered; /* inserts without an answer in a row */
  kwf_handle_t op;
  bool op_inserts; /* the transaction under way makes the claim */
  char *value;     /* row in the transaction under way, or to be written */
} item_t;

struct claims
{
  char *instance;
  uint64_t incarnation;
  const kwf_clock_t *clock;
  kwf_random_t *random;
  const session_t *session; /* of the last step */
  uint64_t next_op;
  GHashTable *items;      /* row key -> item_t */
  GHashTable *by_request; /* request -> item_t */
  expiry_t *expiry;
  GArray *results;  /* of claim_result_t, being collected */
  GArray *taken;    /* of claim_result_t, handed out */
  GPtrArray *texts; /* strings of results */
  GPtrArray *taken_texts;
};

static void
free_item (void *data)
{
  item_t *item = data;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

claims_t *
claims_new (const kwf_core_options_t *options)
{
  claims_t *claims = g_new0 (claims_t, 1);
  claims->instance = g_strdup (options->instance);
  claims->incarnation = options->incarnation;
  claims->clock = options->clock;
  claims->random = options->random;
  claims->items
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_item);
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
  g_hash_table_destroy (claims->items);
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

static item_t *
find_request (const claims_t *claims, kwf_handle_t request)
{
  return request ? g_hash_table_lookup (claims->by_request, &request) : NULL;
}

static void
drop_request (claims_t *claims, item_t *item)
{
  if (item->request)
    g_hash_table_remove (claims->by_request, &item->request);
  item->request = 0;
}

static void
remove_item (claims_t *claims, item_t *item)
{
  drop_request (claims, item);
  g_hash_table_remove (claims->items, item->key);
}

static void
set_value (claims_t *claims, item_t *item, const claim_row_t *row)
{
  claim_row_t full = *row;
  full.id = item->id;
  full.instance = claims->instance;
  full.incarnation = claims->incarnation;
  full.at_ms = kwf_wall_ms (claims->clock);
  g_free (item->value);
  item->value = claim_row_write (&full);
}

/* Write the item's value where the row has the version that is known.  */
static void
write_row (claims_t *claims, item_t *item, int64_t now_ns,
           kwf_effects_t *effects)
{
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  char *key = kwf_effects_strdup (effects, item->key);
  *condition = (kwf_condition_t){ key, item->version };
  *put = (kwf_put_t){ key, kwf_effects_strdup (effects, item->value) };
  item->op = op_handle (OP_CLAIM, ++claims->next_op);
  item->op_inserts = item->stage == CLAIM_INSERTING;
  item->next_ns = now_ns + TIMEOUT_NS;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = item->op;
  effect->store.timeout_ns = TIMEOUT_NS;
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
  if (g_hash_table_contains (claims->items, row_key))
    {
      add_result (claims, request, CLAIM_IN_PROGRESS);
      g_free (row_key);
      return;
    }
  item_t *item = g_new0 (item_t, 1);
  item->request = request;
  item->stage = CLAIM_INSERTING;
  item->key = row_key;
  item->started_ns = kwf_now_ns (claims->clock);
  unsigned char id[(CLAIM_ID_SIZE - 1) / 2];
  claims->random->ops->fill (claims->random, id, sizeof id);
  sodium_bin2hex (item->id, sizeof item->id, id, sizeof id);
  g_hash_table_insert (claims->items, item->key, item);
  g_hash_table_insert (claims->by_request, &item->request, item);
  set_value (claims, item, &(claim_row_t){ .state = "claimed" });
  write_row (claims, item, item->started_ns, effects);
}

static void
end_item (claims_t *claims, item_t *item, const claim_row_t *row,
          kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (claims->clock);
  drop_request (claims, item);
  item->stage = CLAIM_ENDING;
  item->ended_ns = now_ns;
  set_value (claims, item, row);
  /* While the insert is under way its answer decides how to go on.  */
  if (!item->op)
    write_row (claims, item, now_ns, effects);
}

static void
abandon (claims_t *claims, item_t *item, kwf_effects_t *effects)
{
  end_item (claims, item, &(claim_row_t){ .state = "abandoned" }, effects);
}

static void
grant (claims_t *claims, item_t *item, int64_t version)
{
  item->version = version;
  item->stage = CLAIM_HELD;
  add_result (claims, item->request, CLAIM_GRANTED);
}

static void
add_done (claims_t *claims, item_t *item, claim_row_t *row)
{
  claim_result_t result = { .request = item->request,
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

/* Whether the holder named in ROW may still be running the call.  */
static bool
is_holder_live (const claims_t *claims, const session_t *session,
                const claim_row_t *row)
{
  /* Calls of this incarnation are in the items, so it was never ended.  */
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
take_found (claims_t *claims, const session_t *session, item_t *item,
            const kwf_row_t *found, int64_t now_ns, kwf_effects_t *effects)
{
  claim_row_t row;
  if (!claim_row_read (found->value, &row))
    {
      kwf_effects_log (effects, 182, KWF_LOG_ERROR, NULL,
                       "row %s is malformed; taken as unknown", found->key);
      add_result (claims, item->request, CLAIM_UNKNOWN);
      remove_item (claims, item);
      return;
    }
  bool old
      = kwf_wall_ms (claims->clock) - row.at_ms > EXPIRY_NS / KWF_NS_PER_MS;
  if (strcmp (row.id, item->id) == 0)
    grant (claims, item, found->version);
  else if (strcmp (row.state, "abandoned") == 0 || old)
    {
      item->version = found->version;
      write_row (claims, item, now_ns, effects);
    }
  else
    {
      if (strcmp (row.state, "done") == 0)
        add_done (claims, item, &row);
      else if (strcmp (row.state, "claimed") == 0
               && is_holder_live (claims, session, &row))
        add_result (claims, item->request, CLAIM_IN_PROGRESS);
      else
        add_result (claims, item->request, CLAIM_UNKNOWN);
      remove_item (claims, item);
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

/* No answer to an insert: it is sent once more with the same claim id.  A
   conflict then shows the row, ours or another's; a commit is as good.  */
static void
take_open_insert (claims_t *claims, item_t *item, int64_t now_ns,
                  kwf_effects_t *effects)
{
  item->op = 0;
  if (++item->unanswered < 2)
    {
      write_row (claims, item, now_ns, effects);
      return;
    }
  add_result (claims, item->request, CLAIM_UNAVAILABLE);
  kwf_effects_log (effects, 180, KWF_LOG_WARNING, NULL,
                   "outcome of claim %s is not known; the request is "
                   "rejected and the claim will be abandoned",
                   item->key);
  abandon (claims, item, effects);
}

static void
take_insert_reply (claims_t *claims, const session_t *session, item_t *item,
                   const kwf_store_reply_t *reply, int64_t now_ns,
                   kwf_effects_t *effects)
{
  const kwf_row_t *found = find_conflict (reply, item->key);
  if (reply->outcome == KWF_STORE_COMMITTED
      || reply->outcome == KWF_STORE_CONFLICT)
    item->unanswered = 0;
  if (reply->outcome == KWF_STORE_COMMITTED)
    grant (claims, item, reply->revision);
  else if (reply->outcome == KWF_STORE_CONFLICT && found && found->value)
    take_found (claims, session, item, found, now_ns, effects);
  else if (reply->outcome == KWF_STORE_CONFLICT)
    {
      /* The row that was to be replaced is gone.  */
      item->version = 0;
      write_row (claims, item, now_ns, effects);
    }
  else if (reply->outcome == KWF_STORE_FAILED && !item->unanswered)
    {
      add_result (claims, item->request, CLAIM_UNAVAILABLE);
      remove_item (claims, item);
    }
  else
    take_open_insert (claims, item, now_ns, effects);
}

/* Whether the row found is still this claim's to change.  */
static bool
is_own (const item_t *item, const kwf_row_t *found, bool *ended)
{
  claim_row_t row;
  if (!found || !found->value || !claim_row_read (found->value, &row))
    return false;
  bool own = strcmp (row.id, item->id) == 0;
  *ended = strcmp (row.state, "claimed") != 0;
  claim_row_clear (&row);
  return own;
}

/* The row of an ended claim was found to be FOUND.  */
static void
take_end_conflict (claims_t *claims, item_t *item, const kwf_row_t *found,
                   int64_t now_ns, kwf_effects_t *effects)
{
  bool ended = false;
  bool absent = found && !found->value;
  bool own = is_own (item, found, &ended);
  if (absent || (own && !ended))
    {
      item->version = absent ? 0 : found->version;
      write_row (claims, item, now_ns, effects);
      return;
    }
  /* Ended by a write whose answer was lost, or another's by now.  */
  if (own)
    expiry_add (claims->expiry, item->key, found->version, now_ns, effects);
  remove_item (claims, item);
}

static void
take_end_reply (claims_t *claims, item_t *item, const kwf_store_reply_t *reply,
                int64_t now_ns, kwf_effects_t *effects)
{
  if (reply->outcome == KWF_STORE_CONFLICT)
    take_end_conflict (claims, item, find_conflict (reply, item->key), now_ns,
                       effects);
  else if (reply->outcome == KWF_STORE_COMMITTED && item->op_inserts)
    {
      item->version = reply->revision;
      write_row (claims, item, now_ns, effects);
    }
  else if (reply->outcome == KWF_STORE_COMMITTED)
    {
      expiry_add (claims->expiry, item->key, reply->revision, now_ns, effects);
      remove_item (claims, item);
    }
  else if (reply->outcome == KWF_STORE_FAILED && item->op_inserts
           && !item->unanswered)
    remove_item (claims, item);
  else
    item->next_ns = now_ns + RETRY_NS;
}

static bool
take_reply (claims_t *claims, const session_t *session,
            const kwf_event_t *event, int64_t now_ns, kwf_effects_t *effects)
{
  if (op_owner (event->store.op) != OP_CLAIM)
    return false;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, claims->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      item_t *item = value;
      if (item->op != event->store.op)
        continue;
      item->op = 0;
      const kwf_store_reply_t *reply = &event->store.reply;
      if (item->stage == CLAIM_INSERTING)
        take_insert_reply (claims, session, item, reply, now_ns, effects);
      else
        take_end_reply (claims, item, reply, now_ns, effects);
      break;
    }
  return true;
}

static void
retry_items (claims_t *claims, int64_t now_ns, kwf_effects_t *effects)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, claims->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      item_t *item = value;
      if (now_ns < item->next_ns)
        continue;
      if (item->stage == CLAIM_INSERTING)
        take_open_insert (claims, item, now_ns, effects);
      else if (item->stage != CLAIM_ENDING)
        continue;
      else if (now_ns - item->ended_ns < GIVE_UP_NS)
        write_row (claims, item, now_ns, effects);
      else
        {
          kwf_effects_log (effects, 181, KWF_LOG_ERROR, NULL,
                           "the end of claim %s could not be stored",
                           item->key);
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
             && take_reply (claims, session, event, now_ns, effects);
  retry_items (claims, now_ns, effects);
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
  item_t *item = find_request (claims, request);
  if (!item || item->stage != CLAIM_HELD)
    return false;
  if (kwf_now_ns (claims->clock) - item->started_ns > SEND_NS)
    {
      abandon (claims, item, effects);
      return false;
    }
  item->stage = CLAIM_SENT;
  return true;
}

void
claims_store_answer (claims_t *claims, kwf_handle_t request, int status,
                     const char *content_type, const char *body,
                     size_t body_size, kwf_effects_t *effects)
{
  item_t *item = find_request (claims, request);
  if (!item || item->stage != CLAIM_SENT)
    return;
  end_item (claims, item,
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
  item_t *item = find_request (claims, request);
  if (item && item->stage == CLAIM_SENT)
    end_item (claims, item, &(claim_row_t){ .state = "unknown" }, effects);
}

void
claims_abandon (claims_t *claims, kwf_handle_t request, kwf_effects_t *effects)
{
  item_t *item = find_request (claims, request);
  if (item)
    abandon (claims, item, effects);
}

int64_t
claims_deadline_ns (const claims_t *claims)
{
  int64_t deadline = expiry_deadline_ns (claims->expiry);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, claims->items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const item_t *item = value;
      if (item->stage == CLAIM_INSERTING || item->stage == CLAIM_ENDING)
        deadline = MIN (deadline, item->next_ns);
    }
  return deadline;
}
