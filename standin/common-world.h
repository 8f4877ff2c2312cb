/* common-world.h - a fleet of real cores on a fake clock, with small fakes
   of the table, the backend servers, the links and the callers.

   Everything is scheduled on one queue and all randomness comes from one
   seed, so that a run can be repeated.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_WORLD_H
#define KNAPWEEDFORK_STANDIN_COMMON_WORLD_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/core.h>

#include "../lib/policy.h"
#include "common-heap.h"

#define MS KWF_NS_PER_MS
#define WORLD_MAX_NODES 16

typedef struct world world_t;
typedef struct world_memory world_memory_t;

/* One transaction table.  */
typedef struct
{
  GHashTable *rows; /* key to row */
  int64_t revision;
  bool outage;       /* nothing is answered */
  int lose_answers;  /* this many answers get lost after the commit */
  int64_t delay_ns;  /* of an answer */
  const char *block; /* writes of keys with this prefix fail; NULL: none */
  uint64_t n_transactions;
} world_table_t;

/* An entry instance.  */
typedef struct
{
  world_t *world;
  int index;
  char *name;
  kwf_core_t *core;
  bool up;
  bool exited;
  int64_t exited_ns;
  int64_t timer_ns;
  int64_t paused_until_ns; /* events wait until then */
  uint64_t incarnation;
  char *address;
  const char *data_centre; /* NULL: "a" */
} world_node_t;

typedef struct sim_engine sim_engine_t;

typedef struct
{
  world_t *world;
  sim_engine_t *sim; /* NULL: a token each token_ns, at any load */
  char *id;
  char *service; /* NULL for engines */
  char *address;
  char *data_centre;
  GPtrArray *models;      /* names */
  world_memory_t *memory; /* common-copies.h; NULL: it takes no orders */
  bool up;
  bool leaving;
  bool resume;
  uint64_t incarnation;
  int64_t token_ns;    /* between tokens; of a whole service call */
  int64_t restart_ns;  /* after a crash */
  int break_after;     /* tokens after which the connection breaks; 0: no */
  int status;          /* HTTP status of each answer; 0: the usual one */
  int fail_every;      /* of each so many calls one fails; 0: none */
  int batch;           /* calls that run at once; 0: any */
  bool batch_hidden;   /* not in its reports */
  GQueue waiting;      /* flights behind the batch */
  bool stall;          /* accepts, never answers */
  bool die_before_run; /* service: breaks before the run */
  bool die_after_run;  /* service: breaks after the run */
  int crashes;
  int starts;
  int starts_before; /* of them, before the last change of its options */
  int64_t last_start_ns;
  int running;
} world_engine_t;

/* A caller's request and what came back.  */
typedef struct
{
  char *name;
  char *organisation; /* NULL: no key */
  char *body;         /* copies have the same */
  kwf_handle_t handle;
  world_node_t *node;
  uint64_t incarnation; /* of the instance when it was sent */
  int64_t sent_ns;
  int64_t first_ns; /* first token; 0: none */
  int64_t ended_ns;
  bool stream;
  bool gone;
  bool done;  /* answered, or ended with an error event */
  char *code; /* "ok" or the error code */
  int status; /* of a reply */
  kwf_run_t run;
  int64_t retry_after_ms;
  double limit_rate;
  const char *message;
  char *text;        /* body of a reply */
  int n_tokens;      /* asked for */
  int prefix_tokens; /* of the prompt, that a prefix cache can hold */
  GArray *tokens;    /* numbers of the tokens that arrived, in order */
  bool foreign;      /* a token of another request arrived */
  int answers;       /* final answers; more than one is a fault */
  int starts;        /* attempts that reached a server */
  int runs;          /* runs on a service */
  int cancels;
  void *data;                /* of the experiment */
  kwf_request_event_t event; /* strings live as long as the call */
} world_request_t;

/* An attempt on a server.  */
typedef struct
{
  world_t *world;
  world_node_t *node;
  world_engine_t *engine;
  world_request_t *request;
  kwf_handle_t handle;
  uint64_t incarnation;      /* of the engine */
  uint64_t node_incarnation; /* its connection ends with that process */
  int64_t resume_from;
  int priority;
  int made;      /* tokens made, from resume_from on */
  int arrived;   /* of them, reported to the core */
  int forwarded; /* of them, passed on to the caller */
  bool ended;    /* the server is done with it */
  bool cancelled;
} world_attempt_t;

