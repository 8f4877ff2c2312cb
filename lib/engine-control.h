/* desk.h - one model engine as the instance that gives orders sees it, for
   engines that check how many orders they have accepted.

   Every order names that number, so an engine carries out at most one of
   the orders that were made from the same state.  An order that was not
   answered and arrives later is therefore refused, and needs no record in
   the table.  At most one order is under way at each engine.  */

#ifndef KNAPWEEDFORK_DESK_H
#define KNAPWEEDFORK_DESK_H

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
  GHashTable *adapters; /* name to int64_t, when it is there */
  /* Adapters whose unload waits for the requests that use them.  Each still
     takes a place.  */
  GHashTable *leaving;
} engine_model_t;

/* A load of a model that was not answered and may still be carried out.  */
typedef struct
{
  char *model;
  int64_t sent_ns;
  uint64_t incarnation; /* of the engine then */
} unanswered_load_t;

typedef struct
{
  char *id;
  char *address;
  char *service;
  uint64_t incarnation;
  int64_t revision;   /* of the entry that was looked at last */
  int64_t orders;     /* accepted by the engine, as far as known */
  int64_t known_ns;   /* when the engine itself told last what it holds, by
                         an answer or a report; 0: not yet */
  GHashTable *models; /* name to engine_model_t */
  GHashTable *near;   /* names of models that it loads without the store */
  bool usable;        /* listed and not leaving */
  /* The order under way.  */
  char *order_id; /* NULL: none */
  order_kind_t kind;
  char *model;
  char *adapter; /* "" for the model itself */
  int64_t sent_ns;
  int64_t expected_ns; /* time that it should take */
  /* The load or unload of a model that goes on.  */
  char *carried; /* the model; NULL: none */
  order_kind_t carried_kind;
  int64_t carried_ns;     /* since then */
  int64_t carry_again_ns; /* when to ask whether it is done */
  /* Model for which room is being made; NULL: none.  */
  char *promised;
  int64_t promised_ns;
  GArray *late;     /* of unanswered_load_t */
  bool doubtful;    /* a load report is needed before the next order */
  int64_t again_ns; /* no order or question before */
} engine_control_t;

typedef struct
{
  int64_t now_ns;
  int64_t token;       /* fencing token */
  const char *holder;  /* instance that has it */
  int64_t until_ns;    /* the token may be used until then; 0: no end */
  int64_t expected_ns; /* time that the next order should take */
  kwf_effects_t *effects;
} engine_control_context_t;

engine_control_t *engine_control_new (const server_t *server);
void engine_control_free (void *desk);

/* Take what the membership list says of the engine.  */
void engine_control_apply_member (engine_control_t *desk,
                                  const kwf_member_t *member, int64_t now_ns);

/* Take a load report that was asked for.  */
void engine_control_apply_report (engine_control_t *desk,
                                  const kwf_report_event_t *report,
                                  int64_t now_ns);

typedef enum
{
  ENGINE_CONTROL_NONE,         /* nothing is known to have changed */
  ENGINE_CONTROL_ADAPTER_LOAD, /* the adapter is there after a moment */
  ENGINE_CONTROL_ADAPTER_UNLOAD,
  ENGINE_CONTROL_MODEL_LOAD,
  ENGINE_CONTROL_MODEL_UNLOAD,
  ENGINE_CONTROL_STALE_TOKEN /* a higher token was used */
} engine_control_result_t;

/* Take the answer to the order under way.  MODEL and ADAPTER of the order are
   kept in DESK until the next order.  */
engine_control_result_t
engine_control_handle_reply (engine_control_t *desk,
                             const kwf_order_event_t *event, int64_t now_ns);

/* Whether an order may be given.  An engine refuses every order, also for an
   adapter, while it loads or unloads a model.  */
bool engine_control_is_ready (const engine_control_t *desk, int64_t now_ns);

/* Give an order.  The desk must be free.  */
void engine_control_send_order (engine_control_t *desk, order_kind_t kind,
                                const char *model, const char *adapter,
                                const engine_control_context_t *context);

/* Ask for a load report when one is needed and due; return whether it was
   asked for.  */
bool engine_control_request_report (engine_control_t *desk,
                                    const engine_control_context_t *context);

engine_model_t *engine_control_find_model (const engine_control_t *desk,
                                           const char *model);
bool engine_control_has_adapter (const engine_control_t *desk,
                                 const char *model, const char *adapter);
int engine_control_n_adapters (const engine_control_t *desk);

/* Whether the engine can load MODEL without the weight store.  */
bool engine_control_has_local_weights (const engine_control_t *desk,
                                       const char *model);

/* Make room for MODEL, or for none.  */
void engine_control_set_evicting_for (engine_control_t *desk,
                                      const char *model, int64_t now_ns);

/* Memory that DESK uses for its models, by LISTS, and what a load may use
   that was not answered: after a restart of the engine its number may fit
   again.  */
int64_t engine_control_used_mb (const engine_control_t *desk,
                                const kwf_lists_t *lists, int64_t now_ns);

#endif
