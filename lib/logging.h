/* logging.h - structured log output through GLib.

   Each event has a number from docs/EVENTS.md.  Text format for people, or
   one JSON object a line; both go to standard output.  A pipe whose reader
   stalls never blocks the process: lines that do not fit, or come faster than
   5,000 a second, are left out and counted in event 15.  */

#ifndef KNAPWEEDFORK_LOGGING_H
#define KNAPWEEDFORK_LOGGING_H

#include <stdbool.h>

#include <knapweedfork/effect.h>

/* Install the writer.  INSTANCE is part of each line.  */
void logging_start (const char *instance, bool json, kwf_log_level_t least);

/* Write one event.  */
void logging_write (const kwf_log_t *log);

/* Write one event from outside the reducer.  */
void logging_event (int number, kwf_log_level_t level, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
