/* Evacuated data centres.  The load replayed is steady traffic to servers of
   two data centres while the operator evacuates one, takes it back, or
   evacuates both.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <gsl/gsl_rng.h>

#include "common-core.h"
#include "lib/revision.h"
#include "platform/platform-internal.h"
#include "platform/rows-json.h"

static const char *const own[] = { "c" };
static const char *const both[] = { "c", "x" };
static const char *const unknown[] = { "mars" };

/* Desks and engines with digit 1 in data centre "c", the instance's own one,
   those with digit 2 in "x".  Engine "e2" is empty, "e1" holds model "m".  */
static void
feed_servers (core_world_t *world, int64_t revision)
{
  static const kwf_resident_t model = { .name = "m", .version = "" };
  static const char *const ids[] = { "d1", "d2", "e1", "e2" };
  kwf_member_t members[G_N_ELEMENTS (ids)];
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    members[i] = (kwf_member_t){ .id = ids[i],
                                 .kind = i < 2 ? KWF_MEMBER_SERVICE
                                               : KWF_MEMBER_ENGINE,
                                 .name = i < 2 ? "desk" : "models",
                                 .address = "127.0.0.1:11",
                                 .data_centre = i % 2 ? "x" : "c",
                                 .described = true,
                                 .revision = revision + (int64_t)i,
                                 .incarnation = 1,
                                 .slots = 6,
                                 .models = &model,
                                 .n_models = i == 2 };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_MEMBERS,
                                          .members = { .valid = true,
                                                       .members = members,
                                                       .n_members = 4 } });
}

/* The store, at REVISION, shows the first N of NAMES, whose rows have
   REVISIONS.  */
static void
show (core_world_t *world, int64_t revision, const char *const *names,
      const int64_t *revisions, size_t n)
{
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_EVACUATIONS,
                                   .evacuations = { .revision = revision,
                                                    .data_centres = names,
                                                    .revisions = revisions,
                                                    .n = n } });
}

static void
evacuate (core_world_t *world, const char *const *names, size_t n)
{
  static const int64_t revisions[] = { 1, 1 };
  show (world, 1, names, revisions, n);
}

static bool
logs_event (const core_world_t *world, int number)
{
  bool any = false;
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      any |= effect->type == KWF_FX_LOG && effect->log.number == number;
    }
  return any;
}

/* The digit of the server that request NUMBER to PATH is sent to; 0: none.  */
static char
sent_to (core_world_t *world, kwf_handle_t number, const char *path)
{
  core_world_request (world, number, path, path[1] == 'd' ? "m" : NULL);
  const kwf_effect_t *effect = core_world_effect (world, KWF_FX_ATTEMPT_START);
  if (!effect)
    return '\0';
  return effect->start.server[1];
}

/* Guards against requests to a data centre after its evacuation, and against
   servers that stay unused after it was taken back at once.  */
static void
evacuated_data_centre_gets_no_requests (void **state)
{
  core_world_t *world = *state;
  evacuate (world, own, 1);
  assert_true (logs_event (world, 270));
  core_world_step (
      world,
      &(kwf_event_t){ .type = KWF_EV_OPERATOR,
                      .operator_ = { .command = KWF_OPERATOR_STATUS } });
  const char *status
      = core_world_effect (world, KWF_FX_OPERATOR_REPLY)->operator_reply.body;
  assert_non_null (strstr (status, "\"state\": \"evacuated\""));
  for (kwf_handle_t i = 1; i < 40; i++)
    assert_int_equal (sent_to (world, i, "/read/x"), '2');
  feed_servers (world, 11);
  assert_int_equal (sent_to (world, 50, "/read/x"), '2');
  evacuate (world, own, 0);
  assert_true (logs_event (world, 271));
  bool first = false;
  for (kwf_handle_t i = 60; i < 100; i++)
    first |= sent_to (world, i, "/read/x") == '1';
  assert_true (first);
  /* Both at a time: a request is refused at once with a retry time.  */
  evacuate (world, both, 2);
  assert_int_equal (sent_to (world, 200, "/read/x"), 0);
  const kwf_effect_t *reply = core_world_effect (world, KWF_FX_REPLY);
  assert_non_null (reply);
  assert_int_equal (reply->reply.status, 503);
  assert_true (reply->reply.retry_after_ms > 0);
}

