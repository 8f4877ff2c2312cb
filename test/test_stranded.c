/* Instances that no backend server answers: what becomes of their callers'
   requests (lib/stranded.h, lib/handover.c).  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core-fleet.h"
#include "common-core.h"

/* A fleet.  */

/* Time in which the instances link up and divide the rates.  */
#define N_READS 40
#define SETTLED_NS (8 * KWF_NS_PER_S)
/* From this time after the begin of a cut on, the users' rule holds.  */
#define CONTACT_NS (3 * KWF_NS_PER_S)
#define CUT_NS (9 * KWF_NS_PER_S)
#define BACK_NS (1 * KWF_NS_PER_S)
#define CALLERS_PER_S 160
#define DEADLINE_NS (1 * KWF_NS_PER_S)
/* Of the routes of these fleets.  */
#define MAX_ATTEMPTS 2
#define N_INSTANCES 8
#define N_SERVERS 8

/* All callers keep to the addresses that they have, ready or not.  */
static int
choose_any (core_fleet_t *fleet)
{
  return (int)core_fleet_random (fleet, (uint64_t)fleet->n_instances);
}

static core_fleet_t *
start_fleet (uint64_t seed)
{
  core_fleet_t *fleet = core_fleet_new (seed, N_INSTANCES, N_SERVERS);
  fleet->deadline_ns = DEADLINE_NS;
  fleet->choose = choose_any;
  core_fleet_run (fleet, SETTLED_NS);
  core_fleet_run_callers (fleet, CALLERS_PER_S, SETTLED_NS + 2 * KWF_NS_PER_S);
  return fleet;
}

static void
set_paths (core_fleet_t *fleet, int n, core_fleet_path_t path)
{
  for (int i = 0; i < n; i++)
    fleet->instances[i].path = path;
}

typedef struct
{
  int n;
  int n_served;
} count_t;

/* The requests that were first sent from FROM_NS on to instances from FIRST on
   and before END.  */
static count_t
count (const core_fleet_t *fleet, int64_t from_ns, int first, int end)
{
  count_t count = { 0 };
  for (guint i = 0; i < fleet->requests->len; i++)
    {
      const core_fleet_request_t *request
          = &g_array_index (fleet->requests, core_fleet_request_t, i);
      if (request->sent_ns < from_ns || request->instance < first
          || request->instance >= end)
        continue;
      count.n++;
      count.n_served += request->ended && request->status == 200;
    }
  return count;
}

static int
count_ready (const core_fleet_t *fleet, int first, int end)
{
  int n = 0;
  for (int i = first; i < end; i++)
    n += kwf_core_ready (fleet->instances[i].core);
  return n;
}

/* Guards against instances that go on to take callers and fail them, and
   against requests that are sent to servers more often than the route
   allows.  */
static void
cut_instances_fail_their_callers (void **state)
{
  (void)state;
  static const int cuts[] = { 1, 3, N_INSTANCES / 2 };
  for (int path = CORE_FLEET_HANGS; path <= CORE_FLEET_REFUSES; path++)
    for (size_t c = 0; c < G_N_ELEMENTS (cuts); c++)
      {
        int n_cut = cuts[c];
        core_fleet_t *fleet = start_fleet (1 + c);
        int64_t began_ns = fleet->now_ns;
        set_paths (fleet, n_cut, (core_fleet_path_t)path);
        core_fleet_run_callers (fleet, CALLERS_PER_S, began_ns + CONTACT_NS);
        assert_int_equal (count_ready (fleet, 0, n_cut), 0);
        assert_int_equal (count_ready (fleet, n_cut, N_INSTANCES),
                          N_INSTANCES - n_cut);
        core_fleet_run_callers (fleet, CALLERS_PER_S, began_ns + CUT_NS);
        core_fleet_run (fleet, fleet->now_ns + DEADLINE_NS);
        count_t cut = count (fleet, began_ns + CONTACT_NS, 0, n_cut);
        count_t others
            = count (fleet, began_ns + CONTACT_NS, n_cut, N_INSTANCES);
        print_message ("path %d, %d of %d cut off: %d of %d served there, %d "
                       "of %d elsewhere\n",
                       path, n_cut, N_INSTANCES, cut.n_served, cut.n,
                       others.n_served, others.n);
        assert_true (cut.n_served * others.n * 3
                     >= others.n_served * cut.n * 2);
        assert_true (cut.n - cut.n_served <= 10 + (cut.n + others.n) / 50);
        for (guint i = 0; i < fleet->arrived->len; i++)
          assert_in_range (g_array_index (fleet->arrived, guint, i), 0,
                           MAX_ATTEMPTS);
        set_paths (fleet, n_cut, CORE_FLEET_OPEN);
        core_fleet_run_callers (fleet, CALLERS_PER_S, fleet->now_ns + BACK_NS);
        assert_int_equal (count_ready (fleet, 0, N_INSTANCES), N_INSTANCES);
        core_fleet_free (fleet);
      }
}

