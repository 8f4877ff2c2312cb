/* Fake engines: they refuse no order for lack of memory, but check its effect
   on the memory and on the last copies of models, and lose all models and
   orders when they are restarted.  */

#include <stdarg.h>
#include <string.h>

#include "common-ledger-world.h"

/* An unload may be justified by another copy that has since been lost with a
   restart of its engine.  This is the maximum time from that loss to the
   reservation of the unload: report lag plus maximum age of a report.  */
#define PROOF_AGE_NS (4 * LW_NS_PER_S)

uint64_t
lw_random (lw_t *world, uint64_t n)
{
  return random_next (&world->random_state) % n;
}

bool
lw_chance (lw_t *world, int percent)
{
  return lw_random (world, 100) < (uint64_t)percent;
}

void
lw_log (const lw_t *world, const char *format, ...)
{
  if (!world->trace)
    return;
  fprintf (world->trace, "%8.3f ", (double)world->now_ns / LW_NS_PER_S);
  va_list args;
  va_start (args, format);
  vfprintf (world->trace, format, args);
  va_end (args);
  fputc ('\n', world->trace);
}

void
lw_fail (lw_t *world, const char *format, ...)
{
  if (*world->failure)
    return;
  int used = snprintf (world->failure, sizeof world->failure,
                       "at %.3f s: ", (double)world->now_ns / LW_NS_PER_S);
  va_list args;
  va_start (args, format);
  vsnprintf (world->failure + used, sizeof world->failure - (size_t)used,
             format, args);
  va_end (args);
  lw_log (world, "VIOLATION %s", world->failure);
}

static lw_copy_t *
find_copy (lw_engine_t *engine, int model, bool leaving)
{
  for (int i = 0; i < LW_COPIES; i++)
    if (engine->copies[i].model == model
        && (engine->copies[i].gone_ns != INT64_MAX) == leaving)
      return &engine->copies[i];
  return NULL;
}

void
lw_engine_drop_unloaded (const lw_t *world, lw_engine_t *engine)
{
  for (int i = 0; i < LW_COPIES; i++)
    if (engine->copies[i].gone_ns <= world->now_ns)
      engine->copies[i].model = -1;
}

static void
check_memory (lw_t *world, lw_engine_t *engine)
{
  int64_t used_mb = 0;
  for (int i = 0; i < LW_COPIES; i++)
    if (engine->copies[i].model >= 0)
      used_mb += world->sizes[engine->copies[i].model];
  engine->most_mb = MAX (engine->most_mb, used_mb);
  if (used_mb > engine->total_mb)
    lw_fail (world, "G1: %s holds %d MB of %d", engine->name, (int)used_mb,
             (int)engine->total_mb);
}

static bool
add_copy (lw_t *world, lw_engine_t *engine, int model, int64_t load_ns)
{
  for (int i = 0; i < LW_COPIES; i++)
    if (engine->copies[i].model < 0)
      {
        engine->copies[i] = (lw_copy_t){ .model = model,
                                         .ready_ns = world->now_ns + load_ns,
                                         .gone_ns = INT64_MAX };
        check_memory (world, engine);
        return true;
      }
  lw_fail (world, "G1: %s holds %d models", engine->name, LW_COPIES);
  return false;
}

static void
check_last_copy (lw_t *world, const lw_engine_t *engine,
                 const lw_order_t *order)
{
  bool hot = order->model % 3 != 2;
  if (!hot
      || world->lost_ns[order->model] >= order->reserved_ns - PROOF_AGE_NS)
    return;
  for (int i = 0; i < world->n_engines; i++)
    {
      const lw_copy_t *copy
          = find_copy (&world->engines[i], order->model, false);
      if (&world->engines[i] != engine && copy
          && copy->ready_ns <= world->now_ns)
        return;
    }
  lw_fail (world, "G2: order %.6s unloads the last copy of m%d on %s",
           order->id, order->model, engine->name);
}

/* Carry out ORDER and return when it is complete.  */
static int64_t
carry_out (lw_t *world, lw_engine_t *engine, const lw_order_t *order,
           kwf_order_event_t *answer)
{
  lw_copy_t *copy = find_copy (engine, order->model, false);
  int64_t pause_ns = (int64_t)lw_random (world, 400) * LW_NS_PER_MS;
  if (order->load)
    {
      if (copy)
        return copy->ready_ns;
      add_copy (world, engine, order->model, pause_ns);
      return world->now_ns + pause_ns;
    }
  const lw_copy_t *leaving = find_copy (engine, order->model, true);
  if (!copy)
    return leaving ? leaving->gone_ns : world->now_ns;
  if (copy->ready_ns > world->now_ns)
    {
      answer->status = 409;
      answer->code = "model_loading";
      return world->now_ns;
    }
  check_last_copy (world, engine, order);
  copy->gone_ns = world->now_ns + pause_ns;
  return copy->gone_ns;
}

void
lw_engine_order (lw_t *world, lw_engine_t *engine, const lw_order_t *order,
                 kwf_order_event_t *answer)
{
  lw_engine_drop_unloaded (world, engine);
  answer->status = 202;
  bool fenced = engine->fencing && world->disabled != LW_NO_FENCE;
  if (fenced && order->fence < engine->newest_fence)
    {
      answer->status = 409;
      answer->code = "stale_fence";
      return;
    }
  engine->newest_fence = MAX (engine->newest_fence, order->fence);
  for (int i = 0; i < engine->n_ids; i++)
    if (strcmp (engine->ids[i].id, order->id) == 0)
      {
        answer->running = engine->ids[i].done_ns > world->now_ns;
        return;
      }
  int64_t done_ns = carry_out (world, engine, order, answer);
  answer->running = answer->status == 202 && done_ns > world->now_ns;
  if (answer->status != 202 || engine->n_ids == LW_IDS)
    return;
  lw_id_t *id = &engine->ids[engine->n_ids++];
  g_strlcpy (id->id, order->id, sizeof id->id);
  id->done_ns = done_ns;
}

/* Load the models that the engine has at its start.  */
void
lw_engine_start (lw_t *world, lw_engine_t *engine)
{
  for (int i = 0; i < LW_COPIES; i++)
    engine->copies[i] = (lw_copy_t){ .model = -1, .gone_ns = INT64_MAX };
  int64_t used_mb = 0;
  for (int i = 0; i < 2; i++)
    {
      int model = (int)lw_random (world, (uint64_t)world->n_models);
      if (find_copy (engine, model, false)
          || used_mb + world->sizes[model] > engine->total_mb)
        continue;
      add_copy (world, engine, model, 0);
      used_mb += world->sizes[model];
    }
}

void
lw_engine_restart (lw_t *world, lw_engine_t *engine)
{
  lw_log (world, "%s restarts", engine->name);
  for (int i = 0; i < LW_COPIES; i++)
    if (engine->copies[i].model >= 0)
      world->lost_ns[engine->copies[i].model] = world->now_ns;
  engine->incarnation++;
  engine->newest_fence = 0;
  engine->n_ids = 0;
  /* The engine starts empty.  Models that it loaded by itself at its start
     would be unknown to the leaders before the next report.  */
  for (int i = 0; i < LW_COPIES; i++)
    engine->copies[i] = (lw_copy_t){ .model = -1, .gone_ns = INT64_MAX };
}
