/* effect.h - what the reducer wants done.

   Effects are data.  They are collected in a kwf_effects_t during a step,
   carried out in order, and then cleared.  Strings in effects live until
   the next kwf_effects_clear.  */

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
  KWF_FX_TIMER = 1,      /* send KWF_EV_TICK at this time at the latest */
  KWF_FX_STORE,          /* table transaction; answer KWF_EV_STORE_REPLY */
  KWF_FX_MEMBERS,        /* read the membership list */
  KWF_FX_PROBE,          /* read a backend server's load report */
  KWF_FX_PEER_LINK,      /* keep a link to this instance */
  KWF_FX_PEER_UNLINK,    /* close the link and stop connecting */
  KWF_FX_PEER_SEND,      /* send a message; dropped when the link is down */
  KWF_FX_ATTEMPT_START,  /* send the request to a backend server */
  KWF_FX_ATTEMPT_CANCEL, /* close the attempt's connection; no event */
  KWF_FX_FORWARD,        /* stream: pass on the whole events that arrived */
  KWF_FX_FORWARD_END,    /* pass on all that is left and end the answer */
  KWF_FX_REPLY,          /* final answer made here */
  KWF_FX_OPERATOR_REPLY, /* answer to KWF_EV_OPERATOR */
  KWF_FX_ORDER,          /* order to an engine; answer KWF_EV_ORDER_REPLY */
  KWF_FX_LOG,            /* numbered log event */
  KWF_FX_EXIT            /* every request has ended: stop the loop */
} kwf_effect_type_t;

/* Whether the request ran on a backend server.  */
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
  const char *server;       /* id, for logs */
  const char *address;      /* "IP:PORT" */
  int64_t deadline_ns;      /* on the core's clock */
  int64_t resume_from;      /* tokens delivered by earlier attempts */
  int priority;             /* 0 urgent, 1 interactive, 2 overnight */
  bool resumes;             /* something was delivered by earlier attempts */
  bool repeatable;          /* may be sent again when nothing comes back */
  const char *organisation; /* "" on open routes */
} kwf_attempt_start_t;

/* A final answer.  When CODE is NULL, BODY is the whole answer; else the
   answer is an error object made from the other fields.  For a stream that
   has begun it is written as a last error event, without [DONE].  */
typedef struct
{
  kwf_handle_t request;
  int status;
  const char *code;
  const char *message;
  kwf_run_t run;
  int64_t retry_after_ms; /* -1: not worth coming back */
  double limit_rate;      /* tokens a second; 0: no limit is the cause */
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

/* An order to a model engine.  */
typedef struct
{
  const char *server;  /* id */
  const char *address; /* "IP:PORT" */
  const char *id;      /* the same for each copy of the order */
  const char *order;   /* "load" or "unload" */
  const char *model;
  const char *version; /* "" when the model has none */
  const char *adapter; /* "" for the model itself */
  int64_t fence;
  const char *holder; /* instance whose fence it is */
  /* Orders that the server must have accepted before; -1: any number.  */
  int64_t after;
  int64_t timeout_ns; /* nothing of it is sent later; 0: the usual time */
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
  const char *request_id; /* NULL when not about a request */
  const char *text;
} kwf_log_t;

typedef struct
{
  kwf_effect_type_t type;
  union
  {
    int64_t timer_ns; /* on the core's clock */
    struct
    {
      kwf_handle_t op;
      int64_t timeout_ns; /* duration after which the outcome is UNKNOWN */
      kwf_txn_t txn;
    } store;
    struct
    {
      const char *server;
      const char *address;
    } probe;
    struct
    {
      const char *instance;
      const char *address;
    } link; /* PEER_LINK; PEER_UNLINK uses instance only */
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
    } attempt; /* CANCEL, FORWARD, FORWARD_END */
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

/* Append a zeroed effect of TYPE and return it; the pointer is valid until
   the next append.  */
kwf_effect_t *kwf_effects_add (kwf_effects_t *effects, kwf_effect_type_t type);

/* Memory that lives until kwf_effects_clear.  */
void *kwf_effects_alloc (kwf_effects_t *effects, size_t size);
char *kwf_effects_strdup (kwf_effects_t *effects, const char *text);
char *kwf_effects_printf (kwf_effects_t *effects, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Append a KWF_FX_LOG.  */
void kwf_effects_log (kwf_effects_t *effects, int number,
                      kwf_log_level_t level, const char *request_id,
                      const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

#endif
