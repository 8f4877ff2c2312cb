/* load-entry.h - entries of the load message (KWF_MSG_SERVER_LOADS).

   Load pattern: what the server of a long prompt says of its pace, and what an
   instance measures there, is of use to the 77 other instances within the next
   second, and no message more is to be sent for it.

   A reader of an older build refuses a message with an unknown field, so all
   entries have the same fields.  What an older build does not know is in
   entries of its own, whose names are no ids of servers: such a build adds
   them up and passes them on with the others, and uses none.  */

#ifndef KNAPWEEDFORK_LOAD_ENTRY_H
#define KNAPWEEDFORK_LOAD_ENTRY_H

#include <knapweedfork/core.h>

/* What instances know of the requests at one server.  */
typedef struct
{
  int64_t open;
  int64_t unanswered;
  int64_t reading_tokens;
  int pace; /* newest report; 0: none */
  int64_t pace_ns;
  double speed_sum; /* as in speed_t */
  double speed_weight;
} load_counts_t;

/* Longest age of a pace that is sent.  */
#define LOAD_PACE_AGE_NS (1 * KWF_NS_PER_S)

/* Adds SIGN times PART to SUM.  Of two paces the newer one stays.  */
void load_counts_add (load_counts_t *sum, const load_counts_t *part, int sign);

/* Number of entries that load_entry_put may add for a server.  */
#define LOAD_ENTRIES_MAX 3

/* Adds the entries of SERVER to LIST and returns their number.  WITH_SPEED:
   also those of its speed.  */
size_t load_entry_put (kwf_server_load_t *list, const char *server,
                       const load_counts_t *counts, bool with_speed,
                       int64_t now_ns, kwf_effects_t *effects);

/* Reads ENTRY, which was received at NOW_NS, into COUNTS and returns the id of
   its server.  Free it with g_free.  */
char *load_entry_read (const kwf_server_load_t *entry, load_counts_t *counts,
                       int64_t now_ns);

#endif
