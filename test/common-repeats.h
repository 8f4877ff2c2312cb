/* common-repeats.h - the rule on requests that reach the servers of a service
   more than once, for what a test recorded.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_REPEATS_H
#define KNAPWEEDFORK_TEST_COMMON_REPEATS_H

#include <glib.h>

/* In each window, repeats are at most RATIO times the requests of that window,
   of the one before it or of the one half a window before it, whichever has
   most, and SLACK.  */
typedef struct
{
  int64_t window_ns;
  double ratio;
  double slack;
} repeats_rule_t;

typedef struct
{
  int n_excessive; /* windows with more than is allowed */
  int most;        /* repeats in the window that is nearest to the bound */
  double allowed;  /* in that window */
  int64_t end_ns;  /* of that window */
} repeats_verdict_t;

/* Judges each window that ends with a repeat.  SENT and REPEATS: times in
   order, of int64_t, at which callers sent requests for the service and at
   which a request arrived that had arrived before.  */
repeats_verdict_t repeats_judge (const repeats_rule_t *rule,
                                 const GArray *sent, const GArray *repeats);

#endif
