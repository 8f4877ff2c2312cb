/* Fakes of model engines and plain services.  */

#include "common-world-memory.h"
#include "common-sim.h"

#include <string.h>

#define NETWORK_NS (1 * MS)

typedef struct
{
  world_attempt_t *attempt;
  kwf_event_t event;
} arrival_t;

typedef struct
{
  world_node_t *node;
  uint64_t incarnation;
  kwf_event_t event;
} report_t;

world_engine_t *
world_engine (world_t *world, const char *id)
{
  for (guint i = 0; i < world->engines->len; i++)
    {
      world_engine_t *engine = g_ptr_array_index (world->engines, i);
      if (strcmp (engine->id, id) == 0)
        return engine;
    }
  return NULL;
}

world_engine_t *
world_engine_new (world_t *world, const char *id, const char *service,
                  const char *data_centre)
{
  world_engine_t *engine = g_new0 (world_engine_t, 1);
  engine->world = world;
  engine->id = world_text (world, id);
  engine->address = engine->id;
  engine->service = world_text (world, service);
  engine->data_centre = world_text (world, data_centre);
  engine->models = g_ptr_array_new ();
  engine->up = true;
  engine->incarnation = 1;
  engine->token_ns = 10 * MS;
  g_ptr_array_add (world->engines, engine);
  return engine;
}

/* Delay of one direction between an instance and a backend server.  */
static int64_t
network_ns (const world_node_t *node, const world_engine_t *engine)
{
  bool same = !node->data_centre
              || strcmp (node->data_centre, engine->data_centre) == 0;
  return NETWORK_NS + (same ? 0 : node->world->centre_delay_ns);
}

/* Membership list and load reports.  */

static void
deliver_report (world_t *world, void *data)
{
  (void)world;
  report_t *report = data;
  if (report->node->up && report->node->incarnation == report->incarnation)
    world_node_step (report->node, &report->event);
}

void
world_send_members (world_node_t *node)
{
  world_t *world = node->world;
  report_t *report = world_scratch (world, sizeof *report);
  report->node = node;
  report->incarnation = node->incarnation;
  report->event.type = KWF_EV_MEMBERS;
  kwf_member_t *members
      = world_scratch (world, (world->engines->len + 1) * sizeof *members);
  for (guint i = 0; i < world->engines->len; i++)
    {
      const world_engine_t *engine = g_ptr_array_index (world->engines, i);
      members[i] = (kwf_member_t){
        .id = engine->id,
        .kind = engine->service ? KWF_MEMBER_SERVICE : KWF_MEMBER_ENGINE,
        .name = engine->service ? engine->service : "",
        .address = engine->address,
        .data_centre = engine->data_centre,
      };
    }
  report->event.members = (kwf_members_event_t){
    .valid = !world->table.outage,
    .members = members,
    .n_members = world->engines->len,
  };
  world_at (world, world->now_ns + NETWORK_NS, deliver_report, report);
}

void
world_engine_probe (world_node_t *node, const char *id)
{
  world_t *world = node->world;
  world_engine_t *engine = world_engine (world, id);
  report_t *report = world_scratch (world, sizeof *report);
  report->node = node;
  report->incarnation = node->incarnation;
  report->event.type = KWF_EV_REPORT;
  kwf_report_event_t *event = &report->event.report;
  *event = (kwf_report_event_t){
    .server = engine->id,
    .valid = engine->up,
    .refused = !engine->up,
    .incarnation = engine->incarnation,
    .leaving = engine->leaving,
    .resume = engine->resume,
    .running = engine->running - (int)engine->waiting.length,
    .waiting = (int)engine->waiting.length,
    .batch = engine->batch_hidden ? 0 : engine->batch
  };
  int64_t delay_ns = network_ns (node, engine);
  if (engine->sim)
    {
      sim_load_report (engine->sim, event);
      world_at (world, world->now_ns + delay_ns, deliver_report, report);
      return;
    }
  kwf_resident_t *models
      = world_scratch (world, (engine->models->len + 1) * sizeof *models);
  for (guint i = 0; i < engine->models->len; i++)
    models[i]
        = (kwf_resident_t){ .name = g_ptr_array_index (engine->models, i),
                            .version = "1" };
  event->models = models;
  event->n_models = engine->memory ? 0 : engine->models->len;
  if (engine->memory)
    world_memory_report (engine->memory, event);
  world_at (world, world->now_ns + delay_ns, deliver_report, report);
}

/* Attempts.  */

