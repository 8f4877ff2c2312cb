/* client-internal.h - shared by client.c and client-socket.c.  */

#ifndef KNAPWEEDFORK_NET_CLIENT_INTERNAL_H
#define KNAPWEEDFORK_NET_CLIENT_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "client.h"

typedef struct transfer client_transfer_t;

/* A pooled easy handle with the buffers that belong to it.  */
typedef struct
{
  CURL *curl;
  client_transfer_t *transfer; /* NULL while in the pool */
  GString *received;           /* body bytes not yet given to the handler */
  curl_socket_t fd;            /* of the transfer; CURL_SOCKET_BAD: none yet */
  char error[CURL_ERROR_SIZE];
} client_easy_t;

struct transfer
{
  client_t *client;
  kwf_handle_t handle;
  const client_handler_t *handler;
  void *data;
  client_easy_t *easy; /* NULL for an invalid request */
  char *body;
  struct curl_slist *headers;
  ev_timer limit;
  char address[64];
  char *echo_name; /* NULL: none is asked for */
  char *echo_value;
  bool echoed;
  bool mismatched;         /* the answer is one to another request */
  bool head_delivered;     /* head() was called */
  bool first_byte_limited; /* LIMIT also bounds the time to the first byte */
  bool head_complete;      /* all headers of the final answer are there */
  bool allow_close_delimited;
  bool new_connection;
  bool head;
  bool sent;     /* the request was put on a connection */
  bool withheld; /* by may_send() */
  bool oversized;
  bool finished; /* code is valid */
  bool queued;   /* in client->ready */
  CURLcode code;
  size_t header_bytes;
  size_t body_bytes;
  size_t max_answer_bytes;
  size_t progress;     /* header and body bytes at the last read */
  unsigned idle_reads; /* reads since then that brought neither */
};

struct client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  ev_timer deliver; /* runs when ready has entries from outside curl */
  client_options_t options;
  client_counts_t counts;
  size_t total_bytes;     /* of the bodies of open transfers */
  kwf_slots_t *transfers; /* of client_transfer_t */
  GArray *ready;          /* kwf_handle_t with something to deliver */
  GPtrArray *pool;        /* of client_easy_t */
  GPtrArray *sockets;     /* of socket_t by descriptor */
};

/* Connect the multi handle of CLIENT to the loop.  */
void client_sockets_start (client_t *client);
void client_sockets_stop (client_t *client);

/* Set the callbacks that open and close sockets.  */
void client_sockets_attach (client_t *client, client_easy_t *easy);

/* The transfer of EASY has ended; its socket may be kept.  */
void client_sockets_release (client_t *client, client_easy_t *easy);

/* The socket of TRANSFER was read.  */
void client_check_progress (client_transfer_t *transfer);

/* Let the end of connection FD reset it: bytes that wait for a link to come
   back are not delivered after the transfer was given up.  */
void client_reset_on_close (curl_socket_t fd);

/* Called after each run of libcurl: hand out what it produced.  */
void client_deliver (client_t *client);

/* Whether REQUEST can be sent: no bytes that would end a line, a numeric
   address, a target that is a path.  */
bool client_request_is_valid (const client_request_t *request);

/* Set all options of TRANSFER's easy handle that depend on REQUEST.  */
void client_request_set (client_transfer_t *transfer,
                         const client_request_t *request);

#endif
