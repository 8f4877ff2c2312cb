/* instance-parts.h - what the files of the instance share.  */

#ifndef KNAPWEEDFORK_NET_INSTANCE_INTERNAL_H
#define KNAPWEEDFORK_NET_INSTANCE_INTERNAL_H

#include <glib.h>

#include <knapweedfork/core.h>

#include "../lib/completion.h"
#include "../lib/logging.h"
#include "client.h"
#include "protocol.h"
#include "routed-stream.h"
#include "instance.h"
#include "peer.h"
#include "server.h"
#include "store.h"
#include "completion-stream.h"
#include "loop-turn.h"

struct instance
{
  struct ev_loop *loop;
  loop_turn_t turn;
  const protocol_t *protocol;
  const kwf_settings_t *settings;
  const kwf_settings_t *access; /* newest: tokens of operators */
  uint64_t incarnation;
  char *pepper;         /* of the digests of keys */
  char *caller_address; /* with the ports in use */
  char *operator_address;
  char *peer_address;
  kwf_core_t *core;
  kwf_effects_t *effects;
  bool stepping; /* effects are being carried out */
  server_t *callers;
  server_t *operators;
  server_t *ready;     /* NULL: none */
  server_t *directory; /* NULL: none */
  client_t *client;
  client_t *control; /* platform calls and load reports */
  store_t *store;
  peers_t *peers;
  GHashTable *requests;      /* callers' handle -> caller_request_t */
  GHashTable *attempts;      /* core's attempt handle -> transfer_t */
  GHashTable *commands;      /* operators' handle -> command_t */
  GHashTable *control_calls; /* data of each probe and order under way, one
                           block for g_free */
  ev_timer tick;
  int64_t tick_at_ns; /* when the tick timer fires; INT64_MAX: not set */
  ev_timer exit_poll;
  int exit_polls_left;
  bool exiting;
};

/* A caller's request as the network side needs it.  */
typedef struct
{
  kwf_handle_t handle;
  kwf_request_kind_t kind;
  char *id;
  completion_t call; /* COMPLETION */
  char *service;     /* SERVICE */
  char *target;      /* path and query for the backend server */
  GArray *headers;   /* of header_t, for the backend server; strings live in
                        the server's request */
  bool idempotent;
  bool answer_begun;     /* the answer's head was sent */
  char *resume_event_id; /* ROUTED: that the caller had already; NULL: none */
  int64_t last_id;       /* ROUTED: of the last event passed on; -1: none */
  GArray
      *ended_attempts; /* of kwf_handle_t: attempts with a complete answer */
} caller_request_t;

/* One transfer to a backend server.  */
typedef struct
{
  instance_t *instance;
  kwf_handle_t attempt;
  kwf_handle_t request;
  kwf_handle_t handle;        /* of the client; 0: ended */
  completion_stream_t stream; /* event stream; unused otherwise */
  GString *body;              /* answer that is not an event stream */
  int status;
  char *content_type;
  GPtrArray *headers; /* names and values in turn, of a plain service */
  /* ROUTED only.  */
  routed_stream_t routed_stream;
  answer_facts_t facts;
} transfer_t;

/* Feed one event to the core and carry out the effects.  */
void instance_step (instance_t *instance, const kwf_event_t *event);

/* A new secret in hex digits; free with g_free.  */
char *instance_new_secret (void);

/* Whether NAME is one of NAMES, which ends with NULL, in any case.  */
bool header_is_one_of (const char *name, const char *const *names);

/* Whether a header belongs to one connection and is not passed on.  */
bool header_is_hop_by_hop (const char *name);

/* Callers' port.  */
extern const server_handler_t caller_handler;
/* CALLER_NEW takes ID; NULL: a new one is made.  */
caller_request_t *caller_new (const server_request_t *request, const char *id);
/* Feed the request to the core and remember CALLER until the answer.  KEY
   NULL: none.  */
void caller_accept (instance_t *instance, caller_request_t *caller,
                    const char *key, kwf_request_event_t *event);
void caller_free (void *caller);
/* Forget the request with the transfers that ended for it.  */
void caller_forget (instance_t *instance, kwf_handle_t request);
void caller_reply (instance_t *instance, const kwf_reply_t *reply);
void caller_refuse (instance_t *instance, kwf_handle_t request, const char *id,
                    int status, const char *code, const char *message);

/* Attempts on backend servers.  */
void transfer_start (instance_t *instance, const kwf_attempt_start_t *start);
void transfer_cancel (instance_t *instance, kwf_handle_t attempt);
void transfer_forward (instance_t *instance, kwf_handle_t attempt);
void transfer_forward_end (instance_t *instance, kwf_handle_t attempt);
void transfer_discard (instance_t *instance, kwf_handle_t attempt);
void transfer_free (void *transfer);

/* The transfer ended; tell the core with FEED.  */
typedef void (*transfer_feed_fn_t) (transfer_t *transfer,
                                    kwf_event_type_t type,
                                    kwf_attempt_event_t event);
void transfer_finish (transfer_t *transfer, kwf_event_type_t type,
                      kwf_attempt_event_t event, transfer_feed_fn_t feed);

/* Headers of the answer to pass on, behind FIRST (NULL: none); strings belong
   to TRANSFER and FIRST.  */
GArray *transfer_headers (const transfer_t *transfer, const header_t *first);
/* Reply with the answer, which is whole.  */
void transfer_reply (instance_t *instance, const transfer_t *transfer,
                     const caller_request_t *caller, const header_t *first);

/* relay.c: transfers of routed requests.  */
void relay_start (instance_t *instance, transfer_t *transfer,
                  const kwf_attempt_start_t *start, caller_request_t *caller,
                  const server_request_t *request);
void relay_forward (instance_t *instance, transfer_t *transfer,
                    caller_request_t *caller);
void relay_forward_end (instance_t *instance, transfer_t *transfer,
                        caller_request_t *caller);

/* Feed what ANSWER tells of the server itself; ATTEMPT was answered, or, when
   0, another call to SERVER.  */
void notice_read (instance_t *instance, kwf_handle_t attempt,
                  const char *server, const client_answer_t *answer);

/* Load reports of backend servers.  */
void probe_start (instance_t *instance, const char *server,
                  const char *address);

/* order.c: send an order to an engine.  */
void order_start (instance_t *instance, const kwf_order_t *order);

/* Operator port.  */
extern const server_handler_t operator_handler;
void command_release (void *command);
void operator_reply (instance_t *instance, const kwf_operator_reply_t *reply);

#endif
