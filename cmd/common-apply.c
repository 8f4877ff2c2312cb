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
} apply_t;

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
difference (const apply_t *apply, const json_t *body)
{
  kwf_lists_t *before = NULL;
  if (version_in (body) > 0)
    {
      before = kwf_lists_parse (text_in (body, "plans"), "plans",
                                text_in (body, "uses"), "uses", NULL, NULL);
      if (!before)
        return NULL;
    }
  char *text = lists_diff (before, apply->lists);
  kwf_lists_free (before);
  return text;
}

/* Version that the files were edited from: that of the option, else that of
   the files. -1: none is given; -2: the files have different versions.  */
static int64_t
given_version (const apply_t *apply)
{
  if (apply->options->version >= 0)
    return apply->options->version;
  if (apply->plans.version >= 0 && apply->uses.version >= 0
      && apply->plans.version != apply->uses.version)
    return -2;
  return MAX (apply->plans.version, apply->uses.version);
}

/* Set the version that the files were edited from.  Files without one are
   accepted only if no lists are in force.  To assume the version in force
   would overwrite changes that others made after the files were written.  */
static int
find_version (apply_t *apply)
{
  apply->version = given_version (apply);
  if (apply->version >= 0)
    return STATUS_OK;
  if (apply->version == -2)
    {
      fprintf (stderr,
               "knapweedfork: %s was edited from version %lld, %s from "
               "version %lld; use --version\n",
               apply->options->arguments[0], (long long)apply->plans.version,
               apply->options->arguments[1], (long long)apply->uses.version);
      return STATUS_USAGE;
    }
  http_answer_t answer = http_call (apply->options, "GET", "/lists", NULL);
  int status = STATUS_OK;
  if (answer.exit_status != STATUS_OK || answer.status != 200)
    status = http_report (&answer);
  else if (version_in (answer.body) != 0)
    {
      fprintf (stderr,
               "knapweedfork: the files do not say from which version they "
               "were edited, and version %lld is in force; start from "
               "\"knapweedfork show\", or use --version\n",
               (long long)version_in (answer.body));
      status = STATUS_USAGE;
    }
  apply->version = 0;
  http_clear (&answer);
  return status;
}

static int
dry_run (const apply_t *apply)
{
  http_answer_t answer = http_call (apply->options, "GET", "/lists", NULL);
  if (answer.exit_status != STATUS_OK || answer.status != 200)
    {
      int status = http_report (&answer);
      http_clear (&answer);
      return status;
    }
  int64_t in_force = version_in (answer.body);
  int64_t edited = given_version (apply);
  char *text = difference (apply, answer.body);
  if (apply->options->json)
    {
      json_t *body
          = json_pack ("{s:I, s:I, s:s*}", "version", (json_int_t)in_force,
                       "edited", (json_int_t)edited, "changes", text);
      print_json (body);
      json_decref (body);
    }
  else if (!text)
    printf ("version %lld is in force and cannot be read by this program\n",
            (long long)in_force);
  else
    printf ("%s", *text ? text : "no changes\n");
  bool conflict = edited >= 0 && edited != in_force;
  if (conflict)
    fprintf (stderr,
             "knapweedfork: the files were edited from version %lld, and "
             "version %lld is in force\n",
             (long long)edited, (long long)in_force);
  g_free (text);
  http_clear (&answer);
  return conflict ? STATUS_CONFLICT : STATUS_OK;
}

/* Print the findings in BODY.  The instance may run another version of the
   program, so it may find errors that finding_check_files did not.  */
static void
print_findings (const apply_t *apply, const json_t *body)
{
  const json_t *findings
      = json_object_get (json_object_get (body, "error"), "findings");
  size_t i;
  json_t *item;
  json_array_foreach (findings, i, item)
  {
    bool of_plans = strcmp (text_in (item, "file"), "plans") == 0;
    const list_file_t *file = of_plans ? &apply->plans : &apply->uses;
    json_int_t line = json_integer_value (json_object_get (item, "line"));
    kwf_finding_t finding = { .line = (int)line };
    /* The version line of the file was not sent.  */
    if (line && file->version >= 0)
      finding.line++;
    g_strlcpy (finding.file, apply->options->arguments[of_plans ? 0 : 1],
               sizeof finding.file);
    g_strlcpy (finding.field, text_in (item, "field"), sizeof finding.field);
    g_strlcpy (finding.found, text_in (item, "found"), sizeof finding.found);
    g_strlcpy (finding.allowed, text_in (item, "allowed"),
               sizeof finding.allowed);
    finding_print (&finding, NULL);
  }
}

static void
print_conflict (const apply_t *apply, const json_t *body)
{
  char *text = difference (apply, body);
  fprintf (stderr,
           "your files were edited from version %lld; version %lld is in "
           "force\n",
           (long long)apply->version, (long long)version_in (body));
  if (text)
    fprintf (stderr, "from the lists in force (-) to yours (+):\n%s",
             *text ? text : "no differences\n");
  fprintf (stderr, "\"knapweedfork show\" prints the lists in force\n");
  g_free (text);
}

static int
send_lists (const apply_t *apply)
{
  json_t *body
      = json_pack ("{s:s, s:s, s:I}", "plans", apply->plans.text, "uses",
                   apply->uses.text, "version", (json_int_t)apply->version);
  if (!body)
    {
      fprintf (stderr, "knapweedfork: the files are not UTF-8\n");
      return STATUS_USAGE;
    }
  http_answer_t answer = http_call (apply->options, "POST", "/lists", body);
  json_decref (body);
  int status = STATUS_OK;
  if (answer.exit_status == STATUS_OK && answer.status == 200)
    {
      if (apply->options->json)
        print_json (answer.body);
      else
        printf ("version %lld is in force; \"knapweedfork show\" before the "
                "next change\n",
                (long long)version_in (answer.body));
    }
  else
    {
      status = http_report (&answer);
      if (answer.status == 400)
        print_findings (apply, answer.body);
      if (answer.status == 409)
        print_conflict (apply, answer.body);
    }
  http_clear (&answer);
  return status;
}

int
operator_apply (const operator_options_t *options)
{
  apply_t apply = { .options = options,
                    .plans = { .version = -1 },
                    .uses = { .version = -1 } };
  int status = STATUS_USAGE;
  if (list_file_read (options->arguments[0], &apply.plans)
      && list_file_read (options->arguments[1], &apply.uses))
    apply.lists
        = finding_check_files (options, &apply.plans, &apply.uses, NULL);
  if (apply.lists && options->dry_run)
    status = dry_run (&apply);
  else if (apply.lists)
    {
      status = find_version (&apply);
      if (status == STATUS_OK)
        status = send_lists (&apply);
    }
  kwf_lists_free (apply.lists);
  list_file_clear (&apply.plans);
  list_file_clear (&apply.uses);
  return status;
}
