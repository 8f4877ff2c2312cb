/* share.h - this instance's shares of the rates and bursts.

   A distributed token bucket for each organisation (docs/design.md
   section 5).  Tokens are charged at admission and the unused part is
   refunded once at the end.  */

#ifndef KNAPWEEDFORK_SHARE_H
#define KNAPWEEDFORK_SHARE_H

#include <stdbool.h>

#include <knapweedfork/core.h>
#include <knapweedfork/lists.h>

#include "session.h"

typedef struct shares shares_t;

typedef enum
{
  SHARE_GRANTED,
  SHARE_WAIT,   /* peers were asked; the verdict comes with shares_take_results
                 */
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

/* The lists in force changed: take over rates and bursts.  Lowered limits
   hold at once; raised ones are spread over the holders.  */
void shares_set_lists (shares_t *shares, const kwf_lists_t *lists);

/* Take EVENT and the news of the same step: the row "shares", membership
   from SESSION, ASK, GIVE, GOT, links lost, ticks.  */
void shares_step (shares_t *shares, session_t *session,
                  const kwf_event_t *event, const session_changes_t *news,
                  kwf_effects_t *effects);

/* Charge TOKENS to ORGANISATION for REQUEST.  With SHARE_WAIT the request
   stays in line until shares_take_results reports it or shares_cancel.  */
share_result_t shares_charge (shares_t *shares, const char *organisation,
                              kwf_handle_t request, double tokens,
                              kwf_effects_t *effects);

/* Verdicts on requests that waited; valid until the next call.  */
const share_result_t *shares_take_results (shares_t *shares, size_t *count);

void shares_cancel (shares_t *shares, kwf_handle_t request);

/* Give TOKENS of an earlier charge back, never above the cap.  */
void shares_refund (shares_t *shares, const char *organisation, double tokens);

/* For the status page and for tests: the share in hand.  */
typedef struct
{
  double rate;
  double cap;
  double level;
} share_holding_t;
share_holding_t shares_holding (shares_t *shares, const char *organisation);
int64_t shares_epoch (const shares_t *shares);

/* Whether this instance is a member of an epoch.  Without a share it would
   refuse requests that are inside the rate.  */
bool shares_ready (const shares_t *shares);

int64_t shares_deadline_ns (const shares_t *shares);

#endif
