/* The cases: what the servers send, and what callers may see of it.  */

#include "answer_ends.h"

#include <string.h>

#define N_EVENTS 3
#define EVENT_1 "id: 1\ndata: 1\n\n"
#define EVENT_2 "id: 2\ndata: 2\n\n"
#define EVENT_3 "id: 3\ndata: 3\n\n"
#define STAMP "X-Server-Stamp: s\r\n"

static bool
is_stream (route_t route)
{
  return route == ROUTE_STREAM || route == ROUTE_RESUMABLE;
}

static bool
is_open (framing_t framing)
{
  return framing == FRAMED_CLOSE || framing == FRAMED_OLD;
}

static bool
is_reset (ending_t ending)
{
  return ending == ENDING_RESET || ending == ENDING_CLOSE_RESET
         || ending == ENDING_CLOSE_THEN_RESET;
}

const char *
end_body (route_t route)
{
  return is_stream (route) ? EVENT_1 EVENT_2 EVENT_3 : "abc";
}

static void
add_head (GString *out, route_t route, framing_t framing, const char *id)
{
  g_string_append_printf (out,
                          "HTTP/1.%d 200 OK\r\nX-Request-Id: %s\r\n" STAMP
                          "Content-Type: text/%s\r\n",
                          framing == FRAMED_OLD ? 0 : 1, id,
                          is_stream (route) ? "event-stream" : "plain");
}

/* The body after event LAST.  */
static const char *
body_after (route_t route, int last)
{
  const char *body = end_body (route);
  return is_stream (route) ? body + (size_t)last * strlen (EVENT_1) : body;
}

GString *
end_answer (const end_case_t *end_case, const char *id, int last)
{
  GString *out = g_string_new (NULL);
  const char *body = body_after (end_case->route, last);
  size_t size = strlen (body);
  add_head (out, end_case->route, end_case->framing, id);
  if (end_case->framing == FRAMED_LENGTH)
    g_string_append_printf (out, "Content-Length: %zu\r\n", size);
  if (end_case->framing != FRAMED_CHUNKS)
    {
      g_string_append_printf (out, "\r\n%s", body);
      return out;
    }
  size_t first
      = is_stream (end_case->route) ? MIN (size, strlen (EVENT_1)) : 1;
  g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
  if (first)
    g_string_append_printf (out, "%zx\r\n%.*s\r\n", first, (int)first, body);
  if (size > first)
    g_string_append_printf (out, "%zx\r\n%s\r\n", size - first, body + first);
  g_string_append (out, "0\r\n\r\n");
  return out;
}

GString *
end_before (const end_case_t *end_case, const char *id)
{
  GString *out = g_string_new (NULL);
  bool open = end_case->before == BEFORE_OPEN;
  add_head (out, end_case->route, open ? FRAMED_CLOSE : FRAMED_CHUNKS, id);
  if (open)
    g_string_append (out, "\r\n" EVENT_1 "id: 2");
  else
    g_string_append_printf (
        out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n" EVENT_1 "\r\n",
        strlen (EVENT_1));
  return out;
}

static size_t
head_size (const GString *answer)
{
  return (size_t)(strstr (answer->str, "\r\n\r\n") + 4 - answer->str);
}

static bool
is_possible (route_t route, before_t before)
{
  return before == BEFORE_NONE || route == ROUTE_RESUMABLE;
}

static void
add_ends (GArray *heads, GArray *bodies, end_case_t end_case)
{
  static const char id[] = "0123456789abcdef";
  int last = end_case.before == BEFORE_NONE ? 0 : 1;
  GString *bytes = end_answer (&end_case, id, last);
  size_t head = head_size (bytes);
  for (size_t at = 0; at <= bytes->len; at++)
    for (int ending = 0; ending < N_ENDINGS; ending++)
      for (int caller = 0; caller < N_CALLERS; caller++)
        {
          end_case.at = at;
          end_case.ending = (ending_t)ending;
          end_case.caller = (caller_t)caller;
          end_case.next_whole = !end_case.next_whole;
          g_array_append_val (at < head ? heads : bodies, end_case);
        }
  g_string_free (bytes, TRUE);
}

void
end_add_cases (GArray *heads, GArray *bodies)
{
  for (int route = 0; route < N_ROUTES; route++)
    for (int before = 0; before < N_BEFORE; before++)
      for (int framing = 0; framing < N_FRAMINGS; framing++)
        for (int next = 0; next < 2; next++)
          if (is_possible ((route_t)route, (before_t)before))
            add_ends (heads, bodies,
                      (end_case_t){ .route = (route_t)route,
                                    .before = (before_t)before,
                                    .framing = (framing_t)framing,
                                    .next_whole = next });
}

/* The body of an answer without a length or chunks, as far as it is sent.
   Free with g_free.  */
static char *
open_body (const end_case_t *end_case)
{
  int last = end_case->before == BEFORE_NONE ? 0 : 1;
  GString *bytes = end_answer (end_case, "0123456789abcdef", last);
  size_t head = head_size (bytes);
  size_t size = end_case->at > head ? end_case->at - head : 0;
  char *body = g_strndup (bytes->str + head, size);
  g_string_free (bytes, TRUE);
  return body;
}

