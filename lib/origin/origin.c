#include "origin.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "../op.h"
#include "../revision.h"
#include "../write-gap.h"
#include "begun.h"
#include "versions.h"

/* From a write to its row's arrival at another instance.  */
#define ARRIVAL_NS (350 * KWF_NS_PER_MS)
/* Instances notice a new version at about the same time; each waits for a
   random time within this for each instance of the fleet, so that most find
   the row written.  */
#define ROW_SPREAD_EACH_NS (5 * KWF_NS_PER_MS)
#define ROW_RETRY_NS (1 * KWF_NS_PER_S)
#define WRITE_TIMEOUT_NS (2 * KWF_NS_PER_S)
/* A version that cannot be written is used all the same after this time.  */
#define UNWRITTEN_NS (2 * KWF_NS_PER_S)
#define EXPIRE_PERIOD_NS (1 * KWF_NS_PER_S)

struct origins
{
  const kwf_clock_t *clock;
  kwf_random_t *random;
  GHashTable *services; /* name to versions_t */
  begun_t *begun;
  uint64_t next_op;
  int64_t write_ns;   /* no write of records before this time */
  int64_t expire_ns;  /* next check of what is too old */
  int64_t gap_ns;     /* between two writes of records */
  int64_t several_ns; /* when several versions were last possible; 0: never */
  size_t n_members;   /* of the fleet */
  bool readable;      /* the table has been read */
};

origins_t *
origins_new (const kwf_core_options_t *options)
{
  origins_t *origins = g_new0 (origins_t, 1);
  origins->clock = options->clock;
  origins->random = options->random;
  origins->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, versions_free);
  origins->begun = begun_new (options->instance);
  origins->gap_ns = write_gap_ns (1);
  return origins;
}

void
origins_free (origins_t *origins)
{
  if (!origins)
    return;
  g_hash_table_unref (origins->services);
  begun_free (origins->begun);
  g_free (origins);
}

uint64_t
origin_key (const char *service, const char *organisation, const char *id)
{
  uint64_t key = XXH3_64bits (service, strlen (service) + 1);
  key = XXH3_64bits_withSeed (organisation, strlen (organisation) + 1, key);
  key = XXH3_64bits_withSeed (id, strlen (id) + 1, key);
  return key ? key : 1;
}

static versions_t *
versions_of (origins_t *origins, const char *service)
{
  versions_t *versions = g_hash_table_lookup (origins->services, service);
  if (!versions)
    {
      versions = versions_new (service);
      g_hash_table_insert (origins->services, versions->service, versions);
    }
  return versions;
}

bool
origins_are_unwritten (const origins_t *origins)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const versions_t *)value)->grown_ns)
      return true;
  return false;
}

bool
origins_may_begin (const origins_t *origins, const char *service,
                   uint64_t software)
{
  const versions_t *versions
      = g_hash_table_lookup (origins->services, service);
  return !software || !versions || !versions->grown_ns
         || versions_has (versions, software)
         || kwf_now_ns (origins->clock) - versions->grown_ns >= UNWRITTEN_NS;
}

void
origins_begin (origins_t *origins, const char *service, uint64_t key,
               uint64_t software)
{
  const versions_t *versions
      = g_hash_table_lookup (origins->services, service);
  if (!software || !versions)
    return;
  begun_add (origins->begun, service, key, software,
             versions_are_several (versions), kwf_now_ns (origins->clock));
}

origin_word_t
origins_find (const origins_t *origins, const char *service, uint64_t key,
              uint64_t *software)
{
  const versions_t *versions
      = g_hash_table_lookup (origins->services, service);
  if (key && begun_find (origins->begun, key, software))
    return ORIGIN_RECORDED;
  *software = 0;
  /* The servers of the service name no versions.  */
  if (!versions || (!versions->present->len && !versions->kept->len))
    return ORIGIN_ONLY;
  return versions_only (versions, software) ? ORIGIN_ONLY : ORIGIN_UNKNOWN;
}

int64_t
origins_delay_ns (const origins_t *origins)
{
  return origins->gap_ns + ARRIVAL_NS;
}

/* Streams that began while there was one version need records once there are
   several.  */
static void
note_change (origins_t *origins, versions_t *versions, bool were_several,
             kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (origins->clock);
  if (versions_are_several (versions))
    origins->several_ns = now_ns;
  if (were_several || !versions_are_several (versions))
    return;
  kwf_effects_log (effects, 276, KWF_LOG_INFO, NULL,
                   "service=%s has servers of several software versions; "
                   "what began each stream is recorded",
                   versions->service);
  begun_write_all (origins->begun, versions->service, now_ns);
}

static void
schedule_row (origins_t *origins, versions_t *versions, int64_t now_ns)
{
  if (versions->write_ns || versions->op
      || !versions_need_row (versions, now_ns))
    return;
  uint64_t random;
  origins->random->ops->fill (origins->random, &random, sizeof random);
  uint64_t spread_ns = MAX (origins->n_members, 1) * ROW_SPREAD_EACH_NS;
  versions->write_ns = now_ns + (int64_t)(random % spread_ns);
}

static void
handle_members (origins_t *origins, const kwf_members_event_t *members,
                kwf_effects_t *effects)
{
  if (!members->valid)
    return;
  int64_t now_ns = kwf_now_ns (origins->clock);
  for (size_t i = 0; i < members->n_members; i++)
    if (members->members[i].software)
      (void)versions_of (origins, members->members[i].name);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bool were_several = versions_are_several (value);
      if (versions_set_present (value, members, now_ns))
        note_change (origins, value, were_several, effects);
      schedule_row (origins, value, now_ns);
    }
}

