/* Two daemons on the users' platform, as processes, while another writer
   leaves odd rows: the rows beside them must hold, in both.  The first daemon
   polls the store; the second one learns of changes from it, over a link.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>
#include <knapweedfork/clock.h>
#include <signal.h>

#include "common-fake-store.h"
#include "common-listener.h"
#include "common-odd.h"
#include "common-process.h"
#include "net/client.h"

#define N_DAEMONS 2
/* Large entries, of this size, and the memory that a daemon may take with
   them.  */
#define N_LARGE 8
#define ROW_BYTES 65536
#define MAX_MEMORY_KB 200000
/* A change of the tables must be in force after this time.  */
#define FRESH_S 2.0
/* A process that has just started waits for another instance to poll for
   it.  */
#define START_S 3.2
/* As long as the key of a row may be.  */
#define ENGINE_ID                                                             \
  "e-0123456789012345678901234567890123456789012345678901234567890123456789"  \
  "0123456789012345678901234567890123456789012345678901234567890123456789012" \
  "3456789012345678901234567890123456789012345678901234567"
/* Reports of an engine are asked for at least this often.  */
#define REPORT_S 3.0

typedef struct
{
  struct ev_loop *loop;
  client_t *client;
  fake_store_t *store;
  process_t daemons[N_DAEMONS];
  char *directory;
  listener_t *desk;    /* a plain service's server */
  listener_t *spare;   /* its second server */
  listener_t *brain;   /* a model engine */
  listener_t *wrong;   /* named by odd entries only */
  int n_wrong_ids;     /* requests at it that name another server */
  const odd_t *report; /* body of the engine's reports; NULL: a good one */
  int n_sent;
  int n_ended;
  int status; /* of the last answer; 0: none */
} fixture_t;

static void
serve_call (connection_t *connection, const char *request, void *data)
{
  (void)data;
  const char *id = strcasestr (request, "\r\nx-request-id: ");
  char text[40] = "";
  g_strlcpy (text, id ? id + 16 : "", sizeof text);
  text[strcspn (text, "\r")] = '\0';
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    "X-Request-Id: %s\r\nX-Server-Stamp: s\r\n\r\nok",
                    text);
}

static void
serve_engine (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  fixture->n_wrong_ids
      += !strstr (request, "X-Expect-Instance: " ENGINE_ID "\r\n");
  if (!g_str_has_prefix (request, "GET /-/report"))
    {
      connection_reply (connection, 202, "{}");
      return;
    }
  if (!fixture->report)
    {
      connection_reply (connection, 200,
                        "{\"stage\":\"colocated\",\"models\":[],\"busy\":"
                        "false,\"seq\":0,\"queued\":0,\"running\":0}");
      return;
    }
  connection_print (connection,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    fixture->report->size);
  connection_write (connection, fixture->report->bytes, fixture->report->size);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  fixture_t *fixture = data;
  fixture->n_ended++;
  fixture->status = answer->status;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)failure;
  (void)error;
  fixture_t *fixture = data;
  fixture->n_ended++;
  fixture->status = 0;
}

/* Calls PATH at DAEMON; returns the status.  */
static int
call (fixture_t *fixture, const process_t *daemon, const char *path)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  char id[24];
  g_snprintf (id, sizeof id, "%016x", ++fixture->n_sent);
  header_t headers[] = { { "Host", "h.example" },
                         { "X-Request-Id", id },
                         { "X-Deadline-Ms", "3000" } };
  client_start (fixture->client,
                &(client_request_t){ .method = "GET",
                                     .address = daemon->address,
                                     .target = path,
                                     .headers = headers,
                                     .n_headers = G_N_ELEMENTS (headers),
                                     .timeout_ns = 4 * KWF_NS_PER_S },
                &handler, fixture);
  assert_true (
      run_until (fixture->loop, &fixture->n_ended, fixture->n_sent, 5));
  return fixture->status;
}

