/* Seeded exploration of the leader election with engines that check no fencing
   token.

   Runs the real elections of 3 instances over the real sessions, with a fake
   clock, table and links.  Faults in any order and combination: the table is
   unreachable, silent or slow, links are cut, instances are suspended, restart
   or leave.  Guards against orders of two instances within lease_ns, and
   against an order with a lower token after one with a higher token.

   Usage: test_election_explore [--seed N] [--first N] [--schedules N]
                                [--trace] [--without proof|wait] */

#include <glib.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/election.h"
#include "lib/op.h"

enum
{
  INSTANCES = 3,
  ROWS = INSTANCES + 1,
  STEP_MS = 10,
  FAULTS_MS = 40000, /* no fault starts later */
  QUIET_MS = 25000,  /* time after that, in which the longest fault ends */
  LEASE_MS = 3000,
  LINK_LOST_MS = 1500,
  FEED_MS = 300,      /* from a change to its delivery to the instances */
  ORDER_MOST_MS = 30, /* maximum time from an instance to an engine */
  /* The loss is noticed, a candidate tries twice, and it waits for lease_ns
     and the duration of a lease.  */
  TAKEOVER_MS = LINK_LOST_MS + 2000 + LEASE_MS + LEASE_MS / 2
};

typedef struct
{
  kwf_clock_t clock; /* must be the first member */
  int64_t now_ns;
} fake_clock_t;

typedef struct
{
  int64_t version;
  char key[32];
  char *value;
} row_t;

typedef enum
{
  ITEM_TXN,     /* a transaction reaches the table */
  ITEM_REPLY,   /* a reply reaches the instance */
  ITEM_MESSAGE, /* a message reaches another instance */
  ITEM_ORDER    /* an order reaches the engine */
} item_type_t;

/* A message that has not arrived yet.  */
typedef struct
{
  item_type_t type;
  int64_t at_ms;
  int instance; /* recipient; of a transaction or an order the sender */
  uint64_t incarnation; /* of that instance's process */
  kwf_handle_t op;
  /* Transaction: a write of the election's row or of a session row, or a
     read.  */
  char key[32];
  char *value;
  int64_t condition;
  bool puts;
  int64_t after;
  bool answered;
  /* Reply.  */
  kwf_store_reply_t reply;
  kwf_row_t rows[ROWS];
  kwf_row_t conflict;
  bool times_out;
  /* Message.  */
  int from;
  uint64_t from_incarnation;
  kwf_message_t message;
  int64_t token; /* fencing token of an order */
} item_t;

typedef struct
{
  session_t *session;
  election_t *election;
  char name[2];
  uint64_t incarnation;
  int64_t table_cut_ms; /* until then it doesn't reach the table */
  int64_t peers_cut_ms; /* until then it doesn't reach other instances */
  int64_t suspended_ms; /* until then it is suspended */
  bool linked[INSTANCES];
  int64_t lost_ms[INSTANCES]; /* since when the path to it is cut; 0: it
                                 isn't */
  int64_t delivered_revision; /* revision up to which rows were delivered */
  int64_t delivered_ms;       /* time of the last delivery */
} instance_t;

typedef struct
{
  fake_clock_t clock;
  uint64_t random;
  instance_t instances[INSTANCES];
  row_t rows[ROWS];
  int64_t revision;
  int64_t silent_ms; /* until then no instance reaches the table */
  int64_t slow_ms;   /* until then transactions are slow */
  GPtrArray *items;
  GPtrArray *values; /* text of all rows written, for release at the end */
  kwf_effects_t *effects;
  int64_t highest_token; /* highest token that the engine has seen */
  int last_leader;       /* sender of the last order; -1: none yet */
  int64_t last_order_ms;
  int n_orders;
  int n_leader_changes;
  bool without_proof;
  bool without_wait;
  bool trace;
  char failure[160];
} world_t;

static struct timespec
current_time (const kwf_clock_t *clock)
{
  int64_t now_ns = ((const fake_clock_t *)clock)->now_ns;
  return (struct timespec){ .tv_sec = now_ns / KWF_NS_PER_S,
                            .tv_nsec = now_ns % KWF_NS_PER_S };
}

static const kwf_clock_ops_t clock_ops
    = { .monotonic = current_time, .wall = current_time };

static int64_t
now_ms (const world_t *world)
{
  return world->clock.now_ns / KWF_NS_PER_MS;
}

