/* Speed of an engine, or of another server of completions: a client with bare
   sockets and one request at a time on each connection.

   Usage: bench_engine IP:PORT MODEL [SECONDS] */

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <knapweedfork/clock.h>

#define N_CONNECTIONS 64

static struct sockaddr_in address = { .sin_family = AF_INET };

static int
open_connection (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      perror ("connect");
      exit (1);
    }
  return fd;
}

static void
send_all (int fd, const char *text, size_t size)
{
  if (write (fd, text, size) != (ssize_t)size)
    {
      perror ("write");
      exit (1);
    }
}

/* Counts occurrences of TEXT in what a connection received.  The last bytes
   are kept, because TEXT may be split between two reads.  */
typedef struct
{
  int fd;
  char tail[16];
  size_t n_tail;
} connection_t;

static size_t
count (connection_t *connection, char *buffer, size_t size, const char *text)
{
  size_t length = strlen (text);
  size_t found = 0;
  char *start = buffer - connection->n_tail;
  memcpy (start, connection->tail, connection->n_tail);
  char *end = buffer + size;
  char *at = start;
  char *next;
  while ((next = memmem (at, (size_t)(end - at), text, length)))
    {
      found++;
      at = next + length;
    }
  size_t left = (size_t)(end - at);
  connection->n_tail = left < length - 1 ? left : length - 1;
  memcpy (connection->tail, end - connection->n_tail, connection->n_tail);
  return found;
}

static void
measure (const char *model, bool stream, double seconds)
{
  static char room[(1 << 18) + 16];
  char *buffer = room + 16;
  static connection_t connections[N_CONNECTIONS];
  char body[256];
  char request[512];
  int size = snprintf (body, sizeof body,
                       "{\"model\":\"%s\",\"prompt\":\"hello\",\"stream\":%s,"
                       "\"max_tokens\":%d}",
                       model, stream ? "true" : "false", stream ? 256 : 4);
  size = snprintf (request, sizeof request,
                   "POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
                   "Content-Type: application/json\r\n"
                   "Content-Length: %d\r\n\r\n%s",
                   size, body);
  int set = epoll_create1 (0);
  for (int i = 0; i < N_CONNECTIONS; i++)
    {
      connections[i] = (connection_t){ .fd = open_connection () };
      struct epoll_event event
          = { .events = EPOLLIN, .data.ptr = &connections[i] };
      epoll_ctl (set, EPOLL_CTL_ADD, connections[i].fd, &event);
      send_all (connections[i].fd, request, (size_t)size);
    }
  const kwf_clock_t *clock = kwf_clock_system ();
  int64_t start_ns = kwf_now_ns (clock);
  int64_t end_ns = start_ns + (int64_t)(seconds * 1e9);
  size_t answers = 0;
  size_t bytes = 0;
  while (kwf_now_ns (clock) < end_ns)
    {
      struct epoll_event ready[N_CONNECTIONS];
      int n = epoll_wait (set, ready, N_CONNECTIONS, 100);
      for (int i = 0; i < n; i++)
        {
          connection_t *connection = ready[i].data.ptr;
          ssize_t got = read (connection->fd, buffer, 1 << 18);
          if (got <= 0)
            {
              fputs ("a connection was closed\n", stderr);
              exit (1);
            }
          bytes += (size_t)got;
          size_t ended = count (connection, buffer, (size_t)got,
                                stream ? "\r\n0\r\n\r\n" : "HTTP/1.1 200");
          answers += ended;
          for (; ended; ended--)
            send_all (connection->fd, request, (size_t)size);
        }
    }
  double elapsed = (double)(kwf_now_ns (clock) - start_ns) / 1e9;
  if (stream)
    printf ("streamed chunks: %.0f/s, ", (double)answers * 256 / elapsed);
  else
    printf ("short answers: %.0f/s, ", (double)answers / elapsed);
  printf ("%.1f MB/s, %d connections\n", (double)bytes / elapsed / 1e6,
          N_CONNECTIONS);
  for (int i = 0; i < N_CONNECTIONS; i++)
    close (connections[i].fd);
  close (set);
}

int
main (int argc, char **argv)
{
  char *colon = argc > 2 ? strrchr (argv[1], ':') : NULL;
  if (!colon)
    {
      fputs ("usage: bench_engine IP:PORT MODEL [SECONDS]\n", stderr);
      return 2;
    }
  *colon = '\0';
  address.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  if (inet_pton (AF_INET, argv[1], &address.sin_addr) != 1)
    return 2;
  double seconds = argc > 3 ? strtod (argv[3], NULL) : 2;
  measure (argv[2], false, seconds);
  measure (argv[2], true, seconds);
  return 0;
}
