/* Tests of the operators' command with a simulated operator port.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <microhttpd.h>
#include <sys/wait.h>

#include "common-certificate.h"

/* Operator port.  The server runs in its own thread.  The test accesses these
   fields only while no command runs.  */

static struct
{
  struct MHD_Daemon *daemon;
  int port;
  int status; /* 0: close the connection without an answer */
  const char *answer;
  GString *body; /* body of the last request */
  char *line;    /* method and path of the last request */
  char *authorization;
} server;

static enum MHD_Result
answer_request (void *data, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *upload,
                size_t *upload_size, void **context)
{
  (void)data;
  (void)version;
  static int first;
  if (!*context)
    {
      *context = &first;
      g_string_truncate (server.body, 0);
      return MHD_YES;
    }
  if (*upload_size)
    {
      g_string_append_len (server.body, upload, (gssize)*upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  g_free (server.line);
  server.line = g_strdup_printf ("%s %s", method, url);
  g_free (server.authorization);
  server.authorization = g_strdup (MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, "Authorization"));
  if (!server.status)
    return MHD_NO;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (server.answer), (void *)server.answer, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result
      = MHD_queue_response (connection, (unsigned)server.status, response);
  MHD_destroy_response (response);
  return result;
}

/* Files, and running the command.  */

#define USES                                                                  \
  "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 1\n"                 \
  "[[plan]]\nname = \"p\"\nrate = 10\nburst = 10\nmodels = [\"m\"]\n"
#define PLANS "[[organisation]]\nname = \"north\"\nplan = \"p\"\n"
#define PLANS_2 PLANS "[[organisation]]\nname = \"south\"\nplan = \"p\"\n"

static char *directory;
static char *out;
static char *err;

static char *
path_of (const char *name)
{
  return g_build_filename (directory, name, NULL);
}

static void
write_file (const char *name, const char *text)
{
  char *path = path_of (name);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

/* Run the command in the directory of the files and return its exit status.
   ARGUMENTS are separated by spaces.  */
static int
run_without_server (const char *arguments)
{
  char *program
      = g_build_filename (g_getenv ("KWF_BIN"), "knapweedfork", NULL);
  char *line = g_strconcat (program, " ", arguments, NULL);
  char **argv = g_strsplit (line, " ", -1);
  g_free (out);
  g_free (err);
  int status = -1;
  assert_true (g_spawn_sync (directory, argv, NULL, G_SPAWN_DEFAULT, NULL,
                             NULL, &out, &err, &status, NULL));
  g_strfreev (argv);
  g_free (line);
  g_free (program);
  assert_true (WIFEXITED (status));
  return WEXITSTATUS (status);
}

static int
run (const char *arguments, int status, const char *answer)
{
  server.status = status;
  server.answer = answer;
  char *all = g_strdup_printf ("--instance=127.0.0.1:%d --token-file=token %s",
                               server.port, arguments);
  int result = run_without_server (all);
  g_free (all);
  return result;
}

static void
assert_contains (const char *text, const char *part)
{
  if (!strstr (text, part))
    fail_msg ("\"%s\" does not contain \"%s\"", text, part);
}

/* Start the operator port; with TLS unless CERTIFICATE is NULL.  */
static void
start_server (const char *certificate, const char *key)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  struct MHD_OptionItem tls[]
      = { { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)certificate },
          { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)key },
          { MHD_OPTION_END, 0, NULL } };
  server.daemon = MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | (certificate ? MHD_USE_TLS : 0), 0,
      NULL, NULL, answer_request, NULL, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&address, MHD_OPTION_ARRAY,
      certificate ? tls : &tls[2], MHD_OPTION_END);
  assert_non_null (server.daemon);
  server.port
      = MHD_get_daemon_info (server.daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

static int
set_up (void **state)
{
  (void)state;
  g_unsetenv ("KNAPWEEDFORK_INSTANCE");
  g_unsetenv ("KNAPWEEDFORK_TOKEN_FILE");
  assert_non_null (g_getenv ("KWF_BIN"));
  directory = g_dir_make_tmp ("kwf-command-XXXXXX", NULL);
  assert_non_null (directory);
  write_file ("token", "the-operator-token\n");
  write_file ("plans.toml", "# version 7\n" PLANS_2);
  write_file ("uses.toml", "# version 7\n" USES);
  write_file ("bare.toml", PLANS_2);
  write_file ("bare-uses.toml", USES);
  write_file ("other.toml", "# version 8\n" USES);
  write_file ("bad.toml", "# version 7\n[[organisation]]\nname = \"n\"\n"
                          "plan = \"q\"\n");
  server.body = g_string_new (NULL);
  start_server (NULL, NULL);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  MHD_stop_daemon (server.daemon);
  g_string_free (server.body, TRUE);
  g_free (server.line);
  g_free (server.authorization);
  GDir *files = g_dir_open (directory, 0, NULL);
  const char *name;
  while ((name = g_dir_read_name (files)))
    {
      char *path = path_of (name);
      g_unlink (path);
      g_free (path);
    }
  g_dir_close (files);
  g_rmdir (directory);
  g_free (directory);
  g_free (out);
  g_free (err);
  return 0;
}

#define LISTS_ANSWER(version, plans)                                          \
  "{\"version\":" version ",\"plans\":" plans ",\"uses\":"                    \
  "\"[[model]]\\nname = \\\"m\\\"\\nversion = \\\"1\\\"\\n"                   \
  "memory_mb = 1\\n[[plan]]\\nname = \\\"p\\\"\\nrate = 10\\nburst = 10\\n"   \
  "models = [\\\"m\\\"]\\n\"}"
#define PLANS_AS_JSON_STRING                                                  \
  "\"[[organisation]]\\nname = \\\"north\\\"\\nplan = \\\"p\\\"\\n\""

/* Findings must have their place in the file, and a check must need no
   instance.  */
static void
check_prints_findings (void **state)
{
  (void)state;
  assert_int_equal (run_without_server ("check plans.toml uses.toml"), 0);
  assert_string_equal (out, "valid: 2 organisations, 1 models, 0 services\n");
  assert_int_equal (run_without_server ("check bad.toml uses.toml"), 2);
  assert_contains (err, "bad.toml:4: organisation[1].plan: found q, ");
  assert_int_equal (run_without_server ("--json check bad.toml uses.toml"), 2);
  json_t *body = json_loads (out, 0, NULL);
  assert_true (json_is_false (json_object_get (body, "valid")));
  assert_int_equal (json_array_size (json_object_get (body, "findings")), 1);
  json_decref (body);
  assert_int_equal (run_without_server ("check absent uses.toml"), 2);
  assert_contains (err, "absent");
}

/* The lists in force must be those of the instance, and an instance that
   cannot be asked must not count as one without differences.  */
static void
check_compares_with_the_instance (void **state)
{
  (void)state;
  static const char line[] = "check plans.toml uses.toml --in-force";
  assert_int_equal (run (line, 200, LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)),
                    0);
  assert_string_equal (server.line, "GET /lists");
  assert_contains (out, "+ organisation south: ");
  assert_int_equal (run (line, 0, ""), 2);
  assert_int_equal (run (line, 200, "{}"), 2);
  assert_int_equal (run_without_server (line), 2);
}

