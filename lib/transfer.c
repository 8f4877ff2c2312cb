/* Transfers of rate, cap and tokens between instances: a share request, the
   share grant that answers it, and the share ack that confirms the grant.  */

#include <math.h>
#include <string.h>

#include "rates/collect.h"
#include "rates/save.h"
#include "share-state.h"

void
pending_grant_free (void *data)
{
  pending_grant_t *pending = data;
  g_free (pending->instance);
  g_free (pending);
}

static double
waiting_tokens (const account_t *account)
{
  double sum = 0;
  for (guint i = 0; i < account->waiters->len; i++)
    sum += g_array_index (account->waiters, waiter_t, i).tokens;
  return sum;
}

/* Lists the peers that get a share request: the linked share owners, or all
   linked members if shares are not steady.  */
static void
list_peers (const shares_t *shares, account_t *account)
{
  GPtrArray *peers = account->asked;
  g_ptr_array_set_size (peers, 0);
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (shares->session, &at, &member))
    {
      if (member.linked
          && (!shares->steady
              || share_owners_contain (account, member.instance))
          && shares_holder_of (shares, shares->holders, member.instance,
                               member.incarnation))
        g_ptr_array_add (peers, g_strdup (member.instance));
    }
}

/* Tokens to request from each of N peers.  Negative: cap is requested with the
   tokens, because the bucket has no room for them.  The grants of all peers
   should fit into the bucket.  */
static double
tokens_per_peer (const account_t *account, double n)
{
  const bucket_t *bucket = &account->bucket;
  double room = bucket_cap (bucket) - bucket->level;
  double need = waiting_tokens (account) - bucket->level;
  double first = account->waiters->len
                     ? g_array_index (account->waiters, waiter_t, 0).tokens
                     : 0;
  if (first - bucket->level > room)
    return bucket->level - first;
  return fmin (fmax (need, room / n), room / fmin (n, 3));
}

static void
send_requests (const shares_t *shares, const account_t *account, double wanted,
               kwf_effects_t *effects)
{
  for (guint i = 0; i < account->asked->len; i++)
    session_send (account->asked->pdata[i], KWF_MSG_SHARE_REQUEST, effects)
        ->share_request
        = (kwf_share_request_t){ .epoch = shares->epoch,
                                 .number = account->round,
                                 .organisation
                                 = kwf_effects_strdup (effects, account->name),
                                 .tokens = wanted,
                                 .ahead = !account->waiters->len };
}

void
transfer_ask (shares_t *shares, account_t *account, int64_t now_ns,
              kwf_effects_t *effects)
{
  account->round = ++shares->next_number;
  account->round_ns = now_ns;
  account->received = 0;
  list_peers (shares, account);
  send_requests (shares, account,
                 tokens_per_peer (account, account->asked->len), effects);
}

void
transfer_handle_request (shares_t *shares, const kwf_peer_event_t *event,
                         int64_t now_ns, kwf_effects_t *effects)
{
  const kwf_share_request_t *share_request = &event->message->share_request;
  account_t *account
      = g_hash_table_lookup (shares->accounts, share_request->organisation);
  bucket_part_t part = { 0 };
  double left = 0;
  if (share_request->epoch > shares->epoch)
    session_renew_soon (shares->session);
  if (account && account->present && share_request->epoch == shares->epoch
      && shares->share > 0 && session_may_act (shares->session)
      && (shares->steady
          || holder_find (shares->holders, event->instance,
                          event->incarnation)))
    {
      bucket_fill (&account->bucket, shares->valid_ns);
      bucket_update_demand (&account->bucket, 0, now_ns);
      bucket_request_t wanted = { .tokens = fabs (share_request->tokens),
                                  .with_cap = share_request->tokens < 0,
                                  .ahead = share_request->ahead };
      part = bucket_spare (&account->bucket, &wanted, waiting_tokens (account),
                           shares->share);
      left = bucket_could_grant (&account->bucket, waiting_tokens (account))
             - part.level;
      if (!share_request->ahead && part.level < wanted.tokens)
        save_release (shares, account);
      if (!save_can_release (shares))
        left -= account->bucket.floor;
    }
  if (part.rate > 0 || part.cap > 0 || part.level > 0)
    {
      pending_grant_t *pending = g_new0 (pending_grant_t, 1);
      pending->instance = g_strdup (event->instance);
      pending->number = share_request->number;
      pending->sent_ns = now_ns;
      pending->account = account;
      pending->tokens = part.level;
      pending->reserved = bucket_subtract (&account->bucket, &part);
      g_ptr_array_add (shares->pending_grants, pending);
    }
  session_send (event->instance, KWF_MSG_SHARE_GRANT, effects)->share_grant
      = (kwf_share_grant_t){ .epoch = shares->epoch,
                             .number = share_request->number,
                             .organisation = kwf_effects_strdup (
                                 effects, share_request->organisation),
                             .rate = part.rate,
                             .cap = part.cap,
                             .level = part.level,
                             .tells_left
                             = shares->steady
                               && share_request->number > SHARE_NUMBER_LEVELS,
                             .left = fmax (left, 0) };
}

