/* Runs every file test/scenarios/NAME.scn against real cores on a fake clock.

   A scenario has one verb per line, split into words as by a shell; "#" begins
   a comment, and the first line says which failure the scenario guards
   against.  After each scenario the rules for every request are checked: one
   answer; tokens without gap, repeat or mix-up; "not run" only if nothing was
   sent; requests that must run once have run at most once.

   Usage: test_scenario [-v] [-s SEED] [-j JITTER_MS] [FILE...]
   -s replaces the seeds of all scenarios; -j adds a random delay to the
   answers of the table and of the backend servers.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "scenario-verbs.h"

static bool verbose;
static uint64_t seed;
static int64_t jitter_ms;

/* Expectations.  */

static void
expect_number (const scenario_t *scenario, const char *name, int64_t found)
{
  char key[64];
  int64_t value = number (scenario, name, INT64_MIN);
  if (value != INT64_MIN && value != found)
    line_fail (scenario,
               "%s: expected %" G_GINT64_FORMAT ", found %" G_GINT64_FORMAT,
               name, value, found);
  g_snprintf (key, sizeof key, "min_%s", name);
  if (number (scenario, key, INT64_MIN) > found)
    line_fail (scenario, "%s: expected at least %s, found %" G_GINT64_FORMAT,
               name, line_option (scenario, key, ""), found);
  g_snprintf (key, sizeof key, "max_%s", name);
  if (number (scenario, key, INT64_MAX) < found)
    line_fail (scenario, "%s: expected at most %s, found %" G_GINT64_FORMAT,
               name, line_option (scenario, key, ""), found);
}

static void
expect_text (const scenario_t *scenario, const char *name, const char *found)
{
  const char *value = line_option (scenario, name, NULL);
  if (value && g_strcmp0 (value, found) != 0)
    line_fail (scenario, "%s: expected %s, found %s", name, value,
               found ? found : "nothing");
}

static void
verb_expect (scenario_t *scenario)
{
  static const char *const runs[] = { "no", "yes", "unknown" };
  const world_request_t *request = line_request (scenario);
  expect_text (scenario, "code", request->done ? request->code : "open");
  expect_text (scenario, "run", runs[request->run]);
  expect_text (scenario, "text", request->text);
  expect_number (scenario, "status", request->status);
  expect_number (scenario, "tokens", request->tokens->len);
  expect_number (scenario, "starts", request->starts);
  expect_number (scenario, "runs", request->runs);
  expect_number (scenario, "cancels", request->cancels);
  expect_number (scenario, "answers", request->answers);
  expect_number (scenario, "retry_after_ms", request->retry_after_ms);
  expect_number (scenario, "limit_rate", (int64_t)request->limit_rate);
  expect_number (scenario, "took_ms",
                 (request->ended_ns - request->sent_ns) / MS);
  const char *part = line_option (scenario, "contains", NULL);
  if (part && !strstr (request->text ? request->text : "", part))
    line_fail (scenario, "%s is not in %s", part, request->text);
  part = line_option (scenario, "lacks", NULL);
  if (part && strstr (request->text ? request->text : "", part))
    line_fail (scenario, "%s is in %s", part, request->text);
}

/* count PREFIX code=CODE: number of requests that ended with the code.  */
static void
verb_count (scenario_t *scenario)
{
  world_t *world = scenario->world;
  const char *code = line_option (scenario, "code", "ok");
  int64_t total = 0;
  int64_t found = 0;
  int64_t starts = 0;
  for (guint i = 0; i < world->requests->len; i++)
    {
      const world_request_t *request = g_ptr_array_index (world->requests, i);
      if (!g_str_has_prefix (request->name, line_word (scenario, 1)))
        continue;
      total++;
      starts += request->starts;
      found += strcmp (request->done ? request->code : "open", code) == 0;
    }
  expect_number (scenario, "total", total);
  expect_number (scenario, "starts", starts);
  expect_number (scenario, "found", found);
  if (!line_flag (scenario, "all", false) || found == total)
    return;
  for (guint i = 0; i < world->requests->len; i++)
    {
      const world_request_t *request = g_ptr_array_index (world->requests, i);
      const char *end = request->done ? request->code : "open";
      if (g_str_has_prefix (request->name, line_word (scenario, 1))
          && strcmp (end, code) != 0)
        print_message ("%s: %s (%s), %u tokens, %d attempts\n", request->name,
                       end, request->message ? request->message : "",
                       request->tokens->len, request->starts);
    }
  line_fail (scenario, "%d of %d ended with %s", (int)found, (int)total, code);
}

