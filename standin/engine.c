/* Stand-in for a model engine (docs/design.md section 10).  */

#include "common-engine.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include <knapweedfork/clock.h>

#include "common-tokens.h"

/* Exit status after the crash that POST /switch sets.  */
#define CRASH_STATUS 70

/* Two prompts of the same model share an entry of the prefix cache if these
   first bytes are equal.  */
#define PREFIX_BYTES 256

#define MAX_TOKENS 1000000
#define MAX_CACHE_EVENTS 4096

typedef struct
{
  standin_t standin;
  models_t models;
  batch_t batch;
  history_t status;
  ev_timer status_timer;
  char *crash_on;
  double lag_ms;
  bool leaving;
  bool resume;
  int64_t stop_percent;
  int64_t n_requests;
  GHashTable *cache;   /* prefix hashes */
  GQueue cache_order;  /* of the hashes, oldest first */
  int64_t cache_size;  /* largest number of prefixes */
  double cached_share; /* share of the prefill work that remains after a hit */
  GQueue cache_events; /* of cache_event_t */
  int64_t n_cache_events;
  int64_t cache_gap; /* one in this number of events is not reported; 0: all
                        are */
} engine_t;

typedef struct
{
  int64_t number;
  int64_t time_ns;
  bool stored;
  char model[64];
  uint64_t prefix;
} cache_event_t;

static engine_t engine;

static void
report_cache (bool stored, const char *model, uint64_t prefix)
{
  engine.n_cache_events++;
  if (engine.cache_gap && engine.n_cache_events % engine.cache_gap == 0)
    return;
  cache_event_t *event = g_new0 (cache_event_t, 1);
  event->number = engine.n_cache_events;
  event->time_ns = standin_now_ns ();
  event->stored = stored;
  event->prefix = prefix;
  g_strlcpy (event->model, model, sizeof event->model);
  g_queue_push_tail (&engine.cache_events, event);
  if (engine.cache_events.length > MAX_CACHE_EVENTS)
    g_free (g_queue_pop_head (&engine.cache_events));
}

/* Look up the prompt's prefix in the cache.  If it is missing, add it.  Return
   whether it was there.  */
static bool
use_cache (const char *model, const GString *prompt)
{
  uint64_t prefix = XXH64 (prompt->str, MIN (prompt->len, PREFIX_BYTES),
                           XXH64 (model, strlen (model), 0));
  if (g_hash_table_contains (engine.cache, &prefix))
    return true;
  if (engine.cache_size <= 0)
    return false;
  uint64_t *kept = g_new (uint64_t, 1);
  *kept = prefix;
  g_hash_table_add (engine.cache, kept);
  g_queue_push_tail (&engine.cache_order, kept);
  report_cache (true, model, prefix);
  if ((int64_t)engine.cache_order.length > engine.cache_size)
    {
      uint64_t *oldest = g_queue_pop_head (&engine.cache_order);
      report_cache (false, model, *oldest);
      g_hash_table_remove (engine.cache, oldest);
    }
  return false;
}

/* Cache events are reported with the lag of the option --lag-ms.  */
static void
serve_cache_events (const server_request_t *request)
{
  int64_t after = standin_query_number (request, "after", 0);
  int64_t latest_ns
      = standin_now_ns () - (int64_t)(engine.lag_ms * (double)KWF_NS_PER_MS);
  json_t *events = json_array ();
  int64_t last_number = after;
  for (GList *link = engine.cache_events.head; link; link = link->next)
    {
      const cache_event_t *event = link->data;
      if (event->number <= after || event->time_ns > latest_ns)
        continue;
      char prefix[20];
      g_snprintf (prefix, sizeof prefix, "%016" G_GINT64_MODIFIER "x",
                  event->prefix);
      last_number = event->number;
      json_array_append_new (
          events, json_pack ("{s:I, s:s, s:s, s:s}", "number",
                             (json_int_t)event->number, "event",
                             event->stored ? "stored" : "removed", "model",
                             event->model, "prefix", prefix));
    }
  standin_reply (engine.standin.server, request->handle, 200,
                 json_pack ("{s:o, s:I}", "events", events, "next",
                            (json_int_t)last_number));
}

