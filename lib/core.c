/* The reducer: passes each event to the modules and sets the timer.  */

#include "evacuation/home.h"
#include "admission/admission.h"
#include "balance/contention.h"
#include "notice.h"
#include "request.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "balance/observe.h"
#include "balance/report.h"
#include "error-code.h"

/* Means of the services change slowly, but a server that reports its pace for
   the first time is to count soon.  */
#define USUALS_PERIOD_NS (KWF_NS_PER_S / 5)

kwf_core_t *
kwf_core_new (const kwf_core_options_t *options)
{
  kwf_core_t *core = g_new0 (kwf_core_t, 1);
  core->options = *options;
  core->options.instance = g_strdup (options->instance);
  core->options.data_centre = g_strdup (options->data_centre);
  core->options.caller_address = g_strdup (options->caller_address);
  core->options.peer_address = g_strdup (options->peer_address);
  const kwf_core_options_t *own = &core->options;
  int64_t now_ns = kwf_now_ns (own->clock);
  core->session = session_new (own);
  core->config = config_new (own);
  core->shares = shares_new (own);
  core->claims = claims_new (own);
  core->backend = backend_new (own);
  core->evacuation = evacuation_new ();
  core->regions = regions_new (own->regions, own->n_regions);
  core->homeless
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  core->crash = crash_new (own);
  core->origins = origins_new (own);
  core->currency = currency_new (own);
  core->reach = reach_new (own);
  core->stranded = stranded_new (own);
  core->demand = demand_new (own->clock);
  core->placement
      = placement_new (own, &(placement_sources_t){ .session = core->session,
                                                    .config = core->config,
                                                    .backend = core->backend,
                                                    .demand = core->demand });
  core->metrics = metrics_new ();
  core->policy = policy_default ();
  core->permits = permits_new (own);
  core->usuals = observe_new ();
  core->instance_hash = XXH64 (own->instance, strlen (own->instance), 0);
  core->loads = own->push_updates ? fleet_load_new (own->clock) : NULL;
  core->retries = retry_budget_new (own, core->session);
  hedge_delays_init (core->hedge_delays, now_ns);
  core->durations = durations_new ();
  waits_init (core, now_ns);
  core->admission = admission_new ();
  core->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->attempts = kwf_slots_new (sizeof (attempt_t));
  core->wakes = g_sequence_new (NULL);
  return core;
}

void
kwf_core_free (kwf_core_t *core)
{
  if (!core)
    return;
  queue_clear (&core->waits.queue);
  admission_free (core->admission);
  g_sequence_free (core->wakes);
  kwf_slots_free (core->attempts);
  g_hash_table_unref (core->requests);
  hedge_delays_clear (core->hedge_delays);
  durations_free (core->durations);
  metrics_free (core->metrics);
  fleet_load_free (core->loads);
  permits_free (core->permits);
  retry_budget_free (core->retries);
  placement_free (core->placement);
  demand_free (core->demand);
  stranded_free (core->stranded);
  reach_free (core->reach);
  currency_free (core->currency);
  origins_free (core->origins);
  crash_free (core->crash);
  evacuation_free (core->evacuation);
  regions_free (core->regions);
  g_hash_table_unref (core->homeless);
  backend_free (core->backend);
  g_hash_table_unref (core->usuals);
  claims_free (core->claims);
  shares_free (core->shares);
  config_free (core->config);
  session_free (core->session);
  g_free ((char *)core->options.instance);
  g_free ((char *)core->options.data_centre);
  g_free ((char *)core->options.caller_address);
  g_free ((char *)core->options.peer_address);
  g_free (core);
}

/* Pass on results that modules reached in this step.  Handling one result can
   produce another, so this repeats until there are none.  */
