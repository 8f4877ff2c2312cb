/* common-listener.h - a TCP server for tests, on a libev loop.

   It reads HTTP requests (headers, then Content-Length bytes) or raw bytes,
   and calls a function of the test, which answers them.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_LISTENER_H
#define KNAPWEEDFORK_TEST_COMMON_LISTENER_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef struct listener listener_t;

typedef struct
{
  ev_io io;
  listener_t *listener;
  int number;   /* of the connection on its listener, from 1 */
  int requests; /* HTTP requests read on this connection; with raw listeners
                   the test may count here */
  GString *in;  /* bytes received and not yet consumed */
  bool closing; /* to be closed after the callback returns */
  bool held;    /* nothing passes: the test must not write, either */
} connection_t;

/* A whole request arrived: REQUEST is its text.  With raw listeners, REQUEST
   is all bytes not yet consumed.  */
typedef void (*listener_fn_t) (connection_t *connection, const char *request,
                               void *data);

struct listener
{
  ev_io io;
  struct ev_loop *loop;
  char address[32]; /* "127.0.0.1:PORT" */
  int port;
  int backlog_fd; /* socket of the connection by which listener_block fills the
                     queue; 0: none */
  int accepted;   /* number of connections */
  int requests;   /* number of requests on all connections */
  int resets;     /* number of connections that the other side reset */
  bool raw;       /* call FN with the bytes as they arrive, and count no
                     requests */
  GPtrArray *open; /* of connection_t: the open connections */
  listener_fn_t fn;
  void *data;
  const struct cut *cut; /* common-cut.h; NULL: none */
};

listener_t *listener_start (struct ev_loop *loop, listener_fn_t fn,
                            void *data);
/* The same at PORT, where a listener ended before; at another port if PORT is
   0 or taken.  */
listener_t *listener_start_at (struct ev_loop *loop, int port,
                               listener_fn_t fn, void *data);
/* Closes the listener and its connections, and frees them.  */
void listener_stop (listener_t *listener);

/* Stops accepting and fills the queue of connections, so that further connects
   stay under way.  */
void listener_block (listener_t *listener);

void connection_write (connection_t *connection, const char *bytes,
                       size_t size);
void connection_print (connection_t *connection, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Answers with STATUS, BODY and a Content-Length.  */
void connection_reply (connection_t *connection, int status, const char *body);

/* Closes the connection after the callback returns.  */
void connection_close (connection_t *connection);

/* HELD: reads nothing from now on, until it is called again.  */
void connection_hold (connection_t *connection, bool held);

/* Ends the connection with a reset and frees it.  */
void connection_reset (connection_t *connection);

/* An address on 127.0.0.1 at which nothing listens.  */
const char *unused_address (void);

/* Runs LOOP until *COUNTER reaches WANTED, at most LIMIT_S seconds; returns
   whether it was reached.  */
bool run_until (struct ev_loop *loop, const int *counter, int wanted,
                double limit_s);

/* Runs LOOP for SECONDS.  */
void run_for (struct ev_loop *loop, double seconds);

#endif
