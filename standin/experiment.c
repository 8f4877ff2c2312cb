/* standin-experiment - runs a workload against real cores on a fake clock, and
   reports what callers saw.  */

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "../bench/policy.h"
#include "common-experiment.h"

typedef struct
{
  const char *workload;
  const char *plot;
  const char *processes;
  bool json;
  int seeds; /* 0: one run with all figures */
  double load;
  experiment_options_t run;
} options_t;

static const struct argp_option argp_options[]
    = { { "seed", 's', "N", 0, "Seed of all random numbers (default 1)", 0 },
        { "seeds", 'n', "N", 0,
          "Run with N seeds from --seed on and print the mean and the "
          "standard deviation of the main figures, one JSON object a line",
          0 },
        { "policy", 'p', "NAME", 0,
          "product (default), or a baseline: random, least-load, static, "
          "arrival",
          0 },
        { "minutes", 'm', "N", 0, "Simulated time instead of the file's", 0 },
        { "load", 'l', "FACTOR", 0,
          "Multiply the file's requests, rates and bursts by it (default 1)",
          0 },
        { "processes", 'P', "DIRECTORY", 0,
          "Run nothing; write what bench/loopback.sh starts: plans.toml, "
          "uses.toml and processes",
          0 },
        { "json", 'j', NULL, 0, "One JSON object instead of a table", 0 },
        { "plot", 'o', "FILE", 0, "Write a plot as SVG", 0 },
        { 0 } };

static bool
is_policy (const char *name)
{
  for (int i = 0; policy_names[i]; i++)
    if (g_str_equal (policy_names[i], name))
      return true;
  return false;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  options_t *options = state->input;
  char *end = NULL;
  switch (key)
    {
    case 's':
      options->run.seed = g_ascii_strtoull (arg, &end, 10);
      if (!arg[0] || *end)
        argp_error (state, "--seed: not a number: %s", arg);
      break;
    case 'n':
      options->seeds = (int)g_ascii_strtoll (arg, &end, 10);
      if (!arg[0] || *end || options->seeds < 1)
        argp_error (state, "--seeds: not a number: %s", arg);
      break;
    case 'm':
      options->run.minutes = g_ascii_strtod (arg, &end);
      if (!arg[0] || *end || options->run.minutes <= 0)
        argp_error (state, "--minutes: not a time: %s", arg);
      break;
    case 'l':
      options->load = g_ascii_strtod (arg, &end);
      if (!arg[0] || *end || options->load <= 0)
        argp_error (state, "--load: not a factor: %s", arg);
      break;
    case 'p':
      if (!is_policy (arg))
        argp_error (state, "--policy: there is no policy %s", arg);
      options->run.policy = arg;
      break;
    case 'j':
      options->json = true;
      break;
    case 'P':
      options->processes = arg;
      break;
    case 'o':
      options->plot = arg;
      break;
    case ARGP_KEY_ARG:
      if (state->arg_num)
        argp_usage (state);
      options->workload = arg;
      break;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const struct argp argp
    = { .options = argp_options,
        .parser = parse_option,
        .args_doc = "WORKLOAD",
        .doc = "Run a workload file on a fake clock.  docs/EXPERIMENTS.md "
               "describes the file and the figures." };

/* Write TEXT to a file and free it.  False, with a message, if it fails.  */
static bool
write_file (const char *path, char *text)
{
  GError *error = NULL;
  bool written = g_file_set_contents (path, text, -1, &error);
  if (!written)
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
    }
  g_free (text);
  return written;
}

static bool
write_in (const char *directory, const char *name, char *text)
{
  char *path = g_build_filename (directory, name, NULL);
  bool written = write_file (path, text);
  g_free (path);
  return written;
}

static bool
write_processes (const options_t *options)
{
  experiment_t *experiment = experiment_new (&options->run);
  GString *plans = g_string_new (NULL);
  GString *uses = g_string_new (NULL);
  workload_lists (options->run.workload, plans, uses);
  const char *directory = options->processes;
  bool written = write_in (directory, "processes",
                           experiment_process_lines (experiment));
  written = write_in (directory, "plans.toml", g_string_free (plans, FALSE))
            && written;
  written = write_in (directory, "uses.toml", g_string_free (uses, FALSE))
            && written;
  experiment_free (experiment);
  return written;
}

/* Run with one seed.  False if the plot could not be written.  */
static bool
run_one (const options_t *options, uint64_t seed, json_t **figures)
{
  experiment_options_t run = options->run;
  run.seed = seed;
  experiment_t *experiment = experiment_run (&run);
  *figures = experiment_json (experiment);
  json_object_set_new (*figures, "workload", json_string (options->workload));
  json_object_set_new (*figures, "load", json_real (options->load));
  bool written = !options->plot
                 || write_file (options->plot, experiment_plot (experiment));
  experiment_free (experiment);
  return written;
}

/* Run with all seeds and print the figures.  */
static bool
run_all (const options_t *options)
{
  bool written = true;
  json_t *runs = json_array ();
  for (int i = 0; i < MAX (options->seeds, 1); i++)
    {
      json_t *figures;
      written = run_one (options, options->run.seed + (uint64_t)i, &figures)
                && written;
      json_array_append_new (runs, figures);
    }
  const json_t *first = json_array_get (runs, 0);
  char *text = options->seeds  ? experiment_summary (runs)
               : options->json ? json_dumps (first, JSON_REAL_PRECISION (6))
                               : experiment_table (first);
  fputs (text, stdout);
  if (options->json && !options->seeds)
    putchar ('\n');
  free (text);
  json_decref (runs);
  return written;
}

int
main (int argc, char **argv)
{
  options_t options = { .load = 1, .run = { .seed = 1, .policy = "product" } };
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  workload_t *workload = workload_read (options.workload);
  if (!workload)
    return EXIT_FAILURE;
  workload_scale (workload, options.load);
  options.run.workload = workload;
  bool done
      = options.processes ? write_processes (&options) : run_all (&options);
  workload_free (workload);
  return done ? EXIT_SUCCESS : EXIT_FAILURE;
}
