#include "fanout.h"

#include <glib.h>
#include <string.h>

/* Parts of the time within which a change must be in force (fresh_ms).  The
   store answers the reader's poll after 0.35 of it at the latest, also without
   a change (platform/feed.c).  If a relay hears nothing for longer, the
   message or the reader's path to the store is lost, and it polls itself.
   Leaves wait longer than relays, so that their relay notices the loss first.
   With fresh_ms = 2 s, at least half a second is left for the poll.  */
#define RELAY_MAX_AGE_PART 0.55
#define LEAF_MAX_AGE_PART 0.675

/* The links of a starting instance are up within this time.  */
#define LINKS_UP_NS (3 * KWF_NS_PER_S)

/* Whether MEMBER may be the reader or a relay.  A leaving instance will exit
   soon, and only a hub has all the links.  */
static bool
is_eligible (const session_t *session, const session_member_t *member)
{
  return member->hub && session_member_live (session, member)
         && !member->leaving;
}

/* The first eligible hub by name, in DATA_CENTRE or, if that is NULL, in the
   whole fleet.  Its name is empty if there is none.  */
static session_member_t
first_hub (const session_t *session, const char *data_centre)
{
  session_member_t first = { .instance = "" };
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    if (is_eligible (session, &member)
        && (!data_centre || g_strcmp0 (member.data_centre, data_centre) == 0)
        && (!*first.instance || strcmp (member.instance, first.instance) < 0))
      first = member;
  return first;
}

/* Copies this instance's member record, the first one, to SELF.  */
static bool
get_self (const session_t *session, session_member_t *self)
{
  size_t at = 0;
  return session_next_member (session, &at, self);
}

fanout_role_t
fanout_role (const session_t *session)
{
  session_member_t self;
  if (!get_self (session, &self))
    return FANOUT_READER;
  session_member_t first = first_hub (session, NULL);
  if (strcmp (first.instance, self.instance) == 0)
    return FANOUT_READER;
  /* Without any hub each instance polls for itself at long intervals.  */
  if (!*first.instance)
    return FANOUT_LEAF;
  first = first_hub (session, self.data_centre);
  return strcmp (first.instance, self.instance) == 0 ? FANOUT_RELAY
                                                     : FANOUT_LEAF;
}

/* Whether this instance has started so recently that nobody can have passed a
   change on to it.  Without this check, instances that start together would
   all act as the reader.  */
static bool
is_starting (const session_t *session)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  if (session_age_ns (session) > LINKS_UP_NS)
    return false;
  while (session_next_member (session, &at, &member))
    if (member.linked)
      return false;
  return true;
}

int64_t
fanout_role_max_age_ns (fanout_role_t role, int64_t fresh_ns)
{
  switch (role)
    {
    case FANOUT_READER:
      return 0;
    case FANOUT_RELAY:
      return (int64_t)((double)fresh_ns * RELAY_MAX_AGE_PART);
    case FANOUT_LEAF:
      break;
    }
  return (int64_t)((double)fresh_ns * LEAF_MAX_AGE_PART);
}

int64_t
fanout_max_age_ns (const session_t *session)
{
  fanout_role_t role = fanout_role (session);
  if (role == FANOUT_READER && is_starting (session))
    role = FANOUT_LEAF;
  return fanout_role_max_age_ns (role, session_fresh_ns (session));
}

const char *
fanout_own_relay (const session_t *session)
{
  session_member_t self;
  if (!get_self (session, &self))
    return "";
  session_member_t first = first_hub (session, self.data_centre);
  if (!*first.instance)
    first = first_hub (session, NULL);
  return strcmp (first.instance, self.instance) == 0 ? "" : first.instance;
}

void
fanout_other_relays (const session_t *session, kwf_instance_fn_t fn,
                     void *data)
{
  session_member_t self;
  if (!get_self (session, &self))
    return;
  GPtrArray *seen = g_ptr_array_new ();
  g_ptr_array_add (seen, (gpointer)self.data_centre);
  session_member_t member;
  size_t at = SESSION_OTHERS;
  /* The members are sorted by name, so that the first one of a data centre is
     its relay.  */
  while (session_next_member (session, &at, &member))
    if (is_eligible (session, &member)
        && !g_ptr_array_find_with_equal_func (seen, member.data_centre,
                                              g_str_equal, NULL))
      {
        g_ptr_array_add (seen, (gpointer)member.data_centre);
        fn (member.instance, data);
      }
  g_ptr_array_free (seen, TRUE);
}

void
fanout_local_members (const session_t *session, kwf_instance_fn_t fn,
                      void *data)
{
  session_member_t self;
  session_member_t member;
  size_t at = 0;
  if (!session_next_member (session, &at, &self))
    return;
  /* The reader also serves the instances of data centres that have no hub.  */
  bool is_reader = fanout_role (session) == FANOUT_READER;
  while (session_next_member (session, &at, &member))
    if (member.linked
        && (g_strcmp0 (member.data_centre, self.data_centre) == 0
            || (is_reader
                && !*first_hub (session, member.data_centre).instance)))
      fn (member.instance, data);
}

/* A leaf polls only if it was told nothing.  Its relay and the reader may lack
   what it has read.  */
static void
tell_upwards (const session_t *session, kwf_instance_fn_t fn, void *data)
{
  const char *relay = fanout_own_relay (session);
  session_member_t reader = first_hub (session, NULL);
  if (*relay)
    fn (relay, data);
  if (*reader.instance && strcmp (reader.instance, relay) != 0)
    fn (reader.instance, data);
}

void
fanout_feed_targets (const session_t *session, bool own, kwf_instance_fn_t fn,
                     void *data)
{
  fanout_role_t role = fanout_role (session);
  if (role == FANOUT_LEAF)
    {
      if (own)
        tell_upwards (session, fn, data);
      return;
    }
  fanout_local_members (session, fn, data);
  /* The reader passes changes on to the relays.  A relay that had to poll the
     store itself passes its result on to the reader.  */
  if (role == FANOUT_READER)
    fanout_other_relays (session, fn, data);
  else if (own)
    fn (first_hub (session, NULL).instance, data);
}

void
fanout_broadcast_targets (const session_t *session, kwf_instance_fn_t fn,
                          void *data)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  if (session_is_large (session))
    {
      fanout_other_relays (session, fn, data);
      if (fanout_role (session) != FANOUT_LEAF)
        fanout_local_members (session, fn, data);
      else
        fn (fanout_own_relay (session), data);
      return;
    }
  while (session_next_member (session, &at, &member))
    if (member.linked)
      fn (member.instance, data);
}

typedef struct
{
  const kwf_message_t *message;
  const char *except;
  kwf_effects_t *effects;
} decision_t;

static void
send_decision (const char *instance, void *data)
{
  const decision_t *decision = data;
  if (strcmp (instance, decision->except) != 0)
    *session_send (instance, decision->message->type, decision->effects)
        = *decision->message;
}

void
fanout_send_decision (const session_t *session, const kwf_message_t *message,
                      kwf_effects_t *effects)
{
  decision_t decision = { message, "", effects };
  fanout_broadcast_targets (session, send_decision, &decision);
}

void
fanout_forward_decision (const session_t *session, const char *from,
                         const kwf_message_t *message, kwf_effects_t *effects)
{
  decision_t decision = { message, from, effects };
  if (session_is_large (session) && fanout_role (session) != FANOUT_LEAF)
    fanout_local_members (session, send_decision, &decision);
}
