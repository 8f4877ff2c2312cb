/* Links between instances: one for each pair; links that are idle, lost,
   refused, replaced or blocked.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-listener.h"
#include "common-peer.h"
#include "common-process.h"
#include "common-relay.h"
#include "net/peer-internal.h"

typedef struct
{
  struct ev_loop *loop;
  test_peer_t *a;
  test_peer_t *b;
} fixture_t;

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->a = test_peer_start (fixture->loop, "a", 1, TEST_PEER_SECRET, 0);
  fixture->b = test_peer_start (fixture->loop, "b", 1, TEST_PEER_SECRET, 0);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  test_peer_stop (fixture->a);
  test_peer_stop (fixture->b);
  ev_loop_destroy (fixture->loop);
  g_free (fixture);
  return 0;
}

static void
link_up (fixture_t *fixture)
{
  test_peer_link (fixture->a, "b", fixture->b);
  assert_true (run_until (fixture->loop, &fixture->a->up, 1, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->up, 1, 5.0));
}

/* Guards against a link that only one side considers up, and against lost or
   reordered messages.  The accepting side never called peers_link.  */
static void
messages_pass_both_ways (void **state)
{
  fixture_t *fixture = *state;
  assert_int_equal (test_peer_send_got (fixture->a, "b", 1), KWF_CLOSED);
  link_up (fixture);
  assert_string_equal (fixture->b->last_up, "a");
  assert_int_equal (fixture->b->incarnation, 1);
  for (int i = 1; i <= 1000; i++)
    {
      assert_int_equal (test_peer_send_got (fixture->a, "b", i), KWF_OK);
      assert_int_equal (test_peer_send_got (fixture->b, "a", -i), KWF_OK);
    }
  assert_int_equal (fixture->b->messages, 0);
  assert_true (run_until (fixture->loop, &fixture->a->messages, 1000, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->messages, 1000, 5.0));
  assert_int_equal (fixture->b->message.share_ack, 1000);
  assert_int_equal (fixture->a->message.share_ack, -1000);
  assert_int_equal (test_peer_send_got (fixture->a, "c", 1), KWF_CLOSED);
  uint64_t sent;
  uint64_t received;
  peers_traffic (fixture->a->peers, &sent, &received);
  assert_true (sent > 20000 && received > 20000);
}

/* Guards against a large message that is not delivered, or that stalls or
   closes the link.  */
static void
large_messages_pass (void **state)
{
  fixture_t *fixture = *state;
  link_up (fixture);
  char *text = g_strnfill (200000, 'x');
  kwf_row_t row = { "list/plans", 1, text };
  kwf_message_t message = { .type = KWF_MSG_STATE_ROWS,
                            .state_rows = { .rows = &row, .n_rows = 1 } };
  for (int i = 1; i <= 5; i++)
    {
      assert_int_equal (peers_send (fixture->a->peers, "b", &message), KWF_OK);
      assert_true (run_until (fixture->loop, &fixture->b->messages, i, 5.0));
    }
  g_free (text);
  assert_int_equal (fixture->a->down, 0);
}

/* Guards against closing a link whose sides are alive but have nothing to
   send.  */
static void
idle_links_stay (void **state)
{
  fixture_t *fixture = *state;
  link_up (fixture);
  run_for (fixture->loop, 1.0);
  assert_int_equal (fixture->a->down + fixture->b->down, 0);
  assert_int_equal (fixture->a->messages + fixture->b->messages, 0);
}

/* Guards against links that are closed after a pause of the whole machine:
   each side reads its sockets before the other one can send.  */
static void
links_stay_when_both_sides_stood_still (void **state)
{
  fixture_t *fixture = *state;
  link_up (fixture);
  for (int ms = 100; ms <= 1000; ms += 100)
    {
      run_for (fixture->loop, 0.03 + ms * 1e-4);
      pause_ms (ms);
      run_for (fixture->loop, 0.2);
      if (fixture->a->down + fixture->b->down)
        fail_msg ("a pause of %d ms closed links: %d of a, %d of b", ms,
                  fixture->a->down, fixture->b->down);
    }
  assert_int_equal (fixture->a->reports + fixture->b->reports, 0);
}

