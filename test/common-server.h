/* common-server.h - an HTTP server on a loop in its own thread, for tests; the
   test's thread sends the requests.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_SERVER_H
#define KNAPWEEDFORK_TEST_COMMON_SERVER_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "net/server.h"

/* GET /numbers streams this many lines.  */
#define N_NUMBERS 5000

/* GET /busy keeps the loop from everything else for this time.  */
#define BUSY_MS 100

typedef struct
{
  struct ev_loop *loop;
  server_t *server;
  pthread_t thread;
  ev_async stop;
  ev_async quiesce;
  ev_timer tick;
  /* Requests under way; 0: none.  */
  kwf_handle_t held;            /* of /hold, answered by /release */
  kwf_handle_t numbers_request; /* of /numbers */
  kwf_handle_t flood_request;   /* of /flood */
  kwf_handle_t to_abort;        /* of /abort-later, aborted at the next tick */
  int next;
  char address[32];
  int port;
  atomic_int n_gone;
  atomic_int n_requests;
  atomic_size_t flooded_bytes;
} test_server_t;

/* Set-up functions of cmocka: with time-outs of 1 s; with time-outs of 10
   minutes; the same with TLS.  */
int test_server_set_up (void **state);
int test_server_set_up_patient (void **state);
int test_server_set_up_tls (void **state);
int test_server_tear_down (void **state);

/* Waits until VALUE reaches WANTED, at most 5 s.  */
void test_server_wait (atomic_int *value, int wanted);

/* Connects, sends TEXT and returns the socket.  */
int test_server_open (const test_server_t *fixture, const char *text);

/* Reads until UNTIL was received, the server closed, or an error: nothing was
   received for 10 s, or the connection was reset.  UNTIL NULL: only the latter
   two.  The result may have bytes after UNTIL.  Release it with g_free.  */
char *test_server_read (int fd, const char *until);

#endif
