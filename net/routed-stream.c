#include "routed-stream.h"

#include <string.h>

void
routed_stream_init (routed_stream_t *stream, const stream_position_t *start,
                    bool resumed)
{
  *stream = (routed_stream_t){ .bytes = g_string_new (NULL),
                               .position = *start,
                               .resume_after_id = start->last_id,
                               .resumed = resumed };
}

bool
stream_position_is_known (const stream_position_t *position)
{
  return !position->no_id;
}

void
routed_stream_clear (routed_stream_t *stream)
{
  if (stream->bytes)
    g_string_free (stream->bytes, TRUE);
  stream->bytes = NULL;
}

/* What follows NAME in the first line of an event that begins with it; NULL:
   there is no such line.  */
static const char *
find_field (const char *event, size_t size, const char *name)
{
  const char *end = event + size;
  size_t length = strlen (name);
  for (const char *line = event; line < end;)
    {
      const char *next = memchr (line, '\n', (size_t)(end - line));
      if (!next)
        return NULL;
      if ((size_t)(next - line) >= length && memcmp (line, name, length) == 0)
        return line + length;
      line = next + 1;
    }
  return NULL;
}

/* The numeric id of an event; -1: it has none.  */
static int64_t
read_id (const char *event, size_t size)
{
  const char *digits = find_field (event, size, "id:");
  while (digits && *digits == ' ')
    digits++;
  return digits && g_ascii_isdigit (*digits)
             ? g_ascii_strtoll (digits, NULL, 10)
             : -1;
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

static bool
is_next (const stream_position_t *position, int64_t id)
{
  return id - 1 == position->last_id;
}

/* Whether events are missing, or may be, between POSITION and the event with
   ID; -1: it has none.  */
static bool
leaves_out_events (const stream_position_t *position, int64_t id)
{
  return position->last_id >= 0
         && (id < 0 || (!position->jumps && !is_next (position, id)));
}

static void
move_position (stream_position_t *position, int64_t id)
{
  position->no_id = id < 0;
  if (id < 0)
    return;
  position->jumps |= position->last_id >= 0 && !is_next (position, id);
  position->last_id = id;
}

/* Takes the next whole event; false: it must not follow what was passed on.
   An event without data, such as a comment, takes no place in the stream.  */
static bool
take_event (routed_stream_t *stream, const char *event, size_t length)
{
  int64_t id = read_id (event, length);
  if (id < 0 && !find_field (event, length, "data"))
    return true;
  if (stream->resumed && leaves_out_events (&stream->position, id))
    return false;
  stream->resumed = false;
  move_position (&stream->position, id);
  return true;
}

bool
routed_stream_add (routed_stream_t *stream, const char *bytes, size_t size)
{
  GString *all = stream->bytes;
  size_t before = stream->whole;
  if (stream->gap)
    return false;
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
      if (!take_event (stream, event, length))
        {
          stream->gap = true;
          return true;
        }
      stream->whole += length;
      stream->count++;
    }
  return stream->whole > before;
}

bool
routed_stream_finish (routed_stream_t *stream)
{
  stream->whole = stream->bytes->len;
  return !stream->gap;
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