/* Guards against a request or order that waits for its connection while the
   evacuation is learnt, and is written all the same.  */
static void
decision_is_checked_again_at_the_send (void **state)
{
  core_world_t *world = *state;
  core_world_request (world, 1, "/draft/x", "m");
  kwf_attempt_start_t sent
      = core_world_effect (world, KWF_FX_ATTEMPT_START)->start;
  assert_true (kwf_core_may_send (world->core, sent.attempt));
  assert_true (kwf_core_may_order (world->core, "e1"));
  evacuate (world, own, 1);
  /* A stream that runs there goes on.  */
  assert_null (core_world_effect (world, KWF_FX_ATTEMPT_CANCEL));
  assert_false (kwf_core_may_send (world->core, sent.attempt));
  assert_false (kwf_core_may_order (world->core, "e1"));
  assert_true (kwf_core_may_order (world->core, "e2"));
  evacuate (world, own, 0);
  assert_true (kwf_core_may_send (world->core, sent.attempt));
}

/* Guards against a name without servers that is logged again and again, and
   against servers that are listed after their evacuation was read.  */
static void
unknown_data_centre_is_kept (void **state)
{
  core_world_t *world = *state;
  evacuate (world, own, 1);
  assert_false (logs_event (world, 272));
  feed_servers (world, 1);
  assert_int_equal (sent_to (world, 1, "/read/x"), '2');
  evacuate (world, unknown, 1);
  assert_true (logs_event (world, 272));
  feed_servers (world, 11);
  assert_false (logs_event (world, 272));
}

/* Whether requests are sent to the server with DIGIT.  They are spaced, so
   that no limit refuses them.  */
static bool
uses (core_world_t *world, char digit)
{
  static kwf_handle_t last = 5000;
  bool any = false;
  for (int i = 0; i < 20; i++)
    {
      core_world_advance (world, 20);
      any |= sent_to (world, ++last, "/read/x") == digit;
    }
  return any;
}

/* Guards against requests to an evacuated data centre because the store came
   back from a copy that lacks the evacuation, and against one that is kept
   though nobody writes it again, or after it was lifted.  */
static void
older_copy_lifts_an_evacuation (void **state)
{
  core_world_t *world = *state;
  show (world, revision_make (1, 9), own, (int64_t[]){ 9 }, 1);
  assert_false (uses (world, '1'));
  show (world, revision_make (2, 5), own, NULL, 0);
  assert_true (logs_event (world, 278));
  assert_false (uses (world, '1'));
  /* Another change while the operator has not written it again.  */
  show (world, revision_make (2, 6), both + 1,
        (int64_t[]){ revision_make (2, 6) }, 1);
  assert_false (uses (world, '1'));
  show (world, revision_make (2, 7), both,
        (int64_t[]){ revision_make (2, 7), revision_make (2, 6) }, 2);
  assert_false (uses (world, '1'));
  show (world, revision_make (2, 8), both + 1,
        (int64_t[]){ revision_make (2, 6) }, 1);
  assert_true (uses (world, '1'));
  /* It was lifted in truth, while nobody here saw it.  */
  show (world, revision_make (3, 1), own, NULL, 0);
  assert_false (uses (world, '2'));
  core_world_advance (world, 4100);
  show (world, revision_make (3, 1), own, NULL, 0);
  assert_true (uses (world, '2'));
}

/* Guards against a data centre that is emptied because the store came back
   from a copy in which its evacuation was not yet lifted, and against one that
   is used though it is evacuated anew.  */
