/* Messages between instances: each type is unchanged after encoding and
   decoding, and no malformed frame is read beyond its end or accepted in
   part.  */

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "lib/revision.h"
#include "net/message-form.h"
#include "net/message.h"

static const kwf_row_t rows[] = {
  { "list/plans", 12, "{\"text\":\"a\"}" },
  { "key/00ff", INT64_MAX, NULL },
  { "session/i1", 0, "" },
};

static const char *const names[] = { "i1", "i2" };

static const kwf_server_load_t loads[] = { { "s1", 3, 1 }, { "s2", 0, 0 } };

static const kwf_message_t samples[] = {
  { .type = KWF_MSG_PING },
  { .type = KWF_MSG_LEAVE },
  { .type = KWF_MSG_LEADERSHIP_EXPIRED, .leadership_expired = 41 },
  { .type = KWF_MSG_SERVER_LEAVING, .leaving = { "s1", 5, 12, true } },
  { .type = KWF_MSG_SERVER_LIMIT,
    .server_limit = { "s1", 5, 3, true, 1.9, true } },
  { .type = KWF_MSG_PERMIT_ASK,
    .permit_ask = { .limit = { "s1", 5, 4, false, 0, false },
                    .number = 7,
                    .n = 2,
                    .patience_ns = 5000000000,
                    .n_unspent = 1,
                    .n_unpermitted = 3 } },
  { .type = KWF_MSG_PERMIT_GRANT,
    .permit_grant = { "s1", 5, 7, 2, -1000, 500000000, 11 } },
  { .type = KWF_MSG_UNREACHABLE,
    .unreachable = { .names = names, .n_names = 2 } },
  { .type = KWF_MSG_RENEW,
    .renew = { .incarnation = UINT64_MAX,
               .counter = 17,
               .epoch_left = -1,
               .leaving = true,
               .caller_address = "127.0.0.1:80",
               .peer_address = "[::1]:9",
               .data_centre = "",
               .load = 38,
               .cores = 0.12,
               .after = INT64_MAX,
               .demand = "{\"demand\":{\"m/x\":0.5}}" } },
  { .type = KWF_MSG_DEMAND, .demand_text = "{}" },
  { .type = KWF_MSG_FORM, .form = 2 },
  { .type = KWF_MSG_TABLES_QUERY, .tables = { .number = 3 } },
  { .type = KWF_MSG_TABLES_REPLY, .tables = { 3, INT64_MAX, 0 } },
  { .type = KWF_MSG_REACH, .reach = { "i1", 5, true, true } },
  { .type = KWF_MSG_REACH_QUERY, .reach_query = { 4, 250000000, names, 2 } },
  { .type = KWF_MSG_REACH_REPLY, .reach_reply = { 4, names, 2 } },
  { .type = KWF_MSG_RESIDENCY,
    .residency = { .server = "s1",
                   .incarnation = 3,
                   .model = "m",
                   .adapter = "a1",
                   .present = true } },
  { .type = KWF_MSG_FEED,
    .feed = { .table = 2,
              .after = 40,
              .revision = 44,
              .as_of_ns = 7,
              .rows = rows,
              .n_rows = 3 } },
  { .type = KWF_MSG_SERVER_LOADS,
    .loads
    = { .scope = KWF_LOAD_SCOPE_CENTRE, .loads = loads, .n_loads = 2 } },
  { .type = KWF_MSG_CRASH,
    .crash = { .fingerprint = 7,
               .server = "",
               .incarnation = KWF_CRASH_REQUEST_FINISHED } },
  { .type = KWF_MSG_RENEWED,
    .renewed = { .counter = 17,
                 .renewed = true,
                 .revision = 12,
                 .rows = rows,
                 .n_rows = 3 } },
  { .type = KWF_MSG_OUTAGE_QUERY, .outage = { .number = 5 } },
  { .type = KWF_MSG_OUTAGE_REPLY, .outage = { .number = 5, .silent = true } },
  { .type = KWF_MSG_SHARE_REQUEST,
    .share_request = { .epoch = 3,
                       .number = 300,
                       .organisation = "w\xc3\xbc"
                                       "st",
                       .tokens = 1e9 } },
  { .type = KWF_MSG_SHARE_REQUEST,
    .share_request = { .epoch = 3,
                       .number = 301,
                       .organisation = "o",
                       .tokens = -20.5,
                       .ahead = true } },
  { .type = KWF_MSG_SHARE_GRANT,
    .share_grant = { .epoch = 3,
                     .number = 70000,
                     .organisation = "o",
                     .rate = 0.1,
                     .cap = 0.25,
                     .level = 2.5 } },
  { .type = KWF_MSG_SHARE_ACK, .share_ack = INT64_MIN },
  { .type = KWF_MSG_WITHDRAW,
    .withdraw = { .digest = "00ff", .lifted = true } },
  { .type = KWF_MSG_STATE_REQUEST, .state_after = 5000000000 },
  { .type = KWF_MSG_STATE_ROWS, .state_rows = { .revision = 1 } },
  { .type = KWF_MSG_STATE_ROWS,
    .state_rows = { .revision = 1, .rows = rows, .n_rows = 2 } },
  { .type = KWF_MSG_CRASH,
    .crash = { .fingerprint = UINT64_MAX, .server = "e1", .incarnation = 0 } },
};
enum
{
  N_SAMPLES = sizeof samples / sizeof samples[0]
};

