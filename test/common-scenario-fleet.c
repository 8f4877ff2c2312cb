/* Scenario verbs that start, change and stop processes, and that send
   requests.  */

#include "common-scenario.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static void
add_fleet (scenario_t *s, char **words)
{
  int count = atoi (scenario_word (s, words));
  for (int i = 1; i <= count; i++)
    {
      char name[32];
      g_snprintf (name, sizeof name, "entry-%d", i);
      fleet_add_instance (s->fleet, name, words + 1);
    }
}

static void
add_engine (scenario_t *s, char **words)
{
  fleet_add_engine (s->fleet, scenario_word (s, words), words + 1);
}

static void
add_service (scenario_t *s, char **words)
{
  fleet_add_service (s->fleet, scenario_word (s, words), words + 1);
}

static void
add_organisation (scenario_t *s, char **words)
{
  fleet_add_organisation (s->fleet, scenario_word (s, words),
                          atof (fleet_option (words, "rate", "100000")),
                          atof (fleet_option (words, "burst", "1000000")));
}

static fleet_node_t *
instance_of (scenario_t *s, char **words)
{
  return fleet_node (s->fleet, fleet_option (words, "at", "entry-1"));
}

/* apply [status=N]: apply the lists.  N is the expected status, by default
   200.  Retried while the instance is not ready, for as long as "within"
   allows.  */
static void
apply (scenario_t *s, char **words)
{
  const fleet_node_t *node = instance_of (s, words);
  int wanted = atoi (fleet_option (words, "status", "200"));
  double end_ms = calls_now_ms () + scenario_within (words);
  for (;;)
    {
      char *body = fleet_lists_body (s->fleet, MAX (fleet_version (node), 0));
      http_answer_t answer = fleet_operate (node, "POST", "/lists", body);
      free (body);
      int status = answer.status;
      json_t *root = status == 200 ? json_loads (answer.body, 0, NULL) : NULL;
      if (root)
        s->fleet->version
            = json_integer_value (json_object_get (root, "version"));
      json_decref (root);
      if (status != wanted && (status != 503 || calls_now_ms () > end_ms))
        scenario_fail (s, "apply: status %d: %s", status, answer.body);
      http_free (&answer);
      if (status == wanted)
        return;
      pause_ms (20);
    }
}

static void
add_key (scenario_t *s, char **words)
{
  const char *name = scenario_word (s, words);
  fleet_add_key (s->fleet, instance_of (s, words), name,
                 fleet_option (words, "org", "khomas"));
}

static void
withdraw (scenario_t *s, char **words)
{
  int wanted = atoi (fleet_option (words, "status", "200"));
  int status = fleet_withdraw_key (s->fleet, instance_of (s, words),
                                   scenario_word (s, words));
  if (status != wanted)
    scenario_fail (s, "withdraw: status %d", status);
}

static void
send_signal (scenario_t *s, char **words, int signal)
{
  for (; *words; words++)
    process_signal (&fleet_node (s->fleet, *words)->process, signal);
}

/* The instance whose status says that it is the placement leader.  */
static fleet_node_t *
find_leader (scenario_t *s)
{
  fleet_node_t *found = NULL;
  for (guint i = 0; i < s->fleet->nodes->len; i++)
    {
      fleet_node_t *node = g_ptr_array_index (s->fleet->nodes, i);
      if (node->kind != NODE_INSTANCE)
        continue;
      http_answer_t answer = fleet_operate (node, "GET", "/status", NULL);
      json_t *root
          = answer.status == 200 ? json_loads (answer.body, 0, NULL) : NULL;
      const json_t *placement = json_object_get (root, "placement");
      if (json_is_true (json_object_get (placement, "decides")))
        found = node;
      json_decref (root);
      http_free (&answer);
    }
  if (!found)
    scenario_fail (s, "no instance decides on placement");
  return found;
}

/* The node NAME; "decider" is the placement leader, "same" the leader that the
   last "decider" found.  */
