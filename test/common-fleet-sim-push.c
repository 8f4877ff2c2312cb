/* The feed of the simulated fleet's table: pushes changed rows to the
   instances.  */

#include "common-fleet-sim-state.h"

#define FEED_MIN_NS (5 * FLEET_SIM_MS)
#define FEED_MAX_NS (30 * FLEET_SIM_MS)

static void
push_rows (fleet_sim_t *sim, int index, const kwf_row_t *rows, size_t n,
           int64_t wait_ns)
{
  kwf_event_t *event = fleet_sim_new_event (sim, KWF_EV_ROWS);
  event->rows = (kwf_rows_event_t){ sim->revision, rows, n };
  fleet_sim_push_event (sim, sim->now_ns + wait_ns, index, event);
}

void
fleet_sim_push_row (fleet_sim_t *sim, const kwf_row_t *row)
{
  for (int i = 0; i < sim->n_instances; i++)
    if (sim->instances[i].alive && !sim->instances[i].apart)
      push_rows (sim, i, row, 1,
                 fleet_sim_random_between (sim, FEED_MIN_NS, FEED_MAX_NS));
}

void
fleet_sim_push_table (fleet_sim_t *sim, int index)
{
  size_t n = 0;
  kwf_row_t *rows = fleet_sim_alloc (sim, (g_hash_table_size (sim->table) + 1)
                                              * sizeof *rows);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, sim->table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    rows[n++] = *(const kwf_row_t *)value;
  push_rows (sim, index, rows, n, FEED_MIN_NS);
}
