/* Words of the scenario language and the verbs that make things happen.  */

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
mismatch (const scenario_t *scenario, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  fail_msg ("%s:%d: %s", scenario->path, scenario->line, text);
}

/* Words of a line.  */

const char *
word (const scenario_t *scenario, int i)
{
  if (i >= scenario->argc)
    mismatch (scenario, "a word is missing");
  return scenario->argv[i];
}

const char *
option (const scenario_t *scenario, const char *name, const char *otherwise)
{
  const char *value = g_hash_table_lookup (scenario->options, name);
  return value ? value : otherwise;
}

int64_t
number (const scenario_t *scenario, const char *name, int64_t otherwise)
{
  const char *value = option (scenario, name, NULL);
  return value ? g_ascii_strtoll (value, NULL, 10) : otherwise;
}

bool
yes (const scenario_t *scenario, const char *name, bool otherwise)
{
  const char *value = option (scenario, name, NULL);
  return value ? strcmp (value, "yes") == 0 : otherwise;
}

void
split_options (scenario_t *scenario)
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

/* Verbs that set the scene.  */

static void
apply_engine_options (const scenario_t *scenario, engine_t *engine)
{
  char **models = g_strsplit (option (scenario, "models", ""), ",", 0);
  for (int i = 0; !engine->service && models[i]; i++)
    if (engine->copies)
      copies_add (engine->copies, models[i], "1");
    else
      g_ptr_array_add (engine->models,
                       world_text (scenario->world, models[i]));
  g_strfreev (models);
  engine->starts_before = engine->starts;
  engine->token_ns = number (scenario, "token_ms", engine->token_ns / MS) * MS;
  engine->restart_ns
      = number (scenario, "restart_ms", engine->restart_ns / MS) * MS;
  engine->resume = yes (scenario, "resume", engine->resume);
  engine->leaving = yes (scenario, "leaving", engine->leaving);
  engine->stall = yes (scenario, "stall", engine->stall);
  engine->up = yes (scenario, "up", engine->up);
  engine->die_before_run
      = yes (scenario, "die_before_run", engine->die_before_run);
  engine->die_after_run
      = yes (scenario, "die_after_run", engine->die_after_run);
  engine->status = (int)number (scenario, "status", engine->status);
  engine->fail_every
      = (int)number (scenario, "fail_every", engine->fail_every);
  engine->batch = (int)number (scenario, "batch", engine->batch);
  engine->batch_hidden = yes (scenario, "hidden", engine->batch_hidden);
  engine->break_after
      = (int)number (scenario, "break_after", engine->break_after);
  copies_t *copies = engine->copies;
  if (!copies)
    return;
  copies->load_ns = number (scenario, "load_ms", copies->load_ns / MS) * MS;
  copies->unload_ns
      = number (scenario, "unload_ms", copies->unload_ns / MS) * MS;
  copies->delay_ns
      = number (scenario, "order_delay_ms", copies->delay_ns / MS) * MS;
  copies->lose_orders
      = (int)number (scenario, "lose_orders", copies->lose_orders);
  copies->lose_answers
      = (int)number (scenario, "lose_order_answers", copies->lose_answers);
  copies->double_orders
      = yes (scenario, "double_orders", copies->double_orders);
  copies->fencing = yes (scenario, "fencing", copies->fencing);
}

static void
add_engine (scenario_t *scenario, const char *service)
{
  world_t *world = scenario->world;
  engine_t *engine = world_engine_new (world, word (scenario, 1), service,
                                       option (scenario, "dc", "a"));
  int64_t memory_mb = number (scenario, "memory_mb", 0);
  if (memory_mb)
    engine->copies = copies_new (engine, memory_mb);
  apply_engine_options (scenario, engine);
}

void
verb_engine (scenario_t *scenario)
{
  add_engine (scenario, NULL);
}

void
verb_service (scenario_t *scenario)
{
  add_engine (scenario, word (scenario, 2));
}

engine_t *
engine_word (const scenario_t *scenario)
{
  engine_t *engine = world_engine (scenario->world, word (scenario, 1));
  if (!engine)
    mismatch (scenario, "no such server");
  return engine;
}

void
verb_set (scenario_t *scenario)
{
  apply_engine_options (scenario, engine_word (scenario));
}

void
verb_crash (scenario_t *scenario)
{
  engine_t *engine = engine_word (scenario);
  world_engine_crash (engine, engine->restart_ns);
}

void
verb_seed (scenario_t *scenario)
{
  if (!scenario->world->seed_fixed)
    scenario->world->seed = g_ascii_strtoull (word (scenario, 1), NULL, 10);
}

