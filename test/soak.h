/* soak.h - a soak of real instances: a fake store, scripted backend servers
   and callers on one loop, a schedule of disruptions drawn from a seed, and
   the rules judged by what callers and servers saw on their sockets.  Times
   are of the system clock, in ns.  */

#ifndef KNAPWEEDFORK_TEST_SOAK_H
#define KNAPWEEDFORK_TEST_SOAK_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common-cut.h"
#include "common-fake-store.h"
#include "common-listener.h"
#include "common-process.h"

/* Limits of the platform's sheet.  */
#define CONTACT_MS 3000
#define BUDGET_WINDOW_MS 10000
#define BUDGET_RATIO 0.2
#define BUDGET_SLACK 52
#define GONE_MS 500
#define LOSS_SLACK_MS 200
#define DRAIN_MS 2000
#define CONFIG_APPLY_MS 2000
#define EVACUATION_MS 5000
#define GRACE_S 8
#define LONG_GRACE_S 12
/* A caller's SIGTERM excuses what was sent up to this time after it and is
   still at work in the last sixth of the grace.  */
#define LATE_MS 3000

/* A long call lasts up to this time.  */
#define LONG_MS 20000

/* Traffic starts after this time, and no disruption follows in the last part,
   in which all must be served again.  */
#define WARM_UP_S 4.0
#define CALM_S 7.0

/* Instances in touch know the last configuration in the last part of this
   length.  */
#define LAST_S 2.0

/* From then on some requests have a part in their prompts that crashes each
   server that begins to answer on it; after BAD_ENDED processes of servers,
   more than BAD_LATE later ones are too many.  */
#define BAD_FROM_S 6.0
#define BAD_ENDED 5
#define BAD_LATE 3

#define TICK_S 0.01

#define DATA_CENTRES 2
#define SERVER_SLOTS 32

typedef enum
{
  SOAK_IDEMPOTENT,
  SOAK_ONCE,
  SOAK_STREAM, /* runs once */
  SOAK_RESUMABLE
} soak_kind_t;

typedef struct
{
  const char *prefix;
  soak_kind_t kind;
  int attempts;
  bool engine;
  bool is_long; /* its servers work for up to LONG_MS */
} soak_route_t;

/* One way of a backend server to treat a request.  */
typedef enum
{
  SCRIPT_PLAIN,
  SCRIPT_SLOW,
  SCRIPT_REFUSE,      /* status 503 with X-Not-Run */
  SCRIPT_FAIL,        /* status 500 */
  SCRIPT_CUT,         /* ends with FIN at some byte */
  SCRIPT_RESET,       /* ends with RST at some byte */
  SCRIPT_STALL,       /* stops at some byte, the connection stays open */
  SCRIPT_TWICE,       /* the answer once more, later */
  SCRIPT_RUBBISH,     /* bytes after the answer */
  SCRIPT_OLD_REFUSAL, /* first a refusal of the request before it */
  SCRIPT_MISPLACED,   /* status 421: another server is expected */
  SCRIPT_HALF,        /* a stream is cut inside an event, and its end marked */
  N_SCRIPTS
} script_t;

typedef struct soak soak_t;
typedef struct request request_t;

/* A request at a server.  */
typedef struct
{
  request_t *request;
  int server;
  int incarnation;
  int version; /* of the software of its server */
  int number;  /* among the runs of the request, from 1 */
  script_t script;
  int status;
  bool refused; /* the server did not run it and said so */
  bool has_end; /* the answer's framing marks its end */
  bool by_chunks;
  bool disturbed;   /* the server was killed, started or frozen since the
                       request was sent */
  bool killed;      /* the server was killed before the whole answer */
  bool fin_early;   /* FIN came before the whole answer */
  int64_t began_ns; /* when the request was read */
  int64_t due_ns;   /* when the script ends if nothing interferes */
  int64_t ended_ns; /* 0: at work */
  size_t sent;      /* bytes of the answer that were written */
  size_t size;      /* of the answer, with its head */
  size_t mark_at;   /* bytes up to the mark of its end; the line that is empty
                       after the last chunk is none */
  char stamp[48];
  GString *body; /* whole, without its transfer coding */
  int first;     /* of its events */
  int last;
} run_t;

