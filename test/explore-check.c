/* Invariants that are checked after every step of a schedule: (a)
   organisations stay within rate and burst, (c) withdrawn keys are not used,
   (d) revisions do not go back, (e) the fleet goes on in a platform outage,
   (f) it recovers. explore-claim.c checks (b), claimed requests are sent at
   most once.  */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "explore.h"
#include "lib/session-state.h"
#include "lib/share-state.h"

static const char *const org_names[EXPLORE_ORGS] = { "x", "y" };

/* Tolerance of sums of doubles, in tokens.  */
#define EPSILON 1e-3

static explore_limits_t
read_limits (const kwf_row_t *row, int64_t now_ns)
{
  explore_limits_t limits = { .at_ns = now_ns };
  char names[EXPLORE_ORGS][16];
  sscanf (row->value, "%15s %lf %lf %15s %lf %lf", names[0], &limits.rate[0],
          &limits.burst[0], names[1], &limits.rate[1], &limits.burst[1]);
  return limits;
}

/* Largest rate that an instance may still use: a replaced rate counts for
   EXPLORE_KNOWN_NS.  */
static double
rate_now (const explore_t *explore, int org)
{
  int64_t since = explore->sim->now_ns - EXPLORE_KNOWN_NS;
  double rate = 0;
  for (int i = explore->n_limits - 1; i >= 0; i--)
    {
      rate = fmax (rate, explore->limits[i].rate[org]);
      if (explore->limits[i].at_ns <= since)
        break;
    }
  return rate;
}

static double
burst_now (const explore_t *explore, int org)
{
  int64_t since = explore->sim->now_ns - EXPLORE_KNOWN_NS;
  double burst = 0;
  for (int i = explore->n_limits - 1; i >= 0; i--)
    {
      burst = fmax (burst, explore->limits[i].burst[org]);
      if (explore->limits[i].at_ns <= since)
        break;
    }
  return burst;
}

static void
drain (const explore_t *explore, explore_tracker_t *tracker)
{
  int64_t now_ns = explore->sim->now_ns;
  double elapsed = (double)(now_ns - tracker->at_ns) / KWF_NS_PER_S;
  tracker->at_ns = now_ns;
  tracker->level
      = fmax (tracker->level - elapsed * rate_now (explore, tracker->org), 0);
}

static void
start_trackers (explore_t *explore)
{
  for (int org = 0;
       org < EXPLORE_ORGS && explore->n_trackers < EXPLORE_TRACKERS; org++)
    explore->trackers[explore->n_trackers++]
        = (explore_tracker_t){ .org = org,
                               .burst = burst_now (explore, org),
                               .at_ns = explore->sim->now_ns };
}

void
explore_check_start (explore_t *explore)
{
  const kwf_row_t *row = fleet_sim_get_row (explore->sim, "list/plans");
  explore->limits[explore->n_limits++] = read_limits (row, 0);
  start_trackers (explore);
}

void
explore_check_committed (fleet_sim_t *sim, const kwf_row_t *row)
{
  explore_t *explore = sim->data;
  if (strcmp (row->key, "list/plans") == 0
      && explore->n_limits < EXPLORE_LIMITS)
    {
      /* Drain the levels up to now at the rate before the change.  */
      for (int i = 0; i < explore->n_trackers; i++)
        drain (explore, &explore->trackers[i]);
      explore->limits[explore->n_limits++] = read_limits (row, sim->now_ns);
      for (int i = 0; i < explore->n_trackers; i++)
        {
          explore_tracker_t *tracker = &explore->trackers[i];
          tracker->burst
              = fmax (tracker->burst, burst_now (explore, tracker->org));
        }
      explore->next_tracker_ns = sim->now_ns + EXPLORE_KNOWN_NS;
    }
  if (!g_str_has_prefix (row->key, "key/") || !row->value)
    return;
  int key = atoi (row->key + 4);
  if (!explore->withdrawals[key].at_ns)
    explore->withdrawals[key]
        = (explore_withdrawal_t){ sim->now_ns, row->version };
}

void
explore_check_admitted (explore_t *explore, int org, double tokens)
{
  const fleet_sim_t *sim = explore->sim;
  if (explore->next_tracker_ns && sim->now_ns >= explore->next_tracker_ns)
    {
      explore->next_tracker_ns = 0;
      start_trackers (explore);
    }
  explore->admitted += fmax (tokens, 0);
  for (int i = 0; i < explore->n_trackers; i++)
    {
      explore_tracker_t *tracker = &explore->trackers[i];
      if (tracker->org != org)
        continue;
      drain (explore, tracker);
      tracker->level = fmax (tracker->level + tokens, 0);
      if (tracker->level > tracker->burst + EPSILON)
        explore_fail (explore,
                      "(a) organisation %s got %.1f tokens above its rate "
                      "and burst of %.1f",
                      org_names[org], tracker->level - tracker->burst,
                      tracker->burst);
    }
}

