/* common-relay.h - a relay on the link between two instances, for tests: it
   passes on whole frames and lets the test change them.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_RELAY_H
#define KNAPWEEDFORK_TEST_COMMON_RELAY_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef struct relay relay_t;

/* Called before a frame is passed on.  FRAME includes its 4-byte length.
   OPENER: it was sent by the opener of the link; false: by the acceptor.
   INDEX counts the frames of one direction from 0: 0 is HELLO, 1 is PROOF.
   The bytes in FRAME on return are passed on.  */
typedef void (*relay_fn_t) (relay_t *relay, bool opener, int index,
                            GByteArray *frame, void *data);

struct relay
{
  struct ev_loop *loop;
  ev_io io;
  int target; /* port that it connects to */
  char address[32];
  /* Set by the test: reads and passes on nothing, connections stay open.  */
  bool stalled;
  relay_fn_t fn;
  void *data;
  GPtrArray *connections;
};

relay_t *relay_start (struct ev_loop *loop, int target, relay_fn_t fn,
                      void *data);
void relay_free (relay_t *relay);

#endif
