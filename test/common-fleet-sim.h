/* common-fleet-sim.h - simulates a fleet on a fake clock.

   Runs the real session, shares and claims of up to 8 instances against a fake
   table (delays, losses before and after the commit, duplicates) and fake
   links (delays, cuts).  All random choices follow from the seed.  */

#ifndef KNAPWEEDFORK_COMMON_FLEET_SIM_H
#define KNAPWEEDFORK_COMMON_FLEET_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>

#include "lib/claim.h"
#include "lib/session.h"
#include "lib/share.h"
#include "../standin/common-heap.h"

#ifndef FLEET_SIM_INSTANCES
#define FLEET_SIM_INSTANCES 8
#endif
#define FLEET_SIM_MS KWF_NS_PER_MS
#define FLEET_SIM_S KWF_NS_PER_S

typedef struct fleet_sim fleet_sim_t;

typedef struct
{
  kwf_clock_t base;
  const fleet_sim_t *sim;
  int index; /* of the instance */
} fleet_sim_clock_t;

typedef struct
{
  kwf_random_t base;
  uint64_t state;
} fleet_sim_random_t;

typedef struct
{
  char name[16];
  uint64_t incarnation;
  bool alive;
  bool paused;
  bool apart; /* the table gets none of its transactions, and it gets no
                 answers */
  session_t *session;
  shares_t *shares;
  claims_t *claims;
  kwf_effects_t *effects;
  fleet_sim_clock_t clock;
  fleet_sim_random_t random;
  GPtrArray *inbox;   /* events that arrived while it is paused */
  int64_t tick_ns;    /* time of the scheduled tick */
  int64_t paused_ns;  /* when the pause began */
  int64_t paused_sum; /* total time of pauses, for FLEET_SIM_NO_LEASE_CLOCK */
  uint64_t next_op;   /* for fleet_sim_send_write */
} fleet_sim_instance_t;

/* Mechanisms that can be disabled, to show that the checks find the faults
   that they prevent.  */
typedef enum
{
  FLEET_SIM_ALL_ENABLED,
  FLEET_SIM_NO_LEASE_CLOCK,  /* the clock does not advance while the process
                                is paused */
  FLEET_SIM_NO_EPOCH_WAIT,   /* every row says that the instance left the old
                                epoch */
  FLEET_SIM_NO_SUBTRACT,     /* the sender of a share grant keeps what it
                                sent */
  FLEET_SIM_NO_CLAIM_FIRST,  /* the explorer sends a request before the
                                claim's verdict */
  FLEET_SIM_NO_RECLAIM_WAIT, /* reclaims at once after an outage */
  FLEET_SIM_NO_KEEP, /* rows of a committed write are known only after a
                        renewal */
  FLEET_SIM_MECHANISMS
} fleet_sim_disabled_t;

struct fleet_sim
{
  int64_t now_ns;
  uint64_t state; /* of the random number generator */
  int n_instances;
  fleet_sim_instance_t instances[FLEET_SIM_INSTANCES];
  fleet_sim_disabled_t without;

  /* The table.  */
  GHashTable *table; /* key -> kwf_row_t */
  int64_t revision;
  bool outage;
  bool refuse; /* a silent table refuses connections */
  bool push;   /* the table pushes changed rows, shares are steady, and the
                  instances lie in three data centres */
  double overdraft; /* as the option of the same name */
  int64_t table_min_ns;
  int64_t table_max_ns;
  double lose_before; /* these four are probabilities */
  double lose_after;
  double duplicate;
  double late; /* a request arrives up to 4 s later */
  int64_t writes;
  int64_t reads;

  /* Links.  */
  bool wanted[FLEET_SIM_INSTANCES][FLEET_SIM_INSTANCES];
  bool up[FLEET_SIM_INSTANCES][FLEET_SIM_INSTANCES];
  bool cut[FLEET_SIM_INSTANCES][FLEET_SIM_INSTANCES];
  uint64_t generation[FLEET_SIM_INSTANCES][FLEET_SIM_INSTANCES];
  int64_t last_ns[FLEET_SIM_INSTANCES][FLEET_SIM_INSTANCES];
  int downs[FLEET_SIM_INSTANCES]
           [FLEET_SIM_INSTANCES]; /* PEER_DOWN events not yet delivered */
  int64_t link_min_ns;
  int64_t link_max_ns;
  int64_t messages;

