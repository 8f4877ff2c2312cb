/* duty.h - a duty that one instance has at a time, such as giving orders to
   model engines.

   The holder is a row of the table.  Its version is the fencing token: each
   new holder has a higher one.  A holder that does not answer is replaced;
   its successor first waits until orders that it may still have sent have
   arrived.

   Servers that check the token refuse a holder that was replaced.  Where they
   do not, the right to act is a lease: it ends half of lease_ns after the
   sending of the last question that the table answered with the row
   unchanged, and a successor waits for that half and lease_ns.  A holder
   whose lease ended tells the others, which then replace it.  While nobody
   reaches the table nobody acts.  */

#ifndef KNAPWEEDFORK_DUTY_H
#define KNAPWEEDFORK_DUTY_H

#include "session.h"

typedef struct duty election_t;

/* NAME names the row.  OPTIONS->placement tells lease_ns and whether servers
   check the token.  */
election_t *election_new (const kwf_core_options_t *options, const char *name);
void election_free (election_t *duty);

/* Take rows, answers of the table and ticks.  */
void election_step (election_t *duty, session_t *session,
                    const kwf_event_t *event, const session_changes_t *news,
                    kwf_effects_t *effects);

/* Fencing token of this instance; 0: it may not act.  */
int64_t election_token (const election_t *duty);

/* Time in nanoseconds at which the right to act ends unless it is proved
   again; INT64_MAX: it has no end of its own.  */
int64_t election_lease_end_ns (const election_t *duty);

/* The instance that holds the duty; NULL: none that is known.  */
const char *election_leader (const election_t *duty);

/* A server has seen a higher token than this instance's.  */
void election_token_refused (election_t *duty, kwf_effects_t *effects);

/* This instance is stopping: let go of the duty.  */
void election_resign (election_t *duty, kwf_effects_t *effects);

int64_t election_deadline_ns (const election_t *duty);

#endif
