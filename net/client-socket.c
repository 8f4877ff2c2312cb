/* Sockets and timers of libcurl on a libev loop.

   A socket is watched from its creation to its end.  While libcurl keeps its
   connection idle, any byte or an end of file makes the connection unusable,
   because the bytes would be taken for the answer to the next request.  */

#include "client-internal.h"

#include <knapweedfork/clock.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <linux/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limit of the bytes in a row that bring no whole header line and no byte of a
   body, but parts of the chunked framing.  */
#define MAX_IDLE_BYTES (UINT64_C (1) << 20)
/* TCP_CLOSE of <netinet/tcp.h>, which cannot be included beside
   <linux/tcp.h>.  */
#define TCP_STATE_CLOSE 7
/* Limit of reads that discard what a server sent on an idle connection.  */
#define MAX_DISCARD_READS 64

typedef struct
{
  ev_io io;
  client_t *client;
  bool owned; /* opened by open_socket, to be closed by close_socket */
  bool idle;
  client_easy_t *easy;     /* of the transfer that uses it; NULL: none */
  char address[64];        /* of the server, perhaps cut; empty: not known */
  int64_t recent_until_ns; /* IDLE: the connection is recent until then */
} socket_t;

static socket_t *
find_socket (client_t *client, curl_socket_t fd)
{
  if (fd < 0 || (guint)fd >= client->sockets->len)
    return NULL;
  return g_ptr_array_index (client->sockets, fd);
}

/* Discards what the server sent and shuts the connection down, so that libcurl
   finds it closed when it looks for a connection to reuse.  */
static void
shut_down_idle (socket_t *socket)
{
  char bytes[4096];
  ev_io_stop (socket->client->loop, &socket->io);
  client_reset_on_close (socket->io.fd);
  shutdown (socket->io.fd, SHUT_RDWR);
  /* Bounded, because a server may send faster than this reads.  */
  for (int i = 0; i < MAX_DISCARD_READS; i++)
    if (recv (socket->io.fd, bytes, sizeof bytes, MSG_DONTWAIT) <= 0)
      break;
}

/* Bytes that the kernel has received on FD, read or not.  */
static uint64_t
received_bytes (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  (void)getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size);
  return info.tcpi_bytes_received;
}

/* Called after a read from SOCKET for TRANSFER.  */
static void
check_progress (const socket_t *socket, client_transfer_t *transfer)
{
  size_t progress = transfer->header_bytes + transfer->body_bytes;
  if (progress != transfer->progress)
    {
      transfer->progress = progress;
      transfer->idle_from = 0;
      return;
    }
  uint64_t received = received_bytes (socket->io.fd);
  if (!transfer->idle_from)
    transfer->idle_from = received;
  if (received - transfer->idle_from > MAX_IDLE_BYTES)
    client_end_oversized (transfer);
}

static void
on_socket (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  socket_t *socket = io->data;
  client_t *client = socket->client;
  if (socket->idle)
    {
      shut_down_idle (socket);
      return;
    }
  int mask = (events & EV_READ ? CURL_CSELECT_IN : 0)
             | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
  int running;
  int fd = io->fd;
  curl_multi_socket_action (client->multi, io->fd, mask, &running);
  /* libcurl may have closed the socket.  */
  socket = find_socket (client, fd);
  if (events & EV_READ && socket && !socket->idle && socket->easy
      && socket->easy->transfer)
    check_progress (socket, socket->easy->transfer);
  client_deliver (client);
}

static void
remove_socket (socket_t *socket)
{
  if (socket->easy)
    socket->easy->fd = CURL_SOCKET_BAD;
  ev_io_stop (socket->client->loop, &socket->io);
  g_ptr_array_index (socket->client->sockets, socket->io.fd) = NULL;
  g_free (socket);
}

static socket_t *
add_socket (client_t *client, curl_socket_t fd, bool owned)
{
  /* libcurl closed this descriptor before it had asked to watch it.  */
  socket_t *stale = find_socket (client, fd);
  if (stale)
    remove_socket (stale);
  socket_t *socket = g_new0 (socket_t, 1);
  socket->client = client;
  socket->owned = owned;
  ev_io_init (&socket->io, on_socket, fd, EV_READ);
  socket->io.data = socket;
  /* High priority: idle connections with bytes are shut down before a timer
     lets libcurl reuse them.  */
  ev_set_priority (&socket->io, 1);
  if ((guint)fd >= client->sockets->len)
    g_ptr_array_set_size (client->sockets, fd + 1);
  g_ptr_array_index (client->sockets, fd) = socket;
  return socket;
}

static void
watch (socket_t *socket, int events)
{
  if (ev_is_active (&socket->io) && socket->io.events == events)
    return;
  ev_io_stop (socket->client->loop, &socket->io);
  ev_io_set (&socket->io, socket->io.fd, events);
  ev_io_start (socket->client->loop, &socket->io);
}

/* libcurl closes a socket that is still connecting without calling
   close_socket, just before it calls socket_wanted with CURL_POLL_REMOVE.  At
   that time no other file can have the same descriptor yet.  */
static bool
is_closed (const socket_t *socket)
{
  return fcntl (socket->io.fd, F_GETFD) < 0;
}

