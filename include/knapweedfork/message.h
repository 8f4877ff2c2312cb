/* message.h - messages between entry instances.

   The strings and rows of a message belong to its maker and are valid as long
   as the event or effect that carries the message.  */

#ifndef KNAPWEEDFORK_MESSAGE_H
#define KNAPWEEDFORK_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/store.h>

#define KWF_MESSAGE_VERSION 1
#define KWF_MESSAGE_MAX_BYTES (1024 * 1024)

typedef enum
{
  KWF_MSG_PING = 1,
  KWF_MSG_RENEW,         /* renew the sender's session lease for it */
  KWF_MSG_RENEWED,       /* reply to RENEW, with the rows that changed */
  KWF_MSG_OUTAGE_QUERY,  /* asks whether the platform answers the receiver */
  KWF_MSG_OUTAGE_REPLY,  /* reply to the outage query */
  KWF_MSG_SHARE_REQUEST, /* share wanted: tokens of an organisation */
  KWF_MSG_SHARE_GRANT,   /* share granted: rate, burst and tokens */
  KWF_MSG_SHARE_ACK,     /* the granted share arrived */
  KWF_MSG_WITHDRAW,      /* suspend a key, or lift the suspension */
  KWF_MSG_STATE_REQUEST, /* send the configuration rows that you have */
  KWF_MSG_STATE_ROWS,    /* reply: configuration rows */
  KWF_MSG_CRASH,         /* a request ran on a server that crashed */
  KWF_MSG_DEMAND,        /* requests wait for a model that no engine holds */
  KWF_MSG_RESIDENCY,     /* an engine now holds, or no longer holds, a model or
                            adapter */
  KWF_MSG_FEED,          /* changes of one of the platform's tables */
  KWF_MSG_SERVER_LOADS,  /* requests under way at the backend servers */
  KWF_MSG_LEAVE,         /* the sender, an instance, is stopping */
  KWF_MSG_LEADERSHIP_EXPIRED, /* the sender is no longer placement leader,
                                 because its lease expired */
  KWF_MSG_UNREACHABLE,        /* instances that the sender cannot reach */
  KWF_MSG_SERVER_LEAVING, /* a backend server announced that it is leaving */
  KWF_MSG_SERVER_LIMIT,   /* a backend server names a limit, or no more */
  KWF_MSG_PERMIT_ASK,     /* to the owner of a limit: permits wanted */
  KWF_MSG_PERMIT_GRANT,   /* reply: permits granted */
  KWF_MSG_FORM,           /* the first on a link: what the sender reads */
  KWF_MSG_TABLES_QUERY,   /* asks up to where the receiver knows the platform's
                             tables */
  KWF_MSG_TABLES_REPLY,   /* reply to that */
  KWF_MSG_REACH,          /* whether an instance reaches backend servers */
  KWF_MSG_REACH_QUERY,    /* asks whether servers answer the receiver */
  KWF_MSG_REACH_REPLY     /* reply to that */
} kwf_message_type_t;

/* RENEW: the sender's session row, which a peer is asked to write.  */
typedef struct
{
  uint64_t incarnation;
  int64_t counter;    /* higher by one at each renewal */
  int64_t epoch_left; /* share epoch that the sender no longer uses */
  bool leaving;
  const char *caller_address; /* "IP:PORT" that callers use */
  const char *peer_address;   /* "IP:PORT" that peers connect to */
  const char *data_centre;
  int64_t load;       /* open requests, averaged over about 10 s */
  double cores;       /* processor cores of the sender */
  int64_t after;      /* the sender has all rows up to this revision */
  const char *demand; /* JSON object, the members "demand" and "wanted" of the
                         row; NULL: none */
} kwf_renew_t;

typedef struct
{
  int64_t counter;  /* counter of the RENEW message */
  bool renewed;     /* false: the session row was not written */
  int64_t revision; /* the rows are complete up to this revision */
  const kwf_row_t *rows;
  size_t n_rows;
} kwf_renewed_t;

