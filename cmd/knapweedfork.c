/* knapweedfork - the operators' command.  See knapweedfork(1).  */

#include <argp.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common-operator.h"

enum
{
  OPTION_DRY_RUN = 256,
  OPTION_VERSION,
  OPTION_DIGEST,
  OPTION_PLATFORM,
  OPTION_AGAINST,
  OPTION_IN_FORCE
};

static const struct argp_option common_options[] = {
  { .name = "instance",
    .key = 'i',
    .arg = "IP:PORT",
    .doc = "Operator port of any instance (environment: "
           "KNAPWEEDFORK_INSTANCE)" },
  { .name = "token-file",
    .key = 't',
    .arg = "FILE",
    .doc = "File with the operator token (environment: "
           "KNAPWEEDFORK_TOKEN_FILE)" },
  { .name = "ca",
    .key = 'c',
    .arg = "FILE",
    .doc = "Use TLS; FILE has the certificates that the instance's must be "
           "signed by (environment: KNAPWEEDFORK_CA)" },
  { .name = "json", .key = 'j', .doc = "Print the result as JSON" },
  { 0 },
};

static const struct argp_option apply_options[] = {
  { .name = "dry-run",
    .key = OPTION_DRY_RUN,
    .doc = "Print what would change and write nothing" },
  { .name = "version",
    .key = OPTION_VERSION,
    .arg = "N",
    .doc = "Version that the files were edited from, instead of the line "
           "\"# version N\" at their top; 0 when nothing is in force" },
  { 0 },
};

static const struct argp_option check_options[] = {
  { .name = "platform",
    .key = OPTION_PLATFORM,
    .arg = "FILE",
    .doc = "Check the platform's configuration in FILE, the value of the row "
           "op/config, instead of PLANS and USES" },
  { .name = "against",
    .key = OPTION_AGAINST,
    .arg = "FILE",
    .doc = "Print what differs from the version in FILE: the output of "
           "\"knapweedfork show --json\" or, with --platform, another "
           "configuration" },
  { .name = "in-force",
    .key = OPTION_IN_FORCE,
    .doc = "Print what differs from the lists in force, which the instance "
           "is asked for" },
  { 0 },
};

static const struct argp_option show_options[] = {
  { .name = "output",
    .key = 'o',
    .arg = "DIRECTORY",
    .doc = "Write plans.toml and uses.toml to DIRECTORY instead of standard "
           "output" },
  { 0 },
};

static const struct argp_option withdraw_options[] = {
  { .name = "digest",
    .key = OPTION_DIGEST,
    .arg = "DIGEST",
    .doc = "Name the key by its digest instead of its text" },
  { 0 },
};

typedef struct
{
  const char *name;
  const char *usage; /* arguments after the command's name */
  const char *doc;
  const struct argp_option *options;
  int min; /* fewest and most arguments */
  int max;
  int (*run) (const operator_options_t *options);
} command_t;

static const command_t commands[] = {
  { "check", "PLANS USES|--platform=FILE",
    "Check the files PLANS and USES.  All findings are printed, each with "
    "file, line and field: errors, entries that are never used, and limits "
    "that contradict each other.  No instance is needed without "
    "--in-force.\vExit status: 0 no findings, 1 findings, 2 the files are "
    "invalid or cannot be read.",
    check_options, 0, 2, operator_check },
  { "apply", "PLANS USES",
    "Put the files PLANS and USES in force everywhere.  Both change "
    "together.  It fails with status 3 when the lists changed since the "
    "version that the files were edited from.\vThe version is the line "
    "\"# version N\" that \"knapweedfork show\" writes at the top of the "
    "files.",
    apply_options, 2, 2, operator_apply },
  { "show", "[plans|uses]",
    "Print the lists in force, with their version at the top.", show_options,
    0, 1, operator_show },
  { "key add", "ORGANISATION",
    "Make a key for ORGANISATION.  The key is printed once and stored "
    "nowhere.",
    NULL, 1, 1, operator_key_add },
  { "key withdraw", "KEY|-",
    "Withdraw a key.  It stops working everywhere within 3 seconds.  With "
    "- the key is read from standard input, so that it is not seen in the "
    "list of processes.",
    withdraw_options, 0, 1, operator_key_withdraw },
  { "status", "", "Print the state of an instance.", NULL, 0, 0,
    operator_status },
};

