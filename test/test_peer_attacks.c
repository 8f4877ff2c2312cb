/* Attacks on links by somebody who does not have the fleet secret, either
   between two instances or in the place of one.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-listener.h"
#include "common-peer.h"
#include "common-relay.h"
#include "net/peer-internal.h"

typedef enum
{
  TAMPER_NONE,
  TAMPER_FLIP,    /* one bit of the byte at PLACE is inverted */
  TAMPER_REPEAT,  /* the frame is passed on twice */
  TAMPER_DROP,    /* the frame is not passed on */
  TAMPER_REFLECT, /* the last frame of the other direction is sent instead */
  TAMPER_LENGTH,  /* the length becomes 1 MiB and one byte */
  TAMPER_RECORDED /* the frame with the same number of an earlier link is sent
                     instead */
} tamper_t;

typedef struct
{
  struct ev_loop *loop;
  test_peer_t *a; /* the opener of the link */
  test_peer_t *b;
  relay_t *relay;
  tamper_t tamper;
  bool opener; /* direction of the frame to tamper with; INDEX is its number */
  int index;
  int place; /* offset of the byte; negative: from the end of the frame */
  int tampered;
  GByteArray *other; /* the last frame of the other direction */
  GPtrArray *record; /* of GByteArray: the opener's frames on the first link */
} fixture_t;

static void
tamper (fixture_t *fixture, GByteArray *frame)
{
  guint32 length = GUINT32_TO_BE (KWF_MESSAGE_MAX_BYTES + 1);
  guint place = fixture->place < 0 ? frame->len + (guint)fixture->place
                                   : (guint)fixture->place;
  fixture->tampered++;
  switch (fixture->tamper)
    {
    case TAMPER_NONE:
      break;
    case TAMPER_FLIP:
      frame->data[place] ^= 0x10;
      break;
    case TAMPER_REPEAT:
      {
        GByteArray *copy = g_byte_array_new ();
        g_byte_array_append (copy, frame->data, frame->len);
        g_byte_array_append (frame, copy->data, copy->len);
        g_byte_array_free (copy, TRUE);
      }
      break;
    case TAMPER_DROP:
      g_byte_array_set_size (frame, 0);
      break;
    case TAMPER_REFLECT:
      g_byte_array_set_size (frame, 0);
      g_byte_array_append (frame, fixture->other->data, fixture->other->len);
      break;
    case TAMPER_LENGTH:
      memcpy (frame->data, &length, sizeof length);
      break;
    case TAMPER_RECORDED:
      {
        const GByteArray *old
            = g_ptr_array_index (fixture->record, (guint)fixture->index);
        g_byte_array_set_size (frame, 0);
        g_byte_array_append (frame, old->data, old->len);
      }
      break;
    }
}

static void
on_frame (relay_t *relay, bool opener, int index, GByteArray *frame,
          void *data)
{
  (void)relay;
  fixture_t *fixture = data;
  if (opener && (guint)index == fixture->record->len)
    {
      GByteArray *copy = g_byte_array_new ();
      g_byte_array_append (copy, frame->data, frame->len);
      g_ptr_array_add (fixture->record, copy);
    }
  if (opener != fixture->opener)
    {
      g_byte_array_set_size (fixture->other, 0);
      g_byte_array_append (fixture->other, frame->data, frame->len);
    }
  else if (index == fixture->index && fixture->tamper != TAMPER_NONE)
    tamper (fixture, frame);
}

static void
free_frame (void *data)
{
  g_byte_array_free (data, TRUE);
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->a = test_peer_start (fixture->loop, "a", 1, TEST_PEER_SECRET, 0);
  fixture->b = test_peer_start (fixture->loop, "b", 1, TEST_PEER_SECRET, 0);
  fixture->relay = relay_start (fixture->loop, peers_port (fixture->b->peers),
                                on_frame, fixture);
  fixture->other = g_byte_array_new ();
  fixture->record = g_ptr_array_new_with_free_func (free_frame);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  test_peer_stop (fixture->a);
  test_peer_stop (fixture->b);
  relay_free (fixture->relay);
  ev_loop_destroy (fixture->loop);
  g_byte_array_free (fixture->other, TRUE);
  g_ptr_array_free (fixture->record, TRUE);
  g_free (fixture);
  return 0;
}

