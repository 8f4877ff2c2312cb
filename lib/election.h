/* election.h - leader election for a task that one instance does at a time,
   such as sending orders to model engines.

   The leader is recorded in the table row duty/NAME.  The row's version is the
   fencing token: each new leader has a higher one.  If the leader doesn't
   respond, another instance replaces it, and first waits until all orders that
   the old leader may have sent have arrived.

   Servers that check the token refuse orders of a replaced leader.  For
   servers that don't (kwf_placement_options_t.fencing_unchecked) the leader
   needs a lease.  It renews the lease by reading its row: each read that shows
   the row unchanged extends the lease to half of lease_ns after the read was
   sent.  A successor waits for lease_ns and that half.  A leader whose lease
   expired notifies the other instances, which then replace it.  While no
   instance reaches the table there is no leader.  */

#ifndef KNAPWEEDFORK_ELECTION_H
#define KNAPWEEDFORK_ELECTION_H

#include "session.h"

typedef struct election election_t;

/* Create an election for the row duty/NAME.  OPTIONS->placement has lease_ns
   and says whether servers check the token.  */
election_t *election_new (const kwf_core_options_t *options, const char *name);
void election_free (election_t *election);

/* Handle changed rows, replies of the table, messages and ticks.  If there is
   no live leader, write this instance into the row when its turn comes.  As
   the leader, renew the lease, or resign if this instance is no hub
   (lib/hub.h) any more.  */
void election_step (election_t *election, session_t *session,
                    const kwf_event_t *event, const session_changes_t *changes,
                    kwf_effects_t *effects);

/* Return the fencing token if this instance may act as the leader now, else
   0.  */
int64_t election_token (const election_t *election);

/* Return the time in nanoseconds at which the leader's lease ends if it isn't
   renewed; 0: no lease yet; INT64_MAX: no lease is needed.  */
int64_t election_lease_end_ns (const election_t *election);

/* Return the instance that is the leader; NULL: none is known.  */
const char *election_leader (const election_t *election);

/* Handle a server's refusal of this instance's token: it has seen a higher
   one.  This instance doesn't act as the leader any more.  */
void election_handle_token_refusal (election_t *election,
                                    kwf_effects_t *effects);

/* Set whether this instance can do the task.  If it can't, it resigns, and is
   no candidate.  At first it can.  */
void election_set_able (election_t *election, bool able);

/* Give up the leadership, because this instance is stopping.  */
void election_resign (election_t *election, kwf_effects_t *effects);

int64_t election_next_tick_ns (const election_t *election);

#endif
