/* answer_bytes.h - scripted answers over real sockets: what a server sends,
   byte by byte, how its connection ends, and what the client makes of it.  */

#ifndef KNAPWEEDFORK_TEST_ANSWER_BYTES_H
#define KNAPWEEDFORK_TEST_ANSWER_BYTES_H

#include "common-sender.h"
#include "net/client.h"

/* One request and its answer.  */
typedef struct
{
  const char *bytes; /* what the server sends */
  size_t size;
  size_t piece; /* bytes in one write; 0: all */
  ending_t ending;
  bool streamed; /* the client passes the body on as it arrives */
  /* The outcome.  */
  bool done;
  int status;
  int heads;     /* calls of head() */
  GString *body; /* NULL: none */
  kwf_failure_t failure;
  char cause[160];
} exchange_t;

typedef struct
{
  struct ev_loop *loop;
  client_t *client;
  listener_t *listener;
  exchange_t *exchanges; /* of the run */
  size_t n_exchanges;
  size_t n_started;
  int n_ended;
  bool asked_encoding; /* a request named encodings of the answer */
} exchange_rig_t;

int exchange_set_up (void **state);
int exchange_tear_down (void **state);

/* Runs the N exchanges, some at once.  The test fails when one does not
   end.  */
void exchange_run (exchange_rig_t *rig, exchange_t *exchanges, size_t n);
void exchange_clear (exchange_t *exchange);

/* Tests, by file.  */
void spoilt_head_is_no_answer (void **state);
void cut_head_takes_nothing_of_the_next_answer (void **state);
void trailers_are_not_headers (void **state);
void interim_answers_are_passed_over (void **state);
void unusual_head_is_taken (void **state);
void nothing_is_decoded (void **state);
void each_byte_is_whole_or_visibly_broken (void **state);

#endif
