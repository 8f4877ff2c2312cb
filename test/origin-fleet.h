/* origin-fleet.h - simulates a fleet whose callers take up streams while
   servers of two software versions come and go, on a fake clock.  Each
   instance has real records (lib/origin/origin.h); the table, its feed and the
   callers are simulated.  */

#ifndef KNAPWEEDFORK_TEST_ORIGIN_FLEET_H
#define KNAPWEEDFORK_TEST_ORIGIN_FLEET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int taken_up;
  int served;  /* of them: a server of their version was there */
  int went_on; /* of these: they went on */
  int joined;  /* went on at another version */
} origin_counts_t;

/* Plays schedule SEED.  CUTS: instances are cut off from the store and from
   each other, and the store is away at times (origin-cuts.h).  */
origin_counts_t origin_fleet_play (uint64_t seed, bool cuts);

#endif
