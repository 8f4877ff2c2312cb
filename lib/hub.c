/* Chooses the hubs of a large fleet and distributes the list of unreachable
   members.  */

#include "hub.h"

#include <string.h>

#include "session-state.h"

/* In a fleet of up to this many members every instance is a hub.  At 24
   members an instance has 23 links and gets about 100 small messages a
   second.  */
#define FULL_MESH_MAX 24
/* Members that start together know each other after this time.  Links opened
   sooner would go to the instances that happened to be known first, from each
   of hundreds of others.  */
#define STARTUP_NS (2500 * KWF_NS_PER_MS)
/* A process that began less than this long before this one counts as just
   started.  An incarnation is the wall clock at its start, in
   milliseconds.  */
#define JUST_STARTED_MS 5000
/* Hubs in each data centre.  Two may fail at the same time.  */
#define HUBS_PER_CENTRE 3
/* Interval at which hubs send the list of unreachable members.  */
#define SEND_PERIOD_NS (1 * KWF_NS_PER_S)
/* Least interval between two such lists.  Changes within it go into one list:
   when a fleet starts, all members come up within a second.  */
#define SEND_MIN_GAP_NS (200 * KWF_NS_PER_MS)
/* A list older than this is not used; every member then counts as
   reachable.  */
#define MAX_AGE_NS (3 * SEND_PERIOD_NS)

/* A member that may become a hub: this instance, or one that has a row.  */
typedef struct
{
  const char *instance;
  const char *data_centre;
  double cores;
  int64_t epoch_left;
  bool *hub;
} candidate_t;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
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
                      session->epoch_left, &session->hub };
  g_array_append_val (list, own);
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      candidate_t candidate
          = { member->instance, member->data_centre, member->cores,
              member->epoch_left, &member->hub };
      member->hub = false;
      if (member->version && !member->expired)
        g_array_append_val (list, candidate);
    }
  return list;
}

bool
hub_is_starting (const session_t *session)
{
  if (!session->push_updates || session->large
      || session_age_ns (session) > STARTUP_NS)
    return false;
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (member->version
          && member->incarnation + JUST_STARTED_MS < session->incarnation)
        return false;
    }
  return true;
}

void
hub_select (session_t *session)
{
  GArray *list = list_candidates (session);
  session->large = session->push_updates && list->len > FULL_MESH_MAX;
  g_array_sort (list, compare_candidates);
  const char *centre = NULL;
  int rank = 0;
  for (guint i = 0; i < list->len; i++)
    {
      const candidate_t *candidate = &g_array_index (list, candidate_t, i);
      if (!i || g_strcmp0 (centre, candidate->data_centre) != 0)
        rank = 0;
      centre = candidate->data_centre;
      /* A process that gave up its shares will exit soon.  */
      bool stays = candidate->epoch_left < SESSION_LEFT_ALL_EPOCHS;
      *candidate->hub = !session->large || (stays && rank < HUBS_PER_CENTRE);
      rank += stays;
    }
  session->links_deferred |= hub_is_starting (session);
  g_array_free (list, TRUE);
}

bool
hub_wants_link (const session_t *session, const member_t *member)
{
  return (session->hub || member->hub) && !hub_is_starting (session);
}

bool
hub_is_live (const session_t *session, const char *instance, bool linked,
             bool hub)
{
  if (linked || session->hub || hub)
    return linked;
  return !session->unreachable_received_ns
         || kwf_now_ns (session->clock) - session->unreachable_received_ns
                > MAX_AGE_NS
         || !g_hash_table_contains (session->unreachable, instance);
}

bool
hub_has_reached (const session_t *session, const char *instance, bool linked,
                 bool hub)
{
  if (linked || session->hub || hub)
    return linked;
  return session->unreachable_received_ns
         && kwf_now_ns (session->clock) - session->unreachable_received_ns
                <= session->contact_ns
         && !g_hash_table_contains (session->unreachable, instance);
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

/* Names of the members that callers should not use.  They live as long as
   EFFECTS.  */
static const char **
list_unreachable (const session_t *session, size_t *n, kwf_effects_t *effects)
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

/* Whether this hub sends its list to MEMBER: MEMBER is in the same data
   centre, or no hub of MEMBER's data centre is linked to this one.  */
static bool
sends_to (const session_t *session, const member_t *member)
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
  if (session->links_deferred && !hub_is_starting (session))
    {
      session->links_deferred = false;
      member_open_links (session, effects);
    }
  if (!session->large || !session->hub
      || now_ns < session->next_unreachable_ns)
    return;
  session->last_unreachable_ns = now_ns;
  session->next_unreachable_ns = now_ns + SEND_PERIOD_NS;
  size_t n;
  const char **names = list_unreachable (session, &n, effects);
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (member->hub || !member->linked || !sends_to (session, member))
        continue;
      session_send (member->instance, KWF_MSG_UNREACHABLE, effects)
          ->unreachable
          = (kwf_unreachable_t){ .names = names, .n_names = n };
    }
}

void
hub_schedule_unreachable_list (session_t *session)
{
  session->next_unreachable_ns
      = MIN (session->next_unreachable_ns,
             session->last_unreachable_ns + SEND_MIN_GAP_NS);
}

int64_t
hub_next_tick_ns (const session_t *session)
{
  if (session->links_deferred)
    return session->began_ns + STARTUP_NS + 1;
  return session->large && session->hub ? session->next_unreachable_ns
                                        : INT64_MAX;
}
