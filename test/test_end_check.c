/* Answers that end with the connection of a server that has crashed, or
   not.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "common-core.h"

/* More than the time limit of a check.  */
#define OVER_LIMIT_MS 600

typedef struct
{
  kwf_handle_t attempt;
  const char *server;
} sent_t;

static sent_t
last_sent (const core_world_t *world)
{
  const kwf_effect_t *sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (sent);
  return (sent_t){ sent->start.attempt, g_intern_string (sent->start.server) };
}

/* Request HANDLE to PATH, whose answer ends with its connection, after two
   events if it is a stream.  */
static sent_t
end_with_connection (core_world_t *world, kwf_handle_t handle,
                     const char *path)
{
  bool stream = strcmp (path, "/draft/x") == 0;
  core_world_request (world, handle, path, stream ? "m" : NULL);
  sent_t sent = last_sent (world);
  kwf_event_t event = { .type = KWF_EV_ATTEMPT_DATA,
                        .attempt = { .attempt = sent.attempt,
                                     .request = handle,
                                     .tokens = 2,
                                     .by_close = true } };
  if (stream)
    core_world_step (world, &event);
  event.type = KWF_EV_ATTEMPT_END;
  event.attempt.status = 200;
  event.attempt.body = stream ? NULL : "x";
  event.attempt.body_size = stream ? 0 : 1;
  core_world_step (world, &event);
  return sent;
}

static void
report (core_world_t *world, kwf_report_event_t event)
{
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_REPORT, .report = event });
}

/* Guards against a stream of a server that crashed whose last event is that
   at the crash, although another server could go on.  */
static void
stream_of_a_crashed_server_ends_as_complete (void **state)
{
  core_world_t *world = *state;
  sent_t sent = end_with_connection (world, 1, "/draft/x");
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
  const kwf_effect_t *probe = core_world_effect (world, KWF_FX_PROBE);
  assert_non_null (probe);
  assert_string_equal (probe->probe.server, sent.server);
  report (world,
          (kwf_report_event_t){ .server = sent.server, .refused = true });
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
  const kwf_effect_t *next = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (next);
  assert_true (next->start.resumes);
  assert_string_not_equal (next->start.server, sent.server);
}

/* Guards against an answer of a crashed server that is passed on, although the
   call could be repeated.  */
static void
body_of_a_crashed_server_is_complete (void **state)
{
  core_world_t *world = *state;
  sent_t sent = end_with_connection (world, 1, "/read/x");
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
  report (world, (kwf_report_event_t){ .server = sent.server,
                                       .answered = true,
                                       .replaced = true });
  assert_string_not_equal (last_sent (world).server, sent.server);
}

/* Guards against a success of a call that may run only once, when its answer
   may be cut.  */
static void
call_that_runs_once_hides_the_crash (void **state)
{
  core_world_t *world = *state;
  sent_t sent = end_with_connection (world, 1, "/book/x");
  report (world, (kwf_report_event_t){ .server = sent.server,
                                       .valid = true,
                                       .answered = true,
                                       .incarnation = 2 });
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
  const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
  assert_non_null (reply);
  assert_string_equal (reply->reply.code, "outcome_unknown");
}

/* Guards against a repeat of an answer whose server marks no end and
   lives.  */
static void
answer_of_a_live_server_is_repeated (void **state)
{
  static const kwf_report_event_t alive[] = {
    { .valid = true, .answered = true, .incarnation = 1 },
    { .answered = true },
  };
  static const char *const paths[] = { "/draft/x", "/read/x", "/book/x" };
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (alive) * G_N_ELEMENTS (paths); i++)
    {
      core_world_t world;
      core_world_start (&world);
      core_world_servers (&world);
      sent_t sent
          = end_with_connection (&world, 1, paths[i % G_N_ELEMENTS (paths)]);
      kwf_report_event_t event = alive[i / G_N_ELEMENTS (paths)];
      event.server = sent.server;
      report (&world, event);
      assert_non_null (core_world_effect (&world, KWF_FX_FORWARD_END));
      assert_null (core_world_effect (&world, KWF_FX_ATTEMPT_START));
      core_world_stop (&world);
    }
}

/* Guards against a caller who waits for a server that says nothing, and
   against a success of that server, which may be short.  */
static void
check_has_no_limit (void **state)
{
  static const char *const paths[] = { "/draft/x", "/read/x", "/book/x" };
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      core_world_t world;
      core_world_start (&world);
      core_world_servers (&world);
      sent_t sent = end_with_connection (&world, 1, paths[i]);
      report (&world, (kwf_report_event_t){ .server = sent.server });
      assert_null (core_world_effect (&world, KWF_FX_FORWARD_END));
      assert_non_null (core_world_effect (&world, KWF_FX_PROBE));
      report (&world, (kwf_report_event_t){ .server = sent.server });
      assert_null (core_world_effect (&world, KWF_FX_PROBE));
      core_world_advance (&world, OVER_LIMIT_MS);
      assert_null (core_world_effect (&world, KWF_FX_FORWARD_END));
      const kwf_effect_t *reply = core_world_effect (&world, KWF_FX_REPLY);
      if (strcmp (paths[i], "/book/x") == 0)
        assert_string_equal (reply->reply.code, "outcome_unknown");
      else
        assert_string_not_equal (last_sent (&world).server, sent.server);
      core_world_stop (&world);
    }
}

