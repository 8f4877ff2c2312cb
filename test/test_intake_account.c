/* The account of what an instance holds for callers, without a network.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <knapweedfork/clock.h>

#include "lib/intake/intake.h"
#include "lib/intake/json-tree.h"

enum
{
  TOTAL = 30 << 20, /* of an instance with 120 MB */
  BODY = 4 << 20,
  BASE = 26 << 10,
  STEP = 16 << 10,
  ORDINARY = 16 << 10,
  CALLERS = 300
};

#define SECOND KWF_NS_PER_S

static intake_t *intake;
static intake_entry_t *ended;
static intake_cause_t ended_for;

static void
on_end (intake_entry_t *entry, intake_cause_t cause)
{
  ended = entry;
  ended_for = cause;
  intake_release_request (intake, entry);
}

static int
set_up (void **state)
{
  (void)state;
  ended = NULL;
  intake = intake_new (
      &(intake_limits_t){ .total_bytes = TOTAL, .min_bytes_per_s = 1024 },
      on_end);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  intake_free (intake);
  return 0;
}

/* A connection whose request has a body that arrives.  */
static bool
begin (intake_entry_t *entry, int64_t now_ns)
{
  bool added = intake_add (intake, entry, BASE, now_ns);
  intake_set_stage (entry, INTAKE_BODY, now_ns);
  return added;
}

static bool
arrive (intake_entry_t *entry, size_t bytes, int64_t now_ns)
{
  intake_progress (intake, entry, bytes, now_ns);
  return intake_charge (intake, entry, bytes, now_ns);
}

/* Guards against a sum of bodies beyond the account, and against ordinary
   requests that are refused for them: callers send bodies side by side, stop
   short of their end, and new ones follow.  */
static void
large_bodies_leave_room_for_ordinary_ones (void **state)
{
  (void)state;
  intake_entry_t *crowd = g_new0 (intake_entry_t, CALLERS);
  size_t arrived[CALLERS] = { 0 };
  int64_t now_ns = 0;
  for (int i = 0; i < CALLERS; i++)
    assert_true (begin (&crowd[i], now_ns));
  for (int turn = 0; turn < 2000; turn++)
    {
      now_ns += SECOND / 100;
      for (int i = 0; i < CALLERS; i++)
        if (crowd[i].stage == INTAKE_ENDED)
          {
            intake_remove (intake, &crowd[i]);
            begin (&crowd[i], now_ns);
            arrived[i] = 0;
          }
        else if (arrived[i] < BODY - STEP && arrive (&crowd[i], STEP, now_ns))
          arrived[i] += STEP;
      intake_entry_t ordinary = { 0 };
      assert_true (begin (&ordinary, now_ns));
      assert_true (arrive (&ordinary, ORDINARY, now_ns));
      assert_true (intake_counts (intake)->held_bytes <= TOTAL);
      intake_remove (intake, &ordinary);
    }
  for (int i = 0; i < CALLERS; i++)
    intake_remove (intake, &crowd[i]);
  assert_int_equal (intake_counts (intake)->held_bytes, 0);
  g_free (crowd);
}

/* Guards against bodies that progress and are refused for those that do
   not, and against one at the limit that does not fit.  */
static void
requests_without_progress_go_first (void **state)
{
  (void)state;
  intake_entry_t stalled[5] = { 0 };
  intake_entry_t steady = { 0 };
  assert_true (begin (&steady, 0));
  for (int i = 0; i < 5; i++)
    assert_true (begin (&stalled[i], 0) && arrive (&stalled[i], BODY, 0));
  for (int64_t now_ns = 0; now_ns < 10 * SECOND; now_ns += SECOND / 2)
    assert_true (arrive (&steady, BODY / 20, now_ns));
  assert_int_equal (ended_for, INTAKE_NO_PROGRESS);
  assert_int_equal (intake_counts (intake)->ended[INTAKE_LARGEST], 0);
  assert_true (arrive (&steady, BODY, 10 * SECOND));
}

/* Guards against a slow but steady caller that counts as one without
   progress, and one whose fast begin hides that it stopped.  */