typedef struct
{
  int64_t number; /* number of the query; a reply repeats it */
  bool silent;    /* in a reply: the platform does not answer the sender
                     either, and the sender has no configuration write whose
                     outcome is unknown */
} kwf_outage_t;

typedef struct
{
  int64_t epoch;
  int64_t number; /* number of the request; the grant repeats it */
  const char *organisation;
  double tokens; /* tokens wanted; negative: the sender also needs burst
                    capacity, since it has no room for the tokens */
  bool ahead;    /* requested before the sender is short of tokens */
} kwf_share_request_t;

typedef struct
{
  int64_t epoch;
  int64_t number;
  const char *organisation;
  double rate;  /* part of the organisation's rate, 0 to 1; 0 when nothing is
                   granted */
  double cap;   /* part of the organisation's burst, 0 to 1 */
  double level; /* tokens; if CAP is less, the rest must fit the receiver's own
                   burst capacity */
  bool tells_left; /* LEFT is set; only in answers to requests whose sender
                      knows it */
  double left;     /* tokens that the sender could still grant */
} kwf_share_grant_t;

typedef struct
{
  const char *digest; /* hexadecimal digest of the key */
  bool lifted;        /* true: the withdrawal did not take effect, so the
                         suspension ends */
} kwf_withdraw_t;

typedef struct
{
  int64_t revision;
  const kwf_row_t *rows;
  size_t n_rows;
} kwf_state_rows_t;

/* A CRASH message with an empty server has one of these as incarnation.  */
typedef enum
{
  KWF_CRASH_REQUEST_FINISHED
  = 1,              /* copies of the request finished before the crash */
  KWF_CRASH_PROVEN, /* the second crash happened during the request's
                       trial */
  KWF_CRASH_CAUSE,  /* the sender refuses requests with the feature */
  KWF_CRASH_SOUND   /* a request with the feature has just been answered */
} kwf_crash_notice_t;

typedef struct
{
  uint64_t fingerprint; /* or another feature (lib/crash.h) */
  const char *server;   /* id of the backend server; "": see
                           kwf_crash_notice_t */
  uint64_t incarnation; /* of the server, or a kwf_crash_notice_t */
} kwf_crash_t;

typedef struct
{
  const char *server;
  uint64_t incarnation; /* of the server */
  const char *model;
  const char *adapter; /* "" for the model itself */
  bool present;
} kwf_residency_t;

/* FEED: changes of a table that the platform maintains.  */
typedef struct
{
  int64_t table;    /* number that the platform client uses for the table */
  int64_t after;    /* the rows include all changes after this revision; -1:
                       they are all rows, and those that were removed */
  int64_t revision; /* up to this revision; 0: apart from that, the sender
                       knows the rows, and the platform lacks them */
  int64_t as_of_ns; /* REVISION was the newest at this time of the platform's
                       clock */
  const kwf_row_t *rows; /* value NULL: the row was removed */
  size_t n_rows;
} kwf_feed_t;

/* Whose requests a SERVER_LOADS message counts.  */
typedef enum
{
  KWF_LOAD_SCOPE_OWN = 1, /* requests of the sender */
  KWF_LOAD_SCOPE_CENTRE,  /* requests of all instances of its data centre */
  KWF_LOAD_SCOPE_FLEET    /* requests of all instances */
} kwf_load_scope_t;

typedef struct
{
  const char *server;
  int64_t open;    /* requests under way */
  int64_t reading; /* of these, requests without any data of the answer yet */
} kwf_server_load_t;

typedef struct
{
  kwf_load_scope_t scope;
  const kwf_server_load_t *loads;
  size_t n_loads;
} kwf_server_loads_t;

typedef struct
{
  const char *const *names;
  size_t n_names;
} kwf_unreachable_t;

typedef struct
{
  const char *server;
  uint64_t incarnation;
  int64_t age_ns; /* time from the reading of the server's answer to the
                     sending of this message */
  bool forwarded; /* the sender received it from another instance */
} kwf_server_leaving_t;

