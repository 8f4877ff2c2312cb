/* Shares of rate and burst: the bound, transfers, epochs.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-fleet-sim.h"
#include "lib/share-state.h"

#define RATE 1000.0
#define BURST 800.0
#define LIMITS "x 1000 800"

/* Results of waiting requests, by request number.  */
static share_verdict_t verdicts[64];
static bool decided[64];
static int64_t decided_ns[64];
static double admitted;
static double tokens_of[64];

static void
collect (fleet_sim_t *sim, int at, const session_changes_t *changes)
{
  (void)changes;
  size_t count;
  const share_result_t *results
      = shares_take_results (sim->instances[at].shares, &count);
  for (size_t i = 0; i < count; i++)
    {
      verdicts[results[i].request] = results[i].verdict;
      decided[results[i].request] = true;
      decided_ns[results[i].request] = sim->now_ns;
      if (results[i].verdict == SHARE_GRANTED)
        admitted += tokens_of[results[i].request];
    }
}

static void
advance_ms (fleet_sim_t *sim, int64_t ms)
{
  fleet_sim_run (sim, sim->now_ns + ms * FLEET_SIM_MS);
}

static fleet_sim_t *
start (int n)
{
  memset (decided, 0, sizeof decided);
  admitted = 0;
  fleet_sim_t *sim = fleet_sim_new (11, n);
  sim->after = collect;
  fleet_sim_put_row (sim, "list/plans", LIMITS);
  for (int i = 0; i < n; i++)
    fleet_sim_start (sim, i);
  advance_ms (sim, 5000);
  return sim;
}

static share_result_t
charge (fleet_sim_t *sim, int node, kwf_handle_t request, double tokens)
{
  tokens_of[request] = tokens;
  share_result_t result
      = shares_charge (sim->instances[node].shares, "x", request, tokens,
                       sim->instances[node].effects);
  if (result.verdict == SHARE_GRANTED)
    admitted += tokens;
  fleet_sim_run_effects (sim, node);
  return result;
}

static double
sum_rates (const fleet_sim_t *sim)
{
  double sum = 0;
  for (int i = 0; i < sim->n_instances; i++)
    if (sim->instances[i].alive)
      sum += shares_holding (sim->instances[i].shares, "x").rate;
  return sum;
}

static double
sum_of_caps (const fleet_sim_t *sim)
{
  double sum = 0;
  for (int i = 0; i < sim->n_instances; i++)
    if (sim->instances[i].alive)
      sum += shares_holding (sim->instances[i].shares, "x").cap;
  return sum;
}

static void
assert_near (double value, double expected)
{
  assert_true (value > expected - 1e-6 && value < expected + 1e-6);
}

/* Guards against a fleet that starts with too many tokens or none.  */
static void
first_epoch_divides_the_whole (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  assert_int_equal (shares_epoch (sim->instances[3].shares), 1);
  assert_near (sum_rates (sim), RATE);
  assert_near (sum_of_caps (sim), BURST);
  share_holding_t holding = shares_holding (sim->instances[2].shares, "x");
  assert_near (holding.level, BURST / 4);
  fleet_sim_free (sim);
}

/* Guards against a request that the fleet's tokens cover and that is refused
   because other instances hold them.  */
static void
tokens_of_peers_are_used (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  share_result_t result = charge (sim, 0, 1, BURST * 0.9);
  assert_int_equal (result.verdict, SHARE_WAIT);
  advance_ms (sim, 100);
  assert_true (decided[1]);
  assert_int_equal (verdicts[1], SHARE_GRANTED);
  assert_near (sum_rates (sim), RATE);
  assert_near (sum_of_caps (sim), BURST);
  /* Rate moved too, from the instances without demand.  */
  assert_true (shares_holding (sim->instances[0].shares, "x").rate > RATE / 2);
  fleet_sim_free (sim);
}

/* Guards against a round of share requests that counts as open after its
   request was granted: the next request would be refused without a round.  */
