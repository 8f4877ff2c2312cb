#include "share-state.h"

#include <jansson.h>
#include <math.h>

#include "rates/collect.h"
#include "rates/give-up.h"
#include "rates/save.h"

static void
free_account (void *data)
{
  account_t *account = data;
  g_free (account->name);
  g_array_free (account->waiters, TRUE);
  g_ptr_array_free (account->asked, TRUE);
  g_ptr_array_free (account->parcels, TRUE);
  g_ptr_array_free (account->levels, TRUE);
  g_ptr_array_free (account->share_owners, TRUE);
  g_free (account);
}

shares_t *
shares_new (const kwf_core_options_t *options)
{
  shares_t *shares = g_new0 (shares_t, 1);
  shares->instance = g_strdup (options->instance);
  shares->incarnation = options->incarnation;
  shares->clock = options->clock;
  shares->steady = options->push_updates;
  shares->next_number = shares->steady ? SHARE_NUMBER_LEVELS : 0;
  shares->fleet_overdraft = options->overdraft;
  shares->holders = g_ptr_array_new_with_free_func (holder_free);
  shares->previous = g_ptr_array_new_with_free_func (holder_free);
  shares->former = g_ptr_array_new_with_free_func (g_free);
  shares->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  shares->busy = g_ptr_array_new ();
  shares->pending_grants = g_ptr_array_new_with_free_func (pending_grant_free);
  shares->results = g_array_new (FALSE, TRUE, sizeof (share_result_t));
  shares->taken = g_array_new (FALSE, TRUE, sizeof (share_result_t));
  shares->stepped_ns = kwf_now_ns (shares->clock);
  return shares;
}

void
shares_free (shares_t *shares)
{
  if (!shares)
    return;
  g_free (shares->instance);
  json_decref (shares->saved);
  g_ptr_array_free (shares->holders, TRUE);
  g_ptr_array_free (shares->previous, TRUE);
  g_ptr_array_free (shares->former, TRUE);
  g_ptr_array_free (shares->busy, TRUE);
  g_hash_table_destroy (shares->accounts);
  g_ptr_array_free (shares->pending_grants, TRUE);
  g_array_free (shares->results, TRUE);
  g_array_free (shares->taken, TRUE);
  g_free (shares);
}

static account_t *
find_account (const shares_t *shares, const char *organisation)
{
  return organisation ? g_hash_table_lookup (shares->accounts, organisation)
                      : NULL;
}

static bool
is_busy (const account_t *account)
{
  return account->fresh || account->round || account->waiters->len
         || account->asked->len;
}

static void
mark_busy (shares_t *shares, account_t *account)
{
  if (account->busy || !is_busy (account))
    return;
  account->busy = true;
  g_ptr_array_add (shares->busy, account);
}

/* If shares are steady, the share owners of an organisation divide the
   overdraft among them, else all members of the epoch do.  */
double
shares_own_overdraft (const shares_t *shares, const account_t *account)
{
  const GPtrArray *owners
      = shares->steady ? account->share_owners : shares->holders;
  if (account->bucket.floor > 0)
    return -account->bucket.floor;
  return account->share > 0 && owners->len
             ? shares->fleet_overdraft / owners->len
             : 0;
}

static account_t *
add_account (shares_t *shares, const char *name)
{
  account_t *account = g_new0 (account_t, 1);
  account->name = g_strdup (name);
  account->fresh = true;
  account->bucket.steady = shares->steady;
  account->waiters = g_array_new (FALSE, TRUE, sizeof (waiter_t));
  account->asked = g_ptr_array_new_with_free_func (g_free);
  account->share_owners = g_ptr_array_new_with_free_func (g_free);
  account->parcels = g_ptr_array_new_with_free_func (parcel_free);
  account->levels = g_ptr_array_new_with_free_func (owner_level_free);
  g_hash_table_insert (shares->accounts, account->name, account);
  mark_busy (shares, account);
  epoch_init_account (shares, account);
  return account;
}

/* The accounts of organisations that were removed from the lists are kept, so
   that one that is added again does not start with a full bucket.  */
