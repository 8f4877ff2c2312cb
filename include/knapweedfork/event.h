/* event.h - events: every input of the reducer kwf_core_step.

   Pointers in an event are valid only during the step.  */

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
  KWF_EV_TICK = 1,       /* the time of KWF_FX_TIMER has come; harmless at any
                            time */
  KWF_EV_STORE_REPLY,    /* result of KWF_FX_STORE */
  KWF_EV_MEMBERS,        /* result of KWF_FX_MEMBERS, or a new membership
                            list */
  KWF_EV_REPORT,         /* result of KWF_FX_PROBE */
  KWF_EV_ANSWERED,       /* result of KWF_FX_ASK */
  KWF_EV_PEER_UP,        /* link established and authenticated */
  KWF_EV_PEER_DOWN,      /* link lost, or a connection attempt failed */
  KWF_EV_PEER_MESSAGE,   /* message from an authenticated peer */
  KWF_EV_REQUEST,        /* a caller's request, completely read */
  KWF_EV_REQUEST_GONE,   /* the caller closed its connection */
  KWF_EV_ATTEMPT_DATA,   /* complete stream events arrived */
  KWF_EV_ATTEMPT_END,    /* the backend server's answer is complete */
  KWF_EV_ATTEMPT_FAILED, /* the attempt ended without a complete answer */
  KWF_EV_ORDER_REPLY,    /* result of KWF_FX_ORDER */
  KWF_EV_NOTICE,         /* a backend server announced its leaving or a
                            pause */
  KWF_EV_CONFIG,         /* lists and all keys, read by another module */
  KWF_EV_ROWS,           /* changed table rows that no transaction asked for */
  KWF_EV_OPERATOR,       /* command on the operator port */
  KWF_EV_STOP,           /* SIGTERM or SIGINT */
  KWF_EV_EVACUATIONS,    /* data centres that the operator evacuates */
  KWF_EV_TABLE_DATE      /* how current a table is here; also the result of
                            KWF_FX_REFRESH */
} kwf_event_type_t;

typedef enum
{
  KWF_REQUEST_COMPLETION, /* chat or text completion by a model */
  KWF_REQUEST_SERVICE,    /* request to a plain service */
  KWF_REQUEST_ROUTED,     /* request whose route follows from host and path */
  KWF_REQUEST_MODELS,     /* list of the models that the organisation may
                             use */
  KWF_REQUEST_INSTANCES   /* addresses that the caller may use */
} kwf_request_kind_t;

/* A caller's request.  The network side chooses HANDLE, which identifies the
   request in all later events and effects.  */
typedef struct
{
  kwf_handle_t handle;
  kwf_request_kind_t kind;
  const char *id;              /* request id for logs; never NULL */
  const char *key_digest;      /* hexadecimal; NULL: the request has no key */
  const char *model;           /* COMPLETION */
  const char *adapter;         /* NULL when none */
  const char *service;         /* SERVICE */
  const char *host;            /* ROUTED */
  const char *path;            /* ROUTED: as sent, without the query */
  const char *idempotency_key; /* NULL when none */
  bool idempotent;             /* may run more than once */
  bool stream;
  bool resuming;         /* ROUTED: continues a stream that broke off */
  int handed_attempts;   /* ROUTED: another instance sent it and allows so many
                            attempts; 0: it is from its caller */
  const char *resumes;   /* id of the request that got its first event; NULL:
                            not told */
  bool has_token_counts; /* ROUTED: the caller gave prompt_tokens and
                            max_tokens */
  int64_t prompt_tokens;
  int64_t max_tokens;
  uint64_t fingerprint; /* hash of kind, model and body */
  uint64_t prefix;      /* hash of the first part of the prompt; 0: none */
  /* Identities of the parts of the prompt that other requests may share, in
     their order.  */
  const uint64_t *parts;
  size_t n_parts;
  int64_t timeout_ns; /* the caller's timeout; 0: the default */
} kwf_request_event_t;

/* Why an attempt has failed.  */
typedef enum
{
  KWF_FAIL_REFUSED,   /* connection refused: nothing was sent */
  KWF_FAIL_CONNECT,   /* other connection failure: nothing was sent */
  KWF_FAIL_BROKEN,    /* connection lost after something was sent */
  KWF_FAIL_TIMEOUT,   /* no answer in time after something was sent */
  KWF_FAIL_OVERSIZED, /* the answer exceeds the size limit */
  KWF_FAIL_NOT_SENT   /* nothing was sent: kwf_core_may_send said no when the
                         connection was ready */
} kwf_failure_t;

