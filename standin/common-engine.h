/* common-engine.h - parts of the engine stand-in: resident models and orders
   (common-models.c), sequences generated in batches (common-batch.c).  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_ENGINE_H
#define KNAPWEEDFORK_STANDIN_COMMON_ENGINE_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common-standin.h"

typedef enum
{
  MODEL_LOADING,
  MODEL_LOADED,
  MODEL_UNLOADING /* starts no new sequences */
} model_state_t;

typedef struct
{
  char *name;
  char *version;
  int64_t memory_mb;
  GPtrArray *adapters; /* names */
  model_state_t state;
  int n_sequences;
  char *order; /* id of the order that loads or unloads the model */
} model_t;

typedef struct
{
  struct ev_loop *loop;
  GPtrArray *models;        /* of model_t */
  GHashTable *sizes;        /* "NAME" or "NAME:VERSION" to int64_t, MB */
  GHashTable *order_states; /* order id to the state of the order */
  int64_t memory_total_mb;
  int64_t memory_exceeded; /* loads that were refused because the model does
                              not fit */
  bool fencing;
  int64_t newest_fence;
  GPtrArray *changes; /* of change_t, loads and unloads under way */
  double load_ms;
  double unload_ms;
  double adapter_ms;
  /* With more loads at the same time, each takes proportionally longer.  */
  int64_t full_speed_loads;
  int64_t full_speed_adapters;
  int64_t n_loading;
  int64_t n_adapters_loading;
  int64_t n_loads;
  char *role;
} models_t;

void models_init (models_t *models, struct ev_loop *loop);

/* Make a model resident: "NAME:VERSION:MEMORY_MB[:ADAPTER,ADAPTER]".  False if
   TEXT has another form.  */
bool models_add (models_t *models, const char *text);

/* Declare the memory of a model that may be loaded: "NAME:MEMORY_MB" or
   "NAME:VERSION:MEMORY_MB".  False if TEXT has another form.  */
bool models_add_size (models_t *models, const char *text);

/* The loaded model NAME, or NULL.  */
model_t *models_find (const models_t *models, const char *name);
bool model_has_adapter (const model_t *model, const char *adapter);

int64_t models_used_mb (const models_t *models);

/* The loaded models as in GET /status.  */
json_t *models_json (const models_t *models);

/* The state of all orders, by id.  */
json_t *models_orders_json (const models_t *models);

/* Serve POST /orders.  */
void models_serve_order (models_t *models, server_t *server,
                         const server_request_t *request);

typedef struct batch batch_t;

/* The answer of one request, while it is generated.  */
typedef struct
{
  kwf_handle_t request; /* key in the table SEQUENCES of the batch */
  batch_t *batch;
  model_t *model;
  char *id; /* quoted as a JSON string */
  bool chat;
  bool stream;
  uint64_t seed;
  int64_t prompt_tokens;
  int64_t prefill_tokens; /* prompt tokens to process, less what the prefix
                             cache saves */
  int64_t resume_from;
  int64_t next;  /* index of the next token */
  int64_t total; /* number of tokens of the whole answer */
  bool stops;    /* the answer ends before max_tokens */
  int priority;  /* 0 to 2; 0 is admitted first */
  int64_t deadline_ns;
  ev_timer delay; /* while the adapter is loaded */
  bool delayed;
  bool running;
  bool begun;     /* the head of the answer was sent */
  GList link;     /* in the waiting queue */
  guint position; /* index in RUNNING */
} batch_sequence_t;

struct batch
{
  struct ev_loop *loop;
  server_t *server;
  GHashTable *sequences; /* request handle to batch_sequence_t */
  GPtrArray *running;
  GQueue waiting[3];
  ev_timer step;
  int64_t due_ns;
  bool in_step; /* a step is under way, until due_ns */
  bool stall;
  int64_t max_running;
  int64_t max_waiting;
  int64_t tokens_per_step;
  double token_ms;   /* time of a step with one sequence */
  double slope;      /* part of token_ms that each further sequence adds to a
                        step */
  double prefill_us; /* time per prompt token */
  int64_t break_after_tokens;
  int64_t n_completed;
  int64_t n_cancelled;
  int64_t n_broken;
  int64_t n_expired;
  int64_t n_tokens;
  GString *text; /* scratch buffer */
};

void batch_init (batch_t *batch, struct ev_loop *loop);

/* Number of waiting sequences.  */
int64_t batch_waiting (const batch_t *batch);

/* Add a zeroed sequence for REQUEST.  Fill it and then call batch_start, which
   puts it into the waiting queue after DELAY_MS.  */
batch_sequence_t *batch_add (batch_t *batch, kwf_handle_t request);
void batch_start (batch_t *batch, batch_sequence_t *sequence, double delay_ms);

/* Drop the sequence of REQUEST, if any: its caller has gone.  */
void batch_cancel (batch_t *batch, kwf_handle_t request);

/* Continue after the switch "stall" was turned off.  */
void batch_wake (batch_t *batch);

#endif
