/* The distributed token bucket against two simpler designs on the same demand:
   an equal static split, and one owner for each organisation.

   There are 8 instances and 5 organisations.  Demand is skewed (one instance
   has most of an organisation's requests), moves every few seconds, and now
   and then an organisation sends several times its rate.  One instance crashes
   in the middle; later there is a platform outage.

   One central bucket that gets the same demand decides what is inside the
   rate.  For each organisation and 2 s of demand, the tokens that the central
   bucket admits and the design does not are refused inside the rate.  They are
   reported for the organisations from which the central bucket refuses nothing
   at that time, and for all, including those above their rate.

   Messages and store operations of this design include the renewals of the
   leases; of the baselines only the messages of the rate limit are counted.

   Usage: bench_share [SEEDS] */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "test/common-fleet-sim.h"

#define NODES 8
#define ORGS 5
#define RATE 20000.0
#define BURST 40000.0
#define UNUSED 0.4 /* part of each charge that is refunded */

#define BEGIN_S 8 /* the first share epochs are over */
#define CRASH_S 30
#define RESTART_S 38
#define OUTAGE_S 46
#define OUTAGE_END_S 58
#define END_S 62
#define CRASH_NODE 2

typedef struct
{
  int64_t at_ns;
  int org;
  int node;
  double tokens;
  int64_t refund_ns; /* time at which the unused part is refunded */
} demand_t;

typedef enum
{
  PERIOD_QUIET,
  PERIOD_CRASH,
  PERIOD_OUTAGE,
  PERIOD_NONE
} period_t;

#define BIN_S 2
#define BINS (END_S / BIN_S + 1)

typedef struct
{
  /* Tokens inside the rate, and of these the refused ones.  Second index: 0
     for organisations that keep to their rate, 1 for all.  */
  double inside[PERIOD_NONE][2];
  double refused[PERIOD_NONE][2];
  double excess; /* largest excess over rate and burst, tokens */
  double messages;
  double store;
  double seconds;
} result_t;

/* Measures the tokens that were admitted above the rate.  */
typedef struct
{
  double above;
  int64_t at_ns;
} excess_meter_t;

typedef struct
{
  result_t result;
  excess_meter_t meters[ORGS];
  double admitted[ORGS][BINS]; /* by time of arrival */
  double declined[ORGS][BINS]; /* of the baselines only */
} run_t;

static const char *const names[ORGS] = { "a", "b", "c", "d", "e" };

static int64_t
at_s (double seconds)
{
  return (int64_t)(seconds * FLEET_SIM_S);
}

static period_t
period_of (int64_t at_ns)
{
  double at = (double)at_ns / FLEET_SIM_S;
  if (at >= BEGIN_S && at < CRASH_S - 2)
    return PERIOD_QUIET;
  if (at >= CRASH_S - 2 && at < CRASH_S + 8)
    return PERIOD_CRASH;
  if (at >= OUTAGE_S && at < OUTAGE_END_S)
    return PERIOD_OUTAGE;
  return PERIOD_NONE;
}

static void
advance (excess_meter_t *meter, int64_t now_ns)
{
  double elapsed = (double)(now_ns - meter->at_ns) / FLEET_SIM_S;
  meter->at_ns = now_ns;
  meter->above = fmax (meter->above - elapsed * RATE, 0);
}

static void
record_admitted (run_t *run, const demand_t *demand, int64_t now_ns)
{
  excess_meter_t *meter = &run->meters[demand->org];
  advance (meter, now_ns);
  meter->above += demand->tokens;
  run->result.excess = fmax (run->result.excess, meter->above - BURST);
  run->admitted[demand->org][demand->at_ns / (BIN_S * FLEET_SIM_S)]
      += demand->tokens;
}

static void
record_refund (run_t *run, int org, double tokens, int64_t now_ns)
{
  excess_meter_t *meter = &run->meters[org];
  advance (meter, now_ns);
  meter->above = fmax (meter->above - tokens, 0);
}

static void
start_run (run_t *run)
{
  *run = (run_t){ 0 };
  run->result.seconds = END_S - BEGIN_S;
}

/* Add up what RUN refused and the central bucket admitted.  */
static void
compare_with_central (run_t *run, const run_t *central)
{
  for (int org = 0; org < ORGS; org++)
    for (int bin = 0; bin < BINS; bin++)
      {
        period_t period = period_of ((int64_t)bin * BIN_S * FLEET_SIM_S);
        if (period == PERIOD_NONE)
          continue;
        double inside = central->admitted[org][bin];
        double refused = fmax (inside - run->admitted[org][bin], 0);
        for (int all = central->declined[org][bin] > 0; all < 2; all++)
          {
            run->result.inside[period][all] += inside;
            run->result.refused[period][all] += refused;
          }
      }
}

