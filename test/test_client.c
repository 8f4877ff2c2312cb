/* HTTP client: the outcome of each way in which a transfer can end, reuse of
   connections, requests that must not be sent twice.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "common-script.h"
#include "net/client.h"

typedef struct
{
  struct ev_loop *loop;
  client_t *client;
  listener_t *listener;
  const char *script; /* what the server does (common-script.h) */
  GString *seen;      /* all requests */
  int ended;
  int done;
  int failed;
  int status;
  kwf_failure_t failure;
  kwf_error_t error;
  GString *body;   /* of the last answer, or all stream bytes */
  GString *bodies; /* of all whole answers, each followed by a space */
  int chunks;
  int heads;
  kwf_handle_t cancel_on_data;
  bool header_seen; /* "X-Test: a b" was in a whole answer */
} fixture_t;

static void
serve (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  g_string_append (fixture->seen, request);
  script_serve (connection, fixture->script);
}

static void
on_data (void *data, kwf_handle_t transfer, int status,
         const char *content_type, const char *bytes, size_t size)
{
  fixture_t *fixture = data;
  assert_string_equal (content_type ? content_type : "text/event-stream",
                       "text/event-stream");
  fixture->status = status;
  fixture->chunks++;
  g_string_append_len (fixture->body, bytes, (gssize)size);
  if (fixture->cancel_on_data == transfer)
    client_cancel (fixture->client, transfer);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  fixture_t *fixture = data;
  for (size_t i = 0; i < answer->n_headers; i++)
    if (g_str_equal (answer->headers[i].name, "X-Test"))
      fixture->header_seen = g_str_equal (answer->headers[i].value, "a b");
  fixture->ended++;
  fixture->done++;
  fixture->status = answer->status;
  assert_int_equal (answer->body[answer->body_size], 0);
  g_string_append_len (fixture->body, answer->body, (gssize)answer->body_size);
  g_string_append_printf (fixture->bodies, "%s ", answer->body);
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  fixture_t *fixture = data;
  fixture->ended++;
  fixture->failed++;
  fixture->failure = failure;
  fixture->error = *error;
}

static const client_handler_t whole = { .done = on_done, .failed = on_failed };
static const client_handler_t stream
    = { .data = on_data, .done = on_done, .failed = on_failed };

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  client_options_t options = { .max_answer_bytes = 1000, .connect_ms = 500 };
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->client = client_new (fixture->loop, &options);
  fixture->listener = listener_start (fixture->loop, serve, fixture);
  fixture->script = "ok";
  fixture->seen = g_string_new (NULL);
  fixture->body = g_string_new (NULL);
  fixture->bodies = g_string_new (NULL);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  client_free (fixture->client);
  listener_stop (fixture->listener);
  ev_loop_destroy (fixture->loop);
  g_string_free (fixture->seen, TRUE);
  g_string_free (fixture->body, TRUE);
  g_string_free (fixture->bodies, TRUE);
  g_free (fixture);
  return 0;
}

/* A GET request to the fixture's listener.  */
static client_request_t
get_request (const fixture_t *fixture)
{
  return (client_request_t){ .method = "GET",
                             .address = fixture->listener->address,
                             .target = "/x?y=1",
                             .timeout_ns = 2 * KWF_NS_PER_S };
}

static void
run (fixture_t *fixture, const client_request_t *request,
     const client_handler_t *handler)
{
  int before = fixture->ended;
  g_string_truncate (fixture->body, 0);
  client_start (fixture->client, request, handler, fixture);
  assert_int_equal (fixture->ended, before);
  assert_true (run_until (fixture->loop, &fixture->ended, before + 1, 5.0));
  assert_int_equal (fixture->ended, before + 1);
  assert_int_equal (client_open_transfers (fixture->client), 0);
}

static void
get_one (fixture_t *fixture, const char *script)
{
  client_request_t request = get_request (fixture);
  fixture->script = script;
  run (fixture, &request, &whole);
}

/* Guards against opening a connection for each request.  */
static void
connections_are_reused (void **state)
{
  fixture_t *fixture = *state;
  for (int i = 0; i < 5; i++)
    {
      get_one (fixture, "ok");
      assert_int_equal (fixture->status, 200);
      assert_string_equal (fixture->body->str, "hello");
    }
  assert_int_equal (fixture->listener->accepted, 1);
  assert_non_null (strstr (fixture->seen->str, "GET /x?y=1 HTTP/1.1\r\n"));
}

