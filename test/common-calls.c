#include "common-calls.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "../standin/common-tokens.h"

struct call_group
{
  char *name;
  GPtrArray *records; /* of call_record_t */
  GPtrArray *threads;
  gint running;
  gint number; /* of requests */
  gint stop;
  gint cut;
};

/* A thread and its current request.  */
typedef struct
{
  call_group_t *group;
  call_spec_t spec;
  char address[80];
  CURL *curl;
  call_record_t *record;
  GString *body;
  char *expected; /* expected text of a completion; NULL: not a completion */
} worker_t;

/* Protects all records.  */
static GMutex records_lock;

double
calls_now_ms (void)
{
  return (double)g_get_monotonic_time () / 1000;
}

call_group_t *
test_calls_new (const char *name)
{
  call_group_t *group = g_new0 (call_group_t, 1);
  group->name = g_strdup (name);
  group->records = g_ptr_array_new_with_free_func (g_free);
  group->threads = g_ptr_array_new ();
  return group;
}

/* Occurs in each piece of a completion that has tokens.  */
static const char token_field[] = "\"content\":";

static size_t
on_body (char *bytes, size_t size, size_t n, void *data)
{
  worker_t *worker = data;
  if (worker->spec.read_delay_ms)
    g_usleep ((gulong)worker->spec.read_delay_ms * 1000);
  /* libcurl calls no other function between the chunks that it has read.  */
  if (g_atomic_int_get (&worker->group->cut))
    return 0;
  g_mutex_lock (&records_lock);
  size_t before = worker->body->len;
  g_string_append_len (worker->body, bytes, (gssize)(size * n));
  worker->record->data_ms = calls_now_ms ();
  worker->record->begun = true;
  /* The field may be split between two pieces.  */
  size_t from = before - MIN (before, sizeof token_field - 1);
  if (strstr (worker->body->str + from, token_field))
    worker->record->token_ms = worker->record->data_ms;
  g_mutex_unlock (&records_lock);
  return size * n;
}

static size_t
on_header (char *bytes, size_t size, size_t n, void *data)
{
  worker_t *worker = data;
  call_record_t *record = worker->record;
  char *line = g_strndup (bytes, size * n);
  g_strstrip (line);
  g_mutex_lock (&records_lock);
  if (g_ascii_strncasecmp (line, "X-Request-Id:", 13) == 0)
    g_strlcpy (record->id, g_strchug (line + 13), sizeof record->id);
  g_strlcat (record->fields, line, sizeof record->fields);
  g_strlcat (record->fields, "\n", sizeof record->fields);
  g_mutex_unlock (&records_lock);
  g_free (line);
  return size * n;
}

static int
on_progress (void *data, curl_off_t down_total, curl_off_t down,
             curl_off_t up_total, curl_off_t up)
{
  (void)down_total;
  (void)down;
  (void)up_total;
  (void)up;
  worker_t *worker = data;
  return g_atomic_int_get (&worker->group->cut);
}

/* TEXT with each "%d" replaced; free with g_free.  */
static char *
insert_number (const char *text, int number)
{
  char digits[16];
  g_snprintf (digits, sizeof digits, "%d", number);
  char **parts = g_strsplit (text, "%d", 0);
  char *joined = g_strjoinv (digits, parts);
  g_strfreev (parts);
  return joined;
}

/* Make the body of a completion and set the text that its answer must
   have.  */
static char *
make_completion (worker_t *worker, int number)
{
  const call_spec_t *spec = &worker->spec;
  char *prompt = insert_number (spec->prompt, number);
  json_t *body
      = json_pack ("{s:s,s:b,s:i,s:[{s:s,s:s}]}", "model", spec->model,
                   "stream", spec->stream, "max_tokens", spec->tokens,
                   "messages", "role", "user", "content", prompt);
  GString *text = tokens_prompt (body, true);
  uint64_t seed = tokens_seed (spec->model, NULL, text->str);
  GString *expected = g_string_new (NULL);
  for (int i = 0; i < spec->tokens; i++)
    {
      char token[TOKEN_SIZE];
      g_string_append_len (expected, token,
                           (gssize)tokens_write (token, seed, i));
    }
  worker->expected = g_string_free (expected, FALSE);
  g_string_free (text, TRUE);
  g_free (prompt);
  char *sent = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return sent;
}

