/* Each beginning of each kind of answer, with each end of its connection and
   several splits into reads.  */

#include "answer_bytes.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#define HEAD(status)                                                          \
  "HTTP/1.1 " status "\r\nX-Request-Id: r1\r\nX-Server-Stamp: s\r\n"
#define RUBBISH "\x01\x02\xfe\xff rubb"
#define SECOND HEAD ("200 OK") "Content-Length: 6\r\n\r\nsecond"

typedef struct
{
  const char *name;
  const char *head; /* with its blank line */
  const char *rest; /* as sent */
  const char *body;
  size_t spare; /* bytes at the end without which the body is complete */
  bool open;    /* it ends with its connection */
} answer_t;

static const answer_t answers[] = {
  { .name = "length",
    .head = HEAD ("200 OK") "Content-Length: 9\r\n\r\n",
    .rest = "data: a\n\n",
    .body = "data: a\n\n" },
  { .name = "chunks",
    .head = HEAD ("200 OK") "Transfer-Encoding: chunked\r\n\r\n",
    .rest = "9\r\ndata: a\n\n\r\n3\r\nd\n\n\r\n0\r\n\r\n",
    .body = "data: a\n\nd\n\n",
    .spare = 2 },
  { .name = "chunks, ends inside an event",
    .head = HEAD ("200 OK") "Transfer-Encoding: chunked\r\n\r\n",
    .rest = "7\r\ndata: a\r\n0\r\n\r\n",
    .body = "data: a",
    .spare = 2 },
  { .name = "open",
    .head = HEAD ("200 OK") "Connection: close\r\n\r\n",
    .rest = "data: a\n\nd\n\n",
    .body = "data: a\n\nd\n\n",
    .open = true },
  { .name = "refusal",
    .head = HEAD ("503 Busy") "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    .rest = "",
    .body = "" },
  { .name = "failure",
    .head = HEAD ("500 Bad") "Content-Length: 4\r\n\r\n",
    .rest = "fail",
    .body = "fail" },
};

typedef enum
{
  AFTER_NOTHING,
  AFTER_RUBBISH,
  AFTER_SECOND, /* one more answer to the same request */
  N_AFTER
} after_t;

/* One exchange and what is expected of it.  */
typedef struct
{
  const answer_t *answer;
  size_t at; /* the bytes of the answer that are sent */
  after_t after;
  char *bytes;
} variant_t;

static const char *const after[N_AFTER] = { "", RUBBISH, SECOND };

/* What a body without a length has: all that follows its head.  Free with
   g_free.  */
static char *
open_body (const variant_t *variant)
{
  size_t head = strlen (variant->answer->head);
  return g_strdup (variant->at < head ? "" : variant->bytes + head);
}

static bool
is_reset (ending_t ending)
{
  return ending == ENDING_RESET || ending == ENDING_CLOSE_RESET;
}

/* What is wrong with EXCHANGE; NULL: nothing.  */
static const char *
check (const variant_t *variant, const exchange_t *exchange)
{
  const answer_t *answer = variant->answer;
  size_t head = strlen (answer->head);
  size_t size = head + strlen (answer->rest);
  const char *body = exchange->body ? exchange->body->str : "";
  char *sent = answer->open ? open_body (variant) : g_strdup (answer->body);
  bool equal = strcmp (body, sent) == 0;
  bool begins = g_str_has_prefix (sent, body);
  bool sent_whole = g_str_has_suffix (sent, "\n\n") || !*sent;
  g_free (sent);
  bool whole = variant->at >= size;
  bool may_be_whole = variant->at >= size - answer->spare;
  if (answer->open)
    {
      /* Its end is that of its connection, and what follows is part of it.  No
         byte at all is no success.  */
      whole = exchange->size > head && exchange->ending == ENDING_CLOSE
              && variant->at >= head && (!exchange->streamed || sent_whole);
      may_be_whole = whole;
    }
  if (exchange->heads && variant->at < head)
    return "a head that was not read to its end";
  if (exchange->done && !may_be_whole)
    return "not whole, but done";
  if (exchange->done && !equal)
    return "another body";
  if (!exchange->done && whole && !is_reset (exchange->ending)
      && (!answer->open || variant->after == AFTER_NOTHING))
    return "whole, but failed";
  if ((answer->open || variant->after == AFTER_NOTHING) && !begins)
    return "other bytes";
  return NULL;
}

