/* common-listener.h - a scripted TCP server for tests, on a libev loop.

   It reads HTTP requests (header, then Content-Length bytes) or raw bytes
   and lets the test decide what to answer.  */

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
  int number;   /* of the connection, from 1 */
  int requests; /* read on this connection */
  GString *in;  /* bytes not yet consumed */
  bool closing; /* closed after the callback returns */
} connection_t;

/* A whole request arrived: REQUEST is its text.  */
typedef void (*listener_fn_t) (connection_t *connection, const char *request,
                               void *data);

struct listener
{
  ev_io io;
  struct ev_loop *loop;
  char address[32]; /* "127.0.0.1:PORT" */
  int port;
  int filler;      /* connection of listener_block; 0: none */
  int accepted;    /* connections */
  int requests;    /* on all connections */
  int resets;      /* connections that the other side reset */
  bool raw;        /* give all bytes to FN at once and count them not */
  GPtrArray *open; /* of connection_t */
  listener_fn_t fn;
  void *data;
};

listener_t *listener_start (struct ev_loop *loop, listener_fn_t fn,
                            void *data);
void listener_stop (listener_t *listener);

/* Accept nothing more and fill the queue, so that connects stay under way. */
void listener_block (listener_t *listener);

void connection_write (connection_t *connection, const char *bytes,
                       size_t size);
void connection_print (connection_t *connection, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Answer 200 with BODY and a Content-Length.  */
void connection_reply (connection_t *connection, int status, const char *body);

/* Close after the callback.  */
void connection_close (connection_t *connection);

/* An address of 127.0.0.1 at which nobody listens.  */
const char *unused_address (void);

/* Run LOOP until *FLAG reaches WANTED or for LIMIT_S seconds; return
   whether it was reached.  */
bool run_until (struct ev_loop *loop, const int *flag, int wanted,
                double limit_s);

/* Run LOOP for SECONDS.  */
void run_for (struct ev_loop *loop, double seconds);

#endif