/* Wrong usage must end with status 2 and a message.  */
static void
wrong_usage_is_told (void **state)
{
  (void)state;
  assert_int_equal (run_without_server ("nonsense"), 2);
  assert_contains (err, "no command \"nonsense\"");
  assert_int_equal (run_without_server ("check plans.toml"), 2);
  assert_contains (err, "Usage: knapweedfork check PLANS USES");
  assert_int_equal (run_without_server ("key add"), 2);
  assert_int_equal (run_without_server ("key withdraw"), 2);
  assert_int_equal (run_without_server ("key withdraw k --digest=d"), 2);
  assert_int_equal (run_without_server ("key"), 2);
  assert_int_equal (run_without_server ("--no-such-option"), 2);
  assert_int_equal (run_without_server ("apply a b --version=-1"), 2);
  assert_int_equal (run_without_server ("status"), 2);
  assert_contains (err, "KNAPWEEDFORK_INSTANCE");
  assert_int_equal (run_without_server ("status -i 127.0.0.1:1"), 2);
  assert_contains (err, "KNAPWEEDFORK_TOKEN_FILE");
  assert_int_equal (run ("show nonsense", 200, "{}"), 2);
  assert_int_equal (run_without_server ("--help"), 0);
  assert_contains (out, "Exit status");
  assert_int_equal (run_without_server ("apply --help"), 0);
  assert_contains (out, "--dry-run");
  assert_int_equal (run_without_server ("--usage"), 0);
  assert_int_equal (run_without_server ("--version"), 0);
  assert_contains (out, "knapweedfork ");
}

