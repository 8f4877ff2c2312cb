/* peer-internal.h - shared by peer.c (which links exist) and peer-link.c
   (one link: bytes, handshake, frames).  */

#ifndef KNAPWEEDFORK_NET_PEER_INTERNAL_H
#define KNAPWEEDFORK_NET_PEER_INTERNAL_H

#include <glib.h>

#include "address.h"
#include "peer-hello.h"
#include "peer.h"

typedef enum
{
  LINK_CONNECTING, /* opener: TCP */
  LINK_HELLO,      /* waiting for HELLO */
  LINK_PROOF,      /* waiting for PROOF */
  LINK_UP,
  LINK_CLOSED
} link_state_t;

typedef struct peer peer_t;

typedef struct
{
  peers_t *peers;
  peer_t *peer; /* NULL: accepted and not up */
  link_state_t state;
  link_role_t role; /* ours */
  ev_io io;
  ev_timer timer; /* handshake, then silence */
  ev_timer ping;
  hello_t mine;
  hello_t theirs;
  char address[64];
  unsigned char private_key[HELLO_KEY_BYTES];
  link_secret_t secret; /* its fleet key is the one that this link uses */
  unsigned char send_key[HELLO_KEY_BYTES];
  unsigned char receive_key[HELLO_KEY_BYTES];
  uint64_t sent;     /* frames after the handshake */
  uint64_t received; /* likewise */
  GByteArray *in;
  GByteArray *out;
  size_t written; /* of out */
  ev_tstamp last_sent;
  ev_tstamp last_received;
  bool proved;       /* our PROOF was sent */
  bool closing;      /* to be closed from the loop */
  kwf_error_t cause; /* of closing; KWF_OK: none to report */
} link_t;

/* A known instance.  */
struct peer
{
  peers_t *peers;
  char *instance;
  char *address; /* to connect to; NULL: it connects to us only */
  bool wanted;
  link_t *up;
  link_t *opening; /* our link that is not up yet */
  ev_timer retry;
};

struct peers
{
  struct ev_loop *loop;
  peers_options_t options;
  const peers_handler_t *handler;
  void *data;
  char *instance;
  /* Of the fleet secrets: the first is used for links that are opened
     here, the others are accepted as well.  */
  unsigned char keys[PEERS_MAX_SECRETS][HELLO_KEY_BYTES];
  size_t n_keys;
  ev_io io;
  ev_timer accept_again;
  int port;
  GHashTable *known; /* instance to peer_t */
  GPtrArray *links;  /* of link_t, all that are open */
  GPtrArray *closed; /* of link_t, freed before the loop waits again */
  ev_prepare free_closed;
  GHashTable *cut;      /* instances */
  GHashTable *reported; /* text of a fault to its time in s */
  msgpack_zone zone;    /* of the message being delivered */
  uint64_t bytes_sent;
  uint64_t bytes_received;
  bool stopping;
};

/* Open a link to PEER's address; return false, with *REFUSED, when that
   fails at once.  */
bool link_open (peer_t *peer, bool *refused);

/* Take over an accepted descriptor.  */
void link_accept (peers_t *peers, int fd, const address_t *address);

/* Close.  CAUSE is reported unless NULL.  The link is freed when the
   callback that runs has returned, since it may still use it.  */
void link_close (link_t *link, bool refused, const kwf_error_t *cause);

void link_free (link_t *link);

/* Close from the loop.  */
void link_close_later (link_t *link, const kwf_error_t *cause);

kwf_status_t link_send (link_t *link, const kwf_message_t *message);

/* Called by a link.  */

/* Whether the link may go on after HELLO.  With ERROR's status KWF_OK it is
   closed without report.  */
bool peers_check_hello (link_t *link, kwf_error_t *error);

/* Whether the authenticated link may become the link to its instance.  */
bool peers_admit (link_t *link);

void peers_established (link_t *link);
void peers_closed (link_t *link, bool was_up, bool refused);
void peers_report (peers_t *peers, const kwf_error_t *error);

#endif
