/* Links between the instances of the fake world.  */

#include "common-world.h"

#include <string.h>

#define LINK_NS (1 * MS)
#define LINK_AGAIN_NS (200 * MS)

typedef struct
{
  world_node_t *from;
  world_node_t *to;
  uint64_t from_incarnation;
  uint64_t to_incarnation;
  kwf_event_t event;
} delivery_t;

typedef struct
{
  char text[32];
} link_key_t;

static link_key_t
link_key (const world_node_t *a, const world_node_t *b)
{
  link_key_t key;
  g_snprintf (key.text, sizeof key.text, "%d-%d", MIN (a->index, b->index),
              MAX (a->index, b->index));
  return key;
}

static bool
is_linked (world_t *world, const world_node_t *a, const world_node_t *b)
{
  return g_hash_table_contains (world->links, link_key (a, b).text);
}

static void
notify_link (world_node_t *node, const world_node_t *peer, bool up,
             bool refused)
{
  kwf_event_t event = { .type = up ? KWF_EV_PEER_UP : KWF_EV_PEER_DOWN,
                        .peer = { .instance = peer->name,
                                  .incarnation = peer->incarnation,
                                  .refused = refused } };
  if (node->up)
    world_node_step (node, &event);
}

static void
connect_link (world_t *world, void *data)
{
  delivery_t *delivery = data;
  world_node_t *from = delivery->from;
  world_node_t *to = delivery->to;
  if (!from->up || from->incarnation != delivery->from_incarnation
      || is_linked (world, from, to))
    return;
  if (!to->up || world->links_cut)
    {
      notify_link (from, to, false, !to->up);
      world_at (world, world->now_ns + LINK_AGAIN_NS, connect_link, delivery);
      return;
    }
  g_hash_table_add (world->links,
                    world_text (world, link_key (from, to).text));
  notify_link (from, to, true, false);
  notify_link (to, from, true, false);
}

static world_node_t *
find_node (world_t *world, const char *name)
{
  for (int i = 0; i < world->n_nodes; i++)
    if (strcmp (world->nodes[i].name, name) == 0)
      return &world->nodes[i];
  return NULL;
}

void
world_node_link (world_node_t *node, const char *instance)
{
  world_t *world = node->world;
  world_node_t *to = find_node (world, instance);
  if (!to || to == node)
    return;
  delivery_t *delivery = world_alloc (world, sizeof *delivery);
  *delivery = (delivery_t){ .from = node,
                            .to = to,
                            .from_incarnation = node->incarnation };
  world_at (world, world->now_ns + LINK_NS, connect_link, delivery);
}

static void
deliver_message (world_t *world, void *data)
{
  (void)world;
  delivery_t *delivery = data;
  if (delivery->to->up && delivery->to->incarnation == delivery->to_incarnation
      && is_linked (delivery->to->world, delivery->from, delivery->to))
    world_node_step (delivery->to, &delivery->event);
}

void
world_node_send (world_node_t *node, const char *instance,
                 const kwf_message_t *message)
{
  world_t *world = node->world;
  world_node_t *to = find_node (world, instance);
  if (!to || !to->up || world->links_cut || !is_linked (world, node, to))
    return;
  kwf_message_t *copy = world_scratch (world, sizeof *copy);
  *copy = *message;
  delivery_t *delivery = world_scratch (world, sizeof *delivery);
  *delivery
      = (delivery_t){ .from = node,
                      .to = to,
                      .to_incarnation = to->incarnation,
                      .event = { .type = KWF_EV_PEER_MESSAGE,
                                 .peer = { .instance = node->name,
                                           .incarnation = node->incarnation,
                                           .message = copy } } };
  world_at (world, world->now_ns + world->link_ns, deliver_message, delivery);
}

void
world_node_unlink (world_node_t *node)
{
  world_t *world = node->world;
  for (int i = 0; i < world->n_nodes; i++)
    {
      world_node_t *peer = &world->nodes[i];
      if (peer == node
          || !g_hash_table_remove (world->links, link_key (node, peer).text))
        continue;
      notify_link (peer, node, false, false);
      world_node_link (peer, node->name);
    }
}