/* Opens a link through the relay and sends two numbers each way.  */
static void
link_and_send (fixture_t *fixture)
{
  peers_link (fixture->a->peers, "b", fixture->relay->address);
  assert_true (run_until (fixture->loop, &fixture->a->up, 1, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->up, 1, 5.0));
  /* Frames 0 and 1 are the handshake, frame 2 is FORM.  */
  test_peer_send_got (fixture->a, "b", 42);
  test_peer_send_got (fixture->b, "a", 43);
  test_peer_send_got (fixture->a, "b", 44);
  test_peer_send_got (fixture->b, "a", 45);
}

/* Guards against accepting a frame that was altered on the way, in any byte of
   its body or tag, in both directions.  */
static void
altered_frames_close_the_link (void **state)
{
  (void)state;
  for (int opener = 0; opener < 2; opener++)
    for (int place = 4; place < 24; place++)
      {
        void *own;
        set_up (&own);
        fixture_t *fixture = own;
        test_peer_t *victim = opener ? fixture->b : fixture->a;
        fixture->tamper = TAMPER_FLIP;
        fixture->opener = opener;
        fixture->index = 2;
        fixture->place = place;
        link_and_send (fixture);
        assert_true (run_until (fixture->loop, &victim->lost, 1, 5.0));
        assert_int_equal (victim->messages, 0);
        assert_int_equal (victim->report.status, KWF_DENIED);
        assert_true (fixture->tampered >= 1);
        tear_down (&own);
      }
}

/* Guards against passing a frame to the handler twice, losing one unnoticed,
   and accepting a frame that is returned to its sender.  */
static void
repeated_dropped_and_reflected_frames (void **state)
{
  (void)state;
  static const tamper_t cases[]
      = { TAMPER_REPEAT, TAMPER_DROP, TAMPER_REFLECT };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      void *own;
      set_up (&own);
      fixture_t *fixture = own;
      fixture->tamper = cases[i];
      fixture->opener = true;
      fixture->index = 4;
      link_and_send (fixture);
      assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
      /* The frame before it, and the repeated frame once.  */
      assert_int_equal (fixture->b->messages,
                        cases[i] == TAMPER_REPEAT ? 2 : 1);
      assert_int_equal (fixture->b->report.status, KWF_DENIED);
      tear_down (&own);
    }
}

/* Guards against a length that makes the receiver buffer without limit.  */
static void
oversized_frames_close_the_link (void **state)
{
  fixture_t *fixture = *state;
  fixture->tamper = TAMPER_LENGTH;
  fixture->opener = true;
  fixture->index = 2;
  link_and_send (fixture);
  assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
  assert_int_equal (fixture->b->messages, 0);
  assert_int_equal (fixture->b->report.status, KWF_LIMIT);
}

/* Guards against a change to HELLO or PROOF, such as another instance id or
   incarnation, that the proofs do not cover.  */
static void
altered_handshakes_fail (void **state)
{
  (void)state;
  for (int opener = 0; opener < 2; opener++)
    for (int index = 0; index < 2; index++)
      for (int place = -1; place >= -36; place--)
        {
          void *own;
          set_up (&own);
          fixture_t *fixture = own;
          fixture->tamper = TAMPER_FLIP;
          fixture->opener = opener;
          fixture->index = index;
          fixture->place = place;
          peers_link (fixture->a->peers, "b", fixture->relay->address);
          assert_true (run_until (fixture->loop, &fixture->a->lost, 1, 5.0));
          /* Only the acceptor can be up, when its own proof is altered.  */
          assert_int_equal (fixture->a->up, 0);
          if (!opener && index == 1)
            assert_int_equal (fixture->b->messages, 0);
          else
            assert_int_equal (fixture->b->up, 0);
          assert_true (fixture->a->reports + fixture->b->reports >= 1);
          tear_down (&own);
        }
}

/* Guards against accepting a handshake or message of an earlier link on a new
   one.  */
static void
recorded_frames_are_refused (void **state)
{
  (void)state;
  for (int index = 0; index < 3; index++)
    {
      void *own;
      set_up (&own);
      fixture_t *fixture = own;
      link_and_send (fixture);
      assert_true (run_until (fixture->loop, &fixture->b->messages, 2, 5.0));
      peers_unlink (fixture->a->peers, "b");
      assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
      fixture->tamper = TAMPER_RECORDED;
      fixture->opener = true;
      fixture->index = index;
      fixture->a->up = fixture->b->up = 0;
      peers_link (fixture->a->peers, "b", fixture->relay->address);
      if (index == 2)
        {
          assert_true (run_until (fixture->loop, &fixture->a->up, 1, 5.0));
          test_peer_send_got (fixture->a, "b", 42);
        }
      assert_true (run_until (fixture->loop, &fixture->a->lost, 1, 5.0));
      assert_int_equal (fixture->b->messages, 2);
      assert_int_equal (fixture->b->report.status, KWF_DENIED);
      if (index < 2)
        assert_int_equal (fixture->a->up + fixture->b->up, 0);
      tear_down (&own);
    }
}

