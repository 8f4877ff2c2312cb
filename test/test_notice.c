/* What servers announce with their answers: that they leave, and that they
   want a pause.  Seeded schedules check that no request is sent against
   either.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <gsl/gsl_rng.h>

#include "common-core.h"

/* An attempt that was sent.  */
typedef struct
{
  kwf_handle_t request;
  kwf_handle_t attempt;
  char server[8];
} sent_attempt_t;

/* Add the requests that the last step sent to SENT; return their number.  */
static int
collect_sent (const core_world_t *world, GArray *sent)
{
  int n = 0;
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type != KWF_FX_ATTEMPT_START)
        continue;
      sent_attempt_t one
          = { effect->start.request, effect->start.attempt, "" };
      g_strlcpy (one.server, effect->start.server, sizeof one.server);
      g_array_append_val (sent, one);
      n++;
    }
  return n;
}

static sent_attempt_t
send_one (core_world_t *world, kwf_handle_t request, const char *path)
{
  GArray *sent = g_array_new (FALSE, TRUE, sizeof (sent_attempt_t));
  core_world_request (world, request, path, path[1] == 'd' ? "m" : NULL);
  collect_sent (world, sent);
  sent_attempt_t one = sent->len ? g_array_index (sent, sent_attempt_t, 0)
                                 : (sent_attempt_t){ 0 };
  g_array_free (sent, TRUE);
  return one;
}

static void
feed_notice (core_world_t *world, const sent_attempt_t *sent, bool leaving,
             int64_t pause_ms)
{
  core_world_step (
      world,
      &(kwf_event_t){ .type = KWF_EV_NOTICE,
                      .notice = { .attempt = sent->attempt,
                                  .leaving = leaving,
                                  .pause_ns = pause_ms * KWF_NS_PER_MS } });
}

static void
end_attempt (core_world_t *world, const sent_attempt_t *sent, int status,
             bool not_run)
{
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                   .attempt = { .attempt = sent->attempt,
                                                .request = sent->request,
                                                .status = status,
                                                .not_run = not_run } });
}

/* The server refuses SENT and asks for a pause.  */
static void
refuse_with_pause (core_world_t *world, const sent_attempt_t *sent,
                   int64_t pause_ms)
{
  feed_notice (world, sent, false, pause_ms);
  end_attempt (world, sent, 503, true);
}

/* Number of N requests to PATH that are sent to SERVER; all are answered.  */
static int
count_sent_to (core_world_t *world, const char *server, const char *path,
               int n)
{
  static kwf_handle_t next = 1000;
  int count = 0;
  for (int i = 0; i < n; i++)
    {
      sent_attempt_t sent = send_one (world, ++next, path);
      count += strcmp (sent.server, server) == 0;
      if (sent.attempt)
        end_attempt (world, &sent, 200, false);
    }
  return count;
}

/* Feed a membership list that was the newest AGE_MS ago, in which the entry of
   desk ID has REVISION.  */
static void
feed_old_entry (core_world_t *world, const char *id, int64_t revision,
                bool leaving, uint64_t incarnation, bool after_outage,
                int64_t age_ms)
{
  kwf_member_t members[2];
  static const char *const ids[] = { "d1", "d2" };
  for (int i = 0; i < 2; i++)
    members[i] = (kwf_member_t){ .id = ids[i],
                                 .kind = KWF_MEMBER_SERVICE,
                                 .name = "desk",
                                 .address = "127.0.0.1:11",
                                 .data_centre = "c",
                                 .described = true,
                                 .revision = 1 + i,
                                 .incarnation = 1,
                                 .slots = 6 };
  kwf_member_t *member = &members[strcmp (id, "d2") == 0];
  member->revision = revision;
  member->leaving = leaving;
  member->incarnation = incarnation;
  core_world_step (
      world,
      &(kwf_event_t){
          .type = KWF_EV_MEMBERS,
          .members = { .valid = true,
                       .age_ns = age_ms * KWF_NS_PER_MS,
                       .recovery_ns = after_outage ? 2500 * KWF_NS_PER_MS : 0,
                       .members = members,
                       .n_members = 2 } });
}

