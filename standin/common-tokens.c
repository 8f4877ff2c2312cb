#include "common-tokens.h"

#include <string.h>
#include <xxhash.h>

static void
append_content (GString *prompt, const json_t *content)
{
  if (json_is_string (content))
    g_string_append_len (prompt, json_string_value (content),
                         (gssize)json_string_length (content));
  for (size_t i = 0; i < json_array_size (content); i++)
    {
      const json_t *part = json_array_get (content, i);
      if (json_is_object (part))
        part = json_object_get (part, "text");
      if (json_is_string (part))
        g_string_append_len (prompt, json_string_value (part),
                             (gssize)json_string_length (part));
    }
}

GString *
tokens_prompt (const json_t *body, bool chat)
{
  GString *prompt = g_string_new (NULL);
  if (!chat)
    {
      append_content (prompt, json_object_get (body, "prompt"));
      return prompt;
    }
  const json_t *messages = json_object_get (body, "messages");
  for (size_t i = 0; i < json_array_size (messages); i++)
    {
      append_content (
          prompt, json_object_get (json_array_get (messages, i), "content"));
      g_string_append_c (prompt, '\n');
    }
  return prompt;
}

int64_t
tokens_count (size_t size)
{
  return (int64_t)((size + 3) / 4);
}

uint64_t
tokens_seed (const char *model, const char *adapter, const char *prompt)
{
  uint64_t seed = XXH64 (model, strlen (model), 0);
  if (adapter)
    seed = XXH64 (adapter, strlen (adapter), seed);
  return XXH64 (prompt, strlen (prompt), seed);
}

size_t
tokens_write (char text[TOKEN_SIZE], uint64_t seed, int64_t index)
{
  static const char digits[] = "0123456789abcdef";
  uint64_t hash = XXH64 (&index, sizeof index, seed);
  char number[24];
  size_t n = 0;
  uint64_t left = (uint64_t)index;
  do
    number[n++] = (char)('0' + left % 10);
  while (left /= 10);
  size_t size = 0;
  text[size++] = ' ';
  while (n)
    text[size++] = number[--n];
  text[size++] = '.';
  for (int shift = 0; shift < 12; shift += 4)
    text[size++] = digits[hash >> shift & 15];
  text[size] = '\0';
  return size;
}
