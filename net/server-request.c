/* Reads and checks requests for the HTTP server, and queues their answers.  */

#include "server-intake.h"

#include <glib.h>
#include <string.h>
#include <strings.h>

#include <knapweedfork/clock.h>

/* Bounds of the steps in which the buffer of a body grows.  */
#define BODY_STEP_MIN ((size_t)1 << 10)
#define BODY_STEP_MAX ((size_t)256 << 10)

void
server_report_gone (server_request_state_t *request)
{
  if (!request->handler_called || request->answered || request->gone)
    return;
  server_t *server = request->server;
  request->gone = true;
  if (server->handler->gone && !server->stopping)
    server->handler->gone (server, request->public.handle, server->data);
}

/* libmicrohttpd has read the request line.  The result becomes the request's
   context.  */
void *
server_start_request (void *data, const char *uri, struct MHD_Connection *mhd)
{
  server_t *server = data;
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  server_connection_t *connection = info ? info->socket_context : NULL;
  if (!connection)
    return NULL;
  kwf_handle_t handle;
  server_request_state_t *request = kwf_slots_add (server->requests, &handle);
  request->server = server;
  request->connection = connection;
  request->mhd = mhd;
  request->public.handle = handle;
  request->target = g_strdup (uri);
  char *query = strchr (request->target, '?');
  if (query)
    *query++ = '\0';
  request->public.raw_path = request->target;
  request->public.query = query ? query : "";
  request->public.remote = connection->remote;
  connection->request = request;
  if (connection->before_request)
    {
      connection->before_request = false;
      MHD_set_connection_option (mhd, MHD_CONNECTION_OPTION_TIMEOUT,
                                 server->options.idle_s);
    }
  connection->since_ns = kwf_now_ns (kwf_clock_system ());
  server_set_stage (connection, INTAKE_HEAD);
  return request;
}

void
server_free_request (server_request_state_t *request)
{
  request->connection->request = NULL;
  request->connection->since_ns = kwf_now_ns (kwf_clock_system ());
  server_set_stage (request->connection, INTAKE_IDLE);
  if (request->response)
    MHD_destroy_response (request->response);
  g_free (request->target);
  g_free (request->body);
  g_free ((void *)request->public.headers);
  g_free (request->pending.bytes);
  kwf_slots_remove (request->server->requests, request->public.handle);
}

bool
server_ends_by_close (const server_request_state_t *request)
{
  return request->streaming && request->no_chunks;
}

void
server_request_completed (void *data, struct MHD_Connection *mhd,
                          void **context, enum MHD_RequestTerminationCode code)
{
  (void)mhd;
  server_t *server = data;
  server_request_state_t *request = *context;
  /* libmicrohttpd releases a connection that was closed after a part of its
     answer only in its next run.  */
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    server_schedule_run (server);
  if (!request)
    return;
  if (server_ends_by_close (request))
    {
      if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
        server_set_reset (request->connection, false);
      else
        server_dissolve_connection (request->connection);
    }
  *context = NULL;
  if (request->handler_called)
    server->n_open--;
  server_report_gone (request);
  if (request->connection->hung_up)
    server_shutdown_connection (request->connection);
  server_free_request (request);
}

typedef struct
{
  header_t *headers;
  size_t n;
} header_list_t;

static enum MHD_Result
add_header (void *data, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
  (void)kind;
  header_list_t *list = data;
  list->headers[list->n++] = (header_t){ name, value ? value : "" };
  return MHD_YES;
}

