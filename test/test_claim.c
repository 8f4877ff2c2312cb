/* At-most-once claims.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-fleet-sim.h"
#include "lib/claim-row.h"

typedef struct
{
  bool decided;
  claim_verdict_t verdict;
  int status;
  char type[64];
  char body[256];
  size_t body_size;
} outcome_t;

#define N_INSTANCES 3

static outcome_t outcomes[32];

static void
collect (fleet_sim_t *sim, int at, const session_changes_t *changes)
{
  (void)changes;
  size_t count;
  const claim_result_t *results
      = claims_take_results (sim->instances[at].claims, &count);
  for (size_t i = 0; i < count; i++)
    {
      outcome_t *outcome = &outcomes[results[i].request];
      outcome->decided = true;
      outcome->verdict = results[i].verdict;
      outcome->status = results[i].status;
      outcome->body_size = results[i].body_size;
      if (results[i].body)
        memcpy (outcome->body, results[i].body,
                MIN (results[i].body_size, sizeof outcome->body - 1));
      if (results[i].content_type)
        g_strlcpy (outcome->type, results[i].content_type,
                   sizeof outcome->type);
    }
}

static void
run_for_ms (fleet_sim_t *sim, int64_t ms)
{
  fleet_sim_run (sim, sim->now_ns + ms * FLEET_SIM_MS);
}

static int
start (void **state)
{
  memset (outcomes, 0, sizeof outcomes);
  fleet_sim_t *sim = fleet_sim_new (5, N_INSTANCES);
  sim->after = collect;
  for (int i = 0; i < N_INSTANCES; i++)
    fleet_sim_start (sim, i);
  run_for_ms (sim, 5000);
  *state = sim;
  return 0;
}

static int
stop (void **state)
{
  fleet_sim_free (*state);
  return 0;
}

static void
begin_claim (fleet_sim_t *sim, int instance, kwf_handle_t request)
{
  claims_begin (sim->instances[instance].claims, request, "org", "the key",
                sim->instances[instance].effects);
  fleet_sim_run_effects (sim, instance);
}

static bool
send (fleet_sim_t *sim, int instance, kwf_handle_t request)
{
  bool may = claims_mark_sent (sim->instances[instance].claims, request,
                               sim->instances[instance].effects);
  fleet_sim_run_effects (sim, instance);
  return may;
}

static void
finish (fleet_sim_t *sim, int instance, kwf_handle_t request, const char *body,
        size_t size)
{
  claims_store_answer (sim->instances[instance].claims, request, 201,
                       "text/plain", body, size,
                       sim->instances[instance].effects);
  fleet_sim_run_effects (sim, instance);
}

static claim_verdict_t
claim_and_wait (fleet_sim_t *sim, int instance, kwf_handle_t request)
{
  begin_claim (sim, instance, request);
  for (int i = 0; i < 600 && !outcomes[request].decided; i++)
    run_for_ms (sim, 10);
  assert_true (outcomes[request].decided);
  return outcomes[request].verdict;
}

/* Claim and send request 1 at the first instance.  */
static void
send_first (fleet_sim_t *sim)
{
  assert_int_equal (claim_and_wait (sim, 0, 1), CLAIM_GRANTED);
  assert_true (send (sim, 0, 1));
}

static void
abandon (fleet_sim_t *sim, int instance, kwf_handle_t request)
{
  claims_abandon (sim->instances[instance].claims, request,
                  sim->instances[instance].effects);
  fleet_sim_run_effects (sim, instance);
  run_for_ms (sim, 100);
}

/* The key of the claim row that the table holds, or NULL.  */
static char *
claim_row_key (const fleet_sim_t *sim)
{
  GHashTableIter iter;
  void *key;
  void *row;
  g_hash_table_iter_init (&iter, sim->table);
  while (g_hash_table_iter_next (&iter, &key, &row))
    if (g_str_has_prefix (key, "claim/") && ((kwf_row_t *)row)->value)
      return g_strdup (key);
  return NULL;
}

/* Guards against a second run of a request at the same or another instance,
   while the first run lasts and after it.  */
static void
call_runs_once (void **state)
{
  fleet_sim_t *sim = *state;
  send_first (sim);
  assert_false (send (sim, 0, 1));
  assert_int_equal (claim_and_wait (sim, 0, 2), CLAIM_IN_PROGRESS);
  assert_int_equal (claim_and_wait (sim, 1, 3), CLAIM_IN_PROGRESS);
  finish (sim, 0, 1, "a\0b\xff", 4);
  run_for_ms (sim, 100);
  assert_int_equal (claim_and_wait (sim, 1, 4), CLAIM_DONE);
  assert_int_equal (outcomes[4].status, 201);
  assert_string_equal (outcomes[4].type, "text/plain");
  assert_int_equal (outcomes[4].body_size, 4);
  assert_memory_equal (outcomes[4].body, "a\0b\xff", 4);
  assert_int_equal (claim_and_wait (sim, 0, 5), CLAIM_DONE);
}

