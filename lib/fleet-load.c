#include "fleet-load.h"

#include <string.h>

#include "fanout.h"

/* Loads are told this often: a prompt is read for some 50 ms and a stream
   lasts a second.  */
#define TELL_NS (60 * KWF_NS_PER_MS)
/* In fleets of more members than this, less often: the first instances send
   one message to each.  */
#define MANY_MEMBERS 16
#define TELL_MANY_NS (200 * KWF_NS_PER_MS)
/* Without news for this long the parts of others are not known.  */
#define STALE_NS (1 * KWF_NS_PER_S)

typedef struct
{
  int64_t open;
  int64_t reading;
} part_t;

/* What one instance told.  */
typedef struct
{
  kwf_load_scope_t scope;
  int64_t taken_ns;
  GHashTable *parts; /* id of a server to part_t */
} told_t;

struct loads
{
  const kwf_clock_t *clock;
  GHashTable *told;  /* instance to told_t */
  GHashTable *given; /* own parts when they were told last */
  int64_t next_ns;
};

static GHashTable *
new_parts (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
told_free (void *data)
{
  told_t *told = data;
  g_hash_table_unref (told->parts);
  g_free (told);
}

fleet_load_t *
fleet_load_new (const kwf_clock_t *clock)
{
  fleet_load_t *loads = g_new0 (fleet_load_t, 1);
  loads->clock = clock;
  loads->told
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, told_free);
  loads->given = new_parts ();
  return loads;
}

void
fleet_load_free (fleet_load_t *loads)
{
  if (!loads)
    return;
  g_hash_table_unref (loads->told);
  g_hash_table_unref (loads->given);
  g_free (loads);
}

static void
add_part (GHashTable *parts, const char *server, int64_t open, int64_t reading)
{
  part_t *part = g_hash_table_lookup (parts, server);
  if (!part)
    {
      part = g_new0 (part_t, 1);
      g_hash_table_insert (parts, g_strdup (server), part);
    }
  part->open += open;
  part->reading += reading;
}

/* Add SIGN times PARTS to SUM.  */
static void
add_parts (GHashTable *sum, GHashTable *parts, int sign)
{
  GHashTableIter iter;
  gpointer server;
  gpointer value;
  g_hash_table_iter_init (&iter, parts);
  while (g_hash_table_iter_next (&iter, &server, &value))
    add_part (sum, server, sign * ((part_t *)value)->open,
              sign * ((part_t *)value)->reading);
}

static void
take_message (fleet_load_t *loads, const char *instance,
              const kwf_server_loads_t *message, int64_t now_ns)
{
  told_t *told = g_new0 (told_t, 1);
  *told = (told_t){ .scope = message->scope,
                    .taken_ns = now_ns,
                    .parts = new_parts () };
  for (size_t i = 0; i < message->n_loads; i++)
    add_part (told->parts, message->loads[i].server, message->loads[i].open,
              message->loads[i].reading);
  g_hash_table_replace (loads->told, g_strdup (instance), told);
}

static void
drop_stale (fleet_load_t *loads, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, loads->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ns - ((told_t *)value)->taken_ns > STALE_NS)
      g_hash_table_iter_remove (&iter);
}

/* Sum of what others told in SCOPE.  */
static void
add_told (const fleet_load_t *loads, kwf_load_scope_t scope, GHashTable *sum)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, loads->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const told_t *told = value;
      if (told->scope == scope)
        add_parts (sum, told->parts, 1);
    }
}

static GHashTable *
own_parts (const backend_t *backend)
{
  GHashTable *parts = new_parts ();
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = servers->pdata[i];
      if (server->open_attempts)
        add_part (parts, server->id, server->open_attempts,
                  server->unanswered);
    }
  return parts;
}

typedef struct
{
  GHashTable *parts;
  kwf_load_scope_t scope;
  kwf_effects_t *effects;
} telling_t;

