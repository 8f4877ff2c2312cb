#include "session-state.h"

#include <math.h>
#include <string.h>

#include "hub.h"
#include "op.h"

/* Least time between early renewals where the renewal period is long.  */
#define EARLY_RENEWAL_MIN_NS (KWF_NS_PER_S / 5)

/* Time constant of the average load in the session row.  */
#define LOAD_AVERAGE_NS (10 * KWF_NS_PER_S)

/* After a pause of this process, links to instances that ended meanwhile are
   closed within this time: silent_ms (net/peer.h) and the next step.  */
#define WAKE_NS (2 * KWF_NS_PER_S)

session_t *
session_new (const kwf_core_options_t *options)
{
  session_t *session = g_new0 (session_t, 1);
  session->instance = g_strdup (options->instance);
  session->incarnation = options->incarnation;
  session->caller_address = g_strdup (options->caller_address);
  session->peer_address = g_strdup (options->peer_address);
  session->data_centre = g_strdup (options->data_centre);
  session->lease_ns
      = options->lease_ns ? options->lease_ns : 2400 * KWF_NS_PER_MS;
  session->renew_ns
      = options->renew_ns ? options->renew_ns : 800 * KWF_NS_PER_MS;
  session->clock = options->clock;
  session->push_updates = options->push_updates;
  session->rows = rows_new ();
  session->members = g_ptr_array_new_with_free_func (member_free);
  session->queued_forwards
      = g_ptr_array_new_with_free_func (forwarded_renewal_free);
  session->sent_forwards
      = g_ptr_array_new_with_free_func (forwarded_renewal_free);
  session->fresh_ns = options->fresh_ns ? options->fresh_ns : SESSION_FRESH_NS;
  session->contact_ns = options->contact_ns;
  session->cores = options->cores ? options->cores : 1;
  session->hub = true;
  session->unreachable
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  session->changes = g_array_new (FALSE, TRUE, sizeof (kwf_row_t));
  session->lease_until_ns = INT64_MIN;
  session->stepped_ns = session->began_ns = kwf_now_ns (session->clock);
  return session;
}

void
session_free (session_t *session)
{
  if (!session)
    return;
  g_free (session->instance);
  g_free (session->caller_address);
  g_free (session->peer_address);
  g_free (session->data_centre);
  g_free (session->op_value);
  g_free (session->demand);
  rows_free (session->rows);
  g_ptr_array_free (session->members, TRUE);
  g_ptr_array_free (session->queued_forwards, TRUE);
  g_ptr_array_free (session->sent_forwards, TRUE);
  g_array_free (session->changes, TRUE);
  g_hash_table_unref (session->unreachable);
  g_free (session);
}

kwf_message_t *
session_send (const char *peer, kwf_message_type_t type,
              kwf_effects_t *effects)
{
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_PEER_SEND);
  char *copy = kwf_effects_strdup (effects, peer);
  effect->send.instance = copy;
  effect->send.message.type = type;
  return &effect->send.message;
}

void
session_apply_rows (session_t *session, const kwf_row_t *rows, size_t n_rows,
                    int64_t revision, int64_t now_ns, kwf_effects_t *effects,
                    session_changes_t *changes)
{
  bool members = false;
  for (size_t i = 0; i < n_rows; i++)
    {
      const kwf_row_t *row = rows_put (session->rows, &rows[i], now_ns);
      if (!row)
        continue;
      g_array_append_val (session->changes, *row);
      if (!g_str_has_prefix (row->key, "session/"))
        continue;
      member_apply_row (session, row, now_ns, effects);
      members = true;
    }
  if (members)
    {
      hub_select (session);
      hub_schedule_unreachable_list (session);
      member_open_links (session, effects);
    }
  session->revision = MAX (session->revision, revision);
  changes->fresh = true;
  changes->revision = session->revision;
  changes->rows = (const kwf_row_t *)(void *)session->changes->data;
  changes->n_rows = session->changes->len;
}

static void
handle_link_up (session_t *session, const kwf_peer_event_t *event,
                kwf_effects_t *effects)
{
  member_t *member = member_find_or_add (session, event->instance);
  member->linked = true;
  member->linked_ns = kwf_now_ns (session->clock);
  member->link_incarnation = event->incarnation;
  member->refused_ns = 0;
  member->vote_query_ns = INT64_MIN / 2;
  member->replied_not_silent = false;
  member->rows_requested = false;
  member->command_revision_sent = 0;
  hub_schedule_unreachable_list (session);
  if (session->leaving && session->push_updates)
    session_send (event->instance, KWF_MSG_LEAVE, effects);
  if (session->revision)
    return;
  /* This instance knows no configuration rows: it requests all that the peer
     has.  */
  member->rows_requested = true;
  session_send (event->instance, KWF_MSG_STATE_REQUEST, effects)->state_after
      = 0;
}

