#include "routed-stream.h"

#include <string.h>

void
routed_stream_init (routed_stream_t *stream, int64_t resume_after_id)
{
  *stream = (routed_stream_t){ .bytes = g_string_new (NULL),
                               .last_id = resume_after_id,
                               .resume_after_id = resume_after_id };
}

void
routed_stream_clear (routed_stream_t *stream)
{
  if (stream->bytes)
    g_string_free (stream->bytes, TRUE);
  stream->bytes = NULL;
}

/* The numeric id of an event; -1: it has none.  */
static int64_t
read_id (const char *event, size_t size)
{
  const char *end = event + size;
  for (const char *line = event; line < end;)
    {
      const char *next = memchr (line, '\n', (size_t)(end - line));
      if (!next)
        return -1;
      if (next - line > 3 && memcmp (line, "id:", 3) == 0)
        {
          const char *digits = line + 3;
          while (digits < next && *digits == ' ')
            digits++;
          return g_ascii_isdigit (*digits) ? g_ascii_strtoll (digits, NULL, 10)
                                           : -1;
        }
      line = next + 1;
    }
  return -1;
}

/* Length of the event at the start of BYTES with its blank line; 0: the event
   is not yet whole.  */
static size_t
event_size (const char *bytes, size_t size)
{
  for (const char *at = bytes; at < bytes + size; at++)
    {
      at = memchr (at, '\n', (size_t)(bytes + size - at));
      if (!at)
        return 0;
      const char *next = at + 1;
      if (next < bytes + size && *next == '\r')
        next++;
      if (next < bytes + size && *next == '\n')
        return (size_t)(next + 1 - bytes);
    }
  return 0;
}

bool
routed_stream_add (routed_stream_t *stream, const char *bytes, size_t size)
{
  GString *all = stream->bytes;
  size_t before = stream->whole;
  g_string_append_len (all, bytes, (gssize)size);
  while (stream->whole < all->len)
    {
      const char *event = all->str + stream->whole;
      size_t length = event_size (event, all->len - stream->whole);
      if (!length)
        break;
      int64_t id = read_id (event, length);
      if (id >= 0 && id <= stream->resume_after_id)
        {
          g_string_erase (all, (gssize)stream->whole, (gssize)length);
          continue;
        }
      stream->last_id = id >= 0 ? id : stream->last_id;
      stream->whole += length;
      stream->count++;
    }
  return stream->whole > before;
}

bool
routed_stream_between_events (const routed_stream_t *stream)
{
  const char *rest = stream->bytes->str + stream->whole;
  size_t size = stream->bytes->len - stream->whole;
  for (size_t i = 0; i < size; i++)
    if (rest[i] != '\r' && rest[i] != '\n')
      return false;
  return true;
}

void
routed_stream_take (routed_stream_t *stream, size_t size)
{
  g_string_erase (stream->bytes, 0, (gssize)size);
  stream->whole -= MIN (size, stream->whole);
}