/* How an answer ended, as the caller saw it.  */
typedef enum
{
  END_NONE, /* under way */
  END_WHOLE,
  END_BROKEN,    /* the connection ended first */
  END_LEFT,      /* the caller closed its connection first */
  END_UNREADABLE /* bytes that are no answer */
} end_t;

/* An answer as read so far.  */
typedef struct
{
  int status; /* 0: its head is not there yet */
  bool by_length;
  bool by_chunks;
  bool closes; /* "Connection: close" */
  char id[40];
  char stamp[48];
  GString *body;
  size_t size; /* bytes of a whole answer */
  end_t end;
} answer_read_t;

/* A stream that broke off and that its caller takes up.  */
typedef struct
{
  const soak_route_t *route; /* NULL: none */
  char id[24];               /* of the request that got the first event */
  int after;
  int n_events;
  int n_take_ups;
  int version; /* of the server that began it */
} stream_t;

/* One attempt of a caller.  */
struct request
{
  char id[24];
  const soak_route_t *route;
  char *path;
  char *body;
  int after;        /* Last-Event-Id; 0: none */
  char resumes[24]; /* id of the request that got the first event; "": it takes
                       no stream up */
  int n_take_ups;   /* of its stream, with this one */
  int version;      /* of the server that began its stream, with RESUMES */
  int n_events;
  int deadline_ms;
  int instance;
  int incarnation;
  bool is_bad;     /* a part of its prompt crashes servers */
  bool kept;       /* on a connection that was used before */
  bool calm;       /* the instance was in touch when it was sent */
  bool ended_calm; /* and when it ended */
  bool planned;    /* it ended around planned work, with no disruption */
  bool steady;     /* no disruption but that of a configuration */
  bool by_config;  /* it ended beside a new configuration */
  bool open_short; /* the end of the connection, before the body's */
  bool has_last;   /* the last event of a stream came */
  int64_t term_ns; /* SIGTERM of its instance, 0: none until it ended */
  int64_t sent_ns;
  int64_t ended_ns;
  end_t end;
  int status;
  GPtrArray *runs; /* of run_t */
};

typedef struct
{
  char id[16];
  const char *data_centre;
  process_t process;
  int incarnation;
  bool is_up;          /* it listens */
  bool is_frozen;      /* SIGSTOP */
  bool end_expected;   /* SIGTERM or SIGKILL was sent */
  int64_t calm_ns;     /* end of its last disruption other than SIGTERM */
  int64_t term_ns;     /* its first SIGTERM; 0: none */
  int64_t hup_ns;      /* its last SIGHUP; 0: none */
  int64_t again_ns;    /* when SIGTERM comes again; 0: never */
  int64_t rude_ns;     /* when it is killed in spite of its grace; 0: never */
  int64_t kill_ns;     /* when it is killed after SIGTERM; 0: never */
  bool restarts;       /* it is started as soon as it has ended */
  int64_t continue_ns; /* when SIGCONT is sent; 0: never */
  int64_t start_ns;    /* when it is started again; 0: never */
  char *log;
} instance_t;

typedef struct
{
  char key[16];
  const char *service;
  listener_t *listener; /* NULL: down */
  int port;             /* of the next one; 0: any */
  int incarnation;
  int64_t born_ms;
  int64_t calm_ns;
  int64_t start_ns; /* 0: never */
  int64_t thaw_ns;  /* 0: not frozen */
  int64_t fail_ns;  /* until then all requests get FAIL_SCRIPT */
  script_t fail_script;
  int version;      /* of its software */
  int64_t again_ns; /* when it writes its entry again; 0: never */
  bool leaving;
  bool removed;    /* it left by the removal of its entry */
  int64_t left_ns; /* when the store, undisturbed, took an entry that says so,
                      or its removal; 0: it has not */
  GArray *ends;    /* of int64_t: when its processes ended */
  bool crashes;    /* a bad request begins to be answered */
  int64_t cold_until_ns;
  int64_t entry_due_ns;  /* when its entry tells that anew, 0: never */
  int64_t thawed_ns;     /* end of its last freeze, 0: none */
  GArray *cold_arrivals; /* times of the requests of the last second */
  soak_t *soak;
  int index;
  GPtrArray *jobs;      /* of job_t */
  GHashTable *last_ids; /* connection's number -> id of its last request */
} backend_t;