static void
handle_results (kwf_core_t *core, kwf_effects_t *effects)
{
  for (bool any = true; any;)
    {
      size_t n_shares;
      const share_result_t *shares
          = shares_take_results (core->shares, &n_shares);
      for (size_t i = 0; i < n_shares; i++)
        admit_share_result (core, &shares[i], effects);
      size_t n_claims;
      const claim_result_t *claims
          = claims_take_results (core->claims, &n_claims);
      for (size_t i = 0; i < n_claims; i++)
        admit_claim_result (core, &claims[i], effects);
      size_t n_trials;
      const crash_result_t *trials
          = crash_take_results (core->crash, &n_trials);
      for (size_t i = 0; i < n_trials; i++)
        attempt_trial_result (core, &trials[i], effects);
      any = n_shares || n_claims || n_trials;
    }
}

static void
handle_config_change (kwf_core_t *core, kwf_effects_t *effects)
{
  uint64_t generation = config_generation (core->config);
  if (generation == core->config_generation)
    return;
  core->config_generation = generation;
  int64_t version = config_version (core->config);
  if (version != core->config_version)
    {
      core->config_version = version;
      shares_set_lists (core->shares, config_lists (core->config));
    }
  requests_check_keys (core, effects);
}

/* When the state of any fingerprint has changed, dispatch the queued requests
   again; some may have waited for the end of a trial.  */
static void
handle_crash_change (kwf_core_t *core, kwf_effects_t *effects)
{
  uint64_t generation = crash_generation (core->crash);
  if (generation == core->crash_generation)
    return;
  core->crash_generation = generation;
  /* Collect handles first, since dispatching one request can end another.  */
  GArray *queued = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const request_t *)value)->state == REQUEST_QUEUED)
      g_array_append_val (queued, ((request_t *)value)->handle);
  for (guint i = 0; i < queued->len; i++)
    {
      request_t *request
          = request_find (core, g_array_index (queued, kwf_handle_t, i));
      if (request && request->state == REQUEST_QUEUED)
        attempt_dispatch (core, request, effects);
    }
  g_array_free (queued, TRUE);
  uint64_t verdicts = crash_verdicts (core->crash);
  if (verdicts == core->crash_verdicts)
    return;
  core->crash_verdicts = verdicts;
  feature_end_bad_parts (core, effects);
}

static void
step_backend (kwf_core_t *core, const kwf_event_t *event,
              kwf_effects_t *effects)
{
  backend_report_t report = { 0 };
  if (event->type == KWF_EV_PEER_MESSAGE
      && event->peer.message->type == KWF_MSG_SERVER_LEAVING)
    notice_handle_peer (core, &event->peer, effects);
  if (event->type == KWF_EV_PEER_UP)
    notice_handle_link (core, event->peer.instance, effects);
  permits_step (core->permits, core->session, core->backend, event, effects);
  backend_step (core->backend, event, effects, &report);
  pacing_step (core, event, effects);
  if (evacuation_step (core->evacuation, core->backend, core->regions,
                       &core->options, event, effects))
    waits_recheck_all (core);
  if (event->type == KWF_EV_MEMBERS || event->type == KWF_EV_CONFIG)
    {
      home_check_routes (core, effects);
      contention_mark (core->backend, config_lists (core->config));
    }
  if (backend_consume_residency_change (core->backend))
    waits_recheck_all (core);
  if (event->type == KWF_EV_MEMBERS)
    end_checks_listed (core, effects);
  if (!report.server)
    return;
  /* Runs that this report ends count as lost by it below.  */
  end_checks_reported (core, &report, effects);
  if (report.answered)
    reach_note_data (core->reach, &report.server->reach);
  bool refused = report.refused && !stranded_may_be_self (core);
  crash_handle_report (core->crash, core->session, report.server->id,
                       report.valid, refused, report.fresh,
                       report.server->incarnation, effects);
  bool crashed
      = refused
        || (report.valid
            && report.server->incarnation != report.incarnation_before);
  if (report.valid)
    waits_recheck_server (core, report.server);
  if (crashed || (report.valid && report.fresh))
    crash_check_reported (core, report.server, effects);
}

/* Update the weights of the demand: that of organisations with a lower
   attainment than the best one counts more.  */
static void
update_attainment (kwf_core_t *core)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (!core->options.placement.worst_served
      || now_ns < core->next_attainment_ns)
    return;
  core->next_attainment_ns = now_ns + KWF_NS_PER_S;
  metrics_update_shortfalls (core->metrics);
}