static void
apply_row (origins_t *origins, const kwf_row_t *row, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (origins->clock);
  if (g_str_has_prefix (row->key, BEGUN_PREFIX))
    begun_apply_row (origins->begun, row, now_ns);
  if (!g_str_has_prefix (row->key, VERSIONS_PREFIX))
    return;
  versions_t *versions
      = versions_of (origins, row->key + strlen (VERSIONS_PREFIX));
  bool were_several = versions_are_several (versions);
  versions_apply_row (versions, row, now_ns);
  note_change (origins, versions, were_several, effects);
  schedule_row (origins, versions, now_ns);
}

static void
write_row (origins_t *origins, const session_t *session, versions_t *versions,
           int64_t now_ns, kwf_effects_t *effects)
{
  versions->write_ns = 0;
  if (!versions_need_row (versions, now_ns))
    return;
  versions->op = op_handle (OP_ORIGIN, ++origins->next_op);
  char *text = versions_row_text (
      versions, revision_era (session_revision (session)), now_ns);
  char *key
      = kwf_effects_printf (effects, VERSIONS_PREFIX "%s", versions->service);
  kwf_condition_t *condition = kwf_effects_alloc (effects, sizeof *condition);
  *condition
      = (kwf_condition_t){ key, versions->exists ? versions->version : 0 };
  kwf_put_t *put = kwf_effects_alloc (effects, sizeof *put);
  *put = (kwf_put_t){ key, kwf_effects_strdup (effects, text) };
  g_free (text);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_STORE);
  effect->store.op = versions->op;
  effect->store.timeout_ns = WRITE_TIMEOUT_NS;
  effect->store.txn = (kwf_txn_t){
    .conditions = condition, .n_conditions = 1, .puts = put, .n_puts = 1
  };
}

static void
handle_reply (origins_t *origins, kwf_handle_t op,
              const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  if (begun_handle_reply (origins->begun, op, reply))
    return;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      versions_t *versions = value;
      if (versions->op != op)
        continue;
      versions->op = 0;
      if (reply->outcome == KWF_STORE_COMMITTED)
        versions_row_written (versions);
      /* The row arrives by the feed, unless another one was there.  */
      versions->write_ns = kwf_now_ns (origins->clock) + ROW_RETRY_NS;
      for (size_t i = 0; i < reply->n_conflicts; i++)
        apply_row (origins, &reply->conflicts[i], effects);
      return;
    }
}

/* Writes what is due; removes the records when no stream needs them.  */
static void
write_records (origins_t *origins, int64_t now_ns, kwf_effects_t *effects)
{
  if (now_ns < origins->write_ns)
    return;
  kwf_handle_t op = op_handle (OP_ORIGIN, origins->next_op + 1);
  bool written = begun_write (origins->begun, op, WRITE_TIMEOUT_NS, effects);
  if (!written && !begun_is_dirty (origins->begun) && origins->several_ns
      && now_ns - origins->several_ns > ORIGIN_KEEP_NS)
    written
        = begun_remove_rows (origins->begun, op, WRITE_TIMEOUT_NS, effects);
  if (!written)
    return;
  origins->next_op++;
  origins->gap_ns = write_gap_ns (origins->n_members);
  origins->write_ns = now_ns + origins->gap_ns;
}

static void
tick (origins_t *origins, const session_t *session, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (origins->clock);
  bool is_due = now_ns >= origins->expire_ns;
  if (is_due)
    {
      origins->expire_ns = now_ns + EXPIRE_PERIOD_NS;
      begun_expire (origins->begun, now_ns);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      versions_t *versions = value;
      if (versions_are_several (versions))
        origins->several_ns = now_ns;
      if (is_due)
        {
          versions_settle (versions, now_ns);
          schedule_row (origins, versions, now_ns);
        }
      if (versions->write_ns && now_ns >= versions->write_ns)
        write_row (origins, session, versions, now_ns, effects);
    }
  write_records (origins, now_ns, effects);
}

void
origins_step (origins_t *origins, const session_t *session,
              const kwf_event_t *event, const session_changes_t *changes,
              kwf_effects_t *effects)
{
  if (event->type == KWF_EV_MEMBERS || changes->fresh)
    origins->n_members = session_count_members (session);
  for (size_t i = 0; changes->fresh && i < changes->n_rows; i++)
    apply_row (origins, &changes->rows[i], effects);
  if (event->type == KWF_EV_MEMBERS)
    handle_members (origins, &event->members, effects);
  if (event->type == KWF_EV_STORE_REPLY)
    handle_reply (origins, event->store.op, &event->store.reply, effects);
  origins->readable = session_revision (session) > 0;
  if (origins->readable)
    tick (origins, session, effects);
}

int64_t
origins_next_tick_ns (const origins_t *origins)
{
  if (!origins->readable || !g_hash_table_size (origins->services))
    return INT64_MAX;
  int64_t next_ns = INT64_MAX;
  if (begun_is_dirty (origins->begun))
    next_ns = origins->write_ns;
  if (begun_size (origins->begun) || origins->several_ns)
    next_ns = MIN (next_ns, origins->expire_ns);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const versions_t *versions = value;
      if (versions->write_ns)
        next_ns = MIN (next_ns, versions->write_ns);
      next_ns = MIN (next_ns,
                     MAX (versions_next_ns (versions), origins->expire_ns));
    }
  return next_ns;
}

void
origins_write_metrics (const origins_t *origins, GString *out)
{
  guint several = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    several += versions_are_several (value);
  g_string_append_printf (out,
                          "# TYPE kwf_stream_records gauge\n"
                          "kwf_stream_records %zu\n"
                          "# TYPE kwf_services_of_several_versions gauge\n"
                          "kwf_services_of_several_versions %u\n",
                          begun_size (origins->begun), several);
}
