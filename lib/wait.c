/* Waiting for room in the window of an engine, or until an engine has loaded
   the model (docs/design.md section 13, "Queueing at the entry").  */

#include <string.h>

#include "admission/admission.h"
#include "error-code.h"
#include "evacuation/home.h"

#define DEFAULT_LENGTH 1024
#define DEFAULT_ORGANISATION_LENGTH 256
#define DEFAULT_FIRST_TOKEN_NS (1300 * KWF_NS_PER_MS)

/* Period at which all queued requests are tried again.  This finds changes
   that come without an event of their engines: candidates that left, a lease
   that ended.  */
#define SWEEP_PERIOD_NS (100 * KWF_NS_PER_MS)
/* Shortest time between two log lines about shedding.  */
#define SHED_LOG_NS (10 * KWF_NS_PER_S)
/* A request waits this long for its model or adapter while no load of it is
   announced.  Room for a load is made within a second, unless all engines are
   full of models in use; the caller can try again meanwhile.  */
#define MODEL_WAIT_NS (2 * KWF_NS_PER_S)
/* Delay before a request for a missing adapter is to come back: an engine that
   loads or unloads a model takes no order for an adapter.  It is a part of the
   time that a load takes.  */
#define ADAPTER_RETRY_NS (500 * KWF_NS_PER_MS)
/* An announced load is expected for this many times its usual duration, as
   many loads at once take longer.  */
#define LOAD_WAIT_FACTOR 2
#define RETRY_MIN_NS (100 * KWF_NS_PER_MS)
#define RETRY_MAX_NS (60 * KWF_NS_PER_S)

static const char *const causes[N_SHED_REASONS] = {
  [SHED_DEADLINE] = "deadline",   [SHED_ORGANISATION] = "organisation_full",
  [SHED_FULL] = "full",           [SHED_NO_COPY] = "no_copy",
  [SHED_LIMIT] = "limit",         [SHED_FORECAST] = "forecast",
  [SHED_DISPLACED] = "pushed_out"
};

void
waits_init (kwf_core_t *core, int64_t now_ns)
{
  kwf_core_options_t *options = &core->options;
  for (int i = 0; i < QUEUE_LANES; i++)
    if (!options->first_token_ns[i])
      options->first_token_ns[i] = DEFAULT_FIRST_TOKEN_NS;
  queue_init (
      &core->waits.queue, options->queue_order,
      (size_t)(options->queue_length ? options->queue_length : DEFAULT_LENGTH),
      (size_t)(options->queue_organisation_length
                   ? options->queue_organisation_length
                   : DEFAULT_ORGANISATION_LENGTH));
  budget_init (&core->waits.preempts, options->preempt_share, now_ns);
}

static const char *const messages[N_SHED_REASONS]
    = { [SHED_DEADLINE] = "too many requests wait for this model",
        [SHED_ORGANISATION] = "too many requests wait for this model",
        [SHED_FULL] = "too many requests wait for this model",
        [SHED_NO_COPY] = "no server has this model in time",
        [SHED_LIMIT] = "the servers take no more requests now",
        [SHED_FORECAST] = "the servers could not answer in time",
        [SHED_DISPLACED] = "too many requests wait for this model" };

static request_t *
request_of (queue_item_t *item)
{
  return (request_t *)(void *)((char *)item
                               - offsetof (request_t, queue_item));
}

/* Expected start of a waiting request.  */

static bool
waits_for (const request_t *request, const server_t *server)
{
  if (!request->awaited[0])
    return server_holds_model (server, request->model)
           && (request->kind != KWF_REQUEST_ROUTED || !request->adapter
               || server_holds_adapter (server, request->model,
                                        request->adapter));
  return request->awaited[0] == server || request->awaited[1] == server;
}

/* Time until REQUEST is expected to start when AHEAD other requests are served
   before it; 0: not known.  */
static int64_t
start_after_ns (const request_t *request, double ahead)
{
  double starts_per_s = 0;
  for (int i = 0; i < 2 && request->awaited[i]; i++)
    {
      double release_s
          = window_release_interval_s (&request->awaited[i]->window);
      if (release_s <= 0)
        return 0;
      starts_per_s += 1 / release_s;
    }
  return starts_per_s > 0
             ? (int64_t)((ahead + 1) / starts_per_s * (double)KWF_NS_PER_S)
             : 0;
}

static int64_t
first_token_ns (const kwf_core_t *core)
{
  return (int64_t)(core->waits.first_token_s * (double)KWF_NS_PER_S);
}