static void
assert_sent (const char *plans, int64_t version)
{
  json_t *body = json_loads (server.body->str, 0, NULL);
  assert_string_equal (server.line, "POST /lists");
  assert_string_equal (server.authorization, "Bearer the-operator-token");
  assert_string_equal (json_string_value (json_object_get (body, "plans")),
                       plans);
  assert_string_equal (json_string_value (json_object_get (body, "uses")),
                       USES);
  assert_int_equal (json_integer_value (json_object_get (body, "version")),
                    version);
  json_decref (body);
}

/* The lists must be sent with the version they were edited from and without
   the version line.  */
static void
apply_sends_the_edited_version (void **state)
{
  (void)state;
  assert_int_equal (run ("apply plans.toml uses.toml", 200, "{\"version\":9}"),
                    0);
  assert_sent (PLANS_2, 7);
  assert_contains (out, "version 9 is in force");
  assert_int_equal (
      run ("apply --version=5 plans.toml uses.toml", 200, "{\"version\":9}"),
      0);
  assert_sent (PLANS_2, 5);
  assert_int_equal (run ("apply plans.toml other.toml", 200, "{}"), 2);
  assert_contains (err, "use --version");
  assert_int_equal (run ("apply bad.toml uses.toml", 200, "{}"), 2);
}

/* Files without a version must not overwrite the changes of others.  */
static void
apply_needs_a_version (void **state)
{
  (void)state;
  assert_int_equal (run ("apply bare.toml bare-uses.toml", 200,
                         LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)),
                    2);
  assert_string_equal (server.line, "GET /lists");
  assert_contains (err, "version 7 is in force");
  assert_int_equal (run ("apply bare.toml bare-uses.toml", 200,
                         "{\"version\":0,\"plans\":\"\",\"uses\":\"\"}"),
                    0);
  assert_sent (PLANS_2, 0);
}

/* After a conflict the operator must see what the other one changed.  */
static void
apply_shows_a_conflict (void **state)
{
  (void)state;
  assert_int_equal (
      run ("apply plans.toml uses.toml", 409,
           "{\"error\":{\"code\":\"conflict\",\"message\":\"changed\"},"
           "\"version\":8,\"plans\":" PLANS_AS_JSON_STRING ",\"uses\":\"\"}"),
      3);
  assert_contains (err, "version 7; version 8 is in force");
  assert_int_equal (run ("apply plans.toml uses.toml", 409,
                         LISTS_ANSWER ("8", PLANS_AS_JSON_STRING)),
                    3);
  assert_contains (err, "+ organisation south: ");
}

/* An unknown outcome must not be reported as a failure, nor a failure as an
   unknown outcome.  */
