/* save.h - what a share owner saves of its tokens for the process that
   replaces it, where shares are steady.

   Load pattern: all instances are killed at once, and the callers of all
   organisations return within a second.  A new process does not know how many
   tokens its predecessor spent, so it began with none.

   An owner names in the row shares-saved/INSTANCE, for each organisation, a
   number of tokens below which its level does not fall while the row says so.
   To spend these tokens, it first writes a row with fewer.  Its successor
   begins with the tokens of the row, and is bound by it in the same way.  The
   row counts only in the share epoch that it names, and a write of it is
   conditional on the row before it and on the row of the epoch, so a late
   write of the predecessor cannot name tokens that the successor spent.  */

#ifndef KNAPWEEDFORK_RATES_SAVE_H
#define KNAPWEEDFORK_RATES_SAVE_H

#include "../share-state.h"

/* Notes the row shares-saved/ of this instance.  */
void save_apply_row (shares_t *shares, const kwf_row_t *row);

/* Takes over what the predecessor saved, and writes the row if it is due.  */
void save_run (shares_t *shares, int64_t now_ns, kwf_effects_t *effects);

void save_handle_reply (shares_t *shares, const kwf_store_reply_t *reply,
                        int64_t now_ns);

/* A request needs saved tokens of ACCOUNT.  */
void save_release (shares_t *shares, account_t *account);

/* Whether saved tokens can be released soon.  */
bool save_can_release (const shares_t *shares);

int64_t save_next_tick_ns (const shares_t *shares);

#endif
