/* Calls that run at most once, and where a request module would be.  */

#include "explore.h"

static bool
is_gone (const explore_t *explore, const explore_call_t *call)
{
  const fleet_sim_instance_t *node = &explore->sim->instances[call->node];
  return !node->alive || node->incarnation != call->incarnation;
}

static void
count_send (explore_t *explore, explore_call_t *call)
{
  call->sent = true;
  fleet_sim_log (explore->sim, "%s sends claim key %d",
                 explore->sim->instances[call->node].name, call->key);
  if (call->rejected)
    explore_fail (explore, "(b) claim key %d is sent after \"not run\"",
                  call->key);
  if (++explore->sends[call->key] > 1)
    explore_fail (explore, "(b) claim key %d is sent twice", call->key);
}

static void
reject (explore_t *explore, explore_call_t *call)
{
  call->rejected = true;
  if (call->sent)
    explore_fail (explore, "(b) claim key %d was sent, answered \"not run\"",
                  call->key);
}

void
claim_call (explore_t *explore, int at)
{
  fleet_sim_t *sim = explore->sim;
  fleet_sim_instance_t *node = &sim->instances[at];
  if (explore->n_calls == EXPLORE_CALLS || !session_may_act (node->session))
    return;
  int number = explore->n_calls++;
  explore_call_t *call = &explore->calls[number];
  *call = (explore_call_t){ .node = at,
                            .incarnation = node->incarnation,
                            .key = (int)fleet_sim_random_below (
                                sim, EXPLORE_CLAIM_KEYS) };
  char key[16];
  snprintf (key, sizeof key, "k%d", call->key);
  claims_begin (node->claims, (kwf_handle_t)number + 1, "x", key,
                node->effects);
  if (sim->without == FLEET_SIM_NO_CLAIM_FIRST)
    count_send (explore, call);
  fleet_sim_run_effects (sim, at);
}

void
claim_results (explore_t *explore, int at)
{
  fleet_sim_t *sim = explore->sim;
  size_t count;
  const claim_result_t *results
      = claims_take_results (sim->instances[at].claims, &count);
  for (size_t i = 0; i < count; i++)
    {
      int number = (int)results[i].request - 1;
      explore_call_t *call = &explore->calls[number];
      switch (results[i].verdict)
        {
        case CLAIM_GRANTED:
          call->granted = true;
          int64_t wait_ms = (int64_t)fleet_sim_random_below (
              sim, fleet_sim_random_below (sim, 4) ? 50 : 6000);
          fleet_sim_schedule_call (sim, sim->now_ns + wait_ms * FLEET_SIM_MS,
                                   at, EXPLORE_SEND + number);
          break;
        case CLAIM_UNAVAILABLE:
          reject (explore, call);
          break;
        case CLAIM_DONE:
          if (!explore->sends[call->key])
            explore_fail (explore, "(b) claim key %d is done, never sent",
                          call->key);
          break;
        default:
          break;
        }
    }
}

/* The node of the call; NULL when the node is gone, and when it is paused:
   then EVENT comes again.  */
static fleet_sim_instance_t *
running_node (explore_t *explore, int number, int event)
{
  fleet_sim_t *sim = explore->sim;
  const explore_call_t *call = &explore->calls[number];
  if (is_gone (explore, call))
    return NULL;
  if (!sim->instances[call->node].paused)
    return &sim->instances[call->node];
  fleet_sim_schedule_call (sim, sim->now_ns + 100 * FLEET_SIM_MS, call->node,
                           event + number);
  return NULL;
}

void
claim_send (explore_t *explore, int number)
{
  fleet_sim_t *sim = explore->sim;
  explore_call_t *call = &explore->calls[number];
  fleet_sim_instance_t *node = running_node (explore, number, EXPLORE_SEND);
  kwf_handle_t request = (kwf_handle_t)number + 1;
  if (!node)
    return;
  if (!session_may_act (node->session))
    {
      claims_abandon (node->claims, request, node->effects);
      reject (explore, call);
    }
  else if (!claims_mark_sent (node->claims, request, node->effects))
    reject (explore, call);
  else
    {
      if (sim->without != FLEET_SIM_NO_CLAIM_FIRST)
        count_send (explore, call);
      int64_t wait_ms = (int64_t)fleet_sim_random_below (sim, 300);
      fleet_sim_schedule_call (sim, sim->now_ns + wait_ms * FLEET_SIM_MS,
                               call->node, EXPLORE_END + number);
    }
  fleet_sim_run_effects (sim, call->node);
}

void
claim_end (explore_t *explore, int number)
{
  fleet_sim_t *sim = explore->sim;
  explore_call_t *call = &explore->calls[number];
  fleet_sim_instance_t *node = running_node (explore, number, EXPLORE_END);
  kwf_handle_t request = (kwf_handle_t)number + 1;
  if (!node)
    return;
  uint64_t outcome = fleet_sim_random_below (sim, 6);
  if (outcome < 4)
    claims_store_answer (node->claims, request, 200, "text/plain", "run", 3,
                         node->effects);
  else if (outcome == 4)
    claims_mark_unknown (node->claims, request, node->effects);
  else
    {
      /* The backend server refused the connection: nothing was sent.  */
      explore->sends[call->key]--;
      call->sent = false;
      claims_abandon (node->claims, request, node->effects);
      reject (explore, call);
    }
  fleet_sim_run_effects (sim, call->node);
}
