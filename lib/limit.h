/* limit.h - the requests a second that a backend server takes from the whole
   fleet, as its answers name them.  */

#ifndef KNAPWEEDFORK_LIMIT_H
#define KNAPWEEDFORK_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <knapweedfork/event.h>

/* Higher limits are cut to this.  */
#define LIMIT_MAX_PER_S 1e6

typedef struct
{
  bool named;
  double rate_per_s;
  bool named_in[KWF_ANSWER_KINDS]; /* answers of this kind have named one */
  bool unreadable;                 /* an answer had no valid number */
} limit_t;

typedef enum
{
  LIMIT_UNCHANGED,
  LIMIT_SET, /* named, or named with another rate */
  LIMIT_ENDED
} limit_change_t;

/* An answer of the server was read.  */
limit_change_t limit_handle_answer (limit_t *limit,
                                    const kwf_notice_event_t *answer);

#endif
