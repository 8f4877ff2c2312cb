/* duration.h - how long the latest requests of each kind took, from their
   arrival to the end of their answer.  */

#ifndef KNAPWEEDFORK_DURATION_H
#define KNAPWEEDFORK_DURATION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct durations durations_t;

/* How many of the latest requests of a kind count.  */
#define DURATION_SAMPLES 64

durations_t *durations_new (void);
void durations_free (durations_t *durations);

/* Kind of the requests of ROUTE (NULL: none) for SERVICE or MODEL, of which
   one may be NULL.  */
uint64_t duration_kind (const char *route, const char *service,
                        const char *model, bool stream);

/* Record that a request of KIND took DURATION_NS.  */
void durations_record (durations_t *durations, uint64_t kind,
                       int64_t duration_ns);

/* The longest of the latest requests of KIND, in nanoseconds.  N is set to the
   number of requests that it is taken from; 0: none is known.  */
int64_t durations_longest_ns (const durations_t *durations, uint64_t kind,
                              int *n);

#endif
