/* The links of the simulated fleet.  */

#include <string.h>

#include "common-fleet-sim-state.h"
#include "lib/share-state.h"

void
fleet_sim_schedule_link_attempt (fleet_sim_t *sim, int index, int peer,
                                 int64_t wait_ns)
{
  fleet_sim_push (sim, (fleet_sim_item_t){
                           .at_ns = sim->now_ns + wait_ns,
                           .type = FLEET_SIM_LINK_ATTEMPT,
                           .node = index,
                           .peer = peer,
                           .incarnation = sim->instances[index].incarnation });
}

static void
push_peer (fleet_sim_t *sim, int index, int peer, bool up, bool refused,
           int64_t at_ns)
{
  kwf_event_t *event
      = fleet_sim_new_event (sim, up ? KWF_EV_PEER_UP : KWF_EV_PEER_DOWN);
  event->peer.instance = sim->instances[peer].name;
  event->peer.incarnation = sim->instances[peer].incarnation;
  event->peer.refused = refused;
  fleet_sim_item_t item = { .at_ns = at_ns,
                            .type = FLEET_SIM_INSTANCE_EVENT,
                            .node = index,
                            .peer = peer,
                            .incarnation = sim->instances[index].incarnation,
                            .event = event };
  if (!up && !refused)
    {
      /* Marks a DOWN event that has to arrive before the link may come up
         again.  */
      item.number = 1;
      sim->downs[index][peer]++;
    }
  fleet_sim_push (sim, item);
}

void
fleet_sim_close_link (fleet_sim_t *sim, int a, int b, int64_t max_ns)
{
  if (!sim->up[a][b])
    return;
  sim->up[a][b] = sim->up[b][a] = false;
  sim->generation[a][b] = ++sim->generation[b][a];
  sim->generation[b][a] = sim->generation[a][b];
  int64_t at_ns
      = sim->now_ns + fleet_sim_random_between (sim, FLEET_SIM_MS, max_ns);
  if (sim->instances[a].alive)
    push_peer (sim, a, b, false, false, at_ns);
  at_ns = sim->now_ns + fleet_sim_random_between (sim, FLEET_SIM_MS, max_ns);
  if (sim->instances[b].alive)
    push_peer (sim, b, a, false, false, at_ns);
}

void
fleet_sim_attempt_link (fleet_sim_t *sim, int a, int b)
{
  const fleet_sim_instance_t *peer = &sim->instances[b];
  if (!sim->wanted[a][b] || sim->up[a][b])
    return;
  if (peer->alive && !peer->paused && !sim->instances[a].paused
      && !sim->cut[a][b] && !sim->downs[a][b] && !sim->downs[b][a])
    {
      sim->up[a][b] = sim->up[b][a] = true;
      uint64_t generation = ++sim->generation[a][b];
      sim->generation[b][a] = generation;
      int64_t at_ns = sim->now_ns + sim->link_min_ns;
      sim->last_ns[a][b] = sim->last_ns[b][a] = at_ns;
      push_peer (sim, a, b, true, false, at_ns);
      push_peer (sim, b, a, true, false, at_ns);
      return;
    }
  if (!peer->alive && !sim->cut[a][b] && !sim->instances[a].paused)
    push_peer (sim, a, b, false, true, sim->now_ns + sim->link_min_ns);
  fleet_sim_schedule_link_attempt (sim, a, b, 200 * FLEET_SIM_MS);
}

void
fleet_sim_set_cut (fleet_sim_t *sim, int a, int b, bool cut)
{
  fleet_sim_log (sim, "link %d-%d %s", a, b, cut ? "cut" : "restored");
  sim->cut[a][b] = sim->cut[b][a] = cut;
  if (!cut || !sim->up[a][b])
    return;
  fleet_sim_close_link (sim, a, b, 500 * FLEET_SIM_MS);
  fleet_sim_schedule_link_attempt (sim, a, b, 200 * FLEET_SIM_MS);
  fleet_sim_schedule_link_attempt (sim, b, a, 200 * FLEET_SIM_MS);
}

int
fleet_sim_index_of (const fleet_sim_t *sim, const char *name)
{
  for (int i = 0; i < sim->n_instances; i++)
    if (strcmp (sim->instances[i].name, name) == 0)
      return i;
  return -1;
}

