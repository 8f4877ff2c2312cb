/* common-scenario.h - scenarios on a fleet of real processes, written as text.

   One verb per line, split into words as a shell does; '#' begins a comment.
   The verbs are described in test/live/README.md.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_SCENARIO_H
#define KNAPWEEDFORK_TEST_COMMON_SCENARIO_H

#include <glib.h>

#include "common-calls.h"
#include "common-fleet.h"

typedef struct
{
  fleet_t *fleet;
  GHashTable *groups; /* name of a group to call_group_t */
  GHashTable *marks;  /* name that the verb "mark" set to its time, a double on
                         the clock of calls_now_ms, ms */
  GRand *random;
  fleet_node_t *leader; /* placement leader that the node name "decider" last
                           stood for; NULL: none */
  const char *file;
  int line;
} scenario_t;

/* A verb.  WORDS are the words of the line after the verb, ending with
   NULL.  */
typedef void (*scenario_verb_t) (scenario_t *scenario, char **words);

/* The function of the verb NAME; NULL if common-scenario-fleet.c, or
   common-scenario-check.c, has no such verb.  */
scenario_verb_t scenario_fleet_verb (const char *name);
scenario_verb_t scenario_check_verb (const char *name);

/* End the program with a message that names the file and the line.  */
_Noreturn void scenario_fail (const scenario_t *scenario, const char *format,
                              ...) G_GNUC_PRINTF (2, 3);

/* The group of requests that were started under NAME; created empty if there
   is none.  */
call_group_t *scenario_group (scenario_t *scenario, const char *name);

/* Milliseconds of "250", "250ms" or "3s".  */
int scenario_ms (const char *text);

/* Milliseconds of the option "within"; 5 s if it is missing.  */
int scenario_within (char **words);

/* WORDS[0].  Ends the program if there is none.  */
const char *scenario_word (const scenario_t *scenario, char **words);

/* Run the scenario FILE.  Does not return if the scenario fails.  */
void scenario_run (const char *file);

#endif
