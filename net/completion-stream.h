/* completion-stream.h - buffer for the server-sent events of one completion,
   divided into whole events.  */

#ifndef KNAPWEEDFORK_NET_COMPLETION_STREAM_H
#define KNAPWEEDFORK_NET_COMPLETION_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  GString *bytes; /* received and not yet passed on */
  size_t whole;   /* length of the whole events at the start of BYTES */
  int64_t tokens; /* events with generated text so far */
  bool done;      /* the event "data: [DONE]" was received */
} completion_stream_t;

void completion_stream_init (completion_stream_t *stream);
void completion_stream_clear (completion_stream_t *stream);

/* Appends received bytes.  Returns true when an event became whole.  */
bool completion_stream_add (completion_stream_t *stream, const char *bytes,
                            size_t size);

/* Removes the first SIZE bytes, which were passed on.  */
void completion_stream_take (completion_stream_t *stream, size_t size);

#endif
