/* The command "knapweedfork show [plans|uses]".  */

#include "common-operator.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* The list NAME with its version in the first line, as "apply" reads it.  */
static char *
file_text (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));
  json_int_t version = json_integer_value (json_object_get (body, "version"));
  return g_strdup_printf ("# version %lld\n%s", (long long)version,
                          text ? text : "");
}

static bool
write_list (const operator_options_t *options, const json_t *body,
            const char *name)
{
  char *text = file_text (body, name);
  char *file = g_strconcat (name, ".toml", NULL);
  char *path = g_build_filename (options->output, file, NULL);
  GError *error = NULL;
  bool written = g_file_set_contents (path, text, -1, &error);
  if (!written)
    {
      fprintf (stderr, "knapweedfork: %s\n", error->message);
      g_error_free (error);
    }
  g_free (path);
  g_free (file);
  g_free (text);
  return written;
}

static void
print_list (const json_t *body, const char *name)
{
  char *text = file_text (body, name);
  printf ("%s", text);
  g_free (text);
}

static int
show (const operator_options_t *options, const json_t *body)
{
  const char *only = options->n_arguments ? options->arguments[0] : NULL;
  if (options->json)
    print_json (body);
  else if (options->output)
    {
      if ((!only || strcmp (only, "plans") == 0)
          && !write_list (options, body, "plans"))
        return EXIT_STATUS_FAILED;
      if ((!only || strcmp (only, "uses") == 0)
          && !write_list (options, body, "uses"))
        return EXIT_STATUS_FAILED;
    }
  else if (only)
    print_list (body, only);
  else
    {
      printf ("# plans\n");
      print_list (body, "plans");
      printf ("\n# uses\n");
      print_list (body, "uses");
    }
  return EXIT_STATUS_OK;
}

int
operator_show (const operator_options_t *options)
{
  if (options->n_arguments && strcmp (options->arguments[0], "plans") != 0
      && strcmp (options->arguments[0], "uses") != 0)
    {
      fprintf (stderr,
               "knapweedfork: show \"plans\" or \"uses\", not "
               "\"%s\"\n",
               options->arguments[0]);
      return EXIT_STATUS_USAGE;
    }
  operator_answer_t answer = http_call (options, "GET", "/lists", NULL);
  int status
      = answer.exit_status == EXIT_STATUS_OK && answer.http_status == 200
            ? show (options, answer.body)
            : http_report (&answer);
  http_clear (&answer);
  return status;
}