static json_t *
status_json (void)
{
  return json_pack (
      "{s:I, s:b, s:b, s:b, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:s?}",
      "incarnation", (json_int_t)engine.standin.incarnation, "leaving",
      engine.leaving, "fencing", engine.models.fencing, "resume",
      engine.resume, "memory_total_mb",
      (json_int_t)engine.models.memory_total_mb, "memory_used_mb",
      (json_int_t)models_used_mb (&engine.models), "memory_exceeded",
      (json_int_t)engine.models.memory_exceeded, "running",
      (json_int_t)engine.batch.running->len, "waiting",
      (json_int_t)batch_waiting (&engine.batch), "batch",
      (json_int_t)engine.batch.max_running, "models",
      models_json (&engine.models), "role", engine.models.role);
}

/* Record the status, so that it can be reported with a lag.  */
static void
on_status_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)events;
  history_put (&engine.status, status_json ());
  watcher->repeat = MAX (0.01, engine.lag_ms / 8e3);
  ev_timer_again (loop, watcher);
}

static void
serve_status (const server_request_t *request)
{
  json_t *status
      = engine.lag_ms > 0
            ? json_incref (history_get (&engine.status, engine.lag_ms))
            : status_json ();
  standin_reply (engine.standin.server, request->handle, 200, status);
}

static void
serve_stats (const server_request_t *request)
{
  const batch_t *batch = &engine.batch;
  standin_reply (engine.standin.server, request->handle, 200,
                 json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}",
                            "requests", (json_int_t)engine.n_requests,
                            "completed", (json_int_t)batch->n_completed,
                            "cancelled", (json_int_t)batch->n_cancelled,
                            "broken", (json_int_t)batch->n_broken, "expired",
                            (json_int_t)batch->n_expired, "tokens",
                            (json_int_t)batch->n_tokens, "loads",
                            (json_int_t)engine.models.n_loads, "orders",
                            models_orders_json (&engine.models)));
}

static void
set_lag (double lag_ms)
{
  engine.lag_ms = lag_ms;
  if (lag_ms > 0)
    on_status_timer (engine.standin.loop, &engine.status_timer, 0);
  else
    ev_timer_stop (engine.standin.loop, &engine.status_timer);
}

static void
set_switches (const server_request_t *request)
{
  json_t *change = standin_body (engine.standin.server, request);
  if (!change)
    return;
  double lag_ms = engine.lag_ms;
  standin_set_text (change, "crash_on", &engine.crash_on);
  standin_set_bool (change, "fencing", &engine.models.fencing);
  standin_set_bool (change, "resume", &engine.resume);
  standin_set_bool (change, "leaving", &engine.leaving);
  standin_set_bool (change, "stall", &engine.batch.stall);
  standin_set_double (change, "lag_ms", &lag_ms);
  standin_set_double (change, "token_ms", &engine.batch.token_ms);
  standin_set_double (change, "load_ms", &engine.models.load_ms);
  standin_set_double (change, "unload_ms", &engine.models.unload_ms);
  standin_set_double (change, "adapter_ms", &engine.models.adapter_ms);
  standin_set_int (change, "memory_mb", &engine.models.memory_total_mb);
  standin_set_int (change, "break_after_tokens",
                   &engine.batch.break_after_tokens);
  if (lag_ms != engine.lag_ms)
    set_lag (lag_ms);
  if (!engine.batch.stall)
    batch_wake (&engine.batch);
  json_decref (change);
  standin_reply (engine.standin.server, request->handle, 200, json_object ());
}

static int64_t
header_int (const server_request_t *request, const char *name,
            int64_t otherwise)
{
  const char *value = server_header (request, name);
  return value ? g_ascii_strtoll (value, NULL, 10) : otherwise;
}

/* Length of the whole answer: max_tokens, or fewer as --stop-percent says.  It
   depends on the seed only, so that a resumed answer has the same length.  */
static int64_t
answer_length (int64_t max_tokens, uint64_t seed)
{
  int64_t least = max_tokens * engine.stop_percent / 100;
  int64_t range = max_tokens - least;
  int64_t length = least + (range ? (int64_t)(seed % (uint64_t)range) : 0);
  return engine.stop_percent < 100 ? MAX (1, length) : max_tokens;
}

