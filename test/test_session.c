/* Lease, renewal through a peer, fencing and the outage rule.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-fleet-sim.h"

#define LIMITS "x 100 100 y 100 100"

static fleet_sim_t *
start (int n)
{
  fleet_sim_t *sim = fleet_sim_new (7, n);
  fleet_sim_put_row (sim, "list/plans", LIMITS);
  for (int i = 0; i < n; i++)
    fleet_sim_start (sim, i);
  fleet_sim_run (sim, sim->now_ns + 4 * FLEET_SIM_S);
  return sim;
}

static void
pass (fleet_sim_t *sim, int64_t ms)
{
  fleet_sim_run (sim, sim->now_ns + ms * FLEET_SIM_MS);
}

static session_state_t
state_of (const fleet_sim_t *sim, int node)
{
  return session_state (sim->instances[node].session);
}

/* One session without a fleet.  The test advances its clock and makes the
   answers that it gets from the table.  */

typedef struct
{
  kwf_clock_t base;
  int64_t now_ns;
} lone_clock_t;

static struct timespec
read_lone_clock (const kwf_clock_t *base)
{
  const lone_clock_t *clock = (const lone_clock_t *)(const void *)base;
  return (struct timespec){ clock->now_ns / KWF_NS_PER_S,
                            clock->now_ns % KWF_NS_PER_S };
}

static const kwf_clock_ops_t lone_clock_ops
    = { .monotonic = read_lone_clock, .wall = read_lone_clock };

typedef struct
{
  lone_clock_t clock;
  session_t *session;
  kwf_effects_t *effects;
  session_changes_t changes;
} lone_session_t;

static void
lone_session_open (lone_session_t *lone)
{
  *lone = (lone_session_t){ .clock = { { &lone_clock_ops }, KWF_NS_PER_S } };
  kwf_core_options_t options = { .instance = "a",
                                 .incarnation = 3,
                                 .data_centre = "d",
                                 .caller_address = "c",
                                 .peer_address = "p",
                                 .clock = &lone->clock.base };
  lone->session = session_new (&options);
  lone->effects = kwf_effects_new ();
}

static void
lone_session_close (lone_session_t *lone)
{
  session_free (lone->session);
  kwf_effects_free (lone->effects);
}

/* Steps the session.  Returns the transaction that it sent, or 0.  */
static kwf_handle_t
lone_session_step (lone_session_t *lone, const kwf_event_t *event)
{
  kwf_handle_t op = 0;
  kwf_effects_clear (lone->effects);
  session_step (lone->session, event, lone->effects, &lone->changes);
  for (size_t i = 0; i < kwf_effects_count (lone->effects); i++)
    if (kwf_effects_at (lone->effects, i)->type == KWF_FX_STORE)
      op = kwf_effects_at (lone->effects, i)->store.op;
  return op;
}

static kwf_handle_t
lone_session_advance (lone_session_t *lone, int64_t ms)
{
  lone->clock.now_ns += ms * FLEET_SIM_MS;
  return lone_session_step (lone, &(kwf_event_t){ .type = KWF_EV_TICK });
}

static kwf_handle_t
lone_session_answer (lone_session_t *lone, kwf_handle_t op,
                     kwf_store_outcome_t outcome, int64_t revision,
                     const kwf_row_t *rows, size_t n_rows)
{
  kwf_event_t event = { .type = KWF_EV_STORE_REPLY };
  event.store.op = op;
  event.store.reply = (kwf_store_reply_t){
    .outcome = outcome, .revision = revision, .rows = rows, .n_rows = n_rows
  };
  return lone_session_step (lone, &event);
}

/* The member at PLACE in the list; its instance is NULL if there are
   fewer.  */
static session_member_t
member_at (const session_t *session, size_t place)
{
  session_member_t member;
  size_t at = 0;
  for (size_t i = 0; session_next_member (session, &at, &member); i++)
    if (i == place)
      return member;
  return (session_member_t){ .instance = NULL };
}

static size_t
n_members (const session_t *session)
{
  size_t n = 0;
  while (member_at (session, n).instance)
    n++;
  return n;
}

/* Guards against a lease whose duration, 2400 ms, starts when a renewal is
   answered rather than when it was sent: a slow answer would then extend it
   beyond the time at which other instances treat it as expired.  */
