/* State of this instance as JSON, and its metrics.  */

#include "admission/admission.h"
#include "notice.h"
#include "request.h"

#include <jansson.h>
#include <string.h>

#include "balance/report.h"
#include "error-code.h"

static const char *
session_word (const session_t *session)
{
  switch (session_state (session))
    {
    case SESSION_NONE:
      return "none";
    case SESSION_VALID:
      return "valid";
    case SESSION_OUTAGE:
      return "outage";
    case SESSION_EXPIRED:
      return "expired";
    }
  return "none";
}

static json_t *
members_json (const kwf_core_t *core)
{
  json_t *array = json_array ();
  session_member_t member;
  size_t at = 0;
  while (session_next_member (core->session, &at, &member))
    {
      json_array_append_new (
          array,
          json_pack ("{s:s,s:I,s:s?,s:s?,s:s?,s:b,s:b,s:b}", "instance",
                     member.instance, "incarnation",
                     (json_int_t)member.incarnation, "caller_address",
                     member.caller_address, "peer_address",
                     member.peer_address, "data_centre", member.data_centre,
                     "leaving", (int)member.leaving, "expired",
                     (int)member.expired, "linked", (int)member.linked));
    }
  return array;
}

/* How much longer a server that is known to be cold is cold.  */
static json_int_t
cold_left_ms (const limit_t *limit, int64_t now_ns)
{
  return cold_state (&limit->cold, now_ns) == COLD_ANNOUNCED
             ? (limit->cold.until_ns - now_ns) / KWF_NS_PER_MS
             : 0;
}

static json_t *
server_json (const session_t *session, const server_t *server, int64_t now_ns)
{
  json_t *models = json_array ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, server->models);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const server_model_t *resident = value;
      json_t *adapters = json_array ();
      GHashTableIter inner;
      gpointer adapter;
      g_hash_table_iter_init (&inner, resident->adapters);
      while (g_hash_table_iter_next (&inner, &adapter, NULL))
        json_array_append_new (adapters, json_string (adapter));
      json_array_append_new (models, json_pack ("{s:s,s:s?,s:o}", "name", name,
                                                "version", resident->version,
                                                "adapters", adapters));
    }
  json_t *object = json_pack (
      "{s:s,s:s,s:s,s:s?,s:s?,s:s,s:I,s:i,s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:o}",
      "id", server->id, "kind",
      server->kind == KWF_MEMBER_SERVICE ? "service" : "engine", "name",
      server->name, "address", server->address, "data_centre",
      server->data_centre, "state", server_state (server, now_ns),
      "incarnation", (json_int_t)server->incarnation, "running",
      server->running, "waiting", server->waiting, "sent", server->sent,
      "attempts", server->open_attempts, "window", (int)server->window.limit,
      "memory_total_mb", (json_int_t)server->memory_total_mb, "memory_used_mb",
      (json_int_t)server->memory_used_mb, "pause_left_ms",
      (json_int_t)(MAX (server->notice.pause_until_ns - now_ns, 0)
                   / KWF_NS_PER_MS),
      "models", models);
  if (limit_in_force (&server->limit, now_ns))
    json_object_set_new (
        object, "limit",
        json_pack ("{s:f,s:b,s:I,s:s,s:i,s:i}", "per_s",
                   limit_rate (&server->limit, now_ns), "ended",
                   (int)(!server->limit.named
                         && !cold_stands (&server->limit.cold, now_ns)),
                   "cold_left_ms", cold_left_ms (&server->limit, now_ns),
                   "owner", permits_owner (session, server), "permits",
                   server->limit.n_permits, "waiting",
                   server->limit.n_waiting));
  json_t *delay = report_server_json (server, now_ns);
  if (delay)
    json_object_set_new (object, "delay", delay);
  return object;
}

