/* Tests of the daemon's settings: reading, findings, and docs/CONFIG.md.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include <knapweedfork/settings.h>

#include "common-findings.h"
#include "lib/settings-table.h"

#define SETTINGS                                                              \
  "[instance]\nid = \"e1\"\ndata_centre = \"north\"\n"                        \
  "[callers]\nlisten = \"127.0.0.1:8080\"\n"                                  \
  "[operator]\nlisten = \"127.0.0.1:8081\"\ntoken_file = \"token\"\n"         \
  "[peers]\nlisten = \"127.0.0.1:8082\"\nsecret_file = \"secret\"\n"          \
  "[platform]\naddress = \"127.0.0.1:8083\"\n"                                \
  "[keys]\npepper_file = \"pepper\"\n"

static char *directory;

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

static int
set_up (void **state)
{
  (void)state;
  directory = g_dir_make_tmp ("kwf-settings-XXXXXX", NULL);
  assert_non_null (directory);
  write_file ("token", "0123456789abcdef-token\n");
  write_file ("secret", "0123456789abcdef-secret\n");
  write_file ("pepper", "0123456789abcdef-pepper");
  write_file ("short", "tooshort\n");
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  static const char *const names[]
      = { "token", "secret", "pepper", "short", "s.toml" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = path_of (names[i]);
      g_unlink (path);
      g_free (path);
    }
  g_rmdir (directory);
  g_free (directory);
  return 0;
}

static kwf_settings_t *
write_and_read_settings (const char *text, findings_t *findings)
{
  write_file ("s.toml", text);
  char *path = path_of ("s.toml");
  findings->n = 0;
  kwf_settings_t *settings
      = kwf_settings_read (path, findings_collect, findings);
  assert_true ((settings != NULL) == (findings->n == 0));
  g_free (path);
  return settings;
}

static void
assert_finding (const char *text, int line, const char *field,
                const char *allowed)
{
  findings_t findings;
  assert_null (write_and_read_settings (text, &findings));
  for (size_t i = 0; i < findings.n && findings.n != 1; i++)
    print_message ("%d: %s: found %s, allowed %s\n", findings.items[i].line,
                   findings.items[i].field, findings.items[i].found,
                   findings.items[i].allowed);
  assert_int_equal (findings.n, 1);
  assert_string_equal (findings.items[0].field, field);
  assert_int_equal (findings.items[0].line, line);
  if (!strstr (findings.items[0].allowed, allowed))
    fail_msg ("\"%s\" does not contain \"%s\"", findings.items[0].allowed,
              allowed);
}

/* Defaults must be right, and secrets must not include their final
   newline.  */
static void
defaults_are_set (void **state)
{
  (void)state;
  findings_t findings;
  kwf_settings_t *s = write_and_read_settings (SETTINGS, &findings);
  assert_non_null (s);
  assert_string_equal (s->instance, "e1");
  assert_string_equal (s->caller_address, "127.0.0.1:8080");
  assert_string_equal (s->peer_address, "127.0.0.1:8082");
  assert_string_equal (s->operator_token, "0123456789abcdef-token");
  assert_string_equal (s->fleet_secret, "0123456789abcdef-secret");
  assert_string_equal (s->key_pepper, "0123456789abcdef-pepper");
  assert_null (s->tls_certificate);
  assert_string_equal (s->log_format, "text");
  assert_string_equal (s->log_level, "info");
  assert_int_equal (s->lease_ms, 2400);
  assert_int_equal (s->renew_ms, 800);
  assert_int_equal (s->probe_ms, 500);
  assert_int_equal (s->address_lifetime_ms, 5000);
  assert_int_equal (s->default_timeout_ms, 60000);
  assert_int_equal (s->stop_limit_ms, 0);
  assert_float_equal (s->retry_share, 0.1, 0);
  assert_int_equal (s->queue_length, 1024);
  assert_int_equal (s->queue_organisation_length, 256);
  assert_int_equal (s->first_token_ms[2], 10000);
  kwf_settings_free (s);
}