static void
assert_same_rows (const kwf_row_t *a, size_t n_a, const kwf_row_t *b,
                  size_t n_b)
{
  assert_int_equal (n_a, n_b);
  for (size_t i = 0; i < n_a; i++)
    {
      assert_string_equal (a[i].key, b[i].key);
      assert_true (a[i].version == b[i].version);
      assert_int_equal (!a[i].value, !b[i].value);
      if (a[i].value)
        assert_string_equal (a[i].value, b[i].value);
    }
}

static void
assert_same_limit (const kwf_server_limit_t *a, const kwf_server_limit_t *b)
{
  assert_string_equal (a->server, b->server);
  assert_true (a->incarnation == b->incarnation);
  assert_true (a->version == b->version);
  assert_int_equal (a->named, b->named);
  assert_true (a->rate_per_s == b->rate_per_s);
  assert_int_equal (a->forwarded, b->forwarded);
}

static void
assert_same (const kwf_message_t *a, const kwf_message_t *b)
{
  assert_int_equal (a->type, b->type);
  switch (a->type)
    {
    case KWF_MSG_PING:
    case KWF_MSG_LEAVE:
      break;
    case KWF_MSG_RENEW:
      assert_true (a->renew.incarnation == b->renew.incarnation);
      assert_true (a->renew.counter == b->renew.counter);
      assert_true (a->renew.epoch_left == b->renew.epoch_left);
      assert_int_equal (a->renew.leaving, b->renew.leaving);
      assert_string_equal (a->renew.caller_address, b->renew.caller_address);
      assert_string_equal (a->renew.peer_address, b->renew.peer_address);
      assert_string_equal (a->renew.data_centre, b->renew.data_centre);
      assert_true (a->renew.load == b->renew.load);
      assert_true (a->renew.cores == b->renew.cores);
      assert_true (a->renew.after == b->renew.after);
      assert_int_equal (g_strcmp0 (a->renew.demand, b->renew.demand), 0);
      break;
    case KWF_MSG_RENEWED:
      assert_true (a->renewed.counter == b->renewed.counter);
      assert_int_equal (a->renewed.renewed, b->renewed.renewed);
      assert_true (a->renewed.revision == b->renewed.revision);
      assert_same_rows (a->renewed.rows, a->renewed.n_rows, b->renewed.rows,
                        b->renewed.n_rows);
      break;
    case KWF_MSG_OUTAGE_QUERY:
    case KWF_MSG_OUTAGE_REPLY:
      assert_true (a->outage.number == b->outage.number);
      assert_int_equal (a->outage.silent, b->outage.silent);
      break;
    case KWF_MSG_SHARE_REQUEST:
      assert_true (a->share_request.epoch == b->share_request.epoch);
      assert_true (a->share_request.number == b->share_request.number);
      assert_string_equal (a->share_request.organisation,
                           b->share_request.organisation);
      assert_true (a->share_request.tokens == b->share_request.tokens);
      assert_true (a->share_request.ahead == b->share_request.ahead);
      break;
    case KWF_MSG_SHARE_GRANT:
      assert_true (a->share_grant.epoch == b->share_grant.epoch);
      assert_true (a->share_grant.number == b->share_grant.number);
      assert_string_equal (a->share_grant.organisation,
                           b->share_grant.organisation);
      assert_true (a->share_grant.rate == b->share_grant.rate);
      assert_true (a->share_grant.cap == b->share_grant.cap);
      assert_true (a->share_grant.level == b->share_grant.level);
      break;
    case KWF_MSG_SHARE_ACK:
      assert_true (a->share_ack == b->share_ack);
      break;
    case KWF_MSG_WITHDRAW:
      assert_string_equal (a->withdraw.digest, b->withdraw.digest);
      assert_int_equal (a->withdraw.lifted, b->withdraw.lifted);
      break;
    case KWF_MSG_FORM:
      assert_true (a->form == b->form);
      break;
    case KWF_MSG_TABLES_QUERY:
    case KWF_MSG_TABLES_REPLY:
      assert_true (a->tables.number == b->tables.number);
      assert_true (a->tables.servers == b->tables.servers);
      assert_true (a->tables.own == b->tables.own);
      break;
    case KWF_MSG_REACH:
      assert_string_equal (a->reach.instance, b->reach.instance);
      assert_true (a->reach.incarnation == b->reach.incarnation);
      assert_int_equal (a->reach.stranded, b->reach.stranded);
      assert_int_equal (a->reach.forwarded, b->reach.forwarded);
      break;
    case KWF_MSG_REACH_QUERY:
      assert_true (a->reach_query.number == b->reach_query.number);
      assert_true (a->reach_query.age_ns == b->reach_query.age_ns);
      assert_int_equal (a->reach_query.n_servers, b->reach_query.n_servers);
      for (size_t i = 0; i < a->reach_query.n_servers; i++)
        assert_string_equal (a->reach_query.servers[i],
                             b->reach_query.servers[i]);
      break;
    case KWF_MSG_REACH_REPLY:
      assert_true (a->reach_reply.number == b->reach_reply.number);
      assert_int_equal (a->reach_reply.n_servers, b->reach_reply.n_servers);
      for (size_t i = 0; i < a->reach_reply.n_servers; i++)
        assert_string_equal (a->reach_reply.servers[i],
                             b->reach_reply.servers[i]);
      break;
    case KWF_MSG_STATE_REQUEST:
      assert_true (a->state_after == b->state_after);
      break;
    case KWF_MSG_STATE_ROWS:
      assert_true (a->state_rows.revision == b->state_rows.revision);
      assert_same_rows (a->state_rows.rows, a->state_rows.n_rows,
                        b->state_rows.rows, b->state_rows.n_rows);
      break;
    case KWF_MSG_CRASH:
      assert_true (a->crash.fingerprint == b->crash.fingerprint);
      assert_string_equal (a->crash.server, b->crash.server);
      assert_true (a->crash.incarnation == b->crash.incarnation);
      break;
    case KWF_MSG_RESIDENCY:
      assert_string_equal (a->residency.server, b->residency.server);
      assert_true (a->residency.incarnation == b->residency.incarnation);
      assert_string_equal (a->residency.model, b->residency.model);
      assert_string_equal (a->residency.adapter, b->residency.adapter);
      assert_int_equal (a->residency.present, b->residency.present);
      break;
    case KWF_MSG_FEED:
      assert_true (a->feed.table == b->feed.table);
      assert_true (a->feed.after == b->feed.after);
      assert_true (a->feed.revision == b->feed.revision);
      assert_true (a->feed.as_of_ns == b->feed.as_of_ns);
      assert_same_rows (a->feed.rows, a->feed.n_rows, b->feed.rows,
                        b->feed.n_rows);
      break;
    case KWF_MSG_SERVER_LOADS:
      assert_int_equal (a->loads.scope, b->loads.scope);
      assert_int_equal (a->loads.n_loads, b->loads.n_loads);
      for (size_t i = 0; i < a->loads.n_loads; i++)
        {
          assert_string_equal (a->loads.loads[i].server,
                               b->loads.loads[i].server);
          assert_true (a->loads.loads[i].open == b->loads.loads[i].open);
          assert_true (a->loads.loads[i].reading == b->loads.loads[i].reading);
        }
      break;
    case KWF_MSG_SERVER_LEAVING:
      assert_string_equal (a->leaving.server, b->leaving.server);
      assert_true (a->leaving.incarnation == b->leaving.incarnation);
      assert_true (a->leaving.age_ns == b->leaving.age_ns);
      assert_int_equal (a->leaving.forwarded, b->leaving.forwarded);
      break;
    case KWF_MSG_SERVER_LIMIT:
      assert_same_limit (&a->server_limit, &b->server_limit);
      break;
    case KWF_MSG_PERMIT_ASK:
      assert_same_limit (&a->permit_ask.limit, &b->permit_ask.limit);
      assert_true (a->permit_ask.number == b->permit_ask.number);
      assert_true (a->permit_ask.n == b->permit_ask.n);
      assert_true (a->permit_ask.patience_ns == b->permit_ask.patience_ns);
      assert_true (a->permit_ask.n_unspent == b->permit_ask.n_unspent);
      assert_true (a->permit_ask.n_unpermitted == b->permit_ask.n_unpermitted);
      break;
    case KWF_MSG_PERMIT_GRANT:
      assert_string_equal (a->permit_grant.server, b->permit_grant.server);
      assert_true (a->permit_grant.incarnation == b->permit_grant.incarnation);
      assert_true (a->permit_grant.number == b->permit_grant.number);
      assert_true (a->permit_grant.n == b->permit_grant.n);
      assert_true (a->permit_grant.start_ns == b->permit_grant.start_ns);
      assert_true (a->permit_grant.spacing_ns == b->permit_grant.spacing_ns);
      assert_true (a->permit_grant.free_ns == b->permit_grant.free_ns);
      break;
    case KWF_MSG_LEADERSHIP_EXPIRED:
      assert_true (a->leadership_expired == b->leadership_expired);
      break;
    case KWF_MSG_UNREACHABLE:
      assert_int_equal (a->unreachable.n_names, b->unreachable.n_names);
      for (size_t i = 0; i < a->unreachable.n_names; i++)
        assert_string_equal (a->unreachable.names[i], b->unreachable.names[i]);
      break;
    case KWF_MSG_DEMAND:
      assert_int_equal (g_strcmp0 (a->demand_text, b->demand_text), 0);
      break;
    }
}