static void
arrive (world_t *world, void *data)
{
  arrival_t *arrival = data;
  world_attempt_t *attempt = arrival->attempt;
  if ((attempt->cancelled && !world->events_after_cancel) || !attempt->node->up
      || attempt->node->incarnation != attempt->node_incarnation)
    return;
  if (arrival->event.type == KWF_EV_ATTEMPT_DATA
      || arrival->event.type == KWF_EV_ATTEMPT_END)
    attempt->arrived
        = MAX (attempt->arrived, (int)arrival->event.attempt.tokens);
  world_node_step (attempt->node, &arrival->event);
}

/* Delays differ between attempts, but the events of one attempt arrive in the
   order in which they were sent.  */
static void
send_event (world_attempt_t *attempt, kwf_event_t event)
{
  world_t *world = attempt->world;
  arrival_t *arrival = world_scratch (world, sizeof *arrival);
  arrival->attempt = attempt;
  arrival->event = event;
  arrival->event.attempt.attempt = attempt->handle;
  arrival->event.attempt.request = attempt->request->handle;
  world_at (world, world->now_ns + network_ns (attempt->node, attempt->engine),
            arrive, arrival);
}

static void make_token (world_t *world, void *data);

/* Start waiting attempts while the batch has room.  */
static void
fill_batch (world_engine_t *engine)
{
  while (engine->waiting.length
         && engine->running - (int)engine->waiting.length < engine->batch)
    world_at (engine->world, engine->world->now_ns + engine->token_ns,
              make_token, g_queue_pop_head (&engine->waiting));
}

void
world_attempt_release (world_attempt_t *attempt)
{
  if (attempt->ended)
    return;
  attempt->ended = true;
  attempt->engine->running--;
  g_queue_remove (&attempt->engine->waiting, attempt);
  fill_batch (attempt->engine);
}

void
world_attempt_fail (world_attempt_t *attempt, kwf_failure_t failure)
{
  world_attempt_release (attempt);
  send_event (attempt, (kwf_event_t){ .type = KWF_EV_ATTEMPT_FAILED,
                                      .attempt = { .failure = failure } });
}

void
world_attempt_finish (world_attempt_t *attempt, int status, const char *body)
{
  world_attempt_release (attempt);
  bool streamed = attempt->request->stream && status == 200;
  send_event (
      attempt,
      (kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                     .attempt = { .tokens = attempt->made,
                                  .status = status,
                                  .body = streamed ? NULL : body,
                                  .body_size = streamed ? 0 : strlen (body),
                                  .content_type = "application/json" } });
}

void
world_attempt_data (world_attempt_t *attempt)
{
  if (attempt->request->stream)
    send_event (attempt,
                (kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                               .attempt = { .tokens = attempt->made } });
}

static void
end_crash (world_t *world, void *data)
{
  (void)world;
  world_engine_t *engine = data;
  engine->up = true;
  engine->incarnation++;
  if (engine->memory)
    world_memory_clear (engine->memory);
}

void
world_engine_crash (world_engine_t *engine, int64_t restart_ns)
{
  world_t *world = engine->world;
  engine->up = false;
  engine->crashes++;
  GHashTableIter iter;
  gpointer value;
  GPtrArray *broken = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, world->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      world_attempt_t *attempt = value;
      if (attempt->engine == engine && !attempt->ended)
        g_ptr_array_add (broken, attempt);
    }
  for (guint i = 0; i < broken->len; i++)
    world_attempt_fail (g_ptr_array_index (broken, i), KWF_FAIL_BROKEN);
  g_ptr_array_free (broken, TRUE);
  if (restart_ns)
    world_at (world, world->now_ns + restart_ns, end_crash, engine);
}

static void
make_token (world_t *world, void *data)
{
  world_attempt_t *attempt = data;
  world_engine_t *engine = attempt->engine;
  world_request_t *request = attempt->request;
  if (attempt->ended || engine->incarnation != attempt->incarnation
      || !engine->up)
    return;
  if (attempt->cancelled)
    {
      world_attempt_release (attempt);
      return;
    }
  if (strstr (request->body, "poison"))
    {
      world_engine_crash (engine, engine->restart_ns);
      return;
    }
  int total = (int)attempt->resume_from + attempt->made;
  if (total < request->n_tokens)
    {
      attempt->made++;
      world_attempt_data (attempt);
      if (engine->break_after && attempt->made >= engine->break_after)
        {
          world_attempt_fail (attempt, KWF_FAIL_BROKEN);
          return;
        }
      world_at (world, world->now_ns + engine->token_ns, make_token, attempt);
      return;
    }
  world_attempt_finish (attempt, 200, "{\"whole\":true}");
}

