/* finding.h - reading typed fields of a TOML text with findings.

   A reader is one text.  Its functions report what is wrong with a field
   and go on, so that all findings of a text are known at once.  */

#ifndef KNAPWEEDFORK_LIB_FINDING_H
#define KNAPWEEDFORK_LIB_FINDING_H

#include <knapweedfork/lists.h>

#include "toml.h"

#define NAME_MAX_BYTES 64

typedef struct
{
  const char *file;
  const char *text;
  kwf_finding_fn_t fn; /* may be NULL */
  void *data;
  size_t n_findings;
  toml_document_t *document; /* NULL when the text is not TOML */
} finding_reader_t;

/* A table in the text, for field names and lines.  */
typedef struct
{
  finding_reader_t *reader;
  const toml_table_t *table;
  const char *header; /* NULL: the root */
  size_t index;
  bool array; /* "[[HEADER]]" */
} finding_location_t;

/* Check and parse TEXT.  False: it is not TOML or exceeds the bounds.  */
bool finding_reader_open (finding_reader_t *reader, const char *text,
                          const char *file, kwf_finding_fn_t fn, void *data);
void finding_reader_close (finding_reader_t *reader);

/* Report KEY of PLACE (NULL: the table).  FOUND is shown as it is; ITEM, if
   not NULL, is the item of an array that is meant.  */
void finding_report (const finding_location_t *place, const char *key,
                     const char *item, const char *found,
                     const char *allowed_format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Report every key of PLACE that is not among KEYS.  */
void finding_unknown_keys (const finding_location_t *place,
                           const char *const *keys, size_t n_keys);

/* Value of KEY as it is shown in findings; valid until the next call.  */
const char *finding_value (const finding_location_t *place, const char *key);

/* Whether TEXT is a letter or digit and up to 63 letters, digits, '.', '_'
   and '-'.  */
bool finding_is_name (const char *text);

/* Values.  An absent field leaves *OUT alone and is reported when REQUIRED.
   Return true when *OUT was set.  */
bool finding_name (const finding_location_t *place, const char *key,
                   bool required, const char **out);
bool finding_integer (const finding_location_t *place, const char *key,
                      bool required, int64_t least, int64_t most,
                      int64_t *out);
bool finding_real (const finding_location_t *place, const char *key,
                   bool required, double least, double most, double *out);
bool finding_boolean (const finding_location_t *place, const char *key,
                      bool *out);
bool finding_choice (const finding_location_t *place, const char *key,
                     const char *const *names, size_t n_names, size_t *out);

#endif
