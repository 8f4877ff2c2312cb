/* The work of a scripted server on one request.  The script and its answer
   depend on the seed, the request's id and the number of the run alone.  */

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <knapweedfork/clock.h>

#include "soak.h"

/* Largest piece that a server writes at once, and longest pause between two
   of them.  */
#define PIECE_BYTES 400
#define PIECE_PAUSE_MS 25
#define BODY_BYTES 3000
#define EVENT_BYTES 120
#define EXTRA_MS 400
/* Shortest work on a long call.  */
#define LEAST_LONG_MS 100
/* About the size of a head.  */
#define HEAD_BYTES 180

struct job
{
  backend_t *backend;
  connection_t *connection;
  int number;
  run_t *run;
  GRand *rand;
  GString *out;
  GString *extra;   /* written after the answer; NULL: none */
  bool extra_waits; /* for the next request on the connection */
  int n_requests;   /* of the connection with this one */
  size_t stop_at;   /* OUT is cut here */
  int pause_ms;     /* longest pause */
  bool by_event;    /* each piece ends with an event */
  int64_t next_ns;
  bool wrote; /* some byte of the answer */
};

static const char *const script_names[N_SCRIPTS]
    = { "plain", "slow",  "refuse",  "fail",        "cut",       "reset",
        "stall", "twice", "rubbish", "old-refusal", "misplaced", "half" };

const char *
script_name (script_t script)
{
  return script_names[script];
}

bool
is_connection_open (const listener_t *listener, const connection_t *connection,
                    int number)
{
  return listener && g_ptr_array_find (listener->open, connection, NULL)
         && connection->number == number && !connection->closing;
}

static script_t
draw_script (GRand *rand)
{
  /* In 1,000; the rest is plain.  */
  static const struct
  {
    script_t script;
    int share;
  } shares[] = {
    { SCRIPT_SLOW, 100 }, { SCRIPT_REFUSE, 30 },  { SCRIPT_FAIL, 15 },
    { SCRIPT_CUT, 40 },   { SCRIPT_RESET, 20 },   { SCRIPT_STALL, 10 },
    { SCRIPT_TWICE, 40 }, { SCRIPT_RUBBISH, 20 }, { SCRIPT_OLD_REFUSAL, 20 },
    { SCRIPT_HALF, 20 },
  };
  int drawn = g_rand_int_range (rand, 0, 1000);
  for (size_t i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      drawn -= shares[i].share;
      if (drawn < 0)
        return shares[i].script;
    }
  return SCRIPT_PLAIN;
}

/* Text without line ends, of SIZE bytes.  */
static void
append_text (GString *text, GRand *rand, int size)
{
  for (int i = 0; i < size; i++)
    g_string_append_c (text, (char)('a' + g_rand_int_range (rand, 0, 26)));
}

static void
make_events (run_t *run, GRand *rand)
{
  for (int i = run->first; i <= run->last; i++)
    {
      g_string_append_printf (run->body, "id: %d\ndata: %s %s ", i,
                              run->request->id, run->stamp);
      append_text (run->body, rand, g_rand_int_range (rand, 0, EVENT_BYTES));
      g_string_append (run->body, "\n\n");
    }
}

static void
make_body (run_t *run, GRand *rand)
{
  bool is_stream = run->request->route->kind >= SOAK_STREAM;
  if (run->status == 200 && is_stream)
    make_events (run, rand);
  else
    {
      g_string_append_printf (run->body, "%d %s %s ", run->status,
                              run->request->id, run->stamp);
      append_text (run->body, rand, g_rand_int_range (rand, 0, BODY_BYTES));
    }
}

static void
append_body (GString *out, const GString *body, GRand *rand, bool chunked)
{
  for (size_t at = 0; chunked && at < body->len;)
    {
      size_t drawn = (size_t)g_rand_int_range (rand, 1, 500);
      size_t size = MIN (drawn, body->len - at);
      g_string_append_printf (out, "%zx\r\n", size);
      g_string_append_len (out, body->str + at, (gssize)size);
      g_string_append (out, "\r\n");
      at += size;
    }
  if (chunked)
    g_string_append (out, "0\r\n\r\n");
  else
    g_string_append_len (out, body->str, (gssize)body->len);
}

static void
append_id (GString *out, const char *id)
{
  g_string_append_printf (out, "X-Request-Id: %s\r\n", id);
}

/* The body of RUN up to a place inside one of its events.  */
static GString *
cut_body (const run_t *run, GRand *rand)
{
  const GString *body = run->body;
  gsize size;
  do
    size = (gsize)g_rand_int_range (rand, 1, (gint32)body->len);
  while (body->str[size - 1] == '\n');
  return g_string_new_len (body->str, (gssize)size);
}

