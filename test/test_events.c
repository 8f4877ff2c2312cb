/* Test that docs/EVENTS.md lists exactly the log events of the code.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

/* Directories of sources that write log events.  The files in "passing" may
   also pass a number on.  */
static const char *const directories[] = { "lib", "net", "platform", "cmd" };
static const char *const passing[] = { "lib/effect.c", "lib/logging.c" };

/* A call and, if it is a literal, its event number.  */
#define CALL_PATTERN                                                          \
  "\\b(?:kwf_effects_log\\s*\\([^,()]*,|logging_event\\s*\\()"                \
  "\\s*([0-9]+\\b)?"

static bool
passes_on (const char *path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (passing); i++)
    if (strcmp (path, passing[i]) == 0)
      return true;
  return false;
}

static void
add_calls (GHashTable *numbers, const char *path)
{
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  GRegex *regex = g_regex_new (CALL_PATTERN, 0, 0, NULL);
  GMatchInfo *match;
  g_regex_match (regex, text, 0, &match);
  for (; g_match_info_matches (match); g_match_info_next (match, NULL))
    {
      char *number = g_match_info_fetch (match, 1);
      bool written = number && *number;
      if (!written && !passes_on (path))
        fail_msg ("%s: a log event whose number is not written out", path);
      if (written)
        g_hash_table_add (numbers, GINT_TO_POINTER (atoi (number)));
      g_free (number);
    }
  g_match_info_free (match);
  g_regex_unref (regex);
  g_free (text);
}

/* Adds the numbers of the sources in PATH and the directories below it.  */
static void
add_directory (GHashTable *numbers, const char *path)
{
  GDir *directory = g_dir_open (path, 0, NULL);
  const char *name;
  while (directory && (name = g_dir_read_name (directory)))
    {
      char *inner = g_build_filename (path, name, NULL);
      if (g_file_test (inner, G_FILE_TEST_IS_DIR))
        add_directory (numbers, inner);
      else if (g_str_has_suffix (name, ".c"))
        add_calls (numbers, inner);
      g_free (inner);
    }
  if (directory)
    g_dir_close (directory);
}

/* Numbers of all log events in the code.  */
static GHashTable *
numbers_in_code (void)
{
  GHashTable *numbers = g_hash_table_new (g_direct_hash, g_direct_equal);
  for (size_t i = 0; i < G_N_ELEMENTS (directories); i++)
    add_directory (numbers, directories[i]);
  return numbers;
}

/* Numbers of the table rows "| NUMBER | LEVEL | EVENT |".  */
static GHashTable *
numbers_in_catalogue (void)
{
  GHashTable *numbers = g_hash_table_new (g_direct_hash, g_direct_equal);
  char *text = NULL;
  assert_true (g_file_get_contents ("docs/EVENTS.md", &text, NULL, NULL));
  GRegex *regex
      = g_regex_new ("^\\| ([0-9]+) \\| "
                     "(?:(?:debug|info|warning|error)(?:, )?)+ \\| [^|]+ \\|$",
                     G_REGEX_MULTILINE, 0, NULL);
  GMatchInfo *match;
  g_regex_match (regex, text, 0, &match);
  for (; g_match_info_matches (match); g_match_info_next (match, NULL))
    {
      char *number = g_match_info_fetch (match, 1);
      if (!g_hash_table_add (numbers, GINT_TO_POINTER (atoi (number))))
        fail_msg ("docs/EVENTS.md has event %s twice", number);
      g_free (number);
    }
  g_match_info_free (match);
  g_regex_unref (regex);
  g_free (text);
  return numbers;
}

static void
assert_contained (GHashTable *part, GHashTable *whole, const char *message)
{
  GHashTableIter iter;
  gpointer number;
  g_hash_table_iter_init (&iter, part);
  while (g_hash_table_iter_next (&iter, &number, NULL))
    if (!g_hash_table_contains (whole, number))
      fail_msg ("event %d %s", GPOINTER_TO_INT (number), message);
}

/* Operators must be able to look up every log event, and no entry may stand
   for an event that does not exist.  */
static void
catalogue_agrees_with_the_code (void **state)
{
  (void)state;
  GHashTable *code = numbers_in_code ();
  GHashTable *catalogue = numbers_in_catalogue ();
  assert_true (g_hash_table_size (code) > 0);
  assert_contained (code, catalogue, "is missing in docs/EVENTS.md");
  assert_contained (catalogue, code, "of docs/EVENTS.md is not in the code");
  g_hash_table_destroy (code);
  g_hash_table_destroy (catalogue);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (catalogue_agrees_with_the_code),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