/* Guards against a fleet that turns all callers away when no instance, or only
   the smaller part, reaches servers.  */
static void
most_of_the_fleet_leaves (void **state)
{
  (void)state;
  static const int cuts[] = { N_INSTANCES / 2 + 1, N_INSTANCES };
  for (size_t c = 0; c < G_N_ELEMENTS (cuts); c++)
    {
      core_fleet_t *fleet = start_fleet (11 + c);
      set_paths (fleet, cuts[c], CORE_FLEET_HANGS);
      core_fleet_run_callers (fleet, CALLERS_PER_S,
                              fleet->now_ns + CONTACT_NS);
      assert_int_equal (count_ready (fleet, 0, N_INSTANCES), N_INSTANCES);
      core_fleet_free (fleet);
    }
}

/* Guards against taking servers that are down for all for a fault of the
   instance.  */
static void
instances_leave_because_servers_are_down (void **state)
{
  (void)state;
  core_fleet_t *fleet = start_fleet (21);
  int64_t began_ns = fleet->now_ns;
  for (int i = 0; i < N_SERVERS; i++)
    core_fleet_crash_server (fleet, i, CUT_NS);
  while (fleet->now_ns < began_ns + CUT_NS)
    {
      core_fleet_run_callers (fleet, CALLERS_PER_S,
                              fleet->now_ns + KWF_NS_PER_S / 2);
      assert_int_equal (count_ready (fleet, 0, N_INSTANCES), N_INSTANCES);
    }
  core_fleet_free (fleet);
}

/* One instance, "a", with the instances "b" and "c".  */

static const char *const joins
    = "{\"incarnation\":1,\"counter\":1,\"epoch_left\":0,"
      "\"caller_address\":\"127.0.0.1:%d\",\"peer_address\":\"127.0.0.1:%d\","
      "\"data_centre\":\"c\"}";

static void
add_instance (core_world_t *world, const char *name, int port)
{
  char *key = g_strconcat ("session/", name, NULL);
  char *value = g_strdup_printf (joins, port, port + 1);
  kwf_row_t row = { key, ++world->revision, value };
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ROWS,
                                   .rows = { world->revision, &row, 1 } });
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_PEER_UP, .peer = { name, 1 } });
  kwf_message_t fine = { .type = KWF_MSG_REACH, .reach = { name, 1 } };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = name,
                                                    .incarnation = 1,
                                                    .message = &fine } });
  g_free (key);
  g_free (value);
}

static int
set_up (void **state)
{
  core_world_setup_servers (state);
  add_instance (*state, "b", 31);
  add_instance (*state, "c", 41);
  return 0;
}

/* Appends the handovers that the last step began.  */
static void
collect_handovers (const core_world_t *world, GArray *starts)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_ATTEMPT_START
          && effect->start.handed_attempts)
        g_array_append_val (starts, effect->start);
    }
}