static void
start_sequence (const server_request_t *request, const json_t *body, bool chat,
                model_t *model)
{
  const char *adapter = json_string_value (json_object_get (body, "adapter"));
  int64_t max_tokens = 16;
  int64_t resume_from = 0;
  bool stream = false;
  standin_set_int (body, "max_tokens", &max_tokens);
  standin_set_int (body, "max_completion_tokens", &max_tokens);
  standin_set_int (body, "resume_from", &resume_from);
  standin_set_bool (body, "stream", &stream);
  if (max_tokens < 1 || max_tokens > MAX_TOKENS || resume_from < 0)
    {
      standin_error (engine.standin.server, request->handle, 400,
                     "invalid_request",
                     "max_tokens or resume_from is out of "
                     "range");
      return;
    }
  if (resume_from && !engine.resume)
    {
      standin_error (engine.standin.server, request->handle, 400,
                     "resume_not_supported", "this engine cannot resume");
      return;
    }
  GString *prompt = tokens_prompt (body, chat);
  batch_sequence_t *sequence = batch_add (&engine.batch, request->handle);
  const char *id = server_header (request, "X-Request-Id");
  json_t *id_json = json_string (id ? id : "completion");
  sequence->id
      = id_json ? json_dumps (id_json, JSON_ENCODE_ANY) : strdup ("\"\"");
  json_decref (id_json);
  sequence->model = model;
  sequence->chat = chat;
  sequence->stream = stream;
  sequence->seed = tokens_seed (model->name, adapter, prompt->str);
  sequence->prompt_tokens = tokens_count (prompt->len);
  sequence->prefill_tokens = sequence->prompt_tokens + resume_from;
  if (use_cache (model->name, prompt))
    sequence->prefill_tokens
        = (int64_t)((double)sequence->prefill_tokens * engine.cached_share);
  sequence->total = answer_length (max_tokens, sequence->seed);
  sequence->stops = sequence->total < max_tokens;
  sequence->resume_from = sequence->next = MIN (resume_from, sequence->total);
  sequence->priority
      = (int)CLAMP (header_int (request, "X-Priority", 1), 0, 2);
  int64_t deadline_ms = header_int (request, "X-Deadline-Ms", 0);
  if (deadline_ms > 0 && deadline_ms < INT64_MAX / KWF_NS_PER_MS / 2)
    sequence->deadline_ns = standin_now_ns () + deadline_ms * KWF_NS_PER_MS;
  g_string_free (prompt, TRUE);
  double delay_ms = 0;
  if (adapter && *adapter && !model_has_adapter (model, adapter))
    {
      g_ptr_array_add (model->adapters, g_strdup (adapter));
      delay_ms = engine.models.adapter_ms;
    }
  batch_start (&engine.batch, sequence, delay_ms);
}

static void
serve_completion (const server_request_t *request, bool chat)
{
  engine.n_requests++;
  if (engine.crash_on && *engine.crash_on
      && memmem (request->body, request->body_size, engine.crash_on,
                 strlen (engine.crash_on)))
    _exit (CRASH_STATUS);
  json_t *body = standin_body (engine.standin.server, request);
  if (!body)
    return;
  const char *name = json_string_value (json_object_get (body, "model"));
  model_t *model = name ? models_find (&engine.models, name) : NULL;
  if (!model)
    standin_error (engine.standin.server, request->handle, 404,
                   "model_not_loaded", "the model is not loaded here");
  else if (batch_waiting (&engine.batch) >= engine.batch.max_waiting)
    standin_error (engine.standin.server, request->handle, 429, "busy",
                   "the engine has too many requests waiting");
  else
    start_sequence (request, body, chat, model);
  json_decref (body);
}

static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  (void)data;
  if (standin_matches (request, "POST", "/switch"))
    set_switches (request);
  else if (standin_matches (request, "GET", "/seen"))
    standin_serve_seen (&engine.standin, request);
  else if (standin_matches (request, "GET", "/stats"))
    serve_stats (request);
  else
    {
      standin_record (&engine.standin, request);
      if (standin_matches (request, "POST", "/v1/chat/completions"))
        serve_completion (request, true);
      else if (standin_matches (request, "POST", "/v1/completions"))
        serve_completion (request, false);
      else if (standin_matches (request, "GET", "/status"))
        serve_status (request);
      else if (standin_matches (request, "POST", "/orders"))
        models_serve_order (&engine.models, server, request);
      else if (standin_matches (request, "GET", "/cache-events"))
        serve_cache_events (request);
      else
        standin_error (server, request->handle, 404, "not_found",
                       "no such resource");
    }
}

static void
on_gone (server_t *server, kwf_handle_t request, void *data)
{
  (void)server;
  (void)data;
  batch_cancel (&engine.batch, request);
}

