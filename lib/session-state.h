/* session-state.h - the internals of session_t, shared by the session's
   files.  */

#ifndef KNAPWEEDFORK_SESSION_STATE_H
#define KNAPWEEDFORK_SESSION_STATE_H

#include <glib.h>
#include <inttypes.h>

#include "rows.h"
#include "session.h"

/* Added to the lease before another instance's lease counts as expired.  */
#define SESSION_MARGIN_NS (600 * KWF_NS_PER_MS)

/* A member whose lease expired this long ago is deleted from the table.  */
#define SESSION_REMOVE_NS (600 * KWF_NS_PER_S)

/* Number of sent queries whose time of sending is kept.  */
#define SESSION_QUERIES 16

/* Another instance, known from its table row, its link, or both.  */
typedef struct
{
  char *instance;
  uint64_t incarnation;
  int64_t counter;
  int64_t epoch_left;
  char *caller_address;
  char *peer_address;
  char *data_centre;
  int64_t version;        /* version of its row; 0: no row */
  int64_t changed_ns;     /* when the counter last changed, as seen here */
  int64_t incarnation_ns; /* when this incarnation was first seen */
  int64_t expired_ns;
  int64_t load;
  double cores;
  bool hub;
  uint64_t link_incarnation;
  int64_t vote_query_ns; /* when the outage query was sent that it last
                            answered with "silent"; its vote counts for one
                            lease from then */
  int64_t refused_ns;    /* when its address refused a connection; 0: it did
                            not */
  char *link_address; /* address of the link that was requested; NULL: none */
  bool leaving;
  bool expired;
  bool linked;
  int64_t linked_ns;   /* since when, valid with LINKED */
  int64_t unlinked_ns; /* when the last link was lost; 0: there was none */
  int64_t refuses_ns;  /* since when its address has refused connections;
                          valid with refused_ns */
  bool rows_requested; /* rows were requested on the present link */
  int64_t command_revision_sent; /* command_revision when rows were last
                                    sent on this link */
  bool replied_not_silent;       /* its last answer to an outage query on this
                                    link was "not silent", however long ago;
                                    false: none */
} member_t;

/* A peer's renewal that goes into this instance's next transaction.  */
typedef struct
{
  char *instance;
  kwf_renew_t renew; /* the strings are owned */
  char *value;       /* of the row, once the transaction is sent */
} forwarded_renewal_t;

/* A RENEW message or an outage query that was sent.  */
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
  bool hub;            /* this instance is a hub (lib/hub.h) */
  bool large;          /* some members are not hubs */
  bool links_deferred; /* links wait until the fleet's size is known */
  GHashTable
      *unreachable; /* set of names: members that the hubs do not reach */
  int64_t
      unreachable_received_ns; /* when a hub last sent that set; 0: never */
  int64_t next_unreachable_ns; /* when this hub sends its list next */
  int64_t last_unreachable_ns;
  int64_t fresh_ns;
  int64_t contact_ns; /* see kwf_core_options_t */
  int64_t woken_ns;   /* first step after a pause of this process that was
                         longer than that; 0: there was none */
  int64_t lease_ns;
  int64_t renew_ns;
  const kwf_clock_t *clock;
  bool push_updates; /* the store pushes changed rows to this instance; it does
                        not read them with its renewals */

  rows_t *rows;
  int64_t revision;
  int64_t command_revision;   /* highest version of the rows that commands read
                                 or wrote */
  GPtrArray *members;         /* of member_t: the others, sorted by name */
  GPtrArray *queued_forwards; /* of forwarded_renewal_t, for the next
                                 transaction */
  GPtrArray *sent_forwards;   /* of forwarded_renewal_t, in the open
                                 transaction */

  bool fenced;
  bool had_lease;
  bool leaving;
  bool write_pending;
  int64_t epoch_left;
  double load; /* open requests, averaged up to load_ns */
  int64_t load_ns;
  session_demand_fn_t demand_fn; /* NULL: none */
  void *demand_data;
  char *demand; /* text of the last renewal */
  int64_t counter;
  int64_t lease_until_ns;
  session_state_t logged_state;

  uint64_t next_op;
  kwf_handle_t op; /* open renewal; 0: none */
  int64_t op_sent_ns;
  char *op_value; /* value of this instance's row in it */
  int64_t next_renew_ns;
  int failures;             /* renewals without an answer, in a row */
  int conflicts;            /* renewals with a conflict, in a row */
  int64_t answered_ns;      /* last answer of the table itself; 0: none */
  int64_t first_success_ns; /* first renewal after an outage; 0: none yet */
  kwf_handle_t remove_op;
  int64_t next_remove_ns;

  int64_t next_renew_to_peer_ns; /* when the next RENEW, which asks a peer to
                           renew this instance's lease, is sent */
  size_t peer_cursor; /* index in MEMBERS at which the search for that peer
                         begins */
  session_query_t
      sent_renews[SESSION_QUERIES]; /* sent RENEW messages, by counter */
  int64_t query_number;
  session_query_t
      silent_queries[SESSION_QUERIES]; /* sent outage queries, by number */
  int64_t next_outage_query_ns;
  int64_t stepped_ns; /* time of the previous step */
  int64_t began_ns;

  GArray *changes; /* of kwf_row_t: rows that changed in this step */
};

