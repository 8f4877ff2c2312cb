/* Orders to engines that count the orders that they have accepted.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "lib/engine-control.h"
#include "lib/lists-build.h"

typedef struct
{
  server_t server;
  engine_control_t *engine;
  kwf_effects_t *effects;
  kwf_resident_t models[3];
  kwf_member_t member;
  int64_t now_ns;
} fixture_t;

static void
apply_member (fixture_t *f, size_t n_models)
{
  f->member.revision++;
  f->member.n_models = n_models;
  engine_control_apply_member (f->engine, &f->member, f->now_ns);
}

/* Set up the fixture.  */
static int
start (void **state)
{
  static const char *const adapters[] = { "a1" };
  fixture_t *f = g_new0 (fixture_t, 1);
  /* NAME is the service that the engine belongs to.  */
  f->server = (server_t){ .id = "e1", .name = "models" };
  f->engine = engine_control_new (&f->server);
  f->engine->usable = true;
  f->effects = kwf_effects_new ();
  f->models[0] = (kwf_resident_t){ "m", "", adapters, 1 };
  f->models[1] = (kwf_resident_t){ "n", "", NULL, 0 };
  f->member = (kwf_member_t){ .id = "e1",
                              .address = "127.0.0.1:1",
                              .described = true,
                              .incarnation = 5,
                              .models = f->models };
  f->now_ns = 100 * KWF_NS_PER_S;
  apply_member (f, 1);
  *state = f;
  return 0;
}

static int
stop (void **state)
{
  fixture_t *f = *state;
  engine_control_free (f->engine);
  kwf_effects_free (f->effects);
  g_free (f);
  return 0;
}

/* Send an order and return it.  */
static const kwf_order_t *
send_order (fixture_t *f, order_kind_t kind, const char *model,
            const char *adapter)
{
  engine_control_context_t context = { .now_ns = f->now_ns,
                                       .token = 7,
                                       .holder = "a",
                                       .expected_ns = KWF_NS_PER_S,
                                       .effects = f->effects };
  kwf_effects_clear (f->effects);
  engine_control_send_order (f->engine, kind, model, adapter, &context);
  return &kwf_effects_at (f->effects, 0)->order;
}

/* Handle the reply to the order in flight.  STATUS 0: no reply came.  */
static engine_control_result_t
reply (fixture_t *f, int status, const char *code)
{
  char id[32];
  g_strlcpy (id, f->engine->order_id, sizeof id);
  kwf_order_event_t event = { .id = id, .status = status, .code = code };
  return engine_control_handle_reply (f->engine, &event, f->now_ns);
}

/* Guards against two orders that were made from the same state and are both
   carried out.  */
static void
each_order_names_the_number_before_it (void **state)
{
  fixture_t *f = *state;
  const kwf_order_t *first = send_order (f, ORDER_LOAD, "m", "a2");
  assert_int_equal (first->after, 0);
  assert_int_equal (first->fence, 7);
  assert_string_equal (first->holder, "a");
  assert_false (engine_control_is_ready (f->engine, f->now_ns));
  assert_int_equal (reply (f, 202, NULL), ENGINE_CONTROL_ADAPTER_LOAD);
  assert_true (engine_control_has_adapter (f->engine, "m", "a2"));
  assert_int_equal (send_order (f, ORDER_UNLOAD, "m", "a1")->after, 1);
  assert_int_equal (reply (f, 200, NULL), ENGINE_CONTROL_ADAPTER_UNLOAD);
  assert_int_equal (send_order (f, ORDER_LOAD, "n", "")->after, 2);
}

/* Guards against orders based on a state that an unanswered order may have
   changed.  */
static void
unanswered_order_needs_a_report (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "n", "");
  reply (f, 0, NULL);
  f->now_ns += KWF_NS_PER_S;
  assert_false (engine_control_is_ready (f->engine, f->now_ns));
  engine_control_context_t context
      = { .now_ns = f->now_ns, .token = 7, .effects = f->effects };
  kwf_effects_clear (f->effects);
  /* The request for a load report is a probe.  */
  engine_control_request_report (f->engine, &context);
  assert_int_equal (kwf_effects_count (f->effects), 1);
  assert_int_equal (kwf_effects_at (f->effects, 0)->type, KWF_FX_PROBE);
  kwf_report_event_t report = { .valid = true,
                                .incarnation = 5,
                                .orders = 3,
                                .models = f->models,
                                .n_models = 2 };
  engine_control_apply_report (f->engine, &report, f->now_ns);
  f->now_ns += KWF_NS_PER_S;
  assert_true (engine_control_is_ready (f->engine, f->now_ns));
  assert_int_equal (f->engine->n_accepted, 3);
  assert_non_null (engine_control_find_model (f->engine, "n"));
}

