/* Faulty servers that send bytes without end, in the head or the body of an
   answer, until the connection is closed.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "net/client.h"

enum
{
  MAX_ANSWER_BYTES = 1 << 20, /* limit of one answer */
  MAX_TOTAL_BYTES = 3 << 20,  /* limit of all open transfers together */
  MAX_SENT_BYTES = 16 << 20,  /* that one server can send, including what the
                             sockets buffer */
  LIMIT_S = 5
};

/* What a server sends: HEAD once, then UNIT repeatedly.  */
typedef struct
{
  const char *name;
  const char *head;
  const char *unit;
  bool stream; /* with a handler that has data() */
  kwf_failure_t failure;
} flood_t;

#define X100                                                                  \
  "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" \
  "xx"                                                                        \
  "xxxxxxxxxxxxxxxxxxxxxxxxx"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static const flood_t floods[] = {
  { "a header line", "HTTP/1.1 200 OK\r\nX-A: ", X100, false,
    KWF_FAIL_OVERSIZED },
  { "header lines", "HTTP/1.1 200 OK\r\n", "X-A: " X100 "\r\n", false,
    KWF_FAIL_OVERSIZED },
  { "interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n", false,
    KWF_FAIL_OVERSIZED },
  { "no protocol", "", X100, false, KWF_FAIL_BROKEN },
  { "a status line", "HTTP/1.1 200 ", X100, false, KWF_FAIL_OVERSIZED },
  { "a body", "HTTP/1.1 200 OK\r\n\r\n", X100, false, KWF_FAIL_OVERSIZED },
  { "chunks", CHUNKED, "64\r\n" X100 "\r\n", false, KWF_FAIL_OVERSIZED },
  { "a stream", CHUNKED, "64\r\n" X100 "\r\n", true, KWF_FAIL_OVERSIZED },
  { "a chunk's extension", CHUNKED "5;", X100, true, KWF_FAIL_OVERSIZED },
  { "trailers", CHUNKED "0\r\n", "X-A: " X100 "\r\n", true,
    KWF_FAIL_OVERSIZED },
};

typedef struct
{
  const flood_t *flood;
  int listener;
  char address[32];
  pthread_t thread;
  atomic_int opened; /* number of connections */
  atomic_int closed; /* number of connections that the client closed */
  atomic_size_t sent;
} flood_server_t;

typedef struct
{
  int ended;
  int done;
  kwf_failure_t failure;
  size_t bytes;
} result_t;

static bool
send_all (flood_server_t *server, int fd, const char *text, size_t size)
{
  while (size)
    {
      ssize_t sent = send (fd, text, size, MSG_NOSIGNAL);
      if (sent <= 0)
        return false;
      atomic_fetch_add (&server->sent, (size_t)sent);
      text += sent;
      size -= (size_t)sent;
    }
  return true;
}

/* Sends the flood on connection FD until the client closes it.  */
static void
send_flood (flood_server_t *server, int fd)
{
  const flood_t *flood = server->flood;
  char bytes[4096];
  GString *block = g_string_new (NULL);
  while (block->len < 32768)
    g_string_append (block, flood->unit);
  if (recv (fd, bytes, sizeof bytes, 0) > 0
      && send_all (server, fd, flood->head, strlen (flood->head)))
    while (send_all (server, fd, block->str, block->len))
      continue;
  g_string_free (block, TRUE);
  close (fd);
  atomic_fetch_add (&server->closed, 1);
}

typedef struct
{
  flood_server_t *server;
  int fd;
} flood_connection_t;

static void *
run_connection (void *data)
{
  flood_connection_t *connection = data;
  send_flood (connection->server, connection->fd);
  g_free (connection);
  return NULL;
}

static void *
run_server (void *data)
{
  flood_server_t *server = data;
  for (;;)
    {
      int fd = accept (server->listener, NULL, NULL);
      if (fd < 0)
        return NULL;
      atomic_fetch_add (&server->opened, 1);
      flood_connection_t *connection = g_new0 (flood_connection_t, 1);
      *connection = (flood_connection_t){ server, fd };
      pthread_t thread;
      pthread_create (&thread, NULL, run_connection, connection);
      pthread_detach (thread);
    }
}

static void
start (flood_server_t *server, const flood_t *flood)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  memset (server, 0, sizeof *server);
  server->flood = flood;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (bind (server->listener, (struct sockaddr *)&address, size),
                    0);
  assert_int_equal (listen (server->listener, 16), 0);
  getsockname (server->listener, (struct sockaddr *)&address, &size);
  g_snprintf (server->address, sizeof server->address, "127.0.0.1:%d",
              ntohs (address.sin_port));
  pthread_create (&server->thread, NULL, run_server, server);
}

static void
stop (flood_server_t *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
}

