#include "finding.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "nearest.h"
#include "text.h"

/* Copy TEXT to BUFFER without control characters; a text that is too long is
   cut between characters.  */
static void
copy_text (char *buffer, size_t size, const char *text)
{
  g_strlcpy (buffer, text, size);
  const char *end;
  if (!g_utf8_validate (buffer, -1, &end))
    buffer[end - buffer] = '\0';
  for (char *c = buffer; *c; c++)
    if ((unsigned char)*c < 0x20 || *c == 0x7f)
      *c = '?';
}

static void
count_and_pass_on (finding_source_t *source, int line, const char *field,
                   const char *found, const char *allowed)
{
  source->n_findings++;
  if (!source->fn)
    return;
  kwf_finding_t finding = { .line = line };
  copy_text (finding.file, sizeof finding.file, source->file);
  copy_text (finding.field, sizeof finding.field, field);
  copy_text (finding.found, sizeof finding.found, found);
  copy_text (finding.allowed, sizeof finding.allowed, allowed);
  source->fn (&finding, source->data);
}

bool
finding_source_open (finding_source_t *source, const char *text,
                     const char *file, kwf_finding_fn_t fn, void *data)
{
  *source = (finding_source_t){
    .file = file, .text = text, .fn = fn, .data = data
  };
  int line;
  const char *allowed = text_check (text, &line);
  if (allowed)
    {
      count_and_pass_on (source, line, "", "", allowed);
      return false;
    }
  toml_error_t error;
  source->document = toml_parse (text, &error);
  if (!source->document)
    count_and_pass_on (source, error.line, "", error.message, "TOML");
  return source->document != NULL;
}

void
finding_source_free_document (finding_source_t *source)
{
  if (source->document)
    toml_free (source->document);
  source->document = NULL;
}

void
finding_report (const finding_location_t *location, const char *key,
                const char *item, const char *found,
                const char *allowed_format, ...)
{
  char field[128];
  if (!location->header)
    snprintf (field, sizeof field, "%s", key ? key : "");
  else if (location->array)
    snprintf (field, sizeof field, "%s[%zu]%s%s", location->header,
              location->index + 1, key ? "." : "", key ? key : "");
  else
    snprintf (field, sizeof field, "%s%s%s", location->header, key ? "." : "",
              key ? key : "");
  int line = text_line (location->source->text, location->header,
                        location->index, key);
  if (!line && !location->header && key)
    line = text_line (location->source->text, key, 0, NULL);
  if (item)
    line = text_line_of_item (location->source->text, line, item);
  va_list args;
  va_start (args, allowed_format);
  char *allowed = g_strdup_vprintf (allowed_format, args);
  va_end (args);
  count_and_pass_on (location->source, line, field, found ? found : "",
                     allowed);
  g_free (allowed);
}

typedef struct
{
  const finding_location_t *location;
  const char *const *keys;
  size_t n_keys;
} known_keys_t;

static void
check_key (const char *key, void *data)
{
  const known_keys_t *known = data;
  for (size_t i = 0; i < known->n_keys; i++)
    if (strcmp (key, known->keys[i]) == 0)
      return;
  const char *near = nearest_name (key, known->keys, known->n_keys);
  if (near)
    finding_report (known->location, key, NULL, key,
                    "a known field; did you mean \"%s\"?", near);
  else
    {
      GString *all = g_string_new (NULL);
      for (size_t i = 0; i < known->n_keys; i++)
        g_string_append_printf (all, "%s%s", i ? ", " : "", known->keys[i]);
      finding_report (known->location, key, NULL, key, "%s", all->str);
      g_string_free (all, TRUE);
    }
}

void
finding_unknown_keys (const finding_location_t *location,
                      const char *const *keys, size_t n_keys)
{
  known_keys_t known
      = { .location = location, .keys = keys, .n_keys = n_keys };
  toml_each_key (location->table, check_key, &known);
}

