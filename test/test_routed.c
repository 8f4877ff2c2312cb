/* Requests whose route is found from host and path: admission, attempts,
   answers that say "not run", keys, stop.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/lists-build.h"

static void
assert_refused (const core_world_t *world, int status, const char *code)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_REPLY);
  assert_non_null (effect);
  assert_int_equal (effect->reply.status, status);
  assert_string_equal (effect->reply.code, code);
}

static kwf_handle_t
assert_sent (const core_world_t *world)
{
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (effect);
  return effect->start.attempt;
}

static void
end_attempt (core_world_t *world, kwf_handle_t request, kwf_handle_t attempt,
             int status, bool not_run)
{
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                          .attempt = { .attempt = attempt,
                                                       .request = request,
                                                       .status = status,
                                                       .not_run = not_run } });
}

static void
fail_attempt (core_world_t *world, kwf_handle_t request, kwf_handle_t attempt)
{
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = attempt,
                                          .request = request,
                                          .failure = KWF_FAIL_BROKEN } });
}

/* Guards against a path that gets the wrong route, or none.  */
static void
longest_prefix_wins (void **state)
{
  (void)state;
  static const kwf_split_t split = { "s", 1 };
  kwf_lists_t *lists = lists_new ();
  const char *const prefixes[] = { "/", "/a/", "/a/b/" };
  for (size_t i = 0; i < G_N_ELEMENTS (prefixes); i++)
    assert_true (lists_add_route (lists, &(kwf_route_t){ .name = prefixes[i],
                                                         .host = "Host.X",
                                                         .prefix = prefixes[i],
                                                         .splits = &split,
                                                         .n_splits = 1 }));
  assert_false (lists_add_route (lists, &(kwf_route_t){ .name = "twin",
                                                        .host = "host.x",
                                                        .prefix = "/a/",
                                                        .splits = &split,
                                                        .n_splits = 1 }));
  const struct
  {
    const char *host;
    const char *path;
    const char *route;
  } cases[] = {
    { "host.x", "/a/b/c", "/a/b/" }, { "HOST.X:80", "/a/bc", "/a/" },
    { "host.x", "/ab", "/" },        { "host.x", "/a/b", "/a/" },
    { "other.x", "/a/", NULL },      { NULL, "/a/", NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const kwf_route_t *route
          = kwf_lists_route (lists, cases[i].host, cases[i].path);
      if (cases[i].route)
        assert_string_equal (route->name, cases[i].route);
      else
        assert_null (route);
    }
  kwf_lists_free (lists);
}

/* Guards against a refusal for an unknown route or key before the
   configuration is known, and against admitting them afterwards.  */
static void
admission_answers_what_the_lists_say (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/none/", NULL);
  assert_refused (world, 404, "route_not_found");
  kwf_event_t event = { .type = KWF_EV_REQUEST,
                        .request = { .handle = 2,
                                     .kind = KWF_REQUEST_ROUTED,
                                     .id = "r",
                                     .key_digest = "other",
                                     .host = "h.example",
                                     .path = "/read/" } };
  core_world_step (world, &event);
  assert_refused (world, 401, "unknown_key");
  event.request.key_digest = NULL;
  core_world_step (world, &event);
  assert_refused (world, 401, "missing_key");
  kwf_core_t *empty
      = kwf_core_new (&(kwf_core_options_t){ .instance = "b",
                                             .data_centre = "c",
                                             .caller_address = "",
                                             .peer_address = "",
                                             .push_updates = true,
                                             .clock = &world->clock.clock,
                                             .random = kwf_random_system () });
  kwf_effects_clear (world->effects);
  kwf_core_step (empty, &event, world->effects);
  assert_refused (world, 503, "no_configuration");
  kwf_core_free (empty);
}

/* Guards against a second run of a call that may run only once.  */
static void
broken_call_that_may_run_once_is_not_repeated (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/book/x", NULL);
  kwf_handle_t attempt = assert_sent (world);
  assert_false (
      core_world_effect (world, KWF_FX_ATTEMPT_START)->start.repeatable);
  fail_attempt (world, 1, attempt);
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_refused (world, 502, "outcome_unknown");
}

/* Guards against failing a request that another server can run, and against
   asking more servers than the route allows.  */
static void
not_run_goes_to_another_server_within_the_attempts (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/book/x", NULL);
  const kwf_effect_t *first = core_world_effect (world, KWF_FX_ATTEMPT_START);
  char server[8];
  g_strlcpy (server, first->start.server, sizeof server);
  end_attempt (world, 1, assert_sent (world), 503, true);
  const kwf_effect_t *second = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (second);
  assert_string_not_equal (second->start.server, server);
  end_attempt (world, 1, second->start.attempt, 503, true);
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_refused (world, 503, "no_server");
  assert_int_equal (core_world_effect (world, KWF_FX_REPLY)->reply.run,
                    KWF_RUN_NO);
}

/* Guards against a request that is sent to a server after the server announced
   that it leaves, because its connection took that long, and against the loss
   of an attempt that way.  */
static void
decision_is_checked_when_the_connection_is_there (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/book/x", NULL);
  const kwf_effect_t *first = core_world_effect (world, KWF_FX_ATTEMPT_START);
  kwf_handle_t attempt = assert_sent (world);
  bool is_d1 = strcmp (first->start.server, "d1") == 0;
  assert_true (kwf_core_may_send (world->core, attempt));
  kwf_member_t member = { .id = is_d1 ? "d1" : "d2",
                          .kind = KWF_MEMBER_SERVICE,
                          .name = "desk",
                          .address = "127.0.0.1:11",
                          .data_centre = "c",
                          .leaving = true,
                          .described = true,
                          .revision = 90,
                          .incarnation = 1,
                          .slots = 6 };
  kwf_event_t event = { .type = KWF_EV_MEMBERS,
                        .members = { .valid = true,
                                     .recovery_ns = KWF_NS_PER_S,
                                     .members = &member,
                                     .n_members = 1 } };
  core_world_step (world, &event);
  assert_false (kwf_core_may_send (world->core, attempt));
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = attempt,
                                          .request = 1,
                                          .failure = KWF_FAIL_NOT_SENT } });
  const kwf_effect_t *second = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (second);
  assert_string_equal (second->start.server, is_d1 ? "d2" : "d1");
  assert_true (kwf_core_may_send (world->core, second->start.attempt));
}

