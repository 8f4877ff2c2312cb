/* handle.h - tables of items that are referred to by handles.

   A handle combines an index with a generation number, so the handle of a
   removed item does not reach the next item in the same slot. 0 is never a
   valid handle.  */

#ifndef KNAPWEEDFORK_HANDLE_H
#define KNAPWEEDFORK_HANDLE_H

#include <stddef.h>
#include <stdint.h>

typedef uint64_t kwf_handle_t;

typedef struct kwf_slots kwf_slots_t;

/* Return a new table for items of ITEM_SIZE bytes.  */
kwf_slots_t *kwf_slots_new (size_t item_size);
void kwf_slots_free (kwf_slots_t *slots);

/* Add an item with all bytes zero, store its handle in *HANDLE and return the
   item.  The pointer is valid until the item is removed.  */
void *kwf_slots_add (kwf_slots_t *slots, kwf_handle_t *handle);

/* Return the item of HANDLE, or NULL if it was removed.  */
void *kwf_slots_get (const kwf_slots_t *slots, kwf_handle_t handle);

void kwf_slots_remove (kwf_slots_t *slots, kwf_handle_t handle);
size_t kwf_slots_count (const kwf_slots_t *slots);

/* Iterate over the items: return the first item after *HANDLE in table order
   and store its handle in *HANDLE, or return NULL at the end.  Start with
   *HANDLE 0.  The item just returned may be removed.  */
void *kwf_slots_next (const kwf_slots_t *slots, kwf_handle_t *handle);

#endif