/* Writes RUN's answer into OUT.  */
static void
make_answer (run_t *run, GString *out, GRand *rand)
{
  bool is_event_stream
      = run->status == 200 && run->request->route->kind >= SOAK_STREAM;
  int framing = g_rand_int_range (rand, 0, 10);
  bool chunked = framing < (is_event_stream ? 5 : 4);
  bool closes = framing >= 7 && !run->refused;
  make_body (run, rand);
  bool is_cut = run->script == SCRIPT_HALF && is_event_stream && !closes
                && run->body->len;
  GString *sent
      = is_cut ? cut_body (run, rand)
               : g_string_new_len (run->body->str, (gssize)run->body->len);
  bool id_first = g_rand_boolean (rand);
  g_string_append_printf (out, "HTTP/1.1 %d X\r\n", run->status);
  if (id_first)
    append_id (out, run->request->id);
  if (run->refused)
    g_string_append (out, "X-Not-Run: 1\r\n");
  else
    g_string_append_printf (out, "X-Server-Stamp: %s\r\n", run->stamp);
  g_string_append_printf (out, "Content-Type: %s\r\n",
                          is_event_stream ? "text/event-stream"
                                          : "text/plain");
  if (chunked)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  else if (!closes)
    g_string_append_printf (out, "Content-Length: %zu\r\n", sent->len);
  if (g_rand_int_range (rand, 0, closes ? 2 : 20) == 0)
    g_string_append (out, "Connection: close\r\n");
  if (!id_first)
    append_id (out, run->request->id);
  g_string_append (out, "\r\n");
  append_body (out, sent, rand, chunked);
  g_string_free (sent, TRUE);
  run->has_end = !closes;
  run->by_chunks = chunked;
}

/* The refusal of request ID.  */
static GString *
old_refusal (const char *id)
{
  GString *text = g_string_new (NULL);
  g_string_append_printf (text,
                          "HTTP/1.1 503 X\r\nX-Request-Id: %s\r\n"
                          "X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
                          id);
  return text;
}

/* Id of the request before this one on the same connection, NULL if there was
   none.  Keeps this request's id for the next.  */
static const char *
exchange_last_id (const job_t *job)
{
  GHashTable *last_ids = job->backend->last_ids;
  gpointer key = GINT_TO_POINTER (job->number);
  const char *last = g_hash_table_lookup (last_ids, key);
  g_hash_table_insert (last_ids, key, job->run->request->id);
  return last;
}

/* Where an answer breaks off: at any byte, often inside its head.  */
static size_t
draw_stop (const job_t *job)
{
  int size = (int)job->out->len;
  if (g_rand_boolean (job->rand))
    size = MIN (size, HEAD_BYTES);
  return (size_t)g_rand_int_range (job->rand, 0, size);
}

static void
arrange_script (job_t *job)
{
  run_t *run = job->run;
  GRand *rand = job->rand;
  job->stop_at = job->out->len;
  const char *last_id = exchange_last_id (job);
  switch (run->script)
    {
    case SCRIPT_CUT:
    case SCRIPT_RESET:
    case SCRIPT_STALL:
      job->stop_at = draw_stop (job);
      break;
    case SCRIPT_REFUSE:
      if (g_rand_boolean (rand))
        break;
      /* fall through */
    case SCRIPT_TWICE:
      if (!run->has_end)
        break;
      job->extra = g_string_new_len (job->out->str, (gssize)job->out->len);
      break;
    case SCRIPT_RUBBISH:
      /* Where the connection's end is that of the body, they are its part.  */
      if (!run->has_end)
        break;
      job->extra = g_string_new_len (
          job->out->str, g_rand_int_range (rand, 1, (int)job->out->len));
      if (g_rand_boolean (rand))
        g_string_truncate (job->extra, 0);
      append_text (job->extra, rand, g_rand_int_range (rand, 0, 200));
      break;
    case SCRIPT_OLD_REFUSAL:
      if (last_id)
        {
          GString *old = old_refusal (last_id);
          g_string_prepend_len (job->out, old->str, (gssize)old->len);
          job->stop_at = job->out->len;
          g_string_free (old, TRUE);
        }
      break;
    default:
      break;
    }
}

static int64_t
draw_pause_ns (job_t *job, int most_ms)
{
  return g_rand_int_range (job->rand, 0, most_ms + 1) * KWF_NS_PER_MS;
}

static void
count_arrival (const backend_t *backend, const request_t *request)
{
  arrival_t arrival = { soak_now_ns (), backend->service, true };
  if (request->runs->len)
    g_array_append_val (backend->soak->arrivals, arrival);
}

