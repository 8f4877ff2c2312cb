/* Passes notices of backend servers (leaving, pause) to the core.  */

#include "instance-internal.h"

void
notice_read (instance_t *instance, kwf_handle_t attempt, const char *server,
             const client_answer_t *answer)
{
  kwf_event_t event = { .type = KWF_EV_NOTICE };
  const protocol_t *protocol = instance->protocol;
  if (!protocol->read_notice || !protocol->read_notice (&event.notice, answer))
    return;
  event.notice.attempt = attempt;
  event.notice.server = server;
  instance_step (instance, &event);
}