/* Adds the variants of ANSWER that end with ENDING.  */
static void
add_variants (GArray *variants, GArray *exchanges, const answer_t *answer,
              ending_t ending)
{
  static const size_t pieces[] = { 0, 1, 3, 16 };
  size_t size = strlen (answer->head) + strlen (answer->rest);
  char *text = g_strconcat (answer->head, answer->rest, NULL);
  for (size_t at = 0; at <= size; at++)
    for (int next = 0; next < N_AFTER; next++)
      for (size_t i = 0; i < G_N_ELEMENTS (pieces) * 2; i++)
        {
          /* A second answer that follows a cut one could complete it.  */
          if (next && at < size)
            continue;
          /* Each of these lasts as long as the client waits.  */
          if (ending == ENDING_SILENCE && (i + at) % 8)
            continue;
          GString *bytes = g_string_new_len (text, (gssize)at);
          g_string_append (bytes, after[next]);
          exchange_t exchange = { .size = bytes->len,
                                  .piece = pieces[i / 2],
                                  .ending = ending,
                                  .streamed = i % 2 };
          variant_t variant = { .answer = answer,
                                .at = at,
                                .after = (after_t)next,
                                .bytes = g_string_free (bytes, FALSE) };
          exchange.bytes = variant.bytes;
          g_array_append_val (variants, variant);
          g_array_append_val (exchanges, exchange);
        }
  g_free (text);
}

static int
check_all (GArray *variants, GArray *exchanges)
{
  int n_faults = 0;
  for (guint i = 0; i < variants->len; i++)
    {
      const variant_t *variant = &g_array_index (variants, variant_t, i);
      exchange_t *exchange = &g_array_index (exchanges, exchange_t, i);
      const char *fault = check (variant, exchange);
      if (fault)
        print_message ("%s: %s, %zu bytes, after %d, ending %d, in pieces of "
                       "%zu, streamed %d: %s\n",
                       fault, variant->answer->name, variant->at,
                       variant->after, exchange->ending, exchange->piece,
                       exchange->streamed, exchange->cause);
      n_faults += fault != NULL;
      exchange_clear (exchange);
      g_free (variant->bytes);
    }
  return n_faults;
}

/* Guards against an answer that ends, or goes on, at any byte and counts as
   whole, and against a whole one that fails.  KWF_ANSWER_ROUNDS repeats
   it.  */
void
each_byte_is_whole_or_visibly_broken (void **state)
{
  exchange_rig_t *rig = *state;
  const char *given = g_getenv ("KWF_ANSWER_ROUNDS");
  int n_faults = 0;
  guint n = 0;
  for (int round = given ? atoi (given) : 1; round > 0; round--)
    {
      GArray *variants = g_array_new (FALSE, TRUE, sizeof (variant_t));
      GArray *exchanges = g_array_new (FALSE, TRUE, sizeof (exchange_t));
      for (size_t i = 0; i < G_N_ELEMENTS (answers); i++)
        for (int ending = 0; ending <= ENDING_CLOSE_RESET; ending++)
          add_variants (variants, exchanges, &answers[i], (ending_t)ending);
      n += exchanges->len;
      exchange_run (rig, (exchange_t *)(void *)exchanges->data,
                    exchanges->len);
      n_faults += check_all (variants, exchanges);
      g_array_free (variants, TRUE);
      g_array_free (exchanges, TRUE);
    }
  print_message ("%u exchanges, %d faults\n", n, n_faults);
  assert_int_equal (n_faults, 0);
}
