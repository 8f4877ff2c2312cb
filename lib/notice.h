/* notice.h - what a backend server announces with its answers: that it leaves,
   or that it wants a pause from this instance.

   Leaving holds for the process that announced it, from the first answer that
   was read, whatever the membership list says; other instances are told.  It
   is taken back by a load report that was requested later, or by an entry of
   the list that was written later, when that says that the server does not
   leave.

   A pause is the answer to overload at one server.  It holds for the instance
   that was asked, ends by itself and says nothing about the server's health.
   After its end the requests in flight grow slowly (slow start).  Callers that
   were refused because all copies pause are told to come back one after the
   other, urgent ones first.  */

#ifndef KNAPWEEDFORK_NOTICE_H
#define KNAPWEEDFORK_NOTICE_H

#include "core-state.h"

/* Upper limit of a pause in nanoseconds; longer ones are cut.  */
#define NOTICE_PAUSE_MAX_NS (60 * KWF_NS_PER_S)

/* SERVER is a new process: forget what the former one announced, except for a
   limit (limit_restart).  */
void notice_reset (server_t *server);

/* The server that EVENT is about; NULL: the answer is not of its present
   process.  */
server_t *notice_server (const kwf_core_t *core,
                         const kwf_notice_event_t *event);

/* Handle an announcement that came with an answer (KWF_EV_NOTICE).  */
void notice_handle_event (kwf_core_t *core, const kwf_notice_event_t *event,
                          kwf_effects_t *effects);

/* Handle the message of another instance that a server leaves.  */
void notice_handle_peer (kwf_core_t *core, const kwf_peer_event_t *peer,
                         kwf_effects_t *effects);

/* A link to instance PEER came up: tell it which servers are known to leave
   though the list has them as ready (lib/restored.h), since it may know only
   the list.  */
void notice_handle_link (const kwf_core_t *core, const char *peer,
                         kwf_effects_t *effects);

/* A load report that was requested at ASKED_NS says that SERVER does not
   leave.  */
void notice_handle_report (server_t *server, int64_t asked_ns, int64_t now_ns);

/* How far a membership list can be trusted.  */
typedef struct
{
  int64_t current_ns; /* it was the newest at this time */
  int64_t delay_ns;   /* entries written longer than this before are in it */
  bool is_complete; /* false: entries that expired in an outage are missing */
} notice_list_t;

/* Handle the entry of SERVER in LIST, which has REVISION.  READY: the entry
   says that the server does not leave.  */
void notice_handle_member (server_t *server, int64_t revision, bool ready,
                           const notice_list_t *list, int64_t now_ns);

/* Whether a pause that SERVER asked this instance for still lasts.  */
bool notice_server_is_paused (const server_t *server, int64_t now_ns);

/* Whether the slow start after a pause lets one more request start at
   SERVER.  */
bool notice_slow_start_allows (const server_t *server, int64_t now_ns);

/* Count a request that starts at SERVER.  */
void notice_request_started (server_t *server, int64_t now_ns);

/* Count a caller of PRIORITY that is refused because SERVER and all other
   copies pause.  Return the time from NOW_NS after which it should come
   back.  */
int64_t notice_retry_after_ns (server_t *server, int priority, int64_t now_ns);

/* When to probe SERVER, which leaves by its own announcement while the list
   still has it as ready; INT64_MAX: never.  */
int64_t notice_next_probe_ns (const server_t *server);
/* A probe of SERVER starts: set the time of the next one.  */
void notice_probe_started (server_t *server, int64_t now_ns);

/* Append counters in the Prometheus text format.  */
void notices_write_metrics (const kwf_core_t *core, GString *out);

#endif