/* Percentage of the requests with PREFIX whose first token came within
   FIRST_MS and whose later tokens came at most 38 ms apart on average.  */
static double
attainment (const world_t *world, const char *prefix, int64_t first_ms)
{
  int total = 0;
  int attained = 0;
  for (guint i = 0; i < world->requests->len; i++)
    {
      const world_request_t *request = g_ptr_array_index (world->requests, i);
      if (!g_str_has_prefix (request->name, prefix))
        continue;
      total++;
      attained += request->done && strcmp (request->code, "ok") == 0
                  && request->first_ns - request->sent_ns <= first_ms * MS
                  && request->ended_ns - request->first_ns
                         <= (int64_t)request->tokens->len * 38 * MS;
    }
  return total ? 100.0 * attained / total : 0;
}

/* attained PREFIX first_ms=N against=PREFIX points=N min_percent=N
   max_percent=N print=LABEL: the percentage, compared with that of other
   requests.  */
static void
verb_attained (scenario_t *scenario)
{
  int64_t first_ms = number (scenario, "first_ms", 1300);
  double found
      = attainment (scenario->world, line_word (scenario, 1), first_ms);
  expect_number (scenario, "percent", (int64_t)found);
  const char *label = line_option (scenario, "print", NULL);
  if (label)
    print_message ("attained %s: %.2f\n", label, found);
  const char *against = line_option (scenario, "against", NULL);
  if (!against)
    return;
  double other = attainment (scenario->world, against, first_ms);
  if (found < other - (double)number (scenario, "points", 0))
    line_fail (scenario, "attainment: %.1f %%, against %.1f %% of %s", found,
               other, against);
}

static void
verb_world (scenario_t *scenario)
{
  world_t *world = scenario->world;
  int64_t crashes = 0;
  for (guint i = 0; i < world->engines->len; i++)
    crashes
        += ((world_engine_t *)g_ptr_array_index (world->engines, i))->crashes;
  expect_number (scenario, "crashes", crashes);
  expect_number (scenario, "exits", world->n_exits);
  expect_number (scenario, "attempts", world->n_attempts);
  expect_number (scenario, "steps", world->n_steps);
  int64_t log = number (scenario, "log", 0);
  if (log)
    expect_number (scenario, "times",
                   GPOINTER_TO_INT (g_hash_table_lookup (
                       world->logs, GINT_TO_POINTER ((int)log))));
}

static void
verb_server (scenario_t *scenario)
{
  const world_engine_t *engine = line_engine (scenario);
  expect_number (scenario, "crashes", engine->crashes);
  expect_number (scenario, "starts", engine->starts);
  /* Since the last "set" line for this server.  */
  expect_number (scenario, "more_starts",
                 engine->starts - engine->starts_before);
  expect_number (scenario, "running", engine->running);
  if (engine->memory)
    {
      world_memory_t *memory = engine->memory;
      expect_number (scenario, "loads", memory->loads);
      expect_number (scenario, "unloads", memory->unloads);
      expect_number (scenario, "holds_m",
                     world_memory_has_ready (memory, "m", NULL));
      expect_number (scenario, "holds_n",
                     world_memory_has_ready (memory, "n", NULL));
      expect_number (scenario, "holds_new",
                     world_memory_has_ready (memory, "m", "2"));
    }
  expect_number (scenario, "idle_ms",
                 (scenario->world->now_ns - engine->last_start_ns) / MS);
}

