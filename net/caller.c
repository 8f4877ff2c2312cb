/* Callers' port: turns callers' requests into events of the core, and its
   replies into answers.  */

#include "instance-internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "../lib/intake/json-tree.h"
#include "../lib/key.h"

#define MAX_TIMEOUT_MS INT64_C (86400000) /* one day */

static const char services_prefix[] = "/services/";

static const char *
was_run_text (kwf_run_t run)
{
  static const char *const names[] = {
    [KWF_RUN_NO] = "no", [KWF_RUN_YES] = "yes", [KWF_RUN_UNKNOWN] = "unknown"
  };
  return names[run];
}

static const char *
error_type (int status)
{
  if (status == 429)
    return "rate_limit_error";
  if (status == 401 || status == 403)
    return "authentication_error";
  return status < 500 ? "invalid_request_error" : "server_error";
}

/* The error object of API.md as JSON text; release with free.  */
static char *
error_body (const kwf_reply_t *reply)
{
  json_t *error = json_pack (
      "{s:s,s:s,s:s,s:s}", "code", reply->code, "message",
      reply->message ? reply->message : reply->code, "type",
      error_type (reply->status), "run", was_run_text (reply->run));
  if (reply->retry_after_ms >= 0)
    json_object_set_new (error, "retry_after_ms",
                         json_integer (reply->retry_after_ms));
  if (reply->limit_rate > 0)
    json_object_set_new (error, "limit",
                         json_pack ("{s:f,s:f}", "rate", reply->limit_rate,
                                    "burst", reply->limit_burst));
  json_t *body = json_pack ("{s:o}", "error", error);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

/* FRACTIONAL: Retry-After has three decimals, which callers of routed requests
   can read; other callers expect whole seconds.  */
static void
reply_error (instance_t *instance, const kwf_reply_t *reply, const char *id,
             bool fractional)
{
  char *body = error_body (reply);
  char retry[24];
  header_t headers[2] = { { "X-Request-Id", id } };
  size_t n_headers = 1;
  if (reply->retry_after_ms >= 0)
    {
      if (fractional)
        g_snprintf (retry, sizeof retry, "%lld.%03lld",
                    (long long)(reply->retry_after_ms / 1000),
                    (long long)(reply->retry_after_ms % 1000));
      else
        g_snprintf (retry, sizeof retry, "%lld",
                    (long long)((reply->retry_after_ms + 999) / 1000));
      headers[n_headers++] = (header_t){ "Retry-After", retry };
    }
  server_reply (instance->caller_server, reply->request, reply->status,
                "application/json", headers, n_headers, body, strlen (body));
  free (body);
}

/* The status was already sent with the first part of the stream, so the error
   is sent as the last event, and [DONE] does not follow.  */
static void
end_stream_with_error (instance_t *instance, const kwf_reply_t *reply)
{
  char *body = error_body (reply);
  char *event = g_strdup_printf ("data: %s\n\n", body);
  server_write (instance->caller_server, reply->request, event,
                strlen (event));
  server_end (instance->caller_server, reply->request);
  g_free (event);
  free (body);
}

delivery_action_t
caller_deliver (instance_t *instance, caller_request_t *caller_request,
                delivery_input_t input)
{
  delivery_t before = caller_request->delivery;
  delivery_action_t action = delivery_step (&caller_request->delivery, input);
  if (action != DELIVER_NOTHING && action != DELIVER_RETRY)
    return action;
  logging_event (
      252, KWF_LOG_ERROR, "request %s: %s cannot follow an answer that is %s",
      caller_request->id, delivery_input_name (input), delivery_name (before));
  /* Other runs are the core's to start, so nobody else ends this answer.  */
  if (action == DELIVER_RETRY)
    {
      delivery_step (&caller_request->delivery, DELIVERY_ERROR);
      server_abort (instance->caller_server, caller_request->handle);
    }
  return DELIVER_NOTHING;
}

static void
send_reply (instance_t *instance, caller_request_t *caller_request,
            const kwf_reply_t *reply)
{
  header_t id = { "X-Request-Id", caller_request->id };
  bool routed = caller_request->kind == KWF_REQUEST_ROUTED;
  delivery_action_t action
      = caller_deliver (instance, caller_request,
                        reply->code ? DELIVERY_ERROR : DELIVERY_ANSWER);
  if (action == DELIVER_BREAK && routed)
    server_abort (instance->caller_server, reply->request);
  else if (action == DELIVER_BREAK)
    end_stream_with_error (instance, reply);
  else if (action == DELIVER_WHOLE && reply->code)
    reply_error (instance, reply, caller_request->id, routed);
  else if (action == DELIVER_WHOLE)
    server_reply (instance->caller_server, reply->request, reply->status,
                  reply->content_type, &id, 1, reply->body, reply->body_size);
}

void
caller_reply (instance_t *instance, const kwf_reply_t *reply)
{
  caller_request_t *caller_request
      = g_hash_table_lookup (instance->requests, &reply->request);
  if (!caller_request)
    {
      logging_event (252, KWF_LOG_ERROR,
                     "reply %s to a request that is not open", reply->code);
      server_abort (instance->caller_server, reply->request);
      return;
    }
  send_reply (instance, caller_request, reply);
  caller_request_release (instance, reply->request);
}

void
caller_refuse (instance_t *instance, kwf_handle_t request, const char *id,
               int status, const char *code, const char *message)
{
  kwf_reply_t reply = { .request = request,
                        .status = status,
                        .code = code,
                        .message = message,
                        .run = KWF_RUN_NO,
                        .retry_after_ms = -1 };
  reply_error (instance, &reply, id, false);
}

void
caller_request_free (void *data)
{
  caller_request_t *caller_request = data;
  completion_clear (&caller_request->completion);
  g_free (caller_request->id);
  g_free (caller_request->resume_event_id);
  g_free (caller_request->service);
  g_free (caller_request->target);
  if (caller_request->headers)
    g_array_free (caller_request->headers, TRUE);
  g_array_free (caller_request->kept_attempts, TRUE);
  g_free (caller_request);
}

void
caller_request_release (instance_t *instance, kwf_handle_t request)
{
  const caller_request_t *caller_request
      = g_hash_table_lookup (instance->requests, &request);
  if (!caller_request)
    return;
  for (guint i = 0; i < caller_request->kept_attempts->len; i++)
    transfer_discard (instance, g_array_index (caller_request->kept_attempts,
                                               kwf_handle_t, i));
  g_hash_table_remove (instance->requests, &request);
}

caller_request_t *
caller_request_new (const server_request_t *request, const char *given)
{
  caller_request_t *caller_request = g_new0 (caller_request_t, 1);
  caller_request->handle = request->handle;
  caller_request->position = STREAM_POSITION_START;
  caller_request->kept_attempts
      = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t));
  if (given)
    {
      caller_request->id = g_strdup (given);
      return caller_request;
    }
  uint64_t id[2];
  kwf_random_t *random = kwf_random_system ();
  random->ops->fill (random, id, sizeof id);
  caller_request->id
      = g_strdup_printf ("%016llx%08llx", (unsigned long long)id[0],
                         (unsigned long long)(id[1] & 0xffffffff));
  return caller_request;
}

