/* error-code.h - the stable error codes of answers and their HTTP
   statuses.  */

#ifndef KNAPWEEDFORK_REFUSAL_H
#define KNAPWEEDFORK_REFUSAL_H

#include <knapweedfork/effect.h>

typedef enum
{
  CODE_OK,
  CODE_MISSING_KEY,
  CODE_UNKNOWN_KEY,
  CODE_KEY_WITHDRAWN,
  CODE_MODEL_NOT_ALLOWED,
  CODE_SERVICE_NOT_ALLOWED,
  CODE_MODEL_NOT_FOUND,
  CODE_SERVICE_NOT_FOUND,
  CODE_ROUTE_NOT_FOUND,
  CODE_RATE_LIMITED,
  CODE_REQUEST_TOO_LARGE,
  CODE_IDEMPOTENCY_KEY_REQUIRED,
  CODE_IN_PROGRESS,
  CODE_OUTCOME_UNKNOWN,
  CODE_REQUEST_CRASHES_SERVERS,
  CODE_SUSPECT_NOT_RETRIED,
  CODE_NOT_AUTHORISED_TO_ACT,
  CODE_ANSWER_WITHHELD,
  CODE_NO_CONFIGURATION,
  CODE_MODEL_NOT_RESIDENT,
  CODE_NO_SERVER,
  CODE_RETRY_BUDGET_EXHAUSTED,
  CODE_CLAIM_UNAVAILABLE,
  CODE_BACKEND_ERROR,
  CODE_STREAM_BROKEN,
  CODE_DEADLINE_EXCEEDED,
  CODE_STOPPING,
  CODE_OVERLOADED,
  CODE_CALLER_GONE,
  N_CODES
} error_code_t;

const char *error_code_name (error_code_t code);

/* The usual HTTP status of CODE; 0 for CODE_OK and CODE_CALLER_GONE, which
   are never sent.  */
int error_code_status (error_code_t code);

/* STATUS, or 502 where STATUS would promise too much to a request that ran as
   RUN says: callers of routes rely on 408, 421, 429 and 503 to mean that
   nothing ran; 502 promises nothing.  */
int error_code_run_status (int status, kwf_run_t run);

#endif