/* Connections to the servers that were asked in the last step are reset, and
   "b" answers its questions: all servers answer it.  */
static void
answer_questions (core_world_t *world, GArray *starts)
{
  static const char *const all[] = { "d1", "d2", "e1", "e2" };
  GArray *numbers = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t asked_ns[G_N_ELEMENTS (all)] = { 0 };
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_PEER_SEND
          && effect->send.message.type == KWF_MSG_REACH_QUERY
          && strcmp (effect->send.instance, "b") == 0)
        g_array_append_val (numbers, effect->send.message.reach_query.number);
      for (size_t k = 0; k < G_N_ELEMENTS (all); k++)
        if (effect->type == KWF_FX_ASK
            && strcmp (effect->probe.server, all[k]) == 0)
          asked_ns[k] = effect->probe.asked_ns;
    }
  for (size_t k = 0; k < G_N_ELEMENTS (all); k++)
    if (asked_ns[k])
      core_world_step (
          world, &(kwf_event_t){ .type = KWF_EV_ANSWERED,
                                 .answered = { all[k], asked_ns[k], false } });
  for (guint i = 0; i < numbers->len; i++)
    {
      kwf_message_t reply
          = { .type = KWF_MSG_REACH_REPLY,
              .reach_reply = { g_array_index (numbers, int64_t, i), all, 4 } };
      core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                              .peer = { .instance = "b",
                                                        .incarnation = 1,
                                                        .message = &reply } });
      collect_handovers (world, starts);
    }
  g_array_unref (numbers);
}

/* Waits until "a" is stranded and for 500 ms more; returns the handovers that
   began.  */
static GArray *
strand (core_world_t *world)
{
  GArray *starts = g_array_new (FALSE, FALSE, sizeof (kwf_attempt_start_t));
  int left = 5;
  for (int i = 0; i < 30 && left > 0; i++)
    {
      core_world_advance (world, 100);
      collect_handovers (world, starts);
      answer_questions (world, starts);
      left -= !kwf_core_ready (world->core);
    }
  assert_int_equal (left, 0);
  return starts;
}

static void
strand_only (core_world_t *world)
{
  g_array_unref (strand (world));
}

static const kwf_attempt_start_t *
handover_of (const core_world_t *world)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_ATTEMPT_START);
  return effect && effect->start.handed_attempts ? &effect->start : NULL;
}

static void
assert_refused (const core_world_t *world, int status, const char *code)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_REPLY);
  assert_non_null (effect);
  assert_int_equal (effect->reply.status, status);
  assert_string_equal (effect->reply.code, code);
}

static void
end_call (core_world_t *world, kwf_handle_t request, kwf_handle_t attempt,
          int status)
{
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = attempt,
                                                       .request = request,
                                                       .status = status,
                                                       .body = "",
                                                       .body_size = 0 } });
}

static void
break_call (core_world_t *world, kwf_handle_t request, kwf_handle_t attempt,
            kwf_failure_t failure)
{
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                                          .attempt = { .attempt = attempt,
                                                       .request = request,
                                                       .failure = failure } });
}

/* Sends two requests, so that two servers are silent.  */
static void
open_reads (core_world_t *world)
{
  core_world_request (world, 1, "/read/1", NULL);
  core_world_request (world, 2, "/read/2", NULL);
}

/* Guards against a request that is not handed over, and against an answer that
   is not passed on.  */
