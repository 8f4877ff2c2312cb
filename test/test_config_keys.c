/* Tests of keys: table rows, the commands "key add" and "key withdraw", and
   suspensions.  */

#include "config-fleet.h"

/* No key may be added for an unknown organisation, and the same key not twice.
   If the table's answer to the write is lost, the operator must not be told of
   a conflict.  After the operator was answered, the write is not sent
   again.  */
static void
key_is_added (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  key_add (a, "nobody", KEY_1);
  assert_int_equal (a->status, 404);
  assert_string_equal (error_code (a), "unknown_organisation");
  key_add (a, "north", KEY_1);
  assert_int_equal (a->status, 200);
  assert_string_equal (body_text (a, "digest"), KEY_1);
  assert_string_equal (config_key_organisation (a->config, KEY_1), "north");
  key_add (a, "north", KEY_1);
  assert_int_equal (a->status, 409);
  a->fault = LOST_AFTER_APPLYING;
  key_add (a, "north", KEY_2);
  assert_int_equal (a->status, 0);
  assert_false (a->session.write_pending);
  a->fault = NO_FAULT;
  advance_ms (a, 300);
  assert_int_equal (a->status, 200);
  assert_string_equal (config_key_organisation (a->config, KEY_2), "north");
  a->fault = FAIL;
  key_add (a, "north", KEY_2);
  assert_int_equal (a->status, 503);
  a->fault = LOST_BEFORE_APPLYING;
  key_add (a, "north", KEY_2);
  advance_ms (a, 8100);
  assert_int_equal (a->status, 504);
  size_t n_txns = a->n_txns;
  advance_ms (a, 5000);
  assert_int_equal (a->n_txns, n_txns);
}

/* Peers must be told of a withdrawal before it is written, and the report must
   list the members that were not reached.  */
static void
withdrawal_is_pushed_and_written (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  add_member (a, "c", false);
  key_add (a, "north", KEY_1);
  a->fault = HOLD;
  key_withdraw (a, KEY_1);
  assert_string_equal (a->sent->str, "b lifted=0\nc lifted=0\n");
  assert_null (config_key_organisation (a->config, KEY_1));
  /* C has not confirmed.  */
  assert_true (a->session.write_pending);
  kwf_event_t up = { .type = KWF_EV_PEER_UP, .peer = { .instance = "c" } };
  step (a, &up, NULL);
  assert_string_equal (a->sent->str, "b lifted=0\nc lifted=0\nc lifted=0\n");
  assert_false (a->session.write_pending);
  kwf_event_t down = { .type = KWF_EV_PEER_DOWN, .peer = { .instance = "b" } };
  step (a, &down, NULL);
  assert_true (a->session.write_pending);
  deliver_reply (
      a, g_array_index (a->held_ops, kwf_handle_t, 0),
      &(kwf_store_reply_t){ .outcome = KWF_STORE_COMMITTED, .revision = 50 });
  assert_int_equal (a->status, 200);
  assert_string_equal (body_text (a, "digest"), KEY_1);
  assert_int_equal (members_in (a, "confirmed"), 2);
  assert_int_equal (members_in (a, "unconfirmed"), 1);
  assert_null (config_key_organisation (a->config, KEY_1));
  assert_false (a->session.write_pending);
  /* A second withdrawal of the key has the same answer.  */
  a->fault = NO_FAULT;
  key_withdraw (a, KEY_1);
  assert_int_equal (a->status, 200);
}

/* A key must be refused while its withdrawal is being written, and work again
   if nothing was written.  */
static void
withdrawal_that_failed_is_lifted (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  key_add (a, "north", KEY_1);
  a->fault = FAIL;
  key_withdraw (a, KEY_1);
  assert_int_equal (a->status, 503);
  assert_string_equal (error_code (a), "not_written");
  assert_string_equal (a->sent->str, "b lifted=0\nb lifted=1\n");
  assert_string_equal (config_key_organisation (a->config, KEY_1), "north");
  assert_false (a->session.write_pending);
  a->fault = NO_FAULT;
  g_string_truncate (a->sent, 0);
  key_withdraw (a, KEY_2);
  assert_int_equal (a->status, 404);
  assert_string_equal (error_code (a), "unknown_key");
  assert_string_equal (a->sent->str, "b lifted=0\nb lifted=1\n");
}

/* A key must stay refused while the outcome of its withdrawal is unknown, and
   the withdrawal must be retried until it takes effect.  */
static void
withdrawal_goes_on_until_it_is_known (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  key_add (a, "north", KEY_1);
  a->fault = LOST_BEFORE_APPLYING;
  key_withdraw (a, KEY_1);
  advance_ms (a, 8100);
  assert_int_equal (a->status, 504);
  assert_int_equal (members_in (a, "confirmed"), 2);
  g_string_truncate (a->sent, 0);
  advance_ms (a, 120000);
  renew (a);
  assert_null (config_key_organisation (a->config, KEY_1));
  assert_non_null (strstr (a->sent->str, "b lifted=0\nb lifted=0\n"));
  a->fault = NO_FAULT;
  advance_ms (a, 1100);
  assert_null (config_key_organisation (a->config, KEY_1));
  const stored_t *row = store_get (&fleet->store, "key/" KEY_1);
  assert_non_null (strstr (row->value, "\"withdrawn\":true"));
  size_t n_txns = a->n_txns;
  advance_ms (a, 5000);
  assert_int_equal (a->n_txns, n_txns);
}

/* A key that was added through another instance can be withdrawn, and two
   operators can withdraw the same key.  */
