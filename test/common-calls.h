/* common-calls.h - HTTP requests in the background, with a record of each.

   A group is a number of threads whose requests are recorded, stopped and
   counted together.  A thread sends one request, or one after the other over a
   kept connection until the group is stopped.  Completions are compared with
   the tokens that the engine stand-in must generate.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CALLS_H
#define KNAPWEEDFORK_TEST_COMMON_CALLS_H

#include <stdbool.h>
#include <stdio.h>

#include "common-fleet.h"

typedef struct
{
  const fleet_node_t *node; /* where to; its address is read at each request,
                               unless OLD_ADDRESS */
  bool old_address; /* keep the address that the node has at the start */
  char *method;
  char *path;   /* %d: number of the request */
  char *key;    /* API key, sent as Bearer token; NULL: none */
  char *once;   /* text of the Idempotency-Key header, "%d": number of the
                   request; NULL: none */
  char *model;  /* NULL: BODY is sent as it is */
  char *prompt; /* %d: number of the request */
  char *body;   /* may be NULL */
  char *header; /* one more header, "Name: value"; may be NULL */
  int tokens;   /* max_tokens */
  bool stream;
  bool loop;         /* send requests until the group is stopped */
  int period_ms;     /* from one request of a loop to the next */
  int read_delay_ms; /* delay of the reader at each piece */
  long timeout_ms;
} call_spec_t;

typedef struct
{
  char at[32]; /* name of the instance or server that it was sent to */
  char idempotency_key[64];
  char id[64];      /* X-Request-Id of the answer */
  char code[48];    /* of the error, also of one that ends a stream */
  char run[12];     /* "run" of the error: whether the request ran; "": none */
  char sample[200]; /* start of the body; the error text of libcurl if the
                       transfer failed without a body */
  char fields[1024]; /* headers, then the messages of errors */
  double sent_ms;    /* as of calls_now_ms */
  double data_ms;    /* when bytes of the body last arrived */
  double token_ms;   /* the same of bytes with tokens of a completion */
  double ended_ms;   /* 0: still open */
  bool begun;        /* bytes of the body arrived */
  bool complete;     /* the HTTP transfer ended without an error */
  bool whole; /* the result is correct: complete, status 200, no error in the
                 body and, of a completion, every token */
  bool wrong; /* received tokens that this request must not get */
  int status;
} call_record_t;

typedef struct call_group call_group_t;

call_group_t *test_calls_new (const char *name);

/* Start a thread.  SPEC is copied.  */
void test_calls_start (call_group_t *group, const call_spec_t *spec);

/* End the loops.  CUT: also abort the running requests.  */
void calls_stop (call_group_t *group, bool cut);

/* Wait until every thread has ended; false: not within TIMEOUT_MS.  */
bool calls_join (call_group_t *group, int timeout_ms);

/* Count the records for which PICK returns true, and print the first SHOW of
   them.  */
int calls_count (call_group_t *group,
                 bool (*pick) (const call_record_t *record, void *data),
                 void *data, int show);

double calls_now_ms (void);

#endif
