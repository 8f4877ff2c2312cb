#include "completion-stream.h"

#include <string.h>

void
completion_stream_init (completion_stream_t *stream)
{
  *stream = (completion_stream_t){ .bytes = g_string_new (NULL) };
}

void
completion_stream_clear (completion_stream_t *stream)
{
  if (stream->bytes)
    g_string_free (stream->bytes, TRUE);
  stream->bytes = NULL;
}

static bool
contains (const char *bytes, size_t size, const char *text)
{
  return memmem (bytes, size, text, strlen (text)) != NULL;
}

/* Whether the member NAME, given as "\"name\":", is a string that is not
   empty.  */
static bool
has_text (const char *event, size_t size, const char *name)
{
  const char *at = memmem (event, size, name, strlen (name));
  if (!at)
    return false;
  const char *end = event + size;
  at += strlen (name);
  while (at < end && *at == ' ')
    at++;
  return at + 1 < end && at[0] == '"' && at[1] != '"';
}

/* Counts an event with text as one token.  Events with only a role or only a
   finish reason have no text.  */
static void
count_event (completion_stream_t *stream, const char *event, size_t size)
{
  if (size < 24 && contains (event, size, "[DONE]"))
    stream->done = true;
  else if (has_text (event, size, "\"content\":")
           || has_text (event, size, "\"text\":"))
    stream->tokens++;
}

bool
completion_stream_add (completion_stream_t *stream, const char *bytes,
                       size_t size)
{
  GString *all = stream->bytes;
  g_string_append_len (all, bytes, (gssize)size);
  size_t before = stream->whole;
  while (stream->whole < all->len)
    {
      const char *from = all->str + stream->whole;
      const char *end = memmem (from, all->len - stream->whole, "\n\n", 2);
      if (!end)
        break;
      size_t length = (size_t)(end - from) + 2;
      count_event (stream, from, length);
      stream->whole += length;
    }
  return stream->whole > before;
}

void
completion_stream_take (completion_stream_t *stream, size_t size)
{
  g_string_erase (stream->bytes, 0, (gssize)size);
  stream->whole -= size;
}
