/* weights.h - the budgets of the weight store, counted over the ledger rows
   of the whole fleet, so that a new decider sees what its predecessor has
   under way.  */

#ifndef KNAPWEEDFORK_WEIGHTS_H
#define KNAPWEEDFORK_WEIGHTS_H

#include "ledger.h"

typedef struct weights load_budget_t;

load_budget_t *load_budget_new (const kwf_core_options_t *options);
void load_budget_free (load_budget_t *weights);

/* Count what is under way now.  */
void load_budget_update (load_budget_t *weights, const ledger_t *ledger);

/* Whether the budgets allow another load of a model, or of an adapter.  */
bool load_budget_allows (const load_budget_t *weights, bool adapter);

/* A load was begun.  */
void load_budget_count_load (load_budget_t *weights, bool adapter);

/* Loads under way when last counted.  */
int load_budget_n_loading (const load_budget_t *weights, bool adapter);

#endif