typedef struct caller caller_t;

/* A request that was sent to a service, or one that arrives once more.  */
typedef struct
{
  int64_t at_ns;
  const char *service;
  bool again; /* not the first of its request */
} arrival_t;

typedef enum
{
  RULE_MIXED,
  RULE_ORDER,
  RULE_UNASKED,
  RULE_TWICE,
  RULE_REFUSED,
  RULE_BUDGET,
  RULE_LOST,
  RULE_GONE,
  RULE_CONFIG,
  RULE_DRAIN,
  RULE_EVACUATED,
  RULE_COLD,
  RULE_RECOVER,
  N_RULES
} rule_t;

/* A disruption of the schedule.  */
typedef enum
{
  ACT_TERM,
  ACT_TERM_MANY,
  ACT_TERM_AGAIN,
  ACT_RESTART,
  ACT_KILL,
  ACT_STOP,
  ACT_HUP,
  ACT_HUP_ALL,
  ACT_CONFIG,
  ACT_ODD_ENTRY,
  ACT_SERVER_KILL,
  ACT_SERVER_FREEZE,
  ACT_SERVER_LEAVE,
  ACT_SERVICE_FAIL,
  ACT_STORE_SILENT,
  ACT_EVACUATE,
  ACT_READMIT,
  ACT_COLD_CENTRE,
  ACT_DRILL,
  ACT_CUT,
  N_ACTS
} act_t;

typedef struct
{
  double at_s;
  act_t act;
  unsigned target;
  unsigned value;
} action_t;

/* A partition between instances and all servers.  */
typedef struct
{
  int first; /* of the instances, which follow one another */
  int n;
  int64_t began_ns;
  int64_t end_ns;
} partition_t;

struct soak
{
  struct ev_loop *loop;
  fake_store_t *store;
  guint32 seed;
  int grace_s;
  double seconds;
  char *directory;
  instance_t *instances;
  int n_instances;
  backend_t *backends;
  int n_backends;
  caller_t *callers;
  int n_callers;
  GHashTable *requests; /* id -> request_t */
  GArray *arrivals;     /* of arrival_t */
  GArray *plan;         /* of action_t */
  guint next_action;
  ev_timer tick;
  int64_t start_ns;
  int64_t tick_ns;       /* time of the last tick */
  int64_t last_tick_ns;  /* and of the one before it: what is read now came
                            later */
  int64_t config_ns;     /* when the newest configuration was put */
  int64_t store_calm_ns; /* end of the last disruption of the store */
  int64_t store_back_ns; /* when it answers again; 0: it does */
  int64_t max_lag_ns;    /* longest time between two ticks */
  int version;           /* of the configuration */
  bool has_extra_route;
  bool has_bad_part;
  bool has_pace;
  bool has_evacuations;
  bool has_cold;
  bool has_restarts;
  bool has_preemption;
  bool has_versions;
  bool has_drills;
  bool has_cuts;
  bool is_cut;  /* by the last of these: */
  GArray *cuts; /* of partition_t */
  cut_t cut;
  int64_t copied_ns;       /* when the store's copy was made */
  bool restores;           /* the store comes back from it */
  int64_t config_again_ns; /* when the operator writes again; 0: never */
  int64_t
      expiry_ns; /* when entries that nobody writes are removed; 0: never */
  GPtrArray *gone_keys; /* of the entries of processes that have ended */
  int n_taken_up;       /* streams that callers took up */
  int n_went_on;        /* those that were answered 200 */
  int64_t evacuated_ns[DATA_CENTRES]; /* since when; 0: it is not */
  bool moved;
  bool is_calm; /* the last part has begun */
  bool closing; /* callers send nothing new */
  int broken[N_RULES];
  int acts[N_ACTS];
  int outcomes[END_UNREADABLE + 1];
  int statuses[600];
  int successes;
  int excess;        /* most arrivals beyond the first in a window, less
                        BUDGET_RATIO of its requests */
  int n_left;        /* runs that must end when their caller leaves */
  int n_late;        /* those that did not */
  int n_open;        /* answers that ended with the caller's connection */
  int n_open_short;  /* those that were short */
  int n_killed;      /* resumable streams whose server was killed at work */
  int n_killed_open; /* those of a server that gave no mark of the end */
  int n_killed_open_last;
  int n_killed_last;     /* those that reached their last event */
  int n_late_taken;      /* requests passed on that were sent after SIGTERM */
  int n_late_cut;        /* those that were cut */
  int n_late_excused;    /* of these, at work in the last sixth of the grace */
  int evacuated_late_ms; /* latest request after a row was written */
  int most_cold;         /* most requests in a second at a cold server */
  int n_bad;             /* requests with the bad part that reached a server */
  int n_bad_ended;       /* processes of servers that ended under them */
  int n_bad_late;        /* those that came too late */
  int64_t bad_fifth_ns;  /* when the fifth process ended */
  int n_cut_tries;       /* first tries at instances that were cut off */
  int n_cut_served;
  int n_other_tries; /* at the others meanwhile */
  int n_other_served;
  int calm_requests; /* sent in the last part */
  int calm_successes;
};

