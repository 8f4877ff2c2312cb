/* common-workload.h - a workload of the experiment tool.

   A workload file is TOML; docs/EXPERIMENTS.md describes its tables and the
   units.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_WORKLOAD_H
#define KNAPWEEDFORK_STANDIN_COMMON_WORKLOAD_H

#include <knapweedfork/lists.h>

#include "common-sim.h"

#define N_CLASSES 3 /* kwf_priority_t */

typedef struct
{
  double minutes;
  double instances;
  double centre_ms; /* additional delay between data centres, one way */
} workload_run_t;

typedef struct
{
  double first_ms;   /* highest time to the first token */
  double between_ms; /* highest mean time between tokens */
} workload_target_t;

typedef struct
{
  const char *name;
  const char *size;
  double adapters;
  double copies; /* number of copies in the static placement */
  sim_model_t sim;
} workload_model_t;

typedef struct
{
  const char *name; /* engines: the number of the engine is added */
  const char *data_centre;
  double count;
  double ms; /* duration of a request to a service */
} workload_server_t;

typedef struct
{
  const char *name;
  const char *priority;
  double rate;  /* tokens per second */
  double burst; /* tokens */
  kwf_priority_t class;
} workload_organisation_t;

/* Requests of one organisation to some models or a service.  */
typedef struct
{
  const char *organisation;
  const char *service; /* NULL: models */
  GPtrArray *models;   /* names, the most requested first */
  double per_second;
  double burstiness;    /* squared coefficient of variation of the time between
                           requests */
  double skew;          /* the N-th model gets N^-skew times the requests of
                           the first */
  double prompt_tokens; /* mean */
  double output_tokens; /* mean */
  double prefixes;      /* number of different first parts of prompts, for each
                           model */
  double prefix_tokens; /* of each */
  double adapter_share; /* share of the requests that name an adapter */
} workload_traffic_t;

/* A change for some time: FACTOR multiplies the requests of the organisation,
   or, if there are models, their weight in its traffic.  */
typedef struct
{
  const char *organisation; /* NULL: all */
  GPtrArray *models;        /* names; empty: the rate changes */
  double from_s;
  double until_s;
  double factor;
} workload_phase_t;

typedef struct workload workload_t;

struct workload
{
  void *document;
  workload_run_t run;
  workload_target_t targets[N_CLASSES];
  sim_options_t engine;
  sim_weight_store_t store;
  GArray *models;        /* of workload_model_t */
  GArray *engines;       /* of workload_server_t */
  GArray *services;      /* of workload_server_t */
  GArray *organisations; /* of workload_organisation_t */
  GArray *traffic;       /* of workload_traffic_t */
  GArray *phases;        /* of workload_phase_t */
};

/* Read the file PATH.  On an error prints a message on standard error and
   returns NULL.  */
workload_t *workload_read (const char *path);
void workload_free (workload_t *workload);

/* Multiply the requests, rates and bursts by FACTOR.  */
void workload_scale (workload_t *workload, double factor);

workload_organisation_t *workload_organisation (const workload_t *workload,
                                                const char *name);
const workload_model_t *workload_model (const workload_t *workload,
                                        const char *name);

/* Both lists as TOML, with one plan that all organisations share.  */
void workload_lists (const workload_t *workload, GString *plans,
                     GString *uses);

/* Factor of the rate of requests of an organisation, and of the weight of a
   model in its traffic, S seconds after the start.  */
double workload_rate_factor (const workload_t *workload,
                             const char *organisation, double s);
double workload_model_factor (const workload_t *workload,
                              const char *organisation, const char *model,
                              double s);

#endif