/* Guards against replacing the failure that a server answered by another
   error.  */
static void
last_failure_of_a_server_is_passed_on (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/read/x", NULL);
  end_attempt (world, 1, assert_sent (world), 500, false);
  kwf_handle_t second = assert_sent (world);
  end_attempt (world, 1, second, 500, false);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against a broken stream that is not resumed at another engine.  */
static void
broken_stream_resumes_at_another_engine (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/draft/x", "m");
  kwf_handle_t attempt = assert_sent (world);
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                          .attempt = { .attempt = attempt,
                                                       .request = 1,
                                                       .tokens = 3 } });
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD));
  fail_attempt (world, 1, attempt);
  const kwf_effect_t *again = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (again);
  assert_true (again->start.resumes);
}

/* Feed request 2, for adapter "a1" of model "m"; TIMEOUT_MS 0: the timeout of
   the route.  */
static void
request_adapter (core_world_t *world, int64_t timeout_ms)
{
  kwf_event_t request
      = { .type = KWF_EV_REQUEST,
          .request = { .handle = 2,
                       .kind = KWF_REQUEST_ROUTED,
                       .id = "r2",
                       .key_digest = "k",
                       .host = "h.example",
                       .path = "/draft/",
                       .model = "m",
                       .adapter = "a1",
                       .timeout_ns = timeout_ms * KWF_NS_PER_MS,
                       .fingerprint = 2 } };
  core_world_step (world, &request);
}

/* Guards against a request that waits for a model that an engine holds: when
   an adapter was missing, the model itself counted as missing.  */
