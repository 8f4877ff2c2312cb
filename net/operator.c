/* Operator port: health, status and metrics, configuration lists, API keys. */

#include "instance-internal.h"

#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/key.h"
#include "process.h"

/* An operator's command that waits for the core's reply.  */
typedef struct
{
  kwf_handle_t handle; /* of the operator's HTTP request */
  char *new_key; /* KEY_ADD: the key, which is shown once, in an answer with
                    status 200 */
} command_t;

void
operator_command_free (void *data)
{
  command_t *command = data;
  if (command->new_key)
    sodium_memzero (command->new_key, strlen (command->new_key));
  g_free (command->new_key);
  g_free (command);
}

static void
reply_text (instance_t *instance, kwf_handle_t handle, int status,
            const char *type, const char *text)
{
  server_reply (instance->operator_server, handle, status, type, NULL, 0, text,
                strlen (text));
}

static void
refuse (instance_t *instance, kwf_handle_t handle, int status,
        const char *code, const char *message)
{
  json_t *body
      = json_pack ("{s:{s:s,s:s}}", "error", "code", code, "message", message);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  reply_text (instance, handle, status, "application/json", text);
  free (text);
}

/* Compares keyed digests in constant time, so that timing reveals neither the
   token nor its length.  */
static bool
token_matches (const char *presented, const char *token)
{
  if (!presented || !token)
    return false;
  unsigned char salt[crypto_generichash_KEYBYTES];
  unsigned char a[crypto_generichash_BYTES];
  unsigned char b[crypto_generichash_BYTES];
  randombytes_buf (salt, sizeof salt);
  crypto_generichash (a, sizeof a, (const unsigned char *)presented,
                      strlen (presented), salt, sizeof salt);
  crypto_generichash (b, sizeof b, (const unsigned char *)token,
                      strlen (token), salt, sizeof salt);
  return sodium_memcmp (a, b, sizeof a) == 0;
}

/* What the token of a request allows.  */
typedef enum
{
  ACCESS_NONE,
  ACCESS_READ, /* commands that change nothing */
  ACCESS_ALL
} access_t;

static access_t
request_access (const instance_t *instance, const server_request_t *request)
{
  /* Without a token in the settings, operators can change nothing on this port
     and need no token to read.  */
  if (!instance->newest_settings->operator_token)
    return ACCESS_READ;
  const char *presented
      = key_from_authorization (server_header (request, "Authorization"));
  if (token_matches (presented, instance->newest_settings->operator_token))
    return ACCESS_ALL;
  return token_matches (presented, instance->newest_settings->reading_token)
             ? ACCESS_READ
             : ACCESS_NONE;
}

/* Passes EVENT to the core.  The request of HANDLE is answered by
   operator_reply, possibly later.  NEW_KEY: see command_t.  */
static void
submit_command (instance_t *instance, kwf_handle_t handle,
                kwf_operator_event_t event, char *new_key)
{
  command_t *command = g_new0 (command_t, 1);
  command->handle = handle;
  command->new_key = new_key;
  g_hash_table_insert (instance->commands, &command->handle, command);
  event.handle = handle;
  instance_step (
      instance, &(kwf_event_t){ .type = KWF_EV_OPERATOR, .operator_ = event });
}

static void
handle_apply (instance_t *instance, kwf_handle_t handle, const json_t *body)
{
  kwf_operator_event_t event = {
    .command = KWF_OPERATOR_APPLY,
    .plans = json_string_value (json_object_get (body, "plans")),
    .uses = json_string_value (json_object_get (body, "uses")),
    .version = json_integer_value (json_object_get (body, "version")),
  };
  if (!event.plans || !event.uses)
    refuse (instance, handle, 400, "invalid_request",
            "plans and uses must be given as text");
  else
    submit_command (instance, handle, event, NULL);
}

static void
compute_digest (const instance_t *instance, const char *key,
                char digest[KEY_DIGEST_SIZE])
{
  const char *pepper = instance->pepper;
  key_digest ((const unsigned char *)pepper, strlen (pepper), key, digest);
}

static void
handle_key_add (instance_t *instance, kwf_handle_t handle, const json_t *body)
{
  const char *organisation
      = json_string_value (json_object_get (body, "organisation"));
  if (!organisation)
    {
      refuse (instance, handle, 400, "invalid_request",
              "organisation must be given as text");
      return;
    }
  char *key = g_malloc0 (KEY_TEXT_SIZE);
  char digest[KEY_DIGEST_SIZE];
  key_generate (kwf_random_system (), key);
  compute_digest (instance, key, digest);
  submit_command (instance, handle,
                  (kwf_operator_event_t){ .command = KWF_OPERATOR_KEY_ADD,
                                          .organisation = organisation,
                                          .digest = digest },
                  key);
}

static void
handle_key_withdraw (instance_t *instance, kwf_handle_t handle,
                     const json_t *body)
{
  const char *key = json_string_value (json_object_get (body, "key"));
  const char *given = json_string_value (json_object_get (body, "digest"));
  char digest[KEY_DIGEST_SIZE];
  if (key)
    compute_digest (instance, key, digest);
  else if (given && strlen (given) == KEY_DIGEST_SIZE - 1)
    g_strlcpy (digest, given, sizeof digest);
  else
    {
      refuse (instance, handle, 400, "invalid_request",
              "key or a digest of 64 hex digits must be given");
      return;
    }
  submit_command (instance, handle,
                  (kwf_operator_event_t){ .command = KWF_OPERATOR_KEY_WITHDRAW,
                                          .digest = digest },
                  NULL);
}

