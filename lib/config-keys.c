/* The commands "key add" and "key withdraw".

   While a withdrawal is open, this instance and its peers refuse the key.  */

#include "config-data.h"

#include <stdlib.h>
#include <string.h>

/* Write the row of the command's key, on condition that the row has
   VERSION.  */
static void
send_key_row (config_t *config, command_t *command, int64_t version,
              const char *organisation, bool withdrawn, int64_t added_ms,
              kwf_effects_t *effects)
{
  const char *key = kwf_effects_printf (
      effects, "%s%s", CONFIG_API_KEY_ROW_PREFIX, command->digest);
  char *value = key_row_value (organisation, withdrawn, added_ms);
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  *condition = (kwf_condition_t){ .key = key, .version = version };
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *put = (kwf_put_t){ .key = key,
                      .value = kwf_effects_strdup (effects, value) };
  free (value);
  kwf_txn_t txn = {
    .conditions = condition, .n_conditions = 1, .puts = put, .n_puts = 1
  };
  command_send (config, command, &txn, effects);
}

/* The write took effect at REVISION, so its row is known without reading
   it.  */
static void
add_written_row (config_t *config, const command_t *command, int64_t revision,
                 const char *organisation, bool withdrawn, int64_t added_ms,
                 kwf_effects_t *effects)
{
  char *value = key_row_value (organisation, withdrawn, added_ms);
  kwf_row_t row
      = { .key = kwf_effects_printf (
              effects, "%s%s", CONFIG_API_KEY_ROW_PREFIX, command->digest),
          .version = revision,
          .value = value };
  config_add_command_rows (config, &row, 1, effects);
  free (value);
}

static void
reply_not_written (command_t *command, kwf_effects_t *effects)
{
  reply_command (command, 503,
                 reply_error ("not_written", "the table did not take the "
                                             "write; nothing was written"),
                 effects);
}

void
key_add_begin (config_t *config, const kwf_operator_event_t *event,
               kwf_effects_t *effects)
{
  if (!event->organisation || !config->lists
      || !kwf_lists_organisation (config->lists, event->organisation))
    {
      reply_json (event->handle, 404,
                  reply_error ("unknown_organisation",
                               "the lists in force have no organisation of "
                               "this name"),
                  effects);
      return;
    }
  if (!config_is_digest (event->digest))
    {
      reply_json (
          event->handle, 400,
          reply_error ("invalid_digest", "a digest has 64 hexadecimal digits"),
          effects);
      return;
    }
  command_t *command = command_new (config, event);
  command->added_ms = kwf_wall_ms (config->clock);
  key_add_send (config, command, effects);
}

void
key_add_send (config_t *config, command_t *command, kwf_effects_t *effects)
{
  send_key_row (config, command, 0, command->organisation, false,
                command->added_ms, effects);
}

static void
reply_key_added (config_t *config, command_t *command, kwf_effects_t *effects)
{
  kwf_effects_log (effects, 412, KWF_LOG_INFO, NULL, "key %.16s added for %s",
                   command->digest, command->organisation);
  reply_command (command, 200, json_pack ("{s:s}", "digest", command->digest),
                 effects);
  command_end (config, command);
}

void
key_add_store_reply (config_t *config, command_t *command,
                     const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  const key_row_t *row;
  switch (reply->outcome)
    {
    case KWF_STORE_COMMITTED:
      add_written_row (config, command, reply->revision, command->organisation,
                       false, command->added_ms, effects);
      reply_key_added (config, command, effects);
      return;
    case KWF_STORE_CONFLICT:
      /* Digests are random, so the row can only be this command's own.  */
      config_add_command_rows (config, reply->conflicts, reply->n_conflicts,
                               effects);
      row = config_key_row (config, command->digest);
      if (command->in_doubt && row && !row->withdrawn)
        {
          reply_key_added (config, command, effects);
          return;
        }
      reply_command (command, 409,
                     reply_error ("conflict", "there is such a key already"),
                     effects);
      command_end (config, command);
      return;
    case KWF_STORE_FAILED:
      if (!command->in_doubt)
        {
          kwf_effects_log (effects, 407, KWF_LOG_WARNING, NULL,
                           "key add failed: the table did not take the "
                           "write");
          reply_not_written (command, effects);
          command_end (config, command);
          return;
        }
      break;
    case KWF_STORE_UNKNOWN:
      break;
    }
  command_retry_later (config, command);
}

