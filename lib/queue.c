#include "queue.h"

/* Share of the served tokens that a lane gets while requests wait in it
   (docs/design.md section 13).  */
#define MIN_SHARE 0.05

static gint
compare_items (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const queue_item_t *left = a;
  const queue_item_t *right = b;
  if (left->rank != right->rank)
    return left->rank < right->rank ? -1 : 1;
  return (left->number > right->number) - (left->number < right->number);
}

/* Self-clocked fair queueing: the rank is the virtual time at which the item
   would be finished if each organisation were served at its weight.  */
static void
rank_fair (queue_t *queue, queue_item_t *item)
{
  item->lane = CLAMP (item->priority, 0, QUEUE_LANES - 1);
  queue_lane_t *lane = &queue->lanes[item->lane];
  if (item->resumed)
    {
      item->rank = 0;
      return;
    }
  queue_flow_t *flow = g_hash_table_lookup (lane->flows, item->organisation);
  if (!flow)
    {
      flow = g_new0 (queue_flow_t, 1);
      g_hash_table_insert (lane->flows, g_strdup (item->organisation), flow);
    }
  item->rank = MAX (lane->virtual_time, flow->finish)
               + MAX (item->tokens, 1) / MAX (item->weight, 1e-9);
  flow->finish = item->rank;
}

/* All items get the same rank, so they are served in the order of arrival.  */
static void
rank_fifo (queue_t *queue, queue_item_t *item)
{
  (void)queue;
  item->lane = 0;
  item->rank = 0;
}

const queue_ops_t queue_fair = { .set_rank = rank_fair };
const queue_ops_t queue_fifo = { .set_rank = rank_fifo };

void
queue_init (queue_t *queue, const queue_ops_t *ops, size_t limit,
            size_t organisation_limit)
{
  *queue = (queue_t){ .ops = ops ? ops : &queue_fair,
                      .limit = limit,
                      .organisation_limit = organisation_limit };
  queue->lengths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (int i = 0; i < QUEUE_LANES; i++)
    {
      queue->lanes[i].items = g_sequence_new (NULL);
      queue->lanes[i].flows
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
    }
}

void
queue_clear (queue_t *queue)
{
  for (int i = 0; i < QUEUE_LANES; i++)
    {
      g_sequence_free (queue->lanes[i].items);
      g_hash_table_unref (queue->lanes[i].flows);
    }
  g_hash_table_unref (queue->lengths);
}

size_t
queue_lane_length (const queue_t *queue, int lane)
{
  return (size_t)g_sequence_get_length (queue->lanes[lane].items);
}

size_t
queue_organisation_length (const queue_t *queue, const char *organisation)
{
  return GPOINTER_TO_SIZE (g_hash_table_lookup (queue->lengths, organisation));
}

static void
change_length (queue_t *queue, const char *organisation, int change)
{
  size_t length
      = queue_organisation_length (queue, organisation) + (size_t)change;
  queue->length += (size_t)change;
  if (length)
    g_hash_table_replace (queue->lengths, g_strdup (organisation),
                          GSIZE_TO_POINTER (length));
  else
    g_hash_table_remove (queue->lengths, organisation);
}

/* Last item in the order of service that was never sent, or NULL.  */
static queue_item_t *
last_unsent (const queue_t *queue)
{
  for (int i = QUEUE_LANES; i-- > 0;)
    {
      GSequenceIter *end = g_sequence_get_end_iter (queue->lanes[i].items);
      if (g_sequence_iter_is_begin (end))
        continue;
      queue_item_t *item = g_sequence_get (g_sequence_iter_prev (end));
      if (!item->resumed)
        return item;
    }
  return NULL;
}

queue_verdict_t
queue_add (queue_t *queue, queue_item_t *item, queue_item_t **displaced)
{
  *displaced = NULL;
  if (!item->resumed
      && queue_organisation_length (queue, item->organisation)
             >= queue->organisation_limit)
    return QUEUE_ORGANISATION_FULL;
  queue_item_t *last = last_unsent (queue);
  bool full = !item->resumed && queue->length >= queue->limit;
  item->number = queue->number++;
  queue->ops->set_rank (queue, item);
  if (full
      && (!last || item->lane > last->lane
          || (item->lane == last->lane
              && compare_items (item, last, NULL) >= 0)))
    return QUEUE_FULL;
  if (full)
    *displaced = last;
  queue_lane_t *lane = &queue->lanes[item->lane];
  item->place
      = g_sequence_insert_sorted (lane->items, item, compare_items, NULL);
  change_length (queue, item->organisation, 1);
  return QUEUE_ADDED;
}

/* ITEM is served: advance the virtual time of its lane, and owe each lane with
   waiting items its minimum share of the tokens of ITEM.  */
static void
charge_served (queue_t *queue, const queue_item_t *item)
{
  queue_lane_t *item_lane = &queue->lanes[item->lane];
  item_lane->virtual_time = MAX (item_lane->virtual_time, item->rank);
  for (int i = 0; i < QUEUE_LANES; i++)
    if (!g_sequence_is_empty (queue->lanes[i].items))
      queue->lanes[i].owed_tokens += MIN_SHARE * item->tokens;
  item_lane->owed_tokens = MAX (item_lane->owed_tokens - item->tokens, 0);
}

void
queue_remove (queue_t *queue, queue_item_t *item, bool served)
{
  if (!item->place)
    return;
  queue_lane_t *lane = &queue->lanes[item->lane];
  if (served)
    charge_served (queue, item);
  g_sequence_remove (item->place);
  item->place = NULL;
  change_length (queue, item->organisation, -1);
  if (!g_sequence_is_empty (lane->items))
    return;
  lane->owed_tokens = 0;
  lane->virtual_time = 0;
  g_hash_table_remove_all (lane->flows);
}

static bool
is_owed_tokens (const queue_lane_t *lane)
{
  if (g_sequence_is_empty (lane->items))
    return false;
  const queue_item_t *head
      = g_sequence_get (g_sequence_get_begin_iter (lane->items));
  return lane->owed_tokens >= MAX (head->tokens, 1);
}

static queue_item_t *
walk_lane (const queue_lane_t *lane, queue_fn_t fn, void *data)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (lane->items);
  for (; !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
    {
      queue_item_t *item = g_sequence_get (iter);
      if (fn (item, data))
        return item;
    }
  return NULL;
}

queue_item_t *
queue_walk (const queue_t *queue, queue_fn_t fn, void *data)
{
  /* Lanes that are owed their minimum share come first.  */
  for (int pass = 0; pass < 2; pass++)
    for (int i = 0; i < QUEUE_LANES; i++)
      {
        const queue_lane_t *lane = &queue->lanes[i];
        if (is_owed_tokens (lane) != (pass == 0))
          continue;
        queue_item_t *item = walk_lane (lane, fn, data);
        if (item)
          return item;
      }
  return NULL;
}