static void
missing_adapter_leaves_the_model (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/draft/x", "m");
  kwf_handle_t attempt = assert_sent (world);
  core_world_feed_residency (world, "m", "a1", true);
  request_adapter (world, 0);
  const kwf_effect_t *sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_non_null (sent);
  assert_string_equal (sent->start.server, "e1");
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                   .attempt = { .attempt = sent->start.attempt,
                                                .request = 2,
                                                .status = 421,
                                                .not_run = true,
                                                .misplaced = true } });
  /* Fill e2, so that only e1 is left.  */
  (void)attempt;
  int to_first = 0;
  for (kwf_handle_t i = 3; i < 9; i++)
    {
      core_world_request (world, i, "/draft/x", "m");
      const kwf_effect_t *start
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      assert_non_null (start);
      to_first += strcmp (start->start.server, "e1") == 0;
    }
  assert_true (to_first > 0);
}

static void
answer_with_load_report (core_world_t *world, const kwf_effect_t *sent,
                         int running)
{
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                   .attempt = { .attempt = sent->start.attempt,
                                                .request = sent->start.request,
                                                .tokens = 3,
                                                .has_load = true,
                                                .running = running,
                                                .slots = 64 } });
}

/* Guards against prompts that arrive together at one engine, which delays the
   next tokens of all streams there.  The other engine has more streams, but it
   reads no prompt.  */
static void
engine_that_reads_prompts_is_avoided (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  int streams[2] = { 0 };
  int reads = 0;
  for (kwf_handle_t i = 1; i <= 6; i++)
    {
      core_world_request (world, i, "/draft/x", "m");
      const kwf_effect_t *sent
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      assert_non_null (sent);
      bool first = strcmp (sent->start.server, "e1") == 0;
      reads += !first && streams[1] > 0;
      if (first || !streams[1])
        answer_with_load_report (world, sent, first ? 8 : 0);
      streams[first ? 0 : 1]++;
    }
  assert_true (streams[0] > 0 && reads > 0);
  core_world_request (world, 7, "/draft/x", "m");
  const kwf_effect_t *sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  assert_string_equal (sent->start.server, "e1");
}

/* Guards against requests for a model that an engine is unloading: the entries
   of the engine list the model until its last request ends.  */
static void
model_that_is_unloaded_is_not_asked_for (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_feed_residency (world, "m", "", false);
  core_world_advance (world, 3000);
  core_world_servers_at (world, 10);
  for (kwf_handle_t i = 1; i <= 4; i++)
    {
      core_world_request (world, i, "/draft/x", "m");
      const kwf_effect_t *sent
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      assert_non_null (sent);
      assert_string_equal (sent->start.server, "e2");
    }
}

/* Guards against refused requests of an organisation over its rate that all
   come back at the same time and are refused again.  */
static void
refused_requests_come_back_one_after_the_other (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  int64_t last_ms = 0;
  int refused = 0;
  for (kwf_handle_t i = 1; i <= 200; i++)
    {
      core_world_request (world, i, "/read/x", NULL);
      const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
      if (!reply || reply->reply.status != 429)
        continue;
      refused++;
      /* 10 tokens each at 1,000 a second.  */
      assert_int_equal (reply->reply.retry_after_ms, last_ms + 10);
      last_ms = reply->reply.retry_after_ms;
    }
  assert_int_equal (refused, 100);
  /* Half a second later half of them are back.  */
  core_world_advance (world, 500);
  for (kwf_handle_t i = 201; i <= 250; i++)
    core_world_request (world, i, "/read/x", NULL);
  core_world_request (world, 251, "/read/x", NULL);
  const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
  assert_int_equal (reply->reply.status, 429);
  assert_int_equal (reply->reply.retry_after_ms, last_ms - 500 + 10);
}

/* Guards against callers that wait until they give up although no engine loads
   their model.  */
static void
missing_model_is_refused_when_no_load_comes (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/draft/x", "n");
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  core_world_advance (world, 1500);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  core_world_advance (world, 600);
  assert_refused (world, 503, "overloaded");
  const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
  assert_true (reply->reply.retry_after_ms > 0);
}

