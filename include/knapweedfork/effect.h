/* effect.h - effects: what the reducer wants done.

   An effect is plain data.  A step collects effects in a kwf_effects_t; the
   caller carries them out in order and then clears it.  Strings in effects are
   valid until the next kwf_effects_clear.  In names, FX stands for effect.  */

#ifndef KNAPWEEDFORK_EFFECT_H
#define KNAPWEEDFORK_EFFECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/handle.h>
#include <knapweedfork/message.h>
#include <knapweedfork/store.h>

typedef enum
{
  KWF_FX_TIMER = 1,      /* send KWF_EV_TICK no later than at this time */
  KWF_FX_STORE,          /* run a table transaction; KWF_EV_STORE_REPLY
                            follows */
  KWF_FX_MEMBERS,        /* read the membership list; KWF_EV_MEMBERS follows */
  KWF_FX_PROBE,          /* read a backend server's load report; KWF_EV_REPORT
                            follows */
  KWF_FX_ASK,            /* ask a backend server whether it answers;
                            KWF_EV_ANSWERED follows */
  KWF_FX_PEER_LINK,      /* connect to this instance and keep the link up */
  KWF_FX_PEER_UNLINK,    /* close the link and stop reconnecting */
  KWF_FX_PEER_SEND,      /* send a message to a peer; lost when the link is
                            down */
  KWF_FX_ATTEMPT_START,  /* send the request to a backend server */
  KWF_FX_ATTEMPT_CANCEL, /* close the attempt's connection; no event follows */
  KWF_FX_FORWARD,        /* stream: send the caller all complete stream
                            events */
  KWF_FX_FORWARD_END,    /* send the caller all that is left and end the
                            answer */
  KWF_FX_REPLY,          /* final answer that this instance makes itself */
  KWF_FX_OPERATOR_REPLY, /* answer to KWF_EV_OPERATOR */
  KWF_FX_ORDER,          /* send an order to an engine; KWF_EV_ORDER_REPLY
                            follows */
  KWF_FX_LOG,            /* write a numbered log event */
  KWF_FX_REFRESH,        /* read at once what is new in the tables of
                            kwf_table_t; KWF_EV_TABLE_DATE follows for each */
  KWF_FX_EXIT            /* all requests have ended: stop the event loop */
} kwf_effect_type_t;

/* Whether a backend server ran the request.  */
typedef enum
{
  KWF_RUN_NO,
  KWF_RUN_YES,
  KWF_RUN_UNKNOWN
} kwf_run_t;

typedef struct
{
  kwf_handle_t request;
  kwf_handle_t attempt;
  const char *server;  /* id, for logs */
  const char *address; /* "IP:PORT" */
  int64_t deadline_ns; /* time of the core's clock */
  int64_t resume_from; /* tokens that earlier attempts delivered */
  int priority;        /* 0 urgent, 1 interactive, 2 overnight */
  bool resumes;        /* earlier attempts delivered a part of the
                          answer */
  bool repeatable;     /* may be sent again when no answer arrives */
  bool stream;         /* the answer is to be a stream of events */
  bool keep_unsafe;    /* may go over a kept connection also if it is not
                          repeatable */
  int handed_attempts; /* SERVER is another instance, which gets the request as
                          its caller sent it and may make so many attempts;
                          0: it is a server */
  const char *organisation; /* "" on routes without a key */
} kwf_attempt_start_t;

/* Final answer to a request.  When CODE is NULL, BODY is the whole answer;
   otherwise the answer is an error object made from the other fields.  If a
   stream has begun, the error is sent as its last event, without [DONE].  */
typedef struct
{
  kwf_handle_t request;
  int status;
  const char *code;
  const char *message;
  kwf_run_t run;
  int64_t retry_after_ms; /* -1: a retry is useless */
  double limit_rate;      /* tokens per second; 0: no rate limit was the
                             cause */
  double limit_burst;     /* tokens */
  const char *body;
  size_t body_size;
  const char *content_type;
} kwf_reply_t;

typedef struct
{
  kwf_handle_t request;
  int status;
  const char *body; /* JSON text */
} kwf_operator_reply_t;

/* Question to a backend server.  */
typedef struct
{
  const char *server;  /* id */
  const char *address; /* "IP:PORT" */
  int64_t asked_ns;    /* ASK: the event repeats it */
} kwf_probe_t;

/* Order to a model engine.  */
typedef struct
{
  const char *server;  /* id */
  const char *address; /* "IP:PORT" */
  const char *id;      /* id of the order, the same each time it is sent */
  const char *order;   /* "load" or "unload" */
  const char *model;
  const char *version; /* "" when the model has none */
  const char *adapter; /* "" for the model itself */
  int64_t fence;
  const char *holder; /* instance that the fencing token belongs to */
  /* The engine carries out the order only if it has accepted exactly this many
     orders before; -1: no such condition.  */
  int64_t after;
  int64_t timeout_ns; /* nothing of it is sent after this time; 0: the
                         default */
} kwf_order_t;

typedef enum
{
  KWF_LOG_DEBUG,
  KWF_LOG_INFO,
  KWF_LOG_WARNING,
  KWF_LOG_ERROR
} kwf_log_level_t;

typedef struct
{
  int number; /* see docs/EVENTS.md */
  kwf_log_level_t level;
  const char *request_id; /* NULL: not about a request */
  const char *text;
} kwf_log_t;

typedef struct
{
  kwf_effect_type_t type;
  union
  {
    int64_t timer_ns; /* time of the core's clock */
    struct
    {
      kwf_handle_t op;
      int64_t timeout_ns; /* after this time the outcome is UNKNOWN */
      kwf_txn_t txn;
    } store;
    kwf_probe_t probe; /* PROBE, ASK */
    struct
    {
      const char *instance;
      const char *address;
    } link; /* PEER_LINK; PEER_UNLINK uses only "instance" */
    struct
    {
      const char *instance;
      kwf_message_t message;
    } send;
    kwf_attempt_start_t start;
    struct
    {
      kwf_handle_t request;
      kwf_handle_t attempt;
    } attempt; /* ATTEMPT_CANCEL, FORWARD, FORWARD_END */
    kwf_reply_t reply;
    kwf_operator_reply_t operator_reply;
    kwf_order_t order;
    kwf_log_t log;
  };
} kwf_effect_t;

typedef struct kwf_effects kwf_effects_t;

kwf_effects_t *kwf_effects_new (void);
void kwf_effects_free (kwf_effects_t *effects);
void kwf_effects_clear (kwf_effects_t *effects);
size_t kwf_effects_count (const kwf_effects_t *effects);
const kwf_effect_t *kwf_effects_at (const kwf_effects_t *effects, size_t i);

/* Append an effect of TYPE with all other bytes zero and return it.  The
   pointer is valid until the next append.  */
kwf_effect_t *kwf_effects_add (kwf_effects_t *effects, kwf_effect_type_t type);

/* Return zeroed memory, or a copy, that is valid until kwf_effects_clear.  */
void *kwf_effects_alloc (kwf_effects_t *effects, size_t size);
char *kwf_effects_strdup (kwf_effects_t *effects, const char *text);
char *kwf_effects_printf (kwf_effects_t *effects, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Append a KWF_FX_LOG with event NUMBER of docs/EVENTS.md.  REQUEST_ID is NULL
   for events that are not about a request.  */
void kwf_effects_log (kwf_effects_t *effects, int number,
                      kwf_log_level_t level, const char *request_id,
                      const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

#endif