static void
answers_of_others_are_lost (void **state)
{
  core_world_t *world = *state;
  open_reads (world);
  GArray *starts = strand (world);
  /* Each has had one of the two attempts of its route.  */
  assert_int_equal (starts->len, 2);
  for (guint i = 0; i < starts->len; i++)
    assert_int_equal (
        g_array_index (starts, kwf_attempt_start_t, i).handed_attempts, 1);
  g_array_unref (starts);
  core_world_request (world, 3, "/book/x", NULL);
  const kwf_attempt_start_t *start = handover_of (world);
  assert_non_null (start);
  assert_int_equal (start->handed_attempts, 2);
  assert_string_equal (start->address, "127.0.0.1:41");
  kwf_handle_t attempt = start->attempt;
  assert_true (kwf_core_may_send (world->core, attempt));
  end_call (world, 3, attempt, 200);
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against a second run of a call that may run only once, and against a
   refusal of one that has not run.  */
static void
calls_that_may_run_once_run_again (void **state)
{
  core_world_t *world = *state;
  core_world_request (world, 1, "/book/1", NULL);
  core_world_request (world, 2, "/book/2", NULL);
  GArray *starts = strand (world);
  assert_int_equal (starts->len, 0);
  g_array_unref (starts);
  core_world_request (world, 3, "/book/3", NULL);
  kwf_handle_t attempt = handover_of (world)->attempt;
  break_call (world, 3, attempt, KWF_FAIL_REFUSED);
  assert_non_null (handover_of (world));
  assert_string_equal (handover_of (world)->address, "127.0.0.1:31");
  break_call (world, 3, handover_of (world)->attempt, KWF_FAIL_BROKEN);
  assert_null (handover_of (world));
  assert_refused (world, 502, "outcome_unknown");
}

/* Guards against requests that are handed on and on, and against more than two
   instances for one.  */
static void
request_is_handed_on (void **state)
{
  core_world_t *world = *state;
  open_reads (world);
  strand_only (world);
  kwf_event_t event = { .type = KWF_EV_REQUEST,
                        .request = { .handle = 3,
                                     .kind = KWF_REQUEST_ROUTED,
                                     .id = "r",
                                     .key_digest = "k",
                                     .host = "h.example",
                                     .path = "/read/3",
                                     .handed_attempts = 1 } };
  core_world_step (world, &event);
  assert_refused (world, 421, "instance_stranded");
  core_world_request (world, 4, "/read/4", NULL);
  end_call (world, 4, handover_of (world)->attempt, 421);
  assert_string_equal (handover_of (world)->address, "127.0.0.1:31");
  end_call (world, 4, handover_of (world)->attempt, 421);
  assert_null (handover_of (world));
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against telling a caller that its request has not run because it did
   not run at the second instance.  */
static void
promise_forgets_the_first_attempt (void **state)
{
  core_world_t *world = *state;
  open_reads (world);
  GArray *starts = strand (world);
  const kwf_attempt_start_t *start
      = &g_array_index (starts, kwf_attempt_start_t, 0);
  end_call (world, start->request, start->attempt, 503);
  assert_refused (world, 502, "no_server");
  g_array_unref (starts);
}

/* Guards against a request that is taken from its server though the budget
   allows no repeat of it.  */
static void
request_without_a_repeat_is_cancelled (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t attempts[N_READS] = { 0 };
  int n_sent = 0;
  for (kwf_handle_t i = 0; i < N_READS; i++)
    {
      core_world_request (world, 1 + i, "/read/x", NULL);
      const kwf_effect_t *effect
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      attempts[i] = effect ? effect->start.attempt : 0;
      n_sent += effect != NULL;
    }
  GArray *starts = strand (world);
  int n_answered = 0;
  for (kwf_handle_t i = 0; i < N_READS; i++)
    if (attempts[i])
      {
        end_call (world, 1 + i, attempts[i], 200);
        n_answered += core_world_effect (world, KWF_FX_FORWARD_END) != NULL;
      }
  int n_moved = 0;
  for (guint i = 0; i < starts->len; i++)
    n_moved
        += attempts[g_array_index (starts, kwf_attempt_start_t, i).request - 1]
           != 0;
  g_array_unref (starts);
  print_message ("%d sent, %d handed over, %d answered\n", n_sent, n_moved,
                 n_answered);
  assert_in_range (n_answered, 1, n_sent);
  assert_int_equal (n_moved + n_answered, n_sent);
}

/* Guards against an answer that promises that a call has not run, while the
   instance that got it may still run it.  */
static void
promise_forgets_the_other_instance (void **state)
{
  core_world_t *world = *state;
  open_reads (world);
  GArray *starts = strand (world);
  for (guint i = 0; i < starts->len; i++)
    {
      const kwf_attempt_start_t *start
          = &g_array_index (starts, kwf_attempt_start_t, i);
      end_call (world, start->request, start->attempt, 200);
    }
  g_array_unref (starts);
  core_world_request (world, 3, "/book/x", NULL);
  assert_non_null (handover_of (world));
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  assert_refused (world, 502, "stopping");
}

/* Guards against a stream that ends though another instance could go on with
   it.  */
static void
begun_stream_is_cut (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t attempts[2];
  for (kwf_handle_t i = 0; i < 2; i++)
    {
      core_world_request (world, 1 + i, "/draft/x", "m");
      attempts[i]
          = core_world_effect (world, KWF_FX_ATTEMPT_START)->start.attempt;
      core_world_step (world,
                       &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                       .attempt = { .attempt = attempts[i],
                                                    .request = 1 + i,
                                                    .tokens = 5 } });
    }
  GArray *starts = strand (world);
  assert_int_equal (starts->len, 2);
  const kwf_attempt_start_t *start
      = &g_array_index (starts, kwf_attempt_start_t, 0);
  assert_true (start->resumes);
  assert_int_equal (start->resume_from, 5);
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                   .attempt = { .attempt = start->attempt,
                                                .request = start->request,
                                                .tokens = 2 } });
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD));
  g_array_unref (starts);
}

