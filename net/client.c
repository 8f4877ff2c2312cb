/* HTTP client.  libcurl's callbacks only store; the handlers are called after
   libcurl has returned, so that they may start and cancel transfers.  */

#include "client.h"

#include <errno.h>
#include <string.h>

#include "client-internal.h"

enum
{
  DEFAULT_CONNECT_MS = 1000,
  DEFAULT_ANSWER_BYTES = 8 * 1024 * 1024,
  /* libcurl's default of 4 for each open transfer would close most of the kept
     connections whenever few transfers are open.  */
  KEPT_CONNECTIONS = 2048,
  /* Half of the idle time of 10 s that servers were seen to allow, so that a
     connection which the server may be closing is not reused, and servers have
     few connections.  */
  MAX_KEPT_S = 5,
  RECEIVE_BYTES = 8192, /* for each open transfer */
  MAX_HEADER_BYTES = 64 * 1024,
  POOL_SIZE = 1024,
  KEPT_BUFFER_BYTES = 64 * 1024,
  DEFAULT_TOTAL_BYTES = 64 * 1024 * 1024,
  /* When the bodies together exceed the limit, transfers with more than their
     share of it, but at most the first and at least the second of these, are
     ended.  */
  LARGE_BYTES = 256 * 1024,
  SMALL_BYTES = 16 * 1024
};

/* Bytes of a body with which its transfer is ended when all bodies together
   exceed their limit.  */
static size_t
share_of_total (const client_t *client)
{
  size_t n = MAX (kwf_slots_count (client->transfers), 1);
  return CLAMP (client->options.max_total_bytes / n, (size_t)SMALL_BYTES,
                (size_t)LARGE_BYTES);
}

/* Lets client_deliver call the handler of TRANSFER.  */
static void
queue_handler_call (client_transfer_t *transfer)
{
  if (transfer->queued)
    return;
  transfer->queued = true;
  g_array_append_val (transfer->client->handler_queue, transfer->handle);
}

static size_t
on_body (char *bytes, size_t one, size_t size, void *data)
{
  (void)one;
  client_easy_t *easy = data;
  client_transfer_t *transfer = easy->transfer;
  client_t *client = transfer->client;
  if (!transfer->head.good)
    return 0;
  transfer->body_bytes += size;
  client->total_bytes += size;
  if (transfer->body_bytes > transfer->max_answer_bytes
      || (client->total_bytes > client->options.max_total_bytes
          && transfer->body_bytes > share_of_total (client)))
    {
      transfer->oversized = true;
      return 0;
    }
  g_string_append_len (easy->received, bytes, (gssize)size);
  if (transfer->handler->data)
    queue_handler_call (transfer);
  return size;
}

static size_t
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's type.  */
on_header (char *bytes, size_t one, size_t size, void *data)
{
  (void)one;
  client_easy_t *easy = data;
  client_transfer_t *transfer = easy->transfer;
  transfer->header_bytes += size;
  if (transfer->header_bytes > MAX_HEADER_BYTES)
    {
      transfer->oversized = true;
      return 0;
    }
  if (!client_head_add (transfer, bytes, size))
    return 0;
  /* The head is reported at once: it may have load or a notice of the server,
     long before the first byte of the body.  */
  if (transfer->head.good && transfer->handler->head
      && !transfer->head_delivered)
    queue_handler_call (transfer);
  return size;
}

/* libcurl calls this on the connection just before it writes the request.  A
   second call for a transfer is libcurl's own retry after a kept connection
   ended without an answer; the server may have run the request.  */
static int
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's type.  */
before_send (void *data, char *remote_ip, char *local_ip, int remote_port,
             int local_port)
{
  (void)remote_ip;
  (void)local_ip;
  (void)remote_port;
  (void)local_port;
  client_easy_t *easy = data;
  client_transfer_t *transfer = easy->transfer;
  if (transfer->sent)
    return CURL_PREREQFUNC_ABORT;
  const client_handler_t *handler = transfer->handler;
  transfer->withheld
      = handler->may_send && !handler->may_send (transfer->data);
  if (transfer->withheld)
    return CURL_PREREQFUNC_ABORT;
  transfer->sent = true;
  return CURL_PREREQFUNC_OK;
}

static client_easy_t *
easy_new (client_t *client)
{
  client_easy_t *easy = g_new0 (client_easy_t, 1);
  CURL *curl = easy->curl = curl_easy_init ();
  easy->received = g_string_new (NULL);
  easy->fd = CURL_SOCKET_BAD;
  client_sockets_attach (client, easy);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, easy);
  curl_easy_setopt (curl, CURLOPT_ERRORBUFFER, easy->error);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, easy);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, easy);
  curl_easy_setopt (curl, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (curl, CURLOPT_PREREQDATA, easy);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_MAXAGE_CONN, (long)MAX_KEPT_S);
  curl_easy_setopt (curl, CURLOPT_BUFFERSIZE, (long)RECEIVE_BYTES);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)client->options.connect_ms);
  return easy;
}

