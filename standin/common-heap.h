/* common-heap.h - scheduled tasks in the order of their time, and repeatable
   random numbers, for tests on a fake clock.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_HEAP_H
#define KNAPWEEDFORK_STANDIN_COMMON_HEAP_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  int64_t at_ns;
  uint64_t order;
  void *data;
} heap_item_t;

/* Items by time; items of the same time in the order of insertion.  */
typedef struct
{
  GArray *items; /* of heap_item_t; the first is the next */
  uint64_t order;
} heap_t;

void heap_init (heap_t *heap);
void heap_clear (heap_t *heap);
void heap_push (heap_t *heap, int64_t at_ns, void *data);

/* The next item; NULL if there is none.  */
const heap_item_t *heap_first (const heap_t *heap);
/* Remove the next item, which must exist, and return its data.  */
void *heap_pop (heap_t *heap);

/* SplitMix64.  */
uint64_t random_next (uint64_t *state);

#endif
