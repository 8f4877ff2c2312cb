/* session.h - the lease of this instance and the membership of the fleet.

   An instance serves requests only while its lease is valid.  It renews the
   lease with one table transaction in each renewal period, through a peer when
   the platform does not answer, and follows the rule for an outage of the
   whole platform (docs/design.md section 4).  The answers to renewals also
   bring every row that changed; the other modules get these rows from
   session_step.  */

#ifndef KNAPWEEDFORK_SESSION_H
#define KNAPWEEDFORK_SESSION_H

#include <stdbool.h>

#include <knapweedfork/core.h>

typedef struct session session_t;

typedef enum
{
  SESSION_NONE,   /* no lease so far: the table has not been read yet */
  SESSION_VALID,  /* the lease was renewed, directly or through a peer */
  SESSION_OUTAGE, /* no member gets answers from the platform; all act without
                     a lease */
  SESSION_EXPIRED /* the lease is over; this instance may not act */
} session_state_t;

/* Rows that changed, complete up to REVISION.  Valid during the step.  */
typedef struct
{
  bool fresh; /* rows arrived in this step, and the other fields are set; says
                 nothing of their age */
  int64_t revision;
  const kwf_row_t *rows;
  size_t n_rows;
} session_changes_t;

/* A member of the fleet, as known from its session row.  */
typedef struct
{
  const char *instance;
  uint64_t incarnation;
  int64_t epoch_left;
  bool leaving;
  bool expired;      /* its counter has not changed for a lease plus a margin,
                        during which this instance had answers from the table
                        itself */
  bool linked;       /* an authenticated link to it is up */
  int64_t linked_ns; /* since when it has been; valid with LINKED */
  /* Valid without LINKED: when the last link was lost, and since when its
     address has refused connections.  0: there was none, it does not.  */
  int64_t unlinked_ns;
  int64_t refuses_ns;
  const char *caller_address;
  const char *peer_address;
  const char *data_centre;
  bool fresh;      /* its last renewal was seen within one lease */
  bool hub;        /* has links to all instances (lib/hub.h) */
  int64_t load;    /* open requests, averaged over about 10 s */
  int64_t version; /* of its row; 0 for this instance */
} session_member_t;

/* Value of epoch_left of a process that is stopping and has given up its
   shares for good (lib/rates/give-up.c).  Greater than every epoch.  */
#define SESSION_LEFT_ALL_EPOCHS (INT64_MAX / 2 + 1)

session_t *session_new (const kwf_core_options_t *options);
void session_free (session_t *session);

/* Handles EVENT if it is for the session, and collects the changed rows in
   CHANGES.  Returns true if no other module needs the event (replies to its
   transactions; messages on renewals, outages and rows).  */
bool session_step (session_t *session, const kwf_event_t *event,
                   kwf_effects_t *effects, session_changes_t *changes);

/* session_state returns the state at this moment. session_may_act says whether
   this instance may serve requests and use its shares and claims: in
   SESSION_VALID and SESSION_OUTAGE.  Both read the clock.  */
session_state_t session_state (const session_t *session);
bool session_may_act (const session_t *session);

/* Sets the newest share epoch that this instance no longer uses.  The next
   renewal writes it into the session row.  */
void session_set_epoch_left (session_t *session, int64_t epoch);

/* Renews earlier than due, at most four times in a renewal period.  */
void session_renew_soon (session_t *session);

/* N requests are open.  Their average goes into this instance's row.  */
void session_record_load (session_t *session, size_t n);
/* Sets the function that returns the members "demand" and "wanted" of this
   instance's row as JSON text, which is freed with g_free.  */
typedef char *(*session_demand_fn_t) (void *data);
void session_set_demand (session_t *session, session_demand_fn_t fn,
                         void *data);

/* Marks this instance as leaving (it has begun to stop) in its row.  Where the
   store pushes rows, renewals are rare, so it also sends LEAVE to all linked
   instances.  */
void session_set_leaving (session_t *session, kwf_effects_t *effects);

/* While OPEN is true, outage queries are answered with "not silent": the
   outcome of a configuration write that not every member has confirmed is
   unknown.  */
void session_set_write_pending (session_t *session, bool open);

/* Adds ROWS, which a command read from the table before the next renewal does.
   They are sent to peers with the other rows, so that a peer that gets this
   instance's vote knows them too.  */
void session_keep_rows (session_t *session, const kwf_row_t *rows,
                        size_t n_rows);

/* Whether this instance may reclaim what dead instances held: a full lease has
   passed since its first successful transaction after its last outage.  */
bool session_may_reclaim (const session_t *session);

/* Whether INCARNATION of INSTANCE can no longer hold a lease, according to
   answers of the table. *VERSION is the version of the instance's row if the
   result holds only while that row is unchanged, else -1.  */
bool session_lease_is_over (const session_t *session, const char *instance,
                            uint64_t incarnation, int64_t *version);

/* Whether the process INCARNATION of INSTANCE sends nothing more: it was
   replaced, its row was deleted, or its lease has expired and its address
   refuses connections.  */
bool session_process_ended (const session_t *session, const char *instance,
                            uint64_t incarnation);

/* Appends a message of TYPE to PEER to EFFECTS and returns it.  The caller
   fills it in.  */
kwf_message_t *session_send (const char *peer, kwf_message_type_t type,
                             kwf_effects_t *effects);

/* Whether MEMBER is live as far as this instance can see; true for this
   instance itself, also without a lease.  Where the store pushes rows, leases
   are long: MEMBER is then live if its link is up or, if neither it nor this
   instance is a hub, unless the hubs' last list names it as unreachable
   (lib/hub.h).  Otherwise it is live until its lease expires.  */
bool session_member_live (const session_t *session,
                          const session_member_t *member);

/* Whether MEMBER was reached, by this instance or by a hub, so lately that
   callers may be directed to it: an instance that ended longer than contact_ns
   and 3 s ago was not.  Without contact_ns the same as session_member_live. */
bool session_member_reached (const session_t *session,
                             const session_member_t *member);

/* Whether the row of process INCARNATION of INSTANCE, another instance, is
   known.  */
bool session_knows (const session_t *session, const char *instance,
                    uint64_t incarnation);

/* Value of *AT with which session_next_member skips this instance.  */
#define SESSION_OTHERS ((size_t)1)

/* Puts the next member into MEMBER; false: there are no more.  With *AT = 0
   the first one is this instance.  The others follow, sorted by name.  */
bool session_next_member (const session_t *session, size_t *at,
                          session_member_t *member);

/* The number of members, this instance included.  */
size_t session_count_members (const session_t *session);

/* Revision up to which all rows are known; 0 before the first rows.  */
int64_t session_revision (const session_t *session);

/* Whether some instances are not hubs, so that they have links to the hubs
   only.  */
bool session_is_large (const session_t *session);

/* Whether INSTANCE has links to all others.  */
bool session_is_hub (const session_t *session, const char *instance);

/* Time in nanoseconds within which a change of the platform's tables must be
   in force.  SESSION_FRESH_NS is the default of the option fresh_ns.  */
#define SESSION_FRESH_NS (2 * KWF_NS_PER_S)
int64_t session_fresh_ns (const session_t *session);

/* Time in nanoseconds since session_new.  */
int64_t session_age_ns (const session_t *session);

/* Time by which the next KWF_EV_TICK must come; INT64_MAX: none is needed.  */
int64_t session_next_tick_ns (const session_t *session);

#endif