int64_t soak_now_ns (void);

/* Number from 0 to 2^32 - 1 that depends on the seed, TEXT and SALT.  */
guint32 soak_hash (const soak_t *soak, const char *text, int salt);

/* soak-plan.c: the schedule.  */
void plan_make (soak_t *soak);
/* Carries out what is due.  */
void plan_run (soak_t *soak);
void config_put (soak_t *soak);
/* Writes the newest configuration again.  */
void config_write (soak_t *soak);
/* The service of ROUTE in the newest configuration.  */
const char *route_service (const soak_t *soak, const soak_route_t *route);
extern const soak_route_t soak_routes[];
extern const size_t n_soak_routes;
/* Those from the start on.  */
extern const size_t n_first_routes;
const char *act_name (act_t act);

/* soak-instance.c  */
void instances_start (soak_t *soak);
void instances_tick (soak_t *soak, int64_t now_ns);
void instance_signal (soak_t *soak, int i, int signal, unsigned value);
void instance_term_again (soak_t *soak, int i, unsigned value);
/* Some restarts kill the process before the end of its grace.  */
void instance_restart (soak_t *soak, int i, unsigned value);
/* Ends all; each must end by itself after SIGTERM.  */
void instances_stop (soak_t *soak);
void instances_free (soak_t *soak);
/* Whether no unplanned disruption came since CONTACT_MS before SENT_NS.  */
bool is_undisturbed (const soak_t *soak, int i, int64_t sent_ns);
/* Whether nothing disturbed instance I for CONTACT_MS before NOW_NS.  */
bool is_in_touch (const soak_t *soak, int i, int64_t now_ns);
/* Whether instance I had no disruption at all since CONTACT_MS before
   SENT_NS, and no signal.  */
bool is_steady (const soak_t *soak, int i, int64_t sent_ns);
/* Whether SIGTERM or SIGHUP, which may explain an end at NOW_NS, are the only
   disruptions since CONTACT_MS before SENT_NS.  */
bool is_planned (const soak_t *soak, int i, int64_t sent_ns, int64_t now_ns);

/* soak-server.c  */
void backends_start (soak_t *soak);
void backends_tick (soak_t *soak, int64_t now_ns);
void backends_stop (soak_t *soak);
/* A partition has ended; a frozen server reads later.  */
void backend_read_if_thawed (const backend_t *backend);
void backend_kill (backend_t *backend, unsigned value);
void backend_freeze (backend_t *backend, unsigned value);
void backend_leave (backend_t *backend, unsigned value);
/* All servers of the service of BACKEND fail for a while.  */
void backend_fail_service (const backend_t *backend, unsigned value);

/* soak-drill.c  */
void drills_draw (soak_t *soak);
void drills_plan (soak_t *soak);
void drill_begin (soak_t *soak, unsigned value);
void drill_end (soak_t *soak);
void drills_tick (soak_t *soak, int64_t now_ns);
/* The key of BACKEND's entry will be another one.  */
void drill_note_gone (const backend_t *backend);
/* Software version of a process that starts.  */
int drill_version (const backend_t *backend);
/* Sets STREAM to what the caller of REQUEST takes up; VERSION is that of the
   server of ANSWER.  */
