/* Which links exist: connecting, accepting, one link to each instance.  */

#include "peer.h"

#include <errno.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "peer-internal.h"

enum
{
  DEFAULT_HELLO_MS = 1000,
  DEFAULT_RETRY_MS = 500,
  DEFAULT_SILENT_MS = 1500,
  DEFAULT_PENDING_BYTES = 4 * 1024 * 1024,
  BACKLOG = 512,
  /* limit of accepted connections that have not yet sent a valid PROOF */
  MAX_UNAUTHENTICATED = 512,
  /* The same fault is reported again only after this time.  */
  REPORT_INTERVAL_S = 60,
  MAX_REPORTED = 256
};
#define ACCEPT_RETRY_S 0.1

static void on_connect_timer (struct ev_loop *loop, ev_timer *timer,
                              int events);

static peer_t *
find_peer (const peers_t *peers, const char *instance)
{
  return g_hash_table_lookup (peers->known, instance);
}

static peer_t *
find_or_add_peer (peers_t *peers, const char *instance)
{
  peer_t *peer = find_peer (peers, instance);
  if (peer)
    return peer;
  peer = g_new0 (peer_t, 1);
  peer->peers = peers;
  peer->instance = g_strdup (instance);
  ev_timer_init (&peer->connect_timer, on_connect_timer, 0.0, 0.0);
  peer->connect_timer.data = peer;
  g_hash_table_insert (peers->known, peer->instance, peer);
  return peer;
}

static void
peer_free (void *data)
{
  peer_t *peer = data;
  ev_timer_stop (peer->peers->loop, &peer->connect_timer);
  g_free (peer->instance);
  g_free (peer->address);
  g_free (peer);
}

/* Forgets a peer that has no link and that peers_link was not called for.  */
static void
forget_unneeded (peers_t *peers, peer_t *peer)
{
  if (!peer->wanted && !peer->up && !peer->opening)
    g_hash_table_remove (peers->known, peer->instance);
}

static void
connect_after (peer_t *peer, double seconds)
{
  ev_timer_stop (peer->peers->loop, &peer->connect_timer);
  ev_timer_set (&peer->connect_timer, seconds, 0.0);
  ev_timer_start (peer->peers->loop, &peer->connect_timer);
}

/* Retries after 75 to 125 % of retry_ms, so that instances that restart at the
   same time do not go on connecting at the same time.  */
static void
connect_after_pause (peer_t *peer)
{
  double share = 0.75 + randombytes_uniform (501) / 1000.0;
  if (peer->wanted)
    connect_after (peer, peer->peers->options.retry_ms * share / 1e3);
}

/* Whether peers_block forbids links to INSTANCE, as in tests.  */
static bool
is_blocked (const peers_t *peers, const char *instance)
{
  return g_hash_table_contains (peers->blocked, instance);
}

/* Whether an accepted link to INSTANCE is in its handshake.  */
static bool
is_in_handshake (const peers_t *peers, const char *instance)
{
  for (guint i = 0; i < peers->links->len; i++)
    {
      const link_t *link = g_ptr_array_index (peers->links, i);
      if (link->role == LINK_ROLE_ACCEPTOR && link->state == LINK_PROOF
          && strcmp (link->theirs.instance, instance) == 0)
        return true;
    }
  return false;
}

static void
on_connect_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  peer_t *peer = timer->data;
  peers_t *peers = peer->peers;
  bool refused = false;
  if (!peer->wanted || peer->up || peer->opening)
    return;
  if (!is_blocked (peers, peer->instance) && link_open (peer, &refused))
    return;
  connect_after_pause (peer);
  char *instance = g_strdup (peer->instance);
  peers->handler->down (peers->data, instance, refused);
  g_free (instance);
}

void
peers_closed (link_t *link, bool was_up, bool refused)
{
  peers_t *peers = link->peers;
  peer_t *peer = link->peer;
  if (!peer || peers->stopping)
    return;
  char *instance = g_strdup (peer->instance);
  bool is_down = false;
  if (peer->opening == link)
    {
      peer->opening = NULL;
      is_down = !peer->up && !is_in_handshake (peers, instance);
    }
  else if (peer->up == link)
    {
      peer->up = NULL;
      is_down = true;
    }
  else
    /* Another link has replaced this one; messages may be lost.  */
    is_down = was_up;
  if (!peer->up && !peer->opening)
    connect_after_pause (peer);
  forget_unneeded (peers, peer);
  if (is_down)
    peers->handler->down (peers->data, instance, refused);
  g_free (instance);
}