/* Return a random number from 0 to N - 1.  */
static int64_t
random_below (world_t *world, int64_t n)
{
  world->random ^= world->random << 13;
  world->random ^= world->random >> 7;
  world->random ^= world->random << 17;
  return (int64_t)(world->random % (uint64_t)n);
}

static void trace (const world_t *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
trace (const world_t *world, const char *format, ...)
{
  va_list arguments;
  if (!world->trace)
    return;
  printf ("%6" PRId64 " ", now_ms (world));
  va_start (arguments, format);
  vprintf (format, arguments);
  va_end (arguments);
  putchar ('\n');
}

static void
item_free (void *data)
{
  item_t *item = data;
  g_free (item->value);
  g_free (item);
}

static item_t *
add_item (world_t *world, item_type_t type, int instance, int64_t delay_ms)
{
  item_t *item = g_new0 (item_t, 1);
  item->type = type;
  item->at_ms = now_ms (world) + delay_ms;
  item->instance = instance;
  item->incarnation = world->instances[instance].incarnation;
  g_ptr_array_add (world->items, item);
  return item;
}

static bool
reaches_table (const world_t *world, int instance)
{
  return now_ms (world) >= world->instances[instance].table_cut_ms
         && now_ms (world) >= world->silent_ms;
}

/* Whether two instances have a path to each other and neither is suspended. */
static bool
can_exchange_messages (const world_t *world, int a, int b)
{
  const instance_t *instances = world->instances;
  int64_t now = now_ms (world);
  return now >= instances[a].peers_cut_ms && now >= instances[b].peers_cut_ms
         && now >= instances[a].suspended_ms
         && now >= instances[b].suspended_ms;
}

/* Effects.  */

static void
send_txn (world_t *world, int instance, const kwf_effect_t *effect)
{
  const kwf_txn_t *txn = &effect->store.txn;
  int64_t delay_ms = 1 + random_below (world, 8);
  if (now_ms (world) < world->slow_ms)
    delay_ms += random_below (world, 1500);
  /* A transaction without a reply may still be carried out seconds later.  */
  bool reaches = reaches_table (world, instance);
  bool answered = reaches && random_below (world, 40);
  /* The timeout of the transaction.  Ignored if a reply arrives earlier.  */
  item_t *timeout = add_item (world, ITEM_REPLY, instance,
                              effect->store.timeout_ns / KWF_NS_PER_MS);
  timeout->op = effect->store.op;
  timeout->times_out = true;
  timeout->reply.outcome = KWF_STORE_UNKNOWN;
  if (!reaches && random_below (world, 3))
    return;
  if (!reaches)
    delay_ms += random_below (world, 6000);
  item_t *item = add_item (world, ITEM_TXN, instance, delay_ms);
  item->op = effect->store.op;
  item->after = txn->after;
  item->answered = answered;
  if (!txn->n_puts)
    return;
  item->puts = true;
  item->condition = txn->conditions[0].version;
  g_strlcpy (item->key, txn->puts[0].key, sizeof item->key);
  item->value = g_strdup (txn->puts[0].value);
}

static void
send_message (world_t *world, int instance, const kwf_effect_t *effect)
{
  const kwf_message_t *message = &effect->send.message;
  int to = *effect->send.instance - 'a';
  if (to < 0 || to >= INSTANCES || !world->instances[instance].linked[to]
      || (message->type != KWF_MSG_LEADERSHIP_EXPIRED
          && message->type != KWF_MSG_LEAVE))
    return;
  item_t *item
      = add_item (world, ITEM_MESSAGE, to, 1 + random_below (world, 20));
  item->from = instance;
  item->from_incarnation = world->instances[instance].incarnation;
  item->message = *message;
  trace (world, "%s tells %s %d", world->instances[instance].name,
         effect->send.instance, (int)message->type);
}

static void
step (world_t *world, int instance, const kwf_event_t *event)
{
  instance_t *n = &world->instances[instance];
  session_changes_t changes;
  kwf_effects_clear (world->effects);
  session_step (n->session, event, world->effects, &changes);
  election_step (n->election, n->session, event, &changes, world->effects);
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_STORE)
        send_txn (world, instance, effect);
      else if (effect->type == KWF_FX_PEER_SEND)
        send_message (world, instance, effect);
      else if (effect->type == KWF_FX_LOG && world->trace)
        trace (world, "%s: %s", n->name, effect->log.text);
    }
}

/* The table.  */

static row_t *
find_row (world_t *world, const char *key)
{
  for (int i = 0; i < ROWS; i++)
    if (!*world->rows[i].key || strcmp (world->rows[i].key, key) == 0)
      {
        g_strlcpy (world->rows[i].key, key, sizeof world->rows[i].key);
        return &world->rows[i];
      }
  abort ();
}

