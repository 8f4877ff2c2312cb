/* crash.h - containment of requests that crash backend servers
   (docs/design.md section 7).

   A fingerprint names the copies of one request.  It becomes a suspect when
   a server on which it ran crashed; it may then be tried once more, alone,
   on its other candidate, and is quarantined when that server crashes
   too.  */

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
  CRASH_TRIAL,      /* a copy is on trial: wait */
  CRASH_QUARANTINED /* costs servers: never run */
} crash_state_t;

typedef struct
{
  kwf_handle_t request;
  uint64_t fingerprint;
  bool granted;
  bool wait; /* not granted: another trial is in the way; ask again */
} crash_result_t;

crash_t *crash_new (const kwf_core_options_t *options);
void crash_free (crash_t *crash);

uint64_t crash_fingerprint (const char *organisation, uint64_t fingerprint);

crash_state_t crash_state (crash_t *crash, uint64_t fingerprint);

/* Whether a quarantined FINGERPRINT may have run beside the cause only; a
   peer may know that copies of it have finished before.  */
bool crash_is_unproven (const crash_t *crash, uint64_t fingerprint);

/* Id of the Ith server that was lost to FINGERPRINT, or NULL.  */
const char *crash_lost_server (const crash_t *crash, uint64_t fingerprint,
                               int i);

/* A request with FINGERPRINT ran on SERVER when its connection broke
   (BROKEN) or was closed by us.  It becomes a suspect when the server turns
   out to have crashed.  INCARNATION 0 is unknown.  */
void crash_connection_ended (crash_t *crash, uint64_t fingerprint,
                             const char *server, uint64_t incarnation,
                             bool broken);

/* A load report of SERVER: REFUSED tells that its address refuses
   connections; FRESH that it was asked for after the last
   crash_connection_ended.  */
void crash_handle_report (crash_t *crash, const session_t *session,
                          const char *server, bool valid, bool refused,
                          bool fresh, uint64_t incarnation,
                          kwf_effects_t *effects);

/* Ask the table for the right to try FINGERPRINT on SERVER; the verdict
   comes with crash_take_results.  */
void crash_request_trial (crash_t *crash, uint64_t fingerprint,
                          const char *server, uint64_t incarnation,
                          kwf_handle_t request, int64_t until_ns,
                          kwf_effects_t *effects);

/* Server of the own trial of FINGERPRINT; "" when there is none.  */
const char *crash_trial_server (const crash_t *crash, uint64_t fingerprint);

/* The trial ended.  FINISHED: with a complete answer, which clears the
   fingerprint.  */
void crash_trial_ended (crash_t *crash, uint64_t fingerprint, bool finished,
                        kwf_effects_t *effects);

/* A copy of FINGERPRINT has finished.  This clears a suspect, and is kept
   in mind: of several fingerprints that lost the same two servers, those
   that have finished before are not the cause.  */
void crash_request_finished (crash_t *crash, uint64_t fingerprint,
                             kwf_effects_t *effects);

/* Take store replies, CRASH messages, ticks, and rows of crash/ in NEWS.
   Return true when the event was the crash module's alone.  */
bool crash_step (crash_t *crash, const session_t *session,
                 const kwf_event_t *event, const session_changes_t *news,
                 kwf_effects_t *effects);

const crash_result_t *crash_take_results (crash_t *crash, size_t *count);

/* Rises with each change of any fingerprint's state.  */
uint64_t crash_generation (const crash_t *crash);

/* Suspects and quarantined fingerprints, for the status page.  */
void crash_counts (const crash_t *crash, size_t *suspects,
                   size_t *quarantined);

int64_t crash_deadline_ns (const crash_t *crash);

#endif