static fleet_node_t *
line_node (scenario_t *s, const char *name)
{
  if (strcmp (name, "decider") == 0)
    return s->leader = find_leader (s);
  return strcmp (name, "same") == 0 ? s->leader : fleet_node (s->fleet, name);
}

static void
kill_node (scenario_t *s, char **words)
{
  for (; *words; words++)
    process_kill (&line_node (s, *words)->process);
}

static void
stop_node (scenario_t *s, char **words)
{
  send_signal (s, words, SIGSTOP);
}

static void
continue_node (scenario_t *s, char **words)
{
  send_signal (s, words, SIGCONT);
}

static void
terminate (scenario_t *s, char **words)
{
  send_signal (s, words, SIGTERM);
}

static void
interrupt (scenario_t *s, char **words)
{
  send_signal (s, words, SIGINT);
}

/* file NAME TEXT: write a file in the directory of the settings.  */
static void
write_text (scenario_t *s, char **words)
{
  char *path
      = g_build_filename (s->fleet->directory, scenario_word (s, words), NULL);
  if (!g_file_set_contents (path, scenario_word (s, words + 1), -1, NULL))
    scenario_fail (s, "cannot write %s", path);
  g_free (path);
}

/* reload NODE…|all: send SIGHUP.  */
static void
reload (scenario_t *s, char **words)
{
  for (; *words; words++)
    {
      GPtrArray *nodes = fleet_instances (s->fleet, *words);
      for (guint i = 0; i < nodes->len; i++)
        {
          const fleet_node_t *node = g_ptr_array_index (nodes, i);
          process_signal (&node->process, SIGHUP);
        }
      g_ptr_array_free (nodes, TRUE);
    }
}

/* settings NODE…: write the settings file again, with one more comment
   line.  */
static void
write_settings (scenario_t *s, char **words)
{
  for (; *words; words++)
    {
      char *file = g_strconcat (line_node (s, *words)->name, ".toml", NULL);
      char *path = g_build_filename (s->fleet->directory, file, NULL);
      char *text = NULL;
      char *more = NULL;
      if (g_file_get_contents (path, &text, NULL, NULL))
        more = g_strconcat (text, "# a remark\n", NULL);
      if (!more || !g_file_set_contents (path, more, -1, NULL))
        scenario_fail (s, "cannot write %s", path);
      g_free (more);
      g_free (text);
      g_free (path);
      g_free (file);
    }
}

/* start NODE…: start again what was killed or has ended.  */
static void
start (scenario_t *s, char **words)
{
  for (; *words; words++)
    {
      fleet_node_t *node = line_node (s, *words);
      process_kill (&node->process);
      fleet_start (s->fleet, node);
    }
}

static void
expect_exit (scenario_t *s, char **words)
{
  fleet_node_t *node = fleet_node (s->fleet, scenario_word (s, words));
  int wanted = atoi (fleet_option (words, "status", "0"));
  int status = process_wait (&node->process, scenario_within (words));
  if (status == -1 || !WIFEXITED (status) || WEXITSTATUS (status) != wanted)
    scenario_fail (s, "%s: wait status %d", node->name, status);
}

/* The value of "name=value" as JSON.  A value that is not JSON is a string;
   names separated by commas are an array.  */
static json_t *
switch_value (const char *name, const char *text)
{
  json_t *value = json_loads (text, JSON_DECODE_ANY, NULL);
  if (value || strcmp (name, "refuse_from") != 0)
    return value ? value : json_string (text);
  value = json_array ();
  char **names = g_strsplit (text, ",", 0);
  for (char **one = names; *one; one++)
    if (**one)
      json_array_append_new (value, json_string (*one));
  g_strfreev (names);
  return value;
}

static void
set_switches (scenario_t *s, const fleet_node_t *node, char **words)
{
  json_t *body = json_object ();
  for (; *words; words++)
    {
      char **pair = g_strsplit (*words, "=", 2);
      json_object_set_new (body, pair[0],
                           switch_value (pair[0], pair[1] ? pair[1] : "true"));
      g_strfreev (pair);
    }
  char *text = json_dumps (body, JSON_COMPACT);
  if (http_post (node->address, "/switch", text) != 200)
    scenario_fail (s, "%s does not take %s", node->name, text);
  free (text);
  json_decref (body);
}

