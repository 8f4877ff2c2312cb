/* backend.h - the backend servers: membership, load reports, circuit state
   and outlier ejection.  */

#ifndef KNAPWEEDFORK_BACKEND_H
#define KNAPWEEDFORK_BACKEND_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/core.h>

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

/* Classes of requests that come back apart after a pause.  */
#define NOTICE_CLASSES 3

/* What the server's process told of itself with its answers (lib/notice.h). */
typedef struct
{
  bool leaving;
  int64_t leaving_ns;     /* when that was read, here or elsewhere */
  int64_t back_ns;        /* last taken back; 0: never */
  int64_t check_ns;       /* no question whether it still leaves before */
  int64_t entry;          /* newest revision of its entry that may have been
                             written before it told that it leaves */
  int64_t pause_until_ns; /* 0: never asked for a pause */
  int64_t ramp_ns;        /* after it, with fewer requests under way */
  int share;              /* requests under way when it asked for the pause */
  int began;              /* requests since PACE_NS */
  int began_before;       /* in the time of the same length before */
  int64_t pace_ns;
  int pace; /* requests begun in such a time before the pause */
  int refused_callers[NOTICE_CLASSES]; /* callers, during the pause */
} notice_t;

typedef struct
{
  char *id;
  char *name; /* service; empty for engines */
  char *address;
  char *data_centre;
  uint64_t hash; /* of the id, for rendezvous hashing */
  int64_t unlisted_ns;

  uint64_t incarnation;
  int64_t memory_total_mb;
  int64_t memory_used_mb;
  GHashTable *models; /* name to server_model_t */
  uint64_t models_hash;
  GHashTable
      *first_data_stats;   /* model to time of the first data; for outlier.c */
  GHashTable *unloading;   /* set: models that are being unloaded, or NULL */
  GHashTable *lost_models; /* set: names held when it was lost, or NULL */
  int64_t lost_ns;         /* time of the last loss; 0: never */
  int64_t placed_ns;       /* last time that another instance told what it
                              holds; 0: never */
  char *removed_model;     /* told of as being removed; NULL: none */
  int64_t removed_ns;      /* when */
  int64_t revision;        /* of the entry that was taken whole last */
  int64_t probe_since_ns;
  int64_t next_probe_ns;
  int64_t open_until_ns; /* of the circuit */
  double good;           /* outcomes, decayed */
  double bad;
  int64_t outcomes_ns; /* time of both */
  int64_t ejected_until_ns;

  kwf_member_kind_t kind;
  circuit_t circuit;
  int missed; /* load reports in a row that did not come */
  int slots;  /* requests that it runs at once; 0: not known */
  int running;
  int waiting;
  int sent; /* by this instance since the last report */
  int sent_at_probe;
  int open_attempts;
  int unanswered;        /* of these, those without any data yet */
  bool others_known;     /* what other instances have there (lib/loads.h): */
  int others_open;       /* under way */
  int others_unanswered; /* of these, without any data yet */
  window_t window;       /* engines: limit of open_attempts */
  double ahead;          /* of the queue: requests that wait for it */
  int failures;          /* in a row */
  int openings;          /* of the circuit in a row, for the back-off */
  int ejections;

  notice_t notice;
  bool listed; /* in the latest membership list */
  bool member_leaving;
  bool report_leaving;
  bool reported; /* has ever sent a load report */
  bool refused;  /* the address refused the last connection */
  bool resume;
  bool probing;
  bool probe_again;       /* a fresh report is wanted after this probe */
  bool half_open_attempt; /* the one attempt of a half-open circuit runs */
  bool recheck;           /* requests that wait for it are to be tried */
} server_t;

typedef struct backend backend_t;

/* What a load report tells about the process behind a server.  */
typedef struct
{
  server_t *server;
  bool fresh;   /* the probe started after the last backend_probe_now */
  bool valid;   /* a report came */
  bool refused; /* the address refused the connection */
  uint64_t incarnation_before;
} backend_report_t;

backend_t *backend_new (const kwf_core_options_t *options);
void backend_free (backend_t *backend);

/* Take KWF_EV_MEMBERS, KWF_EV_REPORT and ticks.  NEWS is filled after a
   report of a known server.  */
