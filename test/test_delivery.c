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
    { DELIVERY_NONE, DELIVERY_GAP, DELIVER_RETRY, DELIVERY_NONE },
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
        bool open = from == DELIVERY_NONE || from == DELIVERY_BEGUN;
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

#define TEST(name)                                                            \
  cmocka_unit_test_setup_teardown (name, core_world_setup, core_world_teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (every_part_has_one_place),
    cmocka_unit_test (begun_stream_gets_no_other_answer),
    TEST (resumed_stream_may_end_without_events),
    TEST (run_with_a_gap_is_cancelled),
    TEST (stream_without_ids_is_not_resumed),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
