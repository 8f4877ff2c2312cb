/* route.h - selection of a backend server for a request.

   Rendezvous hashing ranks the servers that hold the model; the two highest
   are the candidates of the request (docs/design.md section 7).  */

#ifndef KNAPWEEDFORK_ROUTE_H
#define KNAPWEEDFORK_ROUTE_H

#include "backend.h"
#include "origin/origin.h"

#define ROUTE_MAX_TRIED 4

typedef struct
{
  const char *model;   /* NULL for services */
  const char *version; /* preferred; NULL: any */
  const char *adapter; /* NULL when none */
  const char *service; /* service that the server must run; NULL: any, for
                          models */
  uint64_t key;        /* hash that ranks the servers */
  uint64_t sample_key; /* hash that differs with each request; samples two
                          servers */
  const char *data_centre;
  uint64_t excluded_regions; /* in which it must not be served */
  server_t *const *tried;    /* not to be chosen again */
  int n_tried;
  bool suspect;             /* the request is a crash suspect: only the two
                               candidates may be chosen */
  bool needs_stream_resume; /* only servers that can resume a stream */
  const origins_t
      *origins;    /* only servers that may begin streams; NULL: all */
  bool has_origin; /* only servers of software version ORIGIN */
  uint64_t origin;
  bool all_holders; /* choose the least loaded holder, not one of two
                       candidates */
  /* Only with ALL_HOLDERS, where servers report their pace.  */
  int64_t prompt_tokens; /* 0: unknown */
  int64_t gap_aim_ns;    /* longest pause between events that callers accept;
                            0: unknown */
  uint64_t spread;       /* hash of the request and this instance */
} route_query_t;

typedef enum
{
  ROUTE_FOUND,
  ROUTE_NONE,        /* no server holds it */
  ROUTE_UNAVAILABLE, /* held, but no holder may take it now */
  ROUTE_WAIT,        /* may be available shortly: ask again */
  ROUTE_NO_ROOM      /* eligible, but no window has room, or the slow start
                        after a pause allows no more: see full */
} route_verdict_t;

typedef struct
{
  route_verdict_t verdict;
  server_t *server;
  int64_t retry_ns;        /* ROUTE_WAIT: when to ask again */
  const server_t *full[2]; /* ROUTE_NO_ROOM: servers for whose room it waits;
                              NULL: none */
} route_result_t;

route_result_t route_choose (backend_t *backend, const route_query_t *query,
                             int64_t now_ns);

/* Holders: the servers that hold the model of QUERY, or run its service; NULL
   when none.  */
const GPtrArray *route_holders (backend_t *backend,
                                const route_query_t *query);

/* Whether SERVER may be sent the request of QUERY now, apart from room in its
   window and slow start.  SERVER NULL: false.  */
bool route_is_eligible (const route_query_t *query, const server_t *server,
                        int64_t now_ns);

/* Hash that ranks servers, made of what equal requests have in common.  */
uint64_t route_key (const char *organisation, const char *name,
                    uint64_t prefix);

#endif
