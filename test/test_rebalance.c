/* Choice of the next load or unload of a model.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "lib/rebalance.h"

#define MAX_ITEMS 8

/* Engines of 200 GB and models of 70 GB: two models fit on an engine.  */
typedef struct
{
  rebalance_model_t models[MAX_ITEMS];
  rebalance_engine_t engines[MAX_ITEMS];
  int8_t states[MAX_ITEMS][MAX_ITEMS];
  int64_t resident_for_ns[MAX_ITEMS][MAX_ITEMS];
  int n_models;
  int n_engines;
} fleet_t;

static void
make_fleet (fleet_t *fleet, int n_models, int n_engines)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->n_models = n_models;
  fleet->n_engines = n_engines;
  for (int i = 0; i < n_models; i++)
    fleet->models[i] = (rebalance_model_t){ .name = "m", .mb = 70000 };
  for (int i = 0; i < n_engines; i++)
    {
      fleet->engines[i] = (rebalance_engine_t){ .available = true,
                                                .free_mb = 200000,
                                                .states = fleet->states[i],
                                                .resident_for_ns
                                                = fleet->resident_for_ns[i] };
      for (int k = 0; k < MAX_ITEMS; k++)
        fleet->resident_for_ns[i][k] = 60 * KWF_NS_PER_S;
    }
}

static void
make_resident (fleet_t *fleet, int engine, int model)
{
  fleet->states[engine][model] = REBALANCE_RESIDENT;
  fleet->engines[engine].free_mb -= fleet->models[model].mb;
}

static rebalance_step_t
next_step (const fleet_t *fleet, bool may_load, bool may_move)
{
  return rebalance_next (fleet->models, fleet->n_models, fleet->engines,
                         fleet->n_engines, may_load, may_move);
}

static void
assert_step (rebalance_step_t step, bool load, int model, int engine)
{
  assert_int_equal (step.engine, engine);
  assert_int_equal (step.load, load);
  assert_int_equal (step.model, model);
}

/* Guards against demand that is divided by the number of copies only: a slow
   engine gets as much of it as a fast one.  */
static void
demand_follows_the_capacity (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 3, 2);
  fleet.engines[1].capacity = 2;
  fleet.models[0].rate = 9000;
  assert_step (next_step (&fleet, true, true), true, 0, 1);
  fleet.engines[0].capacity = 3;
  assert_step (next_step (&fleet, true, true), true, 0, 0);
  /* Two models with equal demand and one copy each: the one on the slow engine
     gets the second copy.  */
  make_fleet (&fleet, 2, 3);
  fleet.models[0].rate = fleet.models[1].rate = 9000;
  make_resident (&fleet, 0, 0);
  make_resident (&fleet, 1, 1);
  fleet.engines[0].capacity = 2;
  fleet.engines[1].capacity = 0.5;
  fleet.engines[0].available = fleet.engines[1].available = false;
  assert_step (next_step (&fleet, true, true), true, 1, 2);
  fleet.engines[0].capacity = 0.5;
  fleet.engines[1].capacity = 2;
  assert_step (next_step (&fleet, true, true), true, 0, 2);
}

/* Guards against a requested model that gets no copy.  */
static void
missing_model_comes_first (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 3, 2);
  make_resident (&fleet, 0, 0);
  make_resident (&fleet, 1, 1);
  fleet.models[0].rate = 9000;
  fleet.models[2] = (rebalance_model_t){ .mb = 70000, .waiting = true };
  rebalance_step_t step = next_step (&fleet, true, true);
  assert_true (step.load);
  assert_int_equal (step.model, 2);
  assert_int_equal (next_step (&fleet, false, true).engine, -1);
}

/* Guards against a rarely requested model that evicts a copy of the busiest
   model, because only the engine of that copy accepts orders at the
   moment.  */