static void
swallow (connection_t *connection, const char *bytes, void *data)
{
  (void)bytes;
  (void)data;
  g_string_truncate (connection->in, 0);
}

/* Guards against reporting a lost link as refused: during an outage of the
   platform, an instance counts as stopped only if its address refuses
   connections.  */
static void
refused_and_lost_differ (void **state)
{
  fixture_t *fixture = *state;
  peers_link (fixture->a->peers, "x", unused_address ());
  assert_int_equal (fixture->a->down, 0);
  assert_true (run_until (fixture->loop, &fixture->a->refused_down, 3, 5.0));
  assert_int_equal (fixture->a->lost, 0);
  peers_unlink (fixture->a->peers, "x");
  int before = fixture->a->down;
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->a->down, before);

  link_up (fixture);
  test_peer_stop (fixture->b);
  fixture->b = NULL;
  assert_true (run_until (fixture->loop, &fixture->a->lost, 1, 5.0));
  assert_int_equal (fixture->a->refused_down, before);
  assert_true (
      run_until (fixture->loop, &fixture->a->refused_down, before + 1, 5.0));
}

/* Guards against waiting without limit for the other side of a handshake.  */
static void
silent_handshake_ends (void **state)
{
  fixture_t *fixture = *state;
  listener_t *listener = listener_start (fixture->loop, swallow, NULL);
  listener->raw = true;
  peers_link (fixture->a->peers, "x", listener->address);
  assert_true (run_until (fixture->loop, &fixture->a->lost, 2, 5.0));
  assert_int_equal (fixture->a->report.status, KWF_TIMEOUT);
  /* The same fault is reported once.  */
  assert_int_equal (fixture->a->reports, 1);
  listener_stop (listener);
}

/* Guards against a half-open link that stays up after the other side's machine
   was lost.  */
