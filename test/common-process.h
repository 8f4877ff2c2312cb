/* common-process.h - programs under test, started and stopped by pid.

   Programs still running when the test program exits are killed.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_PROCESS_H
#define KNAPWEEDFORK_TEST_COMMON_PROCESS_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

typedef struct
{
  pid_t pid;        /* 0: not running */
  int out;          /* file descriptor of its standard output or of its log */
  bool file;        /* OUT is a log file, which grows */
  char address[80]; /* from the line "listening on IP:PORT" */
  char buffer[4096];
  size_t buffered;
} process_t;

/* Start PROGRAM, an absolute path or a name in the build's bin directory
   (environment variable KWF_BIN, else build/bin).  ARGS ends with NULL and
   does not include the program's name.  False if it cannot be started.  */
bool process_spawn (process_t *process, const char *program,
                    const char *const *args);

/* Like process_spawn, with all its output appended to the file LOG, unless LOG
   is NULL.  */
bool process_spawn_logged (process_t *process, const char *program,
                           const char *const *args, const char *log);

/* Read lines of its output until one begins with PREFIX and copy the rest of
   that line to REST.  False after 10 s, or at the end of a pipe; a log file is
   read again until then.  Nothing else reads the output: a program that writes
   more than the pipe holds blocks.  */
bool process_expect (process_t *process, const char *prefix, char *rest,
                     size_t size);

/* Start a program and wait for the line "listening on IP:PORT".  */
bool process_start (process_t *process, const char *program,
                    const char *const *args);

void process_signal (const process_t *process, int signal);

/* Wait until the process ends.  Return its status as from waitpid, or -1 after
   TIMEOUT_MS.  */
int process_wait (process_t *process, int timeout_ms);

/* Send SIGTERM, and SIGKILL if the process has not ended after 5 s.  Return
   its status as from waitpid.  Does nothing if the process has ended.  */
int process_stop (process_t *process);

/* Send SIGKILL and wait.  */
void process_kill (process_t *process);

/* Sleep for MS milliseconds.  */
void pause_ms (int ms);

#endif
