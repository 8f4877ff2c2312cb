/* common-ledger-world.h - simulation of placement leaders, a table and engines
   on a fake clock.

   Several processes run the real ledger, each as the leader.  The engines
   refuse no order for lack of memory; the simulation checks what the orders do
   to their memory.  The seed determines everything.  Names begin with lw, for
   ledger world.  */

#ifndef KNAPWEEDFORK_COMMON_LEDGER_WORLD_H
#define KNAPWEEDFORK_COMMON_LEDGER_WORLD_H

#include <stdio.h>

#include "lib/ledger.h"
#include "../standin/common-heap.h"

#define LW_LEADERS 4
#define LW_PROCESSES 12
#define LW_ENGINES 4
#define LW_MODELS 6
#define LW_COPIES 8
#define LW_IDS 256
#define LW_NS_PER_MS KWF_NS_PER_MS
#define LW_NS_PER_S KWF_NS_PER_S

#define LW_LEASE_NS (2400 * LW_NS_PER_MS)
#define LW_EXPIRY_NS (3000 * LW_NS_PER_MS) /* lease and margin */
#define LW_RENEW_NS (800 * LW_NS_PER_MS)
#define LW_TICK_NS (200 * LW_NS_PER_MS)
#define LW_TIMEOUT_NS (2 * LW_NS_PER_S) /* of transactions and orders */
/* Orders of an ended process arrive within this time.  */
#define LW_ENDED_ORDERS_MS 1500
#define LW_MAX_ORDER_DELAY_NS (5 * LW_NS_PER_S)
#define LW_MAX_REPORT_LAG_NS (1 * LW_NS_PER_S)

/* Mechanisms that can be disabled.  */
typedef enum
{
  LW_ALL,
  LW_NO_LATE_RESERVATION, /* rows forget unanswered load orders */
  LW_NO_FENCE,            /* the engines ignore fences */
  LW_NO_PAIR_CONDITION,   /* conditions on the row of the other engine are
                             ignored */
  LW_NO_SEND_LIMIT,
  LW_MECHANISMS
} lw_disabled_t;

typedef struct lw lw_t;
typedef struct lw_event lw_event_t;

typedef struct
{
  kwf_clock_t base;
  const lw_t *world;
} lw_clock_t;

/* Random numbers for the ledger, from lw_random.  */
typedef struct
{
  kwf_random_t base;
  lw_t *world;
} lw_random_t;

/* One process of a leader.  After it was replaced it may still be paused and
   resume.  */
typedef struct
{
  lw_t *world;
  int leader;
  char name[8];
  uint64_t incarnation;
  bool alive;
  bool paused;
  bool replaced;
  ledger_t *ledger;
  kwf_effects_t *effects;
  int64_t lease_until_ns;
  int64_t renewed_ns; /* commit time of its last renewal, as far as it knows */
  int64_t revision;
  int64_t seen_commit_ns[LW_LEADERS];
  uint64_t seen_incarnation[LW_LEADERS];
  int64_t action_interval; /* it starts an order in one of this many ticks */
} lw_process_t;

/* One copy of a model on an engine.  */
typedef struct
{
  int model; /* -1: unused */
  int64_t ready_ns;
  int64_t gone_ns; /* INT64_MAX: not being unloaded */
} lw_copy_t;

/* An order that an engine has carried out, or will have by DONE_NS.  */
typedef struct
{
  char id[40];
  int64_t done_ns;
} lw_id_t;

typedef struct
{
  char name[8];
  bool fencing;
  uint64_t incarnation;
  int64_t total_mb;
  int64_t most_mb;
  int64_t newest_fence;
  lw_copy_t copies[LW_COPIES];
  lw_id_t ids[LW_IDS];
  int n_ids;
  char *row; /* text of its ledger row */
  int64_t version;
  int64_t commit_ns; /* of the row's last change */
} lw_engine_t;

