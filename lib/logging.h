/* logging.h - structured log output through GLib.

   Each event has a number of docs/EVENTS.md and is written to standard output,
   as text or as one JSON object a line.  If standard output is a pipe whose
   reader stalls, the process does not block: lines that do not fit the buffer,
   or that exceed 5,000 a second, are dropped, and event 15 reports their
   number.  */

#ifndef KNAPWEEDFORK_LOGGING_H
#define KNAPWEEDFORK_LOGGING_H

#include <stdbool.h>

#include <knapweedfork/effect.h>

/* Install the GLib log writer.  INSTANCE is part of each line; events below
   level LEAST are not written.  */
void logging_start (const char *instance, bool json, kwf_log_level_t min);

/* Write the event LOG.  */
void logging_write (const kwf_log_t *log);

/* Write an event from outside the reducer.  */
void logging_event (int number, kwf_log_level_t level, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
