/* Random numbers, memory and the event queue of the simulated fleet of the
   tests of shares.  */

#include <stdarg.h>
#include <string.h>

#include "common-fleet-sim-state.h"

uint64_t
fleet_sim_random_below (fleet_sim_t *sim, uint64_t n)
{
  return random_next (&sim->state) % n;
}

double
fleet_sim_random_unit (fleet_sim_t *sim)
{
  return (double)(random_next (&sim->state) >> 11) / 9007199254740992.0;
}

void
fleet_sim_log (const fleet_sim_t *sim, const char *format, ...)
{
  if (!sim->trace)
    return;
  va_list args;
  va_start (args, format);
  fprintf (sim->trace, "%8.3f ", (double)sim->now_ns / KWF_NS_PER_S);
  vfprintf (sim->trace, format, args);
  fputc ('\n', sim->trace);
  va_end (args);
}

void *
fleet_sim_alloc (fleet_sim_t *sim, size_t size)
{
  size = (size + 15) & ~(size_t)15;
  if (size > sim->free_size)
    {
      size_t block = MAX (size, 65536);
      sim->free_at = g_malloc (block);
      sim->free_size = block;
      g_ptr_array_add (sim->blocks, sim->free_at);
    }
  void *at = sim->free_at;
  sim->free_at += size;
  sim->free_size -= size;
  return memset (at, 0, size);
}

char *
fleet_sim_strdup (fleet_sim_t *sim, const char *text)
{
  if (!text)
    return NULL;
  size_t size = strlen (text) + 1;
  return memcpy (fleet_sim_alloc (sim, size), text, size);
}

/* Event queue.  */

void
fleet_sim_push (fleet_sim_t *sim, fleet_sim_item_t item)
{
  item.at_ns = MAX (item.at_ns, sim->now_ns);
  fleet_sim_item_t *copy = g_new (fleet_sim_item_t, 1);
  *copy = item;
  heap_push (&sim->events, item.at_ns, copy);
}

fleet_sim_item_t
fleet_sim_pop (fleet_sim_t *sim)
{
  fleet_sim_item_t *copy = heap_pop (&sim->events);
  fleet_sim_item_t item = *copy;
  g_free (copy);
  return item;
}

int64_t
fleet_sim_random_between (fleet_sim_t *sim, int64_t min_ns, int64_t max_ns)
{
  return min_ns
         + (int64_t)fleet_sim_random_below (sim,
                                            (uint64_t)(max_ns - min_ns) + 1);
}

kwf_event_t *
fleet_sim_new_event (fleet_sim_t *sim, kwf_event_type_t type)
{
  kwf_event_t *event = fleet_sim_alloc (sim, sizeof *event);
  event->type = type;
  return event;
}

void
fleet_sim_push_event (fleet_sim_t *sim, int64_t at_ns, int node,
                      kwf_event_t *event)
{
  fleet_sim_push (
      sim, (fleet_sim_item_t){ .at_ns = at_ns,
                               .type = FLEET_SIM_INSTANCE_EVENT,
                               .node = node,
                               .incarnation = sim->instances[node].incarnation,
                               .event = event });
}

const fleet_sim_item_t *
fleet_sim_first (const fleet_sim_t *sim)
{
  const heap_item_t *first = heap_first (&sim->events);
  return first ? first->data : NULL;
}