/* Guards against losing the headers of an answer.  */
static void
answers_carry_their_headers (void **state)
{
  fixture_t *fixture = *state;
  get_one (fixture, "header");
  assert_int_equal (fixture->status, 200);
  assert_true (fixture->header_seen);
}

/* Guards against options of the previous request that stay set on a pooled
   easy handle.  */
static void
pooled_handles_keep_nothing (void **state)
{
  fixture_t *fixture = *state;
  header_t headers[] = { { "Content-Type", "a/b" },
                         { "X-Empty", "" },
                         { "Content-Length", "7" },
                         { "Transfer-Encoding", "chunked" } };
  client_request_t post = get_request (fixture);
  post.method = "POST";
  post.body = "data";
  post.body_size = 4;
  post.headers = headers;
  post.n_headers = 4;
  run (fixture, &post, &whole);
  assert_non_null (strstr (fixture->seen->str, "\r\nContent-Type: a/b\r\n"));
  assert_non_null (strstr (fixture->seen->str, "\r\nX-Empty:\r\n"));
  assert_non_null (strstr (fixture->seen->str, "\r\nContent-Length: 4\r\n"));
  assert_null (strstr (fixture->seen->str, "chunked"));
  assert_null (strstr (fixture->seen->str, "Content-Length: 7"));
  assert_non_null (strstr (fixture->seen->str, "\r\n\r\ndata"));
  g_string_truncate (fixture->seen, 0);
  client_request_t put = get_request (fixture);
  put.method = "PUT";
  run (fixture, &put, &whole);
  assert_non_null (strstr (fixture->seen->str, "PUT /x?y=1 HTTP/1.1\r\n"));
  assert_non_null (strstr (fixture->seen->str, "\r\nContent-Length: 0\r\n"));
  assert_null (strstr (fixture->seen->str, "Content-Type"));
  g_string_truncate (fixture->seen, 0);
  get_one (fixture, "ok");
  assert_non_null (strstr (fixture->seen->str, "GET /x?y=1 HTTP/1.1\r\n"));
  assert_null (strstr (fixture->seen->str, "Content"));
  assert_null (strstr (fixture->seen->str, "X-Empty"));
  client_request_t delete = get_request (fixture);
  delete.method = "DELETE";
  run (fixture, &delete, &whole);
  assert_non_null (strstr (fixture->seen->str, "DELETE /x?y=1 HTTP/1.1\r\n"));
  assert_int_equal (fixture->listener->accepted, 1);
}

/* Guards against a body that is cut off at 1 MiB, or that is held back until
   "100 Continue" arrives.  */
static void
large_bodies_are_sent (void **state)
{
  fixture_t *fixture = *state;
  size_t size = (size_t)3 * 1024 * 1024;
  char *text = g_strnfill (size, 'b');
  client_request_t post = get_request (fixture);
  post.method = "POST";
  post.body = text;
  post.body_size = size;
  run (fixture, &post, &whole);
  assert_int_equal (fixture->status, 200);
  assert_null (strstr (fixture->seen->str, "Expect"));
  assert_true (fixture->seen->len > size);
  g_free (text);
}

/* Guards against reporting that a request was sent when its server refused the
   connection.  */
static void
refused_connection (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  request.address = unused_address ();
  run (fixture, &request, &whole);
  assert_int_equal (fixture->failed, 1);
  assert_int_equal (fixture->failure, KWF_FAIL_REFUSED);
  assert_string_equal (fixture->error.peer, request.address);
  assert_int_equal (fixture->error.status, KWF_UNAVAILABLE);
}

/* Guards against requests in which a second request is hidden (request
   smuggling), and against callbacks from within client_start.  */
static void
invalid_requests_are_not_sent (void **state)
{
  fixture_t *fixture = *state;
  header_t bad_name = { "X\r\nY", "1" };
  header_t bad_value = { "X", "1\r\nY: 2" };
  client_request_t requests[7];
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    requests[i] = get_request (fixture);
  requests[0].target = "/a b";
  requests[1].target = "/a\r\nX: 1";
  requests[2].target = "http://other/";
  requests[3].headers = &bad_name;
  requests[3].n_headers = 1;
  requests[4].headers = &bad_value;
  requests[4].n_headers = 1;
  requests[5].address = "localhost:80";
  requests[6].method = "GET /";
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      run (fixture, &requests[i], &whole);
      assert_int_equal (fixture->failed, i + 1);
      assert_int_equal (fixture->failure, KWF_FAIL_CONNECT);
    }
  assert_int_equal (fixture->listener->accepted, 0);
}