static void
feed_entry (core_world_t *world, const char *id, int64_t revision,
            bool leaving, uint64_t incarnation, bool after_outage)
{
  feed_old_entry (world, id, revision, leaving, incarnation, after_outage, 0);
}

/* Guards against an entry that was written before the answer, reaches this
   instance late, and makes the server usable again.  */
static void
late_list_does_not_take_leaving_back (void **state)
{
  core_world_t *world = *state;
  sent_attempt_t sent = send_one (world, 1, "/read/x");
  feed_entry (world, sent.server, 50, false, 1, false);
  feed_notice (world, &sent, true, 0);
  core_world_advance (world, 10000);
  feed_old_entry (world, sent.server, 60, false, 1, false, 10000);
  assert_int_equal (count_sent_to (world, sent.server, "/read/x", 5), 0);
  /* Written before this list; nobody knows how long before.  */
  feed_entry (world, sent.server, 61, false, 1, false);
  assert_int_equal (count_sent_to (world, sent.server, "/read/x", 5), 0);
  core_world_advance (world, 1000);
  feed_entry (world, sent.server, 62, false, 1, false);
  assert_in_range (count_sent_to (world, sent.server, "/read/x", 20), 1, 20);
}

/* Guards against requests for a server that announced in the head of a stream
   that it leaves, while the stream goes on.  */
static void
head_of_a_stream_tells_that_a_server_leaves (void **state)
{
  core_world_t *world = *state;
  sent_attempt_t stream = send_one (world, 1, "/draft/x");
  feed_notice (world, &stream, true, 0);
  assert_int_equal (count_sent_to (world, stream.server, "/draft/x", 20), 0);
  assert_false (kwf_core_may_send (world->core, stream.attempt));
  /* The stream that runs there goes on.  */
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_CANCEL));
}

/* Guards against requests that wait for a server and are sent there after it
   announced that it leaves.  */
static void
waiting_requests_go_elsewhere (void **state)
{
  core_world_t *world = *state;
  GArray *sent = g_array_new (FALSE, TRUE, sizeof (sent_attempt_t));
  kwf_handle_t next = 1;
  int waiting = 0;
  while (waiting < 3)
    {
      core_world_request (world, next++, "/draft/x", "m");
      waiting += !collect_sent (world, sent);
    }
  const sent_attempt_t first = g_array_index (sent, sent_attempt_t, 0);
  feed_notice (world, &first, true, 0);
  guint before = sent->len;
  for (guint i = 0; i < before; i++)
    {
      const sent_attempt_t one = g_array_index (sent, sent_attempt_t, i);
      end_attempt (world, &one, 200, false);
      collect_sent (world, sent);
    }
  core_world_advance (world, 200);
  collect_sent (world, sent);
  assert_int_equal (sent->len, before + 3);
  for (guint i = before; i < sent->len; i++)
    assert_string_not_equal (g_array_index (sent, sent_attempt_t, i).server,
                             first.server);
  g_array_free (sent, TRUE);
}

/* Guards against a membership list that is older than the answer and makes the
   server usable again: with the same entry, with an entry that was on its way,
   or after the store was unavailable.  */
static void
older_entries_do_not_take_leaving_back (void **state)
{
  core_world_t *world = *state;
  sent_attempt_t sent = send_one (world, 1, "/read/x");
  feed_notice (world, &sent, true, 0);
  feed_entry (world, sent.server, 50, false, 1, false);
  assert_int_equal (count_sent_to (world, sent.server, "/read/x", 5), 0);
  core_world_advance (world, 10000);
  feed_entry (world, sent.server, 60, false, 1, true);
  assert_int_equal (count_sent_to (world, sent.server, "/read/x", 5), 0);
  feed_entry (world, sent.server, 60, false, 1, false);
  assert_int_equal (count_sent_to (world, sent.server, "/read/x", 5), 0);
  /* Written later than the answer.  */
  feed_entry (world, sent.server, 61, false, 1, false);
  assert_in_range (count_sent_to (world, sent.server, "/read/x", 20), 1, 20);
}

