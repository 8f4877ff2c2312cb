/* scenario-verbs.h - words and verbs of the scenario language.  */

#ifndef KNAPWEEDFORK_SCENARIO_VERBS_H
#define KNAPWEEDFORK_SCENARIO_VERBS_H

#include "standin/common-world-memory.h"

typedef struct
{
  const char *path;
  int line;
  world_t *world;
  int argc;
  char **argv;
  int leader;          /* index of the placement leader that the word "decider"
                          last stood for */
  GHashTable *options; /* NAME=VALUE words of the line */
} scenario_t;

/* Fail the test with a message that names the file and the line.  */
void line_fail (const scenario_t *scenario, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Word I of the current line, and values of its NAME=VALUE options: as text,
   as a number, as a flag.  OTHERWISE if the option is missing.  */
const char *line_word (const scenario_t *scenario, int i);
const char *line_option (const scenario_t *scenario, const char *name,
                         const char *otherwise);
int64_t number (const scenario_t *scenario, const char *name,
                int64_t otherwise);
bool line_flag (const scenario_t *scenario, const char *name, bool otherwise);
void line_split_options (scenario_t *scenario);

/* The backend server, request or instance that the second word of the line
   names.  */
world_engine_t *line_engine (const scenario_t *scenario);
world_request_t *line_request (const scenario_t *scenario);
int line_node (scenario_t *scenario);

/* Create the request that the line's options describe, at the instance
   INDEX.  */
world_request_t *add_request (const scenario_t *scenario, const char *name,
                              int index);

/* Verbs.  */
void verb_chaos (scenario_t *scenario);
void verb_answered (scenario_t *scenario);
void verb_engine (scenario_t *scenario);
void verb_service (scenario_t *scenario);
void verb_set (scenario_t *scenario);
void verb_crash (scenario_t *scenario);
void verb_seed (scenario_t *scenario);
void verb_network (scenario_t *scenario);
void verb_table (scenario_t *scenario);
void verb_organisation (scenario_t *scenario);
void verb_nodes (scenario_t *scenario);
void verb_start (scenario_t *scenario);
void verb_apply (scenario_t *scenario);
void verb_version (scenario_t *scenario);
void verb_call (scenario_t *scenario);
void verb_calls (scenario_t *scenario);
void verb_gone (scenario_t *scenario);
void verb_run (scenario_t *scenario);
void verb_kill (scenario_t *scenario);
void verb_restart (scenario_t *scenario);
void verb_queue (scenario_t *scenario);
void verb_pause (scenario_t *scenario);
void verb_stop (scenario_t *scenario);
void verb_withdraw (scenario_t *scenario);

#endif
