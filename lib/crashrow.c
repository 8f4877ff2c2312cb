#include "crashrow.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

char *
crashrow_write (const crashrow_t *row)
{
  json_t *lost = json_array ();
  for (int i = 0; i < row->n_lost; i++)
    json_array_append_new (
        lost, json_pack ("{s:s,s:I,s:i}", "server", row->lost[i].server,
                         "incarnation", (json_int_t)row->lost[i].incarnation,
                         "moment", row->moment_of[i]));
  json_t *object = json_pack (
      "{s:s,s:o,s:i,s:b,s:s?,s:s?,s:I,s:I}", "state", row->state, "lost", lost,
      "proofs", row->n_proofs, "finished", row->finished, "holder",
      row->holder, "server", row->server, "incarnation",
      (json_int_t)row->incarnation, "for_ms", (json_int_t)row->for_ms);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

static void
read_losses (const json_t *array, crashrow_t *row)
{
  size_t i;
  json_t *item;
  json_array_foreach (array, i, item)
  {
    const char *server = NULL;
    json_int_t incarnation = 0;
    int moment = 0;
    if (row->n_lost == CRASHROW_MAX_LOST
        || json_unpack (item, "{s:s,s:I,s?i}", "server", &server,
                        "incarnation", &incarnation, "moment", &moment)
               != 0)
      continue;
    row->moment_of[row->n_lost] = moment;
    row->lost[row->n_lost++]
        = (crash_loss_t){ .server = (char *)server,
                          .incarnation = (uint64_t)incarnation };
  }
}

bool
crashrow_read (const char *text, crashrow_fn_t fn, void *data)
{
  json_t *object = json_loads (text, 0, NULL);
  crashrow_t row = { 0 };
  json_t *lost = NULL;
  json_int_t duration = 0;
  json_int_t incarnation = 0;
  bool good
      = object
        && json_unpack (object, "{s:s,s:o,s:I,s:I,s?i}", "state", &row.state,
                        "lost", &lost, "incarnation", &incarnation, "for_ms",
                        &duration, "proofs", &row.n_proofs)
               == 0
        && duration >= 0;
  if (good)
    {
      row.for_ms = duration;
      row.finished = json_is_true (json_object_get (object, "finished"));
      row.holder = json_string_value (json_object_get (object, "holder"));
      row.server = json_string_value (json_object_get (object, "server"));
      row.incarnation = (uint64_t)incarnation;
      read_losses (lost, &row);
      fn (&row, data);
    }
  json_decref (object);
  return good;
}

char *
trialrow_write (uint64_t fingerprint, const char *holder, int64_t for_ms)
{
  char name[17];
  snprintf (name, sizeof name, "%016" PRIx64, fingerprint);
  json_t *object = json_pack ("{s:s,s:s,s:I}", "fingerprint", name, "holder",
                              holder, "for_ms", (json_int_t)for_ms);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

bool
trialrow_read (const char *text, int64_t *for_ms)
{
  json_t *object = json_loads (text, 0, NULL);
  json_int_t duration = 0;
  bool good
      = object && json_unpack (object, "{s:I}", "for_ms", &duration) == 0;
  json_decref (object);
  *for_ms = duration;
  return good;
}
