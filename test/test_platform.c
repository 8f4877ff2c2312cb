/* Calls to the platform: the JSON of transactions, strict checks of answers,
   and the outcome when there is no answer.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "common-platform.h"

#define LONG_NS (2 * KWF_NS_PER_S)

typedef struct
{
  platform_calls_t calls; /* first member */
  listener_t *listener;
  int status; /* status of the answer; 0: close without one; -1: no answer */
  const char *body;
  char *seen; /* last request */
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  g_free (fixture->seen);
  fixture->seen = g_strdup (request);
  if (fixture->status > 0)
    connection_reply (connection, fixture->status, fixture->body);
  else if (fixture->status == 0)
    connection_close (connection);
}

static void
use_address (fixture_t *fixture, const char *address)
{
  platform_free (fixture->calls.platform);
  fixture->calls.platform
      = platform_new (fixture->calls.client, address, "i1");
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  platform_calls_init (&fixture->calls, "127.0.0.1:1");
  fixture->listener = listener_start (fixture->calls.loop, serve, fixture);
  use_address (fixture, fixture->listener->address);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  listener_stop (fixture->listener);
  platform_calls_clear (&fixture->calls);
  g_free (fixture->seen);
  g_free (fixture);
  return 0;
}

static const kwf_condition_t conditions[] = { { "a", 3 }, { "b", 0 } };
static const kwf_put_t changes[]
    = { { "a", "{\"x\": [1, 2.5, \"\\u00fc\"]}" }, { "c", NULL } };
static const char *const prefixes[] = { "a", "key/" };
static const kwf_txn_t write_txn = { .conditions = conditions,
                                     .n_conditions = 2,
                                     .puts = changes,
                                     .n_puts = 2,
                                     .prefixes = prefixes,
                                     .n_prefixes = 2,
                                     .after = 5 };
static const kwf_txn_t read_txn
    = { .prefixes = prefixes, .n_prefixes = 2, .after = 5 };

static kwf_store_outcome_t
run (fixture_t *fixture, const kwf_txn_t *txn, int status, const char *body)
{
  fixture->status = status;
  fixture->body = body;
  return platform_calls_txn (&fixture->calls, txn, LONG_NS);
}

/* Guards against a request that the protocol does not describe.  */
static void
transaction_is_encoded (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (
      run (fixture, &write_txn, 200,
           "{\"committed\":true,\"revision\":9,\"rows\":["
           "{\"key\":\"a\",\"version\":9,\"value\":{\"x\":[1,2.5]}},"
           "{\"key\":\"key/1\",\"version\":7,\"value\":null}]}"),
      KWF_STORE_COMMITTED);
  assert_int_equal (fixture->calls.revision, 9);
  assert_string_equal (fixture->calls.rows->str, "a={\"x\":[1,2.5]};key/1=-;");
  assert_string_equal (fixture->calls.versions->str, "a=9;key/1=7;");
  assert_non_null (strstr (fixture->seen, "POST /table/txn HTTP/1.1\r\n"));
  assert_non_null (strstr (fixture->seen, "\r\nX-Instance: i1\r\n"));
  assert_string_equal (
      strstr (fixture->seen, "\r\n\r\n") + 4,
      "{\"conditions\":[{\"key\":\"a\",\"version\":3},"
      "{\"key\":\"b\",\"version\":0}],"
      "\"puts\":[{\"key\":\"a\",\"value\":{\"x\":[1,2.5,\"\xc3\xbc\"]}}],"
      "\"deletes\":[\"c\"],"
      "\"reads\":{\"prefixes\":[\"a\",\"key/\"],\"after\":5}}");
}

/* Guards against a conflict that is reported as a failure.  */
static void
conflict_lists_the_rows_found (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (
      run (fixture, &write_txn, 409,
           "{\"committed\":false,\"revision\":9,\"conflicts\":["
           "{\"key\":\"a\",\"version\":4,\"value\":\"v\"},"
           "{\"key\":\"b\",\"version\":0,\"value\":null}],\"rows\":[]}"),
      KWF_STORE_CONFLICT);
  assert_string_equal (fixture->calls.conflicts->str, "a=\"v\";b=-;");
  assert_string_equal (fixture->calls.versions->str, "a=4;b=0;");
}

/* Guards against a wrong answer that is accepted, and against a wrong answer
   to a write that counts as "not applied".  */
