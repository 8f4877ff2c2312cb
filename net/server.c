/* Listener, connections and event loop of the HTTP server.  */

#include "server-intake.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netdb.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <knapweedfork/clock.h>

#include "../lib/logging.h"

/* Ends of connections that one system call returns.  */
#define HANGUPS_READ 64
/* Later in a turn it is not known any more which callers have left.  */
#define TURN_KNOWN_NS (100 * KWF_NS_PER_MS)

static int64_t
now_ns (void)
{
  return kwf_now_ns (kwf_clock_system ());
}

void
server_schedule_run (server_t *server)
{
  if (server->run_pending)
    return;
  server->run_pending = true;
  ev_idle_start (server->loop, &server->idle);
}

void
server_resume (server_request_state_t *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->mhd);
  server_schedule_run (request->server);
}

/* libmicrohttpd misses the end of the caller's data when it arrives together
   with the last bytes, and would keep the connection for the idle time.  The
   shutdown wakes libmicrohttpd again.  Where that is missed as well, because
   the connection was reset, the time-out of 1 s ends it.  */
void
server_shutdown_connection (server_connection_t *connection)
{
  shutdown (connection->fd, SHUT_RDWR);
  if (connection->before_request)
    {
      server_schedule_run (connection->server);
      return;
    }
  MHD_set_connection_option (connection->mhd, MHD_CONNECTION_OPTION_TIMEOUT,
                             1U);
  server_schedule_run (connection->server);
}

