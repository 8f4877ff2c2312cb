/* core-state.h - internals of kwf_core_t, the state of one instance.  */

#ifndef KNAPWEEDFORK_CORE_STATE_H
#define KNAPWEEDFORK_CORE_STATE_H

#include <glib.h>
#include <gsl/gsl_rstat.h>

#include <knapweedfork/core.h>

#include "backend.h"
#include "budget.h"
#include "claim.h"
#include "config.h"
#include "crash.h"
#include "currency.h"
#include "demand.h"
#include "duration.h"
#include "evacuation/evacuation.h"
#include "evacuation/regions.h"
#include "fleet-load.h"
#include "metric.h"
#include "origin/origin.h"
#include "pacing.h"
#include "permit.h"
#include "placement.h"
#include "policy.h"
#include "queue.h"
#include "retry-budget.h"
#include "session.h"
#include "share.h"
#include "stranded.h"

/* Kinds of requests with separate hedge delays.  */
typedef enum
{
  HEDGE_DELAY_STREAM, /* time to the first token */
  HEDGE_DELAY_WHOLE,  /* time of a whole completion */
  HEDGE_DELAY_SERVICE,
  N_HEDGE_DELAYS
} hedge_delay_kind_t;

/* Hedge delay: running estimate of the 95th percentile of a latency.  A new
   estimate replaces the last one from time to time, so that old values are
   forgotten.  */
typedef struct
{
  gsl_rstat_quantile_workspace *current;
  size_t n_current;
  double p95; /* last complete estimate, seconds; 0: unknown */
  int64_t since_ns;
} hedge_delay_t;

/* What is known of a server whose connection was the only end of an
   answer.  */
typedef enum
{
  END_UNKNOWN, /* nothing: there was no time to ask, or it must not be asked */
  END_SILENT,  /* it gave no answer within the time limit */
  END_LIVES,   /* the process of the attempt still answers */
  END_CRASHED, /* that process has ended */
  N_END_VERDICTS
} end_verdict_t;

/* Why a request was shed.  */
typedef enum
{
  SHED_DEADLINE,     /* it would start too late */
  SHED_ORGANISATION, /* too many requests of its organisation wait */
  SHED_FULL,         /* too many requests wait */
  SHED_NO_COPY,      /* no engine will hold its model or adapter in time */
  SHED_LIMIT,        /* the limits of the servers leave no room in time */
  SHED_FORECAST,     /* lib/admission: it would not begin in time */
  SHED_DISPLACED,    /* a request that goes first took its place in the
                        queue */
  N_SHED_REASONS
} shed_reason_t;

/* Counts of what backend servers announced in their answers.  */
typedef struct
{
  uint64_t leaving;
  uint64_t pauses;
  uint64_t unreadable;       /* pauses without a valid time */
  uint64_t unreadable_loads; /* loads that cannot be read */
} notice_counts_t;

/* Counts of the choice by expected delay (lib/balance/report.h).  */
typedef struct
{
  uint64_t n_by_delay;    /* requests sent to servers that report their pace */
  uint64_t n_long_pauses; /* of these, with a pause expected above the route's
                             bound */
  int64_t next_pause_log_ns;
} balance_counts_t;

/* Waiting requests, and the state of shedding and preemption.  */
typedef struct
{
  queue_t queue;
  bool recheck;          /* a server may take requests: try to dispatch them */
  int64_t next_sweep_ns; /* time of the next check of all waiting requests */
  double first_token_s;  /* mean time to the first token at an engine; 0:
                            unknown */
  budget_t preempts;     /* limit on preemptions */
  int64_t preempt_ns;    /* no search for a stream to preempt before this
                            time */
  uint64_t n_preempted;
  uint64_t shed[N_SHED_REASONS];
  int64_t shed_logged_ns;
} wait_queue_t;

typedef struct
{
  bool stopping;
  int64_t serve_until_ns; /* until then callers may use address lists with this
                             instance */
  int64_t limit_ns;       /* open requests are cut then; INT64_MAX: never */
  int64_t linger_ns;      /* the last writes of claims are under way until
                             then */
  bool exited;
  uint64_t n_refused; /* requests that could not end before the limit */
  uint64_t n_cut;     /* requests that were open at the limit */
} stop_t;

/* State of admission by forecast (lib/admission/admission.h).  */
typedef struct admission admission_t;

struct kwf_core
{
  kwf_core_options_t options;
  session_t *session;
  config_t *config;
  shares_t *shares;
  claims_t *claims;
  backend_t *backend;
  evacuation_t *evacuation;
  regions_t *regions;
  GHashTable *homeless; /* set: routes without a server in their home regions,
                           as logged since homeless_version */
  int64_t homeless_version;
  crash_t *crash;
  origins_t *origins;
  currency_t *currency;
  reach_t *reach;
  stranded_t *stranded;
  uint64_t n_handovers; /* requests that were handed over to instances */
  demand_t *demand;
  placement_t *placement;
  metrics_t *metrics;
  retry_budget_t *retries;
  policy_t *policy;
  permits_t *permits;
  GHashTable *usuals;     /* service to usual_t (lib/balance/observe.h) */
  int64_t next_usuals_ns; /* time of their next update */
  uint64_t instance_hash;
  pacing_t pacing;
  fleet_load_t *loads; /* NULL: engines report their load themselves */
  hedge_delay_t hedge_delays[N_HEDGE_DELAYS];
  durations_t *durations;
  wait_queue_t waits;
  admission_t *admission;

  GHashTable *requests;  /* handle to request_t */
  kwf_slots_t *attempts; /* attempt_t */
  GSequence *wakes;      /* request_t, sorted by wake_ns */
  size_t n_withheld;     /* requests with a part of the answer held back */

  uint64_t config_generation; /* generation at the last check of all keys */
  int64_t config_version;
  uint64_t crash_generation;
  uint64_t crash_verdicts;
  int64_t next_attainment_ns; /* time of the next update of the attainment */
  int64_t requested_tick_ns;  /* due time of the last KWF_FX_TIMER; 0: none
                                 since the last tick */
  int64_t last_tick_ns;       /* time of the last KWF_EV_TICK */
  stop_t stop;
  notice_counts_t notices;
  balance_counts_t balance;

  uint64_t n_attempts;
  uint64_t n_retries;
  uint64_t n_hedges;
  uint64_t n_resumes;
  uint64_t n_trials;
  uint64_t n_bad_parts; /* requests refused for a part of their prompt */
  size_t n_end_checks;  /* requests in REQUEST_END_CHECK */
  uint64_t n_open_ends[N_END_VERDICTS]; /* open ends of each verdict */
};

#endif
