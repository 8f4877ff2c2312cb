/* common-core-fleet-task.h - what is due in a fleet of cores, for its parts
   (common-core-fleet.h).  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CORE_FLEET_TASK_H
#define KNAPWEEDFORK_TEST_COMMON_CORE_FLEET_TASK_H

#include "common-core-fleet.h"

#define CORE_FLEET_LINK_NS (5 * CORE_FLEET_MS)

typedef enum
{
  TASK_TIMER,
  TASK_STORE_REPLY,
  TASK_ROWS,
  TASK_START,
  TASK_LINK,
  TASK_LINK_DOWN,
  TASK_MESSAGE,
  TASK_ARRIVAL,
  TASK_ANSWER,
  TASK_REQUEST,
  TASK_MEMBERS,
  TASK_LOADED,
  TASK_REFUSED,
  TASK_CRASH,
  TASK_UNANSWERED,
  TASK_HANDOVER,
  TASK_HANDED_ANSWER
} core_fleet_task_type_t;

typedef struct
{
  core_fleet_task_type_t type;
  core_fleet_instance_t *to;
  uint64_t incarnation; /* of the instance TO */
  core_fleet_instance_t *from;
  uint64_t from_incarnation;
  GByteArray *bytes; /* message */
  kwf_handle_t op;   /* store reply */
  kwf_store_reply_t reply;
  kwf_row_t row;
  kwf_handle_t request;
  kwf_handle_t attempt;
  int server;
  kwf_answer_kind_t kind;
  char order_id[24];
  core_fleet_order_t order;
  int status; /* of the answer to a request or an order */
  bool named; /* the answer names a limit */
  double limit;
  int64_t timer_ns;
  uint64_t server_incarnation;
  int64_t asked_ns;
  bool is_question;    /* to a server, whether it answers */
  int handed_attempts; /* of a handover */
} core_fleet_task_t;

/* TASK_TYPE for TO is due after DELAY_NS; the caller fills in the rest.  */
core_fleet_task_t *core_fleet_add_task (core_fleet_t *fleet,
                                        core_fleet_task_type_t type,
                                        int64_t delay_ns,
                                        core_fleet_instance_t *to);
void core_fleet_step (core_fleet_instance_t *instance,
                      const kwf_event_t *event);
/* The event of REQUEST, sent as try HANDLE.  */
kwf_event_t core_fleet_request_event (core_fleet_request_t *request,
                                      kwf_handle_t handle);
/* The request at INDEX gets one more handle, which is returned.  ROOT: the
   handle by which its arrivals are counted; 0: the new one.  */
kwf_handle_t core_fleet_add_try (core_fleet_t *fleet, guint index,
                                 kwf_handle_t root);

/* common-core-fleet-handover.c */

/* Sends the request of START to the instance that it names.  */
void core_fleet_hand_over (core_fleet_instance_t *instance,
                           const kwf_attempt_start_t *start);
void core_fleet_run_handover (core_fleet_t *fleet,
                              const core_fleet_task_t *task);
/* HANDLE was answered with STATUS.  False: it was not handed over.  */
bool core_fleet_answer_handover (core_fleet_t *fleet, kwf_handle_t handle,
                                 int status);
void core_fleet_run_handed_answer (const core_fleet_task_t *task);
/* What was handed over to instance INDEX ends with it.  */
void core_fleet_break_handovers (core_fleet_t *fleet, int index);

#endif
