/* The answers that the servers give, and what callers may see of them.  */

#include "answer_relay.h"

#include <stdlib.h>
#include <string.h>

#define N_EVENTS 4

static bool
is_stream (answer_kind_t kind)
{
  return kind >= ANSWER_STREAM_LENGTH && kind <= ANSWER_STREAM_TAIL;
}

static bool
is_open (answer_kind_t kind)
{
  return kind == ANSWER_OPEN || kind == ANSWER_STREAM_OPEN;
}

static bool
is_once (const relay_case_t *relay_case)
{
  return relay_case->route == ROUTE_ONCE || relay_case->route == ROUTE_STREAM;
}

GString *
relay_body (answer_kind_t kind, int attempt, int last_event)
{
  GString *body = g_string_new (NULL);
  if (!is_stream (kind))
    {
      g_string_printf (body, "body of attempt %d", attempt);
      return body;
    }
  /* Equal for each attempt, as a stream that is resumed must be.  */
  for (int i = last_event + 1; i <= N_EVENTS; i++)
    g_string_append_printf (body, "id: %d\ndata: piece %d\n\n", i, i);
  if (kind == ANSWER_STREAM_TAIL)
    g_string_truncate (body, body->len - 1);
  return body;
}

answer_kind_t
relay_kind (const relay_case_t *relay_case, int attempt)
{
  if (attempt == 1)
    return relay_case->kind;
  /* Both runs of a stream must be the same stream.  */
  return relay_case->second == ANSWER_LENGTH && is_stream (relay_case->kind)
             ? ANSWER_STREAM_CHUNKS
             : relay_case->second;
}

static int
status_of (answer_kind_t kind)
{
  return kind == ANSWER_REFUSAL ? 503 : kind == ANSWER_FAILURE ? 500 : 200;
}

GString *
relay_answer (answer_kind_t kind, const char *id, int attempt, int last_event)
{
  GString *answer = g_string_new (NULL);
  GString *body = relay_body (kind, attempt, last_event);
  g_string_printf (answer,
                   "HTTP/1.1 %d X\r\nX-Request-Id: %s%s\r\n"
                   "Content-Type: %s\r\n",
                   status_of (kind), kind == ANSWER_FOREIGN ? "f" : "", id,
                   is_stream (kind) ? "text/event-stream" : "text/plain");
  if (kind != ANSWER_UNSTAMPED)
    g_string_append_printf (answer, "X-Server-Stamp: s%d\r\n", attempt);
  if (kind == ANSWER_REFUSAL || kind == ANSWER_NOT_RUN)
    g_string_append (answer, "X-Not-Run: 1\r\n");
  if (kind == ANSWER_CHUNKS || kind == ANSWER_STREAM_CHUNKS
      || kind == ANSWER_STREAM_TAIL)
    {
      size_t half = body->len / 2;
      g_string_append (answer, "Transfer-Encoding: chunked\r\n\r\n");
      g_string_append_printf (answer, "%zx\r\n%.*s\r\n%zx\r\n%s\r\n0\r\n\r\n",
                              half, (int)half, body->str, body->len - half,
                              body->str + half);
    }
  else if (is_open (kind))
    g_string_append_printf (answer, "Connection: close\r\n\r\n%s", body->str);
  else
    g_string_append_printf (answer, "Content-Length: %zu\r\n\r\n%s", body->len,
                            body->str);
  g_string_free (body, TRUE);
  return answer;
}

/* A stream or an open body whose server ended its connection there: nobody can
   tell that from its end, once there is any byte.  */
static bool
may_be_short (const relay_case_t *relay_case, const GString *seen)
{
  if (!is_open (relay_case->kind) || relay_case->spoil != SPOIL_CUT
      || relay_case->ending != ENDING_CLOSE || !seen->len)
    return false;
  return relay_case->kind == ANSWER_OPEN
         || g_str_has_suffix (seen->str, "\n\n");
}

