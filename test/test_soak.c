/* A short soak of real instances from fixed seeds; docs/OPERATIONS.md says how
   to run others by hand.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <knapweedfork/clock.h>

#include "soak.h"

#define SOAK_S 22.0
#define INSTANCES 4
/* Enough of what is sent in the last part must succeed.  */
#define SERVED_SHARE 0.25

int64_t
soak_now_ns (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

guint32
soak_hash (const soak_t *soak, const char *text, int salt)
{
  char *key = g_strdup_printf ("%u:%s:%d", soak->seed, text, salt);
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 digest[32];
  gsize size = sizeof digest;
  guint32 number;
  g_checksum_update (sum, (const guchar *)key, -1);
  g_checksum_get_digest (sum, digest, &size);
  memcpy (&number, digest, sizeof number);
  g_checksum_free (sum);
  g_free (key);
  return GUINT32_FROM_LE (number);
}

static double
setting (const char *name, double fallback)
{
  const char *text = getenv (name);
  return text ? g_ascii_strtod (text, NULL) : fallback;
}

static void
run_free (void *data)
{
  run_t *run = data;
  g_string_free (run->body, TRUE);
  g_free (run);
}

static void
request_free (void *data)
{
  request_t *request = data;
  g_ptr_array_set_free_func (request->runs, run_free);
  g_ptr_array_free (request->runs, TRUE);
  g_free (request->path);
  g_free (request->body);
  g_free (request);
}

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  soak_t *soak = timer->data;
  int64_t now_ns = soak_now_ns ();
  if (soak->tick_ns)
    soak->max_lag_ns = MAX (soak->max_lag_ns, now_ns - soak->tick_ns);
  soak->last_tick_ns = soak->tick_ns;
  soak->tick_ns = now_ns;
  if (!soak->closing)
    plan_run (soak);
  instances_tick (soak, now_ns);
  backends_tick (soak, now_ns);
  callers_tick (soak, now_ns);
}

static soak_t *
soak_start (guint32 seed)
{
  soak_t *soak = g_new0 (soak_t, 1);
  soak->seed = seed;
  soak->has_bad_part = seed % 2;
  soak->seconds = setting ("KWF_SOAK_S", SOAK_S);
  soak->n_instances = (int)setting ("KWF_SOAK_INSTANCES", INSTANCES);
  soak->grace_s
      = (int)setting ("KWF_SOAK_GRACE_S", seed % 3 ? GRACE_S : LONG_GRACE_S);
  soak->loop = ev_loop_new (EVFLAG_AUTO);
  soak->store = fake_store_start (soak->loop);
  soak->directory = g_dir_make_tmp ("kwf-soak-XXXXXX", NULL);
  soak->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, request_free);
  soak->arrivals = g_array_new (FALSE, FALSE, sizeof (arrival_t));
  soak->start_ns = soak_now_ns ();
  parts_draw (soak);
  drills_draw (soak);
  cuts_draw (soak);
  plan_make (soak);
  config_put (soak);
  backends_start (soak);
  instances_start (soak);
  callers_start (soak);
  ev_timer_init (&soak->tick, on_tick, TICK_S, TICK_S);
  soak->tick.data = soak;
  ev_timer_start (soak->loop, &soak->tick);
  return soak;
}

static void
remove_directory (const char *path)
{
  GDir *directory = g_dir_open (path, 0, NULL);
  const char *name;
  while ((name = g_dir_read_name (directory)))
    {
      char *file = g_build_filename (path, name, NULL);
      g_unlink (file);
      g_free (file);
    }
  g_dir_close (directory);
  g_rmdir (path);
}

/* Returns the number of broken rules.  */
static int
soak_stop (soak_t *soak)
{
  int n = 0;
  ev_timer_stop (soak->loop, &soak->tick);
  callers_stop (soak);
  instances_free (soak);
  backends_stop (soak);
  fake_store_stop (soak->store);
  for (int i = 0; i < N_RULES; i++)
    n += soak->broken[i];
  if (n)
    g_print ("logs are kept in %s\n", soak->directory);
  else
    remove_directory (soak->directory);
  g_clear_pointer (&soak->gone_keys, g_ptr_array_unref);
  g_array_free (soak->plan, TRUE);
  g_array_free (soak->cuts, TRUE);
  g_array_free (soak->arrivals, TRUE);
  g_hash_table_destroy (soak->requests);
  ev_loop_destroy (soak->loop);
  g_free (soak->directory);
  g_free (soak);
  return n;
}

/* Whether some instance was in touch all through the last part.  */
static bool
has_served (const soak_t *soak)
{
  int64_t last_ns = soak_now_ns () - (int64_t)(LAST_S * (double)KWF_NS_PER_S);
  for (int i = 0; i < soak->n_instances; i++)
    if (is_steady (soak, i, last_ns))
      return true;
  return false;
}

/* All that changed is followed and requests are served again, unless all
   instances are still stopping.  */
static void
check_calm (soak_t *soak)
{
  if (soak->calm_successes < SERVED_SHARE * soak->calm_requests
      || (!soak->calm_requests && has_served (soak)))
    soak_break (soak, RULE_CONFIG, NULL, NULL,
                "%d of %d requests succeeded at the end", soak->calm_successes,
                soak->calm_requests);
}

static int
soak_run (guint32 seed)
{
  soak_t *soak = soak_start (seed);
  run_for (soak->loop, soak->seconds);
  check_calm (soak);
  instances_stop (soak);
  judge_end (soak);
  soak_summary (soak);
  return soak_stop (soak);
}

/* Guards against answers that are not whole, not the caller's or not allowed,
   while servers break off and processes end.  */
static void
rules_hold_for_seed (void **state)
{
  const guint32 *seed = *state;
  assert_int_equal (soak_run (*seed), 0);
}

int
main (void)
{
  guint32 seeds[] = { 1, 2, 3, 100000, 200000, 300000 };
  const char *given = getenv ("KWF_SEED");
  if (given)
    seeds[0] = (guint32)strtoul (given, NULL, 10);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_prestate (rules_hold_for_seed, &seeds[0]),
    cmocka_unit_test_prestate (rules_hold_for_seed, &seeds[1]),
    cmocka_unit_test_prestate (rules_hold_for_seed, &seeds[2]),
    cmocka_unit_test_prestate (rules_hold_for_seed, &seeds[3]),
    cmocka_unit_test_prestate (rules_hold_for_seed, &seeds[4]),
    cmocka_unit_test_prestate (rules_hold_for_seed, &seeds[5]),
  };
  if (given)
    return _cmocka_run_group_tests ("soak", tests, 1, NULL, NULL);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
