#include "save.h"

#include <jansson.h>
#include <math.h>
#include <string.h>

#include "../op.h"

#define KEY_PREFIX "shares-saved/"

/* Part of its level that an owner saves, and the part below which it saves
   more.  */
#define SAVED_PART 0.5
#define SAVE_MORE_BELOW 0.3
/* Only a bucket that is this full saves: a busy one would have to release the
   tokens with another write.  */
#define SAVE_LEVEL_PART 0.6
/* An account that had to release its tokens saves none for this time.  */
#define RELEASED_NS (30 * KWF_NS_PER_S)
/* A smaller part of the capacity is not worth a write.  */
#define LEAST_PART 0.02

/* Least time between writes that save more, which are also the writes that a
   calm owner makes.  */
#define SAVE_MORE_NS (5 * KWF_NS_PER_S)
/* Least time between writes that release tokens.  */
#define RELEASE_NS (20 * KWF_NS_PER_MS)
#define TIMEOUT_NS (1 * KWF_NS_PER_S)

static char *
own_key (const shares_t *shares)
{
  return g_strconcat (KEY_PREFIX, shares->instance, NULL);
}

void
save_apply_row (shares_t *shares, const kwf_row_t *row)
{
  if (!shares->steady || !g_str_has_prefix (row->key, KEY_PREFIX)
      || strcmp (row->key + strlen (KEY_PREFIX), shares->instance) != 0
      || row->version <= shares->saved_version)
    return;
  shares->saved_version = row->version;
  json_t *object = row->value ? json_loads (row->value, 0, NULL) : NULL;
  json_int_t incarnation
      = json_integer_value (json_object_get (object, "incarnation"));
  json_decref (shares->saved);
  shares->saved = NULL;
  /* The row of another process of this instance.  After the own first write it
     is not used any more.  */
  if (object && (uint64_t)incarnation != shares->incarnation && !shares->saves)
    shares->saved = json_incref (object);
  json_decref (object);
}

/* Takes over the saved tokens of ACCOUNT.  */
static void
take_over (const shares_t *shares, account_t *account)
{
  json_t *saved = json_object_get (shares->saved, "tokens");
  double tokens = json_number_value (json_object_get (saved, account->name));
  bucket_t *bucket = &account->bucket;
  epoch_fill_new_account (shares, account);
  if (account->taken_over || !account->present || account->share <= 0)
    return;
  account->taken_over = true;
  if (!(tokens > 0))
    return;
  bucket_fill (bucket, shares->valid_ns);
  tokens = fmin (tokens, bucket_cap (bucket) - fmax (bucket->level, 0));
  bucket->level = fmax (bucket->level, 0) + fmax (tokens, 0);
  account->floor = bucket->floor = fmax (tokens, 0);
}

static void
take_over_all (const shares_t *shares)
{
  GHashTableIter iter;
  void *value;
  json_int_t epoch
      = json_integer_value (json_object_get (shares->saved, "epoch"));
  if (!shares->saved || epoch != shares->epoch)
    return;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    take_over (shares, value);
}

/* Tokens of ACCOUNT that the next row names; *DUE: it should be written now,
 *MORE: it can wait for SAVE_MORE_NS.  */
static double
next_floor (const shares_t *shares, account_t *account, bool *due, bool *more)
{
  bucket_t *bucket = &account->bucket;
  if (!account->present || account->share <= 0)
    return 0;
  bucket_fill (bucket, shares->valid_ns);
  double level = fmax (bucket->level, 0);
  double least = bucket_cap (bucket) * LEAST_PART;
  double floor_now = account->floor;
  *due |= floor_now > level + SHARE_ROUNDING;
  if (account->pressed && floor_now > 0)
    {
      *due = true;
      floor_now = 0;
      account->released_ns = shares->valid_ns;
    }
  else if (floor_now < level * SAVE_MORE_BELOW
           && (!account->released_ns
               || shares->valid_ns - account->released_ns >= RELEASED_NS)
           && level >= bucket_cap (bucket) * SAVE_LEVEL_PART)
    {
      *more = true;
      floor_now = level * SAVED_PART;
    }
  floor_now = fmin (floor_now, level);
  return floor_now < least ? 0 : floor (floor_now);
}

