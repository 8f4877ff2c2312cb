/* event.h - what can happen to an entry instance.

   Every input of the reducer kwf_core_step is one event.  Pointers in an
   event are valid only during the step.  */

#ifndef KNAPWEEDFORK_EVENT_H
#define KNAPWEEDFORK_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/handle.h>
#include <knapweedfork/lists.h>
#include <knapweedfork/message.h>
#include <knapweedfork/store.h>

typedef enum
{
  KWF_EV_TICK = 1,       /* the timer that effects asked for, or any time */
  KWF_EV_STORE_REPLY,    /* answer to KWF_FX_STORE */
  KWF_EV_MEMBERS,        /* answer to KWF_FX_MEMBERS */
  KWF_EV_REPORT,         /* answer to KWF_FX_PROBE */
  KWF_EV_PEER_UP,        /* link established and authenticated */
  KWF_EV_PEER_DOWN,      /* link lost, or an attempt to connect failed */
  KWF_EV_PEER_MESSAGE,   /* message from an authenticated peer */
  KWF_EV_REQUEST,        /* a caller's request, read completely */
  KWF_EV_REQUEST_GONE,   /* the caller closed its connection */
  KWF_EV_ATTEMPT_DATA,   /* whole stream events arrived */
  KWF_EV_ATTEMPT_END,    /* the answer is complete */
  KWF_EV_ATTEMPT_FAILED, /* the attempt ended without a complete answer */
  KWF_EV_ORDER_REPLY,    /* answer to KWF_FX_ORDER */
  KWF_EV_NOTICE,         /* a backend server told something of itself */
  KWF_EV_CONFIG,         /* lists and keys, read elsewhere */
  KWF_EV_ROWS,           /* rows of the table that changed, unasked */
  KWF_EV_OPERATOR,       /* a command on the operator port */
  KWF_EV_STOP            /* SIGTERM or SIGINT */
} kwf_event_type_t;

typedef enum
{
  KWF_REQUEST_COMPLETION, /* chat or text completion on a model */
  KWF_REQUEST_SERVICE,    /* plain service */
  KWF_REQUEST_ROUTED,     /* the route is found from host and path */
  KWF_REQUEST_MODELS,     /* list of the models of the organisation */
  KWF_REQUEST_INSTANCES   /* addresses to use */
} kwf_request_kind_t;

/* A caller's request.  HANDLE is made by the network side and names the
   request in every later event and effect.  */
typedef struct
{
  kwf_handle_t handle;
  kwf_request_kind_t kind;
  const char *id;              /* request id for logs, never NULL */
  const char *key_digest;      /* hex; NULL when no key came with it */
  const char *model;           /* COMPLETION */
  const char *adapter;         /* NULL when none */
  const char *service;         /* SERVICE */
  const char *host;            /* ROUTED */
  const char *path;            /* ROUTED; as sent, without the query */
  const char *idempotency_key; /* NULL when none */
  bool idempotent;             /* may be sent more than once */
  bool stream;
  bool resuming;         /* ROUTED: goes on with a stream that broke */
  bool has_token_counts; /* ROUTED: the caller told prompt_tokens and
                            max_tokens */
  int64_t prompt_tokens;
  int64_t max_tokens;
  uint64_t fingerprint; /* of kind, model and body */
  uint64_t prefix;      /* of the first part of the prompt; 0: none */
  int64_t timeout_ns;   /* wanted by the caller; 0: default */
} kwf_request_event_t;

/* Why an attempt failed.  */
typedef enum
{
  KWF_FAIL_REFUSED,   /* connection refused: nothing was sent */
  KWF_FAIL_CONNECT,   /* no connection for other causes: nothing was sent */
  KWF_FAIL_BROKEN,    /* connection lost after something was sent */
  KWF_FAIL_TIMEOUT,   /* no answer in time after something was sent */
  KWF_FAIL_OVERSIZED, /* the answer is larger than the limit */
  KWF_FAIL_WITHHELD   /* not sent: the decision did not hold any more when the
                         connection was ready */
} kwf_failure_t;

typedef struct
{
  kwf_handle_t attempt;
  kwf_handle_t request;
  int64_t tokens; /* DATA, END: generated tokens of this attempt so far */
  /* END only.  */
  int status;       /* HTTP status */
  const char *body; /* whole body unless streamed; NULL when streamed */
  size_t body_size;
  const char *content_type;
  bool not_run;   /* the server tells that it did not run the request */
  bool misplaced; /* not_run, because the server is another one or does not
                     hold the model */
  /* DATA, END: load that came with the answer.  */
  bool has_load;
  int running;
  int waiting;
  int slots; /* requests that it runs at once */
  /* FAILED only.  */
  kwf_failure_t failure;
} kwf_attempt_event_t;

