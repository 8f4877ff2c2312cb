#include "common-platform.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "common-listener.h"

#define OP 77

void
platform_calls_init (platform_calls_t *calls, const char *address)
{
  *calls = (platform_calls_t){ .loop = ev_loop_new (EVFLAG_AUTO) };
  calls->client = client_new (calls->loop, NULL);
  calls->platform = platform_new (calls->client, address, "i1");
  calls->rows = g_string_new (NULL);
  calls->versions = g_string_new (NULL);
  calls->conflicts = g_string_new (NULL);
  calls->members = g_string_new (NULL);
  calls->object_bytes = g_string_new (NULL);
}

void
platform_calls_clear (platform_calls_t *calls)
{
  platform_free (calls->platform);
  client_free (calls->client);
  ev_loop_destroy (calls->loop);
  GString *texts[] = { calls->rows, calls->versions, calls->conflicts,
                       calls->members, calls->object_bytes };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    g_string_free (texts[i], TRUE);
}

static void
print_rows (GString *text, const kwf_row_t *rows, size_t n_rows)
{
  g_string_truncate (text, 0);
  for (size_t i = 0; i < n_rows; i++)
    g_string_append_printf (text, "%s=%s;", rows[i].key,
                            rows[i].value ? rows[i].value : "-");
}

static void
add_versions (GString *text, const kwf_row_t *rows, size_t n_rows)
{
  for (size_t i = 0; i < n_rows; i++)
    g_string_append_printf (text, "%s=%d;", rows[i].key, (int)rows[i].version);
}

void
platform_calls_on_reply (void *data, kwf_handle_t op,
                         const kwf_store_reply_t *reply)
{
  platform_calls_t *calls = data;
  calls->ended++;
  calls->op = op;
  calls->outcome = reply->outcome;
  calls->revision = reply->revision;
  print_rows (calls->rows, reply->rows, reply->n_rows);
  print_rows (calls->conflicts, reply->conflicts, reply->n_conflicts);
  g_string_truncate (calls->versions, 0);
  add_versions (calls->versions, reply->rows, reply->n_rows);
  add_versions (calls->versions, reply->conflicts, reply->n_conflicts);
}

/* Waits for one answer after the first BEFORE ones.  An answer must not come
   before the call has returned.  */
static void
await (platform_calls_t *calls, int before)
{
  assert_int_equal (calls->ended, before);
  assert_true (run_until (calls->loop, &calls->ended, before + 1, 10.0));
}

kwf_store_outcome_t
platform_calls_txn (platform_calls_t *calls, const kwf_txn_t *txn,
                    int64_t timeout_ns)
{
  int before = calls->ended;
  platform_txn (calls->platform, OP, txn, timeout_ns, platform_calls_on_reply,
                calls);
  await (calls, before);
  assert_int_equal (calls->op, OP);
  return calls->outcome;
}

static void
take_members (void *data, const kwf_members_event_t *event)
{
  platform_calls_t *calls = data;
  calls->ended++;
  calls->valid = event->valid;
  g_string_truncate (calls->members, 0);
  for (size_t i = 0; i < event->n_members; i++)
    {
      const kwf_member_t *member = &event->members[i];
      g_string_append_printf (calls->members, "%s %d %s %s %s %d;", member->id,
                              member->kind, member->name, member->address,
                              member->data_centre, member->leaving);
    }
}

bool
platform_calls_members (platform_calls_t *calls, int64_t timeout_ns)
{
  int before = calls->ended;
  platform_members (calls->platform, timeout_ns, take_members, calls);
  await (calls, before);
  return calls->valid;
}

static void
take_object (void *data, kwf_status_t status, const void *bytes, size_t size)
{
  platform_calls_t *calls = data;
  calls->ended++;
  calls->object_status = status;
  g_string_truncate (calls->object_bytes, 0);
  if (bytes)
    g_string_append_len (calls->object_bytes, bytes, (gssize)size);
}

kwf_status_t
platform_calls_object_get (platform_calls_t *calls, const char *name,
                           int64_t timeout_ns)
{
  int before = calls->ended;
  platform_object_get (calls->platform, name, timeout_ns, take_object, calls);
  await (calls, before);
  return calls->object_status;
}

kwf_status_t
platform_calls_object_put (platform_calls_t *calls, const char *name,
                           const void *bytes, size_t size, int64_t timeout_ns)
{
  int before = calls->ended;
  platform_object_put (calls->platform, name, bytes, size, timeout_ns,
                       take_object, calls);
  await (calls, before);
  return calls->object_status;
}
