#include "notice.h"

#include <string.h>

#include "fanout.h"
#include "request.h"

/* Slow start: the time after a pause in which the requests in flight may grow
   from one to as many as there were before it.  It is longer than most
   requests take, but at most 1/SLOW_START_PART of the pause, since a slow
   return costs as much as a longer pause.  */
#define SLOW_START_MAX_NS (1 * KWF_NS_PER_S)
#define SLOW_START_PART 2
/* Started requests are counted over this time, to space out the callers that
   return.  */
#define PERIOD_NS (1 * KWF_NS_PER_S)
/* Callers that are refused during one pause are to return within this time, as
   their own deadlines are some seconds away.  */
#define RETURN_SPREAD_NS (5 * KWF_NS_PER_S)
/* Period of the probes of a server that leaves by its own announcement while
   the list has it as ready.  Load reports have a price, and such a server is
   gone after some seconds.  */
#define LEAVING_PROBE_NS (5 * KWF_NS_PER_S)

void
notice_reset (server_t *server)
{
  server->notice = (notice_t){ 0 };
  limit_restart (&server->limit);
}

static void
set_leaving (server_t *server, const char *from, int64_t age_ns,
             int64_t now_ns, kwf_effects_t *effects)
{
  notice_t *notice = &server->notice;
  notice->leaving = true;
  notice->leaving_ns = now_ns - age_ns;
  notice->leaving_probe_ns = now_ns + LEAVING_PROBE_NS;
  notice->settled = false;
  kwf_effects_log (effects, 227, KWF_LOG_INFO, NULL,
                   "server=%s leaves, announced by %s %lld ms ago; it gets no "
                   "new requests",
                   server->id, from, (long long)(age_ns / KWF_NS_PER_MS));
}

static void
set_pause (server_t *server, int64_t pause_ns, int64_t now_ns,
           kwf_effects_t *effects)
{
  notice_t *notice = &server->notice;
  int64_t until_ns = now_ns + MIN (pause_ns, NOTICE_PAUSE_MAX_NS);
  if (until_ns <= notice->pause_until_ns)
    return;
  /* The answers of a burst ask for about the same pause; the first of them
     sets the counts.  */
  if (!notice_server_is_paused (server, now_ns))
    {
      notice->in_flight = MAX (server->open_attempts, 1);
      notice->started_per_period
          = MAX (MAX (notice->n_started, notice->n_started_before), 1);
      memset (notice->refused_callers, 0, sizeof notice->refused_callers);
    }
  notice->pause_until_ns = until_ns;
  notice->slow_start_ns
      = MIN (SLOW_START_MAX_NS, (until_ns - now_ns) / SLOW_START_PART);
  kwf_effects_log (
      effects, 228, KWF_LOG_INFO, NULL,
      "server=%s asks for a pause of %lld ms, under_way=%d", server->id,
      (long long)((until_ns - now_ns) / KWF_NS_PER_MS), server->open_attempts);
}

static void
tell_peers (const session_t *session, const server_t *server,
            kwf_effects_t *effects)
{
  kwf_message_t message
      = { .type = KWF_MSG_SERVER_LEAVING,
          .leaving = { .server = kwf_effects_strdup (effects, server->id),
                       .incarnation = server->incarnation } };
  fanout_send_decision (session, &message, effects);
}

server_t *
notice_server (const kwf_core_t *core, const kwf_notice_event_t *event)
{
  if (event->server)
    return backend_find (core->backend, event->server);
  const attempt_t *attempt = kwf_slots_get (core->attempts, event->attempt);
  bool same = attempt && attempt->incarnation == attempt->server->incarnation;
  return same ? attempt->server : NULL;
}

void
notice_handle_event (kwf_core_t *core, const kwf_notice_event_t *event,
                     kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  server_t *server = notice_server (core, event);
  if (!server)
    return;
  notice_counts_t *counts = &core->notices;
  counts->unreadable += event->unreadable;
  if (event->unreadable)
    kwf_effects_log (effects, 229, KWF_LOG_WARNING, NULL,
                     "server=%s asks for a pause that cannot be read",
                     server->id);
  if (event->pause_ns > 0)
    {
      counts->pauses++;
      set_pause (server, event->pause_ns, now_ns, effects);
    }
  if (!event->leaving || server->notice.leaving)
    return;
  counts->leaving++;
  set_leaving (server, "its answer", 0, now_ns, effects);
  tell_peers (core->session, server, effects);
  waits_recheck_all (core);
}

