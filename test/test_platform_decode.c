/* Decoding of the platform's data: configuration, entries of servers, rows,
   headers; also malformed ones.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "common-odd.h"
#include "lib/key.h"
#include "net/routed-stream.h"
#include "platform/platform-internal.h"
#include "platform/platform.h"
#include "platform/rows-json.h"

#define CONFIG                                                                \
  "{\"version\":7,\"routes\":["                                               \
  "{\"name\":\"r1\",\"hostname\":\"h\",\"path_prefix\":\"/a/\",\"kind\":"     \
  "\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":1," \
  "\"traffic_split\":[{\"backend\":\"s1\",\"weight\":90},{\"backend\":"       \
  "\"s2\",\"weight\":10}],\"max_attempts\":2,\"public\":false,"               \
  "\"resumable\":true},"                                                      \
  "{\"name\":\"r2\",\"hostname\":\"h\",\"path_prefix\":\"/b/\",\"kind\":"     \
  "\"idempotent\",\"backend\":\"s2\",\"public\":true}],"                      \
  "\"services\":[{\"name\":\"s1\",\"engine\":{\"models\":[{\"name\":\"m\","   \
  "\"weights_mb\":72700.0,\"load_s\":1.2,\"adapters\":2}],\"weights_mb\":"    \
  "200000.0,\"adapter_slots\":8,\"loads_per_s\":1.9}},{\"name\":\"s2\"}],"    \
  "\"tenants\":[{\"name\":\"o\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":2," \
  "\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":50,\"burst\":70}]" \
  "}"

/* Guards against fields that are decoded into the wrong place.  */
static void
configuration_is_read (void **state)
{
  (void)state;
  static const char pepper[] = "pepper";
  platform_config_t config;
  assert_true (platform_config_decode (CONFIG, pepper, &config));
  const kwf_route_t *route = kwf_lists_route (config.lists, "h", "/a/x");
  assert_string_equal (route->name, "r1");
  assert_int_equal (route->n_splits, 2);
  assert_string_equal (route->splits[1].service, "s2");
  assert_true (route->splits[1].weight == 10);
  assert_true (route->stream && route->resumable && !route->idempotent);
  assert_int_equal (route->timeout_ns, 15 * KWF_NS_PER_S);
  assert_int_equal (route->objective_ns, 800 * KWF_NS_PER_MS);
  assert_int_equal (route->max_attempts, 2);
  route = kwf_lists_route (config.lists, "h", "/b/");
  assert_true (route->open && route->idempotent);
  assert_string_equal (route->splits[0].service, "s2");
  const kwf_service_t *service = kwf_lists_service (config.lists, "s1");
  assert_true (service->engine);
  assert_int_equal (service->memory_mb, 200000);
  assert_int_equal (service->adapter_slots, 8);
  assert_false (kwf_lists_service (config.lists, "s2")->engine);
  const kwf_model_t *model = kwf_lists_model (config.lists, "m");
  assert_int_equal (model->memory_mb, 72700);
  assert_int_equal (model->load_ns, 1200 * KWF_NS_PER_MS);
  assert_string_equal (model->adapters[1], "a2");
  const kwf_organisation_t *organisation
      = kwf_lists_organisation (config.lists, "o");
  assert_true (organisation->rate == 50 && organisation->burst == 70);
  assert_true (organisation->plain_tokens == 200);
  assert_false (organisation->by_request);
  assert_int_equal (organisation->priority, 2);
  char digest[KEY_DIGEST_SIZE];
  key_digest ((const unsigned char *)pepper, strlen (pepper), "k2", digest);
  assert_int_equal (config.keys->len, 2);
  assert_string_equal (g_array_index (config.keys, kwf_key_grant_t, 1).digest,
                       digest);
  platform_config_clear (&config);
}

/* Guards against adapters in "coming" that are not added to those of their
   model: placement would then send an engine more adapters than it has places
   for, because those that are being loaded were not counted.  Also checks that
   the names of cached models, whose weights the server has in memory or on
   disk, are read from "at_hand".  */