static void
switch_platform (scenario_t *s, char **words)
{
  set_switches (s, fleet_node (s->fleet, "platform"), words);
}

static void
switch_node (scenario_t *s, char **words)
{
  set_switches (s, fleet_node (s->fleet, scenario_word (s, words)), words + 1);
}

static void
pause_for (scenario_t *s, char **words)
{
  if (strcmp (scenario_word (s, words), "random") == 0)
    pause_ms (g_rand_int_range (s->random, atoi (words[1]), atoi (words[2])));
  else
    pause_ms (scenario_ms (words[0]));
}

static void
mark (scenario_t *s, char **words)
{
  double *now_ms = g_new (double, 1);
  *now_ms = calls_now_ms ();
  g_hash_table_replace (s->marks, g_strdup (scenario_word (s, words)), now_ms);
}

/* TEXT with each "{K}" replaced by the key named K. NULL stays NULL.  */
static char *
with_keys (const scenario_t *s, const char *text)
{
  if (!text || !strchr (text, '{'))
    return (char *)text;
  GString *out = g_string_new (text);
  GHashTableIter iter;
  void *name;
  void *key;
  g_hash_table_iter_init (&iter, s->fleet->keys);
  while (g_hash_table_iter_next (&iter, &name, &key))
    {
      char *place = g_strdup_printf ("{%s}", (char *)name);
      g_string_replace (out, place, key, 0);
      g_free (place);
    }
  const char *kept = g_intern_string (out->str);
  g_string_free (out, TRUE);
  return (char *)kept;
}

/* call GROUP at=…: start requests, see test/live/README.md.  */
static void
start_calls (scenario_t *s, char **words)
{
  call_group_t *group = scenario_group (s, scenario_word (s, words));
  const char *key = fleet_option (words, "key", NULL);
  const char *path = fleet_option (words, "path", NULL);
  call_spec_t spec = {
    .old_address = fleet_flag (words, "old-address"),
    .method = (char *)fleet_option (words, "method", "POST"),
    .path = with_keys (s, path ? path : "/v1/chat/completions"),
    .key = key ? g_hash_table_lookup (s->fleet->keys, key) : NULL,
    .once = (char *)fleet_option (words, "once", NULL),
    .model = path ? NULL : (char *)fleet_option (words, "model", "notes"),
    .prompt = (char *)fleet_option (words, "prompt", "lamp %d"),
    .body = with_keys (s, fleet_option (words, "body", NULL)),
    .header = with_keys (s, fleet_option (words, "header", NULL)),
    .tokens = atoi (fleet_option (words, "tokens", "4")),
    .stream = fleet_flag (words, "stream"),
    .loop = fleet_flag (words, "loop"),
    .period_ms = scenario_ms (fleet_option (words, "every", "20")),
    .read_delay_ms = scenario_ms (fleet_option (words, "slow", "0")),
    .timeout_ms = scenario_ms (fleet_option (words, "timeout", "30s")),
  };
  if (spec.body && !path)
    spec.model = NULL;
  if (key && !spec.key)
    spec.key = (char *)key;
  int n = atoi (fleet_option (words, "n", "1"));
  GPtrArray *nodes
      = fleet_instances (s->fleet, fleet_option (words, "at", "entry-1"));
  for (int i = 0; i < n; i++)
    for (guint j = 0; j < nodes->len; j++)
      {
        spec.node = g_ptr_array_index (nodes, j);
        test_calls_start (group, &spec);
      }
  g_ptr_array_free (nodes, TRUE);
}

static void
stop_calls (scenario_t *s, char **words)
{
  call_group_t *group = scenario_group (s, scenario_word (s, words));
  calls_stop (group, fleet_flag (words, "cut"));
  if (!calls_join (group, scenario_ms (fleet_option (words, "within", "35s"))))
    scenario_fail (s, "calls of %s do not end", words[0]);
}

