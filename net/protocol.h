/* dialect.h - how callers, backend servers and the platform are spoken to.

   The product's own interface is table_protocol.  Another one translates a
   platform's calls into the same events and effects.  */

#ifndef KNAPWEEDFORK_NET_PROTOCOL_H
#define KNAPWEEDFORK_NET_PROTOCOL_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/effect.h>

#include "client.h"
#include "server.h"
#include "store.h"

typedef struct instance instance_t;

/* What the head of an answer tells beside the answer itself.  */
typedef struct
{
  bool not_run;   /* the server did not run the request */
  bool misplaced; /* because it is another server, or lacks the model */
  bool has_load;  /* the next three were given */
  int running;
  int waiting;
  int slots;
} answer_facts_t;

typedef struct protocol
{
  /* Membership, configuration and the state of backend servers come
     unasked.  */
  bool push_updates;
  const server_handler_t *callers;
  const server_handler_t *ready;     /* NULL: there is no such port */
  const server_handler_t *directory; /* NULL: there is no such port */
  store_t *(*new_store) (instance_t *instance, const store_handler_t *handler);
  /* Routed requests: append to HEADERS what the backend server gets beside
     the caller's own headers.  Texts are kept in TEXTS.  ECHO is the header
     that each answer repeats.  */
  void (*add_headers) (GArray *headers, GPtrArray *texts,
                       const kwf_attempt_start_t *start, int64_t left_ms,
                       const char *last_event);
  const char *echo_name;
  void (*read_facts) (answer_facts_t *facts, const client_answer_t *answer);
  /* Read what an answer tells of the server itself; false: nothing.  NULL:
     there is nothing to read.  */
  bool (*read_notice) (kwf_notice_event_t *notice,
                       const client_answer_t *answer);
  /* Header that names the server that is meant; NULL: none.  */
  const char *expect_server_header;
  /* Orders and load reports.  ORDER_BODY is freed with free.  */
  const char *order_target;
  char *(*order_body) (const kwf_order_t *order);
  void (*read_order) (kwf_order_event_t *event, GPtrArray *texts,
                      const client_answer_t *answer);
  const char *report_target;
  /* Read the report of SERVER; false: it is none.  Arrays and strings are
     kept in TEXTS.  */
  bool (*read_report) (kwf_report_event_t *report, GPtrArray *texts,
                       const client_answer_t *answer);
} protocol_t;

extern const protocol_t table_protocol;

#endif
