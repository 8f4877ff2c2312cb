/* lists.h - the operators' two lists as typed data.

   "plans": organisations and the plan of each.  A branch may narrow what
   its plan allows for an organisation (lower rate, burst or priority, fewer
   models), never widen it.
   "uses": plans with what each may use, and the models and services that
   exist.  */

#ifndef KNAPWEEDFORK_LISTS_H
#define KNAPWEEDFORK_LISTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/status.h>

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
  const char *const *adapters; /* adapters that exist for the model */
  size_t n_adapters;
  const char *service; /* whose engines may hold it; NULL: all engines */
  int64_t load_ns;     /* from the weight store; 0: not known */
} kwf_model_t;

typedef struct
{
  const char *name;
  bool open; /* no key is needed */
  bool once; /* calls other than GET and HEAD need an Idempotency-Key */
  /* Of a service of model engines, each of which has this.  */
  bool engine;
  int64_t memory_mb; /* for models and adapters together */
  int adapter_slots;
  double loads_per_s; /* of the weight store, for all engines together */
} kwf_service_t;

/* Part of the requests of a route that goes to one service.  */
typedef struct
{
  const char *service;
  double weight; /* beside those of the other parts; > 0 */
} kwf_split_t;

/* A way from a host and path to services.  */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix; /* of the path; begins and ends with a slash */
  const kwf_split_t *splits;
  size_t n_splits;      /* at least 1 */
  bool open;            /* no key is needed */
  bool idempotent;      /* may run more than once */
  bool stream;          /* answered by a stream of events */
  bool resumable;       /* a stream may go on at another backend server */
  int max_attempts;     /* backend servers that one request may be sent to */
  int priority;         /* 0 is served first */
  int64_t timeout_ns;   /* 0: none */
  int64_t objective_ns; /* wanted time to the first byte; 0: none */
} kwf_route_t;

/* What an organisation may use after plan and branch are combined.  */
typedef struct
{
  const char *name;
  const char *plan;
  const char *branch; /* empty when none */
  double rate;        /* tokens a second over the fleet */
  double burst;       /* tokens */
  kwf_priority_t priority;
  const char *const *models;
  size_t n_models;
  const char *const *adapters; /* "MODEL/ADAPTER" */
  size_t n_adapters;
  const char *const *services;
  size_t n_services;
  bool by_request;     /* rate and burst count requests, not tokens */
  double plain_tokens; /* charge of a routed request without token counts */
} kwf_organisation_t;

typedef struct kwf_lists kwf_lists_t;

/* One finding of the check.  */
typedef struct
{
  char file[64];  /* "plans" or "uses", or the path given */
  int line;       /* 0: unknown */
  char field[96]; /* such as organisation[2].rate */
  char found[96];
  char allowed[160];
} kwf_finding_t;

typedef void (*kwf_finding_fn_t) (const kwf_finding_t *finding, void *data);

/* Parse and check both texts.  Every finding goes to FN (may be NULL), not
   only the first.  Return the lists, or NULL when there was a finding.
   PLANS_NAME and USES_NAME are used in findings.  */
kwf_lists_t *kwf_lists_parse (const char *plans, const char *plans_name,
                              const char *uses, const char *uses_name,
                              kwf_finding_fn_t fn, void *data);
void kwf_lists_free (kwf_lists_t *lists);

/* Look-ups by name; NULL when absent.  */
const kwf_organisation_t *kwf_lists_organisation (const kwf_lists_t *lists,
                                                  const char *name);
const kwf_model_t *kwf_lists_model (const kwf_lists_t *lists,
                                    const char *name);
const kwf_service_t *kwf_lists_service (const kwf_lists_t *lists,
                                        const char *name);

/* Route of the longest prefix that begins PATH; NULL: none.  HOST is
   compared without regard to case and without a port.  */
const kwf_route_t *kwf_lists_route (const kwf_lists_t *lists, const char *host,
                                    const char *path);

/* Items by position, for walks.  */
size_t kwf_lists_n_organisations (const kwf_lists_t *lists);
const kwf_organisation_t *kwf_lists_organisation_at (const kwf_lists_t *lists,
                                                     size_t i);
size_t kwf_lists_n_models (const kwf_lists_t *lists);
const kwf_model_t *kwf_lists_model_at (const kwf_lists_t *lists, size_t i);
size_t kwf_lists_n_services (const kwf_lists_t *lists);
const kwf_service_t *kwf_lists_service_at (const kwf_lists_t *lists, size_t i);

/* Whether ORGANISATION may use the model, adapter or service.  */
bool kwf_organisation_may_use_model (const kwf_organisation_t *organisation,
                                     const char *model, const char *adapter);
bool kwf_organisation_may_use_service (const kwf_organisation_t *organisation,
                                       const char *service);

#endif
