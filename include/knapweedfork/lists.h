/* lists.h - the operators' configuration: two lists, parsed and checked.

   The list "plans" has the organisations, each with the name of its plan.  If
   an organisation also names a branch, it may have lower limits than its plan
   (rate, burst, priority, fewer models), never higher ones.  The plans
   themselves are in the list "uses", with what each allows, and so are the
   models and services that exist.  */

#ifndef KNAPWEEDFORK_LISTS_H
#define KNAPWEEDFORK_LISTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/status.h>

/* The region of a data centre.  */
typedef struct
{
  char *data_centre;
  char *region;
} kwf_region_t;

/* Different regions at most.  */
#define KWF_REGIONS_MAX 62

typedef enum
{
  KWF_PRIORITY_URGENT = 0,
  KWF_PRIORITY_INTERACTIVE = 1,
  KWF_PRIORITY_OVERNIGHT = 2
} kwf_priority_t;

typedef struct
{
  const char *name;
  int64_t memory_mb;
  const char *version;
  const char *const *adapters; /* adapters of the model */
  size_t n_adapters;
  const char *service; /* only this service's engines may hold the model; NULL:
                          all engines */
  int64_t load_ns;     /* duration of a load from the weight store; 0:
                          unknown */
} kwf_model_t;

typedef struct
{
  const char *name;
  bool open; /* requests need no key */
  bool once; /* requests other than GET and HEAD need an Idempotency-Key */
  double cold_per_s;     /* requests a second that a server handles while it is
                            cold; 0: its servers are never cold */
  int64_t cold_start_ns; /* how long a server is cold after a start */
  /* Only if ENGINE, that is, if the service consists of model engines; the
     values hold for each engine.  */
  bool engine;
  int64_t memory_mb; /* for models and adapters together */
  int adapter_slots;
  double loads_per_s; /* limit of the weight store, for all engines together */
} kwf_service_t;

/* Part of a route's requests that goes to one service.  */
typedef struct
{
  const char *service;
  double weight; /* relative to the route's other parts; above 0 */
} kwf_split_t;

/* Maps a host and a path prefix to one or more services.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix; /* of the path; begins and ends with a slash */
  const kwf_split_t *splits;
  size_t n_splits;      /* at least 1 */
  bool open;            /* requests need no key */
  bool idempotent;      /* requests may run more than once */
  bool stream;          /* answers are streams of events */
  bool resumable;       /* a broken stream may continue at another backend
                           server */
  int max_attempts;     /* limit on the backend servers that a request is sent
                           to */
  int priority;         /* 0 is the highest */
  int64_t timeout_ns;   /* 0: none */
  int64_t objective_ns; /* target for the time to the first byte; 0: none */
  /* Regions whose servers may be sent requests; NULL: all.  */
  const char *const *allowed_regions;
  size_t n_allowed_regions;
  int64_t gap_aim_ns; /* longest pause between the events of a stream that
                         callers accept; 0: not known */
} kwf_route_t;

/* What an organisation may use: its plan, narrowed by its branch.  */
typedef struct
{
  const char *name;
  const char *plan;
  const char *branch; /* "" if none */
  double rate;        /* tokens per second, over the whole fleet */
  double burst;       /* tokens */
  kwf_priority_t priority;
  const char *const *models;
  size_t n_models;
  const char *const *adapters; /* "MODEL/ADAPTER" */
  size_t n_adapters;
  const char *const *services;
  size_t n_services;
  bool by_request;     /* rate and burst are requests, not tokens */
  double plain_tokens; /* tokens charged for a routed request that has no token
                          counts */
  const char *const *allowed_regions; /* as those of a route */
  size_t n_allowed_regions;
} kwf_organisation_t;

typedef struct kwf_lists kwf_lists_t;

/* One error that the check of a list or of the settings found.  */
typedef struct
{
  char file[64];  /* "plans", "uses" or the path that the caller gave */
  int line;       /* 0: unknown */
  char field[96]; /* for example organisation[2].rate */
  char found[96];
  char allowed[160];
} kwf_finding_t;

typedef void (*kwf_finding_fn_t) (const kwf_finding_t *finding, void *data);

/* Parse and check both lists.  FN (may be NULL) is called with every error
   that is found.  Return the lists, or NULL if there was an error.  PLANS_NAME
   and USES_NAME are the file names in findings.  */
kwf_lists_t *kwf_lists_parse (const char *plans, const char *plans_name,
                              const char *uses, const char *uses_name,
                              kwf_finding_fn_t fn, void *data);
void kwf_lists_free (kwf_lists_t *lists);

/* Look up by name; NULL if absent.  */
const kwf_organisation_t *kwf_lists_organisation (const kwf_lists_t *lists,
                                                  const char *name);
const kwf_model_t *kwf_lists_model (const kwf_lists_t *lists,
                                    const char *name);
const kwf_service_t *kwf_lists_service (const kwf_lists_t *lists,
                                        const char *name);

/* Return the route of HOST whose prefix is the longest that PATH begins with,
   or NULL.  Case and port of HOST are ignored.  */
const kwf_route_t *kwf_lists_route (const kwf_lists_t *lists, const char *host,
                                    const char *path);

/* Access by index.  */
size_t kwf_lists_n_organisations (const kwf_lists_t *lists);
const kwf_organisation_t *kwf_lists_organisation_at (const kwf_lists_t *lists,
                                                     size_t i);
size_t kwf_lists_n_models (const kwf_lists_t *lists);
const kwf_model_t *kwf_lists_model_at (const kwf_lists_t *lists, size_t i);
size_t kwf_lists_n_services (const kwf_lists_t *lists);
const kwf_service_t *kwf_lists_service_at (const kwf_lists_t *lists, size_t i);
size_t kwf_lists_n_routes (const kwf_lists_t *lists);
const kwf_route_t *kwf_lists_route_at (const kwf_lists_t *lists, size_t i);

/* Whether ORGANISATION may use the model (with ADAPTER, if not NULL) or the
   service.  */
bool kwf_organisation_may_use_model (const kwf_organisation_t *organisation,
                                     const char *model, const char *adapter);
bool kwf_organisation_may_use_service (const kwf_organisation_t *organisation,
                                       const char *service);

#endif