static void
lease_counts_from_sending (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_handle_t op = lone_session_advance (&lone, 0);
  assert_int_not_equal (op, 0);
  assert_int_equal (session_state (lone.session), SESSION_NONE);
  lone.clock.now_ns += 1300 * FLEET_SIM_MS;
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 5, NULL, 0);
  assert_int_equal (session_state (lone.session), SESSION_VALID);
  lone.clock.now_ns += 1099 * FLEET_SIM_MS;
  assert_int_equal (session_state (lone.session), SESSION_VALID);
  lone.clock.now_ns += 2 * FLEET_SIM_MS;
  assert_int_not_equal (session_state (lone.session), SESSION_VALID);
  lone_session_close (&lone);
}

/* Guards against a late answer to a renewal (a table transaction) that has
   timed out: a newer renewal was sent since, and only its answer may bring
   rows and a lease.  */
static void
answer_to_older_question_is_ignored (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_handle_t first = lone_session_advance (&lone, 0);
  kwf_handle_t second = lone_session_advance (&lone, 1500);
  assert_int_not_equal (second, 0);
  assert_int_not_equal (second, first);
  lone_session_answer (&lone, first, KWF_STORE_COMMITTED, 5, NULL, 0);
  assert_int_equal (session_state (lone.session), SESSION_NONE);
  assert_false (lone.changes.fresh);
  lone_session_answer (&lone, second, KWF_STORE_COMMITTED, 6, NULL, 0);
  assert_int_equal (session_state (lone.session), SESSION_VALID);
  lone_session_close (&lone);
}

/* Guards against a table that answers from an older copy: its revision, its
   rows and its lease must not be used.  */
static void
older_revision_is_not_taken (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_row_t new_row = { "key/k", 8, "new" };
  kwf_row_t old_row = { "key/k", 4, "old" };
  kwf_handle_t op = lone_session_advance (&lone, 0);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 8, &new_row, 1);
  assert_int_equal (lone.changes.n_rows, 2);
  op = lone_session_advance (&lone, 800);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 7, &old_row, 1);
  assert_false (lone.changes.fresh);
  assert_int_equal (session_revision (lone.session), 8);
  lone.clock.now_ns += 1700 * FLEET_SIM_MS;
  assert_int_not_equal (session_state (lone.session), SESSION_VALID);
  lone_session_close (&lone);
}

/* Guards against two processes that act as the same instance.  */
static void
newer_incarnation_fences_at_once (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_handle_t op = lone_session_advance (&lone, 0);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 5, NULL, 0);
  assert_true (session_may_act (lone.session));
  op = lone_session_advance (&lone, 800);
  kwf_row_t row = { "session/a", 6, "{\"incarnation\":4,\"counter\":1}" };
  op = lone_session_answer (&lone, op, KWF_STORE_CONFLICT, 6, &row, 1);
  assert_int_equal (op, 0);
  assert_false (session_may_act (lone.session));
  assert_int_equal (lone_session_advance (&lone, 5000), 0);
  lone_session_close (&lone);
}

/* Guards against a restarted instance that cannot replace the row of its
   previous incarnation.  */
static void
row_of_former_incarnation_is_replaced (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_handle_t op = lone_session_advance (&lone, 0);
  kwf_row_t row = { "session/a", 6, "{\"incarnation\":2,\"counter\":9}" };
  op = lone_session_answer (&lone, op, KWF_STORE_CONFLICT, 6, &row, 1);
  assert_int_not_equal (op, 0);
  int64_t version = -1;
  for (size_t i = 0; i < kwf_effects_count (lone.effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (lone.effects, i);
      if (effect->type == KWF_FX_STORE)
        version = effect->store.txn.conditions[0].version;
    }
  assert_int_equal (version, 6);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 7, NULL, 0);
  assert_true (session_may_act (lone.session));
  lone_session_close (&lone);
}

/* Guards against a process that resumes after a pause and acts on its old
   lease.  */
static void
paused_instance_wakes_without_lease (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  fleet_sim_pause (sim, 1);
  pass (sim, 5000);
  assert_false (session_may_act (sim->instances[1].session));
  fleet_sim_resume (sim, 1);
  assert_false (session_may_act (sim->instances[1].session));
  pass (sim, 1000);
  assert_int_equal (state_of (sim, 1), SESSION_VALID);
  fleet_sim_free (sim);
}

