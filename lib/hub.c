/* Hubs of a large fleet, and who is down.  */

#include "hub.h"

#include <string.h>

#include "session-state.h"

/* Up to this many members each has a link to each other.  At 24 that is 23
   links, about 100 small messages a second at an instance.  */
#define FULL_MESH 24
/* Members that start together are known after this time.  Before, the first
   ones of hundreds would get a link from each.  */
#define GROWING_NS (2500 * KWF_NS_PER_MS)
/* Processes that began less than this before have just begun; an incarnation
   is the wall clock in milliseconds.  */
#define NEW_MS 5000
/* Hubs of each data centre: two may be lost at once.  */
#define CENTRE_HUBS 3
/* The others are told who is down this often, and soon when it changes.  */
#define TELL_NS (1 * KWF_NS_PER_S)
/* Changes that come together are told together: at a start all members come
   up within a second.  */
#define TELL_LEAST_NS (200 * KWF_NS_PER_MS)
/* Without news for this long nobody is taken for down.  */
#define STALE_NS (3 * TELL_NS)

/* The members that are in the choice: those with a row and, as the first one,
   this instance.  */
typedef struct
{
  const char *instance;
  const char *data_centre;
  double cores;
  bool *hub;
} candidate_t;

static gint
compare (gconstpointer a, gconstpointer b)
{
  const candidate_t *first = a;
  const candidate_t *second = b;
  int centre = g_strcmp0 (first->data_centre, second->data_centre);
  if (centre)
    return centre;
  if (first->cores != second->cores)
    return first->cores < second->cores ? 1 : -1;
  return strcmp (first->instance, second->instance);
}

static GArray *
list_candidates (session_t *session)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (candidate_t));
  candidate_t own = { session->instance, session->data_centre, session->cores,
                      &session->hub };
  g_array_append_val (list, own);
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      candidate_t candidate = { member->instance, member->data_centre,
                                member->cores, &member->hub };
      member->hub = false;
      if (member->version && !member->expired)
        g_array_append_val (list, candidate);
    }
  return list;
}

/* Whether the fleet is starting, and may turn out to be large: all members
   that are known have just begun.  */
static bool
is_growing (const session_t *session)
{
  if (!session->push_updates || session->large
      || session_age_ns (session) > GROWING_NS)
    return false;
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (member->version
          && member->incarnation + NEW_MS < session->incarnation)
        return false;
    }
  return true;
}

void
hub_select (session_t *session)
{
  GArray *list = list_candidates (session);
  session->large = session->push_updates && list->len > FULL_MESH;
  g_array_sort (list, compare);
  const char *centre = NULL;
  int rank = 0;
  for (guint i = 0; i < list->len; i++)
    {
      const candidate_t *candidate = &g_array_index (list, candidate_t, i);
      rank = i && g_strcmp0 (centre, candidate->data_centre) == 0 ? rank + 1
                                                                  : 0;
      centre = candidate->data_centre;
      *candidate->hub = !session->large || rank < CENTRE_HUBS;
    }
  session->links_deferred |= is_growing (session);
  g_array_free (list, TRUE);
}

bool
hub_wants_link (const session_t *session, const member_t *member)
{
  return (session->hub || member->hub) && !is_growing (session);
}

bool
hub_is_live (const session_t *session, const char *instance, bool linked,
             bool hub)
{
  if (linked || session->hub || hub)
    return linked;
  return !session->unreachable_received_ns
         || kwf_now_ns (session->clock) - session->unreachable_received_ns
                > STALE_NS
         || !g_hash_table_contains (session->unreachable, instance);
}

void
hub_handle_unreachable (session_t *session,
                        const kwf_unreachable_t *unreachable)
{
  session->unreachable_received_ns = kwf_now_ns (session->clock);
  g_hash_table_remove_all (session->unreachable);
  for (size_t i = 0; i < unreachable->n_names; i++)
    g_hash_table_add (session->unreachable, g_strdup (unreachable->names[i]));
}

/* Members that callers should not use; names live as long as EFFECTS.  */
static const char **
list_down (const session_t *session, size_t *n, kwf_effects_t *effects)
{
  const char **names = kwf_effects_alloc (effects, (session->members->len + 1)
                                                       * sizeof *names);
  *n = 0;
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (member->version && (!member->linked || member->leaving))
        names[(*n)++] = kwf_effects_strdup (effects, member->instance);
    }
  return names;
}

/* Whether this hub tells MEMBER: one of its data centre, or of one that has
   no hub with a link to this one.  */
static bool
is_beside (const session_t *session, const member_t *member)
{
  if (g_strcmp0 (member->data_centre, session->data_centre) == 0)
    return true;
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *other = session->members->pdata[i];
      if (other->hub && other->linked
          && g_strcmp0 (other->data_centre, member->data_centre) == 0)
        return false;
    }
  return true;
}

void
hub_run (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (session->links_deferred && !is_growing (session))
    {
      session->links_deferred = false;
      member_open_links (session, effects);
    }
  if (!session->large || !session->hub
      || now_ns < session->next_unreachable_ns)
    return;
  session->last_unreachable_ns = now_ns;
  session->next_unreachable_ns = now_ns + TELL_NS;
  size_t n;
  const char **names = list_down (session, &n, effects);
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (member->hub || !member->linked || !is_beside (session, member))
        continue;
      session_send (member->instance, KWF_MSG_UNREACHABLE, effects)
          ->unreachable
          = (kwf_unreachable_t){ .names = names, .n_names = n };
    }
}

void
hub_send_unreachable_soon (session_t *session)
{
  session->next_unreachable_ns
      = MIN (session->next_unreachable_ns,
             session->last_unreachable_ns + TELL_LEAST_NS);
}

int64_t
hub_deadline_ns (const session_t *session)
{
  if (session->links_deferred)
    return session->began_ns + GROWING_NS + 1;
  return session->large && session->hub ? session->next_unreachable_ns
                                        : INT64_MAX;
}
