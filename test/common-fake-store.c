#include "common-fake-store.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include <knapweedfork/clock.h>

#include "common-listener.h"

/* Interval at which waiting polls are checked for their time limit.  */
#define POLL_CHECK_S 0.02

typedef struct
{
  char *table;
  char *key;
  char *value; /* base64 */
  int64_t version;
  json_t *odd; /* fields that its JSON has instead; NULL: none */
} row_t;

/* A request that is not answered yet: a poll that waits for a change until
   UNTIL_NS, or a read of all rows, which is answered at once (UNTIL_NS is
   0).  */
typedef struct
{
  connection_t *connection;
  char *table;
  int64_t after;
  int64_t until_ns;
  listener_t *listener;
} open_request_t;

struct fake_store
{
  struct ev_loop *loop;
  listener_t *listener;
  listener_t *far;       /* the second address */
  bool cut;              /* nothing is answered there */
  GPtrArray *rows;       /* of row_t */
  GArray *open_requests; /* of open_request_t */
  int64_t version;
  int era;         /* 0: its answers name none */
  GPtrArray *copy; /* of row_t; NULL: there is no copy */
  int64_t copy_version;
  bool silent;
  int status; /* as in fake_store_set_status */
  ev_timer poll_timer;
};

static int64_t
now_ns (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

static void
row_free (void *data)
{
  row_t *row = data;
  g_free (row->table);
  g_free (row->key);
  g_free (row->value);
  json_decref (row->odd);
  g_free (row);
}

static row_t *
find (const fake_store_t *store, const char *table, const char *key)
{
  for (guint i = 0; i < store->rows->len; i++)
    {
      row_t *row = store->rows->pdata[i];
      if (strcmp (row->table, table) == 0 && strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

/* Stores VALUE, which is in base64, with the present version of the store,
   which the caller has raised before.  */
static void
set_row (fake_store_t *store, const char *table, const char *key,
         const char *value)
{
  row_t *row = find (store, table, key);
  if (!row)
    {
      row = g_new0 (row_t, 1);
      row->table = g_strdup (table);
      row->key = g_strdup (key);
      g_ptr_array_add (store->rows, row);
    }
  g_free (row->value);
  row->value = g_strdup (value);
  row->version = store->version;
  json_decref (row->odd);
  row->odd = NULL;
}

static json_t *
row_json (const row_t *row)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:s,s:I}", "table", row->table,
                            "part", "", "key", row->key, "value", row->value,
                            "ver", (json_int_t)row->version);
  json_object_update (json, row->odd);
  return json;
}

static void
reply (const fake_store_t *store, connection_t *connection, int status,
       json_t *list)
{
  json_t *body = json_pack (
      "{s:o,s:I,s:I,s:b}", "rows", list, "ver", (json_int_t)store->version,
      "now_ms", (json_int_t)(now_ns () / KWF_NS_PER_MS), "truncated", 0);
  char *text = json_dumps (body, JSON_COMPACT);
  char era[32] = "";
  if (store->era)
    g_snprintf (era, sizeof era, "Store-Era: %d\r\n", store->era);
  connection_print (connection,
                    "HTTP/1.1 %03d X\r\nContent-Type: application/json\r\n"
                    "%sContent-Length: %zu\r\n\r\n%s",
                    store->status ? MAX (store->status, 0) : status, era,
                    strlen (text), text);
  free (text);
  json_decref (body);
}

/* Rows of TABLE that changed after a version, in the order of their changes; a
   read of all rows (AFTER 0) has no removed ones.  */
static json_t *
rows_after (const fake_store_t *store, const char *table, int64_t after)
{
  json_t *list = json_array ();
  for (int64_t version = after + 1; version <= store->version; version++)
    for (guint i = 0; i < store->rows->len; i++)
      {
        const row_t *row = store->rows->pdata[i];
        if (row->version == version && strcmp (row->table, table) == 0
            && (after || !json_object_get (row->odd, "removed")))
          json_array_append_new (list, row_json (row));
      }
  return list;
}

/* Answers the requests that have rows, or whose time is over.  */
static void
answer_open_requests (fake_store_t *store)
{
  if (store->silent)
    return;
  for (guint i = store->open_requests->len; i-- > 0;)
    {
      open_request_t open_request
          = g_array_index (store->open_requests, open_request_t, i);
      bool is_far = open_request.listener == store->far;
      if (is_far && store->cut)
        continue;
      bool gone = open_request.after > store->version;
      json_t *list
          = rows_after (store, open_request.table, open_request.after);
      if (!gone && !json_array_size (list)
          && now_ns () < open_request.until_ns)
        {
          json_decref (list);
          continue;
        }
      g_array_remove_index (store->open_requests, i);
      if (g_ptr_array_find (open_request.listener->open,
                            open_request.connection, NULL))
        reply (store, open_request.connection, gone ? 410 : 200, list);
      else
        json_decref (list);
      g_free (open_request.table);
    }
}

static bool
is_condition_met (const fake_store_t *store, const json_t *condition)
{
  const row_t *row
      = find (store, json_string_value (json_object_get (condition, "table")),
              json_string_value (json_object_get (condition, "key")));
  int64_t wanted = json_integer_value (json_object_get (condition, "ver"));
  return wanted == (row ? row->version : 0);
}

static void
run_transaction (fake_store_t *store, connection_t *connection,
                 const char *request)
{
  const char *body = strstr (request, "\r\n\r\n");
  json_t *root = body ? json_loads (body + 4, 0, NULL) : NULL;
  json_t *conflicts = json_array ();
  bool good = true;
  size_t i;
  json_t *item;
  json_array_foreach (json_object_get (root, "expected"), i, item)
  {
    const row_t *row
        = find (store, json_string_value (json_object_get (item, "table")),
                json_string_value (json_object_get (item, "key")));
    good &= is_condition_met (store, item);
    if (row)
      json_array_append_new (conflicts, row_json (row));
  }
  store->version += good;
  json_array_foreach (json_object_get (root, "put"), i, item)
  {
    if (good)
      set_row (store, json_string_value (json_object_get (item, "table")),
               json_string_value (json_object_get (item, "key")),
               json_string_value (json_object_get (item, "value")));
  }
  reply (store, connection, good ? 200 : 412, conflicts);
  json_decref (root);
  if (good)
    answer_open_requests (store);
}

/* Value of NAME in the query of REQUEST, "0" if there is none; free with
   g_free.  */
static char *
query_value (const char *request, const char *name)
{
  const char *at = strstr (request, name);
  return at ? g_strndup (at + strlen (name),
                         strcspn (at + strlen (name), "& "))
            : g_strdup ("0");
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  fake_store_t *store = data;
  if (store->silent || (store->cut && connection->listener == store->far))
    return;
  if (g_str_has_prefix (request, "POST /-/rows-tx"))
    {
      run_transaction (store, connection, request);
      return;
    }
  char *table = query_value (request, "table=");
  char *after_text = query_value (request, "after=");
  char *wait = query_value (request, "wait_ms=");
  bool is_full_read = g_str_has_prefix (request, "GET /-/rows-get");
  int64_t after = is_full_read ? 0 : g_ascii_strtoll (after_text, NULL, 10);
  open_request_t open_request
      = { connection, g_strdup (table), after,
          now_ns () + g_ascii_strtoll (wait, NULL, 10) * KWF_NS_PER_MS,
          connection->listener };
  if (is_full_read)
    open_request.until_ns = 0;
  g_array_append_val (store->open_requests, open_request);
  answer_open_requests (store);
  g_free (table);
  g_free (after_text);
  g_free (wait);
}

static void
on_poll_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  answer_open_requests (timer->data);
}

