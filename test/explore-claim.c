/* Requests that run at most once.  This file does what the request module does
   in the product: it begins claims and sends the requests whose claim is
   granted.  */

#include "explore.h"

static bool
has_restarted (const explore_t *explore, const explore_request_t *request)
{
  const fleet_sim_instance_t *node = &explore->sim->instances[request->node];
  return !node->alive || node->incarnation != request->incarnation;
}

static void
record_send (explore_t *explore, explore_request_t *request)
{
  request->sent = true;
  fleet_sim_log (explore->sim, "%s sends claim key %d",
                 explore->sim->instances[request->node].name, request->key);
  if (request->rejected)
    explore_fail (explore, "(b) claim key %d is sent after \"not run\"",
                  request->key);
  if (++explore->sends[request->key] > 1)
    explore_fail (explore, "(b) claim key %d is sent twice", request->key);
}

static void
record_not_run (explore_t *explore, explore_request_t *request)
{
  request->rejected = true;
  if (request->sent)
    explore_fail (explore, "(b) claim key %d was sent, answered \"not run\"",
                  request->key);
}

void
explore_claim_begin (explore_t *explore, int at)
{
  fleet_sim_t *sim = explore->sim;
  fleet_sim_instance_t *node = &sim->instances[at];
  if (explore->n_requests == EXPLORE_REQUESTS
      || !session_may_act (node->session))
    return;
  int number = explore->n_requests++;
  explore_request_t *request = &explore->requests[number];
  *request = (explore_request_t){ .node = at,
                                  .incarnation = node->incarnation,
                                  .key = (int)fleet_sim_random_below (
                                      sim, EXPLORE_CLAIM_KEYS) };
  char key[16];
  snprintf (key, sizeof key, "k%d", request->key);
  claims_begin (node->claims, (kwf_handle_t)number + 1, "x", key,
                node->effects);
  if (sim->without == FLEET_SIM_NO_CLAIM_FIRST)
    record_send (explore, request);
  fleet_sim_run_effects (sim, at);
}

void
explore_claim_results (explore_t *explore, int at)
{
  fleet_sim_t *sim = explore->sim;
  size_t count;
  const claim_result_t *results
      = claims_take_results (sim->instances[at].claims, &count);
  for (size_t i = 0; i < count; i++)
    {
      int number = (int)results[i].request - 1;
      explore_request_t *request = &explore->requests[number];
      switch (results[i].verdict)
        {
        case CLAIM_GRANTED:
          request->granted = true;
          int64_t wait_ms = (int64_t)fleet_sim_random_below (
              sim, fleet_sim_random_below (sim, 4) ? 50 : 6000);
          fleet_sim_schedule_call (sim, sim->now_ns + wait_ms * FLEET_SIM_MS,
                                   at, EXPLORE_SEND + number);
          break;
        case CLAIM_UNAVAILABLE:
          record_not_run (explore, request);
          break;
        case CLAIM_DONE:
          if (!explore->sends[request->key])
            explore_fail (explore, "(b) claim key %d is done, never sent",
                          request->key);
          break;
        default:
          break;
        }
    }
}

/* The instance of the request, or NULL if that process has ended.  Also NULL
   if the instance is paused; then EVENT is scheduled again.  */
static fleet_sim_instance_t *
running_node (explore_t *explore, int number, int event)
{
  fleet_sim_t *sim = explore->sim;
  const explore_request_t *request = &explore->requests[number];
  if (has_restarted (explore, request))
    return NULL;
  if (!sim->instances[request->node].paused)
    return &sim->instances[request->node];
  fleet_sim_schedule_call (sim, sim->now_ns + 100 * FLEET_SIM_MS,
                           request->node, event + number);
  return NULL;
}

void
explore_claim_send (explore_t *explore, int number)
{
  fleet_sim_t *sim = explore->sim;
  explore_request_t *request = &explore->requests[number];
  fleet_sim_instance_t *node = running_node (explore, number, EXPLORE_SEND);
  kwf_handle_t handle = (kwf_handle_t)number + 1;
  if (!node)
    return;
  if (!session_may_act (node->session))
    {
      claims_abandon (node->claims, handle, node->effects);
      record_not_run (explore, request);
    }
  else if (!claims_mark_sent (node->claims, handle, node->effects))
    record_not_run (explore, request);
  else
    {
      if (sim->without != FLEET_SIM_NO_CLAIM_FIRST)
        record_send (explore, request);
      int64_t wait_ms = (int64_t)fleet_sim_random_below (sim, 300);
      fleet_sim_schedule_call (sim, sim->now_ns + wait_ms * FLEET_SIM_MS,
                               request->node, EXPLORE_END + number);
    }
  fleet_sim_run_effects (sim, request->node);
}

void
explore_claim_end (explore_t *explore, int number)
{
  fleet_sim_t *sim = explore->sim;
  explore_request_t *request = &explore->requests[number];
  fleet_sim_instance_t *node = running_node (explore, number, EXPLORE_END);
  kwf_handle_t handle = (kwf_handle_t)number + 1;
  if (!node)
    return;
  uint64_t outcome = fleet_sim_random_below (sim, 6);
  if (outcome < 4)
    claims_store_answer (node->claims, handle, 200, "text/plain", "run", 3,
                         node->effects);
  else if (outcome == 4)
    claims_mark_unknown (node->claims, handle, node->effects);
  else
    {
      /* The backend server refused the connection, so nothing was sent.  */
      explore->sends[request->key]--;
      request->sent = false;
      claims_abandon (node->claims, handle, node->effects);
      record_not_run (explore, request);
    }
  fleet_sim_run_effects (sim, request->node);
}
