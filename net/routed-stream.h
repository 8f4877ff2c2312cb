/* routed-stream.h - buffer for the server-sent events of a routed answer,
   divided into whole events.

   When a stream is resumed at another server, events with ids up to the last
   one that the caller has are left out, so that none is repeated.  Ids need
   not be consecutive; but unless they are seen to jump, a run that begins
   later than with the next one leaves out events.  */

#ifndef KNAPWEEDFORK_NET_ROUTED_STREAM_H
#define KNAPWEEDFORK_NET_ROUTED_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Where a stream stands after an event.  */
typedef struct
{
  int64_t last_id; /* of the last event with an id; -1: none */
  bool no_id;      /* data without an id followed that one */
  bool jumps;      /* some id was not one more than the one before */
} stream_position_t;

#define STREAM_POSITION_START ((stream_position_t){ .last_id = -1 })

typedef struct
{
  GString *bytes; /* received and not yet passed on */
  size_t whole;   /* length of the whole events at the start of BYTES */
  int64_t count;  /* whole events so far */
  stream_position_t position;
  int64_t resume_after_id; /* events up to this id are left out; -1: none */
  bool resumed; /* its next event has to go on after what was passed on */
  bool gap;     /* it does not: events are missing, and nothing more is kept */
} routed_stream_t;

/* START is the last position that the caller has, RESUMED: of the same
   answer.  */
void routed_stream_init (routed_stream_t *stream,
                         const stream_position_t *start, bool resumed);
void routed_stream_clear (routed_stream_t *stream);

/* Whether another run can go on after POSITION.  */
bool stream_position_is_known (const stream_position_t *position);

/* Appends received bytes.  Returns true when an event became whole, or a gap
   was found.  */
bool routed_stream_add (routed_stream_t *stream, const char *bytes,
                        size_t size);

/* The server's body is complete, and ended between events: line ends that
   follow the last one belong to it, too.  Returns false if there is a gap.  */
bool routed_stream_finish (routed_stream_t *stream);

/* Whether nothing but line ends follows the last whole event.  */
bool routed_stream_between_events (const routed_stream_t *stream);

/* Removes the first SIZE bytes, which were passed on.  */
void routed_stream_take (routed_stream_t *stream, size_t size);

#endif
