/* Limits that backend servers name for the whole fleet.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "common-core-fleet.h"
#include "lib/limit.h"

/* Time in which the instances link up and divide the rates.  */
#define SETTLED_NS (8 * KWF_NS_PER_S)

static void
assert_limit_is_kept (const core_fleet_t *fleet, uint64_t seed, int index)
{
  const core_fleet_server_t *server = &fleet->servers[index];
  print_message ("seed %d, %s: limit %g a second, at most %d in 4 s, allowed "
                 "%g\n",
                 (int)seed, server->id, server->limit, server->most,
                 core_fleet_allowed (server->limit));
  assert_int_equal (server->n_excessive, 0);
}

/* Guards against a backend server that gets more requests than the limit that
   it named, from all instances together.  */
static void
server_gets_more_than_its_limit (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      core_fleet_t *fleet = core_fleet_new (seed, 8, 2);
      core_fleet_run (fleet, SETTLED_NS);
      core_fleet_run_callers (fleet, 16, 12 * KWF_NS_PER_S);
      core_fleet_name_limit (fleet, 0, 1.9);
      core_fleet_run_callers (fleet, 16, 30 * KWF_NS_PER_S);
      assert_limit_is_kept (fleet, seed, 0);
      core_fleet_free (fleet);
    }
}

/* Guards against orders and questions of the placement that break the limit of
   an engine, and against callers that lose its models.  */
static void
placement_breaks_the_limit_of_an_engine (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      core_fleet_t *fleet = core_fleet_new_engines (seed, 8, 18, 26);
      core_fleet_run (fleet, SETTLED_NS);
      core_fleet_run_callers (fleet, 80, 16 * KWF_NS_PER_S);
      core_fleet_name_limit (fleet, 0, 1);
      core_fleet_name_limit (fleet, 1, 1.2);
      core_fleet_run_callers (fleet, 80, 60 * KWF_NS_PER_S);
      assert_limit_is_kept (fleet, seed, 0);
      assert_limit_is_kept (fleet, seed, 1);
      assert_true (
          core_fleet_served (fleet, 28 * KWF_NS_PER_S, 45 * KWF_NS_PER_S)
          >= 0.95);
      core_fleet_free (fleet);
    }
}

static void
change_server (core_fleet_t *fleet)
{
  int index = (int)core_fleet_random (fleet, (uint64_t)fleet->n_servers);
  static const double limits[] = { 0, 0.3, 1, 2, 5, 20 };
  const core_fleet_server_t *server = &fleet->servers[index];
  int choice = (int)core_fleet_random (fleet, 8);
  if (choice == 0)
    core_fleet_restart_server (fleet, index);
  else if (server->names)
    core_fleet_end_limit (fleet, index);
  else
    core_fleet_name_limit (
        fleet, index,
        limits[core_fleet_random (fleet, G_N_ELEMENTS (limits))]);
}

/* Faults of two instances at most, changes of the servers and of the store in
   random order; then quiet.  */
static void
run_schedule (core_fleet_t *fleet)
{
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, 24, SETTLED_NS + 2 * KWF_NS_PER_S);
  core_fleet_name_limit (fleet, 0, 2);
  int faulty[2] = { -1, -1 };
  for (int i = 0; i < 30; i++)
    {
      int64_t gap_ns
          = (int64_t)(100 + core_fleet_random (fleet, 1900)) * CORE_FLEET_MS;
      core_fleet_run_callers (fleet, 24, fleet->now_ns + gap_ns);
      int *index = &faulty[core_fleet_random (fleet, 2)];
      if (core_fleet_random (fleet, 3) == 0)
        change_server (fleet);
      else if (core_fleet_random (fleet, 8) == 0)
        fleet->store_down = !fleet->store_down;
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
  for (int i = 0; i < 2; i++)
    if (faulty[i] >= 0)
      core_fleet_change_fault (fleet, faulty[i]);
  fleet->store_down = false;
  core_fleet_run (fleet, fleet->now_ns + 20 * KWF_NS_PER_S);
}

