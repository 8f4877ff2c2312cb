#include "permit.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "fanout.h"

/* Without an owner, or an answer that grants what was asked, the next question
   waits this long at least and at most.  */
#define ASK_AGAIN_MIN_NS (50 * KWF_NS_PER_MS)
#define ASK_AGAIN_MAX_NS (1 * KWF_NS_PER_S)
/* Questions of all instances for each slot of a limit, while more is asked for
   than it has.  */
#define ASKS_PER_SLOT 4
/* A limit of which no permit was granted for this long ends: no answer can
   confirm it.  */
#define LAPSE_NS (30 * KWF_NS_PER_S)
/* A limit below this part of the one before it is a new one: permits of the
   old one end.  */
#define NEW_LIMIT_PART 0.9
/* Shortest time between two runs.  */
#define RUN_NS (2 * KWF_NS_PER_MS)
/* The view of the members is taken again after this time at the latest.  */
#define VIEW_NS (1 * KWF_NS_PER_S)

struct permits
{
  const kwf_clock_t *clock;
  char *instance;
  bool active;
  bool view_changed;
  int64_t view_ns;
  double share; /* live members among all */
  int n_live;
  int n_members;
  int64_t run_ns;
  int64_t next_ns;
  int64_t next_number;
  uint64_t limits;      /* limits, and changes of their rate, that were read */
  uint64_t unreadable;  /* answers with a limit that is no number */
  uint64_t taken;       /* permits that this instance got */
  uint64_t granted;     /* permits that it granted, to itself too */
  uint64_t denied;      /* permits that it was asked for and did not grant */
  uint64_t returned;    /* permits that it got and did not spend */
  uint64_t unpermitted; /* calls that it made without one */
};

permits_t *
permits_new (const kwf_core_options_t *options)
{
  permits_t *permits = g_new0 (permits_t, 1);
  permits->clock = options->clock;
  permits->instance = g_strdup (options->instance);
  permits->view_changed = true;
  permits->share = 1;
  permits->n_live = 1;
  permits->n_members = 1;
  permits->next_ns = INT64_MAX;
  return permits;
}

void
permits_free (permits_t *permits)
{
  if (!permits)
    return;
  g_free (permits->instance);
  g_free (permits);
}

/* The owner.  */

static bool
owns (const permits_t *permits, const session_t *session,
      const server_t *server)
{
  return strcmp (permits_owner (session, server), permits->instance) == 0;
}

static void
take_view (permits_t *permits, const session_t *session, int64_t now_ns)
{
  session_member_t member;
  size_t at = 0;
  int n = 0;
  permits->n_live = 0;
  while (session_next_member (session, &at, &member))
    {
      if (member.leaving || member.expired)
        continue;
      n++;
      permits->n_live += session_member_live (session, &member);
    }
  permits->n_live = MAX (permits->n_live, 1);
  permits->n_members = MAX (n, 1);
  permits->share = n ? MIN ((double)permits->n_live / n, 1) : 1;
  permits->view_changed = false;
  permits->view_ns = now_ns;
}

/* What is known of limits.  */

void
permits_tell_peers (const permits_t *permits, const session_t *session,
                    const server_t *server, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (permits->clock);
  kwf_message_t message
      = { .type = KWF_MSG_SERVER_LIMIT,
          .server_limit = permits_describe (server, now_ns, effects) };
  fanout_send_decision (session, &message, effects);
}

/* The limit that stands for SERVER, in requests a second; INFINITY: none.  */
static double
standing_limit (const server_t *server, int64_t now_ns)
{
  const limit_t *limit = &server->limit;
  double named_per_s = limit->named ? limit->rate_per_s : INFINITY;
  return MIN (named_per_s, cold_rate (&limit->cold, now_ns));
}

/* CHANGE of SERVER's limit was learnt FROM an answer or an instance.
   BEFORE_PER_S: the limit that stood until then.  */
static void
handle_change (permits_t *permits, server_t *server, limit_change_t change,
               double before_per_s, const char *from, int64_t now_ns,
               kwf_effects_t *effects)
{
  limit_t *limit = &server->limit;
  if (change == LIMIT_SET)
    kwf_effects_log (effects, 232, KWF_LOG_INFO, NULL,
                     "server=%s names a limit of %g requests a second, "
                     "version=%" PRId64 ", learnt from %s",
                     server->id, limit->rate_per_s, limit->version, from);
  else if (change == LIMIT_ENDED)
    kwf_effects_log (effects, 234, KWF_LOG_INFO, NULL,
                     "server=%s names no limit any more, version=%" PRId64
                     ", learnt from %s",
                     server->id, limit->version, from);
  if (change == LIMIT_SET && limit->rate_per_s < NEW_LIMIT_PART * before_per_s)
    limit_begin (limit, now_ns);
  permits->active |= change != LIMIT_UNCHANGED;
  permits->next_ns = MIN (permits->next_ns, now_ns);
}

