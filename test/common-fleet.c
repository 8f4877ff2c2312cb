#include "common-fleet.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define LOG_BYTES                                                             \
  30000 /* bytes of each log that are printed after a                         \
           failure */
#define OPERATE_MS 12000

static fleet_t *current; /* the fleet that fleet_fail prints and stops */
static GMutex address_lock;

static const char token[] = "an operator token of the test";

static char *
path_of (const fleet_t *fleet, const char *name)
{
  return g_build_filename (fleet->directory, name, NULL);
}

static void
write_file (const fleet_t *fleet, const char *name, const char *text)
{
  char *path = path_of (fleet, name);
  if (!g_file_set_contents_full (path, text, -1, G_FILE_SET_CONTENTS_NONE,
                                 0600, NULL))
    fleet_fail ("cannot write %s", path);
  g_free (path);
}

static void
node_free (void *data)
{
  fleet_node_t *node = data;
  g_free (node->name);
  g_strfreev (node->args);
  g_free (node->log);
  g_free (node);
}

static fleet_node_t *
add_node (fleet_t *fleet, const char *name, node_kind_t kind,
          const char *program, GPtrArray *args)
{
  fleet_node_t *node = g_new0 (fleet_node_t, 1);
  node->name = g_strdup (name);
  node->kind = kind;
  node->program = program;
  g_ptr_array_add (args, NULL);
  node->args = (char **)g_ptr_array_free (args, FALSE);
  char *log = g_strconcat (name, ".log", NULL);
  node->log = path_of (fleet, log);
  g_free (log);
  g_ptr_array_add (fleet->nodes, node);
  fleet_start (fleet, node);
  return node;
}

fleet_t *
fleet_new (void)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  current = fleet;
  fleet->directory = g_dir_make_tmp ("knapweedfork-live-XXXXXX", NULL);
  fleet->nodes = g_ptr_array_new_with_free_func (node_free);
  fleet->models = g_ptr_array_new_with_free_func (g_free);
  fleet->services = g_ptr_array_new_with_free_func (g_free);
  fleet->names = g_ptr_array_new_with_free_func (g_free);
  fleet->organisations = g_string_new (NULL);
  fleet->plans = g_string_new (NULL);
  fleet->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (!fleet->directory)
    fleet_fail ("cannot make a temporary directory");
  write_file (fleet, "token", token);
  write_file (fleet, "secret", "a fleet secret of the test, 32 bytes");
  write_file (fleet, "pepper", "a key pepper of the test, 32 bytes..");
  GPtrArray *args = g_ptr_array_new ();
  add_node (fleet, "platform", NODE_PLATFORM, "standin-platform", args);
  return fleet;
}

static void
kill_all (fleet_t *fleet)
{
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      fleet_node_t *node = g_ptr_array_index (fleet->nodes, i);
      process_kill (&node->process);
    }
}

static void
remove_directory (const fleet_t *fleet)
{
  GDir *directory = g_dir_open (fleet->directory, 0, NULL);
  const char *name;
  while (directory && (name = g_dir_read_name (directory)))
    {
      char *path = path_of (fleet, name);
      g_unlink (path);
      g_free (path);
    }
  if (directory)
    g_dir_close (directory);
  g_rmdir (fleet->directory);
}

void
fleet_free (fleet_t *fleet)
{
  kill_all (fleet);
  remove_directory (fleet);
  g_ptr_array_free (fleet->nodes, TRUE);
  g_ptr_array_free (fleet->models, TRUE);
  g_ptr_array_free (fleet->services, TRUE);
  g_ptr_array_free (fleet->names, TRUE);
  g_string_free (fleet->organisations, TRUE);
  g_string_free (fleet->plans, TRUE);
  g_hash_table_destroy (fleet->keys);
  g_free (fleet->directory);
  g_free (fleet);
  current = NULL;
}

static void
print_log (const fleet_node_t *node)
{
  char *text = NULL;
  gsize size = 0;
  if (!g_file_get_contents (node->log, &text, &size, NULL) || size == 0)
    {
      g_free (text);
      return;
    }
  const char *end = size > LOG_BYTES ? text + size - LOG_BYTES : text;
  printf ("--- %s\n%s", node->name, end);
  g_free (text);
}

