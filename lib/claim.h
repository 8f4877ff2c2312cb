/* claim.h - at-most-once execution through claims in the table
   (docs/design.md section 6).  */

#ifndef KNAPWEEDFORK_CLAIM_H
#define KNAPWEEDFORK_CLAIM_H

#include <stdbool.h>

#include <knapweedfork/core.h>

#include "session.h"

typedef struct claims claims_t;

typedef enum
{
  CLAIM_GRANTED,     /* the row is ours: the request may be sent once */
  CLAIM_DONE,        /* ran before: the stored answer is in the result */
  CLAIM_IN_PROGRESS, /* a live instance is running it */
  CLAIM_UNKNOWN,     /* it may have run; nobody will know */
  CLAIM_UNAVAILABLE  /* no claim possible: not run, by this request */
} claim_verdict_t;

typedef struct
{
  kwf_handle_t request;
  claim_verdict_t verdict;
  int status; /* DONE: the stored answer; valid until the next call */
  const char *content_type;
  const char *body;
  size_t body_size;
} claim_result_t;

claims_t *claims_new (const kwf_core_options_t *options);
void claims_free (claims_t *claims);

/* Start to claim KEY of ORGANISATION for REQUEST.  The verdict comes with
   claims_take_results.  */
void claims_begin (claims_t *claims, kwf_handle_t request,
                   const char *organisation, const char *key,
                   kwf_effects_t *effects);

/* Take store replies and ticks; return true when the reply was a claim's.
   SESSION tells which instances are live.  */
bool claims_step (claims_t *claims, const session_t *session,
                  const kwf_event_t *event, kwf_effects_t *effects);

const claim_result_t *claims_take_results (claims_t *claims, size_t *count);

/* To be called right before the first byte is sent.  False: the claim is
   older than 5 s by the own clock and has been abandoned instead.  */
bool claims_mark_sent (claims_t *claims, kwf_handle_t request,
                       kwf_effects_t *effects);

/* The request ran and was answered; store the answer (body of at most
   64 KiB, larger ones are stored without the body).  */
void claims_store_answer (claims_t *claims, kwf_handle_t request, int status,
                          const char *content_type, const char *body,
                          size_t body_size, kwf_effects_t *effects);

/* It was sent and no answer came.  */
void claims_mark_unknown (claims_t *claims, kwf_handle_t request,
                          kwf_effects_t *effects);

/* It was certainly not sent: free the key for the next call.  */
void claims_abandon (claims_t *claims, kwf_handle_t request,
                     kwf_effects_t *effects);

int64_t claims_deadline_ns (const claims_t *claims);

#endif