void
server_set_reset (const server_connection_t *connection, bool reset)
{
  struct linger linger = { .l_onoff = reset };
  setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* A shutdown, such as that by libmicrohttpd before it closes a connection,
   would send the end of the data before the reset, which is that of a whole
   answer for a caller without chunks.  */
void
server_dissolve_connection (const server_connection_t *connection)
{
  static const struct sockaddr none = { .sa_family = AF_UNSPEC };
  server_set_reset (connection, true);
  if (connect (connection->fd, &none, sizeof none) != 0)
    logging_event (255, KWF_LOG_WARNING, "reset of a connection: %s",
                   g_strerror (errno));
}

/* Without the reset, a caller that does not read would keep the unsent bytes
   in the kernel for minutes.  Where the kernel cannot dissolve a connection,
   its close, after 1 s without progress at the latest, resets it.  */
void
server_reset_connection (server_request_state_t *request)
{
  const server_connection_t *connection = request->connection;
  server_dissolve_connection (connection);
  MHD_set_connection_option (connection->mhd, MHD_CONNECTION_OPTION_TIMEOUT,
                             1U);
  server_schedule_run (connection->server);
  request->aborted = true;
  request->pending.start = request->pending.end = 0;
  server_resume (request);
}

static void
open_connection (server_t *server, struct MHD_Connection *mhd, void **context)
{
  server_connection_t *connection = g_new0 (server_connection_t, 1);
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
  connection->server = server;
  connection->mhd = mhd;
  connection->fd = info->connect_fd;
  connection->since_ns = connection->opened_ns = now_ns ();
  info = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const struct sockaddr *address = info->client_addr;
  socklen_t size = address->sa_family == AF_INET6
                       ? sizeof (struct sockaddr_in6)
                       : sizeof (struct sockaddr_in);
  getnameinfo (address, size, connection->remote, sizeof connection->remote,
               NULL, 0, NI_NUMERICHOST);
  connection->next = server->connections;
  if (connection->next)
    connection->next->previous = connection;
  server->connections = connection;
  /* libmicrohttpd does not watch suspended connections.  Edge-triggered, so
     that unread bytes do not wake the loop again and again.  */
  struct epoll_event event
      = { .events = EPOLLRDHUP | EPOLLET, .data.ptr = connection };
  epoll_ctl (server->hangup_fd, EPOLL_CTL_ADD, connection->fd, &event);
  /* libmicrohttpd 0.9.75 never frees a connection whose time-out ends during
     the TLS handshake.  on_read_check ends it instead, so that the handshake
     fails, which frees it.  */
  connection->before_request = server->tls;
  if (server->tls)
    MHD_set_connection_option (mhd, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
  server_intake_open (connection);
  *context = connection;
}

static void
close_connection (server_connection_t *connection)
{
  server_t *server = connection->server;
  epoll_ctl (server->hangup_fd, EPOLL_CTL_DEL, connection->fd, NULL);
  if (connection->request)
    {
      if (connection->request->handler_called)
        server->n_open--;
      server_free_request (connection->request);
    }
  server_intake_close (connection);
  if (connection->next)
    connection->next->previous = connection->previous;
  if (connection->previous)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  g_free (connection);
}

static void
connection_changed (void *data, struct MHD_Connection *mhd, void **context,
                    enum MHD_ConnectionNotificationCode code)
{
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    open_connection (data, mhd, context);
  else if (*context)
    close_connection (*context);
}

/* Lets libmicrohttpd do what is ready, without blocking, and sets the timer
   for its next time-out.  */
static void
run_mhd (server_t *server)
{
  server->run_pending = false;
  ev_idle_stop (server->loop, &server->idle);
  tls_set_current (server->tls);
  MHD_run (server->daemon);
  server_end_refused (server);
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  if (MHD_get_timeout (server->daemon, &timeout_ms) != MHD_YES)
    ev_timer_stop (server->loop, &server->timeout);
  else if (!timeout_ms)
    server_schedule_run (server);
  else
    {
      server->timeout.repeat = (double)timeout_ms / 1e3;
      ev_timer_again (server->loop, &server->timeout);
    }
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  (void)loop;
  (void)events;
  server_t *server = watcher->data;
  if (server->run_pending)
    run_mhd (server);
}

static void
on_idle (struct ev_loop *loop, ev_idle *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
}

static void
on_daemon_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  server_schedule_run (watcher->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  server_schedule_run (watcher->data);
}

static void
end_hung_up (server_connection_t *connection)
{
  server_request_state_t *request = connection->request;
  connection->hung_up = true;
  if (!request || !request->handler_called)
    server_shutdown_connection (connection);
  else if (!request->answered && !request->gone)
    {
      server_report_gone (request);
      if (server_ends_by_close (request))
        server_dissolve_connection (connection);
      server_shutdown_connection (connection);
      server_resume (request);
    }
}

/* Ends the requests of all callers that have closed their connections.  The
   shutdown of a connection reports it once more, so the number of reads is
   bounded.  */
static void
read_hangups (server_t *server)
{
  struct epoll_event ready[HANGUPS_READ];
  size_t reads = server->n_connections / HANGUPS_READ + 1;
  int n;
  do
    {
      n = epoll_wait (server->hangup_fd, ready, HANGUPS_READ, 0);
      for (int i = 0; i < n; i++)
        end_hung_up (ready[i].data.ptr);
    }
  while (n == HANGUPS_READ && --reads);
}

static void
on_hangup (struct ev_loop *loop, ev_io *watcher, int events)
{
  (void)loop;
  (void)events;
  read_hangups (watcher->data);
}

/* Before the other watchers of a turn, which reads all ends of connections
   that the kernel knew when it began.  */
static void
on_turn (struct ev_loop *loop, ev_check *watcher, int events)
{
  (void)loop;
  (void)events;
  server_t *server = watcher->data;
  server->turn_ns = now_ns ();
}

bool
server_has_hung_up (server_connection_t *connection)
{
  int64_t turn_ns = connection->server->turn_ns;
  bool known = connection->opened_ns < turn_ns
               && now_ns () - turn_ns <= TURN_KNOWN_NS;
  struct pollfd state = { .fd = connection->fd, .events = POLLRDHUP };
  if (!connection->hung_up && !known && poll (&state, 1, 0) > 0)
    connection->hung_up = true;
  return connection->hung_up;
}

bool
server_caller_left (const server_t *server, kwf_handle_t handle)
{
  const server_request_state_t *request
      = kwf_slots_get (server->requests, handle);
  return !request || request->gone || server_has_hung_up (request->connection);
}

/* libmicrohttpd's time-out starts anew with each byte.  This closes
   connections on which the next request line, or the rest of a request after
   it, has not been read for more than twice idle_s, so that callers that send
   a byte now and then cannot hold connections.  Until the first request of a
   TLS connection, libmicrohttpd has no time-out, and idle_s is the limit.  */
static void
on_read_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  server_t *server = watcher->data;
  int64_t limit_ns = 2 * KWF_NS_PER_S * server->options.idle_s;
  int64_t earliest_ns = now_ns () - limit_ns;
  for (server_connection_t *c = server->connections; c; c = c->next)
    if (c->since_ns < earliest_ns + (c->before_request ? limit_ns / 2 : 0)
        && !(c->request && c->request->handler_called))
      server_shutdown_connection (c);
}

static void
set_defaults (server_options_t *options)
{
  if (!options->max_header_bytes)
    options->max_header_bytes = 16 << 10;
  if (!options->max_body_bytes)
    options->max_body_bytes = 4 << 20;
  if (!options->idle_s)
    options->idle_s = 30;
  if (!options->max_connections)
    options->max_connections = 4096;
  if (!options->max_pending_bytes)
    options->max_pending_bytes = 1 << 20;
}

/* Returns a socket that listens at "IP:PORT" or "[IP]:PORT", with its PORT;
   -1: ERROR is filled.  */
static int
listen_on (const char *address, int *port, kwf_error_t *error)
{
  char host[64];
  const char *colon = strrchr (address, ':');
  size_t size = colon ? (size_t)(colon - address) : 0;
  const char *start = address;
  if (size >= 2 && address[0] == '[' && colon[-1] == ']')
    {
      start++;
      size -= 2;
    }
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  struct addrinfo *info = NULL;
  if (!size || size >= sizeof host)
    {
      kwf_fail (error, KWF_INVALID, "listen", address,
                "the address is not IP:PORT");
      return -1;
    }
  memcpy (host, start, size);
  host[size] = '\0';
  if (getaddrinfo (host, colon + 1, &hints, &info) != 0)
    {
      kwf_fail (error, KWF_INVALID, "listen", address,
                "the address is not IP:PORT");
      return -1;
    }
  int one = 1;
  struct sockaddr_storage bound = { 0 };
  socklen_t bound_size = sizeof bound;
  int fd = socket (info->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
                   0);
  if (fd < 0
      || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) != 0
      || bind (fd, info->ai_addr, info->ai_addrlen) != 0
      || listen (fd, SOMAXCONN) != 0
      || getsockname (fd, (struct sockaddr *)&bound, &bound_size) != 0)
    {
      kwf_fail (error, KWF_UNAVAILABLE, "listen", address, "%s",
                g_strerror (errno));
      if (fd >= 0)
        close (fd);
      fd = -1;
    }
  freeaddrinfo (info);
  struct sockaddr_in in4 = { 0 };
  struct sockaddr_in6 in6 = { 0 };
  if (bound.ss_family == AF_INET6)
    memcpy (&in6, &bound, sizeof in6);
  else
    memcpy (&in4, &bound, sizeof in4);
  *port = ntohs (bound.ss_family == AF_INET6 ? in6.sin6_port : in4.sin_port);
  return fd;
}