bool
peers_check_hello (link_t *link, kwf_error_t *error)
{
  peers_t *peers = link->peers;
  const char *instance = link->theirs.instance;
  if (strcmp (instance, peers->instance) == 0)
    {
      kwf_fail (error, KWF_DENIED, "greet", NULL,
                "the other side uses the id of this instance");
      return false;
    }
  if (is_blocked (peers, instance))
    return false;
  if (link->peer && strcmp (link->peer->instance, instance) != 0)
    {
      kwf_fail (error, KWF_DENIED, "greet", NULL,
                "instance %s answers at the address of %s", instance,
                link->peer->instance);
      return false;
    }
  return true;
}

/* Whether the link opened by this instance stays when both sides connect.  */
static bool
own_link_stays (const link_t *link)
{
  return strcmp (link->peers->instance, link->theirs.instance) < 0;
}

/* Whether KEY is that of a fleet secret in use.  */
static bool
is_current_key (const peers_t *peers, const unsigned char *key)
{
  for (size_t i = 0; i < peers->n_keys; i++)
    if (sodium_memcmp (peers->keys[i], key, HELLO_KEY_BYTES) == 0)
      return true;
  return false;
}

bool
peers_admit (link_t *link)
{
  peer_t *peer = find_peer (link->peers, link->theirs.instance);
  if (is_blocked (link->peers, link->theirs.instance)
      || !is_current_key (link->peers, link->secret.fleet_key))
    return false;
  if (!peer)
    return true;
  /* The other side may already use the link opened by this instance.  */
  if (link->role == LINK_ROLE_ACCEPTOR && peer->opening
      && peer->opening->proved && own_link_stays (link))
    return false;
  if (!peer->up || peer->up->closing)
    return true;
  if (link->theirs.incarnation != peer->up->theirs.incarnation)
    return link->theirs.incarnation > peer->up->theirs.incarnation;
  /* A second link opened by the same side means that it gave up the first.  */
  if (link->role == peer->up->role)
    return true;
  return (link->role == LINK_ROLE_OPENER) == own_link_stays (link);
}

void
peers_established (link_t *link)
{
  peers_t *peers = link->peers;
  peer_t *peer = find_or_add_peer (peers, link->theirs.instance);
  link_t *replaced = peer->up;
  link_t *opening = peer->opening;
  peer->up = link;
  peer->opening = NULL;
  link->peer = peer;
  ev_timer_stop (peers->loop, &peer->connect_timer);
  if (opening && opening != link)
    {
      opening->peer = NULL;
      link_close (opening, false, NULL);
    }
  if (replaced)
    link_close (replaced, false, NULL);
  /* The down() handler may have closed this link as well.  */
  if (link->state == LINK_UP)
    peers->handler->up (peers->data, link->theirs.instance,
                        link->theirs.incarnation);
}

void
peers_report (peers_t *peers, const kwf_error_t *error)
{
  double now = ev_now (peers->loop);
  if (peers->stopping)
    return;
  char *key = g_strconcat (error->peer, " ", error->message, NULL);
  const double *last = g_hash_table_lookup (peers->reported, key);
  if (last && now - *last < REPORT_INTERVAL_S)
    {
      g_free (key);
      return;
    }
  if (g_hash_table_size (peers->reported) >= MAX_REPORTED)
    g_hash_table_remove_all (peers->reported);
  double *time = g_new (double, 1);
  *time = now;
  g_hash_table_replace (peers->reported, key, time);
  if (peers->handler->refused)
    peers->handler->refused (peers->data, error);
}

static guint
count_unauthenticated (const peers_t *peers)
{
  guint count = 0;
  for (guint i = 0; i < peers->links->len; i++)
    {
      const link_t *link = g_ptr_array_index (peers->links, i);
      count += link->role == LINK_ROLE_ACCEPTOR && link->state != LINK_UP;
    }
  return count;
}

static void
on_connection (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  peers_t *peers = io->data;
  address_t address = { .size = sizeof address.storage };
  int fd = accept4 (io->fd, (struct sockaddr *)&address.storage, &address.size,
                    SOCK_CLOEXEC | SOCK_NONBLOCK);
  if (fd >= 0)
    {
      if (count_unauthenticated (peers) < MAX_UNAUTHENTICATED)
        link_accept (peers, fd, &address);
      else
        close (fd);
    }
  else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS
           || errno == ENOMEM)
    {
      /* The connection stays in the queue of the listener; without a pause the
         loop would do nothing else.  */
      ev_io_stop (loop, io);
      ev_timer_set (&peers->accept_retry, ACCEPT_RETRY_S, 0.0);
      ev_timer_start (loop, &peers->accept_retry);
    }
}

