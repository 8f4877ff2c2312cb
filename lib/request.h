/* request.h - the lifecycle of one request: admission, claim, queueing,
   attempts and answer (docs/design.md section 7).  */

#ifndef KNAPWEEDFORK_REQUEST_H
#define KNAPWEEDFORK_REQUEST_H

#include "queue.h"
#include "route.h"
#include "core-state.h"
#include "delivery.h"

typedef enum
{
  REQUEST_AWAITS_TOKENS, /* waits for rate limit tokens from a peer */
  REQUEST_AWAITS_CLAIM,  /* waits until the table grants the claim */
  REQUEST_QUEUED,        /* waits for a server, or for the end of a trial */
  REQUEST_AWAITS_TRIAL,  /* waits until the table grants a trial */
  REQUEST_SENT,          /* an attempt runs, no data arrived yet */
  REQUEST_STREAMING,     /* data of the answer arrived */
  REQUEST_CRASH_CHECK,   /* the connection broke; a load report is to show
                            whether the server crashed */
  REQUEST_END_CHECK,     /* only its connection marks the end of the answer;
                            the same is to show whether the answer is cut */
  REQUEST_HANDED_OVER    /* another instance runs it */
} request_state_t;

typedef struct attempt attempt_t;

typedef struct
{
  kwf_handle_t handle;
  kwf_request_kind_t kind;
  request_state_t state;
  const char *id;
  const char *digest;       /* of the key; NULL for a caller without a key */
  const char *organisation; /* "" for a caller without an organisation */
  const char *model;        /* NULL for services */
  const char *adapter;      /* NULL when none */
  const char *service;      /* NULL for models */
  const char *host;         /* ROUTED: host and prefix of its route */
  const char *path;
  uint64_t excluded_regions; /* by the lists of EXCLUDED_VERSION */
  int64_t excluded_version;  /* -1: not known yet */
  const char *idempotency_key;
  uint64_t origin_key; /* of its stream (lib/origin/origin.h); 0: not told */
  uint64_t origin;     /* software version, with HAS_ORIGIN */
  bool idempotent;
  bool stream;
  bool resuming;       /* the caller continues a stream that broke */
  bool has_origin;     /* only servers of version ORIGIN may run it */
  bool at_most_once;   /* runs at most once: needs a claim */
  bool claimed;        /* the claim is held and its outcome open */
  bool withheld;       /* data arrived while this instance had no lease and is
                          withheld */
  delivery_t delivery; /* of the caller's answer */
  bool resumable;      /* another attempt may go on with a stream that began */
  bool no_resume;      /* none can go on after what was forwarded last */
  bool trial;          /* the running attempt is a trial of a crash suspect */
  bool trial_used;     /* its trial took place; it may have failed */
  int64_t prompt_tokens;
  double charged;    /* tokens charged to the organisation */
  int64_t delivered; /* tokens forwarded to the caller */
  uint64_t
      hash; /* of organisation, kind, model and body: it chooses servers */
  uint64_t fingerprint;
  const uint64_t *parts; /* of the prompt, by which crashes are counted; the
                            fingerprint follows them */
  size_t n_parts;
  int64_t part_trial_ns; /* end of the trial of its parts; 0: it is none */
  uint64_t route_key;
  uint64_t duration_kind;
  bool succeeded; /* a server has answered it with a success */
  int max_attempts;
  int priority;
  int64_t arrived_ns;
  int64_t deadline_ns;
  int64_t action_ns;       /* next timed step before the deadline; 0: none */
  int64_t queued_since_ns; /* start of REQUEST_QUEUED; 0: not queued */
  int64_t first_data_ns;   /* when data was first forwarded; 0: never */
  int64_t last_data_ns;
  int64_t longest_gap_ns; /* longest between two parts that were forwarded */
  int64_t gap_aim_ns; /* longest that the route's callers accept; 0: unknown */
  int64_t wake_ns;    /* key in core->wakes: the earlier of action_ns and
                         deadline_ns */
  GSequenceIter *wake;
  series_t *series;

  int n_attempts;
  int n_arrived;           /* attempts that reached a server or may have */
  int64_t resume_taken_ns; /* when the retry budget was charged for the resume
                              of this preempted stream; 0: it was not */
  int n_ran;               /* attempts that the server ran or may have run */
  bool retry_same_server;  /* the last server may be tried again */
  error_code_t last_code; /* error of the last failed attempt; CODE_OK: none */
  attempt_t *attempt;     /* the running one; NULL: none */
  attempt_t *hedge;       /* a second one that runs beside it; NULL: none */
  server_t *tried_servers[ROUTE_MAX_TRIED]; /* not to be chosen again; may be
                                               freed, so only compared */
  int n_tried;
  bool handed_over;      /* another instance has handed it over */
  int n_handovers;       /* times that it was handed over */
  kwf_handle_t handover; /* under way; 0: none is */
  uint64_t handed_to;    /* hash of the name of the last instance */
  const server_t *crash_check_server; /* may have crashed; only compared */

  queue_item_t queue_item; /* place in the queue for room at an engine */
  /* Engines for whose room it waits.  Both NULL: it waits until an engine has
     loaded its model.  The servers may be freed, so they are read only right
     after a dispatch.  */
  const server_t *awaited[2];
  int64_t preempted_ns; /* when it was last preempted; 0: never */

  /* lib/admission.  */
  int64_t target_ns; /* for the time to the first event; 0: none */
  int64_t spent_ns;  /* since its caller first sent it, if that was refused; 0:
                        it was not */
  bool patient;      /* it may wait for urgent requests */
  bool counted;      /* among the requests of its service */
  bool held;         /* queued until urgent requests leave places free */
  bool turn_came;    /* it was held for so long that it counts as urgent */
} request_t;