static int
schedules (void)
{
  const char *text = g_getenv ("KWF_LIMIT_SCHEDULES");
  return text ? (int)g_ascii_strtoll (text, NULL, 10) : 60;
}

/* Plays the schedule of SEED; returns the number of failures.  */
static int
play (uint64_t seed, bool verbose)
{
  int failures = 0;
  core_fleet_t *fleet = core_fleet_new (seed, 8, 3);
  fleet->verbose = verbose;
  run_schedule (fleet);
  for (int i = 0; i < fleet->n_servers; i++)
    if (fleet->servers[i].n_excessive)
      {
        failures++;
        print_message ("seed %d, %s: %d windows with too many, most %d at "
                       "%.3f s, limit %g\n",
                       (int)seed, fleet->servers[i].id,
                       fleet->servers[i].n_excessive, fleet->servers[i].most,
                       (double)fleet->servers[i].most_ns / 1e9,
                       fleet->servers[i].limit);
      }
  for (guint i = 0; i < fleet->requests->len; i++)
    {
      const core_fleet_request_t *request
          = &g_array_index (fleet->requests, core_fleet_request_t, i);
      if (request->ended)
        continue;
      failures++;
      print_message ("seed %d: request of %.3f s has no end\n", (int)seed,
                     (double)request->sent_ns / 1e9);
    }
  core_fleet_free (fleet);
  return failures;
}

/* Guards against a limit that is broken while instances end, stand still or
   are cut off, servers restart, limits come and go and the store is away; and
   against requests without an end.  The seed of a failure is printed; it is
   played alone with KWF_LIMIT_SEED.  */
static void
limit_is_broken_by_a_fault (void **state)
{
  (void)state;
  const char *only = g_getenv ("KWF_LIMIT_SEED");
  uint64_t first = only ? g_ascii_strtoull (only, NULL, 10) : 1;
  uint64_t last = only ? first : (uint64_t)schedules ();
  int failures = 0;
  for (uint64_t seed = first; seed <= last; seed++)
    failures += play (seed, only != NULL);
  assert_int_equal (failures, 0);
}

/* Guards against requests that are sent all at once when a limit is dropped
   whose owner has stood still since its end.  */
static void
limit_is_dropped_while_its_owner_stands_still (void **state)
{
  (void)state;
  assert_int_equal (play (437, false), 0);
}

/* Guards against a limit that outlasts its end, and against a load that comes
   back all at once.  */
static void
limit_outlasts_its_end (void **state)
{
  (void)state;
  core_fleet_t *fleet = core_fleet_new (1, 8, 2);
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, 40, 12 * KWF_NS_PER_S);
  core_fleet_name_limit (fleet, 0, 1);
  core_fleet_run_callers (fleet, 40, 20 * KWF_NS_PER_S);
  core_fleet_end_limit (fleet, 0);
  core_fleet_run_callers (fleet, 40, 30 * KWF_NS_PER_S);
  assert_in_range (core_fleet_count (fleet, 0, 20 * KWF_NS_PER_S,
                                     20 * KWF_NS_PER_S + KWF_NS_PER_S / 2),
                   0, 10);
  int64_t from_ns = 25 * KWF_NS_PER_S;
  int back = core_fleet_count (fleet, 0, from_ns, fleet->now_ns);
  int other = core_fleet_count (fleet, 1, from_ns, fleet->now_ns);
  print_message ("%d requests in the last 5 s, %d at the other copy\n", back,
                 other);
  assert_true (back > 0.8 * other);
  core_fleet_free (fleet);
}

/* Guards against callers that wait for a server that cannot take them in time,
   and against their return all at the same time.  */
