#include "message.h"

#include <string.h>

#include "message-optional.h"
#include "message-parts.h"

/* Number of fields of a message type, without the optional ones; -1: unknown
   type.  */
static int
field_count (int64_t type)
{
  switch (type)
    {
    case KWF_MSG_PING:
    case KWF_MSG_LEAVE:
      return 0;
    case KWF_MSG_RENEW:
      return 11;
    case KWF_MSG_RENEWED:
      return 4;
    case KWF_MSG_OUTAGE_QUERY:
    case KWF_MSG_SHARE_ACK:
    case KWF_MSG_STATE_REQUEST:
    case KWF_MSG_DEMAND:
    case KWF_MSG_LEADERSHIP_EXPIRED:
    case KWF_MSG_UNREACHABLE:
    case KWF_MSG_FORM:
    case KWF_MSG_TABLES_QUERY:
      return 1;
    case KWF_MSG_OUTAGE_REPLY:
    case KWF_MSG_WITHDRAW:
    case KWF_MSG_STATE_ROWS:
    case KWF_MSG_SERVER_LOADS:
    case KWF_MSG_REACH_REPLY:
      return 2;
    case KWF_MSG_SHARE_REQUEST:
    case KWF_MSG_SHARE_GRANT:
    case KWF_MSG_SERVER_LIMIT:
      return 6;
    case KWF_MSG_RESIDENCY:
    case KWF_MSG_FEED:
      return 5;
    case KWF_MSG_CRASH:
    case KWF_MSG_TABLES_REPLY:
    case KWF_MSG_REACH_QUERY:
      return 3;
    case KWF_MSG_SERVER_LEAVING:
    case KWF_MSG_REACH:
      return 4;
    case KWF_MSG_PERMIT_ASK:
      return 11;
    case KWF_MSG_PERMIT_GRANT:
      return 7;
    default:
      return -1;
    }
}

static void
put_fields (wire_writer_t *writer, const kwf_message_t *message)
{
  switch (message->type)
    {
    case KWF_MSG_PING:
    case KWF_MSG_LEAVE:
      break;
    case KWF_MSG_RENEW:
      message_put_renew (writer, &message->renew);
      break;
    case KWF_MSG_RENEWED:
      message_put_renewed (writer, &message->renewed);
      break;
    case KWF_MSG_OUTAGE_QUERY:
      wire_put_int (writer, message->outage.number);
      break;
    case KWF_MSG_OUTAGE_REPLY:
      wire_put_int (writer, message->outage.number);
      wire_put_bool (writer, message->outage.silent);
      break;
    case KWF_MSG_SHARE_REQUEST:
      message_put_share_request (writer, &message->share_request);
      break;
    case KWF_MSG_SHARE_GRANT:
      message_put_share_grant (writer, &message->share_grant);
      break;
    case KWF_MSG_SHARE_ACK:
      wire_put_int (writer, message->share_ack);
      if (message->share_returned > 0)
        wire_put_amount (writer, message->share_returned);
      break;
    case KWF_MSG_WITHDRAW:
      wire_put_text (writer, message->withdraw.digest);
      wire_put_bool (writer, message->withdraw.lifted);
      break;
    case KWF_MSG_STATE_REQUEST:
      wire_put_int (writer, message->state_after);
      break;
    case KWF_MSG_STATE_ROWS:
      wire_put_int (writer, message->state_rows.revision);
      message_put_rows (writer, message->state_rows.rows,
                        message->state_rows.n_rows);
      break;
    case KWF_MSG_CRASH:
      wire_put_uint (writer, message->crash.fingerprint);
      wire_put_text_or_empty (writer, message->crash.server);
      wire_put_uint (writer, message->crash.incarnation);
      break;
    case KWF_MSG_DEMAND:
      wire_put_value (writer, message->demand_text);
      break;
    case KWF_MSG_RESIDENCY:
      wire_put_text (writer, message->residency.server);
      wire_put_uint (writer, message->residency.incarnation);
      wire_put_text (writer, message->residency.model);
      wire_put_text_or_empty (writer, message->residency.adapter);
      wire_put_bool (writer, message->residency.present);
      break;
    case KWF_MSG_FEED:
      wire_put_int (writer, message->feed.table);
      wire_put_int (writer, message->feed.after);
      wire_put_int (writer, message->feed.revision);
      wire_put_int (writer, message->feed.as_of_ns);
      message_put_rows (writer, message->feed.rows, message->feed.n_rows);
      break;
    case KWF_MSG_SERVER_LOADS:
      message_put_server_loads (writer, &message->loads);
      break;
    case KWF_MSG_LEADERSHIP_EXPIRED:
      wire_put_int (writer, message->leadership_expired);
      break;
    case KWF_MSG_UNREACHABLE:
      message_put_names (writer, message->unreachable.names,
                         message->unreachable.n_names);
      break;
    case KWF_MSG_SERVER_LEAVING:
      wire_put_text (writer, message->leaving.server);
      wire_put_uint (writer, message->leaving.incarnation);
      wire_put_int (writer, message->leaving.age_ns);
      wire_put_bool (writer, message->leaving.forwarded);
      break;
    case KWF_MSG_SERVER_LIMIT:
      message_put_server_limit (writer, &message->server_limit);
      break;
    case KWF_MSG_PERMIT_ASK:
      message_put_permit_ask (writer, &message->permit_ask);
      break;
    case KWF_MSG_PERMIT_GRANT:
      message_put_permit_grant (writer, &message->permit_grant);
      break;
    case KWF_MSG_FORM:
      wire_put_int (writer, message->form);
      break;
    case KWF_MSG_TABLES_QUERY:
      wire_put_int (writer, message->tables.number);
      break;
    case KWF_MSG_TABLES_REPLY:
      wire_put_int (writer, message->tables.number);
      wire_put_int (writer, message->tables.servers);
      wire_put_int (writer, message->tables.own);
      break;
    case KWF_MSG_REACH:
      wire_put_text (writer, message->reach.instance);
      wire_put_uint (writer, message->reach.incarnation);
      wire_put_bool (writer, message->reach.stranded);
      wire_put_bool (writer, message->reach.forwarded);
      break;
    case KWF_MSG_REACH_QUERY:
      wire_put_int (writer, message->reach_query.number);
      wire_put_int (writer, message->reach_query.age_ns);
      message_put_names (writer, message->reach_query.servers,
                         message->reach_query.n_servers);
      break;
    case KWF_MSG_REACH_REPLY:
      wire_put_int (writer, message->reach_reply.number);
      message_put_names (writer, message->reach_reply.servers,
                         message->reach_reply.n_servers);
      break;
    }
}