static void
coming_adapters_are_read (void **state)
{
  (void)state;
  static const char text[]
      = "{\"models\":[{\"name\":\"m\",\"adapters\":[\"a1\"]},{\"name\":\"n\"}]"
        ","
        "\"coming\":[\"m/a2@1\",\"m/a3@4\",\"x/a1@1\",\"odd\",7]}";
  json_t *root = json_loads (text, 0, NULL);
  GArray *models = g_array_new (FALSE, TRUE, sizeof (kwf_resident_t));
  GPtrArray *allocations = g_ptr_array_new_with_free_func (g_free);
  resident_models_decode (root, models, allocations);
  const kwf_resident_t *model = &g_array_index (models, kwf_resident_t, 0);
  assert_int_equal (models->len, 2);
  assert_int_equal (model->n_adapters, 3);
  assert_string_equal (model->adapters[0], "a1");
  assert_string_equal (model->adapters[2], "a3");
  g_array_free (models, TRUE);
  json_decref (root);
  root = json_loads ("{\"at_hand\":{\"in_memory\":[\"m\"],\"on_disk\":"
                     "[\"n\",3]}}",
                     0, NULL);
  GPtrArray *cached = g_ptr_array_new ();
  cached_models_decode (root, cached, allocations);
  assert_int_equal (cached->len, 2);
  assert_string_equal (cached->pdata[1], "n");
  g_ptr_array_free (cached, TRUE);
  g_ptr_array_free (allocations, TRUE);
  json_decref (root);
}

/* Guards against a crash or a half-decoded configuration.  The text is cut off
   after each byte, and each byte is replaced.  */
static void
odd_configurations_are_survived (void **state)
{
  (void)state;
  char *text = g_strdup (CONFIG);
  size_t size = strlen (text);
  platform_config_t config;
  for (size_t i = 0; i < size; i++)
    {
      char byte = text[i];
      text[i] = '\0';
      assert_false (platform_config_decode (text, "p", &config));
      static const char others[] = "0\"[{,x";
      for (const char *c = others; *c; c++)
        {
          text[i] = *c;
          if (platform_config_decode (text, "p", &config))
            platform_config_clear (&config);
        }
      text[i] = byte;
    }
  g_free (text);
  assert_false (platform_config_decode (NULL, "p", &config));
  assert_false (platform_config_decode ("[]", "p", &config));
}

#define ENTRY(rest)                                                           \
  "{\"backend\":\"s1\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
  "\"state\":\"ready\",\"slots\":64,\"born\":1783137771186" rest "}"

/* Guards against an entry that is used although another writer left it, and
   against an adapter that cannot be read and hides a usable server.  */
