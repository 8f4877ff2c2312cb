/* ledger-state.h - state shared by ledger.c and ledger-recovery.c.  */

#ifndef KNAPWEEDFORK_LEDGER_STATE_H
#define KNAPWEEDFORK_LEDGER_STATE_H

#include "ledger.h"

#define LEDGER_ID_SIZE 33

typedef enum
{
  LEDGER_PHASE_NONE,
  LEDGER_PHASE_RESERVING, /* the transaction is under way */
  LEDGER_PHASE_SENT,      /* waits for the engine's answer */
  LEDGER_PHASE_RUNNING,   /* the engine accepted it; asked again from time to
                             time */
  LEDGER_PHASE_ENDED      /* the end is to be recorded in the row */
} ledger_phase_t;

/* The order of this instance for one server.  */
typedef struct
{
  ledger_phase_t phase;
  char id[LEDGER_ID_SIZE];
  order_kind_t kind;
  ledger_item_t what;
  int64_t fence;
  order_outcome_t end;
  bool accepted;        /* the engine answered a copy with "running" */
  int64_t next_poll_ns; /* RUNNING: when to ask again */
} ledger_own_order_t;

/* What the last valid report said.  */
typedef struct
{
  kwf_report_event_t event; /* arrays and strings are owned */
  int64_t at_ns;            /* when it arrived; 0: none */
  int64_t other_ns;         /* last one of the process before; 0: none */
  bool responding;          /* the last probe was answered */
} ledger_report_t;

typedef struct
{
  char *id;
  char *address;
  ledger_row_t *row; /* NULL: not known to exist */
  ledger_report_t report;
  GHashTable *unlisted; /* "MODEL\nVERSION" that the row lacks -> since */

  kwf_handle_t op; /* transaction under way; 0: none */
  int64_t op_sent_ns;
  ledger_row_t *op_row; /* the row it writes */
  bool op_is_reservation;

  ledger_own_order_t own_order;
  int64_t not_before_ns; /* no transaction before */
} ledger_engine_t;

struct ledger
{
  ledger_options_t options;
  GPtrArray *engines;          /* of ledger_engine_t */
  GHashTable *by_id;           /* the same */
  GHashTable *ended_processes; /* "INSTANCE/INCARNATION" -> int64_t since */
  bool active;
  uint64_t next_op;
};

ledger_engine_t *ledger_find_engine (const ledger_t *ledger, const char *id);
int64_t ledger_now (const ledger_t *ledger);

/* Commit ROW (taken over) as the new row of ENGINE.  PAIR: its row must not
   have changed either; NULL: none.  */
void ledger_commit (ledger_t *ledger, ledger_engine_t *engine,
                    ledger_row_t *row, const ledger_engine_t *pair,
                    bool reserves, kwf_effects_t *effects);

/* Reserve and send an order.  */
void ledger_start_order (ledger_t *ledger, ledger_engine_t *engine,
                         order_kind_t kind, const ledger_item_t *what,
                         int64_t mb, const ledger_engine_t *pair,
                         kwf_effects_t *effects);

/* Another engine that certainly has WHAT; NULL: none.  */
const ledger_engine_t *ledger_find_other_copy (const ledger_t *ledger,
                                               const ledger_engine_t *engine,
                                               const ledger_item_t *what);

/* Whether an unload of WHAT on ENGINE is allowed now; *PAIR is the engine
   with the other copy, or with the version that takes its place, if one is
   needed.  */
bool ledger_check_unload (const ledger_t *ledger,
                          const ledger_engine_t *engine,
                          const ledger_item_t *what,
                          const ledger_engine_t **pair);

/* ledger-recovery.c: repair what orders, deciders and engines left behind.  */
void ledger_recover (ledger_t *ledger, ledger_engine_t *engine,
                     kwf_effects_t *effects);
/* Remember when processes were first known to be gone.  */
void ledger_note_ended_processes (ledger_t *ledger);

/* ledger-report.c */
bool ledger_report_lists (const ledger_report_t *report,
                          const ledger_item_t *what);
void ledger_report_update (ledger_report_t *report,
                           const kwf_report_event_t *event, int64_t now_ns);
void ledger_report_clear (ledger_report_t *report);
/* Keep the list of models that reports show and the row lacks.  */
void ledger_note_unlisted (ledger_engine_t *engine, int64_t now_ns);

#endif
