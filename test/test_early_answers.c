/* Answers that come while their request is still being sent, from servers that
   then close with bytes unread, which resets the connection.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-listener.h"
#include "net/client.h"

/* More than the kernel takes for a connection that is not read.  */
#define BODY_BYTES ((size_t)8 * 1024 * 1024)
#define LIMIT_S 5.0

#define OK_HEAD "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"

typedef struct
{
  const char *name;
  const char *answer;
  bool fin_first; /* FIN before the close, and not only the reset */
  bool reads;     /* the server reads the request before it closes */
  bool whole;     /* what the client must take it for */
} case_t;

typedef struct
{
  const case_t *script;
  size_t n_read;
  bool answered;
  int n_done;
  int n_ended;
} fixture_t;

static void
serve (connection_t *connection, const char *bytes, void *data)
{
  (void)bytes;
  fixture_t *fixture = data;
  fixture->n_read += connection->in->len;
  g_string_truncate (connection->in, 0);
  if (!fixture->answered)
    {
      connection_print (connection, "%s", fixture->script->answer);
      if (fixture->script->fin_first)
        shutdown (connection->io.fd, SHUT_WR);
    }
  fixture->answered = true;
  if (!fixture->script->reads || fixture->n_read >= BODY_BYTES)
    connection_close (connection);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  (void)answer;
  fixture_t *fixture = data;
  fixture->n_done++;
  fixture->n_ended++;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)failure;
  fixture_t *fixture = data;
  print_message ("%s: %s\n", fixture->script->name, error->message);
  fixture->n_ended++;
}

/* Whether the client takes the answer of SCRIPT for whole.  */
static bool
is_taken (const case_t *script, const char *body)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  fixture_t fixture = { .script = script };
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  listener_t *listener = listener_start (loop, serve, &fixture);
  client_t *client = client_new (loop, NULL);
  listener->raw = true;
  client_start (client,
                &(client_request_t){ .method = "POST",
                                     .address = listener->address,
                                     .target = "/",
                                     .body = body,
                                     .body_size = BODY_BYTES,
                                     .timeout_ns = 3 * KWF_NS_PER_S,
                                     .success_header = "X-Server-Stamp",
                                     .allow_close_delimited = true,
                                     .new_connection = true },
                &handler, &fixture);
  assert_true (run_until (loop, &fixture.n_ended, 1, LIMIT_S));
  client_free (client);
  listener_stop (listener);
  ev_loop_destroy (loop);
  return fixture.n_done > 0;
}

/* Guards against an answer that counts as whole although its connection was
   reset, which a server does that closes before it has read the request.  */
static void
reset_while_the_request_is_sent_counts_as_an_end (void **state)
{
  static const case_t cases[] = {
    { "open, reset", OK_HEAD "\r\nabc", false, false, false },
    { "open, FIN and reset", OK_HEAD "\r\nabc", true, false, false },
    { "open, FIN, the request is read", OK_HEAD "\r\nabc", true, true, true },
  };
  (void)state;
  int bad = 0;
  char *body = g_strnfill (BODY_BYTES, 'x');
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bool taken = is_taken (&cases[i], body);
      print_message ("%s: %s\n", cases[i].name,
                     taken ? "taken for whole" : "not whole");
      bad += taken != cases[i].whole;
    }
  g_free (body);
  assert_int_equal (bad, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (
      reset_while_the_request_is_sent_counts_as_an_end) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
