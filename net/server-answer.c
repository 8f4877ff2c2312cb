/* Answers of the HTTP server: whole, or streamed in parts.  */

#include "server-intake.h"

#include <glib.h>
#include <string.h>

#include "../lib/logging.h"

/* The buffer of a stream that is larger than this is freed when it is empty,
   so that idle streams cost little memory.  */
#define KEPT_PENDING_BYTES 4096

/* What the status line and the headers of this instance need at most.  */
#define OWN_HEAD_BYTES 1024

/* What libmicrohttpd keeps of each header of a request, beside its text.  */
#define REQUEST_HEADER_BYTES 96

/* Size of the blocks in which libmicrohttpd reads a stream.  */
#define BLOCK_SIZE 16384

static server_request_state_t *
find_open (const server_t *server, kwf_handle_t handle)
{
  server_request_state_t *request = kwf_slots_get (server->requests, handle);
  if (!request || !request->handler_called || request->answered
      || request->gone)
    return NULL;
  return request;
}

/* The request of HANDLE for PART of an answer; NULL: its caller closed, or it
   is answered, which is logged.  */
static server_request_state_t *
find_answerable (const server_t *server, kwf_handle_t handle, const char *part)
{
  const server_request_state_t *request
      = kwf_slots_get (server->requests, handle);
  if (request && request->answered && !request->gone)
    logging_event (253, KWF_LOG_ERROR,
                   "%s for request %" G_GUINT64_FORMAT
                   ", which is answered: not sent",
                   part, handle);
  return find_open (server, handle);
}

/* The same for PART that must be the first of an answer.  After another one,
   the answer is broken off.  */
static server_request_state_t *
find_unanswered (server_t *server, kwf_handle_t handle, const char *part)
{
  server_request_state_t *request = find_answerable (server, handle, part);
  if (!request || !request->streaming)
    return request;
  logging_event (253, KWF_LOG_ERROR,
                 "%s for request %" G_GUINT64_FORMAT
                 ", whose answer has begun: broken off",
                 part, handle);
  server_abort (server, handle);
  return NULL;
}

const server_request_t *
server_request (const server_t *server, kwf_handle_t handle)
{
  const server_request_state_t *request = find_open (server, handle);
  return request ? &request->public : NULL;
}

bool
server_head_fits (const server_t *server, kwf_handle_t handle, size_t size)
{
  const server_request_state_t *request = find_open (server, handle);
  if (!request)
    return true;
  const server_request_t *public = &request->public;
  size_t used = strlen (public->method) + strlen (public->raw_path)
                + strlen (public->query) + OWN_HEAD_BYTES;
  for (size_t i = 0; i < public->n_headers; i++)
    used += strlen (public->headers[i].name)
            + strlen (public->headers[i].value) + REQUEST_HEADER_BYTES;
  return used + size <= server->options.max_header_bytes + ANSWER_HEAD_BYTES;
}

static void
add_header (struct MHD_Response *response, const char *name, const char *value)
{
  if (MHD_add_response_header (response, name, value) != MHD_YES)
    logging_event (256, KWF_LOG_WARNING,
                   "header \"%s\" of an answer is left out: its name or value "
                   "is not allowed",
                   name);
}

static void
add_headers (const server_t *server, struct MHD_Response *response,
             const char *content_type, const header_t *headers,
             size_t n_headers)
{
  if (content_type)
    add_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  for (size_t i = 0; i < n_headers; i++)
    add_header (response, headers[i].name, headers[i].value);
  if (server->closing)
    add_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
}

static void
set_response (server_request_state_t *request, int status,
              struct MHD_Response *response)
{
  request->response = response;
  request->status = status;
  server_resume (request);
}

static void
reset_pending (server_request_state_t *request)
{
  pending_t *pending = &request->pending;
  pending->start = pending->end = 0;
  if (!request->answered)
    server_set_stage (request->connection, INTAKE_HELD);
  if (pending->capacity <= KEPT_PENDING_BYTES)
    return;
  server_release (request->connection, pending->capacity);
  g_free (pending->bytes);
  pending->bytes = NULL;
  pending->capacity = 0;
}

/* Passes stream bytes to libmicrohttpd, or suspends the connection until the
   next write when there are none.  */
