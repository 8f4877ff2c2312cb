/* state.h - internals of admission_t, shared by the files of this
   directory.  */

#ifndef KNAPWEEDFORK_ADMISSION_STATE_H
#define KNAPWEEDFORK_ADMISSION_STATE_H

#include "admission.h"
#include "retry.h"

#define N_CLASSES 2 /* urgent and patient requests */

typedef enum
{
  OUTCOME_STARTED,
  OUTCOME_HELD,
  OUTCOME_TURN, /* held until its turn counted as urgent */
  OUTCOME_REFUSED_LATE,
  OUTCOME_REFUSED_CUT,
  OUTCOME_REFUSED_NO_COPY,
  N_OUTCOMES
} admission_outcome_t;

typedef struct
{
  bool reported;      /* its servers report their pace */
  int64_t checked_ns; /* when that was looked up */
  double run_s;       /* mean time of a request at a server; 0: not known */
  double read_s;      /* part of it until the first event */
  double urgent;      /* requests lately, decayed */
  double all;
  int64_t counted_ns;
  admission_turns_t turns;
} admission_service_t;

struct admission
{
  GHashTable *histories; /* server id to admission_history_t */
  int64_t next_sample_ns;
  GHashTable *services; /* name to admission_service_t */
  uint64_t counts[N_OUTCOMES][N_CLASSES];
  double held_s; /* time for which requests were held */
};

/* Share of urgent requests among those of SERVICE lately.  */
double admission_urgent_share (const admission_service_t *service);

#endif