static void
write_row (shares_t *shares, json_t *tokens, int64_t now_ns,
           kwf_effects_t *effects)
{
  json_t *object = json_pack ("{s:I,s:I,s:O}", "incarnation",
                              (json_int_t)shares->incarnation, "epoch",
                              (json_int_t)shares->epoch, "tokens", tokens);
  char *text = json_dumps (object, JSON_COMPACT);
  char *key = own_key (shares);
  kwf_condition_t *conditions
      = kwf_effects_alloc (effects, 2 * sizeof *conditions);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  conditions[0] = (kwf_condition_t){ kwf_effects_strdup (effects, key),
                                     shares->saved_version };
  conditions[1] = (kwf_condition_t){ "shares", shares->row_version };
  *put = (kwf_put_t){ conditions[0].key, kwf_effects_strdup (effects, text) };
  shares->save_op = op_handle (OP_SHARE, ++shares->next_op);
  shares->saves = true;
  shares->saved_ns = now_ns;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = shares->save_op;
  effect->store.timeout_ns = TIMEOUT_NS;
  effect->store.txn
      = (kwf_txn_t){ .conditions = conditions,
                     .n_conditions = 2,
                     .puts = put,
                     .n_puts = 1,
                     .after = session_revision (shares->session) };
  g_free (key);
  free (text);
  json_decref (object);
}

/* While the outcome of a write is not known, the higher number binds.  */
static void
bind_floors (const shares_t *shares, json_t *tokens)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      account->floor_sent
          = json_number_value (json_object_get (tokens, account->name));
      account->bucket.floor = fmax (account->floor, account->floor_sent);
      account->pressed = false;
    }
}

static json_t *
next_row (const shares_t *shares, bool *due, bool *more)
{
  GHashTableIter iter;
  void *value;
  json_t *tokens = json_object ();
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      double next = next_floor (shares, account, due, more);
      if (next > 0)
        json_object_set_new (tokens, account->name,
                             json_integer ((json_int_t)next));
    }
  return tokens;
}

void
save_run (shares_t *shares, int64_t now_ns, kwf_effects_t *effects)
{
  /* An instance that is alone refuses at once what its bucket does not cover,
     so nothing could be released in time.  */
  if (!shares->steady || shares->share <= 0 || !shares->row_version
      || shares->holders->len < 2)
    return;
  if (!shares->saves)
    take_over_all (shares);
  if (shares->save_op || now_ns < shares->next_save_ns
      || !session_may_act (shares->session)
      || !g_hash_table_size (shares->accounts))
    return;
  bool due = false;
  bool more = false;
  json_t *tokens = next_row (shares, &due, &more);
  more = more && now_ns - shares->saved_ns >= SAVE_MORE_NS;
  shares->next_save_ns
      = now_ns + (due || more ? RELEASE_NS : SAVE_MORE_NS / 4);
  if (due || more)
    {
      write_row (shares, tokens, now_ns, effects);
      bind_floors (shares, tokens);
    }
  json_decref (tokens);
}

void
save_handle_reply (shares_t *shares, const kwf_store_reply_t *reply,
                   int64_t now_ns)
{
  GHashTableIter iter;
  void *value;
  bool committed = reply->outcome == KWF_STORE_COMMITTED;
  shares->save_op = 0;
  shares->save_failed = !committed;
  if (committed)
    shares->saved_version = MAX (shares->saved_version, reply->revision);
  for (size_t i = 0; i < reply->n_conflicts; i++)
    save_apply_row (shares, &reply->conflicts[i]);
  if (!committed)
    shares->next_save_ns = now_ns + SAVE_MORE_NS / 4;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      account->floor = committed ? account->floor_sent : account->bucket.floor;
      account->bucket.floor = account->floor;
    }
}

void
save_release (shares_t *shares, account_t *account)
{
  if (account->bucket.floor <= 0)
    return;
  account->pressed = true;
  if (!shares->save_op && !shares->save_failed)
    shares->next_save_ns
        = MIN (shares->next_save_ns, shares->saved_ns + RELEASE_NS);
}

bool
save_can_release (const shares_t *shares)
{
  return !shares->save_failed;
}

int64_t
save_next_tick_ns (const shares_t *shares)
{
  if (!shares->steady || shares->share <= 0 || !shares->row_version
      || shares->holders->len < 2 || shares->save_op || !shares->session
      || !session_may_act (shares->session))
    return INT64_MAX;
  return shares->next_save_ns;
}
