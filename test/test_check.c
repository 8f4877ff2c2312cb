/* Checks of a configuration before it is sent.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <sys/wait.h>

#include "common-findings.h"
#include "lib/check/check.h"
#include "lib/lists-diff.h"
#include "platform/config-check.h"

#define USES                                                                  \
  "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 1\n"                 \
  "[[model]]\nname = \"idle\"\nversion = \"1\"\nmemory_mb = 1\n"              \
  "[[service]]\nname = \"s\"\n"                                               \
  "[[service]]\nname = \"o\"\nopen = true\n"                                  \
  "[[plan]]\nname = \"p\"\nrate = 10\nburst = 10\nmodels = [\"m\"]\n"         \
  "[[plan]]\nname = \"q\"\nrate = 10\nburst = 9\n"
#define PLANS                                                                 \
  "[[organisation]]\nname = \"north\"\nplan = \"p\"\n"                        \
  "[[organisation]]\nname = \"south\"\nplan = \"p\"\nbranch = \"b\"\n"        \
  "rate = 10\nburst = 5\n"

static void
assert_finding (const findings_t *findings, int line, const char *field,
                const char *found)
{
  for (size_t i = 0; i < findings->n; i++)
    if (findings->items[i].line == line
        && strcmp (findings->items[i].field, field) == 0
        && strcmp (findings->items[i].found, found) == 0)
      return;
  for (size_t i = 0; i < findings->n; i++)
    print_message ("%d: %s: found %s\n", findings->items[i].line,
                   findings->items[i].field, findings->items[i].found);
  fail_msg ("no finding %d: %s: found %s", line, field, found);
}

/* Guards against unused entries and contradicting limits that are not
   reported, or are reported at the wrong line, and against reports of entries
   that are right.  */
static void
lists_are_checked (void **state)
{
  (void)state;
  findings_t findings = { .n = 0 };
  kwf_lists_t *lists
      = kwf_lists_parse (PLANS, "plans", USES, "uses", NULL, NULL);
  assert_non_null (lists);
  check_text_t plans = { "plans", PLANS };
  check_text_t uses = { "uses", USES };
  assert_int_equal (
      check_lists (lists, &plans, &uses, findings_collect, &findings), 6);
  assert_int_equal (findings.n, 6);
  assert_finding (&findings, 6, "model[2].name", "idle");
  assert_finding (&findings, 10, "service[1].name", "s");
  assert_finding (&findings, 20, "plan[2].name", "q");
  assert_finding (&findings, 22, "plan[2].burst", "9");
  assert_finding (&findings, 8, "organisation[2].rate",
                  "the limit of the plan");
  assert_finding (&findings, 9, "organisation[2].burst", "5");
  kwf_lists_free (lists);
}

#define ROUTE(name, rest)                                                     \
  "{\"name\":\"" name "\",\"hostname\":\"h\",\"path_prefix\":\"/" rest "}"
#define GOOD_ROUTE ROUTE ("r", "\",\"backend\":\"s\",\"timeout_ms\":600")
#define CONFIG(routes)                                                        \
  "{\"services\":[{\"name\":\"s\"}],\"routes\":[" routes "],\"tenants\":"     \
  "[{\"name\":\"t\",\"rate_per_s\":5,\"burst\":5,\"api_keys\":[\"k\"]}]}"

static const char bad_config[]
    = "{\"services\":[{\"name\":\"s\"},{\"name\":\"idle\",\"engine\":{"
      "\"models\":[{\"name\":\"m\"},{\"name\":\"m\"}]}}],\"routes\":"
      "[" GOOD_ROUTE "," ROUTE ("again", "\",\"backend\":\"s\"") "," ROUTE (
          "late",
          "l/\",\"backend\":\"s\",\"timeout_ms\":500,"
          "\"target_latency_ms\":600") "," ROUTE ("lost", "x/"
                                                          "\",\"backend\":"
                                                          "\"none\"") "],"
                                                                      "\"tenan"
                                                                      "ts\":[{"
                                                                      "\"name"
                                                                      "\":"
                                                                      "\"t\","
                                                                      "\"rate_"
                                                                      "per_"
                                                                      "s\":0."
                                                                      "5,"
                                                                      "\"burst"
                                                                      "\":0.5,"
                                                                      "\"api_"
                                                                      "keys\":"
                                                                      "[\"k\"]"
                                                                      "},{"
                                                                      "\"name"
                                                                      "\":"
                                                                      "\"bare"
                                                                      "\","
                                                                      "\"rate_"
                                                                      "per_"
                                                                      "s\":5,"
                                                                      "\"burst"
                                                                      "\":5},{"
                                                                      "\"name"
                                                                      "\":"
                                                                      "\"u\","
                                                                      "\"unit"
                                                                      "\":"
                                                                      "\"token"
                                                                      "s\","
                                                                      "\"plain"
                                                                      "_tokens"
                                                                      "\":9,"
                                                                      "\"rate_"
                                                                      "per_"
                                                                      "s\":5,"
                                                                      "\"burst"
                                                                      "\":8,"
                                                                      "\"api_"
                                                                      "keys\":"
                                                                      "[\"l\"]"
                                                                      "}]}";

