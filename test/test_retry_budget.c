/* Repeats of requests against the budget that a fleet has for each service. */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core-fleet.h"
#include "common-repeats.h"
#include "lib/repeat-window.h"
#include "lib/retry-budget.h"

/* Time in which the instances link up and divide the rates.  */
#define SETTLED_NS (8 * KWF_NS_PER_S)
/* The rule: arrivals beyond the first of each request in a window, by service,
   over all instances.  */
#define WINDOW_NS (10 * KWF_NS_PER_S)
#define RATIO 0.2
#define SLACK 56
static const repeats_rule_t rule = { WINDOW_NS, RATIO, SLACK };
/* For instances that have no slack.  */
static const repeats_rule_t share_rule = { WINDOW_NS, RATIO, 0 };

enum
{
  DESK,
  QUIET,
  N_SERVICES
};
static const char *const service_names[] = { "desk", "quiet" };

static repeats_verdict_t
judge (const core_fleet_t *fleet, int service)
{
  return repeats_judge (&rule, fleet->sent[service], fleet->repeats[service]);
}

/* Judges both services and returns the number of windows in excess.  */
static int
print_verdicts (const core_fleet_t *fleet, const char *what)
{
  int n_excessive = 0;
  for (int i = 0; i < N_SERVICES; i++)
    {
      repeats_verdict_t verdict = judge (fleet, i);
      n_excessive += verdict.n_excessive;
      print_message ("%s, %d instances, %s: %d repeats of %d requests; most "
                     "%d in a window, %.0f allowed; %d windows in excess\n",
                     what, fleet->n_instances, service_names[i],
                     (int)fleet->repeats[i]->len, (int)fleet->sent[i]->len,
                     verdict.most, verdict.allowed, verdict.n_excessive);
    }
  return n_excessive;
}

/* A fleet that has served a busy and a quiet service for three windows.  */
static core_fleet_t *
warm_fleet (uint64_t seed, int n_instances, double rate)
{
  core_fleet_t *fleet = core_fleet_new_services (seed, n_instances, 4);
  fleet->quiet_part = 0.1;
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, rate, SETTLED_NS + 3 * WINDOW_NS);
  return fleet;
}

static void
set_quiet_servers (core_fleet_t *fleet, double rejects, double fails)
{
  for (int i = 0; i < fleet->n_servers; i++)
    if (fleet->servers[i].quiet)
      {
        fleet->servers[i].rejects = rejects;
        fleet->servers[i].fails = fails;
      }
}

/* Guards against repeats for a quiet service that the requests for a busy one
   have paid for.  */
static void
busy_service_pays_for_a_quiet_one (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      core_fleet_t *fleet = warm_fleet (seed, 8, 250);
      set_quiet_servers (fleet, seed % 2 ? 1 : 0, seed % 2 ? 0 : 1);
      core_fleet_run_callers (fleet, 250, fleet->now_ns + 2 * WINDOW_NS);
      int n = print_verdicts (fleet, seed % 2 ? "not run" : "failed");
      core_fleet_free (fleet);
      assert_int_equal (n, 0);
    }
}

/* Guards against parts of the budget that add up to more than the whole with
   the number of instances.  */
static void
parts_add_up_with_the_instances (void **state)
{
  (void)state;
  static const int sizes[] = { 2, 8, 91 };
  for (int i = 0; i < (int)G_N_ELEMENTS (sizes); i++)
    {
      core_fleet_t *fleet = core_fleet_new_services (7, sizes[i], 4);
      fleet->quiet_part = 1;
      core_fleet_run (fleet, SETTLED_NS);
      core_fleet_run_callers (fleet, 8, SETTLED_NS + 3 * WINDOW_NS);
      set_quiet_servers (fleet, 1, 0);
      core_fleet_run_callers (fleet, 40, fleet->now_ns + WINDOW_NS);
      int n = print_verdicts (fleet, "quiet alone");
      core_fleet_free (fleet);
      assert_int_equal (n, 0);
    }
}

/* Guards against callers that earn repeats at two instances: at those that
   spend theirs and end, and at those to which the callers move.  */