void
permits_handle_notice (permits_t *permits, const session_t *session,
                       server_t *server, const kwf_notice_event_t *event,
                       int64_t asked_ns, kwf_effects_t *effects)
{
  static const char *const kinds[KWF_ANSWER_KINDS]
      = { [KWF_ANSWER_REQUEST] = "an answer to a request",
          [KWF_ANSWER_REPORT] = "a load report",
          [KWF_ANSWER_ORDER] = "an answer to an order" };
  int64_t now_ns = kwf_now_ns (permits->clock);
  limit_t *limit = &server->limit;
  if (event->limit == KWF_LIMIT_UNREADABLE)
    {
      permits->unreadable++;
      if (!limit->unreadable)
        kwf_effects_log (effects, 233, KWF_LOG_WARNING, NULL,
                         "server=%s names a limit that cannot be read",
                         server->id);
      limit->unreadable = true;
    }
  double before_per_s = standing_limit (server, now_ns);
  limit_change_t change = limit_handle_answer (limit, event, asked_ns, now_ns);
  if (change == LIMIT_UNCHANGED)
    return;
  permits->limits += change == LIMIT_SET;
  handle_change (permits, server, change, before_per_s, kinds[event->kind],
                 now_ns, effects);
  permits_tell_peers (permits, session, server, effects);
}

/* Apply what instance FROM knows; NULL: the server is not known, or is another
   process.  */
static server_t *
apply_news (permits_t *permits, const session_t *session,
            const backend_t *backend, const char *from,
            const kwf_server_limit_t *news, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (permits->clock);
  server_t *server = backend_find (backend, news->server);
  /* What is cold may be a new process that the list does not show yet.  */
  if (server && news->incarnation >= server->incarnation && news->cold_ns > 0)
    cold_handle_news (&server->limit.cold, news->cold_ns, now_ns);
  if (!server || server->incarnation != news->incarnation)
    return NULL;
  double before_per_s = standing_limit (server, now_ns);
  limit_change_t change = limit_handle_news (
      &server->limit, news->version, news->named, news->rate_per_s, now_ns);
  if (change != LIMIT_UNCHANGED)
    handle_change (permits, server, change, before_per_s, from, now_ns,
                   effects);
  if (change != LIMIT_UNCHANGED && server->limit.version > news->version)
    permits_tell_peers (permits, session, server, effects);
  return server;
}

static void
handle_limit (permits_t *permits, const session_t *session,
              const backend_t *backend, const kwf_peer_event_t *peer,
              kwf_effects_t *effects)
{
  const kwf_server_limit_t *news = &peer->message->server_limit;
  apply_news (permits, session, backend, peer->instance, news, effects);
  /* Views of who passes messages on may differ, and two instances could send
     one back and forth.  */
  if (news->forwarded)
    return;
  kwf_message_t message = *peer->message;
  message.server_limit.server = kwf_effects_strdup (effects, news->server);
  message.server_limit.forwarded = true;
  fanout_forward_decision (session, peer->instance, &message, effects);
}

/* An instance that has just linked to this one may know of no limit.  */
static void
tell_linked (const session_t *session, const backend_t *backend,
             const char *instance, int64_t now_ns, kwf_effects_t *effects)
{
  const GPtrArray *servers = backend_servers (backend);
  session_member_t self;
  size_t at = 0;
  if (!session_next_member (session, &at, &self) || !self.hub)
    return;
  for (guint i = 0; i < servers->len; i++)
    if (permits_is_told (servers->pdata[i], now_ns))
      session_send (instance, KWF_MSG_SERVER_LIMIT, effects)->server_limit
          = permits_describe (servers->pdata[i], now_ns, effects);
}

/* Questions and grants.  */

