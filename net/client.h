/* client.h - HTTP/1.1 client on libcurl's multi interface and a libev loop.

   Connections are kept for each address and reused, except after a transfer
   that failed, timed out or was cancelled.  Callbacks run from the loop, never
   from within client_start or client_cancel.  */

#ifndef KNAPWEEDFORK_NET_CLIENT_H
#define KNAPWEEDFORK_NET_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/clock.h>
#include <knapweedfork/event.h>
#include <knapweedfork/handle.h>
#include <knapweedfork/status.h>

#include "server.h"
#include "whole.h"

typedef struct client client_t;

/* Idle time within which a server that names none is not expected to close a
   connection.  */
#define CLIENT_IDLE_NS (500 * KWF_NS_PER_MS)

typedef struct
{
  unsigned connect_ms;      /* time to connect; default 1000 */
  size_t max_answer_bytes;  /* limit of one answer's body; default 8 MiB */
  size_t max_total_bytes;   /* limit of the bodies of all open transfers
                               together; while it is exceeded, transfers with
                               more than their share of it, at most 256 KiB,
                               are ended; default 64 MiB */
  unsigned max_connections; /* to each address; 0: no limit */
} client_options_t;

/* Counters since client_new.  */
typedef struct
{
  uint64_t oversized;          /* answers that exceeded a limit */
  uint64_t not_whole[N_WHOLE]; /* answers of each kind */
  uint64_t by_close;           /* whole answers whose end only the end of the
                                  connection marked */
} client_counts_t;

/* OPTIONS NULL: defaults.  Returns NULL when libcurl cannot be initialised. */
client_t *client_new (struct ev_loop *loop, const client_options_t *options);
void client_free (client_t *client);

typedef struct
{
  int status;
  const char *content_type; /* NULL: none */
  const char *body;         /* followed by a zero byte; without the bytes that
                               were passed to data() */
  size_t body_size;
  const header_t *headers; /* in the order received, without trailers */
  size_t n_headers;
  bool by_close; /* neither a length, chunks nor the status mark the end of the
                    body, so a server that ended looks like one that was
                    done */
  int64_t kept_ns; /* time for which a request with recent_connection may be
                      sent on its connection; 0: it is not kept */
} client_answer_t;

typedef struct
{
  /* Called just before the request is written to a connection.  False: it is
     not written, and the transfer fails with KWF_FAIL_NOT_SENT.  Must not
     start or cancel transfers.  NULL: always true.  */
  bool (*may_send) (void *data);
  /* The status line and all headers of the answer arrived.  Called once, as
     early as possible, before data() and done(), but not for a head of which
     nothing may be used (whole.h); then failed() follows.  ANSWER has no body.
     May be NULL.  */
  void (*head) (void *data, kwf_handle_t transfer,
                const client_answer_t *answer);
  /* Body bytes arrived; STATUS is the HTTP status.  All bytes are passed
     before done() or failed() is called.  NULL: the body is collected for
     done().  */
  void (*data) (void *data, kwf_handle_t transfer, int status,
                const char *content_type, const char *bytes, size_t size);
  /* Whether the body that was passed to data() may end here.  DELIMITED: the
     server marked the end, by a length or chunks.  False: the transfer fails.
     NULL: always true.  */
  bool (*may_end) (void *data, bool delimited);
  /* The answer is complete.  TRANSFER is not valid any more afterwards.  */
  void (*done) (void *data, kwf_handle_t transfer,
                const client_answer_t *answer);
  /* The transfer ended without a complete answer.  TRANSFER is not valid any
     more afterwards.  */
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
  int64_t timeout_ns;      /* limit of the whole transfer; 0: none */
  int64_t first_byte_ns;   /* limit of the time to the first byte of the
                              answer; 0: none */
  size_t max_answer_bytes; /* 0: that of the client */
  /* Header that the answer must have with this value, before its body.
     Otherwise the answer belongs to another request: the transfer fails with
     KWF_FAIL_BROKEN before head() or data() is called, and its connection is
     closed.  NULL: no check.  */
  const header_t *expected_header;
  /* Name of a header that a success (2xx) must bear, or the transfer fails in
     the same way; NULL: none.  */
  const char *success_header;
  bool allow_close_delimited; /* accept an answer without a length whose end is
                      the end of its connection */
  bool new_connection; /* never send it on a kept connection, which the server
                 may be closing: for requests that must not be sent twice */
  bool recent_connection; /* send it on a kept connection only if that was idle
                 for less than half of the time that its server named, or
                 CLIENT_IDLE_NS: for requests that must not be sent twice */
  bool own_connection; /* send it on a new connection that is closed after the
                 answer, so that no other answer can be taken for it: for
                 requests whose answers do not say whose they are */
} client_request_t;

/* Starts one transfer of CLIENT; HANDLER must outlive it.  The request is sent
   at most once: libcurl's own retries are suppressed.

   After KWF_FAIL_REFUSED, KWF_FAIL_CONNECT and KWF_FAIL_NOT_SENT no byte of
   the request was sent.  An invalid request fails with KWF_FAIL_CONNECT.  An
   answer without a length that ends with its connection fails with
   KWF_FAIL_BROKEN, because it could have been cut short; see
   allow_close_delimited.

   Connection, Content-Length, Expect, Keep-Alive, TE, Trailer,
   Transfer-Encoding and Upgrade in HEADERS are left out, because they belong
   to one connection.  */
kwf_handle_t client_start (client_t *client, const client_request_t *request,
                           const client_handler_t *handler, void *data);

/* Ends TRANSFER and closes its connection.  No callback follows.  */
void client_cancel (client_t *client, kwf_handle_t transfer);

size_t client_open_transfers (const client_t *client);

const client_counts_t *client_counts (const client_t *client);

#endif
