/* common-node.h - one side of links between instances, for tests.  */

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
  int up; /* calls */
  int down;
  int refused_down; /* of these, with an address that refused */
  int lost;         /* of these, others */
  int messages;
  int reports;
  uint64_t incarnation;  /* of the last up */
  char last_up[64];      /* instance */
  kwf_error_t report;    /* last */
  kwf_message_t message; /* last; strings are void */
  GString *log;          /* "+b -b " for up and down */
  const char *unlink_on_message;
} test_peer_t;

/* Start NAME; tests use short times.  PORT 0 takes a free one.  */
test_peer_t *test_peer_start (struct ev_loop *loop, const char *name,
                              uint64_t incarnation, const char *secret,
                              int port);
void test_peer_stop (test_peer_t *node);

/* Keep a link from NODE to TO, whose id is NAME.  */
void test_peer_link (test_peer_t *node, const char *name,
                     const test_peer_t *to);

kwf_status_t test_peer_send_got (test_peer_t *node, const char *to,
                                 int64_t number);

/* Links that are open, whether up or not.  */
guint test_peer_open_links (const test_peer_t *node);

#endif
