#include "common-process.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LINE_TIMEOUT_MS 10000
#define STOP_MS 5000
#define FILE_PAUSE_MS 5

static GArray *started; /* pids not yet waited for */

void
pause_ms (int ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000L };
  nanosleep (&time, NULL);
}

static void
kill_started (void)
{
  for (guint i = 0; i < started->len; i++)
    kill (g_array_index (started, pid_t, i), SIGKILL);
}

static void
remember (pid_t pid)
{
  if (!started)
    {
      started = g_array_new (FALSE, FALSE, sizeof (pid_t));
      atexit (kill_started);
    }
  g_array_append_val (started, pid);
}

static void
forget (pid_t pid)
{
  for (guint i = 0; i < started->len; i++)
    if (g_array_index (started, pid_t, i) == pid)
      {
        g_array_remove_index_fast (started, i);
        return;
      }
}

bool
process_spawn (process_t *process, const char *program,
               const char *const *args)
{
  return process_spawn_logged (process, program, args, NULL);
}

/* Open a log twice, for reading new lines and for appending.  */
static bool
open_log (const char *log, int ends[2])
{
  ends[1] = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (ends[1] < 0)
    return false;
  ends[0] = open (log, O_RDONLY | O_CLOEXEC);
  if (ends[0] >= 0 && lseek (ends[0], 0, SEEK_END) >= 0)
    return true;
  close (ends[1]);
  if (ends[0] >= 0)
    close (ends[0]);
  return false;
}

bool
process_spawn_logged (process_t *process, const char *program,
                      const char *const *args, const char *log)
{
  *process = (process_t){ .out = -1 };
  const char *directory = getenv ("KWF_BIN");
  int out[2] = { -1, -1 };
  if (log ? !open_log (log, out) : pipe2 (out, O_CLOEXEC) != 0)
    return false;
  GPtrArray *argv = g_ptr_array_new ();
  char *path = g_path_is_absolute (program)
                   ? g_strdup (program)
                   : g_build_filename (directory ? directory : "build/bin",
                                       program, NULL);
  g_ptr_array_add (argv, path);
  for (; args && *args; args++)
    g_ptr_array_add (argv, (char *)*args);
  g_ptr_array_add (argv, NULL);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, out[1], STDOUT_FILENO);
  if (log)
    posix_spawn_file_actions_adddup2 (&actions, out[1], STDERR_FILENO);
  int failed = posix_spawn (&process->pid, path, &actions, NULL,
                            (char **)argv->pdata, environ);
  posix_spawn_file_actions_destroy (&actions);
  close (out[1]);
  g_ptr_array_free (argv, TRUE);
  g_free (path);
  if (failed)
    {
      close (out[0]);
      process->pid = 0;
      return false;
    }
  process->out = out[0];
  process->file = log != NULL;
  remember (process->pid);
  return true;
}

/* Copy one line from the buffer to LINE and remove it from the buffer.  */
static bool
take_line (process_t *process, char *line, size_t size)
{
  char *end = memchr (process->buffer, '\n', process->buffered);
  if (!end)
    return false;
  size_t length = (size_t)(end - process->buffer);
  g_strlcpy (line, "", size);
  size_t kept = MIN (length, size - 1);
  memcpy (line, process->buffer, kept);
  line[kept] = '\0';
  process->buffered -= length + 1;
  memmove (process->buffer, end + 1, process->buffered);
  return true;
}

bool
process_expect (process_t *process, const char *prefix, char *rest,
                size_t size)
{
  char line[sizeof process->buffer];
  gint64 end_us = g_get_monotonic_time () + (gint64)LINE_TIMEOUT_MS * 1000;
  for (;;)
    {
      while (take_line (process, line, sizeof line))
        if (g_str_has_prefix (line, prefix))
          {
            g_strlcpy (rest, line + strlen (prefix), size);
            return true;
          }
      gint64 left_us = end_us - g_get_monotonic_time ();
      struct pollfd ready = { .fd = process->out, .events = POLLIN };
      if (left_us <= 0 || poll (&ready, 1, (int)(left_us / 1000) + 1) != 1)
        return false;
      if (process->buffered == sizeof process->buffer)
        process->buffered = 0;
      ssize_t n = read (process->out, process->buffer + process->buffered,
                        sizeof process->buffer - process->buffered);
      if (n < 0 || (n == 0 && !process->file))
        return false;
      /* End of the log file: the process has not written more yet.  */
      if (n == 0)
        pause_ms (FILE_PAUSE_MS);
      process->buffered += (size_t)n;
    }
}

bool
process_start (process_t *process, const char *program,
               const char *const *args)
{
  if (!process_spawn (process, program, args))
    return false;
  if (process_expect (process, "listening on ", process->address,
                      sizeof process->address))
    return true;
  process_kill (process);
  return false;
}

void
process_signal (const process_t *process, int signal)
{
  if (process->pid > 0)
    kill (process->pid, signal);
}

static void
release (process_t *process)
{
  forget (process->pid);
  close (process->out);
  process->pid = 0;
  process->out = -1;
}

int
process_wait (process_t *process, int timeout_ms)
{
  if (process->pid <= 0)
    return -1;
  for (int waited_ms = 0;; waited_ms += 5)
    {
      int status;
      pid_t pid = waitpid (process->pid, &status, WNOHANG);
      if (pid == process->pid)
        {
          release (process);
          return status;
        }
      if (waited_ms >= timeout_ms || (pid < 0 && errno != EINTR))
        return -1;
      pause_ms (5);
    }
}

void
process_kill (process_t *process)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, SIGKILL);
  waitpid (process->pid, NULL, 0);
  release (process);
}

int
process_stop (process_t *process)
{
  if (process->pid <= 0)
    return -1;
  kill (process->pid, SIGTERM);
  int status = process_wait (process, STOP_MS);
  if (status == -1)
    process_kill (process);
  return status;
}
