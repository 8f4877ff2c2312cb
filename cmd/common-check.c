/* The commands "knapweedfork check PLANS USES" and "knapweedfork check
   --platform=FILE".  */

#include "common-operator.h"

#include <glib.h>
#include <stdio.h>

#include "lib/check/check.h"
#include "lib/lists-diff.h"
#include "platform/config-check.h"

typedef struct
{
  const operator_options_t *options;
  kwf_lists_t *lists;  /* of the files; NULL: they are not valid */
  kwf_lists_t *before; /* in force; NULL: none */
  size_t n_findings;   /* of valid lists */
  bool compared;
  json_t *findings; /* NULL without --json */
  json_t *changes;  /* the same */
} check_run_t;

static kwf_finding_fn_t
finding_fn (const check_run_t *run)
{
  return run->findings ? finding_append_json : finding_print;
}

/* Parse the lists in BODY, an object with version, plans and uses.  */
static bool
parse_in_force (check_run_t *run, const json_t *body, const char *source)
{
  const char *plans = json_string_value (json_object_get (body, "plans"));
  const char *uses = json_string_value (json_object_get (body, "uses"));
  const json_t *version = json_object_get (body, "version");
  if (!json_is_integer (version))
    fprintf (stderr,
             "knapweedfork: %s: found no version, allowed: what "
             "\"knapweedfork show --json\" prints\n",
             source);
  else if (json_integer_value (version) == 0)
    return true;
  else if (plans && uses)
    run->before = kwf_lists_parse (plans, "plans in force", uses,
                                   "uses in force", finding_print, NULL);
  if (json_is_integer (version) && !run->before)
    fprintf (stderr,
             "knapweedfork: %s: the lists in force cannot be read by this "
             "program\n",
             source);
  return run->before != NULL;
}

static bool
read_in_force_file (check_run_t *run, const char *path)
{
  list_file_t file;
  json_error_t error;
  if (!list_file_read (path, &file))
    return false;
  bool good = false;
  if (run->options->platform)
    {
      size_t n;
      run->before = platform_config_check (file.whole, path, NULL, NULL, &n);
      good = run->before != NULL;
      if (!good)
        fprintf (stderr, "knapweedfork: %s: allowed: a JSON object\n", path);
    }
  else
    {
      json_t *body = json_loads (file.whole, 0, &error);
      if (body)
        good = parse_in_force (run, body, path);
      else
        fprintf (stderr, "knapweedfork: %s:%d: found %s, allowed: JSON\n",
                 path, error.line, error.text);
      json_decref (body);
    }
  list_file_clear (&file);
  return good;
}

static bool
fetch_in_force (check_run_t *run)
{
  operator_answer_t answer = http_call (run->options, "GET", "/lists", NULL);
  bool good = false;
  if (answer.exit_status == EXIT_STATUS_OK && answer.http_status == 200)
    good = parse_in_force (run, answer.body, "the instance's answer");
  else
    http_report (&answer);
  http_clear (&answer);
  return good;
}

static void
append_change (const lists_change_t *change, void *data)
{
  json_array_append_new (data, json_pack ("{s:s, s:s, s:s?, s:s?}", "kind",
                                          change->kind, "name", change->name,
                                          "before", change->before, "after",
                                          change->after));
}

/* Compare with the version in force, if asked for.  */
static bool
compare (check_run_t *run)
{
  const operator_options_t *options = run->options;
  if (!options->against && !options->in_force)
    return true;
  if (options->against ? !read_in_force_file (run, options->against)
                       : !fetch_in_force (run))
    return false;
  run->compared = true;
  if (options->json)
    {
      run->changes = json_array ();
      lists_diff_each (run->before, run->lists, append_change, run->changes);
      return true;
    }
  char *text = lists_diff (run->before, run->lists);
  printf ("%s", *text ? text : "no changes\n");
  g_free (text);
  return true;
}

static void
check_two_lists (check_run_t *run)
{
  const char *const *paths = run->options->arguments;
  list_file_t plans = { .version = -1 };
  list_file_t uses = { .version = -1 };
  if (list_file_read (paths[0], &plans) && list_file_read (paths[1], &uses))
    run->lists
        = finding_check_files (run->options, &plans, &uses, run->findings);
  if (run->lists)
    {
      check_text_t plans_text = { paths[0], plans.whole };
      check_text_t uses_text = { paths[1], uses.whole };
      run->n_findings = check_lists (run->lists, &plans_text, &uses_text,
                                     finding_fn (run), run->findings);
    }
  list_file_clear (&plans);
  list_file_clear (&uses);
}

static void
check_platform (check_run_t *run)
{
  list_file_t file;
  if (!list_file_read (run->options->platform, &file))
    return;
  run->lists = platform_config_check (file.whole, run->options->platform,
                                      finding_fn (run), run->findings,
                                      &run->n_findings);
  list_file_clear (&file);
}

static void
print_result (const check_run_t *run, bool readable)
{
  const kwf_lists_t *lists = run->lists;
  if (run->options->json)
    {
      json_t *body
          = json_pack ("{s:b, s:O, s:O*}", "valid", lists != NULL, "findings",
                       run->findings, "changes", run->changes);
      print_json (body);
      json_decref (body);
    }
  else if (lists && readable)
    {
      printf ("valid: %zu organisations, %zu models, %zu services",
              kwf_lists_n_organisations (lists), kwf_lists_n_models (lists),
              kwf_lists_n_services (lists));
      if (kwf_lists_n_routes (lists))
        printf (", %zu routes", kwf_lists_n_routes (lists));
      if (run->n_findings)
        printf ("; %zu findings", run->n_findings);
      printf ("\n");
    }
}

int
operator_check (const operator_options_t *options)
{
  check_run_t run = { .options = options,
                      .findings = options->json ? json_array () : NULL };
  if (options->against && options->in_force)
    {
      fprintf (stderr, "knapweedfork: found --against and --in-force, "
                       "allowed: one of them\n");
      return EXIT_STATUS_USAGE;
    }
  if (options->in_force && options->platform)
    {
      fprintf (stderr, "knapweedfork: found --in-force with --platform, "
                       "allowed: --against=FILE\n");
      return EXIT_STATUS_USAGE;
    }
  if (options->platform)
    check_platform (&run);
  else
    check_two_lists (&run);
  bool readable = run.lists && compare (&run);
  print_result (&run, readable);
  kwf_lists_free (run.lists);
  kwf_lists_free (run.before);
  json_decref (run.findings);
  json_decref (run.changes);
  if (!readable)
    return EXIT_STATUS_USAGE;
  return run.n_findings ? EXIT_STATUS_FAILED : EXIT_STATUS_OK;
}
