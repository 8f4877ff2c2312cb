/* Chooses the members that own an organisation's rate and burst.

   If each of 82 instances owned a share of a small organisation's burst, that
   share would be less than one request.  A request that collects tokens from
   all of them gets more than it needs, and the excess is lost.  So a few share
   owners hold it all, and the other instances request tokens from them.  The
   owners are found by rendezvous hashing over the members of the share epoch,
   so that all instances find the same ones.  */

#include <string.h>
#include <xxhash.h>

#include "share-state.h"

typedef struct
{
  const char *instance;
  uint64_t hash;
} candidate_t;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const candidate_t *first = a;
  const candidate_t *second = b;
  if (first->hash != second->hash)
    return first->hash < second->hash ? 1 : -1;
  return strcmp (first->instance, second->instance);
}

static void
add_candidate (GArray *candidates, const char *instance,
               const char *organisation)
{
  uint64_t seed = XXH64 (organisation, strlen (organisation), 0);
  candidate_t candidate
      = { instance, XXH64 (instance, strlen (instance), seed) };
  g_array_append_val (candidates, candidate);
}

/* Keeps only the owners in CANDIDATES.  */
static void
keep_owners (GArray *candidates)
{
  g_array_sort (candidates, compare_candidates);
  g_array_set_size (candidates, MIN (candidates->len, SHARE_OWNERS));
}

static double
share_of (const GArray *share_owners, const char *instance)
{
  for (guint i = 0; i < share_owners->len; i++)
    if (strcmp (g_array_index (share_owners, candidate_t, i).instance,
                instance)
        == 0)
      return 1.0 / share_owners->len;
  return 0;
}

static GArray *
find_former_owners (const shares_t *shares, const account_t *account)
{
  GArray *share_owners = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  for (guint i = 0; i < shares->former->len; i++)
    add_candidate (share_owners, shares->former->pdata[i], account->name);
  keep_owners (share_owners);
  return share_owners;
}

void
share_owners_find (const shares_t *shares, account_t *account)
{
  GArray *share_owners = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  for (guint i = 0; i < shares->holders->len; i++)
    add_candidate (share_owners,
                   ((holder_t *)shares->holders->pdata[i])->instance,
                   account->name);
  keep_owners (share_owners);
  g_ptr_array_set_size (account->share_owners, 0);
  for (guint i = 0; i < share_owners->len; i++)
    g_ptr_array_add (
        account->share_owners,
        g_strdup (g_array_index (share_owners, candidate_t, i).instance));
  account->share = share_of (share_owners, shares->instance);
  g_array_free (share_owners, TRUE);
  share_owners = find_former_owners (shares, account);
  account->old_share = share_of (share_owners, shares->instance);
  g_array_free (share_owners, TRUE);
}

bool
share_owners_contain (const account_t *account, const char *instance)
{
  return g_ptr_array_find_with_equal_func (account->share_owners, instance,
                                           g_str_equal, NULL);
}
