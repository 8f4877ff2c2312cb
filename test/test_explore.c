/* Runs random schedules of faults from seeds.

   Runs the real session, shares and claims modules of 3 to 8 instances.
   Guards against combinations of faults that break an invariant: tokens above
   rate and burst, a claimed request sent twice, a withdrawn key in use, a
   revision that goes back, a fleet that stops in a platform outage.

   Usage: test_explore [--seed N] [--schedules N] [--trace]
                       [--without NAME] [--first N] */

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "explore.h"

static const char *const mechanisms[FLEET_SIM_MECHANISMS] = {
  "nothing",     "lease-clock",  "epoch-wait", "subtract",
  "claim-first", "reclaim-wait", "keep-rows",
};

void
explore_fail (explore_t *explore, const char *format, ...)
{
  if (*explore->failure)
    return;
  int used
      = snprintf (explore->failure, sizeof explore->failure,
                  "at %.3f s: ", (double)explore->sim->now_ns / KWF_NS_PER_S);
  va_list args;
  va_start (args, format);
  vsnprintf (explore->failure + used, sizeof explore->failure - (size_t)used,
             format, args);
  va_end (args);
  fleet_sim_log (explore->sim, "VIOLATION %s", explore->failure);
}

static void
after_step (fleet_sim_t *sim, int at, const session_changes_t *changes)
{
  explore_t *explore = sim->data;
  (void)changes;
  size_t count;
  const share_result_t *results
      = shares_take_results (sim->instances[at].shares, &count);
  for (size_t i = 0; i < count; i++)
    if (results[i].verdict == SHARE_GRANTED)
      explore_check_admitted (explore, (int)(results[i].request & 1),
                              (double)(results[i].request >> 1));
  explore_claim_results (explore, at);
  fault_close_writes (explore, at);
  explore_check_node (explore, at);
}

static void
admit (explore_t *explore, int at, int org, int tokens)
{
  fleet_sim_t *sim = explore->sim;
  fleet_sim_instance_t *node = &sim->instances[at];
  kwf_handle_t request = (kwf_handle_t)tokens << 1 | (kwf_handle_t)org;
  share_result_t result = shares_charge (node->shares, org ? "y" : "x",
                                         request, tokens, node->effects);
  if (result.verdict == SHARE_GRANTED)
    {
      explore_check_admitted (explore, org, tokens);
      if (!fleet_sim_random_below (sim, 5))
        fleet_sim_schedule_call (
            sim,
            sim->now_ns
                + (int64_t)fleet_sim_random_below (sim, 1000) * FLEET_SIM_MS,
            at,
            EXPLORE_REFUND
                + (tokens / 2 | (int64_t)(node->incarnation & 7) << 14
                   | org << 13));
    }
  fleet_sim_run_effects (sim, at);
}

static void
send_requests (explore_t *explore, int at)
{
  fleet_sim_t *sim = explore->sim;
  fleet_sim_instance_t *node = &sim->instances[at];
  if (!node->alive || node->paused || sim->now_ns >= explore->work_until_ns)
    return;
  explore_check_node (explore, at);
  explore_check_sums (explore);
  if (session_may_act (node->session))
    {
      int org = (int)fleet_sim_random_below (sim, 2);
      int tokens = 1 + (int)fleet_sim_random_below (sim, 80);
      admit (explore, at, org, tokens);
      if (!fleet_sim_random_below (sim, 8))
        explore_claim_begin (explore, at);
    }
}

static void
refund (explore_t *explore, int at, int64_t code)
{
  fleet_sim_instance_t *node = &explore->sim->instances[at];
  int org = (int)(code >> 13 & 1);
  int tokens = (int)(code & 0x1fff);
  if (!node->alive || node->paused
      || (node->incarnation & 7) != (uint64_t)(code >> 14 & 7))
    return;
  shares_refund (node->shares, org ? "y" : "x", tokens);
  explore_check_admitted (explore, org, -(double)tokens);
}

/* Time to the next request at an instance.  Demand comes in phases, so that
   buckets are full when a phase begins, and one instance has most of it.  */
static int64_t
next_work_ns (explore_t *explore, int at)
{
  fleet_sim_t *sim = explore->sim;
  int64_t phase = sim->now_ns / explore->phase_ns;
  double demand = explore->demand;
  if ((phase / 2) % sim->n_instances == at)
    demand *= 4;
  int64_t wait_ns
      = (int64_t)(fleet_sim_random_unit (sim) * 2 * 40 / demand * FLEET_SIM_S);
  int64_t next = sim->now_ns + wait_ns;
  if (explore->phased && (next / explore->phase_ns) % 2)
    wait_ns += (next / explore->phase_ns + 1) * explore->phase_ns - next;
  return wait_ns;
}

