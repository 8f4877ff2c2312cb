/* Stand-in for the platform: transactional table, objects, membership list
   (docs/design.md section 10), with switches that cause faults.  */

#include "common-table.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "common-standin.h"

typedef struct
{
  int64_t reads;
  int64_t writes;
  int64_t bytes_in;
  int64_t bytes_out;
} counts_t;

typedef struct
{
  standin_t standin;
  table_t *table;
  GHashTable *objects;  /* name to GBytes */
  GHashTable *members;  /* id to json_t */
  history_t membership; /* the list of members, read with a lag */
  GArray *unanswered;   /* handles of requests that get no answer */
  GHashTable *refused;  /* set of instances that get no answers, switch
                           refuse_from */
  GHashTable *counts;   /* instance to counts_t */
  counts_t total;
  int64_t conflicts;
  int64_t answers_lost;
  int64_t calls_unanswered;
  bool outage;
  double delay_ms;
  double apply_delay_ms;
  double member_lag_ms;
  int64_t lose_answers;
} platform_t;

static platform_t platform;

static counts_t *
counts_of (const server_request_t *request)
{
  const char *instance = server_header (request, "X-Instance");
  if (!instance)
    instance = "";
  counts_t *counts = g_hash_table_lookup (platform.counts, instance);
  if (!counts)
    {
      counts = g_new0 (counts_t, 1);
      g_hash_table_insert (platform.counts, g_strdup (instance), counts);
    }
  return counts;
}

/* Bytes of the request line, headers and body.  */
static int64_t
request_size (const server_request_t *request)
{
  size_t size = strlen (request->method) + strlen (request->raw_path)
                + strlen (request->query) + strlen (" ? HTTP/1.1\r\n\r\n");
  for (size_t i = 0; i < request->n_headers; i++)
    size += strlen (request->headers[i].name) + strlen (": \r\n")
            + strlen (request->headers[i].value);
  return (int64_t)(size + request->body_size);
}

static void
count_call (const server_request_t *request, bool is_write)
{
  counts_t *counts = counts_of (request);
  int64_t size = request_size (request);
  counts->reads += !is_write;
  counts->writes += is_write;
  counts->bytes_in += size;
  platform.total.reads += !is_write;
  platform.total.writes += is_write;
  platform.total.bytes_in += size;
}

/* An answer that is sent after a delay, or a transaction that is applied after
   a delay.  */
typedef struct
{
  kwf_handle_t request;
  int status;
  char *body;
  size_t size;
  const char *content_type;
  json_t *transaction;
} delayed_answer_t;

static void
send_answer (void *data)
{
  delayed_answer_t *later = data;
  server_reply (platform.standin.server, later->request, later->status,
                later->content_type, NULL, 0, later->body, later->size);
  free (later->body);
  g_free (later);
}

/* Answer after the delay that the switch delay_ms sets.  BODY is released with
   free.  */
static void
answer (kwf_handle_t request, int status, const char *content_type, char *body,
        size_t size)
{
  const server_request_t *call
      = server_request (platform.standin.server, request);
  if (call)
    {
      counts_of (call)->bytes_out += (int64_t)size;
      platform.total.bytes_out += (int64_t)size;
    }
  delayed_answer_t *later = g_new0 (delayed_answer_t, 1);
  later->request = request;
  later->status = status;
  later->content_type = content_type;
  later->body = body;
  later->size = size;
  if (platform.delay_ms > 0)
    standin_after (platform.standin.loop, platform.delay_ms, send_answer,
                   later);
  else
    send_answer (later);
}

static void
answer_json (kwf_handle_t request, int status, json_t *json)
{
  char *body = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  answer (request, status, "application/json", body, strlen (body));
}

static void
answer_error (kwf_handle_t request, int status, const char *code)
{
  answer_json (request, status,
               json_pack ("{s:{s:s}}", "error", "code", code));
}

static void
leave_unanswered (kwf_handle_t request)
{
  g_array_append_val (platform.unanswered, request);
  platform.calls_unanswered++;
}

static void
transact (kwf_handle_t request, json_t *transaction)
{
  bool is_write = table_is_write (transaction);
  json_t *result = NULL;
  txn_outcome_t outcome
      = table_transact (platform.table, transaction, &result);
  json_decref (transaction);
  if (outcome == TXN_MALFORMED)
    {
      answer_error (request, 400, "invalid_transaction");
      return;
    }
  if (outcome == TXN_CONFLICT)
    platform.conflicts++;
  if (is_write && platform.lose_answers > 0)
    {
      platform.lose_answers--;
      platform.answers_lost++;
      leave_unanswered (request);
      json_decref (result);
      return;
    }
  answer_json (request, outcome == TXN_COMMITTED ? 200 : 409, result);
}

static void
transact_later (void *data)
{
  delayed_answer_t *later = data;
  transact (later->request, later->transaction);
  g_free (later);
}