static void
odd_entries_name_no_server (void **state)
{
  (void)state;
  static const char *const bad[] = {
    "",
    "null",
    "[]",
    "\xff\xfe",
    "{\"backend\":\"s1\"}",
    "{\"backend\":7,\"address\":\"10.0.0.1:80\",\"state\":\"ready\"}",
    "{\"backend\":\"s1\",\"address\":\"nowhere\",\"state\":\"ready\"}",
    "{\"backend\":\"s1\",\"address\":\"10.0.0.1:80\",\"state\":\"asleep\"}",
    "{\"backend\":\"s1\",\"address\":\"10.0.0.1:80\",\"state\":true}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_null (server_entry_decode (bad[i]));
  assert_null (server_entry_decode (NULL));
  server_entry_t *server = server_entry_decode (
      ENTRY (",\"models\":[{\"name\":\"m\",\"adapters\":[\"a1\",7]}]"));
  assert_non_null (server);
  assert_int_equal (server->models->len, 1);
  const kwf_resident_t *model
      = &g_array_index (server->models, kwf_resident_t, 0);
  assert_string_equal (model->name, "m");
  assert_int_equal (model->n_adapters, 1);
  assert_true (server->incarnation == 1783137771186);
  assert_false (server->leaving);
  server_entry_free (server);
  server = server_entry_decode (
      "{\"backend\":\"s1\",\"address\":\"10.0.0.1:80\",\"state\":\"draining\","
      "\"slots\":6.0,\"zone\":\"\"}");
  assert_true (server->leaving);
  assert_int_equal (server->slots, 6);
  server_entry_free (server);
  GArray *odd = odd_entries ("s1", "10.0.0.1:80");
  for (guint i = 0; i < odd->len; i++)
    {
      const odd_t *entry = &g_array_index (odd, odd_t, i);
      /* A zero byte ends the text for this reader; rows_json_decode refuses
         it.  */
      if (strlen (entry->bytes) < entry->size)
        continue;
      server = server_entry_decode (entry->bytes);
      if (server)
        fail_msg ("%s names a server", entry->name);
    }
  g_array_unref (odd);
}

/* Guards against rows from a malformed answer.  */
static void
rows_are_read (void **state)
{
  (void)state;
  static const char body[]
      = "{\"rows\":[{\"table\":\"t\",\"part\":\"\",\"key\":\"k\",\"value\":"
        "\"bm9kZS0x\",\"ver\":412},{\"key\":\"gone\",\"removed\":true,"
        "\"ver\":413},{\"key\":\"absent\",\"ver\":0}],\"truncated\":true,"
        "\"ver\":530}";
  client_answer_t answer = { .body = body, .body_size = strlen (body) };
  rows_json_t rows;
  assert_true (rows_json_decode (&rows, &answer));
  assert_int_equal (rows.rows->len, 2);
  assert_string_equal (g_array_index (rows.rows, kwf_row_t, 0).value,
                       "node-1");
  assert_null (g_array_index (rows.rows, kwf_row_t, 1).value);
  assert_int_equal (rows.version, 530);
  assert_true (rows.more);
  rows_json_clear (&rows);
  static const char *const bad[] = { "", "[]", "{\"rows\":[{\"ver\":3}]}" };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      answer
          = (client_answer_t){ .body = bad[i], .body_size = strlen (bad[i]) };
      assert_false (rows_json_decode (&rows, &answer) && rows.is_list);
      rows_json_clear (&rows);
    }
}

/* Guards against one row that cannot be read and that hides the rows beside
   it.  Its value is empty, if it has a key.  */
static void
odd_rows_cost_themselves_only (void **state)
{
  (void)state;
  static const struct
  {
    const char *row;
    const char *value; /* NULL: it is left out */
  } cases[] = {
    { "7", NULL },
    { "{}", NULL },
    /* No JSON as they stand, for the parser that is used.  */
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":1e400}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":99999999999999999999}",
      NULL },
    { "{\"key\":\"x\\u0000\",\"value\":\"dg==\",\"ver\":3}", NULL },
    { "{\"key\":\"\\ud800\",\"value\":\"dg==\",\"ver\":3}", NULL },
    { "{\"key\":\"\xff]\\\"[\",\"value\":\"dg==\",\"ver\":3}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":3,}", NULL },
    { "{\"key\":x}", NULL },
    { "{\"key\":7,\"value\":\"dg==\",\"ver\":3}", NULL },
    { "{\"key\":\"\",\"value\":\"dg==\",\"ver\":3}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\"}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":\"3\"}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":-3}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":1e30}", NULL },
    { "{\"key\":\"x\",\"value\":\"dg==\",\"ver\":10}", NULL },
    { "{\"key\":\"x\",\"ver\":3}", "" },
    { "{\"key\":\"x\",\"value\":null,\"ver\":3}", "" },
    { "{\"key\":\"x\",\"value\":7,\"ver\":3}", "" },
    { "{\"key\":\"x\",\"value\":\"d===\",\"ver\":3}", "" },
    { "{\"key\":\"x\",\"value\":\"%%dg==\",\"ver\":3}", "" },
    /* A zero byte after "v"; bytes that are not UTF-8.  */
    { "{\"key\":\"x\",\"value\":\"dgA=\",\"ver\":3}", "" },
    { "{\"key\":\"x\",\"value\":\"//4=\",\"ver\":3}", "" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *body = g_strdup_printf (
          "{\"rows\":[{\"key\":\"a\",\"value\":\"dg==\",\"ver\":2},%s,"
          "{\"key\":\"z\",\"value\":\"dg==\",\"ver\":4}],\"ver\":9,"
          "\"now_ms\":1.5}",
          cases[i].row);
      client_answer_t answer = { .body = body, .body_size = strlen (body) };
      rows_json_t rows;
      assert_true (rows_json_decode (&rows, &answer) && rows.is_list);
      assert_int_equal (rows.n_unreadable, 1);
      assert_int_equal (rows.rows->len, cases[i].value ? 3 : 2);
      const kwf_row_t *list = (const kwf_row_t *)(void *)rows.rows->data;
      assert_string_equal (list[0].value, "v");
      if (cases[i].value)
        assert_string_equal (list[1].value, cases[i].value);
      assert_string_equal (list[rows.rows->len - 1].key, "z");
      assert_string_equal (list[rows.rows->len - 1].value, "v");
      rows_json_clear (&rows);
      g_free (body);
    }
}