static void
verb_instance (scenario_t *scenario)
{
  const world_node_t *node = &scenario->world->nodes[line_node (scenario)];
  expect_text (scenario, "exited", node->exited ? "yes" : "no");
}

static void
verb_operator (scenario_t *scenario)
{
  world_t *world = scenario->world;
  world_operator_command (world, (int)number (scenario, "at", 1) - 1,
                          KWF_OPERATOR_STATUS, NULL, NULL);
  const char *part = line_option (scenario, "contains", "");
  if (!strstr (world->reply_body, part))
    line_fail (scenario, "%s is not in %s", part, world->reply_body);
}

static void
verb_metrics (scenario_t *scenario)
{
  int at = (int)number (scenario, "at", 1) - 1;
  char *text = kwf_core_metrics (scenario->world->nodes[at].core);
  const char *part = line_option (scenario, "contains", "");
  bool found = strstr (text, part) != NULL;
  if (!found)
    print_message ("%s\n", text);
  free (text);
  if (!found)
    line_fail (scenario, "%s is not in the metrics", part);
}

/* Rules for every request.  */

static void
check_call (const scenario_t *scenario, const world_request_t *request)
{
  if (request->answers > 1)
    line_fail (scenario, "%s was answered %d times", request->name,
               request->answers);
  if (request->foreign)
    line_fail (scenario, "%s got data of another attempt", request->name);
  for (guint i = 0; i < request->tokens->len; i++)
    if (g_array_index (request->tokens, int, i) != (int)i)
      line_fail (scenario, "%s got token %d at place %u", request->name,
                 g_array_index (request->tokens, int, i), i);
  if (!request->done)
    return;
  if (strcmp (request->code, "ok") == 0 && request->n_tokens
      && request->event.kind == KWF_REQUEST_COMPLETION
      && (int)request->tokens->len != request->n_tokens)
    line_fail (scenario, "%s got %u of %d tokens", request->name,
               request->tokens->len, request->n_tokens);
  if (strcmp (request->code, "ok") != 0 && request->run == KWF_RUN_NO
      && request->starts)
    line_fail (scenario, "%s was refused as not run but was sent",
               request->name);
}

static void
check_rules (const scenario_t *scenario)
{
  world_t *world = scenario->world;
  for (guint i = 0; i < world->requests->len; i++)
    check_call (scenario, g_ptr_array_index (world->requests, i));
  GHashTableIter iter;
  gpointer key;
  gpointer runs;
  g_hash_table_iter_init (&iter, world->runs);
  while (g_hash_table_iter_next (&iter, &key, &runs))
    if (g_str_has_prefix (key, "once") && GPOINTER_TO_INT (runs) > 1)
      line_fail (scenario, "call %s ran %d times", (const char *)key,
                 GPOINTER_TO_INT (runs));
}

/* No engine was given more than fits into its memory, and none unloaded the
   last copy of a model that is requested.  */
static void
check_engines (const scenario_t *scenario)
{
  const GPtrArray *engines = scenario->world->engines;
  for (guint i = 0; i < engines->len; i++)
    {
      const world_engine_t *engine = g_ptr_array_index (engines, i);
      if (engine->memory && engine->memory->excess_loads)
        line_fail (scenario, "%s was given more than fits into its memory",
                   engine->id);
      if (engine->memory && engine->memory->last_copies_unloaded)
        line_fail (scenario, "%s unloaded the last copy of a called model",
                   engine->id);
    }
}

/* Running the scenarios.  */

typedef struct
{
  const char *name;
  void (*run) (scenario_t *scenario);
} verb_t;

