#include "key.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define KEY_PREFIX "kwf_"
#define KEY_RANDOM_BYTES 32

/* Percent-encoding can be nested.  At most this many layers are decoded, so
   that the cost stays linear in the size of the text.  */
#define MAX_DECODE_PASSES 4

void
key_generate (kwf_random_t *random, char text[KEY_TEXT_SIZE])
{
  unsigned char bytes[KEY_RANDOM_BYTES];
  random->ops->fill (random, bytes, sizeof bytes);
  g_strlcpy (text, KEY_PREFIX, KEY_TEXT_SIZE);
  sodium_bin2base64 (text + strlen (KEY_PREFIX),
                     KEY_TEXT_SIZE - strlen (KEY_PREFIX), bytes, sizeof bytes,
                     sodium_base64_VARIANT_URLSAFE_NO_PADDING);
  sodium_memzero (bytes, sizeof bytes);
}

void
key_digest (const unsigned char *pepper, size_t pepper_size, const char *key,
            char digest[KEY_DIGEST_SIZE])
{
  /* The hash function BLAKE2b has a key of 16 to 64 bytes; hashing the pepper
     first allows any size.  */
  unsigned char hash_key[crypto_generichash_KEYBYTES];
  unsigned char hash[32];
  crypto_generichash (hash_key, sizeof hash_key, pepper, pepper_size, NULL, 0);
  crypto_generichash (hash, sizeof hash, (const unsigned char *)key,
                      strlen (key), hash_key, sizeof hash_key);
  sodium_bin2hex (digest, KEY_DIGEST_SIZE, hash, sizeof hash);
  sodium_memzero (hash_key, sizeof hash_key);
}

const char *
key_from_authorization (const char *value)
{
  static const char scheme[] = "Bearer ";
  if (!value || g_ascii_strncasecmp (value, scheme, strlen (scheme)) != 0)
    return NULL;
  value += strlen (scheme);
  while (*value == ' ')
    value++;
  return *value ? value : NULL;
}

/* Decode the percent-encoding of TEXT in place and return the new size.  */
static size_t
decode_percent (char *text, size_t size)
{
  size_t to = 0;
  for (size_t i = 0; i < size; i++)
    {
      int high = -1;
      int low = -1;
      if (text[i] == '%' && size - i > 2)
        {
          high = g_ascii_xdigit_value (text[i + 1]);
          low = g_ascii_xdigit_value (text[i + 2]);
        }
      if (high >= 0 && low >= 0)
        {
          text[to++] = (char)(high * 16 + low);
          i += 2;
        }
      else
        text[to++] = text[i];
    }
  return to;
}

typedef bool (*match_fn_t) (const char *text, size_t size, const char *key);

/* Whether MATCH holds for TEXT as it is, or after one to MAX_DECODE_PASSES
   layers of its percent-encoding are decoded.  */
static bool
matches_any_layer (const char *text, size_t size, match_fn_t match,
                   const char *key)
{
  if (match (text, size, key))
    return true;
  if (!memchr (text, '%', size))
    return false;
  char *copy = g_memdup2 (text, size);
  bool matched = false;
  for (int pass = 0; pass < MAX_DECODE_PASSES && !matched; pass++)
    {
      size_t decoded = decode_percent (copy, size);
      if (decoded == size)
        break;
      size = decoded;
      matched = match (copy, size, key);
    }
  g_free (copy);
  return matched;
}

static bool
contains_key (const char *text, size_t size, const char *key)
{
  return memmem (text, size, key, strlen (key)) != NULL;
}

bool
key_occurs (const char *key, const char *text, size_t size)
{
  return text && *key && matches_any_layer (text, size, contains_key, key);
}

static bool
is_key_char (char c)
{
  return g_ascii_isalnum (c) || c == '-' || c == '_';
}

static bool
contains_pattern (const char *text, size_t size, const char *key)
{
  (void)key;
  const char *end = text + size;
  const char *at = text;
  while (
      (at = memmem (at, (size_t)(end - at), KEY_PREFIX, strlen (KEY_PREFIX))))
    {
      at += strlen (KEY_PREFIX);
      size_t run = 0;
      while (at + run < end && is_key_char (at[run]))
        run++;
      if (run >= KEY_TEXT_SIZE - 1 - strlen (KEY_PREFIX))
        return true;
    }
  return false;
}

bool
key_pattern_occurs (const char *text, size_t size)
{
  return text && matches_any_layer (text, size, contains_pattern, NULL);
}

bool
key_or_pattern_occurs (const char *key, const char *text, size_t size)
{
  return key_pattern_occurs (text, size)
         || (key && key_occurs (key, text, size));
}

char *
key_strip_query (const char *key, const char *query)
{
  char **parameters = g_strsplit (query, "&", -1);
  GString *kept = g_string_new (NULL);
  bool first = true;
  for (char **p = parameters; *p; p++)
    {
      if (key_or_pattern_occurs (key, *p, strlen (*p)))
        continue;
      if (!first)
        g_string_append_c (kept, '&');
      g_string_append (kept, *p);
      first = false;
    }
  g_strfreev (parameters);
  /* A key with '&' in it is split between parameters, and none of them
     contains it alone.  If the rest still contains a key, the whole query is
     dropped.  */
  if (key_or_pattern_occurs (key, kept->str, kept->len))
    g_string_truncate (kept, 0);
  return g_string_free (kept, FALSE);
}