/* Guards against a field that is lost, cut off or exchanged with another.  */
static void
every_type_survives_the_round_trip (void **state)
{
  (void)state;
  msgpack_zone zone;
  msgpack_zone_init (&zone, 4096);
  for (size_t i = 0; i < N_SAMPLES; i++)
    {
      GByteArray *bytes = g_byte_array_new ();
      kwf_message_t message;
      kwf_error_t error;
      assert_int_equal (message_encode (bytes, &samples[i]), KWF_OK);
      assert_int_equal (
          message_decode (&message, bytes->data, bytes->len, &zone, &error),
          KWF_OK);
      /* Strings must not point into the frame.  */
      memset (bytes->data, 0xff, bytes->len);
      assert_same (&samples[i], &message);
      g_byte_array_free (bytes, TRUE);
      msgpack_zone_clear (&zone);
    }
  msgpack_zone_destroy (&zone);
}

/* Guards against encoding a message that the receiver would refuse, closing
   the link.  */
static void
unsendable_messages_are_refused (void **state)
{
  (void)state;
  static const kwf_row_t no_key = { .version = 1 };
  char *large = g_strnfill (KWF_MESSAGE_MAX_BYTES - 100, 'x');
  char *text = g_strnfill (1025, 'x');
  const kwf_row_t large_rows[]
      = { { "a", 1, large }, { "b", 1, "0123456789" }, { "c", 1, text } };
  const kwf_message_t bad[] = {
    { .type = 0 },
    { .type = KWF_MSG_REACH_REPLY + 1 },
    { .type = KWF_MSG_RENEW },
    { .type = KWF_MSG_SHARE_REQUEST, .share_request = { .organisation = "" } },
    { .type = KWF_MSG_SHARE_REQUEST,
      .share_request = { .organisation = "\xff" } },
    { .type = KWF_MSG_SHARE_REQUEST,
      .share_request = { .organisation = text } },
    { .type = KWF_MSG_SHARE_REQUEST,
      .share_request = { .organisation = "o", .tokens = -INFINITY } },
    { .type = KWF_MSG_SHARE_REQUEST,
      .share_request = { .organisation = "o", .tokens = NAN } },
    { .type = KWF_MSG_SHARE_GRANT,
      .share_grant = { .organisation = "o", .cap = 1.5, .level = 2 } },
    { .type = KWF_MSG_SHARE_GRANT,
      .share_grant = { .organisation = "o", .rate = 1.5, .level = 2 } },
    { .type = KWF_MSG_STATE_ROWS,
      .state_rows = { .rows = &no_key, .n_rows = 1 } },
  };
  GByteArray *bytes = g_byte_array_new ();
  g_byte_array_append (bytes, (const guint8 *)"x", 1);
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    assert_int_equal (message_encode (bytes, &bad[i]), KWF_INVALID);
  kwf_message_t state_message
      = { .type = KWF_MSG_STATE_ROWS,
          .state_rows = { .rows = large_rows, .n_rows = 3 } };
  assert_int_equal (message_encode (bytes, &state_message), KWF_LIMIT);
  assert_int_equal (bytes->len, 1);
  state_message.state_rows.n_rows = 1;
  assert_int_equal (message_encode (bytes, &state_message), KWF_OK);
  g_byte_array_free (bytes, TRUE);
  g_free (large);
  g_free (text);
}

