#include "pacing.h"

#include "core-state.h"
#include "notice.h"
#include "request.h"

/* A list that was the newest less than this ago is as good as contact with the
   other instances.  */
#define CURRENT_NS (1 * KWF_NS_PER_S)
/* Period of the checks for contact.  */
#define CHECK_NS (100 * KWF_NS_PER_MS)

/* Contact.  */

/* Whether this instance has a link to another one, or there is no other.  */
static bool
has_contact (const kwf_core_t *core)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  int n_others = 0;
  while (session_next_member (core->session, &at, &member))
    {
      if (member.linked)
        return true;
      n_others += !member.leaving && !member.expired;
    }
  return !n_others;
}

static void
set_doubted (kwf_core_t *core, bool doubted)
{
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    ((server_t *)servers->pdata[i])->limit.cold.doubted = doubted;
  core->pacing.doubts = doubted;
}

static void
begin_doubts (kwf_core_t *core, const char *why, int64_t now_ns,
              kwf_effects_t *effects)
{
  const GPtrArray *servers = backend_servers (core->backend);
  core->pacing.contact_ns = 0;
  set_doubted (core, true);
  /* Another instance may be the owner of these limits by now.  */
  for (guint i = 0; i < servers->len; i++)
    {
      limit_t *limit = &((server_t *)servers->pdata[i])->limit;
      if (cold_stands (&limit->cold, now_ns))
        limit_hold_grants (limit, 0, now_ns);
    }
  core->pacing.n_doubts++;
  permits_attend (core->permits, now_ns);
  kwf_effects_log (effects, 283, KWF_LOG_INFO, NULL,
                   "%s: servers that may have become cold need permits here "
                   "until that is known",
                   why);
}

static void
check_contact (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects)
{
  pacing_t *pacing = &core->pacing;
  pacing->check_ns = now_ns;
  if (!pacing->has_cold)
    return;
  if (!has_contact (core))
    {
      pacing->contact_ns = 0;
      if (!pacing->was_in_contact || now_ns - pacing->current_ns <= CURRENT_NS)
        return;
      if (!pacing->doubts)
        begin_doubts (core, "no link to any other instance", now_ns, effects);
      else
        /* What a list or an owner denied while there was contact may have
           changed since.  */
        set_doubted (core, true);
      return;
    }
  pacing->was_in_contact = true;
  if (!pacing->contact_ns)
    pacing->contact_ns = now_ns;
  if (pacing->doubts && now_ns - pacing->contact_ns >= PACING_CONTACT_NS)
    set_doubted (core, false);
}

void
pacing_begin_step (kwf_core_t *core, kwf_effects_t *effects)
{
  pacing_t *pacing = &core->pacing;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  int64_t passed_ns = now_ns - pacing->step_ns;
  bool stood_still = pacing->step_ns && passed_ns > PACING_GAP_NS;
  pacing->step_ns = now_ns;
  if (pacing->has_cold && stood_still)
    begin_doubts (core, "this instance stood still", now_ns, effects);
}

/* What is said of servers.  */

static void
log_unreadable (kwf_core_t *core, server_t *server, const char *from,
                kwf_effects_t *effects)
{
  core->pacing.n_unreadable++;
  if (server->limit.cold.unreadable)
    return;
  server->limit.cold.unreadable = true;
  kwf_effects_log (effects, 284, KWF_LOG_WARNING, NULL,
                   "server=%s: how long it is cold cannot be read from %s; "
                   "allowed: 0 to 600000 ms",
                   server->id, from);
}