void
fleet_fail (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  printf ("FAILED: ");
  vprintf (format, args);
  printf ("\n");
  va_end (args);
  if (current)
    {
      kill_all (current);
      for (guint i = 0; i < current->nodes->len; i++)
        print_log (g_ptr_array_index (current->nodes, i));
      remove_directory (current);
    }
  fflush (stdout);
  _Exit (1);
}

fleet_node_t *
fleet_node (fleet_t *fleet, const char *name)
{
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      fleet_node_t *node = g_ptr_array_index (fleet->nodes, i);
      if (strcmp (node->name, name) == 0)
        return node;
    }
  fleet_fail ("there is no node %s", name);
}

GPtrArray *
fleet_instances (fleet_t *fleet, const char *text)
{
  GPtrArray *nodes = g_ptr_array_new ();
  if (strcmp (text, "all") != 0)
    {
      char **names = g_strsplit (text, ",", 0);
      for (char **name = names; *name; name++)
        g_ptr_array_add (nodes, fleet_node (fleet, *name));
      g_strfreev (names);
      return nodes;
    }
  for (guint i = 0; i < fleet->nodes->len; i++)
    {
      fleet_node_t *node = g_ptr_array_index (fleet->nodes, i);
      if (node->kind == NODE_INSTANCE)
        g_ptr_array_add (nodes, node);
    }
  return nodes;
}

void
fleet_address (const fleet_node_t *node, char address[80])
{
  g_mutex_lock (&address_lock);
  g_strlcpy (address, node->address, 80);
  g_mutex_unlock (&address_lock);
}

/* Cut LINE before MARK and return what follows MARK; "" if MARK is
   missing.  */
static char *
cut_after (char *line, const char *mark)
{
  char *found = strstr (line, mark);
  if (!found)
    return line + strlen (line);
  *found = '\0';
  return found + strlen (mark);
}

void
fleet_start (fleet_t *fleet, fleet_node_t *node)
{
  (void)fleet;
  char line[160];
  if (!process_spawn_logged (&node->process, node->program,
                             (const char *const *)node->args, node->log)
      || !process_expect (&node->process, "listening on ", line, sizeof line))
    fleet_fail ("%s did not start", node->name);
  char *peers = cut_after (line, ", peers on ");
  char *operators = cut_after (line, ", operators on ");
  g_mutex_lock (&address_lock);
  g_strlcpy (node->address, line, sizeof node->address);
  g_strlcpy (node->operators, operators, sizeof node->operators);
  g_strlcpy (node->peers, peers, sizeof node->peers);
  g_mutex_unlock (&address_lock);
}

/* Append the section of a settings file: LINES, and the lines
   "section.field=value" of EXTRA that belong to it.  */
static void
add_section (GString *text, const char *section, const char *lines,
             char *const *extra)
{
  g_string_append_printf (text, "[%s]\n%s", section, lines);
  size_t length = strlen (section);
  for (; extra && *extra; extra++)
    if (strncmp (*extra, section, length) == 0 && (*extra)[length] == '.')
      g_string_append_printf (text, "%s\n", *extra + length + 1);
}

void
fleet_add_instance (fleet_t *fleet, const char *name, char *const *extra)
{
  const fleet_node_t *platform = fleet_node (fleet, "platform");
  GString *text = g_string_new (NULL);
  char *lines = g_strdup_printf ("id = \"%s\"\ndata_centre = \"dc-%c\"\n",
                                 name, name[strlen (name) - 1]);
  add_section (text, "instance", lines, extra);
  g_free (lines);
  add_section (text, "callers", "listen = \"127.0.0.1:0\"\n", extra);
  add_section (text, "operator",
               "listen = \"127.0.0.1:0\"\ntoken_file = \"token\"\n", extra);
  add_section (text, "peers",
               "listen = \"127.0.0.1:0\"\nsecret_file = \"secret\"\n", extra);
  lines = g_strdup_printf ("address = \"%s\"\n", platform->address);
  add_section (text, "platform", lines, extra);
  g_free (lines);
  add_section (text, "keys", "pepper_file = \"pepper\"\n", extra);
  add_section (text, "session", "", extra);
  add_section (text, "backend", "", extra);
  add_section (text, "log", "", extra);
  char *file = g_strconcat (name, ".toml", NULL);
  write_file (fleet, file, text->str);
  g_string_free (text, TRUE);
  GPtrArray *args = g_ptr_array_new ();
  g_ptr_array_add (args, g_strdup ("--config"));
  g_ptr_array_add (args, path_of (fleet, file));
  g_free (file);
  add_node (fleet, name, NODE_INSTANCE, "knapweedforkd", args);
}

