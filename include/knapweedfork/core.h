/* core.h - the core of an instance: a state machine, also called the reducer,
   that turns events into effects.  An instance, or entry instance, is one
   process of the fleet that serves callers.

   kwf_core_step processes one event: it changes the state and appends effects,
   which the program carries out.  No other function changes the state.
   Besides the event, the core reads only the clock and the random source of
   its options.  */

#ifndef KNAPWEEDFORK_CORE_H
#define KNAPWEEDFORK_CORE_H

#include <stdbool.h>

#include <knapweedfork/clock.h>
#include <knapweedfork/effect.h>
#include <knapweedfork/event.h>

/* Placement: which engine holds which model and adapter. docs/CONFIG.md has
   the bounds.  */
typedef struct
{
  bool dynamic;       /* false: no model or adapter is ever loaded or
                         unloaded */
  bool worst_served;  /* an organisation's demand counts more the further its
                         attainment (share of first tokens within the target)
                         is below the best one's */
  double loads_per_s; /* limit on starts of model loads from the weight store,
                         over the fleet */
  int64_t loads_at_once; /* limit on models that are being loaded, over the
                            fleet */
  int64_t adapter_loads_at_once; /* limit on adapters that are being loaded,
                            over the fleet */
  int64_t load_ns;               /* expected duration of a model load */
  bool no_hysteresis;     /* for experiments: another copy needs no minimum
                             gain, and a model has no minimum stay on an
                             engine */
  int64_t lease_ns;       /* part of the time that a new placement leader waits
                             before it sends orders; see lib/election.h */
  bool fencing_unchecked; /* engines do not check the fencing tokens of orders,
                             so the leader must prove its leadership regularly
                             and a new one waits longer */
  int64_t max_requests_per_copy; /* a model gets another copy when one of its
                        copies has more requests than this; not a time */
} kwf_placement_options_t;

typedef struct
{
  const char *instance; /* id, unique in the fleet */
  uint64_t incarnation; /* higher at each start of a process with this id */
  const char *data_centre;
  double cores;               /* processor cores of this instance; 0: one */
  const char *caller_address; /* "IP:PORT" that callers use */
  const char *peer_address;   /* "IP:PORT" that peers connect to */
  int64_t lease_ns;           /* of this instance's row in the fleet's table;
                                 0: 2.4 s */
  int64_t renew_ns;           /* interval of lease renewals; 0: 0.8 s */
  int64_t probe_ns;           /* interval at which this instance reads a
                                 server's load report, without push_updates;
                                 must be set */
  int64_t fresh_ns; /* time in which a change of the platform's tables must
                       take effect; 0: 2 s */
  int64_t address_lifetime_ns; /* how long callers may use an address list;
                                  must be set */
  /* Callers are not directed to an instance that ended longer than this and 3
     s ago; 0: where that is not known, they are.  */
  int64_t contact_ns;
  int64_t default_timeout_ns; /* timeout of requests that have none; must be
                                 set */
  int64_t stop_limit_ns;      /* from the stop signal until open requests are
                                 cut; 0: no limit */
  double retry_share;         /* limit on retries and hedges, as a share of
                                 requests */
  bool start_measured; /* a backend server that has just started gets a rate
                          that grows with its answers */
  /* Where set, retry_share and retry_slack bound the repeats of each service's
     requests that reach its servers in any time of this length, from all
     instances together; 0: each instance keeps to retry_share over all
     services.  */
  int64_t retry_window_ns;
  double retry_slack; /* repeats in a window beyond the share */
  bool keep_unsafe;   /* requests that may run once may use kept connections to
                         servers that report their pace */
  int64_t first_token_ns[3]; /* target for the first token, for each priority
                                class; 0: 1.3 s */
  int64_t queue_length;      /* limit on waiting requests; 0: 1024 */
  int64_t queue_organisation_length; /* limit for each organisation; 0: 256 */
  double preempt_share;              /* limit on preemptions, as a share of
                                        requests */
  bool predict_admission; /* admit the requests of services whose servers
                             report their pace by forecast */
  /* The platform sends changes of the membership, the configuration and the
     backend servers as events, so the core does not poll for them.  This also
     selects how shares are held, how instances exchange server loads, when a
     member counts as live, and how requests are retried and crash suspects
     run.  */
  bool push_updates;
  /* Tokens that the whole fleet may admit above an organisation's burst, for
     requests that are larger than one instance's share of the burst.  */
  double overdraft;
  bool finish_withdrawn; /* a request that is at a backend server when its key
                            is withdrawn is not cut */
  int64_t stop_serve_ns; /* how long a stopping instance still accepts
                        requests; 0: until the address lists that it handed
                        out have expired */
  const struct queue_ops *queue_order; /* order within a priority class; NULL:
                                          weighted fair queueing */
  const kwf_region_t *regions;         /* of the data centres */
  size_t n_regions;
  kwf_placement_options_t placement;
  const kwf_clock_t *clock;
  kwf_random_t *random;
} kwf_core_options_t;

