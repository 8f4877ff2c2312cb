/* crash.h - containment of requests that crash backend servers (docs/design.md
   section 7).

   Equal requests of one organisation have the same fingerprint.  A fingerprint
   becomes a suspect when a server crashed that ran a request with it.  A
   suspect may run once more, alone on the other candidate server: its trial.
   If that server crashes too, the fingerprint is quarantined: requests with it
   are refused.

   Where the platform's rows are pushed there are no trials, and the parts of a
   prompt that requests share are counted like fingerprints; both are features
   of a request.  lib/crash-verdict.c tells which one is the cause.  */

#ifndef KNAPWEEDFORK_CRASH_H
#define KNAPWEEDFORK_CRASH_H

#include <stdbool.h>

#include <knapweedfork/core.h>

#include "session.h"

typedef struct crash crash_t;

typedef enum
{
  CRASH_CLEAR,
  CRASH_SUSPECT,    /* may run only as a trial */
  CRASH_TRIAL,      /* a request with it is on trial: wait until that ends */
  CRASH_QUARANTINED /* crashed several servers: never run */
} crash_state_t;

typedef struct
{
  kwf_handle_t request;
  uint64_t fingerprint;
  bool granted;
  bool wait; /* if not granted: because of another trial, or because the
                fingerprint is no suspect (any more): ask again */
} crash_result_t;

/* What may become of a request, where there are no trials of
   fingerprints.  */
typedef enum
{
  CRASH_SEND,
  CRASH_TRY,    /* ask for a trial first */
  CRASH_RETURN, /* not now: it is not sure that the feature is the cause */
  CRASH_REFUSE  /* never: a feature of it crashes servers */
} crash_verdict_t;

typedef struct
{
  crash_verdict_t verdict;
  uint64_t feature;  /* the one that stands against the request */
  int64_t return_ns; /* CRASH_RETURN: when to come back, in nanoseconds from
                        now */
} crash_advice_t;

crash_t *crash_new (const kwf_core_options_t *options);
void crash_free (crash_t *crash);

/* Crashes are counted by features: the fingerprint of a request, and the parts
   of its prompt.  crash_fingerprint returns that of a request with HASH,
   crash_part the feature of the part ID, and crash_part_id its id again.  */
uint64_t crash_fingerprint (uint64_t hash);
uint64_t crash_part (uint64_t id);
bool crash_is_part (uint64_t feature);
uint64_t crash_part_id (uint64_t feature);

/* CRASH_CLEAR where there are no trials of fingerprints: see crash_advise.  */
crash_state_t crash_state (crash_t *crash, uint64_t fingerprint);

/* Whether it is not proven that FINGERPRINT, which is quarantined, caused the
   crashes: it may only have run beside the cause.  A peer may know that
   requests with it finished before.  */
bool crash_is_unproven (const crash_t *crash, uint64_t fingerprint);

/* A trial of a part is over after this time, whether its end is known or
   not.  */
#define CRASH_PART_TRIAL_NS (5 * KWF_NS_PER_S)

/* Whether FEATURE is held to crash servers.  */
bool crash_is_held (const crash_t *crash, uint64_t feature);

/* FEATURE as text for the log.  */
const char *crash_feature_name (kwf_effects_t *effects, uint64_t feature);

/* What is to become of a request with N FEATURES; CRASH_SEND where there are
   trials of fingerprints.  */
crash_advice_t crash_advise (const crash_t *crash, const uint64_t *features,
                             size_t n);

/* Ask the platform's table whether REQUEST may be the one that is sent to see
   whether its FEATURE crashes servers; crash_take_results returns the
   result.  */
void crash_ask_for_part_trial (crash_t *crash, uint64_t feature,
                               kwf_handle_t request, kwf_effects_t *effects);
/* SERVER broke off the run of REQUEST: its trial, if it has one, ends when it
   turns out that the server crashed.  */
void crash_part_trial_broke (crash_t *crash, kwf_handle_t request,
                             const char *server, uint64_t incarnation);
/* The run of REQUEST has ended, or its answer has cleared its parts.  */
void crash_part_trial_ended (crash_t *crash, kwf_handle_t request,
                             kwf_effects_t *effects);

/* Id of the server, number I from 0, that crashed while it ran FINGERPRINT;
   NULL: there is none.  */
const char *crash_lost_server (const crash_t *crash, uint64_t fingerprint,
                               int i);

/* The connection of a request with FINGERPRINT to SERVER ended: it broke
   (BROKEN) or this instance closed it.  The fingerprint becomes a suspect if a
   load report shows that the server crashed.  INCARNATION 0: unknown.  */
void crash_connection_ended (crash_t *crash, uint64_t fingerprint,
                             const char *server, uint64_t incarnation,
                             bool broken);

/* Handle a load report of SERVER.  VALID: a report arrived; REFUSED: the
   address refuses connections; FRESH: the report was requested after the last
   crash_connection_ended.  */
void crash_handle_report (crash_t *crash, const session_t *session,
                          const char *server, bool valid, bool refused,
                          bool fresh, uint64_t incarnation,
                          kwf_effects_t *effects);

/* Ask the platform's table for a trial of FINGERPRINT on SERVER that lasts
   until UNTIL_NS at most; crash_take_results returns the result.  */
void crash_ask_for_trial (crash_t *crash, uint64_t fingerprint,
                          const char *server, uint64_t incarnation,
                          kwf_handle_t request, int64_t until_ns,
                          kwf_effects_t *effects);

/* Server of this instance's own trial of FINGERPRINT; "" when there is
   none.  */
const char *crash_trial_server (const crash_t *crash, uint64_t fingerprint);

/* The trial ended.  FINISHED: with a complete answer, which clears the
   fingerprint.  */
void crash_trial_ended (crash_t *crash, uint64_t fingerprint, bool finished,
                        kwf_effects_t *effects);

/* A request with FINGERPRINT has finished.  This clears a suspect.  It is also
   remembered: of several fingerprints that ran on the same two servers when
   these crashed, those that finished before are not the cause.  */
void crash_request_finished (crash_t *crash, const session_t *session,
                             uint64_t fingerprint, kwf_effects_t *effects);

/* Handle store replies, KWF_MSG_CRASH, ticks, and the rows of crash/ and
   trial/ in CHANGES.  Return true when no other module needs the event.  */
bool crash_step (crash_t *crash, const session_t *session,
                 const kwf_event_t *event, const session_changes_t *changes,
                 kwf_effects_t *effects);

const crash_result_t *crash_take_results (crash_t *crash, size_t *count);

/* Number of verdicts so far that a feature is the cause of crashes.  */
uint64_t crash_verdicts (const crash_t *crash);

/* Increases with each change by which a request may be sent, or may not be
   sent any more.  */
uint64_t crash_generation (const crash_t *crash);

/* Numbers of suspects and of quarantined fingerprints, for the status
   page.  */
void crash_counts (const crash_t *crash, size_t *suspects,
                   size_t *quarantined);

int64_t crash_next_tick_ns (const crash_t *crash);

#endif