struct lw
{
  uint64_t seed;
  uint64_t random_state; /* of the generator that lw_random uses */
  int64_t now_ns;
  int64_t end_ns;
  lw_disabled_t disabled;
  FILE *trace;
  char failure[256];
  int n_leaders;
  int n_engines;
  int n_models;
  int64_t sizes[LW_MODELS];
  int64_t lost_ns[LW_MODELS]; /* when a restart of an engine last removed a
                                 copy */
  lw_process_t processes[LW_PROCESSES];
  int n_processes;
  int current[LW_LEADERS];
  int64_t commit_ns[LW_LEADERS];
  uint64_t incarnations[LW_LEADERS];
  lw_engine_t engines[LW_ENGINES];
  int64_t revision;
  int fault_percent; /* sets how many messages have faults */
  lw_clock_t clock;
  lw_random_t random;
  heap_t events; /* of lw_event_t */
  int n_loads;
  int n_unloads;
  int n_late;
};

/* Run the schedule of SEED.  Return whether no check failed; else FAILURE has
   the reason.  TRACE NULL: no trace.  */
bool lw_run (lw_t *world, uint64_t seed, lw_disabled_t disabled, FILE *trace);
void lw_clear (lw_t *world);

/* Shared by the files common-ledger-*.c.  */
typedef struct
{
  char id[40];
  bool load;
  int model;
  int64_t fence;
  int64_t reserved_ns;
} lw_order_t;

typedef enum
{
  EV_TICK,
  EV_RENEW,
  EV_RENEW_ARRIVES,
  EV_RENEW_REPLY,
  EV_TXN_ARRIVES,
  EV_TXN_REPLY,
  EV_ORDER_ARRIVES,
  EV_ORDER_REPLY,
  EV_REPORT,
  EV_PROBE,
  EV_FAULT, /* the end of PROCESS's pause, a restart of ENGINE, or, if both are
               -1, a random fault */
  EV_START
} lw_kind_t;

struct lw_event
{
  int64_t at_ns;
  lw_kind_t kind;
  int process; /* index of a process; of a leader for EV_START */
  int engine;
  int64_t sent_ns;
  /* Transactions.  */
  kwf_handle_t op;
  int64_t versions[LW_ENGINES]; /* conditions; -1: none */
  char *rows[LW_ENGINES];       /* rows written, or rows read */
  kwf_store_outcome_t outcome;
  int64_t revision;
  int64_t commit_ns[LW_LEADERS];
  uint64_t incarnations[LW_LEADERS];
  /* Orders.  */
  lw_order_t order;
  kwf_order_event_t answer;
  uint64_t engine_incarnation;
  bool copy; /* a duplicate: its reply is not sent */
  /* Load reports.  */
  kwf_report_event_t report;
  kwf_resident_t models[LW_COPIES];
};

/* common-ledger-table.c */
extern const char *const lw_model_names[LW_MODELS];
lw_event_t *lw_event_new (lw_kind_t kind, int process);
void lw_event_free (lw_event_t *event);
void lw_push (lw_t *world, lw_event_t *event, int64_t at_ns);
int64_t lw_delay (lw_t *world, int64_t least_ms, int64_t most_ms);
void lw_handle_txn (lw_t *world, lw_event_t *event);
void lw_send_txn (lw_t *world, int process, const kwf_effect_t *effect);
void lw_handle_renewal (lw_t *world, const lw_event_t *event);
void lw_send_order (lw_t *world, int process, const kwf_order_t *order);
void lw_handle_order (lw_t *world, lw_event_t *event);
void lw_send_reports (lw_t *world, int process);

/* common-ledger-world.c */
void lw_pause (lw_t *world, int index, int64_t pause_ns);

/* common-ledger-engine.c */
uint64_t lw_random (lw_t *world, uint64_t n);
bool lw_chance (lw_t *world, int percent);
void lw_log (const lw_t *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void lw_fail (lw_t *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void lw_engine_start (lw_t *world, lw_engine_t *engine);
void lw_engine_order (lw_t *world, lw_engine_t *engine,
                      const lw_order_t *order, kwf_order_event_t *answer);
void lw_engine_restart (lw_t *world, lw_engine_t *engine);
/* Remove the copies whose unload is complete.  */
void lw_engine_drop_unloaded (const lw_t *world, lw_engine_t *engine);

#endif
