/* Epochs of the shares: the row "shares" and the change from one epoch to
   the next.

   The row names the members of the epoch, and under "previous" those of
   them that were members of the epoch before.  Others of the epoch before
   were proved gone by conditions of the transaction that wrote the row.  A
   new epoch is written only by an instance that has settled the present
   one, so two epochs at most are in use at any time.  Until an instance has
   seen that every previous member left, its share is bounded by the one it
   had, so the sum of the shares in use stays at most 1 throughout.  */

#include <jansson.h>
#include <string.h>

#include "op.h"
#include "share-state.h"

#define ROW_KEY "shares"

/* Members that one epoch leaves out; a transaction takes 100 entries.  Others
   are left out by the next epoch.  */
#define CONDITIONS_MOST 64

/* Instances write a new epoch one after the other by rank, so that the
   first one usually does it alone.  */
#define RANK_NS (100 * KWF_NS_PER_MS)
/* Where rows come unasked they come later.  */
#define PUSHED_RANK_NS (500 * KWF_NS_PER_MS)
#define RETRY_NS (400 * KWF_NS_PER_MS)

/* The first epoch of all waits for instances that start together, because
   only its members start with full buckets.  */
#define FIRST_NS (1200 * KWF_NS_PER_MS)
/* In a large fleet they come one after the other for longer than that: the
   wait begins anew with each, up to this time.  */
#define FIRST_MOST_NS (5 * KWF_NS_PER_S)

void
holder_free (void *data)
{
  holder_t *holder = data;
  g_free (holder->instance);
  g_free (holder);
}

holder_t *
holder_find (const GPtrArray *holders, const char *instance,
             uint64_t incarnation)
{
  for (guint i = 0; i < holders->len; i++)
    {
      holder_t *holder = holders->pdata[i];
      if (holder->incarnation == incarnation
          && strcmp (holder->instance, instance) == 0)
        return holder;
    }
  return NULL;
}

holder_t *
shares_holder_of (const shares_t *shares, const GPtrArray *holders,
                  const char *instance, uint64_t incarnation)
{
  if (!shares->steady)
    return holder_find (holders, instance, incarnation);
  for (guint i = 0; i < holders->len; i++)
    {
      holder_t *holder = holders->pdata[i];
      if (strcmp (holder->instance, instance) == 0)
        return holder;
    }
  return NULL;
}

static void
add_holder (GPtrArray *holders, const char *instance, uint64_t incarnation)
{
  holder_t *holder = g_new0 (holder_t, 1);
  holder->instance = g_strdup (instance);
  holder->incarnation = incarnation;
  g_ptr_array_add (holders, holder);
}

static void
read_holders (GPtrArray *holders, json_t *array)
{
  size_t i;
  json_t *item;
  g_ptr_array_set_size (holders, 0);
  json_array_foreach (array, i, item)
  {
    const char *instance
        = json_string_value (json_object_get (item, "instance"));
    json_t *incarnation = json_object_get (item, "incarnation");
    if (instance)
      add_holder (holders, instance,
                  (uint64_t)json_integer_value (incarnation));
  }
}

/* Where shares are steady they lie at homes, which keep them over a restart;
   else every member has the same.  */
static void
find_shares (const shares_t *shares, account_t *account)
{
  if (!shares->steady)
    {
      account->share = shares->share;
      account->old_share = shares->old_share;
      return;
    }
  share_owners_find (shares, account);
  if (!shares_holder_of (shares, shares->previous, shares->instance,
                         shares->incarnation))
    account->old_share = 0;
}

void
epoch_init_account (const shares_t *shares, account_t *account)
{
  bucket_t *bucket = &account->bucket;
  find_shares (shares, account);
  bucket->rate = account->share;
  bucket->cap = account->share;
  bucket->old_rate = account->old_share;
  bucket->old_cap = account->old_share;
  bucket->bounded = !shares->settled;
  bucket->filled_ns = shares->valid_ns;
}

/* An account starts full when no instance can have used it under an epoch
   before: in the first epoch, or when the lists that brought it are newer
   than the epoch.  */
