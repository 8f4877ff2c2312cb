/* decide.h - whether a request starts now, waits at the instance, or is
   refused.

   Load pattern: urgent requests, whose first event must come within a second,
   beside patient ones, which may wait for several seconds, while there are
   fewer places than requests.  */

#ifndef KNAPWEEDFORK_ADMISSION_DECIDE_H
#define KNAPWEEDFORK_ADMISSION_DECIDE_H

#include "forecast.h"

typedef enum
{
  ADMISSION_START,
  ADMISSION_HOLD, /* it leaves the free places to urgent requests */
  ADMISSION_LATE, /* its first event would miss its target */
  ADMISSION_CUT,  /* it could not end before its deadline */
  N_ADMISSION_VERDICTS
} admission_verdict_t;

typedef struct
{
  bool patient;
  int64_t spent_ns;  /* since its caller first sent it, if it returns after a
                        refusal; 0: it does not */
  int64_t target_ns; /* for the time to the first event; 0: none */
  int64_t waited_ns; /* since it arrived */
  int64_t left_ns;   /* until its deadline */
  int64_t run_ns;    /* time that a request takes at a server; 0: not known */
  int64_t read_ns;   /* part of it until the first event */
  int reserve;       /* places that are kept free for urgent requests */
  admission_forecast_t forecast;
} admission_query_t;

typedef struct
{
  admission_verdict_t verdict;
  int64_t room_in_ns; /* refused: when a request of its kind can begin in
                         time */
} admission_decision_t;

/* Whether a request of PRIORITY with this target may wait for urgent ones.  */
bool admission_is_patient (int64_t target_ns, int priority);

/* How long the request of QUERY, which is patient or whose caller returns, is
   held at most, from its arrival.  After that its turn counts as urgent.  */
int64_t admission_hold_ns (const admission_query_t *query);

admission_decision_t admission_decide (const admission_query_t *query);

/* How a model without a usable copy is loaded.  */
typedef struct
{
  bool announced;   /* a load was announced and is not overdue */
  int64_t ready_ns; /* time until the announced load ends */
  int64_t load_ns;  /* time that a load takes */
} admission_load_t;

/* Whether the request of QUERY waits for a copy.  Without an announced load it
   waits only for the time in which the placement leader reacts.  *RETRY_NS:
   time after which it is to come back otherwise.  */
bool admission_waits_for_copy (const admission_query_t *query,
                               const admission_load_t *load,
                               int64_t *retry_ns);

#endif