static void
the_slowest_rate_is_progress (void **state)
{
  (void)state;
  intake_entry_t steady = { 0 };
  intake_entry_t stopped = { 0 };
  int64_t now_ns = 0;
  assert_true (begin (&steady, 0) && begin (&stopped, 0));
  assert_true (arrive (&stopped, BODY, now_ns));
  for (; now_ns < 5 * SECOND; now_ns += SECOND)
    intake_progress (intake, &steady, 1024, now_ns);
  intake_end_idlest (intake, NULL, now_ns);
  assert_ptr_equal (ended, &stopped);
  ended = NULL;
  intake_end_idlest (intake, NULL, now_ns);
  assert_null (ended);
}

/* Guards against the end of requests that were passed on, of small ones, and
   of others for a body that is the largest itself.  */
static void
the_largest_goes_next (void **state)
{
  (void)state;
  intake_entry_t held = { 0 };
  intake_entry_t large = { 0 };
  intake_entry_t small = { 0 };
  intake_entry_t larger = { 0 };
  assert_true (begin (&held, 0) && begin (&large, 0) && begin (&small, 0)
               && begin (&larger, 0));
  assert_true (arrive (&held, TOTAL / 2, 0) && arrive (&large, TOTAL / 8, 0)
               && arrive (&small, ORDINARY, 0));
  intake_set_stage (&held, INTAKE_HELD, 0);
  assert_false (arrive (&larger, TOTAL / 4, 0));
  assert_null (ended);
  assert_int_equal (larger.stage, INTAKE_ENDED);
  intake_entry_t next = { 0 };
  assert_true (begin (&next, 0) && arrive (&next, TOTAL / 10, 0));
  assert_false (ended && ended != &large);
  /* An answer goes before any body.  */
  intake_set_stage (&next, INTAKE_HELD, 0);
  assert_true (arrive (&next, TOTAL / 8, 0));
  assert_ptr_equal (ended, &large);
  assert_int_equal (ended_for, INTAKE_LARGEST);
}

/* Guards against new callers that are kept out by connections without a
   request, and against more of those than the account has room for.  */
static void
idle_connections_make_room (void **state)
{
  (void)state;
  enum
  {
    N = 4096
  };
  intake_entry_t *crowd = g_new0 (intake_entry_t, N);
  for (int i = 0; i < N; i++)
    {
      int64_t now_ns = i * (SECOND / 100);
      ended = NULL;
      assert_true (intake_add (intake, &crowd[i], BASE, now_ns));
      assert_true (intake_counts (intake)->held_bytes <= TOTAL + BASE);
      for (int j = 0; ended && j < i; j++)
        if (crowd[j].stage == INTAKE_ENDED && crowd[j].held)
          intake_remove (intake, &crowd[j]);
    }
  assert_true (intake_counts (intake)->ended[INTAKE_NO_PROGRESS] > 0);
  g_free (crowd);
}

/* Guards against an account in which a body at the limit has no room.  */
static void
the_default_has_room_for_bodies (void **state)
{
  (void)state;
  assert_int_equal (intake_default_bytes (120, BODY), TOTAL);
  assert_int_equal (intake_default_bytes (0, BODY), 256 << 20);
  assert_int_equal (intake_default_bytes (120, 64 << 20), 256 << 20);
}

/* Guards against bodies whose values need far more memory than their text, and
   against the refusal of ordinary ones.  */
static void
trees_are_estimated (void **state)
{
  (void)state;
  static const struct
  {
    const char *unit;
    size_t least;
    size_t most;
  } cases[] = { { "{},", 320 << 20, 500 << 20 },
                { "[],", 190 << 20, 300 << 20 },
                { "1,", 80 << 20, 150 << 20 },
                { "12345,", 30 << 20, (size_t)TOTAL / 2 * 3 },
                { "\"{[,\\\"{[,:\"", BODY, BODY } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GString *text = g_string_new (NULL);
      while (text->len + strlen (cases[i].unit) <= BODY)
        g_string_append (text, cases[i].unit);
      size_t bytes = json_tree_bytes (text->str, text->len);
      assert_in_range (bytes, cases[i].least - 16, cases[i].most);
      g_string_free (text, TRUE);
    }
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (large_bodies_leave_room_for_ordinary_ones),
    TEST (requests_without_progress_go_first),
    TEST (the_slowest_rate_is_progress),
    TEST (the_largest_goes_next),
    TEST (idle_connections_make_room),
    TEST (the_default_has_room_for_bodies),
    TEST (trees_are_estimated),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
