/* Which instance polls the platform's tables, to whom changes are passed on,
   and how instances exchange the load of the engines.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"

static void
link_is (core_world_t *world, const char *instance, bool up)
{
  core_world_step (
      world,
      &(kwf_event_t){ .type = up ? KWF_EV_PEER_UP : KWF_EV_PEER_DOWN,
                      .peer = { .instance = instance, .incarnation = 1 } });
}

/* INSTANCE of DATA_CENTRE joins, and its link comes up.  */
static void
join (core_world_t *world, const char *instance, const char *data_centre)
{
  char *key = g_strconcat ("session/", instance, NULL);
  char *row = g_strdup_printf (
      "{\"incarnation\":1,\"counter\":1,\"caller_address\":\"127.0.0.1:9\","
      "\"peer_address\":\"127.0.0.1:9\",\"data_centre\":\"%s\"}",
      data_centre);
  core_world_row (world, key, row);
  /* "b" is linked from the start; the test's rows come from it.  */
  if (strcmp (instance, "b") != 0)
    link_is (world, instance, true);
  g_free (key);
  g_free (row);
}

static void
add_name (const char *instance, void *data)
{
  g_string_append_printf (data, "%s ", instance);
}

static void
assert_targets (const core_world_t *world, bool own, const char *expected)
{
  GString *names = g_string_new (NULL);
  kwf_core_feed_targets (world->core, own, add_name, names);
  assert_string_equal (names->str, expected);
  g_string_free (names, TRUE);
}

/* Guards against changes that miss an instance or reach it twice, and against
   two readers.  The instance under test is "a" in data centre "c".  */
static void
roles_follow_from_the_members (void **state)
{
  core_world_t *world = *state;
  /* An instance that has just started waits for others to pass changes on, but
     no longer than a change may take to be in force.  */
  int64_t starting_ns = kwf_core_feed_max_age_ns (world->core);
  assert_true (starting_ns > 0 && starting_ns < 2 * KWF_NS_PER_S);
  core_world_advance (world, 3000);
  assert_int_equal (kwf_core_feed_max_age_ns (world->core), 0);
  join (world, "b", "c");
  join (world, "d", "e");
  join (world, "f", "e");
  join (world, "g", "h");
  assert_int_equal (kwf_core_feed_max_age_ns (world->core), 0);
  assert_targets (world, true, "b d g ");
  /* A hub elsewhere with a name before "a" becomes the reader, and "a" the
     relay of its data centre.  */
  join (world, "0", "e");
  int64_t passes_ns = kwf_core_feed_max_age_ns (world->core);
  assert_true (passes_ns > 0 && passes_ns < 2 * KWF_NS_PER_S);
  assert_targets (world, false, "b ");
  assert_targets (world, true, "b 0 ");
  /* Another hub in data centre "c" with a name before "a": "a" becomes a
     leaf.  */
  join (world, "00", "c");
  int64_t listens_ns = kwf_core_feed_max_age_ns (world->core);
  assert_true (listens_ns > passes_ns && listens_ns < 2 * KWF_NS_PER_S);
  assert_targets (world, false, "");
  /* What it had to read itself, its relay and the reader may lack.  */
  assert_targets (world, true, "00 0 ");
  /* Both links are lost.  */
  link_is (world, "0", false);
  link_is (world, "00", false);
  assert_int_equal (kwf_core_feed_max_age_ns (world->core), 0);
  assert_targets (world, true, "b d g ");
}

static void
add_address (const char *address, const char *data_centre, void *data)
{
  (void)data_centre;
  g_string_append_printf (data, "%s ", address);
}

static void
assert_addresses (const core_world_t *world, const char *expected)
{
  GString *addresses = g_string_new (NULL);
  kwf_core_addresses (world->core, NULL, 64, add_address, addresses);
  assert_string_equal (addresses->str, expected);
  g_string_free (addresses, TRUE);
}

/* Whether the last step sent LEAVE to INSTANCE.  */
static bool
sends_leave (const core_world_t *world, const char *instance)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_PEER_SEND
          && effect->send.message.type == KWF_MSG_LEAVE
          && strcmp (effect->send.instance, instance) == 0)
        return true;
    }
  return false;
}

