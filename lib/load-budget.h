/* load-budget.h - limits how model weights are loaded from the weight store:
   the rate of loads and how many are in progress.  Counted over the ledger
   rows of the whole fleet, so that a new leader includes the loads of its
   predecessor.  */

#ifndef KNAPWEEDFORK_LOAD_BUDGET_H
#define KNAPWEEDFORK_LOAD_BUDGET_H

#include "ledger.h"

typedef struct load_budget load_budget_t;

load_budget_t *load_budget_new (const kwf_core_options_t *options);
void load_budget_free (load_budget_t *budget);

/* Update the loads in progress, and the load starts that count for the rate,
   from LEDGER.  Engines that don't respond are left out.  */
void load_budget_update (load_budget_t *budget, const ledger_t *ledger);

/* Whether the limits allow another load of a model, or of an adapter.  */
bool load_budget_allows (const load_budget_t *budget, bool adapter);

/* Count a load that was just started.  */
void load_budget_count_load (load_budget_t *budget, bool adapter);

/* Loads in progress.  */
int load_budget_n_loading (const load_budget_t *budget, bool adapter);

#endif
