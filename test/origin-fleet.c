#include "origin-fleet.h"

#include <glib.h>
#include <string.h>

#include "common-core.h"
#include "lib/core-state.h"
#include "lib/origin/origin.h"
#include "lib/revision.h"
#include "origin-cuts.h"

#define MS KWF_NS_PER_MS
#define N_INSTANCES 3
#define N_SERVERS 4
#define STEP_MS 50
#define LENGTH_MS 40000
/* A change of the table reaches an instance after at most this time.  */
#define FEED_MS 300
/* The same of the list of the servers, where there are cuts.  */
#define LIST_MS 100
/* A caller waits for so long that its stream may go on.  */
#define TAKE_UP_MS 500
#define VERSION_OLD 0x10
#define VERSION_NEW 0x20
#define STREAM_MS 6000
/* A store that comes back has a copy of this age at most.  */
#define COPY_MS 3000

typedef struct
{
  char key[40];
  char *value; /* NULL: removed */
  int64_t revision;
} row_t;

typedef struct
{
  int64_t at_ns;
  int instance;
  int64_t process;
  kwf_handle_t op; /* of a reply; 0: a row, or a list of the servers */
  kwf_store_reply_t reply;
  row_t row;
  bool is_list;
} delivery_t;

typedef struct
{
  origins_t *origins;
  int64_t process;
  bool alive;
  bool missed;                 /* a delivery was lost in a cut */
  uint64_t servers[N_SERVERS]; /* as it knows them */
} instance_t;

typedef struct
{
  char id[16];
  int instance;
  int64_t process;
  int64_t begun_ns;
  int64_t arrived_ns; /* when its caller came to take it up; 0: it did not */
  int taker;          /* instance to which it came */
  int64_t taker_process;
  uint64_t version; /* of the server that began it */
} stream_t;

typedef struct
{
  core_world_t world; /* its session, clock and random numbers */
  GRand *random;
  instance_t instances[N_INSTANCES];
  uint64_t servers[N_SERVERS]; /* versions; 0: it is not there */
  GArray *rows;                /* of row_t */
  GArray *copy;                /* of row_t, of copy_ns */
  int64_t copy_ns;
  int64_t version;
  int64_t era;
  GArray *deliveries; /* of delivery_t */
  GArray *streams;    /* of stream_t */
  int n_streams;
  origin_cuts_t *cuts; /* NULL: there are no cuts */
  origin_counts_t counts;
} fleet_t;

static int
draw (fleet_t *fleet, int below)
{
  return g_rand_int_range (fleet->random, 0, below);
}

static int64_t
now (const fleet_t *fleet)
{
  return fleet->world.clock.now_ns;
}

static void
deliver (fleet_t *fleet, int instance, const row_t *row)
{
  if (fleet->cuts && !cuts_reaches (fleet->cuts, instance))
    {
      fleet->instances[instance].missed = true;
      return;
    }
  delivery_t delivery = { .at_ns = now (fleet) + draw (fleet, FEED_MS) * MS,
                          .instance = instance,
                          .process = fleet->instances[instance].process,
                          .row = *row };
  delivery.row.value = g_strdup (row->value);
  /* The rows of one feed come in order.  */
  for (guint i = 0; i < fleet->deliveries->len; i++)
    {
      const delivery_t *earlier
          = &g_array_index (fleet->deliveries, delivery_t, i);
      if (earlier->instance == instance && !earlier->op)
        delivery.at_ns = MAX (delivery.at_ns, earlier->at_ns);
    }
  g_array_append_val (fleet->deliveries, delivery);
}

static row_t *
find_row (fleet_t *fleet, const char *key)
{
  for (guint i = 0; i < fleet->rows->len; i++)
    {
      row_t *row = &g_array_index (fleet->rows, row_t, i);
      if (strcmp (row->key, key) == 0)
        return row;
    }
  return NULL;
}

static void
put (fleet_t *fleet, const kwf_put_t *change)
{
  row_t *row = find_row (fleet, change->key);
  if (!row)
    {
      row_t added = { .value = NULL };
      g_strlcpy (added.key, change->key, sizeof added.key);
      g_array_append_val (fleet->rows, added);
      row = find_row (fleet, change->key);
    }
  g_free (row->value);
  row->value = g_strdup (change->value);
  row->revision = revision_make (fleet->era, fleet->version);
  for (int i = 0; i < N_INSTANCES; i++)
    if (fleet->instances[i].alive)
      deliver (fleet, i, row);
}

