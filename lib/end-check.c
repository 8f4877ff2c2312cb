/* Answers whose end only the end of the connection marks: complete, or cut by
   a crash of their server.  What is known of the server decides.  */

#include "request.h"

/* Time limit of a check.  */
#define END_CHECK_NS (KWF_NS_PER_S / 2)
/* Part of the time to the deadline, or to the limit of a stop, that a check
   may take, so that the answer still leaves in time.  */
#define END_CHECK_PART 2

static int64_t
now_of (const kwf_core_t *core)
{
  return kwf_now_ns (core->options.clock);
}

/* Whether SERVER has lost the process that got ATTEMPT: its incarnation
   changed, or its address refused a connection later.  A missing entry says
   nothing, since servers that leave go on without one.  */
static bool
is_process_lost (const attempt_t *attempt)
{
  const server_t *server = attempt->server;
  return server->incarnation != attempt->incarnation
         || (server->lost_ns && server->lost_ns >= attempt->sent_ns);
}

static end_verdict_t
report_verdict (const attempt_t *attempt, const backend_report_t *report)
{
  if (report->refused || report->replaced || is_process_lost (attempt))
    return END_CRASHED;
  return report->fresh && (report->valid || report->answered) ? END_LIVES
                                                              : END_UNKNOWN;
}

static const char *
verdict_name (end_verdict_t verdict)
{
  static const char *const names[N_END_VERDICTS]
      = { [END_UNKNOWN] = "unknown",
          [END_SILENT] = "server_silent",
          [END_LIVES] = "server_lives",
          [END_CRASHED] = "server_ended" };
  return names[verdict];
}

/* Whether an answer counts as cut.  One that was short could not be told from
   a whole one by its caller.  */
static bool
is_broken (end_verdict_t verdict)
{
  return verdict == END_CRASHED || verdict == END_SILENT;
}

static void
settle (kwf_core_t *core, request_t *request, end_verdict_t verdict,
        kwf_effects_t *effects)
{
  attempt_t *attempt = request->attempt;
  end_check_cancel (core, request);
  request_set_action (core, request, 0);
  core->n_open_ends[verdict]++;
  kwf_effects_log (
      effects, 239, is_broken (verdict) ? KWF_LOG_WARNING : KWF_LOG_INFO,
      request->id, "the answer ended with the connection of server=%s: %s",
      attempt->server->id, verdict_name (verdict));
  attempt->server_lives = verdict == END_LIVES;
  if (is_broken (verdict))
    answer_broken (core, attempt, effects);
  else
    answer_complete (core, attempt, effects);
}

/* When a check of REQUEST ends that begins at NOW_NS.  */
static int64_t
limit_ns (const kwf_core_t *core, const request_t *request, int64_t now_ns)
{
  int64_t end_ns = request->deadline_ns;
  if (core->stop.stopping)
    end_ns = MIN (end_ns, core->stop.limit_ns);
  return now_ns + MIN (END_CHECK_NS, (end_ns - now_ns) / END_CHECK_PART);
}

void
end_check_begin (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  request_t *request = attempt->request;
  server_t *server = attempt->server;
  int64_t now_ns = now_of (core);
  /* What is withheld leaves with the end.  */
  if (request->withheld)
    {
      request->withheld = false;
      core->n_withheld--;
    }
  request->state = REQUEST_END_CHECK;
  core->n_end_checks++;
  /* Questions count against a limit that the server has named.  */
  if (!limit_in_force (&server->limit, now_ns))
    backend_probe_now (core->backend, server, effects);
  attempt->silent_ns = now_ns + END_CHECK_NS;
  request_set_action (core, request, limit_ns (core, request, now_ns));
  if (is_process_lost (attempt))
    settle (core, request, END_CRASHED, effects);
  else if (!server->probing)
    settle (core, request, END_UNKNOWN, effects);
}

void
end_check_cancel (kwf_core_t *core, request_t *request)
{
  if (request->state != REQUEST_END_CHECK)
    return;
  request->state = REQUEST_STREAMING;
  core->n_end_checks--;
}

/* The requests that wait for news of SERVER; NULL: of any.  */
static GArray *
waiting_for (const kwf_core_t *core, const server_t *server)
{
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (core->n_end_checks && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const request_t *request = value;
      if (request->state == REQUEST_END_CHECK
          && (!server || request->attempt->server == server))
        g_array_append_val (handles, request->handle);
    }
  return handles;
}

/* The request of HANDLE if it is still in its check, else NULL.  */
static request_t *
find_waiting (const kwf_core_t *core, kwf_handle_t handle)
{
  request_t *request = request_find (core, handle);
  return request && request->state == REQUEST_END_CHECK ? request : NULL;
}

/* A server that is about to end may still accept the connection and break it,
   so a report that failed is asked for once more.  */
static void
probe_again (kwf_core_t *core, attempt_t *attempt, kwf_effects_t *effects)
{
  bool again = !attempt->probed_again && !attempt->server->probing;
  attempt->probed_again = true;
  if (again)
    backend_probe_now (core->backend, attempt->server, effects);
}

void
end_checks_reported (kwf_core_t *core, const backend_report_t *report,
                     kwf_effects_t *effects)
{
  GArray *handles = waiting_for (core, report->server);
  for (guint i = 0; i < handles->len; i++)
    {
      request_t *request
          = find_waiting (core, g_array_index (handles, kwf_handle_t, i));
      if (!request)
        continue;
      end_verdict_t verdict = report_verdict (request->attempt, report);
      if (verdict != END_UNKNOWN)
        settle (core, request, verdict, effects);
      else if (report->fresh)
        {
          request->attempt->question_broken |= report->broken;
          probe_again (core, request->attempt, effects);
        }
    }
  g_array_free (handles, TRUE);
}

void
end_checks_listed (kwf_core_t *core, kwf_effects_t *effects)
{
  GArray *handles = waiting_for (core, NULL);
  for (guint i = 0; i < handles->len; i++)
    {
      request_t *request
          = find_waiting (core, g_array_index (handles, kwf_handle_t, i));
      if (request && is_process_lost (request->attempt))
        settle (core, request, END_CRASHED, effects);
    }
  g_array_free (handles, TRUE);
}

void
end_check_timeout (kwf_core_t *core, request_t *request,
                   kwf_effects_t *effects)
{
  const attempt_t *attempt = request->attempt;
  /* A server resets connections beyond its limit and lives.  */
  bool is_silent
      = now_of (core) >= attempt->silent_ns && !attempt->question_broken;
  settle (core, request, is_silent ? END_SILENT : END_UNKNOWN, effects);
}

void
end_checks_write_metrics (const kwf_core_t *core, GString *out)
{
  g_string_append (out, "# TYPE kwf_open_ends_total counter\n");
  for (int i = 0; i < N_END_VERDICTS; i++)
    g_string_append_printf (out,
                            "kwf_open_ends_total{verdict=\"%s\"} "
                            "%" G_GUINT64_FORMAT "\n",
                            verdict_name ((end_verdict_t)i),
                            core->n_open_ends[i]);
}