void
explore_check_node (explore_t *explore, int at)
{
  const fleet_sim_t *sim = explore->sim;
  const fleet_sim_instance_t *node = &sim->instances[at];
  int64_t revision = session_revision (node->session);
  if (explore->incarnations[at] != node->incarnation)
    explore->revisions[at] = 0;
  explore->incarnations[at] = node->incarnation;
  if (revision < explore->revisions[at])
    explore_fail (explore, "(d) %s went back from revision %d to %d",
                  node->name, (int)explore->revisions[at], (int)revision);
  explore->revisions[at] = revision;
  if (!session_may_act (node->session))
    return;
  for (int key = 0; key < EXPLORE_KEYS; key++)
    {
      const explore_withdrawal_t *withdrawal = &explore->withdrawals[key];
      char name[16];
      snprintf (name, sizeof name, "key/%d", key);
      const kwf_row_t *row = rows_get (node->session->rows, name);
      bool knows = row && row->version >= withdrawal->revision;
      if (withdrawal->at_ns && !knows
          && sim->now_ns - withdrawal->at_ns > EXPLORE_KNOWN_NS)
        explore_fail (
            explore, "(c) %s acts on key %d, %.3f s after its withdrawal",
            node->name, key,
            (double)(sim->now_ns - withdrawal->at_ns) / KWF_NS_PER_S);
    }
}

/* The shares of all instances that may use them now add up to at most the
   whole.  This is checked as well as the admitted tokens, which exceed the
   limit only if the demand is high at that moment.  */
void
explore_check_sums (explore_t *explore)
{
  const fleet_sim_t *sim = explore->sim;
  for (int org = 0; org < EXPLORE_ORGS; org++)
    {
      double rate = 0;
      double cap = 0;
      for (int i = 0; i < sim->n_instances; i++)
        {
          const fleet_sim_instance_t *node = &sim->instances[i];
          if (!node->alive || !session_may_act (node->session))
            continue;
          const account_t *account
              = g_hash_table_lookup (node->shares->accounts, org_names[org]);
          if (!account || account->bucket.limit_rate <= 0)
            continue;
          rate += bucket_rate (&account->bucket) / account->bucket.limit_rate;
          cap += bucket_cap (&account->bucket) / account->bucket.limit_burst;
        }
      if (rate > 1 + 1e-9 || cap > 1 + 1e-9)
        explore_fail (explore,
                      "(a) shares of %s in use add up to %.4f of its rate, "
                      "%.4f of its burst",
                      org_names[org], rate, cap);
    }
}

bool
explore_all_may_act (const explore_t *explore)
{
  const fleet_sim_t *sim = explore->sim;
  for (int i = 0; i < sim->n_instances; i++)
    if (!sim->instances[i].alive || sim->instances[i].paused
        || !session_may_act (sim->instances[i].session))
      return false;
  return true;
}

static bool
is_quiet (const explore_t *explore)
{
  const fleet_sim_t *sim = explore->sim;
  for (int i = 0; i < sim->n_instances; i++)
    {
      if (!sim->instances[i].alive || sim->instances[i].paused
          || explore->writes[i].op
          || !session_revision (sim->instances[i].session))
        return false;
      for (int peer = 0; peer < sim->n_instances; peer++)
        if (peer != i && !sim->up[i][peer])
          return false;
    }
  return sim->link_max_ns <= 10 * FLEET_SIM_MS;
}

/* In a platform outage, while all members are alive and linked, every instance
   may act: without interruption if nothing else was disturbed around the start
   of the outage, otherwise from 3 s after the last other fault.  */
void
explore_check_outage (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  if (!sim->outage)
    {
      explore->outage_ns = 0;
      return;
    }
  bool quiet = is_quiet (explore);
  if (!quiet)
    explore->disturbed_ns = sim->now_ns;
  int64_t since = MAX (explore->disturbed_ns, explore->outage_ns);
  bool gapless
      = explore->outage_clean
        && explore->disturbed_ns < explore->outage_ns - 3 * FLEET_SIM_S;
  if (!quiet || (!gapless && sim->now_ns - since < 3 * FLEET_SIM_S))
    return;
  for (int i = 0; i < sim->n_instances; i++)
    if (!session_may_act (sim->instances[i].session))
      explore_fail (explore, "(e) %s does not act %.3f s into the outage",
                    sim->instances[i].name,
                    (double)(sim->now_ns - explore->outage_ns) / KWF_NS_PER_S);
}

/* After all faults are over, the shares of the fleet add up to the whole rate
   again.  */
void
explore_check_recovered (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  if (!explore_all_may_act (explore))
    explore_fail (explore, "(f) not all act after the faults are over");
  for (int org = 0; org < EXPLORE_ORGS; org++)
    {
      double sum = 0;
      double limit = explore->limits[explore->n_limits - 1].rate[org];
      for (int i = 0; i < sim->n_instances; i++)
        if (sim->instances[i].alive)
          sum += shares_holding (sim->instances[i].shares, org_names[org])
                     .rate;
      if (sum < 0.95 * limit || sum > limit * (1 + 1e-9))
        explore_fail (explore,
                      "(f) shares of %s are %.1f of %.1f after the faults",
                      org_names[org], sum, limit);
    }
}
