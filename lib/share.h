/* share.h - this instance's shares of the organisations' rates and bursts.

   A distributed token bucket for each organisation (docs/design.md section 5).
   Tokens are charged at admission; the unused part is refunded once, when the
   request ends.  */

#ifndef KNAPWEEDFORK_SHARE_H
#define KNAPWEEDFORK_SHARE_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/core.h>
#include <knapweedfork/lists.h>

#include "session.h"

typedef struct shares shares_t;

typedef enum
{
  SHARE_GRANTED,
  SHARE_WAIT,   /* peers were asked for tokens; shares_take_results returns the
                   verdict */
  SHARE_REFUSED /* over the limit; retry_after_ms is set */
} share_verdict_t;

typedef struct
{
  kwf_handle_t request;
  share_verdict_t verdict;
  int64_t retry_after_ms;
} share_result_t;

shares_t *shares_new (const kwf_core_options_t *options);
void shares_free (shares_t *shares);

/* Sets rates and bursts from the active lists.  Lowered limits apply at once;
   raised ones are divided among the members of the epoch.  */
void shares_set_lists (shares_t *shares, const kwf_lists_t *lists);

/* Handles EVENT and the changed rows CHANGES of the same step: the row
   "shares", the membership, share requests, grants and acks, links and
   ticks.  */
void shares_step (shares_t *shares, session_t *session,
                  const kwf_event_t *event, const session_changes_t *changes,
                  kwf_effects_t *effects);

/* Charges TOKENS to ORGANISATION for REQUEST.  With SHARE_WAIT, REQUEST waits
   until shares_take_results returns its verdict, or shares_cancel.
   retry_after_ms is -1 if a retry makes no sense.  */
share_result_t shares_charge (shares_t *shares, const char *organisation,
                              kwf_handle_t request, double tokens,
                              kwf_effects_t *effects);

/* Returns the verdicts on requests that waited.  They are valid until the next
   call.  */
const share_result_t *shares_take_results (shares_t *shares, size_t *count);

void shares_cancel (shares_t *shares, kwf_handle_t request);

/* Returns the unused TOKENS of an earlier charge to the bucket, up to its
   cap.  */
void shares_refund (shares_t *shares, const char *organisation, double tokens);

/* What this instance holds of an organisation's rate, burst and tokens.  For
   the status page and tests.  */
typedef struct
{
  double rate;
  double cap;
  double level;
} share_holding_t;
share_holding_t shares_holding (shares_t *shares, const char *organisation);
int64_t shares_epoch (const shares_t *shares);

/* Whether this instance is a member of a share epoch.  Without a share it
   would refuse requests that are within the rate.  */
bool shares_ready (const shares_t *shares);

/* Appends counters of the requests that waited for tokens or were refused, in
   the Prometheus text format (rates/count.c).  */
void shares_write_metrics (const shares_t *shares, GString *out);

int64_t shares_next_tick_ns (const shares_t *shares);

#endif