static void
run_txn (world_t *world, const item_t *txn)
{
  item_t *reply_item
      = add_item (world, ITEM_REPLY, txn->instance,
                  txn->answered ? 1 + random_below (world, 8) : 0);
  reply_item->incarnation = txn->incarnation;
  reply_item->op = txn->answered ? txn->op : 0;
  reply_item->reply.outcome = KWF_STORE_COMMITTED;
  reply_item->reply.rows = reply_item->rows;
  reply_item->reply.conflicts = &reply_item->conflict;
  row_t *row = txn->puts ? find_row (world, txn->key) : NULL;
  if (row && row->version != txn->condition)
    {
      reply_item->reply.outcome = KWF_STORE_CONFLICT;
      reply_item->conflict = (kwf_row_t){ row->key, row->version, row->value };
      reply_item->reply.n_conflicts = 1;
    }
  else if (row)
    {
      row->version = ++world->revision;
      row->value = g_strdup (txn->value);
      /* Replies in flight refer to it.  */
      g_ptr_array_add (world->values, row->value);
      if (g_str_has_prefix (txn->key, "duty/"))
        trace (world, "table: %s = %s at %" PRId64, txn->key, txn->value,
               row->version);
    }
  reply_item->reply.revision = world->revision;
  for (int i = 0; i < ROWS && *world->rows[i].key; i++)
    if (world->rows[i].version > txn->after)
      reply_item->rows[reply_item->reply.n_rows++]
          = (kwf_row_t){ world->rows[i].key, world->rows[i].version,
                         world->rows[i].value };
}

/* Checks the orders that reach the engine.  */

static void
check_order (world_t *world, const item_t *order)
{
  int64_t now = now_ms (world);
  bool leader_changed
      = world->last_leader >= 0 && world->last_leader != order->instance;
  world->n_orders++;
  world->n_leader_changes += leader_changed;
  if (order->token < world->highest_token)
    g_snprintf (world->failure, sizeof world->failure,
                "%" PRId64 " ms: token %" PRId64 " of %s after %" PRId64, now,
                order->token, world->instances[order->instance].name,
                world->highest_token);
  else if (leader_changed && now - world->last_order_ms < LEASE_MS)
    g_snprintf (
        world->failure, sizeof world->failure,
        "%" PRId64 " ms: an order of %s %" PRId64 " ms after one of %s", now,
        world->instances[order->instance].name, now - world->last_order_ms,
        world->instances[world->last_leader].name);
  world->highest_token = MAX (world->highest_token, order->token);
  world->last_leader = order->instance;
  world->last_order_ms = now;
}

/* Instances.  */

static void
start_instance (world_t *world, int instance)
{
  instance_t *n = &world->instances[instance];
  int64_t lease_ns = LEASE_MS * KWF_NS_PER_MS;
  n->name[0] = (char)('a' + instance);
  n->incarnation = (uint64_t)now_ms (world) + 1;
  kwf_core_options_t options
      = { .instance = n->name,
          .incarnation = n->incarnation,
          .data_centre = "c",
          .caller_address = "127.0.0.1:1",
          .peer_address = "127.0.0.1:2",
          .lease_ns = 300 * KWF_NS_PER_S,
          .renew_ns = 100 * KWF_NS_PER_S,
          .push_updates = true,
          .placement = { .lease_ns = world->without_wait ? 0 : lease_ns,
                         .fencing_unchecked = !world->without_proof },
          .clock = &world->clock.clock };
  n->session = session_new (&options);
  n->election = election_new (&options, "placement");
  memset (n->linked, 0, sizeof n->linked);
  memset (n->lost_ms, 0, sizeof n->lost_ms);
  n->delivered_revision = 0;
  for (int i = 0; i < INSTANCES; i++)
    if (world->instances[i].linked[instance])
      {
        world->instances[i].linked[instance] = false;
        step (world, i,
              &(kwf_event_t){ .type = KWF_EV_PEER_DOWN,
                              .peer = { .instance = n->name } });
      }
}

static void
free_instance (instance_t *instance)
{
  election_free (instance->election);
  session_free (instance->session);
}

/* Drop the messages from FROM to INSTANCE that a failed link still carried. */
static void
drop_messages (world_t *world, int from, int instance)
{
  for (guint i = world->items->len; i-- > 0;)
    {
      const item_t *item = world->items->pdata[i];
      if (item->type == ITEM_MESSAGE && item->instance == instance
          && item->from == from)
        g_ptr_array_remove_index (world->items, i);
    }
}

