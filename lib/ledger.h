/* ledger.h - reserves memory of engines for models and sends load and unload
   orders.

   The placement leader orders a load or an unload.  The ledger writes the
   order into the table row ledger/SERVER by compare-and-set, sends it, and
   records its outcome.  Two instances may act as the leader at the same time:
   the rows prevent them from reserving the same memory twice and from
   unloading the last copy of a model (docs/design.md section 13).  */

#ifndef KNAPWEEDFORK_LEDGER_H
#define KNAPWEEDFORK_LEDGER_H

#include <knapweedfork/core.h>

#include "ledger-row.h"

typedef struct ledger ledger_t;

typedef enum
{
  LEDGER_PROCESS_ALIVE,   /* its lease may be valid */
  LEDGER_PROCESS_EXPIRED, /* its lease has expired; it may get a new one */
  LEDGER_PROCESS_ENDED    /* it sends nothing any more */
} ledger_process_state_t;

/* Functions that the ledger calls; DATA is passed to each.  */
typedef struct
{
  /* Whether this process may send orders now: its session may act.  */
  bool (*may_send_orders) (void *data);
  ledger_process_state_t (*process_state) (void *data, const char *instance,
                                           uint64_t incarnation);
  int64_t (*size) (void *data, const ledger_item_t *item); /* in MB */
  /* Whether the last copy of ITEM may be unloaded because it has no
     demand.  */
  bool (*is_cold) (void *data, const ledger_item_t *item);
  /* Whether ITEM is being replaced by *NEXT, another version of its model,
     which serves the same requests.  The strings of *NEXT are valid during the
     step.  The pointer is NULL if models have no versions.  */
  bool (*replacement) (void *data, const ledger_item_t *item,
                       ledger_item_t *next);
  void *data;
} ledger_callbacks_t;

typedef struct
{
  const char *instance;
  uint64_t incarnation;
  const kwf_clock_t *clock;
  kwf_random_t *random;
  /* An order is sent only within this time after its transaction was sent.
     Otherwise a process that was paused could send an order that other
     instances have already recorded as unanswered.  */
  int64_t send_limit_ns;
  /* Time from the end of a process until no order of it can arrive any more;
     longer than a lease.  */
  int64_t max_order_delay_ns;
  /* Maximum age of a load report when it arrives.  */
  int64_t max_report_lag_ns;
  ledger_callbacks_t callbacks;
} ledger_options_t;

typedef enum
{
  LEDGER_BEGUN,
  LEDGER_BUSY,    /* an order or transaction of this instance is in flight */
  LEDGER_NO_ROOM, /* the free memory is too small or reserved */
  LEDGER_UNKNOWN, /* no row or no current load report of this server */
  LEDGER_REFUSED  /* already loaded, not loaded, or the last copy */
} ledger_result_t;

ledger_t *ledger_new (const ledger_options_t *options);
void ledger_free (ledger_t *ledger);

/* Set whether this instance believes that it is the placement leader.  If not,
   it starts nothing and only completes its own orders.  */
void ledger_set_active (ledger_t *ledger, bool active);

/* Handle a row that was read; rows without the prefix ledger/ are ignored.  */
void ledger_apply_row (ledger_t *ledger, const kwf_row_t *row);

/* Handle a load report of an engine with ADDRESS.  */
void ledger_handle_report (ledger_t *ledger, const kwf_report_event_t *report,
                           const char *address);

/* Handle the reply to a transaction.  Return false if OP doesn't belong to the
   ledger.  */
bool ledger_handle_txn_reply (ledger_t *ledger, kwf_handle_t op,
                              const kwf_store_reply_t *reply,
                              kwf_effects_t *effects);
void ledger_handle_order_reply (ledger_t *ledger,
                                const kwf_order_event_t *event,
                                kwf_effects_t *effects);
void ledger_tick (ledger_t *ledger, kwf_effects_t *effects);
int64_t ledger_next_tick_ns (const ledger_t *ledger);

/* Start to load ITEM on SERVER, or to unload it.  */
ledger_result_t ledger_load (ledger_t *ledger, const char *server,
                             const ledger_item_t *item,
                             kwf_effects_t *effects);
ledger_result_t ledger_unload (ledger_t *ledger, const char *server,
                               const ledger_item_t *item,
                               kwf_effects_t *effects);

/* Return the last known row of SERVER, the id of a backend server that is a
   model engine; NULL: none.  */
const ledger_row_t *ledger_find_row (const ledger_t *ledger,
                                     const char *server);

/* What the ledger knows of a server.  */
typedef struct
{
  const char *id;
  const ledger_row_t *row; /* NULL: none */
  bool responding; /* the process that the row describes responds to probes */
  bool fencing;    /* the engine refuses orders with a lower fence */
  bool leaving;
  bool busy; /* with an order or transaction of this process */
  const ledger_item_t *reserving; /* item of a load whose reservation is in
                                     flight; NULL: none */
} ledger_server_t;

size_t ledger_n_servers (const ledger_t *ledger);
ledger_server_t ledger_server_at (const ledger_t *ledger, size_t i);

/* Whether ledger_unload would start an unload of ITEM on SERVER, as far as the
   row and the other copies decide.  */
bool ledger_can_unload (const ledger_t *ledger, const char *server,
                        const ledger_item_t *item);

/* Whether no order or transaction of this process is in flight.  */
bool ledger_is_idle (const ledger_t *ledger);

#endif
