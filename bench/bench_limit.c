/* A backend server that names a limit, the only copy of its service, while
   callers ask for twice as much.  Three ways of not sharing the limit are
   measured beside the product: nobody knows it; each instance keeps all of it
   for itself; each keeps an equal part.

   Usage: bench_limit [quick] */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>

#include "test/common-core-fleet.h"

#define NAMED_NS (10 * KWF_NS_PER_S)
#define SATURATED_NS (14 * KWF_NS_PER_S)
#define END_NS (34 * KWF_NS_PER_S)
#define DISTURBED_NS (20 * KWF_NS_PER_S)
#define HEALED_NS (24 * KWF_NS_PER_S)
#define OVERLOAD 2.0

typedef enum
{
  PRODUCT,
  UNKNOWN,
  ALONE,
  EQUAL_PARTS
} way_t;

static const char *const ways[]
    = { "product", "unknown", "alone", "equal_parts" };

typedef enum
{
  NOTHING,
  OWNER_KILLED,
  OWNER_FROZEN,
  OWNER_CUT,
  STORE_AWAY,
  N_FAULTS
} fault_t;

static const char *const faults[N_FAULTS]
    = { "none", "owner_killed", "owner_frozen", "owner_cut", "store_away" };

/* Token buckets of the instances, for the ways that need no messages.  */
typedef struct
{
  double rate;
  double *tokens;
  int64_t *filled_ns;
} buckets_t;

static bool
take_token (core_fleet_t *fleet, int instance)
{
  buckets_t *buckets = fleet->data;
  if (fleet->now_ns < NAMED_NS)
    return true;
  double passed_s = (double)(fleet->now_ns - buckets->filled_ns[instance])
                    / (double)KWF_NS_PER_S;
  double *tokens = &buckets->tokens[instance];
  *tokens = MIN (*tokens + passed_s * buckets->rate, 1);
  buckets->filled_ns[instance] = fleet->now_ns;
  if (*tokens < 1)
    return false;
  *tokens -= 1;
  return true;
}

/* The instance that grants most of the permits: the owner of the limit.  */
static int
find_owner (const core_fleet_t *fleet)
{
  int owner = 0;
  double most = -1;
  for (int i = 0; i < fleet->n_instances; i++)
    {
      char *text = kwf_core_metrics (fleet->instances[i].core);
      const char *line = strstr (text, "kwf_permits_total{kind=\"granted\"} ");
      double granted = line ? g_ascii_strtod (strchr (line, ' '), NULL) : 0;
      if (granted > most)
        owner = i;
      most = MAX (most, granted);
      free (text);
    }
  return owner;
}

static void
begin_fault (core_fleet_t *fleet, fault_t fault, int owner)
{
  if (fault == OWNER_KILLED)
    core_fleet_kill (fleet, owner);
  else if (fault == OWNER_FROZEN)
    core_fleet_freeze (fleet, owner);
  else if (fault == OWNER_CUT)
    core_fleet_set_cut (fleet, owner, true);
  fleet->store_down = fault == STORE_AWAY;
}

static void
end_fault (core_fleet_t *fleet, fault_t fault, int owner)
{
  if (fault == OWNER_KILLED)
    core_fleet_start (fleet, owner);
  else if (fault == OWNER_FROZEN)
    core_fleet_thaw (fleet, owner);
  else if (fault == OWNER_CUT)
    core_fleet_set_cut (fleet, owner, false);
  fleet->store_down = false;
}

/* Most arrivals in one window that begins after the limit has been in force
   for a while.  */
static int
most_in_window (const core_fleet_t *fleet)
{
  const GArray *arrivals = fleet->servers[0].arrivals;
  int most = 0;
  guint from = 0;
  for (guint i = 0; i < arrivals->len; i++)
    {
      int64_t at_ns = g_array_index (arrivals, core_fleet_arrival_t, i).at_ns;
      while (g_array_index (arrivals, core_fleet_arrival_t, from).at_ns
             <= at_ns - CORE_FLEET_WINDOW_NS)
        from++;
      if (at_ns >= NAMED_NS + 3 * KWF_NS_PER_S)
        most = MAX (most, (int)(i - from + 1));
    }
  return most;
}

static void
print_figure (const char *scenario, const char *metric, double value,
              const char *unit)
{
  printf ("{\"bench\":\"limit %s\",\"metric\":\"%s\",\"value\":%.3f,"
          "\"unit\":\"%s\",\"baseline\":null}\n",
          scenario, metric, value, unit);
}