/* Entries of a current list were read after the last time without contact.  */
static void
handle_members (kwf_core_t *core, const kwf_members_event_t *event,
                int64_t now_ns, kwf_effects_t *effects)
{
  bool current = event->age_ns < CURRENT_NS;
  if (event->valid && current)
    core->pacing.current_ns = now_ns - event->age_ns;
  for (size_t i = 0; event->valid && i < event->n_members; i++)
    {
      const kwf_member_t *member = &event->members[i];
      server_t *server = backend_find (core->backend, member->id);
      if (!server || !member->described)
        continue;
      cold_t *cold = &server->limit.cold;
      if (member->cold == KWF_COLD_UNREADABLE)
        log_unreadable (core, server, "its entry", effects);
      else if (member->cold == KWF_COLD_TOLD)
        cold_handle_entry (cold, member->cold_left_ns, member->revision,
                           now_ns);
      if (current)
        cold->doubted = false;
    }
}

void
pacing_handle_notice (kwf_core_t *core, const kwf_notice_event_t *notice,
                      kwf_effects_t *effects)
{
  server_t *server = notice_server (core, notice);
  if (!server || notice->cold == KWF_COLD_NOT_TOLD)
    return;
  if (notice->cold == KWF_COLD_UNREADABLE)
    {
      log_unreadable (core, server, "an answer", effects);
      return;
    }
  const attempt_t *attempt = kwf_slots_get (core->attempts, notice->attempt);
  int64_t now_ns = kwf_now_ns (core->options.clock);
  int64_t asked_ns = notice->server ? notice->asked_ns : attempt->sent_ns;
  if (cold_handle_answer (&server->limit.cold, notice->cold_left_ns, asked_ns,
                          now_ns)
      && server->limit.cold.per_s > 0)
    permits_tell_peers (core->permits, core->session, server, effects);
}

/* Limits.  */

static void
apply_services (kwf_core_t *core)
{
  const kwf_lists_t *lists = config_lists (core->config);
  const GPtrArray *servers = backend_servers (core->backend);
  core->pacing.generation = config_generation (core->config);
  core->pacing.has_cold = false;
  for (guint i = 0; lists && i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      const kwf_service_t *service = kwf_lists_service (lists, server->name);
      server->limit.cold.per_s = service ? service->cold_per_s : 0;
      server->limit.cold.start_ns = service ? service->cold_start_ns : 0;
      core->pacing.has_cold |= server->limit.cold.per_s > 0;
    }
  core->pacing.active = core->pacing.has_cold || core->options.start_measured;
}

static void
log_change (kwf_core_t *core, const server_t *server, cold_state_t before,
            cold_state_t state, int64_t now_ns, kwf_effects_t *effects)
{
  const cold_t *cold = &server->limit.cold;
  if (state == COLD_ANNOUNCED)
    {
      core->pacing.n_cold++;
      kwf_effects_log (effects, 280, KWF_LOG_INFO, NULL,
                       "server=%s is cold for %lld ms more and gets %g "
                       "requests a second from all instances",
                       server->id,
                       (long long)((cold->until_ns - now_ns) / KWF_NS_PER_MS),
                       cold->per_s);
    }
  else if (before == COLD_ANNOUNCED)
    kwf_effects_log (effects, 281, KWF_LOG_INFO, NULL,
                     "server=%s is not cold any more", server->id);
}

/* Begins and ends the ramp-up of SERVER.  */
static void
update_ramp (kwf_core_t *core, server_t *server, int64_t now_ns,
             kwf_effects_t *effects)
{
  ramp_t *ramp = &server->limit.ramp;
  if (!core->options.start_measured)
    return;
  if (!ramp->begun_ns)
    {
      bool starts = ramp->started || core->pacing.listed;
      ramp_begin (ramp, now_ns);
      ramp->over = !starts;
    }
  bool stands = ramp_stands (ramp, now_ns);
  if (stands == ramp->handled)
    return;
  ramp->handled = stands;
  if (!stands)
    {
      kwf_effects_log (effects, 286, KWF_LOG_INFO, NULL,
                       "server=%s has started: its rate is not bounded any "
                       "more",
                       server->id);
      waits_recheck_all (core);
      return;
    }
  core->pacing.n_started++;
  limit_begin (&server->limit, now_ns);
  permits_attend (core->permits, now_ns);
  kwf_effects_log (effects, 285, KWF_LOG_INFO, NULL,
                   "server=%s starts: it gets %g requests a second, and more "
                   "as its answers allow",
                   server->id, ramp->per_s);
}