static void
malformed_answers_are_none (void **state)
{
  static const struct
  {
    int status;
    const char *body;
  } cases[] = {
    { 200, "" },
    { 200, "{" },
    { 200, "[]" },
    { 200, "{}" },
    { 200, "{\"committed\":true,\"revision\":9}" },
    { 200, "{\"committed\":1,\"revision\":9,\"rows\":[]}" },
    { 200, "{\"committed\":false,\"revision\":9,\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":\"9\",\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":9.0,\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":-1,\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":4,\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":99999999999999999999,"
           "\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"revision\":9,"
           "\"rows\":[]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":[]}x" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":{}}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":[1]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":"
           "[{\"key\":\"a\",\"version\":9}]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":"
           "[{\"key\":\"\",\"version\":9,\"value\":1}]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":"
           "[{\"key\":\"a\",\"version\":10,\"value\":1}]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":"
           "[{\"key\":\"a\",\"version\":5,\"value\":1}]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":"
           "[{\"key\":\"other\",\"version\":9,\"value\":1}]}" },
    { 200, "{\"committed\":true,\"revision\":9,\"rows\":"
           "[{\"key\":\"a\",\"version\":9,\"value\":1},"
           "{\"key\":\"a\",\"version\":8,\"value\":1}]}" },
    { 409, "{\"committed\":true,\"revision\":9,\"rows\":[]}" },
    { 409, "{\"committed\":false,\"revision\":9,\"rows\":[]}" },
    { 409, "{\"committed\":false,\"revision\":9,\"rows\":[],"
           "\"conflicts\":[]}" },
    { 409, "{\"committed\":false,\"revision\":9,\"rows\":[],"
           "\"conflicts\":[{\"key\":\"z\",\"version\":4,\"value\":1}]}" },
    { 400, "{\"error\":{\"code\":\"bad\"}}" },
    { 503, "{\"committed\":true,\"revision\":9,\"rows\":[]}" },
  };
  fixture_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      assert_int_equal (
          run (fixture, &write_txn, cases[i].status, cases[i].body),
          KWF_STORE_UNKNOWN);
      assert_string_equal (fixture->calls.rows->str, "");
      assert_int_equal (
          run (fixture, &read_txn, cases[i].status, cases[i].body),
          KWF_STORE_FAILED);
    }
}

/* Guards against a failed read whose outcome is reported as unknown, and
   against an unanswered write that is reported as failed.  */
static void
outcome_without_an_answer (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (run (fixture, &write_txn, 0, NULL), KWF_STORE_UNKNOWN);
  assert_int_equal (run (fixture, &read_txn, 0, NULL), KWF_STORE_FAILED);
  fixture->status = -1;
  assert_int_equal (
      platform_calls_txn (&fixture->calls, &write_txn, 30 * KWF_NS_PER_MS),
      KWF_STORE_UNKNOWN);
  assert_int_equal (
      platform_calls_txn (&fixture->calls, &read_txn, 30 * KWF_NS_PER_MS),
      KWF_STORE_FAILED);
  use_address (fixture, unused_address ());
  assert_int_equal (run (fixture, &write_txn, 200, ""), KWF_STORE_FAILED);
  assert_int_equal (run (fixture, &read_txn, 200, ""), KWF_STORE_FAILED);
}

/* Guards against a put that the platform would read as a deletion or not at
   all.  */
static void
invalid_transactions_are_not_sent (void **state)
{
  static const kwf_put_t bad[] = {
    { "a", "null" }, { "a", "{" },    { "a", "1 2" },
    { "", "1" },     { "\xff", "1" }, { "a", "\"\xff\"" },
  };
  fixture_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      kwf_txn_t txn = { .puts = &bad[i], .n_puts = 1 };
      assert_int_equal (run (fixture, &txn, 200, ""), KWF_STORE_FAILED);
    }
  assert_int_equal (fixture->listener->requests, 0);
}

/* Guards against a callback after platform_free.  */
static void
free_ends_open_calls (void **state)
{
  fixture_t *fixture = *state;
  fixture->status = -1;
  platform_txn (fixture->calls.platform, 1, &write_txn, LONG_NS,
                platform_calls_on_reply, &fixture->calls);
  run_for (fixture->calls.loop, 0.02);
  platform_free (fixture->calls.platform);
  fixture->calls.platform = NULL;
  run_for (fixture->calls.loop, 0.02);
  assert_int_equal (fixture->calls.ended, 0);
  assert_int_equal (client_open_transfers (fixture->calls.client), 0);
}

/* The platform answers a request for the membership list with STATUS and
   BODY: whether the list was accepted.  */
static bool
is_member_list_accepted (fixture_t *fixture, int status, const char *body)
{
  fixture->status = status;
  fixture->body = body;
  return platform_calls_members (&fixture->calls, LONG_NS);
}

