/* Attempts on backend servers: sends the request of a completion or a plain
   service and passes the answer on.  For routed requests see relay.c.  */

#include "answer.h"
#include "instance-internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
transfer_free (void *data)
{
  transfer_t *transfer = data;
  completion_stream_clear (&transfer->completion_stream);
  routed_stream_clear (&transfer->routed_stream);
  if (transfer->body)
    g_string_free (transfer->body, TRUE);
  g_free (transfer->content_type);
  if (transfer->headers)
    g_ptr_array_free (transfer->headers, TRUE);
  g_free (transfer);
}

static void
report_event (transfer_t *transfer, kwf_event_type_t type,
              kwf_attempt_event_t event)
{
  event.attempt = transfer->attempt;
  event.request = transfer->request;
  event.tokens = transfer->completion_stream.tokens;
  instance_step (transfer->instance,
                 &(kwf_event_t){ .type = type, .attempt = event });
}

static bool
is_event_stream (int status, const char *content_type)
{
  return status == 200 && answer_type_is_events (content_type);
}

static void
keep_head (transfer_t *transfer, int status, const char *content_type)
{
  transfer->status = status;
  if (!transfer->content_type)
    transfer->content_type = g_strdup (content_type);
}

static void
on_head (void *data, kwf_handle_t handle, const client_answer_t *answer)
{
  (void)handle;
  keep_head (data, answer->status, answer->content_type);
}

/* An event stream without [DONE] was cut short, whatever marked its end.  */
static bool
may_end (void *data, bool delimited)
{
  (void)delimited;
  const transfer_t *transfer = data;
  return !is_event_stream (transfer->status, transfer->content_type)
         || transfer->completion_stream.done;
}

static void
on_data (void *data, kwf_handle_t handle, int status, const char *content_type,
         const char *bytes, size_t size)
{
  (void)handle;
  transfer_t *transfer = data;
  keep_head (transfer, status, content_type);
  if (!is_event_stream (status, content_type))
    {
      if (!transfer->body)
        transfer->body = g_string_new (NULL);
      g_string_append_len (transfer->body, bytes, (gssize)size);
      return;
    }
  if (completion_stream_add (&transfer->completion_stream, bytes, size))
    report_event (transfer, KWF_EV_ATTEMPT_DATA, (kwf_attempt_event_t){ 0 });
}

/* The core may pass a complete answer on after the call of REPORT_FN, so it is
   kept while its request is open; transfer_discard releases it at the latest
   when the request ends.  */
void
transfer_finish (transfer_t *transfer, kwf_event_type_t type,
                 kwf_attempt_event_t event, transfer_report_fn_t report_fn)
{
  instance_t *instance = transfer->instance;
  kwf_handle_t attempt = transfer->attempt;
  caller_request_t *caller_request
      = g_hash_table_lookup (instance->requests, &transfer->request);
  bool keep = caller_request && type == KWF_EV_ATTEMPT_END;
  transfer->client_handle = 0;
  if (keep)
    g_array_append_val (caller_request->kept_attempts, attempt);
  report_fn (transfer, type, event);
  if (!keep)
    g_hash_table_remove (instance->attempts, &attempt);
}

static void
finish (transfer_t *transfer, kwf_event_type_t type, kwf_attempt_event_t event)
{
  transfer_finish (transfer, type, event, report_event);
}

/* Completion tokens of a whole answer by its "usage", at most max_tokens.
   Without that, max_tokens counts, so that no answer is free of charge.  */
static int64_t
used_tokens (const transfer_t *transfer)
{
  const caller_request_t *caller_request
      = g_hash_table_lookup (transfer->instance->requests, &transfer->request);
  if (!caller_request || caller_request->kind != KWF_REQUEST_COMPLETION
      || transfer->status != 200)
    return 0;
  json_t *root
      = json_loadb (transfer->body->str, transfer->body->len, 0, NULL);
  const json_t *used
      = json_object_get (json_object_get (root, "usage"), "completion_tokens");
  int64_t most = caller_request->completion.max_tokens;
  int64_t tokens = json_is_integer (used) ? json_integer_value (used) : most;
  json_decref (root);
  return CLAMP (tokens, 0, most);
}

/* The headers of an answer of a plain service are passed on; for a model
   engine's answer this instance makes its own.  */
static void
keep_headers (transfer_t *transfer, const client_answer_t *answer)
{
  const caller_request_t *caller_request
      = g_hash_table_lookup (transfer->instance->requests, &transfer->request);
  if (!caller_request || caller_request->kind != KWF_REQUEST_SERVICE)
    return;
  transfer->headers = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < answer->n_headers; i++)
    {
      const header_t *header = &answer->headers[i];
      if (header_is_hop_by_hop (header->name)
          || strcasecmp (header->name, "Content-Type") == 0
          || strcasecmp (header->name, "Date") == 0
          || strcasecmp (header->name, "X-Request-Id") == 0)
        continue;
      g_ptr_array_add (transfer->headers, g_strdup (header->name));
      g_ptr_array_add (transfer->headers, g_strdup (header->value));
    }
}