typedef struct
{
  kwf_handle_t attempt;
  kwf_handle_t request;
  int64_t tokens; /* DATA, END: tokens generated so far by this attempt */
  bool gap;       /* DATA, END: events are missing before these, which go on
                     with a stream of an earlier attempt; they were not kept */
  bool no_resume; /* DATA only: the last event has no id after which another
                     attempt could go on */
  bool by_close;  /* DATA, END: the server names no end of its answer other
                     than that of its connection, which a server that crashes
                     ends, too */
  /* END only.  */
  int status;       /* HTTP status */
  const char *body; /* whole body; NULL for a stream of events */
  size_t body_size;
  const char *content_type;
  bool not_run;   /* the server says that it did not run the request */
  bool misplaced; /* not_run, because the request reached another server than
                     meant or one without the model */
  /* DATA, END: the next four are the server's load, sent with the answer.  */
  bool has_load;
  int running;
  int waiting;
  int slots; /* requests that the server runs at once */
  int pace;  /* how long work takes there now, in per cent of its usual time;
                0: not given */
  bool load_unreadable; /* a load was sent that is none */
  int64_t kept_ns;      /* END: time for which the connection may be used for
                           another request; 0: it is not kept */
  /* FAILED only.  */
  kwf_failure_t failure;
} kwf_attempt_event_t;

typedef enum
{
  KWF_MEMBER_ENGINE,
  KWF_MEMBER_SERVICE,
  KWF_MEMBER_ENTRY
} kwf_member_kind_t;

/* What was said about a backend server being cold (lib/pace/cold.h).  */
typedef enum
{
  KWF_COLD_NOT_TOLD,
  KWF_COLD_TOLD,      /* for how much longer; 0: it is not cold */
  KWF_COLD_UNREADABLE /* the value is invalid */
} kwf_cold_word_t;

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
  /* What the list says about the server itself; valid only if DESCRIBED.  */
  bool described;
  int slots; /* requests that the server runs at once; 0: unknown */
  kwf_cold_word_t cold;
  int64_t revision; /* higher at each change of the list entry */
  uint64_t incarnation;
  uint64_t software;    /* hash of the version of its software; 0: not told */
  int64_t cold_left_ns; /* valid with KWF_COLD_TOLD */
  const kwf_resident_t *models;
  size_t n_models;
  /* Models that the engine can load without the weight store.  */
  const char *const *near;
  size_t n_near;
} kwf_member_t;

typedef struct
{
  bool valid;     /* false: the list could not be read */
  int64_t age_ns; /* time since it was the newest; INT64_MAX: unknown */
  /* Time since the list before it was the newest: an entry that only that one
     has was removed later.  INT64_MAX: there was none.  */
  int64_t previous_age_ns;
  /* The platform was away, and is back: time left in which entries that
     expired meanwhile are written again.  0: none.  */
  int64_t recovery_ns;
  int64_t revision; /* of the list; 0: not known */
  const kwf_member_t *members;
  size_t n_members;
} kwf_members_event_t;

/* The digest of a valid key, and the organisation that owns the key.  It has
   nothing to do with the share grants of message.h.  */
typedef struct
{
  const char *digest; /* hex */
  const char *organisation;
} kwf_key_grant_t;

typedef struct
{
  int64_t version;     /* ignored unless higher than the version in force */
  kwf_lists_t **lists; /* set to NULL when the reducer takes the lists over */
  const kwf_key_grant_t *keys; /* all valid keys */
  size_t n_keys;
} kwf_config_event_t;

/* All rows of the fleet's own table that changed up to REVISION, except those
   of earlier events.  */
typedef struct
{
  int64_t revision;
  const kwf_row_t *rows;
  size_t n_rows;
} kwf_rows_event_t;

/* All data centres that the store shows as evacuated: their servers get no new
   request or order.  Sent again once the entries of an older copy of the store
   can be told from those written since.  */
typedef struct
{
  int64_t revision; /* of the table */
  const char *const *data_centres;
  const int64_t *revisions; /* of their rows; all are above 0 */
  size_t n;
} kwf_evacuations_event_t;

/* Tables of the platform whose date is told.  */
typedef enum
{
  KWF_TABLE_SERVERS, /* list of backend servers */
  KWF_TABLE_OWN,     /* the fleet's own table */
  KWF_N_TABLES
} kwf_table_t;

/* The rows of TABLE that earlier events delivered were its newest at
   CURRENT_NS, by the core's clock, or later.  */
typedef struct
{
  kwf_table_t table;
  int64_t current_ns; /* valid if the rows are dated; INT64_MIN: they are
                         not */
  int64_t revision;   /* up to which they are known */
  bool failed;        /* the last call of this instance got no answer */
  bool behind;        /* another instance knows newer rows */
} kwf_table_date_event_t;

/* Whether a backend server that was asked has answered anything.  */
typedef struct
{
  const char *server; /* member id of the server */
  int64_t asked_ns;   /* that of the effect */
  bool answered;
} kwf_answered_event_t;