/* The same for the platform's configuration; a shadowed route, which the
   decoder leaves out, must be reported too.  */
static void
platform_is_checked (void **state)
{
  (void)state;
  findings_t findings = { .n = 0 };
  size_t n = 9;
  kwf_lists_t *lists = platform_config_check (CONFIG (GOOD_ROUTE), "c",
                                              findings_collect, &findings, &n);
  assert_non_null (lists);
  assert_int_equal (n, 0);
  kwf_lists_t *bad = platform_config_check (bad_config, "c", findings_collect,
                                            &findings, &n);
  assert_non_null (bad);
  assert_int_equal (n, 8);
  assert_finding (&findings, 0, "engine.models[2]", "m");
  assert_finding (&findings, 0, "routes[2]", "again");
  assert_finding (&findings, 0, "routes[\"late\"].timeout_ms", "500");
  assert_finding (&findings, 0, "routes[\"lost\"].backend", "none");
  assert_finding (&findings, 0, "services[\"idle\"]", "idle");
  assert_finding (&findings, 0, "tenants[\"t\"].burst", "0.5");
  assert_finding (&findings, 0, "tenants[\"bare\"].api_keys", "nothing");
  assert_finding (&findings, 0, "tenants[\"u\"].burst", "8");
  char *changes = lists_diff (lists, bad);
  assert_non_null (strstr (changes, "+ service idle: "));
  assert_non_null (strstr (changes, "+ route h/l/: late, "));
  assert_non_null (strstr (changes, "~ organisation t: "));
  assert_null (strstr (changes, "route h/: "));
  g_free (changes);
  kwf_lists_free (lists);
  kwf_lists_free (bad);
  findings.n = 0;
  assert_null (platform_config_check ("{\n\"a\"", "c", findings_collect,
                                      &findings, &n));
  assert_int_equal (findings.items[0].line, 2);
}

/* Run "knapweedfork check ARGUMENTS" in DIRECTORY.  */
static int
check_status (const char *directory, const char *arguments, char **out)
{
  char *line = g_strdup_printf ("%s/knapweedfork check %s",
                                g_getenv ("KWF_BIN"), arguments);
  char **argv = g_strsplit (line, " ", -1);
  int status = -1;
  g_free (*out);
  assert_true (g_spawn_sync (directory, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL,
                             NULL, NULL, out, NULL, &status, NULL));
  g_strfreev (argv);
  g_free (line);
  assert_true (WIFEXITED (status));
  return WEXITSTATUS (status);
}

/* Guards against a script that sends a configuration with findings, or takes
   a difference or an unreadable file for one.  */
static void
exit_status_tells_findings (void **state)
{
  (void)state;
  static const char *const files[][2] = {
    { "plans", PLANS },
    { "uses", USES },
    { "good", CONFIG (GOOD_ROUTE) },
    { "bad", bad_config },
    { "cut", "{" },
    { "shown", "{\"version\":0,\"plans\":\"\",\"uses\":\"\"}" },
  };
  char *directory = g_dir_make_tmp ("kwf-check-XXXXXX", NULL);
  char *out = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *path = g_build_filename (directory, files[i][0], NULL);
      assert_true (g_file_set_contents (path, files[i][1], -1, NULL));
      g_free (path);
    }
  assert_int_equal (check_status (directory, "--platform=good", &out), 0);
  assert_int_equal (
      check_status (directory, "--platform=good --against=bad", &out), 0);
  assert_non_null (strstr (out, "- service idle: "));
  assert_int_equal (check_status (directory, "--platform=bad", &out), 1);
  assert_int_equal (check_status (directory, "plans uses", &out), 1);
  assert_int_equal (
      check_status (directory, "plans uses --against=shown --json", &out), 1);
  assert_non_null (strstr (out, "\"before\""));
  assert_int_equal (check_status (directory, "--platform=cut", &out), 2);
  assert_int_equal (
      check_status (directory, "--platform=good --against=cut", &out), 2);
  assert_int_equal (check_status (directory, "plans uses --against=cut", &out),
                    2);
  for (size_t i = 0; i < G_N_ELEMENTS (files); i++)
    {
      char *path = g_build_filename (directory, files[i][0], NULL);
      g_unlink (path);
      g_free (path);
    }
  g_rmdir (directory);
  g_free (directory);
  g_free (out);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lists_are_checked),
    cmocka_unit_test (platform_is_checked),
    cmocka_unit_test (exit_status_tells_findings),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