static void
tell (const char *instance, void *data)
{
  const telling_t *telling = data;
  kwf_effects_t *effects = telling->effects;
  size_t n = g_hash_table_size (telling->parts);
  kwf_server_load_t *list
      = kwf_effects_alloc (effects, (n + 1) * sizeof *list);
  GHashTableIter iter;
  gpointer server;
  gpointer value;
  size_t at = 0;
  g_hash_table_iter_init (&iter, telling->parts);
  while (g_hash_table_iter_next (&iter, &server, &value))
    {
      const part_t *part = value;
      list[at++] = (kwf_server_load_t){ kwf_effects_strdup (effects, server),
                                        part->open, part->reading };
    }
  session_send (instance, KWF_MSG_SERVER_LOADS, effects)->loads
      = (kwf_server_loads_t){ .scope = telling->scope,
                              .loads = list,
                              .n_loads = n };
}

/* Note the parts of OTHERS at their servers.  */
static void
give_servers (const backend_t *backend, GHashTable *others, bool known)
{
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      const part_t *part = g_hash_table_lookup (others, server->id);
      server->others_known = known;
      server->others_open = part ? (int)MAX (part->open, 0) : 0;
      server->others_unanswered = part ? (int)MAX (part->reading, 0) : 0;
    }
}

static bool
has_told (const fleet_load_t *loads, kwf_load_scope_t scope)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, loads->told);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((told_t *)value)->scope == scope)
      return true;
  return false;
}

/* The first instance of a data centre.  */
static void
lead (const fleet_load_t *loads, const session_t *session,
      const backend_t *backend, kwf_effects_t *effects)
{
  GHashTable *own = own_parts (backend);
  GHashTable *centre = new_parts ();
  add_told (loads, KWF_LOAD_SCOPE_OWN, centre);
  GHashTable *fleet = new_parts ();
  add_told (loads, KWF_LOAD_SCOPE_OWN, fleet);
  add_told (loads, KWF_LOAD_SCOPE_CENTRE, fleet);
  give_servers (backend, fleet, true);
  add_parts (centre, own, 1);
  add_parts (fleet, own, 1);
  telling_t telling = { .parts = centre,
                        .scope = KWF_LOAD_SCOPE_CENTRE,
                        .effects = effects };
  fanout_other_relays (session, tell, &telling);
  telling.parts = fleet;
  telling.scope = KWF_LOAD_SCOPE_FLEET;
  fanout_local_members (session, tell, &telling);
  g_hash_table_unref (own);
  g_hash_table_unref (centre);
  g_hash_table_unref (fleet);
}

static void
follow (fleet_load_t *loads, const session_t *session,
        const backend_t *backend, kwf_effects_t *effects)
{
  GHashTable *others = new_parts ();
  add_told (loads, KWF_LOAD_SCOPE_FLEET, others);
  /* What was told contains what was told from here.  */
  add_parts (others, loads->given, -1);
  give_servers (backend, others, has_told (loads, KWF_LOAD_SCOPE_FLEET));
  g_hash_table_unref (others);
  g_hash_table_unref (loads->given);
  loads->given = own_parts (backend);
  telling_t telling = { .parts = loads->given,
                        .scope = KWF_LOAD_SCOPE_OWN,
                        .effects = effects };
  const char *first = fanout_own_relay (session);
  if (*first)
    tell (first, &telling);
}

static int64_t
period_ns (const session_t *session)
{
  session_member_t member;
  size_t at = 0;
  int n = 0;
  while (session_next_member (session, &at, &member))
    n++;
  return n > MANY_MEMBERS ? TELL_MANY_NS : TELL_NS;
}

void
fleet_load_step (fleet_load_t *loads, const session_t *session,
                 const backend_t *backend, const kwf_event_t *event,
                 kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (loads->clock);
  if (event->type == KWF_EV_PEER_MESSAGE
      && event->peer.message->type == KWF_MSG_SERVER_LOADS)
    take_message (loads, event->peer.instance, &event->peer.message->loads,
                  now_ns);
  if (now_ns < loads->next_ns)
    return;
  loads->next_ns = now_ns + period_ns (session);
  drop_stale (loads, now_ns);
  if (fanout_role (session) == FANOUT_LEAF)
    follow (loads, session, backend, effects);
  else
    lead (loads, session, backend, effects);
}

int64_t
fleet_load_deadline_ns (const fleet_load_t *loads)
{
  return loads->next_ns;
}