/* The server that REQUEST waits for, if its limit is in force; NULL: none.  */
static server_t *
awaited_limited (const kwf_core_t *core, const request_t *request,
                 int64_t now_ns)
{
  const server_t *server = request->awaited[0];
  if (!server || request->awaited[1]
      || !limit_in_force (&server->limit, now_ns))
    return NULL;
  return backend_find (core->backend, server->id);
}

/* How much longer REQUEST waits for a permit at most.  */
static int64_t
patience_ns (const kwf_core_t *core, const request_t *request, int64_t now_ns)
{
  int64_t most_ns
      = LIMIT_WAIT_MAX_NS >> CLAMP (request->priority, 0, QUEUE_LANES - 1);
  int64_t latest_ns = MIN (request->deadline_ns - first_token_ns (core),
                           request->arrived_ns + most_ns);
  return MAX (latest_ns - now_ns, 0);
}

typedef struct
{
  const request_t *request;
  double ahead;
} ahead_count_t;

/* A request that waits for two engines takes a place at each of them half of
   the time.  The servers in AWAITED of other requests are only compared.  */
static bool
count_ahead (queue_item_t *item, void *data)
{
  ahead_count_t *count = data;
  const request_t *other = request_of (item);
  if (other == count->request)
    return true;
  int n = 0;
  int shared = 0;
  for (; n < 2 && other->awaited[n]; n++)
    shared += waits_for (count->request, other->awaited[n]);
  if (n)
    count->ahead += (double)shared / n;
  return false;
}

/* Shedding.  */

void
wait_shed (kwf_core_t *core, request_t *request, shed_reason_t cause,
           int64_t retry_after_ns, kwf_effects_t *effects)
{
  wait_queue_t *waits = &core->waits;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  waits->shed[cause]++;
  if (!waits->shed_logged_ns || now_ns - waits->shed_logged_ns >= SHED_LOG_NS)
    {
      waits->shed_logged_ns = now_ns;
      kwf_effects_log (effects, 230, KWF_LOG_WARNING, request->id,
                       "requests are shed: cause %s, organisation %s, "
                       "%zu waiting",
                       causes[cause], request->organisation,
                       waits->queue.length);
    }
  request_refuse (
      core, request,
      &(refusal_t){ .code = CODE_OVERLOADED,
                    .run = KWF_RUN_NO,
                    .retry_after_ms
                    = CLAMP (retry_after_ns, RETRY_MIN_NS, RETRY_MAX_NS)
                      / KWF_NS_PER_MS,
                    .message = messages[cause] },
      effects);
}

/* Reasons for which no holder of a model takes a request.  */
typedef struct
{
  int n;
  int refused;
  int leaving;
  int without_adapter;
} holder_counts_t;

static holder_counts_t
count_holders (const kwf_core_t *core, const request_t *request)
{
  holder_counts_t count = { 0 };
  const GPtrArray *servers
      = request->model
            ? backend_servers_of_model (core->backend, request->model)
            : NULL;
  for (guint i = 0; servers && i < servers->len; i++)
    {
      const server_t *server = servers->pdata[i];
      count.n += !server->evacuated
                 && server_holds_model (server, request->model)
                 && !home_excludes (core, request, server);
      count.refused += server->refused;
      count.leaving += server_leaving (server);
      count.without_adapter += request->adapter
                               && !server_holds_adapter (
                                   server, request->model, request->adapter);
    }
  return count;
}

/* Shed REQUEST, which waits until an engine has loaded its model, when that
   cannot be in time or no load is announced.  */
static void
check_model_wait (kwf_core_t *core, request_t *request, int64_t now_ns,
                  kwf_effects_t *effects)
{
  const kwf_model_t *model
      = kwf_lists_model (config_lists (core->config), request->model);
  if (request->kind != KWF_REQUEST_ROUTED || request->n_ran || !model)
    return;
  /* With a holder only the adapter is missing, which loads in milliseconds. */
  bool adapter = count_holders (core, request).n > 0;
  int64_t announced_ns
      = backend_model_load_announced_ns (core->backend, request->model);
  bool loading = !adapter && announced_ns != INT64_MIN
                 && now_ns - announced_ns < LOAD_WAIT_FACTOR * model->load_ns;
  int64_t left_ns = MAX (loading ? announced_ns + model->load_ns - now_ns : 0,
                         RETRY_MIN_NS);
  int64_t retry_ns = adapter ? ADAPTER_RETRY_NS : model->load_ns;
  if (admission_applies (core, request))
    {
      admission_load_t load = { loading, left_ns, retry_ns };
      admission_check_copy (core, request, &load, effects);
      return;
    }
  if (loading ? now_ns + left_ns <= request->deadline_ns
              : now_ns - request->arrived_ns < MODEL_WAIT_NS)
    return;
  wait_shed (core, request, SHED_NO_COPY, loading ? left_ns : retry_ns,
             effects);
}

