#include "choose.h"

#include <math.h>
#include <xxhash.h>

#include "pace.h"

/* Delays that differ by less than about this count as similar.  */
#define SIMILAR_NS (40.0 * (double)KWF_NS_PER_MS)

bool
choose_by_delay_applies (const GPtrArray *servers)
{
  for (guint i = 0; i < servers->len; i++)
    if (server_reports_pace (servers->pdata[i]))
      return true;
  return false;
}

/* A random number that follows the Gumbel distribution.  With it subtracted
   from the costs, a server is the least with a probability that falls
   exponentially with its cost.  */
static double
gumbel (const server_t *server, uint64_t spread)
{
  uint64_t pair[2] = { server->hash, spread };
  uint64_t hash = XXH64 (pair, sizeof pair, 0);
  double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
  return -log (-log (uniform));
}

server_t *
choose_by_delay (const GPtrArray *servers, const delay_query_t *query,
                 uint64_t spread, int64_t now_ns)
{
  server_t *found = NULL;
  double least = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      delay_estimate_t estimate = delay_estimate (server, query, now_ns);
      double cost
          = delay_cost_ns (&estimate) - SIMILAR_NS * gumbel (server, spread);
      if (found && cost >= least)
        continue;
      found = server;
      least = cost;
    }
  return found;
}
