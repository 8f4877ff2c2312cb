/* ledger-row.h - the contents of a table row ledger/SERVER: the reserved
   memory of one engine, and the orders that may still reach it (docs/design.md
   section 13).

   The functions here only change a row in memory; the caller commits the
   result by compare-and-set.  */

#ifndef KNAPWEEDFORK_LEDGER_ROW_H
#define KNAPWEEDFORK_LEDGER_ROW_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/event.h>

/* A version of a model, or one of its adapters.  */
typedef struct
{
  char *model;
  char *version; /* "" if the model has no version */
  char *adapter; /* "" for the model itself */
} ledger_item_t;

typedef enum
{
  LEDGER_ENTRY_LOADING, /* being loaded, or in doubt: a new load order makes it
                           certain */
  LEDGER_ENTRY_RESIDENT,
  LEDGER_ENTRY_UNLOADING
} ledger_entry_state_t;

typedef struct
{
  ledger_item_t item;
  int64_t mb;
  int64_t fence; /* of the last order for it; replies to older orders prove
                    nothing */
  ledger_entry_state_t state;
  int64_t first_seen_ns; /* when first seen by this instance; not stored */
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
  ledger_item_t item;
  int64_t mb;
  int64_t fence;
  char *holder; /* instance that sent the order */
  uint64_t holder_incarnation;
  bool unanswered;       /* no reply: a copy may still arrive at the engine */
  bool entry_existed;    /* the entry existed before this order */
  int64_t first_seen_ns; /* when first seen by this instance; not stored */
} ledger_order_t;

typedef struct
{
  int64_t version; /* of the table row; 0: absent */
  int64_t total_mb;
  uint64_t incarnation; /* of the engine's process */
  int64_t fence; /* fencing token of the newest order: each order gets the next
                    number */
  GPtrArray *entries; /* of ledger_entry_t */
  GPtrArray *orders;  /* of ledger_order_t */
} ledger_row_t;

/* How an order ended.  */
typedef enum
{
  ORDER_DONE,
  ORDER_REJECTED,   /* refused by the engine and not carried out */
  ORDER_STALE,      /* refused because the engine has seen a higher fence */
  ORDER_NEVER_SENT, /* no copy of it was sent */
  ORDER_UNANSWERED  /* it may still be carried out */
} order_outcome_t;

ledger_row_t *ledger_row_new (void);
void ledger_row_free (ledger_row_t *row);
ledger_row_t *ledger_row_copy (const ledger_row_t *row);

/* Parse the JSON text of a row; NULL: it is malformed.  */
ledger_row_t *ledger_row_parse (const char *text);

/* Return the JSON text of ROW.  Release it with free.  */
char *ledger_row_to_json (const ledger_row_t *row);

bool ledger_item_equal (const ledger_item_t *a, const ledger_item_t *b);

/* Memory in MB that is or may be in use: all entries, and the load orders
   whose entry is missing or being unloaded.  An engine that still unloads a
   model when its load begins holds it twice.  */
int64_t ledger_row_reserved_mb (const ledger_row_t *row);

ledger_entry_t *ledger_row_find_entry (const ledger_row_t *row,
                                       const ledger_item_t *item);
ledger_order_t *ledger_row_find_order (const ledger_row_t *row,
                                       const char *id);
bool ledger_row_has_order (const ledger_row_t *row, order_kind_t kind,
                           const ledger_item_t *item);

/* Whether ITEM is resident and the row has no order to unload it.  */
bool ledger_row_has_stable_copy (const ledger_row_t *row,
                                 const ledger_item_t *item);

/* Add a copy of ORDER to the row with the next fence, and update or add its
   entry.  Return the copy.  */
ledger_order_t *ledger_row_reserve (ledger_row_t *row,
                                    const ledger_order_t *order);

/* Record OUTCOME of the order ID and remove the order.  With ORDER_UNANSWERED
   the order stays in the row and is marked as unanswered.  CHECKS_FENCES: the
   engine refuses orders with a lower fence than the highest that it has
   carried out.  */
void ledger_row_record_outcome (ledger_row_t *row, const char *id,
                                order_outcome_t outcome, bool checks_fences);

/* Remove the unanswered order ID, of which no copy can arrive any more.
   Whether it was carried out isn't known, so its entry is put in doubt.  */
void ledger_row_drop_unanswered_order (ledger_row_t *row, const char *id);

/* Fill a new row from the first load report of an engine.  SIZE returns the
   memory of an item in MB.  */
typedef int64_t (*ledger_size_fn_t) (void *data, const ledger_item_t *item);
void ledger_row_init_from_report (ledger_row_t *row,
                                  const kwf_report_event_t *report,
                                  ledger_size_fn_t size, void *data);

/* Update the row after a restart of the engine.  An entry that has been
   resident since before SINCE_NS belonged to the old process and is removed;
   later ones may belong to the new process and are put in doubt.  */
void ledger_row_handle_restart (ledger_row_t *row,
                                const kwf_report_event_t *report,
                                int64_t since_ns, ledger_size_fn_t size,
                                void *data);

/* Add a model that load reports list and the row lacks.  */
void ledger_row_add_unlisted (ledger_row_t *row, const ledger_item_t *item,
                              int64_t mb);

#endif
