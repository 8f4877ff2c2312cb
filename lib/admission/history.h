/* history.h - requests at one server over the last seconds, as this instance
   knew them.

   Load pattern: the begin of an overload.  The places were taken lately, so
   fewer come free than in the long run.  */

#ifndef KNAPWEEDFORK_ADMISSION_HISTORY_H
#define KNAPWEEDFORK_ADMISSION_HISTORY_H

#include <stdint.h>

/* Period of the samples, that of the fleet's counts in large fleets.  */
#define ADMISSION_SAMPLE_NS (200 * KWF_NS_PER_MS)
#define ADMISSION_SAMPLES 32

typedef struct
{
  int16_t open[ADMISSION_SAMPLES]; /* the newest at NEWEST */
  int newest;
  int n;
} admission_history_t;

/* Add a sample, ADMISSION_SAMPLE_NS after the one before.  */
void admission_history_add (admission_history_t *history, int open);

/* Requests that were open AGE_NS before the newest sample, or at the oldest
   one; OTHERWISE: there is no sample.  */
int admission_history_open (const admission_history_t *history, int64_t age_ns,
                            int otherwise);

#endif
