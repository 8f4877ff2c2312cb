#include "backend.h"

#include "notice.h"
#include "restored.h"

#include <string.h>
#include <xxhash.h>

/* Consecutive failures that open the circuit.  */
#define CIRCUIT_FAILURES 5
#define CIRCUIT_FIRST_NS (1 * KWF_NS_PER_S)
#define CIRCUIT_DOUBLINGS 4

/* A server whose process was lost keeps its place in the ranking for this
   long, so that a crash does not bring in a third candidate (docs/design.md
   section 7).  */
#define LOST_KEEP_NS (60 * KWF_NS_PER_S)

/* A server that refused a connection is probed again after this time where
   there are no regular load reports.  */
#define REFUSED_PROBE_NS (1 * KWF_NS_PER_S)

/* An unload waits for the requests that use the model, and entries list the
   model until it is done.  For this long after the announcement of the unload,
   the model is left out of such entries.  */
#define UNLOAD_IGNORE_NS (10 * KWF_NS_PER_S)

/* An entry that describes a live server is at most this old when it is
   read.  */
#define ENTRY_MAX_AGE_NS (2 * KWF_NS_PER_S)

/* In less than this an entry cannot expire: that takes three heartbeats of its
   server.  */
#define EXPIRY_MIN_NS (2 * KWF_NS_PER_S)
/* Part of list_delay_ns for which a server may be chosen after its entry was
   removed.  The rest is for requests that are on their way.  */
#define REMOVED_USE_PART 0.85

#define MEMBERS_PERIOD_NS (KWF_NS_PER_S / 2)
#define MEMBERS_TIMEOUT_NS (5 * KWF_NS_PER_S)
#define PROBE_TIMEOUT_NS (5 * KWF_NS_PER_S)

struct backend
{
  const kwf_clock_t *clock;
  int64_t probe_period_ns;
  bool push_updates; /* the list arrives without a request and describes the
                  servers */
  int64_t list_delay_ns; /* longest time until a change of the list is known to
                            this instance */
  uint64_t instance_hash;
  GHashTable *by_id;  /* id to server_t, owned */
  GPtrArray *servers; /* the same, for iteration */
  GHashTable *by_model;
  GHashTable *by_service;
  GHashTable *model_loading_announced; /* model to time of the message */
  bool index_stale;
  bool models_changed; /* models or adapters of an engine changed */
  int64_t next_members_ns;
  bool members_asked;
  int64_t members_since_ns;
  int64_t list_revision; /* of the last list; 0: there was none */
  int64_t deadline_ns;
};

static void
server_model_free (gpointer data)
{
  server_model_t *resident = data;
  g_free (resident->version);
  g_hash_table_unref (resident->adapters);
  g_free (resident);
}

static GHashTable *
new_model_map (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                server_model_free);
}

static void
server_free (gpointer data)
{
  server_t *server = data;
  g_free (server->id);
  g_free (server->removed_model);
  g_free (server->name);
  g_free (server->address);
  g_free (server->data_centre);
  g_hash_table_unref (server->models);
  g_hash_table_unref (server->first_data_stats);
  if (server->lost_models)
    g_hash_table_unref (server->lost_models);
  if (server->unloading)
    g_hash_table_unref (server->unloading);
  g_free (server);
}

void
backend_set_unloading (server_t *server, GHashTable *unloading)
{
  if (server->unloading)
    g_hash_table_unref (server->unloading);
  server->unloading = unloading;
}

static void
array_free (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

backend_t *
backend_new (const kwf_core_options_t *options)
{
  backend_t *backend = g_new0 (backend_t, 1);
  backend->clock = options->clock;
  backend->probe_period_ns = options->probe_ns;
  backend->push_updates = options->push_updates;
  backend->list_delay_ns
      = options->fresh_ns ? options->fresh_ns : SESSION_FRESH_NS;
  backend->instance_hash
      = XXH64 (options->instance, strlen (options->instance), 0);
  backend->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, server_free);
  backend->servers = g_ptr_array_new ();
  backend->by_model
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, array_free);
  backend->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, array_free);
  backend->model_loading_announced
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return backend;
}