/* Guards against a new process under the same id that counts as leaving, and
   against an answer of the old process that marks the new one.  */
static void
new_process_does_not_leave (void **state)
{
  core_world_t *world = *state;
  sent_attempt_t sent = send_one (world, 1, "/read/x");
  feed_notice (world, &sent, true, 0);
  feed_entry (world, sent.server, 50, false, 2, false);
  assert_in_range (count_sent_to (world, sent.server, "/read/x", 20), 1, 20);
  feed_notice (world, &sent, true, 0);
  assert_in_range (count_sent_to (world, sent.server, "/read/x", 20), 1, 20);
}

static void
feed_report (core_world_t *world, const char *server, bool leaving)
{
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_REPORT,
                                          .report = { .server = server,
                                                      .valid = true,
                                                      .incarnation = 1,
                                                      .leaving = leaving,
                                                      .resume = true } });
}

/* Guards against an engine that is not used again because it announced that it
   leaves and then stayed; it is probed now and then.  */
static void
engine_that_stays_is_asked (void **state)
{
  core_world_t *world = *state;
  sent_attempt_t sent = send_one (world, 1, "/draft/x");
  feed_notice (world, &sent, true, 0);
  core_world_advance (world, 1000);
  assert_null (core_world_effect (world, KWF_FX_PROBE));
  core_world_advance (world, 4500);
  const kwf_effect_t *probe = core_world_effect (world, KWF_FX_PROBE);
  assert_non_null (probe);
  assert_string_equal (probe->probe.server, sent.server);
  feed_report (world, sent.server, true);
  assert_int_equal (count_sent_to (world, sent.server, "/draft/x", 5), 0);
  core_world_advance (world, 5500);
  assert_non_null (core_world_effect (world, KWF_FX_PROBE));
  core_world_step (
      world, &(kwf_event_t){
                 .type = KWF_EV_REPORT,
                 .report
                 = { .server = sent.server,
                     .valid = true,
                     .incarnation = 1,
                     .resume = true,
                     .models = &(kwf_resident_t){ .name = "m", .version = "" },
                     .n_models = 1 } });
  assert_in_range (count_sent_to (world, sent.server, "/draft/x", 20), 1, 20);
}

static void
feed_peer_leaving (core_world_t *world, const char *server,
                   uint64_t incarnation)
{
  kwf_message_t message = { .type = KWF_MSG_SERVER_LEAVING,
                            .leaving = { server, incarnation, 0, false } };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = "b",
                                                    .incarnation = 1,
                                                    .message = &message } });
}

/* Guards against instances that learn only from their own requests that a
   server leaves, and against messages about a process that is gone.  */
static void
leaving_is_told_between_instances (void **state)
{
  core_world_t *world = *state;
  feed_peer_leaving (world, "e1", 7);
  assert_in_range (count_sent_to (world, "e1", "/draft/x", 20), 1, 20);
  feed_peer_leaving (world, "e1", 1);
  assert_int_equal (count_sent_to (world, "e1", "/draft/x", 20), 0);
  core_world_row (world, "session/b",
                  "{\"incarnation\":1,\"counter\":1,\"caller_address\":\"\","
                  "\"peer_address\":\"\",\"data_centre\":\"c\"}");
  sent_attempt_t sent = send_one (world, 1, "/read/x");
  feed_notice (world, &sent, true, 0);
  const kwf_effect_t *send = core_world_effect (world, KWF_FX_PEER_SEND);
  assert_non_null (send);
  assert_int_equal (send->send.message.type, KWF_MSG_SERVER_LEAVING);
  assert_string_equal (send->send.message.leaving.server, sent.server);
}

