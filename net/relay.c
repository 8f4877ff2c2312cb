/* Attempts of routed requests: the request is sent to the backend server, and
   its answer is passed on unchanged.  */

#include "answer.h"
#include "instance-internal.h"

#include <string.h>
#include <strings.h>

static void
report_event (transfer_t *transfer, kwf_event_type_t type,
              kwf_attempt_event_t event)
{
  const answer_facts_t *facts = &transfer->facts;
  event.attempt = transfer->attempt;
  event.request = transfer->request;
  event.tokens = transfer->routed_stream.count;
  event.by_close = transfer->by_close;
  event.has_load = facts->has_load;
  event.running = facts->running;
  event.waiting = facts->waiting;
  event.slots = facts->slots;
  event.pace = facts->pace;
  event.load_unreadable = facts->load_unreadable;
  transfer->facts.has_load = false;
  transfer->facts.load_unreadable = false;
  instance_step (transfer->instance,
                 &(kwf_event_t){ .type = type, .attempt = event });
}

enum
{
  HTTP_NO_CONTENT = 204,
  HTTP_RESET_CONTENT = 205
};

/* Whether the body of ANSWER is a stream of events: by its type, or because
   the route's answers are, unless ANSWER names its length or is of another
   type whose end the server marks.  A success of any status can have one.  */
static bool
is_event_stream (const transfer_t *transfer, const client_answer_t *answer)
{
  if (answer->status / 100 != 2 || answer->status == HTTP_NO_CONTENT
      || answer->status == HTTP_RESET_CONTENT)
    return false;
  if (answer_type_is_events (answer->content_type))
    return true;
  return transfer->wants_events
         && !answer_has_header (answer, "Content-Length")
         && !(answer->content_type
              && answer_has_header (answer, "Transfer-Encoding"));
}

/* Whether a header of the backend server's answer is not passed on, because
   this instance sends its own.  */
static bool
is_replaced_header (const char *name)
{
  return header_is_hop_by_hop (name) || strcasecmp (name, "Content-Type") == 0
         || strcasecmp (name, "Date") == 0;
}

/* Connecting may take up to a second.  Meanwhile the server may have sent a
   notice that it leaves, or the caller's key may have been withdrawn.  */
static bool
may_send (void *data)
{
  const transfer_t *transfer = data;
  return kwf_core_may_send (transfer->instance->core, transfer->attempt);
}

static void
on_failed (void *data, kwf_handle_t handle, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)handle;
  transfer_t *transfer = data;
  logging_event (250, KWF_LOG_INFO, "attempt on %s: %s: %s", error->peer,
                 error->step, error->message);
  transfer_finish (transfer, KWF_EV_ATTEMPT_FAILED,
                   (kwf_attempt_event_t){ .failure = failure }, report_event);
}

/* A head that is larger than the caller's connection can take ends the
   attempt, so that the caller gets an error and not a closed connection.  */
static void
check_head_size (transfer_t *transfer, size_t size)
{
  instance_t *instance = transfer->instance;
  const caller_request_t *caller_request
      = g_hash_table_lookup (instance->requests, &transfer->request);
  if (!caller_request || caller_request->delivery != DELIVERY_NONE
      || transfer->facts.not_run
      || server_head_fits (instance->caller_server, caller_request->handle,
                           size))
    return;
  kwf_error_t error;
  kwf_fail (&error, KWF_LIMIT, "read the head", "the backend server",
            "%zu bytes of headers are more than the caller's connection takes",
            size);
  client_cancel (instance->client, transfer->client_handle);
  on_failed (transfer, transfer->client_handle, KWF_FAIL_OVERSIZED, &error);
}

static void
on_head (void *data, kwf_handle_t handle, const client_answer_t *answer)
{
  (void)handle;
  transfer_t *transfer = data;
  transfer->status = answer->status;
  transfer->by_close = answer->by_close;
  transfer->content_type = g_strdup (answer->content_type);
  transfer->has_events = is_event_stream (transfer, answer);
  transfer->instance->protocol->read_facts (&transfer->facts, answer);
  transfer->headers = g_ptr_array_new_with_free_func (g_free);
  size_t size = 0;
  for (size_t i = 0; i < answer->n_headers; i++)
    if (!is_replaced_header (answer->headers[i].name))
      {
        const header_t *header = &answer->headers[i];
        g_ptr_array_add (transfer->headers, g_strdup (header->name));
        g_ptr_array_add (transfer->headers, g_strdup (header->value));
        size += strlen (header->name) + strlen (header->value)
                + strlen (": \r\n");
      }
  instance_t *instance = transfer->instance;
  kwf_handle_t attempt = transfer->attempt;
  /* The core may end this transfer when it is given the notice.  */
  notice_read (instance, KWF_ANSWER_REQUEST, attempt, NULL, 0, answer);
  if (g_hash_table_lookup (instance->attempts, &attempt))
    check_head_size (transfer, size);
}

static void
on_data (void *data, kwf_handle_t handle, int status, const char *content_type,
         const char *bytes, size_t size)
{
  (void)handle;
  (void)status;
  (void)content_type;
  transfer_t *transfer = data;
  if (transfer->has_events)
    {
      routed_stream_t *stream = &transfer->routed_stream;
      if (routed_stream_add (stream, bytes, size))
        report_event (
            transfer, KWF_EV_ATTEMPT_DATA,
            (kwf_attempt_event_t){
                .gap = stream->gap,
                .no_resume = !stream_position_is_known (&stream->position) });
      return;
    }
  if (!transfer->body)
    transfer->body = g_string_new (NULL);
  g_string_append_len (transfer->body, bytes, (gssize)size);
}