static void
outcomes_have_their_status (void **state)
{
  (void)state;
  assert_int_equal (run ("apply plans.toml uses.toml", 504,
                         "{\"error\":{\"code\":\"outcome_unknown\"}}"),
                    4);
  assert_int_equal (run ("apply plans.toml uses.toml", 0, ""), 4);
  assert_contains (err, "the outcome is unknown");
  assert_int_equal (run ("key add north", 0, ""), 4);
  assert_int_equal (run ("show", 0, ""), 1);
  assert_int_equal (run ("apply plans.toml uses.toml", 503,
                         "{\"error\":{\"code\":\"not_written\"}}"),
                    1);
  assert_int_equal (run ("key add north", 401, "not JSON"), 1);
  assert_int_equal (
      run ("apply plans.toml uses.toml", 400,
           "{\"error\":{\"code\":\"invalid_lists\",\"findings\":[{"
           "\"file\":\"uses\",\"line\":2,\"field\":\"model[1].name\","
           "\"found\":\"m\",\"allowed\":\"other\"}]}}"),
      2);
  assert_contains (err, "uses.toml:3: model[1].name: found m, allowed: other");
  assert_int_equal (
      run_without_server ("apply plans.toml uses.toml "
                          "--instance=127.0.0.1:1 --token-file=token"),
      1);
}

/* A dry run must not send a POST, and must report a conflict if another
   version is in force than the one that the files were edited from.  */
static void
dry_run_writes_nothing (void **state)
{
  (void)state;
  assert_int_equal (run ("apply --dry-run plans.toml uses.toml", 200,
                         LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)),
                    0);
  assert_string_equal (server.line, "GET /lists");
  assert_contains (out, "+ organisation south: ");
  assert_int_equal (run ("apply --dry-run plans.toml uses.toml", 200,
                         LISTS_ANSWER ("8", PLANS_AS_JSON_STRING)),
                    3);
  assert_int_equal (run ("apply --dry-run --json plans.toml uses.toml", 200,
                         LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)),
                    0);
  json_t *body = json_loads (out, 0, NULL);
  assert_contains (json_string_value (json_object_get (body, "changes")),
                   "+ organisation south: ");
  json_decref (body);
}

/* Lists must be valid input for "apply" in the form in which "show" writes
   them.  */
static void
show_writes_the_version (void **state)
{
  (void)state;
  assert_int_equal (
      run ("show plans", 200, LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)), 0);
  assert_string_equal (out, "# version 7\n" PLANS);
  assert_int_equal (
      run ("show uses", 200, LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)), 0);
  assert_string_equal (out, "# version 7\n" USES);
  assert_int_equal (
      run ("show", 200, LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)), 0);
  assert_contains (out, PLANS);
  assert_contains (out, USES);
  assert_int_equal (
      run ("show --json", 200, LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)), 0);
  json_t *body = json_loads (out, 0, NULL);
  assert_int_equal (json_integer_value (json_object_get (body, "version")), 7);
  json_decref (body);
  char *shown = path_of ("shown");
  assert_int_equal (g_mkdir (shown, 0700), 0);
  assert_int_equal (run ("show --output=shown", 200,
                         LISTS_ANSWER ("7", PLANS_AS_JSON_STRING)),
                    0);
  assert_int_equal (
      run ("apply shown/plans.toml shown/uses.toml", 200, "{\"version\":8}"),
      0);
  assert_sent (PLANS, 7);
  static const char *const names[] = { "plans.toml", "uses.toml" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_build_filename (shown, names[i], NULL);
      g_unlink (path);
      g_free (path);
    }
  g_rmdir (shown);
  g_free (shown);
}

/* Keys must be printed whole, and members that did not confirm a withdrawal
   must be reported.  */