static void
budget_is_earned_twice (void **state)
{
  (void)state;
  core_fleet_t *fleet = core_fleet_new_services (5, 8, 4);
  fleet->quiet_part = 1;
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, 250, SETTLED_NS + 3 * WINDOW_NS);
  set_quiet_servers (fleet, 1, 0);
  core_fleet_run_callers (fleet, 250, fleet->now_ns + 3 * KWF_NS_PER_S);
  for (int i = 1; i < fleet->n_instances; i++)
    core_fleet_kill (fleet, i);
  core_fleet_run_callers (fleet, 250, fleet->now_ns + 4 * KWF_NS_PER_S);
  for (int i = 1; i < fleet->n_instances; i++)
    core_fleet_start (fleet, i);
  core_fleet_run_callers (fleet, 250, fleet->now_ns + WINDOW_NS);
  int n = print_verdicts (fleet, "seven of eight end");
  core_fleet_free (fleet);
  assert_int_equal (n, 0);
}

/* Guards against a slack that every new process has once more.  */
static void
new_process_has_the_slack_again (void **state)
{
  (void)state;
  core_fleet_t *fleet = core_fleet_new_services (3, 8, 4);
  fleet->quiet_part = 1;
  fleet->deadline_ns = 2 * KWF_NS_PER_S; /* callers do not come back */
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, 10, SETTLED_NS + 3 * WINDOW_NS);
  set_quiet_servers (fleet, 1, 0);
  for (int i = 0; i < 6; i++)
    {
      core_fleet_run_callers (fleet, 40, fleet->now_ns + 3 * KWF_NS_PER_S);
      for (int k = 0; k < fleet->n_instances; k++)
        {
          core_fleet_kill (fleet, k);
          core_fleet_start (fleet, k);
        }
    }
  int n = print_verdicts (fleet, "all start anew");
  core_fleet_free (fleet);
  assert_int_equal (n, 0);
}

/* Guards against parts of the slack that are all rounded up.  */
static void
slack_is_rounded_up (void **state)
{
  (void)state;
  core_fleet_t *fleet = core_fleet_new_services (3, 160, 4);
  fleet->quiet_part = 1;
  fleet->deadline_ns = 2 * KWF_NS_PER_S; /* callers do not come back */
  core_fleet_run (fleet, SETTLED_NS + WINDOW_NS);
  set_quiet_servers (fleet, 1, 0);
  core_fleet_run_callers (fleet, 200, fleet->now_ns + KWF_NS_PER_S);
  core_fleet_run (fleet, fleet->now_ns + KWF_NS_PER_S);
  int n = print_verdicts (fleet, "rounded");
  repeats_verdict_t verdict = judge (fleet, QUIET);
  core_fleet_free (fleet);
  assert_int_equal (n, 0);
  /* Nor are they all rounded down.  */
  assert_true (verdict.most > SLACK / 2);
}

/* Guards against a budget that is used up by requests that did not reach a
   server, and against answers that are then lost.  */
static void
unreached_server_uses_up_the_budget (void **state)
{
  (void)state;
  core_fleet_t *fleet = core_fleet_new_services (3, 8, 4);
  fleet->quiet_part = 0.1;
  fleet->deadline_ns = 2 * KWF_NS_PER_S; /* callers do not come back */
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, 150, SETTLED_NS + 3 * WINDOW_NS);
  for (int i = 0; i < fleet->n_servers; i++)
    fleet->servers[i].unreached = 0.3;
  core_fleet_run_callers (fleet, 150, fleet->now_ns + WINDOW_NS);
  core_fleet_run (fleet, fleet->now_ns + KWF_NS_PER_S);
  int64_t from_ns = SETTLED_NS + 3 * WINDOW_NS;
  double served = core_fleet_served (fleet, from_ns, fleet->now_ns);
  int n = print_verdicts (fleet, "unreached");
  int n_repeats = (int)fleet->repeats[DESK]->len;
  int n_exhausted = fleet->n_exhausted;
  print_message ("%.3f served, %d for want of budget not\n", served,
                 n_exhausted);
  core_fleet_free (fleet);
  assert_int_equal (n, 0);
  assert_int_equal (n_repeats, 0);
  assert_int_equal (n_exhausted, 0);
  /* Three in ten connections fail, at two attempts or, for "quiet", three.  */
  assert_true (served > 0.9);
}

/* Callers that send to one of several instances, at a rate that changes, and
   move to another; each instance spends all that it may.  */
