#include "fleet-load.h"

#include <string.h>

#include "fanout.h"

/* Interval between messages: about the time in which a prompt is processed
   (some 50 ms), and short against a stream, which lasts a second.  */
#define SEND_PERIOD_NS (60 * KWF_NS_PER_MS)
/* Larger fleets use the longer interval, because each relay sends one message
   to each instance.  */
#define MANY_MEMBERS 16
#define SEND_PERIOD_MANY_NS (200 * KWF_NS_PER_MS)
/* Counts older than this are dropped.  */
#define MAX_AGE_NS (1 * KWF_NS_PER_S)

typedef struct
{
  int64_t open;
  int64_t unanswered;
} counts_t;

/* The last counts that one instance sent.  */
typedef struct
{
  kwf_load_scope_t scope;
  int64_t received_ns;
  GHashTable *servers_counts; /* server id -> counts_t */
} received_t;

struct fleet_load
{
  const kwf_clock_t *clock;
  GHashTable *received; /* instance -> received_t */
  GHashTable *sent;     /* own counts as last sent */
  int64_t next_ns;
};

static GHashTable *
new_servers_counts (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static void
received_free (void *data)
{
  received_t *received = data;
  g_hash_table_unref (received->servers_counts);
  g_free (received);
}

fleet_load_t *
fleet_load_new (const kwf_clock_t *clock)
{
  fleet_load_t *fleet_load = g_new0 (fleet_load_t, 1);
  fleet_load->clock = clock;
  fleet_load->received
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, received_free);
  fleet_load->sent = new_servers_counts ();
  return fleet_load;
}

void
fleet_load_free (fleet_load_t *fleet_load)
{
  if (!fleet_load)
    return;
  g_hash_table_unref (fleet_load->received);
  g_hash_table_unref (fleet_load->sent);
  g_free (fleet_load);
}

static void
add_counts (GHashTable *servers_counts, const char *server, int64_t open,
            int64_t unanswered)
{
  counts_t *counts = g_hash_table_lookup (servers_counts, server);
  if (!counts)
    {
      counts = g_new0 (counts_t, 1);
      g_hash_table_insert (servers_counts, g_strdup (server), counts);
    }
  counts->open += open;
  counts->unanswered += unanswered;
}

/* Adds SIGN times SERVERS_COUNTS to SUM.  */
static void
add_all_counts (GHashTable *sum, GHashTable *servers_counts, int sign)
{
  GHashTableIter iter;
  gpointer server;
  gpointer value;
  g_hash_table_iter_init (&iter, servers_counts);
  while (g_hash_table_iter_next (&iter, &server, &value))
    add_counts (sum, server, sign * ((counts_t *)value)->open,
                sign * ((counts_t *)value)->unanswered);
}

static void
handle_message (fleet_load_t *fleet_load, const char *instance,
                const kwf_server_loads_t *message, int64_t now_ns)
{
  received_t *received = g_new0 (received_t, 1);
  *received = (received_t){ .scope = message->scope,
                            .received_ns = now_ns,
                            .servers_counts = new_servers_counts () };
  for (size_t i = 0; i < message->n_loads; i++)
    add_counts (received->servers_counts, message->loads[i].server,
                message->loads[i].open, message->loads[i].reading);
  g_hash_table_replace (fleet_load->received, g_strdup (instance), received);
}

static void
drop_outdated (fleet_load_t *fleet_load, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet_load->received);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ns - ((received_t *)value)->received_ns > MAX_AGE_NS)
      g_hash_table_iter_remove (&iter);
}

/* Adds to SUM what other instances sent with SCOPE.  */
static void
add_received (const fleet_load_t *fleet_load, kwf_load_scope_t scope,
              GHashTable *sum)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet_load->received);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const received_t *received = value;
      if (received->scope == scope)
        add_all_counts (sum, received->servers_counts, 1);
    }
}

static GHashTable *
count_own (const backend_t *backend)
{
  GHashTable *servers_counts = new_servers_counts ();
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      const server_t *server = servers->pdata[i];
      if (server->open_attempts)
        add_counts (servers_counts, server->id, server->open_attempts,
                    server->unanswered);
    }
  return servers_counts;
}

typedef struct
{
  GHashTable *servers_counts;
  kwf_load_scope_t scope;
  kwf_effects_t *effects;
} sending_t;

