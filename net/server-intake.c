/* Memory that the HTTP server holds for its callers: charges, and the ends of
   connections for which there is no room.  */

#include "server-intake.h"

#include <errno.h>
#include <gnutls/gnutls.h>
#include <malloc.h>
#include <string.h>
#include <sys/socket.h>

#include <knapweedfork/clock.h>

#include "../lib/logging.h"

/* libmicrohttpd's memory for a connection is touched only as far as a head
   needs it, so larger ones are charged when a request line was read.  */
#define IDLE_BYTES ((size_t)32 << 10)
/* Of libmicrohttpd's and this server's structures for each connection.  */
#define CONNECTION_BYTES ((size_t)2 << 10)
/* Of GnuTLS for each session, with its buffers for a record each way.  */
#define TLS_BYTES ((size_t)48 << 10)

/* A refused caller has this time to read the refusal; what it sends meanwhile
   is read and discarded, because closing a connection with unread bytes may
   destroy the answer.  */
#define LINGER_NS KWF_NS_PER_S
#define LINGER_CHECK_S 0.25

#define LOG_NS KWF_NS_PER_S

/* With fewer free connections than this part, the one with the least progress
   makes way for each new one.  */
#define FREE_CONNECTIONS_PART 8

static int64_t
now_ns (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

static intake_t *
account (const server_connection_t *connection)
{
  return connection->server->options.intake;
}

static size_t
pool_bytes (const server_t *server)
{
  return server->options.max_header_bytes + ANSWER_HEAD_BYTES;
}

static void
free_body (server_request_state_t *request)
{
  g_free (request->body);
  request->body = NULL;
  request->body_capacity = request->body_size = 0;
}

/* Several lines a second would be written in a flood, so they are summed up.
 */
static void
log_refusal (server_t *server, intake_cause_t cause)
{
  const intake_counts_t *counts = intake_counts (server->options.intake);
  server->n_unlogged++;
  int64_t now = now_ns ();
  if (now < server->log_at_ns)
    return;
  logging_event (310, KWF_LOG_WARNING,
                 "%zu connections of callers refused or cut for memory, the "
                 "last as %s: %zu of %zu bytes held for %zu connections",
                 server->n_unlogged, intake_cause_name (cause),
                 counts->held_bytes,
                 intake_limit_bytes (server->options.intake), counts->entries);
  server->n_unlogged = 0;
  server->log_at_ns = now + LOG_NS;
}

/* This may run within libmicrohttpd, so only memory is freed here; see
   server_end_refused.  */
static void
refuse (server_connection_t *connection, intake_cause_t cause)
{
  server_t *server = connection->server;
  server_request_state_t *request = connection->request;
  if (request && !request->handler_called)
    free_body (request);
  else if (request)
    {
      /* Without this, libmicrohttpd would end the answer regularly.  */
      request->aborted = true;
      g_free (request->pending.bytes);
      request->pending = (pending_t){ 0 };
    }
  intake_release_request (server->options.intake, &connection->entry);
  connection->refused = true;
  connection->refused_for = cause;
  server->n_to_end++;
  server_schedule_run (server);
  log_refusal (server, cause);
}

static void
on_end (intake_entry_t *entry, intake_cause_t cause)
{
  refuse (entry->owner, cause);
}

intake_t *
server_intake_new (const intake_limits_t *limits)
{
  return intake_new (limits, on_end);
}

void
server_intake_open (server_connection_t *connection)
{
  server_t *server = connection->server;
  intake_t *intake = server->options.intake;
  server->n_connections++;
  if (!intake)
    return;
  unsigned limit = server->options.max_connections;
  if (server->n_connections > limit - limit / FREE_CONNECTIONS_PART)
    intake_end_idlest (intake, server, now_ns ());
  connection->entry.owner = connection;
  connection->entry.group = server;
  size_t base = CONNECTION_BYTES + MIN (pool_bytes (server), IDLE_BYTES)
                + (server->tls ? TLS_BYTES : 0);
  if (!intake_add (intake, &connection->entry, base, now_ns ()))
    refuse (connection, INTAKE_FULL);
}

void
server_intake_close (server_connection_t *connection)
{
  connection->server->n_connections--;
  if (account (connection))
    intake_remove (account (connection), &connection->entry);
}

bool
server_hold (server_connection_t *connection, size_t bytes)
{
  if (!account (connection)
      || intake_charge (account (connection), &connection->entry, bytes,
                        now_ns ()))
    return true;
  if (!connection->refused)
    refuse (connection, INTAKE_FULL);
  return false;
}

void
server_release (server_connection_t *connection, size_t bytes)
{
  if (account (connection) && !connection->refused)
    intake_release (account (connection), &connection->entry, bytes);
}

void
server_set_stage (server_connection_t *connection, intake_stage_t stage)
{
  if (!account (connection))
    return;
  if (stage == INTAKE_IDLE)
    intake_release_request (account (connection), &connection->entry);
  intake_set_stage (&connection->entry, stage, now_ns ());
  size_t pool = pool_bytes (connection->server);
  if (stage == INTAKE_HEAD && pool > IDLE_BYTES)
    server_hold (connection, pool - IDLE_BYTES);
}

void
server_progress (server_connection_t *connection, size_t bytes)
{
  if (account (connection))
    intake_progress (account (connection), &connection->entry, bytes,
                     now_ns ());
}

void
server_free_body (server_request_state_t *request)
{
  server_release (request->connection,
                  request->body_capacity + request->copy_bytes);
  request->copy_bytes = 0;
  free_body (request);
  request->public.body = "";
  request->public.body_size = 0;
}

bool
server_is_refused (const server_connection_t *connection)
{
  return connection->refused;
}

typedef struct
{
  int status;
  const char *reason;
  const char *code;
  const char *message;
} refusal_t;

/* Both promise that the request was not run.  */
static const refusal_t *
refusal_for (intake_cause_t cause)
{
  static const refusal_t slow
      = { MHD_HTTP_REQUEST_TIMEOUT, "Request Timeout", "request_timeout",
          "the request made no progress while memory is short" };
  static const refusal_t full
      = { MHD_HTTP_SERVICE_UNAVAILABLE, "Service Unavailable", "overloaded",
          "there is no memory for a request of this size now" };
  return cause == INTAKE_NO_PROGRESS ? &slow : &full;
}

enum MHD_Result
server_answer_refused (server_request_state_t *request)
{
  server_connection_t *connection = request->connection;
  if (connection->refusal_sent)
    return MHD_NO;
  const refusal_t *refusal = refusal_for (connection->refused_for);
  struct MHD_Response *response
      = server_refusal (refusal->code, refusal->message);
  if (!response)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, "1");
  connection->refusal_sent = true;
  enum MHD_Result result
      = MHD_queue_response (request->mhd, (unsigned)refusal->status, response);
  MHD_destroy_response (response);
  return result;
}

