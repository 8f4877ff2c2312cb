#include "common-listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common-cut.h"

static int
bind_local (int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof in;
  if (fd < 0 || bind (fd, (struct sockaddr *)&in, size)
      || getsockname (fd, (struct sockaddr *)&in, &size))
    g_error ("no socket for a test");
  *port = ntohs (in.sin_port);
  return fd;
}

/* Lets a later socket take the address while connections of this one are
   still ending.  */
static void
allow_reuse (int fd)
{
  int one = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
}

/* A socket at *PORT, or at another port if that one is taken.  */
static int
bind_again (int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons ((in_port_t)*port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  allow_reuse (fd);
  if (*port && bind (fd, (struct sockaddr *)&in, sizeof in) == 0)
    return fd;
  close (fd);
  fd = bind_local (port);
  allow_reuse (fd);
  return fd;
}

static void
connection_free (connection_t *connection)
{
  ev_io_stop (connection->listener->loop, &connection->io);
  close (connection->io.fd);
  g_ptr_array_remove (connection->listener->open, connection);
  g_string_free (connection->in, TRUE);
  g_free (connection);
}

/* Length of the first whole request in IN; 0: none is whole.  */
static size_t
request_size (const GString *in)
{
  const char *end = strstr (in->str, "\r\n\r\n");
  if (!end)
    return 0;
  size_t size = (size_t)(end - in->str) + 4;
  const char *length = strcasestr (in->str, "\r\ncontent-length:");
  if (length && length < end)
    size += strtoul (length + 17, NULL, 10);
  return in->len >= size ? size : 0;
}

static void
serve (connection_t *connection)
{
  listener_t *listener = connection->listener;
  size_t size;
  if (listener->raw)
    {
      if (connection->in->len)
        listener->fn (connection, connection->in->str, listener->data);
      return;
    }
  while (!connection->closing && (size = request_size (connection->in)))
    {
      char *text = g_strndup (connection->in->str, size);
      g_string_erase (connection->in, 0, (gssize)size);
      connection->requests++;
      listener->requests++;
      listener->fn (connection, text, listener->data);
      g_free (text);
    }
}

static void
on_bytes (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  connection_t *connection = io->data;
  char bytes[16384];
  ssize_t size = recv (io->fd, bytes, sizeof bytes, 0);
  if (size <= 0)
    {
      connection->listener->resets += size < 0 && errno == ECONNRESET;
      connection_free (connection);
      return;
    }
  g_string_append_len (connection->in, bytes, size);
  serve (connection);
  if (connection->closing)
    connection_free (connection);
}

static void
set_reset_at_close (int fd)
{
  struct linger none = { .l_onoff = 1, .l_linger = 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
}

static void
on_connection (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  listener_t *listener = io->data;
  int fd = accept4 (io->fd, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd < 0)
    return;
  bool held = false;
  if (listener->cut && !cut_accept (listener->cut, fd, &held))
    {
      set_reset_at_close (fd);
      close (fd);
      return;
    }
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  connection_t *connection = g_new0 (connection_t, 1);
  connection->listener = listener;
  connection->number = ++listener->accepted;
  connection->in = g_string_new (NULL);
  ev_io_init (&connection->io, on_bytes, fd, EV_READ);
  connection->io.data = connection;
  connection->held = held;
  if (!held)
    ev_io_start (loop, &connection->io);
  g_ptr_array_add (listener->open, connection);
}

listener_t *
listener_start (struct ev_loop *loop, listener_fn_t fn, void *data)
{
  return listener_start_at (loop, 0, fn, data);
}

listener_t *
listener_start_at (struct ev_loop *loop, int port, listener_fn_t fn,
                   void *data)
{
  listener_t *listener = g_new0 (listener_t, 1);
  listener->port = port;
  int fd = bind_again (&listener->port);
  if (listen (fd, 128))
    g_error ("cannot listen");
  g_snprintf (listener->address, sizeof listener->address, "127.0.0.1:%d",
              listener->port);
  listener->loop = loop;
  listener->fn = fn;
  listener->data = data;
  listener->open = g_ptr_array_new ();
  ev_io_init (&listener->io, on_connection, fd, EV_READ);
  listener->io.data = listener;
  ev_io_start (loop, &listener->io);
  return listener;
}

void
listener_stop (listener_t *listener)
{
  for (guint i = listener->open->len; i > 0; i--)
    connection_free (g_ptr_array_index (listener->open, i - 1));
  ev_io_stop (listener->loop, &listener->io);
  close (listener->io.fd);
  if (listener->backlog_fd)
    close (listener->backlog_fd);
  g_ptr_array_free (listener->open, TRUE);
  g_free (listener);
}

void
listener_block (listener_t *listener)
{
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons ((in_port_t)listener->port),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  ev_io_stop (listener->loop, &listener->io);
  listener->backlog_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (listen (listener->io.fd, 0) || listener->backlog_fd < 0
      || connect (listener->backlog_fd, (struct sockaddr *)&in, sizeof in))
    g_error ("cannot fill the queue of a listener");
}

void
connection_write (connection_t *connection, const char *bytes, size_t size)
{
  while (size)
    {
      ssize_t sent = send (connection->io.fd, bytes, size, MSG_NOSIGNAL);
      if (sent < 0)
        return;
      bytes += sent;
      size -= (size_t)sent;
    }
}

void
connection_print (connection_t *connection, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  connection_write (connection, text, strlen (text));
  g_free (text);
}

void
connection_reply (connection_t *connection, int status, const char *body)
{
  connection_print (connection,
                    "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n%s",
                    status, strlen (body), body);
}

void
connection_close (connection_t *connection)
{
  connection->closing = true;
}

const char *
unused_address (void)
{
  static char address[32];
  int port;
  /* Bound and never listening, so that no other program can use the port.  */
  static int fd = -1;
  if (fd >= 0)
    return address;
  fd = bind_local (&port);
  g_snprintf (address, sizeof address, "127.0.0.1:%d", port);
  return address;
}

void
connection_hold (connection_t *connection, bool held)
{
  struct ev_loop *loop = connection->listener->loop;
  if (held)
    ev_io_stop (loop, &connection->io);
  else if (connection->held)
    ev_io_start (loop, &connection->io);
  connection->held = held;
}

void
connection_reset (connection_t *connection)
{
  set_reset_at_close (connection->io.fd);
  connection_free (connection);
}

static void
on_time_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  *(bool *)timer->data = true;
  ev_break (loop, EVBREAK_ONE);
}

bool
run_until (struct ev_loop *loop, const int *counter, int wanted,
           double limit_s)
{
  bool expired = false;
  ev_timer timer;
  ev_now_update (loop);
  ev_timer_init (&timer, on_time_limit, limit_s, 0.0);
  timer.data = &expired;
  ev_timer_start (loop, &timer);
  while (*counter < wanted && !expired)
    ev_run (loop, EVRUN_ONCE);
  ev_timer_stop (loop, &timer);
  return *counter >= wanted;
}

void
run_for (struct ev_loop *loop, double seconds)
{
  static const int unchanged;
  run_until (loop, &unchanged, 1, seconds);
}