/* Opens the links that this instance should have.  */
void member_open_links (session_t *session, kwf_effects_t *effects);

/* Members.  */
member_t *member_find (const session_t *session, const char *instance);
member_t *member_find_or_add (session_t *session, const char *instance);
void member_free (void *member);

/* Applies a changed row with the prefix "session/".  */
void member_apply_row (session_t *session, const kwf_row_t *row,
                       int64_t now_ns, kwf_effects_t *effects);

/* Marks the members whose lease has expired, after the table answered a query
   that was sent at SENT_NS.  */
void member_expire_leases (session_t *session, int64_t sent_ns,
                           kwf_effects_t *effects);

/* Gives every member a full lease again, after a time without answers of the
   table.  */
void member_restart_leases (session_t *session, int64_t now_ns);

/* Deletes the table row of one member whose lease expired SESSION_REMOVE_NS
   ago.  */
void member_remove_gone (session_t *session, int64_t now_ns,
                         kwf_effects_t *effects);

/* Stores those of ROWS that are newer than the known ones and adds them to
   CHANGES.  */
void session_apply_rows (session_t *session, const kwf_row_t *rows,
                         size_t n_rows, int64_t revision, int64_t now_ns,
                         kwf_effects_t *effects, session_changes_t *changes);

/* Renewals.  */
/* Whether this instance may write its row.  Where the store pushes rows, it
   waits for the first ones.  */
bool renewal_may_begin (const session_t *session);
int64_t renewal_timeout_ns (const session_t *session);
void renewal_run (session_t *session, int64_t now_ns, kwf_effects_t *effects);
void renewal_handle_reply (session_t *session, const kwf_store_reply_t *reply,
                           int64_t now_ns, kwf_effects_t *effects,
                           session_changes_t *changes);
void renewal_handle_renew (session_t *session, const char *peer,
                           const kwf_renew_t *renew, int64_t now_ns,
                           kwf_effects_t *effects);
void renewal_handle_renewed (session_t *session, const char *peer,
                             const kwf_renewed_t *renewed, int64_t now_ns,
                             kwf_effects_t *effects,
                             session_changes_t *changes);
void forwarded_renewal_free (void *forward);

/* The outage rule.  */
bool outage_platform_is_silent (const session_t *session, int64_t now_ns);
bool outage_vote_is_unanimous (const session_t *session, int64_t now_ns);
void outage_run (session_t *session, int64_t now_ns, kwf_effects_t *effects);
void outage_handle_query (session_t *session, const char *peer, int64_t number,
                          int64_t now_ns, kwf_effects_t *effects);
void outage_handle_reply (session_t *session, const char *peer,
                          const kwf_outage_t *reply, kwf_effects_t *effects);
void outage_handle_state_request (session_t *session, const char *peer,
                                  int64_t after, kwf_effects_t *effects);

#endif