static void
callers_wait_for_what_cannot_be_served (void **state)
{
  (void)state;
  core_fleet_t *fleet = core_fleet_new (1, 8, 1);
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, 10, 10 * KWF_NS_PER_S);
  core_fleet_name_limit (fleet, 0, 2);
  fleet->deadline_ns = 2500 * CORE_FLEET_MS;
  core_fleet_run_callers (fleet, 20, 20 * KWF_NS_PER_S);
  core_fleet_run (fleet, 24 * KWF_NS_PER_S);
  int n_late = 0;
  int n_refused = 0;
  for (guint i = 0; i < fleet->requests->len; i++)
    {
      const core_fleet_request_t *request
          = &g_array_index (fleet->requests, core_fleet_request_t, i);
      if (!request->ended)
        print_message ("request of %.3f s has no end, tries %d\n",
                       (double)request->sent_ns / 1e9, request->n_tries);
      n_refused += request->status == 503;
      n_late += request->status != 200 && request->status != 503;
    }
  print_message ("%d refused, %d at their deadline\n", n_refused, n_late);
  assert_true (n_refused > 50);
  assert_int_equal (n_late, 0);
  core_fleet_free (fleet);
}

/* Guards against news that arrive late, out of order or twice.  */
static void
old_news_change_a_limit (void **state)
{
  (void)state;
  limit_t limit = { 0 };
  int64_t now_ns = 100 * KWF_NS_PER_S;
  assert_int_equal (limit_handle_news (&limit, 4, true, 2, now_ns), LIMIT_SET);
  assert_int_equal (limit_handle_news (&limit, 3, false, 0, now_ns),
                    LIMIT_UNCHANGED);
  assert_int_equal (limit_handle_news (&limit, 4, true, 2, now_ns),
                    LIMIT_UNCHANGED);
  assert_true (limit.named);
  /* Two instances learn different things at the same time.  */
  assert_int_equal (limit_handle_news (&limit, 4, false, 0, now_ns),
                    LIMIT_UNCHANGED);
  assert_int_equal (limit_handle_news (&limit, 4, true, 1, now_ns), LIMIT_SET);
  assert_int_equal (limit_handle_news (&limit, 5, false, 0, now_ns),
                    LIMIT_ENDED);
  assert_int_equal (limit_handle_news (&limit, 5, true, 3, now_ns), LIMIT_SET);
  assert_true (limit.named && limit.rate_per_s == 3);
}

static limit_change_t
answer (limit_t *limit, kwf_answer_kind_t kind, bool success, double per_s,
        int64_t asked_ns, int64_t now_ns)
{
  kwf_notice_event_t notice
      = { .kind = kind,
          .success = success,
          .limit = per_s < 0 ? KWF_LIMIT_NOT_NAMED : KWF_LIMIT_NAMED,
          .limit_per_s = per_s };
  return limit_handle_answer (limit, &notice, asked_ns, now_ns);
}

/* Guards against an end that is read from an answer that the server may have
   given before it named the limit, that failed, or that never names one.  */
static void
crossing_answers_end_a_limit (void **state)
{
  (void)state;
  limit_t limit = { 0 };
  assert_int_equal (answer (&limit, KWF_ANSWER_REQUEST, true, 2, 100, 200),
                    LIMIT_SET);
  assert_int_equal (answer (&limit, KWF_ANSWER_REQUEST, true, -1, 150, 210),
                    LIMIT_UNCHANGED);
  assert_int_equal (answer (&limit, KWF_ANSWER_REQUEST, false, -1, 220, 230),
                    LIMIT_UNCHANGED);
  assert_int_equal (answer (&limit, KWF_ANSWER_REPORT, true, -1, 220, 230),
                    LIMIT_UNCHANGED);
  assert_int_equal (answer (&limit, KWF_ANSWER_REQUEST, true, 2, 220, 240),
                    LIMIT_UNCHANGED);
  assert_int_equal (answer (&limit, KWF_ANSWER_REQUEST, true, -1, 230, 250),
                    LIMIT_UNCHANGED);
  assert_int_equal (answer (&limit, KWF_ANSWER_REQUEST, true, -1, 260, 270),
                    LIMIT_ENDED);
  assert_int_equal (answer (&limit, KWF_ANSWER_REPORT, true, 1e9, 280, 290),
                    LIMIT_SET);
  assert_true (limit.rate_per_s == LIMIT_MAX_PER_S);
  assert_int_equal (answer (&limit, KWF_ANSWER_REPORT, true, -1, 300, 310),
                    LIMIT_ENDED);
}