void stream_note_end (soak_t *soak, const request_t *request,
                      const answer_read_t *answer, int version,
                      stream_t *stream);
/* Makes REQUEST take STREAM up, if there is one.  */
void stream_take_up (soak_t *soak, request_t *request, stream_t *stream);

/* soak-cut.c  */
void cuts_draw (soak_t *soak);
void cuts_plan (soak_t *soak);
void cuts_tick (soak_t *soak, int64_t now_ns);
void cut_start (soak_t *soak, unsigned target, unsigned value);
/* Cuts BACKEND off as well, if there is a partition.  */
void cut_join (const backend_t *backend);
/* Whether a request that is read now may have been held back by one.  */
bool cut_has_delayed (const soak_t *soak);
void judge_cuts (soak_t *soak, const GList *requests);

/* soak-job.c: the work of a server on one request.  */
typedef struct job job_t;
void job_start (backend_t *backend, connection_t *connection,
                const char *request);
/* Returns whether the job has ended.  */
bool job_tick (job_t *job, int64_t now_ns);
/* The server was killed or frozen at work.  */
void job_disturb (job_t *job, bool killed);
/* The same if a partition has cut its connection.  */
void job_note_cut (job_t *job);
void job_free (void *job);
/* Value of header NAME in TEXT, "" if it is missing.  */
void header_copy (const char *text, const char *name, char *value,
                  size_t size);
const char *script_name (script_t script);
bool is_connection_open (const listener_t *listener,
                         const connection_t *connection, int number);

/* soak-caller.c  */
void callers_start (soak_t *soak);
void callers_tick (soak_t *soak, int64_t now_ns);
void callers_stop (soak_t *soak);

/* soak-parts.c: pace, evacuations and cold servers.  */
void parts_draw (soak_t *soak);
/* Adds to the schedule.  */
void parts_plan (soak_t *soak);
/* Writes or removes the row of DATA_CENTRE.  */
void parts_evacuate (soak_t *soak, unsigned data_centre, bool evacuated);
/* Kills the servers of the cold service in DATA_CENTRE.  */
void parts_restart_centre (soak_t *soak, unsigned data_centre, unsigned value);
/* Lines of an instance's settings for TABLE, fields of the cold service in the
   configuration, and fields of a server's entry; to be freed.  */
char *parts_settings (const soak_t *soak, const char *table);
char *parts_service_fields (const soak_t *soak);
char *parts_route_fields (const soak_t *soak, const soak_route_t *route);
/* Slots that BACKEND reports.  */
int parts_slots (const backend_t *backend);
char *parts_entry_fields (const backend_t *backend);
bool parts_is_cold_service (const backend_t *backend);
void parts_start_server (backend_t *backend);
/* Whether the entry of BACKEND must tell anew how long it is cold.  */
bool parts_take_due_entry (backend_t *backend, int64_t now_ns);
/* In per cent of the usual time.  */
int parts_pace (const backend_t *backend);
/* IS_CHECK: ANSWER is that of a health check.  */
void parts_add_headers (const backend_t *backend, GString *answer,
                        bool is_check);
void parts_judge_run (backend_t *backend, const run_t *run);

/* soak-answer.c: reads the bytes of an answer.  AT_END: no more come.  */
void answer_read (answer_read_t *answer, const GString *in, bool at_end);
void answer_clear (answer_read_t *answer);

/* soak-judge.c  */
bool may_repeat (const request_t *request);
void judge_run (soak_t *soak, run_t *run);
/* A server ends under a bad request; one has reached a server.  */
void judge_bad_end (soak_t *soak);
void judge_bad_run (soak_t *soak, const request_t *request);
/* Returns the software version of the server that gave it; 0: none did.  */
int judge_answer (soak_t *soak, request_t *request,
                  const answer_read_t *answer, const GString *bytes);
/* Rules that need the whole soak.  */
void judge_end (soak_t *soak);
/* Reports a broken rule; REQUEST and SEEN may be NULL.  */
void soak_break (soak_t *soak, rule_t rule, const request_t *request,
                 const GString *seen, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));
void soak_summary (const soak_t *soak);

#endif