/* Load report of a backend server, or the failure to read one.  */
typedef struct
{
  const char *server; /* member id of the server */
  uint64_t incarnation;
  bool valid;    /* false: there is no report; see the next three */
  bool refused;  /* the server's address refused the connection */
  bool answered; /* an answer came, whether or not it is a report */
  bool broken;   /* the connection was accepted, and ended without an answer */
  bool replaced; /* it says that another server has the address now */
  bool leaving;
  bool fencing;
  bool resume;
  int64_t memory_total_mb;
  int64_t memory_used_mb;
  int running;
  int waiting;
  int batch;      /* requests that the server runs at once; 0: unknown */
  int64_t orders; /* orders that the engine has accepted so far */
  bool busy;      /* the engine is carrying out an order */
  const kwf_resident_t *models;
  size_t n_models;
  /* As in kwf_member_t; n_near 0: the report has no such list.  */
  const char *const *near;
  size_t n_near;
} kwf_report_event_t;

typedef struct
{
  const char *instance;
  uint64_t incarnation; /* PEER_UP and PEER_MESSAGE */
  bool refused;         /* PEER_DOWN: the address refused the connection */
  const kwf_message_t *message;
} kwf_peer_event_t;

typedef enum
{
  KWF_OPERATOR_APPLY,        /* put both lists in force: plans, uses,
                                version */
  KWF_OPERATOR_LISTS,        /* read the lists */
  KWF_OPERATOR_KEY_ADD,      /* add a key: organisation, digest */
  KWF_OPERATOR_KEY_WITHDRAW, /* withdraw a key: digest */
  KWF_OPERATOR_STATUS        /* read the instance's state as JSON */
} kwf_operator_command_t;

typedef struct
{
  kwf_handle_t handle; /* operator's request, for the reply */
  kwf_operator_command_t command;
  const char *plans; /* TOML text */
  const char *uses;  /* TOML text */
  int64_t version;   /* version that the operator edited; 0: none was in
                        force */
  const char *organisation;
  const char *digest;
} kwf_operator_event_t;

/* An engine's answer to an order.  */
typedef struct
{
  const char *server;
  const char *id;        /* id of the order */
  int status;            /* HTTP status; 0: no answer */
  kwf_failure_t failure; /* valid when there is no answer */
  const char *code;      /* error code; NULL: no error */
  bool running;          /* accepted, not carried out yet */
} kwf_order_event_t;

/* What a backend server answers.  */
typedef enum
{
  KWF_ANSWER_REQUEST, /* a caller's request */
  KWF_ANSWER_REPORT,  /* a question for its load report */
  KWF_ANSWER_ORDER,
  KWF_ANSWER_KINDS
} kwf_answer_kind_t;

/* Whether an answer names a limit on the requests that the server takes.  */
typedef enum
{
  KWF_LIMIT_NOT_NAMED,
  KWF_LIMIT_NAMED,
  KWF_LIMIT_UNREADABLE /* the header is there without a valid number */
} kwf_limit_header_t;

/* What a backend server says about itself in the headers of an answer.  */
typedef struct
{
  kwf_handle_t attempt; /* attempt that was answered; used when SERVER is
                           NULL */
  const char *server;   /* server that answered something else than an
                           attempt */
  bool leaving;
  int64_t pause_ns; /* time in which the server wants no new request; 0: no
                       pause */
  bool unreadable;  /* the header asks for a pause but has no valid time */
  kwf_answer_kind_t kind;
  int64_t asked_ns; /* when SERVER was asked; not used with ATTEMPT */
  bool success;     /* the status of the answer is 2xx */
  kwf_limit_header_t limit;
  double limit_per_s; /* valid with KWF_LIMIT_NAMED: requests a second from all
                         instances together */
  kwf_cold_word_t cold;
  int64_t cold_left_ns; /* valid with KWF_COLD_TOLD */
} kwf_notice_event_t;

typedef struct
{
  kwf_event_type_t type;
  union
  {
    struct
    {
      kwf_handle_t op; /* of KWF_FX_STORE */
      kwf_store_reply_t reply;
    } store;
    kwf_members_event_t members;
    kwf_report_event_t report;
    kwf_answered_event_t answered;
    kwf_peer_event_t peer;
    kwf_request_event_t request;
    kwf_handle_t gone;
    kwf_attempt_event_t attempt;
    kwf_config_event_t config;
    kwf_rows_event_t rows;
    kwf_evacuations_event_t evacuations;
    kwf_table_date_event_t date;
    kwf_operator_event_t operator_;
    kwf_order_event_t order;
    kwf_notice_event_t notice;
  };
} kwf_event_t;

#endif