/* Shed REQUEST, which waits for a permit for SERVER behind AHEAD others, when
   the owner of the limit has none in time.  */
static void
check_permit_wait (kwf_core_t *core, request_t *request, server_t *server,
                   double ahead, int64_t now_ns, kwf_effects_t *effects)
{
  int64_t start_in_ns = limit_start_in_ns (&server->limit, (int)ahead, now_ns);
  int64_t most_ns = patience_ns (core, request, now_ns);
  if (request->n_ran || (most_ns && start_in_ns <= most_ns))
    return;
  wait_shed (core, request, SHED_LIMIT,
             limit_retry_after_ns (&server->limit, request->priority,
                                   permits_n_live (core->permits), now_ns),
             effects);
}

/* Check whether REQUEST, which waits behind AHEAD others, can start in time.
   If it would be late and has not run before, it is shed.  For an urgent
   request a stream is preempted instead, if there is one.  A request for a
   model that no engine holds follows check_model_wait.  */
static void
check_expected_start (kwf_core_t *core, request_t *request, double ahead,
                      int64_t now_ns, kwf_effects_t *effects)
{
  if (!request->awaited[0])
    {
      check_model_wait (core, request, now_ns, effects);
      return;
    }
  server_t *limited
      = request->held ? NULL : awaited_limited (core, request, now_ns);
  if (limited)
    {
      check_permit_wait (core, request, limited, ahead, now_ns, effects);
      return;
    }
  if (!admission_check_waiting (core, request, effects) || request->held)
    return;
  int64_t start_in_ns = start_after_ns (request, ahead);
  int64_t latest_start_in_ns
      = request->deadline_ns - now_ns - first_token_ns (core);
  bool late = start_in_ns > latest_start_in_ns;
  /* An urgent request preempts also once half of its time has passed: the
     expected start may not be known, or be wrong.  */
  bool half_waited
      = now_ns - request->arrived_ns >= request->deadline_ns - now_ns;
  if ((late || half_waited) && request->priority == KWF_PRIORITY_URGENT
      && preempt_for (core, request, effects))
    attempt_dispatch (core, request, effects);
  else if ((late || half_waited) && request->priority == KWF_PRIORITY_URGENT
           && core->stop.stopping && !request->n_ran)
    /* Another instance may preempt a stream for it.  */
    stop_refuse (core, request, effects);
  else if (late && start_in_ns && !request->n_ran)
    wait_shed (core, request, SHED_DEADLINE, start_in_ns - latest_start_in_ns,
               effects);
}

static double
weight_of (const kwf_core_t *core, const request_t *request)
{
  const kwf_organisation_t *organisation = kwf_lists_organisation (
      config_lists (core->config), request->organisation);
  return organisation ? MAX (organisation->rate, 1) : 1;
}

/* Queued requests for a model and adapter that no engine holds.  */
typedef struct
{
  const request_t *request; /* one of them */
  int n;
  int priority;
  double tokens;
  int64_t deadline_ns;
} model_demand_t;

static bool
add_model_demand (queue_item_t *item, void *data)
{
  model_demand_t *model_demand = data;
  const request_t *request = request_of (item);
  if (request->awaited[0]
      || strcmp (request->model, model_demand->request->model) != 0
      || g_strcmp0 (request->adapter, model_demand->request->adapter) != 0)
    return false;
  model_demand->priority
      = model_demand->n ? MIN (model_demand->priority, request->priority)
                        : request->priority;
  model_demand->n++;
  model_demand->request = request;
  model_demand->tokens += request->charged;
  model_demand->deadline_ns
      = MAX (model_demand->deadline_ns, request->deadline_ns);
  return false;
}

/* Record in the demand which requests wait until an engine has loaded the
   model of REQUEST.  */
static void
update_model_demand (kwf_core_t *core, const request_t *request)
{
  model_demand_t model_demand = { .request = request };
  queue_walk (&core->waits.queue, add_model_demand, &model_demand);
  if (model_demand.n)
    demand_set_waiting (core->demand, request->model, request->adapter,
                        model_demand.priority, model_demand.tokens,
                        model_demand.deadline_ns);
  else
    demand_clear_waiting (core->demand, request->model, request->adapter);
  demand_set_excluded (core->demand, request->model, request->adapter,
                       home_excluded (core, model_demand.request));
}

