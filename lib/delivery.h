/* delivery.h - what may be sent to a caller after what was sent already.

   Once the first byte of a stream was sent, only three things may follow: more
   events of the same run, events of another run that go on after the last one,
   or an end that the caller sees is not regular.  Never another status or
   another run's answer, and never nothing.  The core and the network side ask
   the same table.  */

#ifndef KNAPWEEDFORK_DELIVERY_H
#define KNAPWEEDFORK_DELIVERY_H

typedef enum
{
  DELIVERY_NONE,   /* nothing was sent */
  DELIVERY_BEGUN,  /* the head and the first events of a stream were sent */
  DELIVERY_ENDED,  /* the answer is complete, or its caller is gone */
  DELIVERY_BROKEN, /* the answer was broken off */
  N_DELIVERIES
} delivery_t;

/* What there is to be sent.  */
typedef enum
{
  DELIVERY_EVENTS,     /* events of a run that began the stream or goes on
                          after its last event */
  DELIVERY_GAP,        /* events of a run that leave others out */
  DELIVERY_STREAM_END, /* the regular end of such a run */
  DELIVERY_ANSWER,     /* a whole answer that is no stream */
  DELIVERY_ERROR,      /* an error of this instance: a refusal, the deadline, a
                          withdrawn key, the stop, a withheld answer, or no
                          run that could go on */
  DELIVERY_GONE,       /* the caller closed */
  N_DELIVERY_INPUTS
} delivery_input_t;

typedef enum
{
  DELIVER_NOTHING,
  DELIVER_BEGIN, /* the head of the stream, then the events */
  DELIVER_PASS,  /* the events */
  DELIVER_END,   /* the regular end of the stream */
  DELIVER_WHOLE, /* the whole answer, or the error as an answer */
  DELIVER_BREAK, /* break off so that the caller sees it */
  DELIVER_RETRY  /* nothing of this run: another one may go on, else there is
                    an error */
} delivery_action_t;

/* What to do with INPUT after STATE.  */
delivery_action_t delivery_action (delivery_t state, delivery_input_t input);

/* The same, and changes *STATE to what it is afterwards.  */
delivery_action_t delivery_step (delivery_t *state, delivery_input_t input);

/* Names for logs.  */
const char *delivery_name (delivery_t state);
const char *delivery_input_name (delivery_input_t input);

#endif
