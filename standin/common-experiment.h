/* common-experiment.h - runs a workload against real cores on a fake clock,
   and reports latencies, refusals and met latency targets.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_EXPERIMENT_H
#define KNAPWEEDFORK_STANDIN_COMMON_EXPERIMENT_H

#include <jansson.h>

#include "common-workload.h"

#define EXPERIMENT_BUCKET_S 30

/* Counts of the requests of a class or an organisation.  A request is "inside"
   (within the organisation's rate) if a token bucket with the organisation's
   rate and burst admits it, the reference bucket.  While an organisation is
   over its rate, the fleet may serve other requests than the bucket admits;
   each request served in place of another counts as that one.  A request is
   "attained" if it met the latency target of its class.  */
typedef struct
{
  uint64_t sent;
  uint64_t inside_rate;
  uint64_t attained;         /* of those inside */
  uint64_t attained_outside; /* of the others */
  uint64_t rate_limited;     /* of those inside, refused because of the rate
                                limit */
  uint64_t refused;          /* of those inside, refused for any reason */
  uint64_t failed;           /* of those inside, ended with another error */
  uint64_t unfinished;       /* of those inside, without an answer at the
                                end */
  uint64_t served_outside;   /* of the others, not refused */
  GArray *first_ms;          /* of double: time to the first token, ms */
  GArray *between_ms;        /* of double: mean time between tokens of each
                                request, ms */
} experiment_count_t;

typedef struct
{
  const workload_organisation_t *organisation;
  double level; /* tokens in the reference bucket */
  int64_t level_ns;
  char digest[65];
  experiment_count_t count;
  GArray *inside_rate_by_time; /* of double: requests in each
                                  EXPERIMENT_BUCKET_S */
  GArray *attained_by_time;
} experiment_organisation_t;

typedef struct
{
  const workload_t *workload;
  uint64_t seed;
  const char *policy;      /* name of a policy */
  policy_t *custom_policy; /* used instead of the policy of that name; NULL:
                              none */
  double minutes;          /* simulated time; 0: as in the workload */
} experiment_options_t;

typedef struct
{
  experiment_options_t options;
  world_t *world;
  sim_weight_store_t store;
  GHashTable *models;     /* name to sim_model_t */
  GPtrArray *engine_sims; /* of sim_engine_t */
  GArray *organisations;  /* of experiment_organisation_t */
  experiment_count_t classes[N_CLASSES];
  experiment_count_t services;
  GHashTable *error_codes; /* error code to number of requests inside the
                              rate */
  int64_t start_ns;
  int64_t end_ns;
  double cpu_s;
  uint64_t n_requests;
} experiment_t;

/* Create the state before a run, with the backend servers and the initial
   placement.  */
experiment_t *experiment_new (const experiment_options_t *options);

/* Parts of experiment_new and experiment_run.  */
void experiment_add_servers (experiment_t *experiment);
void experiment_start_instances (experiment_t *experiment);

/* The servers and the load as lines for bench/loopback.sh.  */
char *experiment_process_lines (const experiment_t *experiment);

/* Run an experiment.  The policy's name must be known unless custom_policy is
   set.  */
experiment_t *experiment_run (const experiment_options_t *options);
void experiment_free (experiment_t *experiment);

/* The figures as JSON, the same figures as a table, and a plot as SVG.  */
json_t *experiment_json (const experiment_t *experiment);
char *experiment_table (const json_t *figures);

/* Mean and standard deviation of the main figures over RUNS, an array of what
   experiment_json returned: one JSON object a line.  */
char *experiment_summary (const json_t *runs);
char *experiment_plot (const experiment_t *experiment);

#endif
