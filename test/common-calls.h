/* common-calls.h - HTTP requests in the background, with a record of each.

   A group has any number of threads.  A thread sends one request, or one after
   the other over a kept connection until the group is stopped.  Completions
   are compared with the tokens that the engine stand-in must generate.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CALLS_H
#define KNAPWEEDFORK_TEST_COMMON_CALLS_H

#include <stdbool.h>
#include <stdio.h>

#include "common-fleet.h"

typedef struct
{
  const fleet_node_t *node; /* where to; its address is read at each request */
  bool old_address;         /* read the address only once, at the start */
  char *method;
  char *path;   /* %d: number of the request */
  char *key;    /* NULL: none */
  char *once;   /* Idempotency-Key, "%d": number of the request; NULL: none */
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
  char at[32]; /* name of the instance or server */
  char once[64];
  char id[64];   /* X-Request-Id of the answer */
  char code[48]; /* of the error, also of one that ends a stream */
  char run[12];
  char sample[200];  /* start of the body */
  char fields[1024]; /* headers */
  double sent_ms;    /* as of calls_now_ms */
  double data_ms;    /* last bytes */
  double token_ms;   /* last bytes with tokens of a completion */
  double ended_ms;   /* 0: still open */
  bool begun;        /* bytes of the body arrived */
  bool complete;     /* the HTTP answer is complete */
  bool whole; /* complete, status 200 and, of a completion, every token */
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
