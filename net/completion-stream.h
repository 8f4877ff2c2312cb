/* stream.h - the server-sent events of one answer, cut at event ends.  */

#ifndef KNAPWEEDFORK_NET_COMPLETION_STREAM_H
#define KNAPWEEDFORK_NET_COMPLETION_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  GString *bytes; /* received and not yet taken */
  size_t whole;   /* of BYTES: whole events */
  int64_t tokens; /* events with generated text so far */
  bool done;      /* the event "data: [DONE]" was received */
} completion_stream_t;

void completion_stream_init (completion_stream_t *stream);
void completion_stream_clear (completion_stream_t *stream);

/* Add received bytes; return true when a whole event was completed.  */
bool completion_stream_add (completion_stream_t *stream, const char *bytes,
                            size_t size);

/* Remove the first SIZE bytes, which were taken.  */
void completion_stream_take (completion_stream_t *stream, size_t size);

#endif