void backend_step (backend_t *backend, const kwf_event_t *event,
                   kwf_effects_t *effects, backend_report_t *news);

/* Ask for a load report that is newer than now.  */
void backend_probe_now (backend_t *backend, server_t *server,
                        kwf_effects_t *effects);

/* Servers that hold MODEL or run SERVICE, lost ones of the last minute
   included; NULL when none.  */
const GPtrArray *backend_servers_of_model (backend_t *backend,
                                           const char *model);
const GPtrArray *backend_servers_of_service (backend_t *backend,
                                             const char *service);
const GPtrArray *backend_servers (const backend_t *backend);
server_t *backend_find (const backend_t *backend, const char *id);

/* Send no new requests for these models; RETIRING is taken over.  */
void backend_set_unloading (server_t *server, GHashTable *unloading);

/* Whether SERVER holds MODEL now, and keeps it; MODEL NULL asks nothing.  */
bool server_holds_model (const server_t *server, const char *model);
bool server_is_unloading (const server_t *server, const char *model);
bool server_holds_version (const server_t *server, const char *model,
                           const char *version);
bool server_holds_adapter (const server_t *server, const char *model,
                           const char *adapter);

/* Whether new work may be sent to SERVER.  */
bool server_usable (const server_t *server, int64_t now_ns);
bool server_leaving (const server_t *server);

/* Whether SERVER may be usable soon: the one attempt of its half-open
   circuit runs.  */
bool server_half_open_busy (const server_t *server, int64_t now_ns);

/* Whether its load reports stay away; it is then the last choice.  */
bool server_silent (const server_t *server);

/* Last reported load and what was sent since.  */
int server_load (const server_t *server);

/* Load that came with an answer of SERVER.  */
void backend_update_load (server_t *server, int running, int waiting,
                          int slots);

/* Another instance, or this one, tells what an engine has or lacks.  */
void backend_handle_residency (backend_t *backend,
                               const kwf_residency_t *placed);

/* When a load of MODEL was last told of; INT64_MIN: never.  */
int64_t backend_load_announced_ns (const backend_t *backend,
                                   const char *model);

/* Whether that happened since this was last asked.  */
bool backend_consume_residency_change (backend_t *backend);

/* SERVER turned out not to hold ADAPTER (NULL: none) of MODEL, or MODEL,
   whatever its description says.  */
void backend_drop_resident (backend_t *backend, server_t *server,
                            const char *model, const char *adapter);

/* Bookkeeping of attempts.  The first data of one ends the trial of a
   half-open circuit.  */
void backend_attempt_answered (backend_t *backend, server_t *server);
void backend_attempt_started (backend_t *backend, server_t *server,
                              int64_t now_ns);
typedef enum
{
  OUTCOME_GOOD,
  OUTCOME_LATE, /* good, but outlier_record_latency has counted it */
  OUTCOME_BAD,
  OUTCOME_REFUSED, /* the address refused the connection */
  OUTCOME_NEUTRAL  /* tells nothing about the server */
} outcome_t;
/* A hedge answered before the attempt at SERVER that was sent earlier.  One
   call in twenty is hedged, so several in a row show a server that hangs.  */
void backend_lost_to_hedge (backend_t *backend, server_t *server,
                            int64_t now_ns);
void backend_attempt_ended (backend_t *backend, server_t *server,
                            outcome_t outcome, int64_t now_ns);

/* outlier.c: count an outcome of SERVER; after a bad one it may be ejected,
   but never as the last usable copy of a model.  */
void outlier_record (backend_t *backend, server_t *server, bool good,
                     int64_t now_ns);
/* Take the time from sending to the first data; whether it is far above that
   of the others with MODEL (NULL for services), and so counted as bad.  */
bool outlier_record_latency (backend_t *backend, server_t *server,
                             const char *model, int64_t prompt_tokens,
                             int64_t duration_ns, int64_t now_ns);

/* Whether another server can do all that SERVER does.  */
bool outlier_is_replaceable (backend_t *backend, const server_t *server,
                             int64_t now_ns);

int64_t backend_deadline_ns (const backend_t *backend);

/* State of SERVER as one word, for the status page.  */
const char *server_state (const server_t *server, int64_t now_ns);

#endif
