/* standin-load - load generator.

   Sends completions to one address for a fixed time, over a fixed number of
   connections (closed loop) or with Poisson arrivals (open loop), checks that
   each answer is complete, and prints one JSON object.  */

#include <argp.h>
#include <curl/curl.h>
#include <ev.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <knapweedfork/clock.h>

#include "../net/client.h"
#include "../net/completion-stream.h"

#define MAX_OPEN 20000
#define REQUEST_TIMEOUT_NS (30 * KWF_NS_PER_S)

typedef struct
{
  const char *target;
  const char *path;
  const char *method;
  const char *key;
  const char *model;
  int connections;
  double seconds;
  double rate; /* requests per second; 0: closed loop */
  int prompt_bytes;
  int max_tokens;
  bool stream;
  bool distinct; /* each request has a different prompt */
  bool idempotency;
  unsigned long seed;
  bool hold; /* do not wait for open answers at the end; the script that runs
                this program measures memory while the streams are open */
} options_t;

typedef struct
{
  options_t options;
  struct ev_loop *loop;
  client_t *client;
  gsl_rng *random;
  ev_timer stop;
  ev_timer arrival;
  bool stopping;
  int open;
  uint64_t sent;
  uint64_t whole;
  uint64_t short_answers; /* status 200, but tokens or [DONE] are missing */
  uint64_t refused[600];  /* number of answers by HTTP status */
  uint64_t failed;        /* no answer arrived */
  uint64_t tokens;
  GArray *latency_ms; /* of double: complete answers */
  GArray *first_ms;   /* of double: time to the first token of streams */
  int64_t began_ns;
} load_t;

typedef struct
{
  load_t *load;
  int64_t sent_ns;
  bool first_seen;
  completion_stream_t stream;
} request_t;

static void send_request (load_t *load);

static double
ms_since (int64_t then_ns)
{
  return (double)(kwf_now_ns (kwf_clock_system ()) - then_ns)
         / (double)KWF_NS_PER_MS;
}

static void
end_request (request_t *request)
{
  load_t *load = request->load;
  load->open--;
  completion_stream_clear (&request->stream);
  g_free (request);
  if (load->stopping)
    {
      if (load->open == 0)
        ev_break (load->loop, EVBREAK_ALL);
    }
  else if (load->options.rate <= 0)
    send_request (load);
}

static void
on_data (void *data, kwf_handle_t transfer, int status, const char *type,
         const char *bytes, size_t size)
{
  (void)transfer;
  (void)type;
  request_t *request = data;
  if (status != 200)
    return;
  completion_stream_add (&request->stream, bytes, size);
  if (!request->first_seen && request->stream.tokens > 0)
    {
      double first = ms_since (request->sent_ns);
      request->first_seen = true;
      g_array_append_val (request->load->first_ms, first);
    }
  completion_stream_take (&request->stream, request->stream.whole);
}

static bool
is_whole (const request_t *request, const client_answer_t *answer)
{
  const options_t *options = &request->load->options;
  if (options->stream)
    return request->stream.done
           && request->stream.tokens == options->max_tokens;
  return answer->body_size > 0;
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  request_t *request = data;
  load_t *load = request->load;
  double latency = ms_since (request->sent_ns);
  load->tokens += (uint64_t)request->stream.tokens;
  if (answer->status != 200)
    load->refused[CLAMP (answer->status, 0, 599)]++;
  else if (!is_whole (request, answer))
    load->short_answers++;
  else
    {
      load->whole++;
      g_array_append_val (load->latency_ms, latency);
    }
  end_request (request);
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)failure;
  (void)error;
  request_t *request = data;
  request->load->failed++;
  end_request (request);
}

static char *
make_body (load_t *load)
{
  const options_t *options = &load->options;
  GString *prompt = g_string_new (NULL);
  if (options->distinct)
    g_string_append_printf (prompt, "%llu ", (unsigned long long)load->sent);
  while (prompt->len < (gsize)options->prompt_bytes)
    g_string_append (prompt, "lamp ");
  char *body = g_strdup_printf (
      "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,"
      "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
      options->model, options->stream ? "true" : "false", options->max_tokens,
      prompt->str);
  g_string_free (prompt, TRUE);
  return body;
}