#define MEMBER                                                                \
  "\"name\":\"\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"c\","

/* Guards against a membership list that is used although part of it is wrong:
   a server that is missing from it would count as gone.  */
static void
membership_list (void **state)
{
  static const char *const bad[] = {
    "",
    "{}",
    "{\"members\":{}}",
    "{\"members\":[1]}",
    "{\"members\":[{" MEMBER "\"id\":\"e\",\"kind\":\"x\","
    "\"state\":\"live\"}]}",
    "{\"members\":[{" MEMBER "\"id\":\"e\",\"kind\":\"entry\","
    "\"state\":\"gone\"}]}",
    "{\"members\":[{" MEMBER "\"kind\":\"entry\",\"state\":\"live\"}]}",
    "{\"members\":[{" MEMBER "\"id\":\"e\",\"kind\":\"entry\","
    "\"state\":\"live\"},{" MEMBER "\"id\":\"e\",\"kind\":\"entry\","
    "\"state\":\"live\"}]}",
    "{\"members\":[{\"id\":\"e\",\"kind\":\"entry\",\"name\":\"\","
    "\"address\":\"host:1\",\"data_centre\":\"c\",\"state\":\"live\"}]}",
    "{\"members\":[{\"id\":\"e\",\"kind\":\"entry\",\"name\":\"\","
    "\"address\":\"127.0.0.1:0\",\"data_centre\":\"c\",\"state\":\"live\"}]}",
  };
  fixture_t *fixture = *state;
  static const char good[]
      = "{\"members\":[{" MEMBER "\"id\":\"e1\",\"kind\":\"engine\","
        "\"state\":\"live\"},{\"id\":\"s1\",\"kind\":\"service\","
        "\"name\":\"booking\",\"address\":\"[::1]:65535\","
        "\"data_centre\":\"d\",\"state\":\"leaving\"}]}";
  assert_true (is_member_list_accepted (fixture, 200, good));
  assert_string_equal (fixture->calls.members->str,
                       "e1 0  127.0.0.1:1 c 0;s1 1 booking [::1]:65535 d 1;");
  assert_non_null (strstr (fixture->seen, "GET /members HTTP/1.1\r\n"));
  assert_true (is_member_list_accepted (fixture, 200, "{\"members\":[]}"));
  assert_false (is_member_list_accepted (fixture, 503, good));
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_false (is_member_list_accepted (fixture, 200, bad[i]));
  assert_false (is_member_list_accepted (fixture, 0, NULL));
}

static kwf_status_t
get (fixture_t *fixture, int status, const char *body)
{
  fixture->status = status;
  fixture->body = body;
  return platform_calls_object_get (&fixture->calls, "a/b c", LONG_NS);
}

static kwf_status_t
put (fixture_t *fixture, int status)
{
  fixture->status = status;
  fixture->body = "";
  return platform_calls_object_put (&fixture->calls, "n", "by\0es", 5,
                                    LONG_NS);
}

/* Guards against a name that addresses another object, and against a write
   with unknown outcome that is reported as not done.  */
static void
objects (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (get (fixture, 200, "content"), KWF_OK);
  assert_string_equal (fixture->calls.object_bytes->str, "content");
  assert_non_null (strstr (fixture->seen, "GET /objects/a%2Fb%20c HTTP/1.1"));
  assert_int_equal (get (fixture, 404, ""), KWF_NOT_FOUND);
  assert_int_equal (get (fixture, 500, ""), KWF_UNAVAILABLE);
  assert_int_equal (get (fixture, 0, ""), KWF_UNAVAILABLE);
  assert_int_equal (put (fixture, 200), KWF_OK);
  assert_non_null (strstr (fixture->seen, "PUT /objects/n HTTP/1.1\r\n"));
  assert_non_null (strstr (fixture->seen, "\r\nContent-Length: 5\r\n"));
  assert_int_equal (put (fixture, 500), KWF_UNKNOWN);
  assert_int_equal (put (fixture, 0), KWF_UNKNOWN);
  use_address (fixture, unused_address ());
  assert_int_equal (put (fixture, 200), KWF_UNAVAILABLE);
  assert_int_equal (get (fixture, 200, ""), KWF_UNAVAILABLE);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (transaction_is_encoded),
    TEST (conflict_lists_the_rows_found),
    TEST (malformed_answers_are_none),
    TEST (outcome_without_an_answer),
    TEST (invalid_transactions_are_not_sent),
    TEST (free_ends_open_calls),
    TEST (membership_list),
    TEST (objects),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
