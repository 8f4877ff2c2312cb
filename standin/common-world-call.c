/* Requests of callers, and commands of operators, in the fake world.  */

#include "common-world.h"

int64_t
world_metric (const world_node_t *node, const char *name)
{
  char *text = kwf_core_metrics (node->core);
  char *key = g_strdup_printf ("\n%s ", name);
  const char *at = strstr (text, key);
  int64_t value = at ? g_ascii_strtoll (at + strlen (key), NULL, 10) : 0;
  g_free (key);
  free (text);
  return value;
}

void
world_operator_command (world_t *world, int index,
                        kwf_operator_command_t command,
                        const char *organisation, const char *digest)
{
  world_node_step (
      &world->nodes[index],
      &(kwf_event_t){
          .type = KWF_EV_OPERATOR,
          .operator_ = { .handle = ++world->next_handle,
                         .command = command,
                         .plans = world->lists_plans->str,
                         .uses = world->lists_uses->str,
                         .version = world_metric (&world->nodes[index],
                                                  "kwf_configuration_version"),
                         .organisation = organisation,
                         .digest = digest } });
}

void
world_key_digest (const char *organisation, char digest[65])
{
  char *text
      = g_compute_checksum_for_string (G_CHECKSUM_SHA256, organisation, -1);
  g_strlcpy (digest, text, 65);
  g_free (text);
}

world_request_t *
world_request_new (world_t *world, const char *name, int index)
{
  world_request_t *request = g_new0 (world_request_t, 1);
  g_ptr_array_add (world->requests, request);
  request->name = world_text (world, name);
  request->node = &world->nodes[index];
  request->tokens = g_array_new (FALSE, TRUE, sizeof (int));
  request->handle = ++world->next_handle;
  g_hash_table_replace (world->requests_by_name, request->name, request);
  g_hash_table_replace (world->requests_by_handle, &request->handle, request);
  return request;
}

void
world_request_send (world_t *world, void *data)
{
  world_request_t *request = data;
  request->sent_ns = world->now_ns;
  request->incarnation = request->node->incarnation;
  if (!request->node->up || request->node->exited)
    {
      /* The instance is down: the connection is refused.  */
      request->done = true;
      request->code = "no_instance";
      return;
    }
  world_node_step (request->node, &(kwf_event_t){ .type = KWF_EV_REQUEST,
                                                  .request = request->event });
}