static void
read_fields (wire_reader_t *reader, kwf_message_t *message)
{
  switch (message->type)
    {
    case KWF_MSG_PING:
    case KWF_MSG_LEAVE:
      break;
    case KWF_MSG_RENEW:
      message_read_renew (reader, &message->renew);
      break;
    case KWF_MSG_RENEWED:
      message_read_renewed (reader, &message->renewed);
      break;
    case KWF_MSG_OUTAGE_QUERY:
      message->outage.number = wire_get_int (reader);
      break;
    case KWF_MSG_OUTAGE_REPLY:
      message->outage.number = wire_get_int (reader);
      message->outage.silent = wire_get_bool (reader);
      break;
    case KWF_MSG_SHARE_REQUEST:
      message_read_share_request (reader, &message->share_request);
      break;
    case KWF_MSG_SHARE_GRANT:
      message_read_share_grant (reader, &message->share_grant);
      break;
    case KWF_MSG_SHARE_ACK:
      message->share_ack = wire_get_int (reader);
      if (wire_has_more (reader))
        message->share_returned = wire_get_amount (reader);
      break;
    case KWF_MSG_WITHDRAW:
      message->withdraw.digest = wire_get_text (reader);
      message->withdraw.lifted = wire_get_bool (reader);
      break;
    case KWF_MSG_STATE_REQUEST:
      message->state_after = wire_get_int (reader);
      break;
    case KWF_MSG_STATE_ROWS:
      message->state_rows.revision = wire_get_int (reader);
      message->state_rows.rows
          = message_read_rows (reader, &message->state_rows.n_rows);
      break;
    case KWF_MSG_CRASH:
      message->crash.fingerprint = wire_get_uint (reader);
      message->crash.server = wire_get_text_or_empty (reader);
      message->crash.incarnation = wire_get_uint (reader);
      break;
    case KWF_MSG_DEMAND:
      message->demand_text = wire_get_value (reader);
      break;
    case KWF_MSG_RESIDENCY:
      message->residency.server = wire_get_text (reader);
      message->residency.incarnation = wire_get_uint (reader);
      message->residency.model = wire_get_text (reader);
      message->residency.adapter = wire_get_text_or_empty (reader);
      message->residency.present = wire_get_bool (reader);
      break;
    case KWF_MSG_FEED:
      message->feed.table = wire_get_int (reader);
      message->feed.after = wire_get_int (reader);
      message->feed.revision = wire_get_int (reader);
      message->feed.as_of_ns = wire_get_int (reader);
      message->feed.rows = message_read_rows (reader, &message->feed.n_rows);
      break;
    case KWF_MSG_SERVER_LOADS:
      message_read_server_loads (reader, &message->loads);
      break;
    case KWF_MSG_LEADERSHIP_EXPIRED:
      message->leadership_expired = wire_get_int (reader);
      break;
    case KWF_MSG_UNREACHABLE:
      message->unreachable.names
          = message_read_names (reader, &message->unreachable.n_names);
      break;
    case KWF_MSG_SERVER_LEAVING:
      message->leaving.server = wire_get_text (reader);
      message->leaving.incarnation = wire_get_uint (reader);
      message->leaving.age_ns = wire_get_int (reader);
      message->leaving.forwarded = wire_get_bool (reader);
      break;
    case KWF_MSG_SERVER_LIMIT:
      message_read_server_limit (reader, &message->server_limit);
      break;
    case KWF_MSG_PERMIT_ASK:
      message_read_permit_ask (reader, &message->permit_ask);
      break;
    case KWF_MSG_PERMIT_GRANT:
      message_read_permit_grant (reader, &message->permit_grant);
      break;
    case KWF_MSG_FORM:
      message->form = wire_get_int (reader);
      break;
    case KWF_MSG_TABLES_QUERY:
      message->tables.number = wire_get_int (reader);
      break;
    case KWF_MSG_TABLES_REPLY:
      message->tables.number = wire_get_int (reader);
      message->tables.servers = wire_get_int (reader);
      message->tables.own = wire_get_int (reader);
      break;
    case KWF_MSG_REACH:
      message->reach.instance = wire_get_text (reader);
      message->reach.incarnation = wire_get_uint (reader);
      message->reach.stranded = wire_get_bool (reader);
      message->reach.forwarded = wire_get_bool (reader);
      break;
    case KWF_MSG_REACH_QUERY:
      message->reach_query.number = wire_get_int (reader);
      message->reach_query.age_ns = wire_get_int (reader);
      message->reach_query.servers
          = message_read_names (reader, &message->reach_query.n_servers);
      break;
    case KWF_MSG_REACH_REPLY:
      message->reach_reply.number = wire_get_int (reader);
      message->reach_reply.servers
          = message_read_names (reader, &message->reach_reply.n_servers);
      break;
    }
}

