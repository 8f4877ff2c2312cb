/* Words of the scenario language, and the verbs that set up the world and make
   things happen.  */

#include <inttypes.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "lib/queue.h"
#include "scenario-verbs.h"

void
line_fail (const scenario_t *scenario, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  fail_msg ("%s:%d: %s", scenario->path, scenario->line, text);
}

/* Words of a line.  */

const char *
line_word (const scenario_t *scenario, int i)
{
  if (i >= scenario->argc)
    line_fail (scenario, "a word is missing");
  return scenario->argv[i];
}

const char *
line_option (const scenario_t *scenario, const char *name,
             const char *otherwise)
{
  const char *value = g_hash_table_lookup (scenario->options, name);
  return value ? value : otherwise;
}

int64_t
number (const scenario_t *scenario, const char *name, int64_t otherwise)
{
  const char *value = line_option (scenario, name, NULL);
  return value ? g_ascii_strtoll (value, NULL, 10) : otherwise;
}

bool
line_flag (const scenario_t *scenario, const char *name, bool otherwise)
{
  const char *value = line_option (scenario, name, NULL);
  return value ? strcmp (value, "yes") == 0 : otherwise;
}

void
line_split_options (scenario_t *scenario)
{
  scenario->options
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (int i = 1; i < scenario->argc; i++)
    {
      const char *equals = strchr (scenario->argv[i], '=');
      if (equals)
        g_hash_table_replace (
            scenario->options,
            g_strndup (scenario->argv[i], equals - scenario->argv[i]),
            g_strdup (equals + 1));
    }
}

/* Verbs that set up the world.  */

static void
apply_engine_options (const scenario_t *scenario, world_engine_t *engine)
{
  char **models = g_strsplit (line_option (scenario, "models", ""), ",", 0);
  for (int i = 0; !engine->service && models[i]; i++)
    if (engine->memory)
      world_memory_add (engine->memory, models[i], "1");
    else
      g_ptr_array_add (engine->models,
                       world_text (scenario->world, models[i]));
  g_strfreev (models);
  engine->starts_before = engine->starts;
  engine->token_ns = number (scenario, "token_ms", engine->token_ns / MS) * MS;
  engine->restart_ns
      = number (scenario, "restart_ms", engine->restart_ns / MS) * MS;
  engine->resume = line_flag (scenario, "resume", engine->resume);
  engine->leaving = line_flag (scenario, "leaving", engine->leaving);
  engine->stall = line_flag (scenario, "stall", engine->stall);
  engine->up = line_flag (scenario, "up", engine->up);
  engine->die_before_run
      = line_flag (scenario, "die_before_run", engine->die_before_run);
  engine->die_after_run
      = line_flag (scenario, "die_after_run", engine->die_after_run);
  engine->status = (int)number (scenario, "status", engine->status);
  engine->fail_every
      = (int)number (scenario, "fail_every", engine->fail_every);
  engine->batch = (int)number (scenario, "batch", engine->batch);
  engine->batch_hidden = line_flag (scenario, "hidden", engine->batch_hidden);
  engine->break_after
      = (int)number (scenario, "break_after", engine->break_after);
  world_memory_t *memory = engine->memory;
  if (!memory)
    return;
  memory->load_ns = number (scenario, "load_ms", memory->load_ns / MS) * MS;
  memory->unload_ns
      = number (scenario, "unload_ms", memory->unload_ns / MS) * MS;
  memory->delay_ns
      = number (scenario, "order_delay_ms", memory->delay_ns / MS) * MS;
  memory->lose_orders
      = (int)number (scenario, "lose_orders", memory->lose_orders);
  memory->lose_answers
      = (int)number (scenario, "lose_order_answers", memory->lose_answers);
  memory->repeat_orders
      = line_flag (scenario, "double_orders", memory->repeat_orders);
  memory->fencing = line_flag (scenario, "fencing", memory->fencing);
}

static void
add_engine (scenario_t *scenario, const char *service)
{
  world_t *world = scenario->world;
  world_engine_t *engine
      = world_engine_new (world, line_word (scenario, 1), service,
                          line_option (scenario, "dc", "a"));
  int64_t memory_mb = number (scenario, "memory_mb", 0);
  if (memory_mb)
    engine->memory = world_memory_new (engine, memory_mb);
  apply_engine_options (scenario, engine);
}

/* engine NAME ...: add a model engine to the world.  */
void
verb_engine (scenario_t *scenario)
{
  add_engine (scenario, NULL);
}

/* service NAME SERVICE ...: add a server of a plain service.  */
void
verb_service (scenario_t *scenario)
{
  add_engine (scenario, line_word (scenario, 2));
}