static void
on_accept_retry (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  peers_t *peers = timer->data;
  ev_io_start (loop, &peers->io);
}

static void
on_free_closed (struct ev_loop *loop, ev_prepare *prepare, int events)
{
  (void)events;
  peers_t *peers = prepare->data;
  for (guint i = 0; i < peers->closed->len; i++)
    link_free (g_ptr_array_index (peers->closed, i));
  g_ptr_array_set_size (peers->closed, 0);
  ev_prepare_stop (loop, prepare);
}

/* Returns a listening descriptor; -1: ERROR is filled.  */
static int
listen_at (const char *text, int *port, kwf_error_t *error)
{
  static const char step[] = "listen for peers";
  address_t address;
  if (!address_read (text, &address))
    {
      kwf_fail (error, KWF_INVALID, step, text, "not an address IP:PORT");
      return -1;
    }
  int one = 1;
  int fd = socket (address.storage.ss_family,
                   SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one)
      || bind (fd, (struct sockaddr *)&address.storage, address.size)
      || listen (fd, BACKLOG)
      || getsockname (fd, (struct sockaddr *)&address.storage, &address.size))
    {
      kwf_fail (error, KWF_UNAVAILABLE, step, text, "%s", g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return -1;
    }
  *port = address_port (&address);
  return fd;
}

static bool
secrets_are_valid (const char *const secrets[PEERS_MAX_SECRETS],
                   kwf_error_t *error)
{
  for (size_t i = 0; i < PEERS_MAX_SECRETS && (i == 0 || secrets[i]); i++)
    if (!secrets[i] || strlen (secrets[i]) < HELLO_MIN_SECRET)
      {
        kwf_fail (error, KWF_INVALID, "start peers", NULL,
                  "a fleet secret has fewer than %d bytes", HELLO_MIN_SECRET);
        return false;
      }
  return true;
}

static void
make_keys (peers_t *peers, const char *const secrets[PEERS_MAX_SECRETS])
{
  peers->n_keys = 0;
  for (size_t i = 0; i < PEERS_MAX_SECRETS && secrets[i]; i++)
    hello_fleet_key (peers->keys[peers->n_keys++],
                     (const unsigned char *)secrets[i], strlen (secrets[i]));
}

static bool
options_are_valid (const peers_options_t *options, kwf_error_t *error)
{
  static const char step[] = "start peers";
  size_t id = options->instance ? strlen (options->instance) : 0;
  if (id == 0 || id > HELLO_MAX_ID
      || !g_utf8_validate (options->instance, -1, NULL))
    kwf_fail (error, KWF_INVALID, step, NULL,
              "the instance id is not 1 to %d bytes of UTF-8", HELLO_MAX_ID);
  else if (!secrets_are_valid (options->secrets, error))
    return false;
  else if (sodium_init () < 0)
    kwf_fail (error, KWF_UNAVAILABLE, step, NULL, "no random source");
  else
    return true;
  return false;
}

static void
set_defaults (peers_options_t *options)
{
  if (!options->hello_ms)
    options->hello_ms = DEFAULT_HELLO_MS;
  if (!options->retry_ms)
    options->retry_ms = DEFAULT_RETRY_MS;
  if (!options->silent_ms)
    options->silent_ms = DEFAULT_SILENT_MS;
  if (!options->max_pending_bytes)
    options->max_pending_bytes = DEFAULT_PENDING_BYTES;
}

