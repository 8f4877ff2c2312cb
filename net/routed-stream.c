#include "routed-stream.h"

#include <string.h>

void
routed_stream_init (routed_stream_t *events, int64_t after)
{
  *events = (routed_stream_t){ .bytes = g_string_new (NULL),
                               .last_id = after,
                               .after = after };
}

void
routed_stream_clear (routed_stream_t *events)
{
  if (events->bytes)
    g_string_free (events->bytes, TRUE);
  events->bytes = NULL;
}

/* The id of an event, or -1 when it has none that is a number.  */
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

/* Length of the event at the start of BYTES with its blank line; 0: it is
   not whole.  */
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
routed_stream_add (routed_stream_t *events, const char *bytes, size_t size)
{
  GString *all = events->bytes;
  size_t before = events->whole;
  g_string_append_len (all, bytes, (gssize)size);
  while (events->whole < all->len)
    {
      const char *event = all->str + events->whole;
      size_t length = event_size (event, all->len - events->whole);
      if (!length)
        break;
      int64_t id = read_id (event, length);
      if (id >= 0 && id <= events->after)
        {
          g_string_erase (all, (gssize)events->whole, (gssize)length);
          continue;
        }
      events->last_id = id >= 0 ? id : events->last_id;
      events->whole += length;
      events->count++;
    }
  return events->whole > before;
}

void
routed_stream_take (routed_stream_t *events, size_t size)
{
  g_string_erase (events->bytes, 0, (gssize)size);
  events->whole -= MIN (size, events->whole);
}