const char *
finding_value (const finding_location_t *location, const char *key)
{
  static char text[96];
  int64_t integer;
  double real;
  bool boolean;
  const char *string = toml_string (location->table, key);
  if (string)
    g_snprintf (text, sizeof text, "\"%s\"", string);
  else if (toml_integer (location->table, key, &integer))
    g_snprintf (text, sizeof text, "%lld", (long long)integer);
  else if (toml_real (location->table, key, &real))
    g_snprintf (text, sizeof text, "%g", real);
  else if (toml_boolean (location->table, key, &boolean))
    return boolean ? "true" : "false";
  else
    switch (toml_type (location->table, key))
      {
      case TOML_ABSENT:
        return "nothing";
      case TOML_ARRAY:
        return "an array";
      case TOML_TABLE:
        return "a table";
      case TOML_TABLES:
        return "an array of tables";
      case TOML_STRING:
        return "a string with a zero byte";
      case TOML_INTEGER:
      case TOML_REAL:
      case TOML_BOOLEAN:
      case TOML_OTHER:
        return "a date or time";
      }
  return text;
}

bool
finding_is_name (const char *text)
{
  size_t size = strlen (text);
  if (size == 0 || size > NAME_MAX_BYTES || !g_ascii_isalnum (*text))
    return false;
  for (; *text; text++)
    if (!g_ascii_isalnum (*text) && !strchr ("._-", *text))
      return false;
  return true;
}

/* Whether KEY has a value; its absence is reported if REQUIRED.  */
static bool
is_present (const finding_location_t *location, const char *key, bool required,
            const char *allowed)
{
  if (toml_type (location->table, key) != TOML_ABSENT)
    return true;
  if (required)
    finding_report (location, key, NULL, "nothing", "%s (required)", allowed);
  return false;
}

bool
finding_read_name (const finding_location_t *location, const char *key,
                   bool required, const char **out)
{
  static const char allowed[]
      = "1 to 64 letters, digits, '.', '_' and '-', the first a letter or "
        "digit";
  if (!is_present (location, key, required, allowed))
    return false;
  const char *text = toml_string (location->table, key);
  if (!text || !finding_is_name (text))
    {
      finding_report (location, key, NULL, finding_value (location, key), "%s",
                      allowed);
      return false;
    }
  *out = text;
  return true;
}

bool
finding_read_integer (const finding_location_t *location, const char *key,
                      bool required, int64_t min, int64_t max, int64_t *out)
{
  int64_t value;
  if (toml_integer (location->table, key, &value) && value >= min
      && value <= max)
    {
      *out = value;
      return true;
    }
  char allowed[64];
  g_snprintf (allowed, sizeof allowed, "whole number, %lld to %lld",
              (long long)min, (long long)max);
  if (is_present (location, key, required, allowed))
    finding_report (location, key, NULL, finding_value (location, key), "%s",
                    allowed);
  return false;
}

bool
finding_read_real (const finding_location_t *location, const char *key,
                   bool required, double min, double max, double *out)
{
  double value;
  /* NaN is out of bounds.  */
  if (toml_real (location->table, key, &value) && value >= min && value <= max)
    {
      *out = value;
      return true;
    }
  char allowed[64];
  g_snprintf (allowed, sizeof allowed, "number, %.12g to %.12g", min, max);
  if (is_present (location, key, required, allowed))
    finding_report (location, key, NULL, finding_value (location, key), "%s",
                    allowed);
  return false;
}

bool
finding_read_boolean (const finding_location_t *location, const char *key,
                      bool *out)
{
  if (!is_present (location, key, false, ""))
    return false;
  if (toml_boolean (location->table, key, out))
    return true;
  finding_report (location, key, NULL, finding_value (location, key),
                  "true or false");
  return false;
}

bool
finding_read_choice (const finding_location_t *location, const char *key,
                     const char *const *names, size_t n_names, size_t *out)
{
  if (!is_present (location, key, false, ""))
    return false;
  const char *text = toml_string (location->table, key);
  GString *all = g_string_new (NULL);
  for (size_t i = 0; i < n_names; i++)
    {
      if (text && strcmp (text, names[i]) == 0)
        {
          *out = i;
          g_string_free (all, TRUE);
          return true;
        }
      g_string_append_printf (all, "%s\"%s\"", i ? ", " : "", names[i]);
    }
  finding_report (location, key, NULL, finding_value (location, key),
                  "one of %s", all->str);
  g_string_free (all, TRUE);
  return false;
}
