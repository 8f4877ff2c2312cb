/* claim.h - at-most-once execution: a request is sent only after a row for its
   idempotency key was inserted in the table (docs/design.md section 6).  */

#ifndef KNAPWEEDFORK_CLAIM_H
#define KNAPWEEDFORK_CLAIM_H

#include <stdbool.h>

#include <knapweedfork/core.h>

#include "session.h"

typedef struct claims claims_t;

typedef enum
{
  CLAIM_GRANTED,     /* the row is this instance's: the request may be sent
                        once */
  CLAIM_DONE,        /* it ran before: the result holds the stored answer */
  CLAIM_IN_PROGRESS, /* a live instance is running it */
  CLAIM_UNKNOWN,     /* it may have run; the outcome is lost */
  CLAIM_UNAVAILABLE  /* no claim could be made; this request did not run */
} claim_verdict_t;

typedef struct
{
  kwf_handle_t request;
  claim_verdict_t verdict;
  int status; /* CLAIM_DONE: the stored answer; valid until the next
                 claims_take_results */
  const char *content_type;
  const char *body;
  size_t body_size;
} claim_result_t;

claims_t *claims_new (const kwf_core_options_t *options);
void claims_free (claims_t *claims);

/* Start to claim KEY of ORGANISATION for REQUEST. claims_take_results returns
   the verdict.  */
void claims_begin (claims_t *claims, kwf_handle_t request,
                   const char *organisation, const char *key,
                   kwf_effects_t *effects);

/* Handle store replies and ticks; return true when the reply was for a claim.
   SESSION knows which instances are live.  */
bool claims_step (claims_t *claims, const session_t *session,
                  const kwf_event_t *event, kwf_effects_t *effects);

const claim_result_t *claims_take_results (claims_t *claims, size_t *count);

/* Mark the request as sent; to be called right before its first byte is sent.
   False: it must not be sent.  The claim is then older than 5 s by this
   instance's clock and has been abandoned.  */
bool claims_mark_sent (claims_t *claims, kwf_handle_t request,
                       kwf_effects_t *effects);

/* The request ran and was answered: store the answer.  A body above 64 KiB is
   not stored.  */
void claims_store_answer (claims_t *claims, kwf_handle_t request, int status,
                          const char *content_type, const char *body,
                          size_t body_size, kwf_effects_t *effects);

/* The request was sent and no answer arrived.  */
void claims_mark_unknown (claims_t *claims, kwf_handle_t request,
                          kwf_effects_t *effects);

/* The request was certainly not sent: free the key for the next request.  */
void claims_abandon (claims_t *claims, kwf_handle_t request,
                     kwf_effects_t *effects);

int64_t claims_next_tick_ns (const claims_t *claims);

#endif
