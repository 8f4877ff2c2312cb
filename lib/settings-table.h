/* settings-table.h - defaults and bounds of the settings.

   The table has those that do not depend on other settings.  The rest is in
   settings.c: default addresses, the sizes of secrets, the upper bound of
   fresh_ms, and tighter bounds of leases and renewals.

   docs/CONFIG.md has a row for each entry; a test compares them.  */

#ifndef KNAPWEEDFORK_LIB_SETTINGS_TABLE_H
#define KNAPWEEDFORK_LIB_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>

#include <knapweedfork/settings.h>

#include "finding.h"

typedef enum
{
  SETTING_NAME,    /* see finding_is_name */
  SETTING_LISTEN,  /* "IP:PORT"; port 0: any free port */
  SETTING_ADDRESS, /* "IP:PORT" that others connect to */
  SETTING_SECRET,  /* path of a file whose contents are the value */
  SETTING_PATH,    /* path of a readable file, which is the value; a
                      relative path begins at the settings file's
                      directory */
  SETTING_CHOICE,  /* one of "choices" */
  SETTING_INTEGER,
  SETTING_REAL
} setting_kind_t;

typedef struct
{
  const char *table;
  const char *key;
  setting_kind_t kind;
  bool always_required; /* has to be set, whatever other settings are; protocol
                           "table" requires more, see settings.c */
  size_t offset;        /* offset of the field in kwf_settings_t */
  const char *unit;     /* "" if none */
  const char *default_text; /* for CHOICE; NULL: none */
  double default_number;    /* for INTEGER and REAL */
  double min;
  double max;
  const char *const *choices; /* for CHOICE; ends with NULL */
} setting_t;

extern const setting_t settings_table[];
extern const size_t n_settings;

/* The table of the regions of data centres, whose keys are names of data
   centres (settings-regions.c).  */
#define SETTINGS_REGIONS "regions"
void settings_read_regions (finding_source_t *source,
                            kwf_settings_t *settings);
void settings_free_regions (kwf_settings_t *settings);

#endif