/* Number of optional fields that MESSAGE has.  */
static int
extra_fields (const kwf_message_t *message)
{
  if (message->type == KWF_MSG_SHARE_GRANT)
    return message->share_grant.tells_left;
  return message->type == KWF_MSG_SHARE_ACK && message->share_returned > 0;
}

kwf_status_t
message_encode (GByteArray *out, const kwf_message_t *message)
{
  guint before = out->len;
  int fields = field_count (message->type);
  wire_writer_t writer;
  if (fields < 0)
    return KWF_INVALID;
  int64_t optional[MESSAGE_OPTIONAL];
  size_t n_optional = message_collect_optional (message, optional);
  size_t n_fields = (size_t)(fields + extra_fields (message)) + n_optional;
  wire_begin (&writer, out, message->type, n_fields);
  put_fields (&writer, message);
  for (size_t i = 0; i < n_optional; i++)
    wire_put_int (&writer, optional[i]);
  kwf_status_t status = KWF_OK;
  if (writer.failed)
    status = KWF_INVALID;
  else if (out->len - before > MESSAGE_MAX_ENCODED)
    status = KWF_LIMIT;
  if (status != KWF_OK)
    g_byte_array_set_size (out, before);
  return status;
}

kwf_status_t
message_decode (kwf_message_t *message, const void *bytes, size_t size,
                msgpack_zone *zone, kwf_error_t *error)
{
  wire_reader_t reader;
  memset (message, 0, sizeof *message);
  if (!wire_open (&reader, bytes, size, zone, error))
    return KWF_INVALID;
  int64_t type = reader.type;
  if (field_count (type) < 0)
    {
      wire_close (&reader);
      return kwf_fail (error, type > 0 ? KWF_NOT_FOUND : KWF_INVALID,
                       "read message", NULL, "unknown message type %lld",
                       (long long)type);
    }
  message->type = (kwf_message_type_t)type;
  read_fields (&reader, message);
  message_read_optional (&reader, message);
  if (wire_close (&reader))
    return KWF_OK;
  return kwf_fail (error, KWF_INVALID, "read message", NULL,
                   "wrong fields in a message of type %lld", (long long)type);
}