static void
on_done (void *data, kwf_handle_t handle, const client_answer_t *answer)
{
  (void)handle;
  transfer_t *transfer = data;
  keep_head (transfer, answer->status, answer->content_type);
  keep_headers (transfer, answer);
  bool streamed = is_event_stream (transfer->status, transfer->content_type)
                  && transfer->completion_stream.bytes;
  kwf_attempt_event_t event
      = { .status = transfer->status, .content_type = transfer->content_type };
  if (!streamed)
    {
      if (!transfer->body)
        transfer->body = g_string_new (NULL);
      if (answer->body)
        g_string_append_len (transfer->body, answer->body,
                             (gssize)answer->body_size);
      event.body = transfer->body->str;
      event.body_size = transfer->body->len;
      transfer->completion_stream.tokens = used_tokens (transfer);
    }
  finish (transfer, KWF_EV_ATTEMPT_END, event);
}

static void
on_failed (void *data, kwf_handle_t handle, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)handle;
  (void)error;
  finish (data, KWF_EV_ATTEMPT_FAILED,
          (kwf_attempt_event_t){ .failure = failure });
}

static const client_handler_t whole_handler
    = { .done = on_done, .failed = on_failed };
static const client_handler_t stream_handler = { .head = on_head,
                                                 .data = on_data,
                                                 .may_end = may_end,
                                                 .done = on_done,
                                                 .failed = on_failed };

static transfer_t *
new_transfer (instance_t *instance, const kwf_attempt_start_t *start)
{
  transfer_t *transfer = g_new0 (transfer_t, 1);
  transfer->instance = instance;
  transfer->attempt = start->attempt;
  transfer->request = start->request;
  g_hash_table_insert (instance->attempts, &transfer->attempt, transfer);
  return transfer;
}

/* The id in an answer does not tell a late copy of the answer to an earlier
   attempt from the answer to this one.  */
bool
transfer_needs_connection (const caller_request_t *caller_request,
                           bool repeatable)
{
  return !repeatable || caller_request->attempts > 1;
}

/* Headers that every backend server gets.  */
static void
add_backend_headers (GArray *headers, const caller_request_t *caller_request,
                     const char *deadline, const char *priority)
{
  header_t own[] = { { "X-Request-Id", caller_request->id },
                     { "X-Deadline-Ms", deadline },
                     { "X-Priority", priority } };
  g_array_append_vals (headers, own, G_N_ELEMENTS (own));
}

static void
send_request (instance_t *instance, transfer_t *transfer,
              const kwf_attempt_start_t *start,
              const caller_request_t *caller_request,
              const server_request_t *request)
{
  int64_t left = start->deadline_ns - kwf_now_ns (kwf_clock_system ());
  char deadline[24];
  char priority[8];
  g_snprintf (deadline, sizeof deadline, "%lld",
              (long long)(MAX (left, 0) / KWF_NS_PER_MS));
  g_snprintf (priority, sizeof priority, "%d", start->priority);
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  if (caller_request->headers)
    g_array_append_vals (headers, caller_request->headers->data,
                         caller_request->headers->len);
  add_backend_headers (headers, caller_request, deadline, priority);
  client_request_t out = {
    .method = request->method,
    .address = start->address,
    .target = caller_request->target,
    .body = request->body_size ? request->body : NULL,
    .body_size = request->body_size,
    .timeout_ns = MAX (left, KWF_NS_PER_MS),
    .new_connection
    = transfer_needs_connection (caller_request, caller_request->idempotent),
  };
  char *body = NULL;
  if (caller_request->kind == KWF_REQUEST_COMPLETION)
    {
      header_t type = { "Content-Type", "application/json" };
      g_array_append_val (headers, type);
      body = completion_backend_body (request->body, request->body_size,
                                      &caller_request->completion,
                                      start->resume_from, &out.body_size);
      out.body = body;
    }
  out.headers = (const header_t *)headers->data;
  out.n_headers = headers->len;
  bool stream = caller_request->kind == KWF_REQUEST_COMPLETION
                && caller_request->completion.stream;
  if (stream)
    completion_stream_init (&transfer->completion_stream);
  transfer->client_handle
      = client_start (instance->client, &out,
                      stream ? &stream_handler : &whole_handler, transfer);
  g_array_free (headers, TRUE);
  free (body);
}

void
transfer_start (instance_t *instance, const kwf_attempt_start_t *start)
{
  caller_request_t *caller_request
      = g_hash_table_lookup (instance->requests, &start->request);
  const server_request_t *request
      = server_request (instance->caller_server, start->request);
  /* The attempt ends with the event of a caller that has left.  */
  if (!caller_request || !request
      || server_caller_left (instance->caller_server, start->request))
    return;
  transfer_t *transfer = new_transfer (instance, start);
  caller_request->attempts++;
  if (caller_request->kind == KWF_REQUEST_ROUTED)
    relay_start (instance, transfer, start, caller_request, request);
  else
    send_request (instance, transfer, start, caller_request, request);
}