/* Guards against an answer that is cut off, or nested too deeply, and counts
   as a shorter list.  */
static void
cut_answers_are_none (void **state)
{
  (void)state;
  static const char good[]
      = "{\"ver\":9,\"now_ms\":1,\"rows\":[{\"key\":\"a\",\"value\":"
        "\"dg==\",\"ver\":2},{\"key\":\"z\",\"value\":\"dg==\",\"ver\":4}]}";
  rows_json_t rows;
  for (size_t size = 0; size < strlen (good); size++)
    {
      client_answer_t answer = { .body = good, .body_size = size };
      assert_false (rows_json_decode (&rows, &answer) && rows.is_list);
      rows_json_clear (&rows);
    }
  char *deep = g_strnfill (1000000, '[');
  char *body = g_strconcat (good, deep, NULL);
  body[strlen (good) - 1] = ',';
  client_answer_t answer = { .body = body, .body_size = strlen (body) };
  assert_false (rows_json_decode (&rows, &answer) && rows.is_list);
  rows_json_clear (&rows);
  g_free (body);
  /* One row that is nested too deeply hides none.  */
  char *close = g_strnfill (1000000, ']');
  body = g_strdup_printf ("{\"ver\":9,\"now_ms\":1,\"rows\":[%s%s,{\"key\":"
                          "\"z\",\"value\":\"dg==\",\"ver\":4}]}",
                          deep, close);
  answer = (client_answer_t){ .body = body, .body_size = strlen (body) };
  assert_true (rows_json_decode (&rows, &answer) && rows.is_list);
  assert_int_equal (rows.rows->len, 1);
  rows_json_clear (&rows);
  g_free (body);
  g_free (close);
  g_free (deep);
}

/* Guards against an answer without a list that counts as an empty list: all
   servers would be dropped.  */
static void
answer_without_a_list_is_none (void **state)
{
  (void)state;
  static const char *const bad[]
      = { "{\"ver\":9,\"now_ms\":1}", "{\"rows\":{},\"ver\":9,\"now_ms\":1}",
          "{\"rows\":[],\"now_ms\":1}",
          "{\"rows\":[],\"ver\":1e30,\"now_ms\":1}",
          "{\"rows\":[],\"ver\":-1,\"now_ms\":1}" };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      client_answer_t answer
          = { .body = bad[i], .body_size = strlen (bad[i]) };
      rows_json_t rows;
      assert_false (rows_json_decode (&rows, &answer) && rows.is_list);
      rows_json_clear (&rows);
    }
}

/* Guards against a wrong promise: only these answers say that the request was
   not run.  */
