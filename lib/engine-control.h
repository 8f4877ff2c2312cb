/* engine-control.h - what the placement leader knows of one model engine, and
   the orders that it sends to it.  For engines that check the number of orders
   that they have accepted (lib/placement-direct.h).

   Each order carries the number of orders that the engine had accepted before
   it.  The engine refuses an order with another number, so it accepts at most
   one of several orders that were made from the same state.  An order whose
   reply was lost and that arrives late is therefore refused, and needs no
   record in the table.  At most one order is in flight to each engine.  */

#ifndef KNAPWEEDFORK_ENGINE_CONTROL_H
#define KNAPWEEDFORK_ENGINE_CONTROL_H

#include "backend.h"
#include "ledger-row.h"

typedef enum
{
  ENGINE_MODEL_RESIDENT,
  ENGINE_MODEL_LOADING,
  ENGINE_MODEL_UNLOADING
} engine_model_state_t;

typedef struct
{
  engine_model_state_t state;
  int64_t since_ns;
  GHashTable *adapters; /* name -> int64_t, time from which it can be used, or
                           when it was first listed; may be in the future */
  /* Names of adapters whose unload waits until no request uses them.  Each
     still occupies an adapter slot.  */
  GHashTable *unloading_adapters;
} engine_model_t;

/* A load order without a reply, which may still be carried out.  */
typedef struct
{
  char *model;
  int64_t sent_ns;
  uint64_t incarnation; /* of the engine when the order was sent */
} unanswered_load_t;

typedef struct
{
  char *id;
  char *address;
  char *service; /* that the engine belongs to: NAME of its server_t */
  uint64_t incarnation;
  int64_t revision;   /* of the last membership entry that was applied */
  int64_t n_accepted; /* number of orders that the engine has accepted, as far
                         as known */
  int64_t confirmed_ns;      /* when a reply or load report last confirmed the
                                engine's models; 0: not yet */
  GHashTable *models;        /* name -> engine_model_t */
  GHashTable *local_weights; /* names of models loadable without the weight
                                store */
  uint64_t region;           /* bit of its region */
  bool usable; /* listed and not leaving, and its address did not refuse the
                  last connection */
  bool scarce; /* it names a limit so low that it counts as no copy of its
                  models (lib/limit.h) */
  /* The order in flight.  */
  char *order_id; /* NULL: none */
  order_kind_t kind;
  char *model;
  char *adapter; /* "" for the model itself */
  int64_t sent_ns;
  int64_t expected_ns; /* time that the engine should need for it */
  /* The load or unload of a model that the engine accepted and has not
     completed.  */
  char *in_progress_model; /* the model; NULL: none */
  order_kind_t in_progress_kind;
  int64_t in_progress_since_ns; /* when it was accepted */
  int64_t next_check_ns;        /* when to request a report on its progress */
  /* Name of the model for which other models are being unloaded; the leader
     orders no load of another model meanwhile.  NULL: none.  */
  char *evicting_for;
  int64_t evicting_since_ns;
  GArray *unanswered_loads; /* of unanswered_load_t */
  bool needs_report;        /* a load report is needed before the next order */
  int64_t not_before_ns;    /* no order or report request before this time */
} engine_control_t;

typedef struct
{
  int64_t now_ns;
  int64_t token;       /* fencing token of the leader */
  const char *holder;  /* name of the leader's instance */
  int64_t until_ns;    /* end of the leader's lease; 0: it has no end */
  int64_t expected_ns; /* time that the engine should need for the next
                          order */
  kwf_effects_t *effects;
} engine_control_context_t;

engine_control_t *engine_control_new (const server_t *server);
void engine_control_free (void *engine);

/* Update ENGINE from its entry MEMBER in the membership list.  An entry with
   the same revision, or one that may be older than the last reply or report,
   doesn't change the list of models.  */
void engine_control_apply_member (engine_control_t *engine,
                                  const kwf_member_t *member, int64_t now_ns);

/* Update ENGINE from a load report.  Ignored if it is invalid, if an order is
   in flight, or if it is from another process of the engine.  */
void engine_control_apply_report (engine_control_t *engine,
                                  const kwf_report_event_t *report,
                                  int64_t now_ns);

typedef enum
{
  ENGINE_CONTROL_NONE, /* no change, or a failure whose effect isn't known */
  ENGINE_CONTROL_ADAPTER_LOAD, /* accepted; it can be used a moment later */
  ENGINE_CONTROL_ADAPTER_UNLOAD,
  ENGINE_CONTROL_MODEL_LOAD,
  ENGINE_CONTROL_MODEL_UNLOAD,
  ENGINE_CONTROL_STALE_TOKEN /* refused: the engine has seen a higher fencing
                                token */
} engine_control_result_t;

/* Handle the reply to the order in flight and return which kind of order was
   accepted.  The model and adapter of the order stay in ENGINE until the next
   order.  */
engine_control_result_t
engine_control_handle_reply (engine_control_t *engine,
                             const kwf_order_event_t *event, int64_t now_ns);

/* Whether an order may be sent.  While an engine loads or unloads a model it
   refuses all orders, also those for adapters.  */
bool engine_control_is_ready (const engine_control_t *engine, int64_t now_ns);

/* Send an order.  It requires engine_control_is_ready.  */
void engine_control_send_order (engine_control_t *engine, order_kind_t kind,
                                const char *model, const char *adapter,
                                const engine_control_context_t *context);

/* Whether a load report is needed and due.  */
bool engine_control_report_is_due (const engine_control_t *engine,
                                   int64_t now_ns);
/* Request a load report if it is due, with the effect KWF_FX_PROBE.  Return
   whether it was requested.  */
bool engine_control_request_report (engine_control_t *engine,
                                    const engine_control_context_t *context);

/* Return the state of MODEL on the engine, also while it is loaded or
   unloaded; NULL: none.  */
engine_model_t *engine_control_find_model (const engine_control_t *engine,
                                           const char *model);
/* Whether the engine has ADAPTER, or has accepted the order to load it.  False
   once an unload was accepted, even if it still waits for requests.  */
bool engine_control_has_adapter (const engine_control_t *engine,
                                 const char *model, const char *adapter);
/* Number of adapter slots in use, also by adapters that are being loaded or
   unloaded.  */
int engine_control_n_adapters (const engine_control_t *engine);

/* Whether the engine has the weights of MODEL in memory or on disk, so that it
   can load MODEL without the weight store.  */
bool engine_control_has_local_weights (const engine_control_t *engine,
                                       const char *model);

/* Record that models are being unloaded to make room for MODEL; NULL: for no
   model any more.  */
void engine_control_set_evicting_for (engine_control_t *engine,
                                      const char *model, int64_t now_ns);

/* Return the memory in MB of the models on the engine, with sizes from LISTS.
   Includes loads that were recorded as unanswered before the engine was
   restarted: the new process counts its orders from 0, so such an order may
   match its count and still be accepted.  */
int64_t engine_control_used_mb (const engine_control_t *engine,
                                const kwf_lists_t *lists, int64_t now_ns);

#endif
