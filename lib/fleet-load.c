#include "fleet-load.h"

#include <string.h>

#include "balance/load-entry.h"
#include "balance/contention.h"
#include "balance/pace.h"
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
/* The speeds of the servers change slowly: every so many messages has them. */
#define SPEED_MESSAGES 8
/* Less is not worth an entry.  */
#define SPEED_WEIGHT_MIN 0.5

/* The last counts that one instance sent.  */
typedef struct
{
  kwf_load_scope_t scope;
  int64_t received_ns;
  GHashTable *servers_counts; /* server id -> load_counts_t */
} received_t;

struct fleet_load
{
  const kwf_clock_t *clock;
  GHashTable *received;    /* instance -> received_t */
  GHashTable *sent;        /* own counts as last sent */
  GHashTable *sent_speeds; /* own speeds as last sent */
  int64_t next_ns;
  unsigned n_periods;
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
  fleet_load->sent_speeds = new_servers_counts ();
  return fleet_load;
}

void
fleet_load_free (fleet_load_t *fleet_load)
{
  if (!fleet_load)
    return;
  g_hash_table_unref (fleet_load->received);
  g_hash_table_unref (fleet_load->sent);
  g_hash_table_unref (fleet_load->sent_speeds);
  g_free (fleet_load);
}

static void
add_counts (GHashTable *servers_counts, const char *server,
            const load_counts_t *part, int sign)
{
  load_counts_t *counts = g_hash_table_lookup (servers_counts, server);
  if (!counts)
    {
      counts = g_new0 (load_counts_t, 1);
      g_hash_table_insert (servers_counts, g_strdup (server), counts);
    }
  load_counts_add (counts, part, sign);
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
    add_counts (sum, server, value, sign);
}

/* Adds only the speeds of SERVERS_COUNTS to SUM.  */
static void
add_all_speeds (GHashTable *sum, GHashTable *servers_counts)
{
  GHashTableIter iter;
  gpointer server;
  gpointer value;
  g_hash_table_iter_init (&iter, servers_counts);
  while (g_hash_table_iter_next (&iter, &server, &value))
    {
      const load_counts_t *counts = value;
      load_counts_t speed = { .speed_sum = counts->speed_sum,
                              .speed_weight = counts->speed_weight };
      if (counts->speed_weight > 0)
        add_counts (sum, server, &speed, 1);
    }
}

/* A message without speeds leaves those of INSTANCE as they were.  */
static void
handle_message (fleet_load_t *fleet_load, const char *instance,
                const kwf_server_loads_t *message, int64_t now_ns)
{
  received_t *received = g_new0 (received_t, 1);
  *received = (received_t){ .scope = message->scope,
                            .received_ns = now_ns,
                            .servers_counts = new_servers_counts () };
  bool has_speeds = false;
  for (size_t i = 0; i < message->n_loads; i++)
    {
      load_counts_t counts;
      char *server = load_entry_read (&message->loads[i], &counts, now_ns);
      add_counts (received->servers_counts, server, &counts, 1);
      has_speeds |= counts.speed_weight > 0;
      g_free (server);
    }
  const received_t *last
      = g_hash_table_lookup (fleet_load->received, instance);
  if (!has_speeds && last && last->scope == received->scope)
    add_all_speeds (received->servers_counts, last->servers_counts);
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

static load_counts_t
own_counts (server_t *server, int64_t now_ns)
{
  speed_decay (&server->speed, now_ns);
  load_counts_t counts
      = { .open = server->open_attempts, .unanswered = server->unanswered };
  if (server_is_measured (server))
    counts.reading_tokens = server->reading_tokens;
  if (server_reports_pace (server) && !server->pace_heard
      && now_ns - server->pace_ns < LOAD_PACE_AGE_NS)
    {
      counts.pace = server->pace;
      counts.pace_ns = server->pace_ns;
    }
  if (server->speed.weight >= SPEED_WEIGHT_MIN)
    {
      counts.speed_sum = server->speed.sum;
      counts.speed_weight = server->speed.weight;
    }
  return counts;
}

static GHashTable *
count_own (const backend_t *backend, int64_t now_ns)
{
  GHashTable *servers_counts = new_servers_counts ();
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      load_counts_t counts = own_counts (server, now_ns);
      if (counts.open || counts.pace || counts.speed_weight > 0)
        add_counts (servers_counts, server->id, &counts, 1);
    }
  return servers_counts;
}

typedef struct
{
  GHashTable *servers_counts;
  kwf_load_scope_t scope;
  bool with_speed;
  int64_t now_ns;
  kwf_effects_t *effects;
} sending_t;