/* Guards against one lost answer that costs the lease.  */
static void
one_lost_answer_leaves_no_gap (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (1);
  sim->lose_after = 1;
  pass (sim, 850);
  sim->lose_after = 0;
  for (int i = 0; i < 400; i++)
    {
      pass (sim, 10);
      assert_true (session_may_act (sim->instances[0].session));
    }
  fleet_sim_free (sim);
}

/* Guards against an instance that stops because it alone cannot reach the
   platform.  */
static void
partitioned_instance_renews_through_peer (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  sim->instances[2].apart = true;
  for (int i = 0; i < 1000; i++)
    {
      pass (sim, 10);
      assert_int_equal (state_of (sim, 2), SESSION_VALID);
    }
  /* Its row is still renewed, so that nobody reclaims its shares.  */
  assert_int_equal (shares_epoch (sim->instances[0].shares), 1);
  fleet_sim_free (sim);
}

/* Guards against an instance that acts although it cannot learn that a key was
   withdrawn.  */
static void
instance_without_platform_and_peers_stops (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  sim->instances[2].apart = true;
  fleet_sim_set_cut (sim, 0, 2, true);
  fleet_sim_set_cut (sim, 1, 2, true);
  pass (sim, 2500);
  assert_int_equal (state_of (sim, 2), SESSION_EXPIRED);
  assert_int_equal (state_of (sim, 0), SESSION_VALID);
  pass (sim, 20000);
  assert_int_equal (state_of (sim, 2), SESSION_EXPIRED);
  fleet_sim_free (sim);
}

/* Guards against a fleet that stops or interrupts its work when the platform
   fails.  */
static void
all_act_through_an_outage (void **state)
{
  (void)state;
  for (int refuse = 0; refuse < 2; refuse++)
    {
      fleet_sim_t *sim = start (5);
      sim->refuse = refuse;
      sim->outage = true;
      for (int i = 0; i < 3000; i++)
        {
          pass (sim, 10);
          for (int node = 0; node < 5; node++)
            assert_true (session_may_act (sim->instances[node].session));
        }
      assert_int_equal (state_of (sim, 3), SESSION_OUTAGE);
      sim->outage = false;
      for (int i = 0; i < 500; i++)
        {
          pass (sim, 10);
          for (int node = 0; node < 5; node++)
            assert_true (session_may_act (sim->instances[node].session));
        }
      assert_int_equal (state_of (sim, 3), SESSION_VALID);
      fleet_sim_free (sim);
    }
}

/* Guards against a dead instance that makes all others stop during an outage,
   and against an unreachable instance that is mistaken for a dead one.  */
static void
only_a_refusing_address_counts_as_gone (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  sim->outage = true;
  fleet_sim_crash (sim, 2);
  pass (sim, 10000);
  assert_true (session_may_act (sim->instances[0].session));
  assert_true (session_may_act (sim->instances[1].session));
  fleet_sim_free (sim);

  sim = start (3);
  sim->outage = true;
  fleet_sim_set_cut (sim, 0, 2, true);
  fleet_sim_set_cut (sim, 1, 2, true);
  pass (sim, 3000);
  assert_false (session_may_act (sim->instances[0].session));
  assert_false (session_may_act (sim->instances[1].session));
  fleet_sim_free (sim);
}

/* Guards against a write whose outcome is unknown when the outage begins: its
   writer and all others must stop.  */
static void
open_write_stops_the_outage_rule (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  session_set_write_pending (sim->instances[1].session, true);
  sim->outage = true;
  pass (sim, 3000);
  for (int node = 0; node < 3; node++)
    assert_false (session_may_act (sim->instances[node].session));
  session_set_write_pending (sim->instances[1].session, false);
  pass (sim, 1000);
  for (int node = 0; node < 3; node++)
    assert_true (session_may_act (sim->instances[node].session));
  fleet_sim_free (sim);
}

/* Guards against an instance that cannot join while the platform is
   silent.  */
