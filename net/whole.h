/* whole.h - whether an answer is whole.

   A library that reports a finished transfer knows less than that: a
   connection that ends inside the head, for example, leaves an answer without
   any header and without a body.  This is the only place that decides.  */

#ifndef KNAPWEEDFORK_NET_WHOLE_H
#define KNAPWEEDFORK_NET_WHOLE_H

#include <stdbool.h>

/* What is known of an answer when its transfer has ended without an error.  */
typedef struct
{
  int status;
  bool head_ended;    /* the blank line after the headers was read */
  bool delimited;     /* a length, chunks or the status mark the end of the
                         body */
  bool may_end_close; /* the end of the connection may mark it, too */
  bool has_id;        /* it repeats the id of the request, or need not */
  bool has_stamp;     /* it bears the header of the servers' successes, or need
                         not */
  bool between_parts; /* the body ends where a part of it may end */
} whole_facts_t;

typedef enum
{
  WHOLE_YES,
  WHOLE_HEAD_CUT,
  WHOLE_NO_END,
  WHOLE_FOREIGN,
  WHOLE_NO_STAMP,
  WHOLE_PART_CUT,
  N_WHOLE
} whole_t;

/* Returns WHOLE_YES, or the first thing that an answer with FACTS lacks.  */
whole_t whole_check (const whole_facts_t *facts);

/* Name of WHOLE for logs and metrics.  */
const char *whole_name (whole_t whole);

/* The same as a text for an error.  */
const char *whole_cause (whole_t whole);

#endif