static struct MHD_Daemon *
start_daemon (server_t *server, int fd)
{
  const server_options_t *options = &server->options;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO;
  struct MHD_OptionItem tls[] = {
    { MHD_OPTION_END, 0, NULL },
    { MHD_OPTION_END, 0, NULL },
  };
  if (server->tls)
    {
      flags |= MHD_USE_TLS;
      tls[0].option = MHD_OPTION_HTTPS_CERT_CALLBACK;
      tls[0].ptr_value = (void *)tls_choose_certificate;
    }
  return MHD_start_daemon (
      flags, 0, NULL, NULL, server_access_handler, server,
      MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      options->max_header_bytes + ANSWER_HEAD_BYTES,
      MHD_OPTION_CONNECTION_LIMIT, options->max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s,
      MHD_OPTION_URI_LOG_CALLBACK, server_start_request, server,
      MHD_OPTION_NOTIFY_COMPLETED, server_request_completed, server,
      MHD_OPTION_NOTIFY_CONNECTION, connection_changed, server,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
}

static void
start_watchers (server_t *server)
{
  struct ev_loop *loop = server->loop;
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  double read_check_s = (double)server->options.idle_s / 4;
  ev_io_init (&server->mhd_io, on_daemon_ready, info->epoll_fd, EV_READ);
  ev_io_init (&server->hangup_io, on_hangup, server->hangup_fd, EV_READ);
  ev_timer_init (&server->timeout, on_timeout, 0., 0.);
  ev_timer_init (&server->read_check, on_read_check, read_check_s,
                 read_check_s);
  ev_prepare_init (&server->prepare, on_prepare);
  ev_check_init (&server->turn, on_turn);
  ev_idle_init (&server->idle, on_idle);
  server->mhd_io.data = server->hangup_io.data = server->timeout.data
      = server->read_check.data = server->prepare.data = server->turn.data
      = server;
  /* Before timers and answers of the same turn, which may move a queue on.  */
  ev_set_priority (&server->hangup_io, EV_MAXPRI);
  ev_io_start (loop, &server->mhd_io);
  ev_io_start (loop, &server->hangup_io);
  ev_timer_start (loop, &server->read_check);
  server_intake_start (server);
  ev_prepare_start (loop, &server->prepare);
  ev_set_priority (&server->turn, EV_MAXPRI);
  ev_check_start (loop, &server->turn);
}

server_t *
server_start (struct ev_loop *loop, const server_options_t *options,
              const server_handler_t *handler, void *data, kwf_error_t *error)
{
  int port;
  int fd = listen_on (options->address, &port, error);
  if (fd < 0)
    return NULL;
  server_t *server = g_new0 (server_t, 1);
  server->loop = loop;
  server->handler = handler;
  server->data = data;
  server->options = *options;
  server->port = port;
  set_defaults (&server->options);
  server->requests = kwf_slots_new (sizeof (server_request_state_t));
  server->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  bool good = true;
  if (options->tls_certificate)
    {
      server->tls = tls_new ();
      good = server_set_certificate (server, options->tls_certificate,
                                     options->tls_key, error)
             == KWF_OK;
    }
  if (good && !(server->daemon = start_daemon (server, fd)))
    kwf_fail (error, KWF_INVALID, "listen", options->address,
              "libmicrohttpd refused the options");
  if (!server->daemon)
    {
      close (fd);
      close (server->hangup_fd);
      tls_free (server->tls);
      kwf_slots_free (server->requests);
      g_free (server);
      return NULL;
    }
  start_watchers (server);
  return server;
}

kwf_status_t
server_set_certificate (server_t *server, const char *certificate,
                        const char *key, kwf_error_t *error)
{
  if (!server->tls)
    return kwf_fail (error, KWF_INVALID, "set TLS certificate", NULL,
                     "the listener was started without TLS");
  return tls_set_certificate (server->tls, certificate, key, error);
}

void
server_close_after_answers (server_t *server)
{
  server->closing = true;
}

void
server_quiesce (server_t *server)
{
  if (server->quiesced)
    return;
  server->quiesced = server->closing = true;
  MHD_socket fd = MHD_quiesce_daemon (server->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

void
server_stop (server_t *server)
{
  if (!server)
    return;
  server->stopping = true;
  /* libmicrohttpd must not be stopped while connections are suspended.  */
  kwf_handle_t handle = 0;
  server_request_state_t *request;
  while ((request = kwf_slots_next (server->requests, &handle)))
    {
      if (server_ends_by_close (request))
        server_dissolve_connection (request->connection);
      if (request->suspended)
        {
          request->gone = true;
          server_resume (request);
        }
    }
  tls_set_current (server->tls);
  MHD_run (server->daemon);
  MHD_stop_daemon (server->daemon);
  tls_free (server->tls);
  ev_io_stop (server->loop, &server->mhd_io);
  ev_io_stop (server->loop, &server->hangup_io);
  ev_timer_stop (server->loop, &server->timeout);
  ev_timer_stop (server->loop, &server->read_check);
  server_intake_stop (server);
  ev_prepare_stop (server->loop, &server->prepare);
  ev_check_stop (server->loop, &server->turn);
  ev_idle_stop (server->loop, &server->idle);
  close (server->hangup_fd);
  kwf_slots_free (server->requests);
  g_free (server);
}

int
server_port (const server_t *server)
{
  return server->port;
}

size_t
server_open_requests (const server_t *server)
{
  return server->n_open;
}

uint64_t
server_left_requests (const server_t *server)
{
  return server->n_left;
}
