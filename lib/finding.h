/* finding.h - reads typed fields of TOML text and reports errors ("findings").

   A finding_source_t holds one text that is checked and the function that
   receives its findings.  An invalid field is reported, and reading continues,
   so that one pass finds all errors of the text.  */

#ifndef KNAPWEEDFORK_LIB_FINDING_H
#define KNAPWEEDFORK_LIB_FINDING_H

#include <knapweedfork/lists.h>

#include "toml.h"

#define NAME_MAX_BYTES 64

typedef struct
{
  const char *file;
  const char *text;
  kwf_finding_fn_t fn; /* receives each finding; may be NULL */
  void *data;
  size_t n_findings;
  toml_document_t *document; /* NULL when the text is not TOML */
} finding_source_t;

/* A table of the text, with what its findings need: field name and line.  */
typedef struct
{
  finding_source_t *source;
  const toml_table_t *table;
  const char *header; /* name in brackets; NULL: the root table */
  size_t index;
  bool array; /* is one of the tables "[[HEADER]]" */
} finding_location_t;

/* Check and parse TEXT.  FN is called with each finding.  False: TEXT is not
   valid TOML or exceeds a limit.  */
bool finding_source_open (finding_source_t *source, const char *text,
                          const char *file, kwf_finding_fn_t fn, void *data);
/* Free the parsed document; the other fields of SOURCE stay valid.  */
void finding_source_free_document (finding_source_t *source);

/* Report KEY of LOCATION (NULL: the table itself).  FOUND is put in the
   finding as it is.  ITEM, if not NULL, is the array item that is wrong; its
   line is reported.  */
void finding_report (const finding_location_t *location, const char *key,
                     const char *item, const char *found,
                     const char *allowed_format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Report every key of LOCATION that is not among KEYS.  */
void finding_unknown_keys (const finding_location_t *location,
                           const char *const *keys, size_t n_keys);

/* Value of KEY in the form that findings show; valid until the next call.  */
const char *finding_value (const finding_location_t *location,
                           const char *key);

/* Whether TEXT has 1 to 64 letters, digits, '.', '_' and '-' and begins with a
   letter or digit.  */
bool finding_is_name (const char *text);

/* Read the value of KEY.  If the field is absent, *OUT is unchanged, and the
   absence is reported if REQUIRED; without this parameter the field is
   optional.  A wrong value is always reported.  Return whether *OUT was
   set.  */
bool finding_read_name (const finding_location_t *location, const char *key,
                        bool required, const char **out);
bool finding_read_integer (const finding_location_t *location, const char *key,
                           bool required, int64_t min, int64_t max,
                           int64_t *out);
bool finding_read_real (const finding_location_t *location, const char *key,
                        bool required, double min, double max, double *out);
bool finding_read_boolean (const finding_location_t *location, const char *key,
                           bool *out);
bool finding_read_choice (const finding_location_t *location, const char *key,
                          const char *const *names, size_t n_names,
                          size_t *out);

#endif