static void
accept_with_timeout (instance_t *instance, caller_request_t *caller_request,
                     const server_request_t *request, const char *key,
                     kwf_request_event_t *event)
{
  const char *timeout = server_header (request, "X-Request-Timeout-Ms");
  if (timeout)
    event->timeout_ns
        = CLAMP (g_ascii_strtoll (timeout, NULL, 10), 0, MAX_TIMEOUT_MS)
          * KWF_NS_PER_MS;
  caller_request_submit (instance, caller_request, key, event);
}

void
caller_request_submit (instance_t *instance, caller_request_t *caller_request,
                       const char *key, kwf_request_event_t *event)
{
  char digest[KEY_DIGEST_SIZE];
  const char *pepper = instance->pepper;
  if (key)
    {
      key_digest ((const unsigned char *)pepper, strlen (pepper), key, digest);
      event->key_digest = digest;
    }
  event->handle = caller_request->handle;
  event->kind = caller_request->kind;
  event->id = caller_request->id;
  g_hash_table_insert (instance->requests, &caller_request->handle,
                       caller_request);
  instance_step (instance,
                 &(kwf_event_t){ .type = KWF_EV_REQUEST, .request = *event });
  event->key_digest = NULL;
}

static void
refuse_and_free (instance_t *instance, caller_request_t *caller_request,
                 int status, const char *code, const char *message)
{
  caller_refuse (instance, caller_request->handle, caller_request->id, status,
                 code, message);
  caller_request_free (caller_request);
}