static void
on_scheduled_call (fleet_sim_t *sim, int at, int64_t number)
{
  explore_t *explore = sim->data;
  if (number >= EXPLORE_END)
    explore_claim_end (explore, (int)(number - EXPLORE_END));
  else if (number >= EXPLORE_SEND)
    explore_claim_send (explore, (int)(number - EXPLORE_SEND));
  else if (number >= EXPLORE_REFUND)
    refund (explore, at, number - EXPLORE_REFUND);
  else if (number == EXPLORE_FAULT)
    fault_inject (explore);
  else if ((number & 255) == EXPLORE_HEAL)
    fault_heal (explore, number);
  else
    {
      send_requests (explore, at);
      if (number != EXPLORE_WORK || sim->now_ns >= explore->work_until_ns)
        return;
      int64_t wait_ns = next_work_ns (explore, at);
      fleet_sim_schedule_call (sim, sim->now_ns + wait_ns, at, EXPLORE_WORK);
    }
}

static void
prepare (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  sim->data = explore;
  fault_start (explore);
  explore_check_start (explore);
  sim->after = after_step;
  sim->committed = explore_check_committed;
  sim->written = fault_write_done;
  sim->call = on_scheduled_call;
  explore->demand = 150 + fleet_sim_random_unit (sim) * 450;
  explore->work_until_ns = INT64_MAX;
  explore->phased = fleet_sim_random_below (sim, 4);
  explore->phase_ns
      = (300 + (int64_t)fleet_sim_random_below (sim, 1200)) * FLEET_SIM_MS;
  for (int i = 0; i < sim->n_instances; i++)
    {
      sim->now_ns += (int64_t)fleet_sim_random_below (sim, 100) * FLEET_SIM_MS;
      fleet_sim_start (sim, i);
      fleet_sim_schedule_call (sim, sim->now_ns, i, EXPLORE_WORK);
    }
  int64_t begin_ns = sim->now_ns + 2500 * FLEET_SIM_MS;
  uint64_t length_ms = 1300 + fleet_sim_random_below (sim, 3000);
  int faults = 1 + (int)fleet_sim_random_below (sim, 7);
  for (int i = 0; i < faults; i++)
    fleet_sim_schedule_call (
        sim,
        begin_ns
            + (int64_t)fleet_sim_random_below (sim, length_ms) * FLEET_SIM_MS,
        -1, EXPLORE_FAULT);
  explore->end_ns = begin_ns + (int64_t)length_ms * FLEET_SIM_MS + FLEET_SIM_S;
}

static void
run_until (explore_t *explore, int64_t until_ns)
{
  fleet_sim_t *sim = explore->sim;
  while (!*explore->failure && sim->now_ns < until_ns && fleet_sim_step (sim))
    explore_check_outage (explore);
}

bool
explore_run (explore_t *explore, uint64_t seed, fleet_sim_disabled_t disabled,
             FILE *trace)
{
  *explore = (explore_t){ .seed = seed };
  uint64_t pick = seed * 7919 % 16;
  int n_instances = pick < 10 ? 3 : pick < 13 ? 4 : 5 + (int)(seed / 16 % 4);
  fleet_sim_t *sim = fleet_sim_new (seed, n_instances);
  sim->without = disabled;
  sim->trace = trace;
  explore->sim = sim;
  prepare (explore);
  run_until (explore, explore->end_ns);
  /* Recovery takes long; only every 16th seed goes on until then.  */
  if (!*explore->failure && seed % 16 == 0)
    {
      fault_heal_all (explore);
      int64_t until_ns = sim->now_ns + 14 * FLEET_SIM_S;
      /* No transfer of shares may be under way at the check.  */
      explore->work_until_ns = until_ns - FLEET_SIM_S;
      run_until (explore, until_ns);
      if (!*explore->failure)
        explore_check_recovered (explore);
    }
  fleet_sim_free (sim);
  return !*explore->failure;
}

/* A range of seeds, from which threads take one at a time.  */
typedef struct
{
  GMutex mutex;
  uint64_t next;
  uint64_t end; /* lowered to the first seed that failed */
  fleet_sim_disabled_t disabled;
  explore_t found;
  double admitted;
} range_t;

static bool
take_seed (range_t *range, uint64_t *seed)
{
  g_mutex_lock (&range->mutex);
  *seed = range->next;
  bool more = range->next < range->end;
  range->next += more;
  g_mutex_unlock (&range->mutex);
  return more;
}

