/* client.h - HTTP client on libcurl's multi interface and a libev loop.

   Connections are kept and reused for each address, but never after a
   transfer that ended unclean, timed out or was cancelled.  Callbacks are
   made from the loop, never from within client_start or client_cancel.  */

#ifndef KNAPWEEDFORK_NET_CLIENT_H
#define KNAPWEEDFORK_NET_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/event.h>
#include <knapweedfork/handle.h>
#include <knapweedfork/status.h>

#include "server.h"

typedef struct client client_t;

typedef struct
{
  unsigned connect_ms;      /* default 1000 */
  size_t max_answer_bytes;  /* body of an answer; default 8 MiB */
  size_t max_total_bytes;   /* bodies of all answers under way; beyond it
                               large ones are ended; default 64 MiB */
  unsigned max_connections; /* for each address; 0: no bound */
} client_options_t;

/* What the client has seen since its start.  */
typedef struct
{
  uint64_t oversized; /* answers that were larger than a limit */
} client_counts_t;

client_t *client_new (struct ev_loop *loop, const client_options_t *options);
void client_free (client_t *client);

typedef struct
{
  int status;
  const char *content_type; /* NULL when none */
  const char *body;         /* followed by a zero byte; only what was not yet
                               passed to data() */
  size_t body_size;
  const header_t *headers; /* in the order received, trailers left out */
  size_t n_headers;
} client_answer_t;

typedef struct
{
  /* The request is about to be written to a connection; false: it is not, and
     the transfer fails with KWF_FAIL_WITHHELD.  To look only: no transfer may
     be started or cancelled.  NULL: it always is.  */
  bool (*may_send) (void *data);
  /* The head of the answer arrived; may be NULL.  Called once, as soon as it
     is there, before data(), done() and, if it came, failed().  The body is
     empty.  */
  void (*head) (void *data, kwf_handle_t transfer,
                const client_answer_t *answer);
  /* Streaming: bytes arrived.  NULL: the body is collected.  STATUS is the
     HTTP status of the answer.  */
  void (*data) (void *data, kwf_handle_t transfer, int status,
                const char *content_type, const char *bytes, size_t size);
  /* The answer is complete.  The transfer is void afterwards.  */
  void (*done) (void *data, kwf_handle_t transfer,
                const client_answer_t *answer);
  /* No complete answer.  The transfer is void afterwards.  */
  void (*failed) (void *data, kwf_handle_t transfer, kwf_failure_t failure,
                  const kwf_error_t *error);
} client_handler_t;

typedef struct
{
  const char *method;
  const char *address; /* "IP:PORT" */
  const char *target;  /* path and query */
  const header_t *headers;
  size_t n_headers;
  const void *body; /* copied; NULL: none */
  size_t body_size;
  int64_t timeout_ns;      /* for the whole transfer; 0: none */
  int64_t first_byte_ns;   /* less, to the first byte of the answer; 0: none */
  size_t max_answer_bytes; /* 0: that of the client */
  /* A header that the answer must have with this value, else the answer is
     one to another request: the transfer fails with KWF_FAIL_BROKEN and its
     connection is closed.  NULL: none.  */
  const header_t *echo;
  bool allow_close_delimited; /* an answer without a length ends with a regular
                      end of the connection */
  bool new_connection; /* never on a kept connection, which the server may be
                 closing: for requests that may not be repeated */
} client_request_t;

/* Start a transfer.  HANDLER must outlive it.  A request is sent at most
   once.  KWF_FAIL_REFUSED, KWF_FAIL_CONNECT and KWF_FAIL_WITHHELD mean that
   no byte of it was sent; an invalid request fails with KWF_FAIL_CONNECT.  An
   answer that ends with the connection, without a length of its own, fails
   with KWF_FAIL_BROKEN, because it can't be told from one that was cut short.
   Connection, Content-Length, Expect, Keep-Alive, TE, Trailer,
   Transfer-Encoding and Upgrade in HEADERS are left out: they belong to
   the connection.  With data(), all bytes are passed to it before done()
   or failed().  */
kwf_handle_t client_start (client_t *client, const client_request_t *request,
                           const client_handler_t *handler, void *data);

/* Close the transfer's connection.  No callback follows.  */
void client_cancel (client_t *client, kwf_handle_t transfer);

size_t client_open_transfers (const client_t *client);

const client_counts_t *client_counts (const client_t *client);

#endif
