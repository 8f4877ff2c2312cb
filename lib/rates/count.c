/* Counters of the requests that waited for tokens or were refused.  */

#include "../share-state.h"

void
shares_write_metrics (const shares_t *shares, GString *out)
{
  const share_counts_t *counts = &shares->counts;
  g_string_append_printf (
      out,
      "# TYPE kwf_rate_refused_total counter\n"
      "kwf_rate_refused_total{cause=\"scarce\"} %" PRIu64 "\n"
      "kwf_rate_refused_total{cause=\"late\"} %" PRIu64 "\n"
      "kwf_rate_refused_total{cause=\"unlinked\"} %" PRIu64 "\n"
      "# TYPE kwf_rate_waits_total counter\n"
      "kwf_rate_waits_total %" PRIu64 "\n"
      "# TYPE kwf_rate_wait_seconds_total counter\n"
      "kwf_rate_wait_seconds_total %.6f\n",
      counts->scarce, counts->late, counts->unlinked, counts->granted,
      (double)counts->granted_ns / KWF_NS_PER_S);
}
