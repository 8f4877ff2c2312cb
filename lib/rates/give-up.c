#include "give-up.h"

#include <math.h>

/* Whether this instance is stopping and another member is not.  */
static bool
has_successor (const shares_t *shares)
{
  session_member_t member;
  size_t at = 0;
  session_next_member (shares->session, &at, &member);
  if (!member.leaving)
    return false;
  while (session_next_member (shares->session, &at, &member))
    if (!member.leaving && !member.expired && member.fresh
        && member.epoch_left < SESSION_LEFT_ALL_EPOCHS)
      return true;
  return false;
}

static void
drop_share (const shares_t *shares, account_t *account)
{
  bucket_t *bucket = &account->bucket;
  bucket_fill (bucket, shares->valid_ns);
  account->share = account->old_share = 0;
  account->fresh = false;
  account->floor = account->floor_sent = bucket->floor = 0;
  bucket->rate = bucket->old_rate = 0;
  bucket->cap = bucket->old_cap = 0;
  bucket->level = fmin (bucket->level, 0);
}

bool
give_up_run (shares_t *shares, bool fresh)
{
  if (!shares->steady || shares->gave_up || !shares->epoch || !fresh
      || !has_successor (shares))
    return false;
  shares->gave_up = true;
  shares->share = 0;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, shares->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    drop_share (shares, value);
  session_set_epoch_left (shares->session, SESSION_LEFT_ALL_EPOCHS);
  return true;
}
