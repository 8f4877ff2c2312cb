/* Preemption: an overnight stream gives up its place at an engine for an
   urgent request and is resumed later (docs/design.md section 13).  */

#include "request.h"

/* A stream is preempted at most once in this time.  */
#define PREEMPT_INTERVAL_NS (10 * KWF_NS_PER_S)
/* Delay after a search that found no stream, as a search looks at all open
   requests.  */
#define SEARCH_DELAY_NS (10 * KWF_NS_PER_MS)

static bool
may_be_preempted (const request_t *stream, const request_t *request,
                  int64_t now_ns)
{
  if (stream->priority != KWF_PRIORITY_OVERNIGHT || !stream->stream
      || stream->state != REQUEST_STREAMING || !request_has_begun (stream)
      || !request_can_go_on (stream) || stream->withheld || stream->trial
      || stream->hedge || !stream->attempt)
    return false;
  const server_t *server = stream->attempt->server;
  return (request->awaited[0] == server || request->awaited[1] == server)
         && server->resume && server_usable (server, now_ns)
         && window_has_room (&server->window, server->open_attempts - 1)
         && (!stream->preempted_ns
             || now_ns - stream->preempted_ns >= PREEMPT_INTERVAL_NS);
}

/* The stream with the latest deadline of those that may be preempted.  */
static request_t *
find_stream (const kwf_core_t *core, const request_t *request, int64_t now_ns)
{
  request_t *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      request_t *stream = value;
      if (may_be_preempted (stream, request, now_ns)
          && (!best || stream->deadline_ns > best->deadline_ns
              || (stream->deadline_ns == best->deadline_ns
                  && stream->handle > best->handle)))
        best = stream;
    }
  return best;
}

bool
preempt_for (kwf_core_t *core, const request_t *request,
             kwf_effects_t *effects)
{
  wait_queue_t *waits = &core->waits;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  /* A stopping instance may not have the time to resume a stream.  */
  if (core->stop.stopping || now_ns < waits->preempt_ns
      || waits->preempts.tokens < 1)
    return false;
  request_t *stream = find_stream (core, request, now_ns);
  bool charged = retry_budget_by_service (core->retries);
  if (!stream
      || (charged && !retry_budget_left (core->retries, stream->service))
      || !budget_take (&waits->preempts))
    {
      waits->preempt_ns = now_ns + SEARCH_DELAY_NS;
      return false;
    }
  if (charged
      && retry_budget_take (core->retries, stream->service, REPEAT_RESUME))
    stream->resume_taken_ns = now_ns;
  waits->n_preempted++;
  const server_t *server = stream->attempt->server;
  kwf_effects_log (effects, 231, KWF_LOG_INFO, stream->id,
                   "preempted on %s after %" G_GINT64_FORMAT
                   " tokens by urgent request %s",
                   server->id, stream->delivered, request->id);
  attempt_cancel (core, stream->attempt, effects);
  /* The next attempt of the stream is not a retry.  */
  stream->n_attempts--;
  stream->preempted_ns = now_ns;
  wait_enter (
      core, stream,
      &(route_result_t){ .verdict = ROUTE_NO_ROOM, .full = { server } },
      effects);
  return true;
}