void
backend_free (backend_t *backend)
{
  if (!backend)
    return;
  g_hash_table_unref (backend->model_loading_announced);
  g_hash_table_unref (backend->by_model);
  g_hash_table_unref (backend->by_service);
  g_ptr_array_free (backend->servers, TRUE);
  g_hash_table_unref (backend->by_id);
  g_free (backend);
}

server_t *
backend_find (const backend_t *backend, const char *id)
{
  return g_hash_table_lookup (backend->by_id, id);
}

const GPtrArray *
backend_servers (const backend_t *backend)
{
  return backend->servers;
}

/* Index of servers by model and by service.  */

static void
index_add (GHashTable *index, const char *name, server_t *server)
{
  GPtrArray *array = g_hash_table_lookup (index, name);
  if (!array)
    {
      array = g_ptr_array_new ();
      g_hash_table_insert (index, g_strdup (name), array);
    }
  g_ptr_array_add (array, server);
}

static void
index_server (backend_t *backend, server_t *server)
{
  if (*server->name)
    index_add (backend->by_service, server->name, server);
  if (server->kind == KWF_MEMBER_SERVICE)
    return;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, server->models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    index_add (backend->by_model, name, server);
  if (!server->lost_models)
    return;
  g_hash_table_iter_init (&iter, server->lost_models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (server->models, name))
      index_add (backend->by_model, name, server);
}

static void
refresh_index (backend_t *backend)
{
  if (!backend->index_stale)
    return;
  backend->index_stale = false;
  g_hash_table_remove_all (backend->by_model);
  g_hash_table_remove_all (backend->by_service);
  for (guint i = 0; i < backend->servers->len; i++)
    index_server (backend, g_ptr_array_index (backend->servers, i));
}

const GPtrArray *
backend_servers_of_model (backend_t *backend, const char *model)
{
  refresh_index (backend);
  return g_hash_table_lookup (backend->by_model, model);
}

const GPtrArray *
backend_servers_of_service (backend_t *backend, const char *service)
{
  refresh_index (backend);
  return g_hash_table_lookup (backend->by_service, service);
}

/* Membership.  */

static server_t *
add_server (backend_t *backend, const kwf_member_t *member, int64_t now_ns)
{
  server_t *server = g_new0 (server_t, 1);
  server->id = g_strdup (member->id);
  server->kind = member->kind;
  server->name = g_strdup (member->name ? member->name : "");
  server->models = new_model_map ();
  server->first_data_stats
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  server->hash = XXH64 (member->id, strlen (member->id), 0);
  server->outcomes_ns = now_ns;
  window_init (&server->window);
  /* The first probe is sent at once.  The later ones are spread over the
     period by a hash, so that the instances do not probe a server all at the
     same time.  */
  server->next_probe_ns = now_ns;
  g_hash_table_insert (backend->by_id, server->id, server);
  g_ptr_array_add (backend->servers, server);
  backend->index_stale = true;
  return server;
}

/* Remove servers that left the list a minute ago and have no open attempts;
   forget the models of servers that were lost a minute ago.  */
static void
expire_servers (backend_t *backend, int64_t now_ns)
{
  for (guint i = backend->servers->len; i-- > 0;)
    {
      server_t *server = g_ptr_array_index (backend->servers, i);
      if (server->lost_models && now_ns - server->lost_ns >= LOST_KEEP_NS)
        {
          g_clear_pointer (&server->lost_models, g_hash_table_unref);
          backend->index_stale = true;
        }
      if (server->listed || server->open_attempts
          || now_ns - server->unlisted_ns < LOST_KEEP_NS)
        continue;
      g_ptr_array_remove_index_fast (backend->servers, i);
      g_hash_table_remove (backend->by_id, server->id);
      backend->index_stale = true;
    }
}

/* Load reports.  */

static uint64_t
hash_residents (const kwf_resident_t *models, size_t n_models)
{
  uint64_t hash = n_models;
  for (size_t i = 0; i < n_models; i++)
    {
      const kwf_resident_t *model = &models[i];
      hash = XXH64 (model->name, strlen (model->name), hash);
      if (model->version)
        hash = XXH64 (model->version, strlen (model->version), hash);
      for (size_t k = 0; k < model->n_adapters; k++)
        hash = XXH64 (model->adapters[k], strlen (model->adapters[k]), hash);
    }
  return hash;
}

