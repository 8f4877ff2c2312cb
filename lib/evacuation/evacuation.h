/* evacuation.h - the data centres that the operator evacuates.

   Load pattern: an operator takes a data centre out of service, and back into
   it, while traffic runs.  Until it is taken back, no request, retry, hedge,
   resumed stream, trial or order is sent to a server there.  Streams that run
   there go on.

   The names of all evacuated data centres arrive as one event
   (KWF_EV_EVACUATIONS), which replaces those of the last one.  A name that no
   server has yet is kept, since a server of that data centre may be listed
   later.  */

#ifndef KNAPWEEDFORK_EVACUATION_H
#define KNAPWEEDFORK_EVACUATION_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include <knapweedfork/core.h>

#include "../backend.h"
#include "regions.h"

typedef struct evacuation evacuation_t;

evacuation_t *evacuation_new (void);
void evacuation_free (evacuation_t *evacuation);

/* Handle KWF_EV_EVACUATIONS, and KWF_EV_MEMBERS, which may list new servers:
   set the region of the servers of BACKEND, and whether they are in an
   evacuated data centre.  Return whether the set of evacuated data centres has
   changed.  */
bool evacuation_step (evacuation_t *evacuation, const backend_t *backend,
                      const regions_t *regions,
                      const kwf_core_options_t *options,
                      const kwf_event_t *event, kwf_effects_t *effects);

bool evacuation_contains (const evacuation_t *evacuation,
                          const char *data_centre);

/* Names of the evacuated data centres, for the status page.  */
json_t *evacuation_json (const evacuation_t *evacuation);
void evacuation_write_metrics (const evacuation_t *evacuation,
                               const backend_t *backend, GString *out);

#endif
