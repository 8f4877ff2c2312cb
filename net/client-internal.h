/* client-internal.h - shared by client.c, client-head.c, client-request.c and
   client-socket.c.  */

#ifndef KNAPWEEDFORK_NET_CLIENT_INTERNAL_H
#define KNAPWEEDFORK_NET_CLIENT_INTERNAL_H

#include <curl/curl.h>
#include <glib.h>

#include "client.h"

typedef struct client_transfer client_transfer_t;

enum
{
  HTTP_OTHER_PROTOCOL = 101,
  HTTP_FINAL = 200, /* statuses below are of interim answers, except 101 */
  HTTP_NO_CONTENT = 204,
  HTTP_NOT_MODIFIED = 304
};

/* The head of an answer, as far as it was read.  */
typedef struct
{
  unsigned lines;  /* with the status line */
  char length[24]; /* Content-Length; empty: none */
  bool chunks;
  bool closes;       /* Connection: close, or HTTP/1.0 */
  int64_t idle_s;    /* Keep-Alive: timeout; 0: not named */
  bool has_id;       /* the expected header, with the right value */
  bool has_other_id; /* the same with another value */
  bool has_stamp;    /* the header of a success, not empty */
  bool invalid;      /* a line is neither a status line nor a header, or two
                        contradict each other */
  bool ended;        /* all headers of the final answer have arrived */
  bool good;         /* and the answer may be used so far (whole.h) */
} client_head_t;

/* A libcurl easy handle with the buffers that belong to it, pooled for
   reuse.  */
typedef struct
{
  CURL *curl;
  client_transfer_t *transfer; /* NULL while in the pool */
  GString *received;           /* body bytes not yet passed to the handler */
  curl_socket_t fd; /* socket of the transfer; CURL_SOCKET_BAD: none yet */
  char error[CURL_ERROR_SIZE];
} client_easy_t;

struct client_transfer
{
  client_t *client;
  kwf_handle_t handle;
  const client_handler_t *handler;
  void *data;
  client_easy_t *easy; /* NULL: the request is not valid */
  char *body;
  struct curl_slist *headers;
  ev_timer limit_timer;
  char address[64];
  char *expected_name; /* header that the answer must repeat; NULL: none */
  char *expected_value;
  char *success_header; /* header that a success must bear; NULL: none */
  client_head_t head;
  bool head_delivered;     /* the handler's head() was called */
  bool first_byte_limited; /* LIMIT_TIMER: to the first byte, not to sending */
  bool allow_close_delimited;
  bool new_connection;
  bool is_head;  /* the method is HEAD */
  bool sent;     /* the request was passed to a connection */
  bool withheld; /* the handler's may_send() returned false */
  bool oversized;
  bool finished; /* the transfer has ended; code is valid */
  bool queued;   /* listed in client->handler_queue */
  bool reset;    /* its connection was reset when it was closed */
  CURLcode code;
  size_t header_bytes;
  size_t body_bytes;
  size_t max_answer_bytes;
  size_t progress;    /* header and body bytes at the last read */
  uint64_t idle_from; /* bytes that the socket had received at the first read
                         since then; 0: the last read brought either */
};

struct client
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  ev_timer deliver; /* runs client_deliver for entries of handler_queue that
                       were added outside libcurl's callbacks */
  client_options_t options;
  client_counts_t counts;
  size_t total_bytes;     /* body bytes of all open transfers */
  kwf_slots_t *transfers; /* of struct client_transfer */
  GArray *handler_queue;  /* of kwf_handle_t: transfers whose handlers
                             must be called */
  GPtrArray *pool;        /* of client_easy_t: handles not in use */
  GPtrArray *sockets;     /* of socket_t, indexed by descriptor */
  GString *value;         /* buffer for the value of a header */
};

/* Reads one line of the headers of TRANSFER's answer.  False: the head has
   ended, and nothing of the answer may be used.  */
bool client_head_add (client_transfer_t *transfer, const char *bytes,
                      size_t size);

/* Whether only the end of the connection marks the end of TRANSFER's answer,
   whose head has ended.  */
bool client_ends_by_close (const client_transfer_t *transfer);

/* Judges the answer of TRANSFER, which has ended; logs and counts what it
   lacks, and ends that only the connection marks.  */
whole_t client_judge (client_transfer_t *transfer);

/* Connects the multi handle of CLIENT to the event loop.  */
void client_sockets_start (client_t *client);
void client_sockets_stop (client_t *client);

/* Shuts down the idle connections to ADDRESS that are not recent any more
   (client_request_t.recent_connection), so that libcurl does not choose
   one.  */
void client_sockets_retire (client_t *client, const char *address);

/* Time for which a connection stays recent after the answer that HEAD
   begins.  */
int64_t client_head_kept_ns (const client_head_t *head);

/* Sets the callbacks of libcurl that open and close sockets.  */
void client_sockets_attach (client_t *client, client_easy_t *easy);

/* Called when the transfer of EASY has ended; libcurl may keep its connection
   for reuse.  */
void client_sockets_release (client_t *client, client_easy_t *easy);

/* Ends TRANSFER with KWF_FAIL_OVERSIZED; the caller runs client_deliver.  */
void client_end_oversized (client_transfer_t *transfer);

/* Makes the close of connection FD reset it (RST).  Otherwise the kernel could
   still deliver unsent bytes when the network recovers, after the transfer was
   given up.  */
void client_reset_on_close (curl_socket_t fd);

/* Calls the handlers of all transfers that have data, a head or a result for
   them.  Run after each call to libcurl.  */
void client_deliver (client_t *client);

/* Whether the SIZE bytes of TEXT are a token, such as the name of a method or
   of a header (RFC 9110).  */
bool client_is_token (const char *text, size_t size);

/* Whether REQUEST can be sent: its method and header names are tokens, its
   address is numeric, its target is a path, and no text has bytes that would
   end the request line or a header.  */
bool client_request_is_valid (const client_request_t *request);

/* Copies REQUEST into TRANSFER and sets all options of its easy handle that
   depend on REQUEST.  */
void client_transfer_set_request (client_transfer_t *transfer,
                                  const client_request_t *request);

#endif
