#include "logging.h"

#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define FIELD_EVENT "KWF_EVENT"
#define FIELD_REQUEST "KWF_REQUEST"

/* Pattern of a key (lib/key.h).  No part of the program should log a key; if
   one does by mistake, the key is removed here.  */
#define KEY_PATTERN "kwf_[A-Za-z0-9_-]{43}"

/* Buffer for lines that the reader has not read yet; about 300 lines.  */
#define MAX_PENDING_BYTES 65536
/* Limit on lines per second, and on lines at once: three lines for each of
   1,600 requests a second.  */
#define MAX_LINES_PER_S 5000

static struct
{
  char *instance;
  bool json;
  kwf_log_level_t min;
  bool installed;
  GRegex *key;
  GString *pending;
  double tokens; /* tokens of the bucket: lines that may be written now */
  gint64 tokens_us;
  guint64 dropped; /* lines dropped since event 15 was last written */
} output;

static const char *const level_names[] = {
  [KWF_LOG_DEBUG] = "debug",
  [KWF_LOG_INFO] = "info",
  [KWF_LOG_WARNING] = "warning",
  [KWF_LOG_ERROR] = "error",
};

static kwf_log_level_t
level_of (GLogLevelFlags flags)
{
  if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return KWF_LOG_ERROR;
  if (flags & G_LOG_LEVEL_WARNING)
    return KWF_LOG_WARNING;
  if (flags & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
    return KWF_LOG_INFO;
  return KWF_LOG_DEBUG;
}

static GLogLevelFlags
flags_of (kwf_log_level_t level)
{
  switch (level)
    {
    case KWF_LOG_DEBUG:
      return G_LOG_LEVEL_DEBUG;
    case KWF_LOG_INFO:
      return G_LOG_LEVEL_INFO;
    case KWF_LOG_WARNING:
      return G_LOG_LEVEL_WARNING;
    case KWF_LOG_ERROR:
      break;
    }
  /* G_LOG_LEVEL_ERROR would abort the process.  */
  return G_LOG_LEVEL_CRITICAL;
}

/* Copy TEXT as valid UTF-8 on one line, without keys; free with g_free.  */
static char *
sanitise (const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);
  for (char *c = valid; *c; c++)
    if ((unsigned char)*c < 0x20 || *c == 0x7f)
      *c = ' ';
  char *safe = g_regex_replace_literal (output.key, valid, -1, 0,
                                        "kwf_[removed]", 0, NULL);
  g_free (valid);
  return safe;
}

static char *
json_line (const char *time, kwf_log_level_t level, int number,
           const char *request, const char *text)
{
  json_t *line = json_pack ("{s:s, s:s, s:s, s:i, s:s*, s:s}", "time", time,
                            "level", level_names[level], "instance",
                            output.instance ? output.instance : "", "event",
                            number, "request", request, "message", text);
  char *dump = json_dumps (line, JSON_COMPACT);
  json_decref (line);
  char *copy = g_strconcat (dump ? dump : "{}", "\n", NULL);
  free (dump);
  return copy;
}

static char *
text_line (const char *time, kwf_log_level_t level, int number,
           const char *request, const char *text)
{
  return g_strdup_printf ("%s %-7s %s %d %s%s%s\n", time, level_names[level],
                          output.instance ? output.instance : "-", number,
                          text, request ? " request=" : "",
                          request ? request : "");
}

static const char *
field_value (const GLogField *fields, gsize n_fields, const char *name)
{
  for (gsize i = 0; i < n_fields; i++)
    if (strcmp (fields[i].key, name) == 0 && fields[i].length < 0)
      return fields[i].value;
  return NULL;
}

/* Write as much of the buffer as the reader accepts.  */
static void
flush_pending (void)
{
  while (output.pending->len)
    {
      ssize_t done
          = write (STDOUT_FILENO, output.pending->str, output.pending->len);
      if (done <= 0)
        return;
      g_string_erase (output.pending, 0, done);
    }
}