static void
easy_free (void *data)
{
  client_easy_t *easy = data;
  curl_easy_cleanup (easy->curl);
  g_string_free (easy->received, TRUE);
  g_free (easy);
}

static client_easy_t *
easy_get (client_t *client)
{
  if (client->pool->len == 0)
    return easy_new (client);
  return g_ptr_array_steal_index_fast (client->pool, client->pool->len - 1);
}

static void
easy_release (client_t *client, client_easy_t *easy)
{
  easy->transfer = NULL;
  if (client->pool->len >= POOL_SIZE)
    {
      easy_free (easy);
      return;
    }
  if (easy->received->allocated_len > KEPT_BUFFER_BYTES)
    {
      g_string_free (easy->received, TRUE);
      easy->received = g_string_new (NULL);
    }
  g_string_truncate (easy->received, 0);
  g_ptr_array_add (client->pool, easy);
}

static void
on_deliver (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  client_deliver (timer->data);
}

client_t *
client_new (struct ev_loop *loop, const client_options_t *options)
{
  if (curl_global_init (CURL_GLOBAL_NOTHING))
    return NULL;
  client_t *client = g_new0 (client_t, 1);
  client->loop = loop;
  if (options)
    client->options = *options;
  if (!client->options.connect_ms)
    client->options.connect_ms = DEFAULT_CONNECT_MS;
  if (!client->options.max_answer_bytes)
    client->options.max_answer_bytes = DEFAULT_ANSWER_BYTES;
  if (!client->options.max_total_bytes)
    client->options.max_total_bytes = DEFAULT_TOTAL_BYTES;
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     (long)KEPT_CONNECTIONS);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)client->options.max_connections);
  client->transfers = kwf_slots_new (sizeof (client_transfer_t));
  client->handler_queue = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t));
  client->pool = g_ptr_array_new_with_free_func (easy_free);
  client->value = g_string_new (NULL);
  ev_timer_init (&client->deliver, on_deliver, 0.0, 0.0);
  client->deliver.data = client;
  client_sockets_start (client);
  return client;
}

/* Releases everything of TRANSFER.  The connection of an unfinished transfer
   is closed with a reset, so that no unsent bytes are delivered later.  */
static void
transfer_release (client_transfer_t *transfer)
{
  client_t *client = transfer->client;
  client->total_bytes -= transfer->body_bytes;
  ev_timer_stop (client->loop, &transfer->limit_timer);
  if (transfer->easy)
    {
      CURL *curl = transfer->easy->curl;
      if (!transfer->finished)
        {
          curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
          /* A connection that libcurl has closed already needs no reset.  */
          if (transfer->easy->fd != CURL_SOCKET_BAD)
            client_reset_on_close (transfer->easy->fd);
        }
      curl_multi_remove_handle (client->multi, curl);
      curl_easy_setopt (curl, CURLOPT_HTTPHEADER, NULL);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, NULL);
      client_sockets_release (client, transfer->easy);
      easy_release (client, transfer->easy);
    }
  g_free (transfer->body);
  g_free (transfer->expected_name);
  g_free (transfer->expected_value);
  g_free (transfer->success_header);
  curl_slist_free_all (transfer->headers);
  kwf_slots_remove (client->transfers, transfer->handle);
}

void
client_free (client_t *client)
{
  if (!client)
    return;
  kwf_handle_t walk = 0;
  client_transfer_t *transfer;
  while ((transfer = kwf_slots_next (client->transfers, &walk)))
    transfer_release (transfer);
  ev_timer_stop (client->loop, &client->deliver);
  curl_multi_cleanup (client->multi);
  g_ptr_array_free (client->pool, TRUE);
  g_string_free (client->value, TRUE);
  client_sockets_stop (client);
  kwf_slots_free (client->transfers);
  g_array_free (client->handler_queue, TRUE);
  g_free (client);
  curl_global_cleanup ();
}

/* Lets TRANSFER end without a connection.  The loop calls its failed() in a
   later callback, because client_start must return the handle first.  */
static void
fail_later (client_transfer_t *transfer)
{
  transfer->finished = true;
  transfer->code = CURLE_URL_MALFORMAT;
  queue_handler_call (transfer);
  ev_timer_start (transfer->client->loop, &transfer->client->deliver);
}

static void
on_limit_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  client_transfer_t *transfer = timer->data;
  bool answered = transfer->first_byte_limited ? transfer->header_bytes > 0
                                               : transfer->sent;
  if (answered || transfer->finished)
    return;
  transfer->finished = true;
  transfer->code = CURLE_OPERATION_TIMEDOUT;
  queue_handler_call (transfer);
  client_deliver (transfer->client);
}