peers_t *
peers_start (struct ev_loop *loop, const peers_options_t *options,
             const peers_handler_t *handler, void *data, kwf_error_t *error)
{
  int port;
  if (!options_are_valid (options, error))
    return NULL;
  int fd = listen_at (options->address, &port, error);
  if (fd < 0)
    return NULL;
  peers_t *peers = g_new0 (peers_t, 1);
  peers->loop = loop;
  peers->handler = handler;
  peers->data = data;
  peers->port = port;
  peers->instance = g_strdup (options->instance);
  make_keys (peers, options->secrets);
  peers->options = *options;
  set_defaults (&peers->options);
  /* They belong to the caller and are not needed any more.  */
  memset (peers->options.secrets, 0, sizeof peers->options.secrets);
  peers->options.instance = peers->instance;
  peers->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_free);
  peers->links = g_ptr_array_new ();
  peers->closed = g_ptr_array_new ();
  peers->blocked
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  peers->reported
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  msgpack_zone_init (&peers->zone, MSGPACK_ZONE_CHUNK_SIZE);
  ev_io_init (&peers->io, on_connection, fd, EV_READ);
  ev_timer_init (&peers->accept_retry, on_accept_retry, 0.0, 0.0);
  ev_prepare_init (&peers->free_closed, on_free_closed);
  peers->io.data = peers->accept_retry.data = peers;
  peers->free_closed.data = peers;
  ev_io_start (loop, &peers->io);
  return peers;
}

void
peers_stop (peers_t *peers)
{
  if (!peers)
    return;
  peers->stopping = true;
  while (peers->links->len)
    link_close (g_ptr_array_index (peers->links, peers->links->len - 1), false,
                NULL);
  on_free_closed (peers->loop, &peers->free_closed, 0);
  ev_io_stop (peers->loop, &peers->io);
  ev_timer_stop (peers->loop, &peers->accept_retry);
  close (peers->io.fd);
  g_hash_table_destroy (peers->known);
  g_hash_table_destroy (peers->blocked);
  g_hash_table_destroy (peers->reported);
  g_ptr_array_free (peers->links, TRUE);
  g_ptr_array_free (peers->closed, TRUE);
  msgpack_zone_destroy (&peers->zone);
  sodium_memzero (peers->keys, sizeof peers->keys);
  g_free (peers->instance);
  g_free (peers);
}

int
peers_port (const peers_t *peers)
{
  return peers->port;
}

void
peers_link (peers_t *peers, const char *instance, const char *address)
{
  if (strcmp (instance, peers->instance) == 0)
    return;
  peer_t *peer = find_or_add_peer (peers, instance);
  if (peer->wanted && strcmp (peer->address, address) == 0)
    return;
  char *copy = g_strdup (address);
  g_free (peer->address);
  peer->address = copy;
  peer->wanted = true;
  if (peer->opening)
    {
      link_t *stale = peer->opening;
      peer->opening = NULL;
      stale->peer = NULL;
      link_close (stale, false, NULL);
    }
  if (!peer->up)
    connect_after (peer, 0.0);
}

void
peers_unlink (peers_t *peers, const char *instance)
{
  peer_t *peer = find_peer (peers, instance);
  if (!peer)
    return;
  link_t *links[] = { peer->up, peer->opening };
  for (size_t i = 0; i < G_N_ELEMENTS (links); i++)
    if (links[i])
      {
        links[i]->peer = NULL;
        link_close (links[i], false, NULL);
      }
  g_hash_table_remove (peers->known, peer->instance);
}

kwf_status_t
peers_send (peers_t *peers, const char *instance, const kwf_message_t *message)
{
  const peer_t *peer = find_peer (peers, instance);
  return peer && peer->up ? link_send (peer->up, message) : KWF_CLOSED;
}

kwf_status_t
peers_set_secrets (peers_t *peers,
                   const char *const secrets[PEERS_MAX_SECRETS],
                   kwf_error_t *error)
{
  if (!secrets_are_valid (secrets, error))
    return KWF_INVALID;
  make_keys (peers, secrets);
  for (guint i = 0; i < peers->links->len; i++)
    {
      link_t *link = g_ptr_array_index (peers->links, i);
      if (link->state == LINK_UP
          && !is_current_key (peers, link->secret.fleet_key))
        link_close_later (link, NULL);
    }
  return KWF_OK;
}

void
peers_traffic (const peers_t *peers, uint64_t *sent, uint64_t *received)
{
  *sent = peers->bytes_sent;
  *received = peers->bytes_received;
}

void
peers_block (peers_t *peers, const char *instance, bool blocked)
{
  if (!blocked)
    {
      g_hash_table_remove (peers->blocked, instance);
      return;
    }
  g_hash_table_add (peers->blocked, g_strdup (instance));
  for (guint i = 0; i < peers->links->len; i++)
    {
      link_t *link = g_ptr_array_index (peers->links, i);
      if (strcmp (link->theirs.instance, instance) == 0
          || (link->peer && strcmp (link->peer->instance, instance) == 0))
        link_close_later (link, NULL);
    }
}