world_engine_t *
line_engine (const scenario_t *scenario)
{
  world_engine_t *engine
      = world_engine (scenario->world, line_word (scenario, 1));
  if (!engine)
    line_fail (scenario, "no such server");
  return engine;
}

void
verb_set (scenario_t *scenario)
{
  apply_engine_options (scenario, line_engine (scenario));
}

void
verb_crash (scenario_t *scenario)
{
  world_engine_t *engine = line_engine (scenario);
  world_engine_crash (engine, engine->restart_ns);
}

void
verb_seed (scenario_t *scenario)
{
  if (!scenario->world->seed_fixed)
    scenario->world->seed
        = g_ascii_strtoull (line_word (scenario, 1), NULL, 10);
}

void
verb_network (scenario_t *scenario)
{
  world_t *world = scenario->world;
  world->jitter_ns
      = number (scenario, "jitter_ms", world->jitter_ns / MS) * MS;
  world->link_ns = number (scenario, "link_ms", world->link_ns / MS) * MS;
  world->events_after_cancel
      = line_flag (scenario, "late", world->events_after_cancel);
  world->links_cut = line_flag (scenario, "links_cut", world->links_cut);
}

void
verb_table (scenario_t *scenario)
{
  world_table_t *table = &scenario->world->table;
  table->outage = line_flag (scenario, "outage", table->outage);
  table->lose_answers
      = (int)number (scenario, "lose_answers", table->lose_answers);
  table->delay_ns = number (scenario, "delay_ms", table->delay_ns / MS) * MS;
  const char *block = line_option (scenario, "block", NULL);
  if (block)
    table->block = strcmp (block, "none") == 0
                       ? NULL
                       : world_text (scenario->world, block);
}

void
verb_organisation (scenario_t *scenario)
{
  g_string_append_printf (
      scenario->world->lists_plans,
      "[[organisation]]\nname = \"%s\"\nplan = \"basic\"\nbranch = \"b\"\n"
      "rate = %" G_GINT64_FORMAT "\nburst = %" G_GINT64_FORMAT
      "\npriority = \"%s\"\n",
      line_word (scenario, 1), number (scenario, "rate", 1000000),
      number (scenario, "burst", 1000000),
      line_option (scenario, "priority", "interactive"));
}

static void
run_for (world_t *world, int64_t ms)
{
  world_run (world, world->now_ns + ms * MS);
}

/* nodes N: start N instances, without lists and keys.  */
void
verb_nodes (scenario_t *scenario)
{
  int n = (int)g_ascii_strtoll (line_word (scenario, 1), NULL, 10);
  for (int i = 0; i < n; i++)
    world_node_start (scenario->world, i);
}

/* queue length=N organisation_length=N placement=yes order=arrival
   retry_window_ms=N retry_slack=N: set
   options of the instances that are started from now on: limits of the queue;
   placement=yes lets them load and unload models; the order of the queue is
   that of arrival, or fair between organisations by default; the window and
   the slack of the retry budget of each service.  Options that are not named
   get their defaults.  */
void
verb_queue (scenario_t *scenario)
{
  kwf_core_options_t *options = &scenario->world->options;
  options->queue_length = number (scenario, "length", 0);
  options->queue_organisation_length
      = number (scenario, "organisation_length", 0);
  options->retry_window_ns = number (scenario, "retry_window_ms", 0) * MS;
  options->retry_slack = (double)number (scenario, "retry_slack", 0);
  scenario->world->placement.dynamic
      = line_flag (scenario, "placement", false);
  options->queue_order
      = strcmp (line_option (scenario, "order", "fair"), "arrival") == 0
            ? &queue_fifo
            : &queue_fair;
}

/* start: start instances, apply the lists and add a key for each
   organisation.  */