static void
refresh_usuals (kwf_core_t *core, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (now_ns < core->next_usuals_ns)
    return;
  core->next_usuals_ns = now_ns + USUALS_PERIOD_NS;
  observe_refresh (core->backend, core->usuals, now_ns);
  report_slow_servers (core, effects);
}

static void
step_modules (kwf_core_t *core, const kwf_event_t *event,
              kwf_effects_t *effects)
{
  session_changes_t changes = { 0 };
  session_record_load (core->session, g_hash_table_size (core->requests));
  session_step (core->session, event, effects, &changes);
  config_step (core->config, core->session, event, &changes, effects);
  handle_config_change (core, effects);
  shares_step (core->shares, core->session, event, &changes, effects);
  claims_step (core->claims, core->session, event, effects);
  crash_step (core->crash, core->session, event, &changes, effects);
  origins_step (core->origins, core->session, event, &changes, effects);
  currency_step (core->currency, core->session, event, effects);
  step_backend (core, event, effects);
  stranded_step (core, event, effects);
  placement_step (core->placement, event, &changes, effects);
  if (core->loads)
    fleet_load_step (core->loads, core->session, core->backend, event,
                     effects);
  refresh_usuals (core, effects);
  if (backend_consume_residency_change (core->backend))
    waits_recheck_all (core);
  update_attainment (core);
  int64_t now_ns = kwf_now_ns (core->options.clock);
  admission_tick (core, now_ns);
  requests_tick (core, now_ns, effects);
  waits_tick (core, now_ns, effects);
  if (core->n_withheld && session_may_act (core->session))
    answer_forward_withheld (core, effects);
}

bool
kwf_core_may_order (const kwf_core_t *core, const char *server)
{
  const server_t *found = backend_find (core->backend, server);
  return !found || !found->evacuated;
}

bool
kwf_core_knows_limit (const kwf_core_t *core, const kwf_notice_event_t *notice)
{
  const server_t *server = notice_server (core, notice);
  return server && server->limit.named;
}

static void
handle_limit (kwf_core_t *core, const kwf_notice_event_t *notice,
              kwf_effects_t *effects)
{
  server_t *server = notice_server (core, notice);
  const attempt_t *attempt = kwf_slots_get (core->attempts, notice->attempt);
  if (server)
    permits_handle_notice (
        core->permits, core->session, server, notice,
        notice->server ? notice->asked_ns : attempt->sent_ns, effects);
}

/* Get permits for the requests that wait for a server with a limit, and shed
   those that cannot have one in time.  */
static void
run_permits (kwf_core_t *core, kwf_effects_t *effects)
{
  if (!permits_active (core->permits))
    return;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  waits_count_for_permits (core, now_ns);
  permits_result_t result
      = permits_run (core->permits, core->session, core->backend, effects);
  core->waits.recheck |= result.usable && core->waits.queue.length;
  if (!result.denied)
    return;
  core->waits.next_sweep_ns = now_ns;
  waits_tick (core, now_ns, effects);
}

static void
step_operator (kwf_core_t *core, const kwf_event_t *event,
               kwf_effects_t *effects)
{
  if (event->operator_.command != KWF_OPERATOR_STATUS)
    {
      step_modules (core, event, effects);
      return;
    }
  char *text = status_page (core);
  char *body = kwf_effects_strdup (effects, text);
  free (text);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_OPERATOR_REPLY);
  effect->operator_reply = (kwf_operator_reply_t){
    .request = event->operator_.handle, .status = 200, .body = body
  };
}

