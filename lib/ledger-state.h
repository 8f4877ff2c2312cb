/* ledger-state.h - state shared by the files ledger*.c.  */

#ifndef KNAPWEEDFORK_LEDGER_STATE_H
#define KNAPWEEDFORK_LEDGER_STATE_H

#include "ledger.h"

#define LEDGER_ID_SIZE 33

typedef enum
{
  LEDGER_PHASE_NONE,
  LEDGER_PHASE_RESERVING, /* the transaction is in flight */
  LEDGER_PHASE_SENT,    /* sent, maybe again; waiting for the engine's reply */
  LEDGER_PHASE_RUNNING, /* the engine is carrying it out; it is sent again
                           until the reply says that it is done */
  LEDGER_PHASE_ENDED    /* the outcome, which may be ORDER_UNANSWERED, is to be
                           recorded in the row */
} ledger_phase_t;

/* The order of this instance to one engine; there is at most one at a
   time.  */
typedef struct
{
  ledger_phase_t phase;
  char id[LEDGER_ID_SIZE];
  order_kind_t kind;
  ledger_item_t item;
  int64_t fence;
  order_outcome_t outcome;
  bool accepted; /* the engine has replied that it carries out the order */
  int64_t next_resend_ns; /* LEDGER_PHASE_RUNNING: when to send it again */
} ledger_own_order_t;

/* The last valid load report of an engine.  */
typedef struct
{
  kwf_report_event_t event;    /* owns its arrays and strings */
  int64_t at_ns;               /* when it arrived; 0: none yet */
  int64_t previous_process_ns; /* arrival of the last report of the engine's
                                  former process; 0: none */
  bool responding;             /* the last probe of the engine succeeded */
} ledger_report_t;

typedef struct
{
  char *id;
  char *address;
  ledger_row_t *row; /* NULL: none is known */
  ledger_report_t report;
  GHashTable *unlisted; /* "MODEL\nVERSION" in reports but not in the row ->
                           int64_t, since when */

  kwf_handle_t op; /* transaction in flight; 0: none */
  int64_t op_sent_ns;
  ledger_row_t *op_row; /* the row that it writes */
  bool op_is_reservation;

  ledger_own_order_t own_order;
  int64_t not_before_ns; /* no transaction before this time */
} ledger_engine_t;

struct ledger
{
  ledger_options_t options;
  GPtrArray *engines;          /* of ledger_engine_t */
  GHashTable *by_id;           /* id -> ledger_engine_t */
  GHashTable *ended_processes; /* "INSTANCE/INCARNATION" -> int64_t, when it
                                  was found ended */
  bool active;
  uint64_t next_op;
};

ledger_engine_t *ledger_find_engine (const ledger_t *ledger, const char *id);
int64_t ledger_now (const ledger_t *ledger);

/* Write ROW as the new row of ENGINE in a transaction, and take ownership of
   it.  The transaction fails if the row of ENGINE, or of REMAINING if it isn't
   NULL, was changed meanwhile.  */
void ledger_commit (ledger_t *ledger, ledger_engine_t *engine,
                    ledger_row_t *row, const ledger_engine_t *remaining,
                    bool reserves, kwf_effects_t *effects);

/* Reserve memory for an order and send it once the transaction is committed.
   REMAINING as in ledger_commit.  */
void ledger_start_order (ledger_t *ledger, ledger_engine_t *engine,
                         order_kind_t kind, const ledger_item_t *item,
                         int64_t mb, const ledger_engine_t *remaining,
                         kwf_effects_t *effects);

/* Return another engine with a confirmed copy of ITEM: its row lists the copy,
   and its current load report shows that the copy has been resident for long
   enough for all instances to know of it.  NULL: none.  */
const ledger_engine_t *ledger_find_other_copy (const ledger_t *ledger,
                                               const ledger_engine_t *engine,
                                               const ledger_item_t *item);

/* Whether ITEM may be unloaded from ENGINE now.  The engine whose copy of
   ITEM, or of the version that replaces it, justifies that is returned in
   *REMAINING; NULL: none is needed.  */
bool ledger_check_unload (const ledger_t *ledger,
                          const ledger_engine_t *engine,
                          const ledger_item_t *item,
                          const ledger_engine_t **remaining);

/* ledger-recovery.c: complete or remove what orders, leaders and engines left
   without an outcome.  */
void ledger_recover (ledger_t *ledger, ledger_engine_t *engine,
                     kwf_effects_t *effects);
/* Note when processes that sent unanswered orders were first found ended.  */
void ledger_note_ended_processes (ledger_t *ledger);

/* ledger-report.c */
bool ledger_report_lists (const ledger_report_t *report,
                          const ledger_item_t *item);
void ledger_report_update (ledger_report_t *report,
                           const kwf_report_event_t *event, int64_t now_ns);
void ledger_report_clear (ledger_report_t *report);
/* Update the set of models that reports list and the row lacks.  */
void ledger_note_unlisted (ledger_engine_t *engine, int64_t now_ns);

#endif