void
shares_set_limits (shares_t *shares, const share_limit_t *limits, size_t n)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      account->present = false;
      bucket_fill (&account->bucket, shares->valid_ns);
    }
  for (size_t i = 0; i < n; i++)
    {
      account_t *account = find_account (shares, limits[i].organisation);
      if (!account)
        account = add_account (shares, limits[i].organisation);
      account->present = true;
      bucket_set_limits (&account->bucket, limits[i].rate, limits[i].burst);
    }
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      account_t *account = value;
      if (!account->present)
        bucket_set_limits (&account->bucket, 0, 0);
    }
}

/* Advances the time in which tokens accrue: it counts only while this instance
   may act, both at the previous step and now.  */
static void
advance_accrual (shares_t *shares, int64_t now_ns)
{
  bool valid = shares->session && session_may_act (shares->session);
  if (valid && shares->was_valid && now_ns > shares->stepped_ns)
    shares->valid_ns += now_ns - shares->stepped_ns;
  shares->was_valid = valid;
  shares->stepped_ns = now_ns;
}

static int64_t
retry_after_ms (const account_t *account, double tokens)
{
  const bucket_t *bucket = &account->bucket;
  if (bucket->limit_rate <= 0 || tokens > bucket->limit_burst)
    return -1;
  double seconds = (tokens - bucket->level) / bucket->limit_rate;
  return (int64_t)fmax (ceil (seconds * 1000), 1);
}

/* Returns the time in milliseconds after which a refused request of TOKENS is
   to be retried; -1: a retry cannot succeed.

   An organisation may send several times its rate.  If each refused request
   got the time until its own tokens are there, all would be retried at once
   and refused again.  So each gets a time that also covers the requests
   refused before it, at this instance's part of the rate.  */
static int64_t
fair_retry_after_ms (const shares_t *shares, account_t *account, double tokens,
                     int64_t now_ns)
{
  int64_t least_ms = retry_after_ms (account, tokens);
  if (least_ms < 0 || !shares->steady || !shares->holders->len)
    return least_ms;
  /* Callers return to any member, also to those that hold no shares.  */
  double rate = account->bucket.limit_rate
                / MAX (shares->n_members, shares->holders->len);
  double passed_s = (double)(now_ns - account->deferred_ns) / KWF_NS_PER_S;
  double most = rate * (double)SHARE_RETRY_AFTER_MAX_NS / KWF_NS_PER_S;
  account->deferred_tokens
      = fmax (account->deferred_tokens - passed_s * rate, 0) + tokens;
  account->deferred_tokens = fmin (account->deferred_tokens, most);
  account->deferred_ns = now_ns;
  return MAX (least_ms, (int64_t)(account->deferred_tokens / rate * 1000));
}

static void
add_result (shares_t *shares, const waiter_t *waiter, share_verdict_t verdict,
            int64_t retry_ms)
{
  share_result_t result = { waiter->request, verdict, retry_ms };
  g_array_append_val (shares->results, result);
}

static const waiter_t *
first_waiter (const account_t *account)
{
  return &g_array_index (account->waiters, waiter_t, 0);
}

static void
grant_waiters (shares_t *shares, account_t *account, kwf_effects_t *effects)
{
  bucket_fill (&account->bucket, shares->valid_ns);
  while (account->waiters->len)
    {
      waiter_t waiter = g_array_index (account->waiters, waiter_t, 0);
      if (waiter.tokens > account->bucket.level + collect_held (account)
                              + shares_own_overdraft (shares, account)
                              + SHARE_ROUNDING)
        return;
      collect_spend (account, waiter.tokens, effects);
      shares->counts.granted++;
      shares->counts.granted_ns
          += kwf_now_ns (shares->clock) - waiter.since_ns;
      add_result (shares, &waiter, SHARE_GRANTED, 0);
      g_array_remove_index (account->waiters, 0);
    }
}

