/* Client of the platform.  Each call is one transfer; what a failed transfer
   means depends on whether the call writes.  */

#include "platform.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "platform-json.h"

typedef enum
{
  CALL_TXN,
  CALL_MEMBERS,
  CALL_GET,
  CALL_PUT
} call_kind_t;

typedef struct
{
  platform_t *platform;
  kwf_handle_t self; /* in platform->calls */
  kwf_handle_t transfer;
  call_kind_t kind;
  void *data;
  /* CALL_TXN */
  platform_txn_fn_t txn_fn;
  kwf_handle_t op;
  bool write;
  txn_constraints_t constraints;
  /* other kinds */
  platform_members_fn_t members_fn;
  platform_object_fn_t object_fn;
} platform_call_t;

struct platform
{
  client_t *client;
  char *address;
  char *instance;
  kwf_slots_t *calls; /* of platform_call_t */
};

platform_t *
platform_new (client_t *client, const char *address, const char *instance)
{
  platform_t *platform = g_new0 (platform_t, 1);
  platform->client = client;
  platform->address = g_strdup (address);
  platform->instance = g_strdup (instance);
  platform->calls = kwf_slots_new (sizeof (platform_call_t));
  return platform;
}

static void
call_free (platform_call_t *call)
{
  if (call->kind == CALL_TXN)
    txn_constraints_clear (&call->constraints);
  kwf_slots_remove (call->platform->calls, call->self);
}

void
platform_free (platform_t *platform)
{
  if (!platform)
    return;
  kwf_handle_t walk = 0;
  platform_call_t *call;
  while ((call = kwf_slots_next (platform->calls, &walk)))
    {
      client_cancel (platform->client, call->transfer);
      call_free (call);
    }
  kwf_slots_free (platform->calls);
  g_free (platform->address);
  g_free (platform->instance);
  g_free (platform);
}

/* The transaction may have been applied if it was sent and writes.  */
static void
txn_unanswered (platform_call_t *call, bool sent)
{
  kwf_store_reply_t reply
      = { .outcome
          = sent && call->write ? KWF_STORE_UNKNOWN : KWF_STORE_FAILED };
  platform_txn_fn_t fn = call->txn_fn;
  void *data = call->data;
  kwf_handle_t op = call->op;
  call_free (call);
  fn (data, op, &reply);
}

static void
txn_done (platform_call_t *call, const client_answer_t *http)
{
  txn_answer_t answer;
  bool valid = txn_answer_read (&answer, &call->constraints, http->status,
                                http->body, http->body_size);
  if (valid)
    {
      platform_txn_fn_t fn = call->txn_fn;
      void *data = call->data;
      kwf_handle_t op = call->op;
      call_free (call);
      fn (data, op, &answer.reply);
    }
  else
    txn_unanswered (call, true);
  txn_answer_clear (&answer);
}

static void
members_finish (platform_call_t *call, const kwf_members_event_t *event)
{
  platform_members_fn_t fn = call->members_fn;
  void *data = call->data;
  call_free (call);
  fn (data, event);
}

static void
members_done (platform_call_t *call, const client_answer_t *http)
{
  static const kwf_members_event_t none = { .valid = false };
  members_answer_t answer;
  bool valid = members_answer_read (&answer, http->body, http->body_size)
               && http->status == 200;
  members_finish (call, valid ? &answer.event : &none);
  members_answer_clear (&answer);
}

static void
object_finish (platform_call_t *call, kwf_status_t status, const void *bytes,
               size_t size)
{
  platform_object_fn_t fn = call->object_fn;
  void *data = call->data;
  call_free (call);
  fn (data, status, bytes, size);
}

static void
object_done (platform_call_t *call, const client_answer_t *http)
{
  int status = http->status;
  if (call->kind == CALL_PUT)
    {
      bool stored = status == 200 || status == 201 || status == 204;
      object_finish (call, stored ? KWF_OK : KWF_UNKNOWN, NULL, 0);
    }
  else if (status == 200)
    object_finish (call, KWF_OK, http->body, http->body_size);
  else
    object_finish (call, status == 404 ? KWF_NOT_FOUND : KWF_UNAVAILABLE, NULL,
                   0);
}

static void
on_done (void *data, kwf_handle_t transfer, const client_answer_t *answer)
{
  (void)transfer;
  platform_call_t *call = data;
  switch (call->kind)
    {
    case CALL_TXN:
      txn_done (call, answer);
      break;
    case CALL_MEMBERS:
      members_done (call, answer);
      break;
    case CALL_GET:
    case CALL_PUT:
      object_done (call, answer);
      break;
    }
}