/* Guards against permits that are spent after their time, by a process that
   stood still, and against permits of an owner that was replaced.  */
static void
old_permits_are_spent (void **state)
{
  (void)state;
  limit_t limit = { 0 };
  int64_t now_ns = 100 * KWF_NS_PER_S;
  limit_handle_news (&limit, 1, true, 2, now_ns);
  limit_change_owner (&limit, 1, now_ns);
  limit_take_permits (&limit, 2, now_ns, 0, KWF_NS_PER_S, now_ns);
  assert_true (limit_may_call (&limit, 0, now_ns));
  assert_true (limit_may_call (&limit, 0, now_ns + LIMIT_PERMIT_NS));
  assert_false (limit_may_call (&limit, 0, now_ns + LIMIT_PERMIT_NS + 1));
  assert_int_equal (limit.n_unspent, 1);
  limit_change_owner (&limit, 2, now_ns + LIMIT_PERMIT_NS + 1);
  assert_false (limit_may_call (&limit, 0, now_ns + KWF_NS_PER_S));
  assert_int_equal (limit.n_permits, 0);
  /* Permits that arrive after their time are not used either.  */
  limit_take_permits (&limit, 3, now_ns, 0, 0, now_ns + KWF_NS_PER_S);
  assert_int_equal (limit.n_permits, 0);
  assert_int_equal (limit.n_unspent, 3);
  /* A call without a permit is told to the owner.  */
  limit_count_call (&limit, now_ns + KWF_NS_PER_S);
  assert_int_equal (limit.n_unpermitted, 1);
}

/* Guards against an owner that grants more than the limit: at once, after an
   idle time, after returns, or when others sent without permits.  */
static void
owner_grants_more_than_the_limit (void **state)
{
  (void)state;
  limit_t limit = { 0 };
  int64_t now_ns = 100 * KWF_NS_PER_S;
  limit_handle_news (&limit, 1, true, 2, now_ns);
  limit_hold_grants (&limit, LIMIT_BEFORE_NS, now_ns);
  assert_int_equal (limit_grant (&limit, 5, 0, 1, now_ns).n, 0);
  now_ns += 60 * KWF_NS_PER_S;
  int n = limit_grant (&limit, 50, 4 * KWF_NS_PER_S, 1, now_ns).n;
  assert_in_range (n, 8, 10);
  limit_refund (&limit, n, 1, now_ns);
  n = limit_grant (&limit, 50, 4 * KWF_NS_PER_S, 1, now_ns).n;
  assert_in_range (n, 8, 10);
  now_ns += 4 * KWF_NS_PER_S;
  limit_charge (&limit, 1000, 1, now_ns);
  limit_grant_t grant = limit_grant (&limit, 1, 3 * KWF_NS_PER_S, 1, now_ns);
  assert_int_equal (grant.n, 0);
  assert_in_range (grant.free_ns, 3 * KWF_NS_PER_S, 5 * KWF_NS_PER_S);
  /* Half of the members see half of the limit.  */
  now_ns += 60 * KWF_NS_PER_S;
  n = limit_grant (&limit, 50, 4 * KWF_NS_PER_S, 0.5, now_ns).n;
  assert_in_range (n, 4, 6);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (server_gets_more_than_its_limit),
    cmocka_unit_test (placement_breaks_the_limit_of_an_engine),
    cmocka_unit_test (limit_is_broken_by_a_fault),
    cmocka_unit_test (limit_is_dropped_while_its_owner_stands_still),
    cmocka_unit_test (limit_outlasts_its_end),
    cmocka_unit_test (callers_wait_for_what_cannot_be_served),
    cmocka_unit_test (old_news_change_a_limit),
    cmocka_unit_test (crossing_answers_end_a_limit),
    cmocka_unit_test (old_permits_are_spent),
    cmocka_unit_test (owner_grants_more_than_the_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