void
epoch_fill_new_account (const shares_t *shares, account_t *account)
{
  if (!account->fresh || !shares->epoch)
    return;
  account->fresh = false;
  if (account->share > 0
      && holder_find (shares->holders, shares->instance, shares->incarnation)
      && (shares->epoch == 1 || shares->list_version > shares->row_version))
    account->bucket.level = bucket_cap (&account->bucket);
}

static void
enter (shares_t *shares, int64_t epoch, kwf_effects_t *effects)
{
  bool next = epoch == shares->epoch + 1;
  bool member = shares_holder_of (shares, shares->holders, shares->instance,
                                  shares->incarnation);
  shares->old_share = next ? shares->share : 0;
  shares->share = member ? 1.0 / shares->holders->len : 0;
  shares->epoch = epoch;
  shares->settled = epoch == 1;
  shares->needs_epoch = false;
  shares->need_ns = 0;
  g_ptr_array_set_size (shares->pending_grants, 0);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      bucket_fill (&account->bucket, shares->valid_ns);
      /* When an epoch was missed, the share under the last one seen was
         given to others.  */
      find_shares (shares, account);
      /* A process that was started since has what the one before it had.  */
      if (shares->steady)
        {
          account->bucket.rate = account->bucket.cap = account->old_share;
          account->bucket.bounded = false;
        }
      else if (!next)
        account->bucket.rate = account->bucket.cap = 0;
      bucket_enter_epoch (&account->bucket, account->share);
      if (shares->settled)
        bucket_drop_old_epoch (&account->bucket);
      if (epoch > 1)
        account->fresh = false;
      account->round = 0;
      account->first = false;
      g_ptr_array_set_size (account->asked, 0);
      account->ask_backoff_until_ns = 0;
    }
  session_set_epoch_left (shares->session, epoch - 1);
  kwf_effects_log (effects, 150, KWF_LOG_INFO, NULL,
                   "share epoch %" PRId64 " with %u members%s", epoch,
                   shares->holders->len,
                   member ? "" : ", without this instance");
}

static void
read_names (GPtrArray *names, json_t *array)
{
  size_t i;
  json_t *name;
  g_ptr_array_set_size (names, 0);
  json_array_foreach (array, i, name)
  {
    if (json_is_string (name))
      g_ptr_array_add (names, g_strdup (json_string_value (name)));
  }
}

void
epoch_apply_row (shares_t *shares, const kwf_row_t *row,
                 kwf_effects_t *effects)
{
  if (strcmp (row->key, ROW_KEY) != 0 || row->version <= shares->row_version)
    return;
  shares->row_version = row->version;
  json_t *object = row->value ? json_loads (row->value, 0, NULL) : NULL;
  json_t *members = json_object_get (object, "members");
  int64_t epoch = json_integer_value (json_object_get (object, "epoch"));
  if (!json_is_array (members) || epoch <= 0)
    kwf_effects_log (effects, 154, KWF_LOG_ERROR, NULL,
                     "row shares has no epoch or members; ignored");
  else if (epoch > shares->epoch)
    {
      read_holders (shares->holders, members);
      read_holders (shares->previous, json_object_get (object, "previous"));
      read_names (shares->former, json_object_get (object, "former"));
      enter (shares, epoch, effects);
    }
  json_decref (object);
}

/* Whether HOLDER can no longer use its share; see session_lease_is_over.  */
static bool
is_gone (const shares_t *shares, const holder_t *holder, int64_t *version)
{
  session_member_t member;
  size_t at = 0;
  while (shares->steady && session_next_member (shares->session, &at, &member))
    if (strcmp (member.instance, holder->instance) == 0 && !member.expired)
      return false;
  return session_lease_is_over (shares->session, holder->instance,
                                holder->incarnation, version);
}

/* Whether HOLDER no longer uses a share of the epoch before.  */
static bool
has_left (const shares_t *shares, const holder_t *holder)
{
  if (strcmp (holder->instance, shares->instance) == 0
      && (shares->steady || holder->incarnation == shares->incarnation))
    return true;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (shares->session, &at, &member))
    {
      if (strcmp (member.instance, holder->instance) == 0
          && (shares->steady || member.incarnation == holder->incarnation)
          && member.epoch_left >= shares->epoch - 1)
        return true;
    }
  int64_t version;
  return is_gone (shares, holder, &version);
}