/* Copy the error of ROOT, if it has one, to RECORD.  The message is appended
   to the headers.  */
static void
read_error (call_record_t *record, const json_t *root)
{
  const json_t *error = json_object_get (root, "error");
  const char *code = json_string_value (json_object_get (error, "code"));
  const char *run = json_string_value (json_object_get (error, "run"));
  const char *message = json_string_value (json_object_get (error, "message"));
  if (message)
    g_strlcat (record->fields, message, sizeof record->fields);
  if (code)
    g_strlcpy (record->code, code, sizeof record->code);
  if (run)
    g_strlcpy (record->run, run, sizeof record->run);
}

static const char *
token_content (const json_t *root, const char *holder)
{
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  return json_string_value (
      json_object_get (json_object_get (choice, holder), "content"));
}

/* Return whether the stream ended with [DONE].  */
static bool
read_events (call_record_t *record, const char *body, GString *text)
{
  bool done = false;
  char **lines = g_strsplit (body, "\n", 0);
  for (char **line = lines; *line; line++)
    {
      if (!g_str_has_prefix (*line, "data: "))
        continue;
      done = strcmp (*line, "data: [DONE]") == 0;
      json_t *root = done ? NULL : json_loads (*line + 6, 0, NULL);
      const char *content = token_content (root, "delta");
      if (content)
        g_string_append (text, content);
      read_error (record, root);
      json_decref (root);
    }
  g_strfreev (lines);
  return done;
}

static void
check_answer (worker_t *worker)
{
  call_record_t *record = worker->record;
  const char *body = worker->body->str;
  GString *text = g_string_new (NULL);
  bool done = true;
  if (worker->spec.stream && record->status == 200)
    done = read_events (record, body, text);
  else
    {
      json_t *root = json_loads (body, 0, NULL);
      const char *content = token_content (root, "message");
      if (content)
        g_string_append (text, content);
      read_error (record, root);
      json_decref (root);
    }
  record->whole
      = record->complete && record->status == 200 && done && !*record->code;
  if (worker->expected && record->status == 200)
    {
      record->wrong = !g_str_has_prefix (worker->expected, text->str)
                      || (done && !*record->code
                          && strcmp (worker->expected, text->str) != 0);
      record->whole &= strcmp (worker->expected, text->str) == 0;
    }
  g_string_free (text, TRUE);
}

static struct curl_slist *
make_headers (const worker_t *worker)
{
  const call_spec_t *spec = &worker->spec;
  struct curl_slist *list = curl_slist_append (NULL, "Expect:");
  if (spec->key)
    {
      char *line = g_strconcat ("Authorization: Bearer ", spec->key, NULL);
      list = curl_slist_append (list, line);
      g_free (line);
    }
  if (*worker->record->idempotency_key)
    {
      char *line = g_strconcat (
          "Idempotency-Key: ", worker->record->idempotency_key, NULL);
      list = curl_slist_append (list, line);
      g_free (line);
    }
  if (spec->header)
    list = curl_slist_append (list, spec->header);
  return list;
}

static void
perform_request (worker_t *worker, const char *path, const char *body)
{
  const call_spec_t *spec = &worker->spec;
  CURL *curl = worker->curl;
  char *url = g_strconcat ("http://", worker->address, path, NULL);
  struct curl_slist *headers = make_headers (worker);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, spec->method);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, spec->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, worker);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, worker);
  curl_easy_setopt (curl, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (curl, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt (curl, CURLOPT_XFERINFODATA, worker);
  if (body)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
    }
  CURLcode code = curl_easy_perform (curl);
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  g_free (url);
  g_mutex_lock (&records_lock);
  call_record_t *record = worker->record;
  record->complete = code == CURLE_OK;
  record->status = (int)status;
  g_strlcpy (record->sample,
             code == CURLE_OK || worker->body->len ? worker->body->str
                                                   : curl_easy_strerror (code),
             sizeof record->sample);
  check_answer (worker);
  record->ended_ms = calls_now_ms ();
  g_mutex_unlock (&records_lock);
}