static kwf_permit_grant_t
answer_ask (permits_t *permits, server_t *server, const kwf_permit_ask_t *ask,
            int64_t now_ns)
{
  limit_t *limit = &server->limit;
  if (ask->n_unspent > 0)
    limit_refund (limit, (int)MIN (ask->n_unspent, LIMIT_PERMITS_MAX),
                  permits->share, now_ns);
  if (ask->n_unpermitted > 0)
    limit_charge (limit, (int)MIN (ask->n_unpermitted, G_MAXINT),
                  permits->share, now_ns);
  ramp_handle_sample (&limit->ramp,
                      &(ramp_sample_t){ ask->answer_kind, ask->answer_ns });
  int n = (int)CLAMP (ask->n, 0, LIMIT_PERMITS_MAX);
  limit_grant_t grant
      = limit_grant (limit, n, CLAMP (ask->patience_ns, 0, LIMIT_WAIT_MAX_NS),
                     permits->share, now_ns);
  permits->granted += (uint64_t)grant.n;
  permits->denied += (uint64_t)(n - grant.n);
  return (kwf_permit_grant_t){ .number = ask->number,
                               .n = grant.n,
                               .start_ns = grant.start_ns,
                               .spacing_ns = grant.spacing_ns,
                               .free_ns = grant.free_ns };
}

/* Time until a question that was not granted in full is repeated.  */
static int64_t
ask_again_ns (const permits_t *permits, const limit_t *limit, int64_t now_ns)
{
  double wait_s
      = permits->n_live / (ASKS_PER_SLOT * limit_rate (limit, now_ns));
  return (int64_t)(CLAMP (wait_s * (double)KWF_NS_PER_S,
                          (double)ASK_AGAIN_MIN_NS, (double)ASK_AGAIN_MAX_NS));
}

static void
take_grant (permits_t *permits, server_t *server,
            const kwf_permit_grant_t *grant, int64_t now_ns)
{
  limit_t *limit = &server->limit;
  int n = (int)CLAMP (grant->n, 0, LIMIT_PERMITS_MAX);
  permits->next_ns = MIN (permits->next_ns, now_ns);
  if (!limit->asked_ns || grant->number != limit->ask_number)
    {
      /* The question was given up, so its permits may be over.  */
      limit->n_unspent += n;
      return;
    }
  limit->unanswered_ns = 0;
  if (grant->cold_ns > 0)
    cold_handle_news (&limit->cold, grant->cold_ns, now_ns);
  else if (grant->cold_ns == KWF_COLD_DENIED)
    cold_handle_denial (&limit->cold);
  limit->ramp.over |= grant->started == 1;
  permits->taken += (uint64_t)n;
  limit_take_permits (limit, n, limit->asked_ns, grant->start_ns,
                      MAX (grant->spacing_ns, 0), now_ns);
  limit->free_ns = limit->asked_ns + MAX (grant->free_ns, 0);
  limit->asked_ns = 0;
  limit->wished = false;
  limit->next_ask_ns = now_ns;
  if (n < limit->n_asked)
    limit->next_ask_ns += ask_again_ns (permits, limit, now_ns);
  if (limit->n_waiting)
    limit->next_ask_ns = MIN (limit->next_ask_ns, limit->free_ns);
}

static void
handle_ask (permits_t *permits, const session_t *session,
            const backend_t *backend, const kwf_peer_event_t *peer,
            kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (permits->clock);
  const kwf_permit_ask_t *ask = &peer->message->permit_ask;
  server_t *server = apply_news (permits, session, backend, peer->instance,
                                 &ask->limit, effects);
  if (!server)
    return;
  if (server->limit.version > ask->limit.version)
    session_send (peer->instance, KWF_MSG_SERVER_LIMIT, effects)->server_limit
        = permits_describe (server, now_ns, effects);
  bool in_force = limit_in_force (&server->limit, now_ns);
  /* An asker that does not know whether the server is cold, or still starts,
     is told.  */
  const ramp_t *ramp = &server->limit.ramp;
  if (!in_force && server->limit.cold.per_s <= 0 && !ramp->begun_ns)
    return;
  kwf_permit_grant_t grant
      = { .number = ask->number, .free_ns = ASK_AGAIN_MIN_NS };
  if (in_force && owns (permits, session, server))
    grant = answer_ask (permits, server, ask, now_ns);
  if (ask->n <= 0)
    return;
  grant.cold_ns = permits_describe_cold (server, now_ns);
  grant.started = ramp->begun_ns && !ramp_stands (ramp, now_ns);
  grant.server = kwf_effects_strdup (effects, server->id);
  grant.incarnation = server->incarnation;
  session_send (peer->instance, KWF_MSG_PERMIT_GRANT, effects)->permit_grant
      = grant;
}