static void
remove_asked (account_t *account, const char *instance)
{
  for (guint i = 0; i < account->asked->len; i++)
    if (strcmp (account->asked->pdata[i], instance) == 0)
      {
        g_ptr_array_remove_index_fast (account->asked, i);
        return;
      }
}

static bool
is_grant_valid (const kwf_share_grant_t *share_grant)
{
  return share_grant->rate >= 0 && share_grant->rate <= 1
         && share_grant->cap >= 0 && share_grant->cap <= 1
         && share_grant->level >= 0
         && share_grant->rate + share_grant->cap + share_grant->level > 0;
}

void
transfer_handle_grant (shares_t *shares, const kwf_peer_event_t *event,
                       kwf_effects_t *effects)
{
  const kwf_share_grant_t *share_grant = &event->message->share_grant;
  if (share_grant->epoch > shares->epoch)
    session_renew_soon (shares->session);
  account_t *account
      = g_hash_table_lookup (shares->accounts, share_grant->organisation);
  if (!account)
    return;
  if (share_grant->number == account->round)
    remove_asked (account, event->instance);
  if (shares->steady)
    collect_note_level (shares, account, event);
  holder_t *holder = shares_holder_of (shares, shares->holders,
                                       event->instance, event->incarnation);
  if (!holder || share_grant->epoch != shares->epoch
      || !is_grant_valid (share_grant)
      || share_grant->number <= holder->last_grant
      || share_grant->number > shares->next_number)
    return;
  holder->last_grant = share_grant->number;
  if (share_grant->number == account->round)
    account->received += share_grant->level;
  if (shares->steady)
    {
      collect_add (shares, account, event, effects);
      return;
    }
  bucket_part_t part
      = { share_grant->rate, share_grant->cap, share_grant->level };
  bucket_fill (&account->bucket, shares->valid_ns);
  bucket_add (&account->bucket, &part);
  session_send (event->instance, KWF_MSG_SHARE_ACK, effects)->share_ack
      = share_grant->number;
}

void
transfer_handle_ack (shares_t *shares, const kwf_peer_event_t *event)
{
  for (guint i = 0; i < shares->pending_grants->len; i++)
    {
      const pending_grant_t *pending = shares->pending_grants->pdata[i];
      if (pending->number != event->message->share_ack
          || strcmp (pending->instance, event->instance) != 0)
        continue;
      bucket_release_reserved (&pending->account->bucket, pending->reserved);
      if (shares->steady && event->message->share_returned > 0)
        bucket_return (&pending->account->bucket,
                       fmin (event->message->share_returned, pending->tokens),
                       shares->valid_ns);
      g_ptr_array_remove_index_fast (shares->pending_grants, i);
      return;
    }
}

static void
handle_unconfirmed_grant (shares_t *shares, const pending_grant_t *pending,
                          kwf_effects_t *effects)
{
  const char *instance = pending->instance;
  /* The tokens are lost and accrue again.  */
  if (shares->steady)
    {
      bucket_release_reserved (&pending->account->bucket, pending->reserved);
      return;
    }
  if (!shares->needs_epoch)
    kwf_effects_log (effects, 152, KWF_LOG_WARNING, NULL,
                     "a transfer to %s was not confirmed; "
                     "a new share epoch is needed",
                     instance);
  shares->needs_epoch = true;
}

/* The link is new: grants that were sent on the former link and not confirmed
   are lost.  */
void
transfer_peer_up (shares_t *shares, const char *instance,
                  kwf_effects_t *effects)
{
  /* Where shares are steady, the receiver may still spend tokens that arrived
     on the former link.  */
  for (guint i = shares->steady ? 0 : shares->pending_grants->len; i-- > 0;)
    {
      const pending_grant_t *pending = shares->pending_grants->pdata[i];
      if (strcmp (pending->instance, instance) != 0)
        continue;
      handle_unconfirmed_grant (shares, pending, effects);
      g_ptr_array_remove_index_fast (shares->pending_grants, i);
    }
}

void
transfer_peer_down (shares_t *shares, const char *instance)
{
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    remove_asked (value, instance);
}

void
transfer_expire_grants (shares_t *shares, int64_t now_ns,
                        kwf_effects_t *effects)
{
  for (guint i = shares->pending_grants->len; i-- > 0;)
    {
      const pending_grant_t *pending = shares->pending_grants->pdata[i];
      if (now_ns - pending->sent_ns < SHARE_CONFIRM_NS)
        continue;
      handle_unconfirmed_grant (shares, pending, effects);
      g_ptr_array_remove_index_fast (shares->pending_grants, i);
    }
}

int64_t
transfer_next_tick_ns (const shares_t *shares)
{
  int64_t deadline = INT64_MAX;
  for (guint i = 0; i < shares->pending_grants->len; i++)
    {
      const pending_grant_t *pending = shares->pending_grants->pdata[i];
      deadline = MIN (deadline, pending->sent_ns + SHARE_CONFIRM_NS);
    }
  return deadline;
}
