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
  LINK_CONNECTING, /* opener: connect(2) is under way */
  LINK_HELLO,      /* waiting for the other side's HELLO */
  LINK_PROOF,      /* waiting for the other side's PROOF */
  LINK_UP,
  LINK_CLOSED
} link_state_t;

typedef struct peer peer_t;

typedef struct
{
  peers_t *peers;
  peer_t *peer; /* NULL: accepted and not yet up */
  link_state_t state;
  link_role_t role; /* of this instance */
  ev_io io;
  ev_timer timer; /* time-out of the handshake, later of silence */
  ev_timer ping;
  hello_t mine;
  hello_t theirs;
  char address[64];
  unsigned char private_key[HELLO_KEY_BYTES];
  link_secret_t secret; /* with the fleet key that this link uses */
  unsigned char send_key[HELLO_KEY_BYTES];
  unsigned char receive_key[HELLO_KEY_BYTES];
  uint64_t send_number;    /* number of the next frame to encrypt, from 0 after
                              the handshake */
  uint64_t receive_number; /* number of the next frame to decrypt, likewise */
  GByteArray *in;
  GByteArray *out;
  size_t written;        /* bytes of out that were passed to the kernel */
  ev_tstamp last_queued; /* when a frame was last appended to out */
  ev_tstamp last_received;
  ev_tstamp last_turn;  /* when one of the two timers last ran */
  bool proved;          /* this instance's PROOF was sent */
  bool closing;         /* link_close_later was called */
  bool reads_revisions; /* the other side said so, or sent one */
  bool form_logged;     /* that it does not was logged */
  unsigned n_pings;     /* turns of PING */
  unsigned n_questions; /* for the form of the other side */
  kwf_error_t cause;    /* for the report when it is closed; KWF_OK: nothing to
                           report */
} link_t;

/* Another instance.  */
struct peer
{
  peers_t *peers;
  char *instance;
  char *address; /* NULL: it only connects to this instance */
  bool wanted;   /* peers_link was called for it */
  link_t *up;
  link_t *opening; /* link opened by this instance that is not up yet */
  ev_timer connect_timer;
};

struct peers
{
  struct ev_loop *loop;
  peers_options_t options;
  const peers_handler_t *handler;
  void *data;
  char *instance;
  /* Keys of the fleet secrets.  Links are opened with the first; links that
     others open may use any of them.  */
  unsigned char keys[PEERS_MAX_SECRETS][HELLO_KEY_BYTES];
  size_t n_keys;
  ev_io io;
  ev_timer accept_retry;
  int port;
  GHashTable *known; /* instance id -> peer_t */
  GPtrArray *links;  /* of link_t, all that are not closed */
  GPtrArray *closed; /* of link_t, freed before the loop waits again */
  ev_prepare free_closed;
  GHashTable *blocked;  /* ids of blocked instances */
  GHashTable *reported; /* text of a fault -> time of its last report, in s of
                           the loop */
  msgpack_zone zone;    /* memory of the message that is being delivered */
  uint64_t bytes_sent;
  uint64_t bytes_received;
  bool stopping;
};

/* Opens a link to PEER's address.  Returns false when that fails at once; sets
   REFUSED to whether the address refused the connection.  */
bool link_open (peer_t *peer, bool *refused);

/* Starts the acceptor's side of a link on the accepted descriptor FD.  */
void link_accept (peers_t *peers, int fd, const address_t *address);

/* Closes the link and reports CAUSE unless it is NULL.  REFUSED: the other
   side refused the connection.  The link is freed before the loop waits again,
   since the running callback may still use it.  */
void link_close (link_t *link, bool refused, const kwf_error_t *cause);

void link_free (link_t *link);

/* Closes the link from the loop, for callers that are in the middle of using
   it.  */
void link_close_later (link_t *link, const kwf_error_t *cause);

/* Sends MESSAGE as it is, or in the form that the other side reads.  */
kwf_status_t link_send_frame (link_t *link, const kwf_message_t *message);
kwf_status_t link_send (link_t *link, const kwf_message_t *message);

/* peer-form.c: tells the other side what this one reads; asks it for the same
   unless that is known, by a question for rows after a revision, which only a
   peer that knows revisions has; and notes what MESSAGE shows of it.  The last
   returns whether MESSAGE is for nothing else.  */
void link_send_form (link_t *link);
void link_ask_form (link_t *link);
bool link_note_form (link_t *link, const kwf_message_t *message);

/* Called by a link (peer-link.c).  */

/* Whether the other side's HELLO is acceptable.  False: it has this instance's
   own id, or, on a link opened by this instance, another id than expected, and
   ERROR is filled; or the instance is blocked, and ERROR is not changed.  */
bool peers_check_hello (link_t *link, kwf_error_t *error);

/* Whether the authenticated link may become the one link to its instance.  */
bool peers_admit (link_t *link);

/* The handshake of LINK is complete: makes it the link to its instance and
   closes others to it.  */
void peers_established (link_t *link);
/* LINK was closed: schedules the next attempt to connect, and calls down() if
   its instance has no link now or messages on LINK may be lost.  */
void peers_closed (link_t *link, bool was_up, bool refused);
/* Calls the handler refused() with ERROR, unless that was reported lately.  */
void peers_report (peers_t *peers, const kwf_error_t *error);

#endif
