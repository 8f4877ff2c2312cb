/* ledger-row.h - a row ledger/SERVER as data: the memory of one engine that
   is reserved, and the orders that may still reach it (docs/design.md
   section 13).

   All changes of a row are functions here; the caller commits the result by
   compare-and-set.  */

#ifndef KNAPWEEDFORK_LEDGER_ROW_H
#define KNAPWEEDFORK_LEDGER_ROW_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/event.h>

/* What is placed: a model's version, or one adapter of it.  */
typedef struct
{
  char *model;
  char *version; /* "" when the model has no version */
  char *adapter; /* "" for the model itself */
} ledger_item_t;

typedef enum
{
  LEDGER_ENTRY_LOADING, /* being loaded, or in doubt: a load order settles it
                         */
  LEDGER_ENTRY_RESIDENT,
  LEDGER_ENTRY_UNLOADING
} ledger_entry_state_t;

typedef struct
{
  ledger_item_t what;
  int64_t mb;
  int64_t fence; /* of the last order for it; older answers prove nothing */
  ledger_entry_state_t state;
  int64_t
      first_seen_ns; /* when this state was first seen here; not in the row */
} ledger_entry_t;

typedef enum
{
  ORDER_LOAD,
  ORDER_UNLOAD
} order_kind_t;

typedef struct
{
  char *id;
  order_kind_t kind;
  ledger_item_t what;
  int64_t mb;
  int64_t fence;
  char *holder;
  uint64_t holder_incarnation;
  bool late;             /* no answer: a copy may still arrive */
  bool again;            /* the entry existed before this order */
  int64_t first_seen_ns; /* when it was first seen here; not in the row */
} ledger_order_t;

typedef struct
{
  int64_t version; /* of the table row; 0: absent */
  int64_t total_mb;
  uint64_t incarnation; /* of the engine */
  int64_t fence;        /* of the newest order */
  GPtrArray *entries;   /* of ledger_entry_t */
  GPtrArray *orders;    /* of ledger_order_t */
} ledger_row_t;

/* How an order ended.  */
typedef enum
{
  ORDER_DONE,
  ORDER_REJECTED,   /* the engine did not do it */
  ORDER_STALE,      /* refused because the engine saw a higher fence */
  ORDER_NEVER_SENT, /* no copy of it exists */
  ORDER_UNANSWERED  /* it may still be carried out */
} order_outcome_t;

ledger_row_t *ledger_row_new (void);
void ledger_row_free (ledger_row_t *row);
ledger_row_t *ledger_row_copy (const ledger_row_t *row);

/* Read the row's JSON text; NULL when it is malformed.  */
ledger_row_t *ledger_row_parse (const char *text);

/* The JSON text; free with free.  */
char *ledger_row_to_json (const ledger_row_t *row);

bool ledger_item_equal (const ledger_item_t *a, const ledger_item_t *b);

/* Memory that is taken or may be taken, in MB: entries, and loads under way
   whose entry is gone or being unloaded: an engine that still unloads a model
   would hold it twice.  */
int64_t ledger_row_reserved_mb (const ledger_row_t *row);

ledger_entry_t *ledger_row_find_entry (const ledger_row_t *row,
                                       const ledger_item_t *what);
ledger_order_t *ledger_row_find_order (const ledger_row_t *row,
                                       const char *id);
bool ledger_row_has_order (const ledger_row_t *row, order_kind_t kind,
                           const ledger_item_t *what);

/* Whether the row has a copy of the model that no order may take away.  */
bool ledger_row_has_stable_copy (const ledger_row_t *row,
                                 const ledger_item_t *what);

/* Write ORDER into the row with the next fence, and its entry.  */
ledger_order_t *ledger_row_reserve (ledger_row_t *row,
                                    const ledger_order_t *order);

/* Record the end of the order ID.  FENCING: the engine refuses orders with
   a lower fence than the highest it carried out.  */
void ledger_row_finish_order (ledger_row_t *row, const char *id,
                              order_outcome_t end, bool fencing);

/* No copy of the late order ID can arrive any more.  What it did is not
   known; its entry is put in doubt.  */
void ledger_row_drop_late_order (ledger_row_t *row, const char *id);

/* Take the models of a report of an engine that has no row yet.  SIZE gives
   the memory of a model in MB.  */
typedef int64_t (*ledger_size_fn_t) (void *data, const ledger_item_t *what);
void ledger_row_init_from_report (ledger_row_t *row,
                                  const kwf_report_event_t *report,
                                  ledger_size_fn_t size, void *data);

/* The engine is a new process.  Entries that were the same since before
   SINCE_NS were of the old process and are dropped; the later ones may be of
   the new one and are put in doubt.  */
void ledger_row_handle_restart (ledger_row_t *row,
                                const kwf_report_event_t *report,
                                int64_t since_ns, ledger_size_fn_t size,
                                void *data);

/* A report shows a model that the row lacks.  */
void ledger_row_add_unlisted (ledger_row_t *row, const ledger_item_t *what,
                              int64_t mb);

#endif
