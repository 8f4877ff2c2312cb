/* backend.h - the set of all backend servers: membership, load reports,
   circuit breaking and outlier ejection.  The entry of a server is its line in
   the membership list (kwf_member_t).  */

#ifndef KNAPWEEDFORK_BACKEND_H
#define KNAPWEEDFORK_BACKEND_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/core.h>

#include "balance/speed.h"
#include "limit.h"
#include "reach/reach.h"
#include "window.h"

typedef enum
{
  CIRCUIT_CLOSED,
  CIRCUIT_OPEN /* half-open once open_until_ns has passed */
} circuit_t;

typedef struct
{
  char *version;
  GHashTable *adapters; /* set of names */
} server_model_t;

/* Priority classes whose refused callers are spread separately after a
   pause.  */
#define NOTICE_CLASSES 3

/* What the process of the server announced with its answers
   (lib/notice.h).  */
typedef struct
{
  bool leaving;
  int64_t leaving_ns;    /* when that was read, here or at another instance */
  int64_t taken_back_ns; /* when leaving was last taken back; 0: never */
  int64_t leaving_probe_ns;   /* no earlier probe of the leaving server */
  int64_t unsettled_revision; /* newest revision of its entry that may have
                                 been written before it announced that it
                                 leaves */
  bool settled; /* a list that is newer than the announcement, and has all
                   entries written before it, has set that revision */
  int64_t pause_until_ns; /* end of the pause; 0: it never asked for one */
  int64_t slow_start_ns;  /* length of the slow start after the pause */
  int in_flight;          /* requests in flight when it asked for the pause */
  int n_started;          /* requests started since period_start_ns */
  int n_started_before;   /* in the period of a second before that */
  int64_t period_start_ns;
  int started_per_period;              /* in such a period before the pause */
  int refused_callers[NOTICE_CLASSES]; /* callers refused during the pause */
} notice_t;

/* What is known of the entry of the server (lib/restored.h).  */
typedef struct
{
  int64_t revision;      /* of its entry, or of the list that lacked it */
  int64_t held_revision; /* of the entry that counts as leaving */
  int64_t until_ns;      /* it does until then; 0: it does not */
} restored_t;

