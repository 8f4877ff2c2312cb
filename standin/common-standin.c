#include "common-standin.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include <knapweedfork/clock.h>

#define SEEN_LIMIT (32 << 20)

int64_t
standin_now_ns (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

void
standin_start (standin_t *standin, const char *listen,
               const server_handler_t *handler, void *data)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  server_options_t options = { .address = listen,
                               .max_body_bytes = 64 << 20,
                               .max_connections = 16384,
                               .max_pending_bytes = 16 << 20,
                               .idle_s = 600 };
  kwf_error_t error;
  standin->loop = ev_default_loop (0);
  standin->incarnation = (uint64_t)kwf_wall_ms (kwf_clock_system ());
  standin->server
      = server_start (standin->loop, &options, handler, data, &error);
  if (!standin->server)
    {
      fprintf (stderr, "%s %s: %s\n", error.step, error.peer, error.message);
      exit (1);
    }
  const char *colon = strrchr (listen, ':');
  snprintf (standin->address, sizeof standin->address, "%.*s:%d",
            (int)(colon - listen), listen, server_port (standin->server));
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&standin->terminate, on_signal, SIGTERM);
  ev_signal_init (&standin->interrupt, on_signal, SIGINT);
  ev_signal_start (standin->loop, &standin->terminate);
  ev_signal_start (standin->loop, &standin->interrupt);
}

static size_t
discard (const char *bytes, size_t size, size_t n, void *data)
{
  (void)bytes;
  (void)data;
  return size * n;
}

void
standin_register (const standin_t *standin, const char *platform,
                  const char *id, const char *kind, const char *name,
                  const char *data_centre)
{
  json_t *member
      = json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "id", id, "kind", kind,
                   "name", name, "address", standin->address, "data_centre",
                   data_centre, "state", "live");
  char *body = json_dumps (member, JSON_COMPACT);
  char *url = g_strdup_printf ("http://%s/members", platform);
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (curl, CURLOPT_FAILONERROR, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard);
  CURLcode code = curl_easy_perform (curl);
  curl_easy_cleanup (curl);
  if (code != CURLE_OK)
    {
      fprintf (stderr, "register %s: %s\n", platform,
               curl_easy_strerror (code));
      exit (1);
    }
  g_free (url);
  free (body);
  json_decref (member);
}

void
standin_run (standin_t *standin)
{
  printf ("listening on %s\n", standin->address);
  fflush (stdout);
  ev_run (standin->loop, 0);
  server_stop (standin->server);
}

void
standin_reply (server_t *server, kwf_handle_t request, int status,
               json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT | JSON_ENCODE_ANY);
  /* Tests check whether an instance passes on a header of a backend
     server.  */
  header_t header = { "X-Standin", "1" };
  server_reply (server, request, status, "application/json", &header, 1, text,
                text ? strlen (text) : 0);
  free (text);
  json_decref (json);
}

void
standin_error (server_t *server, kwf_handle_t request, int status,
               const char *code, const char *message)
{
  standin_reply (
      server, request, status,
      json_pack ("{s:{s:s, s:s, s:s}}", "error", "code", code, "message",
                 message, "type",
                 status < 500 ? "invalid_request_error" : "server_error"));
}

json_t *
standin_body (server_t *server, const server_request_t *request)
{
  json_t *json = json_loadb (request->body, request->body_size, 0, NULL);
  if (json_is_object (json))
    return json;
  json_decref (json);
  standin_error (server, request->handle, 400, "invalid_json",
                 "the body is not a JSON object");
  return NULL;
}

char *
standin_query (const server_request_t *request, const char *name)
{
  GHashTable *parameters = g_uri_parse_params (request->query, -1, "&",
                                               G_URI_PARAMS_WWW_FORM, NULL);
  if (!parameters)
    return NULL;
  char *value = g_strdup (g_hash_table_lookup (parameters, name));
  g_hash_table_destroy (parameters);
  return value;
}

int64_t
standin_query_number (const server_request_t *request, const char *name,
                      int64_t default_value)
{
  char *text = standin_query (request, name);
  int64_t value = text ? g_ascii_strtoll (text, NULL, 10) : default_value;
  g_free (text);
  return value;
}

bool
standin_matches (const server_request_t *request, const char *method,
                 const char *path)
{
  return strcmp (request->path, path) == 0
         && strcmp (request->method, method) == 0;
}

void
standin_set_bool (const json_t *object, const char *name, bool *value)
{
  const json_t *field = json_object_get (object, name);
  if (json_is_boolean (field))
    *value = json_is_true (field);
}

void
standin_set_double (const json_t *object, const char *name, double *value)
{
  const json_t *field = json_object_get (object, name);
  if (json_is_number (field))
    *value = json_number_value (field);
}

