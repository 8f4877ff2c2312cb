/* Calls to the platform's stand-in, which runs as a process: both sides follow
   the same protocol, also while the stand-in loses answers.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-http.h"
#include "common-platform.h"
#include "common-process.h"

typedef struct
{
  platform_calls_t calls; /* first member */
  process_t process;
} fixture_t;

static int
set_up (void **state)
{
  static const char *const args[] = { "--listen=127.0.0.1:0", NULL };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  assert_true (process_start (&fixture->process, "standin-platform", args));
  platform_calls_init (&fixture->calls, fixture->process.address);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  platform_calls_clear (&fixture->calls);
  process_stop (&fixture->process);
  g_free (fixture);
  return 0;
}

/* Sets KEY to VALUE if its version is VERSION, and reads all changes under
   "k/" after revision AFTER.  */
static kwf_store_outcome_t
set_row (fixture_t *fixture, const char *key, int64_t version,
         const char *value, int64_t after)
{
  static const char *const prefixes[] = { "k/" };
  kwf_condition_t condition = { key, version };
  kwf_put_t put = { key, value };
  kwf_txn_t txn = { .conditions = &condition,
                    .n_conditions = 1,
                    .puts = &put,
                    .n_puts = 1,
                    .prefixes = prefixes,
                    .n_prefixes = 1,
                    .after = after };
  return platform_calls_txn (&fixture->calls, &txn, 2 * KWF_NS_PER_S);
}

/* Reads what changed under "k/" after revision AFTER into calls.rows.  Returns
   KWF_STORE_COMMITTED if the platform answered.  */
static kwf_store_outcome_t
read_changes (fixture_t *fixture, int64_t after)
{
  static const char *const prefixes[] = { "k/" };
  kwf_txn_t txn = { .prefixes = prefixes, .n_prefixes = 1, .after = after };
  return platform_calls_txn (&fixture->calls, &txn, KWF_NS_PER_S / 5);
}

/* Guards against two sides that interpret the protocol differently.  */
static void
transactions (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (set_row (fixture, "k/a", 0, "{\"x\":[1,null]}", 0),
                    KWF_STORE_COMMITTED);
  int64_t first = fixture->calls.revision;
  assert_string_equal (fixture->calls.rows->str, "k/a={\"x\":[1,null]};");
  assert_int_equal (set_row (fixture, "k/a", 0, "2", first),
                    KWF_STORE_CONFLICT);
  assert_string_equal (fixture->calls.conflicts->str, "k/a={\"x\":[1,null]};");
  assert_string_equal (fixture->calls.rows->str, "");
  assert_int_equal (set_row (fixture, "k/b", first, "2", first),
                    KWF_STORE_CONFLICT);
  assert_string_equal (fixture->calls.conflicts->str, "k/b=-;");
  assert_int_equal (set_row (fixture, "k/a", first, NULL, first),
                    KWF_STORE_COMMITTED);
  assert_string_equal (fixture->calls.rows->str, "k/a=-;");
  assert_int_equal (read_changes (fixture, first), KWF_STORE_COMMITTED);
  assert_string_equal (fixture->calls.rows->str, "k/a=-;");
  assert_int_equal (read_changes (fixture, fixture->calls.revision),
                    KWF_STORE_COMMITTED);
  assert_string_equal (fixture->calls.rows->str, "");
  /* A deleted row has a version of its own, but counts as absent.  */
  assert_int_equal (set_row (fixture, "k/a", 77, "3", 0), KWF_STORE_CONFLICT);
  assert_string_equal (fixture->calls.conflicts->str, "k/a=-;");
  assert_int_equal (set_row (fixture, "k/a", 0, "3", 0), KWF_STORE_COMMITTED);
}

static void
set_fault (fixture_t *fixture, const char *body)
{
  assert_in_range (http_post (fixture->process.address, "/switch", body), 200,
                   204);
}

/* Guards against a write that took effect and is reported as failed, and
   against calls to a silent, refusing, slow or dead platform that are not
   reported as failed.  */
static void
lost_answers_and_outage (void **state)
{
  fixture_t *fixture = *state;
  set_fault (fixture, "{\"lose_answers\":1}");
  assert_int_equal (set_row (fixture, "k/a", 0, "1", 0), KWF_STORE_UNKNOWN);
  assert_int_equal (read_changes (fixture, 0), KWF_STORE_COMMITTED);
  assert_string_equal (fixture->calls.rows->str, "k/a=1;");
  set_fault (fixture, "{\"outage\":true}");
  assert_int_equal (read_changes (fixture, 0), KWF_STORE_FAILED);
  set_fault (fixture, "{\"outage\":false,\"refuse_from\":[\"i1\"]}");
  assert_int_equal (read_changes (fixture, 0), KWF_STORE_FAILED);
  set_fault (fixture, "{\"refuse_from\":[]}");
  assert_int_equal (read_changes (fixture, 0), KWF_STORE_COMMITTED);
  set_fault (fixture, "{\"delay_ms\":400}");
  assert_int_equal (read_changes (fixture, 0), KWF_STORE_FAILED);
  set_fault (fixture, "{\"delay_ms\":0}");
  assert_int_equal (read_changes (fixture, 0), KWF_STORE_COMMITTED);
  process_kill (&fixture->process);
  assert_int_equal (set_row (fixture, "k/a", 0, "1", 0), KWF_STORE_FAILED);
}

/* Guards against membership lists and stored objects that the platform client
   and the stand-in encode differently: both must arrive unchanged.  */
static void
members_and_objects (void **state)
{
  fixture_t *fixture = *state;
  const char *body = "{\"id\":\"e1\",\"kind\":\"engine\",\"name\":\"\","
                     "\"address\":\"127.0.0.1:9\",\"data_centre\":\"c\","
                     "\"state\":\"leaving\"}";
  assert_in_range (http_post (fixture->process.address, "/members", body), 200,
                   204);
  assert_true (platform_calls_members (&fixture->calls, KWF_NS_PER_S));
  assert_string_equal (fixture->calls.members->str, "e1 0  127.0.0.1:9 c 1;");
  platform_calls_t *calls = &fixture->calls;
  assert_int_equal (platform_calls_object_get (calls, "a b", KWF_NS_PER_S),
                    KWF_NOT_FOUND);
  assert_int_equal (
      platform_calls_object_put (calls, "a b", "x\0y", 3, KWF_NS_PER_S),
      KWF_OK);
  assert_int_equal (platform_calls_object_get (calls, "a b", KWF_NS_PER_S),
                    KWF_OK);
  assert_int_equal (calls->object_bytes->len, 3);
  assert_memory_equal (calls->object_bytes->str, "x\0y", 3);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (transactions),
    TEST (lost_answers_and_outage),
    TEST (members_and_objects),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
