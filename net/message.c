#include "message.h"

#include <math.h>
#include <string.h>

#include "message-optional.h"
#include "wire.h"

static void
put_rows (wire_writer_t *writer, const kwf_row_t *rows, size_t n_rows)
{
  wire_put_array (writer, n_rows);
  for (size_t i = 0; i < n_rows; i++)
    {
      wire_put_array (writer, 3);
      wire_put_text (writer, rows[i].key);
      wire_put_int (writer, rows[i].version);
      wire_put_value (writer, rows[i].value);
    }
}

static const kwf_row_t *
read_rows (wire_reader_t *reader, size_t *n_rows)
{
  wire_reader_t frame;
  wire_reader_t list;
  uint32_t count = wire_enter (reader, &frame);
  kwf_row_t *rows
      = msgpack_zone_malloc (reader->zone, (count + 1) * sizeof *rows);
  if (!rows)
    reader->failed = true;
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      wire_enter (reader, &list);
      rows[i] = (kwf_row_t){ .key = wire_get_text (reader) };
      rows[i].version = wire_get_int (reader);
      rows[i].value = wire_get_value (reader);
      wire_leave (reader, &list);
    }
  wire_leave (reader, &frame);
  *n_rows = count;
  return rows;
}

static void
put_renew (wire_writer_t *writer, const kwf_renew_t *renew)
{
  wire_put_uint (writer, renew->incarnation);
  wire_put_int (writer, renew->counter);
  wire_put_int (writer, renew->epoch_left);
  wire_put_bool (writer, renew->leaving);
  wire_put_text_or_empty (writer, renew->caller_address);
  wire_put_text_or_empty (writer, renew->peer_address);
  wire_put_text_or_empty (writer, renew->data_centre);
  wire_put_int (writer, renew->load);
  wire_put_amount (writer, renew->cores);
  wire_put_int (writer, renew->after);
  wire_put_value (writer, renew->demand);
}

static void
read_renew (wire_reader_t *reader, kwf_renew_t *renew)
{
  renew->incarnation = wire_get_uint (reader);
  renew->counter = wire_get_int (reader);
  renew->epoch_left = wire_get_int (reader);
  renew->leaving = wire_get_bool (reader);
  renew->caller_address = wire_get_text_or_empty (reader);
  renew->peer_address = wire_get_text_or_empty (reader);
  renew->data_centre = wire_get_text_or_empty (reader);
  renew->load = wire_get_int (reader);
  renew->cores = wire_get_amount (reader);
  renew->after = wire_get_int (reader);
  renew->demand = wire_get_value (reader);
}

static void
put_renewed (wire_writer_t *writer, const kwf_renewed_t *renewed)
{
  wire_put_int (writer, renewed->counter);
  wire_put_bool (writer, renewed->renewed);
  wire_put_int (writer, renewed->revision);
  put_rows (writer, renewed->rows, renewed->n_rows);
}

static void
read_renewed (wire_reader_t *reader, kwf_renewed_t *renewed)
{
  renewed->counter = wire_get_int (reader);
  renewed->renewed = wire_get_bool (reader);
  renewed->revision = wire_get_int (reader);
  renewed->rows = read_rows (reader, &renewed->n_rows);
}

/* A negative amount, which asks for a part of the burst limit as well, is
   encoded as its absolute value and a flag.  */
static void
put_share_request (wire_writer_t *writer,
                   const kwf_share_request_t *share_request)
{
  wire_put_int (writer, share_request->epoch);
  wire_put_int (writer, share_request->number);
  wire_put_text (writer, share_request->organisation);
  wire_put_amount (writer, fabs (share_request->tokens));
  wire_put_bool (writer, share_request->tokens < 0);
  wire_put_bool (writer, share_request->ahead);
}

static void
read_share_request (wire_reader_t *reader, kwf_share_request_t *share_request)
{
  share_request->epoch = wire_get_int (reader);
  share_request->number = wire_get_int (reader);
  share_request->organisation = wire_get_text (reader);
  share_request->tokens = wire_get_amount (reader);
  if (wire_get_bool (reader))
    share_request->tokens = -share_request->tokens;
  share_request->ahead = wire_get_bool (reader);
}

/* The number is that of the share request.  The rate and cap are fractions, 0
   to 1, of the organisation's rate and burst; the level is an amount of
   tokens.  */
static void
put_share_grant (wire_writer_t *writer, const kwf_share_grant_t *share_grant)
{
  wire_put_int (writer, share_grant->epoch);
  wire_put_int (writer, share_grant->number);
  wire_put_text (writer, share_grant->organisation);
  wire_put_amount (writer, share_grant->rate);
  wire_put_amount (writer, share_grant->cap);
  wire_put_amount (writer, share_grant->level);
  if (share_grant->tells_left)
    wire_put_amount (writer, share_grant->left);
  if (share_grant->rate > 1 || share_grant->cap > 1)
    writer->failed = true;
}