static bool
take_token (void)
{
  gint64 now_us = g_get_monotonic_time ();
  double passed_s = (double)(now_us - output.tokens_us) / G_USEC_PER_SEC;
  output.tokens_us = now_us;
  output.tokens
      = MIN (output.tokens + passed_s * MAX_LINES_PER_S, MAX_LINES_PER_S);
  if (output.tokens < 1)
    return false;
  output.tokens -= 1;
  return true;
}

static bool
add_pending (const char *line)
{
  flush_pending ();
  if (output.pending->len + strlen (line) > MAX_PENDING_BYTES)
    return false;
  g_string_append (output.pending, line);
  flush_pending ();
  return true;
}

static char *
make_line (kwf_log_level_t level, int number, const char *request,
           const char *text)
{
  GDateTime *now = g_date_time_new_now_utc ();
  char *seconds = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  char *time = g_strdup_printf ("%s.%03dZ", seconds,
                                g_date_time_get_microsecond (now) / 1000);
  char *line = output.json ? json_line (time, level, number, request, text)
                           : text_line (time, level, number, request, text);
  g_free (time);
  g_free (seconds);
  g_date_time_unref (now);
  return line;
}

static GLogWriterOutput
write_line (GLogLevelFlags flags, const GLogField *fields, gsize n_fields,
            gpointer data)
{
  (void)data;
  kwf_log_level_t level = level_of (flags);
  if (level < output.min)
    return G_LOG_WRITER_HANDLED;
  const char *message = field_value (fields, n_fields, "MESSAGE");
  const char *event = field_value (fields, n_fields, FIELD_EVENT);
  const char *request = field_value (fields, n_fields, FIELD_REQUEST);
  char *text = sanitise (message ? message : "");
  char *id = request ? sanitise (request) : NULL;
  int number = event ? (int)g_ascii_strtoll (event, NULL, 10) : 0;
  char *line = make_line (level, number, id, text);
  output.dropped += !take_token () || !add_pending (line);
  g_free (line);
  g_free (id);
  g_free (text);
  return G_LOG_WRITER_HANDLED;
}

/* Writing to a pipe or socket whose reader stalls must not block the event
   loop.  Files do not block, and a terminal's flags are shared with other
   processes, so both stay as they are.  */
static void
set_nonblocking (void)
{
  struct stat status;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags >= 0 && fstat (STDOUT_FILENO, &status) == 0
      && (S_ISFIFO (status.st_mode) || S_ISSOCK (status.st_mode)))
    (void)fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
logging_start (const char *instance, bool json, kwf_log_level_t min)
{
  g_free (output.instance);
  output.instance = g_strdup (instance);
  output.json = json;
  output.min = min;
  set_nonblocking ();
  if (output.installed)
    return;
  output.pending = g_string_new (NULL);
  output.tokens = MAX_LINES_PER_S;
  output.tokens_us = g_get_monotonic_time ();
  output.key = g_regex_new (KEY_PATTERN, G_REGEX_OPTIMIZE, 0, NULL);
  g_log_set_writer_func (write_line, NULL, NULL);
  output.installed = true;
}

/* Write the number of dropped lines once the buffer is empty again.  */
static void
log_dropped_lines (void)
{
  flush_pending ();
  if (output.pending->len)
    return;
  guint64 dropped = output.dropped;
  output.dropped = 0;
  logging_event (15, KWF_LOG_WARNING,
                 "lines were left out: %" G_GUINT64_FORMAT, dropped);
  if (output.dropped)
    output.dropped = dropped;
}

void
logging_write (const kwf_log_t *log)
{
  if (!output.installed)
    logging_start (NULL, false, KWF_LOG_INFO);
  if (output.dropped)
    log_dropped_lines ();
  if (log->level < output.min)
    return;
  char number[16];
  g_snprintf (number, sizeof number, "%d", log->number);
  GLogField fields[] = {
    { "MESSAGE", log->text ? log->text : "", -1 },
    { FIELD_EVENT, number, -1 },
    { FIELD_REQUEST, log->request_id, -1 },
  };
  g_log_structured_array (flags_of (log->level), fields,
                          log->request_id ? 3 : 2);
}

void
logging_event (int number, kwf_log_level_t level, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  logging_write (
      &(kwf_log_t){ .number = number, .level = level, .text = text });
  g_free (text);
}
