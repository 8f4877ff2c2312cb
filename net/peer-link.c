/* One link: socket, handshake, frames.

   A frame on the connection is a length of LENGTH_BYTES bytes and the encoded
   array.  After the handshake the array is encrypted and an authentication
   tag follows it, which the length includes.  */

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <string.h>
#include <unistd.h>

#include "peer-internal.h"

enum
{
  RECEIVE_BYTES = 65536,
  LENGTH_BYTES = 4
};

void
link_free (link_t *link)
{
  sodium_memzero (link->private_key, sizeof link->private_key);
  sodium_memzero (&link->secret, sizeof link->secret);
  sodium_memzero (link->send_key, sizeof link->send_key);
  sodium_memzero (link->receive_key, sizeof link->receive_key);
  g_byte_array_free (link->in, TRUE);
  g_byte_array_free (link->out, TRUE);
  g_free (link);
}

void
link_close (link_t *link, bool refused, const kwf_error_t *cause)
{
  peers_t *peers = link->peers;
  if (link->state == LINK_CLOSED)
    return;
  bool was_up = link->state == LINK_UP;
  link->state = LINK_CLOSED;
  ev_io_stop (peers->loop, &link->io);
  ev_timer_stop (peers->loop, &link->timer);
  ev_timer_stop (peers->loop, &link->ping);
  close (link->io.fd);
  g_ptr_array_remove_fast (peers->links, link);
  if (cause && cause->status != KWF_OK)
    {
      kwf_error_t report = *cause;
      g_strlcpy (report.peer, link->address, sizeof report.peer);
      peers_report (peers, &report);
    }
  g_ptr_array_add (peers->closed, link);
  ev_prepare_start (peers->loop, &peers->free_closed);
  peers_closed (link, was_up, refused);
}

void
link_close_later (link_t *link, const kwf_error_t *cause)
{
  if (link->state == LINK_CLOSED || link->closing)
    return;
  link->closing = true;
  if (cause)
    link->cause = *cause;
  ev_timer_stop (link->peers->loop, &link->timer);
  ev_timer_set (&link->timer, 0.0, 0.0);
  ev_timer_start (link->peers->loop, &link->timer);
}

static void
watch_socket (link_t *link, int events)
{
  if (ev_is_active (&link->io) && link->io.events == events)
    return;
  ev_io_stop (link->peers->loop, &link->io);
  ev_io_set (&link->io, link->io.fd, events);
  ev_io_start (link->peers->loop, &link->io);
}

/* Appends room for the length of a frame to the output and returns its offset
   there.  */
static guint
frame_begin (link_t *link)
{
  static const guint8 length[LENGTH_BYTES];
  guint frame_offset = link->out->len;
  g_byte_array_append (link->out, length, LENGTH_BYTES);
  return frame_offset;
}

/* Fills in the length of the frame at FRAME_OFFSET, whose bytes end the
   output, and lets the loop send it.  */
static void
frame_end (link_t *link, guint frame_offset)
{
  guint32 length
      = GUINT32_TO_BE (link->out->len - frame_offset - LENGTH_BYTES);
  memcpy (link->out->data + frame_offset, &length, LENGTH_BYTES);
  link->last_queued = ev_now (link->peers->loop);
  watch_socket (link, EV_READ | EV_WRITE);
}

static void
send_hello (link_t *link)
{
  guint frame_offset = frame_begin (link);
  hello_write (link->out, &link->mine);
  frame_end (link, frame_offset);
}

static link_role_t
other_role (link_role_t role)
{
  return role == LINK_ROLE_OPENER ? LINK_ROLE_ACCEPTOR : LINK_ROLE_OPENER;
}

static void
send_proof (link_t *link)
{
  unsigned char proof[HELLO_KEY_BYTES];
  hello_proof (proof, &link->secret, link->role);
  guint frame_offset = frame_begin (link);
  proof_write (link->out, proof);
  frame_end (link, frame_offset);
  link->proved = true;
}

kwf_status_t
link_send_frame (link_t *link, const kwf_message_t *message)
{
  peers_t *peers = link->peers;
  if (link->state != LINK_UP || link->closing)
    return KWF_CLOSED;
  guint frame_offset = frame_begin (link);
  kwf_status_t status = message_encode (link->out, message);
  if (status != KWF_OK)
    {
      g_byte_array_set_size (link->out, frame_offset);
      return status;
    }
  guint body_offset = frame_offset + LENGTH_BYTES;
  guint end = link->out->len;
  g_byte_array_set_size (link->out, end + MESSAGE_AUTH_TAG_BYTES);
  frame_seal (link->out->data + body_offset, end - body_offset, link->send_key,
              link->send_number++);
  frame_end (link, frame_offset);
  if (link->out->len - link->written <= peers->options.max_pending_bytes)
    return KWF_OK;
  kwf_error_t cause;
  kwf_fail (&cause, KWF_LIMIT, "send frame", NULL,
            "more than %zu unsent bytes for instance %s",
            peers->options.max_pending_bytes, link->theirs.instance);
  link_close_later (link, &cause);
  return KWF_CLOSED;
}