/* Guards against requests for a server during the pause that it asked for,
   against a pause that does not end or is not cut to a minute, and against a
   pausing server that gets no requests after it because it counts as
   failing.  */
static void
pause_is_kept_and_ends (void **state)
{
  static const int64_t pauses_ms[] = { 300, 3000, 1000000000 };
  for (size_t i = 0; i < G_N_ELEMENTS (pauses_ms); i++)
    {
      core_world_t *world = *state;
      int64_t lasts_ms = MIN (pauses_ms[i], 60000);
      kwf_handle_t next = 100 * i + 1;
      sent_attempt_t not_yet_sent = send_one (world, next++, "/read/x");
      sent_attempt_t sent = { 0 };
      while (strcmp (sent.server, not_yet_sent.server) != 0 && next % 100 < 20)
        sent = send_one (world, next++, "/read/x");
      refuse_with_pause (world, &sent, pauses_ms[i]);
      /* The request goes to the other server.  */
      const kwf_effect_t *retry
          = core_world_effect (world, KWF_FX_ATTEMPT_START);
      assert_non_null (retry);
      assert_string_not_equal (retry->start.server, sent.server);
      /* The connection of this one was still being made.  */
      assert_false (kwf_core_may_send (world->core, not_yet_sent.attempt));
      assert_int_equal (count_sent_to (world, sent.server, "/read/x", 10), 0);
      core_world_advance (world, lasts_ms - 10);
      assert_int_equal (count_sent_to (world, sent.server, "/read/x", 10), 0);
      core_world_advance (world, 1500);
      assert_in_range (count_sent_to (world, sent.server, "/read/x", 20), 1,
                       20);
      end_attempt (world, &not_yet_sent, 200, false);
    }
}

/* Load pattern: all copies ask for a pause while many callers send requests.
   Callers are refused at once and told to come back after its end one after
   the other, urgent ones first; the servers are not flooded when it ends.  */
static void
callers_return_apart_when_all_copies_pause (void **state)
{
  core_world_t *world = *state;
  enum
  {
    N = 40,
    APART_MS = 10
  };
  sent_attempt_t open[N];
  GHashTable *servers = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 0; i < N; i++)
    {
      open[i] = send_one (world, 1 + i, "/read/x");
      g_hash_table_add (servers, open[i].server);
    }
  assert_int_equal (g_hash_table_size (servers), 2);
  g_hash_table_unref (servers);
  for (int i = 0; i < N; i++)
    feed_notice (world, &open[i], false, 1000);
  GHashTable *moments = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (int i = 0; i < N; i++)
    {
      core_world_request (world, 100 + i, "/read/x", NULL);
      const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
      assert_non_null (reply);
      assert_int_equal (reply->reply.status, 503);
      assert_int_equal (reply->reply.run, KWF_RUN_NO);
      assert_in_range (reply->reply.retry_after_ms, 1000, 6000);
      g_hash_table_add (
          moments,
          GINT_TO_POINTER ((int)(reply->reply.retry_after_ms / APART_MS)));
    }
  assert_in_range (g_hash_table_size (moments), N / 2, N);
  g_hash_table_unref (moments);
  for (int i = 0; i < N; i++)
    end_attempt (world, &open[i], 200, false);
  /* All callers come back at once all the same.  */
  core_world_advance (world, 1001);
  GArray *sent = g_array_new (FALSE, TRUE, sizeof (sent_attempt_t));
  for (int i = 0; i < N; i++)
    {
      core_world_request (world, 200 + i, "/read/x", NULL);
      collect_sent (world, sent);
    }
  assert_in_range (sent->len, 1, 4);
  core_world_advance (world, 200);
  collect_sent (world, sent);
  assert_in_range (sent->len, 4, N / 2);
  for (int i = 0; i < 10; i++)
    {
      core_world_advance (world, 100);
      collect_sent (world, sent);
    }
  assert_int_equal (sent->len, N);
  g_array_free (sent, TRUE);
}

