/* Passes notices of backend servers (leaving, pause, limit) to the core.  */

#include "instance-internal.h"

void
notice_read (instance_t *instance, kwf_answer_kind_t kind,
             kwf_handle_t attempt, const char *server, int64_t asked_ns,
             const client_answer_t *answer)
{
  kwf_event_t event = { .type = KWF_EV_NOTICE,
                        .notice = { .attempt = attempt,
                                    .server = server,
                                    .kind = kind,
                                    .asked_ns = asked_ns,
                                    .success = answer->status / 100 == 2 } };
  const protocol_t *protocol = instance->protocol;
  if (!protocol->read_notice)
    return;
  /* That a limit is not named any more is a notice too.  */
  if (protocol->read_notice (&event.notice, answer)
      || kwf_core_knows_limit (instance->core, &event.notice))
    instance_step (instance, &event);
}
