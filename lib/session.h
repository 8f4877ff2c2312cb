/* session.h - the authority of this instance to act.

   Renews the lease with one table transaction each renewal period, through
   a peer when the platform does not answer, and applies the rule for an
   outage of the whole platform (docs/design.md section 4).  The answers
   also carry every row that changed; they are handed on as news.  */

#ifndef KNAPWEEDFORK_SESSION_H
#define KNAPWEEDFORK_SESSION_H

#include <stdbool.h>

#include <knapweedfork/core.h>

typedef struct session session_t;

typedef enum
{
  SESSION_NONE,   /* never had a lease: not yet a first fresh state */
  SESSION_VALID,  /* lease renewed, directly or through a peer */
  SESSION_OUTAGE, /* the whole platform is silent and all members agree */
  SESSION_EXPIRED /* may not act */
} session_state_t;

/* Rows that changed, complete up to REVISION.  Valid during the step.  */
typedef struct
{
  bool fresh; /* something arrived; the rest is meaningful */
  int64_t revision;
  const kwf_row_t *rows;
  size_t n_rows;
} session_changes_t;

/* A member of the fleet as known from its session row.  */
typedef struct
{
  const char *instance;
  uint64_t incarnation;
  int64_t epoch_left;
  bool leaving;
  bool expired; /* counter unchanged for lease plus margin, seen while this
                   instance had answers from the table itself */
  bool linked;  /* an authenticated link is up */
  const char *caller_address;
  const char *peer_address;
  const char *data_centre;
  bool fresh;   /* its last renewal was seen within the lease */
  bool hub;     /* has links to all (lib/hub.h) */
  int64_t load; /* requests under way, averaged over about 10 s */
} session_member_t;

session_t *session_new (const kwf_core_options_t *options);
void session_free (session_t *session);

/* Take EVENT; ignore what is not for the session.  Return true when the
   event was the session's alone (its store replies, RENEW, RENEWED,
   SILENT_ASK, SILENT, STATE_ASK, STATE).  */
bool session_step (session_t *session, const kwf_event_t *event,
                   kwf_effects_t *effects, session_changes_t *news);

/* Whether this instance may act now; reads the clock.  */
session_state_t session_state (const session_t *session);
bool session_may_act (const session_t *session);

/* Epoch of shares that this instance no longer uses; sent with the next
   renewal.  */
void session_set_epoch_left (session_t *session, int64_t epoch);

/* Renew earlier than due, at most four times a renewal period.  */
void session_renew_soon (session_t *session);

/* N requests are under way; the average goes into this instance's row.  */
void session_record_load (session_t *session, size_t n);
/* Where the members "demand" and "wanted" of this instance's row come from;
   the text is freed with g_free.  */
typedef char *(*session_demand_fn_t) (void *data);
void session_set_demand (session_t *session, session_demand_fn_t fn,
                         void *data);

/* Mark this instance as leaving in its row; where rows are renewed seldom,
   the others are told as well.  */
void session_set_leaving (session_t *session, kwf_effects_t *effects);

/* While OPEN, SILENT_ASK is answered with "not silent": a configuration
   write that not every member has confirmed has an open outcome.  */
void session_set_write_pending (session_t *session, bool open);

/* Keep ROWS that a command has learnt from the table before the next
   renewal reads them.  STATE carries them, so that a peer that gets this
   instance's vote knows them too.  */
void session_keep_rows (session_t *session, const kwf_row_t *rows,
                        size_t n_rows);

/* Whether reclaiming is allowed: a full lease has passed since this
   instance's first successful transaction after its last outage.  */
bool session_may_reclaim (const session_t *session);

/* Whether INCARNATION of INSTANCE can no longer hold a lease, judged from
   answers of the table.  When this holds only as long as the instance's row
   stays as it is, *VERSION is the version of that row, else -1.  */
bool session_lease_is_over (const session_t *session, const char *instance,
                            uint64_t incarnation, int64_t *version);

/* Whether the process of INCARNATION sends nothing more: another one took its
   place, its row was removed, or its lease is over and its address refuses
   connections.  */
bool session_process_ended (const session_t *session, const char *instance,
                            uint64_t incarnation);

/* Append a message to PEER and return it, to be filled.  */
kwf_message_t *session_send (const char *peer, kwf_message_type_t type,
                             kwf_effects_t *effects);

/* Whether MEMBER is there, as far as this instance can tell: its lease is
   valid, or, where leases are long because nothing is polled, its link is
   up.  */
bool session_member_live (const session_t *session,
                          const session_member_t *member);

/* Whether the row of this process of INSTANCE is known.  */
bool session_knows (const session_t *session, const char *instance,
                    uint64_t incarnation);

/* Where session_next_member starts for members other than this instance.  */
#define SESSION_OTHERS ((size_t)1)

/* Put the next member of the last known list in MEMBER; false: there is no
   more.  *AT is 0 before the first, which is this instance.  The others follow
   by name.  */
bool session_next_member (const session_t *session, size_t *at,
                          session_member_t *member);

/* Revision up to which all rows are known; 0 before the first.  */
int64_t session_revision (const session_t *session);

/* Whether some instances have links to the hubs only.  */
bool session_is_large (const session_t *session);

/* Whether INSTANCE has links to all.  */
bool session_is_hub (const session_t *session, const char *instance);

/* Time in nanoseconds in which a change of the platform's tables must be in
   force.  */
/* Time in which a change of the platform's tables is in force; unless the
   options tell, two seconds.  */
#define SESSION_FRESH_NS (2 * KWF_NS_PER_S)
int64_t session_fresh_ns (const session_t *session);

/* Time in nanoseconds since the session was made.  */
int64_t session_age_ns (const session_t *session);

/* Latest time at which a KWF_EV_TICK is needed.  */
int64_t session_deadline_ns (const session_t *session);

#endif
