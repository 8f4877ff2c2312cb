#include <knapweedfork/handle.h>

#include <glib.h>
#include <string.h>

typedef struct
{
  uint32_t generation; /* odd while the slot is in use */
  uint32_t next_free;
  void *item;
} slot_t;

struct kwf_slots
{
  size_t item_size;
  size_t count;
  uint32_t first_free; /* index + 1; 0: none */
  GArray *slots;       /* of slot_t */
};

kwf_slots_t *
kwf_slots_new (size_t item_size)
{
  kwf_slots_t *slots = g_new0 (kwf_slots_t, 1);
  slots->item_size = item_size;
  slots->slots = g_array_new (FALSE, TRUE, sizeof (slot_t));
  return slots;
}

static slot_t *
slot_at (const kwf_slots_t *slots, uint32_t index)
{
  return &g_array_index (slots->slots, slot_t, index);
}

void
kwf_slots_free (kwf_slots_t *slots)
{
  if (!slots)
    return;
  for (uint32_t i = 0; i < slots->slots->len; i++)
    g_free (slot_at (slots, i)->item);
  g_array_free (slots->slots, TRUE);
  g_free (slots);
}

static kwf_handle_t
handle_of (uint32_t index, uint32_t generation)
{
  return (kwf_handle_t)generation << 32 | index;
}

void *
kwf_slots_add (kwf_slots_t *slots, kwf_handle_t *handle)
{
  uint32_t index;
  if (slots->first_free)
    {
      index = slots->first_free - 1;
      slots->first_free = slot_at (slots, index)->next_free;
    }
  else
    {
      slot_t empty = { 0 };
      index = slots->slots->len;
      g_array_append_val (slots->slots, empty);
    }
  slot_t *slot = slot_at (slots, index);
  slot->generation++;
  if (!slot->item)
    slot->item = g_malloc (slots->item_size);
  memset (slot->item, 0, slots->item_size);
  slots->count++;
  *handle = handle_of (index, slot->generation);
  return slot->item;
}

static slot_t *
find_slot (const kwf_slots_t *slots, kwf_handle_t handle)
{
  uint32_t index = (uint32_t)handle;
  uint32_t generation = (uint32_t)(handle >> 32);
  if (!(generation & 1) || index >= slots->slots->len)
    return NULL;
  slot_t *slot = slot_at (slots, index);
  return slot->generation == generation ? slot : NULL;
}

void *
kwf_slots_get (const kwf_slots_t *slots, kwf_handle_t handle)
{
  slot_t *slot = find_slot (slots, handle);
  return slot ? slot->item : NULL;
}

void
kwf_slots_remove (kwf_slots_t *slots, kwf_handle_t handle)
{
  slot_t *slot = find_slot (slots, handle);
  if (!slot)
    return;
  slot->generation++;
  slot->next_free = slots->first_free;
  slots->first_free = (uint32_t)handle + 1;
  slots->count--;
}

size_t
kwf_slots_count (const kwf_slots_t *slots)
{
  return slots->count;
}

void *
kwf_slots_next (const kwf_slots_t *slots, kwf_handle_t *handle)
{
  uint32_t index = *handle ? (uint32_t)*handle + 1 : 0;
  for (; index < slots->slots->len; index++)
    {
      slot_t *slot = slot_at (slots, index);
      if (!(slot->generation & 1))
        continue;
      *handle = handle_of (index, slot->generation);
      return slot->item;
    }
  *handle = 0;
  return NULL;
}