static void
older_copy_brings_an_evacuation_back (void **state)
{
  core_world_t *world = *state;
  int64_t first = revision_make (1, 3);
  show (world, revision_make (1, 3), own, &first, 1);
  show (world, revision_make (1, 9), own, NULL, 0);
  assert_true (uses (world, '1'));
  int64_t copied = revision_make (2, 3);
  show (world, revision_make (2, 5), own, &copied, 1);
  assert_true (logs_event (world, 278));
  assert_true (uses (world, '1'));
  int64_t again = revision_make (2, 6);
  show (world, revision_make (2, 6), own, &again, 1);
  assert_false (uses (world, '1'));
  show (world, revision_make (2, 7), own, NULL, 0);
  assert_true (uses (world, '1'));
  /* Its version shows that it is not of the copy.  */
  int64_t later = revision_make (3, 7);
  show (world, revision_make (3, 7), own, &later, 1);
  assert_false (uses (world, '1'));
}

/* What a schedule has sent so far.  */
typedef struct
{
  GArray *attempts; /* of kwf_handle_t: open */
  GArray *requests; /* of kwf_handle_t: of these */
  int n_sent;
  int n_repeats;
  int n_orders;
} sent_t;

/* Take the sends of the last step to SENT.  None may go to a data centre of
   the first N of "c" and "x", whose servers have the digits 1 and 2.  Return
   the digit of an engine that was asked for a report; 0: none.  */
static char
take_sent (const core_world_t *world, size_t n, sent_t *sent)
{
  char asked = 0;
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      const char *server = "s9";
      if (effect->type == KWF_FX_PROBE)
        asked = effect->probe.server[1];
      else if (effect->type == KWF_FX_ORDER)
        {
          server = effect->order.server;
          sent->n_orders++;
        }
      else if (effect->type == KWF_FX_ATTEMPT_START)
        {
          server = effect->start.server;
          sent->n_sent++;
          for (guint k = 0; k < sent->requests->len; k++)
            sent->n_repeats += g_array_index (sent->requests, kwf_handle_t, k)
                               == effect->start.request;
          g_array_append_val (sent->attempts, effect->start.attempt);
          g_array_append_val (sent->requests, effect->start.request);
        }
      assert_true ((size_t)(server[1] - '0') > n);
    }
  return asked;
}

static void
report_of (core_world_t *world, char digit)
{
  static const kwf_resident_t model = { .name = "m", .version = "" };
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_REPORT,
                             .report = { .server = digit == '1' ? "e1" : "e2",
                                         .valid = true,
                                         .incarnation = 1,
                                         .fencing = true,
                                         .resume = true,
                                         .orders = 3,
                                         .models = &model,
                                         .n_models = digit == '1' } });
}

static void
break_attempt (core_world_t *world, const sent_t *sent, guint i)
{
  core_world_step (
      world,
      &(kwf_event_t){
          .type = KWF_EV_ATTEMPT_FAILED,
          .attempt
          = { .attempt = g_array_index (sent->attempts, kwf_handle_t, i),
              .request = g_array_index (sent->requests, kwf_handle_t, i),
              .failure = KWF_FAIL_BROKEN } });
}

static void
run_schedule (core_world_t *world, unsigned long seed, sent_t *sent)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (rng, seed);
  size_t n = 0;
  for (int step = 0; step < 400; step++)
    {
      kwf_handle_t id = seed * 1000 + (kwf_handle_t)step;
      unsigned long kind = gsl_rng_uniform_int (rng, 8);
      if (kind == 0)
        evacuate (world, both, n = gsl_rng_uniform_int (rng, 3));
      else if (kind == 1)
        feed_servers (world, (int64_t)id * 10);
      else if (kind == 2 && sent->attempts->len)
        break_attempt (world, sent,
                       (guint)gsl_rng_uniform_int (rng, sent->attempts->len));
      else if (kind < 5)
        core_world_advance (world, 100);
      else
        core_world_request (world, id, kind == 5 ? "/draft/x" : "/read/x",
                            kind == 5 ? "m" : NULL);
      for (char asked; (asked = take_sent (world, n, sent));)
        report_of (world, asked);
    }
  gsl_rng_free (rng);
}