static const kwf_row_t *
copy_rows (fleet_sim_t *sim, const kwf_row_t *rows, size_t n)
{
  kwf_row_t *copy = fleet_sim_alloc (sim, (n + 1) * sizeof *copy);
  for (size_t i = 0; i < n; i++)
    copy[i] = (kwf_row_t){ .key = fleet_sim_strdup (sim, rows[i].key),
                           .version = rows[i].version,
                           .value = fleet_sim_strdup (sim, rows[i].value) };
  return copy;
}

static const char **
copy_names (fleet_sim_t *sim, const char *const *names, size_t n)
{
  const char **copy = fleet_sim_alloc (sim, (n + 1) * sizeof *copy);
  for (size_t i = 0; i < n; i++)
    copy[i] = fleet_sim_strdup (sim, names[i]);
  return copy;
}

static kwf_message_t *
copy_message (fleet_sim_t *sim, const kwf_message_t *message)
{
  kwf_message_t *copy = fleet_sim_alloc (sim, sizeof *copy);
  *copy = *message;
  switch (message->type)
    {
    case KWF_MSG_RENEW:
      copy->renew.caller_address
          = fleet_sim_strdup (sim, message->renew.caller_address);
      copy->renew.peer_address
          = fleet_sim_strdup (sim, message->renew.peer_address);
      copy->renew.data_centre
          = fleet_sim_strdup (sim, message->renew.data_centre);
      break;
    case KWF_MSG_RENEWED:
      copy->renewed.rows
          = copy_rows (sim, message->renewed.rows, message->renewed.n_rows);
      break;
    case KWF_MSG_STATE_ROWS:
      copy->state_rows.rows = copy_rows (sim, message->state_rows.rows,
                                         message->state_rows.n_rows);
      break;
    case KWF_MSG_SHARE_REQUEST:
      copy->share_request.organisation
          = fleet_sim_strdup (sim, message->share_request.organisation);
      break;
    case KWF_MSG_SHARE_GRANT:
      copy->share_grant.organisation
          = fleet_sim_strdup (sim, message->share_grant.organisation);
      break;
    case KWF_MSG_WITHDRAW:
      copy->withdraw.digest = fleet_sim_strdup (sim, message->withdraw.digest);
      break;
    case KWF_MSG_UNREACHABLE:
      copy->unreachable.names = copy_names (sim, message->unreachable.names,
                                            message->unreachable.n_names);
      break;
    default:
      break;
    }
  return copy;
}

/* For FLEET_SIM_NO_SUBTRACT: the sender of a share grant gets back what it has
   just sent.  */
static void
restore_give (const fleet_sim_instance_t *instance,
              const kwf_share_grant_t *share_grant)
{
  account_t *account = g_hash_table_lookup (instance->shares->accounts,
                                            share_grant->organisation);
  if (!account)
    return;
  bucket_part_t part
      = { share_grant->rate, share_grant->cap, share_grant->level };
  account->bucket.reserved = 0;
  bucket_add (&account->bucket, &part);
}

void
fleet_sim_send (fleet_sim_t *sim, int from, int to,
                const kwf_message_t *message)
{
  sim->messages++;
  if (message->type == KWF_MSG_SHARE_GRANT
      && sim->without == FLEET_SIM_NO_SUBTRACT)
    restore_give (&sim->instances[from], &message->share_grant);
  if (to < 0 || !sim->up[from][to])
    return;
  kwf_event_t *event = fleet_sim_new_event (sim, KWF_EV_PEER_MESSAGE);
  event->peer.instance = sim->instances[from].name;
  event->peer.incarnation = sim->instances[from].incarnation;
  event->peer.message = copy_message (sim, message);
  int64_t at_ns
      = sim->now_ns
        + fleet_sim_random_between (sim, sim->link_min_ns, sim->link_max_ns);
  at_ns = MAX (at_ns, sim->last_ns[from][to]);
  sim->last_ns[from][to] = at_ns;
  fleet_sim_push (
      sim, (fleet_sim_item_t){ .at_ns = at_ns,
                               .type = FLEET_SIM_INSTANCE_EVENT,
                               .node = to,
                               .peer = from,
                               .incarnation = sim->instances[to].incarnation,
                               .generation = sim->generation[from][to],
                               .event = event });
}
