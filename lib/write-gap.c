#include "write-gap.h"

#include <glib.h>
#include <knapweedfork/clock.h>

#define GAP_MIN_NS (100 * KWF_NS_PER_MS)
/* For each instance of the fleet: 125 writes a second of all together.  */
#define GAP_EACH_NS (8 * KWF_NS_PER_MS)

int64_t
write_gap_ns (size_t n_instances)
{
  return MAX (GAP_MIN_NS, (int64_t)n_instances * GAP_EACH_NS);
}
