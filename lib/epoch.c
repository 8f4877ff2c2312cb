/* Epochs of the shares of rate limits: the table row "shares", and the change
   from one epoch to the next.

   The row lists the members of the epoch and, under "previous", those of them
   that were also members of the epoch before it.  The other members of the
   epoch before were proved gone by conditions of the transaction that wrote
   the row.  Only an instance that has settled the present epoch writes a new
   one: it has seen that no previous member uses the epoch before any more.  So
   at most two epochs are in use at any time.  Until an instance has settled
   the epoch, its share is limited to the one that it had before, so that the
   shares in use always add up to at most 1.  */

#include <jansson.h>
#include <string.h>

#include "hub.h"
#include "op.h"
#include "share-state.h"

#define ROW_KEY "shares"
/* Epochs are counted up; a greater one was not written by an instance.  */
#define EPOCH_MAX (INT64_MAX / 2)

/* Maximum number of members that one epoch removes; a transaction may have 100
   entries.  The next epoch removes the others.  */
#define MAX_CONDITIONS 64

/* Instances try to write a new epoch in the order of their ranks, at this
   interval, so that usually only the first one writes.  */
#define RANK_DELAY_NS (100 * KWF_NS_PER_MS)
/* The same interval where shares are steady: changed rows are pushed to the
   instances there and arrive later.  */
#define PUSHED_RANK_DELAY_NS (500 * KWF_NS_PER_MS)
#define RETRY_NS (400 * KWF_NS_PER_MS)

/* The first epoch of a fleet waits for instances that start at the same time,
   because only its members start with full buckets.  */
#define FIRST_EPOCH_WAIT_NS (1200 * KWF_NS_PER_MS)
/* In a large fleet instances start over a longer time: each new one restarts
   the wait, up to this total.  */
#define FIRST_EPOCH_MAX_WAIT_NS (5 * KWF_NS_PER_S)

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
parse_holders (GPtrArray *holders, json_t *array)
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

/* Find the shares of ACCOUNT under the present and the previous epoch.  Steady
   shares belong to the account's share owners, which keep them over a restart;
   otherwise all members have equal shares.  */
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
  if (shares->gave_up
      || !shares_holder_of (shares, shares->previous, shares->instance,
                            shares->incarnation))
    account->old_share = 0;
  if (shares->gave_up)
    account->share = 0;
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

/* The process that owned the share of ACCOUNT before may have spent its part
   of the overdraft, so this one begins with that debt.  */
static void
assume_debt (const shares_t *shares, account_t *account)
{
  if (!shares->steady || account->share <= 0)
    return;
  double debt = shares->fleet_overdraft / MAX (account->share_owners->len, 1);
  account->bucket.level = MIN (account->bucket.level, -debt);
}

/* Decide whether the bucket of a new account starts full.  It may if no
   instance can have used the account under an earlier epoch: in the first
   epoch, or if the lists that brought the account are newer than the
   epoch.  */
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
  else
    assume_debt (shares, account);
}

static void
enter_epoch (shares_t *shares, int64_t epoch, kwf_effects_t *effects)
{
  bool follows = epoch == shares->epoch + 1;
  bool first = !shares->epoch;
  bool member = shares_holder_of (shares, shares->holders, shares->instance,
                                  shares->incarnation);
  shares->old_share = follows ? shares->share : 0;
  shares->share = member && !shares->gave_up ? 1.0 / shares->holders->len : 0;
  shares->epoch = epoch;
  shares->settled = epoch == 1;
  shares->needs_epoch = false;
  shares->need_ns = 0;
  /* Where shares are steady, tokens that were granted in the epoch before may
     still be spent.  */
  if (!shares->steady)
    g_ptr_array_set_size (shares->pending_grants, 0);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      bucket_fill (&account->bucket, shares->valid_ns);
      /* If this instance missed an epoch, its share under the last one that it
         saw was distributed to others.  */
      find_shares (shares, account);
      /* A new process of a member continues with the share of the process
         before it.  */
      if (shares->steady)
        {
          account->bucket.rate = account->bucket.cap = account->old_share;
          account->bucket.bounded = false;
        }
      else if (!follows)
        account->bucket.rate = account->bucket.cap = 0;
      double reserved = shares->steady ? account->bucket.reserved : 0;
      bucket_enter_epoch (&account->bucket, account->share);
      account->bucket.reserved = reserved;
      if (shares->settled)
        bucket_drop_old_epoch (&account->bucket);
      if (epoch > 1)
        {
          account->fresh = false;
          if (first || account->old_share <= 0)
            assume_debt (shares, account);
        }
      account->floor = account->floor_sent = 0;
      account->round = 0;
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
parse_names (GPtrArray *names, json_t *array)
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
  if (!json_is_array (members) || epoch <= 0 || epoch > EPOCH_MAX)
    kwf_effects_log (effects, 154, KWF_LOG_ERROR, NULL,
                     "row shares has no epoch or members; ignored");
  else if (epoch > shares->epoch)
    {
      parse_holders (shares->holders, members);
      parse_holders (shares->previous, json_object_get (object, "previous"));
      parse_names (shares->former, json_object_get (object, "former"));
      enter_epoch (shares, epoch, effects);
    }
  json_decref (object);
}

