/* The members of the fleet, as known from their table rows and links.  */

#include <jansson.h>
#include <string.h>

#include "hub.h"
#include "op.h"
#include "session-state.h"

void
member_free (void *data)
{
  member_t *member = data;
  g_free (member->instance);
  g_free (member->caller_address);
  g_free (member->peer_address);
  g_free (member->data_centre);
  g_free (member->link_address);
  g_free (member);
}

member_t *
member_find (const session_t *session, const char *instance)
{
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      if (strcmp (member->instance, instance) == 0)
        return member;
    }
  return NULL;
}

static gint
compare_members (gconstpointer a, gconstpointer b)
{
  const member_t *first = *(member_t *const *)a;
  const member_t *second = *(member_t *const *)b;
  return strcmp (first->instance, second->instance);
}

member_t *
member_find_or_add (session_t *session, const char *instance)
{
  member_t *member = member_find (session, instance);
  if (member)
    return member;
  member = g_new0 (member_t, 1);
  member->instance = g_strdup (instance);
  member->vote_query_ns = INT64_MIN / 2;
  g_ptr_array_add (session->members, member);
  g_ptr_array_sort (session->members, compare_members);
  return member;
}

static void
replace_string (char **field, json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  g_free (*field);
  *field = g_strdup (text ? text : "");
}

static void
open_link (member_t *member, kwf_effects_t *effects)
{
  if (!*member->peer_address
      || g_strcmp0 (member->link_address, member->peer_address) == 0)
    return;
  g_free (member->link_address);
  member->link_address = g_strdup (member->peer_address);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_PEER_LINK);
  effect->link.instance = kwf_effects_strdup (effects, member->instance);
  effect->link.address = kwf_effects_strdup (effects, member->peer_address);
}

void
member_open_links (session_t *session, kwf_effects_t *effects)
{
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      if (member->version && hub_wants_link (session, member))
        open_link (member, effects);
    }
}

static void
remove_member (session_t *session, const char *instance,
               kwf_effects_t *effects)
{
  member_t *member = member_find (session, instance);
  if (!member)
    return;
  kwf_effects_log (effects, 106, KWF_LOG_INFO, NULL,
                   "member %s is no longer in the table", instance);
  if (member->link_address)
    {
      kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_PEER_UNLINK);
      effect->link.instance = kwf_effects_strdup (effects, instance);
    }
  g_ptr_array_remove (session->members, member);
}

static void
update_member (session_t *session, member_t *member, json_t *object,
               int64_t now_ns, kwf_effects_t *effects)
{
  uint64_t incarnation
      = (uint64_t)json_integer_value (json_object_get (object, "incarnation"));
  int64_t counter = json_integer_value (json_object_get (object, "counter"));
  bool is_new = incarnation != member->incarnation || !member->version;
  if (is_new)
    {
      member->incarnation = incarnation;
      member->incarnation_ns = now_ns;
      member->epoch_left = 0;
      /* At debug level in a large fleet, where each instance would log a line
         for each other one.  */
      kwf_effects_log (effects, 105,
                       session->large ? KWF_LOG_DEBUG : KWF_LOG_INFO, NULL,
                       "member %s joined with incarnation %" G_GUINT64_FORMAT,
                       member->instance, incarnation);
    }
  if (is_new || counter != member->counter)
    {
      member->counter = counter;
      member->changed_ns = now_ns;
      member->expired = false;
    }
  int64_t left = json_integer_value (json_object_get (object, "epoch_left"));
  member->epoch_left = MAX (member->epoch_left, left);
  member->load = json_integer_value (json_object_get (object, "load"));
  json_t *cores = json_object_get (object, "cores");
  member->cores = json_is_number (cores) ? json_number_value (cores) : 1;
  member->leaving = json_is_true (json_object_get (object, "leaving"));
  replace_string (&member->caller_address, object, "caller_address");
  replace_string (&member->peer_address, object, "peer_address");
  replace_string (&member->data_centre, object, "data_centre");
}

/* Handles this instance's own row.  A newer incarnation in it fences this
   process.  */