/* Guards against taking an incomplete answer for a complete one, and against
   reusing its connection.  */
static void
broken_answers (void **state)
{
  static const char *const scripts[]
      = { "close", "short", "short-chunk", "undelimited" };
  fixture_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      get_one (fixture, scripts[i]);
      assert_int_equal (fixture->failed, i + 1);
      assert_int_equal (fixture->failure, KWF_FAIL_BROKEN);
      get_one (fixture, "ok");
      assert_int_equal (fixture->done, i + 1);
    }
  /* Each "ok" opened a connection, and the next script broke it.  */
  assert_int_equal (fixture->listener->accepted, 5);
}

/* Guards against reusing a connection after a time-out.  */
static void
time_out (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  get_one (fixture, "ok");
  fixture->script = "stall";
  request.timeout_ns = 50 * KWF_NS_PER_MS;
  run (fixture, &request, &whole);
  assert_int_equal (fixture->failure, KWF_FAIL_TIMEOUT);
  assert_int_equal (fixture->listener->accepted, 1);
  get_one (fixture, "ok");
  assert_int_equal (fixture->listener->accepted, 2);
  assert_string_equal (fixture->body->str, "hello");
}

/* Guards against reporting a request as sent when it timed out while it waited
   for one of the max_connections connections.  */
static void
time_out_before_sending (void **state)
{
  fixture_t *fixture = *state;
  client_options_t options = { .max_connections = 1 };
  client_t *client = client_new (fixture->loop, &options);
  client_request_t request = get_request (fixture);
  fixture->script = "stall";
  kwf_handle_t first = client_start (client, &request, &whole, fixture);
  run_for (fixture->loop, 0.05);
  request.timeout_ns = 50 * KWF_NS_PER_MS;
  client_start (client, &request, &whole, fixture);
  assert_true (run_until (fixture->loop, &fixture->ended, 1, 5.0));
  assert_int_equal (fixture->failure, KWF_FAIL_CONNECT);
  assert_int_equal (fixture->listener->requests, 1);
  client_cancel (client, first);
  client_free (client);
}

/* Guards against a watcher that stays on the descriptor of a transfer that
   ended while it was connecting: libcurl closes that descriptor without
   calling the close callback. libev would then abort, or the watcher would
   read the bytes of the next file that gets the same descriptor.  */
static void
ended_connects_leave_no_watcher (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  listener_block (fixture->listener);
  for (int i = 0; i < 4; i++)
    {
      bool cancelled = i & 1;
      int pair[2] = { -1, -1 };
      char byte = 'x';
      kwf_handle_t transfer
          = client_start (fixture->client, &request, &whole, fixture);
      run_for (fixture->loop, 0.02);
      if (cancelled)
        client_cancel (fixture->client, transfer);
      else
        assert_true (
            run_until (fixture->loop, &fixture->failed, i / 2 + 1, 5));
      if (i < 2)
        assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), 0);
      for (int end = 0; end < 2 && i < 2; end++)
        assert_int_equal (send (pair[end], &byte, 1, 0), 1);
      run_for (fixture->loop, 0.02);
      for (int end = 0; end < 2 && i < 2; end++)
        {
          assert_int_equal (recv (pair[end], &byte, 1, MSG_DONTWAIT), 1);
          close (pair[end]);
        }
    }
}

static void
on_head (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  fixture_t *fixture = data;
  fixture->heads++;
  fixture->status = answer->status;
}

/* Guards against reporting the head of a stream only with the first byte of
   the body, which may come seconds later.  */
