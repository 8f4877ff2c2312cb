/* pacing.h - applies to the backend servers what lib/pace/cold.h decides:
   which services have cold servers, what entries, answers and other instances
   say of them, and whether this instance is in contact with the others.

   An instance that stood still, or has no link to any other member, cannot
   know which servers became cold meanwhile.  Until it has been in contact for
   PACING_CONTACT_NS, each server of a service with cold servers needs permits
   here, unless the limit's owner or the server says that it is not cold.

   Where the settings ask for it, a server that takes the place of another
   process, or was listed later than the others, gets a rate that grows with
   its answers (lib/pace/ramp.h).  */

#ifndef KNAPWEEDFORK_PACING_H
#define KNAPWEEDFORK_PACING_H

#include <glib.h>

#include <knapweedfork/core.h>
#include <knapweedfork/event.h>

#include "pace/cold.h"

/* Steps follow each other within half a second.  After a longer time this
   instance stood still.  */
#define PACING_GAP_NS (1 * KWF_NS_PER_S)
/* Links that broke while an instance stood still are down by then, and what
   was under way on the others has arrived.  */
#define PACING_CONTACT_NS (2 * KWF_NS_PER_S)

typedef struct
{
  bool active;   /* some service has cold servers, or servers that start get a
                    growing rate */
  bool has_cold; /* some service has cold servers */
  bool listed;   /* a list was read before */
  bool was_in_contact;
  bool doubts;         /* what is known of servers may be out of date */
  int64_t step_ns;     /* last event; 0: there was none */
  int64_t contact_ns;  /* since when this instance is in contact; 0: it is
                          not */
  int64_t current_ns;  /* when the last list was the newest */
  int64_t check_ns;    /* when contact was last checked */
  uint64_t generation; /* of the configuration that was applied */
  uint64_t n_cold;     /* times that a server was announced as cold */
  uint64_t n_unreadable;
  uint64_t n_doubts;
  uint64_t n_started; /* ramp-ups that began */
} pacing_t;

/* An event has come: has this instance stood still?  Called before the event
   is handled.  */
void pacing_begin_step (kwf_core_t *core, kwf_effects_t *effects);
/* Called after the backend servers have handled EVENT.  */
void pacing_step (kwf_core_t *core, const kwf_event_t *event,
                  kwf_effects_t *effects);
/* An answer that may say whether its server is cold.  */
void pacing_handle_notice (kwf_core_t *core, const kwf_notice_event_t *notice,
                           kwf_effects_t *effects);
/* Append counters in the Prometheus text format.  */
void pacing_write_metrics (const kwf_core_t *core, GString *out);

#endif
