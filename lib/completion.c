#include "completion.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define DEFAULT_MAX_TOKENS 256
#define MAX_TOKENS_LIMIT 1000000
#define BYTES_PER_TOKEN 4
#define PREFIX_BYTES 256

/* Duplicate field names are rejected: the engine might read the other field,
   and use a model that was never checked here.  */
#define DECODE_FLAGS JSON_REJECT_DUPLICATES

/* Text of the prompt: its size, and its first bytes.  */
typedef struct
{
  size_t bytes;
  int64_t tokens; /* of prompts that are given as token numbers */
  char prefix_text[PREFIX_BYTES];
  size_t n_prefix;
} prompt_t;

static kwf_status_t
invalid (kwf_error_t *error, const char *message)
{
  return kwf_fail (error, KWF_INVALID, "read request body", NULL, "%s",
                   message);
}

static void
add_text (prompt_t *prompt, const char *text, size_t size)
{
  size_t take = MIN (size, PREFIX_BYTES - prompt->n_prefix);
  memcpy (prompt->prefix_text + prompt->n_prefix, text, take);
  prompt->n_prefix += take;
  prompt->bytes += size;
}

/* Add every string below VALUE; jansson limits the depth.  */
static void
/* NOLINTNEXTLINE(misc-no-recursion) */
add_strings (prompt_t *prompt, const json_t *value)
{
  size_t i;
  const char *name;
  json_t *item;
  if (json_is_string (value))
    add_text (prompt, json_string_value (value), json_string_length (value));
  else if (json_is_array (value))
    {
      json_array_foreach (value, i, item) { add_strings (prompt, item); }
    }
  else if (json_is_object (value))
    {
      json_object_foreach ((json_t *)value, name, item)
      {
        add_strings (prompt, item);
      }
    }
}

static bool
read_messages (const json_t *root, prompt_t *prompt)
{
  const json_t *messages = json_object_get (root, "messages");
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    return false;
  size_t i;
  json_t *message;
  json_array_foreach (messages, i, message)
  {
    if (!json_is_string (json_object_get (message, "role")))
      return false;
    const json_t *content = json_object_get (message, "content");
    if (json_is_object (content) || json_is_number (content)
        || json_is_boolean (content))
      return false;
    add_strings (prompt, content);
  }
  add_strings (prompt, json_object_get (root, "tools"));
  return true;
}

static bool
read_prompt (const json_t *root, prompt_t *prompt)
{
  const json_t *value = json_object_get (root, "prompt");
  if (json_is_string (value))
    {
      add_strings (prompt, value);
      return true;
    }
  if (!json_is_array (value) || json_array_size (value) == 0)
    return false;
  if (json_array_size (value) == 1
      && json_is_string (json_array_get (value, 0)))
    {
      add_strings (prompt, value);
      return true;
    }
  size_t i;
  json_t *item;
  json_array_foreach (value, i, item)
  {
    if (!json_is_integer (item))
      return false;
    json_int_t token = json_integer_value (item);
    add_text (prompt, (const char *)&token, sizeof token);
  }
  prompt->tokens = (int64_t)json_array_size (value);
  return true;
}

/* Read "MODEL" or "MODEL:ADAPTER"; the field "adapter" may name the adapter
   too.  */
static bool
read_model (const json_t *root, completion_t *completion)
{
  const char *model = json_string_value (json_object_get (root, "model"));
  const json_t *field = json_object_get (root, "adapter");
  if (!model || !*model)
    return false;
  if (field && !json_is_string (field) && !json_is_null (field))
    return false;
  const char *adapter = json_string_value (field);
  const char *colon = strchr (model, ':');
  if (colon && (colon == model || !colon[1]))
    return false;
  if (colon && adapter && strcmp (colon + 1, adapter) != 0)
    return false;
  if (colon)
    adapter = colon + 1;
  if (adapter && !*adapter)
    return false;
  completion->model
      = colon ? strndup (model, (size_t)(colon - model)) : strdup (model);
  completion->adapter = adapter ? strdup (adapter) : NULL;
  return true;
}

/* Read NAME into *TOKENS when present; false when out of bounds.  */
static bool
read_tokens (const json_t *root, const char *name, int64_t *tokens)
{
  const json_t *value = json_object_get (root, name);
  if (!value || json_is_null (value))
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > MAX_TOKENS_LIMIT)
    return false;
  *tokens = json_integer_value (value);
  return true;
}

/* Whether NAME is absent, null or 1.  */
static bool
is_one (const json_t *root, const char *name)
{
  const json_t *value = json_object_get (root, name);
  return !value || json_is_null (value)
         || (json_is_integer (value) && json_integer_value (value) == 1);
}