/* Demand.  */

static int
choose_node (fleet_sim_t *random, int org, int64_t at_ns)
{
  int hot = (int)((at_ns / (4 * FLEET_SIM_S) * 3 + org) % NODES);
  uint64_t pick = fleet_sim_random_below (random, 10);
  if (pick < 6)
    return hot;
  if (pick < 8)
    return (hot + 1) % NODES;
  return (int)fleet_sim_random_below (random, NODES);
}

static double
load_of (int org, int64_t at_ns)
{
  double at = (double)at_ns / FLEET_SIM_S;
  /* Each organisation in turn sends three times its rate for 2 s.  */
  int turn = (int)(at / 6);
  if (turn % ORGS == org && fmod (at, 6) < 2)
    return 3;
  return 0.55 + 0.25 * sin (at * (0.7 + org * 0.2));
}

static GArray *
make_demand (uint64_t seed)
{
  fleet_sim_t *random = fleet_sim_new (seed, 1);
  GArray *list = g_array_new (FALSE, TRUE, sizeof (demand_t));
  for (int64_t at_ns = at_s (BEGIN_S - 3); at_ns < at_s (END_S);
       at_ns += FLEET_SIM_MS)
    for (int org = 0; org < ORGS; org++)
      {
        double mean = 450;
        double chance
            = load_of (org, at_ns) * RATE / (1 - UNUSED) / mean / 1000;
        if (fleet_sim_random_unit (random) >= chance)
          continue;
        demand_t demand = {
          .at_ns
          = at_ns + (int64_t)fleet_sim_random_below (random, FLEET_SIM_MS),
          .org = org,
          .node = choose_node (random, org, at_ns),
          .tokens = 50 + fleet_sim_random_unit (random) * 800,
        };
        demand.refund_ns
            = demand.at_ns + at_s (0.2 + fleet_sim_random_unit (random) * 2);
        g_array_append_val (list, demand);
      }
  fleet_sim_free (random);
  return list;
}

/* Index of the instance that serves a request for the instance NODE at the
   time AT_NS: the next one while NODE is down after the crash.  */
static int
serving_node (int node, int64_t at_ns)
{
  bool down = at_ns >= at_s (CRASH_S) && at_ns < at_s (RESTART_S);
  return down && node == CRASH_NODE ? (node + 1) % NODES : node;
}

/* This design.  */

typedef struct
{
  run_t *run;
  const GArray *demand;
  uint64_t incarnation[1 << 16]; /* of the instance that was charged, by
                                    request */
  int node[1 << 16];
} fleet_t;

static const demand_t *
demand_at (const fleet_t *fleet, int64_t i)
{
  return &g_array_index (fleet->demand, demand_t, i);
}

static void
granted (fleet_sim_t *sim, int64_t number, int at)
{
  fleet_t *fleet = sim->data;
  const demand_t *demand = demand_at (fleet, number);
  record_admitted (fleet->run, demand, sim->now_ns);
  fleet->incarnation[number] = sim->instances[at].incarnation;
  fleet->node[number] = at;
  fleet_sim_schedule_call (sim, MAX (demand->refund_ns, sim->now_ns), -1,
                           (int64_t)fleet->demand->len + number);
}

static void
after_step (fleet_sim_t *sim, int at, const session_changes_t *changes)
{
  (void)changes;
  size_t count;
  const share_result_t *results
      = shares_take_results (sim->instances[at].shares, &count);
  for (size_t i = 0; i < count; i++)
    {
      int64_t number = (int64_t)results[i].request - 1;
      if (results[i].verdict == SHARE_GRANTED)
        granted (sim, number, at);
    }
}

static void
refund (fleet_sim_t *sim, int64_t number)
{
  const fleet_t *fleet = sim->data;
  const demand_t *demand = demand_at (fleet, number);
  const fleet_sim_instance_t *node = &sim->instances[fleet->node[number]];
  if (!node->alive || node->incarnation != fleet->incarnation[number])
    return;
  shares_refund (node->shares, names[demand->org], demand->tokens * UNUSED);
  record_refund (fleet->run, demand->org, demand->tokens * UNUSED,
                 sim->now_ns);
}

