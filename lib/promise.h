/* promise.h - what callers of routes may be told of requests that may have
   run.

   They rely on 408, 421, 429 and 503 to mean that the request has not run and
   never will, and then send it again.  502 promises nothing.  */

#ifndef KNAPWEEDFORK_PROMISE_H
#define KNAPWEEDFORK_PROMISE_H

#include <stdbool.h>

#include <knapweedfork/effect.h>

/* Whether STATUS is such a promise.  */
bool promise_is_made_by (int status);

/* The status of an error of this instance, usually STATUS, for a request that
   ran as RUN says: 502 where STATUS would promise too much.  */
int promise_status (int status, kwf_run_t run);

/* What a backend server's answer is worth.  */
typedef enum
{
  PROMISE_NONE,    /* the request ran, or nobody relies on the status */
  PROMISE_NOT_RUN, /* the request did not run there, so another server may be
                      asked */
  PROMISE_UNPROVEN /* its status promises that, but the server does not say so:
                      not to be passed on */
} promise_t;

/* NOT_RUN: the server says that it did not run the request.  */
promise_t promise_of_answer (int status, bool not_run, bool idempotent);

#endif
