/* permit.h - the limits of backend servers, kept by the whole fleet.

   An instance that reads a limit, a change of it or its end tells all others.
   From then on each call to the server needs a permit of the limit's owner:
   the live instance, among those with links to all others, that rendezvous
   hashing chooses for the server.  Each instance finds the owner in its own
   view of the members.  An owner grants the part of the limit that its view
   has of all members, so that two groups without a link between them keep the
   limit together.  Its state is one time and dies with it: a new owner grants
   nothing at first, and permits of the old one that have not started are
   dropped.

   lib/limit.h has the state of one server's limit.  */

#ifndef KNAPWEEDFORK_PERMIT_H
#define KNAPWEEDFORK_PERMIT_H

#include "backend.h"
#include "session.h"

typedef struct permits permits_t;

permits_t *permits_new (const kwf_core_options_t *options);
void permits_free (permits_t *permits);

/* SERVER gave an answer (KWF_EV_NOTICE); ASKED_NS: when its request was
   sent.  */
void permits_handle_notice (permits_t *permits, const session_t *session,
                            server_t *server, const kwf_notice_event_t *event,
                            int64_t asked_ns, kwf_effects_t *effects);

/* Handles messages about limits and permits, and what changes the view of the
   members.  */
void permits_step (permits_t *permits, const session_t *session,
                   const backend_t *backend, const kwf_event_t *event,
                   kwf_effects_t *effects);

/* Whether any server's limit is in force here.  */
bool permits_active (const permits_t *permits);
/* A limit has come into force that no answer named.  */
void permits_attend (permits_t *permits, int64_t now_ns);
/* Tell all others what is known of SERVER's limit.  */
void permits_tell_peers (const permits_t *permits, const session_t *session,
                         const server_t *server, kwf_effects_t *effects);

typedef struct
{
  bool usable; /* requests that wait for a server may be sent: its RECHECK is
                  set */
  bool denied; /* some requests may not get a permit in time */
} permits_result_t;

/* Asks for the permits that are wanted and sends back those that were not
   spent.  */
permits_result_t permits_run (permits_t *permits, const session_t *session,
                              const backend_t *backend,
                              kwf_effects_t *effects);
int64_t permits_next_tick_ns (const permits_t *permits);

/* Number of live members, this instance included.  */
int permits_n_live (const permits_t *permits);

/* The owner of SERVER's limit in this instance's view; "": none.  */
const char *permits_owner (const session_t *session, const server_t *server);

/* What other instances are told of SERVER's limit.  */
kwf_server_limit_t permits_describe (const server_t *server, int64_t now_ns,
                                     kwf_effects_t *effects);
/* How much longer SERVER is cold; KWF_COLD_DENIED: it is not; 0: that is not
   known.  */
int64_t permits_describe_cold (const server_t *server, int64_t now_ns);
/* Whether there is a limit that an answer or an entry told of.  */
bool permits_is_told (const server_t *server, int64_t now_ns);

/* Append counters in the Prometheus text format.  */
void permits_write_metrics (const permits_t *permits, GString *out);

#endif