static void
handle_grant (permits_t *permits, const backend_t *backend,
              const kwf_permit_grant_t *grant)
{
  server_t *server = backend_find (backend, grant->server);
  if (server && server->incarnation == grant->incarnation)
    take_grant (permits, server, grant, kwf_now_ns (permits->clock));
}

static void
handle_message (permits_t *permits, const session_t *session,
                const backend_t *backend, const kwf_peer_event_t *peer,
                kwf_effects_t *effects)
{
  switch (peer->message->type)
    {
    case KWF_MSG_SERVER_LIMIT:
      handle_limit (permits, session, backend, peer, effects);
      break;
    case KWF_MSG_PERMIT_ASK:
      handle_ask (permits, session, backend, peer, effects);
      break;
    case KWF_MSG_PERMIT_GRANT:
      handle_grant (permits, backend, &peer->message->permit_grant);
      break;
    case KWF_MSG_LEAVE:
    case KWF_MSG_UNREACHABLE:
      permits->view_changed = true;
      break;
    default:
      break;
    }
}

void
permits_step (permits_t *permits, const session_t *session,
              const backend_t *backend, const kwf_event_t *event,
              kwf_effects_t *effects)
{
  switch (event->type)
    {
    case KWF_EV_PEER_UP:
      permits->view_changed = true;
      if (permits->active)
        tell_linked (session, backend, event->peer.instance,
                     kwf_now_ns (permits->clock), effects);
      break;
    case KWF_EV_PEER_DOWN:
    case KWF_EV_ROWS:
      permits->view_changed = true;
      break;
    case KWF_EV_PEER_MESSAGE:
      handle_message (permits, session, backend, &event->peer, effects);
      break;
    default:
      break;
    }
}

/* Running.  */

bool
permits_active (const permits_t *permits)
{
  return permits->active;
}

void
permits_attend (permits_t *permits, int64_t now_ns)
{
  permits->active = true;
  permits->next_ns = MIN (permits->next_ns, now_ns);
}

static void
ask_owner (permits_t *permits, const session_t *session, server_t *server,
           int n, int64_t patience_ns, int64_t now_ns, kwf_effects_t *effects)
{
  limit_t *limit = &server->limit;
  const char *owner = permits_owner (session, server);
  if (n && !limit->unanswered_ns)
    limit->unanswered_ns = now_ns;
  if (!*owner)
    {
      limit->next_ask_ns = now_ns + ASK_AGAIN_MIN_NS;
      return;
    }
  kwf_permit_ask_t ask = { .limit = permits_describe (server, now_ns, effects),
                           .number = n ? ++permits->next_number : 0,
                           .n = n,
                           .patience_ns = patience_ns,
                           .n_unspent = limit->n_unspent,
                           .n_unpermitted = limit->n_unpermitted,
                           .answer_ns = limit->ramp.sample.time_ns,
                           .answer_kind = limit->ramp.sample.kind };
  limit->ramp.sample = (ramp_sample_t){ 0 };
  permits->returned += (uint64_t)limit->n_unspent;
  permits->unpermitted += (uint64_t)limit->n_unpermitted;
  limit->n_unspent = 0;
  limit->n_unpermitted = 0;
  if (n)
    {
      limit->ask_number = ask.number;
      limit->n_asked = n;
      limit->asked_ns = now_ns;
    }
  if (strcmp (owner, permits->instance) != 0)
    {
      session_send (owner, KWF_MSG_PERMIT_ASK, effects)->permit_ask = ask;
      return;
    }
  kwf_permit_grant_t grant = answer_ask (permits, server, &ask, now_ns);
  if (n)
    take_grant (permits, server, &grant, now_ns);
}

static limit_sharers_t
describe_sharers (const permits_t *permits, const server_t *server)
{
  uint64_t draw
      = XXH64 (permits->instance, strlen (permits->instance), server->hash);
  return (limit_sharers_t){ .n_live = permits->n_live,
                            .n_members = permits->n_members,
                            .phase = (double)draw / (double)UINT64_MAX };
}