static void
add_pair (GPtrArray *args, const char *option, const char *value)
{
  g_ptr_array_add (args, g_strconcat ("--", option, NULL));
  g_ptr_array_add (args, g_strdup (value));
}

static GPtrArray *
backend_args (fleet_t *fleet, const char *name)
{
  GPtrArray *args = g_ptr_array_new ();
  add_pair (args, "id", name);
  add_pair (args, "data-centre", "dc-1");
  add_pair (args, "platform", fleet_node (fleet, "platform")->address);
  return args;
}

static void
add_option (GPtrArray *args, const char *option)
{
  const char *equals = strchr (option, '=');
  char *name = g_strndup (option,
                          equals ? (gsize)(equals - option) : strlen (option));
  if (equals)
    add_pair (args, name, equals + 1);
  else
    g_ptr_array_add (args, g_strconcat ("--", name, NULL));
  g_free (name);
}

static void
add_name (GPtrArray *names, const char *name)
{
  if (!g_ptr_array_find_with_equal_func (names, name, g_str_equal, NULL))
    g_ptr_array_add (names, g_strdup (name));
}

void
fleet_add_engine (fleet_t *fleet, const char *name, char *const *options)
{
  GPtrArray *args = backend_args (fleet, name);
  add_pair (args, "memory-mb", "24000");
  for (; *options; options++)
    if (g_str_has_prefix (*options, "model="))
      {
        const char *model = *options + strlen ("model=");
        char *value = g_strconcat (model, ":1:8000", NULL);
        add_pair (args, "model", value);
        g_free (value);
        add_name (fleet->models, model);
      }
    else if (g_str_has_prefix (*options, "loadable="))
      {
        const char *model = *options + strlen ("loadable=");
        char *value = g_strconcat (model, ":8000", NULL);
        add_pair (args, "size", value);
        g_free (value);
        add_name (fleet->models, model);
      }
    else
      add_option (args, *options);
  add_node (fleet, name, NODE_ENGINE, "standin-engine", args);
}

void
fleet_add_service (fleet_t *fleet, const char *name, char *const *options)
{
  GPtrArray *args = backend_args (fleet, name);
  char *record_name = g_strconcat (name, ".runs", NULL);
  char *record = path_of (fleet, record_name);
  add_pair (args, "record", record);
  g_free (record);
  g_free (record_name);
  const char *service = fleet_option (options, "name", name);
  bool known = g_ptr_array_find_with_equal_func (fleet->names, service,
                                                 g_str_equal, NULL);
  if (!known)
    {
      g_ptr_array_add (fleet->names, g_strdup (service));
      g_ptr_array_add (
          fleet->services,
          g_strdup_printf (
              "[[service]]\nname = \"%s\"\nonce = %s\nopen = %s\n", service,
              fleet_flag (options, "once") ? "true" : "false",
              fleet_flag (options, "open") ? "true" : "false"));
    }
  for (; *options; options++)
    if (strcmp (*options, "once") != 0 && strcmp (*options, "open") != 0)
      add_option (args, *options);
  add_node (fleet, name, NODE_SERVICE, "standin-service", args);
}

static void
add_names (GString *text, const char *field, const GPtrArray *names)
{
  g_string_append_printf (text, "%s = [", field);
  for (guint i = 0; i < names->len; i++)
    g_string_append_printf (text, "%s\"%s\"", i ? ", " : "",
                            (const char *)g_ptr_array_index (names, i));
  g_string_append (text, "]\n");
}