/* Whether the last step wrote LEADER as the leader of the placement.  */
static bool
writes_leader (const core_world_t *world, const char *leader)
{
  char *member = g_strdup_printf ("\"instance\":\"%s\"", leader);
  bool found = false;
  for (size_t k = 0; k < kwf_effects_count (world->effects); k++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, k);
      if (effect->type != KWF_FX_STORE || !effect->store.txn.n_puts)
        continue;
      const kwf_put_t *put = &effect->store.txn.puts[0];
      found |= strcmp (put->key, "duty/placement") == 0
               && strstr (put->value, member);
    }
  g_free (member);
  return found;
}

/* Guards against a leader that reaches no engine.  */
static void
stranded_instance_leads (void **state)
{
  core_world_t *world = *state;
  bool leads = false;
  for (int i = 0; i < 50 && !leads; i++)
    {
      core_world_advance (world, 100);
      leads = writes_leader (world, "a");
    }
  assert_true (leads);
  open_reads (world);
  bool resigns = false;
  GArray *starts = g_array_new (FALSE, FALSE, sizeof (kwf_attempt_start_t));
  for (int i = 0; i < 20 && !resigns; i++)
    {
      core_world_advance (world, 100);
      resigns = writes_leader (world, "");
      answer_questions (world, starts);
      resigns |= writes_leader (world, "");
    }
  g_array_unref (starts);
  assert_true (resigns);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (cut_instances_fail_their_callers),
    cmocka_unit_test (most_of_the_fleet_leaves),
    cmocka_unit_test (instances_leave_because_servers_are_down),
    cmocka_unit_test_setup_teardown (answers_of_others_are_lost, set_up,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (calls_that_may_run_once_run_again, set_up,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (request_is_handed_on, set_up,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (request_without_a_repeat_is_cancelled,
                                     set_up, core_world_teardown),
    cmocka_unit_test_setup_teardown (promise_forgets_the_other_instance,
                                     set_up, core_world_teardown),
    cmocka_unit_test_setup_teardown (promise_forgets_the_first_attempt, set_up,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (begun_stream_is_cut, set_up,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (stranded_instance_leads, set_up,
                                     core_world_teardown),
  };
  return cmocka_run_group_tests_name ("stranded", tests, NULL, NULL);
}
