/* The rule for an outage of the whole platform: instances go on without valid
   leases while every member confirms that the platform does not answer.

   A vote counts for one lease from the time when its query was sent.  A member
   that votes "silent" reclaims and withdraws nothing before that lease is
   over.  */

#include "session-state.h"

bool
outage_platform_is_silent (const session_t *session, int64_t now_ns)
{
  if (session->fenced)
    return false;
  return session->failures
         || (session->op
             && now_ns - session->op_sent_ns >= session->renew_ns * 3 / 4);
}

/* Time until which the vote of MEMBER counts, or its absence: an address that
   refused the connection counts as a vote.  */
static int64_t
vote_valid_until_ns (const session_t *session, const member_t *member)
{
  int64_t since = member->vote_query_ns;
  if (!member->linked && member->refused_ns)
    since = MAX (since, member->refused_ns);
  return since + session->lease_ns;
}

static int64_t
unanimous_until_ns (const session_t *session)
{
  int64_t until = INT64_MAX;
  for (guint i = 0; i < session->members->len; i++)
    until = MIN (until,
                 vote_valid_until_ns (session, session->members->pdata[i]));
  return until;
}

bool
outage_vote_is_unanimous (const session_t *session, int64_t now_ns)
{
  return now_ns < unanimous_until_ns (session);
}

void
outage_run (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (!outage_platform_is_silent (session, now_ns)
      || now_ns < session->next_outage_query_ns)
    return;
  int64_t number = ++session->query_number;
  session->silent_queries[number % SESSION_QUERIES]
      = (session_query_t){ number, now_ns };
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      if (!member->linked)
        continue;
      /* The rows are requested first, on the same link.  The vote that follows
         then covers every row that the voter knew.  */
      member->rows_requested = true;
      session_send (member->instance, KWF_MSG_STATE_REQUEST, effects)
          ->state_after
          = session->revision;
      session_send (member->instance, KWF_MSG_OUTAGE_QUERY, effects)
          ->outage.number
          = number;
    }
  /* Members notice an outage up to one renewal period apart.  Frequent queries
     until all agree leave no gap after the lease.  */
  bool settled
      = unanimous_until_ns (session) - now_ns > session->lease_ns * 5 / 12;
  session->next_outage_query_ns
      = now_ns + (settled ? session->renew_ns : session->renew_ns / 8);
}

void
outage_handle_query (session_t *session, const char *peer, int64_t number,
                     int64_t now_ns, kwf_effects_t *effects)
{
  bool silent
      = outage_platform_is_silent (session, now_ns) && !session->write_pending;
  if (silent)
    session->first_success_ns = 0;
  session_send (peer, KWF_MSG_OUTAGE_REPLY, effects)->outage
      = (kwf_outage_t){ .number = number, .silent = silent };
}

void
outage_handle_reply (session_t *session, const char *peer,
                     const kwf_outage_t *reply, kwf_effects_t *effects)
{
  (void)effects;
  member_t *member = member_find (session, peer);
  if (!member || reply->number <= 0)
    return;
  const session_query_t *query
      = &session->silent_queries[reply->number % SESSION_QUERIES];
  if (query->number != reply->number)
    return;
  /* A vote counts for its whole lease, even if a later answer differs: the
     voter is bound by it, and this instance needs that time to renew when the
     platform is back.  */
  if (reply->silent)
    member->vote_query_ns = MAX (member->vote_query_ns, query->sent_ns);
  if (!reply->silent && !member->replied_not_silent)
    session->next_renew_to_peer_ns = 0;
  member->replied_not_silent = !reply->silent;
}

void
outage_handle_state_request (session_t *session, const char *peer,
                             int64_t after, kwf_effects_t *effects)
{
  member_t *member = member_find (session, peer);
  bool has_command_rows
      = member && session->command_revision > MAX (after, session->revision)
        && session->command_revision > member->command_revision_sent;
  if (session->revision <= after && !has_command_rows)
    return;
  if (member)
    member->command_revision_sent = session->command_revision;
  size_t count;
  const kwf_row_t *rows = rows_after (session->rows, after, effects, &count);
  session_send (peer, KWF_MSG_STATE_ROWS, effects)->state_rows
      = (kwf_state_rows_t){ .revision = session->revision,
                            .rows = rows,
                            .n_rows = count };
}
