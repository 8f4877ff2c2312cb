#include "begun.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../revision.h"
#include "origin.h"

/* Rows of one instance.  A row gets the records of SLOT_NS or SLOT_RECORDS,
   and is used again when all others have been, after more than ORIGIN_KEEP_NS.
 */
#define N_SLOTS 16
#define SLOT_NS (4 * KWF_NS_PER_S)
#define SLOT_RECORDS 512
/* Records in memory at most, of all instances; the oldest give way.  */
#define RECORDS_MAX 200000
#define KEY_DIGITS 16

typedef struct
{
  uint64_t key;
  uint64_t software;
  uint64_t service; /* hash of its name; 0: of another instance */
  int64_t known_ns; /* when this instance learnt it */
  bool in_row;      /* it is in a row, or in the slot that is to be written */
} record_t;

struct begun
{
  char *instance;
  GHashTable *records; /* key to record_t */
  GQueue order;        /* of record_t, as they were learnt */
  /* The row that is being filled.  */
  GArray *slot; /* of record_t */
  int slot_number;
  int64_t slot_ns; /* when its first record was added; 0: it is empty */
  bool dirty;      /* it has records that were not written */
  kwf_handle_t op; /* of the open write; 0: none */
  bool removes;    /* that removes all rows */
  int64_t versions[N_SLOTS]; /* of the rows; 0: there is none */
  int64_t era;               /* of the last row of its own */
};

begun_t *
begun_new (const char *instance)
{
  begun_t *begun = g_new0 (begun_t, 1);
  begun->instance = g_strdup (instance);
  begun->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&begun->order);
  begun->slot = g_array_new (FALSE, FALSE, sizeof (record_t));
  begun->slot_number = -1;
  return begun;
}

void
begun_free (begun_t *begun)
{
  g_queue_clear (&begun->order);
  g_hash_table_unref (begun->records);
  g_array_free (begun->slot, TRUE);
  g_free (begun->instance);
  g_free (begun);
}

static void
drop_first (begun_t *begun)
{
  const record_t *record = g_queue_pop_head (&begun->order);
  g_hash_table_remove (begun->records, &record->key);
}

/* Returns the record of KEY, as the newest one.  */
static record_t *
find_or_add (begun_t *begun, uint64_t key, int64_t now_ns)
{
  record_t *record = g_hash_table_lookup (begun->records, &key);
  if (!record)
    {
      if (g_queue_get_length (&begun->order) >= RECORDS_MAX)
        drop_first (begun);
      record = g_new0 (record_t, 1);
      record->key = key;
      g_hash_table_insert (begun->records, &record->key, record);
    }
  else
    g_queue_remove (&begun->order, record);
  g_queue_push_tail (&begun->order, record);
  record->known_ns = now_ns;
  return record;
}

/* The row that was written longest ago.  */
static int
oldest_slot (const begun_t *begun)
{
  int oldest = 0;
  for (int i = 1; i < N_SLOTS; i++)
    if (begun->versions[i] < begun->versions[oldest])
      oldest = i;
  return oldest;
}

static void
add_to_slot (begun_t *begun, record_t *record, int64_t now_ns)
{
  bool full = begun->slot->len >= SLOT_RECORDS
              || (begun->slot_ns && now_ns - begun->slot_ns >= SLOT_NS);
  if (begun->slot_number < 0 || (full && !begun->dirty && !begun->op))
    {
      begun->slot_number = oldest_slot (begun);
      begun->slot_ns = now_ns;
      g_array_set_size (begun->slot, 0);
    }
  record->in_row = true;
  begun->dirty = true;
  g_array_append_val (begun->slot, *record);
}

static uint64_t
service_hash (const char *service)
{
  return origin_key (service, "", "");
}

void
begun_add (begun_t *begun, const char *service, uint64_t key,
           uint64_t software, bool write, int64_t now_ns)
{
  record_t *record = find_or_add (begun, key, now_ns);
  record->software = software;
  record->service = service_hash (service);
  if (write)
    add_to_slot (begun, record, now_ns);
}

void
begun_write_all (begun_t *begun, const char *service, int64_t now_ns)
{
  uint64_t hash = service_hash (service);
  for (GList *link = begun->order.head; link; link = link->next)
    {
      record_t *record = link->data;
      if (record->service == hash && !record->in_row)
        add_to_slot (begun, record, now_ns);
    }
}

bool
begun_find (const begun_t *begun, uint64_t key, uint64_t *software)
{
  const record_t *record = g_hash_table_lookup (begun->records, &key);
  if (record)
    *software = record->software;
  return record != NULL;
}

static void
take_keys (begun_t *begun, uint64_t software, const char *keys, int64_t now_ns)
{
  char digits[KEY_DIGITS + 1] = "";
  for (; strlen (keys) >= KEY_DIGITS; keys += KEY_DIGITS)
    {
      memcpy (digits, keys, KEY_DIGITS);
      uint64_t key = strtoull (digits, NULL, 16);
      if (g_hash_table_contains (begun->records, &key))
        continue;
      record_t *record = find_or_add (begun, key, now_ns);
      record->software = software;
      record->in_row = true;
    }
}

