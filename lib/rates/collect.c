#include "collect.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "choose.h"

/* A parcel is not spent after this time: the owner takes the tokens for lost
   SHARE_CONFIRM_NS after the grant, which it sent after the request.  */
#define PARCEL_MAX_NS (SHARE_CONFIRM_NS / 2)

/* Least and longest time between rounds of requests while tokens accrue.  An
   organisation above its rate would otherwise cause a request to each owner
   for each of its requests.  */
#define ASK_AGAIN_MIN_NS (10 * KWF_NS_PER_MS)
#define ASK_AGAIN_MAX_NS SHARE_ASK_BACKOFF_NS

/* A level that an owner told this long ago is no ground for a refusal.  */
#define LEVEL_RECENT_NS (30 * KWF_NS_PER_MS)

typedef struct
{
  char *instance;
  int64_t number;
  double tokens;
  int64_t asked_ns;
  bool returns; /* the owner takes tokens back */
} parcel_t;

typedef struct
{
  char *instance;
  double level;
  int64_t told_ns;
} owner_level_t;

void
parcel_free (void *data)
{
  parcel_t *parcel = data;
  g_free (parcel->instance);
  g_free (parcel);
}

void
owner_level_free (void *data)
{
  owner_level_t *level = data;
  g_free (level->instance);
  g_free (level);
}

double
collect_held (const account_t *account)
{
  double sum = 0;
  for (guint i = 0; i < account->parcels->len; i++)
    sum += ((const parcel_t *)account->parcels->pdata[i])->tokens;
  return sum;
}

static void
confirm (const char *instance, int64_t number, double returned,
         kwf_effects_t *effects)
{
  kwf_message_t *message = session_send (instance, KWF_MSG_SHARE_ACK, effects);
  message->share_ack = number;
  message->share_returned = returned;
}

void
collect_spend (account_t *account, double tokens, kwf_effects_t *effects)
{
  while (tokens > 0 && account->parcels->len)
    {
      parcel_t *parcel = account->parcels->pdata[0];
      double spent = fmin (tokens, parcel->tokens);
      tokens -= spent;
      parcel->tokens -= spent;
      if (parcel->tokens > 0)
        return;
      if (parcel->returns)
        confirm (parcel->instance, parcel->number, 0, effects);
      g_ptr_array_remove_index (account->parcels, 0);
    }
  account->bucket.level -= tokens;
}

void
collect_return (account_t *account, kwf_effects_t *effects)
{
  for (guint i = 0; i < account->parcels->len; i++)
    {
      const parcel_t *parcel = account->parcels->pdata[i];
      if (parcel->returns)
        confirm (parcel->instance, parcel->number, parcel->tokens, effects);
    }
  g_ptr_array_set_size (account->parcels, 0);
}

void
collect_expire (account_t *account, int64_t now_ns, kwf_effects_t *effects)
{
  for (guint i = account->parcels->len; i-- > 0;)
    {
      const parcel_t *parcel = account->parcels->pdata[i];
      if (now_ns - parcel->asked_ns < PARCEL_MAX_NS)
        continue;
      if (parcel->returns)
        confirm (parcel->instance, parcel->number, parcel->tokens, effects);
      g_ptr_array_remove_index (account->parcels, i);
    }
}

/* Puts the tokens of a grant into the bucket of a share owner.  */
static void
add_to_bucket (account_t *account, const kwf_peer_event_t *event,
               kwf_effects_t *effects)
{
  const kwf_share_grant_t *grant = &event->message->share_grant;
  double before = account->bucket.level;
  bucket_add (&account->bucket, &(bucket_part_t){ .level = grant->level });
  double excess = fmax (before + grant->level - account->bucket.level, 0);
  confirm (event->instance, grant->number,
           grant->tells_left ? fmin (excess, grant->level) : 0, effects);
}