struct attempt
{
  kwf_handle_t handle;
  request_t *request;
  server_t *server;
  uint64_t incarnation; /* incarnation of the server when the request was
                           sent */
  uint64_t software;    /* its software version then */
  int64_t sent_ns;
  int64_t resume_from;
  int64_t taken_ns; /* when the retry budget was charged for it; 0: it was
                       not */
  int64_t tokens;   /* generated by this attempt so far */
  bool ended;       /* the answer is complete; it may be withheld */
  bool failed;      /* the answer reports a failure of the server */
  bool stream;      /* the complete answer is a stream of events */
  bool by_close;    /* only the end of its connection marks its answer's end */
  bool no_resume;   /* no other attempt can go on after its last event */
  bool late;        /* its first data came far later than that of other
                       servers */
  bool answered;    /* data arrived */
  bool had_place;   /* its server had a free place when it was sent */
  int64_t answered_ns;  /* when the first of it did */
  bool server_lives;    /* its server answered after an open end */
  bool question_broken; /* its server broke the question at an open end */
  bool cleared;         /* its answer has gone on, which clears its parts */
  bool probed_again;    /* a second load report was asked for at its end */
  /* For lib/balance/.  */
  int64_t read_tokens;  /* of its prompt, until its first data */
  double read_before;   /* tokens that its server had to read when it was sent
                         */
  int open_before;      /* requests that its server had then */
  int n_gaps;           /* gaps between events since one was recorded */
  int64_t event_ns;     /* time of the last event */
  double least_gap_ns;  /* of these gaps */
  double second_gap_ns; /* the second smallest of them */
  int64_t silent_ns; /* from then on, its server counts as silent in a check of
                        its end */
};

typedef struct
{
  error_code_t code;
  int status; /* HTTP status; 0: the usual one of the code */
  kwf_run_t run;
  int64_t retry_after_ms; /* -1: no Retry-After */
  double limit_rate;
  double limit_burst;
  const char *message;
} refusal_t;

/* request.c: the open requests of this instance.  request_find returns NULL
   for a request that has ended.  */
request_t *request_find (const kwf_core_t *core, kwf_handle_t handle);
request_t *request_add (kwf_core_t *core, const kwf_request_event_t *event,
                        const char *organisation, int priority,
                        int64_t now_ns);
/* Set the time of the next timed step; 0: only the deadline remains.  */
void request_set_action (kwf_core_t *core, request_t *request,
                         int64_t action_ns);
/* End REQUEST: count it, refund the tokens that it did not use, cancel its
   attempts and free it.  */
void request_end (kwf_core_t *core, request_t *request, error_code_t code,
                  kwf_effects_t *effects);
/* Answer with an error and end the request.  */
void request_refuse (kwf_core_t *core, request_t *request,
                     const refusal_t *refusal, kwf_effects_t *effects);
/* The same, with RUN derived from what was sent and forwarded.  */
void request_fail (kwf_core_t *core, request_t *request, error_code_t code,
                   int64_t retry_after_ms, const char *message,
                   kwf_effects_t *effects);
/* Run the timed steps of the requests that are due.  */
void requests_tick (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects);
/* Earliest wake_ns of all requests; INT64_MAX: none.  */
int64_t requests_next_tick_ns (const kwf_core_t *core);
/* End the open requests whose key was withdrawn or suspended, with an error,
   also those that run.  With finish_withdrawn, requests that are at a backend
   server go on.  */