static void
add_resident (server_t *server, const kwf_resident_t *model)
{
  server_model_t *resident = g_new0 (server_model_t, 1);
  resident->version = g_strdup (model->version);
  resident->adapters
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t k = 0; k < model->n_adapters; k++)
    g_hash_table_add (resident->adapters, g_strdup (model->adapters[k]));
  g_hash_table_replace (server->models, g_strdup (model->name), resident);
}

/* Whether MODEL was removed from what SERVER holds within the last
   UNLOAD_IGNORE_NS.  */
static bool
is_removed (const backend_t *backend, const server_t *server,
            const char *model)
{
  return g_strcmp0 (server->removed_model, model) == 0
         && kwf_now_ns (backend->clock) - server->removed_ns
                <= UNLOAD_IGNORE_NS;
}

/* Return whether the models of SERVER changed.  */
static bool
apply_residents (backend_t *backend, server_t *server,
                 const kwf_resident_t *models, size_t n_models)
{
  uint64_t hash = hash_residents (models, n_models);
  if (hash == server->models_hash && server->reported)
    return false;
  server->models_hash = hash;
  backend->index_stale = true;
  g_hash_table_remove_all (server->models);
  for (size_t i = 0; i < n_models; i++)
    if (!is_removed (backend, server, models[i].name))
      add_resident (server, &models[i]);
    else
      /* This model is left out: apply the entry again when it comes next.  */
      server->models_hash = 0;
  return true;
}

/* Remove MODEL from what SERVER holds; entries that are read within
   UNLOAD_IGNORE_NS do not bring it back.  */
static void
remove_model (backend_t *backend, server_t *server, const char *model)
{
  if (g_hash_table_remove (server->models, model))
    backend->index_stale = true;
  g_free (server->removed_model);
  server->removed_model = g_strdup (model);
  server->removed_ns = kwf_now_ns (backend->clock);
}

void
backend_drop_resident (backend_t *backend, server_t *server, const char *model,
                       const char *adapter)
{
  server_model_t *resident = g_hash_table_lookup (server->models, model);
  /* The present entry is applied again after ENTRY_MAX_AGE_NS.  */
  server->models_changed_ns = kwf_now_ns (backend->clock);
  server->models_hash = 0;
  server->revision = 0;
  if (adapter && resident && g_hash_table_remove (resident->adapters, adapter))
    return;
  remove_model (backend, server, model);
}

void
backend_handle_residency (backend_t *backend, const kwf_residency_t *change)
{
  server_t *server = backend_find (backend, change->server);
  if (!server || server->incarnation != change->incarnation)
    return;
  server_model_t *resident
      = g_hash_table_lookup (server->models, change->model);
  server->models_changed_ns = kwf_now_ns (backend->clock);
  server->models_hash = 0;
  if (!*change->adapter && !change->present)
    remove_model (backend, server, change->model);
  else if (!*change->adapter)
    {
      g_clear_pointer (&server->removed_model, g_free);
      int64_t *announced_ns = g_new (int64_t, 1);
      *announced_ns = server->models_changed_ns;
      g_hash_table_replace (backend->model_loading_announced,
                            g_strdup (change->model), announced_ns);
    }
  else if (*change->adapter && resident && change->present)
    g_hash_table_add (resident->adapters, g_strdup (change->adapter));
  else if (*change->adapter && resident)
    g_hash_table_remove (resident->adapters, change->adapter);
  backend->models_changed = true;
}

int64_t
backend_model_load_announced_ns (const backend_t *backend, const char *model)
{
  const int64_t *announced_ns
      = g_hash_table_lookup (backend->model_loading_announced, model);
  return announced_ns ? *announced_ns : INT64_MIN;
}

bool
backend_consume_residency_change (backend_t *backend)
{
  bool result = backend->models_changed;
  backend->models_changed = false;
  return result;
}

void
server_set_load (server_t *server, int running, int waiting, int slots)
{
  server->running = running;
  server->waiting = waiting;
  server->sent = 0;
  if (slots > 0)
    server->slots = slots;
}