/* Writes the configuration; ROUTE is the path of its only route.  */
static void
put_config (fixture_t *fixture, const char *route)
{
  char *text = g_strdup_printf (
      "{\"version\":1,\"services\":[{\"name\":\"desk\"},{\"name\":\"brain\","
      "\"engine\":{\"models\":[{\"name\":\"m\",\"weights_mb\":100,\"load_s\":"
      "1,\"adapters\":2}],\"weights_mb\":1000,\"adapter_slots\":8,"
      "\"loads_per_s\":2}}],\"routes\":[{\"name\":\"r\",\"hostname\":"
      "\"h.example\",\"path_prefix\":\"/%s/\",\"backend\":\"desk\",\"kind\":"
      "\"idempotent\",\"max_attempts\":2,\"timeout_ms\":3000}],"
      "\"tenants\":[]}",
      route);
  fake_store_put (fixture->store, "op", "config", text);
  g_free (text);
}

static void
put_server (fixture_t *fixture, const char *key, const char *service,
            const listener_t *listener, const char *state)
{
  char *text = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,"
      "\"born\":1783137771186,\"models\":[]}",
      service, listener->address, state);
  fake_store_put (fixture->store, "servers", key, text);
  g_free (text);
}

static void
start_daemon (fixture_t *fixture, int i)
{
  char *settings = g_build_filename (fixture->directory, "s.toml", NULL);
  char *text = g_strdup_printf (
      "[instance]\nid = \"i%d\"\ndata_centre = \"c\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = %d\n"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[placement]\nmode = \"dynamic\"\n",
      i + 1, fake_store_address (fixture->store), (int)(FRESH_S * 1000));
  assert_true (g_file_set_contents (settings, text, -1, NULL));
  const char *args[] = { "--config", settings, NULL };
  process_t *daemon = &fixture->daemons[i];
  assert_true (process_start (daemon, "knapweedforkd", args));
  daemon->address[strcspn (daemon->address, ",")] = '\0';
  for (int k = 0; k < 100 && call (fixture, daemon, "/r/x") != 200; k++)
    run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->status, 200);
  g_unlink (settings);
  g_free (settings);
  g_free (text);
}

static void
start_daemons (fixture_t *fixture)
{
  for (int i = 0; i < N_DAEMONS; i++)
    start_daemon (fixture, i);
  run_for (fixture->loop, START_S);
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, NULL);
  fixture->store = fake_store_start (fixture->loop);
  fixture->directory = g_dir_make_tmp ("kwf-odd-XXXXXX", NULL);
  fixture->desk = listener_start (fixture->loop, serve_call, fixture);
  fixture->spare = listener_start (fixture->loop, serve_call, fixture);
  fixture->wrong = listener_start (fixture->loop, serve_call, fixture);
  fixture->brain = listener_start (fixture->loop, serve_engine, fixture);
  put_config (fixture, "r");
  put_server (fixture, "d1", "desk", fixture->desk, "ready");
  put_server (fixture, ENGINE_ID, "brain", fixture->brain, "ready");
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < N_DAEMONS; i++)
    process_kill (&fixture->daemons[i]);
  client_free (fixture->client);
  listener_stop (fixture->desk);
  listener_stop (fixture->spare);
  listener_stop (fixture->wrong);
  listener_stop (fixture->brain);
  fake_store_stop (fixture->store);
  ev_loop_destroy (fixture->loop);
  g_rmdir (fixture->directory);
  g_free (fixture->directory);
  g_free (fixture);
  return 0;
}

static void
put_odd_entries (fixture_t *fixture, const char *service)
{
  GArray *list = odd_entries (service, fixture->wrong->address);
  for (guint i = 0; i < list->len; i++)
    {
      const odd_t *odd = &g_array_index (list, odd_t, i);
      char *key = g_strdup_printf ("%s-%s", service, odd->name);
      fake_store_put_bytes (fixture->store, "servers", key, odd->bytes,
                            odd->size);
      g_free (key);
    }
  g_array_unref (list);
  /* Its key must not add a header to a request.  */
  char *text = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"c\",\"slots\":"
      "99,\"state\":\"ready\",\"seq\":1,\"born\":1,\"models\":[]}",
      service, fixture->wrong->address);
  char *value = g_base64_encode ((const guchar *)text, strlen (text));
  char *fields = g_strdup_printf (
      "{\"key\":\"%s\\r\\nX-A: b\",\"value\":\"%s\"}", service, value);
  char *key = g_strdup_printf ("%s-line-end", service);
  fake_store_put_odd (fixture->store, "servers", key, fields);
  g_free (key);
  g_free (fields);
  g_free (value);
  g_free (text);
}