typedef struct
{
  certain_t least;
  certain_t most;
  bool whole; /* all of the body must be there, where it looks complete */
} expected_t;

static expected_t
expect_open (const end_case_t *end_case)
{
  char *body = open_body (end_case);
  bool may_end
      = *body
        && (!is_stream (end_case->route) || g_str_has_suffix (body, "\n\n"))
        && end_case->before != BEFORE_CHUNKS;
  g_free (body);
  if (!may_end || end_case->ending == ENDING_SILENCE
      || end_case->ending == ENDING_RESET)
    return (expected_t){ CERTAIN_NOT, CERTAIN_NOT, false };
  /* The instance may have read the end before the reset arrives.  */
  return (expected_t){ is_reset (end_case->ending) ? CERTAIN_NOT
                                                   : CERTAIN_OPEN,
                       CERTAIN_OPEN, false };
}

/* What the run of END_CASE gives.  */
static expected_t
expect_run (const end_case_t *end_case)
{
  /* After the size of the last chunk, the body is complete.  */
  size_t spare = end_case->framing == FRAMED_CHUNKS ? 2 : 0;
  int last = end_case->before == BEFORE_NONE ? 0 : 1;
  if (is_open (end_case->framing))
    return expect_open (end_case);
  GString *bytes = end_answer (end_case, "0123456789abcdef", last);
  bool whole = end_case->at == bytes->len;
  bool may_be_whole = end_case->at + spare >= bytes->len;
  g_string_free (bytes, TRUE);
  return (expected_t){ .least = whole && !is_reset (end_case->ending)
                                    ? CERTAIN_MARKED
                                    : CERTAIN_NOT,
                       .most = may_be_whole ? CERTAIN_MARKED : CERTAIN_NOT,
                       .whole = true };
}

/* Whether the head that the caller has announces no mark.  */
static bool
began_open (const end_case_t *end_case)
{
  if (end_case->before != BEFORE_NONE)
    return end_case->before == BEFORE_OPEN;
  if (!is_open (end_case->framing) || !is_stream (end_case->route))
    return false;
  char *body = open_body (end_case);
  bool begun = strstr (body, "\n\n") != NULL;
  g_free (body);
  return begun;
}

static expected_t
expect (const end_case_t *end_case, bool next)
{
  expected_t expected = expect_run (end_case);
  if (next)
    expected = (expected_t){ CERTAIN_MARKED, CERTAIN_MARKED, true };
  if (began_open (end_case))
    {
      expected.least = MIN (expected.least, CERTAIN_OPEN);
      if (end_case->before != BEFORE_NONE || !is_reset (end_case->ending))
        expected.most = MIN (expected.most, CERTAIN_OPEN);
    }
  if (end_case->caller >= CALLER_OLD)
    expected.least = MIN (expected.least, CERTAIN_OPEN);
  return expected;
}

static bool
is_body_right (const end_case_t *end_case, const byte_view_t *view,
               const expected_t *expected, certain_t seen)
{
  const char *whole = end_body (end_case->route);
  if (seen == CERTAIN_NOT)
    return g_str_has_prefix (whole, view->body->str);
  if (expected->whole)
    return strcmp (whole, view->body->str) == 0;
  char *sent = open_body (end_case);
  char *body = g_strconcat (end_case->before == BEFORE_NONE ? "" : EVENT_1,
                            sent, NULL);
  bool right = strcmp (body, view->body->str) == 0;
  g_free (sent);
  g_free (body);
  return right;
}

const char *
end_check (const end_case_t *end_case, const byte_view_t *view, bool next,
           certain_t *seen)
{
  expected_t expected = expect (end_case, next);
  *seen = CERTAIN_NOT;
  if (view->timed_out)
    return view->answered ? "begun, and no end in time" : "nothing in time";
  if (view->status == 200 && !strstr (view->head->str, "X-Server-Stamp: s"))
    return "a success without a stamp";
  if (view->status == 200 && view->complete)
    *seen = view->marked ? CERTAIN_MARKED : CERTAIN_OPEN;
  if (*seen > expected.most)
    return "more certain than it came";
  if (*seen < expected.least)
    return "whole, and not passed on";
  return view->status != 200
                 || is_body_right (end_case, view, &expected, *seen)
             ? NULL
             : "another body";
}

char *
end_describe (const end_case_t *end_case)
{
  static const char *const routes[N_ROUTES]
      = { "stream", "resumable", "once", "repeatable" };
  static const char *const framings[N_FRAMINGS]
      = { "length", "chunks", "close", "HTTP/1.0" };
  static const char *const befores[N_BEFORE]
      = { "first run", "after chunks", "after an open run" };
  static const char *const endings[N_ENDINGS]
      = { "FIN", "reset", "silence", "FIN and reset", "FIN, then reset" };
  static const char *const callers[N_CALLERS]
      = { "kept", "closing", "1.0", "1.0 kept" };
  return g_strdup_printf ("%s, %s, %s, %zu bytes, %s, caller %s, next %s",
                          routes[end_case->route], befores[end_case->before],
                          framings[end_case->framing], end_case->at,
                          endings[end_case->ending], callers[end_case->caller],
                          end_case->next_whole ? "whole" : "refuses");
}
