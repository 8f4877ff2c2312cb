/* peer.h - authenticated links between instances.

   A link is a TCP connection that carries frames: a 4-byte big-endian length
   and a msgpack array [version, type, fields...] (docs/design.md section 10).
   It is used only after both sides have proved that they hold the fleet
   secret.  Two instances keep one link: when both connect, the link opened by
   the instance with the smaller id stays.  */

#ifndef KNAPWEEDFORK_NET_PEER_H
#define KNAPWEEDFORK_NET_PEER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/message.h>
#include <knapweedfork/status.h>

#define PEERS_MAX_SECRETS 2

/* The listener and all links of this instance.  */
typedef struct peers peers_t;

typedef struct
{
  const char *instance;
  uint64_t incarnation; /* start of the process, wall clock in ms; a
                           larger one is newer */
  const char *address;  /* to listen on, "IP:PORT" */
  /* Fleet secrets of at least 16 bytes.  Links are opened with the first;
     links that others open may use any of them.  NULL ends the list early.  */
  const char *secrets[PEERS_MAX_SECRETS];
  unsigned hello_ms;  /* limit in ms for connecting and the handshake up to the
                         other side's PROOF; default 1000 */
  unsigned retry_ms;  /* between attempts to connect; default 500 */
  unsigned silent_ms; /* a link is closed when the other side has sent no frame
                         for this long; a PING is sent when this side has sent
                         none for a third of it; default 1500 */
  size_t max_pending_bytes; /* limit of unsent bytes; beyond it the link is
                               closed; default 4 MiB */
} peers_options_t;

typedef struct
{
  /* A link to INSTANCE was established.  */
  void (*up) (void *data, const char *instance, uint64_t incarnation);
  /* The link was lost, or an attempt to connect failed.  REFUSED: the address
     refused the connection.  */
  void (*down) (void *data, const char *instance, bool refused);
  void (*message) (void *data, const char *instance, uint64_t incarnation,
                   const kwf_message_t *message);
  /* The newest revision of this system's own rows that is known here; 0: none
     is.  May be NULL.  */
  int64_t (*revision) (void *data);
  /* A link was closed because of a fault ERROR, which is to be logged; this is
     not the REFUSED of down().  The same fault is reported at most once in 60
     s.  May be NULL.  */
  void (*refused) (void *data, const kwf_error_t *error);
} peers_handler_t;

/* Starts listening.  Returns NULL and fills ERROR on failure.  */
peers_t *peers_start (struct ev_loop *loop, const peers_options_t *options,
                      const peers_handler_t *handler, void *data,
                      kwf_error_t *error);
void peers_stop (peers_t *peers);
int peers_port (const peers_t *peers);

/* Keeps a link to INSTANCE at ADDRESS: connects from the loop without delay,
   and again after a failed attempt or a loss.  */
void peers_link (peers_t *peers, const char *instance, const char *address);
void peers_unlink (peers_t *peers, const char *instance);

/* Sends MESSAGE.  KWF_CLOSED: there is no link, or it is being closed, also
   because MESSAGE makes its unsent bytes exceed max_pending_bytes.  Other
   errors: MESSAGE cannot be encoded (message_encode).  */
kwf_status_t peers_send (peers_t *peers, const char *instance,
                         const kwf_message_t *message);

/* Replaces the fleet secrets.  Links that were made with a secret that stays
   go on, the others are closed.  KWF_INVALID: a secret is too short; nothing
   changed.  */
kwf_status_t peers_set_secrets (peers_t *peers,
                                const char *const secrets[PEERS_MAX_SECRETS],
                                kwf_error_t *error);

/* Bytes sent and received on links since peers_start.  */
void peers_traffic (const peers_t *peers, uint64_t *sent, uint64_t *received);

/* For tests: closes and refuses links to INSTANCE while BLOCKED is true.  */
void peers_block (peers_t *peers, const char *instance, bool blocked);

#endif
