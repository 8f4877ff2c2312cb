/* retry.h - when the callers that are refused come back.

   Load pattern: the callers that many instances refuse during an overload come
   back once.  If they came back together, they would be refused again.  Their
   times keep the order of refusal, urgent ones first, and are spread over the
   places that come free.  */

#ifndef KNAPWEEDFORK_ADMISSION_RETRY_H
#define KNAPWEEDFORK_ADMISSION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* The turns that this instance has given to callers of one service.  */
typedef struct
{
  int64_t urgent_ns;  /* next turn of an urgent caller */
  int64_t patient_ns; /* next turn of a patient caller */
} admission_turns_t;

typedef struct
{
  bool patient;
  int64_t room_in_ns;  /* when there will be room */
  double places_per_s; /* rate at which places come free; 0: not known */
  int n_instances;     /* that share these places */
  double jitter;       /* 0 to 1: different at each instance and request */
  int64_t left_ns;     /* time that the caller has left */
} admission_refusal_t;

/* The latest time after which a caller that has LEFT_NS comes back at all.  */
int64_t admission_latest_return_ns (int64_t left_ns);

/* Time from NOW_NS after which the caller of REFUSAL is to come back.  Takes
   the next turn of TURNS.  */
int64_t admission_retry_ns (admission_turns_t *turns,
                            const admission_refusal_t *refusal,
                            int64_t now_ns);

#endif