static void
next_request_asks_again (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  for (kwf_handle_t request = 1; request <= 3; request++)
    {
      assert_int_equal (charge (sim, (int)request, request, 250).verdict,
                        SHARE_WAIT);
      advance_ms (sim, 100);
      assert_int_equal (verdicts[request], SHARE_GRANTED);
      advance_ms (sim, 2000);
      assert_int_equal (charge (sim, (int)request, request + 10, 700).verdict,
                        SHARE_WAIT);
      advance_ms (sim, 100);
      assert_int_equal (verdicts[request + 10], SHARE_GRANTED);
      advance_ms (sim, 2000);
    }
  fleet_sim_free (sim);
}

/* Guards against a request that still waits when every peer has answered, and
   against a refusal without a time to retry.  */
static void
refused_once_all_have_answered (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  assert_int_equal (charge (sim, 0, 1, 700).verdict, SHARE_WAIT);
  advance_ms (sim, 100);
  assert_int_equal (verdicts[1], SHARE_GRANTED);
  int64_t asked_ns = sim->now_ns;
  assert_int_equal (charge (sim, 0, 2, 700).verdict, SHARE_WAIT);
  advance_ms (sim, 30);
  assert_true (decided[2]);
  assert_true (decided_ns[2] - asked_ns < 30 * FLEET_SIM_MS);
  assert_int_equal (verdicts[2], SHARE_REFUSED);
  /* For a short time no further share requests are sent.  */
  share_result_t result = charge (sim, 0, 3, 700);
  assert_int_equal (result.verdict, SHARE_REFUSED);
  /* At the fleet's rate, not this instance's part of it.  */
  assert_true (result.retry_after_ms > 100 && result.retry_after_ms <= 700);
  fleet_sim_free (sim);
}

/* Guards against a request that waits longer than 150 ms for a paused
   peer.  */
static void
wait_for_peers_is_bounded (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  fleet_sim_pause (sim, 1);
  fleet_sim_pause (sim, 2);
  int64_t asked_ns = sim->now_ns;
  assert_int_equal (charge (sim, 0, 1, 700).verdict, SHARE_WAIT);
  advance_ms (sim, 300);
  assert_true (decided[1]);
  assert_int_equal (verdicts[1], SHARE_REFUSED);
  assert_true (decided_ns[1] - asked_ns <= 152 * FLEET_SIM_MS);
  fleet_sim_free (sim);
}

/* Guards against a request larger than the burst that is answered with a time
   to retry, although a retry cannot succeed.  */
static void
larger_than_the_burst_is_refused_for_good (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  share_result_t result = charge (sim, 0, 1, BURST + 1);
  assert_int_equal (result.verdict, SHARE_REFUSED);
  assert_int_equal (result.retry_after_ms, -1);
  fleet_sim_free (sim);
}

/* Guards against more tokens than rate and burst allow, with demand at all
   instances.  */
static void
saturated_fleet_keeps_the_bound (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  int64_t begin_ns = sim->now_ns;
  for (int i = 0; i < 6000; i++)
    {
      int request = i % 64;
      decided[request] = false;
      charge (sim, i % 4 == 0 ? 0 : (i / 1000) % 4, (kwf_handle_t)request, 10);
      advance_ms (sim, 2);
      double seconds = (double)(sim->now_ns - begin_ns) / FLEET_SIM_S;
      assert_true (admitted <= RATE * seconds + BURST + 1e-6);
    }
  /* And nearly all tokens are used.  */
  assert_true (admitted > 0.97 * RATE * 12);
  fleet_sim_free (sim);
}

/* Guards against tokens in a share grant that no cap covers: the sender's
   bucket would fill again before they arrive, and both would be spent.  */