/* One in ten writes is not executed; one in ten has no answer.  */
static void
run_write (fleet_t *fleet, int instance, const kwf_effect_t *effect)
{
  const kwf_txn_t *txn = &effect->store.txn;
  delivery_t answer = { .at_ns = now (fleet) + (10 + draw (fleet, 60)) * MS,
                        .instance = instance,
                        .process = fleet->instances[instance].process,
                        .op = effect->store.op,
                        .reply = { .outcome = KWF_STORE_FAILED } };
  bool good = draw (fleet, 10) > 0;
  good &= !fleet->cuts || cuts_reaches_store (fleet->cuts, instance);
  for (size_t i = 0; i < txn->n_conditions; i++)
    {
      const row_t *row = find_row (fleet, txn->conditions[i].key);
      int64_t found = row && row->value ? row->revision : 0;
      if (found != txn->conditions[i].version)
        answer.reply.outcome = KWF_STORE_CONFLICT;
      good &= found == txn->conditions[i].version;
    }
  if (good)
    {
      fleet->version++;
      for (size_t i = 0; i < txn->n_puts; i++)
        put (fleet, &txn->puts[i]);
      answer.reply = (kwf_store_reply_t){
        .outcome = draw (fleet, 10) ? KWF_STORE_COMMITTED : KWF_STORE_UNKNOWN,
        .revision = revision_make (fleet->era, fleet->version)
      };
    }
  g_array_append_val (fleet->deliveries, answer);
}

static void
step (fleet_t *fleet, int instance, const kwf_event_t *event,
      const session_changes_t *changes)
{
  static const session_changes_t none = { .fresh = false };
  kwf_effects_t *effects = kwf_effects_new ();
  origins_step (fleet->instances[instance].origins, fleet->world.core->session,
                event, changes ? changes : &none, effects);
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_STORE)
        run_write (fleet, instance, effect);
    }
  kwf_effects_free (effects);
}

static void
list_servers (fleet_t *fleet, int instance)
{
  if (fleet->cuts)
    cuts_note_list (fleet->cuts, instance,
                    revision_make (fleet->era, fleet->version));
  memcpy (fleet->instances[instance].servers, fleet->servers,
          sizeof fleet->servers);
  kwf_member_t members[N_SERVERS];
  size_t n = 0;
  for (int i = 0; i < N_SERVERS; i++)
    if (fleet->servers[i])
      members[n++] = (kwf_member_t){ .id = "s",
                                     .name = "models",
                                     .software = fleet->servers[i] };
  step (fleet, instance,
        &(kwf_event_t){
            .type = KWF_EV_MEMBERS,
            .members = { .valid = true, .members = members, .n_members = n } },
        NULL);
}

/* The list of the servers has changed.  */
static void
announce_servers (fleet_t *fleet)
{
  fleet->version++;
  for (int i = 0; i < N_INSTANCES; i++)
    {
      instance_t *instance = &fleet->instances[i];
      if (!instance->alive)
        continue;
      if (!fleet->cuts)
        list_servers (fleet, i);
      else if (!cuts_reaches (fleet->cuts, i))
        instance->missed = true;
      else
        {
          delivery_t delivery
              = { .at_ns = now (fleet) + draw (fleet, LIST_MS) * MS,
                  .instance = i,
                  .process = instance->process,
                  .is_list = true };
          g_array_append_val (fleet->deliveries, delivery);
        }
    }
}

static void
kill_instance (fleet_t *fleet, int i)
{
  instance_t *instance = &fleet->instances[i];
  if (!instance->alive)
    return;
  origins_free (instance->origins);
  instance->origins = NULL;
  instance->alive = false;
  instance->process++;
  if (fleet->cuts)
    cuts_end_process (fleet->cuts, i);
}

/* Instance I reads both tables.  */
static void
read_all (fleet_t *fleet, int i)
{
  kwf_row_t *rows = g_new0 (kwf_row_t, fleet->rows->len + 1);
  size_t n = 0;
  for (guint k = 0; k < fleet->rows->len; k++)
    {
      const row_t *row = &g_array_index (fleet->rows, row_t, k);
      if (row->value)
        rows[n++] = (kwf_row_t){ row->key, row->revision, row->value };
    }
  step (fleet, i, &(kwf_event_t){ .type = KWF_EV_TICK },
        &(session_changes_t){ .fresh = true, .rows = rows, .n_rows = n });
  g_free (rows);
  list_servers (fleet, i);
}