void
verb_network (scenario_t *scenario)
{
  world_t *world = scenario->world;
  world->jitter_ns
      = number (scenario, "jitter_ms", world->jitter_ns / MS) * MS;
  world->link_ns = number (scenario, "link_ms", world->link_ns / MS) * MS;
  world->late = yes (scenario, "late", world->late);
  world->links_cut = yes (scenario, "links_cut", world->links_cut);
}

void
verb_table (scenario_t *scenario)
{
  table_t *table = &scenario->world->table;
  table->outage = yes (scenario, "outage", table->outage);
  table->lose_answers
      = (int)number (scenario, "lose_answers", table->lose_answers);
  table->delay_ns = number (scenario, "delay_ms", table->delay_ns / MS) * MS;
  const char *block = option (scenario, "block", NULL);
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
      word (scenario, 1), number (scenario, "rate", 1000000),
      number (scenario, "burst", 1000000),
      option (scenario, "priority", "interactive"));
}

static void
run_for (world_t *world, int64_t ms)
{
  world_run (world, world->now_ns + ms * MS);
}

/* nodes N: start instances and nothing else.  */
void
verb_nodes (scenario_t *scenario)
{
  int n = (int)g_ascii_strtoll (word (scenario, 1), NULL, 10);
  for (int i = 0; i < n; i++)
    world_node_start (scenario->world, i);
}

/* queue length=N organisation_length=N placement=yes order=arrival: of
   instances that start from now on.  */
void
verb_queue (scenario_t *scenario)
{
  kwf_core_options_t *options = &scenario->world->options;
  options->queue_length = number (scenario, "length", 0);
  options->queue_organisation_length
      = number (scenario, "organisation_length", 0);
  scenario->world->placement.dynamic = yes (scenario, "placement", false);
  options->queue_order
      = strcmp (option (scenario, "order", "fair"), "arrival") == 0
            ? &queue_fifo
            : &queue_fair;
}

