/* The experiment tool: its figures can be repeated and tell a good policy from
   a bad one, and the engine model keeps its own rules.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "../standin/common-experiment.h"

#define UTILITY "bench/workloads/utility.toml"
#define GUILD "bench/workloads/guild.toml"

static json_t *
run (workload_t *workload, uint64_t seed, policy_t *custom_policy)
{
  experiment_options_t options = { .workload = workload,
                                   .seed = seed,
                                   .policy = "product",
                                   .custom_policy = custom_policy,
                                   .minutes = 1 };
  experiment_t *experiment = experiment_run (&options);
  json_t *figures = experiment_json (experiment);
  json_object_del (figures, "processor_s");
  experiment_free (experiment);
  return figures;
}

/* Guards against figures that depend on addresses, the wall clock or the order
   of a hash table.  */
static void
seed_fixes_the_figures (void **state)
{
  (void)state;
  workload_t *workload = workload_read (UTILITY);
  json_t *first = run (workload, 3, NULL);
  json_t *again = run (workload, 3, NULL);
  json_t *other = run (workload, 4, NULL);
  assert_true (json_equal (first, again));
  assert_false (json_equal (first, other));
  assert_true (json_integer_value (json_object_get (first, "requests")) > 500);
  json_decref (first);
  json_decref (again);
  json_decref (other);
  workload_free (workload);
}

static route_result_t
choose_most_loaded (policy_t *policy, backend_t *backend,
                    const route_query_t *query, int64_t now_ns)
{
  (void)policy;
  const GPtrArray *holders = route_holders (backend, query);
  server_t *most = NULL;
  for (guint i = 0; holders && i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (route_is_eligible (query, server, now_ns)
          && (!most || server_load (server) > server_load (most)))
        most = server;
    }
  if (!most)
    return route_choose (backend, query, now_ns);
  return (route_result_t){ .verdict = ROUTE_FOUND, .server = most };
}

static double
attainment (const json_t *figures)
{
  return json_real_value (json_object_get (figures, "attainment"));
}

/* Guards against a custom policy that is never called, and against latency
   targets that every policy meets or misses.  */
static void
worse_policy_scores_worse (void **state)
{
  (void)state;
  static const policy_ops_t ops = { .name = "most-loaded",
                                    .placement = POLICY_PLACEMENT_STATIC,
                                    .choose = choose_most_loaded };
  policy_t worse = { .ops = &ops };
  workload_t *workload = workload_read (UTILITY);
  json_t *product = run (workload, 1, NULL);
  json_t *bad = run (workload, 1, &worse);
  assert_true (attainment (bad) < attainment (product) - 0.05);
  json_decref (product);
  json_decref (bad);
  workload_free (workload);
}

/* Guards against memory that is exceeded because no room is left for adapters,
   which engines load for requests, beside the models that orders load.  */
static void
moves_never_exceed_memory (void **state)
{
  (void)state;
  policy_ops_t ops = *policy_default ()->ops;
  ops.placement = POLICY_PLACEMENT_NO_HYSTERESIS;
  policy_t anew = { .ops = &ops };
  workload_t *workload = workload_read (GUILD);
  json_t *figures = run (workload, 1, &anew);
  const json_t *engines = json_object_get (figures, "engines");
  assert_true (json_number_value (json_object_get (figures, "model_moves"))
               > 10);
  assert_true (json_number_value (json_object_get (engines, "memory_excesses"))
               == 0);
  json_decref (figures);
  workload_free (workload);
}

/* Guards against an engine model that never runs out of memory: the excess of
   an order without a reservation must be recorded.  */
static void
memory_excess_is_recorded (void **state)
{
  (void)state;
  static const sim_options_t options = { .memory_mb = 1000 };
  sim_model_t a = { .name = (char *)"a", .memory_mb = 600 };
  sim_model_t b = { .name = (char *)"b", .memory_mb = 600 };
  sim_weight_store_t store
      = { .loads_per_s = 1, .full_speed_loads = 1, .load_ms_per_gb = 100 };
  world_t *world = world_new (1);
  GHashTable *models = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (models, a.name, &a);
  g_hash_table_insert (models, b.name, &b);
  sim_engine_t *sim
      = sim_new (world_engine_new (world, "e", NULL, "a"), &options, &store);
  sim_set_models (sim, models);
  world_node_t node = { .world = world };
  kwf_order_t order = { .server = "e", .id = "1", .order = "load" };
  order.model = "a";
  sim_receive_order (&node, sim, &order);
  assert_int_equal (sim_stats (sim)->memory_excesses, 0);
  assert_false (sim_is_loaded (sim, "a"));
  world_run (world, world->now_ns + 59 * MS);
  assert_false (sim_is_loaded (sim, "a"));
  world_run (world, world->now_ns + 2 * MS);
  assert_true (sim_is_loaded (sim, "a"));
  order.model = "b";
  sim_receive_order (&node, sim, &order);
  assert_int_equal (sim_stats (sim)->memory_excesses, 1);
  assert_true (sim_stats (sim)->peak_mb == 1200);
  /* The weight store starts one load per second.  */
  world_run (world, world->now_ns + 900 * MS);
  assert_false (sim_is_loaded (sim, "b"));
  world_run (world, world->now_ns + 200 * MS);
  assert_true (sim_is_loaded (sim, "b"));
  sim_free (sim);
  g_hash_table_unref (models);
  world_free (world);
}

/* Guards against a misspelt key in a workload file whose value is silently
   replaced by a default.  */
static void
misspelt_key_is_refused (void **state)
{
  (void)state;
  char *text;
  assert_true (g_file_get_contents (UTILITY, &text, NULL, NULL));
  char *path = g_build_filename (g_get_tmp_dir (), "kwf-XXXXXX", NULL);
  int file = g_mkstemp (path);
  assert_true (file >= 0);
  char *wrong = g_strconcat (text,
                             "\n[[phase]]\nfrom = 1\nuntil_s = 2\n"
                             "factor = 1\n",
                             NULL);
  assert_true (g_file_set_contents (path, wrong, -1, NULL));
  assert_null (workload_read (path));
  assert_true (g_file_set_contents (path, text, -1, NULL));
  workload_t *workload = workload_read (path);
  assert_non_null (workload);
  workload_free (workload);
  g_unlink (path);
  g_close (file, NULL);
  g_free (path);
  g_free (wrong);
  g_free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (seed_fixes_the_figures),
    cmocka_unit_test (worse_policy_scores_worse),
    cmocka_unit_test (memory_excess_is_recorded),
    cmocka_unit_test (moves_never_exceed_memory),
    cmocka_unit_test (misspelt_key_is_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