static void
rare_model_waits_for_a_cheap_place (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 5, 4);
  for (int i = 0; i < 2; i++)
    {
      make_resident (&fleet, i, 0);
      make_resident (&fleet, i, 1);
    }
  for (int i = 2; i < 4; i++)
    {
      make_resident (&fleet, i, 2);
      make_resident (&fleet, i, 3);
      fleet.engines[i].available = false;
    }
  fleet.models[0].rate = 9000;
  fleet.models[1].rate = 9000;
  fleet.models[2].rate = 40;
  fleet.models[3].rate = 40;
  fleet.models[4] = (rebalance_model_t){ .mb = 70000, .waiting = true };
  assert_int_equal (next_step (&fleet, true, true).engine, -1);
  fleet.engines[3].available = true;
  rebalance_step_t step = next_step (&fleet, true, true);
  assert_int_equal (step.engine, 3);
  assert_int_equal (step.for_model, 4);
}

/* Guards against evicting the only copy of a requested model.  */
static void
last_copy_of_a_called_model_stays (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 3, 1);
  make_resident (&fleet, 0, 0);
  make_resident (&fleet, 0, 1);
  fleet.models[0].rate = 5;
  fleet.models[1].rate = 5;
  fleet.models[2] = (rebalance_model_t){ .mb = 70000, .waiting = true };
  assert_int_equal (next_step (&fleet, true, true).engine, -1);
  fleet.models[1].rate = 0;
  assert_step (next_step (&fleet, true, true), false, 1, 0);
}

/* Guards against evictions for demand that isn't known yet: with the first
   requests of a day the busiest models were unloaded everywhere.  */
static void
idle_model_stays_until_it_was_watched (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 3, 2);
  make_resident (&fleet, 0, 0);
  make_resident (&fleet, 0, 1);
  make_resident (&fleet, 1, 0);
  make_resident (&fleet, 1, 2);
  fleet.models[0].rate = 9000;
  fleet.models[1].idle_ns = KWF_NS_PER_S;
  fleet.models[2].idle_ns = KWF_NS_PER_S;
  assert_int_equal (next_step (&fleet, true, true).engine, -1);
}

/* Guards against copies that don't follow the demand, and against copies that
   move back and forth.  */
static void
copy_moves_only_for_a_clear_gain (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 2, 3);
  for (int i = 0; i < 3; i++)
    {
      fleet.engines[i].free_mb = 100000;
      make_resident (&fleet, i, i == 0 ? 0 : 1);
    }
  fleet.models[0].rate = 3000;
  fleet.models[1].rate = 3000;
  /* There are 3,000 tokens/s on the only copy of model 0 and 1,500 on each
     copy of model 1; evicting one of these would leave 3,000 on the other.  */
  assert_int_equal (next_step (&fleet, true, true).engine, -1);
  fleet.models[0].rate = 9000;
  rebalance_step_t step = next_step (&fleet, true, true);
  assert_false (step.load);
  assert_int_equal (step.model, 1);
  assert_int_equal (step.for_model, 0);
  assert_int_equal (next_step (&fleet, true, false).engine, -1);
  for (int i = 1; i < 3; i++)
    fleet.resident_for_ns[i][1] = KWF_NS_PER_S;
  assert_int_equal (next_step (&fleet, true, true).engine, -1);
}

/* Guards against orders to an engine that carries one out.  */
static void
busy_engine_gets_no_order (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 1, 2);
  fleet.models[0].waiting = true;
  fleet.engines[0].available = false;
  assert_step (next_step (&fleet, true, true), true, 0, 1);
  fleet.states[0][0] = REBALANCE_LOADING;
  fleet.models[0].rate = 1;
  fleet.engines[1].available = false;
  assert_int_equal (next_step (&fleet, true, true).engine, -1);
}

/* Guards against loads that wait for the weight store while another engine has
   the weights.  */
static void
engine_that_has_the_weights_is_preferred (void **state)
{
  (void)state;
  static const bool local_weights[MAX_ITEMS] = { true };
  fleet_t fleet;
  make_fleet (&fleet, 2, 3);
  fleet.models[0].waiting = true;
  fleet.models[1].rate = 100;
  for (int i = 0; i < 3; i++)
    make_resident (&fleet, i, 1);
  fleet.engines[2].local_weights = local_weights;
  assert_step (next_step (&fleet, true, true), true, 0, 2);
  assert_step (next_step (&fleet, false, true), true, 0, 2);
  fleet.engines[2].available = false;
  assert_int_equal (next_step (&fleet, false, true).engine, -1);
  assert_true (next_step (&fleet, true, true).engine >= 0);
}

