/* common-world.h - a fleet of real cores (kwf_core_step) on a fake clock, with
   simple fakes of the platform's table, the backend servers, the links between
   instances and the callers.

   Everything is scheduled on one queue and all randomness comes from one seed,
   so that a run can be repeated.  */

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

/* The platform's table, with the faults that it can show.  */
typedef struct
{
  GHashTable *rows; /* key to row */
  int64_t revision;
  bool outage;       /* no transaction gets an answer */
  int lose_answers;  /* number of commits whose answer is lost */
  int64_t delay_ns;  /* of an answer */
  const char *block; /* transactions that write a key with this prefix fail;
                        NULL: none */
  uint64_t n_transactions;
} world_table_t;

/* A node of the world: one instance of the fleet, with its core.  */
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
  int64_t paused_until_ns; /* its events are delivered only from this time
                              on */
  uint64_t incarnation;
  char *address;
  const char *data_centre; /* NULL: "a" */
} world_node_t;

typedef struct sim_engine sim_engine_t;

typedef struct
{
  world_t *world;
  sim_engine_t *sim; /* batching model of common-sim.h; NULL: each request gets
                        a token every token_ns */
  char *id;
  char *service; /* name of the plain service; NULL: a model engine */
  char *address;
  char *data_centre;
  GPtrArray *models;      /* names */
  world_memory_t *memory; /* common-world-memory.h; NULL: the engine gets no
                             orders */
  bool up;
  bool leaving;
  bool resume;
  uint64_t incarnation;
  int64_t token_ns;    /* time between tokens; of a service: time of a whole
                          request */
  int64_t restart_ns;  /* time from a crash to the restart */
  int break_after;     /* the connection breaks after this number of tokens; 0:
                          never */
  int status;          /* HTTP status of each answer; 0: the usual one */
  int fail_every;      /* one in this number of attempts fails with status 500;
                          0: none */
  int batch;           /* attempts that run at the same time; 0: no limit */
  bool batch_hidden;   /* load reports show no batch size */
  GQueue waiting;      /* of world_attempt_t, waiting for a place in the
                          batch */
  bool stall;          /* accepts attempts, never answers them */
  bool die_before_run; /* service: the process crashes before it runs the
                          request */
  bool die_after_run;  /* service: the process crashes after it ran the
                          request */
  int crashes;
  int starts;
  int starts_before; /* starts when its options were last set */
  int64_t last_start_ns;
  int running;
} world_engine_t;

/* A request of a caller and its answer.  */
typedef struct
{
  char *name;
  char *organisation; /* NULL: the request has no key */
  char *body;         /* requests with the same body have the same
                         fingerprint */
  kwf_handle_t handle;
  world_node_t *node;
  uint64_t incarnation; /* of the instance when the request was sent */
  int64_t sent_ns;
  int64_t first_ns; /* time of the first token; 0: none yet */
  int64_t ended_ns;
  bool stream;
  bool caller_gone;
  bool done;  /* answered, or ended with an error event */
  char *code; /* "ok" or the error code */
  int status; /* HTTP status of a reply */
  kwf_run_t run;
  int64_t retry_after_ms;
  double limit_rate;
  const char *message;
  char *text;        /* body of a reply */
  int n_tokens;      /* tokens that the request asks for */
  int prefix_tokens; /* length of the part of the prompt that a prefix cache
                        can hold */
  GArray *tokens;    /* numbers of the tokens that arrived, in order */
  bool foreign;      /* a token of another request or of a cancelled attempt
                        arrived */
  int answers;       /* final answers; more than one is a fault */
  int starts;        /* attempts that a backend server began */
  int runs;          /* times that a service ran it */
  int cancels;
  void *data;                /* of the experiment */
  kwf_request_event_t event; /* its strings live as long as the request */
} world_request_t;

/* An attempt of a request at a backend server.  */
typedef struct
{
  world_t *world;
  world_node_t *node;
  world_engine_t *engine;
  world_request_t *request;
  kwf_handle_t handle;
  uint64_t incarnation;      /* of the server's process at the start */
  uint64_t node_incarnation; /* of the instance at the start; the attempt's
                                connection ends with that process */
  int64_t resume_from;
  int priority;
  int made;      /* tokens generated, from resume_from on */
  int arrived;   /* of these, reported to the core */
  int forwarded; /* of these, passed on to the caller */
  bool ended;    /* the server has finished it or dropped it */
  bool cancelled;
} world_attempt_t;

