/* collect.h - an instance collects the tokens that waiting requests need from
   the share owners of an organisation, where shares are steady.

   Tokens of a grant are kept as a parcel until they are spent.  The owner's
   burst capacity is lower by as many until the share ack, which says how many
   tokens were not spent and go back to it.  So tokens at any instance and in
   transit together stay within the burst, and tokens that came too late or
   were not enough are not lost.  */

#ifndef KNAPWEEDFORK_RATES_COLLECT_H
#define KNAPWEEDFORK_RATES_COLLECT_H

#include "../share-state.h"

void parcel_free (void *parcel);
void owner_level_free (void *level);

/* Tokens in the parcels of ACCOUNT.  */
double collect_held (const account_t *account);

/* Takes TOKENS from the parcels of ACCOUNT, then from its bucket.  */
void collect_spend (account_t *account, double tokens, kwf_effects_t *effects);

/* Sends the tokens of all parcels back to their owners.  */
void collect_return (account_t *account, kwf_effects_t *effects);

/* Sends back the tokens of parcels that are too old to be spent, for example
   because the process was paused.  */
void collect_expire (account_t *account, int64_t now_ns,
                     kwf_effects_t *effects);

/* Handles a valid grant with tokens.  */
void collect_add (shares_t *shares, account_t *account,
                  const kwf_peer_event_t *event, kwf_effects_t *effects);

/* Notes how many tokens the sender of a grant has left.  */
void collect_note_level (const shares_t *shares, account_t *account,
                         const kwf_peer_event_t *event);

/* Asks owners for what the waiting requests need.  Returns false if no owner
   is linked or all of them together cannot have the tokens of the first
   waiting request before it has waited for SHARE_WAIT_NS.  */
bool collect_ask (shares_t *shares, account_t *account, int64_t now_ns,
                  kwf_effects_t *effects);

/* The asked owners did not answer in time: takes them to be empty, so that
   the next round asks others.  */
void collect_handle_silence (account_t *account, int64_t now_ns);

#endif
