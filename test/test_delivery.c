/* What may be sent to a caller after what was sent already.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "common-core.h"
#include "lib/delivery.h"

/* Random schedules.  */
#define N_SCHEDULES 4000

/* Guards against a cell of the table that lets something else follow a begun
   answer than its own events or a visible end.  */
static void
every_part_has_one_place (void **state)
{
  (void)state;
  static const struct
  {
    delivery_t state;
    delivery_input_t input;
    delivery_action_t action;
    delivery_t next;
  } cells[] = {
    { DELIVERY_NONE, DELIVERY_EVENTS, DELIVER_BEGIN, DELIVERY_BEGUN },
    { DELIVERY_NONE, DELIVERY_OPEN_EVENTS, DELIVER_BEGIN_OPEN,
      DELIVERY_BEGUN_OPEN },
    { DELIVERY_NONE, DELIVERY_GAP, DELIVER_RETRY, DELIVERY_NONE },
    { DELIVERY_NONE, DELIVERY_OPEN_END, DELIVER_WHOLE_OPEN, DELIVERY_ENDED },
    { DELIVERY_NONE, DELIVERY_OPEN_ANSWER, DELIVER_WHOLE_OPEN,
      DELIVERY_ENDED },
    { DELIVERY_NONE, DELIVERY_STREAM_END, DELIVER_WHOLE, DELIVERY_ENDED },
    { DELIVERY_NONE, DELIVERY_ANSWER, DELIVER_WHOLE, DELIVERY_ENDED },
    { DELIVERY_NONE, DELIVERY_ERROR, DELIVER_WHOLE, DELIVERY_ENDED },
    { DELIVERY_NONE, DELIVERY_GONE, DELIVER_NOTHING, DELIVERY_ENDED },
    { DELIVERY_BEGUN, DELIVERY_EVENTS, DELIVER_PASS, DELIVERY_BEGUN },
    { DELIVERY_BEGUN, DELIVERY_GAP, DELIVER_RETRY, DELIVERY_BEGUN },
    { DELIVERY_BEGUN, DELIVERY_STREAM_END, DELIVER_END, DELIVERY_ENDED },
    { DELIVERY_BEGUN, DELIVERY_ANSWER, DELIVER_RETRY, DELIVERY_BEGUN },
    { DELIVERY_BEGUN, DELIVERY_ERROR, DELIVER_BREAK, DELIVERY_BROKEN },
    { DELIVERY_BEGUN, DELIVERY_GONE, DELIVER_NOTHING, DELIVERY_ENDED },
    { DELIVERY_BEGUN, DELIVERY_OPEN_EVENTS, DELIVER_PASS, DELIVERY_BEGUN },
    { DELIVERY_BEGUN, DELIVERY_OPEN_END, DELIVER_RETRY, DELIVERY_BEGUN },
    { DELIVERY_BEGUN, DELIVERY_OPEN_ANSWER, DELIVER_RETRY, DELIVERY_BEGUN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_EVENTS, DELIVER_PASS,
      DELIVERY_BEGUN_OPEN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_OPEN_EVENTS, DELIVER_PASS,
      DELIVERY_BEGUN_OPEN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_GAP, DELIVER_RETRY, DELIVERY_BEGUN_OPEN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_STREAM_END, DELIVER_END, DELIVERY_ENDED },
    { DELIVERY_BEGUN_OPEN, DELIVERY_OPEN_END, DELIVER_END, DELIVERY_ENDED },
    { DELIVERY_BEGUN_OPEN, DELIVERY_ANSWER, DELIVER_RETRY,
      DELIVERY_BEGUN_OPEN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_OPEN_ANSWER, DELIVER_RETRY,
      DELIVERY_BEGUN_OPEN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_ERROR, DELIVER_BREAK, DELIVERY_BROKEN },
    { DELIVERY_BEGUN_OPEN, DELIVERY_GONE, DELIVER_NOTHING, DELIVERY_ENDED },
  };
  bool given[N_DELIVERIES][N_DELIVERY_INPUTS] = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (cells); i++)
    {
      delivery_t after = cells[i].state;
      given[cells[i].state][cells[i].input] = true;
      assert_int_equal (delivery_action (after, cells[i].input),
                        cells[i].action);
      assert_int_equal (delivery_step (&after, cells[i].input),
                        cells[i].action);
      assert_int_equal (after, cells[i].next);
    }
  for (int from = 0; from < N_DELIVERIES; from++)
    for (int input = 0; input < N_DELIVERY_INPUTS; input++)
      {
        delivery_t after = (delivery_t)from;
        bool open = from == DELIVERY_NONE || delivery_has_begun (after);
        assert_true (given[from][input] == open);
        assert_non_null (delivery_input_name ((delivery_input_t)input));
        assert_non_null (delivery_name (after));
        if (open)
          continue;
        assert_int_equal (delivery_step (&after, (delivery_input_t)input),
                          DELIVER_NOTHING);
        assert_int_equal (after, from);
      }
}

