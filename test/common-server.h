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
  kwf_handle_t held;
  kwf_handle_t counted; /* the stream of numbers */
  kwf_handle_t flooded;
  kwf_handle_t aborted;
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
int test_server_open (const test_server_t *f, const char *text);

/* Reads until UNTIL was received or the server closed; UNTIL NULL: until it
   closed.  Release the result with g_free.  */
char *test_server_read (int fd, const char *until);

#endif
