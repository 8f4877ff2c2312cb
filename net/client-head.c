/* Collects what whole.h needs to judge an answer: its head, line by line, and
   its end.  */

#include "client-internal.h"

#include <string.h>

#include "../lib/logging.h"

/* The value of the header NAME, without spaces around it; false: the line
   BYTES is another header.  */
static bool
read_value (GString *value, const char *bytes, size_t size, const char *name)
{
  size_t length = strlen (name);
  if (size <= length || bytes[length] != ':'
      || g_ascii_strncasecmp (bytes, name, length) != 0)
    return false;
  const char *from = bytes + length + 1;
  const char *end = bytes + size;
  while (from < end && g_ascii_isspace (*from))
    from++;
  while (end > from && g_ascii_isspace (end[-1]))
    end--;
  g_string_truncate (value, 0);
  g_string_append_len (value, from, end - from);
  return true;
}

static bool
is_number (const GString *text)
{
  return text->len && strspn (text->str, "0123456789") == text->len;
}

/* A second length may repeat the first one; chunks and a length exclude each
   other.  Answers to HEAD and answers without a body may name them, too.  */
static void
read_framing (client_head_t *head, GString *value, const char *bytes,
              size_t size)
{
  if (read_value (value, bytes, size, "Content-Length"))
    {
      if (!is_number (value) || value->len >= sizeof head->length
          || (*head->length && strcmp (head->length, value->str) != 0))
        head->invalid = true;
      g_strlcpy (head->length, value->str, sizeof head->length);
    }
  else if (read_value (value, bytes, size, "Transfer-Encoding"))
    {
      if (head->chunks || g_ascii_strcasecmp (value->str, "chunked") != 0)
        head->invalid = true;
      head->chunks = true;
    }
  if (head->chunks && *head->length)
    head->invalid = true;
}

/* Longest idle time of a server that counts.  */
#define MAX_IDLE_S 10

/* Reads what the server says about keeping the connection.  */
static void
read_keeping (client_head_t *head, GString *value, const char *bytes,
              size_t size)
{
  if (read_value (value, bytes, size, "Connection"))
    head->closes |= g_ascii_strcasecmp (value->str, "close") == 0;
  else if (read_value (value, bytes, size, "Keep-Alive")
           && g_ascii_strncasecmp (value->str, "timeout=", 8) == 0)
    head->idle_s
        = CLAMP (g_ascii_strtoll (value->str + 8, NULL, 10), 0, MAX_IDLE_S);
}

/* Whether the SIZE bytes of TEXT begin with a status line, up to its
   status.  */
static bool
begins_status_line (const char *text, size_t size)
{
  static const char form[] = "HTTP/1.d ddd";
  if (size < sizeof form - 1)
    return false;
  for (size_t i = 0; i < sizeof form - 1; i++)
    if (form[i] == 'd' ? !g_ascii_isdigit (text[i]) : text[i] != form[i])
      return false;
  return true;
}

/* Whether an answer may begin inside LINE, because the one before it was cut
   there.  Its headers would count as those of the answer that was cut.  */
static bool
has_status_line_inside (const char *line, size_t size)
{
  for (size_t i = 1; i < size; i++)
    if (begins_status_line (line + i, size - i))
      return true;
  return false;
}

/* Size of the line without its end.  */
static size_t
text_size (const char *line, size_t size)
{
  if (size && line[size - 1] == '\n')
    size--;
  if (size && line[size - 1] == '\r')
    size--;
  return size;
}

static bool
is_valid_line (const char *line, size_t size, bool first)
{
  if (memchr (line, '\r', size) || memchr (line, '\n', size)
      || memchr (line, '\0', size) || has_status_line_inside (line, size))
    return false;
  if (first)
    return begins_status_line (line, size);
  /* This refuses a line that begins with a space, too: it continues the header
     before it, whose value was read without it.  */
  const char *colon = memchr (line, ':', size);
  return colon && client_is_token (line, (size_t)(colon - line));
}