static void
run_server (permits_t *permits, const session_t *session, server_t *server,
            int64_t now_ns, permits_result_t *result, kwf_effects_t *effects)
{
  limit_t *limit = &server->limit;
  int64_t patience_ns;
  limit_return_permits (limit, now_ns);
  int n = limit_wanted (limit, now_ns, &patience_ns);
  bool waits = n && limit->n_waiting;
  if (n || limit->n_unspent || limit->n_unpermitted)
    ask_owner (permits, session, server, n, patience_ns, now_ns, effects);
  limit_sharers_t sharers = describe_sharers (permits, server);
  limit_take_alone (limit, &sharers, now_ns);
  server->recheck
      |= limit->n_waiting && limit->n_permits && limit->permits[0] <= now_ns;
  result->usable |= server->recheck;
  result->denied |= waits && !limit->asked_ns;
  permits->next_ns
      = MIN (permits->next_ns, limit_next_ns (limit, &sharers, now_ns));
}

static void
update_owner (permits_t *permits, const session_t *session, server_t *server,
              int64_t now_ns, kwf_effects_t *effects)
{
  limit_t *limit = &server->limit;
  const char *owner = permits_owner (session, server);
  uint64_t hash = XXH64 (owner, strlen (owner), 1);
  if (hash == limit->owner_hash)
    return;
  bool first = !limit->owner_hash;
  limit_change_owner (limit, hash, now_ns);
  if (strcmp (owner, permits->instance) != 0)
    return;
  if (!first)
    limit_hold_grants (limit, LIMIT_WINDOW_NS, now_ns);
  kwf_effects_log (effects, 236, KWF_LOG_INFO, NULL,
                   "this instance owns the limit of server=%s: %g requests a "
                   "second, live=%d share=%.2f",
                   server->id, limit_rate (limit, now_ns), permits->n_live,
                   permits->share);
}

/* End a limit that only answers could end, when nothing is asked.  */
static void
lapse (permits_t *permits, const session_t *session, server_t *server,
       int64_t now_ns, kwf_effects_t *effects)
{
  limit_t *limit = &server->limit;
  if (!limit->named
      || now_ns - MAX (limit->granted_ns, limit->named_ns) < LAPSE_NS
      || !owns (permits, session, server))
    return;
  limit_end (limit, now_ns);
  handle_change (permits, server, LIMIT_ENDED, 0, "no answer for long", now_ns,
                 effects);
  permits_tell_peers (permits, session, server, effects);
}

permits_result_t
permits_run (permits_t *permits, const session_t *session,
             const backend_t *backend, kwf_effects_t *effects)
{
  permits_result_t result = { 0 };
  int64_t now_ns = kwf_now_ns (permits->clock);
  if (!permits->active || now_ns - permits->run_ns < RUN_NS)
    {
      permits->next_ns
          = permits->active ? permits->run_ns + RUN_NS : INT64_MAX;
      return result;
    }
  permits->run_ns = now_ns;
  permits->next_ns = INT64_MAX;
  permits->active = false;
  bool new_view
      = permits->view_changed || now_ns - permits->view_ns >= VIEW_NS;
  if (new_view)
    take_view (permits, session, now_ns);
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      if (!limit_in_force (&server->limit, now_ns))
        continue;
      permits->active = true;
      if (new_view || !server->limit.owner_hash)
        {
          update_owner (permits, session, server, now_ns, effects);
          lapse (permits, session, server, now_ns, effects);
        }
      run_server (permits, session, server, now_ns, &result, effects);
    }
  if (permits->active)
    permits->next_ns = MIN (permits->next_ns, permits->view_ns + VIEW_NS);
  return result;
}

int64_t
permits_next_tick_ns (const permits_t *permits)
{
  return permits->next_ns;
}

int
permits_n_live (const permits_t *permits)
{
  return permits->n_live;
}

void
permits_write_metrics (const permits_t *permits, GString *out)
{
  g_string_append_printf (
      out,
      "# TYPE kwf_server_limits_total counter\n"
      "kwf_server_limits_total{kind=\"named\"} %" PRIu64 "\n"
      "kwf_server_limits_total{kind=\"unreadable\"} %" PRIu64 "\n"
      "# TYPE kwf_permits_total counter\n"
      "kwf_permits_total{kind=\"taken\"} %" PRIu64 "\n"
      "kwf_permits_total{kind=\"returned\"} %" PRIu64 "\n"
      "kwf_permits_total{kind=\"granted\"} %" PRIu64 "\n"
      "kwf_permits_total{kind=\"denied\"} %" PRIu64 "\n"
      "# TYPE kwf_unpermitted_calls_total counter\n"
      "kwf_unpermitted_calls_total %" PRIu64 "\n",
      permits->limits, permits->unreadable, permits->taken, permits->returned,
      permits->granted, permits->denied, permits->unpermitted);
}
