/* Graceful shutdown (docs/design.md section 9).  */

#include "request.h"

#include "error-code.h"

/* Added to the time for which other instances may still return this instance's
   address.  */
#define ADDRESS_MARGIN_NS (KWF_NS_PER_S / 5)

/* A stopping instance starts a request only if the time left is this many
   times the longest of the latest requests of its kind.  */
#define MARGIN_REPEATABLE 2
#define MARGIN_ONCE 4
/* From fewer requests the longest is no estimate.  */
#define SAMPLES_REPEATABLE 5
#define SAMPLES_ONCE 20

static const char use_another[]
    = "this instance is stopping: use another address";

/* How long the requests of the kind of REQUEST take, those included that are
   open; INT64_MAX: not known.  */
static int64_t
longest_ns (const kwf_core_t *core, const request_t *request, int64_t now_ns)
{
  int n;
  int64_t longest
      = durations_longest_ns (core->durations, request->duration_kind, &n);
  if (n < (request->idempotent ? SAMPLES_REPEATABLE : SAMPLES_ONCE))
    return INT64_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const request_t *open = value;
      if (open->duration_kind == request->duration_kind)
        longest = MAX (longest, now_ns - open->arrived_ns);
    }
  return longest;
}

bool
stop_allows_start (const kwf_core_t *core, const request_t *request,
                   int64_t now_ns)
{
  const stop_t *stop = &core->stop;
  if (!stop->stopping || request->deadline_ns <= stop->limit_ns
      || stop->limit_ns == INT64_MAX)
    return true;
  /* A stream that has begun can no longer be refused, only cut.  */
  if (request_has_begun (request))
    return true;
  int margin = request->idempotent ? MARGIN_REPEATABLE : MARGIN_ONCE;
  return longest_ns (core, request, now_ns)
         <= (stop->limit_ns - now_ns) / margin;
}

void
stop_refuse (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  core->stop.n_refused++;
  request_fail (core, request, CODE_STOPPING, 0, use_another, effects);
}

bool
stop_check_start (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  if (stop_allows_start (core, request, kwf_now_ns (core->options.clock)))
    return true;
  stop_refuse (core, request, effects);
  return false;
}

/* Refuse the requests that wait and cannot end any more; streams that have
   begun wait before all others from now on.  */
static void
check_waiting (kwf_core_t *core, kwf_effects_t *effects)
{
  GList *open = g_hash_table_get_values (core->requests);
  for (GList *item = open; item; item = item->next)
    {
      request_t *request = item->data;
      if (request->attempt || request->handover
          || request->state == REQUEST_CRASH_CHECK
          || !stop_check_start (core, request, effects)
          || !request->queue_item.place || !request_has_begun (request))
        continue;
      wait_remove_request (core, request, false);
      attempt_dispatch (core, request, effects);
    }
  g_list_free (open);
}

void
stop_begin (kwf_core_t *core, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  stop_t *stop = &core->stop;
  if (stop->stopping)
    {
      stop->limit_ns = now_ns;
      return;
    }
  stop->stopping = true;
  stop->serve_until_ns
      = now_ns
        + (core->options.stop_serve_ns
               ? core->options.stop_serve_ns
               : core->options.address_lifetime_ns + core->options.renew_ns
                     + ADDRESS_MARGIN_NS);
  stop->limit_ns = core->options.stop_limit_ns
                       ? now_ns + core->options.stop_limit_ns
                       : INT64_MAX;
  session_set_leaving (core->session, effects);
  placement_resign (core->placement, effects);
  kwf_effects_log (effects, 240, KWF_LOG_INFO, NULL,
                   "stopping: %u requests are open, serving for another "
                   "%" G_GINT64_FORMAT " ms",
                   g_hash_table_size (core->requests),
                   (stop->serve_until_ns - now_ns) / KWF_NS_PER_MS);
  check_waiting (core, effects);
}

bool
stop_refuses_requests (const kwf_core_t *core, int64_t now_ns)
{
  return core->stop.stopping
         && (now_ns >= core->stop.serve_until_ns
             || now_ns >= core->stop.limit_ns);
}

static void
fail_open_requests (kwf_core_t *core, kwf_effects_t *effects)
{
  GList *open = g_hash_table_get_values (core->requests);
  for (GList *item = open; item; item = item->next)
    {
      request_t *request = item->data;
      /* Its answer is there.  */
      if (request->state == REQUEST_END_CHECK)
        {
          end_check_timeout (core, request, effects);
          continue;
        }
      kwf_effects_log (effects, 242, KWF_LOG_WARNING, request->id,
                       "interrupted by the stop: organisation %s, %s %s, "
                       "%" G_GINT64_FORMAT " tokens delivered",
                       request->organisation,
                       request->model ? "model" : "service",
                       request->model ? request->model : request->service,
                       request->delivered);
      core->stop.n_cut++;
      request_fail (core, request, CODE_STOPPING, 0, use_another, effects);
    }
  g_list_free (open);
}

void
stop_tick (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects)
{
  stop_t *stop = &core->stop;
  if (!stop->stopping || stop->exited)
    return;
  bool at_limit = now_ns >= stop->limit_ns;
  if (at_limit)
    fail_open_requests (core, effects);
  else if (now_ns < stop->serve_until_ns || now_ns < stop->linger_ns)
    return;
  if (g_hash_table_size (core->requests))
    return;
  stop->exited = true;
  kwf_effects_log (
      effects, 241, KWF_LOG_INFO, NULL,
      "%s; %" G_GUINT64_FORMAT " refused as they could not end in time, "
      "%" G_GUINT64_FORMAT " cut",
      at_limit ? "stopped at the limit" : "stopped: every request has ended",
      stop->n_refused, stop->n_cut);
  kwf_effects_add (effects, KWF_FX_EXIT);
}

int64_t
stop_next_tick_ns (const kwf_core_t *core)
{
  const stop_t *stop = &core->stop;
  if (!stop->stopping || stop->exited)
    return INT64_MAX;
  /* With open requests, the process exits when the last one ends.  */
  if (g_hash_table_size (core->requests))
    return stop->limit_ns;
  return MIN (MAX (stop->serve_until_ns, stop->linger_ns), stop->limit_ns);
}