static void
head_comes_before_the_body (void **state)
{
  static const client_handler_t headed = {
    .head = on_head, .data = on_data, .done = on_done, .failed = on_failed
  };
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  fixture->script = "head";
  kwf_handle_t transfer
      = client_start (fixture->client, &request, &headed, fixture);
  assert_true (run_until (fixture->loop, &fixture->heads, 1, 1));
  assert_int_equal (fixture->status, 200);
  assert_int_equal (fixture->ended, 0);
  client_cancel (fixture->client, transfer);
  fixture->script = "stream";
  request.allow_close_delimited = true;
  client_start (fixture->client, &request, &headed, fixture);
  assert_true (run_until (fixture->loop, &fixture->ended, 1, 5));
  assert_int_equal (fixture->heads, 2);
}

static bool
never (void *data)
{
  (void)data;
  return false;
}

/* Guards against sending a request to a server that was given up while the
   connection was being made, or while the request waited for a kept
   connection.  */
static void
request_is_withheld_when_the_decision_is_void (void **state)
{
  static const client_handler_t withheld
      = { .may_send = never, .done = on_done, .failed = on_failed };
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  for (int i = 1; i <= 2; i++)
    {
      run (fixture, &request, &withheld);
      assert_int_equal (fixture->failed, i);
      assert_int_equal (fixture->failure, KWF_FAIL_NOT_SENT);
      /* This request uses a kept connection in the next round.  */
      run (fixture, &request, &whole);
      assert_int_equal (fixture->done, i);
      assert_int_equal (fixture->listener->requests, i);
    }
}

/* Guards against an answer of unlimited size, and against reusing its
   connection.  */
static void
oversized_answers (void **state)
{
  static const char *const scripts[]
      = { "large", "large-chunk", "large-header" };
  fixture_t *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (scripts); i++)
    {
      get_one (fixture, scripts[i]);
      assert_int_equal (fixture->failed, i + 1);
      assert_int_equal (fixture->failure, KWF_FAIL_OVERSIZED);
      assert_int_equal (fixture->error.status, KWF_LIMIT);
      get_one (fixture, "ok");
      assert_string_equal (fixture->body->str, "hello");
    }
  assert_int_equal (fixture->listener->accepted, 4);
}

/* Guards against bytes of a request that the network delivers after the
   transfer was given up.  Its connection must be reset.  */
static void
given_up_transfer_resets (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  for (int kept = 0; kept < 2; kept++)
    {
      int before = fixture->listener->requests;
      fixture->script = "silent";
      request.timeout_ns = 2 * KWF_NS_PER_S;
      kwf_handle_t transfer
          = client_start (fixture->client, &request, &whole, fixture);
      assert_true (run_until (fixture->loop, &fixture->listener->requests,
                              before + 1, 1));
      client_cancel (fixture->client, transfer);
      assert_true (run_until (fixture->loop, &fixture->listener->resets,
                              2 * kept + 1, 1));
      request.timeout_ns = 100 * KWF_NS_PER_MS;
      client_start (fixture->client, &request, &whole, fixture);
      assert_true (run_until (fixture->loop, &fixture->listener->resets,
                              2 * kept + 2, 1));
      get_one (fixture, "ok"); /* leaves a kept connection */
    }
}

/* Guards against a callback after client_cancel, and against reusing the
   connection, on which the answer would be taken for that to the next
   request.  */
static void
cancelled_transfer (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  get_one (fixture, "ok");
  fixture->script = "stall";
  kwf_handle_t transfer
      = client_start (fixture->client, &request, &whole, fixture);
  run_for (fixture->loop, 0.05);
  assert_int_equal (fixture->listener->requests, 2);
  client_cancel (fixture->client, transfer);
  client_cancel (fixture->client, transfer);
  assert_int_equal (client_open_transfers (fixture->client), 0);
  get_one (fixture, "ok");
  assert_string_equal (fixture->body->str, "hello");
  assert_int_equal (fixture->ended, 2);
  assert_int_equal (fixture->listener->accepted, 2);
}

/* Guards against using a transfer after its handler cancelled it in
   data().  */
static void
cancel_from_data (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  fixture->script = "stream";
  fixture->cancel_on_data
      = client_start (fixture->client, &request, &stream, fixture);
  run_for (fixture->loop, 0.05);
  assert_int_equal (fixture->chunks, 1);
  assert_int_equal (fixture->ended, 0);
  assert_int_equal (client_open_transfers (fixture->client), 0);
}

