/* Operators' commands, from the event to the answer.

   A write that was not answered is sent again unchanged.  Its conditions hold
   only if the first one did not take effect, so the second answer shows the
   outcome of both.  */

#include "config-data.h"
#include "op.h"

#include <stdlib.h>

void
command_free (void *data)
{
  command_t *command = data;
  g_free (command->plans);
  g_free (command->uses);
  g_free (command->apply_id);
  g_free (command->replaced_id);
  free (command->plans_value);
  free (command->uses_value);
  g_free (command->digest);
  g_free (command->organisation);
  if (command->confirmed)
    g_hash_table_destroy (command->confirmed);
  g_free (command);
}

command_t *
command_new (config_t *config, const kwf_operator_event_t *event)
{
  command_t *command = g_new0 (command_t, 1);
  command->kind = event->command;
  command->request = event->handle;
  command->deadline_ns = kwf_now_ns (config->clock) + CONFIG_COMMAND_NS;
  command->retry_ns = INT64_MAX;
  command->forget_ns = INT64_MAX;
  command->push_ns = INT64_MAX;
  command->digest = g_strdup (event->digest);
  command->organisation = g_strdup (event->organisation);
  g_ptr_array_add (config->commands, command);
  return command;
}

void
command_end (config_t *config, command_t *command)
{
  g_ptr_array_remove (config->commands, command);
}

/* Transaction numbers are random, so that late replies to a previous process
   of this instance are not taken for replies to this one.  */
static kwf_handle_t
new_op (config_t *config)
{
  uint64_t number;
  config->random->ops->fill (config->random, &number, sizeof number);
  return op_handle (OP_CONFIG, number);
}

void
command_send (config_t *config, command_t *command, const kwf_txn_t *txn,
              kwf_effects_t *effects)
{
  command->op = new_op (config);
  command->retry_ns = INT64_MAX;
  command->op_is_read = txn->n_puts == 0;
  if (!command->op_is_read)
    {
      command->write_sent = true;
      command->forget_ns
          = kwf_now_ns (config->clock) + CONFIG_STORE_NS + CONFIG_IN_FLIGHT_NS;
    }
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = command->op;
  effect->store.timeout_ns = CONFIG_STORE_NS;
  effect->store.txn = *txn;
}

void
command_read (config_t *config, command_t *command, const char *prefix,
              kwf_effects_t *effects)
{
  const char **prefixes = kwf_effects_alloc (effects, sizeof *prefixes);
  prefixes[0] = kwf_effects_strdup (effects, prefix);
  kwf_txn_t txn = { .prefixes = prefixes, .n_prefixes = 1 };
  command_send (config, command, &txn, effects);
}

void
command_retry_later (config_t *config, command_t *command)
{
  command->retry_ns
      = kwf_now_ns (config->clock)
        + (command->replied ? CONFIG_SLOW_RETRY_NS : CONFIG_RETRY_NS);
}

static void
reply_lists (const config_t *config, const kwf_operator_event_t *event,
             kwf_effects_t *effects)
{
  json_t *body = json_object ();
  reply_add_lists (config, body);
  reply_json (event->handle, 200, body, effects);
}

void
commands_begin (config_t *config, session_t *session,
                const kwf_operator_event_t *event, kwf_effects_t *effects)
{
  if (session_revision (session) == 0)
    {
      reply_json (event->handle, 503,
                  reply_error ("not_ready",
                               "this instance has not read the table yet"),
                  effects);
      return;
    }
  /* Without a lease a write would stay open until the platform answers again,
     and would keep every peer from acting during the outage.  */
  if (event->command != KWF_OPERATOR_LISTS
      && session_state (session) != SESSION_VALID)
    {
      reply_json (event->handle, 503,
                  reply_error ("not_written",
                               "this instance has no lease; nothing was "
                               "written"),
                  effects);
      return;
    }
  if (config->commands->len >= CONFIG_MAX_COMMANDS)
    {
      reply_json (event->handle, 503,
                  reply_error ("busy", "too many commands are open"), effects);
      return;
    }
  switch (event->command)
    {
    case KWF_OPERATOR_APPLY:
      apply_begin (config, event, effects);
      break;
    case KWF_OPERATOR_LISTS:
      reply_lists (config, event, effects);
      break;
    case KWF_OPERATOR_KEY_ADD:
      key_add_begin (config, event, effects);
      break;
    case KWF_OPERATOR_KEY_WITHDRAW:
      withdraw_begin (config, session, event, effects);
      break;
    case KWF_OPERATOR_STATUS:
      break;
    }
}