static kwf_status_t
object_failure (const platform_call_t *call, kwf_failure_t failure)
{
  if (failure == KWF_FAIL_REFUSED || failure == KWF_FAIL_CONNECT)
    return KWF_UNAVAILABLE;
  if (call->kind == CALL_PUT)
    return KWF_UNKNOWN;
  if (failure == KWF_FAIL_OVERSIZED)
    return KWF_LIMIT;
  return failure == KWF_FAIL_TIMEOUT ? KWF_TIMEOUT : KWF_UNAVAILABLE;
}

static void
on_failed (void *data, kwf_handle_t transfer, kwf_failure_t failure,
           const kwf_error_t *error)
{
  (void)transfer;
  (void)error;
  static const kwf_members_event_t none = { .valid = false };
  platform_call_t *call = data;
  bool sent = failure != KWF_FAIL_REFUSED && failure != KWF_FAIL_CONNECT;
  switch (call->kind)
    {
    case CALL_TXN:
      txn_unanswered (call, sent);
      break;
    case CALL_MEMBERS:
      members_finish (call, &none);
      break;
    case CALL_GET:
    case CALL_PUT:
      object_finish (call, object_failure (call, failure), NULL, 0);
      break;
    }
}

static platform_call_t *
call_new (platform_t *platform, call_kind_t kind, void *data)
{
  kwf_handle_t handle;
  platform_call_t *call = kwf_slots_add (platform->calls, &handle);
  call->platform = platform;
  call->self = handle;
  call->kind = kind;
  call->data = data;
  return call;
}

static void
call_start (platform_call_t *call, client_request_t *request)
{
  static const client_handler_t handler
      = { .done = on_done, .failed = on_failed };
  platform_t *platform = call->platform;
  header_t headers[] = { { "X-Instance", platform->instance },
                         { "Content-Type", "application/json" } };
  if (call->kind == CALL_PUT)
    headers[1].value = "application/octet-stream";
  request->address = platform->address;
  request->headers = headers;
  request->n_headers = request->body ? 2 : 1;
  call->transfer = client_start (platform->client, request, &handler, call);
}

void
platform_txn (platform_t *platform, kwf_handle_t op, const kwf_txn_t *txn,
              int64_t timeout_ns, platform_txn_fn_t fn, void *data)
{
  platform_call_t *call = call_new (platform, CALL_TXN, data);
  call->op = op;
  call->txn_fn = fn;
  call->write = txn->n_puts > 0;
  txn_constraints_init (&call->constraints, txn);
  char *text = txn_encode (txn);
  /* The client reports from the loop that a request without a target was not
     sent, which is also the right outcome of a transaction that cannot be
     encoded.  */
  client_request_t request = {
    .method = "POST",
    .target = text ? "/table/txn" : NULL,
    .body = text,
    .body_size = text ? strlen (text) : 0,
    .timeout_ns = timeout_ns,
  };
  call_start (call, &request);
  free (text);
}

void
platform_members (platform_t *platform, int64_t timeout_ns,
                  platform_members_fn_t fn, void *data)
{
  platform_call_t *call = call_new (platform, CALL_MEMBERS, data);
  call->members_fn = fn;
  client_request_t request = {
    .method = "GET",
    .target = "/members",
    .timeout_ns = timeout_ns,
  };
  call_start (call, &request);
}

static void
object_start (platform_call_t *call, const char *name,
              client_request_t *request)
{
  char *escaped = g_uri_escape_string (name, NULL, FALSE);
  char *target = g_strconcat ("/objects/", escaped, NULL);
  request->target = target;
  call_start (call, request);
  g_free (escaped);
  g_free (target);
}

void
platform_object_get (platform_t *platform, const char *name,
                     int64_t timeout_ns, platform_object_fn_t fn, void *data)
{
  platform_call_t *call = call_new (platform, CALL_GET, data);
  call->object_fn = fn;
  client_request_t request = { .method = "GET", .timeout_ns = timeout_ns };
  object_start (call, name, &request);
}

void
platform_object_put (platform_t *platform, const char *name, const void *bytes,
                     size_t size, int64_t timeout_ns, platform_object_fn_t fn,
                     void *data)
{
  platform_call_t *call = call_new (platform, CALL_PUT, data);
  call->object_fn = fn;
  client_request_t request = {
    .method = "PUT",
    .body = size ? bytes : "",
    .body_size = size,
    .timeout_ns = timeout_ns,
  };
  object_start (call, name, &request);
}
