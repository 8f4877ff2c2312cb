/* explore.h - one random schedule of faults, and the invariants that must hold
   in it.  */

#ifndef KNAPWEEDFORK_EXPLORE_H
#define KNAPWEEDFORK_EXPLORE_H

#include "common-fleet-sim.h"

#define EXPLORE_ORGS 2
#define EXPLORE_KEYS 8       /* keys of callers that may be withdrawn */
#define EXPLORE_CLAIM_KEYS 6 /* idempotency keys in use */
#define EXPLORE_REQUESTS 512
#define EXPLORE_KINDS 5 /* kinds of faults in one schedule */
#define EXPLORE_LIMITS 32
#define EXPLORE_TRACKERS 16

/* Time within which every instance has applied a committed row, or may not
   act.  */
#define EXPLORE_KNOWN_NS (3 * KWF_NS_PER_S)

/* Limits of all organisations, in force from AT_NS on.  */
typedef struct
{
  int64_t at_ns;
  double rate[EXPLORE_ORGS];
  double burst[EXPLORE_ORGS];
} explore_limits_t;

/* Tokens admitted above the rate, the largest sum over all windows that begin
   after the tracker was started.  */
typedef struct
{
  int org;
  double level;
  double burst; /* largest burst in force since the start */
  int64_t at_ns;
} explore_tracker_t;

typedef struct
{
  int64_t at_ns; /* time of the commit; 0: the key is not withdrawn */
  int64_t revision;
} explore_withdrawal_t;

/* A request that needs a claim.  */
typedef struct
{
  int node;
  uint64_t incarnation;
  int key;
  bool granted;
  bool sent;
  bool rejected; /* answered "not run" */
} explore_request_t;

/* A configuration write of an instance that other instances may not have
   applied yet.  */
typedef struct
{
  kwf_handle_t op; /* 0: none is pending */
  uint64_t incarnation;
  int64_t sent_ns;
  int64_t revision; /* revision of its commit; 0: not known to be committed */
  bool answered;
  char key[16];
  char value[64];
} explore_write_t;

typedef struct
{
  uint64_t seed;
  fleet_sim_t *sim;
  char failure[256];

  explore_limits_t limits[EXPLORE_LIMITS];
  int n_limits;
  explore_tracker_t trackers[EXPLORE_TRACKERS];
  int n_trackers;
  int64_t next_tracker_ns;

  explore_withdrawal_t withdrawals[EXPLORE_KEYS];
  explore_write_t writes[FLEET_SIM_INSTANCES];
  int64_t revisions[FLEET_SIM_INSTANCES];
  uint64_t incarnations[FLEET_SIM_INSTANCES];

  explore_request_t requests[EXPLORE_REQUESTS];
  int n_requests;
  int sends[EXPLORE_CLAIM_KEYS];

  double demand; /* tokens per second of one instance */
  bool phased;   /* demand alternates between phases with and without
                    requests */
  int64_t phase_ns;
  int kinds[EXPLORE_KINDS];
  int64_t work_until_ns;
  int64_t outage_ns;
  bool outage_clean; /* every instance could act and nothing was slow when the
                        outage began */
  int64_t disturbed_ns;
  int64_t end_ns;
  double admitted;
} explore_t;

/* Run the schedule of SEED.  True if every invariant held.  */
bool explore_run (explore_t *explore, uint64_t seed,
                  fleet_sim_disabled_t disabled, FILE *trace);

/* Report a violation.  Only the first one of a schedule counts.  */
void explore_fail (explore_t *explore, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Checks of invariants; a violation goes to explore_fail.  */
void explore_check_start (explore_t *explore);
void explore_check_admitted (explore_t *explore, int org, double tokens);
void explore_check_committed (fleet_sim_t *sim, const kwf_row_t *row);
void explore_check_node (explore_t *explore, int node);
void explore_check_sums (explore_t *explore);
void explore_check_outage (explore_t *explore);
void explore_check_recovered (explore_t *explore);
bool explore_all_may_act (const explore_t *explore);

/* Requests that need a claim; the numbers are indices of REQUESTS.  */
void explore_claim_begin (explore_t *explore, int node);
void explore_claim_results (explore_t *explore, int node);
void explore_claim_send (explore_t *explore, int call);
void explore_claim_end (explore_t *explore, int call);

/* Numbers of the events that fleet_sim_schedule_call schedules.  */
enum
{
  EXPLORE_WORK = 1,
  EXPLORE_FAULT,
  EXPLORE_HEAL,
  EXPLORE_REFUND = 1 << 20, /* the tokens, organisation and incarnation are
                               added */
  EXPLORE_SEND = 1 << 24,   /* the index of the request is added */
  EXPLORE_END = 1 << 25
};

/* Faults.  */
void fault_start (explore_t *explore);
void fault_inject (explore_t *explore);
void fault_heal (explore_t *explore, int64_t number);
void fault_heal_all (explore_t *explore);
void fault_write_done (fleet_sim_t *sim, int node, kwf_handle_t op,
                       const kwf_store_reply_t *reply);
void fault_close_writes (explore_t *explore, int node);

#endif
