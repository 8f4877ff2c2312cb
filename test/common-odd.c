#include "common-odd.h"

#include <string.h>

#define LONG_TEXT 60000 /* bytes; a row holds at most 65,536 */

static void
clear (void *data)
{
  g_free (((odd_t *)data)->bytes);
}

static GArray *
new_list (void)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (odd_t));
  g_array_set_clear_func (list, clear);
  return list;
}

static void
add_bytes (GArray *list, const char *name, GString *text)
{
  odd_t odd = { .name = name, .size = text->len };
  odd.bytes = g_string_free (text, FALSE);
  g_array_append_val (list, odd);
}

static void
add (GArray *list, const char *name, char *text)
{
  odd_t odd = { name, text, strlen (text) };
  g_array_append_val (list, odd);
}

/* TEXT between LEVELS opening and closing brackets.  */
static char *
nest (const char *text, int levels)
{
  char *open = g_strnfill ((gsize)levels, '[');
  char *close = g_strnfill ((gsize)levels, ']');
  char *nested = g_strconcat (open, text, close, NULL);
  g_free (open);
  g_free (close);
  return nested;
}

/* An entry with FIELD, whose JSON value is VALUE, in place of the good field
   of that name.  VALUE NULL: without that field.  */
static char *
entry_with (const char *service, const char *address, const char *field,
            const char *value)
{
  const char *const fields[][2] = {
    { "backend", service }, { "address", address }, { "zone", "\"c\"" },
    { "version", "\"1\"" }, { "slots", "6" },       { "state", "\"ready\"" },
    { "seq", "1" },         { "born", "1" },        { "models", "[]" },
  };
  GString *text = g_string_new ("{");
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      const char *text_value = fields[i][1];
      if (strcmp (fields[i][0], field) == 0)
        text_value = value;
      if (text_value)
        g_string_append_printf (text, "%s\"%s\":%s", text->len > 1 ? "," : "",
                                fields[i][0], text_value);
    }
  g_string_append_c (text, '}');
  return g_string_free (text, FALSE);
}

static void
add_fields (GArray *list, const char *service, const char *address)
{
  static const struct
  {
    const char *name;
    const char *field;
    const char *value;
  } cases[] = {
    { "no-service", "backend", NULL },
    { "service-number", "backend", "7" },
    { "service-null", "backend", "null" },
    { "no-address", "address", NULL },
    { "address-name", "address", "\"localhost:80\"" },
    { "port-0", "address", "\"127.0.0.1:0\"" },
    { "port-65536", "address", "\"127.0.0.1:65536\"" },
    { "port-99999999999", "address", "\"127.0.0.1:99999999999\"" },
    { "port-negative", "address", "\"127.0.0.1:-80\"" },
    { "no-port", "address", "\"127.0.0.1\"" },
    { "address-list", "address", "[\"127.0.0.1:80\"]" },
    { "no-zone", "zone", NULL },
    { "zone-number", "zone", "4" },
    { "no-slots", "slots", NULL },
    { "slots-text", "slots", "\"many\"" },
    { "slots-negative", "slots", "-1" },
    { "slots-2^31", "slots", "2147483648" },
    { "slots-2^63", "slots", "9223372036854775808" },
    { "slots-max", "slots", "9223372036854775807" },
    { "slots-min", "slots", "-9223372036854775808" },
    { "slots-below-min", "slots", "-9223372036854775809" },
    { "slots-10^30", "slots", "1000000000000000000000000000000" },
    { "slots-1e30", "slots", "1e30" },
    { "slots-1e400", "slots", "1e400" },
    { "slots-half", "slots", "6.5" },
    { "no-state", "state", NULL },
    { "state-unknown", "state", "\"asleep\"" },
    { "state-number", "state", "1" },
    { "born-negative", "born", "-1" },
    { "born-real", "born", "1e30" },
    { "born-text", "born", "\"now\"" },
    { "models-object", "models", "{}" },
    { "models-number", "models", "[7]" },
    { "model-without-name", "models", "[{\"name\":\"m\"},{\"adapters\":[]}]" },
    { "model-adapters-text", "models",
      "[{\"name\":\"m\",\"adapters\":\"a1\"}]" },
    { "slots-twice", "slots", "6,\"slots\":7" },
    { "zero-byte-escaped", "zone", "\"c\\u0000\"" },
    { "bad-utf-8", "zone", "\"\xff\xfe\"" },
    { "surrogate", "zone", "\"\\ud800\"" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    add (list, cases[i].name,
         entry_with (service, address, cases[i].field, cases[i].value));
}

static void
add_nested_fields (GArray *list, const char *service, const char *address)
{
  static const char *const fields[] = { "models", "slots", "zone" };
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      char *nested = nest ("", 1000);
      add (list, fields[i], entry_with (service, address, fields[i], nested));
      g_free (nested);
    }
}

static void
add_large (GArray *list, const char *service, const char *address)
{
  char *name = g_strnfill (LONG_TEXT, 'x');
  char *value = g_strdup_printf ("\"%s\"", name);
  add (list, "address-60-KB", entry_with (service, address, "address", value));
  add (list, "state-60-KB", entry_with (service, address, "state", value));
  g_free (value);
  g_free (name);
}

GArray *
odd_documents (void)
{
  GArray *list = new_list ();
  add (list, "empty", g_strdup (""));
  add (list, "null", g_strdup ("null"));
  add (list, "list", g_strdup ("[]"));
  add (list, "text", g_strdup ("\"x\""));
  add (list, "no-json", g_strdup ("<html>Bad Gateway</html>"));
  add (list, "cut", g_strdup ("{\"version\":1,\"services\":[{\"na"));
  add (list, "bad-bytes", g_strdup ("\xff\xfe{}"));
  add_bytes (list, "zero-byte", g_string_new_len ("{}\0{}", 5));
  add (list, "real-1e400", g_strdup ("{\"version\":1e400}"));
  add (list, "integer-10^30",
       g_strdup ("{\"version\":1000000000000000000000000000000}"));
  add (list, "deep-1000", nest ("", 1000));
  add (list, "deep-30000", nest ("", 30000));
  add (list, "deep-open", g_strnfill (LONG_TEXT, '['));
  add (list, "deep-100000", nest ("", 100000));
  add (list, "two", g_strdup ("{}{}"));
  return list;
}

GArray *
odd_entries (const char *service, const char *address)
{
  GArray *list = odd_documents ();
  char *service_json = g_strdup_printf ("\"%s\"", service);
  char *address_json = g_strdup_printf ("\"%s\"", address);
  add_fields (list, service_json, address_json);
  add_nested_fields (list, service_json, address_json);
  add_large (list, service_json, address_json);
  char *good = entry_with (service_json, address_json, "", NULL);
  size_t size = strlen (good);
  GString *text = g_string_new (good);
  g_string_append_len (text, "\0x", 2);
  add_bytes (list, "zero-byte-after", text);
  add (list, "object-after", g_strconcat (good, "{}", NULL));
  add (list, "cut-at-the-end", g_strndup (good, size - 1));
  g_free (good);
  g_free (service_json);
  g_free (address_json);
  return list;
}
