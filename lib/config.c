/* The configuration in force; the other files config*.c have its parts.  */

#include "config.h"

#include <string.h>

#include "config-data.h"

static void
free_suspensions (void *list)
{
  g_array_free (list, TRUE);
}

config_t *
config_new (const kwf_core_options_t *options)
{
  config_t *config = g_new0 (config_t, 1);
  config->clock = options->clock;
  config->random = options->random;
  config->instance = g_strdup (options->instance);
  config->generation = 1;
  config->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, key_row_free);
  config->suspended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             free_suspensions);
  config->session_rows = g_array_new (FALSE, FALSE, sizeof (kwf_row_t));
  config->commands = g_ptr_array_new_with_free_func (command_free);
  return config;
}

void
config_free (config_t *config)
{
  if (!config)
    return;
  g_array_free (config->session_rows, TRUE);
  g_ptr_array_free (config->commands, TRUE);
  g_hash_table_destroy (config->suspended);
  g_hash_table_destroy (config->keys);
  kwf_lists_free (config->lists);
  list_row_clear (&config->plans);
  list_row_clear (&config->uses);
  g_free (config->instance);
  g_free (config);
}

/* A peer withdraws a key, or reports that its withdrawal certainly did not
   happen.  */
static void
handle_withdraw_message (config_t *config, const kwf_peer_event_t *peer,
                         kwf_effects_t *effects)
{
  const kwf_withdraw_t *withdraw = &peer->message->withdraw;
  if (!config_is_digest (withdraw->digest))
    return;
  if (withdraw->lifted)
    {
      config_lift_suspension (config, withdraw->digest, peer->instance);
      kwf_effects_log (effects, 410, KWF_LOG_INFO, NULL,
                       "suspension of key %.16s lifted by %s",
                       withdraw->digest, peer->instance);
      return;
    }
  const key_row_t *row = config_key_row (config, withdraw->digest);
  if (row && row->withdrawn)
    return;
  config_suspend (config, withdraw->digest, peer->instance,
                  kwf_now_ns (config->clock) + CONFIG_IN_FLIGHT_NS);
  kwf_effects_log (effects, 409, KWF_LOG_INFO, NULL,
                   "key %.16s suspended: %s withdraws it", withdraw->digest,
                   peer->instance);
}

/* Update which members the open withdrawals have reached.  */
static void
handle_link_change (config_t *config, const kwf_event_t *event,
                    kwf_effects_t *effects)
{
  const char *instance = event->peer.instance;
  for (guint i = 0; i < config->commands->len; i++)
    {
      command_t *command = g_ptr_array_index (config->commands, i);
      if (command->kind != KWF_OPERATOR_KEY_WITHDRAW)
        continue;
      if (event->type == KWF_EV_PEER_UP)
        withdraw_peer_up (config, command, instance, effects);
      else
        g_hash_table_remove (command->confirmed, instance);
    }
}

static bool
handle_event (config_t *config, session_t *session, const kwf_event_t *event,
              kwf_effects_t *effects)
{
  switch (event->type)
    {
    case KWF_EV_OPERATOR:
      if (event->operator_.command == KWF_OPERATOR_STATUS)
        return false;
      commands_begin (config, session, &event->operator_, effects);
      return true;
    case KWF_EV_STORE_REPLY:
      return commands_store_reply (config, session, event->store.op,
                                   &event->store.reply, effects);
    case KWF_EV_CONFIG:
      config_take_snapshot (config, &event->config, effects);
      return true;
    case KWF_EV_PEER_MESSAGE:
      if (event->peer.message->type != KWF_MSG_WITHDRAW)
        return false;
      handle_withdraw_message (config, &event->peer, effects);
      return true;
    case KWF_EV_PEER_UP:
    case KWF_EV_PEER_DOWN:
      handle_link_change (config, event, effects);
      return false;
    default:
      return false;
    }
}

bool
config_step (config_t *config, session_t *session, const kwf_event_t *event,
             const session_changes_t *changes, kwf_effects_t *effects)
{
  if (changes && changes->fresh)
    {
      config_update_from_rows (config, changes->rows, changes->n_rows,
                               effects);
      config_expire_suspensions (config, effects);
      commands_rows_updated (config, effects);
    }
  bool own = handle_event (config, session, event, effects);
  commands_tick (config, session, effects);
  session_keep_rows (session,
                     (const kwf_row_t *)(void *)config->session_rows->data,
                     config->session_rows->len);
  g_array_set_size (config->session_rows, 0);
  session_set_write_pending (session,
                             commands_have_open_write (config, session));
  return own;
}

const kwf_lists_t *
config_lists (const config_t *config)
{
  return config->lists;
}

int64_t
config_version (const config_t *config)
{
  return config->version;
}

uint64_t
config_generation (const config_t *config)
{
  return config->generation;
}

bool
config_key_disabled (const config_t *config, const char *digest)
{
  const key_row_t *row = config_key_row (config, digest);
  return row
         && (row->withdrawn
             || g_hash_table_contains (config->suspended, digest));
}

const char *
config_key_organisation (const config_t *config, const char *digest)
{
  const key_row_t *row = config_key_row (config, digest);
  return row && !config_key_disabled (config, digest) ? row->organisation
                                                      : NULL;
}

int64_t
config_next_tick_ns (const config_t *config)
{
  return commands_next_tick_ns (config);
}
