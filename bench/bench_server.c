/* Speed of net/server: a server in a child process, a client with bare sockets
   here.  Prints requests or chunks per second of elapsed time and per second
   of processor time that the server used.  */

#include <arpa/inet.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <knapweedfork/clock.h>

#include "../net/server.h"

#define MAX_CONNECTIONS 1024

typedef struct
{
  server_t *server;
  kwf_handle_t streams[MAX_CONNECTIONS];
  size_t n_streams;
  ev_idle idle;
  ev_timer defer;
  kwf_handle_t waiting[MAX_CONNECTIONS];
  size_t n_waiting;
} bench_t;

static const char chunk[]
    = "data: {\"id\":\"r1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":"
      "\" token\"},\"finish_reason\":null}]}\n\n";

static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  bench_t *bench = data;
  if (strcmp (request->path, "/stream") == 0)
    {
      server_begin (server, request->handle, 200, "text/event-stream", NULL, 0,
                    SERVER_END_CHUNKS);
      bench->streams[bench->n_streams++] = request->handle;
    }
  else if (strcmp (request->path, "/later") == 0)
    bench->waiting[bench->n_waiting++] = request->handle;
  else
    server_reply (server, request->handle, 200, "application/json", NULL, 0,
                  "{\"ok\":true}", 11);
}

static void
write_chunks (struct ev_loop *loop, ev_idle *watcher, int events)
{
  (void)loop;
  (void)events;
  bench_t *bench = watcher->data;
  for (size_t i = 0; i < bench->n_streams; i++)
    server_write (bench->server, bench->streams[i], chunk, sizeof chunk - 1);
  for (size_t i = 0; i < bench->n_waiting; i++)
    server_reply (bench->server, bench->waiting[i], 200, "application/json",
                  NULL, 0, "{\"ok\":true}", 11);
  bench->n_waiting = 0;
}

static void
run_server (int out)
{
  bench_t bench = { 0 };
  struct ev_loop *loop = ev_loop_new (0);
  server_handler_t handler = { .request = on_request };
  server_options_t options = { .address = "127.0.0.1:0" };
  kwf_error_t error;
  bench.server = server_start (loop, &options, &handler, &bench, &error);
  if (!bench.server)
    _exit (1);
  int port = server_port (bench.server);
  if (write (out, &port, sizeof port) != sizeof port)
    _exit (1);
  ev_idle_init (&bench.idle, write_chunks);
  bench.idle.data = &bench;
  ev_idle_start (loop, &bench.idle);
  ev_run (loop, 0);
  _exit (0);
}

static int
connect_to (int port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      perror ("connect");
      exit (1);
    }
  return fd;
}

/* One request at a time on each connection; an answer is expected to be one
   read.  */
static void
run_client (int port, int n, double seconds, const char *path, bool stream)
{
  char request[256];
  int size = snprintf (request, sizeof request,
                       "GET %s HTTP/1.1\r\nHost: bench\r\n\r\n", path);
  int set = epoll_create1 (0);
  for (int i = 0; i < n; i++)
    {
      int fd = connect_to (port);
      struct epoll_event event = { .events = EPOLLIN, .data.fd = fd };
      epoll_ctl (set, EPOLL_CTL_ADD, fd, &event);
      if (write (fd, request, (size_t)size) != size)
        exit (1);
    }
  const kwf_clock_t *clock = kwf_clock_system ();
  int64_t start_ns = kwf_now_ns (clock);
  int64_t end_ns = start_ns + (int64_t)(seconds * 1e9);
  static char buffer[1 << 16];
  uint64_t answers = 0;
  uint64_t bytes = 0;
  while (kwf_now_ns (clock) < end_ns)
    {
      struct epoll_event ready[64];
      int n_ready = epoll_wait (set, ready, 64, 100);
      for (int i = 0; i < n_ready; i++)
        {
          ssize_t got = read (ready[i].data.fd, buffer, sizeof buffer);
          if (got <= 0)
            exit (1);
          bytes += (uint64_t)got;
          if (stream)
            continue;
          answers++;
          if (write (ready[i].data.fd, request, (size_t)size) != size)
            exit (1);
        }
    }
  double elapsed = (double)(kwf_now_ns (clock) - start_ns) / 1e9;
  if (stream)
    answers = bytes / (sizeof chunk - 1 + 6);
  printf ("%-8s %4d connections: %.0f/s", path, n, (double)answers / elapsed);
  fflush (stdout);
}

static void
measure (int n, double seconds, const char *path, bool stream)
{
  int out[2];
  if (pipe (out) != 0)
    exit (1);
  pid_t child = fork ();
  if (child == 0)
    run_server (out[1]);
  int port = 0;
  if (read (out[0], &port, sizeof port) != sizeof port)
    exit (1);
  run_client (port, n, seconds, path, stream);
  kill (child, SIGKILL);
  struct rusage usage;
  wait4 (child, NULL, 0, &usage);
  printf (", %ld MB resident\n", usage.ru_maxrss / 1024);
  close (out[0]);
  close (out[1]);
}

int
main (int argc, char **argv)
{
  double seconds = argc > 1 ? strtod (argv[1], NULL) : 2;
  measure (1, seconds, "/now", false);
  measure (32, seconds, "/now", false);
  measure (32, seconds, "/later", false);
  measure (64, seconds, "/stream", true);
  measure (1000, seconds, "/stream", true);
  return 0;
}
