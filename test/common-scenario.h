/* common-scenario.h - scenarios on a fleet of processes, as text.

   One verb a line, split as a shell does; '#' begins a comment.  The verbs
   are described in test/live/README.md.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_SCENARIO_H
#define KNAPWEEDFORK_TEST_COMMON_SCENARIO_H

#include <glib.h>

#include "common-calls.h"
#include "common-fleet.h"

typedef struct
{
  fleet_t *fleet;
  GHashTable *groups; /* name -> call_group_t */
  GHashTable *marks;  /* name -> double, ms */
  GRand *random;
  fleet_node_t *leader; /* last named so; NULL: none */
  const char *file;
  int line;
} scenario_t;

/* Words of a line after the verb, ending with NULL.  */
typedef void (*scenario_verb_t) (scenario_t *scenario, char **words);

/* A verb of one of the tables, or NULL.  */
scenario_verb_t scenario_fleet_verb (const char *name);
scenario_verb_t scenario_check_verb (const char *name);

/* Fail with file and line.  */
_Noreturn void scenario_fail (const scenario_t *scenario, const char *format,
                              ...) G_GNUC_PRINTF (2, 3);

call_group_t *scenario_group (scenario_t *scenario, const char *name);

/* "250", "250ms" or "3s" as milliseconds.  */
int scenario_ms (const char *text);

/* Milliseconds of the option "within", 5 s without it.  */
int scenario_within (char **words);

/* The first word, which must be there.  */
const char *scenario_word (const scenario_t *scenario, char **words);

/* Run the file.  Does not return when the scenario fails.  */
void scenario_run (const char *file);

#endif