static void
tokens_in_flight_stay_within_the_caps (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  sim->link_min_ns = sim->link_max_ns = 40 * FLEET_SIM_MS;
  assert_int_equal (charge (sim, 0, 1, 300).verdict, SHARE_GRANTED);
  assert_int_equal (charge (sim, 0, 2, 200).verdict, SHARE_WAIT);
  advance_ms (sim, 60);
  share_holding_t giver = shares_holding (sim->instances[1].shares, "x");
  share_holding_t asker = shares_holding (sim->instances[0].shares, "x");
  assert_true (giver.cap + asker.cap <= BURST - 80);
  advance_ms (sim, 30);
  assert_int_equal (verdicts[2], SHARE_GRANTED);
  advance_ms (sim, 60);
  assert_near (sum_of_caps (sim), BURST);
  fleet_sim_free (sim);
}

/* Guards against a share that moves to one instance as a whole and is lost if
   that instance fails.  */
static void
instance_without_demand_keeps_a_part (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  for (int i = 0; i < 500; i++)
    {
      charge (sim, 0, (kwf_handle_t)(i % 64), 10);
      advance_ms (sim, 10);
    }
  for (int node = 1; node < 4; node++)
    {
      share_holding_t holding
          = shares_holding (sim->instances[node].shares, "x");
      assert_true (holding.rate >= RATE / 8 - 1e-6);
      assert_true (holding.cap >= BURST / 8 - 1e-6);
    }
  assert_true (shares_holding (sim->instances[0].shares, "x").rate > RATE / 2);
  fleet_sim_free (sim);
}

/* Guards against a share that is lost for good with the message that carried
   it.  */
static void
lost_transfer_leads_to_a_new_epoch (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  sim->link_min_ns = sim->link_max_ns = 50 * FLEET_SIM_MS;
  charge (sim, 0, 1, 700);
  /* The share requests have arrived; the grants have not.  */
  advance_ms (sim, 75);
  fleet_sim_set_cut (sim, 0, 1, true);
  fleet_sim_set_cut (sim, 0, 2, true);
  advance_ms (sim, 25);
  assert_true (sum_of_caps (sim) < BURST - 100);
  fleet_sim_set_cut (sim, 0, 1, false);
  fleet_sim_set_cut (sim, 0, 2, false);
  advance_ms (sim, 6000);
  assert_true (shares_epoch (sim->instances[0].shares) > 1);
  assert_near (sum_rates (sim), RATE);
  assert_near (sum_of_caps (sim), BURST);
  fleet_sim_free (sim);
}

/* Guards against a dead instance's share that is lost to the fleet, or that
   two instances use.  */
static void
share_of_a_dead_instance_is_divided_anew (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  fleet_sim_crash (sim, 3);
  for (int i = 0; i < 800; i++)
    {
      advance_ms (sim, 10);
      assert_true (sum_rates (sim) <= RATE * (1 + 1e-9));
      assert_true (sum_of_caps (sim) <= BURST * (1 + 1e-9));
    }
  assert_near (sum_rates (sim), RATE);
  assert_int_equal (shares_epoch (sim->instances[0].shares), 2);
  fleet_sim_free (sim);
}

/* Guards against a busy loop: a deadline in the past that no step resolves,
   here because the first epoch is needed while the lease is lost.  */
static void
deadline_is_ahead_without_a_lease (void **state)
{
  (void)state;
  fleet_sim_t *sim = fleet_sim_new (11, 2);
  const fleet_sim_instance_t *node = &sim->instances[0];
  fleet_sim_put_row (sim, "list/plans", LIMITS);
  fleet_sim_start (sim, 0);
  /* The first epoch waits for instances that start together.  */
  for (int i = 0; shares_next_tick_ns (node->shares) == INT64_MAX; i++)
    {
      assert_true (i < 1000);
      advance_ms (sim, 10);
    }
  fleet_sim_pause (sim, 0);
  sim->instances[0].apart = true;
  advance_ms (sim, 4000);
  fleet_sim_resume (sim, 0);
  for (int i = 0; i < 50; i++)
    {
      advance_ms (sim, 10);
      if (session_state (node->session) == SESSION_EXPIRED)
        assert_true (shares_next_tick_ns (node->shares) > sim->now_ns);
    }
  assert_int_equal (session_state (node->session), SESSION_EXPIRED);
  fleet_sim_free (sim);
}

