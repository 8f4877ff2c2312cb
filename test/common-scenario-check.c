/* Scenario verbs that wait for a condition or check one.  */

#include "common-scenario.h"

#include <stdlib.h>
#include <string.h>

#define POLL_MS 10
#define REFUSAL_SIZE 300
#define SHOWN 5 /* requests printed after a failure */

typedef struct
{
  scenario_t *scenario;
  char **words;  /* filters */
  bool inverted; /* select the requests that do not pass the filters */
} filter_t;

/* Time, on the clock of calls_now_ms, of a text such as "NAME+3s" or "NAME",
   where the verb "mark" has set the time of NAME.  */
static double
parse_time (const scenario_t *s, const char *text)
{
  char **parts = g_strsplit (text, "+", 2);
  const double *mark = g_hash_table_lookup (s->marks, parts[0]);
  double after_ms = parts[1] ? scenario_ms (parts[1]) : 0;
  g_strfreev (parts);
  if (mark)
    return *mark + after_ms;
  scenario_fail (s, "the time %s names no mark", text);
}

static bool
has_flag (const call_record_t *record, const char *flag)
{
  bool ended = record->ended_ms > 0;
  if (strcmp (flag, "whole") == 0)
    return record->whole;
  if (strcmp (flag, "not-whole") == 0)
    return ended && !record->whole;
  if (strcmp (flag, "wrong") == 0)
    return record->wrong;
  if (strcmp (flag, "ended") == 0)
    return ended;
  if (strcmp (flag, "open") == 0)
    return !ended;
  if (strcmp (flag, "begun") == 0)
    return record->begun;
  if (strcmp (flag, "broken") == 0)
    return ended && !record->complete;
  if (strcmp (flag, "complete-without-error") == 0)
    return record->complete && record->status == 200 && !*record->code
           && !record->whole;
  fleet_fail ("there is no flag %s", flag);
}

static bool
has_status (const call_record_t *record, const char *values)
{
  char **list = g_strsplit (values, "|", 0);
  bool found = false;
  for (char **one = list; *one; one++)
    found |= record->ended_ms > 0 && atoi (*one) == record->status;
  g_strfreev (list);
  return found;
}

static bool
has_value (const scenario_t *s, const call_record_t *record, const char *name,
           const char *value)
{
  if (strcmp (name, "status") == 0)
    return has_status (record, value);
  if (strcmp (name, "not-status") == 0)
    return record->ended_ms > 0 && !has_status (record, value);
  if (strcmp (name, "code") == 0)
    return strcmp (record->code, value) == 0;
  if (strcmp (name, "not-code") == 0)
    return record->ended_ms > 0 && strcmp (record->code, value) != 0;
  if (strcmp (name, "run") == 0)
    return strcmp (record->run, value) == 0;
  if (strcmp (name, "not-run") == 0)
    return record->ended_ms > 0 && strcmp (record->run, value) != 0;
  if (strcmp (name, "at") == 0)
    return strcmp (record->at, value) == 0;
  if (strcmp (name, "has") == 0)
    return strstr (record->fields, value) || strstr (record->sample, value);
  if (strcmp (name, "since") == 0)
    return record->sent_ms >= parse_time (s, value);
  if (strcmp (name, "until") == 0)
    return record->sent_ms < parse_time (s, value);
  if (strcmp (name, "data-since") == 0)
    return record->data_ms >= parse_time (s, value);
  if (strcmp (name, "token-since") == 0)
    return record->token_ms >= parse_time (s, value);
  if (strcmp (name, "longer") == 0)
    return (record->ended_ms > 0 ? record->ended_ms : calls_now_ms ())
           > record->sent_ms + scenario_ms (value);
  scenario_fail (s, "there is no filter %s", name);
}

static bool
passes (const call_record_t *record, const filter_t *filter)
{
  for (char **word = filter->words; *word; word++)
    {
      char *name = g_strdup (*word);
      char *value = strchr (name, '=');
      if (value)
        *value++ = '\0';
      bool good = value ? has_value (filter->scenario, record, name, value)
                        : has_flag (record, name);
      g_free (name);
      if (!good)
        return false;
    }
  return true;
}

