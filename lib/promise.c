#include "promise.h"

#define HTTP_BAD_REQUEST 400
#define HTTP_REQUEST_TIMEOUT 408
#define HTTP_MISDIRECTED 421
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503

bool
promise_is_made_by (int status)
{
  return status == HTTP_REQUEST_TIMEOUT || status == HTTP_MISDIRECTED
         || status == HTTP_TOO_MANY_REQUESTS || status == HTTP_UNAVAILABLE;
}

int
promise_status (int status, kwf_run_t run)
{
  return promise_is_made_by (status) && run != KWF_RUN_NO ? HTTP_BAD_GATEWAY
                                                          : status;
}

promise_t
promise_of_answer (int status, bool not_run, bool idempotent)
{
  /* A success contradicts "not run"; what came is then the result.  */
  if (not_run && status >= HTTP_BAD_REQUEST)
    return PROMISE_NOT_RUN;
  return promise_is_made_by (status) && !idempotent ? PROMISE_UNPROVEN
                                                    : PROMISE_NONE;
}