static void
handle_link_down (session_t *session, const kwf_peer_event_t *event)
{
  member_t *member = member_find (session, event->instance);
  if (!member)
    return;
  if (member->linked)
    {
      hub_schedule_unreachable_list (session);
      member->unlinked_ns = kwf_now_ns (session->clock);
    }
  member->linked = false;
  member->rows_requested = false;
  member->vote_query_ns = INT64_MIN / 2;
  member->replied_not_silent = false;
  /* The process may have been paused since the previous step, so the refusal
     may be as old as that step.  */
  if (event->refused && !member->refused_ns)
    member->refuses_ns = kwf_now_ns (session->clock);
  member->refused_ns = event->refused ? MAX (session->stepped_ns, 1) : 0;
  if (!member->version && event->refused)
    g_ptr_array_remove (session->members, member);
}

static void
handle_config_rows (session_t *session, const char *peer,
                    const kwf_state_rows_t *config, int64_t now_ns,
                    kwf_effects_t *effects, session_changes_t *changes)
{
  const member_t *member = member_find (session, peer);
  if (!member || !member->rows_requested)
    return;
  if (config->revision < session->revision)
    {
      /* The peer's revision is older, but it may know newer rows that a
         command wrote.  Its older rows are skipped, because they may have been
         deleted meanwhile.  */
      for (size_t i = 0; i < config->n_rows; i++)
        if (config->rows[i].version > session->revision)
          session_apply_rows (session, &config->rows[i], 1, session->revision,
                              now_ns, effects, changes);
      return;
    }
  if (!session->revision)
    kwf_effects_log (effects, 109, KWF_LOG_INFO, NULL,
                     "first state comes from peer %s, revision %" PRId64, peer,
                     config->revision);
  session_apply_rows (session, config->rows, config->n_rows, config->revision,
                      now_ns, effects, changes);
}

/* Handles a peer's message that it is leaving.  Its row shows that later.  */
static void
handle_leave (session_t *session, const kwf_peer_event_t *event,
              kwf_effects_t *effects)
{
  member_t *member = member_find (session, event->instance);
  if (!member || member->incarnation != event->incarnation || member->leaving)
    return;
  member->leaving = true;
  hub_schedule_unreachable_list (session);
  kwf_effects_log (effects, 112, KWF_LOG_INFO, NULL, "member %s is stopping",
                   event->instance);
}

static bool
handle_message (session_t *session, const kwf_peer_event_t *event,
                int64_t now_ns, kwf_effects_t *effects,
                session_changes_t *changes)
{
  const kwf_message_t *message = event->message;
  const char *peer = event->instance;
  switch (message->type)
    {
    case KWF_MSG_RENEW:
      renewal_handle_renew (session, peer, &message->renew, now_ns, effects);
      return true;
    case KWF_MSG_RENEWED:
      renewal_handle_renewed (session, peer, &message->renewed, now_ns,
                              effects, changes);
      return true;
    case KWF_MSG_OUTAGE_QUERY:
      outage_handle_query (session, peer, message->outage.number, now_ns,
                           effects);
      return true;
    case KWF_MSG_OUTAGE_REPLY:
      outage_handle_reply (session, peer, &message->outage, effects);
      return true;
    case KWF_MSG_STATE_REQUEST:
      outage_handle_state_request (session, peer, message->state_after,
                                   effects);
      return true;
    case KWF_MSG_STATE_ROWS:
      handle_config_rows (session, peer, &message->state_rows, now_ns, effects,
                          changes);
      return true;
    case KWF_MSG_LEAVE:
      handle_leave (session, event, effects);
      return true;
    case KWF_MSG_UNREACHABLE:
      hub_handle_unreachable (session, &message->unreachable);
      return true;
    default:
      return false;
    }
}

static bool
handle_event (session_t *session, const kwf_event_t *event, int64_t now_ns,
              kwf_effects_t *effects, session_changes_t *changes)
{
  switch (event->type)
    {
    case KWF_EV_STORE_REPLY:
      if (op_owner (event->store.op) != OP_SESSION)
        return false;
      if (event->store.op == session->op)
        renewal_handle_reply (session, &event->store.reply, now_ns, effects,
                              changes);
      return true;
    case KWF_EV_ROWS:
      session_apply_rows (session, event->rows.rows, event->rows.n_rows,
                          event->rows.revision, now_ns, effects, changes);
      return true;
    case KWF_EV_PEER_UP:
      handle_link_up (session, &event->peer, effects);
      return false;
    case KWF_EV_PEER_DOWN:
      handle_link_down (session, &event->peer);
      return false;
    case KWF_EV_PEER_MESSAGE:
      return handle_message (session, &event->peer, now_ns, effects, changes);
    default:
      return false;
    }
}

