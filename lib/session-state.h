/* session-state.h - the parts of a session, shared by its files.  */

#ifndef KNAPWEEDFORK_SESSION_STATE_H
#define KNAPWEEDFORK_SESSION_STATE_H

#include <glib.h>
#include <inttypes.h>

#include "rows.h"
#include "session.h"

/* Added to the lease when the lease of another instance is judged.  */
#define SESSION_MARGIN_NS (600 * KWF_NS_PER_MS)

/* A member that is gone for this long is removed from the table.  */
#define SESSION_REMOVE_NS (600 * KWF_NS_PER_S)

/* Questions whose time of sending is remembered.  */
#define SESSION_QUERIES 16

/* Another instance.  It may be known from its row, its link, or both.  */
typedef struct
{
  char *instance;
  uint64_t incarnation;
  int64_t counter;
  int64_t epoch_left;
  char *caller_address;
  char *peer_address;
  char *data_centre;
  int64_t version;        /* of its row; 0: no row */
  int64_t changed_ns;     /* when the last change of the counter was seen */
  int64_t incarnation_ns; /* when this incarnation was first seen */
  int64_t expired_ns;
  int64_t load;
  double cores;
  bool hub;
  uint64_t link_incarnation;
  int64_t vote_ns;    /* sending of the question it answered "silent" */
  int64_t refused_ns; /* when its address refused a connection; 0: never */
  char *link_address; /* of KWF_FX_PEER_LINK; NULL: not linked to */
  bool leaving;
  bool expired;
  bool linked;
  bool state_asked;              /* on the present link */
  int64_t command_revision_sent; /* session->ahead when STATE was last sent;
                                    per link */
  bool reaches_platform;         /* its last answer was "not silent" */
} member_t;

/* A peer's row that goes into the next transaction.  */
typedef struct
{
  char *instance;
  kwf_renew_t renew; /* strings are owned */
  char *value;       /* of the row, once it is in a transaction */
} forwarded_renewal_t;

typedef struct
{
  int64_t number;
  int64_t sent_ns;
} session_query_t;

struct session
{
  char *instance;
  uint64_t incarnation;
  char *caller_address;
  char *peer_address;
  char *data_centre;
  double cores;
  bool hub;                        /* this instance is one (lib/hub.h) */
  bool large;                      /* not all instances are hubs */
  bool links_deferred;             /* links wait until the fleet is known */
  GHashTable *unreachable;         /* set: members that hubs do not reach */
  int64_t unreachable_received_ns; /* when they told it; 0: never */
  int64_t next_unreachable_ns;     /* a hub tells it then */
  int64_t last_unreachable_ns;
  int64_t fresh_ns;
  int64_t lease_ns;
  int64_t renew_ns;
  const kwf_clock_t *clock;
  bool push_updates; /* rows come unasked */

  rows_t *rows;
  int64_t revision;
  int64_t ahead;      /* highest version of the rows learnt by commands */
  GPtrArray *members; /* of member_t, others only, sorted by instance */
  GPtrArray
      *queued_forwards; /* of forwarded_renewal_t, for the next transaction */
  GPtrArray *
      sent_forwards; /* of forwarded_renewal_t, in the transaction under way */

  bool fenced;
  bool had_lease;
  bool leaving;
  bool write_pending;
  int64_t epoch_left;
  double load; /* requests under way, averaged up to load_ns */
  int64_t load_ns;
  session_demand_fn_t demand_fn; /* NULL: none */
  void *demand_data;
  char *demand; /* of the last renewal */
  int64_t counter;
  int64_t lease_until_ns;
  session_state_t logged_state;

  uint64_t next_op;
  kwf_handle_t op; /* renewal under way; 0: none */
  int64_t op_sent_ns;
  char *op_value; /* of the own row in it */
  int64_t next_renew_ns;
  int failures;             /* renewals without an answer in a row */
  int conflicts;            /* conflicts in a row */
  int64_t answered_ns;      /* last answer of the table itself; 0: none */
  int64_t first_success_ns; /* first after an outage; 0: none yet */
  kwf_handle_t remove_op;
  int64_t next_remove_ns;

  int64_t next_peer_ns; /* next RENEW to a peer */
  size_t next_peer;
  session_query_t renewals[SESSION_QUERIES]; /* RENEW, by counter */
  int64_t silent_number;
  session_query_t silent_queries[SESSION_QUERIES]; /* SILENT_ASK, by number */
  int64_t next_round_ns;
  int64_t stepped_ns; /* time of the step before this one */
  int64_t began_ns;

  GArray *news; /* of kwf_row_t */
};

/* Open the links that this instance should have.  */
void member_open_links (session_t *session, kwf_effects_t *effects);

/* Members.  */
member_t *member_find (const session_t *session, const char *instance);
member_t *member_find_or_add (session_t *session, const char *instance);
void member_free (void *member);

/* Take a changed row under session/.  */
void member_apply_row (session_t *session, const kwf_row_t *row,
                       int64_t now_ns, kwf_effects_t *effects);

/* Judge leases after an answer of the table to a question of SENT_NS.  */
void member_expire_leases (session_t *session, int64_t sent_ns,
                           kwf_effects_t *effects);

/* Start to count anew after a time without answers of the table.  */
void member_restart_leases (session_t *session, int64_t now_ns);

/* Remove a member from the table that is gone for good.  */
void member_remove_gone (session_t *session, int64_t now_ns,
                         kwf_effects_t *effects);

/* Rows: take what is newer, hand it on as news.  */
void session_apply_rows (session_t *session, const kwf_row_t *rows,
                         size_t n_rows, int64_t revision, int64_t now_ns,
                         kwf_effects_t *effects, session_changes_t *news);

/* Renewals.  */
/* Whether the own row may be written: where rows come unasked, not before the
   first have come.  */
bool renewal_may_begin (const session_t *session);
int64_t renewal_timeout_ns (const session_t *session);
void renewal_run (session_t *session, int64_t now_ns, kwf_effects_t *effects);
void renewal_handle_reply (session_t *session, const kwf_store_reply_t *reply,
                           int64_t now_ns, kwf_effects_t *effects,
                           session_changes_t *news);
void renewal_handle_renew (session_t *session, const char *peer,
                           const kwf_renew_t *renew, int64_t now_ns,
                           kwf_effects_t *effects);
void renewal_handle_renewed (session_t *session, const char *peer,
                             const kwf_renewed_t *renewed, int64_t now_ns,
                             kwf_effects_t *effects, session_changes_t *news);
void forwarded_renewal_free (void *relay);

/* Outage rule.  */
bool outage_platform_is_silent (const session_t *session, int64_t now_ns);
bool outage_vote_is_unanimous (const session_t *session, int64_t now_ns);
void outage_run (session_t *session, int64_t now_ns, kwf_effects_t *effects);
void outage_handle_query (session_t *session, const char *peer, int64_t number,
                          int64_t now_ns, kwf_effects_t *effects);
void outage_handle_reply (session_t *session, const char *peer,
                          const kwf_outage_t *silent, kwf_effects_t *effects);
void outage_handle_config_request (session_t *session, const char *peer,
                                   int64_t after, kwf_effects_t *effects);

#endif
