/* protocol.h - the interface that the setting [platform] protocol selects:
   formats of callers' requests, of calls to backend servers, and of calls to
   the platform.

   table_protocol ("table") is the product's own interface.  The one for "rows"
   translates another platform's calls into the same events and effects of the
   core.  */

#ifndef KNAPWEEDFORK_NET_PROTOCOL_H
#define KNAPWEEDFORK_NET_PROTOCOL_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/effect.h>

#include "client.h"
#include "server.h"
#include "store.h"

typedef struct instance instance_t;

/* What a backend server reports about itself in the headers of an answer.  */
typedef struct
{
  bool not_run;   /* the server did not run the request */
  bool misplaced; /* because the request was for another server, or for a model
                     that this one does not hold */
  bool has_load;  /* running, waiting and slots were given */
  int running;
  int waiting;
  int slots;
  int pace; /* how long work takes at the server now, in per cent of its usual
               time; 0: not given */
  bool load_unreadable; /* a load was sent that is none */
} answer_facts_t;

typedef struct protocol
{
  /* The store reports members, configuration and the state of backend servers
     by itself; the core does not request them.  */
  bool push_updates;
  const server_handler_t *callers;
  const server_handler_t *ready;     /* listener ready_listen; NULL: there is
                                        none */
  const server_handler_t *directory; /* listener directory_listen; NULL: there
                                        is none */
  store_t *(*new_store) (instance_t *instance, const store_handler_t *handler);
  /* Routed requests: append to HEADERS what the backend server gets besides
     the caller's own headers.  LEFT_MS: time to the deadline.  LAST_EVENT: id
     of the last event that the caller has; NULL: none.  New strings are kept
     in TEXTS.  */
  void (*add_headers) (GArray *headers, GPtrArray *texts,
                       const kwf_attempt_start_t *start, int64_t left_ms,
                       const char *last_event);
  /* The same for a request that is handed over to another instance, which gets
     all that the caller sent in REQUEST.  RESUMES: id of the request that got
     the first event of a stream that goes on after LAST_EVENT; NULL: it is as
     its caller sent it.  NULL: nothing is handed over.  */
  void (*add_handover_headers) (GArray *headers, GPtrArray *texts,
                                const server_request_t *request,
                                const kwf_attempt_start_t *start,
                                int64_t left_ms, const char *last_event,
                                const char *resumes);
  /* Header with the request id, which each answer must repeat.  */
  const char *echo_name;
  /* Header that a server's successes bear; NULL: none.  */
  const char *stamp_name;
  /* Read what the server reports about itself in the head of ANSWER.  */
  void (*read_facts) (answer_facts_t *facts, const client_answer_t *answer);
  /* Read the server's notice that it leaves, wants a pause, or names a limit;
     false: ANSWER has none.
     NULL: the interface has no notices.  */
  bool (*read_notice) (kwf_notice_event_t *notice,
                       const client_answer_t *answer);
  /* Request header that names the intended server; NULL: none.  */
  const char *expect_server_header;
  /* Orders to model engines.  The result of order_body is released with
     free.  */
  const char *order_target;
  char *(*order_body) (const kwf_order_t *order);
  void (*read_order) (kwf_order_event_t *event, GPtrArray *texts,
                      const client_answer_t *answer);
  const char *report_target;
  /* Read the load report of a model engine; false: ANSWER is not one.  Arrays
     and strings are kept in TEXTS.  */
  bool (*read_report) (kwf_report_event_t *report, GPtrArray *texts,
                       const client_answer_t *answer);
} protocol_t;

extern const protocol_t table_protocol;

#endif
