/* Tests of the lists in force: table rows, the command "apply", races and lost
   answers.  */

#include "config-fleet.h"

/* Accepted lists must be in force, on every instance.  */
static void
applied_lists_are_in_force (void **state)
{
  fleet_t *fleet = *state;
  uint64_t generation = config_generation (fleet->a.config);
  apply (&fleet->a, PLANS_2, 1);
  assert_int_equal (fleet->a.status, 200);
  assert_int_equal (body_integer (&fleet->a, "version"), 2);
  assert_int_equal (config_version (fleet->a.config), 2);
  assert_true (has_organisation (&fleet->a, "south"));
  assert_true (config_generation (fleet->a.config) > generation);
  /* The session must have the rows before the next renewal.  */
  assert_int_equal (fleet->a.session.kept_version, 2);
  renew (&fleet->b);
  assert_true (has_organisation (&fleet->b, "south"));
  assert_false (fleet->a.session.write_pending);
  command (&fleet->b,
           &(kwf_operator_event_t){ .command = KWF_OPERATOR_LISTS });
  assert_int_equal (fleet->b.status, 200);
  assert_int_equal (body_integer (&fleet->b, "version"), 2);
  assert_string_equal (body_text (&fleet->b, "plans"), PLANS_2);
  assert_string_equal (body_text (&fleet->b, "uses"), USES);
}

/* Invalid lists must not be written to the table.  */
static void
invalid_lists_are_refused (void **state)
{
  fleet_t *fleet = *state;
  size_t n_txns = fleet->a.n_txns;
  apply (&fleet->a, "[[organisation]]\nname = \"x\"\nplan = \"q\"\n", 1);
  assert_int_equal (fleet->a.status, 400);
  assert_string_equal (error_code (&fleet->a), "invalid_lists");
  const json_t *findings
      = json_object_get (json_object_get (fleet->a.body, "error"), "findings");
  assert_int_equal (json_array_size (findings), 1);
  const json_t *first = json_array_get (findings, 0);
  assert_string_equal (json_string_value (json_object_get (first, "field")),
                       "organisation[1].plan");
  assert_int_equal (json_integer_value (json_object_get (first, "line")), 3);
  assert_int_equal (fleet->a.n_txns, n_txns);
  assert_int_equal (config_version (fleet->a.config), 1);
}

/* The loser of a race must not overwrite the winner.  */
static void
loser_of_a_race_sees_both_sides (void **state)
{
  fleet_t *fleet = *state;
  apply (&fleet->a, PLANS_2, 1);
  /* B has not renewed, so it learns of the other write by its
     compare-and-set.  */
  apply (&fleet->b, PLANS_3, 1);
  assert_int_equal (fleet->b.status, 409);
  assert_string_equal (error_code (&fleet->b), "conflict");
  assert_int_equal (body_integer (&fleet->b, "version"), 2);
  assert_string_equal (body_text (&fleet->b, "plans"), PLANS_2);
  assert_true (has_organisation (&fleet->b, "south"));
  /* A knows the newer version without asking the table.  */
  size_t n_txns = fleet->a.n_txns;
  apply (&fleet->a, PLANS_3, 1);
  assert_int_equal (fleet->a.status, 409);
  assert_int_equal (fleet->a.n_txns, n_txns);
  apply (&fleet->b, PLANS_3, 2);
  assert_int_equal (fleet->b.status, 200);
}

/* The operator may have read the version from an instance that had newer rows;
   that must not be refused.  */
static void
instance_that_is_behind_reads_first (void **state)
{
  fleet_t *fleet = *state;
  apply (&fleet->a, PLANS_2, 1);
  apply (&fleet->b, PLANS_3, 2);
  assert_int_equal (fleet->b.status, 200);
  assert_int_equal (body_integer (&fleet->b, "version"), 3);
  apply (&fleet->b, PLANS_3, 99);
  assert_int_equal (fleet->b.status, 409);
}

/* A lost answer must not be reported as a conflict with the operator's own
   write.  */