/* Whether the body may be read as a tree, which is freed before the next one
   is read.  With the account and the program, half as much again as the
   account stays within the memory of an instance, and lists of tokens of 4 MiB
   within 120 MB.  */
static bool
tree_fits (const instance_t *instance, const server_request_t *request)
{
  return json_tree_bytes (request->body, request->body_size)
         <= intake_limit_bytes (instance->intake) / 2 * 3;
}

static void
handle_completion (instance_t *instance, caller_request_t *caller_request,
                   const server_request_t *request, const char *key)
{
  bool chat = strcmp (request->path, "/v1/chat/completions") == 0;
  kwf_error_t error;
  if (key_or_pattern_occurs (key, request->body, request->body_size))
    {
      refuse_and_free (instance, caller_request, 400, "key_in_body",
                       "the body contains a key");
      return;
    }
  if (!tree_fits (instance, request))
    {
      refuse_and_free (instance, caller_request, 413, "body_too_complex",
                       "the body has too many values");
      return;
    }
  if (completion_parse (request->body, request->body_size, chat,
                        &caller_request->completion, &error)
      != KWF_OK)
    {
      refuse_and_free (instance, caller_request, 400, "invalid_request",
                       error.message);
      return;
    }
  caller_request->kind = KWF_REQUEST_COMPLETION;
  caller_request->target = g_strdup (request->path);
  caller_request->idempotent = true;
  const completion_t *call = &caller_request->completion;
  kwf_request_event_t event = {
    .model = call->model,
    .adapter = call->adapter,
    .idempotent = true,
    .stream = call->stream,
    .prompt_tokens = call->prompt_tokens,
    .max_tokens = call->max_tokens,
    .fingerprint = call->fingerprint,
    .prefix = call->prefix,
  };
  accept_with_timeout (instance, caller_request, request, key, &event);
}

bool
header_is_one_of (const char *name, const char *const *names)
{
  for (; *names; names++)
    if (strcasecmp (name, *names) == 0)
      return true;
  return false;
}

bool
header_is_hop_by_hop (const char *name)
{
  static const char *const names[]
      = { "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
          "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
          NULL };
  return header_is_one_of (name, names);
}

/* Headers of the caller's connection with this instance, and headers with
   credentials, are not passed on.  */
static bool
is_forwarded_header (const header_t *header, const char *key)
{
  static const char *const own[]
      = { "Authorization", "Proxy-Authorization",  "Host",
          "Expect",        "X-Request-Id",         "X-Deadline-Ms",
          "X-Priority",    "X-Request-Timeout-Ms", NULL };
  if (header_is_hop_by_hop (header->name)
      || header_is_one_of (header->name, own))
    return false;
  if (strpbrk (header->value, "\r\n"))
    return false;
  return !key_or_pattern_occurs (key, header->value, strlen (header->value))
         && !key_pattern_occurs (header->name, strlen (header->name));
}

static void
copy_headers (caller_request_t *caller_request,
              const server_request_t *request, const char *key)
{
  caller_request->headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  for (size_t i = 0; i < request->n_headers; i++)
    if (is_forwarded_header (&request->headers[i], key))
      g_array_append_val (caller_request->headers, request->headers[i]);
}

static bool
is_safe_method (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0
         || strcmp (method, "OPTIONS") == 0;
}

/* Identifies copies of a request: method, service, path, query and body.  With
   one value for all requests to services, one crash would make all of them in
   the organisation suspects.  */
static uint64_t
service_fingerprint (const caller_request_t *caller_request,
                     const server_request_t *request)
{
  uint64_t seed = XXH3_64bits (request->method, strlen (request->method) + 1);
  seed = XXH3_64bits_withSeed (caller_request->service,
                               strlen (caller_request->service) + 1, seed);
  seed = XXH3_64bits_withSeed (caller_request->target,
                               strlen (caller_request->target) + 1, seed);
  return XXH3_64bits_withSeed (request->body, request->body_size, seed);
}

