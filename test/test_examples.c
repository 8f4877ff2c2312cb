/* Test that the examples are valid and have the numbers of docs/design.md.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <glib/gstdio.h>

#include <knapweedfork/settings.h>

static void
print_finding (const kwf_finding_t *finding, void *data)
{
  (void)data;
  print_message ("%s:%d: %s: found %s, allowed %s\n", finding->file,
                 finding->line, finding->field, finding->found,
                 finding->allowed);
}

static char *
read_example (const char *directory, const char *name)
{
  char *path = g_build_filename ("examples", directory, name, NULL);
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  g_free (path);
  return text;
}

static void
check_lists (const char *directory, size_t n_models, size_t n_adapters,
             size_t n_services)
{
  char *plans = read_example (directory, "plans.toml");
  char *uses = read_example (directory, "uses.toml");
  kwf_lists_t *lists = kwf_lists_parse (plans, "plans.toml", uses, "uses.toml",
                                        print_finding, NULL);
  assert_non_null (lists);
  assert_int_equal (kwf_lists_n_organisations (lists), 5);
  assert_int_equal (kwf_lists_n_models (lists), n_models);
  assert_int_equal (kwf_lists_n_services (lists), n_services);
  size_t n = 0;
  for (size_t i = 0; i < n_models; i++)
    n += kwf_lists_model_at (lists, i)->n_adapters;
  assert_int_equal (n, n_adapters);
  kwf_lists_free (lists);
  g_free (plans);
  g_free (uses);
}

/* The examples name secret files, which each operator creates; the test
   creates them in a temporary directory.  */
static void
check_settings (const char *example)
{
  static const char *const secrets[]
      = { "operator.token", "fleet.secret", "keys.pepper" };
  char *directory = g_dir_make_tmp ("kwf-examples-XXXXXX", NULL);
  assert_non_null (directory);
  char *text = read_example (example, "knapweedforkd.toml");
  char *path = g_build_filename (directory, "knapweedforkd.toml", NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (secrets); i++)
    {
      char *secret = g_build_filename (directory, secrets[i], NULL);
      assert_true (
          g_file_set_contents (secret, "0123456789abcdef\n", -1, NULL));
      g_free (secret);
    }
  kwf_settings_t *settings = kwf_settings_read (path, print_finding, NULL);
  assert_non_null (settings);
  kwf_settings_free (settings);
  for (size_t i = 0; i < G_N_ELEMENTS (secrets); i++)
    {
      char *secret = g_build_filename (directory, secrets[i], NULL);
      g_unlink (secret);
      g_free (secret);
    }
  g_unlink (path);
  g_rmdir (directory);
  g_free (path);
  g_free (text);
  g_free (directory);
}

/* The programs must accept the example "utility".  */
static void
utility_is_valid (void **state)
{
  (void)state;
  check_lists ("utility", 20, 60, 3);
  check_settings ("utility");
}

/* The programs must accept the example "guild".  */
static void
guild_is_valid (void **state)
{
  (void)state;
  check_lists ("guild", 25, 95, 4);
  check_settings ("guild");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (utility_is_valid),
    cmocka_unit_test (guild_is_valid),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