void
verb_start (scenario_t *scenario)
{
  world_t *world = scenario->world;
  g_string_assign (
      world->lists_uses,
      /* 1,000 MB are reserved for m, the adapter included.  */
      "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 980\n"
      "adapters = [\"x\"]\n"
      "[[model]]\nname = \"n\"\nversion = \"1\"\nmemory_mb = 1000\n"
      "adapters = []\n"
      "[[model]]\nname = \"secret\"\nversion = \"1\"\nmemory_mb = 1000\n"
      "adapters = []\n"
      "[[service]]\nname = \"booking\"\nonce = true\n"
      "[[service]]\nname = \"sensor\"\n"
      "[[service]]\nname = \"payroll\"\n"
      "[[service]]\nname = \"open\"\nopen = true\n"
      "[[plan]]\nname = \"basic\"\nrate = 1000000\nburst = 1000000\n"
      "priority = \"urgent\"\nmodels = [\"m\", \"n\"]\n"
      "adapters = [\"m/x\"]\nservices = [\"booking\", \"sensor\"]\n");
  world->placement = (kwf_placement_options_t){
    .dynamic = line_flag (scenario, "placement", false),
    .loads_per_s = 1000.0 / (double)number (scenario, "load_every_ms", 500),
    .loads_at_once = number (scenario, "loads_at_once", 2),
    .adapter_loads_at_once = 16,
    .load_ns = KWF_NS_PER_S,
    .max_requests_per_copy = 16,
  };
  int n = (int)number (scenario, "instances", 1);
  for (int i = 0; i < n; i++)
    world_node_start (world, i);
  run_for (world, 3000);
  world_operator_command (world, 0, KWF_OPERATOR_APPLY, NULL, NULL);
  run_for (world, 2000);
  if (world->reply_status != 200)
    line_fail (scenario, "lists were not applied: %d %s", world->reply_status,
               world->reply_body);
  sscanf (world->reply_body, "{\"version\":%" SCNd64, &world->lists_version);
  char **lines = g_strsplit (world->lists_plans->str, "\n", 0);
  for (int i = 0; lines[i]; i++)
    {
      if (!g_str_has_prefix (lines[i], "name = "))
        continue;
      char digest[65];
      char *name = g_strndup (lines[i] + 8, strlen (lines[i]) - 9);
      world_key_digest (name, digest);
      world_operator_command (world, 0, KWF_OPERATOR_KEY_ADD, name, digest);
      run_for (world, 200);
      g_free (name);
    }
  g_strfreev (lines);
  run_for (world, 5000);
}

/* apply at=N allow=MODEL: apply the lists with MODEL added to the plan.  */
void
verb_apply (scenario_t *scenario)
{
  world_t *world = scenario->world;
  char *model = g_strdup_printf ("\"n\", \"%s\"]",
                                 line_option (scenario, "allow", "m"));
  g_string_replace (world->lists_uses, "\"n\"]", model, 1);
  g_free (model);
  world_operator_command (world, (int)number (scenario, "at", 1) - 1,
                          KWF_OPERATOR_APPLY, NULL, NULL);
}

/* version MODEL V: apply lists in which the model has the version V.  */
void
verb_version (scenario_t *scenario)
{
  world_t *world = scenario->world;
  char *name = g_strdup_printf ("name = \"%s\"\nversion = \"",
                                line_word (scenario, 1));
  char *at = strstr (world->lists_uses->str, name);
  if (!at)
    line_fail (scenario, "no such model");
  else
    {
      gssize place = at + strlen (name) - world->lists_uses->str;
      g_string_erase (world->lists_uses, place, 1);
      g_string_insert (world->lists_uses, place, line_word (scenario, 2));
    }
  g_free (name);
  world_operator_command (world, 0, KWF_OPERATOR_APPLY, NULL, NULL);
}

/* Requests.  */

static uint64_t
hash_text (const char *text)
{
  uint64_t hash = UINT64_C (1469598103934665603);
  for (; *text; text++)
    hash = (hash ^ (unsigned char)*text) * UINT64_C (1099511628211);
  return hash;
}

world_request_t *
add_request (const scenario_t *scenario, const char *name, int index)
{
  world_t *world = scenario->world;
  world_request_t *request = world_request_new (world, name, index);
  const char *service = line_option (scenario, "service", NULL);
  const char *model = line_option (scenario, "model", service ? NULL : "m");
  const char *organisation = line_option (scenario, "org", NULL);
  char digest[65];
  request->body = world_text (world, line_option (scenario, "body", name));
  request->stream = line_flag (scenario, "stream", !service);
  request->n_tokens = service ? 0 : (int)number (scenario, "tokens", 10);
  if (organisation)
    world_key_digest (organisation, digest);
  const char *kind = line_option (scenario, "kind", NULL);
  request->event = (kwf_request_event_t){
    .handle = request->handle,
    .kind = service ? KWF_REQUEST_SERVICE : KWF_REQUEST_COMPLETION,
    .id = request->name,
    .key_digest = organisation ? world_text (world, digest) : NULL,
    .model = world_text (world, model),
    .adapter = world_text (world, line_option (scenario, "adapter", NULL)),
    .service = world_text (world, service),
    .idempotency_key = world_text (world, line_option (scenario, "key", NULL)),
    .idempotent = line_flag (scenario, "idempotent", !service),
    .stream = request->stream,
    .prompt_tokens = service ? 0 : number (scenario, "prompt", 10),
    .max_tokens = number (scenario, "max", request->n_tokens),
    .fingerprint = hash_text (request->body),
    .prefix
    = service ? 0
              : hash_text (line_option (scenario, "prefix", request->body)),
    .timeout_ns = number (scenario, "timeout_ms", 0) * MS,
  };
  if (kind && strcmp (kind, "models") == 0)
    request->event.kind = KWF_REQUEST_MODELS;
  if (kind && strcmp (kind, "instances") == 0)
    request->event.kind = KWF_REQUEST_INSTANCES;
  return request;
}

