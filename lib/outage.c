/* The rule for an outage of the whole platform.

   A vote counts for one lease from the moment its question was sent.  The
   peer that answers "silent" does not reclaim or withdraw anything before
   that lease is over.  */

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

/* Until when the vote or the absence of MEMBER counts.  */
static int64_t
agrees_until (const session_t *session, const member_t *member)
{
  int64_t since = member->vote_ns;
  if (!member->linked && member->refused_ns)
    since = MAX (since, member->refused_ns);
  return since + session->lease_ns;
}

static int64_t
all_agree_until (const session_t *session)
{
  int64_t until = INT64_MAX;
  for (guint i = 0; i < session->members->len; i++)
    until = MIN (until, agrees_until (session, session->members->pdata[i]));
  return until;
}

bool
outage_vote_is_unanimous (const session_t *session, int64_t now_ns)
{
  return now_ns < all_agree_until (session);
}

void
outage_run (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (!outage_platform_is_silent (session, now_ns)
      || now_ns < session->next_round_ns)
    return;
  int64_t number = ++session->silent_number;
  session->silent_queries[number % SESSION_QUERIES]
      = (session_query_t){ number, now_ns };
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      if (!member->linked)
        continue;
      /* The state goes first on the same link: a vote then vouches for all
         that the voter knew.  */
      member->state_asked = true;
      session_send (member->instance, KWF_MSG_CONFIG_REQUEST, effects)
          ->config_after
          = session->revision;
      session_send (member->instance, KWF_MSG_OUTAGE_QUERY, effects)
          ->outage.number
          = number;
    }
  /* Members notice an outage up to one renewal period apart; asking often
     until all agree leaves no gap after the lease.  */
  bool settled
      = all_agree_until (session) - now_ns > session->lease_ns * 5 / 12;
  session->next_round_ns
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
                     const kwf_outage_t *silent, kwf_effects_t *effects)
{
  (void)effects;
  member_t *member = member_find (session, peer);
  if (!member || silent->number <= 0)
    return;
  const session_query_t *round
      = &session->silent_queries[silent->number % SESSION_QUERIES];
  if (round->number != silent->number)
    return;
  /* A vote counts for its lease also when a later answer differs: the voter
     keeps to it, and the time is needed to renew when the platform is back. */
  if (silent->silent)
    member->vote_ns = MAX (member->vote_ns, round->sent_ns);
  if (!silent->silent && !member->reaches_platform)
    session->next_peer_ns = 0;
  member->reaches_platform = !silent->silent;
}

void
outage_handle_config_request (session_t *session, const char *peer,
                              int64_t after, kwf_effects_t *effects)
{
  member_t *member = member_find (session, peer);
  bool ahead = member && session->ahead > MAX (after, session->revision)
               && session->ahead > member->command_revision_sent;
  if (session->revision <= after && !ahead)
    return;
  if (member)
    member->command_revision_sent = session->ahead;
  size_t count;
  const kwf_row_t *rows = rows_after (session->rows, after, effects, &count);
  session_send (peer, KWF_MSG_CONFIG_ROWS, effects)->config_rows
      = (kwf_config_rows_t){ .revision = session->revision,
                             .rows = rows,
                             .n_rows = count };
}