void
wait_remove_request (kwf_core_t *core, request_t *request, bool served)
{
  if (!request->queue_item.place)
    return;
  queue_remove (&core->waits.queue, &request->queue_item, served);
  /* It waited until an engine has loaded its model.  */
  if (!request->awaited[0])
    update_model_demand (core, request);
}

static bool
enqueue (kwf_core_t *core, request_t *request, int64_t now_ns,
         kwf_effects_t *effects)
{
  wait_queue_t *waits = &core->waits;
  request->queue_item.organisation = request->organisation;
  /* Only this instance can go on with a stream that has begun.  */
  request->queue_item.priority
      = core->stop.stopping && request_has_begun (request)
            ? KWF_PRIORITY_URGENT
            : admission_lane (request);
  request->queue_item.tokens = request->charged;
  request->queue_item.weight = weight_of (core, request);
  request->queue_item.resumed = request->n_ran > 0;
  queue_item_t *displaced;
  switch (queue_add (&waits->queue, &request->queue_item, &displaced))
    {
    case QUEUE_ORGANISATION_FULL:
      wait_shed (core, request, SHED_ORGANISATION, KWF_NS_PER_S, effects);
      return false;
    case QUEUE_FULL:
      wait_shed (core, request, SHED_FULL, KWF_NS_PER_S, effects);
      return false;
    case QUEUE_ADDED:
      break;
    }
  if (displaced)
    wait_shed (core, request_of (displaced), SHED_DISPLACED, KWF_NS_PER_S,
               effects);
  if (waits->next_sweep_ns <= now_ns)
    waits->next_sweep_ns = now_ns + SWEEP_PERIOD_NS;
  return true;
}

void
wait_enter (kwf_core_t *core, request_t *request, const route_result_t *route,
            kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  bool waited = request->queue_item.place;
  bool waited_for_model = waited && !request->awaited[0];
  request->state = REQUEST_QUEUED;
  request->awaited[0] = route->full[0];
  request->awaited[1] = route->full[1];
  request_set_action (core, request, 0);
  if (!waited && !enqueue (core, request, now_ns, effects))
    return;
  if (waited_for_model != !request->awaited[0])
    update_model_demand (core, request);
  if (waited)
    return;
  const server_t *full = request->awaited[0];
  holder_counts_t holders = count_holders (core, request);
  kwf_effects_log (
      effects, 224, KWF_LOG_INFO, request->id,
      "waits for %s%s target=%s adapter=%s limit=%.0f under_way=%d"
      " queued=%zu holders=%d refused=%d leaving=%d without_adapter=%d",
      full ? "room at server=" : "a copy", full ? full->id : "",
      request->model ? request->model : request->service,
      request->adapter ? request->adapter : "-", full ? full->window.limit : 0,
      full ? full->open_attempts : 0, core->waits.queue.length, holders.n,
      holders.refused, holders.leaving, holders.without_adapter);
  ahead_count_t count = { .request = request };
  if (request->awaited[0])
    queue_walk (&core->waits.queue, count_ahead, &count);
  check_expected_start (core, request, count.ahead, now_ns, effects);
}

void
waits_recheck_server (kwf_core_t *core, server_t *server)
{
  if (!core->waits.queue.length)
    return;
  server->recheck = true;
  core->waits.recheck = true;
}

void
waits_recheck_all (kwf_core_t *core)
{
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    waits_recheck_server (core, g_ptr_array_index (servers, i));
}

/* Held requests are tried by the sweep.  */
static bool
waits_for_server (queue_item_t *item, void *data)
{
  const request_t *request = request_of (item);
  return !request->held && waits_for (request, data);
}

static void
dispatch_waiting (kwf_core_t *core, server_t *server, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  while (server_usable (server, now_ns)
         && server_may_take_one_more (server, now_ns))
    {
      queue_item_t *item
          = queue_walk (&core->waits.queue, waits_for_server, server);
      if (!item)
        return;
      request_t *request = request_of (item);
      kwf_handle_t handle = request->handle;
      attempt_dispatch (core, request, effects);
      request = request_find (core, handle);
      if (request && request->queue_item.place && !request->held)
        return;
    }
}