/* The request must be the caller's, and at a service of its route.  */
static void
check_request (const backend_t *backend, const request_t *request,
               const char *text)
{
  char *line = g_strdup_printf ("POST %s HTTP/1.1\r\n", request->path);
  const char *body = strstr (text, "\r\n\r\n");
  bool engine = strcmp (backend->service, "engine") == 0;
  if (!g_str_has_prefix (text, line) || !body
      || strcmp (body + 4, request->body) != 0
      || engine != request->route->engine)
    soak_break (backend->soak, RULE_UNASKED, request, NULL,
                "server %s got another request: %.400s", backend->key, text);
  g_free (line);
}

static run_t *
run_new (backend_t *backend, request_t *request)
{
  run_t *run = g_new0 (run_t, 1);
  *run = (run_t){ .request = request,
                  .server = backend->index,
                  .incarnation = backend->incarnation,
                  .version = backend->version,
                  .number = (int)request->runs->len + 1,
                  .status = 200,
                  .began_ns = soak_now_ns (),
                  .disturbed = backend->calm_ns > request->sent_ns,
                  .body = g_string_new (NULL),
                  .first = request->after + 1,
                  .last = request->n_events };
  g_snprintf (run->stamp, sizeof run->stamp, "%s.%d.%s.%d", backend->key,
              backend->incarnation, request->id, run->number);
  g_ptr_array_add (request->runs, run);
  return run;
}

static void
read_request (job_t *job, const char *text)
{
  run_t *run = job->run;
  char value[64];
  header_copy (text, "Last-Event-Id", value, sizeof value);
  run->first = (int)strtol (value, NULL, 10) + 1;
  header_copy (text, "X-Expect-Instance", value, sizeof value);
  run->script = run->began_ns < job->backend->fail_ns
                    ? job->backend->fail_script
                    : draw_script (job->rand);
  if (*value && strcmp (value, job->backend->key) != 0)
    run->script = SCRIPT_MISPLACED;
  run->refused
      = run->script == SCRIPT_REFUSE || run->script == SCRIPT_MISPLACED;
  if (run->refused)
    run->status = run->script == SCRIPT_REFUSE ? 503 : 421;
  if (run->script == SCRIPT_FAIL)
    run->status = 500;
}

/* Times of the first piece and between pieces.  */
static void
arrange_times (job_t *job)
{
  run_t *run = job->run;
  bool slow = run->script == SCRIPT_SLOW;
  int pieces = (int)(job->out->len / PIECE_BYTES);
  int64_t wait_ns = draw_pause_ns (job, slow ? 1500 : 40);
  job->pause_ms = slow ? 10 * PIECE_PAUSE_MS : PIECE_PAUSE_MS;
  job->pause_ms = job->pause_ms * parts_pace (job->backend) / 100;
  if (run->request->route->is_long && !run->refused)
    {
      double share = g_rand_double (job->rand);
      int work_ms = (int)(LEAST_LONG_MS
                          * pow ((double)LONG_MS / LEAST_LONG_MS, share));
      if (run->request->route->kind == SOAK_ONCE)
        wait_ns = work_ms * KWF_NS_PER_MS;
      else
        job->pause_ms = work_ms / (pieces + 1);
    }
  job->next_ns = run->began_ns + wait_ns;
  run->due_ns
      = run->script == SCRIPT_STALL
            ? INT64_MAX
            : job->next_ns + (int64_t)pieces * job->pause_ms * KWF_NS_PER_MS;
}

/* REQUEST has reached BACKEND, which may have left too long ago.  */
static void
check_leaving (const backend_t *backend, const request_t *request)
{
  soak_t *soak = backend->soak;
  int64_t now_ns = soak_now_ns ();
  int64_t since_ms = (now_ns - backend->left_ns) / KWF_NS_PER_MS;
  if (backend->left_ns && since_ms > DRAIN_MS
      && is_in_touch (soak, request->instance, now_ns))
    soak_break (soak, RULE_DRAIN, request, NULL,
                "server %s got it %d ms after it had left", backend->key,
                (int)since_ms);
}

void
job_start (backend_t *backend, connection_t *connection, const char *text)
{
  char id[40];
  header_copy (text, "X-Request-Id", id, sizeof id);
  request_t *request = g_hash_table_lookup (backend->soak->requests, id);
  if (!request)
    {
      soak_break (backend->soak, RULE_UNASKED, NULL, NULL,
                  "server %s got a request of no caller: %.60s", backend->key,
                  text);
      return;
    }
  count_arrival (backend, request);
  check_request (backend, request, text);
  check_leaving (backend, request);
  job_t *job = g_new0 (job_t, 1);
  *job = (job_t){ .backend = backend,
                  .connection = connection,
                  .number = connection->number,
                  .n_requests = connection->requests,
                  .run = run_new (backend, request),
                  .out = g_string_new (NULL) };
  job->rand
      = g_rand_new_with_seed (soak_hash (backend->soak, id, job->run->number));
  read_request (job, text);
  make_answer (job->run, job->out, job->rand);
  parts_add_headers (backend, job->out, false);
  arrange_script (job);
  job->run->size = job->out->len;
  job->run->mark_at = job->run->size - (job->run->by_chunks ? 2 : 0);
  job->by_event = g_rand_boolean (job->rand);
  arrange_times (job);
  g_ptr_array_add (backend->jobs, job);
  job->run->disturbed = cut_has_delayed (backend->soak);
  judge_run (backend->soak, job->run);
  parts_judge_run (backend, job->run);
}