bool
commands_store_reply (config_t *config, session_t *session, kwf_handle_t op,
                      const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  command_t *command = NULL;
  for (guint i = 0; i < config->commands->len && !command; i++)
    {
      command_t *candidate = g_ptr_array_index (config->commands, i);
      if (candidate->op && candidate->op == op)
        command = candidate;
    }
  if (!command)
    return false;
  command->op = 0;
  if (reply->outcome == KWF_STORE_UNKNOWN && !command->op_is_read)
    command->in_doubt = true;
  if (command->kind == KWF_OPERATOR_APPLY)
    apply_store_reply (config, command, reply, effects);
  else if (command->kind == KWF_OPERATOR_KEY_ADD)
    key_add_store_reply (config, command, reply, effects);
  else
    withdraw_store_reply (config, session, command, reply, effects);
  return true;
}

void
commands_rows_updated (config_t *config, kwf_effects_t *effects)
{
  for (guint i = config->commands->len; i-- > 0;)
    {
      command_t *command = g_ptr_array_index (config->commands, i);
      if (command->kind == KWF_OPERATOR_APPLY)
        apply_rows_updated (config, command, effects);
    }
}

static const char *
command_name (const command_t *command)
{
  switch (command->kind)
    {
    case KWF_OPERATOR_APPLY:
      return "apply";
    case KWF_OPERATOR_KEY_ADD:
      return "key add";
    case KWF_OPERATOR_KEY_WITHDRAW:
      return "key withdraw";
    case KWF_OPERATOR_LISTS:
    case KWF_OPERATOR_STATUS:
      break;
    }
  return "command";
}

/* The time of the command is over: answer the operator.  */
static void
reply_timeout (config_t *config, const session_t *session, command_t *command,
               kwf_effects_t *effects)
{
  if (!command->write_sent)
    {
      reply_command (command, 503,
                     reply_error ("not_written", "the table did not answer "
                                                 "in time; nothing was "
                                                 "written"),
                     effects);
      return;
    }
  kwf_effects_log (effects, 406, KWF_LOG_WARNING, NULL,
                   "outcome of %s is unknown: the table did not answer in "
                   "time",
                   command_name (command));
  json_t *body = reply_error ("outcome_unknown",
                              "the table did not answer in time; the change "
                              "may take effect or not");
  if (command->kind == KWF_OPERATOR_KEY_WITHDRAW)
    {
      json_t *members = withdraw_members (config, session, command);
      json_object_update (body, members);
      json_decref (members);
    }
  reply_command (command, 504, body, effects);
}

static void
resend (config_t *config, command_t *command, kwf_effects_t *effects)
{
  switch (command->kind)
    {
    case KWF_OPERATOR_APPLY:
      apply_send (config, command, effects);
      break;
    case KWF_OPERATOR_KEY_ADD:
      key_add_send (config, command, effects);
      break;
    case KWF_OPERATOR_KEY_WITHDRAW:
      withdraw_send (config, command, effects);
      break;
    case KWF_OPERATOR_LISTS:
    case KWF_OPERATOR_STATUS:
      break;
    }
}

/* After its answer an apply is not sent again, because the operator may have
   given other commands meanwhile.  A withdrawal is, until it takes effect.  */
static bool
is_retried (const command_t *command)
{
  return !command->replied || command->kind == KWF_OPERATOR_KEY_WITHDRAW;
}

void
commands_tick (config_t *config, session_t *session, kwf_effects_t *effects)
{
  int64_t now = kwf_now_ns (config->clock);
  for (guint i = config->commands->len; i-- > 0;)
    {
      command_t *command = g_ptr_array_index (config->commands, i);
      if (!command->replied && now >= command->deadline_ns)
        reply_timeout (config, session, command, effects);
      if (now >= command->push_ns)
        withdraw_push (config, session, command, effects);
      if (command->op)
        continue;
      if (!is_retried (command))
        {
          command->retry_ns = INT64_MAX;
          /* A lost "key add" leaves at most the row of a key that nobody was
             given.  */
          if (command->kind == KWF_OPERATOR_KEY_ADD || !command->write_sent)
            command_end (config, command);
        }
      else if (now >= command->retry_ns)
        resend (config, command, effects);
    }
}

/* Whether an open write keeps peers that get no answer from the platform from
   assuming that nothing can change.  A "key add" does not: an instance that
   does not know the key only refuses it.  */
bool
commands_have_open_write (const config_t *config, const session_t *session)
{
  for (guint i = 0; i < config->commands->len; i++)
    {
      const command_t *command = g_ptr_array_index (config->commands, i);
      if (command->write_sent
          && (command->kind == KWF_OPERATOR_APPLY
              || (command->kind == KWF_OPERATOR_KEY_WITHDRAW
                  && !withdraw_confirmed_by_all (config, session, command))))
        return true;
    }
  return false;
}

int64_t
commands_next_tick_ns (const config_t *config)
{
  int64_t deadline = INT64_MAX;
  for (guint i = 0; i < config->commands->len; i++)
    {
      const command_t *command = g_ptr_array_index (config->commands, i);
      if (!command->replied)
        deadline = MIN (deadline, command->deadline_ns);
      if (!command->op)
        deadline = MIN (deadline, command->retry_ns);
      deadline = MIN (deadline, command->push_ns);
    }
  return deadline;
}
