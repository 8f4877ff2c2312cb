#include "capacity.h"

#include "delay.h"
#include "contention.h"
#include "pace.h"

/* Bounds of a capacity, so that a wrong measurement does not empty a server or
   crowd another one.  */
#define CAPACITY_MIN 0.25
#define CAPACITY_MAX 3.0
/* Accepted pause of services whose routes name none.  */
#define DEFAULT_GAP_AIM_NS (300 * KWF_NS_PER_MS)

/* Part of the accepted pause that is left beside the events of a server which
   needs SLOWNESS times the usual time, in units of its reading speed.  */
static double
room_ns (double aim_ns, double gap_ns, double slowness)
{
  return (aim_ns - gap_ns * slowness) / slowness;
}

double
capacity_of (const server_t *server)
{
  if (!server_is_measured (server) || !server->usual)
    return 1;
  double aim_ns
      = (double)(server->usual->gap_aim_ns > 0 ? server->usual->gap_aim_ns
                                               : DEFAULT_GAP_AIM_NS);
  double gap_ns = MIN (delay_usual_gap_ns (server), aim_ns / 2);
  double usual = room_ns (aim_ns, gap_ns, 1);
  return CLAMP (room_ns (aim_ns, gap_ns, delay_slowness (server)) / usual,
                CAPACITY_MIN, CAPACITY_MAX);
}