typedef struct kwf_core kwf_core_t;

/* Return a new core.  The strings in OPTIONS are copied; the clock and the
   random source must outlive the core.  */
kwf_core_t *kwf_core_new (const kwf_core_options_t *options);
void kwf_core_free (kwf_core_t *core);

/* Process EVENT and append what is to be done to EFFECTS.  */
void kwf_core_step (kwf_core_t *core, const kwf_event_t *event,
                    kwf_effects_t *effects);

/* Whether the request of ATTEMPT may still be written to the connection that
   was opened for it.  False if the attempt has ended; if the backend server
   has restarted since the attempt was started, or is leaving or paused now, or
   may be cold and the attempt was started more than a second ago; if
   the key is withdrawn or suspended now; or if neither a valid lease nor the
   outage rule lets this instance serve now.  */
bool kwf_core_may_send (const kwf_core_t *core, kwf_handle_t attempt);

/* Whether an order may still be written to the connection that was opened for
   it.  False if the data centre of SERVER is evacuated.  */
bool kwf_core_may_order (const kwf_core_t *core, const char *server);

/* Whether the server that gave the answer of NOTICE is known to have named a
   limit on its requests.  */
bool kwf_core_knows_limit (const kwf_core_t *core,
                           const kwf_notice_event_t *notice);

/* Metrics in the Prometheus text format; free with free.  */
char *kwf_core_metrics (const kwf_core_t *core);

/* Whether this instance serves requests: it has lists in force, a valid lease
   (or the outage rule lets it serve without one) and its shares of the
   organisations' rates, and it is not stopping.  */
bool kwf_core_ready (const kwf_core_t *core);

/* Call FN with the caller addresses of instances that accept callers now.  If
   there are more than MOST, MOST of them are chosen at random, the larger part
   in DATA_CENTRE (NULL: anywhere).  */
typedef void (*kwf_address_fn_t) (const char *address, const char *data_centre,
                                  void *data);
void kwf_core_addresses (const kwf_core_t *core, const char *data_centre,
                         size_t most, kwf_address_fn_t fn, void *data);

/* Fan-out of the platform's change feeds between instances (lib/fanout.h).

   kwf_core_has_member returns whether the table has a known row of the process
   with INCARNATION of INSTANCE. kwf_core_feed_max_age_ns returns the age in
   nanoseconds of the known state after which this instance polls the
   platform's store itself; 0: it always polls, also for other instances.
   kwf_core_feed_targets calls FN with each instance that this one passes
   changes on to; OWN is true for changes that this instance polled, and false
   for changes that it received from another instance.  */
typedef void (*kwf_instance_fn_t) (const char *instance, void *data);
bool kwf_core_has_member (const kwf_core_t *core, const char *instance,
                          uint64_t incarnation);
int64_t kwf_core_feed_max_age_ns (const kwf_core_t *core);
/* Up to which this instance knows the rows of the table; 0: it knows none.  */
int64_t kwf_core_revision (const kwf_core_t *core);
void kwf_core_feed_targets (const kwf_core_t *core, bool own,
                            kwf_instance_fn_t fn, void *data);

#endif
