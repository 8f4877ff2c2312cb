#include "choose.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Levels are out of date when they are used.  If the chosen owners have less
   than this multiple of the need, more of them are asked.  */
#define MARGIN 1.25

/* A request that takes at most this part of an owner's capacity is asked from
   one owner, a larger one from up to MOST_OWNERS.  A request that empties one
   owner leaves the others full, and what accrues at a full owner is lost: with
   one owner asked, 8 owners of a burst of one second of the rate lost most of
   the burst.  */
#define SMALL_PART (1.0 / 8)
#define MOST_OWNERS 8

/* Part of an owner's level that is varied at random, so that instances with
   the same knowledge do not all choose the same owners.  */
#define VARIATION 0.1

static int
compare_owners (const void *a, const void *b)
{
  const rates_owner_t *first = a;
  const rates_owner_t *second = b;
  if (first->level != second->level)
    return first->level < second->level ? 1 : -1;
  return strcmp (first->instance, second->instance);
}

static void
vary_levels (rates_owner_t *owners, size_t n, uint64_t random)
{
  for (size_t i = 0; i < n; i++)
    {
      random = random * UINT64_C (6364136223846793005)
               + UINT64_C (1442695040888963407);
      double unit = (double)(random >> 11) / 0x1p53;
      owners[i].level *= 1 - VARIATION * unit;
    }
}

/* Takes NEED from the first K owners so that their levels become equal.  */
static size_t
take_from (rates_owner_t *owners, size_t k, double need)
{
  double sum = 0;
  double rest = 0;
  size_t used = 0;
  while (used < k && (!used || rest < owners[used].level))
    {
      sum += owners[used++].level;
      rest = (sum - need) / (double)used;
    }
  for (size_t i = 0; i < used; i++)
    owners[i].wanted = owners[i].level - rest;
  return used;
}

size_t
rates_choose (rates_owner_t *owners, size_t n, double need, double cap,
              uint64_t random)
{
  for (size_t i = 0; i < n; i++)
    owners[i].wanted = 0;
  if (!n || need <= 0)
    return 0;
  vary_levels (owners, n, random);
  qsort (owners, n, sizeof *owners, compare_owners);
  double parts = ceil (fmin (need / (cap * SMALL_PART), MOST_OWNERS));
  size_t k = 0;
  double sum = 0;
  while (k < n && ((double)k < parts || sum < need * MARGIN))
    sum += owners[k++].level;
  return take_from (owners, k, sum < 2 * need ? need * MARGIN : need);
}