static int64_t
now_ns (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

/* libcurl keeps the connection of SOCKET after the transfer of EASY.  */
static void
set_idle (socket_t *socket, const client_easy_t *easy)
{
  const client_transfer_t *transfer = easy ? easy->transfer : NULL;
  socket->idle = true;
  socket->recent_until_ns = 0;
  if (transfer)
    {
      g_strlcpy (socket->address, transfer->address, sizeof socket->address);
      socket->recent_until_ns
          = now_ns () + client_head_kept_ns (&transfer->head);
    }
  watch (socket, EV_READ);
}

void
client_sockets_retire (client_t *client, const char *address)
{
  int64_t now = now_ns ();
  for (guint i = 0; i < client->sockets->len; i++)
    {
      socket_t *socket = g_ptr_array_index (client->sockets, i);
      if (socket && socket->idle && socket->recent_until_ns <= now
          && (!*socket->address
              || strncmp (socket->address, address, sizeof socket->address - 1)
                     == 0))
        shut_down_idle (socket);
    }
}

/* libcurl's socket callback: WHAT it waits for on FD.  */
static int
socket_wanted (CURL *curl, curl_socket_t fd, int what, void *data, void *mine)
{
  (void)mine;
  client_t *client = data;
  client_easy_t *easy = NULL;
  curl_easy_getinfo (curl, CURLINFO_PRIVATE, &easy);
  socket_t *socket = find_socket (client, fd);
  if (what == CURL_POLL_REMOVE)
    {
      if (socket && (!socket->owned || is_closed (socket)))
        remove_socket (socket);
      else if (socket)
        set_idle (socket, easy);
      return 0;
    }
  if (!socket)
    socket = add_socket (client, fd, false);
  socket->idle = false;
  socket->easy = easy;
  if (easy)
    easy->fd = fd;
  int events = (what & CURL_POLL_IN ? EV_READ : 0)
               | (what & CURL_POLL_OUT ? EV_WRITE : 0);
  watch (socket, events);
  return 0;
}

/* A server that lost power or is behind a network partition does not answer.
   Without these options its connections would stay open for minutes.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNACKNOWLEDGED_MS 3000

static void
set_keepalive (int fd)
{
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  int limit_ms = UNACKNOWLEDGED_MS;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

static curl_socket_t
open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  client_easy_t *easy = data;
  /* A second socket after the request was sent would be for libcurl's own
     retry, after a kept connection had ended.  */
  if (purpose != CURLSOCKTYPE_IPCXN || !easy->transfer || easy->transfer->sent)
    return CURL_SOCKET_BAD;
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                   address->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  set_keepalive (fd);
  add_socket (easy->transfer->client, fd, true);
  return fd;
}

void
client_sockets_release (client_t *client, client_easy_t *easy)
{
  socket_t *socket = find_socket (client, easy->fd);
  if (socket)
    socket->easy = NULL;
  easy->fd = CURL_SOCKET_BAD;
}

void
client_reset_on_close (curl_socket_t fd)
{
  static const struct linger reset = { .l_onoff = 1 };
  (void)setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

/* Whether the peer of FD has reset the connection, and not only ended its
   data.  */
static bool
is_reset (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  (void)getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size);
  return info.tcpi_state == TCP_STATE_CLOSE;
}

static int
close_socket (void *data, curl_socket_t fd)
{
  client_t *client = data;
  socket_t *socket = find_socket (client, fd);
  client_transfer_t *transfer
      = socket && socket->easy ? socket->easy->transfer : NULL;
  if (transfer)
    transfer->reset = is_reset (fd);
  /* libcurl gave the request up at its time limit.  */
  if (transfer && !transfer->header_bytes)
    client_reset_on_close (fd);
  if (socket)
    remove_socket (socket);
  return close (fd);
}

void
client_sockets_attach (client_t *client, client_easy_t *easy)
{
  curl_easy_setopt (easy->curl, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy->curl, CURLOPT_OPENSOCKETDATA, easy);
  curl_easy_setopt (easy->curl, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy->curl, CURLOPT_CLOSESOCKETDATA, client);
}

static void
start_timer (client_t *client, long ms)
{
  ev_timer_stop (client->loop, &client->timer);
  if (ms < 0)
    return;
  ev_now_update (client->loop);
  ev_timer_set (&client->timer, (double)ms / 1000.0, 0.0);
  ev_timer_start (client->loop, &client->timer);
}

/* libcurl's timer callback; MS -1: no timer.  */
static int
timer_wanted (CURLM *multi, long ms, void *data)
{
  (void)multi;
  start_timer (data, ms);
  return 0;
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  client_t *client = timer->data;
  int running;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  /* libcurl does not ask again for a time that it has already asked for, even
     when this timer fired a little early.  */
  long ms = -1;
  if (!ev_is_active (&client->timer)
      && curl_multi_timeout (client->multi, &ms) == CURLM_OK && ms >= 0)
    start_timer (client, MAX (ms, 1));
  client_deliver (client);
}

void
client_sockets_start (client_t *client)
{
  client->sockets = g_ptr_array_new ();
  ev_timer_init (&client->timer, on_timer, 0.0, 0.0);
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, socket_wanted);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, timer_wanted);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
}

void
client_sockets_stop (client_t *client)
{
  ev_timer_stop (client->loop, &client->timer);
  for (guint i = 0; i < client->sockets->len; i++)
    {
      socket_t *socket = g_ptr_array_index (client->sockets, i);
      if (socket)
        remove_socket (socket);
    }
  g_ptr_array_free (client->sockets, TRUE);
}