typedef enum
{
  KWF_MEMBER_ENGINE,
  KWF_MEMBER_SERVICE,
  KWF_MEMBER_ENTRY
} kwf_member_kind_t;

typedef struct
{
  const char *name;
  const char *version;
  const char *const *adapters;
  size_t n_adapters;
} kwf_resident_t;

typedef struct
{
  const char *id;
  const char *name;    /* service name; may be empty for engines */
  const char *address; /* "IP:PORT" */
  const char *data_centre;
  kwf_member_kind_t kind;
  bool leaving;
  /* What the list tells of the server itself, if it does.  */
  bool described;
  int slots;        /* requests that it runs at once; 0: not known */
  int64_t revision; /* rises with each change of the entry */
  uint64_t incarnation;
  const kwf_resident_t *models;
  size_t n_models;
  /* Models that it can load without the weight store.  */
  const char *const *near;
  size_t n_near;
} kwf_member_t;

typedef struct
{
  bool valid; /* false: the list could not be read */
  /* The list was unreadable until a moment ago: an entry that is missing may
     have expired meanwhile and come back.  */
  bool after_outage;
  const kwf_member_t *members;
  size_t n_members;
} kwf_members_event_t;

/* A key that works, and whose it is.  */
typedef struct
{
  const char *digest; /* hex */
  const char *organisation;
} kwf_key_grant_t;

typedef struct
{
  int64_t version;     /* only a higher one replaces what is in force */
  kwf_lists_t **lists; /* set to NULL when they are taken over */
  const kwf_key_grant_t *keys; /* all keys */
  size_t n_keys;
} kwf_config_event_t;

/* All rows of the own table that changed up to REVISION and were not told
   before.  */
typedef struct
{
  int64_t revision;
  const kwf_row_t *rows;
  size_t n_rows;
} kwf_rows_event_t;

/* Load report of a backend server.  */
typedef struct
{
  const char *server; /* member id */
  bool valid;         /* false: no report; see refused */
  bool refused;       /* the address refused the connection */
  uint64_t incarnation;
  bool leaving;
  bool fencing;
  bool resume;
  int64_t memory_total_mb;
  int64_t memory_used_mb;
  int running;
  int waiting;
  int batch;      /* requests that it runs at once; 0: not known */
  int64_t orders; /* accepted so far */
  bool busy;      /* carries out an order */
  const kwf_resident_t *models;
  size_t n_models;
  /* As in kwf_member_t; n_near 0: not told.  */
  const char *const *near;
  size_t n_near;
} kwf_report_event_t;

typedef struct
{
  const char *instance;
  uint64_t incarnation; /* UP and MESSAGE */
  bool refused;         /* DOWN: the address refused the connection */
  const kwf_message_t *message;
} kwf_peer_event_t;

typedef enum
{
  KWF_OPERATOR_APPLY,        /* plans, uses, version */
  KWF_OPERATOR_LISTS,        /* read the lists in force */
  KWF_OPERATOR_KEY_ADD,      /* organisation, digest */
  KWF_OPERATOR_KEY_WITHDRAW, /* digest */
  KWF_OPERATOR_STATUS        /* the state as JSON */
} kwf_operator_command_t;

typedef struct
{
  kwf_handle_t handle; /* of the operator's request, for the reply */
  kwf_operator_command_t command;
  const char *plans; /* TOML text */
  const char *uses;  /* TOML text */
  int64_t version;   /* configuration version that was edited; 0: none */
  const char *organisation;
  const char *digest;
} kwf_operator_event_t;

/* Answer of an engine to an order.  */
typedef struct
{
  const char *server;
  const char *id;        /* of the order */
  int status;            /* HTTP status; 0: no answer */
  kwf_failure_t failure; /* when there is no answer */
  const char *code;      /* of an error; NULL: none */
  bool running;          /* accepted and not yet carried out */
} kwf_order_event_t;

/* What a backend server tells of itself with an answer, beside it.  */
typedef struct
{
  kwf_handle_t attempt; /* that was answered, or */
  const char *server;   /* that answered something else */
  bool leaving;
  int64_t pause_ns; /* it wants no request for so long; 0: no pause */
  bool unreadable;  /* it asks for a pause of a length that is none */
} kwf_notice_event_t;

typedef struct
{
  kwf_event_type_t type;
  union
  {
    struct
    {
      kwf_handle_t op; /* handle of KWF_FX_STORE */
      kwf_store_reply_t reply;
    } store;
    kwf_members_event_t members;
    kwf_report_event_t report;
    kwf_peer_event_t peer;
    kwf_request_event_t request;
    kwf_handle_t gone;
    kwf_attempt_event_t attempt;
    kwf_config_event_t config;
    kwf_rows_event_t rows;
    kwf_operator_event_t operator_;
    kwf_order_event_t order;
    kwf_notice_event_t notice;
  };
} kwf_event_t;

#endif