static json_t *
queue_json (const kwf_core_t *core)
{
  const wait_queue_t *waits = &core->waits;
  uint64_t shed = 0;
  for (int i = 0; i < N_SHED_REASONS; i++)
    shed += waits->shed[i];
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I}", "waiting_requests",
      (json_int_t)waits->queue.length, "urgent",
      (json_int_t)queue_lane_length (&waits->queue, KWF_PRIORITY_URGENT),
      "interactive",
      (json_int_t)queue_lane_length (&waits->queue, KWF_PRIORITY_INTERACTIVE),
      "overnight",
      (json_int_t)queue_lane_length (&waits->queue, KWF_PRIORITY_OVERNIGHT),
      "shed", (json_int_t)shed, "preempted", (json_int_t)waits->n_preempted);
}

static json_t *
servers_json (const kwf_core_t *core, int64_t now_ns)
{
  json_t *array = json_array ();
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    json_array_append_new (
        array,
        server_json (core->session, g_ptr_array_index (servers, i), now_ns));
  return array;
}

/* Put into OBJECT the counts of ORGANISATION, summed over all priority
   classes.  */
static void
add_counts (const kwf_core_t *core, const char *organisation, json_t *object)
{
  const GPtrArray *all = metrics_all_series (core->metrics);
  uint64_t admitted = 0;
  uint64_t codes[N_CODES] = { 0 };
  for (guint i = 0; i < all->len; i++)
    {
      const series_t *series = g_ptr_array_index (all, i);
      if (strcmp (series->organisation, organisation) != 0)
        continue;
      admitted += series->admitted;
      for (int code = 0; code < N_CODES; code++)
        codes[code] += series->codes[code];
    }
  /* All codes but CODE_OK count, also of requests that were admitted and
     failed later.  */
  json_t *errors = json_object ();
  for (int code = CODE_OK + 1; code < N_CODES; code++)
    if (codes[code])
      json_object_set_new (errors, error_code_name (code),
                           json_integer ((json_int_t)codes[code]));
  json_object_set_new (object, "admitted",
                       json_integer ((json_int_t)admitted));
  json_object_set_new (object, "answered",
                       json_integer ((json_int_t)codes[CODE_OK]));
  json_object_set_new (object, "refused", errors);
}

static json_t *
organisations_json (kwf_core_t *core)
{
  json_t *array = json_array ();
  const kwf_lists_t *lists = config_lists (core->config);
  size_t n = lists ? kwf_lists_n_organisations (lists) : 0;
  for (size_t i = 0; i < n; i++)
    {
      const kwf_organisation_t *organisation
          = kwf_lists_organisation_at (lists, i);
      /* This instance's part of the rate and of the burst (cap), and the
         tokens in its bucket (level).  */
      share_holding_t holding
          = shares_holding (core->shares, organisation->name);
      json_t *object = json_pack (
          "{s:s,s:f,s:f,s:{s:f,s:f,s:f}}", "name", organisation->name, "rate",
          organisation->rate, "burst", organisation->burst, "share", "rate",
          holding.rate, "cap", holding.cap, "level", holding.level);
      add_counts (core, organisation->name, object);
      json_object_set_new (
          object, "waiting",
          json_integer ((json_int_t)queue_organisation_length (
              &core->waits.queue, organisation->name)));
      json_array_append_new (array, object);
    }
  /* Requests whose organisation was not known when they were refused.  */
  json_t *object = json_pack ("{s:s}", "name", "");
  add_counts (core, "", object);
  json_array_append_new (array, object);
  return array;
}

