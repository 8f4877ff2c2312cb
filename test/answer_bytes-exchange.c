/* Runs scripted exchanges, many at once.  */

#include "answer_bytes.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

/* Fewer than connections that may wait for the listener.  */
#define MAX_AT_ONCE 100
#define LIMIT_NS (5 * KWF_NS_PER_S)
/* Time in which a silent server has sent its last byte.  */
#define SILENCE_NS (500 * KWF_NS_PER_MS)
/* All exchanges of one run.  */
#define RUN_LIMIT_S 200.0

static const header_t id_header = { "X-Request-Id", "r1" };

static void
serve (connection_t *connection, const char *request, void *data)
{
  exchange_rig_t *rig = data;
  rig->asked_encoding |= strcasestr (request, "accept-encoding") != NULL;
  const char *number = strchr (request, '/');
  const exchange_t *exchange = &rig->exchanges[strtoul (number + 1, NULL, 10)];
  sender_start (connection, exchange->bytes, exchange->size, exchange->piece,
                exchange->ending);
}

typedef struct
{
  exchange_rig_t *rig;
  exchange_t *exchange;
} call_t;

static void start_next (exchange_rig_t *rig);

static void
end_call (call_t *call)
{
  exchange_rig_t *rig = call->rig;
  g_free (call);
  rig->n_ended++;
  start_next (rig);
}

static void
add_body (exchange_t *exchange, const char *bytes, size_t size)
{
  if (!exchange->body)
    exchange->body = g_string_new (NULL);
  g_string_append_len (exchange->body, bytes, (gssize)size);
}

static void
on_head (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  const call_t *call = data;
  call->exchange->heads++;
  call->exchange->status = answer->status;
}

static void
on_data (void *data, kwf_handle_t transfer, int status,
         const char *content_type, const char *bytes, size_t size)
{
  (void)transfer;
  (void)status;
  (void)content_type;
  const call_t *call = data;
  add_body (call->exchange, bytes, size);
}

/* As for an event stream: a body without a length ends after an event.  */
static bool
may_end (void *data, bool delimited)
{
  const call_t *call = data;
  const GString *body = call->exchange->body;
  return delimited || !body || !body->len
         || g_str_has_suffix (body->str, "\n\n");
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  call_t *call = data;
  call->exchange->done = true;
  call->exchange->status = answer->status;
  add_body (call->exchange, answer->body, answer->body_size);
  end_call (call);
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  call_t *call = data;
  call->exchange->failure = failure;
  g_strlcpy (call->exchange->cause, error->message,
             sizeof call->exchange->cause);
  end_call (call);
}

static void
start_call (exchange_rig_t *rig, size_t i)
{
  static const client_handler_t whole
      = { .head = on_head, .done = on_done, .failed = on_failed };
  static const client_handler_t streamed = { .head = on_head,
                                             .data = on_data,
                                             .may_end = may_end,
                                             .done = on_done,
                                             .failed = on_failed };
  exchange_t *exchange = &rig->exchanges[i];
  call_t *call = g_new0 (call_t, 1);
  call->rig = rig;
  call->exchange = exchange;
  char target[24];
  g_snprintf (target, sizeof target, "/%zu", i);
  client_start (
      rig->client,
      &(client_request_t){ .method = "GET",
                           .address = rig->listener->address,
                           .target = target,
                           .timeout_ns = exchange->ending == ENDING_SILENCE
                                             ? SILENCE_NS
                                             : LIMIT_NS,
                           .expected_header = &id_header,
                           .success_header = "X-Server-Stamp",
                           .allow_close_delimited = true,
                           .new_connection = true },
      exchange->streamed ? &streamed : &whole, call);
}

static void
start_next (exchange_rig_t *rig)
{
  if (rig->n_started < rig->n_exchanges)
    start_call (rig, rig->n_started++);
}

void
exchange_run (exchange_rig_t *rig, exchange_t *exchanges, size_t n)
{
  rig->exchanges = exchanges;
  rig->n_exchanges = n;
  rig->n_started = 0;
  rig->n_ended = 0;
  for (int i = 0; i < MAX_AT_ONCE; i++)
    start_next (rig);
  assert_true (run_until (rig->loop, &rig->n_ended, (int)n, RUN_LIMIT_S));
}

void
exchange_clear (exchange_t *exchange)
{
  if (exchange->body)
    g_string_free (exchange->body, TRUE);
  exchange->body = NULL;
}

int
exchange_set_up (void **state)
{
  exchange_rig_t *rig = g_new0 (exchange_rig_t, 1);
  rig->loop = ev_loop_new (EVFLAG_AUTO);
  rig->client = client_new (rig->loop, NULL);
  rig->listener = listener_start (rig->loop, serve, rig);
  *state = rig;
  return 0;
}

int
exchange_tear_down (void **state)
{
  exchange_rig_t *rig = *state;
  /* Servers may still be sending.  */
  run_for (rig->loop, 0.05);
  client_free (rig->client);
  listener_stop (rig->listener);
  ev_loop_destroy (rig->loop);
  g_free (rig);
  return 0;
}
