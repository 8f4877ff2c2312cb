#include "readers-fuzz.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-core.h"
#include "lib/claim-row.h"
#include "lib/completion.h"
#include "lib/crashrow.h"
#include "lib/ledger-row.h"
#include "net/address.h"
#include "net/message.h"
#include "net/peer-hello.h"
#include "net/platform-json.h"
#include "net/protocol.h"
#include "platform/platform-internal.h"
#include "platform/platform.h"
#include "platform/rows-json.h"

#define ENTRY                                                                 \
  "{\"backend\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
  "\"version\":\"1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,"    \
  "\"seq\":3,\"born\":1783137771186,\"models\":[{\"name\":\"m\","             \
  "\"version\":1,\"adapters\":[\"a1\",\"a2\"]},{\"name\":\"n\"}],"            \
  "\"coming\":[\"m/a3@1\"],\"at_hand\":{\"in_memory\":[\"m\"],\"on_disk\":"   \
  "[\"n\"]}}"

/* How long a core works on after a row.  */
#define CORE_STEPS 5
#define CORE_STEP_MS 300

static client_answer_t
answer_of (const char *body, size_t size)
{
  return (client_answer_t){ .status = 200, .body = body, .body_size = size };
}

/* A row that was read can be passed on to other instances.  */
static void
check_is_passed_on (const rows_json_t *rows)
{
  GByteArray *bytes = g_byte_array_new ();
  kwf_message_t message
      = { .type = KWF_MSG_FEED,
          .feed = { .table = 2,
                    .rows = (const kwf_row_t *)(void *)rows->rows->data,
                    .n_rows = rows->rows->len } };
  assert_int_equal (message_encode (bytes, &message), KWF_OK);
  g_byte_array_free (bytes, TRUE);
}

static void
read_rows (const GString *text)
{
  client_answer_t answer = answer_of (text->str, text->len);
  rows_json_t rows;
  rows_json_decode (&rows, &answer);
  assert_true (rows.stored_ns >= 0);
  check_is_passed_on (&rows);
  rows_json_clear (&rows);
}

/* TEXT is one row of three.  The others hold if it is JSON.  If it is none,
   its quotes and brackets may take the one after it along, but not the one
   before it.  */
static void
read_middle_row (const GString *text)
{
  json_t *row = json_loadb (text->str, text->len, JSON_DECODE_ANY, NULL);
  bool is_json = row != NULL;
  json_decref (row);
  GString *body = g_string_new (
      "{\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":2},");
  g_string_append_len (body, text->str, (gssize)text->len);
  g_string_append (body, ",{\"key\":\"z\",\"value\":\"dg==\",\"ver\":4}],"
                         "\"ver\":9,\"now_ms\":1}");
  client_answer_t answer = answer_of (body->str, body->len);
  rows_json_t rows;
  bool is_list = rows_json_decode (&rows, &answer) && rows.is_list;
  const kwf_row_t *list = (const kwf_row_t *)(void *)rows.rows->data;
  if (is_json)
    {
      assert_true (is_list);
      assert_in_range (rows.rows->len, 2, 3);
      assert_string_equal (list[rows.rows->len - 1].key, "z");
      assert_string_equal (list[rows.rows->len - 1].value, "v");
    }
  if (is_list)
    {
      assert_true (rows.rows->len > 0);
      assert_string_equal (list[0].value, "v");
    }
  check_is_passed_on (&rows);
  rows_json_clear (&rows);
  g_string_free (body, TRUE);
}

static void
read_entry (const GString *text)
{
  server_entry_t *entry = server_entry_decode (text->str);
  address_t address;
  if (!entry)
    return;
  assert_true (address_read (entry->address, &address));
  assert_in_range (address_port (&address), 1, 65535);
  assert_in_range (entry->slots, 0, SERVER_REQUESTS_MAX);
  assert_true (entry->incarnation > 0);
  server_entry_free (entry);
}

static void
read_config (const GString *text)
{
  platform_config_t config;
  if (!platform_config_decode (text->str, "pepper", &config))
    return;
  for (size_t i = 0; i < kwf_lists_n_services (config.lists); i++)
    assert_non_null (kwf_lists_service_at (config.lists, i)->name);
  platform_config_clear (&config);
}