static void
send_request (load_t *load)
{
  static const client_handler_t streamed
      = { .data = on_data, .done = on_done, .failed = on_failed };
  static const client_handler_t collected
      = { .done = on_done, .failed = on_failed };
  const options_t *options = &load->options;
  char authorization[96];
  char repeat_key[48];
  header_t headers[3] = { { "Content-Type", "application/json" } };
  size_t n_headers = 1;
  if (options->key)
    {
      g_snprintf (authorization, sizeof authorization, "Bearer %s",
                  options->key);
      headers[n_headers++] = (header_t){ "Authorization", authorization };
    }
  if (options->idempotency)
    {
      g_snprintf (repeat_key, sizeof repeat_key, "load-%lu-%llu",
                  options->seed, (unsigned long long)load->sent);
      headers[n_headers++] = (header_t){ "Idempotency-Key", repeat_key };
    }
  request_t *request = g_new0 (request_t, 1);
  request->load = load;
  request->sent_ns = kwf_now_ns (kwf_clock_system ());
  completion_stream_init (&request->stream);
  char *body = make_body (load);
  load->sent++;
  load->open++;
  bool get = strcmp (options->method, "GET") == 0;
  client_start (load->client,
                &(client_request_t){ .method = options->method,
                                     .address = options->target,
                                     .target = options->path,
                                     .headers = headers,
                                     .n_headers = n_headers,
                                     .body = get ? NULL : body,
                                     .body_size = get ? 0 : strlen (body),
                                     .timeout_ns = REQUEST_TIMEOUT_NS },
                options->stream ? &streamed : &collected, request);
  g_free (body);
}

static void
schedule_arrival (load_t *load)
{
  double delay = gsl_ran_exponential (load->random, 1 / load->options.rate);
  ev_timer_set (&load->arrival, delay, 0);
  ev_timer_start (load->loop, &load->arrival);
}

static void
on_arrival (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  load_t *load = timer->data;
  if (load->stopping)
    return;
  if (load->open < MAX_OPEN)
    send_request (load);
  schedule_arrival (load);
}

static void
on_stop (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  load_t *load = timer->data;
  load->stopping = true;
  if (load->open == 0 || load->options.hold)
    ev_break (loop, EVBREAK_ALL);
}

static double
quantile (GArray *values, double part)
{
  if (values->len == 0)
    return 0;
  return gsl_stats_quantile_from_sorted_data ((const double *)values->data, 1,
                                              values->len, part);
}

static json_t *
refused_by_status (const load_t *load)
{
  json_t *refused = json_object ();
  for (int status = 0; status < 600; status++)
    if (load->refused[status])
      {
        char name[16];
        g_snprintf (name, sizeof name, "%d", status);
        json_object_set_new (refused, name,
                             json_integer ((json_int_t)load->refused[status]));
      }
  return refused;
}

