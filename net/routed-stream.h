/* routed-stream.h - buffer for the server-sent events of a routed answer,
   divided into whole events.

   When a stream is resumed at another server, events with ids up to the last
   one that the caller has are left out, so that none is repeated.  */

#ifndef KNAPWEEDFORK_NET_ROUTED_STREAM_H
#define KNAPWEEDFORK_NET_ROUTED_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  GString *bytes;  /* received and not yet passed on */
  size_t whole;    /* length of the whole events at the start of BYTES */
  int64_t count;   /* whole events so far */
  int64_t last_id; /* id of the last whole event; -1: none */
  int64_t resume_after_id; /* events up to this id are left out; -1: none */
} routed_stream_t;

void routed_stream_init (routed_stream_t *stream, int64_t resume_after_id);
void routed_stream_clear (routed_stream_t *stream);

/* Appends received bytes.  Returns true when an event became whole.  */
bool routed_stream_add (routed_stream_t *stream, const char *bytes,
                        size_t size);

/* Whether nothing but line ends follows the last whole event.  */
bool routed_stream_between_events (const routed_stream_t *stream);

/* Removes the first SIZE bytes, which were passed on.  */
void routed_stream_take (routed_stream_t *stream, size_t size);

#endif