/* Starts request 1, a stream of which N_EVENTS were passed on, and breaks it
   off; returns the attempt that goes on.  */
static kwf_handle_t
resume_stream (core_world_t *world, int n_events)
{
  core_world_servers (world);
  core_world_request (world, 1, "/draft/x", "m");
  const kwf_effect_t *sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (sent);
  kwf_handle_t first = sent->start.attempt;
  kwf_event_t data
      = { .type = KWF_EV_ATTEMPT_DATA,
          .attempt = { .attempt = first, .request = 1, .tokens = n_events } };
  core_world_step (world, &data);
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD));
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = first,
                                          .request = 1,
                                          .failure = KWF_FAIL_BROKEN } });
  sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (sent);
  assert_true (sent->start.resumes);
  return sent->start.attempt;
}

static void
assert_broken_off (const core_world_t *world)
{
  const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
  assert_null (core_world_effect (world, KWF_FX_FORWARD));
  assert_null (core_world_effect (world, KWF_FX_FORWARD_END));
  assert_non_null (reply);
  assert_string_equal (reply->reply.code, "stream_broken");
}

/* Guards against another answer, or none, after the begin of a stream.  */
static void
begun_stream_gets_no_other_answer (void **state)
{
  (void)state;
  static const struct
  {
    int status;
    bool not_run;
    const char *body;
  } answers[] = {
    { 200, false, "x" }, { 204, false, "" },   { 302, false, "" },
    { 400, false, "x" }, { 404, false, "x" },  { 408, false, "" },
    { 421, true, "" },   { 429, false, "x" },  { 429, true, "" },
    { 500, false, "x" }, { 500, false, NULL }, { 503, false, "x" },
    { 503, true, "" },   { 504, false, "x" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      core_world_t world;
      core_world_start (&world);
      kwf_handle_t second = resume_stream (&world, 2);
      kwf_event_t end = { .type = KWF_EV_ATTEMPT_END,
                          .attempt = { .attempt = second,
                                       .request = 1,
                                       .status = answers[i].status,
                                       .not_run = answers[i].not_run,
                                       .misplaced = answers[i].status == 421,
                                       .body = answers[i].body } };
      core_world_step (&world, &end);
      assert_broken_off (&world);
      core_world_stop (&world);
    }
}

/* Guards against the loss of a stream whose second run ends right away, since
   nothing but the end was missing.  */
static void
resumed_stream_may_end_without_events (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t second = resume_stream (world, 2);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = second,
                                                       .request = 1,
                                                       .status = 200 } });
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against a last chunk for an end that only the connection of the
   second run marked.  */
static void
open_end_is_no_end_of_a_marked_stream (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t second = resume_stream (world, 2);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = second,
                                                       .request = 1,
                                                       .status = 200,
                                                       .by_close = true } });
  assert_broken_off (world);
}

/* Guards against a run that is joined although events are missing, and that
   still runs after it was given up.  */
static void
run_with_a_gap_is_cancelled (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t second = resume_stream (world, 2);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                          .attempt = { .attempt = second,
                                                       .request = 1,
                                                       .gap = true } });
  const kwf_effect_t *cancel
      = core_world_effect (world, KWF_FX_ATTEMPT_CANCEL);
  assert_non_null (cancel);
  assert_int_equal (cancel->attempt.attempt, second);
  assert_broken_off (world);
}