static void
joining_instance_takes_state_from_peers (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  sim->outage = true;
  pass (sim, 3000);
  fleet_sim_crash (sim, 2);
  pass (sim, 500);
  fleet_sim_start (sim, 2);
  pass (sim, 100);
  assert_false (session_may_act (sim->instances[2].session));
  pass (sim, 3000);
  assert_int_equal (state_of (sim, 2), SESSION_OUTAGE);
  assert_int_equal (session_revision (sim->instances[2].session),
                    session_revision (sim->instances[0].session));
  assert_true (session_may_act (sim->instances[0].session));
  fleet_sim_free (sim);
}

/* Guards against an instance that reclaims right after an outage, while others
   still act on its vote.  */
static void
reclaim_waits_a_lease_after_an_outage (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  assert_true (session_may_reclaim (sim->instances[0].session));
  sim->outage = true;
  pass (sim, 6000);
  assert_false (session_may_reclaim (sim->instances[0].session));
  sim->outage = false;
  pass (sim, 1500);
  assert_int_equal (state_of (sim, 0), SESSION_VALID);
  for (int i = 0; i < 80; i++)
    {
      assert_false (session_may_reclaim (sim->instances[0].session));
      pass (sim, 10);
    }
  pass (sim, 2500);
  assert_true (session_may_reclaim (sim->instances[0].session));
  assert_false (member_at (sim->instances[0].session, 1).expired);
  fleet_sim_free (sim);
}

/* Guards against a member that is declared dead too early, or never.  */
static void
lease_of_a_dead_member_expires (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  fleet_sim_crash (sim, 2);
  pass (sim, 2100);
  assert_false (member_at (sim->instances[0].session, 2).expired);
  pass (sim, 2500);
  assert_true (member_at (sim->instances[0].session, 2).expired);
  fleet_sim_free (sim);
}

/* Guards against rows of dead instances that are never deleted.  */
static void
gone_member_is_removed_after_10_minutes (void **state)
{
  (void)state;
  fleet_sim_t *sim = start (3);
  fleet_sim_crash (sim, 2);
  pass (sim, 595000);
  assert_non_null (fleet_sim_get_row (sim, "session/i2")->value);
  assert_int_equal (n_members (sim->instances[0].session), 3);
  pass (sim, 20000);
  assert_null (fleet_sim_get_row (sim, "session/i2")->value);
  assert_int_equal (n_members (sim->instances[0].session), 2);
  assert_int_equal (n_members (sim->instances[1].session), 2);
  fleet_sim_free (sim);
}

/* Guards against a peer that renews the lease for a process that was
   replaced.  */
static void
renewal_for_an_old_incarnation_is_refused (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_row_t row = { "session/b", 6, "{\"incarnation\":5,\"counter\":1}" };
  kwf_handle_t op = lone_session_advance (&lone, 0);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 7, &row, 1);
  kwf_message_t message
      = { .type = KWF_MSG_RENEW,
          .renew = { .incarnation = 4, .counter = 90, .data_centre = "d" } };
  kwf_event_t event = { .type = KWF_EV_PEER_MESSAGE };
  event.peer = (kwf_peer_event_t){ .instance = "b",
                                   .incarnation = 4,
                                   .message = &message };
  lone_session_step (&lone, &event);
  op = lone_session_advance (&lone, 800);
  assert_int_not_equal (op, 0);
  bool refused = false;
  for (size_t i = 0; i < kwf_effects_count (lone.effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (lone.effects, i);
      if (effect->type == KWF_FX_STORE)
        assert_int_equal (effect->store.txn.n_puts, 1);
      else if (effect->type == KWF_FX_PEER_SEND)
        refused = effect->send.message.type == KWF_MSG_RENEWED
                  && !effect->send.message.renewed.renewed;
    }
  assert_true (refused);
  lone_session_close (&lone);
}

/* Guards against rows from a peer that were not requested, because some may be
   missing.  */