void requests_check_keys (kwf_core_t *core, kwf_effects_t *effects);
/* Answer EVENT with an error; no request was added for it.  SERIES NULL: the
   metrics of callers without an organisation.  */
void request_refuse_event (kwf_core_t *core, const kwf_request_event_t *event,
                           series_t *series, const refusal_t *refusal,
                           kwf_effects_t *effects);

/* Whether REQUEST is for a model, not for a plain service.  */
bool request_has_model (const request_t *request);

/* Whether a part of the answer was sent to the caller.  */
bool request_has_begun (const request_t *request);

/* Whether another attempt can give the answer, or the rest of it.  */
bool request_can_go_on (const request_t *request);

/* admit-routed.c: requests whose route is found from host and path.  */
void admit_routed (kwf_core_t *core, const kwf_request_event_t *event,
                   kwf_effects_t *effects);

/* admit.c: all other requests.  */
/* Charge TOKENS to the organisation of REQUEST; then claim or send the
   request.  */
void admit_charge (kwf_core_t *core, request_t *request, double tokens,
                   kwf_effects_t *effects);
/* Refuse EVENT, which did not run.  ORGANISATION NULL: not known.  */
void admit_refuse (kwf_core_t *core, const kwf_request_event_t *event,
                   const kwf_organisation_t *organisation, error_code_t code,
                   const char *message, kwf_effects_t *effects);
/* Whether this instance may take requests: it is not stopping and has a
   configuration and a lease.  If not, EVENT is refused.  */
bool admit_check_authority (kwf_core_t *core, const kwf_request_event_t *event,
                            kwf_effects_t *effects);
void admit (kwf_core_t *core, const kwf_request_event_t *event,
            kwf_effects_t *effects);
void admit_share_result (kwf_core_t *core, const share_result_t *result,
                         kwf_effects_t *effects);
void admit_claim_result (kwf_core_t *core, const claim_result_t *result,
                         kwf_effects_t *effects);

/* attempt.c */
/* Choose a server and send REQUEST to it, or queue or refuse REQUEST.  */
void attempt_dispatch (kwf_core_t *core, request_t *request,
                       kwf_effects_t *effects);
/* Dispatch REQUEST, which waits meanwhile, at RETRY_NS.  */
void attempt_schedule (kwf_core_t *core, request_t *request, int64_t retry_ns,
                       int64_t now_ns);
void attempt_hedge (kwf_core_t *core, request_t *request,
                    kwf_effects_t *effects);
void attempt_trial_result (kwf_core_t *core, const crash_result_t *result,
                           kwf_effects_t *effects);
/* Remove ATTEMPT, which ended, and count OUTCOME for its server.  */
void attempt_remove (kwf_core_t *core, attempt_t *attempt, outcome_t outcome,
                     int64_t now_ns);
void attempt_cancel (kwf_core_t *core, attempt_t *attempt,
                     kwf_effects_t *effects);

/* handover.c: requests that another instance runs for this one.  */
/* Whether HANDLE of an attempt is that of a handover.  */
bool handover_is (kwf_handle_t handle);
/* Hand REQUEST over, if this instance is stranded and another one may take it;
   false: nothing was done.  */
bool handover_start (kwf_core_t *core, request_t *request,
                     kwf_effects_t *effects);
/* Refuse REQUEST, which was handed over to this instance, if no server may
   answer here; false: nothing was done.  */
bool handover_refuse (kwf_core_t *core, request_t *request,
                      kwf_effects_t *effects);
void handover_cancel (request_t *request, kwf_effects_t *effects);
bool handover_may_send (const kwf_core_t *core);
/* Handle what the other instance answers.  */
void handover_data (kwf_core_t *core, const kwf_attempt_event_t *event,
                    kwf_effects_t *effects);
void handover_end (kwf_core_t *core, const kwf_attempt_event_t *event,
                   kwf_effects_t *effects);
void handover_failed (kwf_core_t *core, const kwf_attempt_event_t *event,
                      kwf_effects_t *effects);
/* This instance is stranded: hand over the requests that wait here or hang at
   servers.  */
void handover_open_requests (kwf_core_t *core, kwf_effects_t *effects);

/* takeup.c: streams go on only at the software version that began them.  */
/* Set which stream REQUEST, made from EVENT, is or takes up.  */
void takeup_init (request_t *request, const kwf_request_event_t *event);
/* Find the version that began the stream that REQUEST takes up, if it takes up
   one; false: REQUEST waits for that or was refused.  */
