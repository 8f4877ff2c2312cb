/* common-calls.h - requests in the background, with a record of each.

   A group has any number of threads; a thread sends one request, or one after
   the other over a kept connection until the group is stopped.  Completions
   are compared with the tokens that the engine stand-in must generate.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CALLS_H
#define KNAPWEEDFORK_TEST_COMMON_CALLS_H

#include <stdbool.h>
#include <stdio.h>

#include "common-fleet.h"

typedef struct
{
  const fleet_node_t *node; /* where to; its address at each request */
  bool old_address;         /* keep the address of the start */
  char *method;
  char *path;   /* %d: number of the request */
  char *key;    /* NULL: none */
  char *once;   /* Idempotency-Key; %d: number of the request */
  char *model;  /* NULL: BODY is sent as it is */
  char *prompt; /* %d: number of the request */
  char *body;   /* may be NULL */
  char *header; /* one more, "Name: value"; may be NULL */
  int tokens;   /* max_tokens */
  bool stream;
  bool loop;         /* until the group is stopped */
  int period_ms;     /* from one request of a loop to the next */
  int read_delay_ms; /* pause of the reader at each piece */
  long timeout_ms;
} call_spec_t;

typedef struct
{
  char at[32];
  char once[64];
  char id[64];   /* X-Request-Id of the answer */
  char code[48]; /* of the error, also of one that ends a stream */
  char run[12];
  char sample[200];  /* begin of the body */
  char fields[1024]; /* headers */
  double sent_ms;    /* as of calls_now_ms */
  double data_ms;    /* last bytes */
  double token_ms;   /* last bytes with tokens of a completion */
  double ended_ms;   /* 0: open */
  bool begun;        /* bytes of the body came */
  bool complete;     /* as HTTP */
  bool whole; /* complete, status 200 and, of a completion, every token */
  bool wrong; /* tokens that this request must not get */
  int status;
} call_record_t;

typedef struct call_group call_group_t;

call_group_t *test_calls_new (const char *name);

/* Start a thread.  SPEC is copied.  */
void test_calls_start (call_group_t *group, const call_spec_t *spec);

/* End the loops, or the calls too when CUT.  */
void calls_stop (call_group_t *group, bool cut);

/* Wait until every thread has ended; false after TIMEOUT_MS.  */
bool calls_join (call_group_t *group, int timeout_ms);

/* Records so far that PICK returns true for.  When SHOW is positive, print
   up to that many of them.  */
int calls_count (call_group_t *group,
                 bool (*pick) (const call_record_t *record, void *data),
                 void *data, int show);

double calls_now_ms (void);

#endif
