#include "common-repeats.h"

/* Number of TIMES before UNTIL_NS.  */
static int
count_before (const GArray *times, int64_t until_ns)
{
  guint low = 0;
  guint high = times->len;
  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (g_array_index (times, int64_t, middle) < until_ns)
        low = middle + 1;
      else
        high = middle;
    }
  return (int)low;
}

static int
count_window (const repeats_rule_t *rule, const GArray *times, int64_t end_ns)
{
  return count_before (times, end_ns)
         - count_before (times, end_ns - rule->window_ns);
}

static double
allowed_until (const repeats_rule_t *rule, const GArray *sent, int64_t end_ns)
{
  int most = 0;
  for (int i = 0; i < 3; i++)
    {
      int n = count_window (rule, sent, end_ns - i * rule->window_ns / 2);
      most = MAX (most, n);
    }
  return rule->ratio * most + rule->slack;
}

repeats_verdict_t
repeats_judge (const repeats_rule_t *rule, const GArray *sent,
               const GArray *repeats)
{
  repeats_verdict_t verdict = { .allowed = rule->slack };
  double nearest = -1;
  for (guint i = 0; i < repeats->len; i++)
    {
      int64_t end_ns = g_array_index (repeats, int64_t, i) + 1;
      int n = count_window (rule, repeats, end_ns);
      double allowed = allowed_until (rule, sent, end_ns);
      verdict.n_excessive += n > allowed;
      if (n <= nearest * allowed)
        continue;
      nearest = allowed > 0 ? n / allowed : n;
      verdict.most = n;
      verdict.allowed = allowed;
      verdict.end_ns = end_ns;
    }
  return verdict;
}