static void
arrive (fleet_sim_t *sim, int node, int64_t number)
{
  (void)node;
  const fleet_t *fleet = sim->data;
  if (number >= (int64_t)fleet->demand->len)
    {
      refund (sim, number - (int64_t)fleet->demand->len);
      return;
    }
  const demand_t *demand = demand_at (fleet, number);
  int at = serving_node (demand->node, sim->now_ns);
  fleet_sim_instance_t *instance = &sim->instances[at];
  share_result_t result = shares_charge (instance->shares, names[demand->org],
                                         (kwf_handle_t)number + 1,
                                         demand->tokens, instance->effects);
  if (result.verdict == SHARE_GRANTED)
    granted (sim, number, at);
  fleet_sim_run_effects (sim, at);
}

static void
put_lists (fleet_sim_t *sim)
{
  GString *text = g_string_new (NULL);
  for (int org = 0; org < ORGS; org++)
    g_string_append_printf (text, "%s %f %f ", names[org], RATE, BURST);
  fleet_sim_put_row (sim, "list/plans", text->str);
  g_string_free (text, TRUE);
}

static run_t
run_shares (uint64_t seed, const GArray *list)
{
  run_t run;
  start_run (&run);
  fleet_t *fleet = g_new0 (fleet_t, 1);
  fleet->run = &run;
  fleet->demand = list;
  fleet_sim_t *sim = fleet_sim_new (seed, NODES);
  sim->now_ns = FLEET_SIM_S / 2;
  sim->data = fleet;
  sim->after = after_step;
  sim->call = arrive;
  put_lists (sim);
  for (int i = 0; i < NODES; i++)
    fleet_sim_start (sim, i);
  for (guint i = 0; i < list->len; i++)
    fleet_sim_schedule_call (sim, demand_at (fleet, i)->at_ns, -1, i);
  fleet_sim_run (sim, at_s (BEGIN_S));
  int64_t messages = sim->messages;
  int64_t reads = sim->reads;
  fleet_sim_run (sim, at_s (CRASH_S));
  fleet_sim_crash (sim, CRASH_NODE);
  fleet_sim_run (sim, at_s (RESTART_S));
  fleet_sim_start (sim, CRASH_NODE);
  fleet_sim_run (sim, at_s (OUTAGE_S));
  sim->outage = true;
  fleet_sim_run (sim, at_s (OUTAGE_END_S));
  sim->outage = false;
  fleet_sim_run (sim, at_s (END_S));
  run.result.messages = (double)(sim->messages - messages);
  run.result.store = (double)(sim->reads - reads);
  fleet_sim_free (sim);
  g_free (fleet);
  return run;
}

/* The two baselines: buckets without shares.  Refunds are applied in the order
   of time.  */

typedef struct
{
  double level;
  int64_t at_ns;
} bucket_t;

static void
refill (bucket_t *bucket, double rate, double burst, int64_t now_ns)
{
  double elapsed = (double)(now_ns - bucket->at_ns) / FLEET_SIM_S;
  bucket->at_ns = now_ns;
  bucket->level = fmin (bucket->level + elapsed * rate, burst);
}

typedef struct
{
  int64_t at_ns;
  int org;
  int bucket;
  double tokens;
} refund_t;

static int
compare_refunds (const void *a, const void *b)
{
  const refund_t *first = a;
  const refund_t *second = b;
  return (first->at_ns > second->at_ns) - (first->at_ns < second->at_ns);
}

/* The index of the bucket of ORG that decides on a request at NODE; -1 if none
   can.  */
typedef int (*choose_t) (int org, int node, int64_t at_ns);

static int
choose_instance (int org, int node, int64_t at_ns)
{
  (void)org;
  return serving_node (node, at_ns);
}

/* The owner of an organisation.  After a crash another instance becomes the
   owner when the lease, with its margin, has expired.  */
static int
choose_owner (int org, int node, int64_t at_ns)
{
  (void)node;
  if (org != CRASH_NODE || at_ns < at_s (CRASH_S))
    return org;
  return at_ns < at_s (CRASH_S + 3.4) ? -1 : NODES - 1;
}

static void
apply_refunds (run_t *run, GArray *refunds, bucket_t buckets[ORGS][NODES],
               double part, int64_t now_ns)
{
  while (refunds->len)
    {
      refund_t refund_item = g_array_index (refunds, refund_t, 0);
      if (refund_item.at_ns > now_ns)
        return;
      g_array_remove_index (refunds, 0);
      bucket_t *bucket = &buckets[refund_item.org][refund_item.bucket];
      refill (bucket, RATE * part, BURST * part, refund_item.at_ns);
      bucket->level = fmin (bucket->level + refund_item.tokens, BURST * part);
      record_refund (run, refund_item.org, refund_item.tokens,
                     refund_item.at_ns);
    }
}