void
fleet_add_organisation (fleet_t *fleet, const char *name, double rate,
                        double burst)
{
  g_string_append_printf (fleet->organisations,
                          "[[organisation]]\nname = \"%s\"\nplan = \"%s\"\n",
                          name, name);
  g_string_append_printf (fleet->plans,
                          "[[plan]]\nname = \"%s\"\nrate = %.0f\n"
                          "burst = %.0f\n",
                          name, rate, burst);
  add_names (fleet->plans, "models", fleet->models);
  add_names (fleet->plans, "services", fleet->names);
}

char *
fleet_lists_body (const fleet_t *fleet, json_int_t version)
{
  GString *uses = g_string_new (fleet->plans->str);
  for (guint i = 0; i < fleet->models->len; i++)
    g_string_append_printf (
        uses, "[[model]]\nname = \"%s\"\nversion = \"1\"\nmemory_mb = 8000\n",
        (const char *)g_ptr_array_index (fleet->models, i));
  for (guint i = 0; i < fleet->services->len; i++)
    g_string_append (uses, g_ptr_array_index (fleet->services, i));
  json_t *body
      = json_pack ("{s:s,s:s,s:I}", "plans", fleet->organisations->str, "uses",
                   uses->str, "version", version);
  g_string_free (uses, TRUE);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

http_answer_t
fleet_operate (const fleet_node_t *node, const char *method,
               const char *target, const char *body)
{
  char *authorization = g_strconcat ("Authorization: Bearer ", token, NULL);
  const char *headers[] = { authorization, NULL };
  http_answer_t answer
      = http_call (method, node->operators, target, headers, body, OPERATE_MS);
  g_free (authorization);
  return answer;
}

json_int_t
fleet_version (const fleet_node_t *node)
{
  http_answer_t answer = fleet_operate (node, "GET", "/lists", NULL);
  json_int_t version = -1;
  if (answer.status == 200)
    {
      json_t *root = json_loads (answer.body, 0, NULL);
      version = json_integer_value (json_object_get (root, "version"));
      json_decref (root);
    }
  http_free (&answer);
  return version;
}

bool
fleet_is_ready (const fleet_node_t *node)
{
  http_answer_t answer = fleet_operate (node, "GET", "/ready", NULL);
  bool ready = answer.status == 200;
  http_free (&answer);
  return ready;
}

void
fleet_add_key (fleet_t *fleet, const fleet_node_t *node, const char *name,
               const char *organisation)
{
  char *body = g_strdup_printf ("{\"organisation\":\"%s\"}", organisation);
  http_answer_t answer = fleet_operate (node, "POST", "/keys", body);
  json_t *root
      = answer.status == 200 ? json_loads (answer.body, 0, NULL) : NULL;
  const char *key = json_string_value (json_object_get (root, "key"));
  if (!key)
    fleet_fail ("no key for %s: status %d, %s", organisation, answer.status,
                answer.body);
  g_hash_table_replace (fleet->keys, g_strdup (name), g_strdup (key));
  json_decref (root);
  http_free (&answer);
  g_free (body);
}

int
fleet_withdraw_key (fleet_t *fleet, const fleet_node_t *node, const char *name)
{
  char *body = g_strdup_printf (
      "{\"key\":\"%s\"}", (char *)g_hash_table_lookup (fleet->keys, name));
  http_answer_t answer = fleet_operate (node, "POST", "/keys/withdraw", body);
  int status = answer.status;
  if (status != 200)
    printf ("withdraw %s: %d %s\n", name, status, answer.body);
  http_free (&answer);
  g_free (body);
  return status;
}

const char *
fleet_option (char *const *options, const char *name, const char *otherwise)
{
  size_t length = strlen (name);
  for (; *options; options++)
    if (strncmp (*options, name, length) == 0 && (*options)[length] == '=')
      return *options + length + 1;
  return otherwise;
}

bool
fleet_flag (char *const *options, const char *name)
{
  for (; *options; options++)
    if (strcmp (*options, name) == 0)
      return true;
  return false;
}