/* Guards against accepting fields of a wrong type, number or order, and
   against lengths that make the reader allocate without limit.  */
static void
wrong_frames_are_refused (void **state)
{
  (void)state;
#define FRAME(bytes)                                                          \
  {                                                                           \
    (bytes), sizeof (bytes) - 1                                               \
  }
  static const struct
  {
    const char *bytes;
    size_t size;
  } bad[] = {
    FRAME (""),
    FRAME ("\x01"),             /* not an array */
    FRAME ("\x90"),             /* no version */
    FRAME ("\x91\x01"),         /* no type */
    FRAME ("\x92\x02\x01"),     /* version 2 */
    FRAME ("\x92\x00\x01"),     /* version 0 */
    FRAME ("\x92\x01\x00"),     /* type 0 */
    FRAME ("\x92\x01\x0d"),     /* unknown type */
    FRAME ("\x92\x01\xff"),     /* negative type */
    FRAME ("\x92\x01\xa1\x01"), /* type is a string */
    FRAME ("\x92\x01\x01\x00"), /* a byte too many */
    FRAME ("\x93\x01\x01\x00"), /* a field too many */
    FRAME ("\x92\x01\x08"),     /* SHARE_ACK without its field */
    FRAME ("\x93\x01\x08"),     /* SHARE_ACK cut off */
    FRAME ("\x93\x01\x08\xc0"), /* SHARE_ACK of nil */
    FRAME ("\x93\x01\x08\xc3"), /* SHARE_ACK of true */
    FRAME ("\x93\x01\x08\xca\x3f\x80\x00\x00"),
    FRAME ("\x93\x01\x08\xcf\xff\xff\xff\xff\xff\xff\xff\xff"),
    FRAME ("\x94\x01\x09\xa0\xc2"),     /* WITHDRAW, empty digest */
    FRAME ("\x94\x01\x09\xa1\x00\xc2"), /* zero byte in the digest */
    FRAME ("\x94\x01\x09\xa1\xff\xc2"), /* digest is not UTF-8 */
    FRAME ("\x94\x01\x09\xc4\x01x\xc2"),
    FRAME ("\x94\x01\x09\xa1x\x01"),
    FRAME ("\x94\x01\x0b\x01\xdd\xff\xff\xff\xff"),
    FRAME ("\x94\x01\x0b\x01\xdd\x00\xff\xff\xff"),
    FRAME ("\x94\x01\x0b\x01\xdf\xff\xff\xff\xff"),
    FRAME ("\x94\x01\x0b\x01\xdb\xff\xff\xff\xff"),
    FRAME ("\x94\x01\x0b\x01\xc9\xff\xff\xff\xff\x00"),
    FRAME ("\x94\x01\x0b\x01\x91\x91\x91\x91\x91\x90"),
    FRAME ("\x94\x01\x0b\x01\x91\x92\xa1x\x01"),
    FRAME ("\x94\x01\x0b\x01\x91\x94\xa1x\x01\xc0\xc0"),
    FRAME ("\x94\x01\x0b\x01\x91\x93\xa1x\x01\x91\xc0"),
    FRAME ("\x94\x01\x0b\x01\x81\xa1x\x01"),
  };
  msgpack_zone zone;
  msgpack_zone_init (&zone, 4096);
  kwf_message_t message;
  kwf_error_t error;
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      error.message[0] = 0;
      if (message_decode (&message, bad[i].bytes, bad[i].size, &zone, &error)
          != KWF_INVALID)
        fail_msg ("frame %zu was taken", i);
      assert_true (error.message[0]);
    }
  /* A message of a newer build, after which the link goes on.  */
  assert_int_equal (
      message_decode (&message, "\x93\x01\x7f\x01", 4, &zone, &error),
      KWF_NOT_FOUND);
  assert_int_equal (
      message_decode (&message, "\x94\x01\x0b\x01\x90", 5, &zone, NULL),
      KWF_OK);
  msgpack_zone_destroy (&zone);
}

