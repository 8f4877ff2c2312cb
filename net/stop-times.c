#include "stop-times.h"

#include <knapweedfork/clock.h>

/* A stopping instance accepts no request later than this long before the end
   of the grace time, when it is killed, and until then those that can end in
   time (lib/stop.c).  */
#define GRACE_RESERVED_S 5.2
/* Open requests are cut off this long before the end of the grace time.  */
#define GRACE_MARGIN_S 0.3

int64_t
stop_times_limit_ns (const kwf_settings_t *settings)
{
  if (settings->grace_s > 0)
    return (int64_t)((settings->grace_s - GRACE_MARGIN_S) * KWF_NS_PER_S);
  return settings->stop_limit_ms * KWF_NS_PER_MS;
}

int64_t
stop_times_serve_ns (const kwf_settings_t *settings)
{
  double linger_s = settings->grace_s - GRACE_RESERVED_S;
  return linger_s > 0 ? (int64_t)(linger_s * KWF_NS_PER_S) : 0;
}