static void
handle_post (instance_t *instance, const server_request_t *request)
{
  json_t *body = json_loadb (request->body, request->body_size, 0, NULL);
  if (!json_is_object (body))
    refuse (instance, request->handle, 400, "invalid_request",
            "the body is not a JSON object");
  else if (strcmp (request->path, "/lists") == 0)
    handle_apply (instance, request->handle, body);
  else if (strcmp (request->path, "/keys") == 0)
    handle_key_add (instance, request->handle, body);
  else if (strcmp (request->path, "/keys/withdraw") == 0)
    handle_key_withdraw (instance, request->handle, body);
  else
    refuse (instance, request->handle, 404, "not_found",
            "there is nothing at this path");
  json_decref (body);
}

/* Counts finished transfers whose answers are not whole.  */
static void
write_not_whole (GString *out, const char *to, const client_t *client)
{
  const uint64_t *counts = client_counts (client)->not_whole;
  for (int i = WHOLE_YES + 1; i < N_WHOLE; i++)
    g_string_append_printf (out,
                            "kwf_answers_not_whole_total{to=\"%s\",cause="
                            "\"%s\"} %" G_GUINT64_FORMAT "\n",
                            to, whole_name ((whole_t)i), counts[i]);
}

/* Counts answers whose end only the end of their connection marked.  */
static void
write_by_close (GString *out, const char *to, const client_t *client)
{
  g_string_append_printf (out,
                          "kwf_answers_ended_by_close_total{to=\"%s\"} "
                          "%" G_GUINT64_FORMAT "\n",
                          to, client_counts (client)->by_close);
}

static void
reply_metrics (instance_t *instance, kwf_handle_t handle)
{
  char *core = kwf_core_metrics (instance->core);
  GString *text = g_string_new (core);
  process_write_metrics (text, instance->peers);
  loop_turn_write_metrics (&instance->turn, text);
  g_string_append_printf (
      text,
      "# TYPE kwf_answers_oversized_total counter\n"
      "kwf_answers_oversized_total{to=\"requests\"} %" G_GUINT64_FORMAT "\n"
      "kwf_answers_oversized_total{to=\"control\"} %" G_GUINT64_FORMAT "\n",
      client_counts (instance->client)->oversized,
      client_counts (instance->control)->oversized);
  g_string_append (text, "# TYPE kwf_answers_not_whole_total counter\n");
  write_not_whole (text, "requests", instance->client);
  write_not_whole (text, "control", instance->control);
  g_string_append (text, "# TYPE kwf_answers_ended_by_close_total counter\n");
  write_by_close (text, "requests", instance->client);
  write_by_close (text, "control", instance->control);
  g_string_append_printf (text,
                          "# TYPE kwf_callers_left_unread_total counter\n"
                          "kwf_callers_left_unread_total %" G_GUINT64_FORMAT
                          "\n",
                          server_left_requests (instance->caller_server));
  server_intake_write_metrics (text, instance->intake);
  if (instance->store->ops->write_metrics)
    instance->store->ops->write_metrics (instance->store, text);
  reply_text (instance, handle, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
  free (core);
}

static void
handle_get (instance_t *instance, const server_request_t *request)
{
  kwf_handle_t handle = request->handle;
  if (strcmp (request->path, "/lists") == 0)
    submit_command (instance, handle,
                    (kwf_operator_event_t){ .command = KWF_OPERATOR_LISTS },
                    NULL);
  else if (strcmp (request->path, "/status") == 0)
    submit_command (instance, handle,
                    (kwf_operator_event_t){ .command = KWF_OPERATOR_STATUS },
                    NULL);
  else if (strcmp (request->path, "/metrics") == 0)
    reply_metrics (instance, handle);
  else
    refuse (instance, handle, 404, "not_found",
            "there is nothing at this path");
}

static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  (void)server;
  instance_t *instance = data;
  bool get = strcmp (request->method, "GET") == 0;
  access_t access = request_access (instance, request);
  if (get && strcmp (request->path, "/health") == 0)
    reply_text (instance, request->handle, 200, "text/plain", "ok\n");
  else if (get && strcmp (request->path, "/ready") == 0)
    {
      bool ready = kwf_core_ready (instance->core);
      reply_text (instance, request->handle, ready ? 200 : 503, "text/plain",
                  ready ? "ready\n" : "not ready\n");
    }
  else if (access == ACCESS_NONE)
    refuse (instance, request->handle, 401, "unauthorized",
            "the operator token is missing or wrong");
  else if (!get && access != ACCESS_ALL)
    refuse (instance, request->handle, 403, "forbidden",
            "this token allows only commands that change nothing");
  else if (get)
    handle_get (instance, request);
  else if (strcmp (request->method, "POST") == 0)
    handle_post (instance, request);
  else
    refuse (instance, request->handle, 405, "method_not_allowed",
            "only GET and POST are served here");
}

static void
on_gone (server_t *server, kwf_handle_t handle, void *data)
{
  (void)server;
  instance_t *instance = data;
  g_hash_table_remove (instance->commands, &handle);
}

/* Returns BODY with the member "key" added; release with free.  */
static char *
add_key_member (const char *body, const char *key)
{
  json_t *root = json_loads (body, 0, NULL);
  if (!root)
    root = json_object ();
  json_object_set_new (root, "key", json_string (key));
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

void
operator_reply (instance_t *instance, const kwf_operator_reply_t *reply)
{
  command_t *command
      = g_hash_table_lookup (instance->commands, &reply->request);
  if (!command)
    return;
  if (command->new_key && reply->status == 200)
    {
      char *text = add_key_member (reply->body, command->new_key);
      reply_text (instance, reply->request, 200, "application/json", text);
      free (text);
    }
  else
    reply_text (instance, reply->request, reply->status, "application/json",
                reply->body ? reply->body : "{}");
  g_hash_table_remove (instance->commands, &reply->request);
}

const server_handler_t operator_handler
    = { .request = on_request, .gone = on_gone };