static void
answers_tell_whether_the_request_ran (void **state)
{
  (void)state;
  header_t headers[] = { { "x-server-load", "3,1,64" }, { "A", "b" } };
  client_answer_t answer
      = { .status = 503, .headers = headers, .n_headers = 2 };
  answer_facts_t facts = { 0 };
  rows_protocol.read_facts (&facts, &answer);
  assert_false (facts.not_run);
  assert_true (facts.has_load);
  assert_int_equal (facts.running, 3);
  assert_int_equal (facts.slots, 64);
  headers[1] = (header_t){ "X-Not-Run", "1" };
  facts = (answer_facts_t){ 0 };
  rows_protocol.read_facts (&facts, &answer);
  assert_true (facts.not_run && !facts.misplaced);
  answer = (client_answer_t){ .status = 421 };
  rows_protocol.read_facts (&facts, &answer);
  assert_true (facts.not_run && facts.misplaced);
  headers[0].value = "3,x,64";
  answer = (client_answer_t){ .headers = headers, .n_headers = 1 };
  facts = (answer_facts_t){ 0 };
  rows_protocol.read_facts (&facts, &answer);
  assert_false (facts.has_load);
  assert_true (facts.load_unreadable);
}

/* Guards against a load that is lost because more figures follow than were
   known: then no load of any server is known.  */
static void
load_with_further_figures_is_read (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    int pace;
  } cases[] = { { "3,1,64", 0 },           { "3,1,64,250", 250 },
                { "3,1,64,250,7,x", 250 }, { "3,1,64,", 0 },
                { "3,1,64,fast", 0 },      { "3,1,64,-5", 0 },
                { "3,1,64,1e9,2", 0 },     { "3,1,64,99999999", 0 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      header_t header = { "X-Server-Load", cases[i].text };
      client_answer_t answer
          = { .status = 200, .headers = &header, .n_headers = 1 };
      answer_facts_t facts = { 0 };
      rows_protocol.read_facts (&facts, &answer);
      assert_true (facts.has_load && !facts.load_unreadable);
      assert_int_equal (facts.running, 3);
      assert_int_equal (facts.waiting, 1);
      assert_int_equal (facts.slots, 64);
      assert_int_equal (facts.pace, cases[i].pace);
    }
}

/* Guards against a server's message that it is leaving or asks for a pause and
   that is ignored, and against a pause whose length is not a valid number.  */