static void
send_request (worker_t *worker)
{
  call_group_t *group = worker->group;
  const call_spec_t *spec = &worker->spec;
  int number = g_atomic_int_add (&group->number, 1);
  if (!spec->old_address)
    fleet_address (spec->node, worker->address);
  call_record_t *record = g_new0 (call_record_t, 1);
  worker->record = record;
  worker->body = g_string_new (NULL);
  g_strlcpy (record->at, spec->node->name, sizeof record->at);
  if (spec->once)
    {
      char *idempotency_key = insert_number (spec->once, number);
      g_strlcpy (record->idempotency_key, idempotency_key,
                 sizeof record->idempotency_key);
      g_free (idempotency_key);
    }
  char *body = spec->model ? make_completion (worker, number) : NULL;
  record->sent_ms = calls_now_ms ();
  g_mutex_lock (&records_lock);
  g_ptr_array_add (group->records, record);
  g_mutex_unlock (&records_lock);
  char *path = insert_number (spec->path, number);
  perform_request (worker, path, spec->model ? body : spec->body);
  g_free (path);
  free (body);
  g_string_free (worker->body, TRUE);
  g_free (worker->expected);
  worker->expected = NULL;
}

static void
wait_for_period (const worker_t *worker, double begin_ms)
{
  while (!g_atomic_int_get (&worker->group->stop)
         && calls_now_ms () < begin_ms + worker->spec.period_ms)
    g_usleep (1000);
}

static void *
run_worker (void *data)
{
  worker_t *worker = data;
  call_group_t *group = worker->group;
  do
    {
      double begin_ms = calls_now_ms ();
      send_request (worker);
      if (worker->spec.loop)
        wait_for_period (worker, begin_ms);
    }
  while (worker->spec.loop && !g_atomic_int_get (&group->stop));
  curl_easy_cleanup (worker->curl);
  call_spec_t *spec = &worker->spec;
  char *owned[] = { spec->method, spec->path,   spec->key,  spec->once,
                    spec->model,  spec->prompt, spec->body, spec->header };
  for (size_t i = 0; i < G_N_ELEMENTS (owned); i++)
    g_free (owned[i]);
  g_free (worker);
  g_atomic_int_add (&group->running, -1);
  return NULL;
}

void
test_calls_start (call_group_t *group, const call_spec_t *spec)
{
  worker_t *worker = g_new0 (worker_t, 1);
  worker->group = group;
  worker->spec = *spec;
  call_spec_t *copy = &worker->spec;
  char **owned[]
      = { &copy->method, &copy->path,   &copy->key,  &copy->once,
          &copy->model,  &copy->prompt, &copy->body, &copy->header };
  for (size_t i = 0; i < G_N_ELEMENTS (owned); i++)
    *owned[i] = g_strdup (*owned[i]);
  worker->curl = curl_easy_init ();
  fleet_address (spec->node, worker->address);
  g_atomic_int_inc (&group->running);
  g_ptr_array_add (group->threads,
                   g_thread_new (group->name, run_worker, worker));
}

void
calls_stop (call_group_t *group, bool cut)
{
  g_atomic_int_set (&group->stop, 1);
  if (cut)
    g_atomic_int_set (&group->cut, 1);
}

bool
calls_join (call_group_t *group, int timeout_ms)
{
  double end_ms = calls_now_ms () + timeout_ms;
  while (g_atomic_int_get (&group->running) > 0)
    {
      if (calls_now_ms () > end_ms)
        return false;
      g_usleep (1000);
    }
  for (guint i = 0; i < group->threads->len; i++)
    g_thread_join (g_ptr_array_index (group->threads, i));
  g_ptr_array_set_size (group->threads, 0);
  return true;
}

static void
show_record (const call_record_t *record)
{
  printf ("  %s sent %.0f data %.0f ended %.0f status %d %s run %s once %s id "
          "%s%s%s%s: %s\n",
          record->at, record->sent_ms, record->data_ms, record->ended_ms,
          record->status, record->code, record->run, record->idempotency_key,
          record->id, record->complete ? "" : " incomplete",
          record->whole ? " whole" : "", record->wrong ? " wrong" : "",
          record->sample);
}

int
calls_count (call_group_t *group,
             bool (*pick) (const call_record_t *record, void *data),
             void *data, int show)
{
  int count = 0;
  g_mutex_lock (&records_lock);
  for (guint i = 0; i < group->records->len; i++)
    {
      const call_record_t *record = g_ptr_array_index (group->records, i);
      if (!pick (record, data))
        continue;
      if (count++ < show)
        show_record (record);
    }
  g_mutex_unlock (&records_lock);
  return count;
}