static void
run_service (world_t *world, void *data)
{
  world_attempt_t *attempt = data;
  world_engine_t *engine = attempt->engine;
  world_request_t *request = attempt->request;
  if (attempt->ended || !engine->up)
    return;
  if (attempt->cancelled)
    {
      world_attempt_release (attempt);
      return;
    }
  if (strstr (request->body, "poison"))
    {
      world_engine_crash (engine, engine->restart_ns);
      return;
    }
  if (engine->die_before_run)
    {
      world_engine_crash (engine, engine->restart_ns);
      return;
    }
  request->runs++;
  const char *key = request->event.idempotency_key
                        ? request->event.idempotency_key
                        : request->name;
  gpointer runs = g_hash_table_lookup (world->runs, key);
  g_hash_table_replace (world->runs, (gpointer)key,
                        GINT_TO_POINTER (GPOINTER_TO_INT (runs) + 1));
  if (engine->die_after_run)
    world_engine_crash (engine, engine->restart_ns);
  else
    world_attempt_finish (attempt, engine->status ? engine->status : 200,
                          "{\"run\":1}");
}

typedef struct
{
  char text[48];
} attempt_key_t;

static attempt_key_t
attempt_key (const world_node_t *node, kwf_handle_t handle)
{
  attempt_key_t key;
  g_snprintf (key.text, sizeof key.text, "%d/%" G_GUINT64_FORMAT, node->index,
              handle);
  return key;
}

void
world_engine_start (world_node_t *node, const kwf_attempt_start_t *start)
{
  world_t *world = node->world;
  world_engine_t *engine = world_engine (world, start->server);
  world_request_t *request
      = g_hash_table_lookup (world->requests_by_handle, &start->request);
  world_attempt_t *attempt = world_alloc (world, sizeof *attempt);
  *attempt = (world_attempt_t){ .world = world,
                                .node = node,
                                .engine = engine,
                                .request = request,
                                .handle = start->attempt,
                                .incarnation = engine->incarnation,
                                .node_incarnation = node->incarnation,
                                .resume_from = start->resume_from,
                                .priority = start->priority };
  g_hash_table_replace (
      world->attempts,
      world_text (world, attempt_key (node, start->attempt).text), attempt);
  world->n_attempts++;
  engine->running++;
  if (!engine->up)
    {
      world_attempt_fail (attempt, KWF_FAIL_REFUSED);
      return;
    }
  engine->starts++;
  engine->last_start_ns = world->now_ns;
  bool holds
      = !engine->memory
        || world_memory_has_ready (engine->memory, request->event.model, NULL);
  /* An engine that is busy, or that has not loaded the model, does not begin
     the request.  */
  int status = holds ? engine->status : 404;
  bool declined = status == 404 || status == 429;
  request->starts += !declined;
  int64_t delay_ns
      = network_ns (node, engine) + (engine->sim ? 0 : engine->token_ns)
        + (int64_t)world_random (world, (uint64_t)world->jitter_ns + 1);
  if (engine->stall)
    return;
  bool fails = engine->fail_every && engine->starts % engine->fail_every == 0;
  if ((status >= 400 || fails) && !engine->service)
    {
      world_attempt_finish (attempt, fails ? 500 : status, "{\"error\":{}}");
      return;
    }
  if (engine->batch && engine->running > engine->batch)
    {
      g_queue_push_tail (&engine->waiting, attempt);
      return;
    }
  world_at (world, world->now_ns + delay_ns,
            engine->sim       ? sim_start_attempt
            : engine->service ? run_service
                              : make_token,
            attempt);
}

static world_attempt_t *
find_attempt (const world_node_t *node, kwf_handle_t handle)
{
  return g_hash_table_lookup (node->world->attempts,
                              attempt_key (node, handle).text);
}

void
world_engine_cancel (world_node_t *node, kwf_handle_t handle)
{
  world_attempt_t *attempt = find_attempt (node, handle);
  if (!attempt || attempt->cancelled)
    return;
  attempt->cancelled = true;
  attempt->request->cancels++;
  if (attempt->engine->stall || attempt->engine->batch)
    world_attempt_release (attempt);
}

void
world_engine_forward (world_node_t *node, kwf_handle_t request_handle,
                      kwf_handle_t handle, bool last)
{
  world_attempt_t *attempt = find_attempt (node, handle);
  world_request_t *request = attempt->request;
  if (!request->first_ns && attempt->arrived)
    request->first_ns = node->world->now_ns;
  if (request->stream || last)
    for (; attempt->forwarded < attempt->arrived; attempt->forwarded++)
      {
        int token = (int)attempt->resume_from + attempt->forwarded;
        g_array_append_val (request->tokens, token);
      }
  if (request->tokens->len && !request->first_ns)
    request->first_ns = node->world->now_ns;
  if (attempt->cancelled || request->handle != request_handle)
    request->foreign = true;
}