static void
mark_process_lost (backend_t *backend, server_t *server, int64_t now_ns)
{
  server->lost_ns = now_ns;
  if (server->kind != KWF_MEMBER_ENGINE)
    return;
  GHashTable *lost
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, server->models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_hash_table_add (lost, g_strdup (name));
  if (server->lost_models)
    g_hash_table_unref (server->lost_models);
  server->lost_models = lost;
  backend->index_stale = true;
}

/* The address refused the connection: the process of SERVER counts as dead. */
static void
mark_connection_refused (backend_t *backend, server_t *server, int64_t now_ns)
{
  if (server->refused)
    return;
  server->refused = true;
  if (server->reported || server->kind == KWF_MEMBER_SERVICE)
    mark_process_lost (backend, server, now_ns);
}

static void
close_circuit (server_t *server)
{
  server->circuit = CIRCUIT_CLOSED;
  server->failures = 0;
  server->openings = 0;
}

static void
apply_report (backend_t *backend, server_t *server,
              const kwf_report_event_t *report, int64_t now_ns)
{
  bool restarted
      = server->reported && server->incarnation != report->incarnation;
  if (restarted && !server->refused)
    mark_process_lost (backend, server, now_ns);
  if (restarted)
    {
      window_init (&server->window);
      notice_reset (server);
    }
  if (restarted || server->refused)
    close_circuit (server);
  apply_residents (backend, server, report->models, report->n_models);
  server->reported = true;
  server->refused = false;
  server->missed_reports = 0;
  server->incarnation = report->incarnation;
  server->report_leaving = report->leaving;
  if (!report->leaving)
    notice_handle_report (server, server->probe_since_ns, now_ns);
  server->resume = report->resume;
  server->memory_total_mb = report->memory_total_mb;
  server->memory_used_mb = report->memory_used_mb;
  server->running = report->running;
  server->waiting = report->waiting;
  window_set_batch (&server->window, report->batch);
  /* Requests that were sent while the probe ran may be missing from the
     report.  */
  server->sent = MAX (0, server->sent - server->sent_at_probe);
}

static const kwf_resident_t *
find_in_entry (const kwf_member_t *member, const char *model)
{
  for (size_t i = 0; i < member->n_models; i++)
    if (strcmp (member->models[i].name, model) == 0)
      return &member->models[i];
  return NULL;
}

/* The entry may have been written before the last change that was announced.
   Apply only models that were added or removed, except those that were
   announced as being unloaded, and leave the adapters of the other models as
   they are.  */
static void
merge_residents (backend_t *backend, server_t *server,
                 const kwf_member_t *member)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, server->models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!find_in_entry (member, name))
      {
        g_hash_table_iter_remove (&iter);
        backend->index_stale = true;
      }
  for (size_t i = 0; i < member->n_models; i++)
    {
      const kwf_resident_t *model = &member->models[i];
      if (g_hash_table_contains (server->models, model->name)
          || is_removed (backend, server, model->name))
        continue;
      add_resident (server, model);
      backend->index_stale = true;
      backend->models_changed = true;
    }
}

/* Apply what the membership list says of a server in place of a load report:
   models, slots and incarnation, but no load.  */
static void
apply_description (backend_t *backend, server_t *server,
                   const kwf_member_t *member, int64_t now_ns)
{
  bool restarted
      = server->reported && server->incarnation != member->incarnation;
  if (restarted)
    {
      mark_process_lost (backend, server, now_ns);
      window_init (&server->window);
      notice_reset (server);
      server->report_leaving = false;
      server->running = server->waiting = 0;
    }
  if (restarted || !server->reported)
    {
      close_circuit (server);
      server->refused = false;
      server->missed_reports = 0;
    }
  bool changed_lately
      = server->models_changed_ns && !restarted
        && now_ns - server->models_changed_ns < ENTRY_MAX_AGE_NS;
  bool revision_is_applied
      = !restarted && server->revision == member->revision && server->reported;
  if (changed_lately)
    merge_residents (backend, server, member);
  else if (!revision_is_applied)
    {
      bool changed = apply_residents (backend, server, member->models,
                                      member->n_models);
      server->revision = server->models_hash ? member->revision : 0;
      backend->models_changed |= changed;
    }
  server->incarnation = member->incarnation;
  server->software = member->software;
  server->reported = true;
  server->resume = true;
  if (member->slots > 0)
    server->slots = member->slots;
  window_set_batch (&server->window, member->slots);
}