/* Refuses the requests that have waited since BEFORE_NS or longer.  */
static void
refuse_waiters (shares_t *shares, account_t *account, int64_t before_ns,
                int64_t now_ns)
{
  share_counts_t *counts = &shares->counts;
  while (account->waiters->len)
    {
      waiter_t waiter = g_array_index (account->waiters, waiter_t, 0);
      if (waiter.since_ns > before_ns)
        return;
      if (now_ns - waiter.since_ns >= SHARE_WAIT_NS)
        counts->late++;
      else if (account->unlinked)
        counts->unlinked++;
      else
        counts->scarce++;
      add_result (
          shares, &waiter, SHARE_REFUSED,
          fair_retry_after_ms (shares, account, waiter.tokens, now_ns));
      g_array_remove_index (account->waiters, 0);
    }
}

/* Where shares are steady: requests wait in the order of arrival until their
   tokens are collected or have accrued.  A request is refused after
   SHARE_WAIT_NS, or once all owners have told that it would be.  */
static void
serve_steady (shares_t *shares, account_t *account, int64_t now_ns,
              kwf_effects_t *effects)
{
  collect_expire (account, now_ns, effects);
  if (session_may_act (shares->session))
    grant_waiters (shares, account, effects);
  refuse_waiters (shares, account, now_ns - SHARE_WAIT_NS, now_ns);
  bool late = now_ns - account->round_ns >= SHARE_ANSWER_NS;
  if (account->asked->len && late)
    collect_handle_silence (account, now_ns);
  while (account->waiters->len && !account->asked->len
         && now_ns >= account->next_ask_ns
         && !collect_ask (shares, account, now_ns, effects))
    refuse_waiters (shares, account, first_waiter (account)->since_ns, now_ns);
  if (!account->waiters->len)
    collect_return (account, effects);
  if (!account->waiters->len && !account->asked->len)
    account->round = 0;
}

static void
serve_account (shares_t *shares, account_t *account, int64_t now_ns,
               kwf_effects_t *effects)
{
  if (shares->steady)
    {
      serve_steady (shares, account, now_ns, effects);
      return;
    }
  if (!account->asked->len && !account->waiters->len)
    account->round = 0;
  if (!account->waiters->len)
    {
      bucket_set_room (&account->bucket, 0);
      return;
    }
  if (session_may_act (shares->session))
    grant_waiters (shares, account, effects);
  refuse_waiters (shares, account, now_ns - SHARE_WAIT_NS, now_ns);
  if (account->asked->len)
    return;
  /* Every peer has answered.  If that brought fewer tokens than the first
     waiting request needs, it will not get them soon.  */
  if (account->round && account->waiters->len
      && account->received
             < first_waiter (account)->tokens - account->bucket.level)
    {
      int64_t short_ns
          = first_waiter (account)->since_ns > account->round_ns
                ? 0
                : retry_after_ms (account, first_waiter (account)->tokens)
                      * KWF_NS_PER_MS;
      account->ask_backoff_until_ns
          = now_ns + MIN (short_ns, SHARE_ASK_BACKOFF_NS);
      refuse_waiters (shares, account, account->round_ns, now_ns);
    }
  account->round = 0;
  if (account->waiters->len)
    transfer_ask (shares, account, now_ns, effects);
  if (!account->asked->len)
    refuse_waiters (shares, account, now_ns, now_ns);
}

static void
handle_message (shares_t *shares, const kwf_peer_event_t *event,
                int64_t now_ns, kwf_effects_t *effects)
{
  switch (event->message->type)
    {
    case KWF_MSG_SHARE_REQUEST:
      transfer_handle_request (shares, event, now_ns, effects);
      break;
    case KWF_MSG_SHARE_GRANT:
      transfer_handle_grant (shares, event, effects);
      break;
    case KWF_MSG_SHARE_ACK:
      transfer_handle_ack (shares, event);
      break;
    default:
      break;
    }
}