void
collect_add (shares_t *shares, account_t *account,
             const kwf_peer_event_t *event, kwf_effects_t *effects)
{
  const kwf_share_grant_t *grant = &event->message->share_grant;
  if (!account->waiters->len && account->share > 0)
    {
      add_to_bucket (account, event, effects);
      return;
    }
  /* An answer to an earlier round may be older than this round.  */
  int64_t asked_ns = grant->number == account->round
                         ? account->round_ns
                         : account->round_ns - SHARE_WAIT_NS;
  parcel_t *parcel = g_new0 (parcel_t, 1);
  *parcel = (parcel_t){ .instance = g_strdup (event->instance),
                        .number = grant->number,
                        .tokens = grant->level,
                        .asked_ns = asked_ns,
                        .returns = grant->tells_left };
  g_ptr_array_add (account->parcels, parcel);
  if (!parcel->returns)
    confirm (event->instance, grant->number, 0, effects);
  if (!account->waiters->len || !session_may_act (shares->session))
    collect_return (account, effects);
}

static owner_level_t *
find_level (const account_t *account, const char *instance)
{
  for (guint i = 0; i < account->levels->len; i++)
    {
      owner_level_t *level = account->levels->pdata[i];
      if (strcmp (level->instance, instance) == 0)
        return level;
    }
  return NULL;
}

static void
note_level (account_t *account, const char *instance, double tokens,
            int64_t now_ns)
{
  owner_level_t *level = find_level (account, instance);
  if (!level)
    {
      level = g_new0 (owner_level_t, 1);
      level->instance = g_strdup (instance);
      g_ptr_array_add (account->levels, level);
    }
  level->level = tokens;
  level->told_ns = now_ns;
}

void
collect_note_level (const shares_t *shares, account_t *account,
                    const kwf_peer_event_t *event)
{
  const kwf_share_grant_t *grant = &event->message->share_grant;
  int64_t now_ns = kwf_now_ns (shares->clock);
  /* An owner that is in another epoch, or that does not tell its level, is
     asked again when tokens may have accrued.  */
  note_level (account, event->instance, grant->tells_left ? grant->left : 0,
              now_ns);
}

/* Tokens a second that accrue at each owner.  */
static double
owner_rate (const account_t *account)
{
  return account->bucket.limit_rate / MAX (account->share_owners->len, 1);
}

static double
owner_cap (const account_t *account)
{
  return account->bucket.limit_burst / MAX (account->share_owners->len, 1);
}

/* Tokens that OWNER probably has now.  An owner that told nothing so far is
   taken to be half full.  */
static double
estimate_level (const account_t *account, const char *owner, int64_t now_ns,
                bool *recent)
{
  const owner_level_t *level = find_level (account, owner);
  double cap = owner_cap (account);
  *recent = level && now_ns - level->told_ns < LEVEL_RECENT_NS;
  if (!level)
    return cap / 2;
  double elapsed_s = (double)(now_ns - level->told_ns) / KWF_NS_PER_S;
  return fmin (level->level + elapsed_s * owner_rate (account), cap);
}

/* The linked owners of ACCOUNT other than this instance; the caller frees
   them.  */
static GArray *
list_owners (const shares_t *shares, const account_t *account, int64_t now_ns)
{
  GArray *owners = g_array_new (FALSE, TRUE, sizeof (rates_owner_t));
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (shares->session, &at, &member))
    {
      if (!member.linked || !share_owners_contain (account, member.instance))
        continue;
      rates_owner_t owner = { .instance = member.instance };
      owner.level
          = estimate_level (account, member.instance, now_ns, &owner.recent);
      g_array_append_val (owners, owner);
    }
  return owners;
}

/* Tokens of the waiting requests that are missing here; FIRST: only those of
   the first one.  */
static double
missing_tokens (const shares_t *shares, const account_t *account, bool first)
{
  double sum = 0;
  guint n = first ? MIN (account->waiters->len, 1) : account->waiters->len;
  for (guint i = 0; i < n; i++)
    sum += g_array_index (account->waiters, waiter_t, i).tokens;
  return sum - account->bucket.level - collect_held (account)
         - shares_own_overdraft (shares, account);
}

/* One more owner than would be asked, after others did not answer.  */
static void
want_another (GArray *owners, double need)
{
  rates_owner_t *found = NULL;
  for (guint i = 0; i < owners->len; i++)
    {
      rates_owner_t *owner = &g_array_index (owners, rates_owner_t, i);
      if (owner->wanted <= 0 && (!found || owner->level > found->level))
        found = owner;
    }
  if (found)
    found->wanted = need;
}