void
pacing_attempt_answered (kwf_core_t *core, const attempt_t *attempt,
                         int64_t now_ns)
{
  ramp_t *ramp = &attempt->server->limit.ramp;
  backend_attempt_answered (core->backend, attempt->server);
  if (ramp_stands (ramp, now_ns))
    ramp_record (ramp, attempt->request->prompt_tokens,
                 now_ns - attempt->sent_ns);
}

/* Begins and ends the limits of cold servers.  */
static void
update_limits (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects)
{
  const GPtrArray *servers = backend_servers (core->backend);
  int n_assumed = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      cold_t *cold = &server->limit.cold;
      update_ramp (core, server, now_ns, effects);
      cold_see (cold, now_ns);
      cold_state_t before = cold->handled;
      cold_state_t state = cold_state (cold, now_ns);
      if (state == before)
        continue;
      cold->handled = state;
      log_change (core, server, before, state, now_ns, effects);
      n_assumed += state == COLD_ASSUMED && !cold->doubted;
      if (state >= COLD_ASSUMED && before < COLD_ASSUMED)
        {
          limit_begin (&server->limit, now_ns);
          permits_attend (core->permits, now_ns);
        }
      else if (state < COLD_ASSUMED)
        waits_recheck_all (core);
    }
  if (n_assumed)
    kwf_effects_log (effects, 282, KWF_LOG_INFO, NULL,
                     "%d servers of unknown age count as cold", n_assumed);
}

void
pacing_step (kwf_core_t *core, const kwf_event_t *event,
             kwf_effects_t *effects)
{
  pacing_t *pacing = &core->pacing;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (event->type == KWF_EV_MEMBERS
      || pacing->generation != config_generation (core->config))
    apply_services (core);
  if (event->type == KWF_EV_MEMBERS)
    handle_members (core, &event->members, now_ns, effects);
  if (!pacing->active)
    return;
  if (event->type == KWF_EV_PEER_DOWN || now_ns - pacing->check_ns >= CHECK_NS)
    check_contact (core, now_ns, effects);
  update_limits (core, now_ns, effects);
  core->pacing.listed |= event->type == KWF_EV_MEMBERS;
}

void
pacing_write_metrics (const kwf_core_t *core, GString *out)
{
  const pacing_t *pacing = &core->pacing;
  const GPtrArray *servers = backend_servers (core->backend);
  int64_t now_ns = kwf_now_ns (core->options.clock);
  int n_of_state[COLD_ANNOUNCED + 1] = { 0 };
  for (guint i = 0; i < servers->len; i++)
    n_of_state[cold_state (&((server_t *)servers->pdata[i])->limit.cold,
                           now_ns)]++;
  g_string_append_printf (
      out,
      "# TYPE kwf_cold_servers gauge\n"
      "kwf_cold_servers{known=\"announced\"} %d\n"
      "kwf_cold_servers{known=\"assumed\"} %d\n"
      "# TYPE kwf_cold_total counter\n"
      "kwf_cold_total{kind=\"announced\"} %" G_GUINT64_FORMAT "\n"
      "kwf_cold_total{kind=\"unreadable\"} %" G_GUINT64_FORMAT "\n"
      "kwf_cold_total{kind=\"doubts\"} %" G_GUINT64_FORMAT "\n"
      "# TYPE kwf_server_starts_total counter\n"
      "kwf_server_starts_total %" G_GUINT64_FORMAT "\n",
      n_of_state[COLD_ANNOUNCED], n_of_state[COLD_ASSUMED], pacing->n_cold,
      pacing->n_unreadable, pacing->n_doubts, pacing->n_started);
}
