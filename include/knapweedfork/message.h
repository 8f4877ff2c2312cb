/* message.h - messages between entry instances.

   Strings and rows that a message points to belong to whoever made the
   message and live as long as the event or effect that carries it.  */

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
  KWF_MSG_RENEW,          /* renew my lease for me */
  KWF_MSG_RENEWED,        /* done; here are the rows changed since */
  KWF_MSG_OUTAGE_QUERY,   /* is the platform silent for you too? */
  KWF_MSG_OUTAGE_REPLY,   /* answer to SILENT_ASK */
  KWF_MSG_SHARE_REQUEST,  /* I need tokens of an organisation */
  KWF_MSG_SHARE_GRANT,    /* a share of rate, capacity and tokens */
  KWF_MSG_SHARE_ACK,      /* the share arrived */
  KWF_MSG_WITHDRAW,       /* suspend a key, or lift the suspension */
  KWF_MSG_CONFIG_REQUEST, /* send me the configuration rows you have */
  KWF_MSG_CONFIG_ROWS,    /* configuration rows */
  KWF_MSG_CRASH,          /* a request was running when a server crashed */
  KWF_MSG_DEMAND,         /* calls wait for a model that is resident nowhere */
  KWF_MSG_RESIDENCY,      /* an engine has or lacks a model or adapter now */
  KWF_MSG_FEED,           /* what the platform told of one of its tables */
  KWF_MSG_SERVER_LOADS,   /* what is under way at the engines */
  KWF_MSG_LEAVE,          /* the sender is stopping */
  KWF_MSG_LEADERSHIP_EXPIRED, /* the sender's right to a duty ended */
  KWF_MSG_UNREACHABLE,        /* instances that the sender does not reach */
  KWF_MSG_SERVER_LEAVING /* a backend server told with an answer that it leaves
                          */
} kwf_message_type_t;

/* Session row contents, as a member asks a peer to write it.  */
typedef struct
{
  uint64_t incarnation;
  int64_t counter;    /* rises by one with each renewal */
  int64_t epoch_left; /* share epoch that the member no longer uses */
  bool leaving;
  const char *caller_address; /* "IP:PORT" that callers use */
  const char *peer_address;   /* "IP:PORT" of the link listener */
  const char *data_centre;
  int64_t load;       /* requests under way, averaged over about 10 s */
  double cores;       /* processor that the member has */
  int64_t after;      /* revision up to which the member has all rows */
  const char *demand; /* JSON object of the row's members "demand" and
                         "wanted"; NULL: none */
} kwf_renew_t;

typedef struct
{
  int64_t counter;  /* of the RENEW that is answered */
  bool renewed;     /* false: the row was not written */
  int64_t revision; /* the rows are complete up to this revision */
  const kwf_row_t *rows;
  size_t n_rows;
} kwf_renewed_t;

typedef struct
{
  int64_t number; /* of the question */
  bool silent;    /* the platform is silent for the sender, and it has no
                     configuration write whose outcome is open */
} kwf_outage_t;

typedef struct
{
  int64_t epoch;
  int64_t number; /* of the question; GIVE repeats it */
  const char *organisation;
  double tokens; /* wanted; negative: the sender has no room for them, so
                    cap is wanted with them */
  bool ahead;    /* the sender is not short yet */
} kwf_share_request_t;

typedef struct
{
  int64_t epoch;
  int64_t number;
  const char *organisation;
  double rate;  /* part of the organisation's rate, 0 to 1; 0 when nothing
                   is given */
  double cap;   /* part of the organisation's burst, 0 to 1 */
  double level; /* tokens; what cap does not cover uses room of the
                   receiver */
} kwf_share_grant_t;

typedef struct
{
  const char *digest; /* hex digest of the key */
  bool lifted;        /* true: the withdrawal did not take effect */
} kwf_withdraw_t;

typedef struct
{
  int64_t revision;
  const kwf_row_t *rows;
  size_t n_rows;
} kwf_config_rows_t;

/* A CRASH message without a server tells this instead.  */
typedef enum
{
  KWF_CRASH_FINISHED = 1, /* copies finished before the crash */
  KWF_CRASH_PROVEN        /* the second crash was during its trial */
} kwf_crash_notice_t;

typedef struct
{
  uint64_t fingerprint;
  const char *server;   /* id of the backend server; "": a notice */
  uint64_t incarnation; /* of the server, or the notice */
} kwf_crash_t;

typedef struct
{
  const char *server;
  uint64_t incarnation; /* of the server */
  const char *model;
  const char *adapter; /* "": the model itself */
  bool present;
} kwf_residency_t;

/* Changes of a table that the platform keeps up itself.  */
typedef struct
{
  int64_t table;    /* number that the store's client gives it */
  int64_t after;    /* all rows that changed since this revision are here */
  int64_t revision; /* and they are complete up to this one */
  int64_t as_of_ns; /* REVISION was the newest then, by the platform's clock */
  const kwf_row_t *rows; /* value NULL: removed */
  size_t n_rows;
} kwf_feed_t;

/* Whose calls are told of.  */
typedef enum
{
  KWF_LOAD_SCOPE_OWN = 1, /* the sender's */
  KWF_LOAD_SCOPE_CENTRE,  /* those of its data centre */
  KWF_LOAD_SCOPE_FLEET    /* all */
} kwf_load_scope_t;

typedef struct
{
  const char *server;
  int64_t open;    /* calls under way */
  int64_t reading; /* of these, those without any data yet */
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
  int64_t age_ns; /* since the answer was read, at the sending */
  bool forwarded; /* on, by another instance than the one that read it */
} kwf_server_leaving_t;

typedef struct
{
  kwf_message_type_t type;
  union
  {
    kwf_renew_t renew;
    kwf_renewed_t renewed;
    kwf_outage_t outage; /* SILENT_ASK and SILENT */
    kwf_share_request_t share_request;
    kwf_share_grant_t share_grant;
    int64_t share_ack; /* number of the GIVE */
    kwf_withdraw_t withdraw;
    int64_t config_after; /* STATE_ASK: revision that the sender has */
    kwf_config_rows_t config_rows;
    kwf_crash_t crash;
    const char *demand_text; /* like demand of RENEW */
    kwf_residency_t residency;
    kwf_feed_t feed;
    kwf_server_loads_t loads;
    int64_t leadership_expired; /* token of the duty */
    kwf_unreachable_t unreachable;
    kwf_server_leaving_t leaving;
  };
} kwf_message_t;

#endif