/* What follows a body without a length is part of it.  */
static bool
may_be_long (const relay_case_t *relay_case)
{
  if (relay_case->kind == ANSWER_STREAM_OPEN)
    return relay_case->spoil == SPOIL_SECOND;
  return relay_case->kind == ANSWER_OPEN && relay_case->spoil != SPOIL_CUT;
}

static const char *
check_success (const relay_case_t *relay_case, const byte_view_t *view,
               int attempt, int arrivals)
{
  answer_kind_t kind = relay_kind (relay_case, attempt);
  if (kind == ANSWER_FOREIGN || kind == ANSWER_UNSTAMPED)
    return "an answer that may not be passed on";
  if (kind == ANSWER_STREAM_TAIL && arrivals > 1)
    kind = ANSWER_STREAM_CHUNKS;
  else if (kind == ANSWER_STREAM_TAIL && view->complete)
    return "complete inside an event";
  GString *body = relay_body (kind, attempt, 0);
  bool equal = g_string_equal (body, view->body);
  bool begins = g_str_has_prefix (body->str, view->body->str);
  g_string_free (body, TRUE);
  if (!view->complete)
    /* Bytes that the caller has may be the beginning of the answer only.  */
    return begins || may_be_long (relay_case) ? NULL
                                              : "broken, after wrong bytes";
  if (equal || may_be_long (relay_case)
      || (begins && may_be_short (relay_case, view->body)))
    return NULL;
  return begins ? "complete, but not whole" : "complete, with wrong bytes";
}

static const char *
check_answer (const relay_case_t *relay_case, const byte_view_t *view,
              const char *stamp, int arrivals)
{
  int attempt = stamp ? atoi (stamp + 1) : 0;
  if (view->status >= 200 && view->status < 300)
    return stamp ? check_success (relay_case, view, attempt, arrivals)
                 : "a success without stamp";
  if (stamp && view->status != status_of (relay_kind (relay_case, attempt)))
    return "a failure with another's stamp";
  bool promise = view->status == 503 || view->status == 429;
  bool may_have_run
      = relay_kind (relay_case, 1) != ANSWER_REFUSAL
        || (arrivals > 1 && relay_kind (relay_case, 2) != ANSWER_REFUSAL);
  if (promise && may_have_run && is_once (relay_case))
    return "a promise for what has run";
  return NULL;
}

/* Whether the first server gave a whole success, which its caller must get. */
static bool
is_whole_success (const relay_case_t *relay_case)
{
  if (relay_case->good || relay_case->kind >= ANSWER_REFUSAL
      || relay_case->kind == ANSWER_STREAM_TAIL
      || relay_case->spoil == SPOIL_CUT || relay_case->spoil == SPOIL_RUBBISH
      || relay_case->ending == ENDING_RESET)
    return false;
  return !is_open (relay_case->kind)
         || (relay_case->spoil == SPOIL_NONE
             && relay_case->ending == ENDING_CLOSE);
}

const char *
relay_check (const relay_case_t *relay_case, const byte_view_t *view,
             const char *id, int arrivals)
{
  if (view->timed_out)
    return view->answered ? "neither more bytes nor an end in time"
                          : "nothing at all in time";
  if (arrivals > 1
      && (relay_case->route == ROUTE_ONCE || relay_case->route == ROUTE_STREAM)
      && relay_case->kind != ANSWER_REFUSAL)
    return "run twice";
  if (is_whole_success (relay_case)
      && (!view->complete || view->status != 200 || arrivals != 1))
    return "a whole answer that its caller did not get";
  if (!view->answered) /* visibly broken */
    return relay_case->good ? "a good call without an answer" : NULL;
  char *stamp = byte_view_header (view, "X-Server-Stamp");
  char *seen_id = byte_view_header (view, "X-Request-Id");
  const char *fault = seen_id && strcmp (seen_id, id) != 0
                          ? "the id of another request"
                          : check_answer (relay_case, view, stamp, arrivals);
  g_free (stamp);
  g_free (seen_id);
  return fault;
}