static void
read_report_of (const protocol_t *protocol, const GString *text)
{
  client_answer_t answer = answer_of (text->str, text->len);
  kwf_report_event_t report = { 0 };
  GPtrArray *allocations = g_ptr_array_new_with_free_func (g_free);
  if (protocol->read_report (&report, allocations, &answer))
    {
      assert_true (report.running >= 0 && report.waiting >= 0);
      for (size_t i = 0; i < report.n_models; i++)
        assert_non_null (report.models[i].name);
    }
  kwf_order_event_t order = { .status = 200 };
  protocol->read_order (&order, allocations, &answer);
  g_ptr_array_free (allocations, TRUE);
}

static void
read_platform_report (const GString *text)
{
  read_report_of (&rows_protocol, text);
}

static void
read_table_report (const GString *text)
{
  read_report_of (&table_protocol, text);
}

static void
read_header (const GString *text)
{
  header_t headers[] = { { "X-Server-Load", text->str },
                         { "Server-Limit", text->str },
                         { "Retry-After", text->str },
                         { "Server-Leaving", text->str } };
  client_answer_t answer = { .status = 503,
                             .headers = headers,
                             .n_headers = G_N_ELEMENTS (headers) };
  answer_facts_t facts = { 0 };
  kwf_notice_event_t notice = { 0 };
  rows_protocol.read_facts (&facts, &answer);
  rows_protocol.read_notice (&notice, &answer);
  if (facts.has_load)
    assert_true (facts.running >= 0 && facts.waiting >= 0 && facts.slots >= 0);
  if (notice.limit == KWF_LIMIT_NAMED)
    assert_true (isfinite (notice.limit_per_s) && notice.limit_per_s >= 0);
  assert_true (notice.pause_ns >= 0);
}

static void
read_address (const GString *text)
{
  address_t address;
  if (address_read (text->str, &address))
    assert_in_range (address_port (&address), 0, 65535);
}

static void
read_txn_answer (const GString *text)
{
  char *keys[] = { "k1", NULL };
  char *prefixes[] = { "k", NULL };
  txn_constraints_t constraints
      = { .conditions = keys, .prefixes = prefixes, .after = 3 };
  for (int status = 200; status <= 409; status += 209)
    {
      txn_answer_t answer;
      if (txn_answer_read (&answer, &constraints, status, text->str,
                           text->len))
        assert_true (answer.reply.revision >= 3);
      txn_answer_clear (&answer);
    }
}

static void
read_members (const GString *text)
{
  members_answer_t answer;
  if (members_answer_read (&answer, text->str, text->len))
    for (size_t i = 0; i < answer.event.n_members; i++)
      assert_non_null (answer.event.members[i].id);
  members_answer_clear (&answer);
}

static void
read_claim (const GString *text)
{
  claim_row_t row;
  if (!claim_row_read (text->str, &row))
    return;
  if (strcmp (row.state, "done") == 0)
    {
      assert_in_range (row.status, 100, 599);
      assert_non_null (row.content_type);
      assert_true (row.body_size <= CLAIM_BODY_MAX);
    }
  claim_row_clear (&row);
}

static void
take_crash (const crashrow_t *row, void *data)
{
  (void)data;
  assert_non_null (row->state);
  assert_in_range (row->n_lost, 0, CRASHROW_MAX_LOST);
}

static void
read_crash (const GString *text)
{
  int64_t for_ms;
  crashrow_read (text->str, take_crash, NULL);
  trialrow_read (text->str, &for_ms);
}

static void
read_ledger (const GString *text)
{
  ledger_row_t *row = ledger_row_parse (text->str);
  if (!row)
    return;
  char *again = ledger_row_to_json (row);
  assert_non_null (again);
  free (again);
  assert_true (ledger_row_reserved_mb (row) >= 0);
  assert_true (row->fence < INT64_MAX);
  ledger_row_free (row);
}

static void
read_completion (const GString *text)
{
  for (int chat = 0; chat < 2; chat++)
    {
      completion_t completion;
      kwf_error_t error;
      if (completion_parse (text->str, text->len, chat, &completion, &error)
          != KWF_OK)
        continue;
      assert_non_null (completion.model);
      assert_true (completion.prompt_tokens > 0);
      completion_clear (&completion);
    }
}