void
transfer_cancel (instance_t *instance, kwf_handle_t attempt)
{
  const transfer_t *transfer
      = g_hash_table_lookup (instance->attempts, &attempt);
  if (!transfer)
    return;
  /* While the transfer's own callback runs, its handle is 0, and
     transfer_finish releases it.  */
  if (transfer->client_handle)
    {
      client_cancel (instance->client, transfer->client_handle);
      g_hash_table_remove (instance->attempts, &attempt);
    }
}

void
transfer_discard (instance_t *instance, kwf_handle_t attempt)
{
  g_hash_table_remove (instance->attempts, &attempt);
}

static void
begin_completion_stream (instance_t *instance,
                         const caller_request_t *caller_request)
{
  header_t headers[] = { { "X-Request-Id", caller_request->id },
                         { "Cache-Control", "no-store" } };
  server_begin (instance->caller_server, caller_request->handle, 200,
                "text/event-stream", headers, G_N_ELEMENTS (headers),
                SERVER_END_CHUNKS);
}

static void
forward_completion (instance_t *instance, transfer_t *transfer,
                    caller_request_t *caller_request)
{
  delivery_action_t action
      = caller_deliver (instance, caller_request, DELIVERY_EVENTS);
  if (action == DELIVER_NOTHING)
    return;
  if (action == DELIVER_BEGIN)
    begin_completion_stream (instance, caller_request);
  completion_stream_t *stream = &transfer->completion_stream;
  server_write (instance->caller_server, caller_request->handle,
                stream->bytes->str, stream->whole);
  completion_stream_take (stream, stream->whole);
}

/* The open request of REQUEST and the transfer of ATTEMPT; false: one of them
   is missing, and the answer, which nobody else would end, is broken off.  */
static bool
find_answer (instance_t *instance, kwf_handle_t request, kwf_handle_t attempt,
             caller_request_t **caller_request, transfer_t **transfer)
{
  *caller_request = g_hash_table_lookup (instance->requests, &request);
  *transfer = g_hash_table_lookup (instance->attempts, &attempt);
  if (*caller_request && *transfer)
    return true;
  logging_event (252, KWF_LOG_ERROR, "no %s for a part of an answer",
                 *caller_request ? "transfer" : "request");
  server_abort (instance->caller_server, request);
  return false;
}

void
transfer_forward (instance_t *instance, kwf_handle_t request,
                  kwf_handle_t attempt)
{
  caller_request_t *caller_request;
  transfer_t *transfer;
  if (!find_answer (instance, request, attempt, &caller_request, &transfer))
    return;
  if (caller_request->kind == KWF_REQUEST_ROUTED)
    relay_forward (instance, transfer, caller_request);
  else
    forward_completion (instance, transfer, caller_request);
}

GArray *
transfer_headers (const transfer_t *transfer, const header_t *extra_header)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  if (extra_header)
    g_array_append_val (headers, *extra_header);
  for (guint i = 0; transfer->headers && i < transfer->headers->len; i += 2)
    {
      header_t header
          = { transfer->headers->pdata[i], transfer->headers->pdata[i + 1] };
      g_array_append_val (headers, header);
    }
  return headers;
}

void
transfer_reply (instance_t *instance, const transfer_t *transfer,
                caller_request_t *caller_request, const header_t *extra_header)
{
  delivery_action_t action = caller_deliver (
      instance, caller_request, delivery_answer (transfer->by_close));
  if (action != DELIVER_WHOLE && action != DELIVER_WHOLE_OPEN)
    return;
  server_t *server = instance->caller_server;
  kwf_handle_t handle = caller_request->handle;
  GArray *array = transfer_headers (transfer, extra_header);
  const header_t *headers = (const header_t *)(void *)array->data;
  const char *body = transfer->body ? transfer->body->str : "";
  size_t size = transfer->body ? transfer->body->len : 0;
  if (action == DELIVER_WHOLE)
    server_reply (server, handle, transfer->status, transfer->content_type,
                  headers, array->len, body, size);
  else
    {
      server_begin (server, handle, transfer->status, transfer->content_type,
                    headers, array->len, SERVER_END_CLOSE);
      server_write (server, handle, body, size);
      server_end (server, handle);
    }
  g_array_free (array, TRUE);
}

void
transfer_forward_end (instance_t *instance, kwf_handle_t request,
                      kwf_handle_t attempt)
{
  caller_request_t *caller_request;
  transfer_t *transfer;
  if (!find_answer (instance, request, attempt, &caller_request, &transfer))
    {
      caller_request_release (instance, request);
      return;
    }
  if (caller_request->kind == KWF_REQUEST_ROUTED)
    relay_forward_end (instance, transfer, caller_request);
  else if (transfer->body)
    transfer_reply (instance, transfer, caller_request,
                    &(header_t){ "X-Request-Id", caller_request->id });
  else
    {
      forward_completion (instance, transfer, caller_request);
      if (caller_deliver (instance, caller_request, DELIVERY_STREAM_END)
          == DELIVER_END)
        server_end (instance->caller_server, caller_request->handle);
    }
  caller_request_release (instance, transfer->request);
}
