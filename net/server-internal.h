/* server-internal.h - shared by server.c, server-request.c and
   server-answer.c.  */

#ifndef KNAPWEEDFORK_NET_SERVER_INTERNAL_H
#define KNAPWEEDFORK_NET_SERVER_INTERNAL_H

#include <microhttpd.h>

#include "server.h"
#include "tls.h"

/* Added to max_header_bytes for the status line and headers of an answer, in
   the memory that libmicrohttpd gives a connection.  */
#define ANSWER_HEAD_BYTES 8192

typedef struct server_connection server_connection_t;

/* Bytes of a streamed answer that libmicrohttpd has not taken yet.  */
typedef struct
{
  char *bytes;
  size_t start;
  size_t end;
  size_t capacity;
  size_t largest; /* write beyond max_pending_bytes; 0: none was */
} pending_t;

typedef struct
{
  server_request_t public; /* passed to the handler; must be the first
                              member */
  server_t *server;
  server_connection_t *connection;
  struct MHD_Connection *mhd;
  struct MHD_Response *response; /* made, not yet queued in libmicrohttpd */
  int status;
  char *target; /* the raw path, a zero byte, the query */
  char *body;
  size_t body_size;
  size_t body_capacity;
  size_t body_limit;  /* no more is expected: what was announced or is allowed
                       */
  size_t body_excess; /* bytes over the limit or refused, discarded */
  size_t copy_bytes;  /* held for the copy that is sent to a server */
  pending_t pending;
  bool handler_called; /* the handler's request() was called */
  bool answered;       /* server_reply, server_end or server_abort was called;
                          bytes may still be pending */
  bool streaming;      /* server_begin was called */
  bool no_chunks; /* HTTP/1.0, or so begun: the end of a stream is that of its
                     connection */
  bool aborted;
  bool gone; /* the caller closed, or its connection was reset */
  bool suspended;
} server_request_state_t;

/* An accepted connection.  */
struct server_connection
{
  server_connection_t *next;
  server_connection_t *previous;
  server_t *server;
  server_request_state_t *request;
  struct MHD_Connection *mhd;
  int fd;
  intake_entry_t entry;
  intake_cause_t refused_for;
  bool refused; /* for memory, before the handler was called, or its
                   answer is broken off */
  bool refusal_sent;
  bool ending;         /* server_end_refused has begun to close it */
  int64_t close_at_ns; /* ending: when it is closed at the latest */
  bool before_request; /* TLS: no request line was read on it */
  bool hung_up;
  int64_t opened_ns;
  int64_t since_ns; /* when it was opened, the last request line was read or
                       the last answer ended */
  char remote[64];
};

struct server
{
  struct ev_loop *loop;
  const server_handler_t *handler;
  void *data;
  server_options_t options;
  struct MHD_Daemon *daemon;
  tls_t *tls;            /* NULL: no TLS */
  kwf_slots_t *requests; /* of server_request_state_t */
  server_connection_t *connections;
  size_t n_open;
  size_t n_connections;
  size_t n_to_end;   /* connections refused since server_end_refused */
  size_t n_unlogged; /* refused since the last line of the log */
  int64_t log_at_ns; /* no line before that */
  int port;
  int hangup_fd;   /* epoll set that reports connections that callers closed */
  int64_t turn_ns; /* when the turn of the loop began */
  uint64_t n_left; /* requests that were not handed on, since their callers had
                      left before they were read */
  bool run_pending; /* MHD_run is due before the loop waits */
  bool closing;     /* each connection is closed after its next answer */
  bool quiesced;    /* server_quiesce was called: no new connections */
  bool stopping;
  ev_io mhd_io;
  ev_io hangup_io;
  ev_timer timeout;
  ev_timer read_check; /* closes connections whose request arrives too
                          slowly */
  ev_timer linger;     /* active while refused connections are open */
  ev_prepare prepare;
  ev_check turn;
  ev_idle idle; /* active while run_pending, so that the loop does not wait */
};

/* Makes the loop call MHD_run once before it waits again.  */
void server_schedule_run (server_t *server);

/* Shuts the connection down: reads nothing more and sends only what the kernel
   already has.  */
void server_shutdown_connection (server_connection_t *connection);

/* RESET: from now on, a close of the connection resets it and drops unsent
   bytes, also when this process ends.  False: it closes regularly.  */
void server_set_reset (const server_connection_t *connection, bool reset);
/* Resets CONNECTION at once.  */
void server_dissolve_connection (const server_connection_t *connection);
/* Whether the end of the connection is the end of REQUEST's answer.  */
bool server_ends_by_close (const server_request_state_t *request);

/* Closes the connection with a reset and drops unsent bytes.  */
void server_reset_connection (server_request_state_t *request);

/* Lets libmicrohttpd go on with a request whose connection it had
   suspended.  */
void server_resume (server_request_state_t *request);

/* Makes the error response to a request that is refused before the handler is
   called.  NULL: out of memory.  */
struct MHD_Response *server_refusal (const char *code, const char *message);
/* Its body; release with g_free.  */
char *server_refusal_body (const char *code, const char *message);

/* Whether the caller has closed the connection, also if that was not read yet:
   libmicrohttpd may accept a connection and read a request from it in one
   call, and a turn of the loop may be held up.  */
bool server_has_hung_up (server_connection_t *connection);

/* Calls the handler's gone(), at most once, when the caller closed before the
   answer was complete.  */
void server_report_gone (server_request_state_t *request);

void server_free_request (server_request_state_t *request);

/* Callbacks of libmicrohttpd.  */
void *server_start_request (void *data, const char *uri,
                            struct MHD_Connection *mhd);
void server_request_completed (void *data, struct MHD_Connection *mhd,
                               void **context,
                               enum MHD_RequestTerminationCode code);
enum MHD_Result server_access_handler (void *data, struct MHD_Connection *mhd,
                                       const char *url, const char *method,
                                       const char *version, const char *upload,
                                       size_t *upload_size, void **context);

#endif