static void
send_counts (const char *instance, void *data)
{
  const sending_t *sending = data;
  kwf_effects_t *effects = sending->effects;
  size_t n = g_hash_table_size (sending->servers_counts);
  kwf_server_load_t *list
      = kwf_effects_alloc (effects, (n * LOAD_ENTRIES_MAX + 1) * sizeof *list);
  GHashTableIter iter;
  gpointer server;
  gpointer value;
  size_t at = 0;
  g_hash_table_iter_init (&iter, sending->servers_counts);
  while (g_hash_table_iter_next (&iter, &server, &value))
    at += load_entry_put (list + at, server, value, sending->with_speed,
                          sending->now_ns, effects);
  session_send (instance, KWF_MSG_SERVER_LOADS, effects)->loads
      = (kwf_server_loads_t){ .scope = sending->scope,
                              .loads = list,
                              .n_loads = at };
}

static void
set_counts (server_t *server, const load_counts_t *counts, int64_t now_ns)
{
  server->others_open = (int)MAX (counts->open, 0);
  server->others_unanswered = (int)MAX (counts->unanswered, 0);
  server->others_reading_tokens = MAX (counts->reading_tokens, 0);
  bool measured = counts->speed_weight > 0 && counts->speed_sum > 0;
  server->others_speed = (speed_t){
    .sum = measured ? counts->speed_sum : 0,
    .weight = measured ? counts->speed_weight : 0,
    .decayed_ns = now_ns,
  };
  if (counts->pace)
    pace_set_heard (server, counts->pace, counts->pace_ns);
}

/* Stores the counts of the other instances at the servers.  KNOWN: some
   instance has sent counts.  */
static void
set_server_counts (const backend_t *backend, GHashTable *others, bool known,
                   int64_t now_ns)
{
  static const load_counts_t none;
  const GPtrArray *servers = backend_servers (backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      const load_counts_t *counts = g_hash_table_lookup (others, server->id);
      server->others_known = known;
      set_counts (server, counts ? counts : &none, now_ns);
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
           const backend_t *backend, sending_t *sending)
{
  GHashTable *own = count_own (backend, sending->now_ns);
  GHashTable *centre = new_servers_counts ();
  add_received (fleet_load, KWF_LOAD_SCOPE_OWN, centre);
  GHashTable *fleet = new_servers_counts ();
  add_received (fleet_load, KWF_LOAD_SCOPE_OWN, fleet);
  add_received (fleet_load, KWF_LOAD_SCOPE_CENTRE, fleet);
  set_server_counts (backend, fleet, true, sending->now_ns);
  add_all_counts (centre, own, 1);
  add_all_counts (fleet, own, 1);
  sending->servers_counts = centre;
  sending->scope = KWF_LOAD_SCOPE_CENTRE;
  fanout_other_relays (session, send_counts, sending);
  sending->servers_counts = fleet;
  sending->scope = KWF_LOAD_SCOPE_FLEET;
  fanout_local_members (session, send_counts, sending);
  g_hash_table_unref (own);
  g_hash_table_unref (centre);
  g_hash_table_unref (fleet);
}

/* Keeps OWN for the subtraction from the fleet's sums, which include the
   speeds that were last sent and not those of now.  */
static void
keep_sent (fleet_load_t *fleet_load, GHashTable *own, bool with_speed)
{
  if (with_speed)
    {
      g_hash_table_remove_all (fleet_load->sent_speeds);
      add_all_speeds (fleet_load->sent_speeds, own);
    }
  g_hash_table_unref (fleet_load->sent);
  fleet_load->sent = own;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, own);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((load_counts_t *)value)->speed_sum
        = ((load_counts_t *)value)->speed_weight = 0;
}

static void
run_leaf (fleet_load_t *fleet_load, const session_t *session,
          const backend_t *backend, sending_t *sending)
{
  GHashTable *others = new_servers_counts ();
  add_received (fleet_load, KWF_LOAD_SCOPE_FLEET, others);
  /* The fleet's sums include the counts that this instance sent, so these are
     subtracted.  */
  add_all_counts (others, fleet_load->sent, -1);
  add_all_counts (others, fleet_load->sent_speeds, -1);
  set_server_counts (backend, others,
                     has_received (fleet_load, KWF_LOAD_SCOPE_FLEET),
                     sending->now_ns);
  g_hash_table_unref (others);
  GHashTable *own = count_own (backend, sending->now_ns);
  sending->servers_counts = own;
  sending->scope = KWF_LOAD_SCOPE_OWN;
  const char *first = fanout_own_relay (session);
  if (*first)
    send_counts (first, sending);
  keep_sent (fleet_load, own, sending->with_speed);
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
  sending_t sending
      = { .with_speed = fleet_load->n_periods++ % SPEED_MESSAGES == 0,
          .now_ns = now_ns,
          .effects = effects };
  if (fanout_role (session) == FANOUT_LEAF)
    run_leaf (fleet_load, session, backend, &sending);
  else
    run_relay (fleet_load, session, backend, &sending);
}

int64_t
fleet_load_next_tick_ns (const fleet_load_t *fleet_load)
{
  return fleet_load->next_ns;
}