/* libmicrohttpd takes no answer while a body arrives, so this is written to
   the connection itself.  Nothing else was sent for this request, except
   perhaps "100 Continue".  What the kernel does not take at once is lost.  */
static void
send_refusal (const server_connection_t *connection)
{
  const refusal_t *refusal = refusal_for (connection->refused_for);
  char *body = server_refusal_body (refusal->code, refusal->message);
  char *text = g_strdup_printf (
      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\nConnection: close\r\nRetry-After: 1\r\n\r\n%s",
      refusal->status, refusal->reason, strlen (body), body);
  const union MHD_ConnectionInfo *info
      = connection->server->tls ? MHD_get_connection_info (
            connection->mhd, MHD_CONNECTION_INFO_GNUTLS_SESSION)
                                : NULL;
  if (info)
    gnutls_record_send (info->tls_session, text, strlen (text));
  else
    (void)send (connection->fd, text, strlen (text),
                MSG_NOSIGNAL | MSG_DONTWAIT);
  g_free (text);
  g_free (body);
}

static void
end_connection (server_connection_t *connection)
{
  server_request_state_t *request = connection->request;
  connection->ending = true;
  if (request && request->handler_called)
    server_reset_connection (request);
  else if (!request)
    server_shutdown_connection (connection);
  else if (!connection->refusal_sent)
    {
      connection->refusal_sent = true;
      send_refusal (connection);
      shutdown (connection->fd, SHUT_WR);
    }
}

void
server_end_refused (server_t *server)
{
  if (!server->n_to_end)
    return;
  server->n_to_end = 0;
  int64_t until_ns = now_ns () + LINGER_NS;
  for (server_connection_t *c = server->connections; c; c = c->next)
    if (c->refused && !c->ending)
      {
        c->close_at_ns = until_ns;
        end_connection (c);
      }
  if (!ev_is_active (&server->linger))
    ev_timer_again (server->loop, &server->linger);
}

static void
on_linger (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  server_t *server = watcher->data;
  bool lingers = false;
  int64_t now = now_ns ();
  for (server_connection_t *c = server->connections; c; c = c->next)
    if (c->ending)
      {
        lingers = true;
        if (now >= c->close_at_ns)
          server_shutdown_connection (c);
      }
  if (lingers)
    return;
  ev_timer_stop (loop, watcher);
  /* Small blocks of many requests leave free memory in the heap.  */
  malloc_trim (0);
}

void
server_intake_start (server_t *server)
{
  ev_timer_init (&server->linger, on_linger, 0., LINGER_CHECK_S);
  server->linger.data = server;
}

void
server_intake_stop (server_t *server)
{
  ev_timer_stop (server->loop, &server->linger);
}

void
server_intake_write_metrics (GString *out, const intake_t *intake)
{
  const intake_counts_t *counts = intake_counts (intake);
  g_string_append_printf (out,
                          "# TYPE kwf_intake_bytes gauge\n"
                          "kwf_intake_bytes %zu\n"
                          "# TYPE kwf_intake_peak_bytes gauge\n"
                          "kwf_intake_peak_bytes %zu\n"
                          "# TYPE kwf_intake_limit_bytes gauge\n"
                          "kwf_intake_limit_bytes %zu\n"
                          "# TYPE kwf_intake_connections gauge\n"
                          "kwf_intake_connections %zu\n"
                          "# TYPE kwf_intake_ended_total counter\n",
                          counts->held_bytes, counts->peak_bytes,
                          intake_limit_bytes (intake), counts->entries);
  for (int i = 0; i < N_INTAKE_CAUSES; i++)
    g_string_append_printf (out,
                            "kwf_intake_ended_total{cause=\"%s\"} "
                            "%" G_GUINT64_FORMAT "\n",
                            intake_cause_name ((intake_cause_t)i),
                            counts->ended[i]);
}
