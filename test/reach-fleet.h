/* reach-fleet.h - simulates instances that send requests to backend servers,
   on a fake clock.  Each instance has the real lib/reach/reach.h; servers,
   links and requests are simulated.  */

#ifndef KNAPWEEDFORK_TEST_REACH_FLEET_H
#define KNAPWEEDFORK_TEST_REACH_FLEET_H

#include <glib.h>
#include <stdint.h>

/* What becomes of the connections of an instance that is cut off.  */
typedef enum
{
  REACH_CUT_HANGS,
  REACH_CUT_RESETS,
  REACH_CUT_REFUSES /* open ones live on, new ones are refused */
} reach_cut_t;

typedef struct
{
  int n;     /* instances */
  int n_cut; /* of them, cut off from all servers for some seconds; 0: none,
                and the servers have troubles */
  reach_cut_t cut;
  int n_servers; /* 0: more for larger fleets */
  double per_s;  /* requests at each instance; 0: as in fleets of this size */
  uint64_t seed;
} reach_play_t;

typedef struct
{
  int n_doubts;
  int n_stranded; /* instances that were cut off, and have told so */
  int n_mistaken; /* the same of others */
  int longest_mistake_ms;
  int first_ms; /* from the first try of a caller in the cut until the first
                   and the last of them had told all others */
  int last_ms;
  int left_out_ms;  /* time in which callers were kept away from some */
  int n_late;       /* first tries after contact_ms, at all instances */
  int n_late_there; /* and at those that were cut off */
  int back_ms;      /* from the end of the cut until the last was back */
} reach_result_t;

reach_result_t reach_fleet_play (const reach_play_t *play);

#endif