static const char *address = "127.0.0.1:0";
static const char *id = "engine";
static const char *data_centre = "dc1";
static const char *platform;

enum
{
  OPT_ID = 256,
  OPT_DATA_CENTRE,
  OPT_PLATFORM,
  OPT_MEMORY,
  OPT_MODEL,
  OPT_SIZE,
  OPT_TOKEN,
  OPT_SLOPE,
  OPT_PREFILL,
  OPT_BATCH,
  OPT_QUEUE,
  OPT_PER_STEP,
  OPT_LAG,
  OPT_NO_FENCING,
  OPT_NO_RESUME,
  OPT_LOAD,
  OPT_UNLOAD,
  OPT_WEIGHT_LOADS,
  OPT_ADAPTER,
  OPT_ADAPTER_LOADS,
  OPT_STOP,
  OPT_CACHE,
  OPT_CACHED_SHARE,
  OPT_CACHE_GAP,
  OPT_SPEED
};

static void
set_speed (const char *name, struct argp_state *state)
{
  if (g_strcmp0 (name, "fast") != 0)
    {
      if (g_strcmp0 (name, "normal") != 0)
        argp_error (state, "the speed is neither fast nor normal");
      return;
    }
  engine.batch.token_ms = 0;
  engine.batch.prefill_us = 0;
  engine.batch.max_running = 4096;
  engine.batch.max_waiting = 65536;
  engine.batch.tokens_per_step = 8;
}

