/* Stand-in for a plain service: it records each request to any path as a run
   (docs/design.md section 10).  */

#include "common-standin.h"

#include <argp.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Exit status after the switches die_before_run and die_after_run.  */
#define DEATH_STATUS 71

typedef struct
{
  char *method;
  char *path;
  char *idempotency_key;
  char *request_id;
} run_t;

static struct
{
  standin_t standin;
  GPtrArray *runs;        /* of run_t; run number is index + 1 */
  GHashTable *key_counts; /* idempotency key to number of runs */
  FILE *record;           /* runs, one line of JSON each */
  int64_t running;
  bool leaving;
  double delay_ms;
  bool die_before_run;
  bool die_after_run;
  bool close_after_run;
} service;

static json_t *
recorded_run_json (size_t i)
{
  const run_t *run = g_ptr_array_index (service.runs, i);
  return json_pack ("{s:I, s:s, s:s, s:s?, s:s?}", "run", (json_int_t)i + 1,
                    "method", run->method, "path", run->path,
                    "idempotency_key", run->idempotency_key, "request_id",
                    run->request_id);
}

static void
add_run (const char *method, const char *path, const char *key,
         const char *request_id)
{
  run_t *run = g_new0 (run_t, 1);
  run->method = g_strdup (method);
  run->path = g_strdup (path);
  run->idempotency_key = g_strdup (key);
  run->request_id = g_strdup (request_id);
  g_ptr_array_add (service.runs, run);
  if (!key)
    return;
  int *count = g_hash_table_lookup (service.key_counts, key);
  if (!count)
    {
      count = g_new0 (int, 1);
      g_hash_table_insert (service.key_counts, g_strdup (key), count);
    }
  ++*count;
}

/* Record a run, in the file as well, because the process may exit after
   it.  */
static void
record_run (const server_request_t *request)
{
  add_run (request->method, request->path,
           server_header (request, "Idempotency-Key"),
           server_header (request, "X-Request-Id"));
  if (!service.record)
    return;
  json_t *json = recorded_run_json (service.runs->len - 1);
  json_dumpf (json, service.record, JSON_COMPACT);
  json_decref (json);
  fputc ('\n', service.record);
  fflush (service.record);
}

static void
read_record (const char *path)
{
  FILE *file = fopen (path, "r");
  char line[8192];
  while (file && fgets (line, sizeof line, file))
    {
      json_t *run = json_loads (line, 0, NULL);
      if (run)
        add_run (json_string_value (json_object_get (run, "method")),
                 json_string_value (json_object_get (run, "path")),
                 json_string_value (json_object_get (run, "idempotency_key")),
                 json_string_value (json_object_get (run, "request_id")));
      json_decref (run);
    }
  if (file)
    fclose (file);
  service.record = fopen (path, "a");
}

static void
serve_runs (const server_request_t *request)
{
  json_t *runs = json_array ();
  for (guint i = 0; i < service.runs->len; i++)
    json_array_append_new (runs, recorded_run_json (i));
  json_t *doubles = json_array ();
  GHashTableIter walk;
  gpointer key;
  gpointer count;
  g_hash_table_iter_init (&walk, service.key_counts);
  while (g_hash_table_iter_next (&walk, &key, &count))
    if (*(int *)count > 1)
      json_array_append_new (doubles,
                             json_pack ("{s:s, s:i}", "idempotency_key", key,
                                        "count", *(int *)count));
  standin_reply (service.standin.server, request->handle, 200,
                 json_pack ("{s:i, s:o, s:o}", "total", (int)service.runs->len,
                            "runs", runs, "doubles", doubles));
}

typedef struct
{
  kwf_handle_t request;
  size_t run;
} answer_t;

static void
send_answer (void *data)
{
  answer_t *answer = data;
  service.running--;
  if (service.close_after_run)
    server_abort (service.standin.server, answer->request);
  else
    standin_reply (service.standin.server, answer->request, 200,
                   recorded_run_json (answer->run));
  g_free (answer);
}

static void
serve_run (const server_request_t *request)
{
  if (service.die_before_run)
    _exit (DEATH_STATUS);
  record_run (request);
  if (service.die_after_run)
    _exit (DEATH_STATUS);
  answer_t *answer = g_new0 (answer_t, 1);
  answer->request = request->handle;
  answer->run = service.runs->len - 1;
  service.running++;
  if (service.delay_ms > 0)
    standin_after (service.standin.loop, service.delay_ms, send_answer,
                   answer);
  else
    send_answer (answer);
}

static void
set_switches (const server_request_t *request)
{
  json_t *change = standin_body (service.standin.server, request);
  if (!change)
    return;
  standin_set_double (change, "delay_ms", &service.delay_ms);
  standin_set_bool (change, "die_before_run", &service.die_before_run);
  standin_set_bool (change, "die_after_run", &service.die_after_run);
  standin_set_bool (change, "close_after_run", &service.close_after_run);
  standin_set_bool (change, "leaving", &service.leaving);
  json_decref (change);
  standin_reply (service.standin.server, request->handle, 200, json_object ());
}

static void
serve_status (const server_request_t *request)
{
  standin_reply (service.standin.server, request->handle, 200,
                 json_pack ("{s:I, s:b, s:I}", "incarnation",
                            (json_int_t)service.standin.incarnation, "leaving",
                            service.leaving, "running",
                            (json_int_t)service.running));
}

static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  (void)server;
  (void)data;
  if (standin_matches (request, "POST", "/switch"))
    set_switches (request);
  else if (standin_matches (request, "GET", "/seen"))
    standin_serve_seen (&service.standin, request);
  else if (standin_matches (request, "GET", "/runs"))
    serve_runs (request);
  else
    {
      standin_record (&service.standin, request);
      if (standin_matches (request, "GET", "/status"))
        serve_status (request);
      else
        serve_run (request);
    }
}

static const char *address = "127.0.0.1:0";
static const char *id = "service";
static const char *name = "service";
static const char *data_centre = "dc1";
static const char *platform;

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'l':
      address = value;
      return 0;
    case 'i':
      id = value;
      return 0;
    case 'n':
      name = value;
      return 0;
    case 'c':
      data_centre = value;
      return 0;
    case 'p':
      platform = value;
      return 0;
    case 'd':
      service.delay_ms = g_ascii_strtod (value, NULL);
      return 0;
    case 'r':
      read_record (value);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[] = {
    { "listen", 'l', "IP:PORT", 0, "address to listen on", 0 },
    { "id", 'i', "ID", 0, "member id", 0 },
    { "name", 'n', "NAME", 0, "name of the service", 0 },
    { "data-centre", 'c', "NAME", 0, "data centre", 0 },
    { "platform", 'p', "IP:PORT", 0, "register here as a member", 0 },
    { "delay-ms", 'd', "MS", 0, "time of a run", 0 },
    { "record", 'r', "FILE", 0, "keep the runs here over restarts", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .doc = "Stand-in for a plain service." };
  static const server_handler_t handler = { .request = on_request };
  service.runs = g_ptr_array_new ();
  service.key_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  standin_start (&service.standin, address, &handler, NULL);
  if (platform)
    standin_register (&service.standin, platform, id, "service", name,
                      data_centre);
  standin_run (&service.standin);
  return 0;
}
