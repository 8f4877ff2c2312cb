/* Attempts of routed requests: the request is sent to the backend server, and
   its answer is passed on unchanged.  */

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
  event.has_load = facts->has_load;
  event.running = facts->running;
  event.waiting = facts->waiting;
  event.slots = facts->slots;
  transfer->facts.has_load = false;
  instance_step (transfer->instance,
                 &(kwf_event_t){ .type = type, .attempt = event });
}

static bool
is_event_stream (const transfer_t *transfer)
{
  return transfer->status == 200 && transfer->content_type
         && g_str_has_prefix (transfer->content_type, "text/event-stream");
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
on_head (void *data, kwf_handle_t handle, const client_answer_t *answer)
{
  (void)handle;
  transfer_t *transfer = data;
  transfer->status = answer->status;
  transfer->content_type = g_strdup (answer->content_type);
  transfer->instance->protocol->read_facts (&transfer->facts, answer);
  transfer->headers = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < answer->n_headers; i++)
    if (!is_replaced_header (answer->headers[i].name))
      {
        g_ptr_array_add (transfer->headers,
                         g_strdup (answer->headers[i].name));
        g_ptr_array_add (transfer->headers,
                         g_strdup (answer->headers[i].value));
      }
  /* Last, because the core may end this transfer when it is given the
     notice.  */
  notice_read (transfer->instance, KWF_ANSWER_REQUEST, transfer->attempt, NULL,
               0, answer);
}

static void
on_data (void *data, kwf_handle_t handle, int status, const char *content_type,
         const char *bytes, size_t size)
{
  (void)handle;
  (void)status;
  (void)content_type;
  transfer_t *transfer = data;
  if (is_event_stream (transfer))
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

/* A body with a length or chunks ends where its server says, even inside an
   event, and is passed on as it is.  A stream that ends with its connection is
   cut if that is inside an event.  */
static bool
may_end (void *data, bool delimited)
{
  const transfer_t *transfer = data;
  return delimited || !is_event_stream (transfer)
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
  bool stream = is_event_stream (transfer);
  if (stream)
    routed_stream_finish (&transfer->routed_stream);
  if (!stream && !transfer->body)
    transfer->body = g_string_new (NULL);
  kwf_attempt_event_t event = { .status = transfer->status,
                                .gap = stream && transfer->routed_stream.gap,
                                .body = stream ? NULL : transfer->body->str,
                                .body_size = stream ? 0 : transfer->body->len,
                                .not_run = transfer->facts.not_run,
                                .misplaced = transfer->facts.misplaced,
                                .content_type = transfer->content_type };
  transfer_finish (transfer, KWF_EV_ATTEMPT_END, event, report_event);
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
  char last_event[24];
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  bool resumes = start->resumes && caller_request->position.last_id >= 0;
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  g_array_append_vals (headers, caller_request->headers->data,
                       caller_request->headers->len);
  g_snprintf (last_event, sizeof last_event, "%" G_GINT64_FORMAT,
              caller_request->position.last_id);
  instance->protocol->add_headers (
      headers, texts, start, left_ns / KWF_NS_PER_MS,
      resumes ? last_event : caller_request->resume_event_id);
  routed_stream_init (&transfer->routed_stream, &caller_request->position,
                      start->resumes);
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
    .new_connection
    = transfer_needs_connection (caller_request, start->repeatable),
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
  delivery_action_t action
      = caller_deliver (instance, caller_request, DELIVERY_EVENTS);
  if (action == DELIVER_NOTHING)
    return;
  if (action == DELIVER_BEGIN)
    {
      GArray *headers = transfer_headers (transfer, NULL);
      server_begin (instance->caller_server, caller_request->handle,
                    transfer->status, transfer->content_type,
                    (const header_t *)(void *)headers->data, headers->len);
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
  if (is_event_stream (transfer))
    {
      /* What is left after the last whole event belongs to the answer, too:
         may_end lets no cut event come here.  */
      routed_stream_t *routed_stream = &transfer->routed_stream;
      routed_stream->whole = routed_stream->bytes->len;
      relay_forward (instance, transfer, caller_request);
      if (caller_deliver (instance, caller_request, DELIVERY_STREAM_END)
          == DELIVER_END)
        server_end (instance->caller_server, caller_request->handle);
      return;
    }
  transfer_reply (instance, transfer, caller_request, NULL);
}