struct world
{
  int64_t now_ns;
  kwf_core_options_t options; /* of instances that start from now on */
  uint64_t seed;
  bool seed_fixed; /* by the command line */
  heap_t queue;    /* of what is to come */
  world_table_t table;
  world_node_t nodes[WORLD_MAX_NODES];
  int n_nodes;
  GPtrArray *engines;  /* of world_engine_t */
  GPtrArray *requests; /* of world_request_t */
  GHashTable *requests_by_name;
  GHashTable *requests_by_handle;
  GHashTable *attempts; /* handle and node to world_attempt_t */
  GHashTable *links;    /* set "A B" of links that are up */
  GHashTable *runs;     /* idempotency key to number of runs */
  GPtrArray *blocks;    /* memory freed with the world */
  GPtrArray *scratch;   /* blocks of world_scratch, and effects: messages
                           point into them */
  GPtrArray *old_scratch;
  int64_t scratch_ns; /* scratch is kept so long at least; 0: until the end */
  int64_t scratch_since_ns;
  GHashTable *logs;     /* event number to count */
  GString *lists_plans; /* TOML */
  GString *lists_uses;
  char *reply_body;
  int64_t lists_version; /* that verb_start applied */
  int reply_status;
  kwf_placement_options_t placement; /* of all instances */
  kwf_handle_t next_handle;
  int64_t jitter_ns;
  int64_t link_ns;          /* delay of messages between instances */
  int64_t centre_delay_ns;  /* more delay between data centres, one way */
  bool events_after_cancel; /* servers go on to report after a cancel */
  bool links_cut;
  bool verbose;
  policy_t *policy; /* of the cores; NULL: their own */
  void (*ended) (world_t *world, world_request_t *request); /* NULL: nothing */
  void *data; /* of the experiment */
  int n_attempts;
  int n_steps; /* of all nodes */
  int n_exits;
};

typedef void (*world_fn_t) (world_t *world, void *data);

/* Options of an instance with the settings' defaults; its name, addresses,
   clock and random source are not set.  */
kwf_core_options_t world_core_options (void);

world_t *world_new (uint64_t seed);
void world_free (world_t *world);
void world_at (world_t *world, int64_t time_ns, world_fn_t fn, void *data);
void world_run (world_t *world, int64_t until_ns);
uint64_t world_random (world_t *world, uint64_t below);
/* Memory that lives as long as WORLD.  */
void *world_alloc (world_t *world, size_t size);
char *world_text (world_t *world, const char *text);
/* Memory for what is under way; see scratch_ns.  */
void *world_scratch (world_t *world, size_t size);
char *world_scratch_text (world_t *world, const char *text);

/* Nodes.  */
void world_node_start (world_t *world, int index);
void world_node_kill (world_t *world, int index);
void world_node_step (world_node_t *node, const kwf_event_t *event);

/* Links between nodes.  */
void world_node_link (world_node_t *node, const char *instance);
void world_node_unlink (world_node_t *node);
void world_node_send (world_node_t *node, const char *instance,
                      const kwf_message_t *message);

void world_key_digest (const char *organisation, char digest[65]);

/* Calls.  */
world_request_t *world_request_new (world_t *world, const char *name,
                                    int index);
void world_request_send (world_t *world, void *request);
/* The value of a metric without labels; 0: it is not there.  */
int64_t world_metric (const world_node_t *node, const char *name);

/* A command at the operator port, edited from the version in force there.  */
void world_operator_command (world_t *world, int index,
                             kwf_operator_command_t command,
                             const char *organisation, const char *digest);

/* Servers.  */
world_engine_t *world_engine_new (world_t *world, const char *id,
                                  const char *service,
                                  const char *data_centre);
world_engine_t *world_engine (world_t *world, const char *id);
void world_engine_probe (world_node_t *node, const char *id);
void world_engine_start (world_node_t *node, const kwf_attempt_start_t *start);
void world_engine_cancel (world_node_t *node, kwf_handle_t handle);
void world_engine_forward (world_node_t *node, kwf_handle_t request_handle,
                           kwf_handle_t handle, bool last);
void world_engine_crash (world_engine_t *engine, int64_t restart_ns);
void world_send_members (world_node_t *node);

/* Attempts on a server: tokens were made, the answer is complete, it
   failed.  */
void world_attempt_data (world_attempt_t *attempt);
void world_attempt_finish (world_attempt_t *attempt, int status,
                           const char *body);
void world_attempt_fail (world_attempt_t *attempt, kwf_failure_t failure);
/* The server is done with it.  */
void world_attempt_release (world_attempt_t *attempt);

/* Table.  */
void world_table_init (world_table_t *table);
void world_table_clear (world_table_t *table);
void world_table_call (world_node_t *node, kwf_handle_t op, int64_t timeout_ns,
                       const kwf_txn_t *txn);

#endif
