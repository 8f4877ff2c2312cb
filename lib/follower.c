#include "follower.h"

#include <glib.h>
#include <string.h>

/* The reader is told at least every 0.7 s that nothing is newer
   (platform/feed.c).  After 1.1 s it or its path is lost.  Those that are told
   through others wait for these to notice first.  Both leave half a second
   of the two in which a change must be in force.  */
#define PASSES_PATIENCE_NS (1100 * KWF_NS_PER_MS)
#define LISTENS_PATIENCE_NS (1350 * KWF_NS_PER_MS)

/* Whether MEMBER may read for others: one that leaves is gone soon.  */
static bool
may_read (const session_t *session, const session_member_t *member)
{
  return session_member_live (session, member) && !member->leaving;
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

follower_role_t
follower_role (const session_t *session)
{
  session_member_t self;
  if (!own_member (session, &self))
    return FOLLOWER_READS;
  session_member_t first = first_of (session, NULL);
  if (!*first.instance || strcmp (first.instance, self.instance) == 0)
    return FOLLOWER_READS;
  first = first_of (session, self.data_centre);
  return strcmp (first.instance, self.instance) == 0 ? FOLLOWER_PASSES
                                                     : FOLLOWER_LISTENS;
}

int64_t
follower_patience_ns (const session_t *session)
{
  switch (follower_role (session))
    {
    case FOLLOWER_READS:
      return 0;
    case FOLLOWER_PASSES:
      return PASSES_PATIENCE_NS;
    case FOLLOWER_LISTENS:
      break;
    }
  return LISTENS_PATIENCE_NS;
}

/* Whether MEMBER of another data centre is told: the reader tells the first of
   each, which are found in order of their names, and those tell the reader
   what they had to read themselves.  SEEN: data centres whose first was
   found.  */
static bool
is_told_across (const session_t *session, follower_role_t role, bool own,
                const session_member_t *member, const char *reader,
                GPtrArray *seen)
{
  if (role == FOLLOWER_PASSES)
    return own && strcmp (member->instance, reader) == 0;
  if (!may_read (session, member)
      || g_ptr_array_find_with_equal_func (seen, member->data_centre,
                                           g_str_equal, NULL))
    return false;
  g_ptr_array_add (seen, (gpointer)member->data_centre);
  return true;
}

void
follower_targets (const session_t *session, bool own, kwf_instance_fn_t fn,
                  void *data)
{
  session_member_t self;
  follower_role_t role = follower_role (session);
  if (role == FOLLOWER_LISTENS || !own_member (session, &self))
    return;
  session_member_t reader = first_of (session, NULL);
  GPtrArray *seen = g_ptr_array_new ();
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    {
      bool beside = g_strcmp0 (member.data_centre, self.data_centre) == 0;
      if (member.linked
          && (beside
              || is_told_across (session, role, own, &member, reader.instance,
                                 seen)))
        fn (member.instance, data);
    }
  g_ptr_array_free (seen, TRUE);
}
