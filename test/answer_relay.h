/* answer_relay.h - answers of scripted servers through a real instance, as
   its callers see them.  */

#ifndef KNAPWEEDFORK_TEST_ANSWER_RELAY_H
#define KNAPWEEDFORK_TEST_ANSWER_RELAY_H

#include "common-byte-call.h"
#include "common-sender.h"

typedef enum
{
  ANSWER_LENGTH,  /* a body with a length */
  ANSWER_NOT_RUN, /* the same, which says that it was not run */
  ANSWER_CHUNKS,
  ANSWER_OPEN, /* a body that ends with its connection */
  ANSWER_STREAM_LENGTH,
  ANSWER_STREAM_CHUNKS,
  ANSWER_STREAM_OPEN,
  ANSWER_STREAM_TAIL, /* in chunks, its last event lacks its blank line */
  ANSWER_REFUSAL,     /* the server did not run it */
  ANSWER_FAILURE,     /* a failure of the server after a run */
  ANSWER_UNSTAMPED,   /* a success without the stamp of servers */
  ANSWER_FOREIGN,     /* with the id of another request */
  N_ANSWERS
} answer_kind_t;

typedef enum
{
  ROUTE_REPEATABLE,
  ROUTE_ONCE,
  ROUTE_STREAM, /* may not be resumed */
  ROUTE_RESUMABLE,
  ROUTE_TWIN, /* repeatable, of a service whose servers share an address */
  N_ROUTES
} route_kind_t;

typedef enum
{
  SPOIL_NONE,
  SPOIL_CUT,     /* the bytes from AT on are missing */
  SPOIL_RUBBISH, /* other bytes follow from AT on */
  SPOIL_AFTER,   /* rubbish follows the whole answer */
  SPOIL_SECOND,  /* one more answer, of another run, follows */
  N_SPOILS
} spoil_t;

/* What the first server does with a request.  */
typedef struct
{
  bool good; /* a call between the cases: it may be refused */
  route_kind_t route;
  answer_kind_t kind;
  spoil_t spoil;
  size_t at;
  size_t piece;
  ending_t ending;
  answer_kind_t second; /* answer of the second server to a request whose
                           answer has not begun, or that is not resumed */
  size_t second_at;     /* the bytes of it before FIN; 0: all, and no end */
} relay_case_t;

/* The bytes of the answer of attempt ATTEMPT (from 1) to request ID; events up
   to LAST_EVENT are left out.  */
GString *relay_answer (answer_kind_t kind, const char *id, int attempt,
                       int last_event);
/* The body of the same.  */
GString *relay_body (answer_kind_t kind, int attempt, int last_event);

/* The kind of the answer of attempt ATTEMPT.  */
answer_kind_t relay_kind (const relay_case_t *relay_case, int attempt);

/* What is wrong with VIEW of request ID after the first server did RELAY_CASE;
   NULL: nothing.  ARRIVALS: attempts that reached a server.  */
const char *relay_check (const relay_case_t *relay_case,
                         const byte_view_t *view, const char *id,
                         int arrivals);

#endif
