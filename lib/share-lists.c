/* Passes the limits of the active lists to the rate shares.  */

#include "share-state.h"

void
shares_set_lists (shares_t *shares, const kwf_lists_t *lists)
{
  size_t n = lists ? kwf_lists_n_organisations (lists) : 0;
  share_limit_t *limits = g_new (share_limit_t, n);
  for (size_t i = 0; i < n; i++)
    {
      const kwf_organisation_t *organisation
          = kwf_lists_organisation_at (lists, i);
      limits[i] = (share_limit_t){ organisation->name, organisation->rate,
                                   organisation->burst };
    }
  shares_set_limits (shares, limits, n);
  g_free (limits);
}
