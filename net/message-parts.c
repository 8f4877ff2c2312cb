#include "message-parts.h"

#include <math.h>

void
message_put_rows (wire_writer_t *writer, const kwf_row_t *rows, size_t n_rows)
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

const kwf_row_t *
message_read_rows (wire_reader_t *reader, size_t *n_rows)
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

void
message_put_renew (wire_writer_t *writer, const kwf_renew_t *renew)
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

void
message_read_renew (wire_reader_t *reader, kwf_renew_t *renew)
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

void
message_put_renewed (wire_writer_t *writer, const kwf_renewed_t *renewed)
{
  wire_put_int (writer, renewed->counter);
  wire_put_bool (writer, renewed->renewed);
  wire_put_int (writer, renewed->revision);
  message_put_rows (writer, renewed->rows, renewed->n_rows);
}

void
message_read_renewed (wire_reader_t *reader, kwf_renewed_t *renewed)
{
  renewed->counter = wire_get_int (reader);
  renewed->renewed = wire_get_bool (reader);
  renewed->revision = wire_get_int (reader);
  renewed->rows = message_read_rows (reader, &renewed->n_rows);
}

/* A negative amount, which asks for a part of the burst limit as well, is
   encoded as its absolute value and a flag.  */
void
message_put_share_request (wire_writer_t *writer,
                           const kwf_share_request_t *share_request)
{
  wire_put_int (writer, share_request->epoch);
  wire_put_int (writer, share_request->number);
  wire_put_text (writer, share_request->organisation);
  wire_put_amount (writer, fabs (share_request->tokens));
  wire_put_bool (writer, share_request->tokens < 0);
  wire_put_bool (writer, share_request->ahead);
}

void
message_read_share_request (wire_reader_t *reader,
                            kwf_share_request_t *share_request)
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
void
message_put_share_grant (wire_writer_t *writer,
                         const kwf_share_grant_t *share_grant)
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

void
message_read_share_grant (wire_reader_t *reader,
                          kwf_share_grant_t *share_grant)
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

void
message_put_server_loads (wire_writer_t *writer,
                          const kwf_server_loads_t *loads)
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

void
message_read_server_loads (wire_reader_t *reader, kwf_server_loads_t *loads)
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

void
message_put_names (wire_writer_t *writer, const char *const *names, size_t n)
{
  wire_put_array (writer, n);
  for (size_t i = 0; i < n; i++)
    wire_put_text (writer, names[i]);
}

const char *const *
message_read_names (wire_reader_t *reader, size_t *n)
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
  *n = count;
  return names;
}

void
message_put_server_limit (wire_writer_t *writer,
                          const kwf_server_limit_t *limit)
{
  wire_put_text (writer, limit->server);
  wire_put_uint (writer, limit->incarnation);
  wire_put_int (writer, limit->version);
  wire_put_bool (writer, limit->named);
  wire_put_amount (writer, limit->rate_per_s);
  wire_put_bool (writer, limit->forwarded);
}

void
message_read_server_limit (wire_reader_t *reader, kwf_server_limit_t *limit)
{
  limit->server = wire_get_text (reader);
  limit->incarnation = wire_get_uint (reader);
  limit->version = wire_get_int (reader);
  limit->named = wire_get_bool (reader);
  limit->rate_per_s = wire_get_amount (reader);
  limit->forwarded = wire_get_bool (reader);
}

void
message_put_permit_ask (wire_writer_t *writer, const kwf_permit_ask_t *ask)
{
  message_put_server_limit (writer, &ask->limit);
  wire_put_int (writer, ask->number);
  wire_put_int (writer, ask->n);
  wire_put_int (writer, ask->patience_ns);
  wire_put_int (writer, ask->n_unspent);
  wire_put_int (writer, ask->n_unpermitted);
}

void
message_read_permit_ask (wire_reader_t *reader, kwf_permit_ask_t *ask)
{
  message_read_server_limit (reader, &ask->limit);
  ask->number = wire_get_int (reader);
  ask->n = wire_get_int (reader);
  ask->patience_ns = wire_get_int (reader);
  ask->n_unspent = wire_get_int (reader);
  ask->n_unpermitted = wire_get_int (reader);
}

void
message_put_permit_grant (wire_writer_t *writer,
                          const kwf_permit_grant_t *grant)
{
  wire_put_text (writer, grant->server);
  wire_put_uint (writer, grant->incarnation);
  wire_put_int (writer, grant->number);
  wire_put_int (writer, grant->n);
  wire_put_int (writer, grant->start_ns);
  wire_put_int (writer, grant->spacing_ns);
  wire_put_int (writer, grant->free_ns);
}

void
message_read_permit_grant (wire_reader_t *reader, kwf_permit_grant_t *grant)
{
  grant->server = wire_get_text (reader);
  grant->incarnation = wire_get_uint (reader);
  grant->number = wire_get_int (reader);
  grant->n = wire_get_int (reader);
  grant->start_ns = wire_get_int (reader);
  grant->spacing_ns = wire_get_int (reader);
  grant->free_ns = wire_get_int (reader);
}