static void
send_requests (shares_t *shares, account_t *account, const GArray *owners,
               int64_t now_ns, kwf_effects_t *effects)
{
  account->round = ++shares->next_number;
  account->round_ns = now_ns;
  g_ptr_array_set_size (account->asked, 0);
  for (guint i = 0; i < owners->len; i++)
    {
      const rates_owner_t *owner = &g_array_index (owners, rates_owner_t, i);
      if (owner->wanted <= 0)
        continue;
      g_ptr_array_add (account->asked, g_strdup (owner->instance));
      session_send (owner->instance, KWF_MSG_SHARE_REQUEST, effects)
          ->share_request
          = (kwf_share_request_t){ .epoch = shares->epoch,
                                   .number = account->round,
                                   .organisation = kwf_effects_strdup (
                                       effects, account->name),
                                   .tokens = owner->wanted };
    }
}

typedef struct
{
  double level; /* sum of the estimates */
  double rate;  /* tokens a second that accrue at these owners and here */
  bool recent;  /* all have told their levels recently */
} total_t;

static total_t
total_of (const account_t *account, const GArray *owners)
{
  total_t total = { .rate = bucket_rate (&account->bucket), .recent = true };
  for (guint i = 0; i < owners->len; i++)
    {
      const rates_owner_t *owner = &g_array_index (owners, rates_owner_t, i);
      total.level += owner->level;
      total.rate += owner_rate (account);
      total.recent &= owner->recent;
    }
  return total;
}

/* Time until the tokens of the first waiting request can be there; INT64_MAX:
   not before it has waited for SHARE_WAIT_NS.  */
static int64_t
accrual_ns (const account_t *account, const total_t *total, double missing,
            int64_t now_ns)
{
  const waiter_t *first = &g_array_index (account->waiters, waiter_t, 0);
  double left_s
      = (double)(first->since_ns + SHARE_WAIT_NS - now_ns) / KWF_NS_PER_S;
  double seconds
      = total->rate > 0 ? (missing - total->level) / total->rate : INFINITY;
  return seconds < left_s ? (int64_t)(seconds * KWF_NS_PER_S) : INT64_MAX;
}

bool
collect_ask (shares_t *shares, account_t *account, int64_t now_ns,
             kwf_effects_t *effects)
{
  GArray *owners = list_owners (shares, account, now_ns);
  total_t total = total_of (account, owners);
  double missing = missing_tokens (shares, account, true);
  bool possible = true;
  account->next_ask_ns = 0;
  account->unlinked = !owners->len;
  if (owners->len && total.recent && total.level < missing)
    {
      int64_t wait_ns = accrual_ns (account, &total, missing, now_ns);
      possible = wait_ns != INT64_MAX;
      wait_ns = CLAMP (wait_ns, ASK_AGAIN_MIN_NS, ASK_AGAIN_MAX_NS);
      account->next_ask_ns = now_ns + wait_ns;
    }
  else
    {
      uint64_t random = XXH64 (shares->instance, strlen (shares->instance),
                               (uint64_t)shares->next_number);
      double need = missing_tokens (shares, account, false);
      if (rates_choose ((rates_owner_t *)(void *)owners->data, owners->len,
                        need, owner_cap (account), random)
          && account->silent)
        want_another (owners, need);
      account->silent = false;
      send_requests (shares, account, owners, now_ns, effects);
      /* Without another owner a request is refused at once, unless saved
         tokens are being released.  */
      possible = account->asked->len || account->bucket.floor > 0;
      if (!account->asked->len)
        account->next_ask_ns = now_ns + ASK_AGAIN_MIN_NS;
    }
  g_array_free (owners, TRUE);
  return possible;
}

void
collect_handle_silence (account_t *account, int64_t now_ns)
{
  for (guint i = 0; i < account->asked->len; i++)
    note_level (account, account->asked->pdata[i], 0, now_ns);
  account->silent = account->asked->len > 0;
  g_ptr_array_set_size (account->asked, 0);
}