/* Guards against refusing a request for a model that is being loaded.  A
   request waits 2 s (MODEL_WAIT_NS of lib/wait.c) for the announcement of a
   load; this one is announced before that.  */
static void
missing_model_is_waited_for_while_it_loads (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/draft/x", "n");
  core_world_advance (world, 1900);
  core_world_feed_residency (world, "n", "", true);
  core_world_advance (world, 200);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
}

/* Guards against a refusal because one more copy of the model is being loaded:
   the model is there, and its adapter is loaded at once.  */
static void
missing_adapter_is_waited_for_during_a_load (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_feed_residency (world, "m", "", true);
  request_adapter (world, 2500);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
  core_world_advance (world, 1500);
  assert_null (core_world_effect (world, KWF_FX_REPLY));
}

/* Guards against engines that count as plain services for good, because they
   were listed before the configuration said what they are.  */
static void
server_may_turn_out_to_be_an_engine (void **state)
{
  core_world_t *world = *state;
  static const kwf_resident_t model = { .name = "n", .version = "" };
  kwf_member_t member = { .id = "e3",
                          .kind = KWF_MEMBER_SERVICE,
                          .name = "models",
                          .address = "127.0.0.1:23",
                          .data_centre = "c",
                          .described = true,
                          .revision = 9,
                          .incarnation = 1,
                          .slots = 8,
                          .models = &model,
                          .n_models = 1 };
  kwf_event_t event
      = { .type = KWF_EV_MEMBERS,
          .members = { .valid = true, .members = &member, .n_members = 1 } };
  core_world_step (world, &event);
  member.kind = KWF_MEMBER_ENGINE;
  core_world_step (world, &event);
  core_world_request (world, 1, "/draft/x", "n");
  assert_sent (world);
}

static void
feed_empty_list (core_world_t *world, int64_t recovery_ns,
                 int64_t previous_age_ns)
{
  core_world_step (
      world,
      &(kwf_event_t){ .type = KWF_EV_MEMBERS,
                      .members = { .valid = true,
                                   .recovery_ns = recovery_ns,
                                   .previous_age_ns = previous_age_ns } });
}

/* Guards against servers that are dropped because their entries expired while
   the platform was away, and against servers without an entry that are used
   for longer than these take to return.  */
static void
unsure_list_drops_no_server (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  feed_empty_list (world, 2500 * KWF_NS_PER_MS, 5 * KWF_NS_PER_S);
  core_world_request (world, 1, "/read/x", NULL);
  assert_sent (world);
  core_world_advance (world, 1000);
  feed_empty_list (world, 1500 * KWF_NS_PER_MS, 0);
  core_world_advance (world, 1400);
  core_world_request (world, 2, "/read/x", NULL);
  assert_sent (world);
  core_world_advance (world, 200);
  core_world_request (world, 3, "/read/x", NULL);
  assert_refused (world, 503, "no_server");
}

/* Guards against requests for a server whose entry was removed while nobody
   passed lists on, later than 2 s after the last list that had it.  */
static void
late_list_keeps_no_server_past_the_bound (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  feed_empty_list (world, 0, 2500 * KWF_NS_PER_MS);
  core_world_request (world, 1, "/read/x", NULL);
  assert_refused (world, 503, "no_server");
}

/* Guards against servers that were gone before the platform was away and are
   used again after it.  */
static void
unsure_list_brings_no_server_back (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  feed_empty_list (world, 0, 0);
  feed_empty_list (world, 2500 * KWF_NS_PER_MS, 5 * KWF_NS_PER_S);
  core_world_request (world, 1, "/read/x", NULL);
  assert_refused (world, 503, "no_server");
}

/* Guards against a rate that is not enforced, and against charging requests
   that did not run.  */
