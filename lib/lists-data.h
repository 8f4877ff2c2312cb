/* lists-data.h - internals of kwf_lists_t, for the files lists*.c.  */

#ifndef KNAPWEEDFORK_LIB_LISTS_DATA_H
#define KNAPWEEDFORK_LIB_LISTS_DATA_H

#include <glib.h>

#include <knapweedfork/lists.h>

#include "finding.h"
#include "lists-build.h"

#define LISTS_MAX_RATE 1e9
#define LISTS_MAX_BURST 1e10
#define LISTS_MAX_MEMORY_MB INT64_C (10000000)

/* Sorted by strcmp; the strings belong to the lists.  */
typedef struct
{
  const char **items;
  size_t n_items;
} names_t;

typedef struct
{
  const char *name;
  double rate;
  double burst;
  kwf_priority_t priority;
  names_t models;
  names_t adapters; /* "MODEL/ADAPTER" */
  names_t services;
} plan_t;

struct kwf_lists
{
  GStringChunk *strings;
  GPtrArray *blocks;          /* arrays that belong to the lists */
  GPtrArray *models;          /* kwf_model_t */
  GPtrArray *services;        /* kwf_service_t */
  GPtrArray *plans;           /* plan_t */
  GPtrArray *organisations;   /* kwf_organisation_t */
  GPtrArray *routes;          /* kwf_route_t */
  GHashTable *routes_by_host; /* host in lower case to GPtrArray of
                                 kwf_route_t, the longest prefix first */
  GHashTable *model_by_name;
  GHashTable *service_by_name;
  GHashTable *plan_by_name;
  GHashTable *organisation_by_name;
  GHashTable *adapter_names; /* set: "MODEL/ADAPTER" of all models */
};

extern const char *const lists_priority_names[3];

/* Copy TEXT into the lists; or allocate an array of N names in them.  */
const char *lists_intern_string (kwf_lists_t *lists, const char *text);
const char **lists_alloc_names (kwf_lists_t *lists, size_t n);

/* Add ITEM under NAME.  If the name exists already, free ITEM and return
   false.  */
bool lists_add (GPtrArray *items, GHashTable *by_name, const char *name,
                void *item);

bool names_contain (const names_t *names, const char *name);

/* Read the tables of one list into LISTS; "uses" must be read first.  */
void lists_read_uses (kwf_lists_t *lists, finding_source_t *source);
void lists_read_plans (kwf_lists_t *lists, finding_source_t *source);

/* Helpers for both lists.  Call FN for each table "[[HEADER]]".  */
typedef void (*lists_table_fn_t) (kwf_lists_t *lists,
                                  const finding_location_t *location);
void lists_each_table (kwf_lists_t *lists, finding_source_t *source,
                       const char *header, lists_table_fn_t fn);

/* Read the array of strings KEY into *NAMES.  Report items that occur twice
   or, if KNOWN is not NULL, are not keys of this hash table; KIND says what
   the items are.  Return false if the field is absent.  */
bool lists_read_names (kwf_lists_t *lists, const finding_location_t *location,
                       const char *key, const char *kind, GHashTable *known,
                       names_t *names);

/* Report NAME in the array KEY as an unknown KIND; the finding suggests the
   most similar one of NAMES.  */
void lists_report_unknown (const finding_location_t *location, const char *key,
                           const char *kind, const char *name,
                           const char *const *names, size_t n_names);

#endif