bool takeup_find_origin (kwf_core_t *core, request_t *request, int64_t now_ns,
                         kwf_effects_t *effects);
/* Whether the first data of ATTEMPT, which goes on with a stream, may be of
   another version: its server was started anew since it was sent, under the
   same id.  */
bool takeup_is_foreign (const attempt_t *attempt);
/* Events of ATTEMPT go to the caller.  */
void takeup_note_events (kwf_core_t *core, const attempt_t *attempt);

/* wait.c: the queue of requests that wait for room at an engine, or until an
   engine has loaded their model.  */
/* Queue REQUEST until what ROUTE lacks is there, or shed it.  */
void wait_enter (kwf_core_t *core, request_t *request,
                 const route_result_t *route, kwf_effects_t *effects);
/* Refuse REQUEST, which did not run, and count CAUSE.  */
void wait_shed (kwf_core_t *core, request_t *request, shed_reason_t cause,
                int64_t retry_after_ns, kwf_effects_t *effects);
/* Remove REQUEST from the queue, if it is there.  SERVED: it is sent now.  */
void wait_remove_request (kwf_core_t *core, request_t *request, bool served);
void waits_init (kwf_core_t *core, int64_t now_ns);
/* Mark SERVER, which may have room: the requests that wait for it are
   dispatched at the end of this step.  */
void waits_recheck_server (kwf_core_t *core, server_t *server);
/* Mark all servers in this way.  */
void waits_recheck_all (kwf_core_t *core);
/* Count, at each server whose limit is in force, the requests that wait for a
   permit.  */
void waits_count_for_permits (kwf_core_t *core, int64_t now_ns);
void waits_run_rechecks (kwf_core_t *core, kwf_effects_t *effects);
/* Every 100 ms, try each queued request again, as servers may have come or
   gone; shed those that would start too late, or preempt streams for them.  */
void waits_tick (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects);
int64_t waits_next_tick_ns (const kwf_core_t *core);
/* admission/feedback.c */
/* Adjust the window of the engine: the first token of ATTEMPT arrived.  */
/* The first data of ATTEMPT arrived.  */
void pacing_attempt_answered (kwf_core_t *core, const attempt_t *attempt,
                              int64_t now_ns);

void wait_first_token (kwf_core_t *core, const attempt_t *attempt,
                       int64_t now_ns);
/* Shrink the window of the engine, which answered ATTEMPT that it is busy.  */
void wait_shrink_window (kwf_core_t *core, const attempt_t *attempt,
                         int64_t now_ns);
/* wait.c */
void waits_write_metrics (const kwf_core_t *core, GString *out);

/* preempt.c */
/* Make room for the urgent REQUEST: preempt one overnight stream and queue it
   again.  False: no stream can be preempted, or the budget for preemptions is
   used up.  */
bool preempt_for (kwf_core_t *core, const request_t *request,
                  kwf_effects_t *effects);

/* answer.c */
void answer_data (kwf_core_t *core, const kwf_attempt_event_t *event,
                  kwf_effects_t *effects);
void answer_end (kwf_core_t *core, const kwf_attempt_event_t *event,
                 kwf_effects_t *effects);
void answer_failed (kwf_core_t *core, const kwf_attempt_event_t *event,
                    kwf_effects_t *effects);
/* Forward the withheld data, now that this instance has a lease again.  */
void answer_forward_withheld (kwf_core_t *core, kwf_effects_t *effects);
void answer_caller_gone (kwf_core_t *core, kwf_handle_t handle,
                         kwf_effects_t *effects);
/* The answer of ATTEMPT is complete: forward it, or withhold it until this
   instance has a lease again.  */
void answer_complete (kwf_core_t *core, attempt_t *attempt,
                      kwf_effects_t *effects);
/* The connection of ATTEMPT ended before its answer did: the request goes on
   elsewhere, or has no result.  */
void answer_broken (kwf_core_t *core, attempt_t *attempt,
                    kwf_effects_t *effects);

/* end-check.c: successes whose end only the end of the connection marks, as a
   server that crashes ends them, too.  */
/* Find out whether the server of ATTEMPT, whose answer has ended in this way,
   has crashed.  Then, or at the time limit, answer_broken or answer_complete
   is called.  */
void end_check_begin (kwf_core_t *core, attempt_t *attempt,
                      kwf_effects_t *effects);
void end_checks_reported (kwf_core_t *core, const backend_report_t *report,
                          kwf_effects_t *effects);
/* The membership list was read.  */
void end_checks_listed (kwf_core_t *core, kwf_effects_t *effects);
void end_check_timeout (kwf_core_t *core, request_t *request,
                        kwf_effects_t *effects);
