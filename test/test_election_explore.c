/* Seeded exploration of who gives orders where engines check no token.

   Runs the real duty of 3 instances over the real sessions, on a fake clock,
   table and links.  Guards against a store that is cut, silent or answers
   late, links that are cut, instances that freeze, restart or leave, in any
   order and together, after which two instances give orders within the lease
   or one with a lower token after a higher one.

   Usage: test_duty_explore [--seed N] [--first N] [--schedules N] [--trace]
                            [--without proof|wait]  */

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
  NODES = 3,
  ROWS = NODES + 1,
  STEP_MS = 10,
  FAULTS_MS = 40000, /* faults begin before this time */
  CALM_MS = 25000,   /* what follows; the longest fault ends in it */
  LEASE_MS = 3000,
  LINK_LOST_MS = 1500,
  FEED_MS = 300,      /* from a change to those that it is told to */
  ORDER_MOST_MS = 30, /* from an instance to an engine */
  /* A loss is noticed, a candidate tries twice, then waits for the lease and
     what a proof holds.  */
  TAKEOVER_MS = LINK_LOST_MS + 2000 + LEASE_MS + LEASE_MS / 2
};

typedef struct
{
  kwf_clock_t clock; /* first member */
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
  ITEM_CALL,    /* a transaction reaches the table */
  ITEM_ANSWER,  /* its answer reaches the instance */
  ITEM_MESSAGE, /* reaches another instance */
  ITEM_ORDER    /* reaches the engine */
} item_type_t;

/* Something on its way.  */
typedef struct
{
  item_type_t type;
  int64_t at_ms;
  int node;
  uint64_t incarnation; /* of the process that it goes to or came from */
  kwf_handle_t op;
  /* Transaction: of the duty's row or of a session row.  */
  char key[32];
  char *value;
  int64_t condition;
  bool puts;
  int64_t after;
  bool answered;
  /* Answer.  */
  kwf_store_reply_t reply;
  kwf_row_t rows[ROWS];
  kwf_row_t conflict;
  bool times_out;
  /* Message.  */
  int from;
  uint64_t from_incarnation;
  kwf_message_t message;
  int64_t token; /* of an order */
} item_t;

typedef struct
{
  session_t *session;
  election_t *duty;
  char name[2];
  uint64_t incarnation;
  int64_t cut_ms;    /* from the table, until then */
  int64_t alone_ms;  /* from the other instances */
  int64_t frozen_ms; /* does nothing until then */
  bool linked[NODES];
  int64_t lost_ms[NODES]; /* since when the path is cut; 0: it is not */
  int64_t known;          /* revision of the rows that were told */
  int64_t told_ms;        /* when it was told last */
} node_t;

typedef struct
{
  fake_clock_t clock;
  uint64_t random;
  node_t nodes[NODES];
  row_t rows[ROWS];
  int64_t revision;
  int64_t silent_ms; /* the whole table is away until then */
  int64_t slow_ms;   /* and slow until then */
  GPtrArray *items;
  GPtrArray *values; /* of all rows that were written */
  kwf_effects_t *effects;
  int64_t top_token; /* that the engine has seen */
  int last_holder;   /* whose order came last; -1: nobody's */
  int64_t last_ms;
  int n_orders;
  int n_holders;
  bool without_proof;
  bool without_wait;
  bool trace;
  char failure[160];
} world_t;

static struct timespec
elapsed (const kwf_clock_t *clock)
{
  int64_t now_ns = ((const fake_clock_t *)clock)->now_ns;
  return (struct timespec){ .tv_sec = now_ns / KWF_NS_PER_S,
                            .tv_nsec = now_ns % KWF_NS_PER_S };
}

static const kwf_clock_ops_t clock_ops
    = { .elapsed = elapsed, .wall = elapsed };

static int64_t
now_ms (const world_t *world)
{
  return world->clock.now_ns / KWF_NS_PER_MS;
}

/* 0 to N - 1.  */
static int64_t
pick (world_t *world, int64_t n)
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
add_item (world_t *world, item_type_t type, int node, int64_t delay_ms)
{
  item_t *item = g_new0 (item_t, 1);
  item->type = type;
  item->at_ms = now_ms (world) + delay_ms;
  item->node = node;
  item->incarnation = world->nodes[node].incarnation;
  g_ptr_array_add (world->items, item);
  return item;
}