static void
settle (shares_t *shares, kwf_effects_t *effects)
{
  for (guint i = 0; i < shares->previous->len; i++)
    if (!has_left (shares, shares->previous->pdata[i]))
      {
        /* The row that is missing is told of when it is written.  */
        if (!shares->steady)
          session_renew_soon (shares->session);
        return;
      }
  shares->settled = true;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      bucket_fill (&account->bucket, shares->valid_ns);
      bucket_drop_old_epoch (&account->bucket);
    }
  kwf_effects_log (effects, 151, KWF_LOG_INFO, NULL,
                   "share epoch %" PRId64 " is in force", shares->epoch);
}

/* The next epoch as it would be now.  */
typedef struct
{
  GPtrArray *holders; /* of holder_t */
  GPtrArray *kept;    /* of holder_t */
  GArray *conditions; /* of kwf_condition_t */
  bool needed;
} plan_t;

static void
plan_present (const shares_t *shares, plan_t *plan, kwf_effects_t *effects)
{
  for (guint i = 0; i < shares->holders->len; i++)
    {
      const holder_t *holder = shares->holders->pdata[i];
      int64_t version;
      bool gone = plan->conditions->len < CONDITIONS_MOST
                  && session_may_reclaim (shares->session)
                  && is_gone (shares, holder, &version);
      if (!gone)
        {
          add_holder (plan->holders, holder->instance, holder->incarnation);
          add_holder (plan->kept, holder->instance, holder->incarnation);
          continue;
        }
      plan->needed = true;
      if (version < 0)
        continue;
      kwf_condition_t condition
          = { kwf_effects_printf (effects, "session/%s", holder->instance),
              version };
      g_array_append_val (plan->conditions, condition);
    }
}

static bool
has_instance (const GPtrArray *holders, const char *instance)
{
  for (guint i = 0; i < holders->len; i++)
    if (strcmp (((holder_t *)holders->pdata[i])->instance, instance) == 0)
      return true;
  return false;
}

/* Where shares are steady they lie at hubs: the others ask them, and a row
   that names all members would grow with the fleet.  */
static bool
may_hold (const shares_t *shares, const session_member_t *member)
{
  return !shares->steady || member->hub;
}

static void
plan_joined (const shares_t *shares, plan_t *plan)
{
  session_member_t member;
  size_t at = 0;
  while (session_next_member (shares->session, &at, &member))
    {
      /* One that another instance has just left out may not look expired
         here yet.  */
      if (member.expired || !member.fresh || member.leaving
          || !may_hold (shares, &member)
          || has_instance (plan->holders, member.instance))
        continue;
      add_holder (plan->holders, member.instance, member.incarnation);
      plan->needed = true;
    }
}

static void
plan_free (plan_t *plan)
{
  g_ptr_array_free (plan->holders, TRUE);
  g_ptr_array_free (plan->kept, TRUE);
  g_array_free (plan->conditions, TRUE);
}

static json_t *
write_holders (const GPtrArray *holders)
{
  json_t *array = json_array ();
  for (guint i = 0; i < holders->len; i++)
    {
      const holder_t *holder = holders->pdata[i];
      json_array_append_new (
          array, json_pack ("{s:s,s:I}", "instance", holder->instance,
                            "incarnation", (json_int_t)holder->incarnation));
    }
  return array;
}

static json_t *
write_names (const GPtrArray *holders)
{
  json_t *array = json_array ();
  for (guint i = 0; i < holders->len; i++)
    json_array_append_new (
        array, json_string (((holder_t *)holders->pdata[i])->instance));
  return array;
}