/* Guards against a stream that ends as complete with a run whose last,
   unfinished event does not go on with it.  */
static void
run_that_ends_after_a_gap_is_no_end (void **state)
{
  core_world_t *world = *state;
  kwf_handle_t second = resume_stream (world, 2);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = second,
                                                       .request = 1,
                                                       .status = 200,
                                                       .gap = true } });
  assert_broken_off (world);
}

/* Guards against a second run of a stream whose place is not known.  */
static void
stream_without_ids_is_not_resumed (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/draft/x", "m");
  kwf_handle_t first
      = core_world_effect (world, KWF_FX_ATTEMPT_START)->start.attempt;
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                          .attempt = { .attempt = first,
                                                       .request = 1,
                                                       .tokens = 1,
                                                       .no_resume = true } });
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = first,
                                          .request = 1,
                                          .failure = KWF_FAIL_BROKEN } });
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_broken_off (world);
}

/* Guards against a stream that is joined from two runs although its route does
   not say that it may be resumed.  */
static void
stream_of_another_route_is_not_resumed (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/read/x", NULL);
  kwf_handle_t first
      = core_world_effect (world, KWF_FX_ATTEMPT_START)->start.attempt;
  core_world_step (
      world, &(kwf_event_t){
                 .type = KWF_EV_ATTEMPT_DATA,
                 .attempt = { .attempt = first, .request = 1, .tokens = 1 } });
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = first,
                                          .request = 1,
                                          .failure = KWF_FAIL_BROKEN } });
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_broken_off (world);
}

/* A caller of a stream in a random schedule.  */
typedef struct
{
  GRand *rand;
  core_world_t world;
  kwf_handle_t open; /* attempt that runs; 0: none */
  bool open_passed;  /* some of its events were passed on */
  bool whole_stream; /* the attempt that ended was a stream of status 200 */
  bool begun;
  bool ended;
  bool gone;
  const char *fault; /* NULL: none */
} schedule_t;

static void
check_effect (schedule_t *schedule, const kwf_effect_t *effect)
{
  switch (effect->type)
    {
    case KWF_FX_ATTEMPT_START:
      if (schedule->ended || schedule->open)
        schedule->fault = "an attempt after the end, or beside another";
      else if (effect->start.resumes != schedule->begun)
        schedule->fault = "an attempt that does not know where it begins";
      schedule->open = effect->start.attempt;
      schedule->open_passed = false;
      break;
    case KWF_FX_ATTEMPT_CANCEL:
      schedule->open = 0;
      break;
    case KWF_FX_FORWARD:
      if (schedule->ended)
        schedule->fault = "events after the end";
      schedule->begun = true;
      schedule->open_passed = true;
      break;
    case KWF_FX_FORWARD_END:
      if (schedule->ended)
        schedule->fault = "a second end";
      else if (schedule->begun && !schedule->whole_stream)
        schedule->fault = "another answer in a stream";
      schedule->ended = true;
      break;
    case KWF_FX_REPLY:
      if (schedule->ended)
        schedule->fault = "a second answer";
      else if (!effect->reply.code)
        schedule->fault = "a whole answer without a run";
      schedule->ended = true;
      break;
    default:
      break;
    }
}

static void
play (schedule_t *schedule, const kwf_event_t *event)
{
  bool over = event->type == KWF_EV_ATTEMPT_END
              || event->type == KWF_EV_ATTEMPT_FAILED;
  schedule->whole_stream = event->type == KWF_EV_ATTEMPT_END
                           && event->attempt.status == 200
                           && !event->attempt.body;
  if (over)
    schedule->open = 0;
  core_world_step (&schedule->world, event);
  for (size_t i = 0; i < kwf_effects_count (schedule->world.effects); i++)
    check_effect (schedule, kwf_effects_at (schedule->world.effects, i));
}

