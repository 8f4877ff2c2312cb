/* server.h - HTTP server on libmicrohttpd, driven by a libev loop.

   One server is one listener.  A request is read completely, within the
   limits, before the handler is called.  It is answered by the handler or at
   any later time, at once or in parts; until then its connection is suspended
   and costs no processor time.  All functions must be called on the loop's
   thread.  */

#ifndef KNAPWEEDFORK_NET_SERVER_H
#define KNAPWEEDFORK_NET_SERVER_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/handle.h>
#include <knapweedfork/status.h>

#include "../lib/intake/intake.h"

typedef struct server server_t;

typedef struct
{
  const char *address;         /* "IP:PORT"; port 0: any free port */
  size_t max_header_bytes;     /* limit of the request line and headers;
                                  default 16 KiB */
  size_t max_body_bytes;       /* limit of a body, beyond it the answer is 413;
                                  default 4 MiB */
  unsigned idle_s;             /* time-out of a connection without progress,
                                  default 30; a request must be read within
                                  twice that time */
  unsigned max_connections;    /* default 4096 */
  size_t max_pending_bytes;    /* limit of stream bytes that the caller has not
                                  read, beside the largest write of that stream
                                  if it exceeds the limit; beyond them the
                                  connection is reset; default 1 MiB */
  const char *tls_certificate; /* PEM text; NULL: no TLS */
  const char *tls_key;         /* PEM text */
  intake_t *intake;            /* account of memory, shared by servers, made
                                  by server_intake_new; NULL: none.  It must
                                  outlive the server.  */
} server_options_t;

/* The account of memory for servers.  When it is full, requests that arrive
   without progress are answered with 408, and the largest with 503, before
   their handler is called, and connections whose callers do not read are
   reset.  Release it with intake_free.  */
intake_t *server_intake_new (const intake_limits_t *limits);
void server_intake_write_metrics (GString *out, const intake_t *intake);

typedef struct
{
  const char *name;
  const char *value;
} header_t;

/* A request that was read.  The strings live until it is answered or its
   caller closed.  */
typedef struct
{
  kwf_handle_t handle;
  const char *method;
  const char *path;     /* without the query, percent-decoded */
  const char *raw_path; /* as sent, without the query */
  const char *query;    /* as sent, without '?'; empty: none */
  const header_t *headers;
  size_t n_headers;
  const char *body; /* followed by a zero byte */
  size_t body_size;
  const char *remote; /* IP address of the caller */
} server_request_t;

typedef struct
{
  /* A request was read completely; it is answered now or later.  */
  void (*request) (server_t *server, const server_request_t *request,
                   void *data);
  /* The caller closed before the answer was complete; the handle is not valid
     any more.  May be NULL.  */
  void (*gone) (server_t *server, kwf_handle_t request, void *data);
} server_handler_t;

/* Starts listening.  Returns NULL and fills ERROR on failure.  */
server_t *server_start (struct ev_loop *loop, const server_options_t *options,
                        const server_handler_t *handler, void *data,
                        kwf_error_t *error);

/* Uses another certificate from the next handshake on.  CERTIFICATE and KEY
   are PEM texts; the server must have been started with TLS.  KWF_INVALID:
   nothing changed.  */
kwf_status_t server_set_certificate (server_t *server, const char *certificate,
                                     const char *key, kwf_error_t *error);

/* From now on, answers tell callers to close their connections.  */
void server_close_after_answers (server_t *server);

/* Stops accepting connections; open ones go on, and are closed after their
   next answer.  */
void server_quiesce (server_t *server);

/* Closes all connections and frees SERVER.  NULL: does nothing.  */
void server_stop (server_t *server);

/* The port of the listener, also when port 0 was given.  */
int server_port (const server_t *server);

/* Number of requests that were passed to the handler and are not yet answered
   completely.  */
size_t server_open_requests (const server_t *server);

/* Number of requests that were not passed to the handler, because their
   callers had left before they were read.  */
uint64_t server_left_requests (const server_t *server);

/* Whether the caller of REQUEST has left; gone() may not have been called
   yet.  */
bool server_caller_left (const server_t *server, kwf_handle_t request);

/* The request of HANDLE; NULL: it is answered or its caller closed.  */
const server_request_t *server_request (const server_t *server,
                                        kwf_handle_t request);

/* Value of the first header NAME, without regard to case; NULL: none.  */
const char *server_header (const server_request_t *request, const char *name);

/* Sends the whole answer.  BODY is copied.  CONTENT_TYPE and HEADERS may be
   NULL.  Does nothing when the caller closed; when the request is answered,
   nothing is sent, and when its answer has begun, that is broken off as by
   server_abort; both are logged.  */
void server_reply (server_t *server, kwf_handle_t request, int status,
                   const char *content_type, const header_t *headers,
                   size_t n_headers, const void *body, size_t body_size);

/* Whether an answer to REQUEST can have headers of SIZE bytes, each with ": "
   and its line end, beside Content-Type and X-Request-Id.  Else the connection
   would close without a byte of the answer.  */
bool server_head_fits (const server_t *server, kwf_handle_t request,
                       size_t size);

/* What marks the end of an answer in parts.  */
typedef enum
{
  SERVER_END_CHUNKS, /* its last chunk; for a caller of HTTP/1.0, who knows
                        none, the end of the connection */
  SERVER_END_CLOSE   /* the end of the connection */
} server_end_t;

/* Answers in parts: server_begin, any number of server_write, server_end.
   CONTENT_TYPE NULL: none is sent.  Each does nothing when the caller closed,
   or, which is logged, when the request is answered, and server_write and
   server_end also before server_begin.  A write beyond max_pending_bytes
   resets the connection, which no caller takes for the end of an answer.
   server_abort closes the connection without the
   regular end of an answer, so that the caller sees that it is incomplete:
   without the last chunk or, for a caller who gets no chunks, with a reset.
   The reset drops what the kernel has not sent yet.  It also follows when this
   process is killed.  */
void server_begin (server_t *server, kwf_handle_t request, int status,
                   const char *content_type, const header_t *headers,
                   size_t n_headers, server_end_t end);
void server_write (server_t *server, kwf_handle_t request, const void *bytes,
                   size_t size);
void server_end (server_t *server, kwf_handle_t request);
void server_abort (server_t *server, kwf_handle_t request);

#endif
