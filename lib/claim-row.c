#include "claim-row.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "base64.h"

/* Statuses of HTTP.  */
#define STATUS_MIN 100
#define STATUS_MAX 599

static const char too_large[]
    = "{\"error\":{\"code\":\"answer_not_kept\",\"message\":\"the call ran "
      "earlier; its answer was larger than 65536 bytes and was not kept\","
      "\"type\":\"conflict\",\"run\":\"yes\"}}";

static void
write_answer (json_t *object, const claim_row_t *row)
{
  const char *type = row->content_type ? row->content_type : "";
  json_object_set_new (object, "status", json_integer (row->status));
  if (row->body_size > CLAIM_BODY_MAX)
    {
      json_object_set_new (object, "too_large", json_true ());
      return;
    }
  /* The body may be any bytes; JSON strings hold only UTF-8.  */
  char *body = g_base64_encode ((const guchar *)(row->body ? row->body : ""),
                                row->body_size);
  json_object_set_new (object, "content_type", json_string (type));
  json_object_set_new (object, "body", json_string (body));
  g_free (body);
}

char *
claim_row_write (const claim_row_t *row)
{
  json_t *object
      = json_pack ("{s:s,s:s,s:I,s:s,s:I}", "claim", row->id, "instance",
                   row->instance, "incarnation", (json_int_t)row->incarnation,
                   "state", row->state, "at_ms", (json_int_t)row->at_ms);
  if (strcmp (row->state, "done") == 0)
    write_answer (object, row);
  char *text = json_dumps (object, JSON_COMPACT);
  char *copy = g_strdup (text);
  free (text);
  json_decref (object);
  return copy;
}

/* Whether the answer is whole: with a status, a type, and a body that is
   base64.  */
static bool
read_answer (json_t *object, claim_row_t *row)
{
  json_int_t status = json_integer_value (json_object_get (object, "status"));
  if (status < STATUS_MIN || status > STATUS_MAX)
    return false;
  row->status = (int)status;
  if (json_is_true (json_object_get (object, "too_large")))
    {
      row->content_type = "application/json";
      row->body = g_strdup (too_large);
      row->body_size = strlen (too_large);
      return true;
    }
  row->content_type
      = json_string_value (json_object_get (object, "content_type"));
  const char *body = json_string_value (json_object_get (object, "body"));
  row->body = body ? base64_decode (body, &row->body_size) : NULL;
  return row->content_type && row->body && row->body_size <= CLAIM_BODY_MAX;
}

bool
claim_row_read (const char *text, claim_row_t *row)
{
  *row = (claim_row_t){ 0 };
  json_t *object = json_loads (text, JSON_REJECT_DUPLICATES, NULL);
  row->json = object;
  row->id = json_string_value (json_object_get (object, "claim"));
  row->instance = json_string_value (json_object_get (object, "instance"));
  row->state = json_string_value (json_object_get (object, "state"));
  row->incarnation
      = (uint64_t)json_integer_value (json_object_get (object, "incarnation"));
  row->at_ms = json_integer_value (json_object_get (object, "at_ms"));
  if (row->id && row->instance && row->state && row->at_ms >= 0
      && (strcmp (row->state, "done") != 0 || read_answer (object, row)))
    return true;
  claim_row_clear (row);
  return false;
}

void
claim_row_clear (claim_row_t *row)
{
  g_free ((char *)row->body);
  json_decref (row->json);
  *row = (claim_row_t){ 0 };
}