/* A stream that ends inside an event was broken off, whatever marks its
   end.  */
static bool
may_end (void *data, bool delimited)
{
  (void)delimited;
  const transfer_t *transfer = data;
  return !transfer->has_events
         || routed_stream_between_events (&transfer->routed_stream);
}

static void
on_done (void *data, kwf_handle_t handle, const client_answer_t *answer)
{
  (void)handle;
  transfer_t *transfer = data;
  if (answer->body_size)
    on_data (transfer, handle, answer->status, answer->content_type,
             answer->body, answer->body_size);
  bool stream = transfer->has_events;
  if (!stream && !transfer->body)
    transfer->body = g_string_new (NULL);
  bool gap = stream && !routed_stream_finish (&transfer->routed_stream);
  kwf_attempt_event_t event = { .status = transfer->status,
                                .gap = gap,
                                .body = stream ? NULL : transfer->body->str,
                                .body_size = stream ? 0 : transfer->body->len,
                                .not_run = transfer->facts.not_run,
                                .misplaced = transfer->facts.misplaced,
                                .content_type = transfer->content_type,
                                .kept_ns = answer->kept_ns };
  transfer_finish (transfer, KWF_EV_ATTEMPT_END, event, report_event);
}

/* Appends the headers of the attempt START, which has LEFT_MS.  */
static void
collect_headers (const instance_t *instance, GArray *headers, GPtrArray *texts,
                 const kwf_attempt_start_t *start,
                 const caller_request_t *caller_request,
                 const server_request_t *request, int64_t left_ms)
{
  const protocol_t *protocol = instance->protocol;
  char *position = g_strdup_printf ("%" G_GINT64_FORMAT,
                                    caller_request->position.last_id);
  g_ptr_array_add (texts, position);
  bool resumes = start->resumes && caller_request->position.last_id >= 0;
  if (start->handed_attempts)
    {
      protocol->add_handover_headers (headers, texts, request, start, left_ms,
                                      resumes ? position : NULL,
                                      caller_request->id);
      return;
    }
  g_array_append_vals (headers, caller_request->headers->data,
                       caller_request->headers->len);
  protocol->add_headers (headers, texts, start, left_ms,
                         resumes ? position : caller_request->resume_event_id);
}

void
relay_start (instance_t *instance, transfer_t *transfer,
             const kwf_attempt_start_t *start,
             caller_request_t *caller_request, const server_request_t *request)
{
  static const client_handler_t handler = { .may_send = may_send,
                                            .head = on_head,
                                            .data = on_data,
                                            .may_end = may_end,
                                            .done = on_done,
                                            .failed = on_failed };
  int64_t left_ns = MAX (start->deadline_ns - kwf_now_ns (kwf_clock_system ()),
                         KWF_NS_PER_MS);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  collect_headers (instance, headers, texts, start, caller_request, request,
                   left_ns / KWF_NS_PER_MS);
  routed_stream_init (&transfer->routed_stream, &caller_request->position,
                      start->resumes);
  transfer->wants_events
      = start->stream && strcmp (request->method, "HEAD") != 0;
  header_t expected_header
      = { instance->protocol->echo_name, caller_request->id };
  client_request_t out = {
    .method = request->method,
    .address = start->address,
    .target = caller_request->target,
    .headers = (const header_t *)(void *)headers->data,
    .n_headers = headers->len,
    .body = request->body_size ? request->body : NULL,
    .body_size = request->body_size,
    .timeout_ns = left_ns,
    .expected_header = &expected_header,
    .success_header = instance->protocol->stamp_name,
    .allow_close_delimited = true,
    .new_connection = transfer_needs_connection (
        caller_request,
        start->repeatable || (start->keep_unsafe && request->body_size)),
    .recent_connection = !start->repeatable,
  };
  transfer->client_handle
      = client_start (instance->client, &out, &handler, transfer);
  g_array_free (headers, TRUE);
  g_ptr_array_free (texts, TRUE);
}

void
relay_forward (instance_t *instance, transfer_t *transfer,
               caller_request_t *caller_request)
{
  routed_stream_t *routed_stream = &transfer->routed_stream;
  delivery_action_t action = caller_deliver (
      instance, caller_request, delivery_events (transfer->by_close));
  if (action == DELIVER_NOTHING)
    return;
  if (action == DELIVER_BEGIN || action == DELIVER_BEGIN_OPEN)
    {
      GArray *headers = transfer_headers (transfer, NULL);
      server_begin (instance->caller_server, caller_request->handle,
                    transfer->status, transfer->content_type,
                    (const header_t *)(void *)headers->data, headers->len,
                    action == DELIVER_BEGIN ? SERVER_END_CHUNKS
                                            : SERVER_END_CLOSE);
      g_array_free (headers, TRUE);
    }
  caller_request->position = routed_stream->position;
  server_write (instance->caller_server, caller_request->handle,
                routed_stream->bytes->str, routed_stream->whole);
  routed_stream_take (routed_stream, routed_stream->whole);
}

void
relay_forward_end (instance_t *instance, transfer_t *transfer,
                   caller_request_t *caller_request)
{
  if (transfer->has_events)
    {
      relay_forward (instance, transfer, caller_request);
      if (caller_deliver (instance, caller_request,
                          delivery_end (transfer->by_close))
          == DELIVER_END)
        server_end (instance->caller_server, caller_request->handle);
      return;
    }
  transfer_reply (instance, transfer, caller_request, NULL);
}