static void
lost_answer_of_apply_is_settled (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = LOST_AFTER_APPLYING;
  apply (&fleet->a, PLANS_2, 1);
  assert_int_equal (fleet->a.status, 0);
  assert_true (fleet->a.session.write_pending);
  fleet->a.fault = NO_FAULT;
  advance_ms (&fleet->a, 300);
  assert_int_equal (fleet->a.status, 200);
  assert_int_equal (body_integer (&fleet->a, "version"), 2);
  assert_int_equal (config_version (fleet->a.config), 2);
  assert_false (fleet->a.session.write_pending);
  /* The same if the transaction was lost before it was applied.  */
  fleet->a.fault = LOST_BEFORE_APPLYING;
  apply (&fleet->a, PLANS_3, 2);
  fleet->a.fault = NO_FAULT;
  advance_ms (&fleet->a, 300);
  assert_int_equal (fleet->a.status, 200);
  assert_int_equal (body_integer (&fleet->a, "version"), 3);
}

/* If a renewal shows the write, the answer must not wait for a retry.  */
static void
renewal_settles_a_lost_answer (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = LOST_AFTER_APPLYING;
  apply (&fleet->a, PLANS_2, 1);
  assert_int_equal (fleet->a.status, 0);
  renew (&fleet->a);
  assert_int_equal (fleet->a.status, 200);
  assert_int_equal (body_integer (&fleet->a, "version"), 2);
}

/* If a write took effect and was replaced before its outcome was known, the
   answer must not be "nothing was written", and a retry must not overwrite the
   other operator's lists.  */
static void
lost_answer_and_a_race (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = LOST_AFTER_APPLYING;
  apply (&fleet->a, PLANS_2, 1);
  renew (&fleet->b);
  apply (&fleet->b, PLANS_3, 2);
  assert_int_equal (fleet->b.status, 200);
  fleet->a.fault = NO_FAULT;
  advance_ms (&fleet->a, 300);
  assert_int_equal (fleet->a.status, 409);
  assert_true (json_is_true (json_object_get (fleet->a.body, "applied")));
  assert_string_equal (body_text (&fleet->a, "plans"), PLANS_3);
  /* The write was lost before it took effect, and another one was applied.  */
  fleet->a.fault = LOST_BEFORE_APPLYING;
  apply (&fleet->a, PLANS_2, 3);
  renew (&fleet->b);
  apply (&fleet->b, PLANS, 3);
  assert_int_equal (fleet->b.status, 200);
  fleet->a.fault = NO_FAULT;
  renew (&fleet->a);
  assert_int_equal (fleet->a.status, 409);
  assert_null (json_object_get (fleet->a.body, "applied"));
  advance_ms (&fleet->a, 1000);
  assert_string_equal (body_text (&fleet->a, "plans"), PLANS);
  renew (&fleet->b);
  assert_int_equal (config_version (fleet->b.config), 4);
}

/* If the rows do not show the outcome, the answer must not be "nothing was
   written".  Here another program wrote the rows without the ids of the
   earlier writes.  */
static void
lost_answer_and_a_foreign_writer (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = LOST_AFTER_APPLYING;
  apply (&fleet->a, PLANS_2, 1);
  fleet->store.revision++;
  store_put (&fleet->store, "list/plans",
             "{\"text\":\"\",\"apply_id\":\"foreign\"}");
  store_put (&fleet->store, "list/uses",
             "{\"text\":\"\",\"apply_id\":\"foreign\"}");
  fleet->a.fault = NO_FAULT;
  advance_ms (&fleet->a, 8100);
  assert_int_equal (fleet->a.status, 504);
  assert_int_equal (config_version (fleet->a.config), 3);
  renew (&fleet->a);
  assert_false (fleet->a.session.write_pending);
}

/* The operator must be answered in time although the outcome is unknown, and
   the session must know of the open write, so that peers do.  */
static void
unknown_outcome_is_reported_in_time (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = LOST_BEFORE_APPLYING;
  apply (&fleet->a, PLANS_2, 1);
  advance_ms (&fleet->a, 7900);
  assert_int_equal (fleet->a.status, 0);
  advance_ms (&fleet->a, 200);
  assert_int_equal (fleet->a.status, 504);
  assert_string_equal (error_code (&fleet->a), "outcome_unknown");
  assert_true (fleet->a.session.write_pending);
  /* The write is not sent again after the answer.  */
  fleet->a.fault = NO_FAULT;
  size_t n_txns = fleet->a.n_txns;
  advance_ms (&fleet->a, 59000);
  renew (&fleet->a);
  assert_true (fleet->a.session.write_pending);
  advance_ms (&fleet->a, 4000);
  assert_true (fleet->a.session.write_pending);
  renew (&fleet->a);
  assert_false (fleet->a.session.write_pending);
  assert_int_equal (fleet->a.n_txns, n_txns);
  assert_int_equal (config_version (fleet->a.config), 1);
}