static run_t
run_local_buckets (const GArray *list, double part, choose_t choose)
{
  run_t run;
  start_run (&run);
  bucket_t buckets[ORGS][NODES] = { 0 };
  GArray *refunds = g_array_new (FALSE, FALSE, sizeof (refund_t));
  for (int org = 0; org < ORGS; org++)
    for (int node = 0; node < NODES; node++)
      /* The instance that becomes the owner starts with an empty bucket.  */
      buckets[org][node].level = part < 1 || node == org ? BURST * part : 0;
  for (guint i = 0; i < list->len; i++)
    {
      const demand_t *demand = &g_array_index (list, demand_t, i);
      int64_t now_ns = demand->at_ns;
      apply_refunds (&run, refunds, buckets, part, now_ns);
      int at = choose (demand->org, demand->node, now_ns);
      bool ok = false;
      if (at >= 0)
        {
          bucket_t *bucket = &buckets[demand->org][at];
          if (bucket->at_ns == 0 && part >= 1 && at != demand->org)
            bucket->at_ns = now_ns;
          refill (bucket, RATE * part, BURST * part, now_ns);
          ok = bucket->level >= demand->tokens;
          bucket->level -= ok ? demand->tokens : 0;
        }
      if (part >= 1 && at != demand->node && now_ns >= at_s (BEGIN_S))
        run.result.messages += 2;
      if (!ok)
        {
          run.declined[demand->org][now_ns / (BIN_S * FLEET_SIM_S)]
              += demand->tokens;
          continue;
        }
      record_admitted (&run, demand, now_ns);
      refund_t refund_item
          = { demand->refund_ns, demand->org, at, demand->tokens * UNUSED };
      g_array_append_val (refunds, refund_item);
      g_array_sort (refunds, compare_refunds);
    }
  g_array_free (refunds, TRUE);
  return run;
}

static int
choose_central (int org, int node, int64_t at_ns)
{
  (void)node;
  (void)at_ns;
  return org;
}

static void
add (result_t *sum, run_t *run, const run_t *central)
{
  compare_with_central (run, central);
  const result_t *one = &run->result;
  for (int i = 0; i < PERIOD_NONE; i++)
    for (int all = 0; all < 2; all++)
      {
        sum->inside[i][all] += one->inside[i][all];
        sum->refused[i][all] += one->refused[i][all];
      }
  sum->excess = fmax (sum->excess, one->excess);
  sum->messages += one->messages;
  sum->store += one->store;
  sum->seconds += one->seconds;
}

static void
print (const char *design, const char *metric, double value, const char *unit)
{
  printf ("{\"bench\":\"share\",\"metric\":\"%s\",\"value\":%.4f,"
          "\"unit\":\"%s\",\"baseline\":\"%s\"}\n",
          metric, value, unit, design);
}

static void
report (const char *design, const result_t *result)
{
  static const char *const metrics[PERIOD_NONE][2] = {
    { "refused_inside_rate_quiet", "refused_quiet_with_overload" },
    { "refused_inside_rate_crash_10s", "refused_crash_10s_with_overload" },
    { "refused_inside_rate_outage", "refused_outage_with_overload" },
  };
  for (int i = 0; i < PERIOD_NONE; i++)
    for (int all = 0; all < 2; all++)
      print (design, metrics[i][all],
             100 * result->refused[i][all] / fmax (result->inside[i][all], 1),
             "%");
  print (design, "largest_excess", result->excess, "tokens");
  print (design, "messages", result->messages / result->seconds, "1/s");
  print (design, "store_operations", result->store / result->seconds, "1/s");
}

int
main (int argc, char **argv)
{
  uint64_t seeds = argc > 1 ? strtoull (argv[1], NULL, 10) : 10;
  result_t shares = { 0 };
  result_t split = { 0 };
  result_t owner = { 0 };
  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      GArray *list = make_demand (seed);
      run_t central = run_local_buckets (list, 1, choose_central);
      run_t run = run_shares (seed, list);
      add (&shares, &run, &central);
      run = run_local_buckets (list, 1.0 / NODES, choose_instance);
      add (&split, &run, &central);
      run = run_local_buckets (list, 1, choose_owner);
      add (&owner, &run, &central);
      g_array_free (list, TRUE);
    }
  report ("none", &shares);
  report ("static_split", &split);
  report ("single_owner", &owner);
  return 0;
}
