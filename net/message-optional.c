#include "message-optional.h"

#include <string.h>

size_t
message_collect_optional (const kwf_message_t *message, int64_t *values)
{
  size_t n = MESSAGE_OPTIONAL;
  memset (values, 0, MESSAGE_OPTIONAL * sizeof *values);
  if (message->type == KWF_MSG_SERVER_LIMIT)
    values[0] = message->server_limit.cold_ns;
  else if (message->type == KWF_MSG_PERMIT_ASK)
    {
      values[0] = message->permit_ask.limit.cold_ns;
      values[1] = message->permit_ask.answer_ns;
      values[2] = message->permit_ask.answer_kind;
    }
  else if (message->type == KWF_MSG_PERMIT_GRANT)
    {
      values[0] = message->permit_grant.cold_ns;
      values[1] = message->permit_grant.started;
    }
  while (n && !values[n - 1])
    n--;
  return n;
}

void
message_read_optional (wire_reader_t *reader, kwf_message_t *message)
{
  int64_t values[MESSAGE_OPTIONAL] = { 0 };
  size_t most = message->type == KWF_MSG_PERMIT_ASK     ? 3
                : message->type == KWF_MSG_PERMIT_GRANT ? 2
                : message->type == KWF_MSG_SERVER_LIMIT ? 1
                                                        : 0;
  for (size_t i = 0; i < most && wire_has_more (reader); i++)
    values[i] = wire_get_int (reader);
  if (message->type == KWF_MSG_SERVER_LIMIT)
    message->server_limit.cold_ns = values[0];
  else if (message->type == KWF_MSG_PERMIT_ASK)
    {
      message->permit_ask.limit.cold_ns = values[0];
      message->permit_ask.answer_ns = values[1];
      message->permit_ask.answer_kind = values[2];
    }
  else if (message->type == KWF_MSG_PERMIT_GRANT)
    {
      message->permit_grant.cold_ns = values[0];
      message->permit_grant.started = values[1];
    }
}