/* The types are those of argp_parser_t.  */
static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter) */
parse_common (int key, char *arg, struct argp_state *state)
{
  operator_options_t *options = state->input;
  switch (key)
    {
    case 'i':
      options->address = arg;
      return 0;
    case 't':
      options->token_file = arg;
      return 0;
    case 'c':
      options->ca = arg;
      return 0;
    case 'j':
      options->json = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp common_argp
    = { .options = common_options, .parser = parse_common };

static int64_t
parse_version (const char *text, struct argp_state *state)
{
  char *end;
  gint64 version = g_ascii_strtoll (text, &end, 10);
  if (!g_ascii_isdigit (*text) || *end || version == G_MAXINT64)
    argp_error (state,
                "\"%s\" is no valid version; allowed: a whole number, 0 or "
                "more",
                text);
  return version;
}

static error_t
parse_command (int key, char *arg, struct argp_state *state)
{
  operator_options_t *options = state->input;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = options;
      return 0;
    case OPTION_DRY_RUN:
      options->dry_run = true;
      return 0;
    case OPTION_VERSION:
      options->version = parse_version (arg, state);
      return 0;
    case OPTION_DIGEST:
      options->digest = arg;
      return 0;
    case OPTION_PLATFORM:
      options->platform = arg;
      return 0;
    case OPTION_AGAINST:
      options->against = arg;
      return 0;
    case OPTION_IN_FORCE:
      options->in_force = true;
      return 0;
    case 'o':
      options->output = arg;
      return 0;
    case ARGP_KEY_ARG:
      if (options->n_arguments == 2)
        argp_error (state, "too many arguments: \"%s\"", arg);
      options->arguments[options->n_arguments++] = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
check_arguments (const command_t *command, const operator_options_t *options)
{
  int min = command->min;
  int max = command->max;
  if (command->run == operator_key_withdraw)
    min = max = options->digest ? 0 : 1;
  if (command->run == operator_check)
    min = max = options->platform ? 0 : 2;
  if (options->n_arguments >= min && options->n_arguments <= max)
    return;
  fprintf (stderr,
           "Usage: knapweedfork %s %s\nTry `knapweedfork %s --help'.\n",
           command->name, command->usage, command->name);
  exit (EXIT_STATUS_USAGE);
}

/* Parse the rest of the command line and run COMMAND.  ARGV[0] is the last
   word of the command's name.  */
static int
run_command (const command_t *command, operator_options_t *options, int argc,
             char **argv)
{
  struct argp_child children[]
      = { { .argp = &common_argp, .header = "Instance and output:" }, { 0 } };
  struct argp argp = { .options = command->options,
                       .parser = parse_command,
                       .args_doc = command->usage,
                       .doc = command->doc,
                       .children = children };
  /* "apply" has its own option --version.  */
  if (command->options == apply_options)
    argp_program_version = NULL;
  char *name = g_strconcat ("knapweedfork ", command->name, NULL);
  argv[0] = name;
  argp_parse (&argp, argc, argv, 0, NULL, options);
  check_arguments (command, options);
  int status = command->run (options);
  g_free (name);
  return status;
}

/* The command that ARGV begins with, or NULL. *WORDS is set to the number of
   words of its name.  */
static const command_t *
find_command (int argc, char **argv, int *words)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      char **parts = g_strsplit (commands[i].name, " ", 2);
      *words = (int)g_strv_length (parts);
      bool same = *words <= argc && strcmp (parts[0], argv[0]) == 0
                  && (*words == 1 || strcmp (parts[1], argv[1]) == 0);
      g_strfreev (parts);
      if (same)
        return &commands[i];
    }
  return NULL;
}

typedef struct
{
  operator_options_t options;
  int first; /* index of the command's name in argv; 0: none */
} main_input_t;

/* The types are those of argp_parser_t.  */
static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter) */
parse_main (int key, char *arg, struct argp_state *state)
{
  main_input_t *input = state->input;
  (void)arg;
  switch (key)
    {
    case ARGP_KEY_INIT:
      state->child_inputs[0] = &input->options;
      return 0;
    case ARGP_KEY_ARG:
      input->first = state->next - 1;
      state->next = state->argc;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const char doc[]
      = "Change and show the configuration of a knapweedfork fleet.\v"
        "Commands:\n"
        "  check PLANS USES          check the two lists before they are "
        "sent\n"
        "  apply PLANS USES          put the two lists in force\n"
        "  show [plans|uses]         print the lists in force\n"
        "  key add ORGANISATION      make a key\n"
        "  key withdraw KEY          withdraw a key\n"
        "  status                    print the state of an instance\n\n"
        "`knapweedfork COMMAND --help' describes a command.\n\n"
        "Exit status: 0 success, 1 failed or refused, 2 wrong usage or "
        "invalid input, 3 conflict with another change, 4 the outcome is "
        "unknown.";
  argp_program_version = "knapweedfork " KWF_VERSION;
  argp_err_exit_status = EXIT_STATUS_USAGE;
  struct argp_child children[] = { { .argp = &common_argp }, { 0 } };
  struct argp argp = { .parser = parse_main,
                       .args_doc = "COMMAND [ARGUMENT...]",
                       .doc = doc,
                       .children = children };
  main_input_t input = { .options = { .version = -1 } };
  input.options.address = getenv ("KNAPWEEDFORK_INSTANCE");
  input.options.ca = getenv ("KNAPWEEDFORK_CA");
  input.options.token_file = getenv ("KNAPWEEDFORK_TOKEN_FILE");
  argp_parse (&argp, argc, argv, ARGP_IN_ORDER, NULL, &input);
  int words = 0;
  const command_t *command
      = find_command (argc - input.first, argv + input.first, &words);
  if (!command)
    {
      fprintf (stderr,
               "knapweedfork: no command \"%s\"\n"
               "Try `knapweedfork --help'.\n",
               argv[input.first]);
      return EXIT_STATUS_USAGE;
    }
  int last = input.first + words - 1;
  return run_command (command, &input.options, argc - last, argv + last);
}