static void
move_callers (uint64_t seed, GArray *sent, GArray *repeats)
{
  enum
  {
    N = 4
  };
  repeat_window_t windows[N];
  uint64_t state = seed;
  for (int i = 0; i < N; i++)
    repeat_window_init (&windows[i], WINDOW_NS, 0);
  int rate = 1;
  guint to = 0;
  for (int64_t now_ns = 0; now_ns < 20 * WINDOW_NS;
       now_ns += 50 * CORE_FLEET_MS)
    {
      if (random_next (&state) % 40 == 0)
        rate = (int)(random_next (&state) % 8);
      if (random_next (&state) % 60 == 0)
        to = (guint)(random_next (&state) % N);
      for (int i = 0; i < rate; i++)
        {
          g_array_append_val (sent, now_ns);
          repeat_window_count_request (&windows[to], now_ns);
        }
      bool spends = random_next (&state) % 100 < seed % 4 * 33;
      for (int i = 0; i < N; i++)
        while (spends && repeat_window_left (&windows[i], RATIO, now_ns) >= 1)
          {
            repeat_window_count_repeat (&windows[i], now_ns);
            g_array_append_val (repeats, now_ns);
          }
    }
}

/* Guards against instances that keep to the share one by one and break it
   together, whatever the traffic does.  There is no slack here.  */
static void
shares_of_instances_add_up_to_more (void **state)
{
  (void)state;
  int n_excessive = 0;
  int n_repeats = 0;
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      GArray *sent = g_array_new (FALSE, FALSE, sizeof (int64_t));
      GArray *repeats = g_array_new (FALSE, FALSE, sizeof (int64_t));
      move_callers (seed, sent, repeats);
      n_repeats += (int)repeats->len;
      n_excessive += repeats_judge (&share_rule, sent, repeats).n_excessive;
      g_array_free (sent, TRUE);
      g_array_free (repeats, TRUE);
    }
  print_message ("%d repeats, %d windows in excess\n", n_repeats, n_excessive);
  assert_true (n_repeats > 10000);
  assert_int_equal (n_excessive, 0);
}

static int64_t steady_ns;

static struct timespec
steady_time (const kwf_clock_t *clock)
{
  (void)clock;
  return (struct timespec){ .tv_sec = steady_ns / KWF_NS_PER_S,
                            .tv_nsec = steady_ns % KWF_NS_PER_S };
}

static int
take_all (retry_budget_t *budget, const char *service)
{
  int n = 0;
  while (retry_budget_take (budget, service, REPEAT_RETRY))
    n++;
  return n;
}

/* Guards against a budget that services share, that is charged for what did
   not arrive, or that a new process has once more.  */
static void
account_counts_what_is_not_its_own (void **state)
{
  (void)state;
  static const kwf_clock_ops_t ops
      = { .monotonic = steady_time, .wall = steady_time };
  const kwf_clock_t clock = { &ops };
  steady_ns = 100 * KWF_NS_PER_S;
  retry_budget_t *budget
      = retry_budget_new (&(kwf_core_options_t){ .retry_share = RATIO,
                                                 .retry_window_ns = WINDOW_NS,
                                                 .retry_slack = SLACK,
                                                 .clock = &clock },
                          NULL);
  assert_true (retry_budget_by_service (budget));
  assert_int_equal (take_all (budget, "desk"), 0);
  for (int i = 0; i < 95; i++)
    {
      retry_budget_count_request (budget, "desk");
      steady_ns += 100 * CORE_FLEET_MS;
    }
  assert_false (retry_budget_left (budget, "quiet"));
  assert_true (retry_budget_left (budget, "desk"));
  /* 0.9 of a fifth of a quarter of the requests of the first window.  */
  int n = take_all (budget, "desk");
  assert_in_range (n, 3, 4);
  assert_false (retry_budget_left (budget, "desk"));
  for (int i = 0; i < n; i++)
    retry_budget_return (budget, "desk", steady_ns);
  assert_int_equal (take_all (budget, "desk"), n);
  /* One that waited is counted when it is sent.  */
  int64_t taken_ns = steady_ns;
  steady_ns += WINDOW_NS / 4;
  retry_budget_move (budget, "desk", taken_ns);
  steady_ns = taken_ns + WINDOW_NS + WINDOW_NS / 10;
  GString *text = g_string_new (NULL);
  retry_budget_write_metrics (budget, text);
  assert_non_null (
      strstr (text->str, "kwf_service_requests_total{service=\"desk\"} 95\n"));
  assert_non_null (strstr (text->str, "kind=\"unsent\"} "));
  g_string_free (text, TRUE);
  retry_budget_free (budget);
}