static void
establish_link (link_t *link)
{
  peers_t *peers = link->peers;
  hello_session_key (link->send_key, &link->secret, link->role);
  hello_session_key (link->receive_key, &link->secret,
                     other_role (link->role));
  sodium_memzero (link->private_key, sizeof link->private_key);
  sodium_memzero (link->secret.shared, sizeof link->secret.shared);
  link->state = LINK_UP;
  ev_timer_stop (peers->loop, &link->timer);
  ev_timer_set (&link->timer, peers->options.silent_ms / 1e3, 0.0);
  ev_timer_start (peers->loop, &link->timer);
  ev_timer_again (peers->loop, &link->ping);
  link_send_form (link);
  peers_established (link);
}

/* Computes the secrets of the link as far as the HELLOs determine them.  A
   link is opened with the first fleet key; which key the opener of an accepted
   link used is found by check_proof.  */
static bool
compute_secret (link_t *link, kwf_error_t *error)
{
  bool opened = link->role == LINK_ROLE_OPENER;
  link->secret.opener = opened ? &link->mine : &link->theirs;
  link->secret.acceptor = opened ? &link->theirs : &link->mine;
  memcpy (link->secret.fleet_key, link->peers->keys[0], HELLO_KEY_BYTES);
  if (hello_key_agreement (link->secret.shared, link->private_key,
                           &link->theirs))
    return true;
  kwf_fail (error, KWF_DENIED, "greet", NULL,
            "the public key in HELLO is not valid");
  return false;
}

static void
on_hello (link_t *link, const guint8 *bytes, size_t size)
{
  kwf_error_t error = { .status = KWF_OK };
  if (!hello_read (&link->theirs, bytes, size, &error)
      || !peers_check_hello (link, &error) || !compute_secret (link, &error))
    {
      link_close (link, false, &error);
      return;
    }
  link->state = LINK_PROOF;
  if (link->role == LINK_ROLE_ACCEPTOR)
    send_hello (link);
  else
    send_proof (link);
}

/* Whether the PROOF is right for the link's fleet key.  When the link was
   accepted, all fleet keys are tried, and the one that fits becomes the
   link's.  */
static bool
check_proof (link_t *link, const guint8 *bytes, size_t size,
             kwf_error_t *error)
{
  const peers_t *peers = link->peers;
  size_t n = link->role == LINK_ROLE_ACCEPTOR ? peers->n_keys : 1;
  for (size_t i = 0; i < n; i++)
    {
      unsigned char expected[HELLO_KEY_BYTES];
      if (link->role == LINK_ROLE_ACCEPTOR)
        memcpy (link->secret.fleet_key, peers->keys[i], HELLO_KEY_BYTES);
      hello_proof (expected, &link->secret, other_role (link->role));
      if (proof_read (expected, bytes, size, error))
        return true;
    }
  return false;
}

static void
on_proof (link_t *link, const guint8 *bytes, size_t size)
{
  kwf_error_t error;
  if (!check_proof (link, bytes, size, &error))
    {
      link_close (link, false, &error);
      return;
    }
  if (!peers_admit (link))
    {
      link_close (link, false, NULL);
      return;
    }
  /* The acceptor sends its own proof only after it has checked the
     opener's.  */
  if (link->role == LINK_ROLE_ACCEPTOR)
    send_proof (link);
  establish_link (link);
}

static void
on_message (link_t *link, guint8 *bytes, size_t size)
{
  peers_t *peers = link->peers;
  kwf_error_t error;
  kwf_message_t message;
  size_t body = size - MESSAGE_AUTH_TAG_BYTES;
  if (!frame_open (bytes, body, link->receive_key, link->receive_number++))
    {
      kwf_fail (&error, KWF_DENIED, "read frame", NULL,
                "a frame from instance %s was altered or repeated",
                link->theirs.instance);
      link_close (link, false, &error);
      return;
    }
  kwf_status_t status
      = message_decode (&message, bytes, body, &peers->zone, &error);
  /* A newer build sends messages that this one does not know.  */
  if (status == KWF_NOT_FOUND)
    peers_report (peers, &error);
  else if (status != KWF_OK)
    link_close (link, false, &error);
  else if (!link_note_form (link, &message) && message.type != KWF_MSG_PING)
    peers->handler->message (peers->data, link->theirs.instance,
                             link->theirs.incarnation, &message);
  msgpack_zone_clear (&peers->zone);
}

