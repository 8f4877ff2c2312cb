/* common-world-memory.h - the models in a fake engine's memory, and the orders
   that load and unload them.

   The engine does not refuse a load that does not fit: it counts it in
   excess_loads.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_WORLD_MEMORY_H
#define KNAPWEEDFORK_STANDIN_COMMON_WORLD_MEMORY_H

#include "common-world.h"

/* Memory of every model of the fake world.  An adapter has a fiftieth of
   it.  */
#define WORLD_MODEL_MB 1000

struct world_memory
{
  world_engine_t *engine;
  GPtrArray *models;  /* of copy_t: models and adapters */
  GHashTable *orders; /* order id to the time at which its load or unload
                         ends */
  int64_t total_mb;
  int64_t load_ns;
  int64_t unload_ns;
  int64_t newest_fence;
  int64_t delay_ns;   /* delay of an order on its way to the engine */
  int lose_orders;    /* number of orders to be lost */
  int lose_answers;   /* number of replies to be lost */
  bool repeat_orders; /* each order arrives a second time after 3 s */
  bool fencing;
  /* What a test checks.  */
  int excess_loads;         /* loads that did not fit into the memory */
  int last_copies_unloaded; /* unloads of the last copy of a model that was
                               requested in the last minute */
  int loads;
  int unloads;
};

world_memory_t *world_memory_new (world_engine_t *engine, int64_t total_mb);
void world_memory_free (world_memory_t *memory);

/* Add a model that is loaded from the start.  */
void world_memory_add (world_memory_t *memory, const char *model,
                       const char *version);

/* Send ORDER, of the effect KWF_FX_ORDER of NODE, to its engine.  */
void world_memory_send_order (world_node_t *node, const kwf_order_t *order);

/* Whether the model is loaded and the engine is up; VERSION NULL means any
   version.  */
bool world_memory_has_ready (world_memory_t *memory, const char *model,
                             const char *version);

void world_memory_report (world_memory_t *memory, kwf_report_event_t *event);

/* Empty the memory, as for a new process.  */
void world_memory_clear (world_memory_t *memory);

#endif
