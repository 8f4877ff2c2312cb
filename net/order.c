/* Sends orders to model engines and reports the reply, or the failure to get
   one, to the core.  */

#include "instance-internal.h"

#include <stdlib.h>
#include <string.h>

/* A model engine answers when it has accepted the order, not when it has
   carried it out.  */
#define ORDER_TIMEOUT_NS (2 * KWF_NS_PER_S)

/* An answer to an order is a few words.  */
#define MAX_ANSWER_BYTES ((size_t)64 << 10)

typedef struct
{
  instance_t *instance;
  int64_t asked_ns;
  const char *id; /* in SERVER, after the server's id */
  char server[];
} pending_order_t;

static void
report_and_free (pending_order_t *order, kwf_order_event_t *event)
{
  event->server = order->server;
  event->id = order->id;
  instance_step (order->instance, &(kwf_event_t){ .type = KWF_EV_ORDER_REPLY,
                                                  .order = *event });
  g_hash_table_remove (order->instance->control_calls, order);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  const pending_order_t *order = data;
  notice_read (order->instance, KWF_ANSWER_ORDER, 0, order->server,
               order->asked_ns, answer);
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  kwf_order_event_t event = { .status = answer->status };
  order->instance->protocol->read_order (&event, texts, answer);
  report_and_free (data, &event);
  g_ptr_array_free (texts, TRUE);
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)error;
  report_and_free (data, &(kwf_order_event_t){ .failure = failure });
}

/* At most until the placement leader's lease ends, so that it sends no order
   after that.  */
static int64_t
timeout_ns (const kwf_order_t *order)
{
  return order->timeout_ns ? MIN (order->timeout_ns, ORDER_TIMEOUT_NS)
                           : ORDER_TIMEOUT_NS;
}

static bool
may_send (void *data)
{
  const pending_order_t *order = data;
  return kwf_core_may_order (order->instance->core, order->server);
}

void
order_start (instance_t *instance, const kwf_order_t *order)
{
  static const client_handler_t handler
      = { .may_send = may_send, .done = on_done, .failed = on_failed };
  const protocol_t *protocol = instance->protocol;
  char *body = protocol->order_body (order);
  size_t server_size = strlen (order->server) + 1;
  size_t id_size = strlen (order->id) + 1;
  pending_order_t *pending
      = g_malloc (sizeof *pending + server_size + id_size);
  pending->instance = instance;
  pending->asked_ns = kwf_now_ns (kwf_clock_system ());
  pending->id = pending->server + server_size;
  memcpy (pending->server, order->server, server_size);
  memcpy (pending->server + server_size, order->id, id_size);
  g_hash_table_add (instance->control_calls, pending);
  const header_t headers[]
      = { { "Content-Type", "application/json" },
          { protocol->expect_server_header, pending->server } };
  client_start (
      instance->control,
      &(client_request_t){ .method = "POST",
                           .address = order->address,
                           .target = protocol->order_target,
                           .headers = headers,
                           .n_headers = protocol->expect_server_header ? 2 : 1,
                           .body = body,
                           .body_size = strlen (body),
                           .timeout_ns = timeout_ns (order),
                           .max_answer_bytes = MAX_ANSWER_BYTES,
                           .own_connection = true },
      &handler, pending);
  free (body);
}