/* Rows that are odd outside of their value.  */
static void
put_odd_rows (fixture_t *fixture, const char *table)
{
  static const char *const rows[][2] = {
    { "value-null", "{\"value\":null}" },
    { "value-number", "{\"value\":7}" },
    { "value-list", "{\"value\":[]}" },
    { "value-no-base64", "{\"value\":\"%%%\"}" },
    { "key-null", "{\"key\":null}" },
    { "key-number", "{\"key\":7}" },
    { "key-empty", "{\"key\":\"\"}" },
    { "key-line-end", "{\"key\":\"d9\\r\\nX: y\"}" },
    { "table-number", "{\"table\":7,\"value\":{}}" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    fake_store_put_odd (fixture->store, table, rows[i][0], rows[i][1]);
}

/* Both daemons follow changes of the servers and of the configuration.  */
static void
check_follows (fixture_t *fixture, const char *old_route,
               const char *new_route)
{
  char *old_path = g_strdup_printf ("/%s/x", old_route);
  char *new_path = g_strdup_printf ("/%s/x", new_route);
  for (int i = 0; i < N_DAEMONS; i++)
    for (int k = 0; k < 5; k++)
      assert_int_equal (call (fixture, &fixture->daemons[i], old_path), 200);
  put_server (fixture, "d1", "desk", fixture->spare, "ready");
  put_config (fixture, new_route);
  run_for (fixture->loop, FRESH_S);
  int before = fixture->desk->requests;
  for (int i = 0; i < N_DAEMONS; i++)
    {
      assert_int_equal (call (fixture, &fixture->daemons[i], old_path), 404);
      assert_int_equal (call (fixture, &fixture->daemons[i], new_path), 200);
      assert_int_equal (kill (fixture->daemons[i].pid, 0), 0);
    }
  assert_int_equal (fixture->desk->requests, before);
  put_server (fixture, "d1", "desk", fixture->desk, "ready");
  run_for (fixture->loop, FRESH_S);
  int reports = fixture->brain->requests;
  run_for (fixture->loop, REPORT_S);
  assert_true (fixture->brain->requests > reports);
  assert_int_equal (fixture->n_wrong_ids, 0);
  g_free (old_path);
  g_free (new_path);
}

/* Guards against an odd entry of a server that ends a daemon or hides the
   entries beside it: in the first read of the list.  */
static void
odd_entries_that_are_there_hide_no_server (void **state)
{
  fixture_t *fixture = *state;
  put_odd_entries (fixture, "desk");
  put_odd_entries (fixture, "brain");
  start_daemons (fixture);
  check_follows (fixture, "r", "s");
  assert_int_equal (fixture->wrong->accepted, 0);
}

/* The same as a change, and as passed on over the link.  */
static void
odd_entries_that_come_hide_no_server (void **state)
{
  fixture_t *fixture = *state;
  start_daemons (fixture);
  put_odd_entries (fixture, "desk");
  put_odd_entries (fixture, "brain");
  run_for (fixture->loop, FRESH_S);
  check_follows (fixture, "r", "s");
  assert_int_equal (fixture->wrong->accepted, 0);
}

/* Peak of the resident memory of PROCESS in KB.  */
static long
peak_memory_kb (const process_t *process)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)process->pid);
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  const char *line = strstr (text, "VmHWM:");
  long kb = line ? strtol (line + strlen ("VmHWM:"), NULL, 10) : -1;
  g_free (text);
  g_free (path);
  return kb;
}

/* Guards against entries, as large as the store keeps, that cost a daemon its
   memory or its time.  */