/* Guards against stream bytes that are held back until the end, or lost.  */
static void
streams (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  fixture->script = "stream";
  run (fixture, &request, &stream);
  assert_int_equal (fixture->status, 201);
  assert_true (fixture->chunks >= 1);
  assert_string_equal (fixture->body->str, "ab\ncd\n");
  fixture->script = "stall";
  g_string_truncate (fixture->body, 0);
  request.timeout_ns = 100 * KWF_NS_PER_MS;
  run (fixture, &request, &stream);
  assert_string_equal (fixture->body->str, "ab");
  assert_int_equal (fixture->failure, KWF_FAIL_TIMEOUT);
  fixture->script = "large";
  request.timeout_ns = 0;
  run (fixture, &request, &whole);
  assert_int_equal (fixture->failure, KWF_FAIL_OVERSIZED);
}

/* Guards against libcurl's own retry when the server reads a request on a kept
   connection and closes it: the server may have run the request.  */
static void
no_request_is_sent_twice (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  get_one (fixture, "then-close");
  assert_int_equal (fixture->done, 1);
  request.method = "POST";
  request.body = "run";
  request.body_size = 3;
  run (fixture, &request, &whole);
  assert_int_equal (fixture->listener->requests, 2);
  assert_int_equal (fixture->failed, 1);
  assert_int_equal (fixture->failure, KWF_FAIL_BROKEN);
}

/* Guards against the same retry on a second kept connection, which needs no
   new socket.  */
static void
no_request_moves_to_another_connection (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  fixture->script = "then-close";
  client_start (fixture->client, &request, &whole, fixture);
  client_start (fixture->client, &request, &whole, fixture);
  assert_true (run_until (fixture->loop, &fixture->ended, 2, 5.0));
  assert_int_equal (fixture->listener->accepted, 2);
  run (fixture, &request, &whole);
  assert_int_equal (fixture->failure, KWF_FAIL_BROKEN);
  run_for (fixture->loop, 0.05);
  assert_int_equal (fixture->listener->requests, 3);
  assert_int_equal (fixture->listener->accepted, 2);
}

/* Guards against reporting KWF_FAIL_REFUSED for a request that made its server
   crash: libcurl's own retry would connect again and be refused.  */
static void
crash_is_not_reported_as_refused (void **state)
{
  fixture_t *fixture = *state;
  get_one (fixture, "then-exit");
  assert_int_equal (fixture->done, 1);
  get_one (fixture, "then-exit");
  assert_int_equal (fixture->listener->requests, 2);
  assert_int_equal (fixture->failure, KWF_FAIL_BROKEN);
}

/* Guards against sending a request that must not be sent twice on a kept
   connection that the server is about to close.  */
static void
fresh_requests_use_new_connections (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  get_one (fixture, "then-close");
  request.new_connection = true;
  request.method = "POST";
  run (fixture, &request, &whole);
  assert_int_equal (fixture->done, 2);
  assert_string_equal (fixture->body->str, "first");
  assert_int_equal (fixture->listener->accepted, 2);
  assert_int_equal (fixture->listener->requests, 2);
}

/* Guards against taking a superfluous answer for the answer to the next
   request: in the same packet as the first answer, and later on the idle
   connection.  */
static void
stray_answers_reach_nobody (void **state)
{
  fixture_t *fixture = *state;
  get_one (fixture, "twice");
  assert_string_equal (fixture->body->str, "one");
  get_one (fixture, "ok");
  assert_string_equal (fixture->body->str, "hello");
  run_for (fixture->loop, 0.02);
  connection_t *last = g_ptr_array_index (fixture->listener->open,
                                          fixture->listener->open->len - 1);
  connection_reply (last, 200, "late");
  get_one (fixture, "ok");
  assert_string_equal (fixture->body->str, "hello");
  assert_int_equal (fixture->listener->accepted, 3);
}

/* Guards against the answer to an earlier request that is taken for that of a
   later one, when neither says whose it is: a request with a connection of its
   own follows, precedes and stands between others.  */
static void
late_copy_reaches_no_request_with_its_own_connection (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  get_one (fixture, "late-copy");
  assert_string_equal (fixture->body->str, "n1");
  request.own_connection = true;
  for (int i = 2; i <= 4; i++)
    {
      char text[16];
      g_snprintf (text, sizeof text, "n%d", i);
      run (fixture, &request, &whole);
      assert_string_equal (fixture->body->str, text);
    }
  assert_int_equal (fixture->listener->accepted, 4);
  get_one (fixture, "late-copy");
  /* This one uses the kept connection of the first.  */
  assert_int_equal (fixture->listener->accepted, 4);
}