/* Guards against a claim that blocks its own request when the reply to the
   insert is lost.  */
static void
lost_answer_is_read_back (void **state)
{
  fleet_sim_t *sim = *state;
  sim->lose_after = 1;
  begin_claim (sim, 0, 1);
  run_for_ms (sim, 1000);
  sim->lose_after = 0;
  run_for_ms (sim, 1000);
  assert_true (outcomes[1].decided);
  assert_int_equal (outcomes[1].verdict, CLAIM_GRANTED);
  assert_true (send (sim, 0, 1));
}

/* Guards against a key that stays blocked by a claim whose inserts got no
   reply, although its request was answered as not run.  */
static void
open_claim_is_abandoned_later (void **state)
{
  fleet_sim_t *sim = *state;
  sim->lose_after = 1;
  assert_int_equal (claim_and_wait (sim, 0, 1), CLAIM_UNAVAILABLE);
  assert_false (send (sim, 0, 1));
  sim->lose_after = 0;
  run_for_ms (sim, 6000);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_GRANTED);
}

/* Guards against an insert that reaches the table after its request was
   refused and then blocks the key.  */
static void
late_insert_does_not_come_back (void **state)
{
  fleet_sim_t *sim = *state;
  kwf_txn_t insert = { 0 };
  claims_begin (sim->instances[0].claims, 1, "org", "the key",
                sim->instances[0].effects);
  const kwf_effect_t *effect = kwf_effects_at (sim->instances[0].effects, 0);
  assert_int_equal (effect->type, KWF_FX_STORE);
  kwf_condition_t condition
      = { fleet_sim_strdup (sim, effect->store.txn.conditions[0].key), 0 };
  kwf_put_t put = { condition.key,
                    fleet_sim_strdup (sim, effect->store.txn.puts[0].value) };
  insert.conditions = &condition;
  insert.n_conditions = 1;
  insert.puts = &put;
  insert.n_puts = 1;
  sim->lose_before = 1;
  fleet_sim_run_effects (sim, 0);
  run_for_ms (sim, 4000);
  assert_int_equal (outcomes[1].verdict, CLAIM_UNAVAILABLE);
  sim->lose_before = 0;
  run_for_ms (sim, 3000);
  assert_int_equal (fleet_sim_commit (sim, &insert).outcome,
                    KWF_STORE_CONFLICT);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_GRANTED);
  assert_int_equal (fleet_sim_commit (sim, &insert).outcome,
                    KWF_STORE_CONFLICT);
}

/* Guards against a request of a dead instance that is run again, and against a
   request that stays "in progress" without end.  */
static void
claim_of_a_dead_holder_is_unknown (void **state)
{
  fleet_sim_t *sim = *state;
  send_first (sim);
  fleet_sim_crash (sim, 0);
  run_for_ms (sim, 500);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_IN_PROGRESS);
  run_for_ms (sim, 5000);
  assert_int_equal (claim_and_wait (sim, 1, 3), CLAIM_UNKNOWN);
  fleet_sim_start (sim, 0);
  run_for_ms (sim, 2000);
  assert_int_equal (claim_and_wait (sim, 1, 4), CLAIM_UNKNOWN);
  assert_int_equal (claim_and_wait (sim, 0, 5), CLAIM_UNKNOWN);
}

/* Guards against a former incarnation that counts as live because a newer one
   of the same instance is.  */
static void
claim_of_a_former_incarnation_is_unknown (void **state)
{
  fleet_sim_t *sim = *state;
  assert_int_equal (claim_and_wait (sim, 0, 1), CLAIM_GRANTED);
  fleet_sim_crash (sim, 0);
  run_for_ms (sim, 10);
  fleet_sim_start (sim, 0);
  run_for_ms (sim, 1500);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_UNKNOWN);
}

/* Guards against a second run after a request whose answer never came.  */
static void
call_without_answer_stays_unknown (void **state)
{
  fleet_sim_t *sim = *state;
  send_first (sim);
  claims_mark_unknown (sim->instances[0].claims, 1, sim->instances[0].effects);
  fleet_sim_run_effects (sim, 0);
  run_for_ms (sim, 100);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_UNKNOWN);
}

/* Guards against a request that waited and is sent when other instances
   already presume its instance dead.  */
static void
claim_older_than_5_s_is_not_sent (void **state)
{
  fleet_sim_t *sim = *state;
  assert_int_equal (claim_and_wait (sim, 0, 1), CLAIM_GRANTED);
  run_for_ms (sim, 5100);
  assert_false (send (sim, 0, 1));
  run_for_ms (sim, 100);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_GRANTED);
}

/* Guards against a key that stays blocked by a request that was certainly not
   sent.  */