/* Guards against sends of any kind to an evacuated server: first attempts,
   retries, hedges and orders, in seeded random order.  */
static void
nothing_is_sent_in_seeded_schedules (void **state)
{
  (void)state;
  sent_t sent
      = { .attempts = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t)),
          .requests = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t)) };
  for (unsigned long seed = 1; seed <= 40; seed++)
    {
      core_world_t world;
      core_world_start (&world);
      feed_servers (&world, 1);
      run_schedule (&world, seed, &sent);
      core_world_stop (&world);
      g_array_set_size (sent.attempts, 0);
      g_array_set_size (sent.requests, 0);
    }
  print_message ("sent %d, again %d, orders %d\n", sent.n_sent, sent.n_repeats,
                 sent.n_orders);
  assert_true (sent.n_sent > 1000 && sent.n_repeats > 100
               && sent.n_orders > 10);
  g_array_free (sent.attempts, TRUE);
  g_array_free (sent.requests, TRUE);
}

/* Feed the configuration of VERSION, in which the routes have the allowed
   regions HOME, and organisation "o" "north" and "south".  */
static void
feed_config (core_world_t *world, int64_t version, const char *home)
{
  static const char *const route
      = "{\"name\":\"%s\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s/\","
        "\"backend\":\"%s\",\"kind\":\"idempotent\",\"timeout_ms\":9000,"
        "\"allowed_regions\":%s}";
  char *read = g_strdup_printf (route, "r", "read", "desk", home);
  char *draft = g_strdup_printf (route, "d", "draft", "models", home);
  char *text = g_strdup_printf (
      "{\"services\":[{\"name\":\"desk\"},{\"name\":\"models\",\"engine\":{"
      "\"weights_mb\":200000,\"loads_per_s\":2,\"adapter_slots\":8,"
      "\"models\":[{\"name\":\"m\",\"weights_mb\":70000,\"load_s\":3}]}}],"
      "\"routes\":[%s,%s],\"tenants\":[{\"name\":\"o\",\"api_keys\":[\"s\"],"
      "\"rate_per_s\":1000,\"burst\":1000,\"allowed_regions\":[\"north\","
      "\"south\"]}]}",
      read, draft);
  g_free (read);
  g_free (draft);
  static const kwf_key_grant_t key = { "k", "o" };
  platform_config_t config;
  assert_true (platform_config_decode (text, "p", &config));
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_CONFIG,
                                          .config = { .version = version,
                                                      .lists = &config.lists,
                                                      .keys = &key,
                                                      .n_keys = 1 } });
  platform_config_clear (&config);
  g_free (text);
}

/* Guards against requests that leave their home regions: by the intersection
   of what route and organisation allow, also while the home region is
   evacuated, after a change of the configuration at the send, and with an
   entry that is unknown or no text, or a text in place of the list.  */
static void
requests_stay_in_their_home_regions (void **state)
{
  (void)state;
  core_world_t world;
  core_world_start_regions (&world);
  feed_config (&world, 2, "[\"south\",\"east\"]");
  feed_servers (&world, 1);
  for (kwf_handle_t i = 1; i < 20; i++)
    assert_int_equal (sent_to (&world, i, "/read/x"), '2');
  kwf_handle_t attempt
      = core_world_effect (&world, KWF_FX_ATTEMPT_START)->start.attempt;
  evacuate (&world, both + 1, 1);
  assert_int_equal (sent_to (&world, 30, "/read/x"), 0);
  evacuate (&world, both, 0);
  assert_true (kwf_core_may_send (world.core, attempt));
  assert_false (logs_event (&world, 275));
  feed_config (&world, 3, "[\"north\"]");
  assert_false (kwf_core_may_send (world.core, attempt));
  assert_int_equal (sent_to (&world, 40, "/read/x"), '1');
  feed_config (&world, 4, "[7,\"east\"]");
  assert_true (logs_event (&world, 275));
  assert_int_equal (sent_to (&world, 50, "/read/x"), 0);
  feed_config (&world, 5, "[]");
  assert_int_not_equal (sent_to (&world, 60, "/read/x"), 0);
  feed_config (&world, 6, "\"south\"");
  assert_int_equal (sent_to (&world, 70, "/read/x"), 0);
  core_world_stop (&world);
}