/* Reads the length of the frame at BYTES.  Returns false when it is outside
   the limits for the link's state.  */
static bool
frame_size (const link_t *link, const guint8 *bytes, size_t *size)
{
  guint32 length;
  memcpy (&length, bytes, LENGTH_BYTES);
  *size = GUINT32_FROM_BE (length);
  if (link->state == LINK_UP)
    return *size > MESSAGE_AUTH_TAG_BYTES && *size <= MESSAGE_MAX_FRAME;
  return *size > 0 && *size <= HELLO_MAX_BYTES;
}

static void
handle_frames (link_t *link)
{
  size_t offset = 0;
  size_t size;
  while (link->state != LINK_CLOSED && !link->closing
         && link->in->len - offset >= LENGTH_BYTES)
    {
      guint8 *frame = link->in->data + offset;
      if (!frame_size (link, frame, &size))
        {
          kwf_error_t error;
          kwf_fail (&error, KWF_LIMIT, "read frame", NULL,
                    "a frame of %zu bytes is outside the limits", size);
          link_close (link, false, &error);
          return;
        }
      if (link->in->len - offset - LENGTH_BYTES < size)
        break;
      link->last_received = ev_now (link->peers->loop);
      offset += LENGTH_BYTES + size;
      if (link->state == LINK_HELLO)
        on_hello (link, frame + LENGTH_BYTES, size);
      else if (link->state == LINK_PROOF)
        on_proof (link, frame + LENGTH_BYTES, size);
      else
        on_message (link, frame + LENGTH_BYTES, size);
    }
  if (offset == link->in->len && offset > RECEIVE_BYTES)
    {
      g_byte_array_free (link->in, TRUE);
      link->in = g_byte_array_new ();
    }
  else if (offset)
    g_byte_array_remove_range (link->in, 0, (guint)offset);
}

/* Receives once from the socket and handles the whole frames, which may close
   the link.  */
static void
receive_frames (link_t *link)
{
  guint8 bytes[RECEIVE_BYTES];
  ssize_t size = recv (link->io.fd, bytes, sizeof bytes, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (size <= 0)
    {
      link_close (link, false, NULL);
      return;
    }
  link->peers->bytes_received += (uint64_t)size;
  g_byte_array_append (link->in, bytes, (guint)size);
  handle_frames (link);
}

static void
write_bytes (link_t *link)
{
  size_t left = link->out->len - link->written;
  ssize_t size = 0;
  if (left)
    size = send (link->io.fd, link->out->data + link->written, left,
                 MSG_NOSIGNAL);
  if (size < 0)
    {
      if (errno != EAGAIN && errno != EINTR)
        link_close (link, false, NULL);
      return;
    }
  link->peers->bytes_sent += (uint64_t)size;
  link->written += (size_t)size;
  if (link->written < link->out->len)
    {
      if (link->written > RECEIVE_BYTES && link->written > link->out->len / 2)
        {
          g_byte_array_remove_range (link->out, 0, (guint)link->written);
          link->written = 0;
        }
      return;
    }
  g_byte_array_set_size (link->out, 0);
  link->written = 0;
  watch_socket (link, EV_READ);
}

static void
on_connected (link_t *link)
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (link->io.fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error)
    {
      link_close (link, error == ECONNREFUSED, NULL);
      return;
    }
  link->state = LINK_HELLO;
  send_hello (link);
}

static void
on_io (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  link_t *link = io->data;
  if (link->closing)
    return;
  if (link->state == LINK_CONNECTING)
    on_connected (link);
  else
    {
      if (events & EV_WRITE)
        write_bytes (link);
      if (events & EV_READ && link->state != LINK_CLOSED)
        receive_frames (link);
    }
}

/* Takes the time in which this process stood still off the silence of LINK:
   the other side may have stood still as well, as on a machine that was
   suspended or too busy.  While the loop runs, a timer of LINK runs at least
   once in the period of its pings.  */
static void
discount_pause (link_t *link)
{
  ev_tstamp now = ev_now (link->peers->loop);
  ev_tstamp seen = MAX (link->last_turn, link->last_received);
  ev_tstamp pause = now - seen - link->ping.repeat;
  if (pause > 0)
    link->last_received = MIN (link->last_received + pause, now);
  link->last_turn = now;
}