static void
handle_event (shares_t *shares, const kwf_event_t *event, int64_t now_ns,
              kwf_effects_t *effects)
{
  switch (event->type)
    {
    case KWF_EV_STORE_REPLY:
      if (event->store.op == shares->op)
        epoch_handle_reply (shares, &event->store.reply, now_ns);
      if (event->store.op == shares->save_op)
        save_handle_reply (shares, &event->store.reply, now_ns);
      break;
    case KWF_EV_PEER_UP:
      transfer_peer_down (shares, event->peer.instance);
      transfer_peer_up (shares, event->peer.instance, effects);
      break;
    case KWF_EV_PEER_DOWN:
      transfer_peer_down (shares, event->peer.instance);
      break;
    case KWF_EV_PEER_MESSAGE:
      handle_message (shares, &event->peer, now_ns, effects);
      break;
    default:
      break;
    }
}

static void
apply_changes (shares_t *shares, const session_changes_t *changes,
               kwf_effects_t *effects)
{
  for (size_t i = 0; changes->fresh && i < changes->n_rows; i++)
    {
      const kwf_row_t *row = &changes->rows[i];
      if (g_str_has_prefix (row->key, "list/"))
        shares->list_version = MAX (shares->list_version, row->version);
      epoch_apply_row (shares, row, effects);
      save_apply_row (shares, row);
    }
}

static guint
count_members (const session_t *session)
{
  guint n = 0;
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    n += !member.expired && !member.leaving;
  return n;
}

void
shares_step (shares_t *shares, session_t *session, const kwf_event_t *event,
             const session_changes_t *changes, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (shares->clock);
  shares->session = session;
  advance_accrual (shares, now_ns);
  apply_changes (shares, changes, effects);
  if (changes->fresh)
    shares->n_members = count_members (session);
  handle_event (shares, event, now_ns, effects);
  epoch_run (shares, changes->fresh, now_ns, effects);
  transfer_expire_grants (shares, now_ns, effects);
  if (give_up_run (shares, changes->fresh))
    kwf_effects_log (effects, 155, KWF_LOG_INFO, NULL,
                     "stopping: gave up the shares of epoch %" PRId64,
                     shares->epoch);
  save_run (shares, now_ns, effects);
  for (guint i = shares->busy->len; i-- > 0;)
    {
      account_t *account = g_ptr_array_index (shares->busy, i);
      epoch_fill_new_account (shares, account);
      serve_account (shares, account, now_ns, effects);
      account->busy = is_busy (account);
      if (!account->busy)
        g_ptr_array_remove_index_fast (shares->busy, i);
    }
}

static void
prefetch (shares_t *shares, account_t *account, int64_t now_ns,
          kwf_effects_t *effects)
{
  const bucket_t *bucket = &account->bucket;
  if (account->round || now_ns < account->next_prefetch_ns
      || bucket->level >= bucket_cap (bucket) * SHARE_PREFETCH_LEVEL)
    return;
  bool soon = bucket->level < bucket->demand * SHARE_PREFETCH_S;
  account->next_prefetch_ns
      = now_ns + (soon ? SHARE_PREFETCH_NS : SHARE_PREFETCH_IDLE_NS);
  transfer_ask (shares, account, now_ns, effects);
  if (!account->asked->len)
    account->round = 0;
  mark_busy (shares, account);
}

