/* common-script.h - answers of a scripted HTTP server, by name.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_SCRIPT_H
#define KNAPWEEDFORK_TEST_COMMON_SCRIPT_H

#include "common-listener.h"

/* Answer the request just read on CONNECTION as SCRIPT says.  Complete
   answers: ok, number (of the request), redirect, stream. twice: an answer,
   and another one without a request. large, large-chunk, large-header: 5000
   bytes of body, 100 KB of header. stall: part of an answer. short,
   short-chunk, undelimited: part of an answer, then end of file. close: no
   answer. then-close, then-exit: an answer to the first request of a
   connection; the second is read, and then the connection, or also the
   listener, is closed.  */
void script_serve (connection_t *connection, const char *script);

#endif