/* Guards against an answer that is there in time and misses its deadline by
   the check.  */
static void
check_outlasts_the_deadline (void **state)
{
  core_world_t *world = *state;
  core_world_request (world, 1, "/read/x", NULL);
  sent_t sent = last_sent (world);
  core_world_advance (world, 1900);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = sent.attempt,
                                                       .request = 1,
                                                       .status = 200,
                                                       .by_close = true,
                                                       .body = "x",
                                                       .body_size = 1 } });
  core_world_advance (world, 60);
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against a question for each of the answers that a server cuts at a
   time.  */
static void
each_end_is_a_question (void **state)
{
  core_world_t *world = *state;
  sent_t first = end_with_connection (world, 1, "/book/x");
  int n_probes = core_world_effect (world, KWF_FX_PROBE) != NULL;
  for (kwf_handle_t i = 2; i <= 8; i++)
    {
      sent_t next = end_with_connection (world, i, "/book/x");
      n_probes += next.server == first.server
                  && core_world_effect (world, KWF_FX_PROBE);
    }
  assert_int_equal (n_probes, 1);
}

/* Guards against an end that is lost, or comes twice, when the caller leaves
   during a check.  */
static void
caller_leaves_during_a_check (void **state)
{
  core_world_t *world = *state;
  sent_t sent = end_with_connection (world, 1, "/draft/x");
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_REQUEST_GONE, .gone = 1 });
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
  report (world,
          (kwf_report_event_t){ .server = sent.server, .refused = true });
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against an error in place of an answer that is there, when a stop
   reaches its limit during a check.  */
static void
stop_ends_during_a_check (void **state)
{
  core_world_t *world = *state;
  core_world_request (world, 1, "/draft/x", "m");
  sent_t sent = last_sent (world);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  core_world_advance (world, CORE_WORLD_STOP_MS - 100);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = sent.attempt,
                                                       .request = 1,
                                                       .status = 200,
                                                       .by_close = true } });
  core_world_advance (world, 60);
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against an answer that is there and is lost, as the stop ends while
   it is asked whether its server lives.  */
static void
end_of_a_stop_replaces_an_answer (void **state)
{
  core_world_t *world = *state;
  end_with_connection (world, 1, "/book/x");
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  if (!core_world_effect (world, KWF_FX_FORWARD_END))
    core_world_advance (world, 1);
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

#define N_LIMITED 40

/* Guards against questions about open ends that exceed the limit that their
   server has named.  */
static void
open_ends_ask_a_server_beyond_its_limit (void **state)
{
  core_world_t *world = *state;
  sent_t sent[N_LIMITED];
  kwf_handle_t requests[N_LIMITED];
  int n_sent = 0;
  int n_questions = 0;
  for (kwf_handle_t i = 1; i <= 400 && n_sent < N_LIMITED; i++)
    {
      core_world_request (world, i, "/read/x", NULL);
      if (!core_world_effect (world, KWF_FX_ATTEMPT_START))
        break;
      sent[n_sent] = last_sent (world);
      requests[n_sent] = i;
      n_sent += strcmp (sent[n_sent].server, sent[0].server) == 0;
    }
  assert_true (n_sent > 10);
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_NOTICE,
                                   .notice = { .attempt = sent[0].attempt,
                                               .kind = KWF_ANSWER_REQUEST,
                                               .success = true,
                                               .limit = KWF_LIMIT_NAMED,
                                               .limit_per_s = 1 } });
  for (int i = 1; i < n_sent; i++)
    {
      core_world_advance (world, 40);
      core_world_step (world,
                       &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                       .attempt = { .attempt = sent[i].attempt,
                                                    .request = requests[i],
                                                    .status = 200,
                                                    .body = "x",
                                                    .body_size = 1,
                                                    .by_close = true } });
      const kwf_effect_t *probe = core_world_effect (world, KWF_FX_PROBE);
      if (!probe)
        continue;
      n_questions += strcmp (probe->probe.server, sent[0].server) == 0;
      report (world, (kwf_report_event_t){ .server = sent[0].server,
                                           .answered = true });
    }
  print_message ("%d questions at a limit of 1 a second\n", n_questions);
  assert_int_equal (n_questions, 0);
}

#define TEST(name)                                                            \
  cmocka_unit_test_setup_teardown (name, core_world_setup_servers,            \
                                   core_world_teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (stream_of_a_crashed_server_ends_as_complete),
    TEST (open_ends_ask_a_server_beyond_its_limit),
    TEST (end_of_a_stop_replaces_an_answer),
    TEST (body_of_a_crashed_server_is_complete),
    TEST (call_that_runs_once_hides_the_crash),
    cmocka_unit_test (answer_of_a_live_server_is_repeated),
    cmocka_unit_test (check_has_no_limit),
    TEST (check_outlasts_the_deadline),
    TEST (each_end_is_a_question),
    TEST (caller_leaves_during_a_check),
    TEST (stop_ends_during_a_check),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