static int
schedules (void)
{
  const char *text = g_getenv ("KWF_BUDGET_SCHEDULES");
  return text ? (int)g_ascii_strtoll (text, NULL, 10) : 20;
}

static int
n_instances (void)
{
  const char *text = g_getenv ("KWF_BUDGET_INSTANCES");
  return text ? (int)g_ascii_strtoll (text, NULL, 10) : 8;
}

static void
change_servers (core_fleet_t *fleet)
{
  static const double parts[] = { 0, 0, 0.3, 1 };
  int index = (int)core_fleet_random (fleet, (uint64_t)fleet->n_servers);
  if (core_fleet_random (fleet, 4) == 0)
    {
      core_fleet_restart_server (fleet, index);
      return;
    }
  fleet->servers[index].rejects = parts[core_fleet_random (fleet, 4)];
  fleet->servers[index].fails = parts[core_fleet_random (fleet, 4)];
}

/* Faults of two instances at most and of any servers, in random order.  */
static void
run_schedule (core_fleet_t *fleet)
{
  double rate = 60 + (double)core_fleet_random (fleet, 200);
  fleet->quiet_part = 0.05 + 0.3 * core_fleet_random_unit (fleet);
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, rate, SETTLED_NS + WINDOW_NS);
  int faulty[2] = { -1, -1 };
  for (int i = 0; i < 30; i++)
    {
      int64_t gap_ns
          = (int64_t)(100 + core_fleet_random (fleet, 2900)) * CORE_FLEET_MS;
      core_fleet_run_callers (fleet, rate, fleet->now_ns + gap_ns);
      int *index = &faulty[core_fleet_random (fleet, 2)];
      if (core_fleet_random (fleet, 2) == 0)
        change_servers (fleet);
      else if (*index >= 0)
        {
          core_fleet_change_fault (fleet, *index);
          *index = -1;
        }
      else
        {
          int next
              = (int)core_fleet_random (fleet, (uint64_t)fleet->n_instances);
          if (next == faulty[0] || next == faulty[1])
            continue;
          *index = next;
          core_fleet_change_fault (fleet, next);
        }
    }
}

/* Guards against a budget that is broken while instances end, stand still or
   are cut off and servers fail.  A seed is played alone with
   KWF_BUDGET_SEED.  */
static void
budget_is_broken_by_a_fault (void **state)
{
  (void)state;
  const char *only = g_getenv ("KWF_BUDGET_SEED");
  uint64_t first = only ? g_ascii_strtoull (only, NULL, 10) : 1;
  uint64_t last = only ? first : (uint64_t)schedules ();
  int n_failures = 0;
  int n_repeats = 0;
  double fullest = 0;
  for (uint64_t seed = first; seed <= last; seed++)
    {
      core_fleet_t *fleet = core_fleet_new_services (seed, n_instances (), 3);
      fleet->verbose = only != NULL;
      run_schedule (fleet);
      for (int i = 0; i < N_SERVICES; i++)
        {
          repeats_verdict_t verdict = judge (fleet, i);
          n_repeats += (int)fleet->repeats[i]->len;
          fullest = MAX (fullest, verdict.most / verdict.allowed);
          if (!verdict.n_excessive)
            continue;
          n_failures++;
          print_message ("seed %d, %s: %d windows in excess, most %d of %.0f "
                         "allowed at %.3f s\n",
                         (int)seed, service_names[i], verdict.n_excessive,
                         verdict.most, verdict.allowed,
                         (double)verdict.end_ns / 1e9);
        }
      core_fleet_free (fleet);
    }
  print_message ("%d repeats in all, at most %.2f of what is allowed in a "
                 "window\n",
                 n_repeats, fullest);
  assert_int_equal (n_failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (busy_service_pays_for_a_quiet_one),
    cmocka_unit_test (parts_add_up_with_the_instances),
    cmocka_unit_test (budget_is_earned_twice),
    cmocka_unit_test (new_process_has_the_slack_again),
    cmocka_unit_test (slack_is_rounded_up),
    cmocka_unit_test (unreached_server_uses_up_the_budget),
    cmocka_unit_test (shares_of_instances_add_up_to_more),
    cmocka_unit_test (account_counts_what_is_not_its_own),
    cmocka_unit_test (budget_is_broken_by_a_fault),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