static void
read_share_grant (wire_reader_t *reader, kwf_share_grant_t *share_grant)
{
  share_grant->epoch = wire_get_int (reader);
  share_grant->number = wire_get_int (reader);
  share_grant->organisation = wire_get_text (reader);
  share_grant->rate = wire_get_amount (reader);
  share_grant->cap = wire_get_amount (reader);
  share_grant->level = wire_get_amount (reader);
  share_grant->tells_left = wire_has_more (reader);
  if (share_grant->tells_left)
    share_grant->left = wire_get_amount (reader);
  if (share_grant->rate > 1 || share_grant->cap > 1)
    reader->failed = true;
}

static void
put_server_loads (wire_writer_t *writer, const kwf_server_loads_t *loads)
{
  wire_put_int (writer, loads->scope);
  wire_put_array (writer, loads->n_loads);
  for (size_t i = 0; i < loads->n_loads; i++)
    {
      wire_put_array (writer, 3);
      wire_put_text (writer, loads->loads[i].server);
      wire_put_int (writer, loads->loads[i].open);
      wire_put_int (writer, loads->loads[i].reading);
    }
}

static void
read_server_loads (wire_reader_t *reader, kwf_server_loads_t *loads)
{
  wire_reader_t frame;
  wire_reader_t item;
  int64_t scope = wire_get_int (reader);
  if (scope < KWF_LOAD_SCOPE_OWN || scope > KWF_LOAD_SCOPE_FLEET)
    reader->failed = true;
  loads->scope = (kwf_load_scope_t)scope;
  uint32_t count = wire_enter (reader, &frame);
  kwf_server_load_t *list
      = msgpack_zone_malloc (reader->zone, (count + 1) * sizeof *list);
  if (!list)
    reader->failed = true;
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    {
      wire_enter (reader, &item);
      list[i] = (kwf_server_load_t){ .server = wire_get_text (reader) };
      list[i].open = wire_get_int (reader);
      list[i].reading = wire_get_int (reader);
      wire_leave (reader, &item);
    }
  wire_leave (reader, &frame);
  loads->loads = list;
  loads->n_loads = count;
}

static void
put_unreachable (wire_writer_t *writer, const kwf_unreachable_t *unreachable)
{
  wire_put_array (writer, unreachable->n_names);
  for (size_t i = 0; i < unreachable->n_names; i++)
    wire_put_text (writer, unreachable->names[i]);
}

static void
read_unreachable (wire_reader_t *reader, kwf_unreachable_t *unreachable)
{
  wire_reader_t frame;
  uint32_t count = wire_enter (reader, &frame);
  const char **names
      = msgpack_zone_malloc (reader->zone, (count + 1) * sizeof *names);
  if (!names)
    reader->failed = true;
  for (uint32_t i = 0; i < count && !reader->failed; i++)
    names[i] = wire_get_text (reader);
  wire_leave (reader, &frame);
  unreachable->names = names;
  unreachable->n_names = count;
}

static void
put_server_limit (wire_writer_t *writer, const kwf_server_limit_t *limit)
{
  wire_put_text (writer, limit->server);
  wire_put_uint (writer, limit->incarnation);
  wire_put_int (writer, limit->version);
  wire_put_bool (writer, limit->named);
  wire_put_amount (writer, limit->rate_per_s);
  wire_put_bool (writer, limit->forwarded);
}

static void
read_server_limit (wire_reader_t *reader, kwf_server_limit_t *limit)
{
  limit->server = wire_get_text (reader);
  limit->incarnation = wire_get_uint (reader);
  limit->version = wire_get_int (reader);
  limit->named = wire_get_bool (reader);
  limit->rate_per_s = wire_get_amount (reader);
  limit->forwarded = wire_get_bool (reader);
}

static void
put_permit_ask (wire_writer_t *writer, const kwf_permit_ask_t *ask)
{
  put_server_limit (writer, &ask->limit);
  wire_put_int (writer, ask->number);
  wire_put_int (writer, ask->n);
  wire_put_int (writer, ask->patience_ns);
  wire_put_int (writer, ask->n_unspent);
  wire_put_int (writer, ask->n_unpermitted);
}

static void
read_permit_ask (wire_reader_t *reader, kwf_permit_ask_t *ask)
{
  read_server_limit (reader, &ask->limit);
  ask->number = wire_get_int (reader);
  ask->n = wire_get_int (reader);
  ask->patience_ns = wire_get_int (reader);
  ask->n_unspent = wire_get_int (reader);
  ask->n_unpermitted = wire_get_int (reader);
}