static void
send_withdraw_message (const char *instance, const char *digest, bool lifted,
                       kwf_effects_t *effects)
{
  const char *to = kwf_effects_strdup (effects, instance);
  const char *copy = kwf_effects_strdup (effects, digest);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_PEER_SEND);
  effect->send.instance = to;
  effect->send.message
      = (kwf_message_t){ .type = KWF_MSG_WITHDRAW,
                         .withdraw = { .digest = copy, .lifted = lifted } };
}

void
withdraw_push (config_t *config, const session_t *session, command_t *command,
               kwf_effects_t *effects)
{
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      if (g_strcmp0 (member.instance, config->instance) == 0)
        continue;
      send_withdraw_message (member.instance, command->digest, false, effects);
      if (member.linked)
        g_hash_table_add (command->confirmed, g_strdup (member.instance));
    }
  command->push_ns = kwf_now_ns (config->clock) + CONFIG_PUSH_NS;
}

void
withdraw_peer_up (config_t *config, command_t *command, const char *instance,
                  kwf_effects_t *effects)
{
  (void)config;
  send_withdraw_message (instance, command->digest, false, effects);
  g_hash_table_add (command->confirmed, g_strdup (instance));
}

/* Whether another command that has not ended withdraws the same key.  */
static bool
has_other_withdrawal (const config_t *config, const command_t *command)
{
  for (guint i = 0; i < config->commands->len; i++)
    {
      const command_t *other = g_ptr_array_index (config->commands, i);
      if (other != command && other->kind == KWF_OPERATOR_KEY_WITHDRAW
          && strcmp (other->digest, command->digest) == 0)
        return true;
    }
  return false;
}

/* The withdrawal certainly did not happen: end the suspension everywhere.  */
static void
undo_withdrawal (config_t *config, const session_t *session,
                 command_t *command, kwf_effects_t *effects)
{
  if (has_other_withdrawal (config, command))
    {
      command_end (config, command);
      return;
    }
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      if (g_strcmp0 (member.instance, config->instance) != 0)
        send_withdraw_message (member.instance, command->digest, true,
                               effects);
    }
  config_lift_suspension (config, command->digest, config->instance);
  command_end (config, command);
}

static bool
is_confirmed (const config_t *config, const command_t *command,
              const session_member_t *member)
{
  return g_strcmp0 (member->instance, config->instance) == 0
         || g_hash_table_contains (command->confirmed, member->instance);
}

bool
withdraw_confirmed_by_all (const config_t *config, const session_t *session,
                           const command_t *command)
{
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      if (!is_confirmed (config, command, &member))
        return false;
    }
  return true;
}

json_t *
withdraw_members (const config_t *config, const session_t *session,
                  const command_t *command)
{
  json_t *confirmed = json_array ();
  json_t *unconfirmed = json_array ();
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      json_array_append_new (
          is_confirmed (config, command, &member) ? confirmed : unconfirmed,
          json_string (member.instance));
    }
  return json_pack ("{s:s, s:o, s:o}", "digest", command->digest, "confirmed",
                    confirmed, "unconfirmed", unconfirmed);
}

static void
reply_withdrawn (config_t *config, const session_t *session,
                 command_t *command, kwf_effects_t *effects)
{
  json_t *body = withdraw_members (config, session, command);
  size_t n = json_array_size (json_object_get (body, "unconfirmed"));
  kwf_effects_log (effects, 413, n ? KWF_LOG_WARNING : KWF_LOG_INFO, NULL,
                   "key %.16s withdrawn; %zu members have not confirmed",
                   command->digest, n);
  reply_command (command, 200, body, effects);
  command_end (config, command);
}

