/* Heads of answers that must not count, and what does not belong to a head. */

#include "answer_bytes.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#define OK "HTTP/1.1 200 OK\r\n"
#define ID "X-Request-Id: r1\r\n"
#define STAMP "X-Server-Stamp: s\r\n"
#define LENGTH "Content-Length: 2\r\n"
#define END "\r\nok"

static exchange_t
run_one (exchange_rig_t *rig, const char *bytes, bool streamed)
{
  exchange_t exchange
      = { .bytes = bytes, .size = strlen (bytes), .streamed = streamed };
  exchange_run (rig, &exchange, 1);
  return exchange;
}

/* Guards against answers that pass on, or act on, anything of a head that is
   another request's, that lacks the stamp of a success, or that contradicts
   itself: no head, no byte, and no success.  */
void
spoilt_head_is_no_answer (void **state)
{
  static const struct
  {
    const char *name;
    const char *bytes;
  } cases[] = {
    { "success without stamp", OK ID LENGTH END },
    { "success with an empty stamp", OK ID LENGTH "X-Server-Stamp:\r\n" END },
    { "stamp after the body without length", OK ID "\r\nok\r\n" STAMP "\r\n" },
    { "no id", OK STAMP LENGTH END },
    { "id of another request", OK "X-Request-Id: r2\r\n" STAMP LENGTH END },
    { "two ids", OK ID "X-Request-Id: r2\r\n" STAMP LENGTH END },
    { "two stamps", OK ID STAMP "X-Server-Stamp: t\r\n" LENGTH END },
    { "two lengths", OK ID STAMP "Content-Length: 1\r\n" LENGTH END },
    { "length and chunks", OK ID STAMP LENGTH "Transfer-Encoding: chunked\r\n"
                                              "\r\n2\r\nok\r\n0\r\n\r\n" },
    { "length that is no number", OK ID STAMP "Content-Length: 2x\r\n" END },
    { "unknown transfer encoding",
      OK ID STAMP "Transfer-Encoding: gzip\r\n" END },
    { "line that is no header", OK ID STAMP LENGTH "rubbish\r\n" END },
    { "folded header", OK ID STAMP LENGTH "X-A: b\r\n c\r\n" END },
    { "cut head, then another answer",
      "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" OK ID STAMP LENGTH END },
    { "CR in a stamp", OK ID "X-Server-Stamp: a\rb\r\n" LENGTH END },
    { "CR in the status line", "HTTP/1.1 200 O\rK\r\n" ID STAMP LENGTH END },
    { "space before the colon", OK ID STAMP "X-A : b\r\n" LENGTH END },
    { "name that is no token", OK ID STAMP "X A: b\r\n" LENGTH END },
    { "interim answer with a line that is no header",
      "HTTP/1.1 103 Early Hints\r\nrubbish\r\n\r\n" OK ID STAMP LENGTH END },
    { "no name", OK ID STAMP ": b\r\n" LENGTH END },
    { "id in the interim answer only",
      "HTTP/1.1 103 Early Hints\r\n" ID STAMP "\r\n" OK LENGTH END },
    { "other protocol", "HTTP/1.1 101 Switching Protocols\r\n" ID STAMP END },
    { "refusal of another request",
      "HTTP/1.1 503 Busy\r\nX-Request-Id: r2\r\nX-Not-Run: 1\r\n"
      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n" },
  };
  exchange_rig_t *rig = *state;
  int taken = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (int streamed = 0; streamed <= 1; streamed++)
      {
        exchange_t exchange = run_one (rig, cases[i].bytes, streamed);
        bool passed = exchange.body && exchange.body->len;
        if (exchange.done || exchange.heads || passed)
          print_message ("%s: done=%d heads=%d bytes=%d\n", cases[i].name,
                         exchange.done, exchange.heads, passed);
        else
          assert_int_equal (exchange.failure, KWF_FAIL_BROKEN);
        taken += exchange.done || exchange.heads || passed;
        exchange_clear (&exchange);
      }
  assert_int_equal (taken, 0);
}

/* Guards against a head that is cut at any byte and believed with the id or
   the stamp of the whole answer that follows it.  */
void
cut_head_takes_nothing_of_the_next_answer (void **state)
{
  static const char *const heads[] = {
    "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 503 Busy\r\n" ID "X-Not-Run: 1\r\n" LENGTH "\r\n",
    OK ID STAMP "X-Other: a b\r\n" LENGTH "\r\n",
    OK ID STAMP "Transfer-Encoding: chunked\r\nX-Last: c\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    "HTTP/1.1 200 \r\n" ID STAMP "\r\n",
  };
  static const char next[] = OK ID STAMP LENGTH END;
  exchange_rig_t *rig = *state;
  int taken = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (heads); i++)
    for (size_t cut = 1; cut < strlen (heads[i]); cut++)
      {
        char *bytes = g_strdup_printf ("%.*s%s", (int)cut, heads[i], next);
        exchange_t exchange = run_one (rig, bytes, cut % 2);
        if (exchange.done || exchange.heads)
          {
            print_message ("head %zu cut after %zu bytes: status %d, %s\n", i,
                           cut, exchange.status,
                           exchange.body ? exchange.body->str : "no body");
            taken++;
          }
        exchange_clear (&exchange);
        g_free (bytes);
      }
  assert_int_equal (taken, 0);
}