/* A link fails after a time without a path, and is restored with the path.  */
static void
run_links (world_t *world, int instance)
{
  instance_t *n = &world->instances[instance];
  for (int i = 0; i < INSTANCES; i++)
    {
      if (i == instance)
        continue;
      bool path_up = can_exchange_messages (world, instance, i);
      if (path_up)
        n->lost_ms[i] = 0;
      else if (!n->lost_ms[i])
        n->lost_ms[i] = now_ms (world);
      bool up
          = path_up
            || (n->linked[i] && now_ms (world) - n->lost_ms[i] < LINK_LOST_MS);
      if (up == n->linked[i])
        continue;
      n->linked[i] = up;
      if (!up)
        drop_messages (world, i, instance);
      step (world, instance,
            &(kwf_event_t){
                .type = up ? KWF_EV_PEER_UP : KWF_EV_PEER_DOWN,
                .peer = { .instance = world->instances[i].name,
                          .incarnation = world->instances[i].incarnation } });
    }
}

/* Deliver changed rows to an instance if it, or an instance linked to it,
   reaches the table.  */
static void
deliver_rows (world_t *world, int instance)
{
  instance_t *n = &world->instances[instance];
  bool reached = reaches_table (world, instance);
  for (int i = 0; i < INSTANCES; i++)
    reached |= n->linked[i] && reaches_table (world, i)
               && can_exchange_messages (world, instance, i);
  if (!reached || now_ms (world) - n->delivered_ms < FEED_MS)
    return;
  kwf_row_t rows[ROWS];
  size_t n_rows = 0;
  for (int i = 0; i < ROWS && *world->rows[i].key; i++)
    if (world->rows[i].version > n->delivered_revision)
      rows[n_rows++] = (kwf_row_t){ world->rows[i].key, world->rows[i].version,
                                    world->rows[i].value };
  n->delivered_ms = now_ms (world);
  n->delivered_revision = MAX (world->revision, 1);
  if (n_rows || !session_revision (n->session))
    step (world, instance,
          &(kwf_event_t){
              .type = KWF_EV_ROWS,
              .rows = { .revision = n->delivered_revision, rows, n_rows } });
}

static void
run_instance (world_t *world, int instance)
{
  instance_t *n = &world->instances[instance];
  if (now_ms (world) < n->suspended_ms)
    return;
  run_links (world, instance);
  deliver_rows (world, instance);
  step (world, instance, &(kwf_event_t){ .type = KWF_EV_TICK });
  int64_t token = election_token (n->election);
  if (!token || random_below (world, 4))
    return;
  int64_t most_ms = ORDER_MOST_MS;
  add_item (world, ITEM_ORDER, instance, random_below (world, most_ms))->token
      = token;
}

static void
deliver (world_t *world, const item_t *item)
{
  const instance_t *n = &world->instances[item->instance];
  bool same = item->incarnation == n->incarnation;
  if (item->type == ITEM_TXN)
    run_txn (world, item);
  else if (item->type == ITEM_ORDER)
    check_order (world, item);
  else if (item->type == ITEM_REPLY && same && item->op
           && (item->times_out || now_ms (world) >= n->table_cut_ms))
    step (world, item->instance,
          &(kwf_event_t){ .type = KWF_EV_STORE_REPLY,
                          .store = { item->op, item->reply } });
  else if (item->type == ITEM_MESSAGE && same && n->linked[item->from])
    step (world, item->instance,
          &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                          .peer
                          = { .instance = world->instances[item->from].name,
                              .incarnation = item->from_incarnation,
                              .message = &item->message } });
}

/* Deliver the items that are due.  Replies and messages to a suspended
   instance wait until it resumes.  */
static void
deliver_due_items (world_t *world)
{
  for (guint i = 0; i < world->items->len;)
    {
      const item_t *item = world->items->pdata[i];
      bool waits
          = (item->type == ITEM_REPLY || item->type == ITEM_MESSAGE)
            && now_ms (world) < world->instances[item->instance].suspended_ms;
      waits |= item->type == ITEM_MESSAGE
               && !can_exchange_messages (world, item->from, item->instance);
      if (waits || now_ms (world) < item->at_ms)
        {
          i++;
          continue;
        }
      item_t *taken = g_ptr_array_steal_index (world->items, i);
      deliver (world, taken);
      item_free (taken);
    }
}

