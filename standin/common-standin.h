/* common-standin.h - parts that all stand-ins share: start, answers, a record
   of the requests received, values that are reported with a lag.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_STANDIN_H
#define KNAPWEEDFORK_STANDIN_COMMON_STANDIN_H

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "../net/server.h"

typedef struct
{
  struct ev_loop *loop;
  server_t *server;
  uint64_t incarnation; /* wall-clock time of the start, ms */
  char address[80];     /* "IP:PORT" that it listens on */
  ev_signal terminate;
  ev_signal interrupt;
  GQueue seen; /* of recorded_request_t, oldest first */
  size_t seen_bytes;
  uint64_t seen_dropped;
} standin_t;

/* Listen on "IP:PORT".  Exits with a message on failure.  */
void standin_start (standin_t *standin, const char *listen,
                    const server_handler_t *handler, void *data);

/* Add this program to the platform's membership list.  Exits with a message
   when the platform cannot be reached.  */
void standin_register (const standin_t *standin, const char *platform,
                       const char *id, const char *kind, const char *name,
                       const char *data_centre);

/* Print "listening on IP:PORT" and serve until SIGTERM or SIGINT.  */
void standin_run (standin_t *standin);

/* Answer with JSON and release it.  */
void standin_reply (server_t *server, kwf_handle_t request, int status,
                    json_t *json);
void standin_error (server_t *server, kwf_handle_t request, int status,
                    const char *code, const char *message);

/* The body of REQUEST as an object.  If it is not one, answers 400 and returns
   NULL.  */
json_t *standin_body (server_t *server, const server_request_t *request);

/* Value of a query parameter, decoded; NULL if it is absent.  Release with
   g_free.  */
char *standin_query (const server_request_t *request, const char *name);
int64_t standin_query_number (const server_request_t *request,
                              const char *name, int64_t default_value);

bool standin_matches (const server_request_t *request, const char *method,
                      const char *path);

/* If OBJECT has a member NAME of that type, store it in *VALUE.  */
void standin_set_bool (const json_t *object, const char *name, bool *value);
void standin_set_double (const json_t *object, const char *name,
                         double *value);
void standin_set_int (const json_t *object, const char *name, int64_t *value);
void standin_set_text (const json_t *object, const char *name, char **value);

/* Record the request line, headers and body of REQUEST.  The last 32 MiB are
   kept.  */
void standin_record (standin_t *standin, const server_request_t *request);

/* Serve GET /seen?text=T: answer {"count","dropped_bytes"}.  COUNT says how
   often T occurs in the recorded requests.  */
void standin_serve_seen (standin_t *standin, const server_request_t *request);

/* Call FN once after DELAY_MS.  */
void standin_after (struct ev_loop *loop, double delay_ms,
                    void (*fn) (void *data), void *data);

/* Monotonic time, ns.  */
int64_t standin_now_ns (void);

/* A JSON value that is reported with a lag.  */
typedef struct
{
  GQueue values; /* of history_entry_t, oldest first */
} history_t;

/* Add VALUE as the current one and take ownership of it.  */
void history_put (history_t *history, json_t *value);

/* The value of LAG_MS ago, owned by HISTORY.  If none is that old, the oldest;
   if there are no values, NULL.  */
json_t *history_get (history_t *history, double lag_ms);

#endif