/* What an instance knows of a server's limit (lib/limit.h).  */
typedef struct
{
  const char *server;
  uint64_t incarnation;
  int64_t version;
  bool named;
  double rate_per_s;
  bool forwarded; /* the sender received it from another instance */
  /* How much longer the server is cold; 0: the sender does not say.  */
  int64_t cold_ns;
} kwf_server_limit_t;

/* As COLD_NS of a grant: the server is not cold as far as the sender knows. */
#define KWF_COLD_DENIED (-1)

typedef struct
{
  kwf_server_limit_t limit;
  int64_t number;        /* of the question; the grant repeats it */
  int64_t n;             /* permits wanted; 0: no answer is needed */
  int64_t patience_ns;   /* no permit is wanted that starts later */
  int64_t n_unspent;     /* permits that come back */
  int64_t n_unpermitted; /* calls that the sender made without a permit */
  int64_t answer_ns;     /* time to the first data of the sender's last answer
                            of a server that has just started; 0: none */
  int64_t answer_kind;   /* of that answer (lib/pace/ramp.h) */
} kwf_permit_ask_t;

typedef struct
{
  const char *server;
  uint64_t incarnation;
  int64_t number;
  int64_t n;
  int64_t start_ns; /* start of the first permit, after the question; negative:
                       it could have started before */
  int64_t spacing_ns; /* between two permits */
  int64_t free_ns;    /* start of the first slot that is left, after the
                         question */
  int64_t cold_ns;    /* as in kwf_server_limit_t, or KWF_COLD_DENIED */
  int64_t started;    /* 1: the ramp-up of the server is over; 0: not said */
} kwf_permit_grant_t;

/* TABLES_QUERY has the number only.  */
typedef struct
{
  int64_t number;  /* of the question; the reply repeats it */
  int64_t servers; /* revision up to which the list of backend servers is
                      known */
  int64_t own;     /* the same of the fleet's own table */
} kwf_tables_t;

typedef struct
{
  const char *instance;
  uint64_t incarnation;
  bool stranded;  /* no backend server answers it, but other instances */
  bool forwarded; /* the sender received it from another instance */
} kwf_reach_t;

typedef struct
{
  int64_t number;             /* of the question; the reply repeats it */
  int64_t age_ns;             /* answers within this time count */
  const char *const *servers; /* above all these */
  size_t n_servers;
} kwf_reach_query_t;

typedef struct
{
  int64_t number;
  const char *const *servers; /* that have answered the sender */
  size_t n_servers;
} kwf_reach_reply_t;

typedef struct
{
  kwf_message_type_t type;
  union
  {
    kwf_renew_t renew;
    kwf_renewed_t renewed;
    kwf_outage_t outage; /* OUTAGE_QUERY and OUTAGE_REPLY */
    kwf_share_request_t share_request;
    kwf_share_grant_t share_grant;
    struct
    {
      int64_t share_ack;     /* number of the grant */
      double share_returned; /* tokens of it that are sent back */
    };
    kwf_withdraw_t withdraw;
    int64_t state_after; /* revision that the sender has */
    kwf_state_rows_t state_rows;
    kwf_crash_t crash;
    const char *demand_text; /* as "demand" of kwf_renew_t */
    kwf_residency_t residency;
    kwf_feed_t feed;
    kwf_server_loads_t loads;
    int64_t leadership_expired; /* fencing token of the leadership */
    kwf_unreachable_t unreachable;
    kwf_server_leaving_t leaving;
    kwf_server_limit_t server_limit;
    kwf_permit_ask_t permit_ask;
    kwf_permit_grant_t permit_grant;
    kwf_tables_t tables; /* TABLES_QUERY and TABLES_REPLY */
    kwf_reach_t reach;
    kwf_reach_query_t reach_query;
    kwf_reach_reply_t reach_reply;
    int64_t form; /* message_form_t of net/message-form.h */
  };
} kwf_message_t;

#endif