static void
read_lists (const GString *text)
{
  kwf_lists_t *lists
      = kwf_lists_parse (text->str, "plans", text->str, "uses", NULL, NULL);
  if (lists)
    kwf_lists_free (lists);
}

/* TEXT is the key of a row of the fleet's table, a line end, and its value.
   The core gets it, and works on for a while.  */
static void
read_core_row (const GString *text)
{
  char **parts = g_strsplit (text->str, "\n", 2);
  if (parts[0] && parts[1])
    {
      core_world_t world;
      core_world_start (&world);
      core_world_row (&world, parts[0], parts[1]);
      core_world_servers (&world);
      for (int i = 0; i < CORE_STEPS; i++)
        core_world_advance (&world, CORE_STEP_MS);
      core_world_stop (&world);
    }
  g_strfreev (parts);
}

static const char *const core_samples[] = {
  "session/b\n{\"incarnation\":2,\"counter\":7,\"epoch_left\":0,"
  "\"leaving\":false,\"caller_address\":\"127.0.0.1:80\","
  "\"peer_address\":\"127.0.0.1:81\",\"data_centre\":\"c\",\"load\":3,"
  "\"cores\":0.5,\"demand\":{\"m\":0.5},\"wanted\":{\"m\":[1,2.5,900]}}",
  "shares\n{\"epoch\":2,\"members\":[{\"instance\":\"a\","
  "\"incarnation\":1},{\"instance\":\"b\",\"incarnation\":2}],"
  "\"previous\":[{\"instance\":\"a\",\"incarnation\":1}],\"before\":1,"
  "\"former\":[\"c\"]}",
  "leader/placement\n{\"instance\":\"b\",\"incarnation\":2}",
  "placement\n{\"instance\":\"b\",\"incarnation\":2}",
  "crash/00000000000000ff\n{\"state\":\"suspect\",\"lost\":[{"
  "\"server\":\"e1\",\"incarnation\":3}],\"holder\":\"b\",\"server\":"
  "\"e1\",\"incarnation\":0,\"for_ms\":900}",
  "trial/e1\n{\"fingerprint\":\"00000000000000ff\",\"holder\":\"b\","
  "\"for_ms\":900}",
  "ledger/e1\n{\"total_mb\":100,\"incarnation\":3,\"fence\":7,"
  "\"entries\":[{\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\","
  "\"mb\":10,\"fence\":6,\"state\":\"resident\"}],\"orders\":[]}",
  "key/00ff\n{\"organisation\":\"o\",\"withdrawn\":false,\"added_ms\":5}",
  "list/plans\n{\"text\":\"\",\"apply_id\":\"x\",\"earlier\":[\"y\"]}",
  NULL
};

static const char *const row_samples[]
    = { "{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":\"bm9kZS0x\","
        "\"ver\":4}",
        "{\"key\":\"gone\",\"removed\":true,\"ver\":3}",
        "{\"key\":\"absent\",\"ver\":0}", NULL };
static const char *const rows_samples[]
    = { "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
        "\"bm9kZS0x\",\"ver\":412},{\"key\":\"gone\",\"removed\":true,"
        "\"ver\":413}],\"truncated\":true,\"ver\":530,\"now_ms\":99}",
        "{\"rows\":[],\"truncated\":false,\"ver\":1,\"now_ms\":5}", NULL };
static const char *const entry_samples[] = { ENTRY, NULL };
static const char *const config_samples[]
    = { "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"hostname\":\"h\","
        "\"path_prefix\":\"/a/\",\"kind\":\"stream\",\"timeout_ms\":15000,"
        "\"priority\":1,\"traffic_split\":[{\"backend\":\"s1\",\"weight\":90},"
        "{\"backend\":\"s2\",\"weight\":10}],\"max_attempts\":2,\"public\":"
        "false}],\"services\":[{\"name\":\"s1\",\"engine\":{\"models\":["
        "{\"name\":\"m\",\"weights_mb\":72.5,\"load_s\":1.2,\"adapters\":2}],"
        "\"weights_mb\":200000.0,\"adapter_slots\":8}}],\"tenants\":[{"
        "\"name\":\"o\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":2,\"unit\":"
        "\"tokens\",\"rate_per_s\":50,\"burst\":70}]}",
        NULL };
