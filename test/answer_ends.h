/* answer_ends.h - ends of servers' answers, and what callers may see of
   them.  */

#ifndef KNAPWEEDFORK_TEST_ANSWER_ENDS_H
#define KNAPWEEDFORK_TEST_ANSWER_ENDS_H

#include "common-byte-call.h"
#include "common-sender.h"

typedef enum
{
  ROUTE_STREAM,
  ROUTE_RESUMABLE,
  ROUTE_ONCE,
  ROUTE_REPEATABLE,
  N_ROUTES
} route_t;

/* What marks the end of a server's answer.  */
typedef enum
{
  FRAMED_LENGTH,
  FRAMED_CHUNKS,
  FRAMED_CLOSE,
  FRAMED_OLD, /* HTTP/1.0, by the end of the connection */
  N_FRAMINGS
} framing_t;

/* The run before the one that is tested: its first event arrives, then its
   connection ends.  */
typedef enum
{
  BEFORE_NONE,
  BEFORE_CHUNKS,
  BEFORE_OPEN, /* without a length or chunks, cut inside its second event */
  N_BEFORE
} before_t;

typedef enum
{
  CALLER_KEEPS,
  CALLER_CLOSES,
  CALLER_OLD, /* of HTTP/1.0 */
  CALLER_OLD_KEEPS,
  N_CALLERS
} caller_t;

typedef struct
{
  route_t route;
  before_t before;
  framing_t framing;
  size_t at;       /* bytes that are sent */
  ending_t ending; /* what follows them */
  caller_t caller;
  bool next_whole; /* the next run is whole; false: the next server refuses */
} end_case_t;

/* How certain it is that an answer is whole.  */
typedef enum
{
  CERTAIN_NOT,  /* broken off, or an error of this system */
  CERTAIN_OPEN, /* it ended with its connection, where it may end */
  CERTAIN_MARKED,
  N_CERTAIN
} certain_t;

/* The bytes of an answer to request ID that begins after event LAST; SIZE:
   those that are sent.  */
GString *end_answer (const end_case_t *end_case, const char *id, int last);
/* The whole body, all runs together.  */
const char *end_body (route_t route);

/* The run before that of END_CASE.  */
GString *end_before (const end_case_t *end_case, const char *id);

/* Adds each case to HEADS, if its answer ends inside its head, or to BODIES;
   both are of end_case_t.  */
void end_add_cases (GArray *heads, GArray *bodies);

/* What is wrong with VIEW of END_CASE; NULL: nothing.  NEXT: a run after that
   of END_CASE was whole.  SEEN: how certain VIEW is.  */
const char *end_check (const end_case_t *end_case, const byte_view_t *view,
                       bool next, certain_t *seen);

/* END_CASE as text.  */
char *end_describe (const end_case_t *end_case);

#endif
