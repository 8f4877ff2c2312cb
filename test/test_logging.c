/* Tests of log lines: format, level, and what they must not contain.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <unistd.h>

#include "lib/completion.h"
#include "lib/key.h"
#include "lib/logging.h"

/* A write that takes this long counts as blocked; SIGALRM ends the test.  */
#define BLOCKED_S 20

static FILE *capture;
static int saved;

static void
begin_capture (void)
{
  fflush (stdout);
  capture = tmpfile ();
  assert_non_null (capture);
  saved = dup (STDOUT_FILENO);
  dup2 (fileno (capture), STDOUT_FILENO);
}

/* Text written since begin_capture; free with g_free.  */
static char *
end_capture (void)
{
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  long size = lseek (fileno (capture), 0, SEEK_END);
  char *text = g_malloc0 ((gsize)size + 1);
  assert_int_equal (pread (fileno (capture), text, (size_t)size, 0), size);
  fclose (capture);
  return text;
}

/* A text line must have event number, level, instance and request.  */
static void
text_line_has_its_parts (void **state)
{
  (void)state;
  logging_start ("entry-1", false, KWF_LOG_INFO);
  begin_capture ();
  logging_write (&(kwf_log_t){ .number = 412,
                               .level = KWF_LOG_WARNING,
                               .request_id = "r7",
                               .text = "something happened" });
  logging_event (413, KWF_LOG_ERROR, "number %d", 5);
  char *text = end_capture ();
  assert_non_null (
      strstr (text, "warning entry-1 412 something happened request=r7\n"));
  assert_non_null (strstr (text, "error   entry-1 413 number 5\n"));
  g_free (text);
}

/* Each JSON line must be one JSON object.  */
static void
json_line_is_an_object (void **state)
{
  (void)state;
  logging_start ("entry-1", true, KWF_LOG_DEBUG);
  begin_capture ();
  logging_write (&(kwf_log_t){ .number = 400,
                               .level = KWF_LOG_DEBUG,
                               .request_id = "r\"7",
                               .text = "two\nlines \x01 \"quoted\" \xff" });
  char *text = end_capture ();
  assert_ptr_equal (strchr (text, '\n'), text + strlen (text) - 1);
  json_t *line = json_loads (text, 0, NULL);
  assert_non_null (line);
  assert_int_equal (json_integer_value (json_object_get (line, "event")), 400);
  assert_string_equal (json_string_value (json_object_get (line, "level")),
                       "debug");
  assert_string_equal (json_string_value (json_object_get (line, "request")),
                       "r\"7");
  assert_string_equal (json_string_value (json_object_get (line, "instance")),
                       "entry-1");
  assert_non_null (strstr (
      json_string_value (json_object_get (line, "message")), "two lines"));
  json_decref (line);
  g_free (text);
}

/* Events below the set level must not be written.  */
static void
lower_levels_are_left_out (void **state)
{
  (void)state;
  logging_start ("entry-1", false, KWF_LOG_WARNING);
  begin_capture ();
  logging_event (400, KWF_LOG_INFO, "quiet");
  logging_event (401, KWF_LOG_WARNING, "loud");
  g_log_structured ("other", G_LOG_LEVEL_INFO, "MESSAGE", "%s", "quiet too");
  char *text = end_capture ();
  assert_null (strstr (text, "quiet"));
  assert_non_null (strstr (text, "loud"));
  g_free (text);
}

/* A key that is logged by mistake must be removed, in both formats, from the
   text and from the request id.  */
static void
no_key_is_written (void **state)
{
  (void)state;
  char key[KEY_TEXT_SIZE];
  key_generate (kwf_random_system (), key);
  for (int json = 0; json < 2; json++)
    {
      logging_start ("entry-1", json, KWF_LOG_DEBUG);
      begin_capture ();
      logging_event (400, KWF_LOG_INFO, "Authorization: Bearer %s, again %s",
                     key, key);
      logging_write (&(kwf_log_t){ .number = 401,
                                   .level = KWF_LOG_INFO,
                                   .request_id = key,
                                   .text = "text" });
      char *text = end_capture ();
      assert_null (strstr (text, key));
      assert_null (strstr (text, key + 4));
      assert_non_null (strstr (text, "kwf_[removed]"));
      g_free (text);
    }
}

/* Errors about a body that cannot be parsed must not contain prompt text.  */
static void
no_prompt_is_written (void **state)
{
  (void)state;
  static const char *const bodies[] = {
    "{\"model\":\"m\",\"messages\":[{\"content\":\"SECRET PROMPT\"}]}",
    "{\"model\":\"m\",\"messages\":\"SECRET PROMPT\"}",
    "{\"model\":\"m\",\"messages\":[{\"role\":\"SECRET PROMPT\"",
    "SECRET PROMPT",
    "{\"model\":\"m\",\"n\":\"SECRET PROMPT\"}",
  };
  logging_start ("entry-1", false, KWF_LOG_DEBUG);
  begin_capture ();
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      completion_t call;
      kwf_error_t error;
      assert_int_equal (completion_parse (bodies[i], strlen (bodies[i]), true,
                                          &call, &error),
                        KWF_INVALID);
      logging_event (400, KWF_LOG_INFO, "%s: %s", error.step, error.message);
    }
  char *text = end_capture ();
  assert_non_null (strstr (text, "read request body"));
  assert_null (strstr (text, "SECRET"));
  g_free (text);
}

static void
read_all (int fd, char *text, ssize_t *size, size_t room)
{
  ssize_t n;
  while ((n = read (fd, text + *size, room - (size_t)*size - 1)) > 0)
    *size += n;
}

/* Logging must not block the process if nobody reads its log, and it must
   report the dropped lines.  */
static void
stalled_reader_does_not_block (void **state)
{
  (void)state;
  int ends[2];
  /* A write to this pipe blocks unless the process makes it non-blocking.  */
  assert_int_equal (pipe (ends), 0);
  assert_int_equal (fcntl (ends[0], F_SETFL, O_NONBLOCK), 0);
  fflush (stdout);
  saved = dup (STDOUT_FILENO);
  dup2 (ends[1], STDOUT_FILENO);
  alarm (BLOCKED_S);
  logging_start ("entry-1", false, KWF_LOG_INFO);
  for (int i = 0; i < 4000; i++)
    logging_event (400, KWF_LOG_INFO, "line %d of many", i);
  static char text[1 << 20];
  ssize_t size = 0;
  read_all (ends[0], text, &size, sizeof text);
  /* The next event first flushes the buffered lines, which fill the pipe
     again.  What does not fit is written after the next read.  */
  logging_event (401, KWF_LOG_INFO, "the reader is back");
  read_all (ends[0], text, &size, sizeof text);
  logging_event (401, KWF_LOG_INFO, "the reader is back for good");
  read_all (ends[0], text, &size, sizeof text);
  alarm (0);
  dup2 (saved, STDOUT_FILENO);
  close (saved);
  close (ends[0]);
  close (ends[1]);
  /* 15 is the number of the event; the number of dropped lines follows.  */
  assert_non_null (strstr (text, " 15 lines were left out: "));
  assert_non_null (strstr (text, "401 the reader is back for good\n"));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (text_line_has_its_parts),
    cmocka_unit_test (json_line_is_an_object),
    cmocka_unit_test (lower_levels_are_left_out),
    cmocka_unit_test (no_key_is_written),
    cmocka_unit_test (no_prompt_is_written),
    cmocka_unit_test (stalled_reader_does_not_block),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