typedef struct
{
  char *id;
  char *name; /* service; may be empty for engines */
  char *address;
  char *data_centre;
  uint64_t hash;   /* hash of the id, for rendezvous hashing */
  uint64_t region; /* bit of its region (lib/evacuation/regions.h) */
  int64_t unlisted_ns;
  int64_t doubted_until_ns; /* the list lacks it, and it stays listed until
                               then; 0: the list has it, or it is gone */

  uint64_t incarnation;
  uint64_t software; /* as in kwf_member_t */
  int64_t memory_total_mb;
  int64_t memory_used_mb;
  GHashTable *models;   /* name to server_model_t */
  uint64_t models_hash; /* of the models last applied; 0: apply them again */
  GHashTable *first_data_stats; /* model to statistics of the time to the first
                                   data, for outlier.c */
  GHashTable *unloading;     /* set: models that are being unloaded, or NULL */
  GHashTable *lost_models;   /* set: models that its lost process held, or
                                NULL */
  int64_t lost_ns;           /* when its process was last lost or replaced; 0:
                                never */
  int64_t models_changed_ns; /* when a message or an answer last changed what
                                is known of its models; 0: never */
  char *removed_model;       /* model that is being unloaded or was found
                                missing; NULL: none */
  int64_t removed_ns;        /* when that was learnt */
  int64_t revision;          /* of the entry that was last applied in full */
  int64_t probe_since_ns;
  int64_t next_probe_ns;
  int64_t open_until_ns; /* end of the open state of the circuit */
  double good;           /* good outcomes, decayed */
  double bad;
  int64_t outcomes_ns; /* time up to which both are decayed */
  int64_t ejected_until_ns;

  int64_t pace_ns;      /* when it last said its pace */
  speed_t speed;        /* times measured there (lib/balance/) */
  speed_t others_speed; /* the same of other instances (lib/fleet-load.h) */
  usual_t *usual; /* means of its service; NULL: no server of it ever reported
                     a pace */
  int64_t kept_until_ns;  /* until then, an idle kept connection to it may be
                             used; 0: there is none */
  int64_t reading_tokens; /* prompt tokens of its attempts without data */
  int64_t others_reading_tokens; /* the same of other instances */

  kwf_member_kind_t kind;
  circuit_t circuit;
  int missed_reports; /* load reports in a row that did not arrive */
  int slots;          /* requests that it runs at once; 0: not known */
  int running;
  int waiting;
  int sent; /* requests sent by this instance since its load was last known */
  int sent_at_probe;
  int pace; /* how long work takes there, in per cent of its usual time;
               0: it never said */
  int open_attempts;
  int unanswered;        /* of these, attempts without any data yet */
  int others_open;       /* open attempts of other instances */
  int others_unanswered; /* of these, attempts without any data yet */
  int failures;          /* of attempts in a row */
  window_t window;       /* engines: limit of open_attempts (lib/window.h) */
  double ahead; /* queued requests that wait for it, as counted so far by
                   a sweep of the queue */
  int openings; /* of the circuit in a row, for the back-off */
  int ejections;

  reach_mark_t reach;
  notice_t notice;
  restored_t restored;
  limit_t limit;
  bool load_unreadable; /* the last load that it sent was none */
  bool others_known;    /* whether others_open and others_unanswered are known
                           (lib/fleet-load.h) */
  bool pace_heard;      /* the last pace was said to another instance */
  bool contended;       /* its deployment has background work
                           (lib/balance/contention.h) */
  bool is_slow;         /* the log has it as slow */
  bool listed;          /* in the latest membership list, or doubted */
  bool present;         /* in the latest membership list */
  bool member_leaving;
  bool evacuated; /* its data centre is (lib/evacuation/evacuation.h) */
  bool report_leaving;
  bool reported; /* a load report or a description of it has arrived */
  bool refused;  /* the address refused the last connection */
  bool resume;   /* can resume a stream */
  bool probing;
  bool probe_again;       /* probe again after this probe, as a newer report is
                             wanted */
  bool half_open_attempt; /* the one attempt that a half-open circuit allows is
                             running */
  bool recheck;           /* requests that wait for it are due for dispatch */
} server_t;

typedef struct backend backend_t;

/* What a load report showed about the process behind a server.  */
typedef struct
{
  server_t *server;
  bool fresh;    /* the probe started after the last backend_probe_now */
  bool valid;    /* a report arrived */
  bool refused;  /* the address refused the connection */
  bool answered; /* an answer came, whether or not it is a report */
  bool broken;   /* the connection was accepted, and ended without an answer */
  bool replaced; /* it says that another server has the address now */
  uint64_t incarnation_before;
} backend_report_t;

backend_t *backend_new (const kwf_core_options_t *options);
void backend_free (backend_t *backend);

/* Handle KWF_EV_MEMBERS, KWF_EV_REPORT and ticks.  RESULT is filled after a
   report of a known server.  */
void backend_step (backend_t *backend, const kwf_event_t *event,
                   kwf_effects_t *effects, backend_report_t *result);

/* Request a load report that is newer than now.  */
void backend_probe_now (backend_t *backend, server_t *server,
                        kwf_effects_t *effects);

/* Servers that hold MODEL or run SERVICE, including servers that were lost
   within the last minute; NULL: none.  */
const GPtrArray *backend_servers_of_model (backend_t *backend,
                                           const char *model);
const GPtrArray *backend_servers_of_service (backend_t *backend,
                                             const char *service);
const GPtrArray *backend_servers (const backend_t *backend);
server_t *backend_find (const backend_t *backend, const char *id);

/* Send no new requests for these models of SERVER.  Takes ownership of
   UNLOADING.  */
void backend_set_unloading (server_t *server, GHashTable *unloading);

/* Whether SERVER holds MODEL and is not unloading it.  MODEL NULL: true.  */
bool server_holds_model (const server_t *server, const char *model);
bool server_is_unloading (const server_t *server, const char *model);
bool server_holds_version (const server_t *server, const char *model,
                           const char *version);
bool server_holds_adapter (const server_t *server, const char *model,
                           const char *adapter);

