/* The addresses that a caller is told.

   Answers a fleet that is larger than an answer: with the first 64 of 295 by
   name, 64 instances would get all callers.  The choice differs from one
   answer to the next, and most of it is in the caller's data centre: what
   crosses between data centres is dear and slow.  */

#include "request.h"

#include <string.h>

/* Part of a full answer that is in the caller's own data centre; the rest
   serves when that one is cut off.  */
#define OWN_PART(most) ((most)*3 / 4)

typedef struct
{
  const char *address;
  const char *data_centre;
} address_t;

/* Put N entries that are chosen at random first.  */
static void
draw (GArray *list, guint n, kwf_random_t *random)
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

static void
split (const kwf_core_t *core, const char *data_centre, GArray *near,
       GArray *far)
{
  session_member_t member;
  size_t at = 0;
  while (session_next_member (core->session, &at, &member))
    {
      if (!directory_includes (core, &member))
        continue;
      address_t entry = { member.caller_address,
                          member.data_centre ? member.data_centre : "" };
      bool own = !data_centre || strcmp (entry.data_centre, data_centre) == 0;
      g_array_append_val (own ? near : far, entry);
    }
}

static void
give (const GArray *list, guint n, kwf_address_fn_t fn, void *data)
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
  GArray *near = g_array_new (FALSE, FALSE, sizeof (address_t));
  GArray *far = g_array_new (FALSE, FALSE, sizeof (address_t));
  split (core, data_centre, near, far);
  guint n_near = near->len;
  guint n_far = far->len;
  if (near->len + far->len > most)
    {
      n_far = MIN (far->len, (guint)(most - OWN_PART (most)));
      n_near = MIN (near->len, (guint)most - n_far);
      n_far = MIN (far->len, (guint)most - n_near);
      draw (near, n_near, core->options.random);
      draw (far, n_far, core->options.random);
    }
  give (near, n_near, fn, data);
  give (far, n_far, fn, data);
  g_array_free (near, TRUE);
  g_array_free (far, TRUE);
}
