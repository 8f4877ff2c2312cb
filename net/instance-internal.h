/* instance-internal.h - declarations shared by the files that make up an
   instance.  */

#ifndef KNAPWEEDFORK_NET_INSTANCE_INTERNAL_H
#define KNAPWEEDFORK_NET_INSTANCE_INTERNAL_H

#include <glib.h>

#include <knapweedfork/core.h>

#include "../lib/completion.h"
#include "../lib/delivery.h"
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
  const kwf_settings_t *newest_settings; /* the newest settings, for the tokens
                                   of operators */
  uint64_t incarnation;
  char *pepper; /* secret key for the digests of API keys */
  /* This instance's addresses, with the actual ports.  */
  char *caller_address;
  char *operator_address;
  char *peer_address;
  kwf_core_t *core;
  kwf_effects_t *effects;
  bool stepping; /* instance_step is running */
  /* HTTP servers of this instance's ports.  */
  server_t *caller_server;
  server_t *operator_server;
  server_t *ready_server;     /* NULL: no such listener */
  server_t *directory_server; /* NULL: no such listener */
  intake_t *intake;           /* what is held for their callers */
  client_t *client;
  client_t *control; /* calls to the platform and to model engines */
  store_t *store;
  peers_t *peers;
  GHashTable *requests;      /* caller's handle -> caller_request_t */
  GHashTable *attempts;      /* attempt handle of the core -> transfer_t */
  GHashTable *commands;      /* operator's handle -> command_t */
  GHashTable *control_calls; /* set of the data of each probe and order under
                           way, one block for g_free each */
  ev_timer tick;
  int64_t tick_at_ns; /* time at which TICK fires; INT64_MAX: not set */
  ev_timer exit_poll;
  int exit_polls_left;
  bool exiting;
};

/* One request of a caller, with what the network side needs to know about it.
 */
typedef struct
{
  kwf_handle_t handle;
  kwf_request_kind_t kind;
  char *id;
  completion_t completion; /* COMPLETION */
  char *service;           /* SERVICE */
  char *target;            /* path and query for the backend server */
  GArray *headers; /* of header_t, for the backend server; the strings belong
                      to the server's request */
  bool idempotent;
  int attempts;               /* attempts started so far */
  delivery_t delivery;        /* of the answer */
  char *resume_event_id;      /* ROUTED: id of the last event that the caller
                             already has; NULL: none */
  stream_position_t position; /* ROUTED: after the last event passed on */
  GArray *kept_attempts;      /* of kwf_handle_t: with a complete answer */
} caller_request_t;

/* One attempt on a backend server, with the answer of its HTTP transfer, which
   belongs to the client (net/client.h).  lib/attempt.c has the core's part of
   an attempt.  */
typedef struct
{
  instance_t *instance;
  kwf_handle_t attempt;
  kwf_handle_t request;
  kwf_handle_t client_handle; /* of the HTTP transfer; 0: it has ended */
  /* For an event stream; otherwise unused.  */
  completion_stream_t completion_stream;
  GString *body; /* of an answer that is not an event stream */
  int status;
  bool by_close; /* only the end of the connection marks the answer's end */
  char *content_type;
  GPtrArray *headers; /* names and values by turns; answers of plain services
                         and routed requests */
  /* ROUTED only.  */
  bool wants_events; /* the route's answers are streams of events */
  bool has_events;   /* this answer is one */
  routed_stream_t routed_stream;
  answer_facts_t facts;
} transfer_t;

/* Passes EVENT to the core and carries out the resulting effects.  Must not be
   called from within itself.  */
void instance_step (instance_t *instance, const kwf_event_t *event);

/* Makes a new random secret in hex digits; release with g_free.  */
char *instance_new_secret (void);

/* Whether NAME is one of NAMES, without regard to case.  NAMES ends with
   NULL.  */
bool header_is_one_of (const char *name, const char *const *names);

/* Whether header NAME belongs to one connection and must not be passed on.  */
bool header_is_hop_by_hop (const char *name);

/* Callers' port.  */
extern const server_handler_t caller_handler;
/* caller_request_new uses ID as the request id; NULL: it makes one.  */
caller_request_t *caller_request_new (const server_request_t *request,
                                      const char *id);
/* Registers the request and passes it to the core, which answers or refuses it
   by an effect.  CALLER_REQUEST is kept until then.  KEY is the API key; NULL:
   none.  */
void caller_request_submit (instance_t *instance,
                            caller_request_t *caller_request, const char *key,
                            kwf_request_event_t *event);
