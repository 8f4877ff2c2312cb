/* common-copies.h - the models in a fake engine's memory and the orders that
   change them.

   The engine refuses nothing that costs memory: it records the excess.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_WORLD_MEMORY_H
#define KNAPWEEDFORK_STANDIN_COMMON_WORLD_MEMORY_H

#include "common-world.h"

/* Memory of every model of the fake world.  */
#define WORLD_MODEL_MB 1000

struct world_memory
{
  world_engine_t *engine;
  GPtrArray *models;  /* models in memory */
  GHashTable *orders; /* id -> when its change ends */
  int64_t total_mb;
  int64_t load_ns;
  int64_t unload_ns;
  int64_t newest_fence;
  int64_t delay_ns;   /* of an order on its way */
  int lose_orders;    /* this many orders get lost */
  int lose_answers;   /* this many answers get lost */
  bool repeat_orders; /* each order arrives again after 3 s */
  bool fencing;
  /* Records.  */
  int excess_loads;         /* loads that did not fit */
  int last_copies_unloaded; /* unloads of the last copy of a model that is
                               called */
  int loads;
  int unloads;
};

world_memory_t *world_memory_new (world_engine_t *engine, int64_t total_mb);
void world_memory_free (world_memory_t *memory);

/* A model that is there from the start.  */
void world_memory_add (world_memory_t *memory, const char *model,
                       const char *version);

/* Carry out KWF_FX_ORDER of NODE.  */
void world_memory_send_order (world_node_t *node, const kwf_order_t *order);

/* Whether the model answers calls here; VERSION NULL: any.  */
bool world_memory_has_ready (world_memory_t *memory, const char *model,
                             const char *version);

void world_memory_report (world_memory_t *memory, kwf_report_event_t *event);

/* The process is a new one; its memory is empty.  */
void world_memory_clear (world_memory_t *memory);

#endif