static void
handle_service (instance_t *instance, caller_request_t *caller_request,
                const server_request_t *request, const char *key)
{
  const char *name = request->raw_path + strlen (services_prefix);
  const char *rest = strchr (name, '/');
  if (!rest)
    rest = name + strlen (name);
  if (rest == name)
    {
      refuse_and_free (instance, caller_request, 404, "not_found",
                       "no service is named in the path");
      return;
    }
  if (key_pattern_occurs (request->raw_path, strlen (request->raw_path))
      || key_or_pattern_occurs (key, request->body, request->body_size))
    {
      refuse_and_free (instance, caller_request, 400, "key_in_body",
                       "the path or the body contains a key");
      return;
    }
  caller_request->kind = KWF_REQUEST_SERVICE;
  caller_request->service = g_strndup (name, (gsize)(rest - name));
  char *query = key_strip_query (key, request->query);
  caller_request->target
      = g_strconcat (*rest ? rest : "/", *query ? "?" : "", query, NULL);
  g_free (query);
  caller_request->idempotent = is_safe_method (request->method);
  copy_headers (caller_request, request, key);
  kwf_request_event_t event = {
    .service = caller_request->service,
    .idempotency_key = server_header (request, "Idempotency-Key"),
    .idempotent = caller_request->idempotent,
    .fingerprint = service_fingerprint (caller_request, request),
  };
  accept_with_timeout (instance, caller_request, request, key, &event);
}

static void
handle_listing (instance_t *instance, caller_request_t *caller_request,
                const server_request_t *request, const char *key,
                kwf_request_kind_t kind)
{
  caller_request->kind = kind;
  caller_request->idempotent = true;
  kwf_request_event_t event = { .idempotent = true };
  accept_with_timeout (instance, caller_request, request, key, &event);
}

typedef enum
{
  PATH_COMPLETION,
  PATH_SERVICE,
  PATH_MODELS,
  PATH_INSTANCES,
  PATH_NONE
} path_t;

static path_t
classify_path (const char *path)
{
  if (strcmp (path, "/v1/chat/completions") == 0
      || strcmp (path, "/v1/completions") == 0)
    return PATH_COMPLETION;
  if (strncmp (path, services_prefix, strlen (services_prefix)) == 0)
    return PATH_SERVICE;
  if (strcmp (path, "/v1/models") == 0)
    return PATH_MODELS;
  if (strcmp (path, "/v1/instances") == 0)
    return PATH_INSTANCES;
  return PATH_NONE;
}

static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  (void)server;
  instance_t *instance = data;
  caller_request_t *caller_request = caller_request_new (request, NULL);
  const char *key
      = key_from_authorization (server_header (request, "Authorization"));
  path_t path = classify_path (request->path);
  const char *method = path == PATH_COMPLETION ? "POST" : "GET";
  if (path == PATH_NONE)
    refuse_and_free (instance, caller_request, 404, "not_found",
                     "there is nothing at this path");
  else if (path != PATH_SERVICE && strcmp (request->method, method) != 0)
    refuse_and_free (instance, caller_request, 405, "method_not_allowed",
                     "this path takes another method");
  else if (path == PATH_COMPLETION)
    handle_completion (instance, caller_request, request, key);
  else if (path == PATH_SERVICE)
    handle_service (instance, caller_request, request, key);
  else
    handle_listing (instance, caller_request, request, key,
                    path == PATH_MODELS ? KWF_REQUEST_MODELS
                                        : KWF_REQUEST_INSTANCES);
}

static void
on_gone (server_t *server, kwf_handle_t request, void *data)
{
  (void)server;
  instance_t *instance = data;
  if (!g_hash_table_contains (instance->requests, &request))
    return;
  caller_request_release (instance, request);
  instance_step (instance, &(kwf_event_t){ .type = KWF_EV_REQUEST_GONE,
                                           .gone = request });
}

const server_handler_t caller_handler
    = { .request = on_request, .gone = on_gone };
