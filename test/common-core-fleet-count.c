/* What a fleet of cores did, counted afterwards.  */

#include "common-core-fleet.h"

int
core_fleet_count (const core_fleet_t *fleet, int server, int64_t from_ns,
                  int64_t until_ns)
{
  const GArray *arrivals = fleet->servers[server].arrivals;
  int n = 0;
  for (guint i = 0; i < arrivals->len; i++)
    {
      int64_t at_ns = g_array_index (arrivals, core_fleet_arrival_t, i).at_ns;
      n += at_ns >= from_ns && at_ns < until_ns;
    }
  return n;
}

double
core_fleet_served (const core_fleet_t *fleet, int64_t from_ns,
                   int64_t until_ns)
{
  int n = 0;
  int n_served = 0;
  for (guint i = 0; i < fleet->requests->len; i++)
    {
      const core_fleet_request_t *request
          = &g_array_index (fleet->requests, core_fleet_request_t, i);
      if (request->sent_ns < from_ns || request->sent_ns >= until_ns)
        continue;
      n++;
      n_served += request->ended && request->status == 200;
    }
  return n ? (double)n_served / n : 0;
}

int
core_fleet_most_in_second (const core_fleet_t *fleet, int server,
                           int64_t from_ns, int64_t until_ns)
{
  const GArray *arrivals = fleet->servers[server].arrivals;
  int most = 0;
  GQueue window = G_QUEUE_INIT;
  for (guint i = 0; i < arrivals->len; i++)
    {
      core_fleet_arrival_t *arrival
          = &g_array_index (arrivals, core_fleet_arrival_t, i);
      if (arrival->at_ns < from_ns || arrival->at_ns >= until_ns
          || arrival->kind != KWF_ANSWER_REQUEST)
        continue;
      g_queue_push_tail (&window, arrival);
      while (arrival->at_ns
                 - ((const core_fleet_arrival_t *)g_queue_peek_head (&window))
                       ->at_ns
             >= KWF_NS_PER_S)
        g_queue_pop_head (&window);
      most = MAX (most, (int)g_queue_get_length (&window));
    }
  g_queue_clear (&window);
  return most;
}
