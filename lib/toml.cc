/* With keys in a sorted map the order of findings is reproducible.  */
#define CPPTOML_USE_MAP
#include <limits>
#include <cpptoml.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "toml.h"

struct toml_document { std::shared_ptr<cpptoml::table> root; };

namespace
{
const toml_table_t *wrap (const std::shared_ptr<cpptoml::table> &table)
{
  return reinterpret_cast<const toml_table_t *> (table.get ());
}

const cpptoml::table *unwrap (const toml_table_t *table)
{
  return reinterpret_cast<const cpptoml::table *> (table);
}

/* Return FN of the value of KEY; OTHERWISE if there is none or after an
   exception.  */
template <class T, class F>
T with (const toml_table_t *table, const char *key, T otherwise, F fn) noexcept
{
  try
    {
      return unwrap (table)->contains (key) ? fn (unwrap (table)->get (key))
                                            : otherwise;
    }
  catch (...)
    {
      return otherwise;
    }
}

const char *text_of (const std::shared_ptr<cpptoml::base> &base)
{
  auto value = base->as<std::string> ();
  bool whole = value && value->get ().find ('\0') == std::string::npos;
  return whole ? value->get ().c_str () : nullptr;
}

template <class T>
bool value_of (const toml_table_t *table, const char *key, T *out) noexcept
{
  return with (table, key, false, [out] (auto base) {
    auto value = base->template as<T> ();
    if (value)
      *out = value->get ();
    return value != nullptr;
  });
}
} // namespace

toml_document_t *toml_parse (const char *text, toml_error_t *error)
{
  *error = {};
  try
    {
      std::istringstream stream{ text };
      cpptoml::parser parser{ stream };
      return new toml_document{ parser.parse () };
    }
  catch (const std::exception &cause)
    {
      /* cpptoml gives the line only at the end of its message.  */
      std::string what{ cause.what () };
      auto at = what.rfind (" at line ");
      error->line = at == what.npos ? 0 : std::atoi (what.c_str () + at + 9);
      std::snprintf (error->message, sizeof error->message, "%s",
                     what.substr (0, at).c_str ());
    }
  return nullptr;
}

void toml_free (toml_document_t *document) { delete document; }

const toml_table_t *toml_root (const toml_document_t *document)
{ return wrap (document->root); }

void toml_each_key (const toml_table_t *table, toml_key_fn_t fn, void *data)
{
  for (const auto &item : *unwrap (table))
    fn (item.first.c_str (), data);
}

toml_type_t toml_type (const toml_table_t *table, const char *key)
{
  return with (table, key, TOML_ABSENT, [] (auto base) {
    return base->is_table ()                   ? TOML_TABLE
           : base->is_table_array ()           ? TOML_TABLES
           : base->is_array ()                 ? TOML_ARRAY
           : base->template as<std::string> () ? TOML_STRING
           : base->template as<int64_t> ()     ? TOML_INTEGER
           : base->template as<double> ()      ? TOML_REAL
           : base->template as<bool> ()        ? TOML_BOOLEAN
                                               : TOML_OTHER;
  });
}

const char *toml_string (const toml_table_t *table, const char *key)
{
  return with<const char *> (table, key, nullptr, text_of);
}

bool toml_integer (const toml_table_t *table, const char *key, int64_t *value)
{ return value_of (table, key, value); }

bool toml_real (const toml_table_t *table, const char *key, double *value)
{ return value_of (table, key, value); }

bool toml_boolean (const toml_table_t *table, const char *key, bool *value)
{ return value_of (table, key, value); }

size_t toml_n_items (const toml_table_t *table, const char *key)
{
  return with<size_t> (table, key, 0, [] (auto base) -> size_t {
    auto tables = base->as_table_array ();
    return base->is_array () ? base->as_array ()->get ().size ()
           : tables          ? tables->get ().size ()
                             : base->is_table ();
  });
}

const char *toml_string_at (const toml_table_t *table, const char *key, size_t i)
{
  return with<const char *> (table, key, nullptr, [i] (auto base) {
    auto array = base->as_array ();
    return array ? text_of (array->get ().at (i)) : nullptr;
  });
}

const toml_table_t *toml_table_at (const toml_table_t *table, const char *key,
                                   size_t i)
{
  return with<const toml_table_t *> (table, key, nullptr, [i] (auto base) {
    auto tables = base->as_table_array ();
    return tables ? wrap (tables->get ().at (i))
                  : wrap (i ? nullptr : base->as_table ());
  });
}