/* Whether HOLDER can no longer use its share; *VERSION as in
   session_lease_is_over.  */
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

/* Whether HOLDER no longer uses a share of the previous epoch.  */
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

/* Settle the epoch if no previous member uses the epoch before any more.  */
static void
check_settled (shares_t *shares, kwf_effects_t *effects)
{
  for (guint i = 0; i < shares->previous->len; i++)
    if (!has_left (shares, shares->previous->pdata[i]))
      {
        /* Changed rows are read with a renewal, so renew soon.  Where shares
           are steady, changed rows are pushed instead.  */
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

/* The next epoch, as it would be written now.  */
typedef struct
{
  GPtrArray *holders; /* members, of holder_t */
  GPtrArray *kept;    /* members of the present epoch too, of holder_t */
  GArray *conditions; /* of kwf_condition_t */
  bool needed;
} next_epoch_t;

/* Whether the process of HOLDER gave up its share for good; *VERSION: of the
   row that says so.  */
static bool
gave_up (const shares_t *shares, const holder_t *holder, int64_t *version)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (shares->steady && session_next_member (shares->session, &at, &member))
    if (strcmp (member.instance, holder->instance) == 0)
      {
        *version = member.version;
        return member.epoch_left >= SESSION_LEFT_ALL_EPOCHS;
      }
  return false;
}

static void
add_present_members (const shares_t *shares, next_epoch_t *next,
                     kwf_effects_t *effects)
{
  for (guint i = 0; i < shares->holders->len; i++)
    {
      const holder_t *holder = shares->holders->pdata[i];
      int64_t version;
      bool gone = next->conditions->len < MAX_CONDITIONS
                  && (gave_up (shares, holder, &version)
                      || (session_may_reclaim (shares->session)
                          && is_gone (shares, holder, &version)));
      if (!gone)
        {
          add_holder (next->holders, holder->instance, holder->incarnation);
          add_holder (next->kept, holder->instance, holder->incarnation);
          continue;
        }
      next->needed = true;
      if (version < 0)
        continue;
      kwf_condition_t condition
          = { kwf_effects_printf (effects, "session/%s", holder->instance),
              version };
      g_array_append_val (next->conditions, condition);
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

/* Whether MEMBER may hold shares.  Steady shares are held by hubs only: the
   other instances request tokens from them, and a row that listed all members
   would grow with the fleet.  */
static bool
may_hold (const shares_t *shares, const session_member_t *member)
{
  return !shares->steady || member->hub;
}

static void
add_joined_members (const shares_t *shares, next_epoch_t *next)
{
  session_member_t member;
  size_t at = 0;
  while (session_next_member (shares->session, &at, &member))
    {
      /* A member that another instance has just removed may not be known here
         as expired yet, so it must have renewed recently.  */
      if (member.expired || !member.fresh || member.leaving
          || !may_hold (shares, &member)
          || has_instance (next->holders, member.instance))
        continue;
      add_holder (next->holders, member.instance, member.incarnation);
      next->needed = true;
    }
}

static void
next_epoch_free (next_epoch_t *next)
{
  g_ptr_array_free (next->holders, TRUE);
  g_ptr_array_free (next->kept, TRUE);
  g_array_free (next->conditions, TRUE);
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
write_epoch (shares_t *shares, next_epoch_t *next, int64_t now_ns,
             kwf_effects_t *effects)
{
  kwf_condition_t own = { ROW_KEY, shares->row_version };
  g_array_append_val (next->conditions, own);
  json_t *object = json_pack (
      "{s:I,s:o,s:o,s:o}", "epoch", (json_int_t)shares->epoch + 1, "members",
      write_holders (next->holders), "previous", write_holders (next->kept),
      "former", write_names (shares->holders));
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *put = (kwf_put_t){ ROW_KEY, kwf_effects_strdup (effects, text) };
  free (text);
  size_t size = next->conditions->len * sizeof (kwf_condition_t);
  kwf_condition_t *conditions = kwf_effects_alloc (effects, size);
  memcpy (conditions, next->conditions->data, size);
  shares->op = op_handle (OP_SHARE, ++shares->next_op);
  shares->next_write_ns = now_ns + RETRY_NS;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = shares->op;
  effect->store.timeout_ns = KWF_NS_PER_S;
  effect->store.txn
      = (kwf_txn_t){ .conditions = conditions,
                     .n_conditions = next->conditions->len,
                     .puts = put,
                     .n_puts = 1,
                     .after = session_revision (shares->session) };
  kwf_effects_log (effects, 153, KWF_LOG_INFO, NULL,
                   "writing share epoch %" PRId64, shares->epoch + 1);
}

/* Rank of this instance among the live members by name.  */
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
  int64_t wait_ns
      = shares->rank * (shares->steady ? PUSHED_RANK_DELAY_NS : RANK_DELAY_NS);
  if (!shares->epoch)
    wait_ns += FIRST_EPOCH_WAIT_NS;
  return MAX (shares->next_write_ns, shares->need_ns + wait_ns);
}

static void
plan_epoch (shares_t *shares, int64_t now_ns, kwf_effects_t *effects)
{
  next_epoch_t next = {
    .holders = g_ptr_array_new_with_free_func (holder_free),
    .kept = g_ptr_array_new_with_free_func (holder_free),
    .conditions = g_array_new (FALSE, TRUE, sizeof (kwf_condition_t)),
    .needed = shares->needs_epoch || !shares->epoch,
  };
  add_present_members (shares, &next, effects);
  add_joined_members (shares, &next);
  if (!next.needed)
    shares->need_ns = 0;
  else if (!shares->need_ns)
    shares->need_ns = shares->began_ns = now_ns;
  else if (shares->steady && !shares->epoch
           && next.holders->len != shares->n_planned
           && now_ns - shares->began_ns < FIRST_EPOCH_MAX_WAIT_NS)
    shares->need_ns = now_ns;
  shares->n_planned = next.holders->len;
  if (next.needed && now_ns >= write_at_ns (shares))
    write_epoch (shares, &next, now_ns, effects);
  next_epoch_free (&next);
}

/* Whether the first epoch has to wait, because the hubs are not known yet: if
   the members were read twice with 1.2 s or more between, it would name the
   instances that the first read happened to show.  */
static bool
waits_for_hubs (const shares_t *shares)
{
  return shares->steady && !shares->epoch && shares->session
         && hub_is_starting (shares->session);
}

/* Whether this instance could write an epoch now.  */
static bool
may_write (const shares_t *shares)
{
  bool holds
      = !shares->steady || session_is_hub (shares->session, shares->instance);
  return holds && !shares->op && (shares->settled || !shares->epoch)
         && session_revision (shares->session)
         && session_state (shares->session) == SESSION_VALID
         && !waits_for_hubs (shares);
}

void
epoch_run (shares_t *shares, bool fresh, int64_t now_ns,
           kwf_effects_t *effects)
{
  /* The members change only with new rows, but the rank is needed after each
     event.  */
  if (fresh)
    shares->rank = own_rank (shares);
  if (shares->epoch && !shares->settled && fresh)
    check_settled (shares, effects);
  bool due = fresh
             || ((shares->needs_epoch || !shares->epoch) && !shares->need_ns)
             || (shares->need_ns && now_ns >= write_at_ns (shares));
  if (due && may_write (shares))
    plan_epoch (shares, now_ns, effects);
}

void
epoch_handle_reply (shares_t *shares, const kwf_store_reply_t *reply,
                    int64_t now_ns)
{
  shares->op = 0;
  /* Decide again whether a new epoch is needed.  */
  shares->need_ns = 0;
  bool answered = reply->outcome == KWF_STORE_COMMITTED
                  || reply->outcome == KWF_STORE_CONFLICT;
  /* The renewal also reads the changed rows, and so the new epoch.  */
  if (answered && !shares->steady)
    session_renew_soon (shares->session);
  shares->next_write_ns = now_ns + RETRY_NS;
}

int64_t
epoch_next_tick_ns (const shares_t *shares)
{
  /* need_ns is the time since when a new epoch is needed, 0 if it is not.
     needs_epoch is set only by an unconfirmed transfer.  If this instance may
     not write, a deadline in the past would make the loop wake again and again
     without anything to do.  */
  if (!shares->need_ns || !shares->session || !may_write (shares))
    return INT64_MAX;
  return write_at_ns (shares);
}