static bool
hears_table (const world_t *world, int node)
{
  return now_ms (world) >= world->nodes[node].cut_ms
         && now_ms (world) >= world->silent_ms;
}

static bool
path_holds (const world_t *world, int a, int b)
{
  const node_t *nodes = world->nodes;
  int64_t now = now_ms (world);
  return now >= nodes[a].alone_ms && now >= nodes[b].alone_ms
         && now >= nodes[a].frozen_ms && now >= nodes[b].frozen_ms;
}

/* Effects.  */

static void
send_call (world_t *world, int node, const kwf_effect_t *effect)
{
  const kwf_txn_t *txn = &effect->store.txn;
  int64_t delay_ms = 1 + pick (world, 8);
  if (now_ms (world) < world->slow_ms)
    delay_ms += pick (world, 1500);
  /* One that is not answered may be carried out seconds later.  */
  bool hears = hears_table (world, node);
  bool answered = hears && pick (world, 40);
  /* Without an answer by then the call ends; with one this is ignored.  */
  item_t *timeout = add_item (world, ITEM_ANSWER, node,
                              effect->store.timeout_ns / KWF_NS_PER_MS);
  timeout->op = effect->store.op;
  timeout->times_out = true;
  timeout->reply.outcome = KWF_STORE_UNKNOWN;
  if (!hears && pick (world, 3))
    return;
  if (!hears)
    delay_ms += pick (world, 6000);
  item_t *item = add_item (world, ITEM_CALL, node, delay_ms);
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
send_message (world_t *world, int node, const kwf_effect_t *effect)
{
  const kwf_message_t *message = &effect->send.message;
  int to = *effect->send.instance - 'a';
  if (to < 0 || to >= NODES || !world->nodes[node].linked[to]
      || (message->type != KWF_MSG_LEADERSHIP_EXPIRED
          && message->type != KWF_MSG_LEAVE))
    return;
  item_t *item = add_item (world, ITEM_MESSAGE, to, 1 + pick (world, 20));
  item->from = node;
  item->from_incarnation = world->nodes[node].incarnation;
  item->message = *message;
  trace (world, "%s tells %s %d", world->nodes[node].name,
         effect->send.instance, (int)message->type);
}

static void
step (world_t *world, int node, const kwf_event_t *event)
{
  node_t *n = &world->nodes[node];
  session_changes_t news;
  kwf_effects_clear (world->effects);
  session_step (n->session, event, world->effects, &news);
  election_step (n->duty, n->session, event, &news, world->effects);
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type == KWF_FX_STORE)
        send_call (world, node, effect);
      else if (effect->type == KWF_FX_PEER_SEND)
        send_message (world, node, effect);
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
run_call (world_t *world, const item_t *call)
{
  item_t *answer = add_item (world, ITEM_ANSWER, call->node,
                             call->answered ? 1 + pick (world, 8) : 0);
  answer->incarnation = call->incarnation;
  answer->op = call->answered ? call->op : 0;
  answer->reply.outcome = KWF_STORE_COMMITTED;
  answer->reply.rows = answer->rows;
  answer->reply.conflicts = &answer->conflict;
  row_t *row = call->puts ? find_row (world, call->key) : NULL;
  if (row && row->version != call->condition)
    {
      answer->reply.outcome = KWF_STORE_CONFLICT;
      answer->conflict = (kwf_row_t){ row->key, row->version, row->value };
      answer->reply.n_conflicts = 1;
    }
  else if (row)
    {
      row->version = ++world->revision;
      row->value = g_strdup (call->value);
      /* Answers under way keep it.  */
      g_ptr_array_add (world->values, row->value);
      if (g_str_has_prefix (call->key, "duty/"))
        trace (world, "table: %s = %s at %" PRId64, call->key, call->value,
               row->version);
    }
  answer->reply.revision = world->revision;
  for (int i = 0; i < ROWS && *world->rows[i].key; i++)
    if (world->rows[i].version > call->after)
      answer->rows[answer->reply.n_rows++]
          = (kwf_row_t){ world->rows[i].key, world->rows[i].version,
                         world->rows[i].value };
}

/* The engine.  */

static void
take_order (world_t *world, const item_t *order)
{
  int64_t now = now_ms (world);
  bool other = world->last_holder >= 0 && world->last_holder != order->node;
  world->n_orders++;
  world->n_holders += other;
  if (order->token < world->top_token)
    g_snprintf (world->failure, sizeof world->failure,
                "%" PRId64 " ms: token %" PRId64 " of %s after %" PRId64, now,
                order->token, world->nodes[order->node].name,
                world->top_token);
  else if (other && now - world->last_ms < LEASE_MS)
    g_snprintf (world->failure, sizeof world->failure,
                "%" PRId64 " ms: an order of %s %" PRId64
                " ms after one of %s",
                now, world->nodes[order->node].name, now - world->last_ms,
                world->nodes[world->last_holder].name);
  world->top_token = MAX (world->top_token, order->token);
  world->last_holder = order->node;
  world->last_ms = now;
}

/* Instances.  */

static void
start_node (world_t *world, int node)
{
  node_t *n = &world->nodes[node];
  int64_t lease_ns = LEASE_MS * KWF_NS_PER_MS;
  n->name[0] = (char)('a' + node);
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
  n->duty = election_new (&options, "placement");
  memset (n->linked, 0, sizeof n->linked);
  memset (n->lost_ms, 0, sizeof n->lost_ms);
  n->known = 0;
  for (int i = 0; i < NODES; i++)
    if (world->nodes[i].linked[node])
      {
        world->nodes[i].linked[node] = false;
        step (world, i,
              &(kwf_event_t){ .type = KWF_EV_PEER_DOWN,
                              .peer = { .instance = n->name } });
      }
}

static void
end_node (node_t *node)
{
  election_free (node->duty);
  session_free (node->session);
}

/* What a link that failed still carried to NODE.  */
static void
lose_messages (world_t *world, int from, int node)
{
  for (guint i = world->items->len; i-- > 0;)
    {
      const item_t *item = world->items->pdata[i];
      if (item->type == ITEM_MESSAGE && item->node == node
          && item->from == from)
        g_ptr_array_remove_index (world->items, i);
    }
}

/* Links fail after a time without frames and come back by themselves.  */
static void
run_links (world_t *world, int node)
{
  node_t *n = &world->nodes[node];
  for (int i = 0; i < NODES; i++)
    {
      if (i == node)
        continue;
      bool holds = path_holds (world, node, i);
      if (holds)
        n->lost_ms[i] = 0;
      else if (!n->lost_ms[i])
        n->lost_ms[i] = now_ms (world);
      bool up
          = holds
            || (n->linked[i] && now_ms (world) - n->lost_ms[i] < LINK_LOST_MS);
      if (up == n->linked[i])
        continue;
      n->linked[i] = up;
      if (!up)
        lose_messages (world, i, node);
      step (world, node,
            &(kwf_event_t){
                .type = up ? KWF_EV_PEER_UP : KWF_EV_PEER_DOWN,
                .peer = { .instance = world->nodes[i].name,
                          .incarnation = world->nodes[i].incarnation } });
    }
}

/* An instance that reaches the table, or one that does, is told what
   changed.  */
static void
tell_rows (world_t *world, int node)
{
  node_t *n = &world->nodes[node];
  bool reached = hears_table (world, node);
  for (int i = 0; i < NODES; i++)
    reached |= n->linked[i] && hears_table (world, i)
               && path_holds (world, node, i);
  if (!reached || now_ms (world) - n->told_ms < FEED_MS)
    return;
  kwf_row_t rows[ROWS];
  size_t n_rows = 0;
  for (int i = 0; i < ROWS && *world->rows[i].key; i++)
    if (world->rows[i].version > n->known)
      rows[n_rows++] = (kwf_row_t){ world->rows[i].key, world->rows[i].version,
                                    world->rows[i].value };
  n->told_ms = now_ms (world);
  n->known = MAX (world->revision, 1);
  if (n_rows || !session_revision (n->session))
    step (world, node,
          &(kwf_event_t){ .type = KWF_EV_ROWS,
                          .rows = { .revision = n->known, rows, n_rows } });
}

static void
run_node (world_t *world, int node)
{
  node_t *n = &world->nodes[node];
  if (now_ms (world) < n->frozen_ms)
    return;
  run_links (world, node);
  tell_rows (world, node);
  step (world, node, &(kwf_event_t){ .type = KWF_EV_TICK });
  int64_t token = election_token (n->duty);
  if (!token || pick (world, 4))
    return;
  int64_t most_ms = ORDER_MOST_MS;
  add_item (world, ITEM_ORDER, node, pick (world, most_ms))->token = token;
}

static void
deliver (world_t *world, const item_t *item)
{
  const node_t *n = &world->nodes[item->node];
  bool same = item->incarnation == n->incarnation;
  if (item->type == ITEM_CALL)
    run_call (world, item);
  else if (item->type == ITEM_ORDER)
    take_order (world, item);
  else if (item->type == ITEM_ANSWER && same && item->op
           && (item->times_out || now_ms (world) >= n->cut_ms))
    step (world, item->node,
          &(kwf_event_t){ .type = KWF_EV_STORE_REPLY,
                          .store = { item->op, item->reply } });
  else if (item->type == ITEM_MESSAGE && same && n->linked[item->from])
    step (world, item->node,
          &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                          .peer = { .instance = world->nodes[item->from].name,
                                    .incarnation = item->from_incarnation,
                                    .message = &item->message } });
}