void
job_free (void *data)
{
  job_t *job = data;
  if (!job->run->ended_ns)
    job->run->ended_ns = soak_now_ns ();
  g_rand_free (job->rand);
  g_string_free (job->out, TRUE);
  if (job->extra)
    g_string_free (job->extra, TRUE);
  g_free (job);
}

void
job_disturb (job_t *job, bool killed)
{
  run_t *run = job->run;
  run->disturbed |= !run->ended_ns;
  if (killed && run->sent < run->size)
    run->killed = run->fin_early = true;
}

void
job_note_cut (job_t *job)
{
  if (!is_connection_open (job->backend->listener, job->connection,
                           job->number)
      || job->connection->held)
    job_disturb (job, false);
}

/* Ends the connection: the loop then reads its end and frees it.  Where FIN
   marks no end of the answer, RST follows it at times.  */
static void
end_connection (job_t *job, bool reset)
{
  int fd = job->connection->io.fd;
  run_t *run = job->run;
  run->fin_early |= !reset && run->sent < run->size;
  if (reset || (run->fin_early && g_rand_boolean (job->rand)))
    setsockopt (fd, SOL_SOCKET, SO_LINGER,
                &(struct linger){ .l_onoff = 1, .l_linger = 0 },
                sizeof (struct linger));
  shutdown (fd, reset ? SHUT_RD : SHUT_RDWR);
  /* No other job writes into the cut answer before the loop reads the end.  */
  connection_close (job->connection);
}

/* Whether another answer has begun on the same connection, whose bytes would
   be broken by others in their midst.  */
static bool
is_connection_busy (const job_t *job)
{
  const GPtrArray *jobs = job->backend->jobs;
  for (guint i = 0; i < jobs->len; i++)
    {
      const job_t *other = jobs->pdata[i];
      if (other != job && other->connection == job->connection
          && other->number == job->number && other->wrote
          && other->run->sent < other->out->len)
        return true;
    }
  return false;
}

/* The answer was written as far as its script goes.  Returns whether the job
   has ended.  */
static bool
finish_answer (job_t *job, int64_t now_ns)
{
  run_t *run = job->run;
  run->ended_ns = run->script == SCRIPT_STALL ? 0 : now_ns;
  if (run->script == SCRIPT_STALL)
    {
      job->next_ns = now_ns + 50 * KWF_NS_PER_MS;
      return false;
    }
  if (job->extra)
    {
      int when = g_rand_int_range (job->rand, 0, 3);
      job->extra_waits = when == 0;
      job->next_ns
          = when == 1 ? now_ns : now_ns + draw_pause_ns (job, EXTRA_MS);
      return false;
    }
  bool reset = run->script == SCRIPT_RESET;
  if (reset || run->script == SCRIPT_CUT || !run->has_end)
    end_connection (job, reset);
  return true;
}

/* Size of the next piece.  */
static size_t
draw_piece (const job_t *job)
{
  size_t sent = job->run->sent;
  size_t size = (size_t)g_rand_int_range (job->rand, 1, PIECE_BYTES);
  if (job->by_event && job->run->request->route->kind >= SOAK_STREAM)
    {
      const char *end = strstr (job->out->str + sent, "\n\n");
      if (end)
        size = (size_t)(end + 2 - job->out->str) - sent;
    }
  return MIN (size, job->stop_at - sent);
}

bool
job_tick (job_t *job, int64_t now_ns)
{
  run_t *run = job->run;
  if (!is_connection_open (job->backend->listener, job->connection,
                           job->number))
    return true;
  if (job->connection->held)
    return false;
  while (now_ns >= job->next_ns)
    {
      if (run->sent == job->stop_at && run->ended_ns && job->extra)
        {
          if (job->extra_waits && job->connection->requests == job->n_requests)
            return false;
          if (!is_connection_busy (job))
            connection_write (job->connection, job->extra->str,
                              job->extra->len);
          return true;
        }
      if (run->request->is_bad && !run->refused)
        {
          job->backend->crashes = true;
          return false;
        }
      size_t size = draw_piece (job);
      connection_write (job->connection, job->out->str + run->sent, size);
      run->sent += size;
      job->wrote |= size > 0;
      job->next_ns = now_ns + draw_pause_ns (job, job->pause_ms) + 1;
      if (run->sent == job->stop_at
          && (run->ended_ns || finish_answer (job, now_ns)))
        return true;
    }
  return false;
}
