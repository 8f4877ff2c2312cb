/* ledger.h - reserves the memory of engines and sends them orders.

   A decider asks for a load or an unload; the ledger writes the order into
   the row ledger/SERVER by compare-and-set, sends it, and records how it
   ended.  Two deciders may use the same rows at the same time: the rows keep
   memory from being given twice and the last copy of a model from being
   unloaded (docs/design.md section 13).  */

#ifndef KNAPWEEDFORK_LEDGER_H
#define KNAPWEEDFORK_LEDGER_H

#include <knapweedfork/core.h>

#include "ledger-row.h"

typedef struct ledger ledger_t;

typedef enum
{
  LEDGER_PROCESS_ALIVE,   /* its lease may be valid */
  LEDGER_PROCESS_EXPIRED, /* its lease is over; it may get a new one */
  LEDGER_PROCESS_ENDED    /* it never sends anything again */
} ledger_process_state_t;

/* What the ledger asks of its surroundings.  */
typedef struct
{
  bool (*may_act) (void *data);
  ledger_process_state_t (*process) (void *data, const char *instance,
                                     uint64_t incarnation);
  int64_t (*size) (void *data, const ledger_item_t *what); /* MB */
  /* Whether the last copy of WHAT may be unloaded: it had no demand.  */
  bool (*is_cold) (void *data, const ledger_item_t *what);
  /* Whether *NEXT, another version of the model, answers in the place of
     WHAT; NULL: there are no versions.  The strings of *NEXT live as long as
     the step.  */
  bool (*successor) (void *data, const ledger_item_t *what,
                     ledger_item_t *next);
  void *data;
} ledger_callbacks_t;

typedef struct
{
  const char *instance;
  uint64_t incarnation;
  const kwf_clock_t *clock;
  kwf_random_t *random;
  /* An order is sent at most this long after its transaction was.  A holder
     that was paused would else send an order that others have written
     off.  */
  int64_t send_limit_ns;
  /* Time from the end of a process until no order of it can arrive any more;
     longer than a lease.  */
  int64_t settle_ns;
  /* Load reports are at most this old when they arrive.  */
  int64_t report_lag_ns;
  ledger_callbacks_t callbacks;
} ledger_options_t;

typedef enum
{
  LEDGER_BEGUN,
  LEDGER_BUSY,    /* an order or transaction of this instance is under way */
  LEDGER_NO_ROOM, /* the memory is reserved */
  LEDGER_UNKNOWN, /* no row of this server, or no report */
  LEDGER_REFUSED  /* it is there already, is not there, or is the last copy */
} ledger_result_t;

ledger_t *ledger_new (const ledger_options_t *options);
void ledger_free (ledger_t *ledger);

/* Whether this instance believes that it is the decider.  Others only end
   what they began.  */
void ledger_set_active (ledger_t *ledger, bool active);

/* Take a row under ledger/ that was read.  */
void ledger_apply_row (ledger_t *ledger, const kwf_row_t *row);

/* Take the load report of an engine.  */
void ledger_handle_report (ledger_t *ledger, const kwf_report_event_t *report,
                           const char *address);

/* Take the answer to a transaction; false: it is not of the ledger.  */
bool ledger_handle_txn_reply (ledger_t *ledger, kwf_handle_t op,
                              const kwf_store_reply_t *reply,
                              kwf_effects_t *effects);
void ledger_handle_order_reply (ledger_t *ledger,
                                const kwf_order_event_t *event,
                                kwf_effects_t *effects);
void ledger_tick (ledger_t *ledger, kwf_effects_t *effects);
int64_t ledger_deadline_ns (const ledger_t *ledger);

/* Begin a load or an unload on SERVER.  */
ledger_result_t ledger_load (ledger_t *ledger, const char *server,
                             const ledger_item_t *what,
                             kwf_effects_t *effects);
ledger_result_t ledger_unload (ledger_t *ledger, const char *server,
                               const ledger_item_t *what,
                               kwf_effects_t *effects);

/* The row of SERVER as last known; NULL: none.  */
const ledger_row_t *ledger_find_row (const ledger_t *ledger,
                                     const char *server);

/* What is known of a server.  */
typedef struct
{
  const char *id;
  const ledger_row_t *row; /* NULL: none */
  bool responding;         /* the process that the row is about */
  bool fencing;
  bool leaving;
  bool busy; /* with an order or a transaction of this process */
  const ledger_item_t
      *reserving; /* a load that is being reserved; NULL: none */
} ledger_server_t;

size_t ledger_n_servers (const ledger_t *ledger);
ledger_server_t ledger_server_at (const ledger_t *ledger, size_t i);

/* Whether an unload of WHAT on SERVER would be begun.  */
bool ledger_can_unload (const ledger_t *ledger, const char *server,
                        const ledger_item_t *what);

/* Whether this process has nothing under way.  */
bool ledger_is_idle (const ledger_t *ledger);

#endif
