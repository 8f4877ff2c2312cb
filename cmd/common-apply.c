/* The command "knapweedfork apply PLANS USES".  */

#include "common-operator.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/lists-diff.h"

typedef struct
{
  const operator_options_t *options;
  list_file_t plans;
  list_file_t uses;
  kwf_lists_t *lists;
  int64_t version;
} apply_input_t;

static const char *
text_in (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));
  return text ? text : "";
}

static int64_t
version_in (const json_t *body)
{
  return json_integer_value (json_object_get (body, "version"));
}

/* Difference between the lists in BODY, an instance's answer, and those of the
   files.  NULL: this program cannot read the lists in BODY.  */
static char *
difference (const apply_input_t *input, const json_t *body)
{
  kwf_lists_t *before = NULL;
  if (version_in (body) > 0)
    {
      before = kwf_lists_parse (text_in (body, "plans"), "plans",
                                text_in (body, "uses"), "uses", NULL, NULL);
      if (!before)
        return NULL;
    }
  char *text = lists_diff (before, input->lists);
  kwf_lists_free (before);
  return text;
}

/* Version that the files were edited from: that of the option, else that of
   the files. -1: none is given; -2: the files have different versions.  */
static int64_t
given_version (const apply_input_t *input)
{
  if (input->options->version >= 0)
    return input->options->version;
  if (input->plans.version >= 0 && input->uses.version >= 0
      && input->plans.version != input->uses.version)
    return -2;
  return MAX (input->plans.version, input->uses.version);
}

/* Set the version that the files were edited from.  Files without one are
   accepted only if no lists are in force.  To assume the version in force
   would overwrite changes that others made after the files were written.  */
static int
find_version (apply_input_t *input)
{
  input->version = given_version (input);
  if (input->version >= 0)
    return EXIT_STATUS_OK;
  if (input->version == -2)
    {
      fprintf (stderr,
               "knapweedfork: %s was edited from version %lld, %s from "
               "version %lld; use --version\n",
               input->options->arguments[0], (long long)input->plans.version,
               input->options->arguments[1], (long long)input->uses.version);
      return EXIT_STATUS_USAGE;
    }
  operator_answer_t answer = http_call (input->options, "GET", "/lists", NULL);
  int status = EXIT_STATUS_OK;
  if (answer.exit_status != EXIT_STATUS_OK || answer.http_status != 200)
    status = http_report (&answer);
  else if (version_in (answer.body) != 0)
    {
      fprintf (stderr,
               "knapweedfork: the files do not say from which version they "
               "were edited, and version %lld is in force; start from "
               "\"knapweedfork show\", or use --version\n",
               (long long)version_in (answer.body));
      status = EXIT_STATUS_USAGE;
    }
  input->version = 0;
  http_clear (&answer);
  return status;
}

static int
dry_run (const apply_input_t *input)
{
  operator_answer_t answer = http_call (input->options, "GET", "/lists", NULL);
  if (answer.exit_status != EXIT_STATUS_OK || answer.http_status != 200)
    {
      int status = http_report (&answer);
      http_clear (&answer);
      return status;
    }
  int64_t in_force = version_in (answer.body);
  int64_t base_version = given_version (input);
  char *text = difference (input, answer.body);
  if (input->options->json)
    {
      json_t *body
          = json_pack ("{s:I, s:I, s:s*}", "version", (json_int_t)in_force,
                       "edited", (json_int_t)base_version, "changes", text);
      print_json (body);
      json_decref (body);
    }
  else if (!text)
    printf ("version %lld is in force and cannot be read by this program\n",
            (long long)in_force);
  else
    printf ("%s", *text ? text : "no changes\n");
  bool conflict = base_version >= 0 && base_version != in_force;
  if (conflict)
    fprintf (stderr,
             "knapweedfork: the files were edited from version %lld, and "
             "version %lld is in force\n",
             (long long)base_version, (long long)in_force);
  g_free (text);
  http_clear (&answer);
  return conflict ? EXIT_STATUS_CONFLICT : EXIT_STATUS_OK;
}

/* Print the findings in BODY.  The instance may run another version of the
   program, so it may find errors that finding_check_files did not.  */
static void
print_findings (const apply_input_t *input, const json_t *body)
{
  const json_t *findings
      = json_object_get (json_object_get (body, "error"), "findings");
  size_t i;
  json_t *item;
  json_array_foreach (findings, i, item)
  {
    bool of_plans = strcmp (text_in (item, "file"), "plans") == 0;
    const list_file_t *file = of_plans ? &input->plans : &input->uses;
    json_int_t line = json_integer_value (json_object_get (item, "line"));
    kwf_finding_t finding = { .line = (int)line };
    /* The version line of the file was not sent.  */
    if (line && file->version >= 0)
      finding.line++;
    g_strlcpy (finding.file, input->options->arguments[of_plans ? 0 : 1],
               sizeof finding.file);
    g_strlcpy (finding.field, text_in (item, "field"), sizeof finding.field);
    g_strlcpy (finding.found, text_in (item, "found"), sizeof finding.found);
    g_strlcpy (finding.allowed, text_in (item, "allowed"),
               sizeof finding.allowed);
    finding_print (&finding, NULL);
  }
}

static void
print_conflict (const apply_input_t *input, const json_t *body)
{
  char *text = difference (input, body);
  fprintf (stderr,
           "your files were edited from version %lld; version %lld is in "
           "force\n",
           (long long)input->version, (long long)version_in (body));
  if (text)
    fprintf (stderr, "from the lists in force (-) to yours (+):\n%s",
             *text ? text : "no differences\n");
  fprintf (stderr, "\"knapweedfork show\" prints the lists in force\n");
  g_free (text);
}

static int
send_lists (const apply_input_t *input)
{
  json_t *body
      = json_pack ("{s:s, s:s, s:I}", "plans", input->plans.text, "uses",
                   input->uses.text, "version", (json_int_t)input->version);
  if (!body)
    {
      fprintf (stderr, "knapweedfork: the files are not UTF-8\n");
      return EXIT_STATUS_USAGE;
    }
  operator_answer_t answer
      = http_call (input->options, "POST", "/lists", body);
  json_decref (body);
  int status = EXIT_STATUS_OK;
  if (answer.exit_status == EXIT_STATUS_OK && answer.http_status == 200)
    {
      if (input->options->json)
        print_json (answer.body);
      else
        printf ("version %lld is in force; \"knapweedfork show\" before the "
                "next change\n",
                (long long)version_in (answer.body));
    }
  else
    {
      status = http_report (&answer);
      if (answer.http_status == 400)
        print_findings (input, answer.body);
      if (answer.http_status == 409)
        print_conflict (input, answer.body);
    }
  http_clear (&answer);
  return status;
}

int
operator_apply (const operator_options_t *options)
{
  apply_input_t input = { .options = options,
                          .plans = { .version = -1 },
                          .uses = { .version = -1 } };
  int status = EXIT_STATUS_USAGE;
  if (list_file_read (options->arguments[0], &input.plans)
      && list_file_read (options->arguments[1], &input.uses))
    input.lists
        = finding_check_files (options, &input.plans, &input.uses, NULL);
  if (input.lists && options->dry_run)
    status = dry_run (&input);
  else if (input.lists)
    {
      status = find_version (&input);
      if (status == EXIT_STATUS_OK)
        status = send_lists (&input);
    }
  kwf_lists_free (input.lists);
  list_file_clear (&input.plans);
  list_file_clear (&input.uses);
  return status;
}
