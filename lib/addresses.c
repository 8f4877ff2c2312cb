/* The instance addresses that callers receive from the resolver port.

   A large fleet has more addresses than one answer may list.  If every answer
   listed the first 64 of 295 instances by name, those 64 would receive all
   callers.  So each answer is a random choice, mostly of instances in the
   caller's own data centre, because traffic between data centres is expensive
   and slow.  */

#include "request.h"

#include <string.h>

/* Part of a full answer that lists instances of the caller's own data centre.
   The rest is for callers when that data centre cannot be reached.  */
#define LOCAL_PART(most) ((most)*3 / 4)

typedef struct
{
  const char *address;
  const char *data_centre;
} address_t;

/* Partial Fisher-Yates shuffle: moves N randomly chosen entries to the front
   of LIST.  */
static void
shuffle_to_front (GArray *list, guint n, kwf_random_t *random)
{
  for (guint i = 0; i < n && i < list->len; i++)
    {
      uint64_t number;
      random->ops->fill (random, &number, sizeof number);
      guint from = i + (guint)(number % (list->len - i));
      address_t entry = g_array_index (list, address_t, from);
      g_array_index (list, address_t, from)
          = g_array_index (list, address_t, i);
      g_array_index (list, address_t, i) = entry;
    }
}

/* LOCAL gets the instances of DATA_CENTRE, NEAR the others of its region, and
   REMOTE those of other regions.  Without regions REMOTE gets none.  */
static void
split_by_data_centre (const kwf_core_t *core, const char *data_centre,
                      GArray *local, GArray *near, GArray *remote)
{
  uint64_t region = regions_bit (core->regions, data_centre);
  session_member_t member;
  size_t at = 0;
  while (session_next_member (core->session, &at, &member))
    {
      if (!directory_includes (core, &member))
        continue;
      address_t entry = { member.caller_address,
                          member.data_centre ? member.data_centre : "" };
      bool is_local
          = !data_centre || strcmp (entry.data_centre, data_centre) == 0;
      bool is_near = regions_bit (core->regions, entry.data_centre) == region;
      g_array_append_val (is_local ? local : is_near ? near : remote, entry);
    }
}

static void
call_for_addresses (const GArray *list, guint n, kwf_address_fn_t fn,
                    void *data)
{
  for (guint i = 0; i < n && i < list->len; i++)
    {
      const address_t *entry = &g_array_index (list, address_t, i);
      fn (entry->address, entry->data_centre, data);
    }
}

void
kwf_core_addresses (const kwf_core_t *core, const char *data_centre,
                    size_t most, kwf_address_fn_t fn, void *data)
{
  GArray *local = g_array_new (FALSE, FALSE, sizeof (address_t));
  GArray *near = g_array_new (FALSE, FALSE, sizeof (address_t));
  GArray *remote = g_array_new (FALSE, FALSE, sizeof (address_t));
  split_by_data_centre (core, data_centre, local, near, remote);
  guint n_local = local->len;
  guint n_others = near->len + remote->len;
  if (n_local + n_others > most)
    {
      n_others = MIN (n_others, (guint)(most - LOCAL_PART (most)));
      n_local = MIN (local->len, (guint)most - n_others);
      n_others = MIN (near->len + remote->len, (guint)most - n_local);
      shuffle_to_front (local, n_local, core->options.random);
      shuffle_to_front (near, n_others, core->options.random);
      shuffle_to_front (remote, n_others, core->options.random);
    }
  guint n_near = MIN (near->len, n_others);
  call_for_addresses (local, n_local, fn, data);
  call_for_addresses (near, n_near, fn, data);
  call_for_addresses (remote, n_others - n_near, fn, data);
  g_array_free (near, TRUE);
  g_array_free (local, TRUE);
  g_array_free (remote, TRUE);
}
