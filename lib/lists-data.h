/* lists-data.h - the inside of kwf_lists_t, for the files lists*.c.  */

#ifndef KNAPWEEDFORK_LIB_LISTS_DATA_H
#define KNAPWEEDFORK_LIB_LISTS_DATA_H

#include <glib.h>

#include <knapweedfork/lists.h>

#include "finding.h"
#include "lists-build.h"

#define LISTS_MAX_RATE 1e9
#define LISTS_MAX_BURST 1e10
#define LISTS_MAX_MEMORY_MB INT64_C (10000000)

/* Names that belong to the lists' string chunk, in the order of strcmp.  */
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
  GPtrArray *blocks;          /* arrays of names */
  GPtrArray *models;          /* of kwf_model_t */
  GPtrArray *services;        /* of kwf_service_t */
  GPtrArray *plans;           /* of plan_t */
  GPtrArray *organisations;   /* of kwf_organisation_t */
  GPtrArray *routes;          /* of kwf_route_t */
  GHashTable *routes_by_host; /* name in lower case to GPtrArray of
                                 kwf_route_t, the longest prefix first */
  GHashTable *model_by_name;
  GHashTable *service_by_name;
  GHashTable *plan_by_name;
  GHashTable *organisation_by_name;
  GHashTable *adapter_names; /* "MODEL/ADAPTER" of all models */
};

extern const char *const lists_priority_names[3];

/* Copy TEXT, or an array of N names, into the lists.  */
const char *lists_intern_string (kwf_lists_t *lists, const char *text);
const char **lists_alloc_names (kwf_lists_t *lists, size_t n);

/* Add ITEM under NAME.  False: there is one of this name already; ITEM is
   freed.  */
bool lists_add (GPtrArray *items, GHashTable *by_name, const char *name,
                void *item);

bool names_contain (const names_t *names, const char *name);

/* Read the tables of one text into LISTS.  "uses" comes first.  */
void lists_read_uses (kwf_lists_t *lists, finding_reader_t *reader);
void lists_read_plans (kwf_lists_t *lists, finding_reader_t *reader);

/* Helpers of both readers.  Call FN for each "[[HEADER]]".  */
typedef void (*lists_table_fn_t) (kwf_lists_t *lists,
                                  const finding_location_t *place);
void lists_each_table (kwf_lists_t *lists, finding_reader_t *reader,
                       const char *header, lists_table_fn_t fn);

/* Read the array of strings KEY into *NAMES.  Each item must be a key of
   KNOWN (a GHashTable, or NULL) of the given KIND, and not occur twice.
   False: the field is absent.  */
bool lists_read_names (kwf_lists_t *lists, const finding_location_t *place,
                       const char *key, const char *kind, GHashTable *known,
                       names_t *names);

/* Report NAME of the array KEY as an unknown KIND, with the nearest of
   NAMES.  */
void lists_report_unknown (const finding_location_t *place, const char *key,
                           const char *kind, const char *name,
                           const char *const *names, size_t n_names);

#endif