static void
write_epoch (shares_t *shares, plan_t *plan, int64_t now_ns,
             kwf_effects_t *effects)
{
  kwf_condition_t own = { ROW_KEY, shares->row_version };
  g_array_append_val (plan->conditions, own);
  json_t *object = json_pack (
      "{s:I,s:o,s:o,s:o}", "epoch", (json_int_t)shares->epoch + 1, "members",
      write_holders (plan->holders), "previous", write_holders (plan->kept),
      "former", write_names (shares->holders));
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *put = (kwf_put_t){ ROW_KEY, kwf_effects_strdup (effects, text) };
  free (text);
  size_t size = plan->conditions->len * sizeof (kwf_condition_t);
  kwf_condition_t *conditions = kwf_effects_alloc (effects, size);
  memcpy (conditions, plan->conditions->data, size);
  shares->op = op_handle (OP_SHARE, ++shares->next_op);
  shares->next_write_ns = now_ns + RETRY_NS;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = shares->op;
  effect->store.timeout_ns = KWF_NS_PER_S;
  effect->store.txn
      = (kwf_txn_t){ .conditions = conditions,
                     .n_conditions = plan->conditions->len,
                     .puts = put,
                     .n_puts = 1,
                     .after = session_revision (shares->session) };
  kwf_effects_log (effects, 153, KWF_LOG_INFO, NULL,
                   "writing share epoch %" PRId64, shares->epoch + 1);
}

/* Position of this instance among the live members by name.  */
static int64_t
own_rank (const shares_t *shares)
{
  int64_t rank = 0;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (shares->session, &at, &member))
    rank += !member.expired && may_hold (shares, &member)
            && strcmp (member.instance, shares->instance) < 0;
  return rank;
}

static int64_t
write_at_ns (const shares_t *shares)
{
  int64_t wait_ns = shares->rank * (shares->steady ? PUSHED_RANK_NS : RANK_NS);
  if (!shares->epoch)
    wait_ns += FIRST_NS;
  return MAX (shares->next_write_ns, shares->need_ns + wait_ns);
}

static void
consider (shares_t *shares, int64_t now_ns, kwf_effects_t *effects)
{
  plan_t plan = {
    .holders = g_ptr_array_new_with_free_func (holder_free),
    .kept = g_ptr_array_new_with_free_func (holder_free),
    .conditions = g_array_new (FALSE, TRUE, sizeof (kwf_condition_t)),
    .needed = shares->needs_epoch || !shares->epoch,
  };
  plan_present (shares, &plan, effects);
  plan_joined (shares, &plan);
  if (!plan.needed)
    shares->need_ns = 0;
  else if (!shares->need_ns)
    shares->need_ns = shares->began_ns = now_ns;
  else if (shares->steady && !shares->epoch
           && plan.holders->len != shares->n_planned
           && now_ns - shares->began_ns < FIRST_MOST_NS)
    shares->need_ns = now_ns;
  shares->n_planned = plan.holders->len;
  if (plan.needed && now_ns >= write_at_ns (shares))
    write_epoch (shares, &plan, now_ns, effects);
  plan_free (&plan);
}

/* Whether this instance could write an epoch now.  */
static bool
may_write (const shares_t *shares)
{
  bool holds
      = !shares->steady || session_is_hub (shares->session, shares->instance);
  return holds && !shares->op && (shares->settled || !shares->epoch)
         && session_revision (shares->session)
         && session_state (shares->session) == SESSION_VALID;
}

void
epoch_run (shares_t *shares, bool fresh, int64_t now_ns,
           kwf_effects_t *effects)
{
  /* Members change only with news; the rank is needed after each event.  */
  if (fresh)
    shares->rank = own_rank (shares);
  if (shares->epoch && !shares->settled && fresh)
    settle (shares, effects);
  bool due = fresh || (shares->needs_epoch && !shares->need_ns)
             || (shares->need_ns && now_ns >= write_at_ns (shares));
  if (due && may_write (shares))
    consider (shares, now_ns, effects);
}

void
epoch_handle_reply (shares_t *shares, const kwf_store_reply_t *reply,
                    int64_t now_ns)
{
  shares->op = 0;
  shares->need_ns = 0;
  bool answered = reply->outcome == KWF_STORE_COMMITTED
                  || reply->outcome == KWF_STORE_CONFLICT;
  if (answered && !shares->steady)
    session_renew_soon (shares->session);
  shares->next_write_ns = now_ns + RETRY_NS;
}

int64_t
epoch_deadline_ns (const shares_t *shares)
{
  /* A deadline that nothing is done about would keep the loop busy.  */
  if (!shares->need_ns || !shares->session || !may_write (shares))
    return INT64_MAX;
  return write_at_ns (shares);
}