static const char *const report_samples[]
    = { "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
        "\"adapters\":[\"a1\"]}],\"busy\":false,\"seq\":2,\"queued\":1,"
        "\"running\":12,\"born\":5,\"coming\":[\"m/a2@1\"]}",
        "{\"incarnation\":4,\"running\":1,\"waiting\":2,\"batch\":3,"
        "\"memory_total_mb\":9,\"models\":[{\"name\":\"m\",\"version\":\"1\","
        "\"adapters\":[\"a\"]}]}",
        "{\"error\":{\"code\":\"stale_fence\"},\"state\":\"running\"}", NULL };
static const char *const header_samples[]
    = { "3,1,64", "1.5", "1e9", "1", "0", NULL };
static const char *const address_samples[]
    = { "10.0.0.1:80", "[fe80::1]:65535", "127.0.0.1:0", NULL };
static const char *const txn_samples[]
    = { "{\"committed\":true,\"revision\":9,\"rows\":[{\"key\":\"k1\","
        "\"version\":4,\"value\":{\"a\":1}}]}",
        "{\"committed\":false,\"revision\":9,\"rows\":[],\"conflicts\":[{"
        "\"key\":\"k1\",\"version\":2,\"value\":null}]}",
        NULL };
static const char *const member_samples[]
    = { "{\"members\":[{\"id\":\"e1\",\"name\":\"m\",\"address\":"
        "\"10.0.0.1:80\",\"data_centre\":\"c\",\"kind\":\"engine\",\"state\":"
        "\"live\"},{\"id\":\"d1\",\"name\":\"desk\",\"address\":"
        "\"10.0.0.2:80\",\"data_centre\":\"c\",\"kind\":\"service\",\"state\":"
        "\"leaving\"}]}",
        NULL };
static const char *const claim_samples[]
    = { "{\"claim\":\"0a\",\"instance\":\"i1\",\"incarnation\":3,\"state\":"
        "\"done\",\"at_ms\":5,\"status\":200,\"content_type\":\"text/plain\","
        "\"body\":\"bm9kZS0x\"}",
        "{\"claim\":\"0a\",\"instance\":\"i1\",\"incarnation\":3,\"state\":"
        "\"done\",\"at_ms\":5,\"status\":200,\"too_large\":true}",
        NULL };
static const char *const crash_samples[]
    = { "{\"state\":\"suspect\",\"lost\":[{\"server\":\"e1\",\"incarnation\":"
        "3},{\"server\":\"e2\",\"incarnation\":4}],\"holder\":\"i1\","
        "\"server\":null,\"incarnation\":0,\"for_ms\":900}",
        NULL };
static const char *const ledger_samples[]
    = { "{\"total_mb\":100,\"incarnation\":3,\"fence\":7,\"entries\":[{"
        "\"model\":\"m\",\"version\":\"1\",\"adapter\":\"\",\"mb\":10,"
        "\"fence\":6,\"state\":\"resident\"}],\"orders\":[{\"id\":\"x\","
        "\"order\":\"load\",\"model\":\"n\",\"version\":\"1\",\"adapter\":"
        "\"\",\"mb\":5,\"fence\":7,\"holder\":\"i1\",\"holder_incarnation\":2,"
        "\"state\":\"sent\",\"again\":false}]}",
        NULL };
static const char *const completion_samples[]
    = { "{\"model\":\"m:a1\",\"prompt\":\"hello\",\"max_tokens\":5,"
        "\"stream\":true,\"n\":1}",
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"
        "\"x\"}]}",
        "{\"model\":\"m\",\"prompt\":[1,2,3]}", NULL };
static const char *const lists_samples[]
    = { "[[plan]]\nname = \"p\"\nrate = 5\nburst = 10\n\n[[organisation]]\n"
        "name = \"o\"\nplan = \"p\"\nmodels = [\"m\"]\n",
        "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 10\n", NULL };