static void
answers_tell_of_leaving_and_pauses (void **state)
{
  (void)state;
  const struct
  {
    const char *leaving;
    const char *pause;
    int64_t pause_ms; /* -1: not a valid number */
    int status;
    bool has_notice;
  } cases[] = {
    { "1", NULL, 0, 200, true },
    { "1", "2", 2000, 503, true },
    { "0", NULL, 0, 200, false },
    { NULL, "3", 0, 200, false },
    { NULL, "0.3", 300, 503, true },
    { NULL, "3", 3000, 503, true },
    { NULL, "0", 0, 503, true },
    { NULL, "1e9", 1000000000, 503, true },
    { NULL, "-1", -1, 503, true },
    { NULL, "soon", -1, 503, true },
    { NULL, "", -1, 503, true },
    { NULL, "0x10", -1, 503, true },
    { NULL, "inf", -1, 503, true },
    { NULL, "1 2", -1, 503, true },
    { NULL, "e", -1, 503, true },
    { NULL, NULL, 0, 503, false },
    { NULL, "Fri, 04 Dec 2026 14:00:00 GMT", -1, 503, true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      header_t headers[2];
      size_t n = 0;
      if (cases[i].leaving)
        headers[n++] = (header_t){ "server-leaving", cases[i].leaving };
      if (cases[i].pause)
        headers[n++] = (header_t){ "Retry-After", cases[i].pause };
      client_answer_t answer
          = { .status = cases[i].status, .headers = headers, .n_headers = n };
      kwf_notice_event_t notice = { 0 };
      assert_int_equal (rows_protocol.read_notice (&notice, &answer),
                        cases[i].has_notice);
      assert_int_equal (notice.leaving,
                        cases[i].leaving && *cases[i].leaving == '1');
      assert_int_equal (notice.unreadable, cases[i].pause_ms < 0);
      assert_true (notice.pause_ns
                   == MAX (cases[i].pause_ms, 0) * KWF_NS_PER_MS);
    }
  /* A load report has the header too, so that it does not cancel it.  */
  header_t header = { "Server-Leaving", "1" };
  client_answer_t answer = { .status = 200,
                             .body = "{\"models\":[]}",
                             .body_size = 13,
                             .headers = &header,
                             .n_headers = 1 };
  kwf_report_event_t report = { 0 };
  GPtrArray *allocations = g_ptr_array_new_with_free_func (g_free);
  assert_true (rows_protocol.read_report (&report, allocations, &answer));
  assert_true (report.leaving);
  g_ptr_array_free (allocations, TRUE);
}

static const char *
find (const GArray *headers, const char *name)
{
  for (guint i = 0; i < headers->len; i++)
    if (strcmp (g_array_index (headers, header_t, i).name, name) == 0)
      return g_array_index (headers, header_t, i).value;
  return NULL;
}

/* Guards against a request that another server or organisation answers.  */
/* Guards against limits that no server named: those that are no decimal
   number, and two that contradict each other.  */
static void
only_valid_limits_are_read (void **state)
{
  (void)state;
  const struct
  {
    const char *first;
    const char *second;
    kwf_limit_header_t found;
    double per_s;
  } cases[] = {
    { NULL, NULL, KWF_LIMIT_NOT_NAMED, 0 },
    { "1.9", NULL, KWF_LIMIT_NAMED, 1.9 },
    { "0", NULL, KWF_LIMIT_NAMED, 0 },
    { "200", NULL, KWF_LIMIT_NAMED, 200 },
    { "1e9", NULL, KWF_LIMIT_NAMED, 1e9 },
    { "", NULL, KWF_LIMIT_UNREADABLE, 0 },
    { "-1", NULL, KWF_LIMIT_UNREADABLE, 0 },
    { "nan", NULL, KWF_LIMIT_UNREADABLE, 0 },
    { "inf", NULL, KWF_LIMIT_UNREADABLE, 0 },
    { "2,5", NULL, KWF_LIMIT_UNREADABLE, 0 },
    { "2 a second", NULL, KWF_LIMIT_UNREADABLE, 0 },
    { "2", "2", KWF_LIMIT_UNREADABLE, 0 },
    { "2", "x", KWF_LIMIT_UNREADABLE, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      header_t headers[2];
      size_t n = 0;
      if (cases[i].first)
        headers[n++] = (header_t){ "server-limit", cases[i].first };
      if (cases[i].second)
        headers[n++] = (header_t){ "Server-Limit", cases[i].second };
      client_answer_t answer
          = { .status = 200, .headers = headers, .n_headers = n };
      kwf_notice_event_t notice = { 0 };
      assert_int_equal (rows_protocol.read_notice (&notice, &answer),
                        cases[i].found != KWF_LIMIT_NOT_NAMED);
      assert_int_equal (notice.limit, cases[i].found);
      if (notice.limit == KWF_LIMIT_NAMED)
        assert_float_equal (notice.limit_per_s, cases[i].per_s, 1e-9);
    }
}

static void
attempts_name_server_and_organisation (void **state)
{
  (void)state;
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  GPtrArray *allocations = g_ptr_array_new_with_free_func (g_free);
  kwf_attempt_start_t start
      = { .server = "i-1", .organisation = "o", .priority = 0 };
  rows_protocol.add_headers (headers, allocations, &start, 250, "7");
  assert_string_equal (find (headers, "X-Expect-Instance"), "i-1");
  assert_string_equal (find (headers, "X-Tenant"), "o");
  assert_string_equal (find (headers, "X-Deadline-Ms"), "250");
  assert_string_equal (find (headers, "Last-Event-Id"), "7");
  assert_string_equal (find (headers, "X-Request-Priority"), "2");
  g_array_set_size (headers, 0);
  start.organisation = "";
  rows_protocol.add_headers (headers, allocations, &start, 250, NULL);
  assert_null (find (headers, "X-Tenant"));
  assert_null (find (headers, "Last-Event-Id"));
  g_array_free (headers, TRUE);
  g_ptr_array_free (allocations, TRUE);
}

/* Guards against an order that is executed in another state of the engine than
   the one it was made for.  */
static void
order_names_the_number_before_it (void **state)
{
  (void)state;
  kwf_order_t order = { .order = "load",
                        .model = "m",
                        .adapter = "a3",
                        .holder = "node",
                        .fence = 41,
                        .after = 2 };
  char *body = rows_protocol.order_body (&order);
  json_t *root = json_loads (body, 0, NULL);
  assert_string_equal (text_at (root, "operation"), "load");
  assert_string_equal (text_at (root, "adapter"), "a3");
  assert_true (number_at (root, "expected", -1) == 2);
  assert_true (number_at (root, "fencing_token", -1) == 41);
  assert_string_equal (text_at (root, "holder"), "node");
  json_decref (root);
  free (body);
}

/* Guards against parts of a stream that are forwarded twice or incomplete when
   the stream resumes at another server, wherever the bytes are split.  */
static void
events_are_cut_at_their_ends (void **state)
{
  (void)state;
  static const char text[]
      = "x-weight-versions: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
        "data: none\n\nid: 3\ndata: half";
  size_t size = strlen (text);
  for (size_t cut = 0; cut <= size; cut++)
    {
      routed_stream_t events;
      routed_stream_init (&events, &(stream_position_t){ .last_id = 1 },
                          false);
      routed_stream_add (&events, text, cut);
      routed_stream_add (&events, text + cut, size - cut);
      assert_int_equal (events.position.last_id, 2);
      assert_int_equal (events.count, 2);
      assert_int_equal (strncmp (events.bytes->str,
                                 "id: 2\r\ndata: b\r\n\r\ndata: none\n\n",
                                 events.whole),
                        0);
      routed_stream_take (&events, events.whole);
      assert_string_equal (events.bytes->str, "id: 3\ndata: half");
      routed_stream_clear (&events);
    }
}

/* Guards against a run that is joined to another one although events are
   missing between them, or although it is not known where it goes on.  */
static void
run_that_leaves_out_events_is_not_joined (void **state)
{
  (void)state;
  static const struct
  {
    const char *first;
    const char *second;
    bool known; /* another run can go on after the first one */
    bool gap;
  } cases[] = {
    { "id: 1\ndata\n\nid: 2\ndata\n\n", "id: 3\ndata\n\n", true, false },
    { "id: 1\ndata\n\nid: 2\ndata\n\n", "id: 2\n\nid: 3\n\n", true, false },
    { "id: 1\ndata\n\nid: 2\ndata\n\n", "id: 4\ndata\n\n", true, true },
    { "id: 1\ndata\n\nid: 2\ndata\n\n", "data: x\n\n", true, true },
    { "id: 1\ndata\n\nid: 2\ndata\n\n", ": x\n\nid: 4\n\n", true, true },
    { "id: 1\ndata\n\nid: 2\n\n: x\n\n", ": x\n\nid: 3\n\n", true, false },
    /* Ids that jump do not tell which one is next.  */
    { "id: 1\ndata\n\nid: 5\ndata\n\n", "id: 7\ndata\n\n", true, false },
    { "id: 1\ndata\n\nid: 5\ndata\n\n", "data: x\n\n", true, true },
    /* A single id may be followed by the next one, or jump.  */
    { "id: 1\ndata\n\n", "id: 2\ndata\n\n", true, false },
    { "id: 1\ndata\n\n", "id: 3\ndata\n\n", true, true },
    { "id: 1\ndata\n\n", "id: 4\n\nid: 5\ndata\n\n", true, true },
    { "id: 1\ndata\n\n", "data: x\n\n", true, true },
    { "id: 0\ndata\n\n", "id: 2\ndata\n\n", true, true },
    { "id: 1\ndata\n\ndata: x\n\n", "id: 2\ndata\n\n", false, false },
    { "data: x\n\n", "data: x\n\n", false, false },
    /* A comment is no part of the stream, which can begin anew.  */
    { ": x\n\n", "id: 1\ndata\n\n", true, false },
    { "id: 9223372036854775806\n\nid: 9223372036854775807\n\n",
      "id: 9\n\nid: 9223372036854775808\n\ndata\n\n", true, true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      routed_stream_t first;
      routed_stream_t second;
      routed_stream_init (&first, &STREAM_POSITION_START, false);
      assert_true (
          routed_stream_add (&first, cases[i].first, strlen (cases[i].first)));
      routed_stream_init (&second, &first.position, true);
      routed_stream_add (&second, cases[i].second, strlen (cases[i].second));
      if (stream_position_is_known (&first.position) != cases[i].known
          || second.gap != cases[i].gap)
        fail_msg ("case %zu: known %d, gap %d", i,
                  stream_position_is_known (&first.position), second.gap);
      routed_stream_clear (&first);
      routed_stream_clear (&second);
    }
}

/* Guards against a body that counts as whole although it ends inside an event,
   and against one whose last line ends are lost.  */
static void
unfinished_event_is_no_end (void **state)
{
  (void)state;
  static const struct
  {
    const char *body;
    bool may_end;
  } cases[] = {
    { "id: 3\ndata: c", false },
    { "id: 3\ndata: c\n", false },
    { "id: 3\ndata: c\n\nid: 4\ndata: d", false },
    { "id: 3\ndata: c\n\nda", false },
    { "id: 3\ndata: c\n\nid: 4", false },
    { "da", false },
    { "id: 3\ndata: c\n\n", true },
    { "id: 3\ndata: c\n\n\r\n", true },
    { "\n", true },
    { "", true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int resumed = 0; resumed <= 1; resumed++)
      {
        routed_stream_t stream;
        stream_position_t start = STREAM_POSITION_START;
        if (resumed)
          start.last_id = 2;
        routed_stream_init (&stream, &start, resumed);
        routed_stream_add (&stream, cases[i].body, strlen (cases[i].body));
        if (routed_stream_between_events (&stream) != cases[i].may_end)
          fail_msg ("case %zu", i);
        assert_true (routed_stream_finish (&stream));
        assert_string_equal (stream.bytes->str, cases[i].body);
        assert_int_equal (stream.whole, stream.bytes->len);
        routed_stream_clear (&stream);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (configuration_is_read),
    cmocka_unit_test (coming_adapters_are_read),
    cmocka_unit_test (run_that_leaves_out_events_is_not_joined),
    cmocka_unit_test (odd_configurations_are_survived),
    cmocka_unit_test (odd_entries_name_no_server),
    cmocka_unit_test (rows_are_read),
    cmocka_unit_test (odd_rows_cost_themselves_only),
    cmocka_unit_test (cut_answers_are_none),
    cmocka_unit_test (answer_without_a_list_is_none),
    cmocka_unit_test (answers_tell_whether_the_request_ran),
    cmocka_unit_test (load_with_further_figures_is_read),
    cmocka_unit_test (answers_tell_of_leaving_and_pauses),
    cmocka_unit_test (only_valid_limits_are_read),
    cmocka_unit_test (attempts_name_server_and_organisation),
    cmocka_unit_test (order_names_the_number_before_it),
    cmocka_unit_test (events_are_cut_at_their_ends),
    cmocka_unit_test (unfinished_event_is_no_end),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
