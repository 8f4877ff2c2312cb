/* core.h - the reducer of an entry instance, that is, of one process of the
   serving tier.

   kwf_core_step processes one event: it changes the state and appends effects,
   which the caller carries out.  No other function changes the state.  Besides
   the event, the reducer reads only the clock and the random source of its
   options.  */

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
  bool dynamic;      /* false: no model or adapter is ever loaded or
                        unloaded */
  bool worst_served; /* demand counts more where an organisation's attainment
                        is below that of the best-served one */
  /* Limits on loads from the weight store, over the whole fleet.  */
  double loads_per_s;
  int64_t loads_at_once;
  int64_t adapter_loads;  /* adapters that are loaded at the same time */
  int64_t load_ns;        /* expected duration of a model load */
  bool no_hysteresis;     /* for experiments: another copy needs no least gain,
                             and a model has no least time on an engine */
  int64_t lease_ns;       /* a new placement leader waits this long before it
                             acts */
  bool fencing_unchecked; /* engines accept orders with any fencing token */
  int64_t copy_load;      /* requests per copy above which the model gets
                             another copy */
} kwf_placement_options_t;

typedef struct
{
  const char *instance; /* id, unique in the fleet */
  uint64_t incarnation; /* higher at each start of a process with this id */
  const char *data_centre;
  double cores;               /* processor cores of this instance; default 1 */
  const char *caller_address; /* "IP:PORT" that callers use */
  const char *peer_address;   /* "IP:PORT" that peers connect to */
  int64_t lease_ns;           /* of the session; default 2.4 s */
  int64_t renew_ns;           /* interval of lease renewals; default 0.8 s */
  int64_t probe_ns;           /* interval of load reports from a backend
                                 server; default 0.5 s */
  int64_t fresh_ns; /* a change of the platform's tables is in force within
                       this time; default 2 s */
  int64_t address_lifetime_ns; /* how long callers may use an address list;
                                  default 5 s */
  int64_t default_timeout_ns;  /* of requests without a timeout; default 60
                                  s */
  int64_t stop_limit_ns;       /* from the stop signal until open requests are
                                  cut; 0: no limit */
  double retry_share;          /* limit on retries and hedges, as a share of
                                  requests */
  int64_t first_token_ns[3];   /* target for the first token, for each priority
                                  class; 0: 1.3 s */
  int64_t queue_length;        /* limit on waiting requests; 0: 1024 */
  int64_t queue_organisation_length; /* limit for each organisation; 0: 256 */
  double preempt_share;              /* limit on preemptions, as a share of
                                        requests */
  /* Changes of the membership, the configuration and the backend servers
     arrive as events, so the reducer does not poll for them.  */
  bool push_updates;
  /* Tokens that the whole fleet may admit above an organisation's burst, for
     requests that are larger than one instance's share of the burst.  */
  double overdraft;
  bool finish_withdrawn; /* requests under way when their key is withdrawn are
                            not cut */
  int64_t linger_ns;     /* how long a stopping instance still accepts
                            requests; 0: until the address lists that it handed
                            out have expired */
  const struct queue_ops *queue_order; /* NULL: weighted fair queueing */
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
   was opened for it.  False when, since the attempt was started, the backend
   server restarted, began to leave or asked for a pause, the key was
   withdrawn, or this instance lost the right to act.  */
bool kwf_core_may_send (const kwf_core_t *core, kwf_handle_t attempt);

/* Metrics in the Prometheus text format; free with free.  */
char *kwf_core_metrics (const kwf_core_t *core);

/* Whether this instance serves requests: it has lists in force, a session that
   allows it to act and its shares of the organisations' rates, and it is not
   stopping.  */
bool kwf_core_ready (const kwf_core_t *core);

/* Call FN with the caller addresses of at most MOST instances that accept
   callers now.  When there are more than MOST, a random choice is made, most
   of it from DATA_CENTRE (NULL: from all alike).  */
typedef void (*kwf_address_fn_t) (const char *address, const char *data_centre,
                                  void *data);
void kwf_core_addresses (const kwf_core_t *core, const char *data_centre,
                         size_t most, kwf_address_fn_t fn, void *data);

/* Fan-out of the platform's change feeds between instances (lib/fanout.h).

   kwf_core_has_member returns whether the table row of this process of
   INSTANCE is known. kwf_core_feed_max_age_ns returns the age in nanoseconds
   of the known state after which this instance polls the platform's store
   itself; 0: it always polls, also for other instances. kwf_core_feed_targets
   calls FN with each instance that this one passes changes on to; OWN says
   that it polled them itself, instead of receiving them from another
   instance.  */
typedef void (*kwf_instance_fn_t) (const char *instance, void *data);
bool kwf_core_has_member (const kwf_core_t *core, const char *instance,
                          uint64_t incarnation);
int64_t kwf_core_feed_max_age_ns (const kwf_core_t *core);
void kwf_core_feed_targets (const kwf_core_t *core, bool own,
                            kwf_instance_fn_t fn, void *data);

#endif