/* Guards against requests that wait in vain for a copy in their home region,
   since another region has one.  */
static void
model_is_loaded_in_the_home_region (void **state)
{
  (void)state;
  sent_t sent
      = { .attempts = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t)),
          .requests = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t)) };
  core_world_t world;
  core_world_start_regions (&world);
  feed_config (&world, 2, "[\"south\"]");
  feed_servers (&world, 1);
  for (kwf_handle_t i = 1; i < 40 && !sent.n_orders; i++)
    {
      assert_int_equal (sent_to (&world, i, "/draft/x"), 0);
      for (char asked; (asked = take_sent (&world, 1, &sent));)
        report_of (&world, asked);
      core_world_advance (&world, 50);
      for (char asked; (asked = take_sent (&world, 1, &sent));)
        report_of (&world, asked);
    }
  assert_int_equal (sent.n_orders, 1);
  core_world_stop (&world);
  g_array_free (sent.attempts, TRUE);
  g_array_free (sent.requests, TRUE);
}

/* Guards against a request that is refused for want of a copy while its model
   is being loaded elsewhere, since an evacuated engine still holds it.  */
static void
request_waits_for_the_copy_that_is_loaded_elsewhere (void **state)
{
  core_world_t *world = *state;
  evacuate (world, own, 1);
  kwf_message_t message = { .type = KWF_MSG_RESIDENCY,
                            .residency = { "e2", 1, .model = "m",
                                           .adapter = "", .present = true } };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = "b",
                                                    .message = &message } });
  assert_int_equal (sent_to (world, 1, "/draft/x"), 0);
  for (int i = 0; i < 27; i++)
    {
      core_world_advance (world, 100);
      assert_null (core_world_effect (world, KWF_FX_REPLY));
    }
}

/* Guards against an evacuation that ends because an answer has a row that
   cannot be read, and against a removal that such an answer hides for good. */
static void
unreadable_row_removes_no_other (void **state)
{
  (void)state;
  static const char *const bodies[]
      = { "{\"rows\":[{\"key\":\"evacuate/c\" 1}],\"ver\":9,\"now_ms\":1}",
          "{\"rows\":[],\"ver\":9,\"now_ms\":1}" };
  GHashTable *known = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_add (known, (char *)"evacuate/c");
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      client_answer_t answer
          = { .body = bodies[i], .body_size = strlen (bodies[i]) };
      rows_json_t rows;
      assert_true (rows_json_decode (&rows, &answer) && rows.is_list);
      rows_json_add_removed (&rows, known);
      rows_json_drop_known (&rows, 9);
      assert_int_equal (rows.rows->len, i);
      rows_json_clear (&rows);
    }
  g_hash_table_unref (known);
}

static int
set_up (void **state)
{
  core_world_setup (state);
  feed_servers (*state, 1);
  return 0;
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (evacuated_data_centre_gets_no_requests,
                                     set_up, core_world_teardown),
    cmocka_unit_test_setup_teardown (decision_is_checked_again_at_the_send,
                                     set_up, core_world_teardown),
    cmocka_unit_test_setup_teardown (older_copy_lifts_an_evacuation, set_up,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (older_copy_brings_an_evacuation_back,
                                     set_up, core_world_teardown),
    cmocka_unit_test_setup_teardown (unknown_data_centre_is_kept,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (
        request_waits_for_the_copy_that_is_loaded_elsewhere, set_up,
        core_world_teardown),
    cmocka_unit_test (unreadable_row_removes_no_other),
    cmocka_unit_test (requests_stay_in_their_home_regions),
    cmocka_unit_test (model_is_loaded_in_the_home_region),
    cmocka_unit_test (nothing_is_sent_in_seeded_schedules),
  };
  return cmocka_run_group_tests_name ("evacuation", tests, NULL, NULL);
}