void
withdraw_begin (config_t *config, const session_t *session,
                const kwf_operator_event_t *event, kwf_effects_t *effects)
{
  if (!config_is_digest (event->digest))
    {
      reply_json (
          event->handle, 400,
          reply_error ("invalid_digest", "a digest has 64 hexadecimal digits"),
          effects);
      return;
    }
  command_t *command = command_new (config, event);
  command->confirmed
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  withdraw_push (config, session, command, effects);
  const key_row_t *row = config_key_row (config, command->digest);
  if (row && row->withdrawn)
    {
      reply_withdrawn (config, session, command, effects);
      return;
    }
  config_suspend (config, command->digest, config->instance, INT64_MAX);
  withdraw_send (config, command, effects);
}

/* Write the row as withdrawn.  If the row is not known, read it first: the key
   may just have been added through another instance.  */
void
withdraw_send (config_t *config, command_t *command, kwf_effects_t *effects)
{
  const key_row_t *row = config_key_row (config, command->digest);
  if (!row)
    {
      char *key
          = g_strconcat (CONFIG_API_KEY_ROW_PREFIX, command->digest, NULL);
      command_read (config, command, key, effects);
      g_free (key);
      return;
    }
  command->tried_version = row->version;
  send_key_row (config, command, row->version,
                row->organisation ? row->organisation : "", true,
                row->added_ms, effects);
}

/* Continue according to the row that is now known.  */
static void
continue_with_row (config_t *config, const session_t *session,
                   command_t *command, kwf_effects_t *effects)
{
  const key_row_t *row = config_key_row (config, command->digest);
  if (!row)
    {
      reply_command (command, 404,
                     reply_error ("unknown_key", "there is no such key"),
                     effects);
      undo_withdrawal (config, session, command, effects);
    }
  else if (row->withdrawn)
    reply_withdrawn (config, session, command, effects);
  else if (row->version != command->tried_version)
    withdraw_send (config, command, effects);
  /* The conflict did not show the row as it is now.  */
  else if (!command->op_is_read)
    {
      char *key
          = g_strconcat (CONFIG_API_KEY_ROW_PREFIX, command->digest, NULL);
      command_read (config, command, key, effects);
      g_free (key);
    }
  else
    command_retry_later (config, command);
}

static void
withdraw_failed (config_t *config, const session_t *session,
                 command_t *command, kwf_effects_t *effects)
{
  kwf_effects_log (effects, 407, KWF_LOG_WARNING, NULL,
                   "key withdraw failed: the table did not take the write");
  reply_not_written (command, effects);
  undo_withdrawal (config, session, command, effects);
}

void
withdraw_store_reply (config_t *config, const session_t *session,
                      command_t *command, const kwf_store_reply_t *reply,
                      kwf_effects_t *effects)
{
  const key_row_t *row = config_key_row (config, command->digest);
  /* The operator was answered that nothing was written.  */
  if (command->replied && !command->write_sent)
    {
      undo_withdrawal (config, session, command, effects);
      return;
    }
  switch (reply->outcome)
    {
    case KWF_STORE_COMMITTED:
      if (command->op_is_read)
        config_add_command_rows (config, reply->rows, reply->n_rows, effects);
      else if (row)
        add_written_row (config, command, reply->revision,
                         row->organisation ? row->organisation : "", true,
                         row->added_ms, effects);
      continue_with_row (config, session, command, effects);
      return;
    case KWF_STORE_CONFLICT:
      config_add_command_rows (config, reply->conflicts, reply->n_conflicts,
                               effects);
      continue_with_row (config, session, command, effects);
      return;
    case KWF_STORE_FAILED:
    case KWF_STORE_UNKNOWN:
      break;
    }
  if (!command->in_doubt)
    withdraw_failed (config, session, command, effects);
  else
    command_retry_later (config, command);
}