/* Guards against an answer that comes after the limit of its first byte, and
   is taken for that of the next request, as to calls of the store.  */
static void
call_without_first_byte_leaves_no_connection (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  request.first_byte_ns = 50 * KWF_NS_PER_MS;
  get_one (fixture, "ok");
  fixture->script = "silent";
  run (fixture, &request, &whole);
  assert_int_equal (fixture->failure, KWF_FAIL_TIMEOUT);
  assert_int_equal (fixture->listener->accepted, 1);
  get_one (fixture, "ok");
  assert_int_equal (fixture->listener->accepted, 2);
}

/* Guards against a failed request because its kept connection was closed while
   idle.  */
static void
closed_idle_connection_is_replaced (void **state)
{
  fixture_t *fixture = *state;
  client_request_t request = get_request (fixture);
  get_one (fixture, "ok");
  connection_t *last = g_ptr_array_index (fixture->listener->open, 0);
  shutdown (last->io.fd, SHUT_RDWR);
  run (fixture, &request, &whole);
  assert_int_equal (fixture->done, 2);
  assert_int_equal (fixture->listener->accepted, 2);
}

/* Guards against following a redirect.  */
static void
redirects_are_answers (void **state)
{
  fixture_t *fixture = *state;
  get_one (fixture, "redirect");
  assert_int_equal (fixture->status, 302);
  assert_int_equal (fixture->listener->requests, 1);
}

/* Guards against using a proxy that the environment names, which would see
   callers' requests.  */
static void
environment_proxy_is_ignored (void **state)
{
  setenv ("http_proxy", "http://127.0.0.1:9", 1);
  setenv ("ALL_PROXY", "http://127.0.0.1:9", 1);
  get_one (*state, "ok");
  assert_int_equal (((fixture_t *)*state)->done, 1);
  unsetenv ("http_proxy");
  unsetenv ("ALL_PROXY");
}

/* Guards against more connections than max_connections, and against mixing up
   the answers when many transfers share few connections.  */
static void
connections_are_bounded (void **state)
{
  fixture_t *fixture = *state;
  client_options_t options = { .max_connections = 3 };
  client_t *client = client_new (fixture->loop, &options);
  client_request_t request = get_request (fixture);
  fixture->script = "number";
  for (int i = 0; i < 50; i++)
    client_start (client, &request, &whole, fixture);
  assert_int_equal (client_open_transfers (client), 50);
  assert_true (run_until (fixture->loop, &fixture->ended, 50, 10.0));
  assert_int_equal (fixture->done, 50);
  assert_true (fixture->listener->accepted <= 3);
  for (int i = 1; i <= 50; i++)
    {
      char text[16];
      g_snprintf (text, sizeof text, "n%d ", i);
      assert_non_null (strstr (fixture->bodies->str, text));
    }
  client_free (client);
}

#define TEST(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (connections_are_reused),
    TEST (answers_carry_their_headers),
    TEST (pooled_handles_keep_nothing),
    TEST (large_bodies_are_sent),
    TEST (refused_connection),
    TEST (invalid_requests_are_not_sent),
    TEST (broken_answers),
    TEST (time_out),
    TEST (time_out_before_sending),
    TEST (ended_connects_leave_no_watcher),
    TEST (request_is_withheld_when_the_decision_is_void),
    TEST (head_comes_before_the_body),
    TEST (oversized_answers),
    TEST (given_up_transfer_resets),
    TEST (cancelled_transfer),
    TEST (cancel_from_data),
    TEST (streams),
    TEST (no_request_is_sent_twice),
    TEST (no_request_moves_to_another_connection),
    TEST (crash_is_not_reported_as_refused),
    TEST (fresh_requests_use_new_connections),
    TEST (call_without_first_byte_leaves_no_connection),
    TEST (late_copy_reaches_no_request_with_its_own_connection),
    TEST (stray_answers_reach_nobody),
    TEST (closed_idle_connection_is_replaced),
    TEST (redirects_are_answers),
    TEST (environment_proxy_is_ignored),
    TEST (connections_are_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