/* A process reads the whole table before it serves.  */
static void
start_instance (fleet_t *fleet, int i)
{
  instance_t *instance = &fleet->instances[i];
  if (instance->alive || (fleet->cuts && !cuts_reaches_store (fleet->cuts, i)))
    return;
  char name[8];
  g_snprintf (name, sizeof name, "i%d", i);
  kwf_core_options_t options = fleet->world.core->options;
  options.instance = name;
  instance->origins = origins_new (&options);
  instance->alive = true;
  instance->missed = false;
  if (fleet->cuts)
    cuts_begin_process (fleet->cuts, i);
  read_all (fleet, i);
}

static void
rows_free (GArray *rows)
{
  for (guint i = 0; i < rows->len; i++)
    g_free (g_array_index (rows, row_t, i).value);
  g_array_free (rows, TRUE);
}

static GArray *
rows_copy (const GArray *rows)
{
  GArray *copy = g_array_new (FALSE, FALSE, sizeof (row_t));
  g_array_append_vals (copy, rows->data, rows->len);
  for (guint i = 0; i < copy->len; i++)
    {
      row_t *row = &g_array_index (copy, row_t, i);
      row->value = g_strdup (row->value);
    }
  return copy;
}

/* All instances read all rows of the copy; those that it lacks are removed. */
static void
restore_copy (fleet_t *fleet)
{
  GArray *lost = fleet->rows;
  fleet->rows = rows_copy (fleet->copy);
  fleet->era++;
  for (guint i = 0; i < lost->len; i++)
    {
      const row_t *old = &g_array_index (lost, row_t, i);
      if (find_row (fleet, old->key))
        continue;
      row_t removed = { .value = NULL };
      g_strlcpy (removed.key, old->key, sizeof removed.key);
      g_array_append_val (fleet->rows, removed);
    }
  rows_free (lost);
  for (guint i = 0; i < fleet->rows->len; i++)
    {
      row_t *row = &g_array_index (fleet->rows, row_t, i);
      row->revision = revision_make (fleet->era, fleet->version);
      for (int k = 0; k < N_INSTANCES; k++)
        if (fleet->instances[k].alive)
          deliver (fleet, k, row);
    }
}

static void
run_delivery (fleet_t *fleet, const delivery_t *delivery)
{
  instance_t *instance = &fleet->instances[delivery->instance];
  if (!instance->alive || instance->process != delivery->process)
    return;
  if (!delivery->op && fleet->cuts
      && !cuts_reaches (fleet->cuts, delivery->instance))
    {
      instance->missed = true;
      return;
    }
  if (delivery->is_list)
    {
      list_servers (fleet, delivery->instance);
      return;
    }
  if (delivery->op)
    {
      step (fleet, delivery->instance,
            &(kwf_event_t){
                .type = KWF_EV_STORE_REPLY,
                .store = { .op = delivery->op, .reply = delivery->reply } },
            NULL);
      return;
    }
  kwf_row_t row
      = { delivery->row.key, delivery->row.revision, delivery->row.value };
  step (fleet, delivery->instance, &(kwf_event_t){ .type = KWF_EV_TICK },
        &(session_changes_t){ .fresh = true, .rows = &row, .n_rows = 1 });
}

/* Runs the deliveries that are due, and those of tables to instance READS (-1:
   none).  */
static void
run_deliveries (fleet_t *fleet, int reads)
{
  for (guint i = 0; i < fleet->deliveries->len;)
    {
      delivery_t delivery = g_array_index (fleet->deliveries, delivery_t, i);
      if (delivery.at_ns > now (fleet)
          && (delivery.instance != reads || delivery.op))
        {
          i++;
          continue;
        }
      g_array_remove_index (fleet->deliveries, i);
      run_delivery (fleet, &delivery);
      g_free (delivery.row.value);
    }
}

/* The instances that are to read the tables do so, if they reach them.  */
static void
run_reads (fleet_t *fleet)
{
  for (int i = 0; i < N_INSTANCES; i++)
    {
      instance_t *instance = &fleet->instances[i];
      if (!instance->alive || !cuts_reads (fleet->cuts, i))
        continue;
      if (!cuts_reaches (fleet->cuts, i))
        {
          cuts_fail (fleet->cuts, i);
          continue;
        }
      run_deliveries (fleet, i);
      if (instance->missed)
        read_all (fleet, i);
      instance->missed = false;
      cuts_date (fleet->cuts, i);
    }
}