static void
silent_link_is_lost (void **state)
{
  fixture_t *fixture = *state;
  relay_t *relay = relay_start (fixture->loop, peers_port (fixture->b->peers),
                                NULL, NULL);
  peers_link (fixture->a->peers, "b", relay->address);
  assert_true (run_until (fixture->loop, &fixture->b->up, 1, 5.0));
  assert_true (run_until (fixture->loop, &fixture->a->up, 1, 5.0));
  relay->stalled = true;
  assert_true (run_until (fixture->loop, &fixture->a->lost, 1, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
  assert_int_equal (fixture->a->report.status, KWF_TIMEOUT);
  assert_non_null (strstr (fixture->a->report.message, "instance b"));
  relay_free (relay);
}

/* Guards against unlimited memory for messages to an instance that does not
   read them.  */
static void
unread_messages_close_the_link (void **state)
{
  fixture_t *fixture = *state;
  relay_t *relay = relay_start (fixture->loop, peers_port (fixture->b->peers),
                                NULL, NULL);
  peers_link (fixture->a->peers, "b", relay->address);
  assert_true (run_until (fixture->loop, &fixture->a->up, 1, 5.0));
  relay->stalled = true;
  char *text = g_strnfill (100000, 'x');
  kwf_row_t row = { "list/plans", 1, text };
  kwf_message_t message = { .type = KWF_MSG_STATE_ROWS,
                            .state_rows = { .rows = &row, .n_rows = 1 } };
  int sent = 0;
  while (sent < 10 && peers_send (fixture->a->peers, "b", &message) == KWF_OK)
    sent++;
  assert_in_range (sent, 1, 3);
  assert_int_equal (fixture->a->down, 0);
  assert_true (run_until (fixture->loop, &fixture->a->lost, 1, 5.0));
  assert_int_equal (fixture->a->report.status, KWF_LIMIT);
  g_free (text);
  relay_free (relay);
}

/* Guards against a block that lets messages or links through, and against a
   link that stays down after the block.  */
static void
cut_and_reconnect (void **state)
{
  fixture_t *fixture = *state;
  link_up (fixture);
  peers_block (fixture->a->peers, "b", true);
  assert_int_equal (test_peer_send_got (fixture->a, "b", 1), KWF_CLOSED);
  assert_true (run_until (fixture->loop, &fixture->a->lost, 3, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
  assert_int_equal (fixture->a->refused_down, 0);
  /* The other side cannot open a link either.  */
  test_peer_link (fixture->b, "a", fixture->a);
  run_for (fixture->loop, 0.3);
  assert_int_equal (fixture->a->up, 1);
  assert_int_equal (fixture->b->up, 1);
  assert_int_equal (fixture->a->reports, 0);
  peers_block (fixture->a->peers, "b", false);
  assert_true (run_until (fixture->loop, &fixture->a->up, 2, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->up, 2, 5.0));
  assert_int_equal (test_peer_send_got (fixture->a, "b", 7), KWF_OK);
  assert_true (run_until (fixture->loop, &fixture->b->messages, 1, 5.0));
}

/* Guards against giving up a link after a pause of the process although the
   last frame of the handshake has already arrived.  */
static void
paused_handshake_goes_on (void **state)
{
  (void)state;
  struct ev_loop *loops[]
      = { ev_loop_new (EVFLAG_AUTO), ev_loop_new (EVFLAG_AUTO) };
  test_peer_t *a = test_peer_start (loops[0], "a", 1, TEST_PEER_SECRET, 0);
  test_peer_t *b = test_peer_start (loops[1], "b", 1, TEST_PEER_SECRET, 0);
  test_peer_link (b, "a", a);
  for (int i = 0; i < 1000 && !a->up; i++)
    ev_run (loops[i % 2], EVRUN_NOWAIT);
  ev_run (loops[0], EVRUN_NOWAIT); /* A's PROOF is written.  */
  pause_ms (TEST_PEER_HELLO_MS + 50);
  run_for (loops[1], 0.15); /* B sends a PING.  */
  run_for (loops[0], 0.05);
  assert_string_equal (a->log->str, "+b ");
  assert_string_equal (b->log->str, "+a ");
  assert_int_equal (b->reports, 0);
  test_peer_stop (a);
  test_peer_stop (b);
  ev_loop_destroy (loops[0]);
  ev_loop_destroy (loops[1]);
}

/* Guards against two links, no link, or a change of link that loses messages,
   when both sides connect at the same time.  */
static void
both_connect_at_once (void **state)
{
  (void)state;
  for (int round = 0; round < 60; round++)
    {
      struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
      test_peer_t *a = test_peer_start (loop, "a", 1, TEST_PEER_SECRET, 0);
      test_peer_t *b = test_peer_start (loop, "b", 1, TEST_PEER_SECRET, 0);
      test_peer_t *nodes[] = { a, b };
      const char *names[] = { "a", "b" };
      int first = round % 2;
      test_peer_link (nodes[first], names[!first], nodes[!first]);
      /* The second side starts up to a whole handshake later.  */
      for (int i = 0; i < round / 2 % 10; i++)
        ev_run (loop, EVRUN_NOWAIT);
      test_peer_link (nodes[!first], names[first], nodes[first]);
      assert_true (run_until (loop, &a->up, 1, 5.0));
      assert_true (run_until (loop, &b->up, 1, 5.0));
      run_for (loop, 0.02);
      assert_string_equal (a->log->str, "+b ");
      assert_string_equal (b->log->str, "+a ");
      assert_int_equal (test_peer_open_links (a), 1);
      assert_int_equal (test_peer_open_links (b), 1);
      assert_int_equal (test_peer_send_got (a, "b", round), KWF_OK);
      assert_int_equal (test_peer_send_got (b, "a", round), KWF_OK);
      assert_true (run_until (loop, &b->messages, 1, 5.0));
      assert_true (run_until (loop, &a->messages, 1, 5.0));
      assert_int_equal (a->reports + b->reports, 0);
      test_peer_stop (a);
      test_peer_stop (b);
      ev_loop_destroy (loop);
    }
}

/* Guards against keeping the wrong one of two links: when both sides connect
   at exactly the same time, the link opened by the instance with the smaller
   id stays.  */
static void
link_of_the_smaller_id_stays (void **state)
{
  fixture_t *fixture = *state;
  test_peer_link (fixture->b, "a", fixture->a);
  test_peer_link (fixture->a, "b", fixture->b);
  assert_true (run_until (fixture->loop, &fixture->a->up, 1, 5.0));
  assert_true (run_until (fixture->loop, &fixture->b->up, 1, 5.0));
  run_for (fixture->loop, 0.05);
  assert_int_equal (test_peer_open_links (fixture->a), 1);
  const link_t *link = g_ptr_array_index (fixture->a->peers->links, 0);
  assert_int_equal (link->role, LINK_ROLE_OPENER);
}

/* Guards against a link to a dead process that keeps out its restarted
   successor, and against an old process that replaces its successor.  */
static void
newer_incarnation_replaces (void **state)
{
  fixture_t *fixture = *state;
  link_up (fixture);
  test_peer_t *newer
      = test_peer_start (fixture->loop, "b", 2, TEST_PEER_SECRET, 0);
  test_peer_link (newer, "a", fixture->a);
  assert_true (run_until (fixture->loop, &newer->up, 1, 5.0));
  assert_true (run_until (fixture->loop, &fixture->a->up, 2, 5.0));
  assert_int_equal (fixture->a->incarnation, 2);
  assert_string_equal (fixture->a->log->str, "+b -b +b ");
  assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
  test_peer_link (fixture->b, "a", fixture->a);
  run_for (fixture->loop, 0.2);
  assert_int_equal (fixture->a->up, 2);
  assert_int_equal (fixture->b->up, 1);
  test_peer_stop (newer);
}

/* Guards against a callback after peers_unlink, also when a handler calls it
   for the link whose message it handles.  */
static void
unlink_from_a_handler (void **state)
{
  fixture_t *fixture = *state;
  link_up (fixture);
  fixture->a->unlink_on_message = "b";
  for (int i = 0; i < 3; i++)
    test_peer_send_got (fixture->b, "a", i);
  assert_true (run_until (fixture->loop, &fixture->b->lost, 1, 5.0));
  run_for (fixture->loop, 0.1);
  assert_int_equal (fixture->a->messages, 1);
  assert_int_equal (fixture->a->down, 0);
  assert_int_equal (fixture->a->up, 1);
  assert_int_equal (test_peer_open_links (fixture->a), 0);
}

/* Guards against sending messages to another instance than the intended
   one.  */
static void
wrong_instance_at_an_address (void **state)
{
  fixture_t *fixture = *state;
  peers_link (fixture->a->peers, "c", fixture->b->address);
  assert_true (run_until (fixture->loop, &fixture->a->lost, 2, 5.0));
  assert_int_equal (fixture->a->report.status, KWF_DENIED);
  assert_int_equal (fixture->a->up + fixture->b->up, 0);
  peers_unlink (fixture->a->peers, "c");
  /* A link to itself.  */
  peers_link (fixture->b->peers, "b", fixture->b->address);
  peers_link (fixture->b->peers, "x", fixture->b->address);
  assert_true (run_until (fixture->loop, &fixture->b->reports, 1, 5.0));
  assert_int_equal (fixture->b->report.status, KWF_DENIED);
  assert_int_equal (fixture->b->up, 0);
}

/* Guards against starting without authentication because a secret is too
   short, with an empty instance id, or without a listener.  */
static void
weak_options_are_refused (void **state)
{
  fixture_t *fixture = *state;
  kwf_error_t error;
  peers_options_t options = { .instance = "c",
                              .address = "127.0.0.1:0",
                              .secrets = { "0123456789abcde" } };
  assert_null (peers_start (fixture->loop, &options, &fixture->a->handler,
                            NULL, &error));
  assert_int_equal (error.status, KWF_INVALID);
  options.secrets[0] = TEST_PEER_SECRET;
  options.secrets[1] = "0123456789abcde";
  assert_null (peers_start (fixture->loop, &options, &fixture->a->handler,
                            NULL, &error));
  assert_int_equal (error.status, KWF_INVALID);
  options.secrets[1] = NULL;
  options.instance = "";
  assert_null (peers_start (fixture->loop, &options, &fixture->a->handler,
                            NULL, &error));
  options.instance = "c";
  options.address = fixture->a->address;
  assert_null (peers_start (fixture->loop, &options, &fixture->a->handler,
                            NULL, &error));
  assert_int_equal (error.status, KWF_UNAVAILABLE);
  assert_string_equal (error.peer, fixture->a->address);
}

/* Replaces the secrets of NODE and waits for as long as a lost link needs to
   be noticed.  */
static void
set_secrets (test_peer_t *node, const char *first, const char *second)
{
  const char *secrets[PEERS_MAX_SECRETS] = { first, second };
  kwf_error_t error;
  assert_int_equal (peers_set_secrets (node->peers, secrets, &error), KWF_OK);
  run_for (node->loop, 0.1);
}

/* Guards against a change of the fleet secret that closes links, or keeps
   instances apart while only some have the new secret, and against links that
   outlive the secret that they were made with.  */
static void
secret_is_replaced_step_by_step (void **state)
{
  static const char next[] = "fedcba9876543210";
  fixture_t *fixture = *state;
  kwf_error_t error;
  const char *const weak[PEERS_MAX_SECRETS] = { next, "short" };
  link_up (fixture);
  assert_int_equal (peers_set_secrets (fixture->a->peers, weak, &error),
                    KWF_INVALID);
  set_secrets (fixture->a, TEST_PEER_SECRET, next);
  set_secrets (fixture->b, TEST_PEER_SECRET, next);
  set_secrets (fixture->b, next, TEST_PEER_SECRET);
  assert_string_equal (fixture->a->log->str, "+b ");
  /* Each opens a link with its own first secret.  */
  test_peer_t *c
      = test_peer_start (fixture->loop, "c", 1, TEST_PEER_SECRET, 0);
  test_peer_t *d = test_peer_start (fixture->loop, "d", 1, next, 0);
  test_peer_link (c, "b", fixture->b);
  assert_true (run_until (fixture->loop, &c->up, 1, 5.0));
  test_peer_link (d, "a", fixture->a);
  assert_true (run_until (fixture->loop, &d->up, 1, 5.0));
  /* The old secret is withdrawn: links that were made with it end.  */
  set_secrets (fixture->a, next, NULL);
  set_secrets (fixture->b, next, NULL);
  assert_int_equal (c->lost > 0, true);
  assert_int_equal (d->down, 0);
  assert_true (run_until (fixture->loop, &fixture->a->up, 3, 5.0));
  assert_int_equal (test_peer_send_got (fixture->a, "b", 1), KWF_OK);
  assert_true (run_until (fixture->loop, &fixture->b->messages, 1, 5.0));
  assert_int_equal (c->up, 1);
  test_peer_stop (c);
  test_peer_stop (d);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (messages_pass_both_ways),
    TEST (large_messages_pass),
    TEST (idle_links_stay),
    TEST (links_stay_when_both_sides_stood_still),
    TEST (refused_and_lost_differ),
    TEST (silent_handshake_ends),
    cmocka_unit_test (paused_handshake_goes_on),
    TEST (silent_link_is_lost),
    TEST (unread_messages_close_the_link),
    TEST (cut_and_reconnect),
    TEST (both_connect_at_once),
    TEST (link_of_the_smaller_id_stays),
    TEST (newer_incarnation_replaces),
    TEST (unlink_from_a_handler),
    TEST (wrong_instance_at_an_address),
    TEST (weak_options_are_refused),
    TEST (secret_is_replaced_step_by_step),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
