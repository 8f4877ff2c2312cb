/* whole.h - whether an answer is whole, and the server's own.

   A library that reports a finished transfer knows less than that: a
   connection that ends inside the head, for example, leaves an answer without
   any header and without a body.  This is the only place that decides.  */

#ifndef KNAPWEEDFORK_NET_WHOLE_H
#define KNAPWEEDFORK_NET_WHOLE_H

#include <stdbool.h>

/* What is known of an answer.  */
typedef struct
{
  int status;
  bool complete;      /* the transfer has ended without an error */
  bool head_ended;    /* the blank line after the headers was read */
  bool head_valid;    /* each line is a header, and none contradicts another */
  bool has_id;        /* it repeats the id of the request, or need not */
  bool has_stamp;     /* it bears the header of the servers' successes, or need
                         not */
  bool delimited;     /* a length, chunks or the status mark the end of the
                         body */
  bool may_end_close; /* the end of the connection may mark it, too */
  bool empty;         /* no byte of the body came */
  bool may_end;       /* the body may end where it does */
  bool reset;         /* the connection was reset, maybe behind its end */
} whole_facts_t;

typedef enum
{
  WHOLE_YES,
  WHOLE_HEAD_CUT,
  WHOLE_BAD_HEAD,
  WHOLE_FOREIGN,
  WHOLE_NO_STAMP,
  WHOLE_NO_END,
  WHOLE_PART_CUT,
  WHOLE_BROKEN,
  WHOLE_RESET, /* behind the end of a connection that is the only mark */
  N_WHOLE
} whole_t;

/* Judges the head of an answer, once it has ended: WHOLE_YES, or why nothing
   of the answer may be used.  COMPLETE and the facts of the body do not
   count.  */
whole_t whole_check_head (const whole_facts_t *facts);

/* Judges an answer whose transfer has ended: WHOLE_YES, or the first thing
   that it lacks.  */
whole_t whole_check (const whole_facts_t *facts);

/* Name of WHOLE for logs and metrics.  */
const char *whole_name (whole_t whole);

/* The same as a text for an error.  */
const char *whole_cause (whole_t whole);

#endif