/* Guards against a paused instance that uses its old share when it
   resumes.  */
static void
paused_holder_wakes_without_its_share (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  fleet_sim_pause (sim, 2);
  advance_ms (sim, 8000);
  assert_near (shares_holding (sim->instances[0].shares, "x").rate, RATE / 2);
  fleet_sim_resume (sim, 2);
  assert_int_equal (charge (sim, 2, 1, 1).verdict, SHARE_REFUSED);
  advance_ms (sim, 300);
  assert_true (sum_rates (sim) <= RATE * (1 + 1e-9));
  assert_true (sum_of_caps (sim) <= BURST * (1 + 1e-9));
  advance_ms (sim, 6000);
  assert_near (shares_holding (sim->instances[2].shares, "x").rate, RATE / 3);
  fleet_sim_free (sim);
}

/* Guards against an instance whose bucket is full after each restart: restarts
   would bypass the limit.  */
static void
restarted_instance_starts_empty (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  fleet_sim_crash (sim, 1);
  advance_ms (sim, 300);
  fleet_sim_start (sim, 1);
  for (int i = 0; i < 800; i++)
    {
      advance_ms (sim, 10);
      share_holding_t holding = shares_holding (sim->instances[1].shares, "x");
      if (holding.cap > 0)
        {
          assert_true (holding.level <= RATE * 0.02);
          fleet_sim_free (sim);
          return;
        }
    }
  fail_msg ("the restarted instance got no share");
}

/* Guards against lowered limits that are not in force within a second, or not
   for shares that are being transferred, and against raised limits that are
   not.  Links take 50 ms: after 75 ms the share requests have arrived, and the
   grants have not.  */
static void
lowered_limits_hold_at_once (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  sim->link_min_ns = sim->link_max_ns = 50 * FLEET_SIM_MS;
  charge (sim, 0, 1, 700);
  advance_ms (sim, 75);
  fleet_sim_put_row (sim, "list/plans", "x 100 80");
  advance_ms (sim, 1000);
  assert_near (sum_rates (sim), 100);
  assert_near (sum_of_caps (sim), 80);
  for (int i = 0; i < 3; i++)
    {
      share_holding_t holding = shares_holding (sim->instances[i].shares, "x");
      assert_true (holding.level <= holding.cap + 1e-9);
    }
  fleet_sim_put_row (sim, "list/plans", LIMITS);
  advance_ms (sim, 1000);
  assert_near (sum_rates (sim), RATE);
  fleet_sim_free (sim);
}

/* Guards against a plan that is removed and added again to fill the
   buckets.  */
static void
organisation_that_returns_does_not_start_full (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  fleet_sim_put_row (sim, "list/plans", "z 10 10");
  advance_ms (sim, 1000);
  assert_int_equal (charge (sim, 0, 1, 1).verdict, SHARE_REFUSED);
  fleet_sim_put_row (sim, "list/plans", LIMITS);
  advance_ms (sim, 1);
  while (shares_holding (sim->instances[0].shares, "x").cap <= 0)
    advance_ms (sim, 1);
  assert_true (shares_holding (sim->instances[0].shares, "x").level < 10);
  fleet_sim_free (sim);
}

/* Guards against a new organisation that has no tokens at first.  */
static void
new_organisation_starts_full (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  fleet_sim_put_row (sim, "list/plans", LIMITS " n 10 500");
  advance_ms (sim, 1000);
  assert_near (shares_holding (sim->instances[0].shares, "n").level, 250);
  fleet_sim_free (sim);
}