/* Load pattern: one of two copies asks for pauses again and again while many
   callers send requests.  Callers must not notice, and the extra attempts stay
   few: one for each pause, and one for each request that was on its way
   then.  */
static void
pauses_of_one_copy_cost_few_attempts (void **state)
{
  core_world_t *world = *state;
  enum
  {
    N = 50,
    APART_MS = 100,
    PAUSE_MS = 900
  };
  kwf_handle_t next = 1;
  int n_pauses = 0;
  int n_extra = 0;
  for (int round = 0; round < N; round++)
    {
      sent_attempt_t sent = send_one (world, next++, "/read/x");
      assert_true (sent.attempt);
      bool pauses = strcmp (sent.server, "d1") == 0;
      if (pauses)
        {
          n_pauses++;
          refuse_with_pause (world, &sent, PAUSE_MS);
          GArray *again = g_array_new (FALSE, TRUE, sizeof (sent_attempt_t));
          assert_int_equal (collect_sent (world, again), 1);
          n_extra++;
          sent = g_array_index (again, sent_attempt_t, 0);
          g_array_free (again, TRUE);
          assert_string_equal (sent.server, "d2");
        }
      end_attempt (world, &sent, 200, false);
      assert_non_null (core_world_effect (world, KWF_FX_FORWARD_END));
      core_world_advance (world, APART_MS);
    }
  assert_in_range (n_pauses, 3, 1 + N * APART_MS / PAUSE_MS);
  assert_int_equal (n_extra, n_pauses);
}

/* Guards against a pause, or an announcement that a server leaves, that is
   forgotten when the list of servers arrives again.  */
static void
notices_outlast_a_new_configuration (void **state)
{
  core_world_t *world = *state;
  sent_attempt_t leaving = send_one (world, 1, "/read/x");
  feed_notice (world, &leaving, true, 0);
  sent_attempt_t paused = send_one (world, 2, "/read/x");
  assert_string_not_equal (paused.server, leaving.server);
  feed_notice (world, &paused, false, 2000);
  core_world_servers_at (world, 0);
  core_world_request (world, 3, "/read/x", NULL);
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_START));
  assert_int_equal (core_world_effect (world, KWF_FX_REPLY)->reply.status,
                    503);
}

/* Seeded schedules.  The true state of each desk and engine, as its answers
   announced it.  */
typedef struct
{
  const char *id;
  bool leaves;
  int64_t until_ns; /* of a pause */
  int crossed;      /* requests that reached it during the pause */
} server_truth_t;

typedef struct
{
  core_world_t *world;
  gsl_rng *rng;
  GArray *sent;
  server_truth_t servers[4];
  unsigned seed;
  int n_checks;
} schedule_t;

static server_truth_t *
server_of (schedule_t *schedule, const char *id)
{
  for (int i = 0; i < 4; i++)
    if (strcmp (schedule->servers[i].id, id) == 0)
      return &schedule->servers[i];
  return NULL;
}

static void
check_sent (schedule_t *schedule)
{
  guint before = schedule->sent->len;
  collect_sent (schedule->world, schedule->sent);
  int64_t now_ns = schedule->world->clock.now_ns;
  for (guint i = before; i < schedule->sent->len; i++)
    {
      const sent_attempt_t *sent
          = &g_array_index (schedule->sent, sent_attempt_t, i);
      const server_truth_t *server = server_of (schedule, sent->server);
      schedule->n_checks++;
      if (server->leaves)
        fail_msg ("seed %u: sent to %s, which leaves", schedule->seed,
                  server->id);
      if (now_ns < server->until_ns)
        fail_msg ("seed %u: sent to %s during its pause", schedule->seed,
                  server->id);
    }
}

/* Answer one of the attempts under way.  WHAT 0: the server announces that it
   leaves; 1: it refuses and asks for a pause; 2: neither.  */
