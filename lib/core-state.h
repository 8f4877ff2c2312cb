/* state.h - the state of one instance behind kwf_core_t.  */

#ifndef KNAPWEEDFORK_STATE_H
#define KNAPWEEDFORK_STATE_H

#include <glib.h>
#include <gsl/gsl_rstat.h>

#include <knapweedfork/core.h>

#include "backend.h"
#include "budget.h"
#include "claim.h"
#include "config.h"
#include "crash.h"
#include "demand.h"
#include "fleet-load.h"
#include "metric.h"
#include "placement.h"
#include "policy.h"
#include "queue.h"
#include "session.h"
#include "share.h"

/* Kinds of calls whose usual time to the first data is learnt apart, for
   hedging.  */
typedef enum
{
  HEDGE_DELAY_STREAM, /* time to the first token */
  HEDGE_DELAY_WHOLE,  /* time of a whole completion */
  HEDGE_DELAY_SERVICE,
  N_HEDGE_DELAYS
} hedge_delay_kind_t;

/* Running estimate of the 95th percentile.  Two estimates take turns, so
   that old values are forgotten.  */
typedef struct
{
  gsl_rstat_quantile_workspace *current;
  size_t n_current;
  double p95; /* seconds, of the estimate before; 0: not known yet */
  int64_t since_ns;
} hedge_delay_t;

/* Why a request was shed.  */
typedef enum
{
  SHED_DEADLINE,     /* it would start too late */
  SHED_ORGANISATION, /* too many of its organisation wait */
  SHED_FULL,         /* too many wait */
  SHED_NO_COPY,      /* its model or adapter has no copy in time */
  SHED_DISPLACED,    /* one that comes before it took its place */
  N_SHED_REASONS
} shed_reason_t;

/* What servers told with their answers.  */
typedef struct
{
  uint64_t leaving;
  uint64_t pauses;
  uint64_t unreadable; /* pauses */
} notice_counts_t;

/* Waiting requests and what is known about their prospects.  */
typedef struct
{
  queue_t queue;
  bool recheck;         /* some server is */
  int64_t sweep_ns;     /* next look at all of them */
  double first_token_s; /* mean time at an engine; 0: not known */
  budget_t preempts;    /* limit of preemptions */
  int64_t preempt_ns;   /* no search for a stream to preempt before */
  uint64_t n_preempted;
  uint64_t shed[N_SHED_REASONS];
  int64_t shed_logged_ns;
} waits_t;

typedef struct
{
  bool stopping;
  int64_t serve_until_ns; /* address lists returned before are expired */
  int64_t limit_ns;       /* INT64_MAX: none */
  int64_t linger_ns;      /* last writes of claims are under way until then */
  bool exited;
} stop_t;

struct kwf_core
{
  kwf_core_options_t options;
  session_t *session;
  config_t *config;
  shares_t *shares;
  claims_t *claims;
  backend_t *backend;
  crash_t *crash;
  demand_t *demand;
  placement_t *placement;
  metrics_t *metrics;
  budget_t budget;
  policy_t *policy;
  fleet_load_t *loads; /* NULL: engines report their load themselves */
  hedge_delay_t hedge_delays[N_HEDGE_DELAYS];
  waits_t waits;

  GHashTable *requests;  /* handle to request_t */
  kwf_slots_t *attempts; /* of attempt_t */
  GSequence *wakes;      /* request_t by wake_ns */
  size_t n_held;         /* requests with data held back */

  uint64_t config_generation; /* of the last look at all keys */
  int64_t config_version;
  uint64_t crash_generation;
  int64_t next_attainment_ns; /* next look at the organisations' attainment */
  int64_t timer_ns;  /* last KWF_FX_TIMER; 0: none since the last tick */
  int64_t ticked_ns; /* time of the last KWF_EV_TICK */
  stop_t stop;
  notice_counts_t notices;

  uint64_t n_attempts;
  uint64_t n_retries;
  uint64_t n_hedges;
  uint64_t n_resumes;
  uint64_t n_trials;
};

#endif