static bool
parse_number (int key, const char *value)
{
  double number = g_ascii_strtod (value, NULL);
  switch (key)
    {
    case OPT_MEMORY:
      engine.models.memory_total_mb = (int64_t)number;
      break;
    case OPT_TOKEN:
      engine.batch.token_ms = number;
      break;
    case OPT_SLOPE:
      engine.batch.slope = number;
      break;
    case OPT_PREFILL:
      engine.batch.prefill_us = number;
      break;
    case OPT_BATCH:
      engine.batch.max_running = (int64_t)number;
      break;
    case OPT_QUEUE:
      engine.batch.max_waiting = (int64_t)number;
      break;
    case OPT_PER_STEP:
      engine.batch.tokens_per_step = (int64_t)number;
      break;
    case OPT_LAG:
      engine.lag_ms = number;
      break;
    case OPT_LOAD:
      engine.models.load_ms = number;
      break;
    case OPT_UNLOAD:
      engine.models.unload_ms = number;
      break;
    case OPT_WEIGHT_LOADS:
      engine.models.full_speed_loads = MAX (1, (int64_t)number);
      break;
    case OPT_ADAPTER_LOADS:
      engine.models.full_speed_adapters = MAX (1, (int64_t)number);
      break;
    case OPT_ADAPTER:
      engine.models.adapter_ms = number;
      break;
    case OPT_STOP:
      engine.stop_percent = CLAMP ((int64_t)number, 0, 100);
      break;
    case OPT_CACHE:
      engine.cache_size = (int64_t)number;
      break;
    case OPT_CACHED_SHARE:
      engine.cached_share = number;
      break;
    case OPT_CACHE_GAP:
      engine.cache_gap = (int64_t)number;
      break;
    default:
      return false;
    }
  return true;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  if (value && parse_number (key, value))
    return 0;
  switch (key)
    {
    case 'l':
      address = value;
      return 0;
    case OPT_ID:
      id = value;
      return 0;
    case OPT_DATA_CENTRE:
      data_centre = value;
      return 0;
    case OPT_PLATFORM:
      platform = value;
      return 0;
    case OPT_NO_FENCING:
      engine.models.fencing = false;
      return 0;
    case OPT_NO_RESUME:
      engine.resume = false;
      return 0;
    case OPT_SPEED:
      set_speed (value, state);
      return 0;
    case OPT_MODEL:
      if (!models_add (&engine.models, value))
        argp_error (state, "%s is not NAME:VERSION:MEMORY_MB", value);
      return 0;
    case OPT_SIZE:
      if (!models_add_size (&engine.models, value))
        argp_error (state, "%s is not NAME:MEMORY_MB", value);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { "listen", 'l', "IP:PORT", 0, "address to listen on", 0 },
  { "id", OPT_ID, "ID", 0, "member id", 0 },
  { "data-centre", OPT_DATA_CENTRE, "NAME", 0, "data centre", 0 },
  { "platform", OPT_PLATFORM, "IP:PORT", 0, "register here as a member", 0 },
  { "memory-mb", OPT_MEMORY, "MB", 0, "accelerator memory", 0 },
  { "model", OPT_MODEL, "NAME:VERSION:MB[:ADAPTER,...]", 0,
    "model that is loaded at the start; may be repeated", 0 },
  { "size", OPT_SIZE, "NAME[:VERSION]:MB", 0,
    "memory of a model that may be loaded; may be repeated", 0 },
  { "token-ms", OPT_TOKEN, "MS", 0, "time per token of one sequence", 0 },
  { "slope", OPT_SLOPE, "SHARE", 0,
    "added share of that time per further sequence", 0 },
  { "prefill-us", OPT_PREFILL, "US", 0, "time per prompt token", 0 },
  { "batch", OPT_BATCH, "N", 0, "most sequences at a time", 0 },
  { "queue", OPT_QUEUE, "N", 0, "sequences that may wait", 0 },
  { "tokens-per-step", OPT_PER_STEP, "N", 0, "tokens written at once", 0 },
  { "lag-ms", OPT_LAG, "MS", 0, "lag of the status and cache events", 0 },
  { "no-fencing", OPT_NO_FENCING, NULL, 0, "accept orders with any fence", 0 },
  { "no-resume", OPT_NO_RESUME, NULL, 0, "refuse resume_from", 0 },
  { "load-ms", OPT_LOAD, "MS", 0, "time to load a model", 0 },
  { "unload-ms", OPT_UNLOAD, "MS", 0, "time to unload a model", 0 },
  { "weight-loads", OPT_WEIGHT_LOADS, "N", 0,
    "loads at full speed; more at once are proportionally slower", 0 },
  { "adapter-ms", OPT_ADAPTER, "MS", 0, "time to load an adapter", 0 },
  { "adapter-loads", OPT_ADAPTER_LOADS, "N", 0,
    "adapter loads at full speed; more at once are proportionally slower", 0 },
  { "stop-percent", OPT_STOP, "P", 0,
    "answers end between P percent of max_tokens and all of it", 0 },
  { "cache", OPT_CACHE, "N", 0, "prompt prefixes in the cache", 0 },
  { "cached-share", OPT_CACHED_SHARE, "SHARE", 0,
    "share of the prefill work left after a hit", 0 },
  { "cache-gap", OPT_CACHE_GAP, "N", 0, "leave out each Nth cache event", 0 },
  { "speed", OPT_SPEED, "fast|normal", 0,
    "fast: no time per token, for benchmarks", 0 },
  { 0 },
};

static void
set_defaults (void)
{
  engine.models.memory_total_mb = 80000;
  engine.models.fencing = true;
  engine.models.load_ms = 1000;
  engine.models.unload_ms = 20;
  engine.models.full_speed_loads = 2;
  engine.models.full_speed_adapters = 16;
  engine.batch.token_ms = 5;
  engine.batch.slope = 0.02;
  engine.batch.prefill_us = 50;
  engine.batch.max_running = 32;
  engine.batch.max_waiting = 64;
  engine.batch.tokens_per_step = 1;
  engine.resume = true;
  engine.models.adapter_ms = 10;
  engine.stop_percent = 100;
  engine.cache_size = 256;
  engine.cached_share = 0.2;
}

int
main (int argc, char **argv)
{
  static const struct argp argp = { .options = options,
                                    .parser = parse_option,
                                    .doc = "Stand-in for a model engine." };
  static const server_handler_t handler
      = { .request = on_request, .gone = on_gone };
  struct ev_loop *loop = ev_default_loop (0);
  models_init (&engine.models, loop);
  batch_init (&engine.batch, loop);
  engine.cache
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  set_defaults ();
  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  if (models_used_mb (&engine.models) > engine.models.memory_total_mb)
    {
      fputs ("the models do not fit into the memory\n", stderr);
      return 1;
    }
  standin_start (&engine.standin, address, &handler, NULL);
  engine.batch.server = engine.standin.server;
  ev_timer_init (&engine.status_timer, on_status_timer, 0., 0.);
  set_lag (engine.lag_ms);
  if (platform)
    standin_register (&engine.standin, platform, id, "engine", "",
                      data_centre);
  standin_run (&engine.standin);
  return 0;
}
