#include "report.h"

#include <math.h>

#include "delay.h"
#include "pace.h"

/* A server counts as slow above SLOW_FACTOR times the usual time of its
   service, and no longer below SLOW_END_FACTOR.  Servers of different speed
   stay below: the slowest takes some 1.7 times as long.  */
#define SLOW_FACTOR 3.0
#define SLOW_END_FACTOR 2.0
/* Smallest weight of what was measured for that: about three streams.  */
#define SLOW_WEIGHT 12.0
/* Expected long pauses are logged this often.  */
#define PAUSE_LOG_NS (10 * KWF_NS_PER_S)

/* The service of SERVER is served by expected delay from now on.  */
static void
announce_service (const server_t *server, kwf_effects_t *effects)
{
  if (server->usual->announced)
    return;
  server->usual->announced = true;
  kwf_effects_log (effects, 290, KWF_LOG_INFO, NULL,
                   "the servers of service=%s report their pace: they are "
                   "chosen by expected delay",
                   server->name);
}

static void
log_long_pause (kwf_core_t *core, const attempt_t *attempt, int64_t pause_ns,
                kwf_effects_t *effects)
{
  const request_t *request = attempt->request;
  core->balance.n_long_pauses++;
  if (attempt->sent_ns < core->balance.next_pause_log_ns)
    return;
  core->balance.next_pause_log_ns = attempt->sent_ns + PAUSE_LOG_NS;
  kwf_effects_log (effects, 293, KWF_LOG_WARNING, request->id,
                   "the streams of server=%s are expected to pause for "
                   "pause_ms=%" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
                   " while it reads tokens=%" G_GINT64_FORMAT
                   ": no compared server is better",
                   attempt->server->id, pause_ns / KWF_NS_PER_MS,
                   request->gap_aim_ns / KWF_NS_PER_MS,
                   request->prompt_tokens);
}

void
report_choice (kwf_core_t *core, const attempt_t *attempt,
               kwf_effects_t *effects)
{
  const server_t *server = attempt->server;
  const request_t *request = attempt->request;
  if (!server->usual)
    return;
  announce_service (server, effects);
  core->balance.n_by_delay++;
  delay_query_t query
      = { .model = request->model,
          .adapter = request->adapter,
          .data_centre = core->options.data_centre,
          .prompt_tokens = request->prompt_tokens + request->delivered,
          .gap_aim_ns = request->gap_aim_ns };
  delay_estimate_t estimate
      = delay_estimate (server, &query, attempt->sent_ns);
  if (request->gap_aim_ns && estimate.pause_ns > request->gap_aim_ns)
    log_long_pause (core, attempt, estimate.pause_ns, effects);
}

static double
measured_weight (const server_t *server)
{
  return server->speed.weight + server->others_speed.weight;
}

void
report_slow_servers (kwf_core_t *core, kwf_effects_t *effects)
{
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      double slowness = delay_slowness (server);
      bool slow = server->is_slow
                      ? slowness >= SLOW_END_FACTOR
                      : slowness >= SLOW_FACTOR
                            && measured_weight (server) >= SLOW_WEIGHT;
      if (slow && !server->is_slow)
        kwf_effects_log (effects, 291, KWF_LOG_WARNING, NULL,
                         "server=%s takes %.1f times as long as is usual in "
                         "its service",
                         server->id, slowness);
      else if (!slow && server->is_slow)
        kwf_effects_log (effects, 292, KWF_LOG_INFO, NULL,
                         "server=%s takes %.1f times as long as is usual in "
                         "its service: no longer slow",
                         server->id, slowness);
      server->is_slow = slow;
    }
}

void
report_write_metrics (const kwf_core_t *core, GString *out)
{
  g_string_append_printf (
      out,
      "# TYPE kwf_sent_by_delay_total counter\n"
      "kwf_sent_by_delay_total %" G_GUINT64_FORMAT "\n"
      "# TYPE kwf_long_pauses_expected_total counter\n"
      "kwf_long_pauses_expected_total %" G_GUINT64_FORMAT "\n"
      "# TYPE kwf_server_slowness gauge\n",
      core->balance.n_by_delay, core->balance.n_long_pauses);
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = servers->pdata[i];
      if (server->usual)
        g_string_append_printf (out,
                                "kwf_server_slowness{server=\"%s\"} %.3f\n",
                                server->id, delay_slowness (server));
    }
}

json_t *
report_server_json (const server_t *server, int64_t now_ns)
{
  if (!server->usual)
    return NULL;
  return json_pack (
      "{s:i,s:I,s:f,s:f,s:I,s:I}", "pace", server->pace, "pace_age_ms",
      (json_int_t)((now_ns - server->pace_ns) / KWF_NS_PER_MS), "slowness",
      delay_slowness (server), "measured", measured_weight (server),
      "reading_tokens",
      (json_int_t)server->reading_tokens + server->others_reading_tokens,
      "kept_ms",
      (json_int_t)(MAX (server->kept_until_ns - now_ns, 0) / KWF_NS_PER_MS));
}