/* Whether new requests may be sent to SERVER.  */
bool server_usable (const server_t *server, int64_t now_ns);
/* Whether nothing new may be sent to SERVER until its process is replaced or
   its data centre is in service again.  */
bool server_leaving (const server_t *server);

/* Whether SERVER, which is usable, may be sent one more request now.  Slow
   start, window and limit all have to allow it.  */
bool server_may_take_one_more (server_t *server, int64_t now_ns);

/* Whether SERVER may become usable soon: the one attempt that its half-open
   circuit allows is running.  */
bool server_half_open_busy (const server_t *server, int64_t now_ns);

/* Whether several load reports in a row are missing; SERVER is then the last
   choice.  */
bool server_silent (const server_t *server);

/* Last reported load plus the requests that this instance sent since.  */
int server_load (const server_t *server);

/* Set the load of SERVER that came with an answer.  SLOTS 0: unchanged.  */
void server_set_load (server_t *server, int running, int waiting, int slots);

/* Handle CHANGE, from this or another instance: a model or an adapter is, or
   soon will be, present on an engine or absent.  PRESENT is sent when the
   engine has accepted the load, which may not be done, or has not accepted an
   unload.  The opposite is sent before an unload is ordered.  A present
   adapter and what is absent are applied at once.  A present model is not
   added to the server; only the time for backend_model_load_announced_ns is
   set.  */
void backend_handle_residency (backend_t *backend,
                               const kwf_residency_t *change);

/* When CHANGE of backend_handle_residency last said that MODEL is present or
   being loaded; INT64_MIN: never.  */
int64_t backend_model_load_announced_ns (const backend_t *backend,
                                         const char *model);

/* Whether the models or adapters of any engine changed since the last
   call.  */
bool backend_consume_residency_change (backend_t *backend);

/* An answer of SERVER showed that it lacks ADAPTER (NULL: none) of MODEL, or
   MODEL itself, contrary to its entry: remove that from what it holds.  */
void backend_drop_resident (backend_t *backend, server_t *server,
                            const char *model, const char *adapter);

/* A question for a load report or an order is sent to SERVER.  */
void backend_count_call (server_t *server, int64_t now_ns,
                         kwf_effects_t *effects);

/* Bookkeeping of attempts.  The first data of an attempt closes a half-open
   circuit.  */
void backend_attempt_answered (backend_t *backend, server_t *server);
void backend_attempt_started (backend_t *backend, server_t *server,
                              int64_t now_ns);
typedef enum
{
  OUTCOME_GOOD,
  OUTCOME_LATE, /* good, but outlier_record_latency has counted it as bad */
  OUTCOME_BAD,
  OUTCOME_REFUSED, /* the address refused the connection */
  OUTCOME_NEUTRAL  /* says nothing about the server */
} outcome_t;
/* A hedge answered before the attempt at SERVER, which had been sent earlier.
   One request in twenty is hedged, so several such losses in a row show a
   server that hangs.  */
void backend_lost_to_hedge (backend_t *backend, server_t *server,
                            int64_t now_ns);
void backend_attempt_ended (backend_t *backend, server_t *server,
                            outcome_t outcome, int64_t now_ns);

/* The failures of all servers were this instance's own.  */
void backend_forget_failures (backend_t *backend);

/* outlier.c: count an outcome of SERVER.  A bad outcome may eject it, but
   never the last usable copy of a model.  */
void outlier_record (backend_t *backend, server_t *server, bool good,
                     int64_t now_ns);
/* Record DURATION_NS, the time from sending to the first data.  Return whether
   it is far above that of the other servers with MODEL (NULL for services); it
   then counts as a bad outcome.  */
bool outlier_record_latency (backend_t *backend, server_t *server,
                             const char *model, int64_t prompt_tokens,
                             int64_t duration_ns, int64_t now_ns);

/* Whether other usable servers hold all models of SERVER, or run its
   service.  */
bool outlier_is_replaceable (backend_t *backend, const server_t *server,
                             int64_t now_ns);

int64_t backend_next_tick_ns (const backend_t *backend);

/* State of SERVER as one word, for the status page.  */
const char *server_state (const server_t *server, int64_t now_ns);

#endif