static int64_t
earliest_tick_ns (const kwf_core_t *core)
{
  int64_t tick_ns = session_next_tick_ns (core->session);
  tick_ns = MIN (tick_ns, shares_next_tick_ns (core->shares));
  tick_ns = MIN (tick_ns, claims_next_tick_ns (core->claims));
  tick_ns = MIN (tick_ns, config_next_tick_ns (core->config));
  tick_ns = MIN (tick_ns, backend_next_tick_ns (core->backend));
  tick_ns = MIN (tick_ns, crash_next_tick_ns (core->crash));
  tick_ns = MIN (tick_ns, origins_next_tick_ns (core->origins));
  tick_ns = MIN (tick_ns, stranded_next_tick_ns (core));
  tick_ns = MIN (tick_ns, placement_next_tick_ns (core->placement));
  tick_ns = MIN (tick_ns, requests_next_tick_ns (core));
  tick_ns = MIN (tick_ns, waits_next_tick_ns (core));
  tick_ns = MIN (tick_ns, permits_next_tick_ns (core->permits));
  if (core->loads)
    tick_ns = MIN (tick_ns, fleet_load_next_tick_ns (core->loads));
  return MIN (tick_ns, stop_next_tick_ns (core));
}

/* Minimum time between two ticks.  It bounds the load of the event loop when a
   module's deadline has passed and the module cannot act on it yet.  */
#define MIN_TICK_INTERVAL_NS (1 * KWF_NS_PER_MS)

/* Append KWF_FX_TIMER if a tick is needed before the one requested last.  The
   needed time is compared before it is raised to the minimum interval.  While
   a module's deadline has passed, each step thus appends the effect again,
   with the time that was requested last.  */
static void
set_timer (kwf_core_t *core, kwf_effects_t *effects)
{
  int64_t tick_ns = earliest_tick_ns (core);
  if (tick_ns == INT64_MAX
      || (core->requested_tick_ns && core->requested_tick_ns <= tick_ns))
    return;
  tick_ns = MAX (tick_ns, core->last_tick_ns + MIN_TICK_INTERVAL_NS);
  core->requested_tick_ns = tick_ns;
  kwf_effects_add (effects, KWF_FX_TIMER)->timer_ns = tick_ns;
}

void
kwf_core_step (kwf_core_t *core, const kwf_event_t *event,
               kwf_effects_t *effects)
{
  pacing_begin_step (core, effects);
  stranded_note_attempt (core, event);
  switch (event->type)
    {
    case KWF_EV_ATTEMPT_DATA:
      if (handover_is (event->attempt.attempt))
        handover_data (core, &event->attempt, effects);
      else
        answer_data (core, &event->attempt, effects);
      if (core->waits.recheck)
        break;
      if (core->n_withheld)
        set_timer (core, effects);
      return;
    case KWF_EV_ATTEMPT_END:
      if (handover_is (event->attempt.attempt))
        handover_end (core, &event->attempt, effects);
      else
        answer_end (core, &event->attempt, effects);
      break;
    case KWF_EV_ATTEMPT_FAILED:
      if (handover_is (event->attempt.attempt))
        handover_failed (core, &event->attempt, effects);
      else
        answer_failed (core, &event->attempt, effects);
      break;
    case KWF_EV_NOTICE:
      handle_limit (core, &event->notice, effects);
      pacing_handle_notice (core, &event->notice, effects);
      notice_handle_event (core, &event->notice, effects);
      step_modules (core, event, effects);
      break;
    case KWF_EV_REQUEST:
      admit (core, &event->request, effects);
      break;
    case KWF_EV_REQUEST_GONE:
      answer_caller_gone (core, event->gone, effects);
      break;
    case KWF_EV_OPERATOR:
      step_operator (core, event, effects);
      break;
    case KWF_EV_STOP:
      stop_begin (core, effects);
      break;
    case KWF_EV_TICK:
      core->requested_tick_ns = 0;
      core->last_tick_ns = kwf_now_ns (core->options.clock);
      step_modules (core, event, effects);
      break;
    default:
      step_modules (core, event, effects);
      break;
    }
  handle_results (core, effects);
  handle_crash_change (core, effects);
  run_permits (core, effects);
  if (core->waits.recheck)
    {
      waits_run_rechecks (core, effects);
      handle_results (core, effects);
    }
  placement_send_demand (core->placement, effects);
  if (core->stop.stopping)
    stop_tick (core, kwf_now_ns (core->options.clock), effects);
  set_timer (core, effects);
}

bool
kwf_core_ready (const kwf_core_t *core)
{
  return config_lists (core->config) && session_may_act (core->session)
         && shares_ready (core->shares) && !core->stop.stopping
         && !stranded_is_left_out (core);
}
