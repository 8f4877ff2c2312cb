/* delivery.h - what may be sent to a caller after what was sent already, and
   with which end.

   Once the first byte of a stream was sent, only three things may follow: more
   events of the same run, events of another run that go on after the last one,
   or an end that the caller sees is not regular.  Never another status or
   another run's answer, and never nothing.

   An answer leaves with no more certainty than it came with.  A server marks
   the end of its answer by a length, by chunks or by its status; or it does
   not, and its connection ends, as that of a server that crashes does.  Such
   an end is open: it leaves as the end of the caller's connection, never as
   the last chunk or a length.  The core and the network side ask the same
   table.  */

#ifndef KNAPWEEDFORK_DELIVERY_H
#define KNAPWEEDFORK_DELIVERY_H

#include <stdbool.h>

typedef enum
{
  DELIVERY_NONE,  /* nothing was sent */
  DELIVERY_BEGUN, /* the head and the first events of a stream were sent, and
                     its end will be marked */
  DELIVERY_BEGUN_OPEN, /* the same, and only the end of the connection will be
                          its end */
  DELIVERY_ENDED,      /* the answer is complete, or its caller is gone */
  DELIVERY_BROKEN,     /* the answer was broken off */
  N_DELIVERIES
} delivery_t;

/* What there is to be sent.  */
typedef enum
{
  DELIVERY_EVENTS,      /* events of a run that began the stream or goes on
                           after its last event */
  DELIVERY_OPEN_EVENTS, /* the same of a run whose server marks no end */
  DELIVERY_GAP,         /* events of a run that leave others out */
  DELIVERY_STREAM_END,  /* the regular end of such a run */
  DELIVERY_OPEN_END, /* the end of the connection of such a run, whose server
                        marks no other */
  DELIVERY_ANSWER,   /* a whole answer that is no stream */
  DELIVERY_OPEN_ANSWER, /* an answer that is no stream and ended with its
                           connection */
  DELIVERY_ERROR, /* an error of this instance: a refusal, the deadline, a
                     withdrawn key, the stop, a withheld answer, or no
                     run that could go on */
  DELIVERY_GONE,  /* the caller closed */
  N_DELIVERY_INPUTS
} delivery_input_t;

typedef enum
{
  DELIVER_NOTHING,
  DELIVER_BEGIN,      /* the head of the stream, then the events */
  DELIVER_BEGIN_OPEN, /* the same, without a mark of the end */
  DELIVER_PASS,       /* the events */
  DELIVER_END,        /* the end of the stream as its head announced it */
  DELIVER_WHOLE,      /* the whole answer, or the error as an answer */
  DELIVER_WHOLE_OPEN, /* the answer, without a mark of its end */
  DELIVER_BREAK,      /* break off so that the caller sees it */
  DELIVER_RETRY /* nothing of this run: another one may go on, else there is
                   an error */
} delivery_action_t;

/* What to do with INPUT after STATE.  */
delivery_action_t delivery_action (delivery_t state, delivery_input_t input);

/* The same, and changes *STATE to what it is afterwards.  */
delivery_action_t delivery_step (delivery_t *state, delivery_input_t input);

/* Whether a stream was begun that has not ended.  */
bool delivery_has_begun (delivery_t state);

/* The input for events, for the end of a stream and for another answer of a
   server.  BY_CLOSE: only the end of its connection marks the end.  */
delivery_input_t delivery_events (bool by_close);
delivery_input_t delivery_end (bool by_close);
delivery_input_t delivery_answer (bool by_close);

/* Names for logs.  */
const char *delivery_name (delivery_t state);
const char *delivery_input_name (delivery_input_t input);

#endif
