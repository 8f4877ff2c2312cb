#include "common-peer.h"

#include <string.h>

#include "net/peer-internal.h"

static void
on_up (void *data, const char *instance, uint64_t incarnation)
{
  test_peer_t *peer = data;
  peer->up++;
  peer->incarnation = incarnation;
  g_strlcpy (peer->last_up, instance, sizeof peer->last_up);
  g_string_append_printf (peer->log, "+%s ", instance);
}

static void
on_down (void *data, const char *instance, bool refused)
{
  test_peer_t *peer = data;
  peer->down++;
  peer->refused_down += refused;
  peer->lost += !refused;
  g_string_append_printf (peer->log, "-%s ", instance);
}

static void
on_message (void *data, const char *instance, uint64_t incarnation,
            const kwf_message_t *message)
{
  (void)incarnation;
  test_peer_t *peer = data;
  peer->messages++;
  peer->message = *message;
  if (peer->unlink_on_message)
    peers_unlink (peer->peers, instance);
}

static void
on_refused (void *data, const kwf_error_t *error)
{
  test_peer_t *peer = data;
  peer->reports++;
  peer->report = *error;
}

test_peer_t *
test_peer_start (struct ev_loop *loop, const char *name, uint64_t incarnation,
                 const char *secret, int port)
{
  test_peer_t *peer = g_new0 (test_peer_t, 1);
  kwf_error_t error;
  peer->loop = loop;
  peer->log = g_string_new (NULL);
  peer->handler = (peers_handler_t){
    .up = on_up, .down = on_down, .message = on_message, .refused = on_refused
  };
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%d", port);
  peers_options_t options = {
    .instance = name,
    .incarnation = incarnation,
    .address = peer->address,
    .secrets = { secret },
    .hello_ms = TEST_PEER_HELLO_MS,
    .retry_ms = 40,
    .silent_ms = 300,
    .max_pending_bytes = (size_t)256 * 1024,
  };
  peer->peers = peers_start (loop, &options, &peer->handler, peer, &error);
  if (!peer->peers)
    g_error ("%s: %s", error.step, error.message);
  g_snprintf (peer->address, sizeof peer->address, "127.0.0.1:%d",
              peers_port (peer->peers));
  return peer;
}

void
test_peer_stop (test_peer_t *peer)
{
  if (!peer)
    return;
  peers_stop (peer->peers);
  g_string_free (peer->log, TRUE);
  g_free (peer);
}

void
test_peer_link (test_peer_t *peer, const char *name, const test_peer_t *to)
{
  peers_link (peer->peers, name, to->address);
}

kwf_status_t
test_peer_send_got (test_peer_t *peer, const char *to, int64_t number)
{
  kwf_message_t message = { .type = KWF_MSG_SHARE_ACK, .share_ack = number };
  return peers_send (peer->peers, to, &message);
}

guint
test_peer_open_links (const test_peer_t *peer)
{
  return peer->peers->links->len;
}