static void
large_entries_are_borne (void **state)
{
  fixture_t *fixture = *state;
  static const char *const items[] = { "\"m/a\",", "{\"name\":\"m\"}," };
  start_daemons (fixture);
  for (int i = 0; i < N_LARGE; i++)
    {
      GString *text = g_string_new (NULL);
      g_string_printf (text,
                       "{\"backend\":\"brain\",\"address\":\"%s\",\"zone\":"
                       "\"c\",\"slots\":6,\"state\":\"ready\",\"born\":1,%s",
                       unused_address (),
                       i % 2 ? "\"coming\":[\"m/a\"],\"models\":["
                             : "\"models\":[{\"name\":\"m\"}],\"coming\":[");
      while (text->len < ROW_BYTES - 32)
        g_string_append (text, items[i % 2]);
      g_string_truncate (text, text->len - 1);
      g_string_append (text, "]}");
      char *key = g_strdup_printf ("large-%d", i);
      fake_store_put (fixture->store, "servers", key, text->str);
      g_free (key);
      g_string_free (text, TRUE);
    }
  run_for (fixture->loop, FRESH_S);
  check_follows (fixture, "r", "s");
  for (int i = 0; i < N_DAEMONS; i++)
    {
      long kb = peak_memory_kb (&fixture->daemons[i]);
      print_message ("daemon %d: at most %ld KB\n", i, kb);
      assert_in_range (kb, 1, MAX_MEMORY_KB);
    }
}

/* Guards against a row without a value or key that can be read, and that hides
   all rows of the answer.  */
static void
odd_rows_that_are_there_hide_no_server (void **state)
{
  fixture_t *fixture = *state;
  put_odd_rows (fixture, "servers");
  start_daemons (fixture);
  check_follows (fixture, "r", "s");
}

/* The same as a change.  */
static void
odd_rows_that_come_hide_no_server (void **state)
{
  fixture_t *fixture = *state;
  start_daemons (fixture);
  put_odd_rows (fixture, "servers");
  run_for (fixture->loop, FRESH_S);
  check_follows (fixture, "r", "s");
}

/* Guards against a configuration that cannot be read and that ends a daemon or
   takes the place of the last good one.  */
static void
odd_configurations_change_nothing (void **state)
{
  fixture_t *fixture = *state;
  start_daemons (fixture);
  GArray *list = odd_documents ();
  for (guint i = 0; i < list->len; i++)
    {
      const odd_t *odd = &g_array_index (list, odd_t, i);
      print_message ("configuration: %s\n", odd->name);
      fake_store_put_bytes (fixture->store, "op", "config", odd->bytes,
                            odd->size);
      run_for (fixture->loop, 0.3);
      for (int k = 0; k < N_DAEMONS; k++)
        assert_int_equal (call (fixture, &fixture->daemons[k], "/r/x"), 200);
    }
  g_array_unref (list);
  put_odd_rows (fixture, "op");
  fake_store_put_odd (fixture->store, "op", "config", "{\"value\":null}");
  run_for (fixture->loop, FRESH_S);
  check_follows (fixture, "r", "s");
}

/* Guards against a report of an engine that ends a daemon.  */
static void
odd_reports_are_survived (void **state)
{
  fixture_t *fixture = *state;
  start_daemons (fixture);
  GArray *list = odd_documents ();
  for (guint i = 0; i < list->len; i++)
    {
      fixture->report = &g_array_index (list, odd_t, i);
      int before = fixture->brain->requests;
      run_until (fixture->loop, &fixture->brain->requests, before + 2,
                 REPORT_S);
      for (int k = 0; k < N_DAEMONS; k++)
        assert_int_equal (call (fixture, &fixture->daemons[k], "/r/x"), 200);
    }
  fixture->report = NULL;
  g_array_unref (list);
  check_follows (fixture, "r", "s");
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (odd_entries_that_are_there_hide_no_server),
    TEST (odd_entries_that_come_hide_no_server),
    TEST (large_entries_are_borne),
    TEST (odd_rows_that_are_there_hide_no_server),
    TEST (odd_rows_that_come_hide_no_server),
    TEST (odd_configurations_change_nothing),
    TEST (odd_reports_are_survived),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