/* Guards against evicting all copies of a model that has not been requested
   yet, while spare copies of other models could be evicted.  */
static void
spare_copy_goes_before_a_last_one (void **state)
{
  (void)state;
  fleet_t fleet;
  make_fleet (&fleet, 4, 2);
  make_resident (&fleet, 0, 0);
  make_resident (&fleet, 0, 1);
  make_resident (&fleet, 1, 0);
  make_resident (&fleet, 1, 2);
  fleet.models[0].rate = 10;
  fleet.models[3] = (rebalance_model_t){ .mb = 70000, .waiting = true };
  fleet.models[1].rate = 100;
  fleet.models[2].idle_ns = KWF_NS_PER_S;
  assert_step (next_step (&fleet, true, true), false, 0, 1);
  fleet.models[2].idle_ns = 20 * KWF_NS_PER_S;
  assert_step (next_step (&fleet, true, true), false, 2, 1);
}

/* Guards against a round that blocks the leader's event loop for too long: 240
   engines and 416 models, with all engines full and all models requested.  */
static void
round_of_a_large_fleet_is_short (void **state)
{
  (void)state;
  enum
  {
    ENGINES = 240,
    MODELS = 416,
    STEPS = 34 /* loads in a second */
  };
  rebalance_model_t *models = g_new0 (rebalance_model_t, MODELS);
  rebalance_engine_t *engines = g_new0 (rebalance_engine_t, ENGINES);
  int8_t *states = g_new0 (int8_t, ENGINES * MODELS);
  int64_t *resident_for_ns = g_new0 (int64_t, ENGINES * MODELS);
  for (int i = 0; i < MODELS; i++)
    models[i] = (rebalance_model_t){
      .name = "m", .mb = 70000, .rate = 100 + i, .waiting = i % 7 == 0
    };
  for (int i = 0; i < ENGINES; i++)
    {
      engines[i]
          = (rebalance_engine_t){ .available = true,
                                  .free_mb = 60000,
                                  .states = states + (size_t)i * MODELS,
                                  .resident_for_ns
                                  = resident_for_ns + (size_t)i * MODELS };
      states[(size_t)i * MODELS + i]
          = states[(size_t)i * MODELS + (i + 1) % MODELS] = REBALANCE_RESIDENT;
    }
  clock_t began = clock ();
  for (int i = 0; i < STEPS; i++)
    rebalance_next (models, MODELS, engines, ENGINES, true, true);
  double spent_s = (double)(clock () - began) / CLOCKS_PER_SEC;
  g_free (models);
  g_free (engines);
  g_free (states);
  g_free (resident_for_ns);
#ifdef __SANITIZE_ADDRESS__
  spent_s /= 10; /* the sanitizers slow it down about tenfold */
#endif
  /* A turn of the event loop may take 5 ms at half a processor, as the issue
     on large fleets states.  */
  if (spent_s / STEPS > 0.0025)
    fail_msg ("a step takes %.1f ms", spent_s / STEPS * 1e3);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (demand_follows_the_capacity),
    cmocka_unit_test (missing_model_comes_first),
    cmocka_unit_test (rare_model_waits_for_a_cheap_place),
    cmocka_unit_test (last_copy_of_a_called_model_stays),
    cmocka_unit_test (idle_model_stays_until_it_was_watched),
    cmocka_unit_test (copy_moves_only_for_a_clear_gain),
    cmocka_unit_test (busy_engine_gets_no_order),
    cmocka_unit_test (engine_that_has_the_weights_is_preferred),
    cmocka_unit_test (spare_copy_goes_before_a_last_one),
    cmocka_unit_test (round_of_a_large_fleet_is_short),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
