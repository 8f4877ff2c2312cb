#include "readers-mutate.h"

#include <string.h>

/* Changes of one text at most.  */
#define CHANGES_MAX 4
/* Bytes of a piece, and brackets, at most.  */
#define PIECE_MAX 64
#define BRACKETS_MAX 3000

static const char *const numbers[] = { "0",
                                       "-1",
                                       "65536",
                                       "2147483648",
                                       "4294967296",
                                       "9223372036854775807",
                                       "-9223372036854775808",
                                       "9223372036854775808",
                                       "1000000000000000000000000000000",
                                       "1e30",
                                       "-1e308",
                                       "1e400",
                                       "0.5" };

static const char *const values[]
    = { "null",  "true", "[]",     "{}",         "\"\"",        "7",
        "\"x\"", "[[]]", "[null]", "{\"a\":{}}", "\"\\u0000\"", "-1" };

/* A place in TEXT, also behind its last byte.  */
static gsize
place_in (GRand *random, const GString *text)
{
  return (gsize)g_rand_int_range (random, 0, (gint32)text->len + 1);
}

static gsize
piece_at (GRand *random, const GString *text, gsize place)
{
  gsize size = (gsize)g_rand_int_range (random, 0, PIECE_MAX);
  return MIN (size, text->len - place);
}

static void
flip_bit (GRand *random, GString *text)
{
  if (!text->len)
    return;
  /* Plain char is signed on x86-64 and unsigned on arm64.  */
  unsigned char *byte
      = (unsigned char *)text->str + place_in (random, text) % text->len;
  *byte = (unsigned char)(*byte ^ 1U << g_rand_int_range (random, 0, 8));
}

static void
insert_brackets (GRand *random, GString *text)
{
  gsize place = place_in (random, text);
  gsize n = (gsize)g_rand_int_range (random, 1, BRACKETS_MAX);
  char *open = g_strnfill (n, g_rand_boolean (random) ? '[' : '{');
  char *close = g_strnfill (n, ']');
  if (g_rand_boolean (random))
    g_string_insert_len (text, (gssize)place, close, (gssize)n);
  g_string_insert_len (text, (gssize)place, open, (gssize)n);
  g_free (close);
  g_free (open);
}

/* Replaces the run of BYTES at or after a random place by TO.  */
static void
replace_run (GRand *random, GString *text, const char *bytes, const char *to)
{
  gsize from = place_in (random, text);
  while (from < text->len
         && (!text->str[from] || !strchr (bytes, text->str[from])))
    from++;
  gsize size = strspn (text->str + from, bytes);
  if (!size)
    return;
  g_string_erase (text, (gssize)from, (gssize)size);
  g_string_insert (text, (gssize)from, to);
}

static void
replace_number (GRand *random, GString *text)
{
  int i = g_rand_int_range (random, 0, G_N_ELEMENTS (numbers));
  replace_run (random, text, "0123456789", numbers[i]);
}

/* Replaces what follows a colon, as far as the next comma or bracket.  */
static void
replace_value (GRand *random, GString *text)
{
  gsize from = place_in (random, text);
  const char *colon = memchr (text->str + from, ':', text->len - from);
  if (!colon)
    return;
  from = (gsize)(colon - text->str) + 1;
  gsize size = strcspn (text->str + from, ",]}");
  int i = g_rand_int_range (random, 0, G_N_ELEMENTS (values));
  g_string_erase (text, (gssize)from, (gssize)size);
  g_string_insert (text, (gssize)from, values[i]);
}

static void
change_bytes (GRand *random, GString *text, const GString *other)
{
  gsize place = place_in (random, text);
  gsize size = piece_at (random, text, place);
  gsize from = place_in (random, other);
  char byte = (char)g_rand_int_range (random, 0, 256);
  char *piece = g_memdup2 (text->str + place, size + 1);
  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
      g_string_truncate (text, place);
      break;
    case 1:
      g_string_insert_len (text, (gssize)place, piece, (gssize)size);
      break;
    case 2:
      g_string_erase (text, (gssize)place, (gssize)size);
      break;
    case 3:
      g_string_insert_len (text, (gssize)place, other->str + from,
                           (gssize)piece_at (random, other, from));
      break;
    case 4:
      g_string_insert_len (text, (gssize)place, &byte, 1);
      break;
    default:
      g_string_insert_len (text, (gssize)place, "", 1);
    }
  g_free (piece);
}

void
mutate (GRand *random, GString *text, const GString *other)
{
  for (int n = g_rand_int_range (random, 1, CHANGES_MAX + 1); n > 0; n--)
    switch (g_rand_int_range (random, 0, 8))
      {
      case 0:
      case 1:
        flip_bit (random, text);
        break;
      case 2:
        insert_brackets (random, text);
        break;
      case 3:
        replace_number (random, text);
        break;
      case 4:
        replace_value (random, text);
        break;
      default:
        change_bytes (random, text, other);
      }
}

void
mutate_json (GRand *random, GString *text)
{
  for (int n = g_rand_int_range (random, 1, CHANGES_MAX + 1); n > 0; n--)
    if (g_rand_boolean (random))
      replace_number (random, text);
    else
      replace_value (random, text);
}
