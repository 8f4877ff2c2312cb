#include "common-scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEED                                                                  \
  20261204 /* of the random pauses; the environment variable                  \
              KWF_SEED overrides it */

void
scenario_fail (const scenario_t *scenario, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  fleet_fail ("%s:%d: %s", scenario->file, scenario->line, text);
}

call_group_t *
scenario_group (scenario_t *scenario, const char *name)
{
  call_group_t *group = g_hash_table_lookup (scenario->groups, name);
  if (!group)
    {
      group = test_calls_new (name);
      g_hash_table_insert (scenario->groups, g_strdup (name), group);
    }
  return group;
}

int
scenario_ms (const char *text)
{
  char *end;
  double value = g_ascii_strtod (text, &end);
  return (int)(strcmp (end, "s") == 0 ? value * 1000 : value);
}

int
scenario_within (char **words)
{
  return scenario_ms (fleet_option (words, "within", "5s"));
}

const char *
scenario_word (const scenario_t *scenario, char **words)
{
  if (!words[0])
    scenario_fail (scenario, "a word is missing");
  return words[0];
}

static void
run_line (scenario_t *scenario, const char *line)
{
  char **words = NULL;
  GError *error = NULL;
  if (!g_shell_parse_argv (line, NULL, &words, &error))
    {
      bool empty
          = g_error_matches (error, G_SHELL_ERROR, G_SHELL_ERROR_EMPTY_STRING);
      if (!empty)
        scenario_fail (scenario, "%s", error->message);
      g_error_free (error);
      return;
    }
  scenario_verb_t verb = scenario_fleet_verb (words[0]);
  if (!verb)
    verb = scenario_check_verb (words[0]);
  if (verb)
    verb (scenario, words + 1);
  else
    scenario_fail (scenario, "there is no verb %s", words[0]);
  g_strfreev (words);
}

/* Run the lines from FIRST to before END.  The lines from "repeat N" to its
   "end" are run N times, with $i replaced by the number of the run.  */
static void
run_lines (scenario_t *scenario, char **lines, int first, int end)
{
  for (int i = first; i < end; i++)
    {
      int times;
      scenario->line = i + 1;
      if (sscanf (lines[i], "repeat %d", &times) != 1)
        {
          run_line (scenario, lines[i]);
          continue;
        }
      int last = i + 1;
      while (last < end && strcmp (lines[last], "end") != 0)
        last++;
      for (int round = 0; round < times; round++)
        for (int inner = i + 1; inner < last; inner++)
          {
            char number[16];
            g_snprintf (number, sizeof number, "%d", round);
            char **parts = g_strsplit (lines[inner], "$i", 0);
            char *line = g_strjoinv (number, parts);
            scenario->line = inner + 1;
            run_line (scenario, line);
            g_free (line);
            g_strfreev (parts);
          }
      i = last;
    }
}

void
scenario_run (const char *file)
{
  char *text = NULL;
  scenario_t scenario = { .file = file };
  if (!g_file_get_contents (file, &text, NULL, NULL))
    fleet_fail ("cannot read %s", file);
  const char *seed = g_getenv ("KWF_SEED");
  scenario.random = g_rand_new_with_seed (seed ? (guint32)atoi (seed) : SEED);
  scenario.fleet = fleet_new ();
  scenario.groups = g_hash_table_new (g_str_hash, g_str_equal);
  scenario.marks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char **lines = g_strsplit (text, "\n", 0);
  run_lines (&scenario, lines, 0, (int)g_strv_length (lines));
  GHashTableIter walk;
  gpointer group;
  g_hash_table_iter_init (&walk, scenario.groups);
  while (g_hash_table_iter_next (&walk, NULL, &group))
    {
      calls_stop (group, true);
      calls_join (group, 10000);
    }
  fleet_free (scenario.fleet);
  g_strfreev (lines);
  g_rand_free (scenario.random);
  g_free (text);
}
