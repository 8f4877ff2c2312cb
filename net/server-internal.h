/* server-internal.h - shared by server.c and server-answer.c.  */

#ifndef KNAPWEEDFORK_NET_SERVER_INTERNAL_H
#define KNAPWEEDFORK_NET_SERVER_INTERNAL_H

#include <microhttpd.h>

#include "server.h"
#include "tls.h"

typedef struct connection server_connection_t;

/* Stream bytes that libmicrohttpd has not taken yet.  */
typedef struct
{
  char *bytes;
  size_t start;
  size_t end;
  size_t capacity;
} pending_t;

typedef struct
{
  server_request_t public; /* first member: handed to the handler */
  server_t *server;
  server_connection_t *connection;
  struct MHD_Connection *mhd;
  struct MHD_Response *response; /* made, not yet queued */
  int status;
  char *target; /* raw path, zero byte, query */
  char *body;
  size_t body_size;
  size_t body_capacity;
  size_t body_excess; /* bytes over the limit, discarded */
  pending_t pending;
  bool handler_called; /* the handler was called */
  bool answered;       /* reply, end or abort was called */
  bool streaming;      /* begin was called */
  bool aborted;
  bool gone; /* the caller closed, or was cut off */
  bool suspended;
} server_request_state_t;

/* One accepted connection.  */
struct connection
{
  server_connection_t *next;
  server_connection_t *previous;
  server_t *server;
  server_request_state_t *request;
  struct MHD_Connection *mhd;
  int fd;
  bool hung_up;
  int64_t since_ns; /* opened, request line read, or answer ended */
  char remote[64];
};

struct server
{
  struct ev_loop *loop;
  const server_handler_t *handler;
  void *data;
  server_options_t options;
  struct MHD_Daemon *daemon;
  tls_t *tls;            /* NULL: none */
  kwf_slots_t *requests; /* of server_request_state_t */
  server_connection_t *connections;
  size_t n_open;
  int port;
  int hangup_fd;    /* epoll set that reports callers that closed */
  bool run_pending; /* MHD_run is due in this iteration */
  bool quiesced;    /* no longer accepting */
  bool stopping;
  ev_io mhd_io;
  ev_io hangup_io;
  ev_timer timeout;
  ev_timer sweep;
  ev_prepare prepare;
  ev_idle idle; /* active while dirty: keeps the loop from blocking */
};

/* Ask for one MHD_run before the loop blocks again.  */
void server_schedule_run (server_t *server);

/* Take nothing more from the connection and end it once what is answered has
   been passed to the kernel.  */
void server_shutdown_connection (server_connection_t *connection);

/* Close the connection at once, dropping what is unsent.  */
void server_reset_connection (server_request_state_t *request);

/* Let libmicrohttpd go on with a suspended request.  */
void server_resume (server_request_state_t *request);

/* Make the response to a request that was refused while it was read.  */
struct MHD_Response *server_refusal (const char *code, const char *message);

/* Tell the handler, once, that the caller closed.  */
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