static enum MHD_Result
refuse (server_request_state_t *request, int status, const char *code,
        const char *message)
{
  struct MHD_Response *response = server_refusal (code, message);
  if (!response)
    return MHD_NO;
  enum MHD_Result result
      = MHD_queue_response (request->mhd, (unsigned)status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
refuse_body (server_request_state_t *request)
{
  return refuse (request, MHD_HTTP_CONTENT_TOO_LARGE, "body_too_large",
                 "the body exceeds the limit of this server");
}

/* Header counts that decide where the message ends and for which host it
   is.  */
typedef struct
{
  int n_hosts;
  int n_lengths;
  int n_codings;
  bool ambiguous; /* a name or value can be read in two ways */
} framing_t;

static bool
is_token (const char *name, size_t size)
{
  static const char others[] = "!#$%&'*+-.^_`|~";
  for (size_t i = 0; i < size; i++)
    if (!g_ascii_isalnum (name[i]) && !strchr (others, name[i]))
      return false;
  return size > 0;
}

static bool
is_digits (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (!g_ascii_isdigit (text[i]))
      return false;
  return size > 0;
}

static enum MHD_Result
count_header (void *data, enum MHD_ValueKind kind, const char *name,
              size_t name_size, const char *value, size_t value_size)
{
  (void)kind;
  framing_t *framing = data;
  bool good = is_token (name, name_size) && (!value_size || value)
              && (!value_size || strlen (value) == value_size);
  if (good && strcasecmp (name, MHD_HTTP_HEADER_HOST) == 0)
    framing->n_hosts++;
  else if (good && strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    {
      framing->n_lengths++;
      good = is_digits (value, value_size);
    }
  else if (good && strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      framing->n_codings++;
      good = value_size && strcasecmp (value, "chunked") == 0;
    }
  framing->ambiguous |= !good;
  return MHD_YES;
}

/* Whether the end of the message and its host can be read in one way only.
   libmicrohttpd accepts messages that other implementations read differently;
   a second request could be hidden (smuggled) in such a message.  */
static bool
is_unambiguous (struct MHD_Connection *mhd)
{
  framing_t framing = { 0 };
  MHD_get_connection_values_n (mhd, MHD_HEADER_KIND, count_header, &framing);
  return !framing.ambiguous && framing.n_hosts == 1
         && framing.n_lengths + framing.n_codings <= 1;
}

/* The headers were read.  A body that is too large is refused here if the
   caller waits for "100 Continue" or if it is more than twice too large.
   Otherwise it is first read and discarded, because closing a connection with
   unread bytes may destroy the answer on its way.  */
static enum MHD_Result
start_body (server_request_state_t *request, const char *method,
            const char *path)
{
  server_request_t *public = &request->public;
  public->method = method;
  public->path = path;
  if (!is_unambiguous (request->mhd))
    return refuse (request, MHD_HTTP_BAD_REQUEST, "ambiguous_message",
                   "the headers can be read in more than one way");
  if (strcasestr (public->raw_path, "%00"))
    return refuse (request, MHD_HTTP_BAD_REQUEST, "invalid_path",
                   "the path contains a zero byte");
  int n
      = MHD_get_connection_values (request->mhd, MHD_HEADER_KIND, NULL, NULL);
  header_list_t list = { .headers = g_new (header_t, n > 0 ? n : 1) };
  MHD_get_connection_values (request->mhd, MHD_HEADER_KIND, add_header, &list);
  public->headers = list.headers;
  public->n_headers = list.n;
  server_set_stage (request->connection, INTAKE_BODY);
  const char *length = server_header (public, MHD_HTTP_HEADER_CONTENT_LENGTH);
  size_t limit = request->server->options.max_body_bytes;
  request->body_limit = limit;
  if (!length)
    return MHD_YES;
  guint64 size = g_ascii_strtoull (length, NULL, 10);
  bool waits = server_header (public, MHD_HTTP_HEADER_EXPECT);
  if (size > limit && (waits || size > 2 * limit))
    return refuse_body (request);
  if (size <= limit)
    request->body_limit = (size_t)size;
  return MHD_YES;
}

/* Grows the body's buffer to at least NEEDED bytes, never to what was only
   announced.  Small steps for large bodies cost little: the kernel moves the
   pages of blocks of this size instead of copying them.  */
static bool
grow_body (server_request_state_t *request, size_t needed)
{
  size_t more = CLAMP (request->body_capacity, BODY_STEP_MIN, BODY_STEP_MAX);
  size_t capacity
      = MIN (request->body_capacity + more, request->body_limit + 1);
  capacity = MAX (capacity, needed);
  if (!server_hold (request->connection, capacity - request->body_capacity))
    return false;
  request->body = g_realloc (request->body, capacity);
  request->body_capacity = capacity;
  return true;
}

static enum MHD_Result
read_body (server_request_state_t *request, const char *bytes, size_t size)
{
  size_t limit = request->server->options.max_body_bytes;
  bool refused = server_is_refused (request->connection);
  if (!refused && !request->body_excess && size > limit - request->body_size)
    server_free_body (request);
  else if (!refused && !request->body_excess)
    {
      server_progress (request->connection, size);
      size_t needed = request->body_size + size + 1;
      if (needed <= request->body_capacity || grow_body (request, needed))
        {
          memcpy (request->body + request->body_size, bytes, size);
          request->body_size += size;
          return MHD_YES;
        }
    }
  request->body_excess += size;
  return request->body_excess <= limit ? MHD_YES : MHD_NO;
}

/* The request is kept for retries while its copy is sent to a server.  */
static bool
hold_copy (server_request_state_t *request)
{
  if (!server_hold (request->connection, request->body_size))
    return false;
  request->copy_bytes = request->body_size;
  return true;
}

static void
call_handler (server_request_state_t *request)
{
  server_t *server = request->server;
  server_set_stage (request->connection, INTAKE_HELD);
  if (request->body)
    request->body[request->body_size] = '\0';
  request->public.body = request->body ? request->body : "";
  request->public.body_size = request->body_size;
  request->handler_called = true;
  server->n_open++;
  server->handler->request (server, &request->public, server->data);
}

/* libmicrohttpd calls this when the headers were read, for each piece of the
   body, when all was read, and after each resumption until a response is
   queued.  */
enum MHD_Result
server_access_handler (void *data, struct MHD_Connection *mhd, const char *url,
                       const char *method, const char *version,
                       const char *upload, size_t *upload_size, void **context)
{
  (void)data;
  (void)mhd;
  server_request_state_t *request = *context;
  if (!request)
    return MHD_NO;
  if (!request->public.method)
    {
      if (server_is_refused (request->connection))
        return server_answer_refused (request);
      request->no_chunks = strcmp (version, MHD_HTTP_VERSION_1_1) != 0;
      return start_body (request, method, url);
    }
  if (*upload_size)
    {
      size_t size = *upload_size;
      *upload_size = 0;
      return read_body (request, upload, size);
    }
  if (!request->handler_called && server_is_refused (request->connection))
    return server_answer_refused (request);
  if (request->body_excess)
    return refuse_body (request);
  if (!request->handler_called)
    {
      if (server_has_hung_up (request->connection))
        {
          request->server->n_left++;
          return MHD_NO;
        }
      if (!hold_copy (request))
        return server_answer_refused (request);
      call_handler (request);
    }
  if (request->response)
    {
      if (request->answered)
        server_free_body (request);
      struct MHD_Response *response = request->response;
      request->response = NULL;
      /* Without a reset, a stream that is broken off looks complete.  */
      if (server_ends_by_close (request))
        server_set_reset (request->connection, true);
      enum MHD_Result result
          = MHD_queue_response (mhd, (unsigned)request->status, response);
      MHD_destroy_response (response);
      return result;
    }
  if (request->gone || request->aborted)
    return MHD_NO;
  request->suspended = true;
  MHD_suspend_connection (mhd);
  return MHD_YES;
}

const char *
server_header (const server_request_t *request, const char *name)
{
  for (size_t i = 0; i < request->n_headers; i++)
    if (strcasecmp (request->headers[i].name, name) == 0)
      return request->headers[i].value;
  return NULL;
}