static void
answer_random (schedule_t *schedule, unsigned what)
{
  if (!schedule->sent->len)
    return;
  guint at = (guint)gsl_rng_uniform_int (schedule->rng, schedule->sent->len);
  sent_attempt_t sent = g_array_index (schedule->sent, sent_attempt_t, at);
  g_array_remove_index_fast (schedule->sent, at);
  server_truth_t *server = server_of (schedule, sent.server);
  bool leaving = what == 0;
  int64_t pause_ms
      = what == 1 ? 1 + (int64_t)gsl_rng_uniform_int (schedule->rng, 3000) : 0;
  if (!kwf_core_may_send (schedule->world->core, sent.attempt))
    {
      core_world_step (
          schedule->world,
          &(kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                          .attempt = { .attempt = sent.attempt,
                                       .request = sent.request,
                                       .failure = KWF_FAIL_NOT_SENT } });
      return;
    }
  if (leaving)
    server->leaves = true;
  if (pause_ms)
    server->until_ns = MAX (server->until_ns, schedule->world->clock.now_ns
                                                  + pause_ms * KWF_NS_PER_MS);
  if (leaving || pause_ms)
    {
      feed_notice (schedule->world, &sent, leaving, pause_ms);
      check_sent (schedule);
    }
  end_attempt (schedule->world, &sent, pause_ms ? 503 : 200, pause_ms != 0);
}

static void
random_step (schedule_t *schedule, kwf_handle_t next)
{
  core_world_t *world = schedule->world;
  unsigned what = (unsigned)gsl_rng_uniform_int (schedule->rng, 100);
  if (what < 45)
    core_world_request (world, next, what < 20 ? "/read/x" : "/draft/x",
                        what < 20 ? NULL : "m");
  else if (what < 48)
    answer_random (schedule, 0);
  else if (what < 56)
    answer_random (schedule, 1);
  else if (what < 80)
    answer_random (schedule, 2);
  else if (what < 95)
    core_world_advance (world,
                        (int64_t)gsl_rng_uniform_int (schedule->rng, 700));
  else
    core_world_servers_at (world, 0);
}

static void
nothing_is_sent_against_a_notice (void **state)
{
  (void)state;
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  int n_checks = 0;
  for (unsigned seed = 1; seed <= 400; seed++)
    {
      void *world;
      core_world_setup_servers (&world);
      gsl_rng_set (rng, seed);
      schedule_t schedule = {
        .world = world,
        .rng = rng,
        .sent = g_array_new (FALSE, TRUE, sizeof (sent_attempt_t)),
        .servers
        = { { .id = "d1" }, { .id = "d2" }, { .id = "e1" }, { .id = "e2" } },
        .seed = seed
      };
      for (kwf_handle_t i = 1; i <= 150; i++)
        {
          random_step (&schedule, i);
          check_sent (&schedule);
        }
      n_checks += schedule.n_checks;
      g_array_free (schedule.sent, TRUE);
      core_world_teardown (&world);
    }
  gsl_rng_free (rng);
  assert_in_range (n_checks, 1000, 100000);
}

#define TEST(name)                                                            \
  cmocka_unit_test_setup_teardown (name, core_world_setup_servers,            \
                                   core_world_teardown)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (head_of_a_stream_tells_that_a_server_leaves),
    TEST (waiting_requests_go_elsewhere),
    TEST (older_entries_do_not_take_leaving_back),
    TEST (late_list_does_not_take_leaving_back),
    TEST (new_process_does_not_leave),
    TEST (engine_that_stays_is_asked),
    TEST (leaving_is_told_between_instances),
    TEST (pause_is_kept_and_ends),
    TEST (callers_return_apart_when_all_copies_pause),
    TEST (pauses_of_one_copy_cost_few_attempts),
    TEST (notices_outlast_a_new_configuration),
    cmocka_unit_test (nothing_is_sent_against_a_notice),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
