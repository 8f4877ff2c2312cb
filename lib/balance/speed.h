/* speed.h - what is measured of the speed of each backend server.

   Load pattern: servers of one service differ in speed by a factor of two to
   three, and an instance sends each of them a request every few seconds.
   Measured times are kept as decaying sums of logarithms, which instances can
   add up.  The other servers of the service are the prior of each server.  */

#ifndef KNAPWEEDFORK_SPEED_H
#define KNAPWEEDFORK_SPEED_H

#include <stdbool.h>
#include <stdbool.h>
#include <stdint.h>

/* Times measured at one server, as if its pace had been 100.  For model
   servers, a time is a gap between two events of a stream; for plain servers
   it is the work of one request.  */
typedef struct
{
  double sum; /* of weight x ln (time in ns) */
  double weight;
  int64_t decayed_ns; /* time up to which both are decayed */
} speed_t;

/* Means over the servers of one service.  */
typedef struct
{
  double log_ns;        /* weighted mean of the logarithms of speed_t; 0: not
                           known yet */
  double token_ns;      /* median time to read one prompt token */
  double prompt_tokens; /* mean prompt of recent requests */
  double hold_ns;       /* mean time for which a request holds a slot */
  int64_t gap_aim_ns;   /* longest pause between events that callers of the
                           service last asked for; 0: not known */
  bool paced;           /* one of its servers reported a pace */
  double sum;           /* sums over its servers, while log_ns is computed */
  double weight;
  bool announced; /* the log has it */
} usual_t;

/* The values of a service of which nothing is measured yet.  */
void usual_init (usual_t *usual);

/* Adds a measured time with WEIGHT.  */
void speed_add (speed_t *speed, double time_ns, double weight, int64_t now_ns);

/* Decays SPEED to NOW_NS.  */
void speed_decay (speed_t *speed, int64_t now_ns);

/* How long work takes at a server with the sums SUM and WEIGHT, relative to
   the usual time of its service.  USUAL may be NULL: 1.  */
double speed_slowness (double sum, double weight, const usual_t *usual);

/* Moves the mean *MEAN towards SAMPLE.  */
void usual_add (double *mean, double sample);

/* Moves the median *MEDIAN one step towards SAMPLE.  */
void usual_move_median (double *median, double sample);

#endif