static const verb_t verbs[] = {
  { "seed", verb_seed },         { "network", verb_network },
  { "engine", verb_engine },     { "service", verb_service },
  { "set", verb_set },           { "crash", verb_crash },
  { "table", verb_table },       { "organisation", verb_organisation },
  { "start", verb_start },       { "call", verb_call },
  { "calls", verb_calls },       { "gone", verb_gone },
  { "run", verb_run },           { "kill", verb_kill },
  { "restart", verb_restart },   { "stop", verb_stop },
  { "withdraw", verb_withdraw }, { "expect", verb_expect },
  { "count", verb_count },       { "world", verb_world },
  { "server", verb_server },     { "instance", verb_instance },
  { "operator", verb_operator }, { "metrics", verb_metrics },
  { "pause", verb_pause },       { "nodes", verb_nodes },
  { "chaos", verb_chaos },       { "answered", verb_answered },
  { "queue", verb_queue },       { "attained", verb_attained },
  { "apply", verb_apply },       { "version", verb_version },
};

static void
run_line (scenario_t *scenario, const char *line)
{
  if (!line[0] || line[0] == '#')
    return;
  if (!g_shell_parse_argv (line, &scenario->argc, &scenario->argv, NULL))
    line_fail (scenario, "the line cannot be split");
  line_split_options (scenario);
  const verb_t *verb = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, scenario->argv[0]) == 0)
      verb = &verbs[i];
  if (!verb)
    line_fail (scenario, "no such verb");
  else
    verb->run (scenario);
  g_hash_table_unref (scenario->options);
  g_strfreev (scenario->argv);
}

static void
run_scenario (void **state)
{
  scenario_t scenario
      = { .path = *state, .world = world_new (seed ? seed : 1) };
  scenario.world->verbose = verbose;
  scenario.world->seed_fixed = seed != 0;
  scenario.world->jitter_ns = jitter_ms * MS;
  char *text = NULL;
  if (!g_file_get_contents (scenario.path, &text, NULL, NULL))
    line_fail (&scenario, "the file cannot be read");
  char **lines = g_strsplit (text, "\n", 0);
  if (!g_str_has_prefix (text, "# Guards against "))
    line_fail (&scenario, "the first line must say what it guards against");
  for (int i = 0; lines[i]; i++)
    {
      scenario.line = i + 1;
      run_line (&scenario, g_strstrip (lines[i]));
    }
  check_rules (&scenario);
  check_engines (&scenario);
  g_strfreev (lines);
  g_free (text);
  world_free (scenario.world);
}

static gint
compare_paths (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static GPtrArray *
find_scenarios (void)
{
  GPtrArray *paths = g_ptr_array_new_with_free_func (g_free);
  GDir *dir = g_dir_open ("test/scenarios", 0, NULL);
  const char *name;
  while (dir && (name = g_dir_read_name (dir)))
    if (g_str_has_suffix (name, ".scn"))
      g_ptr_array_add (paths, g_build_filename ("test/scenarios", name, NULL));
  if (dir)
    g_dir_close (dir);
  g_ptr_array_sort (paths, compare_paths);
  return paths;
}

int
main (int argc, char **argv)
{
  int first = 1;
  for (; first < argc && argv[first][0] == '-'; first++)
    {
      if (strcmp (argv[first], "-v") == 0)
        verbose = true;
      else if (strcmp (argv[first], "-s") == 0 && first + 1 < argc)
        seed = g_ascii_strtoull (argv[++first], NULL, 10);
      else if (strcmp (argv[first], "-j") == 0 && first + 1 < argc)
        jitter_ms = g_ascii_strtoll (argv[++first], NULL, 10);
    }
  GPtrArray *paths = find_scenarios ();
  if (first < argc)
    {
      g_ptr_array_set_size (paths, 0);
      for (int i = first; i < argc; i++)
        g_ptr_array_add (paths, g_strdup (argv[i]));
    }
  struct CMUnitTest *tests = g_new0 (struct CMUnitTest, paths->len + 1);
  for (guint i = 0; i < paths->len; i++)
    {
      char *path = g_ptr_array_index (paths, i);
      tests[i] = (struct CMUnitTest){ .name = path,
                                      .test_func = run_scenario,
                                      .initial_state = path };
    }
  int failed = paths->len ? _cmocka_run_group_tests ("scenarios", tests,
                                                     paths->len, NULL, NULL)
                          : 1;
  g_free (tests);
  g_ptr_array_free (paths, TRUE);
  return failed;
}
