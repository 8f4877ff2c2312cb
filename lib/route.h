/* route.h - selection of a backend server for a request.

   Rendezvous hashing ranks the servers that hold the model; the first two
   are the candidates of the request (docs/design.md section 7).  */

#ifndef KNAPWEEDFORK_ROUTE_H
#define KNAPWEEDFORK_ROUTE_H

#include "backend.h"

#define ROUTE_MAX_TRIED 4

typedef struct
{
  const char *model;   /* NULL for services */
  const char *version; /* preferred; NULL: any */
  const char *adapter; /* NULL when none */
  const char *service; /* of the server; NULL: any, for models */
  uint64_t key;        /* hash that ranks the servers */
  uint64_t sample_key; /* another one, which differs with each request */
  const char *data_centre;
  server_t *const *tried; /* not to be taken again */
  int n_tried;
  bool suspect;             /* only the two candidates may be taken */
  bool needs_stream_resume; /* only servers that can resume a stream */
  bool least; /* the least loaded of all holders, not two candidates */
} route_query_t;

typedef enum
{
  ROUTE_FOUND,
  ROUTE_NONE,        /* nobody holds it */
  ROUTE_UNAVAILABLE, /* held, but no holder may take it now */
  ROUTE_WAIT,        /* may be available in a moment: ask again */
  ROUTE_FULL         /* usable, but no window has room: see full */
} route_verdict_t;

typedef struct
{
  route_verdict_t verdict;
  server_t *server;
  int64_t retry_ns;        /* WAIT */
  const server_t *full[2]; /* FULL: where room is waited for; NULL: none */
} route_result_t;

route_result_t route_choose (backend_t *backend, const route_query_t *query,
                             int64_t now_ns);

/* Servers that hold what QUERY asks for; NULL when none.  */
const GPtrArray *route_holders (backend_t *backend,
                                const route_query_t *query);

/* Whether SERVER can take the request of QUERY now; NULL cannot.  */
bool route_is_eligible (const route_query_t *query, const server_t *server,
                        int64_t now_ns);

/* Hash that ranks servers, from the parts that copies of a request share.  */
uint64_t route_key (const char *organisation, const char *name,
                    uint64_t prefix);

#endif