/* Guards against memory that is used twice: a membership entry written during
   a load doesn't list the model, and may be read after a load report has shown
   that the load is done.  */
static void
entry_from_before_a_report_changes_nothing (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "n", "");
  assert_int_equal (reply (f, 202, NULL), ENGINE_CONTROL_MODEL_LOAD);
  f->now_ns += 1600 * KWF_NS_PER_MS;
  kwf_report_event_t report = { .valid = true,
                                .incarnation = 5,
                                .orders = 1,
                                .models = f->models,
                                .n_models = 2 };
  engine_control_apply_report (f->engine, &report, f->now_ns);
  assert_int_equal (engine_control_find_model (f->engine, "n")->state,
                    ENGINE_MODEL_RESIDENT);
  /* The entry is as old as a heartbeat of 1.2 s and a lag of 0.8 s allow.  */
  f->now_ns += 600 * KWF_NS_PER_MS;
  apply_member (f, 1);
  assert_non_null (engine_control_find_model (f->engine, "n"));
}

/* Guards against memory that is used twice: a membership entry that was
   already applied, or that was written before the last order, doesn't list a
   model that was loaded since.  */
static void
older_entry_changes_nothing (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "n", "");
  assert_int_equal (reply (f, 202, NULL), ENGINE_CONTROL_MODEL_LOAD);
  f->now_ns += KWF_NS_PER_S;
  apply_member (f, 1);
  assert_int_equal (engine_control_find_model (f->engine, "n")->state,
                    ENGINE_MODEL_LOADING);
  f->now_ns += 10 * KWF_NS_PER_S;
  engine_control_apply_member (f->engine, &f->member, f->now_ns);
  assert_non_null (engine_control_find_model (f->engine, "n"));
  apply_member (f, 2);
  assert_int_equal (engine_control_find_model (f->engine, "n")->state,
                    ENGINE_MODEL_RESIDENT);
  assert_true (engine_control_is_ready (f->engine, f->now_ns));
}

/* Guards against a second order to an engine that carries out a load, and
   against waiting endlessly for the load's end when the membership list can't
   be read.  */
static void
engine_is_asked_whether_a_load_is_done (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "n", "");
  reply (f, 202, NULL);
  assert_false (engine_control_is_ready (f->engine, f->now_ns));
  engine_control_context_t context = { .token = 7, .effects = f->effects };
  kwf_effects_clear (f->effects);
  context.now_ns = f->now_ns + KWF_NS_PER_S;
  engine_control_request_report (f->engine, &context);
  assert_int_equal (kwf_effects_count (f->effects), 0);
  context.now_ns = f->now_ns + 2 * KWF_NS_PER_S;
  /* The request for a load report is a probe.  */
  engine_control_request_report (f->engine, &context);
  assert_int_equal (kwf_effects_count (f->effects), 1);
  kwf_report_event_t report = { .valid = true,
                                .incarnation = 5,
                                .orders = 1,
                                .models = f->models,
                                .n_models = 2 };
  engine_control_apply_report (f->engine, &report, context.now_ns);
  assert_int_equal (engine_control_find_model (f->engine, "n")->state,
                    ENGINE_MODEL_RESIDENT);
}

/* Guards against a leader that continues with an old fencing token.  */
static void
stale_token_is_told (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "n", "");
  assert_int_equal (reply (f, 412, "stale_fence"), ENGINE_CONTROL_STALE_TOKEN);
  assert_null (engine_control_find_model (f->engine, "n"));
}

/* Guards against orders with the order count of the engine's former
   process.  */
static void
restarted_engine_counts_anew (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "n", "");
  reply (f, 202, NULL);
  f->member.incarnation = 6;
  apply_member (f, 0);
  assert_int_equal (f->engine->n_accepted, 0);
  assert_null (engine_control_find_model (f->engine, "n"));
  assert_true (engine_control_is_ready (f->engine, f->now_ns));
}