static uint64_t random_state = 20261204;

/* xorshift64, so that the run is the same on every machine.  */
static uint32_t
random_below (uint32_t bound)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return bound ? (uint32_t)(random_state >> 32) % bound : 0;
}

static void
mutate (GByteArray *bytes)
{
  static const guint8 special[]
      = { 0x00, 0x7f, 0x80, 0x90, 0xa0, 0xc0, 0xc1, 0xc4, 0xc7, 0xc9, 0xca,
          0xcb, 0xcf, 0xd3, 0xd9, 0xdb, 0xdc, 0xdd, 0xde, 0xdf, 0xff };
  for (uint32_t i = random_below (3) + 1; i > 0 && bytes->len; i--)
    {
      uint32_t place = random_below (bytes->len);
      guint8 byte = special[random_below (sizeof special)];
      switch (random_below (6))
        {
        case 0:
          bytes->data[place] ^= (guint8)(1u << random_below (8));
          break;
        case 1:
          bytes->data[place] = byte;
          break;
        case 2:
          g_byte_array_set_size (bytes, place);
          break;
        case 3:
          g_byte_array_remove_index (bytes, place);
          break;
        case 4:
          g_byte_array_append (bytes, &byte, 1);
          break;
        default:
          g_byte_array_append (bytes, bytes->data + place, 1);
          memmove (bytes->data + place + 1, bytes->data + place,
                   bytes->len - place - 1);
          bytes->data[place] = byte;
        }
    }
}