void
waits_run_rechecks (kwf_core_t *core, kwf_effects_t *effects)
{
  while (core->waits.recheck)
    {
      core->waits.recheck = false;
      const GPtrArray *servers = backend_servers (core->backend);
      for (guint i = 0; i < servers->len; i++)
        {
          server_t *server = g_ptr_array_index (servers, i);
          if (!server->recheck)
            continue;
          server->recheck = false;
          dispatch_waiting (core, server, effects);
        }
    }
}

static bool
collect_handle (queue_item_t *item, void *data)
{
  g_array_append_val ((GArray *)data, request_of (item)->handle);
  return false;
}

/* Count REQUEST as waiting at its engines; return the number that wait there
   before it.  */
static double
count_at_engines (const kwf_core_t *core, const request_t *request)
{
  double ahead = 0;
  int n = request->awaited[1] ? 2 : 1;
  for (int i = 0; i < 2 && request->awaited[i]; i++)
    {
      server_t *server = backend_find (core->backend, request->awaited[i]->id);
      ahead += server->ahead;
      server->ahead += 1.0 / n;
    }
  return ahead;
}

static void
sweep (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects)
{
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    ((server_t *)g_ptr_array_index (servers, i))->ahead = 0;
  GArray *handles = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t));
  queue_walk (&core->waits.queue, collect_handle, handles);
  for (guint i = 0; i < handles->len; i++)
    {
      kwf_handle_t handle = g_array_index (handles, kwf_handle_t, i);
      request_t *request = request_find (core, handle);
      if (!request || !request->queue_item.place)
        continue;
      attempt_dispatch (core, request, effects);
      request = request_find (core, handle);
      if (request && request->queue_item.place)
        check_expected_start (core, request, count_at_engines (core, request),
                              now_ns, effects);
    }
  g_array_free (handles, TRUE);
}

typedef struct
{
  const kwf_core_t *core;
  int64_t now_ns;
  GPtrArray *servers; /* those whose limit is in force */
} permit_count_t;

/* The awaited server may be gone, so it is only compared.  */
static bool
count_for_permits (queue_item_t *item, void *data)
{
  const permit_count_t *count = data;
  const request_t *request = request_of (item);
  guint at;
  if (request->awaited[1]
      || !g_ptr_array_find (count->servers, request->awaited[0], &at))
    return false;
  limit_t *limit = &((server_t *)count->servers->pdata[at])->limit;
  limit->n_waiting++;
  limit->patience_ns = MAX (limit->patience_ns,
                            patience_ns (count->core, request, count->now_ns));
  return false;
}

void
waits_count_for_permits (kwf_core_t *core, int64_t now_ns)
{
  const GPtrArray *servers = backend_servers (core->backend);
  permit_count_t count = { core, now_ns, g_ptr_array_new () };
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      if (!limit_in_force (&server->limit, now_ns))
        continue;
      server->limit.n_waiting = 0;
      server->limit.patience_ns = 0;
      g_ptr_array_add (count.servers, server);
    }
  if (count.servers->len)
    queue_walk (&core->waits.queue, count_for_permits, &count);
  g_ptr_array_free (count.servers, TRUE);
}

void
waits_tick (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects)
{
  if (!core->waits.queue.length || now_ns < core->waits.next_sweep_ns)
    return;
  core->waits.next_sweep_ns = now_ns + SWEEP_PERIOD_NS;
  sweep (core, now_ns, effects);
}

int64_t
waits_next_tick_ns (const kwf_core_t *core)
{
  return core->waits.queue.length ? core->waits.next_sweep_ns : INT64_MAX;
}

void
waits_write_metrics (const kwf_core_t *core, GString *out)
{
  static const char *const classes[QUEUE_LANES]
      = { "urgent", "interactive", "overnight" };
  const wait_queue_t *waits = &core->waits;
  g_string_append (out, "# TYPE kwf_queue_length gauge\n");
  for (int i = 0; i < QUEUE_LANES; i++)
    g_string_append_printf (out, "kwf_queue_length{class=\"%s\"} %zu\n",
                            classes[i], queue_lane_length (&waits->queue, i));
  g_string_append (out, "# TYPE kwf_shed_total counter\n");
  for (int i = 0; i < N_SHED_REASONS; i++)
    g_string_append_printf (
        out, "kwf_shed_total{cause=\"%s\"} %" G_GUINT64_FORMAT "\n", causes[i],
        waits->shed[i]);
  metric_write_value (out, "kwf_preemptions_total", "counter",
                      (double)waits->n_preempted);
}
