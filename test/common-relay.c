#include "common-relay.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct connection relayed_connection_t;

/* One direction of a relayed connection.  */
typedef struct
{
  ev_io io; /* on the socket that it reads from */
  relayed_connection_t *connection;
  GByteArray *in;
  int frames;
} direction_t;

/* One relayed connection: its sockets to the opener and to the acceptor.  */
struct connection
{
  relay_t *relay;
  direction_t opener;
  direction_t acceptor;
};

static void
relayed_connection_free (relayed_connection_t *connection)
{
  direction_t *directions[] = { &connection->opener, &connection->acceptor };
  for (size_t i = 0; i < G_N_ELEMENTS (directions); i++)
    {
      ev_io_stop (connection->relay->loop, &directions[i]->io);
      close (directions[i]->io.fd);
      g_byte_array_free (directions[i]->in, TRUE);
    }
  g_ptr_array_remove (connection->relay->connections, connection);
  g_free (connection);
}

static void
pass_frames (direction_t *direction)
{
  relayed_connection_t *connection = direction->connection;
  bool opener = direction == &connection->opener;
  int to = opener ? connection->acceptor.io.fd : connection->opener.io.fd;
  guint32 length;
  while (direction->in->len >= sizeof length)
    {
      memcpy (&length, direction->in->data, sizeof length);
      guint size = GUINT32_FROM_BE (length) + (guint)sizeof length;
      if (direction->in->len < size)
        return;
      GByteArray *frame = g_byte_array_new ();
      g_byte_array_append (frame, direction->in->data, size);
      g_byte_array_remove_range (direction->in, 0, size);
      if (connection->relay->fn)
        connection->relay->fn (connection->relay, opener, direction->frames,
                               frame, connection->relay->data);
      direction->frames++;
      send (to, frame->data, frame->len, MSG_NOSIGNAL);
      g_byte_array_free (frame, TRUE);
    }
}

static void
on_bytes (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  direction_t *direction = io->data;
  guint8 bytes[65536];
  if (direction->connection->relay->stalled)
    {
      ev_io_stop (loop, io);
      return;
    }
  ssize_t size = recv (io->fd, bytes, sizeof bytes, 0);
  if (size <= 0)
    {
      relayed_connection_free (direction->connection);
      return;
    }
  g_byte_array_append (direction->in, bytes, (guint)size);
  pass_frames (direction);
}

static void
start_direction (relayed_connection_t *connection, direction_t *direction,
                 int fd)
{
  direction->connection = connection;
  direction->in = g_byte_array_new ();
  ev_io_init (&direction->io, on_bytes, fd, EV_READ);
  direction->io.data = direction;
  ev_io_start (connection->relay->loop, &direction->io);
}

static struct sockaddr_in
local (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static void
on_connection (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  (void)events;
  relay_t *relay = io->data;
  struct sockaddr_in in = local (relay->target);
  int from = accept4 (io->fd, NULL, NULL, SOCK_CLOEXEC);
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (from < 0 || to < 0)
    g_error ("relay: no socket");
  if (connect (to, (struct sockaddr *)&in, sizeof in))
    {
      close (from);
      close (to);
      return;
    }
  relayed_connection_t *connection = g_new0 (relayed_connection_t, 1);
  connection->relay = relay;
  g_ptr_array_add (relay->connections, connection);
  start_direction (connection, &connection->opener, from);
  start_direction (connection, &connection->acceptor, to);
}

relay_t *
relay_start (struct ev_loop *loop, int target, relay_fn_t fn, void *data)
{
  relay_t *relay = g_new0 (relay_t, 1);
  struct sockaddr_in in = local (0);
  socklen_t size = sizeof in;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&in, size) || listen (fd, 16)
      || getsockname (fd, (struct sockaddr *)&in, &size))
    g_error ("relay: cannot listen");
  g_snprintf (relay->address, sizeof relay->address, "127.0.0.1:%d",
              ntohs (in.sin_port));
  relay->loop = loop;
  relay->target = target;
  relay->fn = fn;
  relay->data = data;
  relay->connections = g_ptr_array_new ();
  ev_io_init (&relay->io, on_connection, fd, EV_READ);
  relay->io.data = relay;
  ev_io_start (loop, &relay->io);
  return relay;
}

void
relay_free (relay_t *relay)
{
  for (guint i = relay->connections->len; i > 0; i--)
    relayed_connection_free (g_ptr_array_index (relay->connections, i - 1));
  ev_io_stop (relay->loop, &relay->io);
  close (relay->io.fd);
  g_ptr_array_free (relay->connections, TRUE);
  g_free (relay);
}