fake_store_t *
fake_store_start (struct ev_loop *loop)
{
  fake_store_t *store = g_new0 (fake_store_t, 1);
  store->loop = loop;
  store->rows = g_ptr_array_new_with_free_func (row_free);
  store->open_requests = g_array_new (FALSE, FALSE, sizeof (open_request_t));
  store->listener = listener_start (loop, serve, store);
  store->far = listener_start (loop, serve, store);
  ev_timer_init (&store->poll_timer, on_poll_timer, POLL_CHECK_S,
                 POLL_CHECK_S);
  store->poll_timer.data = store;
  ev_timer_start (loop, &store->poll_timer);
  return store;
}

void
fake_store_stop (fake_store_t *store)
{
  ev_timer_stop (store->loop, &store->poll_timer);
  listener_stop (store->listener);
  listener_stop (store->far);
  for (guint i = 0; i < store->open_requests->len; i++)
    g_free (g_array_index (store->open_requests, open_request_t, i).table);
  g_array_free (store->open_requests, TRUE);
  g_clear_pointer (&store->copy, g_ptr_array_unref);
  g_ptr_array_free (store->rows, TRUE);
  g_free (store);
}

const char *
fake_store_address (const fake_store_t *store)
{
  return store->listener->address;
}

const char *
fake_store_far_address (const fake_store_t *store)
{
  return store->far->address;
}

void
fake_store_set_cut (fake_store_t *store, bool cut)
{
  store->cut = cut;
}

void
fake_store_put_bytes (fake_store_t *store, const char *table, const char *key,
                      const void *value, size_t size)
{
  char *encoded = g_base64_encode (value, size);
  store->version++;
  set_row (store, table, key, encoded);
  g_free (encoded);
  answer_open_requests (store);
}

void
fake_store_put (fake_store_t *store, const char *table, const char *key,
                const char *value)
{
  fake_store_put_bytes (store, table, key, value, strlen (value));
}

void
fake_store_remove (fake_store_t *store, const char *table, const char *key)
{
  fake_store_put_odd (store, table, key, "{\"removed\":true}");
}

void
fake_store_put_odd (fake_store_t *store, const char *table, const char *key,
                    const char *fields)
{
  store->version++;
  set_row (store, table, key, "");
  find (store, table, key)->odd = json_loads (fields, 0, NULL);
  answer_open_requests (store);
}

static row_t *
row_copy (const row_t *row)
{
  row_t *copy = g_new0 (row_t, 1);
  *copy = (row_t){ .table = g_strdup (row->table),
                   .key = g_strdup (row->key),
                   .value = g_strdup (row->value),
                   .version = row->version,
                   .odd = json_incref (row->odd) };
  return copy;
}

static GPtrArray *
rows_copy (const GPtrArray *rows)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (row_free);
  for (guint i = 0; i < rows->len; i++)
    g_ptr_array_add (copy, row_copy (rows->pdata[i]));
  return copy;
}

void
fake_store_copy (fake_store_t *store)
{
  g_clear_pointer (&store->copy, g_ptr_array_unref);
  store->copy = rows_copy (store->rows);
  store->copy_version = store->version;
}

void
fake_store_restore (fake_store_t *store)
{
  g_ptr_array_unref (store->rows);
  store->rows = rows_copy (store->copy);
  store->version = store->copy_version;
  store->era++;
  answer_open_requests (store);
}

void
fake_store_set_era (fake_store_t *store, int era)
{
  store->era = era;
}

void
fake_store_set_status (fake_store_t *store, int status)
{
  store->status = status;
}

void
fake_store_set_silent (fake_store_t *store, bool silent)
{
  store->silent = silent;
}