static void
send_counts (const char *instance, void *data)
{
  const sending_t *sending = data;
  kwf_effects_t *effects = sending->effects;
  size_t n = g_hash_table_size (sending->servers_counts);
  kwf_server_load_t *list
      = kwf_effects_alloc (effects, (n + 1) * sizeof *list);
  GHashTableIter iter;
  gpointer server;
  gpointer value;
  size_t at = 0;
  g_hash_table_iter_init (&iter, sending->servers_counts);
  while (g_hash_table_iter_next (&iter, &server, &value))
    {
      const counts_t *counts = value;
      list[at++] = (kwf_server_load_t){ kwf_effects_strdup (effects, server),
                                        counts->open, counts->unanswered };
    }
  session_send (instance, KWF_MSG_SERVER_LOADS, effects)->loads
      = (kwf_server_loads_t){ .scope = sending->scope,
                              .loads = list,
                              .n_loads = n };
}

/* Stores the counts of the other instances at the servers.  KNOWN: some
   instance has sent counts.  */
static void
set_server_counts (const backend_t *backend, GHashTable *others, bool known)
{
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      const counts_t *counts = g_hash_table_lookup (others, server->id);
      server->others_known = known;
      server->others_open = counts ? (int)MAX (counts->open, 0) : 0;
      server->others_unanswered
          = counts ? (int)MAX (counts->unanswered, 0) : 0;
    }
}

static bool
has_received (const fleet_load_t *fleet_load, kwf_load_scope_t scope)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet_load->received);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((received_t *)value)->scope == scope)
      return true;
  return false;
}

/* The reader or a relay: adds up the counts and sends the sums.  */
static void
run_relay (const fleet_load_t *fleet_load, const session_t *session,
           const backend_t *backend, kwf_effects_t *effects)
{
  GHashTable *own = count_own (backend);
  GHashTable *centre = new_servers_counts ();
  add_received (fleet_load, KWF_LOAD_SCOPE_OWN, centre);
  GHashTable *fleet = new_servers_counts ();
  add_received (fleet_load, KWF_LOAD_SCOPE_OWN, fleet);
  add_received (fleet_load, KWF_LOAD_SCOPE_CENTRE, fleet);
  set_server_counts (backend, fleet, true);
  add_all_counts (centre, own, 1);
  add_all_counts (fleet, own, 1);
  sending_t sending = { .servers_counts = centre,
                        .scope = KWF_LOAD_SCOPE_CENTRE,
                        .effects = effects };
  fanout_other_relays (session, send_counts, &sending);
  sending.servers_counts = fleet;
  sending.scope = KWF_LOAD_SCOPE_FLEET;
  fanout_local_members (session, send_counts, &sending);
  g_hash_table_unref (own);
  g_hash_table_unref (centre);
  g_hash_table_unref (fleet);
}

static void
run_leaf (fleet_load_t *fleet_load, const session_t *session,
          const backend_t *backend, kwf_effects_t *effects)
{
  GHashTable *others = new_servers_counts ();
  add_received (fleet_load, KWF_LOAD_SCOPE_FLEET, others);
  /* The fleet's sums include the counts that this instance sent, so these are
     subtracted.  */
  add_all_counts (others, fleet_load->sent, -1);
  set_server_counts (backend, others,
                     has_received (fleet_load, KWF_LOAD_SCOPE_FLEET));
  g_hash_table_unref (others);
  g_hash_table_unref (fleet_load->sent);
  fleet_load->sent = count_own (backend);
  sending_t sending = { .servers_counts = fleet_load->sent,
                        .scope = KWF_LOAD_SCOPE_OWN,
                        .effects = effects };
  const char *first = fanout_own_relay (session);
  if (*first)
    send_counts (first, &sending);
}

static int64_t
period_ns (const session_t *session)
{
  session_member_t member;
  size_t at = 0;
  int n = 0;
  while (session_next_member (session, &at, &member))
    n++;
  return n > MANY_MEMBERS ? SEND_PERIOD_MANY_NS : SEND_PERIOD_NS;
}

void
fleet_load_step (fleet_load_t *fleet_load, const session_t *session,
                 const backend_t *backend, const kwf_event_t *event,
                 kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (fleet_load->clock);
  if (event->type == KWF_EV_PEER_MESSAGE
      && event->peer.message->type == KWF_MSG_SERVER_LOADS)
    handle_message (fleet_load, event->peer.instance,
                    &event->peer.message->loads, now_ns);
  if (now_ns < fleet_load->next_ns)
    return;
  fleet_load->next_ns = now_ns + period_ns (session);
  drop_outdated (fleet_load, now_ns);
  if (fanout_role (session) == FANOUT_LEAF)
    run_leaf (fleet_load, session, backend, effects);
  else
    run_relay (fleet_load, session, backend, effects);
}

int64_t
fleet_load_next_tick_ns (const fleet_load_t *fleet_load)
{
  return fleet_load->next_ns;
}
