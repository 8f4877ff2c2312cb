/* forecast.h - when a request can begin at the servers of a service.

   Load pattern: more work than places for several seconds, arriving at many
   small instances.  Each of them sends about one request a minute to a server,
   so its own window and queue say nothing about the server.  The forecast is
   made from what the whole fleet has open at the servers and from the servers'
   reports.  */

#ifndef KNAPWEEDFORK_ADMISSION_FORECAST_H
#define KNAPWEEDFORK_ADMISSION_FORECAST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A server that may run the request.  */
typedef struct
{
  int slots;       /* requests that it runs at once; > 0 */
  int open;        /* requests that run or wait there */
  int open_before; /* the same, one running time ago */
  double slowdown; /* time that work takes there, in times of the usual one */
} admission_holder_t;

typedef struct
{
  bool known;          /* false: nothing is known, and the rest is 0 */
  int slots;           /* of all holders */
  int free;            /* places that no request takes */
  double places_per_s; /* rate at which places come free while all are taken */
  int64_t start_ns;    /* time until the request begins at the holder where it
                          begins first */
} admission_forecast_t;

/* Forecast for a request that may run at the N HOLDERS, where a request takes
   RUN_NS.  RUN_NS 0: not known.  */
admission_forecast_t admission_forecast (const admission_holder_t *holders,
                                         size_t n, int64_t run_ns);

/* Places of SLOTS that are kept free for urgent requests, which are
   URGENT_SHARE of all requests.  */
int admission_reserve (int slots, double urgent_share);

/* What one report says about how much longer work takes, when it is AGE_NS
   old.  PACE is in per cent of the usual time; 0: never reported.  */
double admission_slowdown (int pace, int64_t age_ns);

#endif