static void
put_permit_grant (wire_writer_t *writer, const kwf_permit_grant_t *grant)
{
  wire_put_text (writer, grant->server);
  wire_put_uint (writer, grant->incarnation);
  wire_put_int (writer, grant->number);
  wire_put_int (writer, grant->n);
  wire_put_int (writer, grant->start_ns);
  wire_put_int (writer, grant->spacing_ns);
  wire_put_int (writer, grant->free_ns);
}

static void
read_permit_grant (wire_reader_t *reader, kwf_permit_grant_t *grant)
{
  grant->server = wire_get_text (reader);
  grant->incarnation = wire_get_uint (reader);
  grant->number = wire_get_int (reader);
  grant->n = wire_get_int (reader);
  grant->start_ns = wire_get_int (reader);
  grant->spacing_ns = wire_get_int (reader);
  grant->free_ns = wire_get_int (reader);
}

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
      return 3;
    case KWF_MSG_SERVER_LEAVING:
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
      put_renew (writer, &message->renew);
      break;
    case KWF_MSG_RENEWED:
      put_renewed (writer, &message->renewed);
      break;
    case KWF_MSG_OUTAGE_QUERY:
      wire_put_int (writer, message->outage.number);
      break;
    case KWF_MSG_OUTAGE_REPLY:
      wire_put_int (writer, message->outage.number);
      wire_put_bool (writer, message->outage.silent);
      break;
    case KWF_MSG_SHARE_REQUEST:
      put_share_request (writer, &message->share_request);
      break;
    case KWF_MSG_SHARE_GRANT:
      put_share_grant (writer, &message->share_grant);
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
      put_rows (writer, message->state_rows.rows, message->state_rows.n_rows);
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
      put_rows (writer, message->feed.rows, message->feed.n_rows);
      break;
    case KWF_MSG_SERVER_LOADS:
      put_server_loads (writer, &message->loads);
      break;
    case KWF_MSG_LEADERSHIP_EXPIRED:
      wire_put_int (writer, message->leadership_expired);
      break;
    case KWF_MSG_UNREACHABLE:
      put_unreachable (writer, &message->unreachable);
      break;
    case KWF_MSG_SERVER_LEAVING:
      wire_put_text (writer, message->leaving.server);
      wire_put_uint (writer, message->leaving.incarnation);
      wire_put_int (writer, message->leaving.age_ns);
      wire_put_bool (writer, message->leaving.forwarded);
      break;
    case KWF_MSG_SERVER_LIMIT:
      put_server_limit (writer, &message->server_limit);
      break;
    case KWF_MSG_PERMIT_ASK:
      put_permit_ask (writer, &message->permit_ask);
      break;
    case KWF_MSG_PERMIT_GRANT:
      put_permit_grant (writer, &message->permit_grant);
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
      read_renew (reader, &message->renew);
      break;
    case KWF_MSG_RENEWED:
      read_renewed (reader, &message->renewed);
      break;
    case KWF_MSG_OUTAGE_QUERY:
      message->outage.number = wire_get_int (reader);
      break;
    case KWF_MSG_OUTAGE_REPLY:
      message->outage.number = wire_get_int (reader);
      message->outage.silent = wire_get_bool (reader);
      break;
    case KWF_MSG_SHARE_REQUEST:
      read_share_request (reader, &message->share_request);
      break;
    case KWF_MSG_SHARE_GRANT:
      read_share_grant (reader, &message->share_grant);
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
          = read_rows (reader, &message->state_rows.n_rows);
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
      message->feed.rows = read_rows (reader, &message->feed.n_rows);
      break;
    case KWF_MSG_SERVER_LOADS:
      read_server_loads (reader, &message->loads);
      break;
    case KWF_MSG_LEADERSHIP_EXPIRED:
      message->leadership_expired = wire_get_int (reader);
      break;
    case KWF_MSG_UNREACHABLE:
      read_unreachable (reader, &message->unreachable);
      break;
    case KWF_MSG_SERVER_LEAVING:
      message->leaving.server = wire_get_text (reader);
      message->leaving.incarnation = wire_get_uint (reader);
      message->leaving.age_ns = wire_get_int (reader);
      message->leaving.forwarded = wire_get_bool (reader);
      break;
    case KWF_MSG_SERVER_LIMIT:
      read_server_limit (reader, &message->server_limit);
      break;
    case KWF_MSG_PERMIT_ASK:
      read_permit_ask (reader, &message->permit_ask);
      break;
    case KWF_MSG_PERMIT_GRANT:
      read_permit_grant (reader, &message->permit_grant);
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
