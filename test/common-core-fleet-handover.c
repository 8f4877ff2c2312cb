/* Requests that one instance hands over to another one.  */

#include "common-core-fleet-task.h"

#include <string.h>

typedef struct
{
  kwf_handle_t handle; /* at the instance that runs it; key */
  int instance;
  core_fleet_instance_t *from;
  uint64_t incarnation; /* of FROM */
  kwf_handle_t request; /* there */
  kwf_handle_t attempt;
} handed_t;

void
core_fleet_hand_over (core_fleet_instance_t *instance,
                      const kwf_attempt_start_t *start)
{
  core_fleet_t *fleet = instance->fleet;
  core_fleet_instance_t *to = NULL;
  for (int i = 0; i < fleet->n_instances; i++)
    if (strcmp (fleet->instances[i].address, start->address) == 0)
      to = &fleet->instances[i];
  core_fleet_task_t *task
      = core_fleet_add_task (fleet, TASK_HANDOVER, CORE_FLEET_LINK_NS, to);
  task->from = instance;
  task->from_incarnation = instance->incarnation;
  task->request = start->request;
  task->attempt = start->attempt;
  task->handed_attempts = start->handed_attempts;
}

void
core_fleet_run_handover (core_fleet_t *fleet, const core_fleet_task_t *task)
{
  guint index = g_array_index (fleet->tries, guint, task->request - 1);
  core_fleet_request_t *request
      = &g_array_index (fleet->requests, core_fleet_request_t, index);
  kwf_handle_t root
      = g_array_index (fleet->roots, kwf_handle_t, task->request - 1);
  handed_t *handed = g_new (handed_t, 1);
  *handed = (handed_t){ .handle = core_fleet_add_try (fleet, index, root),
                        .instance = task->to->index,
                        .from = task->from,
                        .incarnation = task->from_incarnation,
                        .request = task->request,
                        .attempt = task->attempt };
  g_hash_table_insert (fleet->handed, &handed->handle, handed);
  task->to->n_handed++;
  kwf_event_t event = core_fleet_request_event (request, handed->handle);
  event.request.handed_attempts = task->handed_attempts;
  core_fleet_step (task->to, &event);
}

static void
end_handover (core_fleet_t *fleet, const handed_t *handed, int status)
{
  core_fleet_task_t *task = core_fleet_add_task (
      fleet, TASK_HANDED_ANSWER, CORE_FLEET_LINK_NS, handed->from);
  task->incarnation = handed->incarnation;
  task->request = handed->request;
  task->attempt = handed->attempt;
  task->status = status;
}

bool
core_fleet_answer_handover (core_fleet_t *fleet, kwf_handle_t handle,
                            int status)
{
  const handed_t *handed = g_hash_table_lookup (fleet->handed, &handle);
  if (!handed)
    return false;
  end_handover (fleet, handed, status);
  g_hash_table_remove (fleet->handed, &handle);
  return true;
}

void
core_fleet_run_handed_answer (const core_fleet_task_t *task)
{
  core_fleet_t *fleet = task->to->fleet;
  guint index = g_array_index (fleet->tries, guint, task->request - 1);
  g_array_index (fleet->requests, core_fleet_request_t, index).handed_status
      = task->status;
  kwf_event_t event = { .type = KWF_EV_ATTEMPT_END,
                        .attempt = { .attempt = task->attempt,
                                     .request = task->request,
                                     .status = task->status } };
  if (!task->status)
    {
      event.type = KWF_EV_ATTEMPT_FAILED;
      event.attempt.failure = KWF_FAIL_BROKEN;
    }
  core_fleet_step (task->to, &event);
}

void
core_fleet_break_handovers (core_fleet_t *fleet, int index)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->handed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const handed_t *)value)->instance == index)
      {
        end_handover (fleet, value, 0);
        g_hash_table_iter_remove (&iter);
      }
}