static void *
run_range (void *data)
{
  range_t *range = data;
  explore_t *explore = g_new (explore_t, 1);
  uint64_t seed;
  while (take_seed (range, &seed))
    {
      bool all_held = explore_run (explore, seed, range->disabled, NULL);
      g_mutex_lock (&range->mutex);
      range->admitted += explore->admitted;
      if (!all_held && seed < range->end)
        {
          range->end = seed;
          range->found = *explore;
        }
      g_mutex_unlock (&range->mutex);
    }
  g_free (explore);
  return NULL;
}

#define THREADS 4

/* Run COUNT schedules on several threads.  True if all invariants held.  */
static bool
run_all (uint64_t first, uint64_t count, fleet_sim_disabled_t disabled,
         const char *program)
{
  range_t *range = g_new0 (range_t, 1);
  GThread *threads[THREADS];
  g_mutex_init (&range->mutex);
  range->next = first;
  range->end = first + count;
  range->disabled = disabled;
  for (int i = 0; i < THREADS; i++)
    threads[i] = g_thread_new (NULL, run_range, range);
  for (int i = 0; i < THREADS; i++)
    g_thread_join (threads[i]);
  const explore_t *found = &range->found;
  bool all_held = !*found->failure;
  if (all_held)
    printf ("%" G_GUINT64_FORMAT " schedules held, %.0f tokens admitted\n",
            count, range->admitted);
  else
    printf ("seed %" G_GUINT64_FORMAT ": %s\nreplay: %s --seed "
            "%" G_GUINT64_FORMAT " --trace%s%s\n",
            found->seed, found->failure, program, found->seed,
            disabled ? " --without " : "",
            disabled ? mechanisms[disabled] : "");
  g_mutex_clear (&range->mutex);
  g_free (range);
  return all_held;
}

/* Run the schedule of SEED and print the result.  Return the exit status: 1
   if an invariant broke.  */
static int
run_seed (uint64_t seed, fleet_sim_disabled_t disabled, bool trace)
{
  explore_t *explore = g_new (explore_t, 1);
  bool all_held = explore_run (explore, seed, disabled, trace ? stdout : NULL);
  printf ("seed %" G_GUINT64_FORMAT ": %s\n", seed,
          all_held ? "held" : explore->failure);
  g_free (explore);
  return all_held ? 0 : 1;
}

static fleet_sim_disabled_t
find_mechanism (const char *name)
{
  for (int i = 0; i < FLEET_SIM_MECHANISMS; i++)
    if (strcmp (mechanisms[i], name) == 0)
      return (fleet_sim_disabled_t)i;
  fprintf (stderr, "no mechanism %s\n", name);
  exit (2);
}

/* Turn off each mechanism in turn.  Schedules in which no invariant breaks
   without it would not detect its loss.  */
static bool
run_without_each (const char *program)
{
  bool found = true;
  for (int i = 1; i < FLEET_SIM_MECHANISMS; i++)
    {
      printf ("without %s: ", mechanisms[i]);
      if (run_all (1, 4000, (fleet_sim_disabled_t)i, program))
        {
          printf ("the absence of %s was not found\n", mechanisms[i]);
          found = false;
        }
    }
  return found;
}

int
main (int argc, char **argv)
{
  const char *count = getenv ("KWF_EXPLORE_SCHEDULES");
  uint64_t schedules = count ? strtoull (count, NULL, 10) : 20000;
  uint64_t first = 1;
  fleet_sim_disabled_t disabled = FLEET_SIM_ALL_ENABLED;
  bool one = false;
  bool trace = false;
  bool longer = false;
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--trace") == 0)
      trace = true;
    else if (i + 1 < argc && strcmp (argv[i], "--seed") == 0)
      {
        first = strtoull (argv[++i], NULL, 10);
        one = true;
      }
    else if (i + 1 < argc && strcmp (argv[i], "--first") == 0)
      first = strtoull (argv[++i], NULL, 10);
    else if (i + 1 < argc && strcmp (argv[i], "--schedules") == 0)
      {
        schedules = strtoull (argv[++i], NULL, 10);
        longer = true;
      }
    else if (i + 1 < argc && strcmp (argv[i], "--without") == 0)
      disabled = find_mechanism (argv[++i]);
    else
      {
        fprintf (stderr,
                 "usage: %s [--seed N] [--first N] [--schedules N] "
                 "[--trace] [--without NAME]\n",
                 argv[0]);
        return 2;
      }
  if (one)
    return run_seed (first, disabled, trace);
  bool all_held = run_all (first, schedules, disabled, argv[0]);
  if (all_held && !disabled && !longer)
    all_held = run_without_each (argv[0]);
  return all_held ? 0 : 1;
}
