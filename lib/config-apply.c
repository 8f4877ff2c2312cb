/* The command "apply": writes both lists in one compare-and-set.  */

#include "config-data.h"

#include <stdlib.h>
#include <string.h>

static void
add_finding (const kwf_finding_t *finding, void *data)
{
  json_t *findings = data;
  json_array_append_new (
      findings,
      json_pack ("{s:s, s:i, s:s, s:s, s:s}", "file", finding->file, "line",
                 finding->line, "field", finding->field, "found",
                 finding->found, "allowed", finding->allowed));
}

/* Whether the lists are valid; if not, the operator is answered 400.  */
static bool
check_lists (const kwf_operator_event_t *event, kwf_effects_t *effects)
{
  json_t *findings = json_array ();
  kwf_lists_t *lists = kwf_lists_parse (event->plans, "plans", event->uses,
                                        "uses", add_finding, findings);
  kwf_lists_free (lists);
  if (lists)
    {
      json_decref (findings);
      return true;
    }
  json_t *body = reply_error ("invalid_lists", "the lists have findings");
  json_object_set_new (json_object_get (body, "error"), "findings", findings);
  reply_json (event->handle, 400, body, effects);
  return false;
}

static void
reply_conflict (const config_t *config, command_t *command, bool applied,
                kwf_effects_t *effects)
{
  json_t *body = reply_error (
      "conflict", applied ? "your lists took effect and were replaced since"
                          : "the lists changed since the version that was "
                            "edited; nothing was written");
  if (applied)
    json_object_set_new (body, "applied", json_true ());
  reply_add_lists (config, body);
  reply_command (command, 409, body, effects);
  kwf_effects_log (effects, 405, KWF_LOG_INFO, NULL,
                   "apply conflicts: version %lld was edited, %lld is stored",
                   (long long)command->base_version,
                   (long long)config_stored_version (config));
}

void
apply_send (config_t *config, command_t *command, kwf_effects_t *effects)
{
  kwf_condition_t *conditions
      = kwf_effects_alloc (effects, 2 * sizeof *conditions);
  conditions[0] = (kwf_condition_t){ .key = CONFIG_PLANS_ROW_KEY,
                                     .version = command->plans_version };
  conditions[1] = (kwf_condition_t){ .key = CONFIG_USES_ROW_KEY,
                                     .version = command->uses_version };
  kwf_put_t *puts = kwf_effects_alloc (effects, 2 * sizeof *puts);
  puts[0] = (kwf_put_t){ .key = CONFIG_PLANS_ROW_KEY,
                         .value = kwf_effects_strdup (effects,
                                                      command->plans_value) };
  puts[1] = (kwf_put_t){ .key = CONFIG_USES_ROW_KEY,
                         .value
                         = kwf_effects_strdup (effects, command->uses_value) };
  kwf_txn_t txn = {
    .conditions = conditions, .n_conditions = 2, .puts = puts, .n_puts = 2
  };
  command_send (config, command, &txn, effects);
}

/* Whether ID is one of the apply ids that ROW keeps.  */
static bool
has_apply_id (const list_row_t *row, const char *id)
{
  for (guint i = 0; row->apply_ids && i < row->apply_ids->len; i++)
    if (strcmp (g_ptr_array_index (row->apply_ids, i), id) == 0)
      return true;
  return false;
}

static const char *
newest_apply_id (const list_row_t *row)
{
  return row->apply_ids && row->apply_ids->len
             ? g_ptr_array_index (row->apply_ids, 0)
             : "";
}

static void
reply_applied (config_t *config, command_t *command, int64_t version,
               kwf_effects_t *effects)
{
  kwf_effects_log (effects, 404, KWF_LOG_INFO, NULL,
                   "lists of version %lld replace version %lld",
                   (long long)version, (long long)command->base_version);
  reply_command (command, 200,
                 json_pack ("{s:I}", "version", (json_int_t)version), effects);
  command_end (config, command);
}

/* Compare the rows with the write of COMMAND, whose conditions no longer hold,
   and answer the operator.  Return false when the rows do not show whether the
   write took effect.  */
static bool
settle_by_rows (config_t *config, command_t *command, kwf_effects_t *effects)
{
  const list_row_t *row = &config->plans;
  if (strcmp (newest_apply_id (row), command->apply_id) == 0)
    {
      reply_applied (config, command, config_stored_version (config), effects);
      return true;
    }
  bool applied = has_apply_id (row, command->apply_id);
  /* The apply id that the write would have replaced is still among the row's
     ids, so no id since then is missing.  */
  bool complete = *command->replaced_id
                      ? has_apply_id (row, command->replaced_id)
                      : row->apply_ids && row->apply_ids->len
                            && row->apply_ids->len <= CONFIG_MAX_EARLIER;
  bool newer = config_stored_version (config) > command->base_version;
  bool unsettled = command->in_doubt || command->op;
  if (unsettled && !applied && !(newer && complete))
    return false;
  reply_conflict (config, command, applied, effects);
  command_end (config, command);
  return true;
}