/* A server of VERSION, or of any if that is 0, which INSTANCE knows (-1: any);
   -1: there is none.  */
static int
draw_server (fleet_t *fleet, int instance, uint64_t version)
{
  int from = draw (fleet, N_SERVERS);
  const uint64_t *known
      = instance < 0 ? fleet->servers : fleet->instances[instance].servers;
  for (int i = 0; i < N_SERVERS; i++)
    {
      int k = (from + i) % N_SERVERS;
      if (fleet->servers[k] && fleet->servers[k] == known[k]
          && (!version || fleet->servers[k] == version))
        return k;
    }
  return -1;
}

static int
draw_instance (fleet_t *fleet)
{
  int from = draw (fleet, N_INSTANCES);
  for (int i = 0; i < N_INSTANCES; i++)
    if (fleet->instances[(from + i) % N_INSTANCES].alive)
      return (from + i) % N_INSTANCES;
  return -1;
}

static void
begin_stream (fleet_t *fleet)
{
  int instance = draw_instance (fleet);
  int server = draw_server (fleet, instance, 0);
  if (instance < 0 || server < 0)
    return;
  /* Servers of a version that is not written get no streams while there are
     others.  */
  for (int i = 0; i < N_SERVERS; i++)
    if (!origins_may_begin (fleet->instances[instance].origins, "models",
                            fleet->servers[server]))
      server = draw_server (fleet, instance, 0);
  stream_t stream = { .instance = instance,
                      .process = fleet->instances[instance].process,
                      .begun_ns = now (fleet),
                      .version = fleet->servers[server] };
  g_snprintf (stream.id, sizeof stream.id, "r%d", ++fleet->n_streams);
  g_array_append_val (fleet->streams, stream);
  origins_begin (fleet->instances[instance].origins, "models",
                 origin_key ("models", "o", stream.id), stream.version);
}

/* Where there are cuts: the instance at which the caller of STREAM waits that
   it goes on; -1: there is none.  */
static int
taker_of (fleet_t *fleet, stream_t *stream)
{
  bool waits
      = stream->arrived_ns && stream->taker >= 0
        && fleet->instances[stream->taker].process == stream->taker_process;
  if (waits)
    return stream->taker;
  stream->taker = draw_instance (fleet);
  if (stream->taker < 0)
    return -1;
  stream->taker_process = fleet->instances[stream->taker].process;
  stream->arrived_ns = now (fleet);
  return stream->taker;
}

/* Whether the caller of STREAM waits at INSTANCE, which may not know all
   versions; SHOWN is set to whether it does.  */
static bool
awaits_currency (fleet_t *fleet, const stream_t *stream, int instance,
                 bool *shown)
{
  currency_word_t word
      = cuts_judge (fleet->cuts, instance, stream->arrived_ns);
  *shown = word == CURRENCY_SHOWN;
  return word == CURRENCY_OPEN
         && now (fleet) - stream->arrived_ns < TAKE_UP_MS * MS;
}

/* The caller of STREAM takes it up; returns whether it goes on.  */
static bool
take_up (fleet_t *fleet, stream_t *stream)
{
  int instance
      = fleet->cuts ? taker_of (fleet, stream) : draw_instance (fleet);
  if (instance < 0)
    return true;
  origins_t *origins = fleet->instances[instance].origins;
  bool served = draw_server (fleet, -1, stream->version) >= 0;
  uint64_t version = 0;
  uint64_t key = origin_key ("models", "o", stream->id);
  origin_word_t word = origins_find (origins, "models", key, &version);
  bool known = word != ORIGIN_UNKNOWN;
  if (word == ORIGIN_ONLY && fleet->cuts
      && awaits_currency (fleet, stream, instance, &known))
    return true;
  int server = known ? draw_server (fleet, instance, version) : -1;
  /* It may wait for the record.  */
  if (!known && word == ORIGIN_UNKNOWN
      && now (fleet) - stream->begun_ns
             < origins_delay_ns (origins) + STREAM_MS * MS
      && draw (fleet, 8))
    return true;
  fleet->counts.taken_up++;
  fleet->counts.served += served;
  if (server < 0)
    return false;
  fleet->counts.went_on += served;
  fleet->counts.joined += fleet->servers[server] != stream->version;
  stream->arrived_ns = 0;
  stream->instance = instance;
  stream->process = fleet->instances[instance].process;
  origins_begin (origins, "models", key, version);
  return true;
}