static void
join_calls (scenario_t *s, char **words)
{
  call_group_t *group = scenario_group (s, scenario_word (s, words));
  if (!calls_join (group, scenario_within (words)))
    scenario_fail (s, "calls of %s do not end in time", words[0]);
}

/* A connection to "IP:PORT", or -1.  */
static int
connect_to (const char *address)
{
  char **parts = g_strsplit (address, ":", 2);
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)atoi (parts[1])) };
  inet_pton (AF_INET, parts[0], &to.sin_addr);
  g_strfreev (parts);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

/* What arrives on FD until the other side closes it.  Fails if it is still
   open at END_MS.  */
static char *
read_to_end (const scenario_t *s, int fd, double end_ms)
{
  GString *answer = g_string_new (NULL);
  char buffer[4096];
  for (;;)
    {
      struct pollfd watch = { .fd = fd, .events = POLLIN };
      double left_ms = end_ms - calls_now_ms ();
      if (left_ms < 0 || poll (&watch, 1, (int)left_ms + 1) == 0)
        scenario_fail (s, "the connection is still open; it got %s",
                       answer->str);
      ssize_t size = read (fd, buffer, sizeof buffer);
      if (size <= 0)
        return g_string_free (answer, FALSE);
      g_string_append_len (answer, buffer, size);
    }
}

/* bytes NODE PORT TEXT [count=N] [repeat=N] [has=TEXT] [within=TIME]: send
   TEXT, with C escapes, REPEAT times on each of COUNT connections.  The
   instance must close each in time; if "has" is given, after an answer that
   contains its text.  */
static void
send_bytes (scenario_t *s, char **words)
{
  const fleet_node_t *node = fleet_node (s->fleet, scenario_word (s, words));
  const char *port = scenario_word (s, words + 1);
  char *text = g_strcompress (scenario_word (s, words + 2));
  char **options = words + 3;
  int repeat = atoi (fleet_option (options, "repeat", "1"));
  int n = atoi (fleet_option (options, "count", "1"));
  const char *wanted = fleet_option (options, "has", "");
  double end_ms = calls_now_ms () + scenario_within (options);
  int *fds = g_new (int, n);
  for (int i = 0; i < n; i++)
    {
      fds[i] = connect_to (strcmp (port, "peers") == 0       ? node->peers
                           : strcmp (port, "operators") == 0 ? node->operators
                                                             : node->address);
      if (fds[i] < 0)
        scenario_fail (s, "cannot connect to %s", node->name);
      /* A refusal may arrive before everything is sent.  */
      for (int j = 0; j < repeat; j++)
        if (send (fds[i], text, strlen (text), MSG_NOSIGNAL) < 0)
          break;
    }
  for (int i = 0; i < n; i++)
    {
      char *answer = read_to_end (s, fds[i], end_ms);
      if (!strstr (answer, wanted))
        scenario_fail (s, "the answer has no %s: %s", wanted, answer);
      g_free (answer);
      close (fds[i]);
    }
  g_free (fds);
  g_free (text);
}

typedef struct
{
  const char *name;
  scenario_verb_t verb;
} entry_t;

scenario_verb_t
scenario_fleet_verb (const char *name)
{
  static const entry_t verbs[] = { { "fleet", add_fleet },
                                   { "engine", add_engine },
                                   { "service", add_service },
                                   { "organisation", add_organisation },
                                   { "apply", apply },
                                   { "key", add_key },
                                   { "withdraw", withdraw },
                                   { "kill", kill_node },
                                   { "freeze", stop_node },
                                   { "wake", continue_node },
                                   { "interrupt", interrupt },
                                   { "term", terminate },
                                   { "start", start },
                                   { "exits", expect_exit },
                                   { "platform", switch_platform },
                                   { "switch", switch_node },
                                   { "sleep", pause_for },
                                   { "mark", mark },
                                   { "call", start_calls },
                                   { "stop", stop_calls },
                                   { "join", join_calls },
                                   { "bytes", send_bytes },
                                   { "file", write_text },
                                   { "reload", reload },
                                   { "settings", write_settings } };
  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i].name, name) == 0)
      return verbs[i].verb;
  return NULL;
}