static void
apply_member (backend_t *backend, const kwf_member_t *member,
              const notice_list_t *list, const restored_list_t *restored,
              int64_t now_ns)
{
  /* Members of this kind are not backend servers.  */
  if (member->kind == KWF_MEMBER_ENTRY)
    return;
  server_t *server = backend_find (backend, member->id);
  bool added = !server;
  if (added)
    server = add_server (backend, member, now_ns);
  server->present = true;
  server->doubted_until_ns = 0;
  restored_word_t word
      = restored_check (server, member, added, restored, now_ns);
  if (word == RESTORED_REPLACED)
    return;
  if (server->kind != member->kind)
    {
      server->kind = member->kind;
      backend->index_stale = true;
    }
  if (g_strcmp0 (server->address, member->address) != 0)
    {
      g_free (server->address);
      server->address = g_strdup (member->address);
    }
  if (g_strcmp0 (server->data_centre, member->data_centre) != 0)
    {
      g_free (server->data_centre);
      server->data_centre = g_strdup (member->data_centre);
    }
  bool leaving = member->leaving || word == RESTORED_LEFT;
  server->listed = true;
  server->member_leaving = leaving;
  if (member->described)
    apply_description (backend, server, member, now_ns);
  notice_handle_member (server, member->revision, !leaving, list, now_ns);
}

static void
unlist (server_t *server, int64_t now_ns)
{
  server->listed = false;
  server->unlisted_ns = now_ns;
  server->doubted_until_ns = 0;
}

/* Time until which SERVER, whose entry EVENT's list lacks, may be used: the
   entry may have expired while the platform was away.  Where that is not
   known, the bound for removed entries holds, from the last list that had it.
 */
static int64_t
usable_until_ns (const backend_t *backend, const server_t *server,
                 const kwf_members_event_t *event, int64_t now_ns)
{
  int64_t recovered_ns = event->recovery_ns ? now_ns + event->recovery_ns : 0;
  int64_t previous_age_ns = event->previous_age_ns;
  if (server->member_leaving)
    return 0;
  if (server->doubted_until_ns)
    return MAX (server->doubted_until_ns, recovered_ns);
  if (previous_age_ns <= EXPIRY_MIN_NS || previous_age_ns == INT64_MAX)
    return recovered_ns;
  int64_t use_ns
      = (int64_t)((double)backend->list_delay_ns * REMOVED_USE_PART);
  return MAX (now_ns - previous_age_ns + use_ns, recovered_ns);
}

static void
handle_members (backend_t *backend, const kwf_members_event_t *event,
                int64_t now_ns, kwf_effects_t *effects)
{
  backend->members_asked = false;
  if (!event->valid)
    return;
  for (guint i = 0; i < backend->servers->len; i++)
    ((server_t *)g_ptr_array_index (backend->servers, i))->present = false;
  int64_t current_ns = event->age_ns == INT64_MAX ? 0 : now_ns - event->age_ns;
  notice_list_t list = { .current_ns = current_ns,
                         .delay_ns = backend->list_delay_ns,
                         .is_complete = !event->recovery_ns };
  restored_list_t restored
      = restored_list (backend, event, backend->list_revision, current_ns);
  backend->list_revision = event->revision;
  for (size_t i = 0; i < event->n_members; i++)
    apply_member (backend, &event->members[i], &list, &restored, now_ns);
  int n_doubted = 0;
  for (guint i = 0; i < backend->servers->len; i++)
    {
      server_t *server = g_ptr_array_index (backend->servers, i);
      if (!server->present)
        restored_note_absent (server, event->revision);
      if (!server->listed || server->present)
        continue;
      int64_t until_ns = usable_until_ns (backend, server, event, now_ns);
      n_doubted += !server->doubted_until_ns && until_ns > now_ns;
      server->doubted_until_ns = until_ns;
      if (until_ns <= now_ns)
        unlist (server, now_ns);
    }
  if (n_doubted)
    kwf_effects_log (effects, 132, KWF_LOG_INFO, NULL,
                     "%d backend servers without an entry stay in use for "
                     "now: the list before was the newest %lld ms ago",
                     n_doubted,
                     (long long)(event->previous_age_ns / KWF_NS_PER_MS));
}