void caller_request_free (void *caller_request);
/* Releases the request and the transfers that were kept for it.  */
void caller_request_release (instance_t *instance, kwf_handle_t request);
/* Carries out KWF_FX_REPLY: answers the request with REPLY, or ends with an
   error an answer that was begun.  */
void caller_reply (instance_t *instance, const kwf_reply_t *reply);
/* What is left to do with INPUT, an answer or a part of one for
   CALLER_REQUEST.  What must not follow the parts before is logged, and the
   answer is broken off: DELIVER_NOTHING.  */
delivery_action_t caller_deliver (instance_t *instance,
                                  caller_request_t *caller_request,
                                  delivery_input_t input);
/* Refuses a request that was not passed to the core.  */
void caller_refuse (instance_t *instance, kwf_handle_t request, const char *id,
                    int status, const char *code, const char *message);

/* Carry out the effects KWF_FX_ATTEMPT_START, KWF_FX_ATTEMPT_CANCEL,
   KWF_FX_FORWARD (passes on the whole events received so far) and
   KWF_FX_FORWARD_END (passes on the rest and ends the answer).
   transfer_discard releases an answer that was kept.  */
void transfer_start (instance_t *instance, const kwf_attempt_start_t *start);
void transfer_cancel (instance_t *instance, kwf_handle_t attempt);
void transfer_forward (instance_t *instance, kwf_handle_t request,
                       kwf_handle_t attempt);
void transfer_forward_end (instance_t *instance, kwf_handle_t request,
                           kwf_handle_t attempt);
void transfer_discard (instance_t *instance, kwf_handle_t attempt);
/* Frees TRANSFER, but does not end its HTTP transfer.  */
void transfer_free (void *transfer);

/* Whether the next attempt needs a connection that carried no request yet: if
   the request must not be sent twice, or was sent before.  */
bool transfer_needs_connection (const caller_request_t *caller_request,
                                bool repeatable);

/* Ends a transfer and reports it to the core by calling REPORT_FN.  A complete
   answer (TYPE is KWF_EV_ATTEMPT_END) is kept until its request ends; failed
   transfers are released.  */
typedef void (*transfer_report_fn_t) (transfer_t *transfer,
                                      kwf_event_type_t type,
                                      kwf_attempt_event_t event);
void transfer_finish (transfer_t *transfer, kwf_event_type_t type,
                      kwf_attempt_event_t event,
                      transfer_report_fn_t report_fn);

/* Headers of the answer to pass on.  EXTRA_HEADER is put before them; NULL:
   none.  The strings belong to TRANSFER and EXTRA_HEADER.  */
GArray *transfer_headers (const transfer_t *transfer,
                          const header_t *extra_header);
/* Sends the complete answer of TRANSFER to the caller.  */
void transfer_reply (instance_t *instance, const transfer_t *transfer,
                     caller_request_t *caller_request,
                     const header_t *extra_header);

/* relay.c: attempts of routed requests (KWF_REQUEST_ROUTED: host and path
   determine the backend server).  */
void relay_start (instance_t *instance, transfer_t *transfer,
                  const kwf_attempt_start_t *start,
                  caller_request_t *caller_request,
                  const server_request_t *request);
void relay_forward (instance_t *instance, transfer_t *transfer,
                    caller_request_t *caller_request);
void relay_forward_end (instance_t *instance, transfer_t *transfer,
                        caller_request_t *caller_request);

/* Passes the server's notice in ANSWER, if there is one, to the core.  ATTEMPT
   was answered; 0: SERVER, which was asked at ASKED_NS, gave an answer of
   another KIND.  */
void notice_read (instance_t *instance, kwf_answer_kind_t kind,
                  kwf_handle_t attempt, const char *server, int64_t asked_ns,
                  const client_answer_t *answer);

/* probe.c: request the load report of a backend server.  */
void probe_start (instance_t *instance, const char *server,
                  const char *address);
/* Ask a server whether it answers.  */
void probe_ask (instance_t *instance, const char *server, const char *address,
                int64_t asked_ns);
/* order.c: send an order to a model engine.  */
void order_start (instance_t *instance, const kwf_order_t *order);

/* Operator port.  operator_command_free wipes a new key and frees the command;
   operator_reply carries out KWF_FX_OPERATOR_REPLY.  */
extern const server_handler_t operator_handler;
void operator_command_free (void *command);
void operator_reply (instance_t *instance, const kwf_operator_reply_t *reply);

#endif