static void
log_state (session_t *session, kwf_effects_t *effects)
{
  session_state_t state = session_state (session);
  if (state == session->logged_state)
    return;
  session->logged_state = state;
  if (state == SESSION_VALID)
    kwf_effects_log (effects, 100, KWF_LOG_INFO, NULL, "lease is valid");
  else if (state == SESSION_OUTAGE)
    kwf_effects_log (effects, 101, KWF_LOG_WARNING, NULL,
                     "the platform is silent and all members agree; "
                     "acting without a lease");
  else
    kwf_effects_log (effects, 103, KWF_LOG_WARNING, NULL,
                     "no valid lease; requests are rejected");
}

bool
session_step (session_t *session, const kwf_event_t *event,
              kwf_effects_t *effects, session_changes_t *changes)
{
  int64_t now_ns = kwf_now_ns (session->clock);
  if (session->contact_ns
      && now_ns - session->stepped_ns > session->contact_ns)
    session->woken_ns = now_ns;
  *changes = (session_changes_t){ .revision = session->revision };
  g_array_set_size (session->changes, 0);
  bool own = handle_event (session, event, now_ns, effects, changes);
  if (!session->fenced)
    {
      renewal_run (session, now_ns, effects);
      outage_run (session, now_ns, effects);
      member_remove_gone (session, now_ns, effects);
      hub_run (session, now_ns, effects);
    }
  log_state (session, effects);
  session->stepped_ns = now_ns;
  return own;
}

session_state_t
session_state (const session_t *session)
{
  int64_t now_ns = kwf_now_ns (session->clock);
  if (session->fenced)
    return SESSION_EXPIRED;
  if (now_ns < session->lease_until_ns)
    return SESSION_VALID;
  /* The rows of this instance's write with unknown outcome may already be in
     force.  */
  if (session->revision && !session->write_pending
      && outage_platform_is_silent (session, now_ns)
      && outage_vote_is_unanimous (session, now_ns))
    return SESSION_OUTAGE;
  return session->had_lease ? SESSION_EXPIRED : SESSION_NONE;
}

bool
session_may_act (const session_t *session)
{
  session_state_t state = session_state (session);
  return state == SESSION_VALID || state == SESSION_OUTAGE;
}

bool
session_member_live (const session_t *session, const session_member_t *member)
{
  if (strcmp (member->instance, session->instance) == 0)
    return true;
  return session->push_updates ? hub_is_live (session, member->instance,
                                              member->linked, member->hub)
                               : !member->expired;
}

bool
session_member_reached (const session_t *session,
                        const session_member_t *member)
{
  if (!session->contact_ns || !session->push_updates
      || strcmp (member->instance, session->instance) == 0)
    return session_member_live (session, member);
  int64_t now_ns = kwf_now_ns (session->clock);
  if (now_ns - session->stepped_ns > session->contact_ns
      || (session->woken_ns && now_ns - session->woken_ns < WAKE_NS))
    return false;
  return hub_has_reached (session, member->instance, member->linked,
                          member->hub);
}

bool
session_knows (const session_t *session, const char *instance,
               uint64_t incarnation)
{
  const member_t *member = member_find (session, instance);
  return member && member->version && member->incarnation == incarnation;
}

void
session_set_epoch_left (session_t *session, int64_t epoch)
{
  if (epoch <= session->epoch_left)
    return;
  session->epoch_left = epoch;
  session->next_renew_ns
      = MIN (session->next_renew_ns, kwf_now_ns (session->clock));
}

void
session_renew_soon (session_t *session)
{
  session->next_renew_ns
      = MIN (session->next_renew_ns,
             MAX (kwf_now_ns (session->clock),
                  session->op_sent_ns
                      + MIN (session->renew_ns / 4, EARLY_RENEWAL_MIN_NS)));
}

void
session_record_load (session_t *session, size_t n)
{
  int64_t now_ns = kwf_now_ns (session->clock);
  double passed
      = (double)(now_ns - session->load_ns) / (double)LOAD_AVERAGE_NS;
  session->load_ns = now_ns;
  session->load += ((double)n - session->load) * (1 - exp (-passed));
}

