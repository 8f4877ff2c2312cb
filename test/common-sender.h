/* common-sender.h - sends the bytes of an answer in pieces, on a connection of
   a listener, and ends the connection in a chosen way.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_SENDER_H
#define KNAPWEEDFORK_TEST_COMMON_SENDER_H

#include "common-listener.h"

typedef enum
{
  ENDING_CLOSE, /* FIN, as of a process that is killed */
  ENDING_RESET,
  ENDING_SILENCE,          /* the connection stays open */
  ENDING_CLOSE_RESET,      /* FIN and a reset behind it, at once */
  ENDING_CLOSE_THEN_RESET, /* FIN, and a reset LATE_RESET_S later */
  N_ENDINGS
} ending_t;

/* Sends the SIZE BYTES in writes of PIECE bytes, one in each turn of the loop;
   0: in one write.  Takes no account of what the receiver does.  */
void sender_start (connection_t *connection, const char *bytes, size_t size,
                   size_t piece, ending_t ending);

#endif
