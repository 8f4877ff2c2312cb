/* Requests load reports of backend servers and passes them to the core, or
   only whether there was an answer.  */

#include "instance-internal.h"

#include <string.h>

/* A report that takes longer says nothing about the present load.  */
#define PROBE_TIMEOUT_NS (1 * KWF_NS_PER_S)

/* Many times the size of the report of a server with hundreds of models.  */
#define MAX_REPORT_BYTES ((size_t)256 << 10)

/* Answered by a server other than the one that the request names.  */
#define HTTP_MISDIRECTED 421

typedef struct
{
  instance_t *instance;
  int64_t asked_ns;
  bool is_question; /* whether the server answers */
  char server[];
} probe_t;
static void
report_and_free (probe_t *probe, kwf_report_event_t *report)
{
  report->server = probe->server;
  instance_step (probe->instance,
                 &(kwf_event_t){ .type = KWF_EV_REPORT, .report = *report });
  g_hash_table_remove (probe->instance->control_calls, probe);
}

static void
answer_and_free (probe_t *probe, bool answered)
{
  kwf_event_t event = { .type = KWF_EV_ANSWERED,
                        .answered = { .server = probe->server,
                                      .asked_ns = probe->asked_ns,
                                      .answered = answered } };
  instance_step (probe->instance, &event);
  g_hash_table_remove (probe->instance->control_calls, probe);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  probe_t *probe = data;
  notice_read (probe->instance, KWF_ANSWER_REPORT, 0, probe->server,
               probe->asked_ns, answer);
  if (probe->is_question)
    {
      answer_and_free (probe, true);
      return;
    }
  GPtrArray *texts = g_ptr_array_new_with_free_func (g_free);
  kwf_report_event_t report = { 0 };
  const protocol_t *protocol = probe->instance->protocol;
  report.valid = protocol->read_report (&report, texts, answer);
  report.answered = true;
  report.replaced
      = protocol->expect_server_header && answer->status == HTTP_MISDIRECTED;
  report_and_free (probe, &report);
  g_ptr_array_free (texts, TRUE);
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)error;
  probe_t *probe = data;
  if (probe->is_question)
    answer_and_free (probe, false);
  else
    report_and_free (
        probe, &(kwf_report_event_t){ .refused = failure == KWF_FAIL_REFUSED,
                                      .broken = failure == KWF_FAIL_BROKEN });
}

static void
start (instance_t *instance, const char *server, const char *address,
       int64_t asked_ns, bool is_question)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  const protocol_t *protocol = instance->protocol;
  size_t size = strlen (server) + 1;
  probe_t *probe = g_malloc (sizeof *probe + size);
  probe->instance = instance;
  probe->asked_ns = asked_ns;
  probe->is_question = is_question;
  g_hash_table_add (instance->control_calls, probe);
  memcpy (probe->server, server, size);
  header_t expect = { protocol->expect_server_header, probe->server };
  client_start (
      instance->control,
      &(client_request_t){ .method = "GET",
                           .address = address,
                           .target = protocol->report_target,
                           .headers = &expect,
                           .n_headers = protocol->expect_server_header != NULL,
                           .max_answer_bytes = MAX_REPORT_BYTES,
                           .timeout_ns = PROBE_TIMEOUT_NS,
                           /* Servers that repeat the ids of requests may
                              answer one late; a report has no id.  */
                           .own_connection = protocol->echo_name != NULL },
      &handler, probe);
}

void
probe_start (instance_t *instance, const char *server, const char *address)
{
  start (instance, server, address, kwf_now_ns (kwf_clock_system ()), false);
}

void
probe_ask (instance_t *instance, const char *server, const char *address,
           int64_t asked_ns)
{
  start (instance, server, address, asked_ns, true);
}