const reader_t json_readers[] = {
  { "row beside others", row_samples, read_middle_row },
  { "answer with rows", rows_samples, read_rows },
  { "entry of a server", entry_samples, read_entry },
  { "configuration", config_samples, read_config },
  { "report", report_samples, read_platform_report },
  { "report, table protocol", report_samples, read_table_report },
  { "headers of an answer", header_samples, read_header },
  { "address", address_samples, read_address },
  { "answer to a transaction", txn_samples, read_txn_answer },
  { "membership list", member_samples, read_members },
  { "row of a claim", claim_samples, read_claim },
  { "row of a crash", crash_samples, read_crash },
  { "row of a ledger", ledger_samples, read_ledger },
  { "completion", completion_samples, read_completion },
  { "lists", lists_samples, read_lists },
  { "row in a core", core_samples, read_core_row },
};
const size_t n_json_readers = G_N_ELEMENTS (json_readers);

/* Messages between instances.  */

static void
add_frame (GPtrArray *frames, const GByteArray *bytes)
{
  g_ptr_array_add (frames, g_string_new_len ((const char *)bytes->data,
                                             (gssize)bytes->len));
}

static void
free_frame (void *frame)
{
  g_string_free (frame, TRUE);
}

GPtrArray *
frame_samples (void)
{
  static const kwf_row_t rows[]
      = { { "a", 1, "v" }, { "b", 2, NULL }, { "c", 3, ENTRY } };
  static const kwf_server_load_t loads[] = { { "s1", 3, 1 }, { "s2", 0, 0 } };
  static const char *const names[] = { "i1", "i2" };
  const kwf_message_t messages[] = {
    { .type = KWF_MSG_FEED,
      .feed
      = { .table = 2, .after = 4, .revision = 5, .rows = rows, .n_rows = 3 } },
    { .type = KWF_MSG_STATE_ROWS,
      .state_rows = { .revision = 1, .rows = rows, .n_rows = 2 } },
    { .type = KWF_MSG_RENEW,
      .renew = { .incarnation = 5,
                 .caller_address = "127.0.0.1:80",
                 .peer_address = "[::1]:9",
                 .data_centre = "c",
                 .cores = 0.12,
                 .demand = "{\"demand\":{\"m/x\":0.5}}" } },
    { .type = KWF_MSG_SERVER_LOADS,
      .loads
      = { .scope = KWF_LOAD_SCOPE_CENTRE, .loads = loads, .n_loads = 2 } },
    { .type = KWF_MSG_UNREACHABLE,
      .unreachable = { .names = names, .n_names = 2 } },
    { .type = KWF_MSG_SHARE_GRANT,
      .share_grant = { .epoch = 3,
                       .number = 7,
                       .organisation = "o",
                       .rate = 0.1,
                       .cap = 0.25,
                       .level = 2.5 } },
    { .type = KWF_MSG_PERMIT_ASK,
      .permit_ask
      = { .limit = { "s1", 5, 4, true, 1.5, false }, .number = 7, .n = 2 } },
    { .type = KWF_MSG_CRASH, .crash = { .fingerprint = 7, .server = "e1" } },
  };
  GPtrArray *frames = g_ptr_array_new_with_free_func (free_frame);
  GByteArray *bytes = g_byte_array_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    {
      g_byte_array_set_size (bytes, 0);
      assert_int_equal (message_encode (bytes, &messages[i]), KWF_OK);
      add_frame (frames, bytes);
    }
  hello_t hello = { .instance = "i1", .incarnation = 3 };
  unsigned char proof[HELLO_KEY_BYTES] = { 1 };
  g_byte_array_set_size (bytes, 0);
  hello_write (bytes, &hello);
  add_frame (frames, bytes);
  g_byte_array_set_size (bytes, 0);
  proof_write (bytes, proof);
  add_frame (frames, bytes);
  g_byte_array_free (bytes, TRUE);
  return frames;
}

void
frame_read (const GString *text)
{
  kwf_message_t message;
  kwf_error_t error;
  msgpack_zone zone;
  msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
  if (message_decode (&message, text->str, text->len, &zone, &error) == KWF_OK)
    {
      /* What is read can be passed on.  */
      GByteArray *bytes = g_byte_array_new ();
      assert_int_equal (message_encode (bytes, &message), KWF_OK);
      g_byte_array_free (bytes, TRUE);
    }
  msgpack_zone_destroy (&zone);
  hello_t hello;
  if (hello_read (&hello, text->str, text->len, &error))
    assert_true (strlen (hello.instance) <= HELLO_MAX_ID);
  unsigned char proof[HELLO_KEY_BYTES] = { 1 };
  proof_read (proof, text->str, text->len, &error);
}