void
backend_count_call (server_t *server, int64_t now_ns, kwf_effects_t *effects)
{
  limit_count_call (&server->limit, now_ns);
  if (server->limit.named)
    kwf_effects_log (effects, 235, KWF_LOG_INFO, NULL,
                     "call of this instance's own to server=%s, which names a "
                     "limit",
                     server->id);
}

static void
start_probe (server_t *server, int64_t now_ns, kwf_effects_t *effects)
{
  server->probing = true;
  server->probe_again = false;
  server->probe_since_ns = now_ns;
  server->sent_at_probe = server->sent;
  backend_count_call (server, now_ns, effects);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_PROBE);
  effect->probe.server = server->id;
  effect->probe.address = server->address;
}

static void
handle_report (backend_t *backend, const kwf_report_event_t *report,
               int64_t now_ns, kwf_effects_t *effects,
               backend_report_t *result)
{
  server_t *server = backend_find (backend, report->server);
  if (!server)
    return;
  *result = (backend_report_t){ .server = server,
                                .fresh = !server->probe_again,
                                .valid = report->valid,
                                .refused = report->refused,
                                .answered = report->answered,
                                .broken = report->broken,
                                .replaced = report->replaced,
                                .incarnation_before = server->incarnation };
  server->probing = false;
  if (report->valid)
    apply_report (backend, server, report, now_ns);
  else if (report->refused)
    mark_connection_refused (backend, server, now_ns);
  else
    server->missed_reports++;
  if (server->probe_again && !notice_server_is_paused (server, now_ns))
    start_probe (server, now_ns, effects);
}

void
backend_probe_now (backend_t *backend, server_t *server,
                   kwf_effects_t *effects)
{
  if (server->probing)
    server->probe_again = true;
  else if (!notice_server_is_paused (server, kwf_now_ns (backend->clock)))
    start_probe (server, kwf_now_ns (backend->clock), effects);
}

/* Start of the next probing period of SERVER after NOW_NS.  */
static int64_t
next_probe_time (const backend_t *backend, const server_t *server,
                 int64_t now_ns)
{
  uint64_t seed = server->hash ^ backend->instance_hash;
  int64_t offset = (int64_t)(XXH64 (&seed, sizeof seed, 1)
                             % (uint64_t)backend->probe_period_ns);
  int64_t period = (now_ns - offset) / backend->probe_period_ns + 1;
  return period * backend->probe_period_ns + offset;
}

static void
run_timed_steps (backend_t *backend, int64_t now_ns, kwf_effects_t *effects)
{
  if (now_ns >= backend->next_members_ns && !backend->push_updates
      && (!backend->members_asked
          || now_ns - backend->members_since_ns > MEMBERS_TIMEOUT_NS))
    {
      kwf_effects_add (effects, KWF_FX_MEMBERS);
      backend->members_asked = true;
      backend->members_since_ns = now_ns;
    }
  if (now_ns >= backend->next_members_ns)
    {
      backend->next_members_ns = now_ns + MEMBERS_PERIOD_NS;
      expire_servers (backend, now_ns);
    }
  int64_t deadline = backend->next_members_ns;
  for (guint i = 0; i < backend->servers->len; i++)
    {
      server_t *server = g_ptr_array_index (backend->servers, i);
      if (server->doubted_until_ns && now_ns >= server->doubted_until_ns)
        unlist (server, now_ns);
      if (server->doubted_until_ns)
        deadline = MIN (deadline, server->doubted_until_ns);
      if (!server->probing && now_ns >= notice_next_probe_ns (server))
        {
          notice_probe_started (server, now_ns);
          start_probe (server, now_ns, effects);
        }
      deadline = MIN (deadline, notice_next_probe_ns (server));
      if (!server->listed || (backend->push_updates && !server->refused))
        continue;
      if (now_ns >= server->next_probe_ns)
        {
          server->next_probe_ns
              = backend->push_updates
                    ? now_ns + REFUSED_PROBE_NS
                    : next_probe_time (backend, server, now_ns);
          if (!server->probing
              || now_ns - server->probe_since_ns > PROBE_TIMEOUT_NS)
            start_probe (server, now_ns, effects);
        }
      deadline = MIN (deadline, server->next_probe_ns);
    }
  backend->deadline_ns = deadline;
}