/* A write whose answer is missing is settled only by rows that show its
   outcome, and an answer that arrives later must not undo newer lists.  */
static void
late_answer_changes_nothing_newer (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = HOLD;
  apply (&fleet->a, PLANS_2, 1);
  kwf_handle_t op = g_array_index (fleet->a.held_ops, kwf_handle_t, 0);
  renew (&fleet->b);
  apply (&fleet->b, PLANS_3, 1);
  assert_int_equal (fleet->b.status, 200);
  renew (&fleet->a);
  assert_int_equal (fleet->a.status, 409);
  deliver_reply (&fleet->a, op,
                 &(kwf_store_reply_t){ .outcome = KWF_STORE_UNKNOWN });
  assert_int_equal (config_version (fleet->a.config), 2);
  assert_true (has_organisation (&fleet->a, "west"));
  assert_false (fleet->a.session.write_pending);
}

/* A write that the table certainly did not take must not be reported as
   unknown.  */
static void
failed_write_is_reported_as_not_written (void **state)
{
  fleet_t *fleet = *state;
  fleet->a.fault = FAIL;
  apply (&fleet->a, PLANS_2, 1);
  assert_int_equal (fleet->a.status, 503);
  assert_string_equal (error_code (&fleet->a), "not_written");
  assert_false (fleet->a.session.write_pending);
  /* After a lost answer a failure does not show the outcome.  */
  fleet->a.fault = LOST_AFTER_APPLYING;
  apply (&fleet->a, PLANS_2, 1);
  fleet->a.fault = FAIL;
  advance_ms (&fleet->a, 1000);
  assert_int_equal (fleet->a.status, 0);
  fleet->a.fault = NO_FAULT;
  advance_ms (&fleet->a, 300);
  assert_int_equal (fleet->a.status, 200);
}

/* Older rows from a peer must not undo a change.  */
static void
older_rows_are_ignored (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  apply (a, PLANS_2, 1);
  const kwf_row_t older[] = {
    { "list/plans", 1, "{\"text\":\"\",\"apply_id\":\"x\"}" },
    { "list/uses", 1, "{\"text\":\"\",\"apply_id\":\"x\"}" },
  };
  deliver_rows (a, older, 2);
  assert_int_equal (config_version (a->config), 2);
  assert_true (has_organisation (a, "south"));
  command (a, &(kwf_operator_event_t){ .command = KWF_OPERATOR_LISTS });
  assert_int_equal (body_integer (a, "version"), 2);
  assert_string_equal (body_text (a, "plans"), PLANS_2);
  const kwf_row_t keys[] = {
    { "key/" KEY_1, 9, ROW_OF ("north", "true") },
    { "key/" KEY_1, 8, ROW_OF ("north", "false") },
    { "key/" KEY_2, 9, ROW_OF ("north", "false") },
  };
  deliver_rows (a, keys, 3);
  assert_null (config_key_organisation (a->config, KEY_1));
  assert_string_equal (config_key_organisation (a->config, KEY_2), "north");
  const kwf_row_t deleted[] = {
    { "key/" KEY_2, 10, NULL },
    { "key/" KEY_2, 9, ROW_OF ("north", "false") },
  };
  deliver_rows (a, deleted, 2);
  assert_null (config_key_organisation (a->config, KEY_2));
}

/* If a newer version of the program, or a fault, has written rows that cannot
   be read, the last good lists must stay in force.  */
static void
unreadable_lists_keep_the_last_good (void **state)
{
  fleet_t *fleet = *state;
  instance_t *a = &fleet->a;
  const kwf_row_t rows[] = {
    { "list/plans", 7, "{\"text\":\"[[new]]\\n\",\"apply_id\":\"x\"}" },
    { "list/uses", 7, "{\"text\":\"\",\"apply_id\":\"x\"}" },
  };
  deliver_rows (a, rows, 2);
  assert_int_equal (config_version (a->config), 1);
  assert_true (has_organisation (a, "north"));
  const kwf_row_t broken[] = { { "list/plans", 8, "{" } };
  deliver_rows (a, broken, 1);
  assert_true (has_organisation (a, "north"));
  const kwf_row_t deleted[] = { { "list/plans", 9, NULL } };
  deliver_rows (a, deleted, 1);
  assert_true (has_organisation (a, "north"));
  command (a, &(kwf_operator_event_t){ .command = KWF_OPERATOR_LISTS });
  assert_int_equal (body_integer (a, "version"), 7);
  assert_int_equal (body_integer (a, "in_force"), 1);
}

