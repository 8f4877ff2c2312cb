/* settings-table.h - default and bounds of every setting.

   docs/CONFIG.md has a row for each entry; a test compares them.  */

#ifndef KNAPWEEDFORK_LIB_SETTINGS_TABLE_H
#define KNAPWEEDFORK_LIB_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  SETTING_NAME,    /* see finding_is_name */
  SETTING_LISTEN,  /* "IP:PORT"; port 0: any free port */
  SETTING_ADDRESS, /* "IP:PORT" that others connect to */
  SETTING_SECRET,  /* name of a file whose contents are the value */
  SETTING_PATH,    /* name of a readable file */
  SETTING_CHOICE,  /* one of "names" */
  SETTING_INTEGER,
  SETTING_REAL
} setting_kind_t;

typedef struct
{
  const char *table;
  const char *key;
  setting_kind_t kind;
  bool required;
  size_t offset;            /* offset of the field in kwf_settings_t */
  const char *unit;         /* "" if none */
  const char *default_text; /* for CHOICE; NULL: none */
  double default_number;    /* for INTEGER and REAL */
  double min;
  double max;
  const char *const *names; /* for CHOICE; ends with NULL */
} setting_t;

extern const setting_t settings_table[];
extern const size_t n_settings;

#endif
