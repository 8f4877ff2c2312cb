/* Seeded exploration of schedules of orders.

   Runs the real ledger of 2 to 4 instances that all believe they are the
   placement leader.  Combines lost, late, duplicated and reordered orders,
   paused and ended processes, restarted engines and lost replies of the table.
   Guards against more reserved memory than an engine has, and against
   unloading the last copy of a model.

   Usage: test_ledger_explore [--seed N] [--first N] [--schedules N]
                              [--trace] [--without NAME] */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common-ledger-world.h"

/* Processes that divide the schedules among them.  */
#define WORKERS 2

static const char *const mechanisms[LW_MECHANISMS] = {
  "nothing", "late-reservation", "fence", "pair-condition", "send-limit",
};

typedef struct
{
  uint64_t first;
  uint64_t schedules;
  bool trace;
  lw_disabled_t disabled;
} options_t;

static lw_disabled_t
find_mechanism (const char *name)
{
  for (int i = 0; i < LW_MECHANISMS; i++)
    if (strcmp (mechanisms[i], name) == 0)
      return (lw_disabled_t)i;
  fprintf (stderr, "no mechanism is called %s\n", name);
  exit (2);
}

static options_t
read_options (int argc, char **argv)
{
  const char *wanted = getenv ("KWF_EXPLORE_SCHEDULES");
  options_t options
      = { .first = 1,
          .schedules = wanted ? strtoull (wanted, NULL, 10) : 20000 };
#ifdef __SANITIZE_ADDRESS__
  if (!wanted)
    options.schedules = 1000;
#endif
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--trace") == 0)
      options.trace = true;
    else if (i + 1 == argc)
      break;
    else if (strcmp (argv[i], "--seed") == 0)
      {
        options.first = strtoull (argv[++i], NULL, 10);
        options.schedules = 1;
      }
    else if (strcmp (argv[i], "--first") == 0)
      options.first = strtoull (argv[++i], NULL, 10);
    else if (strcmp (argv[i], "--schedules") == 0)
      options.schedules = strtoull (argv[++i], NULL, 10);
    else if (strcmp (argv[i], "--without") == 0)
      options.disabled = find_mechanism (argv[++i]);
  return options;
}

/* Run every STEPth schedule, starting with index FROM.  Return false if one
   failed.  */
static bool
explore (const options_t *options, const char *program, uint64_t from,
         uint64_t step)
{
  int64_t loads = 0;
  int64_t unloads = 0;
  int64_t late = 0;
  uint64_t count = 0;
  for (uint64_t i = from; i < options->schedules; i += step)
    {
      lw_t world;
      uint64_t seed = options->first + i;
      bool good = lw_run (&world, seed, options->disabled,
                          options->trace ? stdout : NULL);
      loads += world.n_loads;
      unloads += world.n_unloads;
      late += world.n_late;
      count++;
      if (!good)
        printf ("seed %" PRIu64 ": %s\nreplay: %s --seed %" PRIu64
                " --without %s --trace\n",
                seed, world.failure, program, seed,
                mechanisms[options->disabled]);
      lw_clear (&world);
      if (!good)
        return false;
    }
  printf ("%" PRIu64 " schedules held, switched off: %s; %" PRId64
          " load and %" PRId64 " unload orders, %" PRId64 " late\n",
          count, mechanisms[options->disabled], loads, unloads, late);
  return true;
}

int
main (int argc, char **argv)
{
  options_t options = read_options (argc, argv);
  pid_t workers[WORKERS];
  uint64_t n_workers = options.schedules < WORKERS ? 1 : WORKERS;
  for (uint64_t i = 0; i < n_workers; i++)
    {
      workers[i] = fork ();
      if (workers[i] == 0)
        {
          prctl (PR_SET_PDEATHSIG, SIGTERM);
          bool good = explore (&options, argv[0], i, n_workers);
          fflush (stdout);
          _exit (good ? 0 : 1);
        }
    }
  int failed = 0;
  for (uint64_t i = 0; i < n_workers; i++)
    {
      int status = 1;
      waitpid (workers[i], &status, 0);
      failed |= status;
    }
  return failed ? 1 : 0;
}