static void
unasked_state_is_ignored (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_handle_t op = lone_session_advance (&lone, 0);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 5, NULL, 0);
  kwf_event_t event = { .type = KWF_EV_PEER_UP };
  event.peer = (kwf_peer_event_t){ .instance = "b", .incarnation = 1 };
  lone_session_step (&lone, &event);
  kwf_row_t row = { "key/k", 9, "x" };
  kwf_message_t message
      = { .type = KWF_MSG_STATE_ROWS,
          .state_rows = { .revision = 9, .rows = &row, .n_rows = 1 } };
  event.type = KWF_EV_PEER_MESSAGE;
  event.peer.message = &message;
  assert_true (lone_session_step (&lone, &event) == 0);
  assert_false (lone.changes.fresh);
  assert_int_equal (session_revision (lone.session), 5);
  lone_session_close (&lone);
}

/* Guards against links that are never opened, or kept to members that left the
   table.  */
static void
links_follow_the_members (void **state)
{
  (void)state;
  lone_session_t lone;
  lone_session_open (&lone);
  kwf_row_t row
      = { "session/b", 6,
          "{\"incarnation\":5,\"counter\":1,\"peer_address\":\"h:1\"}" };
  kwf_handle_t op = lone_session_advance (&lone, 0);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 7, &row, 1);
  bool linked = false;
  for (size_t i = 0; i < kwf_effects_count (lone.effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (lone.effects, i);
      linked |= effect->type == KWF_FX_PEER_LINK
                && strcmp (effect->link.address, "h:1") == 0;
    }
  assert_true (linked);
  op = lone_session_advance (&lone, 800);
  row = (kwf_row_t){ "session/b", 8, NULL };
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 9, &row, 1);
  bool unlinked = false;
  for (size_t i = 0; i < kwf_effects_count (lone.effects); i++)
    unlinked |= kwf_effects_at (lone.effects, i)->type == KWF_FX_PEER_UNLINK;
  assert_true (unlinked);
  assert_int_equal (n_members (lone.session), 1);
  lone_session_close (&lone);
}

/* Guards against hubs where leases are renewed in the table: the vote on an
   outage needs a link to each member.  */
static void
large_fleet_with_leases_links_to_all (void **state)
{
  (void)state;
  enum
  {
    MEMBERS = 40
  };
  lone_session_t lone;
  char keys[MEMBERS][16];
  kwf_row_t rows[MEMBERS];
  lone_session_open (&lone);
  for (int i = 0; i < MEMBERS; i++)
    {
      g_snprintf (keys[i], sizeof keys[i], "session/0%02d", i);
      rows[i] = (kwf_row_t){ keys[i], 6,
                             "{\"incarnation\":5,\"counter\":1,\"data_"
                             "centre\":\"d\",\"peer_address\":\"h:1\"}" };
    }
  kwf_handle_t op = lone_session_advance (&lone, 0);
  lone_session_answer (&lone, op, KWF_STORE_COMMITTED, 7, rows, MEMBERS);
  int links = 0;
  for (size_t i = 0; i < kwf_effects_count (lone.effects); i++)
    links += kwf_effects_at (lone.effects, i)->type == KWF_FX_PEER_LINK;
  assert_int_equal (links, MEMBERS);
  lone_session_close (&lone);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lease_counts_from_sending),
    cmocka_unit_test (answer_to_older_question_is_ignored),
    cmocka_unit_test (older_revision_is_not_taken),
    cmocka_unit_test (newer_incarnation_fences_at_once),
    cmocka_unit_test (row_of_former_incarnation_is_replaced),
    cmocka_unit_test (paused_instance_wakes_without_lease),
    cmocka_unit_test (one_lost_answer_leaves_no_gap),
    cmocka_unit_test (partitioned_instance_renews_through_peer),
    cmocka_unit_test (instance_without_platform_and_peers_stops),
    cmocka_unit_test (all_act_through_an_outage),
    cmocka_unit_test (only_a_refusing_address_counts_as_gone),
    cmocka_unit_test (open_write_stops_the_outage_rule),
    cmocka_unit_test (joining_instance_takes_state_from_peers),
    cmocka_unit_test (reclaim_waits_a_lease_after_an_outage),
    cmocka_unit_test (lease_of_a_dead_member_expires),
    cmocka_unit_test (gone_member_is_removed_after_10_minutes),
    cmocka_unit_test (renewal_for_an_old_incarnation_is_refused),
    cmocka_unit_test (unasked_state_is_ignored),
    cmocka_unit_test (links_follow_the_members),
    cmocka_unit_test (large_fleet_with_leases_links_to_all),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
