/* Reads HTTP answers strictly, as a caller sees them.  */

#include <stdlib.h>
#include <string.h>

#include "soak.h"

void
header_copy (const char *text, const char *name, char *value, size_t size)
{
  char *wanted = g_strdup_printf ("\r\n%s:", name);
  const char *at = strcasestr (text, wanted);
  *value = '\0';
  if (at)
    {
      at += strlen (wanted);
      at += strspn (at, " ");
      g_strlcpy (value, at, MIN (size, strcspn (at, "\r") + 1));
    }
  g_free (wanted);
}

void
answer_clear (answer_read_t *answer)
{
  if (answer->body)
    g_string_free (answer->body, TRUE);
  *answer = (answer_read_t){ 0 };
}

/* Reads the chunks from AT on.  Returns the offset behind the last one, 0 if
   it is not there yet; *GOOD is false if the bytes are no chunks.  */
static size_t
read_chunks (const GString *in, size_t at, GString *body, bool *good)
{
  for (;;)
    {
      const char *line = in->str + at;
      const char *end = strstr (line, "\r\n");
      if (!end)
        return 0;
      char *rest;
      size_t size = strtoul (line, &rest, 16);
      *good = rest != line && (rest == end || *rest == ';');
      if (!*good)
        return 0;
      at = (size_t)(end - in->str) + 2;
      if (size == 0)
        {
          *good = in->len < at + 2 || memcmp (in->str + at, "\r\n", 2) == 0;
          return in->len >= at + 2 ? at + 2 : 0;
        }
      size_t there = MIN (size, in->len - at);
      g_string_append_len (body, in->str + at, (gssize)there);
      at += size + 2;
      if (in->len < at)
        return 0;
      *good = memcmp (in->str + at - 2, "\r\n", 2) == 0;
      if (!*good)
        return 0;
    }
}

/* Reads the fields of the head HEAD, whose size is SIZE.  */
static void
read_head (answer_read_t *answer, const char *head, size_t size,
           size_t *length)
{
  char text[64];
  answer->status = (int)strtol (head + strlen ("HTTP/1.1 "), NULL, 10);
  header_copy (head, "X-Request-Id", answer->id, sizeof answer->id);
  header_copy (head, "X-Server-Stamp", answer->stamp, sizeof answer->stamp);
  header_copy (head, "Connection", text, sizeof text);
  answer->closes = g_ascii_strcasecmp (text, "close") == 0;
  header_copy (head, "Transfer-Encoding", text, sizeof text);
  answer->by_chunks = g_ascii_strcasecmp (text, "chunked") == 0;
  header_copy (head, "Content-Length", text, sizeof text);
  answer->by_length = *text != '\0';
  *length = strtoul (text, NULL, 10);
  answer->size = size;
}

static end_t
read_body (answer_read_t *answer, const GString *in, size_t length,
           bool at_end)
{
  size_t head = answer->size;
  bool good = true;
  if (answer->by_chunks)
    {
      answer->size = read_chunks (in, head, answer->body, &good);
      if (!good)
        return END_UNREADABLE;
      return answer->size ? END_WHOLE : at_end ? END_BROKEN : END_NONE;
    }
  size_t there = in->len - head;
  if (answer->by_length)
    there = MIN (there, length);
  g_string_append_len (answer->body, in->str + head, (gssize)there);
  answer->size = head + there;
  if (!answer->by_length)
    return at_end ? END_WHOLE : END_NONE;
  return there == length ? END_WHOLE : at_end ? END_BROKEN : END_NONE;
}

void
answer_read (answer_read_t *answer, const GString *in, bool at_end)
{
  static const char start[] = "HTTP/1.1 ";
  answer_clear (answer);
  answer->body = g_string_new (NULL);
  size_t compared = MIN (in->len, strlen (start));
  const char *end = strstr (in->str, "\r\n\r\n");
  size_t length = 0;
  if (memcmp (in->str, start, compared) != 0)
    answer->end = END_UNREADABLE;
  else if (!end)
    answer->end = at_end ? END_BROKEN : END_NONE;
  else
    {
      char *head = g_strndup (in->str, (size_t)(end - in->str) + 4);
      read_head (answer, head, strlen (head), &length);
      g_free (head);
      answer->end = answer->status < 200 || answer->status > 599
                        ? END_UNREADABLE
                        : read_body (answer, in, length, at_end);
    }
}