void
session_set_demand (session_t *session, session_demand_fn_t fn, void *data)
{
  session->demand_fn = fn;
  session->demand_data = data;
}

void
session_set_leaving (session_t *session, kwf_effects_t *effects)
{
  session->leaving = true;
  session_renew_soon (session);
  for (guint i = 0; session->push_updates && i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (member->linked)
        session_send (member->instance, KWF_MSG_LEAVE, effects);
    }
}

void
session_set_write_pending (session_t *session, bool open)
{
  session->write_pending = open;
}

bool
session_may_reclaim (const session_t *session)
{
  int64_t now_ns = kwf_now_ns (session->clock);
  return !session->fenced && now_ns < session->lease_until_ns
         && session->first_success_ns && !session->failures
         && now_ns - session->first_success_ns >= session->lease_ns
         && now_ns - session->answered_ns < session->lease_ns;
}

void
session_keep_rows (session_t *session, const kwf_row_t *rows, size_t n_rows)
{
  for (size_t i = 0; i < n_rows; i++)
    if (rows_put (session->rows, &rows[i], kwf_now_ns (session->clock)))
      session->command_revision
          = MAX (session->command_revision, rows[i].version);
}

static session_member_t
own_member (const session_t *session)
{
  return (session_member_t){
    .instance = session->instance,
    .incarnation = session->incarnation,
    .epoch_left = session->epoch_left,
    .leaving = session->leaving,
    .caller_address = session->caller_address,
    .peer_address = session->peer_address,
    .data_centre = session->data_centre,
    .fresh = true,
    .hub = session->hub,
    .load = llround (session->load),
  };
}

static session_member_t
other_member (const session_t *session, const member_t *member)
{
  return (session_member_t){
    .instance = member->instance,
    .incarnation = member->incarnation,
    .epoch_left = member->epoch_left,
    .leaving = member->leaving,
    .expired = member->expired,
    .linked
    = member->linked && member->link_incarnation == member->incarnation,
    .linked_ns = member->linked_ns,
    .unlinked_ns = member->unlinked_ns,
    .refuses_ns = member->refused_ns ? member->refuses_ns : 0,
    .caller_address = member->caller_address,
    .peer_address = member->peer_address,
    .data_centre = member->data_centre,
    .fresh = session->answered_ns - member->changed_ns < session->lease_ns,
    .hub = member->hub,
    .load = member->load,
    .version = member->version,
  };
}

bool
session_next_member (const session_t *session, size_t *at,
                     session_member_t *member)
{
  if (*at < SESSION_OTHERS)
    {
      *member = own_member (session);
      *at = SESSION_OTHERS;
      return true;
    }
  while (*at - SESSION_OTHERS < session->members->len)
    {
      const member_t *other = session->members->pdata[*at - SESSION_OTHERS];
      (*at)++;
      if (!other->version)
        continue;
      *member = other_member (session, other);
      return true;
    }
  return false;
}

size_t
session_count_members (const session_t *session)
{
  session_member_t member;
  size_t at = 0;
  size_t n = 0;
  while (session_next_member (session, &at, &member))
    n++;
  return n;
}

int64_t
session_revision (const session_t *session)
{
  return session->revision;
}

bool
session_is_large (const session_t *session)
{
  return session->large;
}

bool
session_is_hub (const session_t *session, const char *instance)
{
  if (strcmp (instance, session->instance) == 0)
    return session->hub;
  const member_t *member = member_find (session, instance);
  return !session->large || (member && member->hub);
}

int64_t
session_fresh_ns (const session_t *session)
{
  return session->fresh_ns;
}

int64_t
session_age_ns (const session_t *session)
{
  return kwf_now_ns (session->clock) - session->began_ns;
}

int64_t
session_next_tick_ns (const session_t *session)
{
  if (session->fenced)
    return INT64_MAX;
  int64_t stepped_ns = session->stepped_ns;
  int64_t deadline = session->next_renew_ns;
  if (!renewal_may_begin (session))
    return INT64_MAX;
  if (session->op)
    deadline = session->op_sent_ns
               + MIN (session->renew_ns * 3 / 4, renewal_timeout_ns (session));
  if (session->op && deadline <= stepped_ns)
    deadline = session->op_sent_ns + renewal_timeout_ns (session);
  if (outage_platform_is_silent (session, stepped_ns))
    deadline = MIN (deadline, MIN (session->next_renew_to_peer_ns,
                                   session->next_outage_query_ns));
  return MIN (deadline, hub_next_tick_ns (session));
}
