/* common-daemon.h - the daemon as a process beside a fake store, and callers
   that see the bytes of its answers, for tests on one loop.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_DAEMON_H
#define KNAPWEEDFORK_TEST_COMMON_DAEMON_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

#include "common-fake-store.h"
#include "common-process.h"

#define TEST_OTHERS 4

typedef struct
{
  struct ev_loop *loop;
  fake_store_t *store;
  process_t process;
  char operators[32];                    /* address for operators */
  char other_operators[TEST_OTHERS][32]; /* of those that were started
                                          later */
  char peers[32]; /* address for links of other instances */
  char *directory;
  char *settings;
  int n_others;
} test_daemon_t;

/* Starts a daemon whose configuration has the service "desk" and ROUTES, JSON
   objects separated by commas.  */
void test_daemon_start (test_daemon_t *daemon, struct ev_loop *loop,
                        const char *routes);

typedef struct
{
  int grace_s;          /* 0: none */
  int memory_mb;        /* of the instance; 0: not told */
  const char *callers;  /* further lines of [callers]; NULL: none */
  const char *platform; /* further lines of [platform]; NULL: none */
  const char *retries;  /* limits for repeats, lines of the settings; NULL: the
                           default of these tests */
} test_daemon_options_t;

/* The same with OPTIONS.  */
void test_daemon_start_with (test_daemon_t *daemon, struct ev_loop *loop,
                             const char *routes,
                             const test_daemon_options_t *options);
/* Starts another instance, i2 and so on, up to TEST_OTHERS, on the same store.
 */
void test_daemon_start_other (test_daemon_t *daemon, process_t *other);
/* Stops DAEMON; the others have ended.  */
void test_daemon_stop (test_daemon_t *daemon);
/* Lists the server NAME of the service "desk" at ADDRESS.  */
void test_daemon_add_server (const test_daemon_t *daemon, const char *name,
                             const char *address);

/* What a caller saw on its connection.  */
typedef struct
{
  GString *bytes; /* as they arrived */
  bool closed;    /* the other side ended the connection: see reset */
  bool reset;     /* with a reset */
  double seconds; /* until the end, or until UNTIL was there */
} raw_answer_t;

/* Sends REQUEST to ADDRESS on a new connection and reads until its end, until
   the bytes contain UNTIL (NULL: no such text), or for LIMIT_S.  Release the
   answer with raw_answer_clear.  */
void raw_call (struct ev_loop *loop, const char *address, const char *request,
               const char *until, double limit_s, raw_answer_t *answer);
/* Sends REQUEST on a new connection and returns its file descriptor.  */
int raw_send (const char *address, const char *request);
/* As raw_call, with a pause before the REST of the request.  */
void raw_call_in_parts (struct ev_loop *loop, const char *address,
                        const char *first, double pause_s, const char *rest,
                        const char *until, double limit_s,
                        raw_answer_t *answer);
void raw_answer_clear (raw_answer_t *answer);

/* The status; 0: there is no status line.  */
int raw_answer_status (const raw_answer_t *answer);

/* The body, decoded if it is chunked; release it with g_free.  WHOLE: whether
   its end is there, by chunks, length or the regular end of the
   connection.  */
char *raw_answer_body (const raw_answer_t *answer, bool *whole);

#endif
