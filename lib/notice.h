/* notice.h - what a backend server tells of itself with its answers: that it
   leaves, or that it wants nothing from this instance for a while.

   Leaving holds for the process that told it, from the first answer that was
   read, whatever the list of servers says; other instances are told.  It is
   taken back by a load report that was asked for later, or by an entry of the
   list that was written later.

   A pause answers overload at one server.  It is kept by the instance that was
   asked, ends by itself and says nothing about the server's health.  Work is
   let in slowly after its end, and callers that were turned away because all
   copies pause come back one after the other, urgent ones first.  */

#ifndef KNAPWEEDFORK_NOTICE_H
#define KNAPWEEDFORK_NOTICE_H

#include "core-state.h"

/* Longest pause in nanoseconds; longer ones are cut.  */
#define NOTICE_PAUSE_MAX_NS (60 * KWF_NS_PER_S)

/* SERVER is another process now.  */
void notice_reset (server_t *server);

/* A server told something with an answer.  */
void notice_handle_event (kwf_core_t *core, const kwf_notice_event_t *event,
                          kwf_effects_t *effects);

/* Another instance told that a server leaves.  */
void notice_handle_peer (kwf_core_t *core, const kwf_peer_event_t *peer,
                         kwf_effects_t *effects);

/* A load report asked for at ASKED_NS tells that SERVER does not leave.  */
void notice_handle_report (server_t *server, int64_t asked_ns, int64_t now_ns);

/* The entry of SERVER has REVISION.  SETTLED: all that was written FRESH_NS
   ago is known.  READY: it tells that the server does not leave.  */
void notice_handle_member (server_t *server, int64_t revision, bool ready,
                           bool settled, int64_t fresh_ns, int64_t now_ns);

/* Whether SERVER wants nothing from this instance now.  */
bool notice_is_paused (const server_t *server, int64_t now_ns);

/* Whether one more request may begin at SERVER so soon after a pause.  */
bool notice_slow_start_allows (const server_t *server, int64_t now_ns);

/* A request begins at SERVER.  */
void notice_request_started (server_t *server, int64_t now_ns);

/* Time from NOW_NS after which a caller of PRIORITY that is turned away, since
   SERVER and all other copies pause, should come back.  */
int64_t notice_retry_after_ns (server_t *server, int priority, int64_t now_ns);

/* When a server that leaves by its answers alone is to be asked again;
   INT64_MAX: never.  */
int64_t notice_next_probe_ns (const server_t *server);
/* It is asked now.  */
void notice_probe_started (server_t *server, int64_t now_ns);

/* Append counters in the Prometheus text format.  */
void notices_write_metrics (const kwf_core_t *core, GString *out);

#endif