static void
print_report (load_t *load)
{
  double seconds = ms_since (load->began_ns) / 1000;
  gsl_sort ((double *)load->latency_ms->data, 1, load->latency_ms->len);
  gsl_sort ((double *)load->first_ms->data, 1, load->first_ms->len);
  json_t *report = json_pack (
      "{s:f,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:f,s:f,s:f,s:o}", "seconds",
      seconds, "sent", (json_int_t)load->sent, "whole",
      (json_int_t)load->whole, "short", (json_int_t)load->short_answers,
      "failed", (json_int_t)load->failed, "open", (json_int_t)load->open,
      "requests_per_s", (double)load->whole / seconds, "tokens_per_s",
      (double)load->tokens / seconds, "latency_p50_ms",
      quantile (load->latency_ms, 0.5), "latency_p99_ms",
      quantile (load->latency_ms, 0.99), "first_p50_ms",
      quantile (load->first_ms, 0.5), "first_p99_ms",
      quantile (load->first_ms, 0.99), "refused", refused_by_status (load));
  char *text = json_dumps (report, JSON_COMPACT | JSON_REAL_PRECISION (6));
  puts (text);
  free (text);
  json_decref (report);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  options_t *options = state->input;
  switch (key)
    {
    case 't':
      options->target = arg;
      break;
    case 'p':
      options->path = arg;
      break;
    case 'X':
      options->method = arg;
      break;
    case 'k':
      options->key = arg;
      break;
    case 'm':
      options->model = arg;
      break;
    case 'c':
      options->connections = atoi (arg);
      break;
    case 's':
      options->seconds = strtod (arg, NULL);
      break;
    case 'r':
      options->rate = strtod (arg, NULL);
      break;
    case 'b':
      options->prompt_bytes = atoi (arg);
      break;
    case 'n':
      options->max_tokens = atoi (arg);
      break;
    case 'S':
      options->stream = true;
      break;
    case 'd':
      options->distinct = true;
      break;
    case 'i':
      options->idempotency = true;
      break;
    case 'R':
      options->seed = strtoul (arg, NULL, 10);
      break;
    case 'H':
      options->hold = true;
      break;
    case ARGP_KEY_END:
      if (!options->target || options->connections < 1
          || options->connections > MAX_OPEN || options->seconds <= 0)
        argp_error (state, "--target, --connections above 0 and --seconds "
                           "above 0 are required");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static void
parse_options (int argc, char **argv, options_t *options)
{
  static const struct argp_option arguments[]
      = { { "target", 't', "IP:PORT", 0, "Address to send to", 0 },
          { "path", 'p', "PATH", 0, "Path (default /v1/chat/completions)", 0 },
          { "method", 'X', "METHOD", 0, "GET or POST (default POST)", 0 },
          { "key", 'k', "KEY", 0, "Caller's key to show", 0 },
          { "model", 'm', "MODEL", 0, "Model (default m1)", 0 },
          { "connections", 'c', "N", 0, "Requests at a time, closed loop", 0 },
          { "seconds", 's', "S", 0, "Length of the run", 0 },
          { "rate", 'r', "R", 0, "Poisson arrivals a second, open loop", 0 },
          { "prompt-bytes", 'b', "N", 0, "Length of the prompt", 0 },
          { "max-tokens", 'n', "N", 0, "Tokens to generate", 0 },
          { "stream", 'S', NULL, 0, "Ask for a stream", 0 },
          { "distinct", 'd', NULL, 0, "Give each request its own prompt", 0 },
          { "idempotency", 'i', NULL, 0, "Send an Idempotency-Key", 0 },
          { "seed", 'R', "N", 0, "Seed of the arrivals", 0 },
          { "hold", 'H', NULL, 0, "Do not wait for open answers at the end",
            0 },
          { 0 } };
  static const struct argp argp
      = { .options = arguments,
          .parser = parse_option,
          .doc = "Send requests and print one JSON object with the figures." };
  argp_parse (&argp, argc, argv, 0, NULL, options);
}

int
main (int argc, char **argv)
{
  load_t load = { .options = { .path = "/v1/chat/completions",
                               .method = "POST",
                               .model = "m1",
                               .connections = 1,
                               .seconds = 1,
                               .prompt_bytes = 40,
                               .max_tokens = 8,
                               .seed = 1 } };
  parse_options (argc, argv, &load.options);
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load.loop = ev_default_loop (EVFLAG_AUTO);
  load.client = client_new (load.loop, &(client_options_t){ 0 });
  load.random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (load.random, load.options.seed);
  load.latency_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load.first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  load.began_ns = kwf_now_ns (kwf_clock_system ());
  ev_timer_init (&load.stop, on_stop, load.options.seconds, 0);
  load.stop.data = &load;
  ev_timer_start (load.loop, &load.stop);
  ev_init (&load.arrival, on_arrival);
  load.arrival.data = &load;
  if (load.options.rate > 0)
    schedule_arrival (&load);
  else
    for (int i = 0; i < load.options.connections; i++)
      send_request (&load);
  ev_run (load.loop, 0);
  print_report (&load);
  bool good = load.short_answers == 0 && load.failed == 0 && load.whole > 0;
  gsl_rng_free (load.random);
  g_array_free (load.latency_ms, TRUE);
  g_array_free (load.first_ms, TRUE);
  return good ? 0 : 1;
}
