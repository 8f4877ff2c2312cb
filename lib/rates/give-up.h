/* give-up.h - a stopping instance gives up its shares.

   Load pattern: instances are replaced by others of new names.  A lease of 300
   s would keep the shares of those that left unused for so long.  */

#ifndef KNAPWEEDFORK_RATES_GIVE_UP_H
#define KNAPWEEDFORK_RATES_GIVE_UP_H

#include "../share-state.h"

/* If this instance is stopping and another one can own shares, uses its own no
   more and says so in its session row; the next epoch leaves it out.  FRESH:
   rows arrived in this step.  Returns true when it does so.  */
bool give_up_run (shares_t *shares, bool fresh);

#endif
