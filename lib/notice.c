#include "notice.h"

#include <string.h>

#include "fanout.h"
#include "request.h"

/* Time after a pause in which the requests under way may grow from one to as
   many as there were before it: longer than most calls take, and a part of the
   pause, since a slow return costs as much as a longer pause.  */
#define RAMP_NS (1 * KWF_NS_PER_S)
#define RAMP_PART 2
/* Beginnings are counted over this time, for the pace of returning callers. */
#define PACE_NS (1 * KWF_NS_PER_S)
/* Callers that are turned away during one pause come back within this time;
   their own deadlines are some seconds.  */
#define RETURN_MOST_NS (5 * KWF_NS_PER_S)
/* Period of the question whether a server still leaves that the list has as
   ready.  Reports are priced; such a server is gone after some seconds.  */
#define CHECK_NS (5 * KWF_NS_PER_S)

void
notice_reset (server_t *server)
{
  server->notice = (notice_t){ 0 };
}

static void
set_leaving (server_t *server, const char *from, int64_t age_ns,
             int64_t now_ns, kwf_effects_t *effects)
{
  notice_t *notice = &server->notice;
  notice->leaving = true;
  notice->leaving_ns = now_ns - age_ns;
  notice->check_ns = now_ns + CHECK_NS;
  kwf_effects_log (effects, 227, KWF_LOG_INFO, NULL,
                   "server=%s leaves, told by %s %lld ms ago; it gets nothing "
                   "new",
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
  /* Answers of one burst ask for about the same pause.  */
  if (!notice_is_paused (server, now_ns))
    {
      notice->share = MAX (server->open_attempts, 1);
      notice->pace = MAX (MAX (notice->began, notice->began_before), 1);
      memset (notice->refused_callers, 0, sizeof notice->refused_callers);
    }
  notice->pause_until_ns = until_ns;
  notice->ramp_ns = MIN (RAMP_NS, (until_ns - now_ns) / RAMP_PART);
  kwf_effects_log (
      effects, 228, KWF_LOG_INFO, NULL,
      "server=%s wants nothing for %lld ms, under_way=%d", server->id,
      (long long)((until_ns - now_ns) / KWF_NS_PER_MS), server->open_attempts);
}

typedef struct
{
  const kwf_server_leaving_t *leaving;
  const char *from;
  kwf_effects_t *effects;
} telling_t;

static void
tell_one (const char *instance, void *data)
{
  const telling_t *telling = data;
  if (strcmp (instance, telling->from) != 0)
    session_send (instance, KWF_MSG_SERVER_LEAVING, telling->effects)->leaving
        = *telling->leaving;
}

static void
tell (const session_t *session, const server_t *server, kwf_effects_t *effects)
{
  kwf_server_leaving_t leaving
      = { .server = kwf_effects_strdup (effects, server->id),
          .incarnation = server->incarnation };
  telling_t telling = { &leaving, "", effects };
  fanout_broadcast_targets (session, tell_one, &telling);
}

/* The server that EVENT is about; NULL: its process is not the present one. */
static server_t *
server_of (const kwf_core_t *core, const kwf_notice_event_t *event)
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
  server_t *server = server_of (core, event);
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
  tell (core->session, server, effects);
  waits_recheck_all (core);
}

void
notice_handle_peer (kwf_core_t *core, const kwf_peer_event_t *peer,
                    kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  const kwf_server_leaving_t *told = &peer->message->leaving;
  server_t *server = backend_find (core->backend, told->server);
  if (!server || server->incarnation != told->incarnation
      || server->notice.leaving
      || now_ns - told->age_ns < server->notice.back_ns)
    return;
  set_leaving (server, peer->instance, told->age_ns, now_ns, effects);
  waits_recheck_all (core);
  /* Only what the one that read it tells: views of who passes on may differ,
     and two could pass it to each other for ever.  */
  if (!session_is_large (core->session) || told->forwarded
      || fanout_role (core->session) == FANOUT_LEAF)
    return;
  kwf_server_leaving_t forwarded = *told;
  forwarded.server = kwf_effects_strdup (effects, told->server);
  forwarded.forwarded = true;
  telling_t telling = { &forwarded, peer->instance, effects };
  fanout_local_members (core->session, tell_one, &telling);
}

static void
take_back (server_t *server, int64_t now_ns)
{
  server->notice.leaving = false;
  server->notice.back_ns = now_ns;
}

void
notice_handle_report (server_t *server, int64_t asked_ns, int64_t now_ns)
{
  if (server->notice.leaving && asked_ns > server->notice.leaving_ns)
    take_back (server, now_ns);
}

void
notice_handle_member (server_t *server, int64_t revision, bool ready,
                      bool settled, int64_t fresh_ns, int64_t now_ns)
{
  notice_t *notice = &server->notice;
  /* For a while entries may come that were written before the answer.  */
  if (!notice->leaving || !settled || now_ns - notice->leaving_ns <= fresh_ns)
    notice->entry = revision;
  else if (ready && revision > notice->entry)
    take_back (server, now_ns);
}

bool
notice_is_paused (const server_t *server, int64_t now_ns)
{
  return now_ns < server->notice.pause_until_ns;
}

bool
notice_slow_start_allows (const server_t *server, int64_t now_ns)
{
  const notice_t *notice = &server->notice;
  int64_t since_ns = now_ns - notice->pause_until_ns;
  if (!notice->pause_until_ns || since_ns >= notice->ramp_ns)
    return true;
  return since_ns >= 0
         && server->open_attempts
                < 1 + (int)(notice->share * since_ns / notice->ramp_ns);
}

void
notice_request_started (server_t *server, int64_t now_ns)
{
  notice_t *notice = &server->notice;
  int64_t since_ns = now_ns - notice->pace_ns;
  if (since_ns >= PACE_NS)
    {
      notice->began_before = since_ns < 2 * PACE_NS ? notice->began : 0;
      notice->began = 0;
      notice->pace_ns = now_ns;
    }
  notice->began++;
}

int64_t
notice_retry_after_ns (server_t *server, int priority, int64_t now_ns)
{
  notice_t *notice = &server->notice;
  int lane = CLAMP (priority, 0, NOTICE_CLASSES - 1);
  int64_t turn = notice->refused_callers[lane]++;
  /* Later classes leave room between them for those before.  */
  int64_t apart_ns = PACE_NS / notice->pace * (1 + lane);
  return MAX (notice->pause_until_ns - now_ns, 0)
         + turn * apart_ns % RETURN_MOST_NS;
}

int64_t
notice_next_probe_ns (const server_t *server)
{
  bool doubtful = server->notice.leaving && server->listed
                  && !server->member_leaving
                  && server->kind == KWF_MEMBER_ENGINE;
  return doubtful ? server->notice.check_ns : INT64_MAX;
}

void
notice_probe_started (server_t *server, int64_t now_ns)
{
  server->notice.check_ns = now_ns + CHECK_NS;
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
      "kwf_server_notices_total{kind=\"unreadable\"} %" G_GUINT64_FORMAT "\n",
      counts->leaving, counts->pauses, counts->unreadable);
}