static void
on_silence_timeout (link_t *link)
{
  peers_t *peers = link->peers;
  double limit = peers->options.silent_ms / 1e3;
  /* After a pause of this process, frames that arrived meanwhile may not have
     been read yet.  */
  receive_frames (link);
  if (link->state == LINK_CLOSED || link->closing)
    return;
  discount_pause (link);
  double left = link->last_received + limit - ev_now (peers->loop);
  if (left > 0)
    {
      ev_timer_set (&link->timer, left, 0.0);
      ev_timer_start (peers->loop, &link->timer);
      return;
    }
  kwf_error_t cause;
  kwf_fail (&cause, KWF_TIMEOUT, "read frame", NULL,
            "no frame from instance %s for %u ms", link->theirs.instance,
            peers->options.silent_ms);
  link_close (link, false, &cause);
}

/* Reads what the socket has for the present step of the handshake.  */
static void
continue_handshake (link_t *link)
{
  struct pollfd ready = { .fd = link->io.fd, .events = POLLOUT };
  if (link->state != LINK_CONNECTING)
    receive_frames (link);
  else if (poll (&ready, 1, 0) == 1)
    on_connected (link);
}

static void
on_handshake_timeout (link_t *link)
{
  link_state_t before = link->state;
  /* After a pause of this process, the other side's frame may not have been
     read yet.  Each step that is completed only now gets the whole time
     again.  */
  continue_handshake (link);
  if (link->state == LINK_CLOSED || link->state == LINK_UP || link->closing)
    return;
  if (link->state != before)
    {
      ev_timer_set (&link->timer, link->peers->options.hello_ms / 1e3, 0.0);
      ev_timer_start (link->peers->loop, &link->timer);
      return;
    }
  kwf_error_t cause;
  kwf_fail (&cause, KWF_TIMEOUT, "greet", NULL,
            "the handshake took longer than %u ms",
            link->peers->options.hello_ms);
  link_close (link, false, before == LINK_CONNECTING ? NULL : &cause);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  link_t *link = timer->data;
  if (link->closing)
    link_close (link, false, &link->cause);
  else if (link->state == LINK_UP)
    on_silence_timeout (link);
  else
    on_handshake_timeout (link);
}

static void
on_ping (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  static const kwf_message_t ping = { .type = KWF_MSG_PING };
  link_t *link = timer->data;
  discount_pause (link);
  /* Any frame shows that this side is alive.  */
  if (ev_now (loop) - link->last_queued >= timer->repeat * 0.9)
    link_send (link, &ping);
  link_ask_form (link);
}

static link_t *
link_new (peers_t *peers, int fd, link_role_t role)
{
  link_t *link = g_new0 (link_t, 1);
  link->peers = peers;
  link->role = role;
  link->in = g_byte_array_new ();
  link->out = g_byte_array_new ();
  g_strlcpy (link->mine.instance, peers->instance, sizeof link->mine.instance);
  link->mine.incarnation = peers->options.incarnation;
  hello_make_key_pair (&link->mine, link->private_key);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io_init (&link->io, on_io, fd, EV_READ);
  ev_timer_init (&link->timer, on_timer, peers->options.hello_ms / 1e3, 0.0);
  ev_timer_init (&link->ping, on_ping, 0.0, peers->options.silent_ms / 3e3);
  link->io.data = link->timer.data = link->ping.data = link;
  link->last_received = ev_now (peers->loop);
  ev_timer_start (peers->loop, &link->timer);
  g_ptr_array_add (peers->links, link);
  return link;
}

bool
link_open (peer_t *peer, bool *refused)
{
  address_t address;
  *refused = false;
  if (!address_read (peer->address, &address))
    return false;
  int fd = socket (address.storage.ss_family,
                   SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return false;
  if (connect (fd, (struct sockaddr *)&address.storage, address.size)
      && errno != EINPROGRESS)
    {
      *refused = errno == ECONNREFUSED;
      close (fd);
      return false;
    }
  link_t *link = link_new (peer->peers, fd, LINK_ROLE_OPENER);
  link->peer = peer;
  peer->opening = link;
  g_strlcpy (link->address, peer->address, sizeof link->address);
  link->state = LINK_CONNECTING;
  watch_socket (link, EV_WRITE);
  return true;
}

void
link_accept (peers_t *peers, int fd, const address_t *address)
{
  link_t *link = link_new (peers, fd, LINK_ROLE_ACCEPTOR);
  address_ip (address, link->address, sizeof link->address);
  link->state = LINK_HELLO;
  watch_socket (link, EV_READ);
}