static void
withdrawal_follows_the_row (void **state)
{
  fleet_t *fleet = *state;
  key_add (&fleet->a, "north", KEY_1);
  key_withdraw (&fleet->b, KEY_1);
  assert_int_equal (fleet->b.status, 200);
  key_withdraw (&fleet->a, KEY_1);
  assert_int_equal (fleet->a.status, 200);
  assert_null (config_key_organisation (fleet->a.config, KEY_1));
  /* The row changed, and this instance has not read it yet.  */
  key_add (&fleet->a, "north", KEY_2);
  fleet->store.revision++;
  store_put (&fleet->store, "key/" KEY_2, ROW_OF ("north", "false"));
  key_withdraw (&fleet->a, KEY_2);
  assert_int_equal (fleet->a.status, 200);
  /* The row was deleted, and the conflict does not say at which revision.  */
  key_add (&fleet->b, "north", KEY_3);
  fleet->store.revision++;
  store_put (&fleet->store, "key/" KEY_3, NULL);
  key_withdraw (&fleet->b, KEY_3);
  assert_int_equal (fleet->b.status, 404);
  key_add (&fleet->b, "north", "00" KEY_1);
  assert_int_equal (fleet->b.status, 400);
  key_withdraw (&fleet->b, "no digest");
  assert_int_equal (fleet->b.status, 400);
}

/* A command during a platform outage must not open a write, since an open
   write keeps all instances from acting.  */
static void
nothing_is_written_without_a_lease (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  key_add (a, "north", KEY_1);
  static const session_state_t states[] = { SESSION_OUTAGE, SESSION_EXPIRED };
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      a->session.state = states[i];
      size_t n_txns = a->n_txns;
      apply (a, PLANS_2, 1);
      assert_int_equal (a->status, 503);
      assert_string_equal (error_code (a), "not_written");
      key_add (a, "north", KEY_2);
      assert_int_equal (a->status, 503);
      key_withdraw (a, KEY_1);
      assert_int_equal (a->status, 503);
      assert_int_equal (a->n_txns, n_txns);
      assert_string_equal (a->sent->str, "");
      assert_false (a->session.write_pending);
      assert_non_null (config_key_organisation (a->config, KEY_1));
      command (a, &(kwf_operator_event_t){ .command = KWF_OPERATOR_LISTS });
      assert_int_equal (a->status, 200);
    }
}

static void
deliver_withdraw (instance_t *instance, const char *from, const char *digest,
                  bool lifted)
{
  kwf_message_t message
      = { .type = KWF_MSG_WITHDRAW,
          .withdraw = { .digest = digest, .lifted = lifted } };
  kwf_event_t event = { .type = KWF_EV_PEER_MESSAGE,
                        .peer = { .instance = from, .message = &message } };
  step (instance, &event, NULL);
}

/* A key must be refused while a peer withdraws it, and a peer must not end the
   suspension of another one.  */
static void
peers_suspend_a_key (void **state)
{
  fleet_t *fleet = *state;
  instance_t *b = &fleet->b;
  key_add (&fleet->a, "north", KEY_1);
  renew (b);
  uint64_t generation = config_generation (b->config);
  deliver_withdraw (b, "a", KEY_1, false);
  assert_null (config_key_organisation (b->config, KEY_1));
  assert_true (config_generation (b->config) > generation);
  deliver_withdraw (b, "c", KEY_1, false);
  deliver_withdraw (b, "a", KEY_1, true);
  assert_null (config_key_organisation (b->config, KEY_1));
  deliver_withdraw (b, "c", KEY_1, true);
  assert_string_equal (config_key_organisation (b->config, KEY_1), "north");
  deliver_withdraw (b, "c", "not a digest", false);
}

/* If the instance that withdrew a key has died, the suspension must end, but
   only after the table has been read.  */
static void
suspension_ends_after_its_time (void **state)
{
  fleet_t *fleet = *state;
  instance_t *b = &fleet->b;
  key_add (&fleet->a, "north", KEY_1);
  renew (b);
  deliver_withdraw (b, "a", KEY_1, false);
  advance_ms (b, 59000);
  renew (b);
  assert_null (config_key_organisation (b->config, KEY_1));
  advance_ms (b, 2000);
  assert_null (config_key_organisation (b->config, KEY_1));
  renew (b);
  assert_string_equal (config_key_organisation (b->config, KEY_1), "north");
  deliver_withdraw (b, "a", KEY_1, false);
  fleet->store.revision++;
  store_put (&fleet->store, "key/" KEY_1, ROW_OF ("north", "true"));
  advance_ms (b, 61000);
  renew (b);
  assert_null (config_key_organisation (b->config, KEY_1));
}

/* A key whose row is malformed must be refused.  */
static void
malformed_key_row_refuses (void **state)
{
  fleet_t *fleet = *state;
  static const char *const values[] = {
    "",
    "[]",
    "{\"organisation\":\"north\"}",
    "{\"withdrawn\":false}",
    "{\"organisation\":\"north\",\"withdrawn\":\"no\"}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      kwf_row_t row = { "key/" KEY_1, 20 + (int64_t)i, values[i] };
      deliver_rows (&fleet->a, &row, 1);
      assert_null (config_key_organisation (fleet->a.config, KEY_1));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (key_is_added),
    CASE (withdrawal_is_pushed_and_written),
    CASE (withdrawal_that_failed_is_lifted),
    CASE (withdrawal_goes_on_until_it_is_known),
    CASE (withdrawal_follows_the_row),
    CASE (nothing_is_written_without_a_lease),
    CASE (peers_suspend_a_key),
    CASE (suspension_ends_after_its_time),
    CASE (malformed_key_row_refuses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
