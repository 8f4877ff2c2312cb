/* common-standin.h - what all stand-ins share: start, answers, the record of
   what was received, values that are reported with a lag.  */

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
  uint64_t incarnation; /* wall-clock ms of the start */
  char address[80];     /* "IP:PORT" in use */
  ev_signal terminate;
  ev_signal interrupt;
  GQueue seen; /* requests, oldest first */
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

/* Answer with JSON, which is released.  */
void standin_reply (server_t *server, kwf_handle_t request, int status,
                    json_t *json);
void standin_error (server_t *server, kwf_handle_t request, int status,
                    const char *code, const char *message);

/* The body of REQUEST as an object.  Answers 400 and returns NULL when it is
   none.  */
json_t *standin_body (server_t *server, const server_request_t *request);

/* Value of a query parameter, decoded; NULL when absent.  Release with
   g_free.  */
char *standin_query (const server_request_t *request, const char *name);
int64_t standin_query_number (const server_request_t *request,
                              const char *name, int64_t default_value);

bool standin_matches (const server_request_t *request, const char *method,
                      const char *path);

/* Overwrite *VALUE when OBJECT has NAME with that type.  */
void standin_set_bool (const json_t *object, const char *name, bool *value);
void standin_set_double (const json_t *object, const char *name,
                         double *value);
void standin_set_int (const json_t *object, const char *name, int64_t *value);
void standin_set_text (const json_t *object, const char *name, char **value);

/* Record the request line, headers and body of REQUEST.  The newest 32 MiB
   are kept.  */
void standin_record (standin_t *standin, const server_request_t *request);

/* Serve GET /seen?text=T: {"count","dropped_bytes"}.  */
void standin_serve_seen (standin_t *standin, const server_request_t *request);

/* Call FN once after DELAY_MS.  */
void standin_after (struct ev_loop *loop, double delay_ms,
                    void (*fn) (void *data), void *data);

/* Now, in nanoseconds of elapsed time.  */
int64_t standin_now_ns (void);

/* A JSON value that is read as it was some time ago.  */
typedef struct
{
  GQueue values; /* of a time and a value each, oldest first */
} history_t;

/* Take VALUE, which is released later.  */
void history_put (history_t *history, json_t *value);

/* The value of LAG_MS ago, borrowed; the oldest when there is none so old;
   NULL when there is none at all.  */
json_t *history_get (history_t *history, double lag_ms);

#endif