static ssize_t
read_pending (void *data, uint64_t position, char *buffer, size_t size)
{
  (void)position;
  server_request_state_t *request = data;
  pending_t *pending = &request->pending;
  size_t unread = pending->end - pending->start;
  if (request->gone)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (unread)
    {
      size_t n = MIN (unread, size);
      memcpy (buffer, pending->bytes + pending->start, n);
      pending->start += n;
      server_progress (request->connection, n);
      if (n == unread)
        reset_pending (request);
      return (ssize_t)n;
    }
  if (request->aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (request->answered)
    return MHD_CONTENT_READER_END_OF_STREAM;
  request->suspended = true;
  MHD_suspend_connection (request->mhd);
  return 0;
}

/* False: there is no memory for them, and the answer must be broken off.  */
static bool
append (server_request_state_t *request, const void *bytes, size_t size)
{
  pending_t *pending = &request->pending;
  size_t unread = pending->end - pending->start;
  if (pending->end + size > pending->capacity)
    {
      if (pending->start)
        memmove (pending->bytes, pending->bytes + pending->start, unread);
      pending->start = 0;
      pending->end = unread;
      if (unread + size > pending->capacity)
        {
          size_t capacity = MAX (unread + size, pending->capacity * 2);
          capacity = MAX (capacity, 512);
          if (!server_hold (request->connection, capacity - pending->capacity))
            return false;
          pending->capacity = capacity;
          pending->bytes = g_realloc (pending->bytes, pending->capacity);
        }
    }
  memcpy (pending->bytes + pending->end, bytes, size);
  pending->end += size;
  if (!unread)
    server_set_stage (request->connection, INTAKE_ANSWER);
  return true;
}

/* Whole answers of more than a block are passed on like streams, so that
   their progress is known and they can be broken off.  */
static struct MHD_Response *
whole_response (server_request_state_t *request, const void *body,
                size_t body_size)
{
  server_release (request->connection, request->copy_bytes);
  request->copy_bytes = 0;
  if (body_size > BLOCK_SIZE && request->server->options.intake)
    return server_hold (request->connection, BLOCK_SIZE)
                   && append (request, body, body_size)
               ? MHD_create_response_from_callback (
                   body_size, BLOCK_SIZE, read_pending, request, NULL)
               : NULL;
  /* libmicrohttpd copies the bytes; its parameter lacks const.  */
  return server_hold (request->connection, body_size)
             ? MHD_create_response_from_buffer (body_size, (void *)body,
                                                MHD_RESPMEM_MUST_COPY)
             : NULL;
}

void
server_reply (server_t *server, kwf_handle_t handle, int status,
              const char *content_type, const header_t *headers,
              size_t n_headers, const void *body, size_t body_size)
{
  server_request_state_t *request
      = find_unanswered (server, handle, "an answer");
  if (!request)
    return;
  struct MHD_Response *response = whole_response (request, body, body_size);
  if (!response)
    {
      server_abort (server, handle);
      return;
    }
  add_headers (server, response, content_type, headers, n_headers);
  request->answered = true;
  server_set_stage (request->connection, INTAKE_ANSWER);
  set_response (request, status, response);
}

char *
server_refusal_body (const char *code, const char *message)
{
  return g_strdup_printf ("{\"error\":{\"code\":\"%s\",\"message\":"
                          "\"%s\",\"type\":\"invalid_request_error\","
                          "\"run\":\"no\"}}",
                          code, message);
}

struct MHD_Response *
server_refusal (const char *code, const char *message)
{
  char *text = server_refusal_body (code, message);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  g_free (text);
  if (response)
    {
      MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                               "application/json");
      /* The request may be refused before its body was read.  The bytes that
         follow on the connection may then belong to this request, not to a
         new one, so the connection must be closed.  */
      MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
  return response;
}

void
server_begin (server_t *server, kwf_handle_t handle, int status,
              const char *content_type, const header_t *headers,
              size_t n_headers, server_end_t end)
{
  server_request_state_t *request
      = find_unanswered (server, handle, "the begin of an answer");
  if (!request)
    return;
  struct MHD_Response *response
      = server_hold (request->connection, BLOCK_SIZE)
            ? MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, BLOCK_SIZE,
                                                 read_pending, request, NULL)
            : NULL;
  if (!response)
    {
      server_abort (server, handle);
      return;
    }
  add_headers (server, response, content_type, headers, n_headers);
  if (end == SERVER_END_CLOSE)
    {
      MHD_set_response_options (response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                                MHD_RO_END);
      request->no_chunks = true;
    }
  request->streaming = true;
  set_response (request, status, response);
}

void
server_write (server_t *server, kwf_handle_t handle, const void *bytes,
              size_t size)
{
  server_request_state_t *request
      = find_answerable (server, handle, "a part of an answer");
  if (!request || !request->streaming || !size)
    return;
  pending_t *pending = &request->pending;
  size_t unread = pending->end - pending->start;
  size_t limit = server->options.max_pending_bytes;
  if (size > limit)
    pending->largest = MAX (pending->largest, size);
  if (unread + size > limit + pending->largest)
    {
      logging_event (254, KWF_LOG_WARNING,
                     "request %" G_GUINT64_FORMAT
                     ": its caller left %zu bytes unread, %zu more to send: "
                     "reset",
                     handle, unread, size);
      server_reset_connection (request);
      return;
    }
  if (append (request, bytes, size))
    server_resume (request);
  else
    server_reset_connection (request);
}

void
server_end (server_t *server, kwf_handle_t handle)
{
  server_request_state_t *request
      = find_answerable (server, handle, "the end of an answer");
  if (!request || !request->streaming)
    return;
  request->answered = true;
  server_set_stage (request->connection, INTAKE_ANSWER);
  server_resume (request);
}

void
server_abort (server_t *server, kwf_handle_t handle)
{
  server_request_state_t *request = find_open (server, handle);
  if (!request)
    return;
  request->answered = true;
  request->aborted = true;
  if (server_ends_by_close (request))
    server_reset_connection (request);
  else
    server_resume (request);
}