/* The rows may be older than what was written.  */
static void
write_own_again (begun_t *begun, int64_t now_ns)
{
  for (GList *link = begun->order.head; link; link = link->next)
    {
      record_t *record = link->data;
      if (record->service && record->in_row)
        add_to_slot (begun, record, now_ns);
    }
}

/* Notes the version of one of this instance's own rows.  */
static void
note_own_row (begun_t *begun, const kwf_row_t *row, int64_t now_ns)
{
  const char *name = row->key + strlen (BEGUN_PREFIX);
  size_t size = strlen (begun->instance);
  if (strncmp (name, begun->instance, size) != 0 || name[size] != '/')
    return;
  int slot = atoi (name + size + 1);
  if (slot < 0 || slot >= N_SLOTS)
    return;
  begun->versions[slot] = row->value ? row->version : 0;
  int64_t era = revision_era (row->version);
  if (era <= begun->era)
    return;
  begun->era = era;
  write_own_again (begun, now_ns);
}

void
begun_apply_row (begun_t *begun, const kwf_row_t *row, int64_t now_ns)
{
  note_own_row (begun, row, now_ns);
  json_t *root = row->value ? json_loads (row->value, 0, NULL) : NULL;
  const char *software;
  json_t *keys;
  json_object_foreach (json_object_get (root, "begun"), software, keys)
  {
    if (json_is_string (keys))
      take_keys (begun, strtoull (software, NULL, 16),
                 json_string_value (keys), now_ns);
  }
  json_decref (root);
}

void
begun_expire (begun_t *begun, int64_t now_ns)
{
  const record_t *first;
  while ((first = g_queue_peek_head (&begun->order))
         && now_ns - first->known_ns > ORIGIN_KEEP_NS)
    drop_first (begun);
}

static char *
slot_key (const begun_t *begun, int slot, kwf_effects_t *effects)
{
  return kwf_effects_printf (effects, BEGUN_PREFIX "%s/%d", begun->instance,
                             slot);
}

/* {"begun":{SOFTWARE:KEYS,...}}, all in hexadecimal.  */
static char *
slot_text (const begun_t *begun, kwf_effects_t *effects)
{
  GString *text = g_string_new ("{\"begun\":{");
  GHashTable *done = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (guint i = 0; i < begun->slot->len; i++)
    {
      const record_t *first = &g_array_index (begun->slot, record_t, i);
      if (!g_hash_table_add (done, (void *)&first->software))
        continue;
      g_string_append_printf (text, "%s\"%016" G_GINT64_MODIFIER "x\":\"",
                              g_hash_table_size (done) > 1 ? "," : "",
                              first->software);
      for (guint k = i; k < begun->slot->len; k++)
        {
          const record_t *record = &g_array_index (begun->slot, record_t, k);
          if (record->software == first->software)
            g_string_append_printf (text, "%016" G_GINT64_MODIFIER "x",
                                    record->key);
        }
      g_string_append_c (text, '"');
    }
  g_hash_table_unref (done);
  g_string_append (text, "}}");
  char *copy = kwf_effects_strdup (effects, text->str);
  g_string_free (text, TRUE);
  return copy;
}

static void
send_puts (begun_t *begun, kwf_handle_t op, int64_t timeout_ns,
           const kwf_put_t *puts, size_t n, kwf_effects_t *effects)
{
  begun->op = op;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = op;
  effect->store.timeout_ns = timeout_ns;
  effect->store.txn = (kwf_txn_t){ .puts = puts, .n_puts = n };
}

bool
begun_write (begun_t *begun, kwf_handle_t op, int64_t timeout_ns,
             kwf_effects_t *effects)
{
  if (begun->op || !begun->dirty)
    return false;
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  put->key = slot_key (begun, begun->slot_number, effects);
  put->value = slot_text (begun, effects);
  begun->dirty = false;
  begun->removes = false;
  send_puts (begun, op, timeout_ns, put, 1, effects);
  return true;
}

bool
begun_remove_rows (begun_t *begun, kwf_handle_t op, int64_t timeout_ns,
                   kwf_effects_t *effects)
{
  size_t n = 0;
  kwf_put_t *puts = kwf_effects_alloc (effects, N_SLOTS * sizeof *puts);
  for (int i = 0; i < N_SLOTS && !begun->op; i++)
    if (begun->versions[i])
      puts[n++] = (kwf_put_t){ .key = slot_key (begun, i, effects) };
  if (!n)
    return false;
  begun->removes = true;
  begun->slot_number = -1;
  send_puts (begun, op, timeout_ns, puts, n, effects);
  return true;
}

bool
begun_handle_reply (begun_t *begun, kwf_handle_t op,
                    const kwf_store_reply_t *reply)
{
  if (!begun->op || op != begun->op)
    return false;
  begun->op = 0;
  bool done = reply->outcome == KWF_STORE_COMMITTED;
  if (begun->removes && done)
    memset (begun->versions, 0, sizeof begun->versions);
  else if (done)
    begun->versions[begun->slot_number] = reply->revision;
  else if (!begun->removes)
    begun->dirty = true;
  return true;
}

bool
begun_is_dirty (const begun_t *begun)
{
  return begun->dirty;
}

size_t
begun_size (const begun_t *begun)
{
  return g_hash_table_size (begun->records);
}