/* Guards against texts that somebody between two instances can read.  */
static void
frames_are_encrypted (void **state)
{
  static const char text[] = "nobody may read this organisation's name";
  fixture_t *fixture = *state;
  link_and_send (fixture);
  kwf_message_t message
      = { .type = KWF_MSG_SHARE_REQUEST,
          .share_request = { .epoch = 1, .organisation = text, .tokens = 5 } };
  assert_int_equal (peers_send (fixture->a->peers, "b", &message), KWF_OK);
  assert_true (run_until (fixture->loop, &fixture->b->messages, 3, 5.0));
  const GByteArray *last
      = g_ptr_array_index (fixture->record, fixture->record->len - 1);
  assert_true (last->len > sizeof text);
  for (guint i = 0; i < fixture->record->len; i++)
    {
      const GByteArray *frame = g_ptr_array_index (fixture->record, i);
      assert_null (memmem (frame->data, frame->len, text, sizeof text - 1));
    }
}

/* Guards against accepting an instance with another secret, and against
   logging the rejection at every attempt.  */
static void
wrong_secret_is_denied (void **state)
{
  fixture_t *fixture = *state;
  test_peer_t *stranger
      = test_peer_start (fixture->loop, "c", 1, "0123456789abcdeF", 0);
  test_peer_link (stranger, "a", fixture->a);
  assert_true (run_until (fixture->loop, &stranger->lost, 3, 5.0));
  test_peer_link (fixture->b, "c", stranger);
  assert_true (run_until (fixture->loop, &fixture->b->lost, 3, 5.0));
  assert_int_equal (stranger->up + fixture->a->up + fixture->b->up, 0);
  assert_int_equal (fixture->a->reports, 1);
  assert_int_equal (fixture->a->report.status, KWF_DENIED);
  assert_string_equal (fixture->a->report.step, "greet");
  assert_string_equal (fixture->a->report.peer, "127.0.0.1");
  test_peer_stop (stranger);
}

typedef enum
{
  MIRROR_FRAMES, /* sends back the frames that arrive */
  MIRROR_PROOF,  /* sends HELLO with an id and key of its own, then the
                    opener's PROOF back */
  OTHER_VERSION,
  LENGTH_ABOVE_LIMIT, /* sends only a length, HELLO_MAX_BYTES + 1 */
  EMPTY_FRAME,
  MESSAGE_FIRST,
  NO_MSGPACK,
  N_IMPOSTORS
} impostor_t;

static void
send_frame (connection_t *connection, const void *bytes, size_t size)
{
  guint32 length = GUINT32_TO_BE ((guint32)size);
  connection_write (connection, (const char *)&length, sizeof length);
  connection_write (connection, bytes, size);
}

static void
send_own_hello (connection_t *connection, const hello_t *theirs)
{
  GByteArray *out = g_byte_array_new ();
  unsigned char private_key[HELLO_KEY_BYTES];
  hello_t hello = *theirs;
  hello_make_key_pair (&hello, private_key);
  g_strlcpy (hello.instance, "x", sizeof hello.instance);
  hello_write (out, &hello);
  send_frame (connection, out->data, out->len);
  g_byte_array_free (out, TRUE);
}

/* Answers a frame as a server without the fleet secret that is at the address
   of instance "x".  */
static void
answer_as_impostor (connection_t *connection, const char *bytes, void *data)
{
  impostor_t kind = *(const impostor_t *)data;
  guint32 length;
  hello_t hello;
  if (connection->in->len < sizeof length)
    return;
  memcpy (&length, bytes, sizeof length);
  size_t size = GUINT32_FROM_BE (length);
  if (connection->in->len < size + sizeof length)
    return;
  const char *body = bytes + sizeof length;
  bool first = connection->requests++ == 0;
  switch (kind)
    {
    case MIRROR_FRAMES:
      send_frame (connection, body, size);
      break;
    case MIRROR_PROOF:
      if (!first)
        send_frame (connection, body, size);
      else if (hello_read (&hello, body, size, NULL))
        send_own_hello (connection, &hello);
      break;
    case OTHER_VERSION:
      {
        char *copy = g_malloc (size);
        memcpy (copy, body, size);
        copy[1] = 2;
        send_frame (connection, copy, size);
        g_free (copy);
      }
      break;
    case LENGTH_ABOVE_LIMIT:
      connection_write (connection, "\0\0\x02\x01", 4);
      break;
    case EMPTY_FRAME:
      connection_write (connection, "\0\0\0\0", 4);
      break;
    case MESSAGE_FIRST:
      send_frame (connection, "\x93\x01\x08\x01", 4);
      break;
    case NO_MSGPACK:
      send_frame (connection, "GET / HTTP/1.1\r\n\r\n", 18);
      break;
    case N_IMPOSTORS:
      break;
    }
  g_string_truncate (connection->in, 0);
}