/* Guards against callers that are still directed to a stopping instance: its
   row shows that only after seconds.  */
static void
leaving_is_announced_at_once (void **state)
{
  core_world_t *world = *state;
  join (world, "b", "c");
  join (world, "d", "e");
  assert_addresses (world, "127.0.0.1:1 127.0.0.1:9 127.0.0.1:9 ");
  kwf_message_t message = { .type = KWF_MSG_LEAVE };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = "d",
                                                    .incarnation = 1,
                                                    .message = &message } });
  assert_addresses (world, "127.0.0.1:1 127.0.0.1:9 ");
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_STOP });
  assert_true (sends_leave (world, "b") && sends_leave (world, "d"));
  link_is (world, "b", false);
  link_is (world, "b", true);
  assert_true (sends_leave (world, "b"));
}

/* The load message that the last step sent to INSTANCE; NULL: none.  */
static const kwf_server_loads_t *
loads_sent_to (const core_world_t *world, const char *instance)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_PEER_SEND
          && effect->send.message.type == KWF_MSG_SERVER_LOADS
          && strcmp (effect->send.instance, instance) == 0)
        return &effect->send.message.loads;
    }
  return NULL;
}

static void
receive_loads (core_world_t *world, const char *instance,
               kwf_load_scope_t scope, int64_t open, int64_t reading)
{
  const kwf_server_load_t load = { "e1", open, reading };
  kwf_message_t message
      = { .type = KWF_MSG_SERVER_LOADS,
          .loads = { .scope = scope, .loads = &load, .n_loads = 1 } };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = instance,
                                                    .incarnation = 1,
                                                    .message = &message } });
}

/* The server that gets the next request.  */
static const char *
next_server (core_world_t *world, kwf_handle_t handle)
{
  core_world_request (world, handle, "/draft/x", "m");
  const kwf_effect_t *sent = core_world_effect (world, KWF_FX_ATTEMPT_START);
  return sent ? sent->start.server : "";
}

/* Guards against sums that count an instance twice or leave it out.  */
static void
relay_adds_up_loads (void **state)
{
  core_world_t *world = *state;
  join (world, "b", "c");
  join (world, "d", "e");
  receive_loads (world, "b", KWF_LOAD_SCOPE_OWN, 3, 1);
  receive_loads (world, "d", KWF_LOAD_SCOPE_CENTRE, 5, 2);
  core_world_advance (world, 500);
  const kwf_server_loads_t *centre = loads_sent_to (world, "d");
  const kwf_server_loads_t *fleet = loads_sent_to (world, "b");
  assert_non_null (centre);
  assert_non_null (fleet);
  assert_int_equal (centre->scope, KWF_LOAD_SCOPE_CENTRE);
  assert_int_equal (centre->loads[0].open, 3);
  assert_int_equal (centre->loads[0].reading, 1);
  assert_int_equal (fleet->scope, KWF_LOAD_SCOPE_FLEET);
  assert_int_equal (fleet->loads[0].open, 8);
  assert_int_equal (fleet->loads[0].reading, 3);
}

/* Guards against prompts that all instances send to the same engine, and
   against an outdated load that keeps requests away.  */
static void
load_of_others_counts_until_it_is_stale (void **state)
{
  core_world_t *world = *state;
  join (world, "00", "c");
  core_world_servers (world);
  receive_loads (world, "00", KWF_LOAD_SCOPE_FLEET, 6, 6);
  core_world_advance (world, 500);
  const kwf_server_loads_t *own = loads_sent_to (world, "00");
  assert_non_null (own);
  assert_int_equal (own->scope, KWF_LOAD_SCOPE_OWN);
  assert_int_equal (own->n_loads, 0);
  for (kwf_handle_t i = 1; i <= 3; i++)
    assert_string_equal (next_server (world, i), "e2");
  core_world_advance (world, 2000);
  assert_string_equal (next_server (world, 4), "e1");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (roles_follow_from_the_members,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (leaving_is_announced_at_once,
                                     core_world_setup, core_world_teardown),
    cmocka_unit_test_setup_teardown (relay_adds_up_loads, core_world_setup,
                                     core_world_teardown),
    cmocka_unit_test_setup_teardown (load_of_others_counts_until_it_is_stale,
                                     core_world_setup, core_world_teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