/* If two settings bound the age of the tables, the shorter one must hold.  */
static void
shorter_bound_of_tables_holds (void **state)
{
  (void)state;
  static const char *const texts[]
      = { "fresh_ms = 3000\nlists_ms = 1500\n",
          "fresh_ms = 1500\nlists_ms = 3000\n", "fresh_ms = 1500\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      findings_t findings;
      GString *text = g_string_new (SETTINGS);
      g_string_replace (text, "[platform]\n", "[platform]\n@", 1);
      g_string_replace (text, "@", texts[i], 1);
      kwf_settings_t *s = write_and_read_settings (text->str, &findings);
      assert_non_null (s);
      assert_int_equal (s->fresh_ms, 1500);
      kwf_settings_free (s);
      g_string_free (text, TRUE);
    }
}

/* Values that are set must replace the defaults.  */
static void
values_replace_defaults (void **state)
{
  (void)state;
  findings_t findings;
  kwf_settings_t *s = write_and_read_settings (
      SETTINGS "[session]\nlease_ms = 1200\nrenew_ms = 400\n"
               "[backend]\nretry_share = 0\nconnect_ms = 77\n"
               "[log]\nformat = \"json\"\nlevel = \"debug\"\n",
      &findings);
  assert_non_null (s);
  assert_int_equal (s->lease_ms, 1200);
  assert_int_equal (s->renew_ms, 400);
  assert_int_equal (s->connect_ms, 77);
  assert_float_equal (s->retry_share, 0, 0);
  assert_string_equal (s->log_format, "json");
  assert_string_equal (s->log_level, "debug");
  kwf_settings_free (s);
}

/* Values that would break a guarantee, and misspelt names, must be
   reported.  */
static void
values_are_checked (void **state)
{
  (void)state;
  assert_finding (SETTINGS "[session]\nlease_ms = 2401\n", 17,
                  "session.lease_ms", "300 to 2400");
  assert_finding (SETTINGS "[placement]\nlease_ms = 500\n"
                           "tokens = \"unchecked\"\n",
                  17, "placement.lease_ms", "600 to 600000");
  assert_finding (SETTINGS "[placement]\ntokens = \"cheked\"\n", 17,
                  "placement.tokens", "checked");
  assert_finding (SETTINGS "[session]\nlease_ms = 300\nrenew_ms = 200\n", 18,
                  "session.renew_ms", "at most half");
  assert_finding (SETTINGS "[session]\nlaese_ms = 300\n", 17,
                  "session.laese_ms", "did you mean \"lease_ms\"?");
  assert_finding (SETTINGS "[sesion]\nlease_ms = 300\n", 16, "sesion",
                  "did you mean \"session\"?");
  assert_finding (SETTINGS "[backend]\nretry_share = 0.21\n", 17,
                  "backend.retry_share", "0 to 0.2");
  assert_finding (SETTINGS "[backend]\nprobe_ms = \"1\"\n", 17,
                  "backend.probe_ms", "whole number");
  assert_finding (SETTINGS "[log]\nlevel = \"loud\"\n", 17, "log.level",
                  "\"debug\"");
  assert_finding ("log = 3\n" SETTINGS, 1, "log", "[log]");
  assert_finding ("x = 3\n" SETTINGS, 1, "x", "instance");
  assert_finding (SETTINGS "x = \n", 16, "", "TOML");
}

/* The valid settings with FROM replaced by TO.  */
static char *
settings_with (const char *from, const char *to)
{
  GString *text = g_string_new (SETTINGS);
  assert_int_equal (g_string_replace (text, from, to, 1), 1);
  return g_string_free (text, FALSE);
}