void
backend_step (backend_t *backend, const kwf_event_t *event,
              kwf_effects_t *effects, backend_report_t *result)
{
  int64_t now_ns = kwf_now_ns (backend->clock);
  if (event->type == KWF_EV_MEMBERS)
    handle_members (backend, &event->members, now_ns, effects);
  else if (event->type == KWF_EV_REPORT)
    handle_report (backend, &event->report, now_ns, effects, result);
  if (event->type == KWF_EV_MEMBERS || now_ns >= backend->deadline_ns)
    run_timed_steps (backend, now_ns, effects);
}

int64_t
backend_next_tick_ns (const backend_t *backend)
{
  return backend->deadline_ns;
}

/* Outcomes of attempts.  */

void
backend_attempt_started (backend_t *backend, server_t *server, int64_t now_ns)
{
  (void)backend;
  notice_request_started (server, now_ns);
  limit_count_call (&server->limit, now_ns);
  server->sent++;
  server->open_attempts++;
  server->unanswered++;
  if (server->circuit == CIRCUIT_OPEN && now_ns >= server->open_until_ns)
    server->half_open_attempt = true;
}

static void
open_circuit (server_t *server, int64_t now_ns)
{
  int64_t pause = CIRCUIT_FIRST_NS
                  << MIN (server->openings, CIRCUIT_DOUBLINGS);
  server->openings++;
  server->circuit = CIRCUIT_OPEN;
  server->open_until_ns = now_ns + pause;
  server->failures = 0;
}

void
backend_attempt_answered (backend_t *backend, server_t *server)
{
  (void)backend;
  server->unanswered--;
  if (!server->half_open_attempt)
    return;
  server->half_open_attempt = false;
  server->circuit = CIRCUIT_CLOSED;
  /* The next failure opens it again.  */
  server->failures = CIRCUIT_FAILURES - 1;
}

void
backend_lost_to_hedge (backend_t *backend, server_t *server, int64_t now_ns)
{
  outlier_record (backend, server, false, now_ns);
  server->failures++;
  if ((server->half_open_attempt || server->failures >= CIRCUIT_FAILURES)
      && outlier_is_replaceable (backend, server, now_ns))
    open_circuit (server, now_ns);
}

void
backend_attempt_ended (backend_t *backend, server_t *server, outcome_t outcome,
                       int64_t now_ns)
{
  server->open_attempts--;
  window_attempt_ended (&server->window, server->open_attempts, now_ns);
  bool was_trial = server->half_open_attempt;
  server->half_open_attempt = false;
  if (outcome == OUTCOME_NEUTRAL)
    return;
  if (outcome == OUTCOME_REFUSED)
    mark_connection_refused (backend, server, now_ns);
  if (outcome != OUTCOME_LATE)
    outlier_record (backend, server, outcome == OUTCOME_GOOD, now_ns);
  if (outcome == OUTCOME_GOOD || outcome == OUTCOME_LATE)
    {
      close_circuit (server);
      return;
    }
  server->failures++;
  if (was_trial || server->failures >= CIRCUIT_FAILURES)
    open_circuit (server, now_ns);
}

void
backend_forget_failures (backend_t *backend)
{
  for (guint i = 0; i < backend->servers->len; i++)
    {
      server_t *server = g_ptr_array_index (backend->servers, i);
      close_circuit (server);
      server->bad = 0;
      server->ejected_until_ns = 0;
      server->ejections = 0;
      server->missed_reports = 0;
      server->refused = false;
    }
  backend->index_stale = true;
}