static void
serve_transaction (const server_request_t *request)
{
  json_t *transaction
      = json_loadb (request->body, request->body_size, 0, NULL);
  if (!transaction)
    {
      answer_error (request->handle, 400, "invalid_transaction");
      return;
    }
  count_call (request, table_is_write (transaction));
  if (platform.apply_delay_ms <= 0)
    {
      transact (request->handle, transaction);
      return;
    }
  delayed_answer_t *later = g_new0 (delayed_answer_t, 1);
  later->request = request->handle;
  later->transaction = transaction;
  standin_after (platform.standin.loop, platform.apply_delay_ms,
                 transact_later, later);
}

static void
serve_row (const server_request_t *request)
{
  char *key = standin_query (request, "key");
  json_t *row = key ? table_get (platform.table, key) : NULL;
  if (row)
    answer_json (request->handle, 200, row);
  else
    answer_error (request->handle, 404, "not_found");
  g_free (key);
}

static void
serve_scan (const server_request_t *request)
{
  char *prefix = standin_query (request, "prefix");
  int64_t after = standin_query_number (request, "after", 0);
  json_t *rows = json_array ();
  table_read (platform.table, prefix ? prefix : "", after, rows);
  answer_json (request->handle, 200,
               json_pack ("{s:I, s:o}", "revision",
                          (json_int_t)table_revision (platform.table), "rows",
                          rows));
  g_free (prefix);
}

static void
serve_object (const server_request_t *request)
{
  const char *name = request->path + strlen ("/objects/");
  if (strcmp (request->method, "PUT") == 0)
    {
      g_hash_table_replace (platform.objects, g_strdup (name),
                            g_bytes_new (request->body, request->body_size));
      answer_json (request->handle, 200, json_object ());
      return;
    }
  GBytes *object = g_hash_table_lookup (platform.objects, name);
  if (!object)
    {
      answer_error (request->handle, 404, "not_found");
      return;
    }
  gsize size;
  const void *bytes = g_bytes_get_data (object, &size);
  char *copy = malloc (size + 1);
  if (size)
    memcpy (copy, bytes, size);
  answer (request->handle, 200, "application/octet-stream", copy, size);
}

static void
record_members (void)
{
  json_t *list = json_array ();
  GList *ids = g_list_sort (g_hash_table_get_keys (platform.members),
                            (GCompareFunc)strcmp);
  for (GList *link = ids; link; link = link->next)
    json_array_append (list,
                       g_hash_table_lookup (platform.members, link->data));
  g_list_free (ids);
  history_put (&platform.membership, list);
}

static void
serve_members (const server_request_t *request)
{
  json_t *list = history_get (&platform.membership, platform.member_lag_ms);
  answer_json (request->handle, 200, json_pack ("{s:O}", "members", list));
}

/* Add, change or, with "remove":true, remove one member.  Fields that the
   request does not name keep their values.  */
static void
change_member (const server_request_t *request)
{
  server_t *server = platform.standin.server;
  json_t *change = standin_body (server, request);
  if (!change)
    return;
  const char *id = json_string_value (json_object_get (change, "id"));
  if (!id)
    {
      standin_error (server, request->handle, 400, "invalid_member",
                     "id is missing");
      json_decref (change);
      return;
    }
  const json_t *old = g_hash_table_lookup (platform.members, id);
  if (json_is_true (json_object_get (change, "remove")))
    g_hash_table_remove (platform.members, id);
  else
    {
      json_t *member
          = old ? json_copy ((json_t *)old)
                : json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s}", "id", id,
                             "kind", "service", "name", "", "address", "",
                             "data_centre", "", "state", "live");
      json_object_update (member, change);
      g_hash_table_replace (platform.members, g_strdup (id), member);
    }
  record_members ();
  json_decref (change);
  standin_reply (server, request->handle, 200, json_object ());
}

/* When the outage or refuse_from ends, the connections of requests that got no
   answer are broken.  */
static void
break_unanswered (void)
{
  for (guint i = 0; i < platform.unanswered->len; i++)
    server_abort (platform.standin.server,
                  g_array_index (platform.unanswered, kwf_handle_t, i));
  g_array_set_size (platform.unanswered, 0);
}

static void
set_switches (const server_request_t *request)
{
  json_t *change = standin_body (platform.standin.server, request);
  if (!change)
    return;
  bool outage = platform.outage;
  standin_set_bool (change, "outage", &platform.outage);
  standin_set_double (change, "delay_ms", &platform.delay_ms);
  standin_set_double (change, "apply_delay_ms", &platform.apply_delay_ms);
  standin_set_double (change, "member_lag_ms", &platform.member_lag_ms);
  standin_set_int (change, "lose_answers", &platform.lose_answers);
  const json_t *refused = json_object_get (change, "refuse_from");
  if (json_is_array (refused))
    {
      g_hash_table_remove_all (platform.refused);
      for (size_t i = 0; i < json_array_size (refused); i++)
        {
          const char *instance
              = json_string_value (json_array_get (refused, i));
          if (instance)
            g_hash_table_add (platform.refused, g_strdup (instance));
        }
    }
  if ((outage && !platform.outage) || refused)
    break_unanswered ();
  json_decref (change);
  standin_reply (platform.standin.server, request->handle, 200,
                 json_object ());
}