/* Guards against accepting a reflected proof, another version, or frames that
   are out of order or outside the limits.  */
static void
impostors_are_refused (void **state)
{
  (void)state;
  static const kwf_status_t expected[] = {
    [MIRROR_FRAMES] = KWF_DENIED,  [MIRROR_PROOF] = KWF_DENIED,
    [OTHER_VERSION] = KWF_INVALID, [LENGTH_ABOVE_LIMIT] = KWF_LIMIT,
    [EMPTY_FRAME] = KWF_LIMIT,     [MESSAGE_FIRST] = KWF_INVALID,
    [NO_MSGPACK] = KWF_INVALID,
  };
  for (impostor_t kind = 0; kind < N_IMPOSTORS; kind++)
    {
      void *own;
      set_up (&own);
      fixture_t *fixture = own;
      listener_t *listener
          = listener_start (fixture->loop, answer_as_impostor, &kind);
      listener->raw = true;
      peers_link (fixture->a->peers, "x", listener->address);
      assert_true (run_until (fixture->loop, &fixture->a->lost, 1, 5.0));
      assert_int_equal (fixture->a->up, 0);
      assert_int_equal (fixture->a->messages, 0);
      assert_int_equal (fixture->a->reports, 1);
      assert_int_equal (fixture->a->report.status, expected[kind]);
      assert_string_equal (fixture->a->report.peer, listener->address);
      if (kind == OTHER_VERSION)
        assert_non_null (strstr (fixture->a->report.message, "version 2"));
      if (kind == MIRROR_PROOF)
        assert_non_null (strstr (fixture->a->report.message, "proof"));
      listener_stop (listener);
      tear_down (&own);
    }
}

/* Guards against proofs and keys that are equal in both directions or do not
   depend on every field.  */
static void
proofs_depend_on_everything (void **state)
{
  (void)state;
  unsigned char first[HELLO_KEY_BYTES];
  unsigned char other[HELLO_KEY_BYTES];
  hello_t opener = { .instance = "a", .incarnation = 1 };
  hello_t acceptor = { .instance = "b", .incarnation = 1 };
  link_secret_t secret = { .opener = &opener, .acceptor = &acceptor };
  hello_fleet_key (secret.fleet_key, (const unsigned char *)TEST_PEER_SECRET,
                   16);
  hello_proof (first, &secret, LINK_ROLE_OPENER);
  for (int i = 0; i < 8; i++)
    {
      hello_t o = opener;
      hello_t c = acceptor;
      link_role_t role = LINK_ROLE_OPENER;
      link_secret_t s = secret;
      s.opener = &o;
      s.acceptor = &c;
      if (i == 0)
        role = LINK_ROLE_ACCEPTOR;
      else if (i == 1)
        o.public_key[31] = 1;
      else if (i == 2)
        c.public_key[0] = 1;
      else if (i == 3)
        o.incarnation = 2;
      else if (i == 4)
        c.instance[0] = 'c';
      else if (i == 5)
        s.fleet_key[0] ^= 1;
      else if (i == 6)
        s.shared[0] ^= 1;
      else
        {
          o = acceptor;
          c = opener;
        }
      hello_proof (other, &s, role);
      assert_memory_not_equal (first, other, sizeof first);
      hello_session_key (other, &s, role);
      assert_memory_not_equal (first, other, sizeof first);
    }
  hello_session_key (first, &secret, LINK_ROLE_OPENER);
  hello_session_key (other, &secret, LINK_ROLE_ACCEPTOR);
  assert_memory_not_equal (first, other, sizeof first);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (altered_frames_close_the_link),
    cmocka_unit_test (repeated_dropped_and_reflected_frames),
    TEST (oversized_frames_close_the_link),
    cmocka_unit_test (altered_handshakes_fail),
    cmocka_unit_test (recorded_frames_are_refused),
    TEST (frames_are_encrypted),
    TEST (wrong_secret_is_denied),
    cmocka_unit_test (impostors_are_refused),
    cmocka_unit_test (proofs_depend_on_everything),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
