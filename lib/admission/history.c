#include "history.h"

#include <knapweedfork/clock.h>

#define OPEN_MAX 10000

void
admission_history_add (admission_history_t *history, int open)
{
  history->newest = (history->newest + 1) % ADMISSION_SAMPLES;
  history->open[history->newest]
      = (int16_t)(open < OPEN_MAX ? open : OPEN_MAX);
  if (history->n < ADMISSION_SAMPLES)
    history->n++;
}

int
admission_history_open (const admission_history_t *history, int64_t age_ns,
                        int otherwise)
{
  if (!history->n)
    return otherwise;
  int64_t back = age_ns / ADMISSION_SAMPLE_NS;
  if (back > history->n - 1)
    back = history->n - 1;
  int at = history->newest - (int)back;
  return history->open[at < 0 ? at + ADMISSION_SAMPLES : at];
}
