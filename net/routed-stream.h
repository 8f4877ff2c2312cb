/* events.h - the server-sent events of a routed answer, cut at event ends.

   Events with an id at or below one that was delivered are left out, so
   that a stream that goes on at another server repeats nothing.  */

#ifndef KNAPWEEDFORK_NET_ROUTED_STREAM_H
#define KNAPWEEDFORK_NET_ROUTED_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  GString *bytes;  /* received and not yet taken */
  size_t whole;    /* of BYTES: whole events */
  int64_t count;   /* whole events so far */
  int64_t last_id; /* of the last whole event; -1: none */
  int64_t after;   /* events up to this id are left out; -1: none */
} routed_stream_t;

void routed_stream_init (routed_stream_t *events, int64_t after);
void routed_stream_clear (routed_stream_t *events);

/* Add received bytes; return true when a whole event was completed.  */
bool routed_stream_add (routed_stream_t *events, const char *bytes,
                        size_t size);

/* Remove the first SIZE bytes, which were taken.  */
void routed_stream_take (routed_stream_t *events, size_t size);

#endif