/* libcurl measures neither the time that a transfer waits for one of the
   max_connections connections nor the time to the first byte of the
   answer.  */
static void
start_limit_timer (client_transfer_t *transfer,
                   const client_request_t *request)
{
  client_t *client = transfer->client;
  transfer->first_byte_limited = request->first_byte_ns > 0;
  int64_t timeout_ns = transfer->first_byte_limited ? request->first_byte_ns
                                                    : request->timeout_ns;
  if ((!client->options.max_connections && !transfer->first_byte_limited)
      || timeout_ns <= 0)
    return;
  ev_now_update (client->loop);
  ev_timer_set (&transfer->limit_timer, (double)timeout_ns / 1e9, 0.0);
  ev_timer_start (client->loop, &transfer->limit_timer);
}

kwf_handle_t
client_start (client_t *client, const client_request_t *request,
              const client_handler_t *handler, void *data)
{
  kwf_handle_t handle;
  client_transfer_t *transfer = kwf_slots_add (client->transfers, &handle);
  transfer->client = client;
  transfer->handle = handle;
  transfer->handler = handler;
  transfer->data = data;
  ev_timer_init (&transfer->limit_timer, on_limit_timer, 0.0, 0.0);
  transfer->limit_timer.data = transfer;
  if (!client_request_is_valid (request))
    {
      fail_later (transfer);
      return handle;
    }
  g_strlcpy (transfer->address, request->address, sizeof transfer->address);
  client_easy_t *easy = transfer->easy = easy_get (client);
  easy->transfer = transfer;
  easy->error[0] = 0;
  client_transfer_set_request (transfer, request);
  start_limit_timer (transfer, request);
  if (curl_multi_add_handle (client->multi, easy->curl) != CURLM_OK)
    fail_later (transfer);
  return handle;
}

void
client_cancel (client_t *client, kwf_handle_t handle)
{
  client_transfer_t *transfer = kwf_slots_get (client->transfers, handle);
  if (transfer)
    transfer_release (transfer);
}

const client_counts_t *
client_counts (const client_t *client)
{
  return &client->counts;
}

void
client_end_oversized (client_transfer_t *transfer)
{
  if (transfer->finished)
    return;
  transfer->oversized = true;
  transfer->finished = true;
  transfer->code = CURLE_WRITE_ERROR;
  queue_handler_call (transfer);
}

size_t
client_open_transfers (const client_t *client)
{
  return kwf_slots_count (client->transfers);
}

static kwf_failure_t
transfer_failure (const client_transfer_t *transfer)
{
  if (transfer->oversized
      || transfer->code == CURLE_FILESIZE_EXCEEDED
      /* Returned at libcurl's own limit of a header line.  */
      || transfer->code == CURLE_OUT_OF_MEMORY)
    return KWF_FAIL_OVERSIZED;
  if (transfer->withheld)
    return KWF_FAIL_NOT_SENT;
  if (transfer->sent)
    return transfer->code == CURLE_OPERATION_TIMEDOUT ? KWF_FAIL_TIMEOUT
                                                      : KWF_FAIL_BROKEN;
  long os_errno = 0;
  if (transfer->easy && transfer->code == CURLE_COULDNT_CONNECT)
    curl_easy_getinfo (transfer->easy->curl, CURLINFO_OS_ERRNO, &os_errno);
  return os_errno == ECONNREFUSED ? KWF_FAIL_REFUSED : KWF_FAIL_CONNECT;
}

static void
deliver_failure (client_transfer_t *transfer, const char *cause)
{
  static const kwf_status_t statuses[] = {
    [KWF_FAIL_REFUSED] = KWF_UNAVAILABLE, [KWF_FAIL_CONNECT] = KWF_UNAVAILABLE,
    [KWF_FAIL_BROKEN] = KWF_UNKNOWN,      [KWF_FAIL_TIMEOUT] = KWF_TIMEOUT,
    [KWF_FAIL_OVERSIZED] = KWF_LIMIT,     [KWF_FAIL_NOT_SENT] = KWF_DENIED,
  };
  kwf_failure_t failure = transfer_failure (transfer);
  kwf_error_t error;
  transfer->client->counts.oversized += failure == KWF_FAIL_OVERSIZED;
  const client_handler_t *handler = transfer->handler;
  void *data = transfer->data;
  kwf_handle_t handle = transfer->handle;
  kwf_fail (&error, statuses[failure],
            transfer->sent ? "read answer" : "connect", transfer->address,
            "%s", cause);
  transfer_release (transfer);
  handler->failed (data, handle, failure, &error);
}

static const char *
failure_cause (const client_transfer_t *transfer, whole_t whole)
{
  if (transfer->oversized)
    return "the answer is larger than the limit";
  if (whole != WHOLE_BROKEN)
    return whole_cause (whole);
  if (transfer->withheld)
    return "the server may not be used any more";
  return transfer->easy->error[0] ? transfer->easy->error
                                  : curl_easy_strerror (transfer->code);
}