static json_t *
counts_json (const counts_t *counts)
{
  return json_pack ("{s:I, s:I, s:I, s:I}", "reads", (json_int_t)counts->reads,
                    "writes", (json_int_t)counts->writes, "bytes_in",
                    (json_int_t)counts->bytes_in, "bytes_out",
                    (json_int_t)counts->bytes_out);
}

static void
serve_stats (const server_request_t *request)
{
  json_t *stats = counts_json (&platform.total);
  json_t *instances = json_object ();
  GHashTableIter walk;
  gpointer instance;
  gpointer counts;
  g_hash_table_iter_init (&walk, platform.counts);
  while (g_hash_table_iter_next (&walk, &instance, &counts))
    json_object_set_new (instances, instance, counts_json (counts));
  json_object_set_new (stats, "by_instance", instances);
  json_object_set_new (stats, "conflicts", json_integer (platform.conflicts));
  json_object_set_new (stats, "answers_lost",
                       json_integer (platform.answers_lost));
  json_object_set_new (stats, "calls_unanswered",
                       json_integer (platform.calls_unanswered));
  json_object_set_new (stats, "revision",
                       json_integer (table_revision (platform.table)));
  json_object_set_new (stats, "rows",
                       json_integer ((json_int_t)table_size (platform.table)));
  json_object_set_new (
      stats, "rows_examined",
      json_integer ((json_int_t)table_rows_examined (platform.table)));
  standin_reply (platform.standin.server, request->handle, 200, stats);
}

/* Whether the switches leave the request without an answer.  */
static bool
is_left_unanswered (const server_request_t *request)
{
  const char *instance = server_header (request, "X-Instance");
  return platform.outage
         || (instance && g_hash_table_contains (platform.refused, instance));
}

static bool
is_object (const server_request_t *request)
{
  return g_str_has_prefix (request->path, "/objects/")
         && (strcmp (request->method, "GET") == 0
             || strcmp (request->method, "PUT") == 0);
}

static void
serve_platform (const server_request_t *request)
{
  void (*serve) (const server_request_t *call) = NULL;
  if (standin_matches (request, "POST", "/table/txn"))
    serve = serve_transaction;
  else if (standin_matches (request, "GET", "/table/row"))
    serve = serve_row;
  else if (standin_matches (request, "GET", "/table/scan"))
    serve = serve_scan;
  else if (standin_matches (request, "GET", "/members"))
    serve = serve_members;
  else if (is_object (request))
    serve = serve_object;
  if (!serve)
    {
      standin_error (platform.standin.server, request->handle, 404,
                     "not_found", "no such resource");
      return;
    }
  if (is_left_unanswered (request))
    {
      leave_unanswered (request->handle);
      return;
    }
  if (serve != serve_transaction)
    count_call (request, strcmp (request->method, "PUT") == 0);
  serve (request);
}

/* Requests that control the stand-in itself are answered during an outage as
   well.  */
static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  (void)server;
  (void)data;
  if (standin_matches (request, "POST", "/switch"))
    set_switches (request);
  else if (standin_matches (request, "GET", "/stats"))
    serve_stats (request);
  else if (standin_matches (request, "POST", "/members"))
    change_member (request);
  else if (standin_matches (request, "GET", "/seen"))
    standin_serve_seen (&platform.standin, request);
  else
    {
      standin_record (&platform.standin, request);
      serve_platform (request);
    }
}

static void
on_gone (server_t *server, kwf_handle_t request, void *data)
{
  (void)server;
  (void)data;
  for (guint i = 0; i < platform.unanswered->len; i++)
    if (g_array_index (platform.unanswered, kwf_handle_t, i) == request)
      {
        g_array_remove_index_fast (platform.unanswered, i);
        return;
      }
}

static const char *address = "127.0.0.1:0";

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  (void)state;
  switch (key)
    {
    case 'l':
      address = value;
      return 0;
    case 'm':
      platform.member_lag_ms = g_ascii_strtod (value, NULL);
      return 0;
    case 'd':
      platform.delay_ms = g_ascii_strtod (value, NULL);
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
    { "member-lag-ms", 'm', "MS", 0, "lag of the membership list", 0 },
    { "delay-ms", 'd', "MS", 0, "delay of each answer", 0 },
    { 0 },
  };
  static const struct argp argp
      = { .options = options,
          .parser = parse_option,
          .doc = "Stand-in for the platform's table and object store." };
  static const server_handler_t handler
      = { .request = on_request, .gone = on_gone };
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  platform.table = table_new ();
  platform.objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_bytes_unref);
  platform.members = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)json_decref);
  platform.refused
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  platform.counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  platform.unanswered = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t));
  record_members ();
  standin_start (&platform.standin, address, &handler, NULL);
  standin_run (&platform.standin);
  return 0;
}