static void
keys_are_added_and_withdrawn (void **state)
{
  (void)state;
  assert_int_equal (
      run ("key add north", 200, "{\"key\":\"kwf_x\",\"digest\":\"abc\"}"), 0);
  assert_string_equal (server.line, "POST /keys");
  assert_string_equal (server.body->str, "{\"organisation\":\"north\"}");
  assert_string_equal (out, "key: kwf_x\ndigest: abc\n");
  assert_int_equal (run ("key withdraw kwf_x", 200,
                         "{\"digest\":\"abc\",\"confirmed\":[\"a\",\"b\"],"
                         "\"unconfirmed\":[\"c\"]}"),
                    0);
  assert_string_equal (server.line, "POST /keys/withdraw");
  assert_string_equal (server.body->str, "{\"key\":\"kwf_x\"}");
  assert_string_equal (out, "withdrawn: abc\nconfirmed by: a b\n");
  assert_contains (err, "not confirmed by: c\n");
  assert_int_equal (run ("key withdraw --digest=abc", 404,
                         "{\"error\":{\"code\":\"unknown_key\","
                         "\"message\":\"there is no such key\"}}"),
                    1);
  assert_string_equal (server.body->str, "{\"digest\":\"abc\"}");
  assert_contains (err, "unknown_key: there is no such key");
}

/* Fields and types that this program does not know must not break the status
   page.  */
static void
status_prints_any_fields (void **state)
{
  (void)state;
  static const char page[]
      = "{\"instance\":\"a\",\"lease\":{\"valid\":true,\"left_ms\":1.5},"
        "\"servers\":[{\"id\":\"s1\",\"models\":[\"m\",\"n\"]},"
        "{\"id\":\"s2\",\"models\":[]}],\"none\":null,\"list\":[],"
        "\"deep\":[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]}";
  assert_int_equal (run ("status", 200, page), 0);
  assert_contains (out, "instance: a\n");
  assert_contains (out, "lease: valid yes, left_ms 1.5\n");
  assert_contains (out, "    models: m, n\n");
  assert_contains (out, "...");
  assert_int_equal (run ("status --json", 200, page), 0);
  json_t *body = json_loads (out, 0, NULL);
  assert_non_null (body);
  json_decref (body);
  assert_int_equal (run ("status", 200, "[1,2]"), 1);
  assert_int_equal (run ("status", 200, "no JSON"), 1);
  assert_int_equal (run ("show plans", 200, ""), 1);
  assert_string_equal (out, "");
  assert_int_equal (run ("key add north", 200, ""), 4);
}

/* The token must not be sent without TLS if --ca is given, nor to a server
   whose certificate is not signed by the operators' CA.  */
static void
tls_checks_the_certificate (void **state)
{
  (void)state;
  struct MHD_Daemon *plain = server.daemon;
  int plain_port = server.port;
  char *certificates[2];
  char *keys[2];
  for (int i = 0; i < 2; i++)
    assert_true (certificate_make (&certificates[i], &keys[i]));
  write_file ("own.pem", certificates[0]);
  write_file ("other.pem", certificates[1]);
  start_server (certificates[0], keys[0]);
  assert_int_equal (run ("--ca=own.pem status", 200, "{\"instance\":\"a\"}"),
                    0);
  assert_contains (out, "instance: a\n");
  g_free (server.line);
  server.line = NULL;
  assert_int_equal (run ("--ca=other.pem status", 200, "{}"), 1);
  assert_int_equal (run ("status", 200, "{}"), 1);
  assert_null (server.line);
  MHD_stop_daemon (server.daemon);
  server.daemon = plain;
  server.port = plain_port;
  assert_int_equal (run ("--ca=own.pem status", 200, "{}"), 1);
  assert_null (server.line);
  for (int i = 0; i < 2; i++)
    {
      g_free (certificates[i]);
      g_free (keys[i]);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (check_prints_findings),
    cmocka_unit_test (check_compares_with_the_instance),
    cmocka_unit_test (wrong_usage_is_told),
    cmocka_unit_test (apply_sends_the_edited_version),
    cmocka_unit_test (apply_needs_a_version),
    cmocka_unit_test (apply_shows_a_conflict),
    cmocka_unit_test (outcomes_have_their_status),
    cmocka_unit_test (dry_run_writes_nothing),
    cmocka_unit_test (show_writes_the_version),
    cmocka_unit_test (keys_are_added_and_withdrawn),
    cmocka_unit_test (status_prints_any_fields),
    cmocka_unit_test (tls_checks_the_certificate),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