static void
begin_fault (world_t *world)
{
  int instance = (int)random_below (world, INSTANCES);
  int64_t until_ms = now_ms (world) + 300 + random_below (world, 8000);
  instance_t *n = &world->instances[instance];
  static const char *const names[]
      = { "store cut", "peers cut", "both cut",   "frozen",
          "restart",   "leaves",    "store away", "store slow" };
  int64_t kind = random_below (world, 8);
  trace (world, "fault: %s at %s until %" PRId64, names[kind], n->name,
         until_ms);
  if (kind == 0 || kind == 2)
    n->table_cut_ms = until_ms;
  if (kind == 1 || kind == 2)
    n->peers_cut_ms = until_ms;
  if (kind == 3)
    n->suspended_ms = until_ms;
  if (kind == 5)
    {
      kwf_effects_clear (world->effects);
      election_resign (n->election, world->effects);
      for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
        if (kwf_effects_at (world->effects, i)->type == KWF_FX_STORE)
          send_txn (world, instance, kwf_effects_at (world->effects, i));
    }
  if (kind == 4 || kind == 5)
    {
      free_instance (n);
      start_instance (world, instance);
    }
  if (kind == 6)
    world->silent_ms = until_ms;
  if (kind == 7)
    world->slow_ms = until_ms;
}

static bool
run (world_t *world, uint64_t seed)
{
  world->clock
      = (fake_clock_t){ .clock = { &clock_ops }, .now_ns = KWF_NS_PER_S };
  world->random = seed * 0x9e3779b97f4a7c15u + 1;
  world->items = g_ptr_array_new_with_free_func (item_free);
  world->values = g_ptr_array_new_with_free_func (g_free);
  world->effects = kwf_effects_new ();
  world->last_leader = -1;
  for (int i = 0; i < INSTANCES; i++)
    start_instance (world, i);
  int64_t end_ms = FAULTS_MS + QUIET_MS;
  while (now_ms (world) < end_ms && !*world->failure)
    {
      deliver_due_items (world);
      for (int i = 0; i < INSTANCES; i++)
        run_instance (world, i);
      if (now_ms (world) < FAULTS_MS && random_below (world, 150) == 0)
        begin_fault (world);
      world->clock.now_ns += STEP_MS * KWF_NS_PER_MS;
    }
  /* There must not be a lasting lack of a leader.  */
  if (!*world->failure && now_ms (world) - world->last_order_ms > TAKEOVER_MS)
    g_snprintf (world->failure, sizeof world->failure,
                "no order since %" PRId64 " ms", world->last_order_ms);
  for (int i = 0; i < INSTANCES; i++)
    free_instance (&world->instances[i]);
  g_ptr_array_free (world->items, TRUE);
  g_ptr_array_free (world->values, TRUE);
  kwf_effects_free (world->effects);
  return !*world->failure;
}

int
main (int argc, char **argv)
{
  const char *wanted = getenv ("KWF_EXPLORE_SCHEDULES");
  uint64_t schedules = wanted ? strtoull (wanted, NULL, 10) / 20 : 1000;
  uint64_t first = 1;
  world_t options = { 0 };
  for (int i = 1; i < argc; i++)
    if (strcmp (argv[i], "--trace") == 0)
      options.trace = true;
    else if (i + 1 == argc)
      break;
    else if (strcmp (argv[i], "--seed") == 0)
      {
        first = strtoull (argv[++i], NULL, 10);
        schedules = 1;
      }
    else if (strcmp (argv[i], "--first") == 0)
      first = strtoull (argv[++i], NULL, 10);
    else if (strcmp (argv[i], "--schedules") == 0)
      schedules = strtoull (argv[++i], NULL, 10);
    else if (strcmp (argv[i], "--without") == 0)
      {
        i++;
        options.without_proof = strcmp (argv[i], "proof") == 0;
        options.without_wait = strcmp (argv[i], "wait") == 0;
      }
  int64_t orders = 0;
  int64_t leader_changes = 0;
  for (uint64_t seed = first; seed < first + schedules; seed++)
    {
      world_t world = options;
      if (!run (&world, seed))
        {
          printf ("seed %" PRIu64 ": %s\nreplay: %s --seed %" PRIu64
                  " --trace\n",
                  seed, world.failure, argv[0], seed);
          return 1;
        }
      orders += world.n_orders;
      leader_changes += world.n_leader_changes;
    }
  printf ("%" PRIu64 " schedules held: %" PRId64 " orders, %" PRId64
          " changes of leader\n",
          schedules, orders, leader_changes);
  return 0;
}