/* What is due; a frozen instance gets its part when it wakes up.  */
static void
run_items (world_t *world)
{
  for (guint i = 0; i < world->items->len;)
    {
      const item_t *item = world->items->pdata[i];
      bool waits = (item->type == ITEM_ANSWER || item->type == ITEM_MESSAGE)
                   && now_ms (world) < world->nodes[item->node].frozen_ms;
      waits |= item->type == ITEM_MESSAGE
               && !path_holds (world, item->from, item->node);
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
  int node = (int)pick (world, NODES);
  int64_t until_ms = now_ms (world) + 300 + pick (world, 8000);
  node_t *n = &world->nodes[node];
  static const char *const names[]
      = { "store cut", "peers cut", "both cut",   "frozen",
          "restart",   "leaves",    "store away", "store slow" };
  int64_t kind = pick (world, 8);
  trace (world, "fault: %s at %s until %" PRId64, names[kind], n->name,
         until_ms);
  if (kind == 0 || kind == 2)
    n->cut_ms = until_ms;
  if (kind == 1 || kind == 2)
    n->alone_ms = until_ms;
  if (kind == 3)
    n->frozen_ms = until_ms;
  if (kind == 5)
    {
      kwf_effects_clear (world->effects);
      election_resign (n->duty, world->effects);
      for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
        if (kwf_effects_at (world->effects, i)->type == KWF_FX_STORE)
          send_call (world, node, kwf_effects_at (world->effects, i));
    }
  if (kind == 4 || kind == 5)
    {
      end_node (n);
      start_node (world, node);
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
  world->last_holder = -1;
  for (int i = 0; i < NODES; i++)
    start_node (world, i);
  int64_t end_ms = FAULTS_MS + CALM_MS;
  while (now_ms (world) < end_ms && !*world->failure)
    {
      run_items (world);
      for (int i = 0; i < NODES; i++)
        run_node (world, i);
      if (now_ms (world) < FAULTS_MS && pick (world, 150) == 0)
        begin_fault (world);
      world->clock.now_ns += STEP_MS * KWF_NS_PER_MS;
    }
  /* Nobody gives orders for ever.  */
  if (!*world->failure && now_ms (world) - world->last_ms > TAKEOVER_MS)
    g_snprintf (world->failure, sizeof world->failure,
                "no order since %" PRId64 " ms", world->last_ms);
  for (int i = 0; i < NODES; i++)
    end_node (&world->nodes[i]);
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
  int64_t holders = 0;
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
      holders += world.n_holders;
    }
  printf ("%" PRIu64 " schedules held: %" PRId64 " orders, %" PRId64
          " changes of holder\n",
          schedules, orders, holders);
  return 0;
}
