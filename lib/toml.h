/* toml.h - C interface to cpptoml.

   No function throws an exception.  Strings and tables belong to the document.
   The keys of a table are visited in alphabetical order.  */

#ifndef KNAPWEEDFORK_LIB_TOML_H
#define KNAPWEEDFORK_LIB_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct toml_document toml_document_t;
  typedef struct toml_table toml_table_t;

  typedef enum
  {
    TOML_ABSENT,
    TOML_STRING,
    TOML_INTEGER,
    TOML_REAL,
    TOML_BOOLEAN,
    TOML_ARRAY, /* array of values */
    TOML_TABLE,
    TOML_TABLES, /* array of tables */
    TOML_OTHER   /* date or time */
  } toml_type_t;

  typedef struct
  {
    int line; /* 0: unknown */
    char message[160];
  } toml_error_t;

  /* Parse TEXT, which text_check (text.h) has accepted.  Return NULL and
     fill ERROR if it is not valid TOML.  */
  toml_document_t *toml_parse (const char *text, toml_error_t *error);
  void toml_free (toml_document_t *document);
  const toml_table_t *toml_root (const toml_document_t *document);

  typedef void (*toml_key_fn_t) (const char *key, void *data);
  void toml_each_key (const toml_table_t *table, toml_key_fn_t fn, void *data);
  toml_type_t toml_type (const toml_table_t *table, const char *key);

  /* Value of KEY; NULL or false if it has another type.  A string that
     contains a zero byte counts as another type.  An integer can also be read
     as a real.  */
  const char *toml_string (const toml_table_t *table, const char *key);
  bool toml_integer (const toml_table_t *table, const char *key,
                     int64_t *value);
  bool toml_real (const toml_table_t *table, const char *key, double *value);
  bool toml_boolean (const toml_table_t *table, const char *key, bool *value);

  /* Items of an array of values or of tables.  A single table counts as one
     item.  */
  size_t toml_n_items (const toml_table_t *table, const char *key);
  const char *toml_string_at (const toml_table_t *table, const char *key,
                              size_t i);
  const toml_table_t *toml_table_at (const toml_table_t *table,
                                     const char *key, size_t i);

#ifdef __cplusplus
}
#endif

#endif