/* Addresses, names and secrets that cannot work must be reported.  */
static void
required_values_are_checked (void **state)
{
  (void)state;
  static const struct
  {
    const char *from;
    const char *to;
    int line;
    const char *field;
    const char *allowed;
  } cases[] = {
    { "id = \"e1\"\n", "", 1, "instance.id", "required" },
    { "\"e1\"", "\"e 1\"", 2, "instance.id", "letters" },
    { "127.0.0.1:8080", "localhost:8080", 5, "callers.listen", "IP:PORT" },
    { "127.0.0.1:8080", "127.0.0.1:65536", 5, "callers.listen", "IP:PORT" },
    { "127.0.0.1:8080", "0.0.0.0:8080", 4, "callers.address", "required" },
    { "127.0.0.1:8080", "[::]:8080", 4, "callers.address", "required" },
    { "127.0.0.1:8083", "127.0.0.1:0", 13, "platform.address", "IP:PORT" },
    { "127.0.0.1:8083", "::1:80", 13, "platform.address", "IP:PORT" },
    { "\"token\"", "\"short\"", 8, "operator.token_file", "16 to 4096" },
    { "\"token\"", "\"absent\"", 8, "operator.token_file", "readable" },
    { "\"token\"", "7", 8, "operator.token_file", "name of a file" },
    { "[callers]\n", "[callers]\ntls_key = \"token\"\n", 4,
      "callers.tls_certificate", "both" },
    { "[callers]\n",
      "[callers]\ntls_key = \"absent\"\ntls_certificate = \"token\"\n", 5,
      "callers.tls_key", "readable" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = settings_with (cases[i].from, cases[i].to);
      if (strcmp (cases[i].field, "callers.tls_key") == 0)
        {
          /* Without one of the files the pair is also incomplete.  */
          findings_t findings;
          assert_null (write_and_read_settings (text, &findings));
          assert_int_equal (findings.items[0].line, cases[i].line);
          assert_string_equal (findings.items[0].field, cases[i].field);
        }
      else
        assert_finding (text, cases[i].line, cases[i].field, cases[i].allowed);
      g_free (text);
    }
  char *text = settings_with ("127.0.0.1:8080", "[::1]:0");
  findings_t findings;
  kwf_settings_t *s = write_and_read_settings (text, &findings);
  assert_non_null (s);
  kwf_settings_free (s);
  g_free (text);
}

/* All findings must be reported, not only the first, and so must a file that
   cannot be read.  */
static void
all_findings_are_reported (void **state)
{
  (void)state;
  findings_t findings;
  assert_null (write_and_read_settings ("", &findings));
  assert_int_equal (findings.n, 9);
  findings.n = 0;
  assert_null (
      kwf_settings_read ("/nonexistent", findings_collect, &findings));
  assert_int_equal (findings.n, 1);
  assert_string_equal (findings.items[0].file, "/nonexistent");
}

/* Findings must not contain the contents of secret files.  */
static void
secrets_are_not_shown (void **state)
{
  (void)state;
  char *text = settings_with ("\"token\"", "\"short\"");
  findings_t findings;
  assert_null (write_and_read_settings (text, &findings));
  assert_null (strstr (findings.items[0].found, "tooshort"));
  g_free (text);
}

static void
ignore_finding (const kwf_finding_t *finding, void *data)
{
  (void)finding;
  (void)data;
}

/* No crash, for 3000 seeded mutations.  */
static void
mutated_settings_do_no_harm (void **state)
{
  (void)state;
  static const char alphabet[] = "[]=\"\n.{}#'\\,0 ax-";
  GRand *rand = g_rand_new_with_seed (9);
  char *path = path_of ("s.toml");
  for (int i = 0; i < 3000; i++)
    {
      GString *text = g_string_new (SETTINGS "[session]\nlease_ms = 900\n");
      int edits = g_rand_int_range (rand, 1, 5);
      for (int j = 0; j < edits; j++)
        {
          gssize at = g_rand_int_range (rand, 0, (gint32)text->len);
          gint32 c = g_rand_int_range (rand, 0, sizeof alphabet - 1);
          if (g_rand_boolean (rand))
            g_string_erase (text, at, 1);
          else
            g_string_insert_c (text, at, alphabet[c]);
        }
      write_file ("s.toml", text->str);
      kwf_settings_free (kwf_settings_read (path, ignore_finding, NULL));
      g_string_free (text, TRUE);
    }
  g_free (path);
  g_rand_free (rand);
}

/* Row of docs/CONFIG.md for SETTING; free with g_free.  */
static char *
expected_row (const setting_t *setting)
{
  char standard[64] = "";
  char bounds[96] = "";
  switch (setting->kind)
    {
    case SETTING_INTEGER:
    case SETTING_REAL:
      g_snprintf (standard, sizeof standard, "%.12g", setting->default_number);
      g_snprintf (bounds, sizeof bounds, "%.12g to %.12g", setting->min,
                  setting->max);
      break;
    case SETTING_CHOICE:
      g_snprintf (standard, sizeof standard, "\"%s\"", setting->default_text);
      for (size_t i = 0; setting->choices[i]; i++)
        {
          g_strlcat (bounds, i ? ", \"" : "\"", sizeof bounds);
          g_strlcat (bounds, setting->choices[i], sizeof bounds);
          g_strlcat (bounds, "\"", sizeof bounds);
        }
      break;
    case SETTING_NAME:
      g_strlcpy (bounds, "name", sizeof bounds);
      break;
    case SETTING_LISTEN:
    case SETTING_ADDRESS:
      g_strlcpy (bounds, "IP:PORT", sizeof bounds);
      break;
    case SETTING_SECRET:
      g_strlcpy (bounds, "file of 16 to 4096 bytes", sizeof bounds);
      break;
    case SETTING_PATH:
      g_strlcpy (bounds, "readable file", sizeof bounds);
      break;
    }
  if (setting->always_required)
    g_strlcpy (standard, "required", sizeof standard);
  else if (!*standard)
    g_strlcpy (standard, setting->kind == SETTING_ADDRESS ? "listen" : "none",
               sizeof standard);
  return g_strdup_printf ("| `%s` | %s | %s | %s |", setting->key,
                          *setting->unit ? setting->unit : "-", standard,
                          bounds);
}

/* docs/CONFIG.md must agree with settings_table: each entry has its row, with
   default and bounds, in the section of its TOML table, and there are no other
   rows.  */
static void
page_agrees_with_the_table (void **state)
{
  (void)state;
  char *page = NULL;
  assert_true (g_file_get_contents ("docs/CONFIG.md", &page, NULL, NULL));
  char *end = strstr (page, "\n## The lists");
  if (!end)
    fail_msg ("docs/CONFIG.md has no section on the lists");
  page[end ? end - page : 0] = '\0';
  size_t n_rows = 0;
  for (const char *c = page; (c = strstr (c, "\n| `")); c++)
    n_rows++;
  assert_int_equal (n_rows, n_settings);
  for (size_t i = 0; i < n_settings; i++)
    {
      const setting_t *setting = &settings_table[i];
      char *heading = g_strdup_printf ("\n### `[%s]`\n", setting->table);
      char *row = expected_row (setting);
      const char *section = strstr (page, heading);
      if (!section)
        fail_msg ("docs/CONFIG.md has no section [%s]", setting->table);
      const char *next = section ? strstr (section + 1, "\n### ") : NULL;
      const char *found = section ? strstr (section, row) : NULL;
      if (!found || (next && found > next))
        fail_msg ("section [%s] of docs/CONFIG.md has no row: %s",
                  setting->table, row);
      g_free (row);
      g_free (heading);
    }
  g_free (page);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (defaults_are_set),
    cmocka_unit_test (values_replace_defaults),
    cmocka_unit_test (shorter_bound_of_tables_holds),
    cmocka_unit_test (values_are_checked),
    cmocka_unit_test (required_values_are_checked),
    cmocka_unit_test (all_findings_are_reported),
    cmocka_unit_test (secrets_are_not_shown),
    cmocka_unit_test (mutated_settings_do_no_harm),
    cmocka_unit_test (page_agrees_with_the_table),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
