/* The rate at a backend server that has just started.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "common-core-fleet.h"
#include "lib/limit.h"

#define MS KWF_NS_PER_MS
/* Requests a second that callers send, and time of one at full speed at a
   server that runs SLOTS at once: it can take 40 a second.  */
#define RATE 30.0
#define WORK_MS 200
#define SLOTS 8
/* What callers accept; a third of the speed takes 600.  */
#define LATE_MS 1000
#define END_MS 20000

typedef struct
{
  const char *name;
  double slow_until_s; /* the server has a third of its speed until then */
} start_t;

typedef struct
{
  int n_sent;
  int n_late;       /* took over LATE_MS */
  double reached_s; /* when it first had 20 in a second; 0: never */
  int n_last;       /* sent in the last 5 s */
} played_t;

/* Plays the start of a server.  RAMP: a rate that grows; else all requests go
   to it at once.  What has no permit goes to another server.  */
static played_t
play (const start_t *start, bool ramp)
{
  played_t played = { 0 };
  limit_t limit = { 0 };
  int64_t slot_ns[SLOTS] = { 0 };
  int sent_at[END_MS / 1000] = { 0 };
  int64_t first_ns = 100 * KWF_NS_PER_S;
  if (ramp)
    ramp_begin (&limit.ramp, first_ns);
  double due = 0;
  GQueue answers = G_QUEUE_INIT; /* of int64_t [2]: end, duration */
  for (int ms = 0; ms < END_MS; ms++)
    {
      int64_t now_ns = first_ns + ms * MS;
      int64_t (*answer)[2];
      while ((answer = g_queue_peek_head (&answers)) && (*answer)[0] <= now_ns)
        {
          ramp_handle_sample (&limit.ramp,
                              &(ramp_sample_t){ .time_ns = (*answer)[1] });
          g_free (g_queue_pop_head (&answers));
        }
      due += RATE / 1000;
      if (due < 1)
        continue;
      due -= 1;
      if (limit_in_force (&limit, now_ns)
          && !limit_grant (&limit, 1, 0, 1, now_ns).n)
        continue;
      /* The slot that is free first.  */
      int at = 0;
      for (int i = 1; i < SLOTS; i++)
        at = slot_ns[i] < slot_ns[at] ? i : at;
      double factor = ms < start->slow_until_s * 1000 ? 3 : 1;
      int64_t end_ns
          = MAX (slot_ns[at], now_ns) + (int64_t)(WORK_MS * factor) * MS;
      slot_ns[at] = end_ns;
      int64_t *pair = g_new (int64_t, 2);
      pair[0] = end_ns;
      pair[1] = end_ns - now_ns;
      g_queue_push_tail (&answers, pair);
      played.n_sent++;
      played.n_late += end_ns - now_ns > LATE_MS * MS;
      played.n_last += ms >= END_MS - 5000;
      if (++sent_at[ms / 1000] >= 20 && played.reached_s <= 0)
        played.reached_s = ms / 1000.0;
    }
  g_queue_clear_full (&answers, g_free);
  return played;
}

/* Guards against a server that is overloaded after its start, or left idle. */
static void
start_is_too_fast_or_too_slow (void **state)
{
  (void)state;
  static const start_t starts[] = { { "a third for 6 s", 6 },
                                    { "full speed at once", 0 },
                                    { "a third for ever", 1e6 } };
  played_t played[G_N_ELEMENTS (starts)][2];
  for (size_t i = 0; i < G_N_ELEMENTS (starts); i++)
    for (int ramp = 0; ramp < 2; ramp++)
      {
        const played_t *one = &played[i][ramp];
        played[i][ramp] = play (&starts[i], ramp);
        print_message ("%s, %s: %d sent, %d late, 20 a second after %.1f s, "
                       "%d in the last 5 s\n",
                       starts[i].name, ramp ? "growing rate" : "all at once",
                       one->n_sent, one->n_late, one->reached_s, one->n_last);
      }
  /* It starts slowly: few are late, and the full load comes back.  */
  assert_true (played[0][1].n_late * 5 < played[0][0].n_late);
  assert_true (played[0][1].n_last >= 5 * RATE * 0.9);
  /* It is fast at once: the full load is there soon.  */
  assert_int_equal (played[1][1].n_late, 0);
  assert_true (played[1][1].reached_s < 4);
  /* It stays slow: it gets what it can take, not more.  */
  assert_true (played[2][1].n_late * 3 < played[2][0].n_late);
  assert_true (played[2][1].n_sent > END_MS / 1000 * 5);
}

/* Guards against a fleet whose instances each send a server that has just
   started their part of its load, and against one that goes on to hold it
   back.  */
static void
fleet_gives_a_started_server_all_at_once (void **state)
{
  (void)state;
  int first[2];
  int last[2];
  for (int measured = 0; measured < 2; measured++)
    {
      core_fleet_t *fleet = core_fleet_new (1, 8, 2);
      fleet->start_measured = measured;
      for (int i = 0; i < 8; i++)
        core_fleet_start (fleet, i);
      core_fleet_run (fleet, 10 * KWF_NS_PER_S);
      core_fleet_run_callers (fleet, 80, 12 * KWF_NS_PER_S);
      core_fleet_restart_server (fleet, 0);
      core_fleet_run_callers (fleet, 80, 24 * KWF_NS_PER_S);
      first[measured]
          = core_fleet_count (fleet, 0, 12 * KWF_NS_PER_S, 13 * KWF_NS_PER_S);
      last[measured]
          = core_fleet_count (fleet, 0, 20 * KWF_NS_PER_S, 24 * KWF_NS_PER_S);
      core_fleet_free (fleet);
    }
  print_message ("first second: %d, growing rate %d; 4 s after 8 s: %d, "
                 "growing rate %d\n",
                 first[0], first[1], last[0], last[1]);
  assert_true (first[1] * 2 < first[0]);
  assert_true (last[1] > 0.8 * last[0]);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (start_is_too_fast_or_too_slow),
    cmocka_unit_test (fleet_gives_a_started_server_all_at_once),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