static void
on_data (void *data, kwf_handle_t transfer, int status,
         const char *content_type, const char *bytes, size_t size)
{
  (void)transfer;
  (void)status;
  (void)content_type;
  (void)bytes;
  ((result_t *)data)->bytes += size;
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  (void)answer;
  result_t *result = data;
  result->ended++;
  result->done++;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)error;
  result_t *result = data;
  result->ended++;
  result->failure = failure;
}

static const client_handler_t whole = { .done = on_done, .failed = on_failed };
static const client_handler_t stream
    = { .data = on_data, .done = on_done, .failed = on_failed };

static client_t *
new_client (struct ev_loop *loop)
{
  return client_new (loop, &(client_options_t){
                               .max_answer_bytes = MAX_ANSWER_BYTES,
                               .max_total_bytes = MAX_TOTAL_BYTES,
                           });
}

static client_request_t
request_to (const flood_server_t *server)
{
  return (client_request_t){ .method = "GET",
                             .address = server->address,
                             .target = "/",
                             .timeout_ns = 60 * KWF_NS_PER_S,
                             .allow_close_delimited = true };
}

/* Runs LOOP until WANTED connections of SERVER were closed.  */
static void
assert_closed (struct ev_loop *loop, flood_server_t *server, int wanted)
{
  for (int i = 0; i < LIMIT_S * 100 && atomic_load (&server->closed) < wanted;
       i++)
    run_for (loop, 0.01);
  assert_int_equal (atomic_load (&server->closed), wanted);
}

/* Guards against unlimited memory for an answer, and against a connection that
   stays open.  */
static void
flood_is_ended (void **state)
{
  (void)state;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  for (size_t i = 0; i < G_N_ELEMENTS (floods); i++)
    {
      flood_server_t server;
      result_t result = { 0 };
      start (&server, &floods[i]);
      client_t *client = new_client (loop);
      client_request_t request = request_to (&server);
      client_start (client, &request, floods[i].stream ? &stream : &whole,
                    &result);
      run_until (loop, &result.ended, 1, LIMIT_S);
      if (result.ended != 1 || result.failure != floods[i].failure)
        fail_msg ("%s: ended %d, failure %d", floods[i].name, result.ended,
                  (int)result.failure);
      assert_true (result.bytes <= MAX_ANSWER_BYTES);
      assert_closed (loop, &server, 1);
      if (atomic_load (&server.sent) > MAX_SENT_BYTES)
        fail_msg ("%s: %zu bytes were taken", floods[i].name,
                  atomic_load (&server.sent));
      assert_int_equal (client_counts (client)->oversized,
                        floods[i].failure == KWF_FAIL_OVERSIZED);
      client_free (client);
      stop (&server);
    }
  ev_loop_destroy (loop);
}

/* Guards against unlimited memory for many answers, each within its own
   limit.  */
static void
floods_together_are_bounded (void **state)
{
  (void)state;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  static const flood_t flood = { "a body", "HTTP/1.1 200 OK\r\n\r\n", X100,
                                 true, KWF_FAIL_OVERSIZED };
  flood_server_t server;
  result_t result = { 0 };
  start (&server, &flood);
  client_t *client = client_new (
      loop,
      &(client_options_t){ .max_answer_bytes = (size_t)100 * MAX_ANSWER_BYTES,
                           .max_total_bytes = MAX_TOTAL_BYTES });
  client_request_t request = request_to (&server);
  for (int i = 0; i < 8; i++)
    client_start (client, &request, &stream, &result);
  run_until (loop, &result.ended, 8, LIMIT_S);
  assert_int_equal (result.ended, 8);
  assert_int_equal (result.failure, KWF_FAIL_OVERSIZED);
  assert_closed (loop, &server, 8);
  client_free (client);
  stop (&server);
  ev_loop_destroy (loop);
}

/* Guards against a loop that reads without end the bytes on an idle kept
   connection.  */
static void
flood_after_an_answer_is_ended (void **state)
{
  (void)state;
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  static const flood_t flood
      = { "after an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
          X100, false, KWF_FAIL_BROKEN };
  flood_server_t server;
  result_t result = { 0 };
  start (&server, &flood);
  client_t *client = new_client (loop);
  client_request_t request = request_to (&server);
  for (int i = 1; i <= 3; i++)
    {
      client_start (client, &request, &whole, &result);
      assert_true (run_until (loop, &result.ended, i, LIMIT_S));
      /* A connection that is reused before the client notices the extra bytes
         makes its request fail.  */
      assert_closed (loop, &server, atomic_load (&server.opened));
    }
  client_free (client);
  stop (&server);
  ev_loop_destroy (loop);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flood_is_ended),
    cmocka_unit_test (floods_together_are_bounded),
    cmocka_unit_test (flood_after_an_answer_is_ended),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
