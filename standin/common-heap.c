#include "common-heap.h"

#include <stdbool.h>

void
heap_init (heap_t *heap)
{
  *heap
      = (heap_t){ .items = g_array_new (FALSE, FALSE, sizeof (heap_item_t)) };
}

void
heap_clear (heap_t *heap)
{
  g_array_free (heap->items, TRUE);
}

static heap_item_t *
item_at (const heap_t *heap, guint i)
{
  return &g_array_index (heap->items, heap_item_t, i);
}

static bool
is_before (const heap_t *heap, guint i, guint k)
{
  const heap_item_t *a = item_at (heap, i);
  const heap_item_t *b = item_at (heap, k);
  return a->at_ns != b->at_ns ? a->at_ns < b->at_ns : a->order < b->order;
}

static void
swap (const heap_t *heap, guint i, guint k)
{
  heap_item_t item = *item_at (heap, i);
  *item_at (heap, i) = *item_at (heap, k);
  *item_at (heap, k) = item;
}

void
heap_push (heap_t *heap, int64_t at_ns, void *data)
{
  heap_item_t item = { at_ns, ++heap->order, data };
  g_array_append_val (heap->items, item);
  for (guint i = heap->items->len - 1; i && is_before (heap, i, (i - 1) / 2);
       i = (i - 1) / 2)
    swap (heap, i, (i - 1) / 2);
}

const heap_item_t *
heap_first (const heap_t *heap)
{
  return heap->items->len ? item_at (heap, 0) : NULL;
}

void *
heap_pop (heap_t *heap)
{
  void *data = item_at (heap, 0)->data;
  guint n = heap->items->len - 1;
  swap (heap, 0, n);
  g_array_set_size (heap->items, n);
  for (guint i = 0;;)
    {
      guint least = i;
      for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < n; child++)
        if (is_before (heap, child, least))
          least = child;
      if (least == i)
        return data;
      swap (heap, i, least);
      i = least;
    }
}

uint64_t
random_next (uint64_t *state)
{
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));
  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}