/* Guards against trailers that pass for headers, and against trailers that
   spoil an answer whose head was good.  */
void
trailers_are_not_headers (void **state)
{
  exchange_rig_t *rig = *state;
  static const char chunks[] = "Transfer-Encoding: chunked\r\n\r\n"
                               "2\r\nok\r\n0\r\n";
  char *late = g_strconcat (OK, chunks, ID STAMP "\r\n", NULL);
  exchange_t exchange = run_one (rig, late, true);
  assert_false (exchange.done);
  assert_null (exchange.body);
  g_free (late);
  char *other = g_strconcat (OK ID STAMP, chunks,
                             "X-Request-Id: r2\r\nX-Not-Run: 1\r\n\r\n", NULL);
  exchange = run_one (rig, other, true);
  assert_true (exchange.done);
  assert_string_equal (exchange.body->str, "ok");
  exchange_clear (&exchange);
  g_free (other);
}

/* Guards against an interim answer, which need not bear the id, that counts as
   another request's.  */
void
interim_answers_are_passed_over (void **state)
{
  exchange_rig_t *rig = *state;
  exchange_t exchange
      = run_one (rig,
                 "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
                 "HTTP/1.1 102 Processing\r\n\r\n" OK ID STAMP LENGTH END,
                 false);
  assert_true (exchange.done);
  assert_int_equal (exchange.heads, 1);
  assert_int_equal (exchange.status, 200);
  assert_string_equal (exchange.body->str, "ok");
  exchange_clear (&exchange);
}

/* Guards against a good answer that fails because a header names a version of
   HTTP, or because its lines end without a carriage return.  */
void
unusual_head_is_taken (void **state)
{
  static const char *const answers[] = {
    OK ID STAMP "Via: HTTP/1.1 proxy\r\nX-Empty:\r\n" LENGTH END,
    "HTTP/1.1 200 \r\n" ID STAMP "!#$%&'*+-.^_`|~09: a:\tb\r\n" LENGTH END,
    "HTTP/1.1 200 OK\nX-Request-Id: r1\nX-Server-Stamp: s\n"
    "Content-Length: 2\n\nok",
  };
  exchange_rig_t *rig = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
    {
      exchange_t exchange = run_one (rig, answers[i], false);
      assert_true (exchange.done);
      assert_string_equal (exchange.body->str, "ok");
      exchange_clear (&exchange);
    }
}

/* Guards against a body that is decoded on its way, and against asking for an
   encoding.  */
void
nothing_is_decoded (void **state)
{
  exchange_rig_t *rig = *state;
  exchange_t exchange = run_one (
      rig, OK ID STAMP LENGTH "Content-Encoding: gzip\r\n" END, false);
  assert_true (exchange.done);
  assert_string_equal (exchange.body->str, "ok");
  assert_false (rig->asked_encoding);
  exchange_clear (&exchange);
}
