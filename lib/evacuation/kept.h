/* kept.h - the operator's evacuations over an older copy of the store.

   A store that came back from an older copy (lib/revision.h) may lack the
   latest evacuations, and may still have some that were lifted.  What was
   known stays in force until the operator has written it again, or until
   RESTORED_HOLD_NS later the store still says otherwise.  */

#ifndef KNAPWEEDFORK_KEPT_H
#define KNAPWEEDFORK_KEPT_H

#include <glib.h>

#include <knapweedfork/effect.h>
#include <knapweedfork/event.h>

typedef struct kept kept_t;

kept_t *kept_new (void);
void kept_free (kept_t *kept);

/* Takes over EVENT, which arrives at NOW_NS.  Returns a new set of the names
   of the data centres whose evacuation is in force.  */
GHashTable *kept_apply (kept_t *kept, const kwf_evacuations_event_t *event,
                        int64_t now_ns, kwf_effects_t *effects);

#endif