void
verb_call (scenario_t *scenario)
{
  int index = (int)number (scenario, "at", 1) - 1;
  world_request_send (scenario->world,
                      add_request (scenario, line_word (scenario, 1), index));
}

/* Random time between two requests, EVERY_NS on average (Poisson
   arrivals).  */
static int64_t
random_gap (world_t *world, int64_t every_ns)
{
  double uniform = (double)(world_random (world, 1000000) + 1) / 1e6;
  return (int64_t)(-log (uniform) * (double)every_ns);
}

/* calls PREFIX COUNT every_ms=N random=yes ...: COUNT requests, spread over
   all instances, or at one of them with "at".  */
void
verb_calls (scenario_t *scenario)
{
  world_t *world = scenario->world;
  int count = (int)g_ascii_strtoll (line_word (scenario, 2), NULL, 10);
  int64_t at = number (scenario, "at", 0);
  int64_t every_ns = number (scenario, "every_ms", 10) * MS;
  bool at_random = line_flag (scenario, "random", false);
  int64_t time_ns = world->now_ns;
  for (int i = 0; i < count; i++)
    {
      char *name = g_strdup_printf ("%s%d", line_word (scenario, 1), i + 1);
      int index = at ? (int)at - 1 : i % world->n_nodes;
      world_request_t *request = add_request (scenario, name, index);
      world_at (world, time_ns, world_request_send, request);
      time_ns += at_random ? random_gap (world, every_ns) : every_ns;
      g_free (name);
    }
}

world_request_t *
line_request (const scenario_t *scenario)
{
  world_request_t *request = g_hash_table_lookup (
      scenario->world->requests_by_name, line_word (scenario, 1));
  if (!request)
    line_fail (scenario, "no such call");
  return request;
}

void
verb_gone (scenario_t *scenario)
{
  world_request_t *request = line_request (scenario);
  request->caller_gone = true;
  kwf_event_t event = { .type = KWF_EV_REQUEST_GONE, .gone = request->handle };
  world_node_step (request->node, &event);
}

/* Time, instances, keys.  */

void
verb_run (scenario_t *scenario)
{
  run_for (scenario->world,
           g_ascii_strtoll (line_word (scenario, 1), NULL, 10));
}

/* Index of the placement leader.  */
static int
find_leader (const scenario_t *scenario)
{
  const world_t *world = scenario->world;
  int found = -1;
  for (int i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].up
        && world_metric (&world->nodes[i], "kwf_placement_decides"))
      found = i;
  if (found < 0)
    line_fail (scenario, "no instance decides on placement");
  return found;
}

/* Index of the instance that the second word names: a number; "decider", the
   placement leader; or "same", the leader that the last "decider" found.  */
int
line_node (scenario_t *scenario)
{
  if (strcmp (line_word (scenario, 1), "decider") == 0)
    return scenario->leader = find_leader (scenario);
  if (strcmp (line_word (scenario, 1), "same") == 0)
    return scenario->leader;
  return (int)g_ascii_strtoll (line_word (scenario, 1), NULL, 10) - 1;
}

void
verb_kill (scenario_t *scenario)
{
  world_node_kill (scenario->world, line_node (scenario));
}

void
verb_restart (scenario_t *scenario)
{
  world_node_start (scenario->world, line_node (scenario));
}

void
verb_stop (scenario_t *scenario)
{
  world_node_step (&scenario->world->nodes[line_node (scenario)],
                   &(kwf_event_t){ .type = KWF_EV_STOP });
}

void
verb_withdraw (scenario_t *scenario)
{
  char digest[65];
  world_key_digest (line_word (scenario, 1), digest);
  world_operator_command (scenario->world, (int)number (scenario, "at", 1) - 1,
                          KWF_OPERATOR_KEY_WITHDRAW, NULL,
                          world_text (scenario->world, digest));
}

/* pause N MS: the process does not run for this time; its events are delivered
   afterwards.  */
void
verb_pause (scenario_t *scenario)
{
  world_node_t *node = &scenario->world->nodes[line_node (scenario)];
  node->paused_until_ns
      = scenario->world->now_ns
        + g_ascii_strtoll (line_word (scenario, 2), NULL, 10) * MS;
}