static bool
is_counted (const call_record_t *record, void *data)
{
  const filter_t *filter = data;
  return passes (record, filter) != filter->inverted;
}

static bool
compare (int count, const char *relation, int number)
{
  if (strcmp (relation, "==") == 0)
    return count == number;
  return strcmp (relation, ">=") == 0 ? count >= number : count <= number;
}

static bool
is_relation (const char *word)
{
  return strcmp (word, "==") == 0 || strcmp (word, ">=") == 0
         || strcmp (word, "<=") == 0;
}

static int
count_calls (scenario_t *s, const char *group, filter_t *filter, int show)
{
  return calls_count (scenario_group (s, group), is_counted, filter, show);
}

static const char *
operand (const scenario_t *s, char **words)
{
  if (!words[0] || !words[1])
    scenario_fail (s, "the number after the relation is missing");
  return words[1];
}

/* count GROUP FILTER… RELATION N [within=TIME]: the number of requests of the
   group that pass the filters.  */
static void
count (scenario_t *s, char **words)
{
  const char *group = scenario_word (s, words);
  int at = 1;
  while (words[at] && !is_relation (words[at]))
    at++;
  int number = atoi (operand (s, words + at));
  char *relation = words[at];
  int within_ms = scenario_ms (fleet_option (words + at, "within", "0"));
  words[at] = NULL;
  filter_t filter = { .scenario = s, .words = words + 1 };
  double end_ms = calls_now_ms () + within_ms;
  int found;
  while (
      !compare (found = count_calls (s, group, &filter, 0), relation, number))
    {
      if (calls_now_ms () < end_ms)
        {
          pause_ms (POLL_MS);
          continue;
        }
      count_calls (s, group, &filter, SHOWN);
      filter.inverted = true;
      printf ("some that do not pass the filters:\n");
      count_calls (s, group, &filter, SHOWN);
      scenario_fail (s, "%d calls of %s are so, wanted %s %d", found, group,
                     relation, number);
    }
  words[at] = relation; /* restored, because g_strfreev frees it */
  printf ("%s:%d: %s: %d\n", s->file, s->line, group, found);
}

static bool
are_instances (scenario_t *s, char **words,
               bool (*is) (const scenario_t *scenario,
                           const fleet_node_t *node))
{
  GPtrArray *nodes
      = fleet_instances (s->fleet, fleet_option (words, "at", "all"));
  bool all = true;
  for (guint i = 0; i < nodes->len && all; i++)
    all = is (s, g_ptr_array_index (nodes, i));
  g_ptr_array_free (nodes, TRUE);
  return all;
}

static void
await_instances (scenario_t *s, char **words, const char *what,
                 bool (*is) (const scenario_t *scenario,
                             const fleet_node_t *node))
{
  double end_ms = calls_now_ms () + scenario_within (words);
  while (!are_instances (s, words, is))
    {
      if (calls_now_ms () > end_ms)
        scenario_fail (s, "not every instance is %s in time", what);
      pause_ms (POLL_MS);
    }
}

static bool
is_ready (const scenario_t *s, const fleet_node_t *node)
{
  (void)s;
  return fleet_is_ready (node);
}

static void
ready (scenario_t *s, char **words)
{
  await_instances (s, words, "ready", is_ready);
}

static bool
is_in_force (const scenario_t *s, const fleet_node_t *node)
{
  return fleet_version (node) >= s->fleet->version;
}

/* Whether a completion with KEY, or a GET of PATH, is answered with status
   200.  If not, REFUSAL is the answer.  */
static bool
serves (const fleet_node_t *node, const char *key, const char *path,
        char refusal[REFUSAL_SIZE])
{
  static const char body[] = "{\"model\":\"notes\",\"max_tokens\":1,"
                             "\"messages\":[{\"role\":\"user\","
                             "\"content\":\"first\"}]}";
  char *authorization = g_strconcat ("Authorization: Bearer ", key, NULL);
  const char *headers[] = { authorization, NULL };
  http_answer_t answer = http_call (path ? "GET" : "POST", node->address,
                                    path ? path : "/v1/chat/completions",
                                    headers, path ? NULL : body, 5000);
  bool good = answer.complete && answer.status == 200;
  g_strlcpy (refusal, answer.body, REFUSAL_SIZE);
  http_free (&answer);
  g_free (authorization);
  return good;
}