/* Send the write if the stored version is the one that was edited.  */
static void
start_write (config_t *config, command_t *command, kwf_effects_t *effects)
{
  if (command->base_version != config_stored_version (config))
    {
      reply_conflict (config, command, false, effects);
      command_end (config, command);
      return;
    }
  command->replaced_id = g_strdup (newest_apply_id (&config->plans));
  command->plans_version = config->plans.version;
  command->uses_version = config->uses.version;
  command->plans_value
      = list_row_value (command->plans, command->apply_id, &config->plans);
  command->uses_value
      = list_row_value (command->uses, command->apply_id, &config->uses);
  apply_send (config, command, effects);
}

static char *
new_apply_id (config_t *config)
{
  uint64_t parts[2];
  config->random->ops->fill (config->random, parts, sizeof parts);
  return g_strdup_printf ("%016llx%016llx", (unsigned long long)parts[0],
                          (unsigned long long)parts[1]);
}

void
apply_begin (config_t *config, const kwf_operator_event_t *event,
             kwf_effects_t *effects)
{
  if (!event->plans || !event->uses || event->version < 0)
    {
      reply_json (event->handle, 400,
                  reply_error ("invalid_request",
                               "plans, uses and version are needed"),
                  effects);
      return;
    }
  if (!check_lists (event, effects))
    return;
  command_t *command = command_new (config, event);
  command->plans = g_strdup (event->plans);
  command->uses = g_strdup (event->uses);
  command->apply_id = new_apply_id (config);
  command->base_version = event->version;
  /* The operator may have read the version from an instance that has newer
     rows than this one.  */
  if (event->version > config_stored_version (config))
    command_read (config, command, "list/", effects);
  else
    start_write (config, command, effects);
}

/* Log that nothing was written, answer the operator and end COMMAND.  The
   write failed, or was not sent because the read before it failed.  */
static void
end_not_written (config_t *config, command_t *command, kwf_effects_t *effects)
{
  kwf_effects_log (effects, 407, KWF_LOG_WARNING, NULL,
                   "apply failed: no write to the table was carried out");
  reply_command (command, 503,
                 reply_error ("not_written", "the table did not take the "
                                             "write; nothing was written"),
                 effects);
  command_end (config, command);
}

/* The write took effect at REVISION, so its rows are known without reading
   them.  */
static void
add_written_rows (config_t *config, const command_t *command, int64_t revision,
                  kwf_effects_t *effects)
{
  kwf_row_t rows[2] = {
    { .key = CONFIG_PLANS_ROW_KEY,
      .version = revision,
      .value = command->plans_value },
    { .key = CONFIG_USES_ROW_KEY,
      .version = revision,
      .value = command->uses_value },
  };
  config_add_command_rows (config, rows, 2, effects);
}

static void
handle_read (config_t *config, command_t *command,
             const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  /* The operator was answered that nothing was written.  */
  if (command->replied && !command->write_sent)
    {
      command_end (config, command);
      return;
    }
  if (reply->outcome != KWF_STORE_COMMITTED)
    {
      if (command->write_sent)
        command_retry_later (config, command);
      else
        end_not_written (config, command, effects);
      return;
    }
  config_add_command_rows (config, reply->rows, reply->n_rows, effects);
  if (!command->write_sent)
    start_write (config, command, effects);
  else if (config_stored_version (config) == command->base_version
           || !settle_by_rows (config, command, effects))
    command_retry_later (config, command);
}

void
apply_store_reply (config_t *config, command_t *command,
                   const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  if (command->op_is_read)
    {
      handle_read (config, command, reply, effects);
      return;
    }
  switch (reply->outcome)
    {
    case KWF_STORE_COMMITTED:
      add_written_rows (config, command, reply->revision, effects);
      reply_applied (config, command, reply->revision, effects);
      return;
    case KWF_STORE_CONFLICT:
      config_add_command_rows (config, reply->conflicts, reply->n_conflicts,
                               effects);
      if (!settle_by_rows (config, command, effects))
        command_read (config, command, "list/", effects);
      return;
    case KWF_STORE_FAILED:
      if (!command->in_doubt)
        {
          end_not_written (config, command, effects);
          return;
        }
      break;
    case KWF_STORE_UNKNOWN:
      break;
    }
  command_retry_later (config, command);
}

void
apply_rows_updated (config_t *config, command_t *command,
                    kwf_effects_t *effects)
{
  if (!command->write_sent)
    return;
  if (config_stored_version (config) > command->base_version)
    {
      /* Other lists have replaced the version that was edited, so the write
         cannot take effect any more.  The operator was already answered that
         the outcome is unknown.  */
      if (!settle_by_rows (config, command, effects) && command->replied)
        command_end (config, command);
    }
  /* The rows have not changed, long after the last write was sent.  */
  else if (command->replied
           && kwf_now_ns (config->clock) >= command->forget_ns)
    {
      kwf_effects_log (effects, 408, KWF_LOG_INFO, NULL,
                       "apply did not take effect");
      command_end (config, command);
    }
}
