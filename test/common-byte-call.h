/* common-byte-call.h - a caller that reads the bytes of an answer itself, for
   tests on one loop.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_BYTE_CALL_H
#define KNAPWEEDFORK_TEST_COMMON_BYTE_CALL_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/* What a caller saw.  */
typedef struct
{
  bool answered; /* a status line was read */
  bool complete; /* the end of the answer was marked */
  bool marked;   /* by chunks or a length, not by its connection */
  bool timed_out;
  int status;
  GString *head;
  GString *body;
} byte_view_t;

/* The fields of a request that differ between callers.  */
typedef struct
{
  const char *version;    /* "1.0" or "1.1" */
  const char *connection; /* value of its Connection header; NULL: none */
  int deadline_ms;        /* for the answer, of X-Deadline-Ms */
  double limit_s;         /* until the caller gives up */
} byte_caller_t;

/* One call, on a connection of its own.  */
typedef struct byte_call byte_call_t;
typedef void (*byte_call_fn_t) (void *data, const byte_view_t *view);

/* Calls TARGET at the instance with address ADDRESS.  FN is called once, when
   the answer has ended, the connection has, or CALLER's time is up.  */
void byte_call_start (struct ev_loop *loop, const char *address,
                      const char *target, const char *id,
                      const byte_caller_t *caller, byte_call_fn_t fn,
                      void *data);

/* The value of header NAME of VIEW; NULL: none.  Free with g_free.  */
char *byte_view_header (const byte_view_t *view, const char *name);

#endif
