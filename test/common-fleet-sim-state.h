/* common-fleet-sim-state.h - internals of the fleet simulation, shared by its
   files.  */

#ifndef KNAPWEEDFORK_COMMON_FLEET_SIM_STATE_H
#define KNAPWEEDFORK_COMMON_FLEET_SIM_STATE_H

#include "common-fleet-sim.h"

typedef enum
{
  FLEET_SIM_INSTANCE_EVENT, /* an event for an instance */
  FLEET_SIM_STORE_REQUEST,  /* a transaction reaches the table */
  FLEET_SIM_LINK_ATTEMPT,   /* an attempt to open a link */
  FLEET_SIM_CALL            /* calls the hook "call" */
} fleet_sim_item_type_t;

typedef struct
{
  int index; /* of the instance */
  uint64_t incarnation;
  kwf_handle_t op;
  int64_t timeout_ns; /* absolute time */
  kwf_txn_t txn;
  bool answer; /* false: a duplicate, whose answer is dropped */
} fleet_sim_request_t;

typedef struct
{
  int64_t at_ns;
  fleet_sim_item_type_t type;
  int node; /* index of the instance */
  int peer;
  uint64_t incarnation;         /* FLEET_SIM_INSTANCE_EVENT */
  uint64_t generation;          /* of the link; 0: not a message */
  int64_t number;               /* FLEET_SIM_CALL */
  kwf_event_t *event;           /* FLEET_SIM_INSTANCE_EVENT */
  fleet_sim_request_t *request; /* FLEET_SIM_STORE_REQUEST */
} fleet_sim_item_t;

int64_t fleet_sim_random_between (fleet_sim_t *sim, int64_t min_ns,
                                  int64_t max_ns);

/* Scheduled items, ordered by time.  */
void fleet_sim_push (fleet_sim_t *sim, fleet_sim_item_t item);
fleet_sim_item_t fleet_sim_pop (fleet_sim_t *sim);
const fleet_sim_item_t *fleet_sim_first (const fleet_sim_t *sim);
kwf_event_t *fleet_sim_new_event (fleet_sim_t *sim, kwf_event_type_t type);
void fleet_sim_push_event (fleet_sim_t *sim, int64_t at_ns, int index,
                           kwf_event_t *event);

/* Links.  */
void fleet_sim_schedule_link_attempt (fleet_sim_t *sim, int index, int peer,
                                      int64_t wait_ns);
void fleet_sim_attempt_link (fleet_sim_t *sim, int a, int b);
void fleet_sim_close_link (fleet_sim_t *sim, int a, int b, int64_t max_ns);
int fleet_sim_index_of (const fleet_sim_t *sim, const char *name);
void fleet_sim_send (fleet_sim_t *sim, int from, int to,
                     const kwf_message_t *message);

#endif