/* Guards against memory that is used twice after a restart of an engine: its
   order count starts from 0, so an order that was not answered may match it
   and be accepted.  */
static void
late_load_keeps_its_memory_over_a_restart (void **state)
{
  fixture_t *f = *state;
  kwf_lists_t *lists = lists_new ();
  lists_add_model (lists, &(kwf_model_t){ .name = "n", .memory_mb = 70000 });
  send_order (f, ORDER_LOAD, "n", "");
  reply (f, 0, NULL);
  assert_int_equal (engine_control_used_mb (f->engine, lists, f->now_ns), 0);
  f->member.incarnation = 6;
  apply_member (f, 0);
  f->now_ns += 5 * KWF_NS_PER_S;
  assert_int_equal (engine_control_used_mb (f->engine, lists, f->now_ns),
                    70000);
  f->now_ns += 15 * KWF_NS_PER_S;
  assert_int_equal (engine_control_used_mb (f->engine, lists, f->now_ns), 0);
  send_order (f, ORDER_LOAD, "n", "");
  reply (f, 0, NULL);
  assert_int_equal (f->engine->unanswered_loads->len, 1);
  kwf_lists_free (lists);
}

/* Guards against more adapters than the engine has slots: an adapter whose
   unload waits for requests still occupies its slot.  */
static void
leaving_adapter_keeps_its_place (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_UNLOAD, "m", "a1");
  assert_int_equal (reply (f, 202, NULL), ENGINE_CONTROL_ADAPTER_UNLOAD);
  assert_false (engine_control_has_adapter (f->engine, "m", "a1"));
  assert_int_equal (engine_control_n_adapters (f->engine), 1);
  f->now_ns += 3 * KWF_NS_PER_S;
  apply_member (f, 1);
  assert_int_equal (engine_control_n_adapters (f->engine), 1);
  assert_false (engine_control_has_adapter (f->engine, "m", "a1"));
  engine_control_context_t context
      = { .now_ns = f->now_ns, .token = 7, .effects = f->effects };
  kwf_effects_clear (f->effects);
  /* The request for a load report is a probe.  */
  engine_control_request_report (f->engine, &context);
  assert_int_equal (kwf_effects_count (f->effects), 1);
  f->models[0].n_adapters = 0;
  kwf_report_event_t report = { .valid = true,
                                .incarnation = 5,
                                .orders = 1,
                                .models = f->models,
                                .n_models = 1 };
  engine_control_apply_report (f->engine, &report, f->now_ns);
  assert_int_equal (engine_control_n_adapters (f->engine), 0);
}

/* Guards against more adapters than the engine has slots: a membership entry
   doesn't list an adapter that is being loaded.  */
static void
coming_adapter_keeps_its_place (void **state)
{
  fixture_t *f = *state;
  send_order (f, ORDER_LOAD, "m", "a2");
  reply (f, 202, NULL);
  f->now_ns += 3 * KWF_NS_PER_S;
  apply_member (f, 1);
  assert_int_equal (engine_control_n_adapters (f->engine), 2);
  f->now_ns += 10 * KWF_NS_PER_S;
  apply_member (f, 1);
  assert_int_equal (engine_control_n_adapters (f->engine), 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (each_order_names_the_number_before_it,
                                     start, stop),
    cmocka_unit_test_setup_teardown (unanswered_order_needs_a_report, start,
                                     stop),
    cmocka_unit_test_setup_teardown (older_entry_changes_nothing, start, stop),
    cmocka_unit_test_setup_teardown (
        entry_from_before_a_report_changes_nothing, start, stop),
    cmocka_unit_test_setup_teardown (engine_is_asked_whether_a_load_is_done,
                                     start, stop),
    cmocka_unit_test_setup_teardown (leaving_adapter_keeps_its_place, start,
                                     stop),
    cmocka_unit_test_setup_teardown (coming_adapter_keeps_its_place, start,
                                     stop),
    cmocka_unit_test_setup_teardown (stale_token_is_told, start, stop),
    cmocka_unit_test_setup_teardown (restarted_engine_counts_anew, start,
                                     stop),
    cmocka_unit_test_setup_teardown (late_load_keeps_its_memory_over_a_restart,
                                     start, stop),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