void
standin_set_int (const json_t *object, const char *name, int64_t *value)
{
  const json_t *field = json_object_get (object, name);
  if (json_is_integer (field))
    *value = json_integer_value (field);
}

void
standin_set_text (const json_t *object, const char *name, char **value)
{
  const json_t *field = json_object_get (object, name);
  if (!field)
    return;
  g_free (*value);
  *value = g_strdup (json_string_value (field));
}

/* Request line, headers and body of a request, as one text.  */
typedef struct
{
  size_t size;
  char bytes[];
} recorded_request_t;

static char *
append_text (char *at, const char *text, char separator)
{
  at = stpcpy (at, text);
  *at++ = separator;
  return at;
}

void
standin_record (standin_t *standin, const server_request_t *request)
{
  size_t size = strlen (request->method) + strlen (request->raw_path)
                + strlen (request->query) + 3 + request->body_size;
  for (size_t i = 0; i < request->n_headers; i++)
    size += strlen (request->headers[i].name)
            + strlen (request->headers[i].value) + 2;
  recorded_request_t *seen = g_malloc (sizeof *seen + size + 1);
  char *at = append_text (seen->bytes, request->method, ' ');
  at = append_text (at, request->raw_path, '?');
  at = append_text (at, request->query, '\n');
  for (size_t i = 0; i < request->n_headers; i++)
    {
      at = append_text (at, request->headers[i].name, ':');
      at = append_text (at, request->headers[i].value, '\n');
    }
  if (request->body_size)
    memcpy (at, request->body, request->body_size);
  seen->size = size;
  g_queue_push_tail (&standin->seen, seen);
  standin->seen_bytes += size;
  while (standin->seen_bytes > SEEN_LIMIT)
    {
      recorded_request_t *oldest = g_queue_pop_head (&standin->seen);
      standin->seen_bytes -= oldest->size;
      standin->seen_dropped += oldest->size;
      g_free (oldest);
    }
}

void
standin_serve_seen (standin_t *standin, const server_request_t *request)
{
  char *wanted = standin_query (request, "text");
  json_int_t count = 0;
  size_t size = wanted ? strlen (wanted) : 0;
  for (GList *link = standin->seen.head; size && link; link = link->next)
    {
      const recorded_request_t *seen = link->data;
      const char *at = seen->bytes;
      const char *end = seen->bytes + seen->size;
      while ((at = memmem (at, (size_t)(end - at), wanted, size)))
        {
          count++;
          at += size;
        }
    }
  g_free (wanted);
  standin_reply (standin->server, request->handle, 200,
                 json_pack ("{s:I, s:I}", "count", count, "dropped_bytes",
                            (json_int_t)standin->seen_dropped));
}

typedef struct
{
  ev_timer timer;
  void (*fn) (void *data);
  void *data;
} delayed_t;

static void
on_delayed (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  delayed_t *delayed = watcher->data;
  delayed->fn (delayed->data);
  g_free (delayed);
}

void
standin_after (struct ev_loop *loop, double delay_ms, void (*fn) (void *data),
               void *data)
{
  delayed_t *delayed = g_new0 (delayed_t, 1);
  delayed->fn = fn;
  delayed->data = data;
  ev_timer_init (&delayed->timer, on_delayed, delay_ms / 1e3, 0.);
  delayed->timer.data = delayed;
  ev_now_update (loop);
  ev_timer_start (loop, &delayed->timer);
}

typedef struct
{
  int64_t time_ns;
  json_t *value;
} history_entry_t;

/* Older values are dropped.  Lags are shorter.  */
#define HISTORY_NS (120 * KWF_NS_PER_S)

void
history_put (history_t *history, json_t *value)
{
  history_entry_t *past = g_new (history_entry_t, 1);
  *past = (history_entry_t){ .time_ns = standin_now_ns (), .value = value };
  g_queue_push_tail (&history->values, past);
  const GList *second;
  while ((second = g_queue_peek_nth_link (&history->values, 1))
         && ((history_entry_t *)second->data)->time_ns
                < past->time_ns - HISTORY_NS)
    {
      history_entry_t *oldest = g_queue_pop_head (&history->values);
      json_decref (oldest->value);
      g_free (oldest);
    }
}

json_t *
history_get (history_t *history, double lag_ms)
{
  int64_t wanted_ns
      = standin_now_ns () - (int64_t)(lag_ms * (double)KWF_NS_PER_MS);
  for (GList *link = history->values.tail; link; link = link->prev)
    {
      const history_entry_t *past = link->data;
      if (past->time_ns <= wanted_ns || !link->prev)
        return past->value;
    }
  return NULL;
}
