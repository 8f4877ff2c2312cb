/* common-peer.h - one side of the links between instances, for tests.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_PEER_H
#define KNAPWEEDFORK_TEST_COMMON_PEER_H

#include <glib.h>

#include "net/peer.h"

#define TEST_PEER_SECRET "0123456789abcdef"
#define TEST_PEER_HELLO_MS 1000

typedef struct
{
  struct ev_loop *loop;
  peers_t *peers;
  peers_handler_t handler;
  char address[32];
  int up; /* calls of the handler "up" */
  int down;
  int refused_down; /* calls of "down" because the peer's address refused the
                       TCP connection */
  int lost;         /* all other calls of "down": a link that was up, or an
                       attempt that failed in another way */
  int messages;
  int reports;
  uint64_t incarnation;  /* at the last call of up */
  char last_up[64];      /* instance */
  kwf_error_t report;    /* of the last call of "refused": a link that was
                            refused or closed for cause, such as a failed
                            handshake */
  kwf_message_t message; /* the last one; its strings are no longer valid */
  GString *log;          /* "+b -b " for up and down */
  const char *unlink_on_message;
} test_peer_t;

/* Starts instance NAME with shorter times than in service.  PORT 0 selects a
   free port.  */
test_peer_t *test_peer_start (struct ev_loop *loop, const char *name,
                              uint64_t incarnation, const char *secret,
                              int port);
void test_peer_stop (test_peer_t *peer);

/* Keeps a link from PEER to TO, whose instance name is NAME.  */
void test_peer_link (test_peer_t *peer, const char *name,
                     const test_peer_t *to);

kwf_status_t test_peer_send_got (test_peer_t *peer, const char *to,
                                 int64_t number);

/* Links that are open, also before their handshake has ended.  */
guint test_peer_open_links (const test_peer_t *peer);

#endif