/* serves KEY [path=PATH] [at=…] [within=TIME]: wait until each instance
   answers a completion, or a GET of PATH.  */
static void
await_service (scenario_t *s, char **words)
{
  const char *key
      = g_hash_table_lookup (s->fleet->keys, scenario_word (s, words));
  GPtrArray *nodes
      = fleet_instances (s->fleet, fleet_option (words, "at", "all"));
  double end_ms = calls_now_ms () + scenario_within (words);
  char refusal[REFUSAL_SIZE];
  for (guint i = 0; i < nodes->len;)
    {
      const fleet_node_t *node = g_ptr_array_index (nodes, i);
      if (serves (node, key, fleet_option (words, "path", NULL), refusal))
        i++;
      else if (calls_now_ms () > end_ms)
        scenario_fail (s, "%s does not serve in time: %s", node->name,
                       refusal);
      else
        pause_ms (POLL_MS);
    }
  g_ptr_array_free (nodes, TRUE);
}

/* in-force [at=…] [within=TIME]: wait until the version of the last apply is
   in force.  */
static void
in_force (scenario_t *s, char **words)
{
  await_instances (s, words, "at the last version", is_in_force);
}

static json_t *
runs_of (scenario_t *s, const char *name)
{
  const fleet_node_t *node = fleet_node (s->fleet, name);
  json_t *runs = http_get_json (node->address, "/runs", 200);
  if (!runs)
    scenario_fail (s, "%s does not report its runs", name);
  return runs;
}

/* runs SERVICE RELATION N: the number of runs; no Idempotency-Key ran more
   than once.  */
static void
runs (scenario_t *s, char **words)
{
  json_t *root = runs_of (s, scenario_word (s, words));
  int total = (int)json_integer_value (json_object_get (root, "total"));
  const json_t *doubles = json_object_get (root, "doubles");
  if (json_array_size (doubles) > 0)
    {
      char *text = json_dumps (doubles, JSON_COMPACT);
      scenario_fail (s, "ran more than once: %s", text);
    }
  if (words[1] && !compare (total, words[1], atoi (operand (s, words + 1))))
    scenario_fail (s, "%d runs", total);
  printf ("%s:%d: %d runs\n", s->file, s->line, total);
  json_decref (root);
}

typedef struct
{
  GHashTable *ids; /* set of the X-Request-Id of each run */
} run_ids_t;

static bool
is_false (const call_record_t *record, void *data)
{
  const run_ids_t *check_not_run = data;
  return strcmp (record->run, "no") == 0 && *record->id
         && g_hash_table_contains (check_not_run->ids, record->id);
}

static bool
has_no_id (const call_record_t *record, void *data)
{
  (void)data;
  return strcmp (record->run, "no") == 0 && !*record->id;
}

/* truth GROUP SERVICE: no request of the group that was answered with run "no"
   is among the runs of the service.  */
static void
check_not_run (scenario_t *s, char **words)
{
  const char *group = scenario_word (s, words);
  json_t *root = runs_of (s, scenario_word (s, words + 1));
  run_ids_t truth_data = { g_hash_table_new (g_str_hash, g_str_equal) };
  size_t i;
  json_t *run;
  json_array_foreach (json_object_get (root, "runs"), i, run)
  {
    const char *id = json_string_value (json_object_get (run, "request_id"));
    if (id)
      g_hash_table_add (truth_data.ids, (char *)id);
  }
  call_group_t *calls = scenario_group (s, group);
  if (calls_count (calls, is_false, &truth_data, SHOWN) > 0)
    scenario_fail (s, "run \"no\" is not true");
  if (calls_count (calls, has_no_id, NULL, SHOWN) > 0)
    scenario_fail (s, "an answer has no X-Request-Id");
  g_hash_table_destroy (truth_data.ids);
  json_decref (root);
}