/* REQUEST, which may be in such a check, ends.  */
void end_check_cancel (kwf_core_t *core, request_t *request);
void end_checks_write_metrics (const kwf_core_t *core, GString *out);

/* feature.c: what of a request may be the cause of a crash.  */
/* The connection of ATTEMPT ended before its answer did: it broke (BROKEN) or
   this instance closed it.  */
void feature_run_ended (kwf_core_t *core, const attempt_t *attempt,
                        bool broken, kwf_effects_t *effects);
/* Data of the answer of ATTEMPT arrived.  */
void feature_answer_goes_on (kwf_core_t *core, attempt_t *attempt,
                             int64_t now_ns, kwf_effects_t *effects);
/* The answer of ATTEMPT is complete.  */
void feature_answered (kwf_core_t *core, const attempt_t *attempt,
                       kwf_effects_t *effects);
/* REQUEST ends.  */
void feature_request_ended (kwf_core_t *core, request_t *request,
                            kwf_effects_t *effects);
/* Whether nothing of REQUEST is held to crash servers, or it is the one that
   is to show whether that is so.  */
bool feature_may_send (const kwf_core_t *core, const request_t *request);
/* Refuse REQUEST and return true, if something of it is held to crash servers
   and it can't be tried now.  */
bool feature_refuse_suspect (kwf_core_t *core, request_t *request,
                             kwf_effects_t *effects);
/* If REQUEST can be tried, ask for that and return true;
   feature_trial_result gets the result.  */
bool feature_awaits_trial (kwf_core_t *core, request_t *request,
                           kwf_effects_t *effects);
void feature_trial_result (kwf_core_t *core, const crash_result_t *result,
                           kwf_effects_t *effects);
/* End the requests at a server that are known to crash it.  */
void feature_end_bad_parts (kwf_core_t *core, kwf_effects_t *effects);

/* crash-check.c */
/* A load report of SERVER shows whether it crashed: continue the requests
   whose connection to it broke.  */
void crash_check_reported (kwf_core_t *core, const server_t *server,
                           kwf_effects_t *effects);
/* No load report arrived in time.  */
void crash_check_timeout (kwf_core_t *core, request_t *request,
                          kwf_effects_t *effects);

/* directory.c */
void directory_models (kwf_core_t *core, const kwf_request_event_t *event,
                       const char *organisation, kwf_effects_t *effects);
void directory_instances (kwf_core_t *core, const kwf_request_event_t *event,
                          const char *organisation, kwf_effects_t *effects);

/* Whether callers may be directed to MEMBER now.  */
bool directory_includes (const kwf_core_t *core,
                         const session_member_t *member);

/* Rank of INSTANCE among the instances to which callers of ORGANISATION are
   directed, highest first: rendezvous hashing, weighted by its LOAD relative
   to the MEAN of all.  */
double directory_score (const char *instance, const char *organisation,
                        double load, double mean);
/* stop.c */
void stop_begin (kwf_core_t *core, kwf_effects_t *effects);
void stop_tick (kwf_core_t *core, int64_t now_ns, kwf_effects_t *effects);
int64_t stop_next_tick_ns (const kwf_core_t *core);
/* Whether this instance refuses new requests, as it is stopping.  */
bool stop_refuses_requests (const kwf_core_t *core, int64_t now_ns);
/* Whether an attempt of REQUEST may start now: this instance is not stopping,
   or the request will end before it cuts what is open.  A stream that has
   begun may always go on.  */
bool stop_allows_start (const kwf_core_t *core, const request_t *request,
                        int64_t now_ns);
/* The same; if not, REQUEST is refused.  */
bool stop_check_start (kwf_core_t *core, request_t *request,
                       kwf_effects_t *effects);
/* Refuse REQUEST: its caller may use another instance.  */
void stop_refuse (kwf_core_t *core, request_t *request,
                  kwf_effects_t *effects);

/* hedge-delay.c */
/* Record the time from sending to the first data.  */
void hedge_delay_record (hedge_delay_t *hedge_delay, int64_t duration_ns,
                         int64_t now_ns);
/* Delay after which a hedge is sent, in nanoseconds; 0: not known yet.  */
int64_t hedge_delay_ns (const hedge_delay_t *hedge_delay);
hedge_delay_kind_t hedge_delay_kind (const request_t *request);
void hedge_delays_init (hedge_delay_t *hedge_delays, int64_t now_ns);
void hedge_delays_clear (hedge_delay_t *hedge_delays);

/* statuspage.c */
char *status_page (kwf_core_t *core);

#endif