/* The next event of the attempt that runs.  */
static kwf_event_t
draw_attempt_event (schedule_t *schedule)
{
  static const int statuses[] = { 200, 200, 204, 400, 421, 429, 500, 503 };
  GRand *rand = schedule->rand;
  kwf_event_t event
      = { .attempt = { .attempt = schedule->open, .request = 1 } };
  switch (g_rand_int_range (rand, 0, 4))
    {
    case 0:
      event.type = KWF_EV_ATTEMPT_END;
      event.attempt.status = schedule->open_passed
                                 ? 200
                                 : statuses[g_rand_int_range (
                                     rand, 0, G_N_ELEMENTS (statuses))];
      event.attempt.not_run
          = event.attempt.status == 421
            || (!schedule->open_passed && g_rand_boolean (rand));
      event.attempt.body
          = schedule->open_passed || g_rand_boolean (rand) ? NULL : "x";
      break;
    case 1:
      event.type = KWF_EV_ATTEMPT_FAILED;
      event.attempt.failure
          = schedule->open_passed
                ? KWF_FAIL_BROKEN
                : (kwf_failure_t)g_rand_int_range (rand, KWF_FAIL_REFUSED,
                                                   KWF_FAIL_NOT_SENT + 1);
      break;
    default:
      event.type = KWF_EV_ATTEMPT_DATA;
      event.attempt.tokens = 1;
      event.attempt.gap
          = schedule->begun && !schedule->open_passed && g_rand_boolean (rand);
      event.attempt.no_resume = g_rand_int_range (rand, 0, 8) == 0;
      break;
    }
  return event;
}

static void
play_step (schedule_t *schedule)
{
  kwf_event_t event = { .type = KWF_EV_TICK };
  int draw = g_rand_int_range (schedule->rand, 0, 30);
  if (draw == 0)
    {
      event = (kwf_event_t){ .type = KWF_EV_REQUEST_GONE, .gone = 1 };
      schedule->gone = true;
    }
  else if (draw == 1)
    event.type = KWF_EV_STOP;
  else if (draw < 8)
    schedule->world.clock.now_ns
        += g_rand_int_range (schedule->rand, 1, 1500) * KWF_NS_PER_MS;
  else if (schedule->open)
    event = draw_attempt_event (schedule);
  play (schedule, &event);
}

/* Guards against a way to a caller on which something else than its own events
   or a visible end follows the begin of a stream, or nothing at all.  */
static void
stream_has_one_begin_and_one_end (void **state)
{
  (void)state;
  static const char *const paths[] = { "/draft/x", "/read/x" };
  int begun = 0;
  for (guint32 seed = 1; seed <= N_SCHEDULES; seed++)
    {
      schedule_t schedule = { .rand = g_rand_new_with_seed (seed) };
      core_world_start (&schedule.world);
      core_world_servers (&schedule.world);
      core_world_request (&schedule.world, 1, paths[seed % 2],
                          seed % 2 ? NULL : "m");
      const kwf_effect_t *sent
          = core_world_effect (&schedule.world, KWF_FX_ATTEMPT_START);
      schedule.open = sent->start.attempt;
      for (int i = 0; i < 40 && !schedule.fault && !schedule.gone; i++)
        play_step (&schedule);
      schedule.world.clock.now_ns += 20 * KWF_NS_PER_S;
      if (!schedule.gone && !schedule.fault)
        play (&schedule, &(kwf_event_t){ .type = KWF_EV_TICK });
      if (!schedule.gone && !schedule.ended && !schedule.fault)
        schedule.fault = "no end";
      begun += schedule.begun;
      if (schedule.fault)
        fail_msg ("seed %u: %s", seed, schedule.fault);
      core_world_stop (&schedule.world);
      g_rand_free (schedule.rand);
    }
  assert_true (begun > N_SCHEDULES / 4);
}

#define TEST(name)                                                            \
  cmocka_unit_test_setup_teardown (name, core_world_setup, core_world_teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (every_part_has_one_place),
    cmocka_unit_test (begun_stream_gets_no_other_answer),
    TEST (resumed_stream_may_end_without_events),
    TEST (open_end_is_no_end_of_a_marked_stream),
    TEST (run_with_a_gap_is_cancelled),
    TEST (run_that_ends_after_a_gap_is_no_end),
    cmocka_unit_test (stream_has_one_begin_and_one_end),
    TEST (stream_without_ids_is_not_resumed),
    TEST (stream_of_another_route_is_not_resumed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