void
notice_handle_peer (kwf_core_t *core, const kwf_peer_event_t *peer,
                    kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  const kwf_server_leaving_t *announced = &peer->message->leaving;
  server_t *server = backend_find (core->backend, announced->server);
  if (!server || server->incarnation != announced->incarnation
      || server->notice.leaving
      || now_ns - announced->age_ns < server->notice.taken_back_ns)
    return;
  set_leaving (server, peer->instance, announced->age_ns, now_ns, effects);
  waits_recheck_all (core);
  /* Pass on only the message of the instance that read the answer.  Instances
     may differ in their view of who passes messages on, and two of them could
     send this one back and forth without end.  */
  if (announced->forwarded)
    return;
  kwf_message_t forwarded = *peer->message;
  forwarded.leaving.server = kwf_effects_strdup (effects, announced->server);
  forwarded.leaving.forwarded = true;
  fanout_forward_decision (core->session, peer->instance, &forwarded, effects);
}

void
notice_handle_link (const kwf_core_t *core, const char *peer,
                    kwf_effects_t *effects)
{
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = g_ptr_array_index (servers, i);
      if (!server->listed || !server->restored.until_ns)
        continue;
      session_send (peer, KWF_MSG_SERVER_LEAVING, effects)->leaving
          = (kwf_server_leaving_t){
              .server = kwf_effects_strdup (effects, server->id),
              .incarnation = server->incarnation,
              .forwarded = true,
            };
    }
}

static void
clear_leaving (server_t *server, int64_t now_ns)
{
  server->notice.leaving = false;
  server->notice.taken_back_ns = now_ns;
}

void
notice_handle_report (server_t *server, int64_t asked_ns, int64_t now_ns)
{
  if (server->notice.leaving && asked_ns > server->notice.leaving_ns)
    clear_leaving (server, now_ns);
}

void
notice_handle_member (server_t *server, int64_t revision, bool ready,
                      const notice_list_t *list, int64_t now_ns)
{
  notice_t *notice = &server->notice;
  /* An entry of this list may have been written before the answer.  */
  bool settles = list->is_complete
                 && list->current_ns - notice->leaving_ns > list->delay_ns;
  if (notice->leaving && notice->settled && settles && ready
      && revision > notice->unsettled_revision)
    clear_leaving (server, now_ns);
  else if (!notice->leaving || !notice->settled || !settles)
    {
      /* Only what a later list adds was written after the answer.  */
      notice->unsettled_revision = revision;
      notice->settled = notice->leaving && settles;
    }
}

bool
notice_server_is_paused (const server_t *server, int64_t now_ns)
{
  return now_ns < server->notice.pause_until_ns;
}

bool
notice_slow_start_allows (const server_t *server, int64_t now_ns)
{
  const notice_t *notice = &server->notice;
  int64_t since_ns = now_ns - notice->pause_until_ns;
  if (!notice->pause_until_ns || since_ns >= notice->slow_start_ns)
    return true;
  return since_ns >= 0
         && server->open_attempts < 1
                                        + (int)(notice->in_flight * since_ns
                                                / notice->slow_start_ns);
}

void
notice_request_started (server_t *server, int64_t now_ns)
{
  notice_t *notice = &server->notice;
  int64_t since_ns = now_ns - notice->period_start_ns;
  if (since_ns >= PERIOD_NS)
    {
      notice->n_started_before
          = since_ns < 2 * PERIOD_NS ? notice->n_started : 0;
      notice->n_started = 0;
      notice->period_start_ns = now_ns;
    }
  notice->n_started++;
}

int64_t
notice_retry_after_ns (server_t *server, int priority, int64_t now_ns)
{
  notice_t *notice = &server->notice;
  int class = CLAMP (priority, 0, NOTICE_CLASSES - 1);
  int64_t turn = notice->refused_callers[class]++;
  /* Callers of lower classes leave room between them for those of higher
     classes.  */
  int64_t spacing_ns = PERIOD_NS / notice->started_per_period * (1 + class);
  return MAX (notice->pause_until_ns - now_ns, 0)
         + turn * spacing_ns % RETURN_SPREAD_NS;
}

int64_t
notice_next_probe_ns (const server_t *server)
{
  bool contradicted = server->notice.leaving && server->listed
                      && !server->member_leaving
                      && server->kind == KWF_MEMBER_ENGINE;
  return contradicted ? server->notice.leaving_probe_ns : INT64_MAX;
}

void
notice_probe_started (server_t *server, int64_t now_ns)
{
  server->notice.leaving_probe_ns = now_ns + LEAVING_PROBE_NS;
}

void
notices_write_metrics (const kwf_core_t *core, GString *out)
{
  const notice_counts_t *counts = &core->notices;
  g_string_append_printf (
      out,
      "# TYPE kwf_server_notices_total counter\n"
      "kwf_server_notices_total{kind=\"leaving\"} %" G_GUINT64_FORMAT "\n"
      "kwf_server_notices_total{kind=\"pause\"} %" G_GUINT64_FORMAT "\n"
      "kwf_server_notices_total{kind=\"unreadable\"} %" G_GUINT64_FORMAT "\n"
      "# TYPE kwf_server_loads_unreadable_total counter\n"
      "kwf_server_loads_unreadable_total %" G_GUINT64_FORMAT "\n",
      counts->leaving, counts->pauses, counts->unreadable,
      counts->unreadable_loads);
}
