/* choose.h - which share owners an instance asks for tokens.

   Load pattern: the callers of an organisation arrive at any of some 80
   instances, while a few owners hold the tokens.  Each owner alone may have
   fewer tokens than a request needs although together they have enough.  */

#ifndef KNAPWEEDFORK_RATES_CHOOSE_H
#define KNAPWEEDFORK_RATES_CHOOSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const char *instance;
  bool recent;   /* it has told its level since the tokens were first needed */
  double level;  /* tokens that it probably has */
  double wanted; /* result: tokens to request from it; 0: it is not asked */
} rates_owner_t;

/* Sets WANTED of the N owners, each with capacity CAP, for a need of NEED
   tokens, and sorts them by level.  The fullest are asked, so that their
   levels become equal: one for a small need, several for a larger one or if
   one has too few.  If all together probably lack the tokens, all are asked.
   RANDOM varies the choice.  Returns how many are asked.  */
size_t rates_choose (rates_owner_t *owners, size_t n, double need, double cap,
                     uint64_t random);

#endif