static void
requests_count_against_the_rate_once_they_run (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  /* 10 tokens each, 1,000 in the bucket.  */
  for (kwf_handle_t i = 1; i <= 150; i++)
    {
      core_world_request (world, i, "/book/x", NULL);
      kwf_handle_t attempt = assert_sent (world);
      end_attempt (world, i, attempt, 503, true);
      const kwf_effect_t *again
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      if (again)
        end_attempt (world, i, again->start.attempt, 503, true);
    }
  int granted = 0;
  for (kwf_handle_t i = 1000; i < 1150; i++)
    {
      core_world_request (world, i, "/read/x", NULL);
      const kwf_effect_t *sent
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      granted += sent != NULL;
      if (sent)
        end_attempt (world, i, sent->start.attempt, 200, false);
      else
        assert_refused (world, 429, "rate_limited");
    }
  assert_int_equal (granted, 100);
}

/* Calls of PATH that end at once, so that it is known how long they take.  */
static void
make_quick_calls (core_world_t *world, const char *path)
{
  for (kwf_handle_t i = 1000; i < 1020; i++)
    {
      core_world_request (world, i, path, NULL);
      end_attempt (world, i, assert_sent (world), 200, false);
    }
}

/* Guards against a stopping instance that takes requests which it cannot
   finish any more.  */
static void
stopping_instance_takes_requests_for_a_while (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  make_quick_calls (world, "/read/x");
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  assert_false (kwf_core_ready (world->core));
  core_world_advance (world, 2900);
  core_world_request (world, 1, "/read/x", NULL);
  kwf_handle_t attempt = assert_sent (world);
  core_world_advance (world, 200);
  core_world_request (world, 2, "/read/x", NULL);
  assert_refused (world, 503, "stopping");
  end_attempt (world, 1, attempt, 200, false);
  assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
}

/* Guards against a status that callers take for a promise that nothing ran,
   when the request may have run: at a server that does not answer before the
   stop.  */
static void
stop_makes_no_promise_for_what_was_sent (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  make_quick_calls (world, "/book/x");
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  core_world_advance (world, CORE_WORLD_STOP_MS - 1500);
  core_world_request (world, 1, "/book/x", NULL);
  assert_sent (world);
  core_world_advance (world, 1501);
  assert_refused (world, 502, "stopping");
  assert_int_equal (core_world_effect (world, KWF_FX_REPLY)->reply.run,
                    KWF_RUN_UNKNOWN);
}

/* The same when a first server may have run the request and the second cannot
   be reached.  */
static void
unreached_server_makes_no_promise_for_the_one_before (void **state)
{
  core_world_t *world = *state;
  core_world_servers (world);
  core_world_request (world, 1, "/read/x", NULL);
  fail_attempt (world, 1, assert_sent (world));
  kwf_handle_t second = assert_sent (world);
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                             .attempt = { .attempt = second,
                                          .request = 1,
                                          .failure = KWF_FAIL_CONNECT } });
  assert_refused (world, 502, "no_server");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (stop_makes_no_promise_for_what_was_sent,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (
        unreached_server_makes_no_promise_for_the_one_before, core_world_setup,
        core_world_teardown),
    cmocka_unit_test (longest_prefix_wins),
    cmocka_unit_test_setup_teardown (admission_answers_what_the_lists_say,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (
        broken_call_that_may_run_once_is_not_repeated, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (
        not_run_goes_to_another_server_within_the_attempts, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (
        decision_is_checked_when_the_connection_is_there, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (last_failure_of_a_server_is_passed_on,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (broken_stream_resumes_at_another_engine,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (missing_adapter_leaves_the_model,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (engine_that_reads_prompts_is_avoided,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (
        refused_requests_come_back_one_after_the_other, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (model_that_is_unloaded_is_not_asked_for,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (
        missing_model_is_refused_when_no_load_comes, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (
        missing_model_is_waited_for_while_it_loads, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (
        missing_adapter_is_waited_for_during_a_load, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (server_may_turn_out_to_be_an_engine,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (unsure_list_drops_no_server,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (late_list_keeps_no_server_past_the_bound,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (unsure_list_brings_no_server_back,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (
        requests_count_against_the_rate_once_they_run, core_world_setup,
        core_world_teardown),
    cmocka_unit_test_setup_teardown (
        stopping_instance_takes_requests_for_a_while, core_world_setup,
        core_world_teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