static void
run_streams (fleet_t *fleet)
{
  for (guint i = fleet->streams->len; i-- > 0;)
    {
      stream_t *stream = &g_array_index (fleet->streams, stream_t, i);
      bool broken
          = fleet->instances[stream->instance].process != stream->process;
      bool ended = now (fleet) - stream->begun_ns > STREAM_MS * MS;
      if (ended || (broken && !take_up (fleet, stream)))
        g_array_remove_index_fast (fleet->streams, i);
    }
}

static void
change_servers (fleet_t *fleet)
{
  static const uint64_t versions[]
      = { VERSION_OLD, VERSION_NEW, VERSION_NEW, 0 };
  fleet->servers[draw (fleet, N_SERVERS)] = versions[draw (fleet, 4)];
  announce_servers (fleet);
}

static void
trouble (fleet_t *fleet)
{
  switch (draw (fleet, 8))
    {
    case 0:
    case 1:
    case 2:
      change_servers (fleet);
      break;
    case 3:
    case 4:
      kill_instance (fleet, draw (fleet, N_INSTANCES));
      break;
    case 5:
      for (int i = 0; i < N_INSTANCES; i++)
        kill_instance (fleet, i);
      break;
    case 6:
      if (now (fleet) - fleet->copy_ns < COPY_MS * MS)
        restore_copy (fleet);
      break;
    default:
      for (int i = 0; i < N_INSTANCES; i++)
        start_instance (fleet, i);
    }
}

static void
run_step (fleet_t *fleet)
{
  fleet->world.clock.now_ns += STEP_MS * MS;
  if (fleet->cuts)
    cuts_run (fleet->cuts);
  run_deliveries (fleet, -1);
  if (fleet->cuts)
    run_reads (fleet);
  for (int i = 0; i < N_INSTANCES; i++)
    if (fleet->instances[i].alive)
      step (fleet, i, &(kwf_event_t){ .type = KWF_EV_TICK }, NULL);
  begin_stream (fleet);
  if (!draw (fleet, 20))
    trouble (fleet);
  if (!draw (fleet, 30))
    start_instance (fleet, draw (fleet, N_INSTANCES));
  run_streams (fleet);
  if (!draw (fleet, 40))
    {
      rows_free (fleet->copy);
      fleet->copy = rows_copy (fleet->rows);
      fleet->copy_ns = now (fleet);
    }
}

static void
fleet_end (fleet_t *fleet)
{
  for (int i = 0; i < N_INSTANCES; i++)
    kill_instance (fleet, i);
  for (guint i = 0; i < fleet->deliveries->len; i++)
    g_free (g_array_index (fleet->deliveries, delivery_t, i).row.value);
  g_array_free (fleet->deliveries, TRUE);
  g_array_free (fleet->streams, TRUE);
  rows_free (fleet->rows);
  rows_free (fleet->copy);
  cuts_free (fleet->cuts);
  g_rand_free (fleet->random);
  core_world_stop (&fleet->world);
}

origin_counts_t
origin_fleet_play (uint64_t seed, bool cuts)
{
  fleet_t fleet
      = { .random = g_rand_new_with_seed ((guint32)seed),
          .rows = g_array_new (FALSE, FALSE, sizeof (row_t)),
          .copy = g_array_new (FALSE, FALSE, sizeof (row_t)),
          .deliveries = g_array_new (FALSE, FALSE, sizeof (delivery_t)),
          .streams = g_array_new (FALSE, FALSE, sizeof (stream_t)),
          .servers = { VERSION_OLD, VERSION_OLD, VERSION_OLD },
          .version = 1 };
  core_world_start (&fleet.world);
  if (cuts)
    fleet.cuts = cuts_new (&fleet.world.core->options,
                           fleet.world.core->session, seed);
  for (int i = 0; i < N_INSTANCES; i++)
    start_instance (&fleet, i);
  for (int ms = 0; ms < LENGTH_MS; ms += STEP_MS)
    run_step (&fleet);
  fleet_end (&fleet);
  return fleet.counts;
}
