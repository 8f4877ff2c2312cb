/* The estimate of the store's clock: ages are never too small, whatever the
   delays of answers and messages.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <gsl/gsl_rng.h>
#include <knapweedfork/clock.h>

#include "lib/storeclock.h"

#define MS(n) ((int64_t)(n)*KWF_NS_PER_MS)
/* Lead of the store's clock.  */
#define LEAD MS (70000)

/* Guards against an answer that counts as fresh although it waited in a socket
   while the process was stopped.  */
static void
answer_held_back_is_old (void **state)
{
  (void)state;
  storeclock_t clock = { 0 };
  assert_true (storeclock_age_ns (&clock, MS (1), MS (1)) == INT64_MAX);
  storeclock_record (&clock, MS (100), MS (108), LEAD + MS (104));
  /* Made at 1002 ms, read at 6000 ms.  */
  storeclock_record (&clock, MS (1000), MS (6000), LEAD + MS (1002));
  int64_t age_ns = storeclock_age_ns (&clock, LEAD + MS (1002), MS (6000));
  assert_in_range (age_ns, MS (4998), MS (5005) + MS (1));
}

/* Guards against a late first answer that makes all later ones look fresh: the
   estimate may only make ages too large.  */
static void
late_first_answer_errs_to_old (void **state)
{
  (void)state;
  storeclock_t clock = { 0 };
  storeclock_record (&clock, MS (0), MS (3000), LEAD + MS (2900));
  int64_t age_ns = storeclock_age_ns (&clock, LEAD + MS (3000), MS (3000));
  assert_in_range (age_ns, MS (2900), MS (2902));
  storeclock_record (&clock, MS (4000), MS (4006), LEAD + MS (4003));
  age_ns = storeclock_age_ns (&clock, LEAD + MS (4003), MS (4006));
  assert_in_range (age_ns, MS (3), MS (7));
}

/* Guards against ages by the clock of a store that was replaced.  */
static void
clock_that_jumps_is_learnt_anew (void **state)
{
  (void)state;
  for (int sign = -1; sign <= 1; sign += 2)
    {
      storeclock_t clock = { 0 };
      int64_t lead = LEAD + sign * MS (50000);
      storeclock_record (&clock, MS (100), MS (104), LEAD + MS (102));
      if (sign > 0)
        assert_true (storeclock_age_ns (&clock, lead + MS (200), MS (200))
                     == INT64_MAX);
      storeclock_record (&clock, MS (300), MS (304), lead + MS (302));
      int64_t age_ns = storeclock_age_ns (&clock, lead + MS (302), MS (400));
      assert_in_range (age_ns, MS (98), MS (102));
    }
}

/* For any delays of queries and answers and any drift of this instance's
   clock, an age is never too small by more than the store's rounding.  */
static void
ages_are_never_too_small (void **state)
{
  (void)state;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  for (unsigned seed = 1; seed <= 300; seed++)
    {
      gsl_rng_set (rng, seed);
      double rate = 1 + (gsl_rng_uniform (rng) - 0.5) * 200e-6;
      storeclock_t clock = { 0 };
      double store_ns = 0; /* true time, as the store has it */
      for (int i = 0; i < 100; i++)
        {
          store_ns += gsl_rng_uniform (rng) * 1e11;
          double made_ns = store_ns + gsl_rng_uniform (rng) * 3e9;
          double read_ns = made_ns + gsl_rng_uniform (rng) * 3e9;
          int64_t stored_ns = LEAD + (int64_t)made_ns / MS (1) * MS (1);
          storeclock_record (&clock, (int64_t)(store_ns * rate),
                             (int64_t)(read_ns * rate), stored_ns);
          store_ns = read_ns;
          int64_t age_ns = storeclock_age_ns (&clock, stored_ns,
                                              (int64_t)(read_ns * rate));
          if (age_ns < (int64_t)(read_ns - made_ns) - MS (1))
            fail_msg ("seed %u, answer %d: an age is too small", seed, i);
        }
    }
  gsl_rng_free (rng);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (answer_held_back_is_old),
    cmocka_unit_test (late_first_answer_errs_to_old),
    cmocka_unit_test (clock_that_jumps_is_learnt_anew),
    cmocka_unit_test (ages_are_never_too_small),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