  heap_t events;     /* of fleet_sim_item_t */
  GPtrArray *blocks; /* memory of the simulation */
  char *free_at;
  size_t free_size;

  /* Called after each step of an instance, before the effects of the step are
     run.  */
  void (*after) (fleet_sim_t *sim, int index,
                 const session_changes_t *changes);
  /* Called with the replies to transactions of fleet_sim_send_write.  */
  void (*written) (fleet_sim_t *sim, int index, kwf_handle_t op,
                   const kwf_store_reply_t *reply);
  /* Called after each commit.  */
  void (*committed) (fleet_sim_t *sim, const kwf_row_t *row);
  /* Called for fleet_sim_schedule_call, and with number 0 for a process that
     has just been resumed.  */
  void (*call) (fleet_sim_t *sim, int index, int64_t number);
  void *data;
  FILE *trace; /* NULL: no trace */
};

fleet_sim_t *fleet_sim_new (uint64_t seed, int n_instances);
void fleet_sim_free (fleet_sim_t *sim);

/* Random number from 0 to N - 1, and from 0 to 1.  */
uint64_t fleet_sim_random_below (fleet_sim_t *sim, uint64_t n);
double fleet_sim_random_unit (fleet_sim_t *sim);

void fleet_sim_start (fleet_sim_t *sim, int index);
void fleet_sim_crash (fleet_sim_t *sim, int index);
void fleet_sim_pause (fleet_sim_t *sim, int index);
void fleet_sim_resume (fleet_sim_t *sim, int index);
/* CUT: closes the link between A and B and lets no attempt to open it succeed.
   False: attempts succeed again.  */
void fleet_sim_set_cut (fleet_sim_t *sim, int a, int b, bool cut);

/* Calls the hook "call" at a time.  INDEX -1 stands for the simulation
   itself.  */
void fleet_sim_schedule_call (fleet_sim_t *sim, int64_t at_ns, int index,
                              int64_t number);

/* Sets the rates and bursts of the row list/plans among ROWS at INSTANCE.  */
void fleet_sim_apply_lists (const fleet_sim_instance_t *instance,
                            const kwf_row_t *rows, size_t n_rows);

/* Writes a row from an instance if its version is VERSION (-1: any), as a
   transaction of the owner OP_CONFIG.  The hook "written" gets the answer.  */
kwf_handle_t fleet_sim_send_write (fleet_sim_t *sim, int index,
                                   const char *key, int64_t version,
                                   const char *value);

/* Where the table pushes: sends ROW to all instances, or all rows to the
   instance INDEX.  */
void fleet_sim_push_row (fleet_sim_t *sim, const kwf_row_t *row);
void fleet_sim_push_table (fleet_sim_t *sim, int index);

/* Changes a row at once, without a transaction.  */
void fleet_sim_put_row (fleet_sim_t *sim, const char *key, const char *value);
const kwf_row_t *fleet_sim_get_row (const fleet_sim_t *sim, const char *key);

/* Runs the effects that have collected at an instance, those of a step or
   those that a test made outside a step, and schedules its next tick.  */
void fleet_sim_run_effects (fleet_sim_t *sim, int index);

/* Run one event, or all up to a time.  False: there is no event.  */
bool fleet_sim_step (fleet_sim_t *sim);
void fleet_sim_run (fleet_sim_t *sim, int64_t until_ns);

void fleet_sim_log (const fleet_sim_t *sim, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Functions of the fake table that tests also use without instances.  */
void *fleet_sim_alloc (fleet_sim_t *sim, size_t size);
char *fleet_sim_strdup (fleet_sim_t *sim, const char *text);
kwf_store_reply_t fleet_sim_commit (fleet_sim_t *sim, const kwf_txn_t *txn);

#endif