static uint64_t
hash_prefix (const completion_t *completion, const prompt_t *prompt)
{
  if (!prompt->n_prefix)
    return 0;
  XXH64_hash_t seed
      = XXH3_64bits (completion->model, strlen (completion->model));
  if (completion->adapter)
    seed = XXH3_64bits_withSeed (completion->adapter,
                                 strlen (completion->adapter), seed);
  uint64_t hash
      = XXH3_64bits_withSeed (prompt->prefix_text, prompt->n_prefix, seed);
  return hash ? hash : 1;
}

static kwf_status_t
read_fields (const json_t *root, bool chat, completion_t *completion,
             prompt_t *prompt, kwf_error_t *error)
{
  if (!json_is_object (root))
    return invalid (error, "the body is not a JSON object");
  if (!read_model (root, completion))
    return invalid (error, "\"model\" must be \"MODEL\" or \"MODEL:ADAPTER\", "
                           "and \"adapter\", if given, must agree with it");
  /* This system sets it when it resumes a stream.  From a caller it would skip
     tokens that were never delivered.  */
  if (json_object_get (root, "resume_from"))
    return invalid (error, "\"resume_from\" must not be set");
  if (!is_one (root, "n") || !is_one (root, "best_of"))
    return invalid (error, "\"n\" and \"best_of\" must be 1");
  const json_t *stream = json_object_get (root, "stream");
  if (stream && !json_is_boolean (stream) && !json_is_null (stream))
    return invalid (error, "\"stream\" must be true or false");
  completion->stream = json_is_true (stream);
  if (!read_tokens (root, "max_tokens", &completion->max_tokens)
      || !read_tokens (root, "max_completion_tokens", &completion->max_tokens))
    return invalid (error, "\"max_tokens\" must be 1 to 1000000");
  if (chat && !read_messages (root, prompt))
    return invalid (error, "\"messages\" must be a list of objects with "
                           "\"role\" and \"content\"");
  if (!chat && !read_prompt (root, prompt))
    return invalid (error, "\"prompt\" must be one text or a list of tokens");
  return KWF_OK;
}

kwf_status_t
completion_parse (const char *body, size_t size, bool chat,
                  completion_t *completion, kwf_error_t *error)
{
  *completion = (completion_t){ .max_tokens = DEFAULT_MAX_TOKENS };
  json_error_t cause;
  json_t *root = json_loadb (body, size, DECODE_FLAGS, &cause);
  if (!root)
    return kwf_fail (error, KWF_INVALID, "read request body", NULL,
                     "the body is not valid JSON at line %d, column %d",
                     cause.line, cause.column);
  prompt_t prompt;
  prompt.bytes = 0;
  prompt.tokens = 0;
  prompt.n_prefix = 0;
  kwf_status_t status = read_fields (root, chat, completion, &prompt, error);
  if (status == KWF_OK)
    {
      completion->prompt_tokens
          = prompt.tokens ? prompt.tokens
                          : (int64_t)(prompt.bytes + BYTES_PER_TOKEN - 1)
                                / BYTES_PER_TOKEN;
      completion->prompt_tokens = MAX (completion->prompt_tokens, 1);
      completion->fingerprint
          = XXH3_64bits_withSeed (body, size, chat ? 1 : 2);
      completion->prefix = hash_prefix (completion, &prompt);
    }
  else
    completion_clear (completion);
  json_decref (root);
  return status;
}

void
completion_clear (completion_t *completion)
{
  free (completion->model);
  free (completion->adapter);
  completion->model = NULL;
  completion->adapter = NULL;
}

char *
completion_backend_body (const char *body, size_t size,
                         const completion_t *completion, int64_t resume_from,
                         size_t *out_size)
{
  char *out;
  if (!completion->adapter && resume_from <= 0)
    {
      out = malloc (size + 1);
      if (!out)
        return NULL;
      memcpy (out, body, size);
      out[size] = '\0';
      *out_size = size;
      return out;
    }
  json_t *root = json_loadb (body, size, DECODE_FLAGS, NULL);
  if (!root)
    return NULL;
  json_object_set_new (root, "model", json_string (completion->model));
  if (completion->adapter)
    json_object_set_new (root, "adapter", json_string (completion->adapter));
  if (resume_from > 0)
    json_object_set_new (root, "resume_from", json_integer (resume_from));
  /* 17 digits reproduce every double exactly.  */
  out = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (17));
  json_decref (root);
  if (out)
    *out_size = strlen (out);
  return out;
}