static void
fill_at_random (GByteArray *bytes)
{
  g_byte_array_set_size (bytes, random_below (64));
  for (guint i = 0; i < bytes->len; i++)
    bytes->data[i] = (guint8)random_below (256);
  if (bytes->len > 2 && random_below (2))
    memcpy (bytes->data, "\x94\x01\x0b", 3);
}

/* Decodes a copy that ends with its allocation, so that the sanitizer reports
   a read beyond it.  A message that is accepted must be unchanged after
   another round.  Returns whether it was accepted.  */
static bool
decode_and_check (const GByteArray *bytes, msgpack_zone *zone)
{
  char *copy = malloc (bytes->len ? bytes->len : 1);
  kwf_message_t message;
  kwf_message_t again;
  assert_non_null (copy);
  if (bytes->len)
    memcpy (copy, bytes->data, bytes->len);
  bool taken
      = message_decode (&message, copy, bytes->len, zone, NULL) == KWF_OK;
  free (copy);
  if (taken)
    {
      GByteArray *encoded = g_byte_array_new ();
      assert_int_equal (message_encode (encoded, &message), KWF_OK);
      assert_int_equal (
          message_decode (&again, encoded->data, encoded->len, zone, NULL),
          KWF_OK);
      assert_same (&message, &again);
      g_byte_array_free (encoded, TRUE);
    }
  msgpack_zone_clear (zone);
  return taken;
}

/* Guards against a crash or a read out of bounds on a frame from a faulty
   instance.  */