struct world
{
  int64_t now_ns;
  kwf_core_options_t options; /* of instances that are started from now on */
  uint64_t seed;
  bool seed_fixed; /* set by the command line; "seed" lines have no effect */
  heap_t queue;    /* tasks that are due later */
  world_table_t table;
  world_node_t nodes[WORLD_MAX_NODES];
  int n_nodes;
  GPtrArray *engines;  /* backend servers, of world_engine_t */
  GPtrArray *requests; /* of world_request_t */
  GHashTable *requests_by_name;
  GHashTable *requests_by_handle;
  GHashTable *attempts; /* handle and node to world_attempt_t */
  GHashTable *links;    /* set of "A B" for links that are up */
  GHashTable *runs;     /* idempotency key to number of runs */
  GPtrArray *blocks;    /* memory that is freed with the world */
  GPtrArray *scratch;   /* of scratch_item_t: blocks of world_scratch, and
                           effects, into which messages on their way point */
  GPtrArray *old_scratch;
  int64_t scratch_ns; /* scratch memory is kept at least this long; 0: until
                         the end */
  int64_t scratch_since_ns;
  GHashTable *logs;     /* event number to count */
  GString *lists_plans; /* the lists, in TOML */
  GString *lists_uses;
  char *reply_body;
  int64_t lists_version; /* version that verb_start applied */
  int reply_status;
  kwf_placement_options_t placement; /* of all instances */
  kwf_handle_t next_handle;
  int64_t jitter_ns;
  int64_t link_ns;          /* delay of a message between instances */
  int64_t centre_delay_ns;  /* additional delay between data centres, one
                               way */
  bool events_after_cancel; /* servers go on reporting events of an attempt
                               that was cancelled */
  bool links_cut;
  bool verbose;
  policy_t *policy; /* of all cores; NULL: the cores' own */
  void (*ended) (world_t *world,
                 world_request_t *request); /* on an answer; or NULL */
  void *data;                               /* of the experiment */
  int n_attempts;
  int n_steps; /* kwf_core_step calls, all nodes */
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
/* Memory that is freed with WORLD.  */
void *world_alloc (world_t *world, size_t size);
char *world_text (world_t *world, const char *text);
/* Memory for what is under way, such as an event on its way; see
   scratch_ns.  */
void *world_scratch (world_t *world, size_t size);
char *world_scratch_text (world_t *world, const char *text);

/* Instances.  */
void world_node_start (world_t *world, int index);
void world_node_kill (world_t *world, int index);
void world_node_step (world_node_t *node, const kwf_event_t *event);

/* Links between instances.  */
void world_node_link (world_node_t *node, const char *instance);
void world_node_unlink (world_node_t *node);
void world_node_send (world_node_t *node, const char *instance,
                      const kwf_message_t *message);

void world_key_digest (const char *organisation, char digest[65]);

/* Requests of callers.  */
world_request_t *world_request_new (world_t *world, const char *name,
                                    int index);
void world_request_send (world_t *world, void *request);
/* The value of a metric without labels; 0 if the metric does not exist.  */
int64_t world_metric (const world_node_t *node, const char *name);

/* Send COMMAND to the operator port of the instance INDEX, with the lists'
   version that is in force there.  */
void world_operator_command (world_t *world, int index,
                             kwf_operator_command_t command,
                             const char *organisation, const char *digest);

/* Backend servers: model engines, and plain services (SERVICE not NULL).  */
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

/* Report to the instance that tokens were generated, that the answer is
   complete, or that the attempt failed.  */
void world_attempt_data (world_attempt_t *attempt);
void world_attempt_finish (world_attempt_t *attempt, int status,
                           const char *body);
void world_attempt_fail (world_attempt_t *attempt, kwf_failure_t failure);
/* Mark the attempt as ended and free its place at the server.  */
void world_attempt_release (world_attempt_t *attempt);

/* The platform's table.  */
void world_table_init (world_table_t *table);
void world_table_free (world_table_t *table);
void world_table_call (world_node_t *node, kwf_handle_t op, int64_t timeout_ns,
                       const kwf_txn_t *txn);

#endif
