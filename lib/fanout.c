#include "fanout.h"

#include <glib.h>
#include <string.h>

/* Parts of the time in which a change must be in force.  The reader is told
   after 0.35 of it that nothing is newer (platform/feed.c); later than this it
   or its path is lost.  Those that are told through others wait for these to
   notice first.  Of two seconds both leave half a second.  */
#define PASSES_PART 0.55
#define LISTENS_PART 0.675

/* Links are made within this time after a start.  */
#define START_NS (3 * KWF_NS_PER_S)

/* Whether MEMBER may read for others: one that leaves is gone soon, and only a
   hub has the links.  */
static bool
may_read (const session_t *session, const session_member_t *member)
{
  return member->hub && session_member_live (session, member)
         && !member->leaving;
}

/* The first member by name, of DATA_CENTRE or, with NULL, of all; an empty
   name: none.  */
static session_member_t
first_of (const session_t *session, const char *data_centre)
{
  session_member_t first = { .instance = "" };
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    if (may_read (session, &member)
        && (!data_centre || g_strcmp0 (member.data_centre, data_centre) == 0)
        && (!*first.instance || strcmp (member.instance, first.instance) < 0))
      first = member;
  return first;
}

static bool
own_member (const session_t *session, session_member_t *self)
{
  size_t at = 0;
  return session_next_member (session, &at, self);
}

fanout_role_t
fanout_role (const session_t *session)
{
  session_member_t self;
  if (!own_member (session, &self))
    return FANOUT_READER;
  session_member_t first = first_of (session, NULL);
  if (strcmp (first.instance, self.instance) == 0)
    return FANOUT_READER;
  /* No hub is there: each reads for itself, now and then.  */
  if (!*first.instance)
    return FANOUT_LEAF;
  first = first_of (session, self.data_centre);
  return strcmp (first.instance, self.instance) == 0 ? FANOUT_RELAY
                                                     : FANOUT_LEAF;
}

/* Whether this instance has just begun and nobody can have told it anything
   yet.  Instances that start together would each read for all.  */
static bool
is_starting (const session_t *session)
{
  session_member_t member;
  size_t at = SESSION_OTHERS;
  if (session_age_ns (session) > START_NS)
    return false;
  while (session_next_member (session, &at, &member))
    if (member.linked)
      return false;
  return true;
}

static int64_t
part_of (const session_t *session, double part)
{
  return (int64_t)((double)session_fresh_ns (session) * part);
}

int64_t
fanout_max_age_ns (const session_t *session)
{
  switch (fanout_role (session))
    {
    case FANOUT_READER:
      if (!is_starting (session))
        return 0;
      break;
    case FANOUT_RELAY:
      return part_of (session, PASSES_PART);
    case FANOUT_LEAF:
      break;
    }
  return part_of (session, LISTENS_PART);
}

const char *
fanout_own_relay (const session_t *session)
{
  session_member_t self;
  if (!own_member (session, &self))
    return "";
  session_member_t first = first_of (session, self.data_centre);
  if (!*first.instance)
    first = first_of (session, NULL);
  return strcmp (first.instance, self.instance) == 0 ? "" : first.instance;
}

void
fanout_other_relays (const session_t *session, kwf_instance_fn_t fn,
                     void *data)
{
  session_member_t self;
  if (!own_member (session, &self))
    return;
  GPtrArray *seen = g_ptr_array_new ();
  g_ptr_array_add (seen, (gpointer)self.data_centre);
  session_member_t member;
  size_t at = SESSION_OTHERS;
  /* Members come in the order of their names.  */
  while (session_next_member (session, &at, &member))
    if (may_read (session, &member)
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
  /* The first hub of all takes care of data centres without one.  */
  bool reads = fanout_role (session) == FANOUT_READER;
  while (session_next_member (session, &at, &member))
    if (member.linked
        && (g_strcmp0 (member.data_centre, self.data_centre) == 0
            || (reads && !*first_of (session, member.data_centre).instance)))
      fn (member.instance, data);
}

void
fanout_feed_targets (const session_t *session, bool own, kwf_instance_fn_t fn,
                     void *data)
{
  fanout_role_t role = fanout_role (session);
  if (role == FANOUT_LEAF)
    return;
  fanout_local_members (session, fn, data);
  /* The reader tells the first of each data centre, and these tell the reader
     what they had to read themselves.  */
  if (role == FANOUT_READER)
    fanout_other_relays (session, fn, data);
  else if (own)
    fn (first_of (session, NULL).instance, data);
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
