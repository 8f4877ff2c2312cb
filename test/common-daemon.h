/* common-daemon.h - the daemon as a process beside a fake store, and callers
   that see the bytes of its answers, for tests on one loop.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_DAEMON_H
#define KNAPWEEDFORK_TEST_COMMON_DAEMON_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

#include "common-fake-store.h"
#include "common-process.h"

/* The setting fresh_ms of the daemons: a change of the tables must be in force
   after this time.  */
#define TEST_DAEMON_FRESH_MS 2000

typedef struct
{
  process_t process;
  char *directory;
  char *settings;
} test_daemon_t;

/* Starts daemon ID beside STORE.  RETRY_SHARE is the setting of that name.  */
void test_daemon_start (test_daemon_t *daemon, const fake_store_t *store,
                        const char *id, double retry_share);
void test_daemon_stop (test_daemon_t *daemon);

/* Writes a configuration with the service "desk" and ROUTES, JSON objects
   separated by commas.  */
void test_daemon_put_config (fake_store_t *store, const char *routes);

/* Writes the entry of the server NAME of the service "desk" at ADDRESS, whose
   process started at BORN.  */
void test_daemon_put_server (fake_store_t *store, const char *name,
                             const char *address, int64_t born);

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
void raw_answer_clear (raw_answer_t *answer);

/* The status; 0: there is no status line.  */
int raw_answer_status (const raw_answer_t *answer);

/* The body, decoded if it is chunked; release it with g_free.  WHOLE: whether
   its end is there, by chunks, length or the regular end of the
   connection.  */
char *raw_answer_body (const raw_answer_t *answer, bool *whole);

#endif
