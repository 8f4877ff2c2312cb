/* Translates a client_request_t into options of libcurl.  */

#include <string.h>

#include <knapweedfork/clock.h>

#include "address.h"
#include "client-internal.h"

/* Whether TEXT has a byte that could end the request line or a header: a
   control character, or a space when LEAST is above it.  */
static bool
has_control (const char *text, unsigned char least)
{
  for (; *text; text++)
    {
      unsigned char c = (unsigned char)*text;
      if ((c < least && c != '\t') || c == 0x7f || (c == '\t' && least > ' '))
        return true;
    }
  return false;
}

bool
client_is_token (const char *text, size_t size)
{
  static const char token[] = "!#$%&'*+-.^_`|~0123456789"
                              "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  for (size_t i = 0; i < size; i++)
    if (!memchr (token, text[i], sizeof token - 1))
      return false;
  return size > 0;
}

static bool
is_token (const char *text)
{
  return text && client_is_token (text, strlen (text));
}

bool
client_request_is_valid (const client_request_t *request)
{
  address_t address;
  if (!is_token (request->method) || strcmp (request->method, "CONNECT") == 0)
    return false;
  if (!address_read (request->address, &address)
      || strlen (request->address) >= sizeof ((client_transfer_t *)0)->address)
    return false;
  if (!request->target || *request->target != '/'
      || has_control (request->target, ' ' + 1))
    return false;
  for (size_t i = 0; i < request->n_headers; i++)
    if (!is_token (request->headers[i].name) || !request->headers[i].value
        || has_control (request->headers[i].value, ' '))
      return false;
  return true;
}

static bool
is_connection_header (const char *name)
{
  static const char *const names[]
      = { "connection", "content-length", "expect",  "keep-alive",
          "te",         "trailer",        "upgrade", "transfer-encoding" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return true;
  return false;
}

static void
add_header (client_transfer_t *transfer, const char *text)
{
  struct curl_slist *list = curl_slist_append (transfer->headers, text);
  if (!list)
    g_error ("out of memory");
  transfer->headers = list;
}

static void
set_headers (client_transfer_t *transfer, const client_request_t *request)
{
  char line[512];
  bool has_type = false;
  bool has_accept = false;
  for (size_t i = 0; i < request->n_headers; i++)
    {
      const header_t *header = &request->headers[i];
      if (is_connection_header (header->name))
        continue;
      if (g_ascii_strcasecmp (header->name, "content-type") == 0)
        has_type = true;
      if (g_ascii_strcasecmp (header->name, "accept") == 0)
        has_accept = true;
      /* libcurl would leave out a header "Name:" without a value.  */
      const char *value = header->value + strspn (header->value, " \t");
      const char *format = *value ? "%s: %s" : "%s;%s";
      if (strlen (header->name) + strlen (value) + 3 <= sizeof line)
        {
          g_snprintf (line, sizeof line, format, header->name, value);
          add_header (transfer, line);
          continue;
        }
      char *text
          = g_strconcat (header->name, *value ? ": " : ";", value, NULL);
      add_header (transfer, text);
      g_free (text);
    }
  if (!has_accept)
    add_header (transfer, "Accept:");
  if (transfer->body)
    {
      add_header (transfer, "Expect:");
      if (!has_type)
        add_header (transfer, "Content-Type:");
    }
  curl_easy_setopt (transfer->easy->curl, CURLOPT_HTTPHEADER,
                    transfer->headers);
}

/* Easy handles are pooled, so each option that is set here must be set for
   every request.  */
static void
set_method (client_transfer_t *transfer, const client_request_t *request)
{
  CURL *curl = transfer->easy->curl;
  const char *method = request->method;
  transfer->is_head = strcmp (method, "HEAD") == 0;
  bool body = request->body || strcmp (method, "POST") == 0
              || strcmp (method, "PUT") == 0 || strcmp (method, "PATCH") == 0;
  curl_easy_setopt (curl, CURLOPT_HTTPGET, 1L);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, NULL);
  if (transfer->is_head)
    curl_easy_setopt (curl, CURLOPT_NOBODY, 1L);
  else if (body)
    {
      size_t size = request->body ? request->body_size : 0;
      transfer->body = g_malloc (size + 1);
      if (size)
        memcpy (transfer->body, request->body, size);
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)size);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, transfer->body);
    }
  if (!transfer->is_head)
    curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
}

static void
set_limits (client_transfer_t *transfer, const client_request_t *request)
{
  CURL *curl = transfer->easy->curl;
  long ms = (long)((request->timeout_ns + KWF_NS_PER_MS - 1) / KWF_NS_PER_MS);
  transfer->max_answer_bytes
      = request->max_answer_bytes ? request->max_answer_bytes
                                  : transfer->client->options.max_answer_bytes;
  curl_off_t largest = (curl_off_t)transfer->max_answer_bytes;
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, MAX (ms, 0L));
  curl_easy_setopt (curl, CURLOPT_MAXFILESIZE_LARGE, largest);
  bool fresh = request->new_connection || request->own_connection;
  /* On a connection of its own, no request needs others to be shut down, which
     requests that may be sent twice still use.  */
  if (request->recent_connection && !fresh)
    client_sockets_retire (transfer->client, request->address);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE,
                    request->own_connection ? 1L : 0L);
}

void
client_transfer_set_request (client_transfer_t *transfer,
                             const client_request_t *request)
{
  char url[80];
  g_snprintf (url, sizeof url, "http://%s/", request->address);
  curl_easy_setopt (transfer->easy->curl, CURLOPT_URL, url);
  curl_easy_setopt (transfer->easy->curl, CURLOPT_REQUEST_TARGET,
                    request->target);
  if (request->expected_header)
    {
      transfer->expected_name = g_strdup (request->expected_header->name);
      transfer->expected_value = g_strdup (request->expected_header->value);
    }
  transfer->success_header = g_strdup (request->success_header);
  transfer->allow_close_delimited = request->allow_close_delimited;
  set_method (transfer, request);
  set_headers (transfer, request);
  set_limits (transfer, request);
}
