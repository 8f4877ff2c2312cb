/* Answers to operators, as JSON.  */

#include "config-data.h"

#include <stdlib.h>

void
reply_json (kwf_handle_t request, int status, json_t *body,
            kwf_effects_t *effects)
{
  char *text = json_dumps (body, JSON_COMPACT);
  char *copy = kwf_effects_strdup (effects, text ? text : "{}");
  free (text);
  json_decref (body);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_OPERATOR_REPLY);
  effect->operator_reply = (kwf_operator_reply_t){ .request = request,
                                                   .status = status,
                                                   .body = copy };
}

json_t *
reply_error (const char *code, const char *message)
{
  return json_pack ("{s:{s:s, s:s}}", "error", "code", code, "message",
                    message);
}

void
reply_command (command_t *command, int status, json_t *body,
               kwf_effects_t *effects)
{
  if (command->replied)
    {
      json_decref (body);
      return;
    }
  command->replied = true;
  reply_json (command->request, status, body, effects);
}

void
reply_add_lists (const config_t *config, json_t *body)
{
  int64_t version = config_stored_version (config);
  const char *plans = config->plans.text ? config->plans.text : "";
  const char *uses = config->uses.text ? config->uses.text : "";
  json_object_set_new (body, "version", json_integer (version));
  json_object_set_new (body, "plans", json_string (plans));
  json_object_set_new (body, "uses", json_string (uses));
  /* The rows have lists that this program cannot read.  */
  if (version != config->version)
    json_object_set_new (body, "in_force", json_integer (config->version));
}
