/* common-cut.h - cuts processes off from listeners, as a network does that no
   longer carries their packets.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CUT_H
#define KNAPWEEDFORK_TEST_COMMON_CUT_H

#include <sys/types.h>

#include "common-listener.h"

#define CUT_MOST 64 /* processes of one cut */

typedef enum
{
  CUT_HANGS,  /* nothing passes on any connection */
  CUT_RESETS, /* all connections are reset */
  CUT_REFUSES /* new connections are reset, the others go on */
} cut_kind_t;

typedef struct cut
{
  cut_kind_t kind;
  pid_t pids[CUT_MOST];
  int n;
} cut_t;

/* Cuts the processes of CUT, which must outlive the cut, off from LISTENER
   until cut_end.  */
void cut_begin (const cut_t *cut, listener_t *listener);
void cut_end (listener_t *listener);

/* Treats a connection that LISTENER, which is cut off, has just accepted as
   FD.  Returns false if it was reset.  *HELD: nothing passes on it.  */
bool cut_accept (const cut_t *cut, int fd, bool *held);

#endif