static void
abandoned_claim_frees_the_key (void **state)
{
  fleet_sim_t *sim = *state;
  send_first (sim);
  abandon (sim, 0, 1);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_GRANTED);
  /* Also when the request ends while the insert is under way.  */
  abandon (sim, 1, 2);
  begin_claim (sim, 0, 3);
  abandon (sim, 0, 3);
  assert_false (outcomes[3].decided);
  assert_int_equal (claim_and_wait (sim, 1, 4), CLAIM_GRANTED);
}

/* Guards against an answer that is lost because the table was unavailable when
   the request ended.  */
static void
answer_is_stored_after_an_outage (void **state)
{
  fleet_sim_t *sim = *state;
  send_first (sim);
  sim->outage = true;
  finish (sim, 0, 1, "late", 4);
  run_for_ms (sim, 10000);
  sim->outage = false;
  run_for_ms (sim, 5000);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_DONE);
  assert_memory_equal (outcomes[2].body, "late", 4);
}

/* Guards against a request that waits, or runs, while no claim can be
   made.  */
static void
outage_means_not_run_at_once (void **state)
{
  fleet_sim_t *sim = *state;
  sim->outage = true;
  run_for_ms (sim, 5000);
  begin_claim (sim, 0, 1);
  run_for_ms (sim, 300);
  assert_true (outcomes[1].decided);
  assert_int_equal (outcomes[1].verdict, CLAIM_UNAVAILABLE);
}

/* Guards against a large answer that makes the row too large, and against a
   duplicate request that gets an empty body as the answer.  */
static void
large_answer_is_not_kept (void **state)
{
  fleet_sim_t *sim = *state;
  size_t size = CLAIM_BODY_MAX + 1;
  char *body = g_malloc0 (size);
  send_first (sim);
  finish (sim, 0, 1, body, size);
  g_free (body);
  run_for_ms (sim, 100);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_DONE);
  assert_int_equal (outcomes[2].status, 201);
  assert_string_equal (outcomes[2].type, "application/json");
  assert_non_null (strstr (outcomes[2].body, "answer_not_kept"));
}

/* Guards against old claims that fill the table.  */
static void
rows_are_removed_after_a_day (void **state)
{
  fleet_sim_t *sim = *state;
  send_first (sim);
  finish (sim, 0, 1, "x", 1);
  run_for_ms (sim, 100);
  sim->now_ns += 23 * INT64_C (3600) * FLEET_SIM_S;
  run_for_ms (sim, 3000);
  assert_int_equal (claim_and_wait (sim, 0, 2), CLAIM_DONE);
  sim->now_ns += INT64_C (3600) * FLEET_SIM_S;
  run_for_ms (sim, 3000);
  assert_null (claim_row_key (sim));
  assert_int_equal (claim_and_wait (sim, 0, 3), CLAIM_GRANTED);
}

/* Guards against a key that is blocked without end by the row of an instance
   that ended before it could delete the row.  */
static void
row_older_than_a_day_is_taken_over (void **state)
{
  fleet_sim_t *sim = *state;
  claim_row_t row = { .id = "other", .instance = "gone", .state = "unknown" };
  char *value = claim_row_write (&row);
  assert_int_equal (claim_and_wait (sim, 0, 1), CLAIM_GRANTED);
  char *row_key = claim_row_key (sim);
  assert_non_null (row_key);
  fleet_sim_put_row (sim, row_key, value);
  assert_int_equal (claim_and_wait (sim, 1, 2), CLAIM_UNKNOWN);
  sim->now_ns += 25 * INT64_C (3600) * FLEET_SIM_S;
  run_for_ms (sim, 3000);
  assert_int_equal (claim_and_wait (sim, 1, 3), CLAIM_GRANTED);
  g_free (value);
  g_free (row_key);
}

/* Guards against a malformed row that lets a request run again: the verdict is
   CLAIM_UNKNOWN, the request may have run.  */
static void
malformed_row_is_unknown (void **state)
{
  fleet_sim_t *sim = *state;
  assert_int_equal (claim_and_wait (sim, 0, 1), CLAIM_GRANTED);
  abandon (sim, 0, 1);
  char *row_key = claim_row_key (sim);
  assert_non_null (row_key);
  fleet_sim_put_row (sim, row_key, "{\"claim\":3");
  assert_int_equal (claim_and_wait (sim, 0, 2), CLAIM_UNKNOWN);
  g_free (row_key);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, start, stop)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (call_runs_once),
    TEST (lost_answer_is_read_back),
    TEST (open_claim_is_abandoned_later),
    TEST (late_insert_does_not_come_back),
    TEST (claim_of_a_dead_holder_is_unknown),
    TEST (claim_of_a_former_incarnation_is_unknown),
    TEST (call_without_answer_stays_unknown),
    TEST (claim_older_than_5_s_is_not_sent),
    TEST (abandoned_claim_frees_the_key),
    TEST (answer_is_stored_after_an_outage),
    TEST (outage_means_not_run_at_once),
    TEST (large_answer_is_not_kept),
    TEST (rows_are_removed_after_a_day),
    TEST (row_older_than_a_day_is_taken_over),
    TEST (malformed_row_is_unknown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