share_result_t
shares_charge (shares_t *shares, const char *organisation,
               kwf_handle_t request, double tokens, kwf_effects_t *effects)
{
  share_result_t result = { request, SHARE_REFUSED, -1 };
  int64_t now_ns = kwf_now_ns (shares->clock);
  account_t *account = find_account (shares, organisation);
  if (!account || !account->present || !(tokens >= 0) || !shares->session
      || !session_may_act (shares->session))
    return result;
  advance_accrual (shares, now_ns);
  epoch_fill_new_account (shares, account);
  bucket_t *bucket = &account->bucket;
  bucket_fill (bucket, shares->valid_ns);
  double allowance = shares_own_overdraft (shares, account);
  if (tokens > bucket->limit_burst + fmax (allowance, 0))
    return result;
  bucket_update_demand (bucket, tokens, now_ns);
  if (!account->waiters->len && tokens <= bucket->level + allowance)
    {
      bucket->level -= tokens;
      prefetch (shares, account, now_ns, effects);
      return (share_result_t){ request, SHARE_GRANTED, 0 };
    }
  if (!shares->steady && !account->waiters->len
      && now_ns < account->ask_backoff_until_ns)
    {
      result.retry_after_ms
          = fair_retry_after_ms (shares, account, tokens, now_ns);
      return result;
    }
  save_release (shares, account);
  waiter_t waiter = { request, tokens, now_ns };
  g_array_append_val (account->waiters, waiter);
  mark_busy (shares, account);
  if (shares->steady)
    {
      if (account->waiters->len > 1
          || collect_ask (shares, account, now_ns, effects))
        return (share_result_t){ request, SHARE_WAIT, 0 };
      g_ptr_array_set_size (account->asked, 0);
    }
  else if (!account->round)
    transfer_ask (shares, account, now_ns, effects);
  if (!account->asked->len)
    {
      account->round = 0;
      g_array_remove_index (account->waiters, account->waiters->len - 1);
      *(account->unlinked ? &shares->counts.unlinked : &shares->counts.scarce)
          += 1;
      result.retry_after_ms
          = fair_retry_after_ms (shares, account, tokens, now_ns);
      return result;
    }
  return (share_result_t){ request, SHARE_WAIT, 0 };
}

const share_result_t *
shares_take_results (shares_t *shares, size_t *count)
{
  GArray *list = shares->results;
  shares->results = shares->taken;
  shares->taken = list;
  g_array_set_size (shares->results, 0);
  *count = list->len;
  return (const share_result_t *)(void *)list->data;
}

void
shares_cancel (shares_t *shares, kwf_handle_t request)
{
  for (guint i = 0; i < shares->busy->len; i++)
    {
      account_t *account = g_ptr_array_index (shares->busy, i);
      for (guint j = 0; j < account->waiters->len; j++)
        if (g_array_index (account->waiters, waiter_t, j).request == request)
          {
            g_array_remove_index (account->waiters, j);
            break;
          }
    }
}

void
shares_refund (shares_t *shares, const char *organisation, double tokens)
{
  account_t *account = find_account (shares, organisation);
  if (!account || !(tokens > 0))
    return;
  bucket_t *bucket = &account->bucket;
  bucket_fill (bucket, shares->valid_ns);
  bucket->level = fmin (bucket->level + tokens, bucket_cap (bucket));
  bucket_update_demand (bucket, -tokens, kwf_now_ns (shares->clock));
}

share_holding_t
shares_holding (shares_t *shares, const char *organisation)
{
  account_t *account = find_account (shares, organisation);
  if (!account)
    return (share_holding_t){ 0 };
  bucket_fill (&account->bucket, shares->valid_ns);
  return (share_holding_t){ bucket_rate (&account->bucket),
                            bucket_cap (&account->bucket),
                            account->bucket.level + collect_held (account) };
}

bool
shares_ready (const shares_t *shares)
{
  /* An instance without a share gets tokens from the share owners.  */
  return shares->share > 0 || (shares->steady && shares->epoch);
}

int64_t
shares_epoch (const shares_t *shares)
{
  return shares->epoch;
}

int64_t
shares_next_tick_ns (const shares_t *shares)
{
  int64_t deadline
      = MIN (epoch_next_tick_ns (shares), transfer_next_tick_ns (shares));
  deadline = MIN (deadline, save_next_tick_ns (shares));
  for (guint i = 0; i < shares->busy->len; i++)
    {
      const account_t *account = g_ptr_array_index (shares->busy, i);
      if (account->waiters->len)
        deadline = MIN (deadline,
                        g_array_index (account->waiters, waiter_t, 0).since_ns
                            + SHARE_WAIT_NS);
      if (shares->steady && account->waiters->len && account->asked->len)
        deadline = MIN (deadline, account->round_ns + SHARE_ANSWER_NS);
      else if (shares->steady && account->waiters->len)
        deadline = MIN (deadline, account->next_ask_ns);
    }
  return deadline;
}