static void
handle_own_row (session_t *session, json_t *object, kwf_effects_t *effects)
{
  uint64_t incarnation
      = (uint64_t)json_integer_value (json_object_get (object, "incarnation"));
  if (incarnation <= session->incarnation || session->fenced)
    return;
  session->fenced = true;
  kwf_effects_log (effects, 104, KWF_LOG_ERROR, NULL,
                   "a newer incarnation of this instance is running; "
                   "incarnation %" G_GUINT64_FORMAT " stops acting",
                   session->incarnation);
}

void
member_apply_row (session_t *session, const kwf_row_t *row, int64_t now_ns,
                  kwf_effects_t *effects)
{
  const char *instance = row->key + strlen ("session/");
  bool own = strcmp (instance, session->instance) == 0;
  if (!row->value)
    {
      if (!own)
        remove_member (session, instance, effects);
      return;
    }
  json_t *object = json_loads (row->value, 0, NULL);
  if (!json_is_object (object))
    kwf_effects_log (effects, 107, KWF_LOG_WARNING, NULL,
                     "row %s is not a JSON object; ignored", row->key);
  else if (own)
    handle_own_row (session, object, effects);
  else
    {
      member_t *member = member_find_or_add (session, instance);
      update_member (session, member, object, now_ns, effects);
      member->version = row->version;
    }
  json_decref (object);
}

void
member_expire_leases (session_t *session, int64_t sent_ns,
                      kwf_effects_t *effects)
{
  int64_t limit = session->lease_ns + SESSION_MARGIN_NS;
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      if (!member->version || member->expired
          || sent_ns - member->changed_ns < limit)
        continue;
      member->expired = true;
      member->expired_ns = sent_ns;
      kwf_effects_log (effects, 108, KWF_LOG_WARNING, NULL,
                       "the lease of member %s has expired", member->instance);
    }
}

void
member_restart_leases (session_t *session, int64_t now_ns)
{
  for (guint i = 0; i < session->members->len; i++)
    {
      member_t *member = session->members->pdata[i];
      member->changed_ns = now_ns;
      member->incarnation_ns = now_ns;
      member->expired = false;
    }
}

void
member_remove_gone (session_t *session, int64_t now_ns, kwf_effects_t *effects)
{
  if (now_ns < session->next_remove_ns || !session_may_reclaim (session))
    return;
  session->next_remove_ns = now_ns + session->lease_ns;
  for (guint i = 0; i < session->members->len; i++)
    {
      const member_t *member = session->members->pdata[i];
      if (!member->expired || now_ns - member->expired_ns < SESSION_REMOVE_NS)
        continue;
      char *key = kwf_effects_printf (effects, "session/%s", member->instance);
      kwf_condition_t *condition
          = kwf_effects_alloc (effects, sizeof *condition);
      kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
      *condition = (kwf_condition_t){ key, member->version };
      *put = (kwf_put_t){ .key = key };
      session->remove_op = op_handle (OP_SESSION, ++session->next_op);
      kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
      effect->store.op = session->remove_op;
      effect->store.timeout_ns = session->renew_ns;
      effect->store.txn = (kwf_txn_t){ .conditions = condition,
                                       .n_conditions = 1,
                                       .puts = put,
                                       .n_puts = 1,
                                       .after = session->revision };
      return;
    }
}

bool
session_process_ended (const session_t *session, const char *instance,
                       uint64_t incarnation)
{
  if (strcmp (instance, session->instance) == 0)
    return incarnation < session->incarnation;
  const member_t *member = member_find (session, instance);
  if (!member || !member->version)
    return session->revision > 0;
  return member->incarnation > incarnation
         || (member->expired && member->refused_ns);
}

bool
session_lease_is_over (const session_t *session, const char *instance,
                       uint64_t incarnation, int64_t *version)
{
  *version = -1;
  if (strcmp (instance, session->instance) == 0)
    return incarnation < session->incarnation && session_may_reclaim (session)
           && session->stepped_ns - session->first_success_ns
                  >= session->lease_ns + SESSION_MARGIN_NS;
  const member_t *member = member_find (session, instance);
  if (!member || !member->version)
    {
      *version = 0;
      return session_may_reclaim (session);
    }
  if (member->incarnation > incarnation)
    return session->answered_ns - member->incarnation_ns
           >= session->lease_ns + SESSION_MARGIN_NS;
  *version = member->version;
  return member->expired;
}
