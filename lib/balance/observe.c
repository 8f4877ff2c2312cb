#include "observe.h"

#include <math.h>

#include "delay.h"
#include "contention.h"
#include "pace.h"

/* Number of gaps of which the median is recorded: the largest may contain a
   prompt, and the smallest may follow an event that was delayed on its way. */
#define GAPS 3
/* A time is taken for at most this many times the usual one, so that a server
   that stalled once does not count as slow for minutes.  */
#define TIME_MAX 4.0

GHashTable *
observe_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static usual_t *
usual_of (GHashTable *usuals, const char *service)
{
  usual_t *usual = g_hash_table_lookup (usuals, service);
  if (!usual)
    {
      usual = g_new0 (usual_t, 1);
      usual_init (usual);
      g_hash_table_insert (usuals, g_strdup (service), usual);
    }
  return usual;
}

void
observe_load (kwf_core_t *core, const attempt_t *attempt,
              const kwf_attempt_event_t *event, kwf_effects_t *effects)
{
  server_t *server = attempt->server;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (event->has_load)
    {
      server_set_load (server, event->running, event->waiting, event->slots);
      server_set_pace (server, event->pace, now_ns);
      server->load_unreadable = false;
    }
  else if (event->load_unreadable)
    {
      core->notices.unreadable_loads++;
      if (!server->load_unreadable)
        kwf_effects_log (effects, 268, KWF_LOG_WARNING, NULL,
                         "the load that server=%s sends cannot be read",
                         server->id);
      server->load_unreadable = true;
    }
}

void
observe_refresh (const backend_t *backend, GHashTable *usuals, int64_t now_ns)
{
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      server->usual = server_is_measured (server)
                          ? usual_of (usuals, server->name)
                          : g_hash_table_lookup (usuals, server->name);
      if (!server->usual)
        continue;
      server->usual->paced |= server_reports_pace (server);
      speed_decay (&server->speed, now_ns);
      server->usual->sum += server->speed.sum + server->others_speed.sum;
      server->usual->weight
          += server->speed.weight + server->others_speed.weight;
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, usuals);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      usual_t *usual = value;
      usual->log_ns = usual->weight > 0 ? usual->sum / usual->weight : 0;
      usual->sum = usual->weight = 0;
    }
}

static void
add_time (server_t *server, double time_ns, double weight, int64_t now_ns)
{
  time_ns /= pace_factor (server, now_ns);
  if (server->usual->log_ns > 0)
    time_ns = MIN (time_ns, TIME_MAX * exp (server->usual->log_ns));
  speed_add (&server->speed, time_ns, weight, now_ns);
}

static bool
is_engine (const server_t *server)
{
  return server->kind == KWF_MEMBER_ENGINE;
}

void
observe_start (attempt_t *attempt)
{
  server_t *server = attempt->server;
  const request_t *request = attempt->request;
  attempt->read_tokens
      = is_engine (server) ? request->prompt_tokens + request->delivered : 0;
  attempt->read_before = delay_reading_tokens (server);
  attempt->open_before = delay_open_requests (server);
  server->reading_tokens += attempt->read_tokens;
  usual_t *usual = server->usual;
  if (!usual || !is_engine (server))
    return;
  usual_add (&usual->prompt_tokens, (double)request->prompt_tokens);
  if (request->gap_aim_ns > 0)
    usual->gap_aim_ns = request->gap_aim_ns;
}

/* The prompt of ATTEMPT has been read, or will not be.  */
static void
end_reading (attempt_t *attempt)
{
  attempt->server->reading_tokens -= attempt->read_tokens;
  attempt->read_tokens = 0;
}

/* A prompt was read in TIME_NS, together with those before it.  */
static void
add_reading_time (const attempt_t *attempt, double time_ns)
{
  server_t *server = attempt->server;
  double tokens = (double)attempt->read_tokens + attempt->read_before;
  double slowness = delay_slowness (server);
  time_ns -= delay_usual_gap_ns (server) * slowness;
  if (tokens > 0 && attempt->open_before < server->slots)
    usual_move_median (&server->usual->token_ns, time_ns / tokens / slowness);
}

void
observe_first_data (attempt_t *attempt, int64_t now_ns)
{
  server_t *server = attempt->server;
  double time_ns = (double)(now_ns - attempt->sent_ns);
  if (server->usual && is_engine (server))
    add_reading_time (attempt, time_ns / pace_factor (server, now_ns));
  else if (server->usual)
    {
      int excess = attempt->open_before + 1 - server->slots;
      double turns = server->slots > 0 && excess > 0
                         ? 1 + (double)excess / server->slots
                         : 1;
      add_time (server, time_ns / turns, 1, now_ns);
    }
  end_reading (attempt);
  attempt->event_ns = now_ns;
}

void
observe_events (attempt_t *attempt, int64_t events, int64_t now_ns)
{
  server_t *server = attempt->server;
  /* The first events have no gap before them.  */
  if (!server->usual || !is_engine (server) || !attempt->answered
      || events <= attempt->tokens || now_ns <= attempt->event_ns)
    return;
  double gap_ns = (double)(now_ns - attempt->event_ns)
                  / (double)(events - attempt->tokens);
  attempt->event_ns = now_ns;
  if (!attempt->n_gaps || gap_ns < attempt->least_gap_ns)
    {
      attempt->second_gap_ns
          = attempt->n_gaps ? attempt->least_gap_ns : gap_ns;
      attempt->least_gap_ns = gap_ns;
    }
  else if (attempt->n_gaps == 1 || gap_ns < attempt->second_gap_ns)
    attempt->second_gap_ns = gap_ns;
  if (++attempt->n_gaps < GAPS)
    return;
  attempt->n_gaps = 0;
  add_time (server, attempt->second_gap_ns, 1, now_ns);
}

void
observe_end (attempt_t *attempt, int64_t now_ns)
{
  server_t *server = attempt->server;
  end_reading (attempt);
  if (server->usual && attempt->ended)
    usual_add (&server->usual->hold_ns,
               (double)(now_ns - attempt->sent_ns) / delay_slowness (server));
}