/* seen NODE TEXT RELATION N, or seen NODE key=K RELATION N: how often a
   stand-in received the text or the key.  */
static void
seen (scenario_t *s, char **words)
{
  const fleet_node_t *node = fleet_node (s->fleet, scenario_word (s, words));
  const char *key = fleet_option (words, "key", NULL);
  const char *text = key ? g_hash_table_lookup (s->fleet->keys, key)
                         : scenario_word (s, words + 1);
  if (!text)
    scenario_fail (s, "there is no key %s", key);
  char *target = g_strconcat ("/seen?text=", text, NULL);
  json_t *root = http_get_json (node->address, target, 200);
  g_free (target);
  const json_t *number = json_object_get (root, "count");
  if (!json_is_integer (number))
    scenario_fail (s, "%s does not report what it has seen", node->name);
  int found = (int)json_integer_value (number);
  if (!compare (found, scenario_word (s, words + 2),
                atoi (operand (s, words + 2))))
    scenario_fail (s, "%s has seen it %d times", node->name, found);
  json_decref (root);
}

/* reports NODE FIELD RELATION N: a number in the status of a stand-in.  */
static void
check_status (scenario_t *s, char **words)
{
  const fleet_node_t *node = fleet_node (s->fleet, scenario_word (s, words));
  const char *field = scenario_word (s, words + 1);
  json_t *root = http_get_json (node->address, "/status", 200);
  const json_t *number = json_object_get (root, field);
  int found = (int)json_integer_value (number);
  if (!json_is_integer (number)
      || !compare (found, scenario_word (s, words + 2),
                   atoi (operand (s, words + 2))))
    scenario_fail (s, "%s of %s is %d (0 also if it is no integer)", field,
                   node->name, found);
  json_decref (root);
}

static int
occurrences (const fleet_node_t *node, const char *text)
{
  char *log = NULL;
  int found = 0;
  if (g_file_get_contents (node->log, &log, NULL, NULL))
    for (const char *at = log; (at = strstr (at, text)); at++)
      found++;
  g_free (log);
  return found;
}

/* logged NODE TEXT RELATION N [within=TIME]: how often the text is in the
   log.  */
static void
check_log (scenario_t *s, char **words)
{
  const fleet_node_t *node = fleet_node (s->fleet, scenario_word (s, words));
  const char *text = scenario_word (s, words + 1);
  int number = atoi (operand (s, words + 2));
  double end_ms = calls_now_ms ()
                  + scenario_ms (fleet_option (words + 2, "within", "0"));
  while (!compare (occurrences (node, text), words[2], number))
    {
      if (calls_now_ms () > end_ms)
        scenario_fail (s, "the log of %s has it %d times", node->name,
                       occurrences (node, text));
      pause_ms (POLL_MS);
    }
}

/* alive RELATION N: number of engines whose process has not ended.  */
static void
engines_alive (scenario_t *s, char **words)
{
  int alive = 0;
  for (guint i = 0; i < s->fleet->nodes->len; i++)
    {
      fleet_node_t *node = g_ptr_array_index (s->fleet->nodes, i);
      alive += node->kind == NODE_ENGINE && node->process.pid > 0
               && process_wait (&node->process, 0) == -1;
    }
  if (!compare (alive, scenario_word (s, words), atoi (operand (s, words))))
    scenario_fail (s, "%d engines are alive", alive);
  printf ("%s:%d: %d engines alive\n", s->file, s->line, alive);
}

typedef struct
{
  const char *name;
  scenario_verb_t verb;
} entry_t;

scenario_verb_t
scenario_check_verb (const char *name)
{
  static const entry_t verbs[] = { { "count", count },
                                   { "ready", ready },
                                   { "serves", await_service },
                                   { "in-force", in_force },
                                   { "runs", runs },
                                   { "truth", check_not_run },
                                   { "seen", seen },
                                   { "reports", check_status },
                                   { "logged", check_log },
                                   { "alive", engines_alive } };
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, name) == 0)
      return verbs[i].verb;
  return NULL;
}
