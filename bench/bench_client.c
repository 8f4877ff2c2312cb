/* Speed of net/client with small requests on one core.

   Usage: bench_client [REQUESTS [OPEN]]

   Prints requests per second, and processor time of the client's thread per
   request.  The server is a thread that answers with a fixed text; it uses at
   most one core, which is not counted.  */

#include <arpa/inet.h>
#include <ev.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../net/client.h"

typedef struct
{
  client_t *client;
  client_request_t request;
  long left; /* requests still to be started */
  long open;
  long failed;
} bench_t;

static void
on_bytes (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 11\r\n\r\n{\"ok\":true}";
  char bytes[16384];
  ssize_t size = recv (io->fd, bytes, sizeof bytes, 0);
  if (size > 0 && send (io->fd, answer, sizeof answer - 1, MSG_NOSIGNAL) > 0)
    return;
  ev_io_stop (loop, io);
  close (io->fd);
  g_free (io);
}

static void
on_connection (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  int fd = accept4 (io->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return;
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io *connection = g_new0 (ev_io, 1);
  ev_io_init (connection, on_bytes, fd, EV_READ);
  ev_io_start (loop, connection);
}

static gpointer
serve (gpointer data)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  ev_io io;
  ev_io_init (&io, on_connection, GPOINTER_TO_INT (data), EV_READ);
  ev_io_start (loop, &io);
  ev_run (loop, 0);
  return NULL;
}

static void on_done (void *data, kwf_handle_t transfer,
                     const client_answer_t *answer);
static void on_failed (void *data, kwf_handle_t transfer,
                       kwf_failure_t failure, const kwf_error_t *error);

static void
start (bench_t *bench)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  if (bench->left == 0)
    return;
  bench->left--;
  bench->open++;
  client_start (bench->client, &bench->request, &handler, bench);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  bench_t *bench = data;
  bench->open--;
  if (answer->status != 200 || answer->body_size != 11)
    bench->failed++;
  start (bench);
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)failure;
  bench_t *bench = data;
  fprintf (stderr, "bench_client: %s\n", error->message);
  bench->open--;
  bench->failed++;
}

static double
seconds (clockid_t clock)
{
  struct timespec now;
  clock_gettime (clock, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

int
main (int argc, char **argv)
{
  long count = argc > 1 ? strtol (argv[1], NULL, 10) : 200000;
  long open = argc > 2 ? strtol (argv[2], NULL, 10) : 64;
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&in, size) || listen (fd, 1024)
      || getsockname (fd, (struct sockaddr *)&in, &size))
    {
      perror ("bench_client: listen");
      return 1;
    }
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (in.sin_port));
  g_thread_unref (g_thread_new ("server", serve, GINT_TO_POINTER (fd)));

  static const header_t headers[]
      = { { "Content-Type", "application/json" }, { "X-Request-Id", "r1" } };
  static const char body[] = "{\"model\":\"m\",\"prompt\":\"hello\"}";
  struct ev_loop *loop = ev_default_loop (0);
  bench_t bench = {
    .client = client_new (loop, NULL),
    .left = count,
    .request = { .method = "POST",
                 .address = address,
                 .target = "/v1/completions",
                 .headers = headers,
                 .n_headers = 2,
                 .body = body,
                 .body_size = sizeof body - 1,
                 .timeout_ns = INT64_C (10000000000) },
  };
  double wall = seconds (CLOCK_MONOTONIC);
  double cpu = seconds (CLOCK_THREAD_CPUTIME_ID);
  for (long i = 0; i < open; i++)
    start (&bench);
  while (bench.open)
    ev_run (loop, EVRUN_ONCE);
  wall = seconds (CLOCK_MONOTONIC) - wall;
  cpu = seconds (CLOCK_THREAD_CPUTIME_ID) - cpu;
  printf ("%ld requests, %ld open, %ld failed: %.0f requests/s, "
          "%.1f us processor time each\n",
          count, open, bench.failed, (double)count / wall,
          cpu * 1e6 / (double)count);
  client_free (bench.client);
  return bench.failed ? 1 : 0;
}