char *
status_page (kwf_core_t *core)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  session_state_t state = session_state (core->session);
  size_t suspects;
  size_t quarantined;
  crash_counts (core->crash, &suspects, &quarantined);
  json_t *object = json_object ();
  json_object_update_new (
      object,
      json_pack (
          "{s:s,s:I,s:s?,s:s,s:b,s:s,s:I,s:I,s:I,s:b}", "instance",
          core->options.instance, "incarnation",
          (json_int_t)core->options.incarnation, "data_centre",
          core->options.data_centre, "session", session_word (core->session),
          "may_act", (int)session_may_act (core->session), "platform",
          state == SESSION_OUTAGE ? "silent" : "answers", "revision",
          (json_int_t)session_revision (core->session),
          "configuration_version", (json_int_t)config_version (core->config),
          "share_epoch", (json_int_t)shares_epoch (core->shares), "stopping",
          (int)core->stop.stopping));
  json_object_update_new (
      object,
      json_pack (
          "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:{s:I,s:I}}", "open_requests",
          (json_int_t)g_hash_table_size (core->requests), "open_attempts",
          (json_int_t)kwf_slots_count (core->attempts), "attempts",
          (json_int_t)core->n_attempts, "retries", (json_int_t)core->n_retries,
          "hedges", (json_int_t)core->n_hedges, "resumes",
          (json_int_t)core->n_resumes, "trials", (json_int_t)core->n_trials,
          "retry_budget", retry_budget_least (core->retries), "crash",
          "suspects", (json_int_t)suspects, "quarantined",
          (json_int_t)quarantined));
  json_object_set_new (object, "evacuated",
                       evacuation_json (core->evacuation));
  json_object_set_new (object, "queue", queue_json (core));
  json_object_set_new (object, "admission", admission_json (core));
  json_object_set_new (object, "members", members_json (core));
  json_object_set_new (object, "servers", servers_json (core, now_ns));
  json_object_set_new (object, "placement", placement_json (core->placement));
  json_object_set_new (object, "organisations", organisations_json (core));
  char *text = json_dumps (object, JSON_INDENT (1));
  json_decref (object);
  return text;
}

char *
kwf_core_metrics (const kwf_core_t *core)
{
  GString *out = g_string_new (NULL);
  size_t suspects;
  size_t quarantined;
  crash_counts (core->crash, &suspects, &quarantined);
  metrics_write (core->metrics, out);
  shares_write_metrics (core->shares, out);
  metric_write_value (out, "kwf_open_requests", "gauge",
                      g_hash_table_size (core->requests));
  metric_write_value (out, "kwf_may_act", "gauge",
                      session_may_act (core->session));
  metric_write_value (out, "kwf_configuration_version", "gauge",
                      (double)config_version (core->config));
  notices_write_metrics (core, out);
  origins_write_metrics (core->origins, out);
  currency_write_metrics (core->currency, out);
  reach_write_metrics (core->reach, out);
  metric_write_value (out, "kwf_handovers_total", "counter",
                      (double)core->n_handovers);
  evacuation_write_metrics (core->evacuation, core->backend, out);
  metric_write_value (out, "kwf_routes_without_home", "gauge",
                      g_hash_table_size (core->homeless));
  report_write_metrics (core, out);
  metric_write_value (out, "kwf_attempts_total", "counter",
                      (double)core->n_attempts);
  metric_write_value (out, "kwf_retries_total", "counter",
                      (double)core->n_retries);
  metric_write_value (out, "kwf_hedges_total", "counter",
                      (double)core->n_hedges);
  metric_write_value (out, "kwf_resumes_total", "counter",
                      (double)core->n_resumes);
  metric_write_value (out, "kwf_trials_total", "counter",
                      (double)core->n_trials);
  metric_write_value (out, "kwf_bad_parts_refused_total", "counter",
                      (double)core->n_bad_parts);
  end_checks_write_metrics (core, out);
  metric_write_value (out, "kwf_stop_refused_total", "counter",
                      (double)core->stop.n_refused);
  metric_write_value (out, "kwf_stop_cut_total", "counter",
                      (double)core->stop.n_cut);
  retry_budget_write_metrics (core->retries, out);
  permits_write_metrics (core->permits, out);
  pacing_write_metrics (core, out);
  waits_write_metrics (core, out);
  admission_write_metrics (core->admission, out);
  placement_write_metrics (core->placement, out);
  metric_write_value (out, "kwf_crash_suspects", "gauge", (double)suspects);
  metric_write_value (out, "kwf_crash_quarantined", "gauge",
                      (double)quarantined);
  return g_string_free (out, FALSE);
}
