/* stop-times.h - the times of a graceful stop, from the settings.  */

#ifndef KNAPWEEDFORK_NET_STOP_TIMES_H
#define KNAPWEEDFORK_NET_STOP_TIMES_H

#include <knapweedfork/settings.h>

/* Time after SIGTERM at which open requests are cut off, early enough for the
   end of their answers to reach the callers.  */
int64_t stop_times_limit_ns (const kwf_settings_t *settings);

/* Time after SIGTERM during which requests are accepted; 0: as long as callers
   may use an address that they were given before.  */
int64_t stop_times_serve_ns (const kwf_settings_t *settings);

#endif
