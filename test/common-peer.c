#include "common-peer.h"

#include <string.h>

#include "net/peer-internal.h"

static void
on_up (void *data, const char *instance, uint64_t incarnation)
{
  test_peer_t *node = data;
  node->up++;
  node->incarnation = incarnation;
  g_strlcpy (node->last_up, instance, sizeof node->last_up);
  g_string_append_printf (node->log, "+%s ", instance);
}

static void
on_down (void *data, const char *instance, bool refused)
{
  test_peer_t *node = data;
  node->down++;
  node->refused_down += refused;
  node->lost += !refused;
  g_string_append_printf (node->log, "-%s ", instance);
}

static void
on_message (void *data, const char *instance, uint64_t incarnation,
            const kwf_message_t *message)
{
  (void)incarnation;
  test_peer_t *node = data;
  node->messages++;
  node->message = *message;
  if (node->unlink_on_message)
    peers_unlink (node->peers, instance);
}

static void
on_refused (void *data, const kwf_error_t *error)
{
  test_peer_t *node = data;
  node->reports++;
  node->report = *error;
}

test_peer_t *
test_peer_start (struct ev_loop *loop, const char *name, uint64_t incarnation,
                 const char *secret, int port)
{
  test_peer_t *node = g_new0 (test_peer_t, 1);
  kwf_error_t error;
  node->loop = loop;
  node->log = g_string_new (NULL);
  node->handler = (peers_handler_t){
    .up = on_up, .down = on_down, .message = on_message, .refused = on_refused
  };
  g_snprintf (node->address, sizeof node->address, "127.0.0.1:%d", port);
  peers_options_t options = {
    .instance = name,
    .incarnation = incarnation,
    .address = node->address,
    .secrets = { secret },
    .hello_ms = TEST_PEER_HELLO_MS,
    .retry_ms = 40,
    .silent_ms = 300,
    .max_pending_bytes = (size_t)256 * 1024,
  };
  node->peers = peers_start (loop, &options, &node->handler, node, &error);
  if (!node->peers)
    g_error ("%s: %s", error.step, error.message);
  g_snprintf (node->address, sizeof node->address, "127.0.0.1:%d",
              peers_port (node->peers));
  return node;
}

void
test_peer_stop (test_peer_t *node)
{
  if (!node)
    return;
  peers_stop (node->peers);
  g_string_free (node->log, TRUE);
  g_free (node);
}

void
test_peer_link (test_peer_t *node, const char *name, const test_peer_t *to)
{
  peers_link (node->peers, name, to->address);
}

kwf_status_t
test_peer_send_got (test_peer_t *node, const char *to, int64_t number)
{
  kwf_message_t message = { .type = KWF_MSG_SHARE_ACK, .share_ack = number };
  return peers_send (node->peers, to, &message);
}

guint
test_peer_open_links (const test_peer_t *node)
{
  return node->peers->links->len;
}
