/* The product's own interface (protocol "table"): orders and load reports of
   model engines as in docs/design.md section 10, callers as in API.md.  */

#include "answer.h"
#include "instance-internal.h"

#include <jansson.h>

#include "table-store.h"

static const char *
text_or_null (const json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}

static int64_t
number_of (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

/* Copy of the text member NAME, "" when there is none; kept in TEXTS.  */
static const char *
keep_text (GPtrArray *texts, const json_t *object, const char *name)
{
  const char *text = text_or_null (object, name);
  char *copy = g_strdup (text ? text : "");
  g_ptr_array_add (texts, copy);
  return copy;
}

static void
read_resident (kwf_resident_t *resident, GPtrArray *texts, const json_t *model)
{
  const json_t *adapters = json_object_get (model, "adapters");
  size_t count = json_array_size (adapters);
  const char **names = g_new0 (const char *, count + 1);
  g_ptr_array_add (texts, names);
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (adapters, i));
      names[i] = g_strdup (name ? name : "");
      g_ptr_array_add (texts, (char *)names[i]);
    }
  *resident = (kwf_resident_t){ .name = keep_text (texts, model, "name"),
                                .version = keep_text (texts, model, "version"),
                                .adapters = names,
                                .n_adapters = count };
}

/* Requests that one engine may have, and the memory that it may have: greater
   numbers are none of an engine.  */
#define REQUESTS_MAX 1000000
#define MEMORY_MAX_MB INT64_C (1000000000000)

/* Whether NAME is absent in OBJECT or an integer from 0 to MOST.  */
static bool
is_absent_or_count (const json_t *object, const char *name, int64_t most)
{
  const json_t *value = json_object_get (object, name);
  return !value
         || (json_is_integer (value) && json_integer_value (value) >= 0
             && json_integer_value (value) <= most);
}

static bool
is_report (const json_t *root)
{
  return json_is_integer (json_object_get (root, "incarnation"))
         && is_absent_or_count (root, "memory_total_mb", MEMORY_MAX_MB)
         && is_absent_or_count (root, "memory_used_mb", MEMORY_MAX_MB)
         && is_absent_or_count (root, "running", REQUESTS_MAX)
         && is_absent_or_count (root, "waiting", REQUESTS_MAX)
         && is_absent_or_count (root, "batch", REQUESTS_MAX);
}

static bool
read_report (kwf_report_event_t *report, GPtrArray *texts,
             const client_answer_t *answer)
{
  json_t *root = answer->status == 200 ? answer_json (answer) : NULL;
  bool good = is_report (root);
  if (good)
    {
      const json_t *models = json_object_get (root, "models");
      size_t count = json_array_size (models);
      kwf_resident_t *residents = g_new0 (kwf_resident_t, count + 1);
      g_ptr_array_add (texts, residents);
      for (size_t i = 0; i < count; i++)
        read_resident (&residents[i], texts, json_array_get (models, i));
      *report = (kwf_report_event_t){
        .valid = true,
        .incarnation = (uint64_t)number_of (root, "incarnation"),
        .leaving = json_is_true (json_object_get (root, "leaving")),
        .fencing = json_is_true (json_object_get (root, "fencing")),
        .resume = json_is_true (json_object_get (root, "resume")),
        .memory_total_mb = number_of (root, "memory_total_mb"),
        .memory_used_mb = number_of (root, "memory_used_mb"),
        .running = (int)number_of (root, "running"),
        .waiting = (int)number_of (root, "waiting"),
        .batch = (int)number_of (root, "batch"),
        .models = residents,
        .n_models = count,
      };
    }
  json_decref (root);
  return good;
}

static char *
order_body (const kwf_order_t *order)
{
  json_t *object
      = json_pack ("{s:s,s:s,s:s,s:s,s:I}", "id", order->id, "order",
                   order->order, "model", order->model, "version",
                   order->version, "fence", (json_int_t)order->fence);
  if (*order->adapter)
    json_object_set_new (object, "adapter", json_string (order->adapter));
  char *body = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return body;
}

static void
read_order (kwf_order_event_t *event, GPtrArray *texts,
            const client_answer_t *answer)
{
  json_t *root = answer_json (answer);
  const json_t *error = json_object_get (root, "error");
  if (json_is_string (json_object_get (error, "code")))
    event->code = keep_text (texts, error, "code");
  event->running = g_strcmp0 (text_or_null (root, "state"), "running") == 0;
  json_decref (root);
}

static store_t *
new_store (instance_t *instance, const store_handler_t *handler)
{
  return table_store_new (instance->control, instance->settings->platform,
                          instance->settings->instance, handler, instance);
}

const protocol_t table_protocol = {
  .callers = &caller_handler,
  .new_store = new_store,
  .order_target = "/orders",
  .order_body = order_body,
  .read_order = read_order,
  .report_target = "/status",
  .read_report = read_report,
};
