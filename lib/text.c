#include "text.h"

#include <glib.h>
#include <string.h>

/* One line of a text, without its line feed.  */
typedef struct
{
  const char *start;
  size_t size;
  int number; /* counted from 1 */
} line_t;

/* Move LINE from one line of a text to the next; false at the end.  Before the
   first call, LINE must be { .start = TEXT }.  */
static bool
next_line (line_t *line)
{
  const char *start = line->start + line->size;
  if (line->number && !*start)
    return false;
  if (line->number)
    start++;
  if (!*start)
    return false;
  line->start = start;
  line->size = strcspn (start, "\n");
  line->number++;
  return true;
}

static const char *
skip_blanks (const char *at, const char *end)
{
  while (at < end && (*at == ' ' || *at == '\t' || *at == '\r'))
    at++;
  return at;
}

/* Whether the line is "[NAME]" or "[[NAME]]", perhaps with a comment.  Its
   brackets are balanced, so it adds no nesting.  */
static bool
is_header (const line_t *line)
{
  const char *end = line->start + line->size;
  const char *at = skip_blanks (line->start, end);
  size_t open = 0;
  while (at < end && *at == '[' && open < 2)
    at++, open++;
  const char *name = at;
  while (at < end && (g_ascii_isalnum (*at) || strchr ("_.- ", *at)))
    at++;
  if (!open || at == name)
    return false;
  while (at < end && *at == ']' && open)
    at++, open--;
  at = skip_blanks (at, end);
  return open == 0 && (at == end || *at == '#');
}

/* Count brackets of the line that may add nesting.  An array right after '='
   does not: only within braces could its key be part of another value.  */
static size_t
extra_brackets (const line_t *line)
{
  size_t count = 0;
  char last = 0;
  for (size_t i = 0; i < line->size; i++)
    {
      char c = line->start[i];
      if (c == '{' || (c == '[' && last != '='))
        count++;
      if (c != ' ' && c != '\t')
        last = c;
    }
  return count;
}

static size_t
count_dots (const line_t *line)
{
  size_t count = 0;
  for (size_t i = 0; i < line->size; i++)
    count += line->start[i] == '.';
  return count;
}

static bool
is_comment (const line_t *line)
{
  const char *end = line->start + line->size;
  const char *at = skip_blanks (line->start, end);
  return at < end && *at == '#';
}

static const char *
check_line (const line_t *line, size_t *brackets)
{
  if (line->size > TEXT_MAX_LINE_BYTES)
    return "lines of at most 8192 bytes";
  if (memmem (line->start, line->size, "\"\"\"", 3)
      || memmem (line->start, line->size, "'''", 3))
    return "strings on one line (no triple quotes)";
  /* Triple quotes were excluded above, so '#' cannot be inside a string
     here.  */
  if (is_comment (line))
    return NULL;
  if (count_dots (line) > TEXT_MAX_DOTS)
    return "at most 256 dots on a line";
  if (!is_header (line))
    *brackets += extra_brackets (line);
  if (*brackets > TEXT_MAX_EXTRA_BRACKETS)
    return "no nested arrays and no inline tables";
  return NULL;
}

const char *
text_check (const char *text, int *line_number)
{
  *line_number = 0;
  if (strlen (text) > TEXT_MAX_BYTES)
    return "a text of at most 409600 bytes";
  size_t brackets = 0;
  line_t line = { .start = text };
  while (next_line (&line))
    {
      *line_number = line.number;
      if (!g_utf8_validate (line.start, (gssize)line.size, NULL))
        return "text in UTF-8";
      const char *allowed = check_line (&line, &brackets);
      if (allowed)
        return allowed;
    }
  *line_number = 0;
  return NULL;
}

/* Whether the line is the header of a table NAME.  */
static bool
is_header_of (const line_t *line, const char *name)
{
  if (!is_header (line))
    return false;
  const char *end = line->start + line->size;
  const char *at = line->start + strspn (line->start, " \t[");
  size_t size = strlen (name);
  if ((size_t)(end - at) <= size || strncmp (at, name, size) != 0)
    return false;
  at = skip_blanks (at + size, end);
  return at < end && *at == ']';
}

static bool
line_sets_key (const line_t *line, const char *key)
{
  const char *end = line->start + line->size;
  const char *at = skip_blanks (line->start, end);
  bool quoted = at < end && (*at == '"' || *at == '\'');
  at += quoted;
  size_t size = strlen (key);
  if ((size_t)(end - at) <= size || strncmp (at, key, size) != 0)
    return false;
  at = skip_blanks (at + size + quoted, end);
  return at < end && (*at == '=' || *at == '.');
}

int
text_line (const char *text, const char *header, size_t i, const char *key)
{
  int found = 0; /* line of the header */
  bool inside = !header;
  line_t line = { .start = text };
  while (next_line (&line))
    {
      if (is_header (&line))
        {
          if (inside)
            break;
          if (!is_header_of (&line, header) || i-- > 0)
            continue;
          inside = true;
          found = line.number;
          if (!key)
            break;
        }
      else if (inside && key && line_sets_key (&line, key))
        return line.number;
    }
  return found;
}

int
text_line_of_item (const char *text, int from, const char *item)
{
  char *quoted = g_strdup_printf ("\"%s\"", item);
  int found = from;
  line_t line = { .start = text };
  while (from && next_line (&line))
    {
      if (line.number < from)
        continue;
      if (line.number > from && is_header (&line))
        break;
      if (memmem (line.start, line.size, quoted, strlen (quoted)))
        {
          found = line.number;
          break;
        }
    }
  g_free (quoted);
  return found;
}