static void
print_times (const core_fleet_t *fleet, const char *scenario)
{
  double *waits = g_new (double, fleet->requests->len + 1);
  size_t n = 0;
  int n_all = 0;
  for (guint i = 0; i < fleet->requests->len; i++)
    {
      const core_fleet_request_t *request
          = &g_array_index (fleet->requests, core_fleet_request_t, i);
      if (request->sent_ns < SATURATED_NS
          || request->sent_ns > END_NS - fleet->deadline_ns)
        continue;
      n_all++;
      if (request->status == 200)
        waits[n++] = (double)(request->ended_ns - request->sent_ns) / 1e6;
    }
  gsl_sort (waits, 1, n);
  print_figure (scenario, "served", n_all ? (double)n / n_all : 0, "part");
  if (n)
    print_figure (scenario, "time_p50",
                  gsl_stats_quantile_from_sorted_data (waits, 1, n, 0.5),
                  "ms");
  g_free (waits);
}

static uint64_t
count_messages (const core_fleet_t *fleet)
{
  uint64_t n = 0;
  for (int i = 0; i < fleet->n_instances; i++)
    n += fleet->instances[i].n_messages;
  return n;
}

static void
run (way_t way, int n_instances, double limit, fault_t fault)
{
  buckets_t buckets
      = { .rate = way == EQUAL_PARTS ? limit / n_instances : limit };
  core_fleet_t *fleet = core_fleet_new (1, n_instances, 1);
  buckets.tokens = g_new0 (double, n_instances);
  buckets.filled_ns = g_new0 (int64_t, n_instances);
  fleet->deaf = way != PRODUCT;
  fleet->gate = way == PRODUCT || way == UNKNOWN ? NULL : take_token;
  fleet->data = &buckets;
  double rate = OVERLOAD * limit;
  core_fleet_run (fleet, NAMED_NS - KWF_NS_PER_S);
  core_fleet_run_callers (fleet, rate, NAMED_NS);
  core_fleet_name_limit (fleet, 0, limit);
  core_fleet_run_callers (fleet, rate, SATURATED_NS);
  uint64_t messages_before = count_messages (fleet);
  core_fleet_run_callers (fleet, rate, DISTURBED_NS);
  double messages = (double)(count_messages (fleet) - messages_before)
                    * (double)KWF_NS_PER_S
                    / (double)(DISTURBED_NS - SATURATED_NS);
  int owner = fault ? find_owner (fleet) : 0;
  begin_fault (fleet, fault, owner);
  core_fleet_run_callers (fleet, rate, HEALED_NS);
  end_fault (fleet, fault, owner);
  core_fleet_run_callers (fleet, rate, END_NS);
  char *scenario
      = g_strdup_printf ("%s, %d instances, limit %g, fault %s", ways[way],
                         n_instances, limit, faults[fault]);
  int used = core_fleet_count (fleet, 0, SATURATED_NS, END_NS);
  double seconds = (double)(END_NS - SATURATED_NS) / (double)KWF_NS_PER_S;
  print_figure (scenario, "most_in_4_s", most_in_window (fleet), "requests");
  print_figure (scenario, "aim_in_4_s", 4 * limit + 5, "requests");
  print_figure (scenario, "used", used / (limit * seconds), "part");
  print_figure (scenario, "messages_an_instance", messages / n_instances,
                "1/s");
  print_times (fleet, scenario);
  g_free (scenario);
  g_free (buckets.tokens);
  g_free (buckets.filled_ns);
  core_fleet_free (fleet);
}

int
main (int argc, char **argv)
{
  static const int sizes[] = { 8, 91, 295 };
  static const double limits[] = { 0.5, 2, 20, 200 };
  bool quick = argc > 1 && strcmp (argv[1], "quick") == 0;
  size_t n_sizes = quick ? 1 : G_N_ELEMENTS (sizes);
  for (size_t i = 0; i < n_sizes; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (limits); k++)
      for (int way = PRODUCT; way <= EQUAL_PARTS; way++)
        run ((way_t)way, sizes[i], limits[k], NOTHING);
  for (size_t i = 0; i < n_sizes; i++)
    for (int fault = OWNER_KILLED; fault < N_FAULTS; fault++)
      run (PRODUCT, sizes[i], 2, (fault_t)fault);
  return 0;
}