/* Headers of the final answer; the strings belong to CURL.  */
static GArray *
answer_headers (CURL *curl)
{
  GArray *headers = g_array_new (FALSE, FALSE, sizeof (header_t));
  struct curl_header *at = NULL;
  while ((at = curl_easy_nextheader (curl, CURLH_HEADER, -1, at)))
    {
      header_t header = { .name = at->name, .value = at->value };
      g_array_append_val (headers, header);
    }
  return headers;
}

/* The answer without its body.  The strings belong to libcurl; HEADERS must be
   freed.  */
static client_answer_t
answer_head (const client_transfer_t *transfer, GArray **headers)
{
  CURL *curl = transfer->easy->curl;
  long status = 0;
  char *type = NULL;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (curl, CURLINFO_CONTENT_TYPE, &type);
  *headers = answer_headers (curl);
  return (client_answer_t){
    .headers = (const header_t *)(void *)(*headers)->data,
    .n_headers = (*headers)->len,
    .status = (int)status,
    .content_type = type,
    .by_close = client_ends_by_close (transfer),
    .kept_ns = client_head_kept_ns (&transfer->head),
  };
}

/* Calls head() unless that was done already.  Returns false when the handler
   cancelled the transfer.  */
static bool
deliver_head (client_transfer_t *transfer)
{
  client_t *client = transfer->client;
  kwf_handle_t handle = transfer->handle;
  if (transfer->head_delivered || !transfer->handler->head)
    return true;
  transfer->head_delivered = true;
  GArray *headers;
  client_answer_t answer = answer_head (transfer, &headers);
  transfer->handler->head (transfer->data, handle, &answer);
  g_array_free (headers, TRUE);
  return kwf_slots_get (client->transfers, handle) != NULL;
}

static void
deliver_end (client_transfer_t *transfer)
{
  if (!transfer->easy)
    {
      deliver_failure (transfer, "the request is not valid");
      return;
    }
  whole_t whole = client_judge (transfer);
  if (whole != WHOLE_YES)
    {
      deliver_failure (transfer, failure_cause (transfer, whole));
      return;
    }
  client_t *client = transfer->client;
  kwf_handle_t handle = transfer->handle;
  if (!deliver_head (transfer))
    return;
  GArray *headers;
  client_answer_t answer = answer_head (transfer, &headers);
  answer.body = transfer->easy->received->str;
  answer.body_size = transfer->easy->received->len;
  transfer->handler->done (transfer->data, handle, &answer);
  g_array_free (headers, TRUE);
  /* The handler may have cancelled the transfer.  */
  transfer = kwf_slots_get (client->transfers, handle);
  if (transfer)
    transfer_release (transfer);
}

static void
deliver_data (client_transfer_t *transfer)
{
  client_easy_t *easy = transfer->easy;
  client_t *client = transfer->client;
  kwf_handle_t handle = transfer->handle;
  if (!deliver_head (transfer))
    return;
  long status = 0;
  char *type = NULL;
  curl_easy_getinfo (easy->curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (easy->curl, CURLINFO_CONTENT_TYPE, &type);
  transfer->handler->data (transfer->data, handle, (int)status, type,
                           easy->received->str, easy->received->len);
  if (kwf_slots_get (client->transfers, handle))
    g_string_truncate (easy->received, 0);
}

static void
collect_finished (client_t *client)
{
  CURLMsg *message;
  int left;
  while ((message = curl_multi_info_read (client->multi, &left)))
    {
      char *private = NULL;
      if (message->msg != CURLMSG_DONE)
        continue;
      CURLcode code = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &private);
      client_transfer_t *transfer
          = ((client_easy_t *)(void *)private)->transfer;
      transfer->finished = true;
      transfer->code = code;
      queue_handler_call (transfer);
    }
}

void
client_deliver (client_t *client)
{
  collect_finished (client);
  /* Entries that the handlers add wait for the next turn of the loop.  */
  guint count = client->handler_queue->len;
  for (guint i = 0; i < count; i++)
    {
      kwf_handle_t handle
          = g_array_index (client->handler_queue, kwf_handle_t, i);
      client_transfer_t *transfer = kwf_slots_get (client->transfers, handle);
      if (!transfer)
        continue;
      transfer->queued = false;
      if (transfer->head.good && !deliver_head (transfer))
        continue;
      if (transfer->handler->data && transfer->easy
          && transfer->easy->received->len)
        deliver_data (transfer);
      transfer = kwf_slots_get (client->transfers, handle);
      if (transfer && transfer->finished)
        deliver_end (transfer);
    }
  if (count)
    g_array_remove_range (client->handler_queue, 0, count);
}