/* Start instances, apply the lists, add a key for each organisation.  */
void
verb_start (scenario_t *scenario)
{
  world_t *world = scenario->world;
  g_string_assign (
      world->lists_uses,
      /* 1,000 MB are reserved, with room for the adapter.  */
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
    .dynamic = yes (scenario, "placement", false),
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
  world_operate (world, 0, KWF_OPERATOR_APPLY, NULL, NULL);
  run_for (world, 2000);
  if (world->reply_status != 200)
    mismatch (scenario, "lists were not applied: %d %s", world->reply_status,
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
      world_operate (world, 0, KWF_OPERATOR_KEY_ADD, name, digest);
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
  char *model
      = g_strdup_printf ("\"n\", \"%s\"]", option (scenario, "allow", "m"));
  g_string_replace (world->lists_uses, "\"n\"]", model, 1);
  g_free (model);
  world_operate (world, (int)number (scenario, "at", 1) - 1,
                 KWF_OPERATOR_APPLY, NULL, NULL);
}

/* version MODEL V: apply lists in which the model has this version.  */
void
verb_version (scenario_t *scenario)
{
  world_t *world = scenario->world;
  char *name
      = g_strdup_printf ("name = \"%s\"\nversion = \"", word (scenario, 1));
  char *at = strstr (world->lists_uses->str, name);
  if (!at)
    mismatch (scenario, "no such model");
  else
    {
      gssize place = at + strlen (name) - world->lists_uses->str;
      g_string_erase (world->lists_uses, place, 1);
      g_string_insert (world->lists_uses, place, word (scenario, 2));
    }
  g_free (name);
  world_operate (world, 0, KWF_OPERATOR_APPLY, NULL, NULL);
}

/* Calls.  */

static uint64_t
hash_text (const char *text)
{
  uint64_t hash = UINT64_C (1469598103934665603);
  for (; *text; text++)
    hash = (hash ^ (unsigned char)*text) * UINT64_C (1099511628211);
  return hash;
}

call_record_t *
make_call (const scenario_t *scenario, const char *name, int index)
{
  world_t *world = scenario->world;
  call_record_t *call = world_call_new (world, name, index);
  const char *service = option (scenario, "service", NULL);
  const char *model = option (scenario, "model", service ? NULL : "m");
  const char *organisation = option (scenario, "org", NULL);
  char digest[65];
  call->body = world_text (world, option (scenario, "body", name));
  call->stream = yes (scenario, "stream", !service);
  call->n_tokens = service ? 0 : (int)number (scenario, "tokens", 10);
  if (organisation)
    world_key_digest (organisation, digest);
  const char *kind = option (scenario, "kind", NULL);
  call->event = (kwf_request_event_t){
    .handle = call->handle,
    .kind = service ? KWF_REQUEST_SERVICE : KWF_REQUEST_COMPLETION,
    .id = call->name,
    .key_digest = organisation ? world_text (world, digest) : NULL,
    .model = world_text (world, model),
    .adapter = world_text (world, option (scenario, "adapter", NULL)),
    .service = world_text (world, service),
    .idempotency_key = world_text (world, option (scenario, "key", NULL)),
    .idempotent = yes (scenario, "idempotent", !service),
    .stream = call->stream,
    .prompt_tokens = service ? 0 : number (scenario, "prompt", 10),
    .max_tokens = number (scenario, "max", call->n_tokens),
    .fingerprint = hash_text (call->body),
    .prefix
    = service ? 0 : hash_text (option (scenario, "prefix", call->body)),
    .timeout_ns = number (scenario, "timeout_ms", 0) * MS,
  };
  if (kind && strcmp (kind, "models") == 0)
    call->event.kind = KWF_REQUEST_MODELS;
  if (kind && strcmp (kind, "instances") == 0)
    call->event.kind = KWF_REQUEST_INSTANCES;
  return call;
}

void
verb_call (scenario_t *scenario)
{
  int index = (int)number (scenario, "at", 1) - 1;
  world_call_send (scenario->world,
                   make_call (scenario, word (scenario, 1), index));
}

/* Time between two calls that come at random, EVERY_NS in the mean.  */
static int64_t
random_gap (world_t *world, int64_t every_ns)
{
  double part = (double)(world_random (world, 1000000) + 1) / 1e6;
  return (int64_t)(-log (part) * (double)every_ns);
}

/* calls PREFIX COUNT period_ms=N random=yes ...: spread over all instances,
   or at one of them.  */
void
verb_calls (scenario_t *scenario)
{
  world_t *world = scenario->world;
  int count = (int)g_ascii_strtoll (word (scenario, 2), NULL, 10);
  int64_t at = number (scenario, "at", 0);
  int64_t every_ns = number (scenario, "every_ms", 10) * MS;
  bool at_random = yes (scenario, "random", false);
  int64_t time_ns = world->now_ns;
  for (int i = 0; i < count; i++)
    {
      char *name = g_strdup_printf ("%s%d", word (scenario, 1), i + 1);
      int index = at ? (int)at - 1 : i % world->n_nodes;
      call_record_t *call = make_call (scenario, name, index);
      world_at (world, time_ns, world_call_send, call);
      time_ns += at_random ? random_gap (world, every_ns) : every_ns;
      g_free (name);
    }
}

call_record_t *
call_word (const scenario_t *scenario)
{
  call_record_t *call = g_hash_table_lookup (scenario->world->calls_by_name,
                                             word (scenario, 1));
  if (!call)
    mismatch (scenario, "no such call");
  return call;
}

void
verb_gone (scenario_t *scenario)
{
  call_record_t *call = call_word (scenario);
  call->gone = true;
  kwf_event_t event = { .type = KWF_EV_REQUEST_GONE, .gone = call->handle };
  world_node_step (call->node, &event);
}

/* Time, instances, keys.  */

void
verb_run (scenario_t *scenario)
{
  run_for (scenario->world, g_ascii_strtoll (word (scenario, 1), NULL, 10));
}

/* The instance that decides on placement.  */
static int
find_decider (const scenario_t *scenario)
{
  const world_t *world = scenario->world;
  int found = -1;
  for (int i = 0; i < world->n_nodes; i++)
    if (world->nodes[i].up
        && world_metric (&world->nodes[i], "kwf_placement_decides"))
      found = i;
  if (found < 0)
    mismatch (scenario, "no instance decides on placement");
  return found;
}

/* A number, "decider", or "same" for the decider named before.  */
int
node_word (scenario_t *scenario)
{
  if (strcmp (word (scenario, 1), "decider") == 0)
    return scenario->decider = find_decider (scenario);
  if (strcmp (word (scenario, 1), "same") == 0)
    return scenario->decider;
  return (int)g_ascii_strtoll (word (scenario, 1), NULL, 10) - 1;
}

void
verb_kill (scenario_t *scenario)
{
  world_node_kill (scenario->world, node_word (scenario));
}

void
verb_restart (scenario_t *scenario)
{
  world_node_start (scenario->world, node_word (scenario));
}

void
verb_stop (scenario_t *scenario)
{
  world_node_step (&scenario->world->nodes[node_word (scenario)],
                   &(kwf_event_t){ .type = KWF_EV_STOP });
}

void
verb_withdraw (scenario_t *scenario)
{
  char digest[65];
  world_key_digest (word (scenario, 1), digest);
  world_operate (scenario->world, (int)number (scenario, "at", 1) - 1,
                 KWF_OPERATOR_KEY_WITHDRAW, NULL,
                 world_text (scenario->world, digest));
}

/* pause N MS: the process does not run; what happens to it waits.  */
void
verb_pause (scenario_t *scenario)
{
  node_t *node = &scenario->world->nodes[node_word (scenario)];
  node->paused_until_ns
      = scenario->world->now_ns
        + g_ascii_strtoll (word (scenario, 2), NULL, 10) * MS;
}