static void
read_line (client_transfer_t *transfer, const char *bytes, size_t size)
{
  client_head_t *head = &transfer->head;
  GString *value = transfer->client->value;
  bool first = !head->lines++;
  if (!is_valid_line (bytes, text_size (bytes, size), first))
    head->invalid = true;
  if (first)
    {
      head->closes = g_str_has_prefix (bytes, "HTTP/1.0");
      return;
    }
  read_framing (head, value, bytes, size);
  read_keeping (head, value, bytes, size);
  if (transfer->expected_name
      && read_value (value, bytes, size, transfer->expected_name))
    {
      if (strcmp (value->str, transfer->expected_value) == 0)
        head->has_id = true;
      else
        head->has_other_id = true;
    }
  if (transfer->success_header
      && read_value (value, bytes, size, transfer->success_header))
    {
      head->invalid |= head->has_stamp;
      head->has_stamp = value->len > 0;
    }
}

int64_t
client_head_kept_ns (const client_head_t *head)
{
  if (head->closes || !(head->chunks || *head->length))
    return 0;
  return head->idle_s ? head->idle_s * KWF_NS_PER_S / 2 : CLIENT_IDLE_NS;
}

static int
transfer_status (const client_transfer_t *transfer)
{
  long status = 0;
  curl_easy_getinfo (transfer->easy->curl, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

static bool
is_interim (int status)
{
  return status < HTTP_FINAL && status != HTTP_OTHER_PROTOCOL;
}

static whole_facts_t
collect_facts (const client_transfer_t *transfer)
{
  const client_head_t *head = &transfer->head;
  int status = transfer_status (transfer);
  return (whole_facts_t){
    .status = status,
    .head_ended = head->ended,
    .head_valid = !head->invalid,
    .has_id
    = !transfer->expected_name || (head->has_id && !head->has_other_id),
    .has_stamp = !transfer->success_header || head->has_stamp,
    .delimited = transfer->is_head || head->chunks || *head->length
                 || status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED,
    .may_end_close = transfer->allow_close_delimited,
  };
}

bool
client_ends_by_close (const client_transfer_t *transfer)
{
  whole_facts_t facts = collect_facts (transfer);
  return !facts.delimited;
}

bool
client_head_add (client_transfer_t *transfer, const char *bytes, size_t size)
{
  client_head_t *head = &transfer->head;
  /* Lines after the head are trailers.  */
  if (head->ended)
    return true;
  if (*bytes != '\r' && *bytes != '\n')
    {
      read_line (transfer, bytes, size);
      return true;
    }
  /* libcurl ends the head at any line that begins like a blank one.  */
  if (text_size (bytes, size))
    head->invalid = true;
  if (!head->invalid && is_interim (transfer_status (transfer)))
    {
      *head = (client_head_t){ 0 };
      return true;
    }
  head->ended = true;
  whole_facts_t facts = collect_facts (transfer);
  head->good = whole_check_head (&facts) == WHOLE_YES;
  return head->good;
}

/* Whether the end of TRANSFER says something about the answer, and not about a
   limit of this client.  */
static bool
is_fault_of_answer (const client_transfer_t *transfer)
{
  return transfer->header_bytes && !transfer->oversized
         && transfer->code != CURLE_OPERATION_TIMEDOUT;
}

static void
count_end_by_close (client_transfer_t *transfer, int status)
{
  transfer->client->counts.by_close++;
  logging_event (257, KWF_LOG_INFO,
                 "the answer of %s ended with its connection: request=%s "
                 "status=%d head_bytes=%zu body_bytes=%zu",
                 transfer->address,
                 transfer->expected_value ? transfer->expected_value : "-",
                 status, transfer->header_bytes, transfer->body_bytes);
}

whole_t
client_judge (client_transfer_t *transfer)
{
  const client_handler_t *handler = transfer->handler;
  whole_facts_t facts = collect_facts (transfer);
  facts.complete = transfer->code == CURLE_OK;
  facts.empty = !transfer->body_bytes;
  facts.reset = transfer->reset;
  facts.may_end = !handler->may_end
                  || handler->may_end (transfer->data, facts.delimited);
  whole_t whole = whole_check (&facts);
  if (whole == WHOLE_YES && !facts.delimited)
    count_end_by_close (transfer, facts.status);
  if (whole == WHOLE_YES || !is_fault_of_answer (transfer))
    return whole;
  transfer->client->counts.not_whole[whole]++;
  logging_event (251, KWF_LOG_WARNING,
                 "the answer of %s is not whole: cause=%s status=%d "
                 "head_bytes=%zu body_bytes=%zu",
                 transfer->address, whole_name (whole), facts.status,
                 transfer->header_bytes, transfer->body_bytes);
  return whole;
}
