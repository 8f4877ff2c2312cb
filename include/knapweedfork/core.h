/* core.h - the reducer of an entry instance.

   kwf_core_step is the only way in: it takes one event, changes the state
   and appends effects.  It reads the clock and the random source that it
   was given and nothing else of the outside.  */

#ifndef KNAPWEEDFORK_CORE_H
#define KNAPWEEDFORK_CORE_H

#include <stdbool.h>

#include <knapweedfork/clock.h>
#include <knapweedfork/effect.h>
#include <knapweedfork/event.h>

/* Placement of models on engines; docs/CONFIG.md has the bounds.  */
typedef struct
{
  bool dynamic;      /* false: engines hold what they hold */
  bool worst_served; /* weigh the demand by the shortfall in attainment */
  /* Budgets of the weight store, over the whole fleet.  */
  double loads_per_s;
  int64_t loads_at_once;
  int64_t adapter_loads;  /* at once */
  int64_t load_ns;        /* expected time of a load */
  bool no_hysteresis;     /* for experiments: each round places anew */
  int64_t lease_ns;       /* a new holder of the duty waits for this long */
  bool fencing_unchecked; /* engines take orders whatever token they bear */
  int64_t copy_load;      /* requests at a copy above which it gets another */
} kwf_placement_options_t;

typedef struct
{
  const char *instance; /* id, unique in the fleet */
  uint64_t incarnation; /* rises with each start of this id */
  const char *data_centre;
  double cores;               /* processor of this instance; default 1 */
  const char *caller_address; /* "IP:PORT" that callers use */
  const char *peer_address;   /* "IP:PORT" of the link listener */
  int64_t lease_ns;           /* default 2.4 s */
  int64_t renew_ns;           /* default 0.8 s */
  int64_t probe_ns;           /* default 0.5 s */
  int64_t fresh_ns; /* in which a change of the platform's tables must be in
                       force; default 2 s */
  int64_t address_lifetime_ns; /* default 5 s */
  int64_t default_timeout_ns;  /* default 60 s */
  int64_t stop_limit_ns;       /* 0: none */
  double retry_share;          /* retries and hedges, share of requests */
  int64_t first_token_ns[3];   /* target of each class; 0: 1.3 s */
  int64_t queue_length;        /* most requests that wait; 0: 1024 */
  int64_t queue_organisation_length; /* of one organisation; 0: 256 */
  double preempt_share;              /* preemptions, share of requests */
  /* Membership, configuration and the state of backend servers come as
     events; nothing is polled.  */
  bool push_updates;
  /* Tokens that the fleet may admit above an organisation's burst, for
     requests that are larger than one instance's part of it.  */
  double overdraft;
  bool finish_withdrawn; /* requests under way when their key is withdrawn go
                            on to their end */
  int64_t linger_ns;     /* a stopping instance takes requests for this long;
                            0: until the address answers have run out */
  const struct queue_ops *queue_order; /* NULL: weighted fair */
  kwf_placement_options_t placement;
  const kwf_clock_t *clock;
  kwf_random_t *random;
} kwf_core_options_t;

typedef struct kwf_core kwf_core_t;

/* Make the state of one instance.  Strings in OPTIONS are copied.  */
kwf_core_t *kwf_core_new (const kwf_core_options_t *options);
void kwf_core_free (kwf_core_t *core);

/* Take EVENT, append to EFFECTS.  */
void kwf_core_step (kwf_core_t *core, const kwf_event_t *event,
                    kwf_effects_t *effects);

/* Whether the decision for ATTEMPT still holds, so that its request may be
   written to the connection that was made for it.  */
bool kwf_core_may_send (const kwf_core_t *core, kwf_handle_t attempt);

/* Counters and histograms in the Prometheus text format; free with
   free.  */
char *kwf_core_metrics (const kwf_core_t *core);

/* Whether requests are served: a configuration is in force, the session may
   act, there is a share of the rates, and no stop has begun.  */
bool kwf_core_ready (const kwf_core_t *core);

/* Call FN with the caller addresses of at most MOST instances that callers
   may use now; of more, most are in DATA_CENTRE (NULL: wherever).  */
typedef void (*kwf_address_fn_t) (const char *address, const char *data_centre,
                                  void *data);
void kwf_core_addresses (const kwf_core_t *core, const char *data_centre,
                         size_t most, kwf_address_fn_t fn, void *data);

/* Who is told what the platform's tables say (lib/follower.h): the age at
   which this instance asks itself, 0: it reads for others; and whom it
   tells.  */
typedef void (*kwf_instance_fn_t) (const char *instance, void *data);
/* Whether the table's row of this process of INSTANCE is known.  */
bool kwf_core_has_member (const kwf_core_t *core, const char *instance,
                          uint64_t incarnation);
int64_t kwf_core_feed_max_age_ns (const kwf_core_t *core);
void kwf_core_feed_targets (const kwf_core_t *core, bool own,
                            kwf_instance_fn_t fn, void *data);

#endif