/* A restarted instance must learn all that the table has.  */
static void
restarted_instance_has_the_same_state (void **state)
{
  fleet_t *fleet = *state;
  command (&fleet->a, &(kwf_operator_event_t){ .command = KWF_OPERATOR_KEY_ADD,
                                               .organisation = "north",
                                               .digest = KEY_1 });
  assert_int_equal (fleet->a.status, 200);
  instance_t c;
  instance_start (&c, &fleet->store, &fleet->clock, "c");
  assert_null (config_lists (c.config));
  assert_int_equal (config_version (c.config), 0);
  assert_null (config_key_organisation (c.config, KEY_1));
  c.session.revision = 0;
  apply (&c, PLANS, 0);
  assert_int_equal (c.status, 503);
  c.session.revision = 1;
  renew (&c);
  assert_int_equal (config_version (c.config), 1);
  assert_string_equal (config_key_organisation (c.config, KEY_1), "north");
  instance_stop (&c);
}

/* Two operators must not both be told that their write won.  Seeded runs with
   random faults: each 200 has a version of its own, and every version in the
   table was either reported or is in doubt.  */
static void
random_races_have_one_winner (void **state)
{
  fleet_t *fleet = *state;
  GRand *rand = g_rand_new_with_seed (17);
  GHashTable *versions = g_hash_table_new (g_direct_hash, g_direct_equal);
  size_t n_won = 0;
  static const char *const texts[] = { PLANS, PLANS_2, PLANS_3 };
  for (int round = 0; round < 400; round++)
    {
      instance_t *const both[2] = { &fleet->a, &fleet->b };
      int64_t base = fleet->store.revision;
      for (int i = 0; i < 2; i++)
        {
          both[i]->fault = (fault_t)g_rand_int_range (rand, 0, 4);
          apply (both[i], texts[g_rand_int_range (rand, 0, 3)], base);
        }
      for (int i = 0; i < 2; i++)
        both[i]->fault = NO_FAULT;
      /* Both instances share the clock; this is enough for ten retries of
         each.  */
      advance_ms (both[round % 2], 1000);
      advance_ms (both[1 - round % 2], 8000);
      advance_ms (both[round % 2], 1);
      for (int i = 0; i < 2; i++)
        {
          assert_true (both[i]->status != 0);
          assert_true (both[i]->status != 504);
          if (both[i]->status != 200)
            continue;
          int64_t version = body_integer (both[i], "version");
          assert_true (
              g_hash_table_add (versions, GINT_TO_POINTER ((int)version)));
          n_won++;
        }
      renew (&fleet->a);
      renew (&fleet->b);
      assert_int_equal (config_version (fleet->a.config),
                        fleet->store.revision);
      assert_int_equal (config_version (fleet->b.config),
                        fleet->store.revision);
    }
  print_message ("%zu of 800 commands won, %lld versions\n", n_won,
                 (long long)fleet->store.revision - 1);
  g_hash_table_destroy (versions);
  g_rand_free (rand);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    CASE (applied_lists_are_in_force),
    CASE (invalid_lists_are_refused),
    CASE (loser_of_a_race_sees_both_sides),
    CASE (instance_that_is_behind_reads_first),
    CASE (lost_answer_of_apply_is_settled),
    CASE (renewal_settles_a_lost_answer),
    CASE (lost_answer_and_a_race),
    CASE (lost_answer_and_a_foreign_writer),
    CASE (unknown_outcome_is_reported_in_time),
    CASE (late_answer_changes_nothing_newer),
    CASE (failed_write_is_reported_as_not_written),
    CASE (older_rows_are_ignored),
    CASE (unreadable_lists_keep_the_last_good),
    CASE (restarted_instance_has_the_same_state),
    CASE (random_races_have_one_winner),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
