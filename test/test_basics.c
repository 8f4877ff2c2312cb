/* Tests of handle tables, effects, error records and the choice of instances
   for an organisation's callers.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/effect.h>
#include <knapweedfork/handle.h>
#include <knapweedfork/status.h>

#include "lib/request.h"

/* A late event must not reach the item that now uses its slot.  */
static void
old_handle_does_not_reach_new_item (void **state)
{
  (void)state;
  kwf_slots_t *slots = kwf_slots_new (sizeof (int));
  kwf_handle_t first;
  kwf_handle_t second;
  kwf_slots_add (slots, &first);
  kwf_slots_remove (slots, first);
  int *item = kwf_slots_add (slots, &second);
  assert_non_null (item);
  assert_null (kwf_slots_get (slots, first));
  assert_ptr_equal (kwf_slots_get (slots, second), item);
  assert_int_equal (kwf_slots_count (slots), 1);
  kwf_slots_remove (slots, first);
  assert_int_equal (kwf_slots_count (slots), 1);
  kwf_slots_free (slots);
}

/* Items must not move when the table grows.  */
static void
items_keep_their_address (void **state)
{
  (void)state;
  kwf_slots_t *slots = kwf_slots_new (sizeof (int));
  kwf_handle_t first;
  int *item = kwf_slots_add (slots, &first);
  *item = 7;
  for (int i = 0; i < 10000; i++)
    {
      kwf_handle_t handle;
      kwf_slots_add (slots, &handle);
    }
  assert_ptr_equal (kwf_slots_get (slots, first), item);
  assert_int_equal (*item, 7);
  size_t seen = 0;
  kwf_handle_t walk = 0;
  while (kwf_slots_next (slots, &walk))
    seen++;
  assert_int_equal (seen, 10001);
  kwf_slots_free (slots);
}

/* Strings of effects must stay valid until the effects are carried out.  */
static void
effect_strings_live_until_clear (void **state)
{
  (void)state;
  kwf_effects_t *effects = kwf_effects_new ();
  for (int i = 0; i < 100; i++)
    kwf_effects_log (effects, i, KWF_LOG_INFO, "r1", "event %d", i);
  assert_int_equal (kwf_effects_count (effects), 100);
  assert_string_equal (kwf_effects_at (effects, 0)->log.text, "event 0");
  kwf_effects_clear (effects);
  assert_int_equal (kwf_effects_count (effects), 0);
  kwf_effects_free (effects);
}

/* An error must name its step and its peer.  */
static void
error_names_step_and_peer (void **state)
{
  (void)state;
  kwf_error_t error;
  assert_int_equal (
      kwf_fail (&error, KWF_DENIED, "greet", "10.0.0.1:7", "proof is wrong"),
      KWF_DENIED);
  assert_string_equal (error.step, "greet");
  assert_string_equal (error.peer, "10.0.0.1:7");
  assert_string_equal (kwf_status_name (error.status), "denied");
}

/* How many of 2,000 organisations the first of 24 instances gets, if its load
   is LOAD and that of the others is 100.  */
static int
count_directed (double load)
{
  int count = 0;
  double mean = (load + 23 * 100) / 24;
  for (int o = 0; o < 2000; o++)
    {
      char organisation[16];
      snprintf (organisation, sizeof organisation, "org%d", o);
      double first = directory_score ("i0", organisation, load, mean);
      int better = 0;
      for (int i = 1; i < 24; i++)
        {
          char instance[16];
          snprintf (instance, sizeof instance, "i%d", i);
          better
              += directory_score (instance, organisation, 100, mean) > first;
        }
      count += better < 8;
    }
  return count;
}

/* A loaded instance must get fewer callers than the others, but small changes
   of load must not move organisations between instances.  */
static void
loaded_instance_gets_fewer_organisations (void **state)
{
  (void)state;
  int even = count_directed (100);
  assert_in_range (even, 600, 733); /* a third of them, within 10 % */
  assert_int_equal (count_directed (130), even);
  assert_int_equal (count_directed (0), even);
  /* With four times the load: at most half as many, but not none.  */
  assert_in_range (count_directed (400), even / 8, even / 2);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (old_handle_does_not_reach_new_item),
    cmocka_unit_test (items_keep_their_address),
    cmocka_unit_test (effect_strings_live_until_clear),
    cmocka_unit_test (error_names_step_and_peer),
    cmocka_unit_test (loaded_instance_gets_fewer_organisations),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