static void
mutated_frames_do_no_harm (void **state)
{
  (void)state;
  GByteArray *bytes = g_byte_array_new ();
  msgpack_zone zone;
  msgpack_zone_init (&zone, 4096);
  int taken = 0;
  for (int i = 0; i < 200000; i++)
    {
      g_byte_array_set_size (bytes, 0);
      if (i % 8 == 7)
        fill_at_random (bytes);
      else
        {
          message_encode (bytes, &samples[i % N_SAMPLES]);
          mutate (bytes);
        }
      taken += decode_and_check (bytes, &zone);
    }
  /* If almost all frames were refused or accepted, the test would show
     little.  */
  assert_in_range (taken, 2000, 190000);
  msgpack_zone_destroy (&zone);
  g_byte_array_free (bytes, TRUE);
}

/* Messages as the builds 40f308a, a5e8cdf and 53b9628 encode them.  */
static const char *const recorded[] = {
  "97010f010a0cce004c4b409293a6636f6e6669670ba27b7d93a4676f6e650cc0",

  "96010304c30c9293a6636f6e6669670ba27b7d93a4676f6e650cc0",
  "93010a0a",
  "94010b0c9293a6636f6e6669670ba27b7d93a4676f6e650cc0",
  "9301120b",
};

static const kwf_row_t recorded_rows[]
    = { { "config", 11, "{}" }, { "gone", 12, NULL } };

/* The same in the era 3 of the store.  */
static void
set_era (kwf_message_t *message, kwf_row_t *era_rows)
{
  for (size_t i = 0; i < G_N_ELEMENTS (recorded_rows); i++)
    {
      era_rows[i] = recorded_rows[i];
      era_rows[i].version = revision_make (3, era_rows[i].version);
    }
  if (message->type == KWF_MSG_FEED)
    {
      message->feed.after = revision_make (3, message->feed.after);
      message->feed.revision = revision_make (3, message->feed.revision);
      message->feed.rows = era_rows;
    }
  else if (message->type == KWF_MSG_RENEW)
    message->renew.after = revision_make (3, message->renew.after);
  else if (message->type == KWF_MSG_RENEWED)
    {
      message->renewed.revision = revision_make (3, message->renewed.revision);
      message->renewed.rows = era_rows;
    }
  else if (message->type == KWF_MSG_STATE_REQUEST)
    message->state_after = revision_make (3, message->state_after);
  else if (message->type == KWF_MSG_STATE_ROWS)
    {
      message->state_rows.revision
          = revision_make (3, message->state_rows.revision);
      message->state_rows.rows = era_rows;
    }
  else if (message->type == KWF_MSG_LEADERSHIP_EXPIRED)
    message->leadership_expired
        = revision_make (3, message->leadership_expired);
}

static GByteArray *
bytes_of (const char *hex)
{
  GByteArray *bytes = g_byte_array_new ();
  for (; *hex; hex += 2)
    {
      guint8 byte = (guint8)(g_ascii_xdigit_value (hex[0]) << 4
                             | g_ascii_xdigit_value (hex[1]));
      g_byte_array_append (bytes, &byte, 1);
    }
  return bytes;
}

/* Guards against messages that an earlier build misreads: what it encoded is
   read, and what it is sent is what it would have encoded.  */
static void
earlier_builds_misread_messages (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (recorded); i++)
    {
      kwf_message_t message;
      kwf_error_t error;
      kwf_row_t era_rows[G_N_ELEMENTS (recorded_rows)];
      msgpack_zone zone;
      msgpack_zone_init (&zone, 1024);
      GByteArray *wanted = bytes_of (recorded[i]);
      assert_int_equal (
          message_decode (&message, wanted->data, wanted->len, &zone, &error),
          KWF_OK);
      assert_false (message_has_revision (&message));
      set_era (&message, era_rows);
      assert_true (message_has_revision (&message));
      GArray *copy = message_to_versions (&message);
      assert_false (message_has_revision (&message));
      GByteArray *sent = g_byte_array_new ();
      assert_int_equal (message_encode (sent, &message), KWF_OK);
      assert_int_equal (sent->len, wanted->len);
      assert_memory_equal (sent->data, wanted->data, wanted->len);
      if (copy)
        g_array_unref (copy);
      g_byte_array_unref (sent);
      g_byte_array_unref (wanted);
      msgpack_zone_destroy (&zone);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (earlier_builds_misread_messages),
    cmocka_unit_test (every_type_survives_the_round_trip),
    cmocka_unit_test (unsendable_messages_are_refused),
    cmocka_unit_test (wrong_frames_are_refused),
    cmocka_unit_test (mutated_frames_do_no_harm),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
