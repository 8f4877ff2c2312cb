/* delay.h - the expected delay of a request at a backend server.

   Load pattern: a model server reads prompts in the same steps that generate
   the next tokens of its streams, so a long prompt at a slow server makes all
   its streams late.  All terms of the estimate are times.  */

#ifndef KNAPWEEDFORK_DELAY_H
#define KNAPWEEDFORK_DELAY_H

#include "../backend.h"

typedef struct
{
  const char *model;       /* NULL for plain services */
  const char *adapter;     /* NULL: none */
  const char *data_centre; /* of this instance */
  int64_t prompt_tokens;   /* 0: none or unknown */
  int64_t gap_aim_ns;      /* longest pause that the route's callers accept; 0:
                              unknown */
} delay_query_t;

typedef struct
{
  int64_t first_event_ns; /* until the first event or the answer */
  int64_t pause_ns;       /* longest pause of the streams of the server while
                             the prompt is read; 0 for plain services */
  int64_t late_cost_ns;   /* what the streams that this makes late count as a
                             delay of the request */
} delay_estimate_t;

/* Requests that are open at SERVER, from all instances.  */
int delay_open_requests (const server_t *server);

/* Prompt tokens that are being read or wait to be read at SERVER.  */
double delay_reading_tokens (const server_t *server);

/* How long work takes at SERVER, relative to the other servers of its service
   and apart from its pace.  */
double delay_slowness (const server_t *server);

/* Usual time between two events of a stream.  */
double delay_usual_gap_ns (const server_t *server);

delay_estimate_t delay_estimate (const server_t *server,
                                 const delay_query_t *query, int64_t now_ns);

/* The delay by which servers are compared.  */
double delay_cost_ns (const delay_estimate_t *estimate);

#endif