/* Guards against refunds that fill a bucket above its cap.  */
static void
refund_stops_at_the_cap (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  assert_int_equal (charge (sim, 0, 1, 100).verdict, SHARE_GRANTED);
  shares_refund (sim->instances[0].shares, "x", 1000);
  share_holding_t holding = shares_holding (sim->instances[0].shares, "x");
  assert_near (holding.level, holding.cap);
  fleet_sim_free (sim);
}

/* Guards against a share that counts twice because its message is handled
   twice, or in another epoch.  */
static void
transfer_counts_once_and_in_its_epoch (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (2);
  charge (sim, 0, 1, 700);
  advance_ms (sim, 100);
  shares_t *shares = sim->instances[0].shares;
  double cap = shares_holding (shares, "x").cap;
  kwf_message_t message = { .type = KWF_MSG_SHARE_GRANT,
                            .share_grant = { .epoch = shares->epoch,
                                             .number = shares->next_number,
                                             .organisation = "x",
                                             .rate = 0.1,
                                             .cap = 0.1,
                                             .level = 1 } };
  kwf_event_t event = { .type = KWF_EV_PEER_MESSAGE };
  event.peer = (kwf_peer_event_t){ .instance = "i1",
                                   .incarnation = 1,
                                   .message = &message };
  session_changes_t changes = { 0 };
  kwf_effects_t *effects = sim->instances[0].effects;
  shares_step (shares, sim->instances[0].session, &event, &changes, effects);
  assert_near (shares_holding (shares, "x").cap, cap);
  message.share_grant.number = ++shares->next_number;
  message.share_grant.epoch++;
  shares_step (shares, sim->instances[0].session, &event, &changes, effects);
  assert_near (shares_holding (shares, "x").cap, cap);
  kwf_effects_clear (effects);
  fleet_sim_free (sim);
}

/* Guards against a request that is charged after it was cancelled.  */
static void
forgotten_request_is_not_charged (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  assert_int_equal (charge (sim, 0, 1, 700).verdict, SHARE_WAIT);
  shares_cancel (sim->instances[0].shares, 1);
  advance_ms (sim, 300);
  assert_false (decided[1]);
  assert_near (admitted, 0);
  fleet_sim_free (sim);
}

/* Guards against a fleet in which transfers stop when the platform fails.  */
static void
transfers_go_on_through_an_outage (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (4);
  sim->outage = true;
  advance_ms (sim, 10000);
  assert_int_equal (charge (sim, 0, 1, 700).verdict, SHARE_WAIT);
  advance_ms (sim, 100);
  assert_int_equal (verdicts[1], SHARE_GRANTED);
  fleet_sim_free (sim);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (first_epoch_divides_the_whole),
    cmocka_unit_test (tokens_of_peers_are_used),
    cmocka_unit_test (next_request_asks_again),
    cmocka_unit_test (refused_once_all_have_answered),
    cmocka_unit_test (wait_for_peers_is_bounded),
    cmocka_unit_test (larger_than_the_burst_is_refused_for_good),
    cmocka_unit_test (saturated_fleet_keeps_the_bound),
    cmocka_unit_test (tokens_in_flight_stay_within_the_caps),
    cmocka_unit_test (instance_without_demand_keeps_a_part),
    cmocka_unit_test (lost_transfer_leads_to_a_new_epoch),
    cmocka_unit_test (share_of_a_dead_instance_is_divided_anew),
    cmocka_unit_test (deadline_is_ahead_without_a_lease),
    cmocka_unit_test (paused_holder_wakes_without_its_share),
    cmocka_unit_test (restarted_instance_starts_empty),
    cmocka_unit_test (lowered_limits_hold_at_once),
    cmocka_unit_test (organisation_that_returns_does_not_start_full),
    cmocka_unit_test (new_organisation_starts_full),
    cmocka_unit_test (refund_stops_at_the_cap),
    cmocka_unit_test (transfer_counts_once_and_in_its_epoch),
    cmocka_unit_test (forgotten_request_is_not_charged),
    cmocka_unit_test (transfers_go_on_through_an_outage),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
