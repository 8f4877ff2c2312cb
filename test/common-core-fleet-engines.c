/* The model engines of a fleet of cores on a fake clock.  */

#include "common-core-fleet.h"

#include <string.h>

#include "lib/lists-build.h"

#define ENGINE_MB 200000
#define MODEL_MB 60000
#define MODELS_PER_ENGINE 3
#define ADAPTER_SLOTS 8
#define LOAD_NS (4 * KWF_NS_PER_S)
/* Models that get most of the requests, and engines that hold each of them at
   the start.  */
#define BUSY_MODELS 4
#define BUSY_COPIES 5

struct core_fleet_engine
{
  int n_models;
  bool *resident;
  unsigned *adapters; /* for each model, a bit for each adapter */
  int64_t n_accepted;
  int loading; /* model; -1: none */
  int64_t loaded_ns;
};

core_fleet_engine_t *
core_fleet_engine_new (int n_models)
{
  core_fleet_engine_t *engine = g_new0 (core_fleet_engine_t, 1);
  engine->n_models = n_models;
  engine->resident = g_new0 (bool, n_models);
  engine->adapters = g_new0 (unsigned, n_models);
  engine->loading = -1;
  return engine;
}

void
core_fleet_engine_free (core_fleet_engine_t *engine)
{
  if (!engine)
    return;
  g_free (engine->resident);
  g_free (engine->adapters);
  g_free (engine);
}

static int
count_models (const core_fleet_engine_t *engine)
{
  int n = engine->loading >= 0;
  for (int i = 0; i < engine->n_models; i++)
    n += engine->resident[i];
  return n;
}

static int
count_adapters (const core_fleet_engine_t *engine)
{
  int n = 0;
  for (int i = 0; i < engine->n_models; i++)
    n += __builtin_popcount (engine->adapters[i]);
  return n;
}

void
core_fleet_place_models (core_fleet_t *fleet)
{
  int at = 0;
  for (int i = 0; i < fleet->n_models; i++)
    for (int k = 0; k < (i < BUSY_MODELS ? BUSY_COPIES : 1); k++)
      for (int tries = 0; tries < fleet->n_servers; tries++)
        {
          core_fleet_engine_t *engine
              = fleet->servers[at++ % fleet->n_servers].engine;
          if (engine->resident[i]
              || count_models (engine) == MODELS_PER_ENGINE)
            continue;
          engine->resident[i] = true;
          break;
        }
}

const char *
core_fleet_model_name (int model)
{
  static char names[64][4];
  g_snprintf (names[model], sizeof names[model], "m%d", model);
  return names[model];
}

const char *
core_fleet_adapter_name (int adapter)
{
  static const char *const names[CORE_FLEET_ADAPTERS]
      = { "a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7" };
  return names[adapter];
}

void
core_fleet_add_models (const core_fleet_t *fleet, kwf_lists_t *lists)
{
  const char *adapters[CORE_FLEET_ADAPTERS];
  for (int i = 0; i < CORE_FLEET_ADAPTERS; i++)
    adapters[i] = core_fleet_adapter_name (i);
  lists_add_service (lists, &(kwf_service_t){ .name = "models",
                                              .engine = true,
                                              .memory_mb = ENGINE_MB,
                                              .adapter_slots = ADAPTER_SLOTS,
                                              .loads_per_s = 2.2 });
  for (int i = 0; i < fleet->n_models; i++)
    lists_add_model (
        lists,
        &(kwf_model_t){ .name = core_fleet_model_name (i),
                        .service = "models",
                        .memory_mb = MODEL_MB,
                        .load_ns = LOAD_NS,
                        .adapters = adapters,
                        .n_adapters = i % 2 ? 0 : CORE_FLEET_ADAPTERS });
}

static int
order_adapter (core_fleet_engine_t *engine, const core_fleet_order_t *order)
{
  unsigned bit = 1U << order->adapter;
  bool has = engine->adapters[order->model] & bit;
  if (!engine->resident[order->model])
    return 421;
  if (has == order->load)
    return 200;
  engine->n_accepted++;
  engine->adapters[order->model] ^= bit;
  if (count_adapters (engine) > ADAPTER_SLOTS)
    g_error ("an engine is ordered to hold too many adapters");
  return order->load ? 202 : 200;
}

int
core_fleet_order (core_fleet_t *fleet, core_fleet_server_t *server,
                  const core_fleet_order_t *order)
{
  core_fleet_engine_t *engine = server->engine;
  if (engine->loading >= 0
      || (order->after >= 0 && order->after != engine->n_accepted))
    return 409;
  if (order->adapter >= 0)
    return order_adapter (engine, order);
  if (engine->resident[order->model] == order->load)
    return 200;
  engine->n_accepted++;
  if (order->load)
    {
      engine->loading = order->model;
      engine->loaded_ns = fleet->now_ns + LOAD_NS;
      if (count_models (engine) > MODELS_PER_ENGINE)
        g_error ("an engine is ordered to hold too many models");
    }
  else
    {
      engine->resident[order->model] = false;
      engine->adapters[order->model] = 0;
    }
  return 202;
}

bool
core_fleet_finish_load (const core_fleet_t *fleet, core_fleet_server_t *server)
{
  core_fleet_engine_t *engine = server->engine;
  if (engine->loading < 0 || fleet->now_ns < engine->loaded_ns)
    return false;
  engine->resident[engine->loading] = true;
  engine->loading = -1;
  return true;
}

bool
core_fleet_engine_has (const core_fleet_engine_t *engine, int model,
                       int adapter)
{
  return engine->resident[model]
         && (adapter < 0 || engine->adapters[model] & 1U << adapter);
}

kwf_resident_t *
core_fleet_residents (const core_fleet_t *fleet,
                      const core_fleet_engine_t *engine, size_t *n)
{
  kwf_resident_t *residents = g_new0 (kwf_resident_t, fleet->n_models + 1);
  *n = 0;
  for (int i = 0; i < fleet->n_models; i++)
    {
      if (!engine->resident[i])
        continue;
      kwf_resident_t *resident = &residents[(*n)++];
      const char **adapters = g_new0 (const char *, CORE_FLEET_ADAPTERS);
      *resident = (kwf_resident_t){ .name = core_fleet_model_name (i),
                                    .version = "",
                                    .adapters = adapters };
      for (int k = 0; k < CORE_FLEET_ADAPTERS; k++)
        if (engine->adapters[i] & 1U << k)
          adapters[resident->n_adapters++] = core_fleet_adapter_name (k);
    }
  return residents;
}

void
core_fleet_residents_free (kwf_resident_t *residents, size_t n)
{
  for (size_t i = 0; i < n; i++)
    g_free ((void *)residents[i].adapters);
  g_free (residents);
}

int64_t
core_fleet_engine_orders (const core_fleet_engine_t *engine)
{
  return engine->n_accepted;
}

bool
core_fleet_engine_busy (const core_fleet_engine_t *engine)
{
  return engine->loading >= 0;
}
