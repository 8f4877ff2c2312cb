/* common-experiment.h - runs a workload against the real reducers on a fake
   clock, and reports what callers saw.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_EXPERIMENT_H
#define KNAPWEEDFORK_STANDIN_COMMON_EXPERIMENT_H

#include <jansson.h>

#include "common-workload.h"

#define EXPERIMENT_BUCKET_S 30

/* Requests of a class or an organisation.  "Inside" are those that a token
   bucket with the organisation's rate and burst admits.  While an organisation
   is over its rate, the fleet may serve other requests than the bucket does;
   each one served in place of another counts as that one.  */
typedef struct
{
  uint64_t sent;
  uint64_t inside;
  uint64_t attained;         /* of those inside */
  uint64_t attained_outside; /* of the others */
  uint64_t rate_limited;     /* of those inside, refused for the rate */
  uint64_t refused;          /* of those inside, refused for any reason */
  uint64_t failed;           /* of those inside, ended by another error */
  uint64_t unfinished;       /* of those inside, without an answer */
  uint64_t served_outside;   /* of the others, not refused */
  GArray *first_ms;          /* of double, those answered */
  GArray *between_ms;        /* of double, mean of each request */
} experiment_count_t;

typedef struct
{
  const workload_organisation_t *organisation;
  double level; /* of the reference bucket */
  int64_t level_ns;
  char digest[65];
  experiment_count_t count;
  GArray *inside_by_time; /* of double, each EXPERIMENT_BUCKET_S */
  GArray *attained_by_time;
} experiment_organisation_t;

typedef struct
{
  const workload_t *workload;
  uint64_t seed;
  const char *policy;      /* name */
  policy_t *custom_policy; /* used in place of the one of that name, or NULL */
  double minutes;          /* 0: the workload's */
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
  GHashTable *error_codes; /* error code to number, of those inside */
  int64_t start_ns;
  int64_t end_ns;
  double cpu_s;
  uint64_t n_requests;
} experiment_t;

/* The state before a run: servers with the placement at the start.  */
experiment_t *experiment_new (const experiment_options_t *options);

/* Parts of a run.  */
void experiment_add_servers (experiment_t *experiment);
void experiment_start_instances (experiment_t *experiment);

/* The servers and the load as lines for bench/loopback.sh.  */
char *experiment_process_lines (const experiment_t *experiment);

/* Run; the policy's name must be known unless there is another.  */
experiment_t *experiment_run (const experiment_options_t *options);
void experiment_free (experiment_t *experiment);

/* The figures as JSON, the same as a table, and a plot as SVG.  */
json_t *experiment_json (const experiment_t *experiment);
char *experiment_table (const json_t *figures);

/* Mean and standard deviation of the main figures over RUNS, an array of what
   experiment_json returned: one JSON object a line.  */
char *experiment_summary (const json_t *runs);
char *experiment_plot (const experiment_t *experiment);

#endif
